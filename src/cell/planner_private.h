/**
 * DOC: planner_private - the planner's state, shared by its source files
 *
 * planner.c: the public entry points and the main loop.  plan_jobs.c:
 * callers' requests, jobs and their steps.  plan_instances.c: instances,
 * agents and reports.  plan_runs.c: runs, from the start order to the end.
 * plan_place.c: placement of waiting tasks.  plan_limit.c: upper limits of
 * customers.  plan_pace.c: the pace of best-effort tasks.  plan_advice.c:
 * requests to the advice service.  plan_journal.c: which records are
 * committed when; plan_record.c writes records, plan_restore.c reads them.
 */
#ifndef RST_PLANNER_PRIVATE_H
#define RST_PLANNER_PRIVATE_H

#include "cell/fault_private.h"
#include "cell/planner.h"
#include "util/log.h"

#define RST_PLAN_LOG "planner"

/** Size of a job's id: hexadecimal digits and the final NUL. */
#define RST_JOB_ID_SIZE 17

/** How long a start order may stay unanswered before the run is stopped. */
#define RST_START_TIMEOUT_MS 1500

/** Number of a task's failed runs whose attempts are remembered. */
#define RST_FAILED_RUNS_MAX 16

/** Longest time that a lease lasts by the planner's clock, in percent of its
 * time by the instance's clock, which may run 2 % slow. */
#define RST_SLOW_CLOCK_PERCENT 102

/** Flag of a task in the journal: the task is done. */
#define RST_TASK_DONE_FLAG 1

/** Flag of a task in the journal: a task of its job has started. */
#define RST_TASK_STARTED_FLAG 2

/**
 * enum rst_record_kind - Kinds of journal records; the first member of each.
 * @RST_RECORD_JOB: A job with its description and progress.
 * @RST_RECORD_PROGRESS: The progress of a job recorded earlier.
 * @RST_RECORD_INSTANCE: An instance that takes starts.
 * @RST_RECORD_QUEUE: The settings of a queue.
 * @RST_RECORD_INSTANCE_UNREACHABLE: An unreachable instance, what it may still
 * run and until when.
 * @RST_RECORD_JOB_ENDED: An ended job without its steps.
 */
enum rst_record_kind
{
  RST_RECORD_JOB = 1,
  RST_RECORD_PROGRESS,
  RST_RECORD_INSTANCE,
  RST_RECORD_QUEUE,
  RST_RECORD_INSTANCE_UNREACHABLE,
  RST_RECORD_JOB_ENDED,
};

/** struct agent - An agent connected over a link. */
struct agent
{
  uint64_t link;
  char name[RST_ID_SIZE];
  char zone[RST_ID_SIZE];
  /* Advice requests that it has not answered yet. */
  int open_requests;
  /* When it is expected to have answered all of them. */
  rst_ms busy_until;
  int instance_count;
};

/** struct instance - An instance, registered or known from the journal. */
struct instance
{
  struct rst_instance_entry entry;
  /* Resources of its runs. */
  struct rst_resources used;
  /* Resources reserved during one placement pass, for gangs and for advice
     requests under way. */
  struct rst_resources reserved;
  /* Whether it takes starts in the current placement pass. */
  bool schedulable;
  /* Its index in the planner's schedulable_instances. */
  guint pass_index;
  struct agent *agent;
  /* Task name to struct run. */
  GHashTable *runs;
  /* The time of its start, as it reports it. */
  int64_t incarnation;
  /* Number of further incarnations that this planner has seen; each has its
     own fencing token. */
  int64_t incarnation_count;
  /* The latest incarnation that the fencing token was raised for. */
  int64_t fenced_incarnation;
  /* Numbers of the last end applied, of the last one acknowledged and of
     the last one in the commit under way. */
  int64_t last_applied_end;
  int64_t last_acked_end;
  int64_t committing_end;
  /* Whether it has an entry in the store. */
  bool registered;
  /* Whether the journal lists it as an instance that takes starts.  Otherwise
     it is not listed, or listed as unreachable with the runs that it may
     still have.  Starts wait until it is committed as one that takes them. */
  bool recorded;
  /* Whether that record is part of the commit under way. */
  bool recording;
  rst_ms runs_unknown_since;
  /* Whether its current agent has reported its runs. */
  bool runs_known;
  /* Whether it comes from the predecessor's journal, and has neither
     reported nor had its lease expire since. */
  bool inherited;
  /* Whether its last report lists a run that the planner does not know; it
     takes no starts until a report no longer lists one. */
  bool has_unknown_run;
  /* When its current incarnation was first reported. */
  rst_ms incarnation_seen_at;
  /* When its lease has certainly expired, if its runs are not known. */
  rst_ms lease_expires_at;
  /* When it takes starts again after failures or rejections. */
  rst_ms paused_until;
  rst_ms unregistered_at;
  /* When the next hold message is sent if its agent does not report. */
  rst_ms next_hold_at;
  /* How long its agent's long polls wait; 0 if the agent has not been told. */
  int64_t poll_wait_ms;
  /* Failed runs since the last one that completed. */
  int failures;
  /* Rejected starts since the last one that succeeded, up to 4. */
  int rejections;
};

