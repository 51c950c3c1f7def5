// Placement by the speeds of instances that the planner has learned.
#include <gtest/gtest.h>

#include "cell_harness.h"

using harness::Planner;
using harness::Sent;

// A cell of four instances, of which i-3 is slower than the others.
class SpeedPlacement : public ::testing::Test
{
protected:
  // Runs a job of four tasks, one on each instance; those on i-3 take
  // @slow_ms, the others @usual_ms.  Returns the instances in the order of the
  // start orders.
  std::vector<std::string>
  run_job (Planner &cell, int64_t estimate_ms, rst_ms usual_ms, rst_ms slow_ms)
  {
    char id[17];
    std::vector<std::string> order;
    rst_jobdesc *desc = Planner::make_job (4, 3000);

    g_snprintf (id, sizeof id, "%016x", ++jobs);
    desc->steps[0].estimate_ms = estimate_ms;
    cell.send_call ((uint64_t)jobs, RST_OPERATION_SUBMIT, id, desc);
    for (int i = 0; i < 20 && cell.sent_of_kind (RST_MSG_START).empty (); i++)
      {
        cell.advance_time (5);
        if (cell.is_committing)
          cell.complete_commit ();
      }
    std::vector<Sent> starts = cell.sent_of_kind (RST_MSG_START);

    cell.sent.clear ();
    for (const Sent &start : starts)
      {
        order.push_back (start.id);
        cell.answer_order (1, RST_MSG_STARTED, start.id, start.task, 1,
                           RST_RESULT_OK);
      }
    cell.advance_time (usual_ms);
    for (const Sent &start : starts)
      if (start.id != "i-3")
        end (cell, start);
    cell.advance_time (slow_ms - usual_ms);
    for (const Sent &start : starts)
      if (start.id == "i-3")
        end (cell, start);
    cell.settle ();
    return order;
  }

  void
  end (Planner &cell, const Sent &start)
  {
    cell.report (1, start.id,
                 { Planner::make_ended_run (++ends[start.id], start.task, 1,
                                            RST_END_DONE) });
  }

  // Returns the position of i-3 among the instances that a job starts on.
  long
  get_position (Planner &cell, int64_t estimate_ms)
  {
    std::vector<std::string> order
        = run_job (cell, estimate_ms, estimate_ms, estimate_ms);

    return std::find (order.begin (), order.end (), "i-3") - order.begin ();
  }

  int jobs = 0;
  std::map<std::string, int64_t> ends;
};

// The objective is 3 times the run time + 500 ms.  Tasks of 500 ms are late at
// a quarter of the usual speed.
TEST_F (SpeedPlacement, AvoidsASlowInstance)
{
  Planner cell;

  cell.start_serving (4);
  for (int i = 0; i < 12; i++)
    run_job (cell, 500, 500, 2000);
  EXPECT_EQ (get_position (cell, 500), 3);
}

// Tasks of 20 ms are not late on i-3 even if one takes seven times as long.
TEST_F (SpeedPlacement, LeavesFastInstancesWithTimeToSpare)
{
  Planner cell;

  cell.start_serving (4);
  for (int i = 0; i < 12; i++)
    run_job (cell, 20, 20, 35);
  EXPECT_EQ (get_position (cell, 20), 0);
}

// What was learned of an earlier incarnation says nothing about this one.
TEST_F (SpeedPlacement, ForgetsTheSpeedWithTheIncarnation)
{
  Planner cell;
  std::vector<std::string> before;

  cell.start_serving (4);
  before = run_job (cell, 500, 500, 2000);
  for (int i = 0; i < 12; i++)
    run_job (cell, 500, 500, 2000);
  cell.add_instance ("i-3", false, "a", 2);
  cell.report (1, "i-3", {}, 2);
  cell.settle ();
  rst_jobdesc *desc = Planner::make_job (4, 3000);

  cell.send_call (900, RST_OPERATION_SUBMIT, "00000000000000ff", desc);
  cell.settle ();
  std::vector<std::string> after;

  for (const Sent &start : cell.sent_of_kind (RST_MSG_START))
    after.push_back (start.id);
  EXPECT_EQ (after, before);
}

// With the setting off, the order of the start orders is that of a planner
// that has learned nothing.
TEST_F (SpeedPlacement, IgnoresSpeedsWhenItIsTurnedOff)
{
  Planner cell (1, 0, true);
  std::vector<std::string> first;

  cell.start_serving (4);
  first = run_job (cell, 500, 500, 2000);
  for (int i = 0; i < 12; i++)
    EXPECT_EQ (run_job (cell, 500, 500, 2000), first);
}

// If all instances become slow, none is preferred.
TEST_F (SpeedPlacement, AllSlowIsUsual)
{
  Planner cell;
  std::vector<std::string> first;

  cell.start_serving (4);
  first = run_job (cell, 500, 500, 500);
  for (int i = 0; i < 12; i++)
    run_job (cell, 500, 2000, 2000);
  EXPECT_EQ (run_job (cell, 500, 500, 500), first);
}
