/**
 * DOC: librosemarystile
 *
 * The coordination algorithms of the rosemarystile cluster scheduler, usable
 * without its daemons.  The library opens no sockets, starts no threads and
 * reads no clock: the caller passes the current time to each function that
 * needs it.  An object may be used by one thread at a time; different objects
 * may be used by different threads.  Strings passed in are copied.
 */
#ifndef ROSEMARYSTILE_H
#define ROSEMARYSTILE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
#define RST_BEGIN_DECLARATIONS                                                \
  extern "C"                                                                  \
  {
#define RST_END_DECLARATIONS }
#else
#define RST_BEGIN_DECLARATIONS
#define RST_END_DECLARATIONS
#endif

RST_BEGIN_DECLARATIONS

/** Version of the library and of all programs. */
#define RST_VERSION "0.1.0"

/** Buffer size in bytes, including the final NUL, for names of processes,
 * instances, teams and availability zones, and for incarnations. */
#define RST_NAME_SIZE 64

/** Buffer size in bytes, including the final NUL, for an "IP:PORT" address. */
#define RST_ADDRESS_SIZE 64

/** Maximum number of members in one availability zone. */
#define RST_MEMBERS_MAX 64

/** Maximum number of departed members that a zone's record lists. */
#define RST_DEPARTED_MAX 32

/**
 * typedef rst_ms - A point in time or a duration, in milliseconds.
 *
 * Points in time are read from a monotonic clock that also advances while the
 * machine is suspended.
 */
typedef int64_t rst_ms;

/**
 * enum rst_error - Errors returned by the functions of this header.
 * @RST_OK: Success.
 * @RST_ERROR_NO_MEMORY: An allocation failed.
 * @RST_ERROR_INVALID: An argument or a record is malformed.
 * @RST_ERROR_NOT_FOUND: The named object does not exist.
 * @RST_ERROR_FULL: A fixed-size table has no free entry.
 * @RST_ERROR_STALE: The caller's version is older than the one held.
 * @RST_ERROR_NOT_HELD: The right has expired or belongs to another holder.
 * @RST_ERROR_LIMIT: The upper limit does not allow it.
 */
enum rst_error
{
  RST_OK = 0,
  RST_ERROR_NO_MEMORY,
  RST_ERROR_INVALID,
  RST_ERROR_NOT_FOUND,
  RST_ERROR_FULL,
  RST_ERROR_STALE,
  RST_ERROR_NOT_HELD,
  RST_ERROR_LIMIT,
};

/**
 * rst_strerror() - Describes an error.
 * @error: A value of enum rst_error.
 *
 * Return: A static string.
 */
const char *rst_strerror (int error);

/* ---- Lease ------------------------------------------------------------ */

/**
 * struct rst_lease - The holder's view of a lease granted by the store.
 * @ttl_ms: Time to live that the store grants with each renewal.
 * @margin_ms: Time by which the holder stops using the lease early, which
 *   covers the difference between the two clocks' rates.
 * @valid_until: Time at which the lease expires for the holder; 0 before the
 *   first renewal.
 *
 * The holder counts a renewal from the time before it sent the request, so the
 * lease expires for the holder before it expires in the store.
 */
struct rst_lease
{
  rst_ms ttl_ms;
  rst_ms margin_ms;
  rst_ms valid_until;
};

/**
 * rst_lease_init() - Initializes a lease that is not held.
 * @lease: The lease.
 * @ttl_ms: Time to live.
 * @margin_ms: Margin, less than @ttl_ms.
 *
 * Return: RST_OK, or RST_ERROR_INVALID if @ttl_ms is not positive or
 * @margin_ms is negative or not less than @ttl_ms.
 */
int rst_lease_init (struct rst_lease *lease, rst_ms ttl_ms, rst_ms margin_ms);

/**
 * rst_lease_record_renewal() - Records a renewal that the store has confirmed.
 * @lease: The lease.
 * @sent_at: A time before the confirmed request was sent.
 *
 * Confirmations may be recorded in any order; an older one has no effect.
 */
void rst_lease_record_renewal (struct rst_lease *lease, rst_ms sent_at);

/** rst_lease_drop() - Marks a lease as not held, until the next renewal. */
void rst_lease_drop (struct rst_lease *lease);

/**
 * rst_lease_is_held() - Checks whether a lease is valid.
 * @lease: The lease.
 * @now: Current time.
 *
 * Call it immediately before each action that requires the lease.
 */
bool rst_lease_is_held (const struct rst_lease *lease, rst_ms now);

/* ---- Ownership -------------------------------------------------------- */

/**
 * struct rst_member - A process that may own instances of its zone.
 * @name: Name of the process; unchanged by a restart.
 * @incarnation: Identifies one tenure of the process; the next has another.
 * @address: Address for messages of other processes, "IP:PORT".
 * @status_address: Address of the HTTP server with its status, "IP:PORT".
 */
struct rst_member
{
  char name[RST_NAME_SIZE];
  char incarnation[RST_NAME_SIZE];
  char address[RST_ADDRESS_SIZE];
  char status_address[RST_ADDRESS_SIZE];
};

/**
 * struct rst_ownership - Ownership of one instance.
 * @instance: Name of the instance.
 * @owner: Incarnation of the owner, or "" if the instance has no owner.
 * @epoch: Fencing token, raised by one with each new owner: the instance
 *   rejects commands with an older epoch.
 * @settled: Whether the owner knows all runs on the instance and holds parts
 *   of the teams' upper limits that cover them.
 */
struct rst_ownership
{
  char instance[RST_NAME_SIZE];
  char owner[RST_NAME_SIZE];
  uint64_t epoch;
  bool settled;
};

/**
 * struct rst_zone - The ownership record of one availability zone.
 * @zone: Name of the availability zone.
 * @writer: Incarnation that wrote this version.
 * @write_number: The writer's number of this write.  With @writer it lets a
 *   process recognize its own write if the store's response was lost.
 * @revision: Store revision of this version; 0 if it was never stored.
 * @member_count: Number of members.
 * @members: The members, ordered by incarnation.
 * @departed_count: Number of entries of @departed.
 * @departed: Incarnations of members that were removed, the latest last.
 * @owned_count: Number of instances, including those without an owner.
 * @owned_capacity: Allocated length of @owned.
 * @owned: The instances and their owners, ordered by name; freed with the
 *   record.
 */
struct rst_zone
{
  char zone[RST_NAME_SIZE];
  char writer[RST_NAME_SIZE];
  uint64_t write_number;
  uint64_t revision;
  int member_count;
  struct rst_member members[RST_MEMBERS_MAX];
  int departed_count;
  char departed[RST_DEPARTED_MAX][RST_NAME_SIZE];
  int owned_count;
  int owned_capacity;
  struct rst_ownership *owned;
};

/**
 * rst_zone_create() - Creates an empty record.
 * @zone: Name of the availability zone.
 *
 * Return: The record, to be freed with rst_zone_destroy(), or NULL if an
 * allocation failed.
 */
struct rst_zone *rst_zone_create (const char *zone);

/** rst_zone_destroy() - Frees a record; NULL is allowed. */
void rst_zone_destroy (struct rst_zone *zone);

/**
 * rst_zone_copy() - Copies a record.
 *
 * Return: The copy, to be freed with rst_zone_destroy(), or NULL if an
 * allocation failed.
 */
struct rst_zone *rst_zone_copy (const struct rst_zone *zone);

/**
 * rst_zone_parse() - Parses a record from its stored JSON text.
 * @text: The text.
 * @revision: Its store revision.
 * @out: Receives the record, to be freed with rst_zone_destroy(); unchanged
 *   on error.
 *
 * Return: RST_OK, RST_ERROR_INVALID or RST_ERROR_NO_MEMORY.
 */
int rst_zone_parse (const char *text, uint64_t revision,
                    struct rst_zone **out);

/**
 * rst_zone_format() - Formats a record as JSON text.
 * @zone: The record.
 *
 * Return: The text, to be freed with free(), or NULL if an allocation failed.
 */
char *rst_zone_format (const struct rst_zone *zone);

/**
 * rst_zone_find_member() - Finds a member by its incarnation.
 * @zone: The record.
 * @incarnation: Incarnation of the member.
 *
 * Return: The member, valid until the record changes, or NULL.
 */
const struct rst_member *rst_zone_find_member (const struct rst_zone *zone,
                                               const char *incarnation);

/**
 * rst_zone_find_ownership() - Finds the ownership of an instance.
 * @zone: The record.
 * @instance: Name of the instance.
 *
 * Return: The ownership, valid until the record changes, or NULL.
 */
const struct rst_ownership *
rst_zone_find_ownership (const struct rst_zone *zone, const char *instance);

/**
 * rst_zone_add_member() - Adds a member.
 * @zone: The record.
 * @member: The member, copied.
 *
 * An older incarnation with the same name stays a member until it is removed.
 *
 * Return: RST_OK, also if the incarnation is a member already, or
 * RST_ERROR_FULL.
 */
int rst_zone_add_member (struct rst_zone *zone,
                         const struct rst_member *member);

/**
 * rst_zone_remove_member() - Removes a member; its instances have no owner.
 * @zone: The record.
 * @incarnation: Incarnation of the member.
 *
 * Return: RST_OK, or RST_ERROR_NOT_FOUND.
 */
int rst_zone_remove_member (struct rst_zone *zone, const char *incarnation);

/**
 * rst_zone_claim_instances() - Gives instances without an owner to a member.
 * @zone: The record.
 * @incarnation: The claiming member.
 * @instances: Names of the instances that may be claimed; those that the
 *   record lacks are added to it.
 * @count: Number of names.
 *
 * A member claims the instances for which it is the preferred owner.  While it
 * owns fewer than its share (instances divided by members, rounded up), it
 * also claims those whose preferred owner has its full share.  The epoch of a
 * claimed instance is raised by one.
 *
 * Return: The number of instances claimed, or -1 if an allocation failed.
 */
int rst_zone_claim_instances (struct rst_zone *zone, const char *incarnation,
                              const char *const *instances, int count);

/**
 * rst_zone_release_excess() - Releases a member's instances above its share.
 * @zone: The record.
 * @incarnation: Incarnation of the owner.
 * @max_moves: Maximum number of instances to release.
 *
 * Only the owner may release instances, and it must not start runs on them
 * from then on.  Instances for which it is the preferred owner are released
 * only as long as it owns more than one above its share.
 *
 * Return: The number of instances released.
 */
int rst_zone_release_excess (struct rst_zone *zone, const char *incarnation,
                             int max_moves);

/**
 * rst_zone_hand_over() - Makes another member the owner of an instance.
 * @zone: The record.
 * @instance: Name of the instance.
 * @owner: Incarnation of the new owner.
 *
 * Only the current owner may hand over an instance, once it starts no more
 * runs there.
 *
 * Return: RST_OK, or RST_ERROR_NOT_FOUND.
 */
int rst_zone_hand_over (struct rst_zone *zone, const char *instance,
                        const char *owner);

/**
 * rst_zone_mark_settled() - Marks an instance as settled under its owner.
 * @zone: The record.
 * @instance: Name of the instance.
 * @owner: Incarnation that must be its owner.
 *
 * Return: RST_OK, RST_ERROR_NOT_FOUND, or RST_ERROR_NOT_HELD if @owner is not
 * the owner.
 */
int rst_zone_mark_settled (struct rst_zone *zone, const char *instance,
                           const char *owner);

/**
 * rst_zone_remove_instance() - Removes an instance that no longer exists.
 * @zone: The record.
 * @instance: Name of the instance.
 *
 * Return: RST_OK, or RST_ERROR_NOT_FOUND.
 */
int rst_zone_remove_instance (struct rst_zone *zone, const char *instance);

/**
 * rst_zone_get_preferred_owner() - Selects an owner by rendezvous hashing.
 * @zone: The record.
 * @instance: Name of the instance.
 *
 * Return: The member, valid until the record changes, or NULL if there is
 * none.
 */
const struct rst_member *
rst_zone_get_preferred_owner (const struct rst_zone *zone,
                              const char *instance);

/** rst_rendezvous_score() - Computes the score of a name for a key; the key is
 * assigned to the name with the highest score. */
uint64_t rst_rendezvous_score (const char *key, const char *name);

/**
 * rst_rendezvous_pick() - Assigns a key to one of several names.
 * @key: The key.
 * @names: The names.
 * @count: Number of names.
 *
 * When a name is removed, only the keys assigned to it move.
 *
 * Return: Index of the name, or -1 if @count is 0.
 */
int rst_rendezvous_pick (const char *key, const char *const *names, int count);

/* ---- Tenure ----------------------------------------------------------- */

/**
 * struct rst_member_record - Stored record of a member's tenure.
 * @incarnation: The member.
 * @view: Revision of the ownership record that the holder has declared as its
 *   view: it requires promises from the members in that revision.
 * @touch: Number of the member's own writes of this record.
 * @fenced_by: Incarnation of the member that ended the tenure, or "".
 *
 * The holder and the members that end its tenure write this record with
 * compare-and-swap, so that only one of them succeeds.
 */
struct rst_member_record
{
  char incarnation[RST_NAME_SIZE];
  uint64_t view;
  uint64_t touch;
  char fenced_by[RST_NAME_SIZE];
};

/**
 * rst_member_record_parse() - Parses a member record from its JSON text.
 * @text: The text.
 * @out: Receives the record.
 *
 * Return: RST_OK or RST_ERROR_INVALID.
 */
int rst_member_record_parse (const char *text, struct rst_member_record *out);

/**
 * rst_member_record_format() - Formats a member record as JSON text.
 * @record: The record.
 *
 * Return: The text, to be freed with free(), or NULL if an allocation failed.
 */
char *rst_member_record_format (const struct rst_member_record *record);

/**
 * struct rst_tenure_config - Durations that bound a tenure.
 * @lease_ms: Time to live of the store lease.
 * @margin_ms: Time by which the holder stops early, on leases and promises.
 * @promise_ms: Duration of a promise.
 * @quiet_ms: Time that must pass after the last promise to a member before its
 *   tenure may be ended; more than @promise_ms.
 */
struct rst_tenure_config
{
  rst_ms lease_ms;
  rst_ms margin_ms;
  rst_ms promise_ms;
  rst_ms quiet_ms;
};

struct rst_tenure;

/**
 * rst_tenure_create() - Creates the tenure of one incarnation.
 * @config: Durations, copied.
 * @incarnation: Incarnation of the holder.
 *
 * A tenure is the right to act as a member.  The holder keeps it with a store
 * lease, or while the store is unavailable with promises from all other
 * members of the views that it has declared.  No promise is required from a
 * member that has stopped, see rst_tenure_record_member_stop().
 *
 * Return: The tenure, to be freed with rst_tenure_destroy(), or NULL if an
 * allocation failed.
 */
struct rst_tenure *rst_tenure_create (const struct rst_tenure_config *config,
                                      const char *incarnation);

/** rst_tenure_destroy() - Frees a tenure; NULL is allowed. */
void rst_tenure_destroy (struct rst_tenure *tenure);

/**
 * rst_tenure_record_renewal() - Records a confirmed renewal of the lease.
 * @tenure: The tenure.
 * @sent_at: A time before the renewal was sent.
 */
void rst_tenure_record_renewal (struct rst_tenure *tenure, rst_ms sent_at);

/** rst_tenure_drop_lease() - Marks the lease as unknown to the store. */
void rst_tenure_drop_lease (struct rst_tenure *tenure);

/** rst_tenure_end() - Ends the tenure permanently. */
void rst_tenure_end (struct rst_tenure *tenure);

/**
 * rst_tenure_declare_view() - Requires promises from the members of a view.
 * @tenure: The tenure.
 * @view: The ownership record; its revision becomes the declared view.
 *
 * Call it before the member record with this view is sent to the store, since
 * the members of the view may act on it as soon as it is stored.
 */
void rst_tenure_declare_view (struct rst_tenure *tenure,
                              const struct rst_zone *view);

/**
 * rst_tenure_confirm_view() - Records that a declared view is stored.
 * @tenure: The tenure.
 * @revision: Revision of the view; older views no longer require promises.
 */
void rst_tenure_confirm_view (struct rst_tenure *tenure, uint64_t revision);

/**
 * rst_tenure_record_promise() - Records a promise received.
 * @tenure: The tenure.
 * @member: Incarnation of the member that made the promise.
 * @requested_at: A time before the promise was requested.
 * @duration_ms: Duration of the promise; 0 if it was refused.
 */
void rst_tenure_record_promise (struct rst_tenure *tenure, const char *member,
                                rst_ms requested_at, rst_ms duration_ms);

/**
 * rst_tenure_record_member_stop() - Records that a member has stopped.
 * @tenure: The tenure.
 * @member: Incarnation of the member, which is known not to run any more.
 * @now: Current time.
 *
 * It has no effect unless @now is within the quiet time of the member's last
 * promise.  Later, the member may have ended this tenure before it stopped.
 */
void rst_tenure_record_member_stop (struct rst_tenure *tenure,
                                    const char *member, rst_ms now);

/** rst_tenure_is_held() - Checks whether the tenure is held at time @now. */
bool rst_tenure_is_held (const struct rst_tenure *tenure, rst_ms now);

/**
 * rst_tenure_get_expiry() - Gets the time until which the tenure is held.
 * @tenure: The tenure.
 * @now: Current time.
 *
 * Return: The time, if no renewal or promise follows; 0 if the tenure is not
 * held, INT64_MAX if no running member can end it.
 */
rst_ms rst_tenure_get_expiry (const struct rst_tenure *tenure, rst_ms now);

/**
 * rst_tenure_find_missing_promise() - Finds a member whose promise is missing.
 * @tenure: The tenure.
 * @now: Current time.
 *
 * Return: Its incarnation, valid until @tenure changes, or NULL.
 */
const char *rst_tenure_find_missing_promise (const struct rst_tenure *tenure,
                                             rst_ms now);

struct rst_promises;

/**
 * rst_promises_create() - Creates a table of the promises made to members.
 * @config: Durations, copied.
 * @now: Current time.
 *
 * Return: The table, to be freed with rst_promises_destroy(), or NULL.
 */
struct rst_promises *
rst_promises_create (const struct rst_tenure_config *config, rst_ms now);

/** rst_promises_destroy() - Frees a table; NULL is allowed. */
void rst_promises_destroy (struct rst_promises *promises);

/**
 * rst_promises_issue() - Promises a member not to end its tenure.
 * @promises: The table.
 * @member: Incarnation of the member that requests the promise.
 * @now: Current time; the promise must be sent immediately.
 *
 * Return: Duration of the promise, or 0 if promises to @member are refused or
 * an allocation failed.
 */
rst_ms rst_promises_issue (struct rst_promises *promises, const char *member,
                           rst_ms now);

/**
 * rst_promises_allow_fencing() - Checks whether a member's tenure may be
 * ended.
 * @promises: The table.
 * @member: Incarnation of the member.
 * @now: Current time.
 *
 * Return: Whether the quiet time has passed since the last promise to the
 * member, or since the table was created if there is none.
 */
bool rst_promises_allow_fencing (const struct rst_promises *promises,
                                 const char *member, rst_ms now);

/**
 * rst_promises_set_refused() - Sets whether promises to a member are refused.
 * @promises: The table.
 * @member: Incarnation of the member.
 * @refused: true before an attempt to end its tenure, false after the attempt
 *   has failed.
 */
void rst_promises_set_refused (struct rst_promises *promises,
                               const char *member, bool refused);

/* ---- Upper limits ----------------------------------------------------- */

/**
 * struct rst_limit_part - One scheduler's part of a team's upper limit.
 * @holder: Incarnation of the scheduler that holds the part.
 * @granted: Number of runs that the holder may have at a time.
 * @wanted: Number of further runs that it waits for; 0 if none.
 * @write_number: The holder's number of its last write of the record, which
 *   identifies the write if the store's response was lost.
 */
struct rst_limit_part
{
  char holder[RST_NAME_SIZE];
  uint32_t granted;
  uint32_t wanted;
  uint64_t write_number;
};

/** Maximum number of parts of one limit. */
#define RST_LIMIT_PARTS_MAX 64

/**
 * struct rst_limit - The stored record of a team's upper limit.
 * @revision: Store revision; 0 if it was never stored.
 * @part_count: Number of parts.
 * @parts: The parts.
 */
struct rst_limit
{
  uint64_t revision;
  int part_count;
  struct rst_limit_part parts[RST_LIMIT_PARTS_MAX];
};

/**
 * rst_limit_parse() - Parses a record from its stored JSON text.
 * @text: The text, or NULL for an empty record.
 * @revision: Its store revision.
 * @out: Receives the record.
 *
 * Return: RST_OK or RST_ERROR_INVALID.
 */
int rst_limit_parse (const char *text, uint64_t revision,
                     struct rst_limit *out);

/**
 * rst_limit_format() - Formats a record as JSON text.
 * @limit: The record.
 *
 * Return: The text, to be freed with free(), or NULL if an allocation failed.
 */
char *rst_limit_format (const struct rst_limit *limit);

/** rst_limit_sum_granted() - Returns the sum of all parts. */
uint32_t rst_limit_sum_granted (const struct rst_limit *limit);

/**
 * rst_limit_find_part() - Finds a holder's part.
 * @limit: The record.
 * @holder: Incarnation of the holder.
 *
 * Return: The part, valid until the record changes, or NULL.
 */
struct rst_limit_part *rst_limit_find_part (struct rst_limit *limit,
                                            const char *holder);

/**
 * rst_limit_grow_part() - Grows a holder's part as far as the limit allows.
 * @limit: The record.
 * @holder: Incarnation of the holder; its part is added if there is none.
 * @upper_limit: The team's current upper limit.
 * @more: Number of further runs wanted.
 *
 * What is not granted is stored in @wanted, where other holders see it.
 *
 * Return: RST_OK if all were granted, RST_ERROR_LIMIT if fewer were, or
 * RST_ERROR_FULL if the record has no room for another part.
 */
int rst_limit_grow_part (struct rst_limit *limit, const char *holder,
                         uint32_t upper_limit, uint32_t more);

/**
 * rst_limit_shrink_part() - Shrinks a holder's part.
 * @limit: The record.
 * @holder: Incarnation of the holder.
 * @granted: The new part, at least the number of the holder's runs; no effect
 *   if it is larger than the current part.
 *
 * Return: RST_OK, or RST_ERROR_NOT_FOUND.
 */
int rst_limit_shrink_part (struct rst_limit *limit, const char *holder,
                           uint32_t granted);

/**
 * rst_limit_get_target_part() - Computes the part that a holder should keep.
 * @limit: The record.
 * @holder: Incarnation of the holder.
 * @upper_limit: The team's current upper limit.
 * @used: Number of the holder's runs.
 * @wanted: Number of runs that it would start now.
 *
 * Parts that exceed a lowered limit are scaled down in proportion.  If the
 * limit is granted in full and other holders want more, the holder returns
 * half of its unused part, but not more than they want.
 *
 * Return: The part to keep; may be less than @used.
 */
uint32_t rst_limit_get_target_part (const struct rst_limit *limit,
                                    const char *holder, uint32_t upper_limit,
                                    uint32_t used, uint32_t wanted);

/* ---- Retry budget and circuit breaker --------------------------------- */

/**
 * struct rst_retry_budget - Limits retries to a fraction of the requests.
 * @balance_permille: Current balance, in thousandths of a retry.
 * @per_request_permille: Added by each request, in thousandths of a retry.
 * @max_balance_permille: Maximum balance, in thousandths of a retry.
 */
struct rst_retry_budget
{
  int32_t balance_permille;
  int32_t per_request_permille;
  int32_t max_balance_permille;
};

/**
 * rst_retry_budget_init() - Initializes a budget with the maximum balance.
 * @budget: The budget.
 * @per_request_permille: Thousandths of a retry that each request adds.
 * @max_retries: Maximum balance, in retries.
 */
void rst_retry_budget_init (struct rst_retry_budget *budget,
                            int32_t per_request_permille, int32_t max_retries);

/** rst_retry_budget_add_request() - Adds what one request contributes. */
void rst_retry_budget_add_request (struct rst_retry_budget *budget);

/**
 * rst_retry_budget_take_retry() - Takes one retry from a budget.
 * @budget: The budget.
 *
 * Return: true if the balance sufficed and the retry may be made.
 */
bool rst_retry_budget_take_retry (struct rst_retry_budget *budget);

/**
 * struct rst_breaker - Circuit breaker for a backend that keeps failing.
 * @failures: Number of failures since the last success.
 * @threshold: Number of consecutive failures that opens the breaker.
 * @open_ms: Time for which it stays open after the threshold is reached; it
 *   doubles with each failed probe, up to 32 times this value.
 * @open_until: Time at which a probe is allowed; 0 while closed.
 * @probing: Whether a probe is in progress.
 */
struct rst_breaker
{
  uint32_t failures;
  uint32_t threshold;
  rst_ms open_ms;
  rst_ms open_until;
  bool probing;
};

/**
 * rst_breaker_init() - Initializes a closed breaker.
 * @breaker: The breaker.
 * @threshold: Number of consecutive failures that opens it.
 * @open_ms: Time for which it stays open at first.
 */
void rst_breaker_init (struct rst_breaker *breaker, uint32_t threshold,
                       rst_ms open_ms);

/**
 * rst_breaker_allows_request() - Checks whether a request may be sent.
 * @breaker: The breaker.
 * @now: Current time.
 *
 * One probe is allowed after the open time; record it with
 * rst_breaker_record_request().
 */
bool rst_breaker_allows_request (const struct rst_breaker *breaker,
                                 rst_ms now);

/** rst_breaker_record_request() - Records that a request was sent. */
void rst_breaker_record_request (struct rst_breaker *breaker);

/**
 * rst_breaker_record_result() - Records the result of a request.
 * @breaker: The breaker.
 * @ok: Whether it succeeded.
 * @now: Current time.
 */
void rst_breaker_record_result (struct rst_breaker *breaker, bool ok,
                                rst_ms now);

RST_END_DECLARATIONS

#endif
