#include "protocol/platform_http.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "state/json.h"
#include "transport/http_client.h"
#include "transport/transport.h"
#include "util/log.h"

#define LOG_DOMAIN "platform"

/** Largest number of slots, or amount of a resource, of an instance: sums over
    many instances stay far within the range of int64_t. */
#define CAPACITY_MAX G_MAXINT32

/** Largest numbers of open connections. */
#define STORE_CONNECTIONS_MAX 8
#define INSTANCE_CONNECTIONS_MAX 512
#define CONNECTIONS_PER_INSTANCE_MAX 60

/** Size of a URL or path with the final NUL. */
#define URL_SIZE_BYTES 512

/** Size of a call's NULL-terminated list of headers. */
#define HEADERS_MAX 10

/* How the body of a successful reply is parsed.  With BODY_NONE only its
   revision is read; with BODY_RAW it is passed on as it is. */
enum body_kind
{
  BODY_NONE,
  BODY_KV,
  BODY_KVS,
  BODY_INSTANCES,
  BODY_RUNS,
  BODY_RAW,
};

/* A call under way, and its reply once it has ended. */
struct rst_platform_request
{
  struct rst_platform_http *platform;
  enum body_kind kind;
  bool is_store_call;
  rst_platform_done done;
  void *data;
  struct rst_platform_reply reply;
  char *body;
};

struct rst_platform_http
{
  struct rst_platform_http_config config;
  struct rst_http_client *store_client;
  struct rst_http_client *instance_client;
  /* Number of entries of the last list of instances that can't be used; used
     on the thread of store_client only. */
  int rejected_entries;
};

/* ---- Replies ---------------------------------------------------------- */

static void
read_kv (struct json_object *item, struct rst_kv *out)
{
  const char *key = rst_json_get_text (item, "key");
  const char *value = rst_json_get_text (item, "value");

  out->key = g_strdup (key != NULL ? key : "");
  out->value = g_strdup (value != NULL ? value : "");
  out->revision = (uint64_t)rst_json_get_number (item, "revision", 0);
  out->deleted = rst_json_get_bool (item, "deleted", false);
}

static void
read_kvs (struct json_object *root, struct rst_platform_reply *reply)
{
  struct json_object *list = rst_json_get_array (root, "items");
  size_t count = list != NULL ? json_object_array_length (list) : 0;

  reply->kvs = g_new0 (struct rst_kv, count + 1);
  reply->kv_count = (int)count;
  for (size_t i = 0; i < count; i++)
    read_kv (json_object_array_get_idx (list, i), &reply->kvs[i]);
}

static void
copy_text_or_empty (struct json_object *item, const char *key, char *out,
                    size_t size)
{
  if (!rst_json_copy_text (item, key, out, size))
    out[0] = '\0';
}

static bool
read_capacity (struct json_object *item, struct rst_instance_info *out)
{
  return rst_json_read_number (item, "slots", 0, CAPACITY_MAX, &out->slots)
         && rst_json_read_number (item, "cpu_milli", 0, CAPACITY_MAX,
                                  &out->cpu)
         && rst_json_read_number (item, "memory_mb", 0, CAPACITY_MAX,
                                  &out->memory_mb)
         && rst_json_read_number (item, "accelerators", 0, CAPACITY_MAX,
                                  &out->accelerators);
}

/* Reads an entry of the list.  Returns what is wrong with it, or NULL. */
static const char *
read_instance (struct json_object *item, struct rst_instance_info *out)
{
  const char *kind = rst_json_get_text (item, "kind");
  const char *state = rst_json_get_text (item, "state");
  struct sockaddr_in address;

  memset (out, 0, sizeof *out);
  if (!rst_json_copy_text (item, "name", out->name, RST_NAME_SIZE)
      || out->name[0] == '\0')
    return "name: missing or too long";
  if (!rst_json_copy_text (item, "address", out->address, RST_ADDRESS_SIZE)
      || !rst_transport_parse_address (out->address, &address)
      || address.sin_port == 0)
    return "address: must be an IP number with a port from 1 to 65535";
  if (!read_capacity (item, out))
    return "slots, cpu_milli, memory_mb, accelerators: must be whole numbers "
           "from 0 to 2147483647";
  copy_text_or_empty (item, "availability_zone", out->zone, RST_NAME_SIZE);
  copy_text_or_empty (item, "rack", out->rack, RST_NAME_SIZE);
  out->kind = g_strcmp0 (kind, "worker") == 0 ? RST_WORKER : RST_RUNNER;
  out->leaving = g_strcmp0 (state, "leaving") == 0;
  return NULL;
}

