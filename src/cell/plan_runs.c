/* Runs: start and stop orders, their answers, and the ends of runs. */
#include <inttypes.h>
#include <string.h>

#include "cell/pace.h"
#include "cell/plan_intent.h"
#include "cell/plan_locality.h"
#include "cell/planner_private.h"

/** Time after which an unanswered stop order is repeated. */
#define STOP_RETRY_MS 300

/** Number of consecutive failed runs at which an instance is paused. */
#define FAILURES_MAX 3

/** Pause at that number; each further failure adds as much. */
#define FAILURE_PAUSE_MS 1500

/** Base of the pause after a rejected start order; it doubles with each
    consecutive rejection. */
#define REJECTION_PAUSE_MS 400

/** Longest pause of an instance. */
#define PAUSE_MAX_MS 6000

/** A run that makes no progress for this long, and for longer than its task's
    estimate, is stopped. */
#define STALL_TIMEOUT_MS 3500

/** Size from which no further task is added to a start message: a message of
    any number of tasks with checkpoints stays far below the largest frame of a
    link. */
#define START_BATCH_BYTES_MAX (1024 * 1024)

/** Weight of a new run in the mean run time of its queue's tasks. */
#define RUN_TIME_WEIGHT 0.02

void
rst_plan_format_task_name (const struct task *task, char *out, size_t size)
{
  const struct step *step = task->step;

  g_snprintf (out, size, "%s.%" PRId64 ".%d.%d", step->occurrence->job->id,
              step->occurrence->number, step->index, task->index);
}

void
rst_plan_run_free (gpointer data)
{
  g_free (data);
}

struct run *
rst_plan_run_new (struct rst_planner *planner, struct task *task,
                  struct instance *instance, int attempt)
{
  struct run *run = g_new0 (struct run, 1);
  struct job *job = task->step->occurrence->job;

  rst_plan_format_task_name (task, run->name, sizeof run->name);
  run->task = task;
  run->instance = instance;
  run->need = rst_step_get_task_need (task->step->spec);
  run->attempt = attempt;
  run->start_sent_at = planner->now;
  run->progressed_at = planner->now;
  run->pace_percent = RST_PACE_FULL_PERCENT;
  run->customer = job->customer;
  task->run = run;
  task->attempt = MAX (task->attempt, attempt);
  if (planner->restored
      && task->attempt - task->recorded_attempt
             > RST_UNRECORDED_ATTEMPTS_MAX / 2)
    rst_plan_mark_dirty (planner, job);
  if (!task->done)
    task->step->tasks_waiting--;
  rst_resources_add (&instance->used, &run->need, 1);
  rst_resources_add (&run->customer->used, &run->need, 1);
  g_hash_table_replace (instance->runs, run->name, run);
  return run;
}

void
rst_plan_run_mark_started (struct run *run)
{
  if (run->state == RUN_STARTING)
    run->state = RUN_RUNNING;
  if (!run->has_started)
    run->started_clock_ms = run->instance->last_clock_ms;
  run->has_started = true;
  rst_plan_job_mark_started (run->task->step->occurrence->job);
}

void
rst_plan_job_mark_started (struct job *job)
{
  if (!job->has_started && job->desc->repeats == 0
      && !rst_plan_job_has_ended (job))
    job->queue->pending--;
  job->has_started = true;
}

void
rst_plan_run_remove (struct rst_planner *planner, struct run *run)
{
  struct task *task = run->task;

  planner->pass_wanted = true;
  rst_plan_end_trial (run);
  rst_resources_add (&run->instance->used, &run->need, -1);
  rst_resources_add (&run->customer->used, &run->need, -1);
  task->run = NULL;
  task->freed_at = planner->now;
  if (!task->done)
    task->step->tasks_waiting++;
  g_hash_table_remove (run->instance->runs, run->name);
  if (!rst_plan_job_has_ended (task->step->occurrence->job))
    rst_plan_enqueue_step (planner, task->step);
}

