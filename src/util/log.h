/**
 * DOC: log - structured log lines through GLib
 *
 * Each part logs under its own fixed prefix.  Lines go to standard error
 * or output, plain or as one JSON object each.
 */
#ifndef RST_LOG_H
#define RST_LOG_H

#include <stdbool.h>

#include <glib.h>

/**
 * struct rst_log_config - How log lines are written.
 * @json: One JSON object a line in place of plain text.
 * @level: Least severe level written: "error", "warning", "info", "debug".
 * @to_stdout: Write to standard output in place of standard error.
 */
struct rst_log_config
{
  bool json;
  char level[16];
  bool to_stdout;
};

/**
 * rst_log_init() - Sets the log up; call it once, before threads start.
 * @process: Name of the process, copied.
 * @config: How lines are written.
 */
void rst_log_init (const char *process, const struct rst_log_config *config);

/**
 * rst_log_enabled() - Tells whether lines of a level are written.
 * @level: The level.
 */
bool rst_log_enabled (GLogLevelFlags level);

/**
 * rst_log_event() - Logs a short sentence with named values.
 * @level: Severity.
 * @domain: Prefix of the part, a static string.
 * @message: The sentence.
 *
 * Pairs of strings, name then value, follow; NULL ends them.  A NULL value
 * is left out.
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
