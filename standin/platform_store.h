/**
 * DOC: platform_store - key-value store of the users' platform, in memory
 *
 * Keys with revisions, pages, watches and transactions, as docs/PLATFORM.md's
 * adapter speaks them.  All functions may be called from any thread.
 */
#ifndef STANDIN_PLATFORM_STORE_H
#define STANDIN_PLATFORM_STORE_H

#include <stdbool.h>
#include <stdint.h>

#include "state/json.h"
#include "transport/http_server.h"

struct platform_store;

/** platform_store_reply() - Answers a request with @body, and frees it. */
void platform_store_reply (struct rst_http_request *request, unsigned status,
                           struct json_object *body);

/** platform_store_create() - An empty store. */
struct platform_store *platform_store_create (void);

/**
 * platform_store_handle_request() - Answers a call if it is one of the
 * store's.
 *
 * Return: false when the path is not the store's; the request is untouched.
 */
bool platform_store_handle_request (struct platform_store *store,
                                    struct rst_http_request *request);

/**
 * platform_store_put() - Writes a key as the platform's own parts do.
 * @text: The value, or NULL to remove the key.
 */
void platform_store_put (struct platform_store *store, const char *key,
                         const char *text);

/** platform_store_expire_watches() - Ends watches whose wait is over. */
void platform_store_expire_watches (struct platform_store *store);

#endif
