#include <gtest/gtest.h>

#include "cell_harness.h"

using harness::Planner;

static const char *const job_a = "00000000000000aa";
static const char *const job_b = "00000000000000bb";
static const std::string task_a0 = "00000000000000aa.0.0.0";
static const std::string task_a1 = "00000000000000aa.0.0.1";
static const std::string task_b0 = "00000000000000bb.0.0.0";

TEST (Succession, WaitsUntilEveryInheritedInstanceIsKnown)
{
  Planner former;
  Planner heir (2);

  former.begin (2);
  former.call (7, RST_OPERATION_SUBMIT, job_a, Planner::job (1, 1000));
  former.settle ();
  heir.restore (former);
  EXPECT_EQ (heir.unreadable, 0);
  heir.configure ();
  heir.agent (1);
  heir.instance ("i-0");
  heir.instance ("i-1");
  rst_planner_restored (heir.planner);
  heir.report (1, "i-0", {});
  heir.settle ();
  EXPECT_TRUE (heir.of_kind (RST_MSG_START).empty ());
  heir.report (1, "i-1", { Planner::running (task_a0, 1) });
  heir.settle ();
  EXPECT_TRUE (heir.of_kind (RST_MSG_START).empty ());
  EXPECT_TRUE (heir.of_kind (RST_MSG_STOP).empty ());
  heir.report (1, "i-1", { Planner::ended (1, task_a0, 1, RST_END_DONE) });
  heir.settle ();
  heir.call (8, RST_OPERATION_READ, job_a);
  EXPECT_EQ (heir.reply_to (8)->reply.state, RST_JOB_COMPLETED);
}

TEST (Succession, UsesNoAttemptThatThePredecessorMayHaveUsed)
{
  Planner former;
  Planner heir (2);

  former.begin (1);
  former.call (7, RST_OPERATION_SUBMIT, job_a, Planner::job (1, 1000));
  former.settle ();
  ASSERT_EQ (former.of_kind (RST_MSG_START)[0].attempt, 1);
  heir.restore (former);
  EXPECT_EQ (heir.unreadable, 0);
  heir.configure ();
  heir.agent (1);
  heir.instance ("i-0");
  rst_planner_restored (heir.planner);
  // The run has ended in an earlier life that nobody saw.
  heir.report (1, "i-0", {}, 2);
  heir.settle ();
  ASSERT_EQ (heir.of_kind (RST_MSG_START).size (), 1u);
  EXPECT_GT (heir.of_kind (RST_MSG_START)[0].attempt, 1);
}

TEST (Succession, LetsAttemptsRiseBeyondTwoBytes)
{
  Planner former;
  Planner heir (2);

  former.begin (1);
  former.call (7, RST_OPERATION_SUBMIT, job_a, Planner::job (1, 1000));
  former.settle ();
  former.report (1, "i-0",
                 { Planner::ended (1, task_a0, 70000, RST_END_FAILED) });
  former.settle ();
  heir.restore (former);
  EXPECT_EQ (heir.unreadable, 0);
  heir.configure ();
  heir.agent (1);
  heir.instance ("i-0");
  rst_planner_restored (heir.planner);
  heir.report (1, "i-0", {}, 2);
  heir.settle ();
  ASSERT_EQ (heir.of_kind (RST_MSG_START).size (), 1u);
  EXPECT_GT (heir.of_kind (RST_MSG_START)[0].attempt, 70000);
}

TEST (Succession, CountsAJobThatNobodyStartedAsWaiting)
{
  Planner former;
  Planner heir (2);
  Planner third (3);

  former.begin (1);
  former.call (7, RST_OPERATION_SUBMIT, job_a, Planner::job (1, 9000));
  former.settle ();
  heir.restore (former);
  EXPECT_EQ (heir.unreadable, 0);
  heir.configure ();
  rst_planner_restored (heir.planner);
  heir.call (8, RST_OPERATION_SUBMIT, job_b, Planner::job (1, 9000));
  heir.settle ();
  third.restore (former);
  EXPECT_EQ (third.unreadable, 0);
  third.restore (heir);
  EXPECT_EQ (third.unreadable, 0);
  third.configure ();
  rst_planner_restored (third.planner);
  third.call (9, RST_OPERATION_READ, "");
  EXPECT_EQ (third.reply_to (9)->reply.count, 2);
}

