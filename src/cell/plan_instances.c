/* Instances and the agents' reports on them. */
#include <inttypes.h>
#include <string.h>

#include "cell/plan_intent.h"
#include "cell/planner_private.h"

/** How long an instance is kept after its entry was removed. */
#define UNREGISTERED_RETENTION_MS 30000

/** If the store's last confirmation is older than this, a successor may have
    been elected.  This is above the time between two confirmations. */
#define SUCCESSOR_CONFIRM_AGE_MS 400

/** If the store's last confirmation is older than this, nothing is started at
    all.  This is well below the time for which agents extend leases without a
    confirmation. */
#define START_CONFIRM_AGE_MAX_MS 4000

void
rst_plan_instance_free (gpointer data)
{
  struct instance *instance = data;

  g_hash_table_destroy (instance->runs);
  g_array_free (instance->unstored_ends, TRUE);
  g_array_free (instance->lapsed_runs, TRUE);
  g_free (instance);
}

struct instance *
rst_plan_instance_new (struct rst_planner *planner, const char *id)
{
  struct instance *instance = g_new0 (struct instance, 1);

  g_strlcpy (instance->entry.id, id, sizeof instance->entry.id);
  instance->runs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                          rst_plan_run_free);
  instance->unstored_ends
      = g_array_new (FALSE, FALSE, sizeof (struct unstored_end));
  instance->lapsed_runs
      = g_array_new (FALSE, FALSE, sizeof (struct lapsed_run));
  instance->runs_unknown_since = planner->now;
  instance->lease_expires_at = rst_plan_get_latest_lease_expiry (planner);
  instance->number = ++planner->next_instance_number;
  instance->token_raises = planner->forgotten_token_raises;
  g_hash_table_insert (planner->instances, instance->entry.id, instance);
  g_hash_table_insert (planner->instances_by_number,
                       GUINT_TO_POINTER (instance->number), instance);
  return instance;
}

struct instance *
rst_plan_find_numbered (const struct rst_planner *planner, guint number)
{
  return g_hash_table_lookup (planner->instances_by_number,
                              GUINT_TO_POINTER (number));
}

/* Holds the instance with a higher fencing token.  Once it has reported under
   that token, it rejects all orders that were sent before. */
static void
hold_with_new_token (struct rst_planner *planner, struct instance *instance)
{
  if (!rst_plan_raise_fencing_token (instance))
    rst_plan_unassign_instance (planner, instance);
  else if (instance->agent != NULL)
    rst_plan_send_hold (planner, instance);
}

/* Raises the fencing token for a new incarnation, which its entry or its
   report shows; a long poll of the earlier one may hang for seconds.  Runs of
   the earlier incarnation may start elsewhere only after the new one has
   reported under the new token, since it then rejects late orders.  What is
   acknowledged stays: an entry may be one that the store has carried out late,
   of an incarnation that ended before the present one.  Returns false if the
   token was raised before or this is the first incarnation. */
static bool
fence_incarnation (struct rst_planner *planner, struct instance *instance,
                   int64_t incarnation)
{
  if (instance->incarnation == 0
      || instance->fenced_incarnation == incarnation)
    return false;
  rst_info (RST_PLAN_LOG, "Instance restarted; its fencing token is raised.",
            "instance", instance->entry.id);
  instance->fenced_incarnation = incarnation;
  if (instance->runs_known)
    rst_plan_mark_runs_unknown (planner, instance,
                                rst_plan_get_latest_lease_expiry (planner),
                                LEASE_BASIS_RESTART);
  hold_with_new_token (planner, instance);
  return true;
}

/* Whether the entry is that of the incarnation whose runs are known.  An
   instance may start again under its id with another capacity, and its entry
   and its report arrive in any order.  An entry that names no incarnation is
   not from the instance. */
static bool
entry_is_current (const struct instance *instance)
{
  return instance->entry.incarnation == instance->incarnation;
}

