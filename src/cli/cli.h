/**
 * DOC: cli - the operators' command line
 *
 * Each command reads its arguments from a struct cli_args and returns an exit
 * status: 0 for success, 1 when it could not be done, 2 for bad arguments.
 */
#ifndef RST_CLI_H
#define RST_CLI_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <json-c/json.h>

#include "rosemarystile.h"

/** Exit statuses. */
#define CLI_OK 0
#define CLI_FAILED 1
#define CLI_USAGE 2

/**
 * struct cli_args - The arguments of a command.
 * @store: Address of the store.
 * @operands: Words after the command's own.
 * @operand_count: Their number.
 * @share: Value of --share, or -1.
 * @upper_limit: Value of --upper-limit, -1 when absent, -2 for "none".
 * @id: Value of --id, or NULL.
 * @running: Value of --running, or NULL.
 * @timeout_ms: Bound on each call.
 */
struct cli_args
{
  const char *store;
  const char **operands;
  int operand_count;
  int64_t share;
  int64_t upper_limit;
  const char *id;
  const char *running;
  rst_ms timeout_ms;
};

/**
 * struct cli_command - One command.
 * @noun: First word.
 * @verb: Second word, or "" when there is none.
 * @arguments: Shown by --help.
 * @min_operands: Least number of further words.
 * @max_operands: Largest number of further words.
 * @help: One line for --help.
 * @run: Does it.
 */
struct cli_command
{
  const char *noun;
  const char *verb;
  const char *arguments;
  int min_operands;
  int max_operands;
  const char *help;
  int (*run) (const struct cli_args *args);
};

/** cli_commands() - All commands; the last one has a NULL noun. */
const struct cli_command *cli_commands (void);

/**
 * cli_store_get() - Reads a key.
 * @args: Names the store.
 * @key: The key.
 * @value: Receives its value, to be freed with g_free(); "" when absent.
 * @revision: Receives its revision; 0 when absent.
 *
 * Return: An exit status; a failure has been printed.
 */
int cli_store_get (const struct cli_args *args, const char *key, char **value,
                   uint64_t *revision);

/**
 * cli_store_list() - Reads all keys with a prefix.
 * @args: Names the store.
 * @prefix: The prefix.
 * @items: Receives a list of objects with key, value and revision, to be
 *   released with json_object_put().
 *
 * Return: An exit status; a failure has been printed.
 */
int cli_store_list (const struct cli_args *args, const char *prefix,
                    struct json_object **items);

/**
 * typedef cli_edit - Makes a new value of a present one.
 * @value: The present value, "" when absent.
 * @data: From cli_store_update().
 *
 * Return: The new value, to be freed with free(), or NULL after a message.
 */
typedef char *(*cli_edit) (const char *value, void *data);

/**
 * cli_store_update() - Changes a branch of the settings by compare-and-swap.
 * @args: Names the store.
 * @key: The branch's key.
 * @edit: Makes the new value; called again when another operator was first.
 * @data: Passed to @edit.
 * @revision: Receives the revision of the new value.
 *
 * The new value is checked before it is written.
 *
 * Return: An exit status; a failure has been printed.
 */
int cli_store_update (const struct cli_args *args, const char *key,
                      cli_edit edit, void *data, uint64_t *revision);

/* Commands, by file. */
int cli_team_set (const struct cli_args *args);
int cli_team_list (const struct cli_args *args);
int cli_team_delete (const struct cli_args *args);
int cli_key_grant (const struct cli_args *args);
int cli_key_withdraw (const struct cli_args *args);
int cli_key_list (const struct cli_args *args);
int cli_zone_out (const struct cli_args *args);
int cli_zone_in (const struct cli_args *args);
int cli_zone_list (const struct cli_args *args);
int cli_cell_set (const struct cli_args *args);
int cli_settings_get (const struct cli_args *args);
int cli_settings_check (const struct cli_args *args);
int cli_settings_put (const struct cli_args *args);
int cli_status (const struct cli_args *args);
int cli_teams (const struct cli_args *args);
int cli_why (const struct cli_args *args);

#endif
