// Failed runs of tasks, of which there may be thousands.
#include <memory>
#include <random>
#include <set>

#include <gtest/gtest.h>

#include "unit/cell_harness.h"

extern "C"
{
#include "cell/failures.h"
}

using harness::Planner;

static const char job_id[] = "00000000000000aa";
static const char task_name[] = "00000000000000aa.0.0.0";

namespace
{

struct Failures
{
  ~Failures () { rst_failures_destroy (value); }

  bool
  add (int attempt)
  {
    return rst_failures_add (&value, attempt);
  }

  // Packs the failures, reads them back, and returns the packed size.
  size_t
  store_and_restore ()
  {
    rst_pack pack;
    msgpack_unpacked unpacked;
    rst_reader reader;
    size_t size;

    rst_pack_init (&pack, 1);
    rst_failures_pack (value, &pack);
    size = pack.buffer.size;
    rst_failures_destroy (value);
    EXPECT_TRUE (rst_reader_open (&reader, &unpacked, pack.buffer.data, size));
    value = rst_failures_read (&reader);
    EXPECT_FALSE (reader.bad);
    msgpack_unpacked_destroy (&unpacked);
    rst_pack_clear (&pack);
    return size;
  }

  rst_failures *value = nullptr;
};

}

// Guards against ends that are counted twice when they are listed again, in
// any order, before or after the failures were stored.
TEST (Failures, CountEachAttemptOnce)
{
  std::mt19937 random (1);

  for (int round = 0; round < 50; round++)
    {
      Failures failures;
      std::set<int> counted;
      std::set<int> settled;

      for (int i = 0; i < 400; i++)
        {
          int attempt = (int)(random () % 300);

          if (random () % 4 == 0 && counted.count (attempt) == 0
              && failures.value != nullptr)
            {
              rst_failures_settle (failures.value, attempt);
              settled.insert (attempt);
            }
          else if (settled.count (attempt) == 0)
            {
              EXPECT_EQ (failures.add (attempt),
                         counted.insert (attempt).second);
            }
          EXPECT_EQ (rst_failures_count (failures.value),
                     (int)counted.size ());
          if (i % 100 == 99)
            failures.store_and_restore ();
        }
      for (int attempt : settled)
        EXPECT_FALSE (failures.add (attempt));
    }
}

// Guards against a record that grows with each failed run.
TEST (Failures, TakeFewBytesWhenThousandsOfRunsFail)
{
  Failures failures;

  for (int attempt = 1; attempt <= 50000; attempt++)
    if (attempt % 3 == 0)
      rst_failures_settle (failures.value, attempt);
    else
      failures.add (attempt);
  EXPECT_LT (failures.store_and_restore (), 32u);
  EXPECT_EQ (rst_failures_count (failures.value), 50000 - 50000 / 3);
  EXPECT_FALSE (failures.add (1));
  EXPECT_TRUE (failures.add (G_MAXINT32));
  failures.store_and_restore ();
  EXPECT_FALSE (failures.add (G_MAXINT32));
}

// The job's state as callers see it.
static rst_job_state
read_state (Planner *cell, uint64_t call)
{
  cell->send_call (call, RST_OPERATION_READ, job_id);
  return (rst_job_state)cell->reply_to (call)->reply.state;
}

