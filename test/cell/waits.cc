// Checks how long ready tasks wait while there is room; see waits.h.
#include "waits.h"

#include <algorithm>

namespace cell
{

static const Millis sample_ms = 100;

// WAIT: a start follows within wait_ms of the state that check_job() tests, of
// a planner, an agent and an instance that have been in touch for detection_ms
// each.
//
// wait_ms is the span of LOST in RULES.md.  Before it, a change is detected by
// the slowest of these paths: an agent's long poll of an instance that has
// become reachable again hangs for 2,000 ms (POLL_WAIT_MAX_MS), its timeout
// adds 700 and the next poll 300 (POLL_RETRY_MS); an agent that is lost shows
// by the silence of its link after 1,250 ms, and another one is asked to hold
// the instance, again after 700 (HOLD_RETRY_MS) if the first time failed.  A
// successor counts only once it has read the journal, so that election and
// restore take no part.  Where a queue has advice, two round trips of 20 ms
// and the pause after a failed request (FAILED_REQUEST_PAUSE_MS) are added.
static const Millis wait_ms = 3000;
static const Millis detection_ms = 2000 + 700 + 300 + 700;
static const Millis advice_ms = 2 * 20 + 100;

// The longest time after which the lease of an instance is over by the
// planner's clock; docs/PLATFORM.md, "How long a lease may last".  A successor
// counts it from the start of its own term.
static const Millis lease_over_ms = 5000 + 6000 * 102 / 100 + 300;

static std::string
get_job_id (const std::string &task)
{
  return task.substr (0, task.find ('.'));
}

// An instance that crashed may have come back with quotes after its id.
static std::string
get_first_id (const std::string &id)
{
  return id.substr (0, id.find ('\''));
}

void
World::note_start_order (const std::string &task, const std::string &id)
{
  auto job = jobs.find (get_job_id (task));

  for (auto &instance : instances)
    if (job != jobs.end () && get_first_id (instance->id) == get_first_id (id))
      job->second.last_orders[task] = instance.get ();
}

void
World::note_start_orders (const std::string &data)
{
  msgpack_unpacked unpacked;
  rst_reader reader;

  rst_reader_open (&reader, &unpacked, data.data (), data.size ());
  if (rst_reader_read_int (&reader) == RST_MSG_START)
    {
      char step[RST_TASK_NAME_SIZE];
      char id[RST_ID_SIZE];

      rst_reader_copy_text (&reader, step, sizeof step);
      g_free (rst_reader_read_text (&reader));
      rst_reader rows = rst_reader_read_array (&reader);

      for (uint32_t i = 0; i < rows.count; i++)
        {
          rst_reader row = rst_reader_read_array (&rows);

          rst_reader_copy_text (&row, id, sizeof id);
          note_start_order (std::string (step) + "."
                                + std::to_string (rst_reader_read_int (&row)),
                            id);
        }
    }
  msgpack_unpacked_destroy (&unpacked);
}

void
WaitOracle::begin ()
{
  world_.run_after (sample_ms, [this] { sample (); });
}

void
WaitOracle::sample ()
{
  find_agents ();
  if (!is_calm ())
    calm_since_ = -1;
  else if (calm_since_ < 0)
    calm_since_ = world_.now ();
  running_jobs_.clear ();
  for (auto &instance : world_.instances)
    {
      update_instance (*instance);
      for (auto &run : instance->runs)
        running_jobs_.insert (get_job_id (run.first));
    }
  update_capacity ();
  update_away ();
  for (auto &entry : world_.jobs)
    check_job (entry.first, entry.second);
  begin ();
}

// Whether outside systems answer all calls in order.
bool
WaitOracle::is_calm () const
{
  const Faults &faults = world_.faults;

  return faults.lose_answer_probability == 0.0
         && faults.late_order_probability == 0.0
         && faults.lose_commit_probability == 0.0
         && faults.late_commit_probability == 0.0 && !faults.is_store_down
         && faults.watch_lag_ms == 0;
}

static bool
is_awake (const Node &node, Millis now)
{
  return node.cell_node != nullptr && !node.is_isolated
         && node.paused_until <= now && node.links_paused_until <= now
         && node.calls_paused_until <= now;
}

// Finds the planner that the store has confirmed and can confirm, and the
// nodes that can exchange messages with it.
void
WaitOracle::find_agents ()
{
  auto record_item = world_.store.find (RST_PLANNER_RECORD_KEY);
  rst_planner_record record = {};
  const Node *planner = nullptr;

  agents_.clear ();
  if (record_item != world_.store.end ())
    rst_planner_record_read (&record, record_item->second.value.data (),
                             record_item->second.value.size ());
  for (auto &node : world_.nodes)
    {
      const rst_planner *candidate
          = node->cell_node != nullptr
                ? rst_cell_node_get_planner (node->cell_node)
                : nullptr;

      if (candidate != nullptr
          && rst_planner_get_epoch (candidate) == record.epoch
          && rst_planner_is_ready (candidate)
          && is_awake (*node, world_.now ()) && world_.can_reach_store (*node))
        planner = node.get ();
    }
  if (planner != planner_ || record.epoch != planner_epoch_)
    planner_since_ = world_.now ();
  planner_ = planner;
  planner_epoch_ = record.epoch;
  for (auto &node : world_.nodes)
    if (is_in_touch (*node))
      agents_.push_back (node.get ());
}

bool
WaitOracle::is_in_touch (const Node &node) const
{
  Place from = Place{ &node, nullptr };
  Place to = Place{ planner_, nullptr };

  return planner_ != nullptr && is_awake (node, world_.now ())
         && (&node == planner_
             || (world_.get_blocked_until (from, to) == 0
                 && world_.get_blocked_until (to, from) == 0));
}

bool
WaitOracle::reaches (const Node &node, const Instance &instance) const
{
  Place from = Place{ &node, nullptr };
  Place to = Place{ nullptr, &instance };

  return world_.get_blocked_until (from, to) == 0
         && world_.get_blocked_until (to, from) == 0;
}

// Whether the agent that holds an instance reaches it; if that is not in touch
// any more, whether all others do, of which one is chosen.
bool
WaitOracle::is_reached (const Instance &instance,
                        const InstanceState &state) const
{
  if (!instance.is_up || instance.is_unreachable || agents_.empty ())
    return false;
  if (state.holder_is_in_touch)
    return reaches (*state.holder, instance);
  return std::all_of (agents_.begin (), agents_.end (),
                      [this, &instance] (const Node *agent) {
                        return reaches (*agent, instance);
                      });
}

// The jobs of which a task may have run on an instance when it crashed.
void
WaitOracle::note_suspects (const Instance &instance)
{
  for (auto &entry : world_.jobs)
    for (auto &order : entry.second.last_orders)
      if (order.second == &instance
          && entry.second.noted_tasks.count (order.first) == 0)
        suspects_.insert (entry.first);
}

void
WaitOracle::update_instance (const Instance &instance)
{
  InstanceState &state = instances_[&instance];
  auto entry = world_.store.find ("servers/" + instance.id);
  bool was_in_touch = state.holder_is_in_touch;
  bool has_changed = instance.restarts != state.restarts;

  if (has_changed)
    note_suspects (instance);
  state.restarts = instance.restarts;
  has_changed |= state.holder != nullptr && state.holder != instance.holder;
  state.holder = instance.holder;
  state.holder_is_in_touch
      = std::find (agents_.begin (), agents_.end (), state.holder)
        != agents_.end ();
  has_changed |= was_in_touch && !state.holder_is_in_touch;
  bool took_starts = state.takes_starts;

  state.takes_starts
      = entry != world_.store.end ()
        && entry->second.value
               == world_.format_entry (instance, instance.is_draining);
  has_changed |= state.takes_starts && !took_starts;
  if (!is_reached (instance, state))
    {
      if (state.away_since == 0)
        state.away_since = world_.now ();
      state.reached_since = -1;
      return;
    }
  state.away_since = 0;
  if (state.reached_since < 0 || has_changed)
    state.reached_since = world_.now ();
}

bool
WaitOracle::has_usable_room (const Instance &instance) const
{
  const InstanceState &state = instances_.at (&instance);

  return state.takes_starts && !instance.is_draining
         && state.reached_since >= 0
         && world_.now () - state.reached_since >= detection_ms;
}

void
WaitOracle::update_capacity ()
{
  cpu_in_use_ = 0;
  cpu_capacity_ = 0;
  for (auto &instance : world_.instances)
    {
      if (!instance->is_up)
        continue;
      cpu_in_use_ += world_.sum_running_cpu (*instance);
      if (has_usable_room (*instance))
        cpu_capacity_ += instance->cpu_milli;
    }
}

// Whether an instance that is away may run a task or still carry out its start
// order.  After it is back or its lease is over, the planner needs the time
// for a detection to learn it.
bool
WaitOracle::may_be_away (const Job &job, const std::string &task) const
{
  auto order = job.last_orders.find (task);

  if (order == job.last_orders.end ())
    return false;
  const InstanceState &state = instances_.at (order->second);

  if (state.reached_since >= 0)
    return world_.now () - state.reached_since < detection_ms;
  return world_.now () - std::max (state.away_since, planner_since_)
         < lease_over_ms + detection_ms;
}

// Sums what the tasks need that may run on instances that are away.
void
WaitOracle::update_away ()
{
  cpu_away_ = 0;
  if (world_.cpu_limit_ == 0)
    return;
  for (auto &entry : world_.jobs)
    for (auto &order : entry.second.last_orders)
      if (entry.second.done_tasks.count (order.first) == 0
          && order.second->runs.count (order.first) == 0
          && may_be_away (entry.second, order.first))
        cpu_away_ += world_.get_need (order.first).cpu;
}

// Whether there is room for a task, or a whole gang, twice over; with racks,
// in the rack of the step, or in any one.
bool
WaitOracle::has_room (const rst_step &step) const
{
  int64_t wanted = 2 * (step.gang ? step.count : 1);
  std::map<std::string, int64_t> slots;

  for (auto &instance : world_.instances)
    {
      int64_t free_cpu
          = instance->cpu_milli - world_.sum_running_cpu (*instance);
      int64_t free_memory = 4000 - 100 * (int64_t)instance->runs.size ();
      std::string rack = world_.has_racks ? world_.get_rack (*instance) : "";

      if (!has_usable_room (*instance)
          || (world_.has_racks && step.rack[0] != '\0' && rack != step.rack))
        continue;
      slots[rack]
          += std::max<int64_t> (0, std::min (free_cpu / step.need.cpu,
                                             free_memory / step.need.memory));
    }
  return std::any_of (
      slots.begin (), slots.end (),
      [wanted] (const auto &entry) { return entry.second >= wanted; });
}

// A run that an instance which is away may still have counts towards the
// limit, as QUOTA could be violated otherwise.
bool
WaitOracle::is_below_half_of_limit () const
{
  return world_.cpu_limit_ == 0
         || 2 * (cpu_in_use_ + cpu_away_) < world_.cpu_limit_;
}

// Whether the planner has noted the ends of all tasks that a step waits for.
bool
WaitOracle::is_turn (const Job &job, const std::string &occurrence,
                     const rst_step &step) const
{
  for (int i = 0; i < step.after_count; i++)
    for (int k = 0; k < job.desc->steps[step.after[i]].count; k++)
      if (job.noted_tasks.count (occurrence + "."
                                 + std::to_string (step.after[i]) + "."
                                 + std::to_string (k))
          == 0)
        return false;
  return true;
}

// Finds a task of a step that can start: of a gang only if all can.
bool
WaitOracle::check_step (const Job &job, const std::string &occurrence,
                        int index, ReadyTask *ready) const
{
  const rst_step &step = job.desc->steps[index];
  int startable = 0;

  if (!is_turn (job, occurrence, step))
    return false;
  for (int i = 0; i < step.count; i++)
    {
      std::string task = occurrence + "." + std::to_string (index) + "."
                         + std::to_string (i);

      if (job.done_tasks.count (task) > 0 || may_be_away (job, task))
        continue;
      startable++;
      ready->task = task;
    }
  ready->step = &step;
  return startable >= (step.gang ? step.count : 1);
}

// Finds a task whose turn has come, of the first occurrence that has any left.
bool
WaitOracle::find_ready_task (const std::string &id, const Job &job,
                             ReadyTask *ready) const
{
  int64_t occurrences = std::max<int64_t> (job.desc->repeats, 1);

  for (int64_t number = 0; number < occurrences; number++)
    {
      std::string occurrence = id + "." + std::to_string (number);
      bool has_left = false;

      if (job.desc->repeats > 0
          && world_.unix_now () < job.desc->start_at_ms
                                      + number * job.desc->period_ms
                                      + world_.get_early_ms ())
        return false;
      for (int i = 0; i < job.desc->step_count; i++)
        {
          if (check_step (job, occurrence, i, ready))
            return true;
          for (int k = 0; k < job.desc->steps[i].count; k++)
            has_left
                |= job.done_tasks.count (occurrence + "." + std::to_string (i)
                                         + "." + std::to_string (k))
                   == 0;
        }
      if (has_left)
        return false;
    }
  return false;
}

// A job that may have failed is excluded, since the planner may have ended it.
// So is one with a task that may be suspected of a crash: its trial waits for
// instances that other trials may take one after the other, and nothing bounds
// the number of those.  Its time is counted apart.
void
WaitOracle::check_job (const std::string &id, const Job &job)
{
  ReadyTask ready;
  Millis now = world_.now ();

  if (finished_.count (id) > 0)
    return;
  if (job.is_unwanted || job.may_fail || world_.is_reported_ended (id))
    {
      finished_.insert (id);
      return;
    }
  if (!job.is_accepted || running_jobs_.count (id) > 0 || planner_ == nullptr
      || now - planner_since_ < detection_ms || calm_since_ < 0
      || now - calm_since_ < detection_ms || 2 * cpu_in_use_ >= cpu_capacity_
      || !is_below_half_of_limit () || !find_ready_task (id, job, &ready)
      || !has_room (*ready.step))
    {
      waiting_since_.erase (id);
      return;
    }
  Millis waited = now - waiting_since_.emplace (id, now).first->second;

  if (suspects_.count (id) > 0)
    {
      longest_suspect_ms_ = std::max (longest_suspect_ms_, waited);
      return;
    }
  longest_ms_ = std::max (longest_ms_, waited);
  if (waited > wait_ms + (job.queue == "u" ? advice_ms : 0)
      && reported_.insert (id).second)
    world_.report_violation (
        "WAIT " + ready.task + " has waited for " + std::to_string (waited)
        + " ms with room; in use " + std::to_string (cpu_in_use_) + " of "
        + std::to_string (cpu_capacity_) + ", planner since "
        + std::to_string (planner_since_));
}

} // namespace cell
