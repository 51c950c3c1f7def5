// What the platform's list of machines tells of silent instances.
#include <gtest/gtest.h>

#include "cell_harness.h"

extern "C"
{
#include "adapter_private.h"
#include "daemon/machine_list.h"
}

using harness::Planner;

static const char *const job_a = "00000000000000aa";
static const rst_ms lease_left_ms = 6000;

// A machine: the id of its instance, its zone and its rack.
struct Machine
{
  std::string id;
  std::string zone = "a";
  std::string rack = "r1";
};

static void
note_machines (Planner &cell, const std::vector<Machine> &machines,
               rst_ms requested_at)
{
  GArray *list = g_array_new (FALSE, TRUE, sizeof (rst_machine));

  for (const Machine &machine : machines)
    {
      rst_machine row = {};

      g_strlcpy (row.id, machine.id.c_str (), sizeof row.id);
      g_strlcpy (row.zone, machine.zone.c_str (), sizeof row.zone);
      g_strlcpy (row.rack, machine.rack.c_str (), sizeof row.rack);
      g_array_append_val (list, row);
    }
  rst_planner_note_machines (cell.planner, list, requested_at);
  g_array_free (list, TRUE);
}

// Reads one list and then another that confirms it.
static void
note_twice (Planner &cell, const std::vector<Machine> &machines)
{
  for (int i = 0; i < 2; i++)
    {
      cell.advance_time (300);
      note_machines (cell, machines, cell.now - 30);
    }
  cell.settle ();
}

// Starts job_a, a gang that needs both instances.  The first one leaves and
// falls silent; the runs of the second one are stopped.  Returns once i-2 and
// i-3 could take the gang.
static void
leave_under_gang (Planner &cell, bool draining = true)
{
  std::vector<rst_run> ends;

  cell.start_serving (2);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a,
                  Planner::make_job (4, 2000, true));
  cell.settle ();
  ASSERT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 4u);
  for (const auto &start : cell.sent_of_kind (RST_MSG_START))
    {
      cell.answer_order (1, RST_MSG_STARTED, start.id, start.task, 1,
                         RST_RESULT_OK);
      if (start.id == "i-1")
        ends.push_back (Planner::make_ended_run (
            (int64_t)ends.size () + 1, start.task, 1, RST_END_GANG_BROKEN));
    }
  cell.advance_time (3000);
  if (draining)
    cell.add_instance ("i-0", true);
  cell.report (1, "i-0", {}, 1, RST_RESULT_UNKNOWN, lease_left_ms);
  cell.add_instance ("i-2");
  cell.report (1, "i-2", {});
  cell.report (1, "i-1", ends);
  cell.settle ();
  cell.sent.clear ();
}

static size_t
count_starts (const Planner &cell)
{
  return cell.sent_of_kind (RST_MSG_START).size ();
}

// An instance that left in good order held its tasks for the whole lease
// (issue 57).
TEST (MachineList, AnInstanceThatTwoListsLackHasEnded)
{
  Planner cell;

  leave_under_gang (cell);
  EXPECT_EQ (count_starts (cell), 0u);
  note_twice (cell, { { "i-1" }, { "i-2" } });
  EXPECT_EQ (count_starts (cell), 4u);
}

// Pages are not a snapshot: a machine may be missing between two of them.
TEST (MachineList, OneListIsNotEnough)
{
  Planner cell;

  leave_under_gang (cell);
  note_machines (cell, { { "i-1" }, { "i-2" } }, cell.now - 30);
  cell.settle ();
  EXPECT_EQ (count_starts (cell), 0u);
}

// It is late, or a copy of the first one.
TEST (MachineList, AListThatIsNoLaterConfirmsNothing)
{
  Planner cell;
  rst_ms first;

  leave_under_gang (cell);
  first = cell.now - 30;
  note_machines (cell, { { "i-1" }, { "i-2" } }, first);
  note_machines (cell, { { "i-1" }, { "i-2" } }, first);
  note_machines (cell, { { "i-1" }, { "i-2" } }, first - 20);
  note_machines (cell, { { "i-1" }, { "i-2" } }, first - 1000);
  cell.settle ();
  EXPECT_EQ (count_starts (cell), 0u);
  note_machines (cell, { { "i-1" }, { "i-2" } }, first + 1);
  cell.settle ();
  EXPECT_EQ (count_starts (cell), 4u);
}