/**
 * enum run_state - State of a run.
 * @RUN_STARTING: A start order was sent.
 * @RUN_RUNNING: The instance has confirmed the start or lists the run.
 * @RUN_STOPPING: A stop order was sent.
 */
enum run_state
{
  RUN_STARTING,
  RUN_RUNNING,
  RUN_STOPPING,
};

struct task;

/** struct run - One run of a task on an instance. */
struct run
{
  char name[RST_TASK_NAME_SIZE];
  struct task *task;
  struct instance *instance;
  struct rst_resources need;
  int attempt;
  enum run_state state;
  rst_ms start_sent_at;
  rst_ms stop_sent_at;
  /* The instance's clock when it last answered an order. */
  int64_t clock_ms;
  bool stop_answered;
  /* Whether only the journal says that the instance, while unreachable, may
     still have this run. */
  bool from_journal;
  int progress_percent;
  /* When progress_percent last changed. */
  rst_ms progressed_at;
  /* As last reported: the response time in ms of a task with a response
     bound, or thousandths of a core in use. */
  int64_t usage;
  /* Percentage of its full pace at which it may work; below 100 only for
     best-effort tasks. */
  int pace_percent;
  rst_ms pace_sent_at;
  struct customer *customer;
};

struct step;

/** struct task - One task of a step. */
struct task
{
  struct step *step;
  int index;
  struct run *run;
  bool done;
  /* Number of its failed runs.  Instances may report failures repeatedly and
     in any order; each attempt counts once. */
  int failed_runs;
  /* Attempt numbers of the first failed runs. */
  int failed_attempts[RST_FAILED_RUNS_MAX];
  /* The highest attempt number used. */
  int attempt;
  /* Whether an instance inherited from the predecessor may run it although
     no run is known. */
  bool in_doubt;
  char checkpoint[RST_TOKEN_SIZE];
  /* The instance where it last failed or stalled, or NULL. */
  struct instance *avoided_instance;
};

/** struct approval - What the advice service said of a step on an instance. */
struct approval
{
  /* Whether the step may not run there. */
  bool rejected;
  /* Token that a start of the step there has to carry. */
  char ticket[RST_TOKEN_SIZE];
  /* Incarnation of the instance that the ticket is valid for. */
  int64_t incarnation;
  /* When the ticket is no longer used. */
  rst_ms expires_at;
};

/** struct step - One step of an occurrence of a job. */
struct step
{
  struct occurrence *occurrence;
  const struct rst_step *spec;
  int index;
  struct task *tasks;
  /* Number of tasks that are not done, and of those of them that have no
     run. */
  int tasks_left;
  int tasks_waiting;
  /* The last attempt number of the gang. */
  int gang_attempt;
  /* Whether the runs of the gang are being stopped. */
  bool gang_stopping;
  /* Last checkpoint of any of its tasks, used for gangs. */
  char checkpoint[RST_TOKEN_SIZE];
  /* Instance id to struct approval. */
  GHashTable *approvals;
  /* When advice may be requested again. */
  rst_ms next_request_at;
  /* Whether it is in the planner's waiting_steps. */
  bool enqueued;
  /* Its position among the waiting steps; the lowest rank is placed first. */
  int64_t rank;
  /* Unix time up to which a start probably meets the objective. */
  int64_t start_by_ms;
  /* Time after its due time within which the job should end. */
  int64_t objective_ms;
  struct advice_request *advice_request;
  /* Whether advice was ever requested for it. */
  bool advice_requested;
};

/** struct occurrence - One execution of all steps of a job. */
struct occurrence
{
  struct job *job;
  /* Its number; 0 for a job that does not repeat. */
  int64_t number;
  int64_t due_ms;
  struct step *steps;
  int steps_left;
};

/** struct queue - A queue, configured or known from the journal. */
struct queue
{
  /* The operators' settings, without host and prefix. */
  struct rst_queue settings;
  /* Whether the journal has the settings. */
  bool recorded;
  /* Number of jobs of which no task has started; repeating jobs are not
     counted. */
  int pending;
  /* Learned share of the instances asked about that the advice service
     approves. */
  double approval_rate;
  /* Learned run time of a task; 0 until a run has completed. */
  double mean_run_ms;
  struct rst_histogram first_start_ms;
  struct rst_histogram job_ms;
};

