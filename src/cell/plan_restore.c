/* Restores the planner's state from the segments of the journal, which
   plan_journal.c describes; plan_record.c encodes their records. */
#include <string.h>

#include "cell/plan_intent.h"
#include "cell/planner_private.h"

/** Bytes of a task: flags, number of failed runs that follow, attempt. */
#define TASK_BYTES_MIN 6

static int
read_int32 (const guint8 *bytes, size_t length, size_t *at)
{
  guint32 big_endian = 0;

  if (*at + sizeof big_endian <= length)
    memcpy (&big_endian, bytes + *at, sizeof big_endian);
  *at += sizeof big_endian;
  return (int)g_ntohl (big_endian);
}

/* Restores where a task may run.  If that is one instance, its key is among
   the job's places. */
static void
restore_starts (struct task *task, guint8 flags)
{
  if (flags & RST_TASK_ON_ONE_FLAG)
    rst_plan_restore_intent (task, RST_STARTS_ON_ONE, 0);
  else if (flags & RST_TASK_NOWHERE_FLAG)
    rst_plan_restore_intent (task, RST_STARTS_NOWHERE, 0);
  else
    rst_plan_restore_intent (task, RST_STARTS_ANYWHERE, 0);
}

static void
restore_tasks (struct step *step, const guint8 *bytes, size_t length)
{
  size_t at = 0;

  for (int i = 0; i < step->spec->count && at + TASK_BYTES_MIN <= length; i++)
    {
      struct task *task = &step->tasks[i];
      guint8 flags = bytes[at];
      bool done = flags & RST_TASK_DONE_FLAG;
      bool has_started = flags & RST_TASK_STARTED_FLAG;
      int listed_failures = bytes[at + 1];
      int attempt;

      at += 2;
      attempt = read_int32 (bytes, length, &at);
      task->attempt = MAX (task->attempt, attempt);
      if (has_started)
        {
          rst_plan_job_mark_started (step->occurrence->job);
          step->occurrence->job->start_recorded = true;
        }
      /* Only in the records of earlier versions. */
      for (int k = 0; k < listed_failures; k++)
        rst_failures_add (&task->failures, read_int32 (bytes, length, &at));
      restore_starts (task, flags);
      if (!done || task->done)
        continue;
      task->done = true;
      step->tasks_left--;
      if (task->run == NULL)
        step->tasks_waiting--;
    }
}

static void
restore_occurrence (struct job *job, struct rst_reader *reader)
{
  struct rst_reader in = rst_reader_read_array (reader);
  int64_t number = rst_reader_read_int (&in);
  struct occurrence *occurrence = rst_plan_find_occurrence (job, number);

  if (occurrence == NULL)
    occurrence = rst_plan_occurrence_new (job, number);
  occurrence->steps_left = 0;
  for (int i = 0; i < job->desc->step_count; i++)
    {
      size_t length;
      const void *bytes = rst_reader_read_bytes (&in, &length);

      for (int t = 0; t < occurrence->steps[i].spec->count; t++)
        {
          rst_plan_restore_intent (&occurrence->steps[i].tasks[t],
                                   RST_STARTS_ANYWHERE, 0);
          rst_plan_clear_crashes (&occurrence->steps[i].tasks[t]);
        }
      restore_tasks (&occurrence->steps[i], bytes, length);
      if (occurrence->steps[i].tasks_left > 0)
        occurrence->steps_left++;
    }
  reader->bad |= in.bad;
}

/* Reads which task a row is about.  Returns NULL if there is no such task. */
static struct task *
read_task (struct job *job, struct rst_reader *row)
{
  struct occurrence *occurrence
      = rst_plan_find_occurrence (job, rst_reader_read_int (row));
  int64_t step = rst_reader_read_int (row);
  int64_t index = rst_reader_read_int (row);

  if (row->bad || occurrence == NULL || step < 0
      || step >= job->desc->step_count || index < 0
      || index >= job->desc->steps[step].count)
    return NULL;
  return &occurrence->steps[step].tasks[index];
}

