/**
 * DOC: load - load generator that records the outcome of each query
 *
 * Acts as the callers and their load balancer: requests are distributed over
 * the entries round robin, and a request that was not run is retried on the
 * next entry.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <argtable2.h>
#include <glib.h>
#include <pthread.h>

#include "state/json.h"
#include "transport/http_client.h"
#include "transport/transport.h"
#include "util/conf.h"
#include "util/os.h"

#define PROGRAM "rosemarystile-load"

/** Maximum number of --entry and --key options. */
#define ENTRIES_MAX 64
#define KEYS_MAX 64

/** Maximum number of times that a request is sent. */
#define ATTEMPTS_MAX 6

/** Time after its deadline at which an unanswered request counts as lost. */
#define LOST_AFTER_MS 5000

struct load;

struct request
{
  struct load *load;
  int number;
  int attempts;
  int64_t started_us;
  bool idempotent;
};

struct load
{
  const char **entries;
  int entry_count;
  const char **keys;
  int key_count;
  int request_count;
  int concurrency;
  int rate_per_s;
  int deadline_ms;
  int run_ms;
  int idempotent_percent;
  bool request_ids;
  bool urgent;
  struct rst_http_client *client;
  pthread_mutex_t lock;
  pthread_cond_t changed;
  int started;
  int finished;
  int answered;
  int not_run;
  int unknown;
  int lost;
  int mismatched;
  int unauthorized;
  int attempts;
  int64_t *latencies_us;
  unsigned salt;
};

static void send_request (struct request *request);

static void
finish_request (struct request *request, int *counter)
{
  struct load *load = request->load;

  pthread_mutex_lock (&load->lock);
  (*counter)++;
  if (counter == &load->answered)
    load->latencies_us[load->answered - 1]
        = rst_os_now_us () - request->started_us;
  load->finished++;
  pthread_cond_broadcast (&load->changed);
  pthread_mutex_unlock (&load->lock);
  g_free (request);
}

/* Checks that a response is complete and carries the number and the salt of
   this request; any other is reported as crossed. */
static bool
is_matching_answer (const struct request *request,
                    const struct rst_http_result *result)
{
  struct json_object *root = rst_json_parse (result->body);
  struct json_object *answer = NULL;
  bool matches = false;

  if (json_object_object_get_ex (root, "answer", &answer))
    matches = rst_json_get_number (answer, "n", -1) == request->number
              && rst_json_get_number (answer, "salt", -1)
                     == (int64_t)request->load->salt;
  json_object_put (root);
  return matches;
}

static bool
is_not_run (const struct rst_http_result *result)
{
  struct json_object *root = rst_json_parse (result->body);
  bool not_run
      = g_strcmp0 (rst_json_get_text (root, "outcome"), "not-run") == 0;

  json_object_put (root);
  return not_run;
}

static void
handle_result (const struct rst_http_result *result, void *userdata)
{
  struct request *request = userdata;
  struct load *load = request->load;
  bool may_retry = request->attempts < ATTEMPTS_MAX;

  if (result->error == RST_TRANSPORT_NOT_SENT && may_retry)
    send_request (request);
  else if (result->error == RST_TRANSPORT_NOT_SENT)
    finish_request (request, &load->not_run);
  else if (result->error == RST_TRANSPORT_TIMEOUT)
    finish_request (request, &load->lost);
  else if (result->error != RST_TRANSPORT_OK)
    finish_request (request, &load->unknown);
  else if (result->status == 200)
    finish_request (request, is_matching_answer (request, result)
                                 ? &load->answered
                                 : &load->mismatched);
  else if (result->status == 401)
    finish_request (request, &load->unauthorized);
  else if (is_not_run (result) && result->status == 503 && may_retry)
    send_request (request);
  else if (is_not_run (result))
    finish_request (request, &load->not_run);
  else
    finish_request (request, &load->unknown);
}

