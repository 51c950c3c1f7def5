#include <string.h>

#include "cell/planner_private.h"

/* Each commit appends one segment, an array of records.  A later record
   replaces earlier ones about the same thing.  A segment whose records have
   all been replaced, or concern what may be forgotten, is removed. */

/** Time in which changes gather for one commit, in milliseconds. */
#define GATHER_MS 25

/** Segments kept before the oldest are rewritten. */
#define SEGMENTS_MAX 600

/** Segments removed with one commit; bounded by the store's entries. */
#define REMOVE_MAX 16

/** An instance that was not reached for this long is recorded as out. */
#define OUT_AFTER_MS 300

/** Margin for clocks that differ between machines, in milliseconds. */
#define CLOCKS_DIFFER_MS 3000

enum record_kind
{
  RECORD_JOB = 1,
  RECORD_PROGRESS,
  RECORD_INSTANCE,
  RECORD_QUEUE,
  RECORD_INSTANCE_OUT,
};

void
rst_plan_mark (struct rst_planner *planner, struct job *job)
{
  if (job->dirty)
    return;
  job->dirty = true;
  g_ptr_array_add (planner->dirty, job);
}

static void
add_number (GByteArray *bytes, int number)
{
  guint8 pair[2] = { (guint8)(number >> 8), (guint8)(number & 255) };

  g_byte_array_append (bytes, pair, sizeof pair);
}

/* A task is its done flag and count of failed runs, its last attempt and
   the attempts that failed. */
static void
pack_tasks (struct rst_pack *pack, const struct step *step)
{
  GByteArray *bytes = g_byte_array_new ();

  for (int i = 0; i < step->spec->count; i++)
    {
      const struct task *task = &step->tasks[i];
      int failed = MIN (task->failed, RST_FAILED_MAX);
      guint8 head[2] = { task->done ? 1 : 0, (guint8)failed };

      g_byte_array_append (bytes, head, sizeof head);
      add_number (bytes, task->attempt);
      for (int k = 0; k < failed; k++)
        add_number (bytes, task->failed_attempts[k]);
    }
  rst_pack_bytes (pack, bytes->data, bytes->len);
  g_byte_array_free (bytes, TRUE);
}

static void
pack_progress (struct rst_pack *pack, const struct job *job)
{
  bool over = rst_plan_job_over (job);

  rst_pack_array (pack, 4);
  rst_pack_int (pack, job->state);
  rst_pack_int (pack, job->occurrences_left);
  rst_pack_int (pack, job->next_occurrence);
  rst_pack_array (pack, over ? 0 : job->occurrences->len);
  for (guint k = 0; !over && k < job->occurrences->len; k++)
    {
      const struct occurrence *occurrence
          = g_ptr_array_index (job->occurrences, k);

      rst_pack_array (pack, 1 + (size_t)job->desc->step_count);
      rst_pack_int (pack, occurrence->number);
      for (int i = 0; i < job->desc->step_count; i++)
        pack_tasks (pack, &occurrence->steps[i]);
    }
}

static void
pack_job (struct rst_pack *pack, const struct job *job)
{
  rst_pack_array (pack, 8);
  rst_pack_int (pack, RECORD_JOB);
  rst_pack_text (pack, job->id);
  rst_pack_text (pack, job->queue->set.name);
  rst_pack_text (pack, job->customer->set.name);
  rst_pack_int (pack, job->submitted_ms);
  rst_pack_int (pack, job->beyond_share ? 1 : 0);
  rst_jobdesc_pack (pack, job->desc);
  pack_progress (pack, job);
}

static void
pack_instance (struct rst_pack *pack, const struct instance *instance)
{
  rst_pack_array (pack, 4);
  rst_pack_int (pack, RECORD_INSTANCE);
  rst_pack_text (pack, instance->entry.id);
  rst_pack_text (pack, instance->entry.address);
  rst_pack_text (pack, instance->entry.zone);
}

/* An instance that can't be reached: what it may run, and until when. */
static void
pack_instance_out (const struct rst_planner *planner, struct rst_pack *pack,
                   const struct instance *instance)
{
  GHashTableIter iter;
  gpointer value;

  rst_pack_array (pack, 6);
  rst_pack_int (pack, RECORD_INSTANCE_OUT);
  rst_pack_text (pack, instance->entry.id);
  rst_pack_text (pack, instance->entry.address);
  rst_pack_text (pack, instance->entry.zone);
  rst_pack_int (pack, planner->unix_ms + (instance->lapse_at - planner->now));
  rst_pack_array (pack, g_hash_table_size (instance->runs));
  g_hash_table_iter_init (&iter, instance->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct run *run = value;

      rst_pack_array (pack, 2);
      rst_pack_text (pack, run->name);
      rst_pack_int (pack, run->attempt);
    }
}

