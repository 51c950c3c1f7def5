/**
 * DOC: messages - messages between the processes of a cell
 *
 * Each message is a msgpack array.  Its first member is its kind; the
 * documentation of a kind lists the members that follow.
 */
#ifndef RST_MESSAGES_H
#define RST_MESSAGES_H

/** How long a start order may stay unanswered before the planner stops the
   run, in milliseconds.  An agent does not carry out an older order. */
#define RST_START_TIMEOUT_MS 1500

/**
 * enum rst_msg_kind - Kinds of messages.
 * @RST_MSG_HELLO: To the planner: role, name, zone, sender's clock.  The first
 *   message on a link; also counts as a ping.
 * @RST_MSG_WELCOME: From the planner: epoch, serving (0 or 1), sender's clock.
 *   Sent in reply to a hello and whenever the planner begins to serve.
 * @RST_MSG_REDIRECT: Epoch, address.  Another process is the planner now.
 * @RST_MSG_HOLD: To an agent: instance, address, fencing token, number of the
 *   last stored end, incarnation that numbered it.  The agent is to hold the
 *   instance.
 * @RST_MSG_RELEASE: To an agent: instance.  The agent no longer holds it.
 * @RST_MSG_START: To an agent: step, spec of its job, rows of instance, index
 *   of the task, attempt, checkpoint, ticket.
 * @RST_MSG_STOP: To an agent: instance, task, attempt.
 * @RST_MSG_ACK: To an agent: instance, number of the last stored end,
 *   incarnation that numbered it.
 * @RST_MSG_ADVISE: To an agent: handle, step, instances.  Requests advice.
 * @RST_MSG_REPORT: To the planner: instance, result, clock, incarnation,
 *   milliseconds until the lease expires, fencing token, whether there may be
 *   ends that are not listed (0 or 1), runs.
 * @RST_MSG_STARTED: To the planner: instance, task, attempt, result, clock.
 * @RST_MSG_STOPPED: To the planner: instance, task, attempt, result, clock.
 * @RST_MSG_ADVICE: To the planner: handle, result, rows of instance and
 *   ticket.
 * @RST_MSG_CALL: To the planner: number, operation, host, path, key.  A
 *   caller's request.  With the submission of a job also: its description, the
 *   time of the planner's clock at which it was sent at the earliest, 0 if
 *   unknown.
 * @RST_MSG_REPLY: From the planner: number of the call, outcome, state, count,
 *   seconds after which to retry.
 * @RST_MSG_HEARTBEAT: From the planner: milliseconds since the store last
 *   answered a commit of it; clock in the receiver's last ping, 0 for none;
 *   milliseconds since that ping arrived; milliseconds since the last commit
 *   that the store confirmed was sent; sender's clock.
 * @RST_MSG_PACE: To an agent: instance, task, attempt, percent of full speed.
 * @RST_MSG_SET_POLL_WAIT: To an agent: instance, milliseconds that its polls
 *   may wait for a run to end.
 * @RST_MSG_PING: To the planner: sender's clock, which the next heartbeat
 *   repeats; clock in the last heartbeat.
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
  RST_MSG_PING,
};

/**
 * enum rst_role - Role of the process that opened a link.
 * @RST_ROLE_AGENT: Agent: holds instances and requests advice.
 * @RST_ROLE_ENTRY: Entry: accepts callers' requests.
 */
enum rst_role
{
  RST_ROLE_AGENT = 1,
  RST_ROLE_ENTRY,
};

/**
 * enum rst_operation - Operations of callers.
 * @RST_OPERATION_SUBMIT: Submit a job.
 * @RST_OPERATION_READ: Read the state of a job, or the number of jobs that
 *   wait in a queue.
 * @RST_OPERATION_CANCEL: Cancel a job.
 */
enum rst_operation
{
  RST_OPERATION_SUBMIT = 1,
  RST_OPERATION_READ,
  RST_OPERATION_CANCEL,
};

/**
 * enum rst_outcome - Outcome of a caller's operation.
 * @RST_OUTCOME_OK: The operation succeeded.
 * @RST_OUTCOME_STATE: The reply holds the state of the job.
 * @RST_OUTCOME_COUNT: The reply holds the number of waiting jobs of the queue.
 * @RST_OUTCOME_NO_QUEUE: The queue does not exist.
 * @RST_OUTCOME_INVALID_KEY: The API key is unknown.
 * @RST_OUTCOME_NO_JOB: The job does not exist.
 * @RST_OUTCOME_MALFORMED: The request is malformed.
 * @RST_OUTCOME_REJECTED: Nothing was done; a job that was submitted was not
 * accepted and will never run.
 * @RST_OUTCOME_UNKNOWN: The job may or may not have been accepted.
 * @RST_OUTCOME_OVERLOADED: As RST_OUTCOME_REJECTED, because the job would end
 *   too late.  Entry instances of earlier versions take it for
 *   RST_OUTCOME_UNKNOWN.
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
  RST_OUTCOME_OVERLOADED,
};

/**
 * enum rst_job_state - State of a job.
 * @RST_JOB_QUEUED: No task of it has started.
 * @RST_JOB_RUNNING: A task of it has started.
 * @RST_JOB_COMPLETED: All its steps are done.
 * @RST_JOB_FAILED: A task of it failed too often.
 * @RST_JOB_CANCELLED: A caller cancelled it.
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
