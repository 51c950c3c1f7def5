/**
 * DOC: follow - a prefix of the store that is read whole and then watched
 *
 * Each item is handed on once as it is read and again with each change.  When
 * the store no longer has the history of changes, the prefix is read whole
 * again and what is absent is handed on as deleted.
 */
#ifndef RST_FOLLOW_H
#define RST_FOLLOW_H

#include "cell/backend.h"

struct rst_follow;

/**
 * struct rst_follow_config - What is followed, and who is told.
 * @backend: The store; callbacks arrive on the owner's thread.
 * @now: Steady time.
 * @prefix: A static string.
 * @wait_ms: How long a watch waits.
 * @pause_ms: Pause between two watches, in which changes gather.
 * @apply: Takes an item.
 * @read: The prefix was read whole.
 * @userdata: Passed to both.
 */
struct rst_follow_config
{
  const struct rst_backend *backend;
  rst_ms (*now) (void);
  const char *prefix;
  rst_ms wait_ms;
  rst_ms pause_ms;
  void (*apply) (void *userdata, const struct rst_store_item *item);
  void (*read) (void *userdata);
  void *userdata;
};

/** rst_follow_create() - Begins with the next rst_follow_run(). */
struct rst_follow *rst_follow_create (const struct rst_follow_config *config);

/**
 * rst_follow_destroy() - Ends it, or ignores NULL.
 *
 * Nothing is handed on any more; it is freed when its call was answered.
 */
void rst_follow_destroy (struct rst_follow *follow);

/** rst_follow_run() - Does what is due; returns when to be called again. */
rst_ms rst_follow_run (struct rst_follow *follow);

#endif
