/**
 * DOC: fleet - stand-in for the instances of one availability zone
 *
 * Runners run queries in slots; workers run tasks under leases.  Both reject
 * stale epochs, and count what must never happen: overcommitted instances, and
 * queries that ran twice although they are not idempotent.
 */
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <ck_queue.h>
#include <glib.h>
#include <pthread.h>

#include "state/json.h"
#include "transport/http_server.h"
#include "transport/http_sync.h"
#include "transport/transport.h"
#include "util/os.h"
#include "util/program.h"

/** Interval at which due runs and tasks are ended, in microseconds. */
#define TICK_INTERVAL_US 1000

/** Largest request body in bytes. */
#define BODY_MAX_BYTES (4 * 1024 * 1024)

/** Timeout of the call that registers the instances, in milliseconds. */
#define REGISTER_TIMEOUT_MS 10000

struct settings
{
  char zone[RST_NAME_SIZE];
  char host[RST_NAME_SIZE];
  char control_address[RST_ADDRESS_SIZE];
  char list_address[RST_ADDRESS_SIZE];
  int64_t runner_count;
  int64_t slots;
  int64_t run_ms;
  int64_t worker_count;
  int64_t cpu_milli;
  int64_t memory_mb;
  int64_t accelerators;
  int64_t rack_size;
  int64_t usage_percent;
  int64_t usage_lag_ms;
};

static const struct rst_conf_field fields[] = {
  RST_CONF_STRING_FIELD ("availability_zone", RST_CONF_NAME, true,
                         struct settings, zone),
  RST_CONF_STRING_FIELD ("host", RST_CONF_STRING, true, struct settings, host),
  RST_CONF_STRING_FIELD ("control", RST_CONF_ADDRESS, true, struct settings,
                         control_address),
  RST_CONF_STRING_FIELD ("list.address", RST_CONF_ADDRESS, true,
                         struct settings, list_address),
  RST_CONF_INTEGER_FIELD ("runners.count", false, struct settings,
                          runner_count, 0, 1000),
  RST_CONF_INTEGER_FIELD ("runners.slots", false, struct settings, slots, 1,
                          1000),
  RST_CONF_INTEGER_FIELD ("runners.run_ms", false, struct settings, run_ms, 0,
                          60000),
  RST_CONF_INTEGER_FIELD ("workers.count", false, struct settings,
                          worker_count, 0, 1000),
  RST_CONF_INTEGER_FIELD ("workers.cpu_milli", false, struct settings,
                          cpu_milli, 1, 1000000),
  RST_CONF_INTEGER_FIELD ("workers.memory_mb", false, struct settings,
                          memory_mb, 1, 100000000),
  RST_CONF_INTEGER_FIELD ("workers.accelerators", false, struct settings,
                          accelerators, 0, 1000),
  RST_CONF_INTEGER_FIELD ("workers.rack_size", false, struct settings,
                          rack_size, 1, 1000),
  RST_CONF_INTEGER_FIELD ("workers.usage_percent", false, struct settings,
                          usage_percent, 1, 1000),
  RST_CONF_INTEGER_FIELD ("workers.usage_lag_ms", false, struct settings,
                          usage_lag_ms, 0, 600000),
};

static const struct rst_program program = {
  "standin-fleet",
  "Stands in for the runners and workers of one availability zone.",
  fields,
  G_N_ELEMENTS (fields),
  NULL,
};

enum fault
{
  FAULT_NONE,
  FAULT_FAIL,   /* queries and tasks fail */
  FAULT_SILENT, /* no request is replied to */
};

/* A query that runs in a slot of a runner. */
struct run
{
  struct rst_http_request *request;
  char *id;
  char *team;
  rst_ms ends_at;
  CK_LIST_ENTRY (run) list_entry;
};

struct task
{
  char *id;
  struct json_object *spec;
  const char *state;
  rst_ms started_at;
  rst_ms ends_at;
  rst_ms lease_expires_at;
  int64_t pace_percent;
};

struct instance
{
  char name[RST_NAME_SIZE];
  char rack[RST_NAME_SIZE];
  bool is_worker;
  enum fault fault;
  struct rst_http_server *server;
  uint64_t epoch;
  int64_t run_count;
  CK_LIST_HEAD (run_list, run) runs;
  GHashTable *tasks;
  GHashTable *tombstones; /* ids of tasks stopped before their start */
};

