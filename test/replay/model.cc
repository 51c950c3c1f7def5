#include "replay/model.h"

#include <algorithm>
#include <functional>
#include <set>

namespace replay
{

using harness::Planner;
using harness::Sent;

static const rst_ms network_delay_ms = 1;
static const rst_ms commit_ms = 8;
static const rst_ms time_step_ms = 2;
static const rst_ms poll_wait_ms = 2000;
static const rst_ms commit_retry_ms = 100;
// Number of times that a caller submits a job.
static const int attempts_max = 5;

namespace
{

// A job that was submitted.
struct Job
{
  const JobKind *kind;
  rst_ms submitted_at;
  rst_ms objective_ms;
  double core_seconds;
  bool is_gang;
  int tasks;
  std::vector<int64_t> run_ms;
  // Number of runs that have yet to complete; a gang counts as one.
  int remaining_ends;
  bool has_started = false;
  std::string customer;
  int attempts = 0;
  bool is_after_outage = false;
  // Rack of its data, and whether its tasks run faster in one rack.
  std::string data_rack;
  bool prefers_one_rack = false;
  // Racks in which tasks of it have started.
  std::set<std::string> racks;
  // The speed of the slowest member of a gang's last attempt.
  int gang_attempt = 0;
  double gang_speed = 1.0;
};

struct Run
{
  int attempt;
  rst_ms started_at;
  int64_t run_ms; // at the speed of its instance
};

struct Instance
{
  std::map<std::string, Run> runs;
  std::vector<rst_run> ends;
  int64_t next_end_number = 1;
  double speed = 1.0;
};

rst_planner_timing
make_timing (const Load &load, const Policy &policy)
{
  rst_planner_timing timing = harness::Planner::make_timing ();

  timing.latest_end_percent = load.latest_end_percent;
  timing.remote_penalty = load.remote_penalty;
  timing.ignores_speed = policy.ignores_speed;
  return timing;
}

// The simulation of one load under one policy.
class Model
{
public:
  Model (const Load &load, const Policy &policy)
      : load_ (load), random_ (load.seed),
        planner_ (make_timing (load, policy), 1)
  {
    rst_planner_set_policy (planner_.planner, policy.order, policy.fit);
    rst_planner_set_rack_policy (planner_.planner, policy.rack_policy);
    configure ();
    for (int i = 0; i < load.agents; i++)
      planner_.add_agent ((uint64_t)i + 1);
    for (int i = 0; i < load.instances; i++)
      register_instance (i);
    rst_planner_finish_restore (planner_.planner);
    for (int i = 0; i < load.instances; i++)
      holder_links_[format_instance_id (i)] = 1;
    handle_messages ();
    for (auto &holder : holder_links_)
      report_runs (holder.first);
    for (auto &holder : holder_links_)
      schedule_poll (holder.first);
    for (const JobKind &kind : load.kinds)
      schedule_arrivals (kind);
  }

  Result
  run ()
  {
    rst_ms end = start_ms + (rst_ms)(load_.seconds * 1000);

    while (now_ < end + drain_ms)
      {
        now_ += time_step_ms;
        planner_.is_confirmed = !is_outage (now_);
        planner_.set_time (now_);
        while (!events_.empty () && events_.top ().at <= now_)
          {
            auto action = events_.top ().action;

            events_.pop ();
            action ();
          }
        rst_planner_run (planner_.planner);
        handle_messages ();
        handle_commits ();
        sample_utilization (end);
      }
    rst_planner_stats stats;
    rst_planner_read_stats (planner_.planner, &stats);
    result_.rack_waits = stats.rack_waits;
    std::copy (std::begin (stats.rack_wait_ends),
               std::end (stats.rack_wait_ends), result_.rack_wait_ends);
    result_.cpu_utilization /= std::max (samples_, 1.0);
    result_.cpu_utilization_under_backlog /= std::max (backlog_samples_, 1.0);
    return result_;
  }

private:
  struct Event
  {
    rst_ms at;
    uint64_t sequence;
    std::function<void ()> action;
    // Inverted, since std::priority_queue puts the greatest element first.
    bool
    operator<(const Event &other) const
    {
      return at != other.at ? at > other.at : sequence > other.sequence;
    }
  };