TEST (Succession, CountsWhatMayStillRunAgainstACustomersLimit)
{
  Planner former;
  Planner heir (2);

  former.begin (2, false, 4500);
  former.call (7, RST_OPERATION_SUBMIT, job_a, Planner::job (4, 1000));
  former.settle ();
  heir.restore (former);
  EXPECT_EQ (heir.unreadable, 0);
  heir.configure (4500);
  heir.agent (1);
  heir.instance ("i-0");
  heir.instance ("i-1");
  rst_planner_restored (heir.planner);
  heir.report (1, "i-0", {});
  heir.call (8, RST_OPERATION_SUBMIT, job_b, Planner::job (1, 1000));
  heir.settle ();
  // Four tasks may run on i-1, which has not said so yet.
  EXPECT_TRUE (heir.of_kind (RST_MSG_START).empty ());
  heir.report (1, "i-1",
               { Planner::ended (1, task_a0, 1, RST_END_DONE),
                 Planner::running (task_a1, 1) });
  heir.settle ();
  EXPECT_EQ (heir.of_kind (RST_MSG_START).size (), 3u);
}

TEST (Succession, CountsACancelledJobsRunsUntilTheyHaveEnded)
{
  Planner former;
  Planner heir (2);

  former.begin (2, false, 1500);
  former.call (7, RST_OPERATION_SUBMIT, job_a, Planner::job (1, 1000));
  former.settle ();
  std::string at = former.of_kind (RST_MSG_START)[0].id;
  std::string other = at == "i-0" ? "i-1" : "i-0";

  former.call (8, RST_OPERATION_CANCEL, job_a);
  former.settle ();
  heir.restore (former);
  EXPECT_EQ (heir.unreadable, 0);
  heir.configure (1500);
  heir.agent (1);
  heir.instance ("i-0");
  heir.instance ("i-1");
  rst_planner_restored (heir.planner);
  heir.report (1, at, { Planner::running (task_a0, 1) });
  heir.report (1, other, {});
  heir.call (9, RST_OPERATION_SUBMIT, job_b, Planner::job (1, 1000));
  heir.settle ();
  EXPECT_FALSE (heir.of_kind (RST_MSG_STOP).empty ());
  EXPECT_TRUE (heir.of_kind (RST_MSG_START).empty ());
  heir.report (1, at, { Planner::ended (1, task_a0, 1, RST_END_STOPPED) });
  heir.settle ();
  EXPECT_EQ (heir.of_kind (RST_MSG_START).size (), 1u);
}

TEST (Succession, DoesNotWaitForAnInstanceThatWasOutBefore)
{
  Planner former;
  Planner heir (2);

  former.begin (2);
  former.call (7, RST_OPERATION_SUBMIT, job_a, Planner::job (1, 3000));
  former.settle ();
  std::string lost = former.of_kind (RST_MSG_START)[0].id;
  std::string other = lost == "i-0" ? "i-1" : "i-0";

  former.call (8, RST_OPERATION_SUBMIT, job_b, Planner::job (1, 3000));
  former.settle ();
  former.report (1, lost, {}, 1, RST_RESULT_UNKNOWN, 5000);
  former.settle ();
  former.pass (500);
  former.settle ();
  heir.restore (former);
  EXPECT_EQ (heir.unreadable, 0);
  heir.set_time (former.now);
  heir.configure ();
  heir.agent (1);
  heir.instance (other);
  rst_planner_restored (heir.planner);
  heir.report (1, other, {});
  heir.settle ();
  // What may still run on the lost instance waits, the other does not.
  ASSERT_EQ (heir.of_kind (RST_MSG_START).size (), 1u);
  EXPECT_EQ (heir.of_kind (RST_MSG_START)[0].task, task_b0);
  int attempt = (int)heir.of_kind (RST_MSG_START)[0].number;

  heir.sent.clear ();
  heir.report (1, other,
               { Planner::ended (1, task_b0, attempt, RST_END_DONE) });
  heir.pass (2000);
  EXPECT_TRUE (heir.of_kind (RST_MSG_START).empty ());
  heir.pass (7000);
  heir.settle ();
  ASSERT_EQ (heir.of_kind (RST_MSG_START).size (), 1u);
  EXPECT_EQ (heir.of_kind (RST_MSG_START)[0].task, task_a0);
}

TEST (Succession, StartsNothingOfAJobThatALaterRecordEnds)
{
  Planner former;
  Planner heir (2);

  former.begin (2);
  former.call (7, RST_OPERATION_SUBMIT, job_a, Planner::job (1, 3000));
  former.settle ();
  std::string lost = former.of_kind (RST_MSG_START)[0].id;

  former.report (1, lost, {}, 1, RST_RESULT_UNKNOWN, 5000);
  former.settle ();
  former.pass (500);
  former.settle ();
  former.report (1, lost, { Planner::running (task_a0, 1) });
  former.settle ();
  former.report (1, lost, { Planner::ended (1, task_a0, 1, RST_END_DONE) });
  former.settle ();
  heir.restore (former);
  EXPECT_EQ (heir.unreadable, 0);
  heir.configure ();
  heir.agent (1);
  heir.instance ("i-0");
  heir.instance ("i-1");
  rst_planner_restored (heir.planner);
  heir.report (1, "i-0", {});
  heir.report (1, "i-1", {});
  heir.settle ();
  EXPECT_TRUE (heir.of_kind (RST_MSG_START).empty ());
}

