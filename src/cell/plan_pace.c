/* Slows tasks that fill while they disturb tasks that serve. */
#include <inttypes.h>

#include "cell/pace.h"
#include "cell/planner_private.h"

/** Wait of a look at an instance where tasks fill beside tasks that serve. */
#define SHARED_LOOK_MS 500

/** Wait of a look at any other instance, the longest that they allow. */
#define LOOK_MS 2000

static bool
serves (const struct run *run)
{
  return run->task->step->spec->target_ms > 0;
}

static bool
fills (const struct run *run)
{
  return run->task->step->spec->fills;
}

/* The worst response time of the serving tasks in hundredths of its bound;
   -1 where none serves. */
static int64_t
worst_load (const struct instance *instance, bool *has_fillers)
{
  int64_t worst = -1;
  GHashTableIter iter;
  gpointer value;

  *has_fillers = false;
  g_hash_table_iter_init (&iter, instance->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct run *run = value;

      *has_fillers |= fills (run);
      if (serves (run))
        worst
            = MAX (worst, run->usage * 100 / run->task->step->spec->target_ms);
    }
  return worst;
}

static void
send_wait (struct rst_planner *planner, struct instance *instance,
           int64_t wait_ms)
{
  int64_t told = instance->look_ms != 0 ? instance->look_ms : LOOK_MS;

  if (told == wait_ms)
    return;
  instance->look_ms = wait_ms;
  rst_plan_send_id (planner, instance, RST_MSG_WATCH, wait_ms);
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
  rst_pack_int (&pack, run->pace);
  rst_plan_send (planner, instance->agent->link, &pack);
  planner->stats.paced++;
}

static void
log_pace (const struct run *run, int64_t load)
{
  char pace[16];
  char share[24];

  if (!rst_log_enabled (G_LOG_LEVEL_INFO))
    return;
  g_snprintf (pace, sizeof pace, "%d", run->pace);
  g_snprintf (share, sizeof share, "%" PRId64, load);
  rst_info (RST_PLAN_LOG, "Pace is changed.", "task", run->name, "instance",
            run->instance->entry.id, "percent", pace, "worst_load", share);
}

/* An order on the pace may get lost; while a run is slowed it is repeated. */
static void
pace_run (struct rst_planner *planner, struct run *run, int64_t load)
{
  int next = rst_pace_next (run->pace, load);

  if (planner->now - run->paced_at < RST_PACE_EVERY_MS
      || (next == run->pace && next == RST_PACE_FULL))
    return;
  run->paced_at = planner->now;
  /* A slowed run that makes no progress is not stuck. */
  run->moved_at = planner->now;
  if (next != run->pace)
    {
      run->pace = next;
      log_pace (run, load);
    }
  send_pace (planner, run);
}

void
rst_plan_pace (struct rst_planner *planner, struct instance *instance)
{
  bool has_fillers;
  int64_t load = worst_load (instance, &has_fillers);
  GHashTableIter iter;
  gpointer value;

  if (instance->agent == NULL)
    return;
  send_wait (planner, instance,
             has_fillers && load >= 0 ? SHARED_LOOK_MS : LOOK_MS);
  if (!has_fillers)
    return;
  g_hash_table_iter_init (&iter, instance->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (fills (value) && ((struct run *)value)->state == RUN_RUNNING)
      pace_run (planner, value, MAX (load, 0));
}
