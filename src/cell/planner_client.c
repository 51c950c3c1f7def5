#include "cell/planner_client.h"

#include <inttypes.h>
#include <string.h>

#include "cell/peer_clock.h"
#include "util/log.h"

#define LOG_DOMAIN "seeker"

/** Time between two reads of the planner record, in milliseconds. */
#define READ_INTERVAL_MS 150

/** Delay before reconnecting when the planner did not accept the link, in
    milliseconds. */
#define RECONNECT_DELAY_MS 60

/** A planner that closed the link is replaced when its record has not changed
    for this long, in milliseconds. */
#define TAKEOVER_AFTER_CLOSE_MS 250

/** The same for a planner that is silent, in milliseconds. */
#define TAKEOVER_AFTER_SILENCE_MS 700

/** When the store has not confirmed the planner for this long, other processes
    check whether the store answers them, in milliseconds. */
#define CONFIRMATION_AGE_MAX_MS 600

/** A link that the planner does not accept for this long is closed, in
    milliseconds. */
#define WELCOME_TIMEOUT_MS 700

/** Longest time between two calls of rst_planner_client_run(), in
    milliseconds. */
#define IDLE_MS 500

struct rst_planner_client
{
  struct rst_planner_client_config config;
  uint64_t link;
  bool open;
  bool welcomed;
  /* Epoch of the planner that the link leads to. */
  int64_t link_epoch;
  /* Highest epoch that a planner has welcomed this process with. */
  int64_t epoch;
  char address[RST_ADDRESS_SIZE];
  rst_ms connect_started_at;
  /* When the store last confirmed the planner. */
  rst_ms confirmed_at;
  /* The clock of the planner that the link leads to. */
  struct rst_peer_clock planner_clock;
  bool closed_by_peer;
  bool read_pending;
  rst_ms next_read_at;
  /* Revision of the planner record, and when it was first seen. */
  int64_t revision;
  rst_ms record_changed_at;
};

void
rst_planner_record_pack (struct rst_pack *pack,
                         const struct rst_planner_record *record)
{
  rst_pack_init (pack, 6);
  rst_pack_int (pack, record->epoch);
  rst_pack_int (pack, record->counter);
  rst_pack_text (pack, record->name);
  rst_pack_text (pack, record->address);
  rst_pack_int (pack, record->first_segment);
  rst_pack_int (pack, record->last_segment);
}

bool
rst_planner_record_read (struct rst_planner_record *record, const void *data,
                         size_t length)
{
  msgpack_unpacked unpacked;
  struct rst_reader reader;
  bool good = rst_reader_open (&reader, &unpacked, data, length);

  memset (record, 0, sizeof *record);
  if (good)
    {
      record->epoch = rst_reader_read_int (&reader);
      record->counter = rst_reader_read_int (&reader);
      rst_reader_copy_text (&reader, record->name, sizeof record->name);
      rst_reader_copy_text (&reader, record->address, sizeof record->address);
      /* Records of earlier versions don't name the segments. */
      if (reader.position < reader.count)
        {
          record->first_segment = rst_reader_read_int (&reader);
          record->last_segment = rst_reader_read_int (&reader);
        }
    }
  msgpack_unpacked_destroy (&unpacked);
  return good && !reader.bad;
}

struct rst_planner_client *
rst_planner_client_create (const struct rst_planner_client_config *config)
{
  struct rst_planner_client *client = g_new0 (struct rst_planner_client, 1);

  client->config = *config;
  client->config.name = g_strdup (config->name);
  client->config.zone = g_strdup (config->zone);
  return client;
}

void
rst_planner_client_destroy (struct rst_planner_client *client)
{
  if (client == NULL)
    return;
  g_free ((char *)client->config.name);
  g_free ((char *)client->config.zone);
  g_free (client);
}

bool
rst_planner_client_owns_link (const struct rst_planner_client *client,
                              uint64_t link)
{
  return client->link != 0 && client->link == link;
}

static void
clear_link (struct rst_planner_client *client)
{
  bool was_welcomed = client->welcomed;

  client->link = 0;
  client->open = false;
  client->welcomed = false;
  /* The delay avoids a busy loop when no link is accepted. */
  client->next_read_at
      = was_welcomed ? 0 : client->config.now () + RECONNECT_DELAY_MS;
  if (was_welcomed)
    client->config.on_disconnected (client->config.userdata);
}

