#include "state/json.h"

#include <limits.h>
#include <string.h>

#include <glib.h>

#include "state/text.h"

bool
rst_json_is_within (const char *text, size_t length,
                    const struct rst_json_bound *bound)
{
  size_t containers = 0;
  size_t separators = 0;
  char quote = '\0';

  for (size_t i = 0; i < length; i++)
    {
      if (quote != '\0' && text[i] == '\\')
        i++;
      else if (quote != '\0')
        quote = text[i] == quote ? '\0' : quote;
      /* The parser accepts single quotes, too. */
      else if (text[i] == '"' || text[i] == '\'')
        quote = text[i];
      /* It skips comments, which may contain quotes.  JSON has none. */
      else if (text[i] == '/')
        return false;
      else if (text[i] == '{' || text[i] == '[')
        containers++;
      else if (text[i] == ',')
        separators++;
    }
  return containers <= bound->containers && separators <= bound->separators;
}

struct json_object *
rst_json_parse (const char *text)
{
  return json_tokener_parse (text);
}

static bool
is_blank (const char *text, size_t length)
{
  for (size_t i = 0; i < length; i++)
    if (strchr (" \t\r\n", text[i]) == NULL)
      return false;
  return true;
}

struct json_object *
rst_json_parse_object (const char *text, size_t length)
{
  struct json_tokener *tokener;
  struct json_object *value;
  size_t end;

  /* json-c stops at a NUL without an error. */
  if (length > INT_MAX || memchr (text, '\0', length) != NULL)
    return NULL;
  tokener = json_tokener_new ();
  json_tokener_set_flags (tokener, JSON_TOKENER_STRICT
                                       | JSON_TOKENER_VALIDATE_UTF8
                                       | JSON_TOKENER_ALLOW_TRAILING_CHARS);
  value = json_tokener_parse_ex (tokener, text, (int)length);
  end = json_tokener_get_parse_end (tokener);
  json_tokener_free (tokener);
  if (json_object_is_type (value, json_type_object)
      && is_blank (text + end, length - end))
    return value;
  json_object_put (value);
  return NULL;
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
rst_json_read_number (struct json_object *object, const char *key, int64_t min,
                      int64_t max, int64_t *out)
{
  struct json_object *value;
  int64_t number;

  if (!json_object_object_get_ex (object, key, &value))
    return true;
  if (!json_object_is_type (value, json_type_int))
    return false;
  number = json_object_get_int64 (value);
  if (number < min || number > max)
    return false;
  *out = number;
  return true;
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
  struct json_object *value = get_member (object, key, json_type_string);
  const char *text = json_object_get_string (value);

  if (value == NULL || strlen (text) >= size
      || strlen (text) != (size_t)json_object_get_string_len (value))
    return false;
  memcpy (out, text, strlen (text) + 1);
  return true;
}

char *
rst_json_dup_text (struct json_object *value)
{
  if (!json_object_is_type (value, json_type_string))
    return NULL;
  return rst_text_encode (json_object_get_string (value),
                          (size_t)json_object_get_string_len (value));
}

void
rst_json_set_carried_text (struct json_object *object, const char *key,
                           const char *text)
{
  size_t length;
  char *bytes = rst_text_decode (text, &length);

  json_object_object_add (object, key,
                          json_object_new_string_len (bytes, (int)length));
  g_free (bytes);
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
