/* Which of a job's tasks start, alone or as a gang. */
#include "coordination/sched_job_private.h"

#include <stdlib.h>
#include <string.h>

#define LOG_PREFIX "job"

/** Most starts of one job that wait for their answer. */
#define PLACING_MAX 64

/** Time left for one start. */
#define START_DEADLINE_MS 4000

/** Pause of a gang that did not get all places. */
#define GANG_PAUSE_MS 600

static uint64_t
find_link (struct rst_scheduler *sched, const struct rst_job_spec *spec,
           char holder[RST_NAME_SIZE], bool prefer_other_zone)
{
  GHashTableIter iterator;
  gpointer value;
  uint64_t best = 0;
  int64_t best_room = -1;

  g_hash_table_iter_init (&iterator, sched->peers);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct peer *peer = value;
      int64_t room = (int64_t)peer->load.cpu_free;
      bool own = strcmp (peer->zone, sched->config.zone) == 0;

      if (!peer->known || peer->role != RST_ROLE_SCHEDULER || !peer->has_load
          || !peer->load.ready
          || (int64_t)peer->load.largest_cpu_free < spec->cpu
          || rst_settings_zone_out (sched->settings, peer->zone))
        continue;
      if (own != prefer_other_zone)
        room *= 4;
      if (room > best_room)
        {
          best = peer->link;
          best_room = room;
          g_strlcpy (holder, peer->incarnation, RST_NAME_SIZE);
        }
    }
  return best;
}

static bool
has_room_here (struct rst_scheduler *sched, const struct rst_job_spec *spec)
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
          && sched_instance_usable (sched, instance))
        return true;
    }
  return false;
}

/* The scheduler to ask for a place: here first, services in turn elsewhere. */
static uint64_t
choose_holder (struct job *job, int64_t index, char holder[RST_NAME_SIZE])
{
  struct rst_scheduler *sched = job->sched;
  const struct rst_job_spec *spec = &job->record.spec;
  bool spread = spec->policy == RST_POLICY_SERVICE && index % 3 != 0;
  uint64_t link;

  if (spread)
    {
      link = find_link (sched, spec, holder, index % 3 == 1);
      if (link != 0)
        return link;
    }
  if (has_room_here (sched, spec))
    {
      g_strlcpy (holder, sched->incarnation, RST_NAME_SIZE);
      return SCHED_SELF;
    }
  return find_link (sched, spec, holder, false);
}

void
sched_job_ask_start (struct job *job, int64_t index, uint64_t link,
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
  message.task_start.attempt = sched_job_full_attempt (job, task);
  message.task_start.policy = (uint64_t)spec->policy;
  message.task_start.cpu = (uint64_t)spec->cpu;
  message.task_start.memory_mb = (uint64_t)spec->memory_mb;
  message.task_start.accelerators = (uint64_t)spec->accelerators;
  message.task_start.run_ms = (uint64_t)spec->run_ms;
  message.task_start.deadline_ms = START_DEADLINE_MS;
  message.task_start.hold_only = hold_only;
  message.task_start.run_once = spec->run_once;
  task->asked_at = sched_now (sched);
  sched_send (sched, link, &message);
}

void
sched_job_block (struct job *job, const char *reason, rst_ms pause)
{
  g_strlcpy (job->waiting_for, reason, sizeof job->waiting_for);
  job->blocked_until
      = sched_now (job->sched) + sched_jitter (job->sched, pause);
}

/* Returns false when the job should not go on now. */
static bool
start_one (struct job *job, int64_t index)
{
  struct task *task = &job->tasks[index];
  bool gang = job->record.spec.policy == RST_POLICY_GANG;
  char holder[RST_NAME_SIZE];
  uint64_t link = choose_holder (job, index, holder);

  if (link == 0)
    {
      sched_job_block (job, "no-capacity", gang ? GANG_PAUSE_MS : BLOCKED_MS);
      return false;
    }
  g_strlcpy (task->holder, holder, RST_NAME_SIZE);
  sched_job_set_state (job, task, TASK_ASKED);
  sched_job_ask_start (job, index, link, gang && !job->gang_started);
  return true;
}

