/**
 * DOC: job - specification of a job and the stored record of its state
 */
#ifndef RST_JOB_H
#define RST_JOB_H

#include <glib.h>

#include "rosemarystile.h"
#include "state/state.h"

/** Largest number of tasks of one job. */
#define RST_JOB_TASKS_MAX 100000

/** Longest id of a job, without the final NUL. */
#define RST_JOB_ID_MAX_BYTES 36

/** Prefix of the store keys of job records. */
#define RST_KEY_JOBS "jobs/"

/**
 * struct rst_job_spec - A job as specified by the caller.
 * @policy: A value of enum rst_policy.
 * @tasks: Number of tasks.
 * @cpu: CPU that each task requires, in thousandths of a core.
 * @memory_mb: Memory that each task requires, in megabytes.
 * @accelerators: Number of accelerators that each task requires.
 * @run_ms: Declared run time of each task; 0 for a service.
 * @run_once: A task that may have run must not be started again.
 * @urgent: Whether the job is urgent.
 */
struct rst_job_spec
{
  int64_t policy;
  int64_t tasks;
  int64_t cpu;
  int64_t memory_mb;
  int64_t accelerators;
  int64_t run_ms;
  bool run_once;
  bool urgent;
};

/**
 * struct rst_job_record - The stored record of a job.
 * @name: "TEAM/ID".
 * @owner: Incarnation of the scheduler that owns the job.
 * @generation: Grows by one with each new owner.
 * @write_number: The owner's number of this write.
 * @revision: Store revision; 0 when the record is not stored yet.
 * @spec: Specification of the job.
 * @cancelled: Whether the job was cancelled.
 * @start_intent: Tasks with an index below this may have been started.  It is
 *   stored before these tasks are started, for the case that the owner fails.
 * @task_outcomes: One letter for each task: '.' not ended, 'd' done,
 *   'f' failed, 'u' unknown, 'c' cancelled; owned by the record.
 */
struct rst_job_record
{
  char name[RST_NAME_SIZE];
  char owner[RST_NAME_SIZE];
  uint64_t generation;
  uint64_t write_number;
  uint64_t revision;
  struct rst_job_spec spec;
  bool cancelled;
  int64_t start_intent;
  char *task_outcomes;
};

/**
 * rst_job_spec_parse() - Parses and checks a caller's job specification.
 * @text: JSON text.
 * @id: Receives the job id, or "" when the text has none.
 * @out: Receives the specification.
 * @problems: Receives one line for each problem.
 *
 * Return: %RST_STATE_OK or %RST_STATE_INVALID.
 */
int rst_job_spec_parse (const char *text, char id[RST_NAME_SIZE],
                        struct rst_job_spec *out, GString *problems);

/**
 * rst_job_spec_equal() - Compares two job specifications.
 * @a: A specification.
 * @b: Another specification.
 *
 * Return: Whether all members are equal.
 */
bool rst_job_spec_equal (const struct rst_job_spec *a,
                         const struct rst_job_spec *b);

/**
 * rst_job_record_parse() - Parses a stored record.
 * @text: JSON text.
 * @revision: Store revision of the record.
 * @out: Receives the record, to be cleared with rst_job_record_clear().
 *
 * Return: %RST_STATE_OK, or %RST_STATE_INVALID and then @out needs no
 * clearing.
 */
int rst_job_record_parse (const char *text, uint64_t revision,
                          struct rst_job_record *out);

/**
 * rst_job_record_format() - Formats a record as JSON text to be stored.
 * @record: The record.
 *
 * Return: The text, to be freed with free().
 */
char *rst_job_record_format (const struct rst_job_record *record);

/** rst_job_record_clear() - Frees the memory owned by a record. */
void rst_job_record_clear (struct rst_job_record *record);

/** rst_job_record_is_finished() - Returns whether all tasks have ended. */
bool rst_job_record_is_finished (const struct rst_job_record *record);

/**
 * rst_job_record_describe() - Formats the state of a job for callers.
 * @record: The record.
 * @running: Number of running tasks.
 * @waiting_for: Why the other tasks wait, or NULL.
 *
 * Return: JSON text, to be freed with free().
 */
char *rst_job_record_describe (const struct rst_job_record *record,
                               int64_t running, const char *waiting_for);

/**
 * rst_job_record_get_state() - Names the state of a job for callers.
 * @record: The record.
 *
 * Return: "running" or "cancelling" until all tasks have ended, and then
 * "unknown", "failed", "cancelled" or "done": the first of these that applies
 * to any task.
 */
const char *rst_job_record_get_state (const struct rst_job_record *record);

#endif
