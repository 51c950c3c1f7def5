/* Authenticates and admits requests of callers. */
#include "coordination/entry_private.h"

#include <stdlib.h>
#include <string.h>
#include <glib.h>

#define LOG_DOMAIN "route"

/** Deadline of a query whose caller sets none. */
#define DEFAULT_DEADLINE_MS 10000

/** Time after the deadline at which a request fails with an unknown outcome.
 */
#define DEADLINE_GRACE_MS 1000

/** Timeout of an operation on jobs. */
#define JOB_CALL_TIMEOUT_MS 10000

/** Bound on the values of a job, which has some 20 and no list. */
#define JOB_CONTAINERS_MAX 1024
#define JOB_SEPARATORS_MAX 16384

/** Scheme in the Authorization header, before the key. */
#define BEARER_PREFIX "Bearer "

static const struct rst_team *
find_team_by_key (const struct rst_entry *entry, const char *authorization)
{
  if (authorization == NULL
      || !g_str_has_prefix (authorization, BEARER_PREFIX))
    return NULL;
  if (RST_FAULT (RST_FAULT_ACCEPT_WITHDRAWN_KEY))
    {
      char **parts
          = g_strsplit (authorization + strlen (BEARER_PREFIX), "/", 2);
      const struct rst_team *team
          = rst_settings_find_team (entry->settings, parts[0]);

      g_strfreev (parts);
      return team;
    }
  return rst_settings_find_team_by_key (
      entry->settings, authorization + strlen (BEARER_PREFIX));
}

/* Parses the headers of a query.  Returns what is wrong with them, or NULL. */
static const char *
parse_query_headers (const struct rst_entry_request *request,
                     struct rst_query *out, rst_ms *deadline_ms)
{
  guint64 number;

  if (request->idempotent != NULL && strcmp (request->idempotent, "true") != 0
      && strcmp (request->idempotent, "false") != 0)
    return "X-Idempotent: must be true or false";
  out->idempotent = request->idempotent != NULL
                    && strcmp (request->idempotent, "true") == 0;
  if (request->urgency != NULL && strcmp (request->urgency, "urgent") != 0
      && strcmp (request->urgency, "normal") != 0)
    return "X-Urgency: must be urgent or normal";
  out->urgent
      = request->urgency != NULL && strcmp (request->urgency, "urgent") == 0;
  if (request->request_id != NULL
      && (request->request_id[0] == '\0'
          || strlen (request->request_id) >= RST_NAME_SIZE))
    return "Idempotency-Key: must have 1 to 63 bytes";
  *deadline_ms = DEFAULT_DEADLINE_MS;
  if (request->deadline_ms == NULL)
    return NULL;
  if (!g_ascii_string_to_unsigned (request->deadline_ms, 10, 1, INT32_MAX,
                                   &number, NULL))
    return "X-Deadline-Ms: must be a whole number of milliseconds";
  *deadline_ms = (rst_ms)number;
  return NULL;
}

static struct pending_request *
add_pending (struct rst_entry *entry, void *handle, rst_ms deadline_ms)
{
  struct pending_request *pending = g_new0 (struct pending_request, 1);

  pending->id = ++entry->last_id;
  pending->handle = handle;
  pending->deadline = rst_entry_now (entry) + deadline_ms;
  pending->expires_at = pending->deadline + DEADLINE_GRACE_MS;
  g_hash_table_insert (entry->pending, &pending->id, pending);
  return pending;
}

static void
accept_query (struct rst_entry *entry, void *handle,
              const struct rst_entry_request *request,
              const struct rst_team *team)
{
  struct rst_query query = { 0 };
  struct pending_request *pending;
  rst_ms deadline_ms;
  const char *problem = parse_query_headers (request, &query, &deadline_ms);
  rst_ms bound = rst_settings_get_cell (entry->settings)->max_deadline_ms;

  if (problem != NULL)
    {
      rst_entry_reply_error (entry, handle, 400, RST_REQUEST_NOT_RUN,
                             "bad-request", problem);
      return;
    }
  pending = add_pending (entry, handle, MIN (deadline_ms, bound));
  query.team
      = g_strdup (RST_FAULT (RST_FAULT_WRONG_TEAM) ? "team0" : team->name);
  query.keyed = request->request_id != NULL;
  query.request_id = query.keyed
                         ? g_strdup (request->request_id)
                         : g_strdup_printf (
                             "%s-%08x-%" G_GUINT64_FORMAT, entry->config.name,
                             g_rand_int (entry->random), pending->id);
  rst_blob_set (&query.body, request->body, request->length);
  pending->message.type = RST_QUERY;
  pending->message.query = query;
  rst_retry_budget_add_request (&entry->retry_budget);
  rst_entry_route_query (entry, pending);
}

