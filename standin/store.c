/**
 * DOC: store - stand-in for the platform's key-value service
 *
 * Keeps keys with revisions in memory and serves compare-and-swap, leases and
 * watches over HTTP/1.1 with JSON.  It can be set through /faults to drop all
 * other requests, to delay its replies, or to drop the replies of writes that
 * took effect.
 */
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <ck_queue.h>
#include <glib.h>
#include <pthread.h>

#include "state/json.h"
#include "transport/http_server.h"
#include "transport/transport.h"
#include "util/os.h"
#include "util/program.h"

/** Largest number of changes in the history, from which watches are served;
    the older half is deleted at once. */
#define HISTORY_CHANGES_MAX 20000

/** Interval at which leases and watches expire and delayed replies are sent,
   in microseconds. */
#define TICK_INTERVAL_US 2000

/** Largest value in bytes. */
#define VALUE_MAX_BYTES 1048576

struct settings
{
  char listen[RST_ADDRESS_SIZE];
};

static const struct rst_conf_field fields[] = {
  RST_CONF_STRING_FIELD ("listen", RST_CONF_ADDRESS, true, struct settings,
                         listen),
};

static const struct rst_program program = {
  "standin-store",
  "Stands in for the platform's key-value service.",
  fields,
  G_N_ELEMENTS (fields),
  NULL,
};

struct entry
{
  char *key;
  char *value;
  uint64_t revision;
  /* Id of the lease that keeps the key, or 0. */
  uint64_t lease;
};

struct change
{
  char *key;
  char *value;
  uint64_t revision;
  bool deleted;
};

struct lease
{
  uint64_t id;
  rst_ms ttl_ms;
  rst_ms expires_at;
};

struct watch
{
  struct rst_http_request *request;
  char *prefix;
  uint64_t after;
  rst_ms deadline;
  CK_LIST_ENTRY (watch) entry;
};

struct delayed_reply
{
  struct rst_http_request *request;
  unsigned status;
  char *text;
  rst_ms send_at;
  CK_LIST_ENTRY (delayed_reply) entry;
};

static struct
{
  pthread_mutex_t lock;
  GHashTable *entries;
  GHashTable *leases;
  GPtrArray *history;
  uint64_t revision;
  uint64_t last_lease_id;
  /* Faults: drop requests, delay replies, drop the replies of this many
     writes that took effect. */
  bool is_down;
  rst_ms reply_delay_ms;
  int64_t replies_to_drop;
  uint64_t read_count;
  uint64_t write_count;
  uint64_t watch_count;
  CK_LIST_HEAD (watch_list, watch) pending_watches;
  CK_LIST_HEAD (delayed_reply_list, delayed_reply) delayed_replies;
  atomic_bool stop_requested;
} store = { .lock = PTHREAD_MUTEX_INITIALIZER };

static void
entry_free (gpointer data)
{
  struct entry *entry = data;

  g_free (entry->key);
  g_free (entry->value);
  g_free (entry);
}

static void
change_free (gpointer data)
{
  struct change *change = data;

  g_free (change->key);
  g_free (change->value);
  g_free (change);
}

/* ---- Replies ---- */

/* Takes ownership of @text. */
static void
send_reply (struct rst_http_request *request, unsigned status, char *text)
{
  struct delayed_reply *delayed_reply;

  if (store.reply_delay_ms == 0)
    {
      rst_http_request_reply_json (request, status, text);
      free (text);
      return;
    }
  delayed_reply = g_new0 (struct delayed_reply, 1);
  delayed_reply->request = request;
  delayed_reply->status = status;
  delayed_reply->text = text;
  delayed_reply->send_at = rst_os_now () + store.reply_delay_ms;
  CK_LIST_INSERT_HEAD (&store.delayed_replies, delayed_reply, entry);
}

static void
reply_revision (struct rst_http_request *request, unsigned status,
                uint64_t revision)
{
  struct json_object *root = json_object_new_object ();

  rst_json_set_number (root, "revision", (int64_t)revision);
  send_reply (request, status, rst_json_format_and_release (root));
}

/* Replies to a write, or drops the reply of a write that took effect if that
   fault is set. */
static void
reply_to_write (struct rst_http_request *request, unsigned status,
                uint64_t revision)
{
  if (store.replies_to_drop > 0 && status == 200)
    {
      store.replies_to_drop--;
      rst_http_request_abort (request);
      return;
    }
  reply_revision (request, status, revision);
}

