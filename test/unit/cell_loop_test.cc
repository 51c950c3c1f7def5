// Tests of the loop that passes frames of links to a daemon.
#include <gtest/gtest.h>

#include <atomic>
#include <string>
#include <thread>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

extern "C"
{
#include "daemon/cell_loop.h"
#include "transport/transport.h"
#include "util/os.h"
}

namespace
{

const size_t frame_bytes = 1000 * 1000;
const size_t budget_bytes = 8 * 1024 * 1024;
const int frame_count = 64;

// What the kernel may hold of a connection on loopback at both ends.
const size_t kernel_bytes = 16 * 1024 * 1024;

struct Receiver
{
  rst_cell_loop *loop = nullptr;
  std::atomic<int> frames{ 0 };
};

void
count_frame (void *userdata, rst_net_event event, uint64_t, const void *,
             size_t length)
{
  auto *receiver = (Receiver *)userdata;

  if (event == RST_NET_FRAME && length == frame_bytes
      && ++receiver->frames == frame_count)
    rst_cell_loop_stop (receiver->loop);
}

rst_ms
tick (void *)
{
  return rst_os_now () + 100;
}

// Sends until the peer takes no more for @idle_ms.
size_t
send_while_taken (int fd, const std::string &text, size_t sent, int idle_ms)
{
  pollfd descriptor = { fd, POLLOUT, 0 };

  while (sent < text.size () && poll (&descriptor, 1, idle_ms) == 1)
    {
      ssize_t count = send (fd, text.data () + sent, text.size () - sent,
                            MSG_NOSIGNAL | MSG_DONTWAIT);

      if (count < 0)
        break;
      sent += (size_t)count;
    }
  return sent;
}

}

// Guards against frames that pile up while a daemon is busy: peers could fill
// its memory with whole frames.
TEST (CellLoop, FramesThatWaitAreBoundedAndNoneIsLost)
{
  rst_body_limits limits = { 0, 0, budget_bytes, 0, 0 };
  Receiver receiver;
  rst_cell_loop_config config
      = { count_frame, tick, &receiver, false, &limits };
  sockaddr_in address = {};
  uint32_t prefix = htonl ((uint32_t)frame_bytes);
  std::string text;

  for (int i = 0; i < frame_count; i++)
    text.append ((const char *)&prefix, sizeof prefix).append (frame_bytes, 0);
  receiver.loop = rst_cell_loop_create (&config);
  ASSERT_EQ (rst_cell_loop_listen (receiver.loop, "127.0.0.1:0"),
             RST_TRANSPORT_OK);
  rst_transport_parse_address (rst_cell_loop_get_address (receiver.loop),
                               &address);
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  ASSERT_EQ (connect (fd, (sockaddr *)&address, sizeof address), 0);
  // Nothing is handled, as the loop does not run yet.
  size_t sent = send_while_taken (fd, text, 0, 500);

  EXPECT_LE (sent, budget_bytes + frame_bytes + kernel_bytes);
  std::thread sender (
      [&] { sent = send_while_taken (fd, text, sent, 20000); });

  rst_cell_loop_run (receiver.loop);
  sender.join ();
  EXPECT_EQ (sent, text.size ());
  EXPECT_EQ (receiver.frames, frame_count);
  close (fd);
  rst_cell_loop_destroy (receiver.loop);
}
