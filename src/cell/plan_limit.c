/* Upper limits of customers: resources that the runs of a customer may take on
   all instances together.

   Answers the load of a customer that always has more work than its limit: a
   gang needs much of the limit at once, and each run that ends leaves room for
   a small task that was submitted later.  So a waiting gang holds its part of
   the limit against the steps ranked after it. */
#include "cell/plan_intent.h"
#include "cell/plan_locality.h"
#include "cell/planner_private.h"

/* Whether a use of @used and @tasks times @need stays within a limit; a limit
   of 0 means none. */
static bool
is_within_limit (int64_t limit, int64_t used, int64_t need, int tasks)
{
  return limit == 0 || used + need * tasks <= limit;
}

/* Whether the limit allows @tasks more tasks of a step beside what is used. */
static bool
allows_tasks (const struct step *step, const struct rst_resources *used,
              int tasks)
{
  const struct customer *customer = step->occurrence->job->customer;
  const struct rst_resources *limit = &customer->settings.limit;
  struct rst_resources need = rst_step_get_task_need (step->spec);

  if (RST_CELL_FAULT (RST_CELL_FAULT_IGNORE_LIMIT))
    return true;
  return is_within_limit (limit->cpu, used->cpu, need.cpu, tasks)
         && is_within_limit (limit->memory, used->memory, need.memory, tasks)
         && is_within_limit (limit->gpu, used->gpu, need.gpu, tasks);
}

bool
rst_plan_is_below_limit (const struct step *step, int tasks)
{
  const struct customer *customer = step->occurrence->job->customer;
  struct rst_resources used = customer->used;

  rst_resources_add (&used, &customer->in_doubt, 1);
  rst_resources_add (&used, &customer->held, 1);
  return allows_tasks (step, &used, tasks);
}

bool
rst_plan_is_below_limit_without_doubt (const struct step *step, int tasks)
{
  const struct customer *customer = step->occurrence->job->customer;
  struct rst_resources used = customer->used;

  rst_resources_add (&used, &customer->held, 1);
  return allows_tasks (step, &used, tasks);
}

/* Whether a limit allows that a step holds its part beside what steps ranked
   before it hold. */
static bool
may_hold (const struct customer *customer, const struct rst_resources *need,
          int tasks)
{
  const struct rst_resources *limit = &customer->settings.limit;
  const struct rst_resources *held = &customer->held;

  return is_within_limit (limit->cpu, held->cpu, need->cpu, tasks)
         && is_within_limit (limit->memory, held->memory, need->memory, tasks)
         && is_within_limit (limit->gpu, held->gpu, need->gpu, tasks);
}

/* Whether the instances that a gang may use would hold it if they were idle. A
   gang that can't start would hold its part of the limit for nothing. */
static bool
could_ever_fit (const struct rst_planner *planner, const struct step *step)
{
  struct rst_resources need = rst_step_get_task_need (step->spec);
  int64_t missing = step->spec->count;

  for (guint i = 0; missing > 0 && i < planner->schedulable_instances->len;
       i++)
    {
      const struct instance *instance
          = g_ptr_array_index (planner->schedulable_instances, i);
      int64_t max = step->spec->max_per_instance > 0
                        ? step->spec->max_per_instance
                        : missing;

      if (rst_plan_may_be_approved (step, instance))
        missing -= rst_locality_count_tasks (&instance->entry.capacity, &need,
                                             max);
    }
  return missing <= 0;
}

void
rst_plan_hold_limit (const struct rst_planner *planner, struct step *step)
{
  struct customer *customer = step->occurrence->job->customer;
  struct rst_resources need = rst_step_get_task_need (step->spec);

  if (step->spec->gang && step->tasks_waiting == step->spec->count
      && rst_plan_rank_has_value (step) && !rst_plan_awaits_trial (step)
      && rst_plan_gang_may_start (planner, step)
      && may_hold (customer, &need, step->spec->count)
      && could_ever_fit (planner, step))
    rst_resources_add (&customer->held, &need, step->spec->count);
}

static void
add_step_in_doubt (const struct rst_planner *planner, const struct step *step)
{
  struct customer *customer = step->occurrence->job->customer;
  struct rst_resources need = rst_step_get_task_need (step->spec);

  for (int i = 0; i < step->spec->count; i++)
    {
      const struct task *task = &step->tasks[i];

      if (task->run == NULL && !task->done
          && rst_plan_is_in_doubt (planner, task))
        rst_resources_add (&customer->in_doubt, &need, 1);
    }
}

/* After a takeover, tasks of earlier jobs may run on instances that have not
   reported yet.  Until they have, these tasks count as running. */
void
rst_plan_begin_limit_pass (struct rst_planner *planner)
{
  static const struct rst_resources none;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, planner->customers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct customer *customer = value;

      customer->in_doubt = none;
      customer->held = none;
    }
  for (guint i = 0; planner->has_inherited && i < planner->waiting_steps->len;
       i++)
    add_step_in_doubt (planner, g_ptr_array_index (planner->waiting_steps, i));
}
