/**
 * DOC: plan_locality - racks of steps, and waits for room there
 */
#ifndef RST_PLAN_LOCALITY_H
#define RST_PLAN_LOCALITY_H

#include "cell/planner_private.h"

void rst_plan_create_rack_state (struct rst_planner *planner);
void rst_plan_destroy_rack_state (struct rst_planner *planner);

/** rst_plan_begin_rack_pass() - Forgets the waits of the last pass. */
void rst_plan_begin_rack_pass (struct rst_planner *planner);

/** rst_plan_begin_rack_step() - Sets the rack that a step is to run in, before
    it is placed. */
void rst_plan_begin_rack_step (struct rst_planner *planner, struct step *step);

/** rst_plan_end_rack_step() - Ends the wait of a step whose tasks have all
    been placed, or whose job has ended. */
void rst_plan_end_rack_step (struct rst_planner *planner, struct step *step);

/** rst_plan_is_outside_rack() - Whether an instance is not in the rack that a
    step is to run in in this pass. */
bool rst_plan_is_outside_rack (const struct step *step,
                               const struct instance *instance);

/** rst_plan_score_rack() - Term of an instance's score; lower is better. */
double rst_plan_score_rack (const struct step *step,
                            const struct instance *instance);

/**
 * rst_plan_task_waits() - Whether a step's next task waits for its rack.
 * @instance: The best instance with room for it.
 */
bool rst_plan_task_waits (struct rst_planner *planner, struct step *step,
                          const struct instance *instance);

/**
 * rst_plan_limit_request() - Decides whether a step's advice request may name
 * instances outside its rack.
 * @tasks: Number of tasks that could not be placed.
 */
void rst_plan_limit_request (struct rst_planner *planner, struct step *step,
                             int tasks);

/** rst_plan_may_use_rack() - Whether a step may use an instance in this pass
    or name it in a request. */
bool rst_plan_may_use_rack (const struct step *step,
                            const struct instance *instance);

/**
 * rst_plan_confine_gang() - Confines a gang to its rack for this pass.
 *
 * Return: Whether it has one.
 */
bool rst_plan_confine_gang (struct step *step);

/**
 * rst_plan_gang_waits() - Whether a gang that has room, but not in its rack,
 * waits for the rack.  If not, it is no longer confined to the rack.
 */
bool rst_plan_gang_waits (struct rst_planner *planner, struct step *step);

/** rst_plan_confine_reservation() - Confines the room that is reserved for a
    gang to its rack, if it would wait for room there. */
void rst_plan_confine_reservation (struct rst_planner *planner,
                                   struct step *step);

/** rst_plan_release_gang() - Lets a gang use all racks in this pass. */
void rst_plan_release_gang (struct step *step);

/** rst_plan_note_gang_start() - Notes whether a gang starts in its rack. */
void rst_plan_note_gang_start (struct step *step);

/** rst_plan_may_be_approved() - Whether an instance has what a step requires,
    and the advice service has not rejected it. */
bool rst_plan_may_be_approved (const struct step *step,
                               const struct instance *instance);

/** rst_plan_get_rack_delay_ms() - Expected time until a rack has room for the
    @nth waiting task of a step, after what waits for the rack already. */
double rst_plan_get_rack_delay_ms (struct rst_planner *planner,
                                   const struct step *step, const char *rack,
                                   int nth);

/** rst_plan_get_run_factor() - How many times as long as in its rack a run is
    expected to take. */
double rst_plan_get_run_factor (const struct rst_planner *planner,
                                const struct run *run);

/* plan_rack_choice.c */

/** rst_plan_choose_rack() - Chooses the rack of a step whose tasks run faster
    on a single rack. */
void rst_plan_choose_rack (struct rst_planner *planner, struct step *step);

/* plan_locality.c */

/** rst_plan_get_rack_wake() - When a wait has to be decided again; INT64_MAX
    for none. */
rst_ms rst_plan_get_rack_wake (const struct rst_planner *planner);

#endif
