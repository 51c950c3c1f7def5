/* Crashes of instances, and which of their runs may have caused them.

   A task that makes its instance crash does so again wherever it starts, and
   all other runs of the instance are lost with it.  The run that started last
   is the most likely cause.  Tasks under suspicion are tried apart from others
   (plan_trial.c), which shows whether they are the cause. */
#include <inttypes.h>
#include <string.h>

#include "cell/planner_private.h"

/** A crash is attributed to the runs that had just started, which are not
   known to have run for longer than this.  A run that was at work before is
   taken for sound: instances crash by themselves, and whatever lasts meets
   some crashes in time. */
#define FRESH_RUN_MS 500

/** Of these, the last one is a suspect, and those that started at most this
    much before it. */
#define START_ORDER_MARGIN_MS 20

/** A crash that is seen at most this long after a start was ordered follows
   the start at once. */
#define PROBABLE_CRASH_MS 60

/** If more than this number of other instances are lost within the same time,
    there is another cause. */
#define COMMON_LOSSES_MAX 2
#define COMMON_LOSS_MS 25

/** How long a suspect has to run to be cleared, if its runs crashed at once;
    otherwise this many times as long as they lasted. */
#define PROBATION_MIN_MS 500
#define PROBATION_FACTOR 2

/** Number of crashes under a task after which it is a suspect in any case. */
#define CRASHES_TO_SUSPECT 3

/** Number of crashes under a suspect after which its job fails: if the last
    one followed the start of its trial at once, if it leaves no other suspect,
    and in any case. */
#define CRASHES_ON_TRIAL_MAX 2
#define CRASHES_ALONE_MAX 3
#define CRASHES_MAX 4

/** struct crashed_run - A run that was on an instance when it crashed. */
struct crashed_run
{
  struct task *task;
  int attempt;
  rst_ms survived_ms;
  bool has_started;
  bool on_trial;
  /* Whether it ran before this planner knew of it. */
  bool adopted;
  /* Time from the start order to the loss of the instance. */
  rst_ms lost_after_ms;
  /* Whether it is among those that started last. */
  bool is_suspect;
};

rst_ms
rst_plan_get_survived_ms (const struct run *run)
{
  if (run->from_journal)
    return run->survived_ms;
  if (!run->has_started)
    return 0;
  return MAX (run->instance->last_clock_ms - run->started_clock_ms, 0);
}

rst_ms
rst_plan_get_lost_after_ms (const struct run *run)
{
  const struct instance *instance = run->instance;

  if (run->from_journal)
    return run->lost_after_ms;
  if (instance->runs_known || instance->lease_basis != LEASE_BASIS_REPORT)
    return G_MAXINT64;
  return instance->runs_unknown_since - run->start_sent_at;
}

static struct crash_history *
get_history (struct task *task)
{
  if (task->crashes == NULL)
    task->crashes = g_new0 (struct crash_history, 1);
  return task->crashes;
}

bool
rst_plan_is_suspect (const struct task *task)
{
  return task->crashes != NULL && task->crashes->is_suspect;
}

bool
rst_plan_is_probable (const struct task *task)
{
  return rst_plan_is_suspect (task) && task->crashes->is_probable;
}

void
rst_plan_set_suspect (struct task *task, bool is_suspect)
{
  if (rst_plan_is_suspect (task) == is_suspect)
    return;
  get_history (task)->is_suspect = is_suspect;
  task->step->occurrence->job->suspects += is_suspect ? 1 : -1;
}

void
rst_plan_clear_crashes (struct task *task)
{
  rst_plan_set_suspect (task, false);
  g_free (task->crashes);
  task->crashes = NULL;
}

void
rst_plan_restore_crashes (struct task *task, bool is_suspect, bool is_probable,
                          rst_ms survived_ms)
{
  struct crash_history *history = get_history (task);

  history->count = 0;
  history->survived_ms = survived_ms;
  history->is_probable = is_probable;
  rst_plan_set_suspect (task, is_suspect);
}

static bool
was_counted (const struct crash_history *history, int attempt)
{
  for (int i = 0; i < history->count; i++)
    if (history->attempts[i] == attempt)
      return true;
  return false;
}

/* Another planner may have counted the same crash, so each attempt counts
   once.  A run that is not known to have started does not count. */
static void
count_crash (struct crash_history *history, const struct crashed_run *crashed)
{
  history->survived_ms = MAX (history->survived_ms, crashed->survived_ms);
  if (crashed->has_started && history->count < RST_CRASHES_MAX
      && !was_counted (history, crashed->attempt))
    history->attempts[history->count++] = crashed->attempt;
}

