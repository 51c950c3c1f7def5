#include "daemon/metrics.h"

#include "util/os.h"

/** Prefix of the names of all metrics. */
#define METRICS_PREFIX "rosemarystile_"

void
rst_metrics_add_counter (GString *page, const char *name, const char *help,
                         uint64_t value)
{
  g_string_append_printf (page,
                          "# HELP " METRICS_PREFIX "%s %s\n"
                          "# TYPE " METRICS_PREFIX
                          "%s counter\n" METRICS_PREFIX "%s %" G_GUINT64_FORMAT
                          "\n",
                          name, help, name, name, value);
}

void
rst_metrics_add_gauge (GString *page, const char *name, const char *help,
                       double value)
{
  g_string_append_printf (page,
                          "# HELP " METRICS_PREFIX "%s %s\n"
                          "# TYPE " METRICS_PREFIX "%s gauge\n" METRICS_PREFIX
                          "%s %.6g\n",
                          name, help, name, name, value);
}

void
rst_metrics_begin_family (GString *page, const char *name, const char *type,
                          const char *help)
{
  g_string_append_printf (page,
                          "# HELP " METRICS_PREFIX "%s %s\n"
                          "# TYPE " METRICS_PREFIX "%s %s\n",
                          name, help, name, type);
}

/* Appends one sample.  @suffix is appended to @name; @bound is the upper bound
   of a histogram's bucket, or NULL. */
static void
write_sample (GString *page, const char *name, const char *suffix,
              struct rst_metrics_label label, const char *bound, double value)
{
  const char *separator = label.name != NULL && bound != NULL ? "," : "";

  g_string_append_printf (page, METRICS_PREFIX "%s%s", name, suffix);
  if (label.name != NULL || bound != NULL)
    g_string_append_c (page, '{');
  if (label.name != NULL)
    g_string_append_printf (page, "%s=\"%s\"", label.name, label.value);
  if (bound != NULL)
    g_string_append_printf (page, "%sle=\"%s\"", separator, bound);
  if (label.name != NULL || bound != NULL)
    g_string_append_c (page, '}');
  g_string_append_printf (page, " %.10g\n", value);
}

void
rst_metrics_add_sample (GString *page, const char *name,
                        struct rst_metrics_label label, double value)
{
  write_sample (page, name, "", label, NULL, value);
}

void
rst_metrics_add_histogram (GString *page, const char *name,
                           struct rst_metrics_label label,
                           const struct rst_histogram *histogram)
{
  uint64_t cumulative = 0;
  char bound[24];

  for (int i = 0; i < RST_HISTOGRAM_BOUND_COUNT; i++)
    {
      cumulative += histogram->counts[i];
      g_snprintf (bound, sizeof bound, "%g",
                  (double)rst_histogram_bound_ms (i) / 1000.0);
      write_sample (page, name, "_bucket", label, bound, (double)cumulative);
    }
  write_sample (page, name, "_bucket", label, "+Inf",
                (double)histogram->total);
  write_sample (page, name, "_sum", label, NULL,
                (double)histogram->sum_ms / 1000.0);
  write_sample (page, name, "_count", label, NULL, (double)histogram->total);
}

void
rst_metrics_add_limits (GString *page, const struct rst_body_stats *stats)
{
  rst_metrics_add_counter (page, "bodies_refused_total",
                           "Requests and frames without room for their body.",
                           stats->refused);
  rst_metrics_add_counter (page, "closed_for_bytes_total",
                           "Connections closed to make room for bodies.",
                           stats->closed_for_bytes);
  rst_metrics_add_counter (page, "closed_for_connections_total",
                           "Connections closed to make room for others.",
                           stats->closed_for_connections);
  rst_metrics_add_gauge (page, "body_bytes",
                         "Bytes held by requests and incomplete frames.",
                         (double)stats->bytes);
}

void
rst_metrics_add_process (GString *page)
{
  rst_metrics_add_gauge (page, "cpu_seconds", "Processor time of the process.",
                         (double)rst_os_cpu_time_us () / 1e6);
  rst_metrics_add_gauge (page, "resident_bytes", "Resident memory.",
                         (double)rst_os_resident_kib () * 1024);
}
