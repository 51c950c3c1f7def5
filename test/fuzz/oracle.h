/**
 * DOC: oracle - judges what the schedulers and entries did
 *
 * Sees every start, end, answer and settings change, and knows only the
 * twelve properties.  It shares no code with the logic that it judges.
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

/* How long a change may take to be in force everywhere. */
constexpr ms IN_FORCE_MS = 4000;

/* Lag of the list of instances. */
constexpr ms LIST_LAG_MS = 1000;

/* Bound on a planned stop. */
constexpr ms STOP_MS = 25000;

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

/* One caller's request, and what became of it. */
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

  /* Configuration of the world. */
  void add_instance (const std::string &name, const std::string &zone,
                     const Capacity &capacity);

  /* Faults: while any is active, rules with a time bound do not apply. */
  void fault_begins (ms now);
  void fault_ends (ms now);
  ms
  calm_since () const
  {
    return calm_since_;
  }
  bool
  calm () const
  {
    return faults_ == 0;
  }

  /* What operators did. */
  void limit_set (const std::string &team, int64_t limit, ms now);
  void key_granted (const std::string &team, const std::string &key);
  void key_withdrawn (const std::string &key, ms now);
  void zone_out (const std::string &zone, ms now);
  void zone_in (const std::string &zone);
  void leaving (const std::string &instance, ms now);
  void back (const std::string &instance);

  /* What callers saw. */
  void sent (int request, const Request &what);
  void
  repeated (int request)
  {
    requests_[request].sends++;
  }
  void answered (int request, const std::string &outcome,
                 const std::string &body, ms now);

  /* What instances saw. */
  void run_started (const std::string &instance, int request,
                    const std::string &team, ms now);
  void run_ended (const std::string &instance, const std::string &team);
  void task_started (const std::string &instance, const std::string &team,
                     const std::string &task, const Capacity &needs,
                     bool run_once, ms now);
  void task_ended (const std::string &instance, const std::string &team,
                   const std::string &task, const Capacity &needs,
                   bool checkpointed);

  /* What processes hold. */
  void in_force (const std::string &process, const std::string &branch,
                 uint64_t revision, ms now);
  void process_gone (const std::string &process);
  void stored (const std::string &branch, uint64_t revision, ms now);
  void check_in_force (const std::string &process, ms now);
  void stop_asked (const std::string &process, ms now);
  void stop_done (const std::string &process, ms now);
  void check_stops (ms now);

  void violate (const std::string &property, const std::string &detail,
                ms now);
  int running (const std::string &team) const;
  int64_t
  started_tasks () const
  {
    return started_tasks_;
  }
  int64_t
  runs () const
  {
    return runs_;
  }

private:
  struct Instance
  {
    std::string zone;
    Capacity capacity;
    Capacity used;
    ms leaving_since = -1;
  };
  struct Limit
  {
    int64_t present = 0;
    int64_t before = 0;
    ms changed_at = 0;
  };

  std::map<std::string, Instance> instances_;
  std::map<std::string, Limit> limits_;
  std::map<std::string, int> running_;
  std::map<std::string, std::string> keys_;
  std::map<std::string, ms> withdrawn_;
  std::map<std::string, ms> out_;
  std::map<int, Request> requests_;
  std::map<std::string, int> tasks_running_;
  std::set<std::string> once_started_;
  std::map<std::string, std::map<std::string, uint64_t> > held_;
  std::map<std::string, std::pair<uint64_t, ms> > stored_;
  std::map<std::string, ms> stops_;
  int faults_ = 0;
  ms calm_since_ = 0;
  int64_t started_tasks_ = 0;
  int64_t runs_ = 0;

  bool settled (ms since, ms now) const;
  void check_start (const std::string &instance, const std::string &team,
                    ms now);
  void check_capacity (const std::string &name, ms now);
  int64_t allowed (const std::string &team, ms now) const;
};

}

#endif
