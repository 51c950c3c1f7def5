// Steps near data: when they wait for room in their rack, and when they start
// elsewhere.
#include <gtest/gtest.h>

#include "unit/cell_harness.h"

using harness::Planner;
using harness::Sent;

namespace
{

// Two racks of one instance with room for four tasks each.  Tasks take 1 s in
// their rack, and remote_penalty times as long elsewhere.
class Racks : public Planner
{
public:
  explicit Racks (double remote_penalty, bool needs_approval = false)
      : Planner (make_timing (0, false, remote_penalty), 1)
  {
    configure (0, needs_approval);
    add_agent (1);
    add_instance ("near", false, "a", 1, 4000, "r-1");
    add_instance ("far", false, "a", 1, 4000, "r-2");
    rst_planner_finish_restore (planner);
    report (1, "near", {});
    report (1, "far", {});
    settle ();
    sent.clear ();
  }

  // Submits a job whose tasks have their data in r-1, and completes its
  // commit.
  void
  submit (const std::string &id, int tasks, int64_t estimate_ms = 1000)
  {
    rst_jobdesc *desc = make_job (tasks, 1000);

    g_free (desc->steps[0].rack);
    desc->steps[0].rack = g_strdup ("r-1");
    desc->steps[0].estimate_ms = estimate_ms;
    send_call (++calls, RST_OPERATION_SUBMIT, id, desc);
    advance_time (60);
    if (is_committing)
      complete_commit ();
  }

  // Fills r-1 with tasks that are expected to end after @remaining ms.
  void
  fill_rack (rst_ms remaining, int64_t estimate_ms = 1000)
  {
    submit ("0000000000000001", 4, estimate_ms);
    for (const Sent &start : sent_of_kind (RST_MSG_START))
      {
        EXPECT_EQ (start.id, "near");
        answer_order (1, RST_MSG_STARTED, start.id, start.task, start.attempt,
                      RST_RESULT_OK);
      }
    advance_time (estimate_ms - remaining);
    sent.clear ();
  }

  int
  count_starts (const std::string &instance) const
  {
    int count = 0;

    for (const Sent &start : sent_of_kind (RST_MSG_START))
      count += start.id == instance;
    return count;
  }

  rst_planner_stats
  stats () const
  {
    rst_planner_stats out;

    rst_planner_read_stats (planner, &out);
    return out;
  }

private:
  uint64_t calls = 0;
};

} // namespace

// Without a penalty, nothing waits and nothing is counted.
TEST (PlanLocality, StartsElsewhereAtOnceWithoutAPenalty)
{
  for (double penalty : { 0.0, 1.0 })
    {
      Racks racks (penalty);

      racks.fill_rack (300);
      racks.submit ("0000000000000002", 1);
      EXPECT_EQ (racks.count_starts ("far"), 1);
      EXPECT_EQ (racks.stats ().rack_waits, 0u);
    }
}

// Tasks that start elsewhere although room in their rack is about to become
// free take longer than with a short wait.
TEST (PlanLocality, WaitsForRoomThatIsExpectedSoon)
{
  Racks racks (2.0);

  racks.fill_rack (400);
  racks.submit ("0000000000000002", 1);
  EXPECT_EQ (racks.count_starts ("far"), 0);
  racks.report (
      1, "near",
      { Planner::make_ended_run (1, "0000000000000001.0.0.0", 1, RST_END_DONE),
        Planner::make_running_run ("0000000000000001.0.0.1", 1),
        Planner::make_running_run ("0000000000000001.0.0.2", 1),
        Planner::make_running_run ("0000000000000001.0.0.3", 1) });
  racks.advance_time (20);
  EXPECT_EQ (racks.count_starts ("near"), 1);
  EXPECT_EQ (racks.stats ().rack_waits, 1u);
  EXPECT_EQ (racks.stats ().rack_wait_ends[RST_LOCALITY_WAIT], 1u);
}

// A wait must end without any report, at the latest when it has taken as long
// as it gains.
TEST (PlanLocality, EndsAWaitWithoutAnyEvent)
{
  Racks racks (1.4);

  racks.fill_rack (300);
  racks.submit ("0000000000000002", 1);
  EXPECT_EQ (racks.count_starts ("far"), 0);
  racks.advance_time (410);
  EXPECT_EQ (racks.count_starts ("far"), 1);
}

// The caller of rst_planner_run() may sleep until the time it returns.  A wait
// that only ended with the next check of timeouts would be up to 100 ms late.
TEST (PlanLocality, NamesTheEndOfAWaitAsItsNextTime)
{
  for (int gain_ms = 110; gain_ms < 200; gain_ms += 10)
    {
      Racks racks (1.0 + gain_ms / 1000.0);
      rst_ms begin;

      racks.fill_rack (100, 200);
      racks.submit ("0000000000000002", 1);
      begin = racks.now;
      EXPECT_EQ (racks.count_starts ("far"), 0);
      while (racks.now < begin + 600)
        {
          rst_ms wake = rst_planner_run (racks.planner);

          if (racks.count_starts ("far") > 0)
            break;
          racks.set_time (std::max (wake, racks.now + 1));
        }
      EXPECT_LE (racks.now, begin + gain_ms + 5);
    }
}

