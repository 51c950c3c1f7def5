#include <stdlib.h>
#include <string.h>

#include "cell/planner_private.h"

/** Gangs that may keep room free for themselves at once. */
#define KEEPING_GANGS_MAX 3

/** A job is given up as late after this multiple of its objective. */
#define LATE_FACTOR 3

/* Rank bands: what may still earn its full worth, what is late, what is
   beyond the customer's share, what can't earn any more. */
#define BAND_LATE ((int64_t)1 << 50)
#define BAND_BEYOND ((int64_t)1 << 51)
#define BAND_LOST ((int64_t)1 << 52)
#define BAND_PRIORITY ((int64_t)1 << 45)

int
rst_plan_slots (const struct instance *instance, const struct step *step)
{
  struct rst_need need = rst_step_need (step->spec);
  struct rst_need left = instance->entry.room;
  int64_t slots = step->spec->count;

  if (RST_CELL_FAULT (RST_CELL_FAULT_NO_ROOM))
    return (int)slots;
  rst_need_add (&left, &instance->used, -1);
  rst_need_add (&left, &instance->kept, -1);
  if (need.cpu > 0)
    slots = MIN (slots, left.cpu / need.cpu);
  if (need.memory > 0)
    slots = MIN (slots, left.memory / need.memory);
  if (need.gpu > 0)
    slots = MIN (slots, left.gpu / need.gpu);
  if (step->spec->per_instance > 0)
    slots = MIN (slots, step->spec->per_instance);
  return (int)MAX (slots, 0);
}

/* Tasks of the step that an instance runs already. */
static int
tasks_on (const struct instance *instance, const struct step *step)
{
  int count = 0;

  for (int i = 0; i < step->spec->count; i++)
    if (step->tasks[i].run != NULL && step->tasks[i].run->instance == instance)
      count++;
  return count;
}

bool
rst_plan_fits (const struct instance *instance, const struct step *step)
{
  if (rst_plan_slots (instance, step) < 1)
    return false;
  return step->spec->per_instance == 0
         || tasks_on (instance, step) < step->spec->per_instance;
}

/* Whether a step's tasks may run there at all, room aside.  The instance is
   one that takes starts. */
bool
rst_plan_allowed (const struct instance *instance, const struct step *step)
{
  const struct queue *queue = step->occurrence->job->queue;

  if (queue->set.pool == NULL
      || strcmp (queue->set.pool, instance->entry.pool) != 0)
    return false;
  return step->spec->label[0] == '\0'
         || rst_instance_entry_has_label (&instance->entry, step->spec->label);
}

/* Estimates are rough; the queue's own run times say as much. */
static double
expected_ms (const struct job *job, int index)
{
  double said = (double)job->desc->steps[index].estimate_ms;

  return job->queue->run_ms > 0.0 ? (said + job->queue->run_ms) / 2.0 : said;
}

/* Time that a step and those behind it still take at the least. */
static double
remaining_ms (const struct step *step)
{
  const struct job *job = step->occurrence->job;
  double longest = expected_ms (job, step->index);

  for (int i = step->index + 1; i < job->desc->step_count; i++)
    for (int k = 0; k < job->desc->steps[i].after_count; k++)
      if (job->desc->steps[i].after[k] >= step->index)
        longest += expected_ms (job, i);
  return longest;
}

static double
chain_ms (const struct job *job)
{
  double ends[RST_STEPS_MAX] = { 0 };
  double longest = 0.0;

  for (int i = 0; i < job->desc->step_count; i++)
    {
      const struct rst_step *step = &job->desc->steps[i];

      for (int k = 0; k < step->after_count; k++)
        ends[i] = MAX (ends[i], ends[step->after[k]]);
      ends[i] += expected_ms (job, i);
      longest = MAX (longest, ends[i]);
    }
  return longest;
}

