/**
 * DOC: message - typed messages between the system's own processes
 *
 * A message travels as one frame: a msgpack array of version, type, request
 * number and the fields of that type in order.  Decoding checks each field
 * and names the first that is wrong.
 */
#ifndef RST_MESSAGE_H
#define RST_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rosemarystile.h"

/** Version of the protocol; a frame of another version is refused. */
#define RST_MESSAGE_VERSION 1

/** Bound on an encoded message in bytes. */
#define RST_MESSAGE_MAX_BYTES (2 * 1024 * 1024)

/**
 * enum rst_protocol_error - Errors of the protocol layer.
 * @RST_PROTOCOL_OK: Success.
 * @RST_PROTOCOL_MALFORMED: Not a msgpack array of the right form.
 * @RST_PROTOCOL_VERSION: Another version of the protocol.
 * @RST_PROTOCOL_TYPE: Unknown type of message.
 * @RST_PROTOCOL_FIELD: A field has the wrong type or size.
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

/** rst_protocol_strerror() - Describes an error of this layer. */
const char *rst_protocol_strerror (int error);

/**
 * enum rst_message_type - Types of messages.
 * @RST_HELLO: First on each connection: who speaks.
 * @RST_PROMISE_REQUEST: Asks a member of the zone not to take over.
 * @RST_PROMISE: The answer to it.
 * @RST_SETTINGS_DIGEST: What settings the sender has in force.
 * @RST_SETTINGS_BRANCH: One branch of the settings or one ownership record.
 * @RST_LOAD: Free capacity of a scheduler.
 * @RST_QUERY: One query to be run on a runner.
 * @RST_ANSWER: How a query ended.
 * @RST_JOB_CALL: A caller's call about jobs.
 * @RST_JOB_REPLY: The answer to it.
 * @RST_TASK_START: Asks the owner of workers to start a task.
 * @RST_TASK_STARTED: Whether it was started.
 * @RST_TASK_END: A task has ended.
 * @RST_TASK_END_ACK: Confirms that the end was recorded.
 * @RST_TASK_STOP: Asks to stop a task.
 * @RST_ADOPTED: What a new owner found running on a yielded instance.
 * @RST_TASK_FIND: Asks whether a task is known.
 * @RST_TASK_FOUND: The answer to it.
 * @RST_REQUEST_RECORD_QUERY: Asks whether a request id is known.
 * @RST_REQUEST_RECORD: The answer to it.
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
 * @RST_REQUEST_ANSWERED: A whole answer came.
 * @RST_REQUEST_NOT_RUN: It provably did not run.
 * @RST_REQUEST_OUTCOME_UNKNOWN: It may have run.
 */
enum rst_request_outcome
{
  RST_REQUEST_ANSWERED,
  RST_REQUEST_NOT_RUN,
  RST_REQUEST_OUTCOME_UNKNOWN,
};

/** rst_request_outcome_name() - "answered", "not-run" or "unknown". */
const char *rst_request_outcome_name (uint64_t outcome);

/**
 * enum rst_process_role - Kinds of processes.
 * @RST_ROLE_ENTRY: An entry daemon.
 * @RST_ROLE_SCHEDULER: A scheduler daemon.
 */
enum rst_process_role
{
  RST_ROLE_ENTRY = 1,
  RST_ROLE_SCHEDULER,
};

/**
 * struct rst_blob - Bytes with a length.
 * @data: The bytes, with a NUL behind them; owned by the message.
 * @length: Their number.
 */
struct rst_blob
{
  char *data;
  size_t length;
};

/**
 * struct rst_hello - Who speaks on a connection.
 * @role: A value of enum rst_process_role.
 * @name: Name of the process.
 * @zone: Its availability zone.
 * @incarnation: Its incarnation.
 * @address: Address where others reach it.
 * @status_address: Address of its HTTP status pages.
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
 * struct rst_promise - A promise not to take over, or a request for one.
 * @incarnation: Whom it protects.
 * @number: Number of the request; the answer repeats it.
 * @duration_ms: How long it holds; 0 when refused.
 */
struct rst_promise
{
  char *incarnation;
  uint64_t number;
  uint64_t duration_ms;
};

/**
 * struct rst_settings_digest - What branches a process holds.
 * @hash: Hash over all keys with their revisions.
 * @newest: Highest revision held.
 */
struct rst_settings_digest
{
  uint64_t hash;
  uint64_t newest;
};

/**
 * struct rst_settings_branch - One branch with its revision.
 * @key: Store key.
 * @revision: Store revision.
 * @value: JSON text; empty when deleted.
 */
struct rst_settings_branch
{
  char *key;
  uint64_t revision;
  struct rst_blob value;
};

