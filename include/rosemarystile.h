/**
 * DOC: librosemarystile
 *
 * The coordination parts of the rosemarystile cluster scheduler, for use
 * without its daemons.  Nothing here opens a socket, starts a thread or reads
 * a clock: the caller passes the time, in milliseconds, into each function.
 * An object may be used from one thread at a time; different objects may be
 * used from different threads.  Strings passed in are copied.
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

/** Size in bytes, with the final NUL, of names of processes, instances,
 * teams and availability zones. */
#define RST_NAME_SIZE 64

/** Size in bytes, with the final NUL, of an "IP:PORT" address. */
#define RST_ADDRESS_SIZE 64

/** Largest number of members in one availability zone. */
#define RST_MEMBERS_MAX 64

/** Number of members that have left whose names a record keeps. */
#define RST_DEPARTED_MAX 32

/**
 * typedef rst_ms - A point in time or a duration, in milliseconds.
 *
 * Points in time come from a clock that never goes back and that advances
 * while the machine is suspended.
 */
typedef int64_t rst_ms;

/**
 * enum rst_error - Errors returned by the functions of this header.
 * @RST_OK: Success.
 * @RST_ERROR_NO_MEMORY: An allocation failed.
 * @RST_ERROR_INVALID: An argument or a record is malformed.
 * @RST_ERROR_NOT_FOUND: The named object does not exist.
 * @RST_ERROR_FULL: A bound was reached.
 * @RST_ERROR_STALE: The caller's version is older than the one held.
 * @RST_ERROR_NOT_HELD: The right has lapsed or belongs to another holder.
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
 * struct rst_lease - What the holder of a store lease may rely on.
 * @ttl_ms: Time to live that the store grants with each renewal.
 * @margin_ms: Part of the time to live that the holder gives up, to cover
 *   differences in clock rates.
 * @valid_until: Last moment, exclusive, at which the right may be used; 0
 *   before the first renewal.
 *
 * A renewal counts from before its request was sent, so that the holder's
 * view ends before the store's.
 */
struct rst_lease
{
  rst_ms ttl_ms;
  rst_ms margin_ms;
  rst_ms valid_until;
};

/**
 * rst_lease_init() - Prepares a lease that is not held.
 * @lease: The lease.
 * @ttl_ms: Time to live, in milliseconds.
 * @margin_ms: Margin, in milliseconds, less than @ttl_ms.
 *
 * Return: RST_OK, or RST_ERROR_INVALID when the margin is not inside the
 * time to live.
 */
int rst_lease_init (struct rst_lease *lease, rst_ms ttl_ms, rst_ms margin_ms);

/**
 * rst_lease_record_renewal() - Records a renewal that the store has confirmed.
 * @lease: The lease.
 * @sent_at: The time just before the confirmed request was sent.
 *
 * Confirmations may arrive in any order; an older one changes nothing.
 */
void rst_lease_record_renewal (struct rst_lease *lease, rst_ms sent_at);

/**
 * rst_lease_drop() - Gives the right up at once.
 * @lease: The lease.
 */
void rst_lease_drop (struct rst_lease *lease);

/**
 * rst_lease_is_held() - Tells whether the right may be used.
 * @lease: The lease.
 * @now: The present time.
 *
 * Call it at the last moment before each use.
 */
bool rst_lease_is_held (const struct rst_lease *lease, rst_ms now);

/* ---- Ownership -------------------------------------------------------- */

/**
 * struct rst_member - A process that may own instances of its zone.
 * @name: Name of the process, the same after a restart.
 * @incarnation: Unique for each run of the process.
 * @address: Address for frames, "IP:PORT".
 * @status_address: Address of its status pages, "IP:PORT".
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
 * @owner: Incarnation of the owner, or "" when nobody owns it.
 * @epoch: Grows by one with each new owner; fences commands of older ones.
 * @settled: Whether the owner knows all that runs there and holds the parts
 *   of upper limits for it.
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
 * @write_number: The writer's own number of this write; with @writer it lets a
 *   process recognise its own write when the answer was lost.
 * @revision: Store revision of this version; 0 when not stored yet.
 * @member_count: Number of members.
 * @members: The members, ordered by name.
 * @departed_count: Number of members that have left.
 * @departed: Their incarnations, the latest last.
 * @owned_count: Number of instances.
 * @owned_capacity: Allocated length of @owned.
 * @owned: The instances, ordered by name; memory owned by the record.
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
 * Return: The record, to be freed with rst_zone_destroy(), or NULL when
 * memory is short.
 */