static void
log_other_entry (const struct instance *instance)
{
  char reported[24];
  char registered[24];

  g_snprintf (reported, sizeof reported, "%" PRId64, instance->incarnation);
  g_snprintf (registered, sizeof registered, "%" PRId64,
              instance->entry.incarnation);
  rst_info (RST_PLAN_LOG,
            "Entry of an instance is that of another incarnation; it takes no "
            "starts.",
            "instance", instance->entry.id, "reported", reported, "registered",
            registered);
}

/* Finds another instance whose entry has the same address: one that ran there
   before, or runs there now.  Returns NULL if there is none. */
static struct instance *
find_address_sharer (const struct rst_planner *planner,
                     const struct rst_instance_entry *entry)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, planner->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct instance *other = value;

      if (strcmp (other->entry.address, entry->address) == 0
          && strcmp (other->entry.id, entry->id) != 0)
        return other;
    }
  return NULL;
}

static void
log_registered (const struct rst_planner *planner,
                const struct rst_instance_entry *entry)
{
  const struct instance *sharer = find_address_sharer (planner, entry);
  char incarnation[24];

  g_snprintf (incarnation, sizeof incarnation, "%" PRId64, entry->incarnation);
  rst_info (RST_PLAN_LOG, "Instance was registered.", "instance", entry->id,
            "address", entry->address, "incarnation", incarnation,
            "same_address_as", sharer != NULL ? sharer->entry.id : "");
}

static void
set_entry (struct instance *instance, const struct rst_instance_entry *entry)
{
  struct rst_instance_entry copy = *entry;

  if (RST_CELL_FAULT (RST_CELL_FAULT_KEEP_CAPACITY)
      && instance->entry.capacity.cpu > entry->capacity.cpu)
    copy.capacity = instance->entry.capacity;
  instance->entry = copy;
}

void
rst_planner_update_instance (struct rst_planner *planner,
                             const struct rst_instance_entry *entry)
{
  struct instance *instance
      = g_hash_table_lookup (planner->instances, entry->id);
  bool address_changed;

  if (instance == NULL || !instance->registered)
    log_registered (planner, entry);
  if (instance == NULL)
    instance = rst_plan_instance_new (planner, entry->id);
  address_changed = strcmp (instance->entry.address, entry->address) != 0;
  if (instance->entry.draining != entry->draining && entry->draining)
    rst_info (RST_PLAN_LOG, "Instance is draining; it takes no more starts.",
              "instance", entry->id);
  if (g_hash_table_remove (planner->rejected_entries, entry->id))
    rst_info (RST_PLAN_LOG, "Instance entry can be used again.", "instance",
              entry->id);
  instance->has_moved |= instance->entry.address[0] != '\0' && address_changed;
  set_entry (instance, entry);
  instance->registered = true;
  instance->unregistered_at = 0;
  planner->pass_wanted = true;
  if (instance->incarnation > 0 && !entry_is_current (instance))
    log_other_entry (instance);
  if (instance->agent == NULL)
    rst_plan_assign_instances (planner);
  else if (entry->incarnation > instance->incarnation
           && fence_incarnation (planner, instance, entry->incarnation))
    return;
  else if (address_changed)
    {
      /* The lease goes on at the earlier address. */
      instance->former_lease_until
          = rst_plan_get_latest_lease_expiry (planner);
      rst_plan_send_hold (planner, instance);
    }
}

static void
unregister_instance (struct rst_planner *planner, struct instance *instance)
{
  instance->registered = false;
  instance->unregistered_at = planner->now;
  planner->pass_wanted = true;
}

void
rst_planner_remove_instance (struct rst_planner *planner, const char *id)
{
  struct instance *instance = g_hash_table_lookup (planner->instances, id);

  g_hash_table_remove (planner->rejected_entries, id);
  if (instance == NULL)
    return;
  unregister_instance (planner, instance);
  rst_info (RST_PLAN_LOG,
            "Instance was unregistered; it takes no more starts.", "instance",
            id);
}

void
rst_planner_reject_instance (struct rst_planner *planner, const char *id,
                             const char *problem)
{
  struct instance *instance = g_hash_table_lookup (planner->instances, id);
  const char *logged = g_hash_table_lookup (planner->rejected_entries, id);

  if (instance != NULL && instance->registered)
    unregister_instance (planner, instance);
  /* An entry is written anew with each heartbeat. */
  if (g_strcmp0 (logged, problem) == 0)
    return;
  g_hash_table_insert (planner->rejected_entries, g_strdup (id),
                       g_strdup (problem));
  rst_warning (RST_PLAN_LOG,
               "Instance entry can't be used; nothing starts there.",
               "instance", id, "problem", problem);
}

