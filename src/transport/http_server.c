#include "transport/http_server.h"

#include <arpa/inet.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <ck_queue.h>
#include <glib.h>
#include <microhttpd.h>

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

static const char no_room_text[]
    = "{\"outcome\":\"not-run\",\"reason\":\"no-room\","
      "\"detail\":\"too many bodies are read or wait\"}\n";

enum request_state
{
  REQUEST_READING,
  REQUEST_TOO_LARGE,
  REQUEST_NO_ROOM,
  REQUEST_PENDING,
  REQUEST_REPLIED,
};

/* An open connection. */
struct connection
{
  struct rst_body_holder holder;
  int fd;
  /* The request whose body is read, which is freed when the connection has to
     make room; or NULL.  Protected by the budget's lock. */
  struct rst_http_request *reading;
};

struct rst_http_request
{
  struct rst_http_server *server;
  struct MHD_Connection *connection;
  struct connection *peer;
  /* The connection's socket; set once the request is pending. */
  int fd;
  /* A value of enum request_state.  Set by the thread that replies and read
     by the server's thread. */
  atomic_int state;
  char *method;
  char *path;
  /* NUL-terminated; NULL if the request has no body. */
  char *body;
  size_t body_length;
  size_t body_capacity;
  /* Bytes that were received and not kept. */
  size_t discarded;
  struct MHD_Response *response;
  unsigned status;
  bool aborted;
  /* The connection is closed after the reply. */
  bool closes_connection;
  CK_LIST_ENTRY (rst_http_request) list_entry;
};

struct rst_http_server
{
  struct MHD_Daemon *daemon;
  struct rst_http_server_config config;
  char address[RST_ADDRESS_SIZE];
  atomic_bool keep_alive_disabled;
  /* The configured budget, or one without a bound. */
  struct rst_shared_budget *budget;
  struct rst_shared_budget *own_budget;
  struct rst_body_group group;
  pthread_mutex_t lock;
  CK_LIST_HEAD (request_list, rst_http_request) pending;
};

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

static struct MHD_Response *
make_response (const char *content_type, const void *body, size_t length,
               unsigned retry_after_s)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      length, (void *)body, MHD_RESPMEM_MUST_COPY);
  char seconds[16];

  MHD_add_response_header (response, "Content-Type",
                           content_type != NULL ? content_type
                                                : "application/json");
  if (retry_after_s > 0)
    {
      g_snprintf (seconds, sizeof seconds, "%u", retry_after_s);
      MHD_add_response_header (response, "Retry-After", seconds);
    }
  return response;
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
  request->response = make_response (NULL, text, strlen (text), retry_after_s);
  return MHD_queue_response (request->connection, status, request->response);
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
  request->state = REQUEST_PENDING;
  request->fd = request->peer->fd;
  pthread_mutex_lock (&server->lock);
  CK_LIST_INSERT_HEAD (&server->pending, request, list_entry);
  pthread_mutex_unlock (&server->lock);
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
      return reject_request (request, 503, no_room_text,
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
  pthread_mutex_init (&server->lock, NULL);
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
rst_http_server_destroy (struct rst_http_server *server)
{
  static const char text[]
      = "{\"outcome\":\"unknown\",\"reason\":\"stopping\","
        "\"detail\":\"the process stopped before the answer came\"}\n";
  struct rst_http_request *request;

  if (server == NULL)
    return;
  MHD_quiesce_daemon (server->daemon);
  for (;;)
    {
      pthread_mutex_lock (&server->lock);
      request = CK_LIST_FIRST (&server->pending);
      pthread_mutex_unlock (&server->lock);
      if (request == NULL)
        break;
      rst_http_request_reply (request, 503, NULL, text, sizeof text - 1, 1);
    }
  MHD_stop_daemon (server->daemon);
  rst_shared_budget_destroy (server->own_budget);
  pthread_mutex_destroy (&server->lock);
  g_free (server);
}

void
rst_http_server_disable_keep_alive (struct rst_http_server *server)
{
  atomic_store (&server->keep_alive_disabled, true);
}

const char *
rst_http_request_method (const struct rst_http_request *request)
{
  return request->method;
}

const char *
rst_http_request_path (const struct rst_http_request *request)
{
  return request->path;
}

const char *
rst_http_request_header (const struct rst_http_request *request,
                         const char *name)
{
  return MHD_lookup_connection_value (request->connection, MHD_HEADER_KIND,
                                      name);
}

const char *
rst_http_request_query (const struct rst_http_request *request,
                        const char *name)
{
  return MHD_lookup_connection_value (request->connection,
                                      MHD_GET_ARGUMENT_KIND, name);
}

const char *
rst_http_request_body (const struct rst_http_request *request, size_t *length)
{
  if (length != NULL)
    *length = request->body_length;
  return request->body != NULL ? request->body : "";
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

bool
rst_http_request_client_has_left (const struct rst_http_request *request)
{
  struct pollfd descriptor = { request->fd, POLLRDHUP, 0 };

  return poll (&descriptor, 1, 0) > 0
         && (descriptor.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

static void
resume_request (struct rst_http_request *request)
{
  struct rst_http_server *server = request->server;

  pthread_mutex_lock (&server->lock);
  CK_LIST_REMOVE (request, list_entry);
  pthread_mutex_unlock (&server->lock);
  request->state = REQUEST_REPLIED;
  MHD_resume_connection (request->connection);
}

void
rst_http_request_reply (struct rst_http_request *request, unsigned status,
                        const char *content_type, const void *body,
                        size_t length, unsigned retry_after_s)
{
  request->response
      = make_response (content_type, body, length, retry_after_s);
  if (request->closes_connection
      || atomic_load (&request->server->keep_alive_disabled))
    MHD_add_response_header (request->response, MHD_HTTP_HEADER_CONNECTION,
                             "close");
  request->status = status;
  resume_request (request);
}

void
rst_http_request_close_connection (struct rst_http_request *request)
{
  request->closes_connection = true;
}

void
rst_http_request_reply_json (struct rst_http_request *request, unsigned status,
                             const char *text)
{
  rst_http_request_reply (request, status, NULL, text, strlen (text), 0);
}

void
rst_http_request_reply_no_room (struct rst_http_request *request)
{
  rst_http_request_reply (request, 503, NULL, no_room_text,
                          strlen (no_room_text), RST_HTTP_NO_ROOM_RETRY_S);
}

void
rst_http_request_abort (struct rst_http_request *request)
{
  request->aborted = true;
  resume_request (request);
}
