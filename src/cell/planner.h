/**
 * DOC: planner - decides which task starts where and when
 *
 * One process at a time runs a planner.  It knows all jobs and all
 * instances, and tells agents what to do.  It does no input or output of its
 * own: time is set with rst_planner_set_time(), events come in by the other
 * functions, and what is to be done goes out through struct rst_planner_ops.
 * All functions are called from one thread.
 */
#ifndef RST_PLANNER_H
#define RST_PLANNER_H

#include "cell/cellconfig.h"
#include "cell/messages.h"
#include "cell/planstats.h"

struct rst_planner;

/**
 * struct rst_reply - An answer to a caller's call.
 * @outcome: What happened.
 * @state: State of a job, with RST_OUTCOME_STATE.
 * @count: Waiting jobs, with RST_OUTCOME_COUNT.
 * @retry_s: Seconds after which to come back; 0 for none.
 */
struct rst_reply
{
  enum rst_outcome outcome;
  enum rst_job_state state;
  int64_t count;
  int retry_s;
};

/**
 * struct rst_planner_ops - What the planner wants done.
 * @send: Send a message over a link.
 * @reply: Answer a caller's call that came over a link.
 * @commit: Append a segment to the journal and remove old ones.  Answered
 *   with rst_planner_commit_done().
 * @userdata: Passed to each.
 */
struct rst_planner_ops
{
  void (*send) (void *userdata, uint64_t link, const void *data,
                size_t length);
  void (*reply) (void *userdata, uint64_t link, uint64_t call,
                 const struct rst_reply *reply);
  void (*commit) (void *userdata, int64_t segment, const void *data,
                  size_t length, const int64_t *remove, int remove_count);
  void *userdata;
};

/**
 * struct rst_planner_timing - Times that the planner keeps to.
 * @unconfirmed_renewal_ms: How long agents extend leases without a planner
 * that the store confirms.
 * @lease_ms: Length of a lease on an instance.
 * @status_ms: How long the state of an ended job stays readable.
 * @early_ms: How much before its time an occurrence may start.
 */
struct rst_planner_timing
{
  rst_ms unconfirmed_renewal_ms;
  rst_ms lease_ms;
  rst_ms status_ms;
  rst_ms early_ms;
};

/**
 * rst_planner_create() - A planner without jobs or instances.
 * @ops: What it can have done; copied.
 * @timing: Times; copied.
 * @epoch: Fencing token of this planner.
 */
struct rst_planner *
rst_planner_create (const struct rst_planner_ops *ops,
                    const struct rst_planner_timing *timing, int64_t epoch);

/**
 * enum rst_step_order - In which order waiting steps are served.
 * @RST_STEP_ORDER_RANKED: What can still be on time first, see plan_place.c.
 * @RST_STEP_ORDER_FIFO: The oldest first.
 */
enum rst_step_order
{
  RST_STEP_ORDER_RANKED,
  RST_STEP_ORDER_FIFO,
};

/**
 * enum rst_fit - On which of the instances with room a task starts.
 * @RST_FIT_BEST: The one that is left with the least room.
 * @RST_FIT_FIRST: The first one.
 * @RST_FIT_RANDOM: Any.
 */
enum rst_fit
{
  RST_FIT_BEST,
  RST_FIT_FIRST,
  RST_FIT_RANDOM,
};

/**
 * rst_planner_set_policy() - Takes another policy than the usual one.
 *
 * For comparisons on a load; a new planner ranks and takes the tightest.
 */
void rst_planner_set_policy (struct rst_planner *planner,
                             enum rst_step_order order, enum rst_fit fit);

/** rst_planner_destroy() - Frees a planner, or ignores NULL. */
void rst_planner_destroy (struct rst_planner *planner);

/**
 * rst_planner_set_time() - Sets the time that the next events happen at.
 * @now: Steady time.
 * @unix_ms: Time of day.
 */
void rst_planner_set_time (struct rst_planner *planner, rst_ms now,
                           int64_t unix_ms);

/**
 * rst_planner_restore() - Takes a segment of the journal, in order.
 *
 * Return: false when a record can't be read; the others are taken.
 */
bool rst_planner_restore (struct rst_planner *planner, int64_t segment,
                          const void *data, size_t length);

/** rst_planner_finish_restore() - All segments were taken; work may begin. */
void rst_planner_finish_restore (struct rst_planner *planner);

/** rst_planner_configure() - Takes a configuration, owned from now on. */
void rst_planner_configure (struct rst_planner *planner,
                            struct rst_cellconfig *config);

/** rst_planner_set_zone_evacuated() - A zone takes no starts, or takes them
 * again. */
void rst_planner_set_zone_evacuated (struct rst_planner *planner,
                                     const char *zone, bool evacuated);

/** rst_planner_update_instance() - An instance registered or changed its
 * entry. */
void rst_planner_update_instance (struct rst_planner *planner,
                                  const struct rst_instance_entry *entry);

/** rst_planner_remove_instance() - An instance's entry was removed. */
void rst_planner_remove_instance (struct rst_planner *planner, const char *id);

/** rst_planner_add_agent() - An agent is at the other end of a link. */
void rst_planner_add_agent (struct rst_planner *planner, uint64_t link,
                            const char *name, const char *zone);

/** rst_planner_link_closed() - A link is gone. */
void rst_planner_link_closed (struct rst_planner *planner, uint64_t link);

/**
 * rst_planner_receive_message() - A message of an agent.
 * @kind: Its kind.
 * @reader: At the member behind the kind.
 */
void rst_planner_receive_message (struct rst_planner *planner, uint64_t link,
                                  int kind, struct rst_reader *reader);

/**
 * struct rst_planner_call - A caller's call.
 * @link: Link that it came over.
 * @number: Its number on that link.
 * @operation: What the caller wants.
 * @host: Host header.
 * @path: Path.
 * @key: Key, or "".
 * @desc: The job, with RST_OPERATION_SUBMIT; owned by the planner.
 */
struct rst_planner_call
{
  uint64_t link;
  uint64_t number;
  enum rst_operation operation;
  const char *host;
  const char *path;
  const char *key;
  struct rst_jobdesc *desc;
};

/** rst_planner_call() - Takes a caller's call; answered by reply. */
void rst_planner_receive_call (struct rst_planner *planner,
                               const struct rst_planner_call *call);

/** rst_planner_commit_done() - The last commit is in the store. */
void rst_planner_commit_done (struct rst_planner *planner);

/**
 * rst_planner_set_confirmed() - The store confirmed that this is the planner.
 * @at: When the confirmed call was sent.
 */
void rst_planner_set_confirmed (struct rst_planner *planner, rst_ms at);

/**
 * rst_planner_run() - Places what can start, commits what changed.
 *
 * Return: Time at which it wants to be called again at the latest.
 */
rst_ms rst_planner_run (struct rst_planner *planner);

/** rst_planner_read_stats() - Copies the planner's counters. */
void rst_planner_read_stats (const struct rst_planner *planner,
                             struct rst_planner_stats *out);

/** rst_planner_foreach_queue() - Calls @visit with each queue's counters. */
void rst_planner_foreach_queue (const struct rst_planner *planner,
                                void (*visit) (void *userdata,
                                               const struct rst_queue_stats *),
                                void *userdata);

/** rst_planner_is_ready() - Whether callers can be served. */
bool rst_planner_is_ready (const struct rst_planner *planner);

#endif
