/**
 * DOC: prefix_watch - lists the keys under a prefix, then watches them
 *
 * Every key of the store under the prefix is delivered once when it is
 * listed, and again with each change.  When the store has compacted the
 * changes that the watch asks for, the prefix is listed again, and keys that
 * are gone are delivered as deleted.
 */
#ifndef RST_PREFIX_WATCH_H
#define RST_PREFIX_WATCH_H

#include "cell/backend.h"

struct rst_prefix_watch;

/**
 * struct rst_prefix_watch_config - Configuration of a watch.
 * @backend: Calls to the store; callbacks must arrive on the owner's thread.
 * @now: Returns monotonic time.
 * @prefix: Prefix of the keys; must outlive the watch.
 * @wait_ms: Longest wait of a long poll for changes.
 * @pause_ms: Pause between two long polls, so that one answer carries more
 *   changes.
 * @on_item: Receives a listed or changed key.
 * @on_list_complete: Every key under the prefix has been delivered.
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

/** rst_prefix_watch_create() - Creates a watch; rst_prefix_watch_run() sends
 * its first call. */
struct rst_prefix_watch *
rst_prefix_watch_create (const struct rst_prefix_watch_config *config);

/**
 * rst_prefix_watch_destroy() - Ends a watch; NULL is ignored.
 *
 * Nothing is delivered any more.  The memory is freed once the pending call
 * has been answered.
 */
void rst_prefix_watch_destroy (struct rst_prefix_watch *watch);

/**
 * rst_prefix_watch_run() - Sends the next call to the store when it is due.
 *
 * Return: Time at which to call it again.
 */
rst_ms rst_prefix_watch_run (struct rst_prefix_watch *watch);

#endif
