// Instances of the world and the oracle over what they run; see world.h.
#include "world.h"

#include <algorithm>
#include <cstring>

namespace cell
{

static const Millis lease_max = 6000;
static const Millis gang_timeout = 3000;
static const Millis worker_tick = 20;
static const int room_cpu = 4000;

static std::string
step_of (const std::string &task)
{
  return task.substr (0, task.rfind ('.'));
}

static std::string
job_of (const std::string &task)
{
  return task.substr (0, task.find ('.'));
}

static int
step_number (const std::string &task)
{
  std::string step = step_of (task);

  return std::stoi (step.substr (step.rfind ('.') + 1));
}

// The instance's steady clock; it runs 2 % slow.
Millis
World::clock (const Worker &worker) const
{
  return worker.clock_skew + (now () - worker.incarnation) * 98 / 100;
}

Worker *
World::find_worker (const std::string &address)
{
  for (auto &worker : workers)
    if (worker->address == address)
      return worker.get ();
  return nullptr;
}

static void
add_run (rst_instance_answer *answer, int64_t number, const std::string &task,
         int attempt, int end_reason)
{
  rst_run run = {};

  run.end_number = number;
  g_strlcpy (run.task, task.c_str (), sizeof run.task);
  run.attempt = attempt;
  run.end_reason = end_reason;
  g_array_append_val (answer->runs, run);
}

void
World::list (Worker &worker, rst_instance_answer *answer)
{
  answer->clock_ms = clock (worker);
  answer->incarnation = worker.incarnation;
  for (auto &entry : worker.runs)
    add_run (answer, 0, entry.first, entry.second.attempt, 0);
  for (auto &end : worker.ends)
    add_run (answer, end.number, end.task, end.attempt, end.end_reason);
}

// An end is noted when the caller lets the instance forget it.
void
World::note_ends (Worker &worker, int64_t last_seen)
{
  while (!worker.ends.empty () && worker.ends.front ().number <= last_seen)
    {
      const End &end = worker.ends.front ();
      Job &job = jobs[job_of (end.task)];

      if (end.end_reason == RST_END_DONE)
        job.noted.insert (end.task);
      if (end.end_reason == RST_END_FAILED)
        job.failed[end.task]++;
      worker.ends.erase (worker.ends.begin ());
    }
}

int64_t
World::running_cpu (const Worker &worker)
{
  int64_t cpu = 0;

  for (auto &entry : worker.runs)
    cpu += jobs[job_of (entry.first)]
               .desc->steps[step_number (entry.first)]
               .need.cpu;
  return cpu;
}

void
World::check_start (Worker &worker, const std::string &task, int attempt)
{
  auto found = jobs.find (job_of (task));
  int64_t cpu = running_cpu (worker);
  int64_t all = 0;

  if (found == jobs.end ())
    {
      breach ("UNASKED " + task);
      return;
    }
  Job &job = found->second;
  const rst_step &step = job.desc->steps[step_number (task)];

  for (auto &other : workers)
    if (other->up && other->runs.count (task) > 0)
      breach ("TWICE " + task + " runs on " + other->id + " and " + worker.id);
  if (job.noted.count (task) > 0)
    breach ("TWICE " + task + " starts after its end was noted");
  if (job.failed[task] >= 3)
    breach ("BUDGET " + task + " starts after three failed runs");
  if (job.cancelled_at > 0 && now () > job.cancelled_at + 3000)
    breach ("UNASKED " + task + " starts after its job was cancelled");
  for (int i = 0; i < step.after_count; i++)
    for (int k = 0; k < job.desc->steps[step.after[i]].count; k++)
      if (job.done.count (job_of (task) + ".0."
                          + std::to_string (step.after[i]) + "."
                          + std::to_string (k))
          == 0)
        breach ("ORDER " + task);
  if (cpu + step.need.cpu > room_cpu)
    breach ("LIMIT " + worker.id + " at " + std::to_string (cpu));
  // A tenth and one task beyond the limit are allowed.
  for (auto &other : workers)
    all += other->up ? running_cpu (*other) : 0;
  if (cpu_limit_ > 0 && all > cpu_limit_ + cpu_limit_ / 10)
    breach ("QUOTA " + std::to_string (all));
  (void)attempt;
}

// Jobs whose text says so fail nearly always.
double
World::fail_chance (const std::string &task)
{
  const rst_jobdesc *desc = jobs[job_of (task)].desc;

  return std::string (desc->spec) == "fail" ? 0.9 : faults.fail_run;
}

void
World::check_gang (const std::string &step, int count)
{
  std::vector<Run *> members;

  for (auto &worker : workers)
    for (auto &entry : worker->runs)
      if (step_of (entry.first) == step && !entry.second.stopping)
        members.push_back (&entry.second);
  if ((int)members.size () < count)
    return;
  Millis ends_at = now () + 300 + below (1500);
  bool fails = chance () < fail_chance (step + ".0");

  for (Run *run : members)
    {
      run->alone_at = 0;
      run->ends_at = ends_at;
      run->fails = fails && run == members[0];
    }
}

void
World::apply_start (Worker &worker, const OrderCopy &copy,
                    rst_instance_answer *answer)
{
  auto running = worker.runs.find (copy.task);

  if (running != worker.runs.end () && running->second.attempt == copy.attempt)
    return;
  if (running != worker.runs.end ()
      || copy.attempt <= worker.highest[copy.task])
    {
      answer->result = RST_RESULT_STALE_ATTEMPT;
      return;
    }
  if (worker.lease <= clock (worker))
    {
      answer->result = RST_RESULT_LEASE_EXPIRED;
      return;
    }
  check_start (worker, copy.task, copy.attempt);
  if (jobs.count (job_of (copy.task)) == 0)
    return;
  const rst_step &step
      = jobs[job_of (copy.task)].desc->steps[step_number (copy.task)];
  Run run;

  run.task = copy.task;
  run.attempt = copy.attempt;
  run.ends_at = now () + step.estimate_ms / 2 + below ((int)step.estimate_ms);
  run.fails = chance () < fail_chance (copy.task);
  if (step.gang)
    {
      run.count = step.count;
      run.ends_at = INT64_MAX;
      run.alone_at = now () + gang_timeout;
    }
  worker.runs[copy.task] = run;
  if (step.gang)
    check_gang (step_of (copy.task), step.count);
}

void
World::apply_stop (Worker &worker, const OrderCopy &copy)
{
  auto running = worker.runs.find (copy.task);
  int &highest = worker.highest[copy.task];

  highest = std::max (highest, copy.attempt);
  if (running == worker.runs.end () || running->second.attempt > copy.attempt)
    return;
  running->second.stopping = true;
  running->second.alone_at = 0;
  running->second.ends_at = now () + below (150);
}

rst_instance_answer *
World::apply (Worker &worker, const OrderCopy &copy)
{
  rst_instance_answer *answer = rst_instance_answer_new ();

  answer->clock_ms = clock (worker);
  answer->incarnation = worker.incarnation;
  if (copy.fence < worker.fence)
    {
      answer->result = RST_RESULT_FENCED;
      return answer;
    }
  worker.fence = copy.fence;
  if (copy.deadline > 0)
    worker.lease = std::max (
        worker.lease, std::min (copy.deadline, clock (worker) + lease_max));
  if (copy.kind == 0)
    note_ends (worker, copy.last_seen);
  else if (copy.kind == 1)
    apply_start (worker, copy, answer);
  else
    apply_stop (worker, copy);
  return answer;
}

void
World::end_run (Worker &worker, const std::string &task, int end_reason)
{
  Run run = worker.runs[task];
  Job &job = jobs[job_of (task)];
  const rst_step &step = job.desc->steps[step_number (task)];

  worker.runs.erase (task);
  worker.highest[task] = std::max (worker.highest[task], run.attempt);
  worker.ends.push_back (
      End{ worker.next_end++, task, run.attempt, end_reason });
  if (end_reason == RST_END_DONE)
    {
      job.done.insert (task);
      for (int i = 0; step.gang && i < step.count; i++)
        job.done.insert (step_of (task) + "." + std::to_string (i));
    }
  // A gang has one count.
  if (end_reason == RST_END_FAILED)
    job.over |= ++job.ended_failed[step.gang ? step_of (task) : task] >= 3;
  if (end_reason == RST_END_DONE || run.count == 0)
    return;
  for (auto &other : workers)
    for (auto &entry : other->runs)
      if (step_of (entry.first) == step_of (task) && !entry.second.stopping)
        {
          entry.second.stopping = true;
          entry.second.alone_at = -1;
          entry.second.ends_at = now () + worker_tick;
        }
}

void
World::tick_worker (Worker &worker)
{
  bool ended = false;

  at (now () + worker_tick, [this, &worker] { tick_worker (worker); });
  if (!worker.up)
    return;
  std::vector<std::string> names;

  for (auto &entry : worker.runs)
    names.push_back (entry.first);
  for (auto &name : names)
    {
      if (worker.runs.count (name) == 0)
        continue;
      Run run = worker.runs[name];
      int end_reason = -1;

      if (worker.lease <= clock (worker))
        end_reason = RST_END_LEASE_EXPIRED;
      else if (run.alone_at > 0 && now () >= run.alone_at)
        end_reason = RST_END_GANG_INCOMPLETE;
      else if (now () >= run.ends_at && run.alone_at < 0)
        end_reason = RST_END_GANG_BROKEN;
      else if (now () >= run.ends_at && run.stopping)
        end_reason = RST_END_STOPPED;
      else if (now () >= run.ends_at)
        end_reason = run.fails ? RST_END_FAILED : RST_END_DONE;
      if (end_reason < 0)
        continue;
      end_run (worker, name, end_reason);
      ended = true;
    }
  if (!ended)
    return;
  auto waiting = std::move (worker.waiting);

  worker.waiting.clear ();
  for (auto &wake : waiting)
    wake ();
}

void
World::crash_worker (Worker &worker, Millis down_ms)
{
  worker.up = false;
  worker.runs.clear ();
  worker.ends.clear ();
  at (now () + down_ms, [this, &worker] {
    worker.up = true;
    worker.incarnation = now ();
    worker.lives++;
    worker.fence = 0;
    worker.next_end = 1;
    worker.lease = 0;
    worker.highest.clear ();
    register_worker (worker);
  });
}

void
World::answer_order (Node &node, Worker &worker, uint64_t life, uint64_t call,
                     rst_instance_done done, void *data, bool look)
{
  rst_instance_answer *answer = rst_instance_answer_new ();

  if (look)
    list (worker, answer);
  at (now () + 1, [=, this, &node] {
    if (end_call (node, life, call))
      {
        done (answer, data);
        tick (node);
      }
    else
      rst_instance_answer_free (answer);
  });
}

void
World::order (Node &node, int kind, const rst_instance_call &call,
              rst_instance_done done, void *data)
{
  Worker *worker = find_worker (call.address);
  OrderCopy copy;
  uint64_t life = node.life;
  uint64_t number = begin_call (node, [done, data] {
    rst_instance_answer *none = rst_instance_answer_new ();

    none->result = RST_RESULT_UNKNOWN;
    done (none, data);
  });
  auto lose = [=, this, &node] (Millis delay, rst_result result) {
    at (now () + delay, [=, this, &node] {
      rst_instance_answer *none = rst_instance_answer_new ();

      none->result = result;
      if (end_call (node, life, number))
        {
          done (none, data);
          tick (node);
        }
      else
        rst_instance_answer_free (none);
    });
  };

  copy.kind = kind;
  copy.task = call.task != nullptr ? call.task : "";
  copy.attempt = call.attempt;
  copy.fence = call.fence;
  copy.deadline = call.deadline_ms;
  copy.last_seen = call.last_seen;
  if (worker == nullptr || !worker->up)
    {
      lose (1, RST_RESULT_NOT_SENT);
      return;
    }
  if (worker->cut || node.cut)
    {
      lose (700, RST_RESULT_UNKNOWN);
      return;
    }
  copy.incarnation = worker->incarnation;
  copy.life = worker->lives;
  if (chance () < faults.late_order)
    {
      // The next life under the same id may take it for its own.
      at (now () + 2000 + below (10000), [this, worker, copy] {
        if (worker->up
            && worker->lives - copy.life <= (orders_outlive ? 1 : 0))
          rst_instance_answer_free (apply (*worker, copy));
      });
      lose (700, RST_RESULT_UNKNOWN);
      return;
    }
  Millis wait = call.wait_ms;

  at (now () + 1, [=, this, &node] {
    if (!worker->up || worker->incarnation != copy.incarnation)
      {
        lose (1, RST_RESULT_UNKNOWN);
        return;
      }
    rst_instance_answer *answer = apply (*worker, copy);

    if (chance () < faults.lose_answer)
      {
        rst_instance_answer_free (answer);
        lose (700, RST_RESULT_UNKNOWN);
        return;
      }
    if (answer->result != RST_RESULT_OK || kind != 0)
      {
        at (now () + 1, [=, this, &node] {
          if (end_call (node, life, number))
            {
              done (answer, data);
              tick (node);
            }
          else
            rst_instance_answer_free (answer);
        });
        return;
      }
    rst_instance_answer_free (answer);
    if (wait == 0 || !worker->ends.empty ())
      {
        answer_order (node, *worker, life, number, done, data, true);
        return;
      }
    auto answered = std::make_shared<bool> (false);
    int64_t incarnation = worker->incarnation;
    auto wake = [=, this, &node] {
      if (*answered)
        return;
      *answered = true;
      if (worker->up && worker->incarnation == incarnation)
        answer_order (node, *worker, life, number, done, data, true);
      else
        lose (1, RST_RESULT_UNKNOWN);
    };

    worker->waiting.push_back (wake);
    at (now () + wait, wake);
  });
}

void
World::advise (Node &node, const char *const *ids, int count,
               rst_advice_done done, void *data)
{
  rst_advice_answer *answer = rst_advice_answer_new ();
  uint64_t life = node.life;
  uint64_t call = begin_call (node, [done, data] {
    rst_advice_answer *none = rst_advice_answer_new ();

    none->result = RST_RESULT_UNKNOWN;
    done (none, data);
  });

  for (int i = 0; i < count; i++)
    {
      rst_ticket ticket = {};

      g_strlcpy (ticket.id, ids[i], sizeof ticket.id);
      g_strlcpy (ticket.ticket, "ticket", sizeof ticket.ticket);
      if (i % 3 != 2)
        g_array_append_val (answer->tickets, ticket);
    }
  at (now () + 8, [=, this, &node] {
    if (end_call (node, life, call))
      {
        done (answer, data);
        tick (node);
      }
    else
      rst_advice_answer_free (answer);
  });
}

} // namespace cell
