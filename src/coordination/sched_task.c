/**
 * DOC: sched_task - tasks on owned workers
 *
 * Starts, follows and stops tasks on the workers that this scheduler owns, on
 * behalf of the owners of the jobs.  A start is repeated under the same id
 * until the worker has said yes or no; the worker runs one id once.
 */
#include "coordination/scheduler_private.h"

#include <string.h>

#define LOG_PREFIX "task"

/** How long the refusal of a start is remembered. */
#define REFUSAL_KEEP_MS 60000

/** How long a held place waits for the start. */
#define HOLD_MS 4000

/** Time between two reports of an end that was not confirmed. */
#define END_EVERY_MS 1000

/** How long an end that nobody confirms is reported. */
#define END_GIVE_UP_MS 600000

/** Time between two looks at holds, ends and moves. */
#define TASK_SWEEP_MS 50

/** Most tasks stopped in one look, so that moves do not come all at once. */
#define MOVES_PER_SWEEP 16

void
sched_task_init (struct rst_scheduler *sched)
{
  sched->tasks = g_hash_table_new (g_str_hash, g_str_equal);
  sched->refusals
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  sched->generations
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
sched_task_clear (struct rst_scheduler *sched)
{
  g_hash_table_destroy (sched->tasks);
  g_hash_table_destroy (sched->generations);
  g_hash_table_destroy (sched->refusals);
}

void
sched_task_added (struct work *work)
{
  g_hash_table_insert (work->instance->sched->tasks, work->info.id, work);
}

void
sched_task_removed (struct work *work)
{
  GHashTable *tasks;

  if (work->info.job[0] == '\0' || work->instance == NULL)
    return;
  tasks = work->instance->sched->tasks;
  if (g_hash_table_lookup (tasks, work->info.id) == work)
    g_hash_table_remove (tasks, work->info.id);
}

static void
task_id (char *out, size_t size, const char *job, uint64_t index,
         uint64_t attempt)
{
  g_snprintf (out, size, "%s.%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT, job,
              index, attempt);
}

/* ---- Messages
 * ---------------------------------------------------------------- */

static void
fill_event (struct rst_message *message, uint64_t type,
            const struct work *work, uint64_t result)
{
  message->type = type;
  message->task_event.job = (char *)work->info.job;
  message->task_event.index = (uint64_t)work->info.index;
  message->task_event.attempt = (uint64_t)work->info.attempt;
  message->task_event.result = result;
  message->task_event.instance
      = work->instance != NULL ? work->instance->info.name : (char *)"";
  message->task_event.reason = (char *)"";
}

static void
reply_started (struct work *work, uint64_t result)
{
  struct rst_message message = { 0 };

  if (!work->reply_due)
    return;
  work->reply_due = false;
  fill_event (&message, RST_TASK_STARTED, work, result);
  message.id = work->reply_id;
  sched_send (work->team->sched, work->reply_link, &message);
}

/* The highest attempt of a task that was refused here. */
struct refusal
{
  uint64_t attempt;
  rst_ms expires_at;
};

static char *
task_key (const struct rst_task_start *task)
{
  return g_strdup_printf ("%s.%" G_GUINT64_FORMAT, task->job, task->index);
}

/* A request that arrives a second time must not start what was refused. */
static void
note_refusal (struct rst_scheduler *sched, const struct rst_task_start *task)
{
  char *key = task_key (task);
  struct refusal *refusal = g_hash_table_lookup (sched->refusals, key);

  if (refusal == NULL)
    {
      refusal = g_new0 (struct refusal, 1);
      g_hash_table_insert (sched->refusals, g_strdup (key), refusal);
    }
  refusal->attempt = MAX (refusal->attempt, task->attempt);
  refusal->expires_at = sched_now (sched) + REFUSAL_KEEP_MS;
  g_free (key);
}

static bool
was_refused (struct rst_scheduler *sched, const struct rst_task_start *task)
{
  char *key = task_key (task);
  const struct refusal *refusal = g_hash_table_lookup (sched->refusals, key);

  g_free (key);
  return refusal != NULL && task->attempt <= refusal->attempt;
}

static gboolean
refusal_expired (gpointer key, gpointer value, gpointer userdata)
{
  (void)key;
  return ((struct refusal *)value)->expires_at <= *(const rst_ms *)userdata;
}

static void
refuse_start (struct rst_scheduler *sched, uint64_t link,
              const struct rst_message *asked, const char *reason)
{
  struct rst_message message = { 0 };

  note_refusal (sched, &asked->task_start);
  if (rst_log_enabled (G_LOG_LEVEL_INFO))
    {
      char id[2 * RST_NAME_SIZE];

      task_id (id, sizeof id, asked->task_start.job, asked->task_start.index,
               asked->task_start.attempt);
      rst_info (LOG_PREFIX, "Task was refused.", "task", id, "team",
                asked->task_start.team, "zone", sched->config.zone, "reason",
                reason);
    }

  message.type = RST_TASK_STARTED;
  message.id = asked->id;
  message.task_event.job = asked->task_start.job;
  message.task_event.index = asked->task_start.index;
  message.task_event.attempt = asked->task_start.attempt;
  message.task_event.result = RST_TASK_NOT_RUN;
  message.task_event.reason = (char *)reason;
  sched_send (sched, link, &message);
}

/* ---- Choice
 * -------------------------------------------------------------------- */

static bool
fits (const struct instance *instance, const struct rst_task_start *task)
{
  const struct rst_instance_info *info = &instance->info;

  if (RST_FAULT (RST_FAULT_OVERCOMMIT))
    return info->kind == RST_WORKER;
  return info->kind == RST_WORKER
         && instance->cpu_used + (int64_t)task->cpu <= info->cpu
         && instance->memory_used + (int64_t)task->memory_mb <= info->memory_mb
         && instance->accelerators_used + (int64_t)task->accelerators
                <= info->accelerators;
}

static int64_t
part_of (int64_t used, int64_t total)
{
  return total > 0 ? used * 1000 / total : 0;
}

/* How full the fullest resource would be, in thousandths. */
static int64_t
fullness (const struct instance *instance, const struct rst_task_start *task)
{
  const struct rst_instance_info *info = &instance->info;
  int64_t cpu = part_of (instance->cpu_used + (int64_t)task->cpu, info->cpu);
  int64_t memory = part_of (instance->memory_used + (int64_t)task->memory_mb,
                            info->memory_mb);

  return MAX (cpu, memory);
}

static int64_t
tasks_of_job (const struct instance *instance, const char *job)
{
  int64_t count = 0;
  const struct work *work;

  CK_LIST_FOREACH (work, &instance->work, entry)
  if (work->counted && strcmp (work->info.job, job) == 0)
    count++;
  return count;
}

/* Instances with accelerators are left to those that need them. */
static int64_t
accelerator_penalty (const struct instance *instance,
                     const struct rst_task_start *task)
{
  return task->accelerators == 0 && instance->info.accelerators > 0 ? 2000 : 0;
}

/* Smaller is better: services spread, all else is packed. */
static int64_t
rank_worker (const struct instance *instance,
             const struct rst_task_start *task)
{
  int64_t rank = accelerator_penalty (instance, task);

  if (task->policy == RST_POLICY_SERVICE)
    return rank + tasks_of_job (instance, task->job) * 10000
           + fullness (instance, task);
  return rank - fullness (instance, task);
}

static struct instance *
choose_worker (struct rst_scheduler *sched, const struct rst_task_start *task)
{
  struct instance *best = NULL;
  int64_t best_rank = 0;

  sched->counters.decisions++;
  for (guint i = 0; i < sched->owned->len; i++)
    {
      struct instance *instance = g_ptr_array_index (sched->owned, i);
      int64_t rank;

      if (!fits (instance, task) || !sched_instance_usable (sched, instance))
        continue;
      rank = rank_worker (instance, task);
      if (best == NULL || rank < best_rank)
        {
          best = instance;
          best_rank = rank;
        }
    }
  return best;
}

/* ---- Start
 * ---------------------------------------------------------------------- */

static void send_start (struct work *work);

static void
log_start (const struct work *work, const char *message, const char *reason)
{
  char epoch[24];

  if (!rst_log_enabled (G_LOG_LEVEL_INFO) || work->instance == NULL)
    return;
  g_snprintf (epoch, sizeof epoch, "%" G_GUINT64_FORMAT,
              work->instance->epoch);
  rst_info (LOG_PREFIX, message, "task", work->info.id, "team",
            work->info.team, "zone", work->instance->info.zone, "instance",
            work->instance->info.name, "epoch", epoch, "reason", reason);
}

/* The start was refused: nothing runs under this id. */
static void
start_refused (struct work *work, const char *result)
{
  struct rst_scheduler *sched = work->team->sched;

  struct rst_task_start task = { 0 };

  sched->counters.start_failures++;
  log_start (work, "Task was not started.", result);
  task.job = work->info.job;
  task.index = (uint64_t)work->info.index;
  task.attempt = (uint64_t)work->info.attempt;
  note_refusal (sched, &task);
  reply_started (work, RST_TASK_NOT_RUN);
  if (work->instance != NULL)
    sched_work_remove (work);
  else
    g_free (work);
}

static void
on_stop_unsure (const struct rst_platform_reply *reply, void *data)
{
  struct work *work = data;

  work->calls--;
  if (work->instance == NULL)
    {
      reply_started (work, RST_TASK_UNSURE);
      g_free (work);
      return;
    }
  if (reply->result == RST_PLATFORM_NOT_FOUND)
    {
      start_refused (work, "not-started");
      return;
    }
  work->starting = false;
  if (reply->result == RST_PLATFORM_OK && reply->work_count == 1)
    {
      reply_started (work, RST_TASK_RUNNING);
      sched_work_end (work, (uint64_t)reply->work[0].result);
    }
  else
    {
      /* Renewals will tell whether the worker has it. */
      work->started_at = sched_now (work->team->sched);
      reply_started (work, RST_TASK_UNSURE);
    }
}

/* Asks the worker to stop what it may have started; a worker that does not
   know the id will never start it. */
static void
stop_unsure (struct work *work)
{
  struct rst_scheduler *sched = work->team->sched;

  work->calls++;
  sched->platform->task_stop (
      sched->platform_data, work->instance->info.address,
      work->instance->epoch, work->info.id, false, on_stop_unsure, work);
}

/* The worker may have started this run-once task and have lost it since, so
   the start is not sent again: its next report tells. */
static void
start_unsure (struct work *work)
{
  work->starting = false;
  work->unsure = true;
  work->started_at = sched_now (work->team->sched);
  work->instance->next_renew = 0;
  log_start (work, "Start of the task is unsure.", "no-answer");
  reply_started (work, RST_TASK_UNSURE);
}

static void
on_unsure_settled (const struct rst_platform_reply *reply, void *data)
{
  struct work *work = data;

  work->calls--;
  if (work->instance == NULL)
    {
      g_free (work);
      return;
    }
  if (reply->result == RST_PLATFORM_NOT_FOUND)
    sched_work_end (work, RST_TASK_LOST);
  else if (reply->result == RST_PLATFORM_OK && reply->work_count == 1)
    sched_work_end (work, (uint64_t)reply->work[0].result);
}

/* The worker did not report a task whose start is unsure: it is asked never
   to start it. */
void
sched_task_settle_unsure (struct work *work)
{
  struct rst_scheduler *sched = work->team->sched;

  work->calls++;
  sched->platform->task_stop (
      sched->platform_data, work->instance->info.address,
      work->instance->epoch, work->info.id, false, on_unsure_settled, work);
}

static void
start_confirmed (struct work *work)
{
  struct rst_scheduler *sched = work->team->sched;

  work->starting = false;
  work->started_at = sched_now (sched);
  sched->counters.starts++;
  log_start (work, "Task was started.",
             rst_policy_name ((uint64_t)work->info.policy));
  reply_started (work, RST_TASK_RUNNING);
  if (work->instance == NULL)
    g_free (work);
}

static void
on_started (const struct rst_platform_reply *reply, void *data)
{
  struct work *work = data;
  struct rst_scheduler *sched = work->team->sched;

  work->calls--;
  /* A start gives a lease as a renewal does. */
  if (work->instance != NULL)
    work->instance->last_renewal_at = sched_now (sched);
  if (work->instance != NULL)
    rst_breaker_result (&work->instance->breaker,
                        reply->result == RST_PLATFORM_OK, sched_now (sched));
  if (reply->result == RST_PLATFORM_OK)
    start_confirmed (work);
  else if (reply->result != RST_PLATFORM_UNKNOWN)
    start_refused (work, rst_platform_result_name (reply->result));
  else if (work->instance == NULL)
    {
      reply_started (work, RST_TASK_UNSURE);
      g_free (work);
    }
  else if (work->run_once)
    start_unsure (work);
  else if (sched_now (sched) < work->start_deadline && sched_may_start (sched))
    send_start (work);
  else
    stop_unsure (work);
}

static void
send_start (struct work *work)
{
  struct rst_scheduler *sched = work->team->sched;
  rst_ms now = sched_now (sched);
  rst_ms until = rst_tenure_until (sched->tenure, now);

  work->calls++;
  sched->platform->task_start (
      sched->platform_data, work->instance->info.address,
      work->instance->epoch, &work->info, sched->config.task_lease_ms,
      MIN (work->start_deadline, until), on_started, work);
}

static void
begin_start (struct work *work, uint64_t link, const struct rst_message *asked)
{
  work->held = false;
  work->starting = true;
  work->reply_due = true;
  work->reply_link = link;
  work->reply_id = asked->id;
  work->run_once = asked->task_start.run_once;
  work->start_deadline
      = sched_now (work->team->sched)
        + (rst_ms)MIN (asked->task_start.deadline_ms, INT32_MAX);
  rst_breaker_sent (&work->instance->breaker);
  log_start (work, "Task is placed.",
             rst_policy_name (asked->task_start.policy));
  send_start (work);
}

static void
fill_work (struct rst_work *info, const struct rst_task_start *task)
{
  memset (info, 0, sizeof *info);
  task_id (info->id, sizeof info->id, task->job, task->index, task->attempt);
  g_strlcpy (info->team, task->team, RST_NAME_SIZE);
  g_strlcpy (info->job, task->job, RST_NAME_SIZE);
  g_strlcpy (info->owner, task->owner, RST_NAME_SIZE);
  info->index = (int64_t)task->index;
  info->attempt = (int64_t)task->attempt;
  info->policy = (int64_t)task->policy;
  info->cpu = (int64_t)task->cpu;
  info->memory_mb = (int64_t)task->memory_mb;
  info->accelerators = (int64_t)task->accelerators;
  info->run_ms = (int64_t)task->run_ms;
}

/* A request for a task that is already here. */
static void
repeat_start (struct work *work, uint64_t link,
              const struct rst_message *asked)
{
  struct rst_scheduler *sched = work->team->sched;

  if (work->held && !asked->task_start.hold_only)
    {
      if (sched_may_start (sched))
        begin_start (work, link, asked);
      else
        {
          refuse_start (sched, link, asked, "not-ready");
          sched_work_remove (work);
        }
      return;
    }
  work->reply_due = true;
  work->reply_link = link;
  work->reply_id = asked->id;
  if (work->held)
    reply_started (work, RST_TASK_HELD);
  else if (!work->starting)
    reply_started (work, work->ended ? (uint64_t)work->info.result
                                     : RST_TASK_RUNNING);
}

/* An owner of the job that another has replaced must start nothing more. */
static bool
is_outdated (struct rst_scheduler *sched, const struct rst_task_start *task)
{
  const uint64_t *generation
      = g_hash_table_lookup (sched->generations, task->job);

  return generation != NULL
         && task->attempt / RST_ATTEMPTS_PER_GENERATION < *generation;
}

static const char *
why_not (struct rst_scheduler *sched, const struct rst_task_start *task,
         struct team *team)
{
  if (!sched_may_start (sched))
    return "not-ready";
  if (is_outdated (sched, task))
    return "outdated";
  if (was_refused (sched, task))
    return "refused-before";
  if (rst_settings_team (sched->settings, task->team) == NULL)
    return "unknown-team";
  if (!sched_limit_allows (team))
    {
      sched_limit_wanted (team);
      return "upper-limit";
    }
  return NULL;
}

void
sched_task_start (struct rst_scheduler *sched, uint64_t link,
                  const struct rst_message *message)
{
  const struct rst_task_start *task = &message->task_start;
  struct team *team = sched_team (sched, task->team);
  const char *reason = why_not (sched, task, team);
  struct instance *instance;
  struct rst_work info;
  struct work *work;

  fill_work (&info, task);
  work = g_hash_table_lookup (sched->tasks, info.id);
  if (work != NULL)
    {
      repeat_start (work, link, message);
      return;
    }
  instance = reason == NULL ? choose_worker (sched, task) : NULL;
  if (instance == NULL)
    {
      refuse_start (sched, link, message,
                    reason != NULL ? reason : "no-capacity");
      return;
    }
  work = sched_work_add (instance, &info);
  if (!task->hold_only)
    {
      begin_start (work, link, message);
      return;
    }
  work->held = true;
  work->hold_until = sched_now (sched) + HOLD_MS;
  work->reply_due = true;
  work->reply_link = link;
  work->reply_id = message->id;
  reply_started (work, RST_TASK_HELD);
}

/* ---- Stop
 * ------------------------------------------------------------------------- */

static void
on_stopped (const struct rst_platform_reply *reply, void *data)
{
  struct work *work = data;

  work->calls--;
  if (work->instance == NULL)
    {
      g_free (work);
      return;
    }
  work->stopping = false;
  if (work->ended)
    return;
  if (reply->result == RST_PLATFORM_OK && reply->work_count == 1)
    sched_work_end (work, (uint64_t)reply->work[0].result);
  else if (reply->result == RST_PLATFORM_NOT_FOUND)
    sched_work_end (work, RST_TASK_LOST);
  else
    work->stop_wanted = true;
}

void
sched_task_stop_work (struct work *work, bool checkpoint)
{
  struct rst_scheduler *sched = work->team->sched;

  if (work->stopping || work->ended || work->starting)
    {
      work->stop_wanted = !work->ended;
      work->stop_checkpoint = checkpoint;
      return;
    }
  work->stop_wanted = false;
  work->stopping = true;
  work->stop_checkpoint = checkpoint;
  work->calls++;
  log_start (work, "Task is being stopped.",
             checkpoint ? "checkpoint" : "cancelled");
  sched->platform->task_stop (
      sched->platform_data, work->instance->info.address,
      work->instance->epoch, work->info.id, checkpoint, on_stopped, work);
}

void
sched_task_stop (struct rst_scheduler *sched, uint64_t link,
                 const struct rst_message *message)
{
  const struct rst_task_event *event = &message->task_event;
  struct rst_task_start stopped = { 0 };
  struct rst_message reply = { 0 };
  char id[2 * RST_NAME_SIZE];
  struct work *work;

  task_id (id, sizeof id, event->job, event->index, event->attempt);
  work = g_hash_table_lookup (sched->tasks, id);
  if (work != NULL && !work->held)
    {
      sched_task_stop_work (work, event->result == RST_TASK_MOVED);
      return;
    }
  if (work != NULL)
    sched_work_remove (work);
  stopped.job = event->job;
  stopped.index = event->index;
  stopped.attempt = event->attempt;
  note_refusal (sched, &stopped);
  reply = *message;
  reply.type = RST_TASK_END;
  reply.id = 0;
  reply.task_event.result = RST_TASK_NOT_RUN;
  reply.task_event.reason = (char *)"not-here";
  sched_send (sched, link, &reply);
}

/* ---- Finding
 * ------------------------------------------------------------------------ */

static void
note_generation (struct rst_scheduler *sched, const char *job,
                 uint64_t generation)
{
  uint64_t *known = g_hash_table_lookup (sched->generations, job);

  if (known == NULL)
    {
      known = g_new0 (uint64_t, 1);
      g_hash_table_insert (sched->generations, g_strdup (job), known);
    }
  *known = MAX (*known, generation);
}

static bool
all_adopted (const struct rst_scheduler *sched)
{
  const struct rst_zone *zone = sched_zone (sched);

  if (zone == NULL || !sched->list_known)
    return false;
  for (int i = 0; i < zone->owned_count; i++)
    if (zone->owned[i].owner[0] == '\0')
      return false;
  for (guint i = 0; i < sched->owned->len; i++)
    {
      const struct instance *instance = g_ptr_array_index (sched->owned, i);
      bool runner = instance->listed && instance->info.kind == RST_RUNNER;

      if (instance->phase == INSTANCE_ADOPTING && !runner)
        return false;
    }
  return true;
}

static bool
is_starting (struct rst_scheduler *sched, const char *job)
{
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, sched->tasks);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct work *work = value;

      if (work->starting && strcmp (work->info.job, job) == 0)
        return true;
    }
  return false;
}