  // Time after the last arrival in which jobs can still end.
  static const rst_ms drain_ms = 20000;
  static const rst_ms start_ms = 2000;

  void
  schedule (rst_ms time, std::function<void ()> action)
  {
    events_.push (Event{ time, next_sequence_++, std::move (action) });
  }

  static std::string
  format_instance_id (int index)
  {
    return "i-" + std::to_string (index);
  }

  // Returns the rack of an instance; "" if there are none.
  std::string
  find_rack (const std::string &id) const
  {
    if (load_.racks == 0)
      return "";
    return "r-"
           + std::to_string (std::stoi (id.substr (2)) * load_.racks
                             / load_.instances);
  }

  void
  configure ()
  {
    rst_cellconfig *config = rst_cellconfig_create ();

    config->version = 1;
    for (const JobKind &kind : load_.kinds)
      {
        auto *queue = g_new0 (rst_queue, 1);

        queue->name = g_strdup (kind.name.c_str ());
        queue->host = g_strdup ("h");
        queue->prefix = g_strdup (("/" + kind.name + "/").c_str ());
        queue->pool = g_strdup ("pool");
        queue->max_failures = 3;
        queue->priority = kind.priority;
        queue->slack_permille = (int64_t)(kind.slack_factor * 1000);
        queue->target_ms = kind.target_ms;
        queue->needs_approval = true;
        queue->advice_ms = kind.advice_ms;
        queue->advice_per_instance_us = kind.advice_per_instance_us;
        queue->advice_valid_ms = 2000;
        g_ptr_array_add (config->queues, queue);
      }
    for (int i = 0; i < load_.customers; i++)
      {
        auto *customer = g_new0 (rst_customer, 1);

        customer->name = g_strdup (("c" + std::to_string (i)).c_str ());
        customer->weight = 20;
        g_ptr_array_add (config->customers, customer);
        g_hash_table_insert (config->keys, g_strdup (customer->name),
                             customer);
      }
    rst_planner_configure (planner_.planner, config);
  }

  void
  register_instance (int index)
  {
    rst_instance_entry entry = {};

    g_strlcpy (entry.id, format_instance_id (index).c_str (), sizeof entry.id);
    g_strlcpy (entry.address, "10.0.0.1:80", sizeof entry.address);
    g_strlcpy (entry.zone, "a", sizeof entry.zone);
    g_strlcpy (entry.pool, "pool", sizeof entry.pool);
    g_strlcpy (entry.rack, find_rack (entry.id).c_str (), sizeof entry.rack);
    entry.capacity = { load_.instance_cpu_milli, load_.instance_memory_mb, 0 };
    // The one that the harness reports.
    entry.incarnation = 1;
    rst_planner_update_instance (planner_.planner, &entry);
    instances_[entry.id].speed = index < load_.slow_fraction * load_.instances
                                     ? load_.slow_speed
                                     : load_.usual_speed;
  }

  double
  compute_surge_factor (const std::vector<Surge> &surges,
                        const std::string &target, double time_s)
  {
    double product = 1.0;

    for (const Surge &surge : surges)
      if (surge.target == target && time_s >= surge.from_s
          && time_s < surge.to_s)
        product *= surge.rate_factor;
    return product;
  }

  void
  schedule_arrivals (const JobKind &kind)
  {
    double time_s = 0.0;

    while (true)
      {
        double rate
            = kind.rate_per_s
              * compute_surge_factor (load_.kind_surges, kind.name, time_s);

        time_s += std::exponential_distribution<> (rate) (random_);
        if (time_s >= load_.seconds)
          return;
        schedule (start_ms + (rst_ms)(time_s * 1000),
                  [this, &kind, time_s] { submit (kind, time_s); });
      }
  }

