#include "daemon/prefix_watch.h"

#include <string.h>

/** Delay before a failed call, or one for a page without items, is repeated,
   in milliseconds. */
#define RETRY_DELAY_MS 100

/** Longest time between two calls of rst_prefix_watch_run() while a call is
    pending, in milliseconds. */
#define IDLE_WAKE_MS 500

struct rst_prefix_watch
{
  struct rst_prefix_watch_config config;
  /* Keys that were delivered and not deleted since. */
  GHashTable *known_keys;
  /* Keys listed so far; NULL when the list is complete and the prefix is
     watched. */
  GHashTable *listed_keys;
  /* Changes up to this revision have been delivered. */
  int64_t revision;
  /* Last key that was listed; the next page begins behind it. */
  char last_key[256];
  bool call_pending;
  bool destroyed;
  rst_ms next_call_at;
};

static GHashTable *
create_key_set (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

static void
start_list (struct rst_prefix_watch *watch)
{
  watch->last_key[0] = '\0';
  if (watch->listed_keys != NULL)
    g_hash_table_destroy (watch->listed_keys);
  watch->listed_keys = create_key_set ();
}

struct rst_prefix_watch *
rst_prefix_watch_create (const struct rst_prefix_watch_config *config)
{
  struct rst_prefix_watch *watch = g_new0 (struct rst_prefix_watch, 1);

  watch->config = *config;
  watch->known_keys = create_key_set ();
  start_list (watch);
  return watch;
}

static void
free_watch (struct rst_prefix_watch *watch)
{
  g_hash_table_destroy (watch->known_keys);
  if (watch->listed_keys != NULL)
    g_hash_table_destroy (watch->listed_keys);
  g_free (watch);
}

void
rst_prefix_watch_destroy (struct rst_prefix_watch *watch)
{
  if (watch == NULL)
    return;
  watch->destroyed = true;
  if (!watch->call_pending)
    free_watch (watch);
}

static void
deliver_item (struct rst_prefix_watch *watch,
              const struct rst_store_item *item)
{
  if (item->deleted)
    g_hash_table_remove (watch->known_keys, item->key);
  else
    g_hash_table_add (watch->known_keys, g_strdup (item->key));
  watch->config.on_item (watch->config.userdata, item);
}

/* Delivers known keys that a complete list does not contain as deleted. */
static void
delete_unlisted_items (struct rst_prefix_watch *watch)
{
  GList *keys = g_hash_table_get_keys (watch->known_keys);

  for (GList *node = keys; node != NULL; node = node->next)
    {
      struct rst_store_item absent = { 0 };

      if (g_hash_table_contains (watch->listed_keys, node->data))
        continue;
      absent.key = g_strdup (node->data);
      absent.deleted = true;
      deliver_item (watch, &absent);
      g_free (absent.key);
    }
  g_list_free (keys);
}

static void
handle_list_page (struct rst_prefix_watch *watch,
                  const struct rst_store_answer *answer)
{
  /* The watch begins at the revision of the first page, so that it delivers
     changes made while further pages were read. */
  if (watch->last_key[0] == '\0')
    watch->revision = answer->revision;
  for (guint i = 0; i < answer->items->len; i++)
    {
      const struct rst_store_item *item = g_ptr_array_index (answer->items, i);

      g_hash_table_add (watch->listed_keys, g_strdup (item->key));
      g_strlcpy (watch->last_key, item->key, sizeof watch->last_key);
      deliver_item (watch, item);
    }
  if (answer->has_more)
    return;
  delete_unlisted_items (watch);
  g_hash_table_destroy (watch->listed_keys);
  watch->listed_keys = NULL;
  watch->config.on_list_complete (watch->config.userdata);
}

static void
handle_changes (struct rst_prefix_watch *watch,
                const struct rst_store_answer *answer)
{
  for (guint i = 0; i < answer->items->len; i++)
    deliver_item (watch, g_ptr_array_index (answer->items, i));
  watch->revision = MAX (watch->revision, answer->revision);
}

static void
on_answer (struct rst_store_answer *answer, void *userdata)
{
  struct rst_prefix_watch *watch = userdata;

  watch->call_pending = false;
  if (watch->destroyed)
    {
      free_watch (watch);
      rst_store_answer_free (answer);
      return;
    }
  watch->next_call_at = watch->config.now () + watch->config.pause_ms;
  if (answer->result == RST_RESULT_OK && watch->listed_keys != NULL)
    {
      watch->next_call_at = watch->config.now ();
      if (answer->has_more && answer->items->len == 0)
        watch->next_call_at += RETRY_DELAY_MS;
      handle_list_page (watch, answer);
    }
  else if (answer->result == RST_RESULT_OK)
    handle_changes (watch, answer);
  else if (answer->result == RST_RESULT_COMPACTED
           && watch->listed_keys == NULL)
    start_list (watch);
  else
    watch->next_call_at = watch->config.now () + RETRY_DELAY_MS;
  rst_store_answer_free (answer);
}

rst_ms
rst_prefix_watch_run (struct rst_prefix_watch *watch)
{
  const struct rst_backend *backend = watch->config.backend;
  rst_ms now = watch->config.now ();

  if (watch->call_pending)
    return now + IDLE_WAKE_MS;
  if (now < watch->next_call_at)
    return watch->next_call_at;
  watch->call_pending = true;
  if (watch->listed_keys != NULL)
    backend->store_range (backend->userdata, watch->config.prefix,
                          watch->last_key, on_answer, watch);
  else
    backend->store_watch (backend->userdata, watch->config.prefix,
                          watch->revision, watch->config.wait_ms, on_answer,
                          watch);
  return now + IDLE_WAKE_MS;
}
