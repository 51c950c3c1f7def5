/**
 * DOC: entry - one entry process without its input and output
 *
 * An entry authenticates callers, admits their requests, selects a scheduler
 * for each and passes the scheduler's answer back to the caller.  Like struct
 * rst_scheduler it opens no sockets, starts no threads and reads no clock
 * itself.  All functions must be called from one thread.
 */
#ifndef RST_ENTRY_H
#define RST_ENTRY_H

#include "coordination/scheduler.h"

struct rst_entry;

/**
 * struct rst_entry_config - Configuration of an entry.
 * @name: Name of the process.
 * @zone: Its availability zone.
 * @address: Address of the HTTP server for callers, "IP:PORT".
 * @clock: Source of the current time.
 * @seed: Seed of random numbers.
 * @max_pending: Maximum number of requests without an answer; more are
 *   rejected.
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
 * struct rst_entry_reply - The reply to a caller's request.
 * @status: HTTP status.
 * @body: The body, valid during the callback only.
 * @length: Length of @body in bytes.
 * @retry_after_s: Seconds after which the caller may retry, or 0.
 */
struct rst_entry_reply
{
  unsigned status;
  const char *body;
  size_t length;
  unsigned retry_after_s;
};

/**
 * typedef rst_entry_reply_callback - Receives the reply to one request.
 * @handle: The handle passed to rst_entry_handle_request().
 * @reply: The reply, valid during the call.
 *
 * Called exactly once for each request, on the thread that uses the entry.
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
 * @state: State of the jobs to list, or NULL for all.
 * @body: The body.
 * @length: Length of @body in bytes.
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
 * struct rst_entry_counters - Counters of an entry since its creation.
 * @requests: Requests received.
 * @answered: Requests answered.
 * @not_run: Requests rejected before they ran.
 * @unknown: Requests whose outcome is unknown.
 * @unauthorized: Requests without a valid key.
 * @retries: Attempts of requests after their first.
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
 * @config: Configuration, copied.
 * @links: Functions that reach schedulers; must outlive the entry.
 * @links_data: User data passed to the functions of @links.
 * @reply_callback: Receives the replies to all requests.
 *
 * Return: The entry, to be freed with rst_entry_destroy().
 */
struct rst_entry *rst_entry_create (const struct rst_entry_config *config,
                                    const struct rst_link_ops *links,
                                    void *links_data,
                                    rst_entry_reply_callback reply_callback);

/** rst_entry_destroy() - Replies to all pending requests with an unknown
 * outcome and frees an entry; NULL is allowed. */
void rst_entry_destroy (struct rst_entry *entry);

/** rst_entry_add_seed_address() - Adds an address to connect to, besides those
 * of the members of all zones. */
void rst_entry_add_seed_address (struct rst_entry *entry, const char *address);

/** rst_entry_tick() - Performs all actions that are due; call it every few
 * milliseconds. */
void rst_entry_tick (struct rst_entry *entry);

/** rst_entry_handle_link_opened() - Handles the opening of a link. */
void rst_entry_handle_link_opened (struct rst_entry *entry, uint64_t link);

/** rst_entry_handle_link_closed() - Handles the closing of a link, or a link
 * that could not be opened; its pending requests are retried or fail. */
void rst_entry_handle_link_closed (struct rst_entry *entry, uint64_t link);

/** rst_entry_handle_message() - Handles a message received on a link; the
 * caller keeps ownership of @message. */
void rst_entry_handle_message (struct rst_entry *entry, uint64_t link,
                               const struct rst_message *message);

/**
 * rst_entry_handle_request() - Handles a caller's request.
 * @entry: The entry.
 * @handle: Passed to the reply callback.
 * @request: The request, used during the call only.
 *
 * The reply callback may be called before this function returns.
 */
void rst_entry_handle_request (struct rst_entry *entry, void *handle,
                               const struct rst_entry_request *request);

/** rst_entry_begin_stop() - Rejects all requests from now on; pending ones
 * complete. */
void rst_entry_begin_stop (struct rst_entry *entry);

/** rst_entry_count_pending() - Counts the requests that have no reply yet. */
int64_t rst_entry_count_pending (const struct rst_entry *entry);

/** rst_entry_is_ready() - Checks whether it accepts requests: it is not
 * stopping, has settings and is connected to a scheduler that is ready. */
bool rst_entry_is_ready (const struct rst_entry *entry);

/** rst_entry_get_counters() - Returns its counters, valid until it is
 * destroyed. */
const struct rst_entry_counters *
rst_entry_get_counters (const struct rst_entry *entry);

/** rst_entry_format_status() - Formats its state as JSON text, to be freed
 * with free(). */
char *rst_entry_format_status (struct rst_entry *entry);

/** rst_entry_get_settings() - Returns the settings that it applies, valid
 * until it is destroyed. */
const struct rst_settings *
rst_entry_get_settings (const struct rst_entry *entry);

#endif
