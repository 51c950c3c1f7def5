/* Waits of steps: since when and why each waits, their counters and lines.

   Every waiting step is checked ten times a second.  Whether room decides
   takes a search over all instances, so each check searches for some of the
   steps only, in turn; the others keep the reason that the last search found.
   Under load most steps lack room, and one search tells that of all that need
   as much or more. */
#include <inttypes.h>
#include <string.h>

#include "cell/plan_wait.h"
#include "cell/planner_private.h"

/** Instances that one check looks at.  With 1,100 instances that is 4
    searches, so that 500 steps are searched for within 13 s. */
#define SEARCHED_INSTANCES_MAX 4096

/** Number of needs without room that one check remembers. */
#define FULL_NEEDS_MAX 16

/** Waits of this length are logged, and again at the lengths that follow;
   after the last one, each time that the length has doubled. */
static const rst_ms line_lengths_ms[] = { 2000, 5000, 10000, 20000 };

/** Lines of all steps in an interval, of which each has one line more that
   gives the number of those left out. */
#define LINES_MAX 20
#define LINES_INTERVAL_MS 1000

/** struct wait_inputs - What decides about a wait, for its line. */
struct wait_inputs
{
  struct rst_wait_room room;
  /* Inherited instances that are not accounted for, and the one of them whose
     lease may last longest; NULL for none. */
  int missing;
  const struct instance *missing_instance;
};

/** struct full_need - A need for which no instance with a pool and a label has
    room. */
struct full_need
{
  const char *pool;
  const char *label;
  struct rst_resources need;
};

/** struct search_state - Searches of one check. */
struct search_state
{
  /* Number of instances looked at. */
  int searched;
  int full_count;
  struct full_need full[FULL_NEEDS_MAX];
};

/** struct number_text - A number as text, for the log. */
struct number_text
{
  char text[24];
};

static struct number_text
format_number (int64_t number)
{
  struct number_text out;

  g_snprintf (out.text, sizeof out.text, "%" PRId64, number);
  return out;
}

/** struct resources_text - Resources as text: cpu/memory/gpu. */
struct resources_text
{
  char text[72];
};

static struct resources_text
format_resources (const struct rst_resources *resources)
{
  struct resources_text out;

  g_snprintf (out.text, sizeof out.text, "%" PRId64 "/%" PRId64 "/%" PRId64,
              (int64_t)resources->cpu, (int64_t)resources->memory,
              (int64_t)resources->gpu);
  return out;
}

static void
format_step_name (const struct step *step, char *out, size_t size)
{
  g_snprintf (out, size, "%s.%" PRId64 ".%d", step->occurrence->job->id,
              step->occurrence->number, step->index);
}

static rst_ms
get_waited_ms (const struct rst_planner *planner, const struct step *step)
{
  return planner->now - step->wait.since;
}

/* Whether a reason is one that a search for room finds. */
static bool
is_found_by_search (enum rst_wait_reason reason)
{
  return reason == RST_WAIT_UNKNOWN || reason >= RST_WAIT_NO_INSTANCE;
}

static void
set_reason (struct rst_planner *planner, struct step *step,
            enum rst_wait_reason reason)
{
  struct step_wait *wait = &step->wait;
  bool is_first = wait->reason == RST_WAIT_UNKNOWN
                  && wait->since >= planner->wait.checked_at;

  if (reason == wait->reason)
    return;
  if (wait->reason != RST_WAIT_UNKNOWN)
    rst_histogram_add (&planner->stats.step_wait_ms[wait->reason],
                       planner->now - wait->reason_since);
  wait->reason = reason;
  wait->reason_since = is_first ? wait->since : planner->now;
}

void
rst_plan_wait_begin (const struct rst_planner *planner, struct step *step)
{
  static const struct step_wait none;

  step->wait = none;
  step->wait.since = planner->now;
  step->wait.line_at = planner->now + line_lengths_ms[0];
}

/* Takes one of the lines that may be logged this second. */
static bool
take_line (struct rst_planner *planner)
{
  struct planner_wait *wait = &planner->wait;

  if (planner->now - wait->lines_since >= LINES_INTERVAL_MS)
    {
      wait->lines_since = planner->now;
      wait->lines = 0;
    }
  if (wait->lines >= LINES_MAX)
    return false;
  wait->lines++;
  return true;
}

static void
log_end (const struct rst_planner *planner, const struct step *step)
{
  char name[RST_TASK_NAME_SIZE];
  struct number_text waited = format_number (get_waited_ms (planner, step));

  format_step_name (step, name, sizeof name);
  rst_info (RST_PLAN_LOG, "Step no longer waits.", "step", name, "how",
            rst_plan_job_has_ended (step->occurrence->job) ? "job ended"
                                                           : "started",
            "reason", rst_wait_reason_name (step->wait.reason), "waited_ms",
            waited.text);
}

