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
  RST_FAULT_TASK_TWICE,
  RST_FAULT_WRONG_TEAM,
  RST_FAULT_WITHDRAWN_KEY,
  RST_FAULT_UPPER_LIMIT,
  RST_FAULT_ZONE_OUT,
  RST_FAULT_CUT_ANSWER,
  RST_FAULT_FALSE_REFUSAL,
  RST_FAULT_REQUEST_TWICE,
  RST_FAULT_LEAVING,
  RST_FAULT_NEVER_STOPS,
  RST_FAULT_OLD_SETTINGS,
  RST_FAULT_KINDS,
};

#ifdef RST_FAULTS
extern int rst_fault;
#define RST_FAULT(kind) (rst_fault == (kind))
#else
#define RST_FAULT(kind) false
#endif

#endif
