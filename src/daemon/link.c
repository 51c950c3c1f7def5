#include "daemon/link.h"

#include <unistd.h>

#include <glib.h>

#include "transport/transport.h"
#include "util/log.h"

#define LOG_DOMAIN "link"

/** Maximum size of the unsent data of a link. */
#define LINK_BUFFER_MAX_BYTES (16 * 1024 * 1024)

/** Time between heartbeats on a link, and the time without any data after
    which it is closed. */
#define LINK_HEARTBEAT_MS 500
#define LINK_SILENCE_TIMEOUT_MS 2500

/** Delay before an event is posted again to a full mailbox, in microseconds.
 */
#define MAILBOX_FULL_PAUSE_US 500

void
rst_event_post (struct rst_mailbox *mailbox, struct rst_event *event)
{
  while (!rst_mailbox_post (mailbox, event))
    {
      if (rst_mailbox_is_closed (mailbox))
        {
          rst_event_free (event);
          return;
        }
      usleep (MAILBOX_FULL_PAUSE_US);
    }
}

void
rst_event_free (struct rst_event *event)
{
  rst_message_clear (&event->message);
  g_free (event);
}

static void
post_link_event (struct rst_link_net *link, enum rst_event_kind kind,
                 uint64_t connection)
{
  struct rst_event *event = g_new0 (struct rst_event, 1);

  event->kind = kind;
  event->link = connection;
  rst_event_post (link->mailbox, event);
}

static void
post_message (struct rst_link_net *link, uint64_t connection, const void *data,
              size_t length)
{
  struct rst_event *event = g_new0 (struct rst_event, 1);
  const char *field = NULL;
  int error = rst_message_decode (data, length, &event->message, &field);

  if (error != RST_PROTOCOL_OK)
    {
      rst_warning (LOG_DOMAIN, "Frame was refused; link closed.", "error",
                   rst_protocol_strerror (error), "field", field);
      g_free (event);
      rst_net_close (link->net, connection);
      return;
    }
  event->kind = RST_EVENT_MESSAGE;
  event->link = connection;
  rst_event_post (link->mailbox, event);
}

void
rst_link_net_handle_event (enum rst_net_event event, uint64_t connection,
                           const void *data, size_t length, void *userdata)
{
  struct rst_link_net *link = userdata;

  if (event == RST_NET_FRAME)
    post_message (link, connection, data, length);
  else
    post_link_event (link,
                     event == RST_NET_OPENED ? RST_EVENT_LINK_OPENED
                                             : RST_EVENT_LINK_CLOSED,
                     connection);
}

static uint64_t
link_connect (void *userdata, const char *address)
{
  return rst_net_connect (((struct rst_link_net *)userdata)->net, address);
}

static bool
link_send (void *userdata, uint64_t connection,
           const struct rst_message *message)
{
  struct rst_link_net *link = userdata;
  struct rst_blob frame;
  int error;

  if (rst_message_encode (message, &frame) != RST_PROTOCOL_OK)
    return false;
  error = rst_net_send (link->net, connection, frame.data, frame.length);
  rst_blob_free (&frame);
  return error == RST_TRANSPORT_OK;
}

static void
link_close (void *userdata, uint64_t connection)
{
  rst_net_close (((struct rst_link_net *)userdata)->net, connection);
}

const struct rst_link_ops *
rst_link_net_get_ops (void)
{
  static const struct rst_link_ops table
      = { link_connect, link_send, link_close };

  return &table;
}

struct rst_net_config
rst_link_net_make_config (const char *listen, struct rst_link_net *userdata)
{
  struct rst_net_config config = { 0 };

  config.listen = listen;
  config.max_frame_bytes = RST_MESSAGE_MAX_BYTES;
  config.max_unsent_bytes = LINK_BUFFER_MAX_BYTES;
  config.heartbeat_interval_ms = LINK_HEARTBEAT_MS;
  config.receive_timeout_ms = LINK_SILENCE_TIMEOUT_MS;
  config.handler = rst_link_net_handle_event;
  config.userdata = userdata;
  return config;
}