static void
pack_queue (struct rst_pack *pack, const struct queue *queue)
{
  rst_pack_array (pack, 10);
  rst_pack_int (pack, RECORD_QUEUE);
  rst_pack_text (pack, queue->set.name);
  rst_pack_text (pack, queue->set.pool);
  rst_pack_int (pack, queue->set.priority);
  rst_pack_int (pack, queue->set.attempts);
  rst_pack_int (pack, queue->set.slack);
  rst_pack_int (pack, queue->set.target_ms);
  rst_pack_int (pack, queue->set.advised ? queue->set.advice_ms : -1);
  rst_pack_int (pack, queue->set.advice_each_us);
  rst_pack_int (pack, queue->set.advice_valid_ms);
}

static void
count_segment (struct rst_planner *planner, int64_t segment)
{
  int64_t *key = g_new (int64_t, 1);

  *key = segment;
  g_hash_table_add (planner->segments, key);
}

/* Whether an instance was lost a moment ago and its record has to stay. */
static gboolean
is_leaving (gpointer key, gpointer value, gpointer userdata)
{
  const struct instance *instance = value;

  (void)key;
  (void)userdata;
  return instance->recorded && !instance->known;
}

/* Its record goes with the oldest segments. */
static void
rewrite_instance (struct instance *instance)
{
  instance->recorded
      = !instance->known && g_hash_table_size (instance->runs) > 0;
}

static bool
has_runs (const struct job *job)
{
  for (guint k = 0; k < job->occurrences->len; k++)
    {
      const struct occurrence *occurrence
          = g_ptr_array_index (job->occurrences, k);

      for (int i = 0; i < job->desc->step_count; i++)
        for (int t = 0; t < job->desc->steps[i].count; t++)
          if (occurrence->steps[i].tasks[t].run != NULL)
            return true;
    }
  return false;
}

/* The oldest segments, whose jobs are written again with this commit. */
static int
choose_removed (struct rst_planner *planner, int64_t *remove)
{
  int64_t oldest = planner->next_segment;
  int count = 0;
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  if (g_hash_table_size (planner->segments) <= SEGMENTS_MAX
      || g_hash_table_find (planner->instances, is_leaving, NULL) != NULL)
    return 0;
  g_hash_table_iter_init (&iter, planner->segments);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    oldest = MIN (oldest, *(int64_t *)key);
  for (int64_t at = oldest;
       count < REMOVE_MAX && at < planner->next_segment - 1; at++)
    if (g_hash_table_contains (planner->segments, &at))
      remove[count++] = at;
  if (count == 0)
    return 0;
  g_hash_table_iter_init (&iter, planner->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct job *job = value;

      if (!job->stored
          || MIN (job->segment_full, job->segment_last) > remove[count - 1])
        continue;
      job->segment_full = 0;
      if (!rst_plan_job_over (job) || has_runs (job)
          || planner->now - job->ended_at < planner->bounds.status_ms)
        rst_plan_mark (planner, job);
      else
        g_hash_table_iter_remove (&iter);
    }
  g_hash_table_iter_init (&iter, planner->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    rewrite_instance (value);
  g_hash_table_iter_init (&iter, planner->queues);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct queue *)value)->recorded = false;
  return count;
}

static bool
wants_in_record (const struct instance *instance)
{
  return !instance->recorded && instance->present && instance->known;
}

/* A predecessor's instance that was never reached stays as it was. */
static bool
wants_out_record (const struct rst_planner *planner,
                  const struct instance *instance)
{
  return instance->recorded && !instance->known && !instance->inherited
         && planner->now - instance->unknown_at > OUT_AFTER_MS;
}

/* Writes the instances and queues that have no record yet. */
static int
pack_others (struct rst_planner *planner, struct rst_pack *pack)
{
  GHashTableIter iter;
  gpointer value;
  int count = 0;

  g_hash_table_iter_init (&iter, planner->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct instance *instance = value;

      if (wants_in_record (instance))
        {
          if (pack != NULL)
            pack_instance (pack, instance);
          count++;
        }
      else if (wants_out_record (planner, instance))
        {
          if (pack != NULL)
            pack_instance_out (planner, pack, instance);
          count++;
        }
    }
  g_hash_table_iter_init (&iter, planner->queues);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct queue *queue = value;

      if (queue->recorded || queue->set.pool == NULL)
        continue;
      if (pack != NULL)
        pack_queue (pack, queue);
      count++;
    }
  return count;
}

