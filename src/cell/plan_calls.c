/* Callers' requests: submissions, reads and cancels of jobs. */
#include <inttypes.h>
#include <string.h>

#include "cell/admission.h"
#include "cell/job_tables.h"
#include "cell/planner_private.h"

/** When the caller of a submission that may be outdated should retry, in
    seconds.  Any time will do: the next one is certainly sent later. */
#define OUTDATED_RETRY_S 1

/** When the caller of a job that an isolated planner rejects should retry, in
    seconds. */
#define ISOLATED_RETRY_S 1

/** By how much the Unix clocks of two planners may differ, in milliseconds. */
#define UNIX_CLOCK_DIFFERENCE_MS 100

/** Size of a customer's token bucket, in seconds of its share. */
#define SHARE_BURST_S 2.0

static void
send_reply (struct rst_planner *planner, const struct rst_planner_call *call,
            enum rst_outcome outcome)
{
  struct rst_reply reply = { .outcome = outcome };

  planner->ops.reply (planner->ops.userdata, call->link, call->number, &reply);
}

static void
reply_after_commit (struct job *job, const struct rst_planner_call *call)
{
  struct pending_reply pending_reply
      = { call->link, call->number, call->operation };

  g_array_append_val (job->pending_replies, pending_reply);
}

void
rst_plan_reply_committed (struct rst_planner *planner, struct job *job)
{
  struct rst_reply reply
      = { .outcome = job->is_note ? RST_OUTCOME_NO_JOB : RST_OUTCOME_OK };

  for (guint i = job->pending_replies->len; i-- > 0;)
    {
      struct pending_reply pending_reply
          = g_array_index (job->pending_replies, struct pending_reply, i);

      if (pending_reply.operation == RST_OPERATION_CANCEL
          && job->committed_state != RST_JOB_CANCELLED
          && job->committed_state != RST_JOB_COMPLETED
          && job->committed_state != RST_JOB_FAILED)
        continue;
      planner->ops.reply (planner->ops.userdata, pending_reply.link,
                          pending_reply.call, &reply);
      g_array_remove_index_fast (job->pending_replies, i);
    }
}

/* Seconds after which the caller of a job that was never sent to the store
   should retry; 0 if the job may wait.  The callers of an isolated planner are
   served by entry instances of other zones, so theirs need not wait out the
   cut. */
static int
get_retry_s (const struct rst_planner *planner, const char *id)
{
  if (planner->isolated)
    return ISOLATED_RETRY_S;
  return rst_admission_compute_retry_s (planner->now - planner->confirmed_at,
                                        planner->store_refusals,
                                        g_str_hash (id));
}

static void
log_rejected (struct rst_planner *planner, const char *id, int retry_s)
{
  char age[24];
  char refusals[16];
  char retry[16];

  planner->stats.rejected++;
  planner->stats.rejected_isolated += planner->isolated ? 1 : 0;
  if (planner->store_refusals > 0)
    planner->stats.rejected_refused++;
  g_snprintf (refusals, sizeof refusals, "%d", planner->store_refusals);
  g_snprintf (age, sizeof age, "%" PRId64,
              (int64_t)(planner->now - planner->confirmed_at));
  g_snprintf (retry, sizeof retry, "%d", retry_s);
  rst_info (RST_PLAN_LOG,
            planner->isolated
                ? "Job rejected; this planner is isolated with its zone."
                : "Job rejected; the store does not answer.",
            "job", id, "store_age_ms", age, "refusals", refusals, "retry_s",
            retry);
}

static void
reply_rejected (struct rst_planner *planner, uint64_t link, uint64_t call,
                int retry_s)
{
  struct rst_reply reply
      = { .outcome = RST_OUTCOME_REJECTED, .retry_s = retry_s };

  planner->ops.reply (planner->ops.userdata, link, call, &reply);
}

/* Remembers when a job that is rejected was first submitted. */
static void
note_attempt (struct rst_planner *planner, const struct job *job)
{
  rst_attempts_note (planner->attempts, job->id,
                     planner->now - (planner->unix_ms - job->first_attempt_ms),
                     planner->now);
}

