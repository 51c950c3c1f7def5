// Starts under slow commits and with many waiting steps, and what the journal
// says of where tasks run over several hand-overs.
#include <gtest/gtest.h>

#include "cell_harness.h"

extern "C"
{
#include "cell/pack.h"
}

using harness::Planner;

static const char *const job_a = "00000000000000aa";
static const char *const job_b = "00000000000000bb";
static const std::string task_a0 = "00000000000000aa.0.0.0";

// Runs the planner; each commit takes @took milliseconds.
struct SlowStore
{
  Planner &planner;
  rst_ms took;
  size_t seen = 0;
  rst_ms began = 0;

  void
  advance (rst_ms length)
  {
    planner.answers_commits = false;
    for (rst_ms end = planner.now + length; planner.now < end;)
      {
        planner.advance_time (5);
        if (planner.commits.size () != seen)
          began = planner.now;
        seen = planner.commits.size ();
        if (planner.is_committing && planner.now - began >= took)
          planner.complete_commit ();
      }
  }

  // Returns how long it takes until @count starts were sent.
  rst_ms
  wait_for_starts (size_t count, rst_ms longest)
  {
    rst_ms from = planner.now;

    while (planner.now - from < longest
           && planner.sent_of_kind (RST_MSG_START).size () < count)
      advance (5);
    return planner.now - from;
  }
};

static std::string
name_job (int number)
{
  char id[17];

  snprintf (id, sizeof id, "%016x", number);
  return id;
}

// The passes are so rare then that an intent could be withdrawn before the
// next one.
TEST (StartIntent, RoomIsUsedThoughThousandsOfStepsWait)
{
  for (int waiting : { 10, 2500, 6000 })
    {
      Planner planner;

      planner.start_serving (2);
      planner.send_call (7, RST_OPERATION_SUBMIT, job_a,
                         Planner::make_job (2, 4000));
      planner.settle ();
      std::vector<harness::Sent> starts = planner.sent_of_kind (RST_MSG_START);

      ASSERT_EQ (starts.size (), 2u);
      for (int i = 0; i < waiting; i++)
        planner.send_call (100 + (uint64_t)i, RST_OPERATION_SUBMIT,
                           name_job (10 + i), Planner::make_job (1, 4000));
      SlowStore store{ planner, 30, planner.commits.size () };

      store.advance (1000);
      planner.sent.clear ();
      planner.report (
          1, starts[0].id,
          { Planner::make_ended_run (1, starts[0].task, 1, RST_END_DONE) });
      EXPECT_LT (store.wait_for_starts (1, 5000), 2000) << waiting;
    }
}

// A job that comes while a commit is under way starts with its own commit.
TEST (StartIntent, FirstStartTakesOneCommitOfItsOwn)
{
  for (int offset = 5; offset < 300; offset += 50)
    {
      Planner planner;

      planner.start_serving (2);
      planner.send_call (7, RST_OPERATION_SUBMIT, job_a,
                         Planner::make_job (1, 100));
      SlowStore store{ planner, 300, planner.commits.size () };

      store.advance (offset);
      planner.send_call (8, RST_OPERATION_SUBMIT, job_b,
                         Planner::make_job (1, 100));
      EXPECT_LE (store.wait_for_starts (2, 5000), 300 + 300 + 60) << offset;
    }
}