static void
mark_others (struct rst_planner *planner)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, planner->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct instance *instance = value;

      instance->committing = instance->seen;
      if (wants_in_record (instance))
        instance->recording = true;
      else if (wants_out_record (planner, instance))
        instance->recorded = false;
    }
  g_hash_table_iter_init (&iter, planner->queues);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct queue *queue = value;

      queue->recorded |= queue->set.pool != NULL;
    }
}

static void
pack_jobs (struct rst_planner *planner, struct rst_pack *pack)
{
  for (guint i = 0; i < planner->dirty->len; i++)
    {
      struct job *job = g_ptr_array_index (planner->dirty, i);

      job->dirty = false;
      job->in_commit = true;
      job->committing = job->state;
      job->segment_last = planner->next_segment;
      if (job->segment_full == 0)
        {
          job->segment_full = planner->next_segment;
          pack_job (pack, job);
        }
      else
        {
          rst_pack_array (pack, 3);
          rst_pack_int (pack, RECORD_PROGRESS);
          rst_pack_text (pack, job->id);
          pack_progress (pack, job);
        }
      g_ptr_array_add (planner->committing, job);
    }
  g_ptr_array_set_size (planner->dirty, 0);
}

/* Commits what changed, when it has gathered for a moment. */
void
rst_plan_commit (struct rst_planner *planner)
{
  int64_t remove[REMOVE_MAX];
  int removed;
  int others;
  struct rst_pack pack;

  if (RST_CELL_FAULT (RST_CELL_FAULT_EARLY_ACK))
    {
      mark_others (planner);
      rst_plan_acks (planner);
    }
  if (planner->commit_busy || planner->now - planner->last_commit < GATHER_MS)
    return;
  others = pack_others (planner, NULL);
  if (planner->dirty->len == 0 && others == 0 && !planner->acks_wait)
    return;
  planner->last_commit = planner->now;
  planner->acks_wait = false;
  if (planner->dirty->len == 0 && others == 0)
    {
      /* Nothing of these ends has to last. */
      mark_others (planner);
      rst_plan_acks (planner);
      return;
    }
  removed = choose_removed (planner, remove);
  others = pack_others (planner, NULL);
  rst_pack_init (&pack, planner->dirty->len + (size_t)others);
  pack_others (planner, &pack);
  pack_jobs (planner, &pack);
  mark_others (planner);
  for (int i = 0; i < removed; i++)
    g_hash_table_remove (planner->segments, &remove[i]);
  count_segment (planner, planner->next_segment);
  planner->commit_busy = true;
  planner->ops.commit (planner->ops.userdata, planner->next_segment,
                       pack.buffer.data, pack.buffer.size, remove, removed);
  planner->next_segment++;
  rst_pack_clear (&pack);
}

static void
set_recorded (struct rst_planner *planner)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, planner->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct instance *instance = value;

      instance->recorded |= instance->recording;
      instance->recording = false;
    }
}

void
rst_planner_committed (struct rst_planner *planner)
{
  planner->commit_busy = false;
  planner->changed = true;
  set_recorded (planner);
  for (guint i = 0; i < planner->committing->len; i++)
    {
      struct job *job = g_ptr_array_index (planner->committing, i);

      job->in_commit = false;
      job->stored = true;
      job->shown = job->committing;
      rst_plan_answer (planner, job);
    }
  g_ptr_array_set_size (planner->committing, 0);
  rst_plan_acks (planner);
}

static int
read_number (const guint8 *bytes, size_t length, size_t *at)
{
  int number = 0;

  if (*at + 2 <= length)
    number = bytes[*at] << 8 | bytes[*at + 1];
  *at += 2;
  return number;
}

static void
restore_tasks (struct step *step, const guint8 *bytes, size_t length)
{
  size_t at = 0;

  for (int i = 0; i < step->spec->count && at + 4 <= length; i++)
    {
      struct task *task = &step->tasks[i];
      bool done = bytes[at] & 1;
      int attempt;

      task->failed = MIN (bytes[at + 1], RST_FAILED_MAX);
      at += 2;
      attempt = read_number (bytes, length, &at);
      task->attempt = MAX (task->attempt, attempt);
      if (task->attempt > 0)
        rst_plan_job_begun (step->occurrence->job);
      for (int k = 0; k < task->failed; k++)
        task->failed_attempts[k] = (uint16_t)read_number (bytes, length, &at);
      if (!done || task->done)
        continue;
      task->done = true;
      step->left--;
      if (task->run == NULL)
        step->waiting--;
    }
}

