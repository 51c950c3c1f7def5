#include "cell/start_estimate.h"

#include <string.h>

/** Length of a slot, and how long before the load was determined the first
    one begins.  Objectives are 1 to 14 s. */
#define SLOT_MS 100
#define SLOTS_BEFORE_MS 8000

/** A run that is under way has half of its time left on average. */
#define MEAN_PROGRESS 0.5

void
rst_start_load_clear (struct rst_start_load *load,
                      const struct rst_resources *capacity, int64_t taken_at)
{
  memset (load, 0, sizeof *load);
  load->capacity = *capacity;
  load->taken_at = taken_at;
}

static void
add_work (struct rst_start_work *sum, const struct rst_resources *need,
          double ms)
{
  sum->cpu += (double)need->cpu * ms;
  sum->memory += (double)need->memory * ms;
  sum->gpu += (double)need->gpu * ms;
}

void
rst_start_load_add_run (struct rst_start_load *load,
                        const struct rst_resources *need, double expected_ms,
                        double left_ms)
{
  /* Never more than the same runs are expected to have left when the step
     starts, so that long runs that just began delay nobody. */
  add_work (&load->running, need,
            CLAMP (left_ms, 0.0, MAX (expected_ms, 0.0) * MEAN_PROGRESS));
  /* Sums until rst_start_load_finish_runs(). */
  load->turnover_ms += (double)need->cpu * expected_ms;
  load->turnover_weight += (double)need->cpu;
}

void
rst_start_load_finish_runs (struct rst_start_load *load)
{
  load->turnover_ms = load->turnover_weight > 0.0
                          ? load->turnover_ms / load->turnover_weight
                          : 0.0;
}

static int
find_slot (const struct rst_start_load *load, int64_t start_by)
{
  int64_t slot = (start_by - load->taken_at + SLOTS_BEFORE_MS) / SLOT_MS;

  return (int)CLAMP (slot, 0, RST_START_SLOTS - 1);
}

void
rst_start_load_add_waiting (struct rst_start_load *load,
                            enum rst_start_band band, int64_t start_by,
                            const struct rst_resources *need, int tasks,
                            double expected_ms)
{
  add_work (&load->waiting[band][find_slot (load, start_by)], need,
            expected_ms * tasks);
  add_work (&load->waiting_sum, need, expected_ms * tasks);
}

/* Adds what is placed before a step, with all of its slot: of jobs of one
   kind, those in it that already wait were submitted earlier. */
static void
add_waiting_before (const struct rst_start_load *load,
                    enum rst_start_band band, int64_t start_by,
                    struct rst_start_work *sum)
{
  int own_slot = find_slot (load, start_by);

  for (int i = 0; i <= (int)band; i++)
    for (int k = 0; k < (i < (int)band ? RST_START_SLOTS : own_slot + 1); k++)
      {
        sum->cpu += load->waiting[i][k].cpu;
        sum->memory += load->waiting[i][k].memory;
        sum->gpu += load->waiting[i][k].gpu;
      }
}

static double
get_ms (double work, int64_t capacity)
{
  return capacity > 0 ? work / (double)capacity : 0.0;
}

/* Time that the supply takes for an amount of work. */
static double
get_work_ms (const struct rst_start_load *load,
             const struct rst_start_work *work)
{
  double cpu_ms = get_ms (work->cpu, load->capacity.cpu);
  double memory_ms = get_ms (work->memory, load->capacity.memory);

  return MAX (MAX (cpu_ms, memory_ms), get_ms (work->gpu, load->capacity.gpu));
}

double
rst_start_load_get_waiting_ms (const struct rst_start_load *load)
{
  return get_work_ms (load, &load->waiting_sum);
}

/* While all of the supply is in use, its capacity is the rate at which work is
   done.  When the step starts, all before it has started, and the runs then
   under way have half of their time left. */
double
rst_start_load_get_delay_ms (const struct rst_start_load *load,
                             enum rst_start_band band, int64_t start_by,
                             int64_t now)
{
  struct rst_start_work sum = load->running;

  add_waiting_before (load, band, start_by, &sum);
  return MAX (get_work_ms (load, &sum) - load->turnover_ms * MEAN_PROGRESS
                  - (double)MAX (now - load->taken_at, 0),
              0.0);
}
