// Simulates a load file under several placement policies and prints the
// results of each.
#include <cstdio>
#include <cstring>

#include "replay/model.h"

static const replay::Policy policies[]
    = { { "ranked, tightest", RST_STEP_ORDER_RANKED, RST_FIT_BEST },
        { "ranked, tightest, speeds ignored", RST_STEP_ORDER_RANKED,
          RST_FIT_BEST, RST_RACK_WAIT_PLANNED, true },
        { "ranked, random", RST_STEP_ORDER_RANKED, RST_FIT_RANDOM },
        { "fifo, first fit", RST_STEP_ORDER_FIFO, RST_FIT_FIRST } };

// For loads with racks.
static const replay::Policy rack_policies[] = {
  { "waits as planned", RST_STEP_ORDER_RANKED, RST_FIT_BEST,
    RST_RACK_WAIT_PLANNED },
  { "never waits", RST_STEP_ORDER_RANKED, RST_FIT_BEST, RST_RACK_WAIT_NEVER },
  { "always waits", RST_STEP_ORDER_RANKED, RST_FIT_BEST, RST_RACK_WAIT_ALWAYS }
};

static void
print_kind (const std::string &name, const replay::KindResult &kind)
{
  printf ("  %-8s jobs %5d  on time %5.1f %%  work on time %5.1f %%  first "
          "start p50 %5lld ms  p99 %6lld ms\n",
          name.c_str (), kind.jobs, 100.0 * kind.jobs_on_time / kind.jobs,
          100.0 * kind.core_seconds_on_time / kind.core_seconds,
          (long long)replay::quantile (kind.first_start_delays_ms, 0.5),
          (long long)replay::quantile (kind.first_start_delays_ms, 0.99));
  printf ("           value %5.1f %%  after outages %5.1f %% of %d  rejected "
          "%d  never accepted %d\n",
          100.0 * kind.value / kind.jobs,
          100.0 * kind.value_after_outage
              / (kind.jobs_after_outage > 0 ? kind.jobs_after_outage : 1),
          kind.jobs_after_outage, kind.jobs_rejected,
          kind.jobs_never_accepted);
  if (kind.racked_jobs_ended > 0)
    printf ("  %-8s with a rack: jobs %5d  all in it %5.1f %%  mean time "
            "%6.0f ms\n",
            "", kind.racked_jobs_ended,
            100.0 * kind.racked_jobs_inside / kind.racked_jobs_ended,
            kind.racked_job_ms / kind.racked_jobs_ended);
}

static void
print_result (const replay::Policy &policy, const replay::Result &result)
{
  printf ("%s: processors in use %.1f %%, while work waits %.1f %%; "
          "advice %lld calls, %.0f s\n",
          policy.name, 100.0 * result.cpu_utilization,
          100.0 * result.cpu_utilization_under_backlog,
          (long long)result.advice_requests, result.advice_seconds);
  if (result.rack_waits > 0)
    {
      printf ("  waits for racks: %llu, ended by",
              (unsigned long long)result.rack_waits);
      for (int i = 0; i < RST_LOCALITY_REASONS; i++)
        printf ("%s %s %llu", i > 0 ? "," : "",
                rst_locality_reason_name ((rst_locality_reason)i),
                (unsigned long long)result.rack_wait_ends[i]);
      printf ("\n");
    }
  for (auto &kind : result.kinds)
    print_kind (kind.first, kind.second);
}

// Simulates the load under the planner's own policy and checks the bounds of
// the load file.  Returns the exit status.
static int
check_bounds (const replay::Load &load)
{
  replay::Result result = replay::run_load (load, policies[0]);
  replay::Result ignoring;
  int status = load.bounds.empty () && load.comparisons.empty () ? 1 : 0;

  for (const replay::Bound &bound : load.bounds)
    if (bound.measure == "recovered" && ignoring.kinds.empty ())
      ignoring = replay::run_load (load, policies[1]);

  for (const replay::Bound &bound : load.bounds)
    {
      double measured = replay::read_measure (result, bound, &ignoring);
      bool kept = replay::is_kept (measured, bound);

      printf ("%s: %s %s: %.3f, bound %.3f\n", kept ? "kept" : "MISSED",
              bound.kind.c_str (), bound.measure.c_str (), measured,
              bound.value);
      if (!kept)
        status = 1;
    }
  if (load.comparisons.empty ())
    return status;
  replay::Result never = replay::run_load (load, rack_policies[1]);
  replay::Result always = replay::run_load (load, rack_policies[2]);

  for (const replay::Comparison &comparison : load.comparisons)
    {
      const replay::Result &other = comparison.with_never ? never : always;
      bool kept = replay::is_kept (result, other, comparison);

      printf ("%s: %s %s: %.3f, %s: %.3f, bound %.1f times that\n",
              kept ? "kept" : "MISSED", comparison.bound.kind.c_str (),
              comparison.bound.measure.c_str (),
              replay::read_measure (result, comparison.bound),
              rack_policies[comparison.with_never ? 1 : 2].name,
              replay::read_measure (other, comparison.bound),
              comparison.bound.value);
      if (!kept)
        status = 1;
    }
  return status;
}

int
main (int argc, char **argv)
{
  replay::Load load;
  std::string error;
  bool is_check = argc == 3 && strcmp (argv[1], "--check") == 0;

  if ((argc != 2 && !is_check) || strcmp (argv[1], "--help") == 0)
    {
      printf ("Usage: replay [--check] LOAD\n"
              "Simulates the load file under each policy; with --check, under "
              "the planner's\nown policy, and checks the bounds that the file "
              "expects.\n");
      return argc == 2 ? 0 : 2;
    }
  error = replay::read_load (argv[argc - 1], &load);
  if (!error.empty ())
    {
      fprintf (stderr, "replay: %s\n", error.c_str ());
      return 2;
    }
  if (is_check)
    return check_bounds (load);
  if (load.racks > 0)
    for (const replay::Policy &policy : rack_policies)
      print_result (policy, replay::run_load (load, policy));
  else
    for (const replay::Policy &policy : policies)
      print_result (policy, replay::run_load (load, policy));
  return 0;
}
