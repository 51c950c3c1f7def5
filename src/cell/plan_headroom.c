/* Room that batch steps leave to urgent ones.

   A queue of priority 0 is urgent; the others are batch queues.  A pool that
   serves only one of the two kinds keeps nothing free. */
#include <inttypes.h>
#include <string.h>

#include "cell/planner_private.h"

/** Time between two log lines, in milliseconds. */
#define LOG_INTERVAL_MS 1000

/* Whether batch steps of a queue leave room for urgent ones: whether an urgent
   queue uses the same pool. */
static bool
shares_pool_with_urgent (const struct rst_planner *planner,
                         const struct queue *queue)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, planner->queues);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct queue *other = value;

      if (other->settings.priority == 0 && other->settings.pool != NULL
          && strcmp (other->settings.pool, queue->settings.pool) == 0)
        return true;
    }
  return false;
}

/* Sums up a pool's instances that take starts, and what urgent tasks use. */
static void
sum_up_pool (const struct rst_planner *planner, const char *pool,
             int64_t *free_cpu, int64_t *capacity_cpu, int64_t *urgent_cpu)
{
  GHashTableIter iter;
  gpointer value;

  for (guint i = 0; i < planner->schedulable_instances->len; i++)
    {
      const struct instance *instance
          = g_ptr_array_index (planner->schedulable_instances, i);

      if (strcmp (instance->entry.pool, pool) != 0)
        continue;
      *capacity_cpu += instance->entry.capacity.cpu;
      *free_cpu += MAX (instance->entry.capacity.cpu - instance->used.cpu, 0);
    }
  g_hash_table_iter_init (&iter, planner->queues);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct queue *queue = value;

      if (queue->settings.priority == 0 && queue->settings.pool != NULL
          && strcmp (queue->settings.pool, pool) == 0)
        *urgent_cpu += queue->used_cpu;
    }
}

static struct pool_headroom *
get_pool (struct rst_planner *planner, const char *name)
{
  struct pool_headroom *pool
      = g_hash_table_lookup (planner->pool_headrooms, name);

  if (pool != NULL)
    return pool;
  pool = g_new0 (struct pool_headroom, 1);
  g_hash_table_insert (planner->pool_headrooms, g_strdup (name), pool);
  return pool;
}

/* Determines once a pass how much batch steps may take from a pool. */
static struct pool_headroom *
prepare_pool (struct rst_planner *planner, const struct queue *queue)
{
  struct pool_headroom *pool = get_pool (planner, queue->settings.pool);
  int64_t free_cpu = 0;
  int64_t capacity_cpu = 0;
  int64_t urgent_cpu = 0;

  if (pool->pass == planner->pass)
    return pool;
  pool->pass = planner->pass;
  pool->batch_cpu = INT64_MAX;
  if (!shares_pool_with_urgent (planner, queue))
    return pool;
  sum_up_pool (planner, queue->settings.pool, &free_cpu, &capacity_cpu,
               &urgent_cpu);
  rst_headroom_update (&pool->headroom, urgent_cpu, planner->now);
  pool->batch_cpu
      = rst_headroom_get_batch_cpu (&pool->headroom, free_cpu, capacity_cpu,
                                    planner->timing.urgent_headroom_percent);
  return pool;
}

static void
log_held_back (struct rst_planner *planner, struct pool_headroom *pool,
               const struct step *step)
{
  char peak[24];
  char batch[24];

  planner->stats.batch_held_back++;
  if (planner->now < pool->next_log_at)
    return;
  pool->next_log_at = planner->now + LOG_INTERVAL_MS;
  g_snprintf (peak, sizeof peak, "%.0f", pool->headroom.peak_cpu);
  g_snprintf (batch, sizeof batch, "%" PRId64, pool->batch_cpu);
  rst_info (RST_PLAN_LOG, "Batch step waits for room kept for urgent tasks.",
            "job", step->occurrence->job->id, "pool",
            step->occurrence->job->queue->settings.pool, "urgent_peak_cpu",
            peak, "batch_cpu", batch);
}

/* Long-running and best-effort steps are not held back: the former are to run
   at all times, the latter take no processors. */
static bool
leaves_headroom (const struct rst_planner *planner, const struct step *step)
{
  const struct queue *queue = step->occurrence->job->queue;

  return planner->timing.urgent_headroom_percent > 0
         && queue->settings.priority != 0 && queue->settings.pool != NULL
         && !step->spec->long_running && !step->spec->best_effort;
}

bool
rst_plan_leaves_headroom_for_urgent (struct rst_planner *planner,
                                     const struct step *step)
{
  int64_t need = step->spec->need.cpu;
  struct pool_headroom *pool;

  if (!leaves_headroom (planner, step))
    return true;
  pool = prepare_pool (planner, step->occurrence->job->queue);
  if (step->spec->gang)
    need *= step->spec->count;
  if (need <= pool->batch_cpu)
    return true;
  log_held_back (planner, pool, step);
  return false;
}

void
rst_plan_use_batch_cpu (struct rst_planner *planner, const struct step *step,
                        int tasks)
{
  struct pool_headroom *pool;

  if (!leaves_headroom (planner, step))
    return;
  pool = get_pool (planner, step->occurrence->job->queue->settings.pool);
  if (pool->batch_cpu != INT64_MAX)
    pool->batch_cpu -= step->spec->need.cpu * tasks;
}
