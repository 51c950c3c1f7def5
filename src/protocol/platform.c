#include "protocol/platform.h"

const char *
rst_platform_result_name (int result)
{
  switch (result)
    {
    case RST_PLATFORM_OK:
      return "ok";
    case RST_PLATFORM_CONFLICT:
      return "conflict";
    case RST_PLATFORM_NOT_FOUND:
      return "not-found";
    case RST_PLATFORM_REJECTED:
      return "refused";
    case RST_PLATFORM_FENCED:
      return "fenced";
    case RST_PLATFORM_NOT_SENT:
      return "not-sent";
    default:
      return "unknown";
    }
}

const char *
rst_task_result_name (uint64_t result)
{
  switch (result)
    {
    case RST_TASK_RUNNING:
      return "running";
    case RST_TASK_RESERVED:
      return "held";
    case RST_TASK_DONE:
      return "done";
    case RST_TASK_FAILED:
      return "failed";
    case RST_TASK_STOPPED:
      return "stopped";
    case RST_TASK_MOVED:
      return "moved";
    case RST_TASK_LOST:
      return "lost";
    case RST_TASK_NOT_RUN:
      return "not-run";
    default:
      return "unknown";
    }
}
