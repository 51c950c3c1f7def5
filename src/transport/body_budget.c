#include "transport/body_budget.h"

#include <inttypes.h>

#define MB_BYTES ((int64_t)1024 * 1024)

/** The share of the memory that bodies may take is one of this many parts.
    Connections may take two; one remains for the rest of the process. */
#define MEMORY_PARTS 4

/** Memory of a connection beside the HTTP library's buffer, in bytes. */
#define CONNECTION_OVERHEAD_BYTES 2048

/** A body's buffer doubles as it grows, up to this many times the body. */
#define BUFFER_GROWTH 2

void
rst_body_stats_add (struct rst_body_stats *sum,
                    const struct rst_body_stats *more)
{
  sum->refused += more->refused;
  sum->closed_for_bytes += more->closed_for_bytes;
  sum->closed_for_connections += more->closed_for_connections;
  sum->bytes += more->bytes;
}

void
rst_body_budget_init (struct rst_body_budget *budget, size_t bytes_max)
{
  *budget = (struct rst_body_budget){ 0 };
  budget->bytes_max = bytes_max;
  g_queue_init (&budget->reading);
}

void
rst_body_group_init (struct rst_body_group *group, unsigned connections_max)
{
  *group = (struct rst_body_group){ 0 };
  group->connections_max = connections_max;
  g_queue_init (&group->waiting);
}

static bool
is_reading (const struct rst_body_holder *holder)
{
  return holder->phase == RST_BODY_READING;
}

static bool
is_waiting (const struct rst_body_holder *holder)
{
  return holder->phase == RST_BODY_IDLE || is_reading (holder)
         || holder->phase == RST_BODY_DISCARDING;
}

/* Moves a connection between the queues of its phases; in each of them it
   becomes the newest. */
static void
set_phase (struct rst_body_budget *budget, struct rst_body_holder *holder,
           enum rst_body_phase phase)
{
  if (is_reading (holder))
    g_queue_unlink (&budget->reading, &holder->reading_link);
  if (is_waiting (holder))
    g_queue_unlink (&holder->group->waiting, &holder->waiting_link);
  holder->phase = phase;
  if (is_reading (holder))
    g_queue_push_tail_link (&budget->reading, &holder->reading_link);
  if (is_waiting (holder))
    g_queue_push_tail_link (&holder->group->waiting, &holder->waiting_link);
}

void
rst_body_budget_open (struct rst_body_group *group,
                      struct rst_body_holder *holder)
{
  *holder = (struct rst_body_holder){ 0 };
  holder->group = group;
  holder->phase = RST_BODY_IDLE;
  holder->reading_link.data = holder;
  holder->waiting_link.data = holder;
  g_queue_push_tail_link (&group->waiting, &holder->waiting_link);
  group->connections++;
}

struct rst_body_holder *
rst_body_group_find_excess (const struct rst_body_group *group,
                            struct rst_body_holder *newest)
{
  if (group->connections <= group->connections_max)
    return NULL;
  return group->waiting.head != NULL ? group->waiting.head->data : newest;
}

void
rst_body_budget_begin (struct rst_body_budget *budget,
                       struct rst_body_holder *holder)
{
  /* A peer's connection that is in use begins another message. */
  if (holder->phase == RST_BODY_IDLE || holder->phase == RST_BODY_COMPLETE)
    set_phase (budget, holder, RST_BODY_READING);
}

enum rst_body_decision
rst_body_budget_charge (struct rst_body_budget *budget,
                        struct rst_body_holder *holder, size_t bytes,
                        struct rst_body_holder **victim)
{
  GList *oldest = budget->reading.head;

  if (holder->phase == RST_BODY_CLOSING)
    return RST_BODY_REFUSED;
  if (bytes <= budget->bytes_max
      && budget->stats.bytes <= budget->bytes_max - bytes)
    {
      budget->stats.bytes += bytes;
      holder->bytes += bytes;
      return RST_BODY_GRANTED;
    }
  if (bytes <= budget->bytes_max && oldest != NULL && oldest->data != holder)
    {
      *victim = oldest->data;
      return RST_BODY_EVICT;
    }
  budget->stats.refused++;
  return RST_BODY_REFUSED;
}

void
rst_body_budget_release (struct rst_body_budget *budget,
                         struct rst_body_holder *holder, size_t bytes)
{
  size_t released = MIN (bytes, holder->bytes);

  holder->bytes -= released;
  budget->stats.bytes -= released;
}

