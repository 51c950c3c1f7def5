/**
 * DOC: sched_job - jobs that this scheduler owns
 *
 * A job is accepted once its record is stored.  The record's intent names the
 * tasks that may have been started; it is stored before they are, with one
 * write for many tasks.  A later owner of the job asks all schedulers which of
 * these tasks run.
 */
#include "coordination/sched_job_private.h"

#include <stdlib.h>
#include <string.h>

#define LOG_DOMAIN "job"

/** How long a finished job is kept before its record is deleted. */
#define FINISHED_RETENTION_MS 600000

/** Time after which the caller is told that acceptance is unknown. */
#define ACCEPT_TIMEOUT_MS 5000

void
sched_job_send_reply (struct rst_scheduler *sched, uint64_t link, uint64_t id,
                      uint64_t status, const char *body)
{
  struct rst_message message = { 0 };

  message.type = RST_JOB_REPLY;
  message.id = id;
  message.job_reply.status = status;
  message.job_reply.body.data = (char *)body;
  message.job_reply.body.length = strlen (body);
  sched_send (sched, link, &message);
}

void
sched_job_send_rejection (struct rst_scheduler *sched, uint64_t link,
                          uint64_t id, uint64_t status, const char *outcome,
                          const char *reason, const char *detail)
{
  struct json_object *root = json_object_new_object ();
  char *text;

  rst_json_set_text (root, "outcome", outcome);
  rst_json_set_text (root, "reason", reason);
  rst_json_set_text (root, "detail", detail);
  text = rst_json_format_and_release (root);
  sched_job_send_reply (sched, link, id, status, text);
  free (text);
}

void
sched_job_send_state (struct job *job, uint64_t link, uint64_t id,
                      uint64_t status)
{
  char *text = rst_job_record_describe (
      &job->record, job->running_count,
      job->waiting_for[0] != '\0' ? job->waiting_for : NULL);

  sched_job_send_reply (job->sched, link, id, status, text);
  free (text);
}

void
sched_job_reply_to_caller (struct job *job, uint64_t status)
{
  if (!job->caller_awaits_reply)
    return;
  job->caller_awaits_reply = false;
  sched_job_send_state (job, job->caller_link, job->caller_request_id, status);
}

void
sched_job_reject_caller (struct job *job, uint64_t status, const char *outcome,
                         const char *reason, const char *detail)
{
  if (!job->caller_awaits_reply)
    return;
  job->caller_awaits_reply = false;
  sched_job_send_rejection (job->sched, job->caller_link,
                            job->caller_request_id, status, outcome, reason,
                            detail);
}

static void
free_end_acks (struct job *job)
{
  struct end_ack *end_ack;

  while ((end_ack = CK_STAILQ_FIRST (&job->end_acks)) != NULL)
    {
      CK_STAILQ_REMOVE_HEAD (&job->end_acks, entry);
      g_free (end_ack);
    }
}

void
sched_job_free (struct job *job)
{
  free_end_acks (job);
  rst_job_record_clear (&job->record);
  if (job->search_replies != NULL)
    g_hash_table_destroy (job->search_replies);
  g_free (job->tasks);
  g_free (job->written_text);
  g_free (job);
}

void
sched_job_drop (struct job *job)
{
  g_hash_table_steal (job->sched->jobs, job->record.name);
  if (job->store_busy)
    {
      job->dropped = true;
      g_ptr_array_add (job->sched->dropped_jobs, job);
    }
  else
    sched_job_free (job);
}

struct job *
sched_job_create (struct rst_scheduler *sched,
                  const struct rst_job_record *record)
{
  struct job *job = g_new0 (struct job, 1);

  job->sched = sched;
  job->record = *record;
  job->tasks = g_new0 (struct task, (gsize)record->spec.tasks);
  job->created_at = sched_now (sched);
  job->reconcile_next_at = job->created_at + RECONCILE_INTERVAL_MS;
  CK_STAILQ_INIT (&job->end_acks);
  for (int64_t i = 0; i < record->spec.tasks; i++)
    if (record->task_outcomes[i] != '.')
      job->tasks[i].state = TASK_ENDED;
    else
      job->waiting_count++;
  g_hash_table_insert (sched->jobs, job->record.name, job);
  return job;
}

