/**
 * DOC: http_client - HTTP/1.1 client with one thread
 *
 * Requests come in from any thread through a bounded queue; libcurl carries
 * all of them at once on the client's own thread.
 */
#ifndef RST_HTTP_CLIENT_H
#define RST_HTTP_CLIENT_H

#include <stdbool.h>
#include <stddef.h>

#include "rosemarystile.h"

struct rst_http_client;

/**
 * struct rst_http_result - How a request ended.
 * @error: A value of enum rst_transport_error.
 * @status: HTTP status; 0 unless @error is RST_TRANSPORT_OK.
 * @body: The body with a NUL behind it; owned by the client.
 * @length: Its length in bytes.
 * @sent_at: Time before the request was sent.
 */
struct rst_http_result
{
  int error;
  int status;
  const char *body;
  size_t length;
  rst_ms sent_at;
};

/**
 * typedef rst_http_done - Receives the result on the client's thread.
 *
 * Called exactly once for each request that was taken.
 */
typedef void (*rst_http_done) (const struct rst_http_result *result,
                               void *userdata);

/**
 * struct rst_http_call - A request.
 * @method: Such as "GET".
 * @url: The whole URL.
 * @headers: "Name: value" strings, NULL at the end; or NULL.
 * @body: The body, or NULL.
 * @length: Its length in bytes.
 * @timeout_ms: Bound on the whole exchange.
 * @not_after: Last moment at which the client may begin to send it; 0 for
 *   none.
 * @new_connection: Use a new connection and no other.  libcurl repeats a
 * request by itself when a reused connection closes without an answer, which
 * must not happen to a request that is not idempotent.
 * @done: Receives the result.
 * @userdata: Passed to @done.
 */
struct rst_http_call
{
  const char *method;
  const char *url;
  const char *const *headers;
  const void *body;
  size_t length;
  rst_ms timeout_ms;
  rst_ms not_after;
  bool new_connection;
  rst_http_done done;
  void *userdata;
};

/**
 * rst_http_client_create() - Starts a client.
 * @max_connections: Bound on open connections.
 * @max_per_host: Bound on connections to one address; 0 for none.
 *
 * Return: The client, or NULL when resources are short.
 */
struct rst_http_client *rst_http_client_create (long max_connections,
                                                long max_per_host);

/**
 * rst_http_client_send() - Takes a request, from any thread.
 * @client: The client.
 * @call: The request, copied.
 *
 * Return: RST_TRANSPORT_OK, or RST_TRANSPORT_QUEUE_FULL, and then @call's done
 * is not called.
 */
int rst_http_client_send (struct rst_http_client *client,
                          const struct rst_http_call *call);

/**
 * rst_http_client_destroy() - Stops a client.
 * @client: The client, or NULL.
 *
 * Requests under way end with RST_TRANSPORT_BROKEN before it returns.
 */
void rst_http_client_destroy (struct rst_http_client *client);

#endif