static void
send_request (struct request *request)
{
  struct load *load = request->load;
  int entry = (request->number + request->attempts) % load->entry_count;
  struct rst_http_call call = { 0 };
  char url[128];
  char key[256];
  char deadline[64];
  char id[96];
  char body[128];
  const char *headers[7] = { 0 };
  int count = 0;

  request->attempts++;
  g_snprintf (url, sizeof url, "http://%s/v1/requests", load->entries[entry]);
  g_snprintf (key, sizeof key, "Authorization: Bearer %s",
              load->keys[request->number % load->key_count]);
  g_snprintf (deadline, sizeof deadline, "X-Deadline-Ms: %d",
              load->deadline_ms);
  g_snprintf (id, sizeof id, "Idempotency-Key: load-%u-%d", load->salt,
              request->number);
  g_snprintf (body, sizeof body, "{\"n\":%d,\"salt\":%u,\"run_ms\":%d}",
              request->number, load->salt, load->run_ms);
  headers[count++] = key;
  headers[count++] = deadline;
  headers[count++]
      = request->idempotent ? "X-Idempotent: true" : "X-Idempotent: false";
  headers[count++] = load->urgent ? "X-Urgency: urgent" : "X-Urgency: normal";
  if (load->request_ids)
    headers[count++] = id;
  call.method = "POST";
  call.url = url;
  call.headers = headers;
  call.body = body;
  call.length = strlen (body);
  call.timeout_ms = load->deadline_ms + LOST_AFTER_MS;
  call.new_connection = !request->idempotent && !load->request_ids;
  call.done = handle_result;
  call.userdata = request;
  if (rst_http_client_send (load->client, &call) != RST_TRANSPORT_OK)
    finish_request (request, &load->not_run);
}

static struct request *
create_request (struct load *load)
{
  struct request *request = g_new0 (struct request, 1);

  request->load = load;
  request->number = load->started++;
  request->idempotent = request->number % 100 < load->idempotent_percent;
  request->started_us = rst_os_now_us ();
  return request;
}

/* Waits until the next request may be sent, at a fixed rate if one is set and
   with a bounded number of requests in flight otherwise. */
static void
wait_for_turn (struct load *load, int64_t started_us)
{
  if (load->rate_per_s > 0)
    {
      int64_t due_us
          = started_us + (int64_t)load->started * 1000000 / load->rate_per_s;
      int64_t wait_us = due_us - rst_os_now_us ();

      if (wait_us > 0)
        g_usleep ((gulong)wait_us);
      return;
    }
  pthread_mutex_lock (&load->lock);
  while (load->started - load->finished >= load->concurrency)
    pthread_cond_wait (&load->changed, &load->lock);
  pthread_mutex_unlock (&load->lock);
}

static void
send_all_requests (struct load *load)
{
  int64_t started_us = rst_os_now_us ();

  while (load->started < load->request_count)
    {
      wait_for_turn (load, started_us);
      send_request (create_request (load));
    }
  pthread_mutex_lock (&load->lock);
  while (load->finished < load->request_count)
    pthread_cond_wait (&load->changed, &load->lock);
  pthread_mutex_unlock (&load->lock);
}

static int
compare_latencies (const void *a, const void *b)
{
  int64_t x = *(const int64_t *)a;
  int64_t y = *(const int64_t *)b;

  return x < y ? -1 : x > y;
}

static double
percentile_ms (const struct load *load, double fraction)
{
  int index;

  if (load->answered == 0)
    return 0;
  index = (int)ceil (fraction * load->answered) - 1;
  return (double)load->latencies_us[MAX (index, 0)] / 1000;
}

static void
print_summary (const struct load *load, double seconds)
{
  printf ("{\"requests\":%d,\"answered\":%d,\"not_run\":%d,\"unknown\":%d,"
          "\"unauthorized\":%d,\"lost\":%d,\"crossed\":%d,"
          "\"seconds\":%.3f,\"rate\":%.1f,\"p50_ms\":%.2f,\"p90_ms\":%.2f,"
          "\"p99_ms\":%.2f,\"max_ms\":%.2f,\"run_ms\":%d}\n",
          load->request_count, load->answered, load->not_run, load->unknown,
          load->unauthorized, load->lost, load->mismatched, seconds,
          load->request_count / seconds, percentile_ms (load, 0.5),
          percentile_ms (load, 0.9), percentile_ms (load, 0.99),
          percentile_ms (load, 1.0), load->run_ms);
}

static bool
check_options (const struct load *load)
{
  for (int i = 0; i < load->entry_count; i++)
    if (!rst_conf_is_address (load->entries[i]))
      {
        fprintf (stderr, PROGRAM ": --entry: must be an address IP:PORT\n");
        return false;
      }
  if (load->request_count < 1 || load->concurrency < 1
      || load->deadline_ms < 1)
    {
      fprintf (stderr, PROGRAM ": --requests, --concurrency, --deadline-ms: "
                               "must be at least 1\n");
      return false;
    }
  return true;
}

