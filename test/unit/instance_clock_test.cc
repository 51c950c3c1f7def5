// Instances whose time of day was set back before they started again under
// their id: the new incarnation's start time is then below the earlier one's.
#include <gtest/gtest.h>

#include "cell_harness.h"

using harness::Planner;

static const char *const job_a = "00000000000000aa";
static const char *const job_b = "00000000000000bb";
static const std::string task_a0 = "00000000000000aa.0.0.0";
static const std::string task_b0 = "00000000000000bb.0.0.0";

// Start times of two incarnations, the second after its clock was set back.
static const int64_t first_start = 9;
static const int64_t earlier_start = 4;

// Longer than a lease of 6 s takes to expire by the planner's clock.
static const rst_ms longest_lease_ms = 6000 * 102 / 100 + 300 + 200;

// Starts serving with instances of the first incarnation.
static void
start_serving (Planner &cell, int instances)
{
  cell.start_serving (instances);
  for (int i = 0; i < instances; i++)
    {
      std::string id = "i-" + std::to_string (i);

      cell.add_instance (id, false, "a", first_start);
      cell.report (1, id, {}, first_start);
    }
  cell.settle ();
  cell.sent.clear ();
}

static void
register_restarted (Planner &cell, const std::string &id)
{
  cell.add_instance (id, false, "a", earlier_start);
}

TEST (InstanceClock, ItsInstanceTakesStartsAgain)
{
  Planner cell;

  start_serving (cell, 1);
  cell.report (1, "i-0", {}, first_start, RST_RESULT_UNKNOWN, 0);
  register_restarted (cell, "i-0");
  cell.report (1, "i-0", {}, earlier_start);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a, Planner::make_job (1, 1000));
  cell.settle ();
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 1u);
}

// No poll failed, as the instance was back before the next one.
TEST (InstanceClock, RunsOfTheEarlierIncarnationStartAgain)
{
  Planner cell;

  start_serving (cell, 1);
  std::string id = cell.start_job (job_a);
  int64_t first_token = cell.fencing_tokens[id];

  register_restarted (cell, id);
  // The list was made under the token that late orders carry too.
  cell.report_once (1, id, {}, earlier_start);
  cell.settle ();
  EXPECT_GT (cell.fencing_tokens[id], first_token);
  EXPECT_TRUE (cell.sent_of_kind (RST_MSG_START).empty ());
  cell.report_once (1, id, {}, earlier_start);
  cell.settle ();
  ASSERT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 1u);
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_START)[0].attempt, 2);
}

// The new incarnation carried out an order that was on its way, and its agent
// extends its lease.
TEST (InstanceClock, ItsRunsDoNotStartElsewhereAfterALease)
{
  Planner cell;

  start_serving (cell, 2);
  std::string id = cell.start_job (job_a);

  cell.report (1, id, {}, first_start, RST_RESULT_UNKNOWN, 6000);
  register_restarted (cell, id);
  cell.report (1, id, { Planner::make_running_run (task_a0, 1) },
               earlier_start);
  for (rst_ms end = cell.now + longest_lease_ms; cell.now < end;)
    {
      rst_run run = Planner::make_running_run (task_a0, 1);

      run.progress_percent = (int)(cell.now / 100 % 100);
      cell.report (1, id, { run }, earlier_start);
      cell.advance_time (500);
    }
  EXPECT_TRUE (cell.sent_of_kind (RST_MSG_START).empty ());
}

// An answer of the earlier incarnation that arrives late was given under an
// earlier token.
TEST (InstanceClock, AnOutdatedListChangesNothing)
{
  Planner cell;

  start_serving (cell, 1);
  int64_t first_token = cell.fencing_tokens["i-0"];

  register_restarted (cell, "i-0");
  cell.report (1, "i-0", {}, earlier_start);
  std::string id = cell.start_job (job_a);
  int64_t token = cell.fencing_tokens[id];

  cell.fencing_tokens[id] = first_token;
  cell.report_once (1, id, {}, first_start);
  cell.fencing_tokens[id] = token;
  cell.settle ();
  EXPECT_TRUE (cell.sent_of_kind (RST_MSG_START).empty ());
  cell.report (1, id,
               { Planner::make_ended_run (1, task_a0, 1, RST_END_DONE) },
               earlier_start);
  cell.settle ();
  cell.send_call (8, RST_OPERATION_READ, job_a);
  EXPECT_EQ (cell.reply_to (8)->reply.state, RST_JOB_COMPLETED);
}

// A write of the earlier incarnation that the store carries out late.
TEST (InstanceClock, ALateEntryOfTheEarlierIncarnationKeepsTheAcks)
{
  Planner cell;

  cell.answers_commits = false;
  start_serving (cell, 1);
  cell.report (1, "i-0", {}, earlier_start);
  register_restarted (cell, "i-0");
  std::string id = cell.start_job (job_a);

  cell.report (1, id,
               { Planner::make_ended_run (1, task_a0, 1, RST_END_DONE) },
               earlier_start);
  cell.advance_time (60);
  ASSERT_TRUE (cell.is_committing);
  cell.add_instance (id, false, "a", first_start);
  cell.complete_commit ();
  cell.report (1, id,
               { Planner::make_ended_run (1, task_a0, 1, RST_END_DONE) },
               earlier_start);
  cell.settle ();
  EXPECT_FALSE (cell.sent_of_kind (RST_MSG_ACK).empty ());
  // It takes starts once its own entry is back.
  cell.send_call (9, RST_OPERATION_SUBMIT, job_b, Planner::make_job (1, 1000));
  cell.settle ();
  EXPECT_TRUE (cell.sent_of_kind (RST_MSG_START).empty ());
  register_restarted (cell, id);
  cell.settle ();
  ASSERT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 1u);
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_START)[0].task, task_b0);
}

TEST (InstanceClock, AListWithoutAStartTimeChangesNothing)
{
  Planner cell;

  start_serving (cell, 1);
  std::string id = cell.start_job (job_a);
  int64_t token = cell.fencing_tokens[id];

  cell.report (1, id, {}, 0);
  cell.settle ();
  EXPECT_EQ (cell.fencing_tokens[id], token);
  EXPECT_TRUE (cell.sent_of_kind (RST_MSG_START).empty ());
}
