/* Speeds of the instances, learned from the ends of runs.

   Answers the load of a fleet whose instances are not equally fast.  The tasks
   of one step are alike, so the run times of a step's tasks are compared with
   each other.  Each run time is first converted to that at the usual speed
   with what is known of its instance: otherwise the tasks of a step that is
   placed on slow instances only would make these appear to be usual. */
#include <math.h>
#include <stdlib.h>

#include "cell/plan_locality.h"
#include "cell/planner_private.h"

/** Time between two computations of the usual speed. */
#define CHECK_INTERVAL_MS 1000

/** Percentage of a step's tasks after whose end their runs are compared.  The
    remaining ones may be stragglers, which take seven times as long. */
#define COMPARED_PERCENT 75

/** Maximum number of runs of a step that are kept for comparison. */
#define COMPARED_RUNS_MAX 256

/** Shortest time between two comparisons of the progress of an instance's
    runs. */
#define PROGRESS_INTERVAL_MS 1000

/** Maximum number of samples from one such comparison.  An instance of which
    twenty samples are known counts as slower than usual after two comparisons
    of four runs at half the rate, and is logged as slow after four. */
#define PROGRESS_SAMPLES_MAX 4

/** Logarithm of the speed below which an instance is logged as slow: three
    quarters of the usual speed.  It no longer is from -RST_SPEED_ALIKE on. */
#define SLOW_LOG_SPEED (-0.3)

/** Maximum number of instances that one check logs as slow or no longer slow,
    so that a disturbance of many does not fill the log. */
#define LOGGED_MAX 8

/** Multiple of its objective within which a late job still has some value. */
#define VALUE_FACTOR 3

static void
update_log_speed (const struct rst_planner *planner, struct instance *instance)
{
  instance->log_speed = rst_instance_speed_get (
      &instance->speed, planner->usual_speed, planner->now);
}

/* Finds the instance of an ended run if it still has the same incarnation. */
static struct instance *
find_run_instance (const struct rst_planner *planner,
                   const struct rst_speed_run *run)
{
  struct instance *instance = rst_plan_find_numbered (planner, run->instance);

  return instance != NULL && instance->incarnation_seen_at <= run->ended_at
             ? instance
             : NULL;
}

static void
add_sample (struct rst_planner *planner, const struct rst_speed_run *run,
            double usual_log_work)
{
  struct instance *instance = find_run_instance (planner, run);

  if (instance == NULL)
    return;
  rst_instance_speed_add (
      &instance->speed, usual_log_work - (double)run->log_took, planner->now);
  update_log_speed (planner, instance);
  planner->stats.speed_samples++;
}

static void
compare_runs (struct rst_planner *planner, struct step *step)
{
  GArray *runs = step->speed_runs;
  struct rst_speed_run *first = &g_array_index (runs, struct rst_speed_run, 0);
  int count = (int)runs->len;

  for (int i = 0; i < count; i++)
    {
      const struct instance *instance = find_run_instance (planner, &first[i]);

      first[i].log_work = first[i].log_took;
      if (instance != NULL)
        first[i].log_work += (float)instance->log_speed;
    }
  g_array_sort (runs, rst_speed_compare_runs);
  for (int i = 0; i < count; i++)
    add_sample (planner, &first[i], rst_speed_get_median (first, count, i));
  step->speed_runs_compared = true;
}

/* Whether the time of a run tells something about its instance: not if it was
   paced or began before this planner heard of it, and not if its end may have
   been reported late.  The members of a gang wait for each other. */
static bool
is_comparable (const struct run *run)
{
  const struct step *step = run->task->step;

  return step->spec->count >= RST_SPEED_RUNS_MIN && !step->spec->gang
         && !step->spec->best_effort && !step->spec->long_running
         && run->state == RUN_RUNNING && run->confirmed_at != 0
         && run->instance->runs_unknown_since <= run->confirmed_at;
}

