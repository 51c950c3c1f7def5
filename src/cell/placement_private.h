/**
 * DOC: placement_private - the planner's functions for the order and placement
 * of waiting steps
 *
 * Part of planner_private.h, which lists the source files.
 */
#ifndef RST_PLACEMENT_PRIVATE_H
#define RST_PLACEMENT_PRIVATE_H

#include "cell/planner_state_private.h"

/* plan_rank.c */

/** rst_plan_get_expected_run_ms() - Expected run time of a task of a step, in
    milliseconds. */
double rst_plan_get_expected_run_ms (const struct job *job, int index);

/** rst_plan_get_remaining_path_ms() - Expected run time of a step and of those
    that follow it, in milliseconds. */
double rst_plan_get_remaining_path_ms (const struct step *step);

/** rst_plan_get_critical_path_ms() - Expected run time of a job's longest
   chain of steps, in milliseconds. */
double rst_plan_get_critical_path_ms (const struct job *job);

/** rst_plan_get_objective_ms() - Time after its first attempt within which a
    job should end. */
int64_t rst_plan_get_objective_ms (const struct job *job);

/** rst_plan_has_no_value() - Whether a job has missed its objective by so much
    that it has no value any more. */
bool rst_plan_has_no_value (const struct rst_planner *planner, int64_t due_ms,
                            int64_t objective_ms);

/** rst_plan_compute_rank() - Position of a step among the waiting steps; the
    lowest is placed first. */
int64_t rst_plan_compute_rank (const struct rst_planner *planner,
                               const struct step *step);

/** rst_plan_rank_has_value() - Whether the job of a ranked step can still end
    before it has no value any more. */
bool rst_plan_rank_has_value (const struct step *step);

/**
 * rst_plan_set_objective() - Sets by when a step has to start for its job to
 * meet the objective.
 */
void rst_plan_set_objective (struct step *step);

/* plan_place.c */

/** rst_plan_task_may_start() - Whether a task has to be started and may be,
    as far as this planner knows; its step and its room are not looked at. */
bool rst_plan_task_may_start (const struct rst_planner *planner,
                              const struct task *task);

/** rst_plan_gang_may_start() - The same for all tasks of a gang. */
bool rst_plan_gang_may_start (const struct rst_planner *planner,
                              struct step *step);

/** rst_plan_begin_gang_attempt() - Sets the attempt of a gang's next runs. */
void rst_plan_begin_gang_attempt (struct step *step);

/** rst_plan_place_steps() - Runs one placement pass over all waiting steps. */
void rst_plan_place_steps (struct rst_planner *planner);

/** rst_plan_count_tasks_on() - Number of a step's tasks that have runs on an
    instance. */
int rst_plan_count_tasks_on (const struct instance *instance,
                             const struct step *step);

/** rst_plan_task_fits() - Whether an instance has room for one more task. */
bool rst_plan_task_fits (const struct instance *instance,
                         const struct step *step);

/**
 * rst_plan_instance_is_eligible() - Whether a schedulable instance has the
 * pool and the label that a step requires; its room is not looked at.
 */
bool rst_plan_instance_is_eligible (const struct instance *instance,
                                    const struct step *step);

/**
 * rst_plan_count_slots() - Number of a step's tasks that there is room for,
 * beside the runs and reservations of the instance.
 */
int rst_plan_count_slots (const struct instance *instance,
                          const struct step *step);

/** rst_plan_count_unreserved_slots() - The same beside its runs only, for any
    number of the step's tasks on one instance. */
int rst_plan_count_unreserved_slots (const struct instance *instance,
                                     const struct step *step);

/** rst_plan_reserve_slots() - Reserves room for tasks during this pass. */
void rst_plan_reserve_slots (struct instance *instance, struct step *step,
                             int slots);

/* plan_pace.c */

/** rst_plan_set_poll_wait() - Sets how long the long polls of an instance
    wait. */
void rst_plan_set_poll_wait (struct rst_planner *planner,
                             struct instance *instance, int64_t wait_ms);

