/* Which jobs are rejected at submission since the fleet could not end them
   before they have no value any more.

   Answers the load of callers that submit more than the fleet can run.  What
   runs and what waits is summed up for each pool, and for each customer with
   an upper limit, at most once per SNAPSHOT_INTERVAL_MS, and only when a job
   is submitted.  Whatever is not known counts as nothing, so that in doubt a
   job is accepted. */
#include <inttypes.h>
#include <string.h>

#include "cell/admission.h"
#include "cell/planner_private.h"
#include "cell/start_estimate.h"

/** Shortest time between two walks over runs and waiting steps.  Meanwhile
    accepted jobs are added and the passed time is subtracted. */
#define SNAPSHOT_INTERVAL_MS 50

/** For this long a new planner accepts all jobs: it learns run times, and its
    instances and agents report. */
#define WARM_UP_MS 3000

/** For how long ahead the waiting work of a customer with an upper limit
   counts as work of the pool; it can't be done faster than the limit allows.
 */
#define LIMITED_WORK_MS 4000

/** A job is taken for a late one if the estimated delay is longer than the
   time left to start by this factor: less than half of such jobs start in
   time. With 1.0, 372 of 654 rejected jobs of a burst at 2.2 times the
   capacity would have started in time; with 2.0, 0 of 95. */
#define IN_TIME_DOUBT 2.0

/** Number of different needs whose free room is remembered; a job with another
    one is taken for one without free room. */
#define FREE_ROOMS_MAX 32

/** struct free_room - Number of tasks of one need that could start at once. */
struct free_room
{
  const char *pool;
  struct rst_resources need;
  int64_t slots;
};

struct rst_plan_admission
{
  /* When the loads were determined; 0 before the first time. */
  rst_ms taken_at;
  /* struct rst_start_load by name of the pool. */
  GHashTable *pools;
  /* The same by struct customer, for customers with an upper limit. */
  GHashTable *customers;
  /* How long a new advice request waits for an agent. */
  double advice_delay_ms;
  struct free_room free_rooms[FREE_ROOMS_MAX];
  int free_room_count;
};

struct rst_plan_admission *
rst_plan_admission_new (void)
{
  struct rst_plan_admission *admission = g_new0 (struct rst_plan_admission, 1);

  admission->pools
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  admission->customers = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  return admission;
}

void
rst_plan_admission_free (struct rst_plan_admission *admission)
{
  g_hash_table_destroy (admission->pools);
  g_hash_table_destroy (admission->customers);
  g_free (admission);
}

static struct rst_start_load *
get_pool_load (struct rst_planner *planner, const char *pool)
{
  static const struct rst_resources none;
  GHashTable *pools = planner->admission->pools;
  struct rst_start_load *load = g_hash_table_lookup (pools, pool);

  if (load != NULL)
    return load;
  load = g_new (struct rst_start_load, 1);
  rst_start_load_clear (load, &none, planner->unix_ms);
  g_hash_table_insert (pools, g_strdup (pool), load);
  return load;
}

/* Returns NULL for a customer without an upper limit. */
static struct rst_start_load *
get_customer_load (struct rst_planner *planner, struct customer *customer)
{
  const struct rst_resources *limit = &customer->settings.limit;
  GHashTable *customers = planner->admission->customers;
  struct rst_start_load *load = g_hash_table_lookup (customers, customer);

  if (load != NULL
      || (limit->cpu == 0 && limit->memory == 0 && limit->gpu == 0))
    return load;
  load = g_new (struct rst_start_load, 1);
  rst_start_load_clear (load, limit, planner->unix_ms);
  g_hash_table_insert (customers, customer, load);
  return load;
}

/* Instances that only pause or whose runs are not known count as well. */
static bool
counts_as_capacity (const struct rst_planner *planner,
                    const struct instance *instance)
{
  return instance->registered && !instance->entry.draining
         && !instance->is_replaced
         && !g_hash_table_contains (planner->evacuated_zones,
                                    instance->entry.zone);
}

