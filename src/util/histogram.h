/**
 * DOC: histogram - durations counted in fixed buckets
 *
 * All histograms have the same buckets, so that those of several processes can
 * be added up.  A histogram is not thread-safe.
 */
#ifndef RST_HISTOGRAM_H
#define RST_HISTOGRAM_H

#include <stdint.h>

/** Number of buckets with an upper bound; one more has none. */
#define RST_HISTOGRAM_BOUND_COUNT 13

/**
 * struct rst_histogram - Histogram of durations.
 * @counts: Number of durations in each bucket; the last one has no upper
 *   bound.
 * @total: Number of durations in all buckets.
 * @sum_ms: Sum of the durations in milliseconds.
 */
struct rst_histogram
{
  uint64_t counts[RST_HISTOGRAM_BOUND_COUNT + 1];
  uint64_t total;
  int64_t sum_ms;
};

/** rst_histogram_bound_ms() - Returns the inclusive bound of a bucket. */
int64_t rst_histogram_bound_ms (int bucket);

/** rst_histogram_add() - Adds a duration; a negative one counts as 0. */
void rst_histogram_add (struct rst_histogram *histogram, int64_t ms);

#endif