static void
send_stop (struct rst_planner *planner, struct run *run)
{
  struct rst_pack pack;

  run->stop_sent_at = planner->now;
  if (run->instance->agent == NULL)
    return;
  rst_pack_init (&pack, 4);
  rst_pack_int (&pack, RST_MSG_STOP);
  rst_pack_text (&pack, run->instance->entry.id);
  rst_pack_text (&pack, run->name);
  rst_pack_int (&pack, run->attempt);
  rst_plan_send (planner, run->instance->agent->link, &pack);
}

void
rst_plan_stop_run (struct rst_planner *planner, struct run *run)
{
  if (run->state == RUN_STOPPING)
    return;
  run->state = RUN_STOPPING;
  run->stop_answered = false;
  send_stop (planner, run);
}

static void
stop_gang (struct rst_planner *planner, struct step *step)
{
  if (!step->spec->gang || step->gang_stopping)
    return;
  step->gang_stopping = true;
  for (int i = 0; i < step->spec->count; i++)
    if (step->tasks[i].run != NULL)
      rst_plan_stop_run (planner, step->tasks[i].run);
}

static void
count_start (struct rst_planner *planner, struct job *job)
{
  planner->stats.starts++;
  if (!job->start_sent && !job->has_started)
    rst_histogram_add (&job->queue->first_start_ms,
                       planner->unix_ms - job->submitted_ms);
  job->start_sent = true;
}

static struct start_batch *
get_start_batch (struct rst_planner *planner, uint64_t link)
{
  struct start_batch *batch;

  for (guint i = 0; i < planner->start_batches->len; i++)
    {
      batch = g_ptr_array_index (planner->start_batches, i);
      if (batch->link == link
          && batch->rows.buffer.size < START_BATCH_BYTES_MAX)
        return batch;
    }
  batch = g_new0 (struct start_batch, 1);
  batch->link = link;
  rst_pack_init_sequence (&batch->rows);
  if (rst_log_enabled (G_LOG_LEVEL_INFO))
    batch->log = g_string_new (NULL);
  g_ptr_array_add (planner->start_batches, batch);
  return batch;
}

void
rst_plan_start_task (struct rst_planner *planner, struct task *task,
                     struct instance *instance, int attempt,
                     const char *ticket)
{
  struct step *step = task->step;
  struct start_batch *batch = get_start_batch (planner, instance->agent->link);

  rst_plan_run_new (planner, task, instance, attempt);
  task->inherited_starts = RST_STARTS_NOWHERE;
  count_start (planner, step->occurrence->job);
  batch->count++;
  rst_pack_array (&batch->rows, 5);
  rst_pack_text (&batch->rows, instance->entry.id);
  rst_pack_int (&batch->rows, task->index);
  rst_pack_int (&batch->rows, attempt);
  rst_pack_text (&batch->rows, rst_plan_get_checkpoint (task));
  rst_pack_text (&batch->rows, ticket);
  if (batch->log != NULL)
    g_string_append_printf (batch->log, "%s%d/%d@%s",
                            batch->log->len > 0 ? "," : "", task->index,
                            attempt, instance->entry.id);
}

void
rst_plan_send_starts (struct rst_planner *planner, const struct step *step)
{
  struct job *job = step->occurrence->job;

  /* Its record still says that the tasks may be anywhere. */
  if (planner->start_batches->len > 0)
    rst_plan_mark_dirty (planner, job);
  for (guint i = 0; i < planner->start_batches->len; i++)
    {
      struct start_batch *batch
          = g_ptr_array_index (planner->start_batches, i);
      char name[RST_TASK_NAME_SIZE];
      struct rst_pack pack;

      g_snprintf (name, sizeof name, "%s.%" PRId64 ".%d", job->id,
                  step->occurrence->number, step->index);
      rst_pack_init (&pack, 4);
      rst_pack_int (&pack, RST_MSG_START);
      rst_pack_text (&pack, name);
      rst_pack_text (&pack, job->desc->spec);
      rst_pack_array (&pack, batch->count);
      rst_pack_append (&pack, &batch->rows);
      rst_pack_clear (&batch->rows);
      rst_plan_send (planner, batch->link, &pack);
      if (batch->log == NULL)
        continue;
      rst_info (RST_PLAN_LOG, "Tasks placed.", "step", name, "tasks",
                batch->log->str);
      g_string_free (batch->log, TRUE);
    }
  g_ptr_array_set_size (planner->start_batches, 0);
}

