/**
 * DOC: jobd - takes callers' jobs and passes their calls to the planner
 *
 * Every entry instance runs one.  A call is passed on at most once to each
 * planner; after a planner was lost it is passed to the next one, since
 * handing a job in twice leaves it one job.
 */
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "adapter.h"
#include "cell/planner_client.h"
#include "daemon/cell_loop.h"
#include "daemon/cell_metrics.h"
#include "transport/http_client.h"
#include "transport/http_server.h"
#include "transport/transport.h"
#include "util/os.h"
#include "util/program.h"

#define LOG_PREFIX "jobd"

/** How long a caller waits when it does not say, in milliseconds. */
#define DEADLINE_DEFAULT_MS 3000

/** An answer is given this long before the caller stops waiting. */
#define DEADLINE_MARGIN_MS 150

/** A call that no planner has taken yet is turned away after this. */
#define UNSENT_MAX_MS 1500

/** Bound on calls that wait for an answer. */
#define PENDING_MAX 2000

/** A stopping process answers on for this long, not ready, so that the
    balancer takes it out: two missed checks, one a second, and a margin. */
#define LINGER_MS 3000

/** Longest wait for the last answers at a planned stop. */
#define STOP_MS 4500

/** Time between two looks at deadlines. */
#define SWEEP_MS 50

struct settings
{
  char name[RST_NAME_SIZE];
  char zone[RST_NAME_SIZE];
  char listen[RST_ADDRESS_SIZE];
  char readiness[RST_ADDRESS_SIZE];
  char store[RST_ADDRESS_SIZE];
  char metrics[RST_ADDRESS_SIZE];
  int64_t max_body;
  int64_t max_connections;
  char log_level[16];
};

static const char *const log_levels[]
    = { "error", "warning", "info", "debug", NULL };

#define TEXT(path, type, required, member)                                    \
  RST_CONF_TEXT (path, type, required, struct settings, member)
#define INT(path, member, min, max)                                           \
  RST_CONF_INT (path, false, struct settings, member, min, max)

static const struct rst_conf_field fields[] = {
  TEXT ("name", RST_CONF_NAME, true, name),
  TEXT ("availability_zone", RST_CONF_NAME, true, zone),
  TEXT ("listen", RST_CONF_ADDRESS, true, listen),
  TEXT ("readiness", RST_CONF_ADDRESS, true, readiness),
  TEXT ("store", RST_CONF_ADDRESS, true, store),
  TEXT ("metrics", RST_CONF_ADDRESS, false, metrics),
  INT ("limits.body_bytes", max_body, 1, 4194304),
  INT ("limits.connections", max_connections, 1, 100000),
  { "log.level", RST_CONF_CHOICE, false, offsetof (struct settings, log_level),
    16, 0, 0, log_levels },
};

struct jobd
{
  struct settings settings;
  struct rst_cell_loop *loop;
  struct rst_http_client *client;
  struct rst_adapter *adapter;
  struct rst_planner_client *planner_client;
  struct rst_http_server *callers;
  struct rst_http_server *checks;
  GHashTable *pending;
  struct rst_call_stats stats;
  uint64_t next_number;
  atomic_bool ready;
  bool serving;
  bool stopping;
  rst_ms stop_at;
  rst_ms stop_by;
  rst_ms next_sweep;
};

/* A call that waits for the planner's answer. */
struct pending
{
  uint64_t number;
  struct rst_http_request *request;
  enum rst_operation operation;
  GByteArray *frame;
  rst_ms came_at;
  rst_ms answer_by;
  bool sent;
  /* Passed on over a link that is gone; what became of it is not known. */
  bool sent_before;
};

static void
pending_free (gpointer data)
{
  struct pending *pending = data;

  g_byte_array_free (pending->frame, TRUE);
  g_free (pending);
}

static void
answer (struct rst_http_request *request, unsigned status, const char *text,
        unsigned retry_s)
{
  rst_http_reply (request, status, NULL, text, strlen (text), retry_s);
}

