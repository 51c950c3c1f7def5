/**
 * DOC: term - the time in which this process is the planner
 *
 * Begins when the planner's key was won with one conditional change, reads
 * the journal, follows the operators' and the instances' keys, and commits.
 * Each commit changes the planner's key under the condition that nobody else
 * has, so commits form one sequence and a late copy of one changes nothing.
 */
#ifndef RST_TERM_H
#define RST_TERM_H

#include "cell/planner.h"
#include "cell/planner_client.h"

struct rst_term;

/**
 * struct rst_term_config - How a term is set up.
 * @backend: The store; callbacks arrive on the term's thread.
 * @now: Steady time.
 * @unix_now: Time of day in milliseconds.
 * @send: Sends a frame over a link.
 * @close: Closes a link.
 * @on_elected: This process is the planner now.
 * @on_ended: Another process is the planner; the term is to be destroyed, but
 *   not within the call.
 * @userdata: Passed to each.
 * @timing: Times for the planner.
 * @name: Name of this process.
 * @address: Where this process listens.
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
};

/**
 * rst_term_create() - Tries to win the planner's key.
 * @revision: Revision at which the key was seen; 0 when it was absent.
 * @record: What it held.
 */
struct rst_term *rst_term_create (const struct rst_term_config *config,
                                  int64_t revision,
                                  const struct rst_planner_record *record);

/**
 * rst_term_destroy() - Ends a term.
 *
 * It is freed when its last call to the store has been answered.
 */
void rst_term_destroy (struct rst_term *term);

/** rst_term_handle_frame() - A frame came over a link that is not to a
 * planner. */
void rst_term_handle_frame (struct rst_term *term, uint64_t link,
                            const void *data, size_t length);

/** rst_term_handle_link_closed() - A link is gone. */
void rst_term_handle_link_closed (struct rst_term *term, uint64_t link);

/** rst_term_run() - Does what is due; returns when to be called again. */
rst_ms rst_term_run (struct rst_term *term);

/** rst_term_handle_redirect() - Another process says that it is the planner.
 */
void rst_term_handle_redirect (struct rst_term *term, int64_t epoch,
                               const char *address);

/** rst_term_resign() - Gives the planner's key up at a planned stop. */
void rst_term_resign (struct rst_term *term);

/** rst_term_is_idle() - Whether no change of the store is under way. */
bool rst_term_is_idle (const struct rst_term *term);

/** rst_term_get_planner() - The planner, or NULL until the term is won. */
const struct rst_planner *rst_term_get_planner (const struct rst_term *term);

/** rst_term_get_epoch() - The epoch of the term. */
int64_t rst_term_get_epoch (const struct rst_term *term);

#endif
