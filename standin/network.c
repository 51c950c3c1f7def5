#include "network.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <errno.h>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>
#include <pthread.h>

#include "rosemarystile.h"

/** How often a connection checks whether it is cut, in milliseconds. */
#define CHECK_INTERVAL_MS 10

/** Longest path below /proc and longest text of a socket's link there. */
#define PROC_PATH_MAX 400

struct network_relay
{
  int listener;
  unsigned port;
  char address[RST_ADDRESS_SIZE];
  char target[RST_ADDRESS_SIZE];
  char zone[RST_NAME_SIZE];
  bool cut;
};

struct process
{
  pid_t pid;
  char zone[RST_NAME_SIZE];
};

struct connection
{
  struct network_relay *relay;
  int client;
  int server;
  struct sockaddr_in peer;
  /* Zone of the process at the other end; NULL until it is known. */
  const char *zone;
};

static struct
{
  pthread_mutex_t lock;
  GPtrArray *relays;
  GPtrArray *processes;
  /* Set of the zones that are cut off. */
  GHashTable *cut_zones;
} network = { .lock = PTHREAD_MUTEX_INITIALIZER };

/* Called with the lock held. */
static void
init_network (void)
{
  if (network.relays != NULL)
    return;
  network.relays = g_ptr_array_new ();
  network.processes = g_ptr_array_new ();
  network.cut_zones
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

static void
lock_network (void)
{
  pthread_mutex_lock (&network.lock);
  init_network ();
}

static void
unlock_network (void)
{
  pthread_mutex_unlock (&network.lock);
}

/* Returns the inode of the other end of a connection, or 0.  Asks the kernel
   for this one socket: /proc/net/tcp takes 20 ms to read on a machine with
   10,000 sockets, and each new connection needs the answer. */
static unsigned long
find_inode (const struct connection *connection)
{
  struct
  {
    struct nlmsghdr header;
    struct inet_diag_req_v2 body;
  } request = { 0 };
  union
  {
    struct nlmsghdr header;
    char bytes[4096];
  } answer;
  const struct inet_diag_msg *message = NLMSG_DATA (&answer.header);
  int fd = socket (AF_NETLINK, SOCK_RAW | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
  ssize_t length = -1;

  if (fd < 0)
    return 0;
  request.header.nlmsg_len = sizeof request;
  request.header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
  request.header.nlmsg_flags = NLM_F_REQUEST;
  request.body.sdiag_family = AF_INET;
  request.body.sdiag_protocol = IPPROTO_TCP;
  request.body.idiag_states = ~0U;
  request.body.id.idiag_sport = connection->peer.sin_port;
  request.body.id.idiag_dport = htons ((uint16_t)connection->relay->port);
  request.body.id.idiag_src[0] = connection->peer.sin_addr.s_addr;
  request.body.id.idiag_dst[0] = htonl (INADDR_LOOPBACK);
  request.body.id.idiag_cookie[0] = INET_DIAG_NOCOOKIE;
  request.body.id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
  if (send (fd, &request, sizeof request, 0) == (ssize_t)sizeof request)
    length = recv (fd, &answer, sizeof answer, 0);
  close (fd);
  if (length < (ssize_t)NLMSG_LENGTH (sizeof *message)
      || answer.header.nlmsg_type != SOCK_DIAG_BY_FAMILY)
    return 0;
  return message->idiag_inode;
}

static bool
process_has_socket (pid_t pid, unsigned long inode)
{
  char path[PROC_PATH_MAX];
  char wanted[PROC_PATH_MAX];
  DIR *directory;
  const struct dirent *entry;
  bool found = false;

  g_snprintf (path, sizeof path, "/proc/%d/fd", (int)pid);
  g_snprintf (wanted, sizeof wanted, "socket:[%lu]", inode);
  directory = opendir (path);
  while (directory != NULL && !found && (entry = readdir (directory)) != NULL)
    {
      char link[PROC_PATH_MAX];
      char text[PROC_PATH_MAX];
      ssize_t length;

      g_snprintf (link, sizeof link, "%s/%s", path, entry->d_name);
      length = readlink (link, text, sizeof text - 1);
      if (length <= 0)
        continue;
      text[length] = '\0';
      found = strcmp (text, wanted) == 0;
    }
  if (directory != NULL)
    closedir (directory);
  return found;
}

/* A process may be placed after it connected, so the search is repeated until
   it finds one.  It is made without the lock, which every connection takes. */
static const char *
find_zone (struct connection *connection)
{
  unsigned long inode;
  GPtrArray *processes;

  if (connection->zone != NULL)
    return connection->zone;
  inode = find_inode (connection);
  if (inode == 0)
    return NULL;
  lock_network ();
  processes = g_ptr_array_copy (network.processes, NULL, NULL);
  unlock_network ();
  for (guint i = 0; i < processes->len && connection->zone == NULL; i++)
    {
      const struct process *process = g_ptr_array_index (processes, i);

      if (process_has_socket (process->pid, inode))
        connection->zone = process->zone;
    }
  g_ptr_array_free (processes, TRUE);
  return connection->zone;
}

static bool
is_cut (struct connection *connection)
{
  const char *zone = find_zone (connection);
  bool cut;

  lock_network ();
  cut = connection->relay->cut
        || (zone != NULL && strcmp (zone, connection->relay->zone) != 0
            && (g_hash_table_contains (network.cut_zones, zone)
                || g_hash_table_contains (network.cut_zones,
                                          connection->relay->zone)));
  unlock_network ();
  return cut;
}

static bool
parse_address (const char *text, struct sockaddr_in *address)
{
  const char *colon = strrchr (text, ':');

  memset (address, 0, sizeof *address);
  address->sin_family = AF_INET;
  address->sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (colon == NULL)
    return false;
  address->sin_port = htons ((uint16_t)strtoul (colon + 1, NULL, 10));
  return true;
}

static int
connect_to_target (const struct network_relay *relay)
{
  struct sockaddr_in address;
  bool known;
  int one = 1;
  int fd;

  lock_network ();
  known = parse_address (relay->target, &address);
  unlock_network ();
  if (!known)
    return -1;
  fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (connect (fd, (const struct sockaddr *)&address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

/* Relays what one end has sent; false when it has closed the connection. */
static bool
relay_bytes (int from, int to)
{
  char bytes[65536];
  ssize_t length = recv (from, bytes, sizeof bytes, 0);
  ssize_t sent = 0;

  if (length <= 0)
    return false;
  while (sent < length)
    {
      ssize_t count
          = send (to, bytes + sent, (size_t)(length - sent), MSG_NOSIGNAL);

      if (count <= 0)
        return false;
      sent += count;
    }
  return true;
}

static void
wait_while_cut (struct connection *connection)
{
  while (is_cut (connection))
    g_usleep (CHECK_INTERVAL_MS * 1000);
}

static void *
run_connection (void *userdata)
{
  struct connection *connection = userdata;
  bool open;

  wait_while_cut (connection);
  connection->server = connect_to_target (connection->relay);
  open = connection->server >= 0;
  while (open)
    {
      struct pollfd fds[2] = { { connection->client, POLLIN, 0 },
                               { connection->server, POLLIN, 0 } };
      int ready = poll (fds, 2, CHECK_INTERVAL_MS);

      wait_while_cut (connection);
      if (ready <= 0)
        continue;
      if (fds[0].revents != 0)
        open = relay_bytes (connection->client, connection->server);
      if (open && fds[1].revents != 0)
        open = relay_bytes (connection->server, connection->client);
    }
  if (connection->server >= 0)
    close (connection->server);
  close (connection->client);
  g_free (connection);
  return NULL;
}

static void *
run_relay (void *userdata)
{
  struct network_relay *relay = userdata;

  for (;;)
    {
      struct connection *connection = g_new0 (struct connection, 1);
      socklen_t length = sizeof connection->peer;
      pthread_t thread;
      int one = 1;

      connection->relay = relay;
      connection->client
          = accept4 (relay->listener, (struct sockaddr *)&connection->peer,
                     &length, SOCK_CLOEXEC);
      if (connection->client < 0)
        {
          g_free (connection);
          g_usleep (CHECK_INTERVAL_MS * 1000);
          continue;
        }
      setsockopt (connection->client, IPPROTO_TCP, TCP_NODELAY, &one,
                  sizeof one);
      if (pthread_create (&thread, NULL, run_connection, connection) == 0)
        pthread_detach (thread);
      else
        {
          close (connection->client);
          g_free (connection);
        }
    }
  return NULL;
}

struct network_relay *
network_add_relay (const char *zone, const char *target)
{
  struct network_relay *relay = g_new0 (struct network_relay, 1);
  struct sockaddr_in address;
  socklen_t length = sizeof address;
  pthread_t thread;

  g_strlcpy (relay->zone, zone, sizeof relay->zone);
  g_strlcpy (relay->target, target != NULL ? target : "",
             sizeof relay->target);
  parse_address (":0", &address);
  relay->listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (bind (relay->listener, (struct sockaddr *)&address, sizeof address) != 0
      || listen (relay->listener, SOMAXCONN) != 0
      || getsockname (relay->listener, (struct sockaddr *)&address, &length)
             != 0)
    goto fail;
  relay->port = ntohs (address.sin_port);
  g_snprintf (relay->address, sizeof relay->address, "127.0.0.1:%u",
              relay->port);
  if (pthread_create (&thread, NULL, run_relay, relay) != 0)
    goto fail;
  pthread_detach (thread);
  lock_network ();
  g_ptr_array_add (network.relays, relay);
  unlock_network ();
  return relay;

fail:
  if (relay->listener >= 0)
    close (relay->listener);
  g_free (relay);
  return NULL;
}

const char *
network_relay_address (const struct network_relay *relay)
{
  return relay->address;
}

struct network_relay *
network_find_relay (const char *address)
{
  struct network_relay *found = NULL;

  lock_network ();
  for (guint i = 0; i < network.relays->len; i++)
    {
      struct network_relay *relay = g_ptr_array_index (network.relays, i);

      if (strcmp (relay->address, address) == 0)
        found = relay;
    }
  unlock_network ();
  return found;
}

void
network_set_target (struct network_relay *relay, const char *target)
{
  lock_network ();
  g_strlcpy (relay->target, target, sizeof relay->target);
  unlock_network ();
}

void
network_place_process (pid_t pid, const char *zone)
{
  struct process *process = g_new0 (struct process, 1);

  process->pid = pid;
  g_strlcpy (process->zone, zone, sizeof process->zone);
  lock_network ();
  g_ptr_array_add (network.processes, process);
  unlock_network ();
}

void
network_cut_zone (const char *zone, bool cut)
{
  lock_network ();
  if (cut)
    g_hash_table_add (network.cut_zones, g_strdup (zone));
  else
    g_hash_table_remove (network.cut_zones, zone);
  unlock_network ();
}

void
network_cut_relay (struct network_relay *relay, bool cut)
{
  lock_network ();
  relay->cut = cut;
  unlock_network ();
}