static void
answer_error (struct rst_http_request *request, unsigned status,
              const char *detail, unsigned retry_s)
{
  char text[256];

  g_snprintf (text, sizeof text, "{\"error\":\"%s\"}\n", detail);
  answer (request, status, text, retry_s);
}

/* Gives a call its answer and counts it. */
static void
end_pending (struct jobd *jobd, struct pending *pending, unsigned status,
             const char *text, unsigned retry_s)
{
  rst_call_stats_add (&jobd->stats, pending->operation, status,
                      rst_os_now () - pending->came_at);
  answer (pending->request, status, text, retry_s);
  g_hash_table_remove (jobd->pending, &pending->number);
}

/* Ends a call without success; its path holds the job's id. */
static void
refuse_pending (struct jobd *jobd, struct pending *pending, unsigned status,
                const char *why, unsigned retry_s)
{
  char text[256];

  if (rst_log_enabled (G_LOG_LEVEL_INFO))
    {
      char number[16];
      char age[24];

      g_snprintf (number, sizeof number, "%u", status);
      g_snprintf (age, sizeof age, "%lld",
                  (long long)(rst_os_now () - pending->came_at));
      rst_info (LOG_PREFIX, "Call turned away.", "path",
                rst_http_path (pending->request), "status", number, "why", why,
                "age_ms", age, "passed_on",
                pending->sent || pending->sent_before ? "yes" : "no");
    }
  g_snprintf (text, sizeof text, "{\"error\":\"%s\"}\n", why);
  end_pending (jobd, pending, status, text, retry_s);
}

static void
send_pending (struct jobd *jobd, struct pending *pending)
{
  if (!jobd->serving || pending->sent)
    return;
  pending->sent = rst_planner_client_send (
      jobd->planner_client, pending->frame->data, pending->frame->len);
}

static const char *
header (const struct rst_http_request *request, const char *name)
{
  const char *value = rst_http_header (request, name);

  return value != NULL ? value : "";
}

/* The key stands in a header of its own. */
static void
pack_call (struct pending *pending, const struct rst_jobdesc *desc)
{
  const struct rst_http_request *request = pending->request;
  struct rst_pack pack;

  rst_pack_init (&pack, desc != NULL ? 7 : 6);
  rst_pack_int (&pack, RST_MSG_CALL);
  rst_pack_int (&pack, (int64_t)pending->number);
  rst_pack_int (&pack, pending->operation);
  rst_pack_text (&pack, header (request, "Host"));
  rst_pack_text (&pack, rst_http_path (request));
  rst_pack_text (&pack, header (request, RST_PLATFORM_KEY_HEADER));
  if (desc != NULL)
    rst_jobdesc_pack (&pack, desc);
  pending->frame = g_byte_array_new ();
  g_byte_array_append (pending->frame, (const guint8 *)pack.buffer.data,
                       (guint)pack.buffer.size);
  rst_pack_clear (&pack);
}

static bool
read_operation (const struct rst_http_request *request,
                enum rst_operation *operation)
{
  const char *method = rst_http_method (request);

  if (strcmp (method, "POST") == 0)
    *operation = RST_OPERATION_SUBMIT;
  else if (strcmp (method, "GET") == 0)
    *operation = RST_OPERATION_READ;
  else if (strcmp (method, "DELETE") == 0)
    *operation = RST_OPERATION_CANCEL;
  else
    return false;
  return true;
}

static rst_ms
caller_wait_ms (const struct rst_http_request *request)
{
  const char *text = rst_http_header (request, RST_PLATFORM_DEADLINE_HEADER);
  long long value = text != NULL ? strtoll (text, NULL, 10) : 0;

  return value > 0 ? MIN (value, 60000) : DEADLINE_DEFAULT_MS;
}

