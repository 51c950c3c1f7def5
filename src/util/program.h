/**
 * DOC: program - what all programs do at start
 *
 * Reads --settings, --check-settings, --help and --version, loads the
 * settings and sets the log up.
 */
#ifndef RST_PROGRAM_H
#define RST_PROGRAM_H

#include "util/conf.h"
#include "util/log.h"

/** Exit status for bad arguments or settings. */
#define RST_EXIT_USAGE 2

/**
 * struct rst_program - Describes a program.
 * @name: Its name.
 * @summary: One line for --help.
 * @fields: Table of settings.
 * @field_count: Number of settings.
 * @check: Checks what concerns several settings at once and adds a line for
 *   each problem; or NULL.
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
 * rst_program_configure() - Reads arguments and settings.
 * @program: The program.
 * @argc: From main().
 * @argv: From main().
 * @settings: Structure to fill, holding the defaults.
 *
 * Return: -1 to go on, or the status to exit with.
 */
int rst_program_configure (const struct rst_program *program, int argc,
                           char **argv, void *settings);

#endif
