/* Stand-in for one runner of the users' platform, as its page "Running tasks"
   describes it.  One process is one runner; killing the process is a crash,
   and a process that is started again with the same id is a new incarnation.

   Usage: review-runner ID ZONE POOL CPU MEM_MB STORE LOG

   The spec of a task says what its run does:
     run:MS        ends as done after MS
     fail:MS       ends as failed after MS
     last          runs until it is stopped
     save:MS:SIZE  the same as run:MS, with a new checkpoint of SIZE characters
                   each 500 ms and at a stop

   Each event is appended to LOG as a line with the Unix time in ms. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>
#include <pthread.h>

#include "state/json.h"
#include "transport/http_server.h"
#include "transport/http_sync.h"
#include "util/os.h"

#define HOLD_MAX_MS 6000
#define STOP_MS 50
#define STARTUP_MS 200
#define SAVE_INTERVAL_MS 500
#define TICK_US 2000
#define LISTED_ENDS_MAX 500

struct run
{
  char *task;
  int64_t attempt;
  char *spec;
  char *saved;
  int64_t started_at;
  int64_t saved_at;
  /* When it ends, and how. */
  int64_t ends_at;
  const char *how;
};

struct end
{
  int64_t number;
  char *task;
  int64_t attempt;
  const char *how;
  char *saved;
};

struct long_poll
{
  struct rst_http_request *request;
  int64_t until;
};

static struct
{
  pthread_mutex_t lock;
  const char *id;
  FILE *log;
  int64_t born;
  rst_ms started_at;
  int64_t fencing_token;
  int64_t lease_until;
  int64_t next_end;
  int64_t next_save;
  GHashTable *runs;
  /* Highest attempt of each task that was stopped or has ended. */
  GHashTable *highest;
  GQueue ends;
  GPtrArray *polls;
} runner = { .lock = PTHREAD_MUTEX_INITIALIZER };

/* The runner's own steady clock; it begins anew with each incarnation. */
static int64_t
get_clock (void)
{
  return rst_os_now () - runner.started_at + 1;
}

static void
note (const char *event, const char *task, int64_t attempt, const char *more)
{
  fprintf (runner.log, "%" PRId64 " %s born %" PRId64 " %s %s %" PRId64 " %s\n",
           g_get_real_time () / 1000, runner.id, runner.born, event, task,
           attempt, more);
  fflush (runner.log);
}

static void
run_free (gpointer data)
{
  struct run *run = data;

  g_free (run->task);
  g_free (run->spec);
  g_free (run->saved);
  g_free (run);
}

static struct json_object *
create_answer (void)
{
  struct json_object *body = json_object_new_object ();

  rst_json_set_number (body, "clock_ms", get_clock ());
  rst_json_set_number (body, "born", runner.born);
  return body;
}

static void
reply (struct rst_http_request *request, unsigned status,
       struct json_object *body)
{
  char *text = rst_json_format_and_release (body);

  rst_http_request_reply_json (request, status, text);
  free (text);
}

static void
reject (struct rst_http_request *request, const char *reason)
{
  struct json_object *body = create_answer ();

  rst_json_set_text (body, "reason", reason);
  reply (request, 409, body);
}

/* A token of @size characters that names no other token's state. */
static char *
create_checkpoint (int size)
{
  char *token = g_strnfill ((gsize)size, '0');
  char *serial = g_strdup_printf ("%" PRId64 "x%" PRId64, runner.born,
                                  ++runner.next_save);
  size_t length = MIN (strlen (serial), (size_t)size);

  memcpy (token + (size_t)size - length, serial + strlen (serial) - length,
          length);
  g_free (serial);
  return token;
}

static void
save (struct run *run)
{
  int size = 0;

  if (sscanf (run->spec, "save:%*d:%d", &size) != 1 || size < 1)
    return;
  g_free (run->saved);
  run->saved = create_checkpoint (size);
  run->saved_at = get_clock ();
  note ("saved", run->task, run->attempt, run->saved);
}

static int
get_percent (const struct run *run)
{
  int64_t ran = get_clock () - run->started_at;
  int64_t whole;

  if (strcmp (run->spec, "last") == 0)
    return ran >= STARTUP_MS ? 100 : 0;
  whole = MAX (run->ends_at - run->started_at, 1);
  return (int)CLAMP (ran * 100 / whole, 0, 99);
}