static struct
{
  pthread_mutex_t lock;
  struct settings settings;
  struct instance *instances;
  int instance_count;
  struct rst_http_server *server;
  GHashTable *executed_ids; /* of non-idempotent queries that ran */
  GHashTable *task_starts;  /* number of starts by JOB.INDEX */
  int64_t query_run_count;
  int64_t overcommit_count;
  int64_t duplicate_runs;
  int64_t fenced_calls;
  int64_t started_tasks;
  int64_t ended_tasks;
  atomic_bool stop_requested;
} fleet = { .lock = PTHREAD_MUTEX_INITIALIZER };

/* Counts a call from an older epoch, and records the epoch of any other. */
static bool
is_fenced (struct instance *instance, uint64_t epoch)
{
  if (epoch < instance->epoch)
    {
      fleet.fenced_calls++;
      return true;
    }
  instance->epoch = epoch;
  return false;
}

static void
record_query_run (const char *id, bool idempotent)
{
  fleet.query_run_count++;
  if (idempotent)
    return;
  if (!g_hash_table_add (fleet.executed_ids, g_strdup (id)))
    fleet.duplicate_runs++;
}

static rst_ms
get_run_time (struct rst_http_request *request)
{
  struct json_object *body
      = rst_json_parse (rst_http_request_body (request, NULL));
  rst_ms time = rst_json_get_number (body, "run_ms", fleet.settings.run_ms);

  json_object_put (body);
  return time;
}

static void
handle_query (struct instance *instance, struct rst_http_request *request)
{
  const char *epoch = rst_http_request_header (request, "X-Epoch");
  const char *id = rst_http_request_header (request, "X-Request-Id");
  const char *team = rst_http_request_header (request, "X-Team");
  const char *idempotent = rst_http_request_header (request, "X-Idempotent");
  struct run *run;

  if (epoch == NULL || id == NULL || team == NULL)
    rst_http_request_reply_json (request, 400, "{}");
  else if (is_fenced (instance, g_ascii_strtoull (epoch, NULL, 10)))
    rst_http_request_reply_json (request, 412, "{}");
  else if (instance->fault == FAULT_FAIL)
    rst_http_request_reply_json (request, 503, "{}");
  else
    {
      if (instance->run_count >= fleet.settings.slots)
        fleet.overcommit_count++;
      record_query_run (id, g_strcmp0 (idempotent, "true") == 0);
      run = g_new0 (struct run, 1);
      run->request = request;
      run->id = g_strdup (id);
      run->team = g_strdup (team);
      run->ends_at = rst_os_now () + get_run_time (request);
      instance->run_count++;
      CK_LIST_INSERT_HEAD (&instance->runs, run, list_entry);
    }
}

static void
reply_to_query (struct instance *instance, struct run *run)
{
  size_t length;
  const char *body = rst_http_request_body (run->request, &length);
  GString *text = g_string_new ("");

  g_string_append_printf (text,
                          "{\"instance\":\"%s\",\"answer\":", instance->name);
  g_string_append_len (text, length > 0 ? body : "null",
                       length > 0 ? (gssize)length : 4);
  g_string_append (text, "}");
  rst_http_request_reply (run->request, 200, NULL, text->str, text->len, 0);
  g_string_free (text, TRUE);
}

static void
finish_due_runs (struct instance *instance, rst_ms now)
{
  struct run *run = CK_LIST_FIRST (&instance->runs);

  while (run != NULL)
    {
      struct run *next = CK_LIST_NEXT (run, list_entry);

      if (now >= run->ends_at && instance->fault != FAULT_SILENT)
        {
          CK_LIST_REMOVE (run, list_entry);
          instance->run_count--;
          reply_to_query (instance, run);
          g_free (run->id);
          g_free (run->team);
          g_free (run);
        }
      run = next;
    }
}

static void
task_free (gpointer data)
{
  struct task *task = data;

  json_object_put (task->spec);
  g_free (task->id);
  g_free (task);
}

static bool
is_running (const struct task *task)
{
  return strcmp (task->state, "running") == 0;
}

static int64_t
sum_used (const struct instance *instance, const char *resource)
{
  int64_t sum = 0;
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, instance->tasks);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    if (is_running (value))
      sum += rst_json_get_number (((struct task *)value)->spec, resource, 0);
  return sum;
}

