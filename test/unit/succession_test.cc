#include <gtest/gtest.h>

#include "cell_harness.h"

using harness::Planner;

static const char *const job_a = "00000000000000aa";
static const char *const job_b = "00000000000000bb";
static const std::string task_a0 = "00000000000000aa.0.0.0";
static const std::string task_a1 = "00000000000000aa.0.0.1";
static const std::string task_b0 = "00000000000000bb.0.0.0";

TEST (Succession, WaitsUntilTheRunsOfTheTasksInstanceAreKnown)
{
  Planner predecessor;
  Planner successor (2);

  predecessor.start_serving (2);
  predecessor.send_call (7, RST_OPERATION_SUBMIT, job_a,
                         Planner::make_job (1, 1000));
  predecessor.settle ();
  std::string busy = predecessor.sent_of_kind (RST_MSG_START)[0].id;

  successor.restore (predecessor);
  EXPECT_EQ (successor.unreadable, 0);
  successor.configure ();
  successor.add_agent (1);
  successor.add_instance ("i-0");
  successor.add_instance ("i-1");
  rst_planner_finish_restore (successor.planner);
  successor.report (1, busy == "i-0" ? "i-1" : "i-0", {});
  successor.settle ();
  EXPECT_TRUE (successor.sent_of_kind (RST_MSG_START).empty ());
  successor.report (1, busy, { Planner::make_running_run (task_a0, 1) });
  successor.settle ();
  EXPECT_TRUE (successor.sent_of_kind (RST_MSG_START).empty ());
  EXPECT_TRUE (successor.sent_of_kind (RST_MSG_STOP).empty ());
  successor.report (1, busy,
                    { Planner::make_ended_run (1, task_a0, 1, RST_END_DONE) });
  successor.settle ();
  successor.send_call (8, RST_OPERATION_READ, job_a);
  EXPECT_EQ (successor.reply_to (8)->reply.state, RST_JOB_COMPLETED);
}

// Nothing is recorded after the start order, so that any instance may have the
// run.
TEST (Succession, WaitsUntilTheRunsOfEveryInheritedInstanceAreKnown)
{
  for (const char *silent : { "i-0", "i-1" })
    {
      Planner predecessor;
      Planner successor (2);

      predecessor.start_serving (2);
      predecessor.send_call (7, RST_OPERATION_SUBMIT, job_a,
                             Planner::make_job (1, 1000));
      ASSERT_NE (predecessor.start_without_record (), "");
      successor.restore (predecessor);
      EXPECT_EQ (successor.unreadable, 0);
      successor.configure ();
      successor.add_agent (1);
      successor.add_instance ("i-0");
      successor.add_instance ("i-1");
      rst_planner_finish_restore (successor.planner);
      successor.report (1, silent[2] == '0' ? "i-1" : "i-0", {});
      successor.settle ();
      EXPECT_TRUE (successor.sent_of_kind (RST_MSG_START).empty ());
      successor.report (1, silent, { Planner::make_running_run (task_a0, 1) });
      successor.settle ();
      EXPECT_TRUE (successor.sent_of_kind (RST_MSG_START).empty ());
      EXPECT_TRUE (successor.sent_of_kind (RST_MSG_STOP).empty ());
    }
}

TEST (Succession, UsesNoAttemptThatThePredecessorMayHaveUsed)
{
  Planner predecessor;
  Planner successor (2);

  predecessor.start_serving (1);
  predecessor.send_call (7, RST_OPERATION_SUBMIT, job_a,
                         Planner::make_job (1, 1000));
  predecessor.settle ();
  ASSERT_EQ (predecessor.sent_of_kind (RST_MSG_START)[0].attempt, 1);
  successor.restore (predecessor);
  EXPECT_EQ (successor.unreadable, 0);
  successor.configure ();
  successor.add_agent (1);
  successor.add_instance ("i-0", false, "a", 2);
  rst_planner_finish_restore (successor.planner);
  // The run ended unreported, with an earlier incarnation of the instance.
  successor.report (1, "i-0", {}, 2);
  successor.settle ();
  ASSERT_EQ (successor.sent_of_kind (RST_MSG_START).size (), 1u);
  EXPECT_GT (successor.sent_of_kind (RST_MSG_START)[0].attempt, 1);
}

