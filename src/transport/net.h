/**
 * DOC: net - length-prefixed frames over TCP
 *
 * One thread with epoll carries all connections.  A frame is a length of four
 * bytes, most significant first, and that many bytes.  A frame of length 0
 * is a heartbeat.  A connection that stays silent, breaks the framing or
 * exceeds a bound is closed; others are not touched.
 */
#ifndef RST_NET_H
#define RST_NET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rosemarystile.h"

struct rst_net;

/** Bytes before each frame. */
#define RST_NET_PREFIX_BYTES 4

/**
 * enum rst_net_event - What happened to a connection.
 * @RST_NET_OPENED: It can carry frames.
 * @RST_NET_FRAME: A frame arrived.
 * @RST_NET_CLOSED: It is gone; or could not be opened.
 */
enum rst_net_event
{
  RST_NET_OPENED,
  RST_NET_FRAME,
  RST_NET_CLOSED,
};

/**
 * typedef rst_net_handler - Receives events on the net's thread.
 * @event: What happened.
 * @connection_id: Number of the connection, never used twice.
 * @data: The frame's bytes, valid during the call; or the reason for closing.
 * @length: Their number.
 * @userdata: From the configuration.
 */
typedef void (*rst_net_handler) (enum rst_net_event event,
                                 uint64_t connection_id, const void *data,
                                 size_t length, void *userdata);

/**
 * struct rst_net_config - How a net is set up.
 * @listen: "IP:PORT" to listen on, or NULL; port 0 lets the kernel choose.
 * @max_frame_bytes: Bound on a frame in bytes.
 * @max_unsent_bytes: Bound on unsent bytes of one connection.
 * @heartbeat_interval_ms: Time between heartbeats.
 * @receive_timeout_ms: Time without any byte after which a connection is
 * closed.
 * @handler: Receives events.
 * @userdata: Passed to @handler.
 */
struct rst_net_config
{
  const char *listen;
  size_t max_frame_bytes;
  size_t max_unsent_bytes;
  rst_ms heartbeat_interval_ms;
  rst_ms receive_timeout_ms;
  rst_net_handler handler;
  void *userdata;
};

/**
 * rst_net_create() - Starts a net.
 * @config: How it is set up.
 * @out: Receives the net.
 *
 * Return: RST_TRANSPORT_OK or RST_TRANSPORT_BAD_ADDRESS.
 */
int rst_net_create (const struct rst_net_config *config, struct rst_net **out);

/** rst_net_address() - The listening address with its real port, or "". */
const char *rst_net_address (const struct rst_net *net);

/**
 * rst_net_connect() - Opens a connection, from any thread.
 * @net: The net.
 * @address: "IP:PORT".
 *
 * Return: The connection's number; its outcome comes as an event.  0 when
 * the queue is full.
 */
uint64_t rst_net_connect (struct rst_net *net, const char *address);

/**
 * rst_net_send() - Sends a frame, from any thread.
 * @net: The net.
 * @connection_id: Number of the connection.
 * @data: The frame, copied.
 * @length: Its length in bytes.
 *
 * A frame for a connection that is gone is dropped; its closing has been or
 * will be reported.
 *
 * Return: RST_TRANSPORT_OK or RST_TRANSPORT_QUEUE_FULL.
 */
int rst_net_send (struct rst_net *net, uint64_t connection_id,
                  const void *data, size_t length);

/**
 * rst_net_close() - Closes a connection, from any thread.
 * @net: The net.
 * @connection_id: Number of the connection.
 */
void rst_net_close (struct rst_net *net, uint64_t connection_id);

/**
 * rst_net_destroy() - Stops a net and closes its connections.
 * @net: The net, or NULL.
 */
void rst_net_destroy (struct rst_net *net);

#endif
