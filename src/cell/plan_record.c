/* Encodes the records of the journal; plan_restore.c decodes them. */
#include <string.h>

#include "cell/plan_intent.h"
#include "cell/planner_private.h"

/** How long after a job's end its records still contain its steps, in
    milliseconds; by then every lease has expired. */
#define STEPS_RETENTION_MS 15000

static void
append_int32 (GByteArray *bytes, int number)
{
  guint32 big_endian = g_htonl ((guint32)number);

  g_byte_array_append (bytes, (const guint8 *)&big_endian, sizeof big_endian);
}

/* Packs the tasks of a step as bytes: for each a byte of flags, a byte that is
   0, and the last attempt as a 32-bit big-endian number.  Earlier versions had
   up to 16 failed runs here; pack_failures() packs them now.  Appends the keys
   of the instances to @places on which tasks may run that may run on one
   only. */
static void
pack_tasks (const struct rst_planner *planner, struct rst_pack *pack,
            const struct step *step, GByteArray *places)
{
  GByteArray *bytes = g_byte_array_new ();

  for (int i = 0; i < step->spec->count; i++)
    {
      struct task *task = &step->tasks[i];
      guint8 head[2] = { 0, 0 };
      guint32 place;
      enum rst_starts starts
          = rst_plan_choose_start_record (planner, task, &place);

      if (task->done)
        head[0] |= RST_TASK_DONE_FLAG;
      if (step->occurrence->job->has_started)
        head[0] |= RST_TASK_STARTED_FLAG;
      if (starts == RST_STARTS_NOWHERE)
        head[0] |= RST_TASK_NOWHERE_FLAG;
      else if (starts == RST_STARTS_ON_ONE)
        head[0] |= RST_TASK_ON_ONE_FLAG;
      g_byte_array_append (bytes, head, sizeof head);
      append_int32 (bytes, task->attempt);
      if (starts == RST_STARTS_ON_ONE)
        append_int32 (places, (int)place);
      task->recorded_attempt = task->attempt;
    }
  rst_pack_bytes (pack, bytes->data, bytes->len);
  g_byte_array_free (bytes, TRUE);
}

static bool
has_crashes (const struct task *task)
{
  return task->crashes != NULL;
}

static void
pack_crashes (struct rst_pack *pack, const struct task *task)
{
  const struct crash_history *crashes = task->crashes;

  rst_pack_array (pack, 7);
  rst_pack_int (pack, task->step->occurrence->number);
  rst_pack_int (pack, task->step->index);
  rst_pack_int (pack, task->index);
  rst_pack_int (pack, crashes->is_suspect ? 1 : 0);
  rst_pack_int (pack, crashes->is_probable ? 1 : 0);
  rst_pack_int (pack, crashes->survived_ms);
  rst_pack_array (pack, (size_t)crashes->count);
  for (int i = 0; i < crashes->count; i++)
    rst_pack_int (pack, crashes->attempts[i]);
}

static bool
has_failures (const struct task *task)
{
  return task->failures != NULL && !task->done;
}

static void
pack_failures (struct rst_pack *pack, const struct task *task)
{
  rst_pack_array (pack, 4);
  rst_pack_int (pack, task->step->occurrence->number);
  rst_pack_int (pack, task->step->index);
  rst_pack_int (pack, task->index);
  rst_failures_pack (task->failures, pack);
}

/* A kind of facts that the record holds of few tasks only. */
struct task_facts
{
  bool (*exist) (const struct task *task);
  void (*pack) (struct rst_pack *pack, const struct task *task);
};

static const struct task_facts crash_facts = { has_crashes, pack_crashes };
static const struct task_facts failure_facts = { has_failures, pack_failures };

/* Packs the facts of the tasks of a job; only counts these tasks when @pack is
   NULL. */
