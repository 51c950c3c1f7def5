/**
 * DOC: start_estimate - when a job could start, from what runs and waits
 *
 * Answers one load pattern: jobs arrive faster than the fleet can run them.
 * The estimate treats a supply (the instances of a pool, or the upper limit of
 * a customer) as one amount of each resource and work as resources times
 * milliseconds.  A job starts once the work before it has been started.
 * Everything unknown is left out, so that the estimate is rather too early
 * than too late.
 */
#ifndef RST_START_ESTIMATE_H
#define RST_START_ESTIMATE_H

#include "cell/jobdesc.h"

/** Bands of the placement order; see plan_rank.c.  Steps of jobs that have no
    value any more come after all of them and are not counted. */
enum rst_start_band
{
  RST_START_BAND_IN_TIME_URGENT,
  RST_START_BAND_IN_TIME,
  RST_START_BAND_LATE_URGENT,
  RST_START_BAND_LATE,
  RST_START_BAND_OVER_SHARE,
};

#define RST_START_BANDS 5

/** Parts of a band, by the time by which a step has to start. */
#define RST_START_SLOTS 256

/** struct rst_start_work - Amounts of work, in units times milliseconds. */
struct rst_start_work
{
  double cpu;
  double memory;
  double gpu;
};

/**
 * struct rst_start_load - What a supply has to do.
 * @capacity: Its size; a member of 0 is not limited.
 * @running: Work that its runs have left.
 * @turnover_ms: Mean run time of its runs, weighted by their processors.
 * @turnover_weight: Processors of the runs added so far.
 * @waiting: Work of waiting steps, by band and slot.
 * @taken_at: When @running was determined, in Unix time.
 * @waiting_sum: Sum of @waiting.
 */
struct rst_start_load
{
  struct rst_resources capacity;
  struct rst_start_work running;
  double turnover_ms;
  double turnover_weight;
  struct rst_start_work waiting[RST_START_BANDS][RST_START_SLOTS];
  int64_t taken_at;
  struct rst_start_work waiting_sum;
};

/** rst_start_load_clear() - Empties a load. */
void rst_start_load_clear (struct rst_start_load *load,
                           const struct rst_resources *capacity,
                           int64_t taken_at);

/**
 * rst_start_load_add_run() - Adds a run.
 * @expected_ms: How long such runs take.
 * @left_ms: How long this one still takes.
 */
void rst_start_load_add_run (struct rst_start_load *load,
                             const struct rst_resources *need,
                             double expected_ms, double left_ms);

/** rst_start_load_finish_runs() - Ends the sequence of added runs. */
void rst_start_load_finish_runs (struct rst_start_load *load);

/**
 * rst_start_load_add_waiting() - Adds tasks that wait.
 * @start_by: Unix time by which they have to start.
 * @tasks: Their number.
 * @expected_ms: How long each runs.
 */
void rst_start_load_add_waiting (struct rst_start_load *load,
                                 enum rst_start_band band, int64_t start_by,
                                 const struct rst_resources *need, int tasks,
                                 double expected_ms);

/** rst_start_load_get_waiting_ms() - How long the supply takes for all work
    that waits. */
double rst_start_load_get_waiting_ms (const struct rst_start_load *load);

/**
 * rst_start_load_get_delay_ms() - Estimates when a step of a band could start.
 * @now: Unix time.
 *
 * Return: Milliseconds from @now; 0 if there is nothing to wait for.
 */
double rst_start_load_get_delay_ms (const struct rst_start_load *load,
                                    enum rst_start_band band, int64_t start_by,
                                    int64_t now);

#endif
