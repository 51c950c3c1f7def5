#include "state/state.h"

const char *
rst_state_strerror (int error)
{
  switch (error)
    {
    case RST_STATE_OK:
      return "success";
    case RST_STATE_INVALID:
      return "invalid value";
    case RST_STATE_STALE:
      return "a newer revision is known";
    case RST_STATE_UNKNOWN:
      return "not found";
    case RST_STATE_FULL:
      return "no free entry";
    default:
      return "unknown state error";
    }
}
