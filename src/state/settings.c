#include "state/settings.h"

#include <stdlib.h>
#include <string.h>

#include <sodium.h>
#include <xxhash.h>

#include "state/json.h"
#include "util/conf.h"

/** Default of the longest deadline of a request. */
#define DEFAULT_MAX_DEADLINE_MS 60000

/** Default of the largest number of queued queries of a team. */
#define DEFAULT_MAX_QUEUED_PER_TEAM 512

/** Length of a key's secret. */
#define SECRET_BYTES 32

/* The parsed branch of the zones. */
struct zone_settings
{
  int count;
  struct rst_zone_setting zones[RST_ZONES_MAX];
};

/* A settings branch.  One of the last four members holds its parsed value. */
struct branch
{
  char *key;
  uint64_t revision;
  char *value;
  uint64_t rejected_revision;
  char *problem;
  struct rst_team *team;
  struct zone_settings *zones;
  struct rst_cell_settings *cell;
  struct rst_zone *record;
};

struct rst_settings
{
  GHashTable *branches;
  struct rst_cell_settings default_cell;
  uint64_t newest_revision;
};

static const struct rst_cell_settings cell_defaults
    = { DEFAULT_MAX_DEADLINE_MS, DEFAULT_MAX_QUEUED_PER_TEAM, "" };

/* ---- Teams ------------------------------------------------------------ */

struct team_fields
{
  int64_t share;
  int64_t upper_limit;
  bool deleted;
  struct json_object *keys;
};

static const struct rst_conf_field team_fields[] = {
  RST_CONF_INTEGER_FIELD ("share", true, struct team_fields, share, 1,
                          1000000),
  RST_CONF_INTEGER_FIELD ("upper_limit", false, struct team_fields,
                          upper_limit, 0, 1000000),
  { "deleted", RST_CONF_BOOL, false, offsetof (struct team_fields, deleted), 0,
    0, 0, NULL },
  { "keys", RST_CONF_LIST, false, offsetof (struct team_fields, keys), 0, 0, 0,
    NULL },
};

static const struct rst_conf_field key_fields[] = {
  RST_CONF_STRING_FIELD ("id", RST_CONF_NAME, true, struct rst_team_key, id),
  RST_CONF_STRING_FIELD ("hash", RST_CONF_STRING, true, struct rst_team_key,
                         hash),
};

static void
append_problems (GString *problems, const char *prefix, const char *lines)
{
  char **list = g_strsplit (lines, "\n", -1);

  for (int i = 0; list[i] != NULL && list[i][0] != '\0'; i++)
    g_string_append_printf (problems, "%s%s\n", prefix, list[i]);
  g_strfreev (list);
}

static bool
read_key (struct json_object *item, size_t index, struct rst_team_key *out,
          GString *problems)
{
  GString *item_problems = g_string_new ("");
  bool valid = rst_conf_read (item, key_fields, G_N_ELEMENTS (key_fields), out,
                              item_problems);
  char prefix[32];

  if (valid && strlen (out->hash) != RST_TEAM_KEY_HASH_SIZE - 1)
    {
      g_string_append (item_problems,
                       "hash: must have 64 hexadecimal digits\n");
      valid = false;
    }
  g_snprintf (prefix, sizeof prefix, "keys[%zu].", index);
  append_problems (problems, prefix, item_problems->str);
  g_string_free (item_problems, TRUE);
  return valid;
}

static bool
read_keys (struct json_object *list, struct rst_team *team, GString *problems)
{
  size_t count = list != NULL ? json_object_array_length (list) : 0;
  bool valid = true;

  if (count > RST_TEAM_KEYS_MAX)
    {
      g_string_append_printf (problems, "keys: more than %d\n",
                              RST_TEAM_KEYS_MAX);
      return false;
    }
  for (size_t i = 0; i < count; i++)
    valid = read_key (json_object_array_get_idx (list, i), i, &team->keys[i],
                      problems)
            && valid;
  team->key_count = (int)count;
  return valid;
}

int
rst_team_parse (const char *name, const char *value, struct rst_team *out,
                GString *problems)
{
  struct team_fields fields = { 0, RST_NO_UPPER_LIMIT, false, NULL };
  struct json_object *root;
  bool valid;

  memset (out, 0, sizeof *out);
  g_strlcpy (out->name, name, RST_NAME_SIZE);
  if (value[0] == '\0')
    {
      out->deleted = true;
      return RST_STATE_OK;
    }
  if (!rst_conf_is_name (name) || strlen (name) > RST_TEAM_NAME_MAX_BYTES)
    {
      g_string_append (problems, "(key): not a name of a team\n");
      return RST_STATE_INVALID;
    }
  root = rst_conf_parse (value, problems);
  if (root == NULL)
    return RST_STATE_INVALID;
  valid = rst_conf_read (root, team_fields, G_N_ELEMENTS (team_fields),
                         &fields, problems)
          && read_keys (fields.keys, out, problems);
  out->share = (uint32_t)fields.share;
  out->upper_limit = (uint32_t)fields.upper_limit;
  out->deleted = fields.deleted;
  json_object_put (fields.keys);
  json_object_put (root);
  return valid ? RST_STATE_OK : RST_STATE_INVALID;
}

