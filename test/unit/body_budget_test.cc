// Tests of the decision which connections make room for others, and of an HTTP
// server that follows it.
#include <gtest/gtest.h>

#include <atomic>
#include <list>
#include <random>
#include <string>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

extern "C"
{
#include "transport/http_server.h"
#include "transport/transport.h"
}

namespace
{

class BodyBudget : public testing::Test
{
protected:
  void
  init (size_t bytes_max, unsigned connections_max)
  {
    rst_body_budget_init (&budget, bytes_max);
    rst_body_group_init (&group, connections_max);
  }
  rst_body_holder *
  open (bool begins = true)
  {
    auto *holder = &holders.emplace_back ();

    rst_body_budget_open (&group, holder);
    if (begins)
      rst_body_budget_begin (&budget, holder);
    return holder;
  }
  // Closes others until a wish is granted or refused.
  bool
  charge (rst_body_holder *holder, size_t bytes)
  {
    rst_body_holder *victim = nullptr;
    rst_body_decision decision;

    while (
        (decision = rst_body_budget_charge (&budget, holder, bytes, &victim))
        == RST_BODY_EVICT)
      rst_body_budget_evict (&budget, victim);
    return decision == RST_BODY_GRANTED;
  }

  rst_body_budget budget;
  rst_body_group group;
  // The queues point to them, so they must not move.
  std::list<rst_body_holder> holders;
};

rst_body_limits
make_limits (int64_t memory_mb, int64_t max_fds)
{
  return { memory_mb, max_fds, 0, 262144, 3000 };
}

std::string
check_limits (const rst_body_limits &limits)
{
  GString *problems = g_string_new (nullptr);
  bool valid = rst_body_limits_check (&limits, problems);
  std::string text = problems->str;

  g_string_free (problems, TRUE);
  EXPECT_EQ (valid, text.empty ());
  return text;
}

}

// Guards against a budget that closes the connections of ordinary callers.
// Fails if a peer that has delivered a whole frame keeps all of the budget
// with a part of its next one, so that other peers' frames are refused.
TEST_F (BodyBudget, APeerInUseMakesRoomOnceItBeginsAnotherMessage)
{
  init (1000, 10);
  rst_body_holder *first = open ();
  rst_body_holder *second = open ();

  rst_body_budget_complete (&budget, first);
  rst_body_budget_begin (&budget, first);
  EXPECT_TRUE (charge (first, 1000));
  rst_body_budget_complete (&budget, second);
  rst_body_budget_begin (&budget, second);
  EXPECT_TRUE (charge (second, 10));
}

TEST_F (BodyBudget, SmallestMachineHoldsABodyOfEveryOrdinaryCaller)
{
  rst_body_limits limits = make_limits (120, 3075);
  unsigned connections = rst_body_limits_get_connections (&limits);

  EXPECT_EQ (connections, 2875u);
  for (const rst_body_limits &each : { limits, make_limits (0, 0) })
    {
      init (rst_body_limits_get_bytes (&each), 3000);
      for (int i = 0; i < 3000; i++)
        // A body of 5 KB in a buffer that doubles, and its path.
        EXPECT_TRUE (charge (open (), 8192 + 256 + 100));
      for (const auto &holder : holders)
        EXPECT_EQ (holder.phase, RST_BODY_READING);
    }
}

// Guards against bodies that stop one byte short and are kept for ever.
TEST_F (BodyBudget, ConnectionThatIsIncompleteForLongestMakesRoom)
{
  init (1000, 10);
  auto *first = open ();
  auto *second = open ();

  EXPECT_TRUE (charge (first, 400));
  EXPECT_TRUE (charge (second, 400));
  // Bytes that arrive don't make a connection younger.
  EXPECT_TRUE (charge (first, 100));
  EXPECT_TRUE (charge (open (), 500));
  EXPECT_EQ (first->phase, RST_BODY_CLOSING);
  EXPECT_EQ (second->phase, RST_BODY_READING);
  EXPECT_EQ (budget.stats.bytes, 900u);
}

// Guards against closing a request whose outcome may be decided already.
TEST_F (BodyBudget, CompleteRequestNeverMakesRoom)
{
  init (1000, 1);
  auto *complete = open ();

  EXPECT_TRUE (charge (complete, 900));
  rst_body_budget_complete (&budget, complete);
  auto *next = open ();

  EXPECT_FALSE (charge (next, 200));
  EXPECT_EQ (complete->phase, RST_BODY_COMPLETE);
  EXPECT_EQ (budget.stats.refused, 1u);
  EXPECT_EQ (rst_body_group_find_excess (&group, next), next);
  // Its bytes are free after its answer.
  rst_body_budget_finish (&budget, complete);
  EXPECT_TRUE (charge (next, 1000));
}

TEST_F (BodyBudget, OldestIsRefusedAndYoungerOnesAreKept)
{
  init (1000, 10);
  auto *oldest = open ();
  auto *younger = open ();

  EXPECT_TRUE (charge (younger, 900));
  EXPECT_FALSE (charge (oldest, 200));
  EXPECT_EQ (younger->phase, RST_BODY_READING);
  // More than the whole budget closes nobody.
  EXPECT_FALSE (charge (younger, 1001));
  EXPECT_EQ (oldest->phase, RST_BODY_READING);
}

