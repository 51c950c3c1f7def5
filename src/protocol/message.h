/**
 * DOC: message - messages between entry daemons and schedulers
 *
 * A message is sent as one frame: a msgpack array that holds the protocol
 * version, the message type, the request number and then the fields of that
 * type in the order of its structure.  Decoding checks the type of each field
 * and reports the first field that is invalid.  Incarnations, tenures and
 * ownership epochs are explained in rosemarystile.h.
 */
#ifndef RST_MESSAGE_H
#define RST_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rosemarystile.h"

/** Protocol version; frames of any other version are rejected. */
#define RST_MESSAGE_VERSION 1

/** Largest size of an encoded message. */
#define RST_MESSAGE_MAX_BYTES (2 * 1024 * 1024)

/**
 * enum rst_protocol_error - Errors of the protocol layer.
 * @RST_PROTOCOL_OK: Success.
 * @RST_PROTOCOL_MALFORMED: The frame is not a msgpack array with the elements
 *   that its message type requires, or it is too large.
 * @RST_PROTOCOL_VERSION: The protocol version is not supported.
 * @RST_PROTOCOL_TYPE: The message type is unknown.
 * @RST_PROTOCOL_FIELD: A field has the wrong type.
 * @RST_PROTOCOL_TRANSPORT: The transport layer failed.
 */
enum rst_protocol_error
{
  RST_PROTOCOL_OK = 0,
  RST_PROTOCOL_MALFORMED,
  RST_PROTOCOL_VERSION,
  RST_PROTOCOL_TYPE,
  RST_PROTOCOL_FIELD,
  RST_PROTOCOL_TRANSPORT,
};

/**
 * rst_protocol_strerror() - Describes an error.
 * @error: A value of enum rst_protocol_error.
 *
 * Return: A static string.
 */
const char *rst_protocol_strerror (int error);

/**
 * enum rst_message_type - Message types.
 * @RST_HELLO: Identifies the sender; the first message on each connection.
 * @RST_PROMISE_REQUEST: Asks a scheduler of the same zone to promise not to
 *   end the sender's tenure.
 * @RST_PROMISE: Reply to %RST_PROMISE_REQUEST.
 * @RST_SETTINGS_DIGEST: Summary of the settings that the sender holds.
 * @RST_SETTINGS_BRANCH: One settings branch or one ownership record.
 * @RST_LOAD: Free capacity of a scheduler.
 * @RST_QUERY: A query to run on a runner.
 * @RST_ANSWER: Reply to %RST_QUERY.
 * @RST_JOB_CALL: A caller's operation on jobs.
 * @RST_JOB_REPLY: Reply to %RST_JOB_CALL.
 * @RST_TASK_START: Asks a scheduler to start a task on a worker that it owns.
 * @RST_TASK_STARTED: Reply to %RST_TASK_START; also sent when the start
 *   failed.
 * @RST_TASK_END: Reports the end of a task to the owner of its job.
 * @RST_TASK_END_ACK: Confirms that the end is stored.
 * @RST_TASK_STOP: Asks a scheduler to stop a task.
 * @RST_ADOPTED: Tells the schedulers of the zone which runs the new owner
 *   of an instance found there.
 * @RST_TASK_FIND: Asks a scheduler which tasks of a job its workers run.
 * @RST_TASK_FOUND: Reply to %RST_TASK_FIND: one message a task, then one that
 *   names no task and tells whether the list is complete.
 * @RST_REQUEST_RECORD_QUERY: Asks a scheduler whether it has a record of a
 *   request id.
 * @RST_REQUEST_RECORD: Reply to %RST_REQUEST_RECORD_QUERY.
 * @RST_MESSAGE_TYPES: Number of types, counting the unused value 0.
 */
enum rst_message_type
{
  RST_HELLO = 1,
  RST_PROMISE_REQUEST,
  RST_PROMISE,
  RST_SETTINGS_DIGEST,
  RST_SETTINGS_BRANCH,
  RST_LOAD,
  RST_QUERY,
  RST_ANSWER,
  RST_JOB_CALL,
  RST_JOB_REPLY,
  RST_TASK_START,
  RST_TASK_STARTED,
  RST_TASK_END,
  RST_TASK_END_ACK,
  RST_TASK_STOP,
  RST_ADOPTED,
  RST_TASK_FIND,
  RST_TASK_FOUND,
  RST_REQUEST_RECORD_QUERY,
  RST_REQUEST_RECORD,
  RST_MESSAGE_TYPES,
};

