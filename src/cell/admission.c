#include "cell/admission.h"

/** A planner renews its record every 250 ms; a store that is 60 times slower
    than usual confirms that within another 250 ms.  When the last confirmation
    is older than this, the store does not answer. */
#define STORE_AGE_MAX_MS 1000

/** The same once the store has refused REFUSALS_MIN commits in a row, so that
    it is reachable but stores nothing.  If another process can store
   something, it takes over within 350 to 800 ms, and may accept the job. */
#define REFUSED_AGE_MAX_MS 500
#define REFUSALS_MIN 2

/** Added to the time since the last confirmation, so that the last of 4
   retries follows more than 7 s after the beginning of an outage. */
#define RETRY_ADVANCE_MS 700

/** Shortest and longest time until a retry. */
#define RETRY_MIN_S 1
#define RETRY_MAX_S 3

int
rst_admission_compute_retry_s (rst_ms store_age_ms, int refusals, guint spread)
{
  rst_ms age_max_ms
      = refusals >= REFUSALS_MIN ? REFUSED_AGE_MAX_MS : STORE_AGE_MAX_MS;
  int retry_s;

  if (store_age_ms <= age_max_ms)
    return 0;
  retry_s
      = (int)((store_age_ms + RETRY_ADVANCE_MS) / 1000) + (int)(spread % 2);
  return CLAMP (retry_s, RETRY_MIN_S, RETRY_MAX_S);
}

/** A job that starts within this time takes nothing from jobs that wait. */
#define START_DELAY_MIN_MS 250.0

/** Longest base of a retry delay under overload.  A backlog that lasts longer
    does not follow from the estimate alone. */
#define OVERLOAD_RETRY_MAX_S 6

int
rst_admission_decide (const struct rst_admission_input *input, guint spread)
{
  double end_ms = (double)input->age_ms + input->start_ms + input->path_ms;
  double latest_ms
      = (double)(input->objective_ms * input->latest_end_percent) / 100.0;
  int base_s;

  if (input->latest_end_percent == 0 || input->start_ms < START_DELAY_MIN_MS
      || end_ms <= latest_ms)
    return 0;
  base_s = (int)CLAMP ((input->start_ms + 999.0) / 1000.0, RETRY_MIN_S,
                       OVERLOAD_RETRY_MAX_S);
  return base_s + (int)(spread % ((guint)base_s + 1));
}