TEST (Succession, PassesOnWhatMayRunOnAnInstanceThatIsOut)
{
  Planner former;
  Planner heir (2);
  Planner third (3);

  former.begin (2);
  former.call (7, RST_OPERATION_SUBMIT, job_a, Planner::job (1, 3000));
  former.settle ();
  std::string lost = former.of_kind (RST_MSG_START)[0].id;
  std::string other = lost == "i-0" ? "i-1" : "i-0";

  former.report (1, lost, {}, 1, RST_RESULT_UNKNOWN, 5000);
  former.settle ();
  former.pass (500);
  former.settle ();
  heir.restore (former);
  EXPECT_EQ (heir.unreadable, 0);
  heir.set_time (former.now);
  heir.configure ();
  rst_planner_restored (heir.planner);
  heir.settle ();
  third.restore (former);
  EXPECT_EQ (third.unreadable, 0);
  third.restore (heir);
  EXPECT_EQ (third.unreadable, 0);
  third.set_time (heir.now);
  third.configure ();
  third.agent (1);
  third.instance (other);
  rst_planner_restored (third.planner);
  third.report (1, other, {});
  third.settle ();
  EXPECT_TRUE (third.of_kind (RST_MSG_START).empty ());
}

TEST (Succession, HoldsNothingBeforeTheJournalIsRead)
{
  Planner former;
  Planner heir (2);

  former.begin (1);
  heir.restore (former);
  EXPECT_EQ (heir.unreadable, 0);
  heir.configure ();
  heir.agent (1);
  heir.agent (2);
  heir.instance ("i-0");
  rst_planner_link_closed (heir.planner, 2);
  EXPECT_TRUE (heir.of_kind (RST_MSG_HOLD).empty ());
  rst_planner_restored (heir.planner);
  EXPECT_EQ (heir.of_kind (RST_MSG_HOLD).size (), 1u);
}

TEST (Succession, KeepsCountsOfFailedRuns)
{
  Planner former;
  Planner heir (2);

  former.begin (1);
  former.call (7, RST_OPERATION_SUBMIT, job_a, Planner::job (1, 1000));
  former.settle ();
  former.report (1, "i-0", { Planner::ended (1, task_a0, 1, RST_END_FAILED) });
  former.settle ();
  heir.restore (former);
  EXPECT_EQ (heir.unreadable, 0);
  heir.configure ();
  heir.agent (1);
  heir.instance ("i-0");
  rst_planner_restored (heir.planner);
  heir.report (1, "i-0",
               { Planner::ended (1, task_a0, 1, RST_END_FAILED),
                 Planner::ended (2, task_a0, 2, RST_END_FAILED) });
  heir.settle ();
  heir.call (8, RST_OPERATION_READ, job_a);
  EXPECT_EQ (heir.reply_to (8)->reply.state, RST_JOB_RUNNING);
  heir.report (1, "i-0", { Planner::ended (3, task_a0, 3, RST_END_FAILED) });
  heir.settle ();
  heir.call (9, RST_OPERATION_READ, job_a);
  EXPECT_EQ (heir.reply_to (9)->reply.state, RST_JOB_FAILED);
}

TEST (Succession, TakesTheOtherRecordsOfASegmentWithABadOne)
{
  Planner former;
  Planner heir (2);

  former.begin (1);
  former.commits.clear ();
  former.call (7, RST_OPERATION_SUBMIT, job_a, Planner::job (1, 1000));
  former.pass (40);
  ASSERT_EQ (former.commits.size (), 1u);
  ASSERT_EQ (former.commits[0].data[0], '\x91');
  /* A record of an unknown kind stands before the job's. */
  std::string data = "\x92\x91\x63" + former.commits[0].data.substr (1);

  EXPECT_FALSE (
      rst_planner_restore (heir.planner, 1, data.data (), data.size ()));
  heir.configure ();
  rst_planner_restored (heir.planner);
  heir.call (8, RST_OPERATION_READ, job_a);
  EXPECT_EQ (heir.reply_to (8)->reply.outcome, RST_OUTCOME_STATE);
}

TEST (Succession, SkipsASegmentThatCantBeRead)
{
  Planner heir (2);

  EXPECT_FALSE (rst_planner_restore (heir.planner, 1, "\x93\x01", 2));
  EXPECT_FALSE (rst_planner_restore (heir.planner, 2, "none", 4));
}

// Hands in and cancels a job that fits nowhere: two commits.
