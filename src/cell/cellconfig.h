/**
 * DOC: cellconfig - configuration of queues, customers and instances
 *
 * Operators configure queues with their objectives, and customers with their
 * API keys, shares and upper limits.  Each instance registers with an entry.
 */
#ifndef RST_CELLCONFIG_H
#define RST_CELLCONFIG_H

#include "cell/backend.h"

/**
 * struct rst_queue - A queue to which callers submit jobs.
 * @name: Its name.
 * @host: Host that selects it; "" for any.
 * @prefix: Path prefix that selects it.
 * @pool: Pool of instances that run its tasks.
 * @priority: Priority; 0 is the highest.
 * @max_failures: Number of failed runs of one task at which its job fails.
 * @slack_permille: Factor of the objective, in thousandths: the objective of a
 *   job is its critical path times this factor, plus @target_ms.
 * @target_ms: Constant part of the objective.
 * @is_public: Whether jobs are accepted without a key.
 * @needs_approval: Whether a step may run only on instances that the advice
 *   service has approved.
 * @advice_ms: Duration of an advice request.
 * @advice_per_instance_us: Further duration of an advice request for each
 *   instance named in it, in microseconds.
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
  int64_t slack_permille;
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
 * @weight: Its share under contention: the number of jobs per second that it
 *   may submit before further ones count as over share.
 * @limit: Upper limit on the resources of its running tasks; a member of 0
 *   means no limit.
 */
struct rst_customer
{
  char *name;
  int64_t weight;
  struct rst_resources limit;
};

/**
 * struct rst_cellconfig - Configuration set by the operators.
 * @version: Its version.
 * @queues: Elements of type struct rst_queue *, owned.
 * @customers: Elements of type struct rst_customer *, owned.
 * @keys: Maps an API key to a struct rst_customer * of @customers.
 */
struct rst_cellconfig
{
  int64_t version;
  GPtrArray *queues;
  GPtrArray *customers;
  GHashTable *keys;
};

/** rst_cellconfig_create() - Creates an empty configuration. */
struct rst_cellconfig *rst_cellconfig_create (void);

/** rst_cellconfig_destroy() - Frees a configuration; NULL is ignored. */
void rst_cellconfig_destroy (struct rst_cellconfig *config);

/**
 * rst_cellconfig_route() - Finds the queue for a host and a path.
 * @rest: Set to the part of the path behind the queue's prefix; unchanged
 *   when there is no queue.
 *
 * Return: The matching queue with the longest prefix, or NULL.
 */
const struct rst_queue *
rst_cellconfig_route (const struct rst_cellconfig *config, const char *host,
                      const char *path, const char **rest);

/**
 * rst_cellconfig_find_queue() - Finds a queue by its name, or returns NULL.
 */
const struct rst_queue *
rst_cellconfig_find_queue (const struct rst_cellconfig *config,
                           const char *name);

/**
 * struct rst_instance_entry - Entry under which an instance is registered.
 * @id: Its id.
 * @address: Address on which it takes orders.
 * @zone: Its availability zone.
 * @pool: Pool to which it belongs.
 * @labels: Its labels, each between commas: ",a,r1-3,".
 * @rack: Its rack, which is one of the labels, or "".
 * @capacity: Its total resources.
 * @draining: Whether it is about to leave and takes no new runs.
 * @incarnation: Start of the instance in Unix time, which identifies its
 *   incarnation; 0 when unknown.
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