static void
count_overcommit (const struct instance *instance)
{
  if (sum_used (instance, "cpu_milli") > fleet.settings.cpu_milli
      || sum_used (instance, "memory_mb") > fleet.settings.memory_mb
      || sum_used (instance, "accelerators") > fleet.settings.accelerators)
    fleet.overcommit_count++;
}

static void
count_task_start (struct json_object *spec)
{
  char *key = g_strdup_printf ("%s.%" G_GINT64_FORMAT,
                               rst_json_get_text (spec, "job"),
                               rst_json_get_number (spec, "index", 0));
  int count = GPOINTER_TO_INT (g_hash_table_lookup (fleet.task_starts, key));

  g_hash_table_insert (fleet.task_starts, key, GINT_TO_POINTER (count + 1));
  fleet.started_tasks++;
}

static void
add_task (struct instance *instance, const char *id, struct json_object *body)
{
  struct task *task = g_new0 (struct task, 1);
  rst_ms now = rst_os_now ();
  rst_ms run_ms = rst_json_get_number (body, "run_ms", 0);

  task->id = g_strdup (id);
  task->spec = json_object_get (body);
  task->state = "running";
  task->started_at = now;
  task->ends_at = run_ms > 0 ? now + run_ms : INT64_MAX;
  task->lease_expires_at = now + rst_json_get_number (body, "lease_ms", 1000);
  task->pace_percent = 100;
  if (instance->fault == FAULT_FAIL)
    task->ends_at = now;
  g_hash_table_insert (instance->tasks, task->id, task);
  count_task_start (body);
  count_overcommit (instance);
}

static void
handle_start (struct instance *instance, struct rst_http_request *request,
              struct json_object *body)
{
  const char *id = rst_json_get_text (body, "id");

  if (id == NULL || rst_json_get_text (body, "job") == NULL)
    rst_http_request_reply_json (request, 400, "{}");
  else if (g_hash_table_contains (instance->tombstones, id))
    rst_http_request_reply_json (request, 409, "{}");
  else
    {
      if (!g_hash_table_contains (instance->tasks, id))
        add_task (instance, id, body);
      rst_http_request_reply_json (request, 200, "{}");
    }
}

/* Usage is measured with a lag: a task that has just started shows none. */
static int64_t
get_reported_usage (const struct task *task, const char *resource)
{
  rst_ms age = rst_os_now () - task->started_at;

  if (age < fleet.settings.usage_lag_ms)
    return 0;
  return rst_json_get_number (task->spec, resource, 0)
         * fleet.settings.usage_percent / 100;
}

static struct json_object *
task_to_json (const struct task *task)
{
  static const char *const texts[] = { "id", "team", "job", "owner" };
  static const char *const numbers[]
      = { "index",     "attempt",      "policy", "cpu_milli",
          "memory_mb", "accelerators", "run_ms" };
  struct json_object *item = json_object_new_object ();

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    if (rst_json_get_text (task->spec, texts[i]) != NULL)
      rst_json_set_text (item, texts[i],
                         rst_json_get_text (task->spec, texts[i]));
  for (size_t i = 0; i < G_N_ELEMENTS (numbers); i++)
    rst_json_set_number (item, numbers[i],
                         rst_json_get_number (task->spec, numbers[i], 0));
  rst_json_set_text (item, "state", task->state);
  rst_json_set_number (item, "usage_cpu_milli",
                       get_reported_usage (task, "cpu_milli"));
  rst_json_set_number (item, "usage_memory_mb",
                       get_reported_usage (task, "memory_mb"));
  return item;
}

static struct json_object *
run_to_json (const struct run *run)
{
  struct json_object *item = json_object_new_object ();

  rst_json_set_text (item, "id", run->id);
  rst_json_set_text (item, "team", run->team);
  rst_json_set_text (item, "state", "running");
  return item;
}

static void
reply_runs (struct instance *instance, struct rst_http_request *request,
            const char *only_id)
{
  struct json_object *root = json_object_new_object ();
  struct json_object *list = json_object_new_array ();
  GHashTableIter iterator;
  gpointer value;
  struct run *run;
  char *text;

  g_hash_table_iter_init (&iterator, instance->tasks);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    if (only_id == NULL || strcmp (((struct task *)value)->id, only_id) == 0)
      json_object_array_add (list, task_to_json (value));
  CK_LIST_FOREACH (run, &instance->runs, list_entry)
  json_object_array_add (list, run_to_json (run));
  json_object_object_add (root, "work", list);
  text = rst_json_format_and_release (root);
  rst_http_request_reply_json (request, 200, text);
  free (text);
}

