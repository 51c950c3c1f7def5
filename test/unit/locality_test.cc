// The decision whether a task waits for its rack, and the estimate of the
// delay.
#include <gtest/gtest.h>

extern "C"
{
#include "cell/locality.h"
}

static const rst_locality_case worthwhile = { 1000, 300, 0, -1, true, true };

static rst_locality_reason
decide (const rst_locality_case &task, double *wait_ms)
{
  return rst_locality_decide (&task, wait_ms);
}

// A wait that is not expected to pay makes the task later for nothing.
TEST (Locality, WaitsOnlyWhileTheGainExceedsTheDelay)
{
  rst_locality_case task = worthwhile;
  double wait_ms;

  EXPECT_EQ (decide (task, &wait_ms), RST_LOCALITY_WAIT);
  EXPECT_EQ (wait_ms, 1000);
  task.delay_ms = 1000;
  EXPECT_EQ (decide (task, &wait_ms), RST_LOCALITY_NO_GAIN);
  EXPECT_EQ (wait_ms, 0);
}

// Estimates that are wrong again and again must not add up to an endless wait.
TEST (Locality, WaitsNoLongerInAllThanItGains)
{
  rst_locality_case task = worthwhile;
  double wait_ms;

  task.waited_ms = 600;
  EXPECT_EQ (decide (task, &wait_ms), RST_LOCALITY_WAIT);
  EXPECT_EQ (wait_ms, 400);
  task.waited_ms = 700;
  EXPECT_EQ (decide (task, &wait_ms), RST_LOCALITY_WAITED);
}

// A job that would be in time elsewhere must not be late by waiting.
TEST (Locality, StartsElsewhereInTimeForTheObjective)
{
  rst_locality_case task = worthwhile;
  double wait_ms;

  task.spare_ms = 400;
  EXPECT_EQ (decide (task, &wait_ms), RST_LOCALITY_WAIT);
  EXPECT_EQ (wait_ms, 400);
  task.spare_ms = 300;
  EXPECT_EQ (decide (task, &wait_ms), RST_LOCALITY_OBJECTIVE);
  task.spare_ms = 0;
  EXPECT_EQ (decide (task, &wait_ms), RST_LOCALITY_OBJECTIVE);
}

// A job of which nothing runs must not be left waiting for 3 s.
TEST (Locality, WaitsNoLongerThanTwoSecondsWhileNothingOfTheJobRuns)
{
  rst_locality_case task = { 9000, 1500, 0, -1, false, true };
  double wait_ms;

  EXPECT_EQ (decide (task, &wait_ms), RST_LOCALITY_WAIT);
  EXPECT_EQ (wait_ms, 2000);
  task.waited_ms = 600;
  EXPECT_EQ (decide (task, &wait_ms), RST_LOCALITY_IDLE_JOB);
  task.has_ample_room = false;
  EXPECT_EQ (decide (task, &wait_ms), RST_LOCALITY_WAIT);
  EXPECT_EQ (wait_ms, 8400);
  task.has_ample_room = true;
  task.job_runs = true;
  EXPECT_EQ (decide (task, &wait_ms), RST_LOCALITY_WAIT);
  EXPECT_EQ (wait_ms, 8400);
}

TEST (Locality, DerivesTheRestOfARunFromItsProgress)
{
  EXPECT_EQ (rst_locality_get_remaining_ms (1000, 400, 0, 0), 600);
  // Half done after 2 s: it takes four times as long as expected.
  EXPECT_EQ (rst_locality_get_remaining_ms (1000, 2500, 50, 2000), 1500);
  // A run that is late ends some time later, not at once.
  EXPECT_EQ (rst_locality_get_remaining_ms (1000, 1200, 0, 0), 100);
  EXPECT_EQ (rst_locality_get_remaining_ms (1000, 1600, 0, 0), 1600);
}

// A penalty that is misread makes tasks wait, or hides an error in the
// settings.
TEST (Locality, ReadsThePenaltyAsADecimalNumber)
{
  double penalty;

  EXPECT_TRUE (rst_locality_parse_penalty ("2.25", &penalty));
  EXPECT_EQ (penalty, 2.25);
  EXPECT_TRUE (rst_locality_parse_penalty ("", &penalty));
  EXPECT_EQ (penalty, 1);
  for (const char *text : { "0.99", "100.1", "-2", " 2", "2x", "1e1", "0x2",
                            "nan", "inf", "2.1.1", "." })
    {
      EXPECT_FALSE (rst_locality_parse_penalty (text, &penalty)) << text;
      EXPECT_EQ (penalty, 1);
    }
}

class LocalitySlots : public ::testing::Test
{
protected:
  LocalitySlots ()
      : slots (g_array_new (FALSE, FALSE, sizeof (double))),
        runs (g_array_new (FALSE, FALSE, sizeof (rst_locality_run)))
  {
  }
  ~LocalitySlots () override
  {
    g_array_free (slots, TRUE);
    g_array_free (runs, TRUE);
  }

  void
  add_run (double remaining_ms, int64_t cpu)
  {
    rst_locality_run run = { remaining_ms, { cpu, 0, 0 } };

    g_array_append_val (runs, run);
  }

  GArray *slots;
  GArray *runs;
  rst_resources need = { 1000, 0, 0 };
};

// Room in pieces that are too small for the task is no room for it.
TEST_F (LocalitySlots, CountsRoomThatTheTaskFitsIn)
{
  add_run (300, 600);
  add_run (100, 600);
  add_run (900, 2000);
  rst_locality_add_slots (slots, { 0, 0, 0 }, runs, &need, 8);
  ASSERT_EQ (slots->len, 3u);
  EXPECT_EQ (rst_locality_get_delay_ms (slots, 0, 1), 300);
  EXPECT_EQ (rst_locality_get_delay_ms (slots, 0, 2), 900);
}

// Two tasks must not both wait for the same slot.
TEST_F (LocalitySlots, GivesTheFirstSlotsToTasksThatWaitAhead)
{
  add_run (500, 1000);
  rst_locality_add_slots (slots, { 0, 0, 0 }, runs, &need, 8);
  g_array_set_size (runs, 0);
  add_run (200, 1000);
  rst_locality_add_slots (slots, { 0, 0, 0 }, runs, &need, 8);
  rst_locality_sort_slots (slots);
  EXPECT_EQ (rst_locality_get_delay_ms (slots, 0, 1), 200);
  EXPECT_EQ (rst_locality_get_delay_ms (slots, 1, 1), 500);
  EXPECT_EQ (rst_locality_get_delay_ms (slots, 1, 2), RST_LOCALITY_NEVER_MS);
}
