/**
 * DOC: conf - validated settings in JSON with comments
 *
 * A program describes its settings as a table of fields.  All fields are
 * checked even after an error, and each problem yields one line that starts
 * with the path of the field.  If there is any problem, the target may
 * be partly filled and none of the settings may be applied.
 */
#ifndef RST_CONF_H
#define RST_CONF_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <json-c/json.h>

/**
 * enum rst_conf_type - Types of settings.
 * @RST_CONF_STRING: String; the target is a char array.
 * @RST_CONF_NAME: String accepted by rst_conf_is_name(); the target is a char
 *   array.
 * @RST_CONF_ADDRESS: String accepted by rst_conf_is_address(); the target is a
 *   char array.
 * @RST_CONF_INTEGER: Integer; the target is an int64_t.
 * @RST_CONF_BOOL: true or false; the target is a bool.
 * @RST_CONF_CHOICE: One of the strings in choices; the target is a char array.
 * @RST_CONF_LIST: Array; the target is a struct json_object pointer that the
 *   caller releases with json_object_put().
 */
enum rst_conf_type
{
  RST_CONF_STRING,
  RST_CONF_NAME,
  RST_CONF_ADDRESS,
  RST_CONF_INTEGER,
  RST_CONF_BOOL,
  RST_CONF_CHOICE,
  RST_CONF_LIST,
};

/**
 * struct rst_conf_field - Description of one setting.
 * @path: Path with dots between levels, such as "store.address".
 * @type: Type.
 * @required: Whether the setting must be present.
 * @offset: Offset of the target in the program's structure, in bytes.
 * @size: Size of the target in bytes if it is a char array.
 * @min: Minimum of an integer.
 * @max: Maximum of an integer.
 * @choices: NULL-terminated array of the strings that a choice accepts.
 */
struct rst_conf_field
{
  const char *path;
  enum rst_conf_type type;
  bool required;
  size_t offset;
  size_t size;
  int64_t min;
  int64_t max;
  const char *const *choices;
};

/** RST_CONF_STRING_FIELD() - Initializer of a field in a char array. */
#define RST_CONF_STRING_FIELD(path, type, required, structure, member)        \
  {                                                                           \
    path, type, required, offsetof (structure, member),                       \
        sizeof (((structure *)0)->member), 0, 0, NULL                         \
  }
/** RST_CONF_INTEGER_FIELD() - Initializer of an integer field. */
#define RST_CONF_INTEGER_FIELD(path, required, structure, member, min, max)   \
  {                                                                           \
    path, RST_CONF_INTEGER, required, offsetof (structure, member), 0, min,   \
        max, NULL                                                             \
  }

/**
 * rst_conf_read() - Validates a JSON object and copies it to a structure.
 * @object: The object.
 * @fields: Table of the accepted fields; others are reported as unknown.
 * @count: Number of fields.
 * @target: Structure to fill, initialized with the defaults.
 * @problems: One line per problem is appended.
 *
 * Return: true if there was no problem.
 */
bool rst_conf_read (struct json_object *object,
                    const struct rst_conf_field *fields, int count,
                    void *target, GString *problems);

/**
 * rst_conf_parse() - Parses JSON with comments.
 * @text: The text.
 * @problems: A line is appended if the text is not valid JSON.
 *
 * Return: The value, to be released with json_object_put(), or NULL.
 */
struct json_object *rst_conf_parse (const char *text, GString *problems);

/**
 * rst_conf_load() - Reads and validates a settings file.
 * @file: Path of the file.
 * @fields: As in rst_conf_read().
 * @count: As in rst_conf_read().
 * @target: As in rst_conf_read().
 * @problems: As in rst_conf_read().
 *
 * Return: true if there was no problem.
 */
bool rst_conf_load (const char *file, const struct rst_conf_field *fields,
                    int count, void *target, GString *problems);

/**
 * rst_conf_is_address() - Checks for an address "IP:PORT".
 * @text: The text.
 *
 * Return: true if it is an IPv4 address in dotted notation, a colon and a port
 * number.  Host names are not accepted.
 */
bool rst_conf_is_address (const char *text);

/**
 * rst_conf_is_name() - Checks for a valid name.
 * @text: The text.
 *
 * Return: true if it has 1 to RST_NAME_SIZE - 1 letters, digits, '-', '_' and
 * '.', and nothing else.
 */
bool rst_conf_is_name (const char *text);

#endif
