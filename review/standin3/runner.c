/*
 * runner - stand-in for one runner of the users' platform (PROTOCOL.md,
 * "Running tasks" and "Service discovery").
 *
 *   review-runner ID STORE PORT SERVICE LABEL CPU RECORD HEARTBEAT_MS
 *
 * PORT 0 lets the kernel choose.  Prints "ready http=IP:PORT".  It is one life
 * of a runner: a test that lets it crash kills the process and starts another
 * one with the same ID and PORT.  It keeps leases, fencing tokens, attempts
 * and ends as the page says, and appends what it did to RECORD, a line an
 * event:
 *
 *   UNIX_MS ID start|end TASK ATTEMPT [HOW]
 *
 * The spec of a task is "MS" or "MS fail": how long it works, and whether it
 * then fails.  It writes its entry at its start and every HEARTBEAT_MS.
 */
#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "state/json.h"
#include "transport/http_server.h"
#include "transport/http_sync.h"
#include "transport/transport.h"
#include "util/os.h"

#define LEASE_MAX_MS 6000
#define LISTED_ENDS_MAX 500
#define TICK_US 2000

struct run
{
  char *task;
  int64_t attempt;
  int64_t began_at;
  int64_t work_ms;
  bool fails;
  bool stopped;
};

struct ended
{
  int64_t number;
  char *task;
  int64_t attempt;
  const char *how;
};

struct poll
{
  struct rst_http_request *request;
  int64_t deadline;
};

static struct
{
  pthread_mutex_t lock;
  const char *id;
  const char *store;
  const char *service;
  const char *label;
  const char *record_path;
  int64_t cpu;
  int64_t heartbeat_ms;
  int64_t born;
  /* Start of its own steady clock. */
  int64_t clock_base;
  int64_t token;
  int64_t lease_until;
  int64_t next_end;
  int64_t seq;
  char address[64];
  GHashTable *runs;
  /* Highest attempt of a task that was stopped or has ended here. */
  GHashTable *highest;
  GQueue ends;
  GPtrArray *polls;
  FILE *record;
} me = { .lock = PTHREAD_MUTEX_INITIALIZER, .next_end = 1 };

static int64_t
unix_ms (void)
{
  return g_get_real_time () / 1000;
}

static int64_t
clock_ms (void)
{
  return rst_os_now () - me.clock_base;
}

static void
note (const char *event, const struct run *run, const char *how)
{
  fprintf (me.record, "%" PRId64 " %s %s %s %" PRId64 " %s\n", unix_ms (),
           me.id, event, run->task, run->attempt, how);
  fflush (me.record);
}

static void
run_free (gpointer data)
{
  struct run *run = data;

  g_free (run->task);
  g_free (run);
}

static void
reply (struct rst_http_request *request, unsigned status,
       struct json_object *body)
{
  rst_http_request_reply_json (request, status,
                               json_object_to_json_string (body));
  json_object_put (body);
}

static struct json_object *
answer (void)
{
  struct json_object *body = json_object_new_object ();

  json_object_object_add (body, "clock_ms", json_object_new_int64 (clock_ms ()));
  json_object_object_add (body, "born", json_object_new_int64 (me.born));
  return body;
}

static void
reject (struct rst_http_request *request, const char *reason)
{
  struct json_object *body = answer ();

  json_object_object_add (body, "reason", json_object_new_string (reason));
  reply (request, 409, body);
}

static struct json_object *
row_of (const char *task, int64_t attempt)
{
  struct json_object *row = json_object_new_array ();

  json_object_array_add (row, json_object_new_string (task));
  json_object_array_add (row, json_object_new_int64 (attempt));
  return row;
}

static void
reply_lists (struct rst_http_request *request)
{
  struct json_object *body = answer ();
  struct json_object *running = json_object_new_array ();
  struct json_object *finished = json_object_new_array ();
  GHashTableIter iter;
  gpointer value;
  int listed = 0;

  g_hash_table_iter_init (&iter, me.runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct run *run = value;
      struct json_object *row = row_of (run->task, run->attempt);
      int64_t percent
          = 100 * (clock_ms () - run->began_at) / MAX (run->work_ms, 1);

      json_object_array_add (row, json_object_new_string (""));
      json_object_array_add (row,
                             json_object_new_int64 (CLAMP (percent, 0, 99)));
      json_object_array_add (row, json_object_new_int64 (100));
      json_object_array_add (running, row);
    }
  for (GList *node = me.ends.head; node != NULL && listed < LISTED_ENDS_MAX;
       node = node->next, listed++)
    {
      const struct ended *end = node->data;
      struct json_object *row = json_object_new_array ();

      json_object_array_add (row, json_object_new_int64 (end->number));
      json_object_array_add (row, json_object_new_string (end->task));
      json_object_array_add (row, json_object_new_int64 (end->attempt));
      json_object_array_add (row, json_object_new_string (end->how));
      json_object_array_add (row, json_object_new_string (""));
      json_object_array_add (finished, row);
    }
  json_object_object_add (body, "running", running);
  json_object_object_add (body, "finished", finished);
  reply (request, 200, body);
}

