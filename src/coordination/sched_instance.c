/**
 * DOC: sched_instance - the list of instances, adoption and renewal
 *
 * An instance is used only once it was told the owner's epoch and has listed
 * what it runs; from then on it refuses commands of older epochs.
 */
#include "coordination/sched_instance_private.h"

#include <string.h>

#define LOG_PREFIX "instance"

/** Failures in a row after which an instance gets no work for a while. */
#define BREAKER_FAILURES 3

/** First time for which a failing instance gets no work. */
#define BREAKER_OPEN_MS 2000

bool
sched_instance_usable (const struct rst_scheduler *sched,
                       const struct instance *instance)
{
  return instance->phase == INSTANCE_READY && !instance->yielding
         && instance->listed
         && (!instance->info.leaving || RST_FAULT (RST_FAULT_LEAVING))
         && rst_breaker_allows (&instance->breaker, sched_now (sched));
}

static void
count_work (struct work *work, int sign)
{
  struct instance *instance = work->instance;

  if (instance->info.kind == RST_RUNNER)
    instance->slots_used += sign;
  instance->cpu_used += sign * work->info.cpu;
  instance->memory_used += sign * work->info.memory_mb;
  instance->accelerators_used += sign * work->info.accelerators;
  work->team->used = (uint32_t)((int)work->team->used + sign);
  instance->sched->load_changed = true;
}

struct work *
sched_work_add (struct instance *instance, const struct rst_work *info)
{
  struct work *work = g_new0 (struct work, 1);

  work->info = *info;
  work->instance = instance;
  work->team = sched_team (instance->sched, info->team);
  work->started_at = sched_now (instance->sched);
  CK_LIST_INSERT_HEAD (&instance->work, work, entry);
  work->counted = true;
  count_work (work, 1);
  if (info->job[0] != '\0')
    sched_task_added (work);
  return work;
}

void
sched_work_uncount (struct work *work)
{
  if (!work->counted)
    return;
  work->counted = false;
  count_work (work, -1);
}

void
sched_work_remove (struct work *work)
{
  sched_task_removed (work);
  sched_work_uncount (work);
  if (work->instance != NULL)
    CK_LIST_REMOVE (work, entry);
  g_free (work);
}

void
sched_work_end (struct work *work, uint64_t result)
{
  work->info.result = (int64_t)result;
  work->ended = true;
  work->end_sent_at = 0;
  sched_work_uncount (work);
}

struct work *
sched_work_find (const struct instance *instance, const char *id)
{
  struct work *work;

  CK_LIST_FOREACH (work, &instance->work, entry)
  if (strcmp (work->info.id, id) == 0)
    return work;
  return NULL;
}

void
sched_instance_free (gpointer data)
{
  struct instance *instance = data;
  struct work *work;

  while ((work = CK_LIST_FIRST (&instance->work)) != NULL)
    sched_work_remove (work);
  g_free (instance);
}

static struct instance *
find_or_add (struct rst_scheduler *sched, const char *name)
{
  struct instance *instance = g_hash_table_lookup (sched->instances, name);

  if (instance != NULL)
    return instance;
  instance = g_new0 (struct instance, 1);
  instance->sched = sched;
  g_strlcpy (instance->info.name, name, RST_NAME_SIZE);
  CK_LIST_INIT (&instance->work);
  rst_breaker_init (&instance->breaker, BREAKER_FAILURES, BREAKER_OPEN_MS);
  g_hash_table_insert (sched->instances, instance->info.name, instance);
  return instance;
}

/* Detaches work that a call under way still refers to; frees the rest. */
static void
release_work (struct instance *instance, bool keep_away)
{
  struct work *work = CK_LIST_FIRST (&instance->work);

  while (work != NULL)
    {
      struct work *next = CK_LIST_NEXT (work, entry);

      if (work->counted && keep_away)
        sched_limit_away (work->team, instance->info.name);
      sched_task_removed (work);
      sched_work_uncount (work);
      CK_LIST_REMOVE (work, entry);
      if (work->calls > 0)
        work->instance = NULL;
      else
        g_free (work);
      work = next;
    }
}

