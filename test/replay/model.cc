#include "replay/model.h"

#include <algorithm>
#include <fstream>
#include <functional>
#include <sstream>

namespace replay
{

using harness::Planner;
using harness::Sent;

static const rst_ms travel_ms = 1;
static const rst_ms store_ms = 8;
static const rst_ms step_ms = 2;
static const rst_ms look_ms = 2000;

std::string
read_load (const char *path, Load *out)
{
  std::ifstream file (path);
  std::string line;
  int number = 0;

  if (!file)
    return std::string (path) + ": can't be read";
  while (std::getline (file, line))
    {
      std::istringstream words (line);
      std::string word;

      number++;
      if (!(words >> word) || word[0] == '#')
        continue;
      if (word == "seed")
        words >> out->seed;
      else if (word == "seconds")
        words >> out->seconds;
      else if (word == "instances")
        words >> out->instances >> out->cpu >> out->memory;
      else if (word == "links")
        words >> out->links;
      else if (word == "customers")
        words >> out->customers;
      else if (word == "kind")
        {
          Kind kind;

          words >> kind.name >> kind.rate >> kind.tasks >> kind.cpu
              >> kind.memory >> kind.ms >> kind.priority >> kind.slack
              >> kind.target_ms >> kind.gang >> kind.approval >> kind.advice_ms
              >> kind.advice_per_instance_us;
          out->kinds.push_back (kind);
        }
      else if (word == "burst" || word == "hot")
        {
          Surge surge;

          words >> surge.what >> surge.factor >> surge.from_s >> surge.to_s;
          (word == "burst" ? out->bursts : out->hot).push_back (surge);
        }
      else
        words.setstate (std::ios::failbit);
      if (words.fail ())
        return std::string (path) + ": line " + std::to_string (number) + ": "
               + word;
    }
  return "";
}

rst_ms
percentile (std::vector<rst_ms> values, double share)
{
  if (values.empty ())
    return 0;
  std::sort (values.begin (), values.end ());
  return values[std::min (values.size () - 1,
                          (size_t)(share * (double)values.size ()))];
}

namespace
{

struct Job
{
  const Kind *kind;
  rst_ms at;
  rst_ms objective;
  double work;
  bool gang;
  int tasks;
  std::vector<int64_t> ms;
  int left;
  bool started = false;
};

struct Run
{
  int attempt;
  rst_ms started_at;
  int64_t ms;
};

struct Instance
{
  std::map<std::string, Run> runs;
  std::vector<rst_run> ends;
  int64_t next_end = 1;
};

class Model
{
public:
  Model (const Load &load, const Policy &policy)
      : load_ (load), random_ (load.seed)
  {
    rst_planner_set_policy (cell_.planner, policy.order, policy.fit);
    configure ();
    for (int i = 0; i < load.links; i++)
      cell_.add_agent ((uint64_t)i + 1);
    for (int i = 0; i < load.instances; i++)
      enter (i);
    rst_planner_finish_restore (cell_.planner);
    for (int i = 0; i < load.instances; i++)
      holders_[id_of (i)] = 1;
    take_sent ();
    for (auto &holder : holders_)
      report (holder.first);
    for (auto &holder : holders_)
      look_later (holder.first);
    for (const Kind &kind : load.kinds)
      plan_arrivals (kind);
  }

