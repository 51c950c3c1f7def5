/*
 * narrow - a link of limited bandwidth to one address
 *
 * usage: narrow TARGET KBIT_PER_S
 *
 * Forwards TCP connections to TARGET.  All connections share the bandwidth, in
 * each direction, in turns of 2 KB.  Nothing is lost or reset.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define PAIRS_MAX 400
#define TURN_BYTES 2048

/* One direction of a connection. */
struct flow
{
  int from, to;
  char bytes[TURN_BYTES];
  size_t length, sent;
  int closed;
};

struct pair
{
  int used;
  struct flow flows[2];
};

static struct pair pairs[PAIRS_MAX];

static double
now_s (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

static void
close_pair (struct pair *pair)
{
  close (pair->flows[0].from);
  close (pair->flows[0].to);
  pair->used = 0;
}

static void
prepare (int fd)
{
  int one = 1;
  /* Little is buffered, so that the rate holds from the first byte on. */
  int size = 16384;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  setsockopt (fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof size);
  fcntl (fd, F_SETFL, O_NONBLOCK);
}

static void
accept_pair (int listener, const struct sockaddr_in *target)
{
  int client = accept (listener, NULL, NULL);
  int server;

  if (client < 0)
    return;
  for (int i = 0; i < PAIRS_MAX; i++)
    {
      struct pair *pair = &pairs[i];

      if (pair->used)
        continue;
      server = socket (AF_INET, SOCK_STREAM, 0);
      if (connect (server, (const struct sockaddr *)target, sizeof *target)
          != 0)
        {
          close (server);
          break;
        }
      prepare (client);
      prepare (server);
      memset (pair, 0, sizeof *pair);
      pair->used = 1;
      pair->flows[0].from = pair->flows[1].to = client;
      pair->flows[0].to = pair->flows[1].from = server;
      return;
    }
  close (client);
}

/* Moves at most one turn of a flow; returns the bytes taken from the link, or
   -1 if the connection has ended. */
static ssize_t
move_flow (struct flow *flow, int may_read)
{
  ssize_t count = 0;
  ssize_t taken = 0;

  if (flow->length == flow->sent && may_read && !flow->closed)
    {
      count = recv (flow->from, flow->bytes, sizeof flow->bytes, 0);
      if (count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR))
        return -1;
      if (count > 0)
        {
          flow->length = (size_t)count;
          flow->sent = 0;
          taken = count;
        }
    }
  if (flow->sent < flow->length)
    {
      count = send (flow->to, flow->bytes + flow->sent,
                    flow->length - flow->sent, MSG_NOSIGNAL);
      if (count < 0 && errno != EAGAIN && errno != EINTR)
        return -1;
      if (count > 0)
        flow->sent += (size_t)count;
    }
  return taken;
}

int
main (int argc, char **argv)
{
  struct sockaddr_in target = { .sin_family = AF_INET };
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t length = sizeof address;
  const char *colon = argc == 3 ? strrchr (argv[1], ':') : NULL;
  double rate = argc == 3 ? atof (argv[2]) * 125.0 : 0.0;
  double tokens[2] = { 0, 0 };
  double last = now_s ();
  int listener = socket (AF_INET, SOCK_STREAM, 0);

  if (colon == NULL || rate <= 0.0)
    return 2;
  signal (SIGPIPE, SIG_IGN);
  target.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  target.sin_port = htons ((unsigned short)atoi (colon + 1));
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (bind (listener, (struct sockaddr *)&address, sizeof address) != 0
      || listen (listener, 128) != 0
      || getsockname (listener, (struct sockaddr *)&address, &length) != 0)
    return 2;
  fcntl (listener, F_SETFL, O_NONBLOCK);
  printf ("ready http=127.0.0.1:%d\n", ntohs (address.sin_port));
  fflush (stdout);
  for (;;)
    {
      struct timespec pause = { 0, 1000000 };
      double now = now_s ();

      for (int d = 0; d < 2; d++)
        {
          tokens[d] += (now - last) * rate;
          /* What is not used within 20 ms is lost. */
          if (tokens[d] > rate / 50 + TURN_BYTES)
            tokens[d] = rate / 50 + TURN_BYTES;
        }
      last = now;
      accept_pair (listener, &target);
      for (int turn = 0; turn < 8; turn++)
        for (int i = 0; i < PAIRS_MAX; i++)
          for (int d = 0; d < 2 && pairs[i].used; d++)
            {
              ssize_t taken = move_flow (&pairs[i].flows[d], tokens[d] > 0);

              if (taken < 0)
                close_pair (&pairs[i]);
              else
                tokens[d] -= (double)taken;
            }
      nanosleep (&pause, NULL);
    }
}