static void
close_link (struct rst_planner_client *client)
{
  uint64_t link = client->link;

  if (link == 0)
    return;
  clear_link (client);
  client->config.close (client->config.userdata, link);
}

static void
connect_to_planner (struct rst_planner_client *client, int64_t epoch,
                    const char *address)
{
  if (client->link != 0 && client->link_epoch >= epoch)
    return;
  close_link (client);
  client->link_epoch = epoch;
  g_strlcpy (client->address, address, sizeof client->address);
  client->connect_started_at = client->config.now ();
  client->closed_by_peer = false;
  memset (&client->planner_clock, 0, sizeof client->planner_clock);
  client->link = client->config.connect (client->config.userdata, address);
}

void
rst_planner_client_redirect (struct rst_planner_client *client, int64_t epoch,
                             const char *address)
{
  if (epoch > client->link_epoch || client->link == 0)
    connect_to_planner (client, epoch, address);
}

void
rst_planner_client_link_opened (struct rst_planner_client *client)
{
  struct rst_pack pack;

  client->open = true;
  rst_pack_init (&pack, 5);
  rst_pack_int (&pack, RST_MSG_HELLO);
  rst_pack_int (&pack, client->config.role);
  rst_pack_text (&pack, client->config.name);
  rst_pack_text (&pack, client->config.zone);
  rst_pack_int (&pack, client->config.now ());
  client->config.send (client->config.userdata, client->link, pack.buffer.data,
                       pack.buffer.size);
  rst_pack_clear (&pack);
}

void
rst_planner_client_link_closed (struct rst_planner_client *client)
{
  rst_ms now = client->config.now ();

  /* A silent peer's link is closed only after a timeout.  One that closes
     soon after it was requested, or soon after the store's last confirmation,
     was closed by the peer, so that process is no longer the planner. */
  client->closed_by_peer
      = now - client->connect_started_at < TAKEOVER_AFTER_CLOSE_MS
        || now - client->confirmed_at < TAKEOVER_AFTER_SILENCE_MS;
  rst_info (LOG_DOMAIN, "Link to the planner is closed.", "address",
            client->address, "how",
            client->closed_by_peer ? "closed" : "silent");
  clear_link (client);
}

static void
handle_welcome (struct rst_planner_client *client, struct rst_reader *reader)
{
  int64_t epoch = rst_reader_read_int (reader);
  bool serving = rst_reader_read_int (reader) != 0;

  if (reader->bad)
    return;
  if (epoch < client->epoch)
    {
      close_link (client);
      return;
    }
  client->epoch = epoch;
  client->link_epoch = epoch;
  client->welcomed = true;
  client->confirmed_at = client->config.now ();
  /* Absent from the messages of earlier versions. */
  if (reader->position < reader->count)
    rst_peer_clock_read (&client->planner_clock, client->confirmed_at,
                         rst_reader_read_int (reader));
  client->config.on_connected (client->config.userdata, serving);
}

static void
send_ping (struct rst_planner_client *client, int64_t planner_clock)
{
  struct rst_pack pack;

  rst_pack_init (&pack, 3);
  rst_pack_int (&pack, RST_MSG_PING);
  rst_pack_int (&pack, client->config.now ());
  rst_pack_int (&pack, planner_clock);
  client->config.send (client->config.userdata, client->link, pack.buffer.data,
                       pack.buffer.size);
  rst_pack_clear (&pack);
}

static void
handle_heartbeat (struct rst_planner_client *client, struct rst_reader *reader)
{
  struct rst_heartbeat heartbeat = { 0 };
  rst_ms store_age_ms = rst_reader_read_int (reader);
  rst_ms ping_at = rst_reader_read_int (reader);
  rst_ms ping_age_ms = rst_reader_read_int (reader);
  rst_ms confirmation_age_ms = rst_reader_read_int (reader);
  int64_t planner_clock = rst_reader_read_int (reader);

  client->confirmed_at = client->config.now () - store_age_ms;
  if (!reader->bad)
    rst_peer_clock_read (&client->planner_clock, client->config.now (),
                         planner_clock);
  if (ping_at != 0 && !reader->bad)
    {
      heartbeat.sent_at = ping_at + ping_age_ms;
      heartbeat.confirmed_at = heartbeat.sent_at - confirmation_age_ms;
    }
  client->config.on_heartbeat (client->config.userdata, &heartbeat);
  send_ping (client, planner_clock);
}

