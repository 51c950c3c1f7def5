#include "state/state.h"

const char *
rst_state_strerror (int error)
{
  switch (error)
    {
    case RST_STATE_OK:
      return "success";
    case RST_STATE_INVALID:
      return "value is unsound";
    case RST_STATE_STALE:
      return "a newer revision is held";
    case RST_STATE_UNKNOWN:
      return "not found";
    case RST_STATE_FULL:
      return "a bound was reached";
    default:
      return "unknown state error";
    }
}
