/* Why a waiting step does not start.

   Goes through the conditions of a placement pass after the pass and names the
   first one that the step fails. */
#include "cell/plan_wait.h"

#include "cell/plan_intent.h"
#include "cell/planner_private.h"

const char *
rst_wait_reason_name (enum rst_wait_reason reason)
{
  static const char *const names[RST_WAIT_REASONS] = {
    [RST_WAIT_UNKNOWN] = "not examined",
    [RST_WAIT_IN_DOUBT] = "in doubt",
    [RST_WAIT_INTENT] = "intent not stored",
    [RST_WAIT_UNCONFIRMED] = "store not confirmed",
    [RST_WAIT_RUN_STOPPING] = "run being stopped",
    [RST_WAIT_RUN_SILENT] = "run on silent instance",
    [RST_WAIT_NOT_STORED] = "job not stored",
    [RST_WAIT_LIMIT] = "limit",
    [RST_WAIT_LIMIT_IN_DOUBT] = "limit with tasks in doubt",
    [RST_WAIT_TRIAL] = "trial",
    [RST_WAIT_NO_INSTANCE] = "no eligible instance",
    [RST_WAIT_PAUSED] = "instances paused",
    [RST_WAIT_UNAVAILABLE] = "instances unavailable",
    [RST_WAIT_NO_ROOM] = "no room",
    [RST_WAIT_ANTI_AFFINITY] = "anti-affinity",
    [RST_WAIT_RESERVED] = "room reserved",
    [RST_WAIT_RACK] = "rack",
    [RST_WAIT_ADVICE] = "advice under way",
    [RST_WAIT_NOT_REQUESTED] = "advice not requested",
    [RST_WAIT_NOT_APPROVED] = "not approved",
    [RST_WAIT_NO_TICKET] = "no ticket",
    [RST_WAIT_NOTHING] = "nothing",
  };

  return names[reason];
}

/* Why a task without a run may not start.  What rst_plan_task_may_start()
   excludes besides tasks in doubt are those of which a successor may know
   more. */
static enum rst_wait_reason
find_task_reason (const struct rst_planner *planner, const struct task *task)
{
  if (rst_plan_is_in_doubt (planner, task))
    return RST_WAIT_IN_DOUBT;
  return rst_plan_task_may_start (planner, task) ? RST_WAIT_UNKNOWN
                                                 : RST_WAIT_UNCONFIRMED;
}

/* One task of a gang is enough to hold it up. */
static enum rst_wait_reason
find_gang_reason (const struct rst_planner *planner, const struct step *step)
{
  enum rst_wait_reason run_reason = RST_WAIT_UNKNOWN;

  for (int i = 0; i < step->spec->count; i++)
    {
      const struct task *task = &step->tasks[i];
      enum rst_wait_reason reason;

      if (task->run != NULL && !task->run->instance->runs_known)
        run_reason = RST_WAIT_RUN_SILENT;
      else if (task->run != NULL && run_reason == RST_WAIT_UNKNOWN)
        run_reason = RST_WAIT_RUN_STOPPING;
      if (task->run != NULL || task->done)
        continue;
      reason = find_task_reason (planner, task);
      if (reason != RST_WAIT_UNKNOWN)
        return reason;
    }
  return run_reason;
}

/* The other tasks of a step do not wait for the one that may not start. */
static enum rst_wait_reason
find_single_reason (const struct rst_planner *planner, const struct step *step)
{
  enum rst_wait_reason first = RST_WAIT_UNKNOWN;

  for (int i = 0; i < step->spec->count; i++)
    {
      const struct task *task = &step->tasks[i];
      enum rst_wait_reason reason;

      if (task->run != NULL || task->done)
        continue;
      reason = find_task_reason (planner, task);
      if (reason == RST_WAIT_UNKNOWN && !rst_plan_is_suspect (task))
        return RST_WAIT_UNKNOWN;
      if (reason == RST_WAIT_UNKNOWN)
        reason = RST_WAIT_TRIAL;
      if (first == RST_WAIT_UNKNOWN || reason < first)
        first = reason;
    }
  return first;
}

