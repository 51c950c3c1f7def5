#include <string.h>

#include "cell/planner_private.h"

/* Each commit appends one segment, an array of records.  A later record
   replaces earlier ones about the same thing.  A segment whose records have
   all been replaced, or concern what may be forgotten, is removed. */

/** Time in which changes gather for one commit, in milliseconds. */
#define COMMIT_INTERVAL_MS 25

/** Segments kept before the oldest are rewritten. */
#define SEGMENTS_MAX 600

/** Segments removed with one commit; bounded by the store's entries. */
#define REMOVED_PER_COMMIT_MAX 16

/** Oldest segments whose jobs are written again together. */
#define REWRITTEN_SEGMENTS 16

/** Jobs are added to a segment below this size; a quarter of the largest
    value that the store takes, so that one large job more fits too. */
#define SEGMENT_BYTES_MAX 262144

/** An instance that was not reached for this long is recorded as out. */
#define UNREACHABLE_AFTER_MS 300

void
rst_plan_mark_dirty (struct rst_planner *planner, struct job *job)
{
  if (job->dirty)
    return;
  job->dirty = true;
  g_ptr_array_add (planner->dirty, job);
}

void
rst_plan_add_segment (struct rst_planner *planner, int64_t segment)
{
  int64_t *key = g_new (int64_t, 1);

  *key = segment;
  g_hash_table_add (planner->segments, key);
}

/* Whether an instance was lost a moment ago and its record has to stay. */
static gboolean
awaits_unreachable_record (gpointer key, gpointer value, gpointer userdata)
{
  const struct instance *instance = value;

  (void)key;
  (void)userdata;
  return instance->recorded && !instance->runs_known;
}

/* Its record goes with the oldest segments. */
static void
invalidate_instance_record (struct instance *instance)
{
  instance->recorded
      = !instance->runs_known && g_hash_table_size (instance->runs) > 0;
}

/* Whether old segments are to go now. */
static bool
should_trim (const struct rst_planner *planner)
{
  return g_hash_table_size (planner->segments) > SEGMENTS_MAX
         && g_hash_table_find (planner->instances, awaits_unreachable_record,
                               NULL)
                == NULL;
}

static int64_t
find_oldest_segment (const struct rst_planner *planner)
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
choose_removable (const struct rst_planner *planner, int64_t *remove)
{
  int64_t needed = planner->next_segment;
  int count = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, planner->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct job *job = value;

      if (job->full_record_segment > 0)
        needed = MIN (
            needed, MIN (job->full_record_segment, job->last_record_segment));
    }
  for (int64_t at = find_oldest_segment (planner);
       count < REMOVED_PER_COMMIT_MAX && at < needed; at++)
    if (g_hash_table_contains (planner->segments, &at))
      remove[count++] = at;
  return count;
}

/* Has the jobs of the oldest segments written again, or forgets them. */
static void
rewrite_oldest_jobs (struct rst_planner *planner)
{
  int64_t last = find_oldest_segment (planner) + REWRITTEN_SEGMENTS;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, planner->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct job *job = value;

      if (!job->stored || job->needs_full_record
          || MIN (job->full_record_segment, job->last_record_segment) >= last)
        continue;
      if (rst_plan_job_has_ended (job) && !job->dirty
          && !rst_plan_job_has_runs (job)
          && planner->now - job->ended_at >= planner->timing.status_ms)
        {
          g_hash_table_iter_remove (&iter);
          continue;
        }
      job->needs_full_record = true;
      rst_plan_mark_dirty (planner, job);
    }
}

/* Instances and queues are written again where old segments go. */
static void
invalidate_instances_and_queues (struct rst_planner *planner)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, planner->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    invalidate_instance_record (value);
  g_hash_table_iter_init (&iter, planner->queues);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct queue *)value)->recorded = false;
}

static bool
needs_instance_record (const struct instance *instance)
{
  return !instance->recorded && instance->registered && instance->runs_known;
}

/* A predecessor's instance that was never reached stays as it was. */
static bool
needs_unreachable_record (const struct rst_planner *planner,
                          const struct instance *instance)
{
  return instance->recorded && !instance->runs_known && !instance->inherited
         && planner->now - instance->runs_unknown_since > UNREACHABLE_AFTER_MS;
}

