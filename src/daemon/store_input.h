/**
 * DOC: observe - tells the planner what operators and instances have written
 */
#ifndef RST_STORE_INPUT_H
#define RST_STORE_INPUT_H

#include "cell/planner.h"

/** rst_store_input_apply_operator_item() - An operators' key: configuration,
 * zones out. */
void rst_store_input_apply_operator_item (struct rst_planner *planner,
                                          const struct rst_store_item *item);

/** rst_store_input_apply_instance_item() - An instance's entry, or its
 * removal. */
void rst_store_input_apply_instance_item (struct rst_planner *planner,
                                          const struct rst_store_item *item);

#endif
