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
  const struct rst_need *need = &step->spec->need;
  const struct rst_need *room = &instance->entry.room;
  int64_t slots = step->spec->count;

  if (need->cpu > 0 && !step->spec->fills)
    slots = MIN (slots, (room->cpu - instance->used.cpu - instance->kept.cpu)
                            / need->cpu);
  if (need->memory > 0)
    slots = MIN (slots,
                 (room->memory - instance->used.memory - instance->kept.memory)
                     / need->memory);
  if (need->gpu > 0)
    slots = MIN (slots, (room->gpu - instance->used.gpu - instance->kept.gpu)
                            / need->gpu);
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

/* Whether a step's tasks may run there at all, room aside. */
bool
rst_plan_allowed (const struct rst_planner *planner,
                  const struct instance *instance, const struct step *step)
{
  const struct queue *queue = step->occurrence->job->queue;

  if (!rst_plan_usable (planner, instance))
    return false;
  if (queue->set.pool == NULL
      || strcmp (queue->set.pool, instance->entry.pool) != 0)
    return false;
  return step->spec->label[0] == '\0'
         || rst_instance_entry_has_label (&instance->entry, step->spec->label);
}

bool
rst_plan_below_limit (const struct step *step, int tasks)
{
  const struct customer *customer = step->occurrence->job->customer;
  const struct rst_need *limit = &customer->set.limit;
  const struct rst_need *need = &step->spec->need;
  int64_t cpu = step->spec->fills ? 0 : need->cpu;

  return (limit->cpu == 0 || customer->used.cpu + cpu * tasks <= limit->cpu)
         && (limit->memory == 0
             || customer->used.memory + need->memory * tasks <= limit->memory)
         && (limit->gpu == 0
             || customer->used.gpu + need->gpu * tasks <= limit->gpu);
}

/* Time that the work behind a step still takes at the least. */
static int64_t
remaining_ms (const struct step *step)
{
  const struct job *job = step->occurrence->job;
  int64_t longest = 0;

  for (int i = step->index + 1; i < job->desc->step_count; i++)
    for (int k = 0; k < job->desc->steps[i].after_count; k++)
      if (job->desc->steps[i].after[k] >= step->index)
        longest += job->desc->steps[i].estimate_ms;
  return longest + step->spec->estimate_ms;
}

/* What can still be on time comes first, by priority and the latest moment
   at which it has to start; what is late follows. */
static int64_t
rank (const struct rst_planner *planner, const struct step *step)
{
  const struct job *job = step->occurrence->job;
  const struct rst_queue *queue = &job->queue->set;
  int64_t since = step->occurrence->due_ms;
  int64_t objective = rst_jobdesc_chain_ms (job->desc) * queue->slack / 1000
                      + queue->target_ms;
  int64_t start_by = since + objective - remaining_ms (step);
  int64_t value = start_by - planner->unix_ms + BAND_PRIORITY / 2;
  int64_t urgent = queue->priority == 0 ? 0 : BAND_PRIORITY;

  if (step->spec->lasting)
    return 0;
  if (planner->unix_ms > since + LATE_FACTOR * objective)
    return BAND_LOST + value;
  if (job->beyond_share)
    return BAND_BEYOND + value;
  if (planner->unix_ms > start_by)
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
  total += 2.0 * (instance->speed - 1.0);
  if (step->spec->rack[0] != '\0'
      && strcmp (step->spec->rack, instance->entry.rack) != 0)
    total += 3.0;
  return total;
}

static struct instance *
choose (struct rst_planner *planner, const struct step *step,
        const struct task *task)
{
  struct instance *best = NULL;
  double best_score = 0.0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, planner->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct instance *instance = value;
      double now;

      if (!rst_plan_allowed (planner, instance, step)
          || !rst_plan_fits (instance, step)
          || rst_plan_ticket (planner, step, instance) == NULL)
        continue;
      now = score (instance, step, task);
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
  int left = 0;

  for (int i = 0; i < step->spec->count; i++)
    {
      struct task *task = &step->tasks[i];
      struct instance *instance;

      if (!may_start (planner, task))
        continue;
      if (!rst_plan_below_limit (step, 1))
        return 0;
      instance = left == 0 ? choose (planner, step, task) : NULL;
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
  GHashTableIter iter;
  gpointer value;

  *total = 0;
  g_hash_table_iter_init (&iter, planner->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct share share = { value, 0 };

      if (!rst_plan_allowed (planner, share.instance, step)
          || rst_plan_ticket (planner, step, share.instance) == NULL)
        continue;
      share.slots = rst_plan_slots (share.instance, step);
      if (share.slots == 0)
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

/* Holds free room back for a gang that comes next but doesn't fit yet. */
static void
keep_room (struct rst_planner *planner, const struct step *step)
{
  const struct queue *queue = step->occurrence->job->queue;
  int wanted = step->spec->count;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, planner->instances);
  while (wanted > 0 && g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct instance *instance = value;
      struct leave *leave
          = g_hash_table_lookup (step->leaves, instance->entry.id);
      int slots;

      if (!rst_plan_allowed (planner, instance, step)
          || (queue->set.advised && (leave == NULL || leave->denied)))
        continue;
      slots = MIN (rst_plan_slots (instance, step), wanted);
      wanted -= slots;
      instance->kept.cpu += step->spec->need.cpu * slots;
      instance->kept.memory += step->spec->need.memory * slots;
      instance->kept.gpu += step->spec->need.gpu * slots;
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

static void
clear_kept (struct rst_planner *planner)
{
  static const struct rst_need none;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, planner->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct instance *)value)->kept = none;
}

static void
place_step (struct rst_planner *planner, struct step *step, int *keeping)
{
  const struct job *job = step->occurrence->job;
  int left;

  if (!job->stored)
    left = step->waiting;
  else if (step->spec->gang)
    left = place_gang (planner, step, keeping);
  else
    left = place_tasks (planner, step);
  if (left > 0 && job->queue->set.advised)
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
  clear_kept (planner);
  for (guint i = 0; i < planner->active->len; i++)
    place_step (planner, g_ptr_array_index (planner->active, i), &keeping);
}
