#include "daemon/term_private.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/** The planner record is rewritten when nothing was committed for this long,
    to show that the planner is alive; in milliseconds. */
#define RECORD_RENEW_MS 250

/** Time between two heartbeats to all links, in milliseconds. */
#define HEARTBEAT_INTERVAL_MS 250

/** Least age of the store's confirmation that heartbeats report after a failed
    commit, in milliseconds.  It is above the age at which receivers read the
    planner record themselves. */
#define FAILED_COMMIT_AGE_MS 1000

static void
free_term (struct rst_term *term)
{
  rst_planner_destroy (term->planner);
  rst_isolation_destroy (term->isolation);
  g_hash_table_destroy (term->links);
  if (term->next_change.segment != NULL)
    g_byte_array_free (term->next_change.segment, TRUE);
  if (term->current_change.segment != NULL)
    g_byte_array_free (term->current_change.segment, TRUE);
  g_free (term);
}

bool
rst_term_finish_call (struct rst_term *term)
{
  term->pending_calls--;
  if (!term->destroyed)
    return true;
  if (term->pending_calls == 0)
    free_term (term);
  return false;
}

static void
end_term (struct rst_term *term, const char *reason)
{
  if (term->ended)
    return;
  term->ended = true;
  rst_info (RST_TERM_LOG_DOMAIN,
            "Term ended; this process is not the planner.", "why", reason);
  term->config.on_ended (term->config.userdata);
}

void
rst_term_destroy (struct rst_term *term)
{
  GHashTableIter iter;
  gpointer key;

  if (term == NULL)
    return;
  g_hash_table_iter_init (&iter, term->links);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    term->config.close (term->config.userdata, *(uint64_t *)key);
  term->destroyed = true;
  rst_prefix_watch_destroy (term->operator_watch);
  rst_prefix_watch_destroy (term->instance_watch);
  rst_machine_list_destroy (term->machine_list);
  if (term->pending_calls == 0)
    free_term (term);
}

void
rst_term_format_segment_key (char *out, size_t size, uint64_t segment)
{
  g_snprintf (out, size, RST_TERM_SEGMENT_PREFIX "%016" PRIx64, segment);
}

static void
send_frame (void *userdata, uint64_t link, const void *data, size_t length)
{
  struct rst_term *term = userdata;

  term->config.send (term->config.userdata, link, data, length);
}

static void
broadcast (struct rst_term *term, const struct rst_pack *pack)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, term->links);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    send_frame (term, *(uint64_t *)key, pack->buffer.data, pack->buffer.size);
}

static void
send_heartbeat (struct rst_term *term, const struct link_peer *peer,
                rst_ms store_age_ms)
{
  rst_ms now = term->config.now ();
  struct rst_pack pack;

  rst_pack_init (&pack, 6);
  rst_pack_int (&pack, RST_MSG_HEARTBEAT);
  rst_pack_int (&pack, store_age_ms);
  rst_pack_int (&pack, peer->ping_clock);
  rst_pack_int (&pack, now - peer->ping_arrived_at);
  rst_pack_int (&pack, now - term->confirmed_at);
  rst_pack_int (&pack, now);
  send_frame (term, peer->link, pack.buffer.data, pack.buffer.size);
  rst_pack_clear (&pack);
}

static void check_isolation (struct rst_term *term);

static void
send_heartbeats (struct rst_term *term, rst_ms store_age_ms)
{
  GHashTableIter iter;
  gpointer value;

  check_isolation (term);
  g_hash_table_iter_init (&iter, term->links);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    send_heartbeat (term, value, store_age_ms);
}

static void on_commit (struct rst_store_answer *answer, void *userdata);

/* Sends the current commit, or sends it again when its outcome is not known.
   Every copy expects the same revision of the planner record, so at most one
   is applied. */