void
rst_planner_client_handle_frame (struct rst_planner_client *client,
                                 const void *data, size_t length)
{
  msgpack_unpacked unpacked;
  struct rst_reader reader;
  char address[RST_ADDRESS_SIZE];
  int64_t number;
  int kind;

  if (!rst_reader_open (&reader, &unpacked, data, length))
    {
      rst_warning (LOG_DOMAIN, "Frame is malformed; the link is closed.");
      close_link (client);
      goto out;
    }
  kind = (int)rst_reader_read_int (&reader);
  if (kind == RST_MSG_WELCOME)
    handle_welcome (client, &reader);
  else if (kind == RST_MSG_HEARTBEAT)
    handle_heartbeat (client, &reader);
  else if (kind == RST_MSG_REDIRECT)
    {
      number = rst_reader_read_int (&reader);
      rst_reader_copy_text (&reader, address, sizeof address);
      rst_planner_client_redirect (client, number, address);
    }
  else
    client->config.on_message (client->config.userdata, kind, &reader);

out:
  msgpack_unpacked_destroy (&unpacked);
}

bool
rst_planner_client_send (struct rst_planner_client *client, const void *data,
                         size_t length)
{
  if (!client->welcomed)
    return false;
  client->config.send (client->config.userdata, client->link, data, length);
  return true;
}

rst_ms
rst_planner_client_convert_time (const struct rst_planner_client *client,
                                 rst_ms at)
{
  return rst_peer_clock_convert (&client->planner_clock, at);
}

/* Whether the planner record has not changed for long enough to take over. */
static bool
is_record_stale (const struct rst_planner_client *client, rst_ms now)
{
  rst_ms wait = client->closed_by_peer && client->link == 0
                    ? TAKEOVER_AFTER_CLOSE_MS
                    : TAKEOVER_AFTER_SILENCE_MS;

  return now - client->record_changed_at
         >= wait + client->config.jitter_ms + client->config.standby_delay_ms;
}

static void
evaluate_record (struct rst_planner_client *client,
                 const struct rst_store_item *item)
{
  rst_ms now = client->config.now ();
  struct rst_planner_record record = { 0 };
  int64_t revision = item != NULL ? item->revision : 0;
  bool resigned;

  if (item != NULL
      && !rst_planner_record_read (&record, item->value, item->length))
    rst_warning (LOG_DOMAIN, "Planner record is malformed.");
  resigned = record.address[0] == '\0';
  if (revision != client->revision || client->record_changed_at == 0)
    {
      client->revision = revision;
      client->record_changed_at = now;
    }
  if (!resigned && (client->link == 0 || record.epoch > client->link_epoch))
    connect_to_planner (client, record.epoch, record.address);
  if (client->config.take_over == NULL || record.epoch < client->epoch)
    return;
  if ((resigned
       && now - client->record_changed_at >= client->config.standby_delay_ms)
      || is_record_stale (client, now))
    {
      client->record_changed_at = now;
      client->config.take_over (client->config.userdata, revision, &record);
    }
}

static void
on_record_read (struct rst_store_answer *answer, void *userdata)
{
  struct rst_planner_client *client = userdata;
  const struct rst_store_item *item = NULL;

  client->read_pending = false;
  client->next_read_at = client->config.now () + READ_INTERVAL_MS;
  if (answer->result == RST_RESULT_OK && answer->items->len > 0)
    item = g_ptr_array_index (answer->items, 0);
  if (item != NULL || answer->result == RST_RESULT_ABSENT)
    evaluate_record (client, item);
  rst_store_answer_free (answer);
}

rst_ms
rst_planner_client_run (struct rst_planner_client *client)
{
  const struct rst_backend *backend = client->config.backend;
  rst_ms now = client->config.now ();
  bool is_connected = client->welcomed
                      && now - client->confirmed_at < CONFIRMATION_AGE_MAX_MS;

  if (client->link != 0 && !client->welcomed
      && now - client->connect_started_at > WELCOME_TIMEOUT_MS)
    close_link (client);
  if (is_connected || client->read_pending)
    return now + IDLE_MS;
  if (now < client->next_read_at)
    return client->next_read_at;
  client->read_pending = true;
  backend->store_get (backend->userdata, RST_PLANNER_RECORD_KEY,
                      on_record_read, client);
  return now + IDLE_MS;
}
