/**
 * DOC: platform - interface to the store, the instance list and the instances
 *
 * A scheduler reaches the key-value store, the list of instances, the runners
 * and the workers only through struct rst_platform, so another platform needs
 * only another implementation of this table.  Each call invokes its done
 * callback exactly once, on the thread that made the call, and never before
 * the call has returned.
 */
#ifndef RST_PLATFORM_H
#define RST_PLATFORM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rosemarystile.h"

/**
 * enum rst_platform_result - Result of a call.
 * @RST_PLATFORM_OK: The call succeeded.
 * @RST_PLATFORM_CONFLICT: The key does not have the expected revision.
 * @RST_PLATFORM_NOT_FOUND: The key, lease or run does not exist.
 * @RST_PLATFORM_REJECTED: The instance rejected the call without effect.
 * @RST_PLATFORM_FENCED: The instance has seen a higher epoch and rejected the
 *   call without effect.
 * @RST_PLATFORM_NOT_SENT: The call was not sent.
 * @RST_PLATFORM_UNKNOWN: No usable reply was received; the call may have taken
 *   effect.
 */
enum rst_platform_result
{
  RST_PLATFORM_OK = 0,
  RST_PLATFORM_CONFLICT,
  RST_PLATFORM_NOT_FOUND,
  RST_PLATFORM_REJECTED,
  RST_PLATFORM_FENCED,
  RST_PLATFORM_NOT_SENT,
  RST_PLATFORM_UNKNOWN,
};

/**
 * rst_platform_result_name() - Names a result for logs.
 * @result: A value of enum rst_platform_result.
 *
 * Return: A static string; "unknown" for any other value.
 */
const char *rst_platform_result_name (int result);

/** Expected revision that makes a write unconditional. */
#define RST_ANY_REVISION (-1)

/**
 * struct rst_kv - A key of the store and its value.
 * @key: The key.
 * @value: The value; "" when the key was deleted.
 * @revision: Store revision of the last change of the key.
 * @deleted: The key was deleted at that revision.
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
 * @RST_RUNNER: Runs queries; its capacity is a number of slots.
 * @RST_WORKER: Runs tasks; its capacity is CPU, memory and accelerators.
 */
enum rst_instance_kind
{
  RST_RUNNER,
  RST_WORKER,
};

/**
 * struct rst_instance_info - An entry of the platform's list of instances.
 * @name: Name of the instance.
 * @zone: Availability zone of the instance.
 * @rack: Rack of the instance.
 * @address: "IP:PORT" at which the instance accepts calls.
 * @kind: Whether it is a runner or a worker.
 * @leaving: The instance is being drained; nothing is started there.
 * @slots: Number of slots of a runner.
 * @cpu: CPU of a worker, in thousandths of a core.
 * @memory_mb: Memory of a worker, in megabytes.
 * @accelerators: Number of accelerators of a worker.
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
 * enum rst_task_result - State or result of an attempt to run a task.
 * @RST_TASK_RUNNING: The task is running.
 * @RST_TASK_RESERVED: Resources are reserved; the task is not started yet.
 * @RST_TASK_DONE: The task succeeded.
 * @RST_TASK_FAILED: The task failed.
 * @RST_TASK_STOPPED: The task was stopped on request.
 * @RST_TASK_MOVED: The task was checkpointed and stopped, so that it can
 *   continue on another worker.
 * @RST_TASK_LOST: The worker no longer runs the task and has no result of it.
 * @RST_TASK_NOT_RUN: The task was not started.
 * @RST_TASK_IN_DOUBT: It is not known whether the task was started.
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

/**
 * rst_task_result_name() - Names a task result as on the wire.
 * @result: A value of enum rst_task_result.
 *
 * Return: A static string; "unknown" for %RST_TASK_IN_DOUBT and any other
 * value.
 */
const char *rst_task_result_name (uint64_t result);

/**
 * struct rst_run_info - A run of a query or a task on an instance.
 * @id: Id of the run, unique among all instances.
 * @team: Team that the query or job belongs to.
 * @job: Name of the job, "TEAM/ID", or "" for a query.
 * @owner: Incarnation of the scheduler that owned the job when the run was
 *   started.
 * @index: Index of the task in its job.
 * @attempt: Number of the attempt to run the task.
 * @policy: A value of enum rst_policy.
 * @cpu: CPU that the task requires, in thousandths of a core.
 * @memory_mb: Memory that the task requires, in megabytes.
 * @accelerators: Number of accelerators that the task requires.
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
 * struct rst_platform_reply - Reply to a call; valid during the done callback.
 * @result: A value of enum rst_platform_result.
 * @status: HTTP status of the reply; 0 when there was none.
 * @revision: Revision of the key, the store or the instance list; for
 *   lease_grant, the id of the new lease.
 * @sent_at: Time just before the call was sent.
 * @kvs: Keys read or changed.
 * @kv_count: Number of keys.
 * @instances: Instances listed.
 * @instance_count: Number of instances.
 * @runs: Runs that the instance reports.
 * @run_count: Number of runs.
 * @body: A runner's answer.
 * @length: Length of the answer in bytes.
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

/**
 * typedef rst_platform_done - Receives the reply to a call.
 * @reply: The reply, valid until the callback returns.
 * @userdata: The data passed with the call.
 */
typedef void (*rst_platform_done) (const struct rst_platform_reply *reply,
                                   void *userdata);

/**
 * struct rst_query_request - Request to run a query on a runner.
 * @id: Id of the run, "TEAM/REQUEST-ID".
 * @team: Team that the query belongs to.
 * @epoch: Ownership epoch of the runner under which the request is sent.
 * @idempotent: Whether the query may run more than once.
 * @deadline_ms: Time left until the deadline.
 * @not_after: Last time at which the request may be sent.
 * @body: Body of the query.
 * @length: Length of the body in bytes.
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
 * struct rst_platform - Calls to the store, the instance list and instances.
 * @store_get: Reads a key.
 * @store_list: Reads all keys with a prefix.
 * @store_put: Writes a key if it has the revision @expected; 0 means that the
 *   key must not exist.  When @lease is not 0, the store deletes the key when
 *   that lease expires.
 * @store_delete: Deletes a key if it has the revision @expected.
 * @store_watch: Long poll: returns the changes of keys with a prefix after a
 *   revision, waiting up to @wait_ms for the first.  %RST_PLATFORM_NOT_FOUND
 *   means that the store no longer has all changes since that revision.
 * @lease_grant: Creates a lease; the reply's revision is its id.
 * @lease_renew: Renews a lease.
 * @lease_revoke: Ends a lease.
 * @instance_list_fetch: Lists all instances if the list has changed since
 *   revision @after; otherwise the reply has that revision and no instances.
 * @query_run: Runs a query on a runner.
 * @instance_inspect: Tells an instance its owner's epoch, which fences calls
 *   with a lower one, and lists the runs on it.
 * @task_start: Starts a task on a worker; the worker stops it when its lease
 *   of @lease_ms expires.  The request is not sent after @not_after.
 * @task_renew: Renews the leases of all tasks on a worker and lists its runs.
 *   The worker forgets the ended tasks in @ended_ids, a NULL-terminated array.
 * @task_stop: Stops a task, after a checkpoint if @checkpoint is set; the
 *   reply holds the run.
 *
 * Each function takes the platform's own data as its first argument.
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