void
rst_plan_learn_speed (struct rst_planner *planner, const struct run *run)
{
  struct step *step = run->task->step;
  struct rst_speed_run ended = { 0 };
  int done = step->spec->count - step->tasks_left + 1;

  if (planner->timing.ignores_speed || run->task->done || !is_comparable (run))
    return;
  ended.instance = run->instance->number;
  ended.log_took
      = (float)(log ((double)MAX (planner->now - run->confirmed_at, 1))
                - log (rst_plan_get_run_factor (planner, run)));
  ended.ended_at = planner->now;
  if (step->speed_runs == NULL)
    step->speed_runs
        = g_array_new (FALSE, FALSE, sizeof (struct rst_speed_run));
  if (step->speed_runs_compared)
    add_sample (planner, &ended,
                rst_speed_get_median (
                    &g_array_index (step->speed_runs, struct rst_speed_run, 0),
                    (int)step->speed_runs->len, -1));
  else if (step->speed_runs->len < COMPARED_RUNS_MAX)
    g_array_append_val (step->speed_runs, ended);
  if (!step->speed_runs_compared && step->speed_runs->len >= RST_SPEED_RUNS_MIN
      && (done * 100 >= step->spec->count * COMPARED_PERCENT
          || step->speed_runs->len == COMPARED_RUNS_MAX))
    compare_runs (planner, step);
  if (step->tasks_left <= 1)
    rst_plan_free_speed_runs (step);
}

static gint
compare_doubles (gconstpointer a, gconstpointer b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return left < right ? -1 : left > right;
}

/* Collects the speeds that the runs of an instance show whose rate has
   changed.  Returns the number of all runs whose rate is compared. */
static guint
collect_rate_changes (const struct rst_planner *planner,
                      struct instance *instance, GArray *samples)
{
  GHashTableIter iter;
  gpointer value;
  guint compared = 0;

  g_hash_table_iter_init (&iter, instance->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct run *run = value;
      const struct step *step = run->task->step;
      double sample;

      if (run->state != RUN_RUNNING || step->spec->gang
          || step->spec->best_effort || step->spec->long_running)
        continue;
      if (rst_run_progress_compare (&run->rate, run->progress_percent,
                                    instance->log_speed, planner->now,
                                    &sample))
        g_array_append_val (samples, sample);
      compared += run->rate.rate > 0.0 ? 1 : 0;
    }
  return compared;
}

void
rst_plan_learn_progress (struct rst_planner *planner,
                         struct instance *instance)
{
  GArray *samples;
  guint compared;

  if (planner->timing.ignores_speed
      || planner->now - instance->progress_compared_at < PROGRESS_INTERVAL_MS)
    return;
  instance->progress_compared_at = planner->now;
  samples = g_array_new (FALSE, FALSE, sizeof (double));
  compared = collect_rate_changes (planner, instance, samples);
  /* A single task may have phases; a change of most runs is that of their
     instance. */
  if (samples->len > 0 && samples->len * 2 > compared)
    {
      planner->stats.rate_changes++;
      g_array_sort (samples, compare_doubles);
      for (guint i = 0; i < MIN (samples->len, PROGRESS_SAMPLES_MAX); i++)
        rst_instance_speed_add (
            &instance->speed,
            g_array_index (samples, double, samples->len / 2), planner->now);
      update_log_speed (planner, instance);
    }
  g_array_free (samples, TRUE);
}

void
rst_plan_free_speed_runs (struct step *step)
{
  if (step->speed_runs != NULL)
    g_array_free (step->speed_runs, TRUE);
  step->speed_runs = NULL;
}

void
rst_plan_forget_speed (struct instance *instance)
{
  static const struct rst_instance_speed none;

  instance->speed = none;
  instance->log_speed = 0.0;
}

/* Returns the median of the instances' speeds.  Those of which little is known
   count as usual: otherwise the only one that is known to be slow would be the
   usual one. */
