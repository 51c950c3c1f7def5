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
  double lose_answer = 0.0; // an instance's answer is lost
  double late_order = 0.0;  // an order is carried out seconds later
  double fail_run = 0.05;   // a run fails
  double lose_commit = 0.0; // the store's answer is lost
  double late_commit = 0.0; // and the change is made seconds later
  bool store_down = false;  // the store answers nobody
  Millis store_delay = 4;   // time of a call to the store
};

struct Item
{
  std::string value;
  int64_t revision = 0;
};

struct Run
{
  std::string task;
  int attempt = 0;
  Millis ends_at = 0;
  bool fails = false;
  bool stopping = false;
  int count = 0; // members of its gang; 0 for none
  Millis alone_at = 0;
};

struct End
{
  int64_t number;
  std::string task;
  int attempt;
  int end_reason;
};

// An order as it travels.
struct OrderCopy
{
  int kind = 0; // 0 look, 1 start, 2 stop
  std::string task;
  int attempt = 0;
  int64_t fence = 0;
  Millis deadline = 0;
  int64_t last_seen = 0;
  int life = 0;
  int64_t incarnation = 0;
};

struct Worker
{
  std::string id;
  std::string address;
  std::string zone;
  bool up = true;
  bool cut = false;
  int lives = 0;
  int64_t incarnation = 0;
  int64_t fence = 0;
  int64_t next_end = 1;
  Millis clock_skew = 0;
  Millis lease = 0;
  std::map<std::string, Run> runs;
  std::map<std::string, int> highest;
  std::vector<End> ends;
  std::vector<std::function<void ()> > waiting;
  std::set<std::string> started_done; // tasks whose done end it listed
};

struct Job
{
  rst_jobdesc *desc = nullptr;
  std::string queue;
  bool accepted = false;
  Millis cancelled_at = 0;
  std::set<std::string> done;              // tasks that have ended done
  std::map<std::string, int> failed;       // noted failed runs of a task
  std::map<std::string, int> ended_failed; // failed runs, noted or not
  std::set<std::string> noted;             // tasks whose done end was noted
  bool over = false;                       // failed rightly
};

class World;

struct Node
{
  World *world = nullptr;
  std::string name;
  std::string zone;
  std::string address;
  rst_backend backend = {};
  rst_cell_node *node = nullptr;
  bool store_cut = false;
  bool cut = false;
  std::set<uint64_t> links;
  std::map<uint64_t, std::function<void ()> > calls;
  uint64_t life = 0;
  Millis frozen_until = 0;
};

struct Link
{
  Node *from = nullptr; // nullptr for the callers' entry
  Node *to = nullptr;
  uint64_t from_life = 0;
  uint64_t to_life = 0;
  bool open = false;
};

class World
{
public:
  World (uint64_t seed, int nodes, int workers);
  ~World ();

  Faults faults;
  // Whether an order that is carried out late may reach the next life.
  bool orders_outlive = false;
  std::vector<std::string> breaches;
  std::map<std::string, Job> jobs;
  std::vector<std::unique_ptr<Node> > nodes;
  std::vector<std::unique_ptr<Worker> > workers;
  std::map<std::string, Item> store;
  std::mt19937_64 random;

  void run_until (Millis time);
  Millis now () const;
  double
  chance ()
  {
    return std::uniform_real_distribution<> () (random);
  }
  int
  below (int bound)
  {
    return (int)(random () % (uint64_t)bound);
  }

  // Operators and instances.
  void configure (int64_t version, int64_t cpu_limit);
  void put (const std::string &key, const std::string &value);
  void remove (const std::string &key);
  void register_worker (Worker &worker, bool draining = false);
  void crash_worker (Worker &worker, Millis down_ms);

  // Nodes.
  void start_node (Node &node);
  void kill_node (Node &node, bool silent);
  void set_cut (Node &node, bool cut);
  void tick (Node &node);
  Node *planner ();

  // Callers.
  void submit (const std::string &id, rst_jobdesc *desc);
  void cancel (const std::string &id);
  void read (const std::string &id);
  int
  completed () const
  {
    return completed_;
  }
  int known_over (const std::string &id) const;

  // Backend of a node.
  void store_get (Node &node, const std::string &key, rst_store_done done,
                  void *data);
  void store_range (Node &node, const std::string &prefix,
                    const std::string &after, rst_store_done done, void *data);
  void store_watch (Node &node, const std::string &prefix, int64_t after,
                    Millis wait, rst_store_done done, void *data);
  void store_commit (Node &node, const rst_store_write *writes, int count,
                     rst_store_done done, void *data);
  void order (Node &node, int kind, const rst_instance_call &call,
              rst_instance_done done, void *data);
  void advise (Node &node, const char *const *ids, int count,
               rst_advice_done done, void *data);

  uint64_t connect (Node *from, const std::string &address);
  void close (uint64_t end, bool by_owner);
  void send (uint64_t end, const std::string &data);

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
  struct Call
  {
    std::string id;
    rst_operation operation;
    rst_jobdesc *desc;
    bool sent;
  };

  void at (Millis time, std::function<void ()> action);
  void breach (const std::string &text);
  int64_t running_cpu (const Worker &worker);
  uint64_t begin_call (Node &node, std::function<void ()> lost);
  bool end_call (Node &node, uint64_t life, uint64_t call);
  void store_answer (Node &node, rst_store_answer *answer, rst_store_done done,
                     void *data, Millis delay, bool lost);
  bool store_reached (const Node &node) const;
  void change (const std::string &key, const std::string *value);
  Worker *find_worker (const std::string &address);
  rst_instance_answer *apply (Worker &worker, const OrderCopy &copy);
  void apply_start (Worker &worker, const OrderCopy &copy,
                    rst_instance_answer *answer);
  void apply_stop (Worker &worker, const OrderCopy &copy);
  void answer_order (Node &node, Worker &worker, uint64_t life, uint64_t call,
                     rst_instance_done done, void *data, bool look);
  void check_start (Worker &worker, const std::string &task, int attempt);
  void note_ends (Worker &worker, int64_t last_seen);
  void end_run (Worker &worker, const std::string &task, int end_reason);
  double fail_chance (const std::string &task);
  void check_gang (const std::string &step, int count);
  void tick_worker (Worker &worker);
  void list (Worker &worker, rst_instance_answer *answer);
  Millis clock (const Worker &worker) const;
  void end_calls (Node &node);
  void open (uint64_t end, const std::string &address);
  void deliver (Node *node, uint64_t life, rst_net_event event, uint64_t end,
                const std::string &data);
  void entry_opened ();
  void entry_connect ();
  void entry_frame (const std::string &data);
  void entry_send (uint64_t number);
  void call (const std::string &id, rst_operation operation,
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
  bool entry_serving_ = false;
  int64_t entry_epoch_ = 0;
  std::map<uint64_t, Call> entry_calls_;
  uint64_t next_number_ = 1;
  std::set<std::string> shown_over_;
  int completed_ = 0;
  std::vector<rst_jobdesc *> descs_;
};

} // namespace cell

#endif
