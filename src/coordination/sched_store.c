/**
 * DOC: sched_store - watches of the store, and writes of the ownership record
 *
 * All changes of the own zone's ownership record pass through here, one at a
 * time, each by compare-and-swap on the revision last seen.
 */
#include "coordination/scheduler_private.h"

#include <stdlib.h>
#include <string.h>

#define LOG_DOMAIN "store"

#define KEY_ALIVE "shared/alive/"
#define KEY_LIMITS "shared/limits/"

/* ---- Branches ---------------------------------------------------------- */

/* Operators list in the settings members that they know to have stopped. */
static void
note_stopped_members (struct rst_scheduler *sched)
{
  const struct rst_cell_settings *cell
      = rst_settings_get_cell (sched->settings);
  char **list = g_strsplit_set (cell->stopped_incarnations, " ,", -1);

  for (int i = 0; list[i] != NULL; i++)
    if (list[i][0] != '\0')
      sched_member_note_stopped (sched, list[i]);
  g_strfreev (list);
}

/* Passes a branch that was applied on, and updates what depends on it. */
static void
handle_applied_branch (struct rst_scheduler *sched, const char *key,
                       uint64_t revision, const char *value)
{
  char text[32];

  g_snprintf (text, sizeof text, "%" G_GUINT64_FORMAT, revision);
  if (g_str_has_prefix (key, RST_KEY_SETTINGS))
    rst_info ("settings", "Settings branch applied.", "key", key, "revision",
              text);
  sched_peer_push_branch (sched, key, revision, value);
  if (strcmp (key, RST_KEY_CELL) == 0)
    note_stopped_members (sched);
  if (g_str_has_prefix (key, RST_KEY_ZONE_RECORDS))
    sched_record_apply_zone (
        sched, rst_settings_find_zone_record (
                   sched->settings, key + strlen (RST_KEY_ZONE_RECORDS)));
  if (!g_str_has_prefix (key, RST_KEY_ZONE_RECORDS))
    ;
  else if (strcmp (key + strlen (RST_KEY_ZONE_RECORDS), sched->config.zone)
           == 0)
    {
      sched_member_apply_zone (sched);
      sched_instance_apply_zone (sched);
      sched_job_check_all_worker_owners (sched);
    }
  else
    sched_job_check_all_worker_owners (sched);
  sched->load_changed = true;
}

/* Applies a branch from the store or a peer, unless its revision is known. */
void
sched_apply_branch (struct rst_scheduler *sched, const char *key,
                    uint64_t revision, const char *value)
{
  if (RST_FAULT (RST_FAULT_KEEP_OLD_SETTINGS) && revision % 3 == 0
      && g_str_has_prefix (key, RST_KEY_SETTINGS))
    return;

  GString *problems = g_string_new ("");
  int error
      = rst_settings_apply (sched->settings, key, revision, value, problems);

  if (error == RST_STATE_OK)
    handle_applied_branch (sched, key, revision, value);
  else if (error == RST_STATE_INVALID)
    rst_warning ("settings",
                 "Settings branch rejected; its old value is kept.", "key",
                 key, "problem", g_strchomp (problems->str));
  g_string_free (problems, TRUE);
}

/* ---- Watches ----------------------------------------------------------- */

static void
apply_alive (struct rst_scheduler *sched, const struct rst_kv *kv)
{
  const char *incarnation = strrchr (kv->key, '/') + 1;

  if (kv->deleted)
    g_hash_table_remove (sched->alive_members, incarnation);
  else
    g_hash_table_add (sched->alive_members, g_strdup (incarnation));
}

static void
apply_kv (struct rst_scheduler *sched, const struct rst_kv *kv)
{
  const char *value = kv->deleted ? "" : kv->value;

  if (g_str_has_prefix (kv->key, RST_KEY_SETTINGS)
      || g_str_has_prefix (kv->key, RST_KEY_ZONE_RECORDS))
    sched_apply_branch (sched, kv->key, kv->revision, value);
  else if (g_str_has_prefix (kv->key, KEY_ALIVE))
    apply_alive (sched, kv);
  else if (g_str_has_prefix (kv->key, KEY_LIMITS))
    sched_limit_apply_record (sched, kv->key + strlen (KEY_LIMITS),
                              kv->revision, value);
}

static void
on_watch_reply (const struct rst_platform_reply *reply, void *data)
{
  struct watch *watch = data;
  struct rst_scheduler *sched = watch->sched;

  watch->call_pending = false;
  watch->next_at = sched_now (sched);
  if (reply->result == RST_PLATFORM_NOT_FOUND)
    watch->listed = false;
  else if (reply->result != RST_PLATFORM_OK)
    watch->next_at += sched_add_jitter (sched, SCHED_STORE_RETRY_MS);
  else
    {
      for (int i = 0; i < reply->kv_count; i++)
        apply_kv (sched, &reply->kvs[i]);
      watch->after_revision = MAX (watch->after_revision, reply->revision);
    }
}

static void
on_prefix_listed (const struct rst_platform_reply *reply, void *data)
{
  struct watch *watch = data;
  struct rst_scheduler *sched = watch->sched;

  watch->call_pending = false;
  watch->next_at = sched_now (sched);
  if (reply->result != RST_PLATFORM_OK)
    {
      watch->next_at += sched_add_jitter (sched, SCHED_STORE_RETRY_MS);
      return;
    }
  if (watch == &sched->shared_watch)
    g_hash_table_remove_all (sched->alive_members);
  for (int i = 0; i < reply->kv_count; i++)
    apply_kv (sched, &reply->kvs[i]);
  watch->after_revision = reply->revision;
  watch->listed = true;
}

