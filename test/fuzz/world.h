/**
 * DOC: world - simulation of schedulers and entries on a simulated clock
 *
 * The state machines of src/coordination run unchanged.  The store, the
 * instance list, runners, workers and links are replaced by fakes that can
 * lose, delay and duplicate calls and messages.  One queue of events drives
 * everything on one thread, so that a seed always gives the same run.
 */
#ifndef RST_WORLD_H
#define RST_WORLD_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <glib.h>

extern "C"
{
#include "coordination/entry.h"
#include "coordination/scheduler.h"
}

#include "oracle.h"

namespace fuzz
{

/* Size of the cluster, capacity of its instances, each team's upper limit and
   the interval between two ticks of a process. */
struct ClusterConfig
{
  int zones = 3;
  int schedulers_per_zone = 3;
  int runners_per_zone = 4;
  int workers_per_zone = 6;
  int teams = 6;
  int64_t slots_per_runner = 4;
  int64_t cpu_milli_per_worker = 8000;
  int64_t memory_mb_per_worker = 16384;
  int64_t upper_limit = 24;
  ms tick_ms = 20;
};

/* Active faults of calls and messages. */
struct CallFaults
{
  int lose_reply_permille = 0;
  int slow_call_permille = 0;
  int duplicate_permille = 0;
  bool store_is_down = false;
};

class World;

/* Reply of an external system.  Revisions and deleted flags belong to the keys
   in kvs, by index. */
struct Reply
{
  int result = RST_PLATFORM_OK;
  int status = 200;
  uint64_t revision = 0;
  std::vector<std::pair<std::string, std::string> > kvs;
  std::vector<uint64_t> revisions;
  std::vector<bool> deleted;
  std::vector<struct rst_instance_info> instances;
  std::vector<struct rst_run_info> runs;
  std::string body;
};

/* A scheduler or an entry, whether its process is running or not.  The
   incarnation is increased by every start and crash; whatever was scheduled
   for an earlier one is dropped.  Each process has a clock of its own that
   starts at a random value and is up to 1 % too slow or too fast. */
struct Node
{
  World *world = nullptr;
  std::string name;
  std::string zone;
  std::string address;
  bool is_entry = false;
  struct rst_scheduler *scheduler = nullptr;
  struct rst_entry *entry = nullptr;
  int incarnation = 0;
  bool paused = false;
  bool crashing = false;
  bool stopping = false;
  bool cut_from_store = false;
  double clock_rate = 1.0;
  ms started_at = 0;
  uint64_t calls = 0;
  std::vector<std::function<void ()> > deferred_actions;
  std::map<uint64_t, std::function<void (const Reply &)> > pending_calls;

  bool
  is_alive () const
  {
    return scheduler != nullptr || entry != nullptr;
  }
};

/* A connection from node[0] to node[1].  The other arrays have the same order;
   each end has an id of its own.  A silent link drops messages; it is closed
   after a timeout. */
struct Link
{
  Node *node[2];
  int incarnation[2];
  uint64_t id[2];
  bool open = false;
  bool silent = false;
  bool closing = false;
  ms last_delivery[2] = { 0, 0 };
};

/* A task on a worker.  An ended task stays, with its result, until the
   scheduler confirms that it has seen the end. */
struct FakeTask
{
  struct rst_run_info info;
  bool running = true;
  bool run_once = false;
  ms ends_at = 0;
  ms lease_expires_at = 0;
};

/* A query that a runner runs. */
struct FakeQueryRun
{
  int request;
  std::string id;
  std::string team;
};

/* A runner or a worker.  The epoch is the highest one that it has seen; calls
   with a lower one are fenced.  A failing runner rejects queries, and tasks on
   a failing worker fail.  Tombstones are the ids of tasks that it was told to
   stop while it didn't have them; their start is rejected. */
struct FakeInstance
{
  struct rst_instance_info info;
  uint64_t epoch = 0;
  bool failing = false;
  bool silent = false;
  std::map<uint64_t, FakeQueryRun> query_runs;
  std::map<std::string, FakeTask> tasks;
  std::set<std::string> tombstones;
};

class World
{
public:
  World (const ClusterConfig &cluster, uint64_t seed);
  ~World ();

