#include "cell/isolation.h"

#include <string.h>

#include <glib.h>

struct rst_isolation
{
  char zone[RST_ID_SIZE];
  /* struct known_agent by name. */
  GHashTable *agents;
  rst_ms evaluated_at;
  /* End of the last gap between two evaluations. */
  rst_ms resumed_at;
};

struct known_agent
{
  char zone[RST_ID_SIZE];
  rst_ms heard_at;
};

struct rst_isolation *
rst_isolation_create (const char *zone)
{
  struct rst_isolation *isolation = g_new0 (struct rst_isolation, 1);

  g_strlcpy (isolation->zone, zone, sizeof isolation->zone);
  isolation->agents
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return isolation;
}

void
rst_isolation_destroy (struct rst_isolation *isolation)
{
  if (isolation == NULL)
    return;
  g_hash_table_destroy (isolation->agents);
  g_free (isolation);
}

void
rst_isolation_note_heard (struct rst_isolation *isolation, const char *name,
                          const char *zone, rst_ms now)
{
  struct known_agent *agent = g_hash_table_lookup (isolation->agents, name);

  if (agent == NULL)
    {
      agent = g_new0 (struct known_agent, 1);
      g_hash_table_insert (isolation->agents, g_strdup (name), agent);
    }
  g_strlcpy (agent->zone, zone, sizeof agent->zone);
  agent->heard_at = now;
}

/* Counts the agents and the silent ones, and forgets those that were lost
   long before the last confirmation. */
static void
count_agents (struct rst_isolation *isolation, rst_ms now, rst_ms confirmed_at,
              struct rst_isolation_signs *signs)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, isolation->agents);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct known_agent *agent = value;
      bool is_other = strcmp (agent->zone, isolation->zone) != 0;
      rst_ms silent_since = MAX (agent->heard_at, isolation->resumed_at);
      bool is_silent = now - silent_since > RST_ISOLATION_SILENCE_MS;

      if (agent->heard_at < confirmed_at - RST_ISOLATION_ROSTER_MS)
        {
          g_hash_table_iter_remove (&iter);
          continue;
        }
      signs->agents++;
      signs->silent_agents += is_silent ? 1 : 0;
      signs->other_agents += is_other ? 1 : 0;
      signs->silent_other_agents += is_other && is_silent ? 1 : 0;
    }
}

bool
rst_isolation_evaluate (struct rst_isolation *isolation, rst_ms now,
                        rst_ms confirmed_at, struct rst_isolation_signs *signs)
{
  memset (signs, 0, sizeof *signs);
  signs->confirm_age_ms = now - confirmed_at;
  if (now - isolation->evaluated_at > RST_ISOLATION_GAP_MAX_MS)
    isolation->resumed_at = now;
  isolation->evaluated_at = now;
  count_agents (isolation, now, confirmed_at, signs);
  if (signs->other_agents == 0
      || signs->confirm_age_ms <= RST_ISOLATION_CONFIRM_AGE_MS)
    return false;
  return signs->silent_other_agents == signs->other_agents
         || 2 * signs->silent_agents > signs->agents;
}
