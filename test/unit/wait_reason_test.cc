// Why a waiting step does not start: the reason that is counted and logged.
#include <set>

#include <gtest/gtest.h>

#include "crashing_tasks.h"
#include "log_recorder.h"

extern "C"
{
#include "daemon/cell_metrics.h"
}

using harness::LogRecorder;
using harness::Planner;

static const char *const job_a = "00000000000000aa";
static const char *const job_b = "00000000000000bb";
static const std::string task_a0 = "00000000000000aa.0.0.0";

static rst_planner_stats
read_stats (const Planner &cell)
{
  rst_planner_stats stats = {};

  rst_planner_read_stats (cell.planner, &stats);
  return stats;
}

// Returns the reasons that steps wait for, with commas.
static std::string
get_reasons (const Planner &cell)
{
  rst_planner_stats stats = read_stats (cell);
  std::string names;

  for (int i = 0; i < RST_WAIT_REASONS; i++)
    for (uint64_t k = 0; k < stats.waiting_by_reason[i]; k++)
      names += (names.empty () ? "" : ", ")
               + std::string (rst_wait_reason_name ((rst_wait_reason)i));
  return names;
}

static void
submit (Planner &cell, const std::string &job, rst_jobdesc *desc)
{
  cell.send_call (8, RST_OPERATION_SUBMIT, job, desc);
  cell.settle ();
}

// Advances the clock by more than the interval of the checks.
static void
check (Planner &cell)
{
  cell.settle ();
  cell.advance_time (110);
}

// Starts a job of one task that fills each of the instances.
static void
fill (Planner &cell, int instances)
{
  cell.start_serving (instances);
  submit (cell, job_a, Planner::make_job (instances, 4000));
  for (const harness::Sent &start : cell.sent_of_kind (RST_MSG_START))
    cell.answer_order (1, RST_MSG_STARTED, start.id, start.task, start.attempt,
                       RST_RESULT_OK);
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_START).size (), (size_t)instances);
  cell.sent.clear ();
}

// Begins a term after a predecessor; "i-1" does not answer.
static void
take_over (Planner &successor, const Planner &predecessor,
           int64_t cpu_limit = 0)
{
  successor.set_time (predecessor.now);
  successor.restore (predecessor);
  successor.configure (cpu_limit);
  successor.add_agent (1);
  successor.add_instance ("i-0");
  successor.add_instance ("i-1");
  rst_planner_finish_restore (successor.planner);
}

TEST (WaitReason, NamesEachReasonDifferently)
{
  std::set<std::string> names;

  for (int i = 0; i < RST_WAIT_REASONS; i++)
    names.insert (rst_wait_reason_name ((rst_wait_reason)i));
  EXPECT_EQ (names.size (), (size_t)RST_WAIT_REASONS);
}

TEST (WaitReason, NoStepWaitsThatHasStarted)
{
  Planner cell;

  cell.start_serving (1);
  submit (cell, job_a, Planner::make_job (1, 1000));
  check (cell);
  EXPECT_EQ (get_reasons (cell), "");
  EXPECT_EQ (read_stats (cell).longest_wait_ms, 0u);
}

TEST (WaitReason, SaysThatATaskIsInDoubt)
{
  Planner predecessor;
  Planner successor (2);

  fill (predecessor, 2);
  take_over (successor, predecessor);
  successor.report (1, "i-0", {});
  check (successor);
  EXPECT_EQ (get_reasons (successor), "in doubt");
}

TEST (WaitReason, SaysThatTheStoreHasNotConfirmedThePlanner)
{
  Planner cell;

  cell.start_serving (2);
  submit (cell, job_a, Planner::make_job (1, 1000));
  std::string id = cell.sent_of_kind (RST_MSG_START)[0].id;

  cell.answer_order (1, RST_MSG_STARTED, id, task_a0, 1, RST_RESULT_OK);
  cell.is_confirmed = false;
  cell.advance_time (600);
  cell.report (1, id,
               { Planner::make_ended_run (1, task_a0, 1, RST_END_FAILED) });
  cell.advance_time (200);
  EXPECT_EQ (get_reasons (cell), "store not confirmed");
}

// Starts a gang of two on two instances, of which one run then ends.
static void
break_gang (Planner &cell, const std::string &broken)
{
  cell.start_serving (2);
  submit (cell, job_a, Planner::make_job (2, 4000, true));
  for (const harness::Sent &start : cell.sent_of_kind (RST_MSG_START))
    {
      cell.answer_order (1, RST_MSG_STARTED, start.id, start.task, 1,
                         RST_RESULT_OK);
      if (start.id == broken)
        cell.report (
            1, broken,
            { Planner::make_ended_run (1, start.task, 1, RST_END_FAILED) });
    }
}

