/**
 * DOC: sched_instance_adopt - adoption of owned instances, and renewal of the
 * leases of their tasks
 *
 * An instance reports its runs when it is inspected and with each renewal.
 */
#include "coordination/sched_instance_private.h"

#include <string.h>

#define LOG_DOMAIN "instance"

/** Time between two inspections of an instance that is being adopted, or that
 * runs queries of an earlier owner. */
#define INSPECT_INTERVAL_MS 1000

/** Number of renewals sent in one task lease. */
#define RENEWALS_PER_LEASE 3

/** Shortest time between two renewals of one worker. */
#define RENEWAL_MIN_INTERVAL_MS 100

/** Delay after the declared end of a task before a renewal asks for it. */
#define DECLARED_END_SLACK_MS 20

/** Failed renewals in a row after which no further one is sent, so that the
 * task leases can expire. */
#define FAILED_RENEWALS_MAX 3

/* A call to an instance, which may change its owner before the reply. */
struct instance_call
{
  struct rst_scheduler *sched;
  char name[RST_NAME_SIZE];
  uint64_t epoch;
  uint64_t incarnation_number;
};

static struct instance_call *
instance_call_create (struct instance *instance)
{
  struct instance_call *call = g_new0 (struct instance_call, 1);

  call->sched = instance->sched;
  call->epoch = instance->epoch;
  call->incarnation_number = instance->sched->incarnation_number;
  g_strlcpy (call->name, instance->info.name, RST_NAME_SIZE);
  return call;
}

/* Frees the call.  Returns its instance, or NULL if that is no longer owned
   under the same epoch and incarnation. */
static struct instance *
instance_call_finish (struct instance_call *call)
{
  struct instance *instance
      = g_hash_table_lookup (call->sched->instances, call->name);

  if (instance != NULL
      && (instance->phase == INSTANCE_NOT_OWNED
          || instance->epoch != call->epoch
          || call->sched->incarnation_number != call->incarnation_number))
    instance = NULL;
  g_free (call);
  return instance;
}

static const struct rst_run_info *
find_reported_run (const struct rst_platform_reply *reply, const char *id)
{
  for (int i = 0; i < reply->run_count; i++)
    if (strcmp (reply->runs[i].id, id) == 0)
      return &reply->runs[i];
  return NULL;
}

/* Adds a run that is new here, or records the end of a known one. */
static void
apply_reported_run (struct instance *instance,
                    const struct rst_run_info *reported)
{
  struct run *run = sched_run_find (instance, reported->id);

  if (run == NULL)
    {
      run = sched_run_add (instance, reported);
      run->adopted = true;
    }
  if (run->starting || run->ended)
    return;
  run->in_doubt = false;
  if (reported->result != RST_TASK_RUNNING)
    sched_run_end (run, (uint64_t)reported->result);
}

/* A run that the instance no longer reports has ended without a result.  Runs
   that may have been started after the request was sent can be missing from
   the report; they are left alone. */
static void
handle_unreported_runs (struct instance *instance,
                        const struct rst_platform_reply *reply)
{
  struct run *run = CK_LIST_FIRST (&instance->runs);

  while (run != NULL)
    {
      struct run *next = CK_LIST_NEXT (run, entry);

      if (run->ended || run->starting || run->reserved
          || run->pending_calls > 0 || run->started_at >= reply->sent_at
          || find_reported_run (reply, run->info.id) != NULL)
        ;
      else if (run->info.job[0] == '\0')
        {
          if (run->adopted)
            sched_run_remove (run);
        }
      else if (run->in_doubt)
        sched_task_resolve_in_doubt (run);
      else
        sched_run_end (run, RST_TASK_LOST);
      run = next;
    }
}

static void
apply_report (struct instance *instance,
              const struct rst_platform_reply *reply)
{
  instance->last_report_at = sched_now (instance->sched);
  instance->renewals_failed = 0;
  for (int i = 0; i < reply->run_count; i++)
    apply_reported_run (instance, &reply->runs[i]);
  handle_unreported_runs (instance, reply);
}

static void
finish_adoption (struct instance *instance)
{
  char epoch[24];
  char count[24];
  int running = 0;
  struct run *run;

  CK_LIST_FOREACH (run, &instance->runs, entry)
  running += run->counted ? 1 : 0;
  instance->phase = INSTANCE_READY;
  instance->sched->load_changed = true;
  g_snprintf (epoch, sizeof epoch, "%" G_GUINT64_FORMAT, instance->epoch);
  g_snprintf (count, sizeof count, "%d", running);
  rst_info (LOG_DOMAIN, "Instance was adopted; it can be used.", "instance",
            instance->info.name, "epoch", epoch, "running", count);
  sched_limit_announce_adopted (instance);
}

static void
on_inspected (const struct rst_platform_reply *reply, void *data)
{
  struct rst_scheduler *sched = ((struct instance_call *)data)->sched;
  struct instance *instance = instance_call_finish (data);

  if (instance == NULL)
    return;
  instance->inspection_pending = false;
  instance->next_inspect_at = sched_now (sched) + INSPECT_INTERVAL_MS;
  if (reply->result != RST_PLATFORM_OK)
    return;
  apply_report (instance, reply);
  if (instance->phase == INSTANCE_ADOPTING)
    finish_adoption (instance);
}

static bool
has_adopted_queries (const struct instance *instance)
{
  const struct run *run;

  CK_LIST_FOREACH (run, &instance->runs, entry)
  if (run->adopted && run->info.job[0] == '\0')
    return true;
  return false;
}

