#include <string.h>

#include "cell/planner_private.h"

/** How long a removed entry is remembered before its instance is dropped. */
#define GONE_KEEP_MS 30000

/** Added to a lapse for clocks that run 2 % slow and for travel. */
#define LAPSE_MARGIN_MS 300

/** Wait for the answer of a start whose agent is gone, in milliseconds. */
#define HASTE_MS 200

/** Age of the store's word from which on instances born since get no work;
    above the time between two renewals. */
#define CONFIRM_MAX_MS 400

/** Age of the store's word from which on nothing is started; well below the
    time for which leases are extended without it. */
#define STARTS_MAX_MS 4000

/** Tokens that one planner has for the lives of one instance. */
#define FENCES_PER_EPOCH 1000

/** Time between attempts to hold an instance that has no agent's report. */
#define HOLD_AGAIN_MS 700

void
rst_plan_instance_free (gpointer data)
{
  struct instance *instance = data;

  g_hash_table_destroy (instance->runs);
  g_free (instance);
}

/* When the leases have run out that an agent out of reach may extend. */
static rst_ms
longest_lapse (const struct rst_planner *planner)
{
  return planner->now + planner->bounds.keep_ms
         + planner->bounds.lease_ms * 102 / 100 + LAPSE_MARGIN_MS;
}

struct instance *
rst_plan_instance_new (struct rst_planner *planner, const char *id)
{
  struct instance *instance = g_new0 (struct instance, 1);

  g_strlcpy (instance->entry.id, id, sizeof instance->entry.id);
  instance->runs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                          rst_plan_run_free);
  instance->lapse_at = longest_lapse (planner);
  g_hash_table_insert (planner->instances, instance->entry.id, instance);
  return instance;
}

static struct agent *
find_agent (const struct rst_planner *planner, uint64_t link)
{
  for (guint i = 0; i < planner->agents->len; i++)
    {
      struct agent *agent = g_ptr_array_index (planner->agents, i);

      if (agent->link == link)
        return agent;
    }
  return NULL;
}

static struct agent *
choose_agent (const struct rst_planner *planner,
              const struct instance *instance)
{
  struct agent *best = NULL;
  int best_score = 0;

  for (guint i = 0; i < planner->agents->len; i++)
    {
      struct agent *agent = g_ptr_array_index (planner->agents, i);
      bool near = strcmp (agent->zone, instance->entry.zone) == 0;
      int score = agent->held + (near ? 0 : 100000);

      if (best == NULL || score < best_score)
        {
          best = agent;
          best_score = score;
        }
    }
  return best;
}

/* Raised with the planner and with each life of the instance: an order to an
   earlier life that is carried out late is turned away. */
static int64_t
fence (const struct rst_planner *planner, const struct instance *instance)
{
  if (RST_CELL_FAULT (RST_CELL_FAULT_ONE_FENCE))
    return planner->epoch * FENCES_PER_EPOCH;
  return planner->epoch * FENCES_PER_EPOCH
         + MIN (instance->lives, FENCES_PER_EPOCH - 1);
}

static void
send_hold (struct rst_planner *planner, struct instance *instance)
{
  struct rst_pack pack;

  instance->next_hold = planner->now + HOLD_AGAIN_MS;
  rst_pack_init (&pack, 5);
  rst_pack_int (&pack, RST_MSG_HOLD);
  rst_pack_text (&pack, instance->entry.id);
  rst_pack_text (&pack, instance->entry.address);
  rst_pack_int (&pack, fence (planner, instance));
  rst_pack_int (&pack, instance->acked);
  rst_plan_send (planner, instance->agent->link, &pack);
}

void
rst_plan_send_id (struct rst_planner *planner, struct instance *instance,
                  int kind, int64_t number)
{
  struct rst_pack pack;

  if (instance->agent == NULL)
    return;
  rst_pack_init (&pack, 3);
  rst_pack_int (&pack, kind);
  rst_pack_text (&pack, instance->entry.id);
  rst_pack_int (&pack, number);
  rst_plan_send (planner, instance->agent->link, &pack);
}

