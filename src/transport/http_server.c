#include "transport/http_server_private.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "rosemarystile.h"
#include "transport/transport.h"

/** Connections above the bound that are accepted so that others can be closed
    for them. */
#define EXCESS_CONNECTIONS 16

/** Receive buffer of a connection, in bytes.  The kernel holds up to twice as
    much for a connection that is not read, such as while its request waits for
    the answer; by default up to some MB. */
#define RECEIVE_BUFFER_BYTES 65536

/** First size of a body's buffer, in bytes. */
#define BODY_BUFFER_MIN_BYTES 512

/** Bytes that a request holds beside its path and its body. */
#define REQUEST_BYTES 256

/** How long rst_http_server_destroy() waits until clients have been sent their
    responses, in milliseconds. */
#define WRITE_TIMEOUT_MS 500

static const char closing_text[]
    = "{\"outcome\":\"not-run\",\"reason\":\"stopping\","
      "\"detail\":\"the process stops and takes no more requests\"}\n";

/* The server can't tell what became of a request that its handler has. */
static const char unknown_text[]
    = "{\"outcome\":\"unknown\",\"reason\":\"stopping\","
      "\"detail\":\"the process stopped before the answer came\"}\n";

static void
lock_budget (struct rst_http_server *server)
{
  pthread_mutex_lock (&server->budget->lock);
}

static void
unlock_budget (struct rst_http_server *server)
{
  pthread_mutex_unlock (&server->budget->lock);
}

static void
free_body (struct rst_http_request *request)
{
  g_free (request->body);
  request->body = NULL;
  request->body_length = 0;
  request->body_capacity = 0;
}

/* Closes a connection of any server that uses the budget.  Its memory is freed
   at once; its own server's thread notices the end of the connection.  Called
   with the budget's lock held. */
static void
evict_connection (struct rst_shared_budget *shared,
                  struct rst_body_holder *holder)
{
  struct connection *victim = (struct connection *)holder;

  G_STATIC_ASSERT (offsetof (struct connection, holder) == 0);
  rst_body_budget_evict (&shared->budget, holder);
  if (victim->reading != NULL)
    free_body (victim->reading);
  shutdown (victim->fd, SHUT_RDWR);
}

/* Counts bytes that a connection wants to hold, and closes others for them.
   Called with the budget's lock held. */
static bool
charge_bytes (struct rst_shared_budget *shared, struct connection *peer,
              size_t bytes)
{
  struct rst_body_holder *victim = NULL;

  for (;;)
    {
      switch (rst_body_budget_charge (&shared->budget, &peer->holder, bytes,
                                      &victim))
        {
        case RST_BODY_GRANTED:
          return true;
        case RST_BODY_EVICT:
          evict_connection (shared, victim);
          shared->budget.stats.closed_for_bytes++;
          rst_shared_budget_log (shared, "bodies exceed the budget");
          break;
        default:
          rst_shared_budget_log (shared, "no room for a body");
          return false;
        }
    }
}

/* The rest of the request is read and not kept.  Called with the budget's lock
   held. */
static void
discard_request (struct rst_http_request *request, enum request_state state)
{
  rst_body_budget_discard (&request->server->budget->budget,
                           &request->peer->holder);
  free_body (request);
  request->state = state;
}

static struct rst_http_request *
request_create (struct rst_http_server *server,
                struct MHD_Connection *connection, const char *method,
                const char *path)
{
  struct rst_http_request *request = g_new0 (struct rst_http_request, 1);

  request->server = server;
  request->connection = connection;
  request->peer = MHD_get_connection_info (connection,
                                           MHD_CONNECTION_INFO_SOCKET_CONTEXT)
                      ->socket_context;
  request->method = g_strdup (method);
  request->path = g_strdup (path);
  lock_budget (server);
  rst_body_budget_begin (&server->budget->budget, &request->peer->holder);
  if (charge_bytes (server->budget, request->peer,
                    REQUEST_BYTES + strlen (path)))
    request->peer->reading = request;
  else
    discard_request (request, REQUEST_NO_ROOM);
  unlock_budget (server);
  return request;
}

static void
request_free (struct rst_http_request *request)
{
  if (request->response != NULL)
    MHD_destroy_response (request->response);
  g_free (request->body);
  g_free (request->method);
  g_free (request->path);
  g_free (request);
}

