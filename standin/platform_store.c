#include "platform_store.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <pthread.h>

#include "state/json.h"
#include "util/os.h"

/** Largest value in bytes. */
#define VALUE_MAX_BYTES 1048576

/** Largest value as base64 text. */
#define VALUE_BASE64_MAX_BYTES ((VALUE_MAX_BYTES + 2) / 3 * 4)

/** Largest number of items in a page. */
#define PAGE_ITEMS_MAX 500

/** Size of the values, as base64 text, at which a page ends. */
#define PAGE_MAX_BYTES 1000000

/** Largest number of writes and removals in a transaction. */
#define TXN_ENTRIES_MAX 32

/** Number of changes in the history, from which watches are served. */
#define HISTORY_CHANGES_MAX 10000

/* A key, or a change of a key in the history. */
struct item
{
  char *key;
  /* As base64 text; NULL when the key was deleted. */
  char *value;
  int64_t revision;
};

struct watch
{
  struct rst_http_request *request;
  char *prefix;
  int64_t after;
  rst_ms deadline;
};

struct platform_store
{
  pthread_mutex_t lock;
  GTree *items;
  GQueue history;
  GPtrArray *watches;
  int64_t revision;
};

static void
item_free (gpointer data)
{
  struct item *item = data;

  g_free (item->key);
  g_free (item->value);
  g_free (item);
}

static struct item *
item_new (const char *key, const char *value, int64_t revision)
{
  struct item *item = g_new0 (struct item, 1);

  item->key = g_strdup (key);
  item->value = g_strdup (value);
  item->revision = revision;
  return item;
}

static void
watch_free (gpointer data)
{
  struct watch *watch = data;

  g_free (watch->prefix);
  g_free (watch);
}

static gint
compare_keys (gconstpointer a, gconstpointer b, gpointer userdata)
{
  (void)userdata;
  return strcmp (a, b);
}

struct platform_store *
platform_store_create (void)
{
  struct platform_store *store = g_new0 (struct platform_store, 1);

  pthread_mutex_init (&store->lock, NULL);
  store->items = g_tree_new_full (compare_keys, NULL, NULL, item_free);
  g_queue_init (&store->history);
  store->watches = g_ptr_array_new_with_free_func (watch_free);
  store->revision = 1;
  return store;
}

static struct json_object *
item_to_json (const struct item *item)
{
  struct json_object *object = json_object_new_object ();

  rst_json_set_text (object, "key", item->key);
  rst_json_set_number (object, "revision", item->revision);
  if (item->value != NULL)
    rst_json_set_text (object, "value", item->value);
  else
    rst_json_set_bool (object, "deleted", true);
  return object;
}

void
platform_store_reply (struct rst_http_request *request, unsigned status,
                      struct json_object *body)
{
  char *text = rst_json_format_and_release (body);

  rst_http_request_reply_json (request, status, text);
  free (text);
}

static void
reply_error (struct rst_http_request *request, unsigned status,
             const char *error)
{
  struct json_object *body = json_object_new_object ();

  rst_json_set_text (body, "error", error);
  platform_store_reply (request, status, body);
}

/* Replies to a watch that has a change to report or is past its deadline.
   Returns whether it replied. */
static bool
answer_watch (const struct platform_store *store, const struct watch *watch,
              rst_ms now)
{
  struct json_object *events = json_object_new_array ();
  struct json_object *body;

  for (GList *node = store->history.head; node != NULL; node = node->next)
    {
      const struct item *change = node->data;

      if (change->revision > watch->after
          && g_str_has_prefix (change->key, watch->prefix))
        json_object_array_add (events, item_to_json (change));
    }
  if (json_object_array_length (events) == 0 && now < watch->deadline)
    {
      json_object_put (events);
      return false;
    }
  body = json_object_new_object ();
  json_object_object_add (body, "events", events);
  rst_json_set_number (body, "current_rev", store->revision);
  platform_store_reply (watch->request, 200, body);
  return true;
}

