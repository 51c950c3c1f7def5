/**
 * DOC: jobd - forwards callers' calls on jobs to the planner
 *
 * Every entry instance runs one jobd process.  A call is sent to each planner
 * at most once.  When the link to the planner is lost, the call is sent again
 * to the next planner; this is safe because submitting a job twice creates
 * only one job.
 */
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "adapter.h"
#include "cell/planner_client.h"
#include "daemon/cell_loop.h"
#include "daemon/cell_metrics.h"
#include "daemon/jobd_settings.h"
#include "transport/http_client.h"
#include "transport/http_server.h"
#include "transport/transport.h"
#include "util/os.h"
#include "util/program.h"

#define LOG_DOMAIN "jobd"

/** Deadline of a request that does not set one, in milliseconds. */
#define DEFAULT_DEADLINE_MS 3000

/** A call is answered this long before the caller's deadline, in milliseconds.
 */
#define DEADLINE_MARGIN_MS 150

/** A call that could not be sent to a planner for this long is rejected; in
    milliseconds. */
#define UNSENT_TIMEOUT_MS 1500

/** Maximum number of calls without an answer; more are rejected. */
#define PENDING_CALLS_MAX 2000

/** Largest body of a readiness probe, which needs none; in bytes. */
#define READINESS_BODY_MAX_BYTES 1024

/** How long a stopping process still serves callers while it reports that it
    is not ready, in milliseconds.  The load balancer checks once a second and
    removes a process after two failed checks. */
#define STOP_LINGER_MS 3000

/** Longest duration of a planned stop, in milliseconds. */
#define STOP_TIMEOUT_MS 4500

/** Time between two checks of the deadlines of pending calls, in milliseconds.
 */
#define DEADLINE_CHECK_INTERVAL_MS 50

struct jobd
{
  struct rst_jobd_settings settings;
  struct rst_cell_loop *loop;
  struct rst_http_client *client;
  struct rst_adapter *adapter;
  struct rst_planner_client *planner_client;
  struct rst_http_server *caller_server;
  struct rst_http_server *readiness_server;
  GHashTable *pending_calls;
  struct rst_call_stats stats;
  uint64_t next_number;
  atomic_bool ready;
  bool serving;
  bool stopping;
  rst_ms linger_until;
  rst_ms stop_deadline;
  rst_ms next_deadline_check;
};

/* A call that has no answer yet. */
struct pending_call
{
  uint64_t number;
  struct rst_http_request *request;
  enum rst_operation operation;
  GByteArray *frame;
  rst_ms received_at;
  /* A time at which the caller had not sent it yet. */
  rst_ms sent_after;
  rst_ms answer_deadline;
  /* Sent over the current link to the planner. */
  bool sent;
  /* Sent over an earlier link, so its outcome is unknown. */
  bool sent_on_lost_link;
};

static void
free_pending_call (gpointer data)
{
  struct pending_call *call = data;

  g_byte_array_free (call->frame, TRUE);
  g_free (call);
}

static void
send_reply (struct rst_http_request *request, unsigned status,
            const char *text, unsigned retry_s)
{
  rst_http_request_reply (request, status, NULL, text, strlen (text), retry_s);
}

static void
send_error (struct rst_http_request *request, unsigned status,
            const char *detail, unsigned retry_s)
{
  char text[256];

  g_snprintf (text, sizeof text, "{\"error\":\"%s\"}\n", detail);
  send_reply (request, status, text, retry_s);
}

/* Replies to a call, counts it and frees it. */
static void
finish_call (struct jobd *jobd, struct pending_call *call, unsigned status,
             const char *text, unsigned retry_s)
{
  rst_call_stats_record (&jobd->stats, call->operation, status,
                         rst_os_now () - call->received_at);
  send_reply (call->request, status, text, retry_s);
  g_hash_table_remove (jobd->pending_calls, &call->number);
}

/* Replies to a call with an error, and logs it. */
static void
reject_call (struct jobd *jobd, struct pending_call *call, unsigned status,
             const char *reason, unsigned retry_s)
{
  char text[256];

  if (rst_log_enabled (G_LOG_LEVEL_INFO))
    {
      char number[16];
      char age[24];

      g_snprintf (number, sizeof number, "%u", status);
      g_snprintf (age, sizeof age, "%lld",
                  (long long)(rst_os_now () - call->received_at));
      rst_info (LOG_DOMAIN, "Call failed.", "path",
                rst_http_request_path (call->request), "status", number, "why",
                reason, "age_ms", age, "passed_on",
                call->sent || call->sent_on_lost_link ? "yes" : "no");
    }
  g_snprintf (text, sizeof text, "{\"error\":\"%s\"}\n", reason);
  finish_call (jobd, call, status, text, retry_s);
}

