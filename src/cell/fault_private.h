/**
 * DOC: fault_private - deliberate faults of the cell for the test build
 *
 * The oracle of the cell's fuzzer must be shown to catch a breach of each
 * rule.  In the test build rst_cell_fault picks one fault; elsewhere
 * RST_CELL_FAULT() is false.
 */
#ifndef RST_CELL_FAULT_PRIVATE_H
#define RST_CELL_FAULT_PRIVATE_H

/**
 * enum rst_cell_fault_kind - The faults, numbered as cell-fuzz takes them.
 * @RST_CELL_FAULT_NONE: None.
 * @RST_CELL_FAULT_EARLY_RESTART: An unanswered start is tried elsewhere.
 * @RST_CELL_FAULT_EARLY_ACK: Ends are let go before they are stored.
 * @RST_CELL_FAULT_IGNORE_CAPACITY: Room in use is not counted.
 * @RST_CELL_FAULT_IGNORE_STEP_ORDER: Steps do not wait for those before them.
 * @RST_CELL_FAULT_IGNORE_FAILURES: Failed runs do not end a job.
 * @RST_CELL_FAULT_IGNORE_CANCEL: A cancelled job's tasks go on starting.
 * @RST_CELL_FAULT_EARLY_ACCEPT: A job is accepted before it is stored.
 * @RST_CELL_FAULT_EARLY_COMPLETION: A job completes with its first step.
 * @RST_CELL_FAULT_NO_TAKEOVER_WAIT: A successor does not wait for instances.
 * @RST_CELL_FAULT_IGNORE_LIMIT: Customers' upper limits do not count.
 * @RST_CELL_FAULT_SHARED_TOKEN: All lives of an instance share a token.
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
};

#ifdef RST_FAULTS
extern int rst_cell_fault;
#define RST_CELL_FAULT(kind) (rst_cell_fault == (kind))
#else
#define RST_CELL_FAULT(kind) false
#endif

#endif