static struct json_object *
list_runs (void)
{
  struct json_object *body = create_answer ();
  struct json_object *running = json_object_new_array ();
  struct json_object *finished = json_object_new_array ();
  int listed = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, runner.runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct run *run = value;
      struct json_object *row = json_object_new_array ();

      json_object_array_add (row, json_object_new_string (run->task));
      json_object_array_add (row, json_object_new_int64 (run->attempt));
      json_object_array_add (row, json_object_new_string (run->saved));
      json_object_array_add (row, json_object_new_int64 (get_percent (run)));
      json_object_array_add (row, json_object_new_int64 (0));
      json_object_array_add (running, row);
    }
  for (GList *node = runner.ends.head;
       node != NULL && listed < LISTED_ENDS_MAX; node = node->next, listed++)
    {
      const struct end *end = node->data;
      struct json_object *row = json_object_new_array ();

      json_object_array_add (row, json_object_new_int64 (end->number));
      json_object_array_add (row, json_object_new_string (end->task));
      json_object_array_add (row, json_object_new_int64 (end->attempt));
      json_object_array_add (row, json_object_new_string (end->how));
      json_object_array_add (row, json_object_new_string (end->saved));
      json_object_array_add (finished, row);
    }
  json_object_object_add (body, "running", running);
  json_object_object_add (body, "finished", finished);
  return body;
}

static void
forget_ends (int64_t last_seen)
{
  struct end *end;

  while ((end = g_queue_peek_head (&runner.ends)) != NULL
         && end->number <= last_seen)
    {
      g_queue_pop_head (&runner.ends);
      note ("noted", end->task, end->attempt, end->how);
      g_free (end->task);
      g_free (end->saved);
      g_free (end);
    }
}

static void
handle_hold (struct rst_http_request *request, struct json_object *params)
{
  int64_t wait_ms = rst_json_get_number (params, "wait_ms", 0);
  struct long_poll *poll;

  forget_ends (rst_json_get_number (params, "last_seen", 0));
  if (wait_ms <= 0 || runner.ends.length > 0)
    {
      reply (request, 200, list_runs ());
      return;
    }
  poll = g_new0 (struct long_poll, 1);
  poll->request = request;
  poll->until = get_clock () + MIN (wait_ms, 2000);
  g_ptr_array_add (runner.polls, poll);
}

static int64_t
get_highest (const char *task)
{
  return GPOINTER_TO_INT (g_hash_table_lookup (runner.highest, task));
}

static void
raise_highest (const char *task, int64_t attempt)
{
  if (attempt > get_highest (task))
    g_hash_table_replace (runner.highest, g_strdup (task),
                          GINT_TO_POINTER ((int)attempt));
}

static void
handle_start (struct rst_http_request *request, struct json_object *params)
{
  const char *task = rst_json_get_text (params, "task");
  const char *spec = rst_json_get_text (params, "spec");
  const char *checkpoint = rst_json_get_text (params, "checkpoint");
  int64_t attempt = rst_json_get_number (params, "attempt", 0);
  const struct run *present = g_hash_table_lookup (runner.runs, task);
  struct json_object *told = NULL;
  struct run *run;
  long long ms = 0;

  if (present != NULL && present->attempt == attempt)
    {
      reply (request, 200, create_answer ());
      return;
    }
  if (present != NULL || attempt <= get_highest (task))
    {
      reject (request, "old");
      return;
    }
  if (runner.lease_until <= get_clock ())
    {
      reject (request, "late");
      return;
    }
  run = g_new0 (struct run, 1);
  run->task = g_strdup (task);
  run->attempt = attempt;
  run->spec = g_strdup (spec != NULL ? spec : "");
  run->saved = g_strdup (checkpoint != NULL ? checkpoint : "");
  run->started_at = get_clock ();
  run->saved_at = run->started_at;
  run->how = g_str_has_prefix (run->spec, "fail:") ? "failed" : "done";
  if (strcmp (run->spec, "last") == 0)
    run->ends_at = G_MAXINT64;
  else
    {
      (void)sscanf (run->spec, "%*[a-z]:%lld", &ms);
      run->ends_at = run->started_at + ms;
    }
  g_hash_table_replace (runner.runs, run->task, run);
  note ("start", task, attempt,
        checkpoint != NULL ? checkpoint : "(no checkpoint)");
  json_object_object_get_ex (params, "spec", &told);
  note ("told", task, attempt,
        told != NULL ? json_object_to_json_string (told) : "(no spec)");
  reply (request, 200, create_answer ());
}

static void
handle_stop (struct rst_http_request *request, struct json_object *params)
{
  const char *task = rst_json_get_text (params, "task");
  int64_t attempt = rst_json_get_number (params, "attempt", 0);
  struct run *run = g_hash_table_lookup (runner.runs, task);

  raise_highest (task, attempt);
  if (run != NULL && run->attempt <= attempt)
    {
      save (run);
      run->how = "stopped";
      run->ends_at = MIN (run->ends_at, get_clock () + STOP_MS);
    }
  reply (request, 200, create_answer ());
}

static void
handle_order (struct rst_http_request *request, struct json_object *params)
{
  const char *path = rst_http_request_path (request);
  int64_t token = rst_json_get_number (params, "fencing_token", 0);
  int64_t deadline = rst_json_get_number (params, "deadline_ms", 0);

  if (token < runner.fencing_token)
    {
      reject (request, "fence");
      return;
    }
  runner.fencing_token = token;
  runner.lease_until = MAX (runner.lease_until,
                            MIN (deadline, get_clock () + HOLD_MAX_MS));
  if (strcmp (path, "/-/hold") == 0)
    handle_hold (request, params);
  else if (rst_json_get_text (params, "task") == NULL)
    reply (request, 400, create_answer ());
  else if (strcmp (path, "/-/run-start") == 0)
    handle_start (request, params);
  else if (strcmp (path, "/-/run-stop") == 0)
    handle_stop (request, params);
  else if (strcmp (path, "/-/pace") == 0)
    reply (request, 200, create_answer ());
  else
    reply (request, 400, create_answer ());
}

