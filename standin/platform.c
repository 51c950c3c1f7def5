/**
 * DOC: platform - stand-in for the users' platform
 *
 * Serves the store, the advice service and a few instances that run tasks
 * under leases, all over HTTP.  The spec of a task is its run time in
 * milliseconds.  Starts that must never happen are counted: those of a task
 * that is done or runs already.
 */
#include <inttypes.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>
#include <pthread.h>

#include "network.h"
#include "platform_store.h"
#include "state/json.h"
#include "transport/transport.h"
#include "util/os.h"
#include "util/program.h"

/** Interval at which due runs and long polls are ended, in microseconds. */
#define TICK_INTERVAL_US 2000

/** Largest request body in bytes. */
#define BODY_MAX_BYTES (4 * 1024 * 1024)

/** Longest lease that an instance grants, in milliseconds. */
#define LEASE_MAX_MS 6000

struct settings
{
  char listen[RST_ADDRESS_SIZE];
  int64_t instance_count;
  int64_t zone_count;
  int64_t cpu_milli;
  int64_t memory_mb;
};

static const struct rst_conf_field fields[] = {
  RST_CONF_STRING_FIELD ("listen", RST_CONF_ADDRESS, true, struct settings,
                         listen),
  RST_CONF_INTEGER_FIELD ("instances.count", false, struct settings,
                          instance_count, 1, 100),
  RST_CONF_INTEGER_FIELD ("instances.zones", false, struct settings,
                          zone_count, 1, 9),
  RST_CONF_INTEGER_FIELD ("instances.cpu_milli", false, struct settings,
                          cpu_milli, 1, 1000000),
  RST_CONF_INTEGER_FIELD ("instances.memory_mb", false, struct settings,
                          memory_mb, 1, 10000000),
};

static const struct rst_program program = {
  "standin-platform",
  "Stands in for the users' platform: store, advice service, instances.",
  fields,
  G_N_ELEMENTS (fields),
  NULL,
};

struct run
{
  char *task;
  int64_t attempt;
  rst_ms ends_at;
  bool stopped;
};

struct ended_run
{
  int64_t number;
  char *task;
  int64_t attempt;
  const char *end_reason;
};

/* A poll that waits until a run ends. */
struct long_poll
{
  struct rst_http_request *request;
  rst_ms deadline;
};

struct instance
{
  char id[RST_NAME_SIZE];
  char zone[RST_NAME_SIZE];
  struct rst_http_server *server;
  /* Leads to the server; NULL if there is only one zone. */
  struct network_relay *relay;
  int64_t incarnation;
  int64_t fencing_token;
  int64_t lease_expires_at;
  int64_t next_end_number;
  /* Runs under way, by task. */
  GHashTable *runs;
  /* Highest attempt of each task that has ended or was stopped; a start with
     this attempt or a lower one is rejected. */
  GHashTable *highest_attempts;
  GQueue ended_runs;
  GPtrArray *long_polls;
};

static struct
{
  pthread_mutex_t lock;
  struct platform_store *store;
  GPtrArray *instances;
  /* Names of the tasks that ended as done. */
  GHashTable *done_tasks;
  int64_t done_count;
  int64_t duplicate_starts;
  int64_t advice_calls;
  atomic_bool stop_requested;
} platform = { .lock = PTHREAD_MUTEX_INITIALIZER };

static void
run_free (gpointer data)
{
  struct run *run = data;

  g_free (run->task);
  g_free (run);
}

/* Creates the members that each answer of an instance has. */
static struct json_object *
create_answer (const struct instance *instance)
{
  struct json_object *body = json_object_new_object ();

  rst_json_set_number (body, "clock_ms", rst_os_now ());
  rst_json_set_number (body, "born", instance->incarnation);
  return body;
}

/* The reasons are those of rst_platform_parse_rejection(). */
static void
reject (const struct instance *instance, struct rst_http_request *request,
        const char *reason)
{
  struct json_object *body = create_answer (instance);

  rst_json_set_text (body, "reason", reason);
  platform_store_reply (request, 409, body);
}

/* Lists the runs under way, at full progress and without usage, and the ended
   runs that the caller has not confirmed. */
