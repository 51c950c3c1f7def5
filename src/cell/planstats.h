/**
 * DOC: planstats - counters of a planner since its term began
 */
#ifndef RST_PLANSTATS_H
#define RST_PLANSTATS_H

#include <stdint.h>

#include "cell/locality.h"
#include "cell/plan_wait.h"
#include "util/histogram.h"

/** Number of ways in which a run can end; see enum rst_end. */
#define RST_END_KINDS 6

/**
 * struct rst_planner_stats - Counters and current sizes of a planner.
 * @jobs: Jobs in memory, including ended ones that are not yet forgotten.
 * @accepted: Jobs submitted.
 * @completed: Jobs that completed.
 * @failed: Jobs that failed.
 * @cancelled: Jobs that callers cancelled.
 * @rejected: Submitted jobs that were rejected because the store does not
 *   answer.
 * @rejected_isolated: Those of them that were rejected while the planner was
 *   isolated.
 * @isolations: Times that the planner was isolated.
 * @isolated: Whether it is.
 * @outdated: Submitted jobs that were rejected because their caller may have
 *   cancelled them since.
 * @notes: Cancelled ids that no job has, see plan_cancelled.c.
 * @notes_rejected: Cancels that were rejected because there are too many.
 * @instances: Registered instances.
 * @instances_known: Instances whose runs are known.
 * @agents: Connected agents.
 * @waiting_steps: Steps with tasks that wait to be placed.
 * @starts: Start orders sent.
 * @starts_failed: Start orders that failed.
 * @ends: Runs that ended, by enum rst_end.
 * @advice_calls: Advice requests sent.
 * @advice_failed: Advice requests that failed.
 * @crashes: Crashes of instances with runs.
 * @trials: Starts of suspects apart from other jobs.
 * @tasks_given_up: Tasks whose jobs failed because instances crash under them.
 * @leases_expired: Leases that expired while the runs of their instances were
 *   not known.
 * @checkpoints_dropped: Checkpoints that were not kept because all of them
 *   take too much memory.
 * @pace_orders: Orders sent that set the pace of a run.
 * @journal_bytes: Size of the journal's segments, which a successor reads.
 * @journal_needed_bytes: About what they would have without replaced records.
 * @commits: Segments appended to the journal.
 * @commit_ms: Time from a commit to its confirmation by the store.
 * @advice_ms: Time from an advice request to its answer.
 * @overloaded: Submitted jobs that were rejected because they would end too
 *   late.
 * @rejected_refused: Of @rejected, those while the store refused commits.
 * @returned: Submitted jobs that were accepted after a rejection.
 * @rejected_ids: Rejected ids whose first attempts are known.
 * @rack_waits: Waits of steps for room in their rack.
 * @rack_wait_ends: Waits that ended, by why the step starts elsewhere;
 *   RST_LOCALITY_WAIT counts those that ended with room.
 * @waiting_by_reason: Of @waiting_steps, those that wait for each reason, as
 *   of the last check.
 * @longest_wait_ms: The longest present wait of a step.
 * @step_wait_ms: How long steps waited for a reason, by enum rst_wait_reason;
 *   counted when the reason ends.
 * @slow_instances: Registered instances that count as slow.
 * @slow_found: Times that an instance was found to be slow.
 * @speed_samples: Ended runs that were compared with others of their step.
 * @rate_changes: Reports that show a change of the speed of an instance.
 */
struct rst_planner_stats
{
  uint64_t jobs;
  uint64_t accepted;
  uint64_t completed;
  uint64_t failed;
  uint64_t cancelled;
  uint64_t rejected;
  uint64_t outdated;
  uint64_t notes;
  uint64_t notes_rejected;
  uint64_t instances;
  uint64_t instances_known;
  uint64_t agents;
  uint64_t waiting_steps;
  uint64_t journal_bytes;
  uint64_t journal_needed_bytes;
  uint64_t starts;
  uint64_t starts_failed;
  uint64_t ends[RST_END_KINDS];
  uint64_t advice_calls;
  uint64_t advice_failed;
  uint64_t crashes;
  uint64_t trials;
  uint64_t tasks_given_up;
  uint64_t leases_expired;
  uint64_t checkpoints_dropped;
  uint64_t pace_orders;
  uint64_t commits;
  struct rst_histogram commit_ms;
  struct rst_histogram advice_ms;
  /* Limits for callers (plan_tables.c). */
  uint64_t tables_refused;
  /* Admission. */
  uint64_t overloaded;
  uint64_t rejected_refused;
  uint64_t returned;
  uint64_t rejected_ids;
  uint64_t rejected_isolated;
  uint64_t isolations;
  uint64_t isolated;
  /* Data locality. */
  uint64_t rack_waits;
  uint64_t rack_wait_ends[RST_LOCALITY_REASONS];
  /* Waits of steps (plan_wait.c). */
  uint64_t waiting_by_reason[RST_WAIT_REASONS];
  uint64_t longest_wait_ms;
  struct rst_histogram step_wait_ms[RST_WAIT_REASONS];
  /* Heterogeneous instances (plan_speed.c). */
  uint64_t slow_instances;
  uint64_t slow_found;
  uint64_t speed_samples;
  uint64_t rate_changes;
};

/**
 * struct rst_queue_stats - Counters of one queue.
 * @name: The queue's name.
 * @pending: Jobs of which no task has started.
 * @first_start_ms: Time from the submission of a job to its first start
 *   order.
 * @job_ms: Time from the submission of a job to its completion.
 */
struct rst_queue_stats
{
  const char *name;
  int64_t pending;
  struct rst_histogram first_start_ms;
  struct rst_histogram job_ms;
};

#endif
