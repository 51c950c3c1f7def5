/**
 * DOC: headroom - capacity that is kept free for urgent tasks
 *
 * Answers one load pattern: batch tasks of several seconds fill the fleet, and
 * then the number of urgent jobs doubles within a second.  Urgent tasks come
 * first, but only as batch tasks end, so they would miss objectives of about a
 * second.  A part of what urgent tasks used lately is therefore kept free of
 * batch tasks.
 */
#ifndef RST_HEADROOM_H
#define RST_HEADROOM_H

#include "rosemarystile.h"

/**
 * struct rst_headroom - Use of one pool's processors by urgent tasks.
 * @peak_cpu: Recent peak of the use, in thousandths of a core.
 * @updated_at: When it was last updated.
 *
 * All zero before the first update.
 */
struct rst_headroom
{
  double peak_cpu;
  rst_ms updated_at;
};

/**
 * rst_headroom_update() - Notes the present use.
 * @used_cpu: Processors that urgent tasks reserve.
 *
 * The peak falls to the present use within about five seconds.
 */
void rst_headroom_update (struct rst_headroom *headroom, int64_t used_cpu,
                          rst_ms now);

/**
 * rst_headroom_get_batch_cpu() - Returns how many processors batch tasks may
 * take now.
 * @free_cpu: Free processors of the pool.
 * @capacity_cpu: All processors of the pool.
 * @percent: Percentage of the recent peak that is kept free; 0 for none.
 */
int64_t rst_headroom_get_batch_cpu (const struct rst_headroom *headroom,
                                    int64_t free_cpu, int64_t capacity_cpu,
                                    int64_t percent);

#endif
