/**
 * DOC: machine_state_private - what the list of machines tells the planner
 *
 * Used by plan_machines.c only.
 */
#ifndef RST_MACHINE_STATE_PRIVATE_H
#define RST_MACHINE_STATE_PRIVATE_H

#include <stdbool.h>

#include "rosemarystile.h"

/**
 * struct machine_watch - When the list of machines is read.
 * @next_check_at: When to check whether it is wanted.
 * @wanted_at: When it was last wanted; 0 for never.
 * @listed_at: When the last complete one was requested; 0 for none.
 * @unconfirmed: Whether that one lacked an instance for the first time.
 */
struct machine_watch
{
  rst_ms next_check_at;
  rst_ms wanted_at;
  rst_ms listed_at;
  bool unconfirmed;
};

/**
 * struct machine_listing - What the lists have shown of an instance.
 * @has_left: Whether they have shown that it has ended, and it has not
 *   answered since.
 * @was_listed: Whether this planner has read a list that had it.
 * @unlisted_since: When the first list that lacks it was requested; 0 if the
 *   last one has it.
 */
struct machine_listing
{
  bool has_left;
  bool was_listed;
  rst_ms unlisted_since;
};

#endif
