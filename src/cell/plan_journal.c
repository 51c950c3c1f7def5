#include <string.h>

#include "cell/plan_intent.h"
#include "cell/planner_private.h"

/* Each commit appends one segment, an array of records, to the journal.  A
   record replaces the earlier records of the same job, instance or queue.  A
   segment is removed once all its records are replaced or no longer
   needed. */

/** Shortest time between two commits, in milliseconds. */
#define COMMIT_INTERVAL_MS 25

/** Number of segments above which the oldest ones are rewritten. */
#define SEGMENTS_MAX 600

/** Size of the journal above which the oldest segments are rewritten: a
    successor reads all of it before it serves callers.  The size that is
   needed counts twice, so that what is rewritten is no more than what is new.
 */
#define JOURNAL_BYTES_MIN 262144
#define JOURNAL_BYTES_FACTOR 2

/** Shortest time between two commits that rewrite, in milliseconds. */
#define TRIM_INTERVAL_MS 100

/** How often the needed size is estimated, in milliseconds. */
#define ESTIMATE_INTERVAL_MS 1000

/** About the size of a record without texts of callers, and of a step and of
    a task in it, in bytes. */
#define RECORD_BYTES 128
#define STEP_BYTES 64
#define TASK_BYTES 10

/** Largest number of segments that a commit removes; the store limits the
    entries of a transaction. */
#define REMOVED_PER_COMMIT_MAX 16

/** Number of oldest segments whose jobs are rewritten together. */
#define REWRITTEN_SEGMENTS 16

/** Size from which no further job is added to a segment: what the link carries
    in COMMIT_LINK_MS, as base64, so that sending a commit does not keep the
    planner record from being renewed.  At most a quarter of the largest value
    that the store accepts, so that the last job, which may be large, still
    fits. */
#define SEGMENT_BYTES_MIN 16384
#define SEGMENT_BYTES_MAX 262144
#define COMMIT_LINK_MS 100

/** How long no agent reports on an instance before it is recorded as
    unreachable, in milliseconds. */
#define UNREACHABLE_AFTER_MS 300

void
rst_plan_mark_dirty (struct rst_planner *planner, struct job *job)
{
  if (job->dirty)
    return;
  job->dirty = true;
  g_ptr_array_add (planner->dirty_jobs, job);
}

bool
rst_plan_job_is_recorded (const struct rst_planner *planner,
                          const struct job *job)
{
  return job->stored && !job->dirty
         && (!planner->commit_busy
             || job->last_record_segment != planner->next_segment - 1);
}

void
rst_plan_add_segment (struct rst_planner *planner, int64_t number,
                      size_t bytes)
{
  struct segment *segment = g_new (struct segment, 1);

  segment->number = number;
  segment->bytes = bytes;
  g_hash_table_replace (planner->segments, &segment->number, segment);
  planner->journal_bytes += bytes;
}

static void
remove_segment (struct rst_planner *planner, int64_t number)
{
  const struct segment *segment
      = g_hash_table_lookup (planner->segments, &number);

  planner->journal_bytes -= segment->bytes;
  g_hash_table_remove (planner->segments, &number);
}

/* Whether an instance does not answer but is not recorded as unreachable yet,
   so that its earlier record is still needed. */
static gboolean
awaits_unreachable_record (gpointer key, gpointer value, gpointer userdata)
{
  const struct instance *instance = value;

  (void)key;
  (void)userdata;
  return instance->recorded && !instance->runs_known;
}

/* The segment with the record of the instance is about to be removed, so it is
   recorded again.  An instance that does not answer and may have runs stays
   marked as recorded, because needs_unreachable_record() selects only such
   instances. */
static void
invalidate_instance_record (struct instance *instance)
{
  instance->record_segment = 0;
  instance->recorded
      = !instance->runs_known && rst_plan_instance_may_have_runs (instance);
}

static bool
can_be_forgotten (const struct rst_planner *planner, const struct job *job)
{
  if (job->is_note)
    return !job->dirty && rst_plan_note_is_outdated (planner, job);
  return rst_plan_job_has_ended (job) && !job->dirty
         && !rst_plan_job_has_runs (job)
         && planner->now - job->ended_at >= planner->timing.status_ms;
}

/* Estimates the size of a job's record if it were written now. */
static size_t
estimate_job_bytes (const struct job *job)
{
  size_t bytes = RECORD_BYTES;

  if (rst_plan_job_has_ended (job))
    return bytes;
  bytes += strlen (job->desc->spec);
  for (int i = 0; i < job->desc->step_count; i++)
    bytes += STEP_BYTES + (size_t)job->desc->steps[i].count * TASK_BYTES;
  return bytes;
}

