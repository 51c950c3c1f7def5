/* Selects the scheduler for a request and sends it there. */
#include "coordination/entry_private.h"

#include <stdlib.h>
#include <string.h>
#include <glib.h>

#define LOG_DOMAIN "route"

/** Maximum number of attempts of one request. */
#define ATTEMPTS_MAX 3

/** Time without a message after which a link may be broken.  Only idempotent
 * queries and requests with a home scheduler are then sent on it. */
#define LINK_ALIVE_MS 1500

static bool
is_candidate (const struct rst_entry *entry, const struct scheduler_peer *peer,
              const struct pending_request *pending)
{
  bool is_alive
      = rst_entry_now (entry) - peer->last_message_at <= LINK_ALIVE_MS;

  bool is_query = pending->message.type == RST_QUERY;

  if (!peer->is_scheduler || !peer->open || !peer->has_load
      || !peer->load.ready || peer->link == pending->link
      || (is_query && peer->load.slots_total == 0)
      || rst_settings_is_zone_out (entry->settings, peer->zone))
    return false;
  return is_alive || (is_query && pending->message.query.idempotent);
}

static int64_t
get_free_slots (const struct scheduler_peer *peer)
{
  return (int64_t)peer->load.slots_free - (int64_t)peer->load.queued
         - peer->sent_since_load_report;
}

/* Checks whether @a is a better choice than @b.  Schedulers in the entry's own
   zone with free slots come first, then those with more free slots. */
static bool
is_better (const struct rst_entry *entry, const struct scheduler_peer *a,
           const struct scheduler_peer *b)
{
  int64_t free_a = get_free_slots (a);
  int64_t free_b = get_free_slots (b);
  bool local_a = strcmp (a->zone, entry->config.zone) == 0 && free_a > 0;
  bool local_b = strcmp (b->zone, entry->config.zone) == 0 && free_b > 0;

  if (local_a != local_b)
    return local_a;
  return free_a > free_b;
}

static struct scheduler_peer *
choose_scheduler (struct rst_entry *entry,
                  const struct pending_request *pending)
{
  struct scheduler_peer *best = NULL;
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, entry->peers);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct scheduler_peer *peer = value;

      if (is_candidate (entry, peer, pending)
          && (best == NULL || is_better (entry, peer, best)))
        best = peer;
    }
  return best;
}

static void
collect_members (const struct rst_zone *zone, void *userdata)
{
  GPtrArray *names = userdata;

  for (int i = 0; i < zone->member_count; i++)
    g_ptr_array_add (names, (gpointer)zone->members[i].incarnation);
}

/* Finds the home scheduler of a request or job, which keeps its record.  All
   entries that have the same ownership records find the same one. */
static struct scheduler_peer *
find_home_scheduler (struct rst_entry *entry, const char *team, const char *id)
{
  GPtrArray *names = g_ptr_array_new ();
  char *key = g_strdup_printf ("%s/%s", team, id);
  struct scheduler_peer *home = NULL;
  GHashTableIter iterator;
  gpointer value;
  int pick;

  rst_settings_visit_zone_records (entry->settings, collect_members, names);
  pick = rst_rendezvous_pick (key, (const char *const *)names->pdata,
                              (int)names->len);
  g_hash_table_iter_init (&iterator, entry->peers);
  while (pick >= 0 && g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct scheduler_peer *peer = value;

      if (peer->is_scheduler && peer->open
          && strcmp (peer->incarnation, names->pdata[pick]) == 0)
        home = peer;
    }
  g_free (key);
  g_ptr_array_free (names, TRUE);
  return home;
}

static void
log_route (const struct rst_entry *entry,
           const struct pending_request *pending,
           const struct scheduler_peer *peer, const char *reason)
{
  const struct rst_message *message = &pending->message;
  bool is_query = message->type == RST_QUERY;

  (void)entry;
  rst_info (LOG_DOMAIN, "Request routed.", "request",
            is_query ? message->query.request_id : message->job_call.job,
            "team", is_query ? message->query.team : message->job_call.team,
            "zone", peer->zone, "scheduler", peer->incarnation, "reason",
            reason);
}

static bool
send_to (struct rst_entry *entry, struct pending_request *pending,
         struct scheduler_peer *peer, const char *reason)
{
  struct rst_message message = pending->message;

  message.id = pending->id;
  if (message.type == RST_QUERY)
    message.query.deadline_ms
        = (uint64_t)MAX (pending->deadline - rst_entry_now (entry), 1);
  if (!entry->links->send (entry->links_data, peer->link, &message))
    return false;
  pending->link = peer->link;
  pending->attempts++;
  peer->sent_since_load_report++;
  log_route (entry, pending, peer, reason);
  return true;
}

void
rst_entry_route_query (struct rst_entry *entry,
                       struct pending_request *pending)
{
  struct scheduler_peer *peer;
  bool keyed = pending->message.query.keyed;

  if (keyed)
    peer = find_home_scheduler (entry, pending->message.query.team,
                                pending->message.query.request_id);
  else
    peer = choose_scheduler (entry, pending);
  if (peer == NULL
      || !send_to (entry, pending, peer, keyed ? "home" : "most-room"))
    rst_entry_fail_pending (entry, pending, 503, RST_REQUEST_NOT_RUN,
                            "no-scheduler",
                            "no scheduler can take the request now");
}

void
rst_entry_route_job (struct rst_entry *entry, struct pending_request *pending)
{
  const struct rst_job_call *call = &pending->message.job_call;
  struct scheduler_peer *peer
      = call->operation == RST_JOB_LIST
            ? choose_scheduler (entry, pending)
            : find_home_scheduler (entry, call->team, call->job);

  if (peer == NULL || !send_to (entry, pending, peer, "home"))
    rst_entry_fail_pending (entry, pending, 503, RST_REQUEST_NOT_RUN,
                            "no-scheduler",
                            "the job's scheduler cannot be reached now");
}

/* Sends a query to another scheduler, if its attempts, its deadline and the
   retry budget allow it.  The query did not run, or is idempotent. */
bool
rst_entry_retry_pending (struct rst_entry *entry,
                         struct pending_request *pending)
{
  if (pending->message.type != RST_QUERY || pending->message.query.keyed
      || pending->attempts >= ATTEMPTS_MAX || entry->stopping
      || rst_entry_now (entry) >= pending->deadline
      || choose_scheduler (entry, pending) == NULL
      || !rst_retry_budget_take_retry (&entry->retry_budget))
    return false;
  entry->counters.retries++;
  rst_entry_route_query (entry, pending);
  return true;
}
