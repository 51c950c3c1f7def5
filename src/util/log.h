/**
 * DOC: log - structured logging through GLib
 *
 * Each module logs under its own GLib log domain.  Lines go to standard error
 * or standard output, as plain text or as one JSON object per line.  The rate
 * of lines is limited, and a line is discarded rather than block the caller;
 * the next line written is preceded by the number of discarded ones.
 */
#ifndef RST_LOG_H
#define RST_LOG_H

#include <stdbool.h>

#include <glib.h>

/**
 * struct rst_log_config - Configuration of the log.
 * @json: Write one JSON object per line instead of plain text.
 * @level: Least severe level written: "error", "warning", "info" or "debug".
 * @to_stdout: Write to standard output instead of standard error.
 */
struct rst_log_config
{
  bool json;
  char level[16];
  bool to_stdout;
};

/**
 * rst_log_init() - Configures the log.
 * @process: Name of the process, copied.
 * @config: The configuration.
 *
 * Must be called once, before any thread is started.
 */
void rst_log_init (const char *process, const struct rst_log_config *config);

/**
 * rst_log_enabled() - Checks whether lines of a level are written.
 * @level: The level.
 */
bool rst_log_enabled (GLogLevelFlags level);

/**
 * rst_log_event() - Logs a message with named values; thread-safe.
 * @level: Severity.
 * @domain: Log domain of the module, a static string.
 * @message: A short sentence.
 *
 * The message is followed by pairs of strings, name and value, and a
 * terminating NULL.  A pair whose value is NULL is omitted.
 */
void rst_log_event (GLogLevelFlags level, const char *domain,
                    const char *message, ...) G_GNUC_NULL_TERMINATED;

#define rst_info(domain, ...)                                                 \
  rst_log_event (G_LOG_LEVEL_INFO, domain, __VA_ARGS__, NULL)
#define rst_warning(domain, ...)                                              \
  rst_log_event (G_LOG_LEVEL_WARNING, domain, __VA_ARGS__, NULL)
#define rst_debug(domain, ...)                                                \
  rst_log_event (G_LOG_LEVEL_DEBUG, domain, __VA_ARGS__, NULL)

#endif