/* Sets when a step has to start for its job to be on time. */
void
rst_plan_objective (struct step *step)
{
  const struct job *job = step->occurrence->job;
  const struct rst_queue *queue = &job->queue->set;

  step->objective_ms
      = (int64_t)(chain_ms (job) * (double)queue->slack / 1000.0)
        + queue->target_ms;
  step->start_by_ms = step->occurrence->due_ms + step->objective_ms
                      - (int64_t)remaining_ms (step);
}

/* What can still be on time comes first, by priority and the latest moment
   at which it has to start; what is late follows. */
static int64_t
rank (const struct rst_planner *planner, const struct step *step)
{
  const struct job *job = step->occurrence->job;
  const struct rst_queue *queue = &job->queue->set;
  int64_t value = step->start_by_ms - planner->unix_ms + BAND_PRIORITY / 2;
  int64_t urgent = queue->priority == 0 ? 0 : BAND_PRIORITY;

  if (planner->order == RST_ORDER_FIFO)
    return step->occurrence->due_ms;
  if (step->spec->lasting)
    return 0;
  if (planner->unix_ms
      > step->occurrence->due_ms + LATE_FACTOR * step->objective_ms)
    return BAND_LOST + value;
  if (job->beyond_share)
    return BAND_BEYOND + value;
  if (planner->unix_ms > step->start_by_ms)
    return BAND_LATE + urgent + value;
  return urgent + value;
}

static gint
by_rank (gconstpointer a, gconstpointer b)
{
  const struct step *left = *(struct step *const *)a;
  const struct step *right = *(struct step *const *)b;

  return left->rank < right->rank ? -1 : left->rank > right->rank;
}

/* Any number, the same for the same two. */
static double
any_number (const struct instance *instance, const struct task *task)
{
  guint mixed = g_str_hash (instance->entry.id) * 2654435761u
                ^ (guint)(task->index * 40503 + task->step->rank);

  return (double)(mixed % 65536);
}

/* Lower is better: the tightest fit that suits the step. */
static double
score (const struct instance *instance, const struct step *step,
       const struct task *task)
{
  double left = (double)(instance->entry.room.cpu - instance->used.cpu
                         - step->spec->need.cpu)
                / (double)MAX (instance->entry.room.cpu, 1);
  double total = left;

  if (task != NULL && task->bad == instance)
    total += 4.0;
  total += 0.5 * MIN (instance->failures, 4);
  if (step->spec->rack[0] != '\0'
      && strcmp (step->spec->rack, instance->entry.rack) != 0)
    total += 3.0;
  return total;
}

static double
fit_score (const struct rst_planner *planner, const struct instance *instance,
           const struct step *step, const struct task *task)
{
  switch (planner->fit)
    {
    case RST_FIT_FIRST:
      return (double)instance->position;
    case RST_FIT_RANDOM:
      return any_number (instance, task);
    default:
      return score (instance, step, task);
    }
}

/* Instances that the step may use as far as advice goes.  An advised step
   names few, so that a long queue costs little. */
static const GPtrArray *
find_places (struct rst_planner *planner, const struct step *step)
{
  GHashTableIter iter;
  gpointer id;

  if (!step->occurrence->job->queue->set.advised)
    return planner->usable;
  g_ptr_array_set_size (planner->places, 0);
  g_hash_table_iter_init (&iter, step->leaves);
  while (g_hash_table_iter_next (&iter, &id, NULL))
    {
      struct instance *instance = g_hash_table_lookup (planner->instances, id);

      if (instance != NULL && instance->usable
          && rst_plan_ticket (planner, step, instance) != NULL)
        g_ptr_array_add (planner->places, instance);
    }
  return planner->places;
}

