/**
 * DOC: sched_limit - parts of the teams' upper limits
 *
 * Each scheduler holds a part of a team's upper limit and starts runs only
 * within it.  Parts grow ahead of need and shrink when other members need
 * them, by compare-and-swap on one limit record for each team.  Only its
 * holder lowers a part, or any member once the holder's tenure has ended.
 */
#include "coordination/scheduler_private.h"

#include <stdlib.h>
#include <string.h>

#define LOG_DOMAIN "limit"

/** Time for which rejected starts count as demand after the last of them. */
#define DEMAND_TTL_MS 1500

/** Time between two rejections below which they belong to one burst. */
#define REJECTION_BURST_MS 50

/* Runs of one team on one instance that was handed over. */
struct handed_over
{
  char instance[RST_NAME_SIZE];
  uint32_t count;
  CK_LIST_ENTRY (handed_over) entry;
};

/* A number of runs to be moved from the own part to that of the new owner of
   an instance; @written once the write under way contains it. */
struct transfer
{
  char receiver[RST_NAME_SIZE];
  uint32_t count;
  bool written;
  CK_LIST_ENTRY (transfer) entry;
};

/* The team's upper limit on runs in all zones; 0 for an unknown team. */
uint32_t
sched_limit_get_upper (const struct rst_scheduler *sched, const char *team)
{
  const struct rst_team *settings
      = rst_settings_find_team (sched->settings, team);

  return settings != NULL ? settings->upper_limit : 0;
}

struct team *
sched_team_get (struct rst_scheduler *sched, const char *name)
{
  struct team *team = g_hash_table_lookup (sched->teams, name);

  if (team != NULL)
    return team;
  team = g_new0 (struct team, 1);
  team->sched = sched;
  team->cap = UINT32_MAX;
  g_strlcpy (team->name, name, RST_NAME_SIZE);
  CK_STAILQ_INIT (&team->urgent);
  CK_STAILQ_INIT (&team->normal);
  CK_LIST_INIT (&team->handed_over_list);
  CK_LIST_INIT (&team->transfers);
  g_hash_table_insert (sched->teams, team->name, team);
  return team;
}

static void
remove_handed_over (struct team *team, struct handed_over *handed_over)
{
  team->handed_over_count -= handed_over->count;
  CK_LIST_REMOVE (handed_over, entry);
  g_free (handed_over);
}

static void
clear_handed_over_and_transfers (struct team *team)
{
  struct handed_over *handed_over;
  struct transfer *transfer;

  while ((handed_over = CK_LIST_FIRST (&team->handed_over_list)) != NULL)
    remove_handed_over (team, handed_over);
  while ((transfer = CK_LIST_FIRST (&team->transfers)) != NULL)
    {
      CK_LIST_REMOVE (transfer, entry);
      g_free (transfer);
    }
}

void
sched_team_free (gpointer data)
{
  struct team *team = data;

  clear_handed_over_and_transfers (team);
  g_free (team->written_text);
  g_free (team);
}

/* Whether the own part has room for one more run. */
bool
sched_limit_allows_start (const struct team *team)
{
  uint32_t upper = sched_limit_get_upper (team->sched, team->name);

  if (upper == RST_NO_UPPER_LIMIT || RST_FAULT (RST_FAULT_IGNORE_UPPER_LIMIT))
    return true;
  return team->run_count + team->handed_over_count
         < MIN (MIN (team->granted, upper), team->cap);
}

bool
sched_limit_is_covered (const struct team *team)
{
  uint32_t upper = sched_limit_get_upper (team->sched, team->name);

  return upper == RST_NO_UPPER_LIMIT
         || team->run_count + team->handed_over_count <= team->granted;
}

/* Gives up all parts, because the own tenure has ended. */
void
sched_limit_reset (struct rst_scheduler *sched)
{
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, sched->teams);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct team *team = value;

      team->granted = 0;
      clear_handed_over_and_transfers (team);
    }
}

/* ---- Runs on instances that were handed over --------------------------- */

