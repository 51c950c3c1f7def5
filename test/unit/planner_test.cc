// Tests of the planner: its orders, replies and commits under the events that
// the harness delivers.
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

  cell.answers_commits = false;
  cell.start_serving (1);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a, Planner::make_job (1, 1000));
  cell.advance_time (40);
  EXPECT_EQ (cell.reply_to (7), nullptr);
  EXPECT_TRUE (cell.sent_of_kind (RST_MSG_START).empty ());
  cell.complete_commit ();
  ASSERT_NE (cell.reply_to (7), nullptr);
  EXPECT_EQ (cell.reply_to (7)->reply.outcome, RST_OUTCOME_OK);
  ASSERT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 1u);
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_START)[0].task, task_a0);
}

TEST (Planner, LetsAnEndBeForgottenOnlyOnceItIsStored)
{
  Planner cell;

  cell.answers_commits = false;
  cell.start_serving (1);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a, Planner::make_job (1, 1000));
  cell.settle ();
  cell.answer_order (1, RST_MSG_STARTED, "i-0", task_a0, 1, RST_RESULT_OK);
  cell.sent.clear ();
  cell.report (1, "i-0",
               { Planner::make_ended_run (1, task_a0, 1, RST_END_DONE) });
  cell.advance_time (40);
  EXPECT_TRUE (cell.sent_of_kind (RST_MSG_ACK).empty ());
  cell.send_call (8, RST_OPERATION_READ, job_a);
  EXPECT_EQ (cell.reply_to (8)->reply.state, RST_JOB_RUNNING);
  cell.complete_commit ();
  ASSERT_EQ (cell.sent_of_kind (RST_MSG_ACK).size (), 1u);
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_ACK)[0].number, 1);
  cell.send_call (9, RST_OPERATION_READ, job_a);
  EXPECT_EQ (cell.reply_to (9)->reply.state, RST_JOB_COMPLETED);
}

TEST (Planner, CountsFailedRunsInAnyOrder)
{
  Planner cell;

  cell.start_serving (2);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a, Planner::make_job (1, 1000));
  cell.settle ();
  cell.report (1, "i-1",
               { Planner::make_ended_run (1, task_a0, 3, RST_END_FAILED) });
  cell.report (1, "i-0",
               { Planner::make_ended_run (1, task_a0, 1, RST_END_FAILED),
                 Planner::make_ended_run (2, task_a0, 2, RST_END_FAILED) });
  cell.settle ();
  cell.send_call (8, RST_OPERATION_READ, job_a);
  EXPECT_EQ (cell.reply_to (8)->reply.state, RST_JOB_FAILED);
}

TEST (Planner, CountsAFailedRunOnce)
{
  Planner cell;

  cell.start_serving (2);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a, Planner::make_job (1, 1000));
  cell.settle ();
  for (int64_t incarnation = 1; incarnation < 5; incarnation++)
    cell.report (1, "i-0",
                 { Planner::make_ended_run (1, task_a0, 1, RST_END_FAILED) },
                 incarnation);
  cell.settle ();
  cell.send_call (8, RST_OPERATION_READ, job_a);
  EXPECT_EQ (cell.reply_to (8)->reply.state, RST_JOB_RUNNING);
}

TEST (Planner, RestartsAnUnansweredStartOnlyAfterItWasStopped)
{
  Planner cell;

  cell.start_serving (1);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a, Planner::make_job (1, 1000));
  cell.settle ();
  cell.answer_order (1, RST_MSG_STARTED, "i-0", task_a0, 1,
                     RST_RESULT_UNKNOWN);
  cell.sent.clear ();
  cell.report (1, "i-0", {});
  cell.advance_time (5000);
  EXPECT_TRUE (cell.sent_of_kind (RST_MSG_START).empty ());
  EXPECT_FALSE (cell.sent_of_kind (RST_MSG_STOP).empty ());
  cell.answer_order (1, RST_MSG_STOPPED, "i-0", task_a0, 1, RST_RESULT_OK);
  cell.advance_time (500);
  EXPECT_TRUE (cell.sent_of_kind (RST_MSG_START).empty ());
  cell.report (1, "i-0", {});
  cell.advance_time (500);
  ASSERT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 1u);
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_START)[0].number, 2);
}

