/**
 * DOC: sched_job - jobs that this scheduler follows
 *
 * A job is accepted once its record is in the store.  Before tasks start, the
 * record states up to which number they may have been started; one write
 * covers many starts.  A successor asks all schedulers which of these run.
 */
#include "coordination/scheduler_private.h"

#include <stdlib.h>
#include <string.h>

#include "state/job.h"

#define LOG_PREFIX "job"

/** Tasks whose start one write of the record announces. */
#define INTENT_BATCH 128

/** Most starts of one job that wait for their answer. */
#define PLACING_MAX 64

/** Time left for one start. */
#define START_DEADLINE_MS 4000

/** Time after which an unanswered start is asked for again. */
#define START_AGAIN_MS 1500

/** Pause of a job whose tasks found no place. */
#define BLOCKED_MS 150

/** Pause of a gang that did not get all places. */
#define GANG_PAUSE_MS 600

/** Time between two writes of ends. */
#define ENDS_WRITE_MS 500

/** Time between two questions to schedulers about a job's tasks. */
#define FIND_EVERY_MS 700

/** How long a finished job is kept. */
#define FINISHED_KEEP_MS 600000

/** Time between two looks for all running tasks of a job. */
#define RECONCILE_MS 30000

/** Failures after which a task is not started again. */
#define TASK_FAILURES_MAX 3

/** Time between two searches for jobs without an owner. */
#define ORPHANS_EVERY_MS 30000

/** Longest time in which acceptance must be known. */
#define ACCEPT_MS 5000

enum task_state
{
  TASK_WAITING,
  TASK_ASKED,
  TASK_HELD,
  TASK_RUNNING,
  TASK_LOOKED_FOR,
  TASK_ENDED,
};

struct task
{
  enum task_state state;
  uint32_t attempt;
  uint32_t failures;
  uint64_t inherited;
  bool found;
  rst_ms asked_at;
  rst_ms retry_at;
  char holder[RST_NAME_SIZE];
};

/* The end of a task, to be confirmed once it is stored. */
struct end
{
  uint64_t link;
  uint64_t index;
  uint64_t attempt;
  bool written;
  CK_STAILQ_ENTRY (end) entry;
};

struct job
{
  struct rst_scheduler *sched;
  struct rst_job_record record;
  struct task *tasks;
  int64_t first_waiting;
  int64_t waiting;
  int64_t asked;
  int64_t held;
  int64_t running;
  int64_t looked_for;
  int64_t confirmed_intent;
  bool accepted;
  bool claiming;
  bool dirty;
  bool dropped;
  bool busy;
  uint64_t base;
  char *text;
  rst_ms write_next_at;
  rst_ms read_at;
  rst_ms created_at;
  rst_ms finished_at;
  rst_ms blocked_until;
  rst_ms find_next_at;
  rst_ms reconcile_next_at;
  rst_ms ask_next_at;
  rst_ms cancel_next_at;
  rst_ms gang_since;
  bool gang_starting;
  bool gang_started;
  bool unsure;
  int64_t writing_intent;
  uint64_t caller_link;
  uint64_t caller_id;
  bool caller_due;
  char waiting_for[32];
  uint64_t find_id;
  GHashTable *found_at;
  CK_STAILQ_HEAD (end_queue, end) ends;
};

/* A record read on behalf of a caller. */
struct job_read
{
  struct rst_scheduler *sched;
  uint64_t link;
  uint64_t id;
  struct rst_message call;
};

/* ---- Replies
 * ---------------------------------------------------------------- */

static void
reply_body (struct rst_scheduler *sched, uint64_t link, uint64_t id,
            uint64_t status, const char *body)
{
  struct rst_message message = { 0 };

  message.type = RST_JOB_REPLY;
  message.id = id;
  message.job_reply.status = status;
  message.job_reply.body.data = (char *)body;
  message.job_reply.body.length = strlen (body);
  sched_send (sched, link, &message);
}

static void
reply_refusal (struct rst_scheduler *sched, uint64_t link, uint64_t id,
               uint64_t status, const char *outcome, const char *reason,
               const char *detail)
{
  struct json_object *root = json_object_new_object ();
  char *text;

  rst_json_set_text (root, "outcome", outcome);
  rst_json_set_text (root, "reason", reason);
  rst_json_set_text (root, "detail", detail);
  text = rst_json_release (root);
  reply_body (sched, link, id, status, text);
  free (text);
}

static void
reply_job (struct job *job, uint64_t link, uint64_t id, uint64_t status)
{
  char *text = rst_job_record_describe (
      &job->record, job->running,
      job->waiting_for[0] != '\0' ? job->waiting_for : NULL);

  reply_body (job->sched, link, id, status, text);
  free (text);
}

static void
answer_caller (struct job *job, uint64_t status)
{
  if (!job->caller_due)
    return;
  job->caller_due = false;
  reply_job (job, job->caller_link, job->caller_id, status);
}

static void
refuse_caller (struct job *job, uint64_t status, const char *outcome,
               const char *reason, const char *detail)
{
  if (!job->caller_due)
    return;
  job->caller_due = false;
  reply_refusal (job->sched, job->caller_link, job->caller_id, status, outcome,
                 reason, detail);
}

/* ---- The table
 * ---------------------------------------------------------------- */

static void
free_ends (struct job *job)
{
  struct end *end;

  while ((end = CK_STAILQ_FIRST (&job->ends)) != NULL)
    {
      CK_STAILQ_REMOVE_HEAD (&job->ends, entry);
      g_free (end);
    }
}

static void
job_free (struct job *job)
{
  free_ends (job);
  rst_job_record_clear (&job->record);
  if (job->found_at != NULL)
    g_hash_table_destroy (job->found_at);
  g_free (job->tasks);
  g_free (job->text);
  g_free (job);
}

