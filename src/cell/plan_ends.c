/* Ends of runs that wait to be stored and acknowledged.

   A run leaves the table with its end, but the end may reach the store commits
   later.  Until then a successor has to wait for the run. */
#include "cell/planner_private.h"

bool
rst_plan_instance_may_have_runs (const struct instance *instance)
{
  return g_hash_table_size (instance->runs) > 0
         || instance->unstored_ends->len > 0;
}

void
rst_plan_note_unstored_end (struct instance *instance,
                            const struct rst_run *listed)
{
  struct unstored_end end = { 0 };

  end.number = listed->end_number;
  g_strlcpy (end.task, listed->task, sizeof end.task);
  end.attempt = listed->attempt;
  g_array_append_val (instance->unstored_ends, end);
}

void
rst_plan_discard_unstored_ends (struct instance *instance)
{
  g_array_set_size (instance->unstored_ends, 0);
}

/* Whether the progress of the end's job waits for a later segment. */
static bool
is_unstored (const struct rst_planner *planner, const struct unstored_end *end)
{
  char id[RST_JOB_ID_SIZE];
  const struct job *job;

  g_strlcpy (id, end->task, sizeof id);
  job = g_hash_table_lookup (planner->jobs, id);
  return job != NULL && job->dirty;
}

static void
discard_stored_ends (const struct rst_planner *planner,
                     struct instance *instance)
{
  GArray *ends = instance->unstored_ends;
  guint kept = 0;

  for (guint i = 0; i < ends->len; i++)
    {
      struct unstored_end end = g_array_index (ends, struct unstored_end, i);

      if (is_unstored (planner, &end))
        g_array_index (ends, struct unstored_end, kept++) = end;
    }
  g_array_set_size (ends, kept);
}

void
rst_plan_discard_stored_ends (struct rst_planner *planner)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, planner->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    discard_stored_ends (planner, value);
}

bool
rst_plan_mark_ends_committing (struct rst_planner *planner)
{
  bool are_all_stored = true;
  GHashTableIter iter;
  gpointer value;

  rst_plan_discard_stored_ends (planner);
  g_hash_table_iter_init (&iter, planner->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct instance *instance = value;
      const GArray *ends = instance->unstored_ends;

      instance->committing_end = instance->last_applied_end;
      if (ends->len == 0)
        continue;
      instance->committing_end
          = g_array_index (ends, struct unstored_end, 0).number - 1;
      are_all_stored = false;
    }
  return are_all_stored;
}

static void
send_ack (struct rst_planner *planner, const struct instance *instance)
{
  struct rst_pack pack;

  if (instance->agent == NULL)
    return;
  rst_pack_init (&pack, 4);
  rst_pack_int (&pack, RST_MSG_ACK);
  rst_pack_text (&pack, instance->entry.id);
  rst_pack_int (&pack, instance->last_acked_end);
  rst_pack_int (&pack, instance->incarnation);
  rst_plan_send (planner, instance->agent->link, &pack);
}

void
rst_plan_send_acks (struct rst_planner *planner)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, planner->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct instance *instance = value;

      if (instance->committing_end <= instance->last_acked_end)
        continue;
      instance->last_acked_end = instance->committing_end;
      send_ack (planner, instance);
    }
}