static void
handle_renew (struct instance *instance, struct rst_http_request *request,
              struct json_object *body)
{
  struct json_object *seen = rst_json_get_array (body, "seen");
  rst_ms expiry = rst_os_now () + rst_json_get_number (body, "lease_ms", 0);
  GHashTableIter iterator;
  gpointer value;

  for (size_t i = 0; seen != NULL && i < json_object_array_length (seen); i++)
    g_hash_table_remove (
        instance->tasks,
        json_object_get_string (json_object_array_get_idx (seen, i)));
  g_hash_table_iter_init (&iterator, instance->tasks);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    ((struct task *)value)->lease_expires_at = expiry;
  reply_runs (instance, request, NULL);
}

static void
handle_stop (struct instance *instance, struct rst_http_request *request,
             struct json_object *body)
{
  const char *id = rst_json_get_text (body, "id");
  struct task *task
      = id != NULL ? g_hash_table_lookup (instance->tasks, id) : NULL;

  if (id == NULL)
    rst_http_request_reply_json (request, 400, "{}");
  else if (task == NULL)
    {
      /* A start under this id that arrives later is rejected. */
      g_hash_table_add (instance->tombstones, g_strdup (id));
      rst_http_request_reply_json (request, 404, "{}");
    }
  else
    {
      if (is_running (task))
        {
          task->state = rst_json_get_bool (body, "checkpoint", false)
                            ? "moved"
                            : "stopped";
          fleet.ended_tasks++;
        }
      reply_runs (instance, request, id);
    }
}

/* Sets a task's pace; the time that remains grows as the pace falls. */
static void
handle_throttle (struct instance *instance, struct rst_http_request *request,
                 struct json_object *body)
{
  const char *id = rst_json_get_text (body, "id");
  int64_t percent = rst_json_get_number (body, "percent", 100);
  struct task *task
      = id != NULL ? g_hash_table_lookup (instance->tasks, id) : NULL;
  rst_ms now = rst_os_now ();

  if (task == NULL || percent < 1 || percent > 100)
    {
      rst_http_request_reply_json (request, 404, "{}");
      return;
    }
  if (task->ends_at != INT64_MAX)
    task->ends_at = now + (task->ends_at - now) * task->pace_percent / percent;
  task->pace_percent = percent;
  rst_http_request_reply_json (request, 200, "{}");
}

static void
finish_due_tasks (struct instance *instance, rst_ms now)
{
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, instance->tasks);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct task *task = value;

      if (!is_running (task))
        continue;
      if (now >= task->lease_expires_at)
        {
          fleet.ended_tasks++;
          g_hash_table_iter_remove (&iterator);
        }
      else if (now >= task->ends_at)
        {
          task->state = instance->fault == FAULT_FAIL ? "failed" : "done";
          fleet.ended_tasks++;
        }
    }
}

static void
handle_command (struct instance *instance, struct rst_http_request *request)
{
  const char *path = rst_http_request_path (request);
  struct json_object *body
      = rst_json_parse (rst_http_request_body (request, NULL));
  uint64_t epoch = (uint64_t)rst_json_get_number (body, "epoch", 0);

  if (is_fenced (instance, epoch))
    rst_http_request_reply_json (request, 412, "{}");
  else if (strcmp (path, "/v1/inspect") == 0)
    reply_runs (instance, request, NULL);
  else if (strcmp (path, "/v1/tasks") == 0)
    handle_start (instance, request, body);
  else if (strcmp (path, "/v1/renew") == 0)
    handle_renew (instance, request, body);
  else if (strcmp (path, "/v1/stop") == 0)
    handle_stop (instance, request, body);
  else if (strcmp (path, "/v1/throttle") == 0)
    handle_throttle (instance, request, body);
  else
    rst_http_request_reply_json (request, 404, "{}");
  json_object_put (body);
}

