/**
 * DOC: fuzz - stateful fuzzing of the schedulers and entries
 *
 * rapidcheck generates scripts of random commands, which are executed in a
 * simulated world.  The oracle checks its properties throughout, and a script
 * ends at the first command with a violation.  After the last command all
 * faults are healed, and all jobs and requests must end (property
 * "liveness").  A script with a violation is shrunk.
 */
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <iostream>

#include <rapidcheck.h>
#include <sodium.h>

#include "world.h"

extern "C"
{
#include "util/log.h"
}

namespace fuzz
{

enum CommandKind
{
  ADVANCE,
  REQUEST,
  REPEAT,
  SUBMIT,
  CANCEL,
  CRASH,
  RESTART,
  PAUSE,
  RESUME,
  STOP,
  CUT_ZONES,
  RECONNECT_ZONES,
  CUT_STORE,
  RECONNECT_STORE,
  SILENCE_LINK,
  STORE_DOWN,
  STORE_UP,
  LOSE_REPLIES,
  SLOW_CALLS,
  DUPLICATE_MESSAGES,
  STOP_CALL_FAULTS,
  SET_LIMIT,
  WITHDRAW_KEY,
  ZONE_OUT,
  ZONE_IN,
  INSTANCE_LEAVING,
  INSTANCE_BACK,
  INSTANCE_FAILING,
  INSTANCE_RECOVERED,
  REBOOT_INSTANCE,
  QUIET_PERIOD,
  KIND_COUNT,
};

const char *const kind_names[KIND_COUNT] = { "advance",
                                             "request",
                                             "repeat",
                                             "submit",
                                             "cancel",
                                             "crash",
                                             "restart",
                                             "pause",
                                             "resume",
                                             "stop",
                                             "cut-zones",
                                             "reconnect-zones",
                                             "cut-store",
                                             "reconnect-store",
                                             "silence-link",
                                             "store-down",
                                             "store-up",
                                             "lose-replies",
                                             "slow-calls",
                                             "duplicate-messages",
                                             "stop-call-faults",
                                             "set-limit",
                                             "withdraw-key",
                                             "zone-out",
                                             "zone-in",
                                             "instance-leaving",
                                             "instance-back",
                                             "instance-failing",
                                             "instance-recovered",
                                             "reboot-instance",
                                             "quiet-period" };

/* A command with two arguments from 0 to 9999, which each kind reduces to the
   ranges that it needs. */
struct Command
{
  CommandKind kind;
  int a;
  int b;
};

std::ostream &
operator<< (std::ostream &out, const Command &command)
{
  return out << kind_names[command.kind] << ' ' << command.a << ' '
             << command.b;
}

rc::Gen<Command>
make_command_generator ()
{
  using rc::gen::element;
  using rc::gen::just;

  auto kind = rc::gen::weightedOneOf<CommandKind> (
      { { 20, just (ADVANCE) },
        { 30, just (REQUEST) },
        { 5, just (REPEAT) },
        { 6, just (SUBMIT) },
        { 2, just (CANCEL) },
        { 12, element (RESTART, RESUME, RECONNECT_ZONES, RECONNECT_STORE,
                       STORE_UP, STOP_CALL_FAULTS) },
        { 7, element (CRASH, PAUSE, STOP, CUT_ZONES, CUT_STORE, SILENCE_LINK,
                      STORE_DOWN) },
        { 3, element (LOSE_REPLIES, SLOW_CALLS, DUPLICATE_MESSAGES) },
        { 4, element (SET_LIMIT, WITHDRAW_KEY) },
        { 1, just (QUIET_PERIOD) },
        { 4, element (ZONE_IN, INSTANCE_BACK, INSTANCE_RECOVERED) },
        { 2, element (ZONE_OUT, INSTANCE_LEAVING, INSTANCE_FAILING,
                      REBOOT_INSTANCE) } });

  return rc::gen::construct<Command> (kind, rc::gen::inRange (0, 10000),
                                      rc::gen::inRange (0, 10000));
}

/* Covers the longest deadline and the time for which an answer is kept. */
constexpr ms REQUEST_ID_RETENTION_MS = 130000;

/* Longer than the time after a fault in which the oracle doesn't check
   properties with a time bound. */
constexpr ms QUIET_PERIOD_MS = 11000;

/* High enough for all jobs that are left at the end of a script. */
constexpr int64_t FINAL_UPPER_LIMIT = 400;

class ScriptRun
{
public:
  explicit ScriptRun (uint64_t seed, const ClusterConfig &cluster)
      : world (cluster, seed)
  {
  }