  int
  draw_customer (double time_s)
  {
    std::vector<double> weights;

    weights.reserve ((size_t)load_.customers);
    for (int i = 0; i < load_.customers; i++)
      weights.push_back (compute_surge_factor (load_.customer_surges,
                                               std::to_string (i), time_s));
    return std::discrete_distribution<> (weights.begin (),
                                         weights.end ()) (random_);
  }

  int
  draw_tasks (const JobKind &kind)
  {
    double shape;

    if (kind.tasks_spread <= 0.0)
      return 1 + std::poisson_distribution<> (kind.mean_tasks - 1) (random_);
    shape = 1.0 / (kind.tasks_spread * kind.tasks_spread);
    return std::clamp ((int)std::lround (std::gamma_distribution<> (
                           shape, kind.mean_tasks / shape) (random_)),
                       1, kind.mean_tasks * 6);
  }

  // Loads without racks draw nothing, so that they stay as they are.
  void
  draw_rack (const JobKind &kind, Job *job)
  {
    if (kind.near_fraction > 0.0
        && std::bernoulli_distribution (kind.near_fraction) (random_))
      job->data_rack = "r-"
                       + std::to_string (std::uniform_int_distribution<> (
                           0, kind.data_racks - 1) (random_));
    else if (kind.one_rack_fraction > 0.0)
      job->prefers_one_rack
          = std::bernoulli_distribution (kind.one_rack_fraction) (random_);
  }

  // Returns how long a run takes where it is.  A gang runs at the speed of its
  // slowest task.
  int64_t
  get_length_ms (const Job &job, const std::string &id, const Run &run) const
  {
    double speed = job.is_gang ? job.gang_speed : instances_.at (id).speed;
    bool inside = true;

    if (!job.data_rack.empty ())
      inside = job.is_gang
                   ? job.racks == std::set<std::string>{ job.data_rack }
                   : find_rack (id) == job.data_rack;
    else if (job.prefers_one_rack)
      inside = job.racks.size () == 1;
    return (int64_t)((double)run.run_ms / speed
                     * (inside ? 1.0 : std::max (load_.remote_penalty, 1.0)));
  }

  int64_t
  draw_run_time (double shape, double mean_ms)
  {
    return std::max<int64_t> (20, (int64_t)std::gamma_distribution<> (
                                      shape, mean_ms / shape) (random_));
  }

  void
  draw_run_times (const JobKind &kind, Job &job)
  {
    double shape = 4.0;
    auto mean_ms = (double)kind.mean_run_ms;

    if (load_.run_time_spread > 0.0)
      {
        shape = 1.0 / (load_.run_time_spread * load_.run_time_spread);
        mean_ms = (double)draw_run_time (shape, mean_ms);
      }
    job.run_ms.resize ((size_t)job.tasks);
    for (int64_t &run_ms : job.run_ms)
      run_ms = draw_run_time (shape, mean_ms);
    if (job.is_gang)
      std::fill (job.run_ms.begin (), job.run_ms.end (), job.run_ms[0]);
  }

  void
  draw_stragglers (Job &job)
  {
    int stragglers = 0;

    if (load_.straggler_fraction <= 0.0 || job.is_gang)
      return;
    for (int64_t &run_ms : job.run_ms)
      if (std::bernoulli_distribution (load_.straggler_fraction) (random_))
        {
          run_ms = (int64_t)((double)run_ms * load_.straggler_factor);
          stragglers++;
        }
    if (stragglers > 0)
      result_.kinds[job.kind->name].jobs_with_stragglers++;
  }