static void
estimate_needed_bytes (struct rst_planner *planner)
{
  GHashTableIter iter;
  gpointer value;

  planner->needed_bytes_at = planner->now;
  planner->needed_bytes
      = g_hash_table_size (planner->instances) * (size_t)RECORD_BYTES;
  g_hash_table_iter_init (&iter, planner->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (!can_be_forgotten (planner, value))
      planner->needed_bytes += estimate_job_bytes (value);
}

static bool
journal_is_large (struct rst_planner *planner)
{
  if (g_hash_table_size (planner->segments) > SEGMENTS_MAX)
    return true;
  if (planner->journal_bytes <= JOURNAL_BYTES_MIN)
    return false;
  if (planner->now - planner->needed_bytes_at >= ESTIMATE_INTERVAL_MS)
    estimate_needed_bytes (planner);
  return planner->journal_bytes > planner->needed_bytes * JOURNAL_BYTES_FACTOR;
}

/* Whether the next commit should remove old segments. */
static bool
should_trim (struct rst_planner *planner)
{
  return planner->now >= planner->next_trim_at && journal_is_large (planner)
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

void
rst_planner_get_journal_range (const struct rst_planner *planner,
                               int64_t *first, int64_t *last)
{
  *first = find_oldest_segment (planner);
  *last = planner->next_segment - 1;
}

/* Chooses the segments that hold no job's record any more, oldest first.
   Returns their number. */
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

/* Marks the jobs of the oldest segments to be rewritten, and forgets those
   that ended long ago. */
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
      if (can_be_forgotten (planner, job))
        {
          if (job->is_note)
            planner->note_count--;
          g_hash_table_iter_remove (&iter);
          continue;
        }
      job->needs_full_record = true;
      rst_plan_mark_dirty (planner, job);
    }
}

/* Marks the instances and queues to be rewritten whose records are in segments
   up to @last, which are removed.  A record that names runs is rewritten in
   any case: a successor needs the jobs of the runs before it, and their
   records may have been rewritten behind it. */
static void
invalidate_instances_and_queues (struct rst_planner *planner, int64_t last)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, planner->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct instance *instance = value;

      if (instance->record_segment > 0
          && (instance->record_segment <= last || instance->record_names_runs))
        invalidate_instance_record (instance);
    }
  g_hash_table_iter_init (&iter, planner->queues);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct queue *queue = value;

      if (queue->record_segment <= last)
        queue->recorded = false;
    }
}

/* An instance without an entry takes no starts, but a successor has to wait
   for the runs that it has, and for those of an earlier planner that it has
   not listed yet. */
static bool
needs_instance_record (const struct instance *instance)
{
  return !instance->recorded && instance->runs_known
         && (instance->registered || instance->inherited
             || rst_plan_instance_may_have_runs (instance));
}

/* Whether the journal still names runs of an instance whose lease has expired
   since.  A successor would wait for them. */
static bool
has_outdated_runs (const struct instance *instance)
{
  return instance->record_names_runs && !instance->runs_known
         && !rst_plan_instance_may_have_runs (instance);
}

/* An inherited instance that has not answered yet keeps its record.  An
   instance that was reported not to answer is recorded at once; one whose
   agent was lost may soon be reported on by the next agent. */
static bool
needs_unreachable_record (const struct rst_planner *planner,
                          const struct instance *instance)
{
  if (has_outdated_runs (instance))
    return true;
  return instance->recorded && !instance->runs_known
         && (!instance->inherited
             || RST_CELL_FAULT (RST_CELL_FAULT_EARLY_UNREACHABLE))
         && (instance->lease_basis == LEASE_BASIS_REPORT
             || instance->record_segment == 0
             || planner->now - instance->runs_unknown_since
                    > UNREACHABLE_AFTER_MS);
}

/* Packs the instances and queues that need a record and returns their number;
   only counts them when @pack is NULL. */
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
mark_instances_and_queues_committing (struct rst_planner *planner)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, planner->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct instance *instance = value;

      if (needs_instance_record (instance))
        {
          instance->recording = true;
          instance->record_names_runs = false;
          instance->record_segment = planner->next_segment;
        }
      else if (needs_unreachable_record (planner, instance))
        {
          instance->recorded = false;
          instance->record_names_runs
              = rst_plan_instance_may_have_runs (instance);
          instance->record_segment = planner->next_segment;
        }
    }
  g_hash_table_iter_init (&iter, planner->queues);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct queue *queue = value;

      if (queue->recorded || queue->settings.pool == NULL)
        continue;
      queue->recorded = true;
      queue->record_segment = planner->next_segment;
    }
}