/* The list is fetched all the time; logs only that it has changed. */
static void
log_rejected_entries (struct rst_platform_http *platform, int count,
                      const struct rst_instance_info *last,
                      const char *problem)
{
  char text[16];

  if (count == platform->rejected_entries)
    return;
  platform->rejected_entries = count;
  g_snprintf (text, sizeof text, "%d", count);
  if (count == 0)
    rst_info (LOG_DOMAIN, "All entries of the instance list can be used.");
  else
    rst_warning (LOG_DOMAIN,
                 "Entries of the instance list can't be used; the others are.",
                 "count", text, "last", last->name, "problem", problem);
}

static void
read_instances (struct rst_platform_http *platform, struct json_object *root,
                struct rst_platform_reply *reply)
{
  struct json_object *list = rst_json_get_array (root, "instances");
  size_t count = list != NULL ? json_object_array_length (list) : 0;
  struct rst_instance_info rejected = { 0 };
  const char *last_problem = NULL;

  reply->instances = g_new0 (struct rst_instance_info, count + 1);
  for (size_t i = 0; i < count; i++)
    {
      struct rst_instance_info *info
          = &reply->instances[reply->instance_count];
      const char *problem
          = read_instance (json_object_array_get_idx (list, i), info);

      if (problem == NULL)
        {
          reply->instance_count++;
          continue;
        }
      rejected = *info;
      last_problem = problem;
    }
  /* A reply without changes has no list. */
  if (list != NULL)
    log_rejected_entries (platform, (int)count - reply->instance_count,
                          &rejected, last_problem);
}

static int64_t
read_task_result (struct json_object *item)
{
  const char *name = rst_json_get_text (item, "state");

  for (int64_t i = RST_TASK_RUNNING; i <= RST_TASK_IN_DOUBT; i++)
    if (g_strcmp0 (name, rst_task_result_name ((uint64_t)i)) == 0)
      return i;
  return RST_TASK_LOST;
}

static void
read_run (struct json_object *item, struct rst_run_info *out)
{
  copy_text_or_empty (item, "id", out->id, sizeof out->id);
  copy_text_or_empty (item, "team", out->team, RST_NAME_SIZE);
  copy_text_or_empty (item, "job", out->job, RST_NAME_SIZE);
  copy_text_or_empty (item, "owner", out->owner, RST_NAME_SIZE);
  out->index = rst_json_get_number (item, "index", 0);
  out->attempt = rst_json_get_number (item, "attempt", 0);
  out->policy = rst_json_get_number (item, "policy", 0);
  out->cpu = rst_json_get_number (item, "cpu_milli", 0);
  out->memory_mb = rst_json_get_number (item, "memory_mb", 0);
  out->accelerators = rst_json_get_number (item, "accelerators", 0);
  out->run_ms = rst_json_get_number (item, "run_ms", 0);
  out->result = read_task_result (item);
}

static void
read_runs (struct json_object *root, struct rst_platform_reply *reply)
{
  struct json_object *list = rst_json_get_array (root, "work");
  size_t count = list != NULL ? json_object_array_length (list) : 0;

  reply->runs = g_new0 (struct rst_run_info, count + 1);
  reply->run_count = (int)count;
  for (size_t i = 0; i < count; i++)
    read_run (json_object_array_get_idx (list, i), &reply->runs[i]);
}

