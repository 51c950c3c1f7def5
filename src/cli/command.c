#include "cli/cli.h"

static const struct cli_command commands[] = {
  { "team", "set", "NAME [--share N] [--upper-limit N|none]", 1, 1,
    "create or change a team", cli_team_set },
  { "team", "list", "", 0, 0, "show all teams", cli_team_list },
  { "team", "delete", "NAME", 1, 1, "delete a team and its keys",
    cli_team_delete },
  { "key", "grant", "TEAM [--id ID]", 1, 1,
    "create a key and print it; it is not shown again", cli_key_grant },
  { "key", "withdraw", "TEAM ID", 2, 2, "withdraw a key", cli_key_withdraw },
  { "key", "list", "TEAM", 1, 1, "show the ids of a team's keys",
    cli_key_list },
  { "zone", "out", "ZONE [--running finish|move]", 1, 1,
    "take an availability zone out", cli_zone_out },
  { "zone", "in", "ZONE", 1, 1, "bring an availability zone back",
    cli_zone_in },
  { "zone", "list", "", 0, 0, "show the state of all zones", cli_zone_list },
  { "cell", "set", "FIELD VALUE", 2, 2, "change a setting of the cell",
    cli_cell_set },
  { "settings", "get", "KEY", 1, 1, "print a settings branch",
    cli_settings_get },
  { "settings", "check", "KEY FILE", 2, 2,
    "check a file and show its differences", cli_settings_check },
  { "settings", "put", "KEY FILE", 2, 2,
    "replace a settings branch with a file", cli_settings_put },
  { "status", "", "", 0, 0, "show the settings and state of each process",
    cli_status },
  { "teams", "", "", 0, 0, "show the running and waiting work of each team",
    cli_teams },
  { "why", "", "TEAM/JOB", 1, 1, "explain why a job's tasks wait", cli_why },
  { NULL, NULL, NULL, 0, 0, NULL, NULL },
};

const struct cli_command *
cli_commands (void)
{
  return commands;
}
