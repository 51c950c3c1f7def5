/**
 * DOC: metrics - metrics pages in the Prometheus text format
 *
 * Names are passed without the prefix "rosemarystile_", which each function
 * adds.
 */
#ifndef RST_METRICS_H
#define RST_METRICS_H

#include <stdint.h>

#include <glib.h>

#include "transport/body_budget.h"
#include "util/histogram.h"

/** rst_metrics_add_counter() - Appends a counter without labels. */
void rst_metrics_add_counter (GString *page, const char *name,
                              const char *help, uint64_t value);

/** rst_metrics_add_gauge() - Appends a gauge without labels. */
void rst_metrics_add_gauge (GString *page, const char *name, const char *help,
                            double value);

/**
 * struct rst_metrics_label - A label of a sample.
 * @name: Name of the label; NULL for a sample without a label.
 * @value: Value of the label.
 */
struct rst_metrics_label
{
  const char *name;
  const char *value;
};

/**
 * rst_metrics_begin_family() - Appends the header of a metric with labels.
 * @type: Type of the metric, such as "counter".
 *
 * Its samples must follow directly.
 */
void rst_metrics_begin_family (GString *page, const char *name,
                               const char *type, const char *help);

/** rst_metrics_add_sample() - Appends a sample of the family begun last. */
void rst_metrics_add_sample (GString *page, const char *name,
                             struct rst_metrics_label label, double value);

/** rst_metrics_add_histogram() - Appends a histogram, in seconds, of the
 * family begun last. */
void rst_metrics_add_histogram (GString *page, const char *name,
                                struct rst_metrics_label label,
                                const struct rst_histogram *histogram);

/** rst_metrics_add_limits() - Appends what was rejected and closed to stay
 * within the limits. */
void rst_metrics_add_limits (GString *page,
                             const struct rst_body_stats *stats);

/** rst_metrics_add_process() - Appends processor time and memory of this
 * process. */
void rst_metrics_add_process (GString *page);

#endif
