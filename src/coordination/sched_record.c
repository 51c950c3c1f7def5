/**
 * DOC: sched_record - request ids whose home has moved
 *
 * The home of a request id is the member that rendezvous hashing picks; it
 * keeps the request record by which repeats are recognised.  When members come
 * and go, the home of some ids moves.  The new home runs such a request only
 * if no earlier home can have run it: it asks the earlier homes that are still
 * members, and answers "unknown" when one of them has departed.
 */
#include "coordination/scheduler_private.h"

#include <string.h>

#define LOG_DOMAIN "record"

/** How long the replies of earlier homes are awaited. */
#define HOME_REPLY_TIMEOUT_MS 500

/* When this process first found a member in an ownership record, and when it
   found it departed; 0 if it has not. */
struct known_member
{
  rst_ms first_seen_at;
  rst_ms departed_at;
};

void
sched_record_init (struct rst_scheduler *sched)
{
  sched->member_history
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  sched->informed_peers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
sched_record_clear (struct rst_scheduler *sched)
{
  g_hash_table_destroy (sched->member_history);
  g_hash_table_destroy (sched->informed_peers);
}

void
sched_record_begin_incarnation (struct rst_scheduler *sched)
{
  if (sched->informed_peers != NULL)
    g_hash_table_remove_all (sched->informed_peers);
  sched->joined_at = 0;
}

/* How long after a home has moved the earlier home may still run a request, or
   hold the record of one that it ran. */
static rst_ms
get_lookback_ms (const struct rst_scheduler *sched)
{
  return rst_settings_get_cell (sched->settings)->max_deadline_ms
         + SCHED_RECORD_TTL_MS;
}

static struct known_member *
find_or_add_member (struct rst_scheduler *sched, const char *incarnation)
{
  struct known_member *member
      = g_hash_table_lookup (sched->member_history, incarnation);

  if (member != NULL)
    return member;
  member = g_new0 (struct known_member, 1);
  member->first_seen_at = sched_now (sched);
  g_hash_table_insert (sched->member_history, g_strdup (incarnation), member);
  return member;
}

void
sched_record_apply_zone (struct rst_scheduler *sched,
                         const struct rst_zone *zone)
{
  for (int i = 0; i < zone->member_count; i++)
    find_or_add_member (sched, zone->members[i].incarnation);
  for (int i = 0; i < zone->departed_count; i++)
    {
      struct known_member *member
          = find_or_add_member (sched, zone->departed[i]);

      if (member->departed_at == 0)
        member->departed_at = sched_now (sched);
    }
  if (sched->joined_at == 0
      && rst_zone_find_member (zone, sched->incarnation) != NULL)
    sched->joined_at = sched_now (sched);
}

/* Records when a peer was first found to hold the same settings and ownership
   records, and so to know that this process is a member. */
void
sched_record_note_informed (struct rst_scheduler *sched,
                            const struct peer *peer)
{
  rst_ms *informed_at;

  if (sched->joined_at == 0
      || g_hash_table_contains (sched->informed_peers, peer->incarnation))
    return;
  informed_at = g_new (rst_ms, 1);
  *informed_at = sched_now (sched);
  g_hash_table_insert (sched->informed_peers, g_strdup (peer->incarnation),
                       informed_at);
}

/* ---- Who may have been the home ---------------------------------------- */

/* Search for the homes of a key.  @stable_score is the highest score of the
   other members that have been there for the whole lookback: a member with a
   lower score cannot have been the home in that time. */
struct home_search
{
  struct rst_scheduler *sched;
  const char *key;
  rst_ms now;
  rst_ms lookback_ms;
  const char *home;
  uint64_t home_score;
  uint64_t stable_score;
};

/* Whether a member has been known for the whole lookback. */
static bool
is_stable (const struct home_search *search, const char *incarnation)
{
  const struct known_member *member
      = g_hash_table_lookup (search->sched->member_history, incarnation);

  return member != NULL
         && search->now - member->first_seen_at >= search->lookback_ms;
}

/* Finds the present home and the stable score among the members of a zone. */
static void
score_members (const struct rst_zone *zone, void *userdata)
{
  struct home_search *search = userdata;

  for (int i = 0; i < zone->member_count; i++)
    {
      const char *incarnation = zone->members[i].incarnation;
      uint64_t score = rst_rendezvous_score (search->key, incarnation);

      if (search->home == NULL || score > search->home_score)
        {
          search->home = incarnation;
          search->home_score = score;
        }
      if (strcmp (incarnation, search->sched->incarnation) != 0
          && is_stable (search, incarnation))
        search->stable_score = MAX (search->stable_score, score);
    }
}

/* Whether a departed member may have been the home within the lookback. */
static bool
may_have_lost_home (const struct home_search *search)
{
  struct rst_scheduler *sched = search->sched;
  uint64_t min_score = search->stable_score;
  GHashTableIter iterator;
  gpointer name;
  gpointer value;

  if (sched->joined_at != 0
      && search->now - sched->joined_at >= search->lookback_ms)
    min_score = MAX (min_score,
                     rst_rendezvous_score (search->key, sched->incarnation));
  g_hash_table_iter_init (&iterator, sched->member_history);
  while (g_hash_table_iter_next (&iterator, &name, &value))
    {
      const struct known_member *member = value;

      if (member->departed_at != 0
          && search->now - member->departed_at < search->lookback_ms
          && rst_rendezvous_score (search->key, name) > min_score)
        return true;
    }
  return false;
}

/* Whether a present member may have run the request as its home, because it
   has not known of this process for the whole lookback. */
static bool
may_be_earlier_home (const struct home_search *search, const char *incarnation)
{
  const rst_ms *informed_at
      = g_hash_table_lookup (search->sched->informed_peers, incarnation);

  if (strcmp (incarnation, search->sched->incarnation) == 0
      || rst_rendezvous_score (search->key, incarnation)
             < search->stable_score)
    return false;
  return informed_at == NULL
         || search->now - *informed_at < search->lookback_ms;
}

/* An inquiry about a query at its earlier homes; @unreachable if there is no
   link to one of them. */
struct home_inquiry
{
  struct home_search *search;
  struct query *query;
  bool unreachable;
};

static void
ask_earlier_homes (const struct rst_zone *zone, void *userdata)
{
  struct home_inquiry *inquiry = userdata;
  struct rst_scheduler *sched = inquiry->search->sched;
  struct rst_message message = { 0 };

  message.type = RST_REQUEST_RECORD_QUERY;
  message.record.key = (char *)inquiry->search->key;
  for (int i = 0; i < zone->member_count; i++)
    {
      const char *incarnation = zone->members[i].incarnation;

      if (!may_be_earlier_home (inquiry->search, incarnation))
        continue;
      if (sched_send (sched, sched_find_link (sched, incarnation), &message))
        inquiry->query->pending_home_replies++;
      else
        inquiry->unreachable = true;
    }
}

/* Decides whether a request that is not known here may be run.  Earlier homes
   are not asked about an idempotent one, since it may run twice. */
enum record_check
sched_record_check (struct query *query)
{
  struct rst_scheduler *sched = query->sched;
  struct home_search search = { sched,
                                query->record_key,
                                sched_now (sched),
                                get_lookback_ms (sched),
                                NULL,
                                0,
                                0 };
  struct home_inquiry inquiry = { &search, query, false };

  rst_settings_visit_zone_records (sched->settings, score_members, &search);
  if (search.home == NULL || strcmp (search.home, sched->incarnation) != 0)
    return RECORD_HOME_ELSEWHERE;
  if (query->idempotent)
    return RECORD_NEW;
  if (may_have_lost_home (&search))
    return RECORD_IN_DOUBT;
  rst_settings_visit_zone_records (sched->settings, ask_earlier_homes,
                                   &inquiry);
  if (inquiry.unreachable)
    {
      query->pending_home_replies = 0;
      return RECORD_IN_DOUBT;
    }
  query->home_reply_deadline = search.now + HOME_REPLY_TIMEOUT_MS;
  return query->pending_home_replies > 0 ? RECORD_AWAITING_REPLIES
                                         : RECORD_NEW;
}

/* ---- Messages ---------------------------------------------------------- */

/* Once another member has been told that a request is not known here, it must
   not run here. */
static void
mark_home_moved (struct rst_scheduler *sched, const char *key)
{
  struct request_record *record = g_new0 (struct request_record, 1);

  g_strlcpy (record->key, key, sizeof record->key);
  record->home_moved = true;
  record->expires_at = sched_now (sched) + get_lookback_ms (sched);
  g_hash_table_insert (sched->request_records, record->key, record);
}

void
sched_record_handle_request (struct rst_scheduler *sched, uint64_t link,
                             const struct rst_message *message)
{
  const char *key = message->record.key;
  const struct request_record *record
      = g_hash_table_lookup (sched->request_records, key);
  struct rst_message reply = { 0 };
  const struct rst_answer *answer;

  reply.type = RST_REQUEST_RECORD;
  reply.record.key = (char *)key;
  if (record == NULL)
    mark_home_moved (sched, key);
  else if (record->running_query != NULL)
    reply.record.state = RST_REQUEST_RECORD_RUNNING;
  else if (!record->home_moved)
    {
      answer = &record->answer.answer;
      reply.record.state = RST_REQUEST_RECORD_ENDED;
      reply.record.outcome = answer->outcome;
      reply.record.status = answer->status;
      reply.record.reason = answer->reason;
      reply.record.detail = answer->detail;
      reply.record.instance = answer->instance;
      reply.record.epoch = answer->epoch;
      reply.record.body = answer->body;
    }
  sched_send (sched, link, &reply);
}

/* Ends a query with the outcome that an earlier home has recorded. */
static void
end_with_recorded_answer (struct query *query,
                          const struct rst_request_record *record)
{
  struct rst_answer answer = { 0 };

  answer.outcome = record->outcome;
  answer.status = record->status;
  answer.reason = record->reason;
  answer.detail = record->detail;
  answer.instance = record->instance;
  answer.epoch = record->epoch;
  answer.body = record->body;
  sched_query_end (query, &answer);
}

void
sched_record_handle_reply (struct rst_scheduler *sched, uint64_t link,
                           const struct rst_message *message)
{
  const struct request_record *record
      = g_hash_table_lookup (sched->request_records, message->record.key);
  struct query *query = record != NULL ? record->running_query : NULL;

  (void)link;
  if (query == NULL || query->pending_home_replies == 0)
    return;
  if (message->record.state == RST_REQUEST_RECORD_ENDED)
    {
      query->pending_home_replies = 0;
      end_with_recorded_answer (query, &message->record);
    }
  else if (message->record.state == RST_REQUEST_RECORD_RUNNING)
    {
      query->pending_home_replies = 0;
      sched_query_end_in_doubt (query, "it runs at its earlier home");
    }
  else if (--query->pending_home_replies == 0)
    sched_query_place (query);
}
