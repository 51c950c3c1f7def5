// Calls of the adapter to a store on loopback.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <future>
#include <string>
#include <thread>

extern "C"
{
#include "adapter.h"
#include "transport/http_server.h"
#include "transport/transport.h"
}

// A store that answers every call with the same body, an empty page unless a
// test sets another one, and keeps the query.
class AdapterHttp : public ::testing::Test
{
public:
  static void
  take_result (rst_store_answer *answer, void *userdata)
  {
    static_cast<std::promise<rst_result> *> (userdata)->set_value (
        answer->result);
    rst_store_answer_free (answer);
  }

protected:
  void
  SetUp () override
  {
    rst_http_server_config config = {};

    config.address = "127.0.0.1:0";
    config.max_body_bytes = 1024;
    config.max_connections = 8;
    config.idle_timeout_s = 10;
    config.handler = handle;
    config.userdata = this;
    ASSERT_EQ (rst_http_server_create (&config, &server), RST_TRANSPORT_OK);
    client = rst_http_client_create (4, 4);
    adapter
        = rst_adapter_create (client, rst_http_server_address (server), "");
    backend = rst_adapter_get_backend (adapter);
  }

  void
  TearDown () override
  {
    rst_http_client_destroy (client);
    rst_adapter_destroy (adapter);
    rst_http_server_destroy (server);
  }

  static void
  handle (rst_http_request *request, void *userdata)
  {
    auto *self = static_cast<AdapterHttp *> (userdata);
    const char *prefix = rst_http_request_query (request, "prefix");
    const char *after = rst_http_request_query (request, "after");
    const char *page = rst_http_request_query (request, "page_token");
    const std::string &body = self->body;

    self->prefix = prefix != nullptr ? prefix : "";
    self->after = after != nullptr ? after : "";
    self->page = page != nullptr ? page : "";
    rst_http_request_reply (request, 200, nullptr, body.data (), body.size (),
                            0);
  }

  // Lists the page behind a key and returns the result of the call.
  rst_result
  list_after (const std::string &key)
  {
    std::promise<rst_result> promise;

    backend->store_range (backend->userdata, "servers/", key.c_str (),
                          take_result, &promise);
    return promise.get_future ().get ();
  }

  // Watches for changes and returns the result of the call.
  rst_result
  watch ()
  {
    std::promise<rst_result> promise;

    backend->store_watch (backend->userdata, "servers/", 3, 4000, take_result,
                          &promise);
    return promise.get_future ().get ();
  }

  rst_http_server *server = nullptr;
  rst_http_client *client = nullptr;
  rst_adapter *adapter = nullptr;
  const rst_backend *backend = nullptr;
  std::string body = "{\"items\":[],\"has_more\":false,\"current_rev\":7}";
  std::string prefix;
  std::string after;
  std::string page;
};

// The name of a page is the platform's own.
TEST_F (AdapterHttp, ListsThePageOfMachinesOfAnyName)
{
  rst_adapter_set_machines_address (adapter, rst_http_server_address (server));
  ASSERT_NE (backend->list_machines, nullptr);
  body = "{\"machines\":[],\"next_token\":\"p2\"}";
  for (const char *name : { (const char *)nullptr, "pc8", "a b",
                            "a&page_token=c", "a#b", "a+b/%41" })
    {
      std::promise<std::string> promise;

      page = "none";
      backend->list_machines (
          backend->userdata, name,
          [] (rst_machines_answer *answer, void *data) {
            static_cast<std::promise<std::string> *> (data)->set_value (
                answer->result == RST_RESULT_OK ? answer->next_page : "bad");
            rst_machines_answer_free (answer);
          },
          &promise);
      EXPECT_EQ (promise.get_future ().get (), "p2");
      EXPECT_EQ (page, name != nullptr ? name : "");
    }
}

TEST_F (AdapterHttp, HasNoListOfMachinesWithoutAnAddress)
{
  rst_adapter_set_machines_address (adapter, "");
  EXPECT_EQ (backend->list_machines, nullptr);
}

// Another writer chooses the key; the list goes on behind it if it is the last
// one of a page.
TEST_F (AdapterHttp, ListsThePageBehindAnyKey)
{
  for (const std::string &key :
       { std::string ("servers/i-7f3a91c2"), std::string ("servers/a b"),
         std::string ("servers/a&prefix=op/"), std::string ("servers/a#b"),
         std::string ("servers/a%41"), std::string ("servers/a+b"),
         std::string ("servers/a?b=c"), std::string ("servers/a\r\nX: y"),
         std::string ("servers/\x7f"), std::string ("servers/\xc3\xa9"),
         std::string ("servers/\xff"), std::string ("servers/{a}[b]\\\"") })
    {
      after = "";
      EXPECT_EQ (list_after (key), RST_RESULT_OK) << key;
      EXPECT_EQ (prefix, "servers/") << key;
      EXPECT_EQ (after, key);
    }
}

// Another writer may write a large value often.  Asked for again, the same
// changes would be too large for ever; the list has only the last value.
TEST_F (AdapterHttp, ChangesTooLargeToReadCountAsCompacted)
{
  std::string value (1000000, 'A');
  std::string events;

  for (int i = 0; i < 9; i++)
    events += (i > 0 ? "," : "") + std::string ("{\"key\":\"servers/a\",")
              + "\"revision\":" + std::to_string (4 + i) + ",\"value\":\""
              + value + "\"}";
  body = "{\"events\":[" + events + "],\"current_rev\":12}";
  EXPECT_EQ (watch (), RST_RESULT_COMPACTED);
  EXPECT_EQ (list_after (""), RST_RESULT_UNKNOWN);
}

