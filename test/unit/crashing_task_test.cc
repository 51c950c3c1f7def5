// A task under which each instance crashes, and its innocent neighbours.
#include <algorithm>
#include <memory>

#include <gtest/gtest.h>

#include "crashing_tasks.h"

using namespace crashing;

static void
hand_over (const Planner &predecessor, Planner &successor,
           const std::vector<std::string> &instances)
{
  successor.set_time (predecessor.now);
  successor.restore (predecessor);
  successor.configure ();
  successor.add_agent (1);
  for (const std::string &id : instances)
    successor.add_instance (id);
  rst_planner_finish_restore (successor.planner);
  for (const std::string &id : instances)
    successor.report (1, id, {});
  successor.settle ();
  successor.advance_time (longest_lease_ms);
}

TEST (CrashingTask, IsGivenUp)
{
  Planner cell;
  int starts = 0;

  cell.start_serving (3);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a, Planner::make_job (1, 1000));
  while (starts <= starts_max && get_state (cell, job_a) == "live")
    {
      std::string id = await_start (cell, task_a0);

      ASSERT_FALSE (id.empty ());
      starts++;
      crash_and_return (cell, id);
    }
  EXPECT_LE (starts, starts_max);
  EXPECT_EQ (get_state (cell, job_a), "failed");
}

// The planner is replaced after each crash that it has seen.
TEST (CrashingTask, IsGivenUpByPlannersThatSawOneCrashEach)
{
  std::vector<std::string> instances = { "i-0", "i-1", "i-2" };
  std::vector<std::unique_ptr<Planner> > planners;
  int starts = 0;

  planners.push_back (std::make_unique<Planner> ());
  planners[0]->start_serving (3);
  planners[0]->send_call (7, RST_OPERATION_SUBMIT, job_a,
                          Planner::make_job (1, 1000));
  while (starts <= starts_max)
    {
      Planner &cell = *planners.back ();
      std::string id;

      if (get_state (cell, job_a) == "failed")
        break;
      id = await_start (cell, task_a0);
      ASSERT_FALSE (id.empty ());
      starts++;
      crash_and_return (cell, id);
      std::erase (instances, id);
      instances.push_back (id + "'");
      auto successor
          = std::make_unique<Planner> ((int64_t)planners.size () + 1);

      // Its segments follow those of its predecessors.
      hand_over (cell, *successor, instances);
      successor->commits.insert (successor->commits.begin (),
                                 cell.commits.begin (), cell.commits.end ());
      planners.push_back (std::move (successor));
    }
  EXPECT_LE (starts, starts_max);
  EXPECT_EQ (get_state (*planners.back (), job_a), "failed");
}

// The planner is replaced after it has recorded that the instance is silent,
// and before the instance is back.
TEST (CrashingTask, IsCountedByASuccessorThatDidNotSeeItStart)
{
  Planner cell;
  Planner successor (2);

  cell.start_serving (3);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a, Planner::make_job (1, 1000));
  std::string id = await_start (cell, task_a0);

  cell.report (1, id, {}, 1, RST_RESULT_UNKNOWN, lease_left_ms);
  cell.settle ();
  successor.set_time (cell.now);
  successor.restore (cell);
  successor.configure ();
  successor.add_agent (1);
  for (const char *other : { "i-0", "i-1", "i-2" })
    successor.add_instance (other);
  rst_planner_finish_restore (successor.planner);
  for (const char *other : { "i-0", "i-1", "i-2" })
    if (id != other)
      successor.report (1, other, {});
  successor.report (1, id, {}, 0, RST_RESULT_OTHER_INCARNATION);

  rst_planner_stats stats;

  rst_planner_read_stats (successor.planner, &stats);
  EXPECT_EQ (stats.crashes, 1u);
}

// A lease that lapses, and what follows it, says nothing about the task.
TEST (CrashingTask, SilenceIsNoCrash)
{
  Planner cell;

  cell.start_serving (3);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a, Planner::make_job (1, 1000));
  for (int i = 0; i < starts_max; i++)
    {
      std::string id = await_start (cell, task_a0);

      ASSERT_FALSE (id.empty ());
      cell.report (1, id, {}, 1, RST_RESULT_UNKNOWN, lease_left_ms);
      cell.advance_time (longest_lease_ms + 200);
      cell.report (1, id, {});
    }
  EXPECT_EQ (get_state (cell, job_a), "live");
}

