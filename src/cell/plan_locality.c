/* Racks of steps that run faster in one, and waits for room there.

   Answers the load of many tasks near data that one rack has: a step waits
   for room in its rack while it gains by that, and starts elsewhere otherwise;
   locality.c decides.  Nothing here applies unless the settings name a
   penalty for tasks outside their rack. */
#include <inttypes.h>
#include <string.h>

#include "cell/plan_locality.h"

/** Added to the score of an instance outside the step's rack; more than the
    most that room and failures add. */
#define OUTSIDE_RACK_SCORE 3.0

/** Numbers of instances that a first request for advice names, see
    plan_advice.c. */
#define NAMED_INSTANCES 3
#define GANG_NAMED_INSTANCES 30

/** Time from the end of a wait until a start order.  Passes are 4 ms and a
    millisecond for each 16 waiting steps apart, so this allows for 700. */
#define ORDER_MARGIN_MS 50

/** Expected time until a run ends that was ordered to stop; the platform gives
    tasks up to 900 ms. */
#define STOP_MS 450.0

/** Jobs that end later than this multiple of their objective have no value. */
#define VALUE_OBJECTIVES 3

/** struct rack_claim - What steps placed earlier in a pass wait for. */
struct rack_claim
{
  char rack[RST_ID_SIZE];
  int64_t cpu;
};

static bool
is_in_rack (const struct instance *instance, const char *rack)
{
  return strcmp (instance->entry.rack, rack) == 0;
}

static bool
has_penalty (const struct rst_planner *planner)
{
  return planner->timing.remote_penalty > 1.0;
}

bool
rst_plan_is_outside_rack (const struct step *step,
                          const struct instance *instance)
{
  return step->locality.rack[0] != '\0'
         && !is_in_rack (instance, step->locality.rack);
}

double
rst_plan_score_rack (const struct step *step, const struct instance *instance)
{
  const char *rack = step->locality.rack[0] != '\0' ? step->locality.rack
                                                    : step->spec->rack;

  return rack[0] != '\0' && !is_in_rack (instance, rack) ? OUTSIDE_RACK_SCORE
                                                         : 0.0;
}

double
rst_plan_get_run_factor (const struct rst_planner *planner,
                         const struct run *run)
{
  const struct step *step = run->task->step;

  if (!has_penalty (planner))
    return 1.0;
  if (step->locality.is_spread)
    return planner->timing.remote_penalty;
  if (!step->spec->gang && step->spec->rack[0] != '\0'
      && !is_in_rack (run->instance, step->spec->rack))
    return planner->timing.remote_penalty;
  return 1.0;
}

bool
rst_plan_may_be_approved (const struct step *step,
                          const struct instance *instance)
{
  const struct approval *approval = rst_plan_find_approval (step, instance);

  return (approval == NULL || !approval->rejected)
         && rst_plan_instance_is_eligible (instance, step);
}

static double
get_remaining_ms (const struct rst_planner *planner, const struct run *run)
{
  const struct step *step = run->task->step;
  double expected_ms
      = rst_plan_get_expected_run_ms (step->occurrence->job, step->index)
        * rst_plan_get_run_factor (planner, run);
  double elapsed_ms = (double)(planner->now - run->start_sent_at);

  if (run->state == RUN_STOPPING)
    return STOP_MS;
  if (step->spec->long_running)
    return RST_LOCALITY_NEVER_MS;
  /* It may have run for any time before this planner heard of it. */
  if (run->adopted)
    return rst_locality_get_remaining_ms (
        expected_ms, expected_ms * run->progress_percent / 100.0, 0, 0.0);
  return rst_locality_get_remaining_ms (
      expected_ms, elapsed_ms, run->progress_percent,
      (double)(run->progressed_at - run->start_sent_at));
}

/* Expected time of a request for advice that names the rack's instances. */
static double
get_advice_ms (const struct step *step)
{
  const struct rst_queue *queue = &step->occurrence->job->queue->settings;
  int named = step->spec->gang ? GANG_NAMED_INSTANCES : NAMED_INSTANCES;

  if (!queue->needs_approval)
    return 0.0;
  return (double)queue->advice_ms
         + named * (double)queue->advice_per_instance_us / 1000.0;
}