TEST (Planner, RaisesTheTokenBeforeRestartingRunsOfAnEarlierIncarnation)
{
  Planner cell;
  int64_t first_token;

  cell.start_serving (2);
  first_token = cell.fencing_tokens["i-0"];
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a, Planner::make_job (1, 1000));
  cell.settle ();
  ASSERT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 1u);
  std::string id = cell.sent_of_kind (RST_MSG_START)[0].id;

  cell.answer_order (1, RST_MSG_STARTED, id, task_a0, 1, RST_RESULT_OK);
  cell.sent.clear ();
  /* The new incarnation is reported under the token of the earlier one, which
     late orders carry too. */
  cell.report_once (1, id, {}, 2);
  cell.advance_time (200);
  EXPECT_GT (cell.fencing_tokens[id], first_token);
  EXPECT_TRUE (cell.sent_of_kind (RST_MSG_START).empty ());
  /* Meanwhile the new incarnation has carried out a late start order. */
  cell.report_once (1, id, { Planner::make_running_run (task_a0, 1) }, 2);
  cell.settle ();
  EXPECT_TRUE (cell.sent_of_kind (RST_MSG_START).empty ());
}

TEST (Planner, IgnoresReportsUnderAnEarlierToken)
{
  Planner cell;

  cell.start_serving (1);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a, Planner::make_job (1, 1000));
  cell.settle ();
  cell.report (1, "i-0", { Planner::make_running_run (task_a0, 1) });
  cell.sent.clear ();
  cell.fencing_tokens["i-0"] -= 1;
  cell.report_once (1, "i-0", {});
  cell.settle ();
  EXPECT_TRUE (cell.sent_of_kind (RST_MSG_START).empty ());
}

TEST (Planner, CountsTheResourcesOfARunUntilItsEndIsReported)
{
  Planner cell;

  cell.start_serving (1);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a, Planner::make_job (3, 1500));
  cell.settle ();
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 2u);
  cell.send_call (8, RST_OPERATION_CANCEL, job_a);
  cell.send_call (9, RST_OPERATION_SUBMIT, job_b, Planner::make_job (1, 1500));
  cell.sent.clear ();
  cell.settle ();
  EXPECT_TRUE (cell.sent_of_kind (RST_MSG_START).empty ());
  cell.report (1, "i-0",
               { Planner::make_ended_run (1, task_a0, 1, RST_END_STOPPED) });
  cell.settle ();
  ASSERT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 1u);
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_START)[0].task, task_b0);
}

TEST (Planner, AnswersACancelWhenItIsStoredAndStopsWhatRuns)
{
  Planner cell;

  cell.answers_commits = false;
  cell.start_serving (1);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a, Planner::make_job (2, 1000));
  cell.settle ();
  cell.send_call (8, RST_OPERATION_CANCEL, job_a);
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_STOP).size (), 2u);
  cell.advance_time (40);
  EXPECT_EQ (cell.reply_to (8), nullptr);
  cell.complete_commit ();
  ASSERT_NE (cell.reply_to (8), nullptr);
  EXPECT_EQ (cell.reply_to (8)->reply.outcome, RST_OUTCOME_OK);
}

TEST (Planner, StartsAGangAsAWholeOrNotAtAll)
{
  Planner cell;

  cell.start_serving (1);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a,
                  Planner::make_job (3, 1500, true));
  cell.settle ();
  EXPECT_TRUE (cell.sent_of_kind (RST_MSG_START).empty ());
  cell.add_instance ("i-1");
  cell.report (1, "i-1", {});
  cell.settle ();
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 3u);
  cell.answer_order (1, RST_MSG_STARTED, "i-0", task_a0, 1,
                     RST_RESULT_REJECTED);
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_STOP).size (), 2u);
}

TEST (Planner, KeepsACustomerBelowItsLimit)
{
  Planner cell;

  cell.start_serving (3, false, 2500);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a, Planner::make_job (5, 1000));
  cell.settle ();
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 2u);
}

TEST (Planner, StartsNothingOnDrainingInstancesOrInEvacuatedZones)
{
  Planner cell;

  cell.start_serving (2);
  cell.add_instance ("i-0", true);
  rst_planner_set_zone_evacuated (cell.planner, "a", true);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a, Planner::make_job (1, 1000));
  cell.settle ();
  EXPECT_TRUE (cell.sent_of_kind (RST_MSG_START).empty ());
  rst_planner_set_zone_evacuated (cell.planner, "a", false);
  cell.settle ();
  ASSERT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 1u);
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_START)[0].id, "i-1");
}

