/**
 * DOC: sched_peer - links to other processes
 *
 * Schedulers connect to the members of all zones; entries connect to
 * schedulers.  The branches of the settings are passed on over these links, so
 * that processes that cannot reach the store learn them from one that can.
 */
#include "coordination/scheduler_private.h"

#include <string.h>

#define LOG_DOMAIN "peer"

/** Mean time between two attempts to connect to peers. */
#define CONNECT_INTERVAL_MS 500

/** Digests in a row that must differ before all branches are sent again. */
#define MISMATCHES_BEFORE_RESEND 2

struct peer *
sched_find_peer_by_link (struct rst_scheduler *sched, uint64_t link)
{
  return g_hash_table_lookup (sched->peers, &link);
}

struct peer *
sched_find_peer_by_incarnation (struct rst_scheduler *sched,
                                const char *incarnation)
{
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, sched->peers);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct peer *peer = value;

      if (peer->has_greeted && strcmp (peer->incarnation, incarnation) == 0)
        return peer;
    }
  return NULL;
}

static struct peer *
find_peer_by_address (struct rst_scheduler *sched, const char *address)
{
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, sched->peers);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct peer *peer = value;

      if (strcmp (peer->address, address) == 0)
        return peer;
    }
  return NULL;
}

void
sched_peer_send_hello (struct rst_scheduler *sched, uint64_t link)
{
  struct rst_message message = { 0 };

  message.type = RST_HELLO;
  message.hello.role = RST_ROLE_SCHEDULER;
  message.hello.name = sched->config.name;
  message.hello.zone = sched->config.zone;
  message.hello.incarnation = sched->incarnation;
  message.hello.address = sched->config.address;
  message.hello.status_address = sched->config.status_address;
  sched_send (sched, link, &message);
}

static void
send_branch (struct rst_scheduler *sched, uint64_t link, const char *key,
             uint64_t revision, const char *value)
{
  struct rst_message message = { 0 };

  message.type = RST_SETTINGS_BRANCH;
  message.branch.key = (char *)key;
  message.branch.revision = revision;
  message.branch.value.data = (char *)value;
  message.branch.value.length = strlen (value);
  sched_send (sched, link, &message);
}

/* Argument of push_branch(): the receiver, and the revision above which
   branches are sent. */
struct push
{
  struct rst_scheduler *sched;
  uint64_t link;
  uint64_t newer_than;
};

static void
push_branch (const char *key, uint64_t revision, const char *value,
             void *userdata)
{
  const struct push *push = userdata;

  if (revision > push->newer_than)
    send_branch (push->sched, push->link, key, revision, value);
}

static void
push_newer_branches (struct rst_scheduler *sched, uint64_t link,
                     uint64_t newer_than)
{
  struct push push = { sched, link, newer_than };

  rst_settings_visit_branches (sched->settings, push_branch, &push);
}

/* Passes a branch that was applied here on to the entries. */
void
sched_peer_push_branch (struct rst_scheduler *sched, const char *key,
                        uint64_t revision, const char *value)
{
  GHashTableIter iterator;
  gpointer item;

  g_hash_table_iter_init (&iterator, sched->peers);
  while (g_hash_table_iter_next (&iterator, NULL, &item))
    {
      const struct peer *peer = item;

      /* Schedulers watch the store, or else receive branches when digests
         differ. */
      if (peer->has_greeted && peer->role == RST_ROLE_ENTRY)
        send_branch (sched, peer->link, key, revision, value);
    }
}

static struct peer *
open_link (struct rst_scheduler *sched, const char *address)
{
  uint64_t link = sched->links->connect (sched->links_data, address);
  struct peer *peer;

  if (link == 0)
    return NULL;
  peer = g_new0 (struct peer, 1);
  peer->link = link;
  peer->outgoing = true;
  peer->opened_order = sched_next_id (sched);
  g_strlcpy (peer->address, address, RST_ADDRESS_SIZE);
  g_hash_table_insert (sched->peers, &peer->link, peer);
  return peer;
}

