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
#define RST_START_ANSWER_MS 1500

/** Bound on the failed runs of a task that are told apart. */
#define RST_FAILED_MAX 16

/** Flags of a task in the journal: it is done; its job has begun. */
#define RST_TASK_DONE_FLAG 1
#define RST_TASK_BEGUN_FLAG 2

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
  int asking;
  rst_ms busy_until;
  int held;
};

struct instance
{
  struct rst_instance_entry entry;
  struct rst_need used;
  /* Room that a blocked gang keeps during one pass. */
  struct rst_need kept;
  /* Whether it takes starts in the present pass. */
  bool usable;
  /* Its place in the present pass's list of those. */
  guint position;
  struct agent *agent;
  GHashTable *runs;
  int64_t born;
  /* Lives that this planner has seen; each has a token of its own. */
  int64_t lives;
  /* The newest life that a token was raised for. */
  int64_t raised_for;
  int64_t seen;
  int64_t acked;
  int64_t committing;
  bool present;
  /* Whether the journal says that it takes starts; or, when it is out, what
     it may still run.  One of the two is written before the other matters. */
  bool recorded;
  bool recording;
  rst_ms unknown_at;
  bool known;
  bool inherited;
  bool blocked;
  /* When its present life was learned of. */
  rst_ms life_at;
  rst_ms lapse_at;
  rst_ms avoid_until;
  rst_ms gone_at;
  rst_ms next_hold;
  /* How long the agent's looks wait; 0 until it was told. */
  int64_t look_ms;
  int failures;
  int refusals;
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
  struct rst_need need;
  int attempt;
  enum run_state state;
  rst_ms ordered_at;
  rst_ms stop_at;
  /* The instance's clock when the last order was answered. */
  int64_t clock_ms;
  bool stop_answered;
  /* From the journal: what an instance that is out may still run. */
  bool assumed;
  int percent;
  rst_ms moved_at;
  /* Response time in ms of a run that serves, else processors in use. */
  int64_t usage;
  /* Hundredths at which a run that fills may work. */
  int pace;
  rst_ms paced_at;
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
  int failed;
  int failed_attempts[RST_FAILED_MAX];
  int attempt;
  bool unsure;
  char saved[RST_TOKEN_SIZE];
  struct instance *bad;
};

/* A step's leave to use an instance. */
struct leave
{
  bool denied;
  char ticket[RST_TOKEN_SIZE];
  int64_t born;
  rst_ms expires;
};

struct step
{
  struct occurrence *occurrence;
  const struct rst_step *spec;
  int index;
  struct task *tasks;
  int left;
  int waiting;
  int gang_attempt;
  bool gang_stopping;
  char saved[RST_TOKEN_SIZE];
  GHashTable *leaves;
  rst_ms ask_after;
  bool listed;
  int64_t rank;
  /* Unix time until which a start is likely to be in time. */
  int64_t start_by_ms;
  int64_t objective_ms;
  struct ask *ask;
  bool asked;
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
  struct rst_queue set;
  bool recorded;
  int pending;
  double approval;
  /* Learned run time of a task; 0 until one has ended. */
  double run_ms;
  struct rst_histogram first_start_ms;
  struct rst_histogram job_ms;
};

struct customer
{
  struct rst_customer set;
  struct rst_need used;
  /* What may run on instances that are not known yet. */
  struct rst_need unsure;
  double tokens;
  rst_ms tokens_at;
};

struct waiter
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
  enum rst_job_state shown;
  enum rst_job_state committing;
  bool begun;
  bool ordered;
  bool stored;
  bool dirty;
  /* Its next record is a whole one, since an old segment goes. */
  bool rewrite;
  bool beyond_share;
  GArray *waiters;
  int64_t segment_full;
  int64_t segment_last;
};

struct ask
{
  uint64_t handle;
  char id[RST_JOB_ID_SIZE];
  int64_t occurrence;
  int step;
  uint64_t link;
  int64_t cost_ms;
  rst_ms sent_at;
  /* Whether room is kept on the instances named while it is under way. */
  bool keeps;
  GPtrArray *ids;
};