/**
 * enum rst_request_outcome - How a request ended.
 * @RST_REQUEST_ANSWERED: A complete answer was received.
 * @RST_REQUEST_NOT_RUN: The request certainly did not run.
 * @RST_REQUEST_OUTCOME_UNKNOWN: The request may have run.
 */
enum rst_request_outcome
{
  RST_REQUEST_ANSWERED,
  RST_REQUEST_NOT_RUN,
  RST_REQUEST_OUTCOME_UNKNOWN,
};

/**
 * rst_request_outcome_name() - Names an outcome for callers and logs.
 * @outcome: A value of enum rst_request_outcome.
 *
 * Return: "answered", "not-run" or "unknown"; "unknown" for any other value.
 */
const char *rst_request_outcome_name (uint64_t outcome);

/**
 * enum rst_process_role - Role of a process.
 * @RST_ROLE_ENTRY: An entry daemon.
 * @RST_ROLE_SCHEDULER: A scheduler daemon.
 */
enum rst_process_role
{
  RST_ROLE_ENTRY = 1,
  RST_ROLE_SCHEDULER,
};

/**
 * struct rst_blob - A byte string.
 * @data: The bytes, followed by a NUL; owned by the enclosing message.
 * @length: Number of bytes without the NUL.
 */
struct rst_blob
{
  char *data;
  size_t length;
};

/**
 * struct rst_hello - Identity of the sender.
 * @role: A value of enum rst_process_role.
 * @name: Name of the process, the same after a restart.
 * @zone: Availability zone of the process.
 * @incarnation: Incarnation of the process.
 * @address: "IP:PORT" at which the process accepts message connections.
 * @status_address: "IP:PORT" of its HTTP status pages.
 */
struct rst_hello
{
  uint64_t role;
  char *name;
  char *zone;
  char *incarnation;
  char *address;
  char *status_address;
};

/**
 * struct rst_promise - A promise not to end a tenure, or a request for one.
 * @incarnation: Incarnation of the sender.
 * @number: Number of the request, repeated in the reply.
 * @duration_ms: How long the promise holds, from the time at which it was
 *   requested; 0 if it is refused.
 */
struct rst_promise
{
  char *incarnation;
  uint64_t number;
  uint64_t duration_ms;
};

/**
 * struct rst_settings_digest - Summary of the settings branches held.
 * @hash: Hash over the keys and revisions of all branches.
 * @newest: Highest revision of a branch.
 */
struct rst_settings_digest
{
  uint64_t hash;
  uint64_t newest;
};

/**
 * struct rst_settings_branch - A revision of a settings branch or an ownership
 * record.
 * @key: Store key.
 * @revision: Store revision.
 * @value: JSON text; empty when the key was deleted.
 */
struct rst_settings_branch
{
  char *key;
  uint64_t revision;
  struct rst_blob value;
};

/**
 * struct rst_load - Free capacity of a scheduler.
 * @incarnation: Incarnation of the scheduler.
 * @zone: Availability zone of the scheduler.
 * @slots_free: Free slots on its usable runners.
 * @slots_total: All slots on its usable runners.
 * @queued: Number of queued queries.
 * @cpu_free: Free CPU on its usable workers, in thousandths of a core.
 * @memory_free_mb: Free memory on its usable workers, in megabytes.
 * @accelerators_free: Free accelerators on its usable workers.
 * @largest_cpu_free: Largest free CPU on a single worker, in thousandths of a
 *   core.
 * @ready: Whether the scheduler accepts queries and tasks.
 */
struct rst_load
{
  char *incarnation;
  char *zone;
  uint64_t slots_free;
  uint64_t slots_total;
  uint64_t queued;
  uint64_t cpu_free;
  uint64_t memory_free_mb;
  uint64_t accelerators_free;
  uint64_t largest_cpu_free;
  bool ready;
};

/**
 * struct rst_query - A query.
 * @team: The team that the caller's key belongs to.
 * @request_id: The caller's request id, or one generated by the entry daemon.
 * @keyed: Whether the caller supplied the request id.
 * @idempotent: Whether the query may run more than once.
 * @urgent: Whether the query is urgent.
 * @deadline_ms: Time left until the deadline.
 * @hops: Number of schedulers that have forwarded the query.
 * @body: Body of the caller's request.
 */
