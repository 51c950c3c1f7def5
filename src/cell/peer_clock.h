/**
 * DOC: peer_clock - another process's clock, as far as its messages tell
 *
 * A message with the sender's clock proves that the clock shows at least that
 * much on arrival.  From this follows the least that it shows at any other
 * time.
 */
#ifndef RST_PEER_CLOCK_H
#define RST_PEER_CLOCK_H

#include "rosemarystile.h"

/**
 * struct rst_peer_clock - What is known of a peer's clock; zero-initialized.
 * @read_at: Local time of the last reading; 0 without one.
 * @least: The least that the peer's clock showed at that time.
 */
struct rst_peer_clock
{
  rst_ms read_at;
  rst_ms least;
};

/**
 * rst_peer_clock_read() - Notes a message that has just arrived.
 * @now: Local time.
 * @clock: The sender's clock in the message.
 */
void rst_peer_clock_read (struct rst_peer_clock *peer, rst_ms now,
                          rst_ms clock);

/**
 * rst_peer_clock_convert() - Converts a local time.
 * @at: Local time, before or after the last reading.
 *
 * Return: The least that the peer's clock showed at that time; 0 if that is
 * unknown.
 */
rst_ms rst_peer_clock_convert (const struct rst_peer_clock *peer, rst_ms at);

#endif
