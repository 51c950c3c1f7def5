#include "state/json.h"

#include <string.h>

struct json_object *
rst_json_parse (const char *text)
{
  return json_tokener_parse (text);
}

static struct json_object *
get_member (struct json_object *object, const char *key, enum json_type type)
{
  struct json_object *value;

  if (!json_object_is_type (object, json_type_object)
      || !json_object_object_get_ex (object, key, &value)
      || !json_object_is_type (value, type))
    return NULL;
  return value;
}

const char *
rst_json_get_text (struct json_object *object, const char *key)
{
  struct json_object *value = get_member (object, key, json_type_string);

  return value != NULL ? json_object_get_string (value) : NULL;
}

int64_t
rst_json_get_number (struct json_object *object, const char *key,
                     int64_t fallback)
{
  struct json_object *value = get_member (object, key, json_type_int);

  return value != NULL ? json_object_get_int64 (value) : fallback;
}

bool
rst_json_get_bool (struct json_object *object, const char *key, bool fallback)
{
  struct json_object *value = get_member (object, key, json_type_boolean);

  return value != NULL ? json_object_get_boolean (value) != 0 : fallback;
}

struct json_object *
rst_json_get_array (struct json_object *object, const char *key)
{
  return get_member (object, key, json_type_array);
}

bool
rst_json_copy_text (struct json_object *object, const char *key, char *out,
                    size_t size)
{
  const char *text = rst_json_get_text (object, key);

  if (text == NULL || strlen (text) >= size)
    return false;
  memcpy (out, text, strlen (text) + 1);
  return true;
}

void
rst_json_set_text (struct json_object *object, const char *key,
                   const char *value)
{
  json_object_object_add (object, key, json_object_new_string (value));
}

void
rst_json_set_number (struct json_object *object, const char *key,
                     int64_t value)
{
  json_object_object_add (object, key, json_object_new_int64 (value));
}

void
rst_json_set_bool (struct json_object *object, const char *key, bool value)
{
  json_object_object_add (object, key, json_object_new_boolean (value));
}

char *
rst_json_format_and_release (struct json_object *object)
{
  char *text = strdup (
      json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN));

  json_object_put (object);
  return text;
}
