/**
 * DOC: link - messages over frames, delivered to one thread
 *
 * The network thread decodes each frame and posts the message to a mailbox.
 * The main thread of schedd or entryd, which runs the scheduler or entry,
 * takes it from there.
 */
#ifndef RST_LINK_H
#define RST_LINK_H

#include "coordination/scheduler.h"
#include "transport/net.h"
#include "util/mailbox.h"

/**
 * enum rst_event_kind - Kinds of events that the main thread handles.
 * @RST_EVENT_LINK_OPENED: A link was opened.
 * @RST_EVENT_LINK_CLOSED: A link was closed.
 * @RST_EVENT_MESSAGE: A message arrived.
 * @RST_EVENT_PLATFORM_REQUEST: A request to an outside system has ended.
 * @RST_EVENT_HTTP_REQUEST: An HTTP request arrived.
 */
enum rst_event_kind
{
  RST_EVENT_LINK_OPENED,
  RST_EVENT_LINK_CLOSED,
  RST_EVENT_MESSAGE,
  RST_EVENT_PLATFORM_REQUEST,
  RST_EVENT_HTTP_REQUEST,
};

struct rst_platform_request;
struct rst_http_request;

/**
 * struct rst_event - An event for the main thread.
 * @kind: Kind of the event; tells which of the other fields are set.
 * @link: Number of the link that was opened, was closed or carried a message.
 * @message: The message; cleared with the event.
 * @platform_request: The request to an outside system.
 * @request: The HTTP request.
 */
struct rst_event
{
  enum rst_event_kind kind;
  uint64_t link;
  struct rst_message message;
  struct rst_platform_request *platform_request;
  struct rst_http_request *request;
};

/**
 * rst_event_post() - Posts an event, from any thread.
 * @event: The event, created with g_new0(); owned by the mailbox.
 *
 * Blocks while the mailbox is full.  The event is freed when the mailbox is
 * closed.
 */
void rst_event_post (struct rst_mailbox *mailbox, struct rst_event *event);

/** rst_event_free() - Frees an event and its message. */
void rst_event_free (struct rst_event *event);

/**
 * rst_link_net_handle_event() - Posts an event of the network to the mailbox.
 * @userdata: A struct rst_link_net.
 *
 * The handler of the network; runs on its thread.  A frame that can't be
 * decoded closes its link.
 */
void rst_link_net_handle_event (enum rst_net_event event, uint64_t connection,
                                const void *data, size_t length,
                                void *userdata);

/**
 * struct rst_link_net - A network and the mailbox that receives its events.
 * @net: The network.
 * @mailbox: The mailbox.
 */
struct rst_link_net
{
  struct rst_net *net;
  struct rst_mailbox *mailbox;
};

/** rst_link_net_get_ops() - Returns functions for links whose user data is a
 * struct rst_link_net. */
const struct rst_link_ops *rst_link_net_get_ops (void);

/**
 * rst_link_net_make_config() - Fills in a network's configuration.
 * @listen: Address to listen on, "IP:PORT", or NULL to only open links.
 * @userdata: Receives the events; must outlive the network.
 */
struct rst_net_config rst_link_net_make_config (const char *listen,
                                                struct rst_link_net *userdata);

#endif
