/* Placement of waiting tasks on instances.

   Each pass sorts the waiting steps by rank and places their tasks in that
   order, each on the instance with the best score.  A gang is placed as a
   whole or not at all; gangs of high rank reserve the room that is free. */
#include <stdlib.h>
#include <string.h>

#include "cell/plan_intent.h"
#include "cell/plan_locality.h"
#include "cell/planner_private.h"

/** Number of gangs that may reserve room in one pass: the minimum, and how
   many schedulable instances allow one. */
#define RESERVING_GANGS_MIN 3
#define INSTANCES_PER_RESERVING_GANG 32

/* Number of a step's tasks that fit the resources that are available. */
static int
count_slots_in (const struct rst_resources *available, const struct step *step)
{
  struct rst_resources need = rst_step_get_task_need (step->spec);
  int64_t slots = step->spec->count;

  if (need.cpu > 0)
    slots = MIN (slots, available->cpu / need.cpu);
  if (need.memory > 0)
    slots = MIN (slots, available->memory / need.memory);
  if (need.gpu > 0)
    slots = MIN (slots, available->gpu / need.gpu);
  return (int)MAX (slots, 0);
}

int
rst_plan_count_slots (const struct instance *instance, const struct step *step)
{
  struct rst_resources available = instance->entry.capacity;
  int slots;

  if (RST_CELL_FAULT (RST_CELL_FAULT_IGNORE_CAPACITY))
    return step->spec->count;
  rst_resources_add (&available, &instance->used, -1);
  rst_resources_add (&available, &instance->reserved, -1);
  slots = count_slots_in (&available, step);
  return step->spec->max_per_instance > 0
             ? MIN (slots, step->spec->max_per_instance)
             : slots;
}

int
rst_plan_count_unreserved_slots (const struct instance *instance,
                                 const struct step *step)
{
  struct rst_resources available = instance->entry.capacity;

  rst_resources_add (&available, &instance->used, -1);
  return count_slots_in (&available, step);
}

int
rst_plan_count_tasks_on (const struct instance *instance,
                         const struct step *step)
{
  int count = 0;

  for (int i = 0; i < step->spec->count; i++)
    if (step->tasks[i].run != NULL && step->tasks[i].run->instance == instance)
      count++;
  return count;
}

bool
rst_plan_task_fits (const struct instance *instance, const struct step *step)
{
  if (rst_plan_count_slots (instance, step) < 1)
    return false;
  return step->spec->max_per_instance == 0
         || rst_plan_count_tasks_on (instance, step)
                < step->spec->max_per_instance;
}

bool
rst_plan_instance_is_eligible (const struct instance *instance,
                               const struct step *step)
{
  const struct queue *queue = step->occurrence->job->queue;

  if (queue->settings.pool == NULL
      || strcmp (queue->settings.pool, instance->entry.pool) != 0)
    return false;
  return step->spec->label[0] == '\0'
         || rst_instance_entry_has_label (&instance->entry, step->spec->label);
}

static gint
compare_ranks (gconstpointer a, gconstpointer b)
{
  const struct step *left = *(struct step *const *)a;
  const struct step *right = *(struct step *const *)b;

  return left->rank < right->rank ? -1 : left->rank > right->rank;
}

/* Returns the same score for the same instance and task, so that replays are
   repeatable. */
static double
score_pseudo_randomly (const struct instance *instance,
                       const struct task *task)
{
  guint hash = g_str_hash (instance->entry.id) * 2654435761u
               ^ (guint)(task->index * 40503 + task->step->rank);

  return (double)(hash % 65536);
}

/* Lower is better.  Scores the share of the instance's processors that are
   left free, its speed, and penalties for an instance where the task or other
   tasks failed and for one that is not in the rack of the step's data. */
static double
score_best_fit (const struct rst_planner *planner,
                const struct instance *instance, const struct step *step,
                const struct task *task)
{
  double free_share = (double)(instance->entry.capacity.cpu
                               - instance->used.cpu - step->spec->need.cpu)
                      / (double)MAX (instance->entry.capacity.cpu, 1);
  double total = free_share;

  if (task != NULL && task->avoided_instance == instance)
    total += 4.0;
  total += 0.5 * MIN (instance->failures, 4);
  total += rst_plan_score_speed (planner, instance, step);
  return total + rst_plan_score_rack (step, instance);
}

static double
score_instance (const struct rst_planner *planner,
                const struct instance *instance, const struct step *step,
                const struct task *task)
{
  switch (planner->fit)
    {
    case RST_FIT_FIRST:
      return (double)instance->pass_index;
    case RST_FIT_RANDOM:
      return score_pseudo_randomly (instance, task);
    default:
      return score_best_fit (planner, instance, step, task);
    }
}

