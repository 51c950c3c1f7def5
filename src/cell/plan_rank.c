/* Objectives of jobs and the order in which waiting steps are placed.

   Answers the load of a full fleet: what can still meet its objective comes
   before what is late, and that before what has no value any more. */
#include "cell/planner_private.h"

/** After this multiple of its objective a job is ranked last. */
#define MISSED_OBJECTIVE_FACTOR 3

/* Ranks lie in bands, placed in this order: steps that can still meet their
   objective, late steps, steps of jobs over their customer's share, and steps
   that have missed their objective by so much that their jobs have no value
   any more.  The first two bands are split by the queue's priority. */
#define RANK_BAND_LATE ((int64_t)1 << 50)
#define RANK_BAND_OVER_SHARE ((int64_t)1 << 51)
#define RANK_BAND_MISSED ((int64_t)1 << 52)
#define RANK_BAND_PRIORITY ((int64_t)1 << 45)

/* Since estimates are rough, the mean run time of the queue's tasks counts as
   much as the estimate. */
double
rst_plan_get_expected_run_ms (const struct job *job, int index)
{
  double estimate_ms = (double)job->desc->steps[index].estimate_ms;

  return job->queue->mean_run_ms > 0.0
             ? (estimate_ms + job->queue->mean_run_ms) / 2.0
             : estimate_ms;
}

double
rst_plan_get_remaining_path_ms (const struct step *step)
{
  const struct job *job = step->occurrence->job;
  double longest = rst_plan_get_expected_run_ms (job, step->index);

  for (int i = step->index + 1; i < job->desc->step_count; i++)
    for (int k = 0; k < job->desc->steps[i].after_count; k++)
      if (job->desc->steps[i].after[k] >= step->index)
        longest += rst_plan_get_expected_run_ms (job, i);
  return longest;
}

double
rst_plan_get_critical_path_ms (const struct job *job)
{
  double ends[RST_STEPS_MAX] = { 0 };
  double longest = 0.0;

  for (int i = 0; i < job->desc->step_count; i++)
    {
      const struct rst_step *step = &job->desc->steps[i];

      for (int k = 0; k < step->after_count; k++)
        ends[i] = MAX (ends[i], ends[step->after[k]]);
      ends[i] += rst_plan_get_expected_run_ms (job, i);
      longest = MAX (longest, ends[i]);
    }
  return longest;
}

int64_t
rst_plan_get_objective_ms (const struct job *job)
{
  const struct rst_queue *queue = &job->queue->settings;

  return (int64_t)(rst_plan_get_critical_path_ms (job)
                   * (double)queue->slack_permille / 1000.0)
         + queue->target_ms;
}

bool
rst_plan_has_no_value (const struct rst_planner *planner, int64_t due_ms,
                       int64_t objective_ms)
{
  return planner->unix_ms > due_ms + MISSED_OBJECTIVE_FACTOR * objective_ms;
}

void
rst_plan_set_objective (struct step *step)
{
  step->objective_ms = rst_plan_get_objective_ms (step->occurrence->job);
  step->start_by_ms = step->occurrence->due_ms + step->objective_ms
                      - (int64_t)rst_plan_get_remaining_path_ms (step);
}

/* Within a band, steps are ranked by the time by which they have to start to
   meet the objective; half a priority band is added so that the rank of a
   late step does not fall below its band.  Long-running steps come before all
   others. */
int64_t
rst_plan_compute_rank (const struct rst_planner *planner,
                       const struct step *step)
{
  const struct job *job = step->occurrence->job;
  const struct rst_queue *queue = &job->queue->settings;
  int64_t start_by_rank
      = step->start_by_ms - planner->unix_ms + RANK_BAND_PRIORITY / 2;
  int64_t priority_offset = queue->priority == 0 ? 0 : RANK_BAND_PRIORITY;

  if (planner->order == RST_STEP_ORDER_FIFO)
    return step->occurrence->due_ms;
  if (step->spec->long_running)
    return 0;
  if (rst_plan_has_no_value (planner, step->occurrence->due_ms,
                             step->objective_ms))
    return RANK_BAND_MISSED + start_by_rank;
  if (job->over_share)
    return RANK_BAND_OVER_SHARE + start_by_rank;
  if (planner->unix_ms > step->start_by_ms)
    return RANK_BAND_LATE + priority_offset + start_by_rank;
  return priority_offset + start_by_rank;
}

bool
rst_plan_rank_has_value (const struct step *step)
{
  return step->rank < RANK_BAND_MISSED;
}