bool
rst_plan_may_have_successor (const struct rst_planner *planner)
{
  return planner->now - planner->confirmed_at > SUCCESSOR_CONFIRM_AGE_MS;
}

/* Whether a successor may start tasks on an instance without being protected
   from this planner.  Its fencing token protects the instances that it has
   held, but not incarnations that began since.  For an instance that it can't
   reach, the successor waits only until the lease has expired. */
static bool
may_be_used_by_successor (const struct rst_planner *planner,
                          const struct instance *instance)
{
  if (planner->now - planner->confirmed_at > START_CONFIRM_AGE_MAX_MS)
    return true;
  return rst_plan_may_have_successor (planner)
         && instance->incarnation_seen_at > planner->confirmed_at;
}

bool
rst_plan_instance_is_schedulable (const struct rst_planner *planner,
                                  const struct instance *instance)
{
  return instance->registered && instance->runs_known && instance->recorded
         && entry_is_current (instance) && !instance->has_unknown_run
         && instance->agent != NULL
         && rst_plan_agent_answers (planner, instance->agent)
         && !instance->entry.draining
         && !may_be_used_by_successor (planner, instance)
         && planner->now >= instance->paused_until
         && (g_hash_table_size (planner->evacuated_zones) == 0
             || !g_hash_table_contains (planner->evacuated_zones,
                                        instance->entry.zone));
}

/* The caller frees it with rst_run_clear(). */
static struct rst_run
read_run (struct rst_reader *reader)
{
  struct rst_reader row = rst_reader_read_array (reader);
  struct rst_run run = { 0 };

  run.end_number = rst_reader_read_int (&row);
  rst_reader_copy_text (&row, run.task, sizeof run.task);
  run.attempt = (int)rst_reader_read_int (&row);
  run.end_reason = (int)rst_reader_read_int (&row);
  run.checkpoint = rst_reader_read_text (&row);
  run.progress_percent = (int)rst_reader_read_int (&row);
  run.usage = rst_reader_read_int (&row);
  reader->bad |= row.bad;
  return run;
}

static void
stop_unknown_run (struct rst_planner *planner, struct instance *instance,
                  const struct rst_run *listed)
{
  struct rst_pack pack;

  rst_info (RST_PLAN_LOG, "Instance lists an unknown run; the run is stopped.",
            "task", listed->task, "instance", instance->entry.id);
  rst_pack_init (&pack, 4);
  rst_pack_int (&pack, RST_MSG_STOP);
  rst_pack_text (&pack, instance->entry.id);
  rst_pack_text (&pack, listed->task);
  rst_pack_int (&pack, listed->attempt);
  rst_plan_send (planner, instance->agent->link, &pack);
}

/* Adopts a run that the planner has no record of: a run that its predecessor
   started, or a start order that was given up and carried out late.  The run
   is stopped if its task is unknown, done or running elsewhere, or if its job
   is not committed yet. */
static void
adopt_run (struct rst_planner *planner, struct instance *instance,
           const struct rst_run *listed)
{
  struct task *task = rst_plan_find_task (planner, listed->task);
  struct job *job = task != NULL ? task->step->occurrence->job : NULL;
  struct run *run;

  /* The predecessor sent the later start order only after the attempt in the
     journal had ended. */
  if (task != NULL && task->run != NULL && task->run->from_journal
      && task->run->attempt < listed->attempt)
    rst_plan_run_remove (planner, task->run);
  if (task == NULL || task->run != NULL || task->done || !job->stored)
    {
      instance->has_unknown_run = true;
      stop_unknown_run (planner, instance, listed);
      return;
    }
  run = rst_plan_run_new (planner, task, instance, listed->attempt);
  rst_plan_run_mark_started (run);
  run->adopted = true;
  run->progress_percent = listed->progress_percent;
  /* Its record may say that the task runs nowhere, or elsewhere. */
  rst_plan_mark_dirty (planner, job);
  rst_plan_keep_checkpoint (planner, task, listed->checkpoint);
  task->step->gang_attempt = MAX (task->step->gang_attempt, listed->attempt);
  if (rst_plan_job_has_ended (job)
      || (!planner->has_inherited && task->step->spec->gang))
    rst_plan_stop_run (planner, run);
}

