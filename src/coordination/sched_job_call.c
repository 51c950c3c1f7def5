/* Callers' operations on jobs, replied to here or forwarded to the job's
   owner. */
#include "coordination/sched_job_private.h"

#include <stdlib.h>
#include <string.h>

#define LOG_DOMAIN "job"

/* Whether some worker is large enough for a task of the job; true while the
   instances are not known.  Otherwise @problem says what is missing. */
static bool
fits_some_worker (struct rst_scheduler *sched, const struct rst_job_spec *spec,
                  GString *problem)
{
  struct rst_instance_info largest = { 0 };
  GHashTableIter iterator;
  gpointer value;

  if (!sched->list_received)
    return true;
  g_hash_table_iter_init (&iterator, sched->instances);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct rst_instance_info *info = &((struct instance *)value)->info;

      if (info->kind != RST_WORKER)
        continue;
      if (info->cpu >= spec->cpu && info->memory_mb >= spec->memory_mb
          && info->accelerators >= spec->accelerators)
        return true;
      if (info->cpu > largest.cpu)
        largest = *info;
    }
  g_string_printf (
      problem,
      "%s: no instance is large enough; the largest, %s, has "
      "cpu_milli %" G_GINT64_FORMAT ", memory_mb %" G_GINT64_FORMAT
      ", accelerators %" G_GINT64_FORMAT,
      spec->cpu > largest.cpu               ? "cpu_milli"
      : spec->memory_mb > largest.memory_mb ? "memory_mb"
                                            : "accelerators",
      largest.name, largest.cpu, largest.memory_mb, largest.accelerators);
  return false;
}

static void
submit_job (struct rst_scheduler *sched, uint64_t link,
            const struct rst_message *message)
{
  const struct rst_job_call *call = &message->job_call;
  struct rst_job_record record = { 0 };
  GString *problems = g_string_new ("");
  char id[RST_NAME_SIZE];
  struct job *job;

  if (rst_job_spec_parse (call->body.data, id, &record.spec, problems)
      != RST_STATE_OK)
    {
      sched_job_send_rejection (sched, link, message->id, 400, "not-run",
                                "bad-request", g_strchomp (problems->str));
      goto done;
    }
  if (!fits_some_worker (sched, &record.spec, problems))
    {
      sched_job_send_rejection (sched, link, message->id, 400, "not-run",
                                "never-fits", problems->str);
      goto done;
    }
  if (!rst_scheduler_is_ready (sched))
    {
      sched_job_send_rejection (sched, link, message->id, 503, "not-run",
                                "not-ready",
                                "this scheduler takes no jobs now");
      goto done;
    }
  g_snprintf (record.name, sizeof record.name, "%s/%s", call->team, call->job);
  job = sched_job_lookup (sched, record.name);
  if (job != NULL)
    {
      if (!rst_job_spec_equal (&job->record.spec, &record.spec))
        sched_job_send_rejection (sched, link, message->id, 409, "not-run",
                                  "id-in-use",
                                  "id: another job of this team has it");
      else if (job->accepted)
        sched_job_send_state (job, link, message->id, 200);
      else
        sched_job_send_rejection (sched, link, message->id, 503, "unknown",
                                  "no-answer", "the job is being accepted");
      goto done;
    }
  g_strlcpy (record.owner, sched->incarnation, RST_NAME_SIZE);
  record.generation = 1;
  record.task_outcomes = g_strnfill ((gsize)record.spec.tasks, '.');
  if (record.spec.policy != RST_POLICY_GANG)
    record.start_intent = MIN (START_INTENT_BATCH_TASKS, record.spec.tasks);
  job = sched_job_create (sched, &record);
  job->caller_link = link;
  job->caller_request_id = message->id;
  job->caller_awaits_reply = true;
  sched_job_write_record (job);

done:
  g_string_free (problems, TRUE);
}

static void
job_read_free (struct job_read *read)
{
  rst_message_clear (&read->call);
  g_free (read);
}