TEST (Planner, StartsStepsInOrder)
{
  Planner cell;

  cell.start_serving (1);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a,
                  Planner::make_job (2, 1000, false, 2));
  cell.settle ();
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 2u);
  cell.sent.clear ();
  cell.report (1, "i-0",
               { Planner::make_running_run (task_a1, 1),
                 Planner::make_ended_run (1, task_a0, 1, RST_END_DONE) });
  cell.settle ();
  EXPECT_TRUE (cell.sent_of_kind (RST_MSG_START).empty ());
  cell.report (1, "i-0",
               { Planner::make_ended_run (2, task_a1, 1, RST_END_DONE) });
  cell.advance_time (10);
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 2u);
}

TEST (Planner, WaitsUntilTheLeaseOfAnUnreachableInstanceHasExpired)
{
  Planner cell;

  cell.start_serving (2);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a, Planner::make_job (1, 1000));
  cell.settle ();
  std::string first = cell.sent_of_kind (RST_MSG_START)[0].id;
  cell.answer_order (1, RST_MSG_STARTED, first, task_a0, 1, RST_RESULT_OK);
  cell.sent.clear ();
  cell.report (1, first, {}, 1, RST_RESULT_UNKNOWN, 5000);
  cell.advance_time (5000);
  EXPECT_TRUE (cell.sent_of_kind (RST_MSG_START).empty ());
  cell.advance_time (1000);
  ASSERT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 1u);
  EXPECT_NE (cell.sent_of_kind (RST_MSG_START)[0].id, first);
}

TEST (Planner, RestartsTasksOfAnEarlierIncarnation)
{
  Planner cell;

  cell.start_serving (1);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a, Planner::make_job (1, 1000));
  cell.settle ();
  cell.answer_order (1, RST_MSG_STARTED, "i-0", task_a0, 1, RST_RESULT_OK);
  cell.sent.clear ();
  cell.add_instance ("i-0", false, "a", 2);
  cell.report (1, "i-0", {}, 2);
  cell.settle ();
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 1u);
}

TEST (Planner, StartsNothingUntilTheNewAgentOfAnInstanceReports)
{
  Planner cell;

  cell.start_serving (4);
  cell.add_agent (2);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a,
                  Planner::make_job (16, 1000));
  cell.settle ();
  for (const Sent &start : cell.sent_of_kind (RST_MSG_START))
    EXPECT_EQ (start.link, 1u);
  size_t before = cell.sent_of_kind (RST_MSG_START).size ();
  for (int i = 0; i < 4; i++)
    cell.report (2, "i-" + std::to_string (i), {});
  cell.settle ();
  EXPECT_GT (cell.sent_of_kind (RST_MSG_START).size (), before);
}

TEST (Planner, StartsNothingOnIncarnationsSeenSinceTheLastConfirmation)
{
  Planner cell;

  cell.answers_commits = false;
  cell.start_serving (1);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a, Planner::make_job (1, 1000));
  cell.settle ();
  cell.answer_order (1, RST_MSG_STARTED, "i-0", task_a0, 1, RST_RESULT_OK);
  cell.sent.clear ();
  cell.is_confirmed = false;
  cell.advance_time (500);
  cell.add_instance ("i-0", false, "a", 2);
  cell.report (1, "i-0", {}, 2);
  cell.advance_time (3000);
  EXPECT_TRUE (cell.sent_of_kind (RST_MSG_START).empty ());
  // The task starts again once the crash under it is stored.
  ASSERT_TRUE (cell.is_committing);
  cell.is_confirmed = true;
  cell.complete_commit ();
  cell.advance_time (50);
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 1u);
}

TEST (Planner, RequestsAdviceAndStartsOnlyWhereApproved)
{
  Planner cell;

  cell.start_serving (4, true);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a, Planner::make_job (2, 1000));
  cell.settle ();
  ASSERT_EQ (cell.sent_of_kind (RST_MSG_ADVISE).size (), 1u);
  EXPECT_TRUE (cell.sent_of_kind (RST_MSG_START).empty ());
  cell.send_advice (1, cell.sent_of_kind (RST_MSG_ADVISE)[0].number,
                    { "i-2" });
  cell.advance_time (10);
  ASSERT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 2u);
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_START)[0].id, "i-2");
}

