/**
 * DOC: backend - the outside systems behind one table of function pointers
 *
 * The store, the instances and the advice service as this product sees them.
 * An adapter fills the table; nothing else knows how they are spoken to.
 * Each call takes a callback that is called exactly once, on a thread of the
 * adapter's, with an answer that the callback then owns.
 */
#ifndef RST_BACKEND_H
#define RST_BACKEND_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "cell/jobdesc.h"

/** Bound on an instance's id, its zone, its rack, with the final NUL. */
#define RST_ID_SIZE 64

/** Bound on a task's name, with the final NUL. */
#define RST_TASK_NAME_SIZE 64

/** Bound on a checkpoint or an advice ticket, with the final NUL. */
#define RST_TOKEN_SIZE 64

/**
 * enum rst_result - How a call to an outside system ended.
 * @RST_RESULT_OK: Done.
 * @RST_RESULT_ABSENT: What it names is not there.
 * @RST_RESULT_CONFLICT: A condition did not hold; nothing was done.
 * @RST_RESULT_REJECTED: It was turned away; nothing was done.
 * @RST_RESULT_COMPACTED: The history asked for is no longer kept.
 * @RST_RESULT_NOT_SENT: It never left this process.
 * @RST_RESULT_OTHER_INCARNATION: The instance was born anew; nothing was done.
 * @RST_RESULT_FENCED: The instance has seen a higher token.
 * @RST_RESULT_STALE_ATTEMPT: The instance has seen a run as high or higher.
 * @RST_RESULT_LEASE_EXPIRED: The lease given had run out on arrival.
 * @RST_RESULT_NO_ROOM: The instance has no room.
 * @RST_RESULT_NO_TICKET: The advice ticket is missing or not valid.
 * @RST_RESULT_UNKNOWN: No usable answer; it may be done, now or later.
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

/** rst_result_name() - A short name for logs. */
const char *rst_result_name (enum rst_result result);

/**
 * struct rst_store_item - A key of the store.
 * @key: The key.
 * @value: Its bytes, NULL when @deleted.
 * @length: Their number.
 * @revision: Revision of its last change.
 * @deleted: Whether it was removed.
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
 * struct rst_store_answer - What the store said.
 * @result: How the call ended.
 * @items: struct rst_store_item, in the store's order.
 * @revision: The store's revision; of a transaction, that of its changes.
 * @has_more: Whether a further page follows the last item.
 */
struct rst_store_answer
{
  enum rst_result result;
  GPtrArray *items;
  int64_t revision;
  bool has_more;
};

/** rst_store_answer_new() - An empty answer. */
struct rst_store_answer *rst_store_answer_new (void);

/** rst_store_answer_free() - Frees an answer. */
void rst_store_answer_free (struct rst_store_answer *answer);

/**
 * struct rst_store_write - One entry of a transaction.
 * @key: The key.
 * @value: New bytes, or NULL for no write.
 * @length: Their number.
 * @expected: Revision that the key must have; 0 for absent, -1 for any.
 * @remove: Whether the key is removed.
 */
struct rst_store_write
{
  const char *key;
  const void *value;
  size_t length;
  int64_t expected;
  bool remove;
};

/**
 * struct rst_run - A run that an instance lists.
 * @number: Number of its end; 0 while it runs.
 * @task: The task's name.
 * @attempt: The run's number.
 * @end_reason: How it ended; a value of enum rst_end.
 * @checkpoint: Last checkpoint, or "".
 * @percent: Progress while it runs.
 * @usage: Over the last half second while it runs: response time of a run
 *   that serves, in milliseconds; processors of any other, in thousandths.
 */
struct rst_run
{
  int64_t number;
  char task[RST_TASK_NAME_SIZE];
  int attempt;
  int end_reason;
  char checkpoint[RST_TOKEN_SIZE];
  int percent;
  int64_t usage;
};

/**
 * enum rst_end - How a run ended.
 * @RST_END_DONE: Its work is complete.
 * @RST_END_FAILED: It failed.
 * @RST_END_STOPPED: It was stopped.
 * @RST_END_LEASE_EXPIRED: Its lease ran out.
 * @RST_END_GANG_BROKEN: Another member of its gang ended.
 * @RST_END_GANG_INCOMPLETE: The other members of its gang did not come.
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
 * struct rst_instance_answer - What an instance said.
 * @result: How the call ended.
 * @clock_ms: The instance's own steady clock.
 * @incarnation: Unix time of its start; 0 when it did not say.
 * @runs: struct rst_run; those that run, then those that ended.
 */
struct rst_instance_answer
{
  enum rst_result result;
  int64_t clock_ms;
  int64_t incarnation;
  GArray *runs;
};

/** rst_instance_answer_new() - An empty answer. */
struct rst_instance_answer *rst_instance_answer_new (void);

/** rst_instance_answer_free() - Frees an answer. */
void rst_instance_answer_free (struct rst_instance_answer *answer);

/**
 * struct rst_instance_call - An order to an instance or a look at it.
 * @id: The instance's id.
 * @address: Its address.
 * @fence: The caller's fencing token.
 * @task: The task's name; unused for a look.
 * @attempt: Number of the run.
 * @spec: Text for the task.
 * @checkpoint: Where to go on, or "".
 * @ticket: Advice ticket, or "".
 * @deadline_ms: End of the lease on the instance's clock; 0 to leave it.
 * @last_seen: Ends up to this number are stored and may be forgotten.
 * @wait_ms: How long a look may wait for an end.
 * @has_percent: Whether @percent is meant.
 * @percent: The share of its full pace at which a run may work.
 */
struct rst_instance_call
{
  const char *id;
  const char *address;
  int64_t fence;
  const char *task;
  int attempt;
  const char *spec;
  const char *checkpoint;
  const char *ticket;
  int64_t deadline_ms;
  int64_t last_seen;
  int64_t wait_ms;
  bool has_percent;
  int percent;
};

/**
 * struct rst_ticket - Leave to run a step on one instance.
 * @id: The instance's id.
 * @ticket: What a start must carry.
 */
struct rst_ticket
{
  char id[RST_ID_SIZE];
  char ticket[RST_TOKEN_SIZE];
};

/**
 * struct rst_advice_answer - What the advice service said.
 * @result: How the call ended.
 * @tickets: struct rst_ticket for each instance that may run the step.
 */
struct rst_advice_answer
{
  enum rst_result result;
  GArray *tickets;
};

/** rst_advice_answer_new() - An empty answer. */
struct rst_advice_answer *rst_advice_answer_new (void);

/** rst_advice_answer_free() - Frees an answer. */
void rst_advice_answer_free (struct rst_advice_answer *answer);

typedef void (*rst_store_done) (struct rst_store_answer *answer,
                                void *userdata);
typedef void (*rst_instance_done) (struct rst_instance_answer *answer,
                                   void *userdata);
typedef void (*rst_advice_done) (struct rst_advice_answer *answer,
                                 void *userdata);

/**
 * struct rst_backend - The table of calls.
 * @store_get: Reads one key.
 * @store_range: Reads a page of the keys with a prefix, those behind @after.
 * @store_watch: Waits for changes behind a revision.
 * @store_commit: Changes keys all or none.
 * @hold: Looks at an instance and extends its lease.
 * @start: Starts a run.
 * @stop: Stops a run, present or still to come.
 * @pace: Sets how fast a run may work.
 * @advise: Asks which of @ids may run a step.
 * @userdata: Passed to each.
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
  void *userdata;
};

#endif
