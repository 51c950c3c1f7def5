#include "daemon/jobd_settings.h"

#include "daemon/limit_settings.h"

static const char *const log_levels[]
    = { "error", "warning", "info", "debug", NULL };

#define TEXT(path, type, required, member)                                    \
  RST_CONF_STRING_FIELD (path, type, required, struct rst_jobd_settings,      \
                         member)
#define INT(path, member, min, max)                                           \
  RST_CONF_INTEGER_FIELD (path, false, struct rst_jobd_settings, member, min, \
                          max)

static const struct rst_conf_field fields[] = {
  TEXT ("name", RST_CONF_NAME, true, name),
  TEXT ("availability_zone", RST_CONF_NAME, true, zone),
  TEXT ("listen", RST_CONF_ADDRESS, true, listen),
  TEXT ("readiness", RST_CONF_ADDRESS, true, readiness),
  TEXT ("store", RST_CONF_ADDRESS, true, store),
  TEXT ("metrics", RST_CONF_ADDRESS, false, metrics),
  INT ("limits.body_bytes", limits.body_bytes, 1, 4194304),
  INT ("limits.connections", limits.connections, 1, 100000),
  INT ("limits.idle_s", idle_timeout_s, 1, 3600),
  RST_LIMIT_FIELDS (struct rst_jobd_settings),
  { "log.level", RST_CONF_CHOICE, false,
    offsetof (struct rst_jobd_settings, log_level), 16, 0, 0, log_levels },
};

static bool
check_settings (const void *target, GString *problems)
{
  const struct rst_jobd_settings *settings = target;

  return rst_body_limits_check (&settings->limits, problems);
}

const struct rst_program rst_jobd_program
    = { "rosemarystile-jobd", "forwards callers' calls on jobs to the planner",
        fields, G_N_ELEMENTS (fields), check_settings };

void
rst_jobd_settings_init (struct rst_jobd_settings *settings)
{
  *settings = (struct rst_jobd_settings){ 0 };
  settings->limits.body_bytes = 262144;
  settings->limits.connections = 3000;
  settings->idle_timeout_s = 60;
  g_strlcpy (settings->log_level, "info", sizeof settings->log_level);
}