/* Restores the failed runs of one task. */
static void
restore_failures (struct job *job, struct rst_reader *rows)
{
  struct rst_reader row = rst_reader_read_array (rows);
  struct task *task = read_task (job, &row);
  struct rst_failures *failures = rst_failures_read (&row);

  rows->bad |= row.bad;
  if (task == NULL)
    {
      rst_failures_destroy (failures);
      return;
    }
  if (RST_CELL_FAULT (RST_CELL_FAULT_CUT_FAILURES))
    rst_failures_cut (failures, 16);
  rst_failures_destroy (task->failures);
  task->failures = failures;
}

/* Restores the crashes counted under one task. */
static void
restore_crashes (struct job *job, struct rst_reader *rows)
{
  struct rst_reader row = rst_reader_read_array (rows);
  struct task *task = read_task (job, &row);
  bool is_suspect = rst_reader_read_int (&row) != 0;
  bool is_probable = rst_reader_read_int (&row) != 0;
  rst_ms survived_ms = rst_reader_read_int (&row);
  struct rst_reader attempts = rst_reader_read_array (&row);

  rows->bad |= row.bad;
  if (task == NULL || row.bad)
    return;
  rst_plan_restore_crashes (task, is_suspect, is_probable, survived_ms);
  for (uint32_t i = 0; i < attempts.count && i < RST_CRASHES_MAX; i++)
    task->crashes->attempts[task->crashes->count++]
        = (int)rst_reader_read_int (&attempts);
  rows->bad |= attempts.bad;
}

/* Restores the places of the tasks that may run on one instance only.  Without
   them these may run anywhere. */
static void
restore_places (struct job *job, const guint8 *bytes, size_t length)
{
  size_t at = 0;

  for (guint k = 0; k < job->occurrences->len; k++)
    {
      struct occurrence *occurrence = g_ptr_array_index (job->occurrences, k);

      for (int i = 0; i < job->desc->step_count; i++)
        for (int t = 0; t < job->desc->steps[i].count; t++)
          {
            struct task *task = &occurrence->steps[i].tasks[t];

            if (task->inherited_starts != RST_STARTS_ON_ONE)
              continue;
            if (at + sizeof (guint32) > length)
              rst_plan_restore_intent (task, RST_STARTS_ANYWHERE, 0);
            else
              rst_plan_restore_intent (
                  task, RST_STARTS_ON_ONE,
                  (guint32)read_int32 (bytes, length, &at));
          }
    }
}

static void
restore_progress (struct rst_planner *planner, struct job *job,
                  struct rst_reader *reader)
{
  struct rst_reader in = rst_reader_read_array (reader);
  struct rst_reader occurrences;
  struct rst_reader crashes;
  struct rst_reader failures;
  const void *places = NULL;
  size_t places_length = 0;

  job->state = (enum rst_job_state)rst_reader_read_int (&in);
  job->committed_state = job->state;
  job->occurrences_left = rst_reader_read_int (&in);
  job->next_occurrence = rst_reader_read_int (&in);
  occurrences = rst_reader_read_array (&in);
  for (uint32_t i = 0; i < occurrences.count; i++)
    restore_occurrence (job, &occurrences);
  job->record_epoch = rst_reader_read_int (&in);
  crashes = rst_reader_read_array (&in);
  for (uint32_t i = 0; i < crashes.count; i++)
    restore_crashes (job, &crashes);
  /* Absent from the records of earlier versions. */
  if (in.position < in.count)
    {
      failures = rst_reader_read_array (&in);
      for (uint32_t i = 0; i < failures.count; i++)
        restore_failures (job, &failures);
      in.bad |= failures.bad;
    }
  if (in.position < in.count)
    places = rst_reader_read_bytes (&in, &places_length);
  restore_places (job, places, places_length);
  job->unstored_occurrence = job->next_occurrence;
  if (rst_plan_job_has_ended (job))
    job->ended_at = planner->now;
  reader->bad |= in.bad || occurrences.bad || crashes.bad;
}

/* Returns the job with an id, or NULL.  A note ends when its id is used. */
static struct job *
find_restored_job (struct rst_planner *planner, const char *id)
{
  struct job *job = g_hash_table_lookup (planner->jobs, id);

  if (job == NULL || !job->is_note)
    return job;
  rst_plan_note_free (planner, job);
  return NULL;
}

