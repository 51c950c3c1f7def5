#include "coordination/entry.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "coordination/fault_private.h"
#include "state/job.h"
#include "state/json.h"
#include "util/log.h"

#define LOG_PREFIX "route"

/** Deadline of a request that names none. */
#define DEFAULT_DEADLINE_MS 10000

/** Time after the deadline at which the outcome is given up. */
#define DEADLINE_GRACE_MS 1000

/** Bound on a call about jobs. */
#define JOB_CALL_MS 10000

/** Most attempts of one request. */
#define ATTEMPTS_MAX 3

/** A link that was silent for longer is not proven alive. */
#define LINK_PROVEN_MS 1500

/** Time between two attempts to connect. */
#define CONNECT_EVERY_MS 300

/** Time between two digests. */
#define DIGEST_EVERY_MS 1000

/** Time between two searches for requests past their deadline. */
#define EXPIRE_EVERY_MS 25

/** Thousandths of a retry earned by each request, and most saved up. */
#define RETRY_PER_REQUEST 200
#define RETRIES_MAX 100

/** Word before the key in the Authorization header. */
#define BEARER "Bearer "

struct scheduler_peer
{
  uint64_t link;
  bool open;
  bool known;
  bool has_load;
  char address[RST_ADDRESS_SIZE];
  char incarnation[RST_NAME_SIZE];
  char zone[RST_NAME_SIZE];
  struct rst_load load;
  int64_t sent_since_load;
  rst_ms heard_at;
};

struct pending
{
  uint64_t id;
  void *handle;
  uint64_t link;
  int attempts;
  bool may_have_run;
  rst_ms give_up_at;
  rst_ms deadline;
  struct rst_message message;
};

struct rst_entry
{
  struct rst_entry_config config;
  const struct rst_links *links;
  void *links_data;
  rst_entry_answer answer;
  GRand *random;
  struct rst_settings *settings;
  GHashTable *peers;
  GHashTable *pending;
  GPtrArray *seeds;
  struct rst_budget retry_budget;
  struct rst_entry_counters counters;
  uint64_t next_id;
  rst_ms connect_next_at;
  rst_ms digest_next_at;
  rst_ms expire_next_at;
  bool stopping;
};

static rst_ms
entry_now (const struct rst_entry *entry)
{
  return rst_clock_now (&entry->config.clock);
}

static void
pending_free (gpointer data)
{
  struct pending *pending = data;

  rst_message_clear (&pending->message);
  g_free (pending);
}

struct rst_entry *
rst_entry_create (const struct rst_entry_config *config,
                  const struct rst_links *links, void *links_data,
                  rst_entry_answer answer)
{
  struct rst_entry *entry = g_new0 (struct rst_entry, 1);

  entry->config = *config;
  entry->links = links;
  entry->links_data = links_data;
  entry->answer = answer;
  entry->random
      = g_rand_new_with_seed_array ((const guint32 *)&config->seed, 2);
  entry->settings = rst_settings_create ();
  entry->peers
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  entry->pending = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                          pending_free);
  entry->seeds = g_ptr_array_new_with_free_func (g_free);
  rst_budget_init (&entry->retry_budget, RETRY_PER_REQUEST, RETRIES_MAX);
  return entry;
}

void
rst_entry_add_seed (struct rst_entry *entry, const char *address)
{
  g_ptr_array_add (entry->seeds, g_strdup (address));
}

/* ---- Answers
 * ------------------------------------------------------------------ */

static void
count_outcome (struct rst_entry *entry, uint64_t outcome)
{
  if (outcome == RST_ANSWERED)
    entry->counters.answered++;
  else if (outcome == RST_NOT_RUN)
    entry->counters.not_run++;
  else
    entry->counters.unknown++;
}

