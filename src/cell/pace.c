#include "cell/pace.h"

#include <glib.h>

/** From this load on, in hundredths of the bound, filling tasks stand still:
    a serving task beyond its bound costs more than what they get done. */
#define LOAD_OVER 100

/** From this load on filling tasks are slowed. */
#define LOAD_HIGH 80

/** Below this load they may work faster again. */
#define LOAD_LOW 60

/** Step up while the load is low, in hundredths; a full return takes ten. */
#define PACE_UP 10

int
rst_pace_next (int pace, int64_t load)
{
  if (load >= LOAD_OVER)
    return 0;
  if (load >= LOAD_HIGH)
    return pace / 2;
  if (load < LOAD_LOW)
    return MIN (pace + PACE_UP, RST_PACE_FULL);
  return pace;
}
