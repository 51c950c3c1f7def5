/**
 * DOC: planner_state_private - what the planner keeps, shared by its source
 * files
 *
 * Jobs, their occurrences, steps and tasks; instances and their runs; agents
 * and their advice requests; queues and customers.
 */
#ifndef RST_PLANNER_STATE_PRIVATE_H
#define RST_PLANNER_STATE_PRIVATE_H

#include <ck_queue.h>

#include "cell/attempts.h"
#include "cell/failures.h"
#include "cell/fault_private.h"
#include "cell/instance_speed.h"
#include "cell/journal_private.h"
#include "cell/locality_state_private.h"
#include "cell/machine_state_private.h"
#include "cell/plan_wait.h"
#include "cell/planner.h"
#include "util/log.h"

#define RST_PLAN_LOG "planner"

/** Size of a job's id: hexadecimal digits and the final NUL. */
#define RST_JOB_ID_SIZE 17

/** Added to the attempt of each task that is not done, for each planner since
    the one that wrote the job's last record: a planner's last starts are not
    recorded, and an attempt number must not be used twice.  An agent reports
    the answer to an order of an earlier planner to the present one, which
    knows its own orders by their attempt.  The job is recorded again after
    half as many starts of a task.  A start is repeated after 100 ms at the
    earliest, and none is ordered 4 s after the store last answered, so that
    the rest suffices until then. */
#define RST_UNRECORDED_ATTEMPTS_MAX 100

/** Number of crashes under a task whose attempts are remembered. */
#define RST_CRASHES_MAX 8

/** Longest time that a lease lasts by the planner's clock, in percent of its
 * time by the instance's clock, which may run 2 % slow. */
#define RST_SLOW_CLOCK_PERCENT 102

/** Added to the time left of a lease for the time that messages take, besides
    the factor RST_SLOW_CLOCK_PERCENT. */
#define RST_LEASE_MARGIN_MS 300

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
  /* All reports that it made before this time have arrived. */
  rst_ms heard_until;
  int instance_count;
  /* When the last heartbeat that it answered was sent; at first, when it
     connected. */
  rst_ms answered_at;
  /* Whether it was logged that it does not answer. */
  bool silence_logged;
};

/**
 * enum lease_basis - What the end of a lease was computed from, for the log.
 * @LEASE_BASIS_SUCCESSION: The time at which the planner learnt of the
 *   instance or read its record.
 * @LEASE_BASIS_REPORT: Its agent's report that it does not answer.
 * @LEASE_BASIS_AGENT_LOST: The time at which its agent was lost.
 * @LEASE_BASIS_RESTART: The time at which it was seen to have restarted.
 */
enum lease_basis
{
  LEASE_BASIS_SUCCESSION,
  LEASE_BASIS_REPORT,
  LEASE_BASIS_AGENT_LOST,
  LEASE_BASIS_RESTART,
};

/**
 * struct unstored_end - End of a run that is applied but in no segment yet.
 * @number: The instance's number of the end.
 * @task: Name of the task.
 * @attempt: Attempt of the run.
 */
struct unstored_end
{
  int64_t number;
  char task[RST_TASK_NAME_SIZE];
  int attempt;
};

/**
 * struct lapsed_run - A run that was taken for lost with its lease.
 * @task: Name of the task.
 * @attempt: Attempt of the run.
 * @survived_ms: How long it is known to have run.
 * @has_started: Whether it is known to have started.
 * @on_trial: Whether its task was tried as a suspect.
 *
 * If it turns out that the instance had crashed, the crash is counted under
 * these runs.
 */
struct lapsed_run
{
  char task[RST_TASK_NAME_SIZE];
  int attempt;
  rst_ms survived_ms;
  bool has_started;
  bool on_trial;
};

struct step;

/**
 * struct held_instance - An instance that is held for a trial.
 * @number: Its number.
 * @since: Since when it takes no other starts.
 */
struct held_instance
{
  guint number;
  rst_ms since;
};

