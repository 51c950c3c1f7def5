// What the tests of tasks that crash their instances share.
#ifndef RST_TEST_CRASHING_TASKS_H
#define RST_TEST_CRASHING_TASKS_H

#include <string>

#include "cell_harness.h"

namespace crashing
{

using harness::Planner;

inline const char *const job_a = "00000000000000aa";
inline const char *const job_b = "00000000000000bb";
inline const std::string task_a0 = "00000000000000aa.0.0.0";
inline const std::string task_b0 = "00000000000000bb.0.0.0";
inline const rst_ms lease_left_ms = 6000;
inline const rst_ms longest_lease_ms = lease_left_ms * 102 / 100 + 300;
// By the rule, three starts more after three crashes are too many.
inline const int starts_max = 5;

inline std::string
get_state (Planner &cell, const char *job)
{
  cell.send_call (50, RST_OPERATION_READ, job);
  const harness::Reply *reply = cell.reply_to (50);
  rst_job_state state = reply->reply.state;

  cell.replies.clear ();
  return state == RST_JOB_FAILED      ? "failed"
         : state == RST_JOB_COMPLETED ? "completed"
                                      : "live";
}

// Returns the instance on which a task was started last, or "".
inline std::string
find_start (const Planner &cell, const std::string &task, int *attempt)
{
  std::string id;

  for (const auto &start : cell.sent_of_kind (RST_MSG_START))
    if (start.task == task)
      {
        id = start.id;
        *attempt = start.attempt;
      }
  return id;
}

// Advances the clock in small steps until @count starts were sent, so that
// they can be answered at once.
inline void
await_starts (Planner &cell, size_t count)
{
  const int steps_max = 3000;

  for (int i = 0;
       i < steps_max && cell.sent_of_kind (RST_MSG_START).size () < count; i++)
    {
      cell.advance_time (5);
      if (cell.is_committing)
        cell.complete_commit ();
    }
}

// Waits for the start of a task and answers it; returns its instance.
inline std::string
await_start (Planner &cell, const std::string &task)
{
  const int steps_max = 3000;
  int attempt = 0;
  std::string id = find_start (cell, task, &attempt);

  for (int i = 0; i < steps_max && id.empty (); i++)
    {
      cell.advance_time (5);
      if (cell.is_committing)
        cell.complete_commit ();
      id = find_start (cell, task, &attempt);
    }
  if (id.empty ())
    return id;
  cell.sent.clear ();
  cell.answer_order (1, RST_MSG_STARTED, id, task, attempt, RST_RESULT_OK);
  return id;
}

// Lets an instance crash and come back under another id at its address, and
// its lease expire.
inline void
crash_and_return (Planner &cell, const std::string &id)
{
  cell.report (1, id, {}, 1, RST_RESULT_UNKNOWN, lease_left_ms);
  cell.settle ();
  rst_planner_remove_instance (cell.planner, id.c_str ());
  cell.add_instance (id + "'");
  cell.report (1, id + "'", {});
  cell.report (1, id, {}, 0, RST_RESULT_OTHER_INCARNATION);
  cell.advance_time (longest_lease_ms);
  cell.settle ();
}

} // namespace crashing

#endif
