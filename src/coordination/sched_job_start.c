/* Starts of a job's tasks, one by one or as a gang. */
#include "coordination/sched_job_private.h"

#include <stdlib.h>
#include <string.h>

#define LOG_DOMAIN "job"

/** Most start requests of one job without a reply. */
#define START_REQUESTS_MAX 64

/** Time that the worker's owner has for one start. */
#define START_DEADLINE_MS 4000

/** Pause of a gang that could not reserve workers for all its tasks. */
#define GANG_RETRY_PAUSE_MS 600

/* Link to the peer with the most free processor time, among those with a
   worker that has enough of it, or 0.  Free processor time in the preferred
   zones, this one or all others, counts four times.  @worker_owner receives
   the peer's incarnation. */
static uint64_t
choose_peer_link (struct rst_scheduler *sched, const struct rst_job_spec *spec,
                  char worker_owner[RST_NAME_SIZE], bool prefer_other_zone)
{
  GHashTableIter iterator;
  gpointer value;
  uint64_t best = 0;
  int64_t best_free_cpu = -1;

  g_hash_table_iter_init (&iterator, sched->peers);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct peer *peer = value;
      int64_t free_cpu = (int64_t)peer->load.cpu_free;
      bool same_zone = strcmp (peer->zone, sched->config.zone) == 0;

      if (!peer->has_greeted || peer->role != RST_ROLE_SCHEDULER
          || !peer->has_load || !peer->load.ready
          || (int64_t)peer->load.largest_cpu_free < spec->cpu
          || rst_settings_is_zone_out (sched->settings, peer->zone))
        continue;
      if (same_zone != prefer_other_zone)
        free_cpu *= 4;
      if (free_cpu > best_free_cpu)
        {
          best = peer->link;
          best_free_cpu = free_cpu;
          g_strlcpy (worker_owner, peer->incarnation, RST_NAME_SIZE);
        }
    }
  return best;
}

static bool
has_local_capacity (struct rst_scheduler *sched,
                    const struct rst_job_spec *spec)
{
  if (!sched_may_start (sched))
    return false;
  for (guint i = 0; i < sched->owned->len; i++)
    {
      const struct instance *instance = g_ptr_array_index (sched->owned, i);
      const struct rst_instance_info *info = &instance->info;

      if (info->kind == RST_WORKER
          && instance->cpu_used + spec->cpu <= info->cpu
          && instance->memory_used + spec->memory_mb <= info->memory_mb
          && instance->accelerators_used + spec->accelerators
                 <= info->accelerators
          && sched_instance_is_usable (sched, instance))
        return true;
    }
  return false;
}

/* Link to the scheduler that is asked for a worker, or 0: this one if it has
   capacity, else a peer.  To spread services over schedulers, two of three
   tasks of a service go to a peer if there is one, the first of the two
   preferably in another zone, the second in this one. */
static uint64_t
choose_worker_owner (struct job *job, int64_t index,
                     char worker_owner[RST_NAME_SIZE])
{
  struct rst_scheduler *sched = job->sched;
  const struct rst_job_spec *spec = &job->record.spec;
  bool spread = spec->policy == RST_POLICY_SERVICE && index % 3 != 0;
  uint64_t link;

  if (spread)
    {
      link = choose_peer_link (sched, spec, worker_owner, index % 3 == 1);
      if (link != 0)
        return link;
    }
  if (has_local_capacity (sched, spec))
    {
      g_strlcpy (worker_owner, sched->incarnation, RST_NAME_SIZE);
      return SCHED_LINK_SELF;
    }
  return choose_peer_link (sched, spec, worker_owner, false);
}

void
sched_job_send_start (struct job *job, int64_t index, uint64_t link,
                      bool hold_only)
{
  struct rst_scheduler *sched = job->sched;
  const struct rst_job_spec *spec = &job->record.spec;
  struct task *task = &job->tasks[index];
  struct rst_message message = { 0 };
  char team[RST_NAME_SIZE];

  g_strlcpy (team, job->record.name, sizeof team);
  *strchr (team, '/') = '\0';
  message.type = RST_TASK_START;
  message.id = sched_next_id (sched);
  message.task_start.team = team;
  message.task_start.job = job->record.name;
  message.task_start.owner = sched->incarnation;
  message.task_start.index = (uint64_t)index;
  message.task_start.attempt = sched_job_get_full_attempt (job, task);
  message.task_start.policy = (uint64_t)spec->policy;
  message.task_start.cpu = (uint64_t)spec->cpu;
  message.task_start.memory_mb = (uint64_t)spec->memory_mb;
  message.task_start.accelerators = (uint64_t)spec->accelerators;
  message.task_start.run_ms = (uint64_t)spec->run_ms;
  message.task_start.deadline_ms = START_DEADLINE_MS;
  message.task_start.hold_only = hold_only;
  message.task_start.run_once = spec->run_once;
  task->request_sent_at = sched_now (sched);
  sched_send (sched, link, &message);
}

void
sched_job_pause_starts (struct job *job, const char *reason, rst_ms pause)
{
  g_strlcpy (job->waiting_for, reason, sizeof job->waiting_for);
  job->starts_paused_until
      = sched_now (job->sched) + sched_add_jitter (job->sched, pause);
}

