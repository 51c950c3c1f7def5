/* Slows best-effort runs on instances where tasks with a response bound answer
   too slowly. */
#include <inttypes.h>

#include "cell/pace.h"
#include "cell/planner_private.h"

/** Wait of a long poll of an instance that runs best-effort tasks beside tasks
    with a response bound, so that response times are reported in time. */
#define SHARED_POLL_WAIT_MS 500

/** Wait of a long poll of any other instance: the maximum that instances
    accept. */
#define POLL_WAIT_MS 2000

static bool
has_response_bound (const struct run *run)
{
  return run->task->step->spec->target_ms > 0;
}

static bool
is_best_effort (const struct run *run)
{
  return run->task->step->spec->best_effort;
}

/* Returns the worst response time of the instance's runs as a percentage of
   its bound, or -1 if no run has a bound. */
static int64_t
find_worst_load (const struct instance *instance, bool *has_best_effort)
{
  int64_t worst = -1;
  GHashTableIter iter;
  gpointer value;

  *has_best_effort = false;
  g_hash_table_iter_init (&iter, instance->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct run *run = value;

      *has_best_effort |= is_best_effort (run);
      if (has_response_bound (run))
        worst
            = MAX (worst, run->usage * 100 / run->task->step->spec->target_ms);
    }
  return worst;
}

void
rst_plan_set_poll_wait (struct rst_planner *planner, struct instance *instance,
                        int64_t wait_ms)
{
  int64_t current_ms
      = instance->poll_wait_ms != 0 ? instance->poll_wait_ms : POLL_WAIT_MS;

  if (current_ms == wait_ms)
    return;
  instance->poll_wait_ms = wait_ms;
  rst_plan_send_to_instance (planner, instance, RST_MSG_SET_POLL_WAIT,
                             wait_ms);
}

static void
send_pace (struct rst_planner *planner, const struct run *run)
{
  const struct instance *instance = run->instance;
  struct rst_pack pack;

  rst_pack_init (&pack, 5);
  rst_pack_int (&pack, RST_MSG_PACE);
  rst_pack_text (&pack, instance->entry.id);
  rst_pack_text (&pack, run->name);
  rst_pack_int (&pack, run->attempt);
  rst_pack_int (&pack, run->pace_percent);
  rst_plan_send (planner, instance->agent->link, &pack);
  planner->stats.pace_orders++;
}

static void
log_pace (const struct run *run, int64_t load_percent)
{
  char pace_text[16];
  char load_text[24];

  if (!rst_log_enabled (G_LOG_LEVEL_INFO))
    return;
  g_snprintf (pace_text, sizeof pace_text, "%d", run->pace_percent);
  g_snprintf (load_text, sizeof load_text, "%" PRId64, load_percent);
  rst_info (RST_PLAN_LOG, "Pace of a best-effort run changed.", "task",
            run->name, "instance", run->instance->entry.id, "percent",
            pace_text, "worst_load", load_text);
}

/* Adjusts the pace of a best-effort run.  Since a pace order may get lost, it
   is repeated while the run is slowed. */
static void
adjust_run_pace (struct rst_planner *planner, struct run *run,
                 int64_t load_percent)
{
  int next = rst_pace_adjust (run->pace_percent, load_percent);

  if (planner->now - run->pace_sent_at < RST_PACE_INTERVAL_MS
      || (next == run->pace_percent && next == RST_PACE_FULL_PERCENT))
    return;
  run->pace_sent_at = planner->now;
  /* A slowed run is not stopped as stalled. */
  run->progressed_at = planner->now;
  if (next != run->pace_percent)
    {
      run->pace_percent = next;
      log_pace (run, load_percent);
    }
  send_pace (planner, run);
}

void
rst_plan_adjust_pace (struct rst_planner *planner, struct instance *instance)
{
  bool has_best_effort;
  int64_t load_percent = find_worst_load (instance, &has_best_effort);
  GHashTableIter iter;
  gpointer value;

  if (instance->agent == NULL)
    return;
  if (instance->trial_runs == 0 && instance->held_for == NULL)
    rst_plan_set_poll_wait (planner, instance,
                            has_best_effort && load_percent >= 0
                                ? SHARED_POLL_WAIT_MS
                                : POLL_WAIT_MS);
  if (!has_best_effort)
    return;
  g_hash_table_iter_init (&iter, instance->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (is_best_effort (value) && ((struct run *)value)->state == RUN_RUNNING)
      adjust_run_pace (planner, value, MAX (load_percent, 0));
}