TEST (Succession, KeepsAttemptsAbove16Bits)
{
  Planner predecessor;
  Planner successor (2);

  predecessor.start_serving (1);
  predecessor.send_call (7, RST_OPERATION_SUBMIT, job_a,
                         Planner::make_job (1, 1000));
  predecessor.settle ();
  predecessor.report (
      1, "i-0",
      { Planner::make_ended_run (1, task_a0, 70000, RST_END_FAILED) });
  predecessor.settle ();
  successor.restore (predecessor);
  EXPECT_EQ (successor.unreadable, 0);
  successor.configure ();
  successor.add_agent (1);
  successor.add_instance ("i-0", false, "a", 2);
  rst_planner_finish_restore (successor.planner);
  successor.report (1, "i-0", {}, 2);
  successor.settle ();
  ASSERT_EQ (successor.sent_of_kind (RST_MSG_START).size (), 1u);
  EXPECT_GT (successor.sent_of_kind (RST_MSG_START)[0].attempt, 70000);
}

// Guards against an attempt number that is used twice, after many starts in a
// row that were rejected and left no record.
TEST (Succession, UsesNoAttemptOfARejectedStart)
{
  Planner predecessor;
  Planner successor (2);
  int attempt = 0;

  predecessor.start_serving (1);
  predecessor.send_call (7, RST_OPERATION_SUBMIT, job_a,
                         Planner::make_job (1, 1000));
  while (attempt < 250)
    {
      predecessor.advance_time (200);
      if (predecessor.is_committing)
        predecessor.complete_commit ();
      for (const auto &start : predecessor.sent_of_kind (RST_MSG_START))
        {
          attempt = start.attempt;
          predecessor.answer_order (1, RST_MSG_STARTED, "i-0", task_a0,
                                    attempt, RST_RESULT_NO_ROOM);
        }
      predecessor.sent.clear ();
      predecessor.report (1, "i-0", {});
    }
  successor.restore (predecessor);
  EXPECT_EQ (successor.unreadable, 0);
  successor.configure ();
  successor.add_agent (1);
  successor.add_instance ("i-0", false, "a", 2);
  rst_planner_finish_restore (successor.planner);
  successor.report (1, "i-0", {}, 2);
  successor.settle ();
  ASSERT_EQ (successor.sent_of_kind (RST_MSG_START).size (), 1u);
  EXPECT_GT (successor.sent_of_kind (RST_MSG_START)[0].attempt, attempt);
}

TEST (Succession, CountsAJobThatWasNeverStartedAsWaiting)
{
  Planner predecessor;
  Planner successor (2);
  Planner third (3);

  predecessor.start_serving (1);
  predecessor.send_call (7, RST_OPERATION_SUBMIT, job_a,
                         Planner::make_job (1, 9000));
  predecessor.settle ();
  successor.restore (predecessor);
  EXPECT_EQ (successor.unreadable, 0);
  successor.configure ();
  rst_planner_finish_restore (successor.planner);
  successor.send_call (8, RST_OPERATION_SUBMIT, job_b,
                       Planner::make_job (1, 9000));
  successor.settle ();
  third.restore (predecessor);
  EXPECT_EQ (third.unreadable, 0);
  third.restore (successor);
  EXPECT_EQ (third.unreadable, 0);
  third.configure ();
  rst_planner_finish_restore (third.planner);
  third.send_call (9, RST_OPERATION_READ, "");
  EXPECT_EQ (third.reply_to (9)->reply.count, 2);
}