/** struct instance - An instance, registered or known from the journal. */
struct instance
{
  struct rst_instance_entry entry;
  /* Names it in approvals and advice requests; never used twice. */
  guint number;
  /* Resources of its runs. */
  struct rst_resources used;
  /* Resources reserved during one placement pass, for gangs and for advice
     requests under way. */
  struct rst_resources reserved;
  /* Whether it takes starts in the current placement pass. */
  bool schedulable;
  /* Number of its runs that are trials, see plan_trial.c. */
  int trial_runs;
  /* The step whose trial it is held for since the last placement pass. */
  const struct step *held_for;
  rst_ms held_since;
  /* Its index in the planner's schedulable_instances. */
  guint pass_index;
  struct agent *agent;
  /* Task name to struct run. */
  GHashTable *runs;
  /* The time of its start, as it reports it.  It names the incarnation; a
     later one has an earlier time if its clock was set back. */
  int64_t incarnation;
  /* How often this planner has raised its fencing token: for each agent that
     holds it, each incarnation, and when its lease expired with runs. */
  int64_t token_raises;
  /* The incarnation that the fencing token was last raised for. */
  int64_t fenced_incarnation;
  /* The latest reading of its clock by its present incarnation. */
  int64_t last_clock_ms;
  /* struct lapsed_run, since it last answered. */
  GArray *lapsed_runs;
  /* Numbers of the last end applied, of the last one acknowledged and of
     the last one in the commit under way. */
  int64_t last_applied_end;
  int64_t last_acked_end;
  int64_t committing_end;
  /* struct unstored_end, in the order of their numbers. */
  GArray *unstored_ends;
  /* Whether it has an entry in the store. */
  bool registered;
  /* Whether the journal lists it as an instance that takes starts.  Otherwise
     it is not listed, or listed as unreachable with the runs that it may
     still have.  Starts wait until it is committed as one that takes them. */
  bool recorded;
  /* Whether its record lists it as unreachable with runs. */
  bool record_names_runs;
  /* Whether that record is part of the commit under way. */
  bool recording;
  /* Segment of its last record of any kind; 0 for none. */
  int64_t record_segment;
  rst_ms runs_unknown_since;
  /* Whether its current agent has reported its runs. */
  bool runs_known;
  /* Whether it comes from the predecessor's journal, and has neither listed
     all its runs and ends nor had its lease expire since. */
  bool inherited;
  /* Whether its last list may omit ends. */
  bool omits_ends;
  /* Whether another instance has answered at its address since it last
     answered itself: it has ended. */
  bool is_replaced;
  struct machine_listing listing;
  /* Whether its address has changed since it last answered. */
  bool has_moved;
  /* Whether its last report lists a run that the planner does not know; it
     takes no starts until a report no longer lists one. */
  bool has_unknown_run;
  /* When its current incarnation was first reported. */
  rst_ms incarnation_seen_at;
  /* When its lease has certainly expired, if its runs are not known. */
  rst_ms lease_expires_at;
  enum lease_basis lease_basis;
  /* Until when the lease may last that agents before the current one, also
     those of earlier planners, have extended. */
  rst_ms former_lease_until;
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
  /* Heterogeneous instances (plan_speed.c): what was learned of its present
     incarnation, and the logarithm of the speed that is assumed of it. */
  struct rst_instance_speed speed;
  double log_speed;
  /* When the progress of its runs was last compared. */
  rst_ms progress_compared_at;
  /* Whether it was logged as slow, or would have been if there were fewer. */
  bool is_slow;
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
     still have this run; how long it had run by then; and how long after its
     start order the instance was reported to be silent. */
  bool from_journal;
  rst_ms survived_ms;
  rst_ms lost_after_ms;
  /* Whether it is known to have started, and the earliest reading of the
     instance's clock after that. */
  bool has_started;
  /* Whether an instance listed it when this planner first heard of its start,
     so that it may have run for any time before. */
  bool adopted;
  int64_t started_clock_ms;
  /* Whether its task is tried as a suspect, see plan_trial.c, and whether it
     was at its start. */
  bool on_trial;
  bool was_tried;
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
  /* Heterogeneous instances (plan_speed.c): when the instance's answer to the
     start order arrived; 0 if the run is only known from a list. */
  rst_ms confirmed_at;
  struct rst_run_progress rate;
};

struct step;

/**
 * struct crash_history - Crashes of instances under a task.
 * @count: Number of its runs that are counted.
 * @attempts: Their attempts.
 * @survived_ms: How long the longest of them had run.
 * @is_suspect: Whether it has to be tried apart from other jobs.
 * @is_probable: Whether it was the only suspect of a crash that followed its
 *   start at once, so that it may be tried together with others like it.
 */
struct crash_history
{
  int count;
  int attempts[RST_CRASHES_MAX];
  rst_ms survived_ms;
  bool is_suspect;
  bool is_probable;
};

/**
 * enum rst_starts - Where a task may run according to its record.
 * @RST_STARTS_NOWHERE: No start was ordered, or its run has certainly ended.
 * @RST_STARTS_ON_ONE: On one instance.
 * @RST_STARTS_ANYWHERE: On any instance.
 */
enum rst_starts
{
  RST_STARTS_NOWHERE,
  RST_STARTS_ON_ONE,
  RST_STARTS_ANYWHERE,
};

