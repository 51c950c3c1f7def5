// Which steps of a customer at its upper limit start next.
#include <gtest/gtest.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "cell_harness.h"

using harness::Planner;
using harness::Sent;

static const int64_t task_cpu = 1000;
static const std::string gang_id = "00000000000000aa";

namespace
{

// A customer that always has further jobs of one task when one ends.
class BusyCustomer
{
public:
  explicit BusyCustomer (bool needs_approval, int limit)
  {
    cell.start_serving (8, needs_approval, limit * task_cpu);
    for (int i = 0; i < limit; i++)
      submit_single ();
    for (int i = 0; i < 4; i++)
      advance_time ();
  }

  void
  submit_single ()
  {
    char id[17];

    g_snprintf (id, sizeof id, "%016x", 0x1000 + singles++);
    cell.send_call (7, RST_OPERATION_SUBMIT, id,
                    Planner::make_job (1, task_cpu));
  }

  void
  submit_gang (int tasks, const char *label = "")
  {
    rst_jobdesc *desc = Planner::make_job (tasks, task_cpu, true);

    g_free (desc->steps[0].label);
    desc->steps[0].label = g_strdup (label);
    cell.send_call (8, RST_OPERATION_SUBMIT, gang_id, desc);
    advance_time ();
  }

  // Ends the run that started first, if one is known.
  void
  end_single ()
  {
    if (running.empty ())
      return;
    auto [id, task] = running.front ();
    std::vector<rst_run> runs;

    running.erase (running.begin ());
    for (const auto &[other_id, other_task] : running)
      if (other_id == id)
        runs.push_back (
            Planner::make_running_run (other_task.first, other_task.second));
    runs.push_back (Planner::make_ended_run (++end_numbers[id], task.first,
                                             task.second, RST_END_DONE));
    cell.report (1, id, runs);
  }

  // For 240 ms, approves what was asked about and confirms starts.
  void
  advance_time ()
  {
    std::vector<Sent> messages;

    cell.settle ();
    messages.swap (cell.sent);
    for (const Sent &message : messages)
      if (message.kind == RST_MSG_ADVISE)
        cell.send_advice (1, message.number, message.ids);
      else if (message.kind == RST_MSG_START)
        confirm (message);
  }

  // Ends one run after the other while further jobs come, and returns how many
  // runs ended before the gang started.
  int
  count_ends_before_gang (int max)
  {
    int ends = 0;

    for (; ends < max && gang_starts == 0; ends++)
      {
        submit_single ();
        end_single ();
        advance_time ();
      }
    return ends;
  }

  Planner cell;
  int gang_starts = 0;
  int single_starts = 0;

private:
  void
  confirm (const Sent &start)
  {
    cell.answer_order (1, RST_MSG_STARTED, start.id, start.task, start.attempt,
                       RST_RESULT_OK);
    if (start.task.rfind (gang_id, 0) == 0)
      {
        gang_starts++;
        return;
      }
    single_starts++;
    running.push_back ({ start.id, { start.task, start.attempt } });
  }

  int singles = 0;
  std::vector<std::pair<std::string, std::pair<std::string, int> > > running;
  std::map<std::string, int64_t> end_numbers;
};

} // namespace

// The first of a customer's waiting steps must not be passed by for ever by
// later ones that need less of its limit.
TEST (CustomerLimit, StartsAGangBeforeLaterTasksOfItsCustomer)
{
  BusyCustomer load (false, 8);

  ASSERT_EQ (load.single_starts, 8);
  load.submit_gang (4);
  ASSERT_EQ (load.gang_starts, 0);
  EXPECT_LE (load.count_ends_before_gang (12), 6);
  EXPECT_EQ (load.gang_starts, 4);
}

TEST (CustomerLimit, StartsAGangWithAdviceBeforeLaterTasksOfItsCustomer)
{
  BusyCustomer load (true, 8);

  ASSERT_EQ (load.single_starts, 8);
  load.submit_gang (4);
  ASSERT_EQ (load.gang_starts, 0);
  EXPECT_LE (load.count_ends_before_gang (12), 7);
  EXPECT_EQ (load.gang_starts, 4);
}

TEST (CustomerLimit, HoldsNothingForAGangAboveTheLimit)
{
  BusyCustomer load (false, 8);

  load.submit_gang (9);
  EXPECT_EQ (load.count_ends_before_gang (6), 6);
  EXPECT_EQ (load.single_starts, 8 + 6);
}

TEST (CustomerLimit, HoldsNothingForAGangThatNoInstanceMayRun)
{
  BusyCustomer load (false, 8);

  load.submit_gang (4, "absent");
  EXPECT_EQ (load.count_ends_before_gang (6), 6);
  EXPECT_EQ (load.single_starts, 8 + 6);
}

// The gang's job has no value any more after three times its objective of
// 3,500 ms.
TEST (CustomerLimit, HoldsNothingForAGangWithoutValue)
{
  BusyCustomer load (false, 8);

  load.submit_gang (7);
  EXPECT_EQ (load.count_ends_before_gang (3), 3);
  for (int i = 0; i < 50; i++)
    load.advance_time ();
  EXPECT_EQ (load.gang_starts, 0);
  EXPECT_EQ (load.single_starts, 8 + 3);
}
