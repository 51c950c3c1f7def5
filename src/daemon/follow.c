#include "daemon/follow.h"

#include <string.h>

/** Pause after a call that failed, in milliseconds. */
#define AGAIN_MS 100

/** Longest time without anything due, in milliseconds. */
#define IDLE_MS 500

struct rst_follow
{
  struct rst_follow_config config;
  GHashTable *known;
  /* Keys seen while the prefix is read whole; NULL while it is watched. */
  GHashTable *listed;
  int64_t revision;
  char after[256];
  bool busy;
  bool ended;
  rst_ms next;
};

static GHashTable *
new_keys (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

static void
begin_range (struct rst_follow *follow)
{
  follow->after[0] = '\0';
  if (follow->listed != NULL)
    g_hash_table_destroy (follow->listed);
  follow->listed = new_keys ();
}

struct rst_follow *
rst_follow_create (const struct rst_follow_config *config)
{
  struct rst_follow *follow = g_new0 (struct rst_follow, 1);

  follow->config = *config;
  follow->known = new_keys ();
  begin_range (follow);
  return follow;
}

static void
free_follow (struct rst_follow *follow)
{
  g_hash_table_destroy (follow->known);
  if (follow->listed != NULL)
    g_hash_table_destroy (follow->listed);
  g_free (follow);
}

void
rst_follow_destroy (struct rst_follow *follow)
{
  if (follow == NULL)
    return;
  follow->ended = true;
  if (!follow->busy)
    free_follow (follow);
}

static void
apply (struct rst_follow *follow, const struct rst_store_item *item)
{
  if (item->deleted)
    g_hash_table_remove (follow->known, item->key);
  else
    g_hash_table_add (follow->known, g_strdup (item->key));
  follow->config.apply (follow->config.userdata, item);
}

/* Keys known before that a whole reading did not show are gone. */
static void
apply_absent (struct rst_follow *follow)
{
  GList *keys = g_hash_table_get_keys (follow->known);

  for (GList *at = keys; at != NULL; at = at->next)
    {
      struct rst_store_item gone = { 0 };

      if (g_hash_table_contains (follow->listed, at->data))
        continue;
      gone.key = g_strdup (at->data);
      gone.deleted = true;
      apply (follow, &gone);
      g_free (gone.key);
    }
  g_list_free (keys);
}

static void
take_range (struct rst_follow *follow, const struct rst_store_answer *answer)
{
  /* What changes while pages are read is seen by the watch. */
  if (follow->after[0] == '\0')
    follow->revision = answer->revision;
  for (guint i = 0; i < answer->items->len; i++)
    {
      const struct rst_store_item *item = g_ptr_array_index (answer->items, i);

      g_hash_table_add (follow->listed, g_strdup (item->key));
      g_strlcpy (follow->after, item->key, sizeof follow->after);
      apply (follow, item);
    }
  if (answer->has_more)
    return;
  apply_absent (follow);
  g_hash_table_destroy (follow->listed);
  follow->listed = NULL;
  follow->config.read (follow->config.userdata);
}

static void
take_changes (struct rst_follow *follow, const struct rst_store_answer *answer)
{
  for (guint i = 0; i < answer->items->len; i++)
    apply (follow, g_ptr_array_index (answer->items, i));
  follow->revision = MAX (follow->revision, answer->revision);
}

static void
on_answer (struct rst_store_answer *answer, void *userdata)
{
  struct rst_follow *follow = userdata;

  follow->busy = false;
  if (follow->ended)
    {
      free_follow (follow);
      rst_store_answer_free (answer);
      return;
    }
  follow->next = follow->config.now () + follow->config.pause_ms;
  if (answer->result == RST_RESULT_OK && follow->listed != NULL)
    {
      follow->next = follow->config.now ();
      take_range (follow, answer);
    }
  else if (answer->result == RST_RESULT_OK)
    take_changes (follow, answer);
  else if (answer->result == RST_RESULT_COMPACTED && follow->listed == NULL)
    begin_range (follow);
  else
    follow->next = follow->config.now () + AGAIN_MS;
  rst_store_answer_free (answer);
}

rst_ms
rst_follow_run (struct rst_follow *follow)
{
  const struct rst_backend *backend = follow->config.backend;
  rst_ms now = follow->config.now ();

  if (follow->busy)
    return now + IDLE_MS;
  if (now < follow->next)
    return follow->next;
  follow->busy = true;
  if (follow->listed != NULL)
    backend->store_range (backend->userdata, follow->config.prefix,
                          follow->after, on_answer, follow);
  else
    backend->store_watch (backend->userdata, follow->config.prefix,
                          follow->revision, follow->config.wait_ms, on_answer,
                          follow);
  return now + IDLE_MS;
}
