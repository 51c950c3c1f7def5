// Draws sequences of faults; see sequences.h.
#include "sequences.h"

extern "C"
{
#include "util/log.h"
}

namespace cell
{

// Longer than the wait for the leases of an agent that isn't heard: a second
// until it is missed, 5 s of renewals, a lease of 6 s and the margins.
static const Millis longer_than_lease_ms = 12500;
static const Millis election_check_ms = 10;
// Give up waiting for an election after this long.
static const Millis election_timeout_ms = 8000;

// Returns the epoch of the planner record, or 0, and the node that it names.
static int64_t
read_epoch (const World &world, Node **planner)
{
  auto found = world.store.find (RST_PLANNER_RECORD_KEY);
  rst_planner_record record;

  *planner = nullptr;
  if (found == world.store.end ()
      || !rst_planner_record_read (&record, found->second.value.data (),
                                   found->second.value.size ()))
    return 0;
  for (auto &node : world.nodes)
    if (node->address == record.address)
      *planner = node.get ();
  return record.epoch;
}

static Node &
draw_node (World &world)
{
  return *world.nodes[(size_t)world.draw_below ((int)world.nodes.size ())];
}

static Millis
draw_long (World &world)
{
  return longer_than_lease_ms + world.draw_below (4000);
}

static void
kill_for (World &world, Node &node, Millis ms)
{
  if (node.cell_node == nullptr)
    return;
  world.kill_node (node, world.draw_unit () < 0.5);
  world.run_after (ms, [&world, &node] {
    if (node.cell_node == nullptr)
      world.start_node (node);
  });
}

// Lets a node go for @ms: killed, frozen, or cut off from the core or from
// everything.
static void
strike_node (World &world, Node &node, Millis ms)
{
  rst_info ("world", "A sequence strikes a node.", "at",
            std::to_string (world.now ()).c_str (), "node",
            node.name.c_str ());
  switch (world.draw_below (4))
    {
    case 0:
      kill_for (world, node, ms);
      break;
    case 1:
      world.pause_node (node, ms);
      break;
    case 2:
      world.cut_core (node, CUT_BOTH, 0, ms);
      break;
    default:
      world.cut_node (node, 0, ms);
      break;
    }
}

// Freezes some agents in pieces for longer than an order to start may take.
static void
freeze_agents (World &world, Millis from_ms)
{
  for (auto &node : world.nodes)
    if (world.draw_unit () < 0.3)
      world.run_after (
          from_ms + world.draw_below (1000), [&world, &node = *node] {
            world.pause_node (node, 1600 + world.draw_below (7000));
          });
}

// Lets that by which the instances of a zone are heard go: the zone, the nodes
// in it, or the planner.
static void
strike_listeners (World &world, const std::string &zone)
{
  int kind = world.draw_below (6);
  Millis ms = draw_long (world);
  Node *planner;

  read_epoch (world, &planner);
  if (kind == 1 && planner != nullptr)
    {
      strike_node (world, *planner, ms);
      return;
    }
  if (kind > 1)
    {
      world.cut_zone (zone, 0, ms);
      return;
    }
  for (auto &node : world.nodes)
    if (node->zone == zone)
      strike_node (world, *node, ms);
}

// Returns how long the sequence lasts.
static Millis
cut_instances_then_listeners (World &world)
{
  std::string zone = draw_node (world).zone;
  // Longer than a long poll and its timeout, after which the agent reports
  // that the instance does not answer.
  Millis cut_ms = 2800 + world.draw_below (3200);
  Millis strike_at = cut_ms - 100 - world.draw_below (900);

  for (auto &instance : world.instances)
    if (instance->zone == zone && world.draw_unit () < 0.7)
      world.cut_instance (*instance, CUT_BOTH, 0, cut_ms);
  world.run_after (strike_at,
                   [&world, zone] { strike_listeners (world, zone); });
  if (world.draw_unit () < 0.3)
    freeze_agents (world, strike_at - 1000);
  return cut_ms;
}

// Strikes the planner with an epoch above @epoch 0.3 to 3 s after it was
// elected, and its next @more successors.
static void
strike_successor (World &world, int64_t epoch, Millis until, int more)
{
  Node *planner;
  int64_t successor_epoch = read_epoch (world, &planner);

  if (successor_epoch <= epoch || planner == nullptr)
    {
      if (world.now () < until)
        world.run_after (election_check_ms, [&world, epoch, until, more] {
          strike_successor (world, epoch, until, more);
        });
      return;
    }
  world.run_after (
      300 + world.draw_below (2700), [&world, planner, successor_epoch, more] {
        strike_node (world, *planner, draw_long (world));
        if (more > 0)
          strike_successor (world, successor_epoch,
                            world.now () + election_timeout_ms, more - 1);
      });
}

static Millis
strike_planners (World &world)
{
  Node *planner;
  int64_t epoch = read_epoch (world, &planner);
  int more = world.draw_below (2);

  if (planner == nullptr)
    return 0;
  // Instances that the successor doesn't hear, or only for a while.
  for (auto &instance : world.instances)
    if (world.draw_unit () < 0.25)
      world.cut_instance (*instance, CUT_BOTH, world.draw_below (3000),
                          500 + world.draw_below (15000));
  if (world.draw_unit () < 0.3)
    freeze_agents (world, 0);
  strike_node (world, *planner, 2000 + world.draw_below (12000));
  strike_successor (world, epoch, world.now () + election_timeout_ms, more);
  return 3000;
}

static void
begin_sequence (World &world, int left)
{
  double draw = world.draw_unit ();
  Millis ms = 1000;

  if (draw < 0.45)
    ms = cut_instances_then_listeners (world);
  else if (draw < 0.9)
    ms = strike_planners (world);
  else
    freeze_agents (world, 0);
  if (left > 1)
    world.run_after (ms + 1000 + world.draw_below (5000),
                     [&world, left] { begin_sequence (world, left - 1); });
}

void
begin_sequences (World &world)
{
  int count = 2 + world.draw_below (2);

  world.run_after (world.draw_below (2000),
                   [&world, count] { begin_sequence (world, count); });
}

} // namespace cell