void
rst_plan_wait_end (struct rst_planner *planner, struct step *step)
{
  static const struct step_wait none;

  if (step->wait.since == 0)
    return;
  if (get_waited_ms (planner, step) >= line_lengths_ms[0]
      && rst_log_enabled (G_LOG_LEVEL_INFO))
    {
      if (take_line (planner))
        log_end (planner, step);
      else
        planner->wait.ends_left_out++;
    }
  set_reason (planner, step, RST_WAIT_UNKNOWN);
  step->wait = none;
}

/* Finds the inherited instances that are not accounted for. */
static void
find_missing (const struct rst_planner *planner, struct wait_inputs *inputs)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, planner->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct instance *instance = value;
      const struct instance *last = inputs->missing_instance;

      if (!instance->inherited)
        continue;
      inputs->missing++;
      if (last == NULL || last->runs_known
          || (!instance->runs_known
              && instance->lease_expires_at > last->lease_expires_at))
        inputs->missing_instance = instance;
    }
}

static void
log_wait (const struct rst_planner *planner, const struct step *step,
          const struct wait_inputs *inputs)
{
  const struct rst_wait_room *room = &inputs->room;
  const struct instance *missing = inputs->missing_instance;
  bool needs_approval = step->occurrence->job->queue->settings.needs_approval;
  const struct customer *customer = step->occurrence->job->customer;
  bool is_limited = step->wait.reason == RST_WAIT_LIMIT
                    || step->wait.reason == RST_WAIT_LIMIT_IN_DOUBT;
  struct resources_text limit = format_resources (&customer->settings.limit);
  struct resources_text used = format_resources (&customer->used);
  struct resources_text in_doubt = format_resources (&customer->in_doubt);
  char name[RST_TASK_NAME_SIZE];
  char tasks[32];
  struct number_text waited = format_number (get_waited_ms (planner, step));
  struct number_text lasted
      = format_number (planner->now - step->wait.reason_since);
  struct number_text needed = format_number (room->needed);
  struct number_text room_text = format_number (room->spread);
  struct number_text free_text = format_number (room->free);
  struct number_text eligible = format_number (room->eligible);
  struct number_text approved = format_number (room->approved);
  struct number_text tickets = format_number (room->with_ticket);
  struct number_text missing_count = format_number (inputs->missing);
  struct number_text lease = { "" };

  format_step_name (step, name, sizeof name);
  g_snprintf (tasks, sizeof tasks, "%d/%d", step->tasks_waiting,
              step->spec->count);
  if (missing != NULL && !missing->runs_known)
    lease = format_number (MAX (missing->lease_expires_at - planner->now, 0));
  rst_info (RST_PLAN_LOG, "Step waits.", "step", name, "reason",
            rst_wait_reason_name (step->wait.reason), "waited_ms", waited.text,
            "for_ms", lasted.text, "tasks", tasks, "needed", needed.text,
            "room", room_text.text, "free", free_text.text, "eligible",
            eligible.text, "approved", needs_approval ? approved.text : NULL,
            "with_ticket", needs_approval ? tickets.text : NULL, "missing",
            missing != NULL ? missing_count.text : NULL, "instance",
            missing != NULL ? missing->entry.id : NULL, "lease_ms",
            lease.text[0] != '\0' ? lease.text : NULL, "customer",
            is_limited ? customer->settings.name : NULL, "limit",
            is_limited ? limit.text : NULL, "used",
            is_limited ? used.text : NULL, "in_doubt",
            is_limited ? in_doubt.text : NULL);
}

/* Returns the wait at which a step's next line is logged. */
static rst_ms
get_next_length_ms (rst_ms waited)
{
  rst_ms length = line_lengths_ms[0];

  for (guint i = 1; length <= waited && i < G_N_ELEMENTS (line_lengths_ms);
       i++)
    length = line_lengths_ms[i];
  while (length <= waited)
    length *= 2;
  return length;
}

/* Searches for room even if that does not decide: the line shows it. */
static void
log_step (struct rst_planner *planner, struct step *step)
{
  struct wait_inputs inputs = { 0 };
  enum rst_wait_reason found
      = rst_plan_wait_search_room (planner, step, &inputs.room);

  if (is_found_by_search (step->wait.reason))
    set_reason (planner, step, found);
  if (step->wait.reason == RST_WAIT_IN_DOUBT
      || step->wait.reason == RST_WAIT_LIMIT_IN_DOUBT)
    find_missing (planner, &inputs);
  log_wait (planner, step, &inputs);
  step->wait.line_at
      = step->wait.since + get_next_length_ms (get_waited_ms (planner, step));
}