static void
send_commit (struct rst_term *term)
{
  struct rst_store_write writes[RST_TERM_COMMIT_WRITES_MAX] = { 0 };
  struct rst_pack pack;
  int count = 1;

  rst_planner_record_pack (&pack, &term->record);
  writes[0].key = RST_PLANNER_RECORD_KEY;
  writes[0].value = pack.buffer.data;
  writes[0].length = pack.buffer.size;
  writes[0].expected_revision = term->revision;
  if (term->current_change.segment != NULL)
    {
      writes[count].key = term->current_change.segment_key;
      writes[count].value = term->current_change.segment->data;
      writes[count].length = term->current_change.segment->len;
      writes[count].expected_revision = -1;
      count++;
    }
  for (int i = 0; i < term->current_change.removed_count; i++)
    {
      writes[count].key = term->current_change.removed_keys[i];
      writes[count].expected_revision = -1;
      writes[count].is_removal = true;
      count++;
    }
  term->commit_in_flight = true;
  term->commit_sent_at = term->config.now ();
  term->pending_calls++;
  term->config.backend->store_commit (term->config.backend->userdata, writes,
                                      count, on_commit, term);
  rst_pack_clear (&pack);
}

/* Begins the next commit.  Only one is under way at a time; a change that
   arrives meanwhile is kept in next_change. */
static void
begin_commit (struct rst_term *term)
{
  static const struct journal_change none;

  term->committing = true;
  term->resigned = term->resigning;
  term->current_change = term->next_change;
  term->next_change = none;
  term->record.counter++;
  if (term->restore_phase == RESTORE_DONE)
    rst_planner_get_journal_range (term->planner, &term->record.first_segment,
                                   &term->record.last_segment);
  send_commit (term);
}

static void start_restore (struct rst_term *term);

static void
handle_commit_success (struct rst_term *term, int64_t revision)
{
  bool had_segment = term->current_change.segment != NULL;

  term->revision = revision;
  term->committing = false;
  term->last_commit_at = term->config.now ();
  term->confirmed_at = term->commit_sent_at;
  if (had_segment)
    {
      g_byte_array_free (term->current_change.segment, TRUE);
      term->current_change.segment = NULL;
      rst_planner_set_time (term->planner, term->config.now (),
                            term->config.unix_now ());
      rst_planner_commit_done (term->planner);
    }
  if (!term->elected)
    {
      term->elected = true;
      start_restore (term);
    }
  rst_planner_set_confirmed (term->planner, term->confirmed_at);
  if (!term->committing
      && (term->next_change.segment != NULL
          || term->resigning != term->resigned))
    begin_commit (term);
}

/* The planner record has another revision than expected.  Either an earlier
   copy of this commit was applied, or another process is the planner. */
static void
handle_commit_conflict (struct rst_term *term,
                        const struct rst_store_answer *answer)
{
  struct rst_planner_record record = { 0 };
  const struct rst_store_item *item = NULL;

  for (guint i = 0; i < answer->items->len; i++)
    {
      const struct rst_store_item *candidate
          = g_ptr_array_index (answer->items, i);

      if (strcmp (candidate->key, RST_PLANNER_RECORD_KEY) == 0)
        item = candidate;
    }
  if (item != NULL && item->value != NULL
      && rst_planner_record_read (&record, item->value, item->length)
      && record.epoch == term->record.epoch
      && record.counter == term->record.counter
      && strcmp (record.name, term->record.name) == 0)
    handle_commit_success (term, item->revision);
  else if (item != NULL && term->elected && record.epoch > term->record.epoch
           && record.address[0] != '\0')
    rst_term_handle_redirect (term, record.epoch, record.address);
  else
    end_term (term, term->elected ? "another planner" : "another was first");
}

void
rst_term_handle_redirect (struct rst_term *term, int64_t epoch,
                          const char *address)
{
  struct rst_pack pack;

  if (epoch <= term->record.epoch)
    return;
  rst_pack_init (&pack, 3);
  rst_pack_int (&pack, RST_MSG_REDIRECT);
  rst_pack_int (&pack, epoch);
  rst_pack_text (&pack, address);
  broadcast (term, &pack);
  rst_pack_clear (&pack);
  end_term (term, "another planner");
}

/* Reports a high confirmation age to all links, so that the other processes
   check at once whether they reach the store themselves. */
static void
handle_commit_failure (struct rst_term *term, enum rst_result result)
{
  rst_ms now = term->config.now ();
  char bytes[16];

  rst_planner_set_commit_failed (term->planner, result == RST_RESULT_REJECTED);
  g_snprintf (bytes, sizeof bytes, "%u",
              term->current_change.segment != NULL
                  ? term->current_change.segment->len
                  : 0);
  rst_info (RST_TERM_LOG_DOMAIN, "Commit failed; it will be sent again.",
            "result", rst_result_name (result), "bytes", bytes);
  send_heartbeats (term,
                   MAX (now - term->last_commit_at, FAILED_COMMIT_AGE_MS));
  term->next_heartbeat_at = now + HEARTBEAT_INTERVAL_MS;
}

