// Trials of tasks that are suspected of crashing their instances.
#include <algorithm>
#include <map>
#include <set>

#include <gtest/gtest.h>

#include "crashing_tasks.h"

using namespace crashing;

// Starts job_a and job_b at the same moment on the only instance, which
// crashes, so that both are suspects.
static void
make_suspects (Planner &cell)
{
  cell.start_serving (1);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a, Planner::make_job (1, 1000));
  cell.send_call (8, RST_OPERATION_SUBMIT, job_b, Planner::make_job (1, 1000));
  cell.settle ();
  ASSERT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 2u);
  for (const auto &start : cell.sent_of_kind (RST_MSG_START))
    cell.answer_order (1, RST_MSG_STARTED, start.id, start.task, 1,
                       RST_RESULT_OK);
  cell.sent.clear ();
  crash_and_return (cell, "i-0");
}

// Two suspects never share an instance, nor does anything join them.
TEST (SuspectTrial, SuspectIsTriedApartFromOtherJobs)
{
  Planner cell;
  std::set<std::string> used;

  make_suspects (cell);
  cell.send_call (9, RST_OPERATION_SUBMIT, "00000000000000cc",
                  Planner::make_job (8, 1000));
  cell.add_instance ("i-2");
  cell.report (1, "i-2", {});
  cell.add_instance ("i-3");
  cell.report (1, "i-3", {});
  cell.settle ();
  for (const auto &start : cell.sent_of_kind (RST_MSG_START))
    {
      bool is_suspect = start.task == task_a0 || start.task == task_b0;

      EXPECT_TRUE (!is_suspect || used.insert (start.id).second) << start.task;
    }
  EXPECT_EQ (used.size (), 2u);
  for (const auto &start : cell.sent_of_kind (RST_MSG_START))
    {
      bool is_suspect = start.task == task_a0 || start.task == task_b0;

      EXPECT_TRUE (is_suspect || used.count (start.id) == 0) << start.task;
    }
}

// Of two suspects, the one that crashes its instance alone is given up.
TEST (SuspectTrial, InnocentSuspectIsCleared)
{
  Planner cell;
  int attempt = 0;

  make_suspects (cell);
  cell.add_instance ("i-2");
  cell.report (1, "i-2", {});
  await_starts (cell, 2);
  std::string id_a = find_start (cell, task_a0, &attempt);
  std::string id_b = find_start (cell, task_b0, &attempt);

  ASSERT_FALSE (id_a.empty ());
  ASSERT_FALSE (id_b.empty ());
  cell.answer_order (1, RST_MSG_STARTED, id_a, task_a0, 2, RST_RESULT_OK);
  cell.answer_order (1, RST_MSG_STARTED, id_b, task_b0, 2, RST_RESULT_OK);
  cell.sent.clear ();
  crash_and_return (cell, id_a);
  EXPECT_EQ (get_state (cell, job_a), "failed");
  EXPECT_EQ (get_state (cell, job_b), "live");
  cell.clock += 1000;
  cell.report (1, id_b, { Planner::make_running_run (task_b0, 2) });
  // It was cleared, so another crash leaves it as good as new.
  cell.report (1, id_b,
               { Planner::make_ended_run (1, task_b0, 2, RST_END_DONE) });
  cell.settle ();
  EXPECT_EQ (get_state (cell, job_b), "completed");
}

