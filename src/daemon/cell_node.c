#include "daemon/cell_node.h"

#include <string.h>

#include "cell/planner_client.h"
#include "daemon/term.h"
#include "util/log.h"

#define LOG_DOMAIN "node"

/** Leases are this much shorter than the longest that an instance grants, in
    milliseconds. */
#define LEASE_MARGIN_MS 100

/** Longest wait for the planner's last commit at a planned stop, in
    milliseconds. */
#define RESIGN_TIMEOUT_MS 1000

struct rst_cell_node
{
  struct rst_cell_node_config config;
  struct rst_agent *agent;
  struct rst_planner_client *planner_client;
  /* NULL while this process neither is the planner nor tries to become it. */
  struct rst_term *term;
  /* The term is to be destroyed. */
  bool term_ended;
  /* Address of the planner that the term replaced, and the link to it. */
  char previous_planner[RST_ADDRESS_SIZE];
  uint64_t previous_planner_link;
  bool stopping;
  rst_ms stop_deadline;
};

static uint64_t
open_link (void *userdata, const char *address)
{
  struct rst_cell_node *node = userdata;

  return node->config.connect (node->config.userdata, address);
}

static void
close_link (void *userdata, uint64_t link)
{
  struct rst_cell_node *node = userdata;

  node->config.close (node->config.userdata, link);
}

static void
send_frame (void *userdata, uint64_t link, const void *data, size_t length)
{
  struct rst_cell_node *node = userdata;

  node->config.send (node->config.userdata, link, data, length);
}

static void
send_to_planner (void *userdata, const void *data, size_t length)
{
  struct rst_cell_node *node = userdata;

  rst_planner_client_send (node->planner_client, data, length);
}

static void
on_message (void *userdata, int kind, struct rst_reader *reader)
{
  struct rst_cell_node *node = userdata;

  rst_agent_handle_message (node->agent, kind, reader);
}

static void
on_connected (void *userdata, bool serving)
{
  (void)userdata;
  (void)serving;
}

static void
on_disconnected (void *userdata)
{
  struct rst_cell_node *node = userdata;

  rst_agent_handle_link_closed (node->agent);
}

static void
on_heartbeat (void *userdata, const struct rst_heartbeat *heartbeat)
{
  struct rst_cell_node *node = userdata;

  rst_agent_handle_heartbeat (node->agent, heartbeat);
}

static void
on_term_ended (void *userdata)
{
  struct rst_cell_node *node = userdata;

  node->term_ended = true;
}

/* Connects to the previous planner to send it a redirect: it may have lost its
   connection to the store but not to its peers. */
static void
on_term_elected (void *userdata)
{
  struct rst_cell_node *node = userdata;

  if (node->previous_planner[0] != '\0'
      && strcmp (node->previous_planner, node->config.address) != 0)
    node->previous_planner_link = open_link (node, node->previous_planner);
}

static void
send_redirect (struct rst_cell_node *node)
{
  struct rst_pack pack;

  if (node->term == NULL)
    return;
  rst_pack_init (&pack, 3);
  rst_pack_int (&pack, RST_MSG_REDIRECT);
  rst_pack_int (&pack, rst_term_get_epoch (node->term));
  rst_pack_text (&pack, node->config.address);
  send_frame (node, node->previous_planner_link, pack.buffer.data,
              pack.buffer.size);
  rst_pack_clear (&pack);
}

static void
start_term (void *userdata, int64_t revision,
            const struct rst_planner_record *record)
{
  struct rst_cell_node *node = userdata;
  struct rst_term_config config = { 0 };

  if (node->term != NULL || node->stopping)
    return;
  config.backend = node->config.backend;
  config.now = node->config.now;
  config.unix_now = node->config.unix_now;
  config.send = send_frame;
  config.close = close_link;
  config.on_elected = on_term_elected;
  config.on_ended = on_term_ended;
  config.userdata = node;
  config.timing = node->config.timing;
  config.name = node->config.name;
  config.address = node->config.address;
  config.zone = node->config.zone;
  g_strlcpy (node->previous_planner, record->address,
             sizeof node->previous_planner);
  node->term = rst_term_create (&config, revision, record);
}

