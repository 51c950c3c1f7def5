/**
 * DOC: planner_private - functions shared by the planner's source files
 *
 * planner.c: the public entry points and the main loop.  plan_jobs.c:
 * callers' requests, jobs and their steps.  plan_agents.c: agents and
 * the instances that they hold.  plan_instances.c: instances and reports.
 * plan_runs.c: runs, from the start order to the end.  plan_intent.c: what the
 * journal says of starts.  plan_ends.c: ends that wait to be stored.
 * plan_crash.c: which runs a crash of their instance is attributed to.
 * plan_trial.c: trials of suspects.  plan_rank.c: the order of waiting steps.
 * plan_place.c: placement of waiting tasks.  plan_limit.c: upper limits of
 * customers.  plan_speed.c: speeds of instances, learned from their runs.
 * plan_admission.c: which jobs are rejected under overload. plan_pace.c: the
 * pace of best-effort tasks.  plan_advice.c: requests to the advice service.
 * plan_locality.c: racks of steps, and waits for them. plan_rack_choice.c: one
 * rack for all tasks of a step.  plan_wait.c: why steps wait;
 * plan_wait_record.c counts and logs it.  plan_journal.c: which records are
 * committed when; plan_record.c writes records, plan_restore.c reads them.
 */
#ifndef RST_PLANNER_PRIVATE_H
#define RST_PLANNER_PRIVATE_H

#include "cell/placement_private.h"
#include "cell/planner_state_private.h"

/* planner.c */

/** rst_plan_send() - Sends a message over a link and frees its bytes. */
void rst_plan_send (const struct rst_planner *planner, uint64_t link,
                    struct rst_pack *pack);

/** rst_plan_get_pass_interval() - Time between two placement passes, in
    milliseconds. */
rst_ms rst_plan_get_pass_interval (const struct rst_planner *planner);

/* plan_jobs.c */

/**
 * rst_plan_job_new() - Adds a job without occurrences to the planner.
 * @desc: The job's description; the job takes ownership.
 *
 * Return: The job, owned by the planner.
 */
struct job *rst_plan_job_new (struct rst_planner *planner, const char *id,
                              struct queue *queue, struct customer *customer,
                              struct rst_jobdesc *desc);

void rst_plan_job_free (gpointer data);

/**
 * rst_plan_set_first_attempt() - Sets the time from which the objective of a
 * job that does not repeat runs.
 * @first_attempt_ms: Unix time; one after the job's submission is ignored.
 *
 * Called before the job's steps are enqueued.
 */
void rst_plan_set_first_attempt (struct job *job, int64_t first_attempt_ms);

struct occurrence *rst_plan_find_occurrence (struct job *job, int64_t number);
struct occurrence *rst_plan_occurrence_new (struct job *job, int64_t number);

/**
 * rst_plan_enqueue_step() - Adds a step to the waiting steps if it has
 * waiting tasks and the steps before it are done.
 */
void rst_plan_enqueue_step (struct rst_planner *planner, struct step *step);

void rst_plan_enqueue_steps (struct rst_planner *planner,
                             struct occurrence *occurrence);

/**
 * rst_plan_finish_step() - Handles the completion of a step: enqueues the
 * steps after it, or completes the job if it was the last one.
 */
void rst_plan_finish_step (struct rst_planner *planner, struct step *step);

/**
 * rst_plan_end_job() - Ends a job and stops its runs; does nothing if it has
 * ended.
 */
void rst_plan_end_job (struct rst_planner *planner, struct job *job,
                       enum rst_job_state state);

/** rst_plan_begin_job() - Begins an accepted job, or its occurrences that are
 * due soon. */
void rst_plan_begin_job (struct rst_planner *planner, struct job *job);

/** rst_plan_begin_due_occurrences() - Begins the occurrences of repeating jobs
 * that are due soon, so that they are in the store when they are due, and
 * enqueues the steps of those that have become due. */
void rst_plan_begin_due_occurrences (struct rst_planner *planner);

/** rst_plan_occurrence_is_due() - Whether an occurrence has become due.  It
 * stays so when the clock is set back. */
bool rst_plan_occurrence_is_due (const struct occurrence *occurrence);