  World world;

  /* Returns the index of the first command with a violation, the number of
     commands if there is one after the last command, or -1. */
  int
  execute (const std::vector<Command> &commands, bool trace)
  {
    int failed = execute_commands (commands, trace);

    if (failed >= 0 && trace)
      print_states ();
    return failed;
  }

private:
  int
  execute_commands (const std::vector<Command> &commands, bool trace)
  {
    world.advance (8000);
    for (size_t i = 0; i < commands.size (); i++)
      {
        if (trace)
          std::cout << "  " << i << " at " << world.now << ": " << commands[i]
                    << '\n';
        execute_command (commands[i]);
        world.advance (20 + commands[i].b % 80);
        if (!world.oracle.violations.empty ())
          return (int)i;
      }
    check_liveness ();
    return world.oracle.violations.empty () ? -1 : (int)commands.size ();
  }

  void
  print_states ()
  {
    for (const auto &value : world.store_values)
      if (value.first.compare (0, 7, "shared/") == 0)
        std::cout << value.first << ' ' << value.second.value << '\n';
    for (int i = 0; i < world.scheduler_count (); i++)
      if (world.node (i)->is_alive ())
        {
          char *text = rst_scheduler_format_status (world.node (i)->scheduler);

          std::cout << text << '\n';
          free (text);
        }
  }

  void
  execute_command (const Command &c)
  {
    switch (c.kind)
      {
      case ADVANCE:
        world.advance (c.a % 1500);
        break;
      case REQUEST:
        for (int i = 0; i <= c.b % 4; i++)
          world.send_request (
              c.a, c.b % world.cluster.teams, c.a % 3 == 0, c.a % 4 == 0,
              c.a % 17 == 0 ? 1500 : 5 + c.a % 100, 200 + c.b % 5000);
        break;
      case QUIET_PERIOD:
        run_quiet_period (c);
        break;
      case REPEAT:
        world.repeat_request (
            c.a, std::max (1, world.last_request_number () - c.b % 20));
        break;
      case SUBMIT:
        world.submit_job (c.a, c.b % world.cluster.teams,
                          c.a % 10 < 7   ? 0
                          : c.a % 10 < 9 ? 2
                                         : 1,
                          1 + c.b % 12, 500 + 500 * (c.a % 8),
                          100 + c.b % 3000, c.a % 2 == 0);
        break;
      case CANCEL:
        world.cancel_job_by_index (c.a, c.b);
        break;
      default:
        inject_fault (c);
        break;
      }
  }

  /* Heals all faults, waits until all changes have taken effect and sends
     requests and jobs, to which properties with a time bound then apply. */
  void
  run_quiet_period (const Command &c)
  {
    world.heal_faults ();
    world.advance (QUIET_PERIOD_MS);
    for (int t = 0; t < world.cluster.teams; t++)
      {
        world.send_request (c.a + t, t, false, false, 10, 2000);
        world.send_request_with_withdrawn_key (c.b + t, t);
        world.submit_job (c.a + t, t, 0, 2, 500, 200, false);
      }
    world.advance (1000);
  }

  Node *
  pick_node (int which)
  {
    return world.node (which % world.node_count ());
  }

  void
  inject_fault (const Command &c)
  {
    switch (c.kind)
      {
      case CRASH:
        world.crash (pick_node (c.a));
        break;
      case RESTART:
        for (int i = 0; i < world.node_count (); i++)
          world.restart (world.node (i));
        break;
      case PAUSE:
        world.pause (pick_node (c.a));
        break;
      case RESUME:
        for (int i = 0; i < world.node_count (); i++)
          world.resume (world.node (i));
        break;
      case STOP:
        world.stop (world.node (c.a % world.scheduler_count ()));
        break;
      case CUT_ZONES:
      case RECONNECT_ZONES:
        world.cut_zones (c.a % world.cluster.zones, c.b % world.cluster.zones,
                         c.kind == CUT_ZONES);
        break;
      case CUT_STORE:
      case RECONNECT_STORE:
        world.cut_store (c.a % world.cluster.zones, c.kind == CUT_STORE);
        break;
      case SILENCE_LINK:
        world.make_link_silent ((uint64_t)c.a);
        break;
      case STORE_DOWN:
      case STORE_UP:
        world.set_store_down (c.kind == STORE_DOWN);
        break;
      default:
        change_environment (c);
        break;
      }
  }

