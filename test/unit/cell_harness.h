// A planner under test: delivers events to it and records its messages,
// replies and commits.
#ifndef RST_TEST_CELL_HARNESS_H
#define RST_TEST_CELL_HARNESS_H

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

extern "C"
{
#include "cell/planner.h"
}

namespace harness
{

// A message that the planner sent, decoded as far as tests need it.
struct Sent
{
  uint64_t link;
  int kind;
  std::string id;
  std::string task;
  int64_t number;
  int attempt = 0;
  std::vector<std::string> ids; // instances named in an advice request
  std::string checkpoint;       // of a start order
  std::string ticket;           // of a start order
};

struct Reply
{
  uint64_t call;
  rst_reply reply;
};

struct Commit
{
  int64_t segment;
  std::string data;
  std::vector<int64_t> removed;
};

class Planner
{
public:
  explicit Planner (int64_t epoch = 1, int64_t link_bytes_per_ms = 0,
                    bool ignores_speed = false)
      : Planner (make_timing (link_bytes_per_ms, ignores_speed), epoch)
  {
  }
  Planner (const rst_planner_timing &timing, int64_t epoch)
  {
    rst_planner_ops ops = { on_send, on_reply, on_commit, this };

    planner = rst_planner_create (&ops, &timing, epoch);
    set_time (1000);
  }
  ~Planner () { rst_planner_destroy (planner); }
  Planner (const Planner &) = delete;
  Planner &operator= (const Planner &) = delete;

  rst_planner *planner;
  std::vector<Sent> sent;
  std::vector<Reply> replies;
  std::vector<Commit> commits;
  bool is_committing = false;
  // Whether the store answers a commit within 5 ms while the clock advances;
  // otherwise only complete_commit() and settle() complete it.
  bool answers_commits = true;
  rst_ms now = 0;
  int64_t clock = 5000;
  bool is_confirmed = true;
  // By how much the Unix clock is ahead.
  int64_t unix_offset = 0;
  // Whether agents answer heartbeats.
  bool are_agents_heard = true;
  // Failed runs of a task at which its job fails, for configure().
  int max_failures = 3;
  // Links of agents that answer no heartbeats.
  std::set<uint64_t> silent_links;
  // Whether instances may have ends that their reports do not list.
  bool has_more_ends = false;
  std::vector<uint64_t> links;
  // Number of start messages; each has a row for each task.
  int start_messages = 0;
  // Size of the longest message sent, in bytes.
  size_t longest_message = 0;
  // Number of journal segments with a record that could not be read.
  int unreadable = 0;
  // Fencing token and address of the last hold message for each instance.
  std::map<std::string, int64_t> fencing_tokens;
  std::map<std::string, std::string> held_addresses;

  void
  set_time (rst_ms time)
  {
    now = time;
    rst_planner_set_time (planner, now, 1700000000000 + now + unix_offset);
    if (is_confirmed)
      rst_planner_set_confirmed (planner, now);
    for (uint64_t link : links)
      if (are_agents_heard && silent_links.count (link) == 0)
        rst_planner_set_link_heard (planner, link, now);
  }

  // Advances the clock and runs the planner every 5 ms.
  void
  advance_time (rst_ms length)
  {
    for (rst_ms end = now + length; now < end;)
      {
        set_time (now + 5);
        if (answers_commits && is_committing)
          {
            is_committing = false;
            rst_planner_commit_done (planner);
          }
        rst_planner_run (planner);
      }
  }

  static rst_planner_timing
  make_timing (int64_t link_bytes_per_ms = 0, bool ignores_speed = false,
               double remote_penalty = 0.0)
  {
    rst_planner_timing timing = {};

    timing.unconfirmed_renewal_ms = 14000;
    timing.lease_ms = 6000;
    timing.status_ms = 120000;
    timing.early_ms = 250;
    timing.link_bytes_per_ms = link_bytes_per_ms;
    timing.ignores_speed = ignores_speed;
    timing.remote_penalty = remote_penalty;
    return timing;
  }

  // Configures a queue "q" and a customer with a limit; 0 means none.
  void
  configure (int64_t cpu_limit = 0, bool needs_approval = false,
             int64_t version = 1)
  {
    rst_cellconfig *config = rst_cellconfig_create ();
    auto *queue = g_new0 (rst_queue, 1);
    auto *customer = g_new0 (rst_customer, 1);

    config->version = version;
    queue->name = g_strdup ("q");
    queue->host = g_strdup ("h");
    queue->prefix = g_strdup ("/q/");
    queue->pool = g_strdup ("pool");
    queue->max_failures = max_failures;
    queue->slack_permille = 3000;
    queue->target_ms = 500;
    queue->needs_approval = needs_approval;
    queue->advice_ms = 10;
    queue->advice_valid_ms = 2000;
    g_ptr_array_add (config->queues, queue);
    customer->name = g_strdup ("c");
    customer->weight = 100;
    customer->limit.cpu = cpu_limit;
    g_ptr_array_add (config->customers, customer);
    g_hash_table_insert (config->keys, g_strdup ("k"), customer);
    rst_planner_configure (planner, config);
  }