void
sched_limit_add_handed_over (struct team *team, const char *instance)
{
  struct handed_over *handed_over;

  CK_LIST_FOREACH (handed_over, &team->handed_over_list, entry)
  if (strcmp (handed_over->instance, instance) == 0)
    break;
  if (handed_over == NULL)
    {
      handed_over = g_new0 (struct handed_over, 1);
      g_strlcpy (handed_over->instance, instance, RST_NAME_SIZE);
      CK_LIST_INSERT_HEAD (&team->handed_over_list, handed_over, entry);
    }
  handed_over->count++;
  team->handed_over_count++;
}

static uint32_t
count_runs_on (const struct instance *instance, const struct team *team)
{
  uint32_t count = 0;
  const struct run *run;

  CK_LIST_FOREACH (run, &instance->runs, entry)
  if (run->counted && run->team == team)
    count++;
  return count;
}

static void
send_adopted (struct rst_scheduler *sched, const struct instance *instance,
              const char *team, uint32_t count)
{
  struct rst_message message = { 0 };
  GHashTableIter iterator;
  gpointer value;

  message.type = RST_ADOPTED;
  message.adopted.instance = (char *)instance->info.name;
  message.adopted.team = (char *)team;
  message.adopted.count = count;
  g_hash_table_iter_init (&iterator, sched->peers);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct peer *peer = value;

      if (peer->has_greeted && peer->role == RST_ROLE_SCHEDULER
          && strcmp (peer->zone, sched->config.zone) == 0)
        sched_send (sched, peer->link, &message);
    }
}

/* Tells the schedulers of the zone how many runs of each team now count here.
   The last message, without a team, says that there are no others. */
void
sched_limit_announce_adopted (const struct instance *instance)
{
  struct rst_scheduler *sched = instance->sched;
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, sched->teams);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct team *team = value;
      uint32_t count = count_runs_on (instance, team);

      if (count > 0)
        send_adopted (sched, instance, team->name, count);
    }
  send_adopted (sched, instance, "", 0);
}

static void
add_transfer (struct team *team, const char *receiver, uint32_t count)
{
  struct transfer *transfer = g_new0 (struct transfer, 1);

  g_strlcpy (transfer->receiver, receiver, RST_NAME_SIZE);
  transfer->count = count;
  CK_LIST_INSERT_HEAD (&team->transfers, transfer, entry);
}

/* The new owner of an instance counts @count of the team's runs there from now
   on.  They no longer count here, and as much of the own part moves to it. */
static void
move_adopted (struct team *team, const char *instance, const char *receiver,
              uint32_t count)
{
  struct handed_over *handed_over = CK_LIST_FIRST (&team->handed_over_list);

  while (handed_over != NULL)
    {
      struct handed_over *next = CK_LIST_NEXT (handed_over, entry);

      if (strcmp (handed_over->instance, instance) == 0)
        {
          uint32_t moved
              = MIN (MIN (handed_over->count, count), team->granted);

          if (moved > 0)
            {
              /* Not usable here from before the write is sent. */
              team->granted -= moved;
              add_transfer (team, receiver, moved);
            }
          remove_handed_over (team, handed_over);
        }
      handed_over = next;
    }
}

void
sched_limit_handle_adopted (struct rst_scheduler *sched, struct peer *peer,
                            const struct rst_message *message)
{
  const struct rst_adopted_runs *adopted = &message->adopted;
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, sched->teams);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct team *team = value;

      if (adopted->team[0] == '\0')
        move_adopted (team, adopted->instance, peer->incarnation, 0);
      else if (strcmp (team->name, adopted->team) == 0)
        move_adopted (team, adopted->instance, peer->incarnation,
                      (uint32_t)adopted->count);
    }
}

/* ---- The limit record -------------------------------------------------- */

/* Applies a revision of a team's limit record unless it is known.  What
   transfers and the write under way give up stays unusable. */
void
sched_limit_apply_record (struct rst_scheduler *sched, const char *name,
                          uint64_t revision, const char *value)
{
  struct team *team = sched_team_get (sched, name);
  struct rst_limit limit;
  const struct rst_limit_part *part;
  uint32_t withheld = 0;
  const struct transfer *transfer;

  if (team->limit_known && revision <= team->limit.revision)
    return;
  if (rst_limit_parse (value[0] != '\0' ? value : NULL, revision, &limit)
      != RST_OK)
    {
      rst_warning (LOG_DOMAIN, "Limit record is malformed; it is ignored.",
                   "team", name);
      return;
    }
  team->limit = limit;
  team->limit_known = true;
  part = rst_limit_find_part (&team->limit, sched->incarnation);
  CK_LIST_FOREACH (transfer, &team->transfers, entry)
  withheld += transfer->count;
  withheld += team->write_pending ? team->shrink_pending : 0;
  team->granted = part != NULL && part->granted > withheld
                      ? part->granted - withheld
                      : 0;
}

