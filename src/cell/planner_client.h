/**
 * DOC: seeker - finds the planner, and notices when there is none
 *
 * The store names the planner under one key, which the planner writes with
 * each commit, so that the key's revision shows that it lives.  A seeker
 * keeps a link to the planner; when the link is lost it reads the key, and
 * where the key stands still it proposes that this process takes over.
 */
#ifndef RST_PLANNER_CLIENT_H
#define RST_PLANNER_CLIENT_H

#include "cell/backend.h"
#include "cell/messages.h"

/** Key that names the planner. */
#define RST_PLANNER_RECORD_KEY "rosemarystile/planner"

/**
 * struct rst_planner_record - Value of the planner's key.
 * @epoch: Fencing token of the planner.
 * @counter: Number of the planner's last change of the store.
 * @name: Name of its process.
 * @address: Where it listens; "" when it has resigned.
 */
struct rst_planner_record
{
  int64_t epoch;
  int64_t counter;
  char name[RST_ID_SIZE];
  char address[RST_ADDRESS_SIZE];
};

/** rst_planner_record_pack() - Writes a value of the planner's key. */
void rst_planner_record_pack (struct rst_pack *pack,
                              const struct rst_planner_record *record);

/** rst_planner_record_read() - Reads one; false when the bytes are none. */
bool rst_planner_record_read (struct rst_planner_record *record,
                              const void *data, size_t length);

struct rst_planner_client;

/**
 * struct rst_planner_client_config - How a seeker is set up.
 * @backend: The store.
 * @now: Steady time.
 * @connect: Opens a link and returns its number.
 * @close: Closes a link.
 * @send: Sends a frame.
 * @on_message: A message of the planner, kind and the rest.
 * @on_connected: The planner answers, or has changed whether it serves.
 * @on_disconnected: The link to the planner is gone.
 * @take_over: The planner's key has stood still at a revision; take over. NULL
 *   for a process that can't be planner.
 * @userdata: Passed to each.
 * @role: Role said in the hello.
 * @name: Name of this process; copied.
 * @zone: Its availability zone; copied.
 * @jitter_ms: Own share of the wait before taking over.
 * @standby_delay_ms: Further wait of a process that should be planner only
 * where no other is.
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
  void (*on_heartbeat) (void *userdata, rst_ms store_age_ms);
  void (*take_over) (void *userdata, int64_t revision,
                     const struct rst_planner_record *record);
  void *userdata;
  enum rst_role role;
  const char *name;
  const char *zone;
  rst_ms jitter_ms;
  rst_ms standby_delay_ms;
};

/** rst_planner_client_create() - A seeker without a link. */
struct rst_planner_client *
rst_planner_client_create (const struct rst_planner_client_config *config);

/** rst_planner_client_destroy() - Frees a seeker without calls under way. */
void rst_planner_client_destroy (struct rst_planner_client *client);

/** rst_planner_client_run() - Does what is due; returns when to be called
 * again. */
rst_ms rst_planner_client_run (struct rst_planner_client *client);

/** rst_planner_client_owns_link() - Whether a link is the one to the planner.
 */
bool rst_planner_client_owns_link (const struct rst_planner_client *client,
                                   uint64_t link);

/** rst_planner_client_link_opened() - The link to the planner was opened. */
void rst_planner_client_link_opened (struct rst_planner_client *client);

/** rst_planner_client_link_closed() - The link to the planner is gone. */
void rst_planner_client_link_closed (struct rst_planner_client *client);

/** rst_planner_client_handle_frame() - A frame came over the link to the
 * planner. */
void rst_planner_client_handle_frame (struct rst_planner_client *client,
                                      const void *data, size_t length);

/** rst_planner_client_send() - Sends to the planner; false without a link. */
bool rst_planner_client_send (struct rst_planner_client *client,
                              const void *data, size_t length);

/** rst_planner_client_redirect() - Another process is the planner now. */
void rst_planner_client_redirect (struct rst_planner_client *client,
                                  int64_t epoch, const char *address);

#endif
