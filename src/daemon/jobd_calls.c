#include "daemon/jobd_calls.h"

#include <string.h>

#include "util/log.h"
#include "util/os.h"

#define LOG_DOMAIN "jobd"

/** A call that could not be sent to a planner for this long is rejected; in
    milliseconds. */
#define UNSENT_TIMEOUT_MS 1500

struct rst_jobd_calls
{
  struct rst_call_stats *stats;
  GHashTable *table;
  uint64_t next_number;
  /* Connections are closed with their next answer. */
  bool closing;
};

static void
free_call (gpointer data)
{
  struct pending_call *call = data;

  if (call->frame != NULL)
    g_byte_array_free (call->frame, TRUE);
  g_free (call);
}

struct rst_jobd_calls *
rst_jobd_calls_create (struct rst_call_stats *stats)
{
  struct rst_jobd_calls *calls = g_new0 (struct rst_jobd_calls, 1);

  calls->stats = stats;
  calls->next_number = 1;
  calls->table
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_call);
  return calls;
}

void
rst_jobd_calls_destroy (struct rst_jobd_calls *calls)
{
  if (calls == NULL)
    return;
  g_hash_table_destroy (calls->table);
  g_free (calls);
}

struct pending_call *
rst_jobd_calls_add (struct rst_jobd_calls *calls,
                    struct rst_http_request *request,
                    enum rst_operation operation)
{
  struct pending_call *call = g_new0 (struct pending_call, 1);

  call->number = calls->next_number++;
  call->request = request;
  call->operation = operation;
  call->received_at = rst_os_now ();
  g_hash_table_insert (calls->table, &call->number, call);
  return call;
}

struct pending_call *
rst_jobd_calls_find (struct rst_jobd_calls *calls, uint64_t number)
{
  return g_hash_table_lookup (calls->table, &number);
}

unsigned
rst_jobd_calls_count (const struct rst_jobd_calls *calls)
{
  return g_hash_table_size (calls->table);
}

bool
rst_jobd_calls_was_sent (const struct pending_call *call)
{
  return call->sent || call->sent_on_lost_link;
}

/* Whether a planner may have carried a call out beyond what it replied, or may
   still do so. */
static bool
may_be_carried_out (const struct pending_call *call)
{
  return (call->sent && !call->replied) || call->sent_on_lost_link;
}

void
rst_jobd_calls_set_closing (struct rst_jobd_calls *calls, bool closing)
{
  calls->closing = closing;
}

void
rst_jobd_calls_finish (struct rst_jobd_calls *calls, struct pending_call *call,
                       unsigned status, const char *text, unsigned retry_s)
{
  rst_call_stats_record (calls->stats, call->operation, status,
                         rst_os_now () - call->received_at);
  if (calls->closing)
    rst_http_request_close_connection (call->request);
  rst_http_request_reply (call->request, status, NULL, text, strlen (text),
                          retry_s);
  g_hash_table_remove (calls->table, &call->number);
}

void
rst_jobd_calls_reject (struct rst_jobd_calls *calls, struct pending_call *call,
                       unsigned status, const char *reason, unsigned retry_s)
{
  char text[256];

  if ((status == 429 || status == 503) && may_be_carried_out (call))
    status = 504;
  if (rst_log_enabled (G_LOG_LEVEL_INFO))
    {
      char number[16];
      char age[24];

      g_snprintf (number, sizeof number, "%u", status);
      g_snprintf (age, sizeof age, "%lld",
                  (long long)(rst_os_now () - call->received_at));
      rst_info (LOG_DOMAIN, "Call failed.", "path",
                rst_http_request_path (call->request), "status", number, "why",
                reason, "age_ms", age, "passed_on",
                rst_jobd_calls_was_sent (call) ? "yes" : "no");
    }
  g_snprintf (text, sizeof text, "{\"error\":\"%s\"}\n", reason);
  rst_jobd_calls_finish (calls, call, status, text, retry_s);
}

static void
finish_with_state (struct rst_jobd_calls *calls, struct pending_call *call,
                   enum rst_job_state state)
{
  static const char *const names[]
      = { "queued", "running", "completed", "failed", "cancelled" };
  char text[64];

  g_snprintf (text, sizeof text, "{\"state\":\"%s\"}\n", names[state]);
  rst_jobd_calls_finish (calls, call, 200, text, 0);
}

