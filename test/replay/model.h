// Simulates a planner under a load on a fake clock.
//
// Tasks, commits, messages and advice requests take time but never fail;
// test/cell simulates faults.  Results of different placement policies under
// the same load can be compared.
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

// A kind of job in a load file; it has a queue of its own, with its name.
struct JobKind
{
  std::string name;
  double rate_per_s;
  int mean_tasks;    // of a job
  int64_t cpu_milli; // of a task, in thousandths of a core
  int64_t memory_mb;
  int64_t mean_run_ms;
  int priority;
  // The objective of a job is this many times its longest run plus target_ms.
  double slack_factor;
  int64_t target_ms;
  double gang_fraction;     // of the jobs
  double approval_fraction; // of the instances in an advice request
  int64_t advice_ms;
  int64_t advice_per_instance_us;
  // Standard deviation of a job's tasks as a fraction of their mean; 0 for a
  // Poisson distribution.
  double tasks_spread = 0.0;
};

// A temporary increase of the load.
struct Surge
{
  std::string target; // name of a kind of job, or number of a customer
  double rate_factor;
  double from_s;
  double to_s;
};

// A bound on the results of one kind of job.
struct Bound
{
  std::string kind;
  // on_time, work_on_time, first_start_p99_ms, or recovered: of the jobs
  // without stragglers that are late if speeds are ignored, the fraction that
  // is on time if they are not.
  std::string measure;
  double value; // a minimum; of first_start_p99_ms, a maximum
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
  // Each raises the rate of a kind of job.
  std::vector<Surge> kind_surges;
  // Each raises the weight of a customer in the draw of who submits a job.
  std::vector<Surge> customer_surges;
  std::vector<Bound> bounds;
  // The first slow_fraction of the instances run at slow_speed, the others at
  // usual_speed.
  double slow_fraction = 0.0;
  double slow_speed = 1.0;
  double usual_speed = 1.0;
  // Fraction of the tasks that take straggler_factor times as long; no
  // objective allows for it.
  double straggler_fraction = 0.0;
  double straggler_factor = 1.0;
  // Standard deviation of the run times of a job's tasks as a fraction of
  // their mean; 0 if each is drawn without regard to the others.
  double run_time_spread = 0.0;
};

// Reads a load file.  Returns an error message, "" on success.
std::string read_load (const char *path, Load *out);

// A placement policy of the planner.
struct Policy
{
  const char *name;
  rst_step_order order;
  rst_fit fit;
  bool ignores_speed = false;
};

// Results of the jobs of one kind.  A job is on time if it ends within its
// objective.
struct KindResult
{
  std::vector<rst_ms> first_start_delays_ms;
  int jobs = 0;
  int jobs_on_time = 0;
  int jobs_with_stragglers = 0;
  double core_seconds = 0; // of all jobs
  double core_seconds_on_time = 0;
};

struct Result
{
  std::map<std::string, KindResult> kinds;
  // Mean fraction of all processors in use while the load arrives, without the
  // first 5 s.
  double cpu_utilization = 0;
  // The same over the times at which at least 10 steps wait.
  double cpu_utilization_under_backlog = 0;
  int64_t advice_requests = 0;
  double advice_seconds = 0;
};

// Simulates a load under a policy.
Result run_load (const Load &load, const Policy &policy);

// Returns the measured value that a bound is about; @ignoring is the result of
// the same load if speeds are ignored, which only "recovered" needs.
double read_measure (const Result &result, const Result &ignoring,
                     const Bound &bound);

// Whether the results keep a bound.
bool is_kept (double measured, const Bound &bound);

// Returns the quantile of @values at @fraction (0 to 1); 0 for no values.
rst_ms quantile (std::vector<rst_ms> values, double fraction);

} // namespace replay

#endif
