/**
 * DOC: schedd - the scheduler daemon
 *
 * Runs a scheduler on the main thread.  Other threads carry links, serve the
 * status pages and make HTTP requests to the outside systems; they post
 * events to the main thread's mailbox.
 */
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <pthread.h>
#include <sodium.h>

#include "coordination/scheduler.h"
#include "daemon/limit_settings.h"
#include "daemon/link.h"
#include "daemon/metrics.h"
#include "protocol/platform_http.h"
#include "transport/http_server.h"
#include "transport/net.h"
#include "transport/transport.h"
#include "util/mailbox.h"
#include "util/os.h"
#include "util/program.h"

#define LOG_DOMAIN "schedd"

/** Maximum number of events in the mailbox. */
#define MAILBOX_SIZE 65536

/** Time between two calls of rst_scheduler_tick(), in milliseconds. */
#define TICK_INTERVAL_MS 20

/** Maximum number of events handled before the next tick is considered. */
#define EVENTS_PER_TICK_MAX 512

/** Limits of the server of the status pages. */
#define STATUS_BODY_MAX_BYTES 4096
#define STATUS_CONNECTIONS_MAX 64
#define STATUS_IDLE_TIMEOUT_S 30

/** Maximum number of links that other processes open, if the number of
    descriptors is not known. */
#define PEERS_DEFAULT 1024

struct settings
{
  char name[RST_NAME_SIZE];
  char zone[RST_NAME_SIZE];
  char listen[RST_ADDRESS_SIZE];
  char status_listen[RST_ADDRESS_SIZE];
  char store_address[RST_ADDRESS_SIZE];
  int64_t store_timeout_ms;
  char list_address[RST_ADDRESS_SIZE];
  int64_t list_interval_ms;
  int64_t instance_timeout_ms;
  int64_t lease_ms;
  int64_t margin_ms;
  int64_t promise_ms;
  int64_t quiet_ms;
  int64_t task_lease_ms;
  struct rst_body_limits limits;
  struct json_object *peers;
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
  TEXT ("status_listen", RST_CONF_ADDRESS, true, status_listen),
  TEXT ("store.address", RST_CONF_ADDRESS, true, store_address),
  INT ("store.timeout_ms", store_timeout_ms, 10, 60000),
  TEXT ("list.address", RST_CONF_ADDRESS, true, list_address),
  INT ("list.interval_ms", list_interval_ms, 50, 60000),
  INT ("instance.timeout_ms", instance_timeout_ms, 50, 60000),
  INT ("tenure.lease_ms", lease_ms, 500, 60000),
  INT ("tenure.margin_ms", margin_ms, 10, 10000),
  INT ("tenure.promise_ms", promise_ms, 500, 60000),
  INT ("tenure.quiet_ms", quiet_ms, 500, 120000),
  INT ("task_lease_ms", task_lease_ms, 500, 600000),
  RST_LIMIT_FIELDS (struct settings),
  { "peers", RST_CONF_LIST, false, offsetof (struct settings, peers), 0, 0, 0,
    NULL },
  { "log.format", RST_CONF_CHOICE, false,
    offsetof (struct settings, log_format), 8, 0, 0, log_formats },
  { "log.level", RST_CONF_CHOICE, false, offsetof (struct settings, log_level),
    16, 0, 0, log_levels },
};

struct daemon
{
  struct settings settings;
  struct rst_mailbox *mailbox;
  struct rst_link_net link;
  struct rst_http_server *server;
  struct rst_shared_budget *budget;
  struct rst_shared_budget *link_budget;
  struct rst_platform_http *platform;
  struct rst_scheduler *scheduler;
  pthread_t signal_thread;
  atomic_bool stop_requested;
  atomic_bool done;
  rst_ms next_tick;
};