struct rst_zone *rst_zone_create (const char *zone);

/**
 * rst_zone_destroy() - Frees a record.
 * @zone: The record, or NULL.
 */
void rst_zone_destroy (struct rst_zone *zone);

/**
 * rst_zone_copy() - Copies a record.
 * @zone: The record.
 *
 * Return: The copy, owned by the caller, or NULL when memory is short.
 */
struct rst_zone *rst_zone_copy (const struct rst_zone *zone);

/**
 * rst_zone_parse() - Reads a record from its stored JSON text.
 * @text: The text.
 * @revision: Its store revision.
 * @out: Receives the record, owned by the caller.
 *
 * Return: RST_OK, RST_ERROR_INVALID or RST_ERROR_NO_MEMORY.
 */
int rst_zone_parse (const char *text, uint64_t revision,
                    struct rst_zone **out);

/**
 * rst_zone_format() - Writes a record as JSON text.
 * @zone: The record.
 *
 * Return: The text, to be freed with free(), or NULL when memory is short.
 */
char *rst_zone_format (const struct rst_zone *zone);

/**
 * rst_zone_find_member() - Finds a member by its incarnation.
 * @zone: The record.
 * @incarnation: The incarnation.
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
 * Return: The entry, valid until the record changes, or NULL.
 */
const struct rst_ownership *
rst_zone_find_ownership (const struct rst_zone *zone, const char *instance);

/**
 * rst_zone_add_member() - Adds a member or replaces its older incarnation.
 * @zone: The record.
 * @member: The member.
 *
 * An older incarnation of the same name is removed, and its instances are
 * left without an owner.  The caller must know that it has stopped.
 *
 * Return: RST_OK, or RST_ERROR_FULL.
 */
int rst_zone_add_member (struct rst_zone *zone,
                         const struct rst_member *member);

/**
 * rst_zone_remove_member() - Removes a member and frees its instances.
 * @zone: The record.
 * @incarnation: Incarnation of the member.
 *
 * Return: RST_OK, or RST_ERROR_NOT_FOUND.
 */
int rst_zone_remove_member (struct rst_zone *zone, const char *incarnation);

/**
 * rst_zone_claim_instances() - Makes a member the owner of its unowned
 * instances.
 * @zone: The record.
 * @incarnation: The claiming member.
 * @instances: Names of the zone's live instances.
 * @count: Number of names.
 *
 * A member claims the instances for which rendezvous hashing proposes it, as
 * long as nobody owns them.  Epochs of claimed instances grow by one.
 *
 * Return: The number of instances claimed, or -1 when memory is short.
 */
int rst_zone_claim_instances (struct rst_zone *zone, const char *incarnation,
                              const char *const *instances, int count);

/**
 * rst_zone_release_excess() - Releases instances that hashing proposes to
 * others.
 * @zone: The record.
 * @incarnation: The yielding member.
 * @max_moves: Largest number to release.
 *
 * The owner itself calls this, after it has stopped starting work on what it
 * releases.
 *
 * Return: The number released.
 */
int rst_zone_release_excess (struct rst_zone *zone, const char *incarnation,
                             int max_moves);

/**
 * rst_zone_hand_over() - Passes an owned instance on to another member.
 * @zone: The record.
 * @instance: Name of the instance.
 * @owner: Incarnation of the new owner.
 *
 * The present owner calls this, after it has stopped starting work there.
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
 * Return: RST_OK, RST_ERROR_NOT_FOUND or RST_ERROR_NOT_HELD.
 */
int rst_zone_mark_settled (struct rst_zone *zone, const char *instance,
                           const char *owner);

/**
 * rst_zone_remove_instance() - Removes an instance that exists no more.
 * @zone: The record.
 * @instance: Name of the instance.
 *
 * Return: RST_OK, or RST_ERROR_NOT_FOUND.
 */
int rst_zone_remove_instance (struct rst_zone *zone, const char *instance);

/**
 * rst_zone_get_preferred_owner() - Tells whom hashing proposes as an
 * instance's owner.
 * @zone: The record.
 * @instance: Name of the instance.
 *
 * Return: The member, or NULL when there is none.
 */
