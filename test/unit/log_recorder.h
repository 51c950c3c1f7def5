// Records what the code under test logs.
#ifndef RST_TEST_LOG_RECORDER_H
#define RST_TEST_LOG_RECORDER_H

#include <string>
#include <vector>

#include <glib.h>

namespace harness
{

// While it exists, records the messages and named values that are logged.
class LogRecorder
{
public:
  LogRecorder ()
  {
    static const bool is_installed = install ();

    lines.clear ();
    is_active = is_installed;
  }
  ~LogRecorder () { is_active = false; }
  LogRecorder (const LogRecorder &) = delete;
  LogRecorder &operator= (const LogRecorder &) = delete;

  static int
  count (const std::string &text)
  {
    int found = 0;

    for (const std::string &line : lines)
      found += line.find (text) != std::string::npos ? 1 : 0;
    return found;
  }

  // Returns the first line with a text, or "".
  static std::string
  find (const std::string &text)
  {
    for (const std::string &line : lines)
      if (line.find (text) != std::string::npos)
        return line;
    return "";
  }

private:
  static inline std::vector<std::string> lines;
  static inline bool is_active = false;

  // GLib's writer may be set only once.
  static bool
  install ()
  {
    g_log_set_writer_func (record, nullptr, nullptr);
    return true;
  }

  static GLogWriterOutput
  record (GLogLevelFlags level, const GLogField *fields, gsize count,
          gpointer data)
  {
    std::string line;

    if (!is_active)
      return g_log_writer_default (level, fields, count, data);
    for (gsize i = 0; i < count; i++)
      if (std::string (fields[i].key) == "MESSAGE"
          || g_ascii_islower (fields[i].key[0]))
        line += std::string ((const char *)fields[i].value) + " ";
    lines.push_back (line);
    return G_LOG_WRITER_HANDLED;
  }
};

} // namespace harness

#endif
