#include <gtest/gtest.h>

#include "cell_harness.h"

using harness::Planner;
using harness::Sent;

static const char *const job_a = "00000000000000aa";
static const char *const job_b = "00000000000000bb";
static const std::string task_a0 = "00000000000000aa.0.0.0";
static const std::string task_a1 = "00000000000000aa.0.0.1";
static const std::string task_b0 = "00000000000000bb.0.0.0";

TEST (Planner, AcceptsAndStartsOnlyWhatIsStored)
{
  Planner cell;

  cell.begin (1);
  cell.call (7, RST_OPERATION_SUBMIT, job_a, Planner::job (1, 1000));
  cell.pass (40);
  EXPECT_EQ (cell.reply_to (7), nullptr);
  EXPECT_TRUE (cell.of_kind (RST_MSG_START).empty ());
  cell.store ();
  ASSERT_NE (cell.reply_to (7), nullptr);
  EXPECT_EQ (cell.reply_to (7)->reply.outcome, RST_OUTCOME_OK);
  ASSERT_EQ (cell.of_kind (RST_MSG_START).size (), 1u);
  EXPECT_EQ (cell.of_kind (RST_MSG_START)[0].task, task_a0);
}

TEST (Planner, LetsAnEndBeForgottenOnlyOnceItIsStored)
{
  Planner cell;

  cell.begin (1);
  cell.call (7, RST_OPERATION_SUBMIT, job_a, Planner::job (1, 1000));
  cell.settle ();
  cell.answer (1, RST_MSG_STARTED, "i-0", task_a0, 1, RST_RESULT_OK);
  cell.sent.clear ();
  cell.report (1, "i-0", { Planner::ended (1, task_a0, 1, RST_END_DONE) });
  cell.pass (40);
  EXPECT_TRUE (cell.of_kind (RST_MSG_ACK).empty ());
  cell.call (8, RST_OPERATION_READ, job_a);
  EXPECT_EQ (cell.reply_to (8)->reply.state, RST_JOB_RUNNING);
  cell.store ();
  ASSERT_EQ (cell.of_kind (RST_MSG_ACK).size (), 1u);
  EXPECT_EQ (cell.of_kind (RST_MSG_ACK)[0].number, 1);
  cell.call (9, RST_OPERATION_READ, job_a);
  EXPECT_EQ (cell.reply_to (9)->reply.state, RST_JOB_COMPLETED);
}

TEST (Planner, CountsFailedRunsInWhateverOrderTheyAreListed)
{
  Planner cell;

  cell.begin (2);
  cell.call (7, RST_OPERATION_SUBMIT, job_a, Planner::job (1, 1000));
  cell.settle ();
  cell.report (1, "i-1", { Planner::ended (1, task_a0, 3, RST_END_FAILED) });
  cell.report (1, "i-0",
               { Planner::ended (1, task_a0, 1, RST_END_FAILED),
                 Planner::ended (2, task_a0, 2, RST_END_FAILED) });
  cell.settle ();
  cell.call (8, RST_OPERATION_READ, job_a);
  EXPECT_EQ (cell.reply_to (8)->reply.state, RST_JOB_FAILED);
}

TEST (Planner, CountsAFailedRunOnce)
{
  Planner cell;

  cell.begin (2);
  cell.call (7, RST_OPERATION_SUBMIT, job_a, Planner::job (1, 1000));
  cell.settle ();
  for (int64_t born = 1; born < 5; born++)
    cell.report (1, "i-0", { Planner::ended (1, task_a0, 1, RST_END_FAILED) },
                 born);
  cell.settle ();
  cell.call (8, RST_OPERATION_READ, job_a);
  EXPECT_EQ (cell.reply_to (8)->reply.state, RST_JOB_RUNNING);
}

TEST (Planner, RestartsAnUnansweredStartOnlyAfterItWasStopped)
{
  Planner cell;

  cell.begin (1);
  cell.call (7, RST_OPERATION_SUBMIT, job_a, Planner::job (1, 1000));
  cell.settle ();
  cell.answer (1, RST_MSG_STARTED, "i-0", task_a0, 1, RST_RESULT_UNKNOWN);
  cell.sent.clear ();
  cell.report (1, "i-0", {});
  cell.pass (5000);
  EXPECT_TRUE (cell.of_kind (RST_MSG_START).empty ());
  EXPECT_FALSE (cell.of_kind (RST_MSG_STOP).empty ());
  cell.answer (1, RST_MSG_STOPPED, "i-0", task_a0, 1, RST_RESULT_OK);
  cell.pass (500);
  EXPECT_TRUE (cell.of_kind (RST_MSG_START).empty ());
  cell.report (1, "i-0", {});
  cell.pass (500);
  ASSERT_EQ (cell.of_kind (RST_MSG_START).size (), 1u);
  EXPECT_EQ (cell.of_kind (RST_MSG_START)[0].number, 2);
}