const struct rst_member *
rst_zone_get_preferred_owner (const struct rst_zone *zone,
                              const char *instance);

/**
 * rst_rendezvous_score() - How much a key prefers a name.
 * @key: The key.
 * @name: The name.
 *
 * Return: The score; the key's pick is the name with the highest.
 */
uint64_t rst_rendezvous_score (const char *key, const char *name);

/**
 * rst_rendezvous_pick() - Picks one of several names for a key.
 * @key: The key.
 * @names: The candidates.
 * @count: Number of candidates.
 *
 * Each key keeps its pick while that candidate remains.
 *
 * Return: Index of the pick, or -1 when @count is 0.
 */
int rst_rendezvous_pick (const char *key, const char *const *names, int count);

/* ---- Tenure ------------------------------------------------------------
 */

/**
 * struct rst_member_record - The stored register that arbitrates a tenure.
 * @incarnation: The member.
 * @view: Revision of the ownership record that the member has declared.
 * @touch: Counts the member's own writes.
 * @fenced_by: Incarnation of the member that ended the tenure, or "".
 */
struct rst_member_record
{
  char incarnation[RST_NAME_SIZE];
  uint64_t view;
  uint64_t touch;
  char fenced_by[RST_NAME_SIZE];
};

/**
 * rst_member_record_parse() - Reads a register from its JSON text.
 * @text: The text.
 * @out: Receives the register.
 *
 * Return: RST_OK or RST_ERROR_INVALID.
 */
int rst_member_record_parse (const char *text, struct rst_member_record *out);

/**
 * rst_member_record_format() - Writes a register as JSON text.
 * @record: The register.
 *
 * Return: The text, to be freed with free(), or NULL when memory is short.
 */
char *rst_member_record_format (const struct rst_member_record *record);

/**
 * struct rst_tenure_config - Durations that bound a tenure.
 * @lease_ms: Time to live of the store lease.
 * @margin_ms: Given up at the holder's end of each duration.
 * @promise_ms: How long a promise holds.
 * @quiet_ms: How long a member must have been silent, towards the one that
 *   ends its tenure, before that one may do so; more than @promise_ms.
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
 * @incarnation: The holder.
 *
 * A tenure is the right to act as a member.  It is held by a store lease, or
 * without the store by promises of all members of the views that the holder
 * has declared.  A member is out of count once it is known for certain that
 * it has stopped, if a promise of it covered that moment.
 *
 * Return: The tenure, to be freed with rst_tenure_destroy(), or NULL when
 * memory is short.
 */
struct rst_tenure *rst_tenure_create (const struct rst_tenure_config *config,
                                      const char *incarnation);

/** rst_tenure_destroy() - Frees a tenure, or NULL. */
void rst_tenure_destroy (struct rst_tenure *tenure);

/**
 * rst_tenure_record_renewal() - Records a confirmed renewal of the store
 * lease.
 * @tenure: The tenure.
 * @sent_at: Time before the renewal was sent.
 */
void rst_tenure_record_renewal (struct rst_tenure *tenure, rst_ms sent_at);

/** rst_tenure_drop_lease() - Records that the store knows no such lease. */
void rst_tenure_drop_lease (struct rst_tenure *tenure);

/** rst_tenure_end() - Gives the tenure up for good. */
void rst_tenure_end (struct rst_tenure *tenure);

/**
 * rst_tenure_declare_view() - Adds the members of a view that is being
 * declared.
 * @tenure: The tenure.
 * @view: The ownership record whose revision is about to be written.
 *
 * Call it before the write is sent: from then on promises of these members
 * are required as well.
 */
void rst_tenure_declare_view (struct rst_tenure *tenure,
                              const struct rst_zone *view);

/**
 * rst_tenure_confirm_view() - Records that a view is stored as declared.
 * @tenure: The tenure.
 * @revision: Revision of the view; older views no longer count.
 */
void rst_tenure_confirm_view (struct rst_tenure *tenure, uint64_t revision);

/**
 * rst_tenure_record_promise() - Records a promise received.
 * @tenure: The tenure.
 * @member: Incarnation of its giver.
 * @requested_at: Time before the promise was asked for.
 * @duration_ms: How long it holds.
 */
void rst_tenure_record_promise (struct rst_tenure *tenure, const char *member,
                                rst_ms requested_at, rst_ms duration_ms);

