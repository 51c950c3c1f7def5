#include "cell/planner.h"

#include <string.h>

#include "cell/plan_locality.h"
#include "cell/plan_intent.h"
#include "cell/planner_private.h"

/** Bits of a request's handle below the planner's epoch. */
#define HANDLE_EPOCH_SHIFT 32

/** Time between checks of leases, unanswered orders and due occurrences. */
#define CHECK_INTERVAL_MS 100

/** Minimum time between two placement passes, so that one pass handles several
    events. */
#define PASS_INTERVAL_MS 4

/** Number of waiting steps that adds a millisecond to the time between passes,
    so that a backlog does not use up the processor. */
#define PASS_STEPS_PER_MS 16

/** Most rejected ids whose first attempts are remembered: an outage of 7 s at
    600 submissions a second rejects 4,200.  An id takes about 100 bytes. */
#define ATTEMPTS_MAX 8192

/** How long they are remembered.  Callers submit a job up to 5 times, within
    less than that, and no job has an objective that is longer. */
#define ATTEMPT_RETENTION_MS 60000

static void
queue_free (gpointer data)
{
  struct queue *queue = data;

  g_free (queue->settings.name);
  g_free (queue->settings.pool);
  g_free (queue);
}

static void
customer_free (gpointer data)
{
  struct customer *customer = data;

  g_free (customer->settings.name);
  g_free (customer);
}

struct rst_planner *
rst_planner_create (const struct rst_planner_ops *ops,
                    const struct rst_planner_timing *timing, int64_t epoch)
{
  struct rst_planner *planner = g_new0 (struct rst_planner, 1);

  planner->ops = *ops;
  planner->timing = *timing;
  planner->epoch = epoch;
  planner->next_segment = 1;
  /* An agent reports answers to an earlier planner's requests to this one. */
  planner->next_handle = ((uint64_t)epoch << HANDLE_EPOCH_SHIFT) + 1;
  planner->evacuated_zones
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  planner->rejected_entries
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  planner->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                         rst_plan_job_free);
  planner->queues
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, queue_free);
  planner->customers
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, customer_free);
  planner->instances = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                              rst_plan_instance_free);
  planner->instances_by_number = g_hash_table_new (NULL, NULL);
  planner->inherited_places = g_hash_table_new (NULL, NULL);
  planner->ends_log = g_string_new (NULL);
  planner->advice_requests = g_hash_table_new_full (
      g_int64_hash, g_int64_equal, NULL, rst_plan_advice_request_free);
  planner->segments
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  planner->agents = g_ptr_array_new_with_free_func (g_free);
  planner->waiting_steps = g_ptr_array_new ();
  planner->repeating_jobs = g_ptr_array_new ();
  planner->dirty_jobs = g_ptr_array_new ();
  planner->committing_jobs = g_ptr_array_new ();
  planner->schedulable_instances = g_ptr_array_new ();
  planner->candidates = g_ptr_array_new ();
  planner->trial_instances = g_ptr_array_new ();
  planner->start_batches = g_ptr_array_new_with_free_func (g_free);
  planner->unmet_needs
      = g_array_new (FALSE, FALSE, sizeof (struct rst_resources));
  planner->attempts = rst_attempts_create (ATTEMPTS_MAX, ATTEMPT_RETENTION_MS);
  planner->admission = rst_plan_admission_new ();
  rst_plan_create_rack_state (planner);
  return planner;
}