/* A member that is recorded at the peer's address has stopped if another
   incarnation answers there on a link that was opened after the member was
   recorded.  An incoming link proves nothing, since its hello may have been
   sent before the member was recorded; then a link is opened as a probe. */
static void
check_member_stopped (struct rst_scheduler *sched, const struct peer *peer,
                      const struct rst_member *member)
{
  uint64_t first_seen
      = sched_member_get_first_seen (sched, member->incarnation);
  struct peer *probe;

  if (strcmp (member->address, peer->address) != 0
      || strcmp (member->incarnation, peer->incarnation) == 0)
    return;
  if (peer->outgoing && peer->opened_order > first_seen)
    sched_member_note_stopped (sched, member->incarnation);
  else if (!peer->outgoing)
    {
      probe = open_link (sched, member->address);
      if (probe != NULL)
        probe->is_probe = true;
    }
}

static void
check_members_at_address (struct rst_scheduler *sched, const struct peer *peer)
{
  const struct rst_zone *zone = sched_get_zone (sched);

  for (int i = 0; zone != NULL && i < zone->member_count; i++)
    check_member_stopped (sched, peer, &zone->members[i]);
}

static void
copy_hello (struct peer *peer, const struct rst_hello *hello)
{
  peer->has_greeted = true;
  peer->role = hello->role;
  g_strlcpy (peer->name, hello->name, RST_NAME_SIZE);
  g_strlcpy (peer->zone, hello->zone, RST_NAME_SIZE);
  g_strlcpy (peer->incarnation, hello->incarnation, RST_NAME_SIZE);
  g_strlcpy (peer->address, hello->address, RST_ADDRESS_SIZE);
  g_strlcpy (peer->status_address, hello->status_address, RST_ADDRESS_SIZE);
}

void
sched_peer_handle_hello (struct rst_scheduler *sched, struct peer *peer,
                         const struct rst_message *message)
{
  const struct rst_hello *hello = &message->hello;
  bool is_first_hello = !peer->has_greeted;

  /* A process that greets again under a new incarnation has given up its old
     one. */
  if (!is_first_hello && strcmp (peer->incarnation, hello->incarnation) != 0)
    sched_member_note_stopped (sched, peer->incarnation);
  copy_hello (peer, hello);
  if (peer->role == RST_ROLE_SCHEDULER)
    check_members_at_address (sched, peer);
  if (peer->is_probe)
    {
      sched->links->close (sched->links_data, peer->link);
      peer->has_greeted = false;
    }
  else if (is_first_hello)
    {
      rst_debug (LOG_DOMAIN, "Peer has sent its hello.", "peer",
                 peer->incarnation);
      push_newer_branches (sched, peer->link, 0);
      sched->load_changed = true;
    }
}

void
sched_peer_handle_load (struct rst_scheduler *sched, struct peer *peer,
                        const struct rst_message *message)
{
  (void)sched;
  peer->load = message->load;
  /* The strings are freed with the message. */
  peer->load.incarnation = NULL;
  peer->load.zone = NULL;
  peer->has_load = true;
}

/* Sends the peer the branches that it lacks.  If its settings still differ
   after that, it has another version of an older branch, and all are sent. */
void
sched_peer_handle_digest (struct rst_scheduler *sched, struct peer *peer,
                          const struct rst_message *message)
{
  peer->digest_hash = message->digest.hash;
  peer->digest_newest_revision = message->digest.newest;
  if (peer->digest_hash == rst_settings_get_hash (sched->settings))
    {
      peer->digest_mismatches = 0;
      if (peer->role == RST_ROLE_SCHEDULER)
        sched_record_note_informed (sched, peer);
      return;
    }
  peer->digest_mismatches++;
  if (peer->digest_newest_revision
      < rst_settings_get_newest_revision (sched->settings))
    push_newer_branches (sched, peer->link, peer->digest_newest_revision);
  if (peer->digest_mismatches >= MISMATCHES_BEFORE_RESEND)
    {
      push_newer_branches (sched, peer->link, 0);
      peer->digest_mismatches = 0;
    }
}

static void
connect_to (struct rst_scheduler *sched, const char *address)
{
  if (strcmp (address, sched->config.address) != 0
      && find_peer_by_address (sched, address) == NULL)
    open_link (sched, address);
}

