/**
 * DOC: backend - interface to the store, the instances and the advice service
 *
 * An adapter implements the calls of struct rst_backend; only the adapter
 * knows the protocols behind them.  Each call takes a callback, which is
 * called exactly once, on a thread of the adapter, and which then owns the
 * answer.
 */
#ifndef RST_BACKEND_H
#define RST_BACKEND_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "cell/jobdesc.h"

/** Size of an instance's id, its zone or its rack, with the final NUL. */
#define RST_ID_SIZE 64

/** Size of a task's name, with the final NUL. */
#define RST_TASK_NAME_SIZE 64

/** Longest checkpoint that is carried, in bytes.  A longer one is left out. */
#define RST_CHECKPOINT_BYTES_MAX 65536

/** Longest advice ticket that is carried, in bytes.  The approval with a
    longer one is left out.  An answer has at most 100 tickets, which fit into
    one frame of a link together. */
#define RST_TICKET_BYTES_MAX 4096

/**
 * enum rst_result - Result of a call to an outside system.
 * @RST_RESULT_OK: The call succeeded.
 * @RST_RESULT_ABSENT: The object that the call names does not exist.
 * @RST_RESULT_CONFLICT: A condition of the call did not hold; it had no
 *   effect.
 * @RST_RESULT_REJECTED: The call was rejected and had no effect.
 * @RST_RESULT_COMPACTED: The requested history can't be read: the store no
 *   longer has it, or it is too large.
 * @RST_RESULT_NOT_SENT: The call was never sent.
 * @RST_RESULT_OTHER_INCARNATION: The instance has restarted since the call
 *   was made; the call had no effect.
 * @RST_RESULT_FENCED: The instance has seen a higher fencing token.
 * @RST_RESULT_STALE_ATTEMPT: The instance has seen the same or a higher
 *   attempt of the task.
 * @RST_RESULT_LEASE_EXPIRED: The lease in the call had expired on arrival.
 * @RST_RESULT_NO_ROOM: The instance lacks the resources.
 * @RST_RESULT_NO_TICKET: The advice ticket is missing or not valid.
 * @RST_RESULT_UNKNOWN: No usable answer came; the call may have taken effect
 *   or may still do so.
 */
enum rst_result
{
  RST_RESULT_OK,
  RST_RESULT_ABSENT,
  RST_RESULT_CONFLICT,
  RST_RESULT_REJECTED,
  RST_RESULT_COMPACTED,
  RST_RESULT_NOT_SENT,
  RST_RESULT_OTHER_INCARNATION,
  RST_RESULT_FENCED,
  RST_RESULT_STALE_ATTEMPT,
  RST_RESULT_LEASE_EXPIRED,
  RST_RESULT_NO_ROOM,
  RST_RESULT_NO_TICKET,
  RST_RESULT_UNKNOWN,
};

/** rst_result_name() - Returns the static name of a result for log fields. */
const char *rst_result_name (enum rst_result result);

/**
 * struct rst_store_item - A key of the store, or a change of one.
 * @key: The key.
 * @value: Its value; NULL when @deleted.
 * @length: Length of @value in bytes.
 * @revision: Revision of its last change.
 * @deleted: Whether the key was deleted.
 */
struct rst_store_item
{
  char *key;
  guint8 *value;
  size_t length;
  int64_t revision;
  bool deleted;
};

/**
 * struct rst_store_answer - Answer of the store.
 * @result: Result of the call.
 * @items: Elements of type struct rst_store_item *, in the store's order.
 * @revision: Revision of the store; for a transaction, that of its changes.
 * @has_more: Whether another page follows the last item.
 */
struct rst_store_answer
{
  enum rst_result result;
  GPtrArray *items;
  int64_t revision;
  bool has_more;
};

/** rst_store_answer_new() - Creates an answer without items. */
struct rst_store_answer *rst_store_answer_new (void);

/** rst_store_answer_free() - Frees an answer and its items. */
void rst_store_answer_free (struct rst_store_answer *answer);

/**
 * struct rst_store_write - One key of a transaction.
 * @key: The key.
 * @value: New value; NULL leaves the value as it is.
 * @length: Length of @value in bytes.
 * @expected_revision: Revision that the key must have; 0 when it must not
 *   exist, -1 for no condition.
 * @is_removal: Whether the key is deleted.
 */
