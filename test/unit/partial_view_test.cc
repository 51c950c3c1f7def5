// A planner must not take a run for gone because its own view is partial.
#include <gtest/gtest.h>

#include "cell_harness.h"

using harness::Planner;

static const char *const job_a = "00000000000000aa";
static const std::string task_a = "00000000000000aa.0.0.0";

static rst_jobdesc *
make_large_job ()
{
  // Too large for any instance, so that it only fills the journal.
  rst_jobdesc *desc = Planner::make_job (1, 1000000);

  g_free (desc->spec);
  desc->spec = g_strnfill (4000, 'x');
  return desc;
}

// More than a segment takes on a narrow link.
static void
submit_large_jobs (Planner &planner)
{
  for (int i = 0; i < 8; i++)
    planner.send_call ((uint64_t)(20 + i), RST_OPERATION_SUBMIT,
                       "00000000000000c" + std::to_string (i),
                       make_large_job ());
}

static size_t
count_starts (const Planner &planner, const std::string &task)
{
  size_t count = 0;

  for (const auto &message : planner.sent_of_kind (RST_MSG_START))
    count += message.task == task;
  return count;
}

// The end of a run waits for a later segment than the record that says that
// its instance is unreachable and has no runs.
TEST (PartialView, UnreachableRecordNamesRunsWhoseEndsAreNotStored)
{
  Planner predecessor (1, 1);
  Planner successor (2);

  predecessor.start_serving (1);
  predecessor.start_job (job_a);
  submit_large_jobs (predecessor);
  predecessor.report (
      1, "i-0", { Planner::make_ended_run (1, task_a, 1, RST_END_DONE) });
  predecessor.report (1, "i-0", {}, 1, RST_RESULT_UNKNOWN, 5000);
  predecessor.advance_time (60);
  ASSERT_TRUE (predecessor.is_committing);
  successor.restore (predecessor);
  EXPECT_EQ (successor.unreadable, 0);
  successor.configure ();
  successor.add_agent (1);
  successor.add_instance ("i-0");
  successor.add_instance ("i-1");
  rst_planner_finish_restore (successor.planner);
  successor.report (1, "i-1", {});
  successor.settle ();
  EXPECT_EQ (count_starts (successor, task_a), 0u);
  // The lease has not lapsed: the instance lists the end and is told that it
  // is noted.
  successor.report (1, "i-0",
                    { Planner::make_ended_run (1, task_a, 1, RST_END_DONE) });
  successor.settle ();
  EXPECT_EQ (count_starts (successor, task_a), 0u);
}

// The control: with room in the segment both are stored together.
TEST (PartialView, ControlWithRoomInTheSegment)
{
  Planner predecessor;
  Planner successor (2);

  predecessor.start_serving (1);
  predecessor.start_job (job_a);
  submit_large_jobs (predecessor);
  predecessor.report (
      1, "i-0", { Planner::make_ended_run (1, task_a, 1, RST_END_DONE) });
  predecessor.report (1, "i-0", {}, 1, RST_RESULT_UNKNOWN, 5000);
  predecessor.advance_time (60);
  successor.restore (predecessor);
  EXPECT_EQ (successor.unreadable, 0);
  successor.configure ();
  successor.add_agent (1);
  successor.add_instance ("i-1");
  rst_planner_finish_restore (successor.planner);
  successor.report (1, "i-1", {});
  successor.settle ();
  EXPECT_EQ (count_starts (successor, task_a), 0u);
}

// More than a segment of changes waits all the time.
TEST (PartialView, EndsAreAcknowledgedDuringABacklog)
{
  Planner planner (1, 1);

  planner.start_serving (1);
  planner.start_job (job_a);
  planner.report (1, "i-0",
                  { Planner::make_ended_run (1, task_a, 1, RST_END_DONE) });
  for (int round = 0; round < 100; round++)
    {
      for (int i = 0; i < 16; i++)
        {
          char id[24];

          g_snprintf (id, sizeof id, "%016x", 0x1000 + round * 16 + i);
          planner.send_call ((uint64_t)(1000 + round * 16 + i),
                             RST_OPERATION_SUBMIT, id, make_large_job ());
        }
      planner.advance_time (60);
      if (planner.is_committing)
        planner.complete_commit ();
    }
  planner.send_call (8, RST_OPERATION_READ, job_a);
  EXPECT_EQ (planner.reply_to (8)->reply.state, RST_JOB_COMPLETED);
  EXPECT_FALSE (planner.sent_of_kind (RST_MSG_ACK).empty ());
}
