/* Starting tasks, and settling starts without an answer. */
#include "coordination/sched_task_private.h"

#include <string.h>

#define LOG_PREFIX "task"

/** How long a held place waits for the start. */
#define HOLD_MS 4000

static void send_start (struct work *work);

void
sched_task_log_start (const struct work *work, const char *message,
                      const char *reason)
{
  char epoch[24];

  if (!rst_log_enabled (G_LOG_LEVEL_INFO) || work->instance == NULL)
    return;
  g_snprintf (epoch, sizeof epoch, "%" G_GUINT64_FORMAT,
              work->instance->epoch);
  rst_info (LOG_PREFIX, message, "task", work->info.id, "team",
            work->info.team, "zone", work->instance->info.zone, "instance",
            work->instance->info.name, "epoch", epoch, "reason", reason);
}

/* The start was refused: nothing runs under this id. */
static void
start_refused (struct work *work, const char *result)
{
  struct rst_scheduler *sched = work->team->sched;

  struct rst_task_start task = { 0 };

  sched->counters.start_failures++;
  sched_task_log_start (work, "Task was not started.", result);
  task.job = work->info.job;
  task.index = (uint64_t)work->info.index;
  task.attempt = (uint64_t)work->info.attempt;
  sched_task_note_refusal (sched, &task);
  sched_task_reply_started (work, RST_TASK_NOT_RUN);
  if (work->instance != NULL)
    sched_work_remove (work);
  else
    g_free (work);
}

static void
on_stop_unsure (const struct rst_platform_reply *reply, void *data)
{
  struct work *work = data;

  work->calls--;
  if (work->instance == NULL)
    {
      sched_task_reply_started (work, RST_TASK_UNSURE);
      g_free (work);
      return;
    }
  if (reply->result == RST_PLATFORM_NOT_FOUND)
    {
      start_refused (work, "not-started");
      return;
    }
  work->starting = false;
  if (reply->result == RST_PLATFORM_OK && reply->work_count == 1)
    {
      sched_task_reply_started (work, RST_TASK_RUNNING);
      sched_work_end (work, (uint64_t)reply->work[0].result);
    }
  else
    {
      /* Renewals will tell whether the worker has it. */
      work->started_at = sched_now (work->team->sched);
      sched_task_reply_started (work, RST_TASK_UNSURE);
    }
}

/* Asks the worker to stop what it may have started; a worker that does not
   know the id will never start it. */
static void
stop_unsure (struct work *work)
{
  struct rst_scheduler *sched = work->team->sched;

  work->calls++;
  sched->platform->task_stop (
      sched->platform_data, work->instance->info.address,
      work->instance->epoch, work->info.id, false, on_stop_unsure, work);
}

/* The worker may have started this run-once task and have lost it since, so
   the start is not sent again: its next report tells. */
static void
start_unsure (struct work *work)
{
  work->starting = false;
  work->unsure = true;
  work->started_at = sched_now (work->team->sched);
  work->instance->next_renew = 0;
  sched_task_log_start (work, "Start of the task is unsure.", "no-answer");
  sched_task_reply_started (work, RST_TASK_UNSURE);
}

static void
on_unsure_settled (const struct rst_platform_reply *reply, void *data)
{
  struct work *work = data;

  work->calls--;
  if (work->instance == NULL)
    {
      g_free (work);
      return;
    }
  if (reply->result == RST_PLATFORM_NOT_FOUND)
    sched_work_end (work, RST_TASK_LOST);
  else if (reply->result == RST_PLATFORM_OK && reply->work_count == 1)
    sched_work_end (work, (uint64_t)reply->work[0].result);
}

/* The worker did not report a task whose start is unsure: it is asked never
   to start it. */
void
sched_task_settle_unsure (struct work *work)
{
  struct rst_scheduler *sched = work->team->sched;

  work->calls++;
  sched->platform->task_stop (
      sched->platform_data, work->instance->info.address,
      work->instance->epoch, work->info.id, false, on_unsure_settled, work);
}

static void
start_confirmed (struct work *work)
{
  struct rst_scheduler *sched = work->team->sched;

  work->starting = false;
  work->started_at = sched_now (sched);
  sched->counters.starts++;
  sched_task_log_start (work, "Task was started.",
                        rst_policy_name ((uint64_t)work->info.policy));
  sched_task_reply_started (work, RST_TASK_RUNNING);
  if (work->instance == NULL)
    g_free (work);
}

static void
on_started (const struct rst_platform_reply *reply, void *data)
{
  struct work *work = data;
  struct rst_scheduler *sched = work->team->sched;

  work->calls--;
  /* A start gives a lease as a renewal does. */
  if (work->instance != NULL)
    work->instance->last_renewal_at = sched_now (sched);
  if (work->instance != NULL)
    rst_breaker_result (&work->instance->breaker,
                        reply->result == RST_PLATFORM_OK, sched_now (sched));
  if (reply->result == RST_PLATFORM_OK)
    start_confirmed (work);
  else if (reply->result != RST_PLATFORM_UNKNOWN)
    start_refused (work, rst_platform_result_name (reply->result));
  else if (work->instance == NULL)
    {
      sched_task_reply_started (work, RST_TASK_UNSURE);
      g_free (work);
    }
  else if (work->run_once)
    start_unsure (work);
  else if (sched_now (sched) < work->start_deadline && sched_may_start (sched))
    send_start (work);
  else
    stop_unsure (work);
}

