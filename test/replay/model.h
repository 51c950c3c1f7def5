// A load model: one planner on a fake clock, with instances and an advice
// service that do nothing but take time.  No faults; see test/cell for those.
#ifndef RST_TEST_REPLAY_MODEL_H
#define RST_TEST_REPLAY_MODEL_H

#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "unit/cell_harness.h"

namespace replay
{

// One kind of job of a load file.
struct JobKind
{
  std::string name;
  double rate_per_s;
  int mean_tasks;
  int64_t cpu_milli;
  int64_t memory_mb;
  int64_t mean_run_ms;
  int priority;
  double slack_factor;
  int64_t target_ms;
  double gang_fraction;
  double approval_fraction;
  int64_t advice_ms;
  int64_t advice_per_instance_us;
};

// More of something for a while.
struct Surge
{
  std::string target;
  double rate_factor;
  double from_s;
  double to_s;
};

struct Load
{
  unsigned seed = 1;
  double seconds = 10;
  int instances = 1;
  int64_t instance_cpu_milli = 1000;
  int64_t instance_memory_mb = 1000;
  int agents = 1;
  int customers = 1;
  std::vector<JobKind> kinds;
  std::vector<Surge> kind_surges;
  std::vector<Surge> customer_surges;
};

// Reads a load file; an empty text when it is sound, else what is wrong.
std::string read_load (const char *path, Load *out);

struct Policy
{
  const char *name;
  rst_step_order order;
  rst_fit fit;
};

// What callers of one kind saw.
struct KindResult
{
  std::vector<rst_ms> first_start_delays_ms;
  int jobs = 0;
  int jobs_on_time = 0;
  double core_seconds = 0;
  double core_seconds_on_time = 0;
};

struct Result
{
  std::map<std::string, KindResult> kinds;
  double cpu_utilization = 0; // of all processors, over the loaded time
  double cpu_utilization_under_backlog = 0; // the same while work waits
  int64_t advice_requests = 0;
  double advice_seconds = 0;
};

Result run_load (const Load &load, const Policy &policy);

// The smallest value that the share of all values does not exceed.
rst_ms quantile (std::vector<rst_ms> values, double fraction);

} // namespace replay

#endif
