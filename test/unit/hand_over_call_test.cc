// Submissions that wait at an entry instance while the planner is replaced and
// their key or queue is withdrawn.  Fails if an accepted job's own submission
// is answered as rejected.
#include <gtest/gtest.h>

#include "cell_harness.h"

using harness::Planner;

static const char *const job_id = "00000000000000aa";

// A planner that restored a job which its predecessor accepted at
// @accepted_at.
class HandOverCall : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    predecessor.start_serving (1);
    accepted_at = predecessor.now;
    predecessor.send_call (7, RST_OPERATION_SUBMIT, job_id,
                           Planner::make_job (1, 1000));
    predecessor.settle ();
    successor.restore (predecessor);
    successor.configure ();
    successor.add_agent (1);
    successor.add_instance ("i-0");
    rst_planner_finish_restore (successor.planner);
    successor.set_time (predecessor.now + 1500);
  }

  rst_outcome
  submit (const std::string &id, rst_ms sent_at, const char *key,
          const char *prefix = "/q/")
  {
    successor.replies.clear ();
    successor.send_call (8, RST_OPERATION_SUBMIT, id, Planner::make_job (1, 1),
                         key, prefix, sent_at);
    successor.settle ();
    return successor.replies.at (0).reply.outcome;
  }

  Planner predecessor;
  Planner successor{ 2 };
  rst_ms accepted_at = 0;
};

TEST_F (HandOverCall, IsAcceptedThoughItsKeyWasWithdrawn)
{
  EXPECT_EQ (submit (job_id, accepted_at, "withdrawn"), RST_OUTCOME_OK);
}

TEST_F (HandOverCall, IsAcceptedThoughItsQueueWasDropped)
{
  EXPECT_EQ (submit (job_id, accepted_at, "k", "/dropped/"), RST_OUTCOME_OK);
}

TEST_F (HandOverCall, IsRejectedIfItWasSentAfterTheJobWasAccepted)
{
  EXPECT_EQ (submit (job_id, accepted_at + 1000, "withdrawn"),
             RST_OUTCOME_INVALID_KEY);
  EXPECT_EQ (submit (job_id, accepted_at + 1000, "k", "/dropped/"),
             RST_OUTCOME_NO_QUEUE);
}

TEST_F (HandOverCall, IsRejectedIfItsTimeIsUnknown)
{
  EXPECT_EQ (submit (job_id, 0, "withdrawn"), RST_OUTCOME_INVALID_KEY);
}

TEST_F (HandOverCall, IsRejectedIfNoJobExists)
{
  EXPECT_EQ (submit ("00000000000000bb", accepted_at, "withdrawn"),
             RST_OUTCOME_INVALID_KEY);
}