static void
answer_refusal (struct rst_entry *entry, void *handle, unsigned status,
                uint64_t outcome, const char *reason, const char *detail)
{
  struct json_object *root = json_object_new_object ();
  struct rst_entry_reply reply = { 0 };
  char *text;

  rst_json_set_text (root, "outcome", rst_outcome_name (outcome));
  rst_json_set_text (root, "reason", reason);
  rst_json_set_text (root, "detail", detail);
  text = rst_json_release (root);
  reply.status = status;
  reply.body = text;
  reply.length = strlen (text);
  reply.retry_after_s = status == 503 || status == 429 ? 1 : 0;
  count_outcome (entry, outcome);
  entry->answer (handle, &reply);
  free (text);
}

static struct scheduler_peer *
peer_by_link (struct rst_entry *entry, uint64_t link)
{
  return g_hash_table_lookup (entry->peers, &link);
}

static void
forget_pending (struct rst_entry *entry, struct pending *pending)
{
  struct scheduler_peer *peer = peer_by_link (entry, pending->link);

  if (peer != NULL)
    peer->sent_since_load--;
  g_hash_table_remove (entry->pending, &pending->id);
}

static void
end_refused (struct rst_entry *entry, struct pending *pending, unsigned status,
             uint64_t outcome, const char *reason, const char *detail)
{
  /* An earlier attempt may have run. */
  if (outcome == RST_NOT_RUN && pending->may_have_run)
    {
      outcome = RST_UNKNOWN;
      status = 504;
    }
  answer_refusal (entry, pending->handle, status, outcome, reason, detail);
  forget_pending (entry, pending);
}

/* ---- Choice
 * --------------------------------------------------------------------- */

static bool
is_candidate (const struct rst_entry *entry, const struct scheduler_peer *peer,
              const struct pending *pending)
{
  bool proven = entry_now (entry) - peer->heard_at <= LINK_PROVEN_MS;

  bool query = pending->message.type == RST_QUERY;

  if (!peer->known || !peer->open || !peer->has_load || !peer->load.ready
      || peer->link == pending->link || (query && peer->load.slots_total == 0)
      || rst_settings_zone_out (entry->settings, peer->zone))
    return false;
  return proven || (query && pending->message.query.idempotent);
}

static int64_t
room_at (const struct scheduler_peer *peer)
{
  return (int64_t)peer->load.slots_free - (int64_t)peer->load.queued
         - peer->sent_since_load;
}

/* Whether @a is a better place than @b; room in the own zone comes first. */
static bool
is_better (const struct rst_entry *entry, const struct scheduler_peer *a,
           const struct scheduler_peer *b)
{
  int64_t room_a = room_at (a);
  int64_t room_b = room_at (b);
  bool own_a = strcmp (a->zone, entry->config.zone) == 0 && room_a > 0;
  bool own_b = strcmp (b->zone, entry->config.zone) == 0 && room_b > 0;

  if (own_a != own_b)
    return own_a;
  return room_a > room_b;
}

static struct scheduler_peer *
choose_scheduler (struct rst_entry *entry, const struct pending *pending)
{
  struct scheduler_peer *best = NULL;
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, entry->peers);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct scheduler_peer *peer = value;

      if (is_candidate (entry, peer, pending)
          && (best == NULL || is_better (entry, peer, best)))
        best = peer;
    }
  return best;
}

static void
collect_members (const struct rst_zone *zone, void *userdata)
{
  GPtrArray *names = userdata;

  for (int i = 0; i < zone->member_count; i++)
    g_ptr_array_add (names, (gpointer)zone->members[i].incarnation);
}

/* The scheduler that keeps the record of a request or job: the same for
   every entry that holds the same ownership records. */
static struct scheduler_peer *
home_scheduler (struct rst_entry *entry, const char *team, const char *id)
{
  GPtrArray *names = g_ptr_array_new ();
  char *key = g_strdup_printf ("%s/%s", team, id);
  struct scheduler_peer *home = NULL;
  GHashTableIter iterator;
  gpointer value;
  int pick;

  rst_settings_records (entry->settings, collect_members, names);
  pick = rst_rendezvous (key, (const char *const *)names->pdata,
                         (int)names->len);
  g_hash_table_iter_init (&iterator, entry->peers);
  while (pick >= 0 && g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct scheduler_peer *peer = value;

      if (peer->known && peer->open
          && strcmp (peer->incarnation, names->pdata[pick]) == 0)
        home = peer;
    }
  g_free (key);
  g_ptr_array_free (names, TRUE);
  return home;
}