static void
reply_run_lists (struct instance *instance, struct rst_http_request *request)
{
  struct json_object *body = create_answer (instance);
  struct json_object *running = json_object_new_array ();
  struct json_object *finished = json_object_new_array ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, instance->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct run *run = value;
      struct json_object *row = json_object_new_array ();

      json_object_array_add (row, json_object_new_string (run->task));
      json_object_array_add (row, json_object_new_int64 (run->attempt));
      json_object_array_add (row, json_object_new_string (""));
      json_object_array_add (row, json_object_new_int64 (100));
      json_object_array_add (row, json_object_new_int64 (0));
      json_object_array_add (running, row);
    }
  for (GList *node = instance->ended_runs.head; node != NULL;
       node = node->next)
    {
      const struct ended_run *ended_run = node->data;
      struct json_object *row = json_object_new_array ();

      json_object_array_add (row, json_object_new_int64 (ended_run->number));
      json_object_array_add (row, json_object_new_string (ended_run->task));
      json_object_array_add (row, json_object_new_int64 (ended_run->attempt));
      json_object_array_add (row,
                             json_object_new_string (ended_run->end_reason));
      json_object_array_add (row, json_object_new_string (""));
      json_object_array_add (finished, row);
    }
  json_object_object_add (body, "running", running);
  json_object_object_add (body, "finished", finished);
  platform_store_reply (request, 200, body);
}

static void
discard_ended_runs (struct instance *instance, int64_t last_seen)
{
  struct ended_run *ended_run = g_queue_peek_head (&instance->ended_runs);

  while (ended_run != NULL && ended_run->number <= last_seen)
    {
      g_queue_pop_head (&instance->ended_runs);
      g_free (ended_run->task);
      g_free (ended_run);
      ended_run = g_queue_peek_head (&instance->ended_runs);
    }
}

static void
handle_hold (struct instance *instance, struct rst_http_request *request,
             struct json_object *params)
{
  struct long_poll *long_poll;

  discard_ended_runs (instance, rst_json_get_number (params, "last_seen", 0));
  if (rst_json_get_number (params, "wait_ms", 0) == 0
      || instance->ended_runs.length > 0)
    {
      reply_run_lists (instance, request);
      return;
    }
  long_poll = g_new0 (struct long_poll, 1);
  long_poll->request = request;
  long_poll->deadline
      = rst_os_now () + rst_json_get_number (params, "wait_ms", 0);
  g_ptr_array_add (instance->long_polls, long_poll);
}

/* Counts the start if the task is done or has a run on any instance. */
static void
count_duplicate_start (const char *task)
{
  bool is_duplicate = g_hash_table_contains (platform.done_tasks, task);

  for (guint i = 0; i < platform.instances->len; i++)
    {
      const struct instance *other = g_ptr_array_index (platform.instances, i);

      is_duplicate |= g_hash_table_contains (other->runs, task);
    }
  if (is_duplicate)
    platform.duplicate_starts++;
}

static int64_t
get_highest_attempt (const struct instance *instance, const char *task)
{
  return GPOINTER_TO_INT (
      g_hash_table_lookup (instance->highest_attempts, task));
}

static void
raise_highest_attempt (struct instance *instance, const char *task,
                       int64_t attempt)
{
  if (attempt > get_highest_attempt (instance, task))
    g_hash_table_replace (instance->highest_attempts, g_strdup (task),
                          GINT_TO_POINTER ((int)attempt));
}

static void
handle_start (struct instance *instance, struct rst_http_request *request,
              struct json_object *params)
{
  const char *task = rst_json_get_text (params, "task");
  const char *spec = rst_json_get_text (params, "spec");
  int64_t attempt = rst_json_get_number (params, "attempt", 0);
  const struct run *existing = g_hash_table_lookup (instance->runs, task);
  struct run *run;

  if (existing != NULL && existing->attempt == attempt)
    {
      platform_store_reply (request, 200, create_answer (instance));
      return;
    }
  if (existing != NULL || attempt <= get_highest_attempt (instance, task))
    {
      reject (instance, request, "old");
      return;
    }
  if (instance->lease_expires_at <= rst_os_now ())
    {
      reject (instance, request, "late");
      return;
    }
  count_duplicate_start (task);
  run = g_new0 (struct run, 1);
  run->task = g_strdup (task);
  run->attempt = attempt;
  run->ends_at = rst_os_now () + (spec != NULL ? strtoll (spec, NULL, 10) : 0);
  g_hash_table_replace (instance->runs, run->task, run);
  platform_store_reply (request, 200, create_answer (instance));
}