static void
update_listed_run (struct rst_planner *planner, struct instance *instance,
                   const struct rst_run *listed)
{
  struct run *run = g_hash_table_lookup (instance->runs, listed->task);

  if (run == NULL || run->attempt != listed->attempt)
    {
      adopt_run (planner, instance, listed);
      return;
    }
  rst_plan_run_mark_started (run);
  if (run->from_journal)
    {
      run->started_clock_ms = instance->last_clock_ms;
      run->adopted = true;
    }
  run->from_journal = false;
  rst_plan_check_probation (planner, run);
  if (listed->progress_percent != run->progress_percent)
    run->progressed_at = planner->now;
  run->progress_percent = listed->progress_percent;
  run->usage = listed->usage;
  rst_plan_keep_checkpoint (planner, run->task, listed->checkpoint);
}

/* Marks as lost the runs that the instance does not list, neither as running
   nor as ended.  Runs whose last order is unanswered, or was answered after
   the report was made, are kept. */
static void
drop_unlisted_runs (struct rst_planner *planner, struct instance *instance,
                    GHashTable *listed, int64_t clock_ms)
{
  GList *runs = g_hash_table_get_values (instance->runs);

  for (GList *item = runs; item != NULL; item = item->next)
    {
      struct run *run = item->data;
      bool is_answered = run->state == RUN_RUNNING
                         || (run->state == RUN_STOPPING && run->stop_answered);

      if (!is_answered || clock_ms <= run->clock_ms
          || g_hash_table_contains (listed, run->name))
        continue;
      rst_plan_run_mark_lost (planner, run, "not listed");
    }
  g_list_free (runs);
}

/* Applies a row of a report that says that a run has ended. */
static void
apply_listed_end (struct rst_planner *planner, struct instance *instance,
                  const struct rst_run *end)
{
  instance->last_applied_end
      = MAX (instance->last_applied_end, end->end_number);
  rst_plan_note_unstored_end (instance, end);
  rst_plan_apply_end (planner, instance, end);
  planner->acks_pending = true;
}

static void
apply_report (struct rst_planner *planner, struct instance *instance,
              struct rst_reader *runs, int64_t clock_ms, bool has_more_ends)
{
  GHashTable *listed
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  int64_t last_applied_end = instance->last_applied_end;

  instance->has_unknown_run = false;
  instance->last_clock_ms = MAX (instance->last_clock_ms, clock_ms);
  g_array_set_size (instance->lapsed_runs, 0);
  for (uint32_t i = 0; i < runs->count && !runs->bad; i++)
    {
      struct rst_run run = read_run (runs);

      if (!runs->bad && run.end_number == 0)
        {
          g_hash_table_add (listed, g_strdup (run.task));
          update_listed_run (planner, instance, &run);
        }
      else if (!runs->bad && run.end_number > last_applied_end)
        apply_listed_end (planner, instance, &run);
      rst_run_clear (&run);
    }
  rst_plan_log_ends (planner, instance);
  if (!has_more_ends && !runs->bad)
    drop_unlisted_runs (planner, instance, listed, clock_ms);
  rst_plan_adjust_pace (planner, instance);
  rst_plan_learn_progress (planner, instance);
  g_hash_table_destroy (listed);
}

static void
begin_incarnation (struct rst_planner *planner, struct instance *instance,
                   int64_t incarnation)
{
  if (instance->incarnation != 0)
    {
      rst_plan_count_crash (planner, instance);
      rst_plan_mark_runs_lost (planner, instance, "instance restarted");
    }
  instance->incarnation = incarnation;
  instance->last_clock_ms = 0;
  instance->incarnation_seen_at = planner->now;
  rst_plan_discard_unstored_ends (instance);
  instance->last_applied_end = 0;
  instance->last_acked_end = 0;
  instance->committing_end = 0;
  instance->failures = 0;
  rst_plan_forget_speed (instance);
  if (instance->registered && !entry_is_current (instance))
    log_other_entry (instance);
}

