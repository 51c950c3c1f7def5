/**
 * DOC: entryd - the entry daemon
 *
 * Serves callers over HTTP.  The main thread runs an entry, which routes
 * requests to schedulers.  libmicrohttpd's thread reads requests and the
 * network thread carries links; both post events to the main thread's
 * mailbox.
 */
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <pthread.h>
#include <sodium.h>

#include "coordination/entry.h"
#include "daemon/limit_settings.h"
#include "daemon/link.h"
#include "daemon/metrics.h"
#include "transport/http_server.h"
#include "transport/net.h"
#include "transport/transport.h"
#include "util/mailbox.h"
#include "util/os.h"
#include "util/program.h"

#define LOG_DOMAIN "entryd"

/** Maximum number of events in the mailbox. */
#define MAILBOX_SIZE 65536

/** Time between two calls of rst_entry_tick(), in milliseconds. */
#define TICK_INTERVAL_MS 20

/** Maximum number of events handled before the next tick is considered. */
#define EVENTS_PER_TICK_MAX 512

/** Longest time that a planned stop waits for pending requests, in
    milliseconds. */
#define DRAIN_TIMEOUT_MS 20000

/** Shortest duration of a planned stop, in milliseconds.  The entry still
    serves callers but reports that it is not ready. */
#define STOP_LINGER_MS 300

/** Copies of a body beside the request's own that exist until the answer: in
    the entry's pending request, and in a frame that is encoded or waits to be
    sent. */
#define BODY_COPIES 2

struct settings
{
  char name[RST_NAME_SIZE];
  char zone[RST_NAME_SIZE];
  char listen[RST_ADDRESS_SIZE];
  struct json_object *schedulers;
  struct rst_body_limits limits;
  int64_t max_connections_per_ip;
  int64_t max_pending;
  int64_t idle_timeout_s;
  char log_format[8];
  char log_level[16];
};

static const char *const log_formats[] = { "plain", "json", NULL };
static const char *const log_levels[]
    = { "error", "warning", "info", "debug", NULL };

#define TEXT(path, type, required, member)                                    \
  RST_CONF_STRING_FIELD (path, type, required, struct settings, member)
#define INT(path, member, min, max)                                           \
  RST_CONF_INTEGER_FIELD (path, false, struct settings, member, min, max)

static const struct rst_conf_field fields[] = {
  TEXT ("name", RST_CONF_NAME, true, name),
  TEXT ("availability_zone", RST_CONF_NAME, true, zone),
  TEXT ("listen", RST_CONF_ADDRESS, true, listen),
  { "schedulers", RST_CONF_LIST, true, offsetof (struct settings, schedulers),
    0, 0, 0, NULL },
  INT ("limits.body_bytes", limits.body_bytes, 1, 1048576),
  INT ("limits.connections", limits.connections, 1, 100000),
  RST_LIMIT_FIELDS (struct settings),
  INT ("limits.connections_per_ip", max_connections_per_ip, 0, 100000),
  INT ("limits.pending", max_pending, 1, 1000000),
  INT ("limits.idle_s", idle_timeout_s, 1, 3600),
  { "log.format", RST_CONF_CHOICE, false,
    offsetof (struct settings, log_format), 8, 0, 0, log_formats },
  { "log.level", RST_CONF_CHOICE, false, offsetof (struct settings, log_level),
    16, 0, 0, log_levels },
};

static bool
check_settings (const void *target, GString *problems)
{
  const struct settings *settings = target;
  size_t count = json_object_array_length (settings->schedulers);
  bool valid = rst_body_limits_check (&settings->limits, problems);

  if (count == 0)
    {
      g_string_append (problems, "schedulers: must not be empty\n");
      return false;
    }
  for (size_t i = 0; i < count; i++)
    {
      const char *address = json_object_get_string (
          json_object_array_get_idx (settings->schedulers, i));

      if (address != NULL && rst_conf_is_address (address))
        continue;
      g_string_append_printf (
          problems, "schedulers[%zu]: must be an address IP:PORT\n", i);
      valid = false;
    }
  return valid;
}

static const struct rst_program program = {
  "rosemarystile-entryd",
  "Takes callers' requests and routes them to the schedulers.",
  fields,
  G_N_ELEMENTS (fields),
  check_settings,
};