/* Takes a job out of the table; it is freed once no call is under way. */
static void
job_drop (struct job *job)
{
  g_hash_table_steal (job->sched->jobs, job->record.name);
  if (job->busy)
    {
      job->dropped = true;
      g_ptr_array_add (job->sched->dropped_jobs, job);
    }
  else
    job_free (job);
}

static struct job *
job_create (struct rst_scheduler *sched, const struct rst_job_record *record)
{
  struct job *job = g_new0 (struct job, 1);

  job->sched = sched;
  job->record = *record;
  job->tasks = g_new0 (struct task, (gsize)record->spec.tasks);
  job->created_at = sched_now (sched);
  job->reconcile_next_at = job->created_at + RECONCILE_MS;
  CK_STAILQ_INIT (&job->ends);
  for (int64_t i = 0; i < record->spec.tasks; i++)
    if (record->ended[i] != '.')
      job->tasks[i].state = TASK_ENDED;
    else
      job->waiting++;
  g_hash_table_insert (sched->jobs, job->record.name, job);
  return job;
}

static void
job_hash_free (gpointer data)
{
  job_free (data);
}

void
sched_job_init (struct rst_scheduler *sched)
{
  sched->jobs
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, job_hash_free);
  sched->dropped_jobs = g_ptr_array_new ();
  sched->job_forwards
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
}

void
sched_job_clear (struct rst_scheduler *sched)
{
  g_hash_table_destroy (sched->jobs);
  for (guint i = 0; i < sched->dropped_jobs->len; i++)
    job_free (g_ptr_array_index (sched->dropped_jobs, i));
  g_ptr_array_free (sched->dropped_jobs, TRUE);
  g_hash_table_destroy (sched->job_forwards);
}

void
sched_job_tenure_lost (struct rst_scheduler *sched)
{
  GList *jobs = g_hash_table_get_values (sched->jobs);

  for (GList *item = jobs; item != NULL; item = item->next)
    job_drop (item->data);
  g_list_free (jobs);
  sched->jobs_next_at = 0;
}

/* ---- Writing the record
 * --------------------------------------------------------- */

static void on_job_written (const struct rst_platform_reply *reply,
                            void *data);

static char *
job_key (const struct job *job)
{
  return g_strconcat (RST_KEY_JOBS, job->record.name, NULL);
}

static void
put_job (struct job *job)
{
  struct rst_scheduler *sched = job->sched;
  char *key = job_key (job);

  sched->counters.store_writes++;
  sched->platform->store_put (sched->platform_data, key, job->text,
                              (int64_t)job->base, 0, on_job_written, job);
  g_free (key);
}

static void
write_job (struct job *job)
{
  struct end *end;

  job->busy = true;
  job->dirty = false;
  job->record.write++;
  job->base = job->record.revision;
  job->writing_intent = job->record.intent;
  CK_STAILQ_FOREACH (end, &job->ends, entry)
  end->written = true;
  g_free (job->text);
  job->text = rst_job_record_format (&job->record);
  put_job (job);
}

static void
confirm_ends (struct job *job)
{
  struct rst_scheduler *sched = job->sched;
  struct end *end;

  while ((end = CK_STAILQ_FIRST (&job->ends)) != NULL && end->written)
    {
      struct rst_message message = { 0 };

      message.type = RST_TASK_END_SEEN;
      message.task_event.job = job->record.name;
      message.task_event.index = end->index;
      message.task_event.attempt = end->attempt;
      sched_send (sched, end->link, &message);
      CK_STAILQ_REMOVE_HEAD (&job->ends, entry);
      g_free (end);
    }
}

static void
log_job (const struct job *job, const char *message)
{
  rst_info (LOG_PREFIX, message, "job", job->record.name, "zone",
            job->sched->config.zone, "state",
            rst_job_record_state (&job->record));
}

static void
begin_finding (struct job *job)
{
  for (int64_t i = 0; i < job->record.intent; i++)
    if (job->tasks[i].state == TASK_WAITING)
      {
        job->tasks[i].state = TASK_LOOKED_FOR;
        job->waiting--;
        job->looked_for++;
      }
  job->found_at
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  job->find_next_at = 0;
}

static void
job_stored (struct job *job, uint64_t revision)
{
  job->busy = false;
  job->record.revision = revision;
  job->confirmed_intent = job->writing_intent;
  job->write_next_at = sched_now (job->sched) + ENDS_WRITE_MS;
  if (job->claiming)
    {
      job->claiming = false;
      log_job (job, "Job was taken over.");
      begin_finding (job);
    }
  else if (!job->accepted)
    log_job (job, "Job was accepted.");
  job->accepted = true;
  answer_caller (job, 202);
  confirm_ends (job);
}

static bool
free_if_dropped (struct job *job)
{
  if (!job->dropped)
    return false;
  g_ptr_array_remove_fast (job->sched->dropped_jobs, job);
  job_free (job);
  return true;
}

/* Another record stands under this name: a repeat of the same submission, or
   another job; or another owner has taken the job over. */
static void
job_conflict (struct job *job, const struct rst_job_record *present)
{
  bool same = rst_job_spec_equal (&job->record.spec, &present->spec);
  char *text;

  if (job->caller_due && same)
    {
      text = rst_job_record_describe (present, 0, NULL);
      job->caller_due = false;
      reply_body (job->sched, job->caller_link, job->caller_id, 200, text);
      free (text);
    }
  refuse_caller (job, 409, "not-run", "id-in-use",
                 "id: another job of this team has it");
  if (job->accepted)
    log_job (job, "Job has another owner.");
  job_drop (job);
}