/* Why a submission must not be sent to the planner, or NULL.  Its caller may
   have cancelled the job at another entry instance and must not find it
   accepted afterwards.  A caller that waits no longer learns of no acceptance
   in any case. */
static const char *
find_objection (const struct pending_call *call)
{
  if (rst_os_now () >= call->answer_deadline + DEADLINE_MARGIN_MS)
    return "read too late";
  if (rst_http_request_client_has_left (call->request))
    return "the caller has left";
  return NULL;
}

/* Sends a submission with the time of the planner's clock at which it was sent
   at the earliest. */
static bool
send_submission (struct jobd *jobd, const struct pending_call *call)
{
  rst_ms sent_after = rst_planner_client_convert_time (jobd->planner_client,
                                                       call->sent_after);
  struct rst_pack pack;
  bool is_sent;

  rst_pack_init_sequence (&pack);
  msgpack_sbuffer_write (&pack.buffer, (const char *)call->frame->data,
                         call->frame->len);
  rst_pack_int (&pack, sent_after);
  is_sent = rst_planner_client_send (jobd->planner_client, pack.buffer.data,
                                     pack.buffer.size);
  rst_pack_clear (&pack);
  return is_sent;
}

/* Sends a call to the planner, or rejects it. */
static void
forward_call (struct jobd *jobd, struct pending_call *call)
{
  const char *objection = NULL;

  if (!jobd->serving || call->sent)
    return;
  if (call->operation == RST_OPERATION_SUBMIT)
    objection = find_objection (call);
  if (objection != NULL)
    reject_call (jobd, call, call->sent_on_lost_link ? 504 : 503, objection,
                 call->sent_on_lost_link ? 0 : 1);
  else if (call->operation == RST_OPERATION_SUBMIT)
    call->sent = send_submission (jobd, call);
  else
    call->sent = rst_planner_client_send (jobd->planner_client,
                                          call->frame->data, call->frame->len);
}

static const char *
get_header (const struct rst_http_request *request, const char *name)
{
  const char *value = rst_http_request_header (request, name);

  return value != NULL ? value : "";
}

/* Encodes a call for the planner.  The key comes from a separate header.  The
   last member of a submission is added when it is sent. */
static void
pack_call (struct pending_call *call, const struct rst_jobdesc *desc)
{
  const struct rst_http_request *request = call->request;
  struct rst_pack pack;

  rst_pack_init (&pack, call->operation == RST_OPERATION_SUBMIT ? 8 : 6);
  rst_pack_int (&pack, RST_MSG_CALL);
  rst_pack_int (&pack, (int64_t)call->number);
  rst_pack_int (&pack, call->operation);
  rst_pack_text (&pack, get_header (request, "Host"));
  rst_pack_text (&pack, rst_http_request_path (request));
  rst_pack_text (&pack, get_header (request, RST_PLATFORM_API_KEY_HEADER));
  if (desc != NULL)
    rst_jobdesc_pack (&pack, desc);
  else if (call->operation == RST_OPERATION_SUBMIT)
    rst_pack_int (&pack, 0);
  call->frame = g_byte_array_new ();
  g_byte_array_append (call->frame, (const guint8 *)pack.buffer.data,
                       (guint)pack.buffer.size);
  rst_pack_clear (&pack);
}

