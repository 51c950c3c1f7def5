// A cell in one process on a fake clock: nodes, store, instances, callers.
//
// Nodes are the daemons' own code (rst_cell_node).  Store and instances are
// models of the platform's documented behaviour, with the faults that it may
// show.  The oracle notes each breach of a property.
#ifndef RST_TEST_CELL_WORLD_H
#define RST_TEST_CELL_WORLD_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

extern "C"
{
#include "cell/planner_client.h"
#include "daemon/cell_node.h"
}

namespace cell
{

using Millis = int64_t;

// What may go wrong, as probabilities or switches.
struct Faults
{
  double lose_answer_probability = 0.0; // an instance's answer is lost
  double late_order_probability = 0.0; // an order is carried out seconds later
  double fail_run_probability = 0.05;  // a run fails
  double lose_commit_probability = 0.0; // the store's answer is lost
  double late_commit_probability = 0.0; // and the change is made seconds later
  bool is_store_down = false;           // the store answers nobody
  Millis store_delay_ms = 4;            // time of a call to the store
};

struct StoreItem
{
  std::string value;
  int64_t revision = 0;
};

struct Run
{
  std::string task;
  int attempt = 0;
  Millis ends_at = 0;
  bool will_fail = false;
  bool is_stopping = false;
  int gang_size = 0; // members of its gang; 0 for none
  Millis gang_deadline = 0;
};

struct RunEnd
{
  int64_t number;
  std::string task;
  int attempt;
  int end_reason;
};

// An order as it travels.
struct Order
{
  int kind = 0; // 0 look, 1 start, 2 stop
  std::string task;
  int attempt = 0;
  int64_t fencing_token = 0;
  Millis lease_expires_at = 0;
  int64_t last_seen = 0;
  int restarts = 0;
  int64_t incarnation = 0;
};

struct Instance
{
  std::string id;
  std::string address;
  std::string zone;
  bool is_up = true;
  bool is_unreachable = false;
  int restarts = 0;
  int64_t started_at = 0;
  int64_t fencing_token = 0;
  int64_t next_end_number = 1;
  Millis clock_offset = 0;
  Millis lease_expires_at = 0;
  std::map<std::string, Run> runs;
  std::map<std::string, int> highest_attempts;
  std::vector<RunEnd> ends;
  std::vector<std::function<void ()> > pending_polls;
  std::set<std::string> listed_done; // tasks whose done end it listed
};

struct Job
{
  rst_jobdesc *desc = nullptr;
  std::string queue;
  bool is_accepted = false;
  Millis cancelled_at = 0;
  std::set<std::string> done_tasks; // tasks that have ended done
  std::map<std::string, int>
      acknowledged_failures;                // noted failed runs of a task
  std::map<std::string, int> failures;      // failed runs, noted or not
  std::set<std::string> acknowledged_tasks; // tasks whose done end was noted
  bool may_fail = false;                    // failed rightly
};

class World;

struct Node
{
  World *world = nullptr;
  std::string name;
  std::string zone;
  std::string address;
  rst_backend backend = {};
  rst_cell_node *cell_node = nullptr;
  bool is_store_unreachable = false;
  bool is_isolated = false;
  std::set<uint64_t> link_ends;
  std::map<uint64_t, std::function<void ()> > pending_calls;
  uint64_t incarnation = 0;
  Millis paused_until = 0;
};

struct Link
{
  Node *from = nullptr; // nullptr for the callers' entry
  Node *to = nullptr;
  uint64_t from_incarnation = 0;
  uint64_t to_incarnation = 0;
  bool is_open = false;
};

class World
{
public:
  World (uint64_t seed, int nodes, int instances);
  ~World ();

  Faults faults;
  // Whether an order that is carried out late may reach the next life.
  bool orders_survive_restart = false;
  std::vector<std::string> violations;
  std::map<std::string, Job> jobs;
  std::vector<std::unique_ptr<Node> > nodes;
  std::vector<std::unique_ptr<Instance> > instances;
  std::map<std::string, StoreItem> store;
  std::mt19937_64 random;

  void run_until (Millis time);
  Millis now () const;
  double
  draw_unit ()
  {
    return std::uniform_real_distribution<> () (random);
  }
  int
  draw_below (int bound)
  {
    return (int)(random () % (uint64_t)bound);
  }

  // Operators and instances.
  void configure (int64_t version, int64_t cpu_limit);
  void put_key (const std::string &key, const std::string &value);
  void remove_key (const std::string &key);
  void register_instance (Instance &instance, bool draining = false);
  void crash_instance (Instance &instance, Millis down_ms);

