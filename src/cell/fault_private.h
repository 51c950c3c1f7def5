/**
 * DOC: fault_private - deliberate faults of the cell for the test build
 *
 * They show that the oracle of the cell's fuzzer detects a violation of each
 * property.  In the test build rst_cell_fault selects a fault; in any other
 * build RST_CELL_FAULT() is false.
 */
#ifndef RST_CELL_FAULT_PRIVATE_H
#define RST_CELL_FAULT_PRIVATE_H

/**
 * enum rst_cell_fault_kind - Faults, numbered as cell-fuzz takes them.
 * @RST_CELL_FAULT_NONE: No fault.
 * @RST_CELL_FAULT_EARLY_RESTART: A task whose start got no answer is started
 *   elsewhere at once.
 * @RST_CELL_FAULT_EARLY_ACK: The end of a run is acknowledged before it is
 *   stored.
 * @RST_CELL_FAULT_IGNORE_CAPACITY: Resources in use on an instance are not
 *   counted.
 * @RST_CELL_FAULT_IGNORE_STEP_ORDER: A step does not wait for the steps
 *   before it.
 * @RST_CELL_FAULT_IGNORE_FAILURES: Failed runs of a task do not fail its job.
 * @RST_CELL_FAULT_IGNORE_CANCEL: Tasks of a cancelled job are still started.
 * @RST_CELL_FAULT_EARLY_ACCEPT: A job is accepted before it is stored.
 * @RST_CELL_FAULT_EARLY_COMPLETION: A job completes with its first step.
 * @RST_CELL_FAULT_NO_TAKEOVER_WAIT: A new planner does not wait for the
 *   instances of its predecessor.
 * @RST_CELL_FAULT_IGNORE_LIMIT: Upper limits of customers are ignored.
 * @RST_CELL_FAULT_SHARED_TOKEN: All incarnations of an instance have the same
 *   fencing token.
 * @RST_CELL_FAULT_IGNORE_LOST_AGENT: The end of the lease of an instance that
 *   does not answer stays when its agent is lost.
 * @RST_CELL_FAULT_EARLY_UNREACHABLE: An instance that was inherited and has
 * not answered yet is recorded as unreachable without runs.
 * @RST_CELL_FAULT_REUSE_ATTEMPTS: A successor may use the attempt numbers that
 *   earlier planners used after the last record of a job.
 * @RST_CELL_FAULT_IGNORE_CRASHES: No task is given up because instances crash
 *   under it.
 * @RST_CELL_FAULT_KEEP_CAPACITY: An instance whose capacity has shrunk is
 *   still taken to have the former one.
 * @RST_CELL_FAULT_IGNORE_NOTES: A submission is accepted although its caller
 *   was told that the job, which it cancelled, does not exist.
 * @RST_CELL_FAULT_COUNT_ORDERS: A successor takes a start order for a start.
 * @RST_CELL_FAULT_CUT_FAILURES: A successor forgets failed runs above 16.
 * @RST_CELL_FAULT_REJECT_COMMITTING: A submission is rejected while the commit
 *   with its job is out.
 * @RST_CELL_FAULT_WAIT_FOR_ALL: A successor starts no task of an earlier job
 *   until it knows the runs of all instances of its predecessor.
 */
enum rst_cell_fault_kind
{
  RST_CELL_FAULT_NONE,
  RST_CELL_FAULT_EARLY_RESTART,
  RST_CELL_FAULT_EARLY_ACK,
  RST_CELL_FAULT_IGNORE_CAPACITY,
  RST_CELL_FAULT_IGNORE_STEP_ORDER,
  RST_CELL_FAULT_IGNORE_FAILURES,
  RST_CELL_FAULT_IGNORE_CANCEL,
  RST_CELL_FAULT_EARLY_ACCEPT,
  RST_CELL_FAULT_EARLY_COMPLETION,
  RST_CELL_FAULT_NO_TAKEOVER_WAIT,
  RST_CELL_FAULT_IGNORE_LIMIT,
  RST_CELL_FAULT_SHARED_TOKEN,
  RST_CELL_FAULT_IGNORE_LOST_AGENT,
  RST_CELL_FAULT_EARLY_UNREACHABLE,
  RST_CELL_FAULT_REUSE_ATTEMPTS,
  RST_CELL_FAULT_IGNORE_CRASHES,
  RST_CELL_FAULT_KEEP_CAPACITY,
  RST_CELL_FAULT_IGNORE_NOTES,
  RST_CELL_FAULT_COUNT_ORDERS,
  RST_CELL_FAULT_CUT_FAILURES,
  RST_CELL_FAULT_REJECT_COMMITTING,
  RST_CELL_FAULT_WAIT_FOR_ALL,
};

#ifdef RST_FAULTS
extern int rst_cell_fault;
#define RST_CELL_FAULT(kind) (rst_cell_fault == (kind))
#else
#define RST_CELL_FAULT(kind) false
#endif

#endif
