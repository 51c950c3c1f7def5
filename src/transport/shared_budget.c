#include "transport/shared_budget.h"

#include <inttypes.h>

#include "util/log.h"
#include "util/os.h"

#define LOG_DOMAIN "limits"

/** Shortest time between two lines, in milliseconds. */
#define LOG_INTERVAL_MS 1000

struct rst_shared_budget *
rst_shared_budget_create (size_t bytes_max)
{
  struct rst_shared_budget *shared = g_new0 (struct rst_shared_budget, 1);

  pthread_mutex_init (&shared->lock, NULL);
  rst_body_budget_init (&shared->budget, bytes_max);
  shared->logged_at = -LOG_INTERVAL_MS;
  return shared;
}

void
rst_shared_budget_destroy (struct rst_shared_budget *shared)
{
  if (shared == NULL)
    return;
  pthread_mutex_destroy (&shared->lock);
  g_free (shared);
}

void
rst_shared_budget_read_stats (struct rst_shared_budget *shared,
                              struct rst_body_stats *out)
{
  pthread_mutex_lock (&shared->lock);
  *out = shared->budget.stats;
  pthread_mutex_unlock (&shared->lock);
}

void
rst_shared_budget_log (struct rst_shared_budget *shared, const char *reason)
{
  const struct rst_body_stats *stats = &shared->budget.stats;
  const struct rst_body_stats *logged = &shared->logged;
  rst_ms now = rst_os_now ();
  char refused[24];
  char closed[24];
  char held_kb[24];

  if (now - shared->logged_at < LOG_INTERVAL_MS)
    return;
  g_snprintf (refused, sizeof refused, "%" PRIu64,
              stats->refused - logged->refused);
  g_snprintf (closed, sizeof closed, "%" PRIu64,
              stats->closed_for_bytes - logged->closed_for_bytes
                  + stats->closed_for_connections
                  - logged->closed_for_connections);
  g_snprintf (held_kb, sizeof held_kb, "%zu", stats->bytes / 1024);
  shared->logged_at = now;
  shared->logged = *stats;
  rst_warning (LOG_DOMAIN, "Callers exceed the limits.", "reason", reason,
               "refused", refused, "closed", closed, "held_kb", held_kb);
}

void
rst_shared_budget_open (struct rst_shared_budget *shared,
                        struct rst_body_group *group,
                        struct rst_body_holder *holder)
{
  if (shared == NULL)
    return;
  pthread_mutex_lock (&shared->lock);
  rst_body_budget_open (group, holder);
  pthread_mutex_unlock (&shared->lock);
}

void
rst_shared_budget_close (struct rst_shared_budget *shared,
                         struct rst_body_holder *holder)
{
  if (shared == NULL)
    return;
  pthread_mutex_lock (&shared->lock);
  rst_body_budget_close (&shared->budget, holder);
  pthread_mutex_unlock (&shared->lock);
}

struct rst_body_holder *
rst_shared_budget_find_excess (struct rst_shared_budget *shared,
                               const struct rst_body_group *group,
                               struct rst_body_holder *newest,
                               const char *reason)
{
  struct rst_body_holder *excess;

  if (shared == NULL)
    return NULL;
  pthread_mutex_lock (&shared->lock);
  excess = rst_body_group_find_excess (group, newest);
  if (excess != NULL)
    {
      shared->budget.stats.closed_for_connections++;
      rst_shared_budget_log (shared, reason);
    }
  pthread_mutex_unlock (&shared->lock);
  return excess;
}

enum rst_body_decision
rst_shared_budget_charge (struct rst_shared_budget *shared,
                          struct rst_body_holder *holder, size_t bytes,
                          struct rst_body_holder **victim, const char *reason)
{
  enum rst_body_decision decision;

  if (shared == NULL)
    return RST_BODY_GRANTED;
  pthread_mutex_lock (&shared->lock);
  decision = rst_body_budget_charge (&shared->budget, holder, bytes, victim);
  if (decision == RST_BODY_EVICT)
    shared->budget.stats.closed_for_bytes++;
  if (decision != RST_BODY_GRANTED)
    rst_shared_budget_log (shared, reason);
  pthread_mutex_unlock (&shared->lock);
  return decision;
}

void
rst_shared_budget_note_part (struct rst_shared_budget *shared,
                             struct rst_body_holder *holder, bool holds_part,
                             bool in_use)
{
  if (shared == NULL)
    return;
  pthread_mutex_lock (&shared->lock);
  if (holds_part)
    rst_body_budget_begin (&shared->budget, holder);
  else
    rst_body_budget_finish (&shared->budget, holder);
  if (!holds_part && in_use)
    rst_body_budget_complete (&shared->budget, holder);
  pthread_mutex_unlock (&shared->lock);
}