/* Writes the instances and queues that have no record yet. */
static int
pack_instances_and_queues (struct rst_planner *planner, struct rst_pack *pack)
{
  GHashTableIter iter;
  gpointer value;
  int count = 0;

  g_hash_table_iter_init (&iter, planner->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct instance *instance = value;

      if (needs_instance_record (instance))
        {
          if (pack != NULL)
            rst_plan_pack_instance (pack, instance);
          count++;
        }
      else if (needs_unreachable_record (planner, instance))
        {
          if (pack != NULL)
            rst_plan_pack_unreachable_instance (planner, pack, instance);
          count++;
        }
    }
  g_hash_table_iter_init (&iter, planner->queues);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct queue *queue = value;

      if (queue->recorded || queue->settings.pool == NULL)
        continue;
      if (pack != NULL)
        rst_plan_pack_queue (pack, queue);
      count++;
    }
  return count;
}

static void
mark_instances_and_queues (struct rst_planner *planner)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, planner->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct instance *instance = value;

      if (needs_instance_record (instance))
        instance->recording = true;
      else if (needs_unreachable_record (planner, instance))
        instance->recorded = false;
    }
  g_hash_table_iter_init (&iter, planner->queues);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct queue *queue = value;

      queue->recorded |= queue->settings.pool != NULL;
    }
}

/* Ends listed up to now may be forgotten with the commit under way. */
static void
mark_ends_committing (struct rst_planner *planner)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, planner->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct instance *instance = value;

      instance->committing_end = instance->last_seen_end;
    }
}

/* Writes changed jobs, the first ones first, as far as a segment holds them.
   Returns their number. */
static guint
pack_dirty_jobs (struct rst_planner *planner, struct rst_pack *pack)
{
  guint count = 0;

  while (count < planner->dirty->len && pack->buffer.size < SEGMENT_BYTES_MAX)
    {
      struct job *job = g_ptr_array_index (planner->dirty, count++);

      rst_plan_pack_job (planner, pack, job);
      job->dirty = false;
      job->committing_state = job->state;
      job->last_record_segment = planner->next_segment;
      if (job->full_record_segment == 0 || job->needs_full_record)
        job->full_record_segment = planner->next_segment;
      job->needs_full_record = false;
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
  int64_t remove[REMOVED_PER_COMMIT_MAX];
  struct rst_pack records;
  struct rst_pack pack;
  bool is_trimming = should_trim (planner);
  int removed;
  guint jobs;
  int others;

  if (is_trimming)
    rewrite_oldest_jobs (planner);
  rst_pack_init_sequence (&records);
  /* Jobs first: the record of an instance that is out names tasks, and the
     earlier records of their jobs may go with this commit. */
  jobs = pack_dirty_jobs (planner, &records);
  removed = is_trimming ? choose_removable (planner, remove) : 0;
  if (removed > 0)
    invalidate_instances_and_queues (planner);
  others = pack_instances_and_queues (planner, &records);
  mark_instances_and_queues (planner);
  rst_pack_init (&pack, jobs + (guint)others);
  rst_pack_append (&pack, &records);
  for (int i = 0; i < removed; i++)
    g_hash_table_remove (planner->segments, &remove[i]);
  rst_plan_add_segment (planner, planner->next_segment);
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
  bool has_changes;

  if (RST_CELL_FAULT (RST_CELL_FAULT_EARLY_ACK))
    {
      mark_ends_committing (planner);
      rst_plan_send_acks (planner);
    }
  if (planner->commit_busy
      || planner->now - planner->last_commit < COMMIT_INTERVAL_MS)
    return;
  has_changes = planner->dirty->len > 0
                || pack_instances_and_queues (planner, NULL) > 0;
  if (!has_changes && !planner->acks_pending)
    return;
  planner->last_commit = planner->now;
  if (has_changes)
    commit_segment (planner);
  /* Ends whose jobs wait for the next segment are not stored yet. */
  planner->acks_pending = planner->dirty->len > 0;
  if (!planner->acks_pending)
    mark_ends_committing (planner);
  /* Nothing of the ends has to last. */
  if (!has_changes)
    rst_plan_send_acks (planner);
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
confirm_instance_records (struct rst_planner *planner)
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
rst_planner_commit_done (struct rst_planner *planner)
{
  planner->commit_busy = false;
  planner->changed = true;
  rst_histogram_add (&planner->stats.commit_ms,
                     planner->now - planner->last_commit);
  confirm_instance_records (planner);
  for (guint i = 0; i < planner->committing->len; i++)
    {
      struct job *job = g_ptr_array_index (planner->committing, i);

      job->stored = true;
      job->committed_state = job->committing_state;
      rst_plan_reply_committed (planner, job);
    }
  g_ptr_array_set_size (planner->committing, 0);
  rst_plan_send_acks (planner);
}
