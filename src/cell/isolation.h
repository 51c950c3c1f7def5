/**
 * DOC: isolation - whether a planner is cut off from the others with its zone
 *
 * Answers one load pattern: the planner's zone is cut off from the other zones
 * and from the store.  Its entry instances keep their links to it, so they go
 * on taking callers, and each job is rejected because the store does not
 * answer.  Once the planner finds that it is isolated it stops serving, and
 * the load balancer sends the callers to other zones.
 *
 * The age of the store's confirmation alone does not show this: in an outage
 * of the store no zone serves better than another, and all of them would
 * become not ready.  What shows it is that the agents of the other zones, or
 * most agents, fell silent as well.  Nothing is stored and there is no I/O
 * here; the decision is made anew at each heartbeat.
 */
#ifndef RST_ISOLATION_H
#define RST_ISOLATION_H

#include "cell/backend.h"

/** Age of the store's confirmation from which on the planner may be isolated,
    in milliseconds: the age from which on it rejects jobs. */
#define RST_ISOLATION_CONFIRM_AGE_MS 1000

/** An agent that was not heard for this long is silent, in milliseconds.
    Agents answer each heartbeat, every 250 ms; three answers in a row have to
    be missing. */
#define RST_ISOLATION_SILENCE_MS 800

/** Agents last heard longer than this before the last confirmation are not
    counted, in milliseconds.  They were lost while the store was reached, so
    that their silence is no sign of the same cut. */
#define RST_ISOLATION_ROSTER_MS 5000

/** Longest time between two evaluations, in milliseconds.  After a longer gap
    the process did not run; silence is counted from its end, as answers wait
    to be read. */
#define RST_ISOLATION_GAP_MAX_MS 600

struct rst_isolation;

/**
 * struct rst_isolation_signs - What the last decision was made from.
 * @confirm_age_ms: Age of the store's confirmation.
 * @agents: Agents that count.
 * @silent_agents: Those of them that are silent.
 * @other_agents: Agents of other zones that count.
 * @silent_other_agents: Those of them that are silent.
 */
struct rst_isolation_signs
{
  rst_ms confirm_age_ms;
  unsigned agents;
  unsigned silent_agents;
  unsigned other_agents;
  unsigned silent_other_agents;
};

/**
 * rst_isolation_create() - Begins without agents.
 * @zone: The planner's availability zone; copied.
 */
struct rst_isolation *rst_isolation_create (const char *zone);

/** rst_isolation_destroy() - Frees it; NULL is ignored. */
void rst_isolation_destroy (struct rst_isolation *isolation);

/** rst_isolation_note_heard() - Notes that an agent was heard. */
void rst_isolation_note_heard (struct rst_isolation *isolation,
                               const char *name, const char *zone, rst_ms now);

/**
 * rst_isolation_evaluate() - Decides whether the planner is isolated.
 * @confirmed_at: When the store last confirmed the planner.
 * @signs: Receives what the decision was made from.
 *
 * Return: false in a cell of one zone, and while the store confirms the
 * planner.
 */
bool rst_isolation_evaluate (struct rst_isolation *isolation, rst_ms now,
                             rst_ms confirmed_at,
                             struct rst_isolation_signs *signs);

#endif