/** struct task - One task of a step. */
struct task
{
  struct step *step;
  int index;
  struct run *run;
  bool done;
  /* Its failed runs, or NULL; those of a gang are counted under its first
     task. */
  struct rst_failures *failures;
  /* NULL if none is counted. */
  struct crash_history *crashes;
  /* The highest attempt number used, and as of the job's last record or of the
     beginning of this planner's term. */
  int attempt;
  int recorded_attempt;
  /* Whether the journal contains the intent to start it, whether the commit
     under way does, and when it was last wanted; see plan_intent.h. */
  bool has_intent;
  bool intent_packed;
  rst_ms intent_wanted_at;
  /* Where runs that earlier planners ordered may be, and the key of the
     instance if that is a single one. */
  enum rst_starts inherited_starts;
  guint32 inherited_place;
  /* When its last run was removed. */
  rst_ms freed_at;
  /* Its last checkpoint, or NULL; unused in gangs. */
  char *checkpoint;
  /* The instance where it last failed or stalled, or NULL. */
  struct instance *avoided_instance;
};

/** struct approval - What the advice service said of a step on an instance. */
struct approval
{
  /* Whether the step may not run there. */
  bool rejected;
  /* Token that a start of the step there has to carry; NULL without an
     approval. */
  char *ticket;
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
  /* Last checkpoint of any member of the gang, or NULL. */
  char *checkpoint;
  /* Number of an instance to struct approval. */
  GHashTable *approvals;
  /* When advice may be requested again. */
  rst_ms next_request_at;
  /* Whether it is in the planner's waiting_steps, and since when its tasks
     may start as far as its job is concerned; 0 before. */
  bool enqueued;
  rst_ms ready_at;
  /* Its position among the waiting steps; the lowest rank is placed first. */
  int64_t rank;
  /* Unix time up to which a start probably meets the objective. */
  int64_t start_by_ms;
  /* Time after its due time within which the job should end. */
  int64_t objective_ms;
  /* Its requests to the advice service that have not been answered. */
  CK_LIST_HEAD (, advice_request) advice_requests;
  /* Whether advice was ever requested for it. */
  bool advice_requested;
  /* struct held_instance: the instances held for the trial of its suspects, or
     NULL; and since when the trial waits, or 0. */
  GArray *held_instances;
  rst_ms trial_wanted_at;
  /* Heterogeneous instances (plan_speed.c): struct rst_speed_run, the ended
     runs to compare, or NULL; and whether they have been compared. */
  GArray *speed_runs;
  bool speed_runs_compared;
  /* Data locality. */
  struct step_locality locality;
  struct step_wait wait;
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
  /* Whether the journal has the settings, and in which segment. */
  bool recorded;
  int64_t record_segment;
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
  /* The first occurrence that has not begun. */
  int64_t next_occurrence;
  /* The first occurrence that has not become due. */
  int64_t next_due_occurrence;
  /* The first occurrence that is not in the store, and as of the commit under
     way; its tasks must not start. */
  int64_t unstored_occurrence;
  int64_t committing_occurrence;
  int64_t submitted_ms;
  rst_ms ended_at;
  enum rst_job_state state;
  /* Its state as last committed; callers are told that the job has ended
     only when this says so. */
  enum rst_job_state committed_state;
  enum rst_job_state committing_state;
  /* Whether there is no such job, and this only notes that a caller has
     cancelled its id; see plan_cancelled.c. */
  bool is_note;
  /* Whether an instance has reported the start of a task. */
  bool has_started;
  /* Whether its last record says so. */
  bool start_recorded;
  bool start_sent;
  /* Whether a record of it is in the store. */
  bool stored;
  /* Whether it is in the planner's dirty jobs. */
  bool dirty;
  /* Whether its next record has to be a full one, because the segment with
     the current one is about to be deleted. */
  bool needs_full_record;
  /* Epoch of the planner that wrote the record from which it was restored; 0
     for a job that this planner accepted. */
  int64_t record_epoch;
  /* Number of its tasks that are suspected of crashes. */
  int suspects;
  /* Whether it exceeded the customer's share when submitted. */
  bool over_share;
  /* struct pending_reply. */
  GArray *pending_replies;
  /* Segment of its last full record; 0 for none. */
  int64_t full_record_segment;
  /* Segment of its last record of any kind. */
  int64_t last_record_segment;
  /* Admission: Unix time of the caller's first attempt to submit it, from
     which its objective runs.  Earlier than submitted_ms if this planner had
     rejected it before. */
  int64_t first_attempt_ms;
};

/** struct segment - A segment of the journal. */
struct segment
{
  int64_t number;
  size_t bytes;
};

