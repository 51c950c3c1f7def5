#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/cli.h"
#include "state/json.h"
#include "state/settings.h"

struct zone_edit
{
  const char *zone;
  const char *state;
  const char *running;
};

static struct json_object *
parse_or_empty (const char *value)
{
  struct json_object *root = value[0] != '\0' ? rst_json_parse (value) : NULL;

  return root != NULL ? root : json_object_new_object ();
}

static char *
edit_zone (const char *value, void *data)
{
  const struct zone_edit *edit = data;
  struct json_object *root = parse_or_empty (value);
  struct json_object *zone = json_object_new_object ();

  rst_json_set_text (zone, "state", edit->state);
  if (edit->running != NULL)
    rst_json_set_text (zone, "running", edit->running);
  json_object_object_add (root, edit->zone, zone);
  return rst_json_format_and_release (root);
}

static int
set_zone (const struct cli_args *args, const char *state, const char *running)
{
  struct zone_edit edit = { args->operands[0], state, running };
  uint64_t revision = 0;
  int result
      = cli_store_update (args, RST_KEY_ZONES, edit_zone, &edit, &revision);

  if (result == CLI_OK)
    printf ("revision %" G_GUINT64_FORMAT "\n", revision);
  return result;
}

int
cli_zone_out (const struct cli_args *args)
{
  return set_zone (args, "out",
                   args->running != NULL ? args->running : "finish");
}

int
cli_zone_in (const struct cli_args *args)
{
  return set_zone (args, "in", NULL);
}

int
cli_zone_list (const struct cli_args *args)
{
  char *value = NULL;
  uint64_t revision;
  struct json_object *root;
  int result = cli_store_get (args, RST_KEY_ZONES, &value, &revision);

  if (result != CLI_OK)
    return result;
  root = parse_or_empty (value);
  json_object_object_foreach (root, name, zone)
  {
    const char *running = rst_json_get_text (zone, "running");

    printf ("%-16s %-4s %s\n", name, rst_json_get_text (zone, "state"),
            running != NULL ? running : "");
  }
  printf ("revision %" G_GUINT64_FORMAT "\n", revision);
  json_object_put (root);
  g_free (value);
  return CLI_OK;
}

struct cell_edit
{
  const char *field;
  const char *value;
};

static char *
edit_cell (const char *value, void *data)
{
  const struct cell_edit *edit = data;
  struct json_object *root = parse_or_empty (value);
  struct json_object *field = rst_json_parse (edit->value);

  if (field == NULL)
    field = json_object_new_string (edit->value);
  json_object_object_add (root, edit->field, field);
  return rst_json_format_and_release (root);
}

int
cli_cell_set (const struct cli_args *args)
{
  struct cell_edit edit = { args->operands[0], args->operands[1] };
  uint64_t revision = 0;
  int result
      = cli_store_update (args, RST_KEY_CELL, edit_cell, &edit, &revision);

  if (result == CLI_OK)
    printf ("revision %" G_GUINT64_FORMAT "\n", revision);
  return result;
}

int
cli_settings_get (const struct cli_args *args)
{
  char *value = NULL;
  uint64_t revision;
  int result = cli_store_get (args, args->operands[0], &value, &revision);

  if (result == CLI_OK)
    printf ("%s\n", value);
  g_free (value);
  return result;
}

static char *
read_file (const char *file)
{
  GError *error = NULL;
  char *text = NULL;

  if (!g_file_get_contents (file, &text, NULL, &error))
    {
      fprintf (stderr, "%s\n", error->message);
      g_error_free (error);
    }
  return text;
}

static void
print_lines (char mark, const char *value)
{
  struct json_object *root = rst_json_parse (value);
  char **lines = g_strsplit (root != NULL ? json_object_to_json_string_ext (
                                 root, JSON_C_TO_STRING_PRETTY)
                                          : "",
                             "\n", -1);

  for (int i = 0; lines[i] != NULL; i++)
    if (lines[i][0] != '\0')
      printf ("%c %s\n", mark, lines[i]);
  g_strfreev (lines);
  json_object_put (root);
}

int
cli_settings_check (const struct cli_args *args)
{
  char *text = read_file (args->operands[1]);
  GString *problems = g_string_new ("");
  char *current = NULL;
  uint64_t revision;
  int result = CLI_USAGE;

  if (text == NULL)
    goto done;
  if (rst_settings_check (args->operands[0], text, problems) != RST_STATE_OK)
    {
      fprintf (stderr, "%s", problems->str);
      goto done;
    }
  result = cli_store_get (args, args->operands[0], &current, &revision);
  if (result != CLI_OK)
    goto done;
  printf ("valid; current revision %" G_GUINT64_FORMAT "\n", revision);
  if (strcmp (current, text) != 0)
    {
      print_lines ('-', current);
      print_lines ('+', text);
    }

done:
  g_string_free (problems, TRUE);
  g_free (current);
  g_free (text);
  return result;
}

static char *
edit_replace (const char *value, void *data)
{
  (void)value;
  return strdup (data);
}

int
cli_settings_put (const struct cli_args *args)
{
  char *text = read_file (args->operands[1]);
  uint64_t revision = 0;
  int result;

  if (text == NULL)
    return CLI_USAGE;
  result = cli_store_update (args, args->operands[0], edit_replace, text,
                             &revision);
  if (result == CLI_OK)
    printf ("revision %" G_GUINT64_FORMAT "\n", revision);
  g_free (text);
  return result;
}