char *
rst_team_format (const struct rst_team *team)
{
  struct json_object *root = json_object_new_object ();
  struct json_object *keys = json_object_new_array ();

  for (int i = 0; i < team->key_count; i++)
    {
      struct json_object *item = json_object_new_object ();

      rst_json_set_text (item, "id", team->keys[i].id);
      rst_json_set_text (item, "hash", team->keys[i].hash);
      json_object_array_add (keys, item);
    }
  rst_json_set_number (root, "share", team->share);
  if (team->upper_limit != RST_NO_UPPER_LIMIT)
    rst_json_set_number (root, "upper_limit", team->upper_limit);
  if (team->deleted)
    rst_json_set_bool (root, "deleted", true);
  json_object_object_add (root, "keys", keys);
  return rst_json_format_and_release (root);
}

/* ---- Zones and cell --------------------------------------------------- */

struct zone_fields
{
  char state[8];
  char running[8];
};

static const char *const zone_states[] = { "in", "out", NULL };
static const char *const zone_running_actions[] = { "finish", "move", NULL };

static const struct rst_conf_field zone_fields[] = {
  { "state", RST_CONF_CHOICE, true, offsetof (struct zone_fields, state), 8, 0,
    0, zone_states },
  { "running", RST_CONF_CHOICE, false, offsetof (struct zone_fields, running),
    8, 0, 0, zone_running_actions },
};

static bool
read_zone (const char *name, struct json_object *item,
           struct rst_zone_setting *out, GString *problems)
{
  struct zone_fields fields = { "", "finish" };
  GString *item_problems = g_string_new ("");
  char prefix[RST_NAME_SIZE + 2];
  bool valid = rst_conf_is_name (name);

  g_snprintf (prefix, sizeof prefix, "%s.", name);
  if (!valid)
    g_string_append (item_problems, "(name): not a name of a zone\n");
  valid = rst_conf_read (item, zone_fields, G_N_ELEMENTS (zone_fields),
                         &fields, item_problems)
          && valid;
  append_problems (problems, prefix, item_problems->str);
  g_string_free (item_problems, TRUE);
  g_strlcpy (out->name, name, RST_NAME_SIZE);
  out->out_of_service = strcmp (fields.state, "out") == 0;
  out->move_running = strcmp (fields.running, "move") == 0;
  return valid;
}

static int
parse_zones (const char *value, struct zone_settings *out, GString *problems)
{
  struct json_object *root = rst_conf_parse (value, problems);
  bool valid = true;

  memset (out, 0, sizeof *out);
  if (root == NULL)
    return RST_STATE_INVALID;
  if (!json_object_is_type (root, json_type_object)
      || json_object_object_length (root) > RST_ZONES_MAX)
    {
      g_string_append (problems, "(root): must be an object of zones\n");
      json_object_put (root);
      return RST_STATE_INVALID;
    }
  json_object_object_foreach (root, name, item)
  {
    valid = read_zone (name, item, &out->zones[out->count], problems) && valid;
    out->count++;
  }
  json_object_put (root);
  return valid ? RST_STATE_OK : RST_STATE_INVALID;
}

static const struct rst_conf_field cell_fields[] = {
  RST_CONF_INTEGER_FIELD ("max_deadline_ms", false, struct rst_cell_settings,
                          max_deadline_ms, 100, 600000),
  RST_CONF_INTEGER_FIELD ("queue_per_team", false, struct rst_cell_settings,
                          max_queued_per_team, 1, 100000),
  RST_CONF_STRING_FIELD ("stopped", RST_CONF_STRING, false,
                         struct rst_cell_settings, stopped_incarnations),
};

static int
parse_cell (const char *value, struct rst_cell_settings *out,
            GString *problems)
{
  struct json_object *root = rst_conf_parse (value, problems);
  bool valid;

  *out = cell_defaults;
  if (root == NULL)
    return RST_STATE_INVALID;
  valid = rst_conf_read (root, cell_fields, G_N_ELEMENTS (cell_fields), out,
                         problems);
  json_object_put (root);
  return valid ? RST_STATE_OK : RST_STATE_INVALID;
}

/* ---- Branches --------------------------------------------------------- */

static void
clear_parsed_value (struct branch *branch)
{
  g_free (branch->team);
  g_free (branch->zones);
  g_free (branch->cell);
  rst_zone_destroy (branch->record);
  branch->team = NULL;
  branch->zones = NULL;
  branch->cell = NULL;
  branch->record = NULL;
}

