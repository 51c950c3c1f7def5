// Draws the faults of cell-fuzz --sequences.
#ifndef RST_TEST_CELL_SEQUENCES_H
#define RST_TEST_CELL_SEQUENCES_H

#include "world.h"

namespace cell
{

// Begins two or three sequences of faults one behind the other.  Faults that
// are drawn independently of each other rarely happen in the order that a
// hand-over or the end of a lease needs, so each step of a sequence begins
// where the one before it has got to:
//
// - instances lose paths; 0.1 to 1 s before they are back, their zone, their
//   agents or the planner go for longer than a lease;
// - the planner goes; 0.3 to 3 s after its successor was elected, before or
//   just after that has held all instances, the successor goes too, and in
//   some runs the one after it;
// - an agent is frozen in pieces around either.
void begin_sequences (World &world);

} // namespace cell

#endif
