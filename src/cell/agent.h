/**
 * DOC: agent - keeps the leases of instances and carries orders to them
 *
 * Holds the instances that the planner assigns to it, reports what they list,
 * carries starts and stops, and makes calls for advice.  It goes on extending
 * leases for a bounded time while the planner or the store is away.
 */
#ifndef RST_AGENT_H
#define RST_AGENT_H

#include "cell/backend.h"
#include "cell/messages.h"

struct rst_agent;

/**
 * struct rst_agent_config - How an agent is set up.
 * @backend: Its calls; callbacks arrive on the agent's thread.
 * @send: Sends a message to the planner.
 * @now: Steady time.
 * @userdata: Passed to @send.
 * @lease_ms: Length of a lease.
 * @unconfirmed_renewal_ms: How long leases are extended after the store last
 * confirmed the planner.
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

/** rst_agent_create() - An agent that holds nothing. */
struct rst_agent *rst_agent_create (const struct rst_agent_config *config);

/** rst_agent_destroy() - Frees an agent without calls under way. */
void rst_agent_destroy (struct rst_agent *agent);

/**
 * rst_agent_handle_message() - A message of the planner.
 * @kind: Its kind.
 * @reader: At the member behind the kind.
 */
void rst_agent_handle_message (struct rst_agent *agent, int kind,
                               struct rst_reader *reader);

/**
 * rst_agent_handle_heartbeat() - The planner was heard.
 * @store_age_ms: Time since the store last confirmed it.
 */
void rst_agent_handle_heartbeat (struct rst_agent *agent, rst_ms store_age_ms);

/** rst_agent_run() - Does what is due; returns when it wants to be called. */
rst_ms rst_agent_run (struct rst_agent *agent);

#endif
