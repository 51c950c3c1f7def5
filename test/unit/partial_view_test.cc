// A planner must not take a run for gone because its own view is partial.
#include <gtest/gtest.h>

#include "cell_harness.h"

extern "C"
{
#include "adapter_private.h"
}

using harness::Commit;
using harness::Planner;

static const char *const job_a = "00000000000000aa";
static const char *const job_b = "00000000000000bb";
static const std::string task_a = "00000000000000aa.0.0.0";
static const std::string task_b = "00000000000000bb.0.0.0";

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

  predecessor.answers_commits = false;
  successor.answers_commits = false;
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

// An inherited instance without an entry lists some of its ends; then the
// segment with its record is removed, and the next planner follows.
static void
play_two_successions (bool is_registered, bool has_more_ends, Planner &third)
{
  Planner first;
  Planner second (2);
  Planner journal;

  first.start_serving (1);
  first.start_job (job_a);
  first.start_job (job_b);
  second.restore (first);
  second.configure ();
  second.add_agent (1);
  if (is_registered)
    second.add_instance ("i-0");
  rst_planner_finish_restore (second.planner);
  second.has_more_ends = has_more_ends;
  second.report (1, "i-0",
                 { Planner::make_ended_run (1, task_a, 1, RST_END_DONE) });
  second.settle ();
  EXPECT_EQ (count_starts (second, task_b), 0u);
  for (int i = 0; i < 120; i++)
    {
      char id[24];

      g_snprintf (id, sizeof id, "%016x", 0x1000 + i);
      second.send_call (100 + i, RST_OPERATION_SUBMIT, id, make_large_job ());
      second.settle ();
      second.send_call (500 + i, RST_OPERATION_CANCEL, id);
      second.settle ();
    }
  EXPECT_EQ (count_starts (second, task_b), 0u);
  journal.commits = first.commits;
  for (const Commit &commit : second.commits)
    journal.commits.push_back (commit);
  size_t before = journal.commits.size ();
  journal.delete_removed_segments ();
  ASSERT_LT (journal.commits.size (), before);
  ASSERT_GT (journal.commits[0].segment, first.commits.back ().segment);
  third.restore (journal);
  EXPECT_EQ (third.unreadable, 0);
  third.configure ();
  third.add_agent (1);
  third.add_instance ("i-1");
  rst_planner_finish_restore (third.planner);
  third.report (1, "i-1", {});
  third.settle ();
}

TEST (PartialView, KeepsTheRecordOfAnInstanceWithoutAnEntry)
{
  Planner third (3);

  play_two_successions (false, true, third);
  EXPECT_EQ (count_starts (third, task_b), 0u);
}

TEST (PartialView, ControlWithAnEntry)
{
  Planner third (3);

  play_two_successions (true, true, third);
  EXPECT_EQ (count_starts (third, task_b), 0u);
}

// A gang whose second member's end is not listed yet.
TEST (PartialView, GangWaitsForAnEndThatIsNotListed)
{
  Planner planner;
  const std::string first = "00000000000000aa.0.0.0";
  const std::string second = "00000000000000aa.0.0.1";

  planner.start_serving (2);
  planner.send_call (7, RST_OPERATION_SUBMIT, job_a,
                     Planner::make_job (2, 1000, true));
  planner.settle ();
  auto starts = planner.sent_of_kind (RST_MSG_START);
  ASSERT_EQ (starts.size (), 2u);
  for (const auto &start : starts)
    planner.answer_order (1, RST_MSG_STARTED, start.id, start.task, 1,
                          RST_RESULT_OK);
  planner.sent.clear ();
  planner.has_more_ends = true;
  planner.report (
      1, starts[0].id,
      { Planner::make_ended_run (1, starts[0].task, 1, RST_END_FAILED) });
  planner.settle ();
  for (const auto &stop : planner.sent_of_kind (RST_MSG_STOP))
    planner.answer_order (1, RST_MSG_STOPPED, stop.id, stop.task, 1,
                          RST_RESULT_OK);
  planner.report (1, starts[1].id, {});
  planner.settle ();
  EXPECT_TRUE (planner.sent_of_kind (RST_MSG_START).empty ());
  planner.has_more_ends = false;
  planner.report (
      1, starts[1].id,
      { Planner::make_ended_run (9, starts[1].task, 1, RST_END_DONE) });
  planner.settle ();
  EXPECT_TRUE (planner.sent_of_kind (RST_MSG_START).empty ());
  planner.send_call (8, RST_OPERATION_READ, job_a);
  EXPECT_EQ (planner.reply_to (8)->reply.state, RST_JOB_COMPLETED);
}

