/* Choice of a queue and a runner, and runs of queries. */
#include "coordination/sched_query_private.h"

#include <string.h>

#define LOG_DOMAIN "query"

/** Most attempts of one query. */
#define QUERY_ATTEMPTS_MAX 4

/** How long a run in doubt occupies its slot after the query's deadline. */
#define IN_DOUBT_MARGIN_MS 1000

/* The runner with the smallest part of its slots in use. */
struct instance *
sched_query_choose_runner (struct rst_scheduler *sched)
{
  struct instance *best = NULL;
  int64_t best_usage_permille = 0;

  for (guint i = 0; i < sched->owned->len; i++)
    {
      struct instance *instance = g_ptr_array_index (sched->owned, i);
      int64_t usage_permille;

      if (instance->info.kind != RST_RUNNER
          || instance->slots_used >= instance->info.slots
          || !sched_instance_is_usable (sched, instance))
        continue;
      usage_permille = instance->slots_used * 1000 / instance->info.slots;
      if (best == NULL || usage_permille < best_usage_permille)
        {
          best = instance;
          best_usage_permille = usage_permille;
        }
    }
  return best;
}

static uint64_t
get_team_share (const struct team *team)
{
  const struct rst_team *settings
      = rst_settings_find_team (team->sched->settings, team->name);

  return settings != NULL ? settings->share : 1;
}

/* The queue of the team with the fewest runs for its share.  Teams that have
   used up their part of the upper limit are passed over. */
static struct query_queue *
choose_queue (struct rst_scheduler *sched, bool urgent)
{
  struct query_queue *best = NULL;
  uint64_t best_rank = 0;
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, sched->teams);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct team *team = value;
      struct query_queue *queue = urgent ? &team->urgent : &team->normal;
      uint64_t rank;

      if (CK_STAILQ_EMPTY (queue) || !sched_limit_allows_start (team))
        continue;
      rank = (uint64_t)team->run_count * 1000000 / get_team_share (team);
      if (best == NULL || rank < best_rank)
        {
          best = queue;
          best_rank = rank;
        }
    }
  return best;
}

static void
release_run (struct run *run)
{
  run->pending_calls--;
  if (run->instance != NULL)
    sched_run_remove (run);
  else
    g_free (run);
}

/* The runner may still run the query, so its slot stays occupied until the run
   must have ended. */
static void
keep_run_in_doubt (struct run *run, const struct query *query)
{
  run->pending_calls--;
  if (run->instance == NULL)
    {
      g_free (run);
      return;
    }
  run->in_doubt_until = query->deadline + IN_DOUBT_MARGIN_MS;
}

static void
report_to_breaker (struct instance *instance, bool ok)
{
  if (instance != NULL)
    rst_breaker_record_result (&instance->breaker, ok,
                               sched_now (instance->sched));
}

/* Queues a query that did not run, or that is idempotent, for another attempt.
   Returns false if this scheduler is stopping or no attempts, time or retry
   budget are left. */
static bool
retry_query (struct query *query)
{
  struct rst_scheduler *sched = query->sched;

  if (query->attempts >= QUERY_ATTEMPTS_MAX
      || sched_now (sched) >= query->deadline || sched->stopping
      || !rst_retry_budget_take_retry (&sched->retry_budget))
    return false;
  sched->counters.retries++;
  query->run = NULL;
  sched_query_enqueue (query, true);
  return true;
}

static void
end_answered (struct query *query, const struct rst_platform_reply *reply,
              const char *instance, uint64_t epoch)
{
  struct rst_answer answer = { 0 };

  answer.outcome = RST_REQUEST_ANSWERED;
  answer.status = (uint64_t)reply->status;
  answer.instance = (char *)instance;
  answer.epoch = epoch;
  answer.body.data = (char *)reply->body;
  answer.body.length = reply->length;
  sched_query_end (query, &answer);
}

