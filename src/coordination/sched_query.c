/**
 * DOC: sched_query - queries on runners
 *
 * A query waits in its team's queue until a slot on an owned runner and a
 * place in the team's part are free.  Each query ends exactly once: answered,
 * not run, or unknown.
 */
#include "coordination/scheduler_private.h"

#include <string.h>

#define LOG_PREFIX "query"

/** Most attempts of one query. */
#define ATTEMPTS_MAX 4

/** Thousandths of a retry earned by each query. */
#define RETRY_PER_QUERY 200

/** Most retries saved up. */
#define RETRIES_MAX 100

/** How long work whose end is unknown occupies its place after its
 * deadline. */
#define GHOST_MARGIN_MS 1000

/** Time after a forwarded query's deadline at which its outcome is given up.
 */
#define FORWARD_GRACE_MS 500

/** How long a message may arrive a second time. */
#define DUPLICATE_MS 5000

/** Statuses told to callers. */
#define STATUS_ANSWERED 200
#define STATUS_BAD_GATEWAY 502
#define STATUS_UNAVAILABLE 503
#define STATUS_TIMEOUT 504
#define STATUS_CONFLICT 409
#define STATUS_TOO_MANY 429

static void
record_free (gpointer data)
{
  struct record *record = data;

  rst_message_clear (&record->answer);
  g_free (record);
}

void
sched_query_init (struct rst_scheduler *sched)
{
  sched->records
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, record_free);
  sched->forwards
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, NULL);
  sched->taken
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  rst_budget_init (&sched->retry_budget, RETRY_PER_QUERY, RETRIES_MAX);
}

/* ---- Ends ------------------------------------------------------------------
 */

static void
add_waiter (struct query *query, uint64_t link, uint64_t id)
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
  if (outcome == RST_ANSWERED)
    sched->counters.answered++;
  else if (outcome == RST_NOT_RUN)
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
  rst_info (LOG_PREFIX, "Query ended.", "request", query->request_id, "team",
            query->team->name, "zone", query->sched->config.zone, "instance",
            answer->instance, "epoch", epoch, "outcome",
            rst_outcome_name (answer->outcome), "reason", answer->reason);
}

/* Keeps the end for repeats; what did not run may be tried anew. */
static void
keep_record (struct query *query, const struct rst_message *message)
{
  struct rst_scheduler *sched = query->sched;
  struct record *record;

  if (!query->keyed)
    return;
  record = g_hash_table_lookup (sched->records, query->record_key);
  if (record == NULL || record->running != query)
    return;
  if (message->answer.outcome == RST_NOT_RUN)
    {
      g_hash_table_remove (sched->records, query->record_key);
      return;
    }
  record->running = NULL;
  record->expires_at = sched_now (sched) + SCHED_RECORD_MS;
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
  keep_record (query, &message);
  CK_LIST_FOREACH (waiter, &query->waiters, entry)
  {
    message.id = waiter->id;
    sched_send (sched, waiter->link, &message);
  }
  if (query->forward_id != 0)
    g_hash_table_remove (sched->forwards, &query->forward_id);
  sched->running_queries--;
  query_free (query);
}

static void
refuse_query (struct query *query, uint64_t status, const char *reason,
              const char *detail)
{
  struct rst_answer answer = { 0 };

  /* An earlier attempt may have run. */
  answer.outcome = query->may_have_run ? RST_UNKNOWN : RST_NOT_RUN;
  answer.status = query->may_have_run ? STATUS_TIMEOUT : status;
  answer.reason = (char *)reason;
  answer.detail = (char *)detail;
  sched_query_end (query, &answer);
}

static void
end_unknown (struct query *query, uint64_t status, const char *instance,
             uint64_t epoch, const char *detail)
{
  struct rst_answer answer = { 0 };

  answer.outcome = RST_UNKNOWN;
  answer.status = status;
  answer.reason = (char *)"no-answer";
  answer.detail = (char *)detail;
  answer.instance = (char *)instance;
  answer.epoch = epoch;
  sched_query_end (query, &answer);
}

