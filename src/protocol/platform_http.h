/**
 * DOC: platform_http - implementation of struct rst_platform over HTTP
 *
 * Calls are HTTP/1.1 requests with JSON bodies, made by two clients with a
 * thread each: one for the store and the instance list, one for instances.
 */
#ifndef RST_PLATFORM_HTTP_H
#define RST_PLATFORM_HTTP_H

#include "protocol/platform.h"

struct rst_platform_http;
struct rst_platform_request;

/**
 * struct rst_platform_http_config - Addresses, timeouts and reply handling.
 * @store_address: "IP:PORT" of the key-value store.
 * @list_address: "IP:PORT" of the list of instances.
 * @store_timeout_ms: Timeout of a call to the store or the instance list.  The
 *   wait of a long poll is added to it.
 * @instance_timeout_ms: Timeout of a call to an instance, except query_run,
 *   which uses the deadline of the query.
 * @deliver: Called once for each request that has ended, on a client thread,
 *   or on the calling thread when the request could not be sent.  It must
 *   arrange for rst_platform_request_complete() to run on the thread that made
 *   the call, after the call has returned.
 * @userdata: Passed to @deliver.
 */
struct rst_platform_http_config
{
  char store_address[RST_ADDRESS_SIZE];
  char list_address[RST_ADDRESS_SIZE];
  rst_ms store_timeout_ms;
  rst_ms instance_timeout_ms;
  void (*deliver) (struct rst_platform_request *request, void *userdata);
  void *userdata;
};

/**
 * rst_platform_http_create() - Creates the platform and starts its clients.
 * @config: Configuration, copied.
 *
 * Return: The platform, which is the first argument of the functions in
 * rst_platform_http_get_table(), or NULL when resources are short.
 */
struct rst_platform_http *
rst_platform_http_create (const struct rst_platform_http_config *config);

/**
 * rst_platform_http_close() - Stops the clients.
 * @platform: The platform.
 *
 * Requests under way are delivered before it returns.  Later calls end with
 * %RST_PLATFORM_NOT_SENT.
 */
void rst_platform_http_close (struct rst_platform_http *platform);

/**
 * rst_platform_http_destroy() - Frees a closed platform.
 * @platform: The platform, or NULL.
 */
void rst_platform_http_destroy (struct rst_platform_http *platform);

/** rst_platform_http_get_table() - Returns the functions of this platform. */
const struct rst_platform *rst_platform_http_get_table (void);

/**
 * rst_platform_request_complete() - Calls the done callback of a request.
 * @request: A request from the deliver callback; it is freed.
 */
void rst_platform_request_complete (struct rst_platform_request *request);

#endif