struct rst_query
{
  char *team;
  char *request_id;
  bool keyed;
  bool idempotent;
  bool urgent;
  uint64_t deadline_ms;
  uint64_t hops;
  struct rst_blob body;
};

/**
 * struct rst_answer - How a query ended.
 * @outcome: A value of enum rst_request_outcome.
 * @status: HTTP status for the caller.
 * @reason: Short name of the reason when the query was not answered.
 * @detail: Text that explains @reason.
 * @instance: Name of the instance that ran the query, or "".
 * @epoch: Ownership epoch under which the query was sent to the instance.
 * @body: The runner's answer.
 */
struct rst_answer
{
  uint64_t outcome;
  uint64_t status;
  char *reason;
  char *detail;
  char *instance;
  uint64_t epoch;
  struct rst_blob body;
};

/**
 * enum rst_job_operation - Operations on jobs.
 * @RST_JOB_SUBMIT: Submits a job.
 * @RST_JOB_GET: Returns the state of a job.
 * @RST_JOB_CANCEL: Cancels a job.
 * @RST_JOB_LIST: Lists a team's jobs.
 */
enum rst_job_operation
{
  RST_JOB_SUBMIT = 1,
  RST_JOB_GET,
  RST_JOB_CANCEL,
  RST_JOB_LIST,
};

/**
 * struct rst_job_call - A caller's operation on jobs.
 * @operation: A value of enum rst_job_operation.
 * @team: The caller's team.
 * @job: Id of the job, or "".
 * @state: For %RST_JOB_LIST, the state of the jobs to list; "" for all.
 * @hops: Number of schedulers that have forwarded the call.
 * @body: Body of the caller's request.
 */
struct rst_job_call
{
  uint64_t operation;
  char *team;
  char *job;
  char *state;
  uint64_t hops;
  struct rst_blob body;
};

/**
 * struct rst_job_reply - Result of an operation on jobs.
 * @status: HTTP status for the caller.
 * @body: JSON text for the caller.
 */
struct rst_job_reply
{
  uint64_t status;
  struct rst_blob body;
};

/**
 * struct rst_task_start - Request to start a task.
 * @team: Team that the job belongs to.
 * @job: Name of the job, "TEAM/ID".
 * @owner: Incarnation of the scheduler that owns the job; the end of the task
 *   is reported to it.
 * @index: Index of the task in its job.
 * @attempt: Number of the attempt to run the task.
 * @policy: A value of enum rst_policy.
 * @cpu: CPU that the task requires, in thousandths of a core.
 * @memory_mb: Memory that the task requires, in megabytes.
 * @accelerators: Number of accelerators that the task requires.
 * @run_ms: Declared run time; 0 for a service.
 * @deadline_ms: Time left to start the task.
 * @hold_only: Only reserves a worker's resources; a later request starts the
 *   task.
 * @run_once: The task must not be started again when it may have run.
 */
struct rst_task_start
{
  char *team;
  char *job;
  char *owner;
  uint64_t index;
  uint64_t attempt;
  uint64_t policy;
  uint64_t cpu;
  uint64_t memory_mb;
  uint64_t accelerators;
  uint64_t run_ms;
  uint64_t deadline_ms;
  bool hold_only;
  bool run_once;
};

/**
 * struct rst_task_event - State of a task, or a request about a task.
 * @job: Name of the job, "TEAM/ID".
 * @index: Index of the task in its job; %UINT64_MAX in the last
 *   %RST_TASK_FOUND of a reply.
 * @attempt: Number of the attempt to run the task.  In %RST_TASK_FIND it is
 *   the generation of the job record, which grows with each new owner of the
 *   job; in the last %RST_TASK_FOUND it is the revision of the ownership
 *   record.
 * @result: A value of enum rst_task_result.  In %RST_TASK_STOP it is
 *   %RST_TASK_MOVED to checkpoint the task first, and otherwise
 *   %RST_TASK_STOPPED.
 * @instance: Name of the instance, or "".
 * @reason: Short name of the reason, or "".
 */
struct rst_task_event
{
  char *job;
  uint64_t index;
  uint64_t attempt;
  uint64_t result;
  char *instance;
  char *reason;
};

