// Instances that come, and that go for good; see world.h and leaving.h.
#include "leaving.h"

extern "C"
{
#include "util/log.h"
}

namespace cell
{

static const int series_max = 3;
// A drained instance is gone after at least this long.
static const int drain_ms = 300;
static const int drain_spread_ms = 2500;
// Time until another instance comes.
static const int replacement_spread_ms = 1500;

Instance &
World::create_instance (Millis started_at)
{
  static const char *const zones[] = { "a", "b", "c" };
  auto instance = std::make_unique<Instance> ();
  size_t number = instances.size ();

  instance->id = "i-" + std::to_string (number);
  instance->address = "10.0.0." + std::to_string (number) + ":80";
  instance->zone = zones[number % 3];
  instance->started_at = started_at;
  instance->born = first_born_ms + instance->started_at;
  instance->clock_offset = 100000 * (Millis)(number + 1);
  instances.push_back (std::move (instance));
  return *instances.back ();
}

void
World::begin_instance (Instance &instance)
{
  register_instance (instance);
  tick_instance (instance);
  if (has_partitions)
    report_instance (instance);
}

void
World::add_instance ()
{
  begin_instance (create_instance (now ()));
}

void
World::drain_instance (Instance &instance)
{
  rst_info ("world", "Instance is draining.", "at",
            std::to_string (now ()).c_str (), "instance",
            instance.id.c_str ());
  instance.is_draining = true;
  register_instance (instance, true);
}

// Its entry stays, unless it was draining, until its reports are missing.
void
World::remove_instance (Instance &instance, bool is_dark)
{
  rst_info ("world", "Instance has gone for good.", "at",
            std::to_string (now ()).c_str (), "instance",
            instance.id.c_str ());
  instance.has_left = true;
  instance.is_up = false;
  instance.is_dark = is_dark;
  instance.runs.clear ();
  instance.ends.clear ();
  if (!is_dark)
    end_pending_polls (instance);
  if (instance.is_draining)
    remove_key ("servers/" + instance.id);
}

static int
count_present (const World &world)
{
  int present = 0;

  for (auto &instance : world.instances)
    if (instance->is_up && !instance->is_draining)
      present++;
  return present;
}

static Instance *
draw_present (World &world)
{
  int left = count_present (world);

  if (left == 0)
    return nullptr;
  left = world.draw_below (left);
  for (auto &instance : world.instances)
    if (instance->is_up && !instance->is_draining && left-- == 0)
      return instance.get ();
  return nullptr;
}

static void
let_one_leave (World &world, bool is_orderly)
{
  Instance *instance = draw_present (world);
  Millis delay_ms = 0;
  bool is_dark = world.draw_unit () < 0.5;

  if (instance == nullptr)
    return;
  world.run_after (world.draw_below (replacement_spread_ms),
                   [&world] { world.add_instance (); });
  if (is_orderly)
    {
      world.drain_instance (*instance);
      delay_ms = drain_ms + world.draw_below (drain_spread_ms);
    }
  world.run_after (delay_ms, [&world, instance, is_dark] {
    world.remove_instance (*instance, is_dark);
  });
}

// Lets the planner go, by a kill, a planned stop or a pause, and in some runs
// its successor.
static void
hand_over (World &world, int more)
{
  Node *planner = world.find_planner ();
  Millis down_ms = 1000 + world.draw_below (4000);
  int kind = world.draw_below (3);

  if (planner == nullptr)
    return;
  if (kind == 0)
    world.kill_node (*planner, world.draw_unit () < 0.5);
  else if (kind == 1)
    world.stop_node (*planner);
  else
    world.pause_node (*planner, 2000 + world.draw_below (4000));
  world.run_after (down_ms, [&world, planner] {
    if (planner->cell_node == nullptr)
      world.start_node (*planner);
  });
  if (more > 0)
    world.run_after (2000 + world.draw_below (4000),
                     [&world, more] { hand_over (world, more - 1); });
}

static void
begin_series (World &world, int left)
{
  int leaving = count_present (world) * (2 + world.draw_below (4)) / 10;
  Millis period_ms = 50 + world.draw_below (500);
  Millis series_ms = leaving * period_ms;
  bool is_orderly = world.draw_unit () < 0.7;

  for (int i = 0; i < leaving; i++)
    world.run_after (i * period_ms, [&world, is_orderly] {
      let_one_leave (world, is_orderly);
    });
  if (world.draw_unit () < 0.85)
    {
      int more = world.draw_unit () < 0.25 ? 1 : 0;

      world.run_after (series_ms / 2
                           + world.draw_below ((int)series_ms / 2 + 4000),
                       [&world, more] { hand_over (world, more); });
    }
  if (left > 1)
    world.run_after (series_ms + 2000 + world.draw_below (6000),
                     [&world, left] { begin_series (world, left - 1); });
}

void
begin_departures (World &world)
{
  int series = 2 + world.draw_below (series_max - 1);

  world.run_after (1000 + world.draw_below (3000),
                   [&world, series] { begin_series (world, series); });
}

} // namespace cell