static void
drop_instance (struct instance *instance, bool keep_away)
{
  if (instance->phase == INSTANCE_FOREIGN)
    return;
  rst_info (LOG_PREFIX, "Instance is no longer owned.", "instance",
            instance->info.name);
  instance->phase = INSTANCE_FOREIGN;
  instance->yielding = false;
  release_work (instance, keep_away);
  g_ptr_array_remove_fast (instance->sched->owned, instance);
  instance->sched->load_changed = true;
}

void
sched_instance_drop_all (struct rst_scheduler *sched)
{
  while (sched->owned->len > 0)
    drop_instance (g_ptr_array_index (sched->owned, 0), false);
}

static void
begin_adoption (struct instance *instance, uint64_t epoch)
{
  struct rst_scheduler *sched = instance->sched;

  if (instance->phase != INSTANCE_FOREIGN)
    drop_instance (instance, false);
  instance->phase = INSTANCE_ADOPTING;
  instance->epoch = epoch;
  instance->yielding = false;
  instance->life = sched->life;
  instance->next_inspect = 0;
  instance->heard_at = sched_now (sched);
  instance->renewals_failed = 0;
  /* Calls made under the old epoch no longer report here. */
  instance->inspecting = false;
  instance->renewing = false;
  g_ptr_array_add (sched->owned, instance);
}

static void
apply_owned (struct rst_scheduler *sched, const struct rst_zone *zone,
             const struct rst_owned *owned)
{
  bool mine = strcmp (owned->owner, sched->incarnation) == 0;
  struct instance *instance;

  if (!mine)
    {
      instance = g_hash_table_lookup (sched->instances, owned->instance);
      /* Work that was handed over, one by one or by a planned stop, counts
         here until the new owner has said that it counts it. */
      if (instance != NULL)
        drop_instance (instance, instance->yielding || sched->stopping);
      return;
    }
  instance = find_or_add (sched, owned->instance);
  if (instance->phase == INSTANCE_FOREIGN || instance->epoch != owned->epoch)
    begin_adoption (instance, owned->epoch);
  else if (instance->yielding && zone->revision > instance->yielding_revision)
    instance->yielding = false;
  instance->settled = owned->settled;
}

void
sched_instance_zone_changed (struct rst_scheduler *sched)
{
  const struct rst_zone *zone = sched_zone (sched);

  for (int i = 0; i < zone->owned_count; i++)
    apply_owned (sched, zone, &zone->owned[i]);
  for (guint i = sched->owned->len; i > 0; i--)
    {
      struct instance *instance = g_ptr_array_index (sched->owned, i - 1);

      if (rst_zone_find_owned (zone, instance->info.name) == NULL)
        drop_instance (instance, false);
    }
}

static void
apply_info (struct rst_scheduler *sched, const struct rst_instance_info *info)
{
  struct instance *instance = find_or_add (sched, info->name);

  if (instance->listed && instance->info.leaving != info->leaving)
    {
      rst_info (LOG_PREFIX,
                info->leaving ? "Instance is leaving." : "Instance is back.",
                "instance", info->name);
      sched->load_changed = true;
    }
  instance->info = *info;
  instance->listed = true;
}

static void
on_instances (const struct rst_platform_reply *reply, void *data)
{
  struct rst_scheduler *sched = data;
  GHashTableIter iterator;
  gpointer value;

  sched->list_busy = false;
  sched->list_next_at = sched_now (sched) + sched->config.list_ms;
  if (reply->result != RST_PLATFORM_OK
      || reply->revision == sched->list_revision)
    return;
  sched->list_known = true;
  sched->list_revision = reply->revision;
  g_hash_table_iter_init (&iterator, sched->instances);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    ((struct instance *)value)->listed = false;
  for (int i = 0; i < reply->instance_count; i++)
    apply_info (sched, &reply->instances[i]);
}

static void
list_tick (struct rst_scheduler *sched)
{
  if (sched->list_busy || sched_now (sched) < sched->list_next_at)
    return;
  sched->list_busy = true;
  sched->platform->list_fetch (sched->platform_data, sched->list_revision,
                               on_instances, sched);
}

static bool
is_claimable (const struct rst_scheduler *sched,
              const struct instance *instance)
{
  return instance->listed
         && strcmp (instance->info.zone, sched->config.zone) == 0;
}

