#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <argtable2.h>
#include <curl/curl.h>
#include <sodium.h>

#include "cli/cli.h"
#include "util/conf.h"

#define PROGRAM "rosemarystile-ctl"

/** Default timeout of each HTTP request. */
#define DEFAULT_TIMEOUT_MS 5000

/** Environment variable with the address of the store. */
#define STORE_VARIABLE "ROSEMARYSTILE_STORE"

/** Largest number of words of a command with its operands. */
#define COMMAND_WORDS_MAX 8

static void
print_help (void **table)
{
  const struct cli_command *command;

  printf ("Usage: " PROGRAM);
  arg_print_syntax (stdout, table, "\n");
  printf ("Changes and shows the operators' settings.\n\nCommands:\n");
  for (command = cli_commands (); command->noun != NULL; command++)
    {
      char *text = g_strjoin (" ", command->noun, command->verb,
                              command->arguments, NULL);

      printf ("  %-46s %s\n", text, command->help);
      g_free (text);
    }
  printf ("\n");
  arg_print_glossary (stdout, table, "  %-28s %s\n");
  printf ("\nThe store's address is also taken from " STORE_VARIABLE ".\n");
}

static const struct cli_command *
find_command (const char **words, int count, int *words_used)
{
  const struct cli_command *command;

  for (command = cli_commands (); command->noun != NULL; command++)
    {
      if (count < 1 || strcmp (command->noun, words[0]) != 0)
        continue;
      if (command->verb[0] == '\0')
        {
          *words_used = 1;
          return command;
        }
      if (count >= 2 && strcmp (command->verb, words[1]) == 0)
        {
          *words_used = 2;
          return command;
        }
    }
  return NULL;
}

static bool
read_limit (const char *text, int64_t *out)
{
  guint64 number;

  if (strcmp (text, "none") == 0)
    {
      *out = -2;
      return true;
    }
  if (!g_ascii_string_to_unsigned (text, 10, 0, 1000000, &number, NULL))
    {
      fprintf (stderr,
               PROGRAM ": --upper-limit: must be a whole number or none\n");
      return false;
    }
  *out = (int64_t)number;
  return true;
}

static int
run_command (const char **words, int count, struct cli_args *args)
{
  int words_used = 0;
  const struct cli_command *command = find_command (words, count, &words_used);

  if (command == NULL)
    {
      fprintf (stderr, PROGRAM ": no such command; see --help\n");
      return CLI_USAGE;
    }
  args->operands = words + words_used;
  args->operand_count = count - words_used;
  if (args->operand_count < command->min_operands
      || args->operand_count > command->max_operands)
    {
      fprintf (stderr, "Usage: " PROGRAM " %s %s %s\n", command->noun,
               command->verb, command->arguments);
      return CLI_USAGE;
    }
  if (args->store == NULL || !rst_conf_is_address (args->store))
    {
      fprintf (stderr, PROGRAM ": --store: must be an address IP:PORT\n");
      return CLI_USAGE;
    }
  return command->run (args);
}

int
main (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 ("h", "help", "show this help");
  struct arg_lit *version = arg_lit0 (NULL, "version", "show the version");
  struct arg_str *store
      = arg_str0 (NULL, "store", "IP:PORT", "address of the store");
  struct arg_int *timeout
      = arg_int0 (NULL, "timeout-ms", "N", "timeout of each request");
  struct arg_int *share
      = arg_int0 (NULL, "share", "N", "weight when the fleet is full");
  struct arg_str *limit = arg_str0 (NULL, "upper-limit", "N|none",
                                    "how many runs a team may have at a time");
  struct arg_str *id = arg_str0 (NULL, "id", "ID", "name of a key");
  struct arg_str *running = arg_str0 (NULL, "running", "finish|move",
                                      "what happens to running tasks");
  struct arg_str *words
      = arg_strn (NULL, NULL, "COMMAND", 0, COMMAND_WORDS_MAX, "see above");
  struct arg_end *end = arg_end (4);
  void *table[] = { help,  version, store,   timeout, share,
                    limit, id,      running, words,   end };
  struct cli_args args = { 0 };
  int errors;
  int status;

  errors = arg_parse (argc, argv, table);
  args.store = store->count > 0 ? store->sval[0] : getenv (STORE_VARIABLE);
  args.timeout_ms = timeout->count > 0 ? timeout->ival[0] : DEFAULT_TIMEOUT_MS;
  args.share = share->count > 0 ? share->ival[0] : -1;
  args.upper_limit = -1;
  args.id = id->count > 0 ? id->sval[0] : NULL;
  args.running = running->count > 0 ? running->sval[0] : NULL;
  if (help->count > 0)
    {
      print_help (table);
      status = CLI_OK;
    }
  else if (version->count > 0)
    {
      printf (PROGRAM " " RST_VERSION "\n");
      status = CLI_OK;
    }
  else if (errors > 0)
    {
      arg_print_errors (stderr, end, PROGRAM);
      status = CLI_USAGE;
    }
  else if ((limit->count > 0
            && !read_limit (limit->sval[0], &args.upper_limit))
           || sodium_init () < 0)
    status = CLI_USAGE;
  else
    {
      curl_global_init (CURL_GLOBAL_NOTHING);
      status = run_command (words->sval, words->count, &args);
      curl_global_cleanup ();
    }
  arg_freetable (table, G_N_ELEMENTS (table));
  return status;
}
