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
#include "daemon/jobd_calls.h"
#include "daemon/jobd_settings.h"
#include "transport/http_client.h"
#include "transport/http_server.h"
#include "transport/transport.h"
#include "util/os.h"
#include "util/program.h"

#define LOG_DOMAIN "jobd"

/** Deadline of a request that does not set one, in milliseconds. */
#define DEFAULT_DEADLINE_MS 3000

/** Maximum number of calls without an answer; more are rejected. */
#define PENDING_CALLS_MAX 2000

/** Largest body of a readiness probe, which needs none; in bytes. */
#define READINESS_BODY_MAX_BYTES 1024

/** How long a stopping process still serves callers while it reports that it
    is not ready, in milliseconds.  The load balancer checks once a second and
    removes a process after two failed checks. */
#define STOP_LINGER_MS 3000

/** How long a stopping process waits for the answers to its calls, in
    milliseconds: all but the last sixth of the time until it is killed. */
#define STOP_TIMEOUT_MS 5000

/** How long a stopping process then waits until its callers have been sent
    their answers, in milliseconds. */
#define CLOSE_TIMEOUT_MS 500

/** Time between two checks of the deadlines of pending calls, in milliseconds.
 */
#define DEADLINE_CHECK_INTERVAL_MS 50

/** Time between two checks whether callers have been sent their answers, in
    milliseconds. */
#define WRITTEN_CHECK_INTERVAL_MS 5

/** Longest time between two evaluations of the planner's state, in
    milliseconds; below RST_ENTRY_GAP_MAX_MS. */
#define STATE_CHECK_INTERVAL_MS 100

struct jobd
{
  struct rst_jobd_settings settings;
  struct rst_cell_loop *loop;
  struct rst_http_client *client;
  struct rst_adapter *adapter;
  struct rst_planner_client *planner_client;
  struct rst_http_server *caller_server;
  struct rst_http_server *readiness_server;
  struct rst_jobd_calls *calls;
  struct rst_call_stats stats;
  atomic_bool ready;
  /* What is known of the planner, and the last decision made from it. */
  struct rst_entry_state entry_state;
  enum rst_entry_action action;
  bool stopping;
  rst_ms linger_until;
  rst_ms stop_deadline;
  /* Whether all calls have been answered and new ones are rejected. */
  bool closing;
  rst_ms close_deadline;
  rst_ms next_deadline_check;
};

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

/* Replies to a call with an error, and logs it. */
static void
reject_call (struct jobd *jobd, struct pending_call *call, unsigned status,
             const char *reason, unsigned retry_s)
{
  rst_jobd_calls_reject (jobd->calls, call, status, reason, retry_s);
}

/* Why a submission must not be sent to the planner, or NULL.  Its caller may
   have cancelled the job at another entry instance and must not find it
   accepted afterwards.  A caller that waits no longer learns of no acceptance
   in any case. */
