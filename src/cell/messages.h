/**
 * DOC: messages - kinds of messages between the system's own processes
 *
 * Each message is a msgpack array whose first member is its kind; the other
 * members are listed behind it.
 */
#ifndef RST_MESSAGES_H
#define RST_MESSAGES_H

/**
 * enum rst_msg_kind - Kinds of messages.
 * @RST_MSG_HELLO: role, name, zone; first on each link.
 * @RST_MSG_WELCOME: epoch, serving (0 or 1); answers a hello and follows
 *   each change.
 * @RST_MSG_REDIRECT: epoch, address; another process is the planner now.
 * @RST_MSG_HOLD: id, address, fence, last seen; begin to hold an instance.
 * @RST_MSG_RELEASE: id; another agent holds it now.
 * @RST_MSG_START: id, task, attempt, spec, checkpoint, ticket.
 * @RST_MSG_STOP: id, task, attempt.
 * @RST_MSG_ACK: id, number of the last stored end, birth of the life that
 *   numbered it.
 * @RST_MSG_PACE: id, task, attempt, hundredths; how fast a run may work.
 * @RST_MSG_SET_POLL_WAIT: id, milliseconds; how long looks may wait for an
 * end.
 * @RST_MSG_ADVISE: handle, step, ids.
 * @RST_MSG_REPORT: id, result, clock, birth, lease left, fence, runs.
 * @RST_MSG_STARTED: id, task, attempt, result, clock.
 * @RST_MSG_STOPPED: id, task, attempt, result, clock.
 * @RST_MSG_ADVICE: handle, result, rows of id and ticket.
 * @RST_MSG_CALL: number, operation, host, path, key, description.
 * @RST_MSG_REPLY: number, outcome, state, count, seconds to wait.
 * @RST_MSG_HEARTBEAT: milliseconds since the store last confirmed the planner.
 */
enum rst_msg_kind
{
  RST_MSG_HELLO = 1,
  RST_MSG_WELCOME,
  RST_MSG_REDIRECT,
  RST_MSG_HOLD,
  RST_MSG_RELEASE,
  RST_MSG_START,
  RST_MSG_STOP,
  RST_MSG_ACK,
  RST_MSG_ADVISE,
  RST_MSG_REPORT,
  RST_MSG_STARTED,
  RST_MSG_STOPPED,
  RST_MSG_ADVICE,
  RST_MSG_CALL,
  RST_MSG_REPLY,
  RST_MSG_HEARTBEAT,
  RST_MSG_PACE,
  RST_MSG_SET_POLL_WAIT,
};

/**
 * enum rst_role - Who is at the other end of a link.
 * @RST_ROLE_AGENT: Holds instances and asks for advice.
 * @RST_ROLE_ENTRY: Takes callers' requests.
 */
enum rst_role
{
  RST_ROLE_AGENT = 1,
  RST_ROLE_ENTRY,
};

/**
 * enum rst_operation - What a caller wants.
 * @RST_OPERATION_SUBMIT: Hand a job in.
 * @RST_OPERATION_READ: A job's state, or a queue's count.
 * @RST_OPERATION_CANCEL: Cancel a job.
 */
enum rst_operation
{
  RST_OPERATION_SUBMIT = 1,
  RST_OPERATION_READ,
  RST_OPERATION_CANCEL,
};

/**
 * enum rst_outcome - What a caller is told.
 * @RST_OUTCOME_OK: Done.
 * @RST_OUTCOME_STATE: The state of a job.
 * @RST_OUTCOME_COUNT: A queue's waiting jobs.
 * @RST_OUTCOME_NO_QUEUE: No such queue.
 * @RST_OUTCOME_INVALID_KEY: The key is unknown.
 * @RST_OUTCOME_NO_JOB: No such job.
 * @RST_OUTCOME_MALFORMED: The request is malformed.
 * @RST_OUTCOME_REJECTED: Not accepted, and never will run.
 * @RST_OUTCOME_UNKNOWN: It may or may not have been accepted.
 */
enum rst_outcome
{
  RST_OUTCOME_OK,
  RST_OUTCOME_STATE,
  RST_OUTCOME_COUNT,
  RST_OUTCOME_NO_QUEUE,
  RST_OUTCOME_INVALID_KEY,
  RST_OUTCOME_NO_JOB,
  RST_OUTCOME_MALFORMED,
  RST_OUTCOME_REJECTED,
  RST_OUTCOME_UNKNOWN,
};

/**
 * enum rst_job_state - State of a job.
 */
enum rst_job_state
{
  RST_JOB_QUEUED,
  RST_JOB_RUNNING,
  RST_JOB_COMPLETED,
  RST_JOB_FAILED,
  RST_JOB_CANCELLED,
};

#endif
