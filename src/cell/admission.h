/**
 * DOC: admission - whether a job is accepted, and when its caller should retry
 *
 * Answers one load pattern: callers go on submitting jobs while the store does
 * not answer.  A job is accepted only once it is stored, so such a job would
 * wait until its caller's deadline and then be in doubt, which the caller can
 * not repeat safely.  A job that was not sent to the store yet is rejected at
 * once instead, and its caller is told when to return.  Waiting times grow
 * with the outage, so that a caller's few retries outlast it, and differ from
 * job to job, so that callers do not return all at the same time.
 *
 * Answers a second one: jobs arrive faster than the fleet can run them.  A job
 * that would end when it has no value any more is rejected at once, since it
 * would only delay others.  The estimate is that of start_estimate.h.
 */
#ifndef RST_ADMISSION_H
#define RST_ADMISSION_H

#include <glib.h>

#include "rosemarystile.h"

/**
 * rst_admission_compute_retry_s() - Decides on a job that is not in the store
 * and was not sent to it.
 * @store_age_ms: Time since the store last confirmed the planner.
 * @refusals: Number of commits that the store has definitely refused since
 *   then, without any of unknown result.
 * @spread: Any number that differs from job to job.
 *
 * Return: 0 if the job may wait for the store; else seconds after which its
 * caller should retry.
 */
int rst_admission_compute_retry_s (rst_ms store_age_ms, int refusals,
                                   guint spread);

/**
 * struct rst_admission_input - What is known of a submitted job.
 * @latest_end_percent: Latest end in percent of the objective; 0 for none.
 * @age_ms: Time since the caller's first attempt.
 * @objective_ms: Time after the first attempt within which it should end.
 * @start_ms: Estimated time until its first tasks could start.
 * @path_ms: Expected run time of its longest chain of steps.
 */
struct rst_admission_input
{
  int64_t latest_end_percent;
  int64_t age_ms;
  int64_t objective_ms;
  double start_ms;
  double path_ms;
};

/**
 * rst_admission_decide() - Decides on a job under the present load.
 * @input: The job.
 * @spread: Any number that differs from job to job.
 *
 * A job that could start nearly at once is accepted even if it is late: it
 * takes no room from others.
 *
 * Return: 0 if the job is accepted; else seconds after which its caller should
 * retry.  That is when what waits before the job has started, and up to twice
 * as long, so that not all callers return at the same time.
 */
int rst_admission_decide (const struct rst_admission_input *input,
                          guint spread);

#endif
