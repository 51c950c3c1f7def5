// Whether a planner is cut off from the others with its zone.
#include <gtest/gtest.h>

#include <string>

#include "cell_harness.h"

extern "C"
{
#include "cell/isolation.h"
}

using harness::Planner;

class Isolation : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    isolation = rst_isolation_create ("z1");
    for (const char *name : { "a1", "a2", "a3" })
      hear (name, "z1", 10000);
    for (const char *name : { "b1", "b2", "b3" })
      hear (name, "z2", 10000);
    for (const char *name : { "c1", "c2", "c3" })
      hear (name, "z3", 10000);
    run (9750, 10000);
  }

  void
  TearDown () override
  {
    rst_isolation_destroy (isolation);
  }

  void
  hear (const char *name, const char *zone, rst_ms now)
  {
    rst_isolation_note_heard (isolation, name, zone, now);
  }

  void
  hear_zone (const std::string &letter, const char *zone, rst_ms now)
  {
    for (const char *number : { "1", "2", "3" })
      hear ((letter + number).c_str (), zone, now);
  }

  // Evaluates at each heartbeat.
  bool
  run (rst_ms from, rst_ms to)
  {
    bool isolated = false;

    for (rst_ms now = from; now <= to; now += 250)
      isolated = rst_isolation_evaluate (isolation, now, confirmed_at, &signs);
    return isolated;
  }

  rst_isolation *isolation = nullptr;
  rst_ms confirmed_at = 10000;
  rst_isolation_signs signs = {};
};

// Fails if entry instances of a zone that is cut off with the planner go on
// taking callers.
TEST_F (Isolation, BeginsWithTheStoreAndTheOtherZonesSilent)
{
  EXPECT_FALSE (run (10250, 10750));
  hear_zone ("a", "z1", 10750);
  EXPECT_FALSE (run (11000, 11000));
  EXPECT_TRUE (run (11250, 11250));
  EXPECT_EQ (signs.confirm_age_ms, 1250);
  EXPECT_EQ (signs.agents, 9u);
  EXPECT_EQ (signs.silent_agents, 6u);
  EXPECT_EQ (signs.other_agents, 6u);
  EXPECT_EQ (signs.silent_other_agents, 6u);
  hear_zone ("a", "z1", 19000);
  EXPECT_TRUE (run (11500, 19000));
}

// Fails if every zone becomes not ready in an outage of the store.
TEST_F (Isolation, AnOutageOfTheStoreAloneIsNone)
{
  for (rst_ms now = 10250; now < 20000; now += 250)
    {
      hear_zone ("a", "z1", now);
      hear_zone ("b", "z2", now);
      hear_zone ("c", "z3", now);
      EXPECT_FALSE (run (now, now));
    }
}

// Fails if a planner that the store confirms stops serving because other zones
// are cut off.
TEST_F (Isolation, LossOfAgentsAloneIsNone)
{
  for (rst_ms now = 10250; now < 20000; now += 250)
    {
      hear_zone ("a", "z1", now);
      confirmed_at = now;
      EXPECT_FALSE (run (now, now));
    }
}

// Fails if the cut of one other zone during an outage of the store stops the
// planner, which most agents still hear.
TEST_F (Isolation, LossOfOneOfTwoOtherZonesIsNone)
{
  for (rst_ms now = 10250; now < 20000; now += 250)
    {
      hear_zone ("a", "z1", now);
      hear_zone ("b", "z2", now);
      EXPECT_FALSE (run (now, now));
    }
}

// Fails if a planner whose own machine is cut off goes on serving because of
// one agent.
TEST_F (Isolation, LossOfMostAgentsIsOne)
{
  for (rst_ms now = 10250; now <= 11250; now += 250)
    {
      hear ("a1", "z1", now);
      hear ("b1", "z2", now);
      run (now, now);
    }
  EXPECT_TRUE (run (11250, 11250));
}

