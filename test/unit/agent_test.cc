#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

extern "C"
{
#include "cell/agent.h"
}

// A poll or an order of the agent that has not been answered yet.
struct AgentCall
{
  bool is_poll;
  int64_t deadline;
  int64_t last_acked_end;
  int64_t wait;
  rst_instance_done done;
  void *data;
};

static rst_ms agent_now;

class Agent : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    rst_agent_config config = {};

    agent_now = 1000;
    backend.userdata = this;
    backend.hold = [] (void *userdata, const rst_instance_call *call,
                       rst_instance_done done, void *data) {
      static_cast<Agent *> (userdata)->calls.push_back (
          AgentCall{ true, call->deadline_ms, call->last_acked_end,
                     call->wait_ms, done, data });
    };
    backend.start = [] (void *userdata, const rst_instance_call *call,
                        rst_instance_done done, void *data) {
      static_cast<Agent *> (userdata)->calls.push_back (
          AgentCall{ false, call->deadline_ms, 0, 0, done, data });
    };
    backend.pace = [] (void *userdata, const rst_instance_call *call,
                       rst_instance_done done, void *data) {
      auto *self = static_cast<Agent *> (userdata);

      self->pace_percents.push_back (call->pace_percent);
      self->calls.push_back (AgentCall{ false, 0, 0, 0, done, data });
    };
    config.backend = &backend;
    config.now = [] { return agent_now; };
    config.send = [] (void *userdata, const void *data, size_t length) {
      msgpack_unpacked unpacked;
      rst_reader reader;

      rst_reader_open (&reader, &unpacked, data, length);
      auto *self = static_cast<Agent *> (userdata);

      self->kinds.push_back ((int)rst_reader_read_int (&reader));
      if (self->kinds.back () == RST_MSG_REPORT)
        {
          g_free (rst_reader_read_text (&reader));
          for (int i = 0; i < 3; i++)
            rst_reader_read_int (&reader);
          self->reported_lease = rst_reader_read_int (&reader);
          self->count_checkpoints (&reader);
        }
      msgpack_unpacked_destroy (&unpacked);
    };
    config.userdata = this;
    config.lease_ms = 5900;
    config.unconfirmed_renewal_ms = 14000;
    agent = rst_agent_create (&config);
    confirm ();
  }

  void
  TearDown () override
  {
    deliver_message (RST_MSG_RELEASE, { "i" }, {});
    while (!calls.empty ())
      answer (RST_RESULT_UNKNOWN);
    rst_agent_destroy (agent);
  }

  void
  deliver_message (int kind, const std::vector<std::string> &texts,
                   const std::vector<int64_t> &numbers)
  {
    rst_pack pack;
    msgpack_unpacked unpacked;
    rst_reader reader;

    rst_pack_init (&pack, texts.size () + numbers.size ());
    for (const std::string &text : texts)
      rst_pack_text (&pack, text.c_str ());
    for (int64_t number : numbers)
      rst_pack_int (&pack, number);
    rst_reader_open (&reader, &unpacked, pack.buffer.data, pack.buffer.size);
    rst_agent_handle_message (agent, kind, &reader);
    msgpack_unpacked_destroy (&unpacked);
    rst_pack_clear (&pack);
  }

  // Delivers an order to start a task on the instance.
  void
  deliver_start ()
  {
    rst_pack pack;
    msgpack_unpacked unpacked;
    rst_reader reader;

    rst_pack_init (&pack, 3);
    rst_pack_text (&pack, "j.0.0");
    rst_pack_text (&pack, "spec");
    rst_pack_array (&pack, 1);
    rst_pack_array (&pack, 5);
    rst_pack_text (&pack, "i");
    rst_pack_int (&pack, 0);
    rst_pack_int (&pack, 1);
    rst_pack_text (&pack, "");
    rst_pack_text (&pack, "");
    rst_reader_open (&reader, &unpacked, pack.buffer.data, pack.buffer.size);
    rst_agent_handle_message (agent, RST_MSG_START, &reader);
    msgpack_unpacked_destroy (&unpacked);
    rst_pack_clear (&pack);
  }

  // Answers the oldest call; the instance lists an end when @end is not 0.
  void
  answer (rst_result result, int64_t clock = 0, int64_t incarnation = 0,
          int64_t end = 0)
  {
    AgentCall call = calls.front ();
    rst_instance_answer *answer = rst_instance_answer_new ();
    rst_run run = {};

    calls.erase (calls.begin ());
    answer->result = result;
    answer->clock_ms = clock;
    answer->incarnation = incarnation;
    run.end_number = end;
    if (end > 0)
      g_array_append_val (answer->runs, run);
    call.done (answer, call.data);
  }

  void
  hold_instance ()
  {
    deliver_message (RST_MSG_HOLD, { "i", "10.0.0.1:80" }, { 1, 0, 1 });
  }

  // Delivers a heartbeat of a planner that the store confirms just now.
  void
  confirm ()
  {
    rst_heartbeat heartbeat = { agent_now, agent_now };

    rst_agent_handle_heartbeat (agent, &heartbeat);
  }

  // Counts the runs with a checkpoint in a report behind its lease.
  void
  count_checkpoints (rst_reader *reader)
  {
    rst_reader_read_int (reader);
    rst_reader_read_int (reader);
    rst_reader runs = rst_reader_read_array (reader);

    for (uint32_t i = 0; i < runs.count; i++)
      {
        rst_reader row = rst_reader_read_array (&runs);

        rst_reader_read_int (&row);
        g_free (rst_reader_read_text (&row));
        rst_reader_read_int (&row);
        rst_reader_read_int (&row);
        char *checkpoint = rst_reader_read_text (&row);

        reported_checkpoints[i] += checkpoint[0] != '\0' ? 1 : 0;
        g_free (checkpoint);
      }
  }

  // Answers the oldest call with @count runs that all have a long checkpoint.
  void
  answer_with_long_checkpoints (int count)
  {
    AgentCall call = calls.front ();
    rst_instance_answer *answer = rst_instance_answer_new ();

    calls.erase (calls.begin ());
    answer->result = RST_RESULT_OK;
    answer->clock_ms = 5000;
    answer->incarnation = 1;
    for (int i = 0; i < count; i++)
      {
        rst_run run = {};

        run.checkpoint = g_strnfill (RST_CHECKPOINT_BYTES_MAX, 'c');
        g_array_append_val (answer->runs, run);
      }
    call.done (answer, call.data);
  }

  rst_backend backend = {};
  rst_agent *agent = nullptr;
  std::vector<AgentCall> calls;
  std::vector<int> kinds;
  // Time left of the lease in the last report.
  int64_t reported_lease = 0;
  std::vector<int> pace_percents;
  // How often a report had the checkpoint of each run.
  std::map<uint32_t, int> reported_checkpoints;
};

