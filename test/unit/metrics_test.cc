#include <gtest/gtest.h>

#include <string>

#include "cell_harness.h"

extern "C"
{
#include "daemon/cell_metrics.h"
#include "daemon/metrics.h"
}

using harness::Planner;

TEST (Histogram, CountsADurationInTheSmallestBucketThatHoldsIt)
{
  rst_histogram histogram = {};

  rst_histogram_add (&histogram, -5);
  rst_histogram_add (&histogram, 2);
  rst_histogram_add (&histogram, 3);
  rst_histogram_add (&histogram, 30000);
  rst_histogram_add (&histogram, 30001);
  EXPECT_EQ (histogram.counts[0], 2u);
  EXPECT_EQ (histogram.counts[1], 1u);
  EXPECT_EQ (histogram.counts[RST_HISTOGRAM_BOUND_COUNT - 1], 1u);
  EXPECT_EQ (histogram.counts[RST_HISTOGRAM_BOUND_COUNT], 1u);
  EXPECT_EQ (histogram.total, 5u);
  EXPECT_EQ (histogram.sum_ms, 60006);
}

TEST (Metrics, WritesCumulativeBuckets)
{
  rst_histogram histogram = {};
  GString *page = g_string_new (NULL);

  rst_histogram_add (&histogram, 1);
  rst_histogram_add (&histogram, 4);
  rst_metrics_add_histogram (page, "wait_seconds", { "queue", "q" },
                             &histogram);
  std::string text = page->str;

  g_string_free (page, TRUE);
  EXPECT_NE (text.find ("wait_seconds_bucket{queue=\"q\",le=\"0.002\"} 1\n"),
             std::string::npos);
  EXPECT_NE (text.find ("wait_seconds_bucket{queue=\"q\",le=\"0.005\"} 2\n"),
             std::string::npos);
  EXPECT_NE (text.find ("wait_seconds_bucket{queue=\"q\",le=\"+Inf\"} 2\n"),
             std::string::npos);
  EXPECT_NE (text.find ("wait_seconds_sum{queue=\"q\"} 0.005\n"),
             std::string::npos);
}

TEST (Metrics, CountsCallsByOperationAndStatus)
{
  rst_call_stats stats = {};

  rst_call_stats_record (&stats, RST_OPERATION_SUBMIT, 200, 12);
  rst_call_stats_record (&stats, RST_OPERATION_SUBMIT, 504, 2900);
  rst_call_stats_record (&stats, RST_OPERATION_READ, 499, 1);
  stats.limits = { 3, 4, 5, 6 };
  char *page = rst_call_metrics_format_page (&stats, 0, true);
  std::string text = page;

  g_free (page);
  EXPECT_NE (text.find ("answers_total{call=\"submit 200\"} 1\n"),
             std::string::npos);
  EXPECT_NE (text.find ("answers_total{call=\"submit 504\"} 1\n"),
             std::string::npos);
  EXPECT_NE (text.find ("answers_total{call=\"read 0\"} 1\n"),
             std::string::npos);
  EXPECT_NE (text.find ("bodies_refused_total 3\n"), std::string::npos);
  EXPECT_NE (text.find ("closed_for_bytes_total 4\n"), std::string::npos);
  EXPECT_NE (text.find ("closed_for_connections_total 5\n"),
             std::string::npos);
}

TEST (Metrics, CountsAJobFromSubmissionToCompletion)
{
  Planner cell;
  rst_planner_stats stats;

  cell.start_serving (1);
  cell.send_call (7, RST_OPERATION_SUBMIT, "00000000000000aa",
                  Planner::make_job (1, 1000));
  cell.settle ();
  cell.report (1, "i-0",
               { Planner::make_ended_run (1, "00000000000000aa.0.0.0", 1,
                                          RST_END_DONE) });
  cell.settle ();
  rst_planner_read_stats (cell.planner, &stats);
  EXPECT_EQ (stats.accepted, 1u);
  EXPECT_EQ (stats.starts, 1u);
  EXPECT_EQ (stats.ends[RST_END_DONE], 1u);
  EXPECT_EQ (stats.completed, 1u);
  EXPECT_EQ (stats.instances_known, 1u);
  EXPECT_EQ (stats.commits, stats.commit_ms.total);
}