/* Makes room for @size more bytes and a NUL.  Called with the budget's lock
   held. */
static bool
grow_body (struct rst_http_request *request, size_t size)
{
  size_t needed = request->body_length + size + 1;
  size_t capacity = MAX (request->body_capacity, BODY_BUFFER_MIN_BYTES);

  while (capacity < needed)
    capacity *= 2;
  if (capacity == request->body_capacity)
    return true;
  if (!charge_bytes (request->server->budget, request->peer,
                     capacity - request->body_capacity))
    return false;
  request->body = g_realloc (request->body, capacity);
  request->body_capacity = capacity;
  return true;
}

/* Keeps a part of the body.  Returns MHD_NO if the connection is to be closed.
 */
static enum MHD_Result
append_body (struct rst_http_request *request, const char *data, size_t *size)
{
  struct rst_http_server *server = request->server;
  bool is_closing;

  lock_budget (server);
  is_closing = request->peer->holder.phase == RST_BODY_CLOSING;
  if (!is_closing && request->state == REQUEST_READING)
    {
      if (request->body_length + *size > server->config.max_body_bytes)
        discard_request (request, REQUEST_TOO_LARGE);
      else if (!grow_body (request, *size))
        discard_request (request, REQUEST_NO_ROOM);
      else
        {
          memcpy (request->body + request->body_length, data, *size);
          request->body_length += *size;
          request->body[request->body_length] = '\0';
        }
    }
  unlock_budget (server);
  if (request->state != REQUEST_READING)
    request->discarded += *size;
  *size = 0;
  /* The rest of a body without an end is not worth reading. */
  return is_closing || request->discarded > 2 * server->config.max_body_bytes
             ? MHD_NO
             : MHD_YES;
}

static enum MHD_Result
reject_request (struct rst_http_request *request, unsigned status,
                const char *text, unsigned retry_after_s)
{
  request->response
      = rst_http_response_new (NULL, text, strlen (text), retry_after_s);
  if (atomic_load (&request->server->keep_alive_disabled))
    MHD_add_response_header (request->response, MHD_HTTP_HEADER_CONNECTION,
                             "close");
  return MHD_queue_response (request->connection, status, request->response);
}

/* Makes a request pending, unless the server is closing. */
static bool
add_pending (struct rst_http_server *server, struct rst_http_request *request)
{
  bool is_added;

  pthread_mutex_lock (&server->lock);
  is_added = !server->closing;
  if (is_added)
    {
      request->state = REQUEST_PENDING;
      request->is_dispatched = true;
      server->unwritten++;
      CK_LIST_INSERT_HEAD (&server->pending, request, list_entry);
    }
  pthread_mutex_unlock (&server->lock);
  return is_added;
}

static enum MHD_Result
dispatch_request (struct rst_http_request *request)
{
  struct rst_http_server *server = request->server;
  bool is_closing;

  lock_budget (server);
  request->peer->reading = NULL;
  is_closing = request->peer->holder.phase == RST_BODY_CLOSING;
  rst_body_budget_complete (&server->budget->budget, &request->peer->holder);
  unlock_budget (server);
  if (is_closing)
    return MHD_NO;
  request->fd = request->peer->fd;
  if (!add_pending (server, request))
    return reject_request (request, 503, closing_text, RST_HTTP_RETRY_AT_ONCE);
  MHD_suspend_connection (request->connection);
  server->config.handler (request, server->config.userdata);
  return MHD_YES;
}

static enum MHD_Result
handle_access (void *userdata, struct MHD_Connection *connection,
               const char *url, const char *method, const char *version,
               const char *data, size_t *size, void **context)
{
  struct rst_http_request *request = *context;

  (void)version;
  if (request == NULL)
    {
      *context = request_create (userdata, connection, method, url);
      return MHD_YES;
    }
  if (*size > 0)
    return append_body (request, data, size);
  switch ((enum request_state)atomic_load (&request->state))
    {
    case REQUEST_TOO_LARGE:
      return reject_request (
          request, 413,
          "{\"outcome\":\"not-run\",\"reason\":\"too-large\","
          "\"detail\":\"body: exceeds the bound on its size\"}\n",
          0);
    case REQUEST_NO_ROOM:
      return reject_request (request, 503, rst_http_no_room_text,
                             RST_HTTP_NO_ROOM_RETRY_S);
    case REQUEST_READING:
      return dispatch_request (request);
    case REQUEST_REPLIED:
      if (request->aborted)
        return MHD_NO;
      return MHD_queue_response (connection, request->status,
                                 request->response);
    default:
      return MHD_YES;
    }
}

