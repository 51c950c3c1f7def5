/**
 * DOC: sched_query_private - a query on its way, shared by the files
 * sched_query*.c
 */
#ifndef RST_SCHED_QUERY_PRIVATE_H
#define RST_SCHED_QUERY_PRIVATE_H

#include "coordination/scheduler_private.h"

/** Statuses told to callers. */
#define HTTP_STATUS_OK 200

#define HTTP_STATUS_UNAVAILABLE 503

#define HTTP_STATUS_TIMEOUT 504

/* sched_query.c */
void sched_query_add_waiter (struct query *query, uint64_t link, uint64_t id);
void sched_query_reject (struct query *query, uint64_t status,
                         const char *reason, const char *detail);
void sched_query_end_unknown (struct query *query, uint64_t status,
                              const char *instance, uint64_t epoch,
                              const char *detail);
void sched_query_reject_message (struct rst_scheduler *sched, uint64_t link,
                                 uint64_t id, uint64_t status,
                                 const char *reason, const char *detail);
void sched_query_enqueue (struct query *query, bool at_head);
void sched_query_dequeue_head (struct query_queue *queue);
/* sched_query_run.c */
struct instance *sched_query_choose_runner (struct rst_scheduler *sched);
/* sched_query_forward.c */
struct peer *sched_query_choose_peer (struct rst_scheduler *sched);
bool sched_query_has_free_slot (struct rst_scheduler *sched);
bool sched_query_forward (struct query *query, struct peer *peer);
void sched_query_expire_forwards (struct rst_scheduler *sched);
/* sched_query_intake.c */
void sched_query_offload_queues (struct rst_scheduler *sched);
void sched_query_flush_queues (struct rst_scheduler *sched);

#endif
