/**
 * DOC: planner - decides which task starts on which instance, and when
 *
 * One process at a time runs the planner.  It knows all jobs and all
 * instances, and sends orders to agents, which call the instances.  It does no
 * I/O of its own: rst_planner_set_time() sets its clock, the other functions
 * deliver events, and its output goes through the callbacks of struct
 * rst_planner_ops.
 *
 * All functions of one planner are called from the same thread.
 */
#ifndef RST_PLANNER_H
#define RST_PLANNER_H

#include "cell/cellconfig.h"
#include "cell/messages.h"
#include "cell/planstats.h"

struct rst_planner;

/**
 * struct rst_reply - The reply to a caller's request.
 * @outcome: What happened.
 * @state: State of the job; set with RST_OUTCOME_STATE.
 * @count: Number of jobs of which no task has started; set with
 *   RST_OUTCOME_COUNT.
 * @retry_s: Seconds after which the caller should retry, or 0.
 */
struct rst_reply
{
  enum rst_outcome outcome;
  enum rst_job_state state;
  int64_t count;
  int retry_s;
};

/**
 * struct rst_planner_ops - Callbacks for the planner's output.
 * @send: Sends a message over a link.  The bytes are valid during the call.
 * @reply: Replies to the caller's request that has the number @call on a
 *   link.
 * @commit: Appends the segment with the number @segment to the journal and
 *   deletes those with the numbers in @remove, in one transaction.  Its
 *   completion is reported with rst_planner_commit_done(); until then the
 *   planner makes no further commit.
 * @userdata: Passed to each callback.
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
 * struct rst_planner_timing - Durations and rates that the planner relies on.
 * @unconfirmed_renewal_ms: How long agents go on extending leases after the
 *   store last confirmed the planner.
 * @lease_ms: Length of a lease on an instance.
 * @status_ms: How long the state of an ended job can be read.
 * @early_ms: How long before its due time an occurrence of a repeating job
 *   may start; the planner does not use it.
 * @link_bytes_per_ms: Bandwidth of this machine's link to the store; 0 if it
 *   is not known.
 * @ignores_speed: Whether placement treats all instances as equally fast, see
 *   plan_speed.c.
 * @tables_bytes_max: Memory for the tables of jobs; 0 for no bound.
 * @latest_end_percent: A job that would end later than this percentage of its
 *   objective is rejected; 0 for none.
 * @remote_penalty: How many times as long tasks take outside their rack; up to
 *   1 if racks make no difference.
 */
struct rst_planner_timing
{
  rst_ms unconfirmed_renewal_ms;
  rst_ms lease_ms;
  rst_ms status_ms;
  rst_ms early_ms;
  int64_t link_bytes_per_ms;
  bool ignores_speed;
  /* Limits for callers (plan_tables.c). */
  int64_t tables_bytes_max;
  /* Admission. */
  int64_t latest_end_percent;
  /* Data locality. */
  double remote_penalty;
};

/**
 * rst_planner_create() - Creates a planner without jobs or instances.
 * @ops: Callbacks; the struct is copied.
 * @timing: Durations; the struct is copied.
 * @epoch: The planner's epoch; its fencing tokens are derived from it.
 *
 * Return: The planner, to be freed with rst_planner_destroy().
 */
struct rst_planner *
rst_planner_create (const struct rst_planner_ops *ops,
                    const struct rst_planner_timing *timing, int64_t epoch);

/**
 * enum rst_step_order - The order in which waiting steps are placed.
 * @RST_STEP_ORDER_RANKED: By rank: steps that can still meet their objective
 *   come first; see plan_place.c.
 * @RST_STEP_ORDER_FIFO: By due time, the oldest first.
 */
enum rst_step_order
{
  RST_STEP_ORDER_RANKED,
  RST_STEP_ORDER_FIFO,
};

/**
 * enum rst_fit - Which of the instances with enough room a task starts on.
 * @RST_FIT_BEST: Best fit: the instance that is left with the least room.
 * @RST_FIT_FIRST: First fit.
 * @RST_FIT_RANDOM: A pseudo-random one.
 */
enum rst_fit
{
  RST_FIT_BEST,
  RST_FIT_FIRST,
  RST_FIT_RANDOM,
};

/**
 * rst_planner_set_policy() - Sets the placement policy.
 *
 * Used to compare policies under the same load.  A new planner uses
 * RST_STEP_ORDER_RANKED and RST_FIT_BEST.
 */
void rst_planner_set_policy (struct rst_planner *planner,
                             enum rst_step_order order, enum rst_fit fit);

