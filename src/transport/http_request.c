/* Requests of the HTTP server, and the responses to them. */
#include "transport/http_server_private.h"

#include <poll.h>
#include <string.h>

const char rst_http_no_room_text[]
    = "{\"outcome\":\"not-run\",\"reason\":\"no-room\","
      "\"detail\":\"too many bodies are read or wait\"}\n";

struct MHD_Response *
rst_http_response_new (const char *content_type, const void *body,
                       size_t length, unsigned retry_after_s)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      length, (void *)body, MHD_RESPMEM_MUST_COPY);
  char seconds[16];

  MHD_add_response_header (response, "Content-Type",
                           content_type != NULL ? content_type
                                                : "application/json");
  if (retry_after_s > 0)
    {
      g_snprintf (seconds, sizeof seconds, "%u",
                  retry_after_s == RST_HTTP_RETRY_AT_ONCE ? 0 : retry_after_s);
      MHD_add_response_header (response, "Retry-After", seconds);
    }
  return response;
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
      = rst_http_response_new (content_type, body, length, retry_after_s);
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
  rst_http_request_reply (request, 503, NULL, rst_http_no_room_text,
                          strlen (rst_http_no_room_text),
                          RST_HTTP_NO_ROOM_RETRY_S);
}

void
rst_http_request_abort (struct rst_http_request *request)
{
  request->aborted = true;
  resume_request (request);
}