struct daemon
{
  struct settings settings;
  struct rst_mailbox *mailbox;
  struct rst_link_net link;
  struct rst_http_server *server;
  struct rst_shared_budget *budget;
  struct rst_entry *entry;
  pthread_t signal_thread;
  atomic_bool stop_requested;
  rst_ms next_tick;
  rst_ms stop_began_at;
};

static void
set_defaults (struct settings *settings)
{
  memset (settings, 0, sizeof *settings);
  settings->limits.body_bytes = 1048576;
  settings->limits.connections = 4096;
  settings->max_connections_per_ip = 0;
  settings->max_pending = 4096;
  settings->idle_timeout_s = 60;
  g_strlcpy (settings->log_format, "plain", sizeof settings->log_format);
  g_strlcpy (settings->log_level, "info", sizeof settings->log_level);
}

/* ---- Requests ----------------------------------------------------------- */

static char *
format_metrics_page (struct daemon *daemon)
{
  const struct rst_entry_counters *counters
      = rst_entry_get_counters (daemon->entry);
  GString *page = g_string_new ("");
  struct rst_body_stats limits;

  rst_metrics_add_counter (page, "requests_total", "Requests taken.",
                           counters->requests);
  rst_metrics_add_counter (page, "answered_total", "Requests answered.",
                           counters->answered);
  rst_metrics_add_counter (page, "not_run_total", "Requests not run.",
                           counters->not_run);
  rst_metrics_add_counter (page, "unknown_total",
                           "Requests whose outcome is unknown.",
                           counters->unknown);
  rst_metrics_add_counter (page, "unauthorized_total",
                           "Requests without a valid key.",
                           counters->unauthorized);
  rst_metrics_add_counter (page, "retries_total", "Further attempts.",
                           counters->retries);
  rst_metrics_add_gauge (page, "pending", "Requests that wait for an answer.",
                         (double)rst_entry_count_pending (daemon->entry));
  rst_metrics_add_gauge (page, "ready", "Whether it can serve callers.",
                         rst_entry_is_ready (daemon->entry));
  rst_shared_budget_read_stats (daemon->budget, &limits);
  rst_metrics_add_limits (page, &limits);
  rst_metrics_add_process (page);
  return g_string_free (page, FALSE);
}

/* Replies to requests for pages that need no key.  Returns false for other
   paths. */
static bool
serve_page (struct daemon *daemon, struct rst_http_request *http)
{
  const char *path = rst_http_request_path (http);
  bool ready = rst_entry_is_ready (daemon->entry);
  char *text;

  if (strcmp (path, "/livez") == 0)
    rst_http_request_reply_json (http, 200, "{\"live\":true}\n");
  else if (strcmp (path, "/readyz") == 0)
    rst_http_request_reply_json (http, ready ? 200 : 503,
                                 ready ? "{\"ready\":true}\n"
                                       : "{\"ready\":false}\n");
  else if (strcmp (path, "/status") == 0)
    {
      text = rst_entry_format_status (daemon->entry);
      rst_http_request_reply_json (http, 200, text);
      free (text);
    }
  else if (strcmp (path, "/metrics") == 0)
    {
      text = format_metrics_page (daemon);
      rst_http_request_reply (http, 200, "text/plain; version=0.0.4", text,
                              strlen (text), 0);
      g_free (text);
    }
  else
    return false;
  return true;
}

static void
send_reply (void *handle, const struct rst_entry_reply *reply)
{
  rst_http_request_reply (handle, reply->status, NULL, reply->body,
                          reply->length, reply->retry_after_s);
}

/* Reads the operation from method and path.  Returns false for an unknown
   path. */
static bool
read_operation (struct rst_http_request *http,
                struct rst_entry_request *request)
{
  const char *path = rst_http_request_path (http);
  const char *method = rst_http_request_method (http);
  bool is_post = strcmp (method, "POST") == 0;
  bool is_get = strcmp (method, "GET") == 0;

  if (is_post && strcmp (path, "/v1/requests") == 0)
    request->operation = 0;
  else if (is_post && strcmp (path, "/v1/jobs") == 0)
    request->operation = RST_JOB_SUBMIT;
  else if (is_get && strcmp (path, "/v1/jobs") == 0)
    request->operation = RST_JOB_LIST;
  else if (g_str_has_prefix (path, "/v1/jobs/") && is_get)
    request->operation = RST_JOB_GET;
  else if (g_str_has_prefix (path, "/v1/jobs/")
           && strcmp (method, "DELETE") == 0)
    request->operation = RST_JOB_CANCEL;
  else
    return false;
  if (g_str_has_prefix (path, "/v1/jobs/"))
    request->job = path + strlen ("/v1/jobs/");
  return true;
}