// Guards against closing a caller that gets its 503 and holds nothing.
TEST_F (BodyBudget, DiscardedRequestMakesNoRoomForBytes)
{
  init (1000, 2);
  auto *refused = open ();
  auto *other = open ();

  rst_body_budget_discard (&budget, refused);
  EXPECT_TRUE (charge (other, 900));
  EXPECT_TRUE (charge (open (), 900));
  EXPECT_EQ (refused->phase, RST_BODY_DISCARDING);
  EXPECT_EQ (other->phase, RST_BODY_CLOSING);
  // It is the oldest when connections are too many.
  EXPECT_EQ (rst_body_group_find_excess (&group, open (false)), refused);
}

// Guards against a listener that is full of connections without a request.
TEST_F (BodyBudget, ConnectionThatIsIdleForLongestMakesRoomForAnother)
{
  init (1000, 2);
  auto *first = open (false);
  auto *second = open (false);

  EXPECT_EQ (rst_body_group_find_excess (&group, second), nullptr);
  // A connection that has just been answered is as good as a new one.
  rst_body_budget_begin (&budget, first);
  rst_body_budget_complete (&budget, first);
  rst_body_budget_finish (&budget, first);
  auto *third = open (false);

  EXPECT_EQ (rst_body_group_find_excess (&group, third), second);
  rst_body_budget_evict (&budget, second);
  // It counts as closed before its descriptor is.
  EXPECT_EQ (rst_body_group_find_excess (&group, third), nullptr);
  rst_body_budget_close (&budget, second);
  EXPECT_EQ (group.connections, 2u);
}

// Guards against counters that drift, whatever the callers do.
TEST_F (BodyBudget, BytesAndConnectionsAreExactAfterAnySequence)
{
  std::mt19937 random (1);

  init (5000, 8);
  for (int i = 0; i < 20000; i++)
    {
      size_t held = 0;
      auto at = std::next (
          holders.begin (),
          holders.empty () ? 0 : (long)(random () % holders.size ()));

      if (holders.size () < 10)
        open (random () % 2 == 0);
      else if (random () % 10 == 0)
        {
          rst_body_budget_close (&budget, &*at);
          holders.erase (at);
        }
      else if (random () % 8 == 0)
        rst_body_budget_complete (&budget, &*at);
      else if (random () % 8 == 0)
        rst_body_budget_finish (&budget, &*at);
      else if (random () % 8 == 0)
        rst_body_budget_discard (&budget, &*at);
      else if (at->phase != RST_BODY_IDLE)
        charge (&*at, random () % 1500);
      else
        rst_body_budget_begin (&budget, &*at);
      for (const auto &holder : holders)
        held += holder.bytes;
      ASSERT_EQ (budget.stats.bytes, held);
      ASSERT_LE (held, budget.bytes_max);
    }
  for (auto &holder : holders)
    rst_body_budget_close (&budget, &holder);
  EXPECT_EQ (budget.stats.bytes, 0u);
  EXPECT_EQ (group.connections, 0u);
  EXPECT_EQ (group.waiting.length, 0u);
  EXPECT_EQ (budget.reading.length, 0u);
}

TEST (BodyLimits, InvalidSettingNamesItsField)
{
  rst_body_limits limits = make_limits (120, 3075);

  EXPECT_EQ (check_limits (limits), "");
  EXPECT_EQ (check_limits (make_limits (0, 0)), "");
  EXPECT_EQ (check_limits (make_limits (31, 0)).rfind ("limits.memory_mb:", 0),
             0u);
  EXPECT_EQ (check_limits (make_limits (0, 255)).rfind ("limits.max_fds:", 0),
             0u);
  limits.budget_bytes = 262144;
  EXPECT_EQ (check_limits (limits).rfind ("limits.budget_bytes:", 0), 0u);
  limits.budget_bytes = 61 * 1024 * 1024;
  EXPECT_EQ (check_limits (limits).rfind ("limits.budget_bytes:", 0), 0u);
  limits.budget_bytes = 1024 * 1024;
  EXPECT_EQ (check_limits (limits), "");
  EXPECT_EQ (rst_body_limits_get_bytes (&limits), 1024u * 1024u);
  limits = make_limits (32, 0);
  limits.body_bytes = 4194304 + 1;
  EXPECT_EQ (check_limits (limits),
             "limits.memory_mb: must be at least 33 for bodies of "
             "limits.body_bytes\n");
}

