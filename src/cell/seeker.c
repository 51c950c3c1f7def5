#include "cell/seeker.h"

#include <inttypes.h>
#include <string.h>

#include "util/log.h"

#define LOG_PREFIX "seeker"

/** Time between two readings of the planner's key, in milliseconds. */
#define READ_EVERY_MS 150

/** Pause after a link that was refused, in milliseconds. */
#define RECONNECT_MS 60

/** The key stood still this long after the link was closed by the peer. */
#define STILL_CLOSED_MS 250

/** The same when the planner is silent. */
#define STILL_SILENT_MS 700

/** Age of the store's last word to the planner from which on others look
    whether they reach the store. */
#define STORE_AGE_MAX_MS 600

/** A link that was not answered for this long is closed. */
#define WELCOME_WAIT_MS 700

/** Longest time without anything due. */
#define IDLE_MS 500

struct rst_seeker
{
  struct rst_seeker_config config;
  uint64_t link;
  bool open;
  bool welcomed;
  int64_t link_epoch;
  int64_t epoch;
  char address[RST_ADDRESS_SIZE];
  rst_ms link_at;
  rst_ms confirmed_at;
  bool refused;
  bool reading;
  rst_ms next_read;
  int64_t revision;
  rst_ms moved_at;
};

void
rst_seat_pack (struct rst_pack *pack, const struct rst_seat *seat)
{
  rst_pack_init (pack, 4);
  rst_pack_int (pack, seat->epoch);
  rst_pack_int (pack, seat->counter);
  rst_pack_text (pack, seat->name);
  rst_pack_text (pack, seat->address);
}

bool
rst_seat_read (struct rst_seat *seat, const void *data, size_t length)
{
  msgpack_unpacked unpacked;
  struct rst_reader reader;
  bool good = rst_reader_open (&reader, &unpacked, data, length);

  memset (seat, 0, sizeof *seat);
  if (good)
    {
      seat->epoch = rst_reader_int (&reader);
      seat->counter = rst_reader_int (&reader);
      rst_reader_copy (&reader, seat->name, sizeof seat->name);
      rst_reader_copy (&reader, seat->address, sizeof seat->address);
    }
  msgpack_unpacked_destroy (&unpacked);
  return good && !reader.bad;
}

struct rst_seeker *
rst_seeker_create (const struct rst_seeker_config *config)
{
  struct rst_seeker *seeker = g_new0 (struct rst_seeker, 1);

  seeker->config = *config;
  seeker->config.name = g_strdup (config->name);
  seeker->config.zone = g_strdup (config->zone);
  return seeker;
}

void
rst_seeker_destroy (struct rst_seeker *seeker)
{
  if (seeker == NULL)
    return;
  g_free ((char *)seeker->config.name);
  g_free ((char *)seeker->config.zone);
  g_free (seeker);
}

bool
rst_seeker_owns (const struct rst_seeker *seeker, uint64_t link)
{
  return seeker->link != 0 && seeker->link == link;
}

static void
forget_link (struct rst_seeker *seeker)
{
  bool was = seeker->welcomed;

  seeker->link = 0;
  seeker->open = false;
  seeker->welcomed = false;
  /* A link that never worked must not make this a busy loop. */
  seeker->next_read = was ? 0 : seeker->config.now () + RECONNECT_MS;
  if (was)
    seeker->config.lost (seeker->config.userdata);
}

static void
close_link (struct rst_seeker *seeker)
{
  uint64_t link = seeker->link;

  if (link == 0)
    return;
  forget_link (seeker);
  seeker->config.close (seeker->config.userdata, link);
}

static void
connect_to (struct rst_seeker *seeker, int64_t epoch, const char *address)
{
  if (seeker->link != 0 && seeker->link_epoch >= epoch)
    return;
  close_link (seeker);
  seeker->link_epoch = epoch;
  g_strlcpy (seeker->address, address, sizeof seeker->address);
  seeker->link_at = seeker->config.now ();
  seeker->refused = false;
  seeker->link = seeker->config.connect (seeker->config.userdata, address);
}

void
rst_seeker_moved (struct rst_seeker *seeker, int64_t epoch,
                  const char *address)
{
  if (epoch > seeker->link_epoch || seeker->link == 0)
    connect_to (seeker, epoch, address);
}

void
rst_seeker_opened (struct rst_seeker *seeker)
{
  struct rst_pack pack;

  seeker->open = true;
  rst_pack_init (&pack, 4);
  rst_pack_int (&pack, RST_MSG_HELLO);
  rst_pack_int (&pack, seeker->config.role);
  rst_pack_text (&pack, seeker->config.name);
  rst_pack_text (&pack, seeker->config.zone);
  seeker->config.send (seeker->config.userdata, seeker->link, pack.buffer.data,
                       pack.buffer.size);
  rst_pack_clear (&pack);
}

