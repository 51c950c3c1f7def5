/**
 * DOC: seeker - finds the planner, and notices when there is none
 *
 * The store names the planner under one key, which the planner writes with
 * each commit, so that the key's revision shows that it lives.  A seeker
 * keeps a link to the planner; when the link is lost it reads the key, and
 * where the key stands still it proposes that this process takes over.
 */
#ifndef RST_SEEKER_H
#define RST_SEEKER_H

#include "cell/backend.h"
#include "cell/messages.h"

/** Key that names the planner. */
#define RST_SEEKER_KEY "rosemarystile/planner"

/**
 * struct rst_seat - Value of the planner's key.
 * @epoch: Fencing token of the planner.
 * @counter: Number of the planner's last change of the store.
 * @name: Name of its process.
 * @address: Where it listens; "" when it has resigned.
 */
struct rst_seat
{
  int64_t epoch;
  int64_t counter;
  char name[RST_ID_SIZE];
  char address[RST_ADDRESS_SIZE];
};

/** rst_seat_pack() - Writes a value of the planner's key. */
void rst_seat_pack (struct rst_pack *pack, const struct rst_seat *seat);

/** rst_seat_read() - Reads one; false when the bytes are none. */
bool rst_seat_read (struct rst_seat *seat, const void *data, size_t length);

struct rst_seeker;

/**
 * struct rst_seeker_config - How a seeker is set up.
 * @backend: The store.
 * @now: Steady time.
 * @connect: Opens a link and returns its number.
 * @close: Closes a link.
 * @send: Sends a frame.
 * @message: A message of the planner, kind and the rest.
 * @linked: The planner answers, or has changed whether it serves.
 * @lost: The link to the planner is gone.
 * @take: The planner's key has stood still at a revision; take over.  NULL
 *   for a process that can't be planner.
 * @userdata: Passed to each.
 * @role: Role said in the hello.
 * @name: Name of this process; copied.
 * @zone: Its availability zone; copied.
 * @jitter_ms: Own share of the wait before taking over.
 * @reserve_ms: Further wait of a process that should be planner only where no
 *   other is.
 */
struct rst_seeker_config
{
  const struct rst_backend *backend;
  rst_ms (*now) (void);
  uint64_t (*connect) (void *userdata, const char *address);
  void (*close) (void *userdata, uint64_t link);
  void (*send) (void *userdata, uint64_t link, const void *data,
                size_t length);
  void (*message) (void *userdata, int kind, struct rst_reader *reader);
  void (*linked) (void *userdata, bool serving);
  void (*lost) (void *userdata);
  void (*alive) (void *userdata, rst_ms store_age_ms);
  void (*take) (void *userdata, int64_t revision, const struct rst_seat *seat);
  void *userdata;
  enum rst_role role;
  const char *name;
  const char *zone;
  rst_ms jitter_ms;
  rst_ms reserve_ms;
};

/** rst_seeker_create() - A seeker without a link. */
struct rst_seeker *rst_seeker_create (const struct rst_seeker_config *config);

/** rst_seeker_destroy() - Frees a seeker without calls under way. */
void rst_seeker_destroy (struct rst_seeker *seeker);

/** rst_seeker_run() - Does what is due; returns when to be called again. */
rst_ms rst_seeker_run (struct rst_seeker *seeker);

/** rst_seeker_owns() - Whether a link is the one to the planner. */
bool rst_seeker_owns (const struct rst_seeker *seeker, uint64_t link);

/** rst_seeker_opened() - The link to the planner was opened. */
void rst_seeker_opened (struct rst_seeker *seeker);

/** rst_seeker_closed() - The link to the planner is gone. */
void rst_seeker_closed (struct rst_seeker *seeker);

/** rst_seeker_frame() - A frame came over the link to the planner. */
void rst_seeker_frame (struct rst_seeker *seeker, const void *data,
                       size_t length);

/** rst_seeker_send() - Sends to the planner; false without a link. */
bool rst_seeker_send (struct rst_seeker *seeker, const void *data,
                      size_t length);

/** rst_seeker_moved() - Another process is the planner now. */
void rst_seeker_moved (struct rst_seeker *seeker, int64_t epoch,
                       const char *address);

#endif