TEST (Succession, CountsTasksInDoubtAgainstACustomersLimit)
{
  Planner predecessor;
  Planner successor (2);

  predecessor.start_serving (2, false, 4500);
  predecessor.send_call (7, RST_OPERATION_SUBMIT, job_a,
                         Planner::make_job (4, 1000));
  predecessor.settle ();
  std::string busy = predecessor.sent_of_kind (RST_MSG_START)[0].id;

  for (const harness::Sent &start : predecessor.sent_of_kind (RST_MSG_START))
    ASSERT_EQ (start.id, busy);
  successor.restore (predecessor);
  EXPECT_EQ (successor.unreadable, 0);
  successor.configure (4500);
  successor.add_agent (1);
  successor.add_instance ("i-0");
  successor.add_instance ("i-1");
  rst_planner_finish_restore (successor.planner);
  successor.report (1, busy == "i-0" ? "i-1" : "i-0", {});
  successor.send_call (8, RST_OPERATION_SUBMIT, job_b,
                       Planner::make_job (1, 1000));
  successor.settle ();
  // Four tasks may run on the other one, which has not reported its runs yet.
  EXPECT_TRUE (successor.sent_of_kind (RST_MSG_START).empty ());
  successor.report (1, busy,
                    { Planner::make_ended_run (1, task_a0, 1, RST_END_DONE),
                      Planner::make_running_run (task_a1, 1) });
  successor.settle ();
  EXPECT_EQ (successor.sent_of_kind (RST_MSG_START).size (), 3u);
}

TEST (Succession, CountsRunsOfACancelledJobUntilTheyEnd)
{
  Planner predecessor;
  Planner successor (2);

  predecessor.start_serving (2, false, 1500);
  predecessor.send_call (7, RST_OPERATION_SUBMIT, job_a,
                         Planner::make_job (1, 1000));
  predecessor.settle ();
  std::string at = predecessor.sent_of_kind (RST_MSG_START)[0].id;
  std::string other = at == "i-0" ? "i-1" : "i-0";

  predecessor.send_call (8, RST_OPERATION_CANCEL, job_a);
  predecessor.settle ();
  successor.restore (predecessor);
  EXPECT_EQ (successor.unreadable, 0);
  successor.configure (1500);
  successor.add_agent (1);
  successor.add_instance ("i-0");
  successor.add_instance ("i-1");
  rst_planner_finish_restore (successor.planner);
  successor.report (1, at, { Planner::make_running_run (task_a0, 1) });
  successor.report (1, other, {});
  successor.send_call (9, RST_OPERATION_SUBMIT, job_b,
                       Planner::make_job (1, 1000));
  successor.settle ();
  EXPECT_FALSE (successor.sent_of_kind (RST_MSG_STOP).empty ());
  EXPECT_TRUE (successor.sent_of_kind (RST_MSG_START).empty ());
  successor.report (
      1, at, { Planner::make_ended_run (1, task_a0, 1, RST_END_STOPPED) });
  successor.settle ();
  EXPECT_EQ (successor.sent_of_kind (RST_MSG_START).size (), 1u);
}

TEST (Succession, DoesNotWaitForAnInstanceRecordedAsUnreachable)
{
  Planner predecessor;
  Planner successor (2);

  predecessor.start_serving (2);
  predecessor.send_call (7, RST_OPERATION_SUBMIT, job_a,
                         Planner::make_job (1, 3000));
  predecessor.settle ();
  std::string lost = predecessor.sent_of_kind (RST_MSG_START)[0].id;
  std::string other = lost == "i-0" ? "i-1" : "i-0";

  predecessor.send_call (8, RST_OPERATION_SUBMIT, job_b,
                         Planner::make_job (1, 3000));
  predecessor.settle ();
  predecessor.report (1, lost, {}, 1, RST_RESULT_UNKNOWN, 5000);
  predecessor.settle ();
  predecessor.advance_time (500);
  predecessor.settle ();
  successor.restore (predecessor);
  EXPECT_EQ (successor.unreadable, 0);
  successor.set_time (predecessor.now);
  successor.configure ();
  successor.add_agent (1);
  successor.add_instance (other);
  rst_planner_finish_restore (successor.planner);
  successor.report (1, other, {});
  successor.settle ();
  // The task that may still run on the lost instance waits, the other one does
  // not.
  ASSERT_EQ (successor.sent_of_kind (RST_MSG_START).size (), 1u);
  EXPECT_EQ (successor.sent_of_kind (RST_MSG_START)[0].task, task_b0);
  int attempt = (int)successor.sent_of_kind (RST_MSG_START)[0].number;

  successor.sent.clear ();
  successor.report (
      1, other,
      { Planner::make_ended_run (1, task_b0, attempt, RST_END_DONE) });
  // The predecessor's agents may have extended its lease since the record was
  // written: for 14 s, by 6 s.
  successor.advance_time (18000);
  EXPECT_TRUE (successor.sent_of_kind (RST_MSG_START).empty ());
  successor.advance_time (2000);
  successor.settle ();
  ASSERT_EQ (successor.sent_of_kind (RST_MSG_START).size (), 1u);
  EXPECT_EQ (successor.sent_of_kind (RST_MSG_START)[0].task, task_a0);
}