static size_t
pack_task_facts (struct rst_pack *pack, const struct job *job,
                 const struct task_facts *facts)
{
  size_t count = 0;

  for (guint k = 0; k < job->occurrences->len; k++)
    {
      const struct occurrence *occurrence
          = g_ptr_array_index (job->occurrences, k);

      for (int i = 0; i < job->desc->step_count; i++)
        for (int t = 0; t < job->desc->steps[i].count; t++)
          {
            const struct task *task = &occurrence->steps[i].tasks[t];

            if (!facts->exist (task))
              continue;
            if (pack != NULL)
              facts->pack (pack, task);
            count++;
          }
    }
  return count;
}

/* Packs the facts of all tasks; none of a job that has ended. */
static void
pack_all_task_facts (struct rst_pack *pack, const struct job *job,
                     const struct task_facts *facts)
{
  bool has_ended = rst_plan_job_has_ended (job);

  rst_pack_array (pack, has_ended ? 0 : pack_task_facts (NULL, job, facts));
  if (!has_ended)
    pack_task_facts (pack, job, facts);
}

static void
pack_progress (const struct rst_planner *planner, struct rst_pack *pack,
               const struct job *job)
{
  bool has_ended = rst_plan_job_has_ended (job);
  GByteArray *places = g_byte_array_new ();

  rst_pack_array (pack, 8);
  rst_pack_int (pack, job->state);
  rst_pack_int (pack, job->occurrences_left);
  rst_pack_int (pack, job->next_occurrence);
  rst_pack_array (pack, has_ended ? 0 : job->occurrences->len);
  for (guint k = 0; !has_ended && k < job->occurrences->len; k++)
    {
      const struct occurrence *occurrence
          = g_ptr_array_index (job->occurrences, k);

      rst_pack_array (pack, 1 + (size_t)job->desc->step_count);
      rst_pack_int (pack, occurrence->number);
      for (int i = 0; i < job->desc->step_count; i++)
        pack_tasks (planner, pack, &occurrence->steps[i], places);
    }
  rst_pack_int (pack, planner->epoch);
  pack_all_task_facts (pack, job, &crash_facts);
  pack_all_task_facts (pack, job, &failure_facts);
  rst_pack_bytes (pack, places->data, places->len);
  g_byte_array_free (places, TRUE);
}

/* Packs an ended job without its steps, of which only the state is still
   needed, or a note. */
static void
pack_ended_job (struct rst_pack *pack, const struct job *job)
{
  rst_pack_array (pack, 6);
  rst_pack_int (pack,
                job->is_note ? RST_RECORD_CANCELLED_ID : RST_RECORD_JOB_ENDED);
  rst_pack_text (pack, job->id);
  rst_pack_text (pack, job->queue->settings.name);
  rst_pack_text (pack, job->customer->settings.name);
  rst_pack_int (pack, job->submitted_ms);
  rst_pack_int (pack, job->state);
}

static void
pack_full_job (const struct rst_planner *planner, struct rst_pack *pack,
               const struct job *job)
{
  struct rst_jobdesc desc = *job->desc;
  char no_spec[] = "";
  bool is_returned = job->first_attempt_ms != job->submitted_ms;

  /* Nothing more of an ended job starts. */
  if (rst_plan_job_has_ended (job))
    desc.spec = no_spec;
  rst_pack_array (pack, is_returned ? 9 : 8);
  rst_pack_int (pack, RST_RECORD_JOB);
  rst_pack_text (pack, job->id);
  rst_pack_text (pack, job->queue->settings.name);
  rst_pack_text (pack, job->customer->settings.name);
  rst_pack_int (pack, job->submitted_ms);
  rst_pack_int (pack, job->over_share ? 1 : 0);
  rst_jobdesc_pack (pack, &desc);
  pack_progress (planner, pack, job);
  if (is_returned)
    rst_pack_int (pack, job->first_attempt_ms);
}

/* A job that was restored without its steps has none to write. */
static bool
can_omit_steps (const struct rst_planner *planner, const struct job *job)
{
  return job->desc->step_count == 0
         || (rst_plan_job_has_ended (job) && !rst_plan_job_has_runs (job)
             && planner->now - job->ended_at > STEPS_RETENTION_MS);
}