/* Finds the schedulable instances that a step may use; with @has_ticket only
   those that it may use now.  If the step needs approval, only its approvals
   are looked at; they are few, so that a pass over many waiting steps stays
   cheap. */
static const GPtrArray *
find_candidates (struct rst_planner *planner, const struct step *step,
                 bool has_ticket)
{
  GHashTableIter iter;
  gpointer number;
  gpointer approval;

  if (!step->occurrence->job->queue->settings.needs_approval)
    return planner->schedulable_instances;
  g_ptr_array_set_size (planner->candidates, 0);
  g_hash_table_iter_init (&iter, step->approvals);
  while (g_hash_table_iter_next (&iter, &number, &approval))
    {
      struct instance *instance;

      if (((struct approval *)approval)->rejected)
        continue;
      instance = rst_plan_find_numbered (planner, GPOINTER_TO_UINT (number));
      if (instance != NULL && instance->schedulable
          && (!has_ticket
              || rst_plan_find_ticket (planner, step, instance) != NULL))
        g_ptr_array_add (planner->candidates, instance);
    }
  return planner->candidates;
}

static struct instance *
choose_instance (struct rst_planner *planner, const GPtrArray *candidates,
                 const struct step *step, const struct task *task)
{
  struct instance *best = NULL;
  double best_score = 0.0;

  for (guint i = 0; i < candidates->len; i++)
    {
      struct instance *instance = g_ptr_array_index (candidates, i);
      double score;

      if (!rst_plan_task_fits (instance, step)
          || !rst_plan_instance_is_eligible (instance, step))
        continue;
      score = score_instance (planner, instance, step, task);
      if (best == NULL || score < best_score)
        {
          best = instance;
          best_score = score;
        }
    }
  return best;
}

/* Whether a task that has been started before may start again.  A successor
   may have stored the end of its last run, which is then no longer listed;
   there was none if the store has confirmed this planner since it learnt that
   the run is gone.  Of inherited tasks it learns that with the report of an
   inherited instance. */
static bool
may_start_again (const struct rst_planner *planner, const struct task *task)
{
  rst_ms known_at = task->inherited_starts != RST_STARTS_NOWHERE
                        ? MAX (task->freed_at, planner->accounted_at)
                        : task->freed_at;

  return task->attempt == 0 || !rst_plan_may_have_successor (planner)
         || known_at <= planner->confirmed_at;
}

bool
rst_plan_task_may_start (const struct rst_planner *planner,
                         const struct task *task)
{
  return !task->done && task->run == NULL
         && !rst_plan_is_in_doubt (planner, task)
         && may_start_again (planner, task);
}

/* Returns the number of tasks for which there was no instance. */
static int
place_tasks (struct rst_planner *planner, struct step *step)
{
  const GPtrArray *candidates = find_candidates (planner, step, true);
  bool has_room = true;
  int unplaced = 0;

  for (int i = 0; i < step->spec->count; i++)
    {
      struct task *task = &step->tasks[i];
      struct instance *instance;

      if (rst_plan_is_suspect (task)
          || !rst_plan_task_may_start (planner, task))
        continue;
      if (!rst_plan_is_below_limit (step, 1))
        return 0;
      instance = has_room ? choose_instance (planner, candidates, step, task)
                          : NULL;
      has_room = instance != NULL;
      if (instance == NULL || rst_plan_task_waits (planner, step, instance))
        unplaced++;
      else if (!rst_plan_has_intent (task))
        {
          rst_plan_want_intent (planner, task);
          rst_plan_reserve_slots (instance, step, 1);
        }
      else
        rst_plan_start_task (planner, task, instance, task->attempt + 1,
                             rst_plan_find_ticket (planner, step, instance));
    }
  return unplaced;
}

/** struct instance_slots - Number of a gang's tasks that fit an instance. */
struct instance_slots
{
  struct instance *instance;
  int slots;
};

static gint
compare_slots (gconstpointer a, gconstpointer b)
{
  const struct instance_slots *left = a;
  const struct instance_slots *right = b;
  int left_class = rst_instance_speed_get_class (left->instance->log_speed);
  int right_class = rst_instance_speed_get_class (right->instance->log_speed);

  return left_class != right_class ? right_class - left_class
                                   : right->slots - left->slots;
}

/* Finds the instances that a gang may use and how many of its tasks fit each
   of them: the fastest first, and of like speed, the one that most fit. */
static GArray *
find_gang_slots (struct rst_planner *planner, const struct step *step,
                 bool has_ticket, int *total)
{
  GArray *gang_slots
      = g_array_new (FALSE, FALSE, sizeof (struct instance_slots));
  const GPtrArray *candidates = find_candidates (planner, step, has_ticket);

  *total = 0;
  for (guint i = 0; i < candidates->len; i++)
    {
      struct instance_slots candidate
          = { g_ptr_array_index (candidates, i), 0 };

      candidate.slots = rst_plan_count_slots (candidate.instance, step);
      if (candidate.slots == 0
          || !rst_plan_instance_is_eligible (candidate.instance, step)
          || !rst_plan_may_use_rack (step, candidate.instance))
        continue;
      *total += candidate.slots;
      g_array_append_val (gang_slots, candidate);
    }
  g_array_sort (gang_slots, compare_slots);
  return gang_slots;
}

