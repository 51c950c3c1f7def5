/**
 * DOC: sched_member_private - membership of a zone, shared by the files
 * sched_member*.c
 */
#ifndef RST_SCHED_MEMBER_PRIVATE_H
#define RST_SCHED_MEMBER_PRIVATE_H

#include "coordination/scheduler_private.h"

/* sched_member.c */
char *sched_member_alive_key (const struct rst_scheduler *sched,
                              const char *incarnation);
char *sched_member_record_key (const struct rst_scheduler *sched,
                               const char *incarnation);
bool sched_member_is_registered (const struct rst_scheduler *sched);
void sched_member_add_takeover (struct rst_scheduler *sched,
                                const char *incarnation);
/* sched_member_takeover.c */
void sched_member_delete_record (struct rst_scheduler *sched,
                                 const char *incarnation);
void sched_member_takeovers_tick (struct rst_scheduler *sched);

#endif
