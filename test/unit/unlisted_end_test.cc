// An instance lists a limited number of ends at a time; the others follow once
// those are acknowledged.
#include <gtest/gtest.h>

#include "cell_harness.h"

extern "C"
{
#include "adapter_private.h"
}

using harness::Planner;

static const char *const job_a = "00000000000000aa";
static const char *const job_b = "00000000000000bb";
static const std::string task_a = "00000000000000aa.0.0.0";
static const std::string task_b = "00000000000000bb.0.0.0";

// Starts two jobs on one instance.
static void
start_two_jobs (Planner &planner)
{
  planner.start_serving (1);
  planner.start_job (job_a);
  planner.start_job (job_b);
}

TEST (UnlistedEnd, DoesNotStartTheTaskAgain)
{
  Planner planner;

  start_two_jobs (planner);
  planner.has_more_ends = true;
  planner.report (1, "i-0",
                  { Planner::make_ended_run (1, task_a, 1, RST_END_DONE) });
  planner.advance_time (2000);
  planner.settle ();
  EXPECT_TRUE (planner.sent_of_kind (RST_MSG_START).empty ());
  planner.has_more_ends = false;
  planner.report (1, "i-0",
                  { Planner::make_ended_run (2, task_b, 1, RST_END_DONE) });
  planner.settle ();
  EXPECT_TRUE (planner.sent_of_kind (RST_MSG_START).empty ());
  planner.send_call (8, RST_OPERATION_READ, job_b);
  EXPECT_EQ (planner.reply_to (8)->reply.state, RST_JOB_COMPLETED);
}

TEST (UnlistedEnd, RunThatIsInNoCompleteListIsLost)
{
  Planner planner;

  start_two_jobs (planner);
  planner.has_more_ends = true;
  planner.report (1, "i-0",
                  { Planner::make_ended_run (1, task_a, 1, RST_END_DONE) });
  planner.has_more_ends = false;
  planner.report (1, "i-0", {});
  planner.settle ();
  ASSERT_EQ (planner.sent_of_kind (RST_MSG_START).size (), 1u);
  EXPECT_EQ (planner.sent_of_kind (RST_MSG_START)[0].task, task_b);
}

TEST (UnlistedEnd, KeepsInheritedTasksInDoubt)
{
  Planner predecessor;
  Planner successor (2);

  start_two_jobs (predecessor);
  successor.restore (predecessor);
  successor.configure ();
  successor.add_agent (1);
  successor.add_instance ("i-0");
  rst_planner_finish_restore (successor.planner);
  successor.has_more_ends = true;
  successor.report (1, "i-0",
                    { Planner::make_ended_run (1, task_a, 1, RST_END_DONE) });
  successor.settle ();
  EXPECT_TRUE (successor.sent_of_kind (RST_MSG_START).empty ());
  successor.has_more_ends = false;
  successor.report (1, "i-0",
                    { Planner::make_ended_run (2, task_b, 1, RST_END_DONE) });
  successor.settle ();
  EXPECT_TRUE (successor.sent_of_kind (RST_MSG_START).empty ());
  successor.send_call (8, RST_OPERATION_READ, job_b);
  EXPECT_EQ (successor.reply_to (8)->reply.state, RST_JOB_COMPLETED);
}

// Returns the body of an answer that lists a number of ends.
static std::string
format_ends (int count)
{
  std::string body = "{\"clock_ms\":9,\"born\":4,\"running\":[],"
                     "\"finished\":[";

  for (int i = 1; i <= count; i++)
    body += (i > 1 ? "," : "") + std::string ("[") + std::to_string (i)
            + ",\"t" + std::to_string (i) + "\",1,\"done\",\"\"]";
  return body + "]}";
}

TEST (UnlistedEnd, MayWaitBehindAFullList)
{
  for (int count : { 0, 499, 500 })
    {
      rst_instance_answer *answer = rst_instance_answer_new ();

      ASSERT_TRUE (
          rst_platform_parse_runs (format_ends (count).c_str (), answer));
      EXPECT_EQ (answer->runs->len, (guint)count);
      EXPECT_EQ (answer->has_more_ends, count == 500);
      rst_instance_answer_free (answer);
    }
}
