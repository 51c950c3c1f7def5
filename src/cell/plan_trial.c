/* Trials: tasks that are suspected of crashing their instances start apart
   from other jobs.

   A trial needs instances without runs of other jobs.  If there are none, some
   are held: they take no other starts until their runs have ended, or for a
   limited time.  Only a share of the instances is held or used for trials at
   once, so that suspects do not keep others from being served.  The other
   tasks of the job wait until its suspects are cleared. */
#include <inttypes.h>

#include "cell/plan_intent.h"
#include "cell/plan_locality.h"
#include "cell/planner_private.h"

/** How long a trial waits for the runs on its instances to end. */
#define TRIAL_WAIT_MAX_MS 3000

/** Instances that trials may take at once: at least this number, one of so
    many, or as many as the free capacity would be. */
#define TRIAL_INSTANCES_MIN 2
#define INSTANCES_PER_TRIAL 4

/** How long probable suspects gather on an idle instance before they start
    together. */
#define SHARED_TRIAL_WAIT_MS 150

/** Wait of a long poll during a trial, so that it shows soon that the instance
    is still up. */
#define TRIAL_POLL_WAIT_MS 200

/** struct trial_room - An instance that a trial may use. */
struct trial_room
{
  struct instance *instance;
  /* Number of the step's tasks that fit it once it is idle, and now. */
  int slots;
  int free_slots;
  /* The lowest score is used first. */
  int score;
  /* Whether nothing of another job runs there. */
  bool is_apart;
  /* Whether it already counts as taken by a trial. */
  bool is_taken;
};

static const struct job *
get_job (const struct step *step)
{
  return step->occurrence->job;
}

static bool
has_suspects (const struct step *step)
{
  if (get_job (step)->suspects == 0)
    return false;
  for (int i = 0; i < step->spec->count; i++)
    if (rst_plan_is_suspect (&step->tasks[i]))
      return true;
  return false;
}

bool
rst_plan_awaits_trial (const struct step *step)
{
  return get_job (step)->suspects > 0
         && (step->spec->gang || !step->spec->long_running);
}

/* Whether all suspects of a step may be tried together with others. */
static bool
may_share_trial (const struct step *step)
{
  for (int i = 0; i < step->spec->count; i++)
    if (rst_plan_is_suspect (&step->tasks[i])
        && !rst_plan_is_probable (&step->tasks[i]))
      return false;
  return !step->spec->gang;
}

static bool
is_held_for_other (const struct instance *instance, const struct step *step)
{
  return instance->held_for != NULL && instance->held_for != step
         && !(may_share_trial (step) && may_share_trial (instance->held_for));
}

static bool
is_held_with (const struct instance *instance, const struct step *step)
{
  return instance->held_for != NULL && !is_held_for_other (instance, step);
}

/* Whether another job is tried on an instance, but for probable suspects that
   start together. */
static bool
has_other_trials (const struct instance *instance, const struct step *step,
                  rst_ms now)
{
  const struct job *job = get_job (step);
  bool may_share = may_share_trial (step);
  GHashTableIter iter;
  gpointer value;

  if (instance->trial_runs == 0)
    return false;
  g_hash_table_iter_init (&iter, instance->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct run *run = value;

      if (run->on_trial && get_job (run->task->step) != job
          && !(may_share && run->start_sent_at == now
               && rst_plan_is_probable (run->task)))
        return true;
    }
  return false;
}

/* Whether nothing runs on an instance but tasks of the job, and others whose
   trial there has ended: they started so long before that a crash at the start
   of this trial is not theirs. */
static bool
is_apart (const struct instance *instance, const struct step *step)
{
  const struct job *job = get_job (step);
  bool may_join = rst_plan_suspects_crash_at_start (step);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, instance->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct run *run = value;

      if (get_job (run->task->step) != job && !(may_join && run->was_tried))
        return false;
    }
  return true;
}

int
rst_plan_count_trial_slots (const struct instance *instance,
                            const struct step *step, rst_ms now)
{
  static const struct rst_resources none;
  struct instance idle = *instance;

  if (is_held_for_other (instance, step)
      || !rst_plan_instance_is_eligible (instance, step)
      || has_other_trials (instance, step, now))
    return 0;
  idle.used = none;
  idle.reserved = none;
  return rst_plan_count_slots (&idle, step);
}