/* ---- Sending
 * ---------------------------------------------------------------------- */

static void
log_routed (const struct rst_entry *entry, const struct pending *pending,
            const struct scheduler_peer *peer, const char *reason)
{
  const struct rst_message *message = &pending->message;
  bool query = message->type == RST_QUERY;

  (void)entry;
  rst_info (LOG_PREFIX, "Request routed.", "request",
            query ? message->query.request_id : message->job_call.job, "team",
            query ? message->query.team : message->job_call.team, "zone",
            peer->zone, "scheduler", peer->incarnation, "reason", reason);
}

static bool
send_to (struct rst_entry *entry, struct pending *pending,
         struct scheduler_peer *peer, const char *reason)
{
  struct rst_message message = pending->message;

  message.id = pending->id;
  if (message.type == RST_QUERY)
    message.query.deadline_ms
        = (uint64_t)MAX (pending->deadline - entry_now (entry), 1);
  if (!entry->links->send (entry->links_data, peer->link, &message))
    return false;
  pending->link = peer->link;
  pending->attempts++;
  peer->sent_since_load++;
  log_routed (entry, pending, peer, reason);
  return true;
}

static void
route_query (struct rst_entry *entry, struct pending *pending)
{
  struct scheduler_peer *peer;
  bool keyed = pending->message.query.keyed;

  if (keyed)
    peer = home_scheduler (entry, pending->message.query.team,
                           pending->message.query.request_id);
  else
    peer = choose_scheduler (entry, pending);
  if (peer == NULL
      || !send_to (entry, pending, peer, keyed ? "home" : "most-room"))
    end_refused (entry, pending, 503, RST_NOT_RUN, "no-scheduler",
                 "no scheduler can take the request now");
}

static void
route_job (struct rst_entry *entry, struct pending *pending)
{
  const struct rst_job_call *call = &pending->message.job_call;
  struct scheduler_peer *peer
      = call->operation == RST_JOB_LIST
            ? choose_scheduler (entry, pending)
            : home_scheduler (entry, call->team, call->job);

  if (peer == NULL || !send_to (entry, pending, peer, "home"))
    end_refused (entry, pending, 503, RST_NOT_RUN, "no-scheduler",
                 "the job's scheduler cannot be reached now");
}

/* Tries a request again that did not run, or that may run twice. */
static bool
retry (struct rst_entry *entry, struct pending *pending)
{
  if (pending->message.type != RST_QUERY || pending->message.query.keyed
      || pending->attempts >= ATTEMPTS_MAX || entry->stopping
      || entry_now (entry) >= pending->deadline
      || choose_scheduler (entry, pending) == NULL
      || !rst_budget_spend (&entry->retry_budget))
    return false;
  entry->counters.retries++;
  route_query (entry, pending);
  return true;
}

/* ---- Messages
 * ------------------------------------------------------------------------ */

static void
take_hello (struct rst_entry *entry, struct scheduler_peer *peer,
            const struct rst_hello *hello)
{
  (void)entry;
  peer->known = hello->role == RST_ROLE_SCHEDULER;
  g_strlcpy (peer->incarnation, hello->incarnation, RST_NAME_SIZE);
  g_strlcpy (peer->zone, hello->zone, RST_NAME_SIZE);
  g_strlcpy (peer->address, hello->address, RST_ADDRESS_SIZE);
}