/** struct customer - A customer, configured or known from the journal. */
struct customer
{
  struct rst_customer settings;
  /* Resources of its runs, and of its tasks in doubt. */
  struct rst_resources used;
  struct rst_resources in_doubt;
  /* Token bucket: jobs that it may submit within its share. */
  double share_tokens;
  /* When the bucket was last filled up. */
  rst_ms share_tokens_at;
};

/** struct pending_reply - A request that is replied to after a commit. */
struct pending_reply
{
  uint64_t link;
  uint64_t call;
  enum rst_operation operation;
};

struct job
{
  char id[RST_JOB_ID_SIZE];
  struct queue *queue;
  struct customer *customer;
  struct rst_jobdesc *desc;
  GPtrArray *occurrences;
  int64_t occurrences_left;
  int64_t next_occurrence;
  int64_t submitted_ms;
  rst_ms ended_at;
  enum rst_job_state state;
  /* Its state as last committed; callers are told that the job has ended
     only when this says so. */
  enum rst_job_state committed_state;
  enum rst_job_state committing_state;
  /* Whether an instance has reported the start of a task. */
  bool has_started;
  bool start_sent;
  /* Whether a record of it is in the store. */
  bool stored;
  /* Whether it is in the planner's dirty jobs. */
  bool dirty;
  /* Whether its next record has to be a full one, because the segment with
     the current one is about to be deleted. */
  bool needs_full_record;
  /* Whether it exceeded the customer's share when submitted. */
  bool over_share;
  /* struct pending_reply. */
  GArray *pending_replies;
  /* Segment of its last full record; 0 for none. */
  int64_t full_record_segment;
  /* Segment of its last record of any kind. */
  int64_t last_record_segment;
};

/** struct advice_request - A request to the advice service under way. */
struct advice_request
{
  uint64_t handle;
  char job_id[RST_JOB_ID_SIZE];
  int64_t occurrence;
  int step;
  uint64_t link;
  /* How long the service is expected to take. */
  int64_t expected_ms;
  rst_ms sent_at;
  /* Whether room is reserved on the instances named until it is answered. */
  bool reserves_room;
  GPtrArray *instance_ids;
};

struct rst_planner
{
  struct rst_planner_ops ops;
  struct rst_planner_timing timing;
  enum rst_step_order order;
  enum rst_fit fit;
  int64_t epoch;
  /* Monotonic time of the current event. */
  rst_ms now;
  /* Unix time of the current event. */
  int64_t unix_ms;
  rst_ms created_at;
  /* When the last request was sent with which the store confirmed this
     planner. */
  rst_ms confirmed_at;
  /* Whether all segments of the journal have been applied. */
  bool restored;
  struct rst_cellconfig *config;
  GHashTable *evacuated_zones;
  /* struct job by id, struct queue and struct customer by name, struct
     instance by id, struct advice_request by handle. */
  GHashTable *jobs;
  GHashTable *queues;
  GHashTable *customers;
  GHashTable *instances;
  GHashTable *advice_requests;
  GPtrArray *agents;
  /* Steps that have waiting tasks and whose preceding steps are done. */
  GPtrArray *waiting_steps;
  /* Jobs of which occurrences are still to begin. */
  GPtrArray *repeating_jobs;
  /* Jobs that changed since their last record. */
  GPtrArray *dirty_jobs;
  GPtrArray *committing_jobs;
  bool commit_busy;
  rst_ms last_commit_at;
  int64_t next_segment;
  /* Set of the numbers of the journal's segments. */
  GHashTable *segments;
  /* Whether ends were applied whose acknowledgement waits for a commit. */
  bool acks_pending;
  /* Whether some instance is still inherited. */
  bool has_inherited;
  /* Whether something happened since the last placement pass. */
  bool pass_wanted;
  uint64_t next_handle;
  rst_ms next_check_at;
  /* Earliest time of the next placement pass. */
  rst_ms next_pass_at;
  /* Instances that take starts in the current pass. */
  GPtrArray *schedulable_instances;
  /* Needs for which no instance had room in the current pass. */
  GArray *unmet_needs;
  /* Instances that the step being placed has valid tickets for. */
  GPtrArray *candidates;
  /* Counters; current sizes are filled in when they are read. */
  struct rst_planner_stats stats;
};

/* planner.c */

/** rst_plan_send() - Sends a message over a link and frees its bytes. */
void rst_plan_send (const struct rst_planner *planner, uint64_t link,
                    struct rst_pack *pack);

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

void rst_plan_begin_due_occurrences (struct rst_planner *planner);
bool rst_plan_job_has_ended (const struct job *job);
struct queue *rst_plan_get_queue (struct rst_planner *planner,
                                  const char *name);
