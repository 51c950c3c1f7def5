// Log lines of several threads.
#include <gtest/gtest.h>

#include <cstdlib>
#include <thread>

extern "C"
{
#include "util/log.h"
}

static void
write_lines ()
{
  for (int i = 0; i < 5; i++)
    rst_warning ("test", "Line of one of two threads.");
}

// The log is initialised once in a process, so this is one of its own.
static void
log_in_two_threads ()
{
  rst_log_config config = { false, "warning", false };

  rst_log_init ("unit-tests", &config);
  std::thread first (write_lines);
  std::thread second (write_lines);

  first.join ();
  second.join ();
  exit (0);
}

// ThreadSanitizer reported the state that the lines share: it sees no lock of
// GLib.
TEST (Log, TakesLinesFromSeveralThreads)
{
  GTEST_FLAG_SET (death_test_style, "threadsafe");
  EXPECT_EXIT (log_in_two_threads (), ::testing::ExitedWithCode (0), "Line");
}
