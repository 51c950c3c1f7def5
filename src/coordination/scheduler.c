#include "coordination/scheduler_private.h"

#include <stdlib.h>
#include <string.h>

#include "state/json.h"

#define LOG_DOMAIN "scheduler"

/* A message that the scheduler sends to itself, see SCHED_LINK_SELF. */
struct local_message
{
  struct rst_message message;
  CK_STAILQ_ENTRY (local_message) entry;
};

const char *
rst_policy_name (uint64_t policy)
{
  static const char *const names[] = { "batch", "service", "gang" };

  return policy < G_N_ELEMENTS (names) ? names[policy] : "batch";
}

rst_ms
sched_now (const struct rst_scheduler *sched)
{
  return rst_clock_now (&sched->config.clock);
}

uint64_t
sched_next_id (struct rst_scheduler *sched)
{
  return ++sched->last_id;
}

rst_ms
sched_add_jitter (struct rst_scheduler *sched, rst_ms base)
{
  return base / 2 + g_rand_int_range (sched->random, 0, (gint32)base + 1);
}

const struct rst_zone *
sched_get_zone (const struct rst_scheduler *sched)
{
  return rst_settings_find_zone_record (sched->settings, sched->config.zone);
}

struct member_search
{
  const char *incarnation;
  bool found;
};

static void
match_member (const struct rst_zone *zone, void *userdata)
{
  struct member_search *search = userdata;

  if (rst_zone_find_member (zone, search->incarnation) != NULL)
    search->found = true;
}

bool
sched_is_member (const struct rst_scheduler *sched, const char *incarnation)
{
  struct member_search search = { incarnation, false };

  rst_settings_visit_zone_records (sched->settings, match_member, &search);
  return search.found;
}

void
sched_ignore_reply (const struct rst_platform_reply *reply, void *data)
{
  (void)reply;
  (void)data;
}

bool
sched_may_start (const struct rst_scheduler *sched)
{
  return !sched->stopping
         && (RST_FAULT (RST_FAULT_START_IN_REMOVED_ZONE)
             || !rst_settings_is_zone_out (sched->settings,
                                           sched->config.zone))
         && rst_tenure_is_held (sched->tenure, sched_now (sched));
}

static void
post_local_message (struct rst_scheduler *sched,
                    const struct rst_message *message)
{
  struct local_message *local = g_new0 (struct local_message, 1);

  rst_message_copy (message, &local->message);
  CK_STAILQ_INSERT_TAIL (&sched->local_messages, local, entry);
}

bool
sched_send (struct rst_scheduler *sched, uint64_t link,
            const struct rst_message *message)
{
  if (link == SCHED_LINK_SELF)
    {
      post_local_message (sched, message);
      return true;
    }
  if (link == 0)
    return false;
  sched->counters.messages_out++;
  return sched->links->send (sched->links_data, link, message);
}

uint64_t
sched_find_link (struct rst_scheduler *sched, const char *incarnation)
{
  const struct peer *peer;

  if (strcmp (incarnation, sched->incarnation) == 0)
    return SCHED_LINK_SELF;
  peer = sched_find_peer_by_incarnation (sched, incarnation);
  return peer != NULL ? peer->link : 0;
}

struct rst_scheduler *
rst_scheduler_create (const struct rst_scheduler_config *config,
                      const struct rst_platform *platform, void *platform_data,
                      const struct rst_link_ops *links, void *links_data)
{
  struct rst_scheduler *sched = g_new0 (struct rst_scheduler, 1);

  sched->config = *config;
  sched->platform = platform;
  sched->platform_data = platform_data;
  sched->links = links;
  sched->links_data = links_data;
  sched->random
      = g_rand_new_with_seed_array ((const guint32 *)&config->seed, 2);
  sched->settings = rst_settings_create ();
  sched->seed_addresses = g_ptr_array_new_with_free_func (g_free);
  sched->alive_members
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  sched->peers
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  sched->teams
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, sched_team_free);
  sched->instances = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                            sched_instance_free);
  sched->owned = g_ptr_array_new ();
  CK_LIST_INIT (&sched->takeovers);
  CK_STAILQ_INIT (&sched->local_messages);
  sched->settings_watch.sched = sched;
  sched->settings_watch.prefix = RST_KEY_SETTINGS;
  sched->shared_watch.sched = sched;
  sched->shared_watch.prefix = RST_KEY_SHARED;
  sched_query_init (sched);
  sched_task_init (sched);
  sched_record_init (sched);
  sched_job_init (sched);
  sched_member_init (sched);
  return sched;
}