/**
 * struct rst_adopted_runs - Runs that the new owner of an instance found
 * there.
 * @instance: Name of the instance.
 * @team: Team that the runs belong to, or "" in the message that follows the
 *   last team.
 * @count: Number of the team's runs on the instance.
 */
struct rst_adopted_runs
{
  char *instance;
  char *team;
  uint64_t count;
};

/**
 * enum rst_request_record_state - State of the request with a request id.
 * @RST_REQUEST_RECORD_NONE: The scheduler has no record of the id.
 * @RST_REQUEST_RECORD_RUNNING: The request is queued or running.
 * @RST_REQUEST_RECORD_ENDED: The request has ended.
 */
enum rst_request_record_state
{
  RST_REQUEST_RECORD_NONE,
  RST_REQUEST_RECORD_RUNNING,
  RST_REQUEST_RECORD_ENDED,
};

/**
 * struct rst_request_record - A scheduler's record of a request id.
 * @key: Team and request id.
 * @state: A value of enum rst_request_record_state.
 * @outcome: A value of enum rst_request_outcome.
 * @status: HTTP status for the caller.
 * @reason: Short name of the reason when the query was not answered.
 * @detail: Text that explains @reason.
 * @instance: Name of the instance that ran the query.
 * @epoch: Ownership epoch under which the query was sent to the instance.
 * @body: The runner's answer.
 *
 * The members from @outcome on have the meaning of those of struct rst_answer
 * and are set only in %RST_REQUEST_RECORD_ENDED.
 */
struct rst_request_record
{
  char *key;
  uint64_t state;
  uint64_t outcome;
  uint64_t status;
  char *reason;
  char *detail;
  char *instance;
  uint64_t epoch;
  struct rst_blob body;
};

/**
 * struct rst_message - A message of any type.
 * @type: A value of enum rst_message_type.
 * @id: Number of the request, repeated in its reply; 0 for none.
 */
struct rst_message
{
  uint64_t type;
  uint64_t id;
  union
  {
    struct rst_hello hello;
    struct rst_promise promise;
    struct rst_settings_digest digest;
    struct rst_settings_branch branch;
    struct rst_load load;
    struct rst_query query;
    struct rst_answer answer;
    struct rst_job_call job_call;
    struct rst_job_reply job_reply;
    struct rst_task_start task_start;
    struct rst_task_event task_event;
    struct rst_adopted_runs adopted;
    struct rst_request_record record;
  };
};

/**
 * rst_message_encode() - Encodes a message as a frame.
 * @message: The message; NULL strings are encoded as "".
 * @out: Receives the frame, to be freed with rst_blob_free().
 *
 * Return: %RST_PROTOCOL_OK, or %RST_PROTOCOL_TYPE when the message type is
 * unknown.
 */
int rst_message_encode (const struct rst_message *message,
                        struct rst_blob *out);

/**
 * rst_message_decode() - Decodes a frame.
 * @data: The frame.
 * @length: Length of the frame in bytes.
 * @out: Receives the message, to be cleared with rst_message_clear(); it is
 *   empty after an error.
 * @field: Receives the name of the invalid field, a static string, after
 *   %RST_PROTOCOL_FIELD, and NULL otherwise.
 *
 * Return: A value of enum rst_protocol_error.
 */
int rst_message_decode (const void *data, size_t length,
                        struct rst_message *out, const char **field);

/**
 * rst_message_copy() - Copies a message with its strings and blobs.
 * @message: The message.
 * @out: Receives the copy, to be cleared with rst_message_clear().
 */
void rst_message_copy (const struct rst_message *message,
                       struct rst_message *out);

/**
 * rst_message_clear() - Frees the strings and blobs of a message.
 * @message: The message; it is empty afterwards.
 */
void rst_message_clear (struct rst_message *message);

/**
 * rst_message_type_name() - Names a message type for logs.
 * @type: A value of enum rst_message_type.
 *
 * Return: A static string; "unknown" for any other value.
 */
const char *rst_message_type_name (uint64_t type);

/**
 * rst_blob_set() - Sets a blob to a copy of some bytes.
 * @blob: The blob; its present bytes are not freed.
 * @data: The bytes.
 * @length: Number of bytes.
 */
void rst_blob_set (struct rst_blob *blob, const void *data, size_t length);

/** rst_blob_free() - Frees the bytes of a blob and empties it. */
void rst_blob_free (struct rst_blob *blob);

#endif