static void
add_instance_slots (struct rst_planner *planner, const struct step *step,
                    const struct instance *instance, int max)
{
  struct rst_resources available = instance->entry.capacity;
  struct rst_resources need = rst_step_get_task_need (step->spec);
  guint first = planner->locality.slots->len;
  GHashTableIter iter;
  gpointer value;

  if (step->spec->max_per_instance > 0)
    max = MIN (max, step->spec->max_per_instance
                        - rst_plan_count_tasks_on (instance, step));
  rst_resources_add (&available, &instance->used, -1);
  rst_resources_add (&available, &instance->reserved, -1);
  g_array_set_size (planner->locality.runs, 0);
  g_hash_table_iter_init (&iter, instance->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct run *run = value;
      struct rst_locality_run freed
          = { get_remaining_ms (planner, run), run->need };

      if (freed.remaining_ms < RST_LOCALITY_NEVER_MS)
        g_array_append_val (planner->locality.runs, freed);
    }
  rst_locality_add_slots (planner->locality.slots, available,
                          planner->locality.runs, &need, max);
  /* Room that needs a ticket first is room after the service's answer. */
  if (rst_plan_find_ticket (planner, step, instance) != NULL)
    return;
  for (guint i = first; i < planner->locality.slots->len; i++)
    {
      double *time_ms = &g_array_index (planner->locality.slots, double, i);

      *time_ms = MAX (*time_ms, get_advice_ms (step));
    }
}

static struct rack_claim *
find_claim (struct rst_planner *planner, const char *rack)
{
  struct rack_claim added = { "", 0 };

  for (guint i = 0; i < planner->locality.claims->len; i++)
    {
      struct rack_claim *claim
          = &g_array_index (planner->locality.claims, struct rack_claim, i);

      if (strcmp (claim->rack, rack) == 0)
        return claim;
    }
  g_strlcpy (added.rack, rack, sizeof added.rack);
  g_array_append_val (planner->locality.claims, added);
  return &g_array_index (planner->locality.claims, struct rack_claim,
                         planner->locality.claims->len - 1);
}

/* Number of the rack's next slots that steps placed earlier wait for. */
static int
count_slots_ahead (struct rst_planner *planner, const struct step *step,
                   const char *rack)
{
  int64_t claimed = find_claim (planner, rack)->cpu;
  int64_t need = MAX (step->spec->need.cpu, 1);

  return (int)MIN ((claimed + need - 1) / need, RST_TASKS_MAX);
}

/* Finds the instances of a rack that take starts in the current pass; NULL if
   there are none. */
static const GPtrArray *
find_instances (struct rst_planner *planner, const char *rack)
{
  GHashTable *by_rack = planner->locality.by_rack;

  if (g_hash_table_size (by_rack) == 0)
    for (guint i = 0; i < planner->schedulable_instances->len; i++)
      {
        struct instance *instance
            = g_ptr_array_index (planner->schedulable_instances, i);
        GPtrArray *others
            = g_hash_table_lookup (by_rack, instance->entry.rack);

        if (others == NULL)
          {
            others = g_ptr_array_new ();
            g_hash_table_insert (by_rack, instance->entry.rack, others);
          }
        g_ptr_array_add (others, instance);
      }
  return g_hash_table_lookup (by_rack, rack);
}

/* Estimates when a rack has room for up to @tasks tasks of a step.  Returns
   the number of slots that others wait for. */
static int
estimate_slots (struct rst_planner *planner, const struct step *step,
                const char *rack, int tasks)
{
  int ahead = count_slots_ahead (planner, step, rack);
  const GPtrArray *instances;

  instances = find_instances (planner, rack);
  g_array_set_size (planner->locality.slots, 0);
  for (guint i = 0; instances != NULL && i < instances->len; i++)
    {
      const struct instance *instance = g_ptr_array_index (instances, i);

      if (rst_plan_may_be_approved (step, instance))
        add_instance_slots (planner, step, instance, ahead + tasks);
    }
  rst_locality_sort_slots (planner->locality.slots);
  return ahead;
}

double
rst_plan_get_rack_delay_ms (struct rst_planner *planner,
                            const struct step *step, const char *rack, int nth)
{
  int ahead = estimate_slots (planner, step, rack, nth);

  return rst_locality_get_delay_ms (planner->locality.slots, ahead, nth);
}

