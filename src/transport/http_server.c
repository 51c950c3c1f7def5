#include "transport/http_server.h"

#include <arpa/inet.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#include <ck_queue.h>
#include <glib.h>
#include <microhttpd.h>

#include "rosemarystile.h"
#include "transport/transport.h"

enum request_state
{
  REQUEST_READING,
  REQUEST_TOO_LARGE,
  REQUEST_PENDING,
  REQUEST_REPLIED,
};

struct rst_http_request
{
  struct rst_http_server *server;
  struct MHD_Connection *connection;
  /* The connection's socket; set once the request is pending. */
  int fd;
  /* A value of enum request_state.  Set by the thread that replies and read
     by the server's thread. */
  atomic_int state;
  char *method;
  char *path;
  GString *body;
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
  pthread_mutex_t lock;
  CK_LIST_HEAD (request_list, rst_http_request) pending;
};

static struct rst_http_request *
request_create (struct rst_http_server *server,
                struct MHD_Connection *connection, const char *method,
                const char *path)
{
  struct rst_http_request *request = g_new0 (struct rst_http_request, 1);

  request->server = server;
  request->connection = connection;
  request->method = g_strdup (method);
  request->path = g_strdup (path);
  request->body = g_string_new (NULL);
  return request;
}

static void
request_free (struct rst_http_request *request)
{
  if (request->response != NULL)
    MHD_destroy_response (request->response);
  g_string_free (request->body, TRUE);
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

static enum MHD_Result
append_body (struct rst_http_request *request, const char *data, size_t *size)
{
  if (request->body->len + *size > request->server->config.max_body_bytes)
    {
      request->state = REQUEST_TOO_LARGE;
      g_string_truncate (request->body, 0);
    }
  if (request->state == REQUEST_READING)
    g_string_append_len (request->body, data, (gssize)*size);
  *size = 0;
  return MHD_YES;
}

static enum MHD_Result
reject_too_large (struct rst_http_request *request)
{
  static const char text[]
      = "{\"outcome\":\"not-run\",\"reason\":\"too-large\","
        "\"detail\":\"body: exceeds the bound on its size\"}\n";

  request->response = make_response (NULL, text, sizeof text - 1, 0);
  return MHD_queue_response (request->connection, 413, request->response);
}

static enum MHD_Result
dispatch_request (struct rst_http_request *request)
{
  struct rst_http_server *server = request->server;

  request->state = REQUEST_PENDING;
  request->fd = MHD_get_connection_info (request->connection,
                                         MHD_CONNECTION_INFO_CONNECTION_FD)
                    ->connect_fd;
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
      return reject_too_large (request);
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
  struct rst_http_request *request = *context;

  (void)userdata;
  (void)connection;
  (void)code;
  *context = NULL;
  if (request != NULL)
    request_free (request);
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

int
rst_http_server_create (const struct rst_http_server_config *config,
                        struct rst_http_server **out)
{
  struct rst_http_server *server = g_new0 (struct rst_http_server, 1);
  struct sockaddr_in address;

  server->config = *config;
  CK_LIST_INIT (&server->pending);
  pthread_mutex_init (&server->lock, NULL);
  if (!rst_transport_parse_address (config->address, &address))
    goto fail;
  server->daemon = MHD_start_daemon (
      MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
      handle_access, server, MHD_OPTION_SOCK_ADDR, &address,
      MHD_OPTION_CONNECTION_LIMIT, config->max_connections,
      MHD_OPTION_PER_IP_CONNECTION_LIMIT, config->max_connections_per_ip,
      MHD_OPTION_CONNECTION_TIMEOUT, config->idle_timeout_s,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_NOTIFY_COMPLETED,
      handle_completed, NULL, MHD_OPTION_END);
  if (server->daemon == NULL)
    goto fail;
  set_bound_address (server, address);
  *out = server;
  return RST_TRANSPORT_OK;

fail:
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
    *length = request->body->len;
  return request->body->str;
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
rst_http_request_abort (struct rst_http_request *request)
{
  request->aborted = true;
  resume_request (request);
}