static void
clear_local_messages (struct rst_scheduler *sched)
{
  struct local_message *local;

  while ((local = CK_STAILQ_FIRST (&sched->local_messages)) != NULL)
    {
      CK_STAILQ_REMOVE_HEAD (&sched->local_messages, entry);
      rst_message_clear (&local->message);
      g_free (local);
    }
}

void
rst_scheduler_destroy (struct rst_scheduler *sched)
{
  if (sched == NULL)
    return;
  sched_job_clear (sched);
  sched_query_clear (sched);
  clear_local_messages (sched);
  g_hash_table_destroy (sched->instances);
  sched_task_clear (sched);
  sched_record_clear (sched);
  g_hash_table_destroy (sched->teams);
  sched_member_clear (sched);
  g_ptr_array_free (sched->owned, TRUE);
  g_hash_table_destroy (sched->peers);
  g_hash_table_destroy (sched->alive_members);
  g_ptr_array_free (sched->seed_addresses, TRUE);
  rst_settings_destroy (sched->settings);
  g_free (sched->zone_writer.written_text);
  g_rand_free (sched->random);
  g_free (sched);
}

void
rst_scheduler_add_seed_address (struct rst_scheduler *sched,
                                const char *address)
{
  g_ptr_array_add (sched->seed_addresses, g_strdup (address));
}

static void
dispatch_peer_message (struct rst_scheduler *sched, struct peer *peer,
                       const struct rst_message *message)
{
  switch (message->type)
    {
    case RST_HELLO:
      sched_peer_handle_hello (sched, peer, message);
      break;
    case RST_PROMISE_REQUEST:
      sched_member_handle_promise_request (sched, peer, message);
      break;
    case RST_PROMISE:
      sched_member_handle_promise (sched, peer, message);
      break;
    case RST_SETTINGS_DIGEST:
      sched_peer_handle_digest (sched, peer, message);
      break;
    case RST_SETTINGS_BRANCH:
      sched_apply_branch (sched, message->branch.key, message->branch.revision,
                          message->branch.value.data);
      break;
    case RST_LOAD:
      sched_peer_handle_load (sched, peer, message);
      break;
    case RST_ADOPTED:
      sched_limit_handle_adopted (sched, peer, message);
      break;
    default:
      break;
    }
}

static void
dispatch_request_message (struct rst_scheduler *sched, uint64_t link,
                          const struct rst_message *message)
{
  switch (message->type)
    {
    case RST_QUERY:
      sched_query_handle_query (sched, link, message);
      break;
    case RST_ANSWER:
      sched_query_handle_answer (sched, link, message);
      break;
    case RST_REQUEST_RECORD_QUERY:
      sched_record_handle_request (sched, link, message);
      break;
    case RST_REQUEST_RECORD:
      sched_record_handle_reply (sched, link, message);
      break;
    case RST_JOB_CALL:
      sched_job_handle_call (sched, link, message);
      break;
    case RST_JOB_REPLY:
      sched_job_handle_reply (sched, link, message);
      break;
    case RST_TASK_START:
      sched_task_handle_start (sched, link, message);
      break;
    case RST_TASK_STOP:
      sched_task_handle_stop (sched, link, message);
      break;
    case RST_TASK_END_ACK:
      sched_task_handle_end_ack (sched, message);
      break;
    case RST_TASK_FIND:
      sched_task_handle_find (sched, link, message);
      break;
    case RST_TASK_STARTED:
    case RST_TASK_END:
    case RST_TASK_FOUND:
      sched_job_handle_task_event (sched, link, message);
      break;
    default:
      break;
    }
}

/* Handles the messages of the scheduler to itself, including those posted
   meanwhile. */
