/**
 * DOC: sched_instance - instances that are listed or owned, and their runs
 *
 * The platform lists the instances; the ownership record says who owns them.
 * An owned instance is used only after it has been told the owner's epoch and
 * has listed its runs; from then on it refuses commands with older epochs.
 */
#include "coordination/sched_instance_private.h"

#include <string.h>

#define LOG_DOMAIN "instance"

/** Failures in a row after which nothing is started on an instance for a
 * while. */
#define BREAKER_FAILURES 3

/** First period for which nothing is started on a failing instance. */
#define BREAKER_FIRST_OPEN_MS 2000

bool
sched_instance_is_usable (const struct rst_scheduler *sched,
                          const struct instance *instance)
{
  return instance->phase == INSTANCE_READY && !instance->releasing
         && instance->listed
         && (!instance->info.leaving || RST_FAULT (RST_FAULT_START_ON_LEAVING))
         && rst_breaker_allows_request (&instance->breaker, sched_now (sched));
}

/* Adds a run to, or with a sign of -1 takes it from, the used resources of its
   instance and the team's number of runs. */
static void
update_usage (struct run *run, int sign)
{
  struct instance *instance = run->instance;

  if (instance->info.kind == RST_RUNNER)
    instance->slots_used += sign;
  instance->cpu_used += sign * run->info.cpu;
  instance->memory_used += sign * run->info.memory_mb;
  instance->accelerators_used += sign * run->info.accelerators;
  run->team->run_count = (uint32_t)((int)run->team->run_count + sign);
  instance->sched->load_changed = true;
}

struct run *
sched_run_add (struct instance *instance, const struct rst_run_info *info)
{
  struct run *run = g_new0 (struct run, 1);

  run->info = *info;
  run->instance = instance;
  run->team = sched_team_get (instance->sched, info->team);
  run->started_at = sched_now (instance->sched);
  CK_LIST_INSERT_HEAD (&instance->runs, run, entry);
  run->counted = true;
  update_usage (run, 1);
  if (info->job[0] != '\0')
    sched_task_index_run (run);
  return run;
}

/* Frees the run's resources and its place in the team's part. */
void
sched_run_release_resources (struct run *run)
{
  if (!run->counted)
    return;
  run->counted = false;
  update_usage (run, -1);
}

/* Frees a run. */
void
sched_run_remove (struct run *run)
{
  sched_task_unindex_run (run);
  sched_run_release_resources (run);
  if (run->instance != NULL)
    CK_LIST_REMOVE (run, entry);
  g_free (run);
}

/* Records the result of a task that has ended; the run stays until the end is
   acknowledged. */
void
sched_run_end (struct run *run, uint64_t result)
{
  run->info.result = (int64_t)result;
  run->ended = true;
  run->end_reported_at = 0;
  sched_run_release_resources (run);
}

struct run *
sched_run_find (const struct instance *instance, const char *id)
{
  struct run *run;

  CK_LIST_FOREACH (run, &instance->runs, entry)
  if (strcmp (run->info.id, id) == 0)
    return run;
  return NULL;
}

void
sched_instance_free (gpointer data)
{
  struct instance *instance = data;
  struct run *run;

  while ((run = CK_LIST_FIRST (&instance->runs)) != NULL)
    sched_run_remove (run);
  g_free (instance);
}

static struct instance *
find_or_add_instance (struct rst_scheduler *sched, const char *name)
{
  struct instance *instance = g_hash_table_lookup (sched->instances, name);

  if (instance != NULL)
    return instance;
  instance = g_new0 (struct instance, 1);
  instance->sched = sched;
  g_strlcpy (instance->info.name, name, RST_NAME_SIZE);
  CK_LIST_INIT (&instance->runs);
  rst_breaker_init (&instance->breaker, BREAKER_FAILURES,
                    BREAKER_FIRST_OPEN_MS);
  g_hash_table_insert (sched->instances, instance->info.name, instance);
  return instance;
}

/* Frees the runs of an instance that is no longer owned.  Runs with pending
   calls are only detached from it; the last call frees them. */
static void
release_runs (struct instance *instance, bool count_handed_over)
{
  struct run *run = CK_LIST_FIRST (&instance->runs);

  while (run != NULL)
    {
      struct run *next = CK_LIST_NEXT (run, entry);

      if (run->counted && count_handed_over)
        sched_limit_add_handed_over (run->team, instance->info.name);
      sched_task_unindex_run (run);
      sched_run_release_resources (run);
      CK_LIST_REMOVE (run, entry);
      if (run->pending_calls > 0)
        run->instance = NULL;
      else
        g_free (run);
      run = next;
    }
}

