#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/cli.h"
#include "state/json.h"
#include "state/settings.h"
#include "transport/http_sync.h"
#include "transport/transport.h"

/** Largest number of attempts when other operators change the same branch. */
#define UPDATE_ATTEMPTS_MAX 20

static int
call_store (const struct cli_args *args, const char *method, const char *path,
            const char *body, int *status, GString *answer)
{
  char *url = g_strdup_printf ("http://%s%s", args->store, path);
  int error = rst_http_sync_request (method, url, body, args->timeout_ms,
                                     status, answer);

  g_free (url);
  return error;
}

static int
report_store_failure (int error, int status)
{
  if (error != RST_TRANSPORT_OK)
    fprintf (stderr, "store: %s\n", rst_transport_strerror (error));
  else
    fprintf (stderr, "store: replied with HTTP status %d\n", status);
  return CLI_FAILED;
}

int
cli_store_get (const struct cli_args *args, const char *key, char **value,
               uint64_t *revision)
{
  char *path = g_strdup_printf ("/v1/kv?key=%s", key);
  GString *answer = g_string_new ("");
  struct json_object *root;
  int status;
  int error = call_store (args, "GET", path, NULL, &status, answer);
  int result = CLI_OK;

  *value = NULL;
  *revision = 0;
  if (error == RST_TRANSPORT_OK && status == 404)
    *value = g_strdup ("");
  else if (error != RST_TRANSPORT_OK || status != 200)
    result = report_store_failure (error, status);
  else
    {
      root = rst_json_parse (answer->str);
      *value = g_strdup (rst_json_get_text (root, "value"));
      *revision = (uint64_t)rst_json_get_number (root, "revision", 0);
      json_object_put (root);
    }
  g_string_free (answer, TRUE);
  g_free (path);
  return result;
}

int
cli_store_list (const struct cli_args *args, const char *prefix,
                struct json_object **items)
{
  char *path = g_strdup_printf ("/v1/kv?prefix=%s", prefix);
  GString *answer = g_string_new ("");
  struct json_object *root;
  int status;
  int error = call_store (args, "GET", path, NULL, &status, answer);
  int result = CLI_OK;

  *items = NULL;
  if (error != RST_TRANSPORT_OK || status != 200)
    result = report_store_failure (error, status);
  else
    {
      root = rst_json_parse (answer->str);
      *items = json_object_get (rst_json_get_array (root, "items"));
      json_object_put (root);
    }
  g_string_free (answer, TRUE);
  g_free (path);
  return result;
}

static int
put_key (const struct cli_args *args, const char *key, const char *value,
         uint64_t expected, int *status, uint64_t *revision)
{
  char *path = g_strdup_printf ("/v1/kv?key=%s&expect=%" G_GUINT64_FORMAT, key,
                                expected);
  GString *answer = g_string_new ("");
  struct json_object *root;
  int error = call_store (args, "PUT", path, value, status, answer);

  if (error == RST_TRANSPORT_OK && *status == 200)
    {
      root = rst_json_parse (answer->str);
      *revision = (uint64_t)rst_json_get_number (root, "revision", 0);
      json_object_put (root);
    }
  g_string_free (answer, TRUE);
  g_free (path);
  return error;
}

static bool
check_value (const char *key, const char *value)
{
  GString *problems = g_string_new ("");
  bool valid = rst_settings_check (key, value, problems) == RST_STATE_OK;

  if (!valid)
    {
      char **lines = g_strsplit (problems->str, "\n", -1);

      for (int i = 0; lines[i] != NULL && lines[i][0] != '\0'; i++)
        fprintf (stderr, "%s: %s\n", key, lines[i]);
      g_strfreev (lines);
    }
  g_string_free (problems, TRUE);
  return valid;
}

/* Makes one attempt.  Sets *retry when another operator has changed the branch
   in the meantime, or when no reply was received and the branch must be read
   to see whether the write was made.  *last_written is the value of the last
   write; when the branch has it, that write was made. */
static int
try_update (const struct cli_args *args, const char *key, cli_edit edit,
            void *data, char **last_written, uint64_t *revision, bool *retry)
{
  char *value = NULL;
  char *changed = NULL;
  int status = 0;
  int error;
  int result = cli_store_get (args, key, &value, revision);

  *retry = false;
  if (result != CLI_OK)
    return result;
  if (*last_written != NULL && strcmp (*last_written, value) == 0)
    goto done;
  changed = edit (value, data);
  if (changed == NULL || !check_value (key, changed))
    {
      result = CLI_USAGE;
      goto done;
    }
  g_free (*last_written);
  *last_written = g_strdup (changed);
  error = put_key (args, key, changed, *revision, &status, revision);
  if (error == RST_TRANSPORT_OK && status == 200)
    goto done;
  if (error == RST_TRANSPORT_OK && status != 409)
    result = report_store_failure (error, status);
  else
    *retry = true;

done:
  free (changed);
  g_free (value);
  return result;
}

int
cli_store_update (const struct cli_args *args, const char *key, cli_edit edit,
                  void *data, uint64_t *revision)
{
  char *last_written = NULL;
  bool retry = true;
  int result = CLI_OK;

  for (int i = 0; i < UPDATE_ATTEMPTS_MAX && retry; i++)
    result
        = try_update (args, key, edit, data, &last_written, revision, &retry);
  g_free (last_written);
  if (retry)
    {
      fprintf (stderr,
               "%s: other operators keep changing this branch; try again\n",
               key);
      return CLI_FAILED;
    }
  return result;
}