void
rst_plan_pack_job (const struct rst_planner *planner, struct rst_pack *pack,
                   struct job *job)
{
  job->start_recorded = job->has_started;
  if (job->full_record_segment > 0 && !job->needs_full_record)
    {
      rst_pack_array (pack, 3);
      rst_pack_int (pack, RST_RECORD_PROGRESS);
      rst_pack_text (pack, job->id);
      pack_progress (planner, pack, job);
    }
  else if (can_omit_steps (planner, job))
    pack_ended_job (pack, job);
  else
    pack_full_job (planner, pack, job);
}

void
rst_plan_pack_instance (struct rst_pack *pack, const struct instance *instance)
{
  rst_pack_array (pack, 4);
  rst_pack_int (pack, RST_RECORD_INSTANCE);
  rst_pack_text (pack, instance->entry.id);
  rst_pack_text (pack, instance->entry.address);
  rst_pack_text (pack, instance->entry.zone);
}

/* Packs a run.  @survived_ms is -1 if it is not known how long it ran;
   @has_started tells whether it is known to have started at all. */
static void
pack_run (struct rst_pack *pack, const char *task, int attempt,
          rst_ms survived_ms, bool on_trial, rst_ms lost_after_ms,
          bool has_started)
{
  rst_pack_array (pack, 6);
  rst_pack_text (pack, task);
  rst_pack_int (pack, attempt);
  rst_pack_int (pack, survived_ms);
  rst_pack_int (pack, on_trial ? 1 : 0);
  rst_pack_int (pack, lost_after_ms);
  rst_pack_int (pack, has_started ? 1 : 0);
}

/* Packs an unreachable instance with the runs that it may still have, the runs
   whose ends are in no segment up to this one, and the Unix time at which its
   lease expires. */
void
rst_plan_pack_unreachable_instance (const struct rst_planner *planner,
                                    struct rst_pack *pack,
                                    const struct instance *instance)
{
  GHashTableIter iter;
  gpointer value;

  rst_pack_array (pack, 6);
  rst_pack_int (pack, RST_RECORD_INSTANCE_UNREACHABLE);
  rst_pack_text (pack, instance->entry.id);
  rst_pack_text (pack, instance->entry.address);
  rst_pack_text (pack, instance->entry.zone);
  rst_pack_int (pack, planner->unix_ms
                          + (instance->lease_expires_at - planner->now));
  rst_pack_array (pack, g_hash_table_size (instance->runs)
                            + instance->unstored_ends->len);
  g_hash_table_iter_init (&iter, instance->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct run *run = value;

      pack_run (pack, run->name, run->attempt,
                run->has_started ? rst_plan_get_survived_ms (run) : -1,
                run->on_trial, rst_plan_get_lost_after_ms (run),
                run->has_started);
    }
  for (guint i = 0; i < instance->unstored_ends->len; i++)
    {
      const struct unstored_end *end
          = &g_array_index (instance->unstored_ends, struct unstored_end, i);

      pack_run (pack, end->task, end->attempt, -1, false, G_MAXINT64, true);
    }
}

void
rst_plan_pack_queue (struct rst_pack *pack, const struct queue *queue)
{
  rst_pack_array (pack, 10);
  rst_pack_int (pack, RST_RECORD_QUEUE);
  rst_pack_text (pack, queue->settings.name);
  rst_pack_text (pack, queue->settings.pool);
  rst_pack_int (pack, queue->settings.priority);
  rst_pack_int (pack, queue->settings.max_failures);
  rst_pack_int (pack, queue->settings.slack_permille);
  rst_pack_int (pack, queue->settings.target_ms);
  rst_pack_int (
      pack, queue->settings.needs_approval ? queue->settings.advice_ms : -1);
  rst_pack_int (pack, queue->settings.advice_per_instance_us);
  rst_pack_int (pack, queue->settings.advice_valid_ms);
}
