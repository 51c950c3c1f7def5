// Occurrences of repeating jobs: when they start, and what a successor knows
// of them.
#include <gtest/gtest.h>

#include "cell_harness.h"

using harness::Planner;

static const char *const job_a = "00000000000000aa";
static const std::string first_task = "00000000000000aa.0.0.0";

// A job of one task that runs twice, first after @delay_ms.
static rst_jobdesc *
make_repeating_job (const Planner &cell, rst_ms delay_ms)
{
  rst_jobdesc *desc = Planner::make_job (1, 1000);

  desc->repeats = 2;
  desc->start_at_ms = 1700000000000 + cell.now + delay_ms;
  desc->period_ms = 60000;
  return desc;
}

// The journal did not tell that an occurrence had begun.  A successor began it
// again and started its tasks before the instances that ran them had reported
// (review/1, TWICE).
TEST (RepeatingJob, RunsNoTaskTwiceWhenThePlannerIsReplacedWhileItRuns)
{
  Planner predecessor;
  Planner successor (2);

  predecessor.start_serving (2);
  /* Long enough for the first record of the job to be without it. */
  predecessor.send_call (7, RST_OPERATION_SUBMIT, job_a,
                         make_repeating_job (predecessor, 5000));
  predecessor.settle ();
  predecessor.advance_time (4600);
  std::string running = predecessor.start_without_record ();
  ASSERT_NE (running, "");
  std::string other = running == "i-0" ? "i-1" : "i-0";

  successor.set_time (predecessor.now);
  successor.restore (predecessor);
  EXPECT_EQ (successor.unreadable, 0);
  successor.configure ();
  successor.add_agent (1);
  successor.add_instance ("i-0");
  successor.add_instance ("i-1");
  rst_planner_finish_restore (successor.planner);
  successor.report (1, other, {});
  successor.settle ();
  EXPECT_TRUE (successor.sent_of_kind (RST_MSG_START).empty ());
  successor.report (1, running, { Planner::make_running_run (first_task, 1) });
  successor.settle ();
  EXPECT_TRUE (successor.sent_of_kind (RST_MSG_START).empty ());
  EXPECT_TRUE (successor.sent_of_kind (RST_MSG_STOP).empty ());
}

// A successor that does not know of the occurrence would start it again.  The
// intents of its tasks are not stored either, so the reason tells which of the
// two conditions holds them back.
TEST (RepeatingJob, StartsNoTaskOfAnOccurrenceThatIsNotStored)
{
  Planner cell;
  rst_planner_stats stats = {};

  cell.answers_commits = false;
  cell.start_serving (1);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a,
                  make_repeating_job (cell, 5000));
  cell.settle ();
  cell.advance_time (6000);
  rst_planner_read_stats (cell.planner, &stats);
  EXPECT_EQ (stats.waiting_by_reason[RST_WAIT_NOT_STORED], 1u);
  EXPECT_TRUE (cell.is_committing);
  EXPECT_TRUE (cell.sent_of_kind (RST_MSG_START).empty ());
  cell.settle ();
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 1u);
}

TEST (RepeatingJob, StartsAnOccurrenceWhenItIsDue)
{
  Planner cell;

  cell.start_serving (1);
  rst_ms due_at = cell.now + 3000;

  cell.send_call (7, RST_OPERATION_SUBMIT, job_a,
                  make_repeating_job (cell, 3000));
  while (cell.now < due_at - 50)
    {
      cell.advance_time (20);
      if (cell.is_committing)
        cell.complete_commit ();
    }
  EXPECT_TRUE (cell.sent_of_kind (RST_MSG_START).empty ());
  /* Due occurrences are looked for every 100 ms. */
  cell.advance_time (170);
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 1u);
}

// The successor's clock may be behind that of its predecessor.
TEST (RepeatingJob, StartsNoInheritedOccurrenceBeforeItIsDue)
{
  Planner predecessor;
  Planner successor (2);

  predecessor.start_serving (1);
  predecessor.send_call (7, RST_OPERATION_SUBMIT, job_a,
                         make_repeating_job (predecessor, 1500));
  predecessor.settle ();
  successor.set_time (predecessor.now);
  successor.restore (predecessor);
  EXPECT_EQ (successor.unreadable, 0);
  successor.configure ();
  successor.add_agent (1);
  successor.add_instance ("i-0");
  rst_planner_finish_restore (successor.planner);
  successor.report (1, "i-0", {});
  successor.settle ();
  EXPECT_TRUE (successor.sent_of_kind (RST_MSG_START).empty ());
  successor.advance_time (1500);
  EXPECT_EQ (successor.sent_of_kind (RST_MSG_START).size (), 1u);
}

// A step that became ready while the clock was set back was never started.
TEST (RepeatingJob, GoesOnAfterTheClockWasSetBack)
{
  Planner cell;
  rst_jobdesc *desc = Planner::make_job (1, 1000, false, 2);

  cell.start_serving (1);
  desc->repeats = 1;
  desc->start_at_ms = 1700000000000 + cell.now + 100;
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a, desc);
  cell.settle ();
  ASSERT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 1u);
  cell.unix_offset = -3000;
  cell.set_time (cell.now);
  cell.report (1, "i-0",
               { Planner::make_ended_run (1, first_task, 1, RST_END_DONE) });
  cell.settle ();
  cell.unix_offset = 0;
  cell.settle ();
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 2u);
}