static void
handle_request (struct daemon *daemon, struct rst_http_request *http)
{
  struct rst_entry_request request = { 0 };

  if (serve_page (daemon, http))
    return;
  if (!read_operation (http, &request))
    {
      rst_http_request_reply_json (
          http, 404,
          "{\"outcome\":\"not-run\",\"reason\":"
          "\"unknown-path\",\"detail\":\"path: no such "
          "call\"}\n");
      return;
    }
  request.key = rst_http_request_header (http, "Authorization");
  request.request_id = rst_http_request_header (http, "Idempotency-Key");
  request.idempotent = rst_http_request_header (http, "X-Idempotent");
  request.deadline_ms = rst_http_request_header (http, "X-Deadline-Ms");
  request.urgency = rst_http_request_header (http, "X-Urgency");
  request.state = rst_http_request_query (http, "state");
  request.body = rst_http_request_body (http, &request.length);
  if (!rst_http_request_hold (http, BODY_COPIES * request.length))
    {
      rst_http_request_reply_no_room (http);
      return;
    }
  rst_entry_handle_request (daemon->entry, http, &request);
}

/* ---- Events ------------------------------------------------------------- */

static void
on_request (struct rst_http_request *request, void *userdata)
{
  struct daemon *daemon = userdata;
  struct rst_event *event = g_new0 (struct rst_event, 1);

  event->kind = RST_EVENT_HTTP_REQUEST;
  event->request = request;
  rst_event_post (daemon->mailbox, event);
}

static void
handle_event (struct daemon *daemon, struct rst_event *event)
{
  switch (event->kind)
    {
    case RST_EVENT_LINK_OPENED:
      rst_entry_handle_link_opened (daemon->entry, event->link);
      break;
    case RST_EVENT_LINK_CLOSED:
      rst_entry_handle_link_closed (daemon->entry, event->link);
      break;
    case RST_EVENT_MESSAGE:
      rst_entry_handle_message (daemon->entry, event->link, &event->message);
      break;
    case RST_EVENT_HTTP_REQUEST:
      handle_request (daemon, event->request);
      break;
    default:
      break;
    }
  rst_event_free (event);
}

static void
handle_events (struct daemon *daemon, int max_events)
{
  struct rst_event *event;

  while (max_events-- > 0
         && (event = rst_mailbox_take (daemon->mailbox)) != NULL)
    handle_event (daemon, event);
}

/* Whether a planned stop is complete.  The first call after the request begins
   the stop. */
static bool
is_stop_complete (struct daemon *daemon)
{
  rst_ms since;

  if (!atomic_load (&daemon->stop_requested))
    return false;
  if (daemon->stop_began_at == 0)
    {
      daemon->stop_began_at = rst_os_now ();
      rst_info (LOG_DOMAIN, "Planned stop begins.");
      rst_entry_begin_stop (daemon->entry);
    }
  since = rst_os_now () - daemon->stop_began_at;
  return since > DRAIN_TIMEOUT_MS
         || (since > STOP_LINGER_MS
             && rst_entry_count_pending (daemon->entry) == 0);
}

static void
run_loop (struct daemon *daemon)
{
  while (!is_stop_complete (daemon))
    {
      rst_ms now = rst_os_now ();

      if (now < daemon->next_tick)
        rst_mailbox_wait (daemon->mailbox, (int)(daemon->next_tick - now));
      handle_events (daemon, EVENTS_PER_TICK_MAX);
      if (rst_os_now () >= daemon->next_tick)
        {
          daemon->next_tick = rst_os_now () + TICK_INTERVAL_MS;
          rst_entry_tick (daemon->entry);
        }
    }
}

/* ---- Start and stop ----------------------------------------------------- */

static void
add_schedulers (struct daemon *daemon)
{
  struct json_object *list = daemon->settings.schedulers;

  for (size_t i = 0; i < json_object_array_length (list); i++)
    rst_entry_add_seed_address (
        daemon->entry,
        json_object_get_string (json_object_array_get_idx (list, i)));
}