// All checkpoints of an instance in one report would exceed the largest frame,
// and the link to the planner would be closed for each of them.
TEST_F (Agent, ReportsTakeTurnsWithCheckpointsThatDoNotFitTogether)
{
  hold_instance ();
  for (int i = 0; i < 5; i++)
    answer_with_long_checkpoints (40);
  EXPECT_EQ (reported_checkpoints.size (), 40u);
  for (const auto &run : reported_checkpoints)
    EXPECT_EQ (run.second, 2) << "run " << run.first;
}

TEST_F (Agent, PollsAtOnceThenLongPollsWithALease)
{
  hold_instance ();
  ASSERT_EQ (calls.size (), 1u);
  EXPECT_EQ (calls[0].wait, 0);
  EXPECT_EQ (calls[0].deadline, 0);
  answer (RST_RESULT_OK, 5000, 1);
  ASSERT_EQ (calls.size (), 1u);
  EXPECT_GT (calls[0].wait, 0);
  EXPECT_EQ (calls[0].deadline, 5000 + 5900);
}

TEST_F (Agent, ForwardsThePaceOfARunToAHeldInstance)
{
  deliver_message (RST_MSG_PACE, { "i", "t" }, { 1, 40 });
  EXPECT_TRUE (pace_percents.empty ());
  hold_instance ();
  answer (RST_RESULT_OK, 5000, 1);
  deliver_message (RST_MSG_PACE, { "i", "t" }, { 1, 40 });
  ASSERT_EQ (pace_percents.size (), 1u);
  EXPECT_EQ (pace_percents[0], 40);
}

TEST_F (Agent, SetsThePollWaitThatThePlannerOrders)
{
  hold_instance ();
  answer (RST_RESULT_OK, 5000, 1);
  EXPECT_EQ (calls[0].wait, 2000);
  deliver_message (RST_MSG_SET_POLL_WAIT, { "i" }, { 500 });
  answer (RST_RESULT_OK, 7000, 1);
  ASSERT_EQ (calls.size (), 1u);
  EXPECT_EQ (calls[0].wait, 500);
}

