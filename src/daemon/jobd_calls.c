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