TEST (Planner, RaisesTheTokenBeforeItGivesUpWhatAnEarlierLifeRan)
{
  Planner cell;
  int64_t fence;

  cell.begin (2);
  fence = cell.fences["i-0"];
  cell.call (7, RST_OPERATION_SUBMIT, job_a, Planner::job (1, 1000));
  cell.settle ();
  ASSERT_EQ (cell.of_kind (RST_MSG_START).size (), 1u);
  std::string id = cell.of_kind (RST_MSG_START)[0].id;

  cell.answer (1, RST_MSG_STARTED, id, task_a0, 1, RST_RESULT_OK);
  cell.sent.clear ();
  /* The new life is seen under the token that late orders carry too. */
  cell.report_once (1, id, {}, 2);
  cell.pass (200);
  EXPECT_GT (cell.fences[id], fence);
  EXPECT_TRUE (cell.of_kind (RST_MSG_START).empty ());
  /* A start to the earlier life was carried out in between. */
  cell.report_once (1, id, { Planner::running (task_a0, 1) }, 2);
  cell.settle ();
  EXPECT_TRUE (cell.of_kind (RST_MSG_START).empty ());
}

TEST (Planner, TakesNoReportUnderAnEarlierToken)
{
  Planner cell;

  cell.begin (1);
  cell.call (7, RST_OPERATION_SUBMIT, job_a, Planner::job (1, 1000));
  cell.settle ();
  cell.report (1, "i-0", { Planner::running (task_a0, 1) });
  cell.sent.clear ();
  cell.fences["i-0"] -= 1;
  cell.report_once (1, "i-0", {});
  cell.settle ();
  EXPECT_TRUE (cell.of_kind (RST_MSG_START).empty ());
}

TEST (Planner, KeepsWithinAnInstancesRoomUntilAnEndIsListed)
{
  Planner cell;

  cell.begin (1);
  cell.call (7, RST_OPERATION_SUBMIT, job_a, Planner::job (3, 1500));
  cell.settle ();
  EXPECT_EQ (cell.of_kind (RST_MSG_START).size (), 2u);
  cell.call (8, RST_OPERATION_CANCEL, job_a);
  cell.call (9, RST_OPERATION_SUBMIT, job_b, Planner::job (1, 1500));
  cell.sent.clear ();
  cell.settle ();
  EXPECT_TRUE (cell.of_kind (RST_MSG_START).empty ());
  cell.report (1, "i-0", { Planner::ended (1, task_a0, 1, RST_END_STOPPED) });
  cell.settle ();
  ASSERT_EQ (cell.of_kind (RST_MSG_START).size (), 1u);
  EXPECT_EQ (cell.of_kind (RST_MSG_START)[0].task, task_b0);
}

TEST (Planner, AnswersACancelWhenItIsStoredAndStopsWhatRuns)
{
  Planner cell;

  cell.begin (1);
  cell.call (7, RST_OPERATION_SUBMIT, job_a, Planner::job (2, 1000));
  cell.settle ();
  cell.call (8, RST_OPERATION_CANCEL, job_a);
  EXPECT_EQ (cell.of_kind (RST_MSG_STOP).size (), 2u);
  cell.pass (40);
  EXPECT_EQ (cell.reply_to (8), nullptr);
  cell.store ();
  ASSERT_NE (cell.reply_to (8), nullptr);
  EXPECT_EQ (cell.reply_to (8)->reply.outcome, RST_OUTCOME_OK);
}

TEST (Planner, StartsAGangWholeOrNotAtAll)
{
  Planner cell;

  cell.begin (1);
  cell.call (7, RST_OPERATION_SUBMIT, job_a, Planner::job (3, 1500, true));
  cell.settle ();
  EXPECT_TRUE (cell.of_kind (RST_MSG_START).empty ());
  cell.instance ("i-1");
  cell.report (1, "i-1", {});
  cell.settle ();
  EXPECT_EQ (cell.of_kind (RST_MSG_START).size (), 3u);
  cell.answer (1, RST_MSG_STARTED, "i-0", task_a0, 1, RST_RESULT_REFUSED);
  EXPECT_EQ (cell.of_kind (RST_MSG_STOP).size (), 2u);
}