/* Forwards a call to the job's owner, unless it was forwarded before. */
static void
forward_to_owner (struct job_read *read, const struct rst_job_record *record)
{
  struct rst_scheduler *sched = read->sched;
  uint64_t link = sched_find_link (sched, record->owner);
  struct rst_message call = read->call;

  call.id = sched_next_id (sched);
  call.job_call.hops++;
  if (link == 0 || link == SCHED_LINK_SELF || read->call.job_call.hops > 0
      || !sched_send (sched, link, &call))
    {
      sched_job_send_rejection (
          sched, read->caller_link, read->caller_request_id, 503, "not-run",
          "owner-away", "the job's owner cannot be reached");
      return;
    }
  sched_job_add_forward (sched, call.id, link, read->caller_link,
                         read->caller_request_id);
}

/* The stored record is the reply for a job that has ended and, except to a
   cancellation, for one whose owner cannot be reached.  Other calls are for
   the owner. */
static void
reply_from_record (struct job_read *read, const struct rst_job_record *record)
{
  struct rst_scheduler *sched = read->sched;
  char *text;

  if (!rst_job_record_is_finished (record)
      && (sched_find_link (sched, record->owner) != 0
          || read->call.job_call.operation == RST_JOB_CANCEL))
    {
      forward_to_owner (read, record);
      return;
    }
  text = rst_job_record_describe (record, 0, NULL);
  sched_job_send_reply (sched, read->caller_link, read->caller_request_id, 200,
                        text);
  free (text);
}

static void
on_record_read (const struct rst_platform_reply *reply, void *data)
{
  struct job_read *read = data;
  struct rst_job_record record;

  if (reply->result == RST_PLATFORM_NOT_FOUND)
    sched_job_send_rejection (read->sched, read->caller_link,
                              read->caller_request_id, 404, "not-run",
                              "unknown-job", "id: no such job of this team");
  else if (reply->result != RST_PLATFORM_OK || reply->kv_count != 1
           || rst_job_record_parse (reply->kvs[0].value,
                                    reply->kvs[0].revision, &record)
                  != RST_STATE_OK)
    sched_job_send_rejection (read->sched, read->caller_link,
                              read->caller_request_id, 503, "not-run",
                              "store-away", "the job's record cannot be read");
  else
    {
      reply_from_record (read, &record);
      rst_job_record_clear (&record);
    }
  job_read_free (read);
}

static struct job_read *
job_read_create (struct rst_scheduler *sched, uint64_t link,
                 const struct rst_message *message)
{
  struct job_read *read = g_new0 (struct job_read, 1);

  read->sched = sched;
  read->caller_link = link;
  read->caller_request_id = message->id;
  rst_message_copy (message, &read->call);
  return read;
}

static void
get_or_cancel_job (struct rst_scheduler *sched, uint64_t link,
                   const struct rst_message *message)
{
  const struct rst_job_call *call = &message->job_call;
  char *name = g_strdup_printf ("%s/%s", call->team, call->job);
  struct job *job = sched_job_lookup (sched, name);
  char *key;

  if (job != NULL && job->accepted)
    {
      if (call->operation == RST_JOB_CANCEL
          && !rst_job_record_is_finished (&job->record)
          && !job->record.cancelled)
        {
          job->record.cancelled = true;
          job->dirty = true;
          job->write_next_at = 0;
          sched_job_log_event (job, "Job is being cancelled.");
        }
      sched_job_send_state (job, link, message->id,
                            call->operation == RST_JOB_CANCEL ? 202 : 200);
    }
  else
    {
      key = g_strconcat (RST_KEY_JOBS, name, NULL);
      sched->counters.store_reads++;
      sched->platform->store_get (sched->platform_data, key, on_record_read,
                                  job_read_create (sched, link, message));
      g_free (key);
    }
  g_free (name);
}

