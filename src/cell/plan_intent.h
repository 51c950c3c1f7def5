/**
 * DOC: plan_intent - what the journal says of the starts of a task
 *
 * A start order is not recorded before it is sent.  Instead the record of each
 * task says where a successor has to look for a run:
 *
 * - on any instance: the planner may order a start at any moment.  This is the
 *   intent to start the task; no start is ordered without it;
 * - on one instance, where the task was placed;
 * - nowhere.
 *
 * The first record of a job contains the intent for the tasks that may start
 * at once, so that these wait for no further commit.  It is withdrawn from
 * tasks that find no room, and recorded again when there is some.
 */
#ifndef RST_PLAN_INTENT_H
#define RST_PLAN_INTENT_H

#include "cell/planner_state_private.h"

/** rst_plan_has_intent() - Whether the journal contains the intent to start a
    task. */
bool rst_plan_has_intent (const struct task *task);
/** rst_plan_step_has_intent() - The same for all tasks of a step that have no
    run and are not done. */
bool rst_plan_step_has_intent (const struct step *step);
/** rst_plan_want_intent() - Has the intent recorded with the next commit. */
void rst_plan_want_intent (struct rst_planner *planner, struct task *task);
/** rst_plan_want_step_intent() - The same for the tasks of a step that have no
    run and are not done. */
void rst_plan_want_step_intent (struct rst_planner *planner,
                                struct step *step);
/**
 * rst_plan_choose_start_record() - Decides what the next record says of the
 * starts of a task.
 * @place: Set to the key of the instance for %RST_STARTS_ON_ONE.
 *
 * An intent that the record does not repeat is void from now on.
 */
enum rst_starts
rst_plan_choose_start_record (const struct rst_planner *planner,
                              struct task *task, guint32 *place);
/** rst_plan_confirm_intents() - Notes that the record of a job which was
    packed last is stored. */
void rst_plan_confirm_intents (const struct rst_planner *planner,
                               const struct job *job);
/** rst_plan_withdraw_intents() - Marks the jobs for the next commit whose
    waiting tasks keep an intent that was of no use. */
void rst_plan_withdraw_intents (struct rst_planner *planner);
/** rst_plan_drop_young_intents() - Lets the steps of a restored occurrence
   that are ready count as ready for long, so that what they wait for is
   recorded only when there is room for it. */
void rst_plan_drop_young_intents (struct occurrence *occurrence);

/** rst_plan_restore_intent() - Sets what the journal says of the starts of a
    task. */
void rst_plan_restore_intent (struct task *task, enum rst_starts starts,
                              guint32 place);
/**
 * rst_plan_set_inherited() - Notes whether an instance may have runs that an
 * earlier planner started and that this one does not know.
 */
void rst_plan_set_inherited (struct rst_planner *planner,
                             struct instance *instance, bool inherited);
/** rst_plan_is_in_doubt() - Whether a task may run, ordered by an earlier
    planner, on an instance that this one has not heard yet. */
bool rst_plan_is_in_doubt (const struct rst_planner *planner,
                           const struct task *task);

#endif