static void
add_run (struct rst_planner *planner, struct rst_start_load *pool_load,
         const struct run *run)
{
  const struct step *step = run->task->step;
  const struct job *job = step->occurrence->job;
  struct rst_start_load *load = get_customer_load (planner, run->customer);
  double expected_ms;
  double left_ms;

  if (step->spec->long_running)
    {
      /* Its room does not become free. */
      rst_resources_add (&pool_load->capacity, &run->need, -1);
      return;
    }
  if (step->spec->best_effort || job->queue->mean_run_ms <= 0.0)
    return;
  expected_ms = rst_plan_get_expected_run_ms (job, step->index);
  left_ms = expected_ms - (double)(planner->now - run->start_sent_at);
  if (run->adopted || run->state == RUN_STOPPING)
    left_ms = 0.0;
  rst_start_load_add_run (pool_load, &run->need, expected_ms, left_ms);
  if (load != NULL)
    rst_start_load_add_run (load, &run->need, expected_ms, left_ms);
}

static void
add_instances (struct rst_planner *planner)
{
  GHashTableIter iter;
  GHashTableIter runs;
  gpointer value;
  gpointer run;

  g_hash_table_iter_init (&iter, planner->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct instance *instance = value;
      struct rst_start_load *load
          = get_pool_load (planner, instance->entry.pool);

      if (!counts_as_capacity (planner, instance))
        continue;
      rst_resources_add (&load->capacity, &instance->entry.capacity, 1);
      g_hash_table_iter_init (&runs, instance->runs);
      while (g_hash_table_iter_next (&runs, NULL, &run))
        add_run (planner, load, run);
    }
}

/* Returns the band of a job's steps, or RST_START_BANDS if the job has no
   value any more; see rst_plan_compute_rank(). */
static int
get_band (const struct rst_planner *planner, const struct job *job,
          int64_t due_ms, int64_t objective_ms, int64_t start_by_ms)
{
  bool is_urgent = job->queue->settings.priority == 0;

  if (rst_plan_has_no_value (planner, due_ms, objective_ms))
    return RST_START_BANDS;
  if (job->over_share)
    return RST_START_BAND_OVER_SHARE;
  if (planner->unix_ms > start_by_ms)
    return is_urgent ? RST_START_BAND_LATE_URGENT : RST_START_BAND_LATE;
  return is_urgent ? RST_START_BAND_IN_TIME_URGENT : RST_START_BAND_IN_TIME;
}

static void
add_waiting (struct rst_planner *planner, const struct job *job,
             const struct rst_step *spec, int index, int tasks, int band,
             int64_t start_by_ms)
{
  struct rst_resources need = rst_step_get_task_need (spec);
  struct rst_start_load *load = get_customer_load (planner, job->customer);
  double expected_ms = rst_plan_get_expected_run_ms (job, index);
  enum rst_start_band start_band = (enum rst_start_band)band;

  if (load != NULL)
    {
      rst_start_load_add_waiting (load, start_band, start_by_ms, &need, tasks,
                                  expected_ms);
      if (rst_start_load_get_waiting_ms (load) > LIMITED_WORK_MS)
        return;
    }
  rst_start_load_add_waiting (
      get_pool_load (planner, job->queue->settings.pool), start_band,
      start_by_ms, &need, tasks, expected_ms);
}

/* Steps with a label or a suspect wait for few instances, and long-running and
   best-effort ones have no end; they are not counted. */
static void
add_waiting_step (struct rst_planner *planner, const struct step *step)
{
  const struct job *job = step->occurrence->job;
  const struct rst_step *spec = step->spec;
  int band = get_band (planner, job, step->occurrence->due_ms,
                       step->objective_ms, step->start_by_ms);

  if (spec->long_running || spec->best_effort || spec->label[0] != '\0'
      || job->suspects > 0 || job->queue->settings.pool == NULL
      || job->queue->mean_run_ms <= 0.0 || band == RST_START_BANDS)
    return;
  add_waiting (planner, job, spec, step->index, step->tasks_waiting, band,
               step->start_by_ms);
}

static void
finish_runs (GHashTable *loads)
{
  GHashTableIter iter;
  gpointer load;

  g_hash_table_iter_init (&iter, loads);
  while (g_hash_table_iter_next (&iter, NULL, &load))
    rst_start_load_finish_runs (load);
}

static double
get_advice_delay_ms (const struct rst_planner *planner)
{
  rst_ms sum = 0;

  for (guint i = 0; i < planner->agents->len; i++)
    {
      const struct agent *agent = g_ptr_array_index (planner->agents, i);

      sum += MAX (agent->busy_until - planner->now, 0);
    }
  return (double)sum / (double)MAX (planner->agents->len, 1);
}