static int
count_free_slots (const struct instance *instance, const struct step *step)
{
  static const struct rst_resources none;
  struct instance unreserved = *instance;
  int slots;

  unreserved.reserved = none;
  slots = rst_plan_count_slots (&unreserved, step);
  if (step->spec->max_per_instance > 0)
    slots = MIN (slots, step->spec->max_per_instance
                            - rst_plan_count_tasks_on (instance, step));
  return MAX (slots, 0);
}

static bool
is_approved (const struct step *step, const struct instance *instance)
{
  const struct approval *approval;

  if (!get_job (step)->queue->settings.needs_approval)
    return true;
  approval = rst_plan_find_approval (step, instance);
  return approval != NULL && !approval->rejected;
}

static gint
compare_scores (gconstpointer a, gconstpointer b)
{
  return ((const struct trial_room *)a)->score
         - ((const struct trial_room *)b)->score;
}

/* Returns the order in which a trial prefers an instance: idle ones come
   first. Of these it keeps those that it holds, so that a wide gang does not
   change to others for which it has no ticket yet. */
static int
get_score (const struct rst_planner *planner, const struct step *step,
           const struct trial_room *room)
{
  bool is_held = is_held_with (room->instance, step);

  if (room->is_apart && is_held)
    return 0;
  if (room->is_apart)
    return rst_plan_find_ticket (planner, step, room->instance) != NULL ? 1
                                                                        : 2;
  return is_held ? 3 : 4 + (int)g_hash_table_size (room->instance->runs);
}

/* Finds the approved instances that a step may use, best first. */
static GArray *
find_rooms (struct rst_planner *planner, const struct step *step)
{
  GArray *rooms = g_array_new (FALSE, FALSE, sizeof (struct trial_room));

  for (guint i = 0; i < planner->trial_instances->len; i++)
    {
      struct trial_room room = { 0 };
      struct instance *instance
          = g_ptr_array_index (planner->trial_instances, i);

      room.instance = instance;
      room.slots = rst_plan_count_trial_slots (instance, step, planner->now);
      if (room.slots == 0 || !is_approved (step, instance))
        continue;
      room.free_slots = count_free_slots (instance, step);
      room.is_apart = is_apart (instance, step);
      if (room.is_apart)
        room.slots = room.free_slots;
      if (room.slots == 0)
        continue;
      room.is_taken = instance->held_for != NULL || instance->trial_runs > 0;
      room.score = get_score (planner, step, &room);
      g_array_append_val (rooms, room);
    }
  g_array_sort (rooms, compare_scores);
  return rooms;
}

/* Keeps as many of the first rooms as hold @wanted tasks, within the number of
   instances that trials may take.  Returns how many tasks they hold. */
static int
limit_rooms (const struct rst_planner *planner, GArray *rooms, int wanted)
{
  int slots = 0;
  int taken = planner->trial_count;
  guint count = 0;

  for (; count < rooms->len && slots < wanted; count++)
    {
      struct trial_room room = g_array_index (rooms, struct trial_room, count);

      /* A trial alone may need more instances than trials may take. */
      if (!room.is_taken && planner->trial_count > 0
          && taken >= planner->trial_count_max)
        break;
      taken += room.is_taken ? 0 : 1;
      slots += room.slots;
    }
  g_array_set_size (rooms, count);
  return slots;
}

static void
hold_instance (struct rst_planner *planner, struct instance *instance,
               const struct step *step, rst_ms since)
{
  if (instance->held_for == NULL && instance->trial_runs == 0)
    planner->trial_count++;
  rst_plan_set_poll_wait (planner, instance, TRIAL_POLL_WAIT_MS);
  instance->held_for = step;
  instance->held_since = since;
  instance->schedulable = false;
  instance->reserved = instance->entry.capacity;
}

static void
release_rooms (struct step *step)
{
  if (step->held_instances != NULL)
    g_array_set_size (step->held_instances, 0);
  step->trial_wanted_at = 0;
}

/* Returns since when an instance is held for a step. */
static rst_ms
get_held_since (const struct rst_planner *planner, const struct step *step,
                const struct instance *instance)
{
  return is_held_with (instance, step) ? instance->held_since : planner->now;
}

