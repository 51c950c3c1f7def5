// Event loop, nodes, links and callers of the simulated cell; see world.h.
#include "world.h"

#include <algorithm>
#include <cstring>

namespace cell
{

// The fake clock; static because the callbacks that read it take no argument.
static Millis world_now;

static rst_ms
read_now ()
{
  return world_now;
}

static int64_t
read_unix_now ()
{
  return 1700000000000 + world_now;
}

static const Millis link_delay_ms = 1;
// A link is closed this long after its other end has become unreachable.
static const Millis silence_timeout_ms = 1000;
// Period at which the callers' entry reads the planner record.
static const Millis entry_check_ms = 100;
static const Millis instance_tick_ms = 20;

Millis
World::now () const
{
  return world_now;
}

static const int64_t customer_cpu_limit_milli = 12000;

World::World (uint64_t seed, int node_count, int instance_count)
    : random (seed)
{
  static const char *const zones[] = { "a", "b", "c" };

  world_now = 1000;
  for (int i = 0; i < instance_count; i++)
    {
      auto instance = std::make_unique<Instance> ();

      instance->id = "i-" + std::to_string (i);
      instance->address = "10.0.0." + std::to_string (i) + ":80";
      instance->zone = zones[i % 3];
      instance->started_at = 1 + i;
      instance->clock_offset = 100000 * (i + 1);
      instances.push_back (std::move (instance));
    }
  for (auto &instance : instances)
    {
      register_instance (*instance);
      tick_instance (*instance);
    }
  // In every fourth seed the customer has a limit, below the capacity of all
  // instances.
  configure (1, seed % 4 == 2 ? customer_cpu_limit_milli : 0);
  for (int i = 0; i < node_count; i++)
    {
      auto node = std::make_unique<Node> ();

      node->world = this;
      node->name = "n" + std::to_string (i);
      node->zone = zones[i % 3];
      node->address = "10.1.0." + std::to_string (i) + ":70";
      nodes.push_back (std::move (node));
      start_node (*nodes.back ());
    }
  schedule (world_now + 50, [this] { connect_entry (); });
}

World::~World ()
{
  for (auto &node : nodes)
    if (node->cell_node != nullptr)
      kill_node (*node, false);
  for (auto &request : entry_requests_)
    rst_jobdesc_destroy (request.second.desc);
  for (rst_jobdesc *desc : descs_)
    rst_jobdesc_destroy (desc);
}

void
World::schedule (Millis time, std::function<void ()> action)
{
  events_.push (Event{ time, sequence_++, std::move (action) });
}

void
World::report_violation (const std::string &text)
{
  violations.push_back (std::to_string (world_now) + ": " + text);
}

void
World::run_until (Millis time)
{
  while (!events_.empty () && events_.top ().at <= time)
    {
      Event event = events_.top ();

      events_.pop ();
      world_now = std::max (world_now, event.at);
      event.action ();
    }
  world_now = time;
}

// Nodes

static Node &
as_node (void *userdata)
{
  return *static_cast<Node *> (userdata);
}

void
World::start_node (Node &node)
{
  rst_cell_node_config config = {};

  node.incarnation++;
  node.backend.userdata = &node;
  node.backend.store_get
      = [] (void *u, const char *key, rst_store_done done, void *data) {
          as_node (u).world->store_get (as_node (u), key, done, data);
        };
  node.backend.store_range = [] (void *u, const char *prefix,
                                 const char *after, rst_store_done done,
                                 void *data) {
    as_node (u).world->store_range (as_node (u), prefix, after, done, data);
  };
  node.backend.store_watch
      = [] (void *u, const char *prefix, int64_t after, int64_t wait_ms,
            rst_store_done done, void *data) {
          as_node (u).world->store_watch (as_node (u), prefix, after, wait_ms,
                                          done, data);
        };
  node.backend.store_commit = [] (void *u, const rst_store_write *writes,
                                  int count, rst_store_done done, void *data) {
    as_node (u).world->store_commit (as_node (u), writes, count, done, data);
  };
  node.backend.hold = [] (void *u, const rst_instance_call *call,
                          rst_instance_done done, void *data) {
    as_node (u).world->call_instance (as_node (u), ORDER_POLL, *call, done,
                                      data);
  };
  node.backend.start = [] (void *u, const rst_instance_call *call,
                           rst_instance_done done, void *data) {
    as_node (u).world->call_instance (as_node (u), ORDER_START, *call, done,
                                      data);
  };
  node.backend.stop = [] (void *u, const rst_instance_call *call,
                          rst_instance_done done, void *data) {
    as_node (u).world->call_instance (as_node (u), ORDER_STOP, *call, done,
                                      data);
  };
  node.backend.advise = [] (void *u, const char *step, const char *const *ids,
                            int count, rst_advice_done done, void *data) {
    (void)step;
    as_node (u).world->request_advice (as_node (u), ids, count, done, data);
  };
  config.backend = &node.backend;
  config.now = read_now;
  config.unix_now = read_unix_now;
  config.connect = [] (void *u, const char *address) {
    return as_node (u).world->open_link (&as_node (u), address);
  };
  config.close = [] (void *u, uint64_t link) {
    as_node (u).world->close_link (link, true);
  };
  config.send = [] (void *u, uint64_t link, const void *data, size_t length) {
    as_node (u).world->send_frame (link,
                                   std::string ((const char *)data, length));
  };
  config.userdata = &node;
  config.name = node.name.c_str ();
  config.zone = node.zone.c_str ();
  config.address = node.address.c_str ();
  config.timing = { 5000, 6000, 120000, 250 };
  config.jitter_ms = draw_below (120);
  node.cell_node = rst_cell_node_create (&config);
  run_node (node);
}

void
World::run_node (Node &node)
{
  uint64_t incarnation = node.incarnation;

  if (node.cell_node == nullptr)
    return;
  if (node.paused_until > world_now)
    {
      schedule (node.paused_until, [this, &node, incarnation] {
        if (node.incarnation == incarnation)
          run_node (node);
      });
      return;
    }
  Millis next_run = rst_cell_node_run (node.cell_node);

  schedule (std::max (next_run, world_now + 1),
            [this, &node, incarnation, next_run] {
              if (node.incarnation == incarnation)
                run_node (node);
            });
}

void
World::kill_node (Node &node, bool silent)
{
  Millis delay = silent ? silence_timeout_ms : link_delay_ms;

  for (uint64_t end : node.link_ends)
    schedule (world_now + delay, [this, end] { close_link (end, false); });
  node.link_ends.clear ();
  node.incarnation++;
  // The callbacks of pending calls run so that they free their data.  The
  // second pass covers calls that were begun meanwhile.
  rst_cell_node *killed = node.cell_node;

  node.cell_node = nullptr;
  abort_calls (node);
  rst_cell_node_destroy (killed);
  abort_calls (node);
}

void
World::abort_calls (Node &node)
{
  while (!node.pending_calls.empty ())
    {
      auto on_abort = node.pending_calls.begin ()->second;

      node.pending_calls.erase (node.pending_calls.begin ());
      on_abort ();
    }
}

Node *
World::find_planner ()
{
  for (auto &node : nodes)
    if (node->cell_node != nullptr && rst_cell_node_has_term (node->cell_node))
      return node.get ();
  return nullptr;
}

// Links

uint64_t
World::open_link (Node *from, const std::string &address)
{
  uint64_t end = 2 * next_link_++;
  Link &link = links_[end / 2];

  link.from = from;
  link.from_incarnation = from != nullptr ? from->incarnation : 0;
  if (from != nullptr)
    from->link_ends.insert (end);
  schedule (world_now + link_delay_ms,
            [this, end, address] { accept_link (end, address); });
  return end;
}

void
World::accept_link (uint64_t end, const std::string &address)
{
  auto found = links_.find (end / 2);

  if (found == links_.end ())
    return;
  Link &link = found->second;

  for (auto &node : nodes)
    if (node->address == address)
      link.to = node.get ();
  if (link.to != link.from && link.to != nullptr
      && (link.to->is_isolated
          || (link.from != nullptr && link.from->is_isolated)))
    {
      schedule (world_now + silence_timeout_ms,
                [this, end] { close_link (end, false); });
      return;
    }
  if (link.to == nullptr || link.to->cell_node == nullptr)
    {
      close_link (end, false);
      return;
    }
  link.to_incarnation = link.to->incarnation;
  link.to->link_ends.insert (end + 1);
  link.is_open = true;
  if (link.from != nullptr)
    deliver_event (link.from, link.from_incarnation, RST_NET_OPENED, end, "");
  else
    handle_entry_opened ();
}

void
World::deliver_event (Node *node, uint64_t incarnation, rst_net_event event,
                      uint64_t end, const std::string &data)
{
  if (node == nullptr || node->incarnation != incarnation
      || node->cell_node == nullptr)
    return;
  if (node->paused_until > world_now)
    {
      schedule (node->paused_until, [=, this] {
        deliver_event (node, incarnation, event, end, data);
      });
      return;
    }
  rst_cell_node_handle_link_event (node->cell_node, event, end, data.data (),
                                   data.size ());
  run_node (*node);
}

void
World::close_link (uint64_t end, bool by_owner)
{
  auto found = links_.find (end / 2);

  if (found == links_.end ())
    return;
  Link link = found->second;
  uint64_t from_end = end / 2 * 2;

  links_.erase (found);
  if (from_end == entry_link_)
    {
      entry_link_ = 0;
      planner_is_serving_ = false;
      for (auto &request : entry_requests_)
        request.second.sent = false;
    }
  for (uint64_t link_end : { from_end, from_end + 1 })
    {
      Node *node = link_end == from_end ? link.from : link.to;
      uint64_t incarnation
          = link_end == from_end ? link.from_incarnation : link.to_incarnation;

      if (node == nullptr || node->incarnation != incarnation)
        continue;
      node->link_ends.erase (link_end);
      if (by_owner && link_end == end)
        continue;
      schedule (world_now + link_delay_ms, [=, this] {
        deliver_event (node, incarnation, RST_NET_CLOSED, link_end, "");
      });
    }
}

void
World::send_frame (uint64_t end, const std::string &data)
{
  schedule (world_now + link_delay_ms, [this, end, data] {
    auto found = links_.find (end / 2);

    if (found == links_.end () || !found->second.is_open)
      return;
    const Link &link = found->second;
    Node *to = end % 2 == 0 ? link.to : link.from;
    Node *from = end % 2 == 0 ? link.from : link.to;

    if (to != from
        && ((from != nullptr && from->is_isolated)
            || (to != nullptr && to->is_isolated)))
      return;
    if (to == nullptr)
      handle_entry_frame (data);
    else
      deliver_event (
          to, end % 2 == 0 ? link.to_incarnation : link.from_incarnation,
          RST_NET_FRAME, end ^ 1, data);
  });
}

void
World::set_isolated (Node &node, bool isolated)
{
  node.is_isolated = isolated;
  if (!isolated)
    return;
  for (uint64_t end : node.link_ends)
    schedule (world_now + silence_timeout_ms, [this, &node, end] {
      auto found = links_.find (end / 2);

      if (node.is_isolated && found != links_.end ()
          && found->second.from != found->second.to)
        close_link (end, false);
    });
}

// Callers

void
World::connect_entry ()
{
  schedule (world_now + entry_check_ms, [this] { connect_entry (); });
  auto found = store.find (RST_PLANNER_RECORD_KEY);
  rst_planner_record record;

  if (found == store.end ()
      || !rst_planner_record_read (&record, found->second.value.data (),
                                   found->second.value.size ()))
    return;
  if (entry_link_ != 0 && entry_epoch_ >= record.epoch)
    return;
  if (entry_link_ != 0)
    close_link (entry_link_, true);
  entry_epoch_ = record.epoch;
  entry_link_ = open_link (nullptr, record.address);
}

void
World::handle_entry_opened ()
{
  rst_pack pack;

  rst_pack_init (&pack, 4);
  rst_pack_int (&pack, RST_MSG_HELLO);
  rst_pack_int (&pack, RST_ROLE_ENTRY);
  rst_pack_text (&pack, "entry");
  rst_pack_text (&pack, "a");
  send_frame (entry_link_, std::string (pack.buffer.data, pack.buffer.size));
  rst_pack_clear (&pack);
}

void
World::send_request (uint64_t number)
{
  CallerRequest &request = entry_requests_[number];
  rst_pack pack;
  std::string path
      = (jobs[request.id].queue == "u" ? "/u/" : "/q/") + request.id;

  if (!planner_is_serving_ || request.sent)
    return;
  request.sent = true;
  rst_pack_init (&pack, request.desc != nullptr ? 7 : 6);
  rst_pack_int (&pack, RST_MSG_CALL);
  rst_pack_int (&pack, (int64_t)number);
  rst_pack_int (&pack, request.operation);
  rst_pack_text (&pack, "h");
  rst_pack_text (&pack, path.c_str ());
  rst_pack_text (&pack, "k");
  if (request.desc != nullptr)
    rst_jobdesc_pack (&pack, request.desc);
  send_frame (entry_link_, std::string (pack.buffer.data, pack.buffer.size));
  rst_pack_clear (&pack);
}

static const char *const state_names[]
    = { "queued", "running", "completed", "failed", "cancelled" };

static bool
all_done (const Job &job)
{
  size_t tasks = 0;

  for (int i = 0; i < job.desc->step_count; i++)
    tasks += (size_t)job.desc->steps[i].count;
  return job.done_tasks.size () == tasks;
}

// Handles a frame from the planner.  Two properties are checked on replies:
//
// LOST: an accepted job stays known, and fails only if it had reason to.
// MIXED: a job is completed only if all its tasks are done.
void
World::handle_entry_frame (const std::string &data)
{
  msgpack_unpacked unpacked;
  rst_reader reader;

  rst_reader_open (&reader, &unpacked, data.data (), data.size ());
  int64_t kind = rst_reader_read_int (&reader);

  if (kind == RST_MSG_WELCOME)
    {
      rst_reader_read_int (&reader);
      planner_is_serving_ = rst_reader_read_int (&reader) != 0;
      for (auto &request : entry_requests_)
        send_request (request.first);
    }
  else if (kind == RST_MSG_REPLY)
    {
      uint64_t number = (uint64_t)rst_reader_read_int (&reader);
      int64_t outcome = rst_reader_read_int (&reader);
      int64_t state = rst_reader_read_int (&reader);
      auto found = entry_requests_.find (number);

      if (found != entry_requests_.end ())
        {
          CallerRequest request = found->second;
          Job &job = jobs[request.id];

          entry_requests_.erase (found);
          rst_jobdesc_destroy (request.desc);
          if (request.operation == RST_OPERATION_SUBMIT
              && outcome == RST_OUTCOME_OK)
            job.is_accepted = true;
          if (request.operation == RST_OPERATION_CANCEL
              && outcome == RST_OUTCOME_OK && job.cancelled_at == 0)
            job.cancelled_at = world_now;
          if (job.is_accepted && outcome == RST_OUTCOME_NO_JOB)
            report_violation ("LOST " + request.id + " is not known");
          if (request.operation == RST_OPERATION_READ
              && outcome == RST_OUTCOME_STATE && state >= RST_JOB_COMPLETED)
            {
              if (reported_ended_.insert (request.id).second
                  && state == RST_JOB_COMPLETED)
                completed_++;
              if (state == RST_JOB_COMPLETED && !all_done (job))
                report_violation ("MIXED " + request.id + " is shown as "
                                  + state_names[state]);
              if (state == RST_JOB_FAILED && !job.may_fail)
                report_violation ("LOST " + request.id
                                  + " is shown as failed");
            }
        }
    }
  msgpack_unpacked_destroy (&unpacked);
}

void
World::make_request (const std::string &id, rst_operation operation,
                     rst_jobdesc *desc)
{
  uint64_t number = next_request_number_++;

  entry_requests_[number] = CallerRequest{ id, operation, desc, false };
  send_request (number);
}

void
World::submit (const std::string &id, rst_jobdesc *desc)
{
  rst_pack pack;
  msgpack_unpacked unpacked;
  rst_reader reader;
  Job &job = jobs[id];

  if (job.desc == nullptr)
    {
      job.desc = desc;
      job.queue = desc->steps[0].estimate_ms < 300 ? "u" : "q";
      descs_.push_back (desc);
    }
  rst_pack_init (&pack, 1);
  rst_jobdesc_pack (&pack, desc);
  rst_reader_open (&reader, &unpacked, pack.buffer.data, pack.buffer.size);
  make_request (id, RST_OPERATION_SUBMIT, rst_jobdesc_read (&reader));
  msgpack_unpacked_destroy (&unpacked);
  rst_pack_clear (&pack);
}

void
World::cancel (const std::string &id)
{
  make_request (id, RST_OPERATION_CANCEL, nullptr);
}

void
World::read (const std::string &id)
{
  make_request (id, RST_OPERATION_READ, nullptr);
}

int
World::is_reported_ended (const std::string &id) const
{
  return (int)reported_ended_.count (id);
}

} // namespace cell
