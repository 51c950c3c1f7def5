/**
 * DOC: pack - encoding and decoding of msgpack messages
 *
 * Wraps msgpack-c.  A reader walks over the members of an array and records
 * whether any did not match, so that a decoder checks for errors only once, at
 * its end.
 */
#ifndef RST_PACK_H
#define RST_PACK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <msgpack.h>

/**
 * struct rst_pack - A message being encoded.
 * @buffer: Encoded bytes.
 * @packer: Encoder that writes into @buffer.
 */
struct rst_pack
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;
};

/** rst_pack_init() - Begins a message, an array of @count members. */
void rst_pack_init (struct rst_pack *pack, size_t count);

/**
 * rst_pack_init_sequence() - Begins a sequence without an array around it.
 *
 * It becomes part of a message with rst_pack_append().
 */
void rst_pack_init_sequence (struct rst_pack *pack);

/** rst_pack_append() - Appends the members of a sequence to a message. */
void rst_pack_append (struct rst_pack *pack, const struct rst_pack *sequence);

/** rst_pack_clear() - Frees the encoded bytes. */
void rst_pack_clear (struct rst_pack *pack);

/** rst_pack_array() - Begins a nested array of @count members. */
void rst_pack_array (struct rst_pack *pack, size_t count);

/** rst_pack_int() - Appends an integer. */
void rst_pack_int (struct rst_pack *pack, int64_t value);

/** rst_pack_text() - Appends a string; NULL is encoded as "". */
void rst_pack_text (struct rst_pack *pack, const char *text);

/** rst_pack_bytes() - Appends binary data. */
void rst_pack_bytes (struct rst_pack *pack, const void *data, size_t length);

/**
 * struct rst_reader - Position in the members of an array.
 * @items: Members of the array.
 * @count: Length of @items.
 * @position: Index of the next member.
 * @bad: Whether a member was missing or had another type than expected.
 */
struct rst_reader
{
  const msgpack_object *items;
  uint32_t count;
  uint32_t position;
  bool bad;
};

/**
 * rst_reader_open() - Decodes a message.
 * @reader: Set to the first member of the message.
 * @unpacked: Set to the decoded objects.  The caller frees it with
 *   msgpack_unpacked_destroy(), also on failure, and keeps it as long as it
 *   uses @reader.
 *
 * Return: false when the bytes don't begin with a msgpack array.
 */
bool rst_reader_open (struct rst_reader *reader, msgpack_unpacked *unpacked,
                      const void *data, size_t length);

/** rst_reader_read_int() - Reads an integer; 0 on a mismatch. */
int64_t rst_reader_read_int (struct rst_reader *reader);

/**
 * rst_reader_read_text() - Reads a string.
 *
 * Return: A copy that the caller frees; "" on a mismatch.
 */
char *rst_reader_read_text (struct rst_reader *reader);

/**
 * rst_reader_copy_text() - Reads a string into an array.
 * @out: Set to the string, or to "" on a mismatch.
 * @size: Size of @out; a string that does not fit is a mismatch.
 */
void rst_reader_copy_text (struct rst_reader *reader, char *out, size_t size);

/**
 * rst_reader_read_bytes() - Reads binary data.
 * @length: Set to the length in bytes; 0 on a mismatch.
 *
 * Return: The bytes, which the decoded objects own; never NULL.
 */
const void *rst_reader_read_bytes (struct rst_reader *reader, size_t *length);

/** rst_reader_read_array() - Reads a nested array; empty on a mismatch. */
struct rst_reader rst_reader_read_array (struct rst_reader *reader);

#endif