static void
reject_pending_replies (struct rst_planner *planner, const struct job *job,
                        int retry_s)
{
  for (guint i = 0; i < job->pending_replies->len; i++)
    {
      struct pending_reply pending_reply
          = g_array_index (job->pending_replies, struct pending_reply, i);

      reply_rejected (planner, pending_reply.link, pending_reply.call,
                      retry_s);
    }
}

/* Rejects a job that no commit contains and forgets it. */
static void
reject_job (struct rst_planner *planner, struct job *job, int retry_s)
{
  log_rejected (planner, job->id, retry_s);
  note_attempt (planner, job);
  reject_pending_replies (planner, job, retry_s);
  if (job->desc->repeats > 0)
    g_ptr_array_remove_fast (planner->repeating_jobs, job);
  else
    job->queue->pending--;
  for (guint k = 0; k < job->occurrences->len; k++)
    {
      struct occurrence *occurrence = g_ptr_array_index (job->occurrences, k);

      for (int i = 0; i < job->desc->step_count; i++)
        g_ptr_array_remove_fast (planner->waiting_steps,
                                 &occurrence->steps[i]);
    }
  g_ptr_array_remove (planner->dirty_jobs, job);
  g_hash_table_remove (planner->jobs, job->id);
}

void
rst_plan_reject_unsent_jobs (struct rst_planner *planner)
{
  if (RST_CELL_FAULT (RST_CELL_FAULT_REJECT_COMMITTING))
    for (guint i = 0; i < planner->committing_jobs->len; i++)
      {
        struct job *job = g_ptr_array_index (planner->committing_jobs, i);

        if (!job->stored && get_retry_s (planner, job->id) > 0)
          reject_pending_replies (planner, job, 1);
      }
  for (guint i = planner->dirty_jobs->len; i-- > 0;)
    {
      struct job *job = g_ptr_array_index (planner->dirty_jobs, i);
      int retry_s = get_retry_s (planner, job->id);

      if (retry_s == 0)
        return;
      if (!job->stored && job->last_record_segment == 0
          && !rst_plan_job_has_ended (job))
        reject_job (planner, job, retry_s);
    }
}

/* A token bucket: a customer's share is as many jobs a second as its weight.
   Jobs over the share are accepted but placed after others. */
static bool
is_over_share (struct rst_planner *planner, struct customer *customer)
{
  double weight = (double)MAX (customer->settings.weight, 1);
  double elapsed_s
      = (double)(planner->now - customer->share_tokens_at) / 1000.0;

  if (customer->share_tokens_at == 0)
    customer->share_tokens = weight * SHARE_BURST_S;
  else
    customer->share_tokens = MIN (customer->share_tokens + elapsed_s * weight,
                                  weight * SHARE_BURST_S);
  customer->share_tokens_at = planner->now;
  if (customer->share_tokens < 1.0)
    return true;
  customer->share_tokens -= 1.0;
  return false;
}

static bool
is_job_id (const char *text)
{
  return strlen (text) == RST_JOB_ID_SIZE - 1
         && strspn (text, "0123456789abcdefABCDEF") == RST_JOB_ID_SIZE - 1;
}

/* Replies to a submission of a job that exists. */
static void
reply_accepted (struct rst_planner *planner,
                const struct rst_planner_call *call, struct job *job)
{
  if (job->stored)
    send_reply (planner, call, RST_OUTCOME_OK);
  else
    reply_after_commit (job, call);
}

/* Rejects a new job that would end too late.  It is in no table but that of
   the jobs yet. */
static bool
reject_overloaded (struct rst_planner *planner,
                   const struct rst_planner_call *call, struct job *job)
{
  struct rst_reply reply = { .outcome = RST_OUTCOME_OVERLOADED };

  reply.retry_s = rst_plan_admit (planner, job);
  if (reply.retry_s == 0)
    return false;
  note_attempt (planner, job);
  if (!job->over_share)
    job->customer->share_tokens += 1.0;
  job->queue->pending--;
  g_hash_table_remove (planner->jobs, job->id);
  planner->ops.reply (planner->ops.userdata, call->link, call->number, &reply);
  return true;
}

/* Whether a submission was sent before its id was rejected.  Another one was
   answered then that the job never runs, and this one waited on its way. */
static bool
precedes_rejection (const struct rst_planner *planner, const char *id,
                    rst_ms sent_at)
{
  return sent_at != 0
         && rst_attempts_was_rejected (planner->attempts, id, sent_at);
}