static double
get_gain_ms (const struct rst_planner *planner, const struct step *step)
{
  return (planner->timing.remote_penalty - 1.0)
         * rst_plan_get_expected_run_ms (step->occurrence->job, step->index);
}

/* Time until the step has to be ordered elsewhere to meet the next bound on
   its job that a start elsewhere can still meet; negative if none is left. */
static double
get_spare_ms (const struct rst_planner *planner, const struct step *step)
{
  double spare_ms = (double)(step->start_by_ms - planner->unix_ms)
                    - get_gain_ms (planner, step) - get_advice_ms (step)
                    - ORDER_MARGIN_MS;

  return spare_ms >= 0.0
             ? spare_ms
             : spare_ms
                   + (double)((VALUE_OBJECTIVES - 1) * step->objective_ms);
}

static void
log_wait (const struct rst_planner *planner, const struct step *step,
          const char *sentence, const char *how, double delay_ms)
{
  char name[RST_TASK_NAME_SIZE];
  char gain_text[24];
  char delay_text[24];
  char waited_text[24];

  if (!rst_log_enabled (G_LOG_LEVEL_INFO))
    return;
  g_snprintf (name, sizeof name, "%s.%" PRId64 ".%d",
              step->occurrence->job->id, step->occurrence->number,
              step->index);
  g_snprintf (gain_text, sizeof gain_text, "%.0f",
              get_gain_ms (planner, step));
  g_snprintf (delay_text, sizeof delay_text, "%.0f", delay_ms);
  g_snprintf (waited_text, sizeof waited_text, "%" PRId64,
              (int64_t)(planner->now - step->locality.waited_since));
  rst_info (RST_PLAN_LOG, sentence, "step", name, "rack", step->locality.rack,
            "how", how, "gain_ms", gain_text, "delay_ms", delay_text,
            "waited_ms", waited_text);
}

static void
begin_wait (struct rst_planner *planner, struct step *step, double delay_ms)
{
  if (step->locality.is_waiting)
    return;
  step->locality.is_waiting = true;
  step->locality.delay_ms = delay_ms;
  if (step->locality.waited_since == 0)
    step->locality.waited_since = planner->now;
  planner->stats.rack_waits++;
  log_wait (planner, step, "Step waits for room in its rack.", "begins",
            delay_ms);
}

static void
end_wait (struct rst_planner *planner, struct step *step,
          enum rst_locality_reason reason)
{
  if (!step->locality.is_waiting)
    return;
  step->locality.is_waiting = false;
  planner->stats.rack_wait_ends[reason]++;
  log_wait (planner, step, "Step no longer waits for room in its rack.",
            rst_locality_reason_name (reason), step->locality.delay_ms);
}

/* Whether there is room for a step's next task, or the whole gang, twice over.
   Instances that the advice service has rejected count, and room that is
   reserved: whoever measures the wait does not know of that. */
static bool
has_ample_room (const struct rst_planner *planner, const struct step *step)
{
  struct rst_resources need = rst_step_get_task_need (step->spec);
  int64_t wanted = 2 * (step->spec->gang ? step->spec->count : 1);

  for (guint i = 0; wanted > 0 && i < planner->schedulable_instances->len; i++)
    {
      const struct instance *instance
          = g_ptr_array_index (planner->schedulable_instances, i);
      struct rst_resources available = instance->entry.capacity;

      if (!rst_plan_instance_is_eligible (instance, step))
        continue;
      rst_resources_add (&available, &instance->used, -1);
      wanted -= MAX (rst_locality_count_tasks (&available, &need, wanted), 0);
    }
  return wanted <= 0;
}

/* Describes a step's next task, without its delay. */
static struct rst_locality_case
describe_task (const struct rst_planner *planner, const struct step *step)
{
  struct rst_locality_case task = { 0 };

  task.gain_ms = get_gain_ms (planner, step);
  task.waited_ms = step->locality.waited_since == 0
                       ? 0.0
                       : (double)(planner->now - step->locality.waited_since);
  task.spare_ms = get_spare_ms (planner, step);
  task.job_runs = rst_plan_job_has_runs (step->occurrence->job);
  task.has_ample_room = !task.job_runs && has_ample_room (planner, step);
  return task;
}

