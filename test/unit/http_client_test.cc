// Tests of the HTTP client against a server on loopback.
#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <string>
#include <thread>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

extern "C"
{
#include "adapter.h"
#include "transport/http_client.h"
#include "transport/transport.h"
}

// How long the server waits for a further copy of a request.
static const int copy_wait_ms = 300;

// Longest time that it waits for a request that the test sends.
static const int request_wait_ms = 30000;

// Answers the first request of its first connection, and closes that
// connection when it has read the second one.  Counts the requests.
class ClosingServer
{
public:
  ClosingServer ()
  {
    sockaddr_in address = {};
    socklen_t length = sizeof address;

    listener_ = socket (AF_INET, SOCK_STREAM, 0);
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    EXPECT_EQ (bind (listener_, (sockaddr *)&address, sizeof address), 0);
    listen (listener_, 4);
    getsockname (listener_, (sockaddr *)&address, &length);
    address_text = "127.0.0.1:" + std::to_string (ntohs (address.sin_port));
    thread_ = std::thread ([this] { serve (); });
  }
  ~ClosingServer ()
  {
    join ();
    close (listener_);
  }
  ClosingServer (const ClosingServer &) = delete;
  ClosingServer &operator= (const ClosingServer &) = delete;

  // Waits until no further request can come.
  void
  join ()
  {
    if (thread_.joinable ())
      thread_.join ();
  }

  std::string address_text;
  std::atomic<int> requests = 0;

private:
  int listener_ = -1;
  std::thread thread_;

  // Reads a request of one segment; returns false if none comes.
  bool
  read_request (int connection, int wait_ms)
  {
    char bytes[2048];
    pollfd waited = { connection, POLLIN, 0 };

    if (poll (&waited, 1, wait_ms) != 1
        || recv (connection, bytes, sizeof bytes, 0) <= 0)
      return false;
    requests++;
    return true;
  }

  void
  serve ()
  {
    static const std::string answer
        = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    int connection = accept (listener_, nullptr, nullptr);

    read_request (connection, request_wait_ms);
    send (connection, answer.data (), answer.size (), MSG_NOSIGNAL);
    read_request (connection, request_wait_ms);
    close (connection);
    pollfd waited = { listener_, POLLIN, 0 };

    if (poll (&waited, 1, copy_wait_ms) != 1)
      return;
    connection = accept (listener_, nullptr, nullptr);
    read_request (connection, copy_wait_ms);
    send (connection, answer.data (), answer.size (), MSG_NOSIGNAL);
    close (connection);
  }
};

// Sends the same request each time and returns how it ended.
static int
post (struct rst_http_client *client, const std::string &address)
{
  std::promise<int> error;
  std::string url = "http://" + address + "/";
  struct rst_http_call call = {};

  call.method = "POST";
  call.url = url.c_str ();
  call.body = "{}";
  call.length = 2;
  call.timeout_ms = 2000;
  call.send_once = true;
  call.done = [] (const struct rst_http_result *result, void *userdata) {
    static_cast<std::promise<int> *> (userdata)->set_value (result->error);
  };
  call.userdata = &error;
  EXPECT_EQ (rst_http_client_send (client, &call), RST_TRANSPORT_OK);
  return error.get_future ().get ();
}

// The server may have acted on the copy that it read.  The answer to a second
// copy would be taken for that of the first.
TEST (HttpClient, SendsNoSecondCopyWhenAReusedConnectionIsClosed)
{
  ClosingServer server;
  struct rst_http_client *client = rst_http_client_create (4, 1);

  EXPECT_EQ (post (client, server.address_text), RST_TRANSPORT_OK);
  EXPECT_EQ (post (client, server.address_text), RST_TRANSPORT_BROKEN);
  server.join ();
  EXPECT_EQ (server.requests, 2);
  rst_http_client_destroy (client);
}

static enum rst_result
start_run (const struct rst_backend *backend, const std::string &address)
{
  std::promise<enum rst_result> result;
  struct rst_instance_call call = {};

  call.id = "i-0";
  call.address = address.c_str ();
  call.fencing_token = 1;
  call.task = "00000000000000aa.0.0.0";
  call.attempt = 1;
  call.spec = "work";
  backend->start (
      backend->userdata, &call,
      [] (struct rst_instance_answer *answer, void *userdata) {
        static_cast<std::promise<enum rst_result> *> (userdata)->set_value (
            answer->result);
        rst_instance_answer_free (answer);
      },
      &result);
  return result.get_future ().get ();
}

// The task may run, whatever the instance would say to a second copy.
TEST (HttpClient, TakesAStartOnAClosedConnectionForUnanswered)
{
  ClosingServer server;
  struct rst_http_client *client = rst_http_client_create (4, 1);
  struct rst_adapter *adapter
      = rst_adapter_create (client, "127.0.0.1:1", "127.0.0.1:1");
  const struct rst_backend *backend = rst_adapter_get_backend (adapter);

  EXPECT_EQ (start_run (backend, server.address_text), RST_RESULT_OK);
  EXPECT_EQ (start_run (backend, server.address_text), RST_RESULT_UNKNOWN);
  server.join ();
  EXPECT_EQ (server.requests, 2);
  rst_http_client_destroy (client);
  rst_adapter_destroy (adapter);
}