  Result
  run ()
  {
    rst_ms end = start_ + (rst_ms)(load_.seconds * 1000);

    while (now_ < end + drain_ms)
      {
        now_ += step_ms;
        cell_.set_time (now_);
        while (!events_.empty () && events_.top ().at <= now_)
          {
            auto what = events_.top ().what;

            events_.pop ();
            what ();
          }
        rst_planner_run (cell_.planner);
        take_sent ();
        take_commits ();
        measure (end);
      }
    result_.in_use /= std::max (samples_, 1.0);
    result_.in_use_while_full /= std::max (full_samples_, 1.0);
    return result_;
  }

private:
  struct Event
  {
    rst_ms at;
    uint64_t order;
    std::function<void ()> what;
    bool
    operator<(const Event &other) const
    {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  static const rst_ms drain_ms = 20000;
  static const rst_ms start_ = 2000;

  void
  at (rst_ms when, std::function<void ()> what)
  {
    events_.push (Event{ when, order_++, std::move (what) });
  }

  static std::string
  id_of (int index)
  {
    return "i-" + std::to_string (index);
  }

  void
  configure ()
  {
    rst_cellconfig *config = rst_cellconfig_create ();

    config->version = 1;
    for (const Kind &kind : load_.kinds)
      {
        auto *queue = g_new0 (rst_queue, 1);

        queue->name = g_strdup (kind.name.c_str ());
        queue->host = g_strdup ("h");
        queue->prefix = g_strdup (("/" + kind.name + "/").c_str ());
        queue->pool = g_strdup ("pool");
        queue->max_failures = 3;
        queue->priority = kind.priority;
        queue->slack_permille = (int64_t)(kind.slack * 1000);
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
    rst_planner_configure (cell_.planner, config);
  }

  void
  enter (int index)
  {
    rst_instance_entry entry = {};

    g_strlcpy (entry.id, id_of (index).c_str (), sizeof entry.id);
    g_strlcpy (entry.address, "10.0.0.1:80", sizeof entry.address);
    g_strlcpy (entry.zone, "a", sizeof entry.zone);
    g_strlcpy (entry.pool, "pool", sizeof entry.pool);
    entry.capacity = { load_.cpu, load_.memory, 0 };
    rst_planner_update_instance (cell_.planner, &entry);
  }

  double
  factor (const std::vector<Surge> &surges, const std::string &what, double s)
  {
    double product = 1.0;

    for (const Surge &surge : surges)
      if (surge.what == what && s >= surge.from_s && s < surge.to_s)
        product *= surge.factor;
    return product;
  }

  void
  plan_arrivals (const Kind &kind)
  {
    double s = 0.0;

    while (true)
      {
        double rate = kind.rate * factor (load_.bursts, kind.name, s);

        s += std::exponential_distribution<> (rate) (random_);
        if (s >= load_.seconds)
          return;
        at (start_ + (rst_ms)(s * 1000),
            [this, &kind, s] { submit (kind, s); });
      }
  }

  int
  draw_customer (double s)
  {
    std::vector<double> weights;

    for (int i = 0; i < load_.customers; i++)
      weights.push_back (factor (load_.hot, std::to_string (i), s));
    return std::discrete_distribution<> (weights.begin (),
                                         weights.end ()) (random_);
  }

  void
  submit (const Kind &kind, double s)
  {
    char id[17];
    Job job = {};
    double unit = std::uniform_real_distribution<> () (random_);
    std::string customer = "c" + std::to_string (draw_customer (s));

    g_snprintf (id, sizeof id, "%016x", ++next_job_);
    job.kind = &kind;
    job.at = now_;
    job.gang = unit < kind.gang;
    job.tasks = 1 + std::poisson_distribution<> (kind.tasks - 1) (random_);
    job.left = job.gang ? 1 : job.tasks;
    for (int i = 0; i < job.tasks; i++)
      job.ms.push_back (
          std::max<int64_t> (20, (int64_t)std::gamma_distribution<> (
                                     4.0, (double)kind.ms / 4.0) (random_)));
    if (job.gang)
      std::fill (job.ms.begin (), job.ms.end (), job.ms[0]);
    for (int64_t ms : job.ms)
      job.work += (double)(ms * kind.cpu) / 1e6;
    job.objective = (rst_ms)(kind.slack
                             * (double)*std::max_element (job.ms.begin (),
                                                          job.ms.end ()))
                    + kind.target_ms;
    result_.kinds[kind.name].jobs++;
    result_.kinds[kind.name].work += job.work;
    rst_jobdesc *desc = Planner::make_job (job.tasks, kind.cpu, job.gang);

    desc->steps[0].need.memory = kind.memory;
    desc->steps[0].estimate_ms = kind.ms;
    jobs_[id] = job;
    cell_.send_call (next_job_, RST_OPERATION_SUBMIT, id, desc,
                     customer.c_str (), ("/" + kind.name + "/").c_str ());
  }

  void
  take_sent ()
  {
    std::vector<Sent> sent;

    sent.swap (cell_.sent);
    cell_.replies.clear ();
    for (const Sent &message : sent)
      {
        if (message.kind == RST_MSG_HOLD)
          holders_[message.id] = message.link;
        else if (message.kind == RST_MSG_START)
          at (now_ + travel_ms, [this, message] { start (message); });
        else if (message.kind == RST_MSG_STOP)
          at (now_ + travel_ms, [this, message] { stop (message); });
        else if (message.kind == RST_MSG_ACK)
          forget (message);
        else if (message.kind == RST_MSG_ADVISE)
          advise (message);
      }
  }

  void
  take_commits ()
  {
    if (cell_.commits.empty ())
      return;
    cell_.commits.clear ();
    at (now_ + store_ms, [this] { rst_planner_commit_done (cell_.planner); });
  }

  void
  start (const Sent &message)
  {
    Job &job = jobs_[message.task.substr (0, 16)];
    int index = std::stoi (message.task.substr (message.task.rfind ('.') + 1));

    if (!job.started)
      result_.kinds[job.kind->name].first_start.push_back (now_ - job.at);
    job.started = true;
    instances_[message.id].runs[message.task]
        = Run{ message.attempt, now_, job.ms[index] };
    busy_cpu_ += job.kind->cpu;
    cell_.answer_order (message.link, RST_MSG_STARTED, message.id,
                        message.task, message.attempt, RST_RESULT_OK);
    at (now_ + job.ms[index],
        [this, message] { end (message, RST_END_DONE); });
  }

  void
  stop (const Sent &message)
  {
    cell_.answer_order (message.link, RST_MSG_STOPPED, message.id,
                        message.task, message.attempt, RST_RESULT_OK);
    end (message, RST_END_STOPPED);
  }

  void
  end (const Sent &message, rst_end end_reason)
  {
    Instance &instance = instances_[message.id];
    Job &job = jobs_[message.task.substr (0, 16)];
    auto found = instance.runs.find (message.task);

    if (found == instance.runs.end ()
        || found->second.attempt != message.attempt)
      return;
    instance.runs.erase (found);
    busy_cpu_ -= job.kind->cpu;
    instance.ends.push_back (Planner::make_ended_run (
        instance.next_end++, message.task, message.attempt, end_reason));
    report (message.id);
    if (end_reason == RST_END_DONE && --job.left == 0)
      finish (job);
  }

  void
  finish (const Job &job)
  {
    KindResult &kind = result_.kinds[job.kind->name];

    if (now_ - job.at > job.objective)
      return;
    kind.on_time++;
    kind.work_on_time += job.work;
  }

  void
  report (const std::string &id)
  {
    std::vector<rst_run> runs;

    for (auto &entry : instances_[id].runs)
      {
        const Run &run = entry.second;

        runs.push_back (Planner::make_running_run (entry.first, run.attempt));
        runs.back ().progress_percent
            = (int)((now_ - run.started_at) * 100 / run.ms);
      }
    for (const rst_run &end : instances_[id].ends)
      runs.push_back (end);
    cell_.report (holders_[id], id, runs);
  }

  // An agent's look also returns when nothing has ended for a while.
  void
  look_later (const std::string &id)
  {
    at (now_ + look_ms, [this, id] {
      report (id);
      look_later (id);
    });
  }

  void
  forget (const Sent &message)
  {
    std::vector<rst_run> &ends = instances_[message.id].ends;

    while (!ends.empty () && ends.front ().end_number <= message.number)
      ends.erase (ends.begin ());
  }

  // One call at a time for each link.
  void
  advise (const Sent &message)
  {
    const Kind &kind = *jobs_[message.id.substr (0, 16)].kind;
    rst_ms cost
        = kind.advice_ms
          + (rst_ms)message.ids.size () * kind.advice_per_instance_us / 1000;
    rst_ms &free_at = advice_free_[message.link];
    std::vector<std::string> approved;

    free_at = std::max (free_at, now_) + cost;
    result_.advice_calls++;
    result_.advice_seconds += (double)cost / 1000.0;
    for (const std::string &id : message.ids)
      if (std::hash<std::string> () (message.id + id) % 1000
          < kind.approval * 1000)
        approved.push_back (id);
    at (free_at, [this, message, approved] {
      cell_.send_advice (message.link, message.number, approved);
    });
  }

  void
  measure (rst_ms end)
  {
    rst_planner_stats stats;
    double share = (double)busy_cpu_ / (double)(load_.cpu * load_.instances);

    if (now_ < start_ + 5000 || now_ > end || now_ % 50 != 0)
      return;
    result_.in_use += share;
    samples_++;
    rst_planner_read_stats (cell_.planner, &stats);
    if (stats.waiting_steps < 10)
      return;
    result_.in_use_while_full += share;
    full_samples_++;
  }

  const Load &load_;
  std::mt19937 random_;
  Planner cell_;
  Result result_;
  rst_ms now_ = start_;
  uint64_t order_ = 0;
  unsigned next_job_ = 0;
  int64_t busy_cpu_ = 0;
  double samples_ = 0;
  double full_samples_ = 0;
  std::priority_queue<Event> events_;
  std::map<std::string, Job> jobs_;
  std::map<std::string, Instance> instances_;
  std::map<std::string, uint64_t> holders_;
  std::map<uint64_t, rst_ms> advice_free_;
};

} // namespace

Result
run (const Load &load, const Policy &policy)
{
  return Model (load, policy).run ();
}

} // namespace replay
