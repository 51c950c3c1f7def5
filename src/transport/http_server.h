/**
 * DOC: http_server - HTTP/1.1 server with deferred replies
 *
 * One thread of libmicrohttpd serves each server.  A request is handed over
 * once its body is whole, and may be replied to later from any thread.
 */
#ifndef RST_HTTP_SERVER_H
#define RST_HTTP_SERVER_H

#include <stdbool.h>
#include <stddef.h>

struct rst_http_server;
struct rst_http_request;

/**
 * typedef rst_http_handler - Receives a whole request.
 *
 * Called on the server's thread.  The handler must see to exactly one
 * rst_http_request_reply() for the request.
 */
typedef void (*rst_http_handler) (struct rst_http_request *request,
                                  void *userdata);

/**
 * struct rst_http_server_config - How a server is set up.
 * @address: "IP:PORT"; port 0 lets the kernel choose.
 * @max_body_bytes: Bound on a request's body in bytes; larger ones get 413.
 * @max_connections: Bound on open connections.
 * @max_connections_per_ip: Bound on connections from one IP number; 0 for
 * none.
 * @idle_timeout_s: Idle time in seconds after which a connection is closed.
 * @handler: Receives the requests.
 * @userdata: Passed to @handler.
 */
struct rst_http_server_config
{
  const char *address;
  size_t max_body_bytes;
  unsigned max_connections;
  unsigned max_connections_per_ip;
  unsigned idle_timeout_s;
  rst_http_handler handler;
  void *userdata;
};

/**
 * rst_http_server_create() - Starts a server.
 * @config: How it is set up; strings are copied.
 * @out: Receives the server.
 *
 * Return: RST_TRANSPORT_OK or RST_TRANSPORT_BAD_ADDRESS.
 */
int rst_http_server_create (const struct rst_http_server_config *config,
                            struct rst_http_server **out);

/**
 * rst_http_server_address() - The address in use, with the real port.
 * @server: The server.
 */
const char *rst_http_server_address (const struct rst_http_server *server);

/**
 * rst_http_server_destroy() - Stops a server.
 * @server: The server, or NULL.
 *
 * Requests without a reply get 503; nobody may reply to them afterwards.
 */
void rst_http_server_destroy (struct rst_http_server *server);

/**
 * rst_http_server_disable_keep_alive() - Lets connections end at a planned
 * stop.
 * @server: The server.
 *
 * Each answer from now on tells its caller that the connection closes.
 */
void rst_http_server_disable_keep_alive (struct rst_http_server *server);

/** rst_http_request_method() - The request's method, such as "GET". */
const char *rst_http_request_method (const struct rst_http_request *request);

/** rst_http_request_path() - The request's path, without the query. */
const char *rst_http_request_path (const struct rst_http_request *request);

/** rst_http_request_header() - A header's value, or NULL. */
const char *rst_http_request_header (const struct rst_http_request *request,
                                     const char *name);

/** rst_http_request_query() - A query argument's value, or NULL. */
const char *rst_http_request_query (const struct rst_http_request *request,
                                    const char *name);

/** rst_http_request_body() - The body, with a NUL after its @length bytes. */
const char *rst_http_request_body (const struct rst_http_request *request,
                                   size_t *length);

/**
 * rst_http_request_reply() - Answers a request, from any thread.
 * @request: The request; not to be used afterwards.
 * @status: HTTP status.
 * @content_type: Content type, or NULL for JSON.
 * @body: The body, copied.
 * @length: Its length in bytes.
 * @retry_after_s: Value of Retry-After in seconds; 0 for none.
 */
void rst_http_request_reply (struct rst_http_request *request, unsigned status,
                             const char *content_type, const void *body,
                             size_t length, unsigned retry_after_s);

/**
 * rst_http_request_reply_json() - Answers with a string as JSON.
 * @request: The request; not to be used afterwards.
 * @status: HTTP status.
 * @text: The body, copied.
 */
void rst_http_request_reply_json (struct rst_http_request *request,
                                  unsigned status, const char *text);

/**
 * rst_http_request_abort() - Closes the connection without an answer.
 * @request: The request; not to be used afterwards.
 */
void rst_http_request_abort (struct rst_http_request *request);

#endif
