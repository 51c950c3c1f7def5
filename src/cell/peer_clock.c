#include "cell/peer_clock.h"

#include <glib.h>

/** The clocks of two processes may differ in rate by one part in this many. */
#define RATE_ERROR_DIVISOR 50

/* The least that the peer's clock advances by while this one does by
   @elapsed. */
static rst_ms
get_least_advance (rst_ms elapsed)
{
  rst_ms error = (elapsed < 0 ? -elapsed : elapsed) / RATE_ERROR_DIVISOR;

  return elapsed - error;
}

void
rst_peer_clock_read (struct rst_peer_clock *peer, rst_ms now, rst_ms clock)
{
  if (peer->read_at != 0)
    clock = MAX (clock, peer->least + get_least_advance (now - peer->read_at));
  peer->read_at = now;
  peer->least = clock;
}

rst_ms
rst_peer_clock_convert (const struct rst_peer_clock *peer, rst_ms at)
{
  if (peer->read_at == 0)
    return 0;
  return MAX (peer->least + get_least_advance (at - peer->read_at), 0);
}