static void
restore_occurrence (struct rst_planner *planner, struct job *job,
                    struct rst_reader *reader)
{
  struct rst_reader in = rst_reader_array (reader);
  int64_t number = rst_reader_int (&in);
  struct occurrence *occurrence = rst_plan_occurrence (job, number);

  if (occurrence == NULL)
    occurrence = rst_plan_occurrence_new (planner, job, number);
  occurrence->steps_left = 0;
  for (int i = 0; i < job->desc->step_count; i++)
    {
      size_t length;
      const void *bytes = rst_reader_bytes (&in, &length);

      restore_tasks (&occurrence->steps[i], bytes, length);
      if (occurrence->steps[i].left > 0)
        occurrence->steps_left++;
      for (int t = 0; t < occurrence->steps[i].spec->count; t++)
        occurrence->steps[i].tasks[t].unsure = true;
    }
  reader->bad |= in.bad;
}

static void
restore_progress (struct rst_planner *planner, struct job *job,
                  struct rst_reader *reader)
{
  struct rst_reader in = rst_reader_array (reader);
  struct rst_reader occurrences;

  job->state = (enum rst_job_state)rst_reader_int (&in);
  job->shown = job->state;
  job->occurrences_left = rst_reader_int (&in);
  job->next_occurrence = rst_reader_int (&in);
  occurrences = rst_reader_array (&in);
  for (uint32_t i = 0; i < occurrences.count; i++)
    restore_occurrence (planner, job, &occurrences);
  if (rst_plan_job_over (job))
    job->ended_at = planner->now;
  reader->bad |= in.bad || occurrences.bad;
}

static void
restore_job (struct rst_planner *planner, struct rst_reader *in,
             int64_t segment)
{
  char id[RST_JOB_ID_SIZE];
  char *queue;
  char *customer;
  int64_t submitted_ms;
  bool beyond;
  struct rst_jobdesc *desc;
  struct job *job;

  rst_reader_copy (in, id, sizeof id);
  queue = rst_reader_text (in);
  customer = rst_reader_text (in);
  submitted_ms = rst_reader_int (in);
  beyond = rst_reader_int (in) != 0;
  desc = rst_jobdesc_read (in);
  job = g_hash_table_lookup (planner->jobs, id);
  if (desc != NULL && job == NULL)
    job = rst_plan_job_new (planner, id, rst_plan_queue (planner, queue),
                            rst_plan_customer (planner, customer), desc);
  else
    rst_jobdesc_destroy (desc);
  if (desc != NULL)
    {
      job->submitted_ms = submitted_ms;
      job->beyond_share = beyond;
      job->stored = true;
      job->segment_full = segment;
      job->segment_last = segment;
      restore_progress (planner, job, in);
    }
  g_free (queue);
  g_free (customer);
}

static struct instance *
restore_place (struct rst_planner *planner, struct rst_reader *in)
{
  char id[RST_ID_SIZE];
  struct instance *instance;

  rst_reader_copy (in, id, sizeof id);
  if (in->bad)
    return NULL;
  instance = g_hash_table_lookup (planner->instances, id);
  if (instance == NULL)
    instance = rst_plan_instance_new (planner, id);
  rst_reader_copy (in, instance->entry.address,
                   sizeof instance->entry.address);
  rst_reader_copy (in, instance->entry.zone, sizeof instance->entry.zone);
  instance->gone_at = planner->now;
  return instance;
}

/* What an earlier record said of its runs no longer counts. */
static void
drop_runs (struct rst_planner *planner, struct instance *instance)
{
  GList *runs = g_hash_table_get_values (instance->runs);

  for (GList *item = runs; item != NULL; item = item->next)
    {
      struct task *task = ((struct run *)item->data)->task;

      rst_plan_run_drop (planner, item->data);
      task->unsure = true;
    }
  g_list_free (runs);
}

static void
restore_instance (struct rst_planner *planner, struct rst_reader *in)
{
  struct instance *instance = restore_place (planner, in);

  if (instance == NULL)
    return;
  drop_runs (planner, instance);
  instance->recorded = true;
  instance->inherited = true;
  planner->unsure_left = true;
}