TEST (MachineList, ListsThatLackItMustFollowEachOther)
{
  Planner cell;

  leave_under_gang (cell);
  note_machines (cell, { { "i-1" }, { "i-2" } }, cell.now - 30);
  cell.advance_time (300);
  note_machines (cell, { { "i-0" }, { "i-1" }, { "i-2" } }, cell.now - 30);
  cell.advance_time (300);
  note_machines (cell, { { "i-1" }, { "i-2" } }, cell.now - 30);
  cell.settle ();
  EXPECT_EQ (count_starts (cell), 0u);
}

// An instance that is cut off stays on the list and runs on.
TEST (MachineList, AListedInstanceIsOnlySilent)
{
  Planner cell;

  leave_under_gang (cell);
  for (int i = 0; i < 3; i++)
    note_twice (cell, { { "i-0" }, { "i-1" }, { "i-2" } });
  EXPECT_EQ (count_starts (cell), 0u);
}

// A list that was requested before the silence may be older than the instance.
TEST (MachineList, ListsRequestedBeforeTheSilenceChangeNothing)
{
  Planner cell;
  rst_ms before;

  leave_under_gang (cell);
  before = cell.now - 1000;
  for (int i = 0; i < 3; i++)
    note_machines (cell, { { "i-1" }, { "i-2" } }, before + i);
  cell.settle ();
  EXPECT_EQ (count_starts (cell), 0u);
}

// The same holds for the first of the two lists.
TEST (MachineList, AListBeforeTheSilenceDoesNotCountAsTheFirst)
{
  Planner cell;

  leave_under_gang (cell);
  note_machines (cell, { { "i-1" }, { "i-2" } }, cell.now - 1000);
  note_machines (cell, { { "i-1" }, { "i-2" } }, cell.now - 30);
  cell.settle ();
  EXPECT_EQ (count_starts (cell), 0u);
}

// Between two silences the instance has answered.
TEST (MachineList, AListOfAnEarlierSilenceDoesNotCount)
{
  Planner cell;
  std::vector<rst_run> runs;

  cell.start_serving (2);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a, Planner::make_job (1, 2000));
  cell.settle ();
  std::string id = cell.sent_of_kind (RST_MSG_START).at (0).id;
  std::string other = id == "i-0" ? "i-1" : "i-0";
  std::string task = std::string (job_a) + ".0.0.0";

  cell.answer_order (1, RST_MSG_STARTED, id, task, 1, RST_RESULT_OK);
  cell.advance_time (3000);
  cell.add_instance (id, true);
  cell.report (1, id, {}, 1, RST_RESULT_UNKNOWN, lease_left_ms);
  cell.advance_time (600);
  note_machines (cell, { { other } }, cell.now - 30);
  cell.report (1, id, { Planner::make_running_run (task, 1) });
  cell.advance_time (100);
  cell.report (1, id, {}, 1, RST_RESULT_UNKNOWN, lease_left_ms);
  cell.advance_time (600);
  cell.sent.clear ();
  note_machines (cell, { { other } }, cell.now - 30);
  cell.settle ();
  EXPECT_EQ (count_starts (cell), 0u);
  note_twice (cell, { { other } });
  EXPECT_EQ (count_starts (cell), 1u);
}

// A machine that is down may start the instance again under its id, and that
// may carry out an order that came late.
TEST (MachineList, AMachineWithoutAnInstanceMayBeItsOwn)
{
  Planner cell;

  leave_under_gang (cell);
  note_twice (cell, { { "i-1" }, { "i-2" }, { "", "a", "" } });
  EXPECT_EQ (count_starts (cell), 0u);
  note_twice (cell, { { "i-1" }, { "i-2" }, { "", "b", "" } });
  EXPECT_EQ (count_starts (cell), 4u);
}

// A list without the instances that answer is not that of this cell.
TEST (MachineList, AListWithoutInstancesThatAnswerChangesNothing)
{
  Planner cell;

  leave_under_gang (cell);
  note_twice (cell, {});
  note_twice (cell, { { "i-2" } });
  note_twice (cell, { { "i-8" }, { "i-9" } });
  EXPECT_EQ (count_starts (cell), 0u);
}

