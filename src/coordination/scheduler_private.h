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
#define SCHED_RETRY_MS 500

/** Longest wait of one watch. */
#define SCHED_WATCH_MS 2500

/** Time between two requests for promises. */
#define SCHED_PROMISE_EVERY_MS 500

/** Time between two digests sent to a peer. */
#define SCHED_DIGEST_EVERY_MS 1000

/** Time between two load reports when nothing changed. */
#define SCHED_LOAD_EVERY_MS 1000

/** Least time between two load reports. */
#define SCHED_LOAD_LEAST_MS 50

/** Time after which the queue is searched for expired queries. */
#define SCHED_EXPIRE_EVERY_MS 20

/** Time between two searches for what has expired. */
#define SCHED_SWEEP_EVERY_MS 250

/** How long an answer is kept for repeats of its request. */
#define SCHED_RECORD_MS 60000

/** Most instances released at once for balance, or that part of those owned
 * if it is more. */
#define SCHED_YIELD_MOVES 2
#define SCHED_YIELD_PART 8

/** Time between two steps of claiming, yielding and settling. */
#define SCHED_ZONE_EVERY_MS 300

/** Time between two writes of one team's limit record. */
#define SCHED_LIMIT_EVERY_MS 200

/** Least number by which a part grows. */
#define SCHED_LIMIT_BATCH 8

/** Longest time that a planned stop waits for running queries. */
#define SCHED_DRAIN_MS 20000

/** Longest time that a planned stop takes, even without the store. */
#define SCHED_STOP_MS 22000

struct peer
{
  uint64_t link;
  bool open;
  bool known;
  bool outgoing;
  bool probe;
  uint64_t order;
  uint64_t role;
  char name[RST_NAME_SIZE];
  char zone[RST_NAME_SIZE];
  char incarnation[RST_NAME_SIZE];
  char address[RST_ADDRESS_SIZE];
  char status_address[RST_ADDRESS_SIZE];
  uint64_t promise_number;
  rst_ms promise_asked_at;
  uint64_t digest_hash;
  uint64_t digest_newest;
  rst_ms digest_sent_at;
  uint32_t mismatches;
  struct rst_load load;
  bool has_load;
  uint64_t loaned;
};

enum session_state
{
  SESSION_NONE,
  SESSION_ALIVE,
  SESSION_REGISTER,
  SESSION_CONFIRMED,
};

struct watch
{
  struct rst_scheduler *sched;
  const char *prefix;
  uint64_t after;
  bool listed;
  bool busy;
  rst_ms next_at;
};

/* One write of the ownership record at a time. */
struct zone_writer
{
  bool busy;
  rst_ms next_at;
  rst_ms read_at;
  uint64_t write;
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
  INSTANCE_FOREIGN,
  INSTANCE_ADOPTING,
  INSTANCE_READY,
};

struct work;
struct query;
CK_STAILQ_HEAD (query_queue, query);

struct instance
{
  struct rst_scheduler *sched;
  struct rst_instance_info info;
  bool listed;
  enum instance_phase phase;
  uint64_t epoch;
  bool yielding;
  uint64_t yielding_revision;
  bool inspecting;
  rst_ms next_inspect;
  rst_ms heard_at;
  int64_t slots_used;
  int64_t cpu_used;
  int64_t memory_used;
  int64_t accelerators_used;
  struct rst_breaker breaker;
  uint64_t life;
  bool settled;
  bool renewing;
  rst_ms next_renew;
  rst_ms renewed_at;
  rst_ms last_renewal_at;
  int renewals_failed;
  CK_LIST_HEAD (work_list, work) work;
};

/* A query or task that runs, or may run, on an owned instance. */
struct work
{
  struct rst_work info;
  struct instance *instance;
  struct team *team;
  int calls;
  bool counted;
  bool starting;
  bool run_once;
  bool unsure;
  bool stopping;
  bool stop_wanted;
  bool stop_checkpoint;
  bool ended;
  bool end_seen;
  bool end_confirmed;
  bool adopted;
  bool held;
  rst_ms hold_until;
  rst_ms ghost_until;
  rst_ms started_at;
  rst_ms ended_at;
  rst_ms end_sent_at;
  rst_ms start_deadline;
  uint64_t reply_link;
  uint64_t reply_id;
  bool reply_due;
  CK_LIST_ENTRY (work) entry;
};

struct team
{
  struct rst_scheduler *sched;
  char name[RST_NAME_SIZE];
  struct rst_limit limit;
  bool limit_known;
  uint32_t granted;
  uint32_t shrink_pending;
  uint32_t excess;
  uint32_t cap;
  uint64_t base;
  uint32_t used;
  uint32_t away;
  bool busy;
  uint64_t write;
  char *text;
  char writer[RST_NAME_SIZE];
  rst_ms next_at;
  rst_ms read_at;
  CK_LIST_HEAD (away_list, away) away_list;
  CK_LIST_HEAD (transfer_list, transfer) transfers;
  uint32_t task_want;
  uint32_t task_need;
  rst_ms task_want_at;
  uint64_t served;
  uint32_t queued;
  struct query_queue urgent;
  struct query_queue normal;
};

