/**
 * DOC: pace - how fast tasks that fill may work beside tasks that serve
 *
 * Answers load of one instance that rises and falls within seconds: the
 * response times of its serving tasks decide, not what its tasks asked for.
 */
#ifndef RST_PACE_H
#define RST_PACE_H

#include "rosemarystile.h"

/** Pace of a task at its start, in hundredths. */
#define RST_PACE_FULL_PERCENT 100

/** Least time between two changes of a pace, in milliseconds: the figure for
    response times covers half a second. */
#define RST_PACE_INTERVAL_MS 500

/**
 * rst_pace_adjust() - The next pace of the filling tasks of an instance.
 * @pace_percent: The present one, in hundredths.
 * @load_percent: The worst response time of its serving tasks, as hundredths
 * of its bound.
 *
 * Return: The next pace, 0 to RST_PACE_FULL_PERCENT.
 */
int rst_pace_adjust (int pace_percent, int64_t load_percent);

#endif