TEST (WaitReason, SaysThatRunsOfTheGangAreBeingStopped)
{
  Planner cell;

  break_gang (cell, "i-0");
  cell.advance_time (200);
  EXPECT_EQ (get_reasons (cell), "run being stopped");
}

TEST (WaitReason, SaysThatARunOfTheGangIsOnASilentInstance)
{
  Planner cell;

  break_gang (cell, "i-0");
  cell.report (1, "i-1", {}, 1, RST_RESULT_UNKNOWN, 5000);
  cell.advance_time (200);
  EXPECT_EQ (get_reasons (cell), "run on silent instance");
}

// No commit is completed, so that the job is not in the store.
TEST (WaitReason, SaysThatTheJobIsNotStored)
{
  Planner cell;

  cell.answers_commits = false;
  cell.start_serving (1);
  cell.send_call (8, RST_OPERATION_SUBMIT, job_a, Planner::make_job (1, 1000));
  cell.advance_time (200);
  EXPECT_EQ (get_reasons (cell), "job not stored");
}

// There was no room when the job came, so that its intent was withdrawn.
TEST (WaitReason, SaysThatTheIntentIsNotStored)
{
  Planner cell;

  fill (cell, 1);
  submit (cell, job_b, Planner::make_job (1, 1000));
  cell.settle ();
  cell.answers_commits = false;
  cell.report (1, "i-0",
               { Planner::make_ended_run (1, std::string (job_a) + ".0.0.0", 1,
                                          RST_END_DONE) });
  cell.advance_time (200);
  EXPECT_EQ (get_reasons (cell), "intent not stored");
  EXPECT_TRUE (cell.sent_of_kind (RST_MSG_START).empty ());
  cell.settle ();
  EXPECT_EQ (get_reasons (cell), "");
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 1u);
}

TEST (WaitReason, SaysThatTheCustomersLimitIsReached)
{
  Planner cell;

  cell.start_serving (1, false, 1000);
  submit (cell, job_a, Planner::make_job (2, 1000));
  check (cell);
  EXPECT_EQ (get_reasons (cell), "limit");
}

// A job of the successor's own waits since two tasks in doubt count.
TEST (WaitReason, SaysThatOnlyTasksInDoubtUseUpTheLimit)
{
  Planner predecessor;
  Planner successor (2);

  fill (predecessor, 2);
  take_over (successor, predecessor, 8000);
  successor.report (1, "i-0", {});
  submit (successor, job_b, Planner::make_job (1, 1000));
  check (successor);
  EXPECT_EQ (get_reasons (successor), "in doubt, limit with tasks in doubt");
}

// Two suspects of the same crash; one instance is left, which another job
// uses, so that neither is tried yet.
TEST (WaitReason, SaysThatASuspectHasToBeTriedFirst)
{
  Planner cell;

  cell.start_serving (1);
  for (const char *job : { job_a, job_b })
    cell.send_call (7, RST_OPERATION_SUBMIT, job, Planner::make_job (1, 1000));
  cell.settle ();
  for (const auto &start : cell.sent_of_kind (RST_MSG_START))
    cell.answer_order (1, RST_MSG_STARTED, start.id, start.task, 1,
                       RST_RESULT_OK);
  rst_planner_set_zone_evacuated (cell.planner, "a", true);
  crashing::crash_and_return (cell, "i-0");
  check (cell);
  EXPECT_EQ (get_reasons (cell), "trial, trial");
}

TEST (WaitReason, SaysThatNoInstanceIsEligible)
{
  Planner cell;
  rst_jobdesc *desc = Planner::make_job (1, 1000);

  cell.start_serving (1);
  g_free (desc->steps[0].label);
  desc->steps[0].label = g_strdup ("none");
  submit (cell, job_a, desc);
  check (cell);
  EXPECT_EQ (get_reasons (cell), "no eligible instance");
}

TEST (WaitReason, SaysThatAllInstancesAreInEvacuatedZones)
{
  Planner cell;

  cell.start_serving (2);
  rst_planner_set_zone_evacuated (cell.planner, "a", true);
  submit (cell, job_a, Planner::make_job (1, 1000));
  check (cell);
  EXPECT_EQ (get_reasons (cell), "instances paused");
}

