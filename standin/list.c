/**
 * DOC: list - stand-in for the platform's list of instances
 *
 * A registration or a change of an instance's state becomes visible after the
 * lag set by "lag_ms".
 */
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <ck_queue.h>
#include <glib.h>
#include <pthread.h>

#include "state/json.h"
#include "transport/http_server.h"
#include "transport/transport.h"
#include "util/os.h"
#include "util/program.h"

/** Largest request body in bytes. */
#define BODY_MAX_BYTES (4 * 1024 * 1024)

struct settings
{
  char listen[RST_ADDRESS_SIZE];
  int64_t lag_ms;
};

static const struct rst_conf_field fields[] = {
  RST_CONF_STRING_FIELD ("listen", RST_CONF_ADDRESS, true, struct settings,
                         listen),
  RST_CONF_INTEGER_FIELD ("lag_ms", false, struct settings, lag_ms, 0, 600000),
};

static const struct rst_program program = {
  "standin-list", "Stands in for the platform's list of instances.",
  fields,         G_N_ELEMENTS (fields),
  NULL,
};

/* A change that is not visible yet: a new instance, or a new state of one. */
struct change
{
  rst_ms visible_at;
  char *name;
  /* NULL when only the state changes. */
  struct json_object *instance;
  char *state;
  CK_STAILQ_ENTRY (change) list_entry;
};

static struct
{
  pthread_mutex_t lock;
  GHashTable *instances;
  uint64_t revision;
  rst_ms lag_ms;
  CK_STAILQ_HEAD (change_queue, change) pending_changes;
} list = { .lock = PTHREAD_MUTEX_INITIALIZER };

static void
instance_free (gpointer data)
{
  json_object_put (data);
}

/* Takes ownership of @instance. */
static void
queue_change (const char *name, struct json_object *instance,
              const char *state)
{
  struct change *change = g_new0 (struct change, 1);

  change->visible_at = rst_os_now () + list.lag_ms;
  change->name = g_strdup (name);
  change->instance = instance;
  change->state = g_strdup (state);
  CK_STAILQ_INSERT_TAIL (&list.pending_changes, change, list_entry);
}

static void
apply_change (struct change *change)
{
  struct json_object *instance;

  list.revision++;
  if (change->instance != NULL)
    {
      g_hash_table_insert (list.instances, g_strdup (change->name),
                           change->instance);
      return;
    }
  /* "gone" removes the instance. */
  if (strcmp (change->state, "gone") == 0)
    {
      g_hash_table_remove (list.instances, change->name);
      return;
    }
  instance = g_hash_table_lookup (list.instances, change->name);
  if (instance != NULL)
    rst_json_set_text (instance, "state", change->state);
}

static void
apply_due_changes (void)
{
  rst_ms now = rst_os_now ();
  struct change *change;

  while ((change = CK_STAILQ_FIRST (&list.pending_changes)) != NULL
         && now >= change->visible_at)
    {
      CK_STAILQ_REMOVE_HEAD (&list.pending_changes, list_entry);
      apply_change (change);
      g_free (change->name);
      g_free (change->state);
      g_free (change);
    }
}

static void
handle_list (struct rst_http_request *request)
{
  struct json_object *root = json_object_new_object ();
  struct json_object *items = json_object_new_array ();
  const char *after = rst_http_request_query (request, "after");
  GHashTableIter iterator;
  gpointer value;
  char *text;

  rst_json_set_number (root, "revision", (int64_t)list.revision);
  if (after == NULL || g_ascii_strtoull (after, NULL, 10) != list.revision)
    {
      g_hash_table_iter_init (&iterator, list.instances);
      while (g_hash_table_iter_next (&iterator, NULL, &value))
        json_object_array_add (items, json_object_get (value));
    }
  json_object_object_add (root, "instances", items);
  text = rst_json_format_and_release (root);
  rst_http_request_reply_json (request, 200, text);
  free (text);
}

static void
handle_register (struct rst_http_request *request)
{
  struct json_object *items
      = rst_json_parse (rst_http_request_body (request, NULL));

  for (size_t i = 0; json_object_is_type (items, json_type_array)
                     && i < json_object_array_length (items);
       i++)
    {
      struct json_object *item = json_object_array_get_idx (items, i);
      const char *name = rst_json_get_text (item, "name");

      if (name != NULL)
        queue_change (name, json_object_get (item), "live");
    }
  json_object_put (items);
  rst_http_request_reply_json (request, 200, "{}");
}

static void
handle_state (struct rst_http_request *request)
{
  const char *name = rst_http_request_query (request, "name");
  const char *state = rst_http_request_query (request, "state");

  if (name == NULL || state == NULL)
    {
      rst_http_request_reply_json (request, 400, "{}");
      return;
    }
  queue_change (name, NULL, state);
  rst_http_request_reply_json (request, 200, "{}");
}

static void
handle_request (struct rst_http_request *request, void *userdata)
{
  const char *path = rst_http_request_path (request);
  bool is_get = strcmp (rst_http_request_method (request), "GET") == 0;

  (void)userdata;
  pthread_mutex_lock (&list.lock);
  apply_due_changes ();
  if (strcmp (path, "/v1/instances") == 0 && is_get)
    handle_list (request);
  else if (strcmp (path, "/v1/instances") == 0)
    handle_register (request);
  else if (strcmp (path, "/v1/state") == 0)
    handle_state (request);
  else
    rst_http_request_reply_json (request, 404, "{}");
  pthread_mutex_unlock (&list.lock);
}

int
main (int argc, char **argv)
{
  struct settings settings = { "", 0 };
  struct rst_http_server_config config = { 0 };
  struct rst_http_server *server;
  int exit_status = rst_program_configure (&program, argc, argv, &settings);

  if (exit_status >= 0)
    return exit_status;
  rst_os_block_signals ();
  list.instances
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, instance_free);
  list.lag_ms = settings.lag_ms;
  CK_STAILQ_INIT (&list.pending_changes);
  config.address = settings.listen;
  config.max_body_bytes = BODY_MAX_BYTES;
  config.max_connections = 1000;
  config.idle_timeout_s = 120;
  config.handler = handle_request;
  if (rst_http_server_create (&config, &server) != RST_TRANSPORT_OK)
    {
      fprintf (stderr, "%s: listen: address cannot be used\n", program.name);
      return EXIT_FAILURE;
    }
  printf ("ready http=%s\n", rst_http_server_address (server));
  fflush (stdout);
  rst_os_wait_stop_signal ();
  rst_http_server_destroy (server);
  return EXIT_SUCCESS;
}
