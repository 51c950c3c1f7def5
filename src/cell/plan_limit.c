/* Upper limits of customers: what they may have running on all instances. */
#include "cell/planner_private.h"

/* Whether @used and @tasks of @need more stay within a limit; 0 is none. */
static bool
is_within (int64_t limit, int64_t used, int64_t need, int tasks)
{
  return limit == 0 || used + need * tasks <= limit;
}

bool
rst_plan_below_limit (const struct step *step, int tasks)
{
  const struct customer *customer = step->occurrence->job->customer;
  const struct rst_need *limit = &customer->set.limit;
  struct rst_need need = rst_step_need (step->spec);
  struct rst_need used = customer->used;

  if (RST_CELL_FAULT (RST_CELL_FAULT_NO_LIMIT))
    return true;
  rst_need_add (&used, &customer->unsure, 1);
  return is_within (limit->cpu, used.cpu, need.cpu, tasks)
         && is_within (limit->memory, used.memory, need.memory, tasks)
         && is_within (limit->gpu, used.gpu, need.gpu, tasks);
}

static void
count_step (const struct step *step)
{
  struct customer *customer = step->occurrence->job->customer;
  struct rst_need need = rst_step_need (step->spec);

  for (int i = 0; i < step->spec->count; i++)
    {
      const struct task *task = &step->tasks[i];

      if (task->unsure && task->run == NULL && !task->done)
        rst_need_add (&customer->unsure, &need, 1);
    }
}

/* After a change of planner, tasks of older jobs may run on instances that
   have not said yet what they run; all of them count as running. */
void
rst_plan_count_unsure (struct rst_planner *planner)
{
  static const struct rst_need none;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, planner->customers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct customer *)value)->unsure = none;
  for (guint i = 0; planner->unsure_left && i < planner->active->len; i++)
    count_step (g_ptr_array_index (planner->active, i));
}