static void
take_branch (struct rst_entry *entry, const struct rst_branch_message *branch)
{
  GString *problems = g_string_new ("");
  int error
      = rst_settings_apply (entry->settings, branch->key, branch->revision,
                            branch->value.data, problems);
  char revision[24];

  g_snprintf (revision, sizeof revision, "%" G_GUINT64_FORMAT,
              branch->revision);
  if (error == RST_STATE_OK)
    {
      /* The schedulers report what this entry has in force. */
      entry->digest_next_at = 0;
      rst_info ("settings", "Branch is in force.", "key", branch->key,
                "revision", revision);
    }
  else if (error == RST_STATE_INVALID)
    rst_warning ("settings", "Branch was refused.", "key", branch->key,
                 "problem", g_strchomp (problems->str));
  g_string_free (problems, TRUE);
}

static void
take_answer (struct rst_entry *entry, uint64_t link,
             const struct rst_message *message)
{
  struct pending *pending = g_hash_table_lookup (entry->pending, &message->id);
  const struct rst_answer *said = &message->answer;
  struct rst_entry_reply reply = { 0 };

  /* A late answer, or one to another request, reaches nobody. */
  if (pending == NULL || pending->link != link
      || pending->message.type != RST_QUERY)
    return;
  if (said->outcome == RST_NOT_RUN && said->status == 503
      && retry (entry, pending))
    return;
  if (said->outcome != RST_ANSWERED)
    {
      end_refused (entry, pending, (unsigned)said->status, said->outcome,
                   said->reason, said->detail);
      return;
    }
  reply.status = (unsigned)said->status;
  reply.body = said->body.data;
  reply.length = RST_FAULT (RST_FAULT_CUT_ANSWER) ? said->body.length / 2
                                                  : said->body.length;
  count_outcome (entry, RST_ANSWERED);
  entry->answer (pending->handle, &reply);
  forget_pending (entry, pending);
}

static void
take_job_reply (struct rst_entry *entry, uint64_t link,
                const struct rst_message *message)
{
  struct pending *pending = g_hash_table_lookup (entry->pending, &message->id);
  struct rst_entry_reply reply = { 0 };

  if (pending == NULL || pending->link != link
      || pending->message.type != RST_JOB_CALL)
    return;
  reply.status = (unsigned)message->job_reply.status;
  reply.body = message->job_reply.body.data;
  reply.length = message->job_reply.body.length;
  reply.retry_after_s = reply.status == 503 ? 1 : 0;
  count_outcome (entry, reply.status < 300   ? RST_ANSWERED
                        : reply.status < 504 ? RST_NOT_RUN
                                             : RST_UNKNOWN);
  entry->answer (pending->handle, &reply);
  forget_pending (entry, pending);
}

void
rst_entry_message (struct rst_entry *entry, uint64_t link,
                   const struct rst_message *message)
{
  struct scheduler_peer *peer = peer_by_link (entry, link);

  if (peer == NULL)
    return;
  peer->heard_at = entry_now (entry);
  switch (message->type)
    {
    case RST_HELLO:
      take_hello (entry, peer, &message->hello);
      break;
    case RST_BRANCH:
      take_branch (entry, &message->branch);
      break;
    case RST_LOAD:
      peer->load = message->load;
      peer->load.incarnation = NULL;
      peer->load.zone = NULL;
      peer->has_load = true;
      peer->sent_since_load = 0;
      break;
    case RST_ANSWER:
      take_answer (entry, link, message);
      break;
    case RST_JOB_REPLY:
      take_job_reply (entry, link, message);
      break;
    default:
      break;
    }
}

/* ---- Links
 * ---------------------------------------------------------------------------
 */

void
rst_entry_link_opened (struct rst_entry *entry, uint64_t link)
{
  struct scheduler_peer *peer = peer_by_link (entry, link);
  struct rst_message message = { 0 };

  if (peer == NULL)
    return;
  peer->open = true;
  peer->heard_at = entry_now (entry);
  message.type = RST_HELLO;
  message.hello.role = RST_ROLE_ENTRY;
  message.hello.name = entry->config.name;
  message.hello.zone = entry->config.zone;
  message.hello.address = entry->config.address;
  message.hello.status_address = entry->config.address;
  entry->links->send (entry->links_data, link, &message);
}

