/**
 * DOC: entry_private - state shared by entry.c and entry_*.c
 */
#ifndef RST_ENTRY_PRIVATE_H
#define RST_ENTRY_PRIVATE_H

#include "coordination/entry.h"
#include "coordination/fault_private.h"
#include "state/job.h"
#include "state/json.h"
#include "util/log.h"

/**
 * struct scheduler_peer - A link to a scheduler.
 * @link: Id of the link.
 * @open: Whether messages can be sent.
 * @is_scheduler: Whether the peer has greeted this entry as a scheduler.
 * @has_load: Whether @load was received.
 * @address: The peer's address for messages of other processes.
 * @incarnation: The peer's incarnation.
 * @zone: The peer's availability zone.
 * @load: Last load report of the peer.
 * @sent_since_load_report: Requests sent since @load was received, less those
 *   completed.
 * @last_message_at: Time of the last message from the peer.
 */
struct scheduler_peer
{
  uint64_t link;
  bool open;
  bool is_scheduler;
  bool has_load;
  char address[RST_ADDRESS_SIZE];
  char incarnation[RST_NAME_SIZE];
  char zone[RST_NAME_SIZE];
  struct rst_load load;
  int64_t sent_since_load_report;
  rst_ms last_message_at;
};

/**
 * struct pending_request - A caller's request that has no reply yet.
 * @id: Id of the request in messages.
 * @handle: The caller's handle.
 * @link: Link on which it was sent last; 0 before it was sent.
 * @attempts: Number of times that it was sent.
 * @may_have_run: Whether an earlier attempt may have run.
 * @expires_at: Time at which its outcome is reported as unknown.
 * @deadline: Deadline passed to the scheduler.
 * @message: The message sent to schedulers.
 */
struct pending_request
{
  uint64_t id;
  void *handle;
  uint64_t link;
  int attempts;
  bool may_have_run;
  rst_ms expires_at;
  rst_ms deadline;
  struct rst_message message;
};

struct rst_entry
{
  struct rst_entry_config config;
  const struct rst_link_ops *links;
  void *links_data;
  rst_entry_reply_callback reply_callback;
  GRand *random;
  struct rst_settings *settings;
  GHashTable *peers;
  GHashTable *pending;
  GPtrArray *seed_addresses;
  struct rst_retry_budget retry_budget;
  struct rst_entry_counters counters;
  uint64_t last_id;
  rst_ms connect_next_at;
  rst_ms digest_next_at;
  rst_ms expire_next_at;
  bool stopping;
};

/* entry.c */
rst_ms rst_entry_now (const struct rst_entry *entry);
void rst_entry_count_outcome (struct rst_entry *entry, uint64_t outcome);
void rst_entry_reply_error (struct rst_entry *entry, void *handle,
                            unsigned status, uint64_t outcome,
                            const char *reason, const char *detail);
struct scheduler_peer *rst_entry_find_peer (struct rst_entry *entry,
                                            uint64_t link);
void rst_entry_remove_pending (struct rst_entry *entry,
                               struct pending_request *pending);
void rst_entry_fail_pending (struct rst_entry *entry,
                             struct pending_request *pending, unsigned status,
                             uint64_t outcome, const char *reason,
                             const char *detail);
/* entry_send.c */
void rst_entry_route_query (struct rst_entry *entry,
                            struct pending_request *pending);
void rst_entry_route_job (struct rst_entry *entry,
                          struct pending_request *pending);
bool rst_entry_retry_pending (struct rst_entry *entry,
                              struct pending_request *pending);

#endif
