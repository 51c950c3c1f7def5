/**
 * DOC: planner_client - finds the planner and detects its failure
 *
 * The planner record, one key of the store, names the planner.  The planner
 * rewrites it with each commit, so its revision shows that the planner is
 * alive.  A planner client keeps a link to the planner.  When the link is
 * lost it reads the record; when the record's revision stops changing it
 * proposes that this process takes over.
 */
#ifndef RST_PLANNER_CLIENT_H
#define RST_PLANNER_CLIENT_H

#include "cell/backend.h"
#include "cell/messages.h"

/** Key of the planner record. */
#define RST_PLANNER_RECORD_KEY "rosemarystile/planner"

/**
 * struct rst_planner_record - Value of the planner record.
 * @epoch: Fencing token of the planner.
 * @counter: Number of commits that the planner has made.
 * @name: Name of its process.
 * @address: Address on which it listens; "" when it has resigned.
 * @first_segment: Number of the journal's first segment.
 * @last_segment: Number of its last one; 0 if the segments are not known.
 */
struct rst_planner_record
{
  int64_t epoch;
  int64_t counter;
  char name[RST_ID_SIZE];
  char address[RST_ADDRESS_SIZE];
  int64_t first_segment;
  int64_t last_segment;
};

/** rst_planner_record_pack() - Encodes a planner record. */
void rst_planner_record_pack (struct rst_pack *pack,
                              const struct rst_planner_record *record);

/**
 * rst_planner_record_read() - Decodes a planner record.
 *
 * Return: false when the bytes are not a planner record.
 */
bool rst_planner_record_read (struct rst_planner_record *record,
                              const void *data, size_t length);

struct rst_planner_client;

/**
 * struct rst_heartbeat - What a heartbeat tells, on the receiver's clock.
 * @sent_at: The planner sent the heartbeat at this time or later; 0 if that is
 *   unknown.
 * @confirmed_at: The store confirmed the planner at this time or later.
 *
 * A heartbeat may arrive long after it was sent, from a link that was cut or
 * in a process that was suspended.  Both times are therefore computed from a
 * ping of the receiver.
 */
struct rst_heartbeat
{
  rst_ms sent_at;
  rst_ms confirmed_at;
};

/**
 * struct rst_planner_client_config - Configuration of a planner client.
 * @backend: Calls to the store.
 * @now: Returns monotonic time.
 * @connect: Opens a link and returns its number.
 * @close: Closes a link.
 * @send: Sends a frame over a link.
 * @on_message: Receives a message from the planner; @reader is positioned
 *   behind the kind.
 * @on_connected: The planner accepted the link, or changed whether it serves
 *   callers.
 * @on_disconnected: The link to the planner was lost.
 * @on_heartbeat: The planner sent a heartbeat.
 * @take_over: Proposes a takeover: the planner record has stayed at
 *   @revision, 0 when it does not exist.  NULL in a process that can't be the
 *   planner.
 * @userdata: Passed to each.
 * @role: Role sent to the planner.
 * @name: Name of this process; copied.
 * @zone: Its availability zone; copied.
 * @jitter_ms: Random delay of this process before it takes over.
 * @standby_delay_ms: Further delay of a process that should take over only
 *   when no other does.
 */
struct rst_planner_client_config
{
  const struct rst_backend *backend;
  rst_ms (*now) (void);
  uint64_t (*connect) (void *userdata, const char *address);
  void (*close) (void *userdata, uint64_t link);
  void (*send) (void *userdata, uint64_t link, const void *data,
                size_t length);
  void (*on_message) (void *userdata, int kind, struct rst_reader *reader);
  void (*on_connected) (void *userdata, bool serving);
  void (*on_disconnected) (void *userdata);
  void (*on_heartbeat) (void *userdata, const struct rst_heartbeat *heartbeat);
  void (*take_over) (void *userdata, int64_t revision,
                     const struct rst_planner_record *record);
  void *userdata;
  enum rst_role role;
  const char *name;
  const char *zone;
  rst_ms jitter_ms;
  rst_ms standby_delay_ms;
};

/** rst_planner_client_create() - Creates a planner client without a link. */
struct rst_planner_client *
rst_planner_client_create (const struct rst_planner_client_config *config);

/**
 * rst_planner_client_destroy() - Frees a planner client; NULL is ignored.
 *
 * No call to the backend may be pending.
 */
void rst_planner_client_destroy (struct rst_planner_client *client);

/**
 * rst_planner_client_run() - Reads the planner record when that is due.
 *
 * Also closes a link that the planner has not accepted in time.
 *
 * Return: Time at which to call it again.
 */
rst_ms rst_planner_client_run (struct rst_planner_client *client);

/** rst_planner_client_owns_link() - Whether a link leads to the planner. */
bool rst_planner_client_owns_link (const struct rst_planner_client *client,
                                   uint64_t link);

/** rst_planner_client_link_opened() - The link to the planner was opened. */
void rst_planner_client_link_opened (struct rst_planner_client *client);

/** rst_planner_client_link_closed() - The link to the planner was closed. */
void rst_planner_client_link_closed (struct rst_planner_client *client);

/** rst_planner_client_handle_frame() - Handles a frame from the planner. */
void rst_planner_client_handle_frame (struct rst_planner_client *client,
                                      const void *data, size_t length);

/**
 * rst_planner_client_send() - Sends a message to the planner.
 *
 * Return: false when no planner has accepted the link.
 */
bool rst_planner_client_send (struct rst_planner_client *client,
                              const void *data, size_t length);

/**
 * rst_planner_client_convert_time() - Converts a time to the planner's clock.
 * @at: A time of this process's clock.
 *
 * Return: The least that the planner's clock showed at that time; 0 if that is
 * unknown.
 */
rst_ms
rst_planner_client_convert_time (const struct rst_planner_client *client,
                                 rst_ms at);

/**
 * rst_planner_client_redirect() - Connects to another planner.
 * @epoch: Its epoch; one that is not later than the present planner's is
 *   ignored while there is a link.
 * @address: Its address.
 */
void rst_planner_client_redirect (struct rst_planner_client *client,
                                  int64_t epoch, const char *address);

#endif