static void
end_broken (struct rst_entry *entry, struct pending *pending)
{
  bool query = pending->message.type == RST_QUERY;
  bool read_only = !query
                   && pending->message.job_call.operation != RST_JOB_SUBMIT
                   && pending->message.job_call.operation != RST_JOB_CANCEL;

  if (query)
    pending->may_have_run = true;
  if (query && pending->message.query.idempotent && retry (entry, pending))
    return;
  if (read_only)
    end_refused (entry, pending, 503, RST_NOT_RUN, "link-broke",
                 "the link to the scheduler broke");
  else
    end_refused (entry, pending, 502, RST_UNKNOWN, "link-broke",
                 "the link to the scheduler broke");
}

void
rst_entry_link_closed (struct rst_entry *entry, uint64_t link)
{
  GList *all = g_hash_table_get_values (entry->pending);

  g_hash_table_remove (entry->peers, &link);
  for (GList *item = all; item != NULL; item = item->next)
    {
      struct pending *pending = item->data;

      if (pending->link == link)
        end_broken (entry, pending);
    }
  g_list_free (all);
}

static bool
is_connected (struct rst_entry *entry, const char *address)
{
  GHashTableIter iterator;
  gpointer value;

  g_hash_table_iter_init (&iterator, entry->peers);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    if (strcmp (((struct scheduler_peer *)value)->address, address) == 0)
      return true;
  return false;
}

static void
connect_to (struct rst_entry *entry, const char *address)
{
  struct scheduler_peer *peer;
  uint64_t link;

  if (is_connected (entry, address))
    return;
  link = entry->links->connect (entry->links_data, address);
  if (link == 0)
    return;
  peer = g_new0 (struct scheduler_peer, 1);
  peer->link = link;
  g_strlcpy (peer->address, address, RST_ADDRESS_SIZE);
  g_hash_table_insert (entry->peers, &peer->link, peer);
}

static void
connect_to_members (const struct rst_zone *zone, void *userdata)
{
  for (int i = 0; i < zone->member_count; i++)
    connect_to (userdata, zone->members[i].address);
}

/* ---- Requests
 * ----------------------------------------------------------------------------
 */

static const struct rst_team *
team_of (const struct rst_entry *entry, const char *authorization)
{
  if (authorization == NULL || !g_str_has_prefix (authorization, BEARER))
    return NULL;
  if (RST_FAULT (RST_FAULT_WITHDRAWN_KEY))
    {
      char **parts = g_strsplit (authorization + strlen (BEARER), "/", 2);
      const struct rst_team *team
          = rst_settings_team (entry->settings, parts[0]);

      g_strfreev (parts);
      return team;
    }
  return rst_settings_key_team (entry->settings,
                                authorization + strlen (BEARER));
}

/* Reads the headers of a query.  Returns the problem, or NULL. */
static const char *
read_headers (const struct rst_entry_request *request, struct rst_query *out,
              rst_ms *deadline_ms)
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

static struct pending *
add_pending (struct rst_entry *entry, void *handle, rst_ms deadline_ms)
{
  struct pending *pending = g_new0 (struct pending, 1);

  pending->id = ++entry->next_id;
  pending->handle = handle;
  pending->deadline = entry_now (entry) + deadline_ms;
  pending->give_up_at = pending->deadline + DEADLINE_GRACE_MS;
  g_hash_table_insert (entry->pending, &pending->id, pending);
  return pending;
}

