/* Agents: which agent holds which instance, and under which fencing token. */
#include <string.h>

#include "cell/planner_private.h"

/** How long the answer to a start order may take after its agent has
    disconnected. */
#define ORPHANED_START_TIMEOUT_MS 200

/** Number of fencing tokens that a planner has for each instance: one for each
    incarnation of it, for each agent that holds it, and for each time that its
    lease expired with runs. */
#define FENCING_TOKENS_PER_EPOCH 1000000

/** Time between hold messages for an instance whose agent does not report. */
#define HOLD_RETRY_MS 700

/** An agent that has not answered the heartbeats of this long, while others
    have, gets no new work.  Heartbeats are sent every 250 ms, so it has missed
    two; a link is closed as silent only after 1,250 ms. */
#define AGENT_SILENCE_MAX_MS 400

rst_ms
rst_plan_get_latest_lease_expiry (const struct rst_planner *planner)
{
  return planner->now + planner->timing.unconfirmed_renewal_ms
         + planner->timing.lease_ms * RST_SLOW_CLOCK_PERCENT / 100
         + RST_LEASE_MARGIN_MS;
}

static struct agent *
find_agent (const struct rst_planner *planner, uint64_t link)
{
  for (guint i = 0; i < planner->agents->len; i++)
    {
      struct agent *agent = g_ptr_array_index (planner->agents, i);

      if (agent->link == link)
        return agent;
    }
  return NULL;
}

static struct agent *
choose_agent (const struct rst_planner *planner,
              const struct instance *instance)
{
  struct agent *best = NULL;
  int best_score = 0;

  for (guint i = 0; i < planner->agents->len; i++)
    {
      struct agent *agent = g_ptr_array_index (planner->agents, i);
      bool is_same_zone = strcmp (agent->zone, instance->entry.zone) == 0;
      int score = agent->instance_count + (is_same_zone ? 0 : 100000);

      if (best == NULL || score < best_score)
        {
          best = agent;
          best_score = score;
        }
    }
  return best;
}

int64_t
rst_plan_get_fencing_token (const struct rst_planner *planner,
                            const struct instance *instance)
{
  if (RST_CELL_FAULT (RST_CELL_FAULT_SHARED_TOKEN))
    return planner->epoch * FENCING_TOKENS_PER_EPOCH;
  return planner->epoch * FENCING_TOKENS_PER_EPOCH + instance->token_raises;
}

bool
rst_plan_raise_fencing_token (struct instance *instance)
{
  if (instance->token_raises == FENCING_TOKENS_PER_EPOCH - 1)
    return false;
  instance->token_raises++;
  if (instance->token_raises == FENCING_TOKENS_PER_EPOCH - 1)
    rst_warning (RST_PLAN_LOG,
                 "Last fencing token of an instance is in use; once its agent "
                 "is lost it waits for the next planner.",
                 "instance", instance->entry.id);
  return true;
}

void
rst_plan_send_hold (struct rst_planner *planner, struct instance *instance)
{
  struct rst_pack pack;

  instance->next_hold_at = planner->now + HOLD_RETRY_MS;
  rst_pack_init (&pack, 6);
  rst_pack_int (&pack, RST_MSG_HOLD);
  rst_pack_text (&pack, instance->entry.id);
  rst_pack_text (&pack, instance->entry.address);
  rst_pack_int (&pack, rst_plan_get_fencing_token (planner, instance));
  rst_pack_int (&pack, instance->last_acked_end);
  rst_pack_int (&pack, instance->incarnation);
  rst_plan_send (planner, instance->agent->link, &pack);
}

void
rst_plan_send_to_instance (struct rst_planner *planner,
                           struct instance *instance, int kind, int64_t number)
{
  struct rst_pack pack;

  if (instance->agent == NULL)
    return;
  rst_pack_init (&pack, 3);
  rst_pack_int (&pack, kind);
  rst_pack_text (&pack, instance->entry.id);
  rst_pack_int (&pack, number);
  rst_plan_send (planner, instance->agent->link, &pack);
}

void
rst_plan_mark_runs_unknown (struct rst_planner *planner,
                            struct instance *instance, rst_ms lease_expires_at,
                            enum lease_basis basis)
{
  instance->runs_unknown_since = planner->now;
  instance->runs_known = false;
  instance->lease_expires_at = lease_expires_at;
  instance->lease_basis = basis;
}

/* Notes that the agent was lost or replaced.  It may still extend the lease
   for a while, also if it last reported that the instance does not answer. */
static void
mark_agent_lost (struct rst_planner *planner, struct instance *instance)
{
  rst_ms unknown_since
      = instance->runs_known ? planner->now : instance->runs_unknown_since;

  if (RST_CELL_FAULT (RST_CELL_FAULT_IGNORE_LOST_AGENT)
      && !instance->runs_known)
    return;
  instance->former_lease_until = rst_plan_get_latest_lease_expiry (planner);
  rst_plan_mark_runs_unknown (planner, instance, instance->former_lease_until,
                              LEASE_BASIS_AGENT_LOST);
  instance->runs_unknown_since = unknown_since;
}

static void
assign_to_agent (struct rst_planner *planner, struct instance *instance,
                 struct agent *agent)
{
  if (instance->agent == agent)
    return;
  if (instance->agent != NULL)
    {
      instance->agent->instance_count--;
      rst_plan_send_to_instance (planner, instance, RST_MSG_RELEASE, 0);
      mark_agent_lost (planner, instance);
    }
  instance->agent = NULL;
  if (agent == NULL || !rst_plan_raise_fencing_token (instance))
    return;
  instance->agent = agent;
  agent->instance_count++;
  instance->poll_wait_ms = 0;
  rst_plan_send_hold (planner, instance);
}

