// Capacity that batch tasks leave to urgent ones.
#include <memory>

#include <gtest/gtest.h>

#include "cell_harness.h"

extern "C"
{
#include "cell/headroom.h"
}

using harness::Planner;

TEST (Headroom, FollowsAPeakAtOnceAndForgetsItSlowly)
{
  rst_headroom headroom = {};

  rst_headroom_update (&headroom, 8000, 1000);
  EXPECT_EQ (rst_headroom_get_batch_cpu (&headroom, 10000, 100000, 50), 6000);
  rst_headroom_update (&headroom, 0, 2000);
  EXPECT_EQ (rst_headroom_get_batch_cpu (&headroom, 10000, 100000, 50), 6800);
  rst_headroom_update (&headroom, 0, 9000);
  EXPECT_EQ (rst_headroom_get_batch_cpu (&headroom, 10000, 100000, 50), 10000);
}

TEST (Headroom, KeepsAtMostAQuarterOfThePool)
{
  rst_headroom headroom = {};

  rst_headroom_update (&headroom, 80000, 1000);
  EXPECT_EQ (rst_headroom_get_batch_cpu (&headroom, 30000, 100000, 100), 5000);
  EXPECT_EQ (rst_headroom_get_batch_cpu (&headroom, 20000, 100000, 100), 0);
  EXPECT_EQ (rst_headroom_get_batch_cpu (&headroom, 20000, 100000, 0), 20000);
}

// Four instances of four cores; an urgent queue and a batch queue.
class BatchBesideUrgent : public ::testing::Test
{
protected:
  // Serves with a percentage of the urgent tasks' use as headroom.
  void
  start_serving (int64_t percent)
  {
    rst_planner_timing timing = Planner::make_timing ();

    timing.urgent_headroom_percent = percent;
    cell = std::make_unique<Planner> (timing, 1);
    cell->configure (0, false, 1, true);
    cell->add_agent (1);
    for (int i = 0; i < 4; i++)
      cell->add_instance ("i-" + std::to_string (i));
    rst_planner_finish_restore (cell->planner);
    for (int i = 0; i < 4; i++)
      cell->report (1, "i-" + std::to_string (i), {});
    cell->settle ();
  }

  // Submits a job and returns how many of its tasks start at once.
  size_t
  submit (const char *id, const char *prefix, int tasks, bool gang = false)
  {
    cell->sent.clear ();
    cell->send_call (7, RST_OPERATION_SUBMIT, id,
                     Planner::make_job (tasks, 1000, gang), "k", prefix);
    cell->settle ();
    return cell->sent_of_kind (RST_MSG_START).size ();
  }

  std::unique_ptr<Planner> cell;
};

// The load: batch tasks fill the fleet, and then the urgent jobs double. Fails
// if the second urgent job has to wait for the end of a batch task.
TEST_F (BatchBesideUrgent, LeavesRoomForABurstOfUrgentTasks)
{
  start_serving (50);
  EXPECT_EQ (submit ("00000000000000a1", "/q/", 4), 4u);
  EXPECT_EQ (submit ("00000000000000b1", "/b/", 16), 10u);
  EXPECT_EQ (submit ("00000000000000a2", "/q/", 2), 2u);
}

TEST_F (BatchBesideUrgent, FillsThePoolIfNothingIsToBeKept)
{
  start_serving (0);
  EXPECT_EQ (submit ("00000000000000a1", "/q/", 4), 4u);
  EXPECT_EQ (submit ("00000000000000b1", "/b/", 16), 12u);
}

TEST_F (BatchBesideUrgent, FillsThePoolWhileNoUrgentTaskHasRun)
{
  start_serving (50);
  EXPECT_EQ (submit ("00000000000000b1", "/b/", 16), 16u);
}

// Fails if smaller batch tasks of a later job keep a gang waiting for ever.
TEST_F (BatchBesideUrgent, DoesNotLetLaterBatchJobsPassAGang)
{
  start_serving (50);
  EXPECT_EQ (submit ("00000000000000a1", "/q/", 4), 4u);
  EXPECT_EQ (submit ("00000000000000b1", "/b/", 11, true), 0u);
  EXPECT_EQ (submit ("00000000000000b2", "/b/", 2), 0u);
}