// A ticket is valid during one life of its instance.
TEST (Planner, UsesNoTicketRequestedForAnEarlierIncarnation)
{
  Planner cell;

  cell.start_serving (1, true);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a, Planner::make_job (1, 1000));
  cell.settle ();
  ASSERT_EQ (cell.sent_of_kind (RST_MSG_ADVISE).size (), 1u);
  cell.add_instance ("i-0", false, "a", 2);
  cell.report (1, "i-0", {}, 2);
  cell.send_advice (1, cell.sent_of_kind (RST_MSG_ADVISE)[0].number,
                    { "i-0" });
  cell.settle ();
  EXPECT_TRUE (cell.sent_of_kind (RST_MSG_START).empty ());
  ASSERT_EQ (cell.sent_of_kind (RST_MSG_ADVISE).size (), 2u);
  cell.send_advice (1, cell.sent_of_kind (RST_MSG_ADVISE)[1].number,
                    { "i-0" });
  cell.settle ();
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 1u);
}

TEST (Planner, NamesManyInstancesInTheFirstRequestOfAGang)
{
  Planner cell;

  cell.start_serving (40, true);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a,
                  Planner::make_job (2, 1000, true));
  cell.settle ();
  ASSERT_EQ (cell.sent_of_kind (RST_MSG_ADVISE).size (), 1u);
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_ADVISE)[0].ids.size (), 30u);
}

TEST (Planner, RequestsMoreAdviceForAGangThatOneRequestCannotPlace)
{
  Planner cell;
  std::vector<std::string> approved;

  cell.start_serving (150, true);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a,
                  Planner::make_job (20, 4000, true));
  cell.settle ();
  for (int round = 0; round < 6; round++)
    {
      auto requests = cell.sent_of_kind (RST_MSG_ADVISE);

      if (!cell.sent_of_kind (RST_MSG_START).empty ())
        break;
      ASSERT_EQ (requests.size (), 1u);
      cell.sent.clear ();
      /* One in three is approved; the answer for an instance never changes. */
      approved.clear ();
      for (const std::string &id : requests[0].ids)
        if (std::stoi (id.substr (2)) % 3 == 0)
          approved.push_back (id);
      cell.send_advice (1, requests[0].number, approved);
      cell.advance_time (150);
    }
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 20u);
}

TEST (Planner, CountsTheRoomReservedForAGangInItsNextRequest)
{
  Planner cell;
  std::vector<std::string> approved;

  /* The first request names some of the 60 instances; 15 of them are approved,
     one too few for the gang. */
  cell.start_serving (60, true);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a,
                  Planner::make_job (16, 4000, true));
  cell.settle ();
  auto requests = cell.sent_of_kind (RST_MSG_ADVISE);
  ASSERT_EQ (requests.size (), 1u);
  ASSERT_GE (requests[0].ids.size (), 30u);
  ASSERT_LT (requests[0].ids.size (), 60u);
  approved.assign (requests[0].ids.end () - 15, requests[0].ids.end ());
  cell.send_advice (1, requests[0].number, approved);
  cell.sent.clear ();
  cell.advance_time (150);
  requests = cell.sent_of_kind (RST_MSG_ADVISE);
  ASSERT_EQ (requests.size (), 1u);
  cell.send_advice (1, requests[0].number, requests[0].ids);
  cell.advance_time (150);
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 16u);
}

TEST (Planner, SplitsTheInstancesOfAWideGangAmongAgents)
{
  Planner cell;

  cell.start_serving (200, true);
  cell.add_agent (2);
  cell.add_agent (3);
  cell.add_agent (4);
  for (int i = 0; i < 200; i++)
    for (uint64_t link = 1; link <= 4; link++)
      cell.report (link, "i-" + std::to_string (i), {});
  cell.settle ();
  cell.sent.clear ();
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a,
                  Planner::make_job (60, 4000, true));
  cell.settle ();
  auto requests = cell.sent_of_kind (RST_MSG_ADVISE);
  ASSERT_EQ (requests.size (), 3u);
  EXPECT_NE (requests[0].link, requests[1].link);
  EXPECT_EQ (requests[0].ids.size (), 52u);
  /* The gang starts once its tickets of all answers together suffice. */
  for (const auto &request : requests)
    {
      EXPECT_TRUE (cell.sent_of_kind (RST_MSG_START).empty ());
      cell.send_advice (request.link, request.number,
                        { request.ids.begin (), request.ids.begin () + 20 });
    }
  cell.settle ();
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 60u);
}

