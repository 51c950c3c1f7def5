/**
 * DOC: settings - the operators' settings tree as one process holds it
 *
 * Each branch is held at the highest revision that was sound; a branch never
 * goes back.  An unsound value is refused as a whole and leaves the branch as
 * it was.  Ownership records of availability zones are kept beside the
 * settings because they spread between processes the same way.
 */
#ifndef RST_SETTINGS_H
#define RST_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "rosemarystile.h"
#include "state/state.h"

/** Store keys of the branches. */
#define RST_KEY_SETTINGS "settings/"
#define RST_KEY_CELL "settings/cell"
#define RST_KEY_ZONES "settings/zones"
#define RST_KEY_TEAMS "settings/teams/"
/** Store keys of what the schedulers share. */
#define RST_KEY_SHARED "shared/"
#define RST_KEY_ZONE_RECORDS "shared/zones/"

/** Upper limit of a team that has none. */
#define RST_NO_UPPER_LIMIT UINT32_MAX

/** Longest name of a team in bytes. */
#define RST_TEAM_NAME_MAX_BYTES 24

/** Largest number of keys of one team. */
#define RST_TEAM_KEYS_MAX 32

/** Largest number of availability zones. */
#define RST_ZONES_MAX 16

/** Size of a key's hash in hexadecimal digits with the final NUL. */
#define RST_TEAM_KEY_HASH_SIZE 65

/**
 * struct rst_team_key - A key that a team may present.
 * @id: Names the key.
 * @hash: Hash of its secret in hexadecimal digits.
 */
struct rst_team_key
{
  char id[RST_NAME_SIZE];
  char hash[RST_TEAM_KEY_HASH_SIZE];
};

/**
 * struct rst_team - A team as the settings describe it.
 * @name: Its name.
 * @share: Its weight when the fleet is full.
 * @upper_limit: How much it may have running, or RST_NO_UPPER_LIMIT.
 * @key_count: Number of keys.
 * @keys: The keys.
 * @deleted: The team is gone; its branch remains to keep its revision.
 */
struct rst_team
{
  char name[RST_NAME_SIZE];
  uint32_t share;
  uint32_t upper_limit;
  int key_count;
  struct rst_team_key keys[RST_TEAM_KEYS_MAX];
  bool deleted;
};

/**
 * struct rst_zone_setting - What operators say of an availability zone.
 * @name: The zone.
 * @out_of_service: Nothing may be started there.
 * @move_running: Running work is checkpointed and moved, too.
 */
struct rst_zone_setting
{
  char name[RST_NAME_SIZE];
  bool out_of_service;
  bool move_running;
};

/**
 * struct rst_cell_settings - Settings of the whole cell.
 * @max_deadline_ms: Bound on a request's deadline.
 * @max_queued_per_team: Bound on a team's waiting queries at one scheduler.
 * @stopped_incarnations: Incarnations that operators know to have stopped,
 * separated by spaces.
 */
struct rst_cell_settings
{
  int64_t max_deadline_ms;
  int64_t max_queued_per_team;
  char stopped_incarnations[1024];
};

struct rst_settings;

/**
 * typedef rst_settings_branch_visitor - Receives one branch.
 * @key: Its store key.
 * @revision: Revision in force.
 * @value: Its JSON text, "" when deleted.
 */
typedef void (*rst_settings_branch_visitor) (const char *key,
                                             uint64_t revision,
                                             const char *value,
                                             void *userdata);

/** rst_settings_create() - Creates an empty tree. */
struct rst_settings *rst_settings_create (void);

/** rst_settings_destroy() - Frees a tree, or NULL. */
void rst_settings_destroy (struct rst_settings *settings);

/**
 * rst_settings_apply() - Puts a revision of a branch in force.
 * @settings: The tree.
 * @key: The branch's store key.
 * @revision: Its store revision.
 * @value: Its JSON text; "" when deleted.
 * @problems: Receives a line for each problem.
 *
 * Return: RST_STATE_OK, RST_STATE_STALE or RST_STATE_INVALID.
 */
