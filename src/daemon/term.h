/**
 * DOC: term - the time in which this process is the planner
 *
 * The planner record in the store names the process that is the planner.  A
 * term begins when this process replaces that record with its own in one
 * conditional commit.  The term then restores the planner from the journal,
 * watches the keys of operators and instances, and commits the planner's
 * changes.  Each commit also updates the planner record, on the condition that
 * its revision is the one this process wrote last.  Commits therefore form one
 * sequence: a commit of a former planner, or a copy that arrives late, fails
 * and changes nothing.  All functions are called from one thread.
 */
#ifndef RST_TERM_H
#define RST_TERM_H

#include "cell/planner.h"
#include "cell/planner_client.h"

struct rst_term;

/**
 * struct rst_term_config - Configuration of a term.
 * @backend: Calls to the store; callbacks must arrive on the term's thread.
 * @now: Returns monotonic time.
 * @unix_now: Returns Unix time in milliseconds.
 * @send: Sends a frame on a link.
 * @close: Closes a link.
 * @on_elected: This process has become the planner.
 * @on_ended: This process is not, or no longer, the planner.  The owner must
 *   destroy the term, but not within this call.
 * @userdata: Passed to each.
 * @timing: Times of the planner.
 * @name: Name of this process; must outlive rst_term_create().
 * @address: Address on which it listens for links; likewise.
 * @zone: Availability zone of this process; likewise.
 */
struct rst_term_config
{
  const struct rst_backend *backend;
  rst_ms (*now) (void);
  int64_t (*unix_now) (void);
  void (*send) (void *userdata, uint64_t link, const void *data,
                size_t length);
  void (*close) (void *userdata, uint64_t link);
  void (*on_elected) (void *userdata);
  void (*on_ended) (void *userdata);
  void *userdata;
  struct rst_planner_timing timing;
  const char *name;
  const char *address;
  const char *zone;
};

/**
 * rst_term_create() - Begins a term with an attempt to become the planner.
 * @revision: Revision of the planner record that is to be replaced; 0 when it
 *   does not exist.
 * @record: That planner record.
 */
struct rst_term *rst_term_create (const struct rst_term_config *config,
                                  int64_t revision,
                                  const struct rst_planner_record *record);

/**
 * rst_term_destroy() - Closes the term's links and frees it; NULL is ignored.
 *
 * The memory is freed once all pending calls to the store have been answered.
 */
void rst_term_destroy (struct rst_term *term);

/**
 * rst_term_handle_frame() - Handles a frame from an agent, an entry or a new
 * planner.
 *
 * The link is closed when the frame is malformed or when this process is not
 * the planner yet.
 */
void rst_term_handle_frame (struct rst_term *term, uint64_t link,
                            const void *data, size_t length);

/** rst_term_handle_link_closed() - Handles the closing of a link. */
void rst_term_handle_link_closed (struct rst_term *term, uint64_t link);

/**
 * rst_term_run() - Runs the planner and the watches; sends commits and
 * heartbeats that are due.
 *
 * Return: Time at which to call it again.
 */
rst_ms rst_term_run (struct rst_term *term);

/**
 * rst_term_handle_redirect() - Ends the term because of a newer planner.
 * @epoch: Epoch of the other planner; one that is not higher than the term's
 *   is ignored.
 * @address: Its address, which is passed on to the processes on all links.
 */
void rst_term_handle_redirect (struct rst_term *term, int64_t epoch,
                               const char *address);

/** rst_term_resign() - Clears the address in the planner record, so that
 * another process takes over at once. */
void rst_term_resign (struct rst_term *term);

/** rst_term_is_idle() - Whether no commit is pending, including that of a
 * resignation. */
bool rst_term_is_idle (const struct rst_term *term);

/** rst_term_get_planner() - Returns the planner, or NULL before the term is
 * elected. */
const struct rst_planner *rst_term_get_planner (const struct rst_term *term);

/** rst_term_get_epoch() - Returns the epoch, the fencing token of the term. */
int64_t rst_term_get_epoch (const struct rst_term *term);

#endif