TEST (Succession, StartsNoTaskOfAJobThatALaterRecordEnds)
{
  Planner predecessor;
  Planner successor (2);

  predecessor.start_serving (2);
  predecessor.send_call (7, RST_OPERATION_SUBMIT, job_a,
                         Planner::make_job (1, 3000));
  predecessor.settle ();
  std::string lost = predecessor.sent_of_kind (RST_MSG_START)[0].id;

  predecessor.report (1, lost, {}, 1, RST_RESULT_UNKNOWN, 5000);
  predecessor.settle ();
  predecessor.advance_time (500);
  predecessor.settle ();
  predecessor.report (1, lost, { Planner::make_running_run (task_a0, 1) });
  predecessor.settle ();
  predecessor.report (
      1, lost, { Planner::make_ended_run (1, task_a0, 1, RST_END_DONE) });
  predecessor.settle ();
  successor.restore (predecessor);
  EXPECT_EQ (successor.unreadable, 0);
  successor.configure ();
  successor.add_agent (1);
  successor.add_instance ("i-0");
  successor.add_instance ("i-1");
  rst_planner_finish_restore (successor.planner);
  successor.report (1, "i-0", {});
  successor.report (1, "i-1", {});
  successor.settle ();
  EXPECT_TRUE (successor.sent_of_kind (RST_MSG_START).empty ());
}

TEST (Succession, HandsOverTheRunsOfAnUnreachableInstance)
{
  Planner predecessor;
  Planner successor (2);
  Planner third (3);

  predecessor.start_serving (2);
  predecessor.send_call (7, RST_OPERATION_SUBMIT, job_a,
                         Planner::make_job (1, 3000));
  predecessor.settle ();
  std::string lost = predecessor.sent_of_kind (RST_MSG_START)[0].id;
  std::string other = lost == "i-0" ? "i-1" : "i-0";

  predecessor.report (1, lost, {}, 1, RST_RESULT_UNKNOWN, 5000);
  predecessor.settle ();
  predecessor.advance_time (500);
  predecessor.settle ();
  successor.restore (predecessor);
  EXPECT_EQ (successor.unreadable, 0);
  successor.set_time (predecessor.now);
  successor.configure ();
  rst_planner_finish_restore (successor.planner);
  successor.settle ();
  third.restore (predecessor);
  EXPECT_EQ (third.unreadable, 0);
  third.restore (successor);
  EXPECT_EQ (third.unreadable, 0);
  third.set_time (successor.now);
  third.configure ();
  third.add_agent (1);
  third.add_instance (other);
  rst_planner_finish_restore (third.planner);
  third.report (1, other, {});
  third.settle ();
  EXPECT_TRUE (third.sent_of_kind (RST_MSG_START).empty ());
}

TEST (Succession, HoldsNoInstanceBeforeTheJournalIsRestored)
{
  Planner predecessor;
  Planner successor (2);

  predecessor.start_serving (1);
  successor.restore (predecessor);
  EXPECT_EQ (successor.unreadable, 0);
  successor.configure ();
  successor.add_agent (1);
  successor.add_agent (2);
  successor.add_instance ("i-0");
  rst_planner_link_closed (successor.planner, 2);
  EXPECT_TRUE (successor.sent_of_kind (RST_MSG_HOLD).empty ());
  rst_planner_finish_restore (successor.planner);
  EXPECT_EQ (successor.sent_of_kind (RST_MSG_HOLD).size (), 1u);
}