  // Registers an instance.  The entry describes the incarnation that report()
  // names by default, unless @incarnation says otherwise.
  void
  add_instance (const std::string &id, bool draining = false,
                const char *zone = "a", int64_t incarnation = 1,
                int64_t cpu = 4000, const char *rack = "")
  {
    rst_instance_entry entry = {};

    g_strlcpy (entry.id, id.c_str (), sizeof entry.id);
    g_strlcpy (entry.address, "10.0.0.1:80", sizeof entry.address);
    g_strlcpy (entry.zone, zone, sizeof entry.zone);
    g_strlcpy (entry.pool, "pool", sizeof entry.pool);
    g_strlcpy (entry.rack, rack, sizeof entry.rack);
    g_strlcpy (entry.labels, ",a,r1,", sizeof entry.labels);
    entry.capacity = { cpu, 4000, 0 };
    entry.draining = draining;
    entry.incarnation = incarnation;
    rst_planner_update_instance (planner, &entry);
  }

  void
  add_agent (uint64_t link, const char *zone = "a")
  {
    rst_planner_add_agent (planner, link,
                           ("n" + std::to_string (link)).c_str (), zone);
    links.push_back (link);
  }

  // Reports what an instance lists: running ones without a number, ended ones
  // with one.  If the planner then raises the fencing token because of a new
  // incarnation, the agent reports once more.
  void
  report (uint64_t link, const std::string &id,
          const std::vector<rst_run> &runs, int64_t incarnation = 1,
          rst_result result = RST_RESULT_OK, int64_t lease_left = 0)
  {
    int64_t token = fencing_tokens[id];

    report_once (link, id, runs, incarnation, result, lease_left);
    if (fencing_tokens[id] != token)
      report_once (link, id, runs, incarnation, result, lease_left);
  }

  // Reports once, under the current fencing token.
  void
  report_once (uint64_t link, const std::string &id,
               const std::vector<rst_run> &runs, int64_t incarnation = 1,
               rst_result result = RST_RESULT_OK, int64_t lease_left = 0)
  {
    rst_pack pack;

    clock += 10;
    rst_pack_init (&pack, 8);
    rst_pack_text (&pack, id.c_str ());
    rst_pack_int (&pack, result);
    rst_pack_int (&pack, clock);
    rst_pack_int (&pack, incarnation);
    rst_pack_int (&pack, lease_left);
    rst_pack_int (&pack, fencing_tokens[id]);
    rst_pack_int (&pack, has_more_ends ? 1 : 0);
    rst_pack_array (&pack, runs.size ());
    for (const rst_run &run : runs)
      {
        rst_pack_array (&pack, 7);
        rst_pack_int (&pack, run.end_number);
        rst_pack_text (&pack, run.task);
        rst_pack_int (&pack, run.attempt);
        rst_pack_int (&pack, run.end_reason);
        rst_pack_text (&pack, run.checkpoint);
        rst_pack_int (&pack, run.progress_percent);
        rst_pack_int (&pack, run.usage);
      }
    deliver (link, RST_MSG_REPORT, &pack);
  }

  // Delivers an agent's answer to an order; @kind is RST_MSG_STARTED or
  // RST_MSG_STOPPED.
  void
  answer_order (uint64_t link, int kind, const std::string &id,
                const std::string &task, int attempt, rst_result result)
  {
    rst_pack pack;

    clock += 10;
    rst_pack_init (&pack, 5);
    rst_pack_text (&pack, id.c_str ());
    rst_pack_text (&pack, task.c_str ());
    rst_pack_int (&pack, attempt);
    rst_pack_int (&pack, result);
    rst_pack_int (&pack, clock);
    deliver (link, kind, &pack);
  }

  // Delivers an agent's answer to an advice request.
  void
  send_advice (uint64_t link, int64_t handle,
               const std::vector<std::string> &approved,
               const std::string &ticket = "ticket")
  {
    rst_pack pack;

    rst_pack_init (&pack, 3);
    rst_pack_int (&pack, handle);
    rst_pack_int (&pack, RST_RESULT_OK);
    rst_pack_array (&pack, approved.size ());
    for (const std::string &id : approved)
      {
        rst_pack_array (&pack, 2);
        rst_pack_text (&pack, id.c_str ());
        rst_pack_text (&pack, ticket.c_str ());
      }
    deliver (link, RST_MSG_ADVICE, &pack);
  }

