/**
 * DOC: pace - speed of best-effort tasks beside long-running tasks
 *
 * Best-effort tasks on an instance slow down when the long-running tasks
 * there respond too slowly.  The load of an instance rises and falls within
 * seconds, so the measured response times decide, not the resources that the
 * tasks requested.
 */
#ifndef RST_PACE_H
#define RST_PACE_H

#include "rosemarystile.h"

/** Pace of a task at its start, in percent of full speed. */
#define RST_PACE_FULL_PERCENT 100

/** Shortest time between two changes of a pace, in milliseconds: a response
    time is measured over half a second. */
#define RST_PACE_INTERVAL_MS 500

/**
 * rst_pace_adjust() - Computes the next pace of a best-effort task.
 * @pace_percent: Its present pace.
 * @load_percent: The worst response time of the long-running tasks on its
 *   instance, in percent of their bound.
 *
 * Return: The next pace, from 0 to RST_PACE_FULL_PERCENT.
 */
int rst_pace_adjust (int pace_percent, int64_t load_percent);

#endif
