/**
 * DOC: sched_task - tasks on owned workers
 *
 * Starts, follows and stops tasks on the workers that this scheduler owns, on
 * request of the owners of the jobs.  A start whose result is unknown is sent
 * again under the same id until its deadline, unless the task must run at most
 * once; a worker runs each id at most once.
 */
#include "coordination/sched_task_private.h"

#include <string.h>

#define LOG_DOMAIN "task"

/** How long a rejected start is remembered. */
#define REJECTION_RETENTION_MS 60000

/** Time between two reports of a task's end without an acknowledgement. */
#define END_REPORT_INTERVAL_MS 1000

/** Time after which an end without an acknowledgement is reported no more. */
#define END_REPORT_TIMEOUT_MS 600000

/** Time between two passes over the runs on owned workers. */
#define TASK_SWEEP_INTERVAL_MS 50

/** Most tasks that one pass begins to move, which spreads moves over time. */
#define MOVES_PER_SWEEP 16

void
sched_task_init (struct rst_scheduler *sched)
{
  sched->tasks = g_hash_table_new (g_str_hash, g_str_equal);
  sched->start_rejections
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  sched->job_generations
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
sched_task_clear (struct rst_scheduler *sched)
{
  g_hash_table_destroy (sched->tasks);
  g_hash_table_destroy (sched->job_generations);
  g_hash_table_destroy (sched->start_rejections);
}

void
sched_task_index_run (struct run *run)
{
  g_hash_table_insert (run->instance->sched->tasks, run->info.id, run);
}

void
sched_task_unindex_run (struct run *run)
{
  GHashTable *tasks;

  if (run->info.job[0] == '\0' || run->instance == NULL)
    return;
  tasks = run->instance->sched->tasks;
  if (g_hash_table_lookup (tasks, run->info.id) == run)
    g_hash_table_remove (tasks, run->info.id);
}

void
sched_task_format_id (char *out, size_t size, const char *job, uint64_t index,
                      uint64_t attempt)
{
  g_snprintf (out, size, "%s.%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT, job,
              index, attempt);
}

void
sched_task_fill_event (struct rst_message *message, uint64_t type,
                       const struct run *run, uint64_t result)
{
  message->type = type;
  message->task_event.job = (char *)run->info.job;
  message->task_event.index = (uint64_t)run->info.index;
  message->task_event.attempt = (uint64_t)run->info.attempt;
  message->task_event.result = result;
  message->task_event.instance
      = run->instance != NULL ? run->instance->info.name : (char *)"";
  message->task_event.reason = (char *)"";
}

void
sched_task_reply_start (struct run *run, uint64_t result)
{
  struct rst_message message = { 0 };

  if (!run->reply_due)
    return;
  run->reply_due = false;
  sched_task_fill_event (&message, RST_TASK_STARTED, run, result);
  message.id = run->reply_id;
  sched_send (run->team->sched, run->reply_link, &message);
}

/* The highest attempt of a task whose start was rejected here. */
struct rejection
{
  uint64_t attempt;
  rst_ms expires_at;
};

static char *
format_task_key (const struct rst_task_start *task)
{
  return g_strdup_printf ("%s.%" G_GUINT64_FORMAT, task->job, task->index);
}

/* The job's owner goes on to the next attempt after a rejection, so a
   duplicate of the request must not start this one. */
void
sched_task_record_rejection (struct rst_scheduler *sched,
                             const struct rst_task_start *task)
{
  char *key = format_task_key (task);
  struct rejection *rejection
      = g_hash_table_lookup (sched->start_rejections, key);

  if (rejection == NULL)
    {
      rejection = g_new0 (struct rejection, 1);
      g_hash_table_insert (sched->start_rejections, g_strdup (key), rejection);
    }
  rejection->attempt = MAX (rejection->attempt, task->attempt);
  rejection->expires_at = sched_now (sched) + REJECTION_RETENTION_MS;
  g_free (key);
}

bool
sched_task_was_rejected (struct rst_scheduler *sched,
                         const struct rst_task_start *task)
{
  char *key = format_task_key (task);
  const struct rejection *rejection
      = g_hash_table_lookup (sched->start_rejections, key);

  g_free (key);
  return rejection != NULL && task->attempt <= rejection->attempt;
}

static gboolean
rejection_expired (gpointer key, gpointer value, gpointer userdata)
{
  (void)key;
  return ((struct rejection *)value)->expires_at <= *(const rst_ms *)userdata;
}

void
sched_task_reject_start (struct rst_scheduler *sched, uint64_t link,
                         const struct rst_message *request, const char *reason)
{
  struct rst_message message = { 0 };

  sched_task_record_rejection (sched, &request->task_start);
  if (rst_log_enabled (G_LOG_LEVEL_INFO))
    {
      char id[2 * RST_NAME_SIZE];

      sched_task_format_id (id, sizeof id, request->task_start.job,
                            request->task_start.index,
                            request->task_start.attempt);
      rst_info (LOG_DOMAIN, "Task start was rejected.", "task", id, "team",
                request->task_start.team, "zone", sched->config.zone, "reason",
                reason);
    }

  message.type = RST_TASK_STARTED;
  message.id = request->id;
  message.task_event.job = request->task_start.job;
  message.task_event.index = request->task_start.index;
  message.task_event.attempt = request->task_start.attempt;
  message.task_event.result = RST_TASK_NOT_RUN;
  message.task_event.reason = (char *)reason;
  sched_send (sched, link, &message);
}

static bool
has_capacity_for (const struct instance *instance,
                  const struct rst_task_start *task)
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
to_permille (int64_t used, int64_t total)
{
  return total > 0 ? used * 1000 / total : 0;
}

/* Usage of processors or memory, whichever is higher, with the task started,
   in permille. */
static int64_t
get_usage_after_start (const struct instance *instance,
                       const struct rst_task_start *task)
{
  const struct rst_instance_info *info = &instance->info;
  int64_t cpu
      = to_permille (instance->cpu_used + (int64_t)task->cpu, info->cpu);
  int64_t memory = to_permille (
      instance->memory_used + (int64_t)task->memory_mb, info->memory_mb);

  return MAX (cpu, memory);
}

static int64_t
count_tasks_of_job (const struct instance *instance, const char *job)
{
  int64_t count = 0;
  const struct run *run;

  CK_LIST_FOREACH (run, &instance->runs, entry)
  if (run->counted && strcmp (run->info.job, job) == 0)
    count++;
  return count;
}

/* Ranks workers with accelerators behind all others for tasks that need none:
   the penalty exceeds any usage. */
static int64_t
get_accelerator_penalty (const struct instance *instance,
                         const struct rst_task_start *task)
{
  return task->accelerators == 0 && instance->info.accelerators > 0 ? 2000 : 0;
}

/* A lower rank is better.  Services are spread: workers with fewer tasks of
   the same job come first, whatever their usage.  Other tasks are packed. */
static int64_t
rank_worker (const struct instance *instance,
             const struct rst_task_start *task)
{
  int64_t rank = get_accelerator_penalty (instance, task);

  if (task->policy == RST_POLICY_SERVICE)
    return rank + count_tasks_of_job (instance, task->job) * 10000
           + get_usage_after_start (instance, task);
  return rank - get_usage_after_start (instance, task);
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

      if (!has_capacity_for (instance, task)
          || !sched_instance_is_usable (sched, instance))
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
on_stop_reply (const struct rst_platform_reply *reply, void *data)
{
  struct run *run = data;

  run->pending_calls--;
  if (run->instance == NULL)
    {
      g_free (run);
      return;
    }
  run->stopping = false;
  if (run->ended)
    return;
  if (reply->result == RST_PLATFORM_OK && reply->run_count == 1)
    sched_run_end (run, (uint64_t)reply->runs[0].result);
  else if (reply->result == RST_PLATFORM_NOT_FOUND)
    sched_run_end (run, RST_TASK_LOST);
  else
    run->stop_requested = true;
}

void
sched_task_stop_run (struct run *run, bool checkpoint)
{
  struct rst_scheduler *sched = run->team->sched;

  if (run->stopping || run->ended || run->starting)
    {
      run->stop_requested = !run->ended;
      run->stop_with_checkpoint = checkpoint;
      return;
    }
  run->stop_requested = false;
  run->stopping = true;
  run->stop_with_checkpoint = checkpoint;
  run->pending_calls++;
  sched_task_log_event (run, "Task is being stopped.",
                        checkpoint ? "checkpoint" : "cancelled");
  sched->platform->task_stop (
      sched->platform_data, run->instance->info.address, run->instance->epoch,
      run->info.id, checkpoint, on_stop_reply, run);
}

void
sched_task_handle_stop (struct rst_scheduler *sched, uint64_t link,
                        const struct rst_message *message)
{
  const struct rst_task_event *event = &message->task_event;
  struct rst_task_start stopped = { 0 };
  struct rst_message reply = { 0 };
  char id[2 * RST_NAME_SIZE];
  struct run *run;

  sched_task_format_id (id, sizeof id, event->job, event->index,
                        event->attempt);
  run = g_hash_table_lookup (sched->tasks, id);
  if (run != NULL && !run->reserved)
    {
      sched_task_stop_run (run, event->result == RST_TASK_MOVED);
      return;
    }
  if (run != NULL)
    sched_run_remove (run);
  /* A start request for this attempt that arrives later is rejected. */
  stopped.job = event->job;
  stopped.index = event->index;
  stopped.attempt = event->attempt;
  sched_task_record_rejection (sched, &stopped);
  reply = *message;
  reply.type = RST_TASK_END;
  reply.id = 0;
  reply.task_event.result = RST_TASK_NOT_RUN;
  reply.task_event.reason = (char *)"not-here";
  sched_send (sched, link, &reply);
}

void
sched_task_handle_end_ack (struct rst_scheduler *sched,
                           const struct rst_message *message)
{
  const struct rst_task_event *event = &message->task_event;
  char id[2 * RST_NAME_SIZE];
  struct run *run;

  sched_task_format_id (id, sizeof id, event->job, event->index,
                        event->attempt);
  run = g_hash_table_lookup (sched->tasks, id);
  if (run != NULL && run->ended)
    run->end_acknowledged = true;
}

/* Reports an end to the job's owner or, if there is no link to that scheduler,
   to all schedulers, one of which may have taken the job over. */
static void
report_end (struct rst_scheduler *sched, struct run *run)
{
  struct rst_message message = { 0 };
  uint64_t link = sched_find_link (sched, run->info.owner);
  GHashTableIter iterator;
  gpointer value;

  sched_task_fill_event (&message, RST_TASK_END, run,
                         (uint64_t)run->info.result);
  if (link != 0)
    {
      sched_send (sched, link, &message);
      return;
    }
  sched_send (sched, SCHED_LINK_SELF, &message);
  g_hash_table_iter_init (&iterator, sched->peers);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct peer *peer = value;

      if (peer->has_greeted && peer->role == RST_ROLE_SCHEDULER)
        sched_send (sched, peer->link, &message);
    }
}

static void
report_end_if_due (struct rst_scheduler *sched, struct run *run)
{
  rst_ms now = sched_now (sched);

  if (run->ended_at == 0)
    run->ended_at = now;
  if (run->end_acknowledged
      || now - run->end_reported_at < END_REPORT_INTERVAL_MS)
    return;
  run->end_reported_at = now;
  if (now - run->ended_at > END_REPORT_TIMEOUT_MS)
    run->end_acknowledged = true;
  else
    report_end (sched, run);
}

/* Whether running tasks are to be checkpointed and moved off an instance. */
static bool
must_move (const struct rst_scheduler *sched, const struct instance *instance)
{
  const struct rst_zone_setting *zone
      = rst_settings_find_zone (sched->settings, sched->config.zone);

  if (instance->info.leaving)
    return true;
  return zone != NULL && zone->out_of_service && zone->move_running;
}

static void
sweep_instance (struct rst_scheduler *sched, struct instance *instance,
                int *moves_left)
{
  rst_ms now = sched_now (sched);
  bool move = must_move (sched, instance);
  struct run *run = CK_LIST_FIRST (&instance->runs);

  while (run != NULL)
    {
      struct run *next = CK_LIST_NEXT (run, entry);

      if (run->info.job[0] == '\0')
        ;
      else if (run->ended)
        report_end_if_due (sched, run);
      else if (run->reserved && now >= run->reserved_until)
        sched_run_remove (run);
      else if (run->reserved || run->starting || run->stopping)
        ;
      else if (run->stop_requested)
        sched_task_stop_run (run, run->stop_with_checkpoint);
      else if (move && *moves_left > 0)
        {
          (*moves_left)--;
          sched_task_stop_run (run, true);
        }
      run = next;
    }
}

static struct run *
find_newest_task (struct rst_scheduler *sched, const struct team *team)
{
  struct run *newest = NULL;
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, sched->tasks);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct run *run = value;

      if (run->team != team || !run->counted || run->reserved || run->starting
          || run->stopping)
        continue;
      if (newest == NULL || run->started_at > newest->started_at)
        newest = run;
    }
  return newest;
}

