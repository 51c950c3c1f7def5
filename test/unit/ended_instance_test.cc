// An instance that crashed and came back under another id at its address.
#include <gtest/gtest.h>

#include "cell_harness.h"

using harness::Planner;

static const char *const job_a = "00000000000000aa";
static const rst_ms lease_left_ms = 6000;

// Starts job_a, which needs both instances, and lets the first one crash.
static void
crash_under_gang (Planner &cell)
{
  cell.start_serving (2);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a,
                  Planner::make_job (4, 2000, true));
  cell.settle ();
  ASSERT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 4u);
  for (const auto &start : cell.sent_of_kind (RST_MSG_START))
    cell.answer_order (1, RST_MSG_STARTED, start.id, start.task, 1,
                       RST_RESULT_OK);
  cell.sent.clear ();
  cell.report (1, "i-0", {}, 1, RST_RESULT_UNKNOWN, lease_left_ms);
}

// The gang waited for the lease, though the instance was back after seconds.
TEST (EndedInstance, GangWaitsForNoLeaseOfAnInstanceThatWasReplaced)
{
  Planner cell;
  std::vector<rst_run> ends;

  crash_under_gang (cell);
  cell.add_instance ("i-2");
  cell.report (1, "i-2", {});
  cell.report (1, "i-0", {}, 0, RST_RESULT_OTHER_INCARNATION);
  for (const auto &stop : cell.sent_of_kind (RST_MSG_STOP))
    if (stop.id == "i-1")
      ends.push_back (Planner::make_ended_run ((int64_t)ends.size () + 1,
                                               stop.task, 1, RST_END_STOPPED));
  EXPECT_EQ (ends.size (), 2u);
  cell.report (1, "i-1", ends);
  cell.settle ();
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 4u);
}

// What does not answer may still run.
TEST (EndedInstance, SilenceOrAResetIsNoEnd)
{
  Planner cell;

  crash_under_gang (cell);
  cell.add_instance ("i-2");
  cell.report (1, "i-2", {});
  cell.report (1, "i-0", {}, 0, RST_RESULT_UNKNOWN, lease_left_ms);
  cell.report (1, "i-0", {}, 0, RST_RESULT_NOT_SENT, lease_left_ms);
  cell.settle ();
  EXPECT_TRUE (cell.sent_of_kind (RST_MSG_STOP).empty ());
  cell.advance_time (lease_left_ms - 500);
  EXPECT_TRUE (cell.sent_of_kind (RST_MSG_START).empty ());
}

// Another instance may have got the earlier address of one that moved.
TEST (EndedInstance, AnotherAtAnEarlierAddressIsNoEnd)
{
  Planner cell;
  rst_instance_entry entry = {};

  crash_under_gang (cell);
  g_strlcpy (entry.id, "i-0", sizeof entry.id);
  g_strlcpy (entry.address, "10.0.0.9:80", sizeof entry.address);
  g_strlcpy (entry.zone, "a", sizeof entry.zone);
  g_strlcpy (entry.pool, "pool", sizeof entry.pool);
  entry.capacity = { 4000, 4000, 0 };
  entry.incarnation = 1;
  rst_planner_update_instance (cell.planner, &entry);
  cell.report (1, "i-0", {}, 0, RST_RESULT_OTHER_INCARNATION, lease_left_ms);
  cell.settle ();
  EXPECT_TRUE (cell.sent_of_kind (RST_MSG_STOP).empty ());
}