static struct json_object *
entry_to_json (const char *key, const char *value, uint64_t revision,
               bool deleted)
{
  struct json_object *item = json_object_new_object ();

  rst_json_set_text (item, "key", key);
  rst_json_set_text (item, "value", value);
  rst_json_set_number (item, "revision", (int64_t)revision);
  if (deleted)
    rst_json_set_bool (item, "deleted", true);
  return item;
}

static void
reply_items (struct rst_http_request *request, struct json_object *items,
             uint64_t revision)
{
  struct json_object *root = json_object_new_object ();

  json_object_object_add (root, "items", items);
  rst_json_set_number (root, "revision", (int64_t)revision);
  send_reply (request, 200, rst_json_format_and_release (root));
}

/* ---- Watches ---- */

static struct json_object *
collect_changes (const char *prefix, uint64_t after)
{
  struct json_object *items = json_object_new_array ();
  guint first = store.history->len;

  while (first > 0
         && ((struct change *)g_ptr_array_index (store.history, first - 1))
                    ->revision
                > after)
    first--;
  for (guint i = first; i < store.history->len; i++)
    {
      const struct change *change = g_ptr_array_index (store.history, i);

      if (g_str_has_prefix (change->key, prefix))
        json_object_array_add (
            items, entry_to_json (change->key, change->value, change->revision,
                                  change->deleted));
    }
  return items;
}

static void
remove_watch (struct watch *watch)
{
  CK_LIST_REMOVE (watch, entry);
  g_free (watch->prefix);
  g_free (watch);
}

/* Replies to the watches of @key, or, when it is NULL, to those past their
   deadline. */
static void
answer_watches (const char *key)
{
  struct watch *watch = CK_LIST_FIRST (&store.pending_watches);
  rst_ms now = rst_os_now ();

  while (watch != NULL)
    {
      struct watch *next = CK_LIST_NEXT (watch, entry);

      if (key != NULL ? g_str_has_prefix (key, watch->prefix)
                      : now >= watch->deadline)
        {
          reply_items (watch->request,
                       collect_changes (watch->prefix, watch->after),
                       store.revision);
          remove_watch (watch);
        }
      watch = next;
    }
}

static void
record_change (const char *key, const char *value, bool deleted)
{
  struct change *change = g_new0 (struct change, 1);

  change->key = g_strdup (key);
  change->value = g_strdup (value);
  change->revision = store.revision;
  change->deleted = deleted;
  g_ptr_array_add (store.history, change);
  if (store.history->len > HISTORY_CHANGES_MAX)
    g_ptr_array_remove_range (store.history, 0, HISTORY_CHANGES_MAX / 2);
  answer_watches (key);
}

/* ---- Keys ---- */

static void
remove_key (const char *key)
{
  /* The entry that is removed may own @key. */
  char *copy = g_strdup (key);

  store.revision++;
  g_hash_table_remove (store.entries, copy);
  record_change (copy, "", true);
  g_free (copy);
}

static int64_t
get_query_number (struct rst_http_request *request, const char *name,
                  int64_t fallback)
{
  const char *text = rst_http_request_query (request, name);

  return text != NULL ? g_ascii_strtoll (text, NULL, 10) : fallback;
}

/* A request without "expect" has no condition; 0 expects that the key does not
   exist. */
static bool
matches_expected_revision (struct rst_http_request *request,
                           const struct entry *entry)
{
  int64_t expected = get_query_number (request, "expect", -1);

  return expected < 0
         || (uint64_t)expected == (entry != NULL ? entry->revision : 0);
}

static void
handle_put (struct rst_http_request *request, const char *key)
{
  struct entry *entry = g_hash_table_lookup (store.entries, key);
  uint64_t lease = (uint64_t)get_query_number (request, "lease", 0);

  if (lease != 0 && !g_hash_table_contains (store.leases, &lease))
    {
      reply_revision (request, 404, 0);
      return;
    }
  if (!matches_expected_revision (request, entry))
    {
      reply_revision (request, 409, entry != NULL ? entry->revision : 0);
      return;
    }
  if (entry == NULL)
    {
      entry = g_new0 (struct entry, 1);
      entry->key = g_strdup (key);
      g_hash_table_insert (store.entries, entry->key, entry);
    }
  g_free (entry->value);
  entry->value = g_strdup (rst_http_request_body (request, NULL));
  entry->lease = lease;
  entry->revision = ++store.revision;
  record_change (key, entry->value, false);
  reply_to_write (request, 200, entry->revision);
}

