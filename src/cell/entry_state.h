/**
 * DOC: entry_state - whether an entry instance can serve callers
 *
 * Answers one load pattern: callers with open connections stay with an entry
 * instance that has no planner, because its zone is cut off or the planner was
 * lost.  For as long as a succession usually takes, calls wait for the next
 * planner, which is the fastest answer then.  After that a caller is better
 * served by another entry instance: its call is rejected at once and its
 * connection is closed, so that the next one goes through the load balancer.
 * Nothing is sent into a link that carries no heartbeats: the outcome of what
 * is sent there is unknown, while what waits can still be sent elsewhere.
 * There is no I/O here; the caller passes the time.
 */
#ifndef RST_ENTRY_STATE_H
#define RST_ENTRY_STATE_H

#include "rosemarystile.h"

/** How long calls wait for the next planner, in milliseconds.  A succession
    usually takes 350 to 800 ms, and up to 1,500 ms after a silent loss: the
    record has to stand still for 700 ms, and the journal is read then. */
#define RST_ENTRY_SUCCESSION_MS 1500

/** A planner that was not heard for this long is not sent calls, in
    milliseconds.  It sends a heartbeat every 250 ms, so three in a row have to
    be missing.  A pause of its process of half a second passes unnoticed, as
    does a heartbeat behind 600 KB on a link of 10 Mbit/s; the planner limits
    its commits to what its link carries in 100 ms.  The link itself is closed
    after 1,000 ms of silence, which takes up to 1,250 ms to be noticed. */
#define RST_ENTRY_SILENCE_MS 800

/** Longest time between two evaluations, in milliseconds.  During a longer gap
    this process did not run, and heartbeats that arrived could not be read. */
#define RST_ENTRY_GAP_MAX_MS 250

/**
 * enum rst_entry_action - What to do with a call that was not sent yet.
 * @RST_ENTRY_SEND: Send it to the planner.
 * @RST_ENTRY_WAIT: Keep it for the next planner.
 * @RST_ENTRY_REJECT: Reject it, and close the caller's connection.
 */
enum rst_entry_action
{
  RST_ENTRY_SEND,
  RST_ENTRY_WAIT,
  RST_ENTRY_REJECT,
};

/**
 * struct rst_entry_state - What an entry instance knows of its planner.
 * @linked: A planner has accepted the link.
 * @serving: The planner of the link serves callers.
 * @withdrawn: The planner of the link has stopped serving callers.
 * @unserved_since: Since when no planner has served; valid unless @linked and
 *   @serving.
 * @heard_at: When the planner of the link is known to have been alive.
 * @evaluated_at: When rst_entry_state_run() was last called.
 */
struct rst_entry_state
{
  bool linked;
  bool serving;
  bool withdrawn;
  rst_ms unserved_since;
  rst_ms heard_at;
  rst_ms evaluated_at;
};

/** rst_entry_state_init() - Begins without a planner. */
void rst_entry_state_init (struct rst_entry_state *state, rst_ms now);

/**
 * rst_entry_state_welcome() - Notes that the planner accepted the link, or
 * changed whether it serves callers.
 *
 * A planner that serves callers and stops doing so on the same link is cut off
 * from the others with its zone.  No successor can be reached from here before
 * the cut ends, so calls are rejected without a wait.
 */
void rst_entry_state_welcome (struct rst_entry_state *state, rst_ms now,
                              bool serving);

/**
 * rst_entry_state_heartbeat() - Notes that a heartbeat arrived.
 * @sent_at: When the planner sent it at the earliest; 0 if that is unknown.
 *
 * A heartbeat that a cut held up says nothing of the planner's present state.
 */
void rst_entry_state_heartbeat (struct rst_entry_state *state, rst_ms now,
                                rst_ms sent_at);

/** rst_entry_state_link_lost() - Notes that the link was lost. */
void rst_entry_state_link_lost (struct rst_entry_state *state, rst_ms now);

/**
 * rst_entry_state_run() - Notes that this process runs; to be called every
 * RST_ENTRY_GAP_MAX_MS at least, and before each decision.
 *
 * Time in which this process did not run does not count as silence of the
 * planner, nor as time without one.
 */
void rst_entry_state_run (struct rst_entry_state *state, rst_ms now);

/** rst_entry_state_is_silent() - Whether a planner is linked that has not been
 * heard for too long. */
bool rst_entry_state_is_silent (const struct rst_entry_state *state,
                                rst_ms now);

/** rst_entry_state_decide() - Decides on calls that were not sent yet.  The
 * entry instance is ready while the decision is RST_ENTRY_SEND. */
enum rst_entry_action
rst_entry_state_decide (const struct rst_entry_state *state, rst_ms now);

/**
 * rst_entry_state_next_change() - Returns when the decision changes if nothing
 * is heard until then; 0 if it does not.
 */
rst_ms rst_entry_state_next_change (const struct rst_entry_state *state,
                                    rst_ms now);

#endif