// The list may be behind the entries.
TEST (MachineList, AnInstanceThatIsTooNewIsOnlySilent)
{
  Planner cell;

  cell.start_serving (1);
  cell.add_instance ("i-1");
  cell.report (1, "i-1", {});
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a, Planner::make_job (2, 3000));
  cell.settle ();
  ASSERT_EQ (count_starts (cell), 2u);
  for (const auto &start : cell.sent_of_kind (RST_MSG_START))
    cell.answer_order (1, RST_MSG_STARTED, start.id, start.task, 1,
                       RST_RESULT_OK);
  cell.add_instance ("i-1", true);
  cell.report (1, "i-1", {}, 1, RST_RESULT_UNKNOWN, lease_left_ms);
  cell.add_instance ("i-2");
  cell.report (1, "i-2", {});
  cell.sent.clear ();
  note_twice (cell, { { "i-0" }, { "i-2" } });
  EXPECT_EQ (count_starts (cell), 0u);
  cell.advance_time (1500);
  note_twice (cell, { { "i-0" }, { "i-2" } });
  EXPECT_EQ (count_starts (cell), 1u);
}

// One that did not drain may have crashed under its tasks; the answer from its
// address counts the crash.
TEST (MachineList, AnInstanceThatDidNotDrainIsLeftToItsAddressOrItsLease)
{
  Planner cell;

  leave_under_gang (cell, false);
  note_twice (cell, { { "i-1" }, { "i-2" } });
  EXPECT_EQ (count_starts (cell), 0u);
}

// It answers again after all: what it still runs is listed and stopped.
TEST (MachineList, AnInstanceThatAnswersAgainCountsAgain)
{
  Planner cell;
  std::vector<rst_run> runs;

  leave_under_gang (cell);
  note_twice (cell, { { "i-1" }, { "i-2" } });
  ASSERT_EQ (count_starts (cell), 4u);
  runs.push_back (Planner::make_running_run (
      cell.sent_of_kind (RST_MSG_START)[0].task, 1));
  cell.sent.clear ();
  cell.report (1, "i-0", runs);
  EXPECT_EQ (cell.sent_of_kind (RST_MSG_STOP).size (), 1u);
}

// A successor waited for instances that had left before (issue 57).
TEST (MachineList, ASuccessorDoesNotWaitForAnInstanceThatIsGone)
{
  Planner predecessor;
  Planner successor (2);

  predecessor.start_serving (2);
  predecessor.send_call (7, RST_OPERATION_SUBMIT, job_a,
                         Planner::make_job (2, 4000));
  predecessor.settle ();
  ASSERT_EQ (count_starts (predecessor), 2u);
  for (const auto &start : predecessor.sent_of_kind (RST_MSG_START))
    predecessor.answer_order (1, RST_MSG_STARTED, start.id, start.task, 1,
                              RST_RESULT_OK);
  predecessor.settle ();
  successor.set_time (predecessor.now);
  successor.restore (predecessor);
  successor.configure ();
  successor.add_agent (1);
  successor.add_instance ("i-1");
  successor.add_instance ("i-2");
  rst_planner_finish_restore (successor.planner);
  for (const auto &start : predecessor.sent_of_kind (RST_MSG_START))
    if (start.id == "i-1")
      successor.report (1, "i-1",
                        { Planner::make_running_run (start.task, 1) });
  successor.report (1, "i-2", {});
  successor.settle ();
  EXPECT_EQ (count_starts (successor), 0u);
  note_twice (successor, { { "i-1" }, { "i-2" } });
  EXPECT_EQ (count_starts (successor), 1u);
}

// A crash counts under the tasks; that a machine was taken away doesn't.  A
// task on trial would start alone on an instance.
TEST (MachineList, TasksOfAnInstanceThatLeftAreNoSuspects)
{
  Planner cell;

  leave_under_gang (cell);
  note_twice (cell, { { "i-1" }, { "i-2" } });
  rst_planner_stats stats = {};

  rst_planner_read_stats (cell.planner, &stats);
  EXPECT_EQ (stats.crashes, 0u);
}

TEST (MachineList, IsWantedOnlyWhileSilenceMatters)
{
  Planner cell;
  int wanted = 0;

  cell.start_serving (2);
  for (int i = 0; i < 100; i++)
    {
      cell.advance_time (50);
      wanted += rst_planner_wants_machines (cell.planner);
    }
  EXPECT_EQ (wanted, 0);
}

