/**
 * DOC: entry - the decisions of one entry process
 *
 * Checks keys, admits requests, chooses the scheduler for each and returns
 * its whole answer to the caller that asked.  Like the scheduler it is a
 * state machine without threads or sockets.
 */
#ifndef RST_ENTRY_H
#define RST_ENTRY_H

#include "coordination/scheduler.h"

struct rst_entry;

/**
 * struct rst_entry_config - How an entry is set up.
 * @name: Name of the process.
 * @zone: Its availability zone.
 * @address: Address of its callers' HTTP server.
 * @clock: Source of time.
 * @seed: Seed of its random numbers.
 * @max_pending: Bound on requests that wait for their answer.
 */
struct rst_entry_config
{
  char name[RST_NAME_SIZE];
  char zone[RST_NAME_SIZE];
  char address[RST_ADDRESS_SIZE];
  struct rst_clock clock;
  uint64_t seed;
  int64_t max_pending;
};

/**
 * struct rst_entry_reply - What a caller is told.
 * @status: HTTP status.
 * @body: The body.
 * @length: Its length in bytes.
 * @retry_after_s: Seconds until a retry makes sense, or 0.
 */
struct rst_entry_reply
{
  unsigned status;
  const char *body;
  size_t length;
  unsigned retry_after_s;
};

/**
 * typedef rst_entry_reply_callback - Receives the answer to one request.
 * @handle: The request, as it was passed in.
 *
 * Called exactly once for each request, on the entry's thread.
 */
typedef void (*rst_entry_reply_callback) (void *handle,
                                          const struct rst_entry_reply *reply);

/**
 * struct rst_entry_request - A caller's request.
 * @key: Value of the Authorization header, or NULL.
 * @request_id: The caller's request id, or NULL.
 * @idempotent: Value of X-Idempotent, or NULL.
 * @deadline_ms: Value of X-Deadline-Ms, or NULL.
 * @urgency: Value of X-Urgency, or NULL.
 * @operation: 0 for a query, or a value of enum rst_job_operation.
 * @job: Id of the job in the path, or NULL.
 * @state: State to list, or NULL.
 * @body: The body.
 * @length: Its length in bytes.
 */
struct rst_entry_request
{
  const char *key;
  const char *request_id;
  const char *idempotent;
  const char *deadline_ms;
  const char *urgency;
  uint64_t operation;
  const char *job;
  const char *state;
  const char *body;
  size_t length;
};

/**
 * struct rst_entry_counters - What an entry has counted.
 * @requests: Requests taken.
 * @answered: Requests answered.
 * @not_run: Requests refused before they ran.
 * @unknown: Requests whose outcome is unknown.
 * @unauthorized: Requests without a valid key.
 * @retries: Further attempts.
 */
struct rst_entry_counters
{
  uint64_t requests;
  uint64_t answered;
  uint64_t not_run;
  uint64_t unknown;
  uint64_t unauthorized;
  uint64_t retries;
};

/**
 * rst_entry_create() - Creates an entry.
 * @config: How it is set up, copied.
 * @links: How schedulers are reached; must outlive the entry.
 * @links_data: Passed to its functions.
 * @reply_callback: Receives the answers.
 *
 * Return: The entry, to be freed with rst_entry_destroy().
 */
struct rst_entry *rst_entry_create (const struct rst_entry_config *config,
                                    const struct rst_link_ops *links,
                                    void *links_data,
                                    rst_entry_reply_callback reply_callback);

/** rst_entry_destroy() - Frees an entry, or NULL; answers what waits. */
void rst_entry_destroy (struct rst_entry *entry);

/** rst_entry_add_seed_address() - Names an address where a scheduler may be.
 */
void rst_entry_add_seed_address (struct rst_entry *entry, const char *address);

/** rst_entry_tick() - Does what is due; call it every few milliseconds. */
void rst_entry_tick (struct rst_entry *entry);

/** rst_entry_handle_link_opened() - A link can carry messages. */
void rst_entry_handle_link_opened (struct rst_entry *entry, uint64_t link);

/** rst_entry_handle_link_closed() - A link is gone, or could not be opened. */
void rst_entry_handle_link_closed (struct rst_entry *entry, uint64_t link);

/** rst_entry_handle_message() - A message arrived; it stays the caller's. */
void rst_entry_handle_message (struct rst_entry *entry, uint64_t link,
                               const struct rst_message *message);

/**
 * rst_entry_handle_request() - Takes a caller's request.
 * @entry: The entry.
 * @handle: Passed to the answer function.
 * @request: The request, used during the call only.
 */
void rst_entry_handle_request (struct rst_entry *entry, void *handle,
                               const struct rst_entry_request *request);

/** rst_entry_begin_stop() - Takes no new requests. */
void rst_entry_begin_stop (struct rst_entry *entry);

/** rst_entry_count_pending() - Number of requests that wait for their answer.
 */
int64_t rst_entry_count_pending (const struct rst_entry *entry);

/** rst_entry_is_ready() - Whether it can serve callers. */
bool rst_entry_is_ready (const struct rst_entry *entry);

/** rst_entry_get_counters() - What it has counted. */
const struct rst_entry_counters *
rst_entry_get_counters (const struct rst_entry *entry);

/** rst_entry_format_status() - Describes its state as JSON; free with free().
 */
char *rst_entry_format_status (struct rst_entry *entry);

/** rst_entry_get_settings() - The settings that it has in force. */
const struct rst_settings *
rst_entry_get_settings (const struct rst_entry *entry);

#endif