static void
restore_job (struct rst_planner *planner, struct rst_reader *in,
             int64_t segment)
{
  char id[RST_JOB_ID_SIZE];
  char *queue;
  char *customer;
  int64_t submitted_ms;
  bool over_share;
  struct rst_jobdesc *desc;
  struct job *job;

  rst_reader_copy_text (in, id, sizeof id);
  queue = rst_reader_read_text (in);
  customer = rst_reader_read_text (in);
  submitted_ms = rst_reader_read_int (in);
  over_share = rst_reader_read_int (in) != 0;
  desc = rst_jobdesc_read (in);
  job = find_restored_job (planner, id);
  if (desc != NULL && job == NULL)
    job = rst_plan_job_new (planner, id, rst_plan_get_queue (planner, queue),
                            rst_plan_get_customer (planner, customer), desc);
  else
    rst_jobdesc_destroy (desc);
  if (desc != NULL)
    {
      job->submitted_ms = submitted_ms;
      job->first_attempt_ms = submitted_ms;
      job->over_share = over_share;
      job->stored = true;
      job->full_record_segment = segment;
      job->last_record_segment = segment;
      restore_progress (planner, job, in);
      /* Only in the records of jobs that had been rejected before. */
      if (in->position < in->count)
        rst_plan_set_first_attempt (job, rst_reader_read_int (in));
    }
  g_free (queue);
  g_free (customer);
}

/* Restores an ended job without its steps.  An instance that still lists a
   task of the job is told to stop it. */
static void
restore_ended_job (struct rst_planner *planner, struct rst_reader *in,
                   int64_t segment)
{
  char id[RST_JOB_ID_SIZE];
  char *queue;
  char *customer;
  int64_t submitted_ms;
  enum rst_job_state state;
  struct job *job;

  rst_reader_copy_text (in, id, sizeof id);
  queue = rst_reader_read_text (in);
  customer = rst_reader_read_text (in);
  submitted_ms = rst_reader_read_int (in);
  state = (enum rst_job_state)rst_reader_read_int (in);
  job = find_restored_job (planner, id);
  if (job == NULL && !in->bad)
    {
      struct rst_jobdesc *desc = rst_jobdesc_create (0);

      desc->spec = g_strdup ("");
      job = rst_plan_job_new (planner, id, rst_plan_get_queue (planner, queue),
                              rst_plan_get_customer (planner, customer), desc);
    }
  if (!in->bad)
    {
      job->submitted_ms = submitted_ms;
      job->stored = true;
      job->state = state;
      job->committed_state = state;
      job->ended_at = planner->now;
      job->full_record_segment = segment;
      job->last_record_segment = segment;
    }
  g_free (queue);
  g_free (customer);
}

/* Removes a job that the predecessor had forgotten.  Its records stay in the
   journal until their segments are removed. */
static void
remove_forgotten_job (struct rst_planner *planner, struct job *job)
{
  if (job->desc->repeats > 0)
    g_ptr_array_remove_fast (planner->repeating_jobs, job);
  else if (!job->has_started)
    job->queue->pending--;
  g_hash_table_remove (planner->jobs, job->id);
}

/* Restores the note that an id was cancelled.  Submissions that were sent
   before this planner's term count as sent before the cancel. */
static void
restore_note (struct rst_planner *planner, struct rst_reader *in,
              int64_t segment)
{
  char id[RST_JOB_ID_SIZE];
  char *queue;
  char *customer;
  struct job *job;

  rst_reader_copy_text (in, id, sizeof id);
  queue = rst_reader_read_text (in);
  customer = rst_reader_read_text (in);
  job = g_hash_table_lookup (planner->jobs, id);
  if (job != NULL && !job->is_note && rst_plan_job_has_ended (job)
      && !rst_plan_job_has_runs (job))
    {
      remove_forgotten_job (planner, job);
      job = NULL;
    }
  if (job == NULL && !in->bad)
    job = rst_plan_note_new (planner, id, rst_plan_get_queue (planner, queue),
                             rst_plan_get_customer (planner, customer));
  if (job != NULL && job->is_note)
    {
      job->ended_at = planner->now;
      job->stored = true;
      job->committed_state = job->state;
      job->full_record_segment = segment;
      job->last_record_segment = segment;
    }
  g_free (queue);
  g_free (customer);
}