TEST (Succession, KeepsCountsOfFailedRuns)
{
  Planner predecessor;
  Planner successor (2);

  predecessor.start_serving (1);
  predecessor.send_call (7, RST_OPERATION_SUBMIT, job_a,
                         Planner::make_job (1, 1000));
  predecessor.settle ();
  predecessor.report (
      1, "i-0", { Planner::make_ended_run (1, task_a0, 1, RST_END_FAILED) });
  predecessor.settle ();
  successor.restore (predecessor);
  EXPECT_EQ (successor.unreadable, 0);
  successor.configure ();
  successor.add_agent (1);
  successor.add_instance ("i-0");
  rst_planner_finish_restore (successor.planner);
  successor.report (
      1, "i-0",
      { Planner::make_ended_run (1, task_a0, 1, RST_END_FAILED),
        Planner::make_ended_run (2, task_a0, 2, RST_END_FAILED) });
  successor.settle ();
  successor.send_call (8, RST_OPERATION_READ, job_a);
  EXPECT_EQ (successor.reply_to (8)->reply.state, RST_JOB_RUNNING);
  successor.report (
      1, "i-0", { Planner::make_ended_run (3, task_a0, 3, RST_END_FAILED) });
  successor.settle ();
  successor.send_call (9, RST_OPERATION_READ, job_a);
  EXPECT_EQ (successor.reply_to (9)->reply.state, RST_JOB_FAILED);
}

TEST (Succession, RestoresTheOtherRecordsOfASegmentWithABadOne)
{
  Planner predecessor;
  Planner successor (2);

  predecessor.answers_commits = false;
  successor.answers_commits = false;
  predecessor.start_serving (1);
  predecessor.commits.clear ();
  predecessor.send_call (7, RST_OPERATION_SUBMIT, job_a,
                         Planner::make_job (1, 1000));
  predecessor.advance_time (40);
  ASSERT_EQ (predecessor.commits.size (), 1u);
  ASSERT_EQ (predecessor.commits[0].data[0], '\x91');
  /* A record of an unknown kind precedes that of the job. */
  std::string data = "\x92\x91\x63" + predecessor.commits[0].data.substr (1);

  EXPECT_FALSE (
      rst_planner_restore (successor.planner, 1, data.data (), data.size ()));
  successor.configure ();
  rst_planner_finish_restore (successor.planner);
  successor.send_call (8, RST_OPERATION_READ, job_a);
  EXPECT_EQ (successor.reply_to (8)->reply.outcome, RST_OUTCOME_STATE);
}

TEST (Succession, SkipsAMalformedSegment)
{
  Planner successor (2);

  EXPECT_FALSE (rst_planner_restore (successor.planner, 1, "\x93\x01", 2));
  EXPECT_FALSE (rst_planner_restore (successor.planner, 2, "none", 4));
}

// The predecessor, which may start tasks for a while yet, may have learnt of
// the failure first and started the task on an instance that is not held yet.
TEST (Succession, KeepsATaskInDoubtAfterItsRunHasFailed)
{
  Planner predecessor;
  Planner successor (2);

  predecessor.start_serving (2);
  std::string first = predecessor.start_job (job_a);

  // The predecessor starts it again and then stores nothing more.
  predecessor.report (
      1, first, { Planner::make_ended_run (1, task_a0, 1, RST_END_FAILED) });
  std::string second = predecessor.start_without_record ();

  ASSERT_NE (second, "");
  ASSERT_NE (second, first);
  successor.restore (predecessor);
  successor.configure ();
  successor.add_agent (1);
  successor.add_instance ("i-0");
  successor.add_instance ("i-1");
  rst_planner_finish_restore (successor.planner);
  successor.report (
      1, first, { Planner::make_ended_run (1, task_a0, 1, RST_END_FAILED) });
  successor.settle ();
  EXPECT_TRUE (successor.sent_of_kind (RST_MSG_START).empty ());
  successor.report (1, second, { Planner::make_running_run (task_a0, 2) });
  successor.settle ();
  EXPECT_TRUE (successor.sent_of_kind (RST_MSG_START).empty ());
}