/** rst_plan_occurrence_is_stored() - Whether a successor would find an
 * occurrence in the journal; no task of another one starts. */
bool rst_plan_occurrence_is_stored (const struct occurrence *occurrence);

bool rst_plan_job_has_ended (const struct job *job);
struct queue *rst_plan_get_queue (struct rst_planner *planner,
                                  const char *name);
struct customer *rst_plan_get_customer (struct rst_planner *planner,
                                        const char *name);

/** rst_plan_find_task() - Finds a task by its name, or returns NULL. */
struct task *rst_plan_find_task (struct rst_planner *planner,
                                 const char *name);

/* plan_calls.c */

/** rst_plan_reject_unsent_jobs() - Rejects the submitted jobs that were not
    sent to the store if the store does not answer. */
void rst_plan_reject_unsent_jobs (struct rst_planner *planner);

/**
 * rst_plan_reply_committed() - Replies to callers whose changes of a job have
 * been committed.
 */
void rst_plan_reply_committed (struct rst_planner *planner, struct job *job);

/* plan_cancelled.c */

/** rst_plan_note_new() - Creates the note that an id was cancelled now. */
struct job *rst_plan_note_new (struct rst_planner *planner, const char *id,
                               struct queue *queue, struct customer *customer);

/** rst_plan_note_free() - Forgets a note that no commit under way contains. */
void rst_plan_note_free (struct rst_planner *planner, struct job *note);

/** rst_plan_note_is_outdated() - Whether a note is no longer needed. */
bool rst_plan_note_is_outdated (const struct rst_planner *planner,
                                const struct job *note);

/**
 * rst_plan_note_cancel() - Notes the cancel of an id that no job has.
 *
 * Return: The note, to be committed before the caller gets its answer, or NULL
 * if there are too many.
 */
struct job *rst_plan_note_cancel (struct rst_planner *planner, const char *id,
                                  struct queue *queue,
                                  struct customer *customer);

/**
 * rst_plan_submission_is_outdated() - Whether a submission of a job that does
 * not exist has to be rejected, since its caller may have cancelled it.
 * @note: The note of its id, or NULL.
 * @sent_at: When it was sent at the earliest; 0 if that is unknown.
 */
bool rst_plan_submission_is_outdated (struct rst_planner *planner,
                                      const char *id, const struct job *note,
                                      rst_ms sent_at);

/* plan_checkpoint.c */

/** rst_plan_get_checkpoint() - Returns the checkpoint from which a run of a
    task goes on, or "". */
const char *rst_plan_get_checkpoint (struct task *task);

/**
 * rst_plan_keep_checkpoint() - Keeps the last checkpoint of a task.
 * @text: The checkpoint; NULL or "" if there is none, which changes nothing.
 *
 * A checkpoint is kept whole or not at all; then the one before it stays.
 */
void rst_plan_keep_checkpoint (struct rst_planner *planner, struct task *task,
                               const char *text);

/** rst_plan_forget_checkpoint() - Forgets the checkpoint of a task that is
    done. */
void rst_plan_forget_checkpoint (struct rst_planner *planner,
                                 struct task *task);

/** rst_plan_forget_job_checkpoints() - Forgets all checkpoints of a job. */
void rst_plan_forget_job_checkpoints (struct rst_planner *planner,
                                      struct job *job);

/* plan_instances.c */
void rst_plan_instance_free (gpointer data);

/** rst_plan_find_numbered() - Finds an instance by its number, or returns
    NULL. */
struct instance *rst_plan_find_numbered (const struct rst_planner *planner,
                                         guint number);

/** rst_plan_find_approval() - Finds what the advice service said of a step on
    an instance; NULL if it was not asked. */
struct approval *rst_plan_find_approval (const struct step *step,
                                         const struct instance *instance);

/** rst_plan_instance_new() - Adds an instance whose runs are not known. */
struct instance *rst_plan_instance_new (struct rst_planner *planner,
                                        const char *id);

/**
 * rst_plan_check_instances() - Handles expired leases and timeouts of orders,
 * and drops instances that are gone.
 */
void rst_plan_check_instances (struct rst_planner *planner);

void rst_plan_receive_report (struct rst_planner *planner, uint64_t link,
                              struct rst_reader *reader);

