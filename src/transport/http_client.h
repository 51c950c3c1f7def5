/**
 * DOC: http_client - HTTP/1.1 client with one thread
 *
 * Any thread may send a request.  Requests pass through a bounded queue to
 * the client's thread, where libcurl executes them concurrently.
 */
#ifndef RST_HTTP_CLIENT_H
#define RST_HTTP_CLIENT_H

#include <stdbool.h>
#include <stddef.h>

#include "rosemarystile.h"

struct rst_http_client;

/**
 * struct rst_http_result - Outcome of a request.
 * @error: A value of enum rst_transport_error.
 * @status: HTTP status; 0 unless @error is RST_TRANSPORT_OK.
 * @body: NUL-terminated response body, owned by the client and valid during
 *   the callback only.
 * @length: Length of @body in bytes.
 * @sent_at: Time at which the client started the request, before any byte was
 *   sent.  For a request that was never started, the time of the callback.
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
 * typedef rst_http_done - Completion callback of a request.
 * @result: The outcome, valid during the call.
 * @userdata: From the request.
 *
 * Called on the client's thread, exactly once for each accepted request.
 */
typedef void (*rst_http_done) (const struct rst_http_result *result,
                               void *userdata);

/**
 * struct rst_http_call - An outgoing HTTP request.
 * @method: HTTP method, such as "GET".
 * @url: Absolute URL.
 * @headers: NULL-terminated array of "Name: value" strings, or NULL.
 * @body: Request body, or NULL.
 * @length: Length of @body in bytes.
 * @timeout_ms: Timeout of the whole exchange; values below 1 count as 1.
 * @progress_extends_timeout: Let @timeout_ms begin anew with each byte that is
 *   sent or received, so that the request ends when the connection is silent
 *   and not because the link is narrow.
 * @not_after: Time from which on the request is no longer started; it then
 *   ends with RST_TRANSPORT_NOT_SENT.  0 for no limit.
 * @new_connection: Open a new connection for this request and close it
 *   afterwards.  libcurl resends a request on its own when a reused connection
 *   closes without a response, which must not happen to a request that is not
 *   idempotent.
 * @send_once: Don't let libcurl do that: the request then ends with
 *   RST_TRANSPORT_BROKEN.
 * @done: Completion callback.
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
  bool progress_extends_timeout;
  rst_ms not_after;
  bool new_connection;
  bool send_once;
  rst_http_done done;
  void *userdata;
};

/**
 * rst_http_client_create() - Creates a client and starts its thread.
 * @max_connections: Maximum number of connections kept open for reuse.
 * @max_per_host: Maximum number of connections to one address; 0 for no limit.
 *
 * Return: The client, or NULL if a resource could not be allocated.
 */
struct rst_http_client *rst_http_client_create (long max_connections,
                                                long max_per_host);

/**
 * rst_http_client_send() - Queues a request; may be called from any thread.
 * @client: The client.
 * @call: The request; its strings and body are copied.
 *
 * Return: RST_TRANSPORT_OK, or RST_TRANSPORT_QUEUE_FULL if the request was
 * rejected; its completion callback is not called then.
 */
int rst_http_client_send (struct rst_http_client *client,
                          const struct rst_http_call *call);

/**
 * rst_http_client_destroy() - Stops the client's thread and frees the client.
 * @client: The client, or NULL.
 *
 * Before it returns, requests in progress end with RST_TRANSPORT_BROKEN and
 * queued ones with RST_TRANSPORT_NOT_SENT.
 */
void rst_http_client_destroy (struct rst_http_client *client);

#endif
