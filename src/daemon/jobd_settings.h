/**
 * DOC: jobd_settings - settings of jobd
 */
#ifndef RST_JOBD_SETTINGS_H
#define RST_JOBD_SETTINGS_H

#include "rosemarystile.h"
#include "transport/body_budget.h"
#include "util/program.h"

/**
 * struct rst_jobd_settings - Settings of jobd.
 * @name: Name of the entry instance.
 * @zone: Its availability zone.
 * @listen: Address for callers.
 * @readiness: Address of the readiness probe.
 * @store: Address of the store.
 * @metrics: Address of the metrics page, or "".
 * @limits: Limits of callers and of the process.
 * @idle_timeout_s: Time without progress after which a caller's connection is
 *   closed.
 * @log_level: Least level of log lines.
 */
struct rst_jobd_settings
{
  char name[RST_NAME_SIZE];
  char zone[RST_NAME_SIZE];
  char listen[RST_ADDRESS_SIZE];
  char readiness[RST_ADDRESS_SIZE];
  char store[RST_ADDRESS_SIZE];
  char metrics[RST_ADDRESS_SIZE];
  struct rst_body_limits limits;
  int64_t idle_timeout_s;
  char log_level[16];
};

/** Description of the program; its settings are a struct rst_jobd_settings. */
extern const struct rst_program rst_jobd_program;

/** rst_jobd_settings_init() - Sets the defaults. */
void rst_jobd_settings_init (struct rst_jobd_settings *settings);

#endif