static void
handle_stop (struct instance *instance, struct rst_http_request *request,
             struct json_object *params)
{
  const char *task = rst_json_get_text (params, "task");
  int64_t attempt = rst_json_get_number (params, "attempt", 0);
  struct run *run = g_hash_table_lookup (instance->runs, task);

  raise_highest_attempt (instance, task, attempt);
  if (run != NULL && run->attempt <= attempt)
    {
      run->stopped = true;
      run->ends_at = rst_os_now ();
    }
  platform_store_reply (request, 200, create_answer (instance));
}

static void
handle_order (struct instance *instance, struct rst_http_request *request,
              struct json_object *params)
{
  const char *path = rst_http_request_path (request);
  int64_t fencing_token = rst_json_get_number (params, "fencing_token", 0);
  int64_t lease_deadline = rst_json_get_number (params, "deadline_ms", 0);

  if (fencing_token < instance->fencing_token)
    {
      reject (instance, request, "fence");
      return;
    }
  instance->fencing_token = fencing_token;
  instance->lease_expires_at
      = MAX (instance->lease_expires_at,
             MIN (lease_deadline, rst_os_now () + LEASE_MAX_MS));
  if (strcmp (path, "/-/hold") == 0)
    handle_hold (instance, request, params);
  else if (rst_json_get_text (params, "task") == NULL)
    rst_http_request_reply_json (request, 400,
                                 "{\"error\":\"task: missing\"}");
  else if (strcmp (path, "/-/run-start") == 0)
    handle_start (instance, request, params);
  else if (strcmp (path, "/-/run-stop") == 0)
    handle_stop (instance, request, params);
  else
    rst_http_request_reply_json (request, 404, "{\"error\":\"no such call\"}");
}

static void
handle_instance_request (struct rst_http_request *request, void *userdata)
{
  struct instance *instance = userdata;
  struct json_object *params
      = rst_json_parse (rst_http_request_body (request, NULL));
  const char *expected
      = rst_http_request_header (request, "X-Rosemarystile-Expect-Instance");

  pthread_mutex_lock (&platform.lock);
  if (params == NULL)
    rst_http_request_reply_json (request, 400, "{\"error\":\"not JSON\"}");
  else if (expected != NULL && strcmp (expected, instance->id) != 0)
    rst_http_request_reply_json (request, 421,
                                 "{\"error\":\"another instance\"}");
  else
    handle_order (instance, request, params);
  pthread_mutex_unlock (&platform.lock);
  json_object_put (params);
}

static void
finish_run (struct instance *instance, struct run *run, const char *end_reason)
{
  struct ended_run *ended_run = g_new0 (struct ended_run, 1);

  ended_run->number = instance->next_end_number++;
  ended_run->task = g_strdup (run->task);
  ended_run->attempt = run->attempt;
  ended_run->end_reason = end_reason;
  g_queue_push_tail (&instance->ended_runs, ended_run);
  raise_highest_attempt (instance, run->task, run->attempt);
  if (strcmp (end_reason, "done") == 0)
    {
      g_hash_table_add (platform.done_tasks, g_strdup (run->task));
      platform.done_count++;
    }
}

static void
finish_due_runs (struct instance *instance, rst_ms now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, instance->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct run *run = value;

      if (instance->lease_expires_at <= now)
        finish_run (instance, run, "lapsed");
      else if (run->ends_at <= now)
        finish_run (instance, run, run->stopped ? "stopped" : "done");
      else
        continue;
      g_hash_table_iter_remove (&iter);
    }
}

static void
answer_long_polls (struct instance *instance, rst_ms now)
{
  for (guint i = instance->long_polls->len; i-- > 0;)
    {
      struct long_poll *long_poll
          = g_ptr_array_index (instance->long_polls, i);

      if (instance->ended_runs.length == 0 && now < long_poll->deadline)
        continue;
      reply_run_lists (instance, long_poll->request);
      g_ptr_array_remove_index_fast (instance->long_polls, i);
    }
}