static void
handle_instance_request (struct rst_http_request *request, void *userdata)
{
  struct instance *instance = userdata;

  pthread_mutex_lock (&fleet.lock);
  if (instance->fault == FAULT_SILENT)
    rst_http_request_abort (request);
  else if (strcmp (rst_http_request_path (request), "/v1/run") == 0)
    handle_query (instance, request);
  else
    handle_command (instance, request);
  pthread_mutex_unlock (&fleet.lock);
}

static void
reply_counters (struct rst_http_request *request)
{
  struct json_object *root = json_object_new_object ();
  struct json_object *starts = json_object_new_object ();
  GHashTableIter iterator;
  gpointer key;
  gpointer value;
  char *text;

  rst_json_set_number (root, "runs", fleet.query_run_count);
  rst_json_set_number (root, "overcommitted", fleet.overcommit_count);
  rst_json_set_number (root, "doubled", fleet.duplicate_runs);
  rst_json_set_number (root, "fenced", fleet.fenced_calls);
  rst_json_set_number (root, "started_tasks", fleet.started_tasks);
  rst_json_set_number (root, "ended_tasks", fleet.ended_tasks);
  g_hash_table_iter_init (&iterator, fleet.task_starts);
  while (g_hash_table_iter_next (&iterator, &key, &value))
    rst_json_set_number (starts, key, GPOINTER_TO_INT (value));
  json_object_object_add (root, "task_starts", starts);
  text = rst_json_format_and_release (root);
  rst_http_request_reply_json (request, 200, text);
  free (text);
}

/* Replies with the ids of the non-idempotent queries that ran, one a line. */
static void
reply_executed_ids (struct rst_http_request *request)
{
  GString *text = g_string_new ("");
  GHashTableIter iterator;
  gpointer key;

  g_hash_table_iter_init (&iterator, fleet.executed_ids);
  while (g_hash_table_iter_next (&iterator, &key, NULL))
    g_string_append_printf (text, "%s\n", (const char *)key);
  rst_http_request_reply (request, 200, "text/plain", text->str, text->len, 0);
  g_string_free (text, TRUE);
}

static void
set_fault (struct rst_http_request *request)
{
  const char *name = rst_http_request_query (request, "name");
  const char *mode = rst_http_request_query (request, "mode");

  for (int i = 0; i < fleet.instance_count; i++)
    if (g_strcmp0 (fleet.instances[i].name, name) == 0)
      fleet.instances[i].fault = g_strcmp0 (mode, "fail") == 0 ? FAULT_FAIL
                                 : g_strcmp0 (mode, "silent") == 0
                                     ? FAULT_SILENT
                                     : FAULT_NONE;
  rst_http_request_reply_json (request, 200, "{}");
}

static void
handle_control (struct rst_http_request *request, void *userdata)
{
  const char *path = rst_http_request_path (request);

  (void)userdata;
  pthread_mutex_lock (&fleet.lock);
  if (strcmp (path, "/account") == 0)
    reply_counters (request);
  else if (strcmp (path, "/ran") == 0)
    reply_executed_ids (request);
  else if (strcmp (path, "/faults") == 0)
    set_fault (request);
  else
    rst_http_request_reply_json (request, 404, "{}");
  pthread_mutex_unlock (&fleet.lock);
}

static void *
run_loop (void *userdata)
{
  while (!atomic_load (&fleet.stop_requested))
    {
      rst_ms now = rst_os_now ();

      pthread_mutex_lock (&fleet.lock);
      for (int i = 0; i < fleet.instance_count; i++)
        {
          finish_due_runs (&fleet.instances[i], now);
          finish_due_tasks (&fleet.instances[i], now);
        }
      pthread_mutex_unlock (&fleet.lock);
      usleep (TICK_INTERVAL_US);
    }
  return userdata;
}

static bool
start_instance (struct instance *instance, bool is_worker, int number)
{
  struct rst_http_server_config config = { 0 };
  char address[RST_ADDRESS_SIZE];

  g_snprintf (instance->name, RST_NAME_SIZE, "%s-%s%d", fleet.settings.zone,
              is_worker ? "w" : "r", number);
  g_snprintf (instance->rack, RST_NAME_SIZE, "%s-rack%d", fleet.settings.zone,
              (int)(number / fleet.settings.rack_size));
  g_snprintf (address, sizeof address, "%s:0", fleet.settings.host);
  instance->is_worker = is_worker;
  instance->tasks
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, task_free);
  instance->tombstones
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  CK_LIST_INIT (&instance->runs);
  config.address = address;
  config.max_body_bytes = BODY_MAX_BYTES;
  config.max_connections = 1024;
  config.idle_timeout_s = 60;
  config.handler = handle_instance_request;
  config.userdata = instance;
  return rst_http_server_create (&config, &instance->server)
         == RST_TRANSPORT_OK;
}

