/**
 * DOC: sched_job_private - a job that this scheduler follows, and its tasks
 *
 * Shared by the files sched_job*.c, one for each thing that is decided.
 */
#ifndef RST_SCHED_JOB_PRIVATE_H
#define RST_SCHED_JOB_PRIVATE_H

#include "coordination/scheduler_private.h"
#include "state/job.h"

/** Tasks whose start one write of the record announces. */
#define START_INTENT_BATCH_TASKS 128

/** Time after which an unanswered start is asked for again. */
#define START_RESEND_MS 1500

/** Pause of a job whose tasks found no place. */
#define START_RETRY_PAUSE_MS 150

/** Time between two looks for all running tasks of a job. */
#define RECONCILE_INTERVAL_MS 30000

enum task_state
{
  TASK_WAITING,
  TASK_START_REQUESTED,
  TASK_RESERVED,
  TASK_RUNNING,
  TASK_IN_DOUBT,
  TASK_ENDED,
};

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

/* The end of a task, to be confirmed once it is stored. */
struct end_ack
{
  uint64_t link;
  uint64_t index;
  uint64_t attempt;
  bool in_write;
  CK_STAILQ_ENTRY (end_ack) entry;
};

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

/* A record read on behalf of a caller. */
struct job_read
{
  struct rst_scheduler *sched;
  uint64_t caller_link;
  uint64_t caller_request_id;
  struct rst_message call;
};

/* sched_job.c */
void sched_job_send_reply (struct rst_scheduler *sched, uint64_t link,
                           uint64_t id, uint64_t status, const char *body);
void sched_job_send_rejection (struct rst_scheduler *sched, uint64_t link,
                               uint64_t id, uint64_t status,
                               const char *outcome, const char *reason,
                               const char *detail);
void sched_job_send_state (struct job *job, uint64_t link, uint64_t id,
                           uint64_t status);
void sched_job_reply_to_caller (struct job *job, uint64_t status);
void sched_job_reject_caller (struct job *job, uint64_t status,
                              const char *outcome, const char *reason,
                              const char *detail);
void sched_job_free (struct job *job);
void sched_job_drop (struct job *job);
struct job *sched_job_create (struct rst_scheduler *sched,
                              const struct rst_job_record *record);
bool sched_job_advance (struct job *job);
/* sched_job_record.c */
char *sched_job_build_key (const struct job *job);
void sched_job_write_record (struct job *job);
void sched_job_log_event (const struct job *job, const char *message);
void sched_job_verify_write (struct job *job);
/* sched_job_task.c */
void sched_job_set_task_state (struct job *job, struct task *task,
                               enum task_state state);
void sched_job_end_task (struct job *job, struct task *task, char letter);
void sched_job_handle_lost_task (struct job *job, struct task *task);
uint64_t sched_job_get_full_attempt (const struct job *job,
                                     const struct task *task);
struct job *sched_job_lookup (struct rst_scheduler *sched, const char *name);
void sched_job_resend_starts (struct job *job);
void sched_job_reconcile_running (struct job *job);
void sched_job_check_worker_owners (struct job *job);
/* sched_job_start.c */
void sched_job_send_start (struct job *job, int64_t index, uint64_t link,
                           bool hold_only);
void sched_job_pause_starts (struct job *job, const char *reason,
                             rst_ms pause);
void sched_job_start_waiting (struct job *job);
void sched_job_extend_intent (struct job *job);
void sched_job_send_stop (struct job *job, struct task *task, uint64_t result);
void sched_job_gang_tick (struct job *job);
/* sched_job_find.c */
void sched_job_search_tick (struct job *job);

#endif
