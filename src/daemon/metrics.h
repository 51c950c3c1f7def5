/**
 * DOC: metrics - counters in Prometheus text
 */
#ifndef RST_METRICS_H
#define RST_METRICS_H

#include <stdint.h>

#include <glib.h>

#include "util/histogram.h"

/** rst_metrics_add_counter() - Adds a counter to a page. */
void rst_metrics_add_counter (GString *page, const char *name,
                              const char *help, uint64_t value);

/** rst_metrics_add_gauge() - Adds a gauge to a page. */
void rst_metrics_add_gauge (GString *page, const char *name, const char *help,
                            double value);

/**
 * struct rst_metrics_label - A label of a sample.
 * @name: Its name; NULL for no label.
 * @value: Its value.
 */
struct rst_metrics_label
{
  const char *name;
  const char *value;
};

/** rst_metrics_begin_family() - Begins samples of one name with different
 * labels. */
void rst_metrics_begin_family (GString *page, const char *name,
                               const char *type, const char *help);

/** rst_metrics_add_sample() - Adds a labelled value to a family. */
void rst_metrics_add_sample (GString *page, const char *name,
                             struct rst_metrics_label label, double value);

/** rst_metrics_add_histogram() - Adds a histogram in seconds to a family. */
void rst_metrics_add_histogram (GString *page, const char *name,
                                struct rst_metrics_label label,
                                const struct rst_histogram *histogram);

/** rst_metrics_add_process() - Adds the process's own gauges to a page. */
void rst_metrics_add_process (GString *page);

#endif
