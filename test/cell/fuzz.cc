// Runs a cell under faults drawn from a seed; the oracle judges.
//
//   cell-fuzz --seed N [--seconds N] [--seeds COUNT] [--log info] [--fault N]
//             [--outlive 1]
#include "world.h"

#include <cstdio>
#include <cstdlib>
#include <cstring>

extern "C"
{
#include "cell/fault_private.h"
#include "util/log.h"

  int rst_cell_fault = RST_CELL_FAULT_NONE;
}

using namespace cell;

// Time in which faults come, and then to get everything done, in ms.
static const Millis settle_ms = 60000;

static std::string
job_id (int number)
{
  char text[17];

  snprintf (text, sizeof text, "%016x", number);
  return text;
}

static rst_jobdesc *
draw_job (World &world)
{
  int steps = 1 + world.below (2);
  rst_jobdesc *desc = rst_jobdesc_create (steps);
  bool urgent = world.chance () < 0.4;

  desc->spec = g_strdup (world.chance () < 0.08 ? "fail" : "work");
  for (int i = 0; i < steps; i++)
    {
      rst_step &step = desc->steps[i];

      step.count = 1 + world.below (5);
      step.need.cpu = 200 + world.below (1200);
      step.need.memory = 100;
      step.estimate_ms = urgent ? 200 : 400 + world.below (1500);
      step.gang = !urgent && world.chance () < 0.3;
      step.label = g_strdup ("");
      step.rack = g_strdup ("");
      step.image = g_strdup ("");
      step.after = g_new0 (int, 1);
      step.after_count = i;
    }
  return desc;
}

static void
fault_node (World &world)
{
  Node &node = *world.nodes[(size_t)world.below ((int)world.nodes.size ())];
  Node *planner = world.planner ();
  Node &hit = planner != nullptr && world.chance () < 0.5 ? *planner : node;

  switch (world.below (5))
    {
    case 0:
    case 1:
      if (hit.node != nullptr)
        world.kill_node (hit, world.chance () < 0.5);
      break;
    case 2:
      world.set_cut (hit, true);
      break;
    case 3:
      hit.store_cut = true;
      break;
    default:
      hit.frozen_until = world.now () + 500 + world.below (5000);
      break;
    }
}

static void
mend_nodes (World &world, bool all)
{
  for (auto &node : world.nodes)
    {
      if (!all && world.chance () < 0.6)
        continue;
      node->store_cut = false;
      if (node->cut)
        world.set_cut (*node, false);
      if (node->node == nullptr)
        world.start_node (*node);
    }
}

static void
fault_worker (World &world)
{
  Worker &worker
      = *world.workers[(size_t)world.below ((int)world.workers.size ())];

  if (!worker.up)
    return;
  if (world.chance () < 0.4)
    world.crash_worker (worker, 200 + world.below (2000));
  else
    worker.cut = !worker.cut;
}

static void
draw_faults (World &world)
{
  world.faults.lose_answer = world.chance () < 0.3 ? 0.05 : 0.0;
  world.faults.late_order = world.chance () < 0.3 ? 0.05 : 0.0;
  world.faults.lose_commit = world.chance () < 0.3 ? 0.2 : 0.0;
  world.faults.late_commit = world.chance () < 0.2 ? 0.2 : 0.0;
  world.faults.store_down = world.chance () < 0.1;
  world.faults.store_delay = world.chance () < 0.2 ? 240 : 4;
}

static void
mend_all (World &world)
{
  double fail_run = world.faults.fail_run;

  world.faults = Faults ();
  world.faults.fail_run = fail_run;
  mend_nodes (world, true);
  for (auto &worker : world.workers)
    worker->cut = false;
}

static int
check_end (World &world)
{
  int unfinished = 0;

  for (auto &entry : world.jobs)
    {
      const Job &job = entry.second;

      if (job.accepted && !world.known_over (entry.first))
        {
          unfinished++;
          printf ("unfinished: %s\n", entry.first.c_str ());
        }
    }
  return unfinished;
}

static bool
play (uint64_t seed, int seconds, bool outlive)
{
  World world (seed, 5, 12);
  Millis start = world.now ();
  Millis end = start + seconds * 1000;
  int jobs = 0;
  int unfinished;

  world.orders_outlive = outlive;
  world.run_until (start + 3000);
  while (world.now () < end)
    {
      world.run_until (world.now () + 50 + world.below (100));
      if (world.chance () < 0.6)
        world.submit (job_id (++jobs), draw_job (world));
      if (jobs > 0 && world.chance () < 0.3)
        world.read (job_id (1 + world.below (jobs)));
      if (jobs > 0 && world.chance () < 0.05)
        world.cancel (job_id (1 + world.below (jobs)));
      if (world.chance () < 0.03)
        fault_node (world);
      if (world.chance () < 0.06)
        mend_nodes (world, false);
      if (world.chance () < 0.03)
        fault_worker (world);
      if (world.chance () < 0.02)
        draw_faults (world);
    }
  mend_all (world);
  for (Millis at = 0; at < settle_ms; at += 1000)
    {
      world.run_until (world.now () + 1000);
      for (auto &entry : world.jobs)
        if (!world.known_over (entry.first))
          world.read (entry.first);
    }
  unfinished = check_end (world);
  for (auto &breach : world.breaches)
    printf ("violated: %s\n", breach.c_str ());
  printf ("seed %llu: %d jobs, %d completed, %d unfinished, %zu violated\n",
          (unsigned long long)seed, jobs, world.completed (), unfinished,
          world.breaches.size ());
  return unfinished == 0 && world.breaches.empty ();
}

int
main (int argc, char **argv)
{
  uint64_t seed = 1;
  int seconds = 60;
  int seeds = 1;
  int failed = 0;
  bool outlive = false;
  rst_log_config log = { false, "error", false };

  for (int i = 1; i + 1 < argc; i += 2)
    {
      if (strcmp (argv[i], "--seed") == 0)
        seed = strtoull (argv[i + 1], nullptr, 10);
      else if (strcmp (argv[i], "--seconds") == 0)
        seconds = atoi (argv[i + 1]);
      else if (strcmp (argv[i], "--seeds") == 0)
        seeds = atoi (argv[i + 1]);
      else if (strcmp (argv[i], "--fault") == 0)
        rst_cell_fault = atoi (argv[i + 1]);
      else if (strcmp (argv[i], "--outlive") == 0)
        outlive = atoi (argv[i + 1]) != 0;
      else if (strcmp (argv[i], "--log") == 0)
        g_strlcpy (log.level, argv[i + 1], sizeof log.level);
    }
  rst_log_init ("cell-fuzz", &log);
  for (int i = 0; i < seeds; i++)
    if (!play (seed + (uint64_t)i, seconds, outlive))
      failed++;
  if (failed > 0)
    printf ("%d of %d seeds failed\n", failed, seeds);
  return failed > 0 ? 1 : 0;
}
