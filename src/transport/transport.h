/**
 * DOC: transport - errors and addresses of the transport layer
 */
#ifndef RST_TRANSPORT_H
#define RST_TRANSPORT_H

#include <stdbool.h>

#include <netinet/in.h>

/**
 * enum rst_transport_error - Errors of the transport layer.
 * @RST_TRANSPORT_OK: Success; a request has its complete response.
 * @RST_TRANSPORT_NOT_SENT: No byte of the request was sent, so the peer has
 *   not acted on it.
 * @RST_TRANSPORT_TIMEOUT: No response within the timeout; the peer may have
 *   received the request.
 * @RST_TRANSPORT_BROKEN: The exchange failed before the complete response
 *   arrived; the peer may have received the request.
 * @RST_TRANSPORT_TOO_LARGE: The response exceeds the client's maximum size;
 *   the peer has received the request.
 * @RST_TRANSPORT_QUEUE_FULL: The local queue was full; nothing was sent.
 * @RST_TRANSPORT_BAD_ADDRESS: An address is malformed or cannot be listened
 *   on.
 */
enum rst_transport_error
{
  RST_TRANSPORT_OK = 0,
  RST_TRANSPORT_NOT_SENT,
  RST_TRANSPORT_TIMEOUT,
  RST_TRANSPORT_BROKEN,
  RST_TRANSPORT_TOO_LARGE,
  RST_TRANSPORT_QUEUE_FULL,
  RST_TRANSPORT_BAD_ADDRESS,
};

/**
 * rst_transport_strerror() - Returns a description of an error.
 * @error: A value of enum rst_transport_error.
 *
 * Return: A static string.
 */
const char *rst_transport_strerror (int error);

/**
 * rst_transport_parse_address() - Parses an "IP:PORT" address.
 * @text: The address; IPv4 only.
 * @out: Receives the parsed address.
 *
 * Return: false if the text is malformed.
 */
bool rst_transport_parse_address (const char *text, struct sockaddr_in *out);

/**
 * rst_transport_format_address() - Formats an address as "IP:PORT".
 * @address: The address.
 * @out: Receives the text, truncated to @size.
 * @size: Size of @out in bytes.
 */
void rst_transport_format_address (const struct sockaddr_in *address,
                                   char *out, size_t size);

#endif
