/* Jobs, their occurrences and their steps. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "cell/plan_locality.h"
#include "cell/planner_private.h"

/** How long before it is due an occurrence of a repeating job begins, in
    milliseconds; it is in the store when it is due. */
#define OCCURRENCE_LEAD_MS 2000

struct queue *
rst_plan_get_queue (struct rst_planner *planner, const char *name)
{
  struct queue *queue = g_hash_table_lookup (planner->queues, name);

  if (queue != NULL)
    return queue;
  queue = g_new0 (struct queue, 1);
  queue->settings.name = g_strdup (name);
  queue->approval_rate = 0.5;
  g_hash_table_insert (planner->queues, queue->settings.name, queue);
  return queue;
}

struct customer *
rst_plan_get_customer (struct rst_planner *planner, const char *name)
{
  struct customer *customer = g_hash_table_lookup (planner->customers, name);

  if (customer != NULL)
    return customer;
  customer = g_new0 (struct customer, 1);
  customer->settings.name = g_strdup (name);
  customer->settings.weight = 1;
  g_hash_table_insert (planner->customers, customer->settings.name, customer);
  return customer;
}

static void
occurrence_free (gpointer data)
{
  struct occurrence *occurrence = data;
  const struct rst_jobdesc *desc = occurrence->job->desc;

  for (int i = 0; i < desc->step_count; i++)
    {
      rst_plan_forget_requests (&occurrence->steps[i]);
      for (int t = 0; t < desc->steps[i].count; t++)
        {
          g_free (occurrence->steps[i].tasks[t].crashes);
          rst_failures_destroy (occurrence->steps[i].tasks[t].failures);
          g_free (occurrence->steps[i].tasks[t].checkpoint);
        }
      g_free (occurrence->steps[i].checkpoint);
      g_free (occurrence->steps[i].tasks);
      g_hash_table_destroy (occurrence->steps[i].approvals);
      rst_plan_free_speed_runs (&occurrence->steps[i]);
      if (occurrence->steps[i].held_instances != NULL)
        g_array_free (occurrence->steps[i].held_instances, TRUE);
    }
  g_free (occurrence->steps);
  g_free (occurrence);
}

void
rst_plan_job_free (gpointer data)
{
  struct job *job = data;

  g_ptr_array_free (job->occurrences, TRUE);
  g_array_free (job->pending_replies, TRUE);
  rst_jobdesc_destroy (job->desc);
  g_free (job);
}

struct job *
rst_plan_job_new (struct rst_planner *planner, const char *id,
                  struct queue *queue, struct customer *customer,
                  struct rst_jobdesc *desc)
{
  struct job *job = g_new0 (struct job, 1);

  g_strlcpy (job->id, id, sizeof job->id);
  job->queue = queue;
  job->customer = customer;
  job->desc = desc;
  job->occurrences = g_ptr_array_new_with_free_func (occurrence_free);
  job->occurrences_left = MAX (desc->repeats, 1);
  job->submitted_ms = planner->unix_ms;
  job->first_attempt_ms = planner->unix_ms;
  job->pending_replies
      = g_array_new (FALSE, TRUE, sizeof (struct pending_reply));
  if (desc->repeats == 0)
    queue->pending++;
  else
    g_ptr_array_add (planner->repeating_jobs, job);
  g_hash_table_insert (planner->jobs, job->id, job);
  return job;
}

bool
rst_plan_job_has_ended (const struct job *job)
{
  return job->state == RST_JOB_COMPLETED || job->state == RST_JOB_FAILED
         || job->state == RST_JOB_CANCELLED;
}

struct occurrence *
rst_plan_find_occurrence (struct job *job, int64_t number)
{
  /* They begin in the order of their numbers. */
  if (number >= 0 && number < job->occurrences->len)
    {
      struct occurrence *occurrence
          = g_ptr_array_index (job->occurrences, number);

      if (occurrence->number == number)
        return occurrence;
    }
  for (guint i = 0; i < job->occurrences->len; i++)
    {
      struct occurrence *occurrence = g_ptr_array_index (job->occurrences, i);

      if (occurrence->number == number)
        return occurrence;
    }
  return NULL;
}

static void
approval_free (gpointer data)
{
  struct approval *approval = data;

  g_free (approval->ticket);
  g_free (approval);
}

