#include "daemon/cell_metrics.h"

#include "daemon/metrics.h"

/* HTTP statuses that are counted separately; 0 stands for all others. */
static const unsigned counted_statuses[RST_CALL_STATUS_COUNT]
    = { 200, 400, 401, 404, 410, 413, 503, 504, 0 };

static const struct rst_metrics_label no_label = { NULL, NULL };

void
rst_call_stats_record (struct rst_call_stats *stats,
                       enum rst_operation operation, unsigned status,
                       int64_t duration_ms)
{
  int status_index = 0;
  int operation_index = (int)operation - RST_OPERATION_SUBMIT;

  while (status_index < RST_CALL_STATUS_COUNT - 1
         && counted_statuses[status_index] != status)
    status_index++;
  stats->answers[operation_index][status_index]++;
  rst_histogram_add (&stats->answer_ms[operation_index], duration_ms);
}

static void
add_answers (GString *page, const struct rst_call_stats *stats,
             int operation_index, const char *operation)
{
  char label[48];

  for (int i = 0; i < RST_CALL_STATUS_COUNT; i++)
    {
      struct rst_metrics_label call_label = { "call", label };

      if (stats->answers[operation_index][i] == 0)
        continue;
      g_snprintf (label, sizeof label, "%s %u", operation,
                  counted_statuses[i]);
      rst_metrics_add_sample (page, "answers_total", call_label,
                              (double)stats->answers[operation_index][i]);
    }
}

char *
rst_call_metrics_format_page (const struct rst_call_stats *stats,
                              unsigned pending_calls, bool ready)
{
  static const char *const operations[RST_CALL_OPERATION_COUNT]
      = { "submit", "read", "cancel" };
  GString *page = g_string_new (NULL);

  rst_metrics_add_gauge (page, "ready", "Whether callers can be served.",
                         ready);
  rst_metrics_add_gauge (page, "calls_waiting",
                         "Calls without an answer so far.", pending_calls);
  rst_metrics_add_counter (page, "calls_rejected_at_once_total",
                           "Calls rejected on arrival as no planner serves.",
                           stats->rejected_at_once);
  rst_metrics_add_counter (page, "planner_silences_total",
                           "Times that no heartbeat came for too long.",
                           stats->silent_links);
  rst_metrics_begin_family (
      page, "answers_total", "counter",
      "Answers by operation and status; 0 is any other.");
  for (int i = 0; i < RST_CALL_OPERATION_COUNT; i++)
    add_answers (page, stats, i, operations[i]);
  rst_metrics_begin_family (page, "answer_seconds", "histogram",
                            "Time to the answer.");
  for (int i = 0; i < RST_CALL_OPERATION_COUNT; i++)
    {
      struct rst_metrics_label label = { "operation", operations[i] };

      rst_metrics_add_histogram (page, "answer_seconds", label,
                                 &stats->answer_ms[i]);
    }
  rst_metrics_add_limits (page, &stats->limits);
  rst_metrics_add_process (page);
  return g_string_free (page, FALSE);
}

static void
add_ends (GString *page, const struct rst_planner_stats *stats)
{
  static const char *const names[RST_END_KINDS]
      = { "done", "failed", "stopped", "lapsed", "broken", "alone" };

  rst_metrics_begin_family (page, "run_ends_total", "counter",
                            "Runs ended, by how.");
  for (int i = 0; i < RST_END_KINDS; i++)
    {
      struct rst_metrics_label label = { "how", names[i] };

      rst_metrics_add_sample (page, "run_ends_total", label,
                              (double)stats->ends[i]);
    }
}

static void
add_rack_waits (GString *page, const struct rst_planner_stats *stats)
{
  rst_metrics_add_counter (page, "rack_waits_total",
                           "Waits of steps for room in their rack.",
                           stats->rack_waits);
  rst_metrics_begin_family (page, "rack_wait_ends_total", "counter",
                            "Waits for a rack that ended, by how.");
  for (int i = 0; i < RST_LOCALITY_REASONS; i++)
    {
      struct rst_metrics_label label
          = { "how", rst_locality_reason_name ((enum rst_locality_reason)i) };

      rst_metrics_add_sample (page, "rack_wait_ends_total", label,
                              (double)stats->rack_wait_ends[i]);
    }
}