// Guards against a count that is cut when it is stored: further planners
// started a task more often than its queue allows (BUDGET).
TEST (Failures, AreCountedOnByEachPlanner)
{
  const int attempts = 1000;
  std::vector<std::unique_ptr<Planner> > planners;
  int attempt = 0;

  for (int64_t epoch = 1; epoch <= 5; epoch++)
    {
      auto cell = std::make_unique<Planner> (epoch);

      cell->max_failures = attempts;
      for (const auto &predecessor : planners)
        cell->restore (*predecessor);
      EXPECT_EQ (cell->unreadable, 0);
      cell->start_serving (1);
      if (epoch == 1)
        cell->send_call (7, RST_OPERATION_SUBMIT, job_id,
                         Planner::make_job (1, 1000));
      cell->settle ();
      std::vector<rst_run> ends;

      for (int i = 0; i < attempts / 5; i++)
        {
          EXPECT_NE (read_state (cell.get (), 1000 + (uint64_t)i),
                     RST_JOB_FAILED)
              << attempt;
          attempt++;
          ends.push_back (Planner::make_ended_run (i + 1, task_name, attempt,
                                                   RST_END_FAILED));
          cell->report (1, "i-0", { ends.back () }, epoch);
        }
      // The ends have not been acknowledged and are listed again.
      cell->report (1, "i-0", ends, epoch + 1);
      cell->settle ();
      planners.push_back (std::move (cell));
    }
  EXPECT_EQ (read_state (planners.back ().get (), 9000), RST_JOB_FAILED);
}

// Guards against a sound job that is given up since ends which are listed
// again count twice after many failures (LOST).
TEST (Failures, ListedAgainAfterManyOthersCountOnce)
{
  Planner cell;
  std::vector<rst_run> ends;

  cell.max_failures = 40;
  cell.start_serving (1);
  cell.send_call (7, RST_OPERATION_SUBMIT, job_id,
                  Planner::make_job (1, 1000));
  cell.settle ();
  for (int attempt = 1; attempt < 40; attempt++)
    ends.push_back (
        Planner::make_ended_run (attempt, task_name, attempt, RST_END_FAILED));
  for (int64_t incarnation = 1; incarnation < 4; incarnation++)
    cell.report (1, "i-0", ends, incarnation);
  cell.settle ();
  EXPECT_EQ (read_state (&cell, 8), RST_JOB_RUNNING);
  cell.report (1, "i-0",
               { Planner::make_ended_run (1, task_name, 40, RST_END_FAILED) },
               5);
  cell.settle ();
  EXPECT_EQ (read_state (&cell, 9), RST_JOB_FAILED);
}

// Guards against an upgrade that forgets failed runs: records of earlier
// versions have them behind the flags of a task.
TEST (Failures, AreReadFromRecordsOfEarlierVersions)
{
  const std::string task ("\0\2\0\0\0\5\0\0\0\2\0\0\0\4", 14);
  rst_jobdesc *desc = Planner::make_job (1, 1000);
  Planner cell;
  rst_pack pack;

  cell.max_failures = 3;
  rst_pack_init (&pack, 1);
  rst_pack_array (&pack, 8);
  rst_pack_int (&pack, 1);
  rst_pack_text (&pack, job_id);
  rst_pack_text (&pack, "q");
  rst_pack_text (&pack, "c");
  rst_pack_int (&pack, 1700000000000);
  rst_pack_int (&pack, 0);
  rst_jobdesc_pack (&pack, desc);
  rst_pack_array (&pack, 6);
  rst_pack_int (&pack, RST_JOB_RUNNING);
  rst_pack_int (&pack, 0);
  rst_pack_int (&pack, 1);
  rst_pack_array (&pack, 1);
  rst_pack_array (&pack, 2);
  rst_pack_int (&pack, 0);
  rst_pack_bytes (&pack, task.data (), task.size ());
  rst_pack_int (&pack, 1);
  rst_pack_array (&pack, 0);
  EXPECT_TRUE (rst_planner_restore (cell.planner, 1, pack.buffer.data,
                                    pack.buffer.size));
  rst_pack_clear (&pack);
  rst_jobdesc_destroy (desc);
  cell.start_serving (1);
  cell.report (1, "i-0",
               { Planner::make_ended_run (1, task_name, 4, RST_END_FAILED) });
  cell.settle ();
  EXPECT_EQ (read_state (&cell, 8), RST_JOB_RUNNING);
  cell.report (1, "i-0",
               { Planner::make_ended_run (2, task_name, 5, RST_END_FAILED) });
  cell.settle ();
  EXPECT_EQ (read_state (&cell, 9), RST_JOB_FAILED);
}
