#include "protocol/message.h"

#include <string.h>

#include <glib.h>
#include <msgpack.h>

/** Array elements before the fields: version, type and request number. */
#define HEADER_ELEMENTS 3

/* How a field is encoded; text and blobs are owned by the message. */
enum field_type
{
  FIELD_UINT,
  FIELD_BOOL,
  FIELD_TEXT,
  FIELD_BLOB,
};

/* A field of a message and its offset in the message's structure. */
struct field
{
  const char *name;
  enum field_type type;
  size_t offset;
};

/* The fields of a message type in the order of the frame. */
struct layout
{
  const char *name;
  const struct field *fields;
  int count;
};

#define UINT_FIELD(structure, member)                                         \
  {                                                                           \
#member, FIELD_UINT, offsetof(struct structure, member)                   \
  }
#define BOOL_FIELD(structure, member)                                         \
  {                                                                           \
#member, FIELD_BOOL, offsetof(struct structure, member)                   \
  }
#define TEXT_FIELD(structure, member)                                         \
  {                                                                           \
#member, FIELD_TEXT, offsetof(struct structure, member)                   \
  }
#define BLOB_FIELD(structure, member)                                         \
  {                                                                           \
#member, FIELD_BLOB, offsetof(struct structure, member)                   \
  }

static const struct field hello_fields[] = {
  UINT_FIELD (rst_hello, role),    TEXT_FIELD (rst_hello, name),
  TEXT_FIELD (rst_hello, zone),    TEXT_FIELD (rst_hello, incarnation),
  TEXT_FIELD (rst_hello, address), TEXT_FIELD (rst_hello, status_address),
};

static const struct field promise_fields[] = {
  TEXT_FIELD (rst_promise, incarnation),
  UINT_FIELD (rst_promise, number),
  UINT_FIELD (rst_promise, duration_ms),
};

static const struct field digest_fields[] = {
  UINT_FIELD (rst_settings_digest, hash),
  UINT_FIELD (rst_settings_digest, newest),
};

static const struct field branch_fields[] = {
  TEXT_FIELD (rst_settings_branch, key),
  UINT_FIELD (rst_settings_branch, revision),
  BLOB_FIELD (rst_settings_branch, value),
};

static const struct field load_fields[] = {
  TEXT_FIELD (rst_load, incarnation),
  TEXT_FIELD (rst_load, zone),
  UINT_FIELD (rst_load, slots_free),
  UINT_FIELD (rst_load, slots_total),
  UINT_FIELD (rst_load, queued),
  UINT_FIELD (rst_load, cpu_free),
  UINT_FIELD (rst_load, memory_free_mb),
  UINT_FIELD (rst_load, accelerators_free),
  UINT_FIELD (rst_load, largest_cpu_free),
  BOOL_FIELD (rst_load, ready),
};

static const struct field query_fields[] = {
  TEXT_FIELD (rst_query, team),   TEXT_FIELD (rst_query, request_id),
  BOOL_FIELD (rst_query, keyed),  BOOL_FIELD (rst_query, idempotent),
  BOOL_FIELD (rst_query, urgent), UINT_FIELD (rst_query, deadline_ms),
  UINT_FIELD (rst_query, hops),   BLOB_FIELD (rst_query, body),
};

static const struct field answer_fields[] = {
  UINT_FIELD (rst_answer, outcome),  UINT_FIELD (rst_answer, status),
  TEXT_FIELD (rst_answer, reason),   TEXT_FIELD (rst_answer, detail),
  TEXT_FIELD (rst_answer, instance), UINT_FIELD (rst_answer, epoch),
  BLOB_FIELD (rst_answer, body),
};

static const struct field job_call_fields[] = {
  UINT_FIELD (rst_job_call, operation), TEXT_FIELD (rst_job_call, team),
  TEXT_FIELD (rst_job_call, job),       TEXT_FIELD (rst_job_call, state),
  UINT_FIELD (rst_job_call, hops),      BLOB_FIELD (rst_job_call, body),
};