static void
send_start (struct work *work)
{
  struct rst_scheduler *sched = work->team->sched;
  rst_ms now = sched_now (sched);
  rst_ms until = rst_tenure_until (sched->tenure, now);

  work->calls++;
  sched->platform->task_start (
      sched->platform_data, work->instance->info.address,
      work->instance->epoch, &work->info, sched->config.task_lease_ms,
      MIN (work->start_deadline, until), on_started, work);
}

static void
begin_start (struct work *work, uint64_t link, const struct rst_message *asked)
{
  work->held = false;
  work->starting = true;
  work->reply_due = true;
  work->reply_link = link;
  work->reply_id = asked->id;
  work->run_once = asked->task_start.run_once;
  work->start_deadline
      = sched_now (work->team->sched)
        + (rst_ms)MIN (asked->task_start.deadline_ms, INT32_MAX);
  rst_breaker_sent (&work->instance->breaker);
  sched_task_log_start (work, "Task is placed.",
                        rst_policy_name (asked->task_start.policy));
  send_start (work);
}

static void
fill_work (struct rst_work *info, const struct rst_task_start *task)
{
  memset (info, 0, sizeof *info);
  sched_task_task_id (info->id, sizeof info->id, task->job, task->index,
                      task->attempt);
  g_strlcpy (info->team, task->team, RST_NAME_SIZE);
  g_strlcpy (info->job, task->job, RST_NAME_SIZE);
  g_strlcpy (info->owner, task->owner, RST_NAME_SIZE);
  info->index = (int64_t)task->index;
  info->attempt = (int64_t)task->attempt;
  info->policy = (int64_t)task->policy;
  info->cpu = (int64_t)task->cpu;
  info->memory_mb = (int64_t)task->memory_mb;
  info->accelerators = (int64_t)task->accelerators;
  info->run_ms = (int64_t)task->run_ms;
}

/* A request for a task that is already here. */
static void
repeat_start (struct work *work, uint64_t link,
              const struct rst_message *asked)
{
  struct rst_scheduler *sched = work->team->sched;

  if (work->held && !asked->task_start.hold_only)
    {
      if (sched_may_start (sched))
        begin_start (work, link, asked);
      else
        {
          sched_task_refuse_start (sched, link, asked, "not-ready");
          sched_work_remove (work);
        }
      return;
    }
  work->reply_due = true;
  work->reply_link = link;
  work->reply_id = asked->id;
  if (work->held)
    sched_task_reply_started (work, RST_TASK_HELD);
  else if (!work->starting)
    sched_task_reply_started (work, work->ended ? (uint64_t)work->info.result
                                                : RST_TASK_RUNNING);
}

/* An owner of the job that another has replaced must start nothing more. */
static bool
is_outdated (struct rst_scheduler *sched, const struct rst_task_start *task)
{
  const uint64_t *generation
      = g_hash_table_lookup (sched->generations, task->job);

  return generation != NULL
         && task->attempt / RST_ATTEMPTS_PER_GENERATION < *generation;
}

static const char *
why_not (struct rst_scheduler *sched, const struct rst_task_start *task,
         struct team *team)
{
  if (!sched_may_start (sched))
    return "not-ready";
  if (is_outdated (sched, task))
    return "outdated";
  if (sched_task_was_refused (sched, task))
    return "refused-before";
  if (rst_settings_team (sched->settings, task->team) == NULL)
    return "unknown-team";
  if (!sched_limit_allows (team))
    {
      sched_limit_wanted (team);
      return "upper-limit";
    }
  return NULL;
}

void
sched_task_start (struct rst_scheduler *sched, uint64_t link,
                  const struct rst_message *message)
{
  const struct rst_task_start *task = &message->task_start;
  struct team *team = sched_team (sched, task->team);
  const char *reason = why_not (sched, task, team);
  struct instance *instance;
  struct rst_work info;
  struct work *work;

  fill_work (&info, task);
  work = g_hash_table_lookup (sched->tasks, info.id);
  if (work != NULL)
    {
      repeat_start (work, link, message);
      return;
    }
  instance = reason == NULL ? sched_task_choose_worker (sched, task) : NULL;
  if (instance == NULL)
    {
      sched_task_refuse_start (sched, link, message,
                               reason != NULL ? reason : "no-capacity");
      return;
    }
  work = sched_work_add (instance, &info);
  if (!task->hold_only)
    {
      begin_start (work, link, message);
      return;
    }
  work->held = true;
  work->hold_until = sched_now (sched) + HOLD_MS;
  work->reply_due = true;
  work->reply_link = link;
  work->reply_id = message->id;
  sched_task_reply_started (work, RST_TASK_HELD);
}