// Each call to the platform is priced.
TEST (MachineList, IsWantedSeldomWhileTheSameInstancesAreSilent)
{
  Planner cell;
  int wanted = 0;

  leave_under_gang (cell);
  for (rst_ms end = cell.now + 4900; cell.now < end;)
    {
      cell.advance_time (50);
      if (!rst_planner_wants_machines (cell.planner))
        continue;
      wanted++;
      note_machines (cell, { { "i-0" }, { "i-1" }, { "i-2" } }, cell.now);
    }
  EXPECT_EQ (wanted, 1);
}

// A list that can't be read is wanted again, once a second.
TEST (MachineList, IsWantedAgainWhenItWasNotRead)
{
  Planner cell;
  int wanted = 0;

  leave_under_gang (cell);
  for (rst_ms end = cell.now + 4900; cell.now < end;)
    {
      cell.advance_time (50);
      wanted += rst_planner_wants_machines (cell.planner);
    }
  EXPECT_GE (wanted, 4);
  EXPECT_LE (wanted, 6);
}

TEST (MachineList, IsWantedSoonToConfirmAnEnd)
{
  Planner cell;
  int wanted = 0;

  leave_under_gang (cell);
  for (rst_ms end = cell.now + 1000; cell.now < end;)
    {
      cell.advance_time (50);
      if (!rst_planner_wants_machines (cell.planner))
        continue;
      wanted++;
      note_machines (cell, { { "i-1" }, { "i-2" } }, cell.now);
    }
  EXPECT_EQ (wanted, 2);
  cell.settle ();
  EXPECT_EQ (count_starts (cell), 4u);
}

// A page of the list as the platform writes it.
static bool
parse (const char *text, rst_machines_answer *answer)
{
  return rst_platform_parse_machines (text, answer);
}

TEST (MachinePage, HasInstancesZonesRacksAndTheNextPage)
{
  rst_machines_answer *answer = rst_machines_answer_new ();

  ASSERT_TRUE (parse (
      "{\"machines\":[{\"machine\":\"m-1\",\"pool\":\"p\",\"state\":\"up\","
      "\"zone\":\"z\",\"labels\":[\"a\",\"r1-2\"],\"capacity\":{\"cpu\":1},"
      "\"id\":\"i-1\",\"new\":[{}]},"
      "{\"machine\":\"m-2\",\"state\":\"down\",\"zone\":\"z\",\"id\":null},"
      "{\"machine\":\"m-3\",\"state\":\"upkeep\",\"zone\":\"y\","
      "\"labels\":[\"a\"]}],\"next_token\":\"pc8\"}",
      answer));
  ASSERT_EQ (answer->machines->len, 3u);
  const auto *machines = (const rst_machine *)(void *)answer->machines->data;

  EXPECT_STREQ (machines[0].id, "i-1");
  EXPECT_STREQ (machines[0].zone, "z");
  EXPECT_STREQ (machines[0].rack, "r1-2");
  EXPECT_STREQ (machines[1].id, "");
  EXPECT_STREQ (machines[1].rack, "");
  EXPECT_STREQ (machines[2].id, "");
  EXPECT_STREQ (answer->next_page, "pc8");
  rst_machines_answer_free (answer);
}

TEST (MachinePage, IsTheLastOneWithoutAToken)
{
  for (const char *text : { "{\"machines\":[],\"next_token\":null}",
                            "{\"machines\":[],\"next_token\":\"\"}" })
    {
      rst_machines_answer *answer = rst_machines_answer_new ();

      EXPECT_TRUE (parse (text, answer)) << text;
      EXPECT_EQ (answer->next_page, nullptr) << text;
      rst_machines_answer_free (answer);
    }
}

