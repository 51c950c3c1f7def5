/**
 * DOC: agent_private - state and functions shared by the agent's source files
 *
 * agent.c: the instances that the agent holds, their polls and leases.
 * agent_orders.c: the planner's orders to instances and to the advice service.
 */
#ifndef RST_AGENT_PRIVATE_H
#define RST_AGENT_PRIVATE_H

#include "cell/agent.h"
#include "util/log.h"

#define RST_AGENT_LOG "agent"

/* An instance that the agent holds. */
struct held_instance
{
  struct rst_agent *agent;
  char id[RST_ID_SIZE];
  char address[RST_ADDRESS_SIZE];
  int64_t fencing_token;
  /* Number of the last end that is stored, and of the last one listed. */
  int64_t last_acked_end;
  int64_t last_listed_end;
  int64_t incarnation;
  /* The instance's clock, 0 when unknown, and when it was read. */
  int64_t clock_ms;
  rst_ms clock_read_at;
  rst_ms lease_expires_at;
  rst_ms poll_wait_ms;
  /* The link to the planner over which it was last held. */
  guint link_number;
  /* When the store last confirmed the planner of an earlier link. */
  rst_ms confirmed_at;
  bool poll_pending;
  /* Whether the last poll was answered. */
  bool answering;
  bool released;
  /* Whether the last answer came from the incarnation to which last_acked_end
     and last_listed_end belong.  A restarted instance keeps its id, but
     numbers its ends from the beginning again. */
  bool same_incarnation;
  rst_ms next_poll_at;
  /* The run whose checkpoint the next report has first. */
  guint first_checkpoint;
  /* Whether its last answer had checkpoints that can't be carried. */
  bool leaves_checkpoints_out;
};

struct rst_agent
{
  struct rst_agent_config config;
  GHashTable *instances;
  /* Counts the links to planners; the present link is the last one. */
  guint link_number;
  /* When the store last confirmed the planner of the present link. */
  rst_ms confirmed_at;
  /* The last heartbeat of that link was sent at this time or later, and so
     were the messages that followed it. */
  rst_ms heartbeat_sent_at;
  /* Number of checkpoints in answers that can't be carried. */
  uint64_t checkpoints_left_out;
};

/** rst_agent_send() - Sends a message to the planner and frees its bytes. */
void rst_agent_send (struct rst_agent *agent, struct rst_pack *pack);

/**
 * rst_agent_extend_lease() - Extends the lease of an instance.
 *
 * Return: Its new expiry on the instance's clock, or 0 when the lease must not
 * be extended or that clock is unknown.
 */
int64_t rst_agent_extend_lease (struct held_instance *held, rst_ms now);

/** rst_agent_poll_instance() - Polls an instance that has no poll pending. */
void rst_agent_poll_instance (struct held_instance *held, rst_ms now);

/* agent_orders.c; each reads the message of the same kind. */
void rst_agent_start_runs (struct rst_agent *agent, struct rst_reader *reader);
void rst_agent_stop_run (struct rst_agent *agent, struct rst_reader *reader);
void rst_agent_forward_pace (struct rst_agent *agent,
                             struct rst_reader *reader);
void rst_agent_request_advice (struct rst_agent *agent,
                               struct rst_reader *reader);

#endif