/**
 * rst_tenure_record_member_stop() - Records that a member has stopped for
 * certain.
 * @tenure: The tenure.
 * @member: Its incarnation.
 * @now: The present time.
 *
 * It counts only when the member cannot have ended this tenure before it
 * stopped: within the quiet time of its last promise.
 */
void rst_tenure_record_member_stop (struct rst_tenure *tenure,
                                    const char *member, rst_ms now);

/**
 * rst_tenure_is_held() - Tells whether the holder may use its rights.
 * @tenure: The tenure.
 * @now: The present time.
 */
bool rst_tenure_is_held (const struct rst_tenure *tenure, rst_ms now);

/**
 * rst_tenure_get_expiry() - Tells until when the tenure holds as things stand.
 * @tenure: The tenure.
 * @now: The present time.
 *
 * Return: The time, or 0 when it is not held; INT64_MAX when nobody else
 * can end it.
 */
rst_ms rst_tenure_get_expiry (const struct rst_tenure *tenure, rst_ms now);

/**
 * rst_tenure_find_missing_promise() - Names a member whose promise is missing.
 * @tenure: The tenure.
 * @now: The present time.
 *
 * Return: Its incarnation, valid until the next call on @tenure, or NULL.
 */
const char *rst_tenure_find_missing_promise (const struct rst_tenure *tenure,
                                             rst_ms now);

struct rst_promises;

/**
 * rst_promises_create() - Creates the register of promises that are given.
 * @config: Durations, copied.
 * @now: The present time.
 *
 * Return: The register, to be freed with rst_promises_destroy(), or NULL.
 */
struct rst_promises *
rst_promises_create (const struct rst_tenure_config *config, rst_ms now);

/** rst_promises_destroy() - Frees a register, or NULL. */
void rst_promises_destroy (struct rst_promises *promises);

/**
 * rst_promises_issue() - Promises not to end a member's tenure.
 * @promises: The register.
 * @member: The member that asks.
 * @now: The present time; the answer is sent at once.
 *
 * Return: The duration promised, or 0 when this process is ending the
 * member's tenure.
 */
rst_ms rst_promises_issue (struct rst_promises *promises, const char *member,
                           rst_ms now);

/**
 * rst_promises_allow_fencing() - Tells whether a member's tenure may be ended.
 * @promises: The register.
 * @member: The member.
 * @now: The present time.
 *
 * Return: Whether every promise to it has run out and it has been silent for
 * the quiet time.
 */
bool rst_promises_allow_fencing (const struct rst_promises *promises,
                                 const char *member, rst_ms now);

/**
 * rst_promises_set_refused() - Gives a member no more promises.
 * @promises: The register.
 * @member: The member.
 * @refused: true before its tenure is ended; false when that did not happen.
 */
void rst_promises_set_refused (struct rst_promises *promises,
                               const char *member, bool refused);

/* ---- Upper limits ----------------------------------------------------- */

/**
 * struct rst_limit_part - One holder's part of an upper limit.
 * @holder: Incarnation of the holder.
 * @granted: How many it may have running.
 * @wanted: How many more it asks for; 0 when content.
 * @write_number: The holder's number of its last write of the record, by which
 * it recognises a write whose answer was lost.
 */
struct rst_limit_part
{
  char holder[RST_NAME_SIZE];
  uint32_t granted;
  uint32_t wanted;
  uint64_t write_number;
};

/** Largest number of holders of parts of one limit. */
#define RST_LIMIT_PARTS_MAX 64

/**
 * struct rst_limit - The stored record of a team's upper limit.
 * @revision: Store revision; 0 when not stored yet.
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
 * rst_limit_parse() - Reads a record from its stored JSON text.
 * @text: The text, or NULL for an empty record.
 * @revision: Its store revision.
 * @out: Receives the record.
 *
 * Return: RST_OK or RST_ERROR_INVALID.
 */
int rst_limit_parse (const char *text, uint64_t revision,
                     struct rst_limit *out);

/**
 * rst_limit_format() - Writes a record as JSON text.
 * @limit: The record.
 *
 * Return: The text, to be freed with free(), or NULL when memory is short.
 */
char *rst_limit_format (const struct rst_limit *limit);

