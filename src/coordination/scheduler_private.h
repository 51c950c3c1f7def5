/**
 * DOC: scheduler_private - state and functions shared by the files of the
 * scheduler
 *
 * All state belongs to one struct rst_scheduler and is used from its thread
 * only.  Times are in milliseconds of the scheduler's clock.  A member named
 * ..._pending tells that a call is under way and its outcome not known;
 * next_at or ..._next_at is the time before which nothing further is sent.
 */
#ifndef RST_SCHEDULER_PRIVATE_H
#define RST_SCHEDULER_PRIVATE_H

#include <ck_queue.h>
#include <glib.h>

#include "coordination/fault_private.h"
#include "coordination/scheduler.h"
#include "state/json.h"
#include "util/log.h"

/** Mean delay before a failed store call is repeated. */
#define SCHED_STORE_RETRY_MS 500

/** Longest time that one watch call waits at the store for a change. */
#define SCHED_WATCH_TIMEOUT_MS 2500

/** Time between two requests for promises to the members of the zone. */
#define SCHED_PROMISE_INTERVAL_MS 500

/** Time between two digests of the settings sent to a peer. */
#define SCHED_DIGEST_INTERVAL_MS 1000

/** Longest time between two load reports. */
#define SCHED_LOAD_MAX_INTERVAL_MS 1000

/** Shortest time between two load reports, however often the load changes. */
#define SCHED_LOAD_MIN_INTERVAL_MS 50

/** Time between two scans of the queues for expired queries. */
#define SCHED_EXPIRE_INTERVAL_MS 20

/** Time between two scans for expired request records and runs in doubt. */
#define SCHED_SWEEP_INTERVAL_MS 250

/** How long the outcome of a request is kept for its repeats. */
#define SCHED_RECORD_TTL_MS 60000

/** Number of instances that one rebalance may release in any case. */
#define SCHED_REBALANCE_MIN_MOVES 2

/** Fraction of the owned instances, one in so many, that one rebalance may
 * release if that is more than SCHED_REBALANCE_MIN_MOVES. */
#define SCHED_REBALANCE_DIVISOR 8

/** Time between two updates of the ownership record that claim, settle or
 * release instances. */
#define SCHED_ZONE_UPDATE_INTERVAL_MS 300

/** Mean time between two writes of one team's limit record. */
#define SCHED_LIMIT_WRITE_INTERVAL_MS 200

/** Smallest number of runs by which a part is asked to grow. */
#define SCHED_LIMIT_MIN_GROWTH_RUNS 8

/** Longest time that a planned stop waits for running queries; half of it is
 * for handing the instances over. */
#define SCHED_DRAIN_TIMEOUT_MS 20000

/** Longest time that a planned stop takes, even without the store. */
#define SCHED_STOP_TIMEOUT_MS 22000

/**
 * struct peer - A link to another process, or one that is being opened.
 * @link: Id of the link; the key of the peer in its table.
 * @open: The link can carry messages.
 * @has_greeted: The peer's hello has arrived, so that @role to
 *   @status_address are set.
 * @outgoing: This process has opened the link.
 * @is_probe: The link was opened only to learn which incarnation listens at
 *   @address; it is closed after the hello.
 * @opened_order: Order in which an outgoing link was opened; comparable with
 *   sched_member_get_first_seen().
 * @role: A value of enum rst_role.
 * @promise_request_number: Number of the last promise request; replies to
 *   earlier ones are ignored.
 * @digest_hash: Hash of the settings that the peer holds.
 * @digest_newest_revision: Newest revision among them.
 * @digest_mismatches: Digests in a row that differed from the own settings.
 * @load: Its last load report, without the strings.
 * @forwarded_queries: Queries forwarded to the peer that it has not answered.
 */