static void
free_job_value (gpointer data)
{
  sched_job_free (data);
}

void
sched_job_init (struct rst_scheduler *sched)
{
  sched->jobs
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_job_value);
  sched->dropped_jobs = g_ptr_array_new ();
  sched->job_forwards
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
}

void
sched_job_clear (struct rst_scheduler *sched)
{
  g_hash_table_destroy (sched->jobs);
  for (guint i = 0; i < sched->dropped_jobs->len; i++)
    sched_job_free (g_ptr_array_index (sched->dropped_jobs, i));
  g_ptr_array_free (sched->dropped_jobs, TRUE);
  g_hash_table_destroy (sched->job_forwards);
}

void
sched_job_drop_all (struct rst_scheduler *sched)
{
  GList *jobs = g_hash_table_get_values (sched->jobs);

  for (GList *item = jobs; item != NULL; item = item->next)
    sched_job_drop (item->data);
  g_list_free (jobs);
  sched->jobs_list_next_at = 0;
}

/* Ends waiting tasks and sends stop requests for reserved and running ones,
   which are repeated every START_RESEND_MS.  The others are handled once their
   state is known. */
static void
cancel_tasks (struct job *job)
{
  for (int64_t i = 0; i < job->record.spec.tasks; i++)
    {
      struct task *task = &job->tasks[i];

      if (task->state == TASK_WAITING)
        sched_job_end_task (job, task, 'c');
      else if ((task->state == TASK_RUNNING || task->state == TASK_RESERVED)
               && sched_now (job->sched) - task->request_sent_at
                      > START_RESEND_MS)
        {
          task->request_sent_at = sched_now (job->sched);
          sched_job_send_stop (job, task, RST_TASK_STOPPED);
        }
    }
}

static void
delete_job (struct job *job)
{
  struct rst_scheduler *sched = job->sched;
  char *key = sched_job_build_key (job);

  sched->counters.store_writes++;
  sched->platform->store_delete (sched->platform_data, key,
                                 (int64_t)job->record.revision,
                                 sched_ignore_reply, sched);
  g_free (key);
  sched_job_drop (job);
}

static void
advance_accepted_job (struct job *job)
{
  rst_ms now = sched_now (job->sched);

  if (job->record.cancelled)
    {
      if (now >= job->cancel_next_at)
        {
          job->cancel_next_at = now + START_RESEND_MS / 3;
          cancel_tasks (job);
        }
    }
  else if (now >= job->starts_paused_until)
    {
      sched_job_extend_intent (job);
      sched_job_start_waiting (job);
    }
  if (job->record.spec.policy == RST_POLICY_GANG)
    {
      sched_job_gang_tick (job);
      sched_job_extend_intent (job);
    }
  sched_job_resend_starts (job);
  sched_job_reconcile_running (job);
  sched_job_search_tick (job);
}

static void
record_tick (struct job *job)
{
  rst_ms now = sched_now (job->sched);

  if (job->store_busy)
    {
      if (job->verify_at != 0 && now >= job->verify_at)
        sched_job_verify_write (job);
      return;
    }
  if (job->dirty && now >= job->write_next_at)
    sched_job_write_record (job);
}

bool
sched_job_advance (struct job *job)
{
  rst_ms now = sched_now (job->sched);
  bool finished = rst_job_record_is_finished (&job->record);

  if (!job->accepted)
    {
      if (now - job->created_at > ACCEPT_TIMEOUT_MS)
        sched_job_reject_caller (job, 504, "unknown", "no-answer",
                                 "the store has not confirmed the job");
      record_tick (job);
      return true;
    }
  if (!finished)
    advance_accepted_job (job);
  record_tick (job);
  if (finished && job->finished_at == 0)
    {
      job->finished_at = now;
      sched_job_log_event (job, "Job has ended.");
    }
  if (finished && !job->store_busy && !job->dirty
      && now - job->finished_at > FINISHED_RETENTION_MS)
    {
      delete_job (job);
      return false;
    }
  return true;
}
