/**
 * DOC: scheduler - the decisions of one scheduler process
 *
 * The scheduler is a state machine without threads, sockets or a clock of its
 * own.  Time, random numbers, messages and the outside systems come through
 * its configuration; all calls are made from one thread.
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
 * enum rst_policy - How work is placed.
 * @RST_POLICY_BATCH: Packed; tasks start as room appears.
 * @RST_POLICY_SERVICE: Spread and kept running.
 * @RST_POLICY_GANG: All tasks at once or none.
 */
enum rst_policy
{
  RST_POLICY_BATCH,
  RST_POLICY_SERVICE,
  RST_POLICY_GANG,
};

/** Attempts of a task numbered under one owner of its job; the quotient is the
 * owner's generation. */
#define RST_ATTEMPTS_PER_GENERATION 100000

/** rst_policy_name() - "batch", "service" or "gang". */
const char *rst_policy_name (uint64_t policy);

/**
 * struct rst_scheduler_config - How a scheduler is set up.
 * @name: Name of the process, the same after a restart.
 * @zone: Its availability zone.
 * @address: Address for frames; another process can only listen there once
 *   this one has stopped.
 * @status_address: Address of its status pages.
 * @tenure: Durations of its tenure.
 * @task_lease_ms: Lease under which tasks run.
 * @list_interval_ms: Time between two reads of the list of instances.
 * @clock: Source of time.
 * @seed: Seed of its random numbers; also makes its incarnations unique.
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
 * struct rst_link_ops - How a process reaches its peers.
 * @connect: Opens a link; its outcome is told later.  Returns 0 on failure.
 * @send: Sends a message on a link; false when it was not sent.
 * @close: Closes a link.
 *
 * Each takes the userdata given beside the table.
 */
struct rst_link_ops
{
  uint64_t (*connect) (void *userdata, const char *address);
  bool (*send) (void *userdata, uint64_t link,
                const struct rst_message *message);
  void (*close) (void *userdata, uint64_t link);
};

/**
 * struct rst_scheduler_counters - What a scheduler has counted.
 * @queries: Queries taken.
 * @answered: Queries answered.
 * @not_run: Queries refused before they ran.
 * @unknown: Queries whose outcome is unknown.
 * @retries: Further attempts of queries.
 * @starts: Tasks started.
 * @start_failures: Tasks that a worker did not start.
 * @store_reads: Reads of the store, each watch as one.
 * @store_writes: Writes of the store.
 * @messages_in: Messages received.
 * @messages_out: Messages sent.
 * @takeovers: Tenures of others ended.
 * @fenced: Own tenures ended by others.
 * @decisions: Choices of an instance.
 * @decision_ns: Time spent on them in nanoseconds.
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
 * @config: How it is set up, copied.
 * @platform: The outside systems; must outlive the scheduler.
 * @platform_data: Passed to its functions.
 * @links: How peers are reached; must outlive the scheduler.
 * @links_data: Passed to its functions.
 *
 * Return: The scheduler, to be freed with rst_scheduler_destroy().
 */
struct rst_scheduler *
rst_scheduler_create (const struct rst_scheduler_config *config,
                      const struct rst_platform *platform, void *platform_data,
                      const struct rst_link_ops *links, void *links_data);

/**
 * rst_scheduler_destroy() - Frees a scheduler.
 * @scheduler: The scheduler, or NULL; all its platform calls must have ended.
 */
void rst_scheduler_destroy (struct rst_scheduler *scheduler);

/** rst_scheduler_add_seed_address() - Names an address where a peer may be. */
void rst_scheduler_add_seed_address (struct rst_scheduler *scheduler,
                                     const char *address);

/**
 * rst_scheduler_tick() - Does what is due; call it every few milliseconds.
 */
void rst_scheduler_tick (struct rst_scheduler *scheduler);

/** rst_scheduler_handle_link_opened() - A link can carry messages. */
void rst_scheduler_handle_link_opened (struct rst_scheduler *scheduler,
                                       uint64_t link);

/** rst_scheduler_handle_link_closed() - A link is gone, or could not be
 * opened. */
void rst_scheduler_handle_link_closed (struct rst_scheduler *scheduler,
                                       uint64_t link);

/** rst_scheduler_handle_message() - A message arrived; it stays the caller's.
 */
void rst_scheduler_handle_message (struct rst_scheduler *scheduler,
                                   uint64_t link,
                                   const struct rst_message *message);

/** rst_scheduler_begin_stop() - Begins a planned stop. */
void rst_scheduler_begin_stop (struct rst_scheduler *scheduler);

/** rst_scheduler_is_stopped() - Whether a planned stop is complete. */
bool rst_scheduler_is_stopped (const struct rst_scheduler *scheduler);

/** rst_scheduler_is_ready() - Whether it takes work. */
bool rst_scheduler_is_ready (const struct rst_scheduler *scheduler);

/** rst_scheduler_get_counters() - What it has counted. */
const struct rst_scheduler_counters *
rst_scheduler_get_counters (const struct rst_scheduler *scheduler);

/**
 * rst_scheduler_format_status() - Describes its state as JSON.
 *
 * Return: The text, to be freed with free().
 */
char *rst_scheduler_format_status (struct rst_scheduler *scheduler);

/** rst_scheduler_get_incarnation() - Its present incarnation. */
const char *
rst_scheduler_get_incarnation (const struct rst_scheduler *scheduler);

/** rst_scheduler_get_settings() - The settings that it has in force. */
const struct rst_settings *
rst_scheduler_get_settings (const struct rst_scheduler *scheduler);

#endif
