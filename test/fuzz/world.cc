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

/* Handle of a caller's request at an entry. */
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

/* ---- The table of outside systems
 * ------------------------------------------- */

void
platform_store_get (void *u, const char *key, rst_platform_done done,
                    void *data)
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
platform_store_list (void *u, const char *prefix, rst_platform_done done,
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
platform_store_put (void *u, const char *key, const char *value,
                    int64_t expected, uint64_t lease, rst_platform_done done,
                    void *data)
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
platform_store_delete (void *u, const char *key, int64_t expected,
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
platform_store_watch (void *u, const char *prefix, uint64_t after, rst_ms wait,
                      rst_platform_done done, void *data)
{
  World *w = get_node (u)->world;
  std::string p = prefix;

  w->store_reads++;
  w->call (
      get_node (u), "", true, STORE_TIMEOUT_MS + wait,
      [=] (std::function<void (Reply)> later, bool *deferred) {
        Reply reply = w->store_changes_after (p, after);

        if (!reply.kvs.empty ())
          return reply;
        *deferred = true;
        w->store_watches.push_back ({ p, after, later });
        w->at (wait, [=] { later (w->store_changes_after (p, after)); });
        return reply;
      },
      done, data);
}

void
platform_lease_grant (void *u, rst_ms ttl, rst_platform_done done, void *data)
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
platform_lease_renew (void *u, uint64_t lease, rst_platform_done done,
                      void *data)
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
platform_lease_revoke (void *u, uint64_t lease, rst_platform_done done,
                       void *data)
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
platform_list_instances (void *u, uint64_t after, rst_platform_done done,
                         void *data)
{
  World *w = get_node (u)->world;
  uint64_t listed = w->instance_list_revision;
  std::vector<struct rst_instance_info> infos;

  for (int i = 0; i < w->instances (); i++)
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

  reply.result = RST_PLATFORM_REFUSED;
  reply.status = 503;
  return reply;
}

/* The number that a request's body carries. */
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
platform_run_query (void *u, const char *address,
                    const struct rst_query_request *run,
                    rst_platform_done done, void *data)
{
  Node *node = get_node (u);
  World *w = node->world;
  FakeInstance *instance = w->find_instance (address);
  std::string body (run->body, run->length);
  std::string team = run->team;
  std::string id = run->id;
  uint64_t epoch = run->epoch;
  ms deadline = run->deadline_ms;

  w->call (
      node, instance->info.zone, false, deadline,
      [=] (std::function<void (Reply)> later, bool *deferred) {
        static uint64_t number = 0;
        int request = parse_request_number (body);
        ms time = std::min (parse_run_ms (body), deadline);
        uint64_t slot = ++number;

        if (epoch < instance->epoch)
          return make_fenced_reply ();
        instance->epoch = epoch;
        if (instance->failing)
          return make_rejected_reply ();
        instance->runs[slot] = { request, id, team };
        w->oracle.record_run_start (instance->info.name, request, team,
                                    w->now);
        *deferred = true;
        w->at (time, [=] {
          Reply reply;

          instance->runs.erase (slot);
          w->oracle.record_run_end (instance->info.name, team);
          reply.body = "{\"n\":" + std::to_string (request) + "}";
          later (reply);
        });
        return Reply ();
      },
      done, data);
}

void
append_runs (FakeInstance *instance, Reply *reply)
{
  for (const auto &run : instance->runs)
    {
      struct rst_run_info work = {};

      g_strlcpy (work.id, run.second.id.c_str (), sizeof work.id);
      g_strlcpy (work.team, run.second.team.c_str (), sizeof work.team);
      work.result = RST_TASK_RUNNING;
      reply->work.push_back (work);
    }
  for (const auto &task : instance->tasks)
    reply->work.push_back (task.second.work);
}

void
platform_inspect (void *u, const char *address, uint64_t epoch,
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
get_task_needs (const struct rst_run_info &work)
{
  Capacity needs;

  needs.cpu = work.cpu;
  needs.memory = work.memory_mb;
  needs.accelerators = work.accelerators;
  return needs;
}

std::string
format_task_name (const struct rst_run_info &work)
{
  return std::string (work.job) + "." + std::to_string (work.index);
}

void
platform_start_task (void *u, const char *address, uint64_t epoch,
                     const struct rst_run_info *task, rst_ms lease,
                     rst_ms not_after, rst_platform_done done, void *data)
{
  Node *node = get_node (u);
  World *w = node->world;
  FakeInstance *instance = w->find_instance (address);
  struct rst_run_info work = *task;

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
        Reply refusal;

        if (epoch < instance->epoch)
          return make_fenced_reply ();
        instance->epoch = epoch;
        refusal.result = RST_PLATFORM_REFUSED;
        if (instance->tombstones.count (work.id) > 0)
          return refusal;
        if (instance->tasks.count (work.id) > 0)
          return Reply ();
        fake.work = work;
        fake.work.result = RST_TASK_RUNNING;
        fake.run_once = strstr (work.job, "once") != nullptr;
        fake.ends_at = work.run_ms > 0 ? w->now + work.run_ms : INT64_MAX;
        if (instance->failing)
          fake.ends_at = w->now + 5;
        fake.lease_expires_at = w->now + lease;
        instance->tasks[work.id] = fake;
        w->oracle.record_task_start (
            instance->info.name, work.team, format_task_name (work),
            get_task_needs (work), fake.run_once, w->now);
        return Reply ();
      },
      done, data);
}

void
platform_renew_tasks (void *u, const char *address, uint64_t epoch,
                      rst_ms lease, const char *const *seen,
                      rst_platform_done done, void *data)
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
platform_stop_task (void *u, const char *address, uint64_t epoch,
                    const char *id, bool checkpoint, rst_platform_done done,
                    void *data)
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
        reply.work.push_back (found->second.work);
        return reply;
      },
      done, data);
}

