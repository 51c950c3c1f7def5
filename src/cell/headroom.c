#include "cell/headroom.h"

#include <glib.h>

/** Time in which a peak of the use is forgotten.  Demand that swings every 10
    to 15 s keeps most of its headroom between two peaks. */
#define PEAK_MEMORY_MS 5000

/** Largest share of a pool that is kept free, in percent.  With more than half
    of a pool in use, a batch job may wait for as long as the pool is full. */
#define KEPT_PERCENT_MAX 25

void
rst_headroom_update (struct rst_headroom *headroom, int64_t used_cpu,
                     rst_ms now)
{
  rst_ms elapsed = CLAMP (now - headroom->updated_at, 0, PEAK_MEMORY_MS);

  headroom->peak_cpu -= headroom->peak_cpu * (double)elapsed / PEAK_MEMORY_MS;
  headroom->peak_cpu = MAX (headroom->peak_cpu, (double)used_cpu);
  headroom->updated_at = now;
}

int64_t
rst_headroom_get_batch_cpu (const struct rst_headroom *headroom,
                            int64_t free_cpu, int64_t capacity_cpu,
                            int64_t percent)
{
  int64_t kept = (int64_t)(headroom->peak_cpu * (double)percent / 100.0);

  kept = MIN (kept, capacity_cpu * KEPT_PERCENT_MAX / 100);
  return MAX (free_cpu - kept, 0);
}