  void
  submit (const JobKind &kind, double time_s)
  {
    char id[17];
    Job job = {};
    double draw = std::uniform_real_distribution<> () (random_);
    std::string customer = "c" + std::to_string (draw_customer (time_s));

    g_snprintf (id, sizeof id, "%016x", ++next_job_);
    draw_rack (kind, &job);
    job.kind = &kind;
    job.submitted_at = now_;
    job.is_gang = draw < kind.gang_fraction;
    job.tasks = draw_tasks (kind);
    job.remaining_ends = job.is_gang ? 1 : job.tasks;
    draw_run_times (kind, job);
    for (int64_t run_ms : job.run_ms)
      job.core_seconds += (double)(run_ms * kind.cpu_milli) / 1e6;
    job.objective_ms = (rst_ms)(kind.slack_factor
                                * (double)*std::max_element (
                                    job.run_ms.begin (), job.run_ms.end ()))
                       + kind.target_ms;
    draw_stragglers (job);
    result_.kinds[kind.name].jobs++;
    result_.kinds[kind.name].core_seconds += job.core_seconds;
    job.customer = customer;
    job.is_after_outage = is_after_outage (now_);
    result_.kinds[kind.name].jobs_after_outage += job.is_after_outage ? 1 : 0;
    jobs_[id] = job;
    send_submission (next_job_);
  }

  void
  send_submission (unsigned number)
  {
    char id[17];

    g_snprintf (id, sizeof id, "%016x", number);
    Job &job = jobs_[id];
    const JobKind &kind = *job.kind;
    rst_jobdesc *desc
        = Planner::make_job (job.tasks, kind.cpu_milli, job.is_gang);

    job.attempts++;
    desc->steps[0].need.memory = kind.memory_mb;
    desc->steps[0].estimate_ms = kind.mean_run_ms;
    g_free (desc->steps[0].rack);
    desc->steps[0].rack = g_strdup (job.data_rack.c_str ());
    desc->steps[0].prefers_one_rack = job.prefers_one_rack;
    planner_.send_call (number, RST_OPERATION_SUBMIT, id, desc,
                        job.customer.c_str (),
                        ("/" + kind.name + "/").c_str ());
  }

  bool
  is_outage (rst_ms time) const
  {
    for (const Outage &outage : load_.outages)
      if (time >= start_ms + (rst_ms)(outage.from_s * 1000)
          && time < start_ms + (rst_ms)(outage.to_s * 1000))
        return true;
    return false;
  }

  // The first second after an outage is not counted.
  bool
  is_after_outage (rst_ms time) const
  {
    for (const Outage &outage : load_.outages)
      if (time >= start_ms + (rst_ms)((outage.to_s + 1.0) * 1000)
          && time < start_ms + (rst_ms)((outage.to_s + 4.0) * 1000))
        return true;
    return false;
  }

  // A caller submits a rejected job again after the time that it is told.
  void
  handle_replies ()
  {
    std::vector<harness::Reply> replies;

    replies.swap (planner_.replies);
    for (const harness::Reply &reply : replies)
      {
        unsigned number = (unsigned)reply.call;
        char id[17];

        g_snprintf (id, sizeof id, "%016x", number);
        Job &job = jobs_[id];
        KindResult &kind = result_.kinds[job.kind->name];

        if (reply.reply.outcome != RST_OUTCOME_REJECTED
            && reply.reply.outcome != RST_OUTCOME_OVERLOADED)
          continue;
        kind.jobs_rejected += job.attempts == 1 ? 1 : 0;
        if (!load_.callers_return || job.attempts == attempts_max)
          kind.jobs_never_accepted++;
        else
          schedule (now_ + 1000 * reply.reply.retry_s,
                    [this, number] { send_submission (number); });
      }
  }

  void
  handle_messages ()
  {
    std::vector<Sent> sent;

    sent.swap (planner_.sent);
    handle_replies ();
    for (const Sent &message : sent)
      {
        if (message.kind == RST_MSG_HOLD)
          holder_links_[message.id] = message.link;
        else if (message.kind == RST_MSG_START)
          schedule (now_ + network_delay_ms,
                    [this, message] { handle_start (message); });
        else if (message.kind == RST_MSG_STOP)
          schedule (now_ + network_delay_ms,
                    [this, message] { handle_stop (message); });
        else if (message.kind == RST_MSG_ACK)
          acknowledge_ends (message);
        else if (message.kind == RST_MSG_ADVISE)
          handle_advice_request (message);
      }
  }