static void
refuse_message (struct rst_scheduler *sched, uint64_t link, uint64_t id,
                uint64_t status, const char *reason, const char *detail)
{
  struct rst_message message = { 0 };

  message.type = RST_ANSWER;
  message.id = id;
  message.answer.outcome = RST_NOT_RUN;
  message.answer.status = status;
  message.answer.reason = (char *)reason;
  message.answer.detail = (char *)detail;
  sched->counters.not_run++;
  sched_send (sched, link, &message);
}

/* ---- Queues
 * ----------------------------------------------------------------- */

static void
enqueue (struct query *query, bool at_head)
{
  struct team *team = query->team;
  struct query_queue *queue = query->urgent ? &team->urgent : &team->normal;

  if (at_head)
    CK_STAILQ_INSERT_HEAD (queue, query, entry);
  else
    CK_STAILQ_INSERT_TAIL (queue, query, entry);
  team->queued++;
  query->sched->queued++;
}

static void
unqueue_head (struct query_queue *queue)
{
  struct query *query = CK_STAILQ_FIRST (queue);

  CK_STAILQ_REMOVE_HEAD (queue, entry);
  query->team->queued--;
  query->sched->queued--;
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
          query->team->queued--;
          query->sched->queued--;
          refuse_query (query, STATUS_UNAVAILABLE, "deadline",
                        "no slot became free before the deadline");
        }
      query = next;
    }
}

static void
expire_all (struct rst_scheduler *sched)
{
  rst_ms now = sched_now (sched);
  GHashTableIter iterator;
  gpointer value;

  if (sched->queued == 0 || now < sched->expire_next_at)
    return;
  sched->expire_next_at = now + SCHED_EXPIRE_EVERY_MS;
  g_hash_table_iter_init (&iterator, sched->teams);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct team *team = value;

      expire_queue (&team->urgent, now);
      expire_queue (&team->normal, now);
    }
}

/* ---- Choice
 * ------------------------------------------------------------------ */

/* The runner with the least part of its slots in use. */
static struct instance *
choose_runner (struct rst_scheduler *sched)
{
  struct instance *best = NULL;
  int64_t best_load = 0;

  for (guint i = 0; i < sched->owned->len; i++)
    {
      struct instance *instance = g_ptr_array_index (sched->owned, i);
      int64_t load;

      if (instance->info.kind != RST_RUNNER
          || instance->slots_used >= instance->info.slots
          || !sched_instance_usable (sched, instance))
        continue;
      load = instance->slots_used * 1000 / instance->info.slots;
      if (best == NULL || load < best_load)
        {
          best = instance;
          best_load = load;
        }
    }
  return best;
}

static uint64_t
team_weight (const struct team *team)
{
  const struct rst_team *settings
      = rst_settings_team (team->sched->settings, team->name);

  return settings != NULL ? settings->share : 1;
}

/* The team that is furthest below its share, among those that may start. */
static struct query_queue *
choose_queue (struct rst_scheduler *sched, bool urgent)
{
  struct query_queue *best = NULL;
  uint64_t best_rank = 0;
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, sched->teams);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct team *team = value;
      struct query_queue *queue = urgent ? &team->urgent : &team->normal;
      uint64_t rank;

      if (CK_STAILQ_EMPTY (queue) || !sched_limit_allows (team))
        continue;
      rank = (uint64_t)team->used * 1000000 / team_weight (team);
      if (best == NULL || rank < best_rank)
        {
          best = queue;
          best_rank = rank;
        }
    }
  return best;
}

/* ---- Running
 * ------------------------------------------------------------------ */

static void
give_back (struct work *work)
{
  work->calls--;
  if (work->instance != NULL)
    sched_work_remove (work);
  else
    g_free (work);
}

/* The work may still run: its place stays occupied until it must be over. */
static void
keep_ghost (struct work *work, const struct query *query)
{
  work->calls--;
  if (work->instance == NULL)
    {
      g_free (work);
      return;
    }
  work->ghost_until = query->deadline + GHOST_MARGIN_MS;
}