static const char *
find_objection (const struct pending_call *call)
{
  if (rst_os_now () >= call->answer_deadline + RST_JOBD_DEADLINE_MARGIN_MS)
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
forward_call (void *userdata, struct pending_call *call)
{
  struct jobd *jobd = userdata;
  const char *objection = NULL;

  if (jobd->action != RST_ENTRY_SEND || call->sent)
    return;
  if (call->operation == RST_OPERATION_SUBMIT)
    objection = find_objection (call);
  if (objection != NULL)
    reject_call (jobd, call, 503, objection, 1);
  else if (call->operation == RST_OPERATION_SUBMIT)
    call->sent = send_submission (jobd, call);
  else
    call->sent = rst_planner_client_send (jobd->planner_client,
                                          call->frame->data, call->frame->len);
}

/* Decides what to do with calls, and does it with those that wait. */
static void
update_action (struct jobd *jobd)
{
  rst_ms now = rst_os_now ();
  enum rst_entry_action previous = jobd->action;

  rst_entry_state_run (&jobd->entry_state, now);
  jobd->action = rst_entry_state_decide (&jobd->entry_state, now);
  /* While there is no planner the load balancer should send callers to other
     instances. */
  atomic_store (&jobd->ready,
                jobd->action == RST_ENTRY_SEND && !jobd->stopping);
  rst_jobd_calls_set_closing (jobd->calls, jobd->action == RST_ENTRY_REJECT);
  if (jobd->action == previous)
    return;
  if (jobd->action == RST_ENTRY_SEND)
    rst_info (LOG_DOMAIN, "Planner is ready; serving callers.");
  else if (jobd->action == RST_ENTRY_WAIT
           && rst_entry_state_is_silent (&jobd->entry_state, now))
    {
      char silent_ms[24];

      g_snprintf (silent_ms, sizeof silent_ms, "%lld",
                  (long long)(now - jobd->entry_state.heard_at));
      jobd->stats.silent_links++;
      rst_info (LOG_DOMAIN, "Planner is silent; calls wait.", "silent_ms",
                silent_ms);
    }
  else if (jobd->action == RST_ENTRY_REJECT)
    {
      rst_info (LOG_DOMAIN, "No planner serves; calls are rejected at once.",
                "why",
                jobd->entry_state.withdrawn ? "the planner is isolated"
                                            : "no planner");
      rst_jobd_calls_expire (jobd->calls, now, jobd->action);
    }
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

  if (!read_operation (request, &operation))
    {
      send_error (request, 405, "method: must be GET, POST or DELETE", 0);
      return;
    }
  if (jobd->closing)
    {
      reject_call (jobd, rst_jobd_calls_add (jobd->calls, request, operation),
                   503, "stopping", RST_HTTP_RETRY_AT_ONCE);
      return;
    }
  update_action (jobd);
  if (jobd->action == RST_ENTRY_REJECT)
    {
      jobd->stats.rejected_at_once++;
      reject_call (jobd, rst_jobd_calls_add (jobd->calls, request, operation),
                   503, "no planner", 1);
      return;
    }
  if (rst_jobd_calls_count (jobd->calls) >= PENDING_CALLS_MAX)
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
  call = rst_jobd_calls_add (jobd->calls, request, operation);
  /* Other calls may be carried out late. */
  call->sent_after = operation == RST_OPERATION_SUBMIT
                         ? rst_cell_loop_date_request (jobd->loop)
                         : call->received_at;
  call->answer_deadline = call->sent_after + get_caller_wait_ms (request)
                          - RST_JOBD_DEADLINE_MARGIN_MS;
  pack_call (call, desc);
  rst_jobdesc_destroy (desc);
  /* The call's frame has all of it that is needed. */
  if (!rst_http_request_keep (request, sizeof *call + call->frame->len))
    {
      reject_call (jobd, call, 503, "no room for the call", 1);
      return;
    }
  forward_call (jobd, call);
}

static void
serve_metrics (struct rst_http_request *request, void *userdata)
{
  struct jobd *jobd = userdata;
  char *page;

  rst_cell_loop_read_limit_stats (jobd->loop, &jobd->stats.limits);
  page = rst_call_metrics_format_page (&jobd->stats,
                                       rst_jobd_calls_count (jobd->calls),
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
on_message (void *userdata, int kind, struct rst_reader *reader)
{
  if (kind == RST_MSG_REPLY)
    rst_jobd_calls_handle_reply (((struct jobd *)userdata)->calls, reader);
}

static void
on_connected (void *userdata, bool serving)
{
  struct jobd *jobd = userdata;

  rst_entry_state_welcome (&jobd->entry_state, rst_os_now (), serving);
  update_action (jobd);
  rst_jobd_calls_foreach (jobd->calls, forward_call, jobd);
}

static void
on_disconnected (void *userdata)
{
  struct jobd *jobd = userdata;

  rst_info (LOG_DOMAIN,
            "Link to the planner lost; callers wait for the next planner.");
  rst_entry_state_link_lost (&jobd->entry_state, rst_os_now ());
  rst_jobd_calls_link_lost (jobd->calls);
  update_action (jobd);
}

static void
on_heartbeat (void *userdata, const struct rst_heartbeat *heartbeat)
{
  struct jobd *jobd = userdata;

  rst_entry_state_heartbeat (&jobd->entry_state, rst_os_now (),
                             heartbeat->sent_at);
  if (jobd->action == RST_ENTRY_SEND)
    return;
  update_action (jobd);
  rst_jobd_calls_foreach (jobd->calls, forward_call, jobd);
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

static void
reject_stopping_call (void *userdata, struct pending_call *call)
{
  reject_call (userdata, call, 503, "stopping", RST_HTTP_RETRY_AT_ONCE);
}

/* Answers all calls.  Their callers may repeat them at once, at other entry
   instances. */
static void
begin_close (struct jobd *jobd, rst_ms now)
{
  char calls[16];

  g_snprintf (calls, sizeof calls, "%u", rst_jobd_calls_count (jobd->calls));
  rst_info (LOG_DOMAIN, "Planned stop: no more calls are taken.",
            "calls_without_answer", calls);
  jobd->closing = true;
  jobd->close_deadline = now + CLOSE_TIMEOUT_MS;
  rst_http_server_close (jobd->caller_server);
  rst_jobd_calls_foreach (jobd->calls, reject_stopping_call, jobd);
}

/* Advances the planned stop.  Returns when to do so again at the latest. */
static rst_ms
run_stop (struct jobd *jobd, rst_ms now)
{
  bool has_pending_calls = rst_jobd_calls_count (jobd->calls) > 0;

  if (!jobd->closing
      && ((now >= jobd->linger_until && !has_pending_calls)
          || now >= jobd->stop_deadline))
    begin_close (jobd, now);
  if (jobd->closing
      && (rst_http_server_count_unwritten (jobd->caller_server) == 0
          || now >= jobd->close_deadline))
    rst_cell_loop_stop (jobd->loop);
  return now
         + (jobd->closing ? WRITTEN_CHECK_INTERVAL_MS
                          : DEADLINE_CHECK_INTERVAL_MS);
}

static rst_ms
on_tick (void *userdata)
{
  struct jobd *jobd = userdata;
  rst_ms now = rst_os_now ();
  rst_ms wake = rst_planner_client_run (jobd->planner_client);
  rst_ms next_change;
  rst_ms next_check = now + STATE_CHECK_INTERVAL_MS;
  bool has_pending_calls;

  update_action (jobd);
  next_change = rst_entry_state_next_change (&jobd->entry_state, now);
  if (next_change != 0)
    next_check = MIN (next_check, next_change);
  wake = MIN (wake, next_check);
  has_pending_calls = rst_jobd_calls_count (jobd->calls) > 0;
  if (has_pending_calls && now >= jobd->next_deadline_check)
    {
      jobd->next_deadline_check = now + DEADLINE_CHECK_INTERVAL_MS;
      rst_jobd_calls_expire (jobd->calls, now, jobd->action);
    }
  if (has_pending_calls)
    wake = MIN (wake, jobd->next_deadline_check);
  return jobd->stopping ? MIN (wake, run_stop (jobd, now)) : wake;
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
  /* Callers that use the whole budget must not make the probe fail. */
  config.budget = NULL;
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

static void
log_stopped (const struct jobd *jobd)
{
  char unwritten[16];

  g_snprintf (unwritten, sizeof unwritten, "%u",
              rst_http_server_count_unwritten (jobd->caller_server));
  rst_info (LOG_DOMAIN, "Stopped.", "answers_not_sent", unwritten);
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
  jobd.calls = rst_jobd_calls_create (&jobd.stats);
  rst_entry_state_init (&jobd.entry_state, rst_os_now ());
  jobd.action = RST_ENTRY_WAIT;
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
            rst_http_server_address (jobd.caller_server), "readiness",
            rst_http_server_address (jobd.readiness_server));
  rst_cell_loop_watch_stop_signals (jobd.loop, begin_stop, &jobd);
  rst_cell_loop_run (jobd.loop);
  log_stopped (&jobd);
  /* Other threads may still post to the loop, so it is not destroyed, and
     neither are the servers. */
  _exit (EXIT_SUCCESS);
}
