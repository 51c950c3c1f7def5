// Two hand-overs one behind the other: a third planner succeeds a planner that
// itself has just succeeded another one, often before that has heard every
// instance.
#include <gtest/gtest.h>

#include "cell_harness.h"

using harness::Planner;

static const char *const job_a = "00000000000000aa";
static const char *const job_b = "00000000000000bb";
static const std::string task_a0 = "00000000000000aa.0.0.0";
static const std::string task_a1 = "00000000000000aa.0.0.1";

// How long a planner waits at most for the leases of its predecessor's agents:
// 14 s of renewals, a lease of 6 s that is 2 % longer, and the margin.
static const rst_ms longest_wait_ms = 14000 + 6000 * 102 / 100 + 300;

// Two instances "i-0" and "i-1", and a job of one task that runs on one of
// them.
struct Chain
{
  Planner predecessor;
  Planner successor{ 2 };
  Planner third{ 3 };
  std::string busy;
  std::string idle;

  explicit Chain (rst_jobdesc *desc = Planner::make_job (1, 3000))
  {
    predecessor.start_serving (2);
    predecessor.send_call (7, RST_OPERATION_SUBMIT, job_a, desc);
    predecessor.settle ();
    busy = predecessor.sent_of_kind (RST_MSG_START)[0].id;
    idle = busy == "i-0" ? "i-1" : "i-0";
  }

  // Lets a planner take over at the time of the one before it, with one agent.
  void
  take_over (Planner &planner, const Planner &previous)
  {
    planner.set_time (previous.now);
    planner.restore (predecessor);
    if (&planner == &third)
      planner.restore (successor);
    EXPECT_EQ (planner.unreadable, 0);
    planner.configure ();
    planner.add_agent (1);
    planner.add_instance ("i-0");
    planner.add_instance ("i-1");
    rst_planner_finish_restore (planner.planner);
  }
};

// Neither planner has stored a record of the job since the first one, so both
// restore the same attempt.
TEST (SuccessionChain, UsesNoAttemptThatAnEarlierSuccessorMayHaveUsed)
{
  Chain chain;

  for (Planner *planner : { &chain.successor, &chain.third })
    {
      chain.take_over (*planner, planner == &chain.third ? chain.successor
                                                         : chain.predecessor);
      planner->report (1, chain.busy, {});
      planner->report (1, chain.idle, {});
      planner->settle ();
      ASSERT_EQ (planner->sent_of_kind (RST_MSG_START).size (), 1u);
    }
  EXPECT_GT (chain.third.sent_of_kind (RST_MSG_START)[0].attempt,
             chain.successor.sent_of_kind (RST_MSG_START)[0].attempt);
}

// An agent reports the answer to an order of an earlier planner to the present
// one.  The instance carries out orders in any order: it starts the task for
// the third planner, then rejects the start that the second one sent.
TEST (SuccessionChain, TakesNoAnswerToAnEarlierOrderForThatToItsOwn)
{
  Chain chain;

  chain.take_over (chain.successor, chain.predecessor);
  chain.successor.report (1, chain.busy, {});
  chain.successor.report (1, chain.idle, {});
  chain.successor.settle ();
  ASSERT_EQ (chain.successor.sent_of_kind (RST_MSG_START).size (), 1u);
  harness::Sent earlier = chain.successor.sent_of_kind (RST_MSG_START)[0];

  chain.take_over (chain.third, chain.successor);
  chain.third.report (1, chain.busy, {});
  chain.third.report (1, chain.idle, {});
  chain.third.settle ();
  ASSERT_EQ (chain.third.sent_of_kind (RST_MSG_START).size (), 1u);
  harness::Sent own = chain.third.sent_of_kind (RST_MSG_START)[0];

  ASSERT_EQ (own.id, earlier.id);
  chain.third.answer_order (1, RST_MSG_STARTED, own.id, task_a0, own.attempt,
                            RST_RESULT_OK);
  chain.third.sent.clear ();
  chain.third.answer_order (1, RST_MSG_STARTED, earlier.id, task_a0,
                            earlier.attempt, RST_RESULT_FENCED);
  chain.third.settle ();
  EXPECT_TRUE (chain.third.sent_of_kind (RST_MSG_START).empty ());
}

