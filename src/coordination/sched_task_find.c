/* Replies to the owner of a job that searches for its tasks. */
#include "coordination/sched_task_private.h"

#include <string.h>

#define LOG_DOMAIN "task"

/* Records the highest generation of a job's owners: start requests of earlier
   owners are rejected from then on. */
static void
record_generation (struct rst_scheduler *sched, const char *job,
                   uint64_t generation)
{
  uint64_t *known = g_hash_table_lookup (sched->job_generations, job);

  if (known == NULL)
    {
      known = g_new0 (uint64_t, 1);
      g_hash_table_insert (sched->job_generations, g_strdup (job), known);
    }
  *known = MAX (*known, generation);
}

/* Whether each instance of the zone has an owner and this scheduler knows the
   tasks on all of its own.  Only an instance listed as a runner is known to
   run none. */
static bool
all_workers_adopted (const struct rst_scheduler *sched)
{
  const struct rst_zone *zone = sched_get_zone (sched);

  if (zone == NULL || !sched->list_received)
    return false;
  for (int i = 0; i < zone->owned_count; i++)
    if (zone->owned[i].owner[0] == '\0')
      return false;
  for (guint i = 0; i < sched->owned->len; i++)
    {
      const struct instance *instance = g_ptr_array_index (sched->owned, i);
      bool is_runner = instance->listed && instance->info.kind == RST_RUNNER;

      if (instance->phase == INSTANCE_ADOPTING && !is_runner)
        return false;
    }
  return true;
}

static bool
has_pending_start (struct rst_scheduler *sched, const char *job)
{
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, sched->tasks);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct run *run = value;

      if (run->starting && strcmp (run->info.job, job) == 0)
        return true;
    }
  return false;
}

void
sched_task_handle_find (struct rst_scheduler *sched, uint64_t link,
                        const struct rst_message *message)
{
  const char *job = message->task_event.job;
  struct rst_message reply = { 0 };
  GHashTableIter iterator;
  gpointer value;

  record_generation (sched, job, message->task_event.attempt);
  g_hash_table_iter_init (&iterator, sched->tasks);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct run *run = value;

      if (strcmp (run->info.job, job) != 0 || run->reserved)
        continue;
      sched_task_fill_event (&reply, RST_TASK_FOUND, run,
                             run->ended ? (uint64_t)run->info.result
                                        : RST_TASK_RUNNING);
      /* This owner may not have stored the end, so it is reported again. */
      run->end_acknowledged = false;
      sched_send (sched, link, &reply);
    }
  /* The last message names no task.  It says whether the reply is complete and
     on which revision of the ownership record it is based. */
  memset (&reply, 0, sizeof reply);
  reply.type = RST_TASK_FOUND;
  reply.id = message->id;
  reply.task_event.job = (char *)job;
  reply.task_event.index = UINT64_MAX;
  reply.task_event.attempt
      = sched_get_zone (sched) != NULL ? sched_get_zone (sched)->revision : 0;
  reply.task_event.result
      = all_workers_adopted (sched) && !has_pending_start (sched, job)
            ? RST_TASK_DONE
            : RST_TASK_RUNNING;
  sched_send (sched, link, &reply);
}
