#include "cell/jobdesc.h"

#include "state/text.h"

/** Number of members of an encoded description and of an encoded step. */
#define DESC_MEMBERS 5
#define STEP_MEMBERS 14

enum step_flag
{
  FLAG_GANG = 1,
  FLAG_PREFERS_ONE_RACK = 2,
  FLAG_HAS_CHECKPOINTS = 4,
  FLAG_SPECULATIVE = 8,
  FLAG_LONG_RUNNING = 16,
  FLAG_BEST_EFFORT = 32,
};

void
rst_resources_add (struct rst_resources *sum, const struct rst_resources *need,
                   int64_t times)
{
  sum->cpu += times * need->cpu;
  sum->memory += times * need->memory;
  sum->gpu += times * need->gpu;
}

struct rst_resources
rst_step_get_task_need (const struct rst_step *step)
{
  struct rst_resources need = step->need;

  if (step->best_effort)
    need.cpu = 0;
  return need;
}

struct rst_jobdesc *
rst_jobdesc_create (int steps)
{
  struct rst_jobdesc *desc = g_new0 (struct rst_jobdesc, 1);

  desc->steps = g_new0 (struct rst_step, steps);
  desc->step_count = steps;
  return desc;
}

void
rst_jobdesc_destroy (struct rst_jobdesc *desc)
{
  if (desc == NULL)
    return;
  for (int i = 0; i < desc->step_count; i++)
    {
      g_free (desc->steps[i].after);
      g_free (desc->steps[i].label);
      g_free (desc->steps[i].rack);
      g_free (desc->steps[i].image);
    }
  g_free (desc->steps);
  g_free (desc->spec);
  g_free (desc);
}

static const char *
check_step (const struct rst_step *step, int index)
{
  if (step->count < 1 || step->count > RST_TASKS_MAX)
    return "count: must be from 1 to 10000";
  if (step->need.cpu < 0 || step->need.memory < 0 || step->need.gpu < 0)
    return "cpu, mem_mb, gpu: must not be negative";
  for (int i = 0; i < step->after_count; i++)
    if (step->after[i] < 0 || step->after[i] >= index)
      return "after: must name earlier steps";
  return NULL;
}

const char *
rst_jobdesc_check (const struct rst_jobdesc *desc)
{
  if (desc->spec == NULL || rst_text_length (desc->spec) > RST_SPEC_BYTES_MAX)
    return "spec: must be text of up to 4000 bytes";
  if (desc->step_count < 1 || desc->step_count > RST_STEPS_MAX)
    return "phases: must have from 1 to 64 steps";
  if (desc->repeats < 0 || (desc->repeats > 1 && desc->period_ms < 1))
    return "repeats, period_ms: must be positive";
  for (int i = 0; i < desc->step_count; i++)
    {
      const char *problem = check_step (&desc->steps[i], i);

      if (problem != NULL)
        return problem;
    }
  return NULL;
}

static int
encode_step_flags (const struct rst_step *step)
{
  return (step->gang ? FLAG_GANG : 0)
         | (step->prefers_one_rack ? FLAG_PREFERS_ONE_RACK : 0)
         | (step->has_checkpoints ? FLAG_HAS_CHECKPOINTS : 0)
         | (step->speculative ? FLAG_SPECULATIVE : 0)
         | (step->long_running ? FLAG_LONG_RUNNING : 0)
         | (step->best_effort ? FLAG_BEST_EFFORT : 0);
}