struct rst_store_write
{
  const char *key;
  const void *value;
  size_t length;
  int64_t expected_revision;
  bool is_removal;
};

/**
 * struct rst_run - A run that an instance lists as running or ended.
 * @end_number: Sequence number of the run's end; 0 while it runs.
 * @task: Name of the task.
 * @attempt: Attempt of the task that this run is.
 * @end_reason: Why the run ended; a value of enum rst_end.
 * @checkpoint: Last checkpoint; NULL or "" if there is none that is carried.
 *   Owned by the run, see rst_run_clear().
 * @progress_percent: Progress of a run that has not ended.
 * @usage: Measured over the last half second of a run that has not ended:
 *   the response time of a long-running task in milliseconds; the processor
 *   use of any other task in thousandths of a core.
 */
struct rst_run
{
  int64_t end_number;
  char task[RST_TASK_NAME_SIZE];
  int attempt;
  int end_reason;
  char *checkpoint;
  int progress_percent;
  int64_t usage;
};

/** rst_run_clear() - Frees what a run owns, but not the run itself. */
void rst_run_clear (struct rst_run *run);

/**
 * enum rst_end - Why a run ended.
 * @RST_END_DONE: The task is complete.
 * @RST_END_FAILED: The task failed.
 * @RST_END_STOPPED: The run was stopped by an order.
 * @RST_END_LEASE_EXPIRED: The lease of its instance expired.
 * @RST_END_GANG_BROKEN: Another member of its gang ended.
 * @RST_END_GANG_INCOMPLETE: The other members of its gang did not start.
 */
enum rst_end
{
  RST_END_DONE,
  RST_END_FAILED,
  RST_END_STOPPED,
  RST_END_LEASE_EXPIRED,
  RST_END_GANG_BROKEN,
  RST_END_GANG_INCOMPLETE,
};

/**
 * struct rst_instance_answer - Answer of an instance.
 * @result: Result of the call.
 * @clock_ms: Monotonic clock of the instance; 0 when unknown.
 * @incarnation: Start of the instance in Unix time, which identifies its
 *   incarnation; 0 when unknown.
 * @has_more_ends: Whether runs may have ended that @runs does not list; they
 *   are listed once earlier ends are acknowledged.
 * @checkpoints_left_out: Number of checkpoints that are left out of @runs
 *   because they exceed RST_CHECKPOINT_BYTES_MAX or are not valid texts.
 * @runs: Elements of type struct rst_run: first those that run, then those
 *   that have ended.
 */
struct rst_instance_answer
{
  enum rst_result result;
  int64_t clock_ms;
  int64_t incarnation;
  bool has_more_ends;
  unsigned checkpoints_left_out;
  GArray *runs;
};

/** rst_instance_answer_new() - Creates an answer without runs. */
struct rst_instance_answer *rst_instance_answer_new (void);

/** rst_instance_answer_free() - Frees an answer and its runs. */
void rst_instance_answer_free (struct rst_instance_answer *answer);

/**
 * struct rst_instance_call - An order to an instance, or a poll of its runs.
 * @id: Id of the instance.
 * @address: Its address.
 * @fencing_token: Fencing token of the caller.
 * @task: Name of the task; NULL in a poll.
 * @attempt: Attempt of the task.
 * @spec: Text that the task receives.
 * @checkpoint: Checkpoint from which the task goes on, or "".
 * @ticket: Advice ticket, or "".
 * @deadline_ms: Expiry of the lease on the instance's clock; 0 leaves the
 *   lease as it is.
 * @last_acked_end: Ends up to this number are stored, so the instance may
 *   forget them.
 * @wait_ms: How long a poll may wait for a run to end.
 * @has_pace: Whether @pace_percent is set.
 * @pace_percent: Pace of the run, in percent of full speed.
 */
struct rst_instance_call
{
  const char *id;
  const char *address;
  int64_t fencing_token;
  const char *task;
  int attempt;
  const char *spec;
  const char *checkpoint;
  const char *ticket;
  int64_t deadline_ms;
  int64_t last_acked_end;
  int64_t wait_ms;
  bool has_pace;
  int pace_percent;
};