  void
  handle_commits ()
  {
    if (planner_.commits.empty ())
      return;
    planner_.commits.clear ();
    schedule (now_ + commit_ms, [this] { finish_commit (); });
  }

  // The store refuses commits during an outage; they are sent again.
  void
  finish_commit ()
  {
    if (!is_outage (now_))
      {
        rst_planner_commit_done (planner_.planner);
        return;
      }
    rst_planner_set_commit_failed (planner_.planner, true);
    schedule (now_ + commit_retry_ms, [this] { finish_commit (); });
  }

  void
  handle_start (const Sent &message)
  {
    Job &job = jobs_[message.task.substr (0, 16)];
    int index = std::stoi (message.task.substr (message.task.rfind ('.') + 1));

    if (!job.has_started)
      result_.kinds[job.kind->name].first_start_delays_ms.push_back (
          now_ - job.submitted_at);
    job.has_started = true;
    job.racks.insert (find_rack (message.id));
    Instance &instance = instances_[message.id];
    Run &run = instance.runs[message.task];

    run = Run{ message.attempt, now_, job.run_ms[index] };
    if (message.attempt > job.gang_attempt)
      job.gang_speed = instance.speed;
    job.gang_attempt = std::max (job.gang_attempt, message.attempt);
    job.gang_speed = std::min (job.gang_speed, instance.speed);
    busy_cpu_ += job.kind->cpu_milli;
    planner_.answer_order (message.link, RST_MSG_STARTED, message.id,
                           message.task, message.attempt, RST_RESULT_OK);
    schedule (now_ + (rst_ms)((double)run.run_ms / instance.speed),
              [this, message] { finish_run (message); });
  }

  // Ends a run, or goes on if it takes longer where it is.
  void
  finish_run (const Sent &message)
  {
    auto found = instances_[message.id].runs.find (message.task);
    rst_ms ends_at;

    if (found == instances_[message.id].runs.end ()
        || found->second.attempt != message.attempt)
      return;
    ends_at = found->second.started_at
              + get_length_ms (jobs_[message.task.substr (0, 16)], message.id,
                               found->second);
    if (now_ < ends_at)
      schedule (ends_at, [this, message] { finish_run (message); });
    else
      end_run (message, RST_END_DONE);
  }

  void
  handle_stop (const Sent &message)
  {
    planner_.answer_order (message.link, RST_MSG_STOPPED, message.id,
                           message.task, message.attempt, RST_RESULT_OK);
    end_run (message, RST_END_STOPPED);
  }

  void
  end_run (const Sent &message, rst_end end_reason)
  {
    Instance &instance = instances_[message.id];
    Job &job = jobs_[message.task.substr (0, 16)];
    auto found = instance.runs.find (message.task);

    if (found == instance.runs.end ()
        || found->second.attempt != message.attempt)
      return;
    instance.runs.erase (found);
    busy_cpu_ -= job.kind->cpu_milli;
    instance.ends.push_back (
        Planner::make_ended_run (instance.next_end_number++, message.task,
                                 message.attempt, end_reason));
    report_runs (message.id);
    if (end_reason == RST_END_DONE && --job.remaining_ends == 0)
      record_job_end (job);
  }