static void
note_result (struct instance *instance, bool ok)
{
  if (instance != NULL)
    rst_breaker_result (&instance->breaker, ok, sched_now (instance->sched));
}

/* Tries a query again that did not run, or that may run twice. */
static bool
retry (struct query *query)
{
  struct rst_scheduler *sched = query->sched;

  if (query->attempts >= ATTEMPTS_MAX || sched_now (sched) >= query->deadline
      || sched->stopping || !rst_budget_spend (&sched->retry_budget))
    return false;
  sched->counters.retries++;
  query->work = NULL;
  enqueue (query, true);
  return true;
}

static void
end_answered (struct query *query, const struct rst_platform_reply *reply,
              const char *instance, uint64_t epoch)
{
  struct rst_answer answer = { 0 };

  answer.outcome = RST_ANSWERED;
  answer.status = (uint64_t)reply->status;
  answer.instance = (char *)instance;
  answer.epoch = epoch;
  answer.body.data = (char *)reply->body;
  answer.body.length = reply->length;
  sched_query_end (query, &answer);
}

static void
run_failed (struct query *query, const struct rst_platform_reply *reply,
            const char *instance, uint64_t epoch)
{
  bool may_have_run = reply->result == RST_PLATFORM_UNKNOWN
                      && !RST_FAULT (RST_FAULT_FALSE_REFUSAL);

  if (may_have_run)
    query->may_have_run = true;
  if ((!may_have_run || query->idempotent
       || RST_FAULT (RST_FAULT_REQUEST_TWICE))
      && retry (query))
    return;
  if (may_have_run)
    end_unknown (query, STATUS_TIMEOUT, instance, epoch,
                 "the runner gave no whole answer");
  else
    refuse_query (query, STATUS_UNAVAILABLE, "no-runner",
                  "no runner took the request");
}

static void
on_run (const struct rst_platform_reply *reply, void *data)
{
  struct query *query = data;
  struct rst_scheduler *sched = query->sched;
  struct work *work = query->work;
  struct instance *instance = work->instance;
  char name[RST_NAME_SIZE];
  uint64_t epoch = query->epoch;

  g_strlcpy (name, query->instance, sizeof name);
  if (reply->result == RST_PLATFORM_OK
      || reply->result == RST_PLATFORM_REFUSED)
    note_result (instance, true);
  else
    note_result (instance, false);
  if (reply->result == RST_PLATFORM_UNKNOWN)
    keep_ghost (work, query);
  else
    give_back (work);
  query->work = NULL;
  if (reply->result == RST_PLATFORM_OK)
    end_answered (query, reply, name, epoch);
  else
    run_failed (query, reply, name, epoch);
  sched_query_dispatch (sched);
}

static void
log_placed (const struct query *query, const struct instance *instance)
{
  char epoch[24];

  if (!rst_log_enabled (G_LOG_LEVEL_INFO))
    return;
  g_snprintf (epoch, sizeof epoch, "%" G_GUINT64_FORMAT, instance->epoch);
  rst_info (LOG_PREFIX, "Query placed.", "request", query->request_id, "team",
            query->team->name, "zone", query->sched->config.zone, "instance",
            instance->info.name, "epoch", epoch, "reason", "least-used");
}

static void
start_query (struct query *query, struct instance *instance)
{
  struct rst_scheduler *sched = query->sched;
  struct rst_work info = { 0 };
  struct rst_run run = { 0 };
  rst_ms now = sched_now (sched);

  g_snprintf (info.id, sizeof info.id, "%s/%s", query->team->name,
              query->request_id);
  g_strlcpy (info.team, query->team->name, sizeof info.team);
  query->work = sched_work_add (instance, &info);
  query->work->calls++;
  query->attempts++;
  query->epoch = instance->epoch;
  g_strlcpy (query->instance, instance->info.name, RST_NAME_SIZE);
  rst_breaker_sent (&instance->breaker);
  log_placed (query, instance);
  run.id = query->work->info.id;
  run.team = query->team->name;
  run.epoch = instance->epoch;
  run.idempotent = query->idempotent;
  run.deadline_ms = query->deadline - now;
  run.not_after = MIN (query->deadline, rst_tenure_until (sched->tenure, now));
  run.body = query->body.data;
  run.length = query->body.length;
  sched->platform->runner_run (sched->platform_data, instance->info.address,
                               &run, on_run, query);
}