static void
dispatch_local_messages (struct rst_scheduler *sched)
{
  struct local_message *local;

  while ((local = CK_STAILQ_FIRST (&sched->local_messages)) != NULL)
    {
      CK_STAILQ_REMOVE_HEAD (&sched->local_messages, entry);
      dispatch_request_message (sched, SCHED_LINK_SELF, &local->message);
      rst_message_clear (&local->message);
      g_free (local);
    }
}

void
rst_scheduler_handle_message (struct rst_scheduler *sched, uint64_t link,
                              const struct rst_message *message)
{
  struct peer *peer = sched_find_peer_by_link (sched, link);

  if (peer == NULL)
    return;
  sched->counters.messages_in++;
  dispatch_peer_message (sched, peer, message);
  if (peer->has_greeted)
    dispatch_request_message (sched, link, message);
  dispatch_local_messages (sched);
}

static void
finish_stop_if_due (struct rst_scheduler *sched)
{
  rst_ms now = sched_now (sched);
  bool busy = sched_query_is_busy (sched);

  if (now - sched->stop_began_at > SCHED_DRAIN_TIMEOUT_MS)
    busy = false;
  if (RST_FAULT (RST_FAULT_NEVER_STOP))
    return;
  if (now - sched->stop_began_at > SCHED_STOP_TIMEOUT_MS)
    sched->stopped = true;
  if (!busy && sched->handover_done && !sched->zone_writer.write_pending)
    sched->stopped = true;
}

void
rst_scheduler_tick (struct rst_scheduler *sched)
{
  sched_store_tick (sched);
  sched_member_tick (sched);
  sched_peer_tick (sched);
  sched_instance_tick (sched);
  sched_limit_tick (sched);
  sched_query_tick (sched);
  sched_task_tick (sched);
  sched_job_tick (sched);
  dispatch_local_messages (sched);
  if (sched->stopping)
    finish_stop_if_due (sched);
}

void
rst_scheduler_handle_link_opened (struct rst_scheduler *sched, uint64_t link)
{
  struct peer *peer = sched_find_peer_by_link (sched, link);

  if (peer == NULL)
    {
      peer = g_new0 (struct peer, 1);
      peer->link = link;
      g_hash_table_insert (sched->peers, &peer->link, peer);
    }
  peer->open = true;
  sched_peer_send_hello (sched, link);
}

void
rst_scheduler_handle_link_closed (struct rst_scheduler *sched, uint64_t link)
{
  struct peer *peer = sched_find_peer_by_link (sched, link);

  if (peer != NULL)
    {
      sched_query_handle_link_closed (sched, link);
      g_hash_table_remove (sched->peers, &link);
    }
  dispatch_local_messages (sched);
}

void
rst_scheduler_begin_stop (struct rst_scheduler *sched)
{
  if (sched->stopping)
    return;
  rst_info (LOG_DOMAIN, "Planned stop begins.");
  sched->stopping = true;
  sched->stop_began_at = sched_now (sched);
  sched->load_changed = true;
}

bool
rst_scheduler_is_stopped (const struct rst_scheduler *sched)
{
  return sched->stopped;
}

bool
rst_scheduler_is_ready (const struct rst_scheduler *sched)
{
  return !sched->stopping
         && rst_settings_get_newest_revision (sched->settings) > 0
         && rst_tenure_is_held (sched->tenure, sched_now (sched));
}

const struct rst_scheduler_counters *
rst_scheduler_get_counters (const struct rst_scheduler *sched)
{
  return &sched->counters;
}

const char *
rst_scheduler_get_incarnation (const struct rst_scheduler *sched)
{
  return sched->incarnation;
}

const struct rst_settings *
rst_scheduler_get_settings (const struct rst_scheduler *sched)
{
  return sched->settings;
}

/* ---- Status ------------------------------------------------------------ */

struct branch_status
{
  struct rst_scheduler *sched;
  struct json_object *list;
};

