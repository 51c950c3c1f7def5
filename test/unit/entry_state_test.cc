// Whether an entry instance sends calls, lets them wait or rejects them.
#include <gtest/gtest.h>

extern "C"
{
#include "cell/entry_state.h"
}

class EntryState : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    rst_entry_state_init (&state, 1000);
  }

  rst_entry_action
  decide (rst_ms now)
  {
    return rst_entry_state_decide (&state, now);
  }

  rst_entry_state state = {};
};

// Fails if calls are rejected at once during a usual succession.
TEST_F (EntryState, CallsWaitForAsLongAsASuccessionTakes)
{
  rst_entry_state_welcome (&state, 1000, true);
  EXPECT_EQ (decide (1800), RST_ENTRY_SEND);
  rst_entry_state_heartbeat (&state, 9000, 9000);
  EXPECT_EQ (rst_entry_state_next_change (&state, 9000), 9801);
  rst_entry_state_link_lost (&state, 9000);
  EXPECT_EQ (decide (9800), RST_ENTRY_WAIT);
  EXPECT_EQ (decide (9000 + RST_ENTRY_SUCCESSION_MS), RST_ENTRY_WAIT);
  EXPECT_EQ (rst_entry_state_next_change (&state, 9000),
             9001 + RST_ENTRY_SUCCESSION_MS);
  EXPECT_EQ (decide (9001 + RST_ENTRY_SUCCESSION_MS), RST_ENTRY_REJECT);
  rst_entry_state_welcome (&state, 12000, true);
  EXPECT_EQ (decide (12000), RST_ENTRY_SEND);
}

// Fails if callers are held for as long as a planner takes to restore, or if
// links to planners that don't serve begin the wait anew.
TEST_F (EntryState, PlannersThatDoNotServeDoNotProlongTheWait)
{
  rst_entry_state_welcome (&state, 8900, true);
  rst_entry_state_link_lost (&state, 9000);
  rst_entry_state_welcome (&state, 9500, false);
  EXPECT_EQ (decide (9900), RST_ENTRY_WAIT);
  rst_entry_state_link_lost (&state, 9900);
  rst_entry_state_welcome (&state, 9950, false);
  EXPECT_EQ (decide (9001 + RST_ENTRY_SUCCESSION_MS), RST_ENTRY_REJECT);
}

// Fails if calls are sent into a link that was cut, or if callers are held for
// longer than after the loss of a link.
TEST_F (EntryState, CallsAreNotSentToASilentPlanner)
{
  rst_entry_state_welcome (&state, 1000, true);
  rst_entry_state_heartbeat (&state, 5000, 5000);
  EXPECT_EQ (decide (5800), RST_ENTRY_SEND);
  EXPECT_EQ (decide (5801), RST_ENTRY_WAIT);
  EXPECT_EQ (decide (5800 + RST_ENTRY_SUCCESSION_MS), RST_ENTRY_WAIT);
  EXPECT_EQ (rst_entry_state_next_change (&state, 6000),
             5801 + RST_ENTRY_SUCCESSION_MS);
  EXPECT_EQ (decide (5801 + RST_ENTRY_SUCCESSION_MS), RST_ENTRY_REJECT);
  rst_entry_state_heartbeat (&state, 8000, 7990);
  EXPECT_EQ (decide (8000), RST_ENTRY_SEND);
}

// Fails if the closing of a silent link begins the wait anew.
TEST_F (EntryState, WaitBeginsWithTheSilence)
{
  rst_entry_state_welcome (&state, 1000, true);
  rst_entry_state_heartbeat (&state, 5000, 5000);
  rst_entry_state_link_lost (&state, 6250);
  EXPECT_EQ (decide (5800 + RST_ENTRY_SUCCESSION_MS), RST_ENTRY_WAIT);
  EXPECT_EQ (decide (5801 + RST_ENTRY_SUCCESSION_MS), RST_ENTRY_REJECT);
}

// Fails if a pause of the planner's process of half a second makes the entry
// instance not ready.
TEST_F (EntryState, AShortPauseOfThePlannerIsNoSilence)
{
  rst_entry_state_welcome (&state, 1000, true);
  for (rst_ms beat = 1250; beat < 9000; beat += 750)
    {
      rst_entry_state_heartbeat (&state, beat, beat);
      EXPECT_EQ (decide (beat + 750), RST_ENTRY_SEND);
    }
}

// Fails if heartbeats that a cut held up, and that arrive after it, are taken
// for signs of life: the planner may have been replaced since.
TEST_F (EntryState, HeartbeatsThatWereHeldUpDoNotCount)
{
  rst_entry_state_welcome (&state, 1000, true);
  rst_entry_state_heartbeat (&state, 5000, 5000);
  rst_entry_state_heartbeat (&state, 12000, 5250);
  EXPECT_EQ (decide (12000), RST_ENTRY_REJECT);
}

// Fails if a pause of this process itself is taken for a silence of the
// planner, whose heartbeats wait to be read.
TEST_F (EntryState, OwnPausesAreNoSilence)
{
  rst_entry_state_welcome (&state, 1000, true);
  rst_entry_state_heartbeat (&state, 1100, 1100);
  rst_entry_state_run (&state, 1100);
  rst_entry_state_run (&state, 4000);
  EXPECT_EQ (decide (4000), RST_ENTRY_SEND);
  for (rst_ms now = 4100; now <= 4800; now += 100)
    rst_entry_state_run (&state, now);
  EXPECT_EQ (decide (4800), RST_ENTRY_SEND);
  EXPECT_EQ (decide (4801), RST_ENTRY_WAIT);
}

// Fails if callers of a process that has just started are rejected at once.
TEST_F (EntryState, WaitsForTheFirstPlanner)
{
  EXPECT_EQ (decide (1000), RST_ENTRY_WAIT);
  EXPECT_EQ (decide (1001 + RST_ENTRY_SUCCESSION_MS), RST_ENTRY_REJECT);
}

// Fails if callers are held although the planner has said that it is isolated
// with the zone.
TEST_F (EntryState, RejectsAtOnceWhenThePlannerStopsServing)
{
  rst_entry_state_welcome (&state, 8900, true);
  rst_entry_state_welcome (&state, 9000, false);
  EXPECT_EQ (decide (9000), RST_ENTRY_REJECT);
  rst_entry_state_welcome (&state, 9100, false);
  EXPECT_EQ (decide (9100), RST_ENTRY_REJECT);
  rst_entry_state_welcome (&state, 9200, true);
  EXPECT_EQ (decide (9200), RST_ENTRY_SEND);
  rst_entry_state_link_lost (&state, 9300);
  EXPECT_EQ (decide (9300), RST_ENTRY_WAIT);
}