static void
read_json (struct rst_platform_request *request, const char *text)
{
  struct rst_platform_reply *reply = &request->reply;
  struct json_object *root = rst_json_parse (text);

  /* Not an empty reply: the scheduler would drop all that it knows. */
  if (root == NULL && request->kind != BODY_NONE)
    {
      rst_warning (LOG_DOMAIN, "Reply can't be read; its result is unknown.");
      reply->result = RST_PLATFORM_UNKNOWN;
      return;
    }
  reply->revision = (uint64_t)rst_json_get_number (root, "revision", 0);
  switch (request->kind)
    {
    case BODY_KV:
      reply->kvs = g_new0 (struct rst_kv, 1);
      reply->kv_count = 1;
      read_kv (root, reply->kvs);
      break;
    case BODY_KVS:
      read_kvs (root, reply);
      break;
    case BODY_INSTANCES:
      read_instances (request->platform, root, reply);
      break;
    case BODY_RUNS:
      read_runs (root, reply);
      break;
    default:
      break;
    }
  json_object_put (root);
}

/* An error status other than these does not tell whether the store has made
   the change, so the result is unknown. */
static int
map_store_status (int status)
{
  if (status == 200)
    return RST_PLATFORM_OK;
  if (status == 409)
    return RST_PLATFORM_CONFLICT;
  if (status == 404 || status == 410)
    return RST_PLATFORM_NOT_FOUND;
  return RST_PLATFORM_UNKNOWN;
}

static int
map_instance_status (int status)
{
  if (status == 200)
    return RST_PLATFORM_OK;
  if (status == 412)
    return RST_PLATFORM_FENCED;
  if (status == 404)
    return RST_PLATFORM_NOT_FOUND;
  if (status == 409 || status == 503 || (status >= 400 && status < 500))
    return RST_PLATFORM_REJECTED;
  return RST_PLATFORM_UNKNOWN;
}

static void
on_http_result (const struct rst_http_result *result, void *userdata)
{
  struct rst_platform_request *request = userdata;
  struct rst_platform_reply *reply = &request->reply;

  reply->status = result->status;
  reply->sent_at = result->sent_at;
  if (result->error == RST_TRANSPORT_NOT_SENT)
    reply->result = RST_PLATFORM_NOT_SENT;
  else if (result->error != RST_TRANSPORT_OK)
    reply->result = RST_PLATFORM_UNKNOWN;
  else
    reply->result = request->is_store_call
                        ? map_store_status (result->status)
                        : map_instance_status (result->status);
  if (reply->result == RST_PLATFORM_OK && request->kind == BODY_RAW)
    {
      request->body = g_memdup2 (result->body, result->length + 1);
      reply->body = request->body;
      reply->length = result->length;
    }
  else if (reply->result == RST_PLATFORM_OK)
    read_json (request, result->body);
  request->platform->config.deliver (request,
                                     request->platform->config.userdata);
}

void
rst_platform_request_complete (struct rst_platform_request *request)
{
  request->done (&request->reply, request->data);
  for (int i = 0; i < request->reply.kv_count; i++)
    {
      g_free (request->reply.kvs[i].key);
      g_free (request->reply.kvs[i].value);
    }
  g_free (request->reply.kvs);
  g_free (request->reply.instances);
  g_free (request->reply.runs);
  g_free (request->body);
  g_free (request);
}

/* ---- Calls ------------------------------------------------------------ */

static struct rst_platform_request *
request_create (struct rst_platform_http *platform, enum body_kind kind,
                bool is_store_call, rst_platform_done done, void *data)
{
  struct rst_platform_request *request
      = g_new0 (struct rst_platform_request, 1);

  request->platform = platform;
  request->kind = kind;
  request->is_store_call = is_store_call;
  request->done = done;
  request->data = data;
  return request;
}

