#include "cell/pace.h"

#include <glib.h>

/** From this load on, in hundredths of the bound, filling tasks stand still:
    a serving task beyond its bound costs more than what they get done. */
#define LOAD_STOP_PERCENT 100

/** From this load on filling tasks are slowed. */
#define LOAD_SLOW_PERCENT 80

/** Below this load they may work faster again. */
#define LOAD_RECOVER_PERCENT 60

/** Step up while the load is low, in hundredths; a full return takes ten. */
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