static void *
run_loop (void *userdata)
{
  (void)userdata;
  while (!atomic_load (&platform.stop_requested))
    {
      rst_ms now = rst_os_now ();

      usleep (TICK_INTERVAL_US);
      pthread_mutex_lock (&platform.lock);
      for (guint i = 0; i < platform.instances->len; i++)
        {
          finish_due_runs (g_ptr_array_index (platform.instances, i), now);
          answer_long_polls (g_ptr_array_index (platform.instances, i), now);
        }
      pthread_mutex_unlock (&platform.lock);
      platform_store_expire_watches (platform.store);
    }
  return NULL;
}

/* Approves every instance that the request names. */
static void
handle_advise (struct rst_http_request *request)
{
  struct json_object *params
      = rst_json_parse (rst_http_request_body (request, NULL));
  struct json_object *workers = rst_json_get_array (params, "workers");
  struct json_object *body = json_object_new_object ();
  struct json_object *rows = json_object_new_array ();

  for (size_t i = 0; workers != NULL && i < json_object_array_length (workers);
       i++)
    {
      struct json_object *row = json_object_new_array ();

      json_object_array_add (
          row, json_object_get (json_object_array_get_idx (workers, i)));
      json_object_array_add (row, json_object_new_string ("ticket"));
      json_object_array_add (rows, row);
    }
  json_object_object_add (body, "approved", rows);
  platform_store_reply (request, 200, body);
  json_object_put (params);
  pthread_mutex_lock (&platform.lock);
  platform.advice_calls++;
  pthread_mutex_unlock (&platform.lock);
}

static void
reply_counters (struct rst_http_request *request)
{
  struct json_object *body = json_object_new_object ();

  pthread_mutex_lock (&platform.lock);
  rst_json_set_number (body, "done", platform.done_count);
  rst_json_set_number (body, "twice", platform.duplicate_starts);
  rst_json_set_number (body, "advice_calls", platform.advice_calls);
  pthread_mutex_unlock (&platform.lock);
  platform_store_reply (request, 200, body);
}

static struct instance *
find_instance (const char *id)
{
  for (guint i = 0; i < platform.instances->len; i++)
    {
      struct instance *instance = g_ptr_array_index (platform.instances, i);

      if (strcmp (instance->id, id) == 0)
        return instance;
    }
  return NULL;
}

/* Returns a query parameter, or "". */
static const char *
get_parameter (struct rst_http_request *request, const char *name)
{
  const char *value = rst_http_request_query (request, name);

  return value != NULL ? value : "";
}

static void
add_relay (struct rst_http_request *request)
{
  const struct network_relay *relay = network_add_relay (
      get_parameter (request, "zone"), get_parameter (request, "target"));
  struct json_object *body = json_object_new_object ();

  if (relay != NULL)
    rst_json_set_text (body, "address", network_relay_address (relay));
  platform_store_reply (request, relay != NULL ? 200 : 500, body);
}

/* Whether the request changed the network as it asked for. */
static bool
change_network (struct rst_http_request *request)
{
  const char *path = rst_http_request_path (request);
  bool cut = strcmp (get_parameter (request, "cut"), "1") == 0;
  const struct instance *instance
      = find_instance (get_parameter (request, "instance"));
  struct network_relay *relay
      = network_find_relay (get_parameter (request, "relay"));

  if (strcmp (path, "/network/zone") == 0)
    network_cut_zone (get_parameter (request, "zone"), cut);
  else if (strcmp (path, "/network/process") == 0)
    network_place_process (atoi (get_parameter (request, "pid")),
                           get_parameter (request, "zone"));
  else if (strcmp (path, "/network/instance") == 0 && instance != NULL
           && instance->relay != NULL)
    network_cut_relay (instance->relay, cut);
  else if (strcmp (path, "/network/target") == 0 && relay != NULL)
    network_set_target (relay, get_parameter (request, "target"));
  else
    return false;
  return true;
}