static void
take_query (struct rst_entry *entry, void *handle,
            const struct rst_entry_request *request,
            const struct rst_team *team)
{
  struct rst_query query = { 0 };
  struct pending *pending;
  rst_ms deadline_ms;
  const char *problem = read_headers (request, &query, &deadline_ms);
  rst_ms bound = rst_settings_cell (entry->settings)->max_deadline_ms;

  if (problem != NULL)
    {
      answer_refusal (entry, handle, 400, RST_NOT_RUN, "bad-request", problem);
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
  rst_budget_earn (&entry->retry_budget);
  route_query (entry, pending);
}

/* The id of a submitted job, from its body or made here. */
static char *
job_id (struct rst_entry *entry, const struct rst_entry_request *request)
{
  struct json_object *root;
  char *id = NULL;

  if (request->operation != RST_JOB_SUBMIT)
    return g_strdup (request->job != NULL ? request->job : "");
  root = rst_json_parse (request->body);
  if (rst_json_text (root, "id") != NULL)
    id = g_strdup (rst_json_text (root, "id"));
  json_object_put (root);
  if (id == NULL && request->request_id != NULL)
    id = g_strdup (request->request_id);
  if (id == NULL)
    id = g_strdup_printf ("job-%08x%08x", g_rand_int (entry->random),
                          g_rand_int (entry->random));
  return id;
}

static void
take_job (struct rst_entry *entry, void *handle,
          const struct rst_entry_request *request, const struct rst_team *team)
{
  struct rst_job_call *call;
  struct pending *pending;
  char *id = job_id (entry, request);
  bool listed = request->operation == RST_JOB_LIST;

  if (!listed
      && (strlen (id) == 0 || strlen (id) > RST_JOB_ID_MAX
          || strspn (id, G_CSET_A_2_Z G_CSET_a_2_z G_CSET_DIGITS "-_.")
                 != strlen (id)))
    {
      answer_refusal (entry, handle, 400, RST_NOT_RUN, "bad-request",
                      "id: must have 1 to 36 letters, digits, '-', '_', '.'");
      g_free (id);
      return;
    }
  pending = add_pending (entry, handle, JOB_CALL_MS);
  pending->message.type = RST_JOB_CALL;
  call = &pending->message.job_call;
  call->operation = request->operation;
  call->team = g_strdup (team->name);
  call->job = id;
  call->state = g_strdup (request->state != NULL ? request->state : "");
  rst_blob_set (&call->body, request->body, request->length);
  route_job (entry, pending);
}

void
rst_entry_request (struct rst_entry *entry, void *handle,
                   const struct rst_entry_request *request)
{
  const struct rst_team *team;

  entry->counters.requests++;
  if (entry->stopping || rst_settings_newest (entry->settings) == 0)
    {
      answer_refusal (entry, handle, 503, RST_NOT_RUN, "not-ready",
                      "this entry takes no requests now");
      return;
    }
  team = team_of (entry, request->key);
  if (team == NULL)
    {
      entry->counters.unauthorized++;
      answer_refusal (entry, handle, 401, RST_NOT_RUN, "unauthorized",
                      "Authorization: no valid key");
      return;
    }
  if (rst_entry_pending (entry) >= entry->config.max_pending)
    {
      answer_refusal (entry, handle, 429, RST_NOT_RUN, "overload",
                      "too many requests are waiting here");
      return;
    }
  if (request->operation == 0)
    take_query (entry, handle, request, team);
  else
    take_job (entry, handle, request, team);
}

/* ---- Time
 * --------------------------------------------------------------------------------
 */

static void
expire (struct rst_entry *entry)
{
  rst_ms now = entry_now (entry);
  GList *all;

  if (now < entry->expire_next_at)
    return;
  entry->expire_next_at = now + EXPIRE_EVERY_MS;
  if (g_hash_table_size (entry->pending) == 0)
    return;
  all = g_hash_table_get_values (entry->pending);
  for (GList *item = all; item != NULL; item = item->next)
    {
      struct pending *pending = item->data;

      if (now >= pending->give_up_at)
        end_refused (entry, pending, 504, RST_UNKNOWN, "no-answer",
                     "no answer before the deadline");
    }
  g_list_free (all);
}

static void
connect_tick (struct rst_entry *entry)
{
  rst_ms now = entry_now (entry);

  if (now < entry->connect_next_at)
    return;
  entry->connect_next_at
      = now + CONNECT_EVERY_MS / 2
        + g_rand_int_range (entry->random, 0, CONNECT_EVERY_MS);
  for (guint i = 0; i < entry->seeds->len; i++)
    connect_to (entry, g_ptr_array_index (entry->seeds, i));
  rst_settings_records (entry->settings, connect_to_members, entry);
}

static void
digest_tick (struct rst_entry *entry)
{
  rst_ms now = entry_now (entry);
  struct rst_message message = { 0 };
  GHashTableIter iterator;
  gpointer value;

  if (now < entry->digest_next_at)
    return;
  entry->digest_next_at = now + DIGEST_EVERY_MS;
  message.type = RST_DIGEST;
  message.digest.hash = rst_settings_hash (entry->settings);
  message.digest.newest = rst_settings_newest (entry->settings);
  g_hash_table_iter_init (&iterator, entry->peers);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    if (((struct scheduler_peer *)value)->known)
      entry->links->send (entry->links_data,
                          ((struct scheduler_peer *)value)->link, &message);
}

void
rst_entry_tick (struct rst_entry *entry)
{
  connect_tick (entry);
  digest_tick (entry);
  expire (entry);
}

void
rst_entry_stop (struct rst_entry *entry)
{
  entry->stopping = true;
}

int64_t
rst_entry_pending (const struct rst_entry *entry)
{
  return g_hash_table_size (entry->pending);
}

bool
rst_entry_ready (const struct rst_entry *entry)
{
  GHashTableIter iterator;
  gpointer value;

  if (entry->stopping || rst_settings_newest (entry->settings) == 0)
    return false;
  g_hash_table_iter_init (&iterator, entry->peers);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct scheduler_peer *peer = value;

      if (peer->known && peer->has_load && peer->load.ready)
        return true;
    }
  return false;
}