static void
hold_rooms (struct rst_planner *planner, struct step *step,
            const GArray *rooms)
{
  if (step->held_instances == NULL)
    step->held_instances
        = g_array_new (FALSE, FALSE, sizeof (struct held_instance));
  g_array_set_size (step->held_instances, 0);
  if (step->trial_wanted_at == 0)
    step->trial_wanted_at = planner->now;
  for (guint i = 0; i < rooms->len; i++)
    {
      struct instance *instance
          = g_array_index (rooms, struct trial_room, i).instance;
      struct held_instance held
          = { instance->number, get_held_since (planner, step, instance) };

      g_array_append_val (step->held_instances, held);
      hold_instance (planner, instance, step, held.since);
    }
}

static void
log_trial (const struct rst_planner *planner, const struct task *task,
           const struct instance *instance, bool is_apart)
{
  const struct step *step = task->step;
  char name[RST_TASK_NAME_SIZE];
  char waited[24];

  rst_plan_format_task_name (task, name, sizeof name);
  g_snprintf (waited, sizeof waited, "%" PRId64,
              step->trial_wanted_at > 0
                  ? (int64_t)(planner->now - step->trial_wanted_at)
                  : (int64_t)0);
  rst_info (RST_PLAN_LOG, "Suspect is tried.", "task", name, "instance",
            instance->entry.id, "apart", is_apart ? "yes" : "no", "waited_ms",
            waited);
}

static void
start_trial (struct rst_planner *planner, struct task *task,
             const struct trial_room *room, int attempt)
{
  struct instance *instance = room->instance;

  rst_plan_start_task (planner, task, instance, attempt,
                       rst_plan_find_ticket (planner, task->step, instance));
  if (instance->trial_runs == 0 && instance->held_for == NULL)
    planner->trial_count++;
  rst_plan_begin_trial (task->run);
  instance->schedulable = false;
  instance->reserved = instance->entry.capacity;
  rst_plan_set_poll_wait (planner, instance, TRIAL_POLL_WAIT_MS);
  planner->stats.trials++;
  if (rst_plan_is_suspect (task))
    log_trial (planner, task, instance, room->is_apart);
}

void
rst_plan_begin_trial (struct run *run)
{
  run->on_trial = true;
  run->was_tried = true;
  run->instance->trial_runs++;
}

void
rst_plan_end_trial (struct run *run)
{
  if (!run->on_trial)
    return;
  run->on_trial = false;
  run->instance->trial_runs--;
}

void
rst_plan_end_gang_trial (const struct step *step)
{
  if (!step->spec->gang || has_suspects (step))
    return;
  for (int i = 0; i < step->spec->count; i++)
    if (step->tasks[i].run != NULL)
      rst_plan_end_trial (step->tasks[i].run);
}

/* Whether nothing but the lack of a ticket keeps a trial from an instance. */
static bool
has_access (const struct rst_planner *planner, const struct step *step,
            const struct trial_room *room)
{
  bool has_waited
      = planner->now - get_held_since (planner, step, room->instance)
        >= TRIAL_WAIT_MAX_MS;

  return room->free_slots > 0 && (room->is_apart || has_waited);
}

/* Whether a step waits for others to be tried with it. */
static bool
gathers_others (const struct rst_planner *planner, const struct step *step,
                const struct trial_room *room)
{
  return planner->probable_steps > 1 && may_share_trial (step)
         && planner->now - get_held_since (planner, step, room->instance)
                < SHARED_TRIAL_WAIT_MS;
}

static bool
is_ready (const struct rst_planner *planner, const struct step *step,
          const struct trial_room *room)
{
  return has_access (planner, step, room)
         && !gathers_others (planner, step, room)
         && rst_plan_find_ticket (planner, step, room->instance) != NULL;
}

/* Returns the next suspect of a step from @index on that may start. */
static struct task *
find_next_suspect (const struct rst_planner *planner, struct step *step,
                   int *index)
{
  while (*index < step->spec->count)
    {
      struct task *task = &step->tasks[(*index)++];

      if (rst_plan_is_suspect (task)
          && rst_plan_task_may_start (planner, task))
        return task;
    }
  return NULL;
}

