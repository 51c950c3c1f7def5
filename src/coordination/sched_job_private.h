/**
 * DOC: sched_job_private - jobs that this scheduler owns, and their tasks
 *
 * Shared by the files sched_job*.c.  The owner of a job stores its record,
 * asks the owners of workers to start its tasks and learns from them how the
 * tasks end.
 */
#ifndef RST_SCHED_JOB_PRIVATE_H
#define RST_SCHED_JOB_PRIVATE_H

#include "coordination/scheduler_private.h"
#include "state/job.h"

/** Number of tasks that one write of the record adds to those that may be
 * started, see struct rst_job_record.start_intent. */
#define START_INTENT_BATCH_TASKS 128

/** Time after which a start or stop request without a reply is sent again. */
#define START_RESEND_MS 1500

/** Pause of a job's starts after one was rejected or found no worker. */
#define START_RETRY_PAUSE_MS 150

/** Time between two searches that verify a job's running tasks. */
#define RECONCILE_INTERVAL_MS 30000

/**
 * enum task_state - What the job's owner knows of a task.
 * @TASK_WAITING: It is to be started.
 * @TASK_START_REQUESTED: A start or reservation was requested, no reply yet.
 * @TASK_RESERVED: Resources of a worker are reserved for it, for a gang.
 * @TASK_RUNNING: It runs.
 * @TASK_IN_DOUBT: It may run; a search asks all schedulers whether it does.
 * @TASK_ENDED: It has ended and is not started again.
 */
enum task_state
{
  TASK_WAITING,
  TASK_START_REQUESTED,
  TASK_RESERVED,
  TASK_RUNNING,
  TASK_IN_DOUBT,
  TASK_ENDED,
};

/**
 * struct task - A task of a job.
 * @state: What is known of it.
 * @attempt: Number of its current start under this owner of the job.
 * @failures: How often it has failed under this owner.
 * @latest_attempt: Full number of the attempt that a search asks for or has
 *   found, possibly of an earlier owner; 0 when the current attempt is the
 *   one that sched_job_get_full_attempt() returns.
 * @found: A scheduler has reported the task in the current search.
 * @request_sent_at: When the last start request, or the last stop request of a
 *   cancelled job, was sent.
 * @start_not_before: Earliest time of its next start.
 * @worker_owner: Incarnation of the scheduler that owns the task's worker and
 *   receives its requests.
 */
struct task
{
  enum task_state state;
  uint32_t attempt;
  uint32_t failures;
  uint64_t latest_attempt;
  bool found;
  rst_ms request_sent_at;
  rst_ms start_not_before;
  char worker_owner[RST_NAME_SIZE];
};

/**
 * struct end_ack - The acknowledgement of a task's end, sent once the end is
 * stored.
 * @link: Link to the scheduler that reported the end.
 * @index: Number of the task.
 * @attempt: Full number of the attempt.
 * @in_write: The record with this end is being written.
 * @entry: Entry in struct job.end_acks.
 */
struct end_ack
{
  uint64_t link;
  uint64_t index;
  uint64_t attempt;
  bool in_write;
  CK_STAILQ_ENTRY (end_ack) entry;
};

