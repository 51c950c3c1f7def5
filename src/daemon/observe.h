/**
 * DOC: observe - tells the planner what operators and instances have written
 */
#ifndef RST_OBSERVE_H
#define RST_OBSERVE_H

#include "cell/planner.h"

/** rst_observe_operators() - An operators' key: configuration, zones out. */
void rst_observe_operators (struct rst_planner *planner,
                            const struct rst_store_item *item);

/** rst_observe_instance() - An instance's entry, or its removal. */
void rst_observe_instance (struct rst_planner *planner,
                           const struct rst_store_item *item);

#endif
