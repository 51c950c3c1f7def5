/**
 * DOC: fault_private - deliberate faults for the test build
 *
 * The oracle must be shown to catch a violation of each property.  In the
 * test build rst_fault picks one fault; elsewhere RST_FAULT() is false.
 */
#ifndef RST_FAULT_PRIVATE_H
#define RST_FAULT_PRIVATE_H

/**
 * enum rst_fault_kind - One fault for each property, in the order of the
 * glossary.
 */
enum rst_fault_kind
{
  RST_FAULT_NONE,
  RST_FAULT_OVERCOMMIT,
  RST_FAULT_RUN_TASK_TWICE,
  RST_FAULT_WRONG_TEAM,
  RST_FAULT_ACCEPT_WITHDRAWN_KEY,
  RST_FAULT_IGNORE_UPPER_LIMIT,
  RST_FAULT_START_IN_REMOVED_ZONE,
  RST_FAULT_TRUNCATE_ANSWER,
  RST_FAULT_REPORT_NOT_RUN,
  RST_FAULT_RUN_REQUEST_TWICE,
  RST_FAULT_START_ON_LEAVING,
  RST_FAULT_NEVER_STOP,
  RST_FAULT_KEEP_OLD_SETTINGS,
  RST_FAULT_COUNT,
};

#ifdef RST_FAULTS
extern int rst_fault;
#define RST_FAULT(kind) (rst_fault == (kind))
#else
#define RST_FAULT(kind) false
#endif

#endif