static void on_limit_written (const struct rst_platform_reply *reply,
                              void *data);

static char *
build_limit_key (const struct team *team)
{
  return g_strconcat ("shared/limits/", team->name, NULL);
}

static void
finish_write (struct team *team)
{
  team->write_pending = false;
  team->shrink_pending = 0;
  g_free (team->written_text);
  team->written_text = NULL;
  team->next_at
      = sched_now (team->sched)
        + sched_add_jitter (team->sched, SCHED_LIMIT_WRITE_INTERVAL_MS);
}

static void
drop_written_transfers (struct team *team)
{
  struct transfer *transfer = CK_LIST_FIRST (&team->transfers);

  while (transfer != NULL)
    {
      struct transfer *next = CK_LIST_NEXT (transfer, entry);

      if (transfer->written)
        {
          CK_LIST_REMOVE (transfer, entry);
          g_free (transfer);
        }
      transfer = next;
    }
}

/* The write under way has taken effect at this revision. */
static void
apply_own_write (struct team *team, uint64_t revision)
{
  char *text = team->written_text;

  team->written_text = NULL;
  drop_written_transfers (team);
  finish_write (team);
  team->limit_known = false;
  sched_limit_apply_record (team->sched, team->name, revision, text);
  g_free (text);
}

/* Whether a record is the result of the write under way or based on it. */
static bool
is_own_write (const struct team *team, struct rst_limit *limit)
{
  const struct rst_limit_part *part
      = rst_limit_find_part (limit, team->writer);

  return part != NULL && part->write_number == team->write_number;
}

/* Sends the write under way.  If its outcome is unknown, the same write is
   sent again: while the record is unchanged, the first may still arrive. */
static void
send_write (struct team *team)
{
  struct rst_scheduler *sched = team->sched;
  char *key = build_limit_key (team);

  sched->counters.store_writes++;
  sched->platform->store_put (sched->platform_data, key, team->written_text,
                              (int64_t)team->base_revision, 0,
                              on_limit_written, team);
  g_free (key);
}

static void
on_limit_read (const struct rst_platform_reply *reply, void *data)
{
  struct team *team = data;
  bool found = reply->result == RST_PLATFORM_OK && reply->kv_count == 1;
  uint64_t revision = found ? reply->kvs[0].revision : 0;
  struct rst_limit limit;

  if (!found && reply->result != RST_PLATFORM_NOT_FOUND)
    {
      team->verify_at = sched_now (team->sched)
                        + sched_add_jitter (team->sched, SCHED_STORE_RETRY_MS);
      return;
    }
  if (revision == team->base_revision)
    {
      send_write (team);
      return;
    }
  if (found
      && rst_limit_parse (reply->kvs[0].value, revision, &limit) == RST_OK
      && is_own_write (team, &limit))
    drop_written_transfers (team);
  finish_write (team);
  team->limit_known = false;
  sched_limit_apply_record (team->sched, team->name, revision,
                            found ? reply->kvs[0].value : "");
}

static void
read_limit (struct team *team)
{
  struct rst_scheduler *sched = team->sched;
  char *key = build_limit_key (team);

  team->verify_at = 0;
  sched->counters.store_reads++;
  sched->platform->store_get (sched->platform_data, key, on_limit_read, team);
  g_free (key);
}

static void
on_limit_written (const struct rst_platform_reply *reply, void *data)
{
  struct team *team = data;

  if (reply->result == RST_PLATFORM_OK)
    apply_own_write (team, reply->revision);
  else
    read_limit (team);
}