// The first list of a new incarnation omits ends; the inherited instance was
// known under the earlier one.
TEST (PartialView, FirstListOfANewIncarnationOmitsEnds)
{
  Planner predecessor;
  Planner successor (2);

  predecessor.start_serving (1);
  predecessor.start_job (job_a);
  predecessor.start_job (job_b);
  successor.restore (predecessor);
  successor.configure ();
  successor.add_agent (1);
  successor.add_instance ("i-0");
  rst_planner_finish_restore (successor.planner);
  successor.has_more_ends = true;
  successor.report (1, "i-0",
                    { Planner::make_ended_run (1, task_a, 1, RST_END_DONE) });
  successor.settle ();
  successor.report (1, "i-0", {}, 2);
  successor.settle ();
  EXPECT_EQ (count_starts (successor, task_b), 0u);
  successor.has_more_ends = false;
  successor.add_instance ("i-0", false, "a", 2);
  successor.report (1, "i-0", {}, 2);
  successor.settle ();
  EXPECT_EQ (count_starts (successor, task_b), 1u);
  EXPECT_EQ (count_starts (successor, task_a), 0u);
}

// The instance falls silent after an incomplete list; a third planner follows.
TEST (PartialView, ThirdPlannerWaitsForAnInstanceThatFellSilent)
{
  Planner first;
  Planner second (2);
  Planner third (3);
  Planner journal;

  first.start_serving (1);
  first.start_job (job_a);
  first.start_job (job_b);
  second.restore (first);
  second.configure ();
  second.add_agent (1);
  second.add_instance ("i-0");
  rst_planner_finish_restore (second.planner);
  second.has_more_ends = true;
  second.report (1, "i-0",
                 { Planner::make_ended_run (1, task_a, 1, RST_END_DONE) });
  second.settle ();
  second.report (1, "i-0", {}, 1, RST_RESULT_UNKNOWN, 5000);
  second.settle ();
  journal.commits = first.commits;
  for (const Commit &commit : second.commits)
    journal.commits.push_back (commit);
  third.restore (journal);
  third.configure ();
  third.add_agent (1);
  third.add_instance ("i-1");
  rst_planner_finish_restore (third.planner);
  third.report (1, "i-1", {});
  third.settle ();
  EXPECT_EQ (count_starts (third, task_b), 0u);
}

// The protocol lists none of these for a start; an instance that has not
// rejected the order may have carried it out.
TEST (PartialView, StartAnsweredWithAnUnlistedStatusMayHaveStarted)
{
  for (rst_result result :
       { RST_RESULT_ABSENT, RST_RESULT_COMPACTED, RST_RESULT_CONFLICT })
    {
      Planner planner;

      planner.start_serving (2);
      planner.send_call (7, RST_OPERATION_SUBMIT, job_a,
                         Planner::make_job (1, 1000));
      planner.settle ();
      auto starts = planner.sent_of_kind (RST_MSG_START);
      ASSERT_EQ (starts.size (), 1u);
      planner.answer_order (1, RST_MSG_STARTED, starts[0].id, task_a, 1,
                            result);
      planner.settle ();
      EXPECT_EQ (count_starts (planner, task_a), 1u) << result;
    }
}