static void
on_commit (struct rst_store_answer *answer, void *userdata)
{
  struct rst_term *term = userdata;

  if (rst_term_finish_call (term))
    {
      term->commit_in_flight = false;
      term->commit_retry_at = term->config.now () + RST_TERM_RETRY_DELAY_MS;
      if (answer->result == RST_RESULT_OK)
        handle_commit_success (term, answer->revision);
      else if (answer->result == RST_RESULT_CONFLICT)
        handle_commit_conflict (term, answer);
      else if (!term->elected)
        end_term (term, "the store did not answer");
      else
        handle_commit_failure (term, answer->result);
    }
  rst_store_answer_free (answer);
}

/* Accepts a segment from the planner, which submits the next one only after
   rst_planner_commit_done(). */
static void
queue_commit (void *userdata, int64_t segment, const void *data, size_t length,
              const int64_t *remove, int remove_count)
{
  struct rst_term *term = userdata;

  struct journal_change *change = &term->next_change;

  rst_term_format_segment_key (change->segment_key, sizeof change->segment_key,
                               (uint64_t)segment);
  change->segment = g_byte_array_new ();
  g_byte_array_append (change->segment, data, (guint)length);
  change->removed_count = MIN (remove_count, RST_TERM_COMMIT_WRITES_MAX - 2);
  for (int i = 0; i < change->removed_count; i++)
    rst_term_format_segment_key (change->removed_keys[i],
                                 sizeof change->removed_keys[i],
                                 (uint64_t)remove[i]);
  if (!term->committing)
    begin_commit (term);
}

static void
send_reply (void *userdata, uint64_t link, uint64_t call,
            const struct rst_reply *reply)
{
  struct rst_pack pack;

  rst_pack_init (&pack, 6);
  rst_pack_int (&pack, RST_MSG_REPLY);
  rst_pack_int (&pack, (int64_t)call);
  rst_pack_int (&pack, reply->outcome);
  rst_pack_int (&pack, reply->state);
  rst_pack_int (&pack, reply->count);
  rst_pack_int (&pack, reply->retry_s);
  send_frame (userdata, link, pack.buffer.data, pack.buffer.size);
  rst_pack_clear (&pack);
}

static void
send_welcome (struct rst_term *term, uint64_t link)
{
  struct rst_pack pack;

  rst_pack_init (&pack, 4);
  rst_pack_int (&pack, RST_MSG_WELCOME);
  rst_pack_int (&pack, term->record.epoch);
  rst_pack_int (&pack, term->serving && !term->isolated ? 1 : 0);
  rst_pack_int (&pack, term->config.now ());
  send_frame (term, link, pack.buffer.data, pack.buffer.size);
  rst_pack_clear (&pack);
}

void
rst_term_update_planner_time (struct rst_term *term)
{
  rst_planner_set_time (term->planner, term->config.now (),
                        term->config.unix_now ());
}

static void
start_restore (struct rst_term *term)
{
  struct rst_planner_ops ops = { send_frame, send_reply, queue_commit, term };
  char epoch[24];

  g_snprintf (epoch, sizeof epoch, "%" PRId64, term->record.epoch);
  rst_info (RST_TERM_LOG_DOMAIN, "This process is the planner.", "epoch",
            epoch);
  term->config.on_elected (term->config.userdata);
  term->planner
      = rst_planner_create (&ops, &term->config.timing, term->record.epoch);
  rst_term_start_restore (term);
}

struct rst_term *
rst_term_create (const struct rst_term_config *config, int64_t revision,
                 const struct rst_planner_record *record)
{
  struct rst_term *term = g_new0 (struct rst_term, 1);

  term->config = *config;
  term->revision = revision;
  term->record.epoch = record->epoch + 1;
  term->record.first_segment = record->first_segment;
  term->record.last_segment = record->last_segment;
  g_strlcpy (term->record.name, config->name, sizeof term->record.name);
  g_strlcpy (term->record.address, config->address,
             sizeof term->record.address);
  term->isolation
      = rst_isolation_create (config->zone != NULL ? config->zone : "");
  term->links
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  begin_commit (term);
  return term;
}

