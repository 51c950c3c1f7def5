// Steps that run faster on a single rack: which rack is chosen, and when they
// wait for it or spread.
#include <gtest/gtest.h>

#include "unit/cell_harness.h"

using harness::Planner;
using harness::Sent;

namespace
{

// Only rack b has room for six tasks.  Best fit begins with a's instance, and
// a gang with c's.
class Racks : public Planner
{
public:
  explicit Racks (double remote_penalty)
      : Planner (make_timing (0, false, remote_penalty), 1)
  {
    configure ();
    add_agent (1);
    add_instance ("a-1", false, "a", 1, 2000, "a");
    add_instance ("b-1", false, "a", 1, 3000, "b");
    add_instance ("b-2", false, "a", 1, 3000, "b");
    add_instance ("c-1", false, "a", 1, 4000, "c");
    rst_planner_finish_restore (planner);
    for (const char *id : { "a-1", "b-1", "b-2", "c-1" })
      report (1, id, {});
    settle ();
    sent.clear ();
  }

  void
  submit (const std::string &id, int tasks, bool gang)
  {
    rst_jobdesc *desc = make_job (tasks, 1000, gang);

    desc->steps[0].prefers_one_rack = true;
    send_call (++calls, RST_OPERATION_SUBMIT, id, desc);
    advance_time (60);
    if (is_committing)
      complete_commit ();
  }

  // Fills rack b with six tasks of 1 s that end in 300 ms.
  void
  fill_rack ()
  {
    submit ("0000000000000001", 6, false);
    first_starts = sent_of_kind (RST_MSG_START);
    for (const Sent &start : first_starts)
      answer_order (1, RST_MSG_STARTED, start.id, start.task, start.attempt,
                    RST_RESULT_OK);
    advance_time (700);
    sent.clear ();
  }

  void
  end_first_job ()
  {
    std::map<std::string, std::vector<rst_run> > ends;

    for (const Sent &start : first_starts)
      ends[start.id].push_back (
          make_ended_run ((int64_t)ends[start.id].size () + 1, start.task,
                          start.attempt, RST_END_DONE));
    for (auto &entry : ends)
      report (1, entry.first, entry.second);
  }

  std::string
  list_racks () const
  {
    std::string racks;

    for (const Sent &start : sent_of_kind (RST_MSG_START))
      racks += start.id[0];
    std::sort (racks.begin (), racks.end ());
    return racks;
  }

private:
  uint64_t calls = 0;
  std::vector<Sent> first_starts;
};

} // namespace

// Tasks that are spread take remote_penalty times as long; without a penalty,
// the placement is that of other steps.
TEST (PlanRackChoice, StartsAllTasksInOneRack)
{
  for (bool gang : { false, true })
    {
      Racks racks (2.0);
      Racks without_penalty (1.0);

      racks.submit ("0000000000000001", 6, gang);
      EXPECT_EQ (racks.list_racks (), "bbbbbb");
      without_penalty.submit ("0000000000000001", 6, gang);
      EXPECT_EQ (without_penalty.list_racks (), gang ? "bbcccc" : "aabbbb")
          << "gang: " << gang;
    }
}

TEST (PlanRackChoice, WaitsForRoomForAllTasksAndStartsThemThere)
{
  for (bool gang : { false, true })
    {
      Racks racks (2.0);

      racks.fill_rack ();
      racks.submit ("0000000000000002", 6, gang);
      EXPECT_EQ (racks.list_racks (), "");
      racks.end_first_job ();
      racks.advance_time (20);
      EXPECT_EQ (racks.list_racks (), "bbbbbb") << "gang: " << gang;
    }
}

// A wait that ends without room must not keep the tasks from other racks.
TEST (PlanRackChoice, SpreadsTheTasksWhenTheWaitHasTakenWhatItGains)
{
  for (bool gang : { false, true })
    {
      Racks racks (1.5);

      racks.fill_rack ();
      racks.submit ("0000000000000002", 6, gang);
      EXPECT_EQ (racks.list_racks (), "");
      racks.advance_time (520);
      EXPECT_EQ (racks.list_racks ().size (), 6u) << "gang: " << gang;
    }
}

// No rack will have room for nine tasks, so there is nothing to wait for.
TEST (PlanRackChoice, SpreadsAtOnceWhatNoRackCanHold)
{
  for (bool gang : { false, true })
    {
      Racks racks (2.0);

      racks.submit ("0000000000000001", 9, gang);
      EXPECT_EQ (racks.list_racks ().size (), 9u) << "gang: " << gang;
    }
}
