#include "oracle.h"

#include <algorithm>

namespace fuzz
{

void
Oracle::record_violation (const std::string &property,
                          const std::string &detail, ms now)
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
Oracle::begin_fault (ms now)
{
  active_fault_count_++;
  last_fault_change_ = now;
}

void
Oracle::end_fault (ms now)
{
  active_fault_count_--;
  last_fault_change_ = now;
}

/* Returns whether a change must be applied everywhere: it has had its time,
   and no fault was active recently. */
bool
Oracle::has_taken_effect (ms since, ms now) const
{
  return active_fault_count_ == 0 && now - since > MAX_PROPAGATION_MS
         && now - last_fault_change_ > 2 * MAX_PROPAGATION_MS;
}

void
Oracle::record_limit (const std::string &team, int64_t limit, ms now)
{
  int64_t previous = std::max (max_running (team, now), limit);
  Limit &entry = limits_[team];

  entry.previous = previous;
  entry.current = limit;
  entry.changed_at = now;
}

void
Oracle::record_key (const std::string &team, const std::string &key)
{
  keys_[key] = team;
}

void
Oracle::record_key_withdrawal (const std::string &key, ms now)
{
  key_withdrawn_at_[key] = now;
}

void
Oracle::record_zone_out (const std::string &zone, ms now)
{
  zones_out_since_.emplace (zone, now);
}

void
Oracle::record_zone_in (const std::string &zone)
{
  zones_out_since_.erase (zone);
}

void
Oracle::record_instance_leaving (const std::string &instance, ms now)
{
  instances_[instance].leaving_since = now;
}

void
Oracle::record_instance_back (const std::string &instance)
{
  instances_[instance].leaving_since = -1;
}

void
Oracle::record_request (int number, const Request &request)
{
  requests_[number] = request;
}

void
Oracle::record_answer (int request, const std::string &outcome,
                       const std::string &body, ms now)
{
  Request &entry = requests_[request];

  if (++entry.answers > entry.sends)
    record_violation ("whole-answer", "request answered twice", now);
  entry.outcome = outcome;
  if (outcome == "answered"
      && body.find ("\"n\":" + std::to_string (request) + "}")
             == std::string::npos)
    record_violation ("whole-answer",
                      "request " + std::to_string (request) + " got " + body,
                      now);
  /* Of a request that was sent again, one copy may run and another one be
     rejected. */
  if (outcome == "not-run" && entry.runs > 0 && entry.sends == 1)
    record_violation (
        "not-run-is-true",
        "request " + std::to_string (request) + " ran and was rejected", now);
  if (outcome == "answered" && entry.runs == 0)
    record_violation ("whole-answer", "request answered without a run", now);
}

int64_t
Oracle::max_running (const std::string &team, ms now) const
{
  auto found = limits_.find (team);

  if (found == limits_.end ())
    return 0;
  return has_taken_effect (found->second.changed_at, now)
             ? found->second.current
             : found->second.previous;
}

void
Oracle::check_start_is_allowed (const std::string &name,
                                const std::string &team, ms now)
{
  const Instance &instance = instances_[name];
  auto out = zones_out_since_.find (instance.zone);

  if (out != zones_out_since_.end () && has_taken_effect (out->second, now))
    record_violation ("zone-out", "run started on " + name, now);
  if (instance.leaving_since >= 0
      && has_taken_effect (instance.leaving_since + MAX_LIST_LAG_MS, now))
    record_violation ("leaving-endpoint", "run started on " + name, now);
  if (running_per_team_[team] > max_running (team, now))
    record_violation ("upper-limit",
                      team + " has " + std::to_string (running_per_team_[team])
                          + " of " + std::to_string (max_running (team, now)),
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
    record_violation ("overcommit", name, now);
}

void
Oracle::record_run_start (const std::string &name, int request,
                          const std::string &team, ms now)
{
  Request &entry = requests_[request];

  run_count_++;
  entry.runs++;
  instances_[name].used.slots++;
  running_per_team_[team]++;
  check_capacity (name, now);
  check_start_is_allowed (name, team, now);
  if (entry.team != team)
    record_violation ("key-decides-team",
                      "request of " + entry.team + " ran for " + team, now);
  auto withdrawn = key_withdrawn_at_.find (entry.key);
  if (withdrawn != key_withdrawn_at_.end ()
      && entry.sent_at - withdrawn->second > MAX_PROPAGATION_MS
      && has_taken_effect (withdrawn->second, entry.sent_at))
    record_violation ("withdrawn-key",
                      "request " + std::to_string (request) + " ran", now);
  if (!entry.idempotent && entry.runs > 1)
    record_violation ("non-idempotent-once",
                      "request " + std::to_string (request) + " ran twice",
                      now);
  if (entry.answers > 0 && entry.outcome == "not-run" && entry.sends == 1)
    record_violation ("not-run-is-true",
                      "request " + std::to_string (request)
                          + " ran after it was rejected",
                      now);
}

void
Oracle::record_run_end (const std::string &name, const std::string &team)
{
  instances_[name].used.slots--;
  running_per_team_[team]--;
}

void
Oracle::record_task_start (const std::string &name, const std::string &team,
                           const std::string &task, const Capacity &needs,
                           bool run_once, ms now)
{
  Capacity &used = instances_[name].used;

  started_task_count_++;
  used.cpu += needs.cpu;
  used.memory += needs.memory;
  used.accelerators += needs.accelerators;
  running_per_team_[team]++;
  if (++running_per_task_[task] > 1)
    record_violation ("task-in-two-places", task + " on " + name, now);
  if (run_once && !started_run_once_tasks_.insert (task).second)
    record_violation ("task-in-two-places",
                      task + " must run once and started again", now);
  check_capacity (name, now);
  check_start_is_allowed (name, team, now);
}

void
Oracle::record_task_end (const std::string &name, const std::string &team,
                         const std::string &task, const Capacity &needs,
                         bool checkpointed)
{
  Capacity &used = instances_[name].used;

  used.cpu -= needs.cpu;
  used.memory -= needs.memory;
  used.accelerators -= needs.accelerators;
  running_per_team_[team]--;
  running_per_task_[task]--;
  /* The next start continues from the checkpoint and counts as the same
     run. */
  if (checkpointed)
    started_run_once_tasks_.erase (task);
}

void
Oracle::record_setting_in_force (const std::string &process,
                                 const std::string &key, uint64_t revision,
                                 ms now)
{
  uint64_t &in_force = revisions_in_force_[process][key];

  if (revision < in_force)
    record_violation ("settings-never-revert", process + " " + key, now);
  in_force = revision;
}

void
Oracle::record_process_end (const std::string &process)
{
  revisions_in_force_.erase (process);
  stops_requested_at_.erase (process);
}

void
Oracle::record_stored_setting (const std::string &key, uint64_t revision,
                               ms now)
{
  stored_revisions_[key] = { revision, now };
}

void
Oracle::check_settings_in_force (const std::string &process, ms now)
{
  for (const auto &entry : stored_revisions_)
    if (has_taken_effect (entry.second.second, now)
        && revisions_in_force_[process][entry.first] < entry.second.first)
      record_violation ("settings-never-revert",
                        process + " has not applied " + entry.first
                            + " of revision "
                            + std::to_string (entry.second.first),
                        now);
}

void
Oracle::record_stop_request (const std::string &process, ms now)
{
  stops_requested_at_[process] = now;
}

void
Oracle::record_stop_end (const std::string &process, ms now)
{
  (void)now;
  stops_requested_at_.erase (process);
}

void
Oracle::check_stops (ms now)
{
  for (const auto &stop : stops_requested_at_)
    if (now - stop.second > MAX_STOP_MS)
      record_violation ("planned-stop", stop.first + " has not stopped", now);
}

int
Oracle::count_running (const std::string &team) const
{
  auto found = running_per_team_.find (team);

  return found != running_per_team_.end () ? found->second : 0;
}

}
