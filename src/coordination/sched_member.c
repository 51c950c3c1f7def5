/**
 * DOC: sched_member - registration, tenure and takeover
 *
 * A process registers in three steps.  It writes its alive key, which the
 * store deletes when the store lease expires; its member record, which other
 * members overwrite to end its tenure; and its entry in the ownership record.
 * docs/OWNERSHIP.md gives the argument why an instance never has two owners.
 */
#include "coordination/sched_member_private.h"

#include <stdlib.h>
#include <string.h>

#define LOG_DOMAIN "member"

/** Number of renewals sent in one time to live of the store lease. */
#define RENEWALS_PER_LEASE 3

char *
sched_member_build_alive_key (const struct rst_scheduler *sched,
                              const char *incarnation)
{
  return g_strdup_printf ("shared/alive/%s/%s", sched->config.zone,
                          incarnation);
}

char *
sched_member_build_record_key (const struct rst_scheduler *sched,
                               const char *incarnation)
{
  return g_strdup_printf ("members/%s/%s", sched->config.zone, incarnation);
}

/* Begins an incarnation with a new unique name; the caller has freed what
   belonged to the previous one. */
static void
begin_incarnation (struct rst_scheduler *sched)
{
  rst_ms now = sched_now (sched);

  sched->incarnation_number++;
  g_snprintf (sched->incarnation, sizeof sched->incarnation, "%s:%s:%08x%02x",
              sched->config.zone, sched->config.name,
              g_rand_int (sched->random),
              (unsigned)(sched->incarnation_number & 0xff));
  sched->tenure
      = rst_tenure_create (&sched->config.tenure, sched->incarnation);
  sched->promises = rst_promises_create (&sched->config.tenure, now);
  sched->session = SESSION_NONE;
  sched->session_next_at = 0;
  sched->member_record_revision = 0;
  sched->member_write_number = 0;
  sched->declared_view = 0;
  sched->joined_revision = 0;
  sched_record_begin_incarnation (sched);
}

static void
free_incarnation (struct rst_scheduler *sched)
{
  rst_tenure_destroy (sched->tenure);
  rst_promises_destroy (sched->promises);
  g_free (sched->declared_members);
  g_free (sched->declaring_members);
  sched->declared_members = NULL;
  sched->declaring_members = NULL;
}

void
sched_member_init (struct rst_scheduler *sched)
{
  sched->stopped_members
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  sched->first_seen_order
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  begin_incarnation (sched);
}

void
sched_member_clear (struct rst_scheduler *sched)
{
  struct takeover *takeover;

  free_incarnation (sched);
  g_free (sched->last_member_list);
  g_hash_table_destroy (sched->stopped_members);
  g_hash_table_destroy (sched->first_seen_order);
  while ((takeover = CK_LIST_FIRST (&sched->takeovers)) != NULL)
    {
      CK_LIST_REMOVE (takeover, entry);
      g_free (takeover);
    }
}

/* Another member has ended this tenure: drops all instances, parts of limits
   and jobs, and goes on as a new incarnation. */
static void
handle_tenure_lost (struct rst_scheduler *sched)
{
  rst_warning (LOG_DOMAIN,
               "Another member ended the tenure; all instances are dropped.",
               "incarnation", sched->incarnation);
  sched->counters.fenced++;
  rst_tenure_end (sched->tenure);
  sched_instance_drop_all (sched);
  sched_limit_reset (sched);
  sched_job_drop_all (sched);
  free_incarnation (sched);
  begin_incarnation (sched);
  sched_peer_send_hello_to_all (sched);
  sched->load_changed = true;
}

/* The incarnations of all members as one text, to be compared with others and
   freed with g_free(). */
static char *
format_members (const struct rst_zone *zone)
{
  GString *text = g_string_new ("");

  for (int i = 0; i < zone->member_count; i++)
    g_string_append_printf (text, "%s ", zone->members[i].incarnation);
  return g_string_free (text, FALSE);
}

