#include "rosemarystile.h"

#include <stdlib.h>
#include <string.h>

#include <ck_queue.h>
#include <glib.h>

/* A member of a declared view, whose promise is required. */
struct required_member
{
  char incarnation[RST_NAME_SIZE];
  uint64_t view;
  CK_LIST_ENTRY (required_member) entry;
};

/* The promises received from one member.  The member can't end this tenure
   before cannot_fence_before, and never if it has stopped. */
struct received_promise
{
  char member[RST_NAME_SIZE];
  rst_ms expires_at;
  rst_ms cannot_fence_before;
  bool stopped;
  CK_LIST_ENTRY (received_promise) entry;
};

struct rst_tenure
{
  struct rst_tenure_config config;
  char incarnation[RST_NAME_SIZE];
  struct rst_lease lease;
  bool ended;
  bool declared;
  CK_LIST_HEAD (required_member_list, required_member) required;
  CK_LIST_HEAD (received_promise_list, received_promise) promises;
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
  struct required_member *required;
  struct received_promise *promise;

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
      struct required_member *required;

      if (strcmp (incarnation, tenure->incarnation) == 0)
        continue;
      required = calloc (1, sizeof *required);
      if (required == NULL)
        {
          /* Without the entry the tenure would be held without a promise of
             this member. */
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
  struct required_member *required = CK_LIST_FIRST (&tenure->required);

  tenure->declared = true;
  while (required != NULL)
    {
      struct required_member *next = CK_LIST_NEXT (required, entry);

      if (required->view < revision)
        {
          CK_LIST_REMOVE (required, entry);
          free (required);
        }
      required = next;
    }
}

static struct received_promise *
find_received_promise (const struct rst_tenure *tenure, const char *member)
{
  struct received_promise *promise;

  CK_LIST_FOREACH (promise, &tenure->promises, entry)
  if (strcmp (promise->member, member) == 0)
    return promise;
  return NULL;
}

void
rst_tenure_record_promise (struct rst_tenure *tenure, const char *member,
                           rst_ms requested_at, rst_ms duration_ms)
{
  struct received_promise *promise = find_received_promise (tenure, member);
  rst_ms until = requested_at + duration_ms - tenure->config.margin_ms;
  rst_ms quiet_until
      = requested_at + tenure->config.quiet_ms - tenure->config.margin_ms;

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
  if (until > promise->expires_at)
    promise->expires_at = until;
  if (quiet_until > promise->cannot_fence_before)
    promise->cannot_fence_before = quiet_until;
}

void
rst_tenure_record_member_stop (struct rst_tenure *tenure, const char *member,
                               rst_ms now)
{
  struct received_promise *promise = find_received_promise (tenure, member);

  /* After the quiet time the member may have sent the write that ends this
     tenure before it stopped, and the write may still reach the store. */
  if (promise != NULL && now < promise->cannot_fence_before)
    promise->stopped = true;
}

static rst_ms
get_promise_expiry (const struct rst_tenure *tenure, const char *incarnation)
{
  const struct received_promise *promise
      = find_received_promise (tenure, incarnation);

  if (promise == NULL)
    return 0;
  return promise->stopped ? INT64_MAX : promise->expires_at;
}

const char *
rst_tenure_find_missing_promise (const struct rst_tenure *tenure, rst_ms now)
{
  struct required_member *required;

  CK_LIST_FOREACH (required, &tenure->required, entry)
  if (now >= get_promise_expiry (tenure, required->incarnation))
    return required->incarnation;
  return NULL;
}

rst_ms
rst_tenure_get_expiry (const struct rst_tenure *tenure, rst_ms now)
{
  rst_ms until = INT64_MAX;
  struct required_member *required;

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

/* ---- Promises issued -------------------------------------------------- */

/* The last promise made to one member.  If none was made, it counts as issued
   when the table was created. */
struct issued_promise
{
  char member[RST_NAME_SIZE];
  rst_ms expires_at;
  rst_ms issued_at;
  bool refused;
  CK_LIST_ENTRY (issued_promise) entry;
};

struct rst_promises
{
  struct rst_tenure_config config;
  rst_ms created_at;
  CK_LIST_HEAD (issued_promise_list, issued_promise) issued;
};

struct rst_promises *
rst_promises_create (const struct rst_tenure_config *config, rst_ms now)
{
  struct rst_promises *promises = calloc (1, sizeof *promises);

  if (promises == NULL)
    return NULL;
  promises->config = *config;
  promises->created_at = now;
  CK_LIST_INIT (&promises->issued);
  return promises;
}

void
rst_promises_destroy (struct rst_promises *promises)
{
  struct issued_promise *promise;

  if (promises == NULL)
    return;
  while ((promise = CK_LIST_FIRST (&promises->issued)) != NULL)
    {
      CK_LIST_REMOVE (promise, entry);
      free (promise);
    }
  free (promises);
}

static struct issued_promise *
find_issued_promise (const struct rst_promises *promises, const char *member)
{
  struct issued_promise *promise;

  CK_LIST_FOREACH (promise, &promises->issued, entry)
  if (strcmp (promise->member, member) == 0)
    return promise;
  return NULL;
}

static struct issued_promise *
find_or_add_issued_promise (struct rst_promises *promises, const char *member)
{
  struct issued_promise *promise = find_issued_promise (promises, member);

  if (promise != NULL)
    return promise;
  promise = calloc (1, sizeof *promise);
  if (promise == NULL)
    return NULL;
  g_strlcpy (promise->member, member, RST_NAME_SIZE);
  promise->issued_at = promises->created_at;
  CK_LIST_INSERT_HEAD (&promises->issued, promise, entry);
  return promise;
}

rst_ms
rst_promises_issue (struct rst_promises *promises, const char *member,
                    rst_ms now)
{
  struct issued_promise *promise
      = find_or_add_issued_promise (promises, member);

  if (promise == NULL || promise->refused)
    return 0;
  promise->issued_at = now;
  promise->expires_at = now + promises->config.promise_ms;
  return promises->config.promise_ms;
}

bool
rst_promises_allow_fencing (const struct rst_promises *promises,
                            const char *member, rst_ms now)
{
  const struct issued_promise *promise
      = find_issued_promise (promises, member);
  rst_ms issued_at
      = promise != NULL ? promise->issued_at : promises->created_at;

  if (promise != NULL && now < promise->expires_at)
    return false;
  return now - issued_at >= promises->config.quiet_ms;
}

void
rst_promises_set_refused (struct rst_promises *promises, const char *member,
                          bool refused)
{
  struct issued_promise *promise
      = find_or_add_issued_promise (promises, member);

  if (promise != NULL)
    promise->refused = refused;
}