static void
finish_with_count (struct rst_jobd_calls *calls, struct pending_call *call,
                   int64_t count)
{
  char text[64];

  g_snprintf (text, sizeof text, "{\"pending\":%lld}\n", (long long)count);
  rst_jobd_calls_finish (calls, call, 200, text, 0);
}

/* Replies to a call with the HTTP status for an unsuccessful outcome. */
static void
reject_with_outcome (struct rst_jobd_calls *calls, struct pending_call *call,
                     enum rst_outcome outcome, unsigned retry_s)
{
  switch (outcome)
    {
    case RST_OUTCOME_NO_QUEUE:
      rst_jobd_calls_reject (calls, call, 404, "no such queue", 0);
      break;
    case RST_OUTCOME_INVALID_KEY:
      rst_jobd_calls_reject (calls, call, 401, "unknown key", 0);
      break;
    case RST_OUTCOME_NO_JOB:
      rst_jobd_calls_reject (calls, call, 410, "no such job", 0);
      break;
    case RST_OUTCOME_MALFORMED:
      rst_jobd_calls_reject (calls, call, 400, "not a job", 0);
      break;
    case RST_OUTCOME_REJECTED:
      rst_jobd_calls_reject (calls, call, 503, "turned away", retry_s);
      break;
    case RST_OUTCOME_OVERLOADED:
      rst_jobd_calls_reject (calls, call, 429, "too busy", retry_s);
      break;
    default:
      rst_jobd_calls_reject (calls, call, 504, "not known", retry_s);
      break;
    }
}

void
rst_jobd_calls_handle_reply (struct rst_jobd_calls *calls,
                             struct rst_reader *reader)
{
  uint64_t number = (uint64_t)rst_reader_read_int (reader);
  enum rst_outcome outcome = (enum rst_outcome)rst_reader_read_int (reader);
  int64_t state = rst_reader_read_int (reader);
  int64_t count = rst_reader_read_int (reader);
  unsigned retry_s = (unsigned)rst_reader_read_int (reader);
  struct pending_call *call = rst_jobd_calls_find (calls, number);

  if (call == NULL || reader->bad)
    return;
  call->replied = true;
  if (outcome == RST_OUTCOME_OK)
    rst_jobd_calls_finish (calls, call, 200, "{\"accepted\":true}\n", 0);
  else if (outcome == RST_OUTCOME_STATE)
    finish_with_state (calls, call, (enum rst_job_state)state);
  else if (outcome == RST_OUTCOME_COUNT)
    finish_with_count (calls, call, count);
  else
    reject_with_outcome (calls, call, outcome, retry_s);
}

void
rst_jobd_calls_foreach (struct rst_jobd_calls *calls,
                        void (*visit) (void *userdata,
                                       struct pending_call *call),
                        void *userdata)
{
  GList *list = g_hash_table_get_values (calls->table);

  for (GList *node = list; node != NULL; node = node->next)
    visit (userdata, node->data);
  g_list_free (list);
}

static void
mark_link_lost (void *userdata, struct pending_call *call)
{
  (void)userdata;
  call->sent_on_lost_link |= call->sent;
  call->sent = false;
}

void
rst_jobd_calls_link_lost (struct rst_jobd_calls *calls)
{
  rst_jobd_calls_foreach (calls, mark_link_lost, NULL);
}

struct expiry
{
  struct rst_jobd_calls *calls;
  rst_ms now;
  enum rst_entry_action action;
};

static void
expire_call (void *userdata, struct pending_call *call)
{
  const struct expiry *expiry = userdata;
  bool was_sent = rst_jobd_calls_was_sent (call);

  if (was_sent && expiry->now >= call->answer_deadline)
    rst_jobd_calls_reject (expiry->calls, call, 504, "no answer in time", 0);
  else if (!was_sent
           && (expiry->action == RST_ENTRY_REJECT
               || expiry->now >= call->answer_deadline
               || expiry->now - call->received_at >= UNSENT_TIMEOUT_MS))
    rst_jobd_calls_reject (expiry->calls, call, 503, "no planner", 1);
}

void
rst_jobd_calls_expire (struct rst_jobd_calls *calls, rst_ms now,
                       enum rst_entry_action action)
{
  struct expiry expiry = { calls, now, action };

  rst_jobd_calls_foreach (calls, expire_call, &expiry);
}