/* Nobody reports on the instance; its lease may be extended for a while. */
static void
set_unknown (struct rst_planner *planner, struct instance *instance)
{
  if (!instance->known)
    return;
  instance->unknown_at = planner->now;
  instance->lapse_at = longest_lapse (planner);
  instance->known = false;
}

static void
give_to (struct rst_planner *planner, struct instance *instance,
         struct agent *agent)
{
  if (instance->agent == agent)
    return;
  if (instance->agent != NULL)
    {
      instance->agent->held--;
      rst_plan_send_id (planner, instance, RST_MSG_DROP, 0);
      set_unknown (planner, instance);
    }
  instance->agent = agent;
  if (agent == NULL)
    return;
  agent->held++;
  instance->look_ms = 0;
  send_hold (planner, instance);
}

/* Every instance gets an agent, one of its zone where there is one. */
void
rst_plan_assign (struct rst_planner *planner)
{
  GHashTableIter iter;
  gpointer value;

  /* What instances list can only be judged when all jobs are known. */
  if (!planner->restored)
    return;
  g_hash_table_iter_init (&iter, planner->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct instance *instance = value;

      if (instance->agent == NULL && instance->entry.address[0] != '\0')
        give_to (planner, instance, choose_agent (planner, instance));
    }
}

/* An agent that has come may take instances of its zone from others. */
static void
balance (struct rst_planner *planner, struct agent *agent)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, planner->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct instance *instance = value;
      bool near = strcmp (agent->zone, instance->entry.zone) == 0;
      bool far = instance->agent != NULL
                 && strcmp (instance->agent->zone, instance->entry.zone) != 0;

      if (instance->agent == NULL || !near)
        continue;
      if (far || instance->agent->held > agent->held + 1)
        give_to (planner, instance, agent);
    }
}

void
rst_planner_agent (struct rst_planner *planner, uint64_t link,
                   const char *name, const char *zone)
{
  struct agent *agent = g_new0 (struct agent, 1);

  agent->link = link;
  g_strlcpy (agent->name, name, sizeof agent->name);
  g_strlcpy (agent->zone, zone, sizeof agent->zone);
  g_ptr_array_add (planner->agents, agent);
  rst_info (RST_PLAN_LOG, "Agent joined.", "agent", name, "zone", zone);
  rst_plan_assign (planner);
  balance (planner, agent);
  planner->changed = true;
}

/* Starts that the lost agent carried may never be answered. */
static void
hasten_starts (struct rst_planner *planner, struct instance *instance)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, instance->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct run *)value)->ordered_at
        = MIN (((struct run *)value)->ordered_at,
               planner->now - RST_START_ANSWER_MS + HASTE_MS);
}

void
rst_planner_link_closed (struct rst_planner *planner, uint64_t link)
{
  struct agent *agent = find_agent (planner, link);
  GHashTableIter iter;
  gpointer value;

  if (agent == NULL)
    return;
  rst_info (RST_PLAN_LOG, "Agent left.", "agent", agent->name);
  g_hash_table_iter_init (&iter, planner->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct instance *instance = value;

      if (instance->agent != agent)
        continue;
      instance->agent = NULL;
      set_unknown (planner, instance);
      hasten_starts (planner, instance);
    }
  rst_plan_asks_of_link_end (planner, link);
  g_ptr_array_remove (planner->agents, agent);
  rst_plan_assign (planner);
  planner->changed = true;
}

/* All that ran there has ended with the instance's earlier life. */
static void
lose_runs (struct rst_planner *planner, struct instance *instance,
           const char *why)
{
  GList *runs = g_hash_table_get_values (instance->runs);

  for (GList *item = runs; item != NULL; item = item->next)
    rst_plan_run_lost (planner, item->data, why);
  g_list_free (runs);
}

