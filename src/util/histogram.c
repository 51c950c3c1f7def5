#include "util/histogram.h"

/* The range covers one exchange within a zone up to the longest objective. */
static const int64_t bounds_ms[RST_HISTOGRAM_BOUND_COUNT]
    = { 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000, 30000 };

int64_t
rst_histogram_bound_ms (int bucket)
{
  return bounds_ms[bucket];
}

void
rst_histogram_add (struct rst_histogram *histogram, int64_t ms)
{
  int bucket = 0;

  if (ms < 0)
    ms = 0;
  while (bucket < RST_HISTOGRAM_BOUND_COUNT && ms > bounds_ms[bucket])
    bucket++;
  histogram->counts[bucket]++;
  histogram->total++;
  histogram->sum_ms += ms;
}