// With no instance idle, one is held for the suspect, but not for ever.
TEST (SuspectTrial, SuspectWaitsForAnIdleInstanceForALimitedTime)
{
  static const rst_ms wait_max_ms = 3000;
  static const std::string task_c0 = "00000000000000cc.0.0.0";
  Planner cell;
  int attempt = 0;

  cell.answers_commits = false;
  cell.start_serving (1);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a, Planner::make_job (1, 1000));
  ASSERT_EQ (await_start (cell, task_a0), "i-0");
  cell.report (1, "i-0", {}, 1, RST_RESULT_UNKNOWN, lease_left_ms);
  cell.add_instance ("i-2");
  cell.report (1, "i-2", {});
  cell.send_call (8, RST_OPERATION_SUBMIT, job_b, Planner::make_job (1, 2000));
  ASSERT_EQ (await_start (cell, task_b0), "i-2");
  cell.report (1, "i-0", {}, 0, RST_RESULT_OTHER_INCARNATION);
  for (int i = 0; i < 70; i++)
    {
      cell.advance_time (100);
      cell.report (1, "i-2", { Planner::make_running_run (task_b0, 1) });
    }
  cell.settle ();
  EXPECT_EQ (find_start (cell, task_a0, &attempt), "");
  // Nothing else starts there meanwhile.
  cell.send_call (9, RST_OPERATION_SUBMIT, "00000000000000cc",
                  Planner::make_job (1, 1000));
  cell.settle ();
  EXPECT_EQ (find_start (cell, task_c0, &attempt), "");
  cell.advance_time (wait_max_ms);
  EXPECT_EQ (find_start (cell, task_a0, &attempt), "i-2");
}

// Starts 16 jobs on an instance each, keeps 16 other instances busy, and lets
// the instances of the jobs crash.  Returns their ids.
static std::set<std::string>
crash_half (Planner &cell)
{
  static const int instances = 32;
  static const int jobs = 16;
  std::set<std::string> crashed;

  cell.start_serving (instances);
  for (int i = 0; i < jobs; i++)
    cell.send_call (100 + (uint64_t)i, RST_OPERATION_SUBMIT,
                    "00000000000001" + std::to_string (10 + i),
                    Planner::make_job (1, 4000));
  cell.settle ();
  for (const auto &start : cell.sent_of_kind (RST_MSG_START))
    crashed.insert (start.id);
  cell.send_call (9, RST_OPERATION_SUBMIT, job_b,
                  Planner::make_job (instances - jobs, 4000));
  cell.settle ();
  for (const auto &start : cell.sent_of_kind (RST_MSG_START))
    cell.answer_order (1, RST_MSG_STARTED, start.id, start.task, start.attempt,
                       RST_RESULT_OK);
  for (const std::string &id : crashed)
    cell.report (1, id, {}, 1, RST_RESULT_UNKNOWN, lease_left_ms);
  cell.settle ();
  cell.sent.clear ();
  for (const std::string &id : crashed)
    cell.report (1, id, {}, 0, RST_RESULT_OTHER_INCARNATION);
  cell.settle ();
  return crashed;
}

// However many suspects there are, most busy instances serve others.
TEST (SuspectTrial, TrialsHoldAShareOfTheBusyInstances)
{
  Planner cell;
  std::set<std::string> held;

  ASSERT_EQ (crash_half (cell).size (), 16u);
  // Held instances are polled more often.
  for (const auto &message : cell.sent_of_kind (RST_MSG_SET_POLL_WAIT))
    held.insert (message.id);
  EXPECT_GE (held.size (), 1u);
  EXPECT_LE (held.size (), 16u / 4);
}

TEST (SuspectTrial, TrialsTakeTheIdleInstances)
{
  Planner cell;

  for (const std::string &id : crash_half (cell))
    {
      cell.add_instance (id + "'");
      cell.report (1, id + "'", {});
    }
  cell.settle ();
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 16u);
}

