/**
 * DOC: planner_private - the planner's state, shared by its parts
 *
 * plan_jobs.c: callers' calls, jobs and their steps.  plan_instances.c:
 * instances, agents and reports.  plan_runs.c: single runs, from order to end.
 * plan_place.c: which waiting task goes where.  plan_limit.c: upper limits
 * of customers.  plan_pace.c: pace of tasks that fill.  plan_advice.c: whom
 * to ask for which step.  plan_journal.c: which records go to the store when,
 * plan_record.c: writing a record, plan_restore.c: reading them.
 */
#ifndef RST_PLANNER_PRIVATE_H
#define RST_PLANNER_PRIVATE_H

#include "cell/fault_private.h"
#include "cell/planner.h"
#include "util/log.h"

#define RST_PLAN_LOG "planner"

/** Hexadecimal digits of a job's id, with the final NUL. */
#define RST_JOB_ID_SIZE 17

/** How long a start may stay unanswered before it is withdrawn, in ms. */
#define RST_START_TIMEOUT_MS 1500

/** Bound on the failed runs of a task that are told apart. */
#define RST_FAILED_RUNS_MAX 16

/** Flags of a task in the journal: it is done; its job has begun. */
#define RST_TASK_DONE_FLAG 1
#define RST_TASK_STARTED_FLAG 2

/**
 * enum rst_record_kind - First member of a record of the journal.
 */
enum rst_record_kind
{
  RST_RECORD_JOB = 1,
  RST_RECORD_PROGRESS,
  RST_RECORD_INSTANCE,
  RST_RECORD_QUEUE,
  RST_RECORD_INSTANCE_OUT,
  RST_RECORD_JOB_OVER,
};

struct agent
{
  uint64_t link;
  char name[RST_ID_SIZE];
  char zone[RST_ID_SIZE];
  int open_requests;
  rst_ms busy_until;
  int instance_count;
};

struct instance
{
  struct rst_instance_entry entry;
  struct rst_resources used;
  /* Room that a blocked gang keeps during one pass. */
  struct rst_resources reserved;
  /* Whether it takes starts in the present pass. */
  bool schedulable;
  /* Its place in the present pass's list of those. */
  guint pass_index;
  struct agent *agent;
  GHashTable *runs;
  int64_t born;
  /* Lives that this planner has seen; each has a token of its own. */
  int64_t incarnation_count;
  /* The newest life that a token was raised for. */
  int64_t fenced_incarnation;
  int64_t last_seen_end;
  int64_t last_acked_end;
  int64_t committing_end;
  bool registered;
  /* Whether the journal says that it takes starts; or, when it is out, what
     it may still run.  One of the two is written before the other matters. */
  bool recorded;
  bool recording;
  rst_ms runs_unknown_since;
  bool runs_known;
  bool inherited;
  bool has_unknown_run;
  /* When its present life was learned of. */
  rst_ms incarnation_seen_at;
  rst_ms lease_expires_at;
  rst_ms paused_until;
  rst_ms unregistered_at;
  rst_ms next_hold_at;
  /* How long the agent's looks wait; 0 until it was told. */
  int64_t poll_wait_ms;
  int failures;
  int rejections;
};

enum run_state
{
  RUN_STARTING,
  RUN_RUNNING,
  RUN_STOPPING,
};

struct task;

/* One run of a task on an instance; holds the instance's room. */
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
  /* The instance's clock when the last order was answered. */
  int64_t clock_ms;
  bool stop_answered;
  /* From the journal: what an instance that is out may still run. */
  bool from_journal;
  int percent;
  rst_ms progressed_at;
  /* Response time in ms of a run that serves, else processors in use. */
  int64_t usage;
  /* Hundredths at which a run that fills may work. */
  int pace;
  rst_ms pace_sent_at;
  struct customer *customer;
};

struct step;

struct task
{
  struct step *step;
  int index;
  struct run *run;
  bool done;
  /* Failed runs; each counts once, in whatever order instances list them. */
  int failed_runs;
  int failed_attempts[RST_FAILED_RUNS_MAX];
  int attempt;
  bool in_doubt;
  char checkpoint[RST_TOKEN_SIZE];
  struct instance *avoided_instance;
};

/* A step's leave to use an instance. */
struct approval
{
  bool rejected;
  char ticket[RST_TOKEN_SIZE];
  int64_t born;
  rst_ms expires_at;
};

