/**
 * DOC: sched_task_private - tasks on instances of this scheduler, shared by
 * the files sched_task*.c
 */
#ifndef RST_SCHED_TASK_PRIVATE_H
#define RST_SCHED_TASK_PRIVATE_H

#include "coordination/scheduler_private.h"

/* sched_task.c */
void sched_task_format_id (char *out, size_t size, const char *job,
                           uint64_t index, uint64_t attempt);
void sched_task_fill_event (struct rst_message *message, uint64_t type,
                            const struct run *run, uint64_t result);
void sched_task_reply_start (struct run *run, uint64_t result);
void sched_task_record_rejection (struct rst_scheduler *sched,
                                  const struct rst_task_start *task);
bool sched_task_was_rejected (struct rst_scheduler *sched,
                              const struct rst_task_start *task);
void sched_task_reject_start (struct rst_scheduler *sched, uint64_t link,
                              const struct rst_message *request,
                              const char *reason);
struct instance *sched_task_choose_worker (struct rst_scheduler *sched,
                                           const struct rst_task_start *task);
/* sched_task_handle_start.c */
void sched_task_log_event (const struct run *run, const char *message,
                           const char *reason);

#endif