void
sched_task_find (struct rst_scheduler *sched, uint64_t link,
                 const struct rst_message *message)
{
  const char *job = message->task_event.job;
  struct rst_message reply = { 0 };
  GHashTableIter iterator;
  gpointer value;

  note_generation (sched, job, message->task_event.attempt);
  g_hash_table_iter_init (&iterator, sched->tasks);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct work *work = value;

      if (strcmp (work->info.job, job) != 0 || work->held)
        continue;
      fill_event (&reply, RST_TASK_FOUND, work,
                  work->ended ? (uint64_t)work->info.result
                              : RST_TASK_RUNNING);
      work->end_seen = false;
      sched_send (sched, link, &reply);
    }
  /* The last message says whether all was known. */
  memset (&reply, 0, sizeof reply);
  reply.type = RST_TASK_FOUND;
  reply.id = message->id;
  reply.task_event.job = (char *)job;
  reply.task_event.index = UINT64_MAX;
  reply.task_event.attempt
      = sched_zone (sched) != NULL ? sched_zone (sched)->revision : 0;
  reply.task_event.result = all_adopted (sched) && !is_starting (sched, job)
                                ? RST_TASK_DONE
                                : RST_TASK_RUNNING;
  sched_send (sched, link, &reply);
}

/* ---- Ends
 * -----------------------------------------------------------------------------
 */

