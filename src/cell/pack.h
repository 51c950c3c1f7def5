/**
 * DOC: pack - writing and reading msgpack sequences
 *
 * Thin forms over msgpack-c.  A reader walks the members of one array and
 * remembers the first mismatch, so that a decoder checks once at its end.
 */
#ifndef RST_PACK_H
#define RST_PACK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <msgpack.h>

/**
 * struct rst_pack - A message being written.
 * @buffer: Its bytes.
 * @packer: Writes into @buffer.
 */
struct rst_pack
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;
};

/** rst_pack_init() - Begins a message whose top is an array of @count. */
void rst_pack_init (struct rst_pack *pack, size_t count);

/** rst_pack_init_sequence() - Begins a sequence that is no message by itself.
 */
void rst_pack_init_sequence (struct rst_pack *pack);

/** rst_pack_append() - Writes the members of a sequence behind the others. */
void rst_pack_append (struct rst_pack *pack, const struct rst_pack *sequence);

/** rst_pack_clear() - Frees a message's bytes. */
void rst_pack_clear (struct rst_pack *pack);

/** rst_pack_array() - Begins an array of @count members. */
void rst_pack_array (struct rst_pack *pack, size_t count);

/** rst_pack_int() - Writes a whole number. */
void rst_pack_int (struct rst_pack *pack, int64_t value);

/** rst_pack_text() - Writes text; NULL is written as "". */
void rst_pack_text (struct rst_pack *pack, const char *text);

/** rst_pack_bytes() - Writes bytes. */
void rst_pack_bytes (struct rst_pack *pack, const void *data, size_t length);

/**
 * struct rst_reader - A walk over the members of an array.
 * @items: The members.
 * @count: Their number.
 * @position: The next member.
 * @bad: Whether a member was missing or of another type.
 */
struct rst_reader
{
  const msgpack_object *items;
  uint32_t count;
  uint32_t position;
  bool bad;
};

/**
 * rst_reader_open() - Decodes bytes whose top is an array.
 * @reader: Set to its first member.
 * @unpacked: Holds the decoded objects; freed with msgpack_unpacked_destroy().
 *
 * Return: false when the bytes are not one msgpack array.
 */
bool rst_reader_open (struct rst_reader *reader, msgpack_unpacked *unpacked,
                      const void *data, size_t length);

/** rst_reader_read_int() - Reads a whole number; 0 on a mismatch. */
int64_t rst_reader_read_int (struct rst_reader *reader);

/** rst_reader_read_text() - Reads text into new memory; "" on a mismatch. */
char *rst_reader_read_text (struct rst_reader *reader);

/** rst_reader_copy_text() - Reads text into an array of @size chars. */
void rst_reader_copy_text (struct rst_reader *reader, char *out, size_t size);

/** rst_reader_read_bytes() - Reads bytes, owned by the decoded objects. */
const void *rst_reader_read_bytes (struct rst_reader *reader, size_t *length);

/** rst_reader_read_array() - Reads an array; an empty one on a mismatch. */
struct rst_reader rst_reader_read_array (struct rst_reader *reader);

#endif
