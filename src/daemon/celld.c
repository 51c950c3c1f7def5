/**
 * DOC: celld - the planner and its agents
 *
 * Every entry instance runs one celld process.  Each is an agent, and one at
 * a time is also the planner.
 */
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "adapter.h"
#include "daemon/cell_loop.h"
#include "daemon/cell_metrics.h"
#include "daemon/cell_node.h"
#include "daemon/limit_settings.h"
#include "transport/http_client.h"
#include "transport/transport.h"
#include "util/os.h"
#include "util/program.h"

#define LOG_DOMAIN "celld"

/** Maximum number of open connections to the store, the advice service and
    instances. */
#define CONNECTIONS_MAX 1500

/** Maximum number of connections to one address, well below the number that an
    instance accepts. */
#define CONNECTIONS_PER_HOST_MAX 8

/** How long agents extend leases while the store does not confirm the planner,
    in milliseconds. */
#define UNCONFIRMED_RENEWAL_MS 5000

/** Upper bound of the random delay before a takeover, in milliseconds. */
#define TAKEOVER_JITTER_MS 120

/** A machine with a smaller share of a core or a slower link, in Mbit/s, lets
    larger machines become the planner first. */
#define SMALL_MACHINE_CPU_SHARE 0.2
#define SMALL_MACHINE_LINK_MBPS 50.0

/** Bytes that a link of one Mbit/s carries in a millisecond. */
#define BYTES_PER_MS_AND_MBPS 125.0

/** Further delay before a takeover on such a machine, in milliseconds. */
#define STANDBY_DELAY_MS 400

struct settings
{
  char name[RST_NAME_SIZE];
  char zone[RST_NAME_SIZE];
  char listen[RST_ADDRESS_SIZE];
  /* Where other processes reach it, if not at the address it listens on. */
  char advertise[RST_ADDRESS_SIZE];
  char store[RST_ADDRESS_SIZE];
  char advice[RST_ADDRESS_SIZE];
  /* Where the list of machines is read; "" for no such list. */
  char machines[RST_ADDRESS_SIZE];
  char metrics[RST_ADDRESS_SIZE];
  int64_t lease_max_ms;
  int64_t status_s;
  int64_t early_ms;
  struct rst_body_limits limits;
  int64_t latest_end_percent;
  char cpu_share[16];
  char link_mbps[16];
  char log_level[16];
  /* Heterogeneous instances (cell/plan_speed.c). */
  bool placement_speed;
  /* Data locality. */
  char remote_penalty[32];
};

static const char *const log_levels[]
    = { "error", "warning", "info", "debug", NULL };

#define TEXT(path, type, required, member)                                    \
  RST_CONF_STRING_FIELD (path, type, required, struct settings, member)
#define INT(path, member, min, max)                                           \
  RST_CONF_INTEGER_FIELD (path, false, struct settings, member, min, max)

static const struct rst_conf_field fields[] = {
  TEXT ("name", RST_CONF_NAME, true, name),
  TEXT ("availability_zone", RST_CONF_NAME, true, zone),
  TEXT ("listen", RST_CONF_ADDRESS, true, listen),
  TEXT ("advertise", RST_CONF_ADDRESS, false, advertise),
  TEXT ("store", RST_CONF_ADDRESS, true, store),
  TEXT ("advice", RST_CONF_STRING, false, advice),
  TEXT ("machines", RST_CONF_STRING, false, machines),
  TEXT ("metrics", RST_CONF_ADDRESS, false, metrics),
  INT ("lease_max_ms", lease_max_ms, 500, 600000),
  INT ("status_s", status_s, 1, 86400),
  INT ("early_ms", early_ms, 0, 60000),
  RST_LIMIT_FIELDS (struct settings),
  INT ("admission.latest_end_percent", latest_end_percent, 0, 10000),
  TEXT ("machine.cpu_share", RST_CONF_STRING, false, cpu_share),
  TEXT ("machine.link_mbps", RST_CONF_STRING, false, link_mbps),
  { "placement.speed", RST_CONF_BOOL, false,
    offsetof (struct settings, placement_speed), sizeof (bool), 0, 0, NULL },
  { "log.level", RST_CONF_CHOICE, false, offsetof (struct settings, log_level),
    16, 0, 0, log_levels },
  TEXT ("remote_penalty", RST_CONF_STRING, false, remote_penalty),
};

struct celld
{
  struct settings settings;
  struct rst_cell_loop *loop;
  struct rst_http_client *client;
  struct rst_adapter *adapter;
  struct rst_cell_node *node;
};

static int64_t
unix_now (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_REALTIME, &ts);
  return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static void
on_link_event (void *userdata, enum rst_net_event event, uint64_t link,
               const void *data, size_t length)
{
  struct celld *celld = userdata;

  rst_cell_node_handle_link_event (celld->node, event, link, data, length);
}

static rst_ms
on_tick (void *userdata)
{
  struct celld *celld = userdata;
  rst_ms wake = rst_cell_node_run (celld->node);

  if (rst_cell_node_is_stopped (celld->node))
    rst_cell_loop_stop (celld->loop);
  return wake;
}

static void
begin_stop (void *userdata)
{
  struct celld *celld = userdata;

  rst_cell_node_begin_stop (celld->node);
}

static void
serve_metrics (struct rst_http_request *request, void *userdata)
{
  struct celld *celld = userdata;
  struct rst_body_stats limits;
  char *page;

  rst_cell_loop_read_limit_stats (celld->loop, &limits);
  page = rst_cell_metrics_format_page (celld->node, &limits);

  rst_http_request_reply (request, 200, "text/plain", page, strlen (page), 0);
  g_free (page);
}

