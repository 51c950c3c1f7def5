/**
 * DOC: http_server - HTTP/1.1 server with deferred replies
 *
 * Each server runs one libmicrohttpd thread.  The handler receives a request
 * once its body is complete; any thread may reply to it later.
 */
#ifndef RST_HTTP_SERVER_H
#define RST_HTTP_SERVER_H

#include <limits.h>
#include <stdbool.h>
#include <stddef.h>

#include "transport/shared_budget.h"

struct rst_http_server;
struct rst_http_request;

/** Value of Retry-After of a request for which there is no room, in seconds.
    Requests hold what they have until their caller's deadline, usually 3 s. */
#define RST_HTTP_NO_ROOM_RETRY_S 1

/** Value of retry_after_s for a request that may be repeated at once: the
    response says "Retry-After: 0". */
#define RST_HTTP_RETRY_AT_ONCE UINT_MAX

/**
 * typedef rst_http_handler - Handles a request whose body is complete.
 * @request: The request, valid until it is replied to or aborted.
 * @userdata: From the configuration.
 *
 * Called on the server's thread.  Each request needs exactly one call of
 * rst_http_request_reply(), rst_http_request_reply_json() or
 * rst_http_request_abort(), during the callback or later.
 */
typedef void (*rst_http_handler) (struct rst_http_request *request,
                                  void *userdata);

/**
 * struct rst_http_server_config - Configuration of a server.
 * @address: Listening address "IP:PORT"; port 0 lets the kernel choose.
 * @max_body_bytes: Maximum size of a request body; larger ones are rejected
 *   with status 413.
 * @max_connections: Maximum number of open connections.  When there are more,
 *   the one that has been idle or incomplete for longest is closed.
 * @max_connections_per_ip: Maximum number of connections from one IP address;
 *   0 for no limit.
 * @idle_timeout_s: Idle time after which a connection is closed.
 * @connection_bytes: Memory of the HTTP library for each connection, which
 *   bounds the headers; 0 for the library's default, 32 KB.
 * @budget: Budget of the bytes that requests hold, or NULL for no bound.  The
 *   server's owner frees it after the server.
 * @handler: Request handler.
 * @userdata: Passed to @handler.
 */
struct rst_http_server_config
{
  const char *address;
  size_t max_body_bytes;
  unsigned max_connections;
  unsigned max_connections_per_ip;
  unsigned idle_timeout_s;
  size_t connection_bytes;
  struct rst_shared_budget *budget;
  rst_http_handler handler;
  void *userdata;
};

/**
 * rst_http_server_create() - Creates a server and starts its thread.
 * @config: The configuration, copied; @config->address is read during the call
 *   only.
 * @out: Receives the server.
 *
 * Return: RST_TRANSPORT_OK, or RST_TRANSPORT_BAD_ADDRESS if the address is
 * malformed or the server could not be started on it.
 */
int rst_http_server_create (const struct rst_http_server_config *config,
                            struct rst_http_server **out);

/**
 * rst_http_server_address() - Returns the listening address.
 * @server: The server.
 *
 * Return: "IP:PORT" with the port actually bound; owned by the server.
 */
const char *rst_http_server_address (const struct rst_http_server *server);

/**
 * rst_http_server_destroy() - Stops the server's thread and frees the server.
 * @server: The server, or NULL.
 *
 * Closes the server as rst_http_server_close() does.  Requests that are still
 * pending are replied to with status 504: only the owner can know that a
 * request was not carried out, so it replies to those first.  It must not
 * reply to any later.  Blocks for up to 500 ms until the responses have been
 * written.
 */
void rst_http_server_destroy (struct rst_http_server *server);

/**
 * rst_http_server_close() - Stops taking requests.
 * @server: The server.
 *
 * No connection is accepted any more.  Requests that arrive on open
 * connections are replied to with status 503 and "Retry-After: 0", and never
 * reach the handler.  Those that the handler has already are not affected.
 */
void rst_http_server_close (struct rst_http_server *server);

