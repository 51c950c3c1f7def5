/**
 * DOC: cell_metrics - the pages of counters of celld and jobd
 */
#ifndef RST_CELL_METRICS_H
#define RST_CELL_METRICS_H

#include "cell/messages.h"
#include "daemon/cell_node.h"
#include "util/histogram.h"

/** Number of operations of callers; see enum rst_operation. */
#define RST_CALL_OPERATION_COUNT 3

/** Number of statuses that callers' calls are counted by. */
#define RST_CALL_STATUS_COUNT 9

/**
 * struct rst_call_stats - Callers' calls as one entry instance answered them.
 * @answers: Answers by operation and status, see rst_call_stats_record().
 * @answer_ms: Time to the answer, by operation.
 */
struct rst_call_stats
{
  uint64_t answers[RST_CALL_OPERATION_COUNT][RST_CALL_STATUS_COUNT];
  struct rst_histogram answer_ms[RST_CALL_OPERATION_COUNT];
};

/** rst_call_stats_record() - Counts an answered call. */
void rst_call_stats_record (struct rst_call_stats *stats,
                            enum rst_operation operation, unsigned status,
                            int64_t duration_ms);

/**
 * rst_call_metrics_format_page() - jobd's page, to be freed with g_free().
 * @stats: Calls answered.
 * @pending_calls: Calls without an answer so far.
 * @ready: Whether callers can be served.
 */
char *rst_call_metrics_format_page (const struct rst_call_stats *stats,
                                    unsigned pending_calls, bool ready);

/** rst_cell_metrics_format_page() - celld's page, to be freed with g_free().
 */
char *rst_cell_metrics_format_page (const struct rst_cell_node *node);

#endif