static void
note_heard (struct rst_term *term, const struct link_peer *peer)
{
  if (peer->role == RST_ROLE_AGENT)
    rst_isolation_note_heard (term->isolation, peer->name, peer->zone,
                              peer->ping_arrived_at);
}

static void
handle_hello (struct rst_term *term, uint64_t link, struct rst_reader *reader)
{
  enum rst_role role = (enum rst_role)rst_reader_read_int (reader);
  char *name = rst_reader_read_text (reader);
  char *zone = rst_reader_read_text (reader);
  struct link_peer *peer = g_new0 (struct link_peer, 1);

  peer->link = link;
  peer->ping_clock = rst_reader_read_int (reader);
  peer->ping_arrived_at = term->config.now ();
  peer->role = role;
  g_strlcpy (peer->name, name, sizeof peer->name);
  g_strlcpy (peer->zone, zone, sizeof peer->zone);
  note_heard (term, peer);
  g_hash_table_replace (term->links, &peer->link, peer);
  send_welcome (term, link);
  send_heartbeat (term, peer, peer->ping_arrived_at - term->last_commit_at);
  if (role == RST_ROLE_AGENT)
    rst_planner_add_agent (term->planner, link, name, zone);
  g_free (name);
  g_free (zone);
}

static void
handle_ping (struct rst_term *term, uint64_t link, struct rst_reader *reader)
{
  struct link_peer *peer = g_hash_table_lookup (term->links, &link);

  if (peer == NULL)
    return;
  peer->ping_clock = rst_reader_read_int (reader);
  peer->ping_arrived_at = term->config.now ();
  note_heard (term, peer);
  rst_planner_set_link_heard (term->planner, link,
                              rst_reader_read_int (reader));
}

static void
handle_call (struct rst_term *term, uint64_t link, struct rst_reader *reader)
{
  struct rst_planner_call call = { 0 };
  struct rst_reader inner;
  char *host;
  char *path;
  char *key;

  call.link = link;
  call.number = (uint64_t)rst_reader_read_int (reader);
  call.operation = (enum rst_operation)rst_reader_read_int (reader);
  host = rst_reader_read_text (reader);
  path = rst_reader_read_text (reader);
  key = rst_reader_read_text (reader);
  inner = *reader;
  if (call.operation == RST_OPERATION_SUBMIT && !reader->bad)
    call.desc = rst_jobdesc_read (&inner);
  /* Absent from the messages of earlier versions. */
  if (call.desc != NULL && inner.position < inner.count)
    call.sent_at = rst_reader_read_int (&inner);
  call.host = host;
  call.path = path;
  call.key = key;
  rst_planner_receive_call (term->planner, &call);
  g_free (host);
  g_free (path);
  g_free (key);
}

static void
handle_redirect (struct rst_term *term, struct rst_reader *reader)
{
  char address[RST_ADDRESS_SIZE];
  int64_t epoch = rst_reader_read_int (reader);

  rst_reader_copy_text (reader, address, sizeof address);
  if (!reader->bad)
    rst_term_handle_redirect (term, epoch, address);
}

void
rst_term_handle_frame (struct rst_term *term, uint64_t link, const void *data,
                       size_t length)
{
  msgpack_unpacked unpacked;
  struct rst_reader reader;
  int kind;

  if (term->ended)
    return;
  if (term->planner == NULL
      || !rst_reader_open (&reader, &unpacked, data, length))
    {
      term->config.close (term->config.userdata, link);
      return;
    }
  kind = (int)rst_reader_read_int (&reader);
  rst_term_update_planner_time (term);
  if (kind == RST_MSG_HELLO)
    handle_hello (term, link, &reader);
  else if (kind == RST_MSG_PING)
    handle_ping (term, link, &reader);
  else if (kind == RST_MSG_REDIRECT)
    handle_redirect (term, &reader);
  else if (kind != RST_MSG_CALL)
    rst_planner_receive_message (term->planner, link, kind, &reader);
  else if (term->serving)
    handle_call (term, link, &reader);
  msgpack_unpacked_destroy (&unpacked);
}

void
rst_term_handle_link_closed (struct rst_term *term, uint64_t link)
{
  if (!g_hash_table_remove (term->links, &link) || term->planner == NULL)
    return;
  rst_term_update_planner_time (term);
  rst_planner_link_closed (term->planner, link);
}