TEST (WaitReason, SaysThatTheOnlyInstanceIsPausedAfterAFailedStart)
{
  Planner cell;

  cell.start_serving (1);
  submit (cell, job_a, Planner::make_job (1, 1000));
  ASSERT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 1u);
  cell.answer_order (1, RST_MSG_STARTED, "i-0", task_a0, 1,
                     RST_RESULT_REJECTED);
  cell.advance_time (150);
  EXPECT_EQ (get_reasons (cell), "instances paused");
}

TEST (WaitReason, SaysThatInstancesThatDoNotAnswerTakeNoStarts)
{
  Planner cell;

  cell.start_serving (1);
  cell.report (1, "i-0", {}, 1, RST_RESULT_UNKNOWN, 5000);
  submit (cell, job_a, Planner::make_job (1, 1000));
  check (cell);
  EXPECT_EQ (get_reasons (cell), "instances unavailable");
}

TEST (WaitReason, SaysThatThereIsNoRoom)
{
  Planner cell;

  fill (cell, 2);
  submit (cell, job_b, Planner::make_job (1, 1000));
  check (cell);
  EXPECT_EQ (get_reasons (cell), "no room");
}

// A gang's own reservation does not hide that its room does not suffice.
TEST (WaitReason, SaysThatThereIsNoRoomForAWholeGang)
{
  Planner cell;

  cell.start_serving (2);
  submit (cell, job_a, Planner::make_job (3, 4000, true));
  check (cell);
  EXPECT_EQ (get_reasons (cell), "no room");
}

TEST (WaitReason, SaysThatAnInstanceMayHaveOnlyOneOfTheTasks)
{
  Planner cell;
  rst_jobdesc *desc = Planner::make_job (2, 1000);

  cell.start_serving (1);
  desc->steps[0].max_per_instance = 1;
  submit (cell, job_a, desc);
  check (cell);
  EXPECT_EQ (get_reasons (cell), "anti-affinity");
}

// A gang that lacks room for one task reserves the rest.
TEST (WaitReason, SaysThatTheRoomIsReservedForOthers)
{
  Planner cell;

  cell.start_serving (2);
  submit (cell, job_a, Planner::make_job (3, 4000, true));
  submit (cell, job_b, Planner::make_job (1, 4000));
  check (cell);
  EXPECT_EQ (get_reasons (cell), "no room, room reserved");
}

TEST (WaitReason, SaysThatItWaitsForRoomInItsRack)
{
  Planner cell (Planner::make_timing (0, false, 2.0), 1);

  cell.configure ();
  cell.add_agent (1);
  cell.add_instance ("near", false, "a", 1, 4000, "r-1");
  cell.add_instance ("far", false, "a", 1, 4000, "r-2");
  rst_planner_finish_restore (cell.planner);
  cell.report (1, "near", {});
  cell.report (1, "far", {});
  cell.settle ();
  for (const char *job : { job_a, job_b })
    {
      rst_jobdesc *desc = Planner::make_job (job == job_a ? 4 : 1, 1000);

      g_free (desc->steps[0].rack);
      desc->steps[0].rack = g_strdup ("r-1");
      cell.sent.clear ();
      cell.send_call (8, RST_OPERATION_SUBMIT, job, desc);
      cell.advance_time (60);
      cell.complete_commit ();
      for (const harness::Sent &start : cell.sent_of_kind (RST_MSG_START))
        cell.answer_order (1, RST_MSG_STARTED, start.id, start.task, 1,
                           RST_RESULT_OK);
      cell.advance_time (job == job_a ? 600 : 110);
    }
  EXPECT_EQ (get_reasons (cell), "rack");
}

TEST (WaitReason, SaysThatARequestForAdviceIsUnderWay)
{
  Planner cell;

  cell.start_serving (2, true);
  submit (cell, job_a, Planner::make_job (1, 1000));
  check (cell);
  EXPECT_EQ (get_reasons (cell), "advice under way");
}

// The only agent has as many requests as it takes.
TEST (WaitReason, SaysThatAdviceIsNotRequested)
{
  Planner cell;

  cell.start_serving (2, true);
  for (const char *job : { job_a, job_b, "00000000000000cc" })
    submit (cell, job, Planner::make_job (1, 1000));
  submit (cell, "00000000000000dd", Planner::make_job (1, 1000));
  check (cell);
  EXPECT_EQ (get_reasons (cell),
             "advice under way, advice under way, advice under way, "
             "advice not requested");
}

