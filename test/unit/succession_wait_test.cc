// What a successor starts while instances of the journal do not answer.
#include <gtest/gtest.h>

#include "cell_harness.h"

using harness::Planner;

static const char *const job_a = "00000000000000aa";
static const char *const job_b = "00000000000000bb";
static const std::string task_a0 = "00000000000000aa.0.0.0";

// Two instances that a job of two tasks fills.  Returns where its tasks run.
static std::vector<std::string>
fill_two_instances (Planner &planner)
{
  std::vector<std::string> ids;

  planner.start_serving (2);
  planner.send_call (7, RST_OPERATION_SUBMIT, job_a,
                     Planner::make_job (2, 4000));
  planner.settle ();
  for (const harness::Sent &start : planner.sent_of_kind (RST_MSG_START))
    {
      ids.push_back (start.id);
      planner.answer_order (1, RST_MSG_STARTED, start.id, start.task,
                            start.attempt, RST_RESULT_OK);
    }
  planner.sent.clear ();
  return ids;
}

static void
take_over (Planner &successor, const Planner &predecessor)
{
  successor.set_time (predecessor.now);
  successor.restore (predecessor);
  EXPECT_EQ (successor.unreadable, 0);
  successor.configure ();
  successor.add_agent (1);
  successor.add_instance ("i-0");
  successor.add_instance ("i-1");
  rst_planner_finish_restore (successor.planner);
}

// A job waits for room; then its planner is replaced, one instance becomes
// free and the other is silent.  Returns how many tasks the successor starts.
static size_t
count_starts_beside_a_silent_instance (rst_jobdesc *desc)
{
  Planner predecessor;
  Planner successor (2);
  std::vector<std::string> ids = fill_two_instances (predecessor);

  EXPECT_EQ (ids.size (), 2u);
  predecessor.send_call (8, RST_OPERATION_SUBMIT, job_b, desc);
  for (int i = 0; i < 4; i++)
    predecessor.settle ();
  EXPECT_TRUE (predecessor.sent_of_kind (RST_MSG_START).empty ());
  take_over (successor, predecessor);
  successor.report (1, ids[0],
                    { Planner::make_ended_run (1, task_a0, 1, RST_END_DONE) });
  successor.settle ();
  return successor.sent_of_kind (RST_MSG_START).size ();
}

// The instance that holds up the job may not have it.
TEST (SuccessionWait, StartsAJobThatWaitedForRoomThoughAnInstanceIsSilent)
{
  EXPECT_EQ (
      count_starts_beside_a_silent_instance (Planner::make_job (1, 4000)), 1u);
}

TEST (SuccessionWait, StartsAGangThatWaitedForRoomThoughAnInstanceIsSilent)
{
  EXPECT_EQ (count_starts_beside_a_silent_instance (
                 Planner::make_job (4, 1000, true)),
             4u);
}

// The task was placed on an instance that has answered since.
TEST (SuccessionWait, RestartsATaskThoughAnotherInstanceIsSilent)
{
  Planner predecessor;
  Planner successor (2);
  std::vector<std::string> ids = fill_two_instances (predecessor);

  ASSERT_EQ (ids.size (), 2u);
  predecessor.settle ();
  take_over (successor, predecessor);
  successor.report (
      1, ids[0], { Planner::make_ended_run (1, task_a0, 1, RST_END_FAILED) });
  successor.settle ();
  EXPECT_EQ (successor.sent_of_kind (RST_MSG_START).size (), 1u);
}

// The other one runs on the silent instance.
TEST (SuccessionWait, StartsNoTaskThatTheSilentInstanceMayHave)
{
  Planner predecessor;
  Planner successor (2);
  std::vector<std::string> ids = fill_two_instances (predecessor);

  ASSERT_EQ (ids.size (), 2u);
  predecessor.settle ();
  take_over (successor, predecessor);
  successor.report (1, ids[0],
                    { Planner::make_ended_run (1, task_a0, 1, RST_END_DONE) });
  for (int i = 0; i < 40; i++)
    successor.settle ();
  EXPECT_TRUE (successor.sent_of_kind (RST_MSG_START).empty ());
}