void
rst_planner_set_policy (struct rst_planner *planner, enum rst_step_order order,
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
  g_hash_table_destroy (planner->instances_by_number);
  g_hash_table_destroy (planner->inherited_places);
  g_hash_table_destroy (planner->instances);
  g_string_free (planner->ends_log, TRUE);
  /* Before the requests, which its steps refer to. */
  g_hash_table_destroy (planner->jobs);
  g_hash_table_destroy (planner->advice_requests);
  g_hash_table_destroy (planner->queues);
  g_hash_table_destroy (planner->customers);
  g_hash_table_destroy (planner->evacuated_zones);
  g_hash_table_destroy (planner->rejected_entries);
  g_hash_table_destroy (planner->segments);
  g_ptr_array_free (planner->agents, TRUE);
  g_ptr_array_free (planner->waiting_steps, TRUE);
  g_ptr_array_free (planner->repeating_jobs, TRUE);
  g_ptr_array_free (planner->dirty_jobs, TRUE);
  g_ptr_array_free (planner->committing_jobs, TRUE);
  g_ptr_array_free (planner->schedulable_instances, TRUE);
  g_ptr_array_free (planner->candidates, TRUE);
  g_ptr_array_free (planner->trial_instances, TRUE);
  g_ptr_array_free (planner->start_batches, TRUE);
  g_array_free (planner->unmet_needs, TRUE);
  rst_attempts_destroy (planner->attempts);
  rst_plan_admission_free (planner->admission);
  rst_plan_destroy_rack_state (planner);
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
update_queue (struct rst_planner *planner, const struct rst_queue *settings)
{
  struct queue *queue = rst_plan_get_queue (planner, settings->name);
  char *name = queue->settings.name;

  if (queue->settings.pool == NULL
      || strcmp (queue->settings.pool, settings->pool) != 0
      || queue->settings.max_failures != settings->max_failures)
    queue->recorded = false;
  g_free (queue->settings.pool);
  queue->settings = *settings;
  queue->settings.name = name;
  queue->settings.host = NULL;
  queue->settings.prefix = NULL;
  queue->settings.pool = g_strdup (settings->pool);
}

void
rst_planner_configure (struct rst_planner *planner,
                       struct rst_cellconfig *config)
{
  if (planner->config != NULL && config->version < planner->config->version)
    {
      rst_warning (RST_PLAN_LOG,
                   "Configuration with an outdated version was ignored.");
      rst_cellconfig_destroy (config);
      return;
    }
  for (guint i = 0; i < config->queues->len; i++)
    update_queue (planner, g_ptr_array_index (config->queues, i));
  for (guint i = 0; i < config->customers->len; i++)
    {
      const struct rst_customer *settings
          = g_ptr_array_index (config->customers, i);
      struct customer *customer
          = rst_plan_get_customer (planner, settings->name);

      customer->settings.weight = settings->weight;
      customer->settings.limit = settings->limit;
    }
  rst_cellconfig_destroy (planner->config);
  planner->config = config;
  planner->pass_wanted = true;
}

void
rst_planner_set_zone_evacuated (struct rst_planner *planner, const char *zone,
                                bool evacuated)
{
  if (evacuated)
    g_hash_table_add (planner->evacuated_zones, g_strdup (zone));
  else
    g_hash_table_remove (planner->evacuated_zones, zone);
  rst_info (RST_PLAN_LOG,
            evacuated ? "Zone is evacuated; it takes no more starts."
                      : "Zone is no longer evacuated; it takes starts again.",
            "zone", zone);
  planner->pass_wanted = true;
}

void
rst_planner_receive_message (struct rst_planner *planner, uint64_t link,
                             int kind, struct rst_reader *reader)
{
  planner->pass_wanted = true;
  switch (kind)
    {
    case RST_MSG_REPORT:
      rst_plan_receive_report (planner, link, reader);
      break;
    case RST_MSG_STARTED:
      rst_plan_receive_started (planner, reader);
      break;
    case RST_MSG_STOPPED:
      rst_plan_receive_stopped (planner, reader);
      break;
    case RST_MSG_ADVICE:
      rst_plan_receive_advice (planner, reader);
      break;
    default:
      rst_warning (RST_PLAN_LOG, "Message of an unknown kind was ignored.");
      break;
    }
}

void
rst_planner_set_confirmed (struct rst_planner *planner, rst_ms at)
{
  planner->confirmed_at = MAX (planner->confirmed_at, at);
  planner->store_refusals = 0;
}

void
rst_planner_set_commit_failed (struct rst_planner *planner, bool was_refused)
{
  planner->store_refusals = was_refused ? planner->store_refusals + 1 : 0;
}

void
rst_planner_read_stats (const struct rst_planner *planner,
                        struct rst_planner_stats *out)
{
  GHashTableIter iter;
  gpointer value;

  *out = planner->stats;
  out->jobs = g_hash_table_size (planner->jobs);
  out->notes = (uint64_t)planner->note_count;
  out->agents = planner->agents->len;
  out->isolated = planner->isolated ? 1 : 0;
  out->waiting_steps = planner->waiting_steps->len;
  out->journal_bytes = planner->journal_bytes;
  out->journal_needed_bytes = planner->needed_bytes;
  out->rejected_ids = rst_attempts_count (planner->attempts);
  g_hash_table_iter_init (&iter, planner->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct instance *instance = value;

      out->instances += instance->registered ? 1 : 0;
      out->instances_known += instance->runs_known ? 1 : 0;
    }
}

void
rst_planner_foreach_queue (const struct rst_planner *planner,
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
      struct rst_queue_stats stats = { queue->settings.name, queue->pending,
                                       queue->first_start_ms, queue->job_ms };

      visit (userdata, &stats);
    }
}

void
rst_planner_set_isolated (struct rst_planner *planner, bool isolated)
{
  planner->isolated = isolated;
  if (!isolated)
    return;
  planner->stats.isolations++;
  rst_plan_reject_unsent_jobs (planner);
}

int64_t
rst_planner_get_epoch (const struct rst_planner *planner)
{
  return planner->epoch;
}

bool
rst_planner_is_restored (const struct rst_planner *planner)
{
  return planner->restored;
}

bool
rst_planner_is_ready (const struct rst_planner *planner)
{
  return planner->restored && planner->config != NULL;
}

rst_ms
rst_plan_get_pass_interval (const struct rst_planner *planner)
{
  return PASS_INTERVAL_MS + planner->waiting_steps->len / PASS_STEPS_PER_MS;
}

rst_ms
rst_planner_run (struct rst_planner *planner)
{
  rst_ms wake;

  if (!rst_planner_is_ready (planner))
    return planner->now + CHECK_INTERVAL_MS;
  if (planner->now >= planner->next_check_at)
    {
      planner->next_check_at = planner->now + CHECK_INTERVAL_MS;
      rst_plan_check_instances (planner);
      rst_plan_check_speeds (planner);
      rst_plan_log_silent_agents (planner);
      rst_plan_begin_due_occurrences (planner);
      rst_plan_reject_unsent_jobs (planner);
      rst_plan_end_lost_requests (planner);
      rst_plan_withdraw_intents (planner);
      planner->wait.is_due = true;
      planner->pass_wanted = true;
    }
  wake = planner->next_check_at;
  if (planner->now >= rst_plan_get_rack_wake (planner))
    planner->pass_wanted = true;
  if (planner->pass_wanted && planner->now >= planner->next_pass_at)
    {
      planner->pass_wanted = false;
      planner->next_pass_at
          = planner->now + rst_plan_get_pass_interval (planner);
      rst_plan_place_steps (planner);
      rst_plan_wait_check (planner);
    }
  else if (planner->pass_wanted)
    wake = MIN (wake, planner->next_pass_at);
  wake = MIN (wake,
              MAX (rst_plan_get_rack_wake (planner), planner->next_pass_at));
  rst_plan_commit (planner);
  if (planner->dirty_jobs->len > 0 && !planner->commit_busy)
    wake = MIN (wake, planner->now + PASS_INTERVAL_MS);
  return wake;
}
