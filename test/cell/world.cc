// Nodes, links, store and callers of the world; see world.h.
#include "world.h"

#include <algorithm>
#include <cstring>

namespace cell
{

static Millis world_now;

static rst_ms
now_callback ()
{
  return world_now;
}

static int64_t
unix_callback ()
{
  return 1700000000000 + world_now;
}

static const Millis link_delay = 1;
static const Millis silent_after = 1000;
static const Millis worker_tick = 20;

Millis
World::now () const
{
  return world_now;
}

static const int64_t customer_limit = 12000;

World::World (uint64_t seed, int node_count, int worker_count) : random (seed)
{
  static const char *const zones[] = { "a", "b", "c" };

  world_now = 1000;
  for (int i = 0; i < worker_count; i++)
    {
      auto worker = std::make_unique<Worker> ();

      worker->id = "i-" + std::to_string (i);
      worker->address = "10.0.0." + std::to_string (i) + ":80";
      worker->zone = zones[i % 3];
      worker->incarnation = 1 + i;
      worker->clock_skew = 100000 * (i + 1);
      workers.push_back (std::move (worker));
    }
  for (auto &worker : workers)
    {
      register_worker (*worker);
      tick_worker (*worker);
    }
  // Every fourth seed has a limit below the room of all instances.
  configure (1, seed % 4 == 2 ? customer_limit : 0);
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
  at (world_now + 50, [this] { entry_connect (); });
}

World::~World ()
{
  for (auto &node : nodes)
    if (node->node != nullptr)
      kill_node (*node, false);
  for (auto &call : entry_calls_)
    rst_jobdesc_destroy (call.second.desc);
  for (rst_jobdesc *desc : descs_)
    rst_jobdesc_destroy (desc);
}

void
World::at (Millis time, std::function<void ()> action)
{
  events_.push (Event{ time, sequence_++, std::move (action) });
}

void
World::breach (const std::string &text)
{
  breaches.push_back (std::to_string (world_now) + ": " + text);
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

// ---- nodes

static Node &
as_node (void *userdata)
{
  return *static_cast<Node *> (userdata);
}

void
World::start_node (Node &node)
{
  rst_cell_node_config config = {};

  node.life++;
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
      = [] (void *u, const char *prefix, int64_t after, int64_t wait,
            rst_store_done done, void *data) {
          as_node (u).world->store_watch (as_node (u), prefix, after, wait,
                                          done, data);
        };
  node.backend.store_commit = [] (void *u, const rst_store_write *writes,
                                  int count, rst_store_done done, void *data) {
    as_node (u).world->store_commit (as_node (u), writes, count, done, data);
  };
  node.backend.hold = [] (void *u, const rst_instance_call *call,
                          rst_instance_done done, void *data) {
    as_node (u).world->order (as_node (u), 0, *call, done, data);
  };
  node.backend.start = [] (void *u, const rst_instance_call *call,
                           rst_instance_done done, void *data) {
    as_node (u).world->order (as_node (u), 1, *call, done, data);
  };
  node.backend.stop = [] (void *u, const rst_instance_call *call,
                          rst_instance_done done, void *data) {
    as_node (u).world->order (as_node (u), 2, *call, done, data);
  };
  node.backend.advise = [] (void *u, const char *step, const char *const *ids,
                            int count, rst_advice_done done, void *data) {
    (void)step;
    as_node (u).world->advise (as_node (u), ids, count, done, data);
  };
  config.backend = &node.backend;
  config.now = now_callback;
  config.unix_now = unix_callback;
  config.connect = [] (void *u, const char *address) {
    return as_node (u).world->connect (&as_node (u), address);
  };
  config.close
      = [] (void *u, uint64_t link) { as_node (u).world->close (link, true); };
  config.send = [] (void *u, uint64_t link, const void *data, size_t length) {
    as_node (u).world->send (link, std::string ((const char *)data, length));
  };
  config.userdata = &node;
  config.name = node.name.c_str ();
  config.zone = node.zone.c_str ();
  config.address = node.address.c_str ();
  config.timing = { 5000, 6000, 120000, 250 };
  config.jitter_ms = below (120);
  node.node = rst_cell_node_create (&config);
  tick (node);
}

void
World::tick (Node &node)
{
  uint64_t life = node.life;

  if (node.node == nullptr)
    return;
  if (node.frozen_until > world_now)
    {
      at (node.frozen_until, [this, &node, life] {
        if (node.life == life)
          tick (node);
      });
      return;
    }
  Millis wake = rst_cell_node_run (node.node);

  at (std::max (wake, world_now + 1), [this, &node, life, wake] {
    if (node.life == life)
      tick (node);
  });
}

void
World::kill_node (Node &node, bool silent)
{
  Millis delay = silent ? silent_after : link_delay;

  for (uint64_t end : node.links)
    at (world_now + delay, [this, end] { close (end, false); });
  node.links.clear ();
  node.life++;
  // Calls under way end for the sake of their memory only.
  rst_cell_node *dead = node.node;

  node.node = nullptr;
  end_calls (node);
  rst_cell_node_destroy (dead);
  end_calls (node);
}

void
World::end_calls (Node &node)
{
  while (!node.calls.empty ())
    {
      auto lost = node.calls.begin ()->second;

      node.calls.erase (node.calls.begin ());
      lost ();
    }
}

Node *
World::planner ()
{
  for (auto &node : nodes)
    if (node->node != nullptr && rst_cell_node_has_term (node->node))
      return node.get ();
  return nullptr;
}

// ---- links; an even number is the opener's end, the odd one the other

uint64_t
World::connect (Node *from, const std::string &address)
{
  uint64_t end = 2 * next_link_++;
  Link &link = links_[end / 2];

  link.from = from;
  link.from_life = from != nullptr ? from->life : 0;
  if (from != nullptr)
    from->links.insert (end);
  at (world_now + link_delay, [this, end, address] { open (end, address); });
  return end;
}

void
World::open (uint64_t end, const std::string &address)
{
  auto found = links_.find (end / 2);

  if (found == links_.end ())
    return;
  Link &link = found->second;

  for (auto &node : nodes)
    if (node->address == address)
      link.to = node.get ();
  if (link.to != link.from && link.to != nullptr
      && (link.to->cut || (link.from != nullptr && link.from->cut)))
    {
      at (world_now + silent_after, [this, end] { close (end, false); });
      return;
    }
  if (link.to == nullptr || link.to->node == nullptr)
    {
      close (end, false);
      return;
    }
  link.to_life = link.to->life;
  link.to->links.insert (end + 1);
  link.open = true;
  if (link.from != nullptr)
    deliver (link.from, link.from_life, RST_NET_OPENED, end, "");
  else
    entry_opened ();
}

void
World::deliver (Node *node, uint64_t life, rst_net_event event, uint64_t end,
                const std::string &data)
{
  if (node == nullptr || node->life != life || node->node == nullptr)
    return;
  if (node->frozen_until > world_now)
    {
      at (node->frozen_until,
          [=, this] { deliver (node, life, event, end, data); });
      return;
    }
  rst_cell_node_handle_link_event (node->node, event, end, data.data (),
                                   data.size ());
  tick (*node);
}

void
World::close (uint64_t end, bool by_owner)
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
      entry_serving_ = false;
      for (auto &call : entry_calls_)
        call.second.sent = false;
    }
  for (uint64_t at_end : { from_end, from_end + 1 })
    {
      Node *node = at_end == from_end ? link.from : link.to;
      uint64_t life = at_end == from_end ? link.from_life : link.to_life;

      if (node == nullptr || node->life != life)
        continue;
      node->links.erase (at_end);
      if (by_owner && at_end == end)
        continue;
      at (world_now + link_delay,
          [=, this] { deliver (node, life, RST_NET_CLOSED, at_end, ""); });
    }
}