static void
init_step (struct occurrence *occurrence, int index)
{
  struct step *step = &occurrence->steps[index];

  step->occurrence = occurrence;
  step->spec = &occurrence->job->desc->steps[index];
  step->index = index;
  step->tasks_left = step->spec->count;
  step->tasks_waiting = step->spec->count;
  step->tasks = g_new0 (struct task, step->spec->count);
  step->approvals = g_hash_table_new_full (NULL, NULL, NULL, approval_free);
  for (int i = 0; i < step->spec->count; i++)
    {
      step->tasks[i].step = step;
      step->tasks[i].index = i;
    }
}

static int64_t
get_due_ms (const struct job *job, int64_t number)
{
  return job->desc->repeats > 0
             ? job->desc->start_at_ms + number * job->desc->period_ms
             : job->first_attempt_ms;
}

void
rst_plan_set_first_attempt (struct job *job, int64_t first_attempt_ms)
{
  job->first_attempt_ms = MIN (first_attempt_ms, job->submitted_ms);
  for (guint i = 0; i < job->occurrences->len; i++)
    {
      struct occurrence *occurrence = g_ptr_array_index (job->occurrences, i);

      occurrence->due_ms = get_due_ms (job, occurrence->number);
    }
}

struct occurrence *
rst_plan_occurrence_new (struct job *job, int64_t number)
{
  struct occurrence *occurrence = g_new0 (struct occurrence, 1);

  occurrence->job = job;
  occurrence->number = number;
  occurrence->due_ms = get_due_ms (job, number);
  occurrence->steps = g_new0 (struct step, job->desc->step_count);
  occurrence->steps_left = job->desc->step_count;
  for (int i = 0; i < job->desc->step_count; i++)
    init_step (occurrence, i);
  g_ptr_array_add (job->occurrences, occurrence);
  job->next_occurrence = MAX (job->next_occurrence, number + 1);
  return occurrence;
}

static bool
step_is_ready (const struct step *step)
{
  for (int i = 0; i < step->spec->after_count
                  && !RST_CELL_FAULT (RST_CELL_FAULT_IGNORE_STEP_ORDER);
       i++)
    if (step->occurrence->steps[step->spec->after[i]].tasks_left > 0)
      return false;
  return step->tasks_waiting > 0;
}

void
rst_plan_enqueue_step (struct rst_planner *planner, struct step *step)
{
  planner->pass_wanted = true;
  /* During the restore, a later record may say that the job has ended. */
  if (!planner->restored || step->enqueued || !step_is_ready (step)
      || !rst_plan_occurrence_is_due (step->occurrence))
    return;
  step->enqueued = true;
  if (step->ready_at == 0)
    step->ready_at = planner->now;
  rst_plan_wait_begin (planner, step);
  rst_plan_set_objective (step);
  g_ptr_array_add (planner->waiting_steps, step);
}

void
rst_plan_enqueue_steps (struct rst_planner *planner,
                        struct occurrence *occurrence)
{
  for (int i = 0; i < occurrence->job->desc->step_count; i++)
    rst_plan_enqueue_step (planner, &occurrence->steps[i]);
}

bool
rst_plan_occurrence_is_due (const struct occurrence *occurrence)
{
  return occurrence->job->desc->repeats == 0
         || occurrence->number < occurrence->job->next_due_occurrence;
}

bool
rst_plan_occurrence_is_stored (const struct occurrence *occurrence)
{
  return occurrence->number < occurrence->job->unstored_occurrence;
}

/* Begins the occurrences of a job that are due soon, and enqueues the steps of
   those that have become due. */
static void
begin_occurrences (struct rst_planner *planner, struct job *job)
{
  while (job->next_occurrence < job->desc->repeats
         && get_due_ms (job, job->next_occurrence)
                <= planner->unix_ms + OCCURRENCE_LEAD_MS)
    {
      rst_plan_occurrence_new (job, job->next_occurrence);
      rst_plan_mark_dirty (planner, job);
    }
  while (job->next_due_occurrence < job->next_occurrence
         && get_due_ms (job, job->next_due_occurrence) <= planner->unix_ms)
    {
      struct occurrence *occurrence
          = rst_plan_find_occurrence (job, job->next_due_occurrence++);

      if (occurrence != NULL)
        rst_plan_enqueue_steps (planner, occurrence);
    }
}

void
rst_plan_begin_job (struct rst_planner *planner, struct job *job)
{
  if (job->desc->repeats == 0)
    rst_plan_enqueue_steps (planner, rst_plan_occurrence_new (job, 0));
  else
    begin_occurrences (planner, job);
}