static bool
dispatch_one (struct rst_scheduler *sched)
{
  int64_t began_ns = rst_os_now_ns ();
  struct query_queue *queue = choose_queue (sched, true);
  struct instance *instance;
  struct query *query;

  if (queue == NULL)
    queue = choose_queue (sched, false);
  if (queue == NULL)
    return false;
  instance = choose_runner (sched);
  sched->counters.decisions++;
  sched->counters.decision_ns += (uint64_t)(rst_os_now_ns () - began_ns);
  if (instance == NULL)
    return false;
  query = CK_STAILQ_FIRST (queue);
  unqueue_head (queue);
  if (sched_now (sched) >= query->deadline)
    refuse_query (query, STATUS_UNAVAILABLE, "deadline",
                  "no slot became free before the deadline");
  else
    start_query (query, instance);
  return true;
}

void
sched_query_dispatch (struct rst_scheduler *sched)
{
  if (sched->dispatching || sched->queued == 0 || !sched_may_start (sched))
    return;
  sched->dispatching = true;
  while (sched->queued > 0 && dispatch_one (sched))
    continue;
  sched->dispatching = false;
}

/* ---- Forwarding
 * ---------------------------------------------------------------- */

static int64_t
room_at (const struct peer *peer)
{
  return (int64_t)peer->load.slots_free - (int64_t)peer->loaned
         - (int64_t)peer->load.queued;
}

/* The peer with most room, the own zone before others. */
static struct peer *
choose_peer (struct rst_scheduler *sched)
{
  struct peer *best = NULL;
  int64_t best_room = 0;
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, sched->peers);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct peer *peer = value;
      int64_t room;

      if (!peer->known || peer->role != RST_ROLE_SCHEDULER || !peer->has_load
          || !peer->load.ready
          || rst_settings_zone_out (sched->settings, peer->zone))
        continue;
      room = room_at (peer);
      if (room <= 0)
        continue;
      if (strcmp (peer->zone, sched->config.zone) == 0)
        room *= 2;
      if (room > best_room)
        {
          best = peer;
          best_room = room;
        }
    }
  return best;
}

static bool
has_free_slot (struct rst_scheduler *sched)
{
  return sched_may_start (sched) && choose_runner (sched) != NULL;
}

static bool
forward_query (struct query *query, struct peer *peer)
{
  struct rst_scheduler *sched = query->sched;
  struct rst_message message = { 0 };

  message.type = RST_QUERY;
  message.id = sched_next_id (sched);
  message.query.team = query->team->name;
  message.query.request_id = query->request_id;
  message.query.keyed = false;
  message.query.idempotent = query->idempotent;
  message.query.urgent = query->urgent;
  message.query.deadline_ms
      = (uint64_t)MAX (query->deadline - sched_now (sched), 1);
  message.query.hops = query->hops + 1;
  message.query.body = query->body;
  if (!sched_send (sched, peer->link, &message))
    return false;
  query->forward_link = peer->link;
  query->forward_id = message.id;
  peer->loaned++;
  g_hash_table_insert (sched->forwards, &query->forward_id, query);
  rst_info (LOG_PREFIX, "Query forwarded.", "request", query->request_id,
            "team", query->team->name, "zone", peer->zone, "scheduler",
            peer->incarnation, "reason", "no free slot here");
  return true;
}

static void
forget_forward (struct query *query)
{
  struct peer *peer = sched_peer_by_link (query->sched, query->forward_link);

  if (peer != NULL && peer->loaned > 0)
    peer->loaned--;
  g_hash_table_remove (query->sched->forwards, &query->forward_id);
  query->forward_id = 0;
  query->forward_link = 0;
}

