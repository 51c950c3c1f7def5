/**
 * DOC: sched_query - queries on runners
 *
 * A query waits in its team's queue until an owned runner has a free slot and
 * the team's part of its upper limit allows a further run.  Each query ends
 * exactly once: answered, not run, or unknown.
 */
#include "coordination/sched_query_private.h"

#include <string.h>

#define LOG_DOMAIN "query"

/** Thousandths of a retry that each query adds to the retry budget. */
#define RETRY_PER_QUERY_PERMILLE 200

/** Maximum balance of the retry budget, in retries. */
#define RETRY_BALANCE_MAX 100

static void
record_free (gpointer data)
{
  struct request_record *record = data;

  rst_message_clear (&record->answer);
  g_free (record);
}

void
sched_query_init (struct rst_scheduler *sched)
{
  sched->request_records
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, record_free);
  sched->query_forwards
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, NULL);
  sched->recent_messages
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  rst_retry_budget_init (&sched->retry_budget, RETRY_PER_QUERY_PERMILLE,
                         RETRY_BALANCE_MAX);
}

void
sched_query_add_waiter (struct query *query, uint64_t link, uint64_t id)
{
  struct waiter *waiter = g_new0 (struct waiter, 1);

  waiter->link = link;
  waiter->id = id;
  CK_LIST_INSERT_HEAD (&query->waiters, waiter, entry);
}

static void
query_free (struct query *query)
{
  struct waiter *waiter;

  while ((waiter = CK_LIST_FIRST (&query->waiters)) != NULL)
    {
      CK_LIST_REMOVE (waiter, entry);
      g_free (waiter);
    }
  rst_blob_free (&query->body);
  g_free (query);
}

static void
count_outcome (struct rst_scheduler *sched, uint64_t outcome)
{
  if (outcome == RST_REQUEST_ANSWERED)
    sched->counters.answered++;
  else if (outcome == RST_REQUEST_NOT_RUN)
    sched->counters.not_run++;
  else
    sched->counters.unknown++;
}

static void
log_outcome (const struct query *query, const struct rst_answer *answer)
{
  char epoch[24];

  if (!rst_log_enabled (G_LOG_LEVEL_INFO))
    return;
  g_snprintf (epoch, sizeof epoch, "%" G_GUINT64_FORMAT, answer->epoch);
  rst_info (LOG_DOMAIN, "Query ended.", "request", query->request_id, "team",
            query->team->name, "zone", query->sched->config.zone, "instance",
            answer->instance, "epoch", epoch, "outcome",
            rst_request_outcome_name (answer->outcome), "reason",
            answer->reason);
}

/* Stores how a request with the caller's id ended, as the reply to repeats of
   it.  A request that did not run is forgotten, so a repeat may run. */
static void
store_outcome (struct query *query, const struct rst_message *message)
{
  struct rst_scheduler *sched = query->sched;
  struct request_record *record;

  if (!query->keyed)
    return;
  record = g_hash_table_lookup (sched->request_records, query->record_key);
  if (record == NULL || record->running_query != query)
    return;
  if (message->answer.outcome == RST_REQUEST_NOT_RUN)
    {
      g_hash_table_remove (sched->request_records, query->record_key);
      return;
    }
  record->running_query = NULL;
  record->expires_at = sched_now (sched) + SCHED_RECORD_TTL_MS;
  rst_message_copy (message, &record->answer);
}

void
sched_query_end (struct query *query, const struct rst_answer *answer)
{
  struct rst_scheduler *sched = query->sched;
  struct rst_message message = { 0 };
  struct waiter *waiter;

  message.type = RST_ANSWER;
  message.answer = *answer;
  count_outcome (sched, answer->outcome);
  log_outcome (query, answer);
  store_outcome (query, &message);
  CK_LIST_FOREACH (waiter, &query->waiters, entry)
  {
    message.id = waiter->id;
    sched_send (sched, waiter->link, &message);
  }
  if (query->forward_id != 0)
    g_hash_table_remove (sched->query_forwards, &query->forward_id);
  sched->unfinished_queries--;
  query_free (query);
}

void
sched_query_reject (struct query *query, uint64_t status, const char *reason,
                    const char *detail)
{
  struct rst_answer answer = { 0 };

  /* An earlier attempt may have run. */
  answer.outcome = query->may_have_run ? RST_REQUEST_OUTCOME_UNKNOWN
                                       : RST_REQUEST_NOT_RUN;
  answer.status = query->may_have_run ? HTTP_STATUS_TIMEOUT : status;
  answer.reason = (char *)reason;
  answer.detail = (char *)detail;
  sched_query_end (query, &answer);
}

void
sched_query_end_unknown (struct query *query, uint64_t status,
                         const char *instance, uint64_t epoch,
                         const char *detail)
{
  struct rst_answer answer = { 0 };

  answer.outcome = RST_REQUEST_OUTCOME_UNKNOWN;
  answer.status = status;
  answer.reason = (char *)"no-answer";
  answer.detail = (char *)detail;
  answer.instance = (char *)instance;
  answer.epoch = epoch;
  sched_query_end (query, &answer);
}

void
sched_query_reject_message (struct rst_scheduler *sched, uint64_t link,
                            uint64_t id, uint64_t status, const char *reason,
                            const char *detail)
{
  struct rst_message message = { 0 };

  message.type = RST_ANSWER;
  message.id = id;
  message.answer.outcome = RST_REQUEST_NOT_RUN;
  message.answer.status = status;
  message.answer.reason = (char *)reason;
  message.answer.detail = (char *)detail;
  sched->counters.not_run++;
  sched_send (sched, link, &message);
}