static void
take_snapshot (struct rst_planner *planner)
{
  struct rst_plan_admission *admission = planner->admission;

  if (admission->taken_at != 0
      && planner->now - admission->taken_at < SNAPSHOT_INTERVAL_MS)
    return;
  admission->taken_at = planner->now;
  g_hash_table_remove_all (admission->pools);
  g_hash_table_remove_all (admission->customers);
  add_instances (planner);
  finish_runs (admission->pools);
  finish_runs (admission->customers);
  /* They are in the order of the last pass, so that of a limited customer the
     first ones are counted for its pool. */
  for (guint i = 0; i < planner->waiting_steps->len; i++)
    add_waiting_step (planner, g_ptr_array_index (planner->waiting_steps, i));
  admission->advice_delay_ms = get_advice_delay_ms (planner);
  admission->free_room_count = 0;
}

/* Counts the tasks that have room beside the runs and what is reserved for
   gangs and for advice requests under way. */
static int64_t
count_free_slots (const struct rst_planner *planner, const char *pool,
                  const struct rst_resources *need)
{
  int64_t sum = 0;

  for (guint i = 0; i < planner->schedulable_instances->len; i++)
    {
      const struct instance *instance
          = g_ptr_array_index (planner->schedulable_instances, i);
      struct rst_resources room = instance->entry.capacity;
      int64_t slots = RST_TASKS_MAX;

      if (strcmp (pool, instance->entry.pool) != 0)
        continue;
      rst_resources_add (&room, &instance->used, -1);
      rst_resources_add (&room, &instance->reserved, -1);
      if (need->cpu > 0)
        slots = MIN (slots, room.cpu / need->cpu);
      if (need->memory > 0)
        slots = MIN (slots, room.memory / need->memory);
      if (need->gpu > 0)
        slots = MIN (slots, room.gpu / need->gpu);
      sum += MAX (slots, 0);
    }
  return sum;
}

static struct free_room *
find_free_room (struct rst_planner *planner, const char *pool,
                const struct rst_resources *need)
{
  struct rst_plan_admission *admission = planner->admission;
  struct free_room *room;
  gpointer pool_key = NULL;

  for (int i = 0; i < admission->free_room_count; i++)
    {
      room = &admission->free_rooms[i];
      if (room->need.cpu == need->cpu && room->need.memory == need->memory
          && room->need.gpu == need->gpu && strcmp (room->pool, pool) == 0)
        return room;
    }
  if (admission->free_room_count == FREE_ROOMS_MAX)
    return NULL;
  /* The table's key lives as long as the rooms; a queue's settings may be
     replaced before. */
  get_pool_load (planner, pool);
  g_hash_table_lookup_extended (admission->pools, pool, &pool_key, NULL);
  room = &admission->free_rooms[admission->free_room_count++];
  room->pool = pool_key;
  room->need = *need;
  room->slots = count_free_slots (planner, pool, need);
  return room;
}

/* Whether all tasks of the job's first steps have room now.  What waits may
   have found none: a gang as a whole, or a step on the few instances that it
   may use.  The room is then taken. */
static bool
take_free_room (struct rst_planner *planner, const struct job *job)
{
  for (int i = 0; i < job->desc->step_count; i++)
    {
      const struct rst_step *spec = &job->desc->steps[i];
      struct rst_resources need = rst_step_get_task_need (spec);
      struct free_room *room;

      if (spec->after_count > 0)
        continue;
      room = find_free_room (planner, job->queue->settings.pool, &need);
      if (room == NULL || room->slots < spec->count)
        return false;
      room->slots -= spec->count;
    }
  return true;
}

/* Whether too little is known for an estimate, or none is made for the job. */
static bool
is_exempt (const struct rst_planner *planner, const struct job *job)
{
  if (planner->timing.latest_end_percent == 0
      || planner->order != RST_STEP_ORDER_RANKED || job->desc->repeats > 0
      || job->queue->settings.pool == NULL || job->queue->mean_run_ms <= 0.0
      || planner->now - planner->created_at < WARM_UP_MS
      || planner->has_inherited || rst_plan_may_have_successor (planner))
    return true;
  for (int i = 0; i < job->desc->step_count; i++)
    if (job->desc->steps[i].long_running || job->desc->steps[i].best_effort)
      return true;
  return false;
}

