/* Starts of tasks on owned workers, and starts whose result is unknown. */
#include "coordination/sched_task_private.h"

#include <string.h>

#define LOG_DOMAIN "task"

/** How long resources stay reserved without a start request. */
#define RESERVATION_MS 4000

static void send_start (struct run *run);

void
sched_task_log_event (const struct run *run, const char *message,
                      const char *reason)
{
  char epoch[24];

  if (!rst_log_enabled (G_LOG_LEVEL_INFO) || run->instance == NULL)
    return;
  g_snprintf (epoch, sizeof epoch, "%" G_GUINT64_FORMAT, run->instance->epoch);
  rst_info (LOG_DOMAIN, message, "task", run->info.id, "team", run->info.team,
            "zone", run->instance->info.zone, "instance",
            run->instance->info.name, "epoch", epoch, "reason", reason);
}

/* Ends a run that the worker did not start and will not start later. */
static void
handle_rejected_start (struct run *run, const char *result)
{
  struct rst_scheduler *sched = run->team->sched;

  struct rst_task_start task = { 0 };

  sched->counters.start_failures++;
  sched_task_log_event (run, "Task was not started.", result);
  task.job = run->info.job;
  task.index = (uint64_t)run->info.index;
  task.attempt = (uint64_t)run->info.attempt;
  sched_task_record_rejection (sched, &task);
  sched_task_reply_start (run, RST_TASK_NOT_RUN);
  if (run->instance != NULL)
    sched_run_remove (run);
  else
    g_free (run);
}

static void
on_in_doubt_stop_reply (const struct rst_platform_reply *reply, void *data)
{
  struct run *run = data;

  run->pending_calls--;
  if (run->instance == NULL)
    {
      sched_task_reply_start (run, RST_TASK_IN_DOUBT);
      g_free (run);
      return;
    }
  if (reply->result == RST_PLATFORM_NOT_FOUND)
    {
      handle_rejected_start (run, "not-started");
      return;
    }
  run->starting = false;
  if (reply->result == RST_PLATFORM_OK && reply->run_count == 1)
    {
      sched_task_reply_start (run, RST_TASK_RUNNING);
      sched_run_end (run, (uint64_t)reply->runs[0].result);
    }
  else
    {
      /* The worker's replies to renewals tell whether it runs the task. */
      run->started_at = sched_now (run->team->sched);
      sched_task_reply_start (run, RST_TASK_IN_DOUBT);
    }
}

/* Stops a task that the worker may have started.  A worker that does not know
   the id will not start it after this request. */
static void
stop_in_doubt (struct run *run)
{
  struct rst_scheduler *sched = run->team->sched;

  run->pending_calls++;
  sched->platform->task_stop (
      sched->platform_data, run->instance->info.address, run->instance->epoch,
      run->info.id, false, on_in_doubt_stop_reply, run);
}

/* The worker may have started this run-once task and lost it since, so sending
   the start again could run it twice.  The worker's next report decides. */
static void
mark_in_doubt (struct run *run)
{
  run->starting = false;
  run->in_doubt = true;
  run->started_at = sched_now (run->team->sched);
  run->instance->next_renewal_at = 0;
  sched_task_log_event (
      run, "Task start is in doubt; the worker's next report decides.",
      "no-answer");
  sched_task_reply_start (run, RST_TASK_IN_DOUBT);
}

static void
on_in_doubt_resolved (const struct rst_platform_reply *reply, void *data)
{
  struct run *run = data;

  run->pending_calls--;
  if (run->instance == NULL)
    {
      g_free (run);
      return;
    }
  if (reply->result == RST_PLATFORM_NOT_FOUND)
    sched_run_end (run, RST_TASK_LOST);
  else if (reply->result == RST_PLATFORM_OK && reply->run_count == 1)
    sched_run_end (run, (uint64_t)reply->runs[0].result);
}

/* Handles a task whose start is in doubt and which the worker's report does
   not contain: a stop request keeps the worker from starting it later. */
void
sched_task_resolve_in_doubt (struct run *run)
{
  struct rst_scheduler *sched = run->team->sched;

  run->pending_calls++;
  sched->platform->task_stop (
      sched->platform_data, run->instance->info.address, run->instance->epoch,
      run->info.id, false, on_in_doubt_resolved, run);
}

static void
handle_confirmed_start (struct run *run)
{
  struct rst_scheduler *sched = run->team->sched;

  run->starting = false;
  run->started_at = sched_now (sched);
  sched->counters.starts++;
  sched_task_log_event (run, "Task was started.",
                        rst_policy_name ((uint64_t)run->info.policy));
  sched_task_reply_start (run, RST_TASK_RUNNING);
  if (run->instance == NULL)
    g_free (run);
}

