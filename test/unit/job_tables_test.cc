// Tests of the memory for the tables of jobs, under small submissions with
// very many tasks.
#include <gtest/gtest.h>

#include "cell_harness.h"

extern "C"
{
#include "cell/job_tables.h"
}

using harness::Planner;

static const int64_t mb = 1024 * 1024;

TEST (JobTables, LargeJobNeedsRoomAndOrdinaryOneDoesNot)
{
  EXPECT_TRUE (rst_job_tables_has_room (mb, 0, 10000, 100));
  EXPECT_FALSE (rst_job_tables_has_room (mb, 1000, 10000, 100));
  // However much is held.
  EXPECT_TRUE (rst_job_tables_has_room (mb, 1000000, 1000, 100));
  EXPECT_FALSE (rst_job_tables_has_room (mb, 1000000, 1001, 100));
  // The memory is not known.
  EXPECT_TRUE (rst_job_tables_has_room (0, 1000000, 640000, 100));
}

// Guards against a planner whose memory is used up by a few submissions.
TEST (JobTables, PlannerRejectsLargeJobsAndAcceptsOrdinaryOnes)
{
  rst_planner_timing timing = Planner::make_timing ();

  timing.tables_bytes_max = 4 * mb;
  Planner cell (timing, 1);
  rst_planner_stats stats;
  int accepted = 0;

  cell.start_serving (1);
  for (int i = 0; i < 20; i++)
    {
      std::string id = "00000000000000" + std::to_string (10 + i);

      cell.send_call (i + 1, RST_OPERATION_SUBMIT, id,
                      Planner::make_job (10000, 1000));
      cell.settle ();
      ASSERT_NE (cell.reply_to (i + 1), nullptr);
      rst_reply reply = cell.reply_to (i + 1)->reply;

      accepted += reply.outcome == RST_OUTCOME_OK;
      if (reply.outcome != RST_OUTCOME_OK)
        {
          EXPECT_EQ (reply.outcome, RST_OUTCOME_REJECTED);
          EXPECT_EQ (reply.retry_s, RST_JOB_TABLES_RETRY_S);
          // It never runs.
          EXPECT_EQ (cell.get_outcome (RST_OPERATION_READ, id, nullptr, 0),
                     RST_OUTCOME_NO_JOB);
        }
    }
  EXPECT_GE (accepted, 1);
  EXPECT_LE (accepted, 8);
  rst_planner_read_stats (cell.planner, &stats);
  EXPECT_EQ (stats.tables_refused, (uint64_t)(20 - accepted));
  cell.send_call (100, RST_OPERATION_SUBMIT, "00000000000000aa",
                  Planner::make_job (25, 1000));
  cell.settle ();
  EXPECT_EQ (cell.reply_to (100)->reply.outcome, RST_OUTCOME_OK);
}
