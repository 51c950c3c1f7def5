/**
 * DOC: platform - the systems outside, behind one table of callbacks
 *
 * The key-value store, the list of instances, runners and workers are reached
 * only through this table.  Another platform is one more file that fills it.
 * Each call ends in exactly one call of its done function, on the thread that
 * made the call, and never before the call has returned.
 */
#ifndef RST_PLATFORM_H
#define RST_PLATFORM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rosemarystile.h"

/**
 * enum rst_platform_result - How a call ended.
 * @RST_PLATFORM_OK: Done.
 * @RST_PLATFORM_CONFLICT: The compare-and-swap found another revision.
 * @RST_PLATFORM_NOT_FOUND: There is no such key or lease.
 * @RST_PLATFORM_REFUSED: The other side refused before it did anything.
 * @RST_PLATFORM_FENCED: The other side has seen a higher epoch.
 * @RST_PLATFORM_NOT_SENT: The call never left this process.
 * @RST_PLATFORM_UNKNOWN: The call may have taken effect.
 */
enum rst_platform_result
{
  RST_PLATFORM_OK = 0,
  RST_PLATFORM_CONFLICT,
  RST_PLATFORM_NOT_FOUND,
  RST_PLATFORM_REFUSED,
  RST_PLATFORM_FENCED,
  RST_PLATFORM_NOT_SENT,
  RST_PLATFORM_UNKNOWN,
};

/** rst_platform_result_name() - Name of a result, for logs. */
const char *rst_platform_result_name (int result);

/** Expected revision that allows any. */
#define RST_ANY_REVISION (-1)

/**
 * struct rst_kv - A key of the store.
 * @key: The key.
 * @value: Its value; "" when deleted.
 * @revision: Store revision of its last change.
 * @deleted: It was deleted at that revision.
 */
struct rst_kv
{
  char *key;
  char *value;
  uint64_t revision;
  bool deleted;
};

/**
 * enum rst_instance_kind - Kinds of instances.
 * @RST_RUNNER: Runs queries in slots.
 * @RST_WORKER: Runs tasks with processors, memory and accelerators.
 */
enum rst_instance_kind
{
  RST_RUNNER,
  RST_WORKER,
};

/**
 * struct rst_instance_info - An instance as the platform lists it.
 * @name: Its name.
 * @zone: Its availability zone.
 * @rack: Its rack.
 * @address: "IP:PORT".
 * @kind: What it runs.
 * @leaving: It takes no new work.
 * @slots: Slots of a runner.
 * @cpu: Processor time of a worker in thousandths of a core.
 * @memory_mb: Memory of a worker.
 * @accelerators: Accelerators of a worker.
 */
struct rst_instance_info
{
  char name[RST_NAME_SIZE];
  char zone[RST_NAME_SIZE];
  char rack[RST_NAME_SIZE];
  char address[RST_ADDRESS_SIZE];
  enum rst_instance_kind kind;
  bool leaving;
  int64_t slots;
  int64_t cpu;
  int64_t memory_mb;
  int64_t accelerators;
};

/**
 * enum rst_task_result - What became of a task.
 * @RST_TASK_RUNNING: It runs.
 * @RST_TASK_RESERVED: Its place is held.
 * @RST_TASK_DONE: It ended well.
 * @RST_TASK_FAILED: It ended with a failure.
 * @RST_TASK_STOPPED: It was stopped on request.
 * @RST_TASK_MOVED: It was checkpointed and stopped, to go on elsewhere.
 * @RST_TASK_LOST: Its instance no longer runs it and knows no result.
 * @RST_TASK_NOT_RUN: It was not started.
 * @RST_TASK_IN_DOUBT: It may have been started.
 */
enum rst_task_result
{
  RST_TASK_RUNNING,
  RST_TASK_RESERVED,
  RST_TASK_DONE,
  RST_TASK_FAILED,
  RST_TASK_STOPPED,
  RST_TASK_MOVED,
  RST_TASK_LOST,
  RST_TASK_NOT_RUN,
  RST_TASK_IN_DOUBT,
};

/** rst_task_result_name() - Name of a result. */
const char *rst_task_result_name (uint64_t result);

/**
 * struct rst_run_info - A query or a task as an instance runs it.
 * @id: Id under which it was started.
 * @team: Its team.
 * @job: Its job, or "" for a query.
 * @owner: Incarnation of the job's owner when it was started.
 * @index: Number of the task in its job.
 * @attempt: Number of the start.
 * @policy: A value of enum rst_policy.
 * @cpu: Declared processor time in thousandths of a core.
 * @memory_mb: Declared memory.
 * @accelerators: Accelerators.
 * @run_ms: Declared run time; 0 for a service.
 * @result: A value of enum rst_task_result.
 */