// A row that can't be read may be that of any instance, and a page without
// the name of the next one may not be the last.
TEST (MachinePage, IsRejectedWhenAnythingNeededIsMissing)
{
  for (const char *text :
       { "", "[]", "{}", "{\"machines\":[]}", "{\"machines\":{}}",
         "{\"next_token\":null}", "{\"machines\":[],\"next_token\":7}",
         "{\"machines\":[],\"next_token\":\"a\\u0000b\"}",
         "{\"machines\":[7],\"next_token\":null}",
         "{\"machines\":[null],\"next_token\":null}",
         "{\"machines\":[{\"id\":\"i-1\"}],\"next_token\":null}",
         "{\"machines\":[{\"id\":7,\"zone\":\"z\"}],\"next_token\":null}",
         "{\"machines\":[{\"id\":\"i-1\",\"zone\":\"z\",\"labels\":[1,2]}],"
         "\"next_token\":null}",
         "{\"machines\":[{\"id\":\"i\\u0000-1\",\"zone\":\"z\"}],"
         "\"next_token\":null}",
         "{\"machines\":[{\"id\":\"i-1\",\"zone\":\"z\"}],\"next_to" })
    {
      rst_machines_answer *answer = rst_machines_answer_new ();

      EXPECT_FALSE (parse (text, answer)) << text;
      rst_machines_answer_free (answer);
    }
  std::string long_id (RST_ID_SIZE, 'i');
  rst_machines_answer *answer = rst_machines_answer_new ();

  EXPECT_FALSE (parse (("{\"machines\":[{\"id\":\"" + long_id
                        + "\",\"zone\":\"z\"}],\"next_token\":null}")
                           .c_str (),
                       answer));
  rst_machines_answer_free (answer);
}

static rst_ms reader_now;

// A reader whose calls the test answers.
class MachineReader : public ::testing::Test
{
protected:
  MachineReader ()
  {
    rst_machine_list_config config = {};

    backend.list_machines = list_machines;
    backend.userdata = this;
    config.backend = &backend;
    config.now = [] { return reader_now; };
    config.on_list = on_list;
    config.userdata = this;
    list = rst_machine_list_create (&config);
  }

  static void
  list_machines (void *userdata, const char *page, rst_machines_done done,
                 void *data)
  {
    auto *self = (MachineReader *)userdata;

    self->calls.push_back (page != nullptr ? page : "first");
    self->done = done;
    self->data = data;
  }

  static void
  on_list (void *userdata, const GArray *machines, rst_ms requested_at)
  {
    auto *self = (MachineReader *)userdata;

    self->lists.push_back ({ machines->len, requested_at });
  }

  void
  answer (rst_result result, const char *next_page)
  {
    rst_machines_answer *answer = rst_machines_answer_new ();
    rst_machine machine = {};

    answer->result = result;
    answer->next_page = g_strdup (next_page);
    g_array_append_val (answer->machines, machine);
    reader_now += 20;
    done (answer, data);
  }

  rst_backend backend = {};
  rst_machine_list *list;
  rst_machines_done done = nullptr;
  void *data = nullptr;
  std::vector<std::string> calls;
  std::vector<std::pair<guint, rst_ms> > lists;
};

TEST_F (MachineReader, DeliversAllPagesWithTheTimeOfTheFirst)
{
  reader_now = 1000;
  rst_machine_list_request (list);
  rst_machine_list_request (list);
  answer (RST_RESULT_OK, "p2");
  EXPECT_TRUE (lists.empty ());
  answer (RST_RESULT_OK, nullptr);
  EXPECT_EQ (calls, (std::vector<std::string>{ "first", "p2" }));
  ASSERT_EQ (lists.size (), 1u);
  EXPECT_EQ (lists[0], (std::pair<guint, rst_ms>{ 2u, 1000 }));
  rst_machine_list_destroy (list);
}

TEST_F (MachineReader, DeliversNothingOfAListWithABadPage)
{
  rst_machine_list_request (list);
  answer (RST_RESULT_OK, "p2");
  answer (RST_RESULT_REJECTED, nullptr);
  EXPECT_TRUE (lists.empty ());
  rst_machine_list_request (list);
  answer (RST_RESULT_OK, nullptr);
  ASSERT_EQ (lists.size (), 1u);
  EXPECT_EQ (lists[0].first, 1u);
  rst_machine_list_destroy (list);
}

TEST_F (MachineReader, GivesUpAListWithoutEnd)
{
  rst_machine_list_request (list);
  for (int i = 0; i < 1000 && calls.size () == (size_t)i + 1; i++)
    answer (RST_RESULT_OK, "again");
  EXPECT_TRUE (lists.empty ());
  EXPECT_LT (calls.size (), 100u);
  rst_machine_list_destroy (list);
}

TEST_F (MachineReader, DeliversNothingAfterDestroy)
{
  rst_machine_list_request (list);
  rst_machine_list_destroy (list);
  answer (RST_RESULT_OK, nullptr);
  EXPECT_TRUE (lists.empty ());
}
