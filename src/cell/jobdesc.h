/**
 * DOC: jobdesc - what a caller asks for with a job
 *
 * A job is a list of steps; a step is a number of equal tasks.  A
 * description never changes after the job was accepted.
 */
#ifndef RST_JOBDESC_H
#define RST_JOBDESC_H

#include <stdbool.h>
#include <stdint.h>

#include "cell/pack.h"
#include "rosemarystile.h"

/** Bound on a job's steps. */
#define RST_STEPS_MAX 64

/** Bound on a step's tasks. */
#define RST_TASKS_MAX 10000

/** Bound on the text handed to a job's tasks, in bytes. */
#define RST_SPEC_BYTES_MAX 4000

/**
 * struct rst_resources - Processors, memory and accelerators.
 * @cpu: Thousandths of a core.
 * @memory: MiB.
 * @gpu: Accelerators.
 */
struct rst_resources
{
  int64_t cpu;
  int64_t memory;
  int64_t gpu;
};

/**
 * struct rst_step - What one step asks for.
 * @count: Number of tasks.
 * @need: What one task takes.
 * @estimate_ms: Rough run time of a task.
 * @after: Numbers of the steps that must be done first.
 * @after_count: Their number.
 * @gang: All tasks run together or none.
 * @prefers_one_rack: The tasks are faster on a single rack.
 * @has_checkpoints: A task saves its progress.
 * @speculative: Several runs of a task may go on at once.
 * @long_running: The tasks run until the job is cancelled.
 * @best_effort: The step's processors are not counted.
 * @max_per_instance: Bound on its tasks on one instance; 0 for none.
 * @max_unavailable: Tasks that orders may make unavailable at once; 0 for
 * none.
 * @target_ms: Bound on the response times of lasting tasks; 0 for none.
 * @label: Label that an instance must have, or "".
 * @rack: Rack of the data, or "".
 * @image: What the tasks run, or "".
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
 * struct rst_jobdesc - A job as handed in.
 * @spec: Text handed to each task.
 * @steps: The steps.
 * @step_count: Their number.
 * @repeats: How many times the steps run; 0 means once, at once.
 * @start_at_ms: Unix time of the first occurrence.
 * @period_ms: Time between occurrences.
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

/** rst_resources_add() - Adds @need to @sum, @times times; may be negative. */
void rst_resources_add (struct rst_resources *sum,
                        const struct rst_resources *need, int64_t times);

/** rst_step_get_task_need() - What a task of the step takes of an instance's
 * room. */
struct rst_resources rst_step_get_task_need (const struct rst_step *step);

/** rst_jobdesc_create() - An empty description with @steps steps. */
struct rst_jobdesc *rst_jobdesc_create (int steps);

/** rst_jobdesc_destroy() - Frees a description, or does nothing for NULL. */
void rst_jobdesc_destroy (struct rst_jobdesc *desc);

/**
 * rst_jobdesc_check() - Finds what makes a description unusable.
 *
 * Return: NULL, or a static sentence that names the field.
 */
const char *rst_jobdesc_check (const struct rst_jobdesc *desc);

/** rst_jobdesc_pack() - Writes a description as one array. */
void rst_jobdesc_pack (struct rst_pack *pack, const struct rst_jobdesc *desc);

/**
 * rst_jobdesc_read() - Reads a description.
 *
 * Return: The description, or NULL when the bytes are not one.
 */
struct rst_jobdesc *rst_jobdesc_read (struct rst_reader *reader);

#endif
