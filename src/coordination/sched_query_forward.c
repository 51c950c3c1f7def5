/* Queries forwarded to schedulers that have free slots. */
#include "coordination/sched_query_private.h"

#include <string.h>

#define LOG_DOMAIN "query"

/** Time after its deadline for which a forwarded query awaits its answer. */
#define FORWARD_GRACE_MS 500

#define HTTP_STATUS_BAD_GATEWAY 502

/* Free slots by the peer's last load report, less the queries that wait there
   or were forwarded to it and not answered. */
static int64_t
count_free_slots (const struct peer *peer)
{
  return (int64_t)peer->load.slots_free - (int64_t)peer->forwarded_queries
         - (int64_t)peer->load.queued;
}

/* The scheduler with the most free slots; those in this scheduler's zone count
   twice, so that queries tend to stay in the zone. */
struct peer *
sched_query_choose_peer (struct rst_scheduler *sched)
{
  struct peer *best = NULL;
  int64_t best_free_slots = 0;
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, sched->peers);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct peer *peer = value;
      int64_t free_slots;

      if (!peer->has_greeted || peer->role != RST_ROLE_SCHEDULER
          || !peer->has_load || !peer->load.ready
          || rst_settings_is_zone_out (sched->settings, peer->zone))
        continue;
      free_slots = count_free_slots (peer);
      if (free_slots <= 0)
        continue;
      if (strcmp (peer->zone, sched->config.zone) == 0)
        free_slots *= 2;
      if (free_slots > best_free_slots)
        {
          best = peer;
          best_free_slots = free_slots;
        }
    }
  return best;
}

bool
sched_query_has_free_slot (struct rst_scheduler *sched)
{
  return sched_may_start (sched) && sched_query_choose_runner (sched) != NULL;
}

bool
sched_query_forward (struct query *query, struct peer *peer)
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
  peer->forwarded_queries++;
  g_hash_table_insert (sched->query_forwards, &query->forward_id, query);
  rst_info (LOG_DOMAIN, "Query forwarded.", "request", query->request_id,
            "team", query->team->name, "zone", peer->zone, "scheduler",
            peer->incarnation, "reason", "no free slot here");
  return true;
}

static void
clear_forward (struct query *query)
{
  struct peer *peer
      = sched_find_peer_by_link (query->sched, query->forward_link);

  if (peer != NULL && peer->forwarded_queries > 0)
    peer->forwarded_queries--;
  g_hash_table_remove (query->sched->query_forwards, &query->forward_id);
  query->forward_id = 0;
  query->forward_link = 0;
}

void
sched_query_handle_answer (struct rst_scheduler *sched, uint64_t link,
                           const struct rst_message *message)
{
  struct query *query
      = g_hash_table_lookup (sched->query_forwards, &message->id);

  /* A late answer, or one from another peer, is ignored. */
  if (query == NULL || query->forward_link != link)
    return;
  clear_forward (query);
  if (message->answer.outcome == RST_REQUEST_NOT_RUN
      && sched_query_has_free_slot (sched)
      && sched_now (sched) < query->deadline)
    {
      sched_query_enqueue (query, true);
      sched_query_dispatch (sched);
      return;
    }
  if (message->answer.outcome == RST_REQUEST_NOT_RUN)
    sched_query_reject (query, message->answer.status, message->answer.reason,
                        message->answer.detail);
  else
    sched_query_end (query, &message->answer);
}

/* The peer may have run the query before the link to it closed. */
static void
handle_lost_forward (struct query *query)
{
  clear_forward (query);
  query->may_have_run = true;
  if (query->idempotent && sched_now (query->sched) < query->deadline
      && rst_retry_budget_take_retry (&query->sched->retry_budget))
    sched_query_enqueue (query, true);
  else
    sched_query_end_unknown (query, HTTP_STATUS_BAD_GATEWAY, "", 0,
                             "the link to the scheduler that had it broke");
}

void
sched_query_handle_link_closed (struct rst_scheduler *sched, uint64_t link)
{
  GList *queries = g_hash_table_get_values (sched->query_forwards);

  for (GList *item = queries; item != NULL; item = item->next)
    {
      struct query *query = item->data;

      if (query->forward_link == link)
        handle_lost_forward (query);
    }
  g_list_free (queries);
}

void
sched_query_expire_forwards (struct rst_scheduler *sched)
{
  rst_ms now = sched_now (sched);
  GList *queries;

  if (g_hash_table_size (sched->query_forwards) == 0)
    return;
  queries = g_hash_table_get_values (sched->query_forwards);
  for (GList *item = queries; item != NULL; item = item->next)
    {
      struct query *query = item->data;

      if (now >= query->deadline + FORWARD_GRACE_MS)
        {
          clear_forward (query);
          sched_query_end_unknown (query, HTTP_STATUS_TIMEOUT, "", 0,
                                   "no answer before the deadline");
        }
    }
  g_list_free (queries);
}