static void
on_job_read (const struct rst_platform_reply *reply, void *data)
{
  struct job *job = data;
  struct rst_job_record present = { 0 };
  bool found = reply->result == RST_PLATFORM_OK && reply->kv_count == 1;
  uint64_t revision = found ? reply->kvs[0].revision : 0;

  if (free_if_dropped (job))
    return;
  if (!found && reply->result != RST_PLATFORM_NOT_FOUND)
    {
      job->read_at
          = sched_now (job->sched) + sched_jitter (job->sched, SCHED_RETRY_MS);
      return;
    }
  if (revision == job->base)
    {
      put_job (job);
      return;
    }
  if (!found
      || rst_job_record_parse (reply->kvs[0].value, revision, &present)
             != RST_STATE_OK)
    {
      job->busy = false;
      refuse_caller (job, 504, "unknown", "no-answer",
                     "the job's record was lost");
      job_drop (job);
      return;
    }
  if (strcmp (present.owner, job->record.owner) == 0
      && present.write == job->record.write)
    job_stored (job, revision);
  else
    {
      job->busy = false;
      job_conflict (job, &present);
    }
  rst_job_record_clear (&present);
}

static void
read_job (struct job *job)
{
  struct rst_scheduler *sched = job->sched;
  char *key = job_key (job);

  job->read_at = 0;
  sched->counters.store_reads++;
  sched->platform->store_get (sched->platform_data, key, on_job_read, job);
  g_free (key);
}

static void
on_job_written (const struct rst_platform_reply *reply, void *data)
{
  struct job *job = data;

  if (free_if_dropped (job))
    return;
  if (reply->result == RST_PLATFORM_OK)
    job_stored (job, reply->revision);
  else if (reply->result == RST_PLATFORM_NOT_SENT && !job->accepted
           && !job->claiming && !job->unsure)
    {
      job->busy = false;
      refuse_caller (job, 503, "not-run", "store-away",
                     "the store cannot be reached; the job was not accepted");
      job_drop (job);
    }
  else
    {
      job->unsure = true;
      read_job (job);
    }
}

/* ---- Ends of tasks
 * ----------------------------------------------------------------- */

static int64_t *
counter_of (struct job *job, enum task_state state)
{
  switch (state)
    {
    case TASK_WAITING:
      return &job->waiting;
    case TASK_ASKED:
      return &job->asked;
    case TASK_HELD:
      return &job->held;
    case TASK_RUNNING:
      return &job->running;
    case TASK_LOOKED_FOR:
      return &job->looked_for;
    default:
      return NULL;
    }
}

static void
set_state (struct job *job, struct task *task, enum task_state state)
{
  int64_t *before = counter_of (job, task->state);
  int64_t *after = counter_of (job, state);

  if (before != NULL)
    (*before)--;
  if (after != NULL)
    (*after)++;
  task->state = state;
  if (state == TASK_WAITING)
    job->first_waiting
        = MIN (job->first_waiting, (int64_t)(task - job->tasks));
}

static void
end_task (struct job *job, struct task *task, char letter)
{
  set_state (job, task, TASK_ENDED);
  job->record.ended[task - job->tasks] = letter;
  job->dirty = true;
}

static void
restart_task (struct job *job, struct task *task, rst_ms pause)
{
  if (job->record.cancelled)
    {
      end_task (job, task, 'c');
      return;
    }
  task->retry_at = sched_now (job->sched) + pause;
  task->attempt++;
  task->inherited = 0;
  set_state (job, task, TASK_WAITING);
}

/* A task that may have run and whose result nobody knows. */
static void
lose_task (struct job *job, struct task *task)
{
  if (job->record.spec.run_once && !RST_FAULT (RST_FAULT_TASK_TWICE))
    end_task (job, task, 'u');
  else
    restart_task (job, task, 0);
}

static void
fail_task (struct job *job, struct task *task)
{
  task->failures++;
  if (job->record.spec.policy == RST_POLICY_SERVICE)
    restart_task (job, task, 500 * MIN (task->failures, 20));
  else if (job->record.spec.run_once || task->failures >= TASK_FAILURES_MAX)
    end_task (job, task, 'f');
  else
    restart_task (job, task, 500);
}

static void
apply_result (struct job *job, struct task *task, uint64_t result)
{
  switch (result)
    {
    case RST_TASK_DONE:
      if (job->record.spec.policy == RST_POLICY_SERVICE)
        restart_task (job, task, 500);
      else
        end_task (job, task, 'd');
      break;
    case RST_TASK_FAILED:
      fail_task (job, task);
      break;
    case RST_TASK_STOPPED:
      if (job->record.cancelled)
        end_task (job, task, 'c');
      else
        lose_task (job, task);
      break;
    case RST_TASK_MOVED:
      restart_task (job, task, 0);
      break;
    case RST_TASK_NOT_RUN:
      restart_task (job, task, 0);
      break;
    default:
      lose_task (job, task);
      break;
    }
}

static uint64_t
full_attempt (const struct job *job, const struct task *task)
{
  return job->record.generation * RST_ATTEMPTS_PER_GENERATION + task->attempt;
}

static void
queue_end (struct job *job, uint64_t link, const struct rst_task_event *event)
{
  struct end *end = g_new0 (struct end, 1);

  end->link = link;
  end->index = event->index;
  end->attempt = event->attempt;
  CK_STAILQ_INSERT_TAIL (&job->ends, end, entry);
  job->dirty = true;
}

/* Whether an event speaks of the attempt that counts. */
static bool
is_present (const struct job *job, const struct task *task, uint64_t attempt)
{
  if (task->inherited != 0)
    return task->inherited == attempt;
  return attempt == full_attempt (job, task);
}

/* The holder that was asked to stop a task does not have it. */
static void
not_here (struct job *job, struct task *task, uint64_t attempt)
{
  if (!job->record.cancelled)
    return;
  if (task->state == TASK_HELD)
    end_task (job, task, 'c');
  else if (task->state == TASK_RUNNING)
    {
      task->inherited = attempt;
      set_state (job, task, TASK_LOOKED_FOR);
      sched_job_find_anew (job);
    }
}

