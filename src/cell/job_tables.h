/**
 * DOC: job_tables - whether a planner has memory for the tables of a job
 *
 * Load pattern: a few small submissions with steps of many thousand tasks
 * each, for each of which the planner keeps an entry.
 */
#ifndef RST_JOB_TABLES_H
#define RST_JOB_TABLES_H

#include <stdbool.h>
#include <stdint.h>

/** Jobs with up to this many tasks are always accepted.  Ordinary jobs have up
    to 25, and the planner's memory for them is bounded by what admits jobs. */
#define RST_JOB_TABLES_SMALL_TASKS 1000

/** Seconds after which the caller of a rejected job may retry.  Ended jobs are
    kept for up to two minutes, so that room appears slowly. */
#define RST_JOB_TABLES_RETRY_S 10

/**
 * rst_job_tables_has_room() - Decides on a job.
 * @bytes_max: Memory for the tables of all jobs; 0 for no bound.
 * @held_tasks: Tasks of the jobs that the planner has.
 * @new_tasks: Tasks of the job.
 * @task_bytes: Memory of a task's entry.
 */
bool rst_job_tables_has_room (int64_t bytes_max, int64_t held_tasks,
                              int64_t new_tasks, int64_t task_bytes);

#endif
