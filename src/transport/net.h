/**
 * DOC: net - length-prefixed frames over TCP
 *
 * One thread serves all connections of a struct rst_net with epoll.  A frame
 * is a 32-bit big-endian length followed by that many bytes of payload; a
 * frame of length 0 is a heartbeat and is not reported.  A connection on which
 * nothing is received for too long, or that exceeds a size limit, is closed;
 * the other connections are not affected.
 */
#ifndef RST_NET_H
#define RST_NET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rosemarystile.h"
#include "transport/shared_budget.h"

struct rst_net;

/** Size of the length prefix of a frame. */
#define RST_NET_PREFIX_BYTES 4

/**
 * enum rst_net_event - Events of a connection.
 * @RST_NET_OPENED: The connection was established or accepted.
 * @RST_NET_FRAME: A frame was received.
 * @RST_NET_CLOSED: The connection was closed or could not be established; the
 *   last event of a connection.
 */
enum rst_net_event
{
  RST_NET_OPENED,
  RST_NET_FRAME,
  RST_NET_CLOSED,
};

/**
 * typedef rst_net_handler - Handles an event.
 * @event: The event.
 * @connection_id: Id of the connection; ids are never reused.
 * @data: Payload of the frame, or a text with the reason for closing; valid
 *   during the call only.
 * @length: Length of @data in bytes.
 * @userdata: From the configuration.
 *
 * Called on the network thread.
 */
typedef void (*rst_net_handler) (enum rst_net_event event,
                                 uint64_t connection_id, const void *data,
                                 size_t length, void *userdata);

/**
 * struct rst_net_config - Configuration of the network thread.
 * @listen: "IP:PORT" to listen on, or NULL for outgoing connections only; port
 *   0 lets the kernel choose.
 * @max_frame_bytes: Maximum payload of a received frame; a connection with a
 *   larger one is closed.
 * @max_unsent_bytes: Maximum of buffered unsent bytes of one connection; it is
 *   closed if a frame would exceed it.
 * @heartbeat_interval_ms: Longest time without sending on an open connection;
 *   a heartbeat is sent within it.
 * @receive_timeout_ms: Time without a received byte after which a connection
 *   is closed; it bounds connecting as well.
 * @max_accepted: Maximum number of accepted connections; 0 for no limit.  When
 *   there are more, the one is closed that has been silent or in the middle of
 *   a frame for longest; one that has delivered a frame only in that case.  If
 *   there is none, the newest is closed.
 * @budget: Budget of the bytes of incomplete frames, or NULL for no bound.  No
 *   other part of the process may charge it.
 * @handler: Event handler.
 * @userdata: Passed to @handler.
 */
struct rst_net_config
{
  const char *listen;
  size_t max_frame_bytes;
  size_t max_unsent_bytes;
  rst_ms heartbeat_interval_ms;
  rst_ms receive_timeout_ms;
  unsigned max_accepted;
  struct rst_shared_budget *budget;
  rst_net_handler handler;
  void *userdata;
};

/**
 * rst_net_create() - Starts the network thread.
 * @config: The configuration, copied; @config->listen is read during the call
 *   only.
 * @out: Receives the object, before the first event is delivered.
 *
 * Return: RST_TRANSPORT_OK, or RST_TRANSPORT_BAD_ADDRESS if the address cannot
 * be listened on or a resource could not be allocated.
 */
int rst_net_create (const struct rst_net_config *config, struct rst_net **out);

/**
 * rst_net_address() - Returns the listening address.
 * @net: The network thread.
 *
 * Return: "IP:PORT" with the port actually bound, or "" if it does not listen.
 */
const char *rst_net_address (const struct rst_net *net);

/**
 * rst_net_connect() - Opens a connection; may be called from any thread.
 * @net: The network thread.
 * @address: "IP:PORT" of the peer.
 *
 * Return: The id of the connection, whose outcome is reported as an event; 0
 * if the command queue is full.
 */
uint64_t rst_net_connect (struct rst_net *net, const char *address);

/**
 * rst_net_send() - Sends a frame; may be called from any thread.
 * @net: The network thread.
 * @connection_id: Id of the connection.
 * @data: Payload of the frame, copied.
 * @length: Length of @data in bytes.
 *
 * A frame for a closed connection is discarded; RST_NET_CLOSED has been or
 * will be reported for it.
 *
 * Return: RST_TRANSPORT_OK, or RST_TRANSPORT_QUEUE_FULL if the command queue
 * is full.
 */
int rst_net_send (struct rst_net *net, uint64_t connection_id,
                  const void *data, size_t length);

/**
 * rst_net_close() - Closes a connection; may be called from any thread.
 * @net: The network thread.
 * @connection_id: Id of the connection; unknown ids are ignored.
 *
 * The command is lost if the command queue is full.
 */
void rst_net_close (struct rst_net *net, uint64_t connection_id);

/**
 * rst_net_destroy() - Stops the network thread and closes its connections.
 * @net: The network thread, or NULL.
 *
 * Connections that are still open are closed without an event.
 */
void rst_net_destroy (struct rst_net *net);

#endif
