#include "state/job.h"

#include <stdlib.h>
#include <string.h>

#include "state/json.h"
#include "util/conf.h"

/** Largest requirements of a task. */
#define CPU_MAX_MILLI 1000000
#define MEMORY_MAX_MB (64 * 1024 * 1024)
#define ACCELERATORS_MAX 1024
#define RUN_MAX_MS ((int64_t)1000 * 60 * 60 * 24 * 30)

/* Target of rst_conf_read() for a job specification. */
struct spec_fields
{
  char id[RST_NAME_SIZE];
  char policy[16];
  char urgency[16];
  struct rst_job_spec spec;
};

/* In the order of enum rst_policy. */
static const char *const policy_names[] = { "batch", "service", "gang", NULL };
static const char *const urgency_names[] = { "normal", "urgent", NULL };

#define SPEC_INTEGER(name, required, member, min, max)                        \
  {                                                                           \
    name, RST_CONF_INTEGER, required,                                         \
        offsetof (struct spec_fields, spec.member), 0, min, max, NULL         \
  }

static const struct rst_conf_field spec_fields[] = {
  RST_CONF_STRING_FIELD ("id", RST_CONF_NAME, false, struct spec_fields, id),
  { "policy", RST_CONF_CHOICE, true, offsetof (struct spec_fields, policy), 16,
    0, 0, policy_names },
  { "urgency", RST_CONF_CHOICE, false, offsetof (struct spec_fields, urgency),
    16, 0, 0, urgency_names },
  SPEC_INTEGER ("tasks", true, tasks, 1, RST_JOB_TASKS_MAX),
  SPEC_INTEGER ("cpu_milli", true, cpu, 1, CPU_MAX_MILLI),
  SPEC_INTEGER ("memory_mb", true, memory_mb, 1, MEMORY_MAX_MB),
  SPEC_INTEGER ("accelerators", false, accelerators, 0, ACCELERATORS_MAX),
  SPEC_INTEGER ("run_ms", false, run_ms, 0, RUN_MAX_MS),
  { "run_once", RST_CONF_BOOL, false,
    offsetof (struct spec_fields, spec.run_once), 0, 0, 0, NULL },
};

static int64_t
parse_policy (const char *name)
{
  for (int64_t i = 0; policy_names[i] != NULL; i++)
    if (strcmp (policy_names[i], name) == 0)
      return i;
  return 0;
}

static bool
check_spec (const struct spec_fields *fields, GString *problems)
{
  bool is_service = strcmp (fields->policy, "service") == 0;
  bool valid = true;

  if (strlen (fields->id) > RST_JOB_ID_MAX_BYTES)
    {
      g_string_append_printf (problems, "id: longer than %d bytes\n",
                              RST_JOB_ID_MAX_BYTES);
      valid = false;
    }
  if (!is_service && fields->spec.run_ms == 0)
    {
      g_string_append (problems, "run_ms: is missing\n");
      valid = false;
    }
  if (is_service && (fields->spec.run_ms != 0 || fields->spec.run_once))
    {
      g_string_append (problems,
                       "run_ms: a service has no run time and runs on\n");
      valid = false;
    }
  return valid;
}

int
rst_job_spec_parse (const char *text, char id[RST_NAME_SIZE],
                    struct rst_job_spec *out, GString *problems)
{
  struct spec_fields fields = { 0 };
  struct json_object *root = rst_conf_parse (text, problems);
  bool valid;

  if (root == NULL)
    return RST_STATE_INVALID;
  valid = rst_conf_read (root, spec_fields, G_N_ELEMENTS (spec_fields),
                         &fields, problems)
          && check_spec (&fields, problems);
  json_object_put (root);
  g_strlcpy (id, fields.id, RST_NAME_SIZE);
  *out = fields.spec;
  out->policy = parse_policy (fields.policy);
  out->urgent = strcmp (fields.urgency, "urgent") == 0;
  return valid ? RST_STATE_OK : RST_STATE_INVALID;
}

bool
rst_job_spec_equal (const struct rst_job_spec *a, const struct rst_job_spec *b)
{
  return a->policy == b->policy && a->tasks == b->tasks && a->cpu == b->cpu
         && a->memory_mb == b->memory_mb && a->accelerators == b->accelerators
         && a->run_ms == b->run_ms && a->run_once == b->run_once
         && a->urgent == b->urgent;
}

static bool
read_spec (struct json_object *root, struct rst_job_spec *out)
{
  struct json_object *item;

  if (!json_object_object_get_ex (root, "spec", &item))
    return false;
  out->policy = rst_json_get_number (item, "policy", 0);
  out->tasks = rst_json_get_number (item, "tasks", 0);
  out->cpu = rst_json_get_number (item, "cpu_milli", 0);
  out->memory_mb = rst_json_get_number (item, "memory_mb", 0);
  out->accelerators = rst_json_get_number (item, "accelerators", 0);
  out->run_ms = rst_json_get_number (item, "run_ms", 0);
  out->run_once = rst_json_get_bool (item, "run_once", false);
  out->urgent = rst_json_get_bool (item, "urgent", false);
  return out->tasks >= 1 && out->tasks <= RST_JOB_TASKS_MAX;
}