/** struct start_batch - Start orders of one step to one agent. */
struct start_batch
{
  uint64_t link;
  uint32_t count;
  /* The rows of the message. */
  struct rst_pack rows;
  /* For the log: index, attempt and instance of each start; NULL if nothing is
     logged. */
  GString *log;
};

/** struct advice_request - A request to the advice service under way. */
struct advice_request
{
  uint64_t handle;
  /* The step that it is about; NULL once its job was forgotten. */
  struct step *step;
  CK_LIST_ENTRY (advice_request) entry;
  /* The step's name in the platform's calls and in the log. */
  char step_name[RST_TASK_NAME_SIZE];
  uint64_t link;
  /* How long the service is expected to take. */
  int64_t expected_ms;
  rst_ms sent_at;
  /* Whether room is reserved on the instances named until it is answered. */
  bool reserves_room;
  /* guint: numbers of the instances that it names. */
  GArray *instance_numbers;
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
  /* Ids of instances whose entries can't be used; value: the problem that was
     logged. */
  GHashTable *rejected_entries;
  /* struct job by id, struct queue and struct customer by name, struct
     instance by id, struct advice_request by handle. */
  GHashTable *jobs;
  /* Number of the jobs that are notes, and when those that are outdated may be
     searched for again. */
  int note_count;
  rst_ms next_note_sweep_at;
  GHashTable *queues;
  GHashTable *customers;
  GHashTable *instances;
  GHashTable *advice_requests;
  /* struct instance by number. */
  GHashTable *instances_by_number;
  guint next_instance_number;
  /* The highest token_raises of an instance that was forgotten.  It may
     come back, and rejects tokens below those that it has seen. */
  int64_t forgotten_token_raises;
  GPtrArray *agents;
  /* Steps that have waiting tasks and whose preceding steps are done. */
  GPtrArray *waiting_steps;
  /* Jobs of which occurrences are still to begin. */
  GPtrArray *repeating_jobs;
  /* Jobs that changed since their last record. */
  GPtrArray *dirty_jobs;
  GPtrArray *committing_jobs;
  /* Size of all checkpoints, and whether the last one did not fit. */
  size_t checkpoint_bytes;
  bool checkpoints_are_full;
  bool commit_busy;
  rst_ms last_commit_at;
  int64_t next_segment;
  /* struct segment by number: the journal's segments. */
  GHashTable *segments;
  /* Size of all segments, and of what a journal without replaced records would
     have, as last estimated. */
  size_t journal_bytes;
  size_t needed_bytes;
  rst_ms needed_bytes_at;
  rst_ms next_trim_at;
  /* Whether ends were applied whose acknowledgement waits for a commit. */
  bool acks_pending;
  /* Whether some instance is still inherited. */
  bool has_inherited;
  /* Number of inherited instances for each key of plan_intent.c. */
  GHashTable *inherited_places;
  /* When an inherited instance was last accounted for. */
  rst_ms accounted_at;
  /* Whether something happened since the last placement pass. */
  bool pass_wanted;
  uint64_t next_handle;
  rst_ms next_check_at;
  struct machine_watch machine_watch;
  /* Earliest time of the next placement pass. */
  rst_ms next_pass_at;
  /* Instances that take starts in the current pass. */
  GPtrArray *schedulable_instances;
  /* Instances that trials may use in the current pass, how many trials have
     taken, and how many they may take. */
  GPtrArray *trial_instances;
  int trial_count;
  int trial_count_max;
  /* Number of the waiting steps whose suspects may be tried together. */
  int probable_steps;
  /* struct start_batch: start orders of the step being placed. */
  GPtrArray *start_batches;
  /* For the log: the ends that the report being applied lists. */
  GString *ends_log;
  /* Needs for which no instance had room in the current pass. */
  GArray *unmet_needs;
  /* Instances that the step being placed has valid tickets for. */
  GPtrArray *candidates;
  /* Counters; current sizes are filled in when they are read. */
  struct rst_planner_stats stats;
  /* When the last heartbeat that any agent answered was sent. */
  rst_ms last_answered_at;
  /* Heterogeneous instances (plan_speed.c): the median of the instances'
     estimated speeds, and when it is computed next. */
  double usual_speed;
  rst_ms next_speed_check_at;
  /* Admission: first attempts of the rejected ids. */
  struct rst_attempts *attempts;
  /* What runs and waits, as last summed up; see plan_admission.c. */
  struct rst_plan_admission *admission;
  /* Number of commits that the store has refused since it last confirmed this
     planner or a commit had an unknown result. */
  int store_refusals;
  /* Partitioned zones: this planner is cut off from the others with its
     zone. */
  bool isolated;
  /* Data locality. */
  struct planner_locality locality;
  struct planner_wait wait;
};

#endif
