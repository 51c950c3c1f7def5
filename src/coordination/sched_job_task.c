/* Ends of a job's tasks and the answers of the schedulers that run them. */
#include "coordination/sched_job_private.h"

#include <stdlib.h>
#include <string.h>

#define LOG_PREFIX "job"

/** Failures after which a task is not started again. */
#define TASK_FAILURES_MAX 3

static int64_t *
counter_of (struct job *job, enum task_state state)
{
  switch (state)
    {
    case TASK_WAITING:
      return &job->waiting;
    case TASK_ASKED:
      return &job->asked;
    case TASK_HELD:
      return &job->held;
    case TASK_RUNNING:
      return &job->running;
    case TASK_LOOKED_FOR:
      return &job->looked_for;
    default:
      return NULL;
    }
}

void
sched_job_set_state (struct job *job, struct task *task, enum task_state state)
{
  int64_t *before = counter_of (job, task->state);
  int64_t *after = counter_of (job, state);

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
sched_job_end_task (struct job *job, struct task *task, char letter)
{
  sched_job_set_state (job, task, TASK_ENDED);
  job->record.ended[task - job->tasks] = letter;
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
  task->retry_at = sched_now (job->sched) + pause;
  task->attempt++;
  task->inherited = 0;
  sched_job_set_state (job, task, TASK_WAITING);
}

/* A task that may have run and whose result nobody knows. */
void
sched_job_lose_task (struct job *job, struct task *task)
{
  if (job->record.spec.run_once && !RST_FAULT (RST_FAULT_TASK_TWICE))
    sched_job_end_task (job, task, 'u');
  else
    restart_task (job, task, 0);
}

static void
fail_task (struct job *job, struct task *task)
{
  task->failures++;
  if (job->record.spec.policy == RST_POLICY_SERVICE)
    restart_task (job, task, 500 * MIN (task->failures, 20));
  else if (job->record.spec.run_once || task->failures >= TASK_FAILURES_MAX)
    sched_job_end_task (job, task, 'f');
  else
    restart_task (job, task, 500);
}

static void
apply_result (struct job *job, struct task *task, uint64_t result)
{
  switch (result)
    {
    case RST_TASK_DONE:
      if (job->record.spec.policy == RST_POLICY_SERVICE)
        restart_task (job, task, 500);
      else
        sched_job_end_task (job, task, 'd');
      break;
    case RST_TASK_FAILED:
      fail_task (job, task);
      break;
    case RST_TASK_STOPPED:
      if (job->record.cancelled)
        sched_job_end_task (job, task, 'c');
      else
        sched_job_lose_task (job, task);
      break;
    case RST_TASK_MOVED:
      restart_task (job, task, 0);
      break;
    case RST_TASK_NOT_RUN:
      restart_task (job, task, 0);
      break;
    default:
      sched_job_lose_task (job, task);
      break;
    }
}

uint64_t
sched_job_full_attempt (const struct job *job, const struct task *task)
{
  return job->record.generation * RST_ATTEMPTS_PER_GENERATION + task->attempt;
}

static void
queue_end (struct job *job, uint64_t link, const struct rst_task_event *event)
{
  struct end *end = g_new0 (struct end, 1);

  end->link = link;
  end->index = event->index;
  end->attempt = event->attempt;
  CK_STAILQ_INSERT_TAIL (&job->ends, end, entry);
  job->dirty = true;
}

/* Whether an event speaks of the attempt that counts. */
static bool
is_present (const struct job *job, const struct task *task, uint64_t attempt)
{
  if (task->inherited != 0)
    return task->inherited == attempt;
  return attempt == sched_job_full_attempt (job, task);
}

/* The holder that was asked to stop a task does not have it. */
static void
not_here (struct job *job, struct task *task, uint64_t attempt)
{
  if (!job->record.cancelled)
    return;
  if (task->state == TASK_HELD)
    sched_job_end_task (job, task, 'c');
  else if (task->state == TASK_RUNNING)
    {
      task->inherited = attempt;
      sched_job_set_state (job, task, TASK_LOOKED_FOR);
      sched_job_find_anew (job);
    }
}

static void
task_ended (struct rst_scheduler *sched, struct job *job, uint64_t link,
            const struct rst_message *message)
{
  const struct rst_task_event *event = &message->task_event;
  struct task *task = &job->tasks[event->index];

  (void)sched;
  /* Which attempt was the last is known once all schedulers have answered;
     until then its end is reported again. */
  if (task->state == TASK_LOOKED_FOR)
    return;
  if (task->state != TASK_ENDED && is_present (job, task, event->attempt))
    {
      if (event->result == RST_TASK_NOT_RUN)
        not_here (job, task, event->attempt);
      else
        apply_result (job, task, event->result);
    }
  if (event->result != RST_TASK_NOT_RUN)
    queue_end (job, link, event);
}

static void
task_started (struct job *job, const struct rst_message *message)
{
  const struct rst_task_event *event = &message->task_event;
  struct task *task = &job->tasks[event->index];

  if (event->attempt != sched_job_full_attempt (job, task)
      || task->state != TASK_ASKED)
    return;
  switch (event->result)
    {
    case RST_TASK_RUNNING:
      job->waiting_for[0] = '\0';
      sched_job_set_state (job, task, TASK_RUNNING);
      break;
    case RST_TASK_HELD:
      sched_job_set_state (job, task, TASK_HELD);
      break;
    case RST_TASK_NOT_RUN:
      if (strcmp (event->reason, "outdated") == 0)
        break;
      sched_job_block (
          job, event->reason[0] != '\0' ? event->reason : "no-capacity",
          BLOCKED_MS);
      /* A gang keeps its other places until the time to collect is over. */
      restart_task (job, task, 0);
      break;
    default:
      /* It may be at this holder or, if its instance has changed hands, at
         another. */
      task->inherited = event->attempt;
      sched_job_set_state (job, task, TASK_LOOKED_FOR);
      sched_job_find_anew (job);
      break;
    }
}

/* Keeps the revision of the ownership record that an answer rests on. */
static void
note_answer (struct job *job, const char *incarnation, uint64_t revision)
{
  uint64_t *kept = g_new (uint64_t, 1);

  *kept = revision;
  g_hash_table_insert (job->found_at, g_strdup (incarnation), kept);
}

static void
task_found (struct rst_scheduler *sched, struct job *job, uint64_t link,
            const struct rst_message *message)
{
  const struct rst_task_event *event = &message->task_event;
  const struct peer *peer = sched_peer_by_link (sched, link);
  const char *incarnation = link == SCHED_SELF ? sched->incarnation
                            : peer != NULL     ? peer->incarnation
                                               : "";
  struct task *task;

  if (event->index == UINT64_MAX)
    {
      if (event->result == RST_TASK_DONE && job->found_at != NULL
          && message->id == job->find_id)
        note_answer (job, incarnation, event->attempt);
      return;
    }
  /* The last attempt counts; an earlier one has ended. */
  task = &job->tasks[event->index];
  if (task->state != TASK_LOOKED_FOR || event->attempt < task->inherited)
    return;
  g_strlcpy (task->holder, incarnation, RST_NAME_SIZE);
  task->inherited = event->attempt;
  task->found = true;
}

struct job *
sched_job_named (struct rst_scheduler *sched, const char *name)
{
  return g_hash_table_lookup (sched->jobs, name);
}

void
sched_job_task_event (struct rst_scheduler *sched, uint64_t link,
                      const struct rst_message *message)
{
  const struct rst_task_event *event = &message->task_event;
  struct job *job = sched_job_named (sched, event->job);

  if (job == NULL
      || (event->index != UINT64_MAX
          && event->index >= (uint64_t)job->record.spec.tasks))
    return;
  if (event->index == UINT64_MAX && message->type != RST_TASK_FOUND)
    return;
  if (message->type == RST_TASK_STARTED)
    task_started (job, message);
  else if (message->type == RST_TASK_END)
    task_ended (sched, job, link, message);
  else
    task_found (sched, job, link, message);
}

/* Asks again for starts that were not answered: the holder may have lost the
   request or its link, and runs one id once. */
void
sched_job_ask_again (struct job *job)
{
  struct rst_scheduler *sched = job->sched;
  rst_ms now = sched_now (sched);
  bool hold = job->record.spec.policy == RST_POLICY_GANG && !job->gang_started;

  if (job->asked == 0 || now < job->ask_next_at)
    return;
  job->ask_next_at = now + START_AGAIN_MS / 3;
  for (int64_t i = 0; i < job->record.spec.tasks; i++)
    {
      struct task *task = &job->tasks[i];
      uint64_t link;

      if (task->state != TASK_ASKED || now - task->asked_at < START_AGAIN_MS)
        continue;
      link = sched_link_to (sched, task->holder);
      if (link != 0)
        sched_job_ask_start (job, i, link, hold);
      else if (!sched_is_member (sched, task->holder))
        {
          /* The holder's tenure has ended: its successor knows. */
          sched_job_set_state (job, task, TASK_LOOKED_FOR);
          task->inherited = sched_job_full_attempt (job, task);
          sched_job_find_anew (job);
        }
    }
}

/* Looks for all running tasks once in a while: one that was lost while its
   instance changed hands is reported by nobody. */
void
sched_job_reconcile (struct job *job)
{
  rst_ms now = sched_now (job->sched);

  if (now < job->reconcile_next_at)
    return;
  job->reconcile_next_at = now + sched_jitter (job->sched, RECONCILE_MS);
  if (job->running == 0 || job->looked_for > 0)
    return;
  for (int64_t i = 0; i < job->record.spec.tasks; i++)
    {
      struct task *task = &job->tasks[i];

      if (task->state != TASK_RUNNING)
        continue;
      if (task->inherited == 0)
        task->inherited = sched_job_full_attempt (job, task);
      sched_job_set_state (job, task, TASK_LOOKED_FOR);
    }
  sched_job_find_anew (job);
}

/* Running tasks whose holder is gone are reported by its successor, to whom
   stops must go. */
void
sched_job_check_holders (struct job *job)
{
  struct rst_scheduler *sched = job->sched;

  for (int64_t i = 0; i < job->record.spec.tasks; i++)
    {
      struct task *task = &job->tasks[i];

      if (task->state != TASK_RUNNING || sched_is_member (sched, task->holder))
        continue;
      task->inherited = task->inherited != 0
                            ? task->inherited
                            : sched_job_full_attempt (job, task);
      sched_job_set_state (job, task, TASK_LOOKED_FOR);
      sched_job_find_anew (job);
    }
}
