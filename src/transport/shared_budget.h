/**
 * DOC: shared_budget - a body budget that several threads use
 *
 * Adds a lock, log lines and counters to body_budget.  At most one line a
 * second tells which bound was reached and what was done.
 */
#ifndef RST_SHARED_BUDGET_H
#define RST_SHARED_BUDGET_H

#include <pthread.h>

#include "rosemarystile.h"
#include "transport/body_budget.h"

/**
 * struct rst_shared_budget - The budget of a process.
 * @lock: Protects the other members, the groups and holders that use the
 *   budget, and the bodies of requests that are incomplete.
 * @budget: The decisions.
 * @logged_at: Time of the last line.
 * @logged: Counters at that time.
 */
struct rst_shared_budget
{
  pthread_mutex_t lock;
  struct rst_body_budget budget;
  rst_ms logged_at;
  struct rst_body_stats logged;
};

/** rst_shared_budget_create() - Creates a budget of @bytes_max bytes. */
struct rst_shared_budget *rst_shared_budget_create (size_t bytes_max);

/** rst_shared_budget_destroy() - Frees a budget that no server uses. */
void rst_shared_budget_destroy (struct rst_shared_budget *shared);

/** rst_shared_budget_read_stats() - Reads the counters; thread-safe. */
void rst_shared_budget_read_stats (struct rst_shared_budget *shared,
                                   struct rst_body_stats *out);

/* The following functions take the lock.  Without a budget they do nothing and
   grant everything. */

/** rst_shared_budget_open() - Adds a connection; see rst_body_budget_open().
 */
void rst_shared_budget_open (struct rst_shared_budget *shared,
                             struct rst_body_group *group,
                             struct rst_body_holder *holder);

/** rst_shared_budget_close() - Removes a connection. */
void rst_shared_budget_close (struct rst_shared_budget *shared,
                              struct rst_body_holder *holder);

/**
 * rst_shared_budget_find_excess() - Finds a connection that has to be closed,
 * and counts it as closed; see rst_body_group_find_excess().
 * @reason: For the log.
 */
struct rst_body_holder *rst_shared_budget_find_excess (
    struct rst_shared_budget *shared, const struct rst_body_group *group,
    struct rst_body_holder *newest, const char *reason);

/**
 * rst_shared_budget_charge() - A connection wants to hold more bytes; see
 * rst_body_budget_charge().
 * @reason: For the log.
 *
 * A victim is counted as closed.
 */
enum rst_body_decision
rst_shared_budget_charge (struct rst_shared_budget *shared,
                          struct rst_body_holder *holder, size_t bytes,
                          struct rst_body_holder **victim, const char *reason);

/**
 * rst_shared_budget_note_part() - Notes whether a connection of a peer holds a
 * part of a message.
 * @in_use: Whether its peer has sent a whole message.  Such a connection makes
 *   room only while it holds a part of one.
 */
void rst_shared_budget_note_part (struct rst_shared_budget *shared,
                                  struct rst_body_holder *holder,
                                  bool holds_part, bool in_use);

/**
 * rst_shared_budget_log() - Logs what was done since the last line.
 * @reason: Which bound was reached.
 *
 * Called with the lock held.  A line that would be the second within a second
 * is left out; what it counts is in the next one.
 */
void rst_shared_budget_log (struct rst_shared_budget *shared,
                            const char *reason);

#endif
