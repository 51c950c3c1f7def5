/**
 * DOC: histogram - counts of durations in fixed buckets
 *
 * Every duration of the product is counted in the same buckets, so that
 * processes can be added up.  Not safe for several threads at once.
 */
#ifndef RST_HISTOGRAM_H
#define RST_HISTOGRAM_H

#include <stdint.h>

/** Number of buckets with an upper bound; one more takes the rest. */
#define RST_HISTOGRAM_BOUND_COUNT 13

/**
 * struct rst_histogram - Durations counted so far.
 * @counts: How many fell into each bucket; the last has no upper bound.
 * @total: How many were counted.
 * @sum_ms: Their sum in milliseconds.
 */
struct rst_histogram
{
  uint64_t counts[RST_HISTOGRAM_BOUND_COUNT + 1];
  uint64_t total;
  int64_t sum_ms;
};

/** rst_histogram_bound_ms() - Upper bound of a bucket in milliseconds. */
int64_t rst_histogram_bound_ms (int bucket);

/** rst_histogram_add() - Counts a duration; a negative one counts as 0. */
void rst_histogram_add (struct rst_histogram *histogram, int64_t ms);

#endif
