#include "transport/transport.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "rosemarystile.h"
#include "util/conf.h"

const char *
rst_transport_strerror (int error)
{
  switch (error)
    {
    case RST_TRANSPORT_OK:
      return "success";
    case RST_TRANSPORT_NOT_SENT:
      return "request was not sent";
    case RST_TRANSPORT_TIMEOUT:
      return "no answer in time";
    case RST_TRANSPORT_BROKEN:
      return "connection broke";
    case RST_TRANSPORT_TOO_LARGE:
      return "answer is too large";
    case RST_TRANSPORT_QUEUE_FULL:
      return "queue is full";
    case RST_TRANSPORT_BAD_ADDRESS:
      return "address cannot be used";
    default:
      return "unknown transport error";
    }
}

bool
rst_transport_parse_address (const char *text, struct sockaddr_in *out)
{
  const char *colon = strrchr (text, ':');
  char host[RST_ADDRESS_SIZE];

  if (!rst_conf_is_address (text))
    return false;
  g_strlcpy (host, text, (gsize)(colon - text) + 1);
  memset (out, 0, sizeof *out);
  out->sin_family = AF_INET;
  out->sin_port = htons ((uint16_t)atoi (colon + 1));
  return inet_pton (AF_INET, host, &out->sin_addr) == 1;
}

void
rst_transport_format_address (const struct sockaddr_in *address, char *out,
                              size_t size)
{
  char host[INET_ADDRSTRLEN];

  inet_ntop (AF_INET, &address->sin_addr, host, sizeof host);
  g_snprintf (out, size, "%s:%u", host, ntohs (address->sin_port));
}
