/**
 * DOC: json - access to members of JSON objects by type
 *
 * The functions that read a member accept NULL or any JSON value as the
 * object; a member of another type counts as absent.
 */
#ifndef RST_JSON_H
#define RST_JSON_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <json-c/json.h>

/**
 * struct rst_json_bound - Bound on the values of a text.
 * @containers: Maximum number of objects and arrays.
 * @separators: Maximum number of commas, which bounds the other values.
 */
struct rst_json_bound
{
  size_t containers;
  size_t separators;
};

/**
 * rst_json_is_within() - Checks a text before it is parsed.
 * @text: The text, which need not be JSON.
 * @length: Length of @text in bytes.
 * @bound: The bound.
 *
 * An object takes some 800 bytes when it is parsed, so a text of "{},{},..."
 * grows 270 times.
 *
 * Return: Whether the text is within the bound.
 */
bool rst_json_is_within (const char *text, size_t length,
                         const struct rst_json_bound *bound);

/**
 * rst_json_parse() - Parses JSON text.
 * @text: NUL-terminated text.
 *
 * Return: The value, to be released with json_object_put(), or NULL when the
 * text is not JSON.
 */
struct json_object *rst_json_parse (const char *text);

/**
 * rst_json_parse_object() - Parses text that an unknown writer may have left.
 * @text: The text; it need not end with a NUL.
 * @length: Length of @text in bytes.
 *
 * Return: The object, to be released with json_object_put(), or NULL unless
 * the text is exactly one object in standard JSON and UTF-8.
 */
struct json_object *rst_json_parse_object (const char *text, size_t length);

/**
 * rst_json_get_text() - Reads a string member.
 * @object: The object.
 * @key: Name of the member.
 *
 * Return: The text, owned by @object, or NULL when it is absent.  It ends at
 * its first NUL; use rst_json_copy_text() or rst_json_dup_text() where a part
 * must not be taken for the whole.
 */
const char *rst_json_get_text (struct json_object *object, const char *key);

/**
 * rst_json_get_number() - Reads an integer member.
 * @object: The object.
 * @key: Name of the member.
 * @fallback: Returned when the member is absent.
 */
int64_t rst_json_get_number (struct json_object *object, const char *key,
                             int64_t fallback);

/**
 * rst_json_read_number() - Reads an integer member and checks its range.
 * @object: The object.
 * @key: Name of the member.
 * @min: Smallest valid value.
 * @max: Largest valid value; below INT64_MAX, which json-c also returns for
 *   numbers that are too large.
 * @out: Receives the number; unchanged when the member is missing or invalid.
 *
 * Return: false when the member is there but is no whole number from @min to
 * @max.
 */
bool rst_json_read_number (struct json_object *object, const char *key,
                           int64_t min, int64_t max, int64_t *out);

/**
 * rst_json_get_bool() - Reads a boolean member.
 * @object: The object.
 * @key: Name of the member.
 * @fallback: Returned when the member is absent.
 */
bool rst_json_get_bool (struct json_object *object, const char *key,
                        bool fallback);

/**
 * rst_json_get_array() - Reads an array member.
 * @object: The object.
 * @key: Name of the member.
 *
 * Return: The array, owned by @object, or NULL when it is absent.
 */
struct json_object *rst_json_get_array (struct json_object *object,
                                        const char *key);

/**
 * rst_json_copy_text() - Copies a string member.
 * @object: The object.
 * @key: Name of the member.
 * @out: Receives the text; unchanged when the copy fails.
 * @size: Size of @out in bytes.
 *
 * Return: false when the member is absent, holds a NUL or does not fit with
 * its final NUL.
 */
bool rst_json_copy_text (struct json_object *object, const char *key,
                         char *out, size_t size);

/**
 * rst_json_dup_text() - Copies a string that is carried as it is.
 * @value: A JSON value, or NULL.
 *
 * Return: The string as rst_text_encode() returns it, to be freed with
 * g_free(), or NULL if the value is no string or can't be carried.
 */
char *rst_json_dup_text (struct json_object *value);

/** rst_json_set_carried_text() - Sets a string member to the text that
    rst_json_dup_text() has returned. */
void rst_json_set_carried_text (struct json_object *object, const char *key,
                                const char *text);

/** rst_json_set_text() - Sets a string member. */
void rst_json_set_text (struct json_object *object, const char *key,
                        const char *value);

/** rst_json_set_number() - Sets an integer member. */
void rst_json_set_number (struct json_object *object, const char *key,
                          int64_t value);

/** rst_json_set_bool() - Sets a boolean member. */
void rst_json_set_bool (struct json_object *object, const char *key,
                        bool value);

/**
 * rst_json_format_and_release() - Formats an object as text and releases it.
 * @object: The object; it must not be used afterwards.
 *
 * Return: The text, to be freed with free().
 */
char *rst_json_format_and_release (struct json_object *object);

#endif
