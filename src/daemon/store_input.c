#include "daemon/store_input.h"

#include <inttypes.h>
#include <string.h>

#include "adapter.h"
#include "util/log.h"

#define LOG_DOMAIN "observe"

static void
apply_config (struct rst_planner *planner, const struct rst_store_item *item)
{
  char *problem = NULL;
  struct rst_cellconfig *config;
  char version[24];

  if (item->deleted || item->value == NULL)
    return;
  config = rst_adapter_parse_config ((const char *)item->value, item->length,
                                     &problem);
  if (config == NULL)
    {
      rst_warning (LOG_DOMAIN,
                   "Configuration can't be read; the previous one is kept.",
                   "problem", problem);
      g_free (problem);
      return;
    }
  g_snprintf (version, sizeof version, "%" PRId64, config->version);
  rst_info (LOG_DOMAIN, "Configuration applied.", "version", version);
  rst_planner_configure (planner, config);
}

void
rst_store_input_apply_operator_item (struct rst_planner *planner,
                                     const struct rst_store_item *item)
{
  size_t length = strlen (RST_PLATFORM_EVACUATION_PREFIX);

  if (strcmp (item->key, RST_PLATFORM_CONFIG_KEY) == 0)
    apply_config (planner, item);
  else if (strncmp (item->key, RST_PLATFORM_EVACUATION_PREFIX, length) == 0)
    rst_planner_set_zone_evacuated (planner, item->key + length,
                                    !item->deleted);
}

void
rst_store_input_apply_instance_item (struct rst_planner *planner,
                                     const struct rst_store_item *item)
{
  const char *id = item->key + strlen (RST_PLATFORM_INSTANCE_PREFIX);
  const char *text = item->value != NULL ? (const char *)item->value : "";
  struct rst_instance_entry entry;
  const char *problem;

  if (item->deleted)
    rst_planner_remove_instance (planner, id);
  else if (rst_adapter_parse_instance (id, text, item->length, &entry,
                                       &problem))
    rst_planner_update_instance (planner, &entry);
  else
    rst_planner_reject_instance (planner, id, problem);
}
