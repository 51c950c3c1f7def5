/**
 * DOC: sched_instance_private - instances that this scheduler owns, shared by
 * the files sched_instance*.c
 */
#ifndef RST_SCHED_INSTANCE_PRIVATE_H
#define RST_SCHED_INSTANCE_PRIVATE_H

#include "coordination/scheduler_private.h"

/** Time added to a task lease before its end is taken as certain. */
#define TASK_LEASE_MARGIN_MS 1000

/* sched_instance_adopt.c */
void sched_instance_inspect_tick (struct instance *instance);
void sched_instance_renew_tick (struct instance *instance);

#endif