static void
watch_tick (struct watch *watch)
{
  struct rst_scheduler *sched = watch->sched;

  if (watch->call_pending || sched_now (sched) < watch->next_at)
    return;
  watch->call_pending = true;
  sched->counters.store_reads++;
  if (!watch->listed)
    sched->platform->store_list (sched->platform_data, watch->prefix,
                                 on_prefix_listed, watch);
  else
    sched->platform->store_watch (
        sched->platform_data, watch->prefix, watch->after_revision,
        SCHED_WATCH_TIMEOUT_MS, on_watch_reply, watch);
}

void
sched_store_tick (struct rst_scheduler *sched)
{
  watch_tick (&sched->settings_watch);
  watch_tick (&sched->shared_watch);
  sched_zone_writer_tick (sched);
}

/* ---- Ownership record -------------------------------------------------- */

static char *
build_zone_key (const struct rst_scheduler *sched)
{
  return g_strconcat (RST_KEY_ZONE_RECORDS, sched->config.zone, NULL);
}

/* Ends the write under way, whose outcome is known now. */
static void
finish_write (struct rst_scheduler *sched, bool ok)
{
  struct zone_writer *writer = &sched->zone_writer;

  g_free (writer->written_text);
  writer->written_text = NULL;
  writer->write_pending = false;
  writer->next_at
      = sched_now (sched) + (ok ? 0 : sched_add_jitter (sched, 100));
  writer->done (sched, ok);
}

static void read_record (struct rst_scheduler *sched);

/* Tells from the record, by its writer and the number of the write, whether
   the write under way has taken effect. */
static void
on_record_read (const struct rst_platform_reply *reply, void *data)
{
  struct rst_scheduler *sched = data;
  const struct rst_zone *zone;
  bool is_own_write = false;

  if (reply->result == RST_PLATFORM_OK && reply->kv_count == 1)
    {
      sched_apply_branch (sched, reply->kvs[0].key, reply->kvs[0].revision,
                          reply->kvs[0].value);
      zone = sched_get_zone (sched);
      is_own_write = zone != NULL
                     && zone->write_number == sched->zone_writer.write_number
                     && strcmp (zone->writer, sched->incarnation) == 0;
      finish_write (sched, is_own_write);
    }
  else if (reply->result == RST_PLATFORM_NOT_FOUND)
    finish_write (sched, false);
  else
    sched->zone_writer.verify_at
        = sched_now (sched) + sched_add_jitter (sched, SCHED_STORE_RETRY_MS);
}

static void
read_record (struct rst_scheduler *sched)
{
  char *key = build_zone_key (sched);

  sched->zone_writer.verify_at = 0;
  sched->counters.store_reads++;
  sched->platform->store_get (sched->platform_data, key, on_record_read,
                              sched);
  g_free (key);
}

static void
on_written (const struct rst_platform_reply *reply, void *data)
{
  struct rst_scheduler *sched = data;
  char *key;

  if (reply->result != RST_PLATFORM_OK)
    {
      read_record (sched);
      return;
    }
  key = build_zone_key (sched);
  sched_apply_branch (sched, key, reply->revision,
                      sched->zone_writer.written_text);
  g_free (key);
  finish_write (sched, true);
}

/* Changes the own zone's ownership record: @update changes a copy, which is
   written if it returns true.  @done is called with whether the write took
   effect.  Returns false, without calling @done, if nothing was sent: a write
   is under way, it is too early for the next one, the members are not known or
   @update had nothing to change. */
bool
sched_zone_update (struct rst_scheduler *sched,
                   sched_zone_update_function update, void *data,
                   void (*done) (struct rst_scheduler *, bool))
{
  struct zone_writer *writer = &sched->zone_writer;
  const struct rst_zone *current = sched_get_zone (sched);
  struct rst_zone *zone;
  char *key;

  if (writer->write_pending || sched_now (sched) < writer->next_at
      || !sched->shared_watch.listed)
    return false;
  zone = current != NULL ? rst_zone_copy (current)
                         : rst_zone_create (sched->config.zone);
  if (!update (sched, zone, data))
    {
      rst_zone_destroy (zone);
      return false;
    }
  writer->write_pending = true;
  writer->done = done;
  zone->write_number = ++writer->write_number;
  g_strlcpy (zone->writer, sched->incarnation, RST_NAME_SIZE);
  writer->written_text = rst_zone_format (zone);
  key = build_zone_key (sched);
  sched->counters.store_writes++;
  sched->platform->store_put (sched->platform_data, key, writer->written_text,
                              (int64_t)zone->revision, 0, on_written, sched);
  g_free (key);
  rst_zone_destroy (zone);
  return true;
}

/* Repeats the read that settles the outcome of a write, once it is due. */
void
sched_zone_writer_tick (struct rst_scheduler *sched)
{
  struct zone_writer *writer = &sched->zone_writer;

  if (writer->write_pending && writer->verify_at != 0
      && sched_now (sched) >= writer->verify_at)
    read_record (sched);
}