static bool
read_operation (const struct rst_http_request *request,
                enum rst_operation *operation)
{
  const char *method = rst_http_request_method (request);

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
get_caller_wait_ms (const struct rst_http_request *request)
{
  const char *text
      = rst_http_request_header (request, RST_PLATFORM_DEADLINE_HEADER);
  long long value = text != NULL ? strtoll (text, NULL, 10) : 0;

  return value > 0 ? MIN (value, 60000) : DEFAULT_DEADLINE_MS;
}

static void
handle_request (struct rst_http_request *request, void *userdata)
{
  struct jobd *jobd = userdata;
  enum rst_operation operation;
  struct rst_jobdesc *desc = NULL;
  const char *problem = NULL;
  struct pending_call *call;
  rst_ms now = rst_os_now ();

  if (!read_operation (request, &operation))
    {
      send_error (request, 405, "method: must be GET, POST or DELETE", 0);
      return;
    }
  if (g_hash_table_size (jobd->pending_calls) >= PENDING_CALLS_MAX)
    {
      send_error (request, 503, "too many calls wait", 1);
      return;
    }
  if (operation == RST_OPERATION_SUBMIT)
    {
      desc = rst_adapter_parse_job (rst_http_request_body (request, NULL),
                                    &problem);
      if (desc == NULL)
        rst_info (LOG_DOMAIN,
                  "Submitted job can't be read; the planner will reject it.",
                  "problem", problem);
    }
  call = g_new0 (struct pending_call, 1);
  call->number = jobd->next_number++;
  call->request = request;
  call->operation = operation;
  call->received_at = now;
  /* Other calls may be carried out late. */
  call->sent_after = operation == RST_OPERATION_SUBMIT
                         ? rst_cell_loop_date_request (jobd->loop)
                         : now;
  call->answer_deadline
      = call->sent_after + get_caller_wait_ms (request) - DEADLINE_MARGIN_MS;
  pack_call (call, desc);
  rst_jobdesc_destroy (desc);
  /* The call's frame has all of it that is needed. */
  if (!rst_http_request_keep (request, sizeof *call + call->frame->len))
    {
      free_pending_call (call);
      send_error (request, 503, "no room for the call", 1);
      return;
    }
  g_hash_table_insert (jobd->pending_calls, &call->number, call);
  forward_call (jobd, call);
}

static void
serve_metrics (struct rst_http_request *request, void *userdata)
{
  struct jobd *jobd = userdata;
  char *page;

  rst_cell_loop_read_limit_stats (jobd->loop, &jobd->stats.limits);
  page = rst_call_metrics_format_page (&jobd->stats,
                                       g_hash_table_size (jobd->pending_calls),
                                       atomic_load (&jobd->ready));
  rst_http_request_reply (request, 200, "text/plain", page, strlen (page), 0);
  g_free (page);
}

static void
serve_readiness (struct rst_http_request *request, void *userdata)
{
  struct jobd *jobd = userdata;

  if (atomic_load (&jobd->ready))
    send_reply (request, 200, "{\"ready\":true}\n", 0);
  else
    send_reply (request, 503, "{\"ready\":false}\n", 0);
}

static void
finish_with_state (struct jobd *jobd, struct pending_call *call,
                   enum rst_job_state state)
{
  static const char *const names[]
      = { "queued", "running", "completed", "failed", "cancelled" };
  char text[64];