static const struct field job_reply_fields[] = {
  UINT_FIELD (rst_job_reply, status),
  BLOB_FIELD (rst_job_reply, body),
};

static const struct field task_start_fields[] = {
  TEXT_FIELD (rst_task_start, team),
  TEXT_FIELD (rst_task_start, job),
  TEXT_FIELD (rst_task_start, owner),
  UINT_FIELD (rst_task_start, index),
  UINT_FIELD (rst_task_start, attempt),
  UINT_FIELD (rst_task_start, policy),
  UINT_FIELD (rst_task_start, cpu),
  UINT_FIELD (rst_task_start, memory_mb),
  UINT_FIELD (rst_task_start, accelerators),
  UINT_FIELD (rst_task_start, run_ms),
  UINT_FIELD (rst_task_start, deadline_ms),
  BOOL_FIELD (rst_task_start, hold_only),
  BOOL_FIELD (rst_task_start, run_once),
};

static const struct field task_event_fields[] = {
  TEXT_FIELD (rst_task_event, job),      UINT_FIELD (rst_task_event, index),
  UINT_FIELD (rst_task_event, attempt),  UINT_FIELD (rst_task_event, result),
  TEXT_FIELD (rst_task_event, instance), TEXT_FIELD (rst_task_event, reason),
};

static const struct field adopted_fields[] = {
  TEXT_FIELD (rst_adopted_runs, instance),
  TEXT_FIELD (rst_adopted_runs, team),
  UINT_FIELD (rst_adopted_runs, count),
};

static const struct field record_fields[] = {
  TEXT_FIELD (rst_request_record, key),
  UINT_FIELD (rst_request_record, state),
  UINT_FIELD (rst_request_record, outcome),
  UINT_FIELD (rst_request_record, status),
  TEXT_FIELD (rst_request_record, reason),
  TEXT_FIELD (rst_request_record, detail),
  TEXT_FIELD (rst_request_record, instance),
  UINT_FIELD (rst_request_record, epoch),
  BLOB_FIELD (rst_request_record, body),
};

#define LAYOUT(name, fields)                                                  \
  {                                                                           \
    name, fields, G_N_ELEMENTS (fields)                                       \
  }

static const struct layout layouts[RST_MESSAGE_TYPES] = {
  [RST_HELLO] = LAYOUT ("hello", hello_fields),
  [RST_PROMISE_REQUEST] = LAYOUT ("promise-ask", promise_fields),
  [RST_PROMISE] = LAYOUT ("promise", promise_fields),
  [RST_SETTINGS_DIGEST] = LAYOUT ("digest", digest_fields),
  [RST_SETTINGS_BRANCH] = LAYOUT ("branch", branch_fields),
  [RST_LOAD] = LAYOUT ("load", load_fields),
  [RST_QUERY] = LAYOUT ("query", query_fields),
  [RST_ANSWER] = LAYOUT ("answer", answer_fields),
  [RST_JOB_CALL] = LAYOUT ("job-call", job_call_fields),
  [RST_JOB_REPLY] = LAYOUT ("job-reply", job_reply_fields),
  [RST_TASK_START] = LAYOUT ("task-start", task_start_fields),
  [RST_TASK_STARTED] = LAYOUT ("task-started", task_event_fields),
  [RST_TASK_END] = LAYOUT ("task-end", task_event_fields),
  [RST_TASK_END_ACK] = LAYOUT ("task-end-seen", task_event_fields),
  [RST_TASK_STOP] = LAYOUT ("task-stop", task_event_fields),
  [RST_ADOPTED] = LAYOUT ("adopted", adopted_fields),
  [RST_TASK_FIND] = LAYOUT ("task-find", task_event_fields),
  [RST_TASK_FOUND] = LAYOUT ("task-found", task_event_fields),
  [RST_REQUEST_RECORD_QUERY] = LAYOUT ("record-ask", record_fields),
  [RST_REQUEST_RECORD] = LAYOUT ("record", record_fields),
};

/* All members of the union have the same address. */
#define PAYLOAD(message) ((char *)&(message)->hello)