// Suspects that crashed an instance at once and alone are tried together: one
// instance shows it for all of them.
TEST (SuspectTrial, ProbableSuspectsAreTriedTogether)
{
  Planner cell;
  std::map<std::string, int> tried;
  std::vector<harness::Sent> starts;

  cell.start_serving (2);
  // Two do not fit on one of the instances.
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a, Planner::make_job (1, 2500));
  cell.send_call (8, RST_OPERATION_SUBMIT, job_b, Planner::make_job (1, 2500));
  for (int i = 0; i < 50 && cell.sent_of_kind (RST_MSG_START).empty (); i++)
    {
      cell.advance_time (5);
      if (cell.is_committing)
        cell.complete_commit ();
    }
  starts = cell.sent_of_kind (RST_MSG_START);
  ASSERT_EQ (starts.size (), 2u);
  for (const auto &start : starts)
    {
      cell.answer_order (1, RST_MSG_STARTED, start.id, start.task, 1,
                         RST_RESULT_OK);
      cell.report (1, start.id, {}, 1, RST_RESULT_UNKNOWN, lease_left_ms);
    }
  cell.sent.clear ();
  for (const auto &start : starts)
    cell.report (1, start.id, {}, 0, RST_RESULT_OTHER_INCARNATION);
  cell.settle ();
  cell.add_instance ("i-2", false, "a", 1, 8000);
  cell.report (1, "i-2", {});
  await_starts (cell, 2);
  starts = cell.sent_of_kind (RST_MSG_START);
  ASSERT_EQ (starts.size (), 2u);
  EXPECT_EQ (starts[0].id, "i-2");
  EXPECT_EQ (starts[1].id, "i-2");
  for (const auto &start : starts)
    cell.answer_order (1, RST_MSG_STARTED, start.id, start.task, start.attempt,
                       RST_RESULT_OK);
  crash_and_return (cell, "i-2");
  EXPECT_EQ (get_state (cell, job_a), "failed");
  EXPECT_EQ (get_state (cell, job_b), "failed");
}

// A gang is tried as a whole, on instances without other jobs.
TEST (SuspectTrial, GangIsTriedApartAsAWhole)
{
  Planner cell;
  std::map<std::string, int> attempts;
  std::vector<rst_run> ends;

  cell.start_serving (2);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a,
                  Planner::make_job (4, 2000, true));
  cell.settle ();
  ASSERT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 4u);
  for (const auto &start : cell.sent_of_kind (RST_MSG_START))
    cell.answer_order (1, RST_MSG_STARTED, start.id, start.task, 1,
                       RST_RESULT_OK);
  cell.report (1, "i-0", {}, 1, RST_RESULT_UNKNOWN, lease_left_ms);
  cell.settle ();
  cell.add_instance ("i-2");
  cell.report (1, "i-2", {});
  cell.report (1, "i-0", {}, 0, RST_RESULT_OTHER_INCARNATION);
  for (const auto &start : cell.sent_of_kind (RST_MSG_START))
    if (start.id == "i-1")
      ends.push_back (Planner::make_ended_run (
          (int64_t)ends.size () + 1, start.task, 1, RST_END_GANG_BROKEN));
  cell.sent.clear ();
  cell.report (1, "i-1", ends);
  await_starts (cell, 4);
  for (const auto &start : cell.sent_of_kind (RST_MSG_START))
    attempts[start.id]++;
  EXPECT_EQ (attempts["i-1"], 2);
  EXPECT_EQ (attempts["i-2"], 2);
  // An instance with the same tasks crashes again.
  for (const auto &start : cell.sent_of_kind (RST_MSG_START))
    cell.answer_order (1, RST_MSG_STARTED, start.id, start.task, start.attempt,
                       RST_RESULT_OK);
  cell.report (1, "i-2", {}, 1, RST_RESULT_UNKNOWN, lease_left_ms);
  cell.settle ();
  cell.report (1, "i-2", {}, 0, RST_RESULT_OTHER_INCARNATION);
  cell.settle ();
  EXPECT_EQ (get_state (cell, job_a), "failed");
}

