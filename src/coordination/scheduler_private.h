/**
 * DOC: scheduler_private - state shared by the parts of the scheduler
 */
#ifndef RST_SCHEDULER_PRIVATE_H
#define RST_SCHEDULER_PRIVATE_H

#include <ck_queue.h>
#include <glib.h>

#include "coordination/fault_private.h"
#include "coordination/scheduler.h"
#include "state/json.h"
#include "util/log.h"

/** Time between two attempts at a store call that failed. */
#define SCHED_STORE_RETRY_MS 500

/** Longest wait of one watch. */
#define SCHED_WATCH_TIMEOUT_MS 2500

/** Time between two requests for promises. */
#define SCHED_PROMISE_INTERVAL_MS 500

/** Time between two digests sent to a peer. */
#define SCHED_DIGEST_INTERVAL_MS 1000

/** Time between two load reports when nothing changed. */
#define SCHED_LOAD_MAX_INTERVAL_MS 1000

/** Least time between two load reports. */
#define SCHED_LOAD_MIN_INTERVAL_MS 50

/** Time after which the queue is searched for expired queries. */
#define SCHED_EXPIRE_INTERVAL_MS 20

/** Time between two searches for what has expired. */
#define SCHED_SWEEP_INTERVAL_MS 250

/** How long an answer is kept for repeats of its request. */
#define SCHED_RECORD_TTL_MS 60000

/** Most instances released at once for balance, or that part of those owned
 * if it is more. */
#define SCHED_REBALANCE_MIN_MOVES 2
#define SCHED_REBALANCE_DIVISOR 8

/** Time between two steps of claiming, yielding and settling. */
#define SCHED_ZONE_UPDATE_INTERVAL_MS 300

/** Time between two writes of one team's limit record. */
#define SCHED_LIMIT_WRITE_INTERVAL_MS 200

/** Least number by which a part grows. */
#define SCHED_LIMIT_MIN_GROWTH 8

/** Longest time that a planned stop waits for running queries. */
#define SCHED_DRAIN_TIMEOUT_MS 20000

/** Longest time that a planned stop takes, even without the store. */
#define SCHED_STOP_TIMEOUT_MS 22000

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

enum session_state
{
  SESSION_NONE,
  SESSION_LEASED,
  SESSION_ANNOUNCED,
  SESSION_REGISTERED,
};

struct watch
{
  struct rst_scheduler *sched;
  const char *prefix;
  uint64_t after_revision;
  bool listed;
  bool busy;
  rst_ms next_at;
};

/* One write of the ownership record at a time. */
struct zone_writer
{
  bool busy;
  rst_ms next_at;
  rst_ms verify_at;
  uint64_t write_number;
  char *text;
  void (*done) (struct rst_scheduler *sched, bool ok);
};

/* Work to end one member's tenure. */
struct takeover
{
  struct rst_scheduler *sched;
  char member[RST_NAME_SIZE];
  uint64_t revision;
  rst_ms noticed_at;
  rst_ms next_at;
  bool busy;
  bool fenced;
  CK_LIST_ENTRY (takeover) entry;
};

enum instance_phase
{
  INSTANCE_NOT_OWNED,
  INSTANCE_ADOPTING,
  INSTANCE_READY,
};

struct run;
struct query;
CK_STAILQ_HEAD (query_queue, query);

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

/* A query or task that runs, or may run, on an owned instance. */
struct run
{
  struct rst_work info;
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
  uint32_t handed_over;
  bool busy;
  uint64_t write_number;
  char *text;
  char writer[RST_NAME_SIZE];
  rst_ms next_at;
  rst_ms verify_at;
  CK_LIST_HEAD (handed_over_list, handed_over) handed_over_list;
  CK_LIST_HEAD (transfer_list, transfer) transfers;
  uint32_t burst_rejections;
  uint32_t demanded_runs;
  rst_ms last_rejection_at;
  uint64_t served;
  uint32_t queued;
  struct query_queue urgent;
  struct query_queue normal;
};

struct handed_over;
struct transfer;

struct waiter
{
  uint64_t link;
  uint64_t id;
  CK_LIST_ENTRY (waiter) entry;
};

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

/* Remembers how a request with the caller's id ended. */
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