int rst_settings_apply (struct rst_settings *settings, const char *key,
                        uint64_t revision, const char *value,
                        GString *problems);

/**
 * rst_settings_check() - Checks a branch's value without keeping it.
 * @key: The branch's store key.
 * @value: Its JSON text.
 * @problems: Receives a line for each problem.
 *
 * Return: RST_STATE_OK or RST_STATE_INVALID.
 */
int rst_settings_check (const char *key, const char *value, GString *problems);

/** rst_settings_find_team() - Finds a team that is not deleted, or NULL. */
const struct rst_team *
rst_settings_find_team (const struct rst_settings *settings, const char *name);

/**
 * rst_settings_find_zone() - What operators say of a zone.
 *
 * Return: The setting, or NULL when they say nothing of it.
 */
const struct rst_zone_setting *
rst_settings_find_zone (const struct rst_settings *settings, const char *zone);

/** rst_settings_is_zone_out() - Whether a zone is taken out. */
bool rst_settings_is_zone_out (const struct rst_settings *settings,
                               const char *zone);

/** rst_settings_get_cell() - Settings of the cell; defaults when unset. */
const struct rst_cell_settings *
rst_settings_get_cell (const struct rst_settings *settings);

/** rst_settings_find_zone_record() - A zone's ownership record, or NULL. */
const struct rst_zone *
rst_settings_find_zone_record (const struct rst_settings *settings,
                               const char *zone);

/** rst_settings_visit_zone_records() - Visits all ownership records. */
void rst_settings_visit_zone_records (
    const struct rst_settings *settings,
    void (*visit) (const struct rst_zone *record, void *userdata),
    void *userdata);

/** rst_settings_visit_branches() - Visits all branches. */
void rst_settings_visit_branches (const struct rst_settings *settings,
                                  rst_settings_branch_visitor visit,
                                  void *userdata);

/**
 * rst_settings_get_problem() - Why a newer revision of a branch is not in
 * force.
 * @revision: Receives the refused revision.
 *
 * Return: The problem, or NULL when there is none.
 */
const char *rst_settings_get_problem (const struct rst_settings *settings,
                                      const char *key, uint64_t *revision);

/** rst_settings_get_hash() - Hash over all keys and their revisions. */
uint64_t rst_settings_get_hash (const struct rst_settings *settings);

/** rst_settings_get_newest_revision() - Highest revision held. */
uint64_t
rst_settings_get_newest_revision (const struct rst_settings *settings);

/** rst_settings_get_revision() - Revision of a branch, or 0. */
uint64_t rst_settings_get_revision (const struct rst_settings *settings,
                                    const char *key);

/**
 * rst_team_key_create() - Makes a key for a team.
 * @team: The team.
 * @id: Names the key.
 * @secret: 32 random bytes.
 * @key: Receives what the team presents.
 * @size: Size of @key in bytes.
 * @out: Receives what the settings store.
 */
void rst_team_key_create (const char *team, const char *id,
                          const unsigned char *secret, char *key, size_t size,
                          struct rst_team_key *out);

/**
 * rst_settings_find_team_by_key() - Finds the team that a key belongs to.
 * @settings: The tree.
 * @key: What the caller presents.
 *
 * Return: The team, or NULL when the key is malformed, unknown or withdrawn.
 */
const struct rst_team *
rst_settings_find_team_by_key (const struct rst_settings *settings,
                               const char *key);

/** rst_team_format() - Writes a team as JSON, to be freed with free(). */
char *rst_team_format (const struct rst_team *team);

/**
 * rst_team_parse() - Reads a team.
 * @name: Its name.
 * @value: JSON text; "" for a deleted branch.
 * @out: Receives the team.
 * @problems: Receives a line for each problem.
 *
 * Return: RST_STATE_OK or RST_STATE_INVALID.
 */
int rst_team_parse (const char *name, const char *value, struct rst_team *out,
                    GString *problems);

#endif