void
rst_plan_run_mark_lost (struct rst_planner *planner, struct run *run,
                        const char *why)
{
  struct step *step = run->task->step;
  char attempt[16];
  char age_ms[24];

  g_snprintf (attempt, sizeof attempt, "%d", run->attempt);
  g_snprintf (age_ms, sizeof age_ms, "%" PRId64,
              (int64_t)(planner->now - run->start_sent_at));
  rst_info (RST_PLAN_LOG, "Run was lost; its task may start elsewhere.",
            "task", run->name, "attempt", attempt, "instance",
            run->instance->entry.id, "why", why, "age_ms", age_ms);
  rst_plan_run_remove (planner, run);
  stop_gang (planner, step);
}

/* Reads the answer to a start or stop order.  Returns the run that it is
   about, or NULL if there is none with that attempt number. */
static struct run *
read_run_answer (struct rst_planner *planner, struct rst_reader *reader,
                 enum rst_result *result, int64_t *clock_ms)
{
  char id[RST_ID_SIZE];
  char name[RST_TASK_NAME_SIZE];
  struct instance *instance;
  struct run *run;
  int attempt;

  rst_reader_copy_text (reader, id, sizeof id);
  rst_reader_copy_text (reader, name, sizeof name);
  attempt = (int)rst_reader_read_int (reader);
  *result = (enum rst_result)rst_reader_read_int (reader);
  *clock_ms = rst_reader_read_int (reader);
  if (reader->bad)
    return NULL;
  instance = g_hash_table_lookup (planner->instances, id);
  run = instance != NULL ? g_hash_table_lookup (instance->runs, name) : NULL;
  return run != NULL && run->attempt == attempt ? run : NULL;
}

/* Pauses an instance after a start order failed there. */
static void
pause_instance (struct rst_planner *planner, struct instance *instance)
{
  rst_ms pause;

  /* The orders of a batch fail together, for one reason. */
  if (planner->now < instance->paused_until)
    return;
  instance->rejections = MIN (instance->rejections + 1, 4);
  pause = MIN (REJECTION_PAUSE_MS << instance->rejections, PAUSE_MAX_MS);
  instance->paused_until = planner->now + pause;
  rst_info (RST_PLAN_LOG, "Instance is paused after a failed start order.",
            "instance", instance->entry.id);
}

/* Whether an answer to a start order proves that it was not carried out.  One
   with any other result may have been, or may still be. */
static bool
proves_no_start (enum rst_result result)
{
  switch (result)
    {
    case RST_RESULT_NOT_SENT:
    case RST_RESULT_REJECTED:
    case RST_RESULT_FENCED:
    case RST_RESULT_STALE_ATTEMPT:
    case RST_RESULT_LEASE_EXPIRED:
    case RST_RESULT_NO_ROOM:
    case RST_RESULT_NO_TICKET:
      return true;
    default:
      return false;
    }
}

void
rst_plan_receive_started (struct rst_planner *planner,
                          struct rst_reader *reader)
{
  enum rst_result result;
  int64_t clock_ms;
  struct run *run = read_run_answer (planner, reader, &result, &clock_ms);
  struct approval *approval;

