#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "cli/cli.h"
#include "state/json.h"
#include "state/settings.h"
#include "util/conf.h"

/** Length of a key's secret. */
#define SECRET_BYTES 32

/** Share of a new team when --share is absent. */
#define DEFAULT_SHARE 1

/* A change of a team.  The members about a key are set where it names one. */
struct team_edit
{
  const struct cli_args *args;
  const char *name;
  const char *key_id;
  struct rst_team_key *key;
};

static char *
build_team_store_key (const char *team)
{
  return g_strconcat (RST_KEY_TEAMS, team, NULL);
}

static bool
parse_team (const char *name, const char *value, struct rst_team *out)
{
  GString *problems = g_string_new ("");
  bool valid = rst_team_parse (name, value, out, problems) == RST_STATE_OK;

  if (!valid)
    fprintf (stderr, "team %s: %s", name, problems->str);
  g_string_free (problems, TRUE);
  return valid;
}

static bool
parse_existing_team (const struct team_edit *edit, const char *value,
                     struct rst_team *out)
{
  if (!parse_team (edit->name, value, out))
    return false;
  if (out->deleted)
    {
      fprintf (stderr, "team %s: does not exist\n", edit->name);
      return false;
    }
  return true;
}

static char *
edit_set (const char *value, void *data)
{
  const struct team_edit *edit = data;
  struct rst_team team;

  if (!parse_team (edit->name, value, &team))
    return NULL;
  if (team.deleted)
    {
      memset (&team, 0, sizeof team);
      g_strlcpy (team.name, edit->name, RST_NAME_SIZE);
      team.share = DEFAULT_SHARE;
      team.upper_limit = RST_NO_UPPER_LIMIT;
    }
  if (edit->args->share >= 0)
    team.share = (uint32_t)edit->args->share;
  if (edit->args->upper_limit >= 0)
    team.upper_limit = (uint32_t)edit->args->upper_limit;
  else if (edit->args->upper_limit == -2)
    team.upper_limit = RST_NO_UPPER_LIMIT;
  return rst_team_format (&team);
}

static char *
edit_delete (const char *value, void *data)
{
  const struct team_edit *edit = data;
  struct rst_team team;

  if (!parse_existing_team (edit, value, &team))
    return NULL;
  team.deleted = true;
  team.key_count = 0;
  return rst_team_format (&team);
}

static char *
edit_grant (const char *value, void *data)
{
  const struct team_edit *edit = data;
  struct rst_team team;

  if (!parse_existing_team (edit, value, &team))
    return NULL;
  if (team.key_count == RST_TEAM_KEYS_MAX)
    {
      fprintf (stderr, "team %s: has %d keys already\n", edit->name,
               RST_TEAM_KEYS_MAX);
      return NULL;
    }
  for (int i = 0; i < team.key_count; i++)
    if (strcmp (team.keys[i].id, edit->key_id) == 0)
      {
        fprintf (stderr, "key %s: exists already\n", edit->key_id);
        return NULL;
      }
  team.keys[team.key_count++] = *edit->key;
  return rst_team_format (&team);
}

static char *
edit_withdraw (const char *value, void *data)
{
  const struct team_edit *edit = data;
  struct rst_team team;

  if (!parse_existing_team (edit, value, &team))
    return NULL;
  for (int i = 0; i < team.key_count; i++)
    if (strcmp (team.keys[i].id, edit->key_id) == 0)
      {
        team.keys[i] = team.keys[team.key_count - 1];
        team.key_count--;
        return rst_team_format (&team);
      }
  fprintf (stderr, "key %s: does not exist\n", edit->key_id);
  return NULL;
}

static int
update_team (struct team_edit *edit, cli_edit function)
{
  char *key = build_team_store_key (edit->name);
  uint64_t revision = 0;
  int result = cli_store_update (edit->args, key, function, edit, &revision);

  if (result == CLI_OK)
    printf ("revision %" G_GUINT64_FORMAT "\n", revision);
  g_free (key);
  return result;
}

int
cli_team_set (const struct cli_args *args)
{
  struct team_edit edit = { args, args->operands[0], NULL, NULL };

  if (!rst_conf_is_name (edit.name))
    {
      fprintf (stderr, "team %s: not a name of a team\n", edit.name);
      return CLI_USAGE;
    }
  return update_team (&edit, edit_set);
}

int
cli_team_delete (const struct cli_args *args)
{
  struct team_edit edit = { args, args->operands[0], NULL, NULL };

  return update_team (&edit, edit_delete);
}

int
cli_key_grant (const struct cli_args *args)
{
  unsigned char secret[SECRET_BYTES];
  char id[RST_NAME_SIZE];
  char text[3 * RST_NAME_SIZE];
  struct rst_team_key key;
  struct team_edit edit = { args, args->operands[0], id, &key };
  int result;

  if (args->id != NULL)
    g_strlcpy (id, args->id, sizeof id);
  else
    g_snprintf (id, sizeof id, "k%08x", randombytes_random ());
  randombytes_buf (secret, sizeof secret);
  rst_team_key_create (edit.name, id, secret, text, sizeof text, &key);
  result = update_team (&edit, edit_grant);
  if (result == CLI_OK)
    printf ("key %s\n", text);
  sodium_memzero (secret, sizeof secret);
  sodium_memzero (text, sizeof text);
  return result;
}

int
cli_key_withdraw (const struct cli_args *args)
{
  struct team_edit edit = { args, args->operands[0], args->operands[1], NULL };

  return update_team (&edit, edit_withdraw);
}

int
cli_key_list (const struct cli_args *args)
{
  char *key = build_team_store_key (args->operands[0]);
  char *value = NULL;
  uint64_t revision;
  struct rst_team team;
  int result = cli_store_get (args, key, &value, &revision);

  if (result == CLI_OK && parse_team (args->operands[0], value, &team))
    for (int i = 0; i < team.key_count; i++)
      printf ("%s\n", team.keys[i].id);
  g_free (value);
  g_free (key);
  return result;
}

int
cli_team_list (const struct cli_args *args)
{
  struct json_object *items;
  int result = cli_store_list (args, RST_KEY_TEAMS, &items);

  if (result != CLI_OK)
    return result;
  printf ("%-24s %8s %12s %6s %10s\n", "TEAM", "SHARE", "UPPER LIMIT", "KEYS",
          "REVISION");
  for (size_t i = 0; i < json_object_array_length (items); i++)
    {
      struct json_object *item = json_object_array_get_idx (items, i);
      const char *name
          = rst_json_get_text (item, "key") + strlen (RST_KEY_TEAMS);
      char limit[16] = "none";
      struct rst_team team;

      if (!parse_team (name, rst_json_get_text (item, "value"), &team)
          || team.deleted)
        continue;
      if (team.upper_limit != RST_NO_UPPER_LIMIT)
        g_snprintf (limit, sizeof limit, "%u", team.upper_limit);
      printf ("%-24s %8u %12s %6d %10" G_GINT64_FORMAT "\n", name, team.share,
              limit, team.key_count,
              rst_json_get_number (item, "revision", 0));
    }
  json_object_put (items);
  return CLI_OK;
}
