#include <gtest/gtest.h>

#include <set>

extern "C"
{
#include "cell/admission.h"
}

TEST (Admission, AcceptsJobsWhileTheStoreAnswersSlowly)
{
  EXPECT_EQ (rst_admission_compute_retry_s (0, 0, 1), 0);
  EXPECT_EQ (rst_admission_compute_retry_s (750, 0, 1), 0);
}

TEST (Admission, LetsCallersReturnLaterAsTheOutageGoesOn)
{
  EXPECT_EQ (rst_admission_compute_retry_s (1100, 0, 0), 1);
  EXPECT_GT (rst_admission_compute_retry_s (2100, 0, 0),
             rst_admission_compute_retry_s (1100, 0, 0));
  EXPECT_LE (rst_admission_compute_retry_s (60000, 0, 1), 3);
}

// Guards against jobs held for 1 s by a store that answers only refusals.
TEST (Admission, RejectsSoonerWhileTheStoreRefusesCommits)
{
  EXPECT_EQ (rst_admission_compute_retry_s (600, 1, 0), 0);
  EXPECT_EQ (rst_admission_compute_retry_s (500, 2, 0), 0);
  EXPECT_EQ (rst_admission_compute_retry_s (600, 2, 0), 1);
}

// Guards against callers whose retries are used up before an outage is over.
TEST (Admission, OutlastsAnOutageOf7sWith4Retries)
{
  for (guint spread = 0; spread < 4; spread++)
    for (int first_ms = 501; first_ms < 3000; first_ms += 100)
      {
        rst_ms age_ms = first_ms;

        for (int retry = 0; retry < 4; retry++)
          age_ms += 1000 * rst_admission_compute_retry_s (age_ms, 2, spread);
        EXPECT_GT (age_ms, 7000);
      }
}

// Guards against all callers of an instant that return in the same second.
TEST (Admission, SpreadsRepeatedReturns)
{
  std::set<rst_ms> returns;

  for (guint spread = 0; spread < 16; spread++)
    {
      rst_ms age_ms = 600;

      for (int retry = 0; retry < 4; retry++)
        age_ms += 1000 * rst_admission_compute_retry_s (age_ms, 2, spread);
      returns.insert (age_ms / 1000);
    }
  EXPECT_GE (returns.size (), 2u);
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
    waits.insert (rst_admission_compute_retry_s (1500, 0, spread));
  EXPECT_EQ (waits.size (), 2u);
}
