#include "cell/planner.h"

#include <string.h>

#include "cell/planner_private.h"

/** Time between looks at leases, stops and lost answers, in milliseconds. */
#define CHECK_EVERY_MS 100

/** Least time between two placements, so that events gather; milliseconds. */
#define PASS_EVERY_MS 4

/** Waiting steps that add a millisecond to the time between placements, so
    that a backlog does not take all of the processor. */
#define STEPS_PER_MS 16

static void
queue_free (gpointer data)
{
  struct queue *queue = data;

  g_free (queue->set.name);
  g_free (queue->set.pool);
  g_free (queue);
}

static void
customer_free (gpointer data)
{
  struct customer *customer = data;

  g_free (customer->set.name);
  g_free (customer);
}

struct rst_planner *
rst_planner_create (const struct rst_planner_ops *ops,
                    const struct rst_planner_bounds *bounds, int64_t epoch)
{
  struct rst_planner *planner = g_new0 (struct rst_planner, 1);

  planner->ops = *ops;
  planner->bounds = *bounds;
  planner->epoch = epoch;
  planner->next_segment = 1;
  planner->next_handle = 1;
  planner->evacuated
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  planner->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                         rst_plan_job_free);
  planner->queues
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, queue_free);
  planner->customers
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, customer_free);
  planner->instances = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                              rst_plan_instance_free);
  planner->asks = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                         rst_plan_ask_free);
  planner->segments
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  planner->agents = g_ptr_array_new_with_free_func (g_free);
  planner->active = g_ptr_array_new ();
  planner->timed = g_ptr_array_new ();
  planner->dirty = g_ptr_array_new ();
  planner->committing = g_ptr_array_new ();
  planner->usable = g_ptr_array_new ();
  planner->places = g_ptr_array_new ();
  planner->full = g_array_new (FALSE, FALSE, sizeof (struct rst_need));
  return planner;
}

void
rst_planner_set_policy (struct rst_planner *planner, enum rst_order order,
                        enum rst_fit fit)
{
  planner->order = order;
  planner->fit = fit;
}

void
rst_planner_destroy (struct rst_planner *planner)
{
  if (planner == NULL)
    return;
  g_hash_table_destroy (planner->asks);
  g_hash_table_destroy (planner->instances);
  g_hash_table_destroy (planner->jobs);
  g_hash_table_destroy (planner->queues);
  g_hash_table_destroy (planner->customers);
  g_hash_table_destroy (planner->evacuated);
  g_hash_table_destroy (planner->segments);
  g_ptr_array_free (planner->agents, TRUE);
  g_ptr_array_free (planner->active, TRUE);
  g_ptr_array_free (planner->timed, TRUE);
  g_ptr_array_free (planner->dirty, TRUE);
  g_ptr_array_free (planner->committing, TRUE);
  g_ptr_array_free (planner->usable, TRUE);
  g_ptr_array_free (planner->places, TRUE);
  g_array_free (planner->full, TRUE);
  rst_cellconfig_destroy (planner->config);
  g_free (planner);
}

void
rst_planner_set_time (struct rst_planner *planner, rst_ms now, int64_t unix_ms)
{
  if (planner->created_at == 0)
    planner->created_at = now;
  planner->now = now;
  planner->unix_ms = unix_ms;
}

void
rst_plan_send (const struct rst_planner *planner, uint64_t link,
               struct rst_pack *pack)
{
  planner->ops.send (planner->ops.userdata, link, pack->buffer.data,
                     pack->buffer.size);
  rst_pack_clear (pack);
}

static void
take_queue (struct rst_planner *planner, const struct rst_queue *set)
{
  struct queue *queue = rst_plan_queue (planner, set->name);
  char *name = queue->set.name;

  if (queue->set.pool == NULL || strcmp (queue->set.pool, set->pool) != 0
      || queue->set.attempts != set->attempts)
    queue->recorded = false;
  g_free (queue->set.pool);
  queue->set = *set;
  queue->set.name = name;
  queue->set.host = NULL;
  queue->set.prefix = NULL;
  queue->set.pool = g_strdup (set->pool);
}

