#include <gtest/gtest.h>

#include <algorithm>

#include "cell_harness.h"

using harness::Planner;

static const char *const job_a = "00000000000000aa";
static const std::string task_a0 = "00000000000000aa.0.0.0";

// Submits and cancels a job that fits nowhere, which takes two commits.
static void
add_segments (Planner &predecessor, int number)
{
  char id[17];

  snprintf (id, sizeof id, "%016x", 0x1000 + number);
  predecessor.send_call (100, RST_OPERATION_SUBMIT, id,
                         Planner::make_job (1, 9000));
  predecessor.advance_time (35);
  predecessor.complete_commit ();
  predecessor.send_call (101, RST_OPERATION_CANCEL, id);
  predecessor.advance_time (35);
  predecessor.complete_commit ();
}

TEST (Journal, RewritesUnreachableInstancesAfterTheJobsOfTheirRuns)
{
  Planner predecessor;
  Planner successor (2);

  predecessor.start_serving (2);
  predecessor.send_call (7, RST_OPERATION_SUBMIT, job_a,
                         Planner::make_job (1, 3000));
  predecessor.settle ();
  std::string lost = predecessor.sent_of_kind (RST_MSG_START)[0].id;
  std::string other = lost == "i-0" ? "i-1" : "i-0";

  for (int i = 0; predecessor.commits.size () < 596; i++)
    {
      rst_run run = Planner::make_running_run (task_a0, 1);

      run.progress_percent = i % 100;
      predecessor.report (1, lost, { run });
      add_segments (predecessor, i);
    }
  predecessor.report (1, lost, {}, 1, RST_RESULT_UNKNOWN, 5000);
  for (int i = 300; i < 306; i++)
    add_segments (predecessor, i);
  predecessor.delete_removed_segments ();
  ASSERT_GT (predecessor.commits[0].segment, 1);
  successor.set_time (predecessor.now);
  successor.restore (predecessor);
  EXPECT_EQ (successor.unreadable, 0);
  successor.configure ();
  successor.add_agent (1);
  successor.add_instance (other);
  rst_planner_finish_restore (successor.planner);
  successor.report (1, other, {});
  successor.settle ();
  EXPECT_TRUE (successor.sent_of_kind (RST_MSG_START).empty ());
}

TEST (Journal, RewritesOldSegmentsAndLosesNothing)
{
  Planner predecessor;
  Planner successor (2);

  predecessor.start_serving (1);
  predecessor.send_call (7, RST_OPERATION_SUBMIT, job_a,
                         Planner::make_job (1, 9000));
  predecessor.settle ();
  for (int i = 0; i < 700; i++)
    add_segments (predecessor, i);
  predecessor.delete_removed_segments ();
  EXPECT_LT (predecessor.commits.size (), 700u);
  successor.restore (predecessor);
  EXPECT_EQ (successor.unreadable, 0);
  successor.configure ();
  rst_planner_finish_restore (successor.planner);
  successor.send_call (8, RST_OPERATION_READ, job_a);
  EXPECT_EQ (successor.reply_to (8)->reply.outcome, RST_OUTCOME_STATE);
  successor.send_call (9, RST_OPERATION_READ, "0000000000001000");
  EXPECT_EQ (successor.reply_to (9)->reply.outcome, RST_OUTCOME_STATE);
}

// Submits jobs of about 4 KB each, all while one commit is pending.
static void
submit_many (Planner &cell, int count)
{
  char id[17];

  for (int i = 0; i < count; i++)
    {
      rst_jobdesc *desc = Planner::make_job (1, 9000);

      g_free (desc->spec);
      desc->spec = g_strnfill (RST_SPEC_BYTES_MAX, 'x');
      snprintf (id, sizeof id, "%016x", 0x2000 + i);
      cell.send_call ((uint64_t)(1000 + i), RST_OPERATION_SUBMIT, id, desc);
    }
}

TEST (Journal, KeepsSegmentsBelowTheLargestValueOfTheStore)
{
  Planner cell;
  int accepted = 0;

  cell.start_serving (1);
  cell.commits.clear ();
  submit_many (cell, 400);
  for (int i = 0; i < 20; i++)
    {
      cell.advance_time (40);
      cell.complete_commit ();
    }
  EXPECT_GT (cell.commits.size (), 4u);
  for (const auto &commit : cell.commits)
    EXPECT_LT (commit.data.size (), 300000u);
  for (int i = 0; i < 400; i++)
    accepted += cell.reply_to ((uint64_t)(1000 + i)) != nullptr;
  EXPECT_EQ (accepted, 400);
}