/**
 * rst_plan_may_have_successor() - Whether the store has not confirmed this
 * planner for so long that another one may have been elected.
 */
bool rst_plan_may_have_successor (const struct rst_planner *planner);

/** rst_plan_instance_is_schedulable() - Whether an instance takes starts. */
bool rst_plan_instance_is_schedulable (const struct rst_planner *planner,
                                       const struct instance *instance);

/* plan_agents.c */

/**
 * rst_plan_get_latest_lease_expiry() - Latest time at which a lease expires if
 * an agent that the planner does not hear goes on extending it for as long as
 * it may.
 */
rst_ms rst_plan_get_latest_lease_expiry (const struct rst_planner *planner);

/**
 * rst_plan_get_fencing_token() - Fencing token under which an instance is
 * held.
 *
 * It rises with each planner, with each incarnation of the instance and each
 * lease that expired with runs, so that late orders are rejected, and with
 * each agent, so that one that was replaced can't extend the lease.
 */
int64_t rst_plan_get_fencing_token (const struct rst_planner *planner,
                                    const struct instance *instance);

/**
 * rst_plan_raise_fencing_token() - Raises an instance's fencing token, so that
 * it rejects calls with the earlier ones once it has been called with it.
 *
 * Return: False if the planner has no further token for the instance.
 */
bool rst_plan_raise_fencing_token (struct instance *instance);

/**
 * rst_plan_agent_answers() - Whether an agent answers heartbeats, compared
 * with the other agents; otherwise it gets no new starts or advice requests.
 */
bool rst_plan_agent_answers (const struct rst_planner *planner,
                             const struct agent *agent);

/** rst_plan_log_silent_agents() - Logs which agents have stopped or begun to
    answer since the last call. */
void rst_plan_log_silent_agents (struct rst_planner *planner);

/** rst_plan_send_hold() - Orders an instance's agent to hold it. */
void rst_plan_send_hold (struct rst_planner *planner,
                         struct instance *instance);

/**
 * rst_plan_assign_instances() - Assigns instances without an agent to agents,
 * preferably of the same zone.
 */
void rst_plan_assign_instances (struct rst_planner *planner);

/** rst_plan_assign_instance() - Assigns one instance, if there is an agent. */
void rst_plan_assign_instance (struct rst_planner *planner,
                               struct instance *instance);

/** rst_plan_unassign_instance() - Releases an instance from its agent. */
void rst_plan_unassign_instance (struct rst_planner *planner,
                                 struct instance *instance);

/**
 * rst_plan_mark_runs_unknown() - Notes that no agent reports the runs of an
 * instance.
 * @lease_expires_at: When its lease has certainly expired.
 * @basis: What that time was computed from.
 */
void rst_plan_mark_runs_unknown (struct rst_planner *planner,
                                 struct instance *instance,
                                 rst_ms lease_expires_at,
                                 enum lease_basis basis);

/**
 * rst_plan_send_to_instance() - Sends a message that has an instance's id and
 * a number to the instance's agent, if it has one.
 */
void rst_plan_send_to_instance (struct rst_planner *planner,
                                struct instance *instance, int kind,
                                int64_t number);

/* plan_ends.c */

/** rst_plan_instance_may_have_runs() - Whether an instance has runs, or ends
   of runs that are in no segment yet. */
bool rst_plan_instance_may_have_runs (const struct instance *instance);

/** rst_plan_note_unstored_end() - Notes an end before it is applied. */
void rst_plan_note_unstored_end (struct instance *instance,
                                 const struct rst_run *listed);

/** rst_plan_note_instance_ended() - Handles the certain end of an instance
 * that is no crash: all its runs are gone, and no order to it can be carried
 * out any more. */
void rst_plan_note_instance_ended (struct rst_planner *planner,
                                   struct instance *instance);

/** rst_plan_note_answer() - Notes that an instance has answered itself. */
void rst_plan_note_answer (struct instance *instance);

/** rst_plan_discard_unstored_ends() - Forgets the ends of an incarnation that
    is over, or of a lease that has expired: the tasks may start again. */
void rst_plan_discard_unstored_ends (struct instance *instance);

/** rst_plan_discard_stored_ends() - Forgets the ends whose jobs are in the
    segments up to the one that is being packed. */