static struct instance *
choose (struct rst_planner *planner, const GPtrArray *places,
        const struct step *step, const struct task *task)
{
  struct instance *best = NULL;
  double best_score = 0.0;

  for (guint i = 0; i < places->len; i++)
    {
      struct instance *instance = g_ptr_array_index (places, i);
      double now;

      if (!rst_plan_fits (instance, step)
          || !rst_plan_allowed (instance, step))
        continue;
      now = fit_score (planner, instance, step, task);
      if (best == NULL || now < best_score)
        {
          best = instance;
          best_score = now;
        }
    }
  return best;
}

static bool
may_start (const struct rst_planner *planner, const struct task *task)
{
  return !task->done && task->run == NULL
         && !(task->unsure && planner->unsure_left);
}

/* Returns how many tasks found no place. */
static int
place_tasks (struct rst_planner *planner, struct step *step)
{
  const GPtrArray *places = find_places (planner, step);
  int left = 0;

  for (int i = 0; i < step->spec->count; i++)
    {
      struct task *task = &step->tasks[i];
      struct instance *instance;

      if (!may_start (planner, task))
        continue;
      if (!rst_plan_below_limit (step, 1))
        return 0;
      instance = left == 0 ? choose (planner, places, step, task) : NULL;
      if (instance == NULL)
        left++;
      else
        rst_plan_start (planner, task, instance, task->attempt + 1,
                        rst_plan_ticket (planner, step, instance));
    }
  return left;
}

struct share
{
  struct instance *instance;
  int slots;
};

/* Instances with leave for the step and their free places. */
static GArray *
gang_shares (struct rst_planner *planner, const struct step *step, int *total)
{
  GArray *shares = g_array_new (FALSE, FALSE, sizeof (struct share));
  const GPtrArray *places = find_places (planner, step);

  *total = 0;
  for (guint i = 0; i < places->len; i++)
    {
      struct share share = { g_ptr_array_index (places, i), 0 };

      share.slots = rst_plan_slots (share.instance, step);
      if (share.slots == 0 || !rst_plan_allowed (share.instance, step))
        continue;
      *total += share.slots;
      g_array_append_val (shares, share);
    }
  return shares;
}

static gint
by_slots (gconstpointer a, gconstpointer b)
{
  return ((const struct share *)b)->slots - ((const struct share *)a)->slots;
}

static bool
gang_is_free (struct rst_planner *planner, struct step *step)
{
  for (int i = 0; i < step->spec->count; i++)
    {
      const struct task *task = &step->tasks[i];

      if (task->run != NULL || task->done
          || (task->unsure && planner->unsure_left))
        return false;
    }
  step->gang_stopping = false;
  return true;
}

static void
start_gang (struct rst_planner *planner, struct step *step, GArray *shares)
{
  int next = 0;
  int attempt = step->gang_attempt;

  for (int i = 0; i < step->spec->count; i++)
    attempt = MAX (attempt, step->tasks[i].attempt);
  step->gang_attempt = attempt + 1;
  for (guint i = 0; i < shares->len && next < step->spec->count; i++)
    {
      struct share share = g_array_index (shares, struct share, i);

      for (int k = 0; k < share.slots && next < step->spec->count; k++)
        rst_plan_start (planner, &step->tasks[next++], share.instance,
                        step->gang_attempt,
                        rst_plan_ticket (planner, step, share.instance));
    }
}

void
rst_plan_keep (struct instance *instance, const struct step *step, int slots)
{
  struct rst_need need = rst_step_need (step->spec);

  rst_need_add (&instance->kept, &need, slots);
}

/* Holds free room back for a gang that comes next but doesn't fit yet. */
static void
keep_room (struct rst_planner *planner, const struct step *step)
{
  const struct queue *queue = step->occurrence->job->queue;
  int wanted = step->spec->count;

  for (guint i = 0; wanted > 0 && i < planner->usable->len; i++)
    {
      struct instance *instance = g_ptr_array_index (planner->usable, i);
      struct leave *leave
          = g_hash_table_lookup (step->leaves, instance->entry.id);
      int slots;

      if (!rst_plan_allowed (instance, step)
          || (queue->set.advised && (leave == NULL || leave->denied)))
        continue;
      slots = MIN (rst_plan_slots (instance, step), wanted);
      wanted -= slots;
      rst_plan_keep (instance, step, slots);
    }
}