static struct instance *
restore_instance_entry (struct rst_planner *planner, struct rst_reader *in,
                        int64_t segment)
{
  char id[RST_ID_SIZE];
  struct instance *instance;

  rst_reader_copy_text (in, id, sizeof id);
  if (in->bad)
    return NULL;
  instance = g_hash_table_lookup (planner->instances, id);
  if (instance == NULL)
    instance = rst_plan_instance_new (planner, id);
  rst_reader_copy_text (in, instance->entry.address,
                        sizeof instance->entry.address);
  rst_reader_copy_text (in, instance->entry.zone, sizeof instance->entry.zone);
  instance->unregistered_at = planner->now;
  instance->record_segment = segment;
  /* The predecessor's agents may have extended the lease since the record was
     written. */
  instance->former_lease_until = rst_plan_get_latest_lease_expiry (planner);
  instance->lease_expires_at = instance->former_lease_until;
  return instance;
}

/* Removes the runs that an earlier record of the instance named. */
static void
discard_runs (struct rst_planner *planner, struct instance *instance)
{
  GList *runs = g_hash_table_get_values (instance->runs);

  for (GList *item = runs; item != NULL; item = item->next)
    rst_plan_run_remove (planner, item->data);
  g_list_free (runs);
}

static void
restore_instance (struct rst_planner *planner, struct rst_reader *in,
                  int64_t segment)
{
  struct instance *instance = restore_instance_entry (planner, in, segment);

  if (instance == NULL)
    return;
  discard_runs (planner, instance);
  instance->record_names_runs = false;
  instance->recorded = true;
  rst_plan_set_inherited (planner, instance, true);
}

static void
restore_run (struct rst_planner *planner, struct instance *instance,
             struct rst_reader *rows)
{
  struct rst_reader row = rst_reader_read_array (rows);
  char *name = rst_reader_read_text (&row);
  int attempt = (int)rst_reader_read_int (&row);
  rst_ms survived_ms = rst_reader_read_int (&row);
  bool on_trial = rst_reader_read_int (&row) != 0;
  rst_ms lost_after_ms = rst_reader_read_int (&row);
  bool has_started = rst_reader_read_int (&row) != 0;
  struct task *task = rst_plan_find_task (planner, name);

  /* A later run of the task was started only after the earlier one had
     ended. */
  if (task != NULL && task->run != NULL && task->run->attempt < attempt)
    rst_plan_run_remove (planner, task->run);
  if (task != NULL && task->run == NULL && !row.bad)
    {
      struct run *run = rst_plan_run_new (planner, task, instance, attempt);

      run->from_journal = true;
      /* Its start order is not repeated, whether it was carried out or not. */
      run->state = RUN_RUNNING;
      run->has_started = survived_ms >= 0;
      run->survived_ms = MAX (survived_ms, 0);
      run->lost_after_ms = lost_after_ms;
      if (on_trial)
        rst_plan_begin_trial (run);
    }
  /* A job of which only orders were sent still waits. */
  if (task != NULL && !row.bad
      && (has_started || RST_CELL_FAULT (RST_CELL_FAULT_COUNT_ORDERS)))
    rst_plan_job_mark_started (task->step->occurrence->job);
  rows->bad |= row.bad;
  g_free (name);
}

static void
restore_unreachable_instance (struct rst_planner *planner,
                              struct rst_reader *in, int64_t segment)
{
  struct instance *instance = restore_instance_entry (planner, in, segment);
  struct rst_reader rows;

  /* When the lease expires unless it is extended. */
  rst_reader_read_int (in);
  rows = rst_reader_read_array (in);
  if (instance == NULL)
    return;
  discard_runs (planner, instance);
  instance->recorded = false;
  rst_plan_set_inherited (planner, instance, false);
  instance->record_names_runs = rows.count > 0;
  for (uint32_t i = 0; i < rows.count; i++)
    restore_run (planner, instance, &rows);
  in->bad |= rows.bad;
}

static void
restore_queue (struct rst_planner *planner, struct rst_reader *in,
               int64_t segment)
{
  char *name = rst_reader_read_text (in);
  struct queue *queue = rst_plan_get_queue (planner, name);

  g_free (queue->settings.pool);
  queue->settings.pool = rst_reader_read_text (in);
  queue->settings.priority = (int)rst_reader_read_int (in);
  queue->settings.max_failures = (int)rst_reader_read_int (in);
  queue->settings.slack_permille = rst_reader_read_int (in);
  queue->settings.target_ms = rst_reader_read_int (in);
  queue->settings.advice_ms = rst_reader_read_int (in);
  queue->settings.needs_approval = queue->settings.advice_ms >= 0;
  queue->settings.advice_per_instance_us = rst_reader_read_int (in);
  queue->settings.advice_valid_ms = rst_reader_read_int (in);
  queue->recorded = true;
  queue->record_segment = segment;
  g_free (name);
}