/**
 * struct rst_load - Free capacity of a scheduler.
 * @incarnation: Which scheduler.
 * @zone: Its availability zone.
 * @slots_free: Free slots on its runners.
 * @slots_total: All slots on its runners.
 * @queued: Queries waiting.
 * @cpu_free: Free processor time on its workers in thousandths of a core.
 * @memory_free_mb: Free memory on its workers.
 * @accelerators_free: Free accelerators on its workers.
 * @largest_cpu_free: Largest free processor time on one worker.
 * @ready: Whether it takes work.
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
 * struct rst_query - One query.
 * @team: The team whose key came with it.
 * @request_id: The caller's request id, or one made by the entry.
 * @keyed: Whether the id came from the caller.
 * @idempotent: Whether it may run more than once.
 * @urgent: Whether it is urgent.
 * @deadline_ms: Time left.
 * @hops: How many schedulers have passed it on.
 * @body: The caller's body.
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
 * @reason: A word naming the reason of a refusal.
 * @detail: A sentence about it.
 * @instance: Instance that ran it, or "".
 * @epoch: Epoch under which it was sent.
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
 * enum rst_job_operation - Calls about jobs.
 * @RST_JOB_SUBMIT: Accept a job.
 * @RST_JOB_GET: Show a job.
 * @RST_JOB_CANCEL: Cancel a job.
 * @RST_JOB_LIST: List a team's jobs.
 */
enum rst_job_operation
{
  RST_JOB_SUBMIT = 1,
  RST_JOB_GET,
  RST_JOB_CANCEL,
  RST_JOB_LIST,
};

/**
 * struct rst_job_call - A caller's call about jobs.
 * @operation: A value of enum rst_job_operation.
 * @team: The caller's team.
 * @job: Id of the job, or "".
 * @state: State to list, or "".
 * @hops: How many schedulers have passed it on.
 * @body: The caller's body.
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
 * struct rst_job_reply - The answer to a call about jobs.
 * @status: HTTP status.
 * @body: JSON for the caller.
 */
struct rst_job_reply
{
  uint64_t status;
  struct rst_blob body;
};

/**
 * struct rst_task_start - A task to be started.
 * @team: The team.
 * @job: Id of the job.
 * @owner: Incarnation of the job's owner, told of the task's end.
 * @index: Number of the task in the job.
 * @attempt: Number of this start of the task.
 * @policy: A value of enum rst_policy.
 * @cpu: Processor time in thousandths of a core.
 * @memory_mb: Memory.
 * @accelerators: Number of accelerators.
 * @run_ms: Declared run time; 0 for a service.
 * @deadline_ms: Time left for the start.
 * @hold_only: Only hold the place; a later message starts the task.
 * @run_once: A start whose outcome is unknown must not be sent again.
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
 * struct rst_task_event - What became of a task.
 * @job: Id of the job.
 * @index: Number of the task.
 * @attempt: Number of the start.
 * @result: A value of enum rst_task_result.
 * @instance: The instance, or "".
 * @reason: A word naming the reason, or "".
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
 * struct rst_adopted_runs - What a new owner found on a yielded instance.
 * @instance: The instance.
 * @team: A team with work running there.
 * @count: How many it has running there.
 */
struct rst_adopted_runs
{
  char *instance;
  char *team;
  uint64_t count;
};

/**
 * enum rst_request_record_state - What is known of a request id.
 * @RST_REQUEST_RECORD_NONE: Nothing.
 * @RST_REQUEST_RECORD_RUNNING: It runs.
 * @RST_REQUEST_RECORD_ENDED: It has ended.
 */
enum rst_request_record_state
{
  RST_REQUEST_RECORD_NONE,
  RST_REQUEST_RECORD_RUNNING,
  RST_REQUEST_RECORD_ENDED,
};

/**
 * struct rst_request_record - What is known of a request id.
 * @key: Team and request id.
 * @state: A value of enum rst_request_record_state.
 * @outcome: How it ended; this and the rest as in struct rst_answer.
 * @status: HTTP status.
 * @reason: A word naming the reason of a refusal.
 * @detail: A sentence about it.
 * @instance: Instance that ran it.
 * @epoch: Epoch under which it was sent.
 * @body: The runner's answer.
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
 * @id: Number that matches an answer with its request; 0 for none.
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
 * rst_message_encode() - Writes a message.
 * @message: The message; NULL strings are written as "".
 * @out: Receives the bytes, to be freed with rst_blob_free().
 *
 * Return: RST_PROTOCOL_OK or RST_PROTOCOL_TYPE.
 */
int rst_message_encode (const struct rst_message *message,
                        struct rst_blob *out);

/**
 * rst_message_decode() - Reads a message.
 * @data: The bytes.
 * @length: Their number.
 * @out: Receives the message, to be cleared with rst_message_clear().
 * @field: Receives the name of a wrong field, a static string, or NULL.
 *
 * Return: A value of enum rst_protocol_error.
 */
int rst_message_decode (const void *data, size_t length,
                        struct rst_message *out, const char **field);

/**
 * rst_message_copy() - Copies a message with all its strings.
 * @message: The message.
 * @out: Receives the copy, to be cleared with rst_message_clear().
 */
void rst_message_copy (const struct rst_message *message,
                       struct rst_message *out);

/** rst_message_clear() - Frees what a message owns. */
void rst_message_clear (struct rst_message *message);

/** rst_message_type_name() - Name of a type, for logs. */
const char *rst_message_type_name (uint64_t type);

/** rst_blob_set() - Fills a blob with a copy of some bytes. */
void rst_blob_set (struct rst_blob *blob, const void *data, size_t length);

/** rst_blob_free() - Frees a blob's bytes. */
void rst_blob_free (struct rst_blob *blob);

#endif