void
rst_plan_begin_due_occurrences (struct rst_planner *planner)
{
  for (guint i = planner->repeating_jobs->len; i-- > 0;)
    {
      struct job *job = g_ptr_array_index (planner->repeating_jobs, i);

      if (!rst_plan_job_has_ended (job))
        begin_occurrences (planner, job);
      if (rst_plan_job_has_ended (job)
          || job->next_due_occurrence >= job->desc->repeats)
        g_ptr_array_remove_index_fast (planner->repeating_jobs, i);
    }
}

/* Takes a job's steps off the waiting steps and stops its runs. */
static void
stop_steps (struct rst_planner *planner, struct job *job)
{
  for (guint k = 0; k < job->occurrences->len; k++)
    {
      struct occurrence *occurrence = g_ptr_array_index (job->occurrences, k);

      for (int i = 0; i < job->desc->step_count; i++)
        {
          struct step *step = &occurrence->steps[i];

          if (step->enqueued)
            g_ptr_array_remove_fast (planner->waiting_steps, step);
          step->enqueued = false;
          rst_plan_wait_end (planner, step);
          rst_plan_end_rack_step (planner, step);
          for (int t = 0; t < step->spec->count; t++)
            if (step->tasks[t].run != NULL)
              rst_plan_stop_run (planner, step->tasks[t].run);
        }
    }
}

static void
count_ended_job (struct rst_planner *planner, const struct job *job)
{
  if (job->state == RST_JOB_FAILED)
    planner->stats.failed++;
  else if (job->state == RST_JOB_CANCELLED)
    planner->stats.cancelled++;
  else
    {
      planner->stats.completed++;
      rst_histogram_add (&job->queue->job_ms,
                         planner->unix_ms - job->submitted_ms);
    }
}

void
rst_plan_end_job (struct rst_planner *planner, struct job *job,
                  enum rst_job_state state)
{
  if (rst_plan_job_has_ended (job))
    return;
  job->state = state;
  job->ended_at = planner->now;
  if (!job->has_started && job->desc->repeats == 0)
    job->queue->pending--;
  if (!RST_CELL_FAULT (RST_CELL_FAULT_IGNORE_CANCEL))
    stop_steps (planner, job);
  rst_plan_forget_job_checkpoints (planner, job);
  rst_plan_mark_dirty (planner, job);
  count_ended_job (planner, job);
  rst_info (RST_PLAN_LOG, "Job ended.", "job", job->id, "state",
            state == RST_JOB_COMPLETED ? "completed"
            : state == RST_JOB_FAILED  ? "failed"
                                       : "cancelled");
}

void
rst_plan_finish_step (struct rst_planner *planner, struct step *step)
{
  struct occurrence *occurrence = step->occurrence;
  struct job *job = occurrence->job;

  occurrence->steps_left--;
  if (occurrence->steps_left > 0
      && !RST_CELL_FAULT (RST_CELL_FAULT_EARLY_COMPLETION))
    {
      rst_plan_enqueue_steps (planner, occurrence);
      return;
    }
  job->occurrences_left--;
  if (job->occurrences_left == 0)
    rst_plan_end_job (planner, job, RST_JOB_COMPLETED);
}

/* The name of a task is JOB.OCCURRENCE.STEP.INDEX. */
struct task *
rst_plan_find_task (struct rst_planner *planner, const char *name)
{
  char id[RST_JOB_ID_SIZE];
  const char *dot = strchr (name, '.');
  struct occurrence *occurrence;
  struct job *job;
  char *end;
  long long number;
  long step;
  long index;

  if (dot == NULL || dot - name != RST_JOB_ID_SIZE - 1)
    return NULL;
  g_strlcpy (id, name, sizeof id);
  job = g_hash_table_lookup (planner->jobs, id);
  if (job == NULL)
    return NULL;
  number = strtoll (dot + 1, &end, 10);
  step = *end == '.' ? strtol (end + 1, &end, 10) : -1;
  index = *end == '.' ? strtol (end + 1, &end, 10) : -1;
  if (step < 0 || step >= job->desc->step_count || index < 0
      || index >= job->desc->steps[step].count)
    return NULL;
  occurrence = rst_plan_find_occurrence (job, number);
  return occurrence != NULL ? &occurrence->steps[step].tasks[index] : NULL;
}