static void
note_written (struct rst_http_server *server)
{
  pthread_mutex_lock (&server->lock);
  server->unwritten--;
  if (server->unwritten == 0)
    pthread_cond_broadcast (&server->written);
  pthread_mutex_unlock (&server->lock);
}

static void
handle_completed (void *userdata, struct MHD_Connection *connection,
                  void **context, enum MHD_RequestTerminationCode code)
{
  struct rst_http_server *server = userdata;
  struct rst_http_request *request = *context;

  (void)connection;
  (void)code;
  *context = NULL;
  if (request == NULL)
    return;
  lock_budget (server);
  request->peer->reading = NULL;
  rst_body_budget_finish (&server->budget->budget, &request->peer->holder);
  unlock_budget (server);
  if (request->is_dispatched)
    note_written (server);
  request_free (request);
}

static void
add_connection (struct rst_http_server *server, struct connection *peer)
{
  struct rst_body_holder *excess;

  rst_shared_budget_open (server->budget, &server->group, &peer->holder);
  excess = rst_shared_budget_find_excess (
      server->budget, &server->group, &peer->holder, "too many connections");
  if (excess == NULL)
    return;
  lock_budget (server);
  evict_connection (server->budget, excess);
  unlock_budget (server);
}

static void
handle_connection (void *userdata, struct MHD_Connection *connection,
                   void **context, enum MHD_ConnectionNotificationCode code)
{
  struct rst_http_server *server = userdata;
  struct connection *peer = *context;

  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    {
      peer = g_new0 (struct connection, 1);
      peer->fd = MHD_get_connection_info (connection,
                                          MHD_CONNECTION_INFO_CONNECTION_FD)
                     ->connect_fd;
      *context = peer;
      add_connection (server, peer);
      return;
    }
  /* The library closes the socket after this call, so that no other
     connection's descriptor is shut down for this one. */
  rst_shared_budget_close (server->budget, &peer->holder);
  *context = NULL;
  g_free (peer);
}

static void
set_bound_address (struct rst_http_server *server,
                   struct sockaddr_in bound_address)
{
  const union MHD_DaemonInfo *info
      = MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_BIND_PORT);

  bound_address.sin_port = htons (info->port);
  rst_transport_format_address (&bound_address, server->address,
                                sizeof server->address);
}

static void
limit_receive_buffers (const struct rst_http_server *server)
{
  const union MHD_DaemonInfo *info
      = MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_LISTEN_FD);
  int bytes = RECEIVE_BUFFER_BYTES;

  /* Accepted sockets inherit it. */
  setsockopt (info->listen_fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
}

static void
init_lock (struct rst_http_server *server)
{
  pthread_condattr_t attributes;

  pthread_mutex_init (&server->lock, NULL);
  pthread_condattr_init (&attributes);
  pthread_condattr_setclock (&attributes, CLOCK_MONOTONIC);
  pthread_cond_init (&server->written, &attributes);
  pthread_condattr_destroy (&attributes);
}

int
rst_http_server_create (const struct rst_http_server_config *config,
                        struct rst_http_server **out)
{
  struct rst_http_server *server = g_new0 (struct rst_http_server, 1);
  struct sockaddr_in address;
  /* The library's default is used for 0. */
  size_t connection_bytes
      = config->connection_bytes > 0 ? config->connection_bytes : 32 * 1024;