const struct rst_platform platform
    = { platform_store_get,    platform_store_list,   platform_store_put,
        platform_store_delete, platform_store_watch,  platform_lease_grant,
        platform_lease_renew,  platform_lease_revoke, platform_list_instances,
        platform_run_query,    platform_inspect,      platform_start_task,
        platform_renew_tasks,  platform_stop_task };

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

  h->world->answer (h->request, reply);
  delete h;
}

}

/* ---- Events
 * -------------------------------------------------------------------- */

void
World::at (ms delay, std::function<void ()> what)
{
  events_.push ({ now + delay, ++last_event_sequence_, std::move (what) });
}

void
World::advance (ms time)
{
  ms until = now + time;

  while (!events_.empty () && events_.top ().at <= until)
    {
      Event event = events_.top ();

      events_.pop ();
      now = event.at;
      event.what ();
    }
  now = until;
}

int
World::random_below (int bound)
{
  return bound > 0 ? (int)(random () % (uint64_t)bound) : 0;
}

bool
World::random_permille (int permille)
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

/* ---- Processes
 * -------------------------------------------------------------------- */

/* Adds the processor's time of a call into a state machine, the fakes that
   it calls included. */
void
World::run_timed (const std::function<void ()> &what)
{
  auto before = std::chrono::steady_clock::now ();

  what ();
  state_machine_ns += std::chrono::duration_cast<std::chrono::nanoseconds> (
                          std::chrono::steady_clock::now () - before)
                          .count ();
}

/* Runs something on a process, later if it is paused, never if it is gone. */
void
World::deliver (Node *node, int life, std::function<void ()> what)
{
  if (node->life != life || !node->is_alive ())
    return;
  if (node->paused)
    node->deferred.push_back (std::move (what));
  else
    run_timed (what);
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
  int life = node->life;

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
          at (500, [this, node] { restart (node); });
          return;
        }
    }
  at (shape.tick, [this, node, life] {
    if (node->life == life)
      tick_node (node);
  });
}

void
World::start_node (Node *node)
{
  fault ("down " + node->name, false);
  node->life++;
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
      for (int i = 0; i < schedulers (); i++)
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
      for (int i = 0; i < schedulers (); i++)
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
  fault ("down " + node->name, true);
  node->is_being_destroyed = true;
  for (auto &link : links_)
    for (int side = 0; side < 2; side++)
      if (link.second->side[side] == node && link.second->open)
        close_link (link.second, 1 + random_below (3));
  node->life++;
  while (!node->pending_calls.empty ())
    {
      auto first = node->pending_calls.begin ();
      auto end = first->second;
      Reply reply;

      reply.result = RST_PLATFORM_UNKNOWN;
      node->pending_calls.erase (first);
      end (reply);
    }
  if (node->is_entry)
    rst_entry_destroy (node->entry);
  else
    rst_scheduler_destroy (node->scheduler);
  node->entry = nullptr;
  node->scheduler = nullptr;
  node->deferred.clear ();
  node->is_being_destroyed = false;
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
  fault ("pause " + node->name, true);
}

