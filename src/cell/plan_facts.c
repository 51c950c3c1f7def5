/* Describes what a successor has to know of each job. */
#include <inttypes.h>

#include "cell/planner_private.h"

static void
describe_task (GString *text, const struct task *task)
{
  char name[RST_TASK_NAME_SIZE];
  int failures = rst_failures_count (task->failures);

  if (!task->done && failures == 0 && task->crashes == NULL)
    return;
  rst_plan_format_task_name (task, name, sizeof name);
  g_string_append_printf (text, " %s", name);
  if (task->done)
    {
      g_string_append (text, ":done");
      return;
    }
  if (failures > 0)
    g_string_append_printf (text, ":failed=%d", failures);
  if (task->crashes != NULL)
    g_string_append_printf (
        text, ":crashed=%d/%" PRId64 "/%d/%d", task->crashes->count,
        (int64_t)task->crashes->survived_ms, task->crashes->is_suspect,
        task->crashes->is_probable);
}

static void
describe_job (GString *text, const struct job *job)
{
  bool has_ended = rst_plan_job_has_ended (job);

  g_string_printf (text, "state=%d", has_ended ? (int)job->state : 0);
  if (has_ended)
    return;
  g_string_append_printf (
      text, " submitted=%" PRId64 " first=%" PRId64 " over=%d",
      job->submitted_ms, job->first_attempt_ms, job->over_share);
  for (guint k = 0; k < job->occurrences->len; k++)
    {
      const struct occurrence *occurrence
          = g_ptr_array_index (job->occurrences, k);

      for (int i = 0; i < job->desc->step_count; i++)
        for (int t = 0; t < job->desc->steps[i].count; t++)
          describe_task (text, &occurrence->steps[i].tasks[t]);
    }
}

void
rst_planner_foreach_job (const struct rst_planner *planner,
                         void (*visit) (void *userdata,
                                        const struct rst_job_facts *facts),
                         void *userdata)
{
  GString *text = g_string_new (NULL);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, planner->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct job *job = value;
      struct rst_job_facts facts = { job->id, job->last_record_segment, NULL };

      if (job->is_note)
        continue;
      describe_job (text, job);
      facts.text = text->str;
      visit (userdata, &facts);
    }
  g_string_free (text, TRUE);
}