// Two instances became unreachable one after the other, with an earlier and a
// later run of the same task.
TEST (Succession, WaitsForTheLastRunOfATaskThatTheJournalNames)
{
  Planner predecessor;
  Planner successor (2);

  predecessor.start_serving (3);
  predecessor.send_call (7, RST_OPERATION_SUBMIT, job_a,
                         Planner::make_job (1, 1000));
  predecessor.settle ();
  std::string first = predecessor.sent_of_kind (RST_MSG_START)[0].id;

  predecessor.answer_order (1, RST_MSG_STARTED, first, task_a0, 1,
                            RST_RESULT_OK);
  predecessor.report (1, first, {}, 1, RST_RESULT_UNKNOWN, 1000);
  predecessor.settle ();
  predecessor.sent.clear ();
  std::vector<harness::Commit> before = predecessor.commits;

  predecessor.advance_time (2000);
  std::string second = predecessor.sent_of_kind (RST_MSG_START)[0].id;

  predecessor.report (1, second, { Planner::make_running_run (task_a0, 2) });
  predecessor.settle ();
  predecessor.report (1, second, {}, 1, RST_RESULT_UNKNOWN, 5000);
  predecessor.settle ();
  successor.set_time (predecessor.now);
  for (const harness::Commit &commit : before)
    rst_planner_restore (successor.planner, commit.segment,
                         commit.data.data (), commit.data.size ());
  rst_planner_restore (successor.planner, predecessor.commits.back ().segment,
                       predecessor.commits.back ().data.data (),
                       predecessor.commits.back ().data.size ());
  successor.configure ();
  successor.add_agent (1);
  for (const char *id : { "i-0", "i-1", "i-2" })
    if (id != second)
      successor.add_instance (id);
  rst_planner_finish_restore (successor.planner);
  for (const char *id : { "i-0", "i-1", "i-2" })
    if (id != second)
      successor.report (1, id, {});
  successor.settle ();
  EXPECT_TRUE (successor.sent_of_kind (RST_MSG_START).empty ());
}

// This planner inherited the task and is cut off from the store.  Its
// successor has stored the end of the task's run on i-0, which has then
// restarted and knows neither the run nor a fencing token.
TEST (Succession, StartsNoInheritedTaskWhileItMayHaveASuccessor)
{
  Planner predecessor;
  Planner planner (2);

  predecessor.start_serving (1);
  predecessor.send_call (7, RST_OPERATION_SUBMIT, job_a,
                         Planner::make_job (1, 1000));
  predecessor.settle ();
  predecessor.report (1, "i-0", { Planner::make_running_run (task_a0, 1) });
  planner.set_time (predecessor.now);
  planner.restore (predecessor);
  planner.configure ();
  planner.add_agent (1);
  planner.add_instance ("i-0", false, "a", 2);
  planner.add_instance ("i-1");
  rst_planner_finish_restore (planner.planner);
  planner.report (1, "i-1", {});
  planner.settle ();
  planner.is_confirmed = false;
  planner.advance_time (600);
  planner.report (1, "i-0", {}, 2);
  planner.advance_time (1000);
  EXPECT_TRUE (planner.sent_of_kind (RST_MSG_START).empty ());
}

// An agent reports the answer to a request of an earlier planner too.
TEST (Succession, TakesNoAdviceThatAnEarlierPlannerRequested)
{
  Planner predecessor;
  Planner successor (2);

  predecessor.start_serving (1, true);
  predecessor.send_call (7, RST_OPERATION_SUBMIT, job_a,
                         Planner::make_job (1, 1000));
  predecessor.settle ();
  ASSERT_EQ (predecessor.sent_of_kind (RST_MSG_ADVISE).size (), 1u);
  successor.restore (predecessor);
  successor.configure (0, true);
  successor.add_agent (1);
  successor.add_instance ("i-0");
  rst_planner_finish_restore (successor.planner);
  successor.report (1, "i-0", {});
  successor.settle ();
  ASSERT_EQ (successor.sent_of_kind (RST_MSG_ADVISE).size (), 1u);
  successor.send_advice (
      1, predecessor.sent_of_kind (RST_MSG_ADVISE)[0].number, { "i-0" });
  successor.settle ();
  EXPECT_TRUE (successor.sent_of_kind (RST_MSG_START).empty ());
  successor.send_advice (1, successor.sent_of_kind (RST_MSG_ADVISE)[0].number,
                         { "i-0" });
  successor.settle ();
  EXPECT_EQ (successor.sent_of_kind (RST_MSG_START).size (), 1u);
}