static void
handle_failed_run (struct query *query, const struct rst_platform_reply *reply,
                   const char *instance, uint64_t epoch)
{
  bool may_have_run = reply->result == RST_PLATFORM_UNKNOWN
                      && !RST_FAULT (RST_FAULT_REPORT_NOT_RUN);

  if (may_have_run)
    query->may_have_run = true;
  if ((!may_have_run || query->idempotent
       || RST_FAULT (RST_FAULT_RUN_REQUEST_TWICE))
      && retry_query (query))
    return;
  if (may_have_run)
    sched_query_end_unknown (query, HTTP_STATUS_TIMEOUT, instance, epoch,
                             "the runner gave no whole answer");
  else
    sched_query_reject (query, HTTP_STATUS_UNAVAILABLE, "no-runner",
                        "no runner took the request");
}

static void
on_run_reply (const struct rst_platform_reply *reply, void *data)
{
  struct query *query = data;
  struct rst_scheduler *sched = query->sched;
  struct run *run = query->run;
  struct instance *instance = run->instance;
  char name[RST_NAME_SIZE];
  uint64_t epoch = query->epoch;

  g_strlcpy (name, query->instance, sizeof name);
  if (reply->result == RST_PLATFORM_OK
      || reply->result == RST_PLATFORM_REJECTED)
    report_to_breaker (instance, true);
  else
    report_to_breaker (instance, false);
  if (reply->result == RST_PLATFORM_UNKNOWN)
    keep_run_in_doubt (run, query);
  else
    release_run (run);
  query->run = NULL;
  if (reply->result == RST_PLATFORM_OK)
    end_answered (query, reply, name, epoch);
  else
    handle_failed_run (query, reply, name, epoch);
  sched_query_dispatch (sched);
}

static void
log_placement (const struct query *query, const struct instance *instance)
{
  char epoch[24];

  if (!rst_log_enabled (G_LOG_LEVEL_INFO))
    return;
  g_snprintf (epoch, sizeof epoch, "%" G_GUINT64_FORMAT, instance->epoch);
  rst_info (LOG_DOMAIN, "Query placed.", "request", query->request_id, "team",
            query->team->name, "zone", query->sched->config.zone, "instance",
            instance->info.name, "epoch", epoch, "reason", "least-used");
}

static void
start_query (struct query *query, struct instance *instance)
{
  struct rst_scheduler *sched = query->sched;
  struct rst_run_info info = { 0 };
  struct rst_query_request request = { 0 };
  rst_ms now = sched_now (sched);

  g_snprintf (info.id, sizeof info.id, "%s/%s", query->team->name,
              query->request_id);
  g_strlcpy (info.team, query->team->name, sizeof info.team);
  query->run = sched_run_add (instance, &info);
  query->run->pending_calls++;
  query->attempts++;
  query->epoch = instance->epoch;
  g_strlcpy (query->instance, instance->info.name, RST_NAME_SIZE);
  rst_breaker_record_request (&instance->breaker);
  log_placement (query, instance);
  request.id = query->run->info.id;
  request.team = query->team->name;
  request.epoch = instance->epoch;
  request.idempotent = query->idempotent;
  request.deadline_ms = query->deadline - now;
  request.not_after
      = MIN (query->deadline, rst_tenure_get_expiry (sched->tenure, now));
  request.body = query->body.data;
  request.length = query->body.length;
  sched->platform->query_run (sched->platform_data, instance->info.address,
                              &request, on_run_reply, query);
}

static bool
dispatch_next (struct rst_scheduler *sched)
{
  int64_t began_ns = rst_os_now_ns ();
  struct query_queue *queue = choose_queue (sched, true);
  struct instance *instance;
  struct query *query;

  if (queue == NULL)
    queue = choose_queue (sched, false);
  if (queue == NULL)
    return false;
  instance = sched_query_choose_runner (sched);
  sched->counters.decisions++;
  sched->counters.decision_ns += (uint64_t)(rst_os_now_ns () - began_ns);
  if (instance == NULL)
    return false;
  query = CK_STAILQ_FIRST (queue);
  sched_query_dequeue_head (queue);
  if (sched_now (sched) >= query->deadline)
    sched_query_reject (query, HTTP_STATUS_UNAVAILABLE, "deadline",
                        "no slot became free before the deadline");
  else
    start_query (query, instance);
  return true;
}

void
sched_query_dispatch (struct rst_scheduler *sched)
{
  if (sched->dispatching || sched->queued_count == 0
      || !sched_may_start (sched))
    return;
  sched->dispatching = true;
  while (sched->queued_count > 0 && dispatch_next (sched))
    continue;
  sched->dispatching = false;
}