static void
connect_to_members (const struct rst_zone *zone, void *userdata)
{
  struct rst_scheduler *sched = userdata;

  /* Of two members the one with the lower address connects, so that there is
     one link between them. */
  for (int i = 0; i < zone->member_count; i++)
    if (strcmp (sched->config.address, zone->members[i].address) < 0)
      connect_to (sched, zone->members[i].address);
}

static void
connect_tick (struct rst_scheduler *sched)
{
  rst_ms now = sched_now (sched);

  if (now < sched->connect_next_at || sched->stopped)
    return;
  sched->connect_next_at = now + sched_add_jitter (sched, CONNECT_INTERVAL_MS);
  rst_settings_visit_zone_records (sched->settings, connect_to_members, sched);
  for (guint i = 0; i < sched->seed_addresses->len; i++)
    connect_to (sched, g_ptr_array_index (sched->seed_addresses, i));
}

static void
digest_tick (struct rst_scheduler *sched, struct peer *peer)
{
  rst_ms now = sched_now (sched);
  struct rst_message message = { 0 };

  if (!peer->has_greeted
      || now - peer->digest_sent_at < SCHED_DIGEST_INTERVAL_MS)
    return;
  peer->digest_sent_at = now;
  message.type = RST_SETTINGS_DIGEST;
  message.digest.hash = rst_settings_get_hash (sched->settings);
  message.digest.newest = rst_settings_get_newest_revision (sched->settings);
  sched_send (sched, peer->link, &message);
}

static void
add_load (struct rst_load *load, const struct instance *instance)
{
  const struct rst_instance_info *info = &instance->info;
  int64_t cpu = info->cpu - instance->cpu_used;

  if (info->kind == RST_RUNNER)
    {
      load->slots_total += (uint64_t)info->slots;
      load->slots_free
          += (uint64_t)MAX (info->slots - instance->slots_used, 0);
      return;
    }
  load->cpu_free += (uint64_t)MAX (cpu, 0);
  load->memory_free_mb
      += (uint64_t)MAX (info->memory_mb - instance->memory_used, 0);
  load->accelerators_free
      += (uint64_t)MAX (info->accelerators - instance->accelerators_used, 0);
  load->largest_cpu_free
      = MAX (load->largest_cpu_free, (uint64_t)MAX (cpu, 0));
}

static void
send_load (struct rst_scheduler *sched)
{
  struct rst_message message = { 0 };
  GHashTableIter iterator;
  gpointer value;

  message.type = RST_LOAD;
  message.load.incarnation = sched->incarnation;
  message.load.zone = sched->config.zone;
  message.load.queued = sched->queued_count;
  message.load.ready = rst_scheduler_is_ready (sched);
  for (guint i = 0; i < sched->owned->len; i++)
    {
      const struct instance *instance = g_ptr_array_index (sched->owned, i);

      if (sched_instance_is_usable (sched, instance))
        add_load (&message.load, instance);
    }
  g_hash_table_iter_init (&iterator, sched->peers);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    if (((struct peer *)value)->has_greeted)
      sched_send (sched, ((struct peer *)value)->link, &message);
}

static void
load_tick (struct rst_scheduler *sched)
{
  rst_ms since = sched_now (sched) - sched->load_sent_at;

  if (since < SCHED_LOAD_MIN_INTERVAL_MS
      || (!sched->load_changed && since < SCHED_LOAD_MAX_INTERVAL_MS))
    return;
  sched->load_sent_at = sched_now (sched);
  sched->load_changed = false;
  send_load (sched);
}

void
sched_peer_send_hello_to_all (struct rst_scheduler *sched)
{
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, sched->peers);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    if (((struct peer *)value)->open)
      sched_peer_send_hello (sched, ((struct peer *)value)->link);
}

void
sched_peer_tick (struct rst_scheduler *sched)
{
  GHashTableIter iterator;
  gpointer value;

  connect_tick (sched);
  g_hash_table_iter_init (&iterator, sched->peers);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    digest_tick (sched, value);
  load_tick (sched);
}