// The first successor never hears the instance with the run, and stores
// segments meanwhile.
TEST (SuccessionChain, WaitsForAnInstanceThatNoSuccessorHasHeard)
{
  Chain chain;

  chain.take_over (chain.successor, chain.predecessor);
  chain.successor.report (1, chain.idle, {});
  chain.successor.report (1, chain.busy, {}, 1, RST_RESULT_UNKNOWN);
  chain.successor.advance_time (1000);
  chain.successor.send_call (8, RST_OPERATION_SUBMIT, job_b,
                             Planner::make_job (1, 1000));
  chain.successor.settle ();
  ASSERT_FALSE (chain.successor.commits.empty ());
  chain.take_over (chain.third, chain.successor);
  chain.third.report (1, chain.idle, {});
  chain.third.settle ();
  for (const harness::Sent &start : chain.third.sent_of_kind (RST_MSG_START))
    EXPECT_NE (start.task, task_a0);
  chain.third.report (1, chain.busy,
                      { Planner::make_running_run (task_a0, 1) });
  chain.third.settle ();
  for (const harness::Sent &start : chain.third.sent_of_kind (RST_MSG_START))
    EXPECT_NE (start.task, task_a0);
  EXPECT_TRUE (chain.third.sent_of_kind (RST_MSG_STOP).empty ());
}

// The first successor hears the instance, adopts its run, which no record
// names, and loses it again.
TEST (SuccessionChain, WaitsForARunThatAnEarlierSuccessorAdopted)
{
  Chain chain;

  chain.take_over (chain.successor, chain.predecessor);
  chain.successor.report (1, chain.idle, {});
  chain.successor.report (1, chain.busy,
                          { Planner::make_running_run (task_a0, 1) });
  chain.successor.settle ();
  chain.successor.report (1, chain.busy, {}, 1, RST_RESULT_UNKNOWN, 5000);
  chain.successor.settle ();
  chain.take_over (chain.third, chain.successor);
  chain.third.report (1, chain.idle, {});
  chain.third.settle ();
  EXPECT_TRUE (chain.third.sent_of_kind (RST_MSG_START).empty ());
  chain.third.advance_time (longest_wait_ms - 1000);
  EXPECT_TRUE (chain.third.sent_of_kind (RST_MSG_START).empty ());
  chain.third.advance_time (1500);
  chain.third.settle ();
  EXPECT_EQ (chain.third.sent_of_kind (RST_MSG_START).size (), 1u);
}

// The lease of an instance that nobody hears ends in the first successor's
// term, and the task starts on the other instance.  Whether or not the record
// of that end is stored, the third planner finds the new run only.
TEST (SuccessionChain, FindsTheRunThatReplacedOneWhoseLeaseEnded)
{
  for (bool is_stored : { false, true })
    {
      Chain chain;

      chain.take_over (chain.successor, chain.predecessor);
      chain.successor.report (1, chain.idle, {});
      for (rst_ms at = 0; at < longest_wait_ms; at += 1000)
        {
          EXPECT_TRUE (chain.successor.sent_of_kind (RST_MSG_START).empty ());
          chain.successor.advance_time (1000);
        }
      ASSERT_EQ (chain.successor.sent_of_kind (RST_MSG_START).size (), 1u);
      harness::Sent start = chain.successor.sent_of_kind (RST_MSG_START)[0];

      EXPECT_EQ (start.id, chain.idle);
      if (is_stored)
        chain.successor.settle ();
      else if (chain.successor.is_committing)
        chain.successor.commits.pop_back ();
      chain.take_over (chain.third, chain.successor);
      chain.third.report (
          1, chain.idle,
          { Planner::make_running_run (task_a0, start.attempt) });
      chain.third.settle ();
      chain.third.report (1, chain.busy, {});
      chain.third.settle ();
      EXPECT_TRUE (chain.third.sent_of_kind (RST_MSG_START).empty ());
      EXPECT_TRUE (chain.third.sent_of_kind (RST_MSG_STOP).empty ());
    }
}