/** The link on which a scheduler reaches itself. */
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
  uint64_t next_id;

  char incarnation[RST_NAME_SIZE];
  uint64_t incarnation_number;
  uint64_t session_incarnation_number;
  uint64_t member_write_incarnation_number;
  uint64_t renewal_incarnation_number;
  enum session_state session;
  bool session_call_pending;
  bool lease_renewal_pending;
  rst_ms session_next_at;
  uint64_t lease_id;
  uint64_t member_record_revision;
  uint64_t member_write_number;
  bool member_write_pending;
  rst_ms member_write_next_at;
  char *declared_members;
  char *declaring_members;
  uint64_t declaring_view;
  uint64_t declared_view;
  uint64_t joined_revision;
  rst_ms lease_granted_at;
  char *last_member_list;
  GHashTable *stopped_members;
  GHashTable *first_seen_order;
  rst_ms lease_renewal_next_at;
  struct rst_tenure *tenure;
  struct rst_promises *promises;
  bool tenure_was_held;

  struct watch settings_watch;
  struct watch shared_watch;
  struct zone_writer zone_writer;
  GHashTable *alive_members;
  CK_LIST_HEAD (takeover_list, takeover) takeovers;

  GHashTable *peers;
  GPtrArray *seeds;
  rst_ms connect_next_at;
  rst_ms promise_next_at;
  rst_ms load_sent_at;
  bool load_changed;

  bool list_fetch_pending;
  bool list_received;
  uint64_t list_revision;
  rst_ms list_next_at;
  rst_ms zone_update_next_at;
  GHashTable *instances;
  GPtrArray *owned;

  GHashTable *teams;
  GHashTable *records;
  GHashTable *recent_messages;
  GHashTable *member_history;
  GHashTable *informed_peers;
  rst_ms joined_at;
  bool awaiting_home_replies;
  GHashTable *query_forwards;
  uint64_t queued;
  uint64_t running_queries;
  struct rst_retry_budget retry_budget;
  rst_ms sweep_next_at;
  rst_ms expire_next_at;
  bool dispatching;

  GHashTable *tasks;
  GHashTable *job_generations;
  GHashTable *start_rejections;
  rst_ms rejection_sweep_next_at;
  rst_ms task_sweep_next_at;

  GHashTable *jobs;
  rst_ms jobs_list_next_at;
  bool jobs_list_pending;
  GPtrArray *dropped_jobs;
  GHashTable *job_forwards;

  CK_STAILQ_HEAD (local_queue, local_message) local;

  bool stopping;
  rst_ms stop_began_at;
  bool handover_done;
  bool stopped;
};

/* scheduler.c */
rst_ms sched_now (const struct rst_scheduler *sched);
bool sched_send (struct rst_scheduler *sched, uint64_t link,
                 const struct rst_message *message);
struct peer *sched_peer_by_link (struct rst_scheduler *sched, uint64_t link);
struct peer *sched_peer_by_incarnation (struct rst_scheduler *sched,
                                        const char *incarnation);
uint64_t sched_link_to (struct rst_scheduler *sched, const char *incarnation);
uint64_t sched_next_id (struct rst_scheduler *sched);
bool sched_is_member (const struct rst_scheduler *sched,
                      const char *incarnation);
void sched_ignore_reply (const struct rst_platform_reply *reply, void *data);
rst_ms sched_jitter (struct rst_scheduler *sched, rst_ms base);
bool sched_may_start (const struct rst_scheduler *sched);
const struct rst_zone *sched_zone (const struct rst_scheduler *sched);

/* sched_store.c: watches and the ownership record */
void sched_store_tick (struct rst_scheduler *sched);
void sched_apply_branch (struct rst_scheduler *sched, const char *key,
                         uint64_t revision, const char *value);
typedef bool (*sched_zone_update_function) (struct rst_scheduler *sched,
                                            struct rst_zone *zone, void *data);
bool sched_zone_update (struct rst_scheduler *sched,
                        sched_zone_update_function update, void *data,
                        void (*done) (struct rst_scheduler *, bool));

void sched_zone_writer_tick (struct rst_scheduler *sched);

/* sched_member.c: registration, tenure, take-over */
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

/* sched_instance.c: the list, adoption and renewal */
void sched_instance_tick (struct rst_scheduler *sched);
void sched_instance_apply_zone (struct rst_scheduler *sched);
void sched_instance_drop_all (struct rst_scheduler *sched);
void sched_instance_free (gpointer data);
bool sched_instance_is_usable (const struct rst_scheduler *sched,
                               const struct instance *instance);
struct run *sched_run_add (struct instance *instance,
                           const struct rst_work *info);
struct run *sched_run_find (const struct instance *instance, const char *id);
void sched_run_remove (struct run *run);
void sched_run_release_resources (struct run *run);
void sched_run_end (struct run *run, uint64_t result);

/* sched_limit.c: parts of upper limits */
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

/* sched_record.c: request ids whose home changes */
enum record_check
{
  RECORD_NEW,
  RECORD_AWAITING_REPLIES,
  RECORD_IN_DOUBT,
  RECORD_ELSEWHERE,
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

/* used by sched_record.c */
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

/* sched_job.c: jobs owned by this scheduler */
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
                            uint64_t to, uint64_t link,
                            uint64_t caller_request_id);
void sched_job_add_status (struct rst_scheduler *sched,
                           struct json_object *root);

#endif