const struct rst_entry_counters *
rst_entry_counters (const struct rst_entry *entry)
{
  return &entry->counters;
}

const struct rst_settings *
rst_entry_settings (const struct rst_entry *entry)
{
  return entry->settings;
}

char *
rst_entry_status (struct rst_entry *entry)
{
  struct json_object *root = json_object_new_object ();
  struct json_object *list = json_object_new_array ();
  GHashTableIter iterator;
  gpointer value;

  rst_json_set_text (root, "name", entry->config.name);
  rst_json_set_text (root, "availability_zone", entry->config.zone);
  rst_json_set_bool (root, "ready", rst_entry_ready (entry));
  rst_json_set_number (root, "newest",
                       (int64_t)rst_settings_newest (entry->settings));
  rst_json_set_number (root, "pending", rst_entry_pending (entry));
  g_hash_table_iter_init (&iterator, entry->peers);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct scheduler_peer *peer = value;
      struct json_object *item = json_object_new_object ();

      rst_json_set_text (item, "address", peer->address);
      rst_json_set_text (item, "incarnation", peer->incarnation);
      rst_json_set_text (item, "availability_zone", peer->zone);
      rst_json_set_bool (item, "ready", peer->has_load && peer->load.ready);
      rst_json_set_number (item, "slots_free", (int64_t)peer->load.slots_free);
      json_object_array_add (list, item);
    }
  json_object_object_add (root, "schedulers", list);
  return rst_json_release (root);
}

void
rst_entry_destroy (struct rst_entry *entry)
{
  GList *all;

  if (entry == NULL)
    return;
  all = g_hash_table_get_values (entry->pending);
  for (GList *item = all; item != NULL; item = item->next)
    end_refused (entry, item->data, 504, RST_UNKNOWN, "stopping",
                 "the entry stopped before the answer came");
  g_list_free (all);
  g_hash_table_destroy (entry->pending);
  g_hash_table_destroy (entry->peers);
  g_ptr_array_free (entry->seeds, TRUE);
  rst_settings_destroy (entry->settings);
  g_rand_free (entry->random);
  g_free (entry);
}