void
rst_seeker_closed (struct rst_seeker *seeker)
{
  rst_ms now = seeker->config.now ();

  /* Closed at once or by the peer: nobody plans there. */
  seeker->refused = now - seeker->link_at < STILL_CLOSED_MS
                    || now - seeker->confirmed_at < STILL_SILENT_MS;
  rst_info (LOG_PREFIX, "Link to the planner is gone.", "address",
            seeker->address, "how", seeker->refused ? "closed" : "silent");
  forget_link (seeker);
}

static void
take_welcome (struct rst_seeker *seeker, struct rst_reader *reader)
{
  int64_t epoch = rst_reader_int (reader);
  bool serving = rst_reader_int (reader) != 0;

  if (reader->bad)
    return;
  if (epoch < seeker->epoch)
    {
      close_link (seeker);
      return;
    }
  seeker->epoch = epoch;
  seeker->link_epoch = epoch;
  seeker->welcomed = true;
  seeker->confirmed_at = seeker->config.now ();
  seeker->config.linked (seeker->config.userdata, serving);
}

void
rst_seeker_frame (struct rst_seeker *seeker, const void *data, size_t length)
{
  msgpack_unpacked unpacked;
  struct rst_reader reader;
  char address[RST_ADDRESS_SIZE];
  int64_t number;
  int kind;

  if (!rst_reader_open (&reader, &unpacked, data, length))
    {
      rst_warning (LOG_PREFIX, "Frame can't be read; link closed.");
      close_link (seeker);
      goto out;
    }
  kind = (int)rst_reader_int (&reader);
  if (kind == RST_MSG_WELCOME)
    take_welcome (seeker, &reader);
  else if (kind == RST_MSG_ALIVE)
    {
      number = rst_reader_int (&reader);
      seeker->confirmed_at = seeker->config.now () - number;
      seeker->config.alive (seeker->config.userdata, number);
    }
  else if (kind == RST_MSG_MOVED)
    {
      number = rst_reader_int (&reader);
      rst_reader_copy (&reader, address, sizeof address);
      rst_seeker_moved (seeker, number, address);
    }
  else
    seeker->config.message (seeker->config.userdata, kind, &reader);

out:
  msgpack_unpacked_destroy (&unpacked);
}

bool
rst_seeker_send (struct rst_seeker *seeker, const void *data, size_t length)
{
  if (!seeker->welcomed)
    return false;
  seeker->config.send (seeker->config.userdata, seeker->link, data, length);
  return true;
}

/* Whether the planner's key has stood still long enough. */
static bool
is_still (const struct rst_seeker *seeker, rst_ms now)
{
  rst_ms wait = seeker->refused && seeker->link == 0 ? STILL_CLOSED_MS
                                                     : STILL_SILENT_MS;

  return now - seeker->moved_at
         >= wait + seeker->config.jitter_ms + seeker->config.reserve_ms;
}

static void
judge (struct rst_seeker *seeker, const struct rst_item *item)
{
  rst_ms now = seeker->config.now ();
  struct rst_seat seat = { 0 };
  int64_t revision = item != NULL ? item->revision : 0;
  bool resigned;

  if (item != NULL && !rst_seat_read (&seat, item->value, item->length))
    rst_warning (LOG_PREFIX, "The planner's key can't be read.");
  resigned = seat.address[0] == '\0';
  if (revision != seeker->revision || seeker->moved_at == 0)
    {
      seeker->revision = revision;
      seeker->moved_at = now;
    }
  if (!resigned && (seeker->link == 0 || seat.epoch > seeker->link_epoch))
    connect_to (seeker, seat.epoch, seat.address);
  if (seeker->config.take == NULL || seat.epoch < seeker->epoch)
    return;
  if ((resigned && now - seeker->moved_at >= seeker->config.reserve_ms)
      || is_still (seeker, now))
    {
      seeker->moved_at = now;
      seeker->config.take (seeker->config.userdata, revision, &seat);
    }
}

static void
on_read (struct rst_store_answer *answer, void *userdata)
{
  struct rst_seeker *seeker = userdata;
  const struct rst_item *item = NULL;

  seeker->reading = false;
  seeker->next_read = seeker->config.now () + READ_EVERY_MS;
  if (answer->result == RST_RESULT_OK && answer->items->len > 0)
    item = g_ptr_array_index (answer->items, 0);
  if (item != NULL || answer->result == RST_RESULT_ABSENT)
    judge (seeker, item);
  rst_store_answer_free (answer);
}

rst_ms
rst_seeker_run (struct rst_seeker *seeker)
{
  const struct rst_backend *backend = seeker->config.backend;
  rst_ms now = seeker->config.now ();
  bool settled
      = seeker->welcomed && now - seeker->confirmed_at < STORE_AGE_MAX_MS;

  if (seeker->link != 0 && !seeker->welcomed
      && now - seeker->link_at > WELCOME_WAIT_MS)
    close_link (seeker);
  if (settled || seeker->reading)
    return now + IDLE_MS;
  if (now < seeker->next_read)
    return seeker->next_read;
  seeker->reading = true;
  backend->store_get (backend->userdata, RST_SEEKER_KEY, on_read, seeker);
  return now + IDLE_MS;
}