void
sched_task_end_seen (struct rst_scheduler *sched,
                     const struct rst_message *message)
{
  const struct rst_task_event *event = &message->task_event;
  char id[2 * RST_NAME_SIZE];
  struct work *work;

  task_id (id, sizeof id, event->job, event->index, event->attempt);
  work = g_hash_table_lookup (sched->tasks, id);
  if (work != NULL && work->ended)
    work->end_seen = true;
}

/* The job's owner, or everybody when that one is gone. */
static void
report_end (struct rst_scheduler *sched, struct work *work)
{
  struct rst_message message = { 0 };
  uint64_t link = sched_link_to (sched, work->info.owner);
  GHashTableIter iterator;
  gpointer value;

  fill_event (&message, RST_TASK_END, work, (uint64_t)work->info.result);
  if (link != 0)
    {
      sched_send (sched, link, &message);
      return;
    }
  sched_send (sched, SCHED_SELF, &message);
  g_hash_table_iter_init (&iterator, sched->peers);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct peer *peer = value;

      if (peer->known && peer->role == RST_ROLE_SCHEDULER)
        sched_send (sched, peer->link, &message);
    }
}

static void
sweep_end (struct rst_scheduler *sched, struct work *work)
{
  rst_ms now = sched_now (sched);

  if (work->ended_at == 0)
    work->ended_at = now;
  if (work->end_seen || now - work->end_sent_at < END_EVERY_MS)
    return;
  work->end_sent_at = now;
  if (now - work->ended_at > END_GIVE_UP_MS)
    work->end_seen = true;
  else
    report_end (sched, work);
}

