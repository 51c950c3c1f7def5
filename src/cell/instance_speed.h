/**
 * DOC: instance_speed - estimate of an instance's speed from its runs
 *
 * Handles a fleet whose instances run the same task at different speeds.  A
 * run is compared with the other runs of its step, since the tasks of one step
 * are alike.  Speeds are natural logarithms relative to the usual speed: 0 is
 * usual, log (0.5) is half as fast.
 */
#ifndef RST_INSTANCE_SPEED_H
#define RST_INSTANCE_SPEED_H

#include "rosemarystile.h"

/** Smallest number of runs that are compared with each other. */
#define RST_SPEED_RUNS_MIN 3

/** Largest difference of logarithms at which two speeds count as alike.
    Twice the error of an estimate from runs that differ by 30 %. */
#define RST_SPEED_ALIKE 0.15

/**
 * struct rst_instance_speed - What was learned of an instance.
 * @log_speed: Weighted mean of the samples.
 * @variance: Weighted mean of the squared distances of the samples.
 * @weight: Number of samples that it rests on; falls with time.
 * @updated_at: Time as of which @weight holds.
 *
 * All zero if nothing was learned.
 */
struct rst_instance_speed
{
  double log_speed;
  double variance;
  double weight;
  rst_ms updated_at;
};

/**
 * struct rst_speed_run - An ended run of a step.
 * @instance: Number of its instance.
 * @log_took: Logarithm of its run time in ms.
 * @log_work: The same at the usual speed: @log_took plus the speed that was
 *   assumed of its instance when runs were compared.
 * @ended_at: When its end was reported.
 */
struct rst_speed_run
{
  unsigned instance;
  float log_took;
  float log_work;
  rst_ms ended_at;
};

/**
 * struct rst_run_progress - Rate at which a run makes progress.
 * @percent: Progress at the last comparison.
 * @at: Time of the last comparison; 0 before the first report.
 * @rate: Percent per millisecond up to the first comparison; 0 before it.
 * @log_speed: Speed that was assumed of the instance at that time.
 */
struct rst_run_progress
{
  int percent;
  rst_ms at;
  double rate;
  double log_speed;
};

/** rst_speed_compare_runs() - Orders runs by @log_work, for sorting. */
int rst_speed_compare_runs (const void *a, const void *b);

/**
 * rst_speed_get_median() - Returns the median of the @log_work of runs.
 * @runs: The runs, sorted.
 * @count: Their number.
 * @omitted: Index of a run that is left out, or -1.
 */
double rst_speed_get_median (const struct rst_speed_run *runs, int count,
                             int omitted);

/**
 * rst_instance_speed_add() - Adds a sample to an estimate.
 * @log_sample: Logarithm of the usual time of a task by the time it took.
 * @now: Time of the sample.
 *
 * Samples far from the estimate count as less far, and the mean is over about
 * the last 20, so that single stragglers change little.
 */
void rst_instance_speed_add (struct rst_instance_speed *speed,
                             double log_sample, rst_ms now);

/** rst_instance_speed_get_weight() - Returns the weight of an estimate now. */
double rst_instance_speed_get_weight (const struct rst_instance_speed *speed,
                                      rst_ms now);

/**
 * rst_instance_speed_get() - Returns the speed to assume of an instance.
 * @usual: Estimate of a usual instance.
 * @now: The present time.
 *
 * Return: The logarithm of its speed by the usual one, closer to 0 the fewer
 * and older the samples are, and 0 if it may be due to chance.
 */
double rst_instance_speed_get (const struct rst_instance_speed *speed,
                               double usual, rst_ms now);

/**
 * rst_run_progress_compare() - Compares the rate of a run since the last
 * comparison with its rate before.
 * @percent: Its progress.
 * @log_speed: Speed that is assumed of its instance.
 * @now: Time of the report.
 * @log_sample: Set to the logarithm of the speed of the instance if true is
 *   returned.
 *
 * A straggler is slow from its start on and gives no sample.
 *
 * Return: Whether the rate has clearly changed.
 */
bool rst_run_progress_compare (struct rst_run_progress *progress, int percent,
                               double log_speed, rst_ms now,
                               double *log_sample);

/** rst_instance_speed_is_alike() - Whether an instance counts as one of the
    usual speed. */
bool rst_instance_speed_is_alike (double log_speed);

/**
 * rst_instance_speed_get_class() - Returns the class of a speed; instances of
 * one class count as alike.  0 is usual, higher is faster.
 */
int rst_instance_speed_get_class (double log_speed);

/**
 * rst_instance_speed_get_score() - Returns what the speed of an instance adds
 * to its score for a task; lower is better.
 * @log_speed: The speed to assume.
 * @run_ms: Run time of the task at the usual speed.
 * @spare_ms: Time until the latest start that meets the objective at the usual
 *   speed.
 *
 * An instance on which the task would end too late is worse the later it ends.
 * Where there is time to spare, slower ones are slightly better.  0 for an
 * instance of the usual speed.
 */
double rst_instance_speed_get_score (double log_speed, double run_ms,
                                     double spare_ms);

#endif
