/**
 * DOC: jobd_calls - calls of callers that have no answer yet
 *
 * A call is sent to each planner at most once.  A call that was sent to a
 * planner whose link was lost may have been carried out, so it is never
 * rejected as one that did not run: it is answered by the next planner, or
 * with 504 at its deadline.
 *
 * Status 429 and 503 say that a call is not carried out, now or later.
 * rst_jobd_calls_reject() alone decides whether that is known; all rejections
 * go through it.
 */
#ifndef RST_JOBD_CALLS_H
#define RST_JOBD_CALLS_H

#include "cell/backend.h"
#include "cell/entry_state.h"
#include "daemon/cell_metrics.h"
#include "transport/http_server.h"

/** A call is answered this long before the caller's deadline, in milliseconds.
 */
#define RST_JOBD_DEADLINE_MARGIN_MS 150

struct rst_jobd_calls;

/**
 * struct pending_call - A call that has no answer yet.
 * @number: Its number on links to planners.
 * @request: The caller's request.
 * @operation: What the caller asks for.
 * @frame: The message for the planner; freed with the call.
 * @received_at: When it was read.
 * @sent_after: A time at which the caller had not sent it yet.
 * @answer_deadline: When it is answered at the latest.
 * @sent: Sent over the current link to the planner.
 * @replied: The planner of the current link has replied.  What it says is all
 *   that this planner did and will do with the call.
 * @sent_on_lost_link: Sent over an earlier link, so its outcome is unknown.
 */
struct pending_call
{
  uint64_t number;
  struct rst_http_request *request;
  enum rst_operation operation;
  GByteArray *frame;
  rst_ms received_at;
  rst_ms sent_after;
  rst_ms answer_deadline;
  bool sent;
  bool replied;
  bool sent_on_lost_link;
};

/**
 * rst_jobd_calls_create() - Creates an empty table of calls.
 * @stats: Counts the answers.
 */
struct rst_jobd_calls *rst_jobd_calls_create (struct rst_call_stats *stats);

/** rst_jobd_calls_destroy() - Frees a table and its calls, to which nobody
 * replies any more; NULL is ignored. */
void rst_jobd_calls_destroy (struct rst_jobd_calls *calls);

/** rst_jobd_calls_add() - Adds a new call and gives it its number. */
struct pending_call *rst_jobd_calls_add (struct rst_jobd_calls *calls,
                                         struct rst_http_request *request,
                                         enum rst_operation operation);

/** rst_jobd_calls_find() - Finds a call by its number; NULL if it was
 * answered. */
struct pending_call *rst_jobd_calls_find (struct rst_jobd_calls *calls,
                                          uint64_t number);

/** rst_jobd_calls_count() - Returns how many calls have no answer. */
unsigned rst_jobd_calls_count (const struct rst_jobd_calls *calls);

/** rst_jobd_calls_was_sent() - Whether the call was sent to a planner. */
bool rst_jobd_calls_was_sent (const struct pending_call *call);

/**
 * rst_jobd_calls_set_closing() - Sets whether connections are closed with the
 * next answers.
 */
void rst_jobd_calls_set_closing (struct rst_jobd_calls *calls, bool closing);

/** rst_jobd_calls_finish() - Replies to a call, counts it and frees it. */
void rst_jobd_calls_finish (struct rst_jobd_calls *calls,
                            struct pending_call *call, unsigned status,
                            const char *text, unsigned retry_s);

/**
 * rst_jobd_calls_reject() - The same with an error, which is logged.
 * @status: If it is 429 or 503 and a planner may have carried the call out or
 *   may still do so, the status is 504 instead.
 */
void rst_jobd_calls_reject (struct rst_jobd_calls *calls,
                            struct pending_call *call, unsigned status,
                            const char *reason, unsigned retry_s);

/**
 * rst_jobd_calls_handle_reply() - Replies to the call that a planner's reply
 * is for; ignored if the call has been answered.
 * @reader: The members of the planner's message after its kind.
 */
void rst_jobd_calls_handle_reply (struct rst_jobd_calls *calls,
                                  struct rst_reader *reader);

/** rst_jobd_calls_foreach() - Calls @visit with each call, which may finish
 * it. */
void rst_jobd_calls_foreach (struct rst_jobd_calls *calls,
                             void (*visit) (void *userdata,
                                            struct pending_call *call),
                             void *userdata);

/** rst_jobd_calls_link_lost() - Notes that the link to the planner was lost.
 */
void rst_jobd_calls_link_lost (struct rst_jobd_calls *calls);

/**
 * rst_jobd_calls_expire() - Replies to calls that are close to their deadline
 * or can't be sent.
 * @action: What to do with calls that were never sent.
 */
void rst_jobd_calls_expire (struct rst_jobd_calls *calls, rst_ms now,
                            enum rst_entry_action action);

#endif