  static rst_jobdesc *
  make_job (int tasks, int64_t cpu, bool gang = false, int steps = 1)
  {
    rst_jobdesc *desc = rst_jobdesc_create (steps);

    desc->spec = g_strdup ("work");
    for (int i = 0; i < steps; i++)
      {
        rst_step &step = desc->steps[i];

        step.count = tasks;
        step.need.cpu = cpu;
        step.need.memory = 10;
        step.estimate_ms = 1000;
        step.gang = gang;
        step.label = g_strdup ("");
        step.rack = g_strdup ("");
        step.image = g_strdup ("");
        step.after = g_new0 (int, 1);
        step.after_count = i > 0 ? 1 : 0;
        step.after[0] = i - 1;
      }
    return desc;
  }

  // Delivers a caller's request; its reply carries @number.
  void
  send_call (uint64_t number, rst_operation operation, const std::string &id,
             rst_jobdesc *desc = nullptr, const char *key = "k",
             const char *prefix = "/q/", rst_ms sent_at = 0)
  {
    struct rst_planner_call request = {};
    std::string path = prefix + id;

    request.link = 99;
    request.number = number;
    request.operation = operation;
    request.host = "h";
    request.path = path.c_str ();
    request.key = key;
    request.desc = desc;
    request.sent_at = sent_at;
    rst_planner_receive_call (planner, &request);
  }

  // Submits a job of one task that was sent at a time, and returns the
  // outcome.
  rst_outcome
  submit_sent_at (const std::string &id, rst_ms sent_at)
  {
    return get_outcome (RST_OPERATION_SUBMIT, id, make_job (1, 1000), sent_at);
  }

  rst_outcome
  cancel (const std::string &id)
  {
    return get_outcome (RST_OPERATION_CANCEL, id, nullptr, 0);
  }

  // Returns the outcome of a request after the next commits.
  rst_outcome
  get_outcome (rst_operation operation, const std::string &id,
               rst_jobdesc *desc, rst_ms sent_at)
  {
    uint64_t number = 1000 + replies.size ();

    send_call (number, operation, id, desc, "k", "/q/", sent_at);
    settle ();
    return reply_to (number) != nullptr ? reply_to (number)->reply.outcome
                                        : RST_OUTCOME_UNKNOWN;
  }

  // Completes the commit under way.
  void
  complete_commit ()
  {
    is_committing = false;
    rst_planner_commit_done (planner);
    advance_time (10);
  }

  // Advances the clock and completes commits until nothing is left to commit.
  void
  settle ()
  {
    for (int i = 0; i < 4; i++)
      {
        advance_time (60);
        if (is_committing)
          complete_commit ();
      }
  }

  // Configures the planner and adds an agent and instances without runs.
  void
  start_serving (int instances, bool needs_approval = false,
                 int64_t cpu_limit = 0)
  {
    configure (cpu_limit, needs_approval);
    add_agent (1);
    for (int i = 0; i < instances; i++)
      add_instance ("i-" + std::to_string (i));
    rst_planner_finish_restore (planner);
    for (int i = 0; i < instances; i++)
      report (1, "i-" + std::to_string (i), {});
    settle ();
    sent.clear ();
    replies.clear ();
  }

  // Submits a job of one task and returns the instance that then runs it.
  std::string
  start_job (const std::string &job)
  {
    send_call (7, RST_OPERATION_SUBMIT, job, make_job (1, 1000));
    settle ();
    std::string id = sent_of_kind (RST_MSG_START)[0].id;

    answer_order (1, RST_MSG_STARTED, id, job + ".0.0.0", 1, RST_RESULT_OK);
    sent.clear ();
    return id;
  }

  // Waits for the next start order and discards the commit that records where
  // the task was placed, if there is one.  Returns the instance.
  std::string
  start_without_record ()
  {
    for (int i = 0; i < 100 && sent_of_kind (RST_MSG_START).empty (); i++)
      advance_time (5);
    if (sent_of_kind (RST_MSG_START).empty ())
      return "";
    if (is_committing)
      commits.pop_back ();
    is_committing = false;
    return sent_of_kind (RST_MSG_START)[0].id;
  }

  // Applies the journal of another planner.
  void
  restore (const Planner &predecessor)
  {
    for (const Commit &commit : predecessor.commits)
      if (!rst_planner_restore (planner, commit.segment, commit.data.data (),
                                commit.data.size ()))
        unreadable++;
  }

  // Deletes the segments that later commits have removed.
  void
  delete_removed_segments ()
  {
    std::vector<Commit> remaining;

    for (const Commit &commit : commits)
      {
        for (int64_t removed : commit.removed)
          std::erase_if (remaining, [removed] (const Commit &segment) {
            return segment.segment == removed;
          });
        remaining.push_back (commit);
      }
    commits = remaining;
  }