static void
take_request (struct rst_http_request *request, void *userdata)
{
  struct jobd *jobd = userdata;
  enum rst_operation operation;
  struct rst_jobdesc *desc = NULL;
  const char *problem = NULL;
  struct pending *pending;
  rst_ms now = rst_os_now ();

  if (!read_operation (request, &operation))
    {
      answer_error (request, 405, "method: must be GET, POST or DELETE", 0);
      return;
    }
  if (g_hash_table_size (jobd->pending) >= PENDING_MAX)
    {
      answer_error (request, 503, "too many calls wait", 1);
      return;
    }
  if (operation == RST_OPERATION_SUBMIT)
    {
      desc = rst_adapter_read_job (rst_http_body (request, NULL), &problem);
      if (desc == NULL)
        rst_info (LOG_PREFIX, "Job can't be read.", "problem", problem);
    }
  pending = g_new0 (struct pending, 1);
  pending->number = jobd->next_number++;
  pending->request = request;
  pending->operation = operation;
  pending->came_at = now;
  pending->answer_by = now + caller_wait_ms (request) - DEADLINE_MARGIN_MS;
  pack_call (pending, desc);
  rst_jobdesc_destroy (desc);
  g_hash_table_insert (jobd->pending, &pending->number, pending);
  send_pending (jobd, pending);
}

static void
on_metrics (struct rst_http_request *request, void *userdata)
{
  struct jobd *jobd = userdata;
  char *page;

  page
      = rst_call_metrics_page (&jobd->stats, g_hash_table_size (jobd->pending),
                               atomic_load (&jobd->ready));
  rst_http_reply (request, 200, "text/plain", page, strlen (page), 0);
  g_free (page);
}

static void
on_check (struct rst_http_request *request, void *userdata)
{
  struct jobd *jobd = userdata;

  if (atomic_load (&jobd->ready))
    answer (request, 200, "{\"ready\":true}\n", 0);
  else
    answer (request, 503, "{\"ready\":false}\n", 0);
}

static void
end_with_state (struct jobd *jobd, struct pending *pending,
                enum rst_job_state state)
{
  static const char *const names[]
      = { "queued", "running", "completed", "failed", "cancelled" };
  char text[64];

  g_snprintf (text, sizeof text, "{\"state\":\"%s\"}\n", names[state]);
  end_pending (jobd, pending, 200, text, 0);
}

static void
end_with_count (struct jobd *jobd, struct pending *pending, int64_t count)
{
  char text[64];

  g_snprintf (text, sizeof text, "{\"pending\":%lld}\n", (long long)count);
  end_pending (jobd, pending, 200, text, 0);
}

/* Answers of the planner that are no success, as a status and its reason. */
static void
end_without_success (struct jobd *jobd, struct pending *pending,
                     enum rst_outcome outcome, unsigned retry_s)
{
  switch (outcome)
    {
    case RST_OUTCOME_NO_QUEUE:
      refuse_pending (jobd, pending, 404, "no such queue", 0);
      break;
    case RST_OUTCOME_INVALID_KEY:
      refuse_pending (jobd, pending, 401, "unknown key", 0);
      break;
    case RST_OUTCOME_NO_JOB:
      refuse_pending (jobd, pending, 410, "no such job", 0);
      break;
    case RST_OUTCOME_MALFORMED:
      refuse_pending (jobd, pending, 400, "not a job", 0);
      break;
    case RST_OUTCOME_REJECTED:
      refuse_pending (jobd, pending, pending->sent_before ? 504 : 503,
                      "turned away", retry_s);
      break;
    default:
      refuse_pending (jobd, pending, 504, "not known", retry_s);
      break;
    }
}

static void
take_reply (struct jobd *jobd, struct rst_reader *reader)
{
  uint64_t number = (uint64_t)rst_reader_read_int (reader);
  enum rst_outcome outcome = (enum rst_outcome)rst_reader_read_int (reader);
  int64_t state = rst_reader_read_int (reader);
  int64_t count = rst_reader_read_int (reader);
  unsigned retry_s = (unsigned)rst_reader_read_int (reader);
  struct pending *pending = g_hash_table_lookup (jobd->pending, &number);

  if (pending == NULL || reader->bad)
    return;
  if (outcome == RST_OUTCOME_OK)
    end_pending (jobd, pending, 200, "{\"accepted\":true}\n", 0);
  else if (outcome == RST_OUTCOME_STATE)
    end_with_state (jobd, pending, (enum rst_job_state)state);
  else if (outcome == RST_OUTCOME_COUNT)
    end_with_count (jobd, pending, count);
  else
    end_without_success (jobd, pending, outcome, retry_s);
}

