/**
 * DOC: measure - cost of a scheduler or entry by size of the cluster
 *
 * Runs the state machines in the simulated world of the fuzzer and prints, for
 * growing values of one parameter at a time, the processor time (including the
 * fakes), messages and bytes of one process a second, and the store calls of
 * the whole cluster.  docs/CAPACITY.md is based on these figures.
 */
#include <chrono>
#include <cstdio>

#include <sodium.h>

#include "../fuzz/world.h"

extern "C"
{
#include "util/log.h"
#include "util/os.h"
}

using namespace fuzz;

namespace
{

/* Time for tenures, limits and tasks to settle before a measurement. */
constexpr ms SETTLE_MS = 25000;
constexpr ms MEASURE_MS = 20000;

struct Load
{
  int queries_per_s = 0;
  int services = 0;
  int settings = 0;
};

void
print_header ()
{
  printf ("%-12s %6s | %9s %9s %9s %9s %9s %8s\n", "parameter", "value",
          "cpu %", "msg/s", "KB/s", "reads/s", "writes/s", "rss MB");
}

/* Measures a cluster under a load and prints one line: figures are those of
   one process, except for the store calls of the whole cluster. */
void
measure_point (const char *name, int value, const ClusterConfig &cluster,
               const Load &load)
{
  World world (cluster, 7);
  double seconds = MEASURE_MS / 1000.0;
  int64_t reads;
  int64_t writes;

  world.advance (SETTLE_MS);
  for (int i = 0; i < load.services; i++)
    world.submit_job (i, i % cluster.teams, 1, 20, 200, 0, false);
  world.advance (load.services > 0 ? SETTLE_MS : 0);
  world.count_bytes = true;
  world.state_machine_ns = 0;
  world.messages = 0;
  world.message_bytes = 0;
  reads = world.store_reads;
  writes = world.store_writes;
  for (ms t = 0; t < MEASURE_MS; t += 100)
    {
      for (int i = 0; i < load.queries_per_s / 10; i++)
        world.send_request (i, i % cluster.teams, false, false, 5, 2000);
      for (int i = 0; i < load.settings && t % 1000 == 0; i++)
        world.set_limit (i % cluster.teams, cluster.upper_limit);
      world.advance (100);
    }
  printf ("%-12s %6d | %9.3f %9.1f %9.2f %9.1f %9.1f %8.1f\n", name, value,
          (double)world.state_machine_ns / 1e9 / seconds / world.node_count ()
              * 100,
          (double)world.messages / seconds / world.node_count (),
          (double)world.message_bytes / 1024 / seconds / world.node_count (),
          (double)(world.store_reads - reads) / seconds,
          (double)(world.store_writes - writes) / seconds,
          (double)rst_os_resident_kib () / 1024);
}

ClusterConfig
make_reference_cluster ()
{
  ClusterConfig cluster;

  cluster.runners_per_zone = 17;
  cluster.workers_per_zone = 17;
  cluster.slots_per_runner = 8;
  cluster.cpu_milli_per_worker = 16000;
  cluster.memory_mb_per_worker = 65536;
  cluster.upper_limit = 2000;
  return cluster;
}

/* Measures the time of one placement decision for a query, for a scheduler
   that owns a number of runners. */
void
measure_decision (int runners)
{
  ClusterConfig cluster = make_reference_cluster ();
  int requests = 3000;

  cluster.zones = 1;
  cluster.schedulers_per_zone = 1;
  cluster.runners_per_zone = runners;
  cluster.workers_per_zone = 0;
  World world (cluster, 7);

  world.advance (SETTLE_MS);
  /* Lets the scheduler's parts of the upper limits grow first. */
  for (int i = 0; i < 600; i++)
    world.send_request (0, i % cluster.teams, false, false, 5, 2000);
  world.advance (5000);

  const struct rst_scheduler_counters *counters
      = rst_scheduler_get_counters (world.node (0)->scheduler);
  uint64_t decisions = counters->decisions;
  uint64_t ns = counters->decision_ns;

  for (int i = 0; i < requests; i++)
    {
      world.send_request (0, i % cluster.teams, false, false, 5, 2000);
      if (i % 20 == 19)
        world.advance (50);
    }
  world.advance (3000);
  printf ("decision     %6d | %9.2f us each, %d of %d answered\n", runners,
          (double)(counters->decision_ns - ns) / 1000
              / (double)(counters->decisions - decisions),
          world.answered_count, requests + 600);
}

}

int
main (void)
{
  struct rst_log_config log = { false, "error" };

  if (sodium_init () < 0)
    return 1;
  rst_log_init ("measure", &log);
  measure_decision (50);
  measure_decision (275);
  measure_decision (550);
  measure_decision (1100);
  print_header ();
  for (int instances : { 50, 275, 550, 1100 })
    {
      ClusterConfig cluster = make_reference_cluster ();

      cluster.runners_per_zone = instances / 6;
      cluster.workers_per_zone = instances / 6;
      measure_point ("instances", instances, cluster, Load ());
    }
  for (int teams : { 6, 50, 100, 200 })
    {
      ClusterConfig cluster = make_reference_cluster ();

      cluster.teams = teams;
      measure_point ("teams", teams, cluster, Load ());
    }
  for (int schedulers : { 1, 2, 3, 5 })
    {
      ClusterConfig cluster = make_reference_cluster ();

      cluster.schedulers_per_zone = schedulers;
      measure_point ("schedulers", schedulers * 3, cluster, Load ());
    }
  for (int services : { 0, 5, 10, 20 })
    {
      Load load;

      load.services = services;
      measure_point ("tasks", services * 20, make_reference_cluster (), load);
    }
  for (int queries : { 0, 100, 200, 400 })
    {
      Load load;

      load.queries_per_s = queries;
      measure_point ("queries/s", queries, make_reference_cluster (), load);
    }
  for (int settings : { 0, 1, 5, 20 })
    {
      Load load;

      load.settings = settings;
      measure_point ("settings/s", settings, make_reference_cluster (), load);
    }
  return 0;
}