static void
write_limit (struct team *team, struct rst_limit *limit)
{
  struct rst_scheduler *sched = team->sched;
  struct rst_limit_part *own;

  /* The own part carries the number of the write, so it must exist. */
  if (rst_limit_find_part (limit, sched->incarnation) == NULL)
    rst_limit_grow_part (limit, sched->incarnation, 0, 0);
  own = rst_limit_find_part (limit, sched->incarnation);
  if (own == NULL)
    return;
  own->write_number = ++team->write_number;
  team->write_pending = true;
  team->base_revision = limit->revision;
  g_strlcpy (team->writer, sched->incarnation, RST_NAME_SIZE);
  team->written_text = rst_limit_format (limit);
  send_write (team);
}

/* ---- Changes of the limit record --------------------------------------- */

/* Whether an incarnation belongs to this zone but is not a member of it, so
   that its tenure has ended. */
static bool
has_left_zone (const struct rst_scheduler *sched, const char *holder)
{
  const struct rst_zone *zone = sched_get_zone (sched);
  size_t length = strlen (sched->config.zone);

  return zone != NULL && strncmp (holder, sched->config.zone, length) == 0
         && holder[length] == ':'
         && rst_zone_find_member (zone, holder) == NULL;
}

/* Whether each instance of the zone is settled, so that the runs of all former
   members are counted by present ones. */
static bool
is_zone_settled (const struct rst_scheduler *sched)
{
  const struct rst_zone *zone = sched_get_zone (sched);

  for (int i = 0; i < zone->owned_count; i++)
    if (!zone->owned[i].settled)
      return false;
  return true;
}

static bool
apply_transfers (struct team *team, struct rst_limit *limit)
{
  struct transfer *transfer;
  bool changed = false;

  CK_LIST_FOREACH (transfer, &team->transfers, entry)
  {
    struct rst_limit_part *own
        = rst_limit_find_part (limit, team->sched->incarnation);
    struct rst_limit_part *receiver;

    transfer->written = true;
    changed = true;
    if (own == NULL || own->granted < transfer->count
        || rst_limit_grow_part (limit, transfer->receiver, 0, 0)
               == RST_ERROR_FULL)
      continue;
    own = rst_limit_find_part (limit, team->sched->incarnation);
    receiver = rst_limit_find_part (limit, transfer->receiver);
    own->granted -= transfer->count;
    receiver->granted += transfer->count;
  }
  return changed;
}

/* Takes what runs here need and the own part lacks from the parts of members
   that have left the zone. */
static bool
take_parts_of_departed (struct team *team, struct rst_limit *limit,
                        uint32_t need)
{
  struct rst_scheduler *sched = team->sched;
  struct rst_limit_part *own;
  bool changed = false;

  for (int i = 0; i < limit->part_count && need > 0; i++)
    {
      struct rst_limit_part *part = &limit->parts[i];
      uint32_t taken = MIN (part->granted, need);

      if (taken == 0 || !has_left_zone (sched, part->holder)
          || rst_limit_grow_part (limit, sched->incarnation, 0, 0)
                 == RST_ERROR_FULL)
        continue;
      own = rst_limit_find_part (limit, sched->incarnation);
      limit->parts[i].granted -= taken;
      own->granted += taken;
      need -= taken;
      changed = true;
    }
  return changed;
}

/* Removes parts of members that have left, once no run can need them. */
static bool
remove_parts_of_departed (struct team *team, struct rst_limit *limit)
{
  bool changed = false;
  int i = 0;

  if (!is_zone_settled (team->sched))
    return false;
  while (i < limit->part_count)
    {
      if (has_left_zone (team->sched, limit->parts[i].holder))
        {
          limit->parts[i] = limit->parts[limit->part_count - 1];
          limit->part_count--;
          changed = true;
        }
      else
        i++;
    }
  return changed;
}

void
sched_limit_note_rejected_start (struct team *team)
{
  rst_ms now = sched_now (team->sched);
  uint32_t in_use = team->run_count + team->handed_over_count;
  if (now - team->last_rejection_at < REJECTION_BURST_MS)
    team->burst_rejections++;
  else
    team->burst_rejections = 1;
  /* A gang that was rejected releases its reservations before the part can
     grow, so the whole need is recorded and not what is missing now. */
  if (now - team->last_rejection_at >= DEMAND_TTL_MS)
    team->demanded_runs = 0;
  team->demanded_runs
      = MAX (team->demanded_runs, in_use + team->burst_rejections);
  team->last_rejection_at = now;
}

