#include "cell/pace.h"

#include <glib.h>

/** Load from which best-effort tasks are stopped, in percent of the bound on
    response times: a long-running task above its bound costs more than the
    progress of best-effort tasks is worth. */
#define LOAD_STOP_PERCENT 100

/** Load from which best-effort tasks are slowed down, in percent. */
#define LOAD_SLOW_PERCENT 80

/** Load below which best-effort tasks speed up again, in percent. */
#define LOAD_RECOVER_PERCENT 60

/** Increase of the pace at a time, in percent of full speed; ten of them lead
    from 0 to full speed. */
#define PACE_STEP_UP_PERCENT 10

int
rst_pace_adjust (int pace_percent, int64_t load_percent)
{
  if (load_percent >= LOAD_STOP_PERCENT)
    return 0;
  if (load_percent >= LOAD_SLOW_PERCENT)
    return pace_percent / 2;
  if (load_percent < LOAD_RECOVER_PERCENT)
    return MIN (pace_percent + PACE_STEP_UP_PERCENT, RST_PACE_FULL_PERCENT);
  return pace_percent;
}