static void
restore_run (struct rst_planner *planner, struct instance *instance,
             struct rst_reader *rows)
{
  struct rst_reader row = rst_reader_array (rows);
  char *name = rst_reader_text (&row);
  int attempt = (int)rst_reader_int (&row);
  struct task *task = rst_plan_find_task (planner, name);

  if (task != NULL && task->run == NULL && !row.bad)
    {
      struct run *run = rst_plan_run_new (planner, task, instance, attempt);

      run->assumed = true;
      rst_plan_run_begun (run);
      /* It may have ended unseen, and the task may run elsewhere. */
      task->unsure = true;
    }
  rows->bad |= row.bad;
  g_free (name);
}

static void
restore_instance_out (struct rst_planner *planner, struct rst_reader *in)
{
  struct instance *instance = restore_place (planner, in);
  int64_t left = rst_reader_int (in) - planner->unix_ms;
  struct rst_reader rows = rst_reader_array (in);

  if (instance == NULL)
    return;
  drop_runs (planner, instance);
  instance->recorded = false;
  instance->inherited = false;
  instance->lapse_at
      = MIN (instance->lapse_at,
             planner->now + MAX (left, 0) * 102 / 100 + CLOCKS_DIFFER_MS);
  for (uint32_t i = 0; i < rows.count; i++)
    restore_run (planner, instance, &rows);
  in->bad |= rows.bad;
}

static void
restore_queue (struct rst_planner *planner, struct rst_reader *in)
{
  char *name = rst_reader_text (in);
  struct queue *queue = rst_plan_queue (planner, name);

  g_free (queue->set.pool);
  queue->set.pool = rst_reader_text (in);
  queue->set.priority = (int)rst_reader_int (in);
  queue->set.attempts = (int)rst_reader_int (in);
  queue->set.slack = rst_reader_int (in);
  queue->set.target_ms = rst_reader_int (in);
  queue->set.advice_ms = rst_reader_int (in);
  queue->set.advised = queue->set.advice_ms >= 0;
  queue->set.advice_each_us = rst_reader_int (in);
  queue->set.advice_valid_ms = rst_reader_int (in);
  queue->recorded = true;
  g_free (name);
}

static void
restore_record (struct rst_planner *planner, struct rst_reader *reader,
                int64_t segment)
{
  struct rst_reader in = rst_reader_array (reader);
  int64_t kind = rst_reader_int (&in);
  char id[RST_JOB_ID_SIZE];
  struct job *job;

  switch (kind)
    {
    case RECORD_JOB:
      restore_job (planner, &in, segment);
      break;
    case RECORD_PROGRESS:
      rst_reader_copy (&in, id, sizeof id);
      job = g_hash_table_lookup (planner->jobs, id);
      if (job != NULL)
        {
          job->segment_last = segment;
          restore_progress (planner, job, &in);
        }
      break;
    case RECORD_INSTANCE:
      restore_instance (planner, &in);
      break;
    case RECORD_INSTANCE_OUT:
      restore_instance_out (planner, &in);
      break;
    case RECORD_QUEUE:
      restore_queue (planner, &in);
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

  for (uint32_t i = 0; good && i < reader.count; i++)
    {
      restore_record (planner, &reader, segment);
      good = !reader.bad;
    }
  msgpack_unpacked_destroy (&unpacked);
  count_segment (planner, segment);
  planner->next_segment = MAX (planner->next_segment, segment + 1);
  return good;
}

static void
settle_job (struct rst_planner *planner, struct job *job)
{
  bool over = rst_plan_job_over (job);

  if (over && !job->begun && job->desc->repeats == 0)
    job->queue->pending--;
  if (over)
    return;
  for (guint k = 0; k < job->occurrences->len; k++)
    rst_plan_steps_ready (planner, g_ptr_array_index (job->occurrences, k));
}

void
rst_planner_restored (struct rst_planner *planner)
{
  GHashTableIter iter;
  gpointer value;
  char jobs[16];
  char segments[16];

  planner->restored = true;
  g_hash_table_iter_init (&iter, planner->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    settle_job (planner, value);
  planner->changed = true;
  rst_plan_assign (planner);
  g_snprintf (jobs, sizeof jobs, "%u", g_hash_table_size (planner->jobs));
  g_snprintf (segments, sizeof segments, "%u",
              g_hash_table_size (planner->segments));
  rst_info (RST_PLAN_LOG, "Journal was read.", "jobs", jobs, "segments",
            segments);
}
