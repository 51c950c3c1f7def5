/**
 * DOC: body_budget - decides which connections make room for others
 *
 * Load pattern: callers that nobody controls open many connections, send
 * bodies up to the limit, and stop short of their end or send nothing.
 *
 * One budget bounds the bytes that all requests of a process hold: their
 * bodies, and what is kept of them until their answer.  A group bounds the
 * connections of one listener.  When a bound is reached, the connection that
 * has been incomplete or idle for longest makes room; a request that is
 * complete never does, since its outcome may be decided already.
 *
 * The module has no clock, locks or sockets.  It orders connections by the
 * calls made for them.  Each decision takes constant time, because they become
 * frequent under such a load; for this the queues are GLib's, which know their
 * tail.
 */
#ifndef RST_BODY_BUDGET_H
#define RST_BODY_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/** Memory, in MB, that a process is assumed to have when its settings don't
    name any. */
#define RST_BODY_MEMORY_DEFAULT_MB 256

/** Smallest memory, in MB, that settings may name: the programs need 12 MB
    without callers. */
#define RST_BODY_MEMORY_MIN_MB 32

/** Smallest number of descriptors that settings may name. */
#define RST_BODY_FDS_MIN 256

/** Descriptors that are kept for files, links, the store and the pages of a
    process; the smallest entry instances keep 200 for files. */
#define RST_BODY_RESERVED_FDS 200

/** Memory of the HTTP library that a caller's connection may use if the
    settings name the memory, in bytes.  Headers above it are rejected with
    status 431. */
#define RST_BODY_CONNECTION_BYTES 16384

/** The same for listeners of pages. */
#define RST_BODY_PAGE_CONNECTION_BYTES 8192

/**
 * enum rst_body_phase - Phases of a connection.
 * @RST_BODY_IDLE: No request is known; its headers may be incomplete.
 * @RST_BODY_READING: The headers are complete and the body is not.
 * @RST_BODY_DISCARDING: The body is incomplete, and the rest of it is not
 * kept.
 * @RST_BODY_COMPLETE: The request is complete and waits for its answer.
 * @RST_BODY_CLOSING: It makes room for others and is about to be closed.
 */
enum rst_body_phase
{
  RST_BODY_IDLE,
  RST_BODY_READING,
  RST_BODY_DISCARDING,
  RST_BODY_COMPLETE,
  RST_BODY_CLOSING,
};

/**
 * enum rst_body_decision - Decisions on a wish for bytes.
 * @RST_BODY_GRANTED: The bytes are held now.
 * @RST_BODY_EVICT: Another connection has to be closed first.
 * @RST_BODY_REFUSED: There is no room, and none is to be made.
 */
enum rst_body_decision
{
  RST_BODY_GRANTED,
  RST_BODY_EVICT,
  RST_BODY_REFUSED,
};

/**
 * struct rst_body_stats - What was decided so far.
 * @refused: Requests for which there was no room.
 * @closed_for_bytes: Connections closed to make room for bytes.
 * @closed_for_connections: Connections closed to make room for connections.
 * @bytes: Bytes that are held now.
 */
struct rst_body_stats
{
  uint64_t refused;
  uint64_t closed_for_bytes;
  uint64_t closed_for_connections;
  size_t bytes;
};

/** rst_body_stats_add() - Adds the counters of another budget. */
void rst_body_stats_add (struct rst_body_stats *sum,
                         const struct rst_body_stats *more);

/**
 * struct rst_body_budget - The bytes of a process.
 * @bytes_max: Maximum of bytes held.
 * @reading: Connections whose body is incomplete; the oldest is the head.
 * @stats: Counters.
 */
struct rst_body_budget
{
  size_t bytes_max;
  GQueue reading;
  struct rst_body_stats stats;
};

/**
 * struct rst_body_group - The connections of a listener.
 * @connections_max: Maximum number of connections.
 * @connections: Number of connections that are not about to be closed.
 * @waiting: Connections that are idle or incomplete; the one that has been so
 *   for longest is the head.
 */
struct rst_body_group
{
  unsigned connections_max;
  unsigned connections;
  GQueue waiting;
};

/**
 * struct rst_body_holder - One connection.
 * @group: Its group.
 * @phase: Its phase.
 * @bytes: Bytes that it holds.
 * @reading_link: Its place in the budget's queue.
 * @waiting_link: Its place in the group's queue.
 */
struct rst_body_holder
{
  struct rst_body_group *group;
  enum rst_body_phase phase;
  size_t bytes;
  GList reading_link;
  GList waiting_link;
};

/** rst_body_budget_init() - Initializes a budget. */
void rst_body_budget_init (struct rst_body_budget *budget, size_t bytes_max);