/**
 * rst_http_server_count_unwritten() - Counts the requests that the handler was
 * called for and whose response has not been written to the socket yet.
 * @server: The server.
 *
 * May be called from any thread.
 */
unsigned rst_http_server_count_unwritten (struct rst_http_server *server);

/**
 * rst_http_server_disable_keep_alive() - Stops the reuse of connections.
 * @server: The server.
 *
 * All later responses carry "Connection: close", so that clients leave before
 * a planned shutdown.
 */
void rst_http_server_disable_keep_alive (struct rst_http_server *server);

/** rst_http_request_method() - Returns the method, such as "GET". */
const char *rst_http_request_method (const struct rst_http_request *request);

/** rst_http_request_path() - Returns the path without the query string. */
const char *rst_http_request_path (const struct rst_http_request *request);

/** rst_http_request_header() - Returns the value of a header, or NULL. */
const char *rst_http_request_header (const struct rst_http_request *request,
                                     const char *name);

/** rst_http_request_query() - Returns a query parameter's value, or NULL. */
const char *rst_http_request_query (const struct rst_http_request *request,
                                    const char *name);

/**
 * rst_http_request_body() - Returns the NUL-terminated request body.
 * @request: The request, which owns the body.
 * @length: Receives the length in bytes without the NUL; or NULL.
 */
const char *rst_http_request_body (const struct rst_http_request *request,
                                   size_t *length);

/**
 * rst_http_request_keep() - Frees the body, and counts what is kept in its
 * place until the answer.
 * @request: A pending request; its body is "" afterwards.
 * @bytes: Number of bytes, such as those of a message made of the request.
 *
 * Return: As rst_http_request_hold().
 */
bool rst_http_request_keep (struct rst_http_request *request, size_t bytes);

/**
 * rst_http_request_hold() - Counts memory that is kept until the answer.
 * @request: A pending request.
 * @bytes: Number of bytes in addition to those of the body.
 *
 * Return: Whether the budget has room for them.  If not, the request has to be
 * rejected and must not be carried out.
 */
bool rst_http_request_hold (struct rst_http_request *request, size_t bytes);

/**
 * rst_http_request_client_has_left() - Returns whether the client has closed
 * its side of the connection.
 * @request: A pending request.
 *
 * A client that has lost the connection without closing it is not noticed.
 */
bool rst_http_request_client_has_left (const struct rst_http_request *request);

/**
 * rst_http_request_reply() - Replies to a request; may be called from any
 * thread.
 * @request: The request; must not be used afterwards.
 * @status: HTTP status.
 * @content_type: Content type, or NULL for "application/json".
 * @body: Response body, copied.
 * @length: Length of @body in bytes.
 * @retry_after_s: Value of the Retry-After header in seconds; 0 to omit it, or
 *   RST_HTTP_RETRY_AT_ONCE.
 */
void rst_http_request_reply (struct rst_http_request *request, unsigned status,
                             const char *content_type, const void *body,
                             size_t length, unsigned retry_after_s);

/**
 * rst_http_request_close_connection() - Closes the connection after the reply.
 * @request: A pending request; its reply will carry "Connection: close".
 */
void rst_http_request_close_connection (struct rst_http_request *request);

/**
 * rst_http_request_reply_json() - Replies with a string of JSON.
 * @request: The request; must not be used afterwards.
 * @status: HTTP status.
 * @text: NUL-terminated response body, copied.
 */
void rst_http_request_reply_json (struct rst_http_request *request,
                                  unsigned status, const char *text);

/**
 * rst_http_request_reply_no_room() - Replies with status 503 that there is no
 * room for the request, which was not carried out.
 * @request: The request; must not be used afterwards.
 */
void rst_http_request_reply_no_room (struct rst_http_request *request);

/**
 * rst_http_request_abort() - Closes the connection without a response.
 * @request: The request; must not be used afterwards.
 */
void rst_http_request_abort (struct rst_http_request *request);

#endif