TEST (Planner, SendsTheStartsOfAStepInOneMessageToEachAgent)
{
  Planner cell;

  cell.start_serving (10);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a,
                  Planner::make_job (40, 1000));
  cell.settle ();
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 40u);
  EXPECT_EQ (cell.start_messages, 1);
}

TEST (Planner, AsksAgainWhenAnAdviceRequestIsNotAnswered)
{
  Planner cell;

  cell.start_serving (4, true);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a, Planner::make_job (2, 1000));
  cell.settle ();
  ASSERT_EQ (cell.sent_of_kind (RST_MSG_ADVISE).size (), 1u);
  cell.advance_time (4000);
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_ADVISE).size (), 1u);
  cell.advance_time (2000);
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_ADVISE).size (), 2u);
}

// Callers go on submitting while the store is silent for some seconds.
TEST (Planner, RejectsJobsThatItCannotSendToASilentStore)
{
  Planner cell;
  const char *sent_job = "00000000000000aa";
  const char *kept_job = "00000000000000ab";
  const char *late_job = "00000000000000ac";

  cell.answers_commits = false;
  cell.start_serving (2);
  cell.send_call (1, RST_OPERATION_SUBMIT, sent_job,
                  Planner::make_job (1, 1000));
  cell.advance_time (40);
  cell.is_confirmed = false;
  cell.send_call (2, RST_OPERATION_SUBMIT, kept_job,
                  Planner::make_job (1, 1000));
  cell.advance_time (800);
  EXPECT_EQ (cell.reply_to (2), nullptr);
  cell.advance_time (400);
  ASSERT_NE (cell.reply_to (2), nullptr);
  EXPECT_EQ (cell.reply_to (2)->reply.outcome, RST_OUTCOME_REJECTED);
  EXPECT_GE (cell.reply_to (2)->reply.retry_s, 1);
  cell.send_call (3, RST_OPERATION_SUBMIT, late_job,
                  Planner::make_job (1, 1000));
  ASSERT_NE (cell.reply_to (3), nullptr);
  EXPECT_EQ (cell.reply_to (3)->reply.outcome, RST_OUTCOME_REJECTED);
  /* The first job is part of the commit under way: its outcome is open. */
  EXPECT_EQ (cell.reply_to (1), nullptr);
  cell.is_confirmed = true;
  cell.complete_commit ();
  cell.settle ();
  ASSERT_NE (cell.reply_to (1), nullptr);
  EXPECT_EQ (cell.reply_to (1)->reply.outcome, RST_OUTCOME_OK);
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 1u);
  cell.send_call (4, RST_OPERATION_READ, kept_job);
  EXPECT_EQ (cell.reply_to (4)->reply.outcome, RST_OUTCOME_NO_JOB);
  cell.send_call (5, RST_OPERATION_SUBMIT, kept_job,
                  Planner::make_job (1, 1000));
  cell.settle ();
  EXPECT_EQ (cell.reply_to (5)->reply.outcome, RST_OUTCOME_OK);
  cell.send_call (6, RST_OPERATION_READ, "");
  EXPECT_EQ (cell.reply_to (6)->reply.count, 2);
}

TEST (Planner, IsDestroyedWhileAnAdviceRequestIsUnderWay)
{
  Planner cell;

  cell.start_serving (4, true);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a, Planner::make_job (2, 1000));
  cell.settle ();
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_ADVISE).size (), 1u);
}

TEST (Planner, NamesFewInstancesForSingleTasks)
{
  Planner cell;

  cell.start_serving (40, true);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a, Planner::make_job (2, 1000));
  cell.settle ();
  ASSERT_EQ (cell.sent_of_kind (RST_MSG_ADVISE).size (), 1u);
  EXPECT_LT (cell.sent_of_kind (RST_MSG_ADVISE)[0].ids.size (), 10u);
}

