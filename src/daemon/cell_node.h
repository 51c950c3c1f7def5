/**
 * DOC: cell_node - an agent that can become the planner
 *
 * A node combines an agent, a planner client and, while this process is the
 * planner, a term.  It does no input or output itself: the owner passes link
 * events in and supplies functions to open links and send frames, so that
 * tests can run many nodes in one process.  All functions are called from
 * one thread.
 */
#ifndef RST_CELL_NODE_H
#define RST_CELL_NODE_H

#include "cell/agent.h"
#include "cell/planner.h"
#include "transport/net.h"

struct rst_cell_node;

/**
 * struct rst_cell_node_config - Configuration of a node.
 * @backend: Calls to the outside systems; callbacks must arrive on the node's
 *   thread.
 * @now: Returns monotonic time.
 * @unix_now: Returns Unix time in milliseconds.
 * @connect: Opens a link and returns its number, or 0 on failure.
 * @close: Closes a link.
 * @send: Sends a frame on a link.
 * @userdata: Passed to @connect, @close and @send.
 * @name: Name of this process; copied.
 * @zone: Its availability zone; copied.
 * @address: Address on which it listens for links; copied.
 * @timing: Times of the planner and of the agent's leases.
 * @jitter_ms: Random delay of this process before it takes over.
 * @standby_delay_ms: Further delay before a takeover, for a machine that is
 *   too small to run the planner well.
 */
struct rst_cell_node_config
{
  const struct rst_backend *backend;
  rst_ms (*now) (void);
  int64_t (*unix_now) (void);
  uint64_t (*connect) (void *userdata, const char *address);
  void (*close) (void *userdata, uint64_t link);
  void (*send) (void *userdata, uint64_t link, const void *data,
                size_t length);
  void *userdata;
  const char *name;
  const char *zone;
  const char *address;
  struct rst_planner_timing timing;
  rst_ms jitter_ms;
  rst_ms standby_delay_ms;
};

/** rst_cell_node_create() - Creates a node without a link to a planner. */
struct rst_cell_node *
rst_cell_node_create (const struct rst_cell_node_config *config);

/**
 * rst_cell_node_destroy() - Frees a node; NULL is ignored.
 *
 * No call of the agent or of the planner client may be pending.
 */
void rst_cell_node_destroy (struct rst_cell_node *node);

/**
 * rst_cell_node_handle_link_event() - Handles an event of a link.
 * @data: The frame, when @event is RST_NET_FRAME.
 * @length: Its length in bytes.
 */
void rst_cell_node_handle_link_event (struct rst_cell_node *node,
                                      enum rst_net_event event, uint64_t link,
                                      const void *data, size_t length);

/**
 * rst_cell_node_run() - Runs the agent, the planner client and the term.
 *
 * Return: Time at which to call it again.
 */
rst_ms rst_cell_node_run (struct rst_cell_node *node);

/** rst_cell_node_begin_stop() - Begins a planned stop; the planner resigns. */
void rst_cell_node_begin_stop (struct rst_cell_node *node);

/** rst_cell_node_is_stopped() - Whether a planned stop is complete or has
 * timed out. */
bool rst_cell_node_is_stopped (const struct rst_cell_node *node);

/** rst_cell_node_has_term() - Whether the node has a term, also while its
 * takeover is still being tried. */
bool rst_cell_node_has_term (const struct rst_cell_node *node);

/** rst_cell_node_get_agent() - Returns the node's agent. */
const struct rst_agent *
rst_cell_node_get_agent (const struct rst_cell_node *node);

/** rst_cell_node_get_planner() - Returns the node's planner, or NULL. */
const struct rst_planner *
rst_cell_node_get_planner (const struct rst_cell_node *node);

#endif