static void
log_suspect (const struct instance *instance,
             const struct crashed_run *crashed, bool is_alone)
{
  char name[RST_TASK_NAME_SIZE];
  char attempt[16];
  char survived[24];
  char count[16];

  rst_plan_format_task_name (crashed->task, name, sizeof name);
  g_snprintf (attempt, sizeof attempt, "%d", crashed->attempt);
  g_snprintf (survived, sizeof survived, "%" PRId64,
              (int64_t)crashed->survived_ms);
  g_snprintf (count, sizeof count, "%d", crashed->task->crashes->count);
  rst_info (RST_PLAN_LOG, "Crash counted under a task.", "task", name,
            "attempt", attempt, "instance", instance->entry.id, "started",
            crashed->has_started ? "yes" : "unknown", "survived_ms", survived,
            "alone", is_alone ? "yes" : "no", "crashes", count);
}

static void
give_up (struct rst_planner *planner, const struct instance *instance,
         struct task *task)
{
  char name[RST_TASK_NAME_SIZE];
  char count[16];

  rst_plan_format_task_name (task, name, sizeof name);
  g_snprintf (count, sizeof count, "%d", task->crashes->count);
  rst_warning (RST_PLAN_LOG,
               "Instances crash under a task; its job is given up.", "task",
               name, "instance", instance->entry.id, "crashes", count);
  planner->stats.tasks_given_up++;
  rst_plan_end_job (planner, task->step->occurrence->job, RST_JOB_FAILED);
}

static int
get_crashes_max (const struct crashed_run *crashed, bool is_alone)
{
  bool is_probable = rst_plan_is_probable (crashed->task);

  if (crashed->on_trial && (is_alone || is_probable)
      && crashed->lost_after_ms <= PROBABLE_CRASH_MS)
    return CRASHES_ON_TRIAL_MAX;
  return is_alone ? CRASHES_ALONE_MAX : CRASHES_MAX;
}

static void
suspect_run (struct rst_planner *planner, const struct instance *instance,
             const struct crashed_run *crashed, bool is_alone,
             bool is_probable)
{
  struct job *job = crashed->task->step->occurrence->job;
  struct crash_history *history = get_history (crashed->task);

  if (rst_plan_job_has_ended (job))
    return;
  count_crash (history, crashed);
  if (crashed->is_suspect || history->count >= CRASHES_TO_SUSPECT)
    rst_plan_set_suspect (crashed->task, true);
  history->is_probable |= is_probable;
  rst_plan_mark_dirty (planner, job);
  log_suspect (instance, crashed, is_alone);
  if (rst_plan_is_suspect (crashed->task)
      && history->count >= get_crashes_max (crashed, is_alone)
      && !RST_CELL_FAULT (RST_CELL_FAULT_IGNORE_CRASHES))
    give_up (planner, instance, crashed->task);
}

static void
add_crashed_run (GArray *found, struct task *task, int attempt,
                 rst_ms survived_ms, bool has_started, bool on_trial,
                 bool adopted, rst_ms lost_after_ms)
{
  struct crashed_run crashed = { task,     attempt, survived_ms,   has_started,
                                 on_trial, adopted, lost_after_ms, false };

  if (!task->done && !rst_plan_job_has_ended (task->step->occurrence->job))
    g_array_append_val (found, crashed);
}

/* Collects the runs that an instance had when it crashed: those that it still
   has in the planner's tables, and those that its lease ended since. */
static GArray *
collect_crashed_runs (struct rst_planner *planner, struct instance *instance)
{
  GArray *found = g_array_new (FALSE, FALSE, sizeof (struct crashed_run));
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, instance->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct run *run = value;

      add_crashed_run (found, run->task, run->attempt,
                       rst_plan_get_survived_ms (run), run->has_started,
                       run->on_trial, run->adopted,
                       rst_plan_get_lost_after_ms (run));
    }
  for (guint i = 0; i < instance->lapsed_runs->len; i++)
    {
      const struct lapsed_run *lapsed
          = &g_array_index (instance->lapsed_runs, struct lapsed_run, i);
      struct task *task = rst_plan_find_task (planner, lapsed->task);

      if (task != NULL)
        add_crashed_run (found, task, lapsed->attempt, lapsed->survived_ms,
                         lapsed->has_started, lapsed->on_trial, false,
                         G_MAXINT64);
    }
  g_array_set_size (instance->lapsed_runs, 0);
  return found;
}

/* Returns how long the last run had run that is known to have started. */
static rst_ms
find_shortest_run_ms (const GArray *runs)
{
  rst_ms shortest = G_MAXINT64;

  for (guint i = 0; i < runs->len; i++)
    {
      const struct crashed_run *run
          = &g_array_index (runs, struct crashed_run, i);

      if (run->has_started)
        shortest = MIN (shortest, run->survived_ms);
    }
  return shortest;
}

static bool
is_fresh (const struct crashed_run *run)
{
  return run->survived_ms <= FRESH_RUN_MS && !run->adopted;
}