static int
run_load (struct load *load)
{
  int64_t started_us;

  load->client = rst_http_client_create (load->concurrency + 64, 0);
  if (load->client == NULL)
    return EXIT_FAILURE;
  pthread_mutex_init (&load->lock, NULL);
  pthread_cond_init (&load->changed, NULL);
  load->latencies_us = g_new0 (int64_t, load->request_count);
  load->salt = (unsigned)(rst_os_random () & 0x7fffffff);
  started_us = rst_os_now_us ();
  send_all_requests (load);
  rst_http_client_destroy (load->client);
  qsort (load->latencies_us, (size_t)load->answered, sizeof (int64_t),
         compare_latencies);
  print_summary (load, (double)(rst_os_now_us () - started_us) / 1e6);
  g_free (load->latencies_us);
  return load->lost == 0 && load->mismatched == 0 ? EXIT_SUCCESS
                                                  : EXIT_FAILURE;
}

static int
value_or_default (const struct arg_int *argument, int default_value)
{
  return argument->count > 0 ? argument->ival[0] : default_value;
}

int
main (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 ("h", "help", "show this help");
  struct arg_lit *version = arg_lit0 (NULL, "version", "show the version");
  struct arg_str *entries = arg_strn (NULL, "entry", "IP:PORT", 0, ENTRIES_MAX,
                                      "address of an entry; repeatable");
  struct arg_str *keys = arg_strn (NULL, "key", "KEY", 0, KEYS_MAX,
                                   "API key of a team; repeatable");
  struct arg_int *requests
      = arg_int0 (NULL, "requests", "N", "number of requests to send (1000)");
  struct arg_int *concurrency
      = arg_int0 (NULL, "concurrency", "N",
                  "requests in flight, unless --rate is set (32)");
  struct arg_int *rate_per_s = arg_int0 (
      NULL, "rate", "N", "requests per second, whether answered or not");
  struct arg_int *deadline = arg_int0 (NULL, "deadline-ms", "N",
                                       "deadline of each request (10000)");
  struct arg_int *run_ms = arg_int0 (
      NULL, "run-ms", "N", "run time of each request on the runner (5)");
  struct arg_int *idempotent
      = arg_int0 (NULL, "idempotent-percent", "N",
                  "percentage of requests marked idempotent (0)");
  struct arg_lit *request_ids = arg_lit0 (
      NULL, "request-ids", "send an Idempotency-Key with each request");
  struct arg_lit *urgent
      = arg_lit0 (NULL, "urgent", "mark all requests as urgent");
  struct arg_end *end = arg_end (4);
  void *table[] = { help,        version,    entries,  keys,   requests,
                    concurrency, rate_per_s, deadline, run_ms, idempotent,
                    request_ids, urgent,     end };
  struct load load = { 0 };
  int errors = arg_parse (argc, argv, table);
  int status;

  load.entries = entries->sval;
  load.entry_count = entries->count;
  load.keys = keys->sval;
  load.key_count = keys->count;
  load.request_count = value_or_default (requests, 1000);
  load.concurrency = value_or_default (concurrency, 32);
  load.rate_per_s = value_or_default (rate_per_s, 0);
  load.deadline_ms = value_or_default (deadline, 10000);
  load.run_ms = value_or_default (run_ms, 5);
  load.idempotent_percent = value_or_default (idempotent, 0);
  load.request_ids = request_ids->count > 0;
  load.urgent = urgent->count > 0;
  if (help->count > 0)
    {
      printf ("Usage: " PROGRAM);
      arg_print_syntax (stdout, table, "\n");
      printf ("Sends queries and prints counts of their outcomes as one "
              "line of JSON.\n");
      arg_print_glossary (stdout, table, "  %-28s %s\n");
      status = EXIT_SUCCESS;
    }
  else if (version->count > 0)
    {
      printf (PROGRAM " " RST_VERSION "\n");
      status = EXIT_SUCCESS;
    }
  else if (errors > 0 || load.entry_count == 0 || load.key_count == 0)
    {
      arg_print_errors (stderr, end, PROGRAM);
      if (errors == 0)
        fprintf (stderr, PROGRAM ": --entry and --key: are missing\n");
      status = 2;
    }
  else if (!check_options (&load))
    status = 2;
  else
    {
      rst_os_block_signals ();
      status = run_load (&load);
    }
  arg_freetable (table, G_N_ELEMENTS (table));
  return status;
}
