// Placement by the speeds of instances that the planner has learned.
#include <gtest/gtest.h>

#include "cell_harness.h"

using harness::Planner;
using harness::Sent;

// A cell of four instances, of which one is slow.
class SpeedPlacement : public ::testing::Test
{
protected:
  // Serves, and runs a first job.  Returns its instances in the order in which
  // it starts on them, all of the same speed.
  std::vector<std::string>
  start (Planner &cell, int64_t run_ms)
  {
    cell.start_serving (4);
    return run_job (cell, run_ms, run_ms, run_ms);
  }

  // Runs a job of four tasks, one on each instance; that on the slow one
  // takes @slow_ms, the others @usual_ms.  Returns the instances in the order
  // of the start orders.
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
      if (start.id != slow)
        end (cell, start);
    cell.advance_time (slow_ms - usual_ms);
    for (const Sent &start : starts)
      if (start.id == slow)
        end (cell, start);
    cell.settle ();
    return order;
  }

  void
  end (Planner &cell, const Sent &start)
  {
    cell.report (1, start.id,
                 { Planner::make_ended_run (++ends[start.id], start.task, 1,
                                            RST_END_DONE) },
                 start.id == slow ? incarnation : 1);
  }

  // Returns the position of the slow one among the instances that a job starts
  // on.
  long
  get_position (Planner &cell, int64_t estimate_ms)
  {
    std::vector<std::string> order
        = run_job (cell, estimate_ms, estimate_ms, estimate_ms);

    return std::find (order.begin (), order.end (), slow) - order.begin ();
  }

  static std::vector<rst_run>
  list_runs (const std::vector<Sent> &starts, const std::string &id,
             int percent)
  {
    std::vector<rst_run> runs;

    for (const Sent &start : starts)
      if (start.id == id)
        {
          runs.push_back (Planner::make_running_run (start.task, 1));
          runs.back ().progress_percent = percent;
        }
    return runs;
  }

  std::string slow;
  int64_t incarnation = 1;
  int jobs = 0;
  std::map<std::string, int64_t> ends;
};

// The objective is 3 times the run time + 500 ms.  Tasks of 500 ms are late at
// a quarter of the usual speed.
TEST_F (SpeedPlacement, AvoidsASlowInstance)
{
  Planner cell;
  rst_planner_stats stats;

  slow = start (cell, 500).front ();
  for (int i = 0; i < 12; i++)
    run_job (cell, 500, 500, 2000);
  EXPECT_EQ (get_position (cell, 500), 3);
  cell.advance_time (1000);
  rst_planner_read_stats (cell.planner, &stats);
  EXPECT_EQ (stats.slow_instances, 1u);
  EXPECT_EQ (stats.slow_found, 1u);
  EXPECT_GT (stats.speed_samples, 40u);
}

// Tasks of 20 ms are not late on the slow instance even if one takes seven
// times as long.
TEST_F (SpeedPlacement, LeavesFastInstancesWithTimeToSpare)
{
  Planner cell;

  slow = start (cell, 20).back ();
  for (int i = 0; i < 12; i++)
    run_job (cell, 20, 20, 35);
  EXPECT_EQ (get_position (cell, 20), 0);
}

// What was learned of an earlier incarnation says nothing about this one.
TEST_F (SpeedPlacement, ForgetsTheSpeedWithTheIncarnation)
{
  Planner cell;

  slow = start (cell, 500).front ();
  for (int i = 0; i < 12; i++)
    run_job (cell, 500, 500, 2000);
  cell.add_instance (slow, false, "a", 2);
  cell.report (1, slow, {}, 2);
  cell.settle ();
  ends[slow] = 0;
  incarnation = 2;
  EXPECT_EQ (get_position (cell, 500), 0);
}

// With the setting off, the order of the start orders is that of a planner
// that has learned nothing.
TEST_F (SpeedPlacement, IgnoresSpeedsWhenItIsTurnedOff)
{
  Planner cell (1, 0, true);
  std::vector<std::string> first = start (cell, 500);

  slow = first.front ();
  for (int i = 0; i < 12; i++)
    EXPECT_EQ (run_job (cell, 500, 500, 2000), first);
}

// If all instances become slow, none is preferred.
TEST_F (SpeedPlacement, AllSlowIsUsual)
{
  Planner cell;
  std::vector<std::string> first = start (cell, 500);

  for (int i = 0; i < 12; i++)
    run_job (cell, 500, 2000, 2000);
  EXPECT_EQ (run_job (cell, 500, 500, 500), first);
}

// The runs on an instance make less progress than before, then none.  A job
// that comes then starts there last, though no run has ended.
TEST_F (SpeedPlacement, FindsASlowInstanceByTheProgressOfItsRuns)
{
  Planner cell;
  rst_jobdesc *desc = Planner::make_job (8, 500);
  std::vector<Sent> starts;

  slow = start (cell, 500).front ();
  cell.sent.clear ();
  desc->steps[0].max_per_instance = 2;
  desc->steps[0].estimate_ms = 20000;
  cell.send_call (1, RST_OPERATION_SUBMIT, "00000000000000aa", desc);
  cell.settle ();
  starts = cell.sent_of_kind (RST_MSG_START);
  ASSERT_EQ (starts.size (), 8u);
  for (const Sent &start : starts)
    cell.answer_order (1, RST_MSG_STARTED, start.id, start.task, 1,
                       RST_RESULT_OK);
  for (int second = 0; second < 9; second++)
    {
      cell.advance_time (1000);
      for (const char *id : { "i-0", "i-1", "i-2", "i-3" })
        {
          int percent = id == slow ? std::min (5 * second, 22) : 5 * second;

          cell.report (1, id, list_runs (starts, id, percent));
        }
    }
  cell.sent.clear ();
  EXPECT_EQ (get_position (cell, 500), 3);
}
