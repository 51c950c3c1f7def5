/**
 * DOC: sched_query_private - functions shared by the files sched_query*.c
 */
#ifndef RST_SCHED_QUERY_PRIVATE_H
#define RST_SCHED_QUERY_PRIVATE_H

#include "coordination/scheduler_private.h"

/** HTTP statuses for callers. */
#define HTTP_STATUS_OK 200
#define HTTP_STATUS_UNAVAILABLE 503
#define HTTP_STATUS_TIMEOUT 504

/* sched_query.c: how queries end, and the teams' queues */

/** sched_query_add_waiter() - Adds a request that receives the answer. */
void sched_query_add_waiter (struct query *query, uint64_t link, uint64_t id);

/**
 * sched_query_reject() - Ends a query that did not run; frees it.
 *
 * The outcome is "unknown" if an earlier attempt may have run.
 */
void sched_query_reject (struct query *query, uint64_t status,
                         const char *reason, const char *detail);

/** sched_query_end_unknown() - Ends a query that may have run; frees it. */
void sched_query_end_unknown (struct query *query, uint64_t status,
                              const char *instance, uint64_t epoch,
                              const char *detail);

/** sched_query_reject_message() - Rejects a request for which no query was
 * created. */
void sched_query_reject_message (struct rst_scheduler *sched, uint64_t link,
                                 uint64_t id, uint64_t status,
                                 const char *reason, const char *detail);

void sched_query_enqueue (struct query *query, bool at_head);
void sched_query_dequeue_head (struct query_queue *queue);

/* sched_query_run.c: runs on owned runners */

/** sched_query_choose_runner() - A runner with a free slot, or NULL. */
struct instance *sched_query_choose_runner (struct rst_scheduler *sched);

/* sched_query_forward.c: queries forwarded to other schedulers */

/** sched_query_choose_peer() - A scheduler with free slots, or NULL. */
struct peer *sched_query_choose_peer (struct rst_scheduler *sched);

/** sched_query_has_free_slot() - Whether a query could be started here. */
bool sched_query_has_free_slot (struct rst_scheduler *sched);

/**
 * sched_query_forward() - Sends a query, which is in no queue, to a peer.
 *
 * Return: Whether it was sent.
 */
bool sched_query_forward (struct query *query, struct peer *peer);

/**
 * sched_query_expire_forwards() - Ends forwarded queries that were not
 * answered in time.
 */
void sched_query_expire_forwards (struct rst_scheduler *sched);

/* sched_query_intake.c: admission, and queues that cannot be served here */

/**
 * sched_query_offload_queues() - Forwards queued queries to peers with free
 * slots while no own runner has one.
 */
void sched_query_offload_queues (struct rst_scheduler *sched);

/**
 * sched_query_flush_queues() - Forwards or rejects all queued queries, as this
 * scheduler may not start them.
 */
void sched_query_flush_queues (struct rst_scheduler *sched);

#endif
