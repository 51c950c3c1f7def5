/**
 * DOC: locality - whether a task starts in its rack, elsewhere, or waits
 *
 * Answers one load pattern: many tasks run faster in one rack, because of
 * their data or their group, than that rack has room for.  A task that starts
 * elsewhere takes longer; one that waits may wait longer than it gains.  The
 * functions compare the two and have no state of their own.
 */
#ifndef RST_LOCALITY_H
#define RST_LOCALITY_H

#include <glib.h>

#include "cell/jobdesc.h"
#include "rosemarystile.h"

/** Delay until room becomes free in a rack where none is expected to. */
#define RST_LOCALITY_NEVER_MS 1e15

/**
 * enum rst_locality_reason - Why a task waits for its rack or starts
 * elsewhere.
 * @RST_LOCALITY_WAIT: It waits.
 * @RST_LOCALITY_NO_GAIN: Room in the rack is expected too late to gain by it.
 * @RST_LOCALITY_WAITED: It has waited, and would wait in all for longer than
 *   it gains.
 * @RST_LOCALITY_OBJECTIVE: Its job would miss its objective by a wait.
 * @RST_LOCALITY_IDLE_JOB: Nothing of its job runs although there is ample
 *   room, and the wait would be longer than such a job may wait.
 * @RST_LOCALITY_JOB_ENDED: Its job has ended; never the result of a decision.
 */
enum rst_locality_reason
{
  RST_LOCALITY_WAIT,
  RST_LOCALITY_NO_GAIN,
  RST_LOCALITY_WAITED,
  RST_LOCALITY_OBJECTIVE,
  RST_LOCALITY_IDLE_JOB,
  RST_LOCALITY_JOB_ENDED,
};

/** Number of values of enum rst_locality_reason. */
#define RST_LOCALITY_REASONS 6

/**
 * struct rst_locality_case - A task that has room elsewhere, not in its rack.
 * @gain_ms: By how much its run is expected to be shorter in the rack.
 * @delay_ms: Expected time until it has room in the rack.
 * @waited_ms: How long it has waited since it first had room elsewhere only.
 * @spare_ms: Time until it has to be ordered elsewhere at the latest for its
 *   job to meet its objective; negative if a start elsewhere can't meet it.
 * @job_runs: Whether any task of its job runs.
 * @has_ample_room: Whether there is room for it twice over, anywhere.
 */
struct rst_locality_case
{
  double gain_ms;
  double delay_ms;
  double waited_ms;
  double spare_ms;
  bool job_runs;
  bool has_ample_room;
};

/**
 * rst_locality_parse_penalty() - Reads the setting of how many times as long
 * tasks take outside their rack.
 * @text: Decimal number from 1 to 100; "" stands for 1.
 * @penalty: Set to the number, or to 1 if the text is invalid.
 *
 * Return: Whether the text is valid.
 */
bool rst_locality_parse_penalty (const char *text, double *penalty);

/**
 * rst_locality_decide() - Decides whether a task waits for its rack.
 * @wait_ms: Set to how much longer it waits at most; 0 if it does not wait.
 *
 * The waits of one task last no longer in all than its gain, so that it ends
 * no later than after twice the better of the two choices.
 *
 * Return: RST_LOCALITY_WAIT, or why it starts elsewhere.
 */
enum rst_locality_reason
rst_locality_decide (const struct rst_locality_case *task, double *wait_ms);

/** rst_locality_reason_name() - How a wait ended, for logs and counters;
    RST_LOCALITY_WAIT stands for one that ended with room. */
const char *rst_locality_reason_name (enum rst_locality_reason reason);

/**
 * rst_locality_get_remaining_ms() - Expected time until a run ends.
 * @expected_ms: Expected length of the run.
 * @elapsed_ms: How long it has run.
 * @progress_percent: Its last reported progress; 0 if none was.
 * @progress_elapsed_ms: How long it had run at that report.
 */
double rst_locality_get_remaining_ms (double expected_ms, double elapsed_ms,
                                      int progress_percent,
                                      double progress_elapsed_ms);

/**
 * struct rst_locality_run - A run on an instance of the rack.
 * @remaining_ms: Expected time until it ends.
 * @need: The resources that it then releases.
 */
struct rst_locality_run
{
  double remaining_ms;
  struct rst_resources need;
};

/**
 * rst_locality_add_slots() - Adds the times after which an instance has room
 * for one more task, for up to @max tasks.
 * @slots: double: the times, in milliseconds; later sorted by the caller.
 * @available: Its resources that are free now; below 0 if it is overfull.
 * @runs: struct rst_locality_run; sorted by this function.
 * @need: Resources of one task.
 */
void rst_locality_add_slots (GArray *slots, struct rst_resources available,
                             GArray *runs, const struct rst_resources *need,
                             int max);

/** rst_locality_count_tasks() - Number of tasks that there is room for, up to
    @max. */
int64_t rst_locality_count_tasks (const struct rst_resources *available,
                                  const struct rst_resources *need,
                                  int64_t max);

/** rst_locality_sort_slots() - Sorts the times of slots, earliest first. */
void rst_locality_sort_slots (GArray *slots);

/**
 * rst_locality_get_delay_ms() - Expected time until a task has room.
 * @slots: Sorted times of the rack's slots.
 * @ahead: Number of slots that tasks placed earlier will take.
 * @nth: Which of the step's waiting tasks it is, from 1.
 */
double rst_locality_get_delay_ms (const GArray *slots, int ahead, int nth);

#endif
