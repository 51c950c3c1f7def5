#include "cell/cellconfig.h"

#include <string.h>

static void
queue_free (gpointer data)
{
  struct rst_queue *queue = data;

  g_free (queue->name);
  g_free (queue->host);
  g_free (queue->prefix);
  g_free (queue->pool);
  g_free (queue);
}

static void
customer_free (gpointer data)
{
  struct rst_customer *customer = data;

  g_free (customer->name);
  g_free (customer);
}

struct rst_cellconfig *
rst_cellconfig_create (void)
{
  struct rst_cellconfig *config = g_new0 (struct rst_cellconfig, 1);

  config->queues = g_ptr_array_new_with_free_func (queue_free);
  config->customers = g_ptr_array_new_with_free_func (customer_free);
  config->keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return config;
}

void
rst_cellconfig_destroy (struct rst_cellconfig *config)
{
  if (config == NULL)
    return;
  g_ptr_array_free (config->queues, TRUE);
  g_ptr_array_free (config->customers, TRUE);
  g_hash_table_destroy (config->keys);
  g_free (config);
}

/* A Host header may contain a port. */
static bool
host_matches (const char *wanted, const char *host)
{
  size_t length = strlen (wanted);

  return length == 0
         || (g_ascii_strncasecmp (wanted, host, length) == 0
             && (host[length] == '\0' || host[length] == ':'));
}

const struct rst_queue *
rst_cellconfig_route (const struct rst_cellconfig *config, const char *host,
                      const char *path, const char **rest)
{
  const struct rst_queue *best = NULL;
  size_t longest = 0;

  for (guint i = 0; i < config->queues->len; i++)
    {
      const struct rst_queue *queue = g_ptr_array_index (config->queues, i);
      size_t length = strlen (queue->prefix);

      if (!host_matches (queue->host, host)
          || strncmp (queue->prefix, path, length) != 0
          || (best != NULL && length <= longest))
        continue;
      best = queue;
      longest = length;
    }
  if (best != NULL)
    *rest = path + longest;
  return best;
}

const struct rst_queue *
rst_cellconfig_find_queue (const struct rst_cellconfig *config,
                           const char *name)
{
  for (guint i = 0; i < config->queues->len; i++)
    {
      const struct rst_queue *queue = g_ptr_array_index (config->queues, i);

      if (strcmp (queue->name, name) == 0)
        return queue;
    }
  return NULL;
}

bool
rst_instance_entry_has_label (const struct rst_instance_entry *entry,
                              const char *label)
{
  const char *at = entry->labels;
  size_t length = strlen (label);

  /* Each label stands between commas: ",a,r1-3,". */
  while ((at = strchr (at, ',')) != NULL)
    {
      at++;
      if (strncmp (at, label, length) == 0 && at[length] == ',')
        return true;
    }
  return false;
}