  g_snprintf (text, sizeof text, "{\"state\":\"%s\"}\n", names[state]);
  finish_call (jobd, call, 200, text, 0);
}

static void
finish_with_count (struct jobd *jobd, struct pending_call *call, int64_t count)
{
  char text[64];

  g_snprintf (text, sizeof text, "{\"pending\":%lld}\n", (long long)count);
  finish_call (jobd, call, 200, text, 0);
}

/* Replies to a call with the HTTP status for an unsuccessful outcome. */
static void
reject_with_outcome (struct jobd *jobd, struct pending_call *call,
                     enum rst_outcome outcome, unsigned retry_s)
{
  switch (outcome)
    {
    case RST_OUTCOME_NO_QUEUE:
      reject_call (jobd, call, 404, "no such queue", 0);
      break;
    case RST_OUTCOME_INVALID_KEY:
      reject_call (jobd, call, 401, "unknown key", 0);
      break;
    case RST_OUTCOME_NO_JOB:
      reject_call (jobd, call, 410, "no such job", 0);
      break;
    case RST_OUTCOME_MALFORMED:
      reject_call (jobd, call, 400, "not a job", 0);
      break;
    case RST_OUTCOME_REJECTED:
      reject_call (jobd, call, call->sent_on_lost_link ? 504 : 503,
                   "turned away", retry_s);
      break;
    case RST_OUTCOME_OVERLOADED:
      reject_call (jobd, call, call->sent_on_lost_link ? 504 : 429, "too busy",
                   retry_s);
      break;
    default:
      reject_call (jobd, call, 504, "not known", retry_s);
      break;
    }
}

static void
handle_reply (struct jobd *jobd, struct rst_reader *reader)
{
  uint64_t number = (uint64_t)rst_reader_read_int (reader);
  enum rst_outcome outcome = (enum rst_outcome)rst_reader_read_int (reader);
  int64_t state = rst_reader_read_int (reader);
  int64_t count = rst_reader_read_int (reader);
  unsigned retry_s = (unsigned)rst_reader_read_int (reader);
  struct pending_call *call
      = g_hash_table_lookup (jobd->pending_calls, &number);

  if (call == NULL || reader->bad)
    return;
  if (outcome == RST_OUTCOME_OK)
    finish_call (jobd, call, 200, "{\"accepted\":true}\n", 0);
  else if (outcome == RST_OUTCOME_STATE)
    finish_with_state (jobd, call, (enum rst_job_state)state);
  else if (outcome == RST_OUTCOME_COUNT)
    finish_with_count (jobd, call, count);
  else
    reject_with_outcome (jobd, call, outcome, retry_s);
}

static void
on_message (void *userdata, int kind, struct rst_reader *reader)
{
  if (kind == RST_MSG_REPLY)
    handle_reply (userdata, reader);
}

static void
on_connected (void *userdata, bool serving)
{
  struct jobd *jobd = userdata;
  GList *calls = g_hash_table_get_values (jobd->pending_calls);

  if (serving && !jobd->serving)
    rst_info (LOG_DOMAIN, "Planner is ready; serving callers.");
  jobd->serving = serving;
  atomic_store (&jobd->ready, serving && !jobd->stopping);
  for (GList *node = calls; node != NULL; node = node->next)
    forward_call (jobd, node->data);
  g_list_free (calls);
}

static void
on_disconnected (void *userdata)
{
  struct jobd *jobd = userdata;
  GHashTableIter iter;
  gpointer value;

  rst_info (LOG_DOMAIN,
            "Link to the planner lost; callers wait for the next planner.");
  jobd->serving = false;
  g_hash_table_iter_init (&iter, jobd->pending_calls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct pending_call *call = value;

      call->sent_on_lost_link |= call->sent;
      call->sent = false;
    }
}

static void
on_heartbeat (void *userdata, const struct rst_heartbeat *heartbeat)
{
  (void)userdata;
  (void)heartbeat;
}

/* Replies to calls that are close to their deadline or could not be sent. */
static void
expire_calls (struct jobd *jobd, rst_ms now)
{
  GList *calls = g_hash_table_get_values (jobd->pending_calls);

  for (GList *node = calls; node != NULL; node = node->next)
    {
      struct pending_call *call = node->data;
      bool was_sent = call->sent || call->sent_on_lost_link;

      if (was_sent && now >= call->answer_deadline)
        reject_call (jobd, call, 504, "no answer in time", 0);
      else if (!was_sent
               && (now >= call->answer_deadline
                   || now - call->received_at >= UNSENT_TIMEOUT_MS))
        reject_call (jobd, call, 503, "no planner", 1);
    }
  g_list_free (calls);
}

static void
on_link_event (void *userdata, enum rst_net_event event, uint64_t link,
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
  bool has_pending_calls = g_hash_table_size (jobd->pending_calls) > 0;

  if (has_pending_calls && now >= jobd->next_deadline_check)
    {
      jobd->next_deadline_check = now + DEADLINE_CHECK_INTERVAL_MS;
      expire_calls (jobd, now);
    }
  if (has_pending_calls)
    wake = MIN (wake, jobd->next_deadline_check);
  /* While there is no planner the load balancer should send callers to other
     instances. */
  if (!jobd->serving)
    atomic_store (&jobd->ready, false);
  if (!jobd->stopping)
    return wake;
  if ((now >= jobd->linger_until && !has_pending_calls)
      || now >= jobd->stop_deadline)
    rst_cell_loop_stop (jobd->loop);
  return MIN (wake, now + DEADLINE_CHECK_INTERVAL_MS);
}

static void
begin_stop (void *userdata)
{
  struct jobd *jobd = userdata;

  rst_info (LOG_DOMAIN, "Planned stop begins.");
  jobd->stopping = true;
  atomic_store (&jobd->ready, false);
  rst_http_server_disable_keep_alive (jobd->caller_server);
  jobd->linger_until = rst_os_now () + STOP_LINGER_MS;
  jobd->stop_deadline = rst_os_now () + STOP_TIMEOUT_MS;
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
  struct rst_planner_client_config client_config = { 0 };

  client_config.backend = rst_cell_loop_wrap_backend (
      jobd->loop, rst_adapter_get_backend (jobd->adapter));
  client_config.now = rst_os_now;
  client_config.connect = open_link;
  client_config.close = close_link;
  client_config.send = send_frame;
  client_config.on_message = on_message;
  client_config.on_connected = on_connected;
  client_config.on_disconnected = on_disconnected;
  client_config.on_heartbeat = on_heartbeat;
  client_config.userdata = jobd;
  client_config.role = RST_ROLE_ENTRY;
  client_config.name = jobd->settings.name;
  client_config.zone = jobd->settings.zone;
  jobd->planner_client = rst_planner_client_create (&client_config);
}

static bool
start_servers (struct jobd *jobd)
{
  struct rst_http_server_config config = { 0 };

  config.address = jobd->settings.listen;
  config.max_body_bytes = (size_t)jobd->settings.limits.body_bytes;
  config.max_connections
      = rst_body_limits_get_connections (&jobd->settings.limits);
  config.idle_timeout_s = (unsigned)jobd->settings.idle_timeout_s;
  config.connection_bytes
      = rst_body_limits_get_connection_bytes (&jobd->settings.limits);
  config.budget = rst_cell_loop_get_budget (jobd->loop);
  config.handler = handle_request;
  config.userdata = jobd;
  if (rst_cell_loop_start_http_server (jobd->loop, &config,
                                       &jobd->caller_server)
      != RST_TRANSPORT_OK)
    {
      rst_warning (LOG_DOMAIN, "listen: address can't be used; exiting.");
      return false;
    }
  config.address = jobd->settings.readiness;
  config.max_body_bytes = READINESS_BODY_MAX_BYTES;
  config.max_connections = 32;
  config.handler = serve_readiness;
  if (rst_http_server_create (&config, &jobd->readiness_server)
      != RST_TRANSPORT_OK)
    {
      rst_warning (LOG_DOMAIN, "readiness: address can't be used; exiting.");
      return false;
    }
  if (rst_cell_loop_start_page_server (jobd->loop, jobd->settings.metrics,
                                       serve_metrics, jobd)
      != RST_TRANSPORT_OK)
    {
      rst_warning (LOG_DOMAIN, "metrics: address can't be used; exiting.");
      return false;
    }
  return true;
}

int
main (int argc, char **argv)
{
  struct jobd jobd = { 0 };
  struct rst_cell_loop_config loop_config
      = { on_link_event, on_tick, &jobd, true, &jobd.settings.limits };
  struct rst_log_config log_config = { false, "info", true };
  int status;

  rst_jobd_settings_init (&jobd.settings);
  status
      = rst_program_configure (&rst_jobd_program, argc, argv, &jobd.settings);
  if (status >= 0)
    return status;
  rst_os_block_signals ();
  g_strlcpy (log_config.level, jobd.settings.log_level,
             sizeof log_config.level);
  rst_log_init (rst_jobd_program.name, &log_config);
  jobd.next_number = 1;
  jobd.pending_calls = g_hash_table_new_full (g_int64_hash, g_int64_equal,
                                              NULL, free_pending_call);
  jobd.loop = rst_cell_loop_create (&loop_config);
  jobd.client = rst_http_client_create (64, 0);
  if (jobd.loop == NULL || jobd.client == NULL)
    return EXIT_FAILURE;
  jobd.adapter = rst_adapter_create (jobd.client, jobd.settings.store, "");
  create_planner_client (&jobd);
  if (rst_cell_loop_listen (jobd.loop, NULL) != RST_TRANSPORT_OK
      || !start_servers (&jobd))
    return EXIT_FAILURE;
  rst_info (LOG_DOMAIN, "Started.", "name", jobd.settings.name, "listen",
            rst_http_server_address (jobd.caller_server));
  rst_cell_loop_watch_stop_signals (jobd.loop, begin_stop, &jobd);
  rst_cell_loop_run (jobd.loop);
  rst_http_server_destroy (jobd.caller_server);
  rst_info (LOG_DOMAIN, "Stopped.");
  /* Other threads may still post to the loop, so it is not destroyed. */
  _exit (EXIT_SUCCESS);
}
