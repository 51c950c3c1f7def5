/**
 * DOC: platform_http - the outside systems over HTTP/1.1 with JSON
 */
#ifndef RST_PLATFORM_HTTP_H
#define RST_PLATFORM_HTTP_H

#include "protocol/platform.h"

struct rst_platform_http;
struct rst_platform_request;

/**
 * struct rst_platform_http_config - How the outside systems are reached.
 * @store_address: "IP:PORT" of the key-value store.
 * @list_address: "IP:PORT" of the list of instances.
 * @store_timeout_ms: Bound on a store call, without a watch's wait.
 * @instance_timeout_ms: Bound on a call to a worker.
 * @deliver: Receives the end of each call on a thread of the client, and sees
 *   to rst_platform_request_complete() on the thread that made the call.
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
 * rst_platform_http_create() - Starts the clients.
 * @config: How the outside systems are reached, copied.
 *
 * Return: The object to pass to rst_platform_http_get_table()'s functions, or
 * NULL when resources are short.
 */
struct rst_platform_http *
rst_platform_http_create (const struct rst_platform_http_config *config);

/**
 * rst_platform_http_close() - Stops the clients.
 * @platform: The object.
 *
 * Calls under way are delivered before it returns; later calls end as not
 * sent.
 */
void rst_platform_http_close (struct rst_platform_http *platform);

/**
 * rst_platform_http_destroy() - Frees the object, once it is closed.
 * @platform: The object, or NULL.
 */
void rst_platform_http_destroy (struct rst_platform_http *platform);

/** rst_platform_http_get_table() - The table of callbacks. */
const struct rst_platform *rst_platform_http_get_table (void);

/**
 * rst_platform_request_complete() - Tells the caller of the end of its call.
 * @request: The event; it is freed.
 */
void rst_platform_request_complete (struct rst_platform_request *request);

#endif
