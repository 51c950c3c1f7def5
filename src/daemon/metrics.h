/**
 * DOC: metrics - counters in Prometheus text
 */
#ifndef RST_METRICS_H
#define RST_METRICS_H

#include <stdint.h>

#include <glib.h>

/** rst_metrics_counter() - Adds a counter to a page. */
void rst_metrics_counter (GString *page, const char *name, const char *help,
                          uint64_t value);

/** rst_metrics_gauge() - Adds a gauge to a page. */
void rst_metrics_gauge (GString *page, const char *name, const char *help,
                        double value);

/** rst_metrics_process() - Adds the process's own gauges to a page. */
void rst_metrics_process (GString *page);

#endif