static void
branch_free (gpointer data)
{
  struct branch *branch = data;

  clear_parsed_value (branch);
  g_free (branch->key);
  g_free (branch->value);
  g_free (branch->problem);
  g_free (branch);
}

static int
parse_zone_record (const char *value, uint64_t revision, struct rst_zone **out,
                   GString *problems)
{
  if (rst_zone_parse (value, revision, out) == RST_OK)
    return RST_STATE_OK;
  g_string_append (problems, "(root): not an ownership record\n");
  return RST_STATE_INVALID;
}

/* Parses and checks a value into the member for its kind of branch. */
static int
parse_branch (struct branch *branch, const char *key, uint64_t revision,
              const char *value, GString *problems)
{
  if (g_str_has_prefix (key, RST_KEY_TEAMS))
    {
      branch->team = g_new0 (struct rst_team, 1);
      return rst_team_parse (key + strlen (RST_KEY_TEAMS), value, branch->team,
                             problems);
    }
  if (g_str_has_prefix (key, RST_KEY_ZONE_RECORDS))
    return parse_zone_record (value, revision, &branch->record, problems);
  if (strcmp (key, RST_KEY_ZONES) == 0)
    {
      branch->zones = g_new0 (struct zone_settings, 1);
      return parse_zones (value, branch->zones, problems);
    }
  if (strcmp (key, RST_KEY_CELL) == 0)
    {
      branch->cell = g_new0 (struct rst_cell_settings, 1);
      return parse_cell (value, branch->cell, problems);
    }
  g_string_append (problems, "(key): no such branch\n");
  return RST_STATE_INVALID;
}

struct rst_settings *
rst_settings_create (void)
{
  struct rst_settings *settings = g_new0 (struct rst_settings, 1);

  settings->default_cell = cell_defaults;
  settings->branches
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, branch_free);
  return settings;
}

void
rst_settings_destroy (struct rst_settings *settings)
{
  if (settings == NULL)
    return;
  g_hash_table_destroy (settings->branches);
  g_free (settings);
}

static struct branch *
find_branch (const struct rst_settings *settings, const char *key)
{
  return g_hash_table_lookup (settings->branches, key);
}

static struct branch *
find_or_add_branch (struct rst_settings *settings, const char *key)
{
  struct branch *branch = find_branch (settings, key);

  if (branch != NULL)
    return branch;
  branch = g_new0 (struct branch, 1);
  branch->key = g_strdup (key);
  g_hash_table_insert (settings->branches, branch->key, branch);
  return branch;
}

static void
reject_revision (struct branch *branch, uint64_t revision, const char *problem)
{
  g_free (branch->problem);
  branch->problem = g_strdup (problem);
  branch->rejected_revision = revision;
}

static void
apply_parsed (struct branch *branch, struct branch *parsed, uint64_t revision,
              const char *value)
{
  clear_parsed_value (branch);
  branch->team = parsed->team;
  branch->zones = parsed->zones;
  branch->cell = parsed->cell;
  branch->record = parsed->record;
  g_free (branch->value);
  branch->value = g_strdup (value);
  branch->revision = revision;
  g_free (branch->problem);
  branch->problem = NULL;
}

int
rst_settings_apply (struct rst_settings *settings, const char *key,
                    uint64_t revision, const char *value, GString *problems)
{
  struct branch *branch = find_branch (settings, key);
  struct branch parsed = { 0 };
  gsize problems_start = problems->len;

  if (branch != NULL
      && (revision <= branch->revision
          || revision <= branch->rejected_revision))
    return RST_STATE_STALE;
  if (parse_branch (&parsed, key, revision, value, problems) != RST_STATE_OK)
    {
      clear_parsed_value (&parsed);
      reject_revision (find_or_add_branch (settings, key), revision,
                       problems->str + problems_start);
      return RST_STATE_INVALID;
    }
  apply_parsed (find_or_add_branch (settings, key), &parsed, revision, value);
  settings->newest_revision = MAX (settings->newest_revision, revision);
  return RST_STATE_OK;
}

int
rst_settings_check (const char *key, const char *value, GString *problems)
{
  struct branch parsed = { 0 };
  int error = parse_branch (&parsed, key, 0, value, problems);

  clear_parsed_value (&parsed);
  return error;
}

const struct rst_team *
rst_settings_find_team (const struct rst_settings *settings, const char *name)
{
  char *key = g_strconcat (RST_KEY_TEAMS, name, NULL);
  const struct branch *branch = find_branch (settings, key);

  g_free (key);
  if (branch == NULL || branch->team == NULL || branch->team->deleted)
    return NULL;
  return branch->team;
}