bool
rst_plan_gang_may_start (const struct rst_planner *planner, struct step *step)
{
  for (int i = 0; i < step->spec->count; i++)
    if (!rst_plan_task_may_start (planner, &step->tasks[i]))
      return false;
  step->gang_stopping = false;
  return true;
}

void
rst_plan_begin_gang_attempt (struct step *step)
{
  int attempt = step->gang_attempt;

  for (int i = 0; i < step->spec->count; i++)
    attempt = MAX (attempt, step->tasks[i].attempt);
  step->gang_attempt = attempt + 1;
}

static void
start_gang (struct rst_planner *planner, struct step *step, GArray *gang_slots)
{
  int next = 0;

  rst_plan_begin_gang_attempt (step);
  for (guint i = 0; i < gang_slots->len && next < step->spec->count; i++)
    {
      struct instance_slots candidate
          = g_array_index (gang_slots, struct instance_slots, i);

      for (int k = 0; k < candidate.slots && next < step->spec->count; k++)
        rst_plan_start_task (
            planner, &step->tasks[next++], candidate.instance,
            step->gang_attempt,
            rst_plan_find_ticket (planner, step, candidate.instance));
    }
}

/* Has the intent to start a gang recorded, and reserves its room until then.
 */
static void
prepare_gang (struct rst_planner *planner, struct step *step,
              const GArray *gang_slots)
{
  int wanted = step->spec->count;

  rst_plan_want_step_intent (planner, step);
  for (guint i = 0; i < gang_slots->len && wanted > 0; i++)
    {
      struct instance_slots candidate
          = g_array_index (gang_slots, struct instance_slots, i);
      int slots = MIN (candidate.slots, wanted);

      wanted -= slots;
      rst_plan_reserve_slots (candidate.instance, step, slots);
    }
}

void
rst_plan_reserve_slots (struct instance *instance, struct step *step,
                        int slots)
{
  struct rst_resources need = rst_step_get_task_need (step->spec);

  step->wait.reserved += slots;
  rst_resources_add (&instance->reserved, &need, slots);
}

static gint
compare_positions (gconstpointer a, gconstpointer b)
{
  guint left = ((const struct instance_slots *)a)->instance->pass_index;
  guint right = ((const struct instance_slots *)b)->instance->pass_index;

  return left < right ? -1 : left > right;
}

/* Reserves free room for a gang that does not fit as a whole yet; if it needs
   approval, on its approved instances.  All gangs reserve in one order of the
   instances, so that the room kept for them lies on few. */
static void
reserve_for_gang (struct rst_planner *planner, struct step *step)
{
  int wanted = step->spec->count;
  int total;
  GArray *gang_slots;

  rst_plan_confine_reservation (planner, step);
  gang_slots = find_gang_slots (planner, step, false, &total);

  g_array_sort (gang_slots, compare_positions);
  for (guint i = 0; wanted > 0 && i < gang_slots->len; i++)
    {
      struct instance_slots candidate
          = g_array_index (gang_slots, struct instance_slots, i);

      candidate.slots = MIN (candidate.slots, wanted);
      wanted -= candidate.slots;
      rst_plan_reserve_slots (candidate.instance, step, candidate.slots);
    }
  g_array_free (gang_slots, TRUE);
}

static int
get_reserving_gangs_max (const struct rst_planner *planner)
{
  int share = (int)planner->schedulable_instances->len
              / INSTANCES_PER_RESERVING_GANG;

  return MAX (share, RESERVING_GANGS_MIN);
}

/* Returns the number of tasks for which there was no room: all or none. */
static int
place_gang (struct rst_planner *planner, struct step *step)
{
  GArray *gang_slots;
  int total;
  int unplaced = 0;
  bool confined;

  if (!rst_plan_gang_may_start (planner, step)
      || !rst_plan_is_below_limit (step, step->spec->count))
    return 0;
  confined = rst_plan_confine_gang (step);
  gang_slots = find_gang_slots (planner, step, true, &total);
  if (confined && total < step->spec->count)
    {
      g_array_free (gang_slots, TRUE);
      rst_plan_release_gang (step);
      gang_slots = find_gang_slots (planner, step, true, &total);
      if (total >= step->spec->count && rst_plan_gang_waits (planner, step))
        total = 0;
    }
  if (total >= step->spec->count && !rst_plan_step_has_intent (step))
    prepare_gang (planner, step, gang_slots);
  else if (total >= step->spec->count)
    {
      rst_plan_note_gang_start (step);
      start_gang (planner, step, gang_slots);
    }
  else
    unplaced = step->spec->count;
  g_array_free (gang_slots, TRUE);
  return unplaced;
}