enum rst_wait_reason
rst_plan_wait_find_reason (const struct rst_planner *planner,
                           const struct step *step)
{
  int needed = step->spec->gang ? step->spec->count : 1;
  enum rst_wait_reason reason = step->spec->gang
                                    ? find_gang_reason (planner, step)
                                    : find_single_reason (planner, step);

  if (reason != RST_WAIT_UNKNOWN && reason != RST_WAIT_TRIAL)
    return reason;
  if (!rst_plan_occurrence_is_stored (step->occurrence))
    return RST_WAIT_NOT_STORED;
  if (!rst_plan_is_below_limit (step, needed))
    return rst_plan_is_below_limit_without_doubt (step, needed)
               ? RST_WAIT_LIMIT_IN_DOUBT
               : RST_WAIT_LIMIT;
  return rst_plan_awaits_trial (step) ? RST_WAIT_TRIAL : reason;
}

/* Adds up the room on an eligible instance. */
static void
add_room (const struct rst_planner *planner, const struct step *step,
          const struct instance *instance, struct rst_wait_room *room)
{
  int max_per_instance = step->spec->max_per_instance;
  int total = rst_plan_count_unreserved_slots (instance, step);
  int spread = total;
  int free;
  const struct approval *approval;

  room->eligible++;
  room->total += total;
  if (total == 0)
    return;
  free = rst_plan_count_slots (instance, step);
  if (max_per_instance > 0)
    {
      int left = max_per_instance - rst_plan_count_tasks_on (instance, step);

      spread = MIN (spread, MAX (left, 0));
      free = MIN (free, spread);
    }
  room->spread += spread;
  room->free += free;
  if (!step->occurrence->job->queue->settings.needs_approval)
    return;
  approval = rst_plan_find_approval (step, instance);
  if (approval == NULL || approval->rejected)
    return;
  room->approved += spread;
  if (rst_plan_find_ticket (planner, step, instance) == NULL)
    return;
  room->with_ticket += spread;
  room->free_with_ticket += free;
}

/* Why no instance that takes starts has the pool and the label of a step. */
static enum rst_wait_reason
find_instance_reason (const struct rst_planner *planner,
                      const struct step *step)
{
  GHashTableIter iter;
  gpointer value;
  bool has_eligible = false;

  g_hash_table_iter_init (&iter, planner->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct instance *instance = value;

      if (!instance->registered
          || !rst_plan_instance_is_eligible (instance, step))
        continue;
      has_eligible = true;
      if (planner->now >= instance->paused_until
          && !g_hash_table_contains (planner->evacuated_zones,
                                     instance->entry.zone))
        return RST_WAIT_UNAVAILABLE;
    }
  return has_eligible ? RST_WAIT_PAUSED : RST_WAIT_NO_INSTANCE;
}

/* The reason if nothing but a record of the intent may be missing. */
static enum rst_wait_reason
find_intent_reason (const struct step *step)
{
  return rst_plan_step_has_intent (step) ? RST_WAIT_NOTHING : RST_WAIT_INTENT;
}

static enum rst_wait_reason
find_advice_reason (const struct step *step, const struct rst_wait_room *room)
{
  if (!CK_LIST_EMPTY (&step->advice_requests))
    return RST_WAIT_ADVICE;
  if (room->free + step->wait.reserved < room->needed)
    return RST_WAIT_RESERVED;
  if (!step->advice_requested)
    return RST_WAIT_NOT_REQUESTED;
  if (room->approved < room->needed)
    return RST_WAIT_NOT_APPROVED;
  if (room->with_ticket < room->needed)
    return RST_WAIT_NO_TICKET;
  return room->free_with_ticket + step->wait.reserved < room->needed
             ? RST_WAIT_RESERVED
             : find_intent_reason (step);
}

enum rst_wait_reason
rst_plan_wait_search_room (const struct rst_planner *planner,
                           const struct step *step, struct rst_wait_room *room)
{
  static const struct rst_wait_room none;

  *room = none;
  room->needed = step->spec->gang ? step->spec->count : 1;
  for (guint i = 0; i < planner->schedulable_instances->len; i++)
    {
      const struct instance *instance
          = g_ptr_array_index (planner->schedulable_instances, i);

      if (rst_plan_instance_is_eligible (instance, step))
        add_room (planner, step, instance, room);
    }
  if (room->eligible == 0)
    return find_instance_reason (planner, step);
  if (room->total < room->needed)
    return RST_WAIT_NO_ROOM;
  if (room->spread < room->needed)
    return RST_WAIT_ANTI_AFFINITY;
  if (step->locality.is_waiting)
    return RST_WAIT_RACK;
  if (step->occurrence->job->queue->settings.needs_approval)
    return find_advice_reason (step, room);
  return room->free + step->wait.reserved < room->needed
             ? RST_WAIT_RESERVED
             : find_intent_reason (step);
}
