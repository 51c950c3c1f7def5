/* Writes of a job's record: one at a time, each on condition that the stored
   record has the revision last known. */
#include "coordination/sched_job_private.h"

#include <stdlib.h>
#include <string.h>

#define LOG_DOMAIN "job"

/** Least time between two writes that store ends of tasks.  Intents and
 * cancellations are written without delay. */
#define RECORD_WRITE_INTERVAL_MS 500

static void on_record_written (const struct rst_platform_reply *reply,
                               void *data);

char *
sched_job_build_key (const struct job *job)
{
  return g_strconcat (RST_KEY_JOBS, job->record.name, NULL);
}

static void
put_record (struct job *job)
{
  struct rst_scheduler *sched = job->sched;
  char *key = sched_job_build_key (job);

  sched->counters.store_writes++;
  sched->platform->store_put (sched->platform_data, key, job->written_text,
                              (int64_t)job->base_revision, 0,
                              on_record_written, job);
  g_free (key);
}

void
sched_job_write_record (struct job *job)
{
  struct end_ack *end_ack;

  job->store_busy = true;
  job->dirty = false;
  job->record.write_number++;
  job->base_revision = job->record.revision;
  job->intent_in_write = job->record.start_intent;
  CK_STAILQ_FOREACH (end_ack, &job->end_acks, entry)
  end_ack->in_write = true;
  g_free (job->written_text);
  job->written_text = rst_job_record_format (&job->record);
  put_record (job);
}

static void
send_end_acks (struct job *job)
{
  struct rst_scheduler *sched = job->sched;
  struct end_ack *end_ack;

  while ((end_ack = CK_STAILQ_FIRST (&job->end_acks)) != NULL
         && end_ack->in_write)
    {
      struct rst_message message = { 0 };

      message.type = RST_TASK_END_ACK;
      message.task_event.job = job->record.name;
      message.task_event.index = end_ack->index;
      message.task_event.attempt = end_ack->attempt;
      sched_send (sched, end_ack->link, &message);
      CK_STAILQ_REMOVE_HEAD (&job->end_acks, entry);
      g_free (end_ack);
    }
}

void
sched_job_log_event (const struct job *job, const char *message)
{
  rst_info (LOG_DOMAIN, message, "job", job->record.name, "zone",
            job->sched->config.zone, "state",
            rst_job_record_get_state (&job->record));
}

/* Searches, after a takeover, for the tasks that the previous owner may have
   started. */
static void
begin_search (struct job *job)
{
  for (int64_t i = 0; i < job->record.start_intent; i++)
    if (job->tasks[i].state == TASK_WAITING)
      {
        job->tasks[i].state = TASK_IN_DOUBT;
        job->waiting_count--;
        job->in_doubt_count++;
      }
  job->search_replies
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  job->search_next_at = 0;
}

static void
handle_stored_record (struct job *job, uint64_t revision)
{
  job->store_busy = false;
  job->record.revision = revision;
  job->stored_intent = job->intent_in_write;
  job->write_next_at = sched_now (job->sched) + RECORD_WRITE_INTERVAL_MS;
  if (job->claiming)
    {
      job->claiming = false;
      sched_job_log_event (job, "Job was taken over.");
      begin_search (job);
    }
  else if (!job->accepted)
    sched_job_log_event (job, "Job was accepted.");
  job->accepted = true;
  sched_job_reply_to_caller (job, 202);
  send_end_acks (job);
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

/* Handles a stored record of the job's name that the write under way did not
   store: the job was submitted twice, another job has the name, or another
   owner has taken the job over. */
static void
handle_record_conflict (struct job *job,
                        const struct rst_job_record *stored_record)
{
  bool same_spec
      = rst_job_spec_equal (&job->record.spec, &stored_record->spec);
  char *text;

  if (job->caller_awaits_reply && same_spec)
    {
      text = rst_job_record_describe (stored_record, 0, NULL);
      job->caller_awaits_reply = false;
      sched_job_send_reply (job->sched, job->caller_link,
                            job->caller_request_id, 200, text);
      free (text);
    }
  sched_job_reject_caller (job, 409, "not-run", "id-in-use",
                           "id: another job of this team has it");
  if (job->accepted)
    sched_job_log_event (
        job, "Job has another owner; it is no longer followed here.");
  sched_job_drop (job);
}

static void
on_write_verified (const struct rst_platform_reply *reply, void *data)
{
  struct job *job = data;
  struct rst_job_record stored_record = { 0 };
  bool found = reply->result == RST_PLATFORM_OK && reply->kv_count == 1;
  uint64_t revision = found ? reply->kvs[0].revision : 0;

  if (free_if_dropped (job))
    return;
  if (!found && reply->result != RST_PLATFORM_NOT_FOUND)
    {
      job->verify_at = sched_now (job->sched)
                       + sched_add_jitter (job->sched, SCHED_STORE_RETRY_MS);
      return;
    }
  if (revision == job->base_revision)
    {
      /* The write was not applied. */
      put_record (job);
      return;
    }
  if (!found
      || rst_job_record_parse (reply->kvs[0].value, revision, &stored_record)
             != RST_STATE_OK)
    {
      job->store_busy = false;
      sched_job_reject_caller (job, 504, "unknown", "no-answer",
                               "the job's record was lost");
      sched_job_drop (job);
      return;
    }
  if (strcmp (stored_record.owner, job->record.owner) == 0
      && stored_record.write_number == job->record.write_number)
    handle_stored_record (job, revision);
  else
    {
      job->store_busy = false;
      handle_record_conflict (job, &stored_record);
    }
  rst_job_record_clear (&stored_record);
}

void
sched_job_verify_write (struct job *job)
{
  struct rst_scheduler *sched = job->sched;
  char *key = sched_job_build_key (job);

  job->verify_at = 0;
  sched->counters.store_reads++;
  sched->platform->store_get (sched->platform_data, key, on_write_verified,
                              job);
  g_free (key);
}

static void
on_record_written (const struct rst_platform_reply *reply, void *data)
{
  struct job *job = data;

  if (free_if_dropped (job))
    return;
  if (reply->result == RST_PLATFORM_OK)
    handle_stored_record (job, reply->revision);
  else if (reply->result == RST_PLATFORM_NOT_SENT && !job->accepted
           && !job->claiming && !job->write_in_doubt)
    {
      job->store_busy = false;
      sched_job_reject_caller (
          job, 503, "not-run", "store-away",
          "the store cannot be reached; the job was not accepted");
      sched_job_drop (job);
    }
  else
    {
      job->write_in_doubt = true;
      sched_job_verify_write (job);
    }
}
