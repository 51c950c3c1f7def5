/* Forwards TCP connections to the platform's store and holds back each answer
   for some time, as a slow store does.

   Usage: review-proxy TARGET DELAY_MS

   It begins without a delay; SIGUSR1 turns the delay on, SIGUSR2 off. */
#include <arpa/inet.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static atomic_bool is_slow;
static int delay_ms;
static struct sockaddr_in target;

static void
switch_delay (int signal_number)
{
  atomic_store (&is_slow, signal_number == SIGUSR1);
}

static int
write_all (int fd, const char *data, ssize_t length)
{
  while (length > 0)
    {
      ssize_t count = send (fd, data, (size_t)length, MSG_NOSIGNAL);

      if (count <= 0)
        return -1;
      data += count;
      length -= count;
    }
  return 0;
}

static void *
forward (void *argument)
{
  int client = (int)(long)argument;
  int server = socket (AF_INET, SOCK_STREAM, 0);
  struct pollfd fds[2] = { { client, POLLIN, 0 }, { server, POLLIN, 0 } };
  static _Thread_local char data[65536];

  if (connect (server, (struct sockaddr *)&target, sizeof target) != 0)
    goto out;
  for (;;)
    {
      if (poll (fds, 2, -1) < 0)
        continue;
      for (int i = 0; i < 2; i++)
        {
          ssize_t count;

          if (fds[i].revents == 0)
            continue;
          if (i == 1 && atomic_load (&is_slow))
            usleep ((useconds_t)delay_ms * 1000);
          count = recv (fds[i].fd, data, sizeof data, 0);
          if (count <= 0 || write_all (fds[1 - i].fd, data, count) != 0)
            goto out;
        }
    }

out:
  close (client);
  close (server);
  return NULL;
}

int
main (int argc, char **argv)
{
  struct sockaddr_in own = { .sin_family = AF_INET };
  struct sigaction action = { .sa_handler = switch_delay,
                              .sa_flags = SA_RESTART };
  socklen_t size = sizeof own;
  int listener = socket (AF_INET, SOCK_STREAM, 0);
  char host[64];
  int port;

  if (argc != 3 || sscanf (argv[1], "%63[^:]:%d", host, &port) != 2)
    return 2;
  delay_ms = atoi (argv[2]);
  target.sin_family = AF_INET;
  target.sin_port = htons ((uint16_t)port);
  inet_pton (AF_INET, host, &target.sin_addr);
  own.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  sigaction (SIGUSR1, &action, NULL);
  sigaction (SIGUSR2, &action, NULL);
  if (bind (listener, (struct sockaddr *)&own, sizeof own) != 0
      || listen (listener, 256) != 0
      || getsockname (listener, (struct sockaddr *)&own, &size) != 0)
    return 2;
  printf ("ready http=127.0.0.1:%d\n", ntohs (own.sin_port));
  fflush (stdout);
  for (;;)
    {
      int client = accept (listener, NULL, NULL);
      pthread_t thread;

      if (client < 0)
        continue;
      if (pthread_create (&thread, NULL, forward, (void *)(long)client) == 0)
        pthread_detach (thread);
      else
        close (client);
    }
}