// A store behind a narrow link: it answers one call with a body, an empty page
// by default, that is padded with spaces, in pieces.
class NarrowStore
{
public:
  NarrowStore (int pieces, int sent_pieces, std::chrono::milliseconds pause,
               const std::string &body = "{\"items\":[],\"current_rev\":7}")
  {
    sockaddr_in loopback = {};
    socklen_t length = sizeof loopback;

    loopback.sin_family = AF_INET;
    loopback.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    listener = socket (AF_INET, SOCK_STREAM, 0);
    bind (listener, (sockaddr *)&loopback, sizeof loopback);
    listen (listener, 1);
    getsockname (listener, (sockaddr *)&loopback, &length);
    address = "127.0.0.1:" + std::to_string (ntohs (loopback.sin_port));
    thread = std::thread (
        [=, this] { answer_call (pieces, sent_pieces, pause, body); });
  }

  ~NarrowStore ()
  {
    thread.join ();
    close (listener);
  }

  std::string address;

private:
  void
  answer_call (int pieces, int sent_pieces, std::chrono::milliseconds pause,
               const std::string &body)
  {
    const std::string piece (1000, ' ');
    const std::string head
        = "HTTP/1.1 200 OK\r\nContent-Length: "
          + std::to_string (body.size () + (size_t)pieces * piece.size ())
          + "\r\n\r\n" + body;
    char request[4096];
    int connection = accept (listener, nullptr, nullptr);

    if (recv (connection, request, sizeof request, 0) > 0)
      send (connection, head.data (), head.size (), MSG_NOSIGNAL);
    for (int i = 0; i < sent_pieces; i++)
      {
        std::this_thread::sleep_for (pause);
        send (connection, piece.data (), piece.size (), MSG_NOSIGNAL);
      }
    /* Until the client closes the connection. */
    while (recv (connection, request, sizeof request, 0) > 0)
      {
      }
    close (connection);
  }

  int listener;
  std::thread thread;
};

class NarrowLink : public ::testing::Test
{
protected:
  using Result = std::promise<rst_result>;

  // Makes a call of the adapter to a store and measures how long it takes.
  rst_result
  call (const NarrowStore &store,
        void (*start) (const rst_backend *backend, Result *result))
  {
    rst_http_client *client = rst_http_client_create (4, 4);
    rst_adapter *adapter
        = rst_adapter_create (client, store.address.c_str (), "");
    Result result;
    auto started_at = std::chrono::steady_clock::now ();

    rst_adapter_set_machines_address (adapter, store.address.c_str ());
    start (rst_adapter_get_backend (adapter), &result);
    rst_result value = result.get_future ().get ();

    took = std::chrono::steady_clock::now () - started_at;
    rst_http_client_destroy (client);
    rst_adapter_destroy (adapter);
    return value;
  }

  static void
  read_page (const rst_backend *backend, Result *result)
  {
    backend->store_range (backend->userdata, "a/", "",
                          AdapterHttp::take_result, result);
  }

  static void
  watch (const rst_backend *backend, Result *result)
  {
    backend->store_watch (backend->userdata, "a/", 3, 1000,
                          AdapterHttp::take_result, result);
  }

  static void
  commit (const rst_backend *backend, Result *result)
  {
    rst_store_write write = {};

    write.key = "a/1";
    write.value = "x";
    write.length = 1;
    write.expected_revision = -1;
    backend->store_commit (backend->userdata, &write, 1,
                           AdapterHttp::take_result, result);
  }

  static void
  list_machines (const rst_backend *backend, Result *result)
  {
    backend->list_machines (
        backend->userdata, nullptr,
        [] (rst_machines_answer *answer, void *data) {
          static_cast<Result *> (data)->set_value (answer->result);
          rst_machines_answer_free (answer);
        },
        result);
  }

  std::chrono::steady_clock::duration took;
};

// A new planner read the first page of the journal again and again, since a
// page took longer than the timeout on a narrow link (review/4, LOST).
TEST_F (NarrowLink, ReadsAPageThatArrivesSlowly)
{
  NarrowStore store (12, 12, std::chrono::milliseconds (200));

  EXPECT_EQ (call (store, read_page), RST_RESULT_OK);
  EXPECT_GT (took, std::chrono::milliseconds (2000));
}

// A planner would list the instances again and again instead of following the
// changes.
TEST_F (NarrowLink, ReadsChangesThatArriveSlowly)
{
  NarrowStore store (12, 12, std::chrono::milliseconds (200),
                     "{\"events\":[],\"current_rev\":7}");

  EXPECT_EQ (call (store, watch), RST_RESULT_OK);
  EXPECT_GT (took, std::chrono::milliseconds (2000));
}

// A planner whose commits are given up is replaced, and the next one does the
// same.
TEST_F (NarrowLink, AwaitsTheResultOfACommitThatArrivesSlowly)
{
  NarrowStore store (12, 12, std::chrono::milliseconds (200));

  EXPECT_EQ (call (store, commit), RST_RESULT_OK);
  EXPECT_GT (took, std::chrono::milliseconds (2000));
}

// Without the list the lease of an instance that has ended is waited for.
TEST_F (NarrowLink, ReadsMachinesThatArriveSlowly)
{
  NarrowStore store (12, 12, std::chrono::milliseconds (200),
                     "{\"machines\":[],\"next_token\":\"\"}");

  EXPECT_EQ (call (store, list_machines), RST_RESULT_OK);
  EXPECT_GT (took, std::chrono::milliseconds (2000));
}

// A connection may go silent for good.
TEST_F (NarrowLink, GivesUpAPageThatStopsArriving)
{
  NarrowStore store (12, 3, std::chrono::milliseconds (200));

  EXPECT_EQ (call (store, read_page), RST_RESULT_UNKNOWN);
  EXPECT_LT (took, std::chrono::milliseconds (4000));
}