static void
send_call (struct rst_http_client *client, struct rst_http_call *call,
           struct rst_platform_request *request)
{
  call->done = on_http_result;
  call->userdata = request;
  if (client != NULL
      && rst_http_client_send (client, call) == RST_TRANSPORT_OK)
    return;
  request->reply.result = RST_PLATFORM_NOT_SENT;
  request->platform->config.deliver (request,
                                     request->platform->config.userdata);
}

static void
send_store_call (struct rst_platform_http *platform, const char *method,
                 const char *path, const char *body, rst_ms extra_ms,
                 struct rst_platform_request *request)
{
  struct rst_http_call call = { 0 };
  char url[URL_SIZE_BYTES];

  g_snprintf (url, sizeof url, "http://%s%s", platform->config.store_address,
              path);
  call.method = method;
  call.url = url;
  call.body = body;
  call.length = body != NULL ? strlen (body) : 0;
  call.timeout_ms = platform->config.store_timeout_ms + extra_ms;
  send_call (platform->store_client, &call, request);
}

static void
store_get (void *userdata, const char *key, rst_platform_done done, void *data)
{
  struct rst_platform_http *platform = userdata;
  char path[URL_SIZE_BYTES];

  g_snprintf (path, sizeof path, "/v1/kv?key=%s", key);
  send_store_call (platform, "GET", path, NULL, 0,
                   request_create (platform, BODY_KV, true, done, data));
}

static void
store_list (void *userdata, const char *prefix, rst_platform_done done,
            void *data)
{
  struct rst_platform_http *platform = userdata;
  char path[URL_SIZE_BYTES];

  g_snprintf (path, sizeof path, "/v1/kv?prefix=%s", prefix);
  send_store_call (platform, "GET", path, NULL, 0,
                   request_create (platform, BODY_KVS, true, done, data));
}

static void
store_put (void *userdata, const char *key, const char *value,
           int64_t expected, uint64_t lease, rst_platform_done done,
           void *data)
{
  struct rst_platform_http *platform = userdata;
  char path[URL_SIZE_BYTES];

  g_snprintf (path, sizeof path,
              "/v1/kv?key=%s&expect=%" G_GINT64_FORMAT
              "&lease=%" G_GUINT64_FORMAT,
              key, expected, lease);
  send_store_call (platform, "PUT", path, value, 0,
                   request_create (platform, BODY_NONE, true, done, data));
}

static void
store_delete (void *userdata, const char *key, int64_t expected,
              rst_platform_done done, void *data)
{
  struct rst_platform_http *platform = userdata;
  char path[URL_SIZE_BYTES];

  g_snprintf (path, sizeof path, "/v1/kv?key=%s&expect=%" G_GINT64_FORMAT, key,
              expected);
  send_store_call (platform, "DELETE", path, NULL, 0,
                   request_create (platform, BODY_NONE, true, done, data));
}

static void
store_watch (void *userdata, const char *prefix, uint64_t after,
             rst_ms wait_ms, rst_platform_done done, void *data)
{
  struct rst_platform_http *platform = userdata;
  char path[URL_SIZE_BYTES];

  g_snprintf (path, sizeof path,
              "/v1/watch?prefix=%s&after=%" G_GUINT64_FORMAT
              "&wait_ms=%" G_GINT64_FORMAT,
              prefix, after, wait_ms);
  send_store_call (platform, "GET", path, NULL, wait_ms,
                   request_create (platform, BODY_KVS, true, done, data));
}

static void
lease_grant (void *userdata, rst_ms ttl_ms, rst_platform_done done, void *data)
{
  struct rst_platform_http *platform = userdata;
  char path[URL_SIZE_BYTES];

  g_snprintf (path, sizeof path, "/v1/lease?ttl_ms=%" G_GINT64_FORMAT, ttl_ms);
  send_store_call (platform, "POST", path, "", 0,
                   request_create (platform, BODY_NONE, true, done, data));
}

static void
lease_renew (void *userdata, uint64_t lease, rst_platform_done done,
             void *data)
{
  struct rst_platform_http *platform = userdata;
  char path[URL_SIZE_BYTES];

  g_snprintf (path, sizeof path, "/v1/lease?id=%" G_GUINT64_FORMAT, lease);
  send_store_call (platform, "PUT", path, "", 0,
                   request_create (platform, BODY_NONE, true, done, data));
}