/**
 * struct job - A job that this scheduler owns or is about to own.
 * @sched: This scheduler.
 * @record: Its record, with changes that may not be stored yet.
 * @tasks: Its tasks, record.spec.tasks of them.
 * @first_waiting: No task below this number is in %TASK_WAITING.
 * @waiting_count: Tasks in %TASK_WAITING.
 * @start_requested_count: Tasks in %TASK_START_REQUESTED.
 * @reserved_count: Tasks in %TASK_RESERVED.
 * @running_count: Tasks in %TASK_RUNNING.
 * @in_doubt_count: Tasks in %TASK_IN_DOUBT.
 * @stored_intent: Intent of the stored record: tasks below this number may be
 *   started.
 * @accepted: The record is stored with this scheduler as the owner.
 * @claiming: The first write takes over a job that has lost its owner.
 * @dirty: @record has changes that are in no write yet.
 * @dropped: It is no longer followed and is freed when the store call returns.
 * @store_busy: A write of the record, or the read that verifies it, is under
 *   way or to be repeated.
 * @base_revision: Revision that the write under way replaces.
 * @written_text: The record as it is being written.
 * @write_next_at: Earliest time of the next write.
 * @verify_at: When to repeat a read that verifies a write; 0 for none.
 * @created_at: When this scheduler began to follow it.
 * @finished_at: When all its tasks were seen to have ended, or 0.
 * @starts_paused_until: No task is started before this time.
 * @search_next_at: Time of the next find requests of a search.
 * @reconcile_next_at: When its running tasks are next verified.
 * @resend_next_at: When start requests without a reply are next looked for.
 * @cancel_next_at: When a cancelled job next stops its tasks.
 * @gang_reserving_since: When the gang began to reserve workers, or 0.
 * @gang_starting: All tasks of the gang are reserved and the intent to start
 *   them is being stored.
 * @gang_started: The gang's tasks were told to start.
 * @write_in_doubt: A write was not confirmed, so that the record may have been
 *   stored.
 * @intent_in_write: Intent of the record in the write under way.
 * @caller_link: Link to the caller that submitted the job.
 * @caller_request_id: Message id of the submission.
 * @caller_awaits_reply: The submission was not replied to yet.
 * @waiting_for: Why tasks wait, as told to callers, or "".
 * @search_id: Message id of the search's find requests; 0 until the first is
 *   sent.
 * @search_replies: The members that have told all they know in this search,
 *   each with the revision of the ownership record that its reply is based
 *   on; NULL when no search is under way.
 * @end_acks: Acknowledgements to be sent, in the order of their ends.
 */
struct job
{
  struct rst_scheduler *sched;
  struct rst_job_record record;
  struct task *tasks;
  int64_t first_waiting;
  int64_t waiting_count;
  int64_t start_requested_count;
  int64_t reserved_count;
  int64_t running_count;
  int64_t in_doubt_count;
  int64_t stored_intent;
  bool accepted;
  bool claiming;
  bool dirty;
  bool dropped;
  bool store_busy;
  uint64_t base_revision;
  char *written_text;
  rst_ms write_next_at;
  rst_ms verify_at;
  rst_ms created_at;
  rst_ms finished_at;
  rst_ms starts_paused_until;
  rst_ms search_next_at;
  rst_ms reconcile_next_at;
  rst_ms resend_next_at;
  rst_ms cancel_next_at;
  rst_ms gang_reserving_since;
  bool gang_starting;
  bool gang_started;
  bool write_in_doubt;
  int64_t intent_in_write;
  uint64_t caller_link;
  uint64_t caller_request_id;
  bool caller_awaits_reply;
  char waiting_for[32];
  uint64_t search_id;
  GHashTable *search_replies;
  CK_STAILQ_HEAD (end_ack_queue, end_ack) end_acks;
};

/**
 * struct job_read - A read of stored job records on behalf of a caller.
 * @sched: This scheduler.
 * @caller_link: Link to the caller.
 * @caller_request_id: Message id of the caller's request.
 * @call: The request, owned by this struct.
 */
struct job_read
{
  struct rst_scheduler *sched;
  uint64_t caller_link;
  uint64_t caller_request_id;
  struct rst_message call;
};

/* sched_job.c: replies, creation and the steps of a job */
void sched_job_send_reply (struct rst_scheduler *sched, uint64_t link,
                           uint64_t id, uint64_t status, const char *body);
void sched_job_send_rejection (struct rst_scheduler *sched, uint64_t link,
                               uint64_t id, uint64_t status,
                               const char *outcome, const char *reason,
                               const char *detail);
void sched_job_send_state (struct job *job, uint64_t link, uint64_t id,
                           uint64_t status);

/** sched_job_reply_to_caller() - Replies to the submission, if that is due. */
void sched_job_reply_to_caller (struct job *job, uint64_t status);

/** sched_job_reject_caller() - Rejects the submission, if a reply is due. */
void sched_job_reject_caller (struct job *job, uint64_t status,
                              const char *outcome, const char *reason,
                              const char *detail);

void sched_job_free (struct job *job);