struct peer
{
  uint64_t link;
  bool open;
  bool has_greeted;
  bool outgoing;
  bool is_probe;
  uint64_t opened_order;
  uint64_t role;
  char name[RST_NAME_SIZE];
  char zone[RST_NAME_SIZE];
  char incarnation[RST_NAME_SIZE];
  char address[RST_ADDRESS_SIZE];
  char status_address[RST_ADDRESS_SIZE];
  uint64_t promise_request_number;
  rst_ms promise_requested_at;
  uint64_t digest_hash;
  uint64_t digest_newest_revision;
  rst_ms digest_sent_at;
  uint32_t digest_mismatches;
  struct rst_load load;
  bool has_load;
  uint64_t forwarded_queries;
};

/**
 * enum session_state - How far this incarnation is registered.
 * @SESSION_NONE: It has no store lease.
 * @SESSION_LEASED: It has a lease; its alive key is to be written under it.
 * @SESSION_ANNOUNCED: The alive key exists; its member record is to be
 *   written.
 * @SESSION_REGISTERED: The member record exists; the lease is being renewed.
 */
enum session_state
{
  SESSION_NONE,
  SESSION_LEASED,
  SESSION_ANNOUNCED,
  SESSION_REGISTERED,
};

/**
 * struct watch - A watch of the store keys with a common prefix.
 * @after_revision: Changes up to this revision have been applied.
 * @listed: All keys have been read; only later changes are asked for.
 */
struct watch
{
  struct rst_scheduler *sched;
  const char *prefix;
  uint64_t after_revision;
  bool listed;
  bool call_pending;
  rst_ms next_at;
};

/**
 * struct zone_writer - The write of the ownership record that is under way.
 * @verify_at: When to read the record again, because the read that was to
 *   settle the outcome has failed; 0 if no read is due.
 * @write_number: Number of the last write; identifies it in the record.
 * @written_text: The record as it was sent.
 * @done: Called with whether the write took effect.
 */
struct zone_writer
{
  bool write_pending;
  rst_ms next_at;
  rst_ms verify_at;
  uint64_t write_number;
  char *written_text;
  void (*done) (struct rst_scheduler *sched, bool ok);
};

/**
 * struct takeover - An attempt to end the tenure of a member that is silent or
 * has stopped, and to remove it from the ownership record.
 * @member: Its incarnation.
 * @revision: Revision of its member record, as last read.
 * @noticed_at: When its alive key was first found missing, or its stop was
 *   learnt.
 * @fenced: Its tenure has ended; it can be removed.
 */
struct takeover
{
  struct rst_scheduler *sched;
  char member[RST_NAME_SIZE];
  uint64_t revision;
  rst_ms noticed_at;
  rst_ms next_at;
  bool call_pending;
  bool fenced;
  CK_LIST_ENTRY (takeover) entry;
};

/**
 * enum instance_phase - What this scheduler may do with an instance.
 * @INSTANCE_NOT_OWNED: Nothing; another member or nobody owns it.
 * @INSTANCE_ADOPTING: It is owned, but has not yet been told the epoch and
 *   listed its runs.
 * @INSTANCE_READY: It is owned and its runs are known.
 */
enum instance_phase
{
  INSTANCE_NOT_OWNED,
  INSTANCE_ADOPTING,
  INSTANCE_READY,
};

struct run;
struct query;
CK_STAILQ_HEAD (query_queue, query);

/**
 * struct instance - An instance that is listed by the platform or owned.
 * @listed: The platform's last list contains it.
 * @epoch: Epoch of the present ownership; meaningful while owned.
 * @releasing: A write that releases the instance may take effect; nothing is
 *   started on it until a later revision shows that it did not.
 * @release_revision: Revision of the ownership record on which that write was
 *   based.
 * @last_report_at: When it last listed its runs, or when it became owned.
 * @slots_used: Slots taken by counted runs; the other _used members likewise.
 * @incarnation_number: rst_scheduler.incarnation_number when it became owned.
 * @settled: The ownership record marks it as settled: its owner knows all its
 *   runs and holds the parts of upper limits that they need.
 * @renewal_sent_at: When the last renewal of its task leases was sent.
 * @last_lease_call_at: When a renewal last failed or a start was last
 *   answered; such a call may have extended a task lease until that time.
 * @renewals_failed: Renewals in a row that failed.
 */
