/**
 * DOC: planstats - what a planner has counted since its term began
 */
#ifndef RST_PLANSTATS_H
#define RST_PLANSTATS_H

#include <stdint.h>

#include "util/histogram.h"

/** Number of ways in which a run can end; see enum rst_end. */
#define RST_END_KINDS 6

/**
 * struct rst_planner_stats - Counters and present sizes of a planner.
 * @jobs: Jobs known, ended ones among them until they are forgotten.
 * @accepted: Jobs handed in.
 * @completed: Jobs that completed.
 * @failed: Jobs that failed.
 * @cancelled: Jobs that callers cancelled.
 * @instances: Instances registered.
 * @instances_known: Those whose runs are known.
 * @agents: Agents linked.
 * @waiting_steps: Steps with tasks that wait for a place.
 * @starts: Starts ordered.
 * @starts_failed: Starts that did not succeed.
 * @ends: Runs ended, by enum rst_end.
 * @advice_calls: Calls for advice.
 * @advice_failed: Those without a usable answer.
 * @pace_orders: Orders on the pace of tasks.
 * @commits: Segments appended to the journal.
 * @commit_ms: Time from a commit to the store's word.
 * @advice_ms: Time from a call for advice to its answer.
 */
struct rst_planner_stats
{
  uint64_t jobs;
  uint64_t accepted;
  uint64_t completed;
  uint64_t failed;
  uint64_t cancelled;
  uint64_t instances;
  uint64_t instances_known;
  uint64_t agents;
  uint64_t waiting_steps;
  uint64_t starts;
  uint64_t starts_failed;
  uint64_t ends[RST_END_KINDS];
  uint64_t advice_calls;
  uint64_t advice_failed;
  uint64_t pace_orders;
  uint64_t commits;
  struct rst_histogram commit_ms;
  struct rst_histogram advice_ms;
};

/**
 * struct rst_queue_stats - What a planner has counted for one queue.
 * @name: The queue's name.
 * @pending: Jobs of which no task has started.
 * @first_start_ms: Time from handing a job in to the first order for it.
 * @job_ms: Time from handing a job in to its completion.
 */
struct rst_queue_stats
{
  const char *name;
  int64_t pending;
  struct rst_histogram first_start_ms;
  struct rst_histogram job_ms;
};

#endif
