// Planned stops of nodes.
#include "world.h"

namespace cell
{

void
World::stop_node (Node &node)
{
  rst_cell_node_begin_stop (node.cell_node);
  end_stopped_node (node, node.incarnation);
}

void
World::end_stopped_node (Node &node, uint64_t incarnation)
{
  if (node.incarnation != incarnation)
    return;
  if (node.paused_until <= now () && rst_cell_node_is_stopped (node.cell_node))
    kill_node (node, false);
  else
    schedule (now () + 10, [this, &node, incarnation] {
      end_stopped_node (node, incarnation);
    });
}

} // namespace cell