void
rst_planner_instance (struct rst_planner *planner,
                      const struct rst_instance_entry *entry)
{
  struct instance *instance
      = g_hash_table_lookup (planner->instances, entry->id);
  bool moved;

  if (instance == NULL)
    instance = rst_plan_instance_new (planner, entry->id);
  moved = strcmp (instance->entry.address, entry->address) != 0;
  if (instance->entry.draining != entry->draining && entry->draining)
    rst_info (RST_PLAN_LOG, "Instance drains.", "instance", entry->id);
  instance->entry = *entry;
  instance->present = true;
  instance->gone_at = 0;
  planner->changed = true;
  if (instance->agent == NULL)
    rst_plan_assign (planner);
  else if (moved || (entry->born > instance->born && instance->born > 0))
    send_hold (planner, instance);
}

void
rst_planner_instance_gone (struct rst_planner *planner, const char *id)
{
  struct instance *instance = g_hash_table_lookup (planner->instances, id);

  if (instance == NULL)
    return;
  instance->present = false;
  instance->gone_at = planner->now;
  planner->changed = true;
  rst_info (RST_PLAN_LOG, "Instance is not registered any more.", "instance",
            id);
}

/* A planner that the store has not confirmed for a while may have a
   successor.  The successor's token guards all instances that it has held,
   but not those that were born since; and it waits for those that it can't
   reach no longer than until their leases have run out. */
static bool
may_be_replaced (const struct rst_planner *planner,
                 const struct instance *instance)
{
  rst_ms age = planner->now - planner->confirmed_at;

  return age > STARTS_MAX_MS
         || (age > CONFIRM_MAX_MS
             && instance->life_at > planner->confirmed_at);
}

bool
rst_plan_usable (const struct rst_planner *planner,
                 const struct instance *instance)
{
  return instance->present && instance->known && instance->recorded
         && !instance->blocked && instance->agent != NULL
         && !instance->entry.draining && !may_be_replaced (planner, instance)
         && planner->now >= instance->avoid_until
         && !g_hash_table_contains (planner->evacuated, instance->entry.zone);
}

static struct rst_run
read_run (struct rst_reader *reader)
{
  struct rst_reader row = rst_reader_array (reader);
  struct rst_run run = { 0 };

  run.number = rst_reader_int (&row);
  rst_reader_copy (&row, run.task, sizeof run.task);
  run.attempt = (int)rst_reader_int (&row);
  run.how = (int)rst_reader_int (&row);
  rst_reader_copy (&row, run.saved, sizeof run.saved);
  run.percent = (int)rst_reader_int (&row);
  run.usage = rst_reader_int (&row);
  reader->bad |= row.bad;
  return run;
}

static void
stop_stranger (struct rst_planner *planner, struct instance *instance,
               const struct rst_run *listed)
{
  struct rst_pack pack;

  rst_info (RST_PLAN_LOG, "Unknown run is stopped.", "task", listed->task,
            "instance", instance->entry.id);
  rst_pack_init (&pack, 4);
  rst_pack_int (&pack, RST_MSG_STOP);
  rst_pack_text (&pack, instance->entry.id);
  rst_pack_text (&pack, listed->task);
  rst_pack_int (&pack, listed->attempt);
  rst_plan_send (planner, instance->agent->link, &pack);
}

/* A run that this planner did not order: its predecessor's, or one that was
   given up and was carried out late. */
