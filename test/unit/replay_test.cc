// The planner's policy against plain ones on the load of burst.load.
#include <gtest/gtest.h>

#include "replay/model.h"

class Replay : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    ASSERT_EQ (replay::read_load (RST_LOAD_FILE, &load), "");
    ranked = replay::run (load, { "", RST_STEP_ORDER_RANKED, RST_FIT_BEST });
    fifo = replay::run (load, { "", RST_STEP_ORDER_FIFO, RST_FIT_FIRST });
  }

  static double
  on_time (replay::Result &result, const char *kind)
  {
    const replay::KindResult &seen = result.kinds[kind];

    return (double)seen.on_time / seen.jobs;
  }

  static rst_ms
  wait_p99 (replay::Result &result, const char *kind)
  {
    return replay::percentile (result.kinds[kind].first_start, 0.99);
  }

  replay::Load load;
  replay::Result ranked;
  replay::Result fifo;
};

TEST_F (Replay, MoreGangsAreOnTimeThanFirstComeFirstServed)
{
  EXPECT_GT (on_time (ranked, "grid"), on_time (fifo, "grid") + 0.2);
}

TEST_F (Replay, UrgentQueriesWaitLessAndAreOnTime)
{
  EXPECT_LT (wait_p99 (ranked, "query"), wait_p99 (fifo, "query"));
  EXPECT_GT (on_time (ranked, "query"), 0.99);
}

TEST_F (Replay, MoreOfTheProcessorsAreInUseThanWithFirstFit)
{
  EXPECT_GT (ranked.in_use, fifo.in_use + 0.05);
}

TEST (ReplayLoad, NamesTheLineThatCantBeRead)
{
  replay::Load load;

  EXPECT_EQ (replay::read_load ("/nowhere", &load), "/nowhere: can't be read");
}