static void
hold (struct rst_http_request *request, struct json_object *params)
{
  int64_t seen = rst_json_get_number (params, "last_seen", 0);
  int64_t wait_ms = rst_json_get_number (params, "wait_ms", 0);
  struct ended *end = g_queue_peek_head (&me.ends);
  struct poll *poll;

  while (end != NULL && end->number <= seen)
    {
      g_queue_pop_head (&me.ends);
      g_free (end->task);
      g_free (end);
      end = g_queue_peek_head (&me.ends);
    }
  if (wait_ms == 0 || me.ends.length > 0)
    {
      reply_lists (request);
      return;
    }
  poll = g_new0 (struct poll, 1);
  poll->request = request;
  poll->deadline = clock_ms () + MIN (wait_ms, 2000);
  g_ptr_array_add (me.polls, poll);
}

static int64_t
get_highest (const char *task)
{
  return GPOINTER_TO_INT (g_hash_table_lookup (me.highest, task));
}

static void
raise_highest (const char *task, int64_t attempt)
{
  if (attempt > get_highest (task))
    g_hash_table_replace (me.highest, g_strdup (task),
                          GINT_TO_POINTER ((int)attempt));
}

static void
start (struct rst_http_request *request, struct json_object *params)
{
  const char *task = rst_json_get_text (params, "task");
  const char *spec = rst_json_get_text (params, "spec");
  int64_t attempt = rst_json_get_number (params, "attempt", 0);
  const struct run *existing = g_hash_table_lookup (me.runs, task);
  struct run *run;

  if (existing != NULL && existing->attempt == attempt)
    {
      reply (request, 200, answer ());
      return;
    }
  if (existing != NULL || attempt <= get_highest (task))
    {
      reject (request, "old");
      return;
    }
  if (me.lease_until <= clock_ms ())
    {
      reject (request, "late");
      return;
    }
  run = g_new0 (struct run, 1);
  run->task = g_strdup (task);
  run->attempt = attempt;
  run->began_at = clock_ms ();
  run->work_ms = spec != NULL ? strtoll (spec, NULL, 10) : 0;
  run->fails = spec != NULL && strstr (spec, "fail") != NULL;
  g_hash_table_replace (me.runs, run->task, run);
  note ("start", run, "-");
  reply (request, 200, answer ());
}

static void
stop (struct rst_http_request *request, struct json_object *params)
{
  const char *task = rst_json_get_text (params, "task");
  int64_t attempt = rst_json_get_number (params, "attempt", 0);
  struct run *run = g_hash_table_lookup (me.runs, task);

  raise_highest (task, attempt);
  if (run != NULL && run->attempt <= attempt)
    run->stopped = true;
  reply (request, 200, answer ());
}

static void
order (struct rst_http_request *request, struct json_object *params)
{
  const char *path = rst_http_request_path (request);
  int64_t token = rst_json_get_number (params, "fencing_token", 0);
  int64_t deadline = rst_json_get_number (params, "deadline_ms", 0);

  if (token < me.token)
    {
      reject (request, "fence");
      return;
    }
  me.token = token;
  me.lease_until
      = MAX (me.lease_until, MIN (deadline, clock_ms () + LEASE_MAX_MS));
  if (strcmp (path, "/-/hold") == 0)
    hold (request, params);
  else if (rst_json_get_text (params, "task") == NULL)
    rst_http_request_reply_json (request, 400, "{}");
  else if (strcmp (path, "/-/run-start") == 0)
    start (request, params);
  else if (strcmp (path, "/-/run-stop") == 0)
    stop (request, params);
  else if (strcmp (path, "/-/pace") == 0)
    reply (request, 200, answer ());
  else
    rst_http_request_reply_json (request, 404, "{}");
}

static void
handle (struct rst_http_request *request, void *userdata)
{
  struct json_object *params
      = rst_json_parse (rst_http_request_body (request, NULL));
  const char *expected
      = rst_http_request_header (request, "X-Rosemarystile-Expect-Instance");

  (void)userdata;
  pthread_mutex_lock (&me.lock);
  if (params == NULL)
    rst_http_request_reply_json (request, 400, "{}");
  else if (expected != NULL && strcmp (expected, me.id) != 0)
    rst_http_request_reply_json (request, 421, "{}");
  else
    order (request, params);
  pthread_mutex_unlock (&me.lock);
  json_object_put (params);
}