// The journal names a run on an unreachable instance; the first successor
// hears of a later run of the task elsewhere, and loses that instance too.
TEST (SuccessionChain, WaitsForTheLaterOfTwoRunsThatRecordsName)
{
  Chain chain;

  chain.predecessor.report (1, chain.busy, {}, 1, RST_RESULT_UNKNOWN, 5000);
  chain.predecessor.settle ();
  chain.take_over (chain.successor, chain.predecessor);
  chain.successor.report (1, chain.idle,
                          { Planner::make_running_run (task_a0, 2) });
  chain.successor.settle ();
  EXPECT_TRUE (chain.successor.sent_of_kind (RST_MSG_STOP).empty ());
  chain.successor.report (1, chain.idle, {}, 1, RST_RESULT_UNKNOWN, 5000);
  chain.successor.settle ();
  chain.take_over (chain.third, chain.successor);
  chain.third.report (1, chain.busy, {});
  chain.third.settle ();
  EXPECT_TRUE (chain.third.sent_of_kind (RST_MSG_START).empty ());
}

// The journal names a run on an unreachable instance.  The first successor
// hears that this lists it no more, while an instance that it has not heard
// runs the task again; so does the third planner.
TEST (SuccessionChain, KeepsATaskInDoubtWhoseRecordedRunIsGone)
{
  Chain chain;

  chain.predecessor.answer_order (1, RST_MSG_STARTED, chain.busy, task_a0, 1,
                                  RST_RESULT_OK);
  chain.predecessor.report (1, chain.busy, {}, 1, RST_RESULT_UNKNOWN, 5000);
  chain.predecessor.settle ();
  chain.predecessor.sent.clear ();
  chain.predecessor.add_instance (chain.busy, true);
  chain.predecessor.report (1, chain.busy, {});
  ASSERT_EQ (chain.predecessor.start_without_record (), chain.idle);
  for (Planner *planner : { &chain.successor, &chain.third })
    {
      chain.take_over (*planner, planner == &chain.third ? chain.successor
                                                         : chain.predecessor);
      planner->report (1, chain.busy, {});
      planner->settle ();
      EXPECT_TRUE (planner->sent_of_kind (RST_MSG_START).empty ());
    }
  chain.third.report (1, chain.idle,
                      { Planner::make_running_run (task_a0, 2) });
  chain.third.settle ();
  EXPECT_TRUE (chain.third.sent_of_kind (RST_MSG_START).empty ());
  EXPECT_TRUE (chain.third.sent_of_kind (RST_MSG_STOP).empty ());
}

// Of a gang, one instance is unreachable when the first planner ends, and the
// other is never heard by the first successor.
TEST (SuccessionChain, StartsNoGangWhileAMemberMayRun)
{
  Chain chain (Planner::make_job (2, 3000, true));

  chain.predecessor.report (1, chain.busy, {}, 1, RST_RESULT_UNKNOWN, 5000);
  chain.predecessor.settle ();
  chain.take_over (chain.successor, chain.predecessor);
  chain.successor.advance_time (1000);
  chain.successor.settle ();
  chain.take_over (chain.third, chain.successor);
  chain.third.report (1, chain.busy, {});
  chain.third.settle ();
  EXPECT_TRUE (chain.third.sent_of_kind (RST_MSG_START).empty ());
  chain.third.report (1, chain.idle,
                      { Planner::make_running_run (task_a1, 1) });
  chain.third.settle ();
  EXPECT_TRUE (chain.third.sent_of_kind (RST_MSG_START).empty ());
}

// An order of the first planner that is carried out late, after the first
// successor has held the instance with its token, is rejected there; before
// that, the instance lists the run when it is held.  Here the instance is one
// that the first successor has heard and the third one has not.
TEST (SuccessionChain, AdoptsALateStartCarriedOutBetweenTheHandOvers)
{
  Chain chain;

  chain.take_over (chain.successor, chain.predecessor);
  chain.successor.report (1, chain.idle, {});
  chain.successor.settle ();
  EXPECT_TRUE (chain.successor.sent_of_kind (RST_MSG_START).empty ());
  chain.take_over (chain.third, chain.successor);
  chain.third.report (1, chain.idle, {});
  chain.third.settle ();
  EXPECT_TRUE (chain.third.sent_of_kind (RST_MSG_START).empty ());
  chain.third.report (1, chain.busy,
                      { Planner::make_running_run (task_a0, 1) });
  chain.third.settle ();
  EXPECT_TRUE (chain.third.sent_of_kind (RST_MSG_START).empty ());
  EXPECT_TRUE (chain.third.sent_of_kind (RST_MSG_STOP).empty ());
}
