/**
 * DOC: follow - a prefix of the store that is read whole and then watched
 *
 * Each item is handed on once as it is read and again with each change.  When
 * the store no longer has the history of changes, the prefix is read whole
 * again and what is absent is handed on as deleted.
 */
#ifndef RST_PREFIX_WATCH_H
#define RST_PREFIX_WATCH_H

#include "cell/backend.h"

struct rst_prefix_watch;

/**
 * struct rst_prefix_watch_config - What is followed, and who is told.
 * @backend: The store; callbacks arrive on the owner's thread.
 * @now: Steady time.
 * @prefix: A static string.
 * @wait_ms: How long a watch waits.
 * @pause_ms: Pause between two watches, in which changes gather.
 * @on_item: Takes an item.
 * @on_list_complete: The prefix was read whole.
 * @userdata: Passed to both.
 */
struct rst_prefix_watch_config
{
  const struct rst_backend *backend;
  rst_ms (*now) (void);
  const char *prefix;
  rst_ms wait_ms;
  rst_ms pause_ms;
  void (*on_item) (void *userdata, const struct rst_store_item *item);
  void (*on_list_complete) (void *userdata);
  void *userdata;
};

/** rst_prefix_watch_create() - Begins with the next rst_prefix_watch_run(). */
struct rst_prefix_watch *
rst_prefix_watch_create (const struct rst_prefix_watch_config *config);

/**
 * rst_prefix_watch_destroy() - Ends it, or ignores NULL.
 *
 * Nothing is handed on any more; it is freed when its call was answered.
 */
void rst_prefix_watch_destroy (struct rst_prefix_watch *watch);

/** rst_prefix_watch_run() - Does what is due; returns when to be called again.
 */
rst_ms rst_prefix_watch_run (struct rst_prefix_watch *watch);

#endif