static void
set_defaults (struct settings *settings)
{
  memset (settings, 0, sizeof *settings);
  settings->store_timeout_ms = 1000;
  settings->list_interval_ms = 1000;
  settings->instance_timeout_ms = 2000;
  settings->lease_ms = 4500;
  settings->margin_ms = 300;
  settings->promise_ms = 3000;
  settings->quiet_ms = 5000;
  settings->task_lease_ms = 6000;
  settings->limits.body_bytes = RST_MESSAGE_MAX_BYTES;
  g_strlcpy (settings->log_format, "plain", sizeof settings->log_format);
  g_strlcpy (settings->log_level, "info", sizeof settings->log_level);
}

static bool
check_addresses (struct json_object *list, GString *problems)
{
  size_t count = list != NULL ? json_object_array_length (list) : 0;
  bool valid = true;

  for (size_t i = 0; i < count; i++)
    {
      const char *address
          = json_object_get_string (json_object_array_get_idx (list, i));

      if (address != NULL && rst_conf_is_address (address))
        continue;
      g_string_append_printf (problems,
                              "peers[%zu]: must be an address IP:PORT\n", i);
      valid = false;
    }
  return valid;
}

static bool
check_settings (const void *target, GString *problems)
{
  const struct settings *settings = target;
  bool valid = check_addresses (settings->peers, problems);

  valid = rst_body_limits_check (&settings->limits, problems) && valid;

  if (settings->margin_ms * 2 >= settings->lease_ms
      || settings->margin_ms * 2 >= settings->promise_ms)
    {
      g_string_append (problems, "tenure.margin_ms: must be less than half "
                                 "of lease_ms and of promise_ms\n");
      valid = false;
    }
  if (settings->quiet_ms <= settings->promise_ms)
    {
      g_string_append (problems,
                       "tenure.quiet_ms: must be more than promise_ms\n");
      valid = false;
    }
  return valid;
}

static const struct rst_program program = {
  "rosemarystile-schedd",
  "Owns instances of one availability zone and starts work on them.",
  fields,
  G_N_ELEMENTS (fields),
  check_settings,
};

/* ---- Status pages ------------------------------------------------------- */

static char *
format_metrics_page (struct daemon *daemon)
{
  const struct rst_scheduler_counters *counters
      = rst_scheduler_get_counters (daemon->scheduler);
  GString *page = g_string_new ("");
  struct rst_body_stats limits;
  struct rst_body_stats links;

  rst_metrics_add_counter (page, "queries_total", "Queries taken.",
                           counters->queries);
  rst_metrics_add_counter (page, "answered_total", "Queries answered.",
                           counters->answered);
  rst_metrics_add_counter (page, "not_run_total", "Queries not run.",
                           counters->not_run);
  rst_metrics_add_counter (page, "unknown_total",
                           "Queries whose outcome is unknown.",
                           counters->unknown);
  rst_metrics_add_counter (page, "retries_total", "Further attempts.",
                           counters->retries);
  rst_metrics_add_counter (page, "task_starts_total", "Tasks started.",
                           counters->starts);
  rst_metrics_add_counter (page, "task_start_failures_total",
                           "Tasks that a worker did not start.",
                           counters->start_failures);
  rst_metrics_add_counter (page, "store_reads_total", "Reads of the store.",
                           counters->store_reads);
  rst_metrics_add_counter (page, "store_writes_total", "Writes of the store.",
                           counters->store_writes);
  rst_metrics_add_counter (page, "messages_in_total", "Messages received.",
                           counters->messages_in);
  rst_metrics_add_counter (page, "messages_out_total", "Messages sent.",
                           counters->messages_out);
  rst_metrics_add_counter (page, "takeovers_total", "Tenures of others ended.",
                           counters->takeovers);
  rst_metrics_add_counter (page, "tenures_lost_total", "Own tenures ended.",
                           counters->fenced);
  rst_metrics_add_gauge (page, "ready", "Whether it takes work.",
                         rst_scheduler_is_ready (daemon->scheduler));
  rst_shared_budget_read_stats (daemon->budget, &limits);
  rst_shared_budget_read_stats (daemon->link_budget, &links);
  rst_body_stats_add (&limits, &links);
  rst_metrics_add_limits (page, &limits);
  rst_metrics_add_process (page);
  return g_string_free (page, FALSE);
}