/* The write of the member record has taken effect. */
static void
finish_member_write (struct rst_scheduler *sched, uint64_t revision,
                     rst_ms sent_at)
{
  sched->member_write_pending = false;
  sched->member_record_revision = revision;
  if (sched->declaring_view > sched->declared_view)
    {
      sched->declared_view = sched->declaring_view;
      rst_tenure_confirm_view (sched->tenure, sched->declared_view);
      g_free (sched->declared_members);
      sched->declared_members = sched->declaring_members;
      sched->declaring_members = NULL;
    }
  if (sched->session == SESSION_ANNOUNCED)
    {
      sched->session = SESSION_REGISTERED;
      sched->lease_renewal_next_at = 0;
      rst_info (LOG_DOMAIN, "Registered.", "incarnation", sched->incarnation);
      /* The lease began with its grant, before this write. */
      rst_tenure_record_renewal (sched->tenure,
                                 MIN (sched->lease_granted_at, sent_at));
    }
}

/* Tells from the stored member record whether the write under way has taken
   effect, and whether another member has ended the tenure. */
static void
on_own_record_read (const struct rst_platform_reply *reply, void *data)
{
  struct rst_scheduler *sched = data;
  struct rst_member_record record;

  if (sched->member_write_incarnation_number != sched->incarnation_number)
    {
      sched->member_write_pending = false;
      return;
    }
  if (reply->result == RST_PLATFORM_NOT_FOUND
      && sched->member_record_revision != 0)
    {
      sched->member_write_pending = false;
      handle_tenure_lost (sched);
      return;
    }
  if (reply->result == RST_PLATFORM_OK && reply->kv_count == 1
      && rst_member_record_parse (reply->kvs[0].value, &record) == RST_OK)
    {
      if (record.fenced_by[0] != '\0')
        {
          sched->member_write_pending = false;
          handle_tenure_lost (sched);
          return;
        }
      sched->member_record_revision = reply->kvs[0].revision;
      if (record.touch == sched->member_write_number)
        {
          finish_member_write (sched, reply->kvs[0].revision, reply->sent_at);
          return;
        }
    }
  sched->member_write_pending = false;
  sched->member_write_next_at
      = sched_now (sched) + sched_add_jitter (sched, SCHED_STORE_RETRY_MS);
}

static void
read_own_record (struct rst_scheduler *sched)
{
  char *key = sched_member_build_record_key (sched, sched->incarnation);

  sched->counters.store_reads++;
  sched->platform->store_get (sched->platform_data, key, on_own_record_read,
                              sched);
  g_free (key);
}

static void
on_own_record_written (const struct rst_platform_reply *reply, void *data)
{
  struct rst_scheduler *sched = data;

  if (sched->member_write_incarnation_number != sched->incarnation_number)
    sched->member_write_pending = false;
  else if (reply->result == RST_PLATFORM_OK)
    finish_member_write (sched, reply->revision, reply->sent_at);
  else
    read_own_record (sched);
}

/* Writes the own member record, and with it declares the newest view. */
static void
write_own_record (struct rst_scheduler *sched)
{
  const struct rst_zone *zone = sched_get_zone (sched);
  struct rst_member_record record = { 0 };
  char *key;
  char *text;

  if (sched->member_write_pending
      || sched_now (sched) < sched->member_write_next_at)
    return;
  sched->member_write_pending = true;
  sched->member_write_incarnation_number = sched->incarnation_number;
  if (zone != NULL)
    {
      rst_tenure_declare_view (sched->tenure, zone);
      sched->declaring_view = zone->revision;
      g_free (sched->declaring_members);
      sched->declaring_members = format_members (zone);
    }
  g_strlcpy (record.incarnation, sched->incarnation, RST_NAME_SIZE);
  record.view = sched->declaring_view;
  record.touch = ++sched->member_write_number;
  key = sched_member_build_record_key (sched, sched->incarnation);
  text = rst_member_record_format (&record);
  sched->counters.store_writes++;
  sched->platform->store_put (sched->platform_data, key, text,
                              (int64_t)sched->member_record_revision, 0,
                              on_own_record_written, sched);
  free (text);
  g_free (key);
}

static void
delay_session_retry (struct rst_scheduler *sched)
{
  sched->session_next_at
      = sched_now (sched) + sched_add_jitter (sched, SCHED_STORE_RETRY_MS);
}

static void
on_lease_granted (const struct rst_platform_reply *reply, void *data)
{
  struct rst_scheduler *sched = data;

  sched->session_call_pending = false;
  if (sched->session_incarnation_number != sched->incarnation_number)
    return;
  if (reply->result != RST_PLATFORM_OK)
    {
      delay_session_retry (sched);
      return;
    }
  sched->lease_id = reply->revision;
  sched->lease_granted_at = reply->sent_at;
  sched->session = SESSION_LEASED;
}