/**
 * enum rst_rack_policy - Whether steps wait for room in their rack.
 * @RST_RACK_WAIT_PLANNED: While they gain by it; see locality.h.
 * @RST_RACK_WAIT_NEVER: Never.
 * @RST_RACK_WAIT_ALWAYS: Until there is room, whatever the objective.
 */
enum rst_rack_policy
{
  RST_RACK_WAIT_PLANNED,
  RST_RACK_WAIT_NEVER,
  RST_RACK_WAIT_ALWAYS,
};

/** rst_planner_set_rack_policy() - Sets whether steps wait for their rack; a
    new planner uses RST_RACK_WAIT_PLANNED.  Used to compare policies. */
void rst_planner_set_rack_policy (struct rst_planner *planner,
                                  enum rst_rack_policy policy);

/** rst_planner_destroy() - Frees a planner; does nothing for NULL. */
void rst_planner_destroy (struct rst_planner *planner);

/**
 * rst_planner_set_time() - Sets the time at which the next events happen.
 * @now: Monotonic time.
 * @unix_ms: Unix time in milliseconds.
 */
void rst_planner_set_time (struct rst_planner *planner, rst_ms now,
                           int64_t unix_ms);

/**
 * rst_planner_restore() - Applies one segment of the journal.
 *
 * Segments are passed in the order of their numbers, before
 * rst_planner_finish_restore().
 *
 * Return: false if a record could not be read; the other records of the
 * segment are applied.
 */
bool rst_planner_restore (struct rst_planner *planner, int64_t segment,
                          const void *data, size_t length);

/**
 * rst_planner_finish_restore() - Ends the restore and begins planning.
 *
 * All segments of the journal have been applied.
 */
void rst_planner_finish_restore (struct rst_planner *planner);

/**
 * rst_planner_configure() - Replaces the operators' configuration.
 * @config: The configuration; the planner takes ownership.
 *
 * A configuration with a lower version than the current one is ignored.
 */
void rst_planner_configure (struct rst_planner *planner,
                            struct rst_cellconfig *config);

/**
 * rst_planner_set_zone_evacuated() - Excludes a zone from starts, or admits
 * it again.
 *
 * Tasks that run in the zone go on.
 */
void rst_planner_set_zone_evacuated (struct rst_planner *planner,
                                     const char *zone, bool evacuated);

/**
 * rst_planner_update_instance() - Adds an instance or replaces its entry.
 * @entry: The entry under which the instance is now registered; copied.
 */
void rst_planner_update_instance (struct rst_planner *planner,
                                  const struct rst_instance_entry *entry);

/**
 * rst_planner_remove_instance() - Notes that an instance's entry was removed.
 *
 * Nothing more is started on the instance.  Its runs are kept until it
 * reports their ends or its lease has expired.
 */
void rst_planner_remove_instance (struct rst_planner *planner, const char *id);

/**
 * rst_planner_reject_instance() - Notes that an instance's entry can't be
 * used.
 * @problem: Text that names the field and what is wrong with it.
 *
 * As with a removed entry, nothing more is started on the instance until it
 * has a usable entry again.  It is still called at its last known address, and
 * its runs go on.  The problem is logged when it differs from the last one.
 */
void rst_planner_reject_instance (struct rst_planner *planner, const char *id,
                                  const char *problem);

/**
 * rst_planner_wants_machines() - Whether the list of machines should be read
 * now.
 *
 * When it was wanted, it is not wanted again for some time, read or not.
 */
bool rst_planner_wants_machines (struct rst_planner *planner);

/**
 * rst_planner_note_machines() - Notes which instances the machines of the
 * platform run.
 * @machines: All pages of the list, with elements of type struct rst_machine.
 * @requested_at: When the first page was requested.
 *
 * A silent instance that two lists lack one after the other has ended.
 */
void rst_planner_note_machines (struct rst_planner *planner,
                                const GArray *machines, rst_ms requested_at);

/**
 * rst_planner_add_agent() - Adds an agent and assigns instances to it.
 * @link: The link to the agent.
 * @name: The agent's name.
 * @zone: The agent's availability zone.
 */
void rst_planner_add_agent (struct rst_planner *planner, uint64_t link,
                            const char *name, const char *zone);

/**
 * rst_planner_set_link_heard() - Notes that an agent has answered a heartbeat.
 * @at: When the heartbeat was sent.  All reports that the agent made before
 *   that time have arrived.
 */
void rst_planner_set_link_heard (struct rst_planner *planner, uint64_t link,
                                 rst_ms at);