/* Returns how many tasks found no place: all or none. */
static int
place_gang (struct rst_planner *planner, struct step *step, int *keeping)
{
  GArray *shares;
  int total;
  int left = 0;

  if (!gang_is_free (planner, step)
      || !rst_plan_below_limit (step, step->spec->count))
    return 0;
  shares = gang_shares (planner, step, &total);
  if (total >= step->spec->count)
    {
      g_array_sort (shares, by_slots);
      start_gang (planner, step, shares);
    }
  else
    {
      left = step->spec->count;
      if (*keeping < KEEPING_GANGS_MAX && step->rank < BAND_LATE)
        {
          ++*keeping;
          keep_room (planner, step);
        }
    }
  g_array_free (shares, TRUE);
  return left;
}

/* Lists the instances that take starts, with nothing kept on them. */
static void
begin_pass (struct rst_planner *planner)
{
  static const struct rst_need none;
  GHashTableIter iter;
  gpointer value;

  g_ptr_array_set_size (planner->usable, 0);
  g_array_set_size (planner->full, 0);
  g_hash_table_iter_init (&iter, planner->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct instance *instance = value;

      instance->kept = none;
      instance->usable = rst_plan_usable (planner, instance);
      instance->position = planner->usable->len;
      if (instance->usable)
        g_ptr_array_add (planner->usable, instance);
    }
}

/* Whether as small a need found no room earlier in this pass. */
static bool
is_known_full (const struct rst_planner *planner, const struct step *step)
{
  const struct rst_need *need = &step->spec->need;

  for (guint i = 0; i < planner->full->len; i++)
    {
      const struct rst_need *full
          = &g_array_index (planner->full, struct rst_need, i);

      if (need->cpu >= full->cpu && need->memory >= full->memory
          && need->gpu >= full->gpu)
        return true;
    }
  return false;
}

static bool
has_room (struct rst_planner *planner, const struct step *step)
{
  if (step->spec->fills)
    return true;
  if (is_known_full (planner, step))
    return false;
  for (guint i = 0; i < planner->usable->len; i++)
    if (rst_plan_slots (g_ptr_array_index (planner->usable, i), step) > 0)
      return true;
  if (step->spec->per_instance == 0)
    g_array_append_val (planner->full, step->spec->need);
  return false;
}

static void
place_step (struct rst_planner *planner, struct step *step, int *keeping)
{
  const struct job *job = step->occurrence->job;
  bool learns = step->spec->gang && !step->asked && job->queue->set.advised;
  int left;

  if (!learns && !has_room (planner, step))
    return;
  /* While the job is being stored, advice can be on its way. */
  if (!job->stored)
    left = step->asked ? 0 : step->waiting;
  else if (step->spec->gang)
    left = place_gang (planner, step, keeping);
  else
    left = place_tasks (planner, step);
  if (left == 0 || !job->queue->set.advised)
    return;
  if (step->ask != NULL)
    rst_plan_keep_asked (planner, step, left);
  else
    rst_plan_ask (planner, step, left);
}

void
rst_plan_place (struct rst_planner *planner)
{
  int keeping = 0;

  for (guint i = planner->active->len; i-- > 0;)
    {
      struct step *step = g_ptr_array_index (planner->active, i);

      step->rank = rank (planner, step);
      if (step->waiting > 0)
        continue;
      step->listed = false;
      g_ptr_array_remove_index_fast (planner->active, i);
    }
  g_ptr_array_sort (planner->active, by_rank);
  begin_pass (planner);
  rst_plan_count_unsure (planner);
  for (guint i = 0; i < planner->active->len; i++)
    place_step (planner, g_ptr_array_index (planner->active, i), &keeping);
}
