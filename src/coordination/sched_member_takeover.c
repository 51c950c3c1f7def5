/**
 * DOC: sched_member_takeover - ending the tenure of members that are silent or
 * have stopped
 *
 * A takeover fences the member by overwriting its member record, then removes
 * it from the ownership record, which leaves its instances to be claimed.
 */
#include "coordination/sched_member_private.h"

#include <stdlib.h>
#include <string.h>

#define LOG_DOMAIN "member"

/** Delay before fencing for each live member that ranks before this one, so
 * that the members seldom try at the same time. */
#define TAKEOVER_DELAY_PER_RANK_MS 400

/* Ends an attempt that failed; while the member is not fenced, it is given
   promises again. */
static void
delay_takeover (struct takeover *takeover)
{
  struct rst_scheduler *sched = takeover->sched;

  takeover->call_pending = false;
  takeover->next_at
      = sched_now (sched) + sched_add_jitter (sched, SCHED_STORE_RETRY_MS);
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
      takeover->call_pending = false;
      rst_info (LOG_DOMAIN,
                "Tenure of a member was ended; its instances are reassigned.",
                "member", takeover->member);
      takeover->sched->counters.takeovers++;
    }
  else
    delay_takeover (takeover);
}

/* Overwrites the member record as it was read; a member that has written since
   keeps its tenure. */
static void
write_fence (struct takeover *takeover)
{
  struct rst_scheduler *sched = takeover->sched;
  struct rst_member_record record = { 0 };
  char *key = sched_member_build_record_key (sched, takeover->member);
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
  char *key = sched_member_build_alive_key (sched, takeover->member);

  sched->counters.store_reads++;
  sched->platform->store_get (sched->platform_data, key, on_alive_key_read,
                              takeover);
  g_free (key);
}

/* The member record is read before the alive key: if the member registers
   again between the two reads, the write of the fence finds another revision
   and fails. */
static void
on_member_read (const struct rst_platform_reply *reply, void *data)
{
  struct takeover *takeover = data;
  struct rst_scheduler *sched = takeover->sched;
  struct rst_member_record record;

  if (reply->result == RST_PLATFORM_NOT_FOUND)
    {
      takeover->fenced = true;
      takeover->call_pending = false;
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
      takeover->call_pending = false;
    }
  else if (is_known_stopped (takeover))
    write_fence (takeover);
  else if (sched->joined_revision == 0 || sched->joined_revision > record.view)
    delay_takeover (takeover);
  else
    read_alive_key (takeover);
}

/* Reads the member record.  The member gets no more promises meanwhile, which
   could prolong its tenure. */
static void
begin_fence (struct takeover *takeover)
{
  struct rst_scheduler *sched = takeover->sched;
  char *key = sched_member_build_record_key (sched, takeover->member);

  takeover->call_pending = true;
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
  char *key = sched_member_build_record_key (sched, incarnation);

  sched->counters.store_writes++;
  sched->platform->store_delete (sched->platform_data, key, RST_ANY_REVISION,
                                 sched_ignore_reply, sched);
  g_free (key);
}

/* Number of live members that precede this one in the ownership record. */
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

/* Fences a member that has stopped at once, any other once it has been silent
   for long enough. */
static void
takeover_tick (struct takeover *takeover, const struct rst_zone *zone)
{
  struct rst_scheduler *sched = takeover->sched;
  rst_ms now = sched_now (sched);
  rst_ms wait = get_own_rank (sched, zone, takeover->member)
                * TAKEOVER_DELAY_PER_RANK_MS;

  if (takeover->call_pending || takeover->fenced || now < takeover->next_at)
    return;
  if (is_known_stopped (takeover))
    begin_fence (takeover);
  else if (now - takeover->noticed_at >= wait
           && rst_promises_allow_fencing (sched->promises, takeover->member,
                                          now))
    begin_fence (takeover);
}

/* Adds takeovers of members without an alive key or known to have stopped. */
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

/* Drops the takeovers of members that are removed or that are alive again. */
static void
drop_finished_takeovers (struct rst_scheduler *sched,
                         const struct rst_zone *zone)
{
  struct takeover *takeover = CK_LIST_FIRST (&sched->takeovers);

  while (takeover != NULL)
    {
      struct takeover *next = CK_LIST_NEXT (takeover, entry);
      bool is_removed = rst_zone_find_member (zone, takeover->member) == NULL;
      bool is_alive
          = !takeover->fenced && !is_known_stopped (takeover)
            && g_hash_table_contains (sched->alive_members, takeover->member);

      if (!takeover->call_pending && (is_removed || is_alive))
        {
          if (is_removed && takeover->fenced)
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
  const struct rst_zone *zone = sched_get_zone (sched);
  struct takeover *takeover;
  bool any_fenced = false;

  if (zone == NULL || !sched->shared_watch.listed)
    return;
  drop_finished_takeovers (sched, zone);
  /* Only a member with a store lease of its own ends the tenure of others. */
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

/* Records that a member has stopped for certain: it can be fenced at once, and
   the own tenure may do without its promises. */
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
      rst_info (LOG_DOMAIN, "Member has stopped; its tenure will be ended.",
                "member", incarnation);
      g_hash_table_add (sched->stopped_members, g_strdup (incarnation));
    }
}
