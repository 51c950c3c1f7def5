/* Forms of the journal's records; plan_restore.c reads them. */
#include <string.h>

#include "cell/planner_private.h"

/** How long the steps of a job that is over are written along, in
    milliseconds; above the time after which every lease has run out. */
#define STEPS_KEEP_MS 15000

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

/* What is left to know of a job that is over and whose runs have ended. */
static void
pack_job_over (struct rst_pack *pack, const struct job *job)
{
  rst_pack_array (pack, 6);
  rst_pack_int (pack, RST_RECORD_JOB_OVER);
  rst_pack_text (pack, job->id);
  rst_pack_text (pack, job->queue->set.name);
  rst_pack_text (pack, job->customer->set.name);
  rst_pack_int (pack, job->submitted_ms);
  rst_pack_int (pack, job->state);
}

static void
pack_job_whole (struct rst_pack *pack, const struct job *job)
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

/* A job that was read without its steps has none to write. */
static bool
may_leave_steps_out (const struct rst_planner *planner, const struct job *job)
{
  return job->desc->step_count == 0
         || (rst_plan_job_over (job) && !rst_plan_job_has_runs (job)
             && planner->now - job->ended_at > STEPS_KEEP_MS);
}

void
rst_plan_pack_job (const struct rst_planner *planner, struct rst_pack *pack,
                   const struct job *job)
{
  if (job->segment_full > 0 && !job->rewrite)
    {
      rst_pack_array (pack, 3);
      rst_pack_int (pack, RST_RECORD_PROGRESS);
      rst_pack_text (pack, job->id);
      pack_progress (pack, job);
    }
  else if (may_leave_steps_out (planner, job))
    pack_job_over (pack, job);
  else
    pack_job_whole (pack, job);
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

/* An instance that can't be reached: what it may run, and until when. */
void
rst_plan_pack_instance_out (const struct rst_planner *planner,
                            struct rst_pack *pack,
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

void
rst_plan_pack_queue (struct rst_pack *pack, const struct queue *queue)
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