const char *
rst_protocol_strerror (int error)
{
  switch (error)
    {
    case RST_PROTOCOL_OK:
      return "success";
    case RST_PROTOCOL_MALFORMED:
      return "malformed message";
    case RST_PROTOCOL_VERSION:
      return "unsupported protocol version";
    case RST_PROTOCOL_TYPE:
      return "unknown message type";
    case RST_PROTOCOL_FIELD:
      return "invalid field";
    case RST_PROTOCOL_TRANSPORT:
      return "transport error";
    default:
      return "unknown protocol error";
    }
}

const char *
rst_request_outcome_name (uint64_t outcome)
{
  static const char *const names[] = { "answered", "not-run", "unknown" };

  return outcome < G_N_ELEMENTS (names) ? names[outcome] : "unknown";
}

const char *
rst_message_type_name (uint64_t type)
{
  if (type == 0 || type >= RST_MESSAGE_TYPES)
    return "unknown";
  return layouts[type].name;
}

void
rst_blob_set (struct rst_blob *blob, const void *data, size_t length)
{
  blob->data = g_malloc (length + 1);
  if (length > 0)
    memcpy (blob->data, data, length);
  blob->data[length] = '\0';
  blob->length = length;
}

void
rst_blob_free (struct rst_blob *blob)
{
  g_free (blob->data);
  blob->data = NULL;
  blob->length = 0;
}

static void
pack_text (msgpack_packer *packer, const char *text)
{
  size_t length = text != NULL ? strlen (text) : 0;

  msgpack_pack_str (packer, length);
  if (length > 0)
    msgpack_pack_str_body (packer, text, length);
}

static void
pack_blob (msgpack_packer *packer, const struct rst_blob *blob)
{
  msgpack_pack_bin (packer, blob->length);
  if (blob->length > 0)
    msgpack_pack_bin_body (packer, blob->data, blob->length);
}

static void
pack_field (msgpack_packer *packer, const struct field *field,
            const char *payload)
{
  const void *value = payload + field->offset;

  switch (field->type)
    {
    case FIELD_UINT:
      msgpack_pack_uint64 (packer, *(const uint64_t *)value);
      break;
    case FIELD_BOOL:
      if (*(const bool *)value)
        msgpack_pack_true (packer);
      else
        msgpack_pack_false (packer);
      break;
    case FIELD_TEXT:
      pack_text (packer, *(char *const *)value);
      break;
    case FIELD_BLOB:
      pack_blob (packer, value);
      break;
    }
}

int
rst_message_encode (const struct rst_message *message, struct rst_blob *out)
{
  const struct layout *layout;
  msgpack_sbuffer buffer;
  msgpack_packer packer;

  if (message->type == 0 || message->type >= RST_MESSAGE_TYPES)
    return RST_PROTOCOL_TYPE;
  layout = &layouts[message->type];
  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, (size_t)layout->count + HEADER_ELEMENTS);
  msgpack_pack_uint64 (&packer, RST_MESSAGE_VERSION);
  msgpack_pack_uint64 (&packer, message->type);
  msgpack_pack_uint64 (&packer, message->id);
  for (int i = 0; i < layout->count; i++)
    pack_field (&packer, &layout->fields[i], PAYLOAD (message));
  rst_blob_set (out, buffer.data, buffer.size);
  msgpack_sbuffer_destroy (&buffer);
  return RST_PROTOCOL_OK;
}

static bool
unpack_field (const struct field *field, const msgpack_object *object,
              char *payload)
{
  void *value = payload + field->offset;

  switch (field->type)
    {
    case FIELD_UINT:
      if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
        return false;
      *(uint64_t *)value = object->via.u64;
      return true;
    case FIELD_BOOL:
      if (object->type != MSGPACK_OBJECT_BOOLEAN)
        return false;
      *(bool *)value = object->via.boolean;
      return true;
    case FIELD_TEXT:
      if (object->type != MSGPACK_OBJECT_STR
          || memchr (object->via.str.ptr, '\0', object->via.str.size) != NULL)
        return false;
      *(char **)value = g_strndup (object->via.str.ptr, object->via.str.size);
      return true;
    default:
      if (object->type != MSGPACK_OBJECT_BIN)
        return false;
      rst_blob_set (value, object->via.bin.ptr, object->via.bin.size);
      return true;
    }
}