void
rst_plan_assign_instance (struct rst_planner *planner,
                          struct instance *instance)
{
  assign_to_agent (planner, instance, choose_agent (planner, instance));
}

void
rst_plan_unassign_instance (struct rst_planner *planner,
                            struct instance *instance)
{
  assign_to_agent (planner, instance, NULL);
}

void
rst_plan_assign_instances (struct rst_planner *planner)
{
  GHashTableIter iter;
  gpointer value;

  /* Reports can only be applied when all jobs have been restored. */
  if (!planner->restored)
    return;
  g_hash_table_iter_init (&iter, planner->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct instance *instance = value;

      if (instance->agent == NULL && instance->entry.address[0] != '\0')
        rst_plan_assign_instance (planner, instance);
    }
}

/* Whether an instance does not answer; one that was just assigned may not have
   been polled yet. */
static bool
is_silent (const struct rst_planner *planner, const struct instance *instance)
{
  return !instance->runs_known
         && (instance->lease_basis == LEASE_BASIS_REPORT
             || planner->now - instance->runs_unknown_since > HOLD_RETRY_MS);
}

/* Assigns instances of a new agent's zone to it, if their agents are in other
   zones or have more instances. */
static void
rebalance_to_agent (struct rst_planner *planner, struct agent *agent)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, planner->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct instance *instance = value;
      bool is_same_zone = strcmp (agent->zone, instance->entry.zone) == 0;
      bool is_other_zone
          = instance->agent != NULL
            && strcmp (instance->agent->zone, instance->entry.zone) != 0;

      if (instance->agent == NULL || !is_same_zone)
        continue;
      /* The wait for its lease would begin anew. */
      if (is_silent (planner, instance) && !is_other_zone)
        continue;
      if (is_other_zone
          || instance->agent->instance_count > agent->instance_count + 1)
        assign_to_agent (planner, instance, agent);
    }
}

void
rst_planner_add_agent (struct rst_planner *planner, uint64_t link,
                       const char *name, const char *zone)
{
  struct agent *agent = g_new0 (struct agent, 1);

  agent->link = link;
  g_strlcpy (agent->name, name, sizeof agent->name);
  g_strlcpy (agent->zone, zone, sizeof agent->zone);
  agent->answered_at = planner->now;
  g_ptr_array_add (planner->agents, agent);
  rst_info (RST_PLAN_LOG, "Agent connected.", "agent", name, "zone", zone);
  rst_plan_assign_instances (planner);
  rebalance_to_agent (planner, agent);
  planner->pass_wanted = true;
}

void
rst_planner_set_link_heard (struct rst_planner *planner, uint64_t link,
                            rst_ms at)
{
  struct agent *agent = find_agent (planner, link);

  if (agent == NULL)
    return;
  planner->pass_wanted |= !rst_plan_agent_answers (planner, agent);
  agent->heard_until = MAX (agent->heard_until, at);
  agent->answered_at = MAX (agent->answered_at, at);
  planner->last_answered_at = MAX (planner->last_answered_at, at);
}

/* Compares agents with each other and not with the time, so that a planner
   which reads all answers late does not stop placing tasks. */
bool
rst_plan_agent_answers (const struct rst_planner *planner,
                        const struct agent *agent)
{
  return agent->answered_at + AGENT_SILENCE_MAX_MS
         >= planner->last_answered_at;
}

void
rst_plan_log_silent_agents (struct rst_planner *planner)
{
  for (guint i = 0; i < planner->agents->len; i++)
    {
      struct agent *agent = g_ptr_array_index (planner->agents, i);
      bool answers = rst_plan_agent_answers (planner, agent);

      if (answers != agent->silence_logged)
        continue;
      agent->silence_logged = !answers;
      rst_info (RST_PLAN_LOG,
                answers ? "Agent answers heartbeats again."
                        : "Agent misses heartbeats; it gets no new work.",
                "agent", agent->name, "zone", agent->zone);
    }
}

/* Start orders sent through an agent that has disconnected may never be
   answered. */
static void
shorten_start_timeouts (struct rst_planner *planner, struct instance *instance)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, instance->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct run *)value)->start_sent_at = MIN (
        ((struct run *)value)->start_sent_at,
        planner->now - RST_START_TIMEOUT_MS + ORPHANED_START_TIMEOUT_MS);
}

void
rst_planner_link_closed (struct rst_planner *planner, uint64_t link)
{
  struct agent *agent = find_agent (planner, link);
  GHashTableIter iter;
  gpointer value;
  char count[16];

  if (agent == NULL)
    return;
  g_snprintf (count, sizeof count, "%d", agent->instance_count);
  rst_info (RST_PLAN_LOG, "Agent disconnected; its instances are reassigned.",
            "agent", agent->name, "instances", count);
  g_hash_table_iter_init (&iter, planner->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct instance *instance = value;

      if (instance->agent != agent)
        continue;
      instance->agent = NULL;
      mark_agent_lost (planner, instance);
      shorten_start_timeouts (planner, instance);
    }
  rst_plan_end_link_requests (planner, link);
  g_ptr_array_remove (planner->agents, agent);
  rst_plan_assign_instances (planner);
  planner->pass_wanted = true;
}
