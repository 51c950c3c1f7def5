/**
 * DOC: http_sync - blocking HTTP request
 *
 * For command line tools; daemons use http_client.
 */
#ifndef RST_HTTP_SYNC_H
#define RST_HTTP_SYNC_H

#include <glib.h>

#include "rosemarystile.h"

/**
 * rst_http_sync_request() - Sends a request and waits for the response.
 * @method: HTTP method, such as "GET".
 * @url: Absolute URL.
 * @body: NUL-terminated request body, or NULL.
 * @timeout_ms: Timeout of the whole exchange.
 * @status: Receives the HTTP status; 0 if no status line arrived.
 * @response: Receives the response body; its earlier contents are discarded.
 *
 * Return: A value of enum rst_transport_error.
 */
int rst_http_sync_request (const char *method, const char *url,
                           const char *body, rst_ms timeout_ms, int *status,
                           GString *response);

#endif
