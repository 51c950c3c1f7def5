/* Restores a new planner: reads the journal, then lists and watches the keys
   of operators, then those of instances. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "adapter.h"
#include "daemon/store_input.h"
#include "daemon/term_private.h"

/** Longest wait of a long poll for changes, in milliseconds.  It is short so
    that a connection on which the store has gone silent times out soon. */
#define LONG_POLL_WAIT_MS 1000

/** Pause between two long polls for instance entries, in milliseconds; changes
    that arrive meanwhile come in one answer. */
#define INSTANCE_WATCH_PAUSE_MS 200

/** The journal is read in blocks, so that on a narrow link a page holds up the
    renewal of the planner record for a short time only.  The store's pages are
    of a size of its own, but its keys can be listed by prefix: a block is the
    segments whose numbers differ in some low bits, a multiple of 4, as the
    keys are hexadecimal. */
#define BLOCK_BITS_FIRST 4
#define BLOCK_BITS_MAX 8
#define BITS_PER_DIGIT 4

/** Number of bits in the number of a segment. */
#define SEGMENT_BITS 64

/** How long the link may be busy with a block, in milliseconds; it is below
    the interval at which the record is renewed. */
#define BLOCK_LINK_MS 200

static void
apply_operator_item (void *userdata, const struct rst_store_item *item)
{
  struct rst_term *term = userdata;

  rst_term_update_planner_time (term);
  rst_store_input_apply_operator_item (term->planner, item);
}

static void
apply_instance_item (void *userdata, const struct rst_store_item *item)
{
  struct rst_term *term = userdata;

  rst_term_update_planner_time (term);
  rst_store_input_apply_instance_item (term->planner, item);
}

static void start_next_phase (struct rst_term *term);

static size_t
count_bytes (const GPtrArray *items)
{
  size_t bytes = 0;

  for (guint i = 0; i < items->len; i++)
    bytes += ((const struct rst_store_item *)g_ptr_array_index (items, i))
                 ->length;
  return bytes;
}

/* Logs a page that was read, or a read that failed and is repeated. */
static void
log_journal_page (const struct rst_term *term,
                  const struct rst_store_answer *answer)
{
  rst_ms now = term->config.now ();
  char segments[16];
  char bytes[24];
  char took_ms[24];

  g_snprintf (segments, sizeof segments, "%u", answer->items->len);
  g_snprintf (bytes, sizeof bytes, "%zu", count_bytes (answer->items));
  g_snprintf (took_ms, sizeof took_ms, "%" PRId64,
              now - term->journal_read_at);
  if (answer->result == RST_RESULT_OK)
    rst_info (RST_TERM_LOG_DOMAIN, "Page of the journal was read.", "segments",
              segments, "bytes", bytes, "took_ms", took_ms, "more",
              answer->has_more ? "yes" : "no");
  else
    rst_info (RST_TERM_LOG_DOMAIN,
              "Page of the journal can't be read; it is requested again.",
              "result", rst_result_name (answer->result), "took_ms", took_ms,
              "behind", term->journal_position);
}

/* Chooses the size of the next block by the size of the segments just read.
   How long the page took does not tell: the store may be slow. */
static void
adapt_block (struct rst_term *term, const struct rst_store_answer *answer)
{
  int64_t link_bytes = term->config.timing.link_bytes_per_ms * BLOCK_LINK_MS;
  size_t segment_bytes;

  if (link_bytes == 0 || answer->items->len == 0)
    return;
  /* As base64. */
  segment_bytes = count_bytes (answer->items) * 4 / 3 / answer->items->len;
  term->journal_block_bits = BLOCK_BITS_MAX;
  while (term->journal_block_bits > 0
         && segment_bytes << term->journal_block_bits > (size_t)link_bytes)
    term->journal_block_bits -= BITS_PER_DIGIT;
}

/* Returns the number of the last segment of the block that is being read. */
static uint64_t
get_block_end (const struct rst_term *term)
{
  if (term->journal_block_bits == SEGMENT_BITS)
    return UINT64_MAX;
  return term->journal_segment
         | ((UINT64_C (1) << term->journal_block_bits) - 1);
}

static void
restore_page (struct rst_term *term, const struct rst_store_answer *answer)
{
  for (guint i = 0; i < answer->items->len; i++)
    {
      const struct rst_store_item *item = g_ptr_array_index (answer->items, i);
      uint64_t segment
          = strtoull (item->key + strlen (RST_TERM_SEGMENT_PREFIX), NULL, 16);

      g_strlcpy (term->journal_position, item->key,
                 sizeof term->journal_position);
      if (!rst_planner_restore (term->planner, (int64_t)segment, item->value,
                                item->length))
        rst_warning (
            RST_TERM_LOG_DOMAIN,
            "Journal segment is damaged; unreadable records are skipped.",
            "key", item->key);
    }
}

