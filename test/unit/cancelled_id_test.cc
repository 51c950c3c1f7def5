// Cancels of jobs whose submission is still on its way.
#include <gtest/gtest.h>

#include "cell_harness.h"

extern "C"
{
#include "cell/peer_clock.h"
#include "util/stall.h"
}

using harness::Planner;

namespace
{

const std::string job = "00000000000000c1";

uint64_t
count_notes (const Planner &planner)
{
  rst_planner_stats stats = {};

  rst_planner_read_stats (planner.planner, &stats);
  return stats.notes;
}

// Creates the successor of a planner, which begins to serve.
void
succeed (Planner &successor, const Planner &predecessor)
{
  successor.configure ();
  successor.restore (predecessor);
  successor.add_agent (1);
  successor.add_instance ("i-0");
  rst_planner_finish_restore (successor.planner);
  successor.report (1, "i-0", {});
  successor.settle ();
}

} // namespace

// A caller was told that the job it cancelled does not exist; its submission,
// read late, was accepted after that and ran.
TEST (CancelledId, RejectsASubmissionThatWasSentBeforeTheCancel)
{
  Planner planner;
  rst_ms sent_at = 900;

  planner.start_serving (1);
  EXPECT_EQ (planner.cancel (job), RST_OUTCOME_NO_JOB);
  planner.advance_time (3800);
  EXPECT_EQ (planner.submit_sent_at (job, sent_at), RST_OUTCOME_REJECTED);
  // One that can't be dated may have been sent before, too.
  EXPECT_EQ (planner.submit_sent_at (job, 0), RST_OUTCOME_REJECTED);
  EXPECT_TRUE (planner.sent_of_kind (RST_MSG_START).empty ());
  EXPECT_EQ (planner.get_outcome (RST_OPERATION_READ, job, nullptr, 0),
             RST_OUTCOME_NO_JOB);
}

TEST (CancelledId, HoldsAfterThePlannerWasReplaced)
{
  Planner first;
  Planner second (2);
  Planner third (3);
  rst_ms sent_at = 900;

  first.start_serving (1);
  EXPECT_EQ (first.cancel (job), RST_OUTCOME_NO_JOB);
  succeed (second, first);
  EXPECT_EQ (second.submit_sent_at (job, sent_at), RST_OUTCOME_REJECTED);
  EXPECT_EQ (second.unreadable, 0);
  // The journal of both.
  std::vector<harness::Commit> commits = first.commits;

  commits.insert (commits.end (), second.commits.begin (),
                  second.commits.end ());
  second.commits = commits;
  succeed (third, second);
  EXPECT_EQ (third.submit_sent_at (job, sent_at), RST_OUTCOME_REJECTED);
  EXPECT_EQ (count_notes (third), 1u);
}

// The caller is told only what a successor knows as well.
TEST (CancelledId, IsStoredBeforeTheCallerIsTold)
{
  Planner planner;

  planner.answers_commits = false;
  planner.start_serving (1);
  planner.send_call (1, RST_OPERATION_CANCEL, job);
  planner.advance_time (100);
  ASSERT_TRUE (planner.is_committing);
  EXPECT_EQ (planner.reply_to (1), nullptr);
  planner.complete_commit ();
  ASSERT_NE (planner.reply_to (1), nullptr);
  EXPECT_EQ (planner.reply_to (1)->reply.outcome, RST_OUTCOME_NO_JOB);
}

// A caller may use the id again after its cancel, with this planner and with
// the next one, which finds both records.
TEST (CancelledId, AcceptsASubmissionThatWasSentAfterTheCancel)
{
  Planner planner;
  Planner successor (2);

  planner.start_serving (1);
  EXPECT_EQ (planner.cancel (job), RST_OUTCOME_NO_JOB);
  EXPECT_EQ (planner.submit_sent_at (job, planner.now), RST_OUTCOME_OK);
  EXPECT_EQ (planner.sent_of_kind (RST_MSG_START).size (), 1u);
  EXPECT_EQ (count_notes (planner), 0u);
  succeed (successor, planner);
  EXPECT_EQ (successor.unreadable, 0);
  EXPECT_EQ (count_notes (successor), 0u);
  EXPECT_EQ (successor.get_outcome (RST_OPERATION_READ, job, nullptr, 0),
             RST_OUTCOME_STATE);
  EXPECT_EQ (successor.sent_of_kind (RST_MSG_START).size (), 1u);
}