static void
adopt (struct rst_planner *planner, struct instance *instance,
       const struct rst_run *listed)
{
  struct task *task = rst_plan_find_task (planner, listed->task);
  struct job *job = task != NULL ? task->step->occurrence->job : NULL;
  struct run *run;

  /* A later attempt was ordered only when the one assumed had ended. */
  if (task != NULL && task->run != NULL && task->run->assumed
      && task->run->attempt < listed->attempt)
    rst_plan_run_drop (planner, task->run);
  if (task == NULL || task->run != NULL || task->done || !job->stored)
    {
      instance->blocked = true;
      stop_stranger (planner, instance, listed);
      return;
    }
  run = rst_plan_run_new (planner, task, instance, listed->attempt);
  rst_plan_run_begun (run);
  run->percent = listed->percent;
  task->step->gang_attempt = MAX (task->step->gang_attempt, listed->attempt);
  if (rst_plan_job_over (job)
      || (!planner->unsure_left && task->step->spec->gang))
    rst_plan_stop (planner, run);
}

static void
take_running (struct rst_planner *planner, struct instance *instance,
              const struct rst_run *listed)
{
  struct run *run = g_hash_table_lookup (instance->runs, listed->task);

  if (run == NULL || run->attempt != listed->attempt)
    {
      adopt (planner, instance, listed);
      return;
    }
  rst_plan_run_begun (run);
  run->assumed = false;
  if (listed->percent != run->percent)
    run->moved_at = planner->now;
  run->percent = listed->percent;
  run->usage = listed->usage;
  if (listed->saved[0] != '\0' && run->task->step->spec->saves)
    {
      g_strlcpy (run->task->saved, listed->saved, sizeof run->task->saved);
      g_strlcpy (run->task->step->saved, listed->saved,
                 sizeof run->task->step->saved);
    }
}

/* Drops the runs that the instance neither runs nor lists as ended, where
   its word is younger than its last answer about them. */
static void
drop_missing (struct rst_planner *planner, struct instance *instance,
              GHashTable *listed, int64_t clock_ms)
{
  GList *runs = g_hash_table_get_values (instance->runs);

  for (GList *item = runs; item != NULL; item = item->next)
    {
      struct run *run = item->data;
      bool settled = run->state == RUN_RUNNING
                     || (run->state == RUN_STOPPING && run->stop_answered);

      if (!settled || clock_ms <= run->clock_ms
          || g_hash_table_contains (listed, run->name))
        continue;
      rst_plan_run_lost (planner, run, "not listed");
    }
  g_list_free (runs);
}

static void
take_lists (struct rst_planner *planner, struct instance *instance,
            struct rst_reader *runs, int64_t clock_ms)
{
  GHashTable *listed
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  int64_t seen = instance->seen;

  instance->blocked = false;
  for (uint32_t i = 0; i < runs->count; i++)
    {
      struct rst_run run = read_run (runs);

      if (runs->bad)
        break;
      if (run.number == 0)
        {
          g_hash_table_add (listed, g_strdup (run.task));
          take_running (planner, instance, &run);
        }
      else if (run.number > seen)
        {
          instance->seen = MAX (instance->seen, run.number);
          rst_plan_end (planner, instance, &run);
          planner->acks_wait = true;
        }
    }
  drop_missing (planner, instance, listed, clock_ms);
  rst_plan_pace (planner, instance);
  g_hash_table_destroy (listed);
}

/* What ran in the earlier life may start elsewhere only once the new life
   turns late orders away, and has said since what it runs. */
static bool
raise_fence (struct rst_planner *planner, struct instance *instance,
             int64_t born)
{
  if (instance->born == 0 || instance->raised_for == born)
    return false;
  rst_info (RST_PLAN_LOG, "Instance was born anew.", "instance",
            instance->entry.id);
  instance->raised_for = born;
  instance->lives++;
  instance->acked = 0;
  instance->committing = 0;
  set_unknown (planner, instance);
  send_hold (planner, instance);
  return true;
}

static void
begin_life (struct rst_planner *planner, struct instance *instance,
            int64_t born)
{
  if (instance->born != 0)
    lose_runs (planner, instance, "born anew");
  instance->born = born;
  instance->life_at = planner->now;
  instance->seen = 0;
  instance->acked = 0;
  instance->committing = 0;
  instance->failures = 0;
}

