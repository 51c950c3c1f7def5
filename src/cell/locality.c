#include "cell/locality.h"

#include <string.h>

/** Longest wait of a task while nothing of its job runs and there is ample
    room.  Such a job must not be left waiting for 3 s; the order and its
    confirmation take the rest. */
#define IDLE_JOB_WAIT_MAX_MS 2000.0

/** Below this progress, which is reported in whole percent, the rest of a run
    is not derived from it. */
#define PROGRESS_MIN_PERCENT 10

/** Tasks of one step differ by 15 to 30 %, so a run is not expected to end
    sooner than after this share of its expected time. */
#define REMAINING_SHARE_MIN 0.1

/** A run that has taken this many times its expected time is a straggler; it
    is expected to take as long again as it has run.  Stragglers take about
    seven times as long as others. */
#define STRAGGLER_FACTOR 1.5

/** Largest penalty that the setting takes. */
#define PENALTY_MAX 100.0

bool
rst_locality_parse_penalty (const char *text, double *penalty)
{
  char *end;
  double value;

  *penalty = 1.0;
  if (text[0] == '\0')
    return true;
  /* No signs, spaces, exponents, hexadecimal numbers or names of numbers. */
  if (strspn (text, "0123456789.") != strlen (text))
    return false;
  value = g_ascii_strtod (text, &end);
  if (*end != '\0' || value < 1.0 || value > PENALTY_MAX)
    return false;
  *penalty = value;
  return true;
}

enum rst_locality_reason
rst_locality_decide (const struct rst_locality_case *task, double *wait_ms)
{
  double limit_ms = task->gain_ms - task->waited_ms;
  bool is_idle = !task->job_runs && task->has_ample_room;

  *wait_ms = 0.0;
  if (task->delay_ms >= task->gain_ms)
    return RST_LOCALITY_NO_GAIN;
  if (task->delay_ms >= limit_ms)
    return RST_LOCALITY_WAITED;
  if (task->spare_ms >= 0.0 && task->delay_ms >= task->spare_ms)
    return RST_LOCALITY_OBJECTIVE;
  if (is_idle && task->delay_ms >= IDLE_JOB_WAIT_MAX_MS - task->waited_ms)
    return RST_LOCALITY_IDLE_JOB;
  if (task->spare_ms >= 0.0)
    limit_ms = MIN (limit_ms, task->spare_ms);
  if (is_idle)
    limit_ms = MIN (limit_ms, IDLE_JOB_WAIT_MAX_MS - task->waited_ms);
  *wait_ms = limit_ms;
  return RST_LOCALITY_WAIT;
}

const char *
rst_locality_reason_name (enum rst_locality_reason reason)
{
  static const char *const names[RST_LOCALITY_REASONS]
      = { "room", "no gain", "waited", "objective", "idle job", "job ended" };

  return names[reason];
}

double
rst_locality_get_remaining_ms (double expected_ms, double elapsed_ms,
                               int progress_percent,
                               double progress_elapsed_ms)
{
  double floor_ms = REMAINING_SHARE_MIN * expected_ms;

  if (progress_percent >= PROGRESS_MIN_PERCENT)
    {
      double length_ms
          = progress_elapsed_ms * 100.0 / (double)progress_percent;

      return MAX (length_ms - elapsed_ms, MIN (floor_ms, length_ms / 10.0));
    }
  if (elapsed_ms > STRAGGLER_FACTOR * expected_ms)
    return elapsed_ms;
  return MAX (expected_ms - elapsed_ms, floor_ms);
}

static gint
compare_runs (gconstpointer a, gconstpointer b)
{
  double left = ((const struct rst_locality_run *)a)->remaining_ms;
  double right = ((const struct rst_locality_run *)b)->remaining_ms;

  return left < right ? -1 : left > right;
}

int64_t
rst_locality_count_tasks (const struct rst_resources *available,
                          const struct rst_resources *need, int64_t max)
{
  if (need->cpu > 0)
    max = MIN (max, available->cpu / need->cpu);
  if (need->memory > 0)
    max = MIN (max, available->memory / need->memory);
  if (need->gpu > 0)
    max = MIN (max, available->gpu / need->gpu);
  return max;
}

void
rst_locality_add_slots (GArray *slots, struct rst_resources available,
                        GArray *runs, const struct rst_resources *need,
                        int max)
{
  int64_t added = 0;
  double time_ms = 0.0;

  g_array_sort (runs, compare_runs);
  for (guint i = 0; added < max; i++)
    {
      const struct rst_locality_run *run;

      for (int64_t fitting = rst_locality_count_tasks (&available, need, max);
           added < fitting; added++)
        g_array_append_val (slots, time_ms);
      if (i >= runs->len)
        return;
      run = &g_array_index (runs, struct rst_locality_run, i);
      time_ms = run->remaining_ms;
      rst_resources_add (&available, &run->need, 1);
    }
}

static gint
compare_times (gconstpointer a, gconstpointer b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return left < right ? -1 : left > right;
}

void
rst_locality_sort_slots (GArray *slots)
{
  g_array_sort (slots, compare_times);
}

double
rst_locality_get_delay_ms (const GArray *slots, int ahead, int nth)
{
  guint index = (guint)ahead + (guint)nth - 1;

  return index < slots->len ? g_array_index (slots, double, index)
                            : RST_LOCALITY_NEVER_MS;
}
