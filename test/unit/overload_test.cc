#include <gtest/gtest.h>

#include "unit/cell_harness.h"

using harness::Planner;
using harness::Sent;

static std::string
make_id (int number)
{
  char id[17];

  g_snprintf (id, sizeof id, "%016x", number);
  return id;
}

// A planner of one instance with room for 4 tasks of 1 s, whose run times it
// has learned.
class Overload : public testing::Test
{
protected:
  void
  start (int64_t latest_end_percent)
  {
    rst_planner_timing timing = Planner::make_timing ();

    timing.latest_end_percent = latest_end_percent;
    cell = std::make_unique<Planner> (timing, 1);
    cell->start_serving (1);
    cell->send_call (1, RST_OPERATION_SUBMIT, make_id (1),
                     Planner::make_job (1, 1000));
    cell->settle ();
    cell->answer_order (1, RST_MSG_STARTED, "i-0", make_id (1) + ".0.0.0", 1,
                        RST_RESULT_OK);
    cell->advance_time (900);
    cell->report (1, "i-0",
                  { Planner::make_ended_run (1, make_id (1) + ".0.0.0", 1,
                                             RST_END_DONE) });
    cell->settle ();
    cell->advance_time (3000);
    cell->sent.clear ();
    cell->replies.clear ();
  }

  // Submits jobs of 4 tasks, which take the whole instance.
  void
  submit (int first, int count)
  {
    for (int i = first; i < first + count; i++)
      cell->send_call ((uint64_t)i, RST_OPERATION_SUBMIT, make_id (i),
                       Planner::make_job (4, 1000));
  }

  int
  count_rejected () const
  {
    int count = 0;

    for (const harness::Reply &reply : cell->replies)
      if (reply.reply.outcome == RST_OUTCOME_OVERLOADED)
        {
          EXPECT_GE (reply.reply.retry_s, 1);
          count++;
        }
    return count;
  }

  std::unique_ptr<Planner> cell;
};

// Guards against jobs that wait until they have no value and delay others.
TEST_F (Overload, RejectsAtOnceWhatWouldEndTooLate)
{
  rst_planner_stats stats;

  start (300);
  submit (10, 3);
  EXPECT_EQ (count_rejected (), 0);
  submit (20, 40);
  EXPECT_GT (count_rejected (), 20);
  EXPECT_LT (count_rejected (), 40);
  rst_planner_read_stats (cell->planner, &stats);
  EXPECT_EQ (stats.overloaded, (uint64_t)count_rejected ());
  cell->settle ();
  // What was rejected is not known, and what was accepted is.
  for (const harness::Reply &reply : std::vector (cell->replies))
    {
      cell->send_call (1000 + reply.call, RST_OPERATION_READ,
                       make_id ((int)reply.call));
      EXPECT_EQ (cell->reply_to (1000 + reply.call)->reply.outcome,
                 reply.reply.outcome == RST_OUTCOME_OVERLOADED
                     ? RST_OUTCOME_NO_JOB
                     : RST_OUTCOME_STATE);
    }
}

// Guards against the rejection of jobs that have room while others wait for
// instances that they may use.
TEST_F (Overload, AcceptsWhatHasRoomBesideABacklog)
{
  start (300);
  for (int i = 10; i < 12; i++)
    {
      rst_jobdesc *desc = Planner::make_job (25, 1000);

      desc->steps[0].max_per_instance = 1;
      cell->send_call ((uint64_t)i, RST_OPERATION_SUBMIT, make_id (i), desc);
    }
  cell->settle ();
  cell->advance_time (100);
  ASSERT_EQ (cell->sent_of_kind (RST_MSG_START).size (), 2u);
  cell->send_call (20, RST_OPERATION_SUBMIT, make_id (20),
                   Planner::make_job (2, 1000));
  EXPECT_EQ (cell->reply_to (20), nullptr);
  // The room is taken.
  cell->send_call (21, RST_OPERATION_SUBMIT, make_id (21),
                   Planner::make_job (1, 1000));
  ASSERT_NE (cell->reply_to (21), nullptr);
  EXPECT_EQ (cell->reply_to (21)->reply.outcome, RST_OUTCOME_OVERLOADED);
}

TEST_F (Overload, AcceptsEverythingWhenSwitchedOff)
{
  start (0);
  submit (10, 100);
  EXPECT_EQ (count_rejected (), 0);
}