static void
pack_step (struct rst_pack *pack, const struct rst_step *step)
{
  rst_pack_array (pack, STEP_MEMBERS);
  rst_pack_int (pack, step->count);
  rst_pack_int (pack, step->need.cpu);
  rst_pack_int (pack, step->need.memory);
  rst_pack_int (pack, step->need.gpu);
  rst_pack_int (pack, step->estimate_ms);
  rst_pack_int (pack, encode_step_flags (step));
  rst_pack_int (pack, step->max_per_instance);
  rst_pack_int (pack, step->max_unavailable);
  rst_pack_int (pack, step->target_ms);
  rst_pack_text (pack, step->label);
  rst_pack_text (pack, step->rack);
  rst_pack_text (pack, step->image);
  /* This member is not used; read_step() skips it. */
  rst_pack_int (pack, 0);
  rst_pack_array (pack, (size_t)step->after_count);
  for (int i = 0; i < step->after_count; i++)
    rst_pack_int (pack, step->after[i]);
}

void
rst_jobdesc_pack (struct rst_pack *pack, const struct rst_jobdesc *desc)
{
  rst_pack_array (pack, DESC_MEMBERS);
  rst_pack_text (pack, desc->spec);
  rst_pack_int (pack, desc->repeats);
  rst_pack_int (pack, desc->start_at_ms);
  rst_pack_int (pack, desc->period_ms);
  rst_pack_array (pack, (size_t)desc->step_count);
  for (int i = 0; i < desc->step_count; i++)
    pack_step (pack, &desc->steps[i]);
}

static void
read_step (struct rst_reader *reader, struct rst_step *step)
{
  struct rst_reader in = rst_reader_read_array (reader);
  struct rst_reader after;
  int flags;

  step->count = (int)rst_reader_read_int (&in);
  step->need.cpu = rst_reader_read_int (&in);
  step->need.memory = rst_reader_read_int (&in);
  step->need.gpu = rst_reader_read_int (&in);
  step->estimate_ms = rst_reader_read_int (&in);
  flags = (int)rst_reader_read_int (&in);
  step->gang = flags & FLAG_GANG;
  step->prefers_one_rack = flags & FLAG_PREFERS_ONE_RACK;
  step->has_checkpoints = flags & FLAG_HAS_CHECKPOINTS;
  step->speculative = flags & FLAG_SPECULATIVE;
  step->long_running = flags & FLAG_LONG_RUNNING;
  step->best_effort = flags & FLAG_BEST_EFFORT;
  step->max_per_instance = (int)rst_reader_read_int (&in);
  step->max_unavailable = (int)rst_reader_read_int (&in);
  step->target_ms = rst_reader_read_int (&in);
  step->label = rst_reader_read_text (&in);
  step->rack = rst_reader_read_text (&in);
  step->image = rst_reader_read_text (&in);
  rst_reader_read_int (&in);
  after = rst_reader_read_array (&in);
  step->after_count = (int)after.count;
  step->after = g_new0 (int, after.count);
  for (uint32_t i = 0; i < after.count; i++)
    step->after[i] = (int)rst_reader_read_int (&after);
  reader->bad |= in.bad || after.bad;
}

struct rst_jobdesc *
rst_jobdesc_read (struct rst_reader *reader)
{
  struct rst_reader in = rst_reader_read_array (reader);
  struct rst_jobdesc *desc;
  struct rst_reader steps;
  char *spec = rst_reader_read_text (&in);
  int64_t repeats = rst_reader_read_int (&in);
  int64_t start_at_ms = rst_reader_read_int (&in);
  int64_t period_ms = rst_reader_read_int (&in);

  steps = rst_reader_read_array (&in);
  if (in.bad || steps.count > RST_STEPS_MAX)
    steps.count = 0;
  desc = rst_jobdesc_create ((int)steps.count);
  desc->spec = spec;
  desc->repeats = repeats;
  desc->start_at_ms = start_at_ms;
  desc->period_ms = period_ms;
  for (int i = 0; i < desc->step_count; i++)
    read_step (&steps, &desc->steps[i]);
  reader->bad |= in.bad || steps.bad;
  if (!reader->bad && rst_jobdesc_check (desc) == NULL)
    return desc;
  reader->bad = true;
  rst_jobdesc_destroy (desc);
  return NULL;
}
