/* States of a job's tasks, and what the owners of their workers report. */
#include "coordination/sched_job_private.h"

#include <stdlib.h>
#include <string.h>

#define LOG_DOMAIN "job"

/** Failures after which a task is not started again. */
#define TASK_FAILURES_MAX 3

/** Pause before a task that failed, or a service's task that ended, is started
 * again; for a failing service it is multiplied by the number of failures. */
#define RESTART_PAUSE_MS 500

/** Most pauses by which a restart of a failing service is delayed. */
#define SERVICE_RESTART_PAUSES_MAX 20

static int64_t *
get_state_counter (struct job *job, enum task_state state)
{
  switch (state)
    {
    case TASK_WAITING:
      return &job->waiting_count;
    case TASK_START_REQUESTED:
      return &job->start_requested_count;
    case TASK_RESERVED:
      return &job->reserved_count;
    case TASK_RUNNING:
      return &job->running_count;
    case TASK_IN_DOUBT:
      return &job->in_doubt_count;
    default:
      return NULL;
    }
}

void
sched_job_set_task_state (struct job *job, struct task *task,
                          enum task_state state)
{
  int64_t *before = get_state_counter (job, task->state);
  int64_t *after = get_state_counter (job, state);

  if (before != NULL)
    (*before)--;
  if (after != NULL)
    (*after)++;
  task->state = state;
  if (state == TASK_WAITING)
    job->first_waiting
        = MIN (job->first_waiting, (int64_t)(task - job->tasks));
}

void
sched_job_end_task (struct job *job, struct task *task, char outcome)
{
  sched_job_set_task_state (job, task, TASK_ENDED);
  job->record.task_outcomes[task - job->tasks] = outcome;
  job->dirty = true;
}

static void
restart_task (struct job *job, struct task *task, rst_ms pause)
{
  if (job->record.cancelled)
    {
      sched_job_end_task (job, task, 'c');
      return;
    }
  task->start_not_before = sched_now (job->sched) + pause;
  task->attempt++;
  task->latest_attempt = 0;
  sched_job_set_task_state (job, task, TASK_WAITING);
}

void
sched_job_handle_lost_task (struct job *job, struct task *task)
{
  if (job->record.spec.run_once && !RST_FAULT (RST_FAULT_RUN_TASK_TWICE))
    sched_job_end_task (job, task, 'u');
  else
    restart_task (job, task, 0);
}

static void
handle_task_failure (struct job *job, struct task *task)
{
  task->failures++;
  if (job->record.spec.policy == RST_POLICY_SERVICE)
    restart_task (job, task,
                  RESTART_PAUSE_MS
                      * MIN (task->failures, SERVICE_RESTART_PAUSES_MAX));
  else if (job->record.spec.run_once || task->failures >= TASK_FAILURES_MAX)
    sched_job_end_task (job, task, 'f');
  else
    restart_task (job, task, RESTART_PAUSE_MS);
}

static void
apply_result (struct job *job, struct task *task, uint64_t result)
{
  switch (result)
    {
    case RST_TASK_DONE:
      if (job->record.spec.policy == RST_POLICY_SERVICE)
        restart_task (job, task, RESTART_PAUSE_MS);
      else
        sched_job_end_task (job, task, 'd');
      break;
    case RST_TASK_FAILED:
      handle_task_failure (job, task);
      break;
    case RST_TASK_STOPPED:
      if (job->record.cancelled)
        sched_job_end_task (job, task, 'c');
      else
        sched_job_handle_lost_task (job, task);
      break;
    case RST_TASK_MOVED:
      restart_task (job, task, 0);
      break;
    case RST_TASK_NOT_RUN:
      restart_task (job, task, 0);
      break;
    default:
      sched_job_handle_lost_task (job, task);
      break;
    }
}

uint64_t
sched_job_get_full_attempt (const struct job *job, const struct task *task)
{
  return job->record.generation * RST_ATTEMPTS_PER_GENERATION + task->attempt;
}

