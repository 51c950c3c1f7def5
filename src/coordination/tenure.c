#include "rosemarystile.h"

#include <stdlib.h>
#include <string.h>

#include <ck_queue.h>
#include <glib.h>

/* A member that stood in a declared view. */
struct required
{
  char incarnation[RST_NAME_SIZE];
  uint64_t view;
  CK_LIST_ENTRY (required) entry;
};

/* What is known of a peer. */
struct promise
{
  char member[RST_NAME_SIZE];
  rst_ms until;
  rst_ms cannot_fence_before;
  bool stopped;
  CK_LIST_ENTRY (promise) entry;
};

struct rst_tenure
{
  struct rst_tenure_config config;
  char incarnation[RST_NAME_SIZE];
  struct rst_lease lease;
  bool ended;
  bool declared;
  CK_LIST_HEAD (required_list, required) required;
  CK_LIST_HEAD (promise_list, promise) promises;
};

struct rst_tenure *
rst_tenure_create (const struct rst_tenure_config *config,
                   const char *incarnation)
{
  struct rst_tenure *tenure = calloc (1, sizeof *tenure);

  if (tenure == NULL)
    return NULL;
  tenure->config = *config;
  g_strlcpy (tenure->incarnation, incarnation, RST_NAME_SIZE);
  rst_lease_init (&tenure->lease, config->lease_ms, config->margin_ms);
  CK_LIST_INIT (&tenure->required);
  CK_LIST_INIT (&tenure->promises);
  return tenure;
}

void
rst_tenure_destroy (struct rst_tenure *tenure)
{
  struct required *required;
  struct promise *promise;

  if (tenure == NULL)
    return;
  while ((required = CK_LIST_FIRST (&tenure->required)) != NULL)
    {
      CK_LIST_REMOVE (required, entry);
      free (required);
    }
  while ((promise = CK_LIST_FIRST (&tenure->promises)) != NULL)
    {
      CK_LIST_REMOVE (promise, entry);
      free (promise);
    }
  free (tenure);
}

void
rst_tenure_record_renewal (struct rst_tenure *tenure, rst_ms sent_at)
{
  rst_lease_record_renewal (&tenure->lease, sent_at);
}

void
rst_tenure_drop_lease (struct rst_tenure *tenure)
{
  rst_lease_drop (&tenure->lease);
}

void
rst_tenure_end (struct rst_tenure *tenure)
{
  tenure->ended = true;
}

void
rst_tenure_declare_view (struct rst_tenure *tenure,
                         const struct rst_zone *view)
{
  for (int i = 0; i < view->member_count; i++)
    {
      const char *incarnation = view->members[i].incarnation;
      struct required *required;

      if (strcmp (incarnation, tenure->incarnation) == 0)
        continue;
      required = calloc (1, sizeof *required);
      if (required == NULL)
        {
          /* Without the entry the tenure would count too few members. */
          tenure->ended = true;
          return;
        }
      g_strlcpy (required->incarnation, incarnation, RST_NAME_SIZE);
      required->view = view->revision;
      CK_LIST_INSERT_HEAD (&tenure->required, required, entry);
    }
}

void
rst_tenure_confirm_view (struct rst_tenure *tenure, uint64_t revision)
{
  struct required *required = CK_LIST_FIRST (&tenure->required);

  tenure->declared = true;
  while (required != NULL)
    {
      struct required *next = CK_LIST_NEXT (required, entry);

      if (required->view < revision)
        {
          CK_LIST_REMOVE (required, entry);
          free (required);
        }
      required = next;
    }
}

static struct promise *
find_promise (const struct rst_tenure *tenure, const char *member)
{
  struct promise *promise;

  CK_LIST_FOREACH (promise, &tenure->promises, entry)
  if (strcmp (promise->member, member) == 0)
    return promise;
  return NULL;
}

void
rst_tenure_record_promise (struct rst_tenure *tenure, const char *member,
                           rst_ms asked_at, rst_ms duration_ms)
{
  struct promise *promise = find_promise (tenure, member);
  rst_ms until = asked_at + duration_ms - tenure->config.margin_ms;
  rst_ms quiet_until
      = asked_at + tenure->config.quiet_ms - tenure->config.margin_ms;

  if (duration_ms <= 0)
    return;
  if (promise == NULL)
    {
      promise = calloc (1, sizeof *promise);
      if (promise == NULL)
        return;
      g_strlcpy (promise->member, member, RST_NAME_SIZE);
      CK_LIST_INSERT_HEAD (&tenure->promises, promise, entry);
    }
  if (until > promise->until)
    promise->until = until;
  if (quiet_until > promise->cannot_fence_before)
    promise->cannot_fence_before = quiet_until;
}