/**
 * rst_limit_sum_granted() - Sums all parts.
 * @limit: The record.
 */
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
 * @holder: Incarnation of the holder.
 * @upper_limit: The limit in force.
 * @more: How many more are wanted.
 *
 * What cannot be granted is left in the part's @wanted for others to see.
 *
 * Return: RST_OK when all was granted, RST_ERROR_LIMIT when less was, or
 * RST_ERROR_FULL when there is no room for another holder.
 */
int rst_limit_grow_part (struct rst_limit *limit, const char *holder,
                         uint32_t upper_limit, uint32_t more);

/**
 * rst_limit_shrink_part() - Lowers a holder's part.
 * @limit: The record.
 * @holder: Incarnation of the holder.
 * @granted: The new part; at least what the holder has running.
 *
 * Return: RST_OK, or RST_ERROR_NOT_FOUND.
 */
int rst_limit_shrink_part (struct rst_limit *limit, const char *holder,
                           uint32_t granted);

/**
 * rst_limit_get_target_part() - Tells how much a holder should keep.
 * @limit: The record.
 * @holder: Incarnation of the holder.
 * @upper_limit: The limit in force.
 * @used: What the holder has running.
 * @wanted: What it would start now.
 *
 * Half of what is unused returns when others ask; all above its
 * proportional part returns when the limit was lowered.
 *
 * Return: The part it should keep; may be less than @used.
 */
uint32_t rst_limit_get_target_part (const struct rst_limit *limit,
                                    const char *holder, uint32_t upper_limit,
                                    uint32_t used, uint32_t wanted);

/* ---- Retry budget and circuit breaker --------------------------------- */

/**
 * struct rst_retry_budget - Bounds retries to a part of the requests.
 * @balance_permille: Present balance, in thousandths of a retry.
 * @per_request_permille: Added with each request, in thousandths of a retry.
 * @max_balance_permille: Largest balance, in thousandths of a retry.
 */
struct rst_retry_budget
{
  int32_t balance_permille;
  int32_t per_request_permille;
  int32_t max_balance_permille;
};

/**
 * rst_retry_budget_init() - Prepares a budget that starts full.
 * @budget: The budget.
 * @per_request_permille: Thousandths of a retry earned by each request.
 * @max_retries: Largest balance, in retries.
 */
void rst_retry_budget_init (struct rst_retry_budget *budget,
                            int32_t per_request_permille, int32_t max_retries);

/**
 * rst_retry_budget_add_request() - Counts a first attempt.
 * @budget: The budget.
 */
void rst_retry_budget_add_request (struct rst_retry_budget *budget);

/**
 * rst_retry_budget_take_retry() - Asks to make one retry.
 * @budget: The budget.
 *
 * Return: Whether the retry may be made; it is then paid for.
 */
bool rst_retry_budget_take_retry (struct rst_retry_budget *budget);

/**
 * struct rst_breaker - Isolates a back end that keeps failing.
 * @failures: Failures since the last success.
 * @threshold: Failures in a row that open the breaker.
 * @open_ms: How long it stays open after the threshold is reached; doubled
 *   for each further failed probe, up to 32 times.
 * @open_until: End of the open time; 0 while closed.
 * @probing: Whether a probe is under way.
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
 * rst_breaker_init() - Prepares a closed breaker.
 * @breaker: The breaker.
 * @threshold: Failures in a row that open it.
 * @open_ms: First open time, in milliseconds.
 */
void rst_breaker_init (struct rst_breaker *breaker, uint32_t threshold,
                       rst_ms open_ms);

/**
 * rst_breaker_allows_request() - Tells whether work may be sent.
 * @breaker: The breaker.
 * @now: The present time.
 *
 * After the open time one probe is allowed; call rst_breaker_record_request()
 * with it.
 */
bool rst_breaker_allows_request (const struct rst_breaker *breaker,
                                 rst_ms now);

/**
 * rst_breaker_record_request() - Records that work was sent.
 * @breaker: The breaker.
 */
void rst_breaker_record_request (struct rst_breaker *breaker);

/**
 * rst_breaker_record_result() - Records how work ended.
 * @breaker: The breaker.
 * @ok: Whether it succeeded.
 * @now: The present time.
 */
void rst_breaker_record_result (struct rst_breaker *breaker, bool ok,
                                rst_ms now);

RST_END_DECLARATIONS

#endif