void rst_plan_discard_stored_ends (struct rst_planner *planner);

/**
 * rst_plan_mark_ends_committing() - Notes which ends instances may forget once
 * the pending commit is stored: those up to the first whose job waits for a
 * later segment.
 *
 * Return: Whether no end waits.
 */
bool rst_plan_mark_ends_committing (struct rst_planner *planner);

/**
 * rst_plan_send_acks() - Acknowledges the ends that have been committed; the
 * instances may then forget them.
 */
void rst_plan_send_acks (struct rst_planner *planner);

/* plan_runs.c */
void rst_plan_run_free (gpointer data);

/** rst_plan_run_new() - Adds a run of a task and counts its resources. */
struct run *rst_plan_run_new (struct rst_planner *planner, struct task *task,
                              struct instance *instance, int attempt);

/** rst_plan_run_mark_started() - Notes that an instance has started a run. */
void rst_plan_run_mark_started (struct run *run);

/** rst_plan_job_mark_started() - Notes that a task of a job has started. */
void rst_plan_job_mark_started (struct job *job);

/**
 * rst_plan_run_remove() - Removes a run and enqueues the step of its task if
 * the task is not done.
 */
void rst_plan_run_remove (struct rst_planner *planner, struct run *run);

/**
 * rst_plan_start_task() - Adds a start order for a task; it is sent by
 * rst_plan_send_starts().
 * @instance: An instance with an agent.
 * @attempt: Attempt number of the run; higher than all earlier ones.
 * @ticket: Ticket of the advice service, or "".
 */
void rst_plan_start_task (struct rst_planner *planner, struct task *task,
                          struct instance *instance, int attempt,
                          const char *ticket);

/** rst_plan_send_starts() - Sends the start orders of a step, one message to
    each agent. */
void rst_plan_send_starts (struct rst_planner *planner,
                           const struct step *step);

/** rst_plan_stop_run() - Sends a stop order unless one was sent. */
void rst_plan_stop_run (struct rst_planner *planner, struct run *run);

void rst_plan_receive_started (struct rst_planner *planner,
                               struct rst_reader *reader);
void rst_plan_receive_stopped (struct rst_planner *planner,
                               struct rst_reader *reader);

/** rst_plan_apply_end() - Applies the end of a run that an instance lists. */
void rst_plan_apply_end (struct rst_planner *planner,
                         struct instance *instance, const struct rst_run *end);

/** rst_plan_log_ends() - Logs the ends that were applied from a report on an
    instance, in one line. */
void rst_plan_log_ends (struct rst_planner *planner,
                        const struct instance *instance);

/** rst_plan_mark_runs_lost() - Marks all runs of an instance as lost, since
 * its earlier incarnation ended or its lease expired. */
void rst_plan_mark_runs_lost (struct rst_planner *planner,
                              struct instance *instance, const char *why);

/**
 * rst_plan_run_mark_lost() - Removes a run that is certainly not on its
 * instance, so that its task may start elsewhere.
 * @why: Reason, for the log.
 */
void rst_plan_run_mark_lost (struct rst_planner *planner, struct run *run,
                             const char *why);

/**
 * rst_plan_check_runs() - Repeats unanswered stop orders, and stops runs whose
 * start was not answered or that have stalled.
 */
void rst_plan_check_runs (struct rst_planner *planner,
                          struct instance *instance);

void rst_plan_format_task_name (const struct task *task, char *out,
                                size_t size);

/* plan_crash.c */

/** rst_plan_get_survived_ms() - How long a run is known to have run. */
rst_ms rst_plan_get_survived_ms (const struct run *run);

/** rst_plan_get_lost_after_ms() - How long after its start order the run's
    instance was reported to be silent; INT64_MAX if it was not. */
rst_ms rst_plan_get_lost_after_ms (const struct run *run);

/**
 * rst_plan_count_crash() - Counts the crash of an instance under the tasks
 * that may have caused it.
 *
 * Called before the instance's runs are marked as lost.  Ends the job of a
 * task that is certainly the cause.
 */
void rst_plan_count_crash (struct rst_planner *planner,
                           struct instance *instance);

/** rst_plan_note_lapsed_runs() - Remembers the runs of an instance whose lease
    has expired, before they are marked as lost. */
