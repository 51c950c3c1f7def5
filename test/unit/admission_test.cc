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

TEST (Admission, SpreadsTheReturnOfCallers)
{
  std::set<int> waits;

  for (guint spread = 0; spread < 10; spread++)
    waits.insert (rst_admission_compute_retry_s (1500, spread));
  EXPECT_EQ (waits.size (), 2u);
}