static void
on_alive_key_written (const struct rst_platform_reply *reply, void *data)
{
  struct rst_scheduler *sched = data;

  sched->session_call_pending = false;
  if (sched->session_incarnation_number != sched->incarnation_number)
    return;
  if (reply->result == RST_PLATFORM_OK)
    sched->session = SESSION_ANNOUNCED;
  else if (reply->result == RST_PLATFORM_NOT_FOUND)
    sched->session = SESSION_NONE;
  else
    delay_session_retry (sched);
}

static void
write_alive_key (struct rst_scheduler *sched)
{
  char *key = sched_member_build_alive_key (sched, sched->incarnation);

  sched->counters.store_writes++;
  sched->platform->store_put (sched->platform_data, key, "{}",
                              RST_ANY_REVISION, sched->lease_id,
                              on_alive_key_written, sched);
  g_free (key);
}

static void
on_lease_renewed (const struct rst_platform_reply *reply, void *data)
{
  struct rst_scheduler *sched = data;

  sched->lease_renewal_pending = false;
  if (sched->session != SESSION_REGISTERED
      || sched->renewal_incarnation_number != sched->incarnation_number)
    return;
  if (reply->result == RST_PLATFORM_OK && reply->revision == sched->lease_id)
    rst_tenure_record_renewal (sched->tenure, reply->sent_at);
  else if (reply->result == RST_PLATFORM_NOT_FOUND)
    {
      rst_warning (LOG_DOMAIN,
                   "Store lease has expired; the process registers again.",
                   "incarnation", sched->incarnation);
      rst_tenure_drop_lease (sched->tenure);
      sched->session = SESSION_NONE;
    }
}

static void
renew_lease (struct rst_scheduler *sched)
{
  rst_ms now = sched_now (sched);

  if (sched->lease_renewal_pending || now < sched->lease_renewal_next_at)
    return;
  sched->lease_renewal_pending = true;
  sched->renewal_incarnation_number = sched->incarnation_number;
  sched->lease_renewal_next_at
      = now + sched->config.tenure.lease_ms / RENEWALS_PER_LEASE;
  sched->counters.store_writes++;
  sched->platform->lease_renew (sched->platform_data, sched->lease_id,
                                on_lease_renewed, sched);
}

/* Takes the next step of the registration, or renews the lease. */
static void
session_tick (struct rst_scheduler *sched)
{
  if (sched->session_call_pending
      || sched_now (sched) < sched->session_next_at)
    return;
  sched->session_incarnation_number = sched->incarnation_number;
  switch (sched->session)
    {
    case SESSION_NONE:
      sched->session_call_pending = true;
      sched->counters.store_writes++;
      sched->platform->lease_grant (sched->platform_data,
                                    sched->config.tenure.lease_ms,
                                    on_lease_granted, sched);
      break;
    case SESSION_LEASED:
      sched->session_call_pending = true;
      write_alive_key (sched);
      break;
    case SESSION_ANNOUNCED:
      write_own_record (sched);
      break;
    case SESSION_REGISTERED:
      renew_lease (sched);
      break;
    }
}

static bool
add_self (struct rst_scheduler *sched, struct rst_zone *zone, void *data)
{
  struct rst_member member = { 0 };

  (void)data;
  g_strlcpy (member.name, sched->config.name, RST_NAME_SIZE);
  g_strlcpy (member.incarnation, sched->incarnation, RST_NAME_SIZE);
  g_strlcpy (member.address, sched->config.address, RST_ADDRESS_SIZE);
  g_strlcpy (member.status_address, sched->config.status_address,
             RST_ADDRESS_SIZE);
  return rst_zone_add_member (zone, &member) == RST_OK;
}

static void
on_joined (struct rst_scheduler *sched, bool ok)
{
  if (ok)
    rst_info (LOG_DOMAIN,
              "The ownership record lists this process as a member.",
              "incarnation", sched->incarnation);
}

bool
sched_member_is_registered (const struct rst_scheduler *sched)
{
  return sched->session == SESSION_REGISTERED;
}

static void
join_tick (struct rst_scheduler *sched)
{
  const struct rst_zone *zone = sched_get_zone (sched);

  if (sched->stopping || !sched_member_is_registered (sched))
    return;
  if (zone == NULL || sched->joined_revision == 0)
    sched_zone_update (sched, add_self, NULL, on_joined);
}

