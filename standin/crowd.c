/**
 * DOC: crowd - stand-in for callers that nobody controls
 *
 * Opens many connections to one address, writes to them in turn and keeps
 * them open until SIGTERM or SIGINT.  Prints "ready opened=N" when no
 * connection can be written any further.
 */
#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "transport/transport.h"
#include "util/os.h"
#include "util/program.h"

/** Maximum number of bytes given to one send(). */
#define SEND_MAX_BYTES 65536

/** All connections are taken for stuck when none could be written for this
    long, in milliseconds. */
#define STUCK_MS 2000

/** The last part of a frame is sent a byte at a time, since a link on which
    nothing arrives is closed. */
#define DRIP_BYTES 1000

struct settings
{
  char address[RST_ADDRESS_SIZE];
  char mode[16];
  char fill[16];
  char path[256];
  char host[RST_NAME_SIZE];
  char key[256];
  int64_t connections;
  int64_t bytes;
  int64_t piece;
  int64_t missing;
  int64_t drip_ms;
};

static const char *const modes[]
    = { "length", "chunked", "headers", "frame", "silent", NULL };
static const char *const fills[] = { "text", "objects", "values", NULL };

#define TEXT(path, type, required, member)                                    \
  RST_CONF_STRING_FIELD (path, type, required, struct settings, member)
#define INT(path, member, min, max)                                           \
  RST_CONF_INTEGER_FIELD (path, false, struct settings, member, min, max)

static const struct rst_conf_field fields[] = {
  TEXT ("address", RST_CONF_ADDRESS, true, address),
  { "mode", RST_CONF_CHOICE, true, offsetof (struct settings, mode), 16, 0, 0,
    modes },
  { "fill", RST_CONF_CHOICE, false, offsetof (struct settings, fill), 16, 0, 0,
    fills },
  TEXT ("path", RST_CONF_STRING, false, path),
  TEXT ("host", RST_CONF_STRING, false, host),
  TEXT ("key", RST_CONF_STRING, false, key),
  INT ("connections", connections, 1, 4000),
  INT ("bytes", bytes, 2000, 4194304),
  INT ("piece", piece, 1, 4194304),
  INT ("missing", missing, 0, 4194304),
  INT ("drip_ms", drip_ms, 0, 10000),
};

static const struct rst_program program
    = { "standin-crowd", "holds many connections open", fields,
        G_N_ELEMENTS (fields), NULL };

/* A body that is a job; the fill makes up its size. */
static GString *
make_body (const struct settings *settings)
{
  GString *body = g_string_new ("{\"spec\":\"20\",\"phases\":[{\"cpu\":500}");
  bool has_objects = strcmp (settings->fill, "objects") == 0;
  bool has_values = strcmp (settings->fill, "values") == 0;

  if (!has_objects)
    g_string_append (body, has_values ? "],\"more\":[0" : "],\"more\":\"");
  while ((int64_t)body->len < settings->bytes - 5)
    g_string_append (body, has_objects ? ",{}" : has_values ? ",0" : "x");
  g_string_append (body, has_objects || has_values ? "]}" : "\"}");
  return body;
}

static GString *
make_headers (const struct settings *settings)
{
  GString *text = g_string_new (NULL);

  g_string_append_printf (text,
                          "POST %s HTTP/1.1\r\nHost: %s\r\n"
                          "X-Rosemarystile-Key: %s\r\n"
                          "Authorization: Bearer %s\r\n",
                          settings->path, settings->host, settings->key,
                          settings->key);
  return text;
}

static void
append_chunks (GString *text, const GString *body, gsize piece)
{
  for (gsize at = 0; at < body->len; at += piece)
    {
      gsize size = MIN (piece, body->len - at);

      g_string_append_printf (text, "%zx\r\n", (size_t)size);
      g_string_append_len (text, body->str + at, (gssize)size);
      g_string_append (text, "\r\n");
    }
  g_string_append (text, "0\r\n\r\n");
}

static GString *
make_frame (size_t length)
{
  const guint8 prefix[] = { (guint8)(length >> 24), (guint8)(length >> 16),
                            (guint8)(length >> 8), (guint8)length };
  GString *text = g_string_new_len ((const char *)prefix, sizeof prefix);

  g_string_set_size (text, sizeof prefix + length);
  memset (text->str + sizeof prefix, 0, length);
  return text;
}

