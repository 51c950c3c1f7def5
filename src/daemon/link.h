/**
 * DOC: link - messages over frames, delivered to one thread
 *
 * Joins the net's thread to the thread of decisions: frames are decoded on
 * the first and handed to the second through its mailbox.
 */
#ifndef RST_LINK_H
#define RST_LINK_H

#include "coordination/scheduler.h"
#include "transport/net.h"
#include "util/mailbox.h"

/**
 * enum rst_event_kind - What the thread of decisions is told.
 * @RST_EVENT_LINK_OPENED: A link was opened.
 * @RST_EVENT_LINK_CLOSED: A link was closed.
 * @RST_EVENT_MESSAGE: A message arrived.
 * @RST_EVENT_PLATFORM_REQUEST: A call to an outside system ended.
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
 * struct rst_event - One event.
 * @kind: What happened.
 * @link: The link.
 * @message: The message; cleared with the event.
 * @platform_request: The ended call.
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
 * rst_event_post() - Posts an event, waiting while the mailbox is full.
 * @mailbox: The mailbox.
 * @event: The event, created with g_new0().
 */
void rst_event_post (struct rst_mailbox *mailbox, struct rst_event *event);

/** rst_event_free() - Frees an event. */
void rst_event_free (struct rst_event *event);

/**
 * rst_link_net_handle_event() - A net's handler that posts events.
 *
 * The net's userdata must point to a struct rst_link_net.
 */
void rst_link_net_handle_event (enum rst_net_event event, uint64_t connection,
                                const void *data, size_t length,
                                void *userdata);

/**
 * struct rst_link_net - A net and the mailbox that its events go to.
 * @net: The net.
 * @mailbox: The mailbox.
 */
struct rst_link_net
{
  struct rst_net *net;
  struct rst_mailbox *mailbox;
};

/** rst_link_net_get_ops() - How the state machines use a struct rst_link_net.
 */
const struct rst_link_ops *rst_link_net_get_ops (void);

/** rst_link_net_make_config() - A net's configuration with the project's
 * bounds. */
struct rst_net_config rst_link_net_make_config (const char *listen,
                                                struct rst_link_net *userdata);

#endif
