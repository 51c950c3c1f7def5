#include "paths.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <errno.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define CUTS_MAX 64
#define POLL_MS 20

struct paths
{
  int listener;
  char address[64];
  struct sockaddr_in target;
  pthread_mutex_t lock;
  pid_t cut[CUTS_MAX];
  /* Processes that called, and when they last sent something. */
  struct
  {
    pid_t pid;
    long at;
  } callers[CUTS_MAX];
};

struct forward
{
  struct paths *paths;
  int client;
};

static bool
is_cut (struct paths *paths, pid_t pid)
{
  bool found = false;

  pthread_mutex_lock (&paths->lock);
  for (int i = 0; i < CUTS_MAX; i++)
    found |= pid != 0 && paths->cut[i] == pid;
  pthread_mutex_unlock (&paths->lock);
  return found;
}

void
paths_set_cut (struct paths *paths, pid_t pid, bool cut)
{
  bool done = false;

  pthread_mutex_lock (&paths->lock);
  for (int i = 0; i < CUTS_MAX && !done; i++)
    if (paths->cut[i] == (cut ? 0 : pid))
      {
        paths->cut[i] = cut ? pid : 0;
        done = true;
      }
  pthread_mutex_unlock (&paths->lock);
}

static long
now_ms (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static void
note_call (struct paths *paths, pid_t pid)
{
  pthread_mutex_lock (&paths->lock);
  for (int i = 0; i < CUTS_MAX; i++)
    if (paths->callers[i].pid == pid || paths->callers[i].pid == 0)
      {
        paths->callers[i].pid = pid;
        paths->callers[i].at = now_ms ();
        break;
      }
  pthread_mutex_unlock (&paths->lock);
}

bool
paths_has_called (struct paths *paths, pid_t pid, long within_ms)
{
  bool found = false;

  pthread_mutex_lock (&paths->lock);
  for (int i = 0; i < CUTS_MAX; i++)
    found |= paths->callers[i].pid == pid
             && now_ms () - paths->callers[i].at <= within_ms;
  pthread_mutex_unlock (&paths->lock);
  return found;
}

/* Returns the inode of the peer's socket, or 0. */
static unsigned long
find_inode (const struct sockaddr_in *peer)
{
  FILE *file = fopen ("/proc/net/tcp", "r");
  char line[512];
  unsigned long inode = 0;

  while (file != NULL && fgets (line, sizeof line, file) != NULL)
    {
      unsigned address, port;
      unsigned long candidate;

      if (sscanf (line, " %*d: %x:%x %*x:%*x %*x %*x:%*x %*x:%*x %*x %*d %*d %lu",
                  &address, &port, &candidate)
              == 3
          && address == peer->sin_addr.s_addr && port == ntohs (peer->sin_port))
        inode = candidate;
    }
  if (file != NULL)
    fclose (file);
  return inode;
}

static bool
has_socket (pid_t pid, unsigned long inode)
{
  char path[64];
  char wanted[64];
  DIR *dir;
  struct dirent *entry;
  bool found = false;

  snprintf (path, sizeof path, "/proc/%d/fd", (int)pid);
  snprintf (wanted, sizeof wanted, "socket:[%lu]", inode);
  dir = opendir (path);
  while (dir != NULL && !found && (entry = readdir (dir)) != NULL)
    {
      char link[384];
      char name[64];
      ssize_t length;

      snprintf (link, sizeof link, "%s/%s", path, entry->d_name);
      length = readlink (link, name, sizeof name - 1);
      if (length <= 0)
        continue;
      name[length] = '\0';
      found = strcmp (name, wanted) == 0;
    }
  if (dir != NULL)
    closedir (dir);
  return found;
}

/* Returns the process that has the other end of a connection: the sibling
   process, started by the same script, that has the socket. */
static pid_t
find_peer (const struct sockaddr_in *peer)
{
  unsigned long inode = find_inode (peer);
  DIR *dir = inode != 0 ? opendir ("/proc") : NULL;
  struct dirent *entry;
  pid_t found = 0;

  while (dir != NULL && found == 0 && (entry = readdir (dir)) != NULL)
    {
      char path[300];
      char text[400] = "";
      const char *end;
      FILE *file;
      int parent = 0;
      pid_t pid = atoi (entry->d_name);

      if (pid <= 0)
        continue;
      snprintf (path, sizeof path, "/proc/%d/stat", (int)pid);
      file = fopen (path, "r");
      if (file == NULL)
        continue;
      if (fgets (text, sizeof text, file) != NULL
          && (end = strrchr (text, ')')) != NULL)
        sscanf (end + 1, " %*c %d", &parent);
      fclose (file);
      if (parent == getppid () && has_socket (pid, inode))
        found = pid;
    }
  if (dir != NULL)
    closedir (dir);
  return found;
}

static bool
copy (int from, int to)
{
  char bytes[65536];
  ssize_t length = recv (from, bytes, sizeof bytes, 0);
  ssize_t sent = 0;

  if (length <= 0)
    return false;
  while (sent < length)
    {
      ssize_t count = send (to, bytes + sent, (size_t)(length - sent),
                            MSG_NOSIGNAL);

      if (count <= 0)
        return false;
      sent += count;
    }
  return true;
}

static int
connect_target (const struct paths *paths)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (connect (fd, (const struct sockaddr *)&paths->target,
               sizeof paths->target)
      == 0)
    return fd;
  close (fd);
  return -1;
}

