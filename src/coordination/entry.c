#include "coordination/entry_private.h"

#include <stdlib.h>
#include <string.h>
#include <glib.h>

#define LOG_DOMAIN "route"

/** Mean interval between attempts to connect to schedulers. */
#define CONNECT_INTERVAL_MS 300

/** Interval between digests of the settings sent to schedulers. */
#define DIGEST_INTERVAL_MS 1000

/** Interval between checks for expired requests. */
#define EXPIRE_INTERVAL_MS 25

/** Thousandths of a retry that each request adds to the retry budget. */
#define RETRY_PER_REQUEST_PERMILLE 200

/** Maximum balance of the retry budget, in retries. */
#define RETRY_BALANCE_MAX 100

rst_ms
rst_entry_now (const struct rst_entry *entry)
{
  return rst_clock_now (&entry->config.clock);
}

static void
free_pending (gpointer data)
{
  struct pending_request *pending = data;

  rst_message_clear (&pending->message);
  g_free (pending);
}

struct rst_entry *
rst_entry_create (const struct rst_entry_config *config,
                  const struct rst_link_ops *links, void *links_data,
                  rst_entry_reply_callback reply_callback)
{
  struct rst_entry *entry = g_new0 (struct rst_entry, 1);

  entry->config = *config;
  entry->links = links;
  entry->links_data = links_data;
  entry->reply_callback = reply_callback;
  entry->random
      = g_rand_new_with_seed_array ((const guint32 *)&config->seed, 2);
  entry->settings = rst_settings_create ();
  entry->peers
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  entry->pending = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                          free_pending);
  entry->seed_addresses = g_ptr_array_new_with_free_func (g_free);
  rst_retry_budget_init (&entry->retry_budget, RETRY_PER_REQUEST_PERMILLE,
                         RETRY_BALANCE_MAX);
  return entry;
}

void
rst_entry_add_seed_address (struct rst_entry *entry, const char *address)
{
  g_ptr_array_add (entry->seed_addresses, g_strdup (address));
}

void
rst_entry_count_outcome (struct rst_entry *entry, uint64_t outcome)
{
  if (outcome == RST_REQUEST_ANSWERED)
    entry->counters.answered++;
  else if (outcome == RST_REQUEST_NOT_RUN)
    entry->counters.not_run++;
  else
    entry->counters.unknown++;
}

void
rst_entry_reply_error (struct rst_entry *entry, void *handle, unsigned status,
                       uint64_t outcome, const char *reason,
                       const char *detail)
{
  struct json_object *root = json_object_new_object ();
  struct rst_entry_reply reply = { 0 };
  char *text;

  rst_json_set_text (root, "outcome", rst_request_outcome_name (outcome));
  rst_json_set_text (root, "reason", reason);
  rst_json_set_text (root, "detail", detail);
  text = rst_json_format_and_release (root);
  reply.status = status;
  reply.body = text;
  reply.length = strlen (text);
  reply.retry_after_s = status == 503 || status == 429 ? 1 : 0;
  rst_entry_count_outcome (entry, outcome);
  entry->reply_callback (handle, &reply);
  free (text);
}

struct scheduler_peer *
rst_entry_find_peer (struct rst_entry *entry, uint64_t link)
{
  return g_hash_table_lookup (entry->peers, &link);
}

void
rst_entry_remove_pending (struct rst_entry *entry,
                          struct pending_request *pending)
{
  struct scheduler_peer *peer = rst_entry_find_peer (entry, pending->link);

  if (peer != NULL)
    peer->sent_since_load_report--;
  g_hash_table_remove (entry->pending, &pending->id);
}

void
rst_entry_fail_pending (struct rst_entry *entry,
                        struct pending_request *pending, unsigned status,
                        uint64_t outcome, const char *reason,
                        const char *detail)
{
  /* An earlier attempt may have run, so that it can't be reported as not
     run. */
  if (outcome == RST_REQUEST_NOT_RUN && pending->may_have_run)
    {
      outcome = RST_REQUEST_OUTCOME_UNKNOWN;
      status = 504;
    }
  rst_entry_reply_error (entry, pending->handle, status, outcome, reason,
                         detail);
  rst_entry_remove_pending (entry, pending);
}