static double
compute_usual_speed (const struct rst_planner *planner)
{
  GArray *speeds = g_array_new (FALSE, FALSE, sizeof (double));
  GHashTableIter iter;
  gpointer value;
  double usual = 0.0;

  g_hash_table_iter_init (&iter, planner->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct instance *instance = value;
      double speed
          = rst_instance_speed_get_weight (&instance->speed, planner->now)
                    >= RST_SPEED_RUNS_MIN
                ? instance->speed.log_speed
                : 0.0;

      if (instance->registered)
        g_array_append_val (speeds, speed);
    }
  g_array_sort (speeds, compare_doubles);
  if (speeds->len > 0)
    usual = g_array_index (speeds, double, speeds->len / 2);
  g_array_free (speeds, TRUE);
  return usual;
}

static void
log_slow (const struct rst_planner *planner, const struct instance *instance)
{
  char percent[16];
  char samples[16];

  g_snprintf (percent, sizeof percent, "%.0f",
              100.0 * exp (instance->log_speed));
  g_snprintf (samples, sizeof samples, "%.0f",
              rst_instance_speed_get_weight (&instance->speed, planner->now));
  rst_info (RST_PLAN_LOG,
            instance->is_slow ? "Instance is slow."
                              : "Instance no longer counts as slow.",
            "instance", instance->entry.id, "percent", percent, "samples",
            samples);
}

/* Notes whether an instance counts as slow.  Returns true if that changed. */
static bool
update_is_slow (struct rst_planner *planner, struct instance *instance)
{
  bool was_slow = instance->is_slow;

  if (instance->log_speed < SLOW_LOG_SPEED)
    instance->is_slow = true;
  else if (instance->log_speed > -RST_SPEED_ALIKE)
    instance->is_slow = false;
  if (instance->is_slow && !was_slow)
    planner->stats.slow_found++;
  if (instance->is_slow && instance->registered)
    planner->stats.slow_instances++;
  return instance->is_slow != was_slow;
}

static void
log_unlisted_changes (int changes)
{
  char count[16];

  if (changes <= LOGGED_MAX)
    return;
  g_snprintf (count, sizeof count, "%d", changes - LOGGED_MAX);
  rst_info (RST_PLAN_LOG, "More instances became slow or usual.", "instances",
            count);
}

void
rst_plan_check_speeds (struct rst_planner *planner)
{
  GHashTableIter iter;
  gpointer value;
  int changes = 0;

  if (planner->timing.ignores_speed
      || planner->now < planner->next_speed_check_at)
    return;
  planner->next_speed_check_at = planner->now + CHECK_INTERVAL_MS;
  planner->usual_speed = compute_usual_speed (planner);
  planner->stats.slow_instances = 0;
  g_hash_table_iter_init (&iter, planner->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct instance *instance = value;

      update_log_speed (planner, instance);
      if (update_is_slow (planner, instance) && ++changes <= LOGGED_MAX)
        log_slow (planner, instance);
    }
  log_unlisted_changes (changes);
}

/* Returns how much later than now a step may start at the usual speed.  A job
   that is late has time until it has no value any more. */
static double
get_spare_ms (const struct rst_planner *planner, const struct step *step)
{
  int64_t spare_ms = step->start_by_ms - planner->unix_ms;

  if (spare_ms < 0)
    spare_ms += (VALUE_FACTOR - 1) * step->objective_ms;
  return (double)spare_ms;
}

double
rst_plan_score_speed (const struct rst_planner *planner,
                      const struct instance *instance, const struct step *step)
{
  if (step->spec->long_running || step->spec->best_effort
      || rst_instance_speed_is_alike (instance->log_speed))
    return 0.0;
  return rst_instance_speed_get_score (
      instance->log_speed,
      rst_plan_get_expected_run_ms (step->occurrence->job, step->index),
      get_spare_ms (planner, step));
}

double
rst_plan_get_gang_worth (const struct instance *instance)
{
  /* The square, since members on faster instances wait for the slowest. */
  return rst_instance_speed_is_alike (instance->log_speed)
             ? 1.0
             : exp (2.0 * instance->log_speed);
}
