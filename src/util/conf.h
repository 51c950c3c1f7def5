/**
 * DOC: conf - settings files in JSON with comments, checked as a whole
 *
 * A program describes its settings as a table of fields.  Each problem found
 * gives one line that names the field's path; nothing is applied when there
 * is any problem.
 */
#ifndef RST_CONF_H
#define RST_CONF_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <json-c/json.h>

/**
 * enum rst_conf_type - Kinds of settings.
 * @RST_CONF_STRING: Text; the target is a char array.
 * @RST_CONF_NAME: Text of letters, digits, '-', '_' and '.'; a char array.
 * @RST_CONF_ADDRESS: "IP:PORT" with an IP number; a char array.
 * @RST_CONF_INTEGER: A whole number; the target is an int64_t.
 * @RST_CONF_BOOL: true or false; the target is a bool.
 * @RST_CONF_CHOICE: One of the words in choices; a char array.
 * @RST_CONF_LIST: An array; the target is a struct json_object pointer, to
 *   be released with json_object_put().
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
 * struct rst_conf_field - Describes one setting.
 * @path: Path with dots between levels, such as "store.address".
 * @type: Kind.
 * @required: Whether it must be present.
 * @offset: Offset of the target in the program's structure.
 * @size: Size of the target when it is a char array.
 * @min: Least value of an integer.
 * @max: Largest value of an integer.
 * @choices: Words of a choice, NULL at the end.
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

#define RST_CONF_STRING_FIELD(path, type, required, structure, member)        \
  {                                                                           \
    path, type, required, offsetof (structure, member),                       \
        sizeof (((structure *)0)->member), 0, 0, NULL                         \
  }
#define RST_CONF_INTEGER_FIELD(path, required, structure, member, min, max)   \
  {                                                                           \
    path, RST_CONF_INTEGER, required, offsetof (structure, member), 0, min,   \
        max, NULL                                                             \
  }

/**
 * rst_conf_read() - Checks a JSON object against a table and fills a target.
 * @object: The object.
 * @fields: The table.
 * @count: Number of fields.
 * @target: Structure to fill, already holding the defaults.
 * @problems: Receives one line for each problem.
 *
 * Return: true when there was no problem.
 */
bool rst_conf_read (struct json_object *object,
                    const struct rst_conf_field *fields, int count,
                    void *target, GString *problems);

/**
 * rst_conf_parse() - Reads JSON with comments from text.
 * @text: The text.
 * @problems: Receives a line when it cannot be read.
 *
 * Return: The object, to be released with json_object_put(), or NULL.
 */
struct json_object *rst_conf_parse (const char *text, GString *problems);

/**
 * rst_conf_load() - Reads a settings file as rst_conf_read() does.
 * @file: Path of the file.
 *
 * The other parameters and the result are those of rst_conf_read().
 */
bool rst_conf_load (const char *file, const struct rst_conf_field *fields,
                    int count, void *target, GString *problems);

/**
 * rst_conf_is_address() - Tells whether text is "IP:PORT".
 * @text: The text.
 */
bool rst_conf_is_address (const char *text);

/**
 * rst_conf_is_name() - Tells whether text can name a thing.
 * @text: The text.
 */
bool rst_conf_is_name (const char *text);

#endif
