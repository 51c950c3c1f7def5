// Plays a load file with several policies and prints what callers saw.
#include <cstdio>
#include <cstring>

#include "replay/model.h"

static const replay::Policy policies[]
    = { { "ranked, tightest", RST_STEP_ORDER_RANKED, RST_FIT_BEST },
        { "ranked, random", RST_STEP_ORDER_RANKED, RST_FIT_RANDOM },
        { "fifo, first fit", RST_STEP_ORDER_FIFO, RST_FIT_FIRST } };

static void
print_kind (const std::string &name, const replay::KindResult &kind)
{
  printf ("  %-8s jobs %5d  on time %5.1f %%  work on time %5.1f %%  first "
          "start p50 %5lld ms  p99 %6lld ms\n",
          name.c_str (), kind.jobs, 100.0 * kind.on_time / kind.jobs,
          100.0 * kind.work_on_time / kind.work,
          (long long)replay::percentile (kind.first_start, 0.5),
          (long long)replay::percentile (kind.first_start, 0.99));
}

int
main (int argc, char **argv)
{
  replay::Load load;
  std::string problem;

  if (argc != 2 || strcmp (argv[1], "--help") == 0)
    {
      printf ("Usage: replay LOAD\nPlays the load file with each policy.\n");
      return argc == 2 ? 0 : 2;
    }
  problem = replay::read_load (argv[1], &load);
  if (!problem.empty ())
    {
      fprintf (stderr, "replay: %s\n", problem.c_str ());
      return 2;
    }
  for (const replay::Policy &policy : policies)
    {
      replay::Result result = replay::run (load, policy);

      printf ("%s: processors in use %.1f %%, while work waits %.1f %%; "
              "advice %lld calls, %.0f s\n",
              policy.name, 100.0 * result.in_use,
              100.0 * result.in_use_while_full, (long long)result.advice_calls,
              result.advice_seconds);
      for (auto &kind : result.kinds)
        print_kind (kind.first, kind.second);
    }
  return 0;
}
