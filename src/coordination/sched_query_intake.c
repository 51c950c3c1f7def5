/* Admission of queries: duplicates, request ids and full queues; and queues
   that other schedulers can serve. */
#include "coordination/sched_query_private.h"

#include <string.h>

#define LOG_DOMAIN "query"

/** How long the messages received are remembered to detect duplicates. */
#define DUPLICATE_WINDOW_MS 5000

#define HTTP_STATUS_CONFLICT 409

#define HTTP_STATUS_TOO_MANY 429

/* Handles a request whose id is known: replies as recorded or lets it wait for
   the query's end.  Returns false if the id is not known. */
static bool
reply_to_repeat (struct rst_scheduler *sched, uint64_t link,
                 const struct rst_message *message, const char *key)
{
  struct request_record *record
      = g_hash_table_lookup (sched->request_records, key);
  struct rst_message answer;

  if (record == NULL)
    return false;
  if (record->home_moved)
    {
      sched_query_reject_message (sched, link, message->id,
                                  HTTP_STATUS_UNAVAILABLE, "home-changed",
                                  "another scheduler keeps this id now");
      return true;
    }
  if (record->running_query != NULL)
    {
      sched_query_add_waiter (record->running_query, link, message->id);
      return true;
    }
  answer = record->answer;
  answer.id = message->id;
  sched_send (sched, link, &answer);
  return true;
}

/* Whether this message was received before; if not, remembers it. */
static bool
is_duplicate (struct rst_scheduler *sched, uint64_t link, uint64_t id)
{
  char key[48];
  rst_ms *expires_at;

  g_snprintf (key, sizeof key, "%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT,
              link, id);
  if (g_hash_table_contains (sched->recent_messages, key))
    return true;
  expires_at = g_new (rst_ms, 1);
  *expires_at = sched_now (sched) + DUPLICATE_WINDOW_MS;
  g_hash_table_insert (sched->recent_messages, g_strdup (key), expires_at);
  return false;
}

static struct query *
query_create (struct rst_scheduler *sched, uint64_t link,
              const struct rst_message *message)
{
  const struct rst_query *request = &message->query;
  rst_ms max_deadline_ms
      = rst_settings_get_cell (sched->settings)->max_deadline_ms;
  rst_ms now = sched_now (sched);
  struct query *query = g_new0 (struct query, 1);

  query->sched = sched;
  query->team = sched_team_get (sched, request->team);
  query->keyed = request->keyed;
  query->idempotent = request->idempotent;
  query->urgent = request->urgent;
  query->hops = request->hops;
  query->deadline
      = now
        + MIN ((rst_ms)MIN (request->deadline_ms, INT32_MAX), max_deadline_ms);
  g_strlcpy (query->request_id, request->request_id, sizeof query->request_id);
  rst_blob_set (&query->body, request->body.data, request->body.length);
  CK_LIST_INIT (&query->waiters);
  sched_query_add_waiter (query, link, message->id);
  sched->unfinished_queries++;
  return query;
}

static void
add_record (struct query *query, const char *key)
{
  struct request_record *record = g_new0 (struct request_record, 1);

  g_strlcpy (record->key, key, sizeof record->key);
  g_strlcpy (query->record_key, key, sizeof query->record_key);
  record->running_query = query;
  record->expires_at = INT64_MAX;
  g_hash_table_insert (query->sched->request_records, record->key, record);
}

void
sched_query_place (struct query *query)
{
  struct rst_scheduler *sched = query->sched;
  int64_t max_queued
      = rst_settings_get_cell (sched->settings)->max_queued_per_team;
  struct peer *peer;

  if (query->hops == 0 && !sched_query_has_free_slot (sched))
    {
      peer = sched_query_choose_peer (sched);
      if (peer != NULL && sched_query_forward (query, peer))
        return;
    }
  if (!sched_may_start (sched))
    {
      sched_query_reject (query, HTTP_STATUS_UNAVAILABLE, "not-ready",
                          "this scheduler takes no work now");
      return;
    }
  if (query->team->queued_count >= max_queued)
    {
      sched_query_reject (query, HTTP_STATUS_TOO_MANY, "queue-full",
                          "too many of the team's queries are waiting");
      return;
    }
  sched_query_enqueue (query, false);
  sched_query_dispatch (sched);
}