// What drains ends as planned.
TEST (CrashingTask, DrainedInstanceIsNoCrash)
{
  Planner cell;

  cell.start_serving (3);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a, Planner::make_job (1, 1000));
  for (int i = 0; i < starts_max; i++)
    {
      std::string id = await_start (cell, task_a0);

      ASSERT_FALSE (id.empty ());
      cell.add_instance (id, true);
      crash_and_return (cell, id);
    }
  EXPECT_EQ (get_state (cell, job_a), "live");
}

// Task a0 runs for long beside tasks that crash their instances.
TEST (CrashingTask, NeighbourThatRanBeforeIsNotCounted)
{
  Planner cell;
  rst_planner_stats stats;

  cell.answers_commits = false;
  cell.start_serving (1);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a, Planner::make_job (1, 1000));
  std::string id = await_start (cell, task_a0);

  cell.advance_time (2000);
  cell.clock += 2000;
  cell.report (1, id, { Planner::make_running_run (task_a0, 1) });
  cell.send_call (8, RST_OPERATION_SUBMIT, job_b, Planner::make_job (1, 1000));
  ASSERT_EQ (await_start (cell, task_b0), id);
  cell.report (1, id, {}, 1, RST_RESULT_UNKNOWN, lease_left_ms);
  cell.settle ();
  cell.commits.clear ();
  cell.report (1, id, {}, 0, RST_RESULT_OTHER_INCARNATION);
  cell.settle ();
  rst_planner_read_stats (cell.planner, &stats);
  EXPECT_EQ (stats.crashes, 1u);
  ASSERT_EQ (cell.commits.size (), 1u);
  EXPECT_EQ (cell.commits[0].data.find (job_a), std::string::npos);
  EXPECT_NE (cell.commits[0].data.find (job_b), std::string::npos);
}

// Starts the task of a job again and again on instances that crash after it
// has worked for some time; returns the state of the job.
static std::string
crash_at_work (rst_jobdesc *desc, rst_ms work_ms, bool is_listed)
{
  Planner cell;

  cell.start_serving (3);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a, desc);
  for (int attempt = 1; attempt <= 2 * starts_max; attempt++)
    {
      std::string id = await_start (cell, task_a0);

      if (id.empty ())
        break;
      cell.advance_time (work_ms);
      cell.clock += work_ms;
      if (is_listed)
        cell.report (1, id, { Planner::make_running_run (task_a0, attempt) });
      crash_and_return (cell, id);
    }
  return get_state (cell, job_a);
}

// A service that had been at work for 15 s before each of three crashes of its
// instances was shown as failed, and never started again.
TEST (CrashingTask, ThatWasAtWorkBeforeEachCrashIsNotGivenUp)
{
  rst_jobdesc *service = Planner::make_job (1, 1000);

  service->steps[0].long_running = true;
  EXPECT_EQ (crash_at_work (service, 15000, true), "live");
  EXPECT_EQ (crash_at_work (Planner::make_job (1, 1000), 4000, true), "live");
  EXPECT_EQ (crash_at_work (Planner::make_job (1, 1000), 0, false), "failed");
}

// The next planner can't know how long a run has been at work that it finds.
TEST (CrashingTask, ThatASuccessorFindsAtWorkIsNotCounted)
{
  Planner cell;
  Planner successor (2);
  rst_planner_stats stats;

  cell.start_serving (2);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a, Planner::make_job (1, 1000));
  std::string id = await_start (cell, task_a0);

  cell.settle ();
  successor.set_time (cell.now);
  successor.restore (cell);
  successor.configure ();
  successor.add_agent (1);
  successor.add_instance (id);
  rst_planner_finish_restore (successor.planner);
  successor.report (1, id, { Planner::make_running_run (task_a0, 1) });
  successor.settle ();
  successor.report (1, id, {}, 1, RST_RESULT_UNKNOWN, lease_left_ms);
  successor.settle ();
  successor.commits.clear ();
  successor.report (1, id, {}, 0, RST_RESULT_OTHER_INCARNATION);
  successor.settle ();
  rst_planner_read_stats (successor.planner, &stats);
  EXPECT_EQ (stats.crashes, 1u);
  for (const harness::Commit &commit : successor.commits)
    EXPECT_EQ (commit.data.find (job_a), std::string::npos);
}