static void
append_branch_status (const char *key, uint64_t revision, const char *value,
                      void *userdata)
{
  struct branch_status *status = userdata;
  struct json_object *item = json_object_new_object ();
  uint64_t refused_revision;
  const char *problem = rst_settings_get_problem (status->sched->settings, key,
                                                  &refused_revision);

  (void)value;
  rst_json_set_text (item, "key", key);
  rst_json_set_number (item, "revision", (int64_t)revision);
  if (problem != NULL)
    {
      rst_json_set_number (item, "refused_revision",
                           (int64_t)refused_revision);
      rst_json_set_text (item, "problem", problem);
    }
  json_object_array_add (status->list, item);
}

static struct json_object *
format_entries (struct rst_scheduler *sched)
{
  struct json_object *list = json_object_new_array ();
  uint64_t hash = rst_settings_get_hash (sched->settings);
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, sched->peers);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct peer *peer = value;
      struct json_object *item;

      if (!peer->has_greeted || peer->role != RST_ROLE_ENTRY)
        continue;
      item = json_object_new_object ();
      rst_json_set_text (item, "name", peer->name);
      rst_json_set_text (item, "address", peer->status_address);
      rst_json_set_number (item, "newest",
                           (int64_t)peer->digest_newest_revision);
      rst_json_set_bool (item, "same_settings", peer->digest_hash == hash);
      json_object_array_add (list, item);
    }
  return list;
}

static struct json_object *
format_instances (struct rst_scheduler *sched)
{
  struct json_object *list = json_object_new_array ();

  for (guint i = 0; i < sched->owned->len; i++)
    {
      const struct instance *instance = g_ptr_array_index (sched->owned, i);
      struct json_object *item = json_object_new_object ();

      rst_json_set_text (item, "name", instance->info.name);
      rst_json_set_number (item, "epoch", (int64_t)instance->epoch);
      rst_json_set_bool (item, "ready", instance->phase == INSTANCE_READY);
      rst_json_set_bool (item, "leaving", instance->info.leaving);
      rst_json_set_number (item, "slots", instance->info.slots);
      rst_json_set_number (item, "slots_used", instance->slots_used);
      rst_json_set_number (item, "cpu", instance->info.cpu);
      rst_json_set_number (item, "cpu_used", instance->cpu_used);
      rst_json_set_number (item, "memory_mb", instance->info.memory_mb);
      rst_json_set_number (item, "memory_used", instance->memory_used);
      json_object_array_add (list, item);
    }
  return list;
}

static struct json_object *
format_teams (struct rst_scheduler *sched)
{
  struct json_object *list = json_object_new_array ();
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, sched->teams);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct team *team = value;
      struct json_object *item = json_object_new_object ();

      rst_json_set_text (item, "name", team->name);
      rst_json_set_number (item, "part", team->granted);
      rst_json_set_number (item, "running", team->run_count);
      rst_json_set_number (item, "waiting", team->queued_count);
      rst_json_set_number (item, "handed_over", team->handed_over_count);
      rst_json_set_bool (item, "limit_write_pending", team->write_pending);
      json_object_array_add (list, item);
    }
  return list;
}

char *
rst_scheduler_format_status (struct rst_scheduler *sched)
{
  struct json_object *root = json_object_new_object ();
  struct branch_status branches = { sched, json_object_new_array () };
  rst_ms now = sched_now (sched);
  const char *missing = rst_tenure_find_missing_promise (sched->tenure, now);

  rst_json_set_text (root, "name", sched->config.name);
  rst_json_set_text (root, "availability_zone", sched->config.zone);
  rst_json_set_text (root, "incarnation", sched->incarnation);
  rst_json_set_bool (root, "ready", rst_scheduler_is_ready (sched));
  rst_json_set_bool (root, "tenure_held",
                     rst_tenure_is_held (sched->tenure, now));
  if (missing != NULL)
    rst_json_set_text (root, "promise_missing_from", missing);
  rst_json_set_number (
      root, "newest",
      (int64_t)rst_settings_get_newest_revision (sched->settings));
  rst_settings_visit_branches (sched->settings, append_branch_status,
                               &branches);
  json_object_object_add (root, "branches", branches.list);
  json_object_object_add (root, "entries", format_entries (sched));
  json_object_object_add (root, "instances", format_instances (sched));
  json_object_object_add (root, "teams", format_teams (sched));
  sched_job_add_status (sched, root);
  return rst_json_format_and_release (root);
}
