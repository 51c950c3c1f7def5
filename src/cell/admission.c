#include "cell/admission.h"

/** A planner renews its record every 250 ms; a store that is 60 times slower
    than usual confirms that within another 250 ms.  When the last confirmation
    is older than this, the store does not answer. */
#define STORE_AGE_MAX_MS 1000

/** Shortest and longest time until a retry. */
#define RETRY_MIN_S 1
#define RETRY_MAX_S 3

int
rst_admission_compute_retry_s (rst_ms store_age_ms, guint spread)
{
  int retry_s;

  if (store_age_ms <= STORE_AGE_MAX_MS)
    return 0;
  retry_s = (int)(store_age_ms / 1000) + (int)(spread % 2);
  return CLAMP (retry_s, RETRY_MIN_S, RETRY_MAX_S);
}
