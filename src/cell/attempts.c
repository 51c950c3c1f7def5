#include "cell/attempts.h"

#include <ck_queue.h>
#include <glib.h>

/** Size of an id with the final NUL. */
#define ID_SIZE 17

/** struct attempt - First attempt of an id. */
struct attempt
{
  char id[ID_SIZE];
  rst_ms at;
  /* When it was last rejected. */
  rst_ms rejected_at;
  CK_STAILQ_ENTRY (attempt) entry;
};

struct rst_attempts
{
  unsigned max;
  rst_ms retention_ms;
  /* struct attempt by id, owned. */
  GHashTable *by_id;
  /* The same in the order in which they were noted. */
  CK_STAILQ_HEAD (, attempt) in_order;
};

struct rst_attempts *
rst_attempts_create (unsigned max, rst_ms retention_ms)
{
  struct rst_attempts *attempts = g_new0 (struct rst_attempts, 1);

  attempts->max = max;
  attempts->retention_ms = retention_ms;
  attempts->by_id
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  CK_STAILQ_INIT (&attempts->in_order);
  return attempts;
}

void
rst_attempts_destroy (struct rst_attempts *attempts)
{
  if (attempts == NULL)
    return;
  g_hash_table_destroy (attempts->by_id);
  g_free (attempts);
}

static bool
is_outdated (const struct rst_attempts *attempts,
             const struct attempt *attempt, rst_ms now)
{
  return now - attempt->at > attempts->retention_ms;
}

/* Removes outdated ids, and the oldest one if the table is full. */
static void
make_room (struct rst_attempts *attempts, rst_ms now)
{
  struct attempt *oldest = CK_STAILQ_FIRST (&attempts->in_order);

  while (oldest != NULL
         && (is_outdated (attempts, oldest, now)
             || g_hash_table_size (attempts->by_id) >= attempts->max))
    {
      CK_STAILQ_REMOVE_HEAD (&attempts->in_order, entry);
      g_hash_table_remove (attempts->by_id, oldest->id);
      oldest = CK_STAILQ_FIRST (&attempts->in_order);
    }
}

void
rst_attempts_note (struct rst_attempts *attempts, const char *id, rst_ms at,
                   rst_ms now)
{
  struct attempt *attempt = g_hash_table_lookup (attempts->by_id, id);

  if (attempt != NULL && !is_outdated (attempts, attempt, now))
    {
      attempt->rejected_at = now;
      return;
    }
  if (attempt != NULL)
    {
      CK_STAILQ_REMOVE (&attempts->in_order, attempt, attempt, entry);
      g_hash_table_remove (attempts->by_id, id);
    }
  make_room (attempts, now);
  attempt = g_new0 (struct attempt, 1);
  g_strlcpy (attempt->id, id, sizeof attempt->id);
  attempt->at = at;
  attempt->rejected_at = now;
  CK_STAILQ_INSERT_TAIL (&attempts->in_order, attempt, entry);
  g_hash_table_insert (attempts->by_id, attempt->id, attempt);
}

rst_ms
rst_attempts_find (const struct rst_attempts *attempts, const char *id,
                   rst_ms now)
{
  const struct attempt *attempt = g_hash_table_lookup (attempts->by_id, id);

  if (attempt == NULL || is_outdated (attempts, attempt, now))
    return now;
  return attempt->at;
}

bool
rst_attempts_was_rejected (const struct rst_attempts *attempts, const char *id,
                           rst_ms since)
{
  const struct attempt *attempt = g_hash_table_lookup (attempts->by_id, id);

  return attempt != NULL && attempt->rejected_at >= since;
}

unsigned
rst_attempts_count (const struct rst_attempts *attempts)
{
  return g_hash_table_size (attempts->by_id);
}