void
sched_query_answer (struct rst_scheduler *sched, uint64_t link,
                    const struct rst_message *message)
{
  struct query *query = g_hash_table_lookup (sched->forwards, &message->id);

  /* A late answer, or one to another request, reaches nobody. */
  if (query == NULL || query->forward_link != link)
    return;
  forget_forward (query);
  if (message->answer.outcome == RST_NOT_RUN && has_free_slot (sched)
      && sched_now (sched) < query->deadline)
    {
      enqueue (query, true);
      sched_query_dispatch (sched);
      return;
    }
  if (message->answer.outcome == RST_NOT_RUN)
    refuse_query (query, message->answer.status, message->answer.reason,
                  message->answer.detail);
  else
    sched_query_end (query, &message->answer);
}

static void
end_lost_forward (struct query *query)
{
  forget_forward (query);
  query->may_have_run = true;
  if (query->idempotent && sched_now (query->sched) < query->deadline
      && rst_budget_spend (&query->sched->retry_budget))
    enqueue (query, true);
  else
    end_unknown (query, STATUS_BAD_GATEWAY, "", 0,
                 "the link to the scheduler that had it broke");
}

void
sched_query_link_closed (struct rst_scheduler *sched, uint64_t link)
{
  GList *queries = g_hash_table_get_values (sched->forwards);

  for (GList *item = queries; item != NULL; item = item->next)
    {
      struct query *query = item->data;

      if (query->forward_link == link)
        end_lost_forward (query);
    }
  g_list_free (queries);
}

static void
expire_forwards (struct rst_scheduler *sched)
{
  rst_ms now = sched_now (sched);
  GList *queries;

  if (g_hash_table_size (sched->forwards) == 0)
    return;
  queries = g_hash_table_get_values (sched->forwards);
  for (GList *item = queries; item != NULL; item = item->next)
    {
      struct query *query = item->data;

      if (now >= query->deadline + FORWARD_GRACE_MS)
        {
          forget_forward (query);
          end_unknown (query, STATUS_TIMEOUT, "", 0,
                       "no answer before the deadline");
        }
    }
  g_list_free (queries);
}

/* ---- Intake
 * ---------------------------------------------------------------------- */

/* Answers a repeat from the record of its request.  Returns false when the
   request is new. */
static bool
answer_repeat (struct rst_scheduler *sched, uint64_t link,
               const struct rst_message *message, const char *key)
{
  struct record *record = g_hash_table_lookup (sched->records, key);
  struct rst_message answer;

  if (record == NULL)
    return false;
  if (record->elsewhere)
    {
      refuse_message (sched, link, message->id, STATUS_UNAVAILABLE,
                      "home-changed", "another scheduler keeps this id now");
      return true;
    }
  if (record->running != NULL)
    {
      add_waiter (record->running, link, message->id);
      return true;
    }
  answer = record->answer;
  answer.id = message->id;
  sched_send (sched, link, &answer);
  return true;
}

/* Whether this very message was taken before. */
static bool
is_duplicate (struct rst_scheduler *sched, uint64_t link, uint64_t id)
{
  char key[48];
  rst_ms *expires_at;

  g_snprintf (key, sizeof key, "%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT,
              link, id);
  if (g_hash_table_contains (sched->taken, key))
    return true;
  expires_at = g_new (rst_ms, 1);
  *expires_at = sched_now (sched) + DUPLICATE_MS;
  g_hash_table_insert (sched->taken, g_strdup (key), expires_at);
  return false;
}

static struct query *
query_create (struct rst_scheduler *sched, uint64_t link,
              const struct rst_message *message)
{
  const struct rst_query *asked = &message->query;
  rst_ms bound = rst_settings_cell (sched->settings)->max_deadline_ms;
  rst_ms now = sched_now (sched);
  struct query *query = g_new0 (struct query, 1);

  query->sched = sched;
  query->team = sched_team (sched, asked->team);
  query->keyed = asked->keyed;
  query->idempotent = asked->idempotent;
  query->urgent = asked->urgent;
  query->hops = asked->hops;
  query->deadline
      = now + MIN ((rst_ms)MIN (asked->deadline_ms, INT32_MAX), bound);
  g_strlcpy (query->request_id, asked->request_id, sizeof query->request_id);
  rst_blob_set (&query->body, asked->body.data, asked->body.length);
  CK_LIST_INIT (&query->waiters);
  add_waiter (query, link, message->id);
  sched->running_queries++;
  return query;
}

