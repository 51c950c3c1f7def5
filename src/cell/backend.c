#include "cell/backend.h"

const char *
rst_result_name (enum rst_result result)
{
  static const char *const names[]
      = { "ok",       "absent",     "conflict", "refused", "compacted",
          "not-sent", "other-life", "fenced",   "old",     "late",
          "no-room",  "no-ticket",  "unknown" };

  return names[result];
}

static void
item_free (gpointer data)
{
  struct rst_store_item *item = data;

  g_free (item->key);
  g_free (item->value);
  g_free (item);
}

struct rst_store_answer *
rst_store_answer_new (void)
{
  struct rst_store_answer *answer = g_new0 (struct rst_store_answer, 1);

  answer->items = g_ptr_array_new_with_free_func (item_free);
  return answer;
}

void
rst_store_answer_free (struct rst_store_answer *answer)
{
  g_ptr_array_free (answer->items, TRUE);
  g_free (answer);
}

void
rst_run_clear (struct rst_run *run)
{
  g_free (run->checkpoint);
  run->checkpoint = NULL;
}

static void
clear_run (gpointer run)
{
  rst_run_clear (run);
}

struct rst_instance_answer *
rst_instance_answer_new (void)
{
  struct rst_instance_answer *answer = g_new0 (struct rst_instance_answer, 1);

  answer->runs = g_array_new (FALSE, TRUE, sizeof (struct rst_run));
  g_array_set_clear_func (answer->runs, clear_run);
  return answer;
}

void
rst_instance_answer_free (struct rst_instance_answer *answer)
{
  g_array_free (answer->runs, TRUE);
  g_free (answer);
}

static void
clear_ticket (gpointer data)
{
  struct rst_ticket *ticket = data;

  g_free (ticket->ticket);
}

struct rst_advice_answer *
rst_advice_answer_new (void)
{
  struct rst_advice_answer *answer = g_new0 (struct rst_advice_answer, 1);

  answer->tickets = g_array_new (FALSE, TRUE, sizeof (struct rst_ticket));
  g_array_set_clear_func (answer->tickets, clear_ticket);
  return answer;
}

void
rst_advice_answer_free (struct rst_advice_answer *answer)
{
  g_array_free (answer->tickets, TRUE);
  g_free (answer);
}

struct rst_machines_answer *
rst_machines_answer_new (void)
{
  struct rst_machines_answer *answer = g_new0 (struct rst_machines_answer, 1);

  answer->machines = g_array_new (FALSE, TRUE, sizeof (struct rst_machine));
  return answer;
}

void
rst_machines_answer_free (struct rst_machines_answer *answer)
{
  g_array_free (answer->machines, TRUE);
  g_free (answer->next_page);
  g_free (answer);
}