struct away;
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
  int asked;
  rst_ms ask_until;
  int attempts;
  bool may_have_run;
  struct work *work;
  uint64_t epoch;
  char instance[RST_NAME_SIZE];
  uint64_t forward_link;
  uint64_t forward_id;
  CK_LIST_HEAD (waiter_list, waiter) waiters;
  CK_STAILQ_ENTRY (query) entry;
};

/* Remembers how a request with the caller's id ended. */
struct record
{
  char key[3 * RST_NAME_SIZE];
  struct query *running;
  bool elsewhere;
  struct rst_message answer;
  rst_ms expires_at;
};

struct job;
struct local_message;

/** The link on which a scheduler reaches itself. */
#define SCHED_SELF UINT64_MAX

struct rst_scheduler
{
  struct rst_scheduler_config config;
  const struct rst_platform *platform;
  void *platform_data;
  const struct rst_links *links;
  void *links_data;
  GRand *random;
  struct rst_scheduler_counters counters;
  struct rst_settings *settings;
  uint64_t next_id;

  char incarnation[RST_NAME_SIZE];
  uint64_t life;
  uint64_t session_life;
  uint64_t register_life;
  uint64_t keep_life;
  enum session_state session;
  bool session_busy;
  bool keep_busy;
  rst_ms session_next_at;
  uint64_t lease;
  uint64_t register_revision;
  uint64_t touch;
  bool register_busy;
  rst_ms register_next_at;
  char *declared_members;
  char *declaring_members;
  uint64_t declaring_view;
  uint64_t declared_view;
  uint64_t joined_revision;
  rst_ms granted_at;
  char *last_members;
  GHashTable *certain;
  GHashTable *seen;
  rst_ms keep_next_at;
  struct rst_tenure *tenure;
  struct rst_promises *promises;
  bool tenure_was_held;

  struct watch settings_watch;
  struct watch shared_watch;
  struct zone_writer zone_writer;
  GHashTable *alive;
  CK_LIST_HEAD (takeover_list, takeover) takeovers;

  GHashTable *peers;
  GPtrArray *seeds;
  rst_ms connect_next_at;
  rst_ms promise_next_at;
  rst_ms load_sent_at;
  bool load_changed;

  bool list_busy;
  bool list_known;
  uint64_t list_revision;
  rst_ms list_next_at;
  rst_ms zone_next_at;
  GHashTable *instances;
  GPtrArray *owned;

  GHashTable *teams;
  GHashTable *records;
  GHashTable *taken;
  GHashTable *history;
  GHashTable *informed;
  rst_ms joined_at;
  bool asking;
  GHashTable *forwards;
  uint64_t queued;
  uint64_t running_queries;
  struct rst_budget retry_budget;
  rst_ms sweep_next_at;
  rst_ms expire_next_at;
  bool dispatching;

  GHashTable *tasks;
  GHashTable *generations;
  GHashTable *refusals;
  rst_ms refusal_sweep_next_at;
  rst_ms task_sweep_next_at;

  GHashTable *jobs;
  rst_ms jobs_next_at;
  bool jobs_listing;
  GPtrArray *dropped_jobs;
  GHashTable *job_forwards;

  CK_STAILQ_HEAD (local_queue, local_message) local;