void
rst_planner_configure (struct rst_planner *planner,
                       struct rst_cellconfig *config)
{
  if (planner->config != NULL && config->version < planner->config->version)
    {
      rst_warning (RST_PLAN_LOG, "An older configuration was ignored.");
      rst_cellconfig_destroy (config);
      return;
    }
  for (guint i = 0; i < config->queues->len; i++)
    take_queue (planner, g_ptr_array_index (config->queues, i));
  for (guint i = 0; i < config->customers->len; i++)
    {
      const struct rst_customer *set
          = g_ptr_array_index (config->customers, i);
      struct customer *customer = rst_plan_customer (planner, set->name);

      customer->set.weight = set->weight;
      customer->set.limit = set->limit;
    }
  rst_cellconfig_destroy (planner->config);
  planner->config = config;
  planner->changed = true;
}

void
rst_planner_evacuate (struct rst_planner *planner, const char *zone, bool out)
{
  if (out)
    g_hash_table_add (planner->evacuated, g_strdup (zone));
  else
    g_hash_table_remove (planner->evacuated, zone);
  rst_info (RST_PLAN_LOG,
            out ? "Zone takes no starts." : "Zone takes starts again.", "zone",
            zone);
  planner->changed = true;
}

void
rst_planner_message (struct rst_planner *planner, uint64_t link, int kind,
                     struct rst_reader *reader)
{
  planner->changed = true;
  switch (kind)
    {
    case RST_MSG_REPORT:
      rst_plan_report (planner, link, reader);
      break;
    case RST_MSG_STARTED:
      rst_plan_started (planner, reader);
      break;
    case RST_MSG_STOPPED:
      rst_plan_stopped (planner, reader);
      break;
    case RST_MSG_ADVICE:
      rst_plan_advice (planner, reader);
      break;
    default:
      rst_warning (RST_PLAN_LOG, "Message of an unknown kind was ignored.");
      break;
    }
}

void
rst_planner_confirmed (struct rst_planner *planner, rst_ms at)
{
  planner->confirmed_at = MAX (planner->confirmed_at, at);
}

void
rst_planner_read_stats (const struct rst_planner *planner,
                        struct rst_planner_stats *out)
{
  GHashTableIter iter;
  gpointer value;

  *out = planner->stats;
  out->jobs = g_hash_table_size (planner->jobs);
  out->agents = planner->agents->len;
  out->waiting_steps = planner->active->len;
  g_hash_table_iter_init (&iter, planner->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct instance *instance = value;

      out->instances += instance->present ? 1 : 0;
      out->instances_known += instance->known ? 1 : 0;
    }
}

void
rst_planner_each_queue (const struct rst_planner *planner,
                        void (*visit) (void *userdata,
                                       const struct rst_queue_stats *),
                        void *userdata)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, planner->queues);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct queue *queue = value;
      struct rst_queue_stats stats = { queue->set.name, queue->pending,
                                       queue->first_start_ms, queue->job_ms };

      visit (userdata, &stats);
    }
}

bool
rst_planner_ready (const struct rst_planner *planner)
{
  return planner->restored && planner->config != NULL;
}

rst_ms
rst_planner_run (struct rst_planner *planner)
{
  rst_ms wake;

  if (!rst_planner_ready (planner))
    return planner->now + CHECK_EVERY_MS;
  if (planner->now >= planner->next_check)
    {
      planner->next_check = planner->now + CHECK_EVERY_MS;
      rst_plan_check_instances (planner);
      rst_plan_timed (planner);
      planner->changed = true;
    }
  wake = planner->next_check;
  if (planner->changed && planner->now >= planner->next_pass)
    {
      planner->changed = false;
      planner->next_pass
          = planner->now + PASS_EVERY_MS + planner->active->len / STEPS_PER_MS;
      rst_plan_place (planner);
    }
  else if (planner->changed)
    wake = MIN (wake, planner->next_pass);
  rst_plan_commit (planner);
  if (planner->dirty->len > 0 && !planner->commit_busy)
    wake = MIN (wake, planner->now + PASS_EVERY_MS);
  return wake;
}