/* Queued queries, and tasks whose starts were rejected lately. */
static uint32_t
get_demand (const struct team *team)
{
  uint32_t in_use = team->run_count + team->handed_over_count;
  bool is_recent
      = sched_now (team->sched) - team->last_rejection_at < DEMAND_TTL_MS;
  uint32_t tasks = is_recent && team->demanded_runs > in_use
                       ? team->demanded_runs - in_use
                       : 0;

  return team->queued_count + tasks;
}

/* Raises the own part to the need, as far as the limit leaves room, and
   records what is still wanted. */
static bool
grow_part (struct team *team, struct rst_limit *limit, uint32_t upper)
{
  struct rst_limit_part *part
      = rst_limit_find_part (limit, team->sched->incarnation);
  uint32_t in_use = team->run_count + team->handed_over_count;
  uint32_t want = in_use + get_demand (team);
  uint32_t wanted_before = part != NULL ? part->wanted : 0;
  uint32_t granted_before = part != NULL ? part->granted : 0;
  uint32_t more = want > granted_before ? want - granted_before : 0;

  if (more == 0 && wanted_before == 0)
    return false;
  if (more > 0)
    more = MAX (more, SCHED_LIMIT_MIN_GROWTH_RUNS);
  rst_limit_grow_part (limit, team->sched->incarnation, upper, more);
  part = rst_limit_find_part (limit, team->sched->incarnation);
  return part != NULL
         && (part->granted != granted_before || part->wanted != wanted_before);
}

/* Lowers the own part when others need it or the limit was lowered, though not
   below the runs that count here. */
static bool
shrink_part (struct team *team, struct rst_limit *limit, uint32_t upper)
{
  uint32_t in_use = team->run_count + team->handed_over_count;
  const struct rst_limit_part *part
      = rst_limit_find_part (limit, team->sched->incarnation);
  uint32_t target;

  team->excess_runs = 0;
  team->cap = UINT32_MAX;
  if (part == NULL)
    return false;
  target = rst_limit_get_target_part (limit, team->sched->incarnation, upper,
                                      in_use, get_demand (team));
  team->excess_runs = in_use > target ? in_use - target : 0;
  /* Nothing is started beyond the target until the part is lowered. */
  if (rst_limit_sum_granted (limit) > upper)
    team->cap = target;
  target = MAX (target, in_use);
  if (target >= part->granted)
    return false;
  /* What is given up must not be used from before the write is sent. */
  team->shrink_pending = part->granted - target;
  team->granted = MIN (team->granted, target);
  rst_limit_shrink_part (limit, team->sched->incarnation, target);
  return true;
}

/* Parts are resized only when none has to be moved between members. */
static bool
update_limit (struct team *team, struct rst_limit *limit, uint32_t upper)
{
  uint32_t in_use = team->run_count + team->handed_over_count;
  uint32_t need = in_use > team->granted ? in_use - team->granted : 0;
  bool changed = apply_transfers (team, limit);

  changed = take_parts_of_departed (team, limit, need) || changed;
  changed = remove_parts_of_departed (team, limit) || changed;
  if (changed)
    return true;
  return shrink_part (team, limit, upper) || grow_part (team, limit, upper);
}

static void
team_tick (struct team *team)
{
  struct rst_scheduler *sched = team->sched;
  uint32_t upper = sched_limit_get_upper (sched, team->name);
  struct rst_limit limit;

  if (team->write_pending)
    {
      if (team->verify_at != 0 && sched_now (sched) >= team->verify_at)
        read_limit (team);
      return;
    }
  if (upper == RST_NO_UPPER_LIMIT || sched_now (sched) < team->next_at)
    return;
  if (team->limit.part_count == 0 && get_demand (team) == 0
      && team->run_count == 0)
    return;
  limit = team->limit;
  if (update_limit (team, &limit, upper))
    write_limit (team, &limit);
}

void
sched_limit_tick (struct rst_scheduler *sched)
{
  GHashTableIter iterator;
  gpointer value;

  if (sched->joined_revision == 0 || sched->stopped
      || !sched->shared_watch.listed || sched->session != SESSION_REGISTERED)
    return;
  g_hash_table_iter_init (&iterator, sched->teams);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    team_tick (value);
}