/* Keeps the runs that had just started and marks the last ones as suspects. */
static void
keep_likely_causes (GArray *runs)
{
  rst_ms shortest = find_shortest_run_ms (runs);

  for (guint i = runs->len; i-- > 0;)
    {
      struct crashed_run *run = &g_array_index (runs, struct crashed_run, i);

      run->is_suspect
          = !run->has_started
            || run->survived_ms - START_ORDER_MARGIN_MS <= shortest;
      if (!is_fresh (run))
        g_array_remove_index_fast (runs, i);
    }
}

/* Whether all suspects are of one job, so that it alone can be the cause. */
static bool
are_of_one_job (const GArray *runs)
{
  const struct job *job = NULL;

  for (guint i = 0; i < runs->len; i++)
    {
      const struct crashed_run *run
          = &g_array_index (runs, struct crashed_run, i);

      if (!run->is_suspect)
        continue;
      if (job != NULL && job != run->task->step->occurrence->job)
        return false;
      job = run->task->step->occurrence->job;
    }
  return true;
}

/* Whether the crash followed the start of each suspect at once. */
static bool
crashed_at_start (const GArray *runs)
{
  for (guint i = 0; i < runs->len; i++)
    {
      const struct crashed_run *run
          = &g_array_index (runs, struct crashed_run, i);

      if (run->is_suspect
          && (!run->has_started || run->lost_after_ms > PROBABLE_CRASH_MS))
        return false;
    }
  return true;
}

/* Whether several other instances were lost at the same moment. */
static bool
has_common_loss (const struct rst_planner *planner,
                 const struct instance *instance)
{
  int others = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, planner->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct instance *other = value;

      if (other != instance && !other->runs_known
          && ABS (other->runs_unknown_since - instance->runs_unknown_since)
                 <= COMMON_LOSS_MS)
        others++;
    }
  return others > COMMON_LOSSES_MAX;
}

void
rst_plan_count_crash (struct rst_planner *planner, struct instance *instance)
{
  GArray *runs;
  guint lost;
  bool is_alone;
  bool is_probable;
  char lost_text[16];
  char suspects_text[16];

  /* An instance that drains ends as planned. */
  if (instance->entry.draining)
    return;
  runs = collect_crashed_runs (planner, instance);
  lost = runs->len;
  keep_likely_causes (runs);
  is_alone = are_of_one_job (runs);
  is_probable = is_alone && crashed_at_start (runs)
                && !has_common_loss (planner, instance);
  if (lost > 0)
    {
      planner->stats.crashes++;
      g_snprintf (lost_text, sizeof lost_text, "%u", lost);
      g_snprintf (suspects_text, sizeof suspects_text, "%u", runs->len);
      rst_info (RST_PLAN_LOG, "Instance crashed with runs.", "instance",
                instance->entry.id, "runs", lost_text, "just_started",
                suspects_text);
    }
  for (guint i = 0; i < runs->len; i++)
    suspect_run (planner, instance,
                 &g_array_index (runs, struct crashed_run, i), is_alone,
                 is_probable);
  g_array_free (runs, TRUE);
}

void
rst_plan_note_lapsed_runs (struct instance *instance)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, instance->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct run *run = value;
      struct lapsed_run lapsed = { 0 };

      g_strlcpy (lapsed.task, run->name, sizeof lapsed.task);
      lapsed.attempt = run->attempt;
      lapsed.survived_ms = rst_plan_get_survived_ms (run);
      lapsed.has_started = run->has_started;
      lapsed.on_trial = run->on_trial;
      g_array_append_val (instance->lapsed_runs, lapsed);
    }
}

static rst_ms
get_probation_ms (const struct crash_history *history)
{
  return MAX (PROBATION_MIN_MS, history->survived_ms * PROBATION_FACTOR);
}

bool
rst_plan_suspects_crash_at_start (const struct step *step)
{
  for (int i = 0; i < step->spec->count; i++)
    if (rst_plan_is_suspect (&step->tasks[i])
        && get_probation_ms (step->tasks[i].crashes) > PROBATION_MIN_MS)
      return false;
  return true;
}

void
rst_plan_clear_suspect (struct rst_planner *planner, struct task *task,
                        const char *why)
{
  char name[RST_TASK_NAME_SIZE];

  if (!rst_plan_is_suspect (task))
    return;
  rst_plan_format_task_name (task, name, sizeof name);
  rst_info (RST_PLAN_LOG, "Task is no longer suspected of crashes.", "task",
            name, "why", why);
  rst_plan_clear_crashes (task);
  rst_plan_mark_dirty (planner, task->step->occurrence->job);
  planner->pass_wanted = true;
}

void
rst_plan_check_probation (struct rst_planner *planner, struct run *run)
{
  struct task *task = run->task;

  if (!run->has_started || run->from_journal || !rst_plan_is_suspect (task)
      || rst_plan_get_survived_ms (run) < get_probation_ms (task->crashes))
    return;
  rst_plan_clear_suspect (planner, task, "keeps running");
  rst_plan_end_trial (run);
  rst_plan_end_gang_trial (task->step);
}