static void
handle_request (struct rst_http_request *request, void *userdata)
{
  struct json_object *params
      = rst_json_parse (rst_http_request_body (request, NULL));
  const char *expected
      = rst_http_request_header (request, "X-Rosemarystile-Expect-Instance");

  (void)userdata;
  pthread_mutex_lock (&runner.lock);
  if (params == NULL)
    reply (request, 400, create_answer ());
  else if (expected != NULL && strcmp (expected, runner.id) != 0)
    reply (request, 421, create_answer ());
  else
    handle_order (request, params);
  pthread_mutex_unlock (&runner.lock);
  json_object_put (params);
}

static void
finish (struct run *run, const char *how)
{
  struct end *end = g_new0 (struct end, 1);

  end->number = runner.next_end++;
  end->task = g_strdup (run->task);
  end->attempt = run->attempt;
  end->how = how;
  end->saved = g_strdup (run->saved);
  g_queue_push_tail (&runner.ends, end);
  raise_highest (run->task, run->attempt);
  note (how, run->task, run->attempt, "");
}

static void
tick (void)
{
  int64_t clock = get_clock ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, runner.runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct run *run = value;

      if (clock >= run->saved_at + SAVE_INTERVAL_MS
          && strcmp (run->how, "stopped") != 0)
        save (run);
      if (runner.lease_until <= clock)
        finish (run, "lapsed");
      else if (run->ends_at <= clock)
        finish (run, run->how);
      else
        continue;
      g_hash_table_iter_remove (&iter);
    }
  for (guint i = runner.polls->len; i-- > 0;)
    {
      struct long_poll *poll = g_ptr_array_index (runner.polls, i);

      if (runner.ends.length == 0 && clock < poll->until)
        continue;
      reply (poll->request, 200, list_runs ());
      g_ptr_array_remove_index_fast (runner.polls, i);
    }
}

static bool
register_runner (char **argv, const char *address)
{
  char *entry = g_strdup_printf (
      "{\"service\":\"%s\",\"addr\":\"%s\",\"zone\":\"%s\",\"version\":\"1\","
      "\"slots\":8,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1,"
      "\"born\":%" PRId64 ",\"capacity\":{\"cpu\":%s,\"mem_mb\":%s,\"gpu\":0},"
      "\"labels\":[\"a\",\"r1-1\"]}",
      argv[3], address, argv[2], runner.born, argv[4], argv[5]);
  char *value = g_base64_encode ((const guchar *)entry, strlen (entry));
  char *body = g_strdup_printf ("{\"expected_rev\":[],\"writes\":[{\"key\":"
                                "\"servers/%s\",\"value\":\"%s\"}],"
                                "\"remove\":[]}",
                                runner.id, value);
  char *url = g_strdup_printf ("http://%s/-/kv-txn", argv[6]);
  GString *response = g_string_new (NULL);
  int status = 0;

  rst_http_sync_request ("POST", url, body, 3000, &status, response);
  g_string_free (response, TRUE);
  g_free (url);
  g_free (body);
  g_free (value);
  g_free (entry);
  return status == 200;
}

int
main (int argc, char **argv)
{
  struct rst_http_server_config config = { 0 };
  struct rst_http_server *server;

  if (argc != 8)
    {
      fprintf (stderr,
               "usage: review-runner ID ZONE POOL CPU MEM_MB STORE LOG\n");
      return 2;
    }
  runner.id = argv[1];
  runner.log = fopen (argv[7], "a");
  if (runner.log == NULL)
    return 2;
  runner.started_at = rst_os_now ();
  runner.born = g_get_real_time () / 1000;
  runner.next_end = 1;
  runner.runs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, run_free);
  runner.highest
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  runner.polls = g_ptr_array_new_with_free_func (g_free);
  g_queue_init (&runner.ends);
  config.address = "127.0.0.1:0";
  config.max_body_bytes = 1024 * 1024;
  config.max_connections = 64;
  config.idle_timeout_s = 120;
  config.handler = handle_request;
  if (rst_http_server_create (&config, &server) != 0
      || !register_runner (argv, rst_http_server_address (server)))
    {
      fprintf (stderr, "review-runner: cannot start\n");
      return 2;
    }
  printf ("ready http=%s\n", rst_http_server_address (server));
  fflush (stdout);
  for (;;)
    {
      usleep (TICK_US);
      pthread_mutex_lock (&runner.lock);
      tick ();
      pthread_mutex_unlock (&runner.lock);
    }
}