/* Lists the schedulable instances and clears all reservations. */
static void
begin_pass (struct rst_planner *planner)
{
  static const struct rst_resources none;
  GHashTableIter iter;
  gpointer value;

  g_ptr_array_set_size (planner->schedulable_instances, 0);
  g_array_set_size (planner->unmet_needs, 0);
  g_hash_table_iter_init (&iter, planner->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct instance *instance = value;

      instance->reserved = none;
      instance->held_for = NULL;
      instance->schedulable
          = instance->trial_runs == 0
            && rst_plan_instance_is_schedulable (planner, instance);
      instance->pass_index = planner->schedulable_instances->len;
      if (instance->schedulable)
        g_ptr_array_add (planner->schedulable_instances, instance);
    }
}

/* Whether no instance had room for the same or a smaller need earlier in this
   pass. */
static bool
is_known_unplaceable (const struct rst_planner *planner,
                      const struct step *step)
{
  const struct rst_resources *need = &step->spec->need;

  for (guint i = 0; i < planner->unmet_needs->len; i++)
    {
      const struct rst_resources *unmet
          = &g_array_index (planner->unmet_needs, struct rst_resources, i);

      if (need->cpu >= unmet->cpu && need->memory >= unmet->memory
          && need->gpu >= unmet->gpu)
        return true;
    }
  return false;
}

static bool
has_room_for_step (struct rst_planner *planner, const struct step *step)
{
  if (step->spec->best_effort)
    return true;
  if (is_known_unplaceable (planner, step))
    return false;
  for (guint i = 0; i < planner->schedulable_instances->len; i++)
    if (rst_plan_count_slots (
            g_ptr_array_index (planner->schedulable_instances, i), step)
        > 0)
      return true;
  if (step->spec->max_per_instance == 0)
    g_array_append_val (planner->unmet_needs, step->spec->need);
  return false;
}

static void
place_step (struct rst_planner *planner, struct step *step,
            int *reserving_gangs)
{
  const struct job *job = step->occurrence->job;
  bool is_stored = rst_plan_occurrence_is_stored (step->occurrence);
  bool is_first_gang_request = step->spec->gang && !step->advice_requested
                               && job->queue->settings.needs_approval;
  int unplaced;

  if (rst_plan_awaits_trial (step))
    return;
  if (!is_first_gang_request && !has_room_for_step (planner, step))
    return;
  rst_plan_begin_rack_step (planner, step);
  /* A successor waits only for the runs of occurrences in the journal, so
     nothing of another one starts; but advice may already be requested. */
  if (!is_stored)
    unplaced = step->advice_requested ? 0 : step->tasks_waiting;
  else if (step->spec->gang)
    unplaced = place_gang (planner, step);
  else
    unplaced = place_tasks (planner, step);
  rst_plan_send_starts (planner, step);
  rst_plan_end_rack_step (planner, step);
  if (unplaced == 0)
    return;
  rst_plan_limit_request (planner, step, unplaced);
  if (job->queue->settings.needs_approval
      && !CK_LIST_EMPTY (&step->advice_requests))
    rst_plan_reserve_requested (planner, step, unplaced);
  else if (job->queue->settings.needs_approval)
    rst_plan_request_advice (planner, step, unplaced);
  /* Reserved last: the gang's own request counts this room too. */
  if (is_stored && step->spec->gang && rst_plan_rank_has_value (step)
      && *reserving_gangs < get_reserving_gangs_max (planner))
    {
      ++*reserving_gangs;
      reserve_for_gang (planner, step);
    }
}

void
rst_plan_place_steps (struct rst_planner *planner)
{
  int reserving_gangs = 0;

  for (guint i = planner->waiting_steps->len; i-- > 0;)
    {
      struct step *step = g_ptr_array_index (planner->waiting_steps, i);

      step->rank = rst_plan_compute_rank (planner, step);
      step->wait.reserved = 0;
      if (step->tasks_waiting > 0)
        continue;
      step->enqueued = false;
      rst_plan_wait_end (planner, step);
      g_ptr_array_remove_index_fast (planner->waiting_steps, i);
    }
  g_ptr_array_sort (planner->waiting_steps, compare_ranks);
  begin_pass (planner);
  rst_plan_begin_rack_pass (planner);
  rst_plan_count_in_doubt (planner);
  rst_plan_place_trials (planner);
  for (guint i = 0; i < planner->waiting_steps->len; i++)
    place_step (planner, g_ptr_array_index (planner->waiting_steps, i),
                &reserving_gangs);
}