/**
 * rst_planner_link_closed() - Handles the closing of a link.
 *
 * The instances of an agent on that link are assigned to other agents.
 */
void rst_planner_link_closed (struct rst_planner *planner, uint64_t link);

/**
 * rst_planner_receive_message() - Handles a message of an agent.
 * @link: The link to the agent.
 * @kind: Kind of the message.
 * @reader: Reader at the member after the kind.
 */
void rst_planner_receive_message (struct rst_planner *planner, uint64_t link,
                                  int kind, struct rst_reader *reader);

/**
 * struct rst_planner_call - A caller's request.
 * @link: The link that it came over.
 * @number: Its number on that link.
 * @operation: What the caller asks for.
 * @host: Host header.
 * @path: Path of the request.
 * @key: API key, or "".
 * @desc: The job's description; set with RST_OPERATION_SUBMIT.
 * @sent_at: The caller sent it at this time of the planner's clock or later; 0
 *   if that is unknown.  Set with RST_OPERATION_SUBMIT.
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
  rst_ms sent_at;
};

/**
 * rst_planner_receive_call() - Handles a caller's request.
 * @call: The request.  The planner takes ownership of its description.
 *
 * The reply goes through &rst_planner_ops.reply.  If the request changes the
 * state of a job, the reply follows once the change is committed.
 */
void rst_planner_receive_call (struct rst_planner *planner,
                               const struct rst_planner_call *call);

/** rst_planner_commit_done() - Notes that the last commit is in the store. */
void rst_planner_commit_done (struct rst_planner *planner);

/**
 * rst_planner_set_confirmed() - Notes that the store has confirmed this
 * process as the planner.
 * @at: Time at which the confirmed request was sent.
 */
void rst_planner_set_confirmed (struct rst_planner *planner, rst_ms at);

/**
 * rst_planner_set_commit_failed() - Notes that a commit was not confirmed.
 * @was_refused: The store has answered that nothing was done.
 */
void rst_planner_set_commit_failed (struct rst_planner *planner,
                                    bool was_refused);

/**
 * rst_planner_set_isolated() - Sets whether the planner is cut off from the
 * others with its zone.
 *
 * While it is, new jobs are rejected at once, as those that wait for a commit
 * are, and no job is denied that a successor may have accepted.
 */
void rst_planner_set_isolated (struct rst_planner *planner, bool isolated);

/**
 * rst_planner_run() - Checks timeouts, places tasks and commits changes, as
 * far as they are due.
 *
 * Return: The time at which it has to be called again at the latest.
 */
rst_ms rst_planner_run (struct rst_planner *planner);

/**
 * rst_planner_get_journal_range() - Returns the numbers of the journal's first
 * and last segment, with those of the commit under way.
 */
void rst_planner_get_journal_range (const struct rst_planner *planner,
                                    int64_t *first, int64_t *last);

/** rst_planner_read_stats() - Copies the planner's counters to @out. */
void rst_planner_read_stats (const struct rst_planner *planner,
                             struct rst_planner_stats *out);

/** rst_planner_foreach_queue() - Calls @visit with each queue's counters. */
void rst_planner_foreach_queue (const struct rst_planner *planner,
                                void (*visit) (void *userdata,
                                               const struct rst_queue_stats *),
                                void *userdata);

/** rst_planner_get_epoch() - Returns the epoch of the planner's term. */
int64_t rst_planner_get_epoch (const struct rst_planner *planner);

/** rst_planner_is_restored() - Whether all of the journal is applied. */
bool rst_planner_is_restored (const struct rst_planner *planner);

/**
 * struct rst_job_facts - What a successor has to know of a job.
 * @id: The job's id.
 * @segment: Segment of the journal with its last record; 0 for none.
 * @text: Its state if it has ended; otherwise its times and which tasks are
 *   done, have failed or had crashes counted under them.  Alike for the
 * planner that wrote the record and one that has just restored it.
 */
struct rst_job_facts
{
  const char *id;
  int64_t segment;
  const char *text;
};

/**
 * rst_planner_foreach_job() - Calls @visit with the facts of each job, which
 * are valid during the call.
 */
void rst_planner_foreach_job (
    const struct rst_planner *planner,
    void (*visit) (void *userdata, const struct rst_job_facts *facts),
    void *userdata);

/**
 * rst_planner_is_ready() - Whether callers can be served: the journal is
 * restored and a configuration is set.
 */
bool rst_planner_is_ready (const struct rst_planner *planner);

#endif