TEST (PartialView, RunWhoseStopFailedIsKept)
{
  for (rst_result result : { RST_RESULT_NOT_SENT, RST_RESULT_REJECTED,
                             RST_RESULT_FENCED, RST_RESULT_UNKNOWN })
    {
      Planner planner;

      planner.start_serving (2);
      planner.send_call (7, RST_OPERATION_SUBMIT, job_a,
                         Planner::make_job (1, 1000));
      planner.settle ();
      auto starts = planner.sent_of_kind (RST_MSG_START);
      ASSERT_EQ (starts.size (), 1u);
      planner.answer_order (1, RST_MSG_STARTED, starts[0].id, task_a, 1,
                            RST_RESULT_UNKNOWN);
      planner.answer_order (1, RST_MSG_STOPPED, starts[0].id, task_a, 1,
                            result);
      planner.report (1, starts[0].id, {});
      planner.settle ();
      EXPECT_EQ (count_starts (planner, task_a), 1u) << result;
    }
}

TEST (PartialView, AnswerWithoutAListOfEndsIsNotComplete)
{
  rst_instance_answer *answer = rst_instance_answer_new ();
  bool parsed = rst_platform_parse_runs (
      "{\"clock_ms\":9,\"born\":4,\"running\":[]}", answer);

  EXPECT_TRUE (!parsed || answer->has_more_ends);
  rst_instance_answer_free (answer);
}

TEST (PartialView, AnswerWithARowThatCannotBeReadIsNotComplete)
{
  rst_instance_answer *answer = rst_instance_answer_new ();
  bool parsed = rst_platform_parse_runs (
      "{\"clock_ms\":9,\"born\":4,\"running\":[7],\"finished\":[]}", answer);

  EXPECT_TRUE (!parsed || answer->has_more_ends);
  rst_instance_answer_free (answer);
}

// The report ends in a row that can't be read.
TEST (PartialView, ReportThatCannotBeReadLosesNoRun)
{
  Planner planner;
  rst_pack pack;
  msgpack_unpacked unpacked;
  rst_reader reader;

  planner.start_serving (1);
  planner.start_job (job_a);
  planner.clock += 100;
  rst_pack_init (&pack, 8);
  rst_pack_text (&pack, "i-0");
  rst_pack_int (&pack, RST_RESULT_OK);
  rst_pack_int (&pack, planner.clock);
  rst_pack_int (&pack, 1);
  rst_pack_int (&pack, 0);
  rst_pack_int (&pack, planner.fencing_tokens["i-0"]);
  rst_pack_int (&pack, 0);
  rst_pack_array (&pack, 1);
  rst_pack_int (&pack, 7);
  rst_reader_open (&reader, &unpacked, pack.buffer.data, pack.buffer.size);
  rst_planner_receive_message (planner.planner, 1, RST_MSG_REPORT, &reader);
  msgpack_unpacked_destroy (&unpacked);
  rst_pack_clear (&pack);
  planner.settle ();
  EXPECT_EQ (count_starts (planner, task_a), 0u);
}

static void
deliver_started (Planner &planner, int64_t clock_ms)
{
  rst_pack pack;
  msgpack_unpacked unpacked;
  rst_reader reader;

  rst_pack_init (&pack, 5);
  rst_pack_text (&pack, "i-0");
  rst_pack_text (&pack, task_a.c_str ());
  rst_pack_int (&pack, 1);
  rst_pack_int (&pack, RST_RESULT_OK);
  rst_pack_int (&pack, clock_ms);
  rst_reader_open (&reader, &unpacked, pack.buffer.data, pack.buffer.size);
  rst_planner_receive_message (planner.planner, 1, RST_MSG_STARTED, &reader);
  msgpack_unpacked_destroy (&unpacked);
  rst_pack_clear (&pack);
}

// A list that was made before the start arrives after its answer, which has no
// clock.
TEST (PartialView, StartAnsweredWithoutAClockIsNotLost)
{
  Planner planner;

  planner.start_serving (1);
  planner.send_call (7, RST_OPERATION_SUBMIT, job_a,
                     Planner::make_job (1, 1000));
  planner.settle ();
  ASSERT_EQ (count_starts (planner, task_a), 1u);
  deliver_started (planner, 0);
  planner.report (1, "i-0", {});
  planner.settle ();
  EXPECT_EQ (count_starts (planner, task_a), 1u);
}