void
World::send (uint64_t end, const std::string &data)
{
  at (world_now + link_delay, [this, end, data] {
    auto found = links_.find (end / 2);

    if (found == links_.end () || !found->second.open)
      return;
    const Link &link = found->second;
    Node *to = end % 2 == 0 ? link.to : link.from;
    Node *from = end % 2 == 0 ? link.from : link.to;

    if (to != from
        && ((from != nullptr && from->cut) || (to != nullptr && to->cut)))
      return;
    if (to == nullptr)
      entry_frame (data);
    else
      deliver (to, end % 2 == 0 ? link.to_life : link.from_life, RST_NET_FRAME,
               end ^ 1, data);
  });
}

void
World::set_cut (Node &node, bool cut)
{
  node.cut = cut;
  if (!cut)
    return;
  for (uint64_t end : node.links)
    at (world_now + silent_after, [this, &node, end] {
      auto found = links_.find (end / 2);

      if (node.cut && found != links_.end ()
          && found->second.from != found->second.to)
        close (end, false);
    });
}

// ---- callers

void
World::entry_connect ()
{
  at (world_now + 100, [this] { entry_connect (); });
  auto found = store.find (RST_PLANNER_RECORD_KEY);
  rst_planner_record record;

  if (found == store.end ()
      || !rst_planner_record_read (&record, found->second.value.data (),
                                   found->second.value.size ()))
    return;
  if (entry_link_ != 0 && entry_epoch_ >= record.epoch)
    return;
  if (entry_link_ != 0)
    close (entry_link_, true);
  entry_epoch_ = record.epoch;
  entry_link_ = connect (nullptr, record.address);
}