void rst_plan_note_lapsed_runs (struct instance *instance);

/** rst_plan_is_suspect() - Whether a task has to be tried apart from other
    jobs. */
bool rst_plan_is_suspect (const struct task *task);

/** rst_plan_is_probable() - Whether a suspect probably is the cause of its
    crash, so that it may be tried together with others like it. */
bool rst_plan_is_probable (const struct task *task);

void rst_plan_set_suspect (struct task *task, bool is_suspect);

/** rst_plan_restore_crashes() - Begins the history of a task that is read from
    the journal, without attempts. */
void rst_plan_restore_crashes (struct task *task, bool is_suspect,
                               bool is_probable, rst_ms survived_ms);

/** rst_plan_clear_crashes() - Forgets the crashes counted under a task. */
void rst_plan_clear_crashes (struct task *task);

/** rst_plan_suspects_crash_at_start() - Whether all suspects of a step crash
    their instances soon after they have started, if they do. */
bool rst_plan_suspects_crash_at_start (const struct step *step);

/** rst_plan_clear_suspect() - The same for a suspect, which is logged and
    recorded. */
void rst_plan_clear_suspect (struct rst_planner *planner, struct task *task,
                             const char *why);

/** rst_plan_check_probation() - Clears the task of a run that has run for long
    enough. */
void rst_plan_check_probation (struct rst_planner *planner, struct run *run);

/* plan_trial.c */

/** rst_plan_place_trials() - Starts or prepares the trials of all suspects, at
    the beginning of a placement pass. */
void rst_plan_place_trials (struct rst_planner *planner);

/** rst_plan_awaits_trial() - Whether a step waits until the suspects of its
   job are cleared. */
bool rst_plan_awaits_trial (const struct step *step);

/** rst_plan_count_trial_slots() - Number of a step's tasks that an instance
   has room for once it runs nothing else; 0 if the step's trial can't use it.
 */
int rst_plan_count_trial_slots (const struct instance *instance,
                                const struct step *step, rst_ms now);

/** rst_plan_begin_trial() - Notes that a run is a trial: nothing joins it. */
void rst_plan_begin_trial (struct run *run);

/** rst_plan_end_trial() - Notes that a run is no longer a trial. */
void rst_plan_end_trial (struct run *run);

/** rst_plan_end_gang_trial() - The same for all runs of a gang without
    suspects. */
void rst_plan_end_gang_trial (const struct step *step);

/* plan_record.c */

/**
 * rst_plan_pack_job() - Writes a job's record: its progress if a full record
 * is in the journal, else a full one.
 */
void rst_plan_pack_job (const struct rst_planner *planner,
                        struct rst_pack *pack, struct job *job);

/** rst_plan_pack_instance() - Writes that an instance takes starts. */
void rst_plan_pack_instance (struct rst_pack *pack,
                             const struct instance *instance);

/**
 * rst_plan_pack_unreachable_instance() - Writes what an unreachable instance
 * may still run, and until when.
 */
void rst_plan_pack_unreachable_instance (const struct rst_planner *planner,
                                         struct rst_pack *pack,
                                         const struct instance *instance);

void rst_plan_pack_queue (struct rst_pack *pack, const struct queue *queue);

/* plan_tables.c */

/**
 * rst_plan_has_room_for() - Whether there is memory for a submitted job; if
 * not, counts and logs it.
 */
bool rst_plan_has_room_for (struct rst_planner *planner, const char *id,
                            const struct rst_jobdesc *desc);

/* plan_journal.c */
bool rst_plan_job_has_runs (const struct job *job);

/** rst_plan_job_is_recorded() - Whether the store has a job as it is. */
bool rst_plan_job_is_recorded (const struct rst_planner *planner,
                               const struct job *job);

/** rst_plan_mark_dirty() - Marks a job for the next commit. */
void rst_plan_mark_dirty (struct rst_planner *planner, struct job *job);

/** rst_plan_commit() - Commits what changed, if a commit is due. */
void rst_plan_commit (struct rst_planner *planner);

/** rst_plan_add_segment() - Adds a segment to those of the journal. */
void rst_plan_add_segment (struct rst_planner *planner, int64_t number,
                           size_t bytes);

#endif