  void
  change_environment (const Command &c)
  {
    switch (c.kind)
      {
      case LOSE_REPLIES:
        world.set_fault_rates (c.a % 300, 0, 0);
        break;
      case SLOW_CALLS:
        world.set_fault_rates (0, c.a % 200, 0);
        break;
      case DUPLICATE_MESSAGES:
        world.set_fault_rates (0, 0, c.a % 300);
        break;
      case STOP_CALL_FAULTS:
        world.set_fault_rates (0, 0, 0);
        break;
      case SET_LIMIT:
        world.set_limit (c.a % world.cluster.teams, 4 + c.b % 40);
        break;
      case WITHDRAW_KEY:
        world.withdraw_key (c.a % world.cluster.teams);
        break;
      case ZONE_OUT:
      case ZONE_IN:
        world.set_zone_state (c.a % world.cluster.zones, c.kind == ZONE_OUT,
                              c.b % 2 == 0);
        break;
      case INSTANCE_LEAVING:
      case INSTANCE_BACK:
        world.set_instance_leaving (c.a, c.kind == INSTANCE_LEAVING);
        break;
      case INSTANCE_FAILING:
      case INSTANCE_RECOVERED:
        world.set_instance_failing (c.a, c.kind == INSTANCE_FAILING);
        break;
      case REBOOT_INSTANCE:
        world.reboot_instance (c.a);
        break;
      default:
        break;
      }
  }

  /* Heals all faults; then all jobs and requests must end. */
  void
  check_liveness ()
  {
    world.heal_all ();
    for (int z = 0; z < world.cluster.zones; z++)
      world.set_zone_state (z, false, false);
    for (int t = 0; t < world.cluster.teams; t++)
      world.set_limit (t, FINAL_UPPER_LIMIT);
    world.advance (30000);
    /* Services never end and would occupy the capacity for other jobs. */
    for (int i = 0; i < 3; i++)
      {
        world.cancel_all_services ();
        world.advance (10000);
      }
    for (int i = 0; i < 120 && world.count_unfinished_jobs () > 0; i++)
      world.advance (1000);
    if (world.count_unfinished_jobs () > 0)
      world.oracle.record_violation (
          "liveness",
          std::to_string (world.count_unfinished_jobs ())
              + " jobs have not ended",
          world.now);
    if (world.pending_request_count () > 0)
      world.oracle.record_violation (
          "liveness",
          std::to_string (world.pending_request_count ())
              + " requests have no outcome",
          world.now);
    check_requests (false);
    /* When the process that recorded a request id has lost its records, the
       outcome is unknown until no earlier run can have that id. */
    world.advance (REQUEST_ID_RETENTION_MS);
    check_requests (true);
  }

