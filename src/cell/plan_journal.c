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

/** Oldest segments whose jobs are written again together. */
#define REWRITE_SEGMENTS 16

/** Jobs are added to a segment below this size; a quarter of the largest
    value that the store takes, so that one large job more fits too. */
#define SEGMENT_BYTES_MAX 262144

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

/* Whether old segments are to go now. */
static bool
wants_trim (const struct rst_planner *planner)
{
  return g_hash_table_size (planner->segments) > SEGMENTS_MAX
         && g_hash_table_find (planner->instances, is_leaving, NULL) == NULL;
}

static int64_t
oldest_segment (const struct rst_planner *planner)
{
  int64_t oldest = planner->next_segment;
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, planner->segments);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    oldest = MIN (oldest, *(int64_t *)key);
  return oldest;
}

/* Segments that no job's records stand in any more, oldest first. */
static int
choose_removed (const struct rst_planner *planner, int64_t *remove)
{
  int64_t needed = planner->next_segment;
  int count = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, planner->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct job *job = value;

      if (job->segment_full > 0)
        needed = MIN (needed, MIN (job->segment_full, job->segment_last));
    }
  for (int64_t at = oldest_segment (planner);
       count < REMOVE_MAX && at < needed; at++)
    if (g_hash_table_contains (planner->segments, &at))
      remove[count++] = at;
  return count;
}

/* Has the jobs of the oldest segments written again, or forgets them. */
static void
rewrite_oldest (struct rst_planner *planner)
{
  int64_t last = oldest_segment (planner) + REWRITE_SEGMENTS;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, planner->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct job *job = value;

      if (!job->stored || job->rewrite
          || MIN (job->segment_full, job->segment_last) >= last)
        continue;
      if (rst_plan_job_over (job) && !job->dirty
          && !rst_plan_job_has_runs (job)
          && planner->now - job->ended_at >= planner->bounds.status_ms)
        {
          g_hash_table_iter_remove (&iter);
          continue;
        }
      job->rewrite = true;
      rst_plan_mark (planner, job);
    }
}

/* Instances and queues are written again where old segments go. */
static void
rewrite_others (struct rst_planner *planner)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, planner->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    rewrite_instance (value);
  g_hash_table_iter_init (&iter, planner->queues);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct queue *)value)->recorded = false;
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
            rst_plan_pack_instance (pack, instance);
          count++;
        }
      else if (wants_out_record (planner, instance))
        {
          if (pack != NULL)
            rst_plan_pack_instance_out (planner, pack, instance);
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
        rst_plan_pack_queue (pack, queue);
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

/* Ends listed up to now may be forgotten with the commit under way. */
static void
note_ends (struct rst_planner *planner)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, planner->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct instance *instance = value;

      instance->committing = instance->seen;
    }
}

/* Writes changed jobs, the first ones first, as far as a segment holds them.
   Returns their number. */
static guint
pack_jobs (struct rst_planner *planner, struct rst_pack *pack)
{
  guint count = 0;

  while (count < planner->dirty->len && pack->buffer.size < SEGMENT_BYTES_MAX)
    {
      struct job *job = g_ptr_array_index (planner->dirty, count++);

      rst_plan_pack_job (planner, pack, job);
      job->dirty = false;
      job->committing = job->state;
      job->segment_last = planner->next_segment;
      if (job->segment_full == 0 || job->rewrite)
        job->segment_full = planner->next_segment;
      job->rewrite = false;
      g_ptr_array_add (planner->committing, job);
    }
  if (count > 0)
    g_ptr_array_remove_range (planner->dirty, 0, count);
  return count;
}

/* Hands the next segment over, with the old ones that it makes needless. */
static void
commit_segment (struct rst_planner *planner)
{
  int64_t remove[REMOVE_MAX];
  struct rst_pack records;
  struct rst_pack pack;
  bool trims = wants_trim (planner);
  int removed;
  guint jobs;
  int others;

  if (trims)
    rewrite_oldest (planner);
  rst_pack_open (&records);
  /* Jobs first: the record of an instance that is out names tasks, and the
     earlier records of their jobs may go with this commit. */
  jobs = pack_jobs (planner, &records);
  removed = trims ? choose_removed (planner, remove) : 0;
  if (removed > 0)
    rewrite_others (planner);
  others = pack_others (planner, &records);
  mark_others (planner);
  rst_pack_init (&pack, jobs + (guint)others);
  rst_pack_join (&pack, &records);
  for (int i = 0; i < removed; i++)
    g_hash_table_remove (planner->segments, &remove[i]);
  rst_plan_count_segment (planner, planner->next_segment);
  planner->commit_busy = true;
  planner->stats.commits++;
  planner->ops.commit (planner->ops.userdata, planner->next_segment,
                       pack.buffer.data, pack.buffer.size, remove, removed);
  planner->next_segment++;
  rst_pack_clear (&records);
  rst_pack_clear (&pack);
}

/* Commits what changed, when it has gathered for a moment. */
void
rst_plan_commit (struct rst_planner *planner)
{
  bool any;

  if (RST_CELL_FAULT (RST_CELL_FAULT_EARLY_ACK))
    {
      note_ends (planner);
      rst_plan_acks (planner);
    }
  if (planner->commit_busy || planner->now - planner->last_commit < GATHER_MS)
    return;
  any = planner->dirty->len > 0 || pack_others (planner, NULL) > 0;
  if (!any && !planner->acks_wait)
    return;
  planner->last_commit = planner->now;
  if (any)
    commit_segment (planner);
  /* Ends whose jobs wait for the next segment are not stored yet. */
  planner->acks_wait = planner->dirty->len > 0;
  if (!planner->acks_wait)
    note_ends (planner);
  /* Nothing of the ends has to last. */
  if (!any)
    rst_plan_acks (planner);
}

bool
rst_plan_job_has_runs (const struct job *job)
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