static void
task_ended (struct rst_scheduler *sched, struct job *job, uint64_t link,
            const struct rst_message *message)
{
  const struct rst_task_event *event = &message->task_event;
  struct task *task = &job->tasks[event->index];

  (void)sched;
  /* Which attempt was the last is known once all schedulers have answered;
     until then its end is reported again. */
  if (task->state == TASK_LOOKED_FOR)
    return;
  if (task->state != TASK_ENDED && is_present (job, task, event->attempt))
    {
      if (event->result == RST_TASK_NOT_RUN)
        not_here (job, task, event->attempt);
      else
        apply_result (job, task, event->result);
    }
  if (event->result != RST_TASK_NOT_RUN)
    queue_end (job, link, event);
}

/* ---- Starting
 * ------------------------------------------------------------------------ */

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

static void
ask_start (struct job *job, int64_t index, uint64_t link, bool hold_only)
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
  message.task_start.attempt = full_attempt (job, task);
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

static void
block (struct job *job, const char *reason, rst_ms pause)
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
      block (job, "no-capacity", gang ? GANG_PAUSE_MS : BLOCKED_MS);
      return false;
    }
  g_strlcpy (task->holder, holder, RST_NAME_SIZE);
  set_state (job, task, TASK_ASKED);
  ask_start (job, index, link, gang && !job->gang_started);
  return true;
}

static void
start_waiting (struct job *job)
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
static void
extend_intent (struct job *job)
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

/* ---- Gangs
 * ---------------------------------------------------------------------------
 */

static void
send_stop (struct job *job, struct task *task, uint64_t result)
{
  struct rst_message message = { 0 };
  uint64_t link = sched_link_to (job->sched, task->holder);

  message.type = RST_TASK_STOP;
  message.task_event.job = job->record.name;
  message.task_event.index = (uint64_t)(task - job->tasks);
  message.task_event.attempt
      = task->inherited != 0 ? task->inherited : full_attempt (job, task);
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
      send_stop (job, task, RST_TASK_STOPPED);
      task->attempt++;
      set_state (job, task, TASK_WAITING);
    }
  job->gang_starting = false;
  job->gang_since = 0;
  block (job, job->waiting_for[0] != '\0' ? job->waiting_for : "no-capacity",
         GANG_PAUSE_MS);
}

static void
start_gang (struct job *job)
{
  job->gang_started = true;
  log_job (job, "Gang is started.");
  for (int64_t i = 0; i < job->record.spec.tasks; i++)
    {
      struct task *task = &job->tasks[i];

      if (task->state != TASK_HELD)
        continue;
      set_state (job, task, TASK_ASKED);
      ask_start (job, i, sched_link_to (job->sched, task->holder), false);
    }
}

/* Longest time in which a gang collects its places. */
#define GANG_COLLECT_MS 2500

static void
gang_tick (struct job *job)
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

/* ---- Events
 * ---------------------------------------------------------------------------
 */

static void
task_started (struct job *job, const struct rst_message *message)
{
  const struct rst_task_event *event = &message->task_event;
  struct task *task = &job->tasks[event->index];

  if (event->attempt != full_attempt (job, task) || task->state != TASK_ASKED)
    return;
  switch (event->result)
    {
    case RST_TASK_RUNNING:
      job->waiting_for[0] = '\0';
      set_state (job, task, TASK_RUNNING);
      break;
    case RST_TASK_HELD:
      set_state (job, task, TASK_HELD);
      break;
    case RST_TASK_NOT_RUN:
      if (strcmp (event->reason, "outdated") == 0)
        break;
      block (job, event->reason[0] != '\0' ? event->reason : "no-capacity",
             BLOCKED_MS);
      /* A gang keeps its other places until the time to collect is over. */
      restart_task (job, task, 0);
      break;
    default:
      /* It may be at this holder or, if its instance has changed hands, at
         another. */
      task->inherited = event->attempt;
      set_state (job, task, TASK_LOOKED_FOR);
      sched_job_find_anew (job);
      break;
    }
}

/* Keeps the revision of the ownership record that an answer rests on. */
static void
note_answer (struct job *job, const char *incarnation, uint64_t revision)
{
  uint64_t *kept = g_new (uint64_t, 1);

  *kept = revision;
  g_hash_table_insert (job->found_at, g_strdup (incarnation), kept);
}

static void
task_found (struct rst_scheduler *sched, struct job *job, uint64_t link,
            const struct rst_message *message)
{
  const struct rst_task_event *event = &message->task_event;
  const struct peer *peer = sched_peer_by_link (sched, link);
  const char *incarnation = link == SCHED_SELF ? sched->incarnation
                            : peer != NULL     ? peer->incarnation
                                               : "";
  struct task *task;

  if (event->index == UINT64_MAX)
    {
      if (event->result == RST_TASK_DONE && job->found_at != NULL
          && message->id == job->find_id)
        note_answer (job, incarnation, event->attempt);
      return;
    }
  /* The last attempt counts; an earlier one has ended. */
  task = &job->tasks[event->index];
  if (task->state != TASK_LOOKED_FOR || event->attempt < task->inherited)
    return;
  g_strlcpy (task->holder, incarnation, RST_NAME_SIZE);
  task->inherited = event->attempt;
  task->found = true;
}

static struct job *
find_job (struct rst_scheduler *sched, const char *name)
{
  return g_hash_table_lookup (sched->jobs, name);
}