struct instance
{
  struct rst_scheduler *sched;
  struct rst_instance_info info;
  bool listed;
  enum instance_phase phase;
  uint64_t epoch;
  bool releasing;
  uint64_t release_revision;
  bool inspection_pending;
  rst_ms next_inspect_at;
  rst_ms last_report_at;
  int64_t slots_used;
  int64_t cpu_used;
  int64_t memory_used;
  int64_t accelerators_used;
  struct rst_breaker breaker;
  uint64_t incarnation_number;
  bool settled;
  bool renewal_pending;
  rst_ms next_renewal_at;
  rst_ms renewal_sent_at;
  rst_ms last_lease_call_at;
  int renewals_failed;
  CK_LIST_HEAD (run_list, run) runs;
};

/**
 * struct run - A query or task that runs, may run or has ended on an owned
 * instance.
 * @instance: The instance, or NULL once it is no longer owned.
 * @pending_calls: Calls to the platform that refer to the run; it is not
 *   freed before they have ended.
 * @counted: Its resources and its place in the team's part count as used.
 * @starting: A start has been sent and its outcome is not known.
 * @run_once: The start must not be repeated.
 * @in_doubt: The outcome of its start was lost; the next report of the worker
 *   tells whether it runs.
 * @stopping: A stop has been sent and its outcome is not known.
 * @stop_requested: A stop is to be sent as soon as possible.
 * @end_acknowledged: The job's owner has stored the end.
 * @end_forget_sent: A renewal that tells the worker to forget the end has been
 *   sent.
 * @adopted: It was started under an earlier owner of the instance.
 * @reserved: Its resources are reserved; its start has not been requested.
 * @in_doubt_until: When a query whose outcome was lost must have ended and
 *   frees its slot; 0 if the outcome is known or awaited.
 * @started_at: When it was added, or when its start was confirmed.
 * @end_reported_at: When its end was last reported to the job's owner.
 * @start_deadline: Time after which the start is not repeated.
 * @reply_link: Link on which the start was requested, for the reply.
 * @reply_id: Id of that request.
 * @reply_due: The request has not been replied to.
 */
struct run
{
  struct rst_run_info info;
  struct instance *instance;
  struct team *team;
  int pending_calls;
  bool counted;
  bool starting;
  bool run_once;
  bool in_doubt;
  bool stopping;
  bool stop_requested;
  bool stop_with_checkpoint;
  bool ended;
  bool end_acknowledged;
  bool end_forget_sent;
  bool adopted;
  bool reserved;
  rst_ms reserved_until;
  rst_ms in_doubt_until;
  rst_ms started_at;
  rst_ms ended_at;
  rst_ms end_reported_at;
  rst_ms start_deadline;
  uint64_t reply_link;
  uint64_t reply_id;
  bool reply_due;
  CK_LIST_ENTRY (run) entry;
};

/**
 * struct team - A customer's queues, and this scheduler's part of its upper
 * limit.
 * @limit: The limit record as last read or written.
 * @limit_known: @limit is set, so that only newer revisions are applied.
 * @granted: Runs that the own part allows, less what is being given up.
 * @shrink_pending: What the write under way gives up of the own part.
 * @excess_runs: Tasks to be stopped because the limit was lowered.
 * @cap: Runs at which no more are started although @granted allows it, while
 *   the parts exceed the upper limit; UINT32_MAX otherwise.
 * @base_revision: Revision that the write under way expects to replace.
 * @run_count: Counted runs on owned instances.
 * @handed_over_count: Runs on instances handed over whose new owner has not
 *   yet announced that it counts them; they count here until then.
 * @write_number: Number of the last write; identifies it in the record.
 * @written_text: The record as it was sent.
 * @writer: Incarnation that sent it.
 * @verify_at: As in struct zone_writer.
 * @transfers: Runs of the own part to be moved to other members' parts.
 * @burst_rejections: Starts rejected for the limit in the present burst.
 * @demanded_runs: Largest number of counted runs that the starts rejected
 *   lately would have led to.
 * @queued_count: Queries in @urgent and @normal.
 */