static void
on_start_reply (const struct rst_platform_reply *reply, void *data)
{
  struct run *run = data;
  struct rst_scheduler *sched = run->team->sched;

  run->pending_calls--;
  /* A start grants the task a lease, as a renewal does. */
  if (run->instance != NULL)
    run->instance->last_lease_call_at = sched_now (sched);
  if (run->instance != NULL)
    rst_breaker_record_result (&run->instance->breaker,
                               reply->result == RST_PLATFORM_OK,
                               sched_now (sched));
  if (reply->result == RST_PLATFORM_OK)
    handle_confirmed_start (run);
  else if (reply->result != RST_PLATFORM_UNKNOWN)
    handle_rejected_start (run, rst_platform_result_name (reply->result));
  else if (run->instance == NULL)
    {
      sched_task_reply_start (run, RST_TASK_IN_DOUBT);
      g_free (run);
    }
  else if (run->run_once)
    mark_in_doubt (run);
  else if (sched_now (sched) < run->start_deadline && sched_may_start (sched))
    send_start (run);
  else
    stop_in_doubt (run);
}

static void
send_start (struct run *run)
{
  struct rst_scheduler *sched = run->team->sched;
  rst_ms now = sched_now (sched);
  rst_ms until = rst_tenure_get_expiry (sched->tenure, now);

  run->pending_calls++;
  sched->platform->task_start (
      sched->platform_data, run->instance->info.address, run->instance->epoch,
      &run->info, sched->config.task_lease_ms,
      MIN (run->start_deadline, until), on_start_reply, run);
}

static void
begin_start (struct run *run, uint64_t link, const struct rst_message *request)
{
  run->reserved = false;
  run->starting = true;
  run->reply_due = true;
  run->reply_link = link;
  run->reply_id = request->id;
  run->run_once = request->task_start.run_once;
  run->start_deadline
      = sched_now (run->team->sched)
        + (rst_ms)MIN (request->task_start.deadline_ms, INT32_MAX);
  rst_breaker_record_request (&run->instance->breaker);
  sched_task_log_event (run, "Task was placed on a worker.",
                        rst_policy_name (request->task_start.policy));
  send_start (run);
}

static void
fill_run_info (struct rst_run_info *info, const struct rst_task_start *task)
{
  memset (info, 0, sizeof *info);
  sched_task_format_id (info->id, sizeof info->id, task->job, task->index,
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

/* Handles a start request for a task that already has a run here. */
static void
handle_repeated_start (struct run *run, uint64_t link,
                       const struct rst_message *request)
{
  struct rst_scheduler *sched = run->team->sched;

  if (run->reserved && !request->task_start.hold_only)
    {
      if (sched_may_start (sched))
        begin_start (run, link, request);
      else
        {
          sched_task_reject_start (sched, link, request, "not-ready");
          sched_run_remove (run);
        }
      return;
    }
  run->reply_due = true;
  run->reply_link = link;
  run->reply_id = request->id;
  if (run->reserved)
    sched_task_reply_start (run, RST_TASK_RESERVED);
  else if (!run->starting)
    sched_task_reply_start (run, run->ended ? (uint64_t)run->info.result
                                            : RST_TASK_RUNNING);
}

/* Whether the request comes from an owner of the job that another scheduler
   has replaced; such an owner must start no more tasks. */
static bool
is_outdated (struct rst_scheduler *sched, const struct rst_task_start *task)
{
  const uint64_t *generation
      = g_hash_table_lookup (sched->job_generations, task->job);

  return generation != NULL
         && task->attempt / RST_ATTEMPTS_PER_GENERATION < *generation;
}

static const char *
get_rejection_reason (struct rst_scheduler *sched,
                      const struct rst_task_start *task, struct team *team)
{
  if (!sched_may_start (sched))
    return "not-ready";
  if (is_outdated (sched, task))
    return "outdated";
  if (sched_task_was_rejected (sched, task))
    return "refused-before";
  if (rst_settings_find_team (sched->settings, task->team) == NULL)
    return "unknown-team";
  if (!sched_limit_allows_start (team))
    {
      sched_limit_note_rejected_start (team);
      return "upper-limit";
    }
  return NULL;
}

void
sched_task_handle_start (struct rst_scheduler *sched, uint64_t link,
                         const struct rst_message *message)
{
  const struct rst_task_start *task = &message->task_start;
  struct team *team = sched_team_get (sched, task->team);
  const char *reason = get_rejection_reason (sched, task, team);
  struct instance *instance;
  struct rst_run_info info;
  struct run *run;

  fill_run_info (&info, task);
  run = g_hash_table_lookup (sched->tasks, info.id);
  if (run != NULL)
    {
      handle_repeated_start (run, link, message);
      return;
    }
  instance = reason == NULL ? sched_task_choose_worker (sched, task) : NULL;
  if (instance == NULL)
    {
      sched_task_reject_start (sched, link, message,
                               reason != NULL ? reason : "no-capacity");
      return;
    }
  run = sched_run_add (instance, &info);
  if (!task->hold_only)
    {
      begin_start (run, link, message);
      return;
    }
  run->reserved = true;
  run->reserved_until = sched_now (sched) + RESERVATION_MS;
  run->reply_due = true;
  run->reply_link = link;
  run->reply_id = message->id;
  sched_task_reply_start (run, RST_TASK_RESERVED);
}