// The journal names one instance, another one lists the run: an order that was
// carried out late, see docs/PLATFORM.md, "Known gap".
TEST (StartIntent, AnAdoptedRunIsRecordedWhereItRuns)
{
  Planner first;
  Planner second (2);
  Planner third (3);
  std::vector<std::string> others;

  first.start_serving (3);
  std::string placed = first.start_job (job_a);

  first.settle ();
  for (const char *id : { "i-0", "i-1", "i-2" })
    if (placed != id)
      others.push_back (id);
  for (Planner *planner : { &second, &third })
    {
      planner->set_time (planner == &second ? first.now : second.now);
      planner->restore (first);
      if (planner == &third)
        planner->restore (second);
      planner->configure ();
      planner->add_agent (1);
      for (const char *id : { "i-0", "i-1", "i-2" })
        planner->add_instance (id);
      rst_planner_finish_restore (planner->planner);
      planner->report (1, placed, {});
      planner->report (1, others[1], {});
      if (planner == &second)
        planner->report (1, others[0],
                         { Planner::make_running_run (task_a0, 1) });
      for (int i = 0; i < 5; i++)
        planner->settle ();
      EXPECT_TRUE (planner->sent_of_kind (RST_MSG_START).empty ());
    }
}

// Versions before the intents read six bytes for each task, and skip what
// follows the rows that they know.
TEST (StartIntent, RecordsCanBeReadByEarlierVersions)
{
  Planner cell;

  cell.start_serving (2);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_a, Planner::make_job (3, 1000));
  cell.settle ();
  ASSERT_EQ (cell.sent_of_kind (RST_MSG_START).size (), 3u);
  msgpack_unpacked unpacked;
  rst_reader segment;
  size_t length = 0;

  // The record after the placement: kind, id, progress.
  ASSERT_TRUE (rst_reader_open (&segment, &unpacked,
                                cell.commits.back ().data.data (),
                                cell.commits.back ().data.size ()));
  rst_reader record = rst_reader_read_array (&segment);

  EXPECT_EQ (rst_reader_read_int (&record), 2);
  g_free (rst_reader_read_text (&record));
  rst_reader progress = rst_reader_read_array (&record);

  for (int i = 0; i < 3; i++)
    rst_reader_read_int (&progress);
  rst_reader occurrences = rst_reader_read_array (&progress);
  rst_reader occurrence = rst_reader_read_array (&occurrences);

  EXPECT_EQ (rst_reader_read_int (&occurrence), 0);
  rst_reader_read_bytes (&occurrence, &length);
  EXPECT_EQ (length, 3u * 6u);
  EXPECT_FALSE (occurrence.bad);
  msgpack_unpacked_destroy (&unpacked);
}

// A task that waits for room is recorded as running nowhere.  The first
// records of a successor, which is replaced soon, must not make it wait for a
// silent instance.
TEST (StartIntent, TheFirstRecordsOfASuccessorOpenNoIntent)
{
  Planner first;
  Planner second (2);
  Planner third (3);

  first.start_serving (2);
  first.send_call (7, RST_OPERATION_SUBMIT, job_a,
                   Planner::make_job (3, 4000));
  first.settle ();
  std::vector<harness::Sent> starts = first.sent_of_kind (RST_MSG_START);

  ASSERT_EQ (starts.size (), 2u);
  for (const harness::Sent &start : starts)
    first.answer_order (1, RST_MSG_STARTED, start.id, start.task, 1,
                        RST_RESULT_OK);
  first.settle ();
  first.settle ();
  for (Planner *planner : { &second, &third })
    {
      planner->set_time (planner == &second ? first.now : second.now);
      planner->restore (first);
      if (planner == &third)
        planner->restore (second);
      planner->configure ();
      planner->add_agent (1);
      planner->add_instance ("i-0");
      planner->add_instance ("i-1");
      rst_planner_finish_restore (planner->planner);
      planner->report (1, starts[0].id,
                       { Planner::make_running_run (starts[0].task, 1) });
      planner->advance_time (60);
    }
  ASSERT_FALSE (second.commits.empty ());
  third.report (
      1, starts[0].id,
      { Planner::make_ended_run (1, starts[0].task, 1, RST_END_DONE) });
  third.settle ();
  ASSERT_EQ (third.sent_of_kind (RST_MSG_START).size (), 1u);
  EXPECT_EQ (third.sent_of_kind (RST_MSG_START)[0].task,
             "00000000000000aa.0.0.2");
}