static enum rst_locality_reason
decide (const struct rst_planner *planner, struct rst_locality_case *task,
        double delay_ms, double *wait_ms)
{
  if (planner->locality.policy == RST_RACK_WAIT_ALWAYS)
    {
      *wait_ms = RST_LOCALITY_NEVER_MS;
      return RST_LOCALITY_WAIT;
    }
  task->delay_ms = delay_ms;
  return rst_locality_decide (task, wait_ms);
}

/* Notes that some tasks of a step wait, and when the decision is due again. */
static void
plan_wait (struct rst_planner *planner, struct step *step, int tasks,
           double delay_ms, double wait_ms)
{
  begin_wait (planner, step, delay_ms);
  step->locality.waits = tasks;
  find_claim (planner, step->locality.rack)->cpu
      += tasks * step->spec->need.cpu;
  if (wait_ms < RST_LOCALITY_NEVER_MS)
    planner->locality.wake_at
        = MIN (planner->locality.wake_at, planner->now + (rst_ms)wait_ms + 1);
}

/* Whether no step may wait: it is not worth it in the fleet's present state,
   or in this comparison. */
static bool
is_wait_excluded (const struct rst_planner *planner)
{
  return planner->has_inherited
         || planner->locality.policy == RST_RACK_WAIT_NEVER;
}

/* Decides how many of a step's waiting tasks wait for the rack.  The first
   ones do: room for each further task is expected later. */
static void
plan_step (struct rst_planner *planner, struct step *step)
{
  enum rst_locality_reason reason = RST_LOCALITY_NO_GAIN;
  double first_delay_ms = 0.0;
  double first_wait_ms = 0.0;
  int tasks = step->tasks_waiting;
  bool whole = step->spec->gang || step->locality.rack_is_chosen;
  struct rst_locality_case task;
  int ahead;
  int waiting = 0;

  step->locality.is_planned = true;
  if (is_wait_excluded (planner))
    {
      end_wait (planner, step, RST_LOCALITY_NO_GAIN);
      return;
    }
  task = describe_task (planner, step);
  ahead = estimate_slots (planner, step, step->locality.rack, tasks);
  while (waiting < tasks)
    {
      /* If a single task elsewhere slows down all, all wait or none. */
      int nth = whole ? tasks : waiting + 1;
      double wait_ms;
      double delay_ms
          = rst_locality_get_delay_ms (planner->locality.slots, ahead, nth);

      reason = decide (planner, &task, delay_ms, &wait_ms);
      if (reason != RST_LOCALITY_WAIT)
        break;
      if (waiting == 0)
        {
          first_delay_ms = delay_ms;
          first_wait_ms = wait_ms;
        }
      waiting = nth;
    }
  if (waiting == 0)
    end_wait (planner, step, reason);
  else
    plan_wait (planner, step, waiting, first_delay_ms, first_wait_ms);
}

void
rst_plan_create_rack_state (struct rst_planner *planner)
{
  planner->locality.claims
      = g_array_new (FALSE, FALSE, sizeof (struct rack_claim));
  planner->locality.slots = g_array_new (FALSE, FALSE, sizeof (double));
  planner->locality.runs
      = g_array_new (FALSE, FALSE, sizeof (struct rst_locality_run));
  planner->locality.by_rack = g_hash_table_new_full (
      g_str_hash, g_str_equal, NULL, (GDestroyNotify)g_ptr_array_unref);
  planner->locality.wake_at = INT64_MAX;
}

void
rst_plan_destroy_rack_state (struct rst_planner *planner)
{
  g_array_free (planner->locality.claims, TRUE);
  g_array_free (planner->locality.slots, TRUE);
  g_array_free (planner->locality.runs, TRUE);
  g_hash_table_destroy (planner->locality.by_rack);
}

void
rst_plan_begin_rack_pass (struct rst_planner *planner)
{
  planner->locality.wake_at = INT64_MAX;
  g_array_set_size (planner->locality.claims, 0);
  /* Its keys are in the instances, which may be freed between passes. */
  g_hash_table_remove_all (planner->locality.by_rack);
}