TEST (BodyLimits, ConnectionsStayBelowDescriptorsAndMemory)
{
  rst_body_limits unknown = make_limits (0, 0);
  rst_body_limits few_fds = make_limits (0, 300);
  rst_body_limits small = make_limits (32, 0);
  rst_body_limits vast = make_limits (1000000000, 1000000000);

  EXPECT_EQ (check_limits (vast), "");
  EXPECT_EQ (rst_body_limits_get_connections (&vast), 3000u);
  EXPECT_EQ (rst_body_limits_get_connections (&unknown), 3000u);
  EXPECT_EQ (rst_body_limits_get_connections (&few_fds), 100u);
  EXPECT_EQ (rst_body_limits_get_connections (&small), 910u);
  EXPECT_EQ (rst_body_limits_get_connection_bytes (&unknown), 0u);
  EXPECT_EQ (rst_body_limits_get_connection_bytes (&small), 16384u);
  EXPECT_EQ (rst_body_limits_get_tables (&unknown), 0);
  EXPECT_EQ (rst_body_limits_get_tables (&small), 8 * 1024 * 1024);
  EXPECT_EQ (rst_body_limits_get_peers (&unknown, 1024), 1024u);
  EXPECT_EQ (rst_body_limits_get_peers (&few_fds, 1024), 75u);
}

namespace
{

// A server with a budget that answers each request at once, or never.
class BudgetServer
{
public:
  explicit BudgetServer (size_t bytes_max, bool answers)
      : budget_ (rst_shared_budget_create (bytes_max)), answers_ (answers)
  {
    rst_http_server_config config = {};

    config.address = "127.0.0.1:0";
    config.max_body_bytes = 10000;
    config.max_connections = 3;
    config.idle_timeout_s = 60;
    config.budget = budget_;
    config.handler = handle;
    config.userdata = this;
    EXPECT_EQ (rst_http_server_create (&config, &server_), RST_TRANSPORT_OK);
  }
  ~BudgetServer ()
  {
    rst_http_server_destroy (server_);
    rst_shared_budget_destroy (budget_);
  }
  BudgetServer (const BudgetServer &) = delete;
  BudgetServer &operator= (const BudgetServer &) = delete;

  int
  connect_client () const
  {
    int fd = socket (AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = {};

    rst_transport_parse_address (rst_http_server_address (server_), &address);
    EXPECT_EQ (connect (fd, (sockaddr *)&address, sizeof address), 0);
    return fd;
  }

  std::atomic<int> handled{ 0 };

private:
  static void
  handle (rst_http_request *request, void *userdata)
  {
    auto *server = (BudgetServer *)userdata;
    size_t length;

    rst_http_request_body (request, &length);
    server->handled++;
    if (server->answers_)
      rst_http_request_reply_json (request, 200,
                                   std::to_string (length).c_str ());
  }

  rst_shared_budget *budget_;
  rst_http_server *server_ = nullptr;
  bool answers_;
};

void
send_text (int fd, const std::string &text)
{
  EXPECT_EQ (send (fd, text.data (), text.size (), MSG_NOSIGNAL),
             (ssize_t)text.size ());
}

// Reads until the peer closes or the text has @end.
std::string
read_until (int fd, const std::string &end)
{
  std::string text;
  char buffer[4096];
  ssize_t count;

  while (text.find (end) == std::string::npos
         && (count = recv (fd, buffer, sizeof buffer, 0)) > 0)
    text.append (buffer, (size_t)count);
  return text;
}

std::string
make_head (size_t length)
{
  return "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: "
         + std::to_string (length) + "\r\n\r\n";
}

}

// Guards against limits that hit a caller who is slow only.
TEST (BudgetServer, SlowRequestIsServedWithoutLoad)
{
  BudgetServer server (32768, true);
  int fd = server.connect_client ();
  std::string head = make_head (10000);

  for (char byte : head)
    send_text (fd, std::string (1, byte));
  for (int i = 0; i < 10; i++)
    {
      send_text (fd, std::string (1000, 'x'));
      usleep (20000);
    }
  EXPECT_NE (read_until (fd, "10000").find ("200 OK"), std::string::npos);
  close (fd);
}

// Guards against a 503 for a request that is carried out nevertheless.
TEST (BudgetServer, CompleteRequestWithoutRoomGets503AndIsNotPassedOn)
{
  BudgetServer server (20000, false);
  int first = server.connect_client ();
  int second = server.connect_client ();

  send_text (first, make_head (9000) + std::string (9000, 'x'));
  while (server.handled < 1)
    usleep (1000);
  send_text (second, make_head (9000) + std::string (9000, 'x'));
  std::string answer = read_until (second, "no-room");

  EXPECT_NE (answer.find ("503 "), std::string::npos);
  EXPECT_NE (answer.find ("Retry-After: 1\r\n"), std::string::npos);
  EXPECT_EQ (server.handled, 1);
  close (first);
  close (second);
}

// Guards against a listener that is full of unfinished headers.
TEST (BudgetServer, OldestUnfinishedConnectionIsClosedForANewOne)
{
  BudgetServer server (32768, true);
  int stalled[3];

  for (int &fd : stalled)
    {
      fd = server.connect_client ();
      send_text (fd, "POST /x HTTP/1.1\r\nX-");
    }
  int fd = server.connect_client ();

  send_text (fd, make_head (1) + "x");
  EXPECT_NE (read_until (fd, "1").find ("200 OK"), std::string::npos);
  // Ends since the server closes it.
  EXPECT_EQ (read_until (stalled[0], "HTTP/1.1 2"), "");
  close (fd);
  for (int each : stalled)
    close (each);
}