static void
start_serving (struct rst_term *term)
{
  GHashTableIter iter;
  gpointer key;

  term->serving = true;
  rst_info (RST_TERM_LOG_DOMAIN, "Planner is ready; serving callers.");
  g_hash_table_iter_init (&iter, term->links);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    send_welcome (term, *(uint64_t *)key);
}

static void
log_isolation (const struct rst_term *term,
               const struct rst_isolation_signs *signs)
{
  char age[24];
  char silent[16];
  char agents[16];
  char silent_others[16];
  char others[16];

  g_snprintf (age, sizeof age, "%lld", (long long)signs->confirm_age_ms);
  g_snprintf (silent, sizeof silent, "%u", signs->silent_agents);
  g_snprintf (agents, sizeof agents, "%u", signs->agents);
  g_snprintf (silent_others, sizeof silent_others, "%u",
              signs->silent_other_agents);
  g_snprintf (others, sizeof others, "%u", signs->other_agents);
  rst_info (RST_TERM_LOG_DOMAIN,
            term->isolated
                ? "Planner is isolated with its zone; it stops serving."
                : "Planner is no longer isolated; it serves again.",
            "store_age_ms", age, "silent", silent, "agents", agents,
            "silent_of_other_zones", silent_others, "of_other_zones", others);
}

/* Decides anew whether this planner is isolated.  Agents are not told: they go
   on holding instances and extending leases. */
static void
check_isolation (struct rst_term *term)
{
  struct rst_isolation_signs signs;
  bool isolated = rst_isolation_evaluate (term->isolation, term->config.now (),
                                          term->confirmed_at, &signs);
  GHashTableIter iter;
  gpointer value;

  if (isolated == term->isolated)
    return;
  term->isolated = isolated;
  log_isolation (term, &signs);
  g_hash_table_iter_init (&iter, term->links);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct link_peer *peer = value;

      if (peer->role == RST_ROLE_ENTRY)
        send_welcome (term, peer->link);
    }
  rst_term_update_planner_time (term);
  rst_planner_set_isolated (term->planner, isolated);
}

static rst_ms
run_watches (struct rst_term *term)
{
  rst_ms wake = term->config.now () + HEARTBEAT_INTERVAL_MS;

  if (term->resigning)
    return wake;
  if (term->operator_watch != NULL)
    wake = MIN (wake, rst_prefix_watch_run (term->operator_watch));
  if (term->instance_watch != NULL)
    wake = MIN (wake, rst_prefix_watch_run (term->instance_watch));
  return wake;
}

rst_ms
rst_term_run (struct rst_term *term)
{
  rst_ms now = term->config.now ();
  rst_ms wake = now + HEARTBEAT_INTERVAL_MS;

  if (term->committing && !term->commit_in_flight
      && now >= term->commit_retry_at)
    send_commit (term);
  if (!term->elected)
    return wake;
  if (!term->committing && now - term->last_commit_at >= RECORD_RENEW_MS)
    begin_commit (term);
  if (term->restore_phase == RESTORE_JOURNAL)
    wake = MIN (wake, rst_term_run_restore (term));
  rst_planner_set_time (term->planner, now, term->config.unix_now ());
  if (!term->serving && rst_planner_is_ready (term->planner))
    start_serving (term);
  if (now >= term->next_heartbeat_at)
    {
      term->next_heartbeat_at = now + HEARTBEAT_INTERVAL_MS;
      send_heartbeats (term, now - term->last_commit_at);
    }
  wake = MIN (wake, rst_planner_run (term->planner));
  rst_term_run_machine_list (term);
  wake = MIN (wake, run_watches (term));
  if (term->committing && !term->commit_in_flight)
    wake = MIN (wake, term->commit_retry_at);
  return wake;
}

void
rst_term_resign (struct rst_term *term)
{
  term->resigning = true;
  term->record.address[0] = '\0';
  if (!term->committing)
    begin_commit (term);
}

bool
rst_term_is_idle (const struct rst_term *term)
{
  return !term->committing && term->resigning == term->resigned;
}

int64_t
rst_term_get_epoch (const struct rst_term *term)
{
  return term->record.epoch;
}

const struct rst_planner *
rst_term_get_planner (const struct rst_term *term)
{
  return term->planner;
}