void
World::entry_opened ()
{
  rst_pack pack;

  rst_pack_init (&pack, 4);
  rst_pack_int (&pack, RST_MSG_HELLO);
  rst_pack_int (&pack, RST_ROLE_ENTRY);
  rst_pack_text (&pack, "entry");
  rst_pack_text (&pack, "a");
  send (entry_link_, std::string (pack.buffer.data, pack.buffer.size));
  rst_pack_clear (&pack);
}

void
World::entry_send (uint64_t number)
{
  Call &call = entry_calls_[number];
  rst_pack pack;
  std::string path = (jobs[call.id].queue == "u" ? "/u/" : "/q/") + call.id;

  if (!entry_serving_ || call.sent)
    return;
  call.sent = true;
  rst_pack_init (&pack, call.desc != nullptr ? 7 : 6);
  rst_pack_int (&pack, RST_MSG_CALL);
  rst_pack_int (&pack, (int64_t)number);
  rst_pack_int (&pack, call.operation);
  rst_pack_text (&pack, "h");
  rst_pack_text (&pack, path.c_str ());
  rst_pack_text (&pack, "k");
  if (call.desc != nullptr)
    rst_jobdesc_pack (&pack, call.desc);
  send (entry_link_, std::string (pack.buffer.data, pack.buffer.size));
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
  return job.done.size () == tasks;
}

void
World::entry_frame (const std::string &data)
{
  msgpack_unpacked unpacked;
  rst_reader reader;

  rst_reader_open (&reader, &unpacked, data.data (), data.size ());
  int64_t kind = rst_reader_read_int (&reader);

  if (kind == RST_MSG_WELCOME)
    {
      rst_reader_read_int (&reader);
      entry_serving_ = rst_reader_read_int (&reader) != 0;
      for (auto &call : entry_calls_)
        entry_send (call.first);
    }
  else if (kind == RST_MSG_REPLY)
    {
      uint64_t number = (uint64_t)rst_reader_read_int (&reader);
      int64_t outcome = rst_reader_read_int (&reader);
      int64_t state = rst_reader_read_int (&reader);
      auto found = entry_calls_.find (number);

      if (found != entry_calls_.end ())
        {
          Call call = found->second;
          Job &job = jobs[call.id];

          entry_calls_.erase (found);
          rst_jobdesc_destroy (call.desc);
          if (call.operation == RST_OPERATION_SUBMIT
              && outcome == RST_OUTCOME_OK)
            job.accepted = true;
          if (call.operation == RST_OPERATION_CANCEL
              && outcome == RST_OUTCOME_OK && job.cancelled_at == 0)
            job.cancelled_at = world_now;
          if (job.accepted && outcome == RST_OUTCOME_NO_JOB)
            breach ("LOST " + call.id + " is not known");
          if (call.operation == RST_OPERATION_READ
              && outcome == RST_OUTCOME_STATE && state >= RST_JOB_COMPLETED)
            {
              if (shown_over_.insert (call.id).second
                  && state == RST_JOB_COMPLETED)
                completed_++;
              if (state == RST_JOB_COMPLETED && !all_done (job))
                breach ("MIXED " + call.id + " is shown as "
                        + state_names[state]);
              if (state == RST_JOB_FAILED && !job.over)
                breach ("LOST " + call.id + " is shown as failed");
            }
        }
    }
  msgpack_unpacked_destroy (&unpacked);
}

void
World::call (const std::string &id, rst_operation operation, rst_jobdesc *desc)
{
  uint64_t number = next_number_++;

  entry_calls_[number] = Call{ id, operation, desc, false };
  entry_send (number);
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
  call (id, RST_OPERATION_SUBMIT, rst_jobdesc_read (&reader));
  msgpack_unpacked_destroy (&unpacked);
  rst_pack_clear (&pack);
}

void
World::cancel (const std::string &id)
{
  call (id, RST_OPERATION_CANCEL, nullptr);
}

void
World::read (const std::string &id)
{
  call (id, RST_OPERATION_READ, nullptr);
}

int
World::known_over (const std::string &id) const
{
  return (int)shown_over_.count (id);
}

} // namespace cell
