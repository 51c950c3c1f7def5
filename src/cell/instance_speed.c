#include "cell/instance_speed.h"

#include <math.h>

#include <glib.h>

/** Number of samples over which an estimate is the mean.  3 in 100 runs take
    seven times as long; one of them moves an estimate over 20 by less than a
    quarter of RST_SPEED_ALIKE. */
#define SAMPLES_MAX 20.0

/** Largest difference from the estimate that a sample may have, as a factor of
    two. */
#define SAMPLE_DISTANCE_MAX 0.7

/** Largest logarithm of a speed. */
#define LOG_SPEED_MAX 1.5

/** Weight at which half of an estimate is believed. */
#define HALF_BELIEVED_WEIGHT 3.0

/** Weight below which an estimate is not used. */
#define USED_WEIGHT_MIN 2.0

/** An estimate that is closer to the usual speed than this multiple of its
    standard error is not used: of 1,000 usual instances, 3 exceed it. */
#define ERRORS_MIN 3.0

/** Time in which the weight of an estimate falls to a half: a slow instance
    that is no longer used is tried again after about a minute. */
#define HALF_LIFE_MS 20000.0

/** Shortest time over which the rate of a run is measured, and the least
    progress that is expected over it, in percent.  Progress is reported in
    whole percent, so that a rate over 5 % is wrong by a fifth at most. */
#define RATE_INTERVAL_MS 1000
#define RATE_PERCENT_MIN 5

/** Progress from which the rate of a run is no longer compared. */
#define RATE_PERCENT_MAX 95

/** Difference of logarithms from which the rate of a run has changed. */
#define RATE_CHANGE_MIN 0.3

/** Width of a class of speeds. */
#define CLASS_WIDTH (2.0 * RST_SPEED_ALIKE)

/** Share of its run time by which a task of a step may take longer than the
    others. */
#define RUN_TIME_SPREAD 0.3

/** By how much longer stragglers run than other tasks of their step.  3 tasks
    in 100 are stragglers, so every second job of 25 tasks has one, and their
    delay counts as much as that of other tasks. */
#define STRAGGLER_EXCESS 6.0

/** Score of an instance on which a task would end too late by as much as it
    runs.  More than the largest difference of free shares, less than the
    penalty of an instance where the task failed. */
#define LATE_SCORE 3.0

/** Score of an instance per logarithm of its speed if there is time to spare:
    an instance half as fast comes before one with a fifth more of its
    processors free. */
#define LEAVE_FAST_SCORE 0.3

int
rst_speed_compare_runs (const void *a, const void *b)
{
  float left = ((const struct rst_speed_run *)a)->log_work;
  float right = ((const struct rst_speed_run *)b)->log_work;

  return left < right ? -1 : left > right;
}

double
rst_speed_get_median (const struct rst_speed_run *runs, int count, int omitted)
{
  int used = omitted < 0 ? count : count - 1;
  int low = (used - 1) / 2;
  int high = used / 2;

  if (omitted >= 0 && low >= omitted)
    low++;
  if (omitted >= 0 && high >= omitted)
    high++;
  return ((double)runs[low].log_work + (double)runs[high].log_work) / 2.0;
}

double
rst_instance_speed_get_weight (const struct rst_instance_speed *speed,
                               rst_ms now)
{
  rst_ms age = MAX (now - speed->updated_at, 0);

  if (speed->weight <= 0.0)
    return 0.0;
  return speed->weight * exp2 (-(double)age / HALF_LIFE_MS);
}

void
rst_instance_speed_add (struct rst_instance_speed *speed, double log_sample,
                        rst_ms now)
{
  double weight = rst_instance_speed_get_weight (speed, now);
  double distance = CLAMP (log_sample - speed->log_speed, -SAMPLE_DISTANCE_MAX,
                           SAMPLE_DISTANCE_MAX);

  weight = MIN (weight + 1.0, SAMPLES_MAX);
  speed->log_speed = CLAMP (speed->log_speed + distance / weight,
                            -LOG_SPEED_MAX, LOG_SPEED_MAX);
  speed->variance += (distance * distance - speed->variance) / weight;
  speed->weight = weight;
  speed->updated_at = now;
}

double
rst_instance_speed_get (const struct rst_instance_speed *speed, double usual,
                        rst_ms now)
{
  double weight = rst_instance_speed_get_weight (speed, now);
  double difference = speed->log_speed - usual;
  double error;

  if (weight < USED_WEIGHT_MIN)
    return 0.0;
  /* An exponentially weighted mean rests on nearly twice as many samples. */
  error = sqrt (speed->variance / (2.0 * weight - 1.0));
  if (fabs (difference) < ERRORS_MIN * error)
    return 0.0;
  return difference * weight / (weight + HALF_BELIEVED_WEIGHT);
}

bool
rst_run_progress_compare (struct rst_run_progress *progress, int percent,
                          double log_speed, rst_ms now, double *log_sample)
{
  rst_ms elapsed = now - progress->at;
  int made = percent - progress->percent;
  double expected = progress->rate * (double)elapsed;
  double change;

  if (progress->at == 0 || made < 0)
    {
      progress->percent = percent;
      progress->at = now;
      return false;
    }
  if (elapsed < RATE_INTERVAL_MS)
    return false;
  if (progress->rate <= 0.0)
    {
      if (made < RATE_PERCENT_MIN)
        return false;
      progress->rate = (double)made / (double)elapsed;
      progress->log_speed = log_speed;
      progress->percent = percent;
      progress->at = now;
      return false;
    }
  if (expected < RATE_PERCENT_MIN
      || progress->percent + expected > RATE_PERCENT_MAX)
    return false;
  progress->percent = percent;
  progress->at = now;
  change = log (MAX (made, 1) / expected);
  *log_sample = progress->log_speed + change;
  return fabs (change) >= RATE_CHANGE_MIN;
}

bool
rst_instance_speed_is_alike (double log_speed)
{
  return fabs (log_speed) < RST_SPEED_ALIKE;
}

int
rst_instance_speed_get_class (double log_speed)
{
  return (int)lround (log_speed / CLASS_WIDTH);
}

/* By how much of its run time a task ends too late, as a score, if it takes
   longer by the share @excess. */
static double
get_late_score (double log_speed, double run_ms, double spare_ms,
                double excess)
{
  double late_ms
      = run_ms * ((1.0 + excess) * exp (-log_speed) - 1.0) - spare_ms;

  if (late_ms <= 0.0)
    return 0.0;
  /* Grows without reaching a maximum, so that the fastest one is preferred
     also if the task would be late on all. */
  return 2.0 * LATE_SCORE * late_ms / (late_ms + run_ms);
}

double
rst_instance_speed_get_score (double log_speed, double run_ms, double spare_ms)
{
  double late;
  double straggler_late;

  if (rst_instance_speed_is_alike (log_speed) || run_ms <= 0.0)
    return 0.0;
  late = get_late_score (log_speed, run_ms, spare_ms, RUN_TIME_SPREAD);
  straggler_late
      = get_late_score (log_speed, run_ms, spare_ms, STRAGGLER_EXCESS);
  if (straggler_late <= 0.0)
    return LEAVE_FAST_SCORE * log_speed;
  return late + straggler_late
         - get_late_score (0.0, run_ms, spare_ms, RUN_TIME_SPREAD)
         - get_late_score (0.0, run_ms, spare_ms, STRAGGLER_EXCESS);
}
