/**
 * DOC: term_private - declarations shared by the files of a term
 *
 * term.c has the term's links, its commits and its start and end.
 * term_read.c restores the planner: it reads the journal and watches the keys
 * of operators and instances.
 */
#ifndef RST_TERM_PRIVATE_H
#define RST_TERM_PRIVATE_H

#include "cell/isolation.h"
#include "daemon/machine_list.h"
#include "daemon/prefix_watch.h"
#include "daemon/term.h"
#include "util/log.h"

#define RST_TERM_LOG_DOMAIN "term"

/** Prefix of the keys of the journal's segments. */
#define RST_TERM_SEGMENT_PREFIX "rosemarystile/log/"

/** Delay before a failed call to the store is repeated, in milliseconds. */
#define RST_TERM_RETRY_DELAY_MS 100

/** Maximum number of keys in one commit: the planner record, a new segment and
    removed segments. */
#define RST_TERM_COMMIT_WRITES_MAX 20

/* What is read from the store in turn before the planner may act. */
enum restore_phase
{
  RESTORE_JOURNAL,
  RESTORE_OPERATORS,
  RESTORE_INSTANCES,
  RESTORE_DONE,
};

/* What a commit changes besides the planner record: it appends a segment to
   the journal and removes old ones.  @segment is NULL when there is none. */
struct journal_change
{
  char segment_key[64];
  GByteArray *segment;
  char removed_keys[RST_TERM_COMMIT_WRITES_MAX][64];
  int removed_count;
};

/* A process linked to this planner. */
struct link_peer
{
  uint64_t link;
  /* The clock in its last ping, and when that arrived. */
  int64_t ping_clock;
  rst_ms ping_arrived_at;
  enum rst_role role;
  char name[RST_ID_SIZE];
  char zone[RST_ID_SIZE];
};

struct rst_term
{
  struct rst_term_config config;
  /* The planner record as this process writes it, and its revision in the
     store. */
  struct rst_planner_record record;
  int64_t revision;
  bool elected;
  /* The owner has destroyed the term; it waits for pending calls. */
  bool destroyed;
  /* The owner has been told that the term ended. */
  bool ended;
  bool resigning;
  /* The current commit, or the last one, carries the resignation. */
  bool resigned;
  /* Callers' calls are accepted. */
  bool serving;
  struct rst_planner *planner;
  enum restore_phase restore_phase;
  /* When to request the next page of the journal; 0 while none is wanted. */
  rst_ms next_journal_read_at;
  /* When the page that is being read was requested. */
  rst_ms journal_read_at;
  /* The next segment to read, and the number of low bits in which the numbers
     of the segments of its block differ. */
  uint64_t journal_segment;
  int journal_block_bits;
  /* The last segment of the journal. */
  uint64_t journal_end;
  /* Key of the last segment that was read. */
  char journal_position[256];
  struct rst_prefix_watch *operator_watch;
  struct rst_prefix_watch *instance_watch;
  struct rst_machine_list *machine_list;
  /* Link number to struct link_peer, for links that have sent a hello. */
  GHashTable *links;
  int pending_calls;
  /* A commit is under way; it is in flight, or waits to be sent again. */
  bool committing;
  bool commit_in_flight;
  rst_ms commit_retry_at;
  rst_ms commit_sent_at;
  /* When the last confirmed commit was sent, and when it was answered. */
  rst_ms confirmed_at;
  rst_ms last_commit_at;
  struct journal_change next_change;
  struct journal_change current_change;
  rst_ms next_heartbeat_at;
  /* Partitioned zones: whether this planner is cut off with its zone, so that
     it tells entry instances that it doesn't serve. */
  struct rst_isolation *isolation;
  bool isolated;
};

/**
 * rst_term_finish_call() - Records that a call to the store was answered.
 *
 * Return: false when the term has been destroyed.  The caller must then
 * ignore the answer; the term may have been freed.
 */
bool rst_term_finish_call (struct rst_term *term);

/** rst_term_update_planner_time() - Sets the planner's clock to the current
 * time. */
void rst_term_update_planner_time (struct rst_term *term);

/** rst_term_format_segment_key() - Formats the key of a segment: the prefix
 * and 16 hexadecimal digits. */
void rst_term_format_segment_key (char *out, size_t size, uint64_t segment);

/** rst_term_start_restore() - Starts to read the journal that the
 * predecessor's record names. */
void rst_term_start_restore (struct rst_term *term);

/**
 * rst_term_run_restore() - Reads the next page of the journal if it is due.
 *
 * Return: Time at which to call it again.
 */
rst_ms rst_term_run_restore (struct rst_term *term);

/** rst_term_run_machine_list() - Reads the list of machines if the planner
 * wants it. */
void rst_term_run_machine_list (struct rst_term *term);

#endif