struct step
{
  struct occurrence *occurrence;
  const struct rst_step *spec;
  int index;
  struct task *tasks;
  int tasks_left;
  int tasks_waiting;
  int gang_attempt;
  bool gang_stopping;
  char checkpoint[RST_TOKEN_SIZE];
  GHashTable *approvals;
  rst_ms next_request_at;
  bool enqueued;
  int64_t rank;
  /* Unix time until which a start is likely to be in time. */
  int64_t start_by_ms;
  int64_t objective_ms;
  struct advice_request *advice_request;
  bool advice_requested;
};

struct occurrence
{
  struct job *job;
  int64_t number;
  int64_t due_ms;
  struct step *steps;
  int steps_left;
};

struct queue
{
  struct rst_queue settings;
  bool recorded;
  int pending;
  double approval_rate;
  /* Learned run time of a task; 0 until one has ended. */
  double mean_run_ms;
  struct rst_histogram first_start_ms;
  struct rst_histogram job_ms;
};

struct customer
{
  struct rst_customer settings;
  struct rst_resources used;
  /* What may run on instances that are not known yet. */
  struct rst_resources in_doubt;
  double share_tokens;
  rst_ms share_tokens_at;
};

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
  enum rst_job_state committed_state;
  enum rst_job_state committing_state;
  bool has_started;
  bool start_sent;
  bool stored;
  bool dirty;
  /* Its next record is a whole one, since an old segment goes. */
  bool needs_full_record;
  bool over_share;
  GArray *pending_replies;
  int64_t full_record_segment;
  int64_t last_record_segment;
};

struct advice_request
{
  uint64_t handle;
  char id[RST_JOB_ID_SIZE];
  int64_t occurrence;
  int step;
  uint64_t link;
  int64_t expected_ms;
  rst_ms sent_at;
  /* Whether room is kept on the instances named while it is under way. */
  bool reserves_room;
  GPtrArray *ids;
};

struct rst_planner
{
  struct rst_planner_ops ops;
  struct rst_planner_timing timing;
  enum rst_step_order order;
  enum rst_fit fit;
  int64_t epoch;
  rst_ms now;
  int64_t unix_ms;
  rst_ms created_at;
  rst_ms confirmed_at;
  bool restored;
  struct rst_cellconfig *config;
  GHashTable *evacuated_zones;
  GHashTable *jobs;
  GHashTable *queues;
  GHashTable *customers;
  GHashTable *instances;
  GHashTable *advice_requests;
  GPtrArray *agents;
  /* Steps with waiting tasks. */
  GPtrArray *waiting_steps;
  /* Jobs with occurrences still to come. */
  GPtrArray *repeating_jobs;
  GPtrArray *dirty;
  GPtrArray *committing;
  bool commit_busy;
  rst_ms last_commit;
  int64_t next_segment;
  GHashTable *segments;
  bool acks_pending;
  bool has_inherited;
  bool changed;
  uint64_t next_handle;
  rst_ms next_check_at;
  rst_ms next_pass_at;
  /* Instances that take starts, and needs that found no room; both of the
     present pass. */
  GPtrArray *schedulable_instances;
  GArray *unmet_needs;
  /* Instances that the step being placed has leave for. */
  GPtrArray *candidates;
  /* Counters only; sizes are filled in when asked for. */
  struct rst_planner_stats stats;
};

/* planner.c */
/* Sends a message over a link and frees its bytes. */
void rst_plan_send (const struct rst_planner *planner, uint64_t link,
                    struct rst_pack *pack);

/* plan_jobs.c */
struct job *rst_plan_job_new (struct rst_planner *planner, const char *id,
                              struct queue *queue, struct customer *customer,
                              struct rst_jobdesc *desc);
void rst_plan_job_free (gpointer data);
struct occurrence *rst_plan_find_occurrence (struct job *job, int64_t number);
struct occurrence *rst_plan_occurrence_new (struct job *job, int64_t number);
void rst_plan_enqueue_step (struct rst_planner *planner, struct step *step);
void rst_plan_enqueue_steps (struct rst_planner *planner,
                             struct occurrence *occurrence);
void rst_plan_finish_step (struct rst_planner *planner, struct step *step);
void rst_plan_end_job (struct rst_planner *planner, struct job *job,
                       enum rst_job_state state);