  bool stopping;
  rst_ms stop_at;
  bool stop_given;
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
void sched_branch (struct rst_scheduler *sched, const char *key,
                   uint64_t revision, const char *value);
typedef bool (*sched_zone_mutate) (struct rst_scheduler *sched,
                                   struct rst_zone *zone, void *data);
bool sched_zone_write (struct rst_scheduler *sched, sched_zone_mutate mutate,
                       void *data,
                       void (*done) (struct rst_scheduler *, bool));

void sched_zone_writer_tick (struct rst_scheduler *sched);

/* sched_member.c: registration, tenure, take-over */
void sched_member_init (struct rst_scheduler *sched);
void sched_member_clear (struct rst_scheduler *sched);
void sched_member_tick (struct rst_scheduler *sched);
void sched_member_zone_changed (struct rst_scheduler *sched);
void sched_member_promise_asked (struct rst_scheduler *sched,
                                 struct peer *peer,
                                 const struct rst_message *message);
void sched_member_promise (struct rst_scheduler *sched, struct peer *peer,
                           const struct rst_message *message);
uint64_t sched_member_seen (const struct rst_scheduler *sched,
                            const char *incarnation);
void sched_member_stopped (struct rst_scheduler *sched,
                           const char *incarnation);

/* sched_peer.c: links to other processes */
void sched_peer_tick (struct rst_scheduler *sched);
void sched_peer_hello (struct rst_scheduler *sched, struct peer *peer,
                       const struct rst_message *message);
void sched_peer_digest (struct rst_scheduler *sched, struct peer *peer,
                        const struct rst_message *message);
void sched_peer_load (struct rst_scheduler *sched, struct peer *peer,
                      const struct rst_message *message);
void sched_peer_push (struct rst_scheduler *sched, const char *key,
                      uint64_t revision, const char *value);
void sched_peer_say_hello (struct rst_scheduler *sched, uint64_t link);
void sched_peer_say_hello_to_all (struct rst_scheduler *sched);

/* sched_instance.c: the list, adoption and renewal */
void sched_instance_tick (struct rst_scheduler *sched);
void sched_instance_zone_changed (struct rst_scheduler *sched);
void sched_instance_drop_all (struct rst_scheduler *sched);
void sched_instance_free (gpointer data);
bool sched_instance_usable (const struct rst_scheduler *sched,
                            const struct instance *instance);
struct work *sched_work_add (struct instance *instance,
                             const struct rst_work *info);
struct work *sched_work_find (const struct instance *instance, const char *id);
void sched_work_remove (struct work *work);
void sched_work_uncount (struct work *work);
void sched_work_end (struct work *work, uint64_t result);

/* sched_limit.c: parts of upper limits */
struct team *sched_team (struct rst_scheduler *sched, const char *name);
void sched_team_free (gpointer data);
void sched_limit_tick (struct rst_scheduler *sched);
void sched_limit_record (struct rst_scheduler *sched, const char *name,
                         uint64_t revision, const char *value);
uint32_t sched_limit_upper (const struct rst_scheduler *sched,
                            const char *team);
bool sched_limit_allows (const struct team *team);
void sched_limit_wanted (struct team *team);
void sched_limit_away (struct team *team, const char *instance);
void sched_limit_say_adopted (const struct instance *instance);
bool sched_limit_covered (const struct team *team);
void sched_limit_reset (struct rst_scheduler *sched);
void sched_limit_adopted (struct rst_scheduler *sched, struct peer *peer,
                          const struct rst_message *message);

/* sched_query.c: queries on runners */
void sched_query_take (struct rst_scheduler *sched, uint64_t link,
                       const struct rst_message *message);
void sched_query_answer (struct rst_scheduler *sched, uint64_t link,
                         const struct rst_message *message);
void sched_query_dispatch (struct rst_scheduler *sched);
void sched_query_tick (struct rst_scheduler *sched);
void sched_query_link_closed (struct rst_scheduler *sched, uint64_t link);
void sched_query_init (struct rst_scheduler *sched);
void sched_query_clear (struct rst_scheduler *sched);
bool sched_query_busy (const struct rst_scheduler *sched);

/* sched_record.c: request ids whose home changes */
enum record_check
{
  RECORD_NEW,
  RECORD_ASKED,
  RECORD_UNSURE,
  RECORD_ELSEWHERE,
};
void sched_record_init (struct rst_scheduler *sched);
void sched_record_clear (struct rst_scheduler *sched);
void sched_record_new_life (struct rst_scheduler *sched);
void sched_record_zone (struct rst_scheduler *sched,
                        const struct rst_zone *zone);
void sched_record_informed (struct rst_scheduler *sched,
                            const struct peer *peer);
enum record_check sched_record_check (struct query *query);
void sched_record_ask (struct rst_scheduler *sched, uint64_t link,
                       const struct rst_message *message);
void sched_record_reply (struct rst_scheduler *sched, uint64_t link,
                         const struct rst_message *message);

/* used by sched_record.c */
void sched_query_place (struct query *query);
void sched_query_end (struct query *query, const struct rst_answer *answer);
void sched_query_end_unsure (struct query *query, const char *detail);

/* sched_task.c: tasks on owned workers */
void sched_task_init (struct rst_scheduler *sched);
void sched_task_clear (struct rst_scheduler *sched);
void sched_task_added (struct work *work);
void sched_task_removed (struct work *work);
void sched_task_start (struct rst_scheduler *sched, uint64_t link,
                       const struct rst_message *message);
void sched_task_stop (struct rst_scheduler *sched, uint64_t link,
                      const struct rst_message *message);
void sched_task_end_seen (struct rst_scheduler *sched,
                          const struct rst_message *message);
void sched_task_find (struct rst_scheduler *sched, uint64_t link,
                      const struct rst_message *message);
void sched_task_tick (struct rst_scheduler *sched);
void sched_task_settle_unsure (struct work *work);
void sched_task_stop_work (struct work *work, bool checkpoint);

/* sched_job.c: jobs owned by this scheduler */
void sched_job_init (struct rst_scheduler *sched);
void sched_job_clear (struct rst_scheduler *sched);
void sched_job_tick (struct rst_scheduler *sched);
void sched_job_call (struct rst_scheduler *sched, uint64_t link,
                     const struct rst_message *message);
void sched_job_reply (struct rst_scheduler *sched, uint64_t link,
                      const struct rst_message *message);
void sched_job_task_event (struct rst_scheduler *sched, uint64_t link,
                           const struct rst_message *message);
void sched_job_tenure_lost (struct rst_scheduler *sched);
void sched_job_members_changed (struct rst_scheduler *sched);
void sched_job_find_anew (struct job *job);
void sched_job_remember_forward (struct rst_scheduler *sched, uint64_t id,
                                 uint64_t to, uint64_t link,
                                 uint64_t caller_id);
void sched_job_status (struct rst_scheduler *sched, struct json_object *root);

#endif
