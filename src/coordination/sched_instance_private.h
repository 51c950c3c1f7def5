/**
 * DOC: sched_instance_private - declarations shared by the files
 * sched_instance*.c
 */
#ifndef RST_SCHED_INSTANCE_PRIVATE_H
#define RST_SCHED_INSTANCE_PRIVATE_H

#include "coordination/scheduler_private.h"

/** Time added to a task lease before its task is taken to have ended. */
#define TASK_LEASE_MARGIN_MS 1000

/* sched_instance_adopt.c */

/** sched_instance_inspect_tick() - Asks an owned instance to list its runs
 * when that is due. */
void sched_instance_inspect_tick (struct instance *instance);

/** sched_instance_renew_tick() - Renews the leases of a worker's tasks when
 * that is due, or ends the tasks once their leases have expired. */
void sched_instance_renew_tick (struct instance *instance);

#endif
