// Oracle of cell-fuzz for ready tasks that wait although there is room.
#ifndef RST_TEST_CELL_WAITS_H
#define RST_TEST_CELL_WAITS_H

#include "world.h"

namespace cell
{

// Checks the property WAIT while the world runs: a task whose turn has come,
// for which there is room and which can't run on an instance that is away,
// starts within a bound; see waits.cc.  It draws no random numbers and changes
// nothing in the world, so the course of a seed does not depend on it.
class WaitOracle
{
public:
  explicit WaitOracle (World &world) : world_ (world) {}
  // Samples the world from now on, for as long as it runs.
  void begin ();
  // The longest time for which a job was in the state that WAIT limits, and
  // the same for jobs with a task that may be suspected of a crash, which WAIT
  // excludes.
  Millis
  get_longest_ms () const
  {
    return longest_ms_;
  }
  Millis
  get_longest_suspect_ms () const
  {
    return longest_suspect_ms_;
  }

private:
  // What is known of an instance since its last change.
  struct InstanceState
  {
    // Since when agents in touch have reached it; -1 while they don't.
    Millis reached_since = -1;
    // Since when they have not; 0 while they do.
    Millis away_since = 0;
    int restarts = 0;
    const Node *holder = nullptr;
    bool holder_is_in_touch = false;
    // Whether its entry is current, and it takes starts.
    bool takes_starts = false;
  };
  // A task that a job could start.
  struct ReadyTask
  {
    const rst_step *step = nullptr;
    std::string step_name;
    std::string task;
  };

  void sample ();
  void find_agents ();
  bool is_in_touch (const Node &node) const;
  bool reaches (const Node &node, const Instance &instance) const;
  bool is_reached (const Instance &instance, const InstanceState &state) const;
  void update_instance (const Instance &instance);
  void update_capacity ();
  void update_away ();
  bool has_usable_room (const Instance &instance) const;
  bool is_calm () const;
  void note_suspects (const Instance &instance);
  bool may_be_away (const Job &job, const std::string &task) const;
  bool has_room (const rst_step &step) const;
  bool is_below_half_of_limit () const;
  bool is_turn (const Job &job, const std::string &occurrence,
                const rst_step &step) const;
  bool find_ready_task (const std::string &id, const Job &job,
                        ReadyTask *ready) const;
  bool check_step (const Job &job, const std::string &occurrence, int index,
                   ReadyTask *ready) const;
  void check_job (const std::string &id, const Job &job);

  World &world_;
  // The node of the planner in touch, since when, and its epoch.
  const Node *planner_ = nullptr;
  int64_t planner_epoch_ = 0;
  Millis planner_since_ = 0;
  // Since when the store and the calls have shown no faults; -1 while they do.
  Millis calm_since_ = -1;
  std::vector<const Node *> agents_;
  std::map<const Instance *, InstanceState> instances_;
  int64_t cpu_in_use_ = 0;
  int64_t cpu_away_ = 0;
  int64_t cpu_capacity_ = 0;
  std::set<std::string> running_jobs_;
  // Since when each job has been in the state that WAIT limits.
  std::map<std::string, Millis> waiting_since_;
  std::set<std::string> suspects_;
  std::set<std::string> reported_;
  std::set<std::string> finished_;
  Millis longest_ms_ = 0;
  Millis longest_suspect_ms_ = 0;
};

} // namespace cell

#endif
