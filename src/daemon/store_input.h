/**
 * DOC: store_input - passes keys of operators and instances to the planner
 *
 * Reads what the platform has written under a key of the store and calls the
 * planner with it.
 */
#ifndef RST_STORE_INPUT_H
#define RST_STORE_INPUT_H

#include "cell/planner.h"

/**
 * rst_store_input_apply_operator_item() - Applies a key that operators write.
 * @item: The configuration or the evacuation of a zone.  A configuration that
 *   can't be read is ignored.
 */
void rst_store_input_apply_operator_item (struct rst_planner *planner,
                                          const struct rst_store_item *item);

/**
 * rst_store_input_apply_instance_item() - Applies an instance's entry or its
 * removal.
 * @item: The entry.  One that can't be used names no instance that takes
 *   starts; the other instances are not affected.
 */
void rst_store_input_apply_instance_item (struct rst_planner *planner,
                                          const struct rst_store_item *item);

#endif