int
rst_job_record_parse (const char *text, uint64_t revision,
                      struct rst_job_record *out)
{
  struct json_object *root = rst_json_parse (text);
  const char *task_outcomes;
  int error = RST_STATE_INVALID;

  memset (out, 0, sizeof *out);
  task_outcomes = rst_json_get_text (root, "ended");
  if (rst_json_copy_text (root, "name", out->name, RST_NAME_SIZE)
      && rst_json_copy_text (root, "owner", out->owner, RST_NAME_SIZE)
      && read_spec (root, &out->spec) && task_outcomes != NULL
      && (int64_t)strlen (task_outcomes) == out->spec.tasks)
    {
      out->generation = (uint64_t)rst_json_get_number (root, "generation", 0);
      out->write_number = (uint64_t)rst_json_get_number (root, "write", 0);
      out->cancelled = rst_json_get_bool (root, "cancelled", false);
      out->start_intent = rst_json_get_number (root, "intent", 0);
      out->task_outcomes = g_strdup (task_outcomes);
      out->revision = revision;
      error = RST_STATE_OK;
    }
  json_object_put (root);
  return error;
}

static struct json_object *
format_spec (const struct rst_job_spec *spec)
{
  struct json_object *item = json_object_new_object ();

  rst_json_set_number (item, "policy", spec->policy);
  rst_json_set_number (item, "tasks", spec->tasks);
  rst_json_set_number (item, "cpu_milli", spec->cpu);
  rst_json_set_number (item, "memory_mb", spec->memory_mb);
  rst_json_set_number (item, "accelerators", spec->accelerators);
  rst_json_set_number (item, "run_ms", spec->run_ms);
  rst_json_set_bool (item, "run_once", spec->run_once);
  rst_json_set_bool (item, "urgent", spec->urgent);
  return item;
}

char *
rst_job_record_format (const struct rst_job_record *record)
{
  struct json_object *root = json_object_new_object ();

  rst_json_set_text (root, "name", record->name);
  rst_json_set_text (root, "owner", record->owner);
  rst_json_set_number (root, "generation", (int64_t)record->generation);
  rst_json_set_number (root, "write", (int64_t)record->write_number);
  rst_json_set_bool (root, "cancelled", record->cancelled);
  rst_json_set_number (root, "intent", record->start_intent);
  rst_json_set_text (root, "ended", record->task_outcomes);
  json_object_object_add (root, "spec", format_spec (&record->spec));
  return rst_json_format_and_release (root);
}

void
rst_job_record_clear (struct rst_job_record *record)
{
  g_free (record->task_outcomes);
  record->task_outcomes = NULL;
}

static int64_t
count_outcome (const struct rst_job_record *record, char outcome)
{
  int64_t count = 0;

  for (int64_t i = 0; i < record->spec.tasks; i++)
    if (record->task_outcomes[i] == outcome)
      count++;
  return count;
}

bool
rst_job_record_is_finished (const struct rst_job_record *record)
{
  return strchr (record->task_outcomes, '.') == NULL;
}

const char *
rst_job_record_get_state (const struct rst_job_record *record)
{
  if (!rst_job_record_is_finished (record))
    return record->cancelled ? "cancelling" : "running";
  if (strchr (record->task_outcomes, 'u') != NULL)
    return "unknown";
  if (strchr (record->task_outcomes, 'f') != NULL)
    return "failed";
  if (strchr (record->task_outcomes, 'c') != NULL)
    return "cancelled";
  return "done";
}

char *
rst_job_record_describe (const struct rst_job_record *record, int64_t running,
                         const char *waiting_for)
{
  struct json_object *root = json_object_new_object ();
  const char *slash = strchr (record->name, '/');
  int64_t unfinished = count_outcome (record, '.');

  rst_json_set_text (root, "id", slash != NULL ? slash + 1 : record->name);
  rst_json_set_text (root, "policy", policy_names[record->spec.policy % 3]);
  rst_json_set_text (root, "state", rst_job_record_get_state (record));
  rst_json_set_number (root, "tasks", record->spec.tasks);
  rst_json_set_number (root, "running", running);
  rst_json_set_number (root, "waiting", unfinished - running);
  rst_json_set_number (root, "done", count_outcome (record, 'd'));
  rst_json_set_number (root, "failed", count_outcome (record, 'f'));
  rst_json_set_number (root, "unknown", count_outcome (record, 'u'));
  rst_json_set_number (root, "cancelled", count_outcome (record, 'c'));
  rst_json_set_text (root, "owner", record->owner);
  if (waiting_for != NULL && unfinished > running)
    rst_json_set_text (root, "waiting_for", waiting_for);
  return rst_json_format_and_release (root);
}
