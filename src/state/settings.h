/**
 * DOC: settings - a process's copy of the operators' settings tree
 *
 * The tree consists of settings branches, one for each store key.  A process
 * holds each branch at the highest valid revision that it has received and
 * never returns to an older one.  An invalid value is rejected as a whole, and
 * the branch keeps its old value.  The ownership records of availability zones
 * are held here as well, because they are distributed in the same way.
 */
#ifndef RST_SETTINGS_H
#define RST_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "rosemarystile.h"
#include "state/state.h"

/** Store keys of the settings branches, or their prefixes. */
#define RST_KEY_SETTINGS "settings/"
#define RST_KEY_CELL "settings/cell"
#define RST_KEY_ZONES "settings/zones"
#define RST_KEY_TEAMS "settings/teams/"
/** Prefixes of the store keys that the schedulers share. */
#define RST_KEY_SHARED "shared/"
#define RST_KEY_ZONE_RECORDS "shared/zones/"

/** Value of a team's upper limit when it has none. */
#define RST_NO_UPPER_LIMIT UINT32_MAX

/** Longest name of a team, without the final NUL. */
#define RST_TEAM_NAME_MAX_BYTES 24

/** Largest number of API keys of one team. */
#define RST_TEAM_KEYS_MAX 32

/** Largest number of availability zones. */
#define RST_ZONES_MAX 16

/** Size of a key's hash as hexadecimal digits with the final NUL. */
#define RST_TEAM_KEY_HASH_SIZE 65

/**
 * struct rst_team_key - An API key of a team as stored in the settings.
 * @id: Id of the key, unique in its team.
 * @hash: Hash of the key's secret, in hexadecimal digits.
 */
struct rst_team_key
{
  char id[RST_NAME_SIZE];
  char hash[RST_TEAM_KEY_HASH_SIZE];
};

/**
 * struct rst_team - Settings of a team.
 * @name: Name of the team.
 * @share: Weight of the team when the fleet is full.
 * @upper_limit: Largest number of runs that the team may have at a time, or
 *   %RST_NO_UPPER_LIMIT.
 * @key_count: Number of keys.
 * @keys: The team's API keys.
 * @deleted: The team is deleted.  Its branch stays in the store so that its
 *   revision is not lost.
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
 * struct rst_zone_setting - Settings of an availability zone.
 * @name: Name of the zone.
 * @out_of_service: Operators have taken the zone out; nothing is started
 *   there.
 * @move_running: Tasks that run in a zone taken out are checkpointed and
 *   moved instead of being left to finish.
 */
struct rst_zone_setting
{
  char name[RST_NAME_SIZE];
  bool out_of_service;
  bool move_running;
};

/**
 * struct rst_cell_settings - Settings of the whole cell.
 * @max_deadline_ms: Longest deadline of a request.
 * @max_queued_per_team: Largest number of queries of one team in a scheduler's
 *   queue.
 * @stopped_incarnations: Incarnations that operators declare to have stopped,
 *   separated by spaces or commas.
 */
struct rst_cell_settings
{
  int64_t max_deadline_ms;
  int64_t max_queued_per_team;
  char stopped_incarnations[1024];
};

struct rst_settings;

/**
 * typedef rst_settings_branch_visitor - Called for each settings branch.
 * @key: Store key of the branch.
 * @revision: Revision in force.
 * @value: JSON text; "" when the branch was deleted.
 * @userdata: The data passed to rst_settings_visit_branches().
 */
typedef void (*rst_settings_branch_visitor) (const char *key,
                                             uint64_t revision,
                                             const char *value,
                                             void *userdata);

/**
 * rst_settings_create() - Creates an empty tree.
 *
 * Return: The tree, to be freed with rst_settings_destroy().
 */
struct rst_settings *rst_settings_create (void);

/** rst_settings_destroy() - Frees a tree; NULL is allowed. */
void rst_settings_destroy (struct rst_settings *settings);

/**
 * rst_settings_apply() - Checks a revision of a branch and puts it in force.
 * @settings: The tree.
 * @key: Store key of the branch.
 * @revision: Store revision.
 * @value: JSON text; "" when the branch was deleted.
 * @problems: Receives one line for each problem.
 *
 * Return: %RST_STATE_OK; %RST_STATE_STALE when this revision or a newer one
 * was applied or rejected before; or %RST_STATE_INVALID, and then the branch
 * keeps its old value.
 */
int rst_settings_apply (struct rst_settings *settings, const char *key,
                        uint64_t revision, const char *value,
                        GString *problems);

/**
 * rst_settings_check() - Checks a value of a branch without applying it.
 * @key: Store key of the branch.
 * @value: JSON text.
 * @problems: Receives one line for each problem.
 *
 * Return: %RST_STATE_OK or %RST_STATE_INVALID.
 */