/* Returns the id of a job, to be freed with g_free().  A submitted job gets
   the id in its body, the caller's request id or a random id, in this order.
 */
static char *
make_job_id (struct rst_entry *entry, const struct rst_entry_request *request)
{
  struct json_object *root;
  char *id = NULL;

  if (request->operation != RST_JOB_SUBMIT)
    return g_strdup (request->job != NULL ? request->job : "");
  root = rst_json_parse (request->body);
  if (rst_json_get_text (root, "id") != NULL)
    id = g_strdup (rst_json_get_text (root, "id"));
  json_object_put (root);
  if (id == NULL && request->request_id != NULL)
    id = g_strdup (request->request_id);
  if (id == NULL)
    id = g_strdup_printf ("job-%08x%08x", g_rand_int (entry->random),
                          g_rand_int (entry->random));
  return id;
}

static void
accept_job_call (struct rst_entry *entry, void *handle,
                 const struct rst_entry_request *request,
                 const struct rst_team *team)
{
  static const struct rst_json_bound bound
      = { JOB_CONTAINERS_MAX, JOB_SEPARATORS_MAX };
  struct rst_job_call *call;
  struct pending_request *pending;
  bool is_list = request->operation == RST_JOB_LIST;
  char *id;

  if (request->operation == RST_JOB_SUBMIT
      && !rst_json_is_within (request->body, request->length, &bound))
    {
      rst_entry_reply_error (entry, handle, 400, RST_REQUEST_NOT_RUN,
                             "bad-request",
                             "body: has more values than a job may have");
      return;
    }
  id = make_job_id (entry, request);

  if (!is_list
      && (strlen (id) == 0 || strlen (id) > RST_JOB_ID_MAX_BYTES
          || strspn (id, G_CSET_A_2_Z G_CSET_a_2_z G_CSET_DIGITS "-_.")
                 != strlen (id)))
    {
      rst_entry_reply_error (
          entry, handle, 400, RST_REQUEST_NOT_RUN, "bad-request",
          "id: must have 1 to 36 letters, digits, '-', '_', '.'");
      g_free (id);
      return;
    }
  pending = add_pending (entry, handle, JOB_CALL_TIMEOUT_MS);
  pending->message.type = RST_JOB_CALL;
  call = &pending->message.job_call;
  call->operation = request->operation;
  call->team = g_strdup (team->name);
  call->job = id;
  call->state = g_strdup (request->state != NULL ? request->state : "");
  rst_blob_set (&call->body, request->body, request->length);
  rst_entry_route_job (entry, pending);
}

void
rst_entry_handle_request (struct rst_entry *entry, void *handle,
                          const struct rst_entry_request *request)
{
  const struct rst_team *team;

  entry->counters.requests++;
  if (entry->stopping
      || rst_settings_get_newest_revision (entry->settings) == 0)
    {
      rst_entry_reply_error (entry, handle, 503, RST_REQUEST_NOT_RUN,
                             "not-ready", "this entry takes no requests now");
      return;
    }
  team = find_team_by_key (entry, request->key);
  if (team == NULL)
    {
      entry->counters.unauthorized++;
      rst_entry_reply_error (entry, handle, 401, RST_REQUEST_NOT_RUN,
                             "unauthorized", "Authorization: no valid key");
      return;
    }
  if (rst_entry_count_pending (entry) >= entry->config.max_pending)
    {
      rst_entry_reply_error (entry, handle, 429, RST_REQUEST_NOT_RUN,
                             "overload", "too many requests are waiting here");
      return;
    }
  if (request->operation == 0)
    accept_query (entry, handle, request, team);
  else
    accept_job_call (entry, handle, request, team);
}
