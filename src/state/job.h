/**
 * DOC: job - what is known of a job and its stored record
 */
#ifndef RST_JOB_H
#define RST_JOB_H

#include <glib.h>

#include "rosemarystile.h"
#include "state/state.h"

/** Largest number of tasks of one job. */
#define RST_JOB_TASKS_MAX 100000

/** Longest id of a job in bytes. */
#define RST_JOB_ID_MAX_BYTES 36

/** Store keys of jobs. */
#define RST_KEY_JOBS "jobs/"

/**
 * struct rst_job_spec - What a caller asks for.
 * @policy: A value of enum rst_policy.
 * @tasks: Number of tasks.
 * @cpu: Processor time of each in thousandths of a core.
 * @memory_mb: Memory of each.
 * @accelerators: Accelerators of each.
 * @run_ms: Declared run time; 0 for a service.
 * @run_once: A task that may have run must not run again.
 * @urgent: Whether it is urgent.
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
 * @owner: Incarnation of the scheduler that follows it.
 * @generation: Grows by one with each new owner.
 * @write_number: The owner's number of this write.
 * @revision: Store revision; 0 when not stored yet.
 * @spec: What was asked for.
 * @cancelled: The caller has cancelled it.
 * @start_intent: Tasks below this number may have been started.
 * @task_outcomes: One letter a task: '.' not ended, 'd' done, 'f' failed, 'u'
 *   unknown, 'c' cancelled; owned by the record.
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
 * rst_job_spec_parse() - Reads what a caller asks for.
 * @text: The body.
 * @id: Receives the id in the body, or "".
 * @out: Receives the rest.
 * @problems: Receives a line for each problem.
 *
 * Return: RST_STATE_OK or RST_STATE_INVALID.
 */
int rst_job_spec_parse (const char *text, char id[RST_NAME_SIZE],
                        struct rst_job_spec *out, GString *problems);

/** rst_job_spec_equal() - Whether two specs ask for the same. */
bool rst_job_spec_equal (const struct rst_job_spec *a,
                         const struct rst_job_spec *b);

/**
 * rst_job_record_parse() - Reads a stored record.
 *
 * Return: RST_STATE_OK, and @out must be cleared; or RST_STATE_INVALID.
 */
int rst_job_record_parse (const char *text, uint64_t revision,
                          struct rst_job_record *out);

/** rst_job_record_format() - Writes a record; free the text with free(). */
char *rst_job_record_format (const struct rst_job_record *record);

/** rst_job_record_clear() - Frees what a record owns. */
void rst_job_record_clear (struct rst_job_record *record);

/** rst_job_record_is_finished() - Whether all tasks have ended. */
bool rst_job_record_is_finished (const struct rst_job_record *record);

/**
 * rst_job_record_describe() - Describes a record for callers as JSON.
 * @record: The record.
 * @running: Number of tasks that run.
 * @waiting_for: Why tasks wait, or NULL.
 *
 * Return: The text, to be freed with free().
 */
char *rst_job_record_describe (const struct rst_job_record *record,
                               int64_t running, const char *waiting_for);

/** rst_job_record_get_state() - "running", "done", "cancelled" or the like. */
const char *rst_job_record_get_state (const struct rst_job_record *record);

#endif