/**
 * struct rst_ticket - Approval to run a step on an instance.
 * @id: Id of the instance.
 * @ticket: Ticket that the start of a task there must carry; freed with the
 *   answer.
 */
struct rst_ticket
{
  char id[RST_ID_SIZE];
  char *ticket;
};

/**
 * struct rst_advice_answer - Answer of the advice service.
 * @result: Result of the call.
 * @tickets: Elements of type struct rst_ticket, one for each instance that
 *   may run the step.
 */
struct rst_advice_answer
{
  enum rst_result result;
  GArray *tickets;
};

/** rst_advice_answer_new() - Creates an answer without tickets. */
struct rst_advice_answer *rst_advice_answer_new (void);

/** rst_advice_answer_free() - Frees an answer and its tickets. */
void rst_advice_answer_free (struct rst_advice_answer *answer);

/**
 * struct rst_machine - A machine as the platform lists it.
 * @id: Id of the instance that runs on it; "" if none does.
 * @zone: Its availability zone.
 * @rack: Its rack; "" if it is not known.
 */
struct rst_machine
{
  char id[RST_ID_SIZE];
  char zone[RST_ID_SIZE];
  char rack[RST_ID_SIZE];
};

/**
 * struct rst_machines_answer - A page of the list of machines.
 * @result: Result of the call.
 * @machines: Elements of type struct rst_machine.
 * @next_page: Names the next page; NULL after the last one.
 */
struct rst_machines_answer
{
  enum rst_result result;
  GArray *machines;
  char *next_page;
};

/** rst_machines_answer_new() - Creates an answer without machines. */
struct rst_machines_answer *rst_machines_answer_new (void);

/** rst_machines_answer_free() - Frees an answer and its machines. */
void rst_machines_answer_free (struct rst_machines_answer *answer);

typedef void (*rst_store_done) (struct rst_store_answer *answer,
                                void *userdata);
typedef void (*rst_instance_done) (struct rst_instance_answer *answer,
                                   void *userdata);
typedef void (*rst_advice_done) (struct rst_advice_answer *answer,
                                 void *userdata);
typedef void (*rst_machines_done) (struct rst_machines_answer *answer,
                                   void *userdata);

/**
 * struct rst_backend - Calls to the outside systems.
 * @store_get: Reads one key.
 * @store_range: Reads a page of the keys that have a prefix and sort behind
 *   @after.
 * @store_watch: Waits up to @wait_ms for changes later than a revision.
 * @store_commit: Applies all writes of a transaction, or none.
 * @hold: Long-polls an instance for its runs and extends its lease.
 * @start: Starts a run.
 * @stop: Stops a run, or keeps it from starting if its start is still to
 *   come.
 * @pace: Limits the speed of a run.
 * @advise: Requests approval to run a step on the instances @ids.
 * @list_machines: Reads a page of the list of machines; the first one with
 *   @page NULL.  NULL if the platform has no such list.
 * @userdata: Passed to each call.
 */
struct rst_backend
{
  void (*store_get) (void *userdata, const char *key, rst_store_done done,
                     void *done_data);
  void (*store_range) (void *userdata, const char *prefix, const char *after,
                       rst_store_done done, void *done_data);
  void (*store_watch) (void *userdata, const char *prefix, int64_t after,
                       int64_t wait_ms, rst_store_done done, void *done_data);
  void (*store_commit) (void *userdata, const struct rst_store_write *writes,
                        int count, rst_store_done done, void *done_data);
  void (*hold) (void *userdata, const struct rst_instance_call *call,
                rst_instance_done done, void *done_data);
  void (*start) (void *userdata, const struct rst_instance_call *call,
                 rst_instance_done done, void *done_data);
  void (*stop) (void *userdata, const struct rst_instance_call *call,
                rst_instance_done done, void *done_data);
  void (*pace) (void *userdata, const struct rst_instance_call *call,
                rst_instance_done done, void *done_data);
  void (*advise) (void *userdata, const char *step, const char *const *ids,
                  int count, rst_advice_done done, void *done_data);
  void (*list_machines) (void *userdata, const char *page,
                         rst_machines_done done, void *done_data);
  void *userdata;
};

#endif