void
sched_job_task_event (struct rst_scheduler *sched, uint64_t link,
                      const struct rst_message *message)
{
  const struct rst_task_event *event = &message->task_event;
  struct job *job = find_job (sched, event->job);

  if (job == NULL
      || (event->index != UINT64_MAX
          && event->index >= (uint64_t)job->record.spec.tasks))
    return;
  if (event->index == UINT64_MAX && message->type != RST_TASK_FOUND)
    return;
  if (message->type == RST_TASK_STARTED)
    task_started (job, message);
  else if (message->type == RST_TASK_END)
    task_ended (sched, job, link, message);
  else
    task_found (sched, job, link, message);
}

/* Asks again for starts that were not answered: the holder may have lost the
   request or its link, and runs one id once. */
static void
ask_again (struct job *job)
{
  struct rst_scheduler *sched = job->sched;
  rst_ms now = sched_now (sched);
  bool hold = job->record.spec.policy == RST_POLICY_GANG && !job->gang_started;

  if (job->asked == 0 || now < job->ask_next_at)
    return;
  job->ask_next_at = now + START_AGAIN_MS / 3;
  for (int64_t i = 0; i < job->record.spec.tasks; i++)
    {
      struct task *task = &job->tasks[i];
      uint64_t link;

      if (task->state != TASK_ASKED || now - task->asked_at < START_AGAIN_MS)
        continue;
      link = sched_link_to (sched, task->holder);
      if (link != 0)
        ask_start (job, i, link, hold);
      else if (!sched_is_member (sched, task->holder))
        {
          /* The holder's tenure has ended: its successor knows. */
          set_state (job, task, TASK_LOOKED_FOR);
          task->inherited = full_attempt (job, task);
          sched_job_find_anew (job);
        }
    }
}

/* Looks for all running tasks once in a while: one that was lost while its
   instance changed hands is reported by nobody. */
static void
reconcile (struct job *job)
{
  rst_ms now = sched_now (job->sched);

  if (now < job->reconcile_next_at)
    return;
  job->reconcile_next_at = now + sched_jitter (job->sched, RECONCILE_MS);
  if (job->running == 0 || job->looked_for > 0)
    return;
  for (int64_t i = 0; i < job->record.spec.tasks; i++)
    {
      struct task *task = &job->tasks[i];

      if (task->state != TASK_RUNNING)
        continue;
      if (task->inherited == 0)
        task->inherited = full_attempt (job, task);
      set_state (job, task, TASK_LOOKED_FOR);
    }
  sched_job_find_anew (job);
}

/* Running tasks whose holder is gone are reported by its successor, to whom
   stops must go. */
static void
check_holders (struct job *job)
{
  struct rst_scheduler *sched = job->sched;

  for (int64_t i = 0; i < job->record.spec.tasks; i++)
    {
      struct task *task = &job->tasks[i];

      if (task->state != TASK_RUNNING || sched_is_member (sched, task->holder))
        continue;
      task->inherited
          = task->inherited != 0 ? task->inherited : full_attempt (job, task);
      set_state (job, task, TASK_LOOKED_FOR);
      sched_job_find_anew (job);
    }
}

/* ---- Finding
 * ------------------------------------------------------------------------------
 */

void
sched_job_find_anew (struct job *job)
{
  for (int64_t i = 0; i < job->record.spec.tasks; i++)
    job->tasks[i].found = false;
  if (job->found_at != NULL)
    g_hash_table_destroy (job->found_at);
  job->found_at
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  job->find_id = 0;
  job->find_next_at = 0;
}

struct ask_all
{
  struct job *job;
  bool complete;
  bool consistent;
};

/* Answers that rest on different versions of the record may both have missed
   an instance that changed hands between them. */
static void
check_revisions (const struct rst_zone *zone, struct ask_all *ask)
{
  const uint64_t *first = NULL;

  for (int i = 0; i < zone->member_count; i++)
    {
      const uint64_t *revision = g_hash_table_lookup (
          ask->job->found_at, zone->members[i].incarnation);

      if (revision == NULL)
        continue;
      if (first != NULL && *first != *revision)
        ask->consistent = false;
      first = revision;
    }
  if (first != NULL && *first != zone->revision)
    ask->consistent = false;
}

/* An instance without an owner may run tasks that no member knows of. */
static bool
all_owned (const struct rst_zone *zone)
{
  for (int i = 0; i < zone->owned_count; i++)
    if (rst_zone_find_member (zone, zone->owned[i].owner) == NULL)
      return false;
  return true;
}

static void
ask_members (const struct rst_zone *zone, void *userdata)
{
  struct ask_all *ask = userdata;
  struct job *job = ask->job;
  struct rst_message message = { 0 };

  message.type = RST_TASK_FIND;
  message.id = job->find_id;
  message.task_event.job = job->record.name;
  message.task_event.attempt = job->record.generation;
  check_revisions (zone, ask);
  if (!all_owned (zone))
    ask->complete = false;
  for (int i = 0; i < zone->member_count; i++)
    {
      const char *incarnation = zone->members[i].incarnation;
      uint64_t link;

      if (g_hash_table_contains (job->found_at, incarnation))
        continue;
      ask->complete = false;
      link = sched_link_to (job->sched, incarnation);
      if (link != 0)
        sched_send (job->sched, link, &message);
    }
}

/* All schedulers know all that runs: what was not found has no place. */
static void
conclude_finding (struct job *job)
{
  for (int64_t i = 0; i < job->record.spec.tasks; i++)
    if (job->tasks[i].state == TASK_LOOKED_FOR && job->tasks[i].found)
      set_state (job, &job->tasks[i], TASK_RUNNING);
    else if (job->tasks[i].state == TASK_LOOKED_FOR)
      {
        job->tasks[i].inherited = 0;
        if (job->record.cancelled && !job->record.spec.run_once)
          end_task (job, &job->tasks[i], 'c');
        else
          lose_task (job, &job->tasks[i]);
      }
  log_job (job, "All tasks of the job are accounted for.");
  g_hash_table_destroy (job->found_at);
  job->found_at = NULL;
}

