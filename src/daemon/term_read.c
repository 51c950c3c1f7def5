/* What a new planner reads from the store, and then follows. */
#include <stdlib.h>
#include <string.h>

#include "adapter.h"
#include "daemon/observe.h"
#include "daemon/term_private.h"

/** Wait of a watch; with its margin it finds a silent connection in time. */
#define WATCH_WAIT_MS 1000

/** Pause between two watches of the instances' entries, in milliseconds. */
#define INSTANCES_EVERY_MS 200

static void
apply_operators (void *userdata, const struct rst_store_item *item)
{
  struct rst_term *term = userdata;

  rst_term_set_time (term);
  rst_observe_operators (term->planner, item);
}

static void
apply_instance (void *userdata, const struct rst_store_item *item)
{
  struct rst_term *term = userdata;

  rst_term_set_time (term);
  rst_observe_instance (term->planner, item);
}

static void next_reading (struct rst_term *term);

static void
on_journal (struct rst_store_answer *answer, void *userdata)
{
  struct rst_term *term = userdata;

  if (!rst_term_call_ended (term))
    {
      rst_store_answer_free (answer);
      return;
    }
  rst_term_set_time (term);
  for (guint i = 0; answer->result == RST_RESULT_OK && i < answer->items->len;
       i++)
    {
      const struct rst_store_item *item = g_ptr_array_index (answer->items, i);
      int64_t segment = (int64_t)strtoull (
          item->key + strlen (RST_SEGMENT_PREFIX), NULL, 16);

      g_strlcpy (term->after, item->key, sizeof term->after);
      if (!rst_planner_restore (term->planner, segment, item->value,
                                item->length))
        rst_warning (RST_TERM_LOG, "Segment can't be read whole.", "key",
                     item->key);
    }
  if (answer->result != RST_RESULT_OK)
    term->read_at = term->config.now () + RST_TERM_AGAIN_MS;
  else if (answer->has_more)
    rst_term_read_journal (term);
  else
    next_reading (term);
  rst_store_answer_free (answer);
}

void
rst_term_read_journal (struct rst_term *term)
{
  const struct rst_backend *backend = term->config.backend;

  term->calls++;
  backend->store_range (backend->userdata, RST_SEGMENT_PREFIX, term->after,
                        on_journal, term);
}

static void
on_read (void *userdata)
{
  struct rst_term *term = userdata;

  if (term->reading != READING_DONE)
    next_reading (term);
}

static struct rst_follow *
start_following (struct rst_term *term, const char *prefix,
                 void (*apply) (void *, const struct rst_store_item *),
                 rst_ms pause_ms)
{
  struct rst_follow_config config = { 0 };

  config.backend = term->config.backend;
  config.now = term->config.now;
  config.prefix = prefix;
  config.wait_ms = WATCH_WAIT_MS;
  config.pause_ms = pause_ms;
  config.apply = apply;
  config.read = on_read;
  config.userdata = term;
  return rst_follow_create (&config);
}

static void
next_reading (struct rst_term *term)
{
  term->reading++;
  if (term->reading == READING_OPERATORS)
    term->operators = start_following (term, RST_PLATFORM_OPERATOR_PREFIX,
                                       apply_operators, 0);
  else if (term->reading == READING_INSTANCES)
    term->instances = start_following (term, RST_PLATFORM_INSTANCE_PREFIX,
                                       apply_instance, INSTANCES_EVERY_MS);
  else
    rst_planner_finish_restore (term->planner);
}
