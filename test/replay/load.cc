// Load files, and the measures that their bounds are about.
#include "replay/model.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace replay
{

std::string
read_load (const char *path, Load *out)
{
  std::ifstream file (path);
  std::string line;
  int number = 0;

  if (!file)
    return std::string (path) + ": can't be read";
  while (std::getline (file, line))
    {
      std::istringstream words (line);
      std::string word;

      number++;
      if (!(words >> word) || word[0] == '#')
        continue;
      if (word == "seed")
        words >> out->seed;
      else if (word == "seconds")
        words >> out->seconds;
      else if (word == "instances")
        words >> out->instances >> out->instance_cpu_milli
            >> out->instance_memory_mb;
      else if (word == "links")
        words >> out->agents;
      else if (word == "customers")
        words >> out->customers;
      else if (word == "kind")
        {
          JobKind kind;

          words >> kind.name >> kind.rate_per_s >> kind.mean_tasks
              >> kind.cpu_milli >> kind.memory_mb >> kind.mean_run_ms
              >> kind.priority >> kind.slack_factor >> kind.target_ms
              >> kind.gang_fraction >> kind.approval_fraction >> kind.advice_ms
              >> kind.advice_per_instance_us;
          out->kinds.push_back (kind);
        }
      else if (word == "spread")
        {
          std::string name;
          double spread = 0.0;

          words >> name >> spread;
          for (JobKind &kind : out->kinds)
            if (kind.name == name)
              kind.tasks_spread = spread;
        }
      else if (word == "outage")
        {
          Outage outage;

          words >> outage.from_s >> outage.to_s;
          out->outages.push_back (outage);
        }
      else if (word == "latest_end_percent")
        words >> out->latest_end_percent;
      else if (word == "callers_return")
        out->callers_return = true;
      else if (word == "speeds")
        words >> out->slow_fraction >> out->slow_speed >> out->usual_speed;
      else if (word == "stragglers")
        words >> out->straggler_fraction >> out->straggler_factor;
      else if (word == "alike")
        words >> out->run_time_spread;
      else if (word == "racks")
        words >> out->racks >> out->remote_penalty;
      else if (word == "near" || word == "one_rack")
        {
          std::string name;
          double fraction = 0.0;
          int racks = 1;

          words >> name >> fraction;
          if (word == "near")
            words >> racks;
          for (JobKind &kind : out->kinds)
            if (kind.name == name && word == "near")
              {
                kind.near_fraction = fraction;
                kind.data_racks = racks;
              }
            else if (kind.name == name)
              kind.one_rack_fraction = fraction;
        }
      else if (word == "compare")
        {
          Comparison comparison = {};
          std::string policy;

          words >> comparison.bound.kind >> comparison.bound.measure >> policy
              >> comparison.bound.value;
          if (policy != "never" && policy != "always")
            words.setstate (std::ios::failbit);
          comparison.with_never = policy == "never";
          out->comparisons.push_back (comparison);
        }
      else if (word == "expect")
        {
          Bound bound;

          words >> bound.kind >> bound.measure >> bound.value;
          out->bounds.push_back (bound);
        }
      else if (word == "burst" || word == "hot")
        {
          Surge surge;

          words >> surge.target >> surge.rate_factor >> surge.from_s
              >> surge.to_s;
          (word == "burst" ? out->kind_surges : out->customer_surges)
              .push_back (surge);
        }
      else
        words.setstate (std::ios::failbit);
      if (words.fail ())
        return std::string (path) + ": line " + std::to_string (number) + ": "
               + word;
    }
  return "";
}

rst_ms
quantile (std::vector<rst_ms> values, double fraction)
{
  if (values.empty ())
    return 0;
  std::sort (values.begin (), values.end ());
  return values[std::min (values.size () - 1,
                          (size_t)(fraction * (double)values.size ()))];
}

static double
compute_recovered (const KindResult &kind, const KindResult &ignoring)
{
  int late
      = ignoring.jobs - ignoring.jobs_with_stragglers - ignoring.jobs_on_time;

  return (double)(kind.jobs_on_time - ignoring.jobs_on_time)
         / std::max (late, 1);
}

double
read_measure (const Result &result, const Bound &bound, const Result *ignoring)
{
  const KindResult &kind = result.kinds.at (bound.kind);

  if (bound.measure == "on_time")
    return (double)kind.jobs_on_time / kind.jobs;
  if (bound.measure == "work_on_time")
    return kind.core_seconds_on_time / kind.core_seconds;
  if (bound.measure == "recovered")
    return compute_recovered (kind, ignoring->kinds.at (bound.kind));
  if (bound.measure == "value")
    return kind.value / kind.jobs;
  if (bound.measure == "value_after_outage")
    return kind.value_after_outage / std::max (kind.jobs_after_outage, 1);
  if (bound.measure == "mean_job_ms")
    return kind.job_ms / std::max (kind.jobs_ended, 1);
  if (bound.measure == "mean_racked_ms")
    return kind.racked_job_ms / std::max (kind.racked_jobs_ended, 1);
  return (double)quantile (kind.first_start_delays_ms, 0.99);
}

static bool
is_time (const Bound &bound)
{
  return bound.measure.ends_with ("_ms");
}

bool
is_kept (const Result &result, const Result &other,
         const Comparison &comparison)
{
  Bound bound = comparison.bound;

  bound.value *= read_measure (other, bound);
  return is_kept (read_measure (result, bound), bound);
}

bool
is_kept (double measured, const Bound &bound)
{
  return is_time (bound) ? measured <= bound.value : measured >= bound.value;
}

} // namespace replay