void
rst_cell_node_handle_link_event (struct rst_cell_node *node,
                                 enum rst_net_event event, uint64_t link,
                                 const void *data, size_t length)
{
  bool is_planner_link
      = rst_planner_client_owns_link (node->planner_client, link);

  if (event == RST_NET_OPENED && is_planner_link)
    rst_planner_client_link_opened (node->planner_client);
  else if (event == RST_NET_FRAME && is_planner_link)
    rst_planner_client_handle_frame (node->planner_client, data, length);
  else if (event == RST_NET_CLOSED && is_planner_link)
    rst_planner_client_link_closed (node->planner_client);
  else if (event == RST_NET_OPENED && link == node->previous_planner_link)
    send_redirect (node);
  else if (event == RST_NET_FRAME && node->term != NULL)
    rst_term_handle_frame (node->term, link, data, length);
  else if (event == RST_NET_FRAME)
    close_link (node, link);
  else if (event == RST_NET_CLOSED && node->term != NULL)
    rst_term_handle_link_closed (node->term, link);
}

static void
destroy_term (struct rst_cell_node *node)
{
  rst_term_destroy (node->term);
  node->term = NULL;
  node->term_ended = false;
}

rst_ms
rst_cell_node_run (struct rst_cell_node *node)
{
  rst_ms wake = rst_agent_run (node->agent);

  wake = MIN (wake, rst_planner_client_run (node->planner_client));
  if (node->term != NULL && !node->term_ended)
    wake = MIN (wake, rst_term_run (node->term));
  if (node->term_ended)
    destroy_term (node);
  return wake;
}

void
rst_cell_node_begin_stop (struct rst_cell_node *node)
{
  rst_info (LOG_DOMAIN, "Planned stop begins.");
  node->stopping = true;
  node->stop_deadline = node->config.now () + RESIGN_TIMEOUT_MS;
  if (node->term != NULL)
    rst_term_resign (node->term);
}

bool
rst_cell_node_is_stopped (const struct rst_cell_node *node)
{
  return node->stopping
         && (node->term == NULL || rst_term_is_idle (node->term)
             || node->config.now () >= node->stop_deadline);
}

bool
rst_cell_node_has_term (const struct rst_cell_node *node)
{
  return node->term != NULL && !node->term_ended;
}

const struct rst_planner *
rst_cell_node_get_planner (const struct rst_cell_node *node)
{
  return rst_cell_node_has_term (node) ? rst_term_get_planner (node->term)
                                       : NULL;
}

const struct rst_agent *
rst_cell_node_get_agent (const struct rst_cell_node *node)
{
  return node->agent;
}

struct rst_cell_node *
rst_cell_node_create (const struct rst_cell_node_config *config)
{
  struct rst_cell_node *node = g_new0 (struct rst_cell_node, 1);
  struct rst_agent_config agent_config = { 0 };
  struct rst_planner_client_config client_config = { 0 };

  node->config = *config;
  node->config.name = g_strdup (config->name);
  node->config.zone = g_strdup (config->zone);
  node->config.address = g_strdup (config->address);
  agent_config.backend = config->backend;
  agent_config.send = send_to_planner;
  agent_config.now = config->now;
  agent_config.userdata = node;
  agent_config.lease_ms = config->timing.lease_ms - LEASE_MARGIN_MS;
  agent_config.unconfirmed_renewal_ms = config->timing.unconfirmed_renewal_ms;
  node->agent = rst_agent_create (&agent_config);
  client_config.backend = config->backend;
  client_config.now = config->now;
  client_config.connect = open_link;
  client_config.close = close_link;
  client_config.send = send_frame;
  client_config.on_message = on_message;
  client_config.on_connected = on_connected;
  client_config.on_disconnected = on_disconnected;
  client_config.on_heartbeat = on_heartbeat;
  client_config.take_over = start_term;
  client_config.userdata = node;
  client_config.role = RST_ROLE_AGENT;
  client_config.name = node->config.name;
  client_config.zone = node->config.zone;
  client_config.jitter_ms = config->jitter_ms;
  client_config.standby_delay_ms = config->standby_delay_ms;
  node->planner_client = rst_planner_client_create (&client_config);
  return node;
}

void
rst_cell_node_destroy (struct rst_cell_node *node)
{
  if (node == NULL)
    return;
  rst_term_destroy (node->term);
  rst_agent_destroy (node->agent);
  rst_planner_client_destroy (node->planner_client);
  g_free ((char *)node->config.name);
  g_free ((char *)node->config.zone);
  g_free ((char *)node->config.address);
  g_free (node);
}