struct rst_run_info
{
  char id[2 * RST_NAME_SIZE];
  char team[RST_NAME_SIZE];
  char job[RST_NAME_SIZE];
  char owner[RST_NAME_SIZE];
  int64_t index;
  int64_t attempt;
  int64_t policy;
  int64_t cpu;
  int64_t memory_mb;
  int64_t accelerators;
  int64_t run_ms;
  int64_t result;
};

/**
 * struct rst_platform_reply - The end of a call; valid during done.
 * @result: A value of enum rst_platform_result.
 * @status: HTTP status of a runner's or worker's answer, or 0.
 * @revision: Revision of the key or of the store; a new lease's id.
 * @sent_at: Time before the call was sent.
 * @kvs: Keys read or changed.
 * @kv_count: Their number.
 * @instances: Instances listed.
 * @instance_count: Their number.
 * @runs: Work that an instance reports.
 * @run_count: Their number.
 * @body: A runner's answer.
 * @length: Its length in bytes.
 */
struct rst_platform_reply
{
  int result;
  int status;
  uint64_t revision;
  rst_ms sent_at;
  struct rst_kv *kvs;
  int kv_count;
  struct rst_instance_info *instances;
  int instance_count;
  struct rst_run_info *runs;
  int run_count;
  const char *body;
  size_t length;
};

/** typedef rst_platform_done - Receives the end of a call. */
typedef void (*rst_platform_done) (const struct rst_platform_reply *reply,
                                   void *userdata);

/**
 * struct rst_query_request - A query to be run.
 * @id: The request's id.
 * @team: Its team.
 * @epoch: Epoch of the owner.
 * @idempotent: Whether it may run more than once.
 * @deadline_ms: Time left.
 * @not_after: Last moment at which it may be sent.
 * @body: The body.
 * @length: Its length in bytes.
 */
struct rst_query_request
{
  const char *id;
  const char *team;
  uint64_t epoch;
  bool idempotent;
  rst_ms deadline_ms;
  rst_ms not_after;
  const char *body;
  size_t length;
};

/**
 * struct rst_platform - Table of the outside systems.
 * @store_get: Reads a key.
 * @store_list: Reads all keys with a prefix.
 * @store_put: Writes a key if it has the expected revision, 0 for absent;
 *   a lease other than 0 deletes it when it lapses.
 * @store_delete: Deletes a key if it has the expected revision.
 * @store_watch: Waits for changes of keys with a prefix after a revision.
 * @lease_grant: Obtains a lease; its id comes as the reply's revision.
 * @lease_renew: Renews a lease.
 * @lease_revoke: Gives a lease up.
 * @instance_list_fetch: Lists all instances if the list has changed since a
 * revision; otherwise the reply has that revision and no instances.
 * @query_run: Runs a query on a runner.
 * @instance_inspect: Tells an instance the epoch of its owner and lists its
 * work.
 * @task_start: Starts a task on a worker under a lease.
 * @task_renew: Renews a worker's task leases and lists its work; ends that
 *   are named as seen are forgotten by the worker.
 * @task_stop: Stops a task, after a checkpoint if asked.
 *
 * Each takes the table's userdata first.
 */
struct rst_platform
{
  void (*store_get) (void *userdata, const char *key, rst_platform_done done,
                     void *data);
  void (*store_list) (void *userdata, const char *prefix,
                      rst_platform_done done, void *data);
  void (*store_put) (void *userdata, const char *key, const char *value,
                     int64_t expected, uint64_t lease, rst_platform_done done,
                     void *data);
  void (*store_delete) (void *userdata, const char *key, int64_t expected,
                        rst_platform_done done, void *data);
  void (*store_watch) (void *userdata, const char *prefix, uint64_t after,
                       rst_ms wait_ms, rst_platform_done done, void *data);
  void (*lease_grant) (void *userdata, rst_ms ttl_ms, rst_platform_done done,
                       void *data);
  void (*lease_renew) (void *userdata, uint64_t lease, rst_platform_done done,
                       void *data);
  void (*lease_revoke) (void *userdata, uint64_t lease, rst_platform_done done,
                        void *data);
  void (*instance_list_fetch) (void *userdata, uint64_t after,
                               rst_platform_done done, void *data);
  void (*query_run) (void *userdata, const char *address,
                     const struct rst_query_request *query,
                     rst_platform_done done, void *data);
  void (*instance_inspect) (void *userdata, const char *address,
                            uint64_t epoch, rst_platform_done done,
                            void *data);
  void (*task_start) (void *userdata, const char *address, uint64_t epoch,
                      const struct rst_run_info *task, rst_ms lease_ms,
                      rst_ms not_after, rst_platform_done done, void *data);
  void (*task_renew) (void *userdata, const char *address, uint64_t epoch,
                      rst_ms lease_ms, const char *const *ended_ids,
                      rst_platform_done done, void *data);
  void (*task_stop) (void *userdata, const char *address, uint64_t epoch,
                     const char *id, bool checkpoint, rst_platform_done done,
                     void *data);
};

#endif
