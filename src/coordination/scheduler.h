/**
 * DOC: scheduler - one scheduler process without its input and output
 *
 * The scheduler is a state machine that opens no sockets, starts no threads
 * and reads no clock itself.  The configuration and the tables of functions
 * passed to rst_scheduler_create() provide the time, the seed of random
 * numbers, the links to peers, the store and the instances.  All functions
 * must be called from one thread.
 */
#ifndef RST_SCHEDULER_H
#define RST_SCHEDULER_H

#include "protocol/message.h"
#include "protocol/platform.h"
#include "rosemarystile.h"
#include "state/settings.h"
#include "util/os.h"

struct rst_scheduler;

/**
 * enum rst_policy - How the tasks of a job are placed.
 * @RST_POLICY_BATCH: Packed; each task starts as soon as there is capacity.
 * @RST_POLICY_SERVICE: Spread over instances; tasks that end are restarted.
 * @RST_POLICY_GANG: All tasks at once or none.
 */
enum rst_policy
{
  RST_POLICY_BATCH,
  RST_POLICY_SERVICE,
  RST_POLICY_GANG,
};

/** Number of attempts of a task that one owner of its job may make.  Attempts
 * are numbered across owners: an attempt divided by this number gives the
 * owner's generation. */
#define RST_ATTEMPTS_PER_GENERATION 100000

/** rst_policy_name() - Returns "batch", "service" or "gang"; "batch" for an
 * unknown value. */
const char *rst_policy_name (uint64_t policy);

/**
 * struct rst_scheduler_config - Configuration of a scheduler.
 * @name: Name of the process; unchanged by a restart.
 * @zone: Its availability zone.
 * @address: Address for messages of other processes.  Peers that find another
 *   process there know that this one has stopped.
 * @status_address: Address of the HTTP server with its status.
 * @tenure: Durations of its tenure, the right to act as a member of the zone.
 * @task_lease_ms: Time to live of the leases under which tasks run.
 * @list_interval_ms: Interval at which the list of instances is fetched.
 * @clock: Source of the current time.
 * @seed: Seed of random numbers; must differ between processes and restarts,
 *   since incarnations are made unique with it.
 */
struct rst_scheduler_config
{
  char name[RST_NAME_SIZE];
  char zone[RST_NAME_SIZE];
  char address[RST_ADDRESS_SIZE];
  char status_address[RST_ADDRESS_SIZE];
  struct rst_tenure_config tenure;
  rst_ms task_lease_ms;
  rst_ms list_interval_ms;
  struct rst_clock clock;
  uint64_t seed;
};

/**
 * struct rst_link_ops - Functions with which a process reaches its peers.
 * @connect: Begins to open a link and returns its id, or 0 on failure.  The
 *   outcome is reported later to the handle_link_opened() or
 *   handle_link_closed() function of the scheduler or entry.
 * @send: Sends a message on a link; returns false if it was not sent.
 * @close: Closes a link.
 *
 * Each function is passed the user data given together with the table.
 */
struct rst_link_ops
{
  uint64_t (*connect) (void *userdata, const char *address);
  bool (*send) (void *userdata, uint64_t link,
                const struct rst_message *message);
  void (*close) (void *userdata, uint64_t link);
};

/**
 * struct rst_scheduler_counters - Counters of a scheduler since its creation.
 * @queries: Queries accepted.
 * @answered: Queries answered.
 * @not_run: Queries rejected before they ran.
 * @unknown: Queries whose outcome is unknown.
 * @retries: Attempts of queries after their first.
 * @starts: Tasks started.
 * @start_failures: Tasks that a worker did not start.
 * @store_reads: Reads of the store; each long poll of a watch counts as one.
 * @store_writes: Writes to the store.
 * @messages_in: Messages received.
 * @messages_out: Messages sent.
 * @takeovers: Tenures of other members that it has ended.
 * @fenced: Own tenures that other members have ended.
 * @decisions: Selections of an instance.
 * @decision_ns: Time spent on selections, in nanoseconds.
 */
