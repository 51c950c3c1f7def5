// What callers are told when a process is stopped as planned.
#include <sys/socket.h>
#include <unistd.h>

#include <condition_variable>
#include <mutex>
#include <string>
#include <vector>

#include <gtest/gtest.h>

extern "C"
{
#include "daemon/jobd_calls.h"
#include "transport/transport.h"
}

namespace
{

// A server that keeps its requests until the test replies to them.
class KeepingServer
{
public:
  KeepingServer ()
  {
    rst_http_server_config config = {};

    config.address = "127.0.0.1:0";
    config.max_body_bytes = 1000;
    config.max_connections = 300;
    config.idle_timeout_s = 60;
    config.handler = handle;
    config.userdata = this;
    EXPECT_EQ (rst_http_server_create (&config, &server), RST_TRANSPORT_OK);
  }
  ~KeepingServer () { destroy (); }
  KeepingServer (const KeepingServer &) = delete;
  KeepingServer &operator= (const KeepingServer &) = delete;

  void
  destroy ()
  {
    rst_http_server_destroy (server);
    server = nullptr;
  }

  // Returns the socket of a client, or -1 if the connection is refused.
  int
  connect_client () const
  {
    int fd = socket (AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = {};

    rst_transport_parse_address (rst_http_server_address (server), &address);
    if (connect (fd, (sockaddr *)&address, sizeof address) == 0)
      return fd;
    close (fd);
    return -1;
  }

  // Sends @count requests, each over a connection of its own, and waits until
  // the handler has them.
  std::vector<int>
  send_requests (size_t count)
  {
    std::vector<int> clients;
    std::unique_lock<std::mutex> guard (mutex);
    size_t expected = requests.size () + count;

    guard.unlock ();
    for (size_t i = 0; i < count; i++)
      {
        clients.push_back (connect_client ());
        send_request (clients.back ());
      }
    guard.lock ();
    changed.wait (guard, [&] { return requests.size () >= expected; });
    return clients;
  }

  static void
  send_request (int fd)
  {
    const std::string text = "POST /q/1 HTTP/1.1\r\nHost: h\r\n"
                             "Content-Length: 1\r\n\r\nx";

    EXPECT_EQ (send (fd, text.data (), text.size (), MSG_NOSIGNAL),
               (ssize_t)text.size ());
  }

  // Reads a response up to the end of its body, or of the connection.
  static std::string
  read_response (int fd)
  {
    std::string text;
    char buffer[4096];
    ssize_t count;

    while (text.find ("}\n") == std::string::npos
           && (count = recv (fd, buffer, sizeof buffer, 0)) > 0)
      text.append (buffer, (size_t)count);
    return text;
  }

  rst_http_server *server = nullptr;
  std::mutex mutex;
  std::condition_variable changed;
  std::vector<rst_http_request *> requests;

private:
  static void
  handle (rst_http_request *request, void *userdata)
  {
    auto *self = (KeepingServer *)userdata;
    std::lock_guard<std::mutex> guard (self->mutex);

    self->requests.push_back (request);
    self->changed.notify_all ();
  }
};

// Returns the number of responses with a status; "" for none.
size_t
count_responses (const std::vector<int> &clients, const std::string &status)
{
  size_t count = 0;

  for (int fd : clients)
    {
      std::string text = KeepingServer::read_response (fd);

      count += status.empty () ? text.empty ()
                               : text.rfind ("HTTP/1.1 " + status, 0) == 0;
      close (fd);
    }
  return count;
}

}

// Guards against a 503, which says that a request never runs, for requests
// that the process had passed on when it was stopped (REFUSED).
TEST (PlannedStop, RequestsThatTheHandlerHasAreAnsweredAsUnknown)
{
  KeepingServer server;
  std::vector<int> clients = server.send_requests (60);

  server.destroy ();
  EXPECT_EQ (count_responses (clients, "504"), 60u);
}

// Guards against answers that are lost because the process ends before they
// are sent.
TEST (PlannedStop, ResponsesAreWrittenBeforeTheConnectionsEnd)
{
  KeepingServer server;
  std::vector<int> clients = server.send_requests (200);

  for (rst_http_request *request : server.requests)
    rst_http_request_reply_json (request, 200, "{}\n");
  server.destroy ();
  EXPECT_EQ (count_responses (clients, "200"), 200u);
}

// Guards against requests that reach the handler of a process that no longer
// answers them.
TEST (PlannedStop, ClosedServerRejectsRequestsBeforeTheHandler)
{
  KeepingServer server;
  int idle = server.connect_client ();
  std::vector<int> pending = server.send_requests (1);

  rst_http_server_close (server.server);
  EXPECT_EQ (server.connect_client (), -1);
  KeepingServer::send_request (idle);
  std::string response = KeepingServer::read_response (idle);

  EXPECT_EQ (response.rfind ("HTTP/1.1 503", 0), 0u) << response;
  EXPECT_NE (response.find ("Retry-After: 0\r\n"), std::string::npos);
  EXPECT_NE (response.find ("Connection: close\r\n"), std::string::npos);
  EXPECT_EQ (server.requests.size (), 1u);
  EXPECT_EQ (rst_http_server_count_unwritten (server.server), 1u);
  rst_http_request_reply_json (server.requests[0], 200, "{}\n");
  EXPECT_EQ (count_responses (pending, "200"), 1u);
  close (idle);
}

namespace
{

// What happened to a call before it is answered.
struct CallHistory
{
  bool is_sent;
  bool is_link_lost;
  bool is_sent_again;
  // The outcome in the planner's reply, or -1 if jobd itself gives up.
  int outcome;
  const char *status;
};

// Replies to a call as the planner does.
void
receive_reply (rst_jobd_calls *calls, uint64_t number, int outcome)
{
  rst_pack pack;
  msgpack_unpacked unpacked;
  rst_reader reader;

  rst_pack_init (&pack, 5);
  rst_pack_int (&pack, (int64_t)number);
  rst_pack_int (&pack, outcome);
  rst_pack_int (&pack, 0);
  rst_pack_int (&pack, 0);
  rst_pack_int (&pack, 1);
  ASSERT_TRUE (rst_reader_open (&reader, &unpacked, pack.buffer.data,
                                pack.buffer.size));
  rst_jobd_calls_handle_reply (calls, &reader);
  msgpack_unpacked_destroy (&unpacked);
  rst_pack_clear (&pack);
}

}

// Guards against a 429 or 503 for a call that a planner may have carried out,
// whichever of the ways to reject it is taken (REFUSED).
TEST (PlannedStop, CallThatAPlannerMayHaveIsNotRejectedAsNotRun)
{
  const CallHistory histories[] = {
    { false, false, false, -1, "503" },
    { true, false, false, -1, "504" },
    { true, true, false, -1, "504" },
    { true, true, true, -1, "504" },
    { true, false, false, RST_OUTCOME_REJECTED, "503" },
    { true, false, false, RST_OUTCOME_OVERLOADED, "429" },
    { true, true, true, RST_OUTCOME_REJECTED, "504" },
    { true, true, true, RST_OUTCOME_OVERLOADED, "504" },
    { true, false, false, RST_OUTCOME_UNKNOWN, "504" },
  };
  KeepingServer server;

  for (const CallHistory &history : histories)
    {
      rst_call_stats stats = {};
      rst_jobd_calls *calls = rst_jobd_calls_create (&stats);
      std::vector<int> clients = server.send_requests (1);
      pending_call *call = rst_jobd_calls_add (calls, server.requests.back (),
                                               RST_OPERATION_SUBMIT);

      call->sent = history.is_sent;
      if (history.is_link_lost)
        rst_jobd_calls_link_lost (calls);
      if (history.is_sent_again)
        call->sent = true;
      if (history.outcome >= 0)
        receive_reply (calls, call->number, history.outcome);
      else
        rst_jobd_calls_reject (calls, call, 503, "stopping",
                               RST_HTTP_RETRY_AT_ONCE);
      EXPECT_EQ (count_responses (clients, history.status), 1u)
          << history.is_sent << history.is_link_lost << history.is_sent_again
          << " " << history.outcome;
      EXPECT_EQ (rst_jobd_calls_count (calls), 0u);
      rst_jobd_calls_destroy (calls);
    }
}
