#include "transport/net.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "transport/transport.h"
#include "util/log.h"
#include "util/mailbox.h"
#include "util/os.h"

#define LOG_DOMAIN "net"

/** Capacity of the queue of commands for the network thread. */
#define NET_QUEUE_SIZE 32768

/** Maximum number of events returned by one epoll_wait(). */
#define NET_EVENTS_MAX 64

/** Maximum number of bytes read from a socket per event. */
#define NET_READ_MAX_BYTES 65536

/** An empty receive buffer above this size is freed, in bytes. */
#define NET_IDLE_BUFFER_BYTES 16384

/** Listen backlog: connections waiting to be accepted. */
#define NET_BACKLOG 256

enum command_kind
{
  COMMAND_CONNECT,
  COMMAND_SEND,
  COMMAND_CLOSE,
};

struct command
{
  enum command_kind kind;
  uint64_t connection_id;
  char address[RST_ADDRESS_SIZE];
  GByteArray *frame;
};

struct connection
{
  /* Used if there is a budget. */
  struct rst_body_holder holder;
  /* Whether its peer has delivered a frame. */
  bool has_delivered;
  uint64_t id;
  int fd;
  bool connecting;
  GByteArray *receive_buffer;
  GByteArray *send_buffer;
  /* Whether epoll reports when the socket takes more data. */
  bool awaits_write;
  rst_ms received_at;
  rst_ms sent_at;
};

struct rst_net
{
  struct rst_net_config config;
  char address[RST_ADDRESS_SIZE];
  int epoll_fd;
  int listen_fd;
  struct rst_mailbox *mailbox;
  GHashTable *connections;
  /* Ids of the connections whose frames are sent after all queued commands
     have been processed, so that one system call sends several. */
  GArray *to_flush;
  struct rst_body_group accepted;
  struct rst_body_group opened;
  pthread_t thread;
  atomic_bool stop_requested;
  atomic_uint_fast64_t next_id;
  rst_ms next_check_at;
};

static void
connection_free (gpointer data)
{
  struct connection *connection = data;

  close (connection->fd);
  g_byte_array_free (connection->receive_buffer, TRUE);
  g_byte_array_free (connection->send_buffer, TRUE);
  g_free (connection);
}

/* @connecting tells whether this process opens the connection. */
static struct connection *
add_connection (struct rst_net *net, uint64_t id, int fd, bool connecting)
{
  struct connection *connection = g_new0 (struct connection, 1);
  struct epoll_event event = { 0 };
  int one = 1;

  connection->id = id;
  connection->fd = fd;
  connection->connecting = connecting;
  connection->awaits_write = connecting;
  connection->receive_buffer = g_byte_array_new ();
  connection->send_buffer = g_byte_array_new ();
  connection->received_at = rst_os_now ();
  connection->sent_at = connection->received_at;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  event.events = connecting ? EPOLLIN | EPOLLOUT : EPOLLIN;
  event.data.u64 = id;
  epoll_ctl (net->epoll_fd, EPOLL_CTL_ADD, fd, &event);
  g_hash_table_insert (net->connections, &connection->id, connection);
  rst_shared_budget_open (net->config.budget,
                          connecting ? &net->opened : &net->accepted,
                          &connection->holder);
  return connection;
}

static void
emit_event (struct rst_net *net, enum rst_net_event event, uint64_t id,
            const void *data, size_t length)
{
  net->config.handler (event, id, data, length, net->config.userdata);
}

static void
close_connection (struct rst_net *net, struct connection *connection,
                  const char *reason)
{
  uint64_t id = connection->id;

  rst_debug (LOG_DOMAIN, "Connection closed.", "reason", reason);
  rst_shared_budget_close (net->config.budget, &connection->holder);
  g_hash_table_remove (net->connections, &id);
  emit_event (net, RST_NET_CLOSED, id, reason, strlen (reason));
}