static size_t
get_segment_bytes (const struct rst_planner *planner)
{
  int64_t bytes = planner->timing.link_bytes_per_ms * COMMIT_LINK_MS * 3 / 4;

  if (planner->timing.link_bytes_per_ms == 0)
    return SEGMENT_BYTES_MAX;
  return (size_t)CLAMP (bytes, SEGMENT_BYTES_MIN, SEGMENT_BYTES_MAX);
}

/* Packs changed jobs, in the order in which they changed, until the segment is
   full.  Returns their number. */
static guint
pack_dirty_jobs (struct rst_planner *planner, struct rst_pack *pack)
{
  size_t bytes_max = get_segment_bytes (planner);
  guint count = 0;

  while (count < planner->dirty_jobs->len && pack->buffer.size < bytes_max)
    {
      struct job *job = g_ptr_array_index (planner->dirty_jobs, count++);

      rst_plan_pack_job (planner, pack, job);
      job->dirty = false;
      job->committing_state = job->state;
      job->committing_occurrence = job->next_occurrence;
      job->last_record_segment = planner->next_segment;
      if (job->full_record_segment == 0 || job->needs_full_record)
        job->full_record_segment = planner->next_segment;
      job->needs_full_record = false;
      g_ptr_array_add (planner->committing_jobs, job);
    }
  if (count > 0)
    g_ptr_array_remove_range (planner->dirty_jobs, 0, count);
  return count;
}

/* Commits the next segment and removes segments that are no longer needed. */
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
    {
      planner->next_trim_at = planner->now + TRIM_INTERVAL_MS;
      rewrite_oldest_jobs (planner);
    }
  rst_pack_init_sequence (&records);
  /* Jobs come first: the record of an unreachable instance names tasks, and
     this commit may remove the earlier records of their jobs. */
  jobs = pack_dirty_jobs (planner, &records);
  rst_plan_discard_stored_ends (planner);
  removed = is_trimming ? choose_removable (planner, remove) : 0;
  if (removed > 0)
    invalidate_instances_and_queues (planner, remove[removed - 1]);
  others = pack_instances_and_queues (planner, &records);
  mark_instances_and_queues_committing (planner);
  rst_pack_init (&pack, jobs + (guint)others);
  rst_pack_append (&pack, &records);
  for (int i = 0; i < removed; i++)
    remove_segment (planner, remove[i]);
  rst_plan_add_segment (planner, planner->next_segment, pack.buffer.size);
  planner->commit_busy = true;
  planner->stats.commits++;
  planner->next_segment++;
  planner->ops.commit (planner->ops.userdata, planner->next_segment - 1,
                       pack.buffer.data, pack.buffer.size, remove, removed);
  rst_pack_clear (&records);
  rst_pack_clear (&pack);
}

/* Commits all changes, unless a commit is pending or was made just now. */
void
rst_plan_commit (struct rst_planner *planner)
{
  bool has_changes;

  if (RST_CELL_FAULT (RST_CELL_FAULT_EARLY_ACK))
    {
      rst_plan_mark_ends_committing (planner);
      rst_plan_send_acks (planner);
    }
  if (planner->commit_busy
      || planner->now - planner->last_commit_at < COMMIT_INTERVAL_MS)
    return;
  has_changes = planner->dirty_jobs->len > 0
                || pack_instances_and_queues (planner, NULL) > 0;
  if (!has_changes && !planner->acks_pending)
    return;
  planner->last_commit_at = planner->now;
  if (has_changes)
    commit_segment (planner);
  planner->acks_pending = !rst_plan_mark_ends_committing (planner);
  /* No commit is needed before these ends are acknowledged. */
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
  planner->pass_wanted = true;
  rst_histogram_add (&planner->stats.commit_ms,
                     planner->now - planner->last_commit_at);
  confirm_instance_records (planner);
  for (guint i = 0; i < planner->committing_jobs->len; i++)
    {
      struct job *job = g_ptr_array_index (planner->committing_jobs, i);

      job->stored = true;
      job->committed_state = job->committing_state;
      job->unstored_occurrence = job->committing_occurrence;
      rst_plan_confirm_intents (planner, job);
      rst_plan_reply_committed (planner, job);
    }
  g_ptr_array_set_size (planner->committing_jobs, 0);
  rst_plan_send_acks (planner);
}
