#include "util/log.h"

#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "util/os.h"

/** Maximum number of named values in one line. */
#define LOG_FIELDS_MAX 24

static struct
{
  char process[64];
  bool json;
  GLogLevelFlags min_level;
  int fd;
  pthread_mutex_t lock;
  gint64 refilled_at_us;
  gint64 tokens;
  gint64 dropped;
} log_state = { .min_level = G_LOG_LEVEL_INFO,
                .fd = STDERR_FILENO,
                .lock = PTHREAD_MUTEX_INITIALIZER };

/** Rate and burst size of the token bucket that limits log lines. */
#define LOG_LINES_PER_S 800
#define LOG_LINES_BURST 2000

/* Refills the token bucket and takes one token.  Returns false if there is
   none. */
static bool
take_token (gint64 now_us)
{
  gint64 refill
      = (now_us - log_state.refilled_at_us) * LOG_LINES_PER_S / 1000000;

  if (refill > 0)
    {
      log_state.tokens = MIN (log_state.tokens + refill, LOG_LINES_BURST);
      log_state.refilled_at_us = now_us;
    }
  if (log_state.tokens <= 0)
    return false;
  log_state.tokens--;
  return true;
}

/* Writes a line, or discards it if the rate limit is reached or the reader of
   the descriptor is not keeping up: logging must never block the process. */
static void
output_line (const GString *line, gint64 now_us)
{
  struct pollfd target = { log_state.fd, POLLOUT, 0 };
  char notice[64];

  pthread_mutex_lock (&log_state.lock);
  if (!take_token (now_us) || poll (&target, 1, 0) == 0)
    log_state.dropped++;
  else
    {
      if (log_state.dropped > 0)
        {
          g_snprintf (notice, sizeof notice,
                      "lines dropped: %" G_GINT64_FORMAT "\n",
                      log_state.dropped);
          if (write (log_state.fd, notice, strlen (notice)) > 0)
            log_state.dropped = 0;
        }
      while (write (log_state.fd, line->str, line->len) < 0 && errno == EINTR)
        continue;
    }
  pthread_mutex_unlock (&log_state.lock);
}

static const char *
get_level_name (GLogLevelFlags level)
{
  if (level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL))
    return "error";
  if (level & G_LOG_LEVEL_WARNING)
    return "warning";
  if (level & (G_LOG_LEVEL_INFO | G_LOG_LEVEL_MESSAGE))
    return "info";
  return "debug";
}

/* Appends text with its control characters escaped, so that a value from
   outside can't begin a line of its own.  Each character of @special gets a
   backslash. */
static void
append_escaped (GString *line, const char *text, const char *special)
{
  for (; *text != '\0'; text++)
    {
      unsigned char c = (unsigned char)*text;

      if (strchr (special, c) != NULL)
        g_string_append_printf (line, "\\%c", c);
      else if (g_ascii_iscntrl (c))
        g_string_append_printf (line, "\\u%04x", c);
      else
        g_string_append_c (line, (char)c);
    }
}

static void
append_json_string (GString *line, const char *text)
{
  g_string_append_c (line, '"');
  append_escaped (line, text, "\"\\");
  g_string_append_c (line, '"');
}

static const char *
find_field (const GLogField *fields, gsize count, const char *key)
{
  for (gsize i = 0; i < count; i++)
    if (strcmp (fields[i].key, key) == 0)
      return fields[i].value;
  return "";
}

static bool
is_named_value (const GLogField *field)
{
  return g_ascii_islower (field->key[0]);
}

static void
format_plain (GString *line, const char *timestamp, GLogLevelFlags level,
              const GLogField *fields, gsize count)
{
  g_string_append_printf (line, "%s %s %s: %s: %s", timestamp,
                          log_state.process, get_level_name (level),
                          find_field (fields, count, "GLIB_DOMAIN"),
                          find_field (fields, count, "MESSAGE"));
  for (gsize i = 0; i < count; i++)
    if (is_named_value (&fields[i]))
      {
        g_string_append_printf (line, " %s=", fields[i].key);
        append_escaped (line, fields[i].value, "");
      }
}

static void
append_json_field (GString *line, const char *key, const char *value)
{
  if (line->len > 1)
    g_string_append_c (line, ',');
  append_json_string (line, key);
  g_string_append_c (line, ':');
  append_json_string (line, value);
}

static void
format_json (GString *line, const char *timestamp, GLogLevelFlags level,
             const GLogField *fields, gsize count)
{
  g_string_append_c (line, '{');
  append_json_field (line, "time", timestamp);
  append_json_field (line, "process", log_state.process);
  append_json_field (line, "level", get_level_name (level));
  append_json_field (line, "part", find_field (fields, count, "GLIB_DOMAIN"));
  append_json_field (line, "message", find_field (fields, count, "MESSAGE"));
  for (gsize i = 0; i < count; i++)
    if (is_named_value (&fields[i]))
      append_json_field (line, fields[i].key, fields[i].value);
  g_string_append_c (line, '}');
}

static GLogWriterOutput
write_record (GLogLevelFlags level, const GLogField *fields, gsize count,
              gpointer userdata)
{
  GString *line;
  char timestamp[32];
  int64_t now = g_get_real_time ();

  (void)userdata;
  if (!rst_log_enabled (level))
    return G_LOG_WRITER_HANDLED;
  g_snprintf (timestamp, sizeof timestamp, "%" G_GINT64_FORMAT ".%03d",
              now / 1000000, (int)(now / 1000 % 1000));
  line = g_string_sized_new (256);
  if (log_state.json)
    format_json (line, timestamp, level, fields, count);
  else
    format_plain (line, timestamp, level, fields, count);
  g_string_append_c (line, '\n');
  output_line (line, now);
  g_string_free (line, TRUE);
  return G_LOG_WRITER_HANDLED;
}

void
rst_log_init (const char *process, const struct rst_log_config *config)
{
  g_strlcpy (log_state.process, process, sizeof log_state.process);
  log_state.json = config->json;
  log_state.fd = config->to_stdout ? STDOUT_FILENO : STDERR_FILENO;
  if (strcmp (config->level, "error") == 0)
    log_state.min_level = G_LOG_LEVEL_CRITICAL;
  else if (strcmp (config->level, "warning") == 0)
    log_state.min_level = G_LOG_LEVEL_WARNING;
  else if (strcmp (config->level, "debug") == 0)
    log_state.min_level = G_LOG_LEVEL_DEBUG;
  else
    log_state.min_level = G_LOG_LEVEL_INFO;
  g_log_set_writer_func (write_record, NULL, NULL);
}

bool
rst_log_enabled (GLogLevelFlags level)
{
  return (level & G_LOG_LEVEL_MASK) <= log_state.min_level;
}

void
rst_log_event (GLogLevelFlags level, const char *domain, const char *message,
               ...)
{
  GLogField fields[LOG_FIELDS_MAX + 2];
  gsize count = 0;
  const char *key;
  va_list args;

  if (!rst_log_enabled (level))
    return;
  fields[count++] = (GLogField){ "GLIB_DOMAIN", domain, -1 };
  fields[count++] = (GLogField){ "MESSAGE", message, -1 };
  va_start (args, message);
  while ((key = va_arg (args, const char *)) != NULL
         && count < G_N_ELEMENTS (fields))
    {
      const char *value = va_arg (args, const char *);

      if (value != NULL)
        fields[count++] = (GLogField){ key, value, -1 };
    }
  va_end (args);
  g_log_structured_array (level, fields, count);
}