  server->config = *config;
  if (config->budget == NULL)
    server->own_budget = rst_shared_budget_create (SIZE_MAX);
  server->budget
      = config->budget != NULL ? config->budget : server->own_budget;
  rst_body_group_init (&server->group, config->max_connections);
  CK_LIST_INIT (&server->pending);
  init_lock (server);
  server->quiesced_fd = -1;
  if (!rst_transport_parse_address (config->address, &address))
    goto fail;
  server->daemon = MHD_start_daemon (
      MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
      handle_access, server, MHD_OPTION_SOCK_ADDR, &address,
      MHD_OPTION_CONNECTION_LIMIT,
      config->max_connections + EXCESS_CONNECTIONS,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, connection_bytes,
      MHD_OPTION_PER_IP_CONNECTION_LIMIT, config->max_connections_per_ip,
      MHD_OPTION_CONNECTION_TIMEOUT, config->idle_timeout_s,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_NOTIFY_COMPLETED,
      handle_completed, server, MHD_OPTION_NOTIFY_CONNECTION,
      handle_connection, server, MHD_OPTION_END);
  if (server->daemon == NULL)
    goto fail;
  limit_receive_buffers (server);
  set_bound_address (server, address);
  *out = server;
  return RST_TRANSPORT_OK;

fail:
  rst_shared_budget_destroy (server->own_budget);
  pthread_cond_destroy (&server->written);
  pthread_mutex_destroy (&server->lock);
  g_free (server);
  return RST_TRANSPORT_BAD_ADDRESS;
}

const char *
rst_http_server_address (const struct rst_http_server *server)
{
  return server->address;
}

void
rst_http_server_close (struct rst_http_server *server)
{
  bool was_closing;

  pthread_mutex_lock (&server->lock);
  was_closing = server->closing;
  server->closing = true;
  pthread_mutex_unlock (&server->lock);
  if (was_closing)
    return;
  rst_http_server_disable_keep_alive (server);
  server->quiesced_fd = MHD_quiesce_daemon (server->daemon);
  /* The library's thread may still use the socket, so it is closed later. */
  if (server->quiesced_fd >= 0)
    shutdown (server->quiesced_fd, SHUT_RDWR);
}

unsigned
rst_http_server_count_unwritten (struct rst_http_server *server)
{
  unsigned count;

  pthread_mutex_lock (&server->lock);
  count = server->unwritten;
  pthread_mutex_unlock (&server->lock);
  return count;
}

/* Replies to the requests that the server's owner has left without a reply. */
static void
reply_unknown (struct rst_http_server *server)
{
  struct rst_http_request *request;

  for (;;)
    {
      pthread_mutex_lock (&server->lock);
      request = CK_LIST_FIRST (&server->pending);
      pthread_mutex_unlock (&server->lock);
      if (request == NULL)
        return;
      rst_http_request_reply (request, 504, NULL, unknown_text,
                              strlen (unknown_text), 0);
    }
}

static void
wait_until_written (struct rst_http_server *server)
{
  struct timespec deadline;
  int status = 0;

  clock_gettime (CLOCK_MONOTONIC, &deadline);
  deadline.tv_nsec += WRITE_TIMEOUT_MS * 1000000L;
  deadline.tv_sec += deadline.tv_nsec / 1000000000L;
  deadline.tv_nsec %= 1000000000L;
  pthread_mutex_lock (&server->lock);
  while (server->unwritten > 0 && status == 0)
    status
        = pthread_cond_timedwait (&server->written, &server->lock, &deadline);
  pthread_mutex_unlock (&server->lock);
}

void
rst_http_server_destroy (struct rst_http_server *server)
{
  if (server == NULL)
    return;
  rst_http_server_close (server);
  reply_unknown (server);
  wait_until_written (server);
  MHD_stop_daemon (server->daemon);
  if (server->quiesced_fd >= 0)
    close (server->quiesced_fd);
  rst_shared_budget_destroy (server->own_budget);
  pthread_cond_destroy (&server->written);
  pthread_mutex_destroy (&server->lock);
  g_free (server);
}

void
rst_http_server_disable_keep_alive (struct rst_http_server *server)
{
  atomic_store (&server->keep_alive_disabled, true);
}

bool
rst_http_request_keep (struct rst_http_request *request, size_t bytes)
{
  struct rst_http_server *server = request->server;

  lock_budget (server);
  rst_body_budget_release (&server->budget->budget, &request->peer->holder,
                           request->body_capacity);
  unlock_budget (server);
  free_body (request);
  return rst_http_request_hold (request, bytes);
}

bool
rst_http_request_hold (struct rst_http_request *request, size_t bytes)
{
  struct rst_http_server *server = request->server;
  bool has_room;

  lock_budget (server);
  has_room = charge_bytes (server->budget, request->peer, bytes);
  unlock_budget (server);
  return has_room;
}
