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
#define INTENT_BATCH 128

/** Time after which an unanswered start is asked for again. */
#define START_AGAIN_MS 1500

/** Pause of a job whose tasks found no place. */
#define BLOCKED_MS 150

/** Time between two looks for all running tasks of a job. */
#define RECONCILE_MS 30000

enum task_state
{
  TASK_WAITING,
  TASK_ASKED,
  TASK_HELD,
  TASK_RUNNING,
  TASK_LOOKED_FOR,
  TASK_ENDED,
};

struct task
{
  enum task_state state;
  uint32_t attempt;
  uint32_t failures;
  uint64_t inherited;
  bool found;
  rst_ms asked_at;
  rst_ms retry_at;
  char holder[RST_NAME_SIZE];
};

/* The end of a task, to be confirmed once it is stored. */
struct end
{
  uint64_t link;
  uint64_t index;
  uint64_t attempt;
  bool written;
  CK_STAILQ_ENTRY (end) entry;
};

struct job
{
  struct rst_scheduler *sched;
  struct rst_job_record record;
  struct task *tasks;
  int64_t first_waiting;
  int64_t waiting;
  int64_t asked;
  int64_t held;
  int64_t running;
  int64_t looked_for;
  int64_t confirmed_intent;
  bool accepted;
  bool claiming;
  bool dirty;
  bool dropped;
  bool busy;
  uint64_t base;
  char *text;
  rst_ms write_next_at;
  rst_ms read_at;
  rst_ms created_at;
  rst_ms finished_at;
  rst_ms blocked_until;
  rst_ms find_next_at;
  rst_ms reconcile_next_at;
  rst_ms ask_next_at;
  rst_ms cancel_next_at;
  rst_ms gang_since;
  bool gang_starting;
  bool gang_started;
  bool unsure;
  int64_t writing_intent;
  uint64_t caller_link;
  uint64_t caller_id;
  bool caller_due;
  char waiting_for[32];
  uint64_t find_id;
  GHashTable *found_at;
  CK_STAILQ_HEAD (end_queue, end) ends;
};

/* A record read on behalf of a caller. */
struct job_read
{
  struct rst_scheduler *sched;
  uint64_t link;
  uint64_t id;
  struct rst_message call;
};

/* sched_job.c */
void sched_job_reply_body (struct rst_scheduler *sched, uint64_t link,
                           uint64_t id, uint64_t status, const char *body);
void sched_job_reply_refusal (struct rst_scheduler *sched, uint64_t link,
                              uint64_t id, uint64_t status,
                              const char *outcome, const char *reason,
                              const char *detail);
void sched_job_reply_state (struct job *job, uint64_t link, uint64_t id,
                            uint64_t status);
void sched_job_answer_caller (struct job *job, uint64_t status);
void sched_job_refuse_caller (struct job *job, uint64_t status,
                              const char *outcome, const char *reason,
                              const char *detail);
void sched_job_free (struct job *job);
void sched_job_drop (struct job *job);
struct job *sched_job_create (struct rst_scheduler *sched,
                              const struct rst_job_record *record);
bool sched_job_work (struct job *job);
/* sched_job_record.c */
char *sched_job_key (const struct job *job);
void sched_job_write (struct job *job);
void sched_job_log (const struct job *job, const char *message);
void sched_job_read (struct job *job);
/* sched_job_task.c */
void sched_job_set_state (struct job *job, struct task *task,
                          enum task_state state);
void sched_job_end_task (struct job *job, struct task *task, char letter);
void sched_job_lose_task (struct job *job, struct task *task);
uint64_t sched_job_full_attempt (const struct job *job,
                                 const struct task *task);
struct job *sched_job_named (struct rst_scheduler *sched, const char *name);
void sched_job_ask_again (struct job *job);
void sched_job_reconcile (struct job *job);
void sched_job_check_holders (struct job *job);
/* sched_job_start.c */
void sched_job_ask_start (struct job *job, int64_t index, uint64_t link,
                          bool hold_only);
void sched_job_block (struct job *job, const char *reason, rst_ms pause);
void sched_job_start_waiting (struct job *job);
void sched_job_extend_intent (struct job *job);
void sched_job_send_stop (struct job *job, struct task *task, uint64_t result);
void sched_job_gang_tick (struct job *job);
/* sched_job_find.c */
void sched_job_find_tick (struct job *job);

#endif