// A commit of 85 KB took longer on a link of 2 Mbit/s than other processes
// wait for a change of the planner record, and the planner was replaced
// (LOST).
TEST (Journal, KeepsSegmentsBelowWhatANarrowLinkCarriesInTime)
{
  Planner cell (1, 250);

  cell.start_serving (1);
  cell.commits.clear ();
  submit_many (cell, 100);
  for (int i = 0; i < 40; i++)
    {
      cell.advance_time (40);
      cell.complete_commit ();
    }
  /* 100 ms of the link, as base64, and a job. */
  for (const auto &commit : cell.commits)
    EXPECT_LT (commit.data.size (), 250u * 100 * 3 / 4 + 4200);
  for (int i = 0; i < 100; i++)
    EXPECT_NE (cell.reply_to ((uint64_t)(1000 + i)), nullptr);
}

TEST (Journal, AcksNoEndWhileItsJobWaitsForTheNextSegment)
{
  Planner cell;

  cell.answers_commits = false;
  cell.start_serving (1);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a, Planner::make_job (1, 1000));
  cell.settle ();
  cell.answer_order (1, RST_MSG_STARTED, "i-0", task_a0, 1, RST_RESULT_OK);
  cell.sent.clear ();
  cell.commits.clear ();
  submit_many (cell, 100);
  cell.report (1, "i-0",
               { Planner::make_ended_run (1, task_a0, 1, RST_END_DONE) });
  cell.advance_time (40);
  ASSERT_EQ (cell.commits.size (), 1u);
  cell.complete_commit ();
  EXPECT_TRUE (cell.sent_of_kind (RST_MSG_ACK).empty ());
  cell.advance_time (40);
  ASSERT_EQ (cell.commits.size (), 2u);
  cell.complete_commit ();
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_ACK).size (), 1u);
}

TEST (Journal, RewritesLargeOldSegmentsInParts)
{
  Planner predecessor;
  Planner successor (2);
  size_t largest = 0;

  predecessor.start_serving (1);
  submit_many (predecessor, 600);
  for (int i = 0; i < 20; i++)
    {
      predecessor.advance_time (40);
      predecessor.complete_commit ();
    }
  for (int i = 0; i < 320; i++)
    add_segments (predecessor, i);
  predecessor.delete_removed_segments ();
  EXPECT_GT (predecessor.commits[0].segment, 12);
  for (const auto &commit : predecessor.commits)
    largest = std::max (largest, commit.data.size ());
  EXPECT_LT (largest, 300000u);
  successor.restore (predecessor);
  EXPECT_EQ (successor.unreadable, 0);
  successor.configure ();
  rst_planner_finish_restore (successor.planner);
  for (int i = 0; i < 600; i++)
    {
      char id[17];

      snprintf (id, sizeof id, "%016x", 0x2000 + i);
      successor.send_call ((uint64_t)(5000 + i), RST_OPERATION_READ, id);
      EXPECT_EQ (successor.reply_to ((uint64_t)(5000 + i))->reply.outcome,
                 RST_OUTCOME_STATE);
    }
}

// Changes the planner long after job a has completed, so that only the record
// without its steps is left.
static void
take_over_after_job (Planner &predecessor, Planner &successor, int jobs_since)
{
  predecessor.start_serving (1);
  predecessor.send_call (7, RST_OPERATION_SUBMIT, job_a,
                         Planner::make_job (1, 1000));
  predecessor.settle ();
  predecessor.report (
      1, "i-0", { Planner::make_ended_run (1, task_a0, 1, RST_END_DONE) });
  predecessor.settle ();
  for (int i = 0; i < jobs_since; i++)
    add_segments (predecessor, i);
  predecessor.delete_removed_segments ();
  successor.set_time (predecessor.now);
  successor.restore (predecessor);
  EXPECT_EQ (successor.unreadable, 0);
  successor.configure ();
  successor.add_agent (1);
  successor.add_instance ("i-0");
  rst_planner_finish_restore (successor.planner);
}

TEST (Journal, RewritesAJobThatWasRestoredWithoutItsSteps)
{
  Planner predecessor;
  Planner successor (2);
  Planner third (3);

  take_over_after_job (predecessor, successor, 560);
  successor.report (1, "i-0", {});
  /* The record of job a is soon among the oldest again. */
  for (int i = 1000; i < 1060; i++)
    add_segments (successor, i);
  successor.commits.insert (successor.commits.begin (),
                            predecessor.commits.begin (),
                            predecessor.commits.end ());
  successor.delete_removed_segments ();
  third.set_time (successor.now);
  third.restore (successor);
  EXPECT_EQ (third.unreadable, 0);
  third.configure ();
  rst_planner_finish_restore (third.planner);
  third.send_call (8, RST_OPERATION_READ, job_a);
  EXPECT_EQ (third.reply_to (8)->reply.state, RST_JOB_COMPLETED);
}

