#include "util/stall.h"

bool
rst_stall_watch_note (struct rst_stall_watch *watch, rst_ms now)
{
  bool stalled
      = watch->noted_at != 0 && now - watch->noted_at >= RST_STALL_MIN_MS;

  if (stalled)
    {
      /* Requests of an earlier stall may not have been read yet either. */
      if (watch->ended_at == 0
          || watch->noted_at - watch->ended_at >= RST_STALL_DRAIN_MS)
        watch->began_at = watch->noted_at;
      watch->ended_at = now;
    }
  watch->noted_at = now;
  return stalled;
}

rst_ms
rst_stall_watch_date (const struct rst_stall_watch *watch, rst_ms now)
{
  if (watch->ended_at != 0 && now - watch->ended_at < RST_STALL_DRAIN_MS)
    return watch->began_at;
  return now;
}