static struct json_object *
instance_to_json (const struct instance *instance)
{
  const struct settings *s = &fleet.settings;
  struct json_object *item = json_object_new_object ();

  rst_json_set_text (item, "name", instance->name);
  rst_json_set_text (item, "availability_zone", s->zone);
  rst_json_set_text (item, "rack", instance->rack);
  rst_json_set_text (item, "kind", instance->is_worker ? "worker" : "runner");
  rst_json_set_text (item, "address",
                     rst_http_server_address (instance->server));
  rst_json_set_text (item, "state", "live");
  if (instance->is_worker)
    {
      rst_json_set_number (item, "cpu_milli", s->cpu_milli);
      rst_json_set_number (item, "memory_mb", s->memory_mb);
      rst_json_set_number (item, "accelerators", s->accelerators);
    }
  else
    rst_json_set_number (item, "slots", s->slots);
  return item;
}

static bool
register_instances (void)
{
  struct json_object *list = json_object_new_array ();
  GString *response = g_string_new ("");
  char url[256];
  char *text;
  int status = 0;
  int error;

  for (int i = 0; i < fleet.instance_count; i++)
    json_object_array_add (list, instance_to_json (&fleet.instances[i]));
  text = rst_json_format_and_release (list);
  g_snprintf (url, sizeof url, "http://%s/v1/instances",
              fleet.settings.list_address);
  error = rst_http_sync_request ("POST", url, text, REGISTER_TIMEOUT_MS,
                                 &status, response);
  g_string_free (response, TRUE);
  free (text);
  return error == RST_TRANSPORT_OK && status == 200;
}

static bool
start_servers (void)
{
  struct rst_http_server_config config = { 0 };
  int runner_count = (int)fleet.settings.runner_count;
  int worker_count = (int)fleet.settings.worker_count;

  fleet.instances = g_new0 (struct instance,
                            (gsize)runner_count + (gsize)worker_count + 1);
  for (int i = 0; i < runner_count; i++)
    if (!start_instance (&fleet.instances[fleet.instance_count++], false, i))
      return false;
  for (int i = 0; i < worker_count; i++)
    if (!start_instance (&fleet.instances[fleet.instance_count++], true, i))
      return false;
  config.address = fleet.settings.control_address;
  config.max_body_bytes = BODY_MAX_BYTES;
  config.max_connections = 64;
  config.idle_timeout_s = 60;
  config.handler = handle_control;
  return rst_http_server_create (&config, &fleet.server) == RST_TRANSPORT_OK;
}

int
main (int argc, char **argv)
{
  struct settings *s = &fleet.settings;
  pthread_t thread;
  int exit_status;

  s->slots = 8;
  s->run_ms = 5;
  s->cpu_milli = 16000;
  s->memory_mb = 65536;
  s->rack_size = 8;
  s->usage_percent = 100;
  exit_status = rst_program_configure (&program, argc, argv, s);
  if (exit_status >= 0)
    return exit_status;
  rst_os_block_signals ();
  fleet.executed_ids
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  fleet.task_starts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  if (!start_servers () || pthread_create (&thread, NULL, run_loop, NULL) != 0)
    {
      fprintf (stderr, "%s: host: address cannot be used\n", program.name);
      return EXIT_FAILURE;
    }
  if (!register_instances ())
    {
      fprintf (stderr, "%s: list.address: cannot be reached\n", program.name);
      return EXIT_FAILURE;
    }
  printf ("ready http=%s\n", rst_http_server_address (fleet.server));
  fflush (stdout);
  rst_os_wait_stop_signal ();
  atomic_store (&fleet.stop_requested, true);
  pthread_join (thread, NULL);
  for (int i = 0; i < fleet.instance_count; i++)
    rst_http_server_destroy (fleet.instances[i].server);
  rst_http_server_destroy (fleet.server);
  return EXIT_SUCCESS;
}