void
sched_instance_inspect_tick (struct instance *instance)
{
  struct rst_scheduler *sched = instance->sched;
  bool needed
      = instance->phase == INSTANCE_ADOPTING || has_adopted_queries (instance);

  if (!needed || instance->inspection_pending
      || instance->info.address[0] == '\0'
      || sched_now (sched) < instance->next_inspect_at)
    return;
  instance->inspection_pending = true;
  sched->platform->instance_inspect (
      sched->platform_data, instance->info.address, instance->epoch,
      on_inspected, instance_call_create (instance));
}

static void
remove_forgotten_ends (struct instance *instance)
{
  struct run *run = CK_LIST_FIRST (&instance->runs);

  while (run != NULL)
    {
      struct run *next = CK_LIST_NEXT (run, entry);

      if (run->ended && run->end_forget_sent && run->pending_calls == 0)
        sched_run_remove (run);
      run = next;
    }
}

static void
on_renewed (const struct rst_platform_reply *reply, void *data)
{
  struct instance *instance = instance_call_finish (data);

  if (instance == NULL)
    return;
  instance->renewal_pending = false;
  if (reply->result == RST_PLATFORM_FENCED)
    {
      /* The instance has another owner, whom the ownership record will name
         shortly. */
      instance->next_renewal_at = sched_now (instance->sched)
                                  + instance->sched->config.task_lease_ms;
      return;
    }
  if (reply->result != RST_PLATFORM_OK)
    {
      instance->renewals_failed++;
      instance->last_lease_call_at = sched_now (instance->sched);
      return;
    }
  remove_forgotten_ends (instance);
  apply_report (instance, reply);
}

/* Lists the tasks whose ends the next renewal tells the worker to forget, and
   marks them as told.  The list is to be freed with g_strfreev(). */
static char **
list_acknowledged_ends (struct instance *instance)
{
  GPtrArray *ids = g_ptr_array_new ();
  struct run *run;

  CK_LIST_FOREACH (run, &instance->runs, entry)
  if (run->ended && run->end_acknowledged)
    {
      run->end_forget_sent = true;
      g_ptr_array_add (ids, g_strdup (run->info.id));
    }
  g_ptr_array_add (ids, NULL);
  return (char **)g_ptr_array_free (ids, FALSE);
}

/* Whether no task lease can still be running: neither a renewal nor a start
   can have extended one until now. */
static bool
leases_have_expired (const struct instance *instance)
{
  const struct run *run;

  const struct rst_scheduler *sched = instance->sched;
  rst_ms last = MAX (instance->last_lease_call_at, instance->last_report_at);

  CK_LIST_FOREACH (run, &instance->runs, entry)
  if (run->starting)
    return false;
  /* While the tenure is held, no other member can own the instance and renew
     the leases. */
  return instance->renewals_failed >= FAILED_RENEWALS_MAX
         && rst_tenure_is_held (sched->tenure, sched_now (sched))
         && sched_now (sched) - last
                > sched->config.task_lease_ms + TASK_LEASE_MARGIN_MS;
}

/* Ends the tasks of a worker whose leases have expired, and has the worker
   inspected again before it is used. */
static void
end_unreachable_tasks (struct instance *instance)
{
  struct run *run;

  CK_LIST_FOREACH (run, &instance->runs, entry)
  if (!run->ended && !run->reserved && run->info.job[0] != '\0')
    {
      rst_warning (LOG_DOMAIN, "Instance is unreachable; its task is lost.",
                   "instance", instance->info.name, "task", run->info.id);
      sched_run_end (run, RST_TASK_LOST);
    }
  instance->renewals_failed = 0;
  instance->phase = INSTANCE_ADOPTING;
}

/* When the next task ends by its declared run time, which is when a renewal
   asks for it; INT64_MAX if there is none. */
static rst_ms
get_next_end (const struct instance *instance)
{
  rst_ms next = INT64_MAX;
  const struct run *run;

  CK_LIST_FOREACH (run, &instance->runs, entry)
  if (run->counted && !run->reserved && !run->starting && run->info.run_ms > 0)
    {
      rst_ms end = run->started_at + run->info.run_ms + DECLARED_END_SLACK_MS;

      /* A task that was asked for and runs longer than declared is asked for
         by the periodic renewals only. */
      if (end > instance->renewal_sent_at)
        next = MIN (next, end);
    }
  return next;
}

void
sched_instance_renew_tick (struct instance *instance)
{
  struct rst_scheduler *sched = instance->sched;
  rst_ms now = sched_now (sched);
  char **acknowledged;

  if (instance->phase != INSTANCE_READY || instance->info.kind != RST_WORKER
      || CK_LIST_EMPTY (&instance->runs))
    return;
  if (leases_have_expired (instance))
    {
      end_unreachable_tasks (instance);
      return;
    }
  if (instance->renewal_pending
      || instance->renewals_failed >= FAILED_RENEWALS_MAX
      || now < instance->renewal_sent_at + RENEWAL_MIN_INTERVAL_MS
      || (now < instance->next_renewal_at && now < get_next_end (instance)))
    return;
  instance->renewal_pending = true;
  instance->renewal_sent_at = now;
  instance->next_renewal_at
      = now + sched->config.task_lease_ms / RENEWALS_PER_LEASE;
  acknowledged = list_acknowledged_ends (instance);
  sched->platform->task_renew (sched->platform_data, instance->info.address,
                               instance->epoch, sched->config.task_lease_ms,
                               (const char *const *)acknowledged, on_renewed,
                               instance_call_create (instance));
  g_strfreev (acknowledged);
}
