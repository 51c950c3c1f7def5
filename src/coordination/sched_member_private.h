/**
 * DOC: sched_member_private - declarations shared by the files sched_member*.c
 */
#ifndef RST_SCHED_MEMBER_PRIVATE_H
#define RST_SCHED_MEMBER_PRIVATE_H

#include "coordination/scheduler_private.h"

/* sched_member.c; the keys are to be freed with g_free() */
char *sched_member_build_alive_key (const struct rst_scheduler *sched,
                                    const char *incarnation);
char *sched_member_build_record_key (const struct rst_scheduler *sched,
                                     const char *incarnation);

/** sched_member_is_registered() - Whether this incarnation has a member record
 * and a store lease; it acts as a member only then. */
bool sched_member_is_registered (const struct rst_scheduler *sched);

/** sched_member_add_takeover() - Begins a takeover from a member unless there
 * is one. */
void sched_member_add_takeover (struct rst_scheduler *sched,
                                const char *incarnation);

/* sched_member_takeover.c */

/** sched_member_delete_record() - Deletes the member record of an incarnation
 * that has left the ownership record. */
void sched_member_delete_record (struct rst_scheduler *sched,
                                 const char *incarnation);

/** sched_member_takeovers_tick() - Advances all takeovers and removes fenced
 * members from the ownership record. */
void sched_member_takeovers_tick (struct rst_scheduler *sched);

#endif
