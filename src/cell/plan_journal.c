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
  guint32 ordered = g_htonl ((guint32)number);

  g_byte_array_append (bytes, (const guint8 *)&ordered, sizeof ordered);
}

/* A task is its flags and count of failed runs, its last attempt and
   the attempts that failed. */
static void
pack_tasks (struct rst_pack *pack, const struct step *step)
{
  GByteArray *bytes = g_byte_array_new ();

  for (int i = 0; i < step->spec->count; i++)
    {
      const struct task *task = &step->tasks[i];
      int failed = MIN (task->failed, RST_FAILED_MAX);
      guint8 head[2] = { 0, (guint8)failed };

      if (task->done)
        head[0] |= RST_TASK_DONE_FLAG;
      if (step->occurrence->job->begun)
        head[0] |= RST_TASK_BEGUN_FLAG;
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
  rst_pack_int (pack, RST_RECORD_JOB);
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
  rst_pack_int (pack, RST_RECORD_INSTANCE);
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
  rst_pack_int (pack, RST_RECORD_INSTANCE_OUT);
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
  rst_pack_int (pack, RST_RECORD_QUEUE);
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

void
rst_plan_count_segment (struct rst_planner *planner, int64_t segment)
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
          rst_pack_int (pack, RST_RECORD_PROGRESS);
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
  /* Jobs first: the record of an instance that is out names tasks, and the
     earlier records of their jobs may go with this commit. */
  pack_jobs (planner, &pack);
  pack_others (planner, &pack);
  mark_others (planner);
  for (int i = 0; i < removed; i++)
    g_hash_table_remove (planner->segments, &remove[i]);
  rst_plan_count_segment (planner, planner->next_segment);
  planner->commit_busy = true;
  planner->stats.commits++;
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
  rst_histogram_add (&planner->stats.commit_ms,
                     planner->now - planner->last_commit);
  set_recorded (planner);
  for (guint i = 0; i < planner->committing->len; i++)
    {
      struct job *job = g_ptr_array_index (planner->committing, i);

      job->stored = true;
      job->shown = job->committing;
      rst_plan_answer (planner, job);
    }
  g_ptr_array_set_size (planner->committing, 0);
  rst_plan_acks (planner);
}