static void
find_tick (struct job *job)
{
  struct ask_all ask = { job, true, true };
  rst_ms now = sched_now (job->sched);

  if (job->looked_for == 0 || job->found_at == NULL || now < job->find_next_at)
    return;
  job->find_next_at = now + FIND_EVERY_MS;
  /* An answer counts only for the question asked since the last change. */
  if (job->find_id == 0)
    job->find_id = sched_next_id (job->sched);
  rst_settings_records (job->sched->settings, ask_members, &ask);
  if (!ask.consistent)
    sched_job_find_anew (job);
  else if (ask.complete)
    conclude_finding (job);
}

/* ---- Time
 * ------------------------------------------------------------------------------------
 */

static void
cancel_tasks (struct job *job)
{
  for (int64_t i = 0; i < job->record.spec.tasks; i++)
    {
      struct task *task = &job->tasks[i];

      if (task->state == TASK_WAITING)
        end_task (job, task, 'c');
      else if ((task->state == TASK_RUNNING || task->state == TASK_HELD)
               && sched_now (job->sched) - task->asked_at > START_AGAIN_MS)
        {
          task->asked_at = sched_now (job->sched);
          send_stop (job, task, RST_TASK_STOPPED);
        }
    }
}

static void
forget_job (struct job *job)
{
  struct rst_scheduler *sched = job->sched;
  char *key = job_key (job);

  sched->counters.store_writes++;
  sched->platform->store_delete (sched->platform_data, key,
                                 (int64_t)job->record.revision,
                                 sched_ignore_reply, sched);
  g_free (key);
  job_drop (job);
}

static void
run_job (struct job *job)
{
  rst_ms now = sched_now (job->sched);

  if (job->record.cancelled)
    {
      if (now >= job->cancel_next_at)
        {
          job->cancel_next_at = now + START_AGAIN_MS / 3;
          cancel_tasks (job);
        }
    }
  else if (now >= job->blocked_until)
    {
      extend_intent (job);
      start_waiting (job);
    }
  if (job->record.spec.policy == RST_POLICY_GANG)
    {
      gang_tick (job);
      extend_intent (job);
    }
  ask_again (job);
  reconcile (job);
  find_tick (job);
}

static void
write_tick (struct job *job)
{
  rst_ms now = sched_now (job->sched);

  if (job->busy)
    {
      if (job->read_at != 0 && now >= job->read_at)
        read_job (job);
      return;
    }
  if (job->dirty && now >= job->write_next_at)
    write_job (job);
}

/* Returns false when the job was freed. */
static bool
job_tick (struct job *job)
{
  rst_ms now = sched_now (job->sched);
  bool finished = rst_job_record_finished (&job->record);

  if (!job->accepted)
    {
      if (now - job->created_at > ACCEPT_MS)
        refuse_caller (job, 504, "unknown", "no-answer",
                       "the store has not confirmed the job");
      write_tick (job);
      return true;
    }
  if (!finished)
    run_job (job);
  write_tick (job);
  if (finished && job->finished_at == 0)
    {
      job->finished_at = now;
      log_job (job, "Job has ended.");
    }
  if (finished && !job->busy && !job->dirty
      && now - job->finished_at > FINISHED_KEEP_MS)
    {
      forget_job (job);
      return false;
    }
  return true;
}

/* ---- Jobs without an owner
 * ---------------------------------------------------------------------- */

static bool
should_claim (struct rst_scheduler *sched, const struct rst_job_record *record)
{
  const struct rst_zone *zone = sched_zone (sched);
  const char *names[RST_MEMBERS_MAX];
  size_t length = strlen (sched->config.zone);
  int pick;

  if (strncmp (record->owner, sched->config.zone, length) != 0
      || record->owner[length] != ':'
      || rst_zone_find_member (zone, record->owner) != NULL
      || find_job (sched, record->name) != NULL)
    return false;
  for (int i = 0; i < zone->member_count; i++)
    names[i] = zone->members[i].incarnation;
  pick = rst_rendezvous (record->name, names, zone->member_count);
  return pick >= 0 && strcmp (names[pick], sched->incarnation) == 0;
}

static void
claim_job (struct rst_scheduler *sched, const struct rst_kv *kv)
{
  struct rst_job_record record;
  struct job *job;

  if (rst_job_record_parse (kv->value, kv->revision, &record) != RST_STATE_OK)
    return;
  if (!should_claim (sched, &record))
    {
      rst_job_record_clear (&record);
      return;
    }
  g_strlcpy (record.owner, sched->incarnation, RST_NAME_SIZE);
  record.generation++;
  job = job_create (sched, &record);
  job->claiming = true;
  job->confirmed_intent = record.intent;
  job->gang_started = record.intent >= record.spec.tasks;
  write_job (job);
}

static void
on_jobs_listed (const struct rst_platform_reply *reply, void *data)
{
  struct rst_scheduler *sched = data;

  sched->jobs_listing = false;
  sched->jobs_next_at = sched_now (sched) + ORPHANS_EVERY_MS;
  if (reply->result != RST_PLATFORM_OK)
    {
      sched->jobs_next_at
          = sched_now (sched) + sched_jitter (sched, SCHED_RETRY_MS);
      return;
    }
  if (sched_zone (sched) == NULL || sched->joined_revision == 0)
    return;
  for (int i = 0; i < reply->kv_count; i++)
    claim_job (sched, &reply->kvs[i]);
}

static void
orphans_tick (struct rst_scheduler *sched)
{
  if (sched->jobs_listing || sched->joined_revision == 0 || sched->stopping
      || sched->session != SESSION_CONFIRMED
      || sched_now (sched) < sched->jobs_next_at)
    return;
  sched->jobs_listing = true;
  sched->counters.store_reads++;
  sched->platform->store_list (sched->platform_data, RST_KEY_JOBS,
                               on_jobs_listed, sched);
}