static void
lease_revoke (void *userdata, uint64_t lease, rst_platform_done done,
              void *data)
{
  struct rst_platform_http *platform = userdata;
  char path[URL_SIZE_BYTES];

  g_snprintf (path, sizeof path, "/v1/lease?id=%" G_GUINT64_FORMAT, lease);
  send_store_call (platform, "DELETE", path, NULL, 0,
                   request_create (platform, BODY_NONE, true, done, data));
}

static void
instance_list_fetch (void *userdata, uint64_t after, rst_platform_done done,
                     void *data)
{
  struct rst_platform_http *platform = userdata;
  struct rst_http_call call = { 0 };
  char url[URL_SIZE_BYTES];

  g_snprintf (url, sizeof url,
              "http://%s/v1/instances?after=%" G_GUINT64_FORMAT,
              platform->config.list_address, after);
  call.method = "GET";
  call.url = url;
  call.timeout_ms = platform->config.store_timeout_ms;
  send_call (platform->store_client, &call,
             request_create (platform, BODY_INSTANCES, false, done, data));
}

static void
query_run (void *userdata, const char *address,
           const struct rst_query_request *query, rst_platform_done done,
           void *data)
{
  struct rst_platform_http *platform = userdata;
  struct rst_http_call call = { 0 };
  char url[URL_SIZE_BYTES];
  char headers[5][2 * RST_NAME_SIZE + 32];
  const char *header_list[HEADERS_MAX] = { 0 };

  g_snprintf (url, sizeof url, "http://%s/v1/run", address);
  g_snprintf (headers[0], sizeof headers[0], "X-Request-Id: %s", query->id);
  g_snprintf (headers[1], sizeof headers[1], "X-Team: %s", query->team);
  g_snprintf (headers[2], sizeof headers[2], "X-Epoch: %" G_GUINT64_FORMAT,
              query->epoch);
  g_snprintf (headers[3], sizeof headers[3], "X-Idempotent: %s",
              query->idempotent ? "true" : "false");
  g_snprintf (headers[4], sizeof headers[4],
              "X-Deadline-Ms: %" G_GINT64_FORMAT, query->deadline_ms);
  for (int i = 0; i < 5; i++)
    header_list[i] = headers[i];
  call.method = "POST";
  call.url = url;
  call.headers = header_list;
  call.body = query->body != NULL ? query->body : "";
  call.length = query->length;
  call.timeout_ms = query->deadline_ms;
  call.not_after = query->not_after;
  call.new_connection = !query->idempotent;
  send_call (platform->instance_client, &call,
             request_create (platform, BODY_RAW, false, done, data));
}

static void
send_instance_call (struct rst_platform_http *platform, const char *address,
                    const char *path, struct json_object *body,
                    rst_ms not_after, struct rst_platform_request *request)
{
  struct rst_http_call call = { 0 };
  char url[URL_SIZE_BYTES];
  char *text = rst_json_format_and_release (body);

  g_snprintf (url, sizeof url, "http://%s%s", address, path);
  call.method = "POST";
  call.url = url;
  call.body = text;
  call.length = strlen (text);
  call.timeout_ms = platform->config.instance_timeout_ms;
  call.not_after = not_after;
  send_call (platform->instance_client, &call, request);
  free (text);
}

static struct json_object *
create_command_body (uint64_t epoch)
{
  struct json_object *body = json_object_new_object ();

  rst_json_set_number (body, "epoch", (int64_t)epoch);
  return body;
}

static void
instance_inspect (void *userdata, const char *address, uint64_t epoch,
                  rst_platform_done done, void *data)
{
  struct rst_platform_http *platform = userdata;

  send_instance_call (platform, address, "/v1/inspect",
                      create_command_body (epoch), 0,
                      request_create (platform, BODY_RUNS, false, done, data));
}