static void
restore_record (struct rst_planner *planner, struct rst_reader *reader,
                int64_t segment)
{
  struct rst_reader in = rst_reader_read_array (reader);
  int64_t kind = rst_reader_read_int (&in);
  char id[RST_JOB_ID_SIZE];
  struct job *job;

  switch (kind)
    {
    case RST_RECORD_JOB:
      restore_job (planner, &in, segment);
      break;
    case RST_RECORD_PROGRESS:
      rst_reader_copy_text (&in, id, sizeof id);
      job = g_hash_table_lookup (planner->jobs, id);
      if (job != NULL && !job->is_note)
        {
          job->last_record_segment = segment;
          restore_progress (planner, job, &in);
        }
      break;
    case RST_RECORD_JOB_ENDED:
      restore_ended_job (planner, &in, segment);
      break;
    case RST_RECORD_CANCELLED_ID:
      restore_note (planner, &in, segment);
      break;
    case RST_RECORD_INSTANCE:
      restore_instance (planner, &in, segment);
      break;
    case RST_RECORD_INSTANCE_UNREACHABLE:
      restore_unreachable_instance (planner, &in, segment);
      break;
    case RST_RECORD_QUEUE:
      restore_queue (planner, &in, segment);
      break;
    default:
      in.bad = true;
      break;
    }
  reader->bad |= in.bad;
}

bool
rst_planner_restore (struct rst_planner *planner, int64_t segment,
                     const void *data, size_t length)
{
  msgpack_unpacked unpacked;
  struct rst_reader reader;
  bool good = rst_reader_open (&reader, &unpacked, data, length);

  for (uint32_t i = 0; i < reader.count; i++)
    {
      restore_record (planner, &reader, segment);
      good &= !reader.bad;
      reader.bad = false;
    }
  msgpack_unpacked_destroy (&unpacked);
  rst_plan_add_segment (planner, segment, length);
  planner->next_segment = MAX (planner->next_segment, segment + 1);
  return good;
}

static void
skip_attempts (const struct rst_planner *planner, struct job *job,
               struct occurrence *occurrence)
{
  int64_t planners = RST_CELL_FAULT (RST_CELL_FAULT_REUSE_ATTEMPTS)
                         ? 0
                         : planner->epoch - job->record_epoch;

  for (int i = 0; i < job->desc->step_count; i++)
    for (int t = 0; t < job->desc->steps[i].count; t++)
      {
        struct task *task = &occurrence->steps[i].tasks[t];

        if (!task->done)
          task->attempt += (int)(planners * RST_UNRECORDED_ATTEMPTS_MAX);
        task->recorded_attempt = task->attempt;
      }
}

static void
resume_job (struct rst_planner *planner, struct job *job)
{
  bool has_ended = rst_plan_job_has_ended (job);

  if (has_ended && !job->has_started && job->desc->repeats == 0
      && !job->is_note)
    job->queue->pending--;
  if (has_ended)
    return;
  for (guint k = 0; k < job->occurrences->len; k++)
    {
      struct occurrence *occurrence = g_ptr_array_index (job->occurrences, k);

      skip_attempts (planner, job, occurrence);
      rst_plan_enqueue_steps (planner, occurrence);
      rst_plan_drop_young_intents (occurrence);
    }
}

void
rst_planner_finish_restore (struct rst_planner *planner)
{
  GHashTableIter iter;
  gpointer value;
  char jobs[16];
  char segments[16];

  planner->restored = true;
  g_hash_table_iter_init (&iter, planner->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    resume_job (planner, value);
  planner->pass_wanted = true;
  rst_plan_assign_instances (planner);
  g_snprintf (jobs, sizeof jobs, "%u", g_hash_table_size (planner->jobs));
  g_snprintf (segments, sizeof segments, "%u",
              g_hash_table_size (planner->segments));
  rst_info (RST_PLAN_LOG, "Journal is restored.", "jobs", jobs, "segments",
            segments);
}