struct team
{
  struct rst_scheduler *sched;
  char name[RST_NAME_SIZE];
  struct rst_limit limit;
  bool limit_known;
  uint32_t granted;
  uint32_t shrink_pending;
  uint32_t excess_runs;
  uint32_t cap;
  uint64_t base_revision;
  uint32_t run_count;
  uint32_t handed_over_count;
  bool write_pending;
  uint64_t write_number;
  char *written_text;
  char writer[RST_NAME_SIZE];
  rst_ms next_at;
  rst_ms verify_at;
  CK_LIST_HEAD (handed_over_list, handed_over) handed_over_list;
  CK_LIST_HEAD (transfer_list, transfer) transfers;
  uint32_t burst_rejections;
  uint32_t demanded_runs;
  rst_ms last_rejection_at;
  uint64_t served; /* not used */
  uint32_t queued_count;
  struct query_queue urgent;
  struct query_queue normal;
};

struct handed_over;
struct transfer;

/* A caller that is told the outcome of a query. */
struct waiter
{
  uint64_t link;
  uint64_t id;
  CK_LIST_ENTRY (waiter) entry;
};

/**
 * struct query - A query that was received and has not ended.
 * @record_key: Key of its request record; "" without a caller's id.
 * @keyed: The caller has chosen the request id.
 * @hops: How often it was forwarded before it came here.
 * @pending_home_replies: Earlier homes of the id whose replies are awaited.
 * @may_have_run: An attempt ended without a known outcome.
 * @run: The run under way, or NULL.
 * @epoch: Epoch under which the last attempt was sent to @instance.
 * @forward_id: Id of the message that forwarded it; 0 if it is here.
 */
struct query
{
  struct rst_scheduler *sched;
  char request_id[2 * RST_NAME_SIZE];
  char record_key[3 * RST_NAME_SIZE];
  struct team *team;
  bool keyed;
  bool idempotent;
  bool urgent;
  uint64_t hops;
  rst_ms deadline;
  struct rst_blob body;
  int pending_home_replies;
  rst_ms home_reply_deadline;
  int attempts;
  bool may_have_run;
  struct run *run;
  uint64_t epoch;
  char instance[RST_NAME_SIZE];
  uint64_t forward_link;
  uint64_t forward_id;
  CK_LIST_HEAD (waiter_list, waiter) waiters;
  CK_STAILQ_ENTRY (query) entry;
};

/**
 * struct request_record - What is known of a request with a caller's id.
 * @running_query: The query, or NULL once it has ended.
 * @home_moved: Another member has been told that the request is not known
 *   here; it must not be run here.
 * @answer: The outcome, once the query has ended.
 */
struct request_record
{
  char key[3 * RST_NAME_SIZE];
  struct query *running_query;
  bool home_moved;
  struct rst_message answer;
  rst_ms expires_at;
};

struct job;
struct local_message;

/** Id of the link on which a scheduler sends messages to itself. */
#define SCHED_LINK_SELF UINT64_MAX

struct rst_scheduler
{
  struct rst_scheduler_config config;
  const struct rst_platform *platform;
  void *platform_data;
  const struct rst_link_ops *links;
  void *links_data;
  GRand *random;
  struct rst_scheduler_counters counters;
  struct rst_settings *settings;
  uint64_t last_id; /* the last one given out */