TEST (Planner, KeepsACustomerBelowItsLimit)
{
  Planner cell;

  cell.begin (3, false, 2500);
  cell.call (7, RST_OPERATION_SUBMIT, job_a, Planner::job (5, 1000));
  cell.settle ();
  EXPECT_EQ (cell.of_kind (RST_MSG_START).size (), 2u);
}

TEST (Planner, StartsNothingWhereItMayNot)
{
  Planner cell;

  cell.begin (2);
  cell.instance ("i-0", true);
  rst_planner_evacuate (cell.planner, "a", true);
  cell.call (7, RST_OPERATION_SUBMIT, job_a, Planner::job (1, 1000));
  cell.settle ();
  EXPECT_TRUE (cell.of_kind (RST_MSG_START).empty ());
  rst_planner_evacuate (cell.planner, "a", false);
  cell.settle ();
  ASSERT_EQ (cell.of_kind (RST_MSG_START).size (), 1u);
  EXPECT_EQ (cell.of_kind (RST_MSG_START)[0].id, "i-1");
}

TEST (Planner, KeepsTheOrderOfSteps)
{
  Planner cell;

  cell.begin (1);
  cell.call (7, RST_OPERATION_SUBMIT, job_a, Planner::job (2, 1000, false, 2));
  cell.settle ();
  EXPECT_EQ (cell.of_kind (RST_MSG_START).size (), 2u);
  cell.sent.clear ();
  cell.report (1, "i-0",
               { Planner::running (task_a1, 1),
                 Planner::ended (1, task_a0, 1, RST_END_DONE) });
  cell.settle ();
  EXPECT_TRUE (cell.of_kind (RST_MSG_START).empty ());
  cell.report (1, "i-0", { Planner::ended (2, task_a1, 1, RST_END_DONE) });
  cell.pass (10);
  EXPECT_EQ (cell.of_kind (RST_MSG_START).size (), 2u);
}

TEST (Planner, WaitsForTheLeaseOfAnInstanceThatDoesNotAnswer)
{
  Planner cell;

  cell.begin (2);
  cell.call (7, RST_OPERATION_SUBMIT, job_a, Planner::job (1, 1000));
  cell.settle ();
  std::string first = cell.of_kind (RST_MSG_START)[0].id;
  cell.answer (1, RST_MSG_STARTED, first, task_a0, 1, RST_RESULT_OK);
  cell.sent.clear ();
  cell.report (1, first, {}, 1, RST_RESULT_UNKNOWN, 5000);
  cell.pass (5000);
  EXPECT_TRUE (cell.of_kind (RST_MSG_START).empty ());
  cell.pass (1000);
  ASSERT_EQ (cell.of_kind (RST_MSG_START).size (), 1u);
  EXPECT_NE (cell.of_kind (RST_MSG_START)[0].id, first);
}

TEST (Planner, RestartsWhatRanInAnInstancesEarlierLife)
{
  Planner cell;

  cell.begin (1);
  cell.call (7, RST_OPERATION_SUBMIT, job_a, Planner::job (1, 1000));
  cell.settle ();
  cell.answer (1, RST_MSG_STARTED, "i-0", task_a0, 1, RST_RESULT_OK);
  cell.sent.clear ();
  cell.report (1, "i-0", {}, 2);
  cell.settle ();
  EXPECT_EQ (cell.of_kind (RST_MSG_START).size (), 1u);
}

TEST (Planner, StartsNothingOnAnInstanceBetweenTwoAgents)
{
  Planner cell;

  cell.begin (4);
  cell.agent (2);
  cell.call (7, RST_OPERATION_SUBMIT, job_a, Planner::job (16, 1000));
  cell.settle ();
  for (const Sent &start : cell.of_kind (RST_MSG_START))
    EXPECT_EQ (start.link, 1u);
  size_t before = cell.of_kind (RST_MSG_START).size ();
  for (int i = 0; i < 4; i++)
    cell.report (2, "i-" + std::to_string (i), {});
  cell.settle ();
  EXPECT_GT (cell.of_kind (RST_MSG_START).size (), before);
}