/* Returns the longest time that a lease lasts by the planner's clock which has
   @lease_ms left by the instance's clock. */
static rst_ms
get_longest_lease (int64_t lease_ms)
{
  return lease_ms * RST_SLOW_CLOCK_PERCENT / 100 + RST_LEASE_MARGIN_MS;
}

/* Handles the first report that an instance does not answer.  Its agent
   extends the lease no more until it answers; an earlier agent may have
   extended it for longer. */
static void
note_no_answer (struct rst_planner *planner, struct instance *instance,
                enum rst_result result, int64_t lease_left)
{
  rst_ms expires_at = MAX (planner->now + get_longest_lease (lease_left),
                           instance->former_lease_until);
  char lease_ms[24];

  g_snprintf (lease_ms, sizeof lease_ms, "%" PRId64,
              expires_at - planner->now);
  rst_info (RST_PLAN_LOG, "Instance does not answer; its lease may expire.",
            "instance", instance->entry.id, "result", rst_result_name (result),
            "lease_ms", lease_ms);
  rst_plan_mark_runs_unknown (planner, instance, expires_at,
                              LEASE_BASIS_REPORT);
}

void
rst_plan_note_instance_ended (struct rst_planner *planner,
                              struct instance *instance)
{
  rst_plan_set_inherited (planner, instance, false);
  rst_plan_discard_unstored_ends (instance);
  rst_plan_mark_runs_lost (planner, instance, "instance ended");
}

/* Handles the report that another instance answers at an instance's address:
   the instance has ended, with its runs, and no order to it can be carried out
   any more, since calls name the instance that they are for.  One that changed
   its address may have left the earlier one to another. */
static void
note_other_instance (struct rst_planner *planner, struct instance *instance)
{
  if (instance->is_replaced || instance->has_moved)
    return;
  instance->is_replaced = true;
  rst_info (RST_PLAN_LOG,
            "Another instance answers at an instance's address; the instance "
            "has ended.",
            "instance", instance->entry.id, "address",
            instance->entry.address);
  rst_plan_count_crash (planner, instance);
  rst_plan_note_instance_ended (planner, instance);
}

void
rst_plan_receive_report (struct rst_planner *planner, uint64_t link,
                         struct rst_reader *reader)
{
  char id[RST_ID_SIZE];
  struct instance *instance;
  struct rst_reader runs;
  enum rst_result result;
  int64_t clock_ms;
  int64_t incarnation;
  int64_t lease_left;
  int64_t report_token;
  bool has_more_ends;

  rst_reader_copy_text (reader, id, sizeof id);
  result = (enum rst_result)rst_reader_read_int (reader);
  clock_ms = rst_reader_read_int (reader);
  incarnation = rst_reader_read_int (reader);
  lease_left = rst_reader_read_int (reader);
  report_token = rst_reader_read_int (reader);
  has_more_ends = rst_reader_read_int (reader) != 0;
  runs = rst_reader_read_array (reader);
  instance = g_hash_table_lookup (planner->instances, id);
  if (reader->bad || instance == NULL || instance->agent == NULL
      || instance->agent->link != link
      || report_token != rst_plan_get_fencing_token (planner, instance))
    return;
  if (result != RST_RESULT_OK)
    {
      if (instance->runs_known)
        note_no_answer (planner, instance, result, lease_left);
      if (result == RST_RESULT_OTHER_INCARNATION)
        note_other_instance (planner, instance);
      return;
    }
  rst_plan_note_answer (instance);
  /* A list that names no incarnation may be that of an earlier one. */
  if (incarnation == 0 && instance->incarnation != 0)
    return;
  /* The time of day of an instance may be set back before it starts again, so
     its incarnations are not in the order of their start times.  The last
     report under the present token is that of its present incarnation. */
  if (incarnation != instance->incarnation
      && fence_incarnation (planner, instance, incarnation))
    return;
  if (incarnation != instance->incarnation)
    begin_incarnation (planner, instance, incarnation);
  instance->runs_known = true;
  if (has_more_ends && !instance->omits_ends)
    rst_info (RST_PLAN_LOG,
              "Instance lists only some of its ends; its other runs are kept.",
              "instance", instance->entry.id);
  instance->omits_ends = has_more_ends;
  /* All runs that the predecessor started there are known once all ends are
     listed. */
  if (!has_more_ends)
    rst_plan_set_inherited (planner, instance, false);
  /* The instance rejects earlier agents since it has answered this one. */
  instance->former_lease_until
      = MIN (instance->former_lease_until,
             planner->now + get_longest_lease (planner->timing.lease_ms));
  apply_report (planner, instance, &runs, clock_ms, has_more_ends);
}