struct rst_planner
{
  struct rst_planner_ops ops;
  struct rst_planner_bounds bounds;
  enum rst_order order;
  enum rst_fit fit;
  int64_t epoch;
  rst_ms now;
  int64_t unix_ms;
  rst_ms created_at;
  rst_ms confirmed_at;
  bool restored;
  struct rst_cellconfig *config;
  GHashTable *evacuated;
  GHashTable *jobs;
  GHashTable *queues;
  GHashTable *customers;
  GHashTable *instances;
  GHashTable *asks;
  GPtrArray *agents;
  /* Steps with waiting tasks. */
  GPtrArray *active;
  /* Jobs with occurrences still to come. */
  GPtrArray *timed;
  GPtrArray *dirty;
  GPtrArray *committing;
  bool commit_busy;
  rst_ms last_commit;
  int64_t next_segment;
  GHashTable *segments;
  bool acks_wait;
  bool unsure_left;
  bool changed;
  uint64_t next_handle;
  rst_ms next_check;
  rst_ms next_pass;
  /* Instances that take starts, and needs that found no room; both of the
     present pass. */
  GPtrArray *usable;
  GArray *full;
  /* Instances that the step being placed has leave for. */
  GPtrArray *places;
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
struct occurrence *rst_plan_occurrence (struct job *job, int64_t number);
struct occurrence *rst_plan_occurrence_new (struct job *job, int64_t number);
void rst_plan_step_ready (struct rst_planner *planner, struct step *step);
void rst_plan_steps_ready (struct rst_planner *planner,
                           struct occurrence *occurrence);
void rst_plan_step_done (struct rst_planner *planner, struct step *step);
void rst_plan_job_end (struct rst_planner *planner, struct job *job,
                       enum rst_job_state state);
void rst_plan_timed (struct rst_planner *planner);
bool rst_plan_job_over (const struct job *job);
struct queue *rst_plan_queue (struct rst_planner *planner, const char *name);
struct customer *rst_plan_customer (struct rst_planner *planner,
                                    const char *name);
struct task *rst_plan_find_task (struct rst_planner *planner,
                                 const char *name);
void rst_plan_answer (struct rst_planner *planner, struct job *job);

/* plan_instances.c */
void rst_plan_instance_free (gpointer data);
struct instance *rst_plan_instance_new (struct rst_planner *planner,
                                        const char *id);
void rst_plan_check_instances (struct rst_planner *planner);
void rst_plan_report (struct rst_planner *planner, uint64_t link,
                      struct rst_reader *reader);
void rst_plan_assign (struct rst_planner *planner);
void rst_plan_acks (struct rst_planner *planner);
bool rst_plan_usable (const struct rst_planner *planner,
                      const struct instance *instance);
void rst_plan_send_id (struct rst_planner *planner, struct instance *instance,
                       int kind, int64_t number);

/* plan_runs.c */
void rst_plan_run_free (gpointer data);
struct run *rst_plan_run_new (struct rst_planner *planner, struct task *task,
                              struct instance *instance, int attempt);
void rst_plan_run_begun (struct run *run);
void rst_plan_job_begun (struct job *job);
void rst_plan_run_drop (struct rst_planner *planner, struct run *run);
void rst_plan_start (struct rst_planner *planner, struct task *task,
                     struct instance *instance, int attempt,
                     const char *ticket);
void rst_plan_stop (struct rst_planner *planner, struct run *run);
void rst_plan_started (struct rst_planner *planner, struct rst_reader *reader);
void rst_plan_stopped (struct rst_planner *planner, struct rst_reader *reader);
void rst_plan_end (struct rst_planner *planner, struct instance *instance,
                   const struct rst_run *end);
void rst_plan_run_lost (struct rst_planner *planner, struct run *run,
                        const char *why);
void rst_plan_check_runs (struct rst_planner *planner,
                          struct instance *instance);
void rst_plan_task_name (const struct task *task, char *out, size_t size);

/* plan_place.c */
void rst_plan_place (struct rst_planner *planner);
bool rst_plan_fits (const struct instance *instance, const struct step *step);
bool rst_plan_allowed (const struct instance *instance,
                       const struct step *step);
int rst_plan_slots (const struct instance *instance, const struct step *step);
void rst_plan_keep (struct instance *instance, const struct step *step,
                    int slots);
void rst_plan_objective (struct step *step);

/* plan_pace.c */
void rst_plan_pace (struct rst_planner *planner, struct instance *instance);

/* plan_limit.c */
bool rst_plan_below_limit (const struct step *step, int tasks);
void rst_plan_count_unsure (struct rst_planner *planner);

/* plan_advice.c */
void rst_plan_ask (struct rst_planner *planner, struct step *step, int tasks);
const char *rst_plan_ticket (const struct rst_planner *planner,
                             const struct step *step,
                             const struct instance *instance);
void rst_plan_advice (struct rst_planner *planner, struct rst_reader *reader);
void rst_plan_keep_asked (struct rst_planner *planner, struct step *step,
                          int tasks);
void rst_plan_asks_of_link_end (struct rst_planner *planner, uint64_t link);
void rst_plan_ask_free (gpointer data);

/* plan_record.c */
void rst_plan_pack_job (const struct rst_planner *planner,
                        struct rst_pack *pack, const struct job *job);
void rst_plan_pack_instance (struct rst_pack *pack,
                             const struct instance *instance);
void rst_plan_pack_instance_out (const struct rst_planner *planner,
                                 struct rst_pack *pack,
                                 const struct instance *instance);
void rst_plan_pack_queue (struct rst_pack *pack, const struct queue *queue);

/* plan_journal.c */
bool rst_plan_job_has_runs (const struct job *job);
void rst_plan_mark (struct rst_planner *planner, struct job *job);
void rst_plan_commit (struct rst_planner *planner);
void rst_plan_count_segment (struct rst_planner *planner, int64_t segment);

#endif