static void
serve_status (struct daemon *daemon, struct rst_http_request *request)
{
  const char *path = rst_http_request_path (request);
  bool ready = rst_scheduler_is_ready (daemon->scheduler);
  char *text;

  if (strcmp (path, "/livez") == 0)
    rst_http_request_reply_json (request, 200, "{\"live\":true}\n");
  else if (strcmp (path, "/readyz") == 0)
    rst_http_request_reply_json (request, ready ? 200 : 503,
                                 ready ? "{\"ready\":true}\n"
                                       : "{\"ready\":false}\n");
  else if (strcmp (path, "/status") == 0)
    {
      text = rst_scheduler_format_status (daemon->scheduler);
      rst_http_request_reply_json (request, 200, text);
      free (text);
    }
  else if (strcmp (path, "/metrics") == 0)
    {
      text = format_metrics_page (daemon);
      rst_http_request_reply (request, 200, "text/plain; version=0.0.4", text,
                              strlen (text), 0);
      g_free (text);
    }
  else
    rst_http_request_reply_json (request, 404,
                                 "{\"error\":\"no such page\"}\n");
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
on_platform_request (struct rst_platform_request *request, void *userdata)
{
  struct daemon *daemon = userdata;
  struct rst_event *event = g_new0 (struct rst_event, 1);

  event->kind = RST_EVENT_PLATFORM_REQUEST;
  event->platform_request = request;
  rst_event_post (daemon->mailbox, event);
}

static void
handle_event (struct daemon *daemon, struct rst_event *event)
{
  switch (event->kind)
    {
    case RST_EVENT_LINK_OPENED:
      rst_scheduler_handle_link_opened (daemon->scheduler, event->link);
      break;
    case RST_EVENT_LINK_CLOSED:
      rst_scheduler_handle_link_closed (daemon->scheduler, event->link);
      break;
    case RST_EVENT_MESSAGE:
      rst_scheduler_handle_message (daemon->scheduler, event->link,
                                    &event->message);
      break;
    case RST_EVENT_PLATFORM_REQUEST:
      rst_platform_request_complete (event->platform_request);
      break;
    case RST_EVENT_HTTP_REQUEST:
      serve_status (daemon, event->request);
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

static void *
run_loop (void *userdata)
{
  struct daemon *daemon = userdata;

  while (!rst_scheduler_is_stopped (daemon->scheduler))
    {
      rst_ms now = rst_os_now ();

      if (now < daemon->next_tick)
        rst_mailbox_wait (daemon->mailbox, (int)(daemon->next_tick - now));
      handle_events (daemon, EVENTS_PER_TICK_MAX);
      if (rst_os_now () >= daemon->next_tick)
        {
          daemon->next_tick = rst_os_now () + TICK_INTERVAL_MS;
          rst_scheduler_tick (daemon->scheduler);
        }
      if (atomic_load (&daemon->stop_requested))
        rst_scheduler_begin_stop (daemon->scheduler);
    }
  return NULL;
}

/* ---- Start and stop ----------------------------------------------------- */

static bool
start_servers (struct daemon *daemon)
{
  const struct settings *settings = &daemon->settings;
  struct rst_net_config net
      = rst_link_net_make_config (settings->listen, &daemon->link);
  struct rst_http_server_config status = { 0 };
  size_t bytes = rst_body_limits_get_bytes (&settings->limits);

  daemon->budget = rst_shared_budget_create (bytes);
  daemon->link_budget = rst_shared_budget_create (bytes);
  net.budget = daemon->link_budget;
  net.max_accepted
      = rst_body_limits_get_peers (&settings->limits, PEERS_DEFAULT);
  status.address = settings->status_listen;
  status.max_body_bytes = STATUS_BODY_MAX_BYTES;
  status.max_connections = STATUS_CONNECTIONS_MAX;
  status.idle_timeout_s = STATUS_IDLE_TIMEOUT_S;
  status.connection_bytes = RST_BODY_PAGE_CONNECTION_BYTES;
  status.budget = daemon->budget;
  status.handler = on_request;
  status.userdata = daemon;
  if (rst_net_create (&net, &daemon->link.net) != RST_TRANSPORT_OK)
    {
      fprintf (stderr, "%s: listen: address cannot be used: %s\n",
               program.name, settings->listen);
      return false;
    }
  if (rst_http_server_create (&status, &daemon->server) != RST_TRANSPORT_OK)
    {
      fprintf (stderr, "%s: status_listen: address cannot be used: %s\n",
               program.name, settings->status_listen);
      return false;
    }
  return true;
}

static bool
start_platform (struct daemon *daemon)
{
  const struct settings *settings = &daemon->settings;
  struct rst_platform_http_config config = { 0 };

  g_strlcpy (config.store_address, settings->store_address, RST_ADDRESS_SIZE);
  g_strlcpy (config.list_address, settings->list_address, RST_ADDRESS_SIZE);
  config.store_timeout_ms = settings->store_timeout_ms;
  config.instance_timeout_ms = settings->instance_timeout_ms;
  config.deliver = on_platform_request;
  config.userdata = daemon;
  daemon->platform = rst_platform_http_create (&config);
  return daemon->platform != NULL;
}

static void
add_peers (struct daemon *daemon)
{
  struct json_object *list = daemon->settings.peers;
  size_t count = list != NULL ? json_object_array_length (list) : 0;

  for (size_t i = 0; i < count; i++)
    rst_scheduler_add_seed_address (
        daemon->scheduler,
        json_object_get_string (json_object_array_get_idx (list, i)));
}

static void
create_scheduler (struct daemon *daemon)
{
  const struct settings *settings = &daemon->settings;
  struct rst_scheduler_config config = { 0 };

  g_strlcpy (config.name, settings->name, RST_NAME_SIZE);
  g_strlcpy (config.zone, settings->zone, RST_NAME_SIZE);
  g_strlcpy (config.address, rst_net_address (daemon->link.net),
             RST_ADDRESS_SIZE);
  g_strlcpy (config.status_address, rst_http_server_address (daemon->server),
             RST_ADDRESS_SIZE);
  config.tenure.lease_ms = settings->lease_ms;
  config.tenure.margin_ms = settings->margin_ms;
  config.tenure.promise_ms = settings->promise_ms;
  config.tenure.quiet_ms = settings->quiet_ms;
  config.task_lease_ms = settings->task_lease_ms;
  config.list_interval_ms = settings->list_interval_ms;
  config.clock = rst_os_clock ();
  config.seed = rst_os_random ();
  daemon->scheduler = rst_scheduler_create (
      &config, rst_platform_http_get_table (), daemon->platform,
      rst_link_net_get_ops (), &daemon->link);
  add_peers (daemon);
}

static void
shut_down (struct daemon *daemon)
{
  if (daemon->server != NULL)
    rst_http_server_close (daemon->server);
  if (daemon->platform != NULL)
    rst_platform_http_close (daemon->platform);
  if (daemon->scheduler != NULL)
    handle_events (daemon, INT32_MAX);
  rst_mailbox_close (daemon->mailbox);
  rst_net_destroy (daemon->link.net);
  rst_http_server_destroy (daemon->server);
  rst_shared_budget_destroy (daemon->budget);
  rst_shared_budget_destroy (daemon->link_budget);
  rst_scheduler_destroy (daemon->scheduler);
  rst_platform_http_destroy (daemon->platform);
  for (struct rst_event *event = rst_mailbox_take (daemon->mailbox);
       event != NULL; event = rst_mailbox_take (daemon->mailbox))
    rst_event_free (event);
  rst_mailbox_destroy (daemon->mailbox);
  json_object_put (daemon->settings.peers);
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
  if (daemon.mailbox == NULL || !start_servers (&daemon)
      || !start_platform (&daemon))
    goto done;
  create_scheduler (&daemon);
  if (pthread_create (&daemon.signal_thread, NULL, wait_for_stop_signal,
                      &daemon)
      != 0)
    goto done;
  printf ("ready frames=%s http=%s\n", rst_net_address (daemon.link.net),
          rst_http_server_address (daemon.server));
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