static double
get_delay_ms (struct rst_planner *planner, const struct job *job, int band,
              int64_t start_by_ms, bool has_room)
{
  const struct rst_start_load *pool
      = get_pool_load (planner, job->queue->settings.pool);
  const struct rst_start_load *customer
      = get_customer_load (planner, job->customer);
  enum rst_start_band start_band = (enum rst_start_band)band;
  double delay_ms
      = has_room ? 0.0
                 : rst_start_load_get_delay_ms (pool, start_band, start_by_ms,
                                                planner->unix_ms);

  if (customer != NULL)
    delay_ms = MAX (
        delay_ms, rst_start_load_get_delay_ms (customer, start_band,
                                               start_by_ms, planner->unix_ms));
  return delay_ms;
}

/* A job that can't start in time joins the late ones.  If the time that it
   needs is longer by little only, many of its kind still make it: whoever does
   not becomes late and makes room. */
static double
estimate_delay_ms (struct rst_planner *planner, const struct job *job,
                   int band, int64_t start_by_ms, bool has_room)
{
  bool is_urgent = job->queue->settings.priority == 0;
  double delay_ms = get_delay_ms (planner, job, band, start_by_ms, has_room);

  if (band > RST_START_BAND_IN_TIME
      || delay_ms <= IN_TIME_DOUBT * (double)(start_by_ms - planner->unix_ms))
    return delay_ms;
  return get_delay_ms (planner, job,
                       is_urgent ? RST_START_BAND_LATE_URGENT
                                 : RST_START_BAND_LATE,
                       start_by_ms, has_room);
}

static void
log_overloaded (const struct job *job, const struct rst_admission_input *input,
                int retry_s)
{
  char age[24];
  char start[24];
  char path[24];
  char objective[24];
  char retry[16];

  g_snprintf (age, sizeof age, "%" PRId64, (int64_t)input->age_ms);
  g_snprintf (start, sizeof start, "%.0f", input->start_ms);
  g_snprintf (path, sizeof path, "%.0f", input->path_ms);
  g_snprintf (objective, sizeof objective, "%" PRId64, input->objective_ms);
  g_snprintf (retry, sizeof retry, "%d", retry_s);
  rst_info (RST_PLAN_LOG, "Job rejected; it would end too late.", "job",
            job->id, "queue", job->queue->settings.name, "customer",
            job->customer->settings.name, "age_ms", age, "start_ms", start,
            "path_ms", path, "objective_ms", objective, "retry_s", retry);
}

int
rst_plan_admit (struct rst_planner *planner, const struct job *job)
{
  struct rst_admission_input input = { 0 };
  int64_t start_by_ms;
  int band;
  int retry_s;
  bool has_room;

  if (is_exempt (planner, job))
    return 0;
  take_snapshot (planner);
  has_room = take_free_room (planner, job);
  input.latest_end_percent = planner->timing.latest_end_percent;
  input.age_ms = planner->unix_ms - job->first_attempt_ms;
  input.path_ms = rst_plan_get_critical_path_ms (job);
  input.objective_ms = rst_plan_get_objective_ms (job);
  start_by_ms
      = job->first_attempt_ms + input.objective_ms - (int64_t)input.path_ms;
  band = get_band (planner, job, job->first_attempt_ms, input.objective_ms,
                   start_by_ms);
  input.start_ms
      = band == RST_START_BANDS
            ? get_delay_ms (planner, job, RST_START_BAND_OVER_SHARE,
                            INT64_MAX / 2, has_room)
            : estimate_delay_ms (planner, job, band, start_by_ms, has_room);
  if (job->queue->settings.needs_approval)
    input.start_ms = MAX (input.start_ms, planner->admission->advice_delay_ms);
  retry_s = rst_admission_decide (&input, g_str_hash (job->id));
  if (retry_s > 0)
    {
      planner->stats.overloaded++;
      log_overloaded (job, &input, retry_s);
      return retry_s;
    }
  for (int i = 0; i < job->desc->step_count && band < RST_START_BANDS; i++)
    if (job->desc->steps[i].after_count == 0)
      add_waiting (planner, job, &job->desc->steps[i], i,
                   job->desc->steps[i].count, band, start_by_ms);
  return 0;
}
