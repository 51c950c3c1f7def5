#include "util/program.h"

#include <stdio.h>
#include <stdlib.h>

#include <argtable2.h>

#include "rosemarystile.h"

static void
print_help (const struct rst_program *program, void **table)
{
  printf ("Usage: %s", program->name);
  arg_print_syntax (stdout, table, "\n");
  printf ("%s\n\n", program->summary);
  arg_print_glossary (stdout, table, "  %-28s %s\n");
  printf ("\nSettings (JSON with comments):\n");
  for (int i = 0; i < program->field_count; i++)
    printf ("  %-28s %s\n", program->fields[i].path,
            program->fields[i].required ? "required" : "optional");
}

static int
load_settings (const struct rst_program *program, const char *file,
               bool check_only, void *settings)
{
  GString *problems = g_string_new ("");
  int status = -1;

  bool valid = rst_conf_load (file, program->fields, program->field_count,
                              settings, problems);

  if (valid && program->check != NULL)
    valid = program->check (settings, problems);
  if (!valid)
    {
      char **lines = g_strsplit (problems->str, "\n", -1);

      for (int i = 0; lines[i] != NULL && lines[i][0] != '\0'; i++)
        fprintf (stderr, "%s: %s: %s\n", program->name, file, lines[i]);
      g_strfreev (lines);
      status = RST_EXIT_USAGE;
    }
  else if (check_only)
    {
      printf ("%s: settings are sound\n", file);
      status = EXIT_SUCCESS;
    }
  g_string_free (problems, TRUE);
  return status;
}

int
rst_program_configure (const struct rst_program *program, int argc,
                       char **argv, void *settings)
{
  struct arg_lit *help = arg_lit0 ("h", "help", "show this help");
  struct arg_lit *version = arg_lit0 (NULL, "version", "show the version");
  struct arg_lit *check
      = arg_lit0 (NULL, "check-settings", "check the settings and exit");
  struct arg_file *file
      = arg_file0 ("s", "settings", "FILE", "settings file (required)");
  struct arg_end *end = arg_end (4);
  void *table[] = { help, version, check, file, end };
  int errors = arg_parse (argc, argv, table);
  int status;

  if (help->count > 0)
    {
      print_help (program, table);
      status = EXIT_SUCCESS;
    }
  else if (version->count > 0)
    {
      printf ("%s %s\n", program->name, RST_VERSION);
      status = EXIT_SUCCESS;
    }
  else if (errors > 0)
    {
      arg_print_errors (stderr, end, program->name);
      status = RST_EXIT_USAGE;
    }
  else if (file->count == 0)
    {
      fprintf (stderr, "%s: --settings: is missing\n", program->name);
      status = RST_EXIT_USAGE;
    }
  else
    status = load_settings (program, file->filename[0], check->count > 0,
                            settings);
  arg_freetable (table, G_N_ELEMENTS (table));
  return status;
}