TEST (Planner, RepliesWithTheOutcomeOfEachRequest)
{
  Planner cell;

  cell.start_serving (1);
  cell.send_call (1, RST_OPERATION_READ, job_a);
  cell.send_call (2, RST_OPERATION_READ, job_a, nullptr, "wrong");
  cell.send_call (3, RST_OPERATION_READ, job_a, nullptr, "k", "/none/");
  cell.send_call (4, RST_OPERATION_SUBMIT, "short", Planner::make_job (1, 1));
  cell.send_call (5, RST_OPERATION_READ, "");
  EXPECT_EQ (cell.reply_to (1)->reply.outcome, RST_OUTCOME_NO_JOB);
  EXPECT_EQ (cell.reply_to (2)->reply.outcome, RST_OUTCOME_INVALID_KEY);
  EXPECT_EQ (cell.reply_to (3)->reply.outcome, RST_OUTCOME_NO_QUEUE);
  EXPECT_EQ (cell.reply_to (4)->reply.outcome, RST_OUTCOME_MALFORMED);
  EXPECT_EQ (cell.reply_to (5)->reply.outcome, RST_OUTCOME_COUNT);
  EXPECT_EQ (cell.reply_to (5)->reply.count, 0);
}

TEST (Planner, CountsAJobAsPendingUntilATaskHasStarted)
{
  Planner cell;

  cell.start_serving (1);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a, Planner::make_job (1, 1000));
  cell.settle ();
  cell.send_call (8, RST_OPERATION_READ, "");
  EXPECT_EQ (cell.reply_to (8)->reply.count, 1);
  cell.answer_order (1, RST_MSG_STARTED, "i-0", task_a0, 1, RST_RESULT_OK);
  cell.send_call (9, RST_OPERATION_READ, "");
  EXPECT_EQ (cell.reply_to (9)->reply.count, 0);
}

TEST (Planner, RequestsAdviceOnceForAJobThatIsNotCommitted)
{
  Planner cell;

  cell.answers_commits = false;
  cell.start_serving (8, true);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a, Planner::make_job (2, 1000));
  cell.advance_time (5);
  ASSERT_EQ (cell.sent_of_kind (RST_MSG_ADVISE).size (), 1u);
  cell.send_advice (1, cell.sent_of_kind (RST_MSG_ADVISE)[0].number, {});
  cell.advance_time (5000);
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_ADVISE).size (), 1u);
}

TEST (Planner, IgnoresAnOlderConfiguration)
{
  Planner cell;

  cell.start_serving (1);
  cell.configure (0, false, 5);
  cell.configure (100, false, 4);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a, Planner::make_job (1, 1000));
  cell.settle ();
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 1u);
}

// A successor may have accepted the job.
TEST (Planner, DeniesNoJobWhileItMayHaveASuccessor)
{
  Planner cell;

  cell.start_serving (1);
  cell.is_confirmed = false;
  cell.advance_time (500);
  cell.send_call (1, RST_OPERATION_CANCEL, job_a);
  cell.send_call (2, RST_OPERATION_READ, job_a);
  for (uint64_t number : { 1, 2 })
    {
      ASSERT_NE (cell.reply_to (number), nullptr);
      EXPECT_EQ (cell.reply_to (number)->reply.outcome, RST_OUTCOME_REJECTED);
      EXPECT_GE (cell.reply_to (number)->reply.retry_s, 1);
    }
  cell.is_confirmed = true;
  cell.settle ();
  cell.send_call (3, RST_OPERATION_CANCEL, job_a);
  cell.send_call (4, RST_OPERATION_READ, job_a);
  EXPECT_EQ (cell.reply_to (4)->reply.outcome, RST_OUTCOME_NO_JOB);
  // The cancel holds for a successor too, so it is stored first.
  EXPECT_EQ (cell.reply_to (3), nullptr);
  cell.settle ();
  ASSERT_NE (cell.reply_to (3), nullptr);
  EXPECT_EQ (cell.reply_to (3)->reply.outcome, RST_OUTCOME_NO_JOB);
}

// A successor may have stored the end of an earlier run of the task, which the
// instance then no longer lists.
TEST (Planner, RestartsNoTaskWhileItMayHaveASuccessor)
{
  Planner cell;

  cell.start_serving (2);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a, Planner::make_job (1, 1000));
  cell.settle ();
  std::string id = cell.sent_of_kind (RST_MSG_START)[0].id;

  cell.answer_order (1, RST_MSG_STARTED, id, task_a0, 1, RST_RESULT_OK);
  cell.sent.clear ();
  cell.is_confirmed = false;
  cell.advance_time (500);
  cell.report (1, id,
               { Planner::make_ended_run (1, task_a0, 1, RST_END_FAILED) });
  cell.advance_time (1000);
  EXPECT_TRUE (cell.sent_of_kind (RST_MSG_START).empty ());
  cell.is_confirmed = true;
  cell.settle ();
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 1u);
}
