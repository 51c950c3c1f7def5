/**
 * DOC: cellconfig - what the operators set and what instances say of
 * themselves
 *
 * Queues with their objectives, customers with keys, shares and upper
 * limits, and the entries under which instances register.
 */
#ifndef RST_CELLCONFIG_H
#define RST_CELLCONFIG_H

#include "cell/backend.h"

/**
 * struct rst_queue - A queue that callers hand jobs in to.
 * @name: Its name.
 * @host: Host that selects it.
 * @prefix: Path prefix that selects it.
 * @pool: Name of the pool of instances that run its tasks.
 * @priority: 0 comes first.
 * @max_failures: Failed runs of one task after which the job has failed.
 * @slack: Objective as a multiple of the job's chain of work, in thousandths.
 * @target_ms: Added to the objective.
 * @is_public: No key is needed.
 * @needs_approval: Only instances named by the advice service may run a step.
 * @advice_ms: Time of one call for advice.
 * @advice_per_instance_us: Further time for each instance named, in
 * microseconds.
 * @advice_valid_ms: How long a ticket is valid.
 */
struct rst_queue
{
  char *name;
  char *host;
  char *prefix;
  char *pool;
  int priority;
  int max_failures;
  int64_t slack;
  int64_t target_ms;
  bool is_public;
  bool needs_approval;
  int64_t advice_ms;
  int64_t advice_per_instance_us;
  int64_t advice_valid_ms;
};

/**
 * struct rst_customer - A customer.
 * @name: Its name.
 * @weight: Its share when all is full, also its owed jobs a second.
 * @limit: What it may have running; 0 means no limit.
 */
struct rst_customer
{
  char *name;
  int64_t weight;
  struct rst_resources limit;
};

/**
 * struct rst_cellconfig - The operators' configuration.
 * @version: Its version.
 * @queues: struct rst_queue pointers.
 * @customers: struct rst_customer pointers.
 * @keys: Key to struct rst_customer.
 */
struct rst_cellconfig
{
  int64_t version;
  GPtrArray *queues;
  GPtrArray *customers;
  GHashTable *keys;
};

/** rst_cellconfig_create() - An empty configuration. */
struct rst_cellconfig *rst_cellconfig_create (void);

/** rst_cellconfig_destroy() - Frees a configuration, or ignores NULL. */
void rst_cellconfig_destroy (struct rst_cellconfig *config);

/**
 * rst_cellconfig_route() - Finds the queue for a host and a path.
 * @rest: Receives what follows the prefix.
 *
 * Return: The queue with the longest prefix, or NULL.
 */
const struct rst_queue *
rst_cellconfig_route (const struct rst_cellconfig *config, const char *host,
                      const char *path, const char **rest);

/** rst_cellconfig_find_queue() - Finds a queue by its name, or returns NULL.
 */
const struct rst_queue *
rst_cellconfig_find_queue (const struct rst_cellconfig *config,
                           const char *name);

/**
 * struct rst_instance_entry - How an instance registered.
 * @id: Its id.
 * @address: Where it takes orders.
 * @zone: Its availability zone.
 * @pool: The pool that it belongs to.
 * @labels: Its labels.
 * @rack: Its rack, one of the labels, or "".
 * @capacity: All that it has.
 * @draining: It leaves and takes no new work.
 * @incarnation: Unix time of its start; 0 when it did not say.
 */
struct rst_instance_entry
{
  char id[RST_ID_SIZE];
  char address[RST_ADDRESS_SIZE];
  char zone[RST_ID_SIZE];
  char pool[RST_ID_SIZE];
  char labels[256];
  char rack[RST_ID_SIZE];
  struct rst_resources capacity;
  bool draining;
  int64_t incarnation;
};

/** rst_instance_entry_has_label() - Whether an instance has a label. */
bool rst_instance_entry_has_label (const struct rst_instance_entry *entry,
                                   const char *label);

#endif
