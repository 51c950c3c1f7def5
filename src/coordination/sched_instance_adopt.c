/* Adopting instances, and renewing the leases of their tasks. */
#include "coordination/sched_instance_private.h"

#include <string.h>

#define LOG_PREFIX "instance"

/** Time between inspections of a runner with work of an earlier owner. */
#define INSPECT_EVERY_MS 1000

/** Renewals in one task lease. */
#define RENEWALS_PER_LEASE 3

/** Least time between two renewals of one worker. */
#define RENEW_LEAST_MS 100

/** Time after its declared end at which a task is looked at. */
#define END_SLACK_MS 20

/** Failed renewals after which no further one is sent. */
#define RENEWALS_MAX 3

/* A call about an instance; the instance may change hands meanwhile. */
struct instance_call
{
  struct rst_scheduler *sched;
  char name[RST_NAME_SIZE];
  uint64_t epoch;
  uint64_t life;
};

static struct instance_call *
call_create (struct instance *instance)
{
  struct instance_call *call = g_new0 (struct instance_call, 1);

  call->sched = instance->sched;
  call->epoch = instance->epoch;
  call->life = instance->sched->life;
  g_strlcpy (call->name, instance->info.name, RST_NAME_SIZE);
  return call;
}

/* The instance of a call, if it is still owned as it was; frees the call. */
static struct instance *
call_finish (struct instance_call *call)
{
  struct instance *instance
      = g_hash_table_lookup (call->sched->instances, call->name);

  if (instance != NULL
      && (instance->phase == INSTANCE_FOREIGN || instance->epoch != call->epoch
          || call->sched->life != call->life))
    instance = NULL;
  g_free (call);
  return instance;
}

static const struct rst_work *
find_reported (const struct rst_platform_reply *reply, const char *id)
{
  for (int i = 0; i < reply->work_count; i++)
    if (strcmp (reply->work[i].id, id) == 0)
      return &reply->work[i];
  return NULL;
}

static void
take_reported (struct instance *instance, const struct rst_work *reported)
{
  struct work *work = sched_work_find (instance, reported->id);

  if (work == NULL)
    {
      work = sched_work_add (instance, reported);
      work->adopted = true;
    }
  if (work->starting || work->ended)
    return;
  work->unsure = false;
  if (reported->result != RST_TASK_RUNNING)
    sched_work_end (work, (uint64_t)reported->result);
}

/* Work that the instance no longer knows has ended without a result.  Work
   sent after the question was asked may be missing from its answer. */
static void
drop_unreported (struct instance *instance,
                 const struct rst_platform_reply *reply)
{
  struct work *work = CK_LIST_FIRST (&instance->work);

  while (work != NULL)
    {
      struct work *next = CK_LIST_NEXT (work, entry);

      if (work->ended || work->starting || work->held || work->calls > 0
          || work->started_at >= reply->sent_at
          || find_reported (reply, work->info.id) != NULL)
        ;
      else if (work->info.job[0] == '\0')
        {
          if (work->adopted)
            sched_work_remove (work);
        }
      else if (work->unsure)
        sched_task_settle_unsure (work);
      else
        sched_work_end (work, RST_TASK_LOST);
      work = next;
    }
}

static void
take_report (struct instance *instance, const struct rst_platform_reply *reply)
{
  instance->heard_at = sched_now (instance->sched);
  instance->renewals_failed = 0;
  for (int i = 0; i < reply->work_count; i++)
    take_reported (instance, &reply->work[i]);
  drop_unreported (instance, reply);
}

static void
adopted (struct instance *instance)
{
  char epoch[24];
  char count[24];
  int running = 0;
  struct work *work;

  CK_LIST_FOREACH (work, &instance->work, entry)
  running += work->counted ? 1 : 0;
  instance->phase = INSTANCE_READY;
  instance->sched->load_changed = true;
  g_snprintf (epoch, sizeof epoch, "%" G_GUINT64_FORMAT, instance->epoch);
  g_snprintf (count, sizeof count, "%d", running);
  rst_info (LOG_PREFIX, "Instance was adopted.", "instance",
            instance->info.name, "epoch", epoch, "running", count);
  sched_limit_say_adopted (instance);
}

static void
on_inspected (const struct rst_platform_reply *reply, void *data)
{
  struct rst_scheduler *sched = ((struct instance_call *)data)->sched;
  struct instance *instance = call_finish (data);

  if (instance == NULL)
    return;
  instance->inspecting = false;
  instance->next_inspect = sched_now (sched) + INSPECT_EVERY_MS;
  if (reply->result != RST_PLATFORM_OK)
    return;
  take_report (instance, reply);
  if (instance->phase == INSTANCE_ADOPTING)
    adopted (instance);
}

static bool
has_adopted_queries (const struct instance *instance)
{
  const struct work *work;

  CK_LIST_FOREACH (work, &instance->work, entry)
  if (work->adopted && work->info.job[0] == '\0')
    return true;
  return false;
}