static void
handle_delete (struct rst_http_request *request, const char *key)
{
  struct entry *entry = g_hash_table_lookup (store.entries, key);

  if (entry == NULL)
    reply_revision (request, 404, 0);
  else if (!matches_expected_revision (request, entry))
    reply_revision (request, 409, entry->revision);
  else
    {
      remove_key (key);
      reply_to_write (request, 200, store.revision);
    }
}

static void
handle_get (struct rst_http_request *request, const char *key)
{
  const struct entry *entry = g_hash_table_lookup (store.entries, key);
  struct json_object *item;

  if (entry == NULL)
    {
      reply_revision (request, 404, 0);
      return;
    }
  item = entry_to_json (entry->key, entry->value, entry->revision, false);
  send_reply (request, 200, rst_json_format_and_release (item));
}

static void
handle_list (struct rst_http_request *request, const char *prefix)
{
  struct json_object *items = json_object_new_array ();
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, store.entries);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct entry *entry = value;

      if (g_str_has_prefix (entry->key, prefix))
        json_object_array_add (items, entry_to_json (entry->key, entry->value,
                                                     entry->revision, false));
    }
  reply_items (request, items, store.revision);
}

static void
handle_kv (struct rst_http_request *request)
{
  const char *method = rst_http_request_method (request);
  const char *key = rst_http_request_query (request, "key");
  const char *prefix = rst_http_request_query (request, "prefix");
  bool is_read = strcmp (method, "GET") == 0;

  if (is_read)
    store.read_count++;
  else
    store.write_count++;
  if (is_read && prefix != NULL)
    handle_list (request, prefix);
  else if (key == NULL)
    reply_revision (request, 400, 0);
  else if (is_read)
    handle_get (request, key);
  else if (strcmp (method, "PUT") == 0)
    handle_put (request, key);
  else
    handle_delete (request, key);
}

static void
handle_watch (struct rst_http_request *request)
{
  const char *prefix = rst_http_request_query (request, "prefix");
  uint64_t after = (uint64_t)get_query_number (request, "after", 0);
  const struct change *oldest
      = store.history->len > 0 ? g_ptr_array_index (store.history, 0) : NULL;
  struct json_object *items;
  struct watch *watch;

  store.watch_count++;
  if (prefix == NULL
      || (oldest != NULL && store.history->len >= HISTORY_CHANGES_MAX / 2
          && after + 1 < oldest->revision))
    {
      reply_revision (request, 410, store.revision);
      return;
    }
  items = collect_changes (prefix, after);
  if (json_object_array_length (items) > 0)
    {
      reply_items (request, items, store.revision);
      return;
    }
  json_object_put (items);
  watch = g_new0 (struct watch, 1);
  watch->request = request;
  watch->prefix = g_strdup (prefix);
  watch->after = after;
  watch->deadline = rst_os_now () + get_query_number (request, "wait_ms", 0);
  CK_LIST_INSERT_HEAD (&store.pending_watches, watch, entry);
}

/* ---- Leases ---- */

/* Deletes a lease and the keys that it keeps. */
static void
end_lease (uint64_t id)
{
  GList *entries = g_hash_table_get_values (store.entries);

  g_hash_table_remove (store.leases, &id);
  for (GList *item = entries; item != NULL; item = item->next)
    {
      const struct entry *entry = item->data;

      if (entry->lease == id)
        remove_key (entry->key);
    }
  g_list_free (entries);
}

static void
grant_lease (struct rst_http_request *request)
{
  struct lease *lease = g_new0 (struct lease, 1);

  lease->id = ++store.last_lease_id;
  lease->ttl_ms = get_query_number (request, "ttl_ms", 1000);
  lease->expires_at = rst_os_now () + lease->ttl_ms;
  g_hash_table_insert (store.leases, &lease->id, lease);
  reply_to_write (request, 200, lease->id);
}

static void
handle_lease (struct rst_http_request *request)
{
  const char *method = rst_http_request_method (request);
  uint64_t id = (uint64_t)get_query_number (request, "id", 0);
  struct lease *lease = g_hash_table_lookup (store.leases, &id);

  store.write_count++;
  if (strcmp (method, "POST") == 0)
    grant_lease (request);
  else if (lease == NULL)
    reply_revision (request, 404, 0);
  else if (strcmp (method, "PUT") == 0)
    {
      lease->expires_at = rst_os_now () + lease->ttl_ms;
      reply_to_write (request, 200, id);
    }
  else
    {
      end_lease (id);
      reply_to_write (request, 200, id);
    }
}