int rst_settings_check (const char *key, const char *value, GString *problems);

/**
 * rst_settings_find_team() - Finds a team by its name.
 * @settings: The tree.
 * @name: Name of the team.
 *
 * Return: The team, valid until its branch changes, or NULL when it does not
 * exist or is deleted.
 */
const struct rst_team *
rst_settings_find_team (const struct rst_settings *settings, const char *name);

/**
 * rst_settings_find_zone() - Finds the settings of an availability zone.
 * @settings: The tree.
 * @zone: Name of the zone.
 *
 * Return: The settings, valid until the branch of the zones changes, or NULL
 * when the zone has none.
 */
const struct rst_zone_setting *
rst_settings_find_zone (const struct rst_settings *settings, const char *zone);

/** rst_settings_is_zone_out() - Returns whether a zone is taken out. */
bool rst_settings_is_zone_out (const struct rst_settings *settings,
                               const char *zone);

/**
 * rst_settings_get_cell() - Returns the settings of the cell.
 * @settings: The tree.
 *
 * Return: The settings, valid until their branch changes; the defaults when
 * the branch is not set.
 */
const struct rst_cell_settings *
rst_settings_get_cell (const struct rst_settings *settings);

/**
 * rst_settings_find_zone_record() - Finds the ownership record of a zone.
 * @settings: The tree.
 * @zone: Name of the zone.
 *
 * Return: The record, valid until a new revision is applied, or NULL.
 */
const struct rst_zone *
rst_settings_find_zone_record (const struct rst_settings *settings,
                               const char *zone);

/**
 * rst_settings_visit_zone_records() - Visits all ownership records.
 * @settings: The tree.
 * @visit: Called for each record.
 * @userdata: Passed to @visit.
 */
void rst_settings_visit_zone_records (
    const struct rst_settings *settings,
    void (*visit) (const struct rst_zone *record, void *userdata),
    void *userdata);

/**
 * rst_settings_visit_branches() - Visits all settings branches and ownership
 * records.
 * @settings: The tree.
 * @visit: Called for each branch that has a value in force.
 * @userdata: Passed to @visit.
 */
void rst_settings_visit_branches (const struct rst_settings *settings,
                                  rst_settings_branch_visitor visit,
                                  void *userdata);

/**
 * rst_settings_get_problem() - Tells why the newest revision of a branch was
 * rejected.
 * @settings: The tree.
 * @key: Store key of the branch.
 * @revision: Receives the rejected revision.
 *
 * Return: One line for each problem, or NULL when the newest revision is in
 * force.
 */
const char *rst_settings_get_problem (const struct rst_settings *settings,
                                      const char *key, uint64_t *revision);

/** rst_settings_get_hash() - Hashes the keys and revisions of all branches. */
uint64_t rst_settings_get_hash (const struct rst_settings *settings);

/** rst_settings_get_newest_revision() - Returns the highest revision applied.
 */
uint64_t
rst_settings_get_newest_revision (const struct rst_settings *settings);

/** rst_settings_get_revision() - Returns the revision of a branch, or 0. */
uint64_t rst_settings_get_revision (const struct rst_settings *settings,
                                    const char *key);

/**
 * rst_team_key_create() - Creates an API key for a team.
 * @team: Name of the team.
 * @id: Id of the key.
 * @secret: 32 random bytes.
 * @key: Receives the key that the team's callers send, "TEAM/ID/SECRET".
 * @size: Size of @key in bytes.
 * @out: Receives the id and hash to be stored in the settings.
 */
void rst_team_key_create (const char *team, const char *id,
                          const unsigned char *secret, char *key, size_t size,
                          struct rst_team_key *out);

/**
 * rst_settings_find_team_by_key() - Checks an API key and finds its team.
 * @settings: The tree.
 * @key: The key sent by a caller.
 *
 * Return: The team, valid until its branch changes, or NULL when the key is
 * malformed, unknown or withdrawn.
 */
const struct rst_team *
rst_settings_find_team_by_key (const struct rst_settings *settings,
                               const char *key);

/**
 * rst_team_format() - Formats a team as JSON text.
 * @team: The team.
 *
 * Return: The text, to be freed with free().
 */
char *rst_team_format (const struct rst_team *team);

/**
 * rst_team_parse() - Parses the settings of a team.
 * @name: Name of the team.
 * @value: JSON text; "" for a branch that does not exist or was deleted.
 * @out: Receives the team.
 * @problems: Receives one line for each problem.
 *
 * Return: %RST_STATE_OK or %RST_STATE_INVALID.
 */
int rst_team_parse (const char *name, const char *value, struct rst_team *out,
                    GString *problems);

#endif