void
sched_instance_inspect_tick (struct instance *instance)
{
  struct rst_scheduler *sched = instance->sched;
  bool needed
      = instance->phase == INSTANCE_ADOPTING || has_adopted_queries (instance);

  if (!needed || instance->inspecting || instance->info.address[0] == '\0'
      || sched_now (sched) < instance->next_inspect)
    return;
  instance->inspecting = true;
  sched->platform->inspect (sched->platform_data, instance->info.address,
                            instance->epoch, on_inspected,
                            call_create (instance));
}

static void
forget_seen_ends (struct instance *instance)
{
  struct work *work = CK_LIST_FIRST (&instance->work);

  while (work != NULL)
    {
      struct work *next = CK_LIST_NEXT (work, entry);

      if (work->ended && work->end_confirmed && work->calls == 0)
        sched_work_remove (work);
      work = next;
    }
}

static void
on_renewed (const struct rst_platform_reply *reply, void *data)
{
  struct instance *instance = call_finish (data);

  if (instance == NULL)
    return;
  instance->renewing = false;
  if (reply->result == RST_PLATFORM_FENCED)
    {
      /* Another owns it; the ownership record will say so. */
      instance->next_renew = sched_now (instance->sched)
                             + instance->sched->config.task_lease_ms;
      return;
    }
  if (reply->result != RST_PLATFORM_OK)
    {
      instance->renewals_failed++;
      instance->last_renewal_at = sched_now (instance->sched);
      return;
    }
  forget_seen_ends (instance);
  take_report (instance, reply);
}

/* Marks the ends that this renewal tells the worker to forget. */
static char **
seen_ends (struct instance *instance)
{
  GPtrArray *ids = g_ptr_array_new ();
  struct work *work;

  CK_LIST_FOREACH (work, &instance->work, entry)
  if (work->ended && work->end_seen)
    {
      work->end_confirmed = true;
      g_ptr_array_add (ids, g_strdup (work->info.id));
    }
  g_ptr_array_add (ids, NULL);
  return (char **)g_ptr_array_free (ids, FALSE);
}

/* No renewal can have extended a lease beyond this time. */
static bool
leases_have_lapsed (const struct instance *instance)
{
  const struct work *work;

  const struct rst_scheduler *sched = instance->sched;
  rst_ms last = MAX (instance->last_renewal_at, instance->heard_at);

  CK_LIST_FOREACH (work, &instance->work, entry)
  if (work->starting)
    return false;
  /* Another owner, who would renew them, is ruled out by the tenure. */
  return instance->renewals_failed >= RENEWALS_MAX
         && rst_tenure_held (sched->tenure, sched_now (sched))
         && sched_now (sched) - last
                > sched->config.task_lease_ms + LEASE_MARGIN_MS;
}

static void
end_lost_tasks (struct instance *instance)
{
  struct work *work;

  CK_LIST_FOREACH (work, &instance->work, entry)
  if (!work->ended && !work->held && work->info.job[0] != '\0')
    {
      rst_warning (LOG_PREFIX, "Instance is silent; its tasks have ended.",
                   "instance", instance->info.name, "task", work->info.id);
      sched_work_end (work, RST_TASK_LOST);
    }
  instance->renewals_failed = 0;
  instance->phase = INSTANCE_ADOPTING;
}

/* When the next task should have ended by its declared run time. */
static rst_ms
next_end (const struct instance *instance)
{
  rst_ms next = INT64_MAX;
  const struct work *work;

  CK_LIST_FOREACH (work, &instance->work, entry)
  if (work->counted && !work->held && !work->starting && work->info.run_ms > 0)
    {
      rst_ms end = work->started_at + work->info.run_ms + END_SLACK_MS;

      /* A task that runs longer than declared is followed by the renewals. */
      if (end > instance->renewed_at)
        next = MIN (next, end);
    }
  return next;
}

void
sched_instance_renew_tick (struct instance *instance)
{
  struct rst_scheduler *sched = instance->sched;
  rst_ms now = sched_now (sched);
  char **seen;

  if (instance->phase != INSTANCE_READY || instance->info.kind != RST_WORKER
      || CK_LIST_EMPTY (&instance->work))
    return;
  if (leases_have_lapsed (instance))
    {
      end_lost_tasks (instance);
      return;
    }
  if (instance->renewing || instance->renewals_failed >= RENEWALS_MAX
      || now < instance->renewed_at + RENEW_LEAST_MS
      || (now < instance->next_renew && now < next_end (instance)))
    return;
  instance->renewing = true;
  instance->renewed_at = now;
  instance->next_renew
      = now + sched->config.task_lease_ms / RENEWALS_PER_LEASE;
  seen = seen_ends (instance);
  sched->platform->task_renew (sched->platform_data, instance->info.address,
                               instance->epoch, sched->config.task_lease_ms,
                               (const char *const *)seen, on_renewed,
                               call_create (instance));
  g_strfreev (seen);
}
