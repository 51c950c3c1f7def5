#include "daemon/machine_list.h"

#include <inttypes.h>
#include <string.h>

#include "util/log.h"

#define LOG_DOMAIN "machines"

/** Maximum number of pages of a list. */
#define PAGES_MAX 64

struct rst_machine_list
{
  struct rst_machine_list_config config;
  /* Machines on the pages that were read. */
  GArray *machines;
  int pages;
  rst_ms requested_at;
  bool call_pending;
  bool destroyed;
};

struct rst_machine_list *
rst_machine_list_create (const struct rst_machine_list_config *config)
{
  struct rst_machine_list *list = g_new0 (struct rst_machine_list, 1);

  list->config = *config;
  list->machines = g_array_new (FALSE, TRUE, sizeof (struct rst_machine));
  return list;
}

static void
free_list (struct rst_machine_list *list)
{
  g_array_free (list->machines, TRUE);
  g_free (list);
}

void
rst_machine_list_destroy (struct rst_machine_list *list)
{
  if (list == NULL)
    return;
  list->destroyed = true;
  if (!list->call_pending)
    free_list (list);
}

static void
log_list (const struct rst_machine_list *list, enum rst_result result)
{
  char machines[16];
  char pages[16];
  char took_ms[24];

  g_snprintf (machines, sizeof machines, "%u", list->machines->len);
  g_snprintf (pages, sizeof pages, "%d", list->pages);
  g_snprintf (took_ms, sizeof took_ms, "%" PRId64,
              list->config.now () - list->requested_at);
  rst_info (LOG_DOMAIN,
            result == RST_RESULT_OK ? "List of machines was read."
                                    : "List of machines can't be read.",
            "result", rst_result_name (result), "machines", machines, "pages",
            pages, "took_ms", took_ms);
}

static void request_page (struct rst_machine_list *list, const char *page);

static void
on_page (struct rst_machines_answer *answer, void *userdata)
{
  struct rst_machine_list *list = userdata;

  list->call_pending = false;
  if (list->destroyed)
    free_list (list);
  else if (answer->result != RST_RESULT_OK)
    log_list (list, answer->result);
  else
    {
      list->pages++;
      g_array_append_vals (list->machines, answer->machines->data,
                           answer->machines->len);
      if (answer->next_page == NULL)
        {
          log_list (list, RST_RESULT_OK);
          list->config.on_list (list->config.userdata, list->machines,
                                list->requested_at);
        }
      else if (list->pages < PAGES_MAX)
        request_page (list, answer->next_page);
      else
        log_list (list, RST_RESULT_UNKNOWN);
    }
  rst_machines_answer_free (answer);
}

static void
request_page (struct rst_machine_list *list, const char *page)
{
  list->call_pending = true;
  list->config.backend->list_machines (list->config.backend->userdata, page,
                                       on_page, list);
}

void
rst_machine_list_request (struct rst_machine_list *list)
{
  if (list->call_pending || list->config.backend->list_machines == NULL)
    return;
  g_array_set_size (list->machines, 0);
  list->pages = 0;
  list->requested_at = list->config.now ();
  request_page (list, NULL);
}