/* Planning for 350 instances takes 0.13 cores, so a machine with little more
   than that waits for larger ones to take over. */
static rst_ms
get_standby_delay_ms (const struct settings *settings)
{
  double share = g_ascii_strtod (settings->cpu_share, NULL);
  double link = g_ascii_strtod (settings->link_mbps, NULL);

  if ((share > 0.0 && share < SMALL_MACHINE_CPU_SHARE)
      || (link > 0.0 && link < SMALL_MACHINE_LINK_MBPS))
    return STANDBY_DELAY_MS;
  return 0;
}

static void
create_node (struct celld *celld)
{
  const struct settings *settings = &celld->settings;
  struct rst_cell_node_config config = { 0 };

  config.backend = rst_cell_loop_wrap_backend (
      celld->loop, rst_adapter_get_backend (celld->adapter));
  config.now = rst_os_now;
  config.unix_now = unix_now;
  config.connect = rst_cell_loop_open_link;
  config.close = rst_cell_loop_close_link;
  config.send = rst_cell_loop_send_frame;
  config.userdata = celld->loop;
  config.name = settings->name;
  config.zone = settings->zone;
  config.address = settings->advertise[0] != '\0'
                       ? settings->advertise
                       : rst_cell_loop_get_address (celld->loop);
  config.timing.unconfirmed_renewal_ms = UNCONFIRMED_RENEWAL_MS;
  config.timing.lease_ms = settings->lease_max_ms;
  config.timing.status_ms = settings->status_s * 1000;
  config.timing.early_ms = settings->early_ms;
  config.timing.latest_end_percent = settings->latest_end_percent;
  config.timing.link_bytes_per_ms
      = (int64_t)(g_ascii_strtod (settings->link_mbps, NULL)
                  * BYTES_PER_MS_AND_MBPS);
  config.timing.ignores_speed = !settings->placement_speed;
  config.timing.tables_bytes_max
      = rst_body_limits_get_tables (&settings->limits);
  rst_locality_parse_penalty (settings->remote_penalty,
                              &config.timing.remote_penalty);
  config.jitter_ms = (rst_ms)(rst_os_random () % TAKEOVER_JITTER_MS);
  config.standby_delay_ms = get_standby_delay_ms (settings);
  celld->node = rst_cell_node_create (&config);
}

static bool
check_settings (const void *target, GString *problems)
{
  const struct settings *settings = target;
  bool is_valid = rst_body_limits_check (&settings->limits, problems);
  double penalty;

  if (rst_locality_parse_penalty (settings->remote_penalty, &penalty))
    return is_valid;
  g_string_append (problems, "remote_penalty: must be a decimal number from 1 "
                             "to 100, as text\n");
  return false;
}

/* Half of the descriptors are left to links and files. */
static unsigned
get_connections_max (const struct settings *settings)
{
  int64_t max_fds = settings->limits.max_fds;

  return max_fds > 0 ? (unsigned)MIN (max_fds / 2, CONNECTIONS_MAX)
                     : CONNECTIONS_MAX;
}

static const struct rst_program program
    = { "rosemarystile-celld",
        "plans a cell and holds leases on its instances", fields,
        G_N_ELEMENTS (fields), check_settings };

int
main (int argc, char **argv)
{
  struct celld celld = { 0 };
  struct rst_cell_loop_config loop_config
      = { on_link_event, on_tick, &celld, false, &celld.settings.limits };
  struct rst_log_config log_config = { false, "info", true };
  int status;

  celld.settings.lease_max_ms = 6000;
  celld.settings.status_s = 120;
  celld.settings.limits.body_bytes = RST_CELL_FRAME_MAX_BYTES;
  g_strlcpy (celld.settings.log_level, "info",
             sizeof celld.settings.log_level);
  status = rst_program_configure (&program, argc, argv, &celld.settings);
  if (status >= 0)
    return status;
  rst_os_block_signals ();
  g_strlcpy (log_config.level, celld.settings.log_level,
             sizeof log_config.level);
  rst_log_init (program.name, &log_config);
  status = EXIT_FAILURE;
  celld.loop = rst_cell_loop_create (&loop_config);
  celld.client = rst_http_client_create (get_connections_max (&celld.settings),
                                         CONNECTIONS_PER_HOST_MAX);
  if (celld.loop == NULL || celld.client == NULL)
    goto out;
  celld.adapter = rst_adapter_create (celld.client, celld.settings.store,
                                      celld.settings.advice);
  rst_adapter_set_machines_address (celld.adapter, celld.settings.machines);
  if (rst_cell_loop_listen (celld.loop, celld.settings.listen)
      != RST_TRANSPORT_OK)
    {
      rst_warning (LOG_DOMAIN, "listen: address can't be used; exiting.");
      goto out;
    }
  /* Link events that arrive before this stay in the mailbox until the loop
     runs. */
  create_node (&celld);
  if (rst_cell_loop_start_page_server (celld.loop, celld.settings.metrics,
                                       serve_metrics, &celld)
      != RST_TRANSPORT_OK)
    {
      rst_warning (LOG_DOMAIN, "metrics: address can't be used; exiting.");
      goto out;
    }
  rst_info (LOG_DOMAIN, "Started.", "name", celld.settings.name, "zone",
            celld.settings.zone, "listen",
            rst_cell_loop_get_address (celld.loop));
  rst_cell_loop_watch_stop_signals (celld.loop, begin_stop, &celld);
  rst_cell_loop_run (celld.loop);
  rst_info (LOG_DOMAIN, "Stopped.");
  /* Other threads may still post to the loop, so it is not destroyed. */
  _exit (EXIT_SUCCESS);

out:
  rst_cell_loop_destroy (celld.loop);
  rst_http_client_destroy (celld.client);
  return status;
}