static void
handle_request (struct rst_http_request *request, void *userdata)
{
  const char *path = rst_http_request_path (request);

  (void)userdata;
  if (platform_store_handle_request (platform.store, request))
    return;
  if (strcmp (path, "/network/relay") == 0)
    {
      add_relay (request);
      return;
    }
  if (strncmp (path, "/network/", strlen ("/network/")) == 0
      && change_network (request))
    {
      rst_http_request_reply_json (request, 200, "{}");
      return;
    }
  if (strcmp (path, "/-/advise") == 0)
    handle_advise (request);
  else if (strcmp (path, "/account") == 0)
    reply_counters (request);
  else
    rst_http_request_reply_json (request, 404, "{\"error\":\"no such call\"}");
}

/* Writes the instance's entry to the store. */
static void
register_instance (const struct settings *settings,
                   const struct instance *instance)
{
  char *key = g_strdup_printf ("servers/%s", instance->id);
  char *entry = g_strdup_printf (
      "{\"service\":\"pool\",\"addr\":\"%s\",\"zone\":\"%s\","
      "\"version\":\"1\",\"slots\":8,\"state\":\"ready\",\"seq\":1,"
      "\"born\":%" PRId64 ",\"capacity\":{\"cpu\":%" PRId64
      ",\"mem_mb\":%" PRId64 ",\"gpu\":0},\"labels\":[\"a\",\"r1-1\"]}",
      instance->relay != NULL ? network_relay_address (instance->relay)
                              : rst_http_server_address (instance->server),
      instance->zone, instance->incarnation, settings->cpu_milli,
      settings->memory_mb);

  platform_store_put (platform.store, key, entry);
  g_free (key);
  g_free (entry);
}

static bool
start_instance (const struct settings *settings, int number)
{
  struct instance *instance = g_new0 (struct instance, 1);
  struct rst_http_server_config config = { 0 };

  g_snprintf (instance->id, sizeof instance->id, "i-%d", number);
  g_snprintf (instance->zone, sizeof instance->zone, "z%d",
              1 + number % (int)settings->zone_count);
  instance->incarnation = g_get_real_time () / 1000;
  instance->next_end_number = 1;
  instance->runs
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, run_free);
  instance->highest_attempts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  instance->long_polls = g_ptr_array_new_with_free_func (g_free);
  g_queue_init (&instance->ended_runs);
  config.address = "127.0.0.1:0";
  config.max_body_bytes = BODY_MAX_BYTES;
  config.max_connections = 64;
  config.idle_timeout_s = 120;
  config.handler = handle_instance_request;
  config.userdata = instance;
  if (rst_http_server_create (&config, &instance->server) != RST_TRANSPORT_OK)
    return false;
  if (settings->zone_count > 1)
    instance->relay = network_add_relay (
        instance->zone, rst_http_server_address (instance->server));
  g_ptr_array_add (platform.instances, instance);
  register_instance (settings, instance);
  return true;
}

int
main (int argc, char **argv)
{
  struct settings settings = { "", 4, 1, 4000, 16000 };
  struct rst_http_server_config config = { 0 };
  struct rst_http_server *server;
  pthread_t thread;
  bool started = true;
  int exit_status = rst_program_configure (&program, argc, argv, &settings);

  if (exit_status >= 0)
    return exit_status;
  rst_os_block_signals ();
  platform.store = platform_store_create ();
  platform.instances = g_ptr_array_new ();
  platform.done_tasks
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  config.address = settings.listen;
  config.max_body_bytes = BODY_MAX_BYTES;
  config.max_connections = 1000;
  config.idle_timeout_s = 120;
  config.handler = handle_request;
  pthread_mutex_lock (&platform.lock);
  for (int i = 0; started && i < settings.instance_count; i++)
    started = start_instance (&settings, i);
  pthread_mutex_unlock (&platform.lock);
  if (!started || rst_http_server_create (&config, &server) != RST_TRANSPORT_OK
      || pthread_create (&thread, NULL, run_loop, NULL) != 0)
    {
      fprintf (stderr, "%s: listen: address cannot be used\n", program.name);
      return EXIT_FAILURE;
    }
  printf ("ready http=%s\n", rst_http_server_address (server));
  fflush (stdout);
  rst_os_wait_stop_signal ();
  atomic_store (&platform.stop_requested, true);
  pthread_join (thread, NULL);
  rst_http_server_destroy (server);
  return EXIT_SUCCESS;
}
