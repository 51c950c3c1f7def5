/* Searches for tasks in doubt, and jobs that have lost their owner. */
#include "coordination/sched_job_private.h"

#include <stdlib.h>
#include <string.h>

#define LOG_DOMAIN "job"

/** Time between two rounds of find requests of a search. */
#define SEARCH_INTERVAL_MS 700

/** Time between two scans of the store for jobs that have lost their owner. */
#define ORPHAN_SCAN_INTERVAL_MS 30000

/* Begins a search, or restarts the current one without the replies received so
   far. */
void
sched_job_restart_search (struct job *job)
{
  for (int64_t i = 0; i < job->record.spec.tasks; i++)
    job->tasks[i].found = false;
  if (job->search_replies != NULL)
    g_hash_table_destroy (job->search_replies);
  job->search_replies
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  job->search_id = 0;
  job->search_next_at = 0;
}

/**
 * struct task_search - The state of a search in one round of find requests.
 * @job: The job whose tasks are searched for.
 * @all_replied: Each instance of the zones has an owner, and all members have
 *   told all they know.
 * @same_revision: The replies are based on the present revisions of the
 *   ownership records.
 */
struct task_search
{
  struct job *job;
  bool all_replied;
  bool same_revision;
};

/* Replies based on different revisions of a zone's ownership record may both
   lack an instance that changed owners between them. */
static void
check_revisions (const struct rst_zone *zone, struct task_search *search)
{
  const uint64_t *first = NULL;

  for (int i = 0; i < zone->member_count; i++)
    {
      const uint64_t *revision = g_hash_table_lookup (
          search->job->search_replies, zone->members[i].incarnation);

      if (revision == NULL)
        continue;
      if (first != NULL && *first != *revision)
        search->same_revision = false;
      first = revision;
    }
  if (first != NULL && *first != zone->revision)
    search->same_revision = false;
}

/* An instance without an owner may run tasks that no member knows of. */
static bool
all_instances_owned (const struct rst_zone *zone)
{
  for (int i = 0; i < zone->owned_count; i++)
    if (rst_zone_find_member (zone, zone->owned[i].owner) == NULL)
      return false;
  return true;
}

static void
send_find_requests (const struct rst_zone *zone, void *userdata)
{
  struct task_search *search = userdata;
  struct job *job = search->job;
  struct rst_message message = { 0 };

  message.type = RST_TASK_FIND;
  message.id = job->search_id;
  message.task_event.job = job->record.name;
  message.task_event.attempt = job->record.generation;
  check_revisions (zone, search);
  if (!all_instances_owned (zone))
    search->all_replied = false;
  for (int i = 0; i < zone->member_count; i++)
    {
      const char *incarnation = zone->members[i].incarnation;
      uint64_t link;

      if (g_hash_table_contains (job->search_replies, incarnation))
        continue;
      search->all_replied = false;
      link = sched_find_link (job->sched, incarnation);
      if (link != 0)
        sched_send (job->sched, link, &message);
    }
}

/* All schedulers have told which tasks they know, so a task in doubt that none
   has reported does not run. */
static void
finish_search (struct job *job)
{
  for (int64_t i = 0; i < job->record.spec.tasks; i++)
    if (job->tasks[i].state == TASK_IN_DOUBT && job->tasks[i].found)
      sched_job_set_task_state (job, &job->tasks[i], TASK_RUNNING);
    else if (job->tasks[i].state == TASK_IN_DOUBT)
      {
        job->tasks[i].latest_attempt = 0;
        if (job->record.cancelled && !job->record.spec.run_once)
          sched_job_end_task (job, &job->tasks[i], 'c');
        else
          sched_job_handle_lost_task (job, &job->tasks[i]);
      }
  sched_job_log_event (
      job, "Search for the job's tasks has ended; each was found or is lost.");
  g_hash_table_destroy (job->search_replies);
  job->search_replies = NULL;
}

void
sched_job_search_tick (struct job *job)
{
  struct task_search search = { job, true, true };
  rst_ms now = sched_now (job->sched);

  if (job->in_doubt_count == 0 || job->search_replies == NULL
      || now < job->search_next_at)
    return;
  job->search_next_at = now + SEARCH_INTERVAL_MS;
  /* Replies to requests from before a restart of the search have another id
     and are ignored. */
  if (job->search_id == 0)
    job->search_id = sched_next_id (job->sched);
  rst_settings_visit_zone_records (job->sched->settings, send_find_requests,
                                   &search);
  if (!search.same_revision)
    sched_job_restart_search (job);
  else if (search.all_replied)
    finish_search (job);
}

/* Whether this scheduler is to take over a job: its owner was in this zone and
   is no longer a member, and rendezvous hashing picks this member. */
static bool
should_claim (struct rst_scheduler *sched, const struct rst_job_record *record)
{
  const struct rst_zone *zone = sched_get_zone (sched);
  const char *names[RST_MEMBERS_MAX];
  size_t length = strlen (sched->config.zone);
  int chosen;

  if (strncmp (record->owner, sched->config.zone, length) != 0
      || record->owner[length] != ':'
      || rst_zone_find_member (zone, record->owner) != NULL
      || sched_job_lookup (sched, record->name) != NULL)
    return false;
  for (int i = 0; i < zone->member_count; i++)
    names[i] = zone->members[i].incarnation;
  chosen = rst_rendezvous_pick (record->name, names, zone->member_count);
  return chosen >= 0 && strcmp (names[chosen], sched->incarnation) == 0;
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
  job->stored_intent = record.start_intent;
  /* The intent of a gang covers all its tasks once it may have been started,
     and none before. */
  job->gang_started = record.start_intent >= record.spec.tasks;
  sched_job_write_record (job);
}

static void
on_jobs_listed (const struct rst_platform_reply *reply, void *data)
{
  struct rst_scheduler *sched = data;

  sched->jobs_list_pending = false;
  sched->jobs_list_next_at = sched_now (sched) + ORPHAN_SCAN_INTERVAL_MS;
  if (reply->result != RST_PLATFORM_OK)
    {
      sched->jobs_list_next_at
          = sched_now (sched) + sched_add_jitter (sched, SCHED_STORE_RETRY_MS);
      return;
    }
  if (sched_get_zone (sched) == NULL || sched->joined_revision == 0)
    return;
  for (int i = 0; i < reply->kv_count; i++)
    claim_job (sched, &reply->kvs[i]);
}

static void
orphan_scan_tick (struct rst_scheduler *sched)
{
  if (sched->jobs_list_pending || sched->joined_revision == 0
      || sched->stopping || sched->session != SESSION_REGISTERED
      || sched_now (sched) < sched->jobs_list_next_at)
    return;
  sched->jobs_list_pending = true;
  sched->counters.store_reads++;
  sched->platform->store_list (sched->platform_data, RST_KEY_JOBS,
                               on_jobs_listed, sched);
}

void
sched_job_check_all_worker_owners (struct rst_scheduler *sched)
{
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, sched->jobs);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    if (((struct job *)value)->accepted)
      sched_job_check_worker_owners (value);
}

void
sched_job_tick (struct rst_scheduler *sched)
{
  GList *jobs;

  orphan_scan_tick (sched);
  if (!rst_tenure_is_held (sched->tenure, sched_now (sched)))
    return;
  jobs = g_hash_table_get_values (sched->jobs);
  for (GList *item = jobs; item != NULL; item = item->next)
    sched_job_advance (item->data);
  g_list_free (jobs);
}
