#include <gtest/gtest.h>

#include "unit/cell_harness.h"

extern "C"
{
#include "cell/attempts.h"
}

using harness::Planner;

static const char returning_job[] = "00000000000000aa";
static const char new_job[] = "00000000000000ab";

// Rejects a job in an outage of 4 s, which is longer than its objective.
static void
reject_in_outage (Planner *cell)
{
  cell->start_serving (1);
  cell->is_confirmed = false;
  cell->advance_time (1200);
  cell->send_call (1, RST_OPERATION_SUBMIT, returning_job,
                   Planner::make_job (1, 4000));
  ASSERT_NE (cell->reply_to (1), nullptr);
  ASSERT_EQ (cell->reply_to (1)->reply.outcome, RST_OUTCOME_REJECTED);
  cell->advance_time (4000);
  cell->is_confirmed = true;
  cell->advance_time (5);
}

// Guards against returning jobs, of which many are late already, that take the
// room of new ones for seconds after an outage.
TEST (FirstAttempt, PlacesNewJobsBeforeReturningOnesThatAreLate)
{
  Planner cell;
  rst_planner_stats stats;

  reject_in_outage (&cell);
  cell.send_call (2, RST_OPERATION_SUBMIT, returning_job,
                  Planner::make_job (1, 4000));
  cell.send_call (3, RST_OPERATION_SUBMIT, new_job,
                  Planner::make_job (1, 4000));
  cell.settle ();
  ASSERT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 1u);
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_START)[0].task.substr (0, 16),
             new_job);
  EXPECT_EQ (cell.reply_to (2)->reply.outcome, RST_OUTCOME_OK);
  rst_planner_read_stats (cell.planner, &stats);
  EXPECT_EQ (stats.returned, 1u);
  EXPECT_EQ (stats.rejected_ids, 1u);
}

// Guards against a job that is rejected a second time and is then as old as
// that rejection.
TEST (FirstAttempt, CountsFromTheFirstOfSeveralRejections)
{
  Planner cell;

  cell.answers_commits = false;
  reject_in_outage (&cell);
  /* The commit of the cancel is under way, so the job is in no commit. */
  cell.send_call (5, RST_OPERATION_CANCEL, "00000000000000ac");
  cell.advance_time (10);
  cell.is_confirmed = false;
  cell.send_call (2, RST_OPERATION_SUBMIT, returning_job,
                  Planner::make_job (1, 4000));
  cell.advance_time (1200);
  ASSERT_NE (cell.reply_to (2), nullptr);
  ASSERT_EQ (cell.reply_to (2)->reply.outcome, RST_OUTCOME_REJECTED);
  cell.is_confirmed = true;
  cell.settle ();
  cell.send_call (3, RST_OPERATION_SUBMIT, returning_job,
                  Planner::make_job (1, 4000));
  cell.send_call (4, RST_OPERATION_SUBMIT, new_job,
                  Planner::make_job (1, 4000));
  cell.settle ();
  ASSERT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 1u);
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_START)[0].task.substr (0, 16),
             new_job);
}

// Guards against accepted jobs that become new again with the next planner.
TEST (FirstAttempt, OutlastsASuccession)
{
  Planner cell;
  Planner successor (2);

  reject_in_outage (&cell);
  cell.report (1, "i-0",
               { Planner::make_running_run ("0000000000000001.0.0.0", 1) });
  cell.send_call (2, RST_OPERATION_SUBMIT, returning_job,
                  Planner::make_job (1, 4000));
  cell.advance_time (20);
  cell.send_call (3, RST_OPERATION_SUBMIT, new_job,
                  Planner::make_job (1, 4000));
  cell.settle ();
  ASSERT_TRUE (cell.sent_of_kind (RST_MSG_START).empty ());
  successor.restore (cell);
  EXPECT_EQ (successor.unreadable, 0);
  successor.set_time (cell.now);
  successor.configure ();
  successor.add_agent (1);
  successor.add_instance ("i-0");
  rst_planner_finish_restore (successor.planner);
  successor.report (1, "i-0", {});
  successor.settle ();
  ASSERT_EQ (successor.sent_of_kind (RST_MSG_START).size (), 1u);
  EXPECT_EQ (successor.sent_of_kind (RST_MSG_START)[0].task.substr (0, 16),
             new_job);
}

// Fails if an older copy of a rejected submission, which waited on its way, is
// accepted: its caller was told that the job never runs.
TEST (FirstAttempt, RejectsACopyThatWasSentBeforeTheRejection)
{
  Planner cell;

  cell.start_serving (1);
  rst_ms sent_at = cell.now;

  cell.is_confirmed = false;
  cell.advance_time (1500);
  cell.send_call (1, RST_OPERATION_SUBMIT, returning_job,
                  Planner::make_job (1, 1000), "k", "/q/", cell.now);
  ASSERT_EQ (cell.reply_to (1)->reply.outcome, RST_OUTCOME_REJECTED);
  rst_ms rejected_at = cell.now;

  cell.is_confirmed = true;
  cell.advance_time (100);
  cell.send_call (2, RST_OPERATION_SUBMIT, returning_job,
                  Planner::make_job (1, 1000), "k", "/q/", sent_at);
  cell.settle ();
  EXPECT_EQ (cell.reply_to (2)->reply.outcome, RST_OUTCOME_REJECTED);
  cell.send_call (3, RST_OPERATION_SUBMIT, returning_job,
                  Planner::make_job (1, 1000), "k", "/q/", rejected_at + 50);
  cell.settle ();
  EXPECT_EQ (cell.reply_to (3)->reply.outcome, RST_OUTCOME_OK);
}

// Fails if a copy is accepted of a submission that was rejected for want of
// memory, once there is room for it.
TEST (FirstAttempt, RejectsACopyOfAJobThatThereWasNoRoomFor)
{
  rst_planner_timing timing = Planner::make_timing ();

  timing.tables_bytes_max = 1000;
  Planner cell (timing, 1);

  cell.start_serving (1);
  rst_ms sent_at = cell.now;

  cell.advance_time (100);
  cell.send_call (1, RST_OPERATION_SUBMIT, returning_job,
                  Planner::make_job (1001, 1000), "k", "/q/", cell.now);
  ASSERT_EQ (cell.reply_to (1)->reply.outcome, RST_OUTCOME_REJECTED);
  // There is always room for this one.
  cell.send_call (2, RST_OPERATION_SUBMIT, returning_job,
                  Planner::make_job (1000, 1000), "k", "/q/", sent_at);
  cell.settle ();
  EXPECT_EQ (cell.reply_to (2)->reply.outcome, RST_OUTCOME_REJECTED);
}

TEST (FirstAttempt, KeepsABoundedNumberOfIds)
{
  rst_attempts *attempts = rst_attempts_create (2, 1000);

  rst_attempts_note (attempts, "a", 10, 10);
  rst_attempts_note (attempts, "b", 20, 20);
  rst_attempts_note (attempts, "a", 30, 30);
  EXPECT_EQ (rst_attempts_find (attempts, "b", 40), 20);
  rst_attempts_note (attempts, "c", 40, 40);
  EXPECT_EQ (rst_attempts_count (attempts), 2u);
  EXPECT_EQ (rst_attempts_find (attempts, "b", 50), 20);
  EXPECT_EQ (rst_attempts_find (attempts, "a", 50), 50);
  EXPECT_EQ (rst_attempts_find (attempts, "b", 1021), 1021);
  rst_attempts_note (attempts, "d", 2000, 2000);
  EXPECT_EQ (rst_attempts_count (attempts), 1u);
  rst_attempts_destroy (attempts);
}