static void *
run_forward (void *userdata)
{
  struct forward *forward = userdata;
  struct paths *paths = forward->paths;
  int client = forward->client;
  struct sockaddr_in peer = { 0 };
  socklen_t length = sizeof peer;
  int server = -1;
  pid_t pid;
  bool open = true;

  free (forward);
  getpeername (client, (struct sockaddr *)&peer, &length);
  pid = find_peer (&peer);
  if (!is_cut (paths, pid))
    server = connect_target (paths);
  open = server >= 0 || is_cut (paths, pid);
  while (open && !is_cut (paths, pid) && server >= 0)
    {
      struct pollfd fds[2]
          = { { client, POLLIN, 0 }, { server, POLLIN, 0 } };

      if (poll (fds, 2, POLL_MS) < 0 && errno != EINTR)
        break;
      if (is_cut (paths, pid))
        break;
      if (fds[0].revents != 0)
        {
          note_call (paths, pid);
          open = copy (client, server);
        }
      if (open && fds[1].revents != 0)
        open = copy (server, client);
    }
  if (server >= 0)
    close (server);
  /* The path is cut: the connection is silent until the path is healed. */
  while (open && is_cut (paths, pid))
    usleep (POLL_MS * 1000);
  close (client);
  return NULL;
}

static void *
run_listener (void *userdata)
{
  struct paths *paths = userdata;

  for (;;)
    {
      struct forward *forward = calloc (1, sizeof *forward);
      pthread_t thread;
      int one = 1;

      forward->paths = paths;
      forward->client = accept4 (paths->listener, NULL, NULL, SOCK_CLOEXEC);
      if (forward->client < 0)
        {
          free (forward);
          usleep (1000);
          continue;
        }
      setsockopt (forward->client, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      if (pthread_create (&thread, NULL, run_forward, forward) != 0)
        exit (2);
      pthread_detach (thread);
    }
  return NULL;
}

struct paths *
paths_create (const char *target)
{
  struct paths *paths = calloc (1, sizeof *paths);
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t length = sizeof address;
  const char *colon = strrchr (target, ':');
  pthread_t thread;

  pthread_mutex_init (&paths->lock, NULL);
  paths->target.sin_family = AF_INET;
  paths->target.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  paths->target.sin_port = htons ((uint16_t)atoi (colon + 1));
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  paths->listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (bind (paths->listener, (struct sockaddr *)&address, sizeof address) != 0
      || listen (paths->listener, 128) != 0
      || getsockname (paths->listener, (struct sockaddr *)&address, &length)
             != 0
      || pthread_create (&thread, NULL, run_listener, paths) != 0)
    exit (2);
  snprintf (paths->address, sizeof paths->address, "127.0.0.1:%d",
            ntohs (address.sin_port));
  return paths;
}

const char *
paths_address (const struct paths *paths)
{
  return paths->address;
}
