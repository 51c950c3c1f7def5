/* Memory that the tables of jobs take. */
#include <inttypes.h>

#include "cell/job_tables.h"
#include "cell/planner_private.h"

static int64_t
count_tasks (const struct rst_jobdesc *desc)
{
  int64_t count = 0;

  for (int i = 0; i < desc->step_count; i++)
    count += desc->steps[i].count;
  return count;
}

/* Counted when it is needed, which is for large jobs only. */
static int64_t
count_held_tasks (const struct rst_planner *planner)
{
  int64_t count = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, planner->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct job *job = value;

      if (!job->is_note)
        count += job->occurrences->len * count_tasks (job->desc);
    }
  return count;
}

bool
rst_plan_has_room_for (struct rst_planner *planner, const char *id,
                       const struct rst_jobdesc *desc)
{
  int64_t tasks = count_tasks (desc);
  char text[24];

  if (tasks <= RST_JOB_TABLES_SMALL_TASKS
      || rst_job_tables_has_room (planner->timing.tables_bytes_max,
                                  count_held_tasks (planner), tasks,
                                  sizeof (struct task)))
    return true;
  planner->stats.tables_refused++;
  g_snprintf (text, sizeof text, "%" PRId64, tasks);
  rst_info (RST_PLAN_LOG, "Job rejected; its tasks need too much memory.",
            "job", id, "tasks", text);
  return false;
}