static void
answer_watches (struct platform_store *store)
{
  rst_ms now = rst_os_now ();

  for (guint i = store->watches->len; i-- > 0;)
    if (answer_watch (store, g_ptr_array_index (store->watches, i), now))
      g_ptr_array_remove_index_fast (store->watches, i);
}

static void
write_key (struct platform_store *store, const char *key, const char *value)
{
  struct item *item = item_new (key, value, store->revision);

  g_queue_push_tail (&store->history, item_new (key, value, store->revision));
  if (g_queue_get_length (&store->history) > HISTORY_CHANGES_MAX)
    item_free (g_queue_pop_head (&store->history));
  if (value != NULL)
    {
      g_tree_replace (store->items, item->key, item);
      return;
    }
  g_tree_remove (store->items, key);
  item_free (item);
}

void
platform_store_put (struct platform_store *store, const char *key,
                    const char *text)
{
  char *value = text != NULL
                    ? g_base64_encode ((const guchar *)text, strlen (text))
                    : NULL;

  pthread_mutex_lock (&store->lock);
  store->revision++;
  write_key (store, key, value);
  answer_watches (store);
  pthread_mutex_unlock (&store->lock);
  g_free (value);
}

void
platform_store_expire_watches (struct platform_store *store)
{
  pthread_mutex_lock (&store->lock);
  answer_watches (store);
  pthread_mutex_unlock (&store->lock);
}

static void
handle_get (struct platform_store *store, struct rst_http_request *request)
{
  const char *key = rst_http_request_query (request, "key");
  const struct item *item
      = key != NULL ? g_tree_lookup (store->items, key) : NULL;
  struct json_object *body;

  if (item == NULL)
    {
      reply_error (request, 404, "no such key");
      return;
    }
  body = item_to_json (item);
  rst_json_set_number (body, "current_rev", store->revision);
  platform_store_reply (request, 200, body);
}

struct page
{
  const char *prefix;
  const char *after;
  struct json_object *items;
  size_t bytes;
  bool has_more;
};

static gboolean
add_to_page (gpointer key, gpointer value, gpointer userdata)
{
  struct page *page = userdata;
  const struct item *item = value;

  if (!g_str_has_prefix (key, page->prefix) || strcmp (key, page->after) <= 0)
    return FALSE;
  page->has_more = json_object_array_length (page->items) >= PAGE_ITEMS_MAX
                   || page->bytes >= PAGE_MAX_BYTES;
  if (page->has_more)
    return TRUE;
  json_object_array_add (page->items, item_to_json (item));
  page->bytes += strlen (item->value);
  return FALSE;
}

static const char *
get_query_text (const struct rst_http_request *request, const char *name)
{
  const char *text = rst_http_request_query (request, name);

  return text != NULL ? text : "";
}

static void
handle_range (struct platform_store *store, struct rst_http_request *request)
{
  struct page page = { get_query_text (request, "prefix"),
                       get_query_text (request, "after"),
                       json_object_new_array (), 0, false };
  struct json_object *body = json_object_new_object ();

  g_tree_foreach (store->items, add_to_page, &page);
  json_object_object_add (body, "items", page.items);
  rst_json_set_bool (body, "has_more", page.has_more);
  rst_json_set_number (body, "current_rev", store->revision);
  platform_store_reply (request, 200, body);
}

static void
handle_watch (struct platform_store *store, struct rst_http_request *request)
{
  struct watch *watch = g_new0 (struct watch, 1);
  const struct item *oldest = g_queue_peek_head (&store->history);

  watch->request = request;
  watch->prefix = g_strdup (get_query_text (request, "prefix"));
  watch->after = strtoll (get_query_text (request, "after"), NULL, 10);
  watch->deadline = rst_os_now ()
                    + strtoll (get_query_text (request, "wait_ms"), NULL, 10);
  if (g_queue_get_length (&store->history) == HISTORY_CHANGES_MAX
      && oldest->revision > watch->after)
    {
      reply_error (request, 410, "this history is no longer kept");
      watch_free (watch);
      return;
    }
  g_ptr_array_add (store->watches, watch);
  answer_watches (store);
}

