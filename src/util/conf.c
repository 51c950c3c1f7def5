#include "util/conf.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "rosemarystile.h"

#define PORT_MAX 65535

bool
rst_conf_is_name (const char *text)
{
  size_t length = strlen (text);

  if (length == 0 || length >= RST_NAME_SIZE)
    return false;
  for (; *text != '\0'; text++)
    if (!g_ascii_isalnum (*text) && strchr ("-_.", *text) == NULL)
      return false;
  return true;
}

bool
rst_conf_is_address (const char *text)
{
  const char *colon = strrchr (text, ':');
  char host[RST_ADDRESS_SIZE];
  struct in_addr ignored_address;
  guint64 port;

  if (colon == NULL || (size_t)(colon - text) >= sizeof host)
    return false;
  memcpy (host, text, (size_t)(colon - text));
  host[colon - text] = '\0';
  if (inet_pton (AF_INET, host, &ignored_address) != 1)
    return false;
  return g_ascii_string_to_unsigned (colon + 1, 10, 0, PORT_MAX, &port, NULL);
}

/* Looks up a dotted path in nested objects. */
static bool
find_path (struct json_object *object, const char *path,
           struct json_object **out)
{
  char **parts = g_strsplit (path, ".", -1);
  struct json_object *node = object;
  bool found = true;

  for (int i = 0; parts[i] != NULL && found; i++)
    found = json_object_is_type (node, json_type_object)
            && json_object_object_get_ex (node, parts[i], &node);
  g_strfreev (parts);
  *out = node;
  return found;
}

static bool
is_choice (const char *const *choices, const char *text)
{
  for (; *choices != NULL; choices++)
    if (strcmp (*choices, text) == 0)
      return true;
  return false;
}

static const char *
check_text (const struct rst_conf_field *field, const char *text)
{
  if (strlen (text) >= field->size)
    return "is too long";
  if (field->type == RST_CONF_NAME && !rst_conf_is_name (text))
    return "must be made of letters, digits, '-', '_' and '.'";
  if (field->type == RST_CONF_ADDRESS && !rst_conf_is_address (text))
    return "must be an address IP:PORT";
  if (field->type == RST_CONF_CHOICE && !is_choice (field->choices, text))
    return "is not one of the known words";
  return NULL;
}

static bool
read_integer (const struct rst_conf_field *field, struct json_object *value,
              void *target, GString *problems)
{
  int64_t number = json_object_get_int64 (value);

  if (!json_object_is_type (value, json_type_int))
    g_string_append_printf (problems, "%s: must be a whole number\n",
                            field->path);
  else if (number < field->min || number > field->max)
    g_string_append_printf (problems,
                            "%s: must be from %" PRId64 " to %" PRId64 "\n",
                            field->path, field->min, field->max);
  else
    {
      *(int64_t *)((char *)target + field->offset) = number;
      return true;
    }
  return false;
}

static bool
read_bool (const struct rst_conf_field *field, struct json_object *value,
           void *target, GString *problems)
{
  if (!json_object_is_type (value, json_type_boolean))
    {
      g_string_append_printf (problems, "%s: must be true or false\n",
                              field->path);
      return false;
    }
  *(bool *)((char *)target + field->offset)
      = json_object_get_boolean (value) != 0;
  return true;
}

static bool
read_list (const struct rst_conf_field *field, struct json_object *value,
           void *target, GString *problems)
{
  if (!json_object_is_type (value, json_type_array))
    {
      g_string_append_printf (problems, "%s: must be a list\n", field->path);
      return false;
    }
  *(struct json_object **)((char *)target + field->offset)
      = json_object_get (value);
  return true;
}

static bool
read_text (const struct rst_conf_field *field, struct json_object *value,
           void *target, GString *problems)
{
  const char *problem = NULL;

  if (!json_object_is_type (value, json_type_string))
    problem = "must be text";
  else
    problem = check_text (field, json_object_get_string (value));
  if (problem != NULL)
    {
      g_string_append_printf (problems, "%s: %s\n", field->path, problem);
      return false;
    }
  g_strlcpy ((char *)target + field->offset, json_object_get_string (value),
             field->size);
  return true;
}