static void
drop_instance (struct instance *instance, bool count_handed_over)
{
  if (instance->phase == INSTANCE_NOT_OWNED)
    return;
  rst_info (LOG_DOMAIN, "Instance is no longer owned by this scheduler.",
            "instance", instance->info.name);
  instance->phase = INSTANCE_NOT_OWNED;
  instance->releasing = false;
  release_runs (instance, count_handed_over);
  g_ptr_array_remove_fast (instance->sched->owned, instance);
  instance->sched->load_changed = true;
}

void
sched_instance_drop_all (struct rst_scheduler *sched)
{
  while (sched->owned->len > 0)
    drop_instance (g_ptr_array_index (sched->owned, 0), false);
}

/* Begins the adoption of an instance that this member now owns, or still owns
   but under a new epoch. */
static void
begin_adoption (struct instance *instance, uint64_t epoch)
{
  struct rst_scheduler *sched = instance->sched;

  if (instance->phase != INSTANCE_NOT_OWNED)
    drop_instance (instance, false);
  instance->phase = INSTANCE_ADOPTING;
  instance->epoch = epoch;
  instance->releasing = false;
  instance->incarnation_number = sched->incarnation_number;
  instance->next_inspect_at = 0;
  instance->last_report_at = sched_now (sched);
  instance->renewals_failed = 0;
  /* Replies to calls made under an older epoch are ignored. */
  instance->inspection_pending = false;
  instance->renewal_pending = false;
  g_ptr_array_add (sched->owned, instance);
}

static void
apply_ownership (struct rst_scheduler *sched, const struct rst_zone *zone,
                 const struct rst_ownership *ownership)
{
  bool is_own = strcmp (ownership->owner, sched->incarnation) == 0;
  struct instance *instance;

  if (!is_own)
    {
      instance = g_hash_table_lookup (sched->instances, ownership->instance);
      /* Runs on an instance that was handed over, in a rebalance or a planned
         stop, count here until the new owner announces that it counts
         them. */
      if (instance != NULL)
        drop_instance (instance, instance->releasing || sched->stopping);
      return;
    }
  instance = find_or_add_instance (sched, ownership->instance);
  if (instance->phase == INSTANCE_NOT_OWNED
      || instance->epoch != ownership->epoch)
    begin_adoption (instance, ownership->epoch);
  else if (instance->releasing && zone->revision > instance->release_revision)
    instance->releasing = false;
  instance->settled = ownership->settled;
}

/* Applies a new revision of the own zone's ownership record. */
void
sched_instance_apply_zone (struct rst_scheduler *sched)
{
  const struct rst_zone *zone = sched_get_zone (sched);

  for (int i = 0; i < zone->owned_count; i++)
    apply_ownership (sched, zone, &zone->owned[i]);
  for (guint i = sched->owned->len; i > 0; i--)
    {
      struct instance *instance = g_ptr_array_index (sched->owned, i - 1);

      if (rst_zone_find_ownership (zone, instance->info.name) == NULL)
        drop_instance (instance, false);
    }
}

static void
apply_instance_info (struct rst_scheduler *sched,
                     const struct rst_instance_info *info)
{
  struct instance *instance = find_or_add_instance (sched, info->name);

  if (instance->listed && instance->info.leaving != info->leaving)
    {
      rst_info (LOG_DOMAIN,
                info->leaving
                    ? "Instance is leaving; nothing is started on it."
                    : "Instance is no longer leaving.",
                "instance", info->name);
      sched->load_changed = true;
    }
  instance->info = *info;
  instance->listed = true;
}

static void
on_instances_listed (const struct rst_platform_reply *reply, void *data)
{
  struct rst_scheduler *sched = data;
  GHashTableIter iterator;
  gpointer value;

  sched->list_fetch_pending = false;
  sched->list_next_at = sched_now (sched) + sched->config.list_interval_ms;
  if (reply->result != RST_PLATFORM_OK
      || reply->revision == sched->list_revision)
    return;
  sched->list_received = true;
  sched->list_revision = reply->revision;
  g_hash_table_iter_init (&iterator, sched->instances);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    ((struct instance *)value)->listed = false;
  for (int i = 0; i < reply->instance_count; i++)
    apply_instance_info (sched, &reply->instances[i]);
}

static void
list_tick (struct rst_scheduler *sched)
{
  if (sched->list_fetch_pending || sched_now (sched) < sched->list_next_at)
    return;
  sched->list_fetch_pending = true;
  sched->platform->instance_list_fetch (
      sched->platform_data, sched->list_revision, on_instances_listed, sched);
}