  void
  check_requests (bool keyed)
  {
    int before = world.answered_count;
    int sent = 0;

    for (int t = 0; t < world.cluster.teams; t++)
      for (int z = 0; z < world.cluster.zones; z++, sent++)
        world.send_request (z, t, false, keyed, 20, 3000);
    world.advance (8000);
    if (world.answered_count - before != sent)
      world.oracle.record_violation (
          "liveness",
          std::to_string (world.answered_count - before) + " of "
              + std::to_string (sent) + " requests were answered",
          world.now);
  }
};

static void
print_totals (const World &world)
{
  std::cout << "totals: " << world.answered_count << " answered, "
            << world.not_run_count << " not run, " << world.unknown_count
            << " unknown, " << world.oracle.run_count () << " runs, "
            << world.oracle.started_task_count () << " tasks started, "
            << world.store_writes << " store writes, " << world.store_reads
            << " store reads, " << world.messages << " messages, "
            << world.now / 1000 << " s\n";
}

/* Executes a script in a new world and returns the violations. */
static std::vector<Violation>
run_script (const std::vector<Command> &commands, uint64_t seed, bool trace,
            bool with_totals = false)
{
  ScriptRun run (seed, ClusterConfig ());

  run.execute (commands, trace);
  if (with_totals)
    print_totals (run.world);
  return run.world.oracle.violations;
}

constexpr int MAX_SHRINK_ATTEMPTS = 400;

/* Returns the shortest script found that violates the same property first. */
static std::vector<Command>
shrink (rc::Shrinkable<std::vector<Command> > failing, uint64_t seed,
        const std::string &property)
{
  int attempts = 0;
  bool progress = true;

  while (progress && attempts < MAX_SHRINK_ATTEMPTS)
    {
      auto candidates = failing.shrinks ();

      progress = false;
      while (attempts < MAX_SHRINK_ATTEMPTS)
        {
          auto next = candidates.next ();

          if (!next)
            break;
          attempts++;
          auto violations = run_script (next->value (), seed, false);

          if (violations.empty () || violations[0].property != property)
            continue;
          failing = *next;
          progress = true;
          break;
        }
    }
  return failing.value ();
}

static void
print_violations (const std::vector<Violation> &violations)
{
  for (size_t i = 0; i < violations.size () && i < 5; i++)
    std::cout << "violated: " << violations[i].property << ": "
              << violations[i].detail << " at " << violations[i].at << '\n';
}

static int
fuzz_seed (uint64_t seed, int steps, bool trace, bool shrinking)
{
  auto generator = rc::gen::container<std::vector<Command> > (
      (std::size_t)steps, make_command_generator ());
  auto generated = generator (rc::Random (seed), 100);
  std::vector<Violation> violations
      = run_script (generated.value (), seed, trace, true);

  if (!violations.empty ())
    {
      print_violations (violations);
      if (shrinking)
        {
          auto script = shrink (generated, seed, violations[0].property);

          std::cout << "shrunk script of " << script.size () << " commands:\n";
          for (const auto &command : script)
            std::cout << "  " << command << '\n';
          print_violations (run_script (script, seed, false));
        }
    }
  std::cout << "fuzz: seed " << seed << ", " << steps << " steps, "
            << violations.size () << " violations" << std::endl;
  return (int)violations.size ();
}

}

#ifdef RST_FAULTS
extern "C" int rst_fault;
int rst_fault = 0;
#endif

static void
print_help ()
{
  std::cout << "Usage: fuzz [--seed N] [--steps M] [--seeds COUNT] [--trace]"
               " [--no-shrink] [--fault N] [--log LEVEL]\n";
}

int
main (int argc, char **argv)
{
  uint64_t seed = 1;
  int steps = 2000;
  int seeds = 1;
  bool trace = false;
  bool shrinking = true;
  struct rst_log_config log = { false, "error" };
  int failed_seeds = 0;

  for (int i = 1; i < argc; i++)
    {
      std::string word = argv[i];
      const char *value = i + 1 < argc ? argv[i + 1] : "";

      if (word == "--help")
        {
          print_help ();
          return 0;
        }
      if (word == "--trace")
        trace = true;
      else if (word == "--no-shrink")
        shrinking = false;
      else if (word == "--seed" && ++i)
        seed = strtoull (value, nullptr, 10);
      else if (word == "--steps" && ++i)
        steps = atoi (value);
      else if (word == "--seeds" && ++i)
        seeds = atoi (value);
      else if (word == "--log" && ++i)
        g_strlcpy (log.level, value, sizeof log.level);
#ifdef RST_FAULTS
      else if (word == "--fault" && ++i)
        rst_fault = atoi (value);
#endif
      else
        {
          std::cerr << "fuzz: " << word << ": unknown argument\n";
          return 2;
        }
    }
  if (sodium_init () < 0 || steps < 1 || seeds < 1)
    return 2;
  rst_log_init ("fuzz", &log);
  for (int i = 0; i < seeds; i++)
    if (fuzz::fuzz_seed (seed + (uint64_t)i, steps, trace, shrinking) > 0)
      failed_seeds++;
  if (seeds > 1)
    std::cout << seeds - failed_seeds << " of " << seeds
              << " seeds without violations\n";
  return failed_seeds == 0 ? 0 : 1;
}