static bool
start_servers (struct daemon *daemon)
{
  const struct settings *settings = &daemon->settings;
  struct rst_net_config net = rst_link_net_make_config (NULL, &daemon->link);
  struct rst_http_server_config server = { 0 };
  struct rst_entry_config config = { 0 };

  server.address = settings->listen;
  server.max_body_bytes = (size_t)settings->limits.body_bytes;
  server.max_connections = rst_body_limits_get_connections (&settings->limits);
  server.max_connections_per_ip = (unsigned)settings->max_connections_per_ip;
  server.idle_timeout_s = (unsigned)settings->idle_timeout_s;
  server.connection_bytes
      = rst_body_limits_get_connection_bytes (&settings->limits);
  daemon->budget = rst_shared_budget_create (
      rst_body_limits_get_bytes (&settings->limits));
  server.budget = daemon->budget;
  server.handler = on_request;
  server.userdata = daemon;
  if (rst_net_create (&net, &daemon->link.net) != RST_TRANSPORT_OK)
    return false;
  if (rst_http_server_create (&server, &daemon->server) != RST_TRANSPORT_OK)
    {
      fprintf (stderr, "%s: listen: address cannot be used: %s\n",
               program.name, settings->listen);
      return false;
    }
  g_strlcpy (config.name, settings->name, RST_NAME_SIZE);
  g_strlcpy (config.zone, settings->zone, RST_NAME_SIZE);
  g_strlcpy (config.address, rst_http_server_address (daemon->server),
             RST_ADDRESS_SIZE);
  config.clock = rst_os_clock ();
  config.seed = rst_os_random ();
  config.max_pending = settings->max_pending;
  daemon->entry = rst_entry_create (&config, rst_link_net_get_ops (),
                                    &daemon->link, send_reply);
  add_schedulers (daemon);
  return true;
}

static void
shut_down (struct daemon *daemon)
{
  if (daemon->server != NULL)
    rst_http_server_close (daemon->server);
  if (daemon->entry != NULL)
    handle_events (daemon, INT32_MAX);
  rst_mailbox_close (daemon->mailbox);
  rst_net_destroy (daemon->link.net);
  rst_entry_destroy (daemon->entry);
  rst_http_server_destroy (daemon->server);
  rst_shared_budget_destroy (daemon->budget);
  for (struct rst_event *event = rst_mailbox_take (daemon->mailbox);
       event != NULL; event = rst_mailbox_take (daemon->mailbox))
    rst_event_free (event);
  rst_mailbox_destroy (daemon->mailbox);
  json_object_put (daemon->settings.schedulers);
}

static void *
wait_for_stop_signal (void *userdata)
{
  struct daemon *daemon = userdata;

  rst_os_wait_stop_signal ();
  atomic_store (&daemon->stop_requested, true);
  return NULL;
}

int
main (int argc, char **argv)
{
  static struct daemon daemon;
  struct rst_log_config log_config = { 0 };
  int status = EXIT_FAILURE;
  int exit_status;

  set_defaults (&daemon.settings);
  exit_status = rst_program_configure (&program, argc, argv, &daemon.settings);
  if (exit_status >= 0)
    return exit_status;
  rst_os_block_signals ();
  if (sodium_init () < 0)
    return EXIT_FAILURE;
  log_config.json = strcmp (daemon.settings.log_format, "json") == 0;
  g_strlcpy (log_config.level, daemon.settings.log_level,
             sizeof log_config.level);
  rst_log_init (daemon.settings.name, &log_config);
  daemon.mailbox = rst_mailbox_create (MAILBOX_SIZE);
  daemon.link.mailbox = daemon.mailbox;
  if (daemon.mailbox == NULL || !start_servers (&daemon))
    goto done;
  if (pthread_create (&daemon.signal_thread, NULL, wait_for_stop_signal,
                      &daemon)
      != 0)
    goto done;
  printf ("ready http=%s\n", rst_http_server_address (daemon.server));
  fflush (stdout);
  run_loop (&daemon);
  pthread_join (daemon.signal_thread, NULL);
  rst_info (LOG_DOMAIN, "Stopped.");
  status = EXIT_SUCCESS;

done:
  if (daemon.mailbox != NULL)
    shut_down (&daemon);
  return status;
}
