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
 */
#ifndef RST_ADMISSION_H
#define RST_ADMISSION_H

#include <glib.h>

#include "rosemarystile.h"

/**
 * rst_admission_compute_retry_s() - Decides on a job that is not in the store
 * and was not sent to it.
 * @store_age_ms: Time since the store last confirmed the planner.
 * @spread: Any number that differs from job to job.
 *
 * Return: 0 if the job may wait for the store; else seconds after which its
 * caller should retry.
 */
int rst_admission_compute_retry_s (rst_ms store_age_ms, guint spread);

#endif
