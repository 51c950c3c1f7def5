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
struct Kind
{
  std::string name;
  double rate;
  int tasks;
  int64_t cpu;
  int64_t memory;
  int64_t ms;
  int priority;
  double slack;
  int64_t target_ms;
  double gang;
  double approval;
  int64_t advice_ms;
  int64_t advice_per_instance_us;
};

// More of something for a while.
struct Surge
{
  std::string what;
  double factor;
  double from_s;
  double to_s;
};

struct Load
{
  unsigned seed = 1;
  double seconds = 10;
  int instances = 1;
  int64_t cpu = 1000;
  int64_t memory = 1000;
  int links = 1;
  int customers = 1;
  std::vector<Kind> kinds;
  std::vector<Surge> bursts;
  std::vector<Surge> hot;
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
  std::vector<rst_ms> first_start;
  int jobs = 0;
  int on_time = 0;
  double work = 0;
  double work_on_time = 0;
};

struct Result
{
  std::map<std::string, KindResult> kinds;
  double in_use = 0;            // of all processors, over the loaded time
  double in_use_while_full = 0; // the same while work waits
  int64_t advice_calls = 0;
  double advice_seconds = 0;
};

Result run (const Load &load, const Policy &policy);

// The smallest value that the share of all values does not exceed.
rst_ms percentile (std::vector<rst_ms> values, double share);

} // namespace replay

#endif