/* Declares the newest view if its members differ from those of the view that
   was declared last. */
static void
declare_tick (struct rst_scheduler *sched)
{
  const struct rst_zone *zone = sched_get_zone (sched);
  char *members;

  if (zone == NULL || sched->joined_revision == 0
      || !sched_member_is_registered (sched)
      || zone->revision <= sched->declared_view)
    return;
  members = format_members (zone);
  if (sched->declared_members == NULL
      || strcmp (members, sched->declared_members) != 0
      || sched->declared_view < sched->joined_revision)
    write_own_record (sched);
  g_free (members);
}

void
sched_member_add_takeover (struct rst_scheduler *sched,
                           const char *incarnation)
{
  struct takeover *takeover;

  CK_LIST_FOREACH (takeover, &sched->takeovers, entry)
  if (strcmp (takeover->member, incarnation) == 0)
    return;
  takeover = g_new0 (struct takeover, 1);
  takeover->sched = sched;
  takeover->noticed_at = sched_now (sched);
  g_strlcpy (takeover->member, incarnation, RST_NAME_SIZE);
  CK_LIST_INSERT_HEAD (&sched->takeovers, takeover, entry);
}

/* Only one process can listen on an address, so another member recorded with
   the own address has stopped. */
static void
note_stopped_predecessors (struct rst_scheduler *sched,
                           const struct rst_zone *zone)
{
  for (int i = 0; i < zone->member_count; i++)
    if (strcmp (zone->members[i].address, sched->config.address) == 0
        && strcmp (zone->members[i].incarnation, sched->incarnation) != 0)
      sched_member_note_stopped (sched, zone->members[i].incarnation);
}

/* Notes the order in which members were first found in the record. */
static void
record_first_seen (struct rst_scheduler *sched, const struct rst_zone *zone)
{
  for (int i = 0; i < zone->member_count; i++)
    {
      const char *incarnation = zone->members[i].incarnation;
      uint64_t *order;

      if (g_hash_table_contains (sched->first_seen_order, incarnation))
        continue;
      order = g_new (uint64_t, 1);
      *order = sched_next_id (sched);
      g_hash_table_insert (sched->first_seen_order, g_strdup (incarnation),
                           order);
    }
}

/* Lists the jobs at once when members have changed, since the jobs of a member
   that has left need a new owner. */
static void
update_member_list (struct rst_scheduler *sched, const struct rst_zone *zone)
{
  char *members = format_members (zone);

  if (sched->last_member_list == NULL
      || strcmp (members, sched->last_member_list) != 0)
    sched->jobs_list_next_at = 0;
  g_free (sched->last_member_list);
  sched->last_member_list = members;
}

/* The order in which the member was first found in the ownership record;
   UINT64_MAX if it never was. */
uint64_t
sched_member_get_first_seen (const struct rst_scheduler *sched,
                             const char *incarnation)
{
  const uint64_t *order
      = g_hash_table_lookup (sched->first_seen_order, incarnation);

  return order != NULL ? *order : UINT64_MAX;
}

/* Applies a new revision of the own zone's ownership record. */
void
sched_member_apply_zone (struct rst_scheduler *sched)
{
  const struct rst_zone *zone = sched_get_zone (sched);
  bool is_member = rst_zone_find_member (zone, sched->incarnation) != NULL;

  if (is_member && sched->joined_revision == 0)
    sched->joined_revision = zone->revision;
  else if (!is_member && sched->joined_revision != 0 && !sched->stopping)
    handle_tenure_lost (sched);
  record_first_seen (sched, zone);
  note_stopped_predecessors (sched, zone);
  update_member_list (sched, zone);
}

static bool
is_zone_scheduler (const struct rst_scheduler *sched, const struct peer *peer)
{
  return peer->has_greeted && peer->role == RST_ROLE_SCHEDULER
         && strcmp (peer->zone, sched->config.zone) == 0;
}

static void
request_promise (struct rst_scheduler *sched, struct peer *peer)
{
  struct rst_message message = { 0 };

  peer->promise_request_number = sched_next_id (sched);
  peer->promise_requested_at = sched_now (sched);
  message.type = RST_PROMISE_REQUEST;
  message.promise.incarnation = sched->incarnation;
  message.promise.number = peer->promise_request_number;
  sched_send (sched, peer->link, &message);
}