/* Returns the number of tasks that could not be started. */
static int
start_suspects (struct rst_planner *planner, struct step *step,
                const GArray *rooms)
{
  int index = 0;
  struct task *task = find_next_suspect (planner, step, &index);
  int left = 0;

  for (guint i = 0; i < rooms->len; i++)
    {
      const struct trial_room *room
          = &g_array_index (rooms, struct trial_room, i);

      if (!is_ready (planner, step, room))
        continue;
      for (int k = 0; k < room->free_slots && task != NULL
                      && rst_plan_is_below_limit (step, 1);
           k++)
        {
          if (rst_plan_has_intent (task))
            start_trial (planner, task, room, task->attempt + 1);
          else
            left++;
          task = find_next_suspect (planner, step, &index);
        }
    }
  for (; task != NULL; task = find_next_suspect (planner, step, &index))
    left++;
  return left;
}

/* The same for a gang, which starts as a whole or not at all. */
static int
start_gang (struct rst_planner *planner, struct step *step,
            const GArray *rooms)
{
  int free_slots = 0;
  int next = 0;

  for (guint i = 0; i < rooms->len; i++)
    {
      const struct trial_room *room
          = &g_array_index (rooms, struct trial_room, i);

      if (is_ready (planner, step, room))
        free_slots += room->free_slots;
    }
  if (free_slots < step->spec->count)
    return step->spec->count;
  if (!rst_plan_step_has_intent (step))
    return step->spec->count;
  rst_plan_begin_gang_attempt (step);
  for (guint i = 0; i < rooms->len; i++)
    {
      const struct trial_room *room
          = &g_array_index (rooms, struct trial_room, i);

      for (int k = 0; k < room->free_slots && next < step->spec->count
                      && is_ready (planner, step, room);
           k++)
        start_trial (planner, &step->tasks[next++], room, step->gang_attempt);
    }
  return 0;
}

/* Returns the number of tasks of a step to be tried that may start now. */
static int
count_wanted (const struct rst_planner *planner, struct step *step)
{
  int index = 0;
  int wanted = 0;

  if (step->spec->gang)
    return rst_plan_gang_may_start (planner, step) ? step->spec->count : 0;
  while (find_next_suspect (planner, step, &index) != NULL)
    wanted++;
  return wanted;
}

/* Whether a request for advice helps the trial of a step: it may take further
   instances, or has one that only lacks a ticket.  Agents are few, so that a
   backlog of trials must not keep them busy. */
static bool
needs_advice (const struct rst_planner *planner, const struct step *step,
              const GArray *rooms, bool lacks_rooms)
{
  int accessible_slots = 0;
  bool lacks_ticket = false;

  if (!get_job (step)->queue->settings.needs_approval
      || !CK_LIST_EMPTY (&step->advice_requests))
    return false;
  if (lacks_rooms
      && (planner->trial_count == 0
          || planner->trial_count < planner->trial_count_max
          || may_share_trial (step)))
    return true;
  for (guint i = 0; i < rooms->len; i++)
    {
      const struct trial_room *room
          = &g_array_index (rooms, struct trial_room, i);

      if (!has_access (planner, step, room))
        continue;
      accessible_slots += room->free_slots;
      lacks_ticket
          |= rst_plan_find_ticket (planner, step, room->instance) == NULL;
    }
  /* The tickets of a gang are requested together once it has all its room. */
  return lacks_ticket
         && (!step->spec->gang || accessible_slots >= step->spec->count);
}

static int
count_slots (const GArray *rooms)
{
  int slots = 0;

  for (guint i = 0; i < rooms->len; i++)
    slots += g_array_index (rooms, struct trial_room, i).slots;
  return slots;
}

/* The tasks keep their intent while their trial waits for its instances. */
static void
want_intents (struct rst_planner *planner, struct step *step)
{
  int index = 0;
  struct task *task;

  if (step->spec->gang)
    {
      rst_plan_want_step_intent (planner, step);
      return;
    }
  while ((task = find_next_suspect (planner, step, &index)) != NULL)
    rst_plan_want_intent (planner, task);
}