static void
task_start (void *userdata, const char *address, uint64_t epoch,
            const struct rst_run_info *task, rst_ms lease_ms, rst_ms not_after,
            rst_platform_done done, void *data)
{
  struct rst_platform_http *platform = userdata;
  struct json_object *body = create_command_body (epoch);

  rst_json_set_number (body, "lease_ms", lease_ms);
  rst_json_set_text (body, "id", task->id);
  rst_json_set_text (body, "team", task->team);
  rst_json_set_text (body, "job", task->job);
  rst_json_set_text (body, "owner", task->owner);
  rst_json_set_number (body, "index", task->index);
  rst_json_set_number (body, "attempt", task->attempt);
  rst_json_set_number (body, "policy", task->policy);
  rst_json_set_number (body, "cpu_milli", task->cpu);
  rst_json_set_number (body, "memory_mb", task->memory_mb);
  rst_json_set_number (body, "accelerators", task->accelerators);
  rst_json_set_number (body, "run_ms", task->run_ms);
  send_instance_call (platform, address, "/v1/tasks", body, not_after,
                      request_create (platform, BODY_NONE, false, done, data));
}

static void
task_renew (void *userdata, const char *address, uint64_t epoch,
            rst_ms lease_ms, const char *const *ended_ids,
            rst_platform_done done, void *data)
{
  struct rst_platform_http *platform = userdata;
  struct json_object *body = create_command_body (epoch);
  struct json_object *list = json_object_new_array ();

  for (int i = 0; ended_ids[i] != NULL; i++)
    json_object_array_add (list, json_object_new_string (ended_ids[i]));
  rst_json_set_number (body, "lease_ms", lease_ms);
  json_object_object_add (body, "seen", list);
  send_instance_call (platform, address, "/v1/renew", body, 0,
                      request_create (platform, BODY_RUNS, false, done, data));
}

static void
task_stop (void *userdata, const char *address, uint64_t epoch, const char *id,
           bool checkpoint, rst_platform_done done, void *data)
{
  struct rst_platform_http *platform = userdata;
  struct json_object *body = create_command_body (epoch);

  rst_json_set_text (body, "id", id);
  rst_json_set_bool (body, "checkpoint", checkpoint);
  send_instance_call (platform, address, "/v1/stop", body, 0,
                      request_create (platform, BODY_RUNS, false, done, data));
}

static const struct rst_platform platform_table = {
  .store_get = store_get,
  .store_list = store_list,
  .store_put = store_put,
  .store_delete = store_delete,
  .store_watch = store_watch,
  .lease_grant = lease_grant,
  .lease_renew = lease_renew,
  .lease_revoke = lease_revoke,
  .instance_list_fetch = instance_list_fetch,
  .query_run = query_run,
  .instance_inspect = instance_inspect,
  .task_start = task_start,
  .task_renew = task_renew,
  .task_stop = task_stop,
};

const struct rst_platform *
rst_platform_http_get_table (void)
{
  return &platform_table;
}

struct rst_platform_http *
rst_platform_http_create (const struct rst_platform_http_config *config)
{
  struct rst_platform_http *platform = g_new0 (struct rst_platform_http, 1);

  platform->config = *config;
  platform->store_client = rst_http_client_create (STORE_CONNECTIONS_MAX, 0);
  platform->instance_client = rst_http_client_create (
      INSTANCE_CONNECTIONS_MAX, CONNECTIONS_PER_INSTANCE_MAX);
  if (platform->store_client == NULL || platform->instance_client == NULL)
    {
      rst_platform_http_close (platform);
      rst_platform_http_destroy (platform);
      return NULL;
    }
  return platform;
}

void
rst_platform_http_close (struct rst_platform_http *platform)
{
  rst_http_client_destroy (platform->store_client);
  rst_http_client_destroy (platform->instance_client);
  platform->store_client = NULL;
  platform->instance_client = NULL;
}

void
rst_platform_http_destroy (struct rst_platform_http *platform)
{
  g_free (platform);
}