static void
add_record (struct query *query, const char *key)
{
  struct record *record = g_new0 (struct record, 1);

  g_strlcpy (record->key, key, sizeof record->key);
  g_strlcpy (query->record_key, key, sizeof query->record_key);
  record->running = query;
  record->expires_at = INT64_MAX;
  g_hash_table_insert (query->sched->records, record->key, record);
}

void
sched_query_place (struct query *query)
{
  struct rst_scheduler *sched = query->sched;
  int64_t bound = rst_settings_cell (sched->settings)->queue_per_team;
  struct peer *peer;

  if (query->hops == 0 && !has_free_slot (sched))
    {
      peer = choose_peer (sched);
      if (peer != NULL && forward_query (query, peer))
        return;
    }
  if (!sched_may_start (sched))
    {
      refuse_query (query, STATUS_UNAVAILABLE, "not-ready",
                    "this scheduler takes no work now");
      return;
    }
  if (query->team->queued >= bound)
    {
      refuse_query (query, STATUS_TOO_MANY, "queue-full",
                    "too many of the team's queries are waiting");
      return;
    }
  enqueue (query, false);
  sched_query_dispatch (sched);
}

void
sched_query_end_unsure (struct query *query, const char *detail)
{
  end_unknown (query, STATUS_TIMEOUT, "", 0, detail);
}

/* A request with the caller's id runs only at its home, and only when no
   earlier home can have run it. */
static void
place_keyed (struct query *query)
{
  switch (sched_record_check (query))
    {
    case RECORD_NEW:
      sched_query_place (query);
      break;
    case RECORD_ASKED:
      query->sched->asking = true;
      break;
    case RECORD_UNSURE:
      sched_query_end_unsure (query, "an earlier home of this id is lost");
      break;
    case RECORD_ELSEWHERE:
      refuse_query (query, STATUS_UNAVAILABLE, "home-changed",
                    "another scheduler keeps this id now");
      break;
    }
}

void
sched_query_take (struct rst_scheduler *sched, uint64_t link,
                  const struct rst_message *message)
{
  const struct rst_query *asked = &message->query;
  char key[3 * RST_NAME_SIZE];
  struct query *query;

  sched->counters.queries++;
  if (strlen (asked->request_id) >= RST_NAME_SIZE
      || asked->request_id[0] == '\0')
    {
      refuse_message (sched, link, message->id, STATUS_CONFLICT,
                      "bad-request-id", "request_id: empty or too long");
      return;
    }
  if (rst_settings_team (sched->settings, asked->team) == NULL)
    {
      refuse_message (sched, link, message->id, STATUS_UNAVAILABLE,
                      "unknown-team", "team: not in the settings in force");
      return;
    }
  if (is_duplicate (sched, link, message->id))
    return;
  g_snprintf (key, sizeof key, "%s/%s", asked->team, asked->request_id);
  if (asked->keyed && answer_repeat (sched, link, message, key))
    return;
  rst_budget_earn (&sched->retry_budget);
  query = query_create (sched, link, message);
  if (!query->keyed)
    {
      sched_query_place (query);
      return;
    }
  add_record (query, key);
  place_keyed (query);
}

/* Queries that wait here while peers have room go there. */
static void
spread_queue (struct rst_scheduler *sched, struct query_queue *queue)
{
  struct query *query = CK_STAILQ_FIRST (queue);
  struct peer *peer;

  while (query != NULL && query->hops == 0
         && (peer = choose_peer (sched)) != NULL)
    {
      unqueue_head (queue);
      if (!forward_query (query, peer))
        {
          enqueue (query, true);
          return;
        }
      query = CK_STAILQ_FIRST (queue);
    }
}

