#include "world.h"

#include <algorithm>
#include <chrono>
#include <cstring>

#include <sodium.h>

extern "C"
{
#include "state/json.h"
#include "state/settings.h"
}

namespace fuzz
{

namespace
{

constexpr ms STORE_TIMEOUT_MS = 1000;
constexpr ms INSTANCE_TIMEOUT_MS = 900;
constexpr ms SILENT_LINK_TIMEOUT_MS = 2500;
constexpr ms MAX_STORE_DELAY_MS = 4000;
constexpr ms MAX_INSTANCE_DELAY_MS = 700;

/* Identifies a request to its entry; the number of a job call is negative. */
struct RequestHandle
{
  World *world;
  int request;
};

rst_ms
get_node_time (void *userdata)
{
  Node *node = static_cast<Node *> (userdata);

  return node->world->node_time (node);
}

Node *
get_node (void *userdata)
{
  return static_cast<Node *> (userdata);
}

/* External systems, as struct rst_platform calls them */

void
fake_store_get (void *u, const char *key, rst_platform_done done, void *data)
{
  World *w = get_node (u)->world;
  std::string k = key;

  w->store_reads++;
  w->call (
      get_node (u), "", true, STORE_TIMEOUT_MS,
      [w, k] (std::function<void (Reply)>, bool *) {
        return w->store_get (k);
      },
      done, data);
}

void
fake_store_list (void *u, const char *prefix, rst_platform_done done,
                 void *data)
{
  World *w = get_node (u)->world;
  std::string p = prefix;

  w->store_reads++;
  w->call (
      get_node (u), "", true, STORE_TIMEOUT_MS,
      [w, p] (std::function<void (Reply)>, bool *) {
        return w->store_list (p);
      },
      done, data);
}

void
fake_store_put (void *u, const char *key, const char *value, int64_t expected,
                uint64_t lease, rst_platform_done done, void *data)
{
  World *w = get_node (u)->world;
  std::string k = key;
  std::string v = value;

  w->store_writes++;
  w->call (
      get_node (u), "", true, STORE_TIMEOUT_MS,
      [=] (std::function<void (Reply)>, bool *) {
        return w->store_put (k, v, expected, lease);
      },
      done, data);
}

void
fake_store_delete (void *u, const char *key, int64_t expected,
                   rst_platform_done done, void *data)
{
  World *w = get_node (u)->world;
  std::string k = key;

  w->store_writes++;
  w->call (
      get_node (u), "", true, STORE_TIMEOUT_MS,
      [=] (std::function<void (Reply)>, bool *) {
        return w->store_delete (k, expected);
      },
      done, data);
}

void
fake_store_watch (void *u, const char *prefix, uint64_t after, rst_ms wait,
                  rst_platform_done done, void *data)
{
  World *w = get_node (u)->world;
  std::string p = prefix;

  w->store_reads++;
  w->call (
      get_node (u), "", true, STORE_TIMEOUT_MS + wait,
      [=] (std::function<void (Reply)> send_reply, bool *replies_later) {
        Reply reply = w->store_changes_after (p, after);

        if (!reply.kvs.empty ())
          return reply;
        *replies_later = true;
        w->store_watches.push_back ({ p, after, send_reply });
        w->schedule (wait,
                     [=] { send_reply (w->store_changes_after (p, after)); });
        return reply;
      },
      done, data);
}

void
fake_lease_grant (void *u, rst_ms ttl, rst_platform_done done, void *data)
{
  World *w = get_node (u)->world;

  w->store_writes++;
  w->call (
      get_node (u), "", true, STORE_TIMEOUT_MS,
      [=] (std::function<void (Reply)>, bool *) {
        Reply reply;

        reply.revision = w->next_lease_id++;
        w->store_leases[reply.revision] = { ttl, w->now + ttl };
        return reply;
      },
      done, data);
}

void
fake_lease_renew (void *u, uint64_t lease, rst_platform_done done, void *data)
{
  World *w = get_node (u)->world;

  w->store_writes++;
  w->call (
      get_node (u), "", true, STORE_TIMEOUT_MS,
      [=] (std::function<void (Reply)>, bool *) {
        Reply reply;
        auto found = w->store_leases.find (lease);

        reply.revision = lease;
        if (found == w->store_leases.end ())
          reply.result = RST_PLATFORM_NOT_FOUND;
        else
          found->second.expires_at = w->now + found->second.ttl;
        return reply;
      },
      done, data);
}

void
fake_lease_revoke (void *u, uint64_t lease, rst_platform_done done, void *data)
{
  World *w = get_node (u)->world;

  w->store_writes++;
  w->call (
      get_node (u), "", true, STORE_TIMEOUT_MS,
      [=] (std::function<void (Reply)>, bool *) {
        auto found = w->store_leases.find (lease);

        if (found != w->store_leases.end ())
          found->second.expires_at = w->now;
        return Reply ();
      },
      done, data);
}

void
fake_instance_list_fetch (void *u, uint64_t after, rst_platform_done done,
                          void *data)
{
  World *w = get_node (u)->world;
  uint64_t listed = w->instance_list_revision;
  std::vector<struct rst_instance_info> infos;

  for (int i = 0; i < w->instance_count (); i++)
    infos.push_back (w->instance (i).info);
  w->call (
      get_node (u), "", true, STORE_TIMEOUT_MS,
      [=] (std::function<void (Reply)>, bool *) {
        Reply reply;

        reply.revision = listed;
        if (after != listed)
          reply.instances = infos;
        return reply;
      },
      done, data);
}

Reply
make_fenced_reply ()
{
  Reply reply;

  reply.result = RST_PLATFORM_FENCED;
  return reply;
}

Reply
make_rejected_reply ()
{
  Reply reply;

  reply.result = RST_PLATFORM_REJECTED;
  reply.status = 503;
  return reply;
}

/* Returns the request's number from the "n" of its body, or -1. */
int
parse_request_number (const std::string &body)
{
  size_t at = body.find ("\"n\":");

  return at == std::string::npos ? -1 : atoi (body.c_str () + at + 4);
}

ms
parse_run_ms (const std::string &body)
{
  size_t at = body.find ("\"ms\":");

  return at == std::string::npos ? 5 : atoi (body.c_str () + at + 5);
}

void
fake_query_run (void *u, const char *address,
                const struct rst_query_request *query, rst_platform_done done,
                void *data)
{
  Node *node = get_node (u);
  World *w = node->world;
  FakeInstance *instance = w->find_instance (address);
  std::string body (query->body, query->length);
  std::string team = query->team;
  std::string id = query->id;
  uint64_t epoch = query->epoch;
  ms deadline = query->deadline_ms;

  w->call (
      node, instance->info.zone, false, deadline,
      [=] (std::function<void (Reply)> send_reply, bool *replies_later) {
        static uint64_t number = 0;
        int request = parse_request_number (body);
        ms run_ms = std::min (parse_run_ms (body), deadline);
        uint64_t slot = ++number;

        if (epoch < instance->epoch)
          return make_fenced_reply ();
        instance->epoch = epoch;
        if (instance->failing)
          return make_rejected_reply ();
        instance->query_runs[slot] = { request, id, team };
        w->oracle.record_run_start (instance->info.name, request, team,
                                    w->now);
        *replies_later = true;
        w->schedule (run_ms, [=] {
          Reply reply;

          instance->query_runs.erase (slot);
          w->oracle.record_run_end (instance->info.name, team);
          reply.body = "{\"n\":" + std::to_string (request) + "}";
          send_reply (reply);
        });
        return Reply ();
      },
      done, data);
}

void
append_runs (FakeInstance *instance, Reply *reply)
{
  for (const auto &run : instance->query_runs)
    {
      struct rst_run_info info = {};

      g_strlcpy (info.id, run.second.id.c_str (), sizeof info.id);
      g_strlcpy (info.team, run.second.team.c_str (), sizeof info.team);
      info.result = RST_TASK_RUNNING;
      reply->runs.push_back (info);
    }
  for (const auto &task : instance->tasks)
    reply->runs.push_back (task.second.info);
}

void
fake_instance_inspect (void *u, const char *address, uint64_t epoch,
                       rst_platform_done done, void *data)
{
  Node *node = get_node (u);
  FakeInstance *instance = node->world->find_instance (address);

  node->world->call (
      node, instance->info.zone, false, INSTANCE_TIMEOUT_MS,
      [=] (std::function<void (Reply)>, bool *) {
        Reply reply;

        if (epoch < instance->epoch)
          return make_fenced_reply ();
        instance->epoch = epoch;
        append_runs (instance, &reply);
        return reply;
      },
      done, data);
}

Capacity
get_task_needs (const struct rst_run_info &info)
{
  Capacity needs;

  needs.cpu = info.cpu;
  needs.memory = info.memory_mb;
  needs.accelerators = info.accelerators;
  return needs;
}

std::string
format_task_name (const struct rst_run_info &info)
{
  return std::string (info.job) + "." + std::to_string (info.index);
}

void
fake_task_start (void *u, const char *address, uint64_t epoch,
                 const struct rst_run_info *task, rst_ms lease,
                 rst_ms not_after, rst_platform_done done, void *data)
{
  Node *node = get_node (u);
  World *w = node->world;
  FakeInstance *instance = w->find_instance (address);
  struct rst_run_info info = *task;

  if (w->node_time (node) >= not_after)
    {
      w->call (
          node, instance->info.zone, false, 1,
          [] (std::function<void (Reply)>, bool *) {
            Reply reply;

            reply.result = RST_PLATFORM_NOT_SENT;
            return reply;
          },
          done, data);
      return;
    }
  w->call (
      node, instance->info.zone, false, INSTANCE_TIMEOUT_MS,
      [=] (std::function<void (Reply)>, bool *) {
        FakeTask fake;
        Reply rejection;

        if (epoch < instance->epoch)
          return make_fenced_reply ();
        instance->epoch = epoch;
        rejection.result = RST_PLATFORM_REJECTED;
        if (instance->tombstones.count (info.id) > 0)
          return rejection;
        if (instance->tasks.count (info.id) > 0)
          return Reply ();
        fake.info = info;
        fake.info.result = RST_TASK_RUNNING;
        fake.run_once = strstr (info.job, "once") != nullptr;
        fake.ends_at = info.run_ms > 0 ? w->now + info.run_ms : INT64_MAX;
        if (instance->failing)
          fake.ends_at = w->now + 5;
        fake.lease_expires_at = w->now + lease;
        instance->tasks[info.id] = fake;
        w->oracle.record_task_start (
            instance->info.name, info.team, format_task_name (info),
            get_task_needs (info), fake.run_once, w->now);
        return Reply ();
      },
      done, data);
}

void
fake_task_renew (void *u, const char *address, uint64_t epoch, rst_ms lease,
                 const char *const *seen, rst_platform_done done, void *data)
{
  Node *node = get_node (u);
  World *w = node->world;
  FakeInstance *instance = w->find_instance (address);
  std::vector<std::string> ids;

  for (int i = 0; seen[i] != nullptr; i++)
    ids.push_back (seen[i]);
  w->call (
      node, instance->info.zone, false, INSTANCE_TIMEOUT_MS,
      [=] (std::function<void (Reply)>, bool *) {
        Reply reply;

        if (epoch < instance->epoch)
          return make_fenced_reply ();
        instance->epoch = epoch;
        for (const auto &id : ids)
          if (instance->tasks.count (id) > 0 && !instance->tasks[id].running)
            instance->tasks.erase (id);
        for (auto &task : instance->tasks)
          task.second.lease_expires_at = w->now + lease;
        append_runs (instance, &reply);
        return reply;
      },
      done, data);
}

void
fake_task_stop (void *u, const char *address, uint64_t epoch, const char *id,
                bool checkpoint, rst_platform_done done, void *data)
{
  Node *node = get_node (u);
  World *w = node->world;
  FakeInstance *instance = w->find_instance (address);
  std::string name = id;

  w->call (
      node, instance->info.zone, false, INSTANCE_TIMEOUT_MS,
      [=] (std::function<void (Reply)>, bool *) {
        Reply reply;
        auto found = instance->tasks.find (name);

        if (epoch < instance->epoch)
          return make_fenced_reply ();
        instance->epoch = epoch;
        if (found == instance->tasks.end ())
          {
            instance->tombstones.insert (name);
            reply.result = RST_PLATFORM_NOT_FOUND;
            return reply;
          }
        if (found->second.running)
          w->end_task (*instance, found->second,
                       checkpoint ? RST_TASK_MOVED : RST_TASK_STOPPED);
        reply.runs.push_back (found->second.info);
        return reply;
      },
      done, data);
}

const struct rst_platform platform
    = { fake_store_get,    fake_store_list,       fake_store_put,
        fake_store_delete, fake_store_watch,      fake_lease_grant,
        fake_lease_renew,  fake_lease_revoke,     fake_instance_list_fetch,
        fake_query_run,    fake_instance_inspect, fake_task_start,
        fake_task_renew,   fake_task_stop };

uint64_t
link_connect (void *u, const char *address)
{
  return get_node (u)->world->connect (get_node (u), address);
}

bool
link_send (void *u, uint64_t link, const struct rst_message *message)
{
  return get_node (u)->world->send (get_node (u), link, message);
}

void
link_close (void *u, uint64_t link)
{
  get_node (u)->world->close (get_node (u), link);
}

const struct rst_link_ops links = { link_connect, link_send, link_close };

void
handle_entry_reply (void *handle, const struct rst_entry_reply *reply)
{
  RequestHandle *h = static_cast<RequestHandle *> (handle);

  h->world->handle_reply (h->request, reply);
  delete h;
}

}

/* Events */

void
World::schedule (ms delay, std::function<void ()> action)
{
  events_.push ({ now + delay, ++last_event_sequence_, std::move (action) });
}

void
World::advance (ms duration)
{
  ms until = now + duration;

  while (!events_.empty () && events_.top ().due_at <= until)
    {
      Event event = events_.top ();

      events_.pop ();
      now = event.due_at;
      event.action ();
    }
  now = until;
}

int
World::random_below (int bound)
{
  return bound > 0 ? (int)(random () % (uint64_t)bound) : 0;
}

bool
World::random_chance (int permille)
{
  return random_below (1000) < permille;
}

ms
World::node_time (const Node *node) const
{
  return 1000 + (ms)((double)(now - node->started_at) * node->clock_rate);
}

std::string
World::zone_name (int zone) const
{
  return "z" + std::to_string (zone + 1);
}

std::string
World::team_name (int team) const
{
  return "team" + std::to_string (team);
}

int
World::zone_index (const std::string &zone) const
{
  return zone.empty () ? -1 : atoi (zone.c_str () + 1) - 1;
}

/* Processes */

/* Calls into a state machine and adds the time that the call takes. */
void
World::run_timed (const std::function<void ()> &action)
{
  auto before = std::chrono::steady_clock::now ();

  action ();
  state_machine_ns += std::chrono::duration_cast<std::chrono::nanoseconds> (
                          std::chrono::steady_clock::now () - before)
                          .count ();
}

/* Runs an action on a process: when it is resumed if it is paused, and not at
   all if it has ended or was restarted. */
void
World::run_on_node (Node *node, int incarnation, std::function<void ()> action)
{
  if (node->incarnation != incarnation || !node->is_alive ())
    return;
  if (node->paused)
    node->deferred_actions.push_back (std::move (action));
  else
    run_timed (action);
}

void
World::report_settings (Node *node)
{
  struct Context
  {
    World *world;
    Node *node;
  } context = { this, node };
  const struct rst_settings *settings
      = node->is_entry ? rst_entry_get_settings (node->entry)
                       : rst_scheduler_get_settings (node->scheduler);

  rst_settings_visit_branches (
      settings,
      [] (const char *key, uint64_t revision, const char *, void *userdata) {
        Context *c = static_cast<Context *> (userdata);

        c->world->oracle.record_setting_in_force (c->node->name, key, revision,
                                                  c->world->now);
      },
      &context);
}

void
World::tick_node (Node *node)
{
  int incarnation = node->incarnation;

  if (!node->is_alive ())
    return;
  if (!node->paused)
    {
      run_timed ([node] {
        if (node->is_entry)
          rst_entry_tick (node->entry);
        else
          rst_scheduler_tick (node->scheduler);
      });
      if (node->scheduler != nullptr
          && rst_scheduler_is_stopped (node->scheduler))
        {
          oracle.record_stop_end (node->name, now);
          node->stopping = false;
          crash (node);
          schedule (500, [this, node] { restart (node); });
          return;
        }
    }
  schedule (cluster.tick_ms, [this, node, incarnation] {
    if (node->incarnation == incarnation)
      tick_node (node);
  });
}

void
World::start_node (Node *node)
{
  set_fault_active ("down " + node->name, false);
  node->incarnation++;
  node->started_at = now - 1000 * random_below (50);
  node->clock_rate = 0.99 + 0.02 * (double)random_below (100) / 100;
  node->paused = false;
  if (node->is_entry)
    {
      struct rst_entry_config config = {};

      g_strlcpy (config.name, node->name.c_str (), RST_NAME_SIZE);
      g_strlcpy (config.zone, node->zone.c_str (), RST_NAME_SIZE);
      g_strlcpy (config.address, node->address.c_str (), RST_ADDRESS_SIZE);
      config.clock = { get_node_time, node };
      config.seed = random ();
      config.max_pending = 10000;
      node->entry
          = rst_entry_create (&config, &links, node, handle_entry_reply);
      for (int i = 0; i < scheduler_count (); i++)
        if (nodes_[i]->zone == node->zone)
          rst_entry_add_seed_address (node->entry,
                                      nodes_[i]->address.c_str ());
    }
  else
    {
      struct rst_scheduler_config config = {};

      g_strlcpy (config.name, node->name.c_str (), RST_NAME_SIZE);
      g_strlcpy (config.zone, node->zone.c_str (), RST_NAME_SIZE);
      g_strlcpy (config.address, node->address.c_str (), RST_ADDRESS_SIZE);
      config.tenure = { 4500, 300, 3000, 5000 };
      config.task_lease_ms = 6000;
      config.list_interval_ms = 500;
      config.clock = { get_node_time, node };
      config.seed = random ();
      node->scheduler
          = rst_scheduler_create (&config, &platform, node, &links, node);
      for (int i = 0; i < scheduler_count (); i++)
        if (nodes_[i].get () != node && nodes_[i]->zone == node->zone)
          rst_scheduler_add_seed_address (node->scheduler,
                                          nodes_[i]->address.c_str ());
    }
  tick_node (node);
}

void
World::crash (Node *node)
{
  if (!node->is_alive ())
    return;
  node->stopping = false;
  if (node->paused)
    resume (node);
  set_fault_active ("down " + node->name, true);
  node->crashing = true;
  for (auto &link : links_)
    for (int side = 0; side < 2; side++)
      if (link.second->node[side] == node && link.second->open)
        close_link (link.second, 1 + random_below (3));
  node->incarnation++;
  while (!node->pending_calls.empty ())
    {
      auto first = node->pending_calls.begin ();
      auto end_call = first->second;
      Reply reply;

      reply.result = RST_PLATFORM_UNKNOWN;
      node->pending_calls.erase (first);
      end_call (reply);
    }
  if (node->is_entry)
    rst_entry_destroy (node->entry);
  else
    rst_scheduler_destroy (node->scheduler);
  node->entry = nullptr;
  node->scheduler = nullptr;
  node->deferred_actions.clear ();
  node->crashing = false;
  oracle.record_process_end (node->name);
}

void
World::restart (Node *node)
{
  if (!node->is_alive ())
    start_node (node);
}

void
World::pause (Node *node)
{
  if (!node->is_alive () || node->paused)
    return;
  node->paused = true;
  oracle.record_stop_end (node->name, now);
  set_fault_active ("pause " + node->name, true);
}

void
World::resume (Node *node)
{
  std::vector<std::function<void ()> > actions;

  if (!node->paused)
    return;
  node->paused = false;
  set_fault_active ("pause " + node->name, false);
  actions.swap (node->deferred_actions);
  for (auto &action : actions)
    action ();
  /* The time bound of a stop doesn't include a pause. */
  if (node->stopping && node->is_alive ())
    oracle.record_stop_request (node->name, now);
}

void
World::stop (Node *node)
{
  if (!node->is_alive () || node->is_entry || node->stopping || node->paused)
    return;
  node->stopping = true;
  oracle.record_stop_request (node->name, now);
  rst_scheduler_begin_stop (node->scheduler);
}

/* Links */

bool
World::are_zones_cut (const std::string &a, const std::string &b) const
{
  int x = zone_index (a);
  int y = zone_index (b);

  return zone_pairs_cut_.count ({ std::min (x, y), std::max (x, y) }) > 0;
}

uint64_t
World::connect (Node *from, const std::string &address)
{
  auto link = std::make_shared<Link> ();
  Node *to = nullptr;

  if (from->crashing)
    return 0;
  for (auto &node : nodes_)
    if (node->address == address && node->is_alive ())
      to = node.get ();
  link->node[0] = from;
  link->node[1] = to;
  link->incarnation[0] = from->incarnation;
  link->incarnation[1] = to != nullptr ? to->incarnation : 0;
  link->id[0] = ++next_link_;
  link->id[1] = ++next_link_;
  if (to == nullptr || are_zones_cut (from->zone, to->zone))
    {
      uint64_t id = link->id[0];
      int incarnation = from->incarnation;

      schedule (to == nullptr ? 2 : 1000, [=] {
        run_on_node (from, incarnation, [=] {
          if (from->is_entry)
            rst_entry_handle_link_closed (from->entry, id);
          else
            rst_scheduler_handle_link_closed (from->scheduler, id);
        });
      });
      return id;
    }
  links_[link->id[0]] = link;
  links_[link->id[1]] = link;
  schedule (1 + random_below (3), [this, link] {
    link->open = true;
    for (int side = 1; side >= 0; side--)
      {
        Node *node = link->node[side];
        uint64_t id = link->id[side];

        run_on_node (node, link->incarnation[side], [node, id] {
          if (node->is_entry)
            rst_entry_handle_link_opened (node->entry, id);
          else
            rst_scheduler_handle_link_opened (node->scheduler, id);
        });
      }
    /* An end has crashed or was restarted while the link was opened. */
    for (int side = 0; side < 2; side++)
      if (link->node[side]->incarnation != link->incarnation[side])
        close_link (link, 1);
  });
  return link->id[0];
}

void
World::close_link (std::shared_ptr<Link> link, ms delay)
{
  if (link->closing)
    return;
  link->closing = true;
  schedule (delay, [this, link] {
    link->open = false;
    for (int side = 0; side < 2; side++)
      {
        Node *node = link->node[side];
        uint64_t id = link->id[side];

        links_.erase (id);
        run_on_node (node, link->incarnation[side], [node, id] {
          if (node->is_entry)
            rst_entry_handle_link_closed (node->entry, id);
          else
            rst_scheduler_handle_link_closed (node->scheduler, id);
        });
      }
  });
}

void
World::close (Node *from, uint64_t id)
{
  auto found = links_.find (id);

  (void)from;
  if (found != links_.end ())
    close_link (found->second, 1);
}

/* Returns whether a message may arrive again later.  Those about requests,
   jobs and tasks may; the others rely on the order of their TCP connection. */
static bool
may_be_duplicated (uint64_t type)
{
  return type == RST_QUERY || type == RST_ANSWER || type >= RST_JOB_CALL;
}

bool
World::send (Node *from, uint64_t id, const struct rst_message *message)
{
  auto found = links_.find (id);
  std::shared_ptr<Link> link;
  int to;
  int copies = 1;

  if (found == links_.end () || from->crashing)
    return false;
  link = found->second;
  messages++;
  if (count_bytes)
    {
      struct rst_blob frame;

      if (rst_message_encode (message, &frame) == RST_PROTOCOL_OK)
        message_bytes += (int64_t)frame.length + 4;
      rst_blob_free (&frame);
    }
  to = link->id[0] == id ? 1 : 0;
  if (link->silent || are_zones_cut (link->node[0]->zone, link->node[1]->zone))
    {
      close_link (link, SILENT_LINK_TIMEOUT_MS);
      return true;
    }
  if (link->node[to]->paused)
    close_link (link, SILENT_LINK_TIMEOUT_MS);
  if (may_be_duplicated (message->type)
      && random_chance (call_faults.duplicate_permille))
    copies = 2;
  for (int i = 0; i < copies; i++)
    {
      std::shared_ptr<struct rst_message> copy (
          new struct rst_message (), [] (struct rst_message *owned) {
            rst_message_clear (owned);
            delete owned;
          });
      ms delay = 1 + random_below (3) + (i > 0 ? random_below (200) : 0);
      ms due = now + delay;

      rst_message_copy (message, copy.get ());
      if (i == 0)
        {
          due = std::max (due, link->last_delivery[to]);
          link->last_delivery[to] = due;
        }
      schedule (due - now, [this, link, to, copy] {
        Node *node = link->node[to];
        uint64_t here = link->id[to];

        if (!link->open)
          return;
        run_on_node (node, link->incarnation[to], [node, here, copy] {
          if (node->is_entry)
            rst_entry_handle_message (node->entry, here, copy.get ());
          else
            rst_scheduler_handle_message (node->scheduler, here, copy.get ());
        });
      });
    }
  return true;
}

/* Calls to external systems */

static void
complete_platform_call (rst_platform_done done, void *data, const Reply &reply,
                        ms sent_at)
{
  struct rst_platform_reply out = {};
  std::vector<struct rst_kv> kvs (reply.kvs.size ());
  Reply copy = reply;

  for (size_t i = 0; i < reply.kvs.size (); i++)
    {
      kvs[i].key = (char *)copy.kvs[i].first.c_str ();
      kvs[i].value = (char *)copy.kvs[i].second.c_str ();
      kvs[i].revision = copy.revisions[i];
      kvs[i].deleted = copy.deleted[i];
    }
  out.result = reply.result;
  out.status = reply.status;
  out.revision = reply.revision;
  out.sent_at = sent_at;
  out.kvs = kvs.data ();
  out.kv_count = (int)kvs.size ();
  out.instances = copy.instances.data ();
  out.instance_count = (int)copy.instances.size ();
  out.runs = copy.runs.data ();
  out.run_count = (int)copy.runs.size ();
  out.body = copy.body.c_str ();
  out.length = copy.body.size ();
  done (&out, data);
}

void
World::call (
    Node *from, const std::string &zone, bool store, ms timeout,
    std::function<Reply (std::function<void (Reply)>, bool *)> execute,
    rst_platform_done done, void *data)
{
  uint64_t number = next_call_++;
  int incarnation = from->incarnation;
  ms sent_at = node_time (from);
  bool cut = store ? zones_cut_from_store_.count (zone_index (from->zone)) > 0
                         || from->cut_from_store
                   : are_zones_cut (from->zone, zone);
  bool slow = random_chance (call_faults.slow_call_permille);
  ms request_delay = 1 + random_below (3);
  ms reply_delay = 1 + random_below (3);
  bool reply_is_lost = random_chance (call_faults.lose_reply_permille);

  if (slow)
    request_delay += random_below (
        (int)(store ? MAX_STORE_DELAY_MS : MAX_INSTANCE_DELAY_MS));
  bool sender_is_crashing = from->crashing;

  from->pending_calls[number] = [=] (const Reply &reply) {
    Reply result = reply;

    if (sender_is_crashing)
      result.result = RST_PLATFORM_NOT_SENT;
    complete_platform_call (done, data, result, sent_at);
  };
  auto complete = [=] (Reply reply) {
    run_on_node (from, incarnation, [=] {
      auto found = from->pending_calls.find (number);

      if (found == from->pending_calls.end ())
        return;
      auto end_call = found->second;

      from->pending_calls.erase (found);
      end_call (reply);
    });
  };
  Reply failed;

  failed.status = 0;
  failed.result = from->crashing               ? RST_PLATFORM_NOT_SENT
                  : cut && random_chance (500) ? RST_PLATFORM_NOT_SENT
                                               : RST_PLATFORM_UNKNOWN;
  if (from->crashing)
    {
      /* A crashing process sends nothing; crash() completes the call. */
      return;
    }
  if (cut)
    {
      schedule (timeout > 2000 ? 2000 : timeout, [=] { complete (failed); });
      return;
    }
  schedule (timeout, [=] {
    Reply unknown;

    unknown.result = RST_PLATFORM_UNKNOWN;
    unknown.status = 0;
    complete (unknown);
  });
  schedule (request_delay, [=] {
    bool replies_later = false;
    auto send_reply = [=] (Reply reply) {
      if (!reply_is_lost)
        schedule (reply_delay, [=] { complete (reply); });
    };

    if (store && call_faults.store_is_down)
      return;
    Reply reply = execute (send_reply, &replies_later);

    if (!replies_later)
      send_reply (reply);
  });
}

/* Store */

Reply
World::store_changes_after (const std::string &prefix, uint64_t after)
{
  Reply reply;

  reply.revision = store_revision;
  for (size_t i = store_changes.size (); i > 0; i--)
    {
      const Change &change = store_changes[i - 1];

      if (change.revision <= after)
        break;
      if (change.key.compare (0, prefix.size (), prefix) != 0)
        continue;
      reply.kvs.push_back ({ change.key, change.value });
      reply.revisions.push_back (change.revision);
      reply.deleted.push_back (change.deleted);
    }
  std::reverse (reply.kvs.begin (), reply.kvs.end ());
  std::reverse (reply.revisions.begin (), reply.revisions.end ());
  std::reverse (reply.deleted.begin (), reply.deleted.end ());
  return reply;
}

void
World::notify_watches (const std::string &key)
{
  std::vector<Watch> due;

  for (size_t i = 0; i < store_watches.size ();)
    if (key.compare (0, store_watches[i].prefix.size (),
                     store_watches[i].prefix)
        == 0)
      {
        due.push_back (store_watches[i]);
        store_watches.erase (store_watches.begin () + (long)i);
      }
    else
      i++;
  for (auto &watch : due)
    watch.send_reply (store_changes_after (watch.prefix, watch.after));
}

Reply
World::store_put (const std::string &key, const std::string &value,
                  int64_t expected, uint64_t lease)
{
  auto found = store_values.find (key);
  uint64_t current = found != store_values.end () ? found->second.revision : 0;
  Reply reply;

  if (lease != 0 && store_leases.count (lease) == 0)
    {
      reply.result = RST_PLATFORM_NOT_FOUND;
      return reply;
    }
  if (expected >= 0 && (uint64_t)expected != current)
    {
      reply.result = RST_PLATFORM_CONFLICT;
      reply.revision = current;
      return reply;
    }
  store_values[key] = { value, ++store_revision, lease };
  store_changes.push_back ({ key, value, store_revision, false });
  reply.revision = store_revision;
  notify_watches (key);
  return reply;
}

Reply
World::store_delete (const std::string &key, int64_t expected)
{
  auto found = store_values.find (key);
  Reply reply;

  if (found == store_values.end ())
    reply.result = RST_PLATFORM_NOT_FOUND;
  else if (expected >= 0 && (uint64_t)expected != found->second.revision)
    reply.result = RST_PLATFORM_CONFLICT;
  else
    {
      store_values.erase (found);
      store_changes.push_back ({ key, "", ++store_revision, true });
      reply.revision = store_revision;
      notify_watches (key);
    }
  return reply;
}

Reply
World::store_get (const std::string &key)
{
  auto found = store_values.find (key);
  Reply reply;

  if (found == store_values.end ())
    {
      reply.result = RST_PLATFORM_NOT_FOUND;
      return reply;
    }
  reply.kvs.push_back ({ key, found->second.value });
  reply.revisions.push_back (found->second.revision);
  reply.deleted.push_back (false);
  return reply;
}

Reply
World::store_list (const std::string &prefix)
{
  Reply reply;

  reply.revision = store_revision;
  for (const auto &value : store_values)
    if (value.first.compare (0, prefix.size (), prefix) == 0)
      {
        reply.kvs.push_back ({ value.first, value.second.value });
        reply.revisions.push_back (value.second.revision);
        reply.deleted.push_back (false);
      }
  return reply;
}

/* Instances */

void
World::end_task (FakeInstance &instance, FakeTask &task, int64_t result)
{
  task.running = false;
  task.info.result = result;
  oracle.record_task_end (
      instance.info.name, task.info.team, format_task_name (task.info),
      get_task_needs (task.info), result == RST_TASK_MOVED);
}

/* Ends expired leases of the store, tasks with an expired lease and tasks that
   have run their time. */
void
World::expire_leases_and_tasks ()
{
  for (auto lease = store_leases.begin (); lease != store_leases.end ();)
    {
      uint64_t id = lease->first;

      if (now < lease->second.expires_at)
        {
          ++lease;
          continue;
        }
      lease = store_leases.erase (lease);
      std::vector<std::string> keys;

      for (const auto &value : store_values)
        if (value.second.lease == id)
          keys.push_back (value.first);
      for (const auto &key : keys)
        store_delete (key, -1);
    }
  for (auto *instance : instances_)
    for (auto task = instance->tasks.begin (); task != instance->tasks.end ();)
      {
        FakeTask &fake = task->second;

        if (fake.running && now >= fake.lease_expires_at)
          {
            end_task (*instance, fake, RST_TASK_LOST);
            task = instance->tasks.erase (task);
            continue;
          }
        if (fake.running && now >= fake.ends_at)
          end_task (*instance, fake,
                    instance->failing ? RST_TASK_FAILED : RST_TASK_DONE);
        ++task;
      }
  schedule (10, [this] { expire_leases_and_tasks (); });
}

FakeInstance *
World::find_instance (const std::string &address)
{
  return instances_by_address_[address].get ();
}

/* Faults */

void
World::set_fault_active (const std::string &name, bool active)
{
  if (active && active_faults_.insert (name).second)
    oracle.begin_fault (now);
  else if (!active && active_faults_.erase (name) > 0)
    oracle.end_fault (now);
}

void
World::cut_zones (int a, int b, bool cut)
{
  std::pair<int, int> pair = { std::min (a, b), std::max (a, b) };

  if (a == b)
    return;
  if (cut)
    zone_pairs_cut_.insert (pair);
  else
    zone_pairs_cut_.erase (pair);
  set_fault_active ("cut " + std::to_string (pair.first)
                        + std::to_string (pair.second),
                    cut);
}

void
World::cut_store (int zone, bool cut)
{
  if (cut)
    zones_cut_from_store_.insert (zone);
  else
    zones_cut_from_store_.erase (zone);
  set_fault_active ("store-cut " + std::to_string (zone), cut);
}

void
World::make_link_silent (uint64_t which)
{
  if (links_.empty ())
    return;
  auto found = links_.begin ();

  std::advance (found, (long)(which % links_.size ()));
  found->second->silent = true;
  set_fault_active ("silent", true);
  schedule (SILENT_LINK_TIMEOUT_MS + 100,
            [this] { set_fault_active ("silent", false); });
}

void
World::set_store_down (bool down)
{
  call_faults.store_is_down = down;
  set_fault_active ("store-down", down);
}

void
World::set_fault_rates (int lose_reply_permille, int slow_call_permille,
                        int duplicate_permille)
{
  call_faults.lose_reply_permille = lose_reply_permille;
  call_faults.slow_call_permille = slow_call_permille;
  call_faults.duplicate_permille = duplicate_permille;
  set_fault_active (
      "call-faults",
      lose_reply_permille + slow_call_permille + duplicate_permille > 0);
}

void
World::heal_faults ()
{
  for (int a = 0; a < cluster.zones; a++)
    {
      cut_store (a, false);
      for (int b = a + 1; b < cluster.zones; b++)
        cut_zones (a, b, false);
    }
  set_store_down (false);
  set_fault_rates (0, 0, 0);
  for (auto &node : nodes_)
    {
      resume (node.get ());
      restart (node.get ());
    }
}

void
World::heal_all ()
{
  heal_faults ();
  for (int i = 0; i < instance_count (); i++)
    {
      set_instance_failing (i, false);
      set_instance_leaving (i, false);
    }
}

/* Restarts an instance: its tasks are lost without a result. */
void
World::reboot_instance (int index)
{
  FakeInstance *instance = instances_[index % (int)instances_.size ()];

  for (auto &task : instance->tasks)
    if (task.second.running)
      end_task (*instance, task.second, RST_TASK_LOST);
  instance->tasks.clear ();
}

/* Operators */

bool
World::put_setting (const std::string &key, const std::string &value)
{
  Reply reply;

  if (call_faults.store_is_down)
    return false;
  reply = store_put (key, value, -1, 0);
  oracle.record_stored_setting (key, reply.revision, now);
  return true;
}

void
World::write_team_settings (int team, int64_t limit)
{
  std::string name = team_name (team);
  std::string id = "k" + std::to_string (key_versions_[team]);
  unsigned char secret[32];
  char key[256];
  struct rst_team_key stored;
  struct rst_team settings = {};
  char *text;

  memset (secret, team * 16 + key_versions_[team], sizeof secret);
  rst_team_key_create (name.c_str (), id.c_str (), secret, key, sizeof key,
                       &stored);
  g_strlcpy (settings.name, name.c_str (), RST_NAME_SIZE);
  settings.share = 1 + (uint32_t)team;
  settings.upper_limit = (uint32_t)limit;
  settings.key_count = 1;
  settings.keys[0] = stored;
  text = rst_team_format (&settings);
  if (put_setting (std::string (RST_KEY_TEAMS) + name, text))
    {
      if (team_keys_.count (team) > 0 && team_keys_[team] != key)
        {
          oracle.record_key_withdrawal (team_keys_[team], now);
          withdrawn_keys_[team] = team_keys_[team];
        }
      team_keys_[team] = key;
      oracle.record_key (name, key);
      oracle.record_limit (name, limit, now);
      team_limits_[team] = limit;
    }
  free (text);
}

void
World::set_limit (int team, int64_t limit)
{
  write_team_settings (team, limit);
}

void
World::withdraw_key (int team)
{
  if (call_faults.store_is_down)
    return;
  key_versions_[team]++;
  write_team_settings (team, team_limits_[team]);
}

void
World::set_zone_state (int zone, bool out, bool move)
{
  std::string value = "{";

  if (call_faults.store_is_down)
    return;
  zone_states_[zone_name (zone)] = { out, move };
  for (const auto &state : zone_states_)
    value += (value.size () > 1 ? "," : "") + ("\"" + state.first)
             + "\":{\"state\":\"" + (state.second.first ? "out" : "in")
             + "\",\"running\":\"" + (state.second.second ? "move" : "finish")
             + "\"}";
  value += "}";
  put_setting (RST_KEY_ZONES, value);
  if (out)
    oracle.record_zone_out (zone_name (zone), now);
  else
    oracle.record_zone_in (zone_name (zone));
}

void
World::set_instance_leaving (int index, bool leaving)
{
  FakeInstance *instance = instances_[index % (int)instances_.size ()];

  if (leaving)
    oracle.record_instance_leaving (instance->info.name, now);
  schedule (leaving ? 300 : 0, [this, instance, leaving] {
    if (instance->info.leaving == leaving)
      return;
    instance->info.leaving = leaving;
    instance_list_revision++;
  });
  if (!leaving)
    oracle.record_instance_back (instance->info.name);
}

void
World::set_instance_failing (int index, bool failing)
{
  instances_[index % (int)instances_.size ()]->failing = failing;
}

/* Callers */

void
World::pass_to_entry (int number)
{
  const CallerRequest &caller = caller_requests_[number];
  Node *node
      = nodes_[scheduler_count () + caller.entry % cluster.zones].get ();
  std::string authorization = "Bearer " + caller.key;
  std::string deadline = std::to_string (caller.deadline);
  struct rst_entry_request request = {};

  if (!node->is_alive () || node->paused)
    return;
  request.key = authorization.c_str ();
  request.request_id = caller.id.empty () ? nullptr : caller.id.c_str ();
  request.idempotent = caller.idempotent ? "true" : "false";
  request.deadline_ms = deadline.c_str ();
  request.body = caller.body.c_str ();
  request.length = caller.body.size ();
  pending_requests_++;
  rst_entry_handle_request (node->entry, new RequestHandle{ this, number },
                            &request);
}

int
World::send_request (int entry, int team, bool idempotent, bool keyed,
                     ms run_ms, ms deadline)
{
  int number = next_request_number_++;
  CallerRequest &caller = caller_requests_[number];
  Request sent;

  caller.entry = entry;
  caller.team = team;
  caller.idempotent = idempotent;
  caller.id = keyed ? "r" + std::to_string (number) : "";
  caller.key = team_keys_[team];
  caller.deadline = deadline;
  caller.body = "{\"n\":" + std::to_string (number)
                + ",\"ms\":" + std::to_string (run_ms) + "}";
  sent.team = team_name (team);
  sent.key = caller.key;
  sent.idempotent = idempotent;
  sent.sent_at = now;
  oracle.record_request (number, sent);
  pass_to_entry (number);
  return number;
}

void
World::send_request_with_withdrawn_key (int entry, int team)
{
  std::string current_key = team_keys_[team];

  if (withdrawn_keys_.count (team) == 0)
    return;
  team_keys_[team] = withdrawn_keys_[team];
  send_request (entry, team, false, false, 10, 2000);
  team_keys_[team] = current_key;
}

void
World::handle_reply (int number, const struct rst_entry_reply *reply)
{
  std::string body (reply->body, reply->length);
  std::string outcome = reply->status == 200 ? "answered"
                        : body.find ("not-run") != std::string::npos
                            ? "not-run"
                            : "unknown";

  pending_requests_--;
  if (outcome == "answered")
    answered_count++;
  else if (outcome == "not-run")
    not_run_count++;
  else
    unknown_count++;
  if (number > 0)
    oracle.record_answer (number, outcome, body, now);
}

/* Sends a keyed request again, possibly through another entry. */
void
World::repeat_request (int entry, int request)
{
  auto found = caller_requests_.find (request);

  if (found == caller_requests_.end () || found->second.id.empty ())
    return;
  found->second.entry = entry;
  oracle.record_repeat (request);
  pass_to_entry (request);
}

int
World::submit_job (int entry, int team, int policy, int tasks, int64_t cpu,
                   ms run_ms, bool run_once)
{
  static const char *const policies[] = { "batch", "service", "gang" };
  Node *node = nodes_[scheduler_count () + entry % cluster.zones].get ();
  int number = next_request_number_++;
  std::string id = (run_once ? "once" : "job") + std::to_string (number);
  std::string authorization = "Bearer " + team_keys_[team];
  struct rst_entry_request request = {};
  std::string body = "{\"id\":\"" + id + "\",\"policy\":\"" + policies[policy]
                     + "\",\"tasks\":" + std::to_string (tasks)
                     + ",\"cpu_milli\":" + std::to_string (cpu)
                     + ",\"memory_mb\":512";

  if (policy != 1)
    body += ",\"run_ms\":" + std::to_string (run_ms)
            + ",\"run_once\":" + (run_once ? "true" : "false");
  body += "}";
  if (!node->is_alive () || node->paused)
    return 0;
  job_names_[number] = team_name (team) + "/" + id;
  if (policy == 1)
    service_names_.insert (job_names_[number]);
  request.key = authorization.c_str ();
  request.operation = RST_JOB_SUBMIT;
  request.body = body.c_str ();
  request.length = body.size ();
  pending_requests_++;
  rst_entry_handle_request (node->entry, new RequestHandle{ this, -number },
                            &request);
  return number;
}

void
World::cancel_job_by_index (int entry, int which)
{
  if (job_names_.empty ())
    return;
  auto found = job_names_.begin ();

  std::advance (found, which % (int)job_names_.size ());
  cancel_job_by_name (entry, found->second);
}

void
World::cancel_all_services ()
{
  int entry = 0;

  for (const auto &service : service_names_)
    cancel_job_by_name (entry++, service);
}

void
World::cancel_job_by_name (int entry, const std::string &name)
{
  Node *node = nodes_[scheduler_count () + entry % cluster.zones].get ();
  struct rst_entry_request request = {};
  std::string authorization;
  std::string id = name.substr (name.find ('/') + 1);
  int team = atoi (name.c_str () + 4);

  if (!node->is_alive () || node->paused)
    return;
  authorization = "Bearer " + team_keys_[team];
  request.key = authorization.c_str ();
  request.operation = RST_JOB_CANCEL;
  request.job = id.c_str ();
  request.body = "";
  pending_requests_++;
  rst_entry_handle_request (node->entry, new RequestHandle{ this, -1 },
                            &request);
}

int
World::count_unfinished_jobs () const
{
  int count = 0;

  for (const auto &value : store_values)
    if (value.first.compare (0, 5, "jobs/") == 0
        && value.second.value.find ("\"policy\":1") == std::string::npos)
      {
        size_t at = value.second.value.find ("\"ended\":\"");
        size_t end = value.second.value.find ('"', at + 9);

        if (value.second.value.substr (at + 9, end - at - 9).find ('.')
            != std::string::npos)
          count++;
      }
  return count;
}

/* Construction */

World::World (const ClusterConfig &config, uint64_t seed)
    : cluster (config), random (seed)
{
  for (int z = 0; z < cluster.zones; z++)
    for (int i = 0; i < cluster.runners_per_zone + cluster.workers_per_zone;
         i++)
      {
        auto instance = std::make_unique<FakeInstance> ();
        struct rst_instance_info &info = instance->info;
        bool runner = i < cluster.runners_per_zone;
        std::string name
            = zone_name (z) + (runner ? "-r" : "-w") + std::to_string (i);
        Capacity capacity;

        memset (&info, 0, sizeof info);
        g_strlcpy (info.name, name.c_str (), RST_NAME_SIZE);
        g_strlcpy (info.zone, zone_name (z).c_str (), RST_NAME_SIZE);
        g_strlcpy (info.address, ("i-" + name).c_str (), RST_ADDRESS_SIZE);
        info.kind = runner ? RST_RUNNER : RST_WORKER;
        capacity.slots = info.slots = runner ? cluster.slots_per_runner : 0;
        capacity.cpu = info.cpu = runner ? 0 : cluster.cpu_milli_per_worker;
        capacity.memory = info.memory_mb
            = runner ? 0 : cluster.memory_mb_per_worker;
        oracle.add_instance (name, info.zone, capacity);
        instances_.push_back (instance.get ());
        instances_by_address_["i-" + name] = std::move (instance);
      }
  for (int i = 0;
       i < cluster.zones * cluster.schedulers_per_zone + cluster.zones; i++)
    {
      auto node = std::make_unique<Node> ();
      bool entry = i >= cluster.zones * cluster.schedulers_per_zone;
      int zone = entry ? i - cluster.zones * cluster.schedulers_per_zone
                       : i / cluster.schedulers_per_zone;

      node->world = this;
      node->is_entry = entry;
      node->zone = zone_name (zone);
      node->name = (entry ? "entry" : "sched") + std::to_string (i);
      node->address
          = "10.0." + std::to_string (zone) + "." + std::to_string (i) + ":1";
      nodes_.push_back (std::move (node));
    }
  for (int z = 0; z < cluster.zones; z++)
    set_zone_state (z, false, false);
  for (int t = 0; t < cluster.teams; t++)
    write_team_settings (t, cluster.upper_limit);
  oracle.begin_fault (now);
  oracle.end_fault (now);
  for (auto &node : nodes_)
    start_node (node.get ());
  expire_leases_and_tasks ();
  std::function<void ()> *check = new std::function<void ()>;
  *check = [this, check] {
    oracle.check_stops (now);
    for (auto &node : nodes_)
      if (node->is_alive () && !node->paused)
        {
          report_settings (node.get ());
          oracle.check_settings_in_force (node->name, now);
        }
    schedule (500, *check);
  };
  schedule (500, *check);
  periodic_check_ = check;
}

World::~World ()
{
  for (auto &node : nodes_)
    crash (node.get ());
  delete static_cast<std::function<void ()> *> (periodic_check_);
}

}