static bool
is_claimable (const struct rst_scheduler *sched,
              const struct instance *instance)
{
  return instance->listed
         && strcmp (instance->info.zone, sched->config.zone) == 0;
}

/* Claims instances without an owner, as far as rendezvous hashing prefers this
   member for them. */
static bool
claim_instances (struct rst_scheduler *sched, struct rst_zone *zone,
                 void *data)
{
  const struct rst_zone *current = sched_get_zone (sched);
  GPtrArray *names = g_ptr_array_new ();
  GHashTableIter iterator;
  gpointer value;
  int count;

  (void)data;
  g_hash_table_iter_init (&iterator, sched->instances);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    if (is_claimable (sched, value))
      g_ptr_array_add (names, ((struct instance *)value)->info.name);
  /* An instance that is no longer listed is claimed as well, since only its
     owner removes it from the record. */
  for (int i = 0; current != NULL && i < current->owned_count; i++)
    if (current->owned[i].owner[0] == '\0')
      g_ptr_array_add (names, (gpointer)current->owned[i].instance);
  count = rst_zone_claim_instances (zone, sched->incarnation,
                                    (const char *const *)names->pdata,
                                    (int)names->len);
  g_ptr_array_free (names, TRUE);
  return count > 0;
}

/* Whether all runs are known and the own parts of the limits cover them. */
static bool
is_ready_to_settle (const struct instance *instance)
{
  const struct run *run;

  CK_LIST_FOREACH (run, &instance->runs, entry)
  if (run->counted && !sched_limit_is_covered (run->team))
    return false;
  return instance->phase == INSTANCE_READY;
}

/* Whether an instance is no longer listed and can run nothing any more. */
static bool
is_removable (const struct instance *instance)
{
  const struct rst_scheduler *sched = instance->sched;

  return sched->list_received && !instance->listed
         && CK_LIST_EMPTY (&instance->runs)
         && sched_now (sched) - instance->last_report_at
                > sched->config.task_lease_ms + TASK_LEASE_MARGIN_MS;
}

/* Marks instances as settled, and removes those that no longer exist. */
static bool
settle_instances (struct rst_scheduler *sched, struct rst_zone *zone)
{
  bool changed = false;

  for (guint i = 0; i < sched->owned->len; i++)
    {
      const struct instance *instance = g_ptr_array_index (sched->owned, i);

      if (is_removable (instance))
        changed
            = rst_zone_remove_instance (zone, instance->info.name) == RST_OK
              || changed;
      else if (!instance->settled && is_ready_to_settle (instance))
        changed = rst_zone_mark_settled (zone, instance->info.name,
                                         sched->incarnation)
                      == RST_OK
                  || changed;
    }
  return changed;
}

/* Releases some of the instances that this member owns beyond its fair share.
   Nothing is started on them unless the write turns out to have failed. */
static bool
release_instances (struct rst_scheduler *sched, struct rst_zone *zone)
{
  uint64_t revision = zone->revision;
  int moves = MAX (SCHED_REBALANCE_MIN_MOVES,
                   (int)sched->owned->len / SCHED_REBALANCE_DIVISOR);
  int moved = rst_zone_release_excess (zone, sched->incarnation, moves);

  for (guint i = 0; i < sched->owned->len && moved > 0; i++)
    {
      struct instance *instance = g_ptr_array_index (sched->owned, i);
      const struct rst_ownership *ownership
          = rst_zone_find_ownership (zone, instance->info.name);

      if (ownership != NULL && ownership->owner[0] == '\0')
        {
          instance->releasing = true;
          instance->release_revision = revision;
        }
    }
  return moved > 0;
}

/* Instances are released only when there is nothing else to write. */
static bool
update_zone (struct rst_scheduler *sched, struct rst_zone *zone, void *data)
{
  bool changed = claim_instances (sched, zone, data);

  changed = settle_instances (sched, zone) || changed;
  if (!changed)
    changed = release_instances (sched, zone);
  return changed;
}

static void
on_zone_written (struct rst_scheduler *sched, bool ok)
{
  (void)ok;
  sched->zone_update_next_at
      = sched_now (sched) + sched_add_jitter (sched, 100);
}

static void
zone_tick (struct rst_scheduler *sched)
{
  rst_ms now = sched_now (sched);

  if (sched->stopping || now < sched->zone_update_next_at
      || !sched->list_received || sched->joined_revision == 0
      || sched->session != SESSION_REGISTERED)
    return;
  sched->zone_update_next_at = now + SCHED_ZONE_UPDATE_INTERVAL_MS;
  sched_zone_update (sched, update_zone, NULL, on_zone_written);
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