TEST (WaitReason, SaysThatNoInstanceIsApproved)
{
  Planner cell;

  cell.start_serving (2, true);
  submit (cell, job_a, Planner::make_job (1, 1000));
  cell.send_advice (1, cell.sent_of_kind (RST_MSG_ADVISE)[0].number, {});
  check (cell);
  EXPECT_EQ (get_reasons (cell), "not approved");
}

// The gang keeps the room on the one that is approved; that does not count as
// reserved for others.
TEST (WaitReason, SaysThatTooFewInstancesAreApprovedForAGang)
{
  Planner cell;

  cell.start_serving (2, true);
  submit (cell, job_a, Planner::make_job (2, 4000, true));
  cell.send_advice (1, cell.sent_of_kind (RST_MSG_ADVISE)[0].number,
                    { "i-0" });
  check (cell);
  EXPECT_EQ (get_reasons (cell), "not approved");
}

// The ticket has ended when the task has to start again, and the only agent is
// busy with other requests.
TEST (WaitReason, SaysThatNoTicketIsValid)
{
  Planner cell;

  cell.start_serving (1, true);
  submit (cell, job_a, Planner::make_job (1, 1000));
  cell.send_advice (1, cell.sent_of_kind (RST_MSG_ADVISE)[0].number,
                    { "i-0" });
  check (cell);
  ASSERT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 1u);
  cell.answer_order (1, RST_MSG_STARTED, "i-0", task_a0, 1, RST_RESULT_OK);
  cell.advance_time (2000);
  for (const char *job : { job_b, "00000000000000cc", "00000000000000dd" })
    submit (cell, job, Planner::make_job (1, 1000));
  ASSERT_EQ (cell.sent_of_kind (RST_MSG_ADVISE).size (), 4u);
  cell.report (1, "i-0",
               { Planner::make_ended_run (1, task_a0, 1, RST_END_FAILED) });
  check (cell);
  EXPECT_EQ (
      get_reasons (cell),
      "advice under way, advice under way, advice under way, no ticket");
}

TEST (WaitReason, MeasuresTheLongestWaitFromTheTimeThatTheStepWasReady)
{
  Planner cell;

  fill (cell, 1);
  submit (cell, job_b, Planner::make_job (1, 1000));
  cell.advance_time (3000);
  EXPECT_GE (read_stats (cell).longest_wait_ms, 3000u);
  EXPECT_LE (read_stats (cell).longest_wait_ms, 3400u);
}

TEST (WaitReason, CountsHowLongAnInheritedInstanceHeldAStep)
{
  Planner predecessor;
  Planner successor (2);

  fill (predecessor, 2);
  take_over (successor, predecessor);
  successor.report (1, "i-0", {});
  successor.settle ();
  successor.advance_time (4000);
  EXPECT_EQ (read_stats (successor).step_wait_ms[RST_WAIT_IN_DOUBT].total, 0u);
  successor.report (1, "i-1", {});
  check (successor);
  rst_histogram held = read_stats (successor).step_wait_ms[RST_WAIT_IN_DOUBT];

  EXPECT_EQ (held.total, 1u);
  EXPECT_GE (held.sum_ms, 4000);
  EXPECT_LE (held.sum_ms, 4500);
}

TEST (WaitReason, LogsALongWaitWithWhatDecides)
{
  Planner predecessor;
  Planner successor (2);
  LogRecorder log;

  fill (predecessor, 2);
  take_over (successor, predecessor);
  successor.report (1, "i-0", {});
  successor.advance_time (1900);
  EXPECT_EQ (LogRecorder::count ("Step waits."), 0);
  successor.advance_time (200);
  EXPECT_EQ (LogRecorder::count ("Step waits."), 1);
  std::string line = LogRecorder::find ("Step waits.");

  for (const char *text :
       { "00000000000000aa.0.0 ", "in doubt ", "1/2 ", "i-1 " })
    EXPECT_NE (line.find (text), std::string::npos) << text << "\n" << line;
  // Again at 5 s, and no more before 10 s.
  successor.advance_time (7700);
  EXPECT_EQ (LogRecorder::count ("Step waits."), 2);
  EXPECT_EQ (LogRecorder::count ("Step no longer waits."), 0);
  successor.report (1, "i-1", {});
  check (successor);
  EXPECT_EQ (LogRecorder::count ("Step no longer waits."), 1);
  EXPECT_NE (LogRecorder::find ("Step no longer waits.").find ("started"),
             std::string::npos);
}

