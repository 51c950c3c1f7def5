/**
 * DOC: program - command line and settings file of a program
 *
 * Handles --settings, --check-settings, --help and --version, and loads the
 * settings file.
 */
#ifndef RST_PROGRAM_H
#define RST_PROGRAM_H

#include "util/conf.h"
#include "util/log.h"

/** Exit status for invalid arguments or settings. */
#define RST_EXIT_USAGE 2

/**
 * struct rst_program - Description of a program.
 * @name: Name of the executable.
 * @summary: One-line summary for --help.
 * @fields: Table of the settings.
 * @field_count: Number of settings.
 * @check: Validates constraints between settings, appends a line per problem
 *   and returns true if there is none; or NULL.
 */
struct rst_program
{
  const char *name;
  const char *summary;
  const struct rst_conf_field *fields;
  int field_count;
  bool (*check) (const void *settings, GString *problems);
};

/**
 * rst_program_configure() - Parses the command line and loads the settings.
 * @program: Description of the program.
 * @argc: Argument count of main().
 * @argv: Arguments of main().
 * @settings: Structure to fill, initialized with the defaults.
 *
 * Problems are printed to standard error.
 *
 * Return: -1 if the program is to continue, or its exit status.
 */
int rst_program_configure (const struct rst_program *program, int argc,
                           char **argv, void *settings);

#endif