static void
update_epoll_events (struct rst_net *net, struct connection *connection)
{
  struct epoll_event event = { 0 };
  bool awaits_write
      = connection->connecting || connection->send_buffer->len > 0;

  if (awaits_write == connection->awaits_write)
    return;
  connection->awaits_write = awaits_write;
  event.events = awaits_write ? EPOLLIN | EPOLLOUT : EPOLLIN;
  event.data.u64 = connection->id;
  epoll_ctl (net->epoll_fd, EPOLL_CTL_MOD, connection->fd, &event);
}

/* Sends buffered bytes until the socket would block.  Returns false if the
   connection was closed and freed. */
static bool
flush (struct rst_net *net, struct connection *connection)
{
  guint unsent_bytes = connection->send_buffer->len;

  while (connection->send_buffer->len > 0)
    {
      ssize_t count = send (connection->fd, connection->send_buffer->data,
                            connection->send_buffer->len, MSG_NOSIGNAL);

      if (count < 0 && errno == EINTR)
        continue;
      if (count < 0 && errno == EAGAIN)
        break;
      if (count < 0)
        {
          close_connection (net, connection, "write failed");
          return false;
        }
      connection->sent_at = rst_os_now ();
      g_byte_array_remove_range (connection->send_buffer, 0, (guint)count);
    }
  if (unsent_bytes > 0)
    update_epoll_events (net, connection);
  return true;
}

static void
append_frame (struct connection *connection, const void *data, size_t length)
{
  uint32_t prefix = htonl ((uint32_t)length);

  g_byte_array_append (connection->send_buffer, (const guint8 *)&prefix,
                       RST_NET_PREFIX_BYTES);
  if (length > 0)
    g_byte_array_append (connection->send_buffer, data, (guint)length);
}

static void
send_frame (struct rst_net *net, struct connection *connection,
            const GByteArray *frame)
{
  if (connection->send_buffer->len + frame->len > net->config.max_unsent_bytes)
    {
      rst_warning (LOG_DOMAIN, "Peer does not read; connection closed.");
      close_connection (net, connection, "peer does not read");
      return;
    }
  if (connection->send_buffer->len == 0 && !connection->connecting)
    g_array_append_val (net->to_flush, connection->id);
  append_frame (connection, frame->data, frame->len);
}

static void
flush_connections (struct rst_net *net)
{
  for (guint i = 0; i < net->to_flush->len; i++)
    {
      uint64_t id = g_array_index (net->to_flush, uint64_t, i);
      struct connection *connection
          = g_hash_table_lookup (net->connections, &id);

      if (connection != NULL && !connection->connecting)
        flush (net, connection);
    }
  g_array_set_size (net->to_flush, 0);
}

static void
start_connect (struct rst_net *net, const struct command *command)
{
  struct sockaddr_in address;
  static const char reason[] = "cannot connect";
  int fd = -1;

  if (!rst_transport_parse_address (command->address, &address))
    goto fail;
  fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    goto fail;
  if (connect (fd, (struct sockaddr *)&address, sizeof address) != 0
      && errno != EINPROGRESS)
    goto fail;
  add_connection (net, command->connection_id, fd, true);
  return;

fail:
  if (fd >= 0)
    close (fd);
  emit_event (net, RST_NET_CLOSED, command->connection_id, reason,
              sizeof reason - 1);
}

static void
process_command (struct rst_net *net, const struct command *command)
{
  struct connection *connection
      = g_hash_table_lookup (net->connections, &command->connection_id);

  if (command->kind == COMMAND_CONNECT)
    start_connect (net, command);
  else if (connection != NULL && command->kind == COMMAND_SEND)
    send_frame (net, connection, command->frame);
  else if (connection != NULL
           && (connection->connecting || flush (net, connection)))
    close_connection (net, connection, "closed here");
}

static void
command_free (struct command *command)
{
  if (command->frame != NULL)
    g_byte_array_free (command->frame, TRUE);
  g_free (command);
}

static void
process_commands (struct rst_net *net)
{
  struct command *command;

  rst_mailbox_clear (net->mailbox);
  while ((command = rst_mailbox_take (net->mailbox)) != NULL)
    {
      process_command (net, command);
      command_free (command);
    }
  flush_connections (net);
}