// Fails if a cell of one zone stops serving.
TEST_F (Isolation, IsNoneInACellOfOneZone)
{
  rst_isolation *single = rst_isolation_create ("z1");

  for (const char *name : { "a1", "a2", "a3" })
    rst_isolation_note_heard (single, name, "z1", 10000);
  for (rst_ms now = 10000; now < 20000; now += 250)
    EXPECT_FALSE (rst_isolation_evaluate (single, now, 10000, &signs));
  rst_isolation_destroy (single);
}

// Fails if agents that ended long before an outage of the store count as
// silent, such as those of a zone that was evacuated.
TEST_F (Isolation, AgentsLostBeforeTheOutageDoNotCount)
{
  for (rst_ms now = 10250; now <= 15250; now += 250)
    {
      hear_zone ("a", "z1", now);
      confirmed_at = now;
      EXPECT_FALSE (run (now, now));
    }
  EXPECT_EQ (signs.other_agents, 0u);
  EXPECT_FALSE (run (15500, 18000));
}

// Fails if the planner stops serving after a pause of its own process, when
// the answers of its agents wait to be read.
TEST_F (Isolation, OwnPausesAreNone)
{
  EXPECT_FALSE (run (13000, 13000));
  EXPECT_FALSE (run (13250, 13750));
  EXPECT_TRUE (run (14000, 14000));
}

// Fails if the planner does not serve again once the signs are gone.
TEST_F (Isolation, EndsWithTheSigns)
{
  EXPECT_TRUE (run (10250, 11250));
  hear_zone ("b", "z2", 11400);
  hear_zone ("a", "z1", 11400);
  EXPECT_FALSE (run (11500, 11500));
  EXPECT_TRUE (run (11750, 12500));
  confirmed_at = 12600;
  EXPECT_FALSE (run (12750, 12750));
}

// Fails if an isolated planner holds jobs that it can't store, rejects one
// whose commit is under way, or denies a job that its successor may have
// accepted.
TEST (IsolatedPlanner, RejectsOnlyWhatNeverRuns)
{
  Planner cell;
  const char *sent_job = "00000000000000aa";
  const char *kept_job = "00000000000000ab";
  const char *late_job = "00000000000000ac";

  cell.answers_commits = false;
  cell.start_serving (2);
  cell.send_call (1, RST_OPERATION_SUBMIT, sent_job,
                  Planner::make_job (1, 1000));
  cell.advance_time (40);
  cell.send_call (2, RST_OPERATION_SUBMIT, kept_job,
                  Planner::make_job (1, 1000));
  rst_planner_set_isolated (cell.planner, true);
  ASSERT_NE (cell.reply_to (2), nullptr);
  EXPECT_EQ (cell.reply_to (2)->reply.outcome, RST_OUTCOME_REJECTED);
  EXPECT_EQ (cell.reply_to (2)->reply.retry_s, 1);
  EXPECT_EQ (cell.reply_to (1), nullptr);
  cell.send_call (3, RST_OPERATION_SUBMIT, late_job,
                  Planner::make_job (1, 1000));
  cell.send_call (4, RST_OPERATION_READ, late_job);
  cell.send_call (5, RST_OPERATION_CANCEL, late_job);
  for (uint64_t call : { 3, 4, 5 })
    {
      ASSERT_NE (cell.reply_to (call), nullptr);
      EXPECT_EQ (cell.reply_to (call)->reply.outcome, RST_OUTCOME_REJECTED);
    }
  rst_planner_set_isolated (cell.planner, false);
  cell.complete_commit ();
  cell.settle ();
  ASSERT_NE (cell.reply_to (1), nullptr);
  EXPECT_EQ (cell.reply_to (1)->reply.outcome, RST_OUTCOME_OK);
  cell.send_call (6, RST_OPERATION_READ, late_job);
  EXPECT_EQ (cell.reply_to (6)->reply.outcome, RST_OUTCOME_NO_JOB);
}
