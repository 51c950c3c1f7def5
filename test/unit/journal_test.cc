#include <gtest/gtest.h>

#include "cell_harness.h"

using harness::Planner;

static const char *const job_a = "00000000000000aa";
static const std::string task_a0 = "00000000000000aa.0.0.0";

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
  former.drop_removed ();
  ASSERT_GT (former.commits[0].segment, 1);
  heir.set_time (former.now);
  heir.restore (former);
  EXPECT_EQ (heir.unreadable, 0);
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
  former.drop_removed ();
  EXPECT_LT (former.commits.size (), 700u);
  heir.restore (former);
  EXPECT_EQ (heir.unreadable, 0);
  heir.configure ();
  rst_planner_restored (heir.planner);
  heir.call (8, RST_OPERATION_READ, job_a);
  EXPECT_EQ (heir.reply_to (8)->reply.outcome, RST_OUTCOME_STATE);
  heir.call (9, RST_OPERATION_READ, "0000000000001000");
  EXPECT_EQ (heir.reply_to (9)->reply.outcome, RST_OUTCOME_STATE);
}

// Jobs of about 4 KB each, all handed in while one commit is under way.
static void
hand_in_many (Planner &cell, int count)
{
  char id[17];

  for (int i = 0; i < count; i++)
    {
      rst_jobdesc *desc = Planner::job (1, 9000);

      g_free (desc->spec);
      desc->spec = g_strnfill (RST_SPEC_MAX, 'x');
      snprintf (id, sizeof id, "%016x", 0x2000 + i);
      cell.call ((uint64_t)(1000 + i), RST_OPERATION_SUBMIT, id, desc);
    }
}

TEST (Journal, KeepsSegmentsBelowWhatTheStoreTakes)
{
  Planner cell;
  int accepted = 0;

  cell.begin (1);
  cell.commits.clear ();
  hand_in_many (cell, 400);
  for (int i = 0; i < 20; i++)
    {
      cell.pass (40);
      cell.store ();
    }
  EXPECT_GT (cell.commits.size (), 4u);
  for (const auto &commit : cell.commits)
    EXPECT_LT (commit.data.size (), 300000u);
  for (int i = 0; i < 400; i++)
    accepted += cell.reply_to ((uint64_t)(1000 + i)) != nullptr;
  EXPECT_EQ (accepted, 400);
}

TEST (Journal, LetsNoEndBeForgottenWhileItsJobWaitsForTheNextSegment)
{
  Planner cell;

  cell.begin (1);
  cell.call (7, RST_OPERATION_SUBMIT, job_a, Planner::job (1, 1000));
  cell.settle ();
  cell.answer (1, RST_MSG_STARTED, "i-0", task_a0, 1, RST_RESULT_OK);
  cell.sent.clear ();
  cell.commits.clear ();
  hand_in_many (cell, 100);
  cell.report (1, "i-0", { Planner::ended (1, task_a0, 1, RST_END_DONE) });
  cell.pass (40);
  ASSERT_EQ (cell.commits.size (), 1u);
  cell.store ();
  EXPECT_TRUE (cell.of_kind (RST_MSG_ACK).empty ());
  cell.pass (40);
  ASSERT_EQ (cell.commits.size (), 2u);
  cell.store ();
  EXPECT_EQ (cell.of_kind (RST_MSG_ACK).size (), 1u);
}

TEST (Journal, RewritesLargeOldSegmentsInParts)
{
  Planner former;
  Planner heir (2);
  size_t largest = 0;

  former.begin (1);
  hand_in_many (former, 600);
  for (int i = 0; i < 20; i++)
    {
      former.pass (40);
      former.store ();
    }
  for (int i = 0; i < 320; i++)
    add_segments (former, i);
  former.drop_removed ();
  EXPECT_GT (former.commits[0].segment, 12);
  for (const auto &commit : former.commits)
    largest = std::max (largest, commit.data.size ());
  EXPECT_LT (largest, 300000u);
  heir.restore (former);
  EXPECT_EQ (heir.unreadable, 0);
  heir.configure ();
  rst_planner_restored (heir.planner);
  for (int i = 0; i < 600; i++)
    {
      char id[17];

      snprintf (id, sizeof id, "%016x", 0x2000 + i);
      heir.call ((uint64_t)(5000 + i), RST_OPERATION_READ, id);
      EXPECT_EQ (heir.reply_to ((uint64_t)(5000 + i))->reply.outcome,
                 RST_OUTCOME_STATE);
    }
}

// Job a has completed long before the change of planner, so that only the
// short form of its record is left.
static void
succeed_after_a_job (Planner &former, Planner &heir, int jobs_since)
{
  former.begin (1);
  former.call (7, RST_OPERATION_SUBMIT, job_a, Planner::job (1, 1000));
  former.settle ();
  former.report (1, "i-0", { Planner::ended (1, task_a0, 1, RST_END_DONE) });
  former.settle ();
  for (int i = 0; i < jobs_since; i++)
    add_segments (former, i);
  former.drop_removed ();
  heir.set_time (former.now);
  heir.restore (former);
  EXPECT_EQ (heir.unreadable, 0);
  heir.configure ();
  heir.agent (1);
  heir.instance ("i-0");
  rst_planner_restored (heir.planner);
}

TEST (Journal, RewritesAJobThatWasReadWithoutItsSteps)
{
  Planner former;
  Planner heir (2);
  Planner third (3);

  succeed_after_a_job (former, heir, 560);
  heir.report (1, "i-0", {});
  /* Its record is among the oldest again soon after the change. */
  for (int i = 1000; i < 1060; i++)
    add_segments (heir, i);
  heir.commits.insert (heir.commits.begin (), former.commits.begin (),
                       former.commits.end ());
  heir.drop_removed ();
  third.set_time (heir.now);
  third.restore (heir);
  EXPECT_EQ (third.unreadable, 0);
  third.configure ();
  rst_planner_restored (third.planner);
  third.call (8, RST_OPERATION_READ, job_a);
  EXPECT_EQ (third.reply_to (8)->reply.state, RST_JOB_COMPLETED);
}

TEST (Journal, KeepsTheStateOfAJobWhoseStepsWereLeftOut)
{
  Planner former;
  Planner heir (2);

  succeed_after_a_job (former, heir, 320);
  heir.call (8, RST_OPERATION_READ, job_a);
  EXPECT_EQ (heir.reply_to (8)->reply.state, RST_JOB_COMPLETED);
  heir.call (9, RST_OPERATION_SUBMIT, job_a, Planner::job (1, 1000));
  EXPECT_EQ (heir.reply_to (9)->reply.outcome, RST_OUTCOME_OK);
  heir.report (1, "i-0", { Planner::running (task_a0, 2) });
  EXPECT_EQ (heir.of_kind (RST_MSG_STOP).size (), 1u);
  heir.settle ();
  EXPECT_TRUE (heir.of_kind (RST_MSG_START).empty ());
}
