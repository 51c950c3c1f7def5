#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/cli.h"
#include "state/json.h"
#include "state/settings.h"
#include "transport/http_sync.h"
#include "transport/transport.h"

/* Called with the status page of a scheduler, or NULL when it does not
   answer. */
typedef void (*status_visitor) (const struct rst_member *member,
                                struct json_object *status, void *data);

static struct json_object *
fetch_status (const struct cli_args *args, const char *address)
{
  char *url = g_strdup_printf ("http://%s/status", address);
  GString *answer = g_string_new ("");
  struct json_object *root = NULL;
  int status;

  if (rst_http_sync_request ("GET", url, NULL, args->timeout_ms, &status,
                             answer)
          == RST_TRANSPORT_OK
      && status == 200)
    root = rst_json_parse (answer->str);
  g_string_free (answer, TRUE);
  g_free (url);
  return root;
}

static void
visit_members (const struct cli_args *args, const struct rst_zone *zone,
               status_visitor visit, void *data)
{
  for (int i = 0; i < zone->member_count; i++)
    {
      struct json_object *status
          = fetch_status (args, zone->members[i].status_address);

      visit (&zone->members[i], status, data);
      json_object_put (status);
    }
}

static int
visit_schedulers (const struct cli_args *args, status_visitor visit,
                  void *data)
{
  struct json_object *items;
  int result = cli_store_list (args, RST_KEY_ZONE_RECORDS, &items);

  if (result != CLI_OK)
    return result;
  for (size_t i = 0; i < json_object_array_length (items); i++)
    {
      struct json_object *item = json_object_array_get_idx (items, i);
      struct rst_zone *zone;

      if (rst_zone_parse (rst_json_get_text (item, "value"), 0, &zone)
          != RST_OK)
        continue;
      visit_members (args, zone, visit, data);
      rst_zone_destroy (zone);
    }
  json_object_put (items);
  return CLI_OK;
}

static void
print_rejected_branches (struct json_object *status)
{
  struct json_object *branches = rst_json_get_array (status, "branches");

  for (size_t i = 0;
       branches != NULL && i < json_object_array_length (branches); i++)
    {
      struct json_object *branch = json_object_array_get_idx (branches, i);
      const char *problem = rst_json_get_text (branch, "problem");

      if (problem != NULL)
        printf ("  rejected %s revision %" G_GINT64_FORMAT ": %s\n",
                rst_json_get_text (branch, "key"),
                rst_json_get_number (branch, "refused_revision", 0), problem);
    }
}

static void
print_entries (struct json_object *status)
{
  struct json_object *entries = rst_json_get_array (status, "entries");

  for (size_t i = 0; entries != NULL && i < json_object_array_length (entries);
       i++)
    {
      struct json_object *entry = json_object_array_get_idx (entries, i);

      printf ("  entry %-16s %-22s newest %-8" G_GINT64_FORMAT " %s\n",
              rst_json_get_text (entry, "name"),
              rst_json_get_text (entry, "address"),
              rst_json_get_number (entry, "newest", 0),
              rst_json_get_bool (entry, "same_settings", false) ? "same"
                                                                : "differs");
    }
}

static void
print_status (const struct rst_member *member, struct json_object *status,
              void *data)
{
  struct json_object *instances = rst_json_get_array (status, "instances");
  const char *missing_from
      = rst_json_get_text (status, "promise_missing_from");

  (void)data;
  if (status == NULL)
    {
      printf ("%-32s does not answer at %s\n", member->incarnation,
              member->status_address);
      return;
    }
  printf ("%-32s zone %-8s %-9s newest %-8" G_GINT64_FORMAT " instances %zu\n",
          member->incarnation, rst_json_get_text (status, "availability_zone"),
          rst_json_get_bool (status, "ready", false) ? "ready" : "not ready",
          rst_json_get_number (status, "newest", 0),
          instances != NULL ? json_object_array_length (instances) : 0);
  if (!rst_json_get_bool (status, "tenure_held", false)
      && missing_from != NULL)
    printf ("  promise missing from %s\n", missing_from);
  print_rejected_branches (status);
  print_entries (status);
}