/* Stops a team's newest tasks, with a checkpoint, after its upper limit was
   lowered. */
static void
stop_excess_tasks (struct rst_scheduler *sched)
{
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, sched->teams);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct team *team = value;

      while (team->excess_runs > 0)
        {
          struct run *run = find_newest_task (sched, team);

          team->excess_runs--;
          if (run == NULL)
            break;
          sched_task_stop_run (run, true);
        }
    }
}

void
sched_task_tick (struct rst_scheduler *sched)
{
  rst_ms now = sched_now (sched);
  int moves_left = MOVES_PER_SWEEP;

  if (now < sched->task_sweep_next_at)
    return;
  sched->task_sweep_next_at = now + TASK_SWEEP_INTERVAL_MS;
  for (guint i = 0; i < sched->owned->len; i++)
    {
      struct instance *instance = g_ptr_array_index (sched->owned, i);

      if (instance->info.kind == RST_WORKER)
        sweep_instance (sched, instance, &moves_left);
    }
  stop_excess_tasks (sched);
  if (now >= sched->rejection_sweep_next_at)
    {
      sched->rejection_sweep_next_at = now + REJECTION_RETENTION_MS / 8;
      g_hash_table_foreach_remove (sched->start_rejections, rejection_expired,
                                   &now);
    }
}
