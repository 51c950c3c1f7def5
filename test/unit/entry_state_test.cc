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
  EXPECT_EQ (decide (9000), RST_ENTRY_SEND);
  EXPECT_EQ (rst_entry_state_next_change (&state, 1000), 0);
  rst_entry_state_link_lost (&state, 9000);
  EXPECT_EQ (decide (9800), RST_ENTRY_WAIT);
  EXPECT_EQ (decide (10000), RST_ENTRY_WAIT);
  EXPECT_EQ (rst_entry_state_next_change (&state, 9000), 10001);
  EXPECT_EQ (decide (10001), RST_ENTRY_REJECT);
  rst_entry_state_welcome (&state, 12000, true);
  EXPECT_EQ (decide (12000), RST_ENTRY_SEND);
}

// Fails if callers are held for as long as a planner takes to restore, or if
// links to planners that don't serve begin the wait anew.
TEST_F (EntryState, PlannersThatDoNotServeDoNotProlongTheWait)
{
  rst_entry_state_welcome (&state, 1000, true);
  rst_entry_state_link_lost (&state, 9000);
  rst_entry_state_welcome (&state, 9500, false);
  EXPECT_EQ (decide (9900), RST_ENTRY_WAIT);
  rst_entry_state_link_lost (&state, 9900);
  rst_entry_state_welcome (&state, 9950, false);
  EXPECT_EQ (decide (10001), RST_ENTRY_REJECT);
}

// Fails if callers of a process that has just started are rejected at once.
TEST_F (EntryState, WaitsForTheFirstPlanner)
{
  EXPECT_EQ (decide (1000), RST_ENTRY_WAIT);
  EXPECT_EQ (decide (2001), RST_ENTRY_REJECT);
}

// Fails if callers are held although the planner has said that it is isolated
// with the zone.
TEST_F (EntryState, RejectsAtOnceWhenThePlannerStopsServing)
{
  rst_entry_state_welcome (&state, 1000, true);
  rst_entry_state_welcome (&state, 9000, false);
  EXPECT_EQ (decide (9000), RST_ENTRY_REJECT);
  rst_entry_state_welcome (&state, 9100, false);
  EXPECT_EQ (decide (9100), RST_ENTRY_REJECT);
  rst_entry_state_welcome (&state, 9200, true);
  EXPECT_EQ (decide (9200), RST_ENTRY_SEND);
  rst_entry_state_link_lost (&state, 9300);
  EXPECT_EQ (decide (9300), RST_ENTRY_WAIT);
}