  char incarnation[RST_NAME_SIZE];
  uint64_t incarnation_number;              /* count of own incarnations */
  uint64_t session_incarnation_number;      /* of the pending call */
  uint64_t member_write_incarnation_number; /* of the pending write */
  uint64_t renewal_incarnation_number;      /* of the pending renewal */
  enum session_state session;
  bool session_call_pending;
  bool lease_renewal_pending;
  rst_ms session_next_at;
  uint64_t lease_id;               /* store lease */
  uint64_t member_record_revision; /* 0 before its first write */
  uint64_t member_write_number;    /* number of its last write */
  bool member_write_pending;
  rst_ms member_write_next_at;
  char *declared_members;   /* of declared_view */
  char *declaring_members;  /* of declaring_view */
  uint64_t declaring_view;  /* revision being declared */
  uint64_t declared_view;   /* last revision declared */
  uint64_t joined_revision; /* first view with it as member, or 0 */
  rst_ms lease_granted_at;
  char *last_member_list;
  GHashTable *stopped_members;  /* incarnations known to have stopped */
  GHashTable *first_seen_order; /* order of members by incarnation */
  rst_ms lease_renewal_next_at;
  struct rst_tenure *tenure;
  struct rst_promises *promises;
  bool tenure_was_held;

  struct watch settings_watch;
  struct watch shared_watch;
  struct zone_writer zone_writer;
  GHashTable *alive_members; /* incarnations with an alive key */
  CK_LIST_HEAD (takeover_list, takeover) takeovers;

  GHashTable *peers; /* by link */
  GPtrArray *seed_addresses;
  rst_ms connect_next_at;
  rst_ms promise_next_at;
  rst_ms load_sent_at;
  bool load_changed; /* a load report is due */

  bool list_fetch_pending;
  bool list_received; /* the platform has listed its instances */
  uint64_t list_revision;
  rst_ms list_next_at;
  rst_ms zone_update_next_at;
  GHashTable *instances; /* by name */
  GPtrArray *owned;      /* instances that are owned */

  GHashTable *teams;           /* by name */
  GHashTable *request_records; /* by key */
  GHashTable *recent_messages; /* expiry times by link and id */
  GHashTable *member_history;  /* known_member by incarnation */
  GHashTable *informed_peers;  /* when informed, by incarnation */
  rst_ms joined_at;            /* 0 before it is a member */
  bool awaiting_home_replies;  /* some query awaits them */
  GHashTable *query_forwards;  /* queries by message id */
  uint64_t queued_count;       /* queries in all queues */
  uint64_t unfinished_queries; /* received and not ended */
  struct rst_retry_budget retry_budget;
  rst_ms sweep_next_at;
  rst_ms expire_next_at;
  bool dispatching;

  GHashTable *tasks;            /* runs by task id */
  GHashTable *job_generations;  /* highest known, by job */
  GHashTable *start_rejections; /* by job and index */
  rst_ms rejection_sweep_next_at;
  rst_ms task_sweep_next_at;

  GHashTable *jobs; /* by name */
  rst_ms jobs_list_next_at;
  bool jobs_list_pending;
  GPtrArray *dropped_jobs;
  GHashTable *job_forwards;

  CK_STAILQ_HEAD (local_queue, local_message) local_messages;

  bool stopping;
  rst_ms stop_began_at;
  bool handover_done; /* complete or given up */
  bool stopped;
};

/* scheduler.c */
rst_ms sched_now (const struct rst_scheduler *sched);
bool sched_send (struct rst_scheduler *sched, uint64_t link,
                 const struct rst_message *message);
struct peer *sched_find_peer_by_link (struct rst_scheduler *sched,
                                      uint64_t link);
struct peer *sched_find_peer_by_incarnation (struct rst_scheduler *sched,
                                             const char *incarnation);
uint64_t sched_find_link (struct rst_scheduler *sched,
                          const char *incarnation);
uint64_t sched_next_id (struct rst_scheduler *sched);
bool sched_is_member (const struct rst_scheduler *sched,
                      const char *incarnation);
void sched_ignore_reply (const struct rst_platform_reply *reply, void *data);
rst_ms sched_add_jitter (struct rst_scheduler *sched, rst_ms base);
bool sched_may_start (const struct rst_scheduler *sched);
const struct rst_zone *sched_get_zone (const struct rst_scheduler *sched);

