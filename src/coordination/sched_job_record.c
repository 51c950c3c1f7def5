/* Writing a job's record: one write at a time, each under the last revision.
 */
#include "coordination/sched_job_private.h"

#include <stdlib.h>
#include <string.h>

#define LOG_PREFIX "job"

/** Time between two writes of ends. */
#define ENDS_WRITE_MS 500

static void on_job_written (const struct rst_platform_reply *reply,
                            void *data);

char *
sched_job_key (const struct job *job)
{
  return g_strconcat (RST_KEY_JOBS, job->record.name, NULL);
}

static void
put_job (struct job *job)
{
  struct rst_scheduler *sched = job->sched;
  char *key = sched_job_key (job);

  sched->counters.store_writes++;
  sched->platform->store_put (sched->platform_data, key, job->text,
                              (int64_t)job->base, 0, on_job_written, job);
  g_free (key);
}

void
sched_job_write (struct job *job)
{
  struct end *end;

  job->busy = true;
  job->dirty = false;
  job->record.write++;
  job->base = job->record.revision;
  job->writing_intent = job->record.intent;
  CK_STAILQ_FOREACH (end, &job->ends, entry)
  end->written = true;
  g_free (job->text);
  job->text = rst_job_record_format (&job->record);
  put_job (job);
}

static void
confirm_ends (struct job *job)
{
  struct rst_scheduler *sched = job->sched;
  struct end *end;

  while ((end = CK_STAILQ_FIRST (&job->ends)) != NULL && end->written)
    {
      struct rst_message message = { 0 };

      message.type = RST_TASK_END_SEEN;
      message.task_event.job = job->record.name;
      message.task_event.index = end->index;
      message.task_event.attempt = end->attempt;
      sched_send (sched, end->link, &message);
      CK_STAILQ_REMOVE_HEAD (&job->ends, entry);
      g_free (end);
    }
}

void
sched_job_log (const struct job *job, const char *message)
{
  rst_info (LOG_PREFIX, message, "job", job->record.name, "zone",
            job->sched->config.zone, "state",
            rst_job_record_state (&job->record));
}

static void
begin_finding (struct job *job)
{
  for (int64_t i = 0; i < job->record.intent; i++)
    if (job->tasks[i].state == TASK_WAITING)
      {
        job->tasks[i].state = TASK_LOOKED_FOR;
        job->waiting--;
        job->looked_for++;
      }
  job->found_at
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  job->find_next_at = 0;
}

static void
job_stored (struct job *job, uint64_t revision)
{
  job->busy = false;
  job->record.revision = revision;
  job->confirmed_intent = job->writing_intent;
  job->write_next_at = sched_now (job->sched) + ENDS_WRITE_MS;
  if (job->claiming)
    {
      job->claiming = false;
      sched_job_log (job, "Job was taken over.");
      begin_finding (job);
    }
  else if (!job->accepted)
    sched_job_log (job, "Job was accepted.");
  job->accepted = true;
  sched_job_answer_caller (job, 202);
  confirm_ends (job);
}

static bool
free_if_dropped (struct job *job)
{
  if (!job->dropped)
    return false;
  g_ptr_array_remove_fast (job->sched->dropped_jobs, job);
  sched_job_free (job);
  return true;
}

/* Another record stands under this name: a repeat of the same submission, or
   another job; or another owner has taken the job over. */
static void
job_conflict (struct job *job, const struct rst_job_record *present)
{
  bool same = rst_job_spec_equal (&job->record.spec, &present->spec);
  char *text;

  if (job->caller_due && same)
    {
      text = rst_job_record_describe (present, 0, NULL);
      job->caller_due = false;
      sched_job_reply_body (job->sched, job->caller_link, job->caller_id, 200,
                            text);
      free (text);
    }
  sched_job_refuse_caller (job, 409, "not-run", "id-in-use",
                           "id: another job of this team has it");
  if (job->accepted)
    sched_job_log (job, "Job has another owner.");
  sched_job_drop (job);
}

static void
on_job_read (const struct rst_platform_reply *reply, void *data)
{
  struct job *job = data;
  struct rst_job_record present = { 0 };
  bool found = reply->result == RST_PLATFORM_OK && reply->kv_count == 1;
  uint64_t revision = found ? reply->kvs[0].revision : 0;

  if (free_if_dropped (job))
    return;
  if (!found && reply->result != RST_PLATFORM_NOT_FOUND)
    {
      job->read_at
          = sched_now (job->sched) + sched_jitter (job->sched, SCHED_RETRY_MS);
      return;
    }
  if (revision == job->base)
    {
      put_job (job);
      return;
    }
  if (!found
      || rst_job_record_parse (reply->kvs[0].value, revision, &present)
             != RST_STATE_OK)
    {
      job->busy = false;
      sched_job_refuse_caller (job, 504, "unknown", "no-answer",
                               "the job's record was lost");
      sched_job_drop (job);
      return;
    }
  if (strcmp (present.owner, job->record.owner) == 0
      && present.write == job->record.write)
    job_stored (job, revision);
  else
    {
      job->busy = false;
      job_conflict (job, &present);
    }
  rst_job_record_clear (&present);
}

void
sched_job_read (struct job *job)
{
  struct rst_scheduler *sched = job->sched;
  char *key = sched_job_key (job);

  job->read_at = 0;
  sched->counters.store_reads++;
  sched->platform->store_get (sched->platform_data, key, on_job_read, job);
  g_free (key);
}

static void
on_job_written (const struct rst_platform_reply *reply, void *data)
{
  struct job *job = data;

  if (free_if_dropped (job))
    return;
  if (reply->result == RST_PLATFORM_OK)
    job_stored (job, reply->revision);
  else if (reply->result == RST_PLATFORM_NOT_SENT && !job->accepted
           && !job->claiming && !job->unsure)
    {
      job->busy = false;
      sched_job_refuse_caller (
          job, 503, "not-run", "store-away",
          "the store cannot be reached; the job was not accepted");
      sched_job_drop (job);
    }
  else
    {
      job->unsure = true;
      sched_job_read (job);
    }
}