/* Closes a connection to make room for others. */
static void
evict_connection (struct rst_net *net, struct rst_body_holder *holder,
                  const char *reason)
{
  G_STATIC_ASSERT (offsetof (struct connection, holder) == 0);
  close_connection (net, (struct connection *)holder, reason);
}

/* Counts the receive buffer with @size more bytes, and closes connections to
   make room for them.  Returns whether there is room. */
static bool
charge_received (struct rst_net *net, struct connection *connection,
                 size_t size)
{
  static const char reason[] = "no room for a peer's frame";
  size_t needed = connection->receive_buffer->len + size;
  size_t capacity = 1;
  enum rst_body_decision decision = RST_BODY_GRANTED;

  /* Like the array, which doubles. */
  while (capacity < needed)
    capacity *= 2;
  while (capacity > connection->holder.bytes)
    {
      struct rst_body_holder *victim = NULL;

      decision = rst_shared_budget_charge (
          net->config.budget, &connection->holder,
          capacity - connection->holder.bytes, &victim, reason);
      if (decision != RST_BODY_EVICT)
        break;
      evict_connection (net, victim, reason);
    }
  return decision == RST_BODY_GRANTED;
}

/* Notes whether the receive buffer holds a part of a frame. */
static void
note_received (struct rst_net *net, struct connection *connection)
{
  bool holds_part = connection->receive_buffer->len > 0;

  if (!holds_part && connection->holder.bytes > NET_IDLE_BUFFER_BYTES)
    {
      g_byte_array_free (connection->receive_buffer, TRUE);
      connection->receive_buffer = g_byte_array_new ();
    }
  rst_shared_budget_note_part (net->config.budget, &connection->holder,
                               holds_part, connection->has_delivered);
}