/* sched_store.c: watches of the store, and writes of the ownership record */
void sched_store_tick (struct rst_scheduler *sched);
void sched_apply_branch (struct rst_scheduler *sched, const char *key,
                         uint64_t revision, const char *value);
typedef bool (*sched_zone_update_function) (struct rst_scheduler *sched,
                                            struct rst_zone *zone, void *data);
bool sched_zone_update (struct rst_scheduler *sched,
                        sched_zone_update_function update, void *data,
                        void (*done) (struct rst_scheduler *, bool));
void sched_zone_writer_tick (struct rst_scheduler *sched);

/* sched_member.c: registration, tenure and takeover */
void sched_member_init (struct rst_scheduler *sched);
void sched_member_clear (struct rst_scheduler *sched);
void sched_member_tick (struct rst_scheduler *sched);
void sched_member_apply_zone (struct rst_scheduler *sched);
void sched_member_handle_promise_request (struct rst_scheduler *sched,
                                          struct peer *peer,
                                          const struct rst_message *message);
void sched_member_handle_promise (struct rst_scheduler *sched,
                                  struct peer *peer,
                                  const struct rst_message *message);
uint64_t sched_member_get_first_seen (const struct rst_scheduler *sched,
                                      const char *incarnation);
void sched_member_note_stopped (struct rst_scheduler *sched,
                                const char *incarnation);

/* sched_peer.c: links to other processes */
void sched_peer_tick (struct rst_scheduler *sched);
void sched_peer_handle_hello (struct rst_scheduler *sched, struct peer *peer,
                              const struct rst_message *message);
void sched_peer_handle_digest (struct rst_scheduler *sched, struct peer *peer,
                               const struct rst_message *message);
void sched_peer_handle_load (struct rst_scheduler *sched, struct peer *peer,
                             const struct rst_message *message);
void sched_peer_push_branch (struct rst_scheduler *sched, const char *key,
                             uint64_t revision, const char *value);
void sched_peer_send_hello (struct rst_scheduler *sched, uint64_t link);
void sched_peer_send_hello_to_all (struct rst_scheduler *sched);

/* sched_instance.c: instances that are listed or owned, and their runs */
void sched_instance_tick (struct rst_scheduler *sched);
void sched_instance_apply_zone (struct rst_scheduler *sched);
void sched_instance_drop_all (struct rst_scheduler *sched);
void sched_instance_free (gpointer data);
bool sched_instance_is_usable (const struct rst_scheduler *sched,
                               const struct instance *instance);
struct run *sched_run_add (struct instance *instance,
                           const struct rst_run_info *info);
struct run *sched_run_find (const struct instance *instance, const char *id);
void sched_run_remove (struct run *run);
void sched_run_release_resources (struct run *run);
void sched_run_end (struct run *run, uint64_t result);

/* sched_limit.c: parts of the upper limits */
struct team *sched_team_get (struct rst_scheduler *sched, const char *name);
void sched_team_free (gpointer data);
void sched_limit_tick (struct rst_scheduler *sched);
void sched_limit_apply_record (struct rst_scheduler *sched, const char *name,
                               uint64_t revision, const char *value);
uint32_t sched_limit_get_upper (const struct rst_scheduler *sched,
                                const char *team);
bool sched_limit_allows_start (const struct team *team);
void sched_limit_note_rejected_start (struct team *team);
void sched_limit_add_handed_over (struct team *team, const char *instance);
void sched_limit_announce_adopted (const struct instance *instance);
bool sched_limit_is_covered (const struct team *team);
void sched_limit_reset (struct rst_scheduler *sched);
void sched_limit_handle_adopted (struct rst_scheduler *sched,
                                 struct peer *peer,
                                 const struct rst_message *message);

/* sched_query.c: queries on runners */
void sched_query_handle_query (struct rst_scheduler *sched, uint64_t link,
                               const struct rst_message *message);