void
rst_body_budget_discard (struct rst_body_budget *budget,
                         struct rst_body_holder *holder)
{
  rst_body_budget_release (budget, holder, holder->bytes);
  if (!is_reading (holder))
    return;
  /* It has been incomplete for as long as before. */
  g_queue_unlink (&budget->reading, &holder->reading_link);
  holder->phase = RST_BODY_DISCARDING;
}

void
rst_body_budget_complete (struct rst_body_budget *budget,
                          struct rst_body_holder *holder)
{
  if (holder->phase != RST_BODY_CLOSING)
    set_phase (budget, holder, RST_BODY_COMPLETE);
}

void
rst_body_budget_finish (struct rst_body_budget *budget,
                        struct rst_body_holder *holder)
{
  rst_body_budget_release (budget, holder, holder->bytes);
  if (holder->phase != RST_BODY_CLOSING)
    set_phase (budget, holder, RST_BODY_IDLE);
}

void
rst_body_budget_evict (struct rst_body_budget *budget,
                       struct rst_body_holder *holder)
{
  if (holder->phase == RST_BODY_CLOSING)
    return;
  rst_body_budget_release (budget, holder, holder->bytes);
  set_phase (budget, holder, RST_BODY_CLOSING);
  holder->group->connections--;
}

void
rst_body_budget_close (struct rst_body_budget *budget,
                       struct rst_body_holder *holder)
{
  rst_body_budget_evict (budget, holder);
}

/* ---- Settings ----------------------------------------------------------- */

static int64_t
get_memory_bytes (const struct rst_body_limits *limits)
{
  int64_t memory_mb
      = limits->memory_mb > 0 ? limits->memory_mb : RST_BODY_MEMORY_DEFAULT_MB;

  return memory_mb * MB_BYTES;
}

bool
rst_body_limits_check (const struct rst_body_limits *limits, GString *problems)
{
  size_t length = problems->len;
  int64_t needed = BUFFER_GROWTH * limits->body_bytes;

  if (limits->memory_mb != 0 && limits->memory_mb < RST_BODY_MEMORY_MIN_MB)
    g_string_append_printf (problems,
                            "limits.memory_mb: must be 0 or at least %d\n",
                            RST_BODY_MEMORY_MIN_MB);
  else if (limits->budget_bytes == 0
           && (int64_t)rst_body_limits_get_bytes (limits) < needed)
    g_string_append_printf (problems,
                            "limits.memory_mb: must be at least %" PRId64
                            " for bodies of limits.body_bytes\n",
                            (needed * MEMORY_PARTS + MB_BYTES - 1) / MB_BYTES);
  if (limits->max_fds != 0 && limits->max_fds < RST_BODY_FDS_MIN)
    g_string_append_printf (problems,
                            "limits.max_fds: must be 0 or at least %d\n",
                            RST_BODY_FDS_MIN);
  if (limits->budget_bytes != 0 && limits->budget_bytes < needed)
    g_string_append_printf (problems,
                            "limits.budget_bytes: must be 0 or at least twice "
                            "limits.body_bytes, %" PRId64 "\n",
                            needed);
  else if (limits->budget_bytes > get_memory_bytes (limits) / 2
           && limits->memory_mb > 0)
    g_string_append (
        problems,
        "limits.budget_bytes: must be at most half of limits.memory_mb\n");
  return problems->len == length;
}

size_t
rst_body_limits_get_bytes (const struct rst_body_limits *limits)
{
  if (limits->budget_bytes > 0)
    return (size_t)limits->budget_bytes;
  return (size_t)(get_memory_bytes (limits) / MEMORY_PARTS);
}

unsigned
rst_body_limits_get_connections (const struct rst_body_limits *limits)
{
  int64_t connections = limits->connections;

  if (limits->max_fds > 0)
    connections = MIN (connections, limits->max_fds - RST_BODY_RESERVED_FDS);
  if (limits->memory_mb > 0)
    connections = MIN (connections, get_memory_bytes (limits) / 2
                                        / (RST_BODY_CONNECTION_BYTES
                                           + CONNECTION_OVERHEAD_BYTES));
  return (unsigned)connections;
}

unsigned
rst_body_limits_get_peers (const struct rst_body_limits *limits,
                           unsigned fallback)
{
  return limits->max_fds > 0 ? (unsigned)(limits->max_fds / 4) : fallback;
}

size_t
rst_body_limits_get_connection_bytes (const struct rst_body_limits *limits)
{
  return limits->memory_mb > 0 ? RST_BODY_CONNECTION_BYTES : 0;
}

int64_t
rst_body_limits_get_tables (const struct rst_body_limits *limits)
{
  return limits->memory_mb > 0 ? get_memory_bytes (limits) / MEMORY_PARTS : 0;
}