static void
queue_end_ack (struct job *job, uint64_t link,
               const struct rst_task_event *event)
{
  struct end_ack *end_ack = g_new0 (struct end_ack, 1);

  end_ack->link = link;
  end_ack->index = event->index;
  end_ack->attempt = event->attempt;
  CK_STAILQ_INSERT_TAIL (&job->end_acks, end_ack, entry);
  job->dirty = true;
}

/* Whether an event is about the task's current attempt. */
static bool
is_current_attempt (const struct job *job, const struct task *task,
                    uint64_t attempt)
{
  if (task->latest_attempt != 0)
    return task->latest_attempt == attempt;
  return attempt == sched_job_get_full_attempt (job, task);
}

/* Handles the reply that the worker's owner does not have the task that it was
   asked to stop. */
static void
handle_task_not_found (struct job *job, struct task *task, uint64_t attempt)
{
  if (!job->record.cancelled)
    return;
  if (task->state == TASK_RESERVED)
    sched_job_end_task (job, task, 'c');
  else if (task->state == TASK_RUNNING)
    {
      task->latest_attempt = attempt;
      sched_job_set_task_state (job, task, TASK_IN_DOUBT);
      sched_job_restart_search (job);
    }
}

static void
handle_task_end (struct rst_scheduler *sched, struct job *job, uint64_t link,
                 const struct rst_message *message)
{
  const struct rst_task_event *event = &message->task_event;
  struct task *task = &job->tasks[event->index];

  (void)sched;
  /* Which attempt is the latest is known once all schedulers have replied;
     until then the end is not acknowledged and is reported again. */
  if (task->state == TASK_IN_DOUBT)
    return;
  if (task->state != TASK_ENDED
      && is_current_attempt (job, task, event->attempt))
    {
      if (event->result == RST_TASK_NOT_RUN)
        handle_task_not_found (job, task, event->attempt);
      else
        apply_result (job, task, event->result);
    }
  if (event->result != RST_TASK_NOT_RUN)
    queue_end_ack (job, link, event);
}

static void
handle_task_started (struct job *job, const struct rst_message *message)
{
  const struct rst_task_event *event = &message->task_event;
  struct task *task = &job->tasks[event->index];

  if (event->attempt != sched_job_get_full_attempt (job, task)
      || task->state != TASK_START_REQUESTED)
    return;
  switch (event->result)
    {
    case RST_TASK_RUNNING:
      job->waiting_for[0] = '\0';
      sched_job_set_task_state (job, task, TASK_RUNNING);
      break;
    case RST_TASK_RESERVED:
      sched_job_set_task_state (job, task, TASK_RESERVED);
      break;
    case RST_TASK_NOT_RUN:
      /* The job has a newer owner, which starts its tasks. */
      if (strcmp (event->reason, "outdated") == 0)
        break;
      sched_job_pause_starts (
          job, event->reason[0] != '\0' ? event->reason : "no-capacity",
          START_RETRY_PAUSE_MS);
      /* A gang keeps its other reservations until GANG_RESERVE_TIMEOUT_MS have
         passed. */
      restart_task (job, task, 0);
      break;
    default:
      /* The task may be at this scheduler or, if its worker has changed
         owners, at another. */
      task->latest_attempt = event->attempt;
      sched_job_set_task_state (job, task, TASK_IN_DOUBT);
      sched_job_restart_search (job);
      break;
    }
}

/* Remembers that a member has told all it knows, and the revision of the
   ownership record that its reply is based on. */
static void
record_search_reply (struct job *job, const char *incarnation,
                     uint64_t revision)
{
  uint64_t *stored_revision = g_new (uint64_t, 1);

  *stored_revision = revision;
  g_hash_table_insert (job->search_replies, g_strdup (incarnation),
                       stored_revision);
}

static void
handle_task_found (struct rst_scheduler *sched, struct job *job, uint64_t link,
                   const struct rst_message *message)
{
  const struct rst_task_event *event = &message->task_event;
  const struct peer *peer = sched_find_peer_by_link (sched, link);
  const char *incarnation = link == SCHED_LINK_SELF ? sched->incarnation
                            : peer != NULL          ? peer->incarnation
                                                    : "";
  struct task *task;

  if (event->index == UINT64_MAX)
    {
      if (event->result == RST_TASK_DONE && job->search_replies != NULL
          && message->id == job->search_id)
        record_search_reply (job, incarnation, event->attempt);
      return;
    }
  /* The latest attempt counts; earlier ones have ended. */
  task = &job->tasks[event->index];
  if (task->state != TASK_IN_DOUBT || event->attempt < task->latest_attempt)
    return;
  g_strlcpy (task->worker_owner, incarnation, RST_NAME_SIZE);
  task->latest_attempt = event->attempt;
  task->found = true;
}

