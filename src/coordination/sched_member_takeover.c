/* Taking over from members that are silent. */
#include "coordination/sched_member_private.h"

#include <stdlib.h>
#include <string.h>

#define LOG_PREFIX "member"

/** Head start of each rank when several may end a tenure. */
#define TAKEOVER_DELAY_PER_RANK_MS 400

static void
delay_takeover (struct takeover *takeover)
{
  struct rst_scheduler *sched = takeover->sched;

  takeover->busy = false;
  takeover->next_at
      = sched_now (sched) + sched_jitter (sched, SCHED_STORE_RETRY_MS);
  if (!takeover->fenced)
    rst_promises_set_refused (sched->promises, takeover->member, false);
}

static void
on_fenced (const struct rst_platform_reply *reply, void *data)
{
  struct takeover *takeover = data;

  if (reply->result == RST_PLATFORM_OK)
    {
      takeover->fenced = true;
      takeover->busy = false;
      rst_info (LOG_PREFIX, "Ended the tenure of a member.", "member",
                takeover->member);
      takeover->sched->counters.takeovers++;
    }
  else
    delay_takeover (takeover);
}

static void
write_fence (struct takeover *takeover)
{
  struct rst_scheduler *sched = takeover->sched;
  struct rst_member_record record = { 0 };
  char *key = sched_member_record_key (sched, takeover->member);
  char *text;

  g_strlcpy (record.incarnation, takeover->member, RST_NAME_SIZE);
  g_strlcpy (record.fenced_by, sched->incarnation, RST_NAME_SIZE);
  text = rst_member_record_format (&record);
  sched->counters.store_writes++;
  sched->platform->store_put (sched->platform_data, key, text,
                              (int64_t)takeover->revision, 0, on_fenced,
                              takeover);
  free (text);
  g_free (key);
}

static bool
is_known_stopped (const struct takeover *takeover)
{
  return g_hash_table_contains (takeover->sched->stopped_members,
                                takeover->member);
}

static void
on_alive_key_read (const struct rst_platform_reply *reply, void *data)
{
  struct takeover *takeover = data;

  if (reply->result == RST_PLATFORM_NOT_FOUND)
    write_fence (takeover);
  else
    delay_takeover (takeover);
}

static void
read_alive_key (struct takeover *takeover)
{
  struct rst_scheduler *sched = takeover->sched;
  char *key = sched_member_alive_key (sched, takeover->member);

  sched->counters.store_reads++;
  sched->platform->store_get (sched->platform_data, key, on_alive_key_read,
                              takeover);
  g_free (key);
}

/* The member's register is read before its lease: had it come back between
   the two, the write of the fence would find another revision. */
static void
on_member_read (const struct rst_platform_reply *reply, void *data)
{
  struct takeover *takeover = data;
  struct rst_scheduler *sched = takeover->sched;
  struct rst_member_record record;

  if (reply->result == RST_PLATFORM_NOT_FOUND)
    {
      takeover->fenced = true;
      takeover->busy = false;
      return;
    }
  if (reply->result != RST_PLATFORM_OK || reply->kv_count != 1
      || rst_member_record_parse (reply->kvs[0].value, &record) != RST_OK)
    {
      delay_takeover (takeover);
      return;
    }
  takeover->revision = reply->kvs[0].revision;
  if (record.fenced_by[0] != '\0')
    {
      takeover->fenced = true;
      takeover->busy = false;
    }
  else if (is_known_stopped (takeover))
    write_fence (takeover);
  else if (sched->joined_revision == 0 || sched->joined_revision > record.view)
    delay_takeover (takeover);
  else
    read_alive_key (takeover);
}

static void
begin_fence (struct takeover *takeover)
{
  struct rst_scheduler *sched = takeover->sched;
  char *key = sched_member_record_key (sched, takeover->member);

  takeover->busy = true;
  rst_promises_set_refused (sched->promises, takeover->member, true);
  sched->counters.store_reads++;
  sched->platform->store_get (sched->platform_data, key, on_member_read,
                              takeover);
  g_free (key);
}

static bool
remove_fenced (struct rst_scheduler *sched, struct rst_zone *zone, void *data)
{
  struct takeover *takeover;
  bool changed = false;

  (void)data;
  CK_LIST_FOREACH (takeover, &sched->takeovers, entry)
  if (takeover->fenced
      && rst_zone_remove_member (zone, takeover->member) == RST_OK)
    changed = true;
  return changed;
}