/* Whether running work must leave this instance. */
static bool
must_move (const struct rst_scheduler *sched, const struct instance *instance)
{
  const struct rst_zone_setting *zone
      = rst_settings_zone (sched->settings, sched->config.zone);

  if (instance->info.leaving)
    return true;
  return zone != NULL && zone->out && zone->move_running;
}

static void
sweep_instance (struct rst_scheduler *sched, struct instance *instance,
                int *moves)
{
  rst_ms now = sched_now (sched);
  bool move = must_move (sched, instance);
  struct work *work = CK_LIST_FIRST (&instance->work);

  while (work != NULL)
    {
      struct work *next = CK_LIST_NEXT (work, entry);

      if (work->info.job[0] == '\0')
        ;
      else if (work->ended)
        sweep_end (sched, work);
      else if (work->held && now >= work->hold_until)
        sched_work_remove (work);
      else if (work->held || work->starting || work->stopping)
        ;
      else if (work->stop_wanted)
        sched_task_stop_work (work, work->stop_checkpoint);
      else if (move && *moves > 0)
        {
          (*moves)--;
          sched_task_stop_work (work, true);
        }
      work = next;
    }
}

static struct work *
newest_task (struct rst_scheduler *sched, const struct team *team)
{
  struct work *newest = NULL;
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, sched->tasks);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct work *work = value;

      if (work->team != team || !work->counted || work->held || work->starting
          || work->stopping)
        continue;
      if (newest == NULL || work->started_at > newest->started_at)
        newest = work;
    }
  return newest;
}

/* A lowered limit stops the newest tasks, after a checkpoint. */
static void
stop_excess (struct rst_scheduler *sched)
{
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, sched->teams);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct team *team = value;

      while (team->excess > 0)
        {
          struct work *work = newest_task (sched, team);

          team->excess--;
          if (work == NULL)
            break;
          sched_task_stop_work (work, true);
        }
    }
}

void
sched_task_tick (struct rst_scheduler *sched)
{
  rst_ms now = sched_now (sched);
  int moves = MOVES_PER_SWEEP;

  if (now < sched->task_sweep_next_at)
    return;
  sched->task_sweep_next_at = now + TASK_SWEEP_MS;
  for (guint i = 0; i < sched->owned->len; i++)
    {
      struct instance *instance = g_ptr_array_index (sched->owned, i);

      if (instance->info.kind == RST_WORKER)
        sweep_instance (sched, instance, &moves);
    }
  stop_excess (sched);
  if (now >= sched->refusal_sweep_next_at)
    {
      sched->refusal_sweep_next_at = now + REFUSAL_KEEP_MS / 8;
      g_hash_table_foreach_remove (sched->refusals, refusal_expired, &now);
    }
}
