/* What the platform's list of machines says of silent instances.

   An instance is one life of a machine.  The runs of a silent instance are
   known to be gone when its lease has certainly expired; they are gone earlier
   when no machine has the instance any more.  A list is not a snapshot: a
   machine that is removed while the pages are read moves a later one to a page
   that has been read.  So two lists must lack the instance one after the
   other, both requested after it fell silent. */
#include <inttypes.h>
#include <string.h>

#include "cell/planner_private.h"

/** How long an instance has been silent when the list is read for it, in
    milliseconds.  Most that are silent for a shorter time answer again. */
#define SILENCE_MS 500

/** Time between two lists while more instances fall silent, in milliseconds.
 */
#define INTERVAL_MS 1000

/** Time between two lists while the same instances are silent, in
    milliseconds. */
#define UNCHANGED_INTERVAL_MS 5000

/** Time until a list is read that confirms the last one, in milliseconds. */
#define CONFIRM_INTERVAL_MS 250

/** Time between two checks whether the list is wanted, in milliseconds. */
#define CHECK_MS 100

/** How long the list may be behind, in milliseconds: an instance that has not
    been listed yet must have answered this long ago. */
#define LIST_LAG_MS 2000

/** A list is not believed if it lacks more than one of this many instances
    that answer. */
#define ANSWERING_PER_UNLISTED 10

/* Whether the list may show that the instance has ended, and this makes a
   difference.  An instance that this planner has known and that was not
   draining has perhaps crashed.  Its tasks then wait for the answer from its
   address, which counts the crash, or for the end of its lease. */
static bool
is_candidate (const struct instance *instance)
{
  return !instance->runs_known && !instance->is_replaced
         && !instance->listing.has_left
         && (instance->inherited || g_hash_table_size (instance->runs) > 0)
         && (instance->inherited || instance->entry.draining
             || instance->incarnation == 0);
}

/* Finds out whether any candidate has been silent for long enough, and whether
   one has been so only since the last complete list. */
static bool
find_candidates (const struct rst_planner *planner, bool *is_new)
{
  GHashTableIter iter;
  gpointer value;
  bool found = false;

  *is_new = false;
  g_hash_table_iter_init (&iter, planner->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct instance *instance = value;
      rst_ms due_at = instance->runs_unknown_since + SILENCE_MS;

      if (!is_candidate (instance) || planner->now < due_at)
        continue;
      found = true;
      *is_new |= due_at > planner->machine_watch.listed_at;
    }
  return found;
}

bool
rst_planner_wants_machines (struct rst_planner *planner)
{
  rst_ms interval = UNCHANGED_INTERVAL_MS;
  bool is_new;

  if (!rst_planner_is_ready (planner)
      || planner->now < planner->machine_watch.next_check_at)
    return false;
  planner->machine_watch.next_check_at = planner->now + CHECK_MS;
  if (!find_candidates (planner, &is_new))
    return false;
  if (planner->machine_watch.unconfirmed)
    interval = CONFIRM_INTERVAL_MS;
  else if (is_new)
    interval = INTERVAL_MS;
  if (planner->machine_watch.wanted_at != 0
      && planner->now - planner->machine_watch.wanted_at < interval)
    return false;
  planner->machine_watch.wanted_at = planner->now;
  planner->machine_watch.unconfirmed = false;
  return true;
}

/* Whether a machine without an instance may be that of this instance, which
   may start again under its id.  Its rack or zone is unknown if it has no
   entry. */
static bool
may_start_again (const GArray *machines, const struct instance *instance)
{
  const struct rst_instance_entry *entry = &instance->entry;

  for (guint i = 0; i < machines->len; i++)
    {
      const struct rst_machine *machine
          = &g_array_index (machines, struct rst_machine, i);

      if (machine->id[0] == '\0'
          && (entry->zone[0] == '\0'
              || strcmp (machine->zone, entry->zone) == 0)
          && (entry->rack[0] == '\0' || machine->rack[0] == '\0'
              || strcmp (machine->rack, entry->rack) == 0))
        return true;
    }
  return false;
}

/* Whether an instance is known for longer than the list may be behind.  One of
   the journal answered the predecessor before it was recorded, which is longer
   ago than the takeover and the silence since. */