static void
spread_all (struct rst_scheduler *sched)
{
  GHashTableIter iterator;
  gpointer value;

  if (sched->queued == 0 || choose_runner (sched) != NULL)
    return;
  g_hash_table_iter_init (&iterator, sched->teams);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct team *team = value;

      spread_queue (sched, &team->urgent);
      spread_queue (sched, &team->normal);
    }
}

/* What cannot be started here goes elsewhere at once. */
static void
move_queue (struct rst_scheduler *sched, struct query_queue *queue)
{
  struct query *query;

  while ((query = CK_STAILQ_FIRST (queue)) != NULL)
    {
      struct peer *peer = query->hops == 0 ? choose_peer (sched) : NULL;

      unqueue_head (queue);
      if (peer == NULL || !forward_query (query, peer))
        refuse_query (query, STATUS_UNAVAILABLE, "not-ready",
                      "this scheduler takes no work now");
    }
}

static void
move_all (struct rst_scheduler *sched)
{
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, sched->teams);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct team *team = value;

      move_queue (sched, &team->urgent);
      move_queue (sched, &team->normal);
    }
}

/* ---- Time
 * ---------------------------------------------------------------------------
 */

static void
drop_ghosts (struct rst_scheduler *sched)
{
  rst_ms now = sched_now (sched);

  for (guint i = 0; i < sched->owned->len; i++)
    {
      struct instance *instance = g_ptr_array_index (sched->owned, i);
      struct work *work = CK_LIST_FIRST (&instance->work);

      if (instance->info.kind != RST_RUNNER)
        continue;
      while (work != NULL)
        {
          struct work *next = CK_LIST_NEXT (work, entry);

          if (work->ghost_until != 0 && now >= work->ghost_until)
            sched_work_remove (work);
          work = next;
        }
    }
}

static gboolean
record_expired (gpointer key, gpointer value, gpointer userdata)
{
  (void)key;
  return ((struct record *)value)->expires_at <= *(const rst_ms *)userdata;
}

static gboolean
taken_expired (gpointer key, gpointer value, gpointer userdata)
{
  (void)key;
  return *(const rst_ms *)value <= *(const rst_ms *)userdata;
}

/* Earlier homes that did not answer may have run the request. */
static void
expire_asked (struct rst_scheduler *sched)
{
  rst_ms now = sched_now (sched);
  GList *records;

  if (!sched->asking)
    return;
  sched->asking = false;
  records = g_hash_table_get_values (sched->records);
  for (GList *item = records; item != NULL; item = item->next)
    {
      struct query *query = ((struct record *)item->data)->running;

      if (query == NULL || query->asked == 0)
        continue;
      if (now < query->ask_until)
        sched->asking = true;
      else
        {
          query->asked = 0;
          sched_query_end_unsure (query, "an earlier home did not answer");
        }
    }
  g_list_free (records);
}

void
sched_query_tick (struct rst_scheduler *sched)
{
  rst_ms now = sched_now (sched);

  if (sched->queued > 0 && !sched_may_start (sched))
    move_all (sched);
  spread_all (sched);
  expire_all (sched);
  expire_forwards (sched);
  expire_asked (sched);
  if (now >= sched->sweep_next_at)
    {
      sched->sweep_next_at = now + SCHED_SWEEP_EVERY_MS;
      drop_ghosts (sched);
      g_hash_table_foreach_remove (sched->records, record_expired, &now);
      g_hash_table_foreach_remove (sched->taken, taken_expired, &now);
    }
  sched_query_dispatch (sched);
}

bool
sched_query_busy (const struct rst_scheduler *sched)
{
  return sched->running_queries > 0;
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
  g_hash_table_iter_init (&iterator, sched->forwards);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    query_free (value);
  g_hash_table_destroy (sched->forwards);
  g_hash_table_destroy (sched->records);
  g_hash_table_destroy (sched->taken);
}