TEST_F (Agent, WaitsForTheAckOfEndsBeforeTheNextPoll)
{
  hold_instance ();
  answer (RST_RESULT_OK, 5000, 1, 3);
  EXPECT_TRUE (calls.empty ());
  deliver_message (RST_MSG_ACK, { "i" }, { 3, 1 });
  ASSERT_EQ (calls.size (), 1u);
  EXPECT_EQ (calls[0].last_acked_end, 3);
  EXPECT_GT (calls[0].wait, 0);
}

TEST_F (Agent, AcksNoEndsToAnInstanceThatMayHaveRestarted)
{
  hold_instance ();
  answer (RST_RESULT_OK, 5000, 1, 3);
  deliver_message (RST_MSG_ACK, { "i" }, { 3, 1 });
  answer (RST_RESULT_UNKNOWN);
  agent_now += 400;
  rst_agent_run (agent);
  ASSERT_EQ (calls.size (), 1u);
  EXPECT_EQ (calls[0].last_acked_end, 0);
  EXPECT_EQ (calls[0].wait, 0);
}

TEST_F (Agent, IgnoresAnAckForAnotherIncarnation)
{
  hold_instance ();
  answer (RST_RESULT_OK, 5000, 2, 3);
  deliver_message (RST_MSG_ACK, { "i" }, { 3, 1 });
  EXPECT_TRUE (calls.empty ());
  deliver_message (RST_MSG_ACK, { "i" }, { 3, 2 });
  ASSERT_EQ (calls.size (), 1u);
  EXPECT_EQ (calls[0].last_acked_end, 3);
}

TEST_F (Agent, KeepsAnAckThatArrivesBeforeTheFirstAnswer)
{
  hold_instance ();
  deliver_message (RST_MSG_ACK, { "i" }, { 3, 1 });
  answer (RST_RESULT_OK, 5000, 1, 3);
  ASSERT_EQ (calls.size (), 1u);
  EXPECT_EQ (calls[0].last_acked_end, 3);
}

TEST_F (Agent, DropsSuchAnAckWhenAnotherIncarnationAnswers)
{
  hold_instance ();
  deliver_message (RST_MSG_ACK, { "i" }, { 3, 1 });
  answer (RST_RESULT_OK, 5000, 2, 3);
  EXPECT_TRUE (calls.empty ());
  agent_now += 1000;
  rst_agent_run (agent);
  ASSERT_EQ (calls.size (), 1u);
  EXPECT_EQ (calls[0].last_acked_end, 0);
}

TEST_F (Agent, ExtendsNoLeaseWhenTheLastConfirmationIsTooOld)
{
  hold_instance ();
  answer (RST_RESULT_OK, 5000, 1);
  agent_now += 14001;
  answer (RST_RESULT_OK, 19001, 1);
  ASSERT_EQ (calls.size (), 1u);
  EXPECT_EQ (calls[0].deadline, 0);
  confirm ();
  answer (RST_RESULT_OK, 19002, 1);
  EXPECT_GT (calls[0].deadline, 0);
}

// A poll without an answer may have reached the instance.  The planner counts
// the time left of the lease from the first report that the instance does not
// answer, so nothing may extend the lease after it.
TEST_F (Agent, ExtendsNoLeaseOfAnInstanceThatDoesNotAnswer)
{
  hold_instance ();
  answer (RST_RESULT_OK, 5000, 1);
  EXPECT_GT (calls[0].deadline, 0);
  agent_now += 2700;
  answer (RST_RESULT_UNKNOWN);
  agent_now += 400;
  rst_agent_run (agent);
  ASSERT_EQ (calls.size (), 1u);
  EXPECT_EQ (calls[0].deadline, 0);
  kinds.clear ();
  deliver_start ();
  EXPECT_EQ (calls.size (), 1u);
  ASSERT_EQ (kinds.size (), 1u);
  EXPECT_EQ (kinds[0], RST_MSG_STARTED);
  answer (RST_RESULT_OK, 8100, 1);
  ASSERT_EQ (calls.size (), 1u);
  EXPECT_EQ (calls[0].deadline, 8100 + 5900);
}

