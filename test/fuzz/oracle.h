/**
 * DOC: oracle - checks what the schedulers and entries do
 *
 * The world reports every start and end of a run, every answer and every
 * change of a setting to the oracle, which checks twelve properties.  A
 * violation is recorded when
 *
 * - overcommit: an instance runs more than its capacity,
 * - task-in-two-places: a task runs twice at once, or a task that must run
 *   once starts again without a checkpoint,
 * - key-decides-team: a request runs for another team than its key's,
 * - withdrawn-key: a request that was sent with a withdrawn key runs,
 * - upper-limit: a team has more runs than its upper limit,
 * - zone-out: a run starts in a zone that is out of service,
 * - whole-answer: a request gets two answers, another request's answer, or an
 *   answer without a run,
 * - not-run-is-true: a request runs although its caller is told that it isn't
 *   run,
 * - non-idempotent-once: a request that isn't idempotent runs twice,
 * - leaving-endpoint: a run starts on an instance that is leaving,
 * - planned-stop: a planned stop takes longer than MAX_STOP_MS,
 * - settings-never-revert: a process returns to an older revision of a
 *   setting, or doesn't apply the newest one in time.
 *
 * The oracle shares no code with the logic that it checks.  Times are those of
 * the world's clock, in milliseconds.
 */
#ifndef RST_ORACLE_H
#define RST_ORACLE_H

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace fuzz
{

using ms = int64_t;

/* Time within which all processes must apply a change of a setting. */
constexpr ms MAX_PROPAGATION_MS = 4000;

/* Time until all schedulers have read a change in the instance list. */
constexpr ms MAX_LIST_LAG_MS = 1000;

constexpr ms MAX_STOP_MS = 25000;

struct Violation
{
  std::string property;
  std::string detail;
  ms at;
};

struct Capacity
{
  int64_t slots = 0;
  int64_t cpu = 0;
  int64_t memory = 0;
  int64_t accelerators = 0;
};

/* A caller's request; runs, sends and answers count what happened to it. */
struct Request
{
  std::string team;
  std::string key;
  bool idempotent = false;
  bool accepted_key = true;
  ms sent_at = 0;
  int runs = 0;
  int sends = 1;
  int answers = 0;
  std::string outcome;
};

class Oracle
{
public:
  std::vector<Violation> violations;

  /* Adds an instance; zone and capacity don't change later. */
  void add_instance (const std::string &name, const std::string &zone,
                     const Capacity &capacity);

  /* Begin and end of an injected fault.  Properties with a time bound are not
     checked while a fault is active and for some time after it. */
  void begin_fault (ms now);
  void end_fault (ms now);
  ms
  last_fault_change () const
  {
    return last_fault_change_;
  }
  bool
  is_free_of_faults () const
  {
    return active_fault_count_ == 0;
  }

  /* Changes by operators. */
  void record_limit (const std::string &team, int64_t limit, ms now);
  void record_key (const std::string &team, const std::string &key);
  void record_key_withdrawal (const std::string &key, ms now);
  void record_zone_out (const std::string &zone, ms now);
  void record_zone_in (const std::string &zone);
  void record_instance_leaving (const std::string &instance, ms now);
  void record_instance_back (const std::string &instance);

  /* Requests sent by callers, and the answers that they receive. */
  void record_request (int number, const Request &request);
  void
  record_repeat (int request)
  {
    requests_[request].sends++;
  }
  void record_answer (int request, const std::string &outcome,
                      const std::string &body, ms now);

  /* Runs of queries and tasks, as their instances see them. */
  void record_run_start (const std::string &instance, int request,
                         const std::string &team, ms now);
  void record_run_end (const std::string &instance, const std::string &team);
  void record_task_start (const std::string &instance, const std::string &team,
                          const std::string &task, const Capacity &needs,
                          bool run_once, ms now);
  void record_task_end (const std::string &instance, const std::string &team,
                        const std::string &task, const Capacity &needs,
                        bool checkpointed);

  /* Settings as stored and as applied by each process, and planned stops. */
  void record_setting_in_force (const std::string &process,
                                const std::string &key, uint64_t revision,
                                ms now);
  void record_process_end (const std::string &process);
  void record_stored_setting (const std::string &key, uint64_t revision,
                              ms now);
  void check_settings_in_force (const std::string &process, ms now);
  void record_stop_request (const std::string &process, ms now);
  void record_stop_end (const std::string &process, ms now);
  void check_stops (ms now);

  void record_violation (const std::string &property,
                         const std::string &detail, ms now);
  int count_running (const std::string &team) const;
  int64_t
  started_task_count () const
  {
    return started_task_count_;
  }
  int64_t
  run_count () const
  {
    return run_count_;
  }

private:
  struct Instance
  {
    std::string zone;
    Capacity capacity;
    Capacity used;
    ms leaving_since = -1;
  };
  /* While a change takes effect, the previous limit is allowed as well if it
     is higher. */
  struct Limit
  {
    int64_t current = 0;
    int64_t previous = 0;
    ms changed_at = 0;
  };

  std::map<std::string, Instance> instances_;
  std::map<std::string, Limit> limits_;
  std::map<std::string, int> running_per_team_;
  std::map<std::string, std::string> keys_;
  std::map<std::string, ms> key_withdrawn_at_;
  std::map<std::string, ms> zones_out_since_;
  std::map<int, Request> requests_;
  std::map<std::string, int> running_per_task_;
  std::set<std::string> started_run_once_tasks_;
  std::map<std::string, std::map<std::string, uint64_t> > revisions_in_force_;
  std::map<std::string, std::pair<uint64_t, ms> > stored_revisions_;
  std::map<std::string, ms> stops_requested_at_;
  int active_fault_count_ = 0;
  ms last_fault_change_ = 0;
  int64_t started_task_count_ = 0;
  int64_t run_count_ = 0;

  bool has_taken_effect (ms since, ms now) const;
  void check_start_is_allowed (const std::string &instance,
                               const std::string &team, ms now);
  void check_capacity (const std::string &name, ms now);
  int64_t max_running (const std::string &team, ms now) const;
};

}

#endif