static void
update_has_inherited (struct rst_planner *planner)
{
  planner->has_inherited
      = g_hash_table_size (planner->inherited_places) > 0
        && !RST_CELL_FAULT (RST_CELL_FAULT_NO_TAKEOVER_WAIT);
  if (!planner->has_inherited)
    rst_info (RST_PLAN_LOG,
              "All instances of the predecessor are accounted for.");
}

/* Handles the end of the lease of an instance whose runs are not known.  It
   may still carry out an order that it got before: the token is raised, since
   its lease may be extended by the time that the order is carried out. */
static void
expire_lease (struct rst_planner *planner, struct instance *instance)
{
  static const char *const names[]
      = { "succession", "report", "agent lost", "restart" };
  char unknown_ms[16];

  rst_plan_set_inherited (planner, instance, false);
  rst_plan_discard_unstored_ends (instance);
  if (g_hash_table_size (instance->runs) == 0)
    return;
  g_snprintf (unknown_ms, sizeof unknown_ms, "%" PRId64,
              planner->now - instance->runs_unknown_since);
  rst_info (RST_PLAN_LOG, "Lease of an instance has expired.", "instance",
            instance->entry.id, "basis", names[instance->lease_basis],
            "unknown_ms", unknown_ms);
  planner->stats.leases_expired++;
  rst_plan_note_lapsed_runs (instance);
  rst_plan_mark_runs_lost (planner, instance, "lease expired");
  hold_with_new_token (planner, instance);
}

/* Whether the lease of an instance whose runs are not known has expired.  Its
   agent may have extended it unless it has been heard since: its report may
   wait in a link that is cut but not yet closed. */
static bool
lease_has_expired (const struct rst_planner *planner,
                   const struct instance *instance)
{
  return !instance->runs_known && planner->now >= instance->lease_expires_at
         && (instance->agent == NULL
             || instance->agent->heard_until >= instance->lease_expires_at);
}

static void
check_instance (struct rst_planner *planner, struct instance *instance)
{
  if (instance->agent == NULL)
    rst_plan_assign_instance (planner, instance);
  else if (!instance->runs_known && planner->now >= instance->next_hold_at)
    rst_plan_send_hold (planner, instance);
  rst_plan_check_runs (planner, instance);
  if (lease_has_expired (planner, instance))
    expire_lease (planner, instance);
}

static bool
may_be_forgotten (struct rst_planner *planner, struct instance *instance)
{
  return !instance->registered && !instance->runs_known
         && g_hash_table_size (instance->runs) == 0 && !instance->inherited
         && planner->now - instance->unregistered_at
                > UNREGISTERED_RETENTION_MS
         && planner->now - planner->created_at > UNREGISTERED_RETENTION_MS;
}

void
rst_plan_check_instances (struct rst_planner *planner)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, planner->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct instance *instance = value;

      check_instance (planner, instance);
      if (may_be_forgotten (planner, instance))
        {
          planner->forgotten_token_raises
              = MAX (planner->forgotten_token_raises, instance->token_raises);
          rst_plan_unassign_instance (planner, instance);
          g_hash_table_remove (planner->instances_by_number,
                               GUINT_TO_POINTER (instance->number));
          g_hash_table_iter_remove (&iter);
        }
    }
  if (planner->has_inherited)
    update_has_inherited (planner);
}