/**
 * sched_job_drop() - Stops following a job.
 *
 * The job is freed at once or, while a store call is under way, when that call
 * returns.
 */
void sched_job_drop (struct job *job);

/** sched_job_create() - Begins to follow a job, whose record it then owns. */
struct job *sched_job_create (struct rst_scheduler *sched,
                              const struct rst_job_record *record);

/**
 * sched_job_advance() - Does what is due for a job.
 *
 * Return: Whether the job still exists.
 */
bool sched_job_advance (struct job *job);

/* sched_job_record.c: writing the record */

/** sched_job_build_key() - Store key of the record; free with g_free(). */
char *sched_job_build_key (const struct job *job);

/** sched_job_write_record() - Begins a write; none may be under way. */
void sched_job_write_record (struct job *job);

void sched_job_log_event (const struct job *job, const char *message);

/** sched_job_verify_write() - Reads whether the pending write was applied. */
void sched_job_verify_write (struct job *job);

/* sched_job_task.c: states of tasks and what the workers' owners report */
void sched_job_set_task_state (struct job *job, struct task *task,
                               enum task_state state);

/**
 * sched_job_end_task() - Ends a task for good.
 * @job: Its job.
 * @task: The task.
 * @outcome: How it ended, as in struct rst_job_record.task_outcomes.
 */
void sched_job_end_task (struct job *job, struct task *task, char outcome);

/**
 * sched_job_handle_lost_task() - Handles a task that may have run and whose
 * result is unknown: restarts it, or ends it as unknown if it must run at most
 * once.
 */
void sched_job_handle_lost_task (struct job *job, struct task *task);

/**
 * sched_job_get_full_attempt() - Number of the current attempt that is unique
 * over all owners of the job: it contains the owner's generation.
 */
uint64_t sched_job_get_full_attempt (const struct job *job,
                                     const struct task *task);

/** sched_job_lookup() - The job named "TEAM/ID" that is followed, or NULL. */
struct job *sched_job_lookup (struct rst_scheduler *sched, const char *name);

/** sched_job_resend_starts() - Repeats start requests without a reply. */
void sched_job_resend_starts (struct job *job);

/**
 * sched_job_reconcile_running() - Searches for all running tasks when
 * %RECONCILE_INTERVAL_MS have passed.
 */
void sched_job_reconcile_running (struct job *job);

/**
 * sched_job_check_worker_owners() - Searches for running tasks whose worker's
 * owner is no longer a member.
 */
void sched_job_check_worker_owners (struct job *job);

/* sched_job_start.c: requests to start and stop tasks */

/**
 * sched_job_send_start() - Sends a start request for a task.
 * @job: The job.
 * @index: Number of the task.
 * @link: Link to the owner of the workers.
 * @hold_only: Only reserve a worker's resources.
 */
void sched_job_send_start (struct job *job, int64_t index, uint64_t link,
                           bool hold_only);

/**
 * sched_job_pause_starts() - Starts no tasks for some time.
 * @job: The job.
 * @reason: Why its tasks wait, as told to callers.
 * @pause: Length of the pause in milliseconds, before jitter.
 */
void sched_job_pause_starts (struct job *job, const char *reason,
                             rst_ms pause);

/** sched_job_start_waiting() - Requests starts of waiting tasks. */
void sched_job_start_waiting (struct job *job);

/**
 * sched_job_extend_intent() - Raises the record's intent before the tasks
 * below it are used up.
 */
void sched_job_extend_intent (struct job *job);

/**
 * sched_job_send_stop() - Asks the owner of a task's worker to stop the task.
 * @job: The job.
 * @task: The task.
 * @result: %RST_TASK_MOVED to checkpoint it first, else %RST_TASK_STOPPED.
 */
void sched_job_send_stop (struct job *job, struct task *task, uint64_t result);

/**
 * sched_job_gang_tick() - Starts a gang once all its tasks are reserved, or
 * releases the reservations after a timeout.
 */
void sched_job_gang_tick (struct job *job);

/* sched_job_find.c: searches for tasks in doubt, and jobs without an owner */
void sched_job_search_tick (struct job *job);

#endif