  std::vector<Sent>
  sent_of_kind (int kind) const
  {
    std::vector<Sent> found;

    for (const Sent &message : sent)
      if (message.kind == kind)
        found.push_back (message);
    return found;
  }

  const Reply *
  reply_to (uint64_t call) const
  {
    for (const Reply &reply : replies)
      if (reply.call == call)
        return &reply;
    return nullptr;
  }

  static rst_run
  make_running_run (const std::string &task, int attempt)
  {
    rst_run run = {};

    g_strlcpy (run.task, task.c_str (), sizeof run.task);
    run.attempt = attempt;
    return run;
  }

  static rst_run
  make_ended_run (int64_t number, const std::string &task, int attempt,
                  rst_end end_reason)
  {
    rst_run run = make_running_run (task, attempt);

    run.end_number = number;
    run.end_reason = end_reason;
    return run;
  }

private:
  void
  deliver (uint64_t link, int kind, rst_pack *pack)
  {
    msgpack_unpacked unpacked;
    rst_reader reader;

    rst_reader_open (&reader, &unpacked, pack->buffer.data, pack->buffer.size);
    rst_planner_receive_message (planner, link, kind, &reader);
    msgpack_unpacked_destroy (&unpacked);
    rst_pack_clear (pack);
  }

  static void
  read_ids (rst_reader *reader, Sent *message)
  {
    rst_reader rows = rst_reader_read_array (reader);

    for (uint32_t i = 0; i < rows.count; i++)
      {
        char *id = rst_reader_read_text (&rows);

        message->ids.push_back (id);
        g_free (id);
      }
  }

  static std::string
  read_string (rst_reader *reader)
  {
    char *text = rst_reader_read_text (reader);
    std::string copy = text;

    g_free (text);
    return copy;
  }

  // Records each row of a start message as a message of its own.
  void
  read_starts (rst_reader *reader, uint64_t link)
  {
    std::string step = read_string (reader);

    read_string (reader);
    rst_reader rows = rst_reader_read_array (reader);
    start_messages++;
    for (uint32_t i = 0; i < rows.count; i++)
      {
        rst_reader row = rst_reader_read_array (&rows);
        Sent message = {};

        message.link = link;
        message.kind = RST_MSG_START;
        message.id = read_string (&row);
        message.task
            = step + "." + std::to_string (rst_reader_read_int (&row));
        message.number = rst_reader_read_int (&row);
        message.attempt = (int)message.number;
        message.checkpoint = read_string (&row);
        message.ticket = read_string (&row);
        sent.push_back (message);
      }
  }

  static void
  on_send (void *userdata, uint64_t link, const void *data, size_t length)
  {
    auto *self = static_cast<Planner *> (userdata);
    msgpack_unpacked unpacked;
    rst_reader reader;
    Sent message = {};

    rst_reader_open (&reader, &unpacked, data, length);
    self->longest_message = std::max (self->longest_message, length);
    message.link = link;
    message.kind = (int)rst_reader_read_int (&reader);
    if (message.kind == RST_MSG_START)
      {
        self->read_starts (&reader, link);
        msgpack_unpacked_destroy (&unpacked);
        return;
      }
    if (message.kind == RST_MSG_ADVISE)
      message.number = rst_reader_read_int (&reader);
    char *id = rst_reader_read_text (&reader);
    message.id = id;
    g_free (id);
    if (message.kind == RST_MSG_STOP || message.kind == RST_MSG_PACE)
      {
        char *task = rst_reader_read_text (&reader);

        message.task = task;
        g_free (task);
      }
    if (message.kind == RST_MSG_HOLD)
      {
        self->held_addresses[message.id] = read_string (&reader);
        self->fencing_tokens[message.id] = rst_reader_read_int (&reader);
      }
    else if (message.kind != RST_MSG_ADVISE)
      message.number = rst_reader_read_int (&reader);
    if (message.kind == RST_MSG_STOP)
      message.attempt = (int)message.number;
    if (message.kind == RST_MSG_ADVISE)
      read_ids (&reader, &message);
    self->sent.push_back (message);
    msgpack_unpacked_destroy (&unpacked);
  }

  static void
  on_reply (void *userdata, uint64_t link, uint64_t call,
            const rst_reply *reply)
  {
    (void)link;
    static_cast<Planner *> (userdata)->replies.push_back (
        Reply{ call, *reply });
  }

  static void
  on_commit (void *userdata, int64_t segment, const void *data, size_t length,
             const int64_t *remove, int count)
  {
    auto *self = static_cast<Planner *> (userdata);

    self->is_committing = true;
    self->commits.push_back (
        Commit{ segment, std::string ((const char *)data, length),
                std::vector<int64_t> (remove, remove + count) });
  }
};

} // namespace harness

#endif