  // Nodes.
  void start_node (Node &node);
  void kill_node (Node &node, bool silent);
  void set_isolated (Node &node, bool isolated);
  void run_node (Node &node);
  Node *find_planner ();

  // Callers.
  void submit (const std::string &id, rst_jobdesc *desc);
  void cancel (const std::string &id);
  void read (const std::string &id);
  int
  completed () const
  {
    return completed_;
  }
  int is_reported_ended (const std::string &id) const;

  // Backend of a node.
  void store_get (Node &node, const std::string &key, rst_store_done done,
                  void *data);
  void store_range (Node &node, const std::string &prefix,
                    const std::string &after, rst_store_done done, void *data);
  void store_watch (Node &node, const std::string &prefix, int64_t after,
                    Millis wait_ms, rst_store_done done, void *data);
  void store_commit (Node &node, const rst_store_write *writes, int count,
                     rst_store_done done, void *data);
  void call_instance (Node &node, int kind, const rst_instance_call &call,
                      rst_instance_done done, void *data);
  void request_advice (Node &node, const char *const *ids, int count,
                       rst_advice_done done, void *data);

  uint64_t open_link (Node *from, const std::string &address);
  void close_link (uint64_t end, bool by_owner);
  void send_frame (uint64_t end, const std::string &data);

private:
  struct Event
  {
    Millis at;
    uint64_t sequence;
    std::function<void ()> action;
    bool
    operator> (const Event &other) const
    {
      return at != other.at ? at > other.at : sequence > other.sequence;
    }
  };
  struct CallerRequest
  {
    std::string id;
    rst_operation operation;
    rst_jobdesc *desc;
    bool sent;
  };

  void schedule (Millis time, std::function<void ()> action);
  void report_violation (const std::string &text);
  int64_t sum_running_cpu (const Instance &instance);
  uint64_t begin_call (Node &node, std::function<void ()> on_abort);
  bool end_call (Node &node, uint64_t incarnation, uint64_t call);
  void answer_store_call (Node &node, rst_store_answer *answer,
                          rst_store_done done, void *data, Millis delay,
                          bool lost);
  bool can_reach_store (const Node &node) const;
  void change_key (const std::string &key, const std::string *value);
  Instance *find_instance (const std::string &address);
  rst_instance_answer *apply_order (Instance &instance, const Order &order);
  void apply_start (Instance &instance, const Order &order,
                    rst_instance_answer *answer);
  void apply_stop (Instance &instance, const Order &order);
  void answer_instance_call (Node &node, Instance &instance,
                             uint64_t node_incarnation, uint64_t call,
                             rst_instance_done done, void *data, bool is_poll);
  void check_start (Instance &instance, const std::string &task, int attempt);
  void acknowledge_ends (Instance &instance, int64_t last_seen);
  void end_run (Instance &instance, const std::string &task, int end_reason);
  double get_failure_probability (const std::string &task);
  void start_complete_gang (const std::string &step, int count);
  void tick_instance (Instance &instance);
  void list_runs (Instance &instance, rst_instance_answer *answer);
  Millis get_clock (const Instance &instance) const;
  void abort_calls (Node &node);
  void accept_link (uint64_t end, const std::string &address);
  void deliver_event (Node *node, uint64_t incarnation, rst_net_event event,
                      uint64_t end, const std::string &data);
  void handle_entry_opened ();
  void connect_entry ();
  void handle_entry_frame (const std::string &data);
  void send_request (uint64_t number);
  void make_request (const std::string &id, rst_operation operation,
                     rst_jobdesc *desc);

  std::priority_queue<Event, std::vector<Event>, std::greater<Event> > events_;
  uint64_t sequence_ = 0;
  uint64_t next_link_ = 1;
  uint64_t next_call_ = 1;
  int64_t cpu_limit_ = 0; // of the one customer; 0 for none
  int64_t revision_ = 10;
  std::vector<std::pair<int64_t, std::string> > history_;
  std::map<uint64_t, Link> links_;
  uint64_t entry_link_ = 0;
  bool planner_is_serving_ = false;
  int64_t entry_epoch_ = 0;
  std::map<uint64_t, CallerRequest> entry_requests_;
  uint64_t next_request_number_ = 1;
  std::set<std::string> reported_ended_;
  int completed_ = 0;
  std::vector<rst_jobdesc *> descs_;
};

} // namespace cell

#endif