// Guards against rejections by a planner that knows no run times.
TEST (OverloadStart, AcceptsEverythingUntilARunHasEnded)
{
  rst_planner_timing timing = Planner::make_timing ();

  timing.latest_end_percent = 300;
  Planner cell (timing, 1);

  cell.start_serving (1);
  cell.advance_time (4000);
  for (uint64_t i = 1; i < 100; i++)
    cell.send_call (i, RST_OPERATION_SUBMIT, make_id ((int)i),
                    Planner::make_job (4, 1000));
  for (const harness::Reply &reply : cell.replies)
    EXPECT_NE (reply.reply.outcome, RST_OUTCOME_OVERLOADED);
}

// Guards against rejections of jobs whose time to end has no bound or that
// come again and again.
TEST_F (Overload, AcceptsLongRunningAndRepeatingJobs)
{
  rst_jobdesc *service = Planner::make_job (1, 1000);
  rst_jobdesc *repeating = Planner::make_job (1, 1000);

  start (300);
  submit (10, 60);
  service->steps[0].long_running = true;
  repeating->repeats = 3;
  repeating->start_at_ms = 1700000100000;
  repeating->period_ms = 1000;
  cell->send_call (100, RST_OPERATION_SUBMIT, make_id (100), service);
  cell->send_call (101, RST_OPERATION_SUBMIT, make_id (101), repeating);
  cell->settle ();
  for (uint64_t number : { 100, 101 })
    {
      ASSERT_NE (cell->reply_to (number), nullptr);
      EXPECT_EQ (cell->reply_to (number)->reply.outcome, RST_OUTCOME_OK);
    }
}

// Guards against a repeated submission that is rejected although its job runs.
TEST_F (Overload, NeverRejectsAJobThatExists)
{
  start (300);
  submit (10, 60);
  cell->settle ();
  cell->replies.clear ();
  submit (10, 1);
  ASSERT_NE (cell->reply_to (10), nullptr);
  EXPECT_EQ (cell->reply_to (10)->reply.outcome, RST_OUTCOME_OK);
}

// Guards against rejections by a planner whose successor may have accepted the
// job.
TEST_F (Overload, RejectsNothingWhileItMayHaveASuccessor)
{
  start (300);
  submit (10, 60);
  cell->replies.clear ();
  cell->is_confirmed = false;
  cell->advance_time (600);
  submit (200, 5);
  EXPECT_EQ (count_rejected (), 0);
}

// Guards against jobs that are held for 1 s by a store that answers every
// commit with a refusal, and against the rejection of a job that a commit
// contains, which may still be stored.
TEST (StoreRefusals, RejectSoonerWhatIsInNoCommit)
{
  Planner cell;
  rst_planner_stats stats;

  cell.answers_commits = false;
  cell.start_serving (2);
  cell.send_call (1, RST_OPERATION_SUBMIT, make_id (1),
                  Planner::make_job (1, 1000));
  cell.advance_time (40);
  cell.is_confirmed = false;
  cell.send_call (2, RST_OPERATION_SUBMIT, make_id (2),
                  Planner::make_job (1, 1000));
  rst_planner_set_commit_failed (cell.planner, true);
  cell.advance_time (100);
  rst_planner_set_commit_failed (cell.planner, true);
  cell.advance_time (300);
  EXPECT_EQ (cell.reply_to (2), nullptr);
  cell.advance_time (250);
  ASSERT_NE (cell.reply_to (2), nullptr);
  EXPECT_EQ (cell.reply_to (2)->reply.outcome, RST_OUTCOME_REJECTED);
  EXPECT_EQ (cell.reply_to (1), nullptr);
  rst_planner_read_stats (cell.planner, &stats);
  EXPECT_EQ (stats.rejected_refused, 1u);
  cell.is_confirmed = true;
  cell.complete_commit ();
  ASSERT_NE (cell.reply_to (1), nullptr);
  EXPECT_EQ (cell.reply_to (1)->reply.outcome, RST_OUTCOME_OK);
}

// Guards against early rejections when it is not known whether the store
// answers other processes.
TEST (StoreRefusals, DoNotCountBeforeACommitOfUnknownResult)
{
  Planner cell;

  cell.start_serving (2);
  cell.is_confirmed = false;
  cell.advance_time (400);
  for (bool was_refused : { true, true, false })
    rst_planner_set_commit_failed (cell.planner, was_refused);
  cell.advance_time (300);
  cell.send_call (2, RST_OPERATION_SUBMIT, make_id (2),
                  Planner::make_job (1, 1000));
  EXPECT_EQ (cell.reply_to (2), nullptr);
}