static void
on_journal_page (struct rst_store_answer *answer, void *userdata)
{
  struct rst_term *term = userdata;
  uint64_t block_end;

  if (!rst_term_finish_call (term))
    {
      rst_store_answer_free (answer);
      return;
    }
  rst_term_update_planner_time (term);
  log_journal_page (term, answer);
  block_end = get_block_end (term);
  if (answer->result != RST_RESULT_OK)
    term->next_journal_read_at = term->config.now () + RST_TERM_RETRY_DELAY_MS;
  else
    {
      restore_page (term, answer);
      if (term->journal_block_bits != SEGMENT_BITS)
        adapt_block (term, answer);
      if (!answer->has_more && block_end >= term->journal_end)
        start_next_phase (term);
      else
        term->next_journal_read_at = term->config.now ();
      if (!answer->has_more)
        term->journal_segment = block_end + 1;
    }
  rst_store_answer_free (answer);
}

/* Requests the next page.  Its prefix is shorter than the key of a segment by
   the digits in which the segments of the block differ. */
static void
read_journal (struct rst_term *term)
{
  const struct rst_backend *backend = term->config.backend;
  char prefix[64];

  rst_term_format_segment_key (prefix, sizeof prefix, term->journal_segment);
  prefix[strlen (prefix) - (size_t)term->journal_block_bits / BITS_PER_DIGIT]
      = '\0';
  term->next_journal_read_at = 0;
  term->pending_calls++;
  term->journal_read_at = term->config.now ();
  backend->store_range (backend->userdata, prefix, term->journal_position,
                        on_journal_page, term);
}

void
rst_term_start_restore (struct rst_term *term)
{
  bool is_known = term->record.last_segment > 0;

  term->restore_phase = RESTORE_JOURNAL;
  term->journal_segment = is_known ? (uint64_t)term->record.first_segment : 0;
  term->journal_end
      = is_known ? (uint64_t)term->record.last_segment : UINT64_MAX;
  if (!is_known)
    term->journal_block_bits = SEGMENT_BITS;
  else if (term->config.timing.link_bytes_per_ms == 0)
    term->journal_block_bits = BLOCK_BITS_MAX;
  else
    term->journal_block_bits = BLOCK_BITS_FIRST;
  read_journal (term);
}

rst_ms
rst_term_run_restore (struct rst_term *term)
{
  rst_ms now = term->config.now ();

  /* On a narrow link the next page would hold up the renewal that is under
     way; its answer runs the term again. */
  if (term->next_journal_read_at == 0
      || (term->commit_in_flight && term->journal_block_bits < BLOCK_BITS_MAX))
    return now + RST_TERM_RETRY_DELAY_MS;
  if (now < term->next_journal_read_at)
    return term->next_journal_read_at;
  read_journal (term);
  return now + RST_TERM_RETRY_DELAY_MS;
}

static void
on_list_complete (void *userdata)
{
  struct rst_term *term = userdata;

  if (term->restore_phase != RESTORE_DONE)
    start_next_phase (term);
}

static struct rst_prefix_watch *
start_watch (struct rst_term *term, const char *prefix,
             void (*on_item) (void *, const struct rst_store_item *),
             rst_ms pause_ms)
{
  struct rst_prefix_watch_config config = { 0 };

  config.backend = term->config.backend;
  config.now = term->config.now;
  config.prefix = prefix;
  config.wait_ms = LONG_POLL_WAIT_MS;
  config.pause_ms = pause_ms;
  config.on_item = on_item;
  config.on_list_complete = on_list_complete;
  config.userdata = term;
  return rst_prefix_watch_create (&config);
}

static void
start_next_phase (struct rst_term *term)
{
  term->restore_phase++;
  if (term->restore_phase == RESTORE_OPERATORS)
    term->operator_watch = start_watch (term, RST_PLATFORM_OPERATOR_PREFIX,
                                        apply_operator_item, 0);
  else if (term->restore_phase == RESTORE_INSTANCES)
    term->instance_watch
        = start_watch (term, RST_PLATFORM_INSTANCE_PREFIX, apply_instance_item,
                       INSTANCE_WATCH_PAUSE_MS);
  else
    rst_planner_finish_restore (term->planner);
}

static void
on_machine_list (void *userdata, const GArray *machines, rst_ms requested_at)
{
  struct rst_term *term = userdata;

  rst_term_update_planner_time (term);
  rst_planner_note_machines (term->planner, machines, requested_at);
}

void
rst_term_run_machine_list (struct rst_term *term)
{
  struct rst_machine_list_config config = { 0 };

  if (term->config.backend->list_machines == NULL || term->resigning
      || !rst_planner_wants_machines (term->planner))
    return;
  if (term->machine_list == NULL)
    {
      config.backend = term->config.backend;
      config.now = term->config.now;
      config.on_list = on_machine_list;
      config.userdata = term;
      term->machine_list = rst_machine_list_create (&config);
    }
  rst_machine_list_request (term->machine_list);
}