int
cli_status (const struct cli_args *args)
{
  return visit_schedulers (args, print_status, NULL);
}

struct team_usage
{
  int64_t running;
  int64_t waiting;
  int64_t part;
};

static void
add_team_usage (const struct rst_member *member, struct json_object *status,
                void *data)
{
  struct json_object *teams = rst_json_get_array (status, "teams");
  GHashTable *usage_by_team = data;

  (void)member;
  for (size_t i = 0; teams != NULL && i < json_object_array_length (teams);
       i++)
    {
      struct json_object *team = json_object_array_get_idx (teams, i);
      const char *name = rst_json_get_text (team, "name");
      struct team_usage *usage = g_hash_table_lookup (usage_by_team, name);

      if (usage == NULL)
        {
          usage = g_new0 (struct team_usage, 1);
          g_hash_table_insert (usage_by_team, g_strdup (name), usage);
        }
      usage->running += rst_json_get_number (team, "running", 0);
      usage->waiting += rst_json_get_number (team, "waiting", 0);
      usage->part += rst_json_get_number (team, "part", 0);
    }
}

int
cli_teams (const struct cli_args *args)
{
  GHashTable *usage_by_team
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  int result = visit_schedulers (args, add_team_usage, usage_by_team);
  GHashTableIter iterator;
  gpointer name;
  gpointer value;

  printf ("%-24s %9s %9s %14s\n", "TEAM", "RUNNING", "WAITING",
          "PARTS OF LIMIT");
  g_hash_table_iter_init (&iterator, usage_by_team);
  while (g_hash_table_iter_next (&iterator, &name, &value))
    {
      const struct team_usage *usage = value;

      printf ("%-24s %9" G_GINT64_FORMAT " %9" G_GINT64_FORMAT
              " %14" G_GINT64_FORMAT "\n",
              (const char *)name, usage->running, usage->waiting, usage->part);
    }
  g_hash_table_destroy (usage_by_team);
  return result;
}

struct job_search
{
  const char *name;
  bool found;
};

static void
print_job (const struct rst_member *member, struct json_object *status,
           void *data)
{
  struct json_object *jobs = rst_json_get_array (status, "jobs");
  struct job_search *job_search = data;

  for (size_t i = 0; jobs != NULL && i < json_object_array_length (jobs); i++)
    {
      struct json_object *job = json_object_array_get_idx (jobs, i);

      if (g_strcmp0 (rst_json_get_text (job, "name"), job_search->name) != 0)
        continue;
      job_search->found = true;
      printf ("job %s, owned by %s, is %s\n", job_search->name,
              member->incarnation, rst_json_get_text (job, "state"));
      printf (
          "  tasks %" G_GINT64_FORMAT ": running %" G_GINT64_FORMAT
          ", waiting %" G_GINT64_FORMAT ", start requested %" G_GINT64_FORMAT
          ", reserved %" G_GINT64_FORMAT ", in doubt %" G_GINT64_FORMAT "\n",
          rst_json_get_number (job, "tasks", 0),
          rst_json_get_number (job, "running", 0),
          rst_json_get_number (job, "waiting", 0),
          rst_json_get_number (job, "asked", 0),
          rst_json_get_number (job, "held", 0),
          rst_json_get_number (job, "looked_for", 0));
      if (rst_json_get_text (job, "waiting_for")[0] != '\0')
        printf ("  waiting for: %s\n", rst_json_get_text (job, "waiting_for"));
    }
}

int
cli_why (const struct cli_args *args)
{
  struct job_search job_search = { args->operands[0], false };
  int result = visit_schedulers (args, print_job, &job_search);

  if (result == CLI_OK && !job_search.found)
    {
      fprintf (stderr, "job %s: no scheduler follows it\n", job_search.name);
      return CLI_FAILED;
    }
  return result;
}