void
rst_plan_report (struct rst_planner *planner, uint64_t link,
                 struct rst_reader *reader)
{
  char id[RST_ID_SIZE];
  struct instance *instance;
  struct rst_reader runs;
  enum rst_result result;
  int64_t clock_ms;
  int64_t born;
  int64_t lease_left;
  int64_t held_with;

  rst_reader_copy (reader, id, sizeof id);
  result = (enum rst_result)rst_reader_int (reader);
  clock_ms = rst_reader_int (reader);
  born = rst_reader_int (reader);
  lease_left = rst_reader_int (reader);
  held_with = rst_reader_int (reader);
  runs = rst_reader_array (reader);
  instance = g_hash_table_lookup (planner->instances, id);
  if (reader->bad || instance == NULL || instance->agent == NULL
      || instance->agent->link != link
      || held_with != fence (planner, instance))
    return;
  if (result != RST_RESULT_OK)
    {
      if (instance->known)
        {
          rst_info (RST_PLAN_LOG, "Instance does not answer.", "instance", id,
                    "result", rst_result_text (result));
          instance->known = false;
          instance->lapse_at
              = planner->now + lease_left * 102 / 100 + LAPSE_MARGIN_MS;
        }
      return;
    }
  if (born < instance->born)
    return;
  if (born > instance->born && raise_fence (planner, instance, born))
    return;
  if (born > instance->born)
    begin_life (planner, instance, born);
  instance->known = true;
  instance->inherited = false;
  take_lists (planner, instance, &runs, clock_ms);
}

static void
settle_unsure (struct rst_planner *planner)
{
  GHashTableIter iter;
  gpointer value;

  planner->unsure_left = false;
  g_hash_table_iter_init (&iter, planner->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    planner->unsure_left |= ((struct instance *)value)->inherited
                            && !RST_CELL_FAULT (RST_CELL_FAULT_HASTY_HEIR);
  if (!planner->unsure_left)
    rst_info (RST_PLAN_LOG, "All instances of the predecessor are known.");
}

static void
check_instance (struct rst_planner *planner, struct instance *instance)
{
  if (instance->agent == NULL)
    give_to (planner, instance, choose_agent (planner, instance));
  else if (!instance->known && planner->now >= instance->next_hold)
    send_hold (planner, instance);
  rst_plan_check_runs (planner, instance);
  if (instance->known || planner->now < instance->lapse_at)
    return;
  if (g_hash_table_size (instance->runs) > 0)
    lose_runs (planner, instance, "lease ran out");
  instance->inherited = false;
}

static bool
is_forgotten (struct rst_planner *planner, struct instance *instance)
{
  return !instance->present && !instance->known
         && g_hash_table_size (instance->runs) == 0 && !instance->inherited
         && planner->now - instance->gone_at > GONE_KEEP_MS
         && planner->now - planner->created_at > GONE_KEEP_MS;
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
      if (is_forgotten (planner, instance))
        {
          give_to (planner, instance, NULL);
          g_hash_table_iter_remove (&iter);
        }
    }
  if (planner->unsure_left)
    settle_unsure (planner);
}

static void
send_ack (struct rst_planner *planner, const struct instance *instance)
{
  struct rst_pack pack;

  if (instance->agent == NULL)
    return;
  rst_pack_init (&pack, 4);
  rst_pack_int (&pack, RST_MSG_ACK);
  rst_pack_text (&pack, instance->entry.id);
  rst_pack_int (&pack, instance->acked);
  rst_pack_int (&pack, instance->born);
  rst_plan_send (planner, instance->agent->link, &pack);
}

/* Ends that are in the store may be forgotten by the instances. */
void
rst_plan_acks (struct rst_planner *planner)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, planner->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct instance *instance = value;

      if (instance->committing <= instance->acked)
        continue;
      instance->acked = instance->committing;
      send_ack (planner, instance);
    }
}