static void
on_message (void *userdata, int kind, struct rst_reader *reader)
{
  if (kind == RST_MSG_REPLY)
    take_reply (userdata, reader);
}

static void
on_linked (void *userdata, bool serving)
{
  struct jobd *jobd = userdata;
  GHashTableIter iter;
  gpointer value;

  if (serving && !jobd->serving)
    rst_info (LOG_PREFIX, "Callers are served.");
  jobd->serving = serving;
  atomic_store (&jobd->ready, serving && !jobd->stopping);
  g_hash_table_iter_init (&iter, jobd->pending);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    send_pending (jobd, value);
}

static void
on_lost (void *userdata)
{
  struct jobd *jobd = userdata;
  GHashTableIter iter;
  gpointer value;

  rst_info (LOG_PREFIX, "Planner lost.");
  jobd->serving = false;
  g_hash_table_iter_init (&iter, jobd->pending);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct pending *pending = value;

      pending->sent_before |= pending->sent;
      pending->sent = false;
    }
}

static void
on_alive (void *userdata, rst_ms store_age_ms)
{
  (void)userdata;
  (void)store_age_ms;
}

/* Answers calls whose caller stops waiting soon. */
static void
sweep (struct jobd *jobd, rst_ms now)
{
  GList *all = g_hash_table_get_values (jobd->pending);

  for (GList *item = all; item != NULL; item = item->next)
    {
      struct pending *pending = item->data;
      bool sent = pending->sent || pending->sent_before;

      if (sent && now >= pending->answer_by)
        refuse_pending (jobd, pending, 504, "no answer in time", 0);
      else if (!sent
               && (now >= pending->answer_by
                   || now - pending->came_at >= UNSENT_MAX_MS))
        refuse_pending (jobd, pending, 503, "no planner", 1);
    }
  g_list_free (all);
}

static void
on_link (void *userdata, enum rst_net_event event, uint64_t link,
         const void *data, size_t length)
{
  struct jobd *jobd = userdata;

  if (!rst_planner_client_owns_link (jobd->planner_client, link))
    return;
  if (event == RST_NET_OPENED)
    rst_planner_client_link_opened (jobd->planner_client);
  else if (event == RST_NET_FRAME)
    rst_planner_client_handle_frame (jobd->planner_client, data, length);
  else
    rst_planner_client_link_closed (jobd->planner_client);
}

static rst_ms
on_tick (void *userdata)
{
  struct jobd *jobd = userdata;
  rst_ms now = rst_os_now ();
  rst_ms wake = rst_planner_client_run (jobd->planner_client);
  bool any = g_hash_table_size (jobd->pending) > 0;

  if (any && now >= jobd->next_sweep)
    {
      jobd->next_sweep = now + SWEEP_MS;
      sweep (jobd, now);
    }
  if (any)
    wake = MIN (wake, jobd->next_sweep);
  /* Without a planner this instance should get no new connections. */
  if (!jobd->serving)
    atomic_store (&jobd->ready, false);
  if (!jobd->stopping)
    return wake;
  if ((now >= jobd->stop_at && !any) || now >= jobd->stop_by)
    rst_cell_loop_stop (jobd->loop);
  return MIN (wake, now + SWEEP_MS);
}

static void
begin_stop (void *userdata)
{
  struct jobd *jobd = userdata;

  rst_info (LOG_PREFIX, "Planned stop.");
  jobd->stopping = true;
  atomic_store (&jobd->ready, false);
  rst_http_server_close_idle (jobd->callers);
  jobd->stop_at = rst_os_now () + LINGER_MS;
  jobd->stop_by = rst_os_now () + STOP_MS;
}

static uint64_t
open_link (void *userdata, const char *address)
{
  struct jobd *jobd = userdata;

  return rst_cell_loop_open_link (jobd->loop, address);
}

static void
close_link (void *userdata, uint64_t link)
{
  struct jobd *jobd = userdata;

  rst_cell_loop_close_link (jobd->loop, link);
}

