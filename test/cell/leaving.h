// Draws the faults of cell-fuzz --leaving.
#ifndef RST_TEST_CELL_LEAVING_H
#define RST_TEST_CELL_LEAVING_H

#include "world.h"

namespace cell
{

// Begins two or three series in which a part of the instances goes for good,
// one after the other, and others come instead.  In most series they go in
// good order: they are draining, then gone with their entry; in the others
// they stop at once, with or without a notice to their peers.  Most series end
// with a hand-over of the planner, up to 4 s after the last instance has gone
// or while they still go, so that the journal lists some as in use; in some
// the successor goes too.
void begin_departures (World &world);

} // namespace cell

#endif