/* What each connection sends, without what is never sent. */
static GString *
make_text (const struct settings *settings)
{
  GString *text = make_headers (settings);
  GString *body = make_body (settings);

  if (strcmp (settings->mode, "length") == 0)
    {
      g_string_append_printf (text, "Content-Length: %zu\r\n\r\n",
                              (size_t)body->len);
      g_string_append_len (text, body->str, (gssize)body->len);
    }
  else if (strcmp (settings->mode, "chunked") == 0)
    {
      g_string_append (text, "Transfer-Encoding: chunked\r\n\r\n");
      append_chunks (text, body, (gsize)settings->piece);
    }
  else if (strcmp (settings->mode, "headers") == 0)
    while ((int64_t)text->len < settings->bytes)
      g_string_append_printf (text, "X-Line-%zu: 0123456789\r\n",
                              (size_t)text->len);
  else
    g_string_truncate (text, 0);
  g_string_free (body, TRUE);
  if (strcmp (settings->mode, "frame") == 0)
    {
      g_string_free (text, TRUE);
      text = make_frame ((size_t)settings->bytes);
    }
  if (text->len > (gsize)settings->missing)
    g_string_truncate (text, text->len - (gsize)settings->missing);
  return text;
}

static int
open_connection (const struct sockaddr_in *address)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  if (fd >= 0
      && connect (fd, (const struct sockaddr *)address, sizeof *address) != 0
      && errno != EINPROGRESS)
    {
      close (fd);
      fd = -1;
    }
  return fd;
}

/* Sends the next piece.  Returns false if nothing was sent; closes the
   connection if its peer has. */
static bool
send_piece (struct pollfd *connection, const GString *text, size_t *sent,
            size_t end, size_t piece)
{
  size_t size = MIN (MIN (piece, SEND_MAX_BYTES), end - *sent);
  ssize_t count;

  if (connection->fd < 0 || size == 0)
    return false;
  count = send (connection->fd, text->str + *sent, size, MSG_NOSIGNAL);
  if (count < 0 && errno != EAGAIN && errno != EINTR && errno != ENOTCONN)
    {
      close (connection->fd);
      connection->fd = -1;
    }
  if (count <= 0)
    return false;
  *sent += (size_t)count;
  return true;
}

static void
send_all (const struct settings *settings, const GString *text,
          struct pollfd *connections, size_t *sent)
{
  bool is_frame = strcmp (settings->mode, "frame") == 0;
  size_t end = text->len - (is_frame ? DRIP_BYTES : 0);
  /* Small chunks are sent many at a time; the server sees each of them. */
  size_t piece = strcmp (settings->mode, "chunked") == 0
                     ? SEND_MAX_BYTES / 8
                     : (size_t)settings->piece;
  rst_ms progress_at = rst_os_now ();

  while (rst_os_now () - progress_at < STUCK_MS)
    {
      bool has_progress = false;
      bool is_complete = true;

      for (int64_t i = 0; i < settings->connections; i++)
        {
          has_progress
              |= send_piece (&connections[i], text, &sent[i], end, piece);
          is_complete &= connections[i].fd < 0 || sent[i] == end;
        }
      if (has_progress)
        progress_at = rst_os_now ();
      else if (is_complete)
        return;
      else
        g_usleep (2000);
    }
}

/* Sends one byte on each connection. */
static void
drip (const struct settings *settings, const GString *text,
      struct pollfd *connections, size_t *sent)
{
  for (int64_t i = 0; i < settings->connections; i++)
    send_piece (&connections[i], text, &sent[i], text->len, 1);
}

int
main (int argc, char **argv)
{
  struct settings settings = { .path = "/",
                               .host = "h.example",
                               .fill = "text",
                               .connections = 1,
                               .bytes = 262000,
                               .piece = SEND_MAX_BYTES };
  struct sockaddr_in address;
  struct pollfd *connections;
  size_t *sent;
  GString *text;
  int64_t opened = 0;
  int status = rst_program_configure (&program, argc, argv, &settings);

  if (status >= 0)
    return status;
  if (!rst_transport_parse_address (settings.address, &address))
    return EXIT_FAILURE;
  text = make_text (&settings);
  connections = g_new0 (struct pollfd, settings.connections);
  sent = g_new0 (size_t, settings.connections);
  for (int64_t i = 0; i < settings.connections; i++)
    {
      connections[i].fd = open_connection (&address);
      opened += connections[i].fd >= 0;
    }
  send_all (&settings, text, connections, sent);
  printf ("ready opened=%lld\n", (long long)opened);
  fflush (stdout);
  for (;;)
    {
      g_usleep ((gulong)MAX (settings.drip_ms, 100) * 1000);
      if (settings.drip_ms > 0)
        drip (&settings, text, connections, sent);
    }
}