  /* Without a clock, a list made before the start can't be told from a later
     one; a list that has the run or the timeout of the order decides. */
  if (run == NULL || (result == RST_RESULT_OK && clock_ms == 0))
    return;
  run->clock_ms = MAX (run->clock_ms, clock_ms);
  if (result == RST_RESULT_OK)
    {
      run->instance->rejections = 0;
      run->instance->last_clock_ms
          = MAX (run->instance->last_clock_ms, clock_ms);
      if (!run->has_started)
        run->confirmed_at = planner->now;
      rst_plan_run_mark_started (run);
      return;
    }
  planner->stats.starts_failed++;
  rst_info (RST_PLAN_LOG, "Start order failed.", "task", run->name, "instance",
            run->instance->entry.id, "result", rst_result_name (result));
  /* The task must not start elsewhere before such a run has been stopped. */
  if (!proves_no_start (result)
      && !RST_CELL_FAULT (RST_CELL_FAULT_EARLY_RESTART))
    {
      pause_instance (planner, run->instance);
      stop_gang (planner, run->task->step);
      rst_plan_stop_run (planner, run);
      return;
    }
  approval = rst_plan_find_approval (run->task->step, run->instance);
  if (result == RST_RESULT_NO_TICKET && approval != NULL)
    approval->expires_at = 0;
  if (result == RST_RESULT_REJECTED || result == RST_RESULT_NO_ROOM
      || result == RST_RESULT_NOT_SENT)
    pause_instance (planner, run->instance);
  if (!run->task->step->spec->gang)
    rst_failures_settle (run->task->failures, run->attempt);
  rst_plan_run_mark_lost (planner, run, rst_result_name (result));
}

void
rst_plan_receive_stopped (struct rst_planner *planner,
                          struct rst_reader *reader)
{
  enum rst_result result;
  int64_t clock_ms;
  struct run *run = read_run_answer (planner, reader, &result, &clock_ms);

  if (run == NULL || result != RST_RESULT_OK)
    return;
  run->stop_answered = true;
  run->clock_ms = MAX (run->clock_ms, clock_ms);
}

static void
finish_task (struct rst_planner *planner, struct task *task)
{
  struct step *step = task->step;

  if (task->done)
    return;
  task->done = true;
  rst_plan_clear_crashes (task);
  if (task->run == NULL)
    step->tasks_waiting--;
  step->tasks_left--;
  rst_plan_forget_checkpoint (planner, task);
  if (step->tasks_left == 0)
    rst_plan_finish_step (planner, step);
}

static void
record_task_done (struct rst_planner *planner, struct task *task)
{
  struct step *step = task->step;

  rst_plan_mark_dirty (planner, step->occurrence->job);
  if (!step->spec->gang)
    {
      finish_task (planner, task);
      return;
    }
  /* A gang completes as a whole: one completed run stands for all. */
  for (int i = 0; i < step->spec->count; i++)
    finish_task (planner, &step->tasks[i]);
}

static void
record_instance_failure (struct rst_planner *planner,
                         struct instance *instance)
{
  int excess;

  instance->failures++;
  excess = instance->failures - FAILURES_MAX + 1;
  if (excess <= 0)
    return;
  instance->paused_until
      = planner->now + MIN ((rst_ms)excess * FAILURE_PAUSE_MS, PAUSE_MAX_MS);
  rst_warning (RST_PLAN_LOG, "Runs keep failing on an instance; it is paused.",
               "instance", instance->entry.id);
}

static void
record_task_failure (struct rst_planner *planner, struct task *task,
                     struct instance *instance, int attempt)
{
  struct step *step = task->step;
  struct job *job = step->occurrence->job;
  /* Failures of a gang are counted on its first task. */
  struct task *counter = step->spec->gang ? &step->tasks[0] : task;

  task->avoided_instance = instance;
  if (step->spec->long_running
      || !rst_failures_add (&counter->failures, attempt))
    return;
  rst_plan_mark_dirty (planner, job);
  if (rst_failures_count (counter->failures)
          >= MAX (job->queue->settings.max_failures, 1)
      && !RST_CELL_FAULT (RST_CELL_FAULT_IGNORE_FAILURES))
    rst_plan_end_job (planner, job, RST_JOB_FAILED);
}

static void
update_mean_run_time (const struct rst_planner *planner, const struct run *run)
{
  struct queue *queue = run->task->step->occurrence->job->queue;
  double took_ms = (double)(planner->now - run->start_sent_at)
                   / rst_plan_get_run_factor (planner, run);

  if (queue->mean_run_ms <= 0.0)
    queue->mean_run_ms = took_ms;
  queue->mean_run_ms += RUN_TIME_WEIGHT * (took_ms - queue->mean_run_ms);
}

/* Once the end of a run is acknowledged, a successor learns only from the
   job's record that the job has started. */
static void
record_job_start (struct rst_planner *planner, struct job *job)
{
  rst_plan_job_mark_started (job);
  if (!job->start_recorded && !rst_plan_job_has_ended (job))
    rst_plan_mark_dirty (planner, job);
}