void
rst_plan_begin_rack_step (struct rst_planner *planner, struct step *step)
{
  const struct rst_step *spec = step->spec;

  step->locality.is_planned = false;
  step->locality.waits = 0;
  step->locality.rack_only = false;
  step->locality.held = 0;
  step->locality.rack[0] = '\0';
  if (!has_penalty (planner) || spec->long_running || spec->best_effort)
    return;
  /* No instance has a longer one. */
  if (strlen (spec->rack) >= sizeof step->locality.rack)
    return;
  if (spec->rack[0] != '\0')
    g_strlcpy (step->locality.rack, spec->rack, sizeof step->locality.rack);
  else if (spec->prefers_one_rack && spec->count > 1)
    rst_plan_choose_rack (planner, step);
}

bool
rst_plan_task_waits (struct rst_planner *planner, struct step *step,
                     const struct instance *instance)
{
  if (!rst_plan_is_outside_rack (step, instance))
    return false;
  if (!step->locality.is_planned)
    plan_step (planner, step);
  if (step->locality.waits == 0)
    {
      /* It starts elsewhere, which slows down all tasks. */
      if (step->locality.rack_is_chosen)
        step->locality.is_spread = true;
      return false;
    }
  step->locality.waits--;
  step->locality.held++;
  return true;
}

/* Whether a task has room outside its rack, and none in it. */
static bool
has_room_outside_only (const struct rst_planner *planner,
                       const struct step *step)
{
  bool outside = false;

  for (guint i = 0; i < planner->schedulable_instances->len; i++)
    {
      const struct instance *instance
          = g_ptr_array_index (planner->schedulable_instances, i);

      if (!rst_plan_task_fits (instance, step)
          || !rst_plan_may_be_approved (step, instance))
        continue;
      if (!rst_plan_is_outside_rack (step, instance))
        return false;
      outside = true;
    }
  return outside;
}

void
rst_plan_limit_request (struct rst_planner *planner, struct step *step,
                        int tasks)
{
  int held = step->locality.held;

  step->locality.held = 0;
  if (step->locality.rack[0] == '\0' || step->spec->gang
      || !step->occurrence->job->queue->settings.needs_approval)
    return;
  /* Without tickets, nothing has been decided yet. */
  if (!step->locality.is_planned && has_room_outside_only (planner, step))
    {
      plan_step (planner, step);
      held = step->locality.waits;
    }
  step->locality.rack_only = held > 0 && held >= tasks;
}

bool
rst_plan_may_use_rack (const struct step *step,
                       const struct instance *instance)
{
  return !step->locality.rack_only
         || !rst_plan_is_outside_rack (step, instance);
}

bool
rst_plan_confine_gang (struct step *step)
{
  step->locality.rack_only = step->locality.rack[0] != '\0';
  return step->locality.rack_only;
}

void
rst_plan_release_gang (struct step *step)
{
  step->locality.rack_only = false;
}

bool
rst_plan_gang_waits (struct rst_planner *planner, struct step *step)
{
  plan_step (planner, step);
  step->locality.rack_only = step->locality.waits > 0;
  return step->locality.rack_only;
}

void
rst_plan_confine_reservation (struct rst_planner *planner, struct step *step)
{
  struct rst_locality_case task;
  double delay_ms;
  double wait_ms;

  if (step->locality.rack[0] == '\0' || step->locality.rack_only
      || is_wait_excluded (planner))
    return;
  task = describe_task (planner, step);
  delay_ms = rst_plan_get_rack_delay_ms (planner, step, step->locality.rack,
                                         step->spec->count);
  step->locality.rack_only
      = decide (planner, &task, delay_ms, &wait_ms) == RST_LOCALITY_WAIT;
}

void
rst_plan_note_gang_start (struct step *step)
{
  step->locality.is_spread
      = !step->locality.rack_only
        && (step->spec->rack[0] != '\0'
            || (step->spec->prefers_one_rack && step->spec->count > 1));
}

void
rst_plan_end_rack_step (struct rst_planner *planner, struct step *step)
{
  if (rst_plan_job_has_ended (step->occurrence->job))
    end_wait (planner, step, RST_LOCALITY_JOB_ENDED);
  else if (step->tasks_waiting == 0)
    end_wait (planner, step, RST_LOCALITY_WAIT);
}

rst_ms
rst_plan_get_rack_wake (const struct rst_planner *planner)
{
  return planner->locality.wake_at;
}

void
rst_planner_set_rack_policy (struct rst_planner *planner,
                             enum rst_rack_policy policy)
{
  planner->locality.policy = policy;
}
