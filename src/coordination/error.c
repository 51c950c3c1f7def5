#include "rosemarystile.h"

const char *
rst_strerror (int error)
{
  switch (error)
    {
    case RST_OK:
      return "success";
    case RST_ERROR_NO_MEMORY:
      return "out of memory";
    case RST_ERROR_INVALID:
      return "invalid argument or record";
    case RST_ERROR_NOT_FOUND:
      return "not found";
    case RST_ERROR_FULL:
      return "no free entry";
    case RST_ERROR_STALE:
      return "version is older than the one held";
    case RST_ERROR_NOT_HELD:
      return "lease or ownership is not held";
    case RST_ERROR_LIMIT:
      return "upper limit reached";
    default:
      return "unknown error";
    }
}
