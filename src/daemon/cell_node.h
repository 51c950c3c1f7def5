/**
 * DOC: cell_node - an agent and, for a term, the planner
 *
 * Joins agent, seeker and term over links.  It does no input or output of its
 * own, so that tests run many nodes in one process.
 */
#ifndef RST_CELL_NODE_H
#define RST_CELL_NODE_H

#include "cell/planner.h"
#include "transport/net.h"

struct rst_cell_node;

/**
 * struct rst_cell_node_config - How a node is set up.
 * @backend: Calls; callbacks arrive on the node's thread.
 * @now: Steady time.
 * @unix_now: Time of day in milliseconds.
 * @connect: Opens a link and returns its number; 0 when it can't.
 * @close: Closes a link.
 * @send: Sends a frame.
 * @userdata: Passed to the three.
 * @name: Name of this process; copied.
 * @zone: Its availability zone; copied.
 * @address: Where it listens; copied.
 * @timing: Times for the planner.
 * @jitter_ms: Own share of the wait before taking over.
 * @standby_delay_ms: Further wait of a machine too small to plan well.
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

/** rst_cell_node_create() - A node that seeks the planner. */
struct rst_cell_node *
rst_cell_node_create (const struct rst_cell_node_config *config);

/** rst_cell_node_destroy() - Frees a node without calls under way. */
void rst_cell_node_destroy (struct rst_cell_node *node);

/** rst_cell_node_handle_link_event() - Something happened to a link. */
void rst_cell_node_handle_link_event (struct rst_cell_node *node,
                                      enum rst_net_event event, uint64_t link,
                                      const void *data, size_t length);

/** rst_cell_node_run() - Does what is due; returns when to be called again. */
rst_ms rst_cell_node_run (struct rst_cell_node *node);

/** rst_cell_node_begin_stop() - Begins a planned stop. */
void rst_cell_node_begin_stop (struct rst_cell_node *node);

/** rst_cell_node_is_stopped() - Whether a planned stop is complete. */
bool rst_cell_node_is_stopped (const struct rst_cell_node *node);

/** rst_cell_node_is_planner() - Whether the node is the planner. */
bool rst_cell_node_is_planner (const struct rst_cell_node *node);

/** rst_cell_node_get_planner() - The node's planner, or NULL. */
const struct rst_planner *
rst_cell_node_get_planner (const struct rst_cell_node *node);

#endif