TEST (CancelledId, AcceptsANewSubmissionAfterThePlannerWasReplaced)
{
  Planner planner;
  Planner successor (2);

  planner.start_serving (1);
  EXPECT_EQ (planner.cancel (job), RST_OUTCOME_NO_JOB);
  succeed (successor, planner);
  EXPECT_EQ (successor.submit_sent_at (job, successor.now), RST_OUTCOME_OK);
  EXPECT_EQ (successor.sent_of_kind (RST_MSG_START).size (), 1u);
}

// A submission is never older than the notes that are kept.
TEST (CancelledId, RejectsASubmissionThatIsOlderThanAnyNote)
{
  Planner planner;

  planner.start_serving (1);
  rst_ms sent_at = planner.now;

  planner.advance_time (13000);
  EXPECT_EQ (planner.submit_sent_at (job, sent_at), RST_OUTCOME_REJECTED);
  EXPECT_EQ (planner.submit_sent_at (job, planner.now - 3000), RST_OUTCOME_OK);
}

// The count of waiting jobs does not change, and a flood of cancels takes
// bounded memory; notes are forgotten when nothing can need them.
TEST (CancelledId, IsNotedABoundedNumberOfTimes)
{
  Planner planner;
  const int max = 4096;

  planner.start_serving (1);
  for (int i = 0; i <= max; i++)
    {
      char id[17];

      g_snprintf (id, sizeof id, "%016x", i + 0x10000);
      planner.send_call (10000 + (uint64_t)i, RST_OPERATION_CANCEL, id);
    }
  EXPECT_EQ (count_notes (planner), (uint64_t)max);
  ASSERT_NE (planner.reply_to (10000 + max), nullptr);
  EXPECT_EQ (planner.reply_to (10000 + max)->reply.outcome,
             RST_OUTCOME_REJECTED);
  for (int i = 0; i < 20; i++)
    planner.settle ();
  EXPECT_EQ (planner.reply_to (10000)->reply.outcome, RST_OUTCOME_NO_JOB);
  planner.send_call (1, RST_OPERATION_READ, "");
  EXPECT_EQ (planner.reply_to (1)->reply.count, 0);
  for (rst_ms end = planner.now + 15000; planner.now < end;)
    planner.settle ();
  EXPECT_EQ (planner.cancel (job), RST_OUTCOME_NO_JOB);
  EXPECT_EQ (count_notes (planner), 1u);
}

// A process that stood still can't tell when the requests were sent that it
// finds.
TEST (StallWatch, DatesRequestsBeforeAStall)
{
  rst_stall_watch watch = {};

  EXPECT_EQ (rst_stall_watch_date (&watch, 900), 900);
  for (rst_ms now = 1000; now <= 1500; now += 100)
    EXPECT_FALSE (rst_stall_watch_note (&watch, now));
  EXPECT_EQ (rst_stall_watch_date (&watch, 1510), 1510);
  EXPECT_TRUE (rst_stall_watch_note (&watch, 5300));
  EXPECT_EQ (rst_stall_watch_date (&watch, 5300), 1500);
  // Another thread may read a request some time after the stall.
  EXPECT_FALSE (rst_stall_watch_note (&watch, 5400));
  EXPECT_EQ (rst_stall_watch_date (&watch, 5800), 1500);
  // A second stall before all have been read.
  EXPECT_TRUE (rst_stall_watch_note (&watch, 5900));
  EXPECT_EQ (rst_stall_watch_date (&watch, 5900), 1500);
  for (rst_ms now = 6000; now <= 6900; now += 100)
    rst_stall_watch_note (&watch, now);
  EXPECT_EQ (rst_stall_watch_date (&watch, 6900), 6900);
}

TEST (PeerClock, IsNeverAheadOfThePeer)
{
  rst_peer_clock peer = {};

  EXPECT_EQ (rst_peer_clock_convert (&peer, 1000), 0);
  // The peer's clock is 50,000 ahead; messages take 3 ms, then 400 ms.
  rst_peer_clock_read (&peer, 1000, 51000 - 3);
  EXPECT_EQ (rst_peer_clock_convert (&peer, 1000), 50997);
  rst_peer_clock_read (&peer, 2000, 52000 - 400);
  for (rst_ms at = 500; at <= 4000; at += 100)
    {
      rst_ms converted = rst_peer_clock_convert (&peer, at);

      // Either clock may run 2 % slow.
      EXPECT_LE (converted, 51000 + (at - 1000) - (at - 1000) / 50 + 20);
      EXPECT_GE (converted, 50000 + at - 100);
    }
}