static int
unpack_header (const msgpack_object *root, struct rst_message *out)
{
  const msgpack_object *header;

  if (root->type != MSGPACK_OBJECT_ARRAY
      || root->via.array.size < HEADER_ELEMENTS)
    return RST_PROTOCOL_MALFORMED;
  header = root->via.array.ptr;
  for (int i = 0; i < HEADER_ELEMENTS; i++)
    if (header[i].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
      return RST_PROTOCOL_MALFORMED;
  if (header[0].via.u64 != RST_MESSAGE_VERSION)
    return RST_PROTOCOL_VERSION;
  if (header[1].via.u64 == 0 || header[1].via.u64 >= RST_MESSAGE_TYPES)
    return RST_PROTOCOL_TYPE;
  out->type = header[1].via.u64;
  out->id = header[2].via.u64;
  if (root->via.array.size
      != (uint32_t)layouts[out->type].count + HEADER_ELEMENTS)
    return RST_PROTOCOL_MALFORMED;
  return RST_PROTOCOL_OK;
}

static int
unpack_message (const msgpack_object *root, struct rst_message *out,
                const char **field)
{
  const struct layout *layout;
  int error = unpack_header (root, out);

  if (error != RST_PROTOCOL_OK)
    return error;
  layout = &layouts[out->type];
  for (int i = 0; i < layout->count; i++)
    if (!unpack_field (&layout->fields[i],
                       &root->via.array.ptr[HEADER_ELEMENTS + i],
                       PAYLOAD (out)))
      {
        *field = layout->fields[i].name;
        return RST_PROTOCOL_FIELD;
      }
  return RST_PROTOCOL_OK;
}

int
rst_message_decode (const void *data, size_t length, struct rst_message *out,
                    const char **field)
{
  msgpack_unpacked unpacked;
  size_t offset = 0;
  int error = RST_PROTOCOL_MALFORMED;

  memset (out, 0, sizeof *out);
  *field = NULL;
  if (length > RST_MESSAGE_MAX_BYTES)
    return RST_PROTOCOL_MALFORMED;
  msgpack_unpacked_init (&unpacked);
  if (msgpack_unpack_next (&unpacked, data, length, &offset)
          == MSGPACK_UNPACK_SUCCESS
      && offset == length)
    error = unpack_message (&unpacked.data, out, field);
  msgpack_unpacked_destroy (&unpacked);
  if (error != RST_PROTOCOL_OK)
    rst_message_clear (out);
  return error;
}

void
rst_message_copy (const struct rst_message *message, struct rst_message *out)
{
  const struct layout *layout;

  *out = *message;
  if (message->type == 0 || message->type >= RST_MESSAGE_TYPES)
    return;
  layout = &layouts[message->type];
  for (int i = 0; i < layout->count; i++)
    {
      void *value = PAYLOAD (out) + layout->fields[i].offset;

      if (layout->fields[i].type == FIELD_TEXT)
        *(char **)value
            = g_strdup (*(char **)value != NULL ? *(char **)value : "");
      else if (layout->fields[i].type == FIELD_BLOB)
        {
          const struct rst_blob blob = *(struct rst_blob *)value;

          rst_blob_set (value, blob.data, blob.length);
        }
    }
}

void
rst_message_clear (struct rst_message *message)
{
  const struct layout *layout;

  if (message->type > 0 && message->type < RST_MESSAGE_TYPES)
    {
      layout = &layouts[message->type];
      for (int i = 0; i < layout->count; i++)
        {
          void *value = PAYLOAD (message) + layout->fields[i].offset;

          if (layout->fields[i].type == FIELD_TEXT)
            g_free (*(char **)value);
          else if (layout->fields[i].type == FIELD_BLOB)
            rst_blob_free (value);
        }
    }
  memset (message, 0, sizeof *message);
}
