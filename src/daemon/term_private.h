/**
 * DOC: term_private - a planner's term, shared by its parts
 *
 * term.c: links, commits, the planner's life.  term_read.c: reading the
 * journal, the operators' keys and the instances' entries.
 */
#ifndef RST_TERM_PRIVATE_H
#define RST_TERM_PRIVATE_H

#include "daemon/prefix_watch.h"
#include "daemon/term.h"
#include "util/log.h"

#define RST_TERM_LOG_PREFIX "term"

/** Prefix of the journal's segments. */
#define RST_TERM_SEGMENT_PREFIX "rosemarystile/log/"

/** Pause after a call that failed, in milliseconds. */
#define RST_TERM_RETRY_DELAY_MS 100

/** Writes of one commit: the planner's key, a segment and those removed. */
#define RST_TERM_COMMIT_WRITES_MAX 20

enum restore_phase
{
  RESTORE_JOURNAL,
  RESTORE_OPERATORS,
  RESTORE_INSTANCES,
  RESTORE_DONE,
};

/* What a commit changes beside the planner's key. */
struct journal_change
{
  char segment_key[64];
  GByteArray *segment;
  char removed_keys[RST_TERM_COMMIT_WRITES_MAX][64];
  int removed_count;
};

struct rst_term
{
  struct rst_term_config config;
  struct rst_planner_record record;
  int64_t revision;
  bool elected;
  bool destroyed;
  bool ended;
  bool resigning;
  bool resigned;
  bool serving;
  struct rst_planner *planner;
  enum restore_phase restore_phase;
  /* When to read the journal's next page again; 0 for not. */
  rst_ms journal_retry_at;
  char journal_position[256];
  struct rst_prefix_watch *operator_watch;
  struct rst_prefix_watch *instance_watch;
  GHashTable *links;
  int pending_calls;
  bool committing;
  bool commit_in_flight;
  rst_ms commit_retry_at;
  rst_ms commit_sent_at;
  rst_ms last_commit_at;
  struct journal_change next_change;
  struct journal_change current_change;
  rst_ms next_heartbeat_at;
};

/** rst_term_finish_call() - Counts an answered call; true when it goes on. */
bool rst_term_finish_call (struct rst_term *term);

/** rst_term_update_planner_time() - Tells the planner the time. */
void rst_term_update_planner_time (struct rst_term *term);

/** rst_term_read_journal() - Reads on, behind the last page. */
void rst_term_read_journal (struct rst_term *term);

#endif
