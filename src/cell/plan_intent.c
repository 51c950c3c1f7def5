/* Intents to start tasks, and where a successor has to look for their runs;
   see plan_intent.h. */
#include "cell/plan_intent.h"

#include "cell/planner_private.h"

/** How long a task without room keeps its intent, in milliseconds.  Until it
    is withdrawn, the task waits after a hand-over for every instance that
    does not answer. */
#define INTENT_RETENTION_MS 150

static guint32
get_place (const struct instance *instance)
{
  return g_str_hash (instance->entry.id);
}

bool
rst_plan_has_intent (const struct task *task)
{
  return task->has_intent;
}

static bool
awaits_start (const struct task *task)
{
  return !task->done && task->run == NULL;
}

bool
rst_plan_step_has_intent (const struct step *step)
{
  for (int i = 0; i < step->spec->count; i++)
    if (awaits_start (&step->tasks[i]) && !step->tasks[i].has_intent)
      return false;
  return true;
}

void
rst_plan_want_intent (struct rst_planner *planner, struct task *task)
{
  task->intent_wanted_at = planner->now;
  /* One that is being committed must not be withdrawn by a further record. */
  if (!task->has_intent && !task->intent_packed)
    rst_plan_mark_dirty (planner, task->step->occurrence->job);
}

void
rst_plan_want_step_intent (struct rst_planner *planner, struct step *step)
{
  for (int i = 0; i < step->spec->count; i++)
    if (awaits_start (&step->tasks[i]))
      rst_plan_want_intent (planner, &step->tasks[i]);
}

/* Whether a waiting task may still need its intent.  With many waiting steps
   the passes are rare, and each intent has to last until the next one.  The
   first record of a job contains it however late it is written. */
static bool
needs_intent (const struct rst_planner *planner, const struct task *task)
{
  const struct step *step = task->step;
  rst_ms wanted_at
      = MAX (MAX (task->freed_at, task->intent_wanted_at), step->ready_at);

  if (step->ready_at == 0)
    return false;
  return !step->occurrence->job->stored
         || planner->now - wanted_at
                < INTENT_RETENTION_MS
                      + 2 * rst_plan_get_pass_interval (planner);
}

/* Where the runs that earlier planners started have to be looked for. */
static enum rst_starts
get_inherited_starts (const struct rst_planner *planner,
                      const struct task *task)
{
  if (!rst_plan_is_in_doubt (planner, task))
    return RST_STARTS_NOWHERE;
  return task->inherited_starts;
}

enum rst_starts
rst_plan_choose_start_record (const struct rst_planner *planner,
                              struct task *task, guint32 *place)
{
  enum rst_starts starts = get_inherited_starts (planner, task);

  *place = task->inherited_place;
  if (task->done)
    starts = RST_STARTS_NOWHERE;
  else if (task->run != NULL && starts == RST_STARTS_NOWHERE)
    {
      starts = RST_STARTS_ON_ONE;
      *place = get_place (task->run->instance);
    }
  else if (task->run != NULL && *place != get_place (task->run->instance))
    starts = RST_STARTS_ANYWHERE;
  else if (starts == RST_STARTS_NOWHERE && needs_intent (planner, task))
    starts = RST_STARTS_ANYWHERE;
  task->intent_packed = starts == RST_STARTS_ANYWHERE;
  task->has_intent &= task->intent_packed;
  return starts;
}

void
rst_plan_confirm_intents (const struct rst_planner *planner,
                          const struct job *job)
{
  for (guint k = 0; k < job->occurrences->len; k++)
    {
      const struct occurrence *occurrence
          = g_ptr_array_index (job->occurrences, k);

      for (int i = 0; i < job->desc->step_count; i++)
        for (int t = 0; t < job->desc->steps[i].count; t++)
          {
            struct task *task = &occurrence->steps[i].tasks[t];

            if (task->intent_packed && !task->has_intent)
              task->intent_wanted_at = planner->now;
            task->has_intent |= task->intent_packed;
            task->intent_packed = false;
          }
    }
}

static bool
has_useless_intent (const struct rst_planner *planner, const struct step *step)
{
  for (int i = 0; i < step->spec->count; i++)
    {
      const struct task *task = &step->tasks[i];

      if (task->has_intent && awaits_start (task)
          && !needs_intent (planner, task)
          && get_inherited_starts (planner, task) == RST_STARTS_NOWHERE)
        return true;
    }
  return false;
}

void
rst_plan_withdraw_intents (struct rst_planner *planner)
{
  /* While the store does not answer, what is left of the intents is all that
     may start. */
  if (rst_plan_may_have_successor (planner))
    return;
  for (guint i = 0; i < planner->waiting_steps->len; i++)
    {
      const struct step *step = g_ptr_array_index (planner->waiting_steps, i);

      if (has_useless_intent (planner, step))
        rst_plan_mark_dirty (planner, step->occurrence->job);
    }
}

void
rst_plan_drop_young_intents (struct occurrence *occurrence)
{
  for (int i = 0; i < occurrence->job->desc->step_count; i++)
    if (occurrence->steps[i].ready_at != 0)
      occurrence->steps[i].ready_at = 1;
}

void
rst_plan_restore_intent (struct task *task, enum rst_starts starts,
                         guint32 place)
{
  task->inherited_starts = starts;
  task->inherited_place = place;
  task->has_intent = starts == RST_STARTS_ANYWHERE;
}

void
rst_plan_set_inherited (struct rst_planner *planner, struct instance *instance,
                        bool inherited)
{
  gpointer key = GUINT_TO_POINTER (get_place (instance));
  guint count = GPOINTER_TO_UINT (
      g_hash_table_lookup (planner->inherited_places, key));

  if (instance->inherited == inherited)
    return;
  instance->inherited = inherited;
  count += inherited ? 1 : (guint)-1;
  if (count > 0)
    g_hash_table_insert (planner->inherited_places, key,
                         GUINT_TO_POINTER (count));
  else
    g_hash_table_remove (planner->inherited_places, key);
  if (inherited)
    planner->has_inherited = true;
  else
    planner->accounted_at = planner->now;
}

bool
rst_plan_is_in_doubt (const struct rst_planner *planner,
                      const struct task *task)
{
  if (RST_CELL_FAULT (RST_CELL_FAULT_NO_TAKEOVER_WAIT))
    return false;
  if (RST_CELL_FAULT (RST_CELL_FAULT_WAIT_FOR_ALL)
      && task->step->occurrence->job->record_epoch != 0)
    return g_hash_table_size (planner->inherited_places) > 0;
  switch (task->inherited_starts)
    {
    case RST_STARTS_ANYWHERE:
      return g_hash_table_size (planner->inherited_places) > 0;
    case RST_STARTS_ON_ONE:
      return g_hash_table_contains (planner->inherited_places,
                                    GUINT_TO_POINTER (task->inherited_place));
    default:
      return false;
    }
}