/**
 * rst_plan_adjust_pace() - Adjusts the pace of an instance's best-effort runs
 * to the response times of its other runs.
 */
void rst_plan_adjust_pace (struct rst_planner *planner,
                           struct instance *instance);

/* plan_speed.c */

/** rst_plan_learn_speed() - Learns from a run that has completed its task,
    which is not yet marked as done. */
void rst_plan_learn_speed (struct rst_planner *planner, const struct run *run);

/** rst_plan_learn_progress() - Learns from the progress of the runs that a
    report lists. */
void rst_plan_learn_progress (struct rst_planner *planner,
                              struct instance *instance);

/** rst_plan_free_speed_runs() - Frees the ended runs kept for a step. */
void rst_plan_free_speed_runs (struct step *step);

/** rst_plan_forget_speed() - Forgets the speed of an instance, which has a new
    incarnation. */
void rst_plan_forget_speed (struct instance *instance);

/** rst_plan_check_speeds() - Updates the speeds that are assumed of the
    instances, if that is due. */
void rst_plan_check_speeds (struct rst_planner *planner);

/** rst_plan_score_speed() - What the speed of an instance adds to its score
    for a task of a step; lower is better. */
double rst_plan_score_speed (const struct rst_planner *planner,
                             const struct instance *instance,
                             const struct step *step);

/** rst_plan_get_gang_worth() - How much a task of a gang is worth on an
    instance; 1 on one of the usual speed.  The slowest instance determines the
    run time of a gang. */
double rst_plan_get_gang_worth (const struct instance *instance);

/* plan_limit.c */

/**
 * rst_plan_is_below_limit() - Whether the customer's upper limit allows
 * @tasks more tasks of a step, beside what gangs placed before it hold.
 */
bool rst_plan_is_below_limit (const struct step *step, int tasks);

/** rst_plan_is_below_limit_without_doubt() - The same if tasks in doubt did
    not count. */
bool rst_plan_is_below_limit_without_doubt (const struct step *step,
                                            int tasks);

void rst_plan_count_in_doubt (struct rst_planner *planner);

/* plan_admission.c */

struct rst_plan_admission *rst_plan_admission_new (void);
void rst_plan_admission_free (struct rst_plan_admission *admission);

/**
 * rst_plan_admit() - Decides whether a submitted job is accepted under the
 * present load.
 * @job: The job, without occurrences.  An accepted one is added to the load.
 *
 * Return: 0 if it is accepted; else seconds after which its caller should
 * retry.
 */
int rst_plan_admit (struct rst_planner *planner, const struct job *job);

/* plan_advice.c */

/**
 * rst_plan_request_advice() - Asks the advice service on which instances a
 * step may run, unless no agent is free or there is no point in it now.  Many
 * instances are split among requests of several agents.
 * @tasks: Number of tasks that could not be placed.
 */
void rst_plan_request_advice (struct rst_planner *planner, struct step *step,
                              int tasks);

/**
 * rst_plan_find_ticket() - Finds the valid ticket of a step for an instance.
 *
 * Return: The ticket, "" if the step's queue needs none, or NULL.
 */
const char *rst_plan_find_ticket (const struct rst_planner *planner,
                                  const struct step *step,
                                  const struct instance *instance);

void rst_plan_receive_advice (struct rst_planner *planner,
                              struct rst_reader *reader);

/**
 * rst_plan_reserve_requested() - Reserves room for tasks that advice requests
 * under way are about.
 */
void rst_plan_reserve_requested (struct rst_planner *planner,
                                 struct step *step, int tasks);

/**
 * rst_plan_end_link_requests() - Ends the advice requests sent over a link
 * that was closed.
 */
void rst_plan_end_link_requests (struct rst_planner *planner, uint64_t link);

/** rst_plan_end_lost_requests() - Ends the advice requests whose answers are
    overdue, so that their steps may ask again. */
void rst_plan_end_lost_requests (struct rst_planner *planner);

/** rst_plan_forget_requests() - Detaches the requests of a step that is about
    to be freed. */
void rst_plan_forget_requests (struct step *step);

void rst_plan_advice_request_free (gpointer data);

#endif