// Of two tasks that wait for one slot, the second gains nothing.
TEST (PlanLocality, LetsOnlyThoseWaitThatGain)
{
  Racks racks (1.4);

  racks.fill_rack (300);
  racks.submit ("0000000000000002", 6);
  // Four slots are expected in time; two tasks start elsewhere.
  EXPECT_EQ (racks.count_starts ("far"), 2);
  racks.submit ("0000000000000003", 1);
  EXPECT_EQ (racks.count_starts ("far"), 3);
}

// The first second of a run is too long to wait for a gain of 0.4 s.
TEST (PlanLocality, StartsElsewhereIfRoomIsExpectedLate)
{
  Racks racks (1.4);

  racks.fill_rack (900);
  racks.submit ("0000000000000002", 1);
  EXPECT_EQ (racks.count_starts ("far"), 1);
  EXPECT_EQ (racks.stats ().rack_waits, 0u);
}

// While a step waits, the service is not asked about instances elsewhere, and
// before that the rack's instances are named first.
TEST (PlanLocality, RequestsNoAdviceElsewhereDuringAWait)
{
  Racks racks (2.0, true);
  std::vector<Sent> requests;

  racks.submit ("0000000000000001", 4);
  requests = racks.sent_of_kind (RST_MSG_ADVISE);
  ASSERT_EQ (requests.size (), 1u);
  EXPECT_EQ (requests[0].ids[0], "near");
  racks.send_advice (1, requests[0].number, { "near", "far" });
  racks.advance_time (20);
  EXPECT_EQ (racks.count_starts ("near"), 4);
  racks.advance_time (600);
  racks.sent.clear ();
  racks.submit ("0000000000000002", 1);
  EXPECT_EQ (racks.sent_of_kind (RST_MSG_ADVISE).size (), 0u);
  EXPECT_EQ (racks.stats ().rack_waits, 1u);
  // Once the wait is over, it asks.
  racks.advance_time (1100);
  requests = racks.sent_of_kind (RST_MSG_ADVISE);
  ASSERT_EQ (requests.size (), 1u);
  EXPECT_EQ (requests[0].ids, std::vector<std::string>{ "far" });
}

// A successor does not know yet what runs in the rack.
TEST (PlanLocality, NothingWaitsBeforeASuccessorKnowsTheRuns)
{
  Racks racks (2.0);
  Planner successor (2, 0, 2.0);

  racks.fill_rack (300);
  successor.configure ();
  successor.add_agent (1);
  successor.add_instance ("near", false, "a", 1, 4000, "r-1");
  successor.add_instance ("far", false, "a", 1, 4000, "r-2");
  successor.restore (racks);
  rst_planner_finish_restore (successor.planner);
  successor.report (1, "far", {});
  successor.settle ();
  rst_jobdesc *desc = Planner::make_job (1, 1000);
  g_free (desc->steps[0].rack);
  desc->steps[0].rack = g_strdup ("r-1");
  successor.send_call (7, RST_OPERATION_SUBMIT, "0000000000000002", desc);
  successor.settle ();
  EXPECT_EQ (successor.sent_of_kind (RST_MSG_START).size (), 1u);
}

// A wait that is never counted as ended looks like a step that waits for ever.
TEST (PlanLocality, CountsTheEndOfAWaitWithItsJob)
{
  Racks racks (2.0);

  racks.fill_rack (400);
  racks.submit ("0000000000000002", 1);
  racks.cancel ("0000000000000002");
  EXPECT_EQ (racks.stats ().rack_waits, 1u);
  EXPECT_EQ (racks.stats ().rack_wait_ends[RST_LOCALITY_JOB_ENDED], 1u);
}

// A job of 1 s with 3.5 s to its end is late if it starts elsewhere, for 3 s,
// after half a second.
TEST (PlanLocality, StartsElsewhereInTimeForTheObjective)
{
  Racks racks (3.0);
  Racks later (3.0);

  racks.fill_rack (400);
  racks.submit ("0000000000000002", 1);
  EXPECT_EQ (racks.count_starts ("far"), 0);
  racks.advance_time (430);
  EXPECT_EQ (racks.count_starts ("far"), 1);
  EXPECT_EQ (racks.stats ().rack_wait_ends[RST_LOCALITY_OBJECTIVE], 1u);
  later.fill_rack (700);
  later.submit ("0000000000000002", 1);
  EXPECT_EQ (later.count_starts ("far"), 1);
}

// Nothing of the job runs although there is room for four of its tasks.
TEST (PlanLocality, LeavesNoJobWaitingForMoreThanTwoSeconds)
{
  Racks racks (5.0);

  racks.fill_rack (900, 2200);
  racks.submit ("0000000000000002", 1);
  racks.advance_time (1500);
  EXPECT_EQ (racks.count_starts ("far"), 0);
  racks.advance_time (500);
  EXPECT_EQ (racks.count_starts ("far"), 1);
  EXPECT_EQ (racks.stats ().rack_wait_ends[RST_LOCALITY_IDLE_JOB], 1u);
}
