/* What a new owner of jobs learns of their tasks, and jobs without an owner.
 */
#include "coordination/sched_job_private.h"

#include <stdlib.h>
#include <string.h>

#define LOG_PREFIX "job"

/** Time between two questions to schedulers about a job's tasks. */
#define FIND_EVERY_MS 700

/** Time between two searches for jobs without an owner. */
#define ORPHANS_EVERY_MS 30000

void
sched_job_find_anew (struct job *job)
{
  for (int64_t i = 0; i < job->record.spec.tasks; i++)
    job->tasks[i].found = false;
  if (job->found_at != NULL)
    g_hash_table_destroy (job->found_at);
  job->found_at
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  job->find_id = 0;
  job->find_next_at = 0;
}

struct ask_all
{
  struct job *job;
  bool complete;
  bool consistent;
};

/* Answers that rest on different versions of the record may both have missed
   an instance that changed hands between them. */
static void
check_revisions (const struct rst_zone *zone, struct ask_all *ask)
{
  const uint64_t *first = NULL;

  for (int i = 0; i < zone->member_count; i++)
    {
      const uint64_t *revision = g_hash_table_lookup (
          ask->job->found_at, zone->members[i].incarnation);

      if (revision == NULL)
        continue;
      if (first != NULL && *first != *revision)
        ask->consistent = false;
      first = revision;
    }
  if (first != NULL && *first != zone->revision)
    ask->consistent = false;
}

/* An instance without an owner may run tasks that no member knows of. */
static bool
all_owned (const struct rst_zone *zone)
{
  for (int i = 0; i < zone->owned_count; i++)
    if (rst_zone_find_member (zone, zone->owned[i].owner) == NULL)
      return false;
  return true;
}

static void
ask_members (const struct rst_zone *zone, void *userdata)
{
  struct ask_all *ask = userdata;
  struct job *job = ask->job;
  struct rst_message message = { 0 };

  message.type = RST_TASK_FIND;
  message.id = job->find_id;
  message.task_event.job = job->record.name;
  message.task_event.attempt = job->record.generation;
  check_revisions (zone, ask);
  if (!all_owned (zone))
    ask->complete = false;
  for (int i = 0; i < zone->member_count; i++)
    {
      const char *incarnation = zone->members[i].incarnation;
      uint64_t link;

      if (g_hash_table_contains (job->found_at, incarnation))
        continue;
      ask->complete = false;
      link = sched_link_to (job->sched, incarnation);
      if (link != 0)
        sched_send (job->sched, link, &message);
    }
}

/* All schedulers know all that runs: what was not found has no place. */
static void
conclude_finding (struct job *job)
{
  for (int64_t i = 0; i < job->record.spec.tasks; i++)
    if (job->tasks[i].state == TASK_LOOKED_FOR && job->tasks[i].found)
      sched_job_set_state (job, &job->tasks[i], TASK_RUNNING);
    else if (job->tasks[i].state == TASK_LOOKED_FOR)
      {
        job->tasks[i].inherited = 0;
        if (job->record.cancelled && !job->record.spec.run_once)
          sched_job_end_task (job, &job->tasks[i], 'c');
        else
          sched_job_lose_task (job, &job->tasks[i]);
      }
  sched_job_log (job, "All tasks of the job are accounted for.");
  g_hash_table_destroy (job->found_at);
  job->found_at = NULL;
}

void
sched_job_find_tick (struct job *job)
{
  struct ask_all ask = { job, true, true };
  rst_ms now = sched_now (job->sched);

  if (job->looked_for == 0 || job->found_at == NULL || now < job->find_next_at)
    return;
  job->find_next_at = now + FIND_EVERY_MS;
  /* An answer counts only for the question asked since the last change. */
  if (job->find_id == 0)
    job->find_id = sched_next_id (job->sched);
  rst_settings_records (job->sched->settings, ask_members, &ask);
  if (!ask.consistent)
    sched_job_find_anew (job);
  else if (ask.complete)
    conclude_finding (job);
}

static bool
should_claim (struct rst_scheduler *sched, const struct rst_job_record *record)
{
  const struct rst_zone *zone = sched_zone (sched);
  const char *names[RST_MEMBERS_MAX];
  size_t length = strlen (sched->config.zone);
  int pick;

  if (strncmp (record->owner, sched->config.zone, length) != 0
      || record->owner[length] != ':'
      || rst_zone_find_member (zone, record->owner) != NULL
      || sched_job_named (sched, record->name) != NULL)
    return false;
  for (int i = 0; i < zone->member_count; i++)
    names[i] = zone->members[i].incarnation;
  pick = rst_rendezvous (record->name, names, zone->member_count);
  return pick >= 0 && strcmp (names[pick], sched->incarnation) == 0;
}

static void
claim_job (struct rst_scheduler *sched, const struct rst_kv *kv)
{
  struct rst_job_record record;
  struct job *job;

  if (rst_job_record_parse (kv->value, kv->revision, &record) != RST_STATE_OK)
    return;
  if (!should_claim (sched, &record))
    {
      rst_job_record_clear (&record);
      return;
    }
  g_strlcpy (record.owner, sched->incarnation, RST_NAME_SIZE);
  record.generation++;
  job = sched_job_create (sched, &record);
  job->claiming = true;
  job->confirmed_intent = record.intent;
  job->gang_started = record.intent >= record.spec.tasks;
  sched_job_write (job);
}

static void
on_jobs_listed (const struct rst_platform_reply *reply, void *data)
{
  struct rst_scheduler *sched = data;

  sched->jobs_listing = false;
  sched->jobs_next_at = sched_now (sched) + ORPHANS_EVERY_MS;
  if (reply->result != RST_PLATFORM_OK)
    {
      sched->jobs_next_at
          = sched_now (sched) + sched_jitter (sched, SCHED_RETRY_MS);
      return;
    }
  if (sched_zone (sched) == NULL || sched->joined_revision == 0)
    return;
  for (int i = 0; i < reply->kv_count; i++)
    claim_job (sched, &reply->kvs[i]);
}

static void
orphans_tick (struct rst_scheduler *sched)
{
  if (sched->jobs_listing || sched->joined_revision == 0 || sched->stopping
      || sched->session != SESSION_CONFIRMED
      || sched_now (sched) < sched->jobs_next_at)
    return;
  sched->jobs_listing = true;
  sched->counters.store_reads++;
  sched->platform->store_list (sched->platform_data, RST_KEY_JOBS,
                               on_jobs_listed, sched);
}

void
sched_job_members_changed (struct rst_scheduler *sched)
{
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, sched->jobs);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    if (((struct job *)value)->accepted)
      sched_job_check_holders (value);
}

void
sched_job_tick (struct rst_scheduler *sched)
{
  GList *jobs;

  orphans_tick (sched);
  if (!rst_tenure_held (sched->tenure, sched_now (sched)))
    return;
  jobs = g_hash_table_get_values (sched->jobs);
  for (GList *item = jobs; item != NULL; item = item->next)
    sched_job_work (item->data);
  g_list_free (jobs);
}
