/**
 * DOC: term_private - a planner's term, shared by its parts
 *
 * term.c: links, commits, the planner's life.  term_read.c: reading the
 * journal, the operators' keys and the instances' entries.
 */
#ifndef RST_TERM_PRIVATE_H
#define RST_TERM_PRIVATE_H

#include "daemon/follow.h"
#include "daemon/term.h"
#include "util/log.h"

#define RST_TERM_LOG "term"

/** Prefix of the journal's segments. */
#define RST_SEGMENT_PREFIX "rosemarystile/log/"

/** Pause after a call that failed, in milliseconds. */
#define RST_TERM_AGAIN_MS 100

/** Writes of one commit: the planner's key, a segment and those removed. */
#define RST_TERM_WRITES_MAX 20

enum reading
{
  READING_JOURNAL,
  READING_OPERATORS,
  READING_INSTANCES,
  READING_DONE,
};

/* What a commit changes beside the planner's key. */
struct change
{
  char key[64];
  GByteArray *segment;
  char removed[RST_TERM_WRITES_MAX][64];
  int removed_count;
};

struct rst_term
{
  struct rst_term_config config;
  struct rst_planner_record record;
  int64_t revision;
  bool won;
  bool ended;
  bool over;
  bool resigning;
  bool resigned;
  bool serving;
  struct rst_planner *planner;
  enum reading reading;
  /* When to read the journal's next page again; 0 for not. */
  rst_ms read_at;
  char after[256];
  struct rst_follow *operators;
  struct rst_follow *instances;
  GHashTable *links;
  int calls;
  bool committing;
  bool commit_sent;
  rst_ms commit_next;
  rst_ms sent_at;
  rst_ms committed_at;
  struct change waiting;
  struct change sent;
  rst_ms next_alive;
};

/** rst_term_call_ended() - Counts an answered call; true when it goes on. */
bool rst_term_call_ended (struct rst_term *term);

/** rst_term_set_time() - Tells the planner the time. */
void rst_term_set_time (struct rst_term *term);

/** rst_term_read_journal() - Reads on, behind the last page. */
void rst_term_read_journal (struct rst_term *term);

#endif