void
sched_query_end_in_doubt (struct query *query, const char *detail)
{
  sched_query_end_unknown (query, HTTP_STATUS_TIMEOUT, "", 0, detail);
}

/* Places a request with the caller's id.  It runs only at its home, the
   member that its id is assigned to, and only if no earlier home can have run
   it. */
static void
place_keyed_query (struct query *query)
{
  switch (sched_record_check (query))
    {
    case RECORD_NEW:
      sched_query_place (query);
      break;
    case RECORD_AWAITING_REPLIES:
      query->sched->awaiting_home_replies = true;
      break;
    case RECORD_IN_DOUBT:
      sched_query_end_in_doubt (query, "an earlier home of this id is lost");
      break;
    case RECORD_HOME_ELSEWHERE:
      sched_query_reject (query, HTTP_STATUS_UNAVAILABLE, "home-changed",
                          "another scheduler keeps this id now");
      break;
    }
}

void
sched_query_handle_query (struct rst_scheduler *sched, uint64_t link,
                          const struct rst_message *message)
{
  const struct rst_query *request = &message->query;
  char key[3 * RST_NAME_SIZE];
  struct query *query;

  sched->counters.queries++;
  if (strlen (request->request_id) >= RST_NAME_SIZE
      || request->request_id[0] == '\0')
    {
      sched_query_reject_message (sched, link, message->id,
                                  HTTP_STATUS_CONFLICT, "bad-request-id",
                                  "request_id: empty or too long");
      return;
    }
  if (rst_settings_find_team (sched->settings, request->team) == NULL)
    {
      sched_query_reject_message (sched, link, message->id,
                                  HTTP_STATUS_UNAVAILABLE, "unknown-team",
                                  "team: not in the settings in force");
      return;
    }
  if (is_duplicate (sched, link, message->id))
    return;
  g_snprintf (key, sizeof key, "%s/%s", request->team, request->request_id);
  if (request->keyed && reply_to_repeat (sched, link, message, key))
    return;
  rst_retry_budget_add_request (&sched->retry_budget);
  query = query_create (sched, link, message);
  if (!query->keyed)
    {
      sched_query_place (query);
      return;
    }
  add_record (query, key);
  place_keyed_query (query);
}

/* Forwards queued queries in order while peers have free slots.  A query that
   was forwarded to this scheduler stays here. */
static void
offload_queue (struct rst_scheduler *sched, struct query_queue *queue)
{
  struct query *query = CK_STAILQ_FIRST (queue);
  struct peer *peer;

  while (query != NULL && query->hops == 0
         && (peer = sched_query_choose_peer (sched)) != NULL)
    {
      sched_query_dequeue_head (queue);
      if (!sched_query_forward (query, peer))
        {
          sched_query_enqueue (query, true);
          return;
        }
      query = CK_STAILQ_FIRST (queue);
    }
}

void
sched_query_offload_queues (struct rst_scheduler *sched)
{
  GHashTableIter iterator;
  gpointer value;

  if (sched->queued_count == 0 || sched_query_choose_runner (sched) != NULL)
    return;
  g_hash_table_iter_init (&iterator, sched->teams);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct team *team = value;

      offload_queue (sched, &team->urgent);
      offload_queue (sched, &team->normal);
    }
}

/* Forwards each queued query, or rejects it if it was forwarded here or no
   peer has a free slot. */
static void
flush_queue (struct rst_scheduler *sched, struct query_queue *queue)
{
  struct query *query;

  while ((query = CK_STAILQ_FIRST (queue)) != NULL)
    {
      struct peer *peer
          = query->hops == 0 ? sched_query_choose_peer (sched) : NULL;

      sched_query_dequeue_head (queue);
      if (peer == NULL || !sched_query_forward (query, peer))
        sched_query_reject (query, HTTP_STATUS_UNAVAILABLE, "not-ready",
                            "this scheduler takes no work now");
    }
}

void
sched_query_flush_queues (struct rst_scheduler *sched)
{
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, sched->teams);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct team *team = value;

      flush_queue (sched, &team->urgent);
      flush_queue (sched, &team->normal);
    }
}
