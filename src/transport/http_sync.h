/**
 * DOC: http_sync - one HTTP call that the caller waits for
 *
 * For tools; the daemons use http_client.
 */
#ifndef RST_HTTP_SYNC_H
#define RST_HTTP_SYNC_H

#include <glib.h>

#include "rosemarystile.h"

/**
 * rst_http_sync_request() - Makes a call and waits for its end.
 * @method: Such as "GET".
 * @url: The whole URL.
 * @body: The body, or NULL.
 * @timeout_ms: Bound on the whole exchange.
 * @status: Receives the HTTP status.
 * @response: Receives the body of the answer.
 *
 * Return: A value of enum rst_transport_error.
 */
int rst_http_sync_request (const char *method, const char *url,
                           const char *body, rst_ms timeout_ms, int *status,
                           GString *response);

#endif