TEST (Planner, StartsNothingOnInstancesBornSinceTheStoreWasLost)
{
  Planner cell;

  cell.begin (1);
  cell.call (7, RST_OPERATION_SUBMIT, job_a, Planner::job (1, 1000));
  cell.settle ();
  cell.answer (1, RST_MSG_STARTED, "i-0", task_a0, 1, RST_RESULT_OK);
  cell.sent.clear ();
  cell.confirms = false;
  cell.pass (500);
  cell.report (1, "i-0", {}, 2);
  cell.pass (3000);
  EXPECT_TRUE (cell.of_kind (RST_MSG_START).empty ());
  cell.confirms = true;
  cell.pass (50);
  EXPECT_EQ (cell.of_kind (RST_MSG_START).size (), 1u);
}

TEST (Planner, AsksForAdviceAndStartsWhereItMay)
{
  Planner cell;

  cell.begin (4, true);
  cell.call (7, RST_OPERATION_SUBMIT, job_a, Planner::job (2, 1000));
  cell.settle ();
  ASSERT_EQ (cell.of_kind (RST_MSG_ADVISE).size (), 1u);
  EXPECT_TRUE (cell.of_kind (RST_MSG_START).empty ());
  cell.advice (1, cell.of_kind (RST_MSG_ADVISE)[0].number, { "i-2" });
  cell.pass (10);
  ASSERT_EQ (cell.of_kind (RST_MSG_START).size (), 2u);
  EXPECT_EQ (cell.of_kind (RST_MSG_START)[0].id, "i-2");
}

TEST (Planner, TellsWhichCallsItTakes)
{
  Planner cell;

  cell.begin (1);
  cell.call (1, RST_OPERATION_READ, job_a);
  cell.call (2, RST_OPERATION_READ, job_a, nullptr, "wrong");
  cell.call (3, RST_OPERATION_READ, job_a, nullptr, "k", "/none/");
  cell.call (4, RST_OPERATION_SUBMIT, "short", Planner::job (1, 1));
  cell.call (5, RST_OPERATION_READ, "");
  EXPECT_EQ (cell.reply_to (1)->reply.outcome, RST_OUTCOME_NO_JOB);
  EXPECT_EQ (cell.reply_to (2)->reply.outcome, RST_OUTCOME_NO_KEY);
  EXPECT_EQ (cell.reply_to (3)->reply.outcome, RST_OUTCOME_NO_QUEUE);
  EXPECT_EQ (cell.reply_to (4)->reply.outcome, RST_OUTCOME_BAD);
  EXPECT_EQ (cell.reply_to (5)->reply.outcome, RST_OUTCOME_COUNT);
  EXPECT_EQ (cell.reply_to (5)->reply.count, 0);
}

TEST (Planner, CountsAJobAsWaitingUntilAnInstanceHasATaskOfIt)
{
  Planner cell;

  cell.begin (1);
  cell.call (7, RST_OPERATION_SUBMIT, job_a, Planner::job (1, 1000));
  cell.settle ();
  cell.call (8, RST_OPERATION_READ, "");
  EXPECT_EQ (cell.reply_to (8)->reply.count, 1);
  cell.answer (1, RST_MSG_STARTED, "i-0", task_a0, 1, RST_RESULT_OK);
  cell.call (9, RST_OPERATION_READ, "");
  EXPECT_EQ (cell.reply_to (9)->reply.count, 0);
}

TEST (Planner, AsksOnceForAJobThatIsNotStoredYet)
{
  Planner cell;

  cell.begin (8, true);
  cell.call (7, RST_OPERATION_SUBMIT, job_a, Planner::job (2, 1000));
  cell.pass (5);
  ASSERT_EQ (cell.of_kind (RST_MSG_ADVISE).size (), 1u);
  cell.advice (1, cell.of_kind (RST_MSG_ADVISE)[0].number, {});
  cell.pass (5000);
  EXPECT_EQ (cell.of_kind (RST_MSG_ADVISE).size (), 1u);
}

TEST (Planner, IgnoresAnOlderConfiguration)
{
  Planner cell;

  cell.begin (1);
  cell.configure (0, false, 5);
  cell.configure (100, false, 4);
  cell.call (7, RST_OPERATION_SUBMIT, job_a, Planner::job (1, 1000));
  cell.settle ();
  EXPECT_EQ (cell.of_kind (RST_MSG_START).size (), 1u);
}

// ---- succession

static void
restore_all (Planner &heir, const Planner &former)
{
  for (const auto &commit : former.commits)
    EXPECT_TRUE (rst_planner_restore (heir.planner, commit.segment,
                                      commit.data.data (),
                                      commit.data.size ()));
}