static bool
read_field (const struct rst_conf_field *field, struct json_object *value,
            void *target, GString *problems)
{
  switch (field->type)
    {
    case RST_CONF_INTEGER:
      return read_integer (field, value, target, problems);
    case RST_CONF_BOOL:
      return read_bool (field, value, target, problems);
    case RST_CONF_LIST:
      return read_list (field, value, target, problems);
    default:
      return read_text (field, value, target, problems);
    }
}

static bool
is_known_path (const struct rst_conf_field *fields, int count,
               const char *path, bool *is_prefix)
{
  size_t length = strlen (path);

  *is_prefix = false;
  for (int i = 0; i < count; i++)
    {
      if (strcmp (fields[i].path, path) == 0)
        return true;
      if (strncmp (fields[i].path, path, length) == 0
          && fields[i].path[length] == '.')
        *is_prefix = true;
    }
  return *is_prefix;
}

static bool
check_unknown_fields (struct json_object *object, const char *parent_path,
                      const struct rst_conf_field *fields, int count,
                      GString *problems)
{
  bool valid = true;

  json_object_object_foreach (object, key, value)
  {
    char *path = parent_path[0] != '\0'
                     ? g_strdup_printf ("%s.%s", parent_path, key)
                     : g_strdup (key);
    bool is_prefix;

    if (!is_known_path (fields, count, path, &is_prefix))
      {
        g_string_append_printf (problems, "%s: unknown field\n", path);
        valid = false;
      }
    else if (is_prefix && !json_object_is_type (value, json_type_object))
      {
        g_string_append_printf (problems, "%s: must be an object\n", path);
        valid = false;
      }
    else if (is_prefix)
      valid = check_unknown_fields (value, path, fields, count, problems)
              && valid;
    g_free (path);
  }
  return valid;
}

bool
rst_conf_read (struct json_object *object, const struct rst_conf_field *fields,
               int count, void *target, GString *problems)
{
  bool valid;

  if (!json_object_is_type (object, json_type_object))
    {
      g_string_append (problems, "(root): must be an object\n");
      return false;
    }
  valid = check_unknown_fields (object, "", fields, count, problems);
  for (int i = 0; i < count; i++)
    {
      struct json_object *value;

      if (find_path (object, fields[i].path, &value))
        valid = read_field (&fields[i], value, target, problems) && valid;
      else if (fields[i].required)
        {
          g_string_append_printf (problems, "%s: is missing\n",
                                  fields[i].path);
          valid = false;
        }
    }
  return valid;
}

struct json_object *
rst_conf_parse (const char *text, GString *problems)
{
  struct json_tokener *tokener = json_tokener_new ();
  struct json_object *object;
  enum json_tokener_error error;
  size_t length = strlen (text);

  object = json_tokener_parse_ex (tokener, text, (int)length + 1);
  error = json_tokener_get_error (tokener);
  if (error != json_tokener_success || object == NULL)
    {
      g_string_append_printf (problems, "(root): not JSON at byte %zu: %s\n",
                              json_tokener_get_parse_end (tokener),
                              json_tokener_error_desc (error));
      json_object_put (object);
      object = NULL;
    }
  json_tokener_free (tokener);
  return object;
}

bool
rst_conf_load (const char *file, const struct rst_conf_field *fields,
               int count, void *target, GString *problems)
{
  struct json_object *object;
  char *text = NULL;
  bool valid = false;

  if (!g_file_get_contents (file, &text, NULL, NULL))
    {
      g_string_append (problems, "(file): cannot be read\n");
      return false;
    }
  object = rst_conf_parse (text, problems);
  if (object != NULL)
    valid = rst_conf_read (object, fields, count, target, problems);
  json_object_put (object);
  g_free (text);
  return valid;
}