/* Gives the number of the long waits that no line was left for. */
static void
log_left_out (struct rst_planner *planner, int left_out)
{
  struct planner_wait *wait = &planner->wait;
  struct number_text steps = format_number (left_out);
  struct number_text ends = format_number (wait->ends_left_out);
  struct number_text longest
      = format_number ((int64_t)planner->stats.longest_wait_ms);

  if ((left_out == 0 && wait->ends_left_out == 0)
      || planner->now < wait->count_line_at)
    return;
  rst_info (RST_PLAN_LOG, "More steps wait or waited.", "waiting", steps.text,
            "ended", ends.text, "longest_ms", longest.text);
  wait->ends_left_out = 0;
  wait->count_line_at = planner->now + LINES_INTERVAL_MS;
}

/* Instances that a search for a step looks at, for the limit of a check. */
static int
get_search_cost (const struct rst_planner *planner, const struct step *step)
{
  int tasks = step->spec->max_per_instance > 0 ? step->spec->count : 1;

  return (int)MAX (planner->schedulable_instances->len, 1) * tasks;
}

/* Whether an earlier search of this check has found no room for a need that is
   not greater. */
static bool
is_known_full (const struct search_state *search, const struct step *step)
{
  const char *pool = step->occurrence->job->queue->settings.pool;
  struct rst_resources need = rst_step_get_task_need (step->spec);

  for (int i = 0; i < search->full_count; i++)
    {
      const struct full_need *full = &search->full[i];

      if (need.cpu >= full->need.cpu && need.memory >= full->need.memory
          && need.gpu >= full->need.gpu && g_strcmp0 (pool, full->pool) == 0
          && strcmp (step->spec->label, full->label) == 0)
        return true;
    }
  return false;
}

static void
note_full (struct search_state *search, const struct step *step)
{
  struct full_need full
      = { step->occurrence->job->queue->settings.pool, step->spec->label,
          rst_step_get_task_need (step->spec) };

  if (search->full_count < FULL_NEEDS_MAX)
    search->full[search->full_count++] = full;
}

/* Finds out by a search why a step waits. */
static enum rst_wait_reason
search_reason (const struct rst_planner *planner, const struct step *step,
               struct search_state *search)
{
  struct rst_wait_room room;
  enum rst_wait_reason reason
      = rst_plan_wait_search_room (planner, step, &room);

  search->searched += get_search_cost (planner, step);
  if (reason == RST_WAIT_NO_ROOM && room.total == 0)
    note_full (search, step);
  return reason;
}

/* Examines a step.  Returns false if room decides and it was not looked for,
   as enough instances were looked at before. */
static bool
examine_step (struct rst_planner *planner, struct step *step,
              struct search_state *search)
{
  enum rst_wait_reason reason = rst_plan_wait_find_reason (planner, step);

  if (reason == RST_WAIT_UNKNOWN && is_known_full (search, step))
    reason = RST_WAIT_NO_ROOM;
  if (reason != RST_WAIT_UNKNOWN)
    {
      set_reason (planner, step, reason);
      return true;
    }
  if (search->searched >= SEARCHED_INSTANCES_MAX)
    {
      if (!is_found_by_search (step->wait.reason))
        set_reason (planner, step, RST_WAIT_UNKNOWN);
      return false;
    }
  set_reason (planner, step, search_reason (planner, step, search));
  return true;
}

static void
count_step (struct rst_planner *planner, const struct step *step)
{
  planner->stats.waiting_by_reason[step->wait.reason]++;
  planner->stats.longest_wait_ms = MAX (
      planner->stats.longest_wait_ms, (uint64_t)get_waited_ms (planner, step));
}

static void
clear_counts (struct rst_planner *planner)
{
  planner->stats.longest_wait_ms = 0;
  for (int i = 0; i < RST_WAIT_REASONS; i++)
    planner->stats.waiting_by_reason[i] = 0;
}

static void
check_steps (struct rst_planner *planner)
{
  struct planner_wait *wait = &planner->wait;
  guint count = planner->waiting_steps->len;
  guint first = count > 0 ? wait->next_search % count : 0;
  bool is_logged = rst_log_enabled (G_LOG_LEVEL_INFO);
  bool is_complete = true;
  struct search_state search = { 0 };
  int left_out = 0;

  for (guint i = 0; i < count; i++)
    {
      guint index = (first + i) % count;
      struct step *step = g_ptr_array_index (planner->waiting_steps, index);

      /* The pass has just placed it. */
      if (step->tasks_waiting == 0)
        continue;
      if (!examine_step (planner, step, &search) && is_complete)
        {
          wait->next_search = index;
          is_complete = false;
        }
      if (planner->now >= step->wait.line_at && is_logged
          && take_line (planner))
        log_step (planner, step);
      else if (planner->now >= step->wait.line_at && is_logged)
        left_out++;
      count_step (planner, step);
    }
  log_left_out (planner, left_out);
}

void
rst_plan_wait_check (struct rst_planner *planner)
{
  if (!planner->wait.is_due)
    return;
  planner->wait.is_due = false;
  clear_counts (planner);
  check_steps (planner);
  planner->wait.checked_at = planner->now;
}