/* Notes that an id is rejected, so that a copy of the submission which is
   still on its way is not accepted later. */
static void
note_rejection (struct rst_planner *planner, const char *id)
{
  rst_attempts_note (planner->attempts, id, planner->now, planner->now);
}

/* Returns after how many seconds the caller of a new job should retry, or 0 if
   the job may be created.  @note is NULL if its id was not cancelled. */
static int
find_rejection (struct rst_planner *planner,
                const struct rst_planner_call *call, const char *id,
                const struct job *note)
{
  int retry_s = get_retry_s (planner, id);

  if (retry_s > 0)
    {
      log_rejected (planner, id, retry_s);
      note_rejection (planner, id);
      return retry_s;
    }
  /* Earlier copies are outdated as well. */
  if (rst_plan_submission_is_outdated (planner, id, note, call->sent_at)
      || precedes_rejection (planner, id, call->sent_at))
    return OUTDATED_RETRY_S;
  if (rst_plan_has_room_for (planner, id, call->desc))
    return 0;
  note_rejection (planner, id);
  return RST_JOB_TABLES_RETRY_S;
}

static void
submit_job (struct rst_planner *planner, const struct rst_planner_call *call,
            const struct rst_queue *route, struct customer *customer,
            const char *id)
{
  struct job *job = g_hash_table_lookup (planner->jobs, id);
  int retry_s = job == NULL || job->is_note
                    ? find_rejection (planner, call, id, job)
                    : 0;

  if (retry_s > 0)
    {
      rst_jobdesc_destroy (call->desc);
      reply_rejected (planner, call->link, call->number, retry_s);
      return;
    }
  if (job != NULL && job->is_note)
    {
      rst_plan_note_free (planner, job);
      job = NULL;
    }
  if (job != NULL)
    {
      rst_jobdesc_destroy (call->desc);
      reply_accepted (planner, call, job);
      return;
    }
  job = rst_plan_job_new (planner, id,
                          rst_plan_get_queue (planner, route->name), customer,
                          call->desc);
  rst_plan_set_first_attempt (
      job, planner->unix_ms
               - (planner->now
                  - rst_attempts_find (planner->attempts, id, planner->now)));
  job->over_share = is_over_share (planner, customer);
  if (reject_overloaded (planner, call, job))
    return;
  if (RST_CELL_FAULT (RST_CELL_FAULT_EARLY_ACCEPT))
    send_reply (planner, call, RST_OUTCOME_OK);
  else
    reply_after_commit (job, call);
  rst_plan_mark_dirty (planner, job);
  rst_plan_begin_job (planner, job);
  planner->stats.accepted++;
  planner->stats.returned += job->first_attempt_ms < job->submitted_ms ? 1 : 0;
  rst_info (RST_PLAN_LOG, "Job submitted.", "job", id, "queue", route->name,
            "customer", customer->settings.name);
}

/* Replies to a call about a job that this planner does not know.  Its
   successor, if there is one, may have accepted the job, and a caller takes
   "no such job" for the end of it. */
static void
reply_no_job (struct rst_planner *planner, const struct rst_planner_call *call,
              const char *id)
{
  if (planner->isolated || rst_plan_may_have_successor (planner))
    reply_rejected (planner, call->link, call->number,
                    MAX (get_retry_s (planner, id), 1));
  else
    send_reply (planner, call, RST_OUTCOME_NO_JOB);
}

static void
reply_with_state (struct rst_planner *planner,
                  const struct rst_planner_call *call,
                  const struct queue *queue, const char *id)
{
  struct job *job = g_hash_table_lookup (planner->jobs, id);
  struct rst_reply reply = { .outcome = RST_OUTCOME_STATE };

  if (id[0] != '\0' && (job == NULL || job->is_note))
    {
      reply_no_job (planner, call, id);
      return;
    }
  if (id[0] == '\0')
    {
      reply.outcome = RST_OUTCOME_COUNT;
      reply.count = queue->pending;
    }
  else if (rst_plan_job_has_ended (job) && job->committed_state != job->state)
    reply.state = RST_JOB_RUNNING;
  else if (rst_plan_job_has_ended (job))
    reply.state = job->state;
  else
    reply.state = job->has_started ? RST_JOB_RUNNING : RST_JOB_QUEUED;
  planner->ops.reply (planner->ops.userdata, call->link, call->number, &reply);
}

