/**
 * DOC: agent - holds instances on behalf of the planner
 *
 * An agent extends the leases of the instances that the planner assigns to
 * it, reports their runs to the planner, forwards orders to start, stop and
 * pace runs, and makes the calls to the advice service.  While the planner or
 * the store is unreachable it goes on extending leases for a bounded time.
 */
#ifndef RST_AGENT_H
#define RST_AGENT_H

#include "cell/backend.h"
#include "cell/messages.h"
#include "cell/planner_client.h"

struct rst_agent;

/**
 * struct rst_agent_config - Configuration of an agent.
 * @backend: Calls to the instances and the advice service; their callbacks
 *   must run on the agent's thread.
 * @send: Sends a message to the planner.
 * @now: Returns monotonic time.
 * @userdata: Passed to @send.
 * @lease_ms: Length of a lease.
 * @unconfirmed_renewal_ms: How long after the store last confirmed the
 *   planner leases are still extended.
 */
struct rst_agent_config
{
  const struct rst_backend *backend;
  void (*send) (void *userdata, const void *data, size_t length);
  rst_ms (*now) (void);
  void *userdata;
  rst_ms lease_ms;
  rst_ms unconfirmed_renewal_ms;
};

/**
 * rst_agent_create() - Creates an agent that holds no instance.
 * @config: Copied.
 */
struct rst_agent *rst_agent_create (const struct rst_agent_config *config);

/**
 * rst_agent_destroy() - Frees an agent; NULL is ignored.
 *
 * No call to the backend may be pending.
 */
void rst_agent_destroy (struct rst_agent *agent);

/**
 * rst_agent_handle_message() - Handles a message from the planner.
 * @kind: Kind of the message.
 * @reader: Positioned behind the kind.
 */
void rst_agent_handle_message (struct rst_agent *agent, int kind,
                               struct rst_reader *reader);

/** rst_agent_handle_heartbeat() - Handles a heartbeat from the planner. */
void rst_agent_handle_heartbeat (struct rst_agent *agent,
                                 const struct rst_heartbeat *heartbeat);

/**
 * rst_agent_handle_link_closed() - Handles the loss of the link to the
 * planner.
 *
 * Heartbeats of later links don't apply to the instances held now, unless
 * their planner orders the agent to hold them again.
 */
void rst_agent_handle_link_closed (struct rst_agent *agent);

/** rst_agent_count_checkpoints_left_out() - Returns how many checkpoints
   instances have listed that can't be carried; each answer counts. */
uint64_t rst_agent_count_checkpoints_left_out (const struct rst_agent *agent);

/**
 * rst_agent_run() - Polls the instances whose next poll is due.
 *
 * Return: Time at which to call it again.
 */
rst_ms rst_agent_run (struct rst_agent *agent);

#endif