TEST (Succession, WaitsUntilEveryInheritedInstanceIsKnown)
{
  Planner former;
  Planner heir (2);

  former.begin (2);
  former.call (7, RST_OPERATION_SUBMIT, job_a, Planner::job (1, 1000));
  former.settle ();
  restore_all (heir, former);
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
  restore_all (heir, former);
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
  restore_all (heir, former);
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
  restore_all (heir, former);
  heir.configure ();
  rst_planner_restored (heir.planner);
  heir.call (8, RST_OPERATION_SUBMIT, job_b, Planner::job (1, 9000));
  heir.settle ();
  restore_all (third, former);
  restore_all (third, heir);
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
  restore_all (heir, former);
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
  restore_all (heir, former);
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
  restore_all (heir, former);
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
  restore_all (heir, former);
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
  restore_all (heir, former);
  heir.set_time (former.now);
  heir.configure ();
  rst_planner_restored (heir.planner);
  heir.settle ();
  restore_all (third, former);
  restore_all (third, heir);
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
  restore_all (heir, former);
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
  restore_all (heir, former);
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

TEST (Succession, SkipsASegmentThatCantBeRead)
{
  Planner heir (2);

  EXPECT_FALSE (rst_planner_restore (heir.planner, 1, "\x93\x01", 2));
  EXPECT_FALSE (rst_planner_restore (heir.planner, 2, "none", 4));
}

// Hands in and cancels a job that fits nowhere: two commits.
static void
add_segments (Planner &former, int number)
{
  char id[17];

  snprintf (id, sizeof id, "%016x", 0x1000 + number);
  former.call (100, RST_OPERATION_SUBMIT, id, Planner::job (1, 9000));
  former.pass (35);
  former.store ();
  former.call (101, RST_OPERATION_CANCEL, id);
  former.pass (35);
  former.store ();
}

// The segments that are left in the store.
static std::vector<harness::Commit>
left_segments (const Planner &former)
{
  std::vector<harness::Commit> kept;

  for (const auto &commit : former.commits)
    {
      for (int64_t removed : commit.removed)
        std::erase_if (kept, [removed] (const harness::Commit &segment) {
          return segment.segment == removed;
        });
      kept.push_back (commit);
    }
  return kept;
}

TEST (Journal, RewritesWhatMayRunBehindTheJobsThatItNames)
{
  Planner former;
  Planner heir (2);

  former.begin (2);
  former.call (7, RST_OPERATION_SUBMIT, job_a, Planner::job (1, 3000));
  former.settle ();
  std::string lost = former.of_kind (RST_MSG_START)[0].id;
  std::string other = lost == "i-0" ? "i-1" : "i-0";

  for (int i = 0; former.commits.size () < 596; i++)
    {
      rst_run run = Planner::running (task_a0, 1);

      run.percent = i % 100;
      former.report (1, lost, { run });
      add_segments (former, i);
    }
  former.report (1, lost, {}, 1, RST_RESULT_UNKNOWN, 5000);
  for (int i = 300; i < 306; i++)
    add_segments (former, i);
  former.commits = left_segments (former);
  ASSERT_GT (former.commits[0].segment, 1);
  heir.set_time (former.now);
  restore_all (heir, former);
  heir.configure ();
  heir.agent (1);
  heir.instance (other);
  rst_planner_restored (heir.planner);
  heir.report (1, other, {});
  heir.settle ();
  EXPECT_TRUE (heir.of_kind (RST_MSG_START).empty ());
}

TEST (Journal, RewritesOldSegmentsAndLosesNothing)
{
  Planner former;
  Planner heir (2);

  former.begin (1);
  former.call (7, RST_OPERATION_SUBMIT, job_a, Planner::job (1, 9000));
  former.settle ();
  for (int i = 0; i < 700; i++)
    add_segments (former, i);
  former.commits = left_segments (former);
  EXPECT_LT (former.commits.size (), 700u);
  restore_all (heir, former);
  heir.configure ();
  rst_planner_restored (heir.planner);
  heir.call (8, RST_OPERATION_READ, job_a);
  EXPECT_EQ (heir.reply_to (8)->reply.outcome, RST_OUTCOME_STATE);
  heir.call (9, RST_OPERATION_READ, "0000000000001000");
  EXPECT_EQ (heir.reply_to (9)->reply.outcome, RST_OUTCOME_STATE);
}