struct customer *rst_plan_get_customer (struct rst_planner *planner,
                                        const char *name);

/** rst_plan_find_task() - Finds a task by its name, or returns NULL. */
struct task *rst_plan_find_task (struct rst_planner *planner,
                                 const char *name);

/**
 * rst_plan_reply_committed() - Replies to callers whose changes of a job have
 * been committed.
 */
void rst_plan_reply_committed (struct rst_planner *planner, struct job *job);

/* plan_instances.c */
void rst_plan_instance_free (gpointer data);

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
 * rst_plan_assign_instances() - Assigns instances without an agent to agents,
 * preferably of the same zone.
 */
void rst_plan_assign_instances (struct rst_planner *planner);

/**
 * rst_plan_send_acks() - Acknowledges the ends that have been committed; the
 * instances may then forget them.
 */
void rst_plan_send_acks (struct rst_planner *planner);

/** rst_plan_instance_is_schedulable() - Whether an instance takes starts. */
bool rst_plan_instance_is_schedulable (const struct rst_planner *planner,
                                       const struct instance *instance);

/**
 * rst_plan_send_to_instance() - Sends a message that has an instance's id and
 * a number to the instance's agent, if it has one.
 */
void rst_plan_send_to_instance (struct rst_planner *planner,
                                struct instance *instance, int kind,
                                int64_t number);

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
 * rst_plan_start_task() - Sends a start order for a task.
 * @instance: An instance with an agent.
 * @attempt: Attempt number of the run; higher than all earlier ones.
 * @ticket: Ticket of the advice service, or "".
 */
void rst_plan_start_task (struct rst_planner *planner, struct task *task,
                          struct instance *instance, int attempt,
                          const char *ticket);

/** rst_plan_stop_run() - Sends a stop order unless one was sent. */
void rst_plan_stop_run (struct rst_planner *planner, struct run *run);

void rst_plan_receive_started (struct rst_planner *planner,
                               struct rst_reader *reader);
void rst_plan_receive_stopped (struct rst_planner *planner,
                               struct rst_reader *reader);

/** rst_plan_apply_end() - Applies the end of a run that an instance lists. */
void rst_plan_apply_end (struct rst_planner *planner,
                         struct instance *instance, const struct rst_run *end);

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

/* plan_place.c */

/** rst_plan_place_steps() - Runs one placement pass over all waiting steps. */
void rst_plan_place_steps (struct rst_planner *planner);

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

/** rst_plan_reserve_slots() - Reserves room for tasks during this pass. */
void rst_plan_reserve_slots (struct instance *instance,
                             const struct step *step, int slots);

/**
 * rst_plan_set_objective() - Sets by when a step has to start for its job to
 * meet the objective.
 */
void rst_plan_set_objective (struct step *step);

/* plan_pace.c */

/**
 * rst_plan_adjust_pace() - Adjusts the pace of an instance's best-effort runs
 * to the response times of its other runs.
 */
void rst_plan_adjust_pace (struct rst_planner *planner,
                           struct instance *instance);

/* plan_limit.c */

/**
 * rst_plan_is_below_limit() - Whether the customer's upper limit allows
 * @tasks more tasks of a step.
 */
bool rst_plan_is_below_limit (const struct step *step, int tasks);

void rst_plan_count_in_doubt (struct rst_planner *planner);

/* plan_advice.c */

/**
 * rst_plan_request_advice() - Asks the advice service on which instances a
 * step may run, unless no agent is free or there is no point in it now.
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
 * rst_plan_reserve_requested() - Reserves room for tasks that an advice
 * request under way is about.
 */
void rst_plan_reserve_requested (struct rst_planner *planner,
                                 struct step *step, int tasks);

/**
 * rst_plan_end_link_requests() - Ends the advice requests sent over a link
 * that was closed.
 */
void rst_plan_end_link_requests (struct rst_planner *planner, uint64_t link);

void rst_plan_advice_request_free (gpointer data);

/* plan_record.c */

/**
 * rst_plan_pack_job() - Writes a job's record: its progress if a full record
 * is in the journal, else a full one.
 */
void rst_plan_pack_job (const struct rst_planner *planner,
                        struct rst_pack *pack, const struct job *job);

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

/* plan_journal.c */
bool rst_plan_job_has_runs (const struct job *job);

/** rst_plan_mark_dirty() - Marks a job for the next commit. */
void rst_plan_mark_dirty (struct rst_planner *planner, struct job *job);

/** rst_plan_commit() - Commits what changed, if a commit is due. */
void rst_plan_commit (struct rst_planner *planner);

/** rst_plan_add_segment() - Adds a number to the journal's segments. */
void rst_plan_add_segment (struct rst_planner *planner, int64_t segment);

#endif