static void
try_step (struct rst_planner *planner, struct step *step)
{
  int wanted = count_wanted (planner, step);
  GArray *rooms;
  bool lacks_rooms;
  int slots;
  int left = wanted;

  if (wanted == 0)
    {
      release_rooms (step);
      return;
    }
  /* What is counted so far has to outlive this planner. */
  if (!rst_plan_job_is_recorded (planner, get_job (step))
      || !rst_plan_is_below_limit (step, step->spec->gang ? wanted : 1))
    return;
  rooms = find_rooms (planner, step);
  lacks_rooms = count_slots (rooms) < wanted;
  slots = limit_rooms (planner, rooms, wanted);
  lacks_rooms |= may_share_trial (step) && slots < wanted;
  if (slots > 0)
    want_intents (planner, step);
  if (!step->spec->gang)
    left = start_suspects (planner, step, rooms);
  else if (slots >= wanted)
    left = start_gang (planner, step, rooms);
  rst_plan_send_starts (planner, step);
  if (left == 0)
    release_rooms (step);
  else if (slots >= wanted || !step->spec->gang)
    hold_rooms (planner, step, rooms);
  /* Racks do not limit trials; the last placement may have confined it. */
  rst_plan_release_gang (step);
  if (left > 0 && needs_advice (planner, step, rooms, lacks_rooms))
    rst_plan_request_advice (planner, step, left);
  g_array_free (rooms, TRUE);
}

/* Holds the instances that were held in the last pass, and those without runs
   that a request for advice names. */
static void
hold_again (struct rst_planner *planner, const struct step *step)
{
  const struct advice_request *request;

  for (guint i = 0;
       step->held_instances != NULL && i < step->held_instances->len; i++)
    {
      struct held_instance held
          = g_array_index (step->held_instances, struct held_instance, i);
      struct instance *instance
          = rst_plan_find_numbered (planner, held.number);

      if (instance != NULL && instance->held_for == NULL)
        hold_instance (planner, instance, step, held.since);
    }
  CK_LIST_FOREACH (request, &step->advice_requests, entry)
  for (guint i = 0; i < request->instance_numbers->len; i++)
    {
      struct instance *instance = rst_plan_find_numbered (
          planner, g_array_index (request->instance_numbers, guint, i));

      if (instance != NULL && instance->held_for == NULL
          && g_hash_table_size (instance->runs) == 0
          && planner->trial_count < planner->trial_count_max)
        hold_instance (planner, instance, step, planner->now);
    }
}

static int
get_trial_count_max (int instances, int64_t free_cpu, int64_t total_cpu)
{
  int64_t share = instances * MAX (free_cpu, 0) / MAX (total_cpu, 1);

  return MAX (TRIAL_INSTANCES_MIN,
              MAX (instances / INSTANCES_PER_TRIAL, (int)share));
}

/* Lists the instances that trials may use and computes how many at once. */
static void
begin_trials (struct rst_planner *planner)
{
  int64_t free_cpu = 0;
  int64_t total_cpu = 0;
  GHashTableIter iter;
  gpointer value;

  g_ptr_array_set_size (planner->trial_instances, 0);
  planner->trial_count = 0;
  planner->probable_steps = 0;
  g_hash_table_iter_init (&iter, planner->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct instance *instance = value;

      planner->trial_count += instance->trial_runs > 0 ? 1 : 0;
      if (!rst_plan_instance_is_schedulable (planner, instance))
        continue;
      g_ptr_array_add (planner->trial_instances, instance);
      total_cpu += instance->entry.capacity.cpu;
      free_cpu += instance->entry.capacity.cpu;
      if (instance->trial_runs == 0)
        free_cpu -= instance->used.cpu;
    }
  planner->trial_count_max = get_trial_count_max (
      (int)planner->trial_instances->len, free_cpu, total_cpu);
}

void
rst_plan_place_trials (struct rst_planner *planner)
{
  bool has_begun = false;

  for (guint i = 0; i < planner->waiting_steps->len; i++)
    {
      const struct step *step = g_ptr_array_index (planner->waiting_steps, i);

      if (!has_suspects (step))
        continue;
      if (!has_begun)
        begin_trials (planner);
      has_begun = true;
      planner->probable_steps += may_share_trial (step) ? 1 : 0;
      hold_again (planner, step);
    }
  for (guint i = 0; has_begun && i < planner->waiting_steps->len; i++)
    {
      struct step *step = g_ptr_array_index (planner->waiting_steps, i);

      if (has_suspects (step))
        try_step (planner, step);
    }
}