static void
promises_tick (struct rst_scheduler *sched)
{
  rst_ms now = sched_now (sched);
  GHashTableIter iterator;
  gpointer value;

  if (now < sched->promise_next_at || sched->joined_revision == 0)
    return;
  sched->promise_next_at = now + SCHED_PROMISE_INTERVAL_MS;
  g_hash_table_iter_init (&iterator, sched->peers);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    if (is_zone_scheduler (sched, value))
      request_promise (sched, value);
}

void
sched_member_handle_promise_request (struct rst_scheduler *sched,
                                     struct peer *peer,
                                     const struct rst_message *message)
{
  struct rst_message reply = { 0 };
  rst_ms duration;

  if (!is_zone_scheduler (sched, peer))
    return;
  duration = rst_promises_issue (sched->promises, message->promise.incarnation,
                                 sched_now (sched));
  reply.type = RST_PROMISE;
  reply.promise.incarnation = sched->incarnation;
  reply.promise.number = message->promise.number;
  reply.promise.duration_ms = (uint64_t)duration;
  sched_send (sched, peer->link, &reply);
}

void
sched_member_handle_promise (struct rst_scheduler *sched, struct peer *peer,
                             const struct rst_message *message)
{
  if (message->promise.number != peer->promise_request_number)
    return;
  rst_tenure_record_promise (sched->tenure, message->promise.incarnation,
                             peer->promise_requested_at,
                             (rst_ms)message->promise.duration_ms);
}

/* Gives each own instance to one of the other live members, if there is any,
   and removes this process from the members. */
static bool
hand_over_and_leave (struct rst_scheduler *sched, struct rst_zone *zone,
                     void *data)
{
  const char *others[RST_MEMBERS_MAX];
  int count = 0;

  (void)data;
  for (int i = 0; i < zone->member_count; i++)
    if (strcmp (zone->members[i].incarnation, sched->incarnation) != 0
        && g_hash_table_contains (sched->alive_members,
                                  zone->members[i].incarnation))
      others[count++] = zone->members[i].incarnation;
  for (int i = 0; i < zone->owned_count; i++)
    {
      int pick = rst_rendezvous_pick (zone->owned[i].instance, others, count);

      if (pick >= 0 && strcmp (zone->owned[i].owner, sched->incarnation) == 0)
        rst_zone_hand_over (zone, zone->owned[i].instance, others[pick]);
    }
  return rst_zone_remove_member (zone, sched->incarnation) == RST_OK;
}

static void
on_handed_over (struct rst_scheduler *sched, bool ok)
{
  if (!ok)
    return;
  rst_info (LOG_DOMAIN, "All instances have been handed over.");
  sched->handover_done = true;
  sched_member_delete_record (sched, sched->incarnation);
  sched->counters.store_writes++;
  sched->platform->lease_revoke (sched->platform_data, sched->lease_id,
                                 sched_ignore_reply, sched);
}

/* Hands the instances over before a planned stop.  A process that is no
   member, or could not reach the store in half the drain time, stops without
   it. */
static void
stop_tick (struct rst_scheduler *sched)
{
  const struct rst_zone *zone = sched_get_zone (sched);

  if (sched->handover_done)
    return;
  if (zone == NULL || sched->joined_revision == 0
      || rst_zone_find_member (zone, sched->incarnation) == NULL
      || sched_now (sched) - sched->stop_began_at > SCHED_DRAIN_TIMEOUT_MS / 2)
    sched->handover_done = true;
  else if (sched_member_is_registered (sched))
    sched_zone_update (sched, hand_over_and_leave, NULL, on_handed_over);
}

void
sched_member_tick (struct rst_scheduler *sched)
{
  bool held = rst_tenure_is_held (sched->tenure, sched_now (sched));

  if (held != sched->tenure_was_held)
    {
      sched->tenure_was_held = held;
      sched->load_changed = true;
      rst_info (LOG_DOMAIN,
                held ? "Tenure is held; runs may be started."
                     : "Tenure is not held; nothing is started.",
                "incarnation", sched->incarnation);
    }
  if (sched->stopping)
    stop_tick (sched);
  if (!sched->handover_done)
    session_tick (sched);
  join_tick (sched);
  declare_tick (sched);
  sched_member_takeovers_tick (sched);
  promises_tick (sched);
}
