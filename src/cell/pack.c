#include "cell/pack.h"

#include <string.h>

void
rst_pack_init_sequence (struct rst_pack *pack)
{
  msgpack_sbuffer_init (&pack->buffer);
  msgpack_packer_init (&pack->packer, &pack->buffer, msgpack_sbuffer_write);
}

void
rst_pack_init (struct rst_pack *pack, size_t count)
{
  rst_pack_init_sequence (pack);
  msgpack_pack_array (&pack->packer, count);
}

void
rst_pack_append (struct rst_pack *pack, const struct rst_pack *sequence)
{
  msgpack_sbuffer_write (&pack->buffer, sequence->buffer.data,
                         sequence->buffer.size);
}

void
rst_pack_clear (struct rst_pack *pack)
{
  msgpack_sbuffer_destroy (&pack->buffer);
}

void
rst_pack_array (struct rst_pack *pack, size_t count)
{
  msgpack_pack_array (&pack->packer, count);
}

void
rst_pack_int (struct rst_pack *pack, int64_t value)
{
  msgpack_pack_int64 (&pack->packer, value);
}

void
rst_pack_text (struct rst_pack *pack, const char *text)
{
  size_t length = text != NULL ? strlen (text) : 0;

  msgpack_pack_str (&pack->packer, length);
  msgpack_pack_str_body (&pack->packer, text != NULL ? text : "", length);
}

void
rst_pack_bytes (struct rst_pack *pack, const void *data, size_t length)
{
  msgpack_pack_bin (&pack->packer, length);
  msgpack_pack_bin_body (&pack->packer, data, length);
}

bool
rst_reader_open (struct rst_reader *reader, msgpack_unpacked *unpacked,
                 const void *data, size_t length)
{
  size_t offset = 0;

  msgpack_unpacked_init (unpacked);
  memset (reader, 0, sizeof *reader);
  if (msgpack_unpack_next (unpacked, data, length, &offset)
          != MSGPACK_UNPACK_SUCCESS
      || unpacked->data.type != MSGPACK_OBJECT_ARRAY)
    return false;
  reader->items = unpacked->data.via.array.ptr;
  reader->count = unpacked->data.via.array.size;
  return true;
}

static const msgpack_object *
next_item (struct rst_reader *reader)
{
  if (reader->position < reader->count)
    return &reader->items[reader->position++];
  reader->bad = true;
  return NULL;
}

int64_t
rst_reader_read_int (struct rst_reader *reader)
{
  const msgpack_object *item = next_item (reader);

  if (item != NULL && item->type == MSGPACK_OBJECT_POSITIVE_INTEGER)
    return (int64_t)item->via.u64;
  if (item != NULL && item->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
    return item->via.i64;
  reader->bad = true;
  return 0;
}

char *
rst_reader_read_text (struct rst_reader *reader)
{
  const msgpack_object *item = next_item (reader);

  /* The pointer of an empty string may be NULL, of which g_strndup() would
     return no copy. */
  if (item != NULL && item->type == MSGPACK_OBJECT_STR)
    return item->via.str.size > 0
               ? g_strndup (item->via.str.ptr, item->via.str.size)
               : g_strdup ("");
  reader->bad = true;
  return g_strdup ("");
}

void
rst_reader_copy_text (struct rst_reader *reader, char *out, size_t size)
{
  const msgpack_object *item = next_item (reader);

  out[0] = '\0';
  if (item == NULL || item->type != MSGPACK_OBJECT_STR
      || item->via.str.size >= size)
    {
      reader->bad = true;
      return;
    }
  if (item->via.str.size > 0)
    memcpy (out, item->via.str.ptr, item->via.str.size);
  out[item->via.str.size] = '\0';
}

const void *
rst_reader_read_bytes (struct rst_reader *reader, size_t *length)
{
  const msgpack_object *item = next_item (reader);

  *length = 0;
  if (item == NULL || item->type != MSGPACK_OBJECT_BIN)
    {
      reader->bad = true;
      return "";
    }
  *length = item->via.bin.size;
  return item->via.bin.ptr;
}

struct rst_reader
rst_reader_read_array (struct rst_reader *reader)
{
  const msgpack_object *item = next_item (reader);
  struct rst_reader inner = { 0 };

  if (item == NULL || item->type != MSGPACK_OBJECT_ARRAY)
    {
      reader->bad = true;
      return inner;
    }
  inner.items = item->via.array.ptr;
  inner.count = item->via.array.size;
  return inner;
}
