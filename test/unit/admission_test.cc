#include <gtest/gtest.h>

#include <set>

extern "C"
{
#include "cell/admission.h"
}

TEST (Admission, AcceptsJobsWhileTheStoreAnswersSlowly)
{
  EXPECT_EQ (rst_admission_compute_retry_s (0, 1), 0);
  EXPECT_EQ (rst_admission_compute_retry_s (750, 1), 0);
}

TEST (Admission, LetsCallersReturnLaterAsTheOutageGoesOn)
{
  EXPECT_EQ (rst_admission_compute_retry_s (1100, 0), 1);
  EXPECT_GT (rst_admission_compute_retry_s (2100, 0),
             rst_admission_compute_retry_s (1100, 0));
  EXPECT_LE (rst_admission_compute_retry_s (60000, 1), 3);
}

static int
decide (int64_t percent, int64_t age_ms, double start_ms, guint spread = 0)
{
  // The most frequent kind: 0.64 s, objective 1.26 s.
  rst_admission_input input = { percent, age_ms, 1260, start_ms, 640 };

  return rst_admission_decide (&input, spread);
}

TEST (Admission, RejectsWhatWouldEndTooLate)
{
  EXPECT_EQ (decide (300, 0, 3100), 0);
  EXPECT_GT (decide (300, 0, 3200), 0);
  EXPECT_EQ (decide (100, 0, 600), 0);
  EXPECT_GT (decide (100, 0, 700), 0);
  EXPECT_EQ (decide (0, 0, 100000), 0);
  EXPECT_GT (decide (300, 3000, 300), 0);
}

// Guards against a late caller that is rejected by an idle fleet.
TEST (Admission, AcceptsALateJobThatStartsAtOnce)
{
  EXPECT_EQ (decide (300, 30000, 0), 0);
}

TEST (Admission, LetsCallersReturnWhenTheBacklogIsOver)
{
  std::set<int> delays;

  for (guint spread = 0; spread < 20; spread++)
    delays.insert (decide (300, 0, 3500, spread));
  EXPECT_EQ (delays, (std::set<int>{ 4, 5, 6, 7, 8 }));
  EXPECT_LE (decide (300, 0, 1e9, 6), 12);
}

TEST (Admission, SpreadsTheReturnOfCallers)
{
  std::set<int> waits;

  for (guint spread = 0; spread < 10; spread++)
    waits.insert (rst_admission_compute_retry_s (1500, spread));
  EXPECT_EQ (waits.size (), 2u);
}