struct rst_scheduler_counters
{
  uint64_t queries;
  uint64_t answered;
  uint64_t not_run;
  uint64_t unknown;
  uint64_t retries;
  uint64_t starts;
  uint64_t start_failures;
  uint64_t store_reads;
  uint64_t store_writes;
  uint64_t messages_in;
  uint64_t messages_out;
  uint64_t takeovers;
  uint64_t fenced;
  uint64_t decisions;
  uint64_t decision_ns;
};

/**
 * rst_scheduler_create() - Creates a scheduler.
 * @config: Configuration, copied.
 * @platform: Functions of the store and the instances; must outlive the
 *   scheduler.
 * @platform_data: User data passed to the functions of @platform.
 * @links: Functions that reach peers; must outlive the scheduler.
 * @links_data: User data passed to the functions of @links.
 *
 * Return: The scheduler, to be freed with rst_scheduler_destroy().
 */
struct rst_scheduler *
rst_scheduler_create (const struct rst_scheduler_config *config,
                      const struct rst_platform *platform, void *platform_data,
                      const struct rst_link_ops *links, void *links_data);

/**
 * rst_scheduler_destroy() - Frees a scheduler.
 * @scheduler: The scheduler, or NULL.  Its platform calls must have completed.
 */
void rst_scheduler_destroy (struct rst_scheduler *scheduler);

/** rst_scheduler_add_seed_address() - Adds an address to connect to, besides
 * those of the members of all zones. */
void rst_scheduler_add_seed_address (struct rst_scheduler *scheduler,
                                     const char *address);

/** rst_scheduler_tick() - Performs all actions that are due; call it every few
 * milliseconds. */
void rst_scheduler_tick (struct rst_scheduler *scheduler);

/** rst_scheduler_handle_link_opened() - Handles the opening of a link, by this
 * process or by the peer. */
void rst_scheduler_handle_link_opened (struct rst_scheduler *scheduler,
                                       uint64_t link);

/** rst_scheduler_handle_link_closed() - Handles the closing of a link, or a
 * link that could not be opened. */
void rst_scheduler_handle_link_closed (struct rst_scheduler *scheduler,
                                       uint64_t link);

/** rst_scheduler_handle_message() - Handles a message received on a link; the
 * caller keeps ownership of @message. */
void rst_scheduler_handle_message (struct rst_scheduler *scheduler,
                                   uint64_t link,
                                   const struct rst_message *message);

/** rst_scheduler_begin_stop() - Begins a planned stop, in which instances are
 * handed over and the scheduler leaves its zone. */
void rst_scheduler_begin_stop (struct rst_scheduler *scheduler);

/** rst_scheduler_is_stopped() - Checks whether a planned stop is complete. */
bool rst_scheduler_is_stopped (const struct rst_scheduler *scheduler);

/** rst_scheduler_is_ready() - Checks whether it accepts queries and jobs. */
bool rst_scheduler_is_ready (const struct rst_scheduler *scheduler);

/** rst_scheduler_get_counters() - Returns its counters, valid until it is
 * destroyed. */
const struct rst_scheduler_counters *
rst_scheduler_get_counters (const struct rst_scheduler *scheduler);

/**
 * rst_scheduler_format_status() - Formats its state as JSON text.
 *
 * Return: The text, to be freed with free().
 */
char *rst_scheduler_format_status (struct rst_scheduler *scheduler);

/** rst_scheduler_get_incarnation() - Returns its current incarnation, which
 * changes when it loses its tenure. */
const char *
rst_scheduler_get_incarnation (const struct rst_scheduler *scheduler);

/** rst_scheduler_get_settings() - Returns the settings that it applies, valid
 * until it is destroyed. */
const struct rst_settings *
rst_scheduler_get_settings (const struct rst_scheduler *scheduler);

#endif
