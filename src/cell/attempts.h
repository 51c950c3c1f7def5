/**
 * DOC: attempts - when rejected jobs were first submitted
 *
 * Answers one load pattern: callers whose jobs were rejected, in an outage of
 * the store or under overload, submit them again after it.  Their objectives
 * run from the first attempt, so a job that returns late must not be placed
 * before a new one that can still be in time.
 *
 * The table is bounded and kept in memory only: an id that it no longer has
 * counts as new.
 */
#ifndef RST_ATTEMPTS_H
#define RST_ATTEMPTS_H

#include "rosemarystile.h"

struct rst_attempts;

/**
 * rst_attempts_create() - Creates an empty table.
 * @max: Largest number of ids; the id noted first makes room for a new one.
 * @retention_ms: How long an id is kept after its first attempt.
 */
struct rst_attempts *rst_attempts_create (unsigned max, rst_ms retention_ms);

/** rst_attempts_destroy() - Frees a table; NULL is ignored. */
void rst_attempts_destroy (struct rst_attempts *attempts);

/**
 * rst_attempts_note() - Notes that an id is rejected now.
 * @at: When it was first submitted; ignored if the table has the id.
 * @now: Monotonic time.
 */
void rst_attempts_note (struct rst_attempts *attempts, const char *id,
                        rst_ms at, rst_ms now);

/**
 * rst_attempts_find() - Finds when an id was first submitted.
 *
 * Return: The time, or @now if the table does not have the id.
 */
rst_ms rst_attempts_find (const struct rst_attempts *attempts, const char *id,
                          rst_ms now);

/**
 * rst_attempts_was_rejected() - Whether an id was rejected.
 * @since: At this time or later.
 */
bool rst_attempts_was_rejected (const struct rst_attempts *attempts,
                                const char *id, rst_ms since);

/** rst_attempts_count() - Number of ids in the table. */
unsigned rst_attempts_count (const struct rst_attempts *attempts);

#endif