// Also a trial keeps tasks apart that may not share an instance.
TEST (SuspectTrial, TrialKeepsToTheTasksAllowedOnAnInstance)
{
  static const std::string task_a1 = "00000000000000aa.0.0.1";
  Planner cell;
  rst_jobdesc *desc = Planner::make_job (2, 1000);

  desc->steps[0].max_per_instance = 1;
  cell.start_serving (2);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a, desc);
  cell.settle ();
  ASSERT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 2u);
  for (const auto &start : cell.sent_of_kind (RST_MSG_START))
    cell.answer_order (1, RST_MSG_STARTED, start.id, start.task, 1,
                       RST_RESULT_OK);
  cell.sent.clear ();
  for (const char *id : { "i-0", "i-1" })
    {
      cell.report (1, id, {}, 1, RST_RESULT_UNKNOWN, lease_left_ms);
      cell.report (1, id, {}, 0, RST_RESULT_OTHER_INCARNATION);
    }
  cell.settle ();
  cell.add_instance ("i-2");
  cell.report (1, "i-2", {});
  cell.settle ();
  cell.advance_time (4000);
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 1u);
}

// With one instance, two suspects are tried one after the other: the second
// starts when the first has shown that it crashes nothing.
TEST (SuspectTrial, SuspectsAreTriedInTurnOnOneInstance)
{
  Planner cell;
  int attempt = 0;

  make_suspects (cell);
  cell.settle ();
  bool is_a_first = !find_start (cell, task_a0, &attempt).empty ();
  const std::string &first = is_a_first ? task_a0 : task_b0;
  const std::string &second = is_a_first ? task_b0 : task_a0;

  ASSERT_EQ (find_start (cell, first, &attempt), "i-0'");
  ASSERT_EQ (find_start (cell, second, &attempt), "");
  cell.answer_order (1, RST_MSG_STARTED, "i-0'", first, 2, RST_RESULT_OK);
  cell.advance_time (1000);
  EXPECT_EQ (find_start (cell, second, &attempt), "");
  cell.clock += 1000;
  cell.report (1, "i-0'", { Planner::make_running_run (first, 2) });
  cell.sent.clear ();
  await_starts (cell, 1);
  EXPECT_EQ (find_start (cell, second, &attempt), "i-0'");
  // If the instance crashes now, the first one is not blamed.
  cell.answer_order (1, RST_MSG_STARTED, "i-0'", second, 2, RST_RESULT_OK);
  crash_and_return (cell, "i-0'");
  EXPECT_EQ (get_state (cell, is_a_first ? job_b : job_a), "failed");
  EXPECT_EQ (get_state (cell, is_a_first ? job_a : job_b), "live");
}

// Suspects that have to wait for an instance request no more advice, which
// would keep the agents from all other jobs.
TEST (SuspectTrial, BacklogOfTrialsLeavesTheAgentsFree)
{
  static const int instances = 24;
  Planner cell;
  std::vector<harness::Sent> starts;
  size_t requests = 0;
  auto answer_requests = [&cell, &requests] {
    for (const auto &request : cell.sent_of_kind (RST_MSG_ADVISE))
      {
        requests++;
        cell.send_advice (1, request.number, request.ids);
      }
    std::erase_if (cell.sent, [] (const harness::Sent &message) {
      return message.kind == RST_MSG_ADVISE;
    });
    cell.settle ();
  };

  cell.start_serving (instances, true);
  for (int i = 0; i < instances; i++)
    cell.send_call (100 + (uint64_t)i, RST_OPERATION_SUBMIT,
                    "00000000000001" + std::to_string (10 + i),
                    Planner::make_job (1, 4000));
  for (int i = 0; i < 3 * instances; i++)
    answer_requests ();
  starts = cell.sent_of_kind (RST_MSG_START);
  ASSERT_EQ (starts.size (), (size_t)instances);
  for (const auto &start : starts)
    cell.answer_order (1, RST_MSG_STARTED, start.id, start.task, start.attempt,
                       RST_RESULT_OK);
  // Half of the instances crash; the others stay busy.
  for (int i = 0; i < instances / 2; i++)
    {
      cell.report (1, starts[(size_t)i].id, {}, 1, RST_RESULT_UNKNOWN,
                   lease_left_ms);
      cell.report (1, starts[(size_t)i].id, {}, 0,
                   RST_RESULT_OTHER_INCARNATION);
    }
  for (int i = 0; i < 10; i++)
    answer_requests ();
  requests = 0;
  for (int i = 0; i < 10; i++)
    answer_requests ();
  EXPECT_EQ (requests, 0u);
}

