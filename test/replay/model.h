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
  // Fraction of the jobs that have their data in one of the first data_racks
  // racks, and of those whose tasks run faster in one rack, whichever it is.
  double near_fraction = 0.0;
  int data_racks = 1;
  double one_rack_fraction = 0.0;
};

// A temporary increase of the load.
struct Surge
{
  std::string target; // name of a kind of job, or number of a customer
  double rate_factor;
  double from_s;
  double to_s;
};

// A time in which the store confirms nothing.
struct Outage
{
  double from_s;
  double to_s;
};

// A bound on the results of one kind of job.
struct Bound
{
  std::string kind;
  // on_time, work_on_time, value, value_after_outage, first_start_p99_ms,
  // mean_job_ms, mean_racked_ms, or recovered: of the jobs without stragglers
  // that are late if speeds are ignored, the fraction that is on time if they
  // are not.
  std::string measure;
  double value; // a minimum; of times, a maximum
};

// A bound on a measure relative to that under another policy for racks.
struct Comparison
{
  Bound bound; // its value is the factor
  bool with_never;
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
  // Racks with the same number of instances each; 0 for none.
  int racks = 0;
  // Tasks outside their rack take this many times as long.
  double remote_penalty = 0.0;
  std::vector<JobKind> kinds;
  // Each raises the rate of a kind of job.
  std::vector<Surge> kind_surges;
  // Each raises the weight of a customer in the draw of who submits a job.
  std::vector<Surge> customer_surges;
  std::vector<Bound> bounds;
  std::vector<Outage> outages;
  // The planner's setting; 0 for no rejections under overload.
  int64_t latest_end_percent = 0;
  // Whether callers submit a rejected job again, up to 4 times.
  bool callers_return = false;
  // Compare waiting for racks as planned with other policies.
  std::vector<Comparison> comparisons;
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
  rst_rack_policy rack_policy = RST_RACK_WAIT_PLANNED;
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
  // Jobs that were rejected at least once, and those never accepted.
  int jobs_rejected = 0;
  int jobs_never_accepted = 0;
  // Sum of the jobs' values: 1 on time, 0.2 up to three times the objective.
  double value = 0;
  // Jobs first submitted 1 to 4 s after an outage, and their value.
  int jobs_after_outage = 0;
  double value_after_outage = 0;
  int jobs_ended = 0;
  double job_ms = 0; // of all jobs that ended
  // The same for jobs that run faster in a rack, and how many of them had all
  // their tasks there.
  int racked_jobs_ended = 0;
  double racked_job_ms = 0;
  int racked_jobs_inside = 0;
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
  uint64_t rack_waits = 0;
  // By enum rst_locality_reason.
  uint64_t rack_wait_ends[RST_LOCALITY_REASONS] = {};
};

// Simulates a load under a policy.
Result run_load (const Load &load, const Policy &policy);

// Returns the measured value that a bound is about; @ignoring is the result of
// the same load if speeds are ignored, which only "recovered" needs.
double read_measure (const Result &result, const Bound &bound,
                     const Result *ignoring = nullptr);

// Whether a result keeps a bound that is relative to another result.
bool is_kept (const Result &result, const Result &other,
              const Comparison &comparison);

// Whether a measured value keeps a bound.
bool is_kept (double measured, const Bound &bound);

// Returns the quantile of @values at @fraction (0 to 1); 0 for no values.
rst_ms quantile (std::vector<rst_ms> values, double fraction);

} // namespace replay

#endif
