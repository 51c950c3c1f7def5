/**
 * DOC: sched_task - tasks on owned workers
 *
 * Starts, follows and stops tasks on the workers that this scheduler owns, on
 * behalf of the owners of the jobs.  A start is repeated under the same id
 * until the worker has said yes or no; the worker runs one id once.
 */
#include "coordination/sched_task_private.h"

#include <string.h>

#define LOG_PREFIX "task"

/** How long the refusal of a start is remembered. */
#define REFUSAL_KEEP_MS 60000

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

void
sched_task_task_id (char *out, size_t size, const char *job, uint64_t index,
                    uint64_t attempt)
{
  g_snprintf (out, size, "%s.%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT, job,
              index, attempt);
}

void
sched_task_fill_event (struct rst_message *message, uint64_t type,
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

void
sched_task_reply_started (struct work *work, uint64_t result)
{
  struct rst_message message = { 0 };

  if (!work->reply_due)
    return;
  work->reply_due = false;
  sched_task_fill_event (&message, RST_TASK_STARTED, work, result);
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
void
sched_task_note_refusal (struct rst_scheduler *sched,
                         const struct rst_task_start *task)
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

bool
sched_task_was_refused (struct rst_scheduler *sched,
                        const struct rst_task_start *task)
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

void
sched_task_refuse_start (struct rst_scheduler *sched, uint64_t link,
                         const struct rst_message *asked, const char *reason)
{
  struct rst_message message = { 0 };

  sched_task_note_refusal (sched, &asked->task_start);
  if (rst_log_enabled (G_LOG_LEVEL_INFO))
    {
      char id[2 * RST_NAME_SIZE];

      sched_task_task_id (id, sizeof id, asked->task_start.job,
                          asked->task_start.index, asked->task_start.attempt);
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

struct instance *
sched_task_choose_worker (struct rst_scheduler *sched,
                          const struct rst_task_start *task)
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
  sched_task_log_start (work, "Task is being stopped.",
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

  sched_task_task_id (id, sizeof id, event->job, event->index, event->attempt);
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
  sched_task_note_refusal (sched, &stopped);
  reply = *message;
  reply.type = RST_TASK_END;
  reply.id = 0;
  reply.task_event.result = RST_TASK_NOT_RUN;
  reply.task_event.reason = (char *)"not-here";
  sched_send (sched, link, &reply);
}

void
sched_task_end_seen (struct rst_scheduler *sched,
                     const struct rst_message *message)
{
  const struct rst_task_event *event = &message->task_event;
  char id[2 * RST_NAME_SIZE];
  struct work *work;

  sched_task_task_id (id, sizeof id, event->job, event->index, event->attempt);
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

  sched_task_fill_event (&message, RST_TASK_END, work,
                         (uint64_t)work->info.result);
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
