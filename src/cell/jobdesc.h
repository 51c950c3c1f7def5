/**
 * DOC: jobdesc - description of a job
 *
 * A job is a list of steps; a step is a number of equal tasks.  The
 * description of a job does not change once the job is accepted.
 */
#ifndef RST_JOBDESC_H
#define RST_JOBDESC_H

#include <stdbool.h>
#include <stdint.h>

#include "cell/pack.h"
#include "rosemarystile.h"

/** Largest number of steps of a job. */
#define RST_STEPS_MAX 64

/** Largest number of tasks of a step. */
#define RST_TASKS_MAX 10000

/** Largest length of the text that a job's tasks receive. */
#define RST_SPEC_BYTES_MAX 4000

/**
 * struct rst_resources - An amount of each resource.
 * @cpu: Processors, in thousandths of a core.
 * @memory: Memory, in MiB.
 * @gpu: Number of accelerators.
 */
struct rst_resources
{
  int64_t cpu;
  int64_t memory;
  int64_t gpu;
};

/**
 * struct rst_step - Description of a step.
 * @count: Number of tasks.
 * @need: Resources that one task needs.
 * @estimate_ms: Caller's estimate of a task's run time.
 * @after: Indexes of the steps that must be done before this one starts.
 * @after_count: Length of @after.
 * @gang: Whether the tasks must all run at the same time.
 * @prefers_one_rack: Whether the tasks run faster on a single rack.
 * @has_checkpoints: Whether a task can go on from a checkpoint.
 * @speculative: Whether a task may have several runs at the same time.
 * @long_running: Whether the tasks run until the job is cancelled.
 * @best_effort: Whether the tasks use only spare processors, which are then
 *   not counted.
 * @max_per_instance: Largest number of tasks on one instance; 0 for no limit.
 * @max_unavailable: Largest number of tasks that orders may make unavailable
 *   at once; 0 for no limit.
 * @target_ms: Response time that the long-running tasks are to stay below; 0
 *   for none.
 * @label: Label that an instance must have, or "".
 * @rack: Rack on which the data is stored, or "".
 * @image: Image that the tasks run, or "".
 */
struct rst_step
{
  int count;
  struct rst_resources need;
  int64_t estimate_ms;
  int *after;
  int after_count;
  bool gang;
  bool prefers_one_rack;
  bool has_checkpoints;
  bool speculative;
  bool long_running;
  bool best_effort;
  int max_per_instance;
  int max_unavailable;
  int64_t target_ms;
  char *label;
  char *rack;
  char *image;
};

/**
 * struct rst_jobdesc - Description of a job.
 * @spec: Text that each task receives, as in state/text.h.
 * @steps: The steps.
 * @step_count: Length of @steps.
 * @repeats: Number of occurrences of a repeating job; 0 for a job that runs
 *   once, without delay.
 * @start_at_ms: Unix time of the first occurrence.
 * @period_ms: Time between the starts of two occurrences.
 */
struct rst_jobdesc
{
  char *spec;
  struct rst_step *steps;
  int step_count;
  int64_t repeats;
  int64_t start_at_ms;
  int64_t period_ms;
};

/**
 * rst_resources_add() - Adds a multiple of an amount.
 * @sum: Amount to change.
 * @need: Amount to add.
 * @times: Factor of @need; a negative one subtracts.
 */
void rst_resources_add (struct rst_resources *sum,
                        const struct rst_resources *need, int64_t times);

/**
 * rst_step_get_task_need() - Returns the resources that a task reserves.
 *
 * A best-effort task reserves no processors.
 */
struct rst_resources rst_step_get_task_need (const struct rst_step *step);

/** rst_jobdesc_create() - Creates a description with @steps empty steps. */
struct rst_jobdesc *rst_jobdesc_create (int steps);

/** rst_jobdesc_destroy() - Frees a description; NULL is ignored. */
void rst_jobdesc_destroy (struct rst_jobdesc *desc);

/**
 * rst_jobdesc_check() - Checks a description.
 *
 * Return: NULL when it is valid, else a static text that names the field and
 * what is wrong with it.
 */
const char *rst_jobdesc_check (const struct rst_jobdesc *desc);

/** rst_jobdesc_pack() - Encodes a description as one array. */
void rst_jobdesc_pack (struct rst_pack *pack, const struct rst_jobdesc *desc);

/**
 * rst_jobdesc_read() - Decodes and checks a description.
 *
 * Return: The description, or NULL, with the reader marked as bad, when it is
 * malformed or not valid.
 */
struct rst_jobdesc *rst_jobdesc_read (struct rst_reader *reader);

#endif
