/**
 * DOC: fault_private - fault injection for the test build
 *
 * The fuzz tests show with these faults that their checks detect a violation
 * of each property.  In the test build rst_fault selects one fault; in all
 * other builds RST_FAULT() is false.
 */
#ifndef RST_FAULT_PRIVATE_H
#define RST_FAULT_PRIVATE_H

/**
 * enum rst_fault_kind - One fault for each property that the fuzz tests check.
 * @RST_FAULT_NONE: No fault.
 * @RST_FAULT_OVERCOMMIT: Starts tasks without checking free resources.
 * @RST_FAULT_RUN_TASK_TWICE: Restarts tasks that must run at most once and may
 *   have run.
 * @RST_FAULT_WRONG_TEAM: Runs all queries as the same team.
 * @RST_FAULT_ACCEPT_WITHDRAWN_KEY: Accepts keys that are not in the settings.
 * @RST_FAULT_IGNORE_UPPER_LIMIT: Starts runs above the upper limit of a team.
 * @RST_FAULT_START_IN_REMOVED_ZONE: Starts runs in a zone taken out of use.
 * @RST_FAULT_TRUNCATE_ANSWER: Returns half of the body of an answer.
 * @RST_FAULT_REPORT_NOT_RUN: Reports queries that may have run as not run.
 * @RST_FAULT_RUN_REQUEST_TWICE: Retries queries that are not idempotent and
 *   may have run.
 * @RST_FAULT_START_ON_LEAVING: Starts runs on instances that are leaving.
 * @RST_FAULT_NEVER_STOP: Never completes a planned stop.
 * @RST_FAULT_KEEP_OLD_SETTINGS: Ignores some changes of the settings.
 * @RST_FAULT_COUNT: Number of values.
 *
 * The order is that of the properties in the documentation; the tests select a
 * fault by its number.
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