static void
ignore_removal_result (struct rst_scheduler *sched, bool ok)
{
  (void)sched;
  (void)ok;
}

void
sched_member_delete_record (struct rst_scheduler *sched,
                            const char *incarnation)
{
  char *key = sched_member_record_key (sched, incarnation);

  sched->counters.store_writes++;
  sched->platform->store_delete (sched->platform_data, key, RST_ANY_REVISION,
                                 sched_ignore_reply, sched);
  g_free (key);
}

/* Own place among the members that may end a tenure. */
static int
get_own_rank (const struct rst_scheduler *sched, const struct rst_zone *zone,
              const char *excluded)
{
  int rank = 0;

  for (int i = 0; i < zone->member_count; i++)
    {
      const char *incarnation = zone->members[i].incarnation;

      if (strcmp (incarnation, sched->incarnation) == 0)
        break;
      if (strcmp (incarnation, excluded) != 0
          && g_hash_table_contains (sched->alive_members, incarnation))
        rank++;
    }
  return rank;
}

static void
takeover_tick (struct takeover *takeover, const struct rst_zone *zone)
{
  struct rst_scheduler *sched = takeover->sched;
  rst_ms now = sched_now (sched);
  rst_ms wait = get_own_rank (sched, zone, takeover->member)
                * TAKEOVER_DELAY_PER_RANK_MS;

  if (takeover->busy || takeover->fenced || now < takeover->next_at)
    return;
  if (is_known_stopped (takeover))
    begin_fence (takeover);
  else if (now - takeover->noticed_at >= wait
           && rst_promises_allow_fencing (sched->promises, takeover->member,
                                          now))
    begin_fence (takeover);
}

static void
add_missing_members (struct rst_scheduler *sched, const struct rst_zone *zone)
{
  for (int i = 0; i < zone->member_count; i++)
    {
      const char *incarnation = zone->members[i].incarnation;

      if (strcmp (incarnation, sched->incarnation) == 0)
        continue;
      if (!g_hash_table_contains (sched->alive_members, incarnation)
          || g_hash_table_contains (sched->stopped_members, incarnation))
        sched_member_add_takeover (sched, incarnation);
    }
}

static void
drop_finished_takeovers (struct rst_scheduler *sched,
                         const struct rst_zone *zone)
{
  struct takeover *takeover = CK_LIST_FIRST (&sched->takeovers);

  while (takeover != NULL)
    {
      struct takeover *next = CK_LIST_NEXT (takeover, entry);
      bool gone = rst_zone_find_member (zone, takeover->member) == NULL;
      bool back
          = !takeover->fenced && !is_known_stopped (takeover)
            && g_hash_table_contains (sched->alive_members, takeover->member);

      if (!takeover->busy && (gone || back))
        {
          if (gone && takeover->fenced)
            sched_member_delete_record (sched, takeover->member);
          CK_LIST_REMOVE (takeover, entry);
          g_free (takeover);
        }
      takeover = next;
    }
}

void
sched_member_takeovers_tick (struct rst_scheduler *sched)
{
  const struct rst_zone *zone = sched_zone (sched);
  struct takeover *takeover;
  bool any_fenced = false;

  if (zone == NULL || !sched->shared_watch.listed)
    return;
  drop_finished_takeovers (sched, zone);
  /* A member acts as one only while its own lease stands. */
  if (!sched_member_is_registered (sched))
    return;
  add_missing_members (sched, zone);
  CK_LIST_FOREACH (takeover, &sched->takeovers, entry)
  {
    takeover_tick (takeover, zone);
    any_fenced = any_fenced || takeover->fenced;
  }
  if (any_fenced)
    sched_zone_update (sched, remove_fenced, NULL, ignore_removal_result);
}

void
sched_member_note_stopped (struct rst_scheduler *sched,
                           const char *incarnation)
{
  if (strcmp (incarnation, sched->incarnation) == 0)
    return;
  rst_tenure_record_member_stop (sched->tenure, incarnation,
                                 sched_now (sched));
  if (!g_hash_table_contains (sched->stopped_members, incarnation))
    {
      rst_info (LOG_PREFIX, "A member has certainly stopped.", "member",
                incarnation);
      g_hash_table_add (sched->stopped_members, g_strdup (incarnation));
    }
}
