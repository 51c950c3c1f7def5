// That waiting tasks start again in time when a planner has been careful.
#include <map>

#include <gtest/gtest.h>

#include "cell_harness.h"

using harness::Planner;
using harness::Sent;

static const char *const job_a = "00000000000000aa";
static const std::string task_a0 = "00000000000000aa.0.0.0";

// The store confirms the planner all the time, but takes 450 ms for each
// commit, such as over a narrow link.
TEST (PlannerLiveness, RestartsTasksWithASlowStore)
{
  Planner cell;

  cell.start_serving (2);
  std::string id = cell.start_job (job_a);

  cell.is_confirmed = false;
  cell.advance_time (450);
  cell.report (1, id,
               { Planner::make_ended_run (1, task_a0, 1, RST_END_FAILED) });
  for (int i = 0; i < 40; i++)
    {
      rst_planner_set_confirmed (cell.planner, cell.now - 450);
      cell.advance_time (450);
      if (cell.is_committing)
        cell.complete_commit ();
    }
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 1u);
}

// The agent was suspended and refuses four outdated orders; nothing is wrong
// with the instance.
TEST (PlannerLiveness, UsesAnInstanceAgainAfterOutdatedOrders)
{
  Planner cell;

  cell.start_serving (1);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a, Planner::make_job (4, 1000));
  cell.settle ();
  std::vector<Sent> starts = cell.sent_of_kind (RST_MSG_START);

  ASSERT_EQ (starts.size (), 4u);
  cell.sent.clear ();
  for (const Sent &start : starts)
    cell.answer_order (1, RST_MSG_STARTED, start.id, start.task, start.attempt,
                       RST_RESULT_NOT_SENT);
  cell.advance_time (3000);
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 4u);
}

// An agent joins while an instance does not answer.
TEST (PlannerLiveness, JoiningAgentDoesNotProlongTheWaitForASilentInstance)
{
  Planner cell;

  cell.start_serving (4);
  std::string id = cell.start_job (job_a);

  cell.report (1, id, {}, 1, RST_RESULT_UNKNOWN, 1000);
  for (uint64_t link = 2; link < 6; link++)
    {
      cell.advance_time (200);
      cell.add_agent (link);
      for (const Sent &hold : cell.sent_of_kind (RST_MSG_HOLD))
        if (hold.id != id)
          cell.report (hold.link, hold.id, {});
    }
  cell.advance_time (3000);
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 1u);
}

// Agents join within a few milliseconds, as after a succession, before any
// instance has answered.
TEST (PlannerLiveness, SpreadsInstancesOverAgentsThatJoinTogether)
{
  Planner cell;
  std::map<std::string, uint64_t> holders;
  std::map<uint64_t, int> counts;

  cell.configure ();
  cell.add_agent (1);
  for (int i = 0; i < 12; i++)
    cell.add_instance ("i-" + std::to_string (i));
  rst_planner_finish_restore (cell.planner);
  cell.add_agent (2);
  cell.add_agent (3);
  for (const Sent &hold : cell.sent_of_kind (RST_MSG_HOLD))
    holders[hold.id] = hold.link;
  for (const auto &[id, link] : holders)
    counts[link]++;
  EXPECT_LE (counts[1], 6);
  EXPECT_GE (counts[3], 2);
}

// Two zones with an agent each; the second one is cut off.
class CutZone : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    cell.configure ();
    cell.add_agent (1, "a");
    cell.add_agent (2, "b");
    cell.add_instance ("i-a", false, "a");
    cell.add_instance ("i-b", false, "b");
    rst_planner_finish_restore (cell.planner);
    cell.report (1, "i-a", {});
    cell.report (2, "i-b", {});
    cell.settle ();
    cell.sent.clear ();
  }

  // Returns the instances on which the tasks of a job are started that fills
  // both.
  std::set<std::string>
  place_job (const char *id)
  {
    std::set<std::string> used;

    cell.sent.clear ();
    cell.send_call (7, RST_OPERATION_SUBMIT, id, Planner::make_job (16, 500));
    cell.settle ();
    for (const Sent &start : cell.sent_of_kind (RST_MSG_START))
      used.insert (start.id);
    return used;
  }

  Planner cell;
};

// Fails if tasks start over a link that is still open but silent: they would
// be in doubt until their leases expire.
TEST_F (CutZone, GetsNoTasksBeforeItsLinkIsClosed)
{
  cell.silent_links.insert (2);
  cell.advance_time (450);
  EXPECT_EQ (place_job (job_a), (std::set<std::string>{ "i-a" }));
}

// Fails if instances stay unused once their agent answers again.
TEST_F (CutZone, GetsTasksAgainWhenItsAgentAnswers)
{
  cell.silent_links.insert (2);
  cell.advance_time (450);
  cell.silent_links.clear ();
  cell.advance_time (50);
  EXPECT_EQ (place_job (job_a), (std::set<std::string>{ "i-a", "i-b" }));
}

// Fails if a planner that reads the answers of all agents late, such as after
// it stood still, stops placing tasks.
TEST_F (CutZone, IsNotAssumedWhenNoAgentIsHeard)
{
  cell.are_agents_heard = false;
  cell.advance_time (1000);
  EXPECT_EQ (place_job (job_a), (std::set<std::string>{ "i-a", "i-b" }));
}