/* The answer that there is no such job has to hold for a submission that is
   still on its way, also after the planner has been replaced. */
static void
cancel_unknown_job (struct rst_planner *planner,
                    const struct rst_planner_call *call, struct queue *queue,
                    struct customer *customer, const char *id)
{
  struct job *note = g_hash_table_lookup (planner->jobs, id);
  int retry_s = get_retry_s (planner, id);

  if (note == NULL && retry_s == 0 && !rst_plan_may_have_successor (planner))
    note = rst_plan_note_cancel (planner, id, queue, customer);
  if (note == NULL)
    {
      reply_rejected (planner, call->link, call->number, MAX (retry_s, 1));
      return;
    }
  note->ended_at = planner->now;
  if (note->stored)
    reply_no_job (planner, call, id);
  else
    reply_after_commit (note, call);
}

static void
cancel_job (struct rst_planner *planner, const struct rst_planner_call *call,
            struct queue *queue, struct customer *customer, const char *id)
{
  struct job *job = g_hash_table_lookup (planner->jobs, id);

  if (job == NULL || job->is_note)
    {
      cancel_unknown_job (planner, call, queue, customer, id);
      return;
    }
  rst_plan_end_job (planner, job, RST_JOB_CANCELLED);
  if (job->committed_state == job->state)
    send_reply (planner, call, RST_OUTCOME_OK);
  else
    reply_after_commit (job, call);
}

/* Finds the customer that a key belongs to.  Requests without a known key to a
   public queue belong to a customer without a name; elsewhere NULL is
   returned. */
static struct customer *
find_customer (struct rst_planner *planner, const struct rst_queue *route,
               const char *key)
{
  const struct rst_customer *customer
      = g_hash_table_lookup (planner->config->keys, key);

  if (customer != NULL)
    return rst_plan_get_customer (planner, customer->name);
  return route->is_public ? rst_plan_get_customer (planner, "") : NULL;
}

/* Finds the job that a submission may have created.  If it was sent before the
   job was accepted, its key and queue were valid then; a planner that was
   replaced since may have accepted it, and its caller must not be told that
   the job was rejected. */
static struct job *
find_created_job (const struct rst_planner *planner,
                  const struct rst_planner_call *call)
{
  const char *slash = strrchr (call->path, '/');
  struct job *job
      = slash != NULL ? g_hash_table_lookup (planner->jobs, slash + 1) : NULL;
  int64_t age_ms = planner->now - call->sent_at;

  if (call->operation != RST_OPERATION_SUBMIT || call->sent_at == 0
      || job == NULL || job->is_note
      || job->submitted_ms + UNIX_CLOCK_DIFFERENCE_MS
             < planner->unix_ms - age_ms)
    return NULL;
  return job;
}

void
rst_planner_receive_call (struct rst_planner *planner,
                          const struct rst_planner_call *call)
{
  const char *id = "";
  const struct rst_queue *route
      = rst_cellconfig_route (planner->config, call->host, call->path, &id);
  struct customer *customer
      = route != NULL ? find_customer (planner, route, call->key) : NULL;
  struct job *created_job
      = customer == NULL ? find_created_job (planner, call) : NULL;

  planner->pass_wanted = true;
  if (created_job != NULL)
    reply_accepted (planner, call, created_job);
  else if (route == NULL)
    send_reply (planner, call, RST_OUTCOME_NO_QUEUE);
  else if (customer == NULL)
    send_reply (planner, call, RST_OUTCOME_INVALID_KEY);
  else if (id[0] != '\0' && !is_job_id (id))
    send_reply (planner, call, RST_OUTCOME_MALFORMED);
  else if (call->operation == RST_OPERATION_READ)
    reply_with_state (planner, call, rst_plan_get_queue (planner, route->name),
                      id);
  else if (call->operation == RST_OPERATION_CANCEL)
    cancel_job (planner, call, rst_plan_get_queue (planner, route->name),
                customer, id);
  else if (call->desc != NULL && id[0] != '\0')
    {
      submit_job (planner, call, route, customer, id);
      return;
    }
  else
    send_reply (planner, call, RST_OUTCOME_MALFORMED);
  rst_jobdesc_destroy (call->desc);
}