void sched_query_handle_answer (struct rst_scheduler *sched, uint64_t link,
                                const struct rst_message *message);
void sched_query_dispatch (struct rst_scheduler *sched);
void sched_query_tick (struct rst_scheduler *sched);
void sched_query_handle_link_closed (struct rst_scheduler *sched,
                                     uint64_t link);
void sched_query_init (struct rst_scheduler *sched);
void sched_query_clear (struct rst_scheduler *sched);
bool sched_query_is_busy (const struct rst_scheduler *sched);

/* sched_record.c: request ids whose home has moved */
/**
 * enum record_check - Whether a request that is not known here may be run.
 * @RECORD_NEW: It may be run.
 * @RECORD_AWAITING_REPLIES: Earlier homes have been asked.
 * @RECORD_IN_DOUBT: A member that cannot be asked may have run it.
 * @RECORD_HOME_ELSEWHERE: Another member is its home.
 */
enum record_check
{
  RECORD_NEW,
  RECORD_AWAITING_REPLIES,
  RECORD_IN_DOUBT,
  RECORD_HOME_ELSEWHERE,
};
void sched_record_init (struct rst_scheduler *sched);
void sched_record_clear (struct rst_scheduler *sched);
void sched_record_begin_incarnation (struct rst_scheduler *sched);
void sched_record_apply_zone (struct rst_scheduler *sched,
                              const struct rst_zone *zone);
void sched_record_note_informed (struct rst_scheduler *sched,
                                 const struct peer *peer);
enum record_check sched_record_check (struct query *query);
void sched_record_handle_request (struct rst_scheduler *sched, uint64_t link,
                                  const struct rst_message *message);
void sched_record_handle_reply (struct rst_scheduler *sched, uint64_t link,
                                const struct rst_message *message);

/* sched_query.c and sched_query_intake.c, for sched_record.c */
void sched_query_place (struct query *query);
void sched_query_end (struct query *query, const struct rst_answer *answer);
void sched_query_end_in_doubt (struct query *query, const char *detail);

/* sched_task.c: tasks on owned workers */
void sched_task_init (struct rst_scheduler *sched);
void sched_task_clear (struct rst_scheduler *sched);
void sched_task_index_run (struct run *run);
void sched_task_unindex_run (struct run *run);
void sched_task_handle_start (struct rst_scheduler *sched, uint64_t link,
                              const struct rst_message *message);
void sched_task_handle_stop (struct rst_scheduler *sched, uint64_t link,
                             const struct rst_message *message);
void sched_task_handle_end_ack (struct rst_scheduler *sched,
                                const struct rst_message *message);
void sched_task_handle_find (struct rst_scheduler *sched, uint64_t link,
                             const struct rst_message *message);
void sched_task_tick (struct rst_scheduler *sched);
void sched_task_resolve_in_doubt (struct run *run);
void sched_task_stop_run (struct run *run, bool checkpoint);

/* sched_job.c: jobs that this scheduler owns */
void sched_job_init (struct rst_scheduler *sched);
void sched_job_clear (struct rst_scheduler *sched);
void sched_job_tick (struct rst_scheduler *sched);
void sched_job_handle_call (struct rst_scheduler *sched, uint64_t link,
                            const struct rst_message *message);
void sched_job_handle_reply (struct rst_scheduler *sched, uint64_t link,
                             const struct rst_message *message);
void sched_job_handle_task_event (struct rst_scheduler *sched, uint64_t link,
                                  const struct rst_message *message);
void sched_job_drop_all (struct rst_scheduler *sched);
void sched_job_check_all_worker_owners (struct rst_scheduler *sched);
void sched_job_restart_search (struct job *job);
void sched_job_add_forward (struct rst_scheduler *sched, uint64_t id,
                            uint64_t owner_link, uint64_t caller_link,
                            uint64_t caller_request_id);
void sched_job_add_status (struct rst_scheduler *sched,
                           struct json_object *root);

#endif