TEST_F (Agent, StartsNoRunBeforeItKnowsTheInstancesClock)
{
  hold_instance ();
  deliver_start ();
  ASSERT_EQ (kinds.size (), 1u);
  EXPECT_EQ (kinds[0], RST_MSG_STARTED);
  EXPECT_EQ (calls.size (), 1u);
}

TEST_F (Agent, IgnoresPollsWithAnEarlierToken)
{
  hold_instance ();
  deliver_message (RST_MSG_HOLD, { "i", "10.0.0.1:80" }, { 2, 0, 1 });
  ASSERT_EQ (calls.size (), 2u);
  answer (RST_RESULT_OK, 5000, 1);
  EXPECT_TRUE (kinds.empty ());
  answer (RST_RESULT_OK, 5000, 1);
  EXPECT_EQ (kinds.size (), 1u);
}

TEST_F (Agent, DropsAnInstanceThatAnotherAgentHolds)
{
  hold_instance ();
  answer (RST_RESULT_OK, 5000, 1);
  answer (RST_RESULT_FENCED, 6000, 1);
  EXPECT_TRUE (calls.empty ());
  agent_now += 5000;
  rst_agent_run (agent);
  EXPECT_TRUE (calls.empty ());
}

// The planner that the agent reconnects to may have assigned the instance to
// another agent, and counts on the end of the lease.
TEST_F (Agent, LetsLeasesOfAnEarlierLinkExpire)
{
  hold_instance ();
  answer (RST_RESULT_OK, 5000, 1);
  rst_agent_handle_link_closed (agent);
  agent_now += 13000;
  confirm ();
  answer (RST_RESULT_OK, 18000, 1);
  EXPECT_GT (calls.back ().deadline, 0);
  agent_now += 2000;
  confirm ();
  answer (RST_RESULT_OK, 20000, 1);
  for (const AgentCall &call : calls)
    EXPECT_EQ (call.deadline, 0);
  rst_agent_run (agent);
  answer (RST_RESULT_OK, 22000, 1);
  ASSERT_TRUE (calls.empty ());
  hold_instance ();
  answer (RST_RESULT_OK, 22000, 1);
  ASSERT_EQ (calls.size (), 1u);
  EXPECT_GT (calls[0].deadline, 0);
}

// The order has waited in the buffer of an agent that was suspended.
TEST_F (Agent, SendsNoStartThatThePlannerHasGivenUp)
{
  hold_instance ();
  answer (RST_RESULT_OK, 5000, 1);
  kinds.clear ();
  agent_now += 2000;
  deliver_start ();
  ASSERT_EQ (kinds.size (), 1u);
  EXPECT_EQ (kinds[0], RST_MSG_STARTED);
  confirm ();
  deliver_start ();
  EXPECT_FALSE (calls.back ().is_poll);
}

// The hold message crosses the first report of a new incarnation.
TEST_F (Agent, AcksNoEndsByAHoldForAnEarlierIncarnation)
{
  hold_instance ();
  answer (RST_RESULT_OK, 5000, 1);
  answer (RST_RESULT_OK, 50, 2, 1);
  EXPECT_TRUE (calls.empty ());
  deliver_message (RST_MSG_HOLD, { "i", "10.0.0.1:80" }, { 1, 21, 1 });
  ASSERT_EQ (calls.size (), 1u);
  EXPECT_EQ (calls[0].last_acked_end, 0);
}

// The planner orders the agent to call the instance at another address.
TEST_F (Agent, ReportsTheLeaseThatItExtendedBeforeItHeldAnew)
{
  hold_instance ();
  answer (RST_RESULT_OK, 5000, 1);
  deliver_message (RST_MSG_HOLD, { "i", "10.0.0.2:80" }, { 1, 0, 1 });
  answer (RST_RESULT_UNKNOWN);
  answer (RST_RESULT_UNKNOWN);
  EXPECT_EQ (reported_lease, 5900);
}

// Otherwise the ends that an earlier agent could not acknowledge would be
// listed until the next one is stored.
TEST_F (Agent, AcksTheEndsOfTheFirstHold)
{
  deliver_message (RST_MSG_HOLD, { "i", "10.0.0.1:80" }, { 1, 4, 1 });
  EXPECT_EQ (calls[0].last_acked_end, 0);
  answer (RST_RESULT_OK, 5000, 1, 4);
  ASSERT_EQ (calls.size (), 1u);
  EXPECT_EQ (calls[0].last_acked_end, 4);
  EXPECT_GT (calls[0].wait, 0);
}
