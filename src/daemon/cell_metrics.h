/**
 * DOC: cell_metrics - the metrics pages of celld and jobd
 */
#ifndef RST_CELL_METRICS_H
#define RST_CELL_METRICS_H

#include "cell/messages.h"
#include "daemon/cell_node.h"
#include "transport/body_budget.h"
#include "util/histogram.h"

/** Number of values of enum rst_operation. */
#define RST_CALL_OPERATION_COUNT 3

/** Number of HTTP statuses that are counted separately. */
#define RST_CALL_STATUS_COUNT 9

/**
 * struct rst_call_stats - Statistics of callers' calls to one entry instance.
 * @answers: Number of answers by operation and HTTP status; updated by
 *   rst_call_stats_record().
 * @answer_ms: Time until the answer, by operation.
 * @limits: What was rejected and closed to stay within the limits.
 * @rejected_at_once: Calls rejected on arrival because no planner has served
 *   for longer than a succession takes.
 * @silent_links: Times that no heartbeat came for too long.
 */
struct rst_call_stats
{
  uint64_t answers[RST_CALL_OPERATION_COUNT][RST_CALL_STATUS_COUNT];
  struct rst_histogram answer_ms[RST_CALL_OPERATION_COUNT];
  struct rst_body_stats limits;
  uint64_t rejected_at_once;
  uint64_t silent_links;
};

/**
 * rst_call_stats_record() - Counts an answered call.
 * @status: HTTP status of the answer.
 * @duration_ms: Time from the request to the answer, in milliseconds.
 */
void rst_call_stats_record (struct rst_call_stats *stats,
                            enum rst_operation operation, unsigned status,
                            int64_t duration_ms);

/**
 * rst_call_metrics_format_page() - Formats the metrics page of jobd.
 * @stats: Statistics of answered calls.
 * @pending_calls: Number of calls that have no answer yet.
 * @ready: Whether callers can be served.
 *
 * Return: The page, to be freed with g_free().
 */
char *rst_call_metrics_format_page (const struct rst_call_stats *stats,
                                    unsigned pending_calls, bool ready);

/** rst_cell_metrics_add_waits() - Appends why steps wait, and for how long. */
void rst_cell_metrics_add_waits (GString *page,
                                 const struct rst_planner_stats *stats);

/**
 * rst_cell_metrics_format_page() - Formats the metrics page of celld.
 * @limits: What was rejected and closed to stay within the limits.
 *
 * Return: The page, to be freed with g_free().
 */
char *rst_cell_metrics_format_page (const struct rst_cell_node *node,
                                    const struct rst_body_stats *limits);

#endif