/** rst_body_group_init() - Initializes a group. */
void rst_body_group_init (struct rst_body_group *group,
                          unsigned connections_max);

/** rst_body_budget_open() - Adds a connection, which is idle. */
void rst_body_budget_open (struct rst_body_group *group,
                           struct rst_body_holder *holder);

/**
 * rst_body_group_find_excess() - Finds a connection that has to be closed.
 * @newest: The connection that was opened last.
 *
 * Return: NULL while the group is within its bound.  Otherwise the connection
 * that has been idle or incomplete for longest, or @newest if all others are
 * complete.
 */
struct rst_body_holder *
rst_body_group_find_excess (const struct rst_body_group *group,
                            struct rst_body_holder *newest);

/** rst_body_budget_begin() - The headers of a request are complete. */
void rst_body_budget_begin (struct rst_body_budget *budget,
                            struct rst_body_holder *holder);

/**
 * rst_body_budget_charge() - A connection wants to hold more bytes.
 * @bytes: Number of bytes in addition to those that it holds.
 * @victim: Set with RST_BODY_EVICT to the connection that has been incomplete
 *   for longest.  The caller closes it by rst_body_budget_evict() and asks
 *   again.
 *
 * A connection that itself has been incomplete for longest is refused: those
 * that began later don't make room for it.
 */
enum rst_body_decision
rst_body_budget_charge (struct rst_body_budget *budget,
                        struct rst_body_holder *holder, size_t bytes,
                        struct rst_body_holder **victim);

/** rst_body_budget_release() - A connection holds fewer bytes. */
void rst_body_budget_release (struct rst_body_budget *budget,
                              struct rst_body_holder *holder, size_t bytes);

/** rst_body_budget_discard() - An incomplete request holds nothing any more,
   so closing it makes no room for bytes. */
void rst_body_budget_discard (struct rst_body_budget *budget,
                              struct rst_body_holder *holder);

/** rst_body_budget_complete() - A request is complete.  What it holds stays
    until its end. */
void rst_body_budget_complete (struct rst_body_budget *budget,
                               struct rst_body_holder *holder);

/** rst_body_budget_finish() - A request ended; the connection holds nothing
    and is idle. */
void rst_body_budget_finish (struct rst_body_budget *budget,
                             struct rst_body_holder *holder);

/** rst_body_budget_evict() - A connection is about to be closed; what it held
    is free. */
void rst_body_budget_evict (struct rst_body_budget *budget,
                            struct rst_body_holder *holder);

/** rst_body_budget_close() - Removes a connection. */
void rst_body_budget_close (struct rst_body_budget *budget,
                            struct rst_body_holder *holder);

/**
 * struct rst_body_limits - Settings from which the bounds are derived.
 * @memory_mb: Memory of the process; 0 when unknown.
 * @max_fds: Descriptors of the process; 0 when unknown.
 * @budget_bytes: The budget; 0 derives it from @memory_mb.
 * @body_bytes: Largest body.
 * @connections: Largest number of connections of the callers' listener.
 */
struct rst_body_limits
{
  int64_t memory_mb;
  int64_t max_fds;
  int64_t budget_bytes;
  int64_t body_bytes;
  int64_t connections;
};

/**
 * rst_body_limits_check() - Checks settings.
 * @problems: One line for each problem is appended; it begins with the field.
 *
 * Return: Whether there is no problem.
 */
bool rst_body_limits_check (const struct rst_body_limits *limits,
                            GString *problems);

/** rst_body_limits_get_bytes() - Returns the budget: a quarter of the memory
    unless it is set. */
size_t rst_body_limits_get_bytes (const struct rst_body_limits *limits);

/**
 * rst_body_limits_get_connections() - Returns the bound of the callers'
 * listener.
 *
 * It leaves RST_BODY_RESERVED_FDS descriptors, and half of the memory.
 */
unsigned
rst_body_limits_get_connections (const struct rst_body_limits *limits);

/** rst_body_limits_get_connection_bytes() - Returns the HTTP library's memory
    for a caller's connection; 0 for its default. */
size_t
rst_body_limits_get_connection_bytes (const struct rst_body_limits *limits);

/** rst_body_limits_get_tables() - Returns the memory for what callers' jobs
   take beyond requests, a quarter; 0 when the memory is unknown. */
int64_t rst_body_limits_get_tables (const struct rst_body_limits *limits);

/**
 * rst_body_limits_get_peers() - Returns the bound of a listener of peers: a
 * quarter of the descriptors, or @fallback when they are unknown.
 */
unsigned rst_body_limits_get_peers (const struct rst_body_limits *limits,
                                    unsigned fallback);

#endif