/* Requests the start of a task, or a reservation for a task of a gang. Returns
   false and pauses the job's starts if no scheduler has capacity. */
static bool
request_start (struct job *job, int64_t index)
{
  struct task *task = &job->tasks[index];
  bool is_gang = job->record.spec.policy == RST_POLICY_GANG;
  char worker_owner[RST_NAME_SIZE];
  uint64_t link = choose_worker_owner (job, index, worker_owner);

  if (link == 0)
    {
      sched_job_pause_starts (job, "no-capacity",
                              is_gang ? GANG_RETRY_PAUSE_MS
                                      : START_RETRY_PAUSE_MS);
      return false;
    }
  g_strlcpy (task->worker_owner, worker_owner, RST_NAME_SIZE);
  sched_job_set_task_state (job, task, TASK_START_REQUESTED);
  sched_job_send_start (job, index, link, is_gang && !job->gang_started);
  return true;
}

void
sched_job_start_waiting (struct job *job)
{
  rst_ms now = sched_now (job->sched);
  int64_t startable_count
      = job->record.spec.policy == RST_POLICY_GANG && !job->gang_started
            ? job->record.spec.tasks
            : job->stored_intent;
  int64_t i = job->first_waiting;
  bool skipped_any = false;

  for (;
       i < startable_count && job->start_requested_count < START_REQUESTS_MAX;
       i++)
    {
      struct task *task = &job->tasks[i];

      if (task->state != TASK_WAITING)
        continue;
      if (task->start_not_before > now || !request_start (job, i))
        {
          if (!skipped_any)
            job->first_waiting = i;
          skipped_any = true;
          if (job->starts_paused_until > now)
            break;
        }
    }
  if (!skipped_any)
    job->first_waiting = i;
}

/* The intent is extended while half a batch of tasks may still be started, so
   that starts need not wait for the write.  That of a gang covers all its
   tasks once they are reserved, and none before. */
void
sched_job_extend_intent (struct job *job)
{
  int64_t next = MIN (job->first_waiting + START_INTENT_BATCH_TASKS,
                      job->record.spec.tasks);
  bool is_gang = job->record.spec.policy == RST_POLICY_GANG;

  if (is_gang)
    next = job->gang_starting ? job->record.spec.tasks : 0;
  if (job->first_waiting + START_INTENT_BATCH_TASKS / 2 < job->stored_intent
      && !is_gang)
    return;
  if (next > job->record.start_intent)
    {
      job->record.start_intent = next;
      job->dirty = true;
      job->write_next_at = 0;
    }
}

void
sched_job_send_stop (struct job *job, struct task *task, uint64_t result)
{
  struct rst_message message = { 0 };
  uint64_t link = sched_find_link (job->sched, task->worker_owner);

  message.type = RST_TASK_STOP;
  message.task_event.job = job->record.name;
  message.task_event.index = (uint64_t)(task - job->tasks);
  message.task_event.attempt = task->latest_attempt != 0
                                   ? task->latest_attempt
                                   : sched_job_get_full_attempt (job, task);
  message.task_event.result = result;
  if (link != 0)
    sched_send (job->sched, link, &message);
}

/* Releases all reservations of a gang, so that two gangs never wait for each
   other. */
static void
release_reservations (struct job *job)
{
  for (int64_t i = 0; i < job->record.spec.tasks; i++)
    {
      struct task *task = &job->tasks[i];

      if (task->state != TASK_RESERVED && task->state != TASK_START_REQUESTED)
        continue;
      sched_job_send_stop (job, task, RST_TASK_STOPPED);
      task->attempt++;
      sched_job_set_task_state (job, task, TASK_WAITING);
    }
  job->gang_starting = false;
  job->gang_reserving_since = 0;
  sched_job_pause_starts (
      job, job->waiting_for[0] != '\0' ? job->waiting_for : "no-capacity",
      GANG_RETRY_PAUSE_MS);
}

static void
start_gang (struct job *job)
{
  job->gang_started = true;
  sched_job_log_event (
      job, "All tasks of the gang are reserved; the gang is started.");
  for (int64_t i = 0; i < job->record.spec.tasks; i++)
    {
      struct task *task = &job->tasks[i];

      if (task->state != TASK_RESERVED)
        continue;
      sched_job_set_task_state (job, task, TASK_START_REQUESTED);
      sched_job_send_start (
          job, i, sched_find_link (job->sched, task->worker_owner), false);
    }
}

/** Time in which a gang must have reserved workers for all its tasks. */
#define GANG_RESERVE_TIMEOUT_MS 2500

void
sched_job_gang_tick (struct job *job)
{
  rst_ms now = sched_now (job->sched);
  int64_t unstarted
      = job->waiting_count + job->start_requested_count + job->reserved_count;

  if (job->gang_started)
    return;
  if (job->gang_reserving_since == 0
      && (job->start_requested_count > 0 || job->reserved_count > 0))
    job->gang_reserving_since = now;
  if (job->gang_reserving_since != 0
      && now - job->gang_reserving_since > GANG_RESERVE_TIMEOUT_MS)
    {
      release_reservations (job);
      return;
    }
  if (job->reserved_count == 0 || job->reserved_count < unstarted)
    return;
  job->gang_starting = true;
  if (job->stored_intent >= job->record.spec.tasks)
    start_gang (job);
}
