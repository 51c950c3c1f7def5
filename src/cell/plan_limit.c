/* Upper limits of customers: resources that the runs of a customer may take on
   all instances together. */
#include "cell/plan_intent.h"
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
  return allows_tasks (step, &used, tasks);
}

bool
rst_plan_is_below_limit_without_doubt (const struct step *step, int tasks)
{
  return allows_tasks (step, &step->occurrence->job->customer->used, tasks);
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
rst_plan_count_in_doubt (struct rst_planner *planner)
{
  static const struct rst_resources none;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, planner->customers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      ((struct customer *)value)->in_doubt = none;
    }
  for (guint i = 0; planner->has_inherited && i < planner->waiting_steps->len;
       i++)
    add_step_in_doubt (planner, g_ptr_array_index (planner->waiting_steps, i));
}
