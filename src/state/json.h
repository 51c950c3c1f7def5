/**
 * DOC: json - short forms for reading and writing JSON records
 */
#ifndef RST_JSON_H
#define RST_JSON_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <json-c/json.h>

/** rst_json_parse() - Reads JSON text of known length, or returns NULL. */
struct json_object *rst_json_parse (const char *text);

/** rst_json_get_text() - A member that is text, or NULL. */
const char *rst_json_get_text (struct json_object *object, const char *key);

/** rst_json_get_number() - A member that is a whole number, or a default. */
int64_t rst_json_get_number (struct json_object *object, const char *key,
                             int64_t fallback);

/** rst_json_get_bool() - A member that is true or false, or a default. */
bool rst_json_get_bool (struct json_object *object, const char *key,
                        bool fallback);

/** rst_json_get_array() - A member that is an array, or NULL. */
struct json_object *rst_json_get_array (struct json_object *object,
                                        const char *key);

/**
 * rst_json_copy_text() - Copies a member that is text.
 *
 * Return: false when it is absent, not text or too long for @size bytes.
 */
bool rst_json_copy_text (struct json_object *object, const char *key,
                         char *out, size_t size);

/** rst_json_set_text() - Adds a member that is text. */
void rst_json_set_text (struct json_object *object, const char *key,
                        const char *value);

/** rst_json_set_number() - Adds a member that is a number. */
void rst_json_set_number (struct json_object *object, const char *key,
                          int64_t value);

/** rst_json_set_bool() - Adds a member that is true or false. */
void rst_json_set_bool (struct json_object *object, const char *key,
                        bool value);

/**
 * rst_json_format_and_release() - Writes an object as text and releases it.
 *
 * Return: The text, to be freed with free().
 */
char *rst_json_format_and_release (struct json_object *object);

#endif