// Returns how many jobs of the queue are shown as waiting.
static int64_t
read_pending (Planner &planner)
{
  uint64_t number = 5000 + planner.replies.size ();

  planner.send_call (number, RST_OPERATION_READ, "");
  return planner.reply_to (number)->reply.count;
}

static rst_job_state
read_state (Planner &planner, const std::string &job)
{
  uint64_t number = 5000 + planner.replies.size ();

  planner.send_call (number, RST_OPERATION_READ, job);
  return planner.reply_to (number)->reply.state;
}

// Jobs whose start orders went to an instance that had just fallen silent were
// taken for started by the next planner: none was shown as waiting, and all as
// running.
TEST (Succession, CountsJobsAsWaitingWhoseStartOrdersGotNoAnswer)
{
  Planner predecessor;
  Planner successor (2);
  Planner third (3);

  predecessor.start_serving (1);
  predecessor.send_call (7, RST_OPERATION_SUBMIT, job_a,
                         Planner::make_job (1, 1000));
  predecessor.send_call (8, RST_OPERATION_SUBMIT, job_b,
                         Planner::make_job (1, 1000));
  predecessor.settle ();
  ASSERT_EQ (predecessor.sent_of_kind (RST_MSG_START).size (), 2u);
  // Only one of them is known to have started.
  predecessor.answer_order (1, RST_MSG_STARTED, "i-0", task_b0, 1,
                            RST_RESULT_OK);
  predecessor.report (1, "i-0", {}, 1, RST_RESULT_UNKNOWN, 5000);
  predecessor.advance_time (500);
  predecessor.settle ();
  ASSERT_EQ (read_pending (predecessor), 1);
  successor.restore (predecessor);
  third.restore (predecessor);
  for (Planner *planner : { &successor, &third })
    {
      planner->set_time (predecessor.now);
      planner->configure ();
      rst_planner_finish_restore (planner->planner);
      planner->settle ();
      EXPECT_EQ (planner->unreadable, 0);
      EXPECT_EQ (read_pending (*planner), 1);
      EXPECT_EQ (read_state (*planner, job_a), RST_JOB_QUEUED);
      EXPECT_EQ (read_state (*planner, job_b), RST_JOB_RUNNING);
      // The third reads what the second has recorded as well.
      if (planner == &successor)
        third.restore (successor);
    }
}

// A job whose run has ended has started, though the end is in no segment yet.
TEST (Succession, CountsAJobAsStartedWhoseEndIsNotStored)
{
  Planner predecessor;
  Planner successor (2);

  predecessor.answers_commits = false;
  successor.answers_commits = false;
  predecessor.start_serving (1);
  predecessor.send_call (7, RST_OPERATION_SUBMIT, job_a,
                         Planner::make_job (1, 1000));
  predecessor.settle ();
  predecessor.report (
      1, "i-0", { Planner::make_ended_run (1, task_a0, 1, RST_END_STOPPED) });
  predecessor.report (1, "i-0", {}, 1, RST_RESULT_UNKNOWN, 5000);
  predecessor.advance_time (100);
  ASSERT_TRUE (predecessor.is_committing);
  predecessor.complete_commit ();
  ASSERT_EQ (read_pending (predecessor), 0);
  successor.restore (predecessor);
  successor.set_time (predecessor.now);
  successor.configure ();
  rst_planner_finish_restore (successor.planner);
  EXPECT_EQ (successor.unreadable, 0);
  EXPECT_EQ (read_pending (successor), 0);
  EXPECT_EQ (read_state (successor, job_a), RST_JOB_RUNNING);
}