void
rst_plan_apply_end (struct rst_planner *planner, struct instance *instance,
                    const struct rst_run *end)
{
  struct task *task = rst_plan_find_task (planner, end->task);
  struct run *run = g_hash_table_lookup (instance->runs, end->task);
  struct step *step;

  if (run != NULL && run->attempt != end->attempt)
    run = NULL;
  if (task == NULL)
    return;
  step = task->step;
  planner->stats.ends[end->end_reason]++;
  rst_plan_keep_checkpoint (planner, task, end->checkpoint);
  task->attempt = MAX (task->attempt, end->attempt);
  record_job_start (planner, step->occurrence->job);
  if (!rst_plan_job_has_ended (step->occurrence->job))
    {
      if (end->end_reason == RST_END_DONE && !step->spec->long_running)
        {
          instance->failures = 0;
          if (run != NULL)
            {
              update_mean_run_time (planner, run);
              rst_plan_learn_speed (planner, run);
            }
          record_task_done (planner, task);
        }
      else if (end->end_reason == RST_END_FAILED)
        {
          /* A task that has failed elsewhere too says little of this one. */
          if (task->avoided_instance == NULL
              || task->avoided_instance == instance)
            record_instance_failure (planner, instance);
          record_task_failure (planner, task, instance, end->attempt);
        }
      else if (!step->spec->gang)
        rst_failures_settle (task->failures, end->attempt);
      if (end->end_reason != RST_END_DONE && run != NULL)
        stop_gang (planner, step);
    }
  if (run != NULL && end->end_reason == RST_END_FAILED)
    rst_plan_clear_suspect (planner, task, "failed without a crash");
  else if (run != NULL)
    rst_plan_check_probation (planner, run);
  if (run != NULL)
    rst_plan_run_remove (planner, run);
  if (rst_log_enabled (G_LOG_LEVEL_INFO))
    {
      static const char *const names[]
          = { "done", "failed", "stopped", "lapsed", "broken", "alone" };

      g_string_append_printf (planner->ends_log, "%s%s/%d:%s",
                              planner->ends_log->len > 0 ? "," : "", end->task,
                              end->attempt, names[end->end_reason]);
    }
}

void
rst_plan_log_ends (struct rst_planner *planner,
                   const struct instance *instance)
{
  if (planner->ends_log->len == 0)
    return;
  rst_info (RST_PLAN_LOG, "Runs ended.", "instance", instance->entry.id,
            "tasks", planner->ends_log->str);
  g_string_truncate (planner->ends_log, 0);
}

void
rst_plan_check_runs (struct rst_planner *planner, struct instance *instance)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, instance->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct run *run = value;
      struct step *step = run->task->step;

      if (run->state == RUN_STARTING
          && planner->now - run->start_sent_at > RST_START_TIMEOUT_MS)
        {
          stop_gang (planner, step);
          rst_plan_stop_run (planner, run);
        }
      else if (run->state == RUN_STOPPING && !run->stop_answered
               && planner->now - run->stop_sent_at > STOP_RETRY_MS)
        send_stop (planner, run);
      else if (run->state == RUN_RUNNING && !step->spec->long_running
               && instance->runs_known
               && planner->now - run->progressed_at > STALL_TIMEOUT_MS
               && planner->now - run->progressed_at > step->spec->estimate_ms)
        {
          rst_info (RST_PLAN_LOG, "Run makes no progress and is stopped.",
                    "task", run->name, "instance", instance->entry.id);
          instance->paused_until = planner->now + FAILURE_PAUSE_MS;
          run->task->avoided_instance = instance;
          stop_gang (planner, step);
          rst_plan_stop_run (planner, run);
        }
    }
}

void
rst_plan_mark_runs_lost (struct rst_planner *planner,
                         struct instance *instance, const char *why)
{
  GList *runs = g_hash_table_get_values (instance->runs);

  for (GList *item = runs; item != NULL; item = item->next)
    rst_plan_run_mark_lost (planner, item->data, why);
  g_list_free (runs);
}
