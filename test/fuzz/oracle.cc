#include "oracle.h"

#include <algorithm>

namespace fuzz
{

void
Oracle::violate (const std::string &property, const std::string &detail,
                 ms now)
{
  violations.push_back ({ property, detail, now });
}

void
Oracle::add_instance (const std::string &name, const std::string &zone,
                      const Capacity &capacity)
{
  instances_[name].zone = zone;
  instances_[name].capacity = capacity;
}

void
Oracle::fault_begins (ms now)
{
  faults_++;
  calm_since_ = now;
}

void
Oracle::fault_ends (ms now)
{
  faults_--;
  calm_since_ = now;
}

/* Whether a change had its time without any fault in between. */
bool
Oracle::settled (ms since, ms now) const
{
  return faults_ == 0 && now - since > IN_FORCE_MS
         && now - calm_since_ > 2 * IN_FORCE_MS;
}

void
Oracle::limit_set (const std::string &team, int64_t limit, ms now)
{
  int64_t before = std::max (allowed (team, now), limit);
  Limit &entry = limits_[team];

  entry.before = before;
  entry.present = limit;
  entry.changed_at = now;
}

void
Oracle::key_granted (const std::string &team, const std::string &key)
{
  keys_[key] = team;
}

void
Oracle::key_withdrawn (const std::string &key, ms now)
{
  withdrawn_[key] = now;
}

void
Oracle::zone_out (const std::string &zone, ms now)
{
  out_.emplace (zone, now);
}

void
Oracle::zone_in (const std::string &zone)
{
  out_.erase (zone);
}

void
Oracle::leaving (const std::string &instance, ms now)
{
  instances_[instance].leaving_since = now;
}

void
Oracle::back (const std::string &instance)
{
  instances_[instance].leaving_since = -1;
}

void
Oracle::sent (int request, const Request &what)
{
  requests_[request] = what;
}

void
Oracle::answered (int request, const std::string &outcome,
                  const std::string &body, ms now)
{
  Request &entry = requests_[request];

  if (++entry.answers > entry.sends)
    violate ("whole-answer", "request answered twice", now);
  entry.outcome = outcome;
  if (outcome == "answered"
      && body.find ("\"n\":" + std::to_string (request) + "}")
             == std::string::npos)
    violate ("whole-answer",
             "request " + std::to_string (request) + " got " + body, now);
  /* Of a repeated request, one sending may run and another be refused. */
  if (outcome == "not-run" && entry.runs > 0 && entry.sends == 1)
    violate ("not-run-is-true",
             "request " + std::to_string (request) + " ran and was refused",
             now);
  if (outcome == "answered" && entry.runs == 0)
    violate ("whole-answer", "answered without a run", now);
}

int64_t
Oracle::allowed (const std::string &team, ms now) const
{
  auto found = limits_.find (team);

  if (found == limits_.end ())
    return 0;
  return settled (found->second.changed_at, now) ? found->second.present
                                                 : found->second.before;
}

void
Oracle::check_start (const std::string &name, const std::string &team, ms now)
{
  const Instance &instance = instances_[name];
  auto out = out_.find (instance.zone);

  if (out != out_.end () && settled (out->second, now))
    violate ("zone-out", "start on " + name, now);
  if (instance.leaving_since >= 0
      && settled (instance.leaving_since + LIST_LAG_MS, now))
    violate ("leaving-endpoint", "start on " + name, now);
  if (running_[team] > allowed (team, now))
    violate ("upper-limit",
             team + " has " + std::to_string (running_[team]) + " of "
                 + std::to_string (allowed (team, now)),
             now);
}

void
Oracle::check_capacity (const std::string &name, ms now)
{
  const Instance &instance = instances_[name];

  if (instance.used.slots > instance.capacity.slots
      || instance.used.cpu > instance.capacity.cpu
      || instance.used.memory > instance.capacity.memory
      || instance.used.accelerators > instance.capacity.accelerators)
    violate ("overcommit", name, now);
}

void
Oracle::run_started (const std::string &name, int request,
                     const std::string &team, ms now)
{
  Request &entry = requests_[request];

  runs_++;
  entry.runs++;
  instances_[name].used.slots++;
  running_[team]++;
  check_capacity (name, now);
  check_start (name, team, now);
  if (entry.team != team)
    violate ("key-decides-team",
             "request of " + entry.team + " ran for " + team, now);
  auto withdrawn = withdrawn_.find (entry.key);
  if (withdrawn != withdrawn_.end ()
      && entry.sent_at - withdrawn->second > IN_FORCE_MS
      && settled (withdrawn->second, entry.sent_at))
    violate ("withdrawn-key", "request " + std::to_string (request) + " ran",
             now);
  if (!entry.idempotent && entry.runs > 1)
    violate ("non-idempotent-once",
             "request " + std::to_string (request) + " ran twice", now);
  if (entry.answers > 0 && entry.outcome == "not-run" && entry.sends == 1)
    violate ("not-run-is-true",
             "request " + std::to_string (request)
                 + " ran after it was refused",
             now);
}

void
Oracle::run_ended (const std::string &name, const std::string &team)
{
  instances_[name].used.slots--;
  running_[team]--;
}

void
Oracle::task_started (const std::string &name, const std::string &team,
                      const std::string &task, const Capacity &needs,
                      bool run_once, ms now)
{
  Capacity &used = instances_[name].used;

  started_tasks_++;
  used.cpu += needs.cpu;
  used.memory += needs.memory;
  used.accelerators += needs.accelerators;
  running_[team]++;
  if (++tasks_running_[task] > 1)
    violate ("task-in-two-places", task + " on " + name, now);
  if (run_once && !once_started_.insert (task).second)
    violate ("task-in-two-places", task + " must run once", now);
  check_capacity (name, now);
  check_start (name, team, now);
}

void
Oracle::task_ended (const std::string &name, const std::string &team,
                    const std::string &task, const Capacity &needs,
                    bool checkpointed)
{
  Capacity &used = instances_[name].used;

  used.cpu -= needs.cpu;
  used.memory -= needs.memory;
  used.accelerators -= needs.accelerators;
  running_[team]--;
  tasks_running_[task]--;
  /* The next start goes on from the checkpoint: it is the same run. */
  if (checkpointed)
    once_started_.erase (task);
}

void
Oracle::in_force (const std::string &process, const std::string &branch,
                  uint64_t revision, ms now)
{
  uint64_t &held = held_[process][branch];

  if (revision < held)
    violate ("settings-never-revert", process + " " + branch, now);
  held = revision;
}

void
Oracle::process_gone (const std::string &process)
{
  held_.erase (process);
  stops_.erase (process);
}

void
Oracle::stored (const std::string &branch, uint64_t revision, ms now)
{
  stored_[branch] = { revision, now };
}

void
Oracle::check_in_force (const std::string &process, ms now)
{
  for (const auto &entry : stored_)
    if (settled (entry.second.second, now)
        && held_[process][entry.first] < entry.second.first)
      violate ("settings-never-revert",
               process + " lacks " + entry.first + " of revision "
                   + std::to_string (entry.second.first),
               now);
}

void
Oracle::stop_asked (const std::string &process, ms now)
{
  stops_[process] = now;
}

void
Oracle::stop_done (const std::string &process, ms now)
{
  (void)now;
  stops_.erase (process);
}

void
Oracle::check_stops (ms now)
{
  for (const auto &stop : stops_)
    if (now - stop.second > STOP_MS)
      violate ("planned-stop", stop.first + " goes on", now);
}

int
Oracle::running (const std::string &team) const
{
  auto found = running_.find (team);

  return found != running_.end () ? found->second : 0;
}

}
