/**
 * DOC: limit_settings - settings of the limits that all daemons have
 */
#ifndef RST_LIMIT_SETTINGS_H
#define RST_LIMIT_SETTINGS_H

#include "transport/body_budget.h"
#include "util/conf.h"

/**
 * RST_LIMIT_FIELDS() - Initializers of the fields limits.memory_mb,
 * limits.max_fds and limits.budget_bytes.
 * @structure: Structure with a member limits of type struct rst_body_limits.
 *
 * A platform may name very large numbers where it has no limit.
 * rst_body_limits_check() checks the fields further.
 */
#define RST_LIMIT_FIELDS(structure)                                           \
  RST_CONF_INTEGER_FIELD ("limits.memory_mb", false, structure,               \
                          limits.memory_mb, 0, 1000000000),                   \
      RST_CONF_INTEGER_FIELD ("limits.max_fds", false, structure,             \
                              limits.max_fds, 0, 1000000000),                 \
      RST_CONF_INTEGER_FIELD ("limits.budget_bytes", false, structure,        \
                              limits.budget_bytes, 0, 1073741824)

#endif