static bool
is_old_enough (const struct instance *instance, rst_ms requested_at)
{
  return instance->listing.was_listed
         || requested_at - instance->incarnation_seen_at >= LIST_LAG_MS;
}

static void
log_ended (const struct rst_planner *planner, const struct instance *instance,
           rst_ms requested_at)
{
  char age_ms[24];
  char silent_ms[24];
  char runs[16];

  g_snprintf (age_ms, sizeof age_ms, "%" PRId64, planner->now - requested_at);
  g_snprintf (silent_ms, sizeof silent_ms, "%" PRId64,
              planner->now - instance->runs_unknown_since);
  g_snprintf (runs, sizeof runs, "%u", g_hash_table_size (instance->runs));
  rst_info (RST_PLAN_LOG,
            "No machine has an instance any more; the instance has ended.",
            "instance", instance->entry.id, "silent_ms", silent_ms,
            "list_age_ms", age_ms, "runs", runs, "inherited",
            instance->inherited ? "yes" : "no");
}

/* Handles a list that lacks an instance, or has no machine for it. */
static void
note_unlisted (struct rst_planner *planner, struct instance *instance,
               const GArray *machines, rst_ms requested_at)
{
  rst_ms silent_since = instance->runs_unknown_since;

  if (!is_candidate (instance) || !is_old_enough (instance, requested_at)
      || may_start_again (machines, instance))
    {
      instance->listing.unlisted_since = 0;
      return;
    }
  if (instance->listing.unlisted_since <= silent_since)
    {
      instance->listing.unlisted_since = requested_at;
      planner->machine_watch.unconfirmed = true;
      return;
    }
  if (requested_at <= instance->listing.unlisted_since)
    return;
  log_ended (planner, instance, requested_at);
  instance->listing.has_left = true;
  rst_plan_note_instance_ended (planner, instance);
}

void
rst_plan_note_answer (struct instance *instance)
{
  if (instance->listing.has_left)
    rst_warning (RST_PLAN_LOG,
                 "Instance answers though no machine had it; what it lists "
                 "counts again.",
                 "instance", instance->entry.id);
  instance->is_replaced = false;
  instance->listing.has_left = false;
  instance->has_moved = false;
}

/* Whether the list has most of the instances that answer.  Otherwise it is
   that of other machines, or much of it is missing. */
static bool
is_plausible (const struct rst_planner *planner, GHashTable *listed)
{
  GHashTableIter iter;
  gpointer value;
  guint answering = 0;
  guint unlisted = 0;

  g_hash_table_iter_init (&iter, planner->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct instance *instance = value;

      if (!instance->runs_known)
        continue;
      answering++;
      if (!g_hash_table_contains (listed, instance->entry.id))
        unlisted++;
    }
  return answering > 0 && unlisted * ANSWERING_PER_UNLISTED <= answering;
}

/* Returns the ids on the list, which owns them. */
static GHashTable *
collect_ids (const GArray *machines)
{
  GHashTable *ids = g_hash_table_new (g_str_hash, g_str_equal);

  for (guint i = 0; i < machines->len; i++)
    {
      struct rst_machine *machine
          = &g_array_index (machines, struct rst_machine, i);

      if (machine->id[0] != '\0')
        g_hash_table_add (ids, machine->id);
    }
  return ids;
}

void
rst_planner_note_machines (struct rst_planner *planner, const GArray *machines,
                           rst_ms requested_at)
{
  GHashTable *listed = collect_ids (machines);
  GHashTableIter iter;
  gpointer value;

  if (!is_plausible (planner, listed))
    {
      rst_warning (RST_PLAN_LOG,
                   "List of machines lacks instances that answer; it is not "
                   "used.");
      g_hash_table_destroy (listed);
      return;
    }
  planner->machine_watch.listed_at = requested_at;
  g_hash_table_iter_init (&iter, planner->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct instance *instance = value;

      if (!g_hash_table_contains (listed, instance->entry.id))
        note_unlisted (planner, instance, machines, requested_at);
      else
        {
          instance->listing.was_listed = true;
          instance->listing.unlisted_since = 0;
        }
    }
  planner->pass_wanted = true;
  g_hash_table_destroy (listed);
}
