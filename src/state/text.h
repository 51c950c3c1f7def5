/**
 * DOC: text - texts of others that are carried as they are
 *
 * The scheduler carries texts that it does not read, such as a job's spec and
 * a task's checkpoints.  Inside they are C strings, in which the two bytes C0
 * 80 stand for U+0000, as in the "modified UTF-8" of Java.  These bytes are
 * not valid in UTF-8, so a text that has them already can't be carried.
 */
#ifndef RST_TEXT_H
#define RST_TEXT_H

#include <stddef.h>

/**
 * rst_text_encode() - Turns bytes into a C string.
 * @bytes: The text, which may have NULs.
 * @length: Its length in bytes.
 *
 * Return: The string, to be freed with g_free(), or NULL when the text can't
 * be carried.
 */
char *rst_text_encode (const char *bytes, size_t length);

/**
 * rst_text_decode() - Turns a C string back into the bytes that it stands for.
 * @text: A result of rst_text_encode().
 * @length: Set to their number.
 *
 * Return: The bytes, to be freed with g_free().
 */
char *rst_text_decode (const char *text, size_t *length);

/** rst_text_length() - Returns the number of bytes that a C string stands
    for. */
size_t rst_text_length (const char *text);

#endif
