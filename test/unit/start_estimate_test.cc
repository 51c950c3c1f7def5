#include <gtest/gtest.h>

#include <memory>

extern "C"
{
#include "cell/start_estimate.h"
}

static const int64_t now = 1700000000000;
static const rst_resources fleet = { 10000, 0, 0 };
static const rst_resources task = { 1000, 10, 0 };

// Returns a load with @runs runs of 1 s that have half of it left.
static std::unique_ptr<rst_start_load>
make_load (int runs)
{
  auto load = std::make_unique<rst_start_load> ();

  rst_start_load_clear (load.get (), &fleet, now);
  for (int i = 0; i < runs; i++)
    rst_start_load_add_run (load.get (), &task, 1000, 500);
  rst_start_load_finish_runs (load.get ());
  return load;
}

// Guards against rejections while room becomes free at the usual rate.
TEST (StartEstimate, HasNoDelayWhileNothingWaits)
{
  for (int runs : { 0, 5, 10 })
    EXPECT_EQ (rst_start_load_get_delay_ms (make_load (runs).get (),
                                            RST_START_BAND_IN_TIME, now + 500,
                                            now),
               0.0);
}

TEST (StartEstimate, WaitsForWhatIsPlacedBefore)
{
  auto load = make_load (10);

  rst_start_load_add_waiting (load.get (), RST_START_BAND_IN_TIME_URGENT,
                              now + 1000, &task, 20, 1000);
  // The fleet runs 10 tasks at a time: two rounds of 1 s.
  EXPECT_NEAR (rst_start_load_get_delay_ms (load.get (),
                                            RST_START_BAND_IN_TIME_URGENT,
                                            now + 2000, now),
               2000, 1);
  EXPECT_EQ (rst_start_load_get_delay_ms (
                 load.get (), RST_START_BAND_IN_TIME_URGENT, now + 500, now),
             0.0);
  EXPECT_NEAR (
      rst_start_load_get_delay_ms (load.get (), RST_START_BAND_LATE, now, now),
      2000, 1);
  EXPECT_NEAR (rst_start_load_get_waiting_ms (load.get ()), 2000, 1);
}

// Guards against a load that seems to last while it is not determined anew.
TEST (StartEstimate, SubtractsThePassedTime)
{
  auto load = make_load (10);

  rst_start_load_add_waiting (load.get (), RST_START_BAND_LATE, now, &task, 20,
                              1000);
  EXPECT_NEAR (rst_start_load_get_delay_ms (
                   load.get (), RST_START_BAND_OVER_SHARE, now, now + 600),
               1400, 1);
}

// Guards against a division by a capacity that is not known.
TEST (StartEstimate, HasNoDelayWithoutCapacity)
{
  auto load = std::make_unique<rst_start_load> ();
  rst_resources none = { 0, 0, 0 };

  rst_start_load_clear (load.get (), &none, now);
  rst_start_load_add_waiting (load.get (), RST_START_BAND_LATE, now, &task, 20,
                              1000);
  EXPECT_EQ (rst_start_load_get_delay_ms (load.get (),
                                          RST_START_BAND_OVER_SHARE, now, now),
             0.0);
}