static void
end_run (const struct run *run, const char *how)
{
  struct ended *end = g_new0 (struct ended, 1);

  end->number = me.next_end++;
  end->task = g_strdup (run->task);
  end->attempt = run->attempt;
  end->how = how;
  g_queue_push_tail (&me.ends, end);
  raise_highest (run->task, run->attempt);
  note ("end", run, how);
}

static void
tick (void)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, me.runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct run *run = value;

      if (me.lease_until <= clock_ms ())
        end_run (run, "lapsed");
      else if (run->stopped)
        end_run (run, "stopped");
      else if (clock_ms () - run->began_at >= run->work_ms)
        end_run (run, run->fails ? "failed" : "done");
      else
        continue;
      g_hash_table_iter_remove (&iter);
    }
  for (guint i = me.polls->len; i-- > 0;)
    {
      struct poll *poll = g_ptr_array_index (me.polls, i);

      if (me.ends.length == 0 && clock_ms () < poll->deadline)
        continue;
      reply_lists (poll->request);
      g_ptr_array_remove_index_fast (me.polls, i);
    }
}

static void *
run_ticks (void *userdata)
{
  (void)userdata;
  for (;;)
    {
      usleep (TICK_US);
      pthread_mutex_lock (&me.lock);
      tick ();
      pthread_mutex_unlock (&me.lock);
    }
  return NULL;
}

static void
write_entry (void)
{
  char *entry = g_strdup_printf (
      "{\"service\":\"%s\",\"addr\":\"%s\",\"zone\":\"z1\",\"version\":\"1\","
      "\"slots\":8,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":%" PRId64
      ",\"born\":%" PRId64 ",\"capacity\":{\"cpu\":%" PRId64
      ",\"mem_mb\":65536,\"gpu\":0},\"labels\":[\"%s\",\"r1-1\"]}",
      me.service, me.address, ++me.seq, me.born, me.cpu, me.label);
  char *value = g_base64_encode ((const guchar *)entry, strlen (entry));
  char *body = g_strdup_printf ("{\"expected_rev\":[],\"writes\":[{\"key\":"
                                "\"servers/%s\",\"value\":\"%s\"}],"
                                "\"remove\":[]}",
                                me.id, value);
  char *url = g_strdup_printf ("http://%s/-/kv-txn", me.store);
  GString *response = g_string_new (NULL);
  int status;

  rst_http_sync_request ("POST", url, body, 2000, &status, response);
  g_string_free (response, TRUE);
  g_free (url);
  g_free (body);
  g_free (value);
  g_free (entry);
}

int
main (int argc, char **argv)
{
  struct rst_http_server_config config = { 0 };
  struct rst_http_server *server;
  char listen[64];
  pthread_t thread;

  if (argc != 9)
    {
      fprintf (stderr, "usage: %s ID STORE PORT SERVICE LABEL CPU RECORD "
                       "HEARTBEAT_MS\n",
               argv[0]);
      return 2;
    }
  rst_os_block_signals ();
  me.id = argv[1];
  me.store = argv[2];
  me.service = argv[4];
  me.label = argv[5];
  me.cpu = atoll (argv[6]);
  me.record = fopen (argv[7], "a");
  me.heartbeat_ms = atoll (argv[8]);
  me.born = unix_ms ();
  me.clock_base = rst_os_now () - 1;
  me.runs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, run_free);
  me.highest
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  me.polls = g_ptr_array_new_with_free_func (g_free);
  g_queue_init (&me.ends);
  g_snprintf (listen, sizeof listen, "127.0.0.1:%s", argv[3]);
  config.address = listen;
  config.max_body_bytes = 4 * 1024 * 1024;
  config.max_connections = 64;
  config.idle_timeout_s = 120;
  config.handler = handle;
  if (me.record == NULL
      || rst_http_server_create (&config, &server) != RST_TRANSPORT_OK)
    {
      fprintf (stderr, "%s: can't start on %s\n", argv[0], listen);
      return 2;
    }
  g_strlcpy (me.address, rst_http_server_address (server), sizeof me.address);
  pthread_create (&thread, NULL, run_ticks, NULL);
  write_entry ();
  printf ("ready http=%s\n", me.address);
  fflush (stdout);
  for (;;)
    {
      usleep ((useconds_t)me.heartbeat_ms * 1000);
      write_entry ();
    }
}