struct job *
sched_job_lookup (struct rst_scheduler *sched, const char *name)
{
  return g_hash_table_lookup (sched->jobs, name);
}

void
sched_job_handle_task_event (struct rst_scheduler *sched, uint64_t link,
                             const struct rst_message *message)
{
  const struct rst_task_event *event = &message->task_event;
  struct job *job = sched_job_lookup (sched, event->job);

  if (job == NULL
      || (event->index != UINT64_MAX
          && event->index >= (uint64_t)job->record.spec.tasks))
    return;
  if (event->index == UINT64_MAX && message->type != RST_TASK_FOUND)
    return;
  if (message->type == RST_TASK_STARTED)
    handle_task_started (job, message);
  else if (message->type == RST_TASK_END)
    handle_task_end (sched, job, link, message);
  else
    handle_task_found (sched, job, link, message);
}

/* The worker's owner may have lost the request or its link.  A repeated
   request is safe, as it starts each id at most once. */
void
sched_job_resend_starts (struct job *job)
{
  struct rst_scheduler *sched = job->sched;
  rst_ms now = sched_now (sched);
  bool hold_only
      = job->record.spec.policy == RST_POLICY_GANG && !job->gang_started;

  if (job->start_requested_count == 0 || now < job->resend_next_at)
    return;
  job->resend_next_at = now + START_RESEND_MS / 3;
  for (int64_t i = 0; i < job->record.spec.tasks; i++)
    {
      struct task *task = &job->tasks[i];
      uint64_t link;

      if (task->state != TASK_START_REQUESTED
          || now - task->request_sent_at < START_RESEND_MS)
        continue;
      link = sched_find_link (sched, task->worker_owner);
      if (link != 0)
        sched_job_send_start (job, i, link, hold_only);
      else if (!sched_is_member (sched, task->worker_owner))
        {
          /* The owner's tenure has ended; the worker's new owner knows whether
             the task runs. */
          sched_job_set_task_state (job, task, TASK_IN_DOUBT);
          task->latest_attempt = sched_job_get_full_attempt (job, task);
          sched_job_restart_search (job);
        }
    }
}

/* A task that was lost while its instance changed owners is reported by no
   scheduler, so all running tasks are searched for at intervals. */
void
sched_job_reconcile_running (struct job *job)
{
  rst_ms now = sched_now (job->sched);

  if (now < job->reconcile_next_at)
    return;
  job->reconcile_next_at
      = now + sched_add_jitter (job->sched, RECONCILE_INTERVAL_MS);
  if (job->running_count == 0 || job->in_doubt_count > 0)
    return;
  for (int64_t i = 0; i < job->record.spec.tasks; i++)
    {
      struct task *task = &job->tasks[i];

      if (task->state != TASK_RUNNING)
        continue;
      if (task->latest_attempt == 0)
        task->latest_attempt = sched_job_get_full_attempt (job, task);
      sched_job_set_task_state (job, task, TASK_IN_DOUBT);
    }
  sched_job_restart_search (job);
}

/* Running tasks whose worker's owner is gone are reported by the worker's new
   owner, to which stop requests must be sent. */
void
sched_job_check_worker_owners (struct job *job)
{
  struct rst_scheduler *sched = job->sched;

  for (int64_t i = 0; i < job->record.spec.tasks; i++)
    {
      struct task *task = &job->tasks[i];

      if (task->state != TASK_RUNNING
          || sched_is_member (sched, task->worker_owner))
        continue;
      task->latest_attempt = task->latest_attempt != 0
                                 ? task->latest_attempt
                                 : sched_job_get_full_attempt (job, task);
      sched_job_set_task_state (job, task, TASK_IN_DOUBT);
      sched_job_restart_search (job);
    }
}
