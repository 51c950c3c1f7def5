/* The last checkpoint of each task that is not done.  The journal does not
   have them: instances list them. */
#include <string.h>

#include "cell/planner_private.h"

/** Most bytes of checkpoints that the planner keeps, so that its memory stays
    bounded whatever tasks save. */
#define CHECKPOINTS_BYTES_MAX (16 * 1024 * 1024)

/* The members of a gang go on from the same checkpoint, whichever of them
   saved it. */
static char **
find_checkpoint (struct task *task)
{
  return task->step->spec->gang ? &task->step->checkpoint : &task->checkpoint;
}

const char *
rst_plan_get_checkpoint (struct task *task)
{
  const char *checkpoint = *find_checkpoint (task);

  return checkpoint != NULL ? checkpoint : "";
}

static size_t
get_length (const char *checkpoint)
{
  return checkpoint != NULL ? strlen (checkpoint) : 0;
}

static void
set_checkpoint (struct rst_planner *planner, char **kept, const char *text)
{
  planner->checkpoint_bytes += get_length (text);
  planner->checkpoint_bytes -= get_length (*kept);
  g_free (*kept);
  *kept = g_strdup (text);
}

void
rst_plan_keep_checkpoint (struct rst_planner *planner, struct task *task,
                          const char *text)
{
  char **kept = find_checkpoint (task);
  size_t length = get_length (text);

  if (length == 0 || !task->step->spec->has_checkpoints || task->done
      || rst_plan_job_has_ended (task->step->occurrence->job)
      || g_strcmp0 (*kept, text) == 0)
    return;
  if (planner->checkpoint_bytes - get_length (*kept) + length
      <= CHECKPOINTS_BYTES_MAX)
    {
      set_checkpoint (planner, kept, text);
      planner->checkpoints_are_full = false;
      return;
    }
  planner->stats.checkpoints_dropped++;
  /* Once, until there is room again. */
  if (!planner->checkpoints_are_full)
    rst_warning (RST_PLAN_LOG,
                 "Checkpoints take too much memory; tasks keep older ones.",
                 "job", task->step->occurrence->job->id);
  planner->checkpoints_are_full = true;
}

void
rst_plan_forget_checkpoint (struct rst_planner *planner, struct task *task)
{
  set_checkpoint (planner, &task->checkpoint, NULL);
  if (task->step->tasks_left == 0)
    set_checkpoint (planner, &task->step->checkpoint, NULL);
}

void
rst_plan_forget_job_checkpoints (struct rst_planner *planner, struct job *job)
{
  for (guint k = 0; k < job->occurrences->len; k++)
    {
      struct occurrence *occurrence = g_ptr_array_index (job->occurrences, k);

      for (int i = 0; i < job->desc->step_count; i++)
        {
          struct step *step = &occurrence->steps[i];

          set_checkpoint (planner, &step->checkpoint, NULL);
          for (int t = 0; t < step->spec->count; t++)
            set_checkpoint (planner, &step->tasks[t].checkpoint, NULL);
        }
    }
}