void
rst_cell_metrics_add_waits (GString *page,
                            const struct rst_planner_stats *stats)
{
  rst_metrics_add_gauge (page, "longest_wait_seconds",
                         "Longest present wait of a step.",
                         (double)stats->longest_wait_ms / 1000.0);
  rst_metrics_begin_family (page, "waiting_steps_by_reason", "gauge",
                            "Waiting steps, by why they do not start.");
  for (int i = 0; i < RST_WAIT_REASONS; i++)
    {
      struct rst_metrics_label label
          = { "reason", rst_wait_reason_name ((enum rst_wait_reason)i) };

      rst_metrics_add_sample (page, "waiting_steps_by_reason", label,
                              (double)stats->waiting_by_reason[i]);
    }
  rst_metrics_begin_family (page, "step_wait_seconds", "histogram",
                            "Time for which a step waited for one reason.");
  for (int i = 0; i < RST_WAIT_REASONS; i++)
    {
      struct rst_metrics_label label
          = { "reason", rst_wait_reason_name ((enum rst_wait_reason)i) };

      if (stats->step_wait_ms[i].total > 0)
        rst_metrics_add_histogram (page, "step_wait_seconds", label,
                                   &stats->step_wait_ms[i]);
    }
}

static void
add_sizes (GString *page, const struct rst_planner_stats *stats)
{
  rst_metrics_add_gauge (page, "jobs", "Jobs known.", (double)stats->jobs);
  rst_metrics_add_gauge (page, "cancelled_ids",
                         "Cancelled ids that no job has.",
                         (double)stats->notes);
  rst_metrics_add_gauge (page, "rejected_ids",
                         "Rejected ids whose first attempts are known.",
                         (double)stats->rejected_ids);
  rst_metrics_add_gauge (page, "instances", "Instances registered.",
                         (double)stats->instances);
  rst_metrics_add_gauge (page, "instances_known",
                         "Instances whose runs are known.",
                         (double)stats->instances_known);
  rst_metrics_add_gauge (page, "agents", "Agents linked.",
                         (double)stats->agents);
  rst_metrics_add_gauge (page, "isolated",
                         "Whether the planner is isolated with its zone.",
                         (double)stats->isolated);
  rst_metrics_add_gauge (page, "waiting_steps",
                         "Steps with tasks that wait for a place.",
                         (double)stats->waiting_steps);
  rst_metrics_add_gauge (page, "journal_bytes",
                         "Size of the journal, which a successor reads.",
                         (double)stats->journal_bytes);
  rst_metrics_add_gauge (page, "journal_needed_bytes",
                         "Size that it needs, as last estimated.",
                         (double)stats->journal_needed_bytes);
  rst_metrics_add_gauge (page, "slow_instances",
                         "Instances that count as slow.",
                         (double)stats->slow_instances);
}

static void
add_counters (GString *page, const struct rst_planner_stats *stats)
{
  rst_metrics_add_counter (page, "jobs_accepted_total", "Jobs handed in.",
                           stats->accepted);
  rst_metrics_add_counter (page, "jobs_completed_total",
                           "Jobs that completed.", stats->completed);
  rst_metrics_add_counter (page, "jobs_failed_total", "Jobs that failed.",
                           stats->failed);
  rst_metrics_add_counter (page, "jobs_cancelled_total", "Jobs cancelled.",
                           stats->cancelled);
  rst_metrics_add_counter (page, "jobs_rejected_total",
                           "Jobs rejected while the store did not answer.",
                           stats->rejected);
  rst_metrics_add_counter (page, "jobs_rejected_refused_total",
                           "Of these, those while the store refused commits.",
                           stats->rejected_refused);
  rst_metrics_add_counter (page, "jobs_overloaded_total",
                           "Jobs rejected that would end too late.",
                           stats->overloaded);
  rst_metrics_add_counter (page, "jobs_returned_total",
                           "Jobs accepted after a rejection.",
                           stats->returned);
  rst_metrics_add_counter (page, "jobs_rejected_isolated_total",
                           "Jobs rejected while isolated with the zone.",
                           stats->rejected_isolated);
  rst_metrics_add_counter (page, "isolations_total",
                           "Times that the planner was isolated.",
                           stats->isolations);
  rst_metrics_add_counter (page, "jobs_outdated_total",
                           "Jobs rejected that may have been cancelled since.",
                           stats->outdated);
  rst_metrics_add_counter (page, "jobs_too_large_total",
                           "Jobs rejected for lack of memory for their tasks.",
                           stats->tables_refused);
  rst_metrics_add_counter (page, "cancels_rejected_total",
                           "Cancels of unknown jobs that were rejected.",
                           stats->notes_rejected);
  rst_metrics_add_counter (page, "starts_total", "Starts ordered.",
                           stats->starts);
  rst_metrics_add_counter (page, "starts_failed_total",
                           "Starts that did not succeed.",
                           stats->starts_failed);
  rst_metrics_add_counter (page, "advice_calls_total", "Calls for advice.",
                           stats->advice_calls);
  rst_metrics_add_counter (page, "advice_failed_total",
                           "Calls for advice without a usable answer.",
                           stats->advice_failed);
  rst_metrics_add_counter (page, "crashes_total",
                           "Crashes of instances with runs.", stats->crashes);
  rst_metrics_add_counter (page, "trials_total",
                           "Starts of tasks suspected of crashes.",
                           stats->trials);
  rst_metrics_add_counter (page, "tasks_given_up_total",
                           "Tasks given up as instances crash under them.",
                           stats->tasks_given_up);
  rst_metrics_add_counter (page, "leases_expired_total",
                           "Leases of instances with runs that expired.",
                           stats->leases_expired);
  rst_metrics_add_counter (page, "checkpoints_dropped_total",
                           "Checkpoints not kept for lack of memory.",
                           stats->checkpoints_dropped);
  rst_metrics_add_counter (page, "paced_total", "Orders on the pace of tasks.",
                           stats->pace_orders);
  rst_metrics_add_counter (page, "commits_total", "Segments appended.",
                           stats->commits);
  rst_metrics_add_counter (page, "slow_found_total",
                           "Times that an instance was found to be slow.",
                           stats->slow_found);
  rst_metrics_add_counter (page, "speed_samples_total",
                           "Ended runs compared with others of their step.",
                           stats->speed_samples);
  rst_metrics_add_counter (page, "speed_changes_total",
                           "Reports that show a change of an instance's "
                           "speed.",
                           stats->rate_changes);
}