static size_t
get_array_length (struct json_object *list)
{
  return list != NULL ? json_object_array_length (list) : 0;
}

/* Returns the current items of all keys that have a condition when one of the
   conditions fails, else NULL. */
static struct json_object *
find_failed_conditions (struct platform_store *store,
                        struct json_object *expected)
{
  struct json_object *items = json_object_new_array ();
  bool failed = false;

  for (size_t i = 0; i < get_array_length (expected); i++)
    {
      struct json_object *row = json_object_array_get_idx (expected, i);
      const char *key = rst_json_get_text (row, "key");
      const struct item *item = g_tree_lookup (store->items, key);

      failed |= rst_json_get_number (row, "revision", 0)
                != (item != NULL ? item->revision : 0);
      if (item != NULL)
        json_object_array_add (items, item_to_json (item));
    }
  if (failed)
    return items;
  json_object_put (items);
  return NULL;
}

static bool
are_writes_allowed (struct json_object *writes)
{
  for (size_t i = 0; i < get_array_length (writes); i++)
    {
      struct json_object *row = json_object_array_get_idx (writes, i);
      const char *value = rst_json_get_text (row, "value");

      if (rst_json_get_text (row, "key") == NULL || value == NULL
          || strlen (value) > VALUE_BASE64_MAX_BYTES)
        return false;
    }
  return true;
}

static void
apply_txn (struct platform_store *store, struct json_object *writes,
           struct json_object *removed)
{
  store->revision++;
  for (size_t i = 0; i < get_array_length (writes); i++)
    {
      struct json_object *row = json_object_array_get_idx (writes, i);

      write_key (store, rst_json_get_text (row, "key"),
                 rst_json_get_text (row, "value"));
    }
  for (size_t i = 0; i < get_array_length (removed); i++)
    write_key (store,
               json_object_get_string (json_object_array_get_idx (removed, i)),
               NULL);
}

static void
handle_txn (struct platform_store *store, struct rst_http_request *request)
{
  struct json_object *params
      = rst_json_parse (rst_http_request_body (request, NULL));
  struct json_object *expected = rst_json_get_array (params, "expected_rev");
  struct json_object *writes = rst_json_get_array (params, "writes");
  struct json_object *removed = rst_json_get_array (params, "remove");
  struct json_object *body = json_object_new_object ();
  struct json_object *failed = find_failed_conditions (store, expected);

  if (params == NULL || !are_writes_allowed (writes)
      || get_array_length (writes) + get_array_length (removed)
             > TXN_ENTRIES_MAX)
    {
      rst_json_set_text (body, "error", "writes: missing, or too long");
      platform_store_reply (request, 400, body);
    }
  else if (failed != NULL)
    {
      json_object_object_add (body, "items", json_object_get (failed));
      platform_store_reply (request, 412, body);
    }
  else
    {
      apply_txn (store, writes, removed);
      rst_json_set_number (body, "revision", store->revision);
      platform_store_reply (request, 200, body);
      answer_watches (store);
    }
  json_object_put (failed);
  json_object_put (params);
}

bool
platform_store_handle_request (struct platform_store *store,
                               struct rst_http_request *request)
{
  static const struct
  {
    const char *path;
    void (*serve) (struct platform_store *store,
                   struct rst_http_request *request);
  } routes[] = { { "/-/kv-key", handle_get },
                 { "/-/kv-range", handle_range },
                 { "/-/kv-watch", handle_watch },
                 { "/-/kv-txn", handle_txn } };

  for (size_t i = 0; i < G_N_ELEMENTS (routes); i++)
    {
      if (strcmp (rst_http_request_path (request), routes[i].path) != 0)
        continue;
      pthread_mutex_lock (&store->lock);
      routes[i].serve (store, request);
      pthread_mutex_unlock (&store->lock);
      return true;
    }
  return false;
}
