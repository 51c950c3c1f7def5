// Estimates of the speed of instances, and scores by speed.
#include <gtest/gtest.h>

#include <cmath>
#include <random>

extern "C"
{
#include "cell/instance_speed.h"
}

// Samples of an instance whose runs differ by 20 %, of which 3 in 100 take
// seven times as long.
class SpeedEstimate : public ::testing::Test
{
protected:
  void
  add (double speed, int samples)
  {
    for (int i = 0; i < samples; i++)
      {
        double noise = std::normal_distribution<> (0.0, 0.2) (random);
        double straggler
            = std::bernoulli_distribution (0.03) (random) ? log (7.0) : 0.0;

        now += 500;
        rst_instance_speed_add (&estimate, log (speed) + noise - straggler,
                                now);
      }
  }

  double
  get () const
  {
    return rst_instance_speed_get (&estimate, 0.0, now);
  }

  std::mt19937 random{ 3 };
  rst_ms now = 1000;
  rst_instance_speed estimate = {};
};

// Guards against a usual instance being taken for a slow one.
TEST_F (SpeedEstimate, StragglersDoNotMakeAnInstanceSlow)
{
  int alike = 0;

  for (int i = 0; i < 1000; i++)
    {
      add (1.0, 1);
      alike += rst_instance_speed_is_alike (get ()) ? 1 : 0;
    }
  EXPECT_GT (alike, 970);
}

TEST_F (SpeedEstimate, OneSampleChangesNothing)
{
  rst_instance_speed_add (&estimate, log (1.0 / 7.0), now);
  EXPECT_EQ (get (), 0.0);
}

TEST_F (SpeedEstimate, FindsAnInstanceThatBecomesSlow)
{
  add (1.0, 100);
  add (0.5, 12);
  EXPECT_LT (get (), -0.2);
  add (0.5, 40);
  EXPECT_NEAR (get (), log (0.5), 0.25);
  add (1.0, 60);
  EXPECT_TRUE (rst_instance_speed_is_alike (get ()));
}

// A slow instance must be tried again when nothing new is learned.
TEST_F (SpeedEstimate, IsForgottenWithoutNews)
{
  add (0.5, 40);
  now += 90000;
  EXPECT_EQ (get (), 0.0);
}

TEST_F (SpeedEstimate, IsRelativeToTheUsualSpeed)
{
  add (0.5, 40);
  EXPECT_TRUE (rst_instance_speed_is_alike (
      rst_instance_speed_get (&estimate, log (0.5), now)));
}

// Guards against an instance that becomes slow, or stands still, being found
// only when its runs end.
TEST (SpeedProgress, ShowsAChangeOfTheRate)
{
  rst_run_progress progress = {};
  double sample = 0.0;

  for (int second = 0; second < 4; second++)
    EXPECT_FALSE (rst_run_progress_compare (&progress, 10 * second, -0.1,
                                            1000 * (second + 1), &sample));
  EXPECT_TRUE (rst_run_progress_compare (&progress, 35, -0.1, 5000, &sample));
  EXPECT_NEAR (sample, -0.1 + log (0.5), 1e-6);
  EXPECT_TRUE (rst_run_progress_compare (&progress, 35, -0.5, 6000, &sample));
  EXPECT_LT (sample, -2.0);
}

// A straggler is slow for its own reasons.
TEST (SpeedProgress, OfAStragglerShowsNothing)
{
  rst_run_progress progress = {};
  double sample;

  for (int second = 0; second < 30; second++)
    EXPECT_FALSE (rst_run_progress_compare (&progress, 2 * second, 0.0,
                                            1000 * (second + 1), &sample));
}

TEST (SpeedMedian, LeavesOneRunOut)
{
  rst_speed_run runs[4] = {};

  for (int i = 0; i < 4; i++)
    runs[i].log_work = (float)i;
  EXPECT_DOUBLE_EQ (rst_speed_get_median (runs, 4, -1), 1.5);
  EXPECT_DOUBLE_EQ (rst_speed_get_median (runs, 4, 0), 2.0);
  EXPECT_DOUBLE_EQ (rst_speed_get_median (runs, 4, 3), 1.0);
  EXPECT_DOUBLE_EQ (rst_speed_get_median (runs, 3, 1), 1.0);
}

TEST (SpeedScore, FollowsTheTimeLeft)
{
  double slow = log (0.5);
  double fast = log (1.5);

  EXPECT_EQ (rst_instance_speed_get_score (0.1, 1000, 0), 0.0);
  // More than any difference of free shares.
  EXPECT_GT (rst_instance_speed_get_score (slow, 1000, 400), 1.0);
  EXPECT_LT (rst_instance_speed_get_score (fast, 1000, 0), 0.0);
  // With time to spare, also for a straggler.
  EXPECT_LT (rst_instance_speed_get_score (slow, 1000, 20000), 0.0);
  EXPECT_GT (rst_instance_speed_get_score (fast, 1000, 20000), 0.0);
  EXPECT_LT (rst_instance_speed_get_score (fast, 1000, 20000), 0.25);
}