  void
  record_job_end (const Job &job)
  {
    KindResult &kind = result_.kinds[job.kind->name];
    rst_ms took_ms = now_ - job.submitted_at;
    double value = took_ms <= job.objective_ms       ? 1.0
                   : took_ms <= 3 * job.objective_ms ? 0.2
                                                     : 0.0;

    kind.value += value;
    kind.value_after_outage += job.is_after_outage ? value : 0.0;
    kind.jobs_ended++;
    kind.job_ms += (double)(now_ - job.submitted_at);
    if (!job.data_rack.empty () || job.prefers_one_rack)
      {
        kind.racked_jobs_ended++;
        kind.racked_job_ms += (double)(now_ - job.submitted_at);
        kind.racked_jobs_inside
            += job.data_rack.empty ()
                   ? job.racks.size () == 1
                   : job.racks == std::set<std::string>{ job.data_rack };
      }
    if (took_ms > job.objective_ms)
      return;
    kind.jobs_on_time++;
    kind.core_seconds_on_time += job.core_seconds;
  }

  void
  report_runs (const std::string &id)
  {
    std::vector<rst_run> runs;

    for (auto &entry : instances_[id].runs)
      {
        const Run &run = entry.second;

        runs.push_back (Planner::make_running_run (entry.first, run.attempt));
        runs.back ().progress_percent
            = (int)((now_ - run.started_at) * 100
                    / get_length_ms (jobs_[entry.first.substr (0, 16)], id,
                                     run));
      }
    for (const rst_run &end : instances_[id].ends)
      runs.push_back (end);
    planner_.report (holder_links_[id], id, runs);
  }

  // A long poll of an agent returns after poll_wait_ms even if no run has
  // ended.
  void
  schedule_poll (const std::string &id)
  {
    schedule (now_ + poll_wait_ms, [this, id] {
      report_runs (id);
      schedule_poll (id);
    });
  }

  void
  acknowledge_ends (const Sent &message)
  {
    std::vector<rst_run> &ends = instances_[message.id].ends;

    while (!ends.empty () && ends.front ().end_number <= message.number)
      ends.erase (ends.begin ());
  }

  // Each agent makes one advice request at a time.
  void
  handle_advice_request (const Sent &message)
  {
    const JobKind &kind = *jobs_[message.id.substr (0, 16)].kind;
    rst_ms duration_ms
        = kind.advice_ms
          + (rst_ms)message.ids.size () * kind.advice_per_instance_us / 1000;
    rst_ms &free_at = advice_free_at_[message.link];
    std::vector<std::string> approved;

    free_at = std::max (free_at, now_) + duration_ms;
    result_.advice_requests++;
    result_.advice_seconds += (double)duration_ms / 1000.0;
    for (const std::string &id : message.ids)
      if (std::hash<std::string> () (message.id + id) % 1000
          < kind.approval_fraction * 1000)
        approved.push_back (id);
    schedule (free_at, [this, message, approved] {
      planner_.send_advice (message.link, message.number, approved);
    });
  }

  void
  sample_utilization (rst_ms end)
  {
    rst_planner_stats stats;
    double utilization
        = (double)busy_cpu_
          / (double)(load_.instance_cpu_milli * load_.instances);

    if (now_ < start_ms + 5000 || now_ > end || now_ % 50 != 0)
      return;
    result_.cpu_utilization += utilization;
    samples_++;
    rst_planner_read_stats (planner_.planner, &stats);
    if (stats.waiting_steps < 10)
      return;
    result_.cpu_utilization_under_backlog += utilization;
    backlog_samples_++;
  }

  const Load &load_;
  std::mt19937 random_;
  Planner planner_;
  Result result_;
  rst_ms now_ = start_ms;
  uint64_t next_sequence_ = 0;
  unsigned next_job_ = 0;
  int64_t busy_cpu_ = 0;
  double samples_ = 0;
  double backlog_samples_ = 0;
  std::priority_queue<Event> events_;
  std::map<std::string, Job> jobs_;
  std::map<std::string, Instance> instances_;
  // Link of the agent that holds each instance.
  std::map<std::string, uint64_t> holder_links_;
  // Time at which the last advice request of each agent, by link, ends.
  std::map<uint64_t, rst_ms> advice_free_at_;
};

} // namespace

Result
run_load (const Load &load, const Policy &policy)
{
  return Model (load, policy).run ();
}

} // namespace replay