void
sched_job_start_waiting (struct job *job)
{
  rst_ms now = sched_now (job->sched);
  int64_t bound
      = job->record.spec.policy == RST_POLICY_GANG && !job->gang_started
            ? job->record.spec.tasks
            : job->confirmed_intent;
  int64_t i = job->first_waiting;
  bool passed_any = false;

  for (; i < bound && job->asked < PLACING_MAX; i++)
    {
      struct task *task = &job->tasks[i];

      if (task->state != TASK_WAITING)
        continue;
      if (task->retry_at > now || !start_one (job, i))
        {
          if (!passed_any)
            job->first_waiting = i;
          passed_any = true;
          if (job->blocked_until > now)
            break;
        }
    }
  if (!passed_any)
    job->first_waiting = i;
}

/* Announces the next tasks before they are needed. */
void
sched_job_extend_intent (struct job *job)
{
  int64_t next
      = MIN (job->first_waiting + INTENT_BATCH, job->record.spec.tasks);
  bool gang = job->record.spec.policy == RST_POLICY_GANG;

  if (gang)
    next = job->gang_starting ? job->record.spec.tasks : 0;
  if (job->first_waiting + INTENT_BATCH / 2 < job->confirmed_intent && !gang)
    return;
  if (next > job->record.intent)
    {
      job->record.intent = next;
      job->dirty = true;
      job->write_next_at = 0;
    }
}

void
sched_job_send_stop (struct job *job, struct task *task, uint64_t result)
{
  struct rst_message message = { 0 };
  uint64_t link = sched_link_to (job->sched, task->holder);

  message.type = RST_TASK_STOP;
  message.task_event.job = job->record.name;
  message.task_event.index = (uint64_t)(task - job->tasks);
  message.task_event.attempt = task->inherited != 0
                                   ? task->inherited
                                   : sched_job_full_attempt (job, task);
  message.task_event.result = result;
  if (link != 0)
    sched_send (job->sched, link, &message);
}

/* Gives all places back, so that two gangs never wait for each other. */
static void
release_gang (struct job *job)
{
  for (int64_t i = 0; i < job->record.spec.tasks; i++)
    {
      struct task *task = &job->tasks[i];

      if (task->state != TASK_HELD && task->state != TASK_ASKED)
        continue;
      sched_job_send_stop (job, task, RST_TASK_STOPPED);
      task->attempt++;
      sched_job_set_state (job, task, TASK_WAITING);
    }
  job->gang_starting = false;
  job->gang_since = 0;
  sched_job_block (
      job, job->waiting_for[0] != '\0' ? job->waiting_for : "no-capacity",
      GANG_PAUSE_MS);
}

static void
start_gang (struct job *job)
{
  job->gang_started = true;
  sched_job_log (job, "Gang is started.");
  for (int64_t i = 0; i < job->record.spec.tasks; i++)
    {
      struct task *task = &job->tasks[i];

      if (task->state != TASK_HELD)
        continue;
      sched_job_set_state (job, task, TASK_ASKED);
      sched_job_ask_start (job, i, sched_link_to (job->sched, task->holder),
                           false);
    }
}

/* Longest time in which a gang collects its places. */
#define GANG_COLLECT_MS 2500

void
sched_job_gang_tick (struct job *job)
{
  rst_ms now = sched_now (job->sched);
  int64_t open = job->waiting + job->asked + job->held;

  if (job->gang_started)
    return;
  if (job->gang_since == 0 && (job->asked > 0 || job->held > 0))
    job->gang_since = now;
  if (job->gang_since != 0 && now - job->gang_since > GANG_COLLECT_MS)
    {
      release_gang (job);
      return;
    }
  if (job->held == 0 || job->held < open)
    return;
  job->gang_starting = true;
  if (job->confirmed_intent >= job->record.spec.tasks)
    start_gang (job);
}