  Oracle oracle;
  CallFaults call_faults;
  ClusterConfig cluster;
  ms now = 1000000;
  std::mt19937_64 random;

  /* Runs all events that are due within a duration. */
  void advance (ms duration);
  /* Runs an action after a delay. */
  void schedule (ms delay, std::function<void ()> action);

  /* Processes: all schedulers, zone by zone, then one entry a zone.  A paused
     process handles nothing until it is resumed.  A planned stop ends a
     scheduler, which is then restarted. */
  Node *
  node (int index)
  {
    return nodes_[index].get ();
  }
  int
  node_count () const
  {
    return (int)nodes_.size ();
  }
  int
  scheduler_count () const
  {
    return cluster.zones * cluster.schedulers_per_zone;
  }
  void crash (Node *node);
  void restart (Node *node);
  void pause (Node *node);
  void resume (Node *node);
  void stop (Node *node);

  /* Faults.  heal_faults() ends all but failing and leaving instances;
     heal_all() ends those as well. */
  void cut_zones (int a, int b, bool cut);
  void cut_store (int zone, bool cut);
  void make_link_silent (uint64_t which);
  void set_store_down (bool down);
  void set_fault_rates (int lose_reply_permille, int slow_call_permille,
                        int duplicate_permille);
  void reboot_instance (int instance);
  void heal_faults ();
  void heal_all ();

  /* Changes by operators.  Settings can't be changed while the store is down.
     Instances are set to leaving in the instance list. */
  bool put_setting (const std::string &key, const std::string &value);
  void set_limit (int team, int64_t limit);
  void withdraw_key (int team);
  void set_zone_state (int zone, bool out, bool move);
  void set_instance_leaving (int instance, bool leaving);
  void set_instance_failing (int instance, bool failing);

  /* Requests of callers to a zone's entry; none is sent while the entry is
     down or paused.  A keyed request has a request id, so that it can be
     repeated.  Policy 0 is a batch job, 1 a service, 2 a gang. */
  int send_request (int entry, int team, bool idempotent, bool keyed,
                    ms run_ms, ms deadline);
  void repeat_request (int entry, int request);
  void send_request_with_withdrawn_key (int entry, int team);
  int submit_job (int entry, int team, int policy, int tasks, int64_t cpu,
                  ms run_ms, bool run_once);
  void cancel_job_by_index (int entry, int job);
  void cancel_all_services ();

  std::string zone_name (int zone) const;
  std::string team_name (int team) const;
  int
  instance_count () const
  {
    return (int)instances_by_address_.size ();
  }
  FakeInstance &
  instance (int index)
  {
    return *instances_[index];
  }
  int
  last_request_number () const
  {
    return next_request_number_ - 1;
  }
  int
  pending_request_count () const
  {
    return pending_requests_;
  }
  /* Counts jobs with tasks that have not ended, leaving out services. */
  int count_unfinished_jobs () const;
  int64_t store_reads = 0;
  int64_t store_writes = 0;
  int64_t messages = 0;
  int64_t message_bytes = 0;
  bool count_bytes = false;
  /* Time spent in the state machines, including the fakes that they call. */
  int64_t state_machine_ns = 0;
  int answered_count = 0, not_run_count = 0, unknown_count = 0;