static void
accept_connections (struct rst_net *net)
{
  static const char too_many_reason[] = "too many connections of peers";

  for (;;)
    {
      int fd
          = accept4 (net->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
      struct connection *connection;
      struct rst_body_holder *excess;
      uint64_t id;

      if (fd < 0)
        return;
      id = atomic_fetch_add (&net->next_id, 1);
      connection = add_connection (net, id, fd, false);
      emit_event (net, RST_NET_OPENED, id, NULL, 0);
      excess = rst_shared_budget_find_excess (
          net->config.budget, &net->accepted, &connection->holder,
          too_many_reason);
      if (excess != NULL)
        evict_connection (net, excess, too_many_reason);
    }
}

/* Reports all complete frames in the receive buffer.  Returns false if the
   connection was closed and freed. */
static bool
deliver_frames (struct rst_net *net, struct connection *connection)
{
  uint64_t id = connection->id;
  GByteArray *receive_buffer = connection->receive_buffer;
  size_t offset = 0;

  while (receive_buffer->len - offset >= RST_NET_PREFIX_BYTES)
    {
      uint32_t length;

      memcpy (&length, receive_buffer->data + offset, sizeof length);
      length = ntohl (length);
      if (length > net->config.max_frame_bytes)
        {
          rst_warning (LOG_DOMAIN, "Frame exceeds the bound; connection "
                                   "closed.");
          close_connection (net, connection, "frame too large");
          return false;
        }
      if (receive_buffer->len - offset - RST_NET_PREFIX_BYTES < length)
        break;
      if (length > 0)
        {
          connection->has_delivered = true;
          emit_event (net, RST_NET_FRAME, id,
                      receive_buffer->data + offset + RST_NET_PREFIX_BYTES,
                      length);
        }
      offset += RST_NET_PREFIX_BYTES + length;
    }
  if (offset > 0)
    g_byte_array_remove_range (receive_buffer, 0, (guint)offset);
  return true;
}

static void
receive_data (struct rst_net *net, struct connection *connection)
{
  guint8 buffer[NET_READ_MAX_BYTES];
  ssize_t count = recv (connection->fd, buffer, sizeof buffer, 0);

  if (count < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (count <= 0)
    {
      if (connection->receive_buffer->len > 0)
        rst_warning (LOG_DOMAIN, "Frame was cut off; connection closed.");
      close_connection (net, connection,
                        count == 0 ? "closed by peer" : "read failed");
      return;
    }
  connection->received_at = rst_os_now ();
  if (!charge_received (net, connection, (size_t)count))
    {
      close_connection (net, connection, "no room for its frame");
      return;
    }
  g_byte_array_append (connection->receive_buffer, buffer, (guint)count);
  if (deliver_frames (net, connection))
    note_received (net, connection);
}

static void
finish_connect (struct rst_net *net, struct connection *connection)
{
  int error = 0;
  socklen_t size = sizeof error;

  getsockopt (connection->fd, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0)
    {
      close_connection (net, connection, "cannot connect");
      return;
    }
  connection->connecting = false;
  connection->received_at = rst_os_now ();
  emit_event (net, RST_NET_OPENED, connection->id, NULL, 0);
  if (flush (net, connection))
    update_epoll_events (net, connection);
}

static void
handle_event (struct rst_net *net, const struct epoll_event *event)
{
  uint64_t id = event->data.u64;
  struct connection *connection = g_hash_table_lookup (net->connections, &id);

  if (connection == NULL)
    return;
  if (connection->connecting)
    {
      finish_connect (net, connection);
      return;
    }
  if ((event->events & EPOLLOUT) && !flush (net, connection))
    return;
  if (event->events & (EPOLLIN | EPOLLHUP | EPOLLERR))
    receive_data (net, connection);
}

/* Closes connections on which nothing was received within the timeout, and
   sends heartbeats on the others. */
static void
check_connections (struct rst_net *net, rst_ms now)
{
  GList *all;

  if (now < net->next_check_at)
    return;
  net->next_check_at = now + net->config.heartbeat_interval_ms / 2;
  all = g_hash_table_get_values (net->connections);
  for (GList *item = all; item != NULL; item = item->next)
    {
      struct connection *connection = item->data;

      if (now - connection->received_at > net->config.receive_timeout_ms)
        {
          rst_warning (LOG_DOMAIN, "Connection is silent and was closed.");
          close_connection (net, connection, "silent");
        }
      else if (!connection->connecting
               && now - connection->sent_at
                      >= net->config.heartbeat_interval_ms / 2)
        {
          append_frame (connection, NULL, 0);
          flush (net, connection);
        }
    }
  g_list_free (all);
}

static void *
net_main (void *userdata)
{
  struct rst_net *net = userdata;
  struct epoll_event events[NET_EVENTS_MAX];

  while (!atomic_load (&net->stop_requested))
    {
      int count = epoll_wait (net->epoll_fd, events, NET_EVENTS_MAX,
                              (int)(net->config.heartbeat_interval_ms / 2));
      /* The handler may wait for long while frames arrive. */
      rst_ms now = rst_os_now ();

      /* Ids 0 and 1 are not connections; rst_net_create() sets them. */
      for (int i = 0; i < count; i++)
        {
          if (events[i].data.u64 == 0)
            process_commands (net);
          else if (events[i].data.u64 == 1)
            accept_connections (net);
          else
            handle_event (net, &events[i]);
        }
      check_connections (net, now);
    }
  process_commands (net);
  return NULL;
}

static int
open_listener (struct rst_net *net, const char *address_text)
{
  struct sockaddr_in address;
  socklen_t size = sizeof address;
  int one = 1;

  if (!rst_transport_parse_address (address_text, &address))
    return RST_TRANSPORT_BAD_ADDRESS;
  net->listen_fd
      = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (net->listen_fd < 0)
    return RST_TRANSPORT_BAD_ADDRESS;
  setsockopt (net->listen_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (net->listen_fd, (struct sockaddr *)&address, sizeof address) != 0
      || listen (net->listen_fd, NET_BACKLOG) != 0
      || getsockname (net->listen_fd, (struct sockaddr *)&address, &size) != 0)
    return RST_TRANSPORT_BAD_ADDRESS;
  rst_transport_format_address (&address, net->address, sizeof net->address);
  return RST_TRANSPORT_OK;
}

static void
add_epoll_fd (struct rst_net *net, int fd, uint64_t id)
{
  struct epoll_event event = { 0 };

  event.events = EPOLLIN;
  event.data.u64 = id;
  epoll_ctl (net->epoll_fd, EPOLL_CTL_ADD, fd, &event);
}

static void
net_free (struct rst_net *net)
{
  struct command *command;

  while (net->mailbox != NULL
         && (command = rst_mailbox_take (net->mailbox)) != NULL)
    command_free (command);
  if (net->listen_fd >= 0)
    close (net->listen_fd);
  if (net->epoll_fd >= 0)
    close (net->epoll_fd);
  g_hash_table_destroy (net->connections);
  g_array_free (net->to_flush, TRUE);
  rst_mailbox_destroy (net->mailbox);
  g_free (net);
}

int
rst_net_create (const struct rst_net_config *config, struct rst_net **out)
{
  struct rst_net *net = g_new0 (struct rst_net, 1);
  int error = RST_TRANSPORT_BAD_ADDRESS;

  net->config = *config;
  net->listen_fd = -1;
  /* In epoll, the ids 0 and 1 denote the mailbox and the listening socket. */
  atomic_init (&net->next_id, 2);
  net->connections = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                            connection_free);
  rst_body_group_init (&net->accepted, config->max_accepted > 0
                                           ? config->max_accepted
                                           : UINT32_MAX);
  rst_body_group_init (&net->opened, UINT32_MAX);
  net->to_flush = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  net->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  net->mailbox = rst_mailbox_create (NET_QUEUE_SIZE);
  if (net->epoll_fd < 0 || net->mailbox == NULL)
    goto fail;
  add_epoll_fd (net, rst_mailbox_fd (net->mailbox), 0);
  if (config->listen != NULL)
    {
      error = open_listener (net, config->listen);
      if (error != RST_TRANSPORT_OK)
        goto fail;
      add_epoll_fd (net, net->listen_fd, 1);
    }
  /* The handler may use *out as soon as the thread runs. */
  *out = net;
  if (pthread_create (&net->thread, NULL, net_main, net) != 0)
    goto fail;
  return RST_TRANSPORT_OK;

fail:
  *out = NULL;
  net_free (net);
  return error;
}

const char *
rst_net_address (const struct rst_net *net)
{
  return net->address;
}

static bool
post_command (struct rst_net *net, struct command *command)
{
  if (rst_mailbox_post (net->mailbox, command))
    return true;
  command_free (command);
  return false;
}

uint64_t
rst_net_connect (struct rst_net *net, const char *address)
{
  struct command *command = g_new0 (struct command, 1);
  uint64_t id = atomic_fetch_add (&net->next_id, 1);

  command->kind = COMMAND_CONNECT;
  command->connection_id = id;
  g_strlcpy (command->address, address, sizeof command->address);
  return post_command (net, command) ? id : 0;
}

int
rst_net_send (struct rst_net *net, uint64_t connection_id, const void *data,
              size_t length)
{
  struct command *command = g_new0 (struct command, 1);

  command->kind = COMMAND_SEND;
  command->connection_id = connection_id;
  command->frame = g_byte_array_sized_new ((guint)length);
  g_byte_array_append (command->frame, data, (guint)length);
  return post_command (net, command) ? RST_TRANSPORT_OK
                                     : RST_TRANSPORT_QUEUE_FULL;
}

void
rst_net_close (struct rst_net *net, uint64_t connection_id)
{
  struct command *command = g_new0 (struct command, 1);

  command->kind = COMMAND_CLOSE;
  command->connection_id = connection_id;
  post_command (net, command);
}

void
rst_net_destroy (struct rst_net *net)
{
  if (net == NULL)
    return;
  atomic_store (&net->stop_requested, true);
  rst_os_event_signal (rst_mailbox_fd (net->mailbox));
  pthread_join (net->thread, NULL);
  net_free (net);
}