void
sched_job_members_changed (struct rst_scheduler *sched)
{
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, sched->jobs);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    if (((struct job *)value)->accepted)
      check_holders (value);
}

void
sched_job_tick (struct rst_scheduler *sched)
{
  GList *jobs;

  orphans_tick (sched);
  if (!rst_tenure_held (sched->tenure, sched_now (sched)))
    return;
  jobs = g_hash_table_get_values (sched->jobs);
  for (GList *item = jobs; item != NULL; item = item->next)
    job_tick (item->data);
  g_list_free (jobs);
}

/* ---- Calls
 * ------------------------------------------------------------------------------------------
 */

static bool
can_ever_run (struct rst_scheduler *sched, const struct rst_job_spec *spec,
              GString *why)
{
  struct rst_instance_info largest = { 0 };
  GHashTableIter iterator;
  gpointer value;

  if (!sched->list_known)
    return true;
  g_hash_table_iter_init (&iterator, sched->instances);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct rst_instance_info *info = &((struct instance *)value)->info;

      if (info->kind != RST_WORKER)
        continue;
      if (info->cpu >= spec->cpu && info->memory_mb >= spec->memory_mb
          && info->accelerators >= spec->accelerators)
        return true;
      if (info->cpu > largest.cpu)
        largest = *info;
    }
  g_string_printf (
      why,
      "%s: no instance is large enough; the largest, %s, has "
      "cpu_milli %" G_GINT64_FORMAT ", memory_mb %" G_GINT64_FORMAT
      ", accelerators %" G_GINT64_FORMAT,
      spec->cpu > largest.cpu               ? "cpu_milli"
      : spec->memory_mb > largest.memory_mb ? "memory_mb"
                                            : "accelerators",
      largest.name, largest.cpu, largest.memory_mb, largest.accelerators);
  return false;
}

static void
submit (struct rst_scheduler *sched, uint64_t link,
        const struct rst_message *message)
{
  const struct rst_job_call *call = &message->job_call;
  struct rst_job_record record = { 0 };
  GString *problems = g_string_new ("");
  char id[RST_NAME_SIZE];
  struct job *job;

  if (rst_job_spec_parse (call->body.data, id, &record.spec, problems)
      != RST_STATE_OK)
    {
      reply_refusal (sched, link, message->id, 400, "not-run", "bad-request",
                     g_strchomp (problems->str));
      goto done;
    }
  if (!can_ever_run (sched, &record.spec, problems))
    {
      reply_refusal (sched, link, message->id, 400, "not-run", "never-fits",
                     problems->str);
      goto done;
    }
  if (!rst_scheduler_ready (sched))
    {
      reply_refusal (sched, link, message->id, 503, "not-run", "not-ready",
                     "this scheduler takes no jobs now");
      goto done;
    }
  g_snprintf (record.name, sizeof record.name, "%s/%s", call->team, call->job);
  job = find_job (sched, record.name);
  if (job != NULL)
    {
      if (!rst_job_spec_equal (&job->record.spec, &record.spec))
        reply_refusal (sched, link, message->id, 409, "not-run", "id-in-use",
                       "id: another job of this team has it");
      else if (job->accepted)
        reply_job (job, link, message->id, 200);
      else
        reply_refusal (sched, link, message->id, 503, "unknown", "no-answer",
                       "the job is being accepted");
      goto done;
    }
  g_strlcpy (record.owner, sched->incarnation, RST_NAME_SIZE);
  record.generation = 1;
  record.ended = g_strnfill ((gsize)record.spec.tasks, '.');
  if (record.spec.policy != RST_POLICY_GANG)
    record.intent = MIN (INTENT_BATCH, record.spec.tasks);
  job = job_create (sched, &record);
  job->caller_link = link;
  job->caller_id = message->id;
  job->caller_due = true;
  write_job (job);

done:
  g_string_free (problems, TRUE);
}

static void
job_read_free (struct job_read *read)
{
  rst_message_clear (&read->call);
  g_free (read);
}

static void
forward_to_owner (struct job_read *read, const struct rst_job_record *record)
{
  struct rst_scheduler *sched = read->sched;
  uint64_t link = sched_link_to (sched, record->owner);
  struct rst_message call = read->call;

  call.id = sched_next_id (sched);
  call.job_call.hops++;
  if (link == 0 || link == SCHED_SELF || read->call.job_call.hops > 0
      || !sched_send (sched, link, &call))
    {
      reply_refusal (sched, read->link, read->id, 503, "not-run", "owner-away",
                     "the job's owner cannot be reached");
      return;
    }
  sched_job_remember_forward (sched, call.id, link, read->link, read->id);
}

static void
answer_read (struct job_read *read, const struct rst_job_record *record)
{
  struct rst_scheduler *sched = read->sched;
  char *text;

  if (!rst_job_record_finished (record)
      && (sched_link_to (sched, record->owner) != 0
          || read->call.job_call.operation == RST_JOB_CANCEL))
    {
      forward_to_owner (read, record);
      return;
    }
  text = rst_job_record_describe (record, 0, NULL);
  reply_body (sched, read->link, read->id, 200, text);
  free (text);
}

static void
on_call_read (const struct rst_platform_reply *reply, void *data)
{
  struct job_read *read = data;
  struct rst_job_record record;

  if (reply->result == RST_PLATFORM_NOT_FOUND)
    reply_refusal (read->sched, read->link, read->id, 404, "not-run",
                   "unknown-job", "id: no such job of this team");
  else if (reply->result != RST_PLATFORM_OK || reply->kv_count != 1
           || rst_job_record_parse (reply->kvs[0].value,
                                    reply->kvs[0].revision, &record)
                  != RST_STATE_OK)
    reply_refusal (read->sched, read->link, read->id, 503, "not-run",
                   "store-away", "the job's record cannot be read");
  else
    {
      answer_read (read, &record);
      rst_job_record_clear (&record);
    }
  job_read_free (read);
}