static void
expire_leases (void)
{
  rst_ms now = rst_os_now ();
  GList *leases = g_hash_table_get_values (store.leases);

  for (GList *item = leases; item != NULL; item = item->next)
    {
      const struct lease *lease = item->data;

      if (now >= lease->expires_at)
        end_lease (lease->id);
    }
  g_list_free (leases);
}

/* ---- Faults and counters ---- */

static void
drop_watches (void)
{
  struct watch *watch;

  while ((watch = CK_LIST_FIRST (&store.pending_watches)) != NULL)
    {
      rst_http_request_abort (watch->request);
      remove_watch (watch);
    }
}

static void
handle_faults (struct rst_http_request *request)
{
  store.is_down = get_query_number (request, "down", store.is_down) != 0;
  store.reply_delay_ms
      = get_query_number (request, "slow_ms", store.reply_delay_ms);
  store.replies_to_drop
      = get_query_number (request, "lose", store.replies_to_drop);
  if (store.is_down)
    drop_watches ();
  rst_http_request_reply_json (request, 200, "{}");
}

static void
reply_counters (struct rst_http_request *request)
{
  struct json_object *root = json_object_new_object ();
  char *text;

  rst_json_set_number (root, "reads", (int64_t)store.read_count);
  rst_json_set_number (root, "writes", (int64_t)store.write_count);
  rst_json_set_number (root, "watches", (int64_t)store.watch_count);
  rst_json_set_number (root, "revision", (int64_t)store.revision);
  text = rst_json_format_and_release (root);
  rst_http_request_reply_json (request, 200, text);
  free (text);
}

static void
handle_request (struct rst_http_request *request, void *userdata)
{
  const char *path = rst_http_request_path (request);

  (void)userdata;
  pthread_mutex_lock (&store.lock);
  if (strcmp (path, "/faults") == 0)
    handle_faults (request);
  else if (strcmp (path, "/figures") == 0)
    reply_counters (request);
  else if (store.is_down)
    rst_http_request_abort (request);
  else if (strcmp (path, "/v1/kv") == 0)
    handle_kv (request);
  else if (strcmp (path, "/v1/watch") == 0)
    handle_watch (request);
  else if (strcmp (path, "/v1/lease") == 0)
    handle_lease (request);
  else
    reply_revision (request, 400, 0);
  pthread_mutex_unlock (&store.lock);
}

static void
send_delayed_replies (void)
{
  struct delayed_reply *delayed_reply = CK_LIST_FIRST (&store.delayed_replies);
  rst_ms now = rst_os_now ();

  while (delayed_reply != NULL)
    {
      struct delayed_reply *next = CK_LIST_NEXT (delayed_reply, entry);

      if (now >= delayed_reply->send_at)
        {
          rst_http_request_reply_json (delayed_reply->request,
                                       delayed_reply->status,
                                       delayed_reply->text);
          CK_LIST_REMOVE (delayed_reply, entry);
          free (delayed_reply->text);
          g_free (delayed_reply);
        }
      delayed_reply = next;
    }
}

static void *
run_loop (void *userdata)
{
  while (!atomic_load (&store.stop_requested))
    {
      pthread_mutex_lock (&store.lock);
      expire_leases ();
      answer_watches (NULL);
      send_delayed_replies ();
      pthread_mutex_unlock (&store.lock);
      usleep (TICK_INTERVAL_US);
    }
  return userdata;
}

int
main (int argc, char **argv)
{
  struct settings settings = { "" };
  struct rst_http_server_config config = { 0 };
  struct rst_http_server *server;
  pthread_t thread;
  int exit_status = rst_program_configure (&program, argc, argv, &settings);

  if (exit_status >= 0)
    return exit_status;
  rst_os_block_signals ();
  store.entries
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, entry_free);
  store.leases
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  store.history = g_ptr_array_new_with_free_func (change_free);
  config.address = settings.listen;
  config.max_body_bytes = VALUE_MAX_BYTES;
  config.max_connections = 1000;
  config.idle_timeout_s = 120;
  config.handler = handle_request;
  if (rst_http_server_create (&config, &server) != RST_TRANSPORT_OK
      || pthread_create (&thread, NULL, run_loop, NULL) != 0)
    {
      fprintf (stderr, "%s: listen: address cannot be used\n", program.name);
      return EXIT_FAILURE;
    }
  printf ("ready http=%s\n", rst_http_server_address (server));
  fflush (stdout);
  rst_os_wait_stop_signal ();
  atomic_store (&store.stop_requested, true);
  pthread_join (thread, NULL);
  rst_http_server_destroy (server);
  return EXIT_SUCCESS;
}
