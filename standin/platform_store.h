/**
 * DOC: platform_store - stand-in for the store of the users' platform
 *
 * Keeps keys with revisions in memory and serves the store's HTTP calls:
 * reads, pages, watches and transactions.  All functions may be called from
 * any thread.
 */
#ifndef STANDIN_PLATFORM_STORE_H
#define STANDIN_PLATFORM_STORE_H

#include <stdbool.h>
#include <stdint.h>

#include "state/json.h"
#include "transport/http_server.h"

struct platform_store;

/** platform_store_reply() - Replies to a request with @body and releases it.
 */
void platform_store_reply (struct rst_http_request *request, unsigned status,
                           struct json_object *body);

/** platform_store_create() - Creates an empty store. */
struct platform_store *platform_store_create (void);

/**
 * platform_store_handle_request() - Handles a request for a path of the store.
 *
 * Return: false when the path is another one; the request is then unchanged.
 */
bool platform_store_handle_request (struct platform_store *store,
                                    struct rst_http_request *request);

/**
 * platform_store_put() - Writes a key without a condition.
 * @text: The value, or NULL to delete the key.
 */
void platform_store_put (struct platform_store *store, const char *key,
                         const char *text);

/** platform_store_expire_watches() - Replies to watches past their deadline.
 */
void platform_store_expire_watches (struct platform_store *store);

#endif
