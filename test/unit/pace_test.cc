// The pace of best-effort tasks beside long-running tasks under varying load.
#include <gtest/gtest.h>

#include <string>

#include "cell_harness.h"

extern "C"
{
#include "cell/pace.h"
}

using harness::Planner;

static const char *const long_running_job = "00000000000000aa";
static const char *const best_effort_job = "00000000000000bb";
static const std::string long_running_task = "00000000000000aa.0.0.0";
static const std::string best_effort_task = "00000000000000bb.0.0.0";

TEST (Pace, StopsAtTheBoundHalvesNearItAndRisesInSteps)
{
  EXPECT_EQ (rst_pace_adjust (100, 100), 0);
  EXPECT_EQ (rst_pace_adjust (100, 80), 50);
  EXPECT_EQ (rst_pace_adjust (50, 70), 50);
  EXPECT_EQ (rst_pace_adjust (0, 59), 10);
  EXPECT_EQ (rst_pace_adjust (95, 0), 100);
}

// A long-running task with a bound of 50 ms on its response time, and a
// best-effort task on the same instance.
class PacedCell : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    rst_jobdesc *long_running = Planner::make_job (1, 1000);
    rst_jobdesc *best_effort = Planner::make_job (1, 1000);

    long_running->steps[0].long_running = true;
    long_running->steps[0].target_ms = 50;
    best_effort->steps[0].best_effort = true;
    cell.start_serving (1);
    cell.send_call (7, RST_OPERATION_SUBMIT, long_running_job, long_running);
    cell.send_call (8, RST_OPERATION_SUBMIT, best_effort_job, best_effort);
    cell.settle ();
    cell.sent.clear ();
  }

  // Reports both runs; @response_ms is the response time of the long-running
  // task.
  void
  report (int64_t response_ms)
  {
    rst_run long_running = Planner::make_running_run (long_running_task, 1);
    rst_run best_effort = Planner::make_running_run (best_effort_task, 1);

    long_running.usage = response_ms;
    long_running.progress_percent = 100;
    best_effort.usage = 900;
    cell.advance_time (RST_PACE_INTERVAL_MS);
    cell.report (1, "i-0", { long_running, best_effort });
  }

  int
  count_pace_orders () const
  {
    return (int)cell.sent_of_kind (RST_MSG_PACE).size ();
  }

  Planner cell;
};

TEST_F (PacedCell, PollsMoreOftenWhereBothKindsRun)
{
  report (10);
  ASSERT_EQ (cell.sent_of_kind (RST_MSG_SET_POLL_WAIT).size (), 1u);
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_SET_POLL_WAIT)[0].number, 500);
  EXPECT_EQ (count_pace_orders (), 0);
}

TEST_F (PacedCell, SlowsBestEffortTasksWhileResponsesAreSlow)
{
  report (60);
  ASSERT_EQ (count_pace_orders (), 1);
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_PACE)[0].task, best_effort_task);
  // The order is repeated, since it may have been lost.
  report (60);
  EXPECT_EQ (count_pace_orders (), 2);
}

TEST_F (PacedCell, DoesNotStopASlowedRunAsStalled)
{
  for (int i = 0; i < 12; i++)
    report (60);
  EXPECT_TRUE (cell.sent_of_kind (RST_MSG_STOP).empty ());
}

TEST_F (PacedCell, RaisesThePaceInStepsUntilFullSpeed)
{
  report (60);
  for (int i = 0; i < 10; i++)
    report (10);
  EXPECT_EQ (count_pace_orders (), 11);
  report (10);
  EXPECT_EQ (count_pace_orders (), 11);
}
