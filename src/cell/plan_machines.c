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

int rst_trial_sums[16];

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
  char text[700];

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
      if (state == 1 && instance->trial_state == 2)
        rst_trial_sums[0]++;
      if (state == 2)
        rst_trial_sums[1]++;
      if (state == 5)
        rst_trial_sums[2]++;
      if (state == 3)
        rst_trial_sums[3]++;
      if (state == 3 && !instance->entry.draining)
        rst_trial_sums[4]++;
      if (state <= 2 && instance->trial_state == 5)
        rst_trial_sums[5]++;
      if (state <= 2 && instance->trial_state == 4)
        rst_trial_sums[6]++;
      if (state <= 2 && instance->trial_state == 3)
        rst_trial_sums[7]++;
      if (state == 5 && instance->registered)
        rst_trial_sums[11]++;
      if (state == 5 && g_hash_table_size (instance->runs) > 0)
        rst_trial_sums[12]++;
      if (state == 5 && instance->inherited)
        rst_trial_sums[13]++;
      instance->trial_state = state;
      if (state == 5)
        instance->trial_unlisted_at = planner->now;
    }
  g_snprintf (text, sizeof text,
              "machines=%u empty=%d unknown=%d not_up=%d duplicates=%d age=%d "
              "cutback=%d silent_listed=%d gone=%d answ_unl=%d answ_unl_nodrain=%d "
              "gone_listed=%d sil_unl_listed=%d answ_unl_listed=%d "
              "gone_answered=%d recent_answered=%d never_answered_first=%d "
              "gone_registered=%d gone_runs=%d gone_inherited=%d",
              machines->len, empty, unknown, not_up, duplicates,
              (int)(planner->now - requested_at), rst_trial_sums[0], rst_trial_sums[1], rst_trial_sums[2], rst_trial_sums[3], rst_trial_sums[4], rst_trial_sums[5], rst_trial_sums[6], rst_trial_sums[7], rst_trial_sums[8], rst_trial_sums[9], rst_trial_sums[10], rst_trial_sums[11], rst_trial_sums[12], rst_trial_sums[13]);
  rst_info (RST_PLAN_LOG, "TRIAL list", "sums", text);
  g_hash_table_destroy (ids);
}
