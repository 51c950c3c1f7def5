/**
 * DOC: transport - errors of the transport layer
 */
#ifndef RST_TRANSPORT_H
#define RST_TRANSPORT_H

#include <stdbool.h>

#include <netinet/in.h>

/**
 * enum rst_transport_error - How an exchange over the network ended.
 * @RST_TRANSPORT_OK: A whole answer arrived.
 * @RST_TRANSPORT_NOT_SENT: Nothing of the request left this process.
 * @RST_TRANSPORT_TIMEOUT: The request may have arrived; no answer in time.
 * @RST_TRANSPORT_BROKEN: The request may have arrived; the connection broke.
 * @RST_TRANSPORT_QUEUE_FULL: A bounded queue was full; nothing was sent.
 * @RST_TRANSPORT_BAD_ADDRESS: An address could not be used.
 */
enum rst_transport_error
{
  RST_TRANSPORT_OK = 0,
  RST_TRANSPORT_NOT_SENT,
  RST_TRANSPORT_TIMEOUT,
  RST_TRANSPORT_BROKEN,
  RST_TRANSPORT_QUEUE_FULL,
  RST_TRANSPORT_BAD_ADDRESS,
};

/**
 * rst_transport_strerror() - Describes an error of this layer.
 * @error: A value of enum rst_transport_error.
 *
 * Return: A static string.
 */
const char *rst_transport_strerror (int error);

/**
 * rst_transport_parse_address() - Reads an "IP:PORT" address.
 * @text: The text.
 * @out: Receives the address.
 *
 * Return: false when the text is malformed.
 */
bool rst_transport_parse_address (const char *text, struct sockaddr_in *out);

/**
 * rst_transport_format_address() - Writes an address as "IP:PORT".
 * @address: The address.
 * @out: Receives the text.
 * @size: Size of @out in bytes.
 */
void rst_transport_format_address (const struct sockaddr_in *address,
                                   char *out, size_t size);

#endif
