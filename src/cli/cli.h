/**
 * DOC: cli - commands of the operators' command line tool
 *
 * Each command reads its arguments from a struct cli_args, prints its result
 * on standard output and errors on standard error, and returns an exit status.
 */
#ifndef RST_CLI_H
#define RST_CLI_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <json-c/json.h>

#include "rosemarystile.h"

/** Exit statuses: success, failure of the command, invalid arguments. */
#define CLI_OK 0
#define CLI_FAILED 1
#define CLI_USAGE 2

/**
 * struct cli_args - Arguments of a command.
 * @store: "IP:PORT" of the store.
 * @operands: Words that follow the words of the command itself.
 * @operand_count: Number of operands.
 * @share: Value of --share, or -1 when it is absent.
 * @upper_limit: Value of --upper-limit, -1 when it is absent, -2 for "none".
 * @id: Value of --id, or NULL.
 * @running: Value of --running, or NULL.
 * @timeout_ms: Timeout of each HTTP request.
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
 * struct cli_command - A command.
 * @noun: First word.
 * @verb: Second word, or "" when there is none.
 * @arguments: Operands and options, as --help shows them.
 * @min_operands: Least number of operands.
 * @max_operands: Largest number of operands.
 * @help: One-line description for --help.
 * @run: Runs the command and returns an exit status.
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

/**
 * cli_commands() - Returns all commands.
 *
 * Return: A static array; the noun of the element after the last is NULL.
 */
const struct cli_command *cli_commands (void);

/**
 * cli_store_get() - Reads a key of the store.
 * @args: Address of the store and timeout.
 * @key: The key.
 * @value: Receives the value, to be freed with g_free(); "" when the key does
 *   not exist.
 * @revision: Receives the revision; 0 when the key does not exist.
 *
 * Return: An exit status; on failure, an error has been printed.
 */
int cli_store_get (const struct cli_args *args, const char *key, char **value,
                   uint64_t *revision);

/**
 * cli_store_list() - Reads all keys of the store with a prefix.
 * @args: Address of the store and timeout.
 * @prefix: The prefix.
 * @items: Receives an array of objects with the members key, value and
 *   revision, to be released with json_object_put().
 *
 * Return: An exit status; on failure, an error has been printed.
 */
int cli_store_list (const struct cli_args *args, const char *prefix,
                    struct json_object **items);

/**
 * typedef cli_edit - Derives the new value of a settings branch.
 * @value: Current value; "" when the branch does not exist.
 * @data: The data passed to cli_store_update().
 *
 * Return: The new value, to be freed with free(), or NULL when an error has
 * been printed.
 */
typedef char *(*cli_edit) (const char *value, void *data);

/**
 * cli_store_update() - Changes a settings branch by compare-and-swap.
 * @args: Address of the store and timeout.
 * @key: Store key of the branch.
 * @edit: Derives the new value; called again after another operator has
 *   changed the branch in the meantime.
 * @data: Passed to @edit.
 * @revision: Receives the revision of the new value.
 *
 * The new value is checked before it is written.
 *
 * Return: An exit status; on failure, an error has been printed.
 */
int cli_store_update (const struct cli_args *args, const char *key,
                      cli_edit edit, void *data, uint64_t *revision);

/* Handlers of the commands; the name of each is its command's words. */
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