static bool
claim_instances (struct rst_scheduler *sched, struct rst_zone *zone,
                 void *data)
{
  const struct rst_zone *present = sched_zone (sched);
  GPtrArray *names = g_ptr_array_new ();
  GHashTableIter iterator;
  gpointer value;
  int count;

  (void)data;
  g_hash_table_iter_init (&iterator, sched->instances);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    if (is_claimable (sched, value))
      g_ptr_array_add (names, ((struct instance *)value)->info.name);
  /* Instances that are listed no more need an owner to be forgotten. */
  for (int i = 0; present != NULL && i < present->owned_count; i++)
    if (present->owned[i].owner[0] == '\0')
      g_ptr_array_add (names, (gpointer)present->owned[i].instance);
  count = rst_zone_claim (zone, sched->incarnation,
                          (const char *const *)names->pdata, (int)names->len);
  g_ptr_array_free (names, TRUE);
  return count > 0;
}

static bool
is_settled_now (const struct instance *instance)
{
  const struct work *work;

  CK_LIST_FOREACH (work, &instance->work, entry)
  if (work->counted && !sched_limit_covered (work->team))
    return false;
  return instance->phase == INSTANCE_READY;
}

static bool
is_gone (const struct instance *instance)
{
  const struct rst_scheduler *sched = instance->sched;

  return sched->list_known && !instance->listed
         && CK_LIST_EMPTY (&instance->work)
         && sched_now (sched) - instance->heard_at
                > sched->config.task_lease_ms + LEASE_MARGIN_MS;
}

static bool
settle_instances (struct rst_scheduler *sched, struct rst_zone *zone)
{
  bool changed = false;

  for (guint i = 0; i < sched->owned->len; i++)
    {
      const struct instance *instance = g_ptr_array_index (sched->owned, i);

      if (is_gone (instance))
        changed
            = rst_zone_forget (zone, instance->info.name) == RST_OK || changed;
      else if (!instance->settled && is_settled_now (instance))
        changed
            = rst_zone_settle (zone, instance->info.name, sched->incarnation)
                  == RST_OK
              || changed;
    }
  return changed;
}

/* Instances that are idle move first; no start happens on one that moves. */
static bool
yield_instances (struct rst_scheduler *sched, struct rst_zone *zone)
{
  uint64_t revision = zone->revision;
  int moves
      = MAX (SCHED_YIELD_MOVES, (int)sched->owned->len / SCHED_YIELD_PART);
  int moved = rst_zone_yield (zone, sched->incarnation, moves);

  for (guint i = 0; i < sched->owned->len && moved > 0; i++)
    {
      struct instance *instance = g_ptr_array_index (sched->owned, i);
      const struct rst_owned *owned
          = rst_zone_find_owned (zone, instance->info.name);

      if (owned != NULL && owned->owner[0] == '\0')
        {
          instance->yielding = true;
          instance->yielding_revision = revision;
        }
    }
  return moved > 0;
}

static bool
update_zone (struct rst_scheduler *sched, struct rst_zone *zone, void *data)
{
  bool changed = claim_instances (sched, zone, data);

  changed = settle_instances (sched, zone) || changed;
  if (!changed)
    changed = yield_instances (sched, zone);
  return changed;
}

static void
on_zone_written (struct rst_scheduler *sched, bool ok)
{
  (void)ok;
  sched->zone_next_at = sched_now (sched) + sched_jitter (sched, 100);
}

static void
zone_tick (struct rst_scheduler *sched)
{
  rst_ms now = sched_now (sched);

  if (sched->stopping || now < sched->zone_next_at || !sched->list_known
      || sched->joined_revision == 0 || sched->session != SESSION_CONFIRMED)
    return;
  sched->zone_next_at = now + SCHED_ZONE_EVERY_MS;
  sched_zone_write (sched, update_zone, NULL, on_zone_written);
}

void
sched_instance_tick (struct rst_scheduler *sched)
{
  list_tick (sched);
  for (guint i = 0; i < sched->owned->len; i++)
    {
      struct instance *instance = g_ptr_array_index (sched->owned, i);

      sched_instance_inspect_tick (instance);
      sched_instance_renew_tick (instance);
    }
  zone_tick (sched);
}