  /* Interface of the fakes.  call() carries out a call to the store, or to an
     instance in a zone, with the faults that are active.  Execute runs at the
     callee; it returns the reply, or sets its flag and passes the reply to its
     callback later. */
  void
  call (Node *from, const std::string &zone, bool store, ms timeout,
        std::function<Reply (std::function<void (Reply)>, bool *)> execute,
        rst_platform_done done, void *data);
  FakeInstance *find_instance (const std::string &address);
  Reply store_put (const std::string &key, const std::string &value,
                   int64_t expected, uint64_t lease);
  Reply store_delete (const std::string &key, int64_t expected);
  Reply store_get (const std::string &key);
  Reply store_list (const std::string &prefix);
  uint64_t connect (Node *from, const std::string &address);
  bool send (Node *from, uint64_t link, const struct rst_message *message);
  void close (Node *from, uint64_t link);
  void handle_reply (int request, const struct rst_entry_reply *reply);
  ms node_time (const Node *node) const;
  void end_task (FakeInstance &instance, FakeTask &task, int64_t result);
  int random_below (int bound);
  bool random_chance (int permille);

  /* Contents of the fake store and version of the instance list.  A watch is a
     long poll for changes of a prefix after a revision. */
  struct Watch
  {
    std::string prefix;
    uint64_t after;
    std::function<void (Reply)> send_reply;
  };
  struct Value
  {
    std::string value;
    uint64_t revision;
    uint64_t lease;
  };
  struct Change
  {
    std::string key;
    std::string value;
    uint64_t revision;
    bool deleted;
  };
  struct Lease
  {
    ms ttl;
    ms expires_at;
  };
  std::map<std::string, Value> store_values;
  std::vector<Change> store_changes;
  std::map<uint64_t, Lease> store_leases;
  std::vector<Watch> store_watches;
  uint64_t store_revision = 1;
  uint64_t next_lease_id = 1;
  uint64_t instance_list_revision = 1;
  Reply store_changes_after (const std::string &prefix, uint64_t after);

private:
  struct Event
  {
    ms due_at;
    uint64_t sequence;
    std::function<void ()> action;
    bool
    operator<(const Event &other) const
    {
      return due_at != other.due_at ? due_at > other.due_at
                                    : sequence > other.sequence;
    }
  };
  /* A request as its caller keeps it to send it again. */
  struct CallerRequest
  {
    int entry;
    int team;
    bool idempotent;
    std::string id;
    std::string body;
    ms deadline;
    std::string key;
  };

  std::priority_queue<Event> events_;
  uint64_t last_event_sequence_ = 0;
  uint64_t next_link_ = 10;
  uint64_t next_call_ = 1;
  int next_request_number_ = 1;
  int pending_requests_ = 0;
  std::vector<std::unique_ptr<Node> > nodes_;
  std::map<std::string, std::unique_ptr<FakeInstance> > instances_by_address_;
  std::vector<FakeInstance *> instances_;
  std::map<uint64_t, std::shared_ptr<Link> > links_;
  std::set<std::pair<int, int> > zone_pairs_cut_;
  std::set<int> zones_cut_from_store_;
  std::map<int, CallerRequest> caller_requests_;
  std::map<int, std::string> team_keys_;
  std::map<int, std::string> withdrawn_keys_;
  std::map<int, int> key_versions_;
  /* Per zone: whether it is out of service, and whether runs are moved. */
  std::map<std::string, std::pair<bool, bool> > zone_states_;
  std::map<int, std::string> job_names_;
  std::set<std::string> service_names_;
  std::set<std::string> active_faults_;

  void start_node (Node *node);
  void run_on_node (Node *node, int incarnation,
                    std::function<void ()> action);
  void tick_node (Node *node);
  void run_timed (const std::function<void ()> &action);
  void report_settings (Node *node);
  bool are_zones_cut (const std::string &a, const std::string &b) const;
  void close_link (std::shared_ptr<Link> link, ms delay);
  void notify_watches (const std::string &key);
  void expire_leases_and_tasks ();
  void write_team_settings (int team, int64_t limit);
  void pass_to_entry (int request);
  void cancel_job_by_name (int entry, const std::string &name);
  void set_fault_active (const std::string &name, bool active);
  int zone_index (const std::string &zone) const;
  std::map<int, int64_t> team_limits_;
  void *periodic_check_ = nullptr;
};

}

#endif