void
World::resume (Node *node)
{
  std::vector<std::function<void ()> > deferred;

  if (!node->paused)
    return;
  node->paused = false;
  fault ("pause " + node->name, false);
  deferred.swap (node->deferred);
  for (auto &what : deferred)
    what ();
  /* A stop's time runs while the process does. */
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

/* ---- Links
 * -----------------------------------------------------------------------------
 */

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

  if (from->is_being_destroyed)
    return 0;
  for (auto &node : nodes_)
    if (node->address == address && node->is_alive ())
      to = node.get ();
  link->side[0] = from;
  link->side[1] = to;
  link->life[0] = from->life;
  link->life[1] = to != nullptr ? to->life : 0;
  link->id[0] = ++next_link_;
  link->id[1] = ++next_link_;
  if (to == nullptr || are_zones_cut (from->zone, to->zone))
    {
      uint64_t id = link->id[0];
      int life = from->life;

      at (to == nullptr ? 2 : 1000, [=] {
        deliver (from, life, [=] {
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
  at (1 + random_below (3), [this, link] {
    link->open = true;
    for (int side = 1; side >= 0; side--)
      {
        Node *node = link->side[side];
        uint64_t id = link->id[side];

        deliver (node, link->life[side], [node, id] {
          if (node->is_entry)
            rst_entry_handle_link_opened (node->entry, id);
          else
            rst_scheduler_handle_link_opened (node->scheduler, id);
        });
      }
    /* The peer was replaced meanwhile. */
    for (int side = 0; side < 2; side++)
      if (link->side[side]->life != link->life[side])
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
  at (delay, [this, link] {
    link->open = false;
    for (int side = 0; side < 2; side++)
      {
        Node *node = link->side[side];
        uint64_t id = link->id[side];

        links_.erase (id);
        deliver (node, link->life[side], [node, id] {
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

/* Requests and answers may be doubled or late; what TCP's order protects may
   not. */
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

  if (found == links_.end () || from->is_being_destroyed)
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
  if (link->silent || are_zones_cut (link->side[0]->zone, link->side[1]->zone))
    {
      close_link (link, SILENT_LINK_TIMEOUT_MS);
      return true;
    }
  if (link->side[to]->paused)
    close_link (link, SILENT_LINK_TIMEOUT_MS);
  if (may_be_duplicated (message->type)
      && random_permille (weather.duplicate_permille))
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
      at (due - now, [this, link, to, copy] {
        Node *node = link->side[to];
        uint64_t here = link->id[to];

        if (!link->open)
          return;
        deliver (node, link->life[to], [node, here, copy] {
          if (node->is_entry)
            rst_entry_handle_message (node->entry, here, copy.get ());
          else
            rst_scheduler_handle_message (node->scheduler, here, copy.get ());
        });
      });
    }
  return true;
}

/* ---- Calls to outside systems
 * ------------------------------------------------------------- */

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
  out.runs = copy.work.data ();
  out.run_count = (int)copy.work.size ();
  out.body = copy.body.c_str ();
  out.length = copy.body.size ();
  done (&out, data);
}

void
World::call (Node *from, const std::string &zone, bool store, ms timeout,
             std::function<Reply (std::function<void (Reply)>, bool *)> effect,
             rst_platform_done done, void *data)
{
  uint64_t number = next_call_++;
  int life = from->life;
  ms sent_at = node_time (from);
  bool cut = store ? zones_cut_from_store_.count (zone_index (from->zone)) > 0
                         || from->cut_from_store
                   : are_zones_cut (from->zone, zone);
  bool slow = random_permille (weather.slow_call_permille);
  ms there = 1 + random_below (3);
  ms back = 1 + random_below (3);
  bool lost = random_permille (weather.lose_reply_permille);

  if (slow)
    there += random_below (
        (int)(store ? MAX_STORE_DELAY_MS : MAX_INSTANCE_DELAY_MS));
  bool unsent = from->is_being_destroyed;

  from->pending_calls[number] = [=] (const Reply &reply) {
    Reply said = reply;

    if (unsent)
      said.result = RST_PLATFORM_NOT_SENT;
    complete_platform_call (done, data, said, sent_at);
  };
  auto finish = [=] (Reply reply) {
    deliver (from, life, [=] {
      auto found = from->pending_calls.find (number);

      if (found == from->pending_calls.end ())
        return;
      auto end = found->second;

      from->pending_calls.erase (found);
      end (reply);
    });
  };
  Reply failed;

  failed.status = 0;
  failed.result = from->is_being_destroyed       ? RST_PLATFORM_NOT_SENT
                  : cut && random_permille (500) ? RST_PLATFORM_NOT_SENT
                                                 : RST_PLATFORM_UNKNOWN;
  if (from->is_being_destroyed)
    {
      /* The process ends; nothing leaves it any more. */
      return;
    }
  if (cut)
    {
      at (timeout > 2000 ? 2000 : timeout, [=] { finish (failed); });
      return;
    }
  at (timeout, [=] {
    Reply unknown;

    unknown.result = RST_PLATFORM_UNKNOWN;
    unknown.status = 0;
    finish (unknown);
  });
  at (there, [=] {
    bool deferred = false;
    auto answer = [=] (Reply reply) {
      if (!lost)
        at (back, [=] { finish (reply); });
    };

    if (store && weather.store_down)
      return;
    Reply reply = effect (answer, &deferred);

    if (!deferred)
      answer (reply);
  });
}

/* ---- Store
 * -----------------------------------------------------------------------------------
 */

Reply
World::store_changes_after (const std::string &prefix, uint64_t after)
{
  Reply reply;

  reply.revision = revision;
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
    watch.reply (store_changes_after (watch.prefix, watch.after));
}

Reply
World::store_put (const std::string &key, const std::string &value,
                  int64_t expected, uint64_t lease)
{
  auto found = values.find (key);
  uint64_t present = found != values.end () ? found->second.revision : 0;
  Reply reply;

  if (lease != 0 && store_leases.count (lease) == 0)
    {
      reply.result = RST_PLATFORM_NOT_FOUND;
      return reply;
    }
  if (expected >= 0 && (uint64_t)expected != present)
    {
      reply.result = RST_PLATFORM_CONFLICT;
      reply.revision = present;
      return reply;
    }
  values[key] = { value, ++revision, lease };
  store_changes.push_back ({ key, value, revision, false });
  reply.revision = revision;
  notify_watches (key);
  return reply;
}

Reply
World::store_delete (const std::string &key, int64_t expected)
{
  auto found = values.find (key);
  Reply reply;

  if (found == values.end ())
    reply.result = RST_PLATFORM_NOT_FOUND;
  else if (expected >= 0 && (uint64_t)expected != found->second.revision)
    reply.result = RST_PLATFORM_CONFLICT;
  else
    {
      values.erase (found);
      store_changes.push_back ({ key, "", ++revision, true });
      reply.revision = revision;
      notify_watches (key);
    }
  return reply;
}

Reply
World::store_get (const std::string &key)
{
  auto found = values.find (key);
  Reply reply;

  if (found == values.end ())
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

  reply.revision = revision;
  for (const auto &value : values)
    if (value.first.compare (0, prefix.size (), prefix) == 0)
      {
        reply.kvs.push_back ({ value.first, value.second.value });
        reply.revisions.push_back (value.second.revision);
        reply.deleted.push_back (false);
      }
  return reply;
}

/* ---- Instances
 * ----------------------------------------------------------------------------------
 */

void
World::end_task (FakeInstance &instance, FakeTask &task, int64_t result)
{
  task.running = false;
  task.work.result = result;
  oracle.record_task_end (
      instance.info.name, task.work.team, format_task_name (task.work),
      get_task_needs (task.work), result == RST_TASK_MOVED);
}

/* Leases of processes and tasks lapse; tasks end. */
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

      for (const auto &value : values)
        if (value.second.lease == id)
          keys.push_back (value.first);
      for (const auto &key : keys)
        store_delete (key, -1);
    }
  for (auto *instance : instances_by_index_)
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
  at (10, [this] { expire_leases_and_tasks (); });
}

FakeInstance *
World::find_instance (const std::string &address)
{
  return instances_by_address_[address].get ();
}

/* ---- Faults
 * ----------------------------------------------------------------------------------------
 */

void
World::fault (const std::string &name, bool active)
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
  fault ("cut " + std::to_string (pair.first) + std::to_string (pair.second),
         cut);
}

void
World::cut_store (int zone, bool cut)
{
  if (cut)
    zones_cut_from_store_.insert (zone);
  else
    zones_cut_from_store_.erase (zone);
  fault ("store-cut " + std::to_string (zone), cut);
}

void
World::make_link_silent (uint64_t which)
{
  if (links_.empty ())
    return;
  auto found = links_.begin ();

  std::advance (found, (long)(which % links_.size ()));
  found->second->silent = true;
  fault ("silent", true);
  at (SILENT_LINK_TIMEOUT_MS + 100, [this] { fault ("silent", false); });
}

void
World::store_down (bool down)
{
  weather.store_down = down;
  fault ("store-down", down);
}

void
World::set_fault_rates (int lose_reply_permille, int slow_call_permille,
                        int duplicate_permille)
{
  weather.lose_reply_permille = lose_reply_permille;
  weather.slow_call_permille = slow_call_permille;
  weather.duplicate_permille = duplicate_permille;
  fault ("weather",
         lose_reply_permille + slow_call_permille + duplicate_permille > 0);
}

void
World::heal_faults ()
{
  for (int a = 0; a < shape.zones; a++)
    {
      cut_store (a, false);
      for (int b = a + 1; b < shape.zones; b++)
        cut_zones (a, b, false);
    }
  store_down (false);
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
  for (int i = 0; i < instances (); i++)
    {
      set_instance_failing (i, false);
      set_instance_leaving (i, false);
    }
}

/* The instance starts anew: what it ran has ended without a result. */
void
World::reboot_instance (int index)
{
  FakeInstance *instance
      = instances_by_index_[index % (int)instances_by_index_.size ()];

  for (auto &task : instance->tasks)
    if (task.second.running)
      end_task (*instance, task.second, RST_TASK_LOST);
  instance->tasks.clear ();
}

/* ---- Operators
 * ----------------------------------------------------------------------------------------
 */

bool
World::put_setting (const std::string &key, const std::string &value)
{
  Reply reply;

  if (weather.store_down)
    return false;
  reply = store_put (key, value, -1, 0);
  oracle.stored (key, reply.revision, now);
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
  if (weather.store_down)
    return;
  key_versions_[team]++;
  write_team_settings (team, team_limits_[team]);
}

void
World::set_zone_state (int zone, bool out, bool move)
{
  std::string value = "{";

  if (weather.store_down)
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
  FakeInstance *instance
      = instances_by_index_[index % (int)instances_by_index_.size ()];

  if (leaving)
    oracle.leaving (instance->info.name, now);
  at (leaving ? 300 : 0, [this, instance, leaving] {
    if (instance->info.leaving == leaving)
      return;
    instance->info.leaving = leaving;
    instance_list_revision++;
  });
  if (!leaving)
    oracle.back (instance->info.name);
}

void
World::set_instance_failing (int index, bool failing)
{
  instances_by_index_[index % (int)instances_by_index_.size ()]->failing
      = failing;
}

/* ---- Callers
 * ---------------------------------------------------------------------------------------------
 */

void
World::send_request (int number)
{
  const CallerRequest &caller = caller_requests_[number];
  Node *node = nodes_[schedulers () + caller.entry % shape.zones].get ();
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
  pending_++;
  rst_entry_handle_request (node->entry, new RequestHandle{ this, number },
                            &request);
}

int
World::request (int entry, int team, bool idempotent, bool keyed, ms run_ms,
                ms deadline)
{
  int number = next_request_++;
  CallerRequest &caller = caller_requests_[number];
  Request what;

  caller.entry = entry;
  caller.team = team;
  caller.idempotent = idempotent;
  caller.id = keyed ? "r" + std::to_string (number) : "";
  caller.key = team_keys_[team];
  caller.deadline = deadline;
  caller.body = "{\"n\":" + std::to_string (number)
                + ",\"ms\":" + std::to_string (run_ms) + "}";
  what.team = team_name (team);
  what.key = caller.key;
  what.idempotent = idempotent;
  what.sent_at = now;
  oracle.sent (number, what);
  send_request (number);
  return number;
}

void
World::send_request_with_withdrawn_key (int entry, int team)
{
  std::string present = team_keys_[team];

  if (withdrawn_keys_.count (team) == 0)
    return;
  team_keys_[team] = withdrawn_keys_[team];
  request (entry, team, false, false, 10, 2000);
  team_keys_[team] = present;
}

void
World::answer (int number, const struct rst_entry_reply *reply)
{
  std::string body (reply->body, reply->length);
  std::string outcome = reply->status == 200 ? "answered"
                        : body.find ("not-run") != std::string::npos
                            ? "not-run"
                            : "unknown";

  pending_--;
  if (outcome == "answered")
    answered++;
  else if (outcome == "not-run")
    not_run++;
  else
    unknown++;
  if (number > 0)
    oracle.answered (number, outcome, body, now);
}

/* The same request again, perhaps through another entry. */
void
World::repeat_request (int entry, int request)
{
  auto found = caller_requests_.find (request);

  if (found == caller_requests_.end () || found->second.id.empty ())
    return;
  found->second.entry = entry;
  oracle.record_repeat (request);
  send_request (request);
}

int
World::submit (int entry, int team, int policy, int tasks, int64_t cpu,
               ms run_ms, bool run_once)
{
  static const char *const policies[] = { "batch", "service", "gang" };
  Node *node = nodes_[schedulers () + entry % shape.zones].get ();
  int number = next_request_++;
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
  pending_++;
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
  Node *node = nodes_[schedulers () + entry % shape.zones].get ();
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
  pending_++;
  rst_entry_handle_request (node->entry, new RequestHandle{ this, -1 },
                            &request);
}

int
World::count_unfinished_jobs () const
{
  int count = 0;

  for (const auto &value : values)
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

/* ---- Construction
 * -------------------------------------------------------------------------------------------
 */

World::World (const ClusterConfig &wanted, uint64_t seed)
    : shape (wanted), random (seed)
{
  for (int z = 0; z < shape.zones; z++)
    for (int i = 0; i < shape.runners + shape.workers; i++)
      {
        auto instance = std::make_unique<FakeInstance> ();
        struct rst_instance_info &info = instance->info;
        bool runner = i < shape.runners;
        std::string name
            = zone_name (z) + (runner ? "-r" : "-w") + std::to_string (i);
        Capacity capacity;

        memset (&info, 0, sizeof info);
        g_strlcpy (info.name, name.c_str (), RST_NAME_SIZE);
        g_strlcpy (info.zone, zone_name (z).c_str (), RST_NAME_SIZE);
        g_strlcpy (info.address, ("i-" + name).c_str (), RST_ADDRESS_SIZE);
        info.kind = runner ? RST_RUNNER : RST_WORKER;
        capacity.slots = info.slots = runner ? shape.slots : 0;
        capacity.cpu = info.cpu = runner ? 0 : shape.cpu;
        capacity.memory = info.memory_mb = runner ? 0 : shape.memory;
        oracle.add_instance (name, info.zone, capacity);
        instances_by_index_.push_back (instance.get ());
        instances_by_address_["i-" + name] = std::move (instance);
      }
  for (int i = 0; i < shape.zones * shape.schedulers + shape.zones; i++)
    {
      auto node = std::make_unique<Node> ();
      bool entry = i >= shape.zones * shape.schedulers;
      int zone
          = entry ? i - shape.zones * shape.schedulers : i / shape.schedulers;

      node->world = this;
      node->is_entry = entry;
      node->zone = zone_name (zone);
      node->name = (entry ? "entry" : "sched") + std::to_string (i);
      node->address
          = "10.0." + std::to_string (zone) + "." + std::to_string (i) + ":1";
      nodes_.push_back (std::move (node));
    }
  for (int z = 0; z < shape.zones; z++)
    set_zone_state (z, false, false);
  for (int t = 0; t < shape.teams; t++)
    write_team_settings (t, shape.upper_limit);
  oracle.begin_fault (now);
  oracle.end_fault (now);
  for (auto &node : nodes_)
    start_node (node.get ());
  expire_leases_and_tasks ();
  std::function<void ()> *watch = new std::function<void ()>;
  *watch = [this, watch] {
    oracle.check_stops (now);
    for (auto &node : nodes_)
      if (node->is_alive () && !node->paused)
        {
          report_settings (node.get ());
          oracle.check_settings_in_force (node->name, now);
        }
    at (500, *watch);
  };
  at (500, *watch);
  watch_ = watch;
}

World::~World ()
{
  for (auto &node : nodes_)
    crash (node.get ());
  delete static_cast<std::function<void ()> *> (watch_);
}

}