static struct job_read *
job_read_create (struct rst_scheduler *sched, uint64_t link,
                 const struct rst_message *message)
{
  struct job_read *read = g_new0 (struct job_read, 1);

  read->sched = sched;
  read->link = link;
  read->id = message->id;
  rst_message_copy (message, &read->call);
  return read;
}

static void
get_or_cancel (struct rst_scheduler *sched, uint64_t link,
               const struct rst_message *message)
{
  const struct rst_job_call *call = &message->job_call;
  char *name = g_strdup_printf ("%s/%s", call->team, call->job);
  struct job *job = find_job (sched, name);
  char *key;

  if (job != NULL && job->accepted)
    {
      if (call->operation == RST_JOB_CANCEL
          && !rst_job_record_finished (&job->record) && !job->record.cancelled)
        {
          job->record.cancelled = true;
          job->dirty = true;
          job->write_next_at = 0;
          log_job (job, "Job is being cancelled.");
        }
      reply_job (job, link, message->id,
                 call->operation == RST_JOB_CANCEL ? 202 : 200);
    }
  else
    {
      key = g_strconcat (RST_KEY_JOBS, name, NULL);
      sched->counters.store_reads++;
      sched->platform->store_get (sched->platform_data, key, on_call_read,
                                  job_read_create (sched, link, message));
      g_free (key);
    }
  g_free (name);
}

static void
on_list_read (const struct rst_platform_reply *reply, void *data)
{
  struct job_read *read = data;
  const char *wanted = read->call.job_call.state;
  struct json_object *root;
  struct json_object *list;
  char *text;

  if (reply->result != RST_PLATFORM_OK)
    {
      reply_refusal (read->sched, read->link, read->id, 503, "not-run",
                     "store-away", "the jobs cannot be read");
      job_read_free (read);
      return;
    }
  root = json_object_new_object ();
  list = json_object_new_array ();
  for (int i = 0; i < reply->kv_count; i++)
    {
      struct rst_job_record record;
      const char *state;

      if (rst_job_record_parse (reply->kvs[i].value, reply->kvs[i].revision,
                                &record)
          != RST_STATE_OK)
        continue;
      state = rst_job_record_state (&record);
      if (wanted[0] == '\0' || strcmp (wanted, state) == 0)
        {
          text = rst_job_record_describe (&record, 0, NULL);
          json_object_array_add (list, rst_json_parse (text));
          free (text);
        }
      rst_job_record_clear (&record);
    }
  json_object_object_add (root, "jobs", list);
  text = rst_json_release (root);
  reply_body (read->sched, read->link, read->id, 200, text);
  free (text);
  job_read_free (read);
}

static void
list_jobs (struct rst_scheduler *sched, uint64_t link,
           const struct rst_message *message)
{
  char *prefix = g_strconcat (RST_KEY_JOBS, message->job_call.team, "/", NULL);

  sched->counters.store_reads++;
  sched->platform->store_list (sched->platform_data, prefix, on_list_read,
                               job_read_create (sched, link, message));
  g_free (prefix);
}

void
sched_job_call (struct rst_scheduler *sched, uint64_t link,
                const struct rst_message *message)
{
  switch (message->job_call.operation)
    {
    case RST_JOB_SUBMIT:
      submit (sched, link, message);
      break;
    case RST_JOB_GET:
    case RST_JOB_CANCEL:
      get_or_cancel (sched, link, message);
      break;
    case RST_JOB_LIST:
      list_jobs (sched, link, message);
      break;
    default:
      reply_refusal (sched, link, message->id, 400, "not-run", "bad-request",
                     "operation: unknown");
      break;
    }
}

/* ---- Calls passed on
 * --------------------------------------------------------------------------------
 */

struct job_forward
{
  uint64_t id;
  uint64_t to;
  uint64_t link;
  uint64_t caller_id;
  rst_ms sent_at;
};

void
sched_job_remember_forward (struct rst_scheduler *sched, uint64_t id,
                            uint64_t to, uint64_t link, uint64_t caller_id)
{
  struct job_forward *forward = g_new0 (struct job_forward, 1);

  forward->id = id;
  forward->to = to;
  forward->link = link;
  forward->caller_id = caller_id;
  g_hash_table_insert (sched->job_forwards, &forward->id, forward);
}

void
sched_job_reply (struct rst_scheduler *sched, uint64_t link,
                 const struct rst_message *message)
{
  const struct job_forward *forward
      = g_hash_table_lookup (sched->job_forwards, &message->id);
  struct rst_message reply = *message;

  if (forward == NULL || forward->to != link)
    return;
  reply.id = forward->caller_id;
  sched_send (sched, forward->link, &reply);
  g_hash_table_remove (sched->job_forwards, &message->id);
}

void
sched_job_status (struct rst_scheduler *sched, struct json_object *root)
{
  struct json_object *list = json_object_new_array ();
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, sched->jobs);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct job *job = value;
      struct json_object *item = json_object_new_object ();

      rst_json_set_text (item, "name", job->record.name);
      rst_json_set_text (item, "state", rst_job_record_state (&job->record));
      rst_json_set_number (item, "tasks", job->record.spec.tasks);
      rst_json_set_number (item, "waiting", job->waiting);
      rst_json_set_number (item, "asked", job->asked);
      rst_json_set_number (item, "held", job->held);
      rst_json_set_number (item, "running", job->running);
      rst_json_set_number (item, "looked_for", job->looked_for);
      rst_json_set_text (item, "waiting_for", job->waiting_for);
      json_object_array_add (list, item);
    }
  json_object_object_add (root, "jobs", list);
}