static void
on_jobs_read (const struct rst_platform_reply *reply, void *data)
{
  struct job_read *read = data;
  const char *wanted_state = read->call.job_call.state;
  struct json_object *root;
  struct json_object *list;
  char *text;

  if (reply->result != RST_PLATFORM_OK)
    {
      sched_job_send_rejection (read->sched, read->caller_link,
                                read->caller_request_id, 503, "not-run",
                                "store-away", "the jobs cannot be read");
      job_read_free (read);
      return;
    }
  root = json_object_new_object ();
  list = json_object_new_array ();
  for (int i = 0; i < reply->kv_count; i++)
    {
      struct rst_job_record record;
      const char *state;

      if (rst_job_record_parse (reply->kvs[i].value, reply->kvs[i].revision,
                                &record)
          != RST_STATE_OK)
        continue;
      state = rst_job_record_get_state (&record);
      if (wanted_state[0] == '\0' || strcmp (wanted_state, state) == 0)
        {
          text = rst_job_record_describe (&record, 0, NULL);
          json_object_array_add (list, rst_json_parse (text));
          free (text);
        }
      rst_job_record_clear (&record);
    }
  json_object_object_add (root, "jobs", list);
  text = rst_json_format_and_release (root);
  sched_job_send_reply (read->sched, read->caller_link,
                        read->caller_request_id, 200, text);
  free (text);
  job_read_free (read);
}

static void
list_jobs (struct rst_scheduler *sched, uint64_t link,
           const struct rst_message *message)
{
  char *prefix = g_strconcat (RST_KEY_JOBS, message->job_call.team, "/", NULL);

  sched->counters.store_reads++;
  sched->platform->store_list (sched->platform_data, prefix, on_jobs_read,
                               job_read_create (sched, link, message));
  g_free (prefix);
}

void
sched_job_handle_call (struct rst_scheduler *sched, uint64_t link,
                       const struct rst_message *message)
{
  switch (message->job_call.operation)
    {
    case RST_JOB_SUBMIT:
      submit_job (sched, link, message);
      break;
    case RST_JOB_GET:
    case RST_JOB_CANCEL:
      get_or_cancel_job (sched, link, message);
      break;
    case RST_JOB_LIST:
      list_jobs (sched, link, message);
      break;
    default:
      sched_job_send_rejection (sched, link, message->id, 400, "not-run",
                                "bad-request", "operation: unknown");
      break;
    }
}

/**
 * struct job_forward - A call forwarded to a job's owner.
 * @id: Message id of the forwarded call; its key in the table.
 * @owner_link: Link to the owner, from which the reply must come.
 * @caller_link: Link to the caller.
 * @caller_request_id: Message id of the caller's request.
 * @sent_at: Not used.
 */
struct job_forward
{
  uint64_t id;
  uint64_t owner_link;
  uint64_t caller_link;
  uint64_t caller_request_id;
  rst_ms sent_at;
};

void
sched_job_add_forward (struct rst_scheduler *sched, uint64_t id,
                       uint64_t owner_link, uint64_t caller_link,
                       uint64_t caller_request_id)
{
  struct job_forward *forward = g_new0 (struct job_forward, 1);

  forward->id = id;
  forward->owner_link = owner_link;
  forward->caller_link = caller_link;
  forward->caller_request_id = caller_request_id;
  g_hash_table_insert (sched->job_forwards, &forward->id, forward);
}

void
sched_job_handle_reply (struct rst_scheduler *sched, uint64_t link,
                        const struct rst_message *message)
{
  const struct job_forward *forward
      = g_hash_table_lookup (sched->job_forwards, &message->id);
  struct rst_message reply = *message;

  if (forward == NULL || forward->owner_link != link)
    return;
  reply.id = forward->caller_request_id;
  sched_send (sched, forward->caller_link, &reply);
  g_hash_table_remove (sched->job_forwards, &message->id);
}

void
sched_job_add_status (struct rst_scheduler *sched, struct json_object *root)
{
  struct json_object *list = json_object_new_array ();
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, sched->jobs);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct job *job = value;
      struct json_object *item = json_object_new_object ();

      rst_json_set_text (item, "name", job->record.name);
      rst_json_set_text (item, "state",
                         rst_job_record_get_state (&job->record));
      rst_json_set_number (item, "tasks", job->record.spec.tasks);
      rst_json_set_number (item, "waiting", job->waiting_count);
      rst_json_set_number (item, "asked", job->start_requested_count);
      rst_json_set_number (item, "held", job->reserved_count);
      rst_json_set_number (item, "running", job->running_count);
      rst_json_set_number (item, "looked_for", job->in_doubt_count);
      rst_json_set_text (item, "waiting_for", job->waiting_for);
      json_object_array_add (list, item);
    }
  json_object_object_add (root, "jobs", list);
}
