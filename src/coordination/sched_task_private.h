/**
 * DOC: sched_task_private - functions shared by the files sched_task*.c
 */
#ifndef RST_SCHED_TASK_PRIVATE_H
#define RST_SCHED_TASK_PRIVATE_H

#include "coordination/scheduler_private.h"

/* sched_task.c: rejections, stops and ends of tasks */

/** sched_task_format_id() - Id under which a worker runs a task's attempt. */
void sched_task_format_id (char *out, size_t size, const char *job,
                           uint64_t index, uint64_t attempt);

/** sched_task_fill_event() - Fills in a message about a run. */
void sched_task_fill_event (struct rst_message *message, uint64_t type,
                            const struct run *run, uint64_t result);

/**
 * sched_task_reply_start() - Replies to the last start request of a run, if a
 * reply is due.
 * @run: The run.
 * @result: A value of enum rst_task_result.
 */
void sched_task_reply_start (struct run *run, uint64_t result);

/**
 * sched_task_record_rejection() - Remembers that an attempt was rejected, so
 * that a repeated request does not start it.
 */
void sched_task_record_rejection (struct rst_scheduler *sched,
                                  const struct rst_task_start *task);

/** sched_task_was_rejected() - Whether this attempt was rejected before. */
bool sched_task_was_rejected (struct rst_scheduler *sched,
                              const struct rst_task_start *task);

/** sched_task_reject_start() - Rejects a start request. */
void sched_task_reject_start (struct rst_scheduler *sched, uint64_t link,
                              const struct rst_message *request,
                              const char *reason);

/** sched_task_choose_worker() - The best worker for a task, or NULL. */
struct instance *sched_task_choose_worker (struct rst_scheduler *sched,
                                           const struct rst_task_start *task);

/* sched_task_start.c: starts of tasks */
void sched_task_log_event (const struct run *run, const char *message,
                           const char *reason);

#endif