TEST (WaitReason, LogsWhatUsesUpTheLimit)
{
  Planner cell;
  LogRecorder log;

  cell.start_serving (1, false, 1000);
  submit (cell, job_a, Planner::make_job (2, 1000));
  cell.advance_time (2100);
  std::string line = LogRecorder::find ("Step waits.");

  for (const char *text : { ".0.0 limit ", "c 1000/0/0 1000/10/0 0/0/0 " })
    EXPECT_NE (line.find (text), std::string::npos) << text << "\n" << line;
}

// A step that starts within 2 s is not logged.
TEST (WaitReason, LogsNoShortWait)
{
  Planner cell;
  LogRecorder log;

  fill (cell, 1);
  submit (cell, job_b, Planner::make_job (1, 1000));
  cell.report (1, "i-0",
               { Planner::make_ended_run (1, task_a0, 1, RST_END_DONE) });
  check (cell);
  ASSERT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 1u);
  EXPECT_EQ (LogRecorder::count ("waits."), 0);
}

// 100 steps wait: at most 20 lines a second, and the number of the others.
TEST (WaitReason, LogsAtMostTwentyWaitsASecond)
{
  Planner cell;
  LogRecorder log;
  char job[20];

  fill (cell, 1);
  for (int i = 0; i < 100; i++)
    {
      g_snprintf (job, sizeof job, "%016x", i + 1000);
      cell.send_call (8, RST_OPERATION_SUBMIT, job,
                      Planner::make_job (1, 1000));
    }
  cell.settle ();
  cell.advance_time (1950);
  EXPECT_GT (LogRecorder::count ("Step waits."), 0);
  EXPECT_LE (LogRecorder::count ("Step waits."), 20);
  EXPECT_EQ (LogRecorder::count ("More steps wait"), 1);
  EXPECT_NE (LogRecorder::find ("More steps wait").find ("80 "),
             std::string::npos)
      << LogRecorder::find ("More steps wait");
  // Each of them gets a line in time.
  cell.advance_time (7000);
  for (int i = 0; i < 100; i++)
    {
      g_snprintf (job, sizeof job, "%016x", i + 1000);
      EXPECT_GT (LogRecorder::count (std::string (job) + ".0.0 "), 0) << job;
    }
}

// A step that needs less than one without room is searched for itself.
TEST (WaitReason, TellsLackOfRoomApartByNeed)
{
  Planner cell;

  cell.start_serving (1, false, 3000);
  submit (cell, job_a, Planner::make_job (1, 3000));
  submit (cell, job_b, Planner::make_job (1, 2000));
  submit (cell, "00000000000000cc", Planner::make_job (4, 500, true));
  cell.configure (0, false, 2);
  check (cell);
  // 1,000 are left: not enough for the second job nor for a gang of four.
  EXPECT_EQ (get_reasons (cell), "no room, no room");
  submit (cell, "00000000000000dd", Planner::make_job (1, 500));
  check (cell);
  EXPECT_EQ (get_reasons (cell), "no room, no room, room reserved");
}

// More steps than one check searches for: 500 gangs, each with room for a part
// of its tasks on 100 instances.
TEST (WaitReason, ExaminesAllStepsOfABacklogInTurn)
{
  Planner cell;
  char job[20];

  cell.start_serving (100);
  for (int i = 0; i < 500; i++)
    {
      g_snprintf (job, sizeof job, "%016x", i + 1000);
      cell.send_call (8, RST_OPERATION_SUBMIT, job,
                      Planner::make_job (101, 4000, true));
    }
  cell.settle ();
  cell.advance_time (2000);
  EXPECT_EQ (read_stats (cell).waiting_by_reason[RST_WAIT_UNKNOWN], 0u);
  EXPECT_EQ (read_stats (cell).waiting_by_reason[RST_WAIT_NO_ROOM], 500u);
}

TEST (WaitReason, ShowsTheReasonsOnTheMetricsPage)
{
  Planner cell;

  fill (cell, 1);
  submit (cell, job_b, Planner::make_job (1, 1000));
  cell.advance_time (2000);
  GString *page = g_string_new (nullptr);
  rst_planner_stats stats = read_stats (cell);

  rst_cell_metrics_add_waits (page, &stats);
  std::string text = page->str;

  g_string_free (page, TRUE);
  EXPECT_NE (text.find ("waiting_steps_by_reason{reason=\"no room\"} 1\n"),
             std::string::npos)
      << text;
  EXPECT_NE (text.find ("waiting_steps_by_reason{reason=\"in doubt\"} 0\n"),
             std::string::npos);
  EXPECT_NE (text.find ("longest_wait_seconds 2."), std::string::npos);
}