const struct rst_zone_setting *
rst_settings_find_zone (const struct rst_settings *settings, const char *zone)
{
  const struct branch *branch = find_branch (settings, RST_KEY_ZONES);

  if (branch == NULL || branch->zones == NULL)
    return NULL;
  for (int i = 0; i < branch->zones->count; i++)
    if (strcmp (branch->zones->zones[i].name, zone) == 0)
      return &branch->zones->zones[i];
  return NULL;
}

bool
rst_settings_is_zone_out (const struct rst_settings *settings,
                          const char *zone)
{
  const struct rst_zone_setting *setting
      = rst_settings_find_zone (settings, zone);

  return setting != NULL && setting->out_of_service;
}

const struct rst_cell_settings *
rst_settings_get_cell (const struct rst_settings *settings)
{
  const struct branch *branch = find_branch (settings, RST_KEY_CELL);

  if (branch == NULL || branch->cell == NULL)
    return &settings->default_cell;
  return branch->cell;
}

const struct rst_zone *
rst_settings_find_zone_record (const struct rst_settings *settings,
                               const char *zone)
{
  char *key = g_strconcat (RST_KEY_ZONE_RECORDS, zone, NULL);
  const struct branch *branch = find_branch (settings, key);

  g_free (key);
  return branch != NULL ? branch->record : NULL;
}

void
rst_settings_visit_zone_records (const struct rst_settings *settings,
                                 void (*visit) (const struct rst_zone *,
                                                void *),
                                 void *userdata)
{
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, settings->branches);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct branch *branch = value;

      if (branch->record != NULL)
        visit (branch->record, userdata);
    }
}

void
rst_settings_visit_branches (const struct rst_settings *settings,
                             rst_settings_branch_visitor visit, void *userdata)
{
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, settings->branches);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct branch *branch = value;

      if (branch->revision > 0)
        visit (branch->key, branch->revision, branch->value, userdata);
    }
}

const char *
rst_settings_get_problem (const struct rst_settings *settings, const char *key,
                          uint64_t *revision)
{
  const struct branch *branch = find_branch (settings, key);

  if (branch == NULL || branch->problem == NULL)
    return NULL;
  *revision = branch->rejected_revision;
  return branch->problem;
}

uint64_t
rst_settings_get_hash (const struct rst_settings *settings)
{
  GHashTableIter iterator;
  gpointer value;
  uint64_t hash = 0;

  g_hash_table_iter_init (&iterator, settings->branches);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct branch *branch = value;

      /* A sum does not depend on the order of the branches. */
      if (branch->revision > 0)
        hash += XXH3_64bits_withSeed (branch->key, strlen (branch->key),
                                      branch->revision);
    }
  return hash;
}

uint64_t
rst_settings_get_newest_revision (const struct rst_settings *settings)
{
  return settings->newest_revision;
}

uint64_t
rst_settings_get_revision (const struct rst_settings *settings,
                           const char *key)
{
  const struct branch *branch = find_branch (settings, key);

  return branch != NULL ? branch->revision : 0;
}

/* ---- Keys ------------------------------------------------------------- */

static void
compute_secret_hash (const char *secret, char out[RST_TEAM_KEY_HASH_SIZE])
{
  unsigned char hash[(RST_TEAM_KEY_HASH_SIZE - 1) / 2];

  crypto_generichash (hash, sizeof hash, (const unsigned char *)secret,
                      strlen (secret), NULL, 0);
  sodium_bin2hex (out, RST_TEAM_KEY_HASH_SIZE, hash, sizeof hash);
}

void
rst_team_key_create (const char *team, const char *id,
                     const unsigned char *secret, char *key, size_t size,
                     struct rst_team_key *out)
{
  char text[2 * SECRET_BYTES + 1];

  sodium_bin2hex (text, sizeof text, secret, SECRET_BYTES);
  g_snprintf (key, size, "%s/%s/%s", team, id, text);
  memset (out, 0, sizeof *out);
  g_strlcpy (out->id, id, RST_NAME_SIZE);
  compute_secret_hash (text, out->hash);
}

static bool
key_matches (const struct rst_team *team, const char *id, const char *secret)
{
  char hash[RST_TEAM_KEY_HASH_SIZE];

  for (int i = 0; i < team->key_count; i++)
    {
      if (strcmp (team->keys[i].id, id) != 0)
        continue;
      compute_secret_hash (secret, hash);
      return sodium_memcmp (hash, team->keys[i].hash, sizeof hash) == 0;
    }
  return false;
}

const struct rst_team *
rst_settings_find_team_by_key (const struct rst_settings *settings,
                               const char *key)
{
  char **parts = g_strsplit (key, "/", 4);
  const struct rst_team *team = NULL;

  if (g_strv_length (parts) == 3)
    team = rst_settings_find_team (settings, parts[0]);
  if (team != NULL && !key_matches (team, parts[1], parts[2]))
    team = NULL;
  g_strfreev (parts);
  return team;
}