void
rst_tenure_record_member_stop (struct rst_tenure *tenure, const char *member,
                               rst_ms now)
{
  struct promise *promise = find_promise (tenure, member);

  /* Had it sent the write that ends this tenure before it stopped, the write
     could still arrive; that is ruled out only within the quiet time. */
  if (promise != NULL && now < promise->cannot_fence_before)
    promise->stopped = true;
}

static rst_ms
get_promise_expiry (const struct rst_tenure *tenure, const char *incarnation)
{
  const struct promise *promise = find_promise (tenure, incarnation);

  if (promise == NULL)
    return 0;
  return promise->stopped ? INT64_MAX : promise->until;
}

const char *
rst_tenure_find_missing_promise (const struct rst_tenure *tenure, rst_ms now)
{
  struct required *required;

  CK_LIST_FOREACH (required, &tenure->required, entry)
  if (now >= get_promise_expiry (tenure, required->incarnation))
    return required->incarnation;
  return NULL;
}

rst_ms
rst_tenure_get_expiry (const struct rst_tenure *tenure, rst_ms now)
{
  rst_ms until = INT64_MAX;
  struct required *required;

  if (tenure->ended || !tenure->declared)
    return 0;
  CK_LIST_FOREACH (required, &tenure->required, entry)
  until = MIN (until, get_promise_expiry (tenure, required->incarnation));
  until = MAX (until, tenure->lease.valid_until);
  return now < until ? until : 0;
}

bool
rst_tenure_is_held (const struct rst_tenure *tenure, rst_ms now)
{
  return rst_tenure_get_expiry (tenure, now) > now;
}

/* ---- Promises given --------------------------------------------------- */

struct given
{
  char member[RST_NAME_SIZE];
  rst_ms until;
  rst_ms heard_at;
  bool refused;
  CK_LIST_ENTRY (given) entry;
};

struct rst_promises
{
  struct rst_tenure_config config;
  rst_ms created_at;
  CK_LIST_HEAD (given_list, given) given;
};

struct rst_promises *
rst_promises_create (const struct rst_tenure_config *config, rst_ms now)
{
  struct rst_promises *promises = calloc (1, sizeof *promises);

  if (promises == NULL)
    return NULL;
  promises->config = *config;
  promises->created_at = now;
  CK_LIST_INIT (&promises->given);
  return promises;
}

void
rst_promises_destroy (struct rst_promises *promises)
{
  struct given *given;

  if (promises == NULL)
    return;
  while ((given = CK_LIST_FIRST (&promises->given)) != NULL)
    {
      CK_LIST_REMOVE (given, entry);
      free (given);
    }
  free (promises);
}

static struct given *
find_given (const struct rst_promises *promises, const char *member)
{
  struct given *given;

  CK_LIST_FOREACH (given, &promises->given, entry)
  if (strcmp (given->member, member) == 0)
    return given;
  return NULL;
}

static struct given *
find_or_add_given (struct rst_promises *promises, const char *member)
{
  struct given *given = find_given (promises, member);

  if (given != NULL)
    return given;
  given = calloc (1, sizeof *given);
  if (given == NULL)
    return NULL;
  g_strlcpy (given->member, member, RST_NAME_SIZE);
  given->heard_at = promises->created_at;
  CK_LIST_INSERT_HEAD (&promises->given, given, entry);
  return given;
}

rst_ms
rst_promises_issue (struct rst_promises *promises, const char *member,
                    rst_ms now)
{
  struct given *given = find_or_add_given (promises, member);

  if (given == NULL || given->refused)
    return 0;
  given->heard_at = now;
  given->until = now + promises->config.promise_ms;
  return promises->config.promise_ms;
}

bool
rst_promises_allow_fencing (const struct rst_promises *promises,
                            const char *member, rst_ms now)
{
  const struct given *given = find_given (promises, member);
  rst_ms heard_at = given != NULL ? given->heard_at : promises->created_at;

  if (given != NULL && now < given->until)
    return false;
  return now - heard_at >= promises->config.quiet_ms;
}

void
rst_promises_set_refused (struct rst_promises *promises, const char *member,
                          bool refuse)
{
  struct given *given = find_or_add_given (promises, member);

  if (given != NULL)
    given->refused = refuse;
}