// A gang needs the tickets of all its instances at the same time, so they are
// requested together.
TEST (SuspectTrial, GangOnTrialGetsTicketsThatAreValidTogether)
{
  // Longer than a ticket is valid, less the margin.
  static const rst_ms answer_ms = 1990;
  Planner cell;
  std::vector<rst_run> ends;
  auto answer_requests = [&cell] {
    for (const auto &request : cell.sent_of_kind (RST_MSG_ADVISE))
      cell.send_advice (1, request.number, request.ids);
    std::erase_if (cell.sent, [] (const harness::Sent &message) {
      return message.kind == RST_MSG_ADVISE;
    });
  };

  cell.start_serving (2, true);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a,
                  Planner::make_job (2, 4000, true));
  cell.settle ();
  answer_requests ();
  cell.settle ();
  ASSERT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 2u);
  for (const auto &start : cell.sent_of_kind (RST_MSG_START))
    {
      cell.answer_order (1, RST_MSG_STARTED, start.id, start.task, 1,
                         RST_RESULT_OK);
      if (start.id == "i-1")
        ends.push_back (
            Planner::make_ended_run (1, start.task, 1, RST_END_GANG_BROKEN));
    }
  cell.sent.clear ();
  cell.report (1, "i-0", {}, 1, RST_RESULT_UNKNOWN, lease_left_ms);
  cell.report (1, "i-1", ends);
  cell.report (1, "i-0", {}, 0, RST_RESULT_OTHER_INCARNATION);
  // The ticket of i-1 has expired when i-2 is registered.
  cell.advance_time (2500);
  cell.settle ();
  cell.add_instance ("i-2");
  cell.report (1, "i-2", {});
  for (int i = 0; i < 4; i++)
    {
      cell.settle ();
      cell.advance_time (answer_ms);
      answer_requests ();
      cell.settle ();
    }
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 2u);
}

// The planner that tried the suspect is replaced before the instance is back.
TEST (SuspectTrial, IsGivenUpByTheSuccessorOfThePlannerThatTriedIt)
{
  Planner cell;
  Planner successor (2);

  cell.start_serving (3);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a, Planner::make_job (1, 1000));
  std::string first = await_start (cell, task_a0);

  cell.report (1, first, {}, 1, RST_RESULT_UNKNOWN, lease_left_ms);
  cell.report (1, first, {}, 0, RST_RESULT_OTHER_INCARNATION);
  std::string id = await_start (cell, task_a0);

  ASSERT_FALSE (id.empty ());
  cell.report (1, id, {}, 1, RST_RESULT_UNKNOWN, lease_left_ms);
  cell.settle ();
  successor.set_time (cell.now);
  successor.restore (cell);
  successor.configure ();
  successor.add_agent (1);
  successor.add_instance (id);
  rst_planner_finish_restore (successor.planner);
  EXPECT_EQ (get_state (successor, job_a), "live");
  successor.report (1, id, {}, 0, RST_RESULT_OTHER_INCARNATION);
  successor.settle ();
  successor.complete_commit ();
  EXPECT_EQ (get_state (successor, job_a), "failed");
}

// An instance that crashes long after a trial began may have another cause,
// also if nothing was heard of it in between.
TEST (SuspectTrial, LateCrashOfATrialIsNoProof)
{
  Planner cell;

  cell.start_serving (3);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a, Planner::make_job (1, 1000));
  crash_and_return (cell, await_start (cell, task_a0));
  std::string id = await_start (cell, task_a0);

  cell.advance_time (1500);
  crash_and_return (cell, id);
  EXPECT_EQ (get_state (cell, job_a), "live");
}