void
rst_entry_handle_link_opened (struct rst_entry *entry, uint64_t link)
{
  struct scheduler_peer *peer = rst_entry_find_peer (entry, link);
  struct rst_message message = { 0 };

  if (peer == NULL)
    return;
  peer->open = true;
  peer->last_message_at = rst_entry_now (entry);
  message.type = RST_HELLO;
  message.hello.role = RST_ROLE_ENTRY;
  message.hello.name = entry->config.name;
  message.hello.zone = entry->config.zone;
  message.hello.address = entry->config.address;
  message.hello.status_address = entry->config.address;
  entry->links->send (entry->links_data, link, &message);
}

static void
handle_broken_link (struct rst_entry *entry, struct pending_request *pending)
{
  bool is_query = pending->message.type == RST_QUERY;
  bool is_read_only = !is_query
                      && pending->message.job_call.operation != RST_JOB_SUBMIT
                      && pending->message.job_call.operation != RST_JOB_CANCEL;

  if (is_query)
    pending->may_have_run = true;
  if (is_query && pending->message.query.idempotent
      && rst_entry_retry_pending (entry, pending))
    return;
  if (is_read_only)
    rst_entry_fail_pending (entry, pending, 503, RST_REQUEST_NOT_RUN,
                            "link-broke", "the link to the scheduler broke");
  else
    rst_entry_fail_pending (entry, pending, 502, RST_REQUEST_OUTCOME_UNKNOWN,
                            "link-broke", "the link to the scheduler broke");
}

void
rst_entry_handle_link_closed (struct rst_entry *entry, uint64_t link)
{
  GList *all = g_hash_table_get_values (entry->pending);

  g_hash_table_remove (entry->peers, &link);
  for (GList *item = all; item != NULL; item = item->next)
    {
      struct pending_request *pending = item->data;

      if (pending->link == link)
        handle_broken_link (entry, pending);
    }
  g_list_free (all);
}

static bool
is_connected (struct rst_entry *entry, const char *address)
{
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, entry->peers);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    if (strcmp (((struct scheduler_peer *)value)->address, address) == 0)
      return true;
  return false;
}

static void
connect_to_address (struct rst_entry *entry, const char *address)
{
  struct scheduler_peer *peer;
  uint64_t link;

  if (is_connected (entry, address))
    return;
  link = entry->links->connect (entry->links_data, address);
  if (link == 0)
    return;
  peer = g_new0 (struct scheduler_peer, 1);
  peer->link = link;
  g_strlcpy (peer->address, address, RST_ADDRESS_SIZE);
  g_hash_table_insert (entry->peers, &peer->link, peer);
}

static void
connect_to_members (const struct rst_zone *zone, void *userdata)
{
  for (int i = 0; i < zone->member_count; i++)
    connect_to_address (userdata, zone->members[i].address);
}

static void
expire_pending (struct rst_entry *entry)
{
  rst_ms now = rst_entry_now (entry);
  GList *all;

  if (now < entry->expire_next_at)
    return;
  entry->expire_next_at = now + EXPIRE_INTERVAL_MS;
  if (g_hash_table_size (entry->pending) == 0)
    return;
  all = g_hash_table_get_values (entry->pending);
  for (GList *item = all; item != NULL; item = item->next)
    {
      struct pending_request *pending = item->data;

      if (now >= pending->expires_at)
        rst_entry_fail_pending (entry, pending, 504,
                                RST_REQUEST_OUTCOME_UNKNOWN, "no-answer",
                                "no answer before the deadline");
    }
  g_list_free (all);
}

static void
update_connections (struct rst_entry *entry)
{
  rst_ms now = rst_entry_now (entry);

  if (now < entry->connect_next_at)
    return;
  entry->connect_next_at
      = now + CONNECT_INTERVAL_MS / 2
        + g_rand_int_range (entry->random, 0, CONNECT_INTERVAL_MS);
  for (guint i = 0; i < entry->seed_addresses->len; i++)
    connect_to_address (entry, g_ptr_array_index (entry->seed_addresses, i));
  rst_settings_visit_zone_records (entry->settings, connect_to_members, entry);
}