TEST (Journal, KeepsTheStateOfAJobWithoutItsSteps)
{
  Planner predecessor;
  Planner successor (2);

  take_over_after_job (predecessor, successor, 320);
  successor.send_call (8, RST_OPERATION_READ, job_a);
  EXPECT_EQ (successor.reply_to (8)->reply.state, RST_JOB_COMPLETED);
  successor.send_call (9, RST_OPERATION_SUBMIT, job_a,
                       Planner::make_job (1, 1000));
  EXPECT_EQ (successor.reply_to (9)->reply.outcome, RST_OUTCOME_OK);
  successor.report (1, "i-0", { Planner::make_running_run (task_a0, 2) });
  EXPECT_EQ (successor.sent_of_kind (RST_MSG_STOP).size (), 1u);
  successor.settle ();
  EXPECT_TRUE (successor.sent_of_kind (RST_MSG_START).empty ());
}

static std::string
format_id (int number)
{
  char id[17];

  snprintf (id, sizeof id, "%016x", 0x3000 + number);
  return id;
}

// Submits a job with a long text that does not fit any instance.
static void
submit_text (Planner &cell, int number)
{
  rst_jobdesc *desc = Planner::make_job (2, 9000);

  g_free (desc->spec);
  desc->spec = g_strnfill (900, 'x');
  cell.send_call (100, RST_OPERATION_SUBMIT, format_id (number), desc);
  cell.advance_time (35);
  cell.complete_commit ();
}

static size_t
get_journal_bytes (Planner &cell)
{
  size_t bytes = 0;

  cell.delete_removed_segments ();
  for (const auto &commit : cell.commits)
    bytes += commit.data.size ();
  return bytes;
}

// Submits and cancels jobs with a long text, so that only their states are
// needed, and returns the size of the journal that is then left.
static size_t
end_many_jobs (Planner &cell, int first, int end)
{
  for (int i = first; i < end; i++)
    {
      submit_text (cell, i);
      cell.send_call (101, RST_OPERATION_CANCEL, format_id (i));
      cell.advance_time (35);
      cell.complete_commit ();
    }
  return get_journal_bytes (cell);
}

// A new planner serves callers only after it has read the journal, on a narrow
// link for seconds (review/4, LOST); most of it was the texts of ended jobs.
TEST (Journal, DoesNotKeepTheTextsOfEndedJobs)
{
  Planner predecessor;
  Planner successor (2);

  predecessor.start_serving (1);
  /* A second of a link of 2 Mbit/s, and one segment. */
  EXPECT_LT (end_many_jobs (predecessor, 0, 290), 262144u + 1200u);
  /* Twice what is needed, and the texts of the last 15 s. */
  EXPECT_LT (end_many_jobs (predecessor, 290, 1000), 400000u);
  successor.set_time (predecessor.now);
  successor.restore (predecessor);
  EXPECT_EQ (successor.unreadable, 0);
  successor.configure ();
  rst_planner_finish_restore (successor.planner);
  for (int i = 0; i < 1000; i++)
    {
      successor.send_call ((uint64_t)(5000 + i), RST_OPERATION_READ,
                           format_id (i));
      EXPECT_EQ (successor.reply_to ((uint64_t)(5000 + i))->reply.state,
                 RST_JOB_CANCELLED);
    }
}

// Jobs that end together are rewritten before their steps may be omitted. With
// their texts the journal would stay as large as before.
TEST (Journal, RewritesJobsThatHaveJustEndedWithoutTheirTexts)
{
  Planner cell;

  cell.start_serving (1);
  for (int i = 0; i < 1000; i++)
    submit_text (cell, i);
  EXPECT_GT (get_journal_bytes (cell), 900000u);
  for (int i = 0; i < 1000; i++)
    cell.send_call (101, RST_OPERATION_CANCEL, format_id (i));
  for (int i = 5000; i < 5130; i++)
    add_segments (cell, i);
  /* A second of a link of 2 Mbit/s, and one segment. */
  EXPECT_LT (get_journal_bytes (cell), 262144u + 16384u);
}

// Each trim recorded all instances anew, however small the segments were that
// it removed.
TEST (Journal, RewritesOnlyInstancesWhoseRecordsAreRemoved)
{
  Planner cell;
  size_t largest = 0;

  cell.start_serving (300);
  cell.commits.clear ();
  for (int i = 0; i < 340; i++)
    add_segments (cell, i);
  /* The first trim removes the segment with all instances. */
  for (size_t i = 640; i < cell.commits.size (); i++)
    largest = std::max (largest, cell.commits[i].data.size ());
  EXPECT_LT (largest, 10000u);
}
