/**
 * DOC: locality_state_private - what the planner keeps of racks and waits
 *
 * All of it is lost with the planner; see plan_locality.c.
 */
#ifndef RST_LOCALITY_STATE_PRIVATE_H
#define RST_LOCALITY_STATE_PRIVATE_H

#include "cell/backend.h"
#include "cell/locality.h"
#include "cell/planner.h"

/**
 * struct step_locality - Rack and wait of a step.
 * @rack: The rack that it is to run in in the current pass, or "".
 * @rack_is_chosen: Whether the planner has chosen it, since the tasks run
 *   faster on one rack, whichever that is.
 * @is_planned: Whether the current pass has decided how many tasks wait.
 * @waits: Number of those that are not held back yet.
 * @held: Number of those that are.
 * @rack_only: Whether nothing outside the rack is used in the current pass.
 * @is_waiting: Whether it waits.
 * @waited_since: When it first waited, or 0.
 * @delay_ms: The delay that was expected when its last wait began.
 * @home: The rack that was last chosen for all its tasks, or "".
 * @next_choice_at: When a rack is next chosen by expected room.
 * @is_spread: Whether its tasks run on several racks although they run faster
 *   on one, or a gang near data not in the rack of the data.
 */
struct step_locality
{
  char rack[RST_ID_SIZE];
  bool rack_is_chosen;
  bool is_planned;
  int waits;
  int held;
  bool rack_only;
  bool is_waiting;
  rst_ms waited_since;
  double delay_ms;
  char home[RST_ID_SIZE];
  rst_ms next_choice_at;
  bool is_spread;
};

/**
 * struct planner_locality - Waits of all steps.
 * @claims: struct rack_claim: what waits for each rack in the current pass.
 * @slots: Buffer for an estimate: double.
 * @runs: The same: struct rst_locality_run.
 * @by_rack: GPtrArray of the instances that take starts in the current pass,
 * by rack; filled when it is first needed.
 * @wake_at: When the first wait has to be decided again; INT64_MAX for none.
 * @policy: Whether steps wait.
 */
struct planner_locality
{
  GArray *claims;
  GArray *slots;
  GArray *runs;
  GHashTable *by_rack;
  rst_ms wake_at;
  enum rst_rack_policy policy;
};

#endif
