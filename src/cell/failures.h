/**
 * DOC: failures - the failed runs of a task, each counted once
 *
 * An end may be reported again for as long as it is not acknowledged, also to
 * the next planner, and after ends of later attempts.  So the attempts are
 * kept whose ends are counted, as ranges: attempts are numbered in turn, so
 * that a task which fails thousands of times takes a few ranges only.  An
 * attempt that can't be reported as failed any more is settled, which closes
 * the gap between two ranges.
 *
 * A NULL pointer stands for a task without a failed run.
 */
#ifndef RST_FAILURES_H
#define RST_FAILURES_H

#include <stdbool.h>

#include "cell/pack.h"

struct rst_failures;

/** rst_failures_destroy() - Frees the failures of a task; NULL is ignored. */
void rst_failures_destroy (struct rst_failures *failures);

/** rst_failures_count() - Returns the number of failed runs. */
int rst_failures_count (const struct rst_failures *failures);

/**
 * rst_failures_add() - Counts the failed run of an attempt.
 * @failures: Created if it points to NULL.
 *
 * Return: False if the attempt was counted or settled before.
 */
bool rst_failures_add (struct rst_failures **failures, int attempt);

/**
 * rst_failures_settle() - Notes that an attempt has ended otherwise, or has
 * not begun and never will.
 * @failures: Nothing is noted in NULL.
 */
void rst_failures_settle (struct rst_failures *failures, int attempt);

/** rst_failures_cut() - Forgets failed runs above a number; only for the test
    build's deliberate fault. */
void rst_failures_cut (struct rst_failures *failures, int count_max);

/** rst_failures_pack() - Encodes the failures, which must not be NULL. */
void rst_failures_pack (const struct rst_failures *failures,
                        struct rst_pack *pack);

/**
 * rst_failures_read() - Decodes failures.
 *
 * Return: The failures, or NULL if there are none or they can't be read; then
 * @reader->bad is set.
 */
struct rst_failures *rst_failures_read (struct rst_reader *reader);

#endif