static void
add_latencies (GString *page, const struct rst_planner_stats *stats)
{
  rst_metrics_begin_family (page, "commit_seconds", "histogram",
                            "Time from a commit to the store's word.");
  rst_metrics_add_histogram (page, "commit_seconds", no_label,
                             &stats->commit_ms);
  rst_metrics_begin_family (page, "advice_seconds", "histogram",
                            "Time from a call for advice to its answer.");
  rst_metrics_add_histogram (page, "advice_seconds", no_label,
                             &stats->advice_ms);
}

static void
add_pending (void *userdata, const struct rst_queue_stats *queue)
{
  struct rst_metrics_label label = { "queue", queue->name };

  rst_metrics_add_sample (userdata, "queue_pending", label,
                          (double)queue->pending);
}

static void
add_first_start (void *userdata, const struct rst_queue_stats *queue)
{
  struct rst_metrics_label label = { "queue", queue->name };

  rst_metrics_add_histogram (userdata, "first_start_seconds", label,
                             &queue->first_start_ms);
}

static void
add_job_time (void *userdata, const struct rst_queue_stats *queue)
{
  struct rst_metrics_label label = { "queue", queue->name };

  rst_metrics_add_histogram (userdata, "job_seconds", label, &queue->job_ms);
}

static void
add_queues (GString *page, const struct rst_planner *planner)
{
  rst_metrics_begin_family (page, "queue_pending", "gauge",
                            "Jobs of which no task has started.");
  rst_planner_foreach_queue (planner, add_pending, page);
  rst_metrics_begin_family (
      page, "first_start_seconds", "histogram",
      "Time from handing a job in to the first order for it.");
  rst_planner_foreach_queue (planner, add_first_start, page);
  rst_metrics_begin_family (page, "job_seconds", "histogram",
                            "Time from handing a job in to its completion.");
  rst_planner_foreach_queue (planner, add_job_time, page);
}

char *
rst_cell_metrics_format_page (const struct rst_cell_node *node,
                              const struct rst_body_stats *limits)
{
  const struct rst_planner *planner = rst_cell_node_get_planner (node);
  GString *page = g_string_new (NULL);
  struct rst_planner_stats stats;

  rst_metrics_add_gauge (page, "is_planner", "Whether this process plans.",
                         planner != NULL);
  rst_metrics_add_counter (
      page, "checkpoints_left_out_total",
      "Checkpoints of instances that can't be carried.",
      rst_agent_count_checkpoints_left_out (rst_cell_node_get_agent (node)));
  if (planner != NULL)
    {
      rst_planner_read_stats (planner, &stats);
      add_sizes (page, &stats);
      add_counters (page, &stats);
      add_ends (page, &stats);
      add_rack_waits (page, &stats);
      rst_cell_metrics_add_waits (page, &stats);
      add_latencies (page, &stats);
      add_queues (page, planner);
    }
  rst_metrics_add_limits (page, limits);
  rst_metrics_add_process (page);
  return g_string_free (page, FALSE);
}
