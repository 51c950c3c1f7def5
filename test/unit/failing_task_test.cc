// What failed runs say of the instances that they ran on.
#include <gtest/gtest.h>

#include "cell_harness.h"

using harness::Planner;

static const char *const job_a = "00000000000000aa";
static const char *const job_b = "00000000000000bb";
static const std::string task_a0 = "00000000000000aa.0.0.0";
static const std::string task_b0 = "00000000000000bb.0.0.0";

// Lets each run of the task fail, @runs times.
static void
fail_again_and_again (Planner &cell, int runs)
{
  std::map<std::string, int> ends;

  for (int i = 0; i < runs; i++)
    {
      for (int k = 0; k < 1000 && cell.sent_of_kind (RST_MSG_START).empty ();
           k++)
        cell.advance_time (10);
      ASSERT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 1u);
      harness::Sent start = cell.sent_of_kind (RST_MSG_START)[0];

      cell.sent.clear ();
      cell.answer_order (1, RST_MSG_STARTED, start.id, task_a0, start.attempt,
                         RST_RESULT_OK);
      cell.report (
          1, start.id,
          { Planner::make_ended_run (++ends[start.id], task_a0, start.attempt,
                                     RST_END_FAILED) });
    }
}

// A task that fails everywhere pauses one instance after the other otherwise,
// and others wait though there is room.
TEST (FailingTask, LeavesInstancesToOthers)
{
  Planner cell;

  cell.max_failures = 40;
  cell.start_serving (2);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a, Planner::make_job (1, 1000));
  fail_again_and_again (cell, 12);
  cell.send_call (8, RST_OPERATION_SUBMIT, job_b, Planner::make_job (1, 1000));
  cell.settle ();
  bool has_started = false;

  for (const harness::Sent &start : cell.sent_of_kind (RST_MSG_START))
    has_started |= start.task == task_b0;
  EXPECT_TRUE (has_started);
}

// An instance where the runs of different tasks fail is still paused.
TEST (FailingTask, PausesAnInstanceWhereDifferentTasksFail)
{
  Planner cell;

  cell.start_serving (1);
  for (int i = 0; i < 3; i++)
    {
      std::string job = "00000000000000c" + std::to_string (i);
      std::string id;

      cell.send_call (7, RST_OPERATION_SUBMIT, job,
                      Planner::make_job (1, 1000));
      cell.settle ();
      for (const harness::Sent &start : cell.sent_of_kind (RST_MSG_START))
        if (start.task == job + ".0.0.0")
          cell.report (1, start.id,
                       { Planner::make_ended_run (i + 1, start.task, 1,
                                                  RST_END_FAILED) });
    }
  cell.sent.clear ();
  cell.send_call (8, RST_OPERATION_SUBMIT, job_b, Planner::make_job (1, 1000));
  cell.settle ();
  for (const harness::Sent &start : cell.sent_of_kind (RST_MSG_START))
    EXPECT_NE (start.task, task_b0);
}
