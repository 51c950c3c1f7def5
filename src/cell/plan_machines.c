/* TRIAL: what the list of machines says of silent instances. */
#include <inttypes.h>
#include <string.h>

#include "cell/planner_private.h"

#define TRIAL_INTERVAL_MS 400

bool
rst_planner_wants_machines (struct rst_planner *planner)
{
  if (!rst_planner_is_ready (planner)
      || planner->now < planner->next_machines_at)
    return false;
  planner->next_machines_at = planner->now + TRIAL_INTERVAL_MS;
  return true;
}

static void
trial_log (struct rst_planner *planner, struct instance *instance,
           const struct rst_machine *machine, rst_ms requested_at, int before)
{
  char silent[24];
  char age[24];
  char unreg[24];
  char seen[24];
  char runs[24];
  char was[24];
  char flags[160];

  g_snprintf (silent, sizeof silent, "%" PRId64,
              instance->runs_known ? -1
                                   : planner->now - instance->runs_unknown_since);
  g_snprintf (age, sizeof age, "%" PRId64, planner->now - requested_at);
  g_snprintf (unreg, sizeof unreg, "%" PRId64,
              instance->registered ? -1
                                   : planner->now - instance->unregistered_at);
  g_snprintf (seen, sizeof seen, "%" PRId64,
              planner->now - instance->incarnation_seen_at);
  g_snprintf (runs, sizeof runs, "%u", g_hash_table_size (instance->runs));
  g_snprintf (was, sizeof was, "%d", before);
  g_snprintf (flags, sizeof flags, "%s%s%s%s%s",
              instance->inherited ? "inherited " : "",
              instance->entry.draining ? "draining " : "",
              instance->is_replaced ? "replaced " : "",
              instance->agent == NULL ? "no-agent " : "",
              instance->incarnation == 0 ? "never-answered" : "");
  rst_info (RST_PLAN_LOG, "TRIAL", "instance", instance->entry.id, "listed",
            machine != NULL ? machine->state : "NO", "was", was, "answers",
            instance->runs_known ? "yes" : "no", "silent_ms", silent,
            "list_age_ms", age, "unregistered_ms", unreg, "incarnation_age_ms",
            seen, "runs", runs, "flags", flags, "zone", instance->entry.zone);
}

void
rst_planner_note_machines (struct rst_planner *planner, const GArray *machines,
                           rst_ms requested_at)
{
  GHashTable *ids = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  gpointer value;
  int empty = 0;
  int unknown = 0;
  int not_up = 0;
  int duplicates = 0;
  char text[200];

  for (guint i = 0; i < machines->len; i++)
    {
      struct rst_machine *machine
          = &g_array_index (machines, struct rst_machine, i);

      if (machine->id[0] == '\0')
        empty++;
      else if (!g_hash_table_insert (ids, machine->id, machine))
        duplicates++;
      else if (!g_hash_table_contains (planner->instances, machine->id))
        unknown++;
      if (strcmp (machine->state, "up") != 0)
        not_up++;
    }
  g_snprintf (text, sizeof text,
              "machines=%u empty=%d unknown=%d not_up=%d duplicates=%d age=%d",
              machines->len, empty, unknown, not_up, duplicates,
              (int)(planner->now - requested_at));
  rst_info (RST_PLAN_LOG, "TRIAL list", "sums", text);
  g_hash_table_iter_init (&iter, planner->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct instance *instance = value;
      struct rst_machine *machine
          = g_hash_table_lookup (ids, instance->entry.id);
      /* 1: listed, answers. 2: listed, silent. 3: not listed, answers.
         4: not listed, silent; 5: not listed, silent since before. */
      int state = machine != NULL ? (instance->runs_known ? 1 : 2)
                  : instance->runs_known ? 3
                  : instance->runs_unknown_since < requested_at ? 5
                                                                : 4;
      if (state == instance->trial_state)
        continue;
      if (instance->trial_state != 0 || state != 1)
        trial_log (planner, instance, machine, requested_at,
                   instance->trial_state);
      instance->trial_state = state;
      if (state == 5)
        instance->trial_unlisted_at = planner->now;
    }
  g_hash_table_destroy (ids);
}