static void
send_digests (struct rst_entry *entry)
{
  rst_ms now = rst_entry_now (entry);
  struct rst_message message = { 0 };
  GHashTableIter iterator;
  gpointer value;

  if (now < entry->digest_next_at)
    return;
  entry->digest_next_at = now + DIGEST_INTERVAL_MS;
  message.type = RST_SETTINGS_DIGEST;
  message.digest.hash = rst_settings_get_hash (entry->settings);
  message.digest.newest = rst_settings_get_newest_revision (entry->settings);
  g_hash_table_iter_init (&iterator, entry->peers);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    if (((struct scheduler_peer *)value)->is_scheduler)
      entry->links->send (entry->links_data,
                          ((struct scheduler_peer *)value)->link, &message);
}

void
rst_entry_tick (struct rst_entry *entry)
{
  update_connections (entry);
  send_digests (entry);
  expire_pending (entry);
}

void
rst_entry_begin_stop (struct rst_entry *entry)
{
  entry->stopping = true;
}

int64_t
rst_entry_count_pending (const struct rst_entry *entry)
{
  return g_hash_table_size (entry->pending);
}

bool
rst_entry_is_ready (const struct rst_entry *entry)
{
  GHashTableIter iterator;
  gpointer value;

  if (entry->stopping
      || rst_settings_get_newest_revision (entry->settings) == 0)
    return false;
  g_hash_table_iter_init (&iterator, entry->peers);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct scheduler_peer *peer = value;

      if (peer->is_scheduler && peer->has_load && peer->load.ready)
        return true;
    }
  return false;
}

const struct rst_entry_counters *
rst_entry_get_counters (const struct rst_entry *entry)
{
  return &entry->counters;
}

const struct rst_settings *
rst_entry_get_settings (const struct rst_entry *entry)
{
  return entry->settings;
}

char *
rst_entry_format_status (struct rst_entry *entry)
{
  struct json_object *root = json_object_new_object ();
  struct json_object *list = json_object_new_array ();
  GHashTableIter iterator;
  gpointer value;

  rst_json_set_text (root, "name", entry->config.name);
  rst_json_set_text (root, "availability_zone", entry->config.zone);
  rst_json_set_bool (root, "ready", rst_entry_is_ready (entry));
  rst_json_set_number (
      root, "newest",
      (int64_t)rst_settings_get_newest_revision (entry->settings));
  rst_json_set_number (root, "pending", rst_entry_count_pending (entry));
  g_hash_table_iter_init (&iterator, entry->peers);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct scheduler_peer *peer = value;
      struct json_object *item = json_object_new_object ();

      rst_json_set_text (item, "address", peer->address);
      rst_json_set_text (item, "incarnation", peer->incarnation);
      rst_json_set_text (item, "availability_zone", peer->zone);
      rst_json_set_bool (item, "ready", peer->has_load && peer->load.ready);
      rst_json_set_number (item, "slots_free", (int64_t)peer->load.slots_free);
      json_object_array_add (list, item);
    }
  json_object_object_add (root, "schedulers", list);
  return rst_json_format_and_release (root);
}

void
rst_entry_destroy (struct rst_entry *entry)
{
  GList *all;

  if (entry == NULL)
    return;
  all = g_hash_table_get_values (entry->pending);
  for (GList *item = all; item != NULL; item = item->next)
    rst_entry_fail_pending (entry, item->data, 504,
                            RST_REQUEST_OUTCOME_UNKNOWN, "stopping",
                            "the entry stopped before the answer came");
  g_list_free (all);
  g_hash_table_destroy (entry->pending);
  g_hash_table_destroy (entry->peers);
  g_ptr_array_free (entry->seed_addresses, TRUE);
  rst_settings_destroy (entry->settings);
  g_rand_free (entry->random);
  g_free (entry);
}