void
sched_query_enqueue (struct query *query, bool at_head)
{
  struct team *team = query->team;
  struct query_queue *queue = query->urgent ? &team->urgent : &team->normal;

  if (at_head)
    CK_STAILQ_INSERT_HEAD (queue, query, entry);
  else
    CK_STAILQ_INSERT_TAIL (queue, query, entry);
  team->queued_count++;
  query->sched->queued_count++;
}

void
sched_query_dequeue_head (struct query_queue *queue)
{
  struct query *query = CK_STAILQ_FIRST (queue);

  CK_STAILQ_REMOVE_HEAD (queue, entry);
  query->team->queued_count--;
  query->sched->queued_count--;
}

static void
expire_queue (struct query_queue *queue, rst_ms now)
{
  struct query *query = CK_STAILQ_FIRST (queue);

  while (query != NULL)
    {
      struct query *next = CK_STAILQ_NEXT (query, entry);

      if (now >= query->deadline)
        {
          CK_STAILQ_REMOVE (queue, query, query, entry);
          query->team->queued_count--;
          query->sched->queued_count--;
          sched_query_reject (query, HTTP_STATUS_UNAVAILABLE, "deadline",
                              "no slot became free before the deadline");
        }
      query = next;
    }
}

static void
expire_queued_queries (struct rst_scheduler *sched)
{
  rst_ms now = sched_now (sched);
  GHashTableIter iterator;
  gpointer value;

  if (sched->queued_count == 0 || now < sched->expire_next_at)
    return;
  sched->expire_next_at = now + SCHED_EXPIRE_INTERVAL_MS;
  g_hash_table_iter_init (&iterator, sched->teams);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct team *team = value;

      expire_queue (&team->urgent, now);
      expire_queue (&team->normal, now);
    }
}

/* Frees the slots of runs in doubt that must have ended by now. */
static void
release_expired_runs (struct rst_scheduler *sched)
{
  rst_ms now = sched_now (sched);

  for (guint i = 0; i < sched->owned->len; i++)
    {
      struct instance *instance = g_ptr_array_index (sched->owned, i);
      struct run *run = CK_LIST_FIRST (&instance->runs);

      if (instance->info.kind != RST_RUNNER)
        continue;
      while (run != NULL)
        {
          struct run *next = CK_LIST_NEXT (run, entry);

          if (run->in_doubt_until != 0 && now >= run->in_doubt_until)
            sched_run_remove (run);
          run = next;
        }
    }
}

static gboolean
record_expired (gpointer key, gpointer value, gpointer userdata)
{
  (void)key;
  return ((struct request_record *)value)->expires_at
         <= *(const rst_ms *)userdata;
}

static gboolean
message_expired (gpointer key, gpointer value, gpointer userdata)
{
  (void)key;
  return *(const rst_ms *)value <= *(const rst_ms *)userdata;
}

/* Ends queries whose earlier homes did not all reply in time: one of them may
   have run the request. */
static void
expire_home_inquiries (struct rst_scheduler *sched)
{
  rst_ms now = sched_now (sched);
  GList *records;

  if (!sched->awaiting_home_replies)
    return;
  sched->awaiting_home_replies = false;
  records = g_hash_table_get_values (sched->request_records);
  for (GList *item = records; item != NULL; item = item->next)
    {
      struct query *query
          = ((struct request_record *)item->data)->running_query;

      if (query == NULL || query->pending_home_replies == 0)
        continue;
      if (now < query->home_reply_deadline)
        sched->awaiting_home_replies = true;
      else
        {
          query->pending_home_replies = 0;
          sched_query_end_in_doubt (query, "an earlier home did not answer");
        }
    }
  g_list_free (records);
}

void
sched_query_tick (struct rst_scheduler *sched)
{
  rst_ms now = sched_now (sched);

  if (sched->queued_count > 0 && !sched_may_start (sched))
    sched_query_flush_queues (sched);
  sched_query_offload_queues (sched);
  expire_queued_queries (sched);
  sched_query_expire_forwards (sched);
  expire_home_inquiries (sched);
  if (now >= sched->sweep_next_at)
    {
      sched->sweep_next_at = now + SCHED_SWEEP_INTERVAL_MS;
      release_expired_runs (sched);
      g_hash_table_foreach_remove (sched->request_records, record_expired,
                                   &now);
      g_hash_table_foreach_remove (sched->recent_messages, message_expired,
                                   &now);
    }
  sched_query_dispatch (sched);
}

bool
sched_query_is_busy (const struct rst_scheduler *sched)
{
  return sched->unfinished_queries > 0;
}

static void
clear_queue (struct query_queue *queue)
{
  struct query *query;

  while ((query = CK_STAILQ_FIRST (queue)) != NULL)
    {
      CK_STAILQ_REMOVE_HEAD (queue, entry);
      query_free (query);
    }
}

void
sched_query_clear (struct rst_scheduler *sched)
{
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, sched->teams);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct team *team = value;

      clear_queue (&team->urgent);
      clear_queue (&team->normal);
    }
  g_hash_table_iter_init (&iterator, sched->query_forwards);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    query_free (value);
  g_hash_table_destroy (sched->query_forwards);
  g_hash_table_destroy (sched->request_records);
  g_hash_table_destroy (sched->recent_messages);
}
