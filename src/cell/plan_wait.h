/**
 * DOC: plan_wait - why waiting steps do not start
 *
 * The one place that says which condition keeps a step from starting.  The
 * log, the metrics and the page for on-call engineers use these reasons.
 * plan_wait.c finds the reason of a step; plan_wait_record.c keeps since when
 * it holds, counts the reasons and logs long waits.  Neither changes what is
 * placed.
 */
#ifndef RST_PLAN_WAIT_H
#define RST_PLAN_WAIT_H

#include <stdbool.h>

#include "rosemarystile.h"

struct rst_planner;
struct step;

/**
 * enum rst_wait_reason - Why a step with waiting tasks does not start them.
 * @RST_WAIT_UNKNOWN: Not examined yet since it became ready.
 * @RST_WAIT_IN_DOUBT: An inherited instance that has not answered yet may run
 *   the task.
 * @RST_WAIT_INTENT: The intent to start is not in the journal yet.
 * @RST_WAIT_UNCONFIRMED: The store has not confirmed this planner since a run
 *   of the task ended; a successor may know its end.
 * @RST_WAIT_RUN_STOPPING: Runs of the gang are being stopped.
 * @RST_WAIT_RUN_SILENT: A run of the gang is on an instance that does not
 *   answer.
 * @RST_WAIT_NOT_STORED: The occurrence of the job is not in the store yet.
 * @RST_WAIT_LIMIT: The customer's runs take up its upper limit.
 * @RST_WAIT_LIMIT_IN_DOUBT: The same, but only as its tasks in doubt count.
 * @RST_WAIT_TRIAL: A suspect of the job has to be tried first.
 * @RST_WAIT_NO_INSTANCE: No registered instance has the pool and the label.
 * @RST_WAIT_PAUSED: All that have them are paused or in evacuated zones.
 * @RST_WAIT_UNAVAILABLE: None that has them takes starts.
 * @RST_WAIT_NO_ROOM: Runs take up the room.
 * @RST_WAIT_ANTI_AFFINITY: There is room only where as many tasks of the step
 *   run as one instance may have.
 * @RST_WAIT_RESERVED: There is room, but reserved for trials, other gangs or
 *   the requests of other steps.
 * @RST_WAIT_RACK: Waits for room in its rack; there is some elsewhere.
 * @RST_WAIT_ADVICE: A request for advice is under way.
 * @RST_WAIT_NOT_REQUESTED: Advice was never requested; the agents are busy.
 * @RST_WAIT_NOT_APPROVED: Too few instances with room are approved.
 * @RST_WAIT_NO_TICKET: They are approved, but without a valid ticket.
 * @RST_WAIT_NOTHING: No condition is left; the next pass should place it.
 */
enum rst_wait_reason
{
  RST_WAIT_UNKNOWN,
  RST_WAIT_IN_DOUBT,
  RST_WAIT_INTENT,
  RST_WAIT_UNCONFIRMED,
  RST_WAIT_RUN_STOPPING,
  RST_WAIT_RUN_SILENT,
  RST_WAIT_NOT_STORED,
  RST_WAIT_LIMIT,
  RST_WAIT_LIMIT_IN_DOUBT,
  RST_WAIT_TRIAL,
  RST_WAIT_NO_INSTANCE,
  RST_WAIT_PAUSED,
  RST_WAIT_UNAVAILABLE,
  RST_WAIT_NO_ROOM,
  RST_WAIT_ANTI_AFFINITY,
  RST_WAIT_RESERVED,
  RST_WAIT_RACK,
  RST_WAIT_ADVICE,
  RST_WAIT_NOT_REQUESTED,
  RST_WAIT_NOT_APPROVED,
  RST_WAIT_NO_TICKET,
  RST_WAIT_NOTHING,
};

/** Number of values of enum rst_wait_reason. */
#define RST_WAIT_REASONS 22

/**
 * struct step_wait - Wait of a step; all zero while it does not wait.
 * @since: When it became ready, or ready again, with a waiting task.
 * @reason: Why it waits, as of the last check that examined it.
 * @reason_since: Since when it waits for that.
 * @line_at: When its next line is logged.
 * @reserved: Number of its tasks that room is reserved for in the current
 *   pass.
 */
struct step_wait
{
  rst_ms since;
  enum rst_wait_reason reason;
  rst_ms reason_since;
  rst_ms line_at;
  int reserved;
};

/**
 * struct planner_wait - Check of all waits.
 * @is_due: Whether the waits are checked after the next placement pass.
 * @checked_at: When they were last checked.
 * @next_search: Index of the waiting step with which the next check begins to
 *   search for room.
 * @lines_since: When the second began in which @lines were logged.
 * @lines: Number of lines logged in it.
 * @ends_left_out: Ends of long waits that were not logged since the last line
 *   that gives their number.
 * @count_line_at: When the next such line may be logged.
 */
struct planner_wait
{
  bool is_due;
  rst_ms checked_at;
  unsigned next_search;
  rst_ms lines_since;
  int lines;
  int ends_left_out;
  rst_ms count_line_at;
};

/**
 * struct rst_wait_room - Room for a step on the instances that take starts.
 * @needed: Number of tasks that have to start together.
 * @eligible: Instances that take starts and have the pool and the label.
 * @total: Number of the step's tasks that fit them beside the runs there.
 * @spread: The same with the largest number of its tasks on one instance.
 * @free: The same beside what is reserved for others too.
 * @approved: Of @spread, on instances that the advice service approved.
 * @with_ticket: Of @approved, where the ticket is valid.
 * @free_with_ticket: Of @free, where the ticket is valid.
 */
struct rst_wait_room
{
  int needed;
  int eligible;
  int total;
  int spread;
  int free;
  int approved;
  int with_ticket;
  int free_with_ticket;
};

/** rst_wait_reason_name() - Name of a reason, for logs and metrics. */
const char *rst_wait_reason_name (enum rst_wait_reason reason);

/* plan_wait.c */

/**
 * rst_plan_wait_find_reason() - Why a step waits, as far as it can be said
 * without looking at instances; RST_WAIT_UNKNOWN if room decides.
 *
 * Called after a placement pass.
 */
enum rst_wait_reason
rst_plan_wait_find_reason (const struct rst_planner *planner,
                           const struct step *step);

/**
 * rst_plan_wait_search_room() - Looks for room for a step on all instances
 * that took starts in the last placement pass.
 * @room: Set to what was found.
 *
 * Return: Why the step waits if rst_plan_wait_find_reason() finds no reason.
 */
enum rst_wait_reason
rst_plan_wait_search_room (const struct rst_planner *planner,
                           const struct step *step,
                           struct rst_wait_room *room);

/* plan_wait_record.c */

/** rst_plan_wait_begin() - Notes that a step waits from now on. */
void rst_plan_wait_begin (const struct rst_planner *planner,
                          struct step *step);

/** rst_plan_wait_end() - Notes that a step no longer waits: its tasks have
    been placed, or its job has ended. */
void rst_plan_wait_end (struct rst_planner *planner, struct step *step);

/**
 * rst_plan_wait_check() - Finds out why steps wait, counts the reasons and
 * logs long waits, if that is due.
 *
 * Called after each placement pass.  The search for room is limited to some
 * steps a check, so that a backlog does not use up the processor.
 */
void rst_plan_wait_check (struct rst_planner *planner);

#endif