void rst_plan_begin_due_occurrences (struct rst_planner *planner);
bool rst_plan_job_has_ended (const struct job *job);
struct queue *rst_plan_get_queue (struct rst_planner *planner,
                                  const char *name);
struct customer *rst_plan_get_customer (struct rst_planner *planner,
                                        const char *name);
struct task *rst_plan_find_task (struct rst_planner *planner,
                                 const char *name);
void rst_plan_reply_committed (struct rst_planner *planner, struct job *job);

/* plan_instances.c */
void rst_plan_instance_free (gpointer data);
struct instance *rst_plan_instance_new (struct rst_planner *planner,
                                        const char *id);
void rst_plan_check_instances (struct rst_planner *planner);
void rst_plan_receive_report (struct rst_planner *planner, uint64_t link,
                              struct rst_reader *reader);
void rst_plan_assign_instances (struct rst_planner *planner);
void rst_plan_send_acks (struct rst_planner *planner);
bool rst_plan_instance_is_schedulable (const struct rst_planner *planner,
                                       const struct instance *instance);
void rst_plan_send_to_instance (struct rst_planner *planner,
                                struct instance *instance, int kind,
                                int64_t number);

/* plan_runs.c */
void rst_plan_run_free (gpointer data);
struct run *rst_plan_run_new (struct rst_planner *planner, struct task *task,
                              struct instance *instance, int attempt);
void rst_plan_run_mark_started (struct run *run);
void rst_plan_job_mark_started (struct job *job);
void rst_plan_run_remove (struct rst_planner *planner, struct run *run);
void rst_plan_start_task (struct rst_planner *planner, struct task *task,
                          struct instance *instance, int attempt,
                          const char *ticket);
void rst_plan_stop_run (struct rst_planner *planner, struct run *run);
void rst_plan_receive_started (struct rst_planner *planner,
                               struct rst_reader *reader);
void rst_plan_receive_stopped (struct rst_planner *planner,
                               struct rst_reader *reader);
void rst_plan_apply_end (struct rst_planner *planner,
                         struct instance *instance, const struct rst_run *end);
void rst_plan_run_mark_lost (struct rst_planner *planner, struct run *run,
                             const char *why);
void rst_plan_check_runs (struct rst_planner *planner,
                          struct instance *instance);
void rst_plan_format_task_name (const struct task *task, char *out,
                                size_t size);

/* plan_place.c */
void rst_plan_place_steps (struct rst_planner *planner);
bool rst_plan_task_fits (const struct instance *instance,
                         const struct step *step);
bool rst_plan_instance_is_eligible (const struct instance *instance,
                                    const struct step *step);
int rst_plan_count_slots (const struct instance *instance,
                          const struct step *step);
void rst_plan_reserve_slots (struct instance *instance,
                             const struct step *step, int slots);
void rst_plan_set_objective (struct step *step);

/* plan_pace.c */
void rst_plan_adjust_pace (struct rst_planner *planner,
                           struct instance *instance);

/* plan_limit.c */
bool rst_plan_is_below_limit (const struct step *step, int tasks);
void rst_plan_count_in_doubt (struct rst_planner *planner);

/* plan_advice.c */
void rst_plan_request_advice (struct rst_planner *planner, struct step *step,
                              int tasks);
const char *rst_plan_find_ticket (const struct rst_planner *planner,
                                  const struct step *step,
                                  const struct instance *instance);
void rst_plan_receive_advice (struct rst_planner *planner,
                              struct rst_reader *reader);
void rst_plan_reserve_requested (struct rst_planner *planner,
                                 struct step *step, int tasks);
void rst_plan_end_link_requests (struct rst_planner *planner, uint64_t link);
void rst_plan_advice_request_free (gpointer data);

/* plan_record.c */
void rst_plan_pack_job (const struct rst_planner *planner,
                        struct rst_pack *pack, const struct job *job);
void rst_plan_pack_instance (struct rst_pack *pack,
                             const struct instance *instance);
void rst_plan_pack_unreachable_instance (const struct rst_planner *planner,
                                         struct rst_pack *pack,
                                         const struct instance *instance);
void rst_plan_pack_queue (struct rst_pack *pack, const struct queue *queue);

/* plan_journal.c */
bool rst_plan_job_has_runs (const struct job *job);
void rst_plan_mark (struct rst_planner *planner, struct job *job);
void rst_plan_commit (struct rst_planner *planner);
void rst_plan_add_segment (struct rst_planner *planner, int64_t segment);

#endif