static void
send_frame (void *userdata, uint64_t link, const void *data, size_t length)
{
  struct jobd *jobd = userdata;

  rst_cell_loop_send_frame (jobd->loop, link, data, length);
}

static void
create_planner_client (struct jobd *jobd)
{
  struct rst_planner_client_config planner_client = { 0 };

  planner_client.backend = rst_cell_loop_backend (
      jobd->loop, rst_adapter_backend (jobd->adapter));
  planner_client.now = rst_os_now;
  planner_client.connect = open_link;
  planner_client.close = close_link;
  planner_client.send = send_frame;
  planner_client.on_message = on_message;
  planner_client.on_connected = on_linked;
  planner_client.on_disconnected = on_lost;
  planner_client.on_heartbeat = on_alive;
  planner_client.userdata = jobd;
  planner_client.role = RST_ROLE_ENTRY;
  planner_client.name = jobd->settings.name;
  planner_client.zone = jobd->settings.zone;
  jobd->planner_client = rst_planner_client_create (&planner_client);
}

static bool
open_servers (struct jobd *jobd)
{
  struct rst_http_server_config config = { 0 };

  config.address = jobd->settings.listen;
  config.max_body = (size_t)jobd->settings.max_body;
  config.max_connections = (unsigned)jobd->settings.max_connections;
  config.idle_timeout_s = 60;
  config.handler = take_request;
  config.userdata = jobd;
  if (rst_cell_loop_serve (jobd->loop, &config, &jobd->callers)
      != RST_TRANSPORT_OK)
    {
      rst_warning (LOG_PREFIX, "listen: the address can't be used.");
      return false;
    }
  config.address = jobd->settings.readiness;
  config.max_connections = 32;
  config.handler = on_check;
  if (rst_http_server_create (&config, &jobd->checks) != RST_TRANSPORT_OK)
    {
      rst_warning (LOG_PREFIX, "readiness: the address can't be used.");
      return false;
    }
  if (rst_cell_loop_serve_page (jobd->loop, jobd->settings.metrics, on_metrics,
                                jobd)
      != RST_TRANSPORT_OK)
    {
      rst_warning (LOG_PREFIX, "metrics: the address can't be used.");
      return false;
    }
  return true;
}

static const struct rst_program program
    = { "rosemarystile-jobd", "takes callers' jobs", fields,
        G_N_ELEMENTS (fields), NULL };

int
main (int argc, char **argv)
{
  struct jobd jobd = { 0 };
  struct rst_cell_loop_config loop = { on_link, on_tick, &jobd };
  struct rst_log_config log = { false, "info", true };
  int status;

  jobd.settings.max_body = 262144;
  jobd.settings.max_connections = 3000;
  g_strlcpy (jobd.settings.log_level, "info", sizeof jobd.settings.log_level);
  status = rst_program_start (&program, argc, argv, &jobd.settings);
  if (status >= 0)
    return status;
  rst_os_block_signals ();
  g_strlcpy (log.level, jobd.settings.log_level, sizeof log.level);
  rst_log_init (program.name, &log);
  jobd.next_number = 1;
  jobd.pending = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                        pending_free);
  jobd.loop = rst_cell_loop_create (&loop);
  jobd.client = rst_http_client_create (64, 0);
  if (jobd.loop == NULL || jobd.client == NULL)
    return EXIT_FAILURE;
  jobd.adapter = rst_adapter_create (jobd.client, jobd.settings.store, "");
  create_planner_client (&jobd);
  if (rst_cell_loop_listen (jobd.loop, NULL) != RST_TRANSPORT_OK
      || !open_servers (&jobd))
    return EXIT_FAILURE;
  rst_info (LOG_PREFIX, "Started.", "name", jobd.settings.name, "listen",
            rst_http_server_address (jobd.callers));
  rst_cell_loop_await_stop (jobd.loop, begin_stop, &jobd);
  rst_cell_loop_run (jobd.loop);
  rst_http_server_destroy (jobd.callers);
  rst_info (LOG_PREFIX, "Stopped.");
  /* Threads may still post into the loop; the process's end frees all. */
  _exit (EXIT_SUCCESS);
}
