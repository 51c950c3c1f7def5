/* Orders of the planner that an agent forwards: to start, stop and pace runs,
   and to request advice. */
#include "cell/agent_private.h"

/** Answers of one incarnation may arrive out of order; their clocks then
    differ by at most this much, in milliseconds. */
#define CLOCK_REORDER_MARGIN_MS 3000

/* An order that the instance has not answered yet. */
struct order
{
  struct rst_agent *agent;
  int kind;
  char id[RST_ID_SIZE];
  char task[RST_TASK_NAME_SIZE];
  int attempt;
};

/* A call to the advice service that has not been answered yet. */
struct advice_request
{
  struct rst_agent *agent;
  int64_t handle;
};

static void
report_order_result (const struct order *order, enum rst_result result,
                     int64_t clock_ms)
{
  struct rst_pack pack;

  rst_pack_init (&pack, 6);
  rst_pack_int (&pack, order->kind);
  rst_pack_text (&pack, order->id);
  rst_pack_text (&pack, order->task);
  rst_pack_int (&pack, order->attempt);
  rst_pack_int (&pack, result);
  rst_pack_int (&pack, clock_ms);
  rst_agent_send (order->agent, &pack);
}

/* When an order failed or the clock went back, the instance may have
   restarted: polls it to find out. */
static void
check_incarnation (struct held_instance *held,
                   const struct rst_instance_answer *answer)
{
  bool answered = answer->clock_ms != 0;

  if (answered && answer->clock_ms >= held->clock_ms - CLOCK_REORDER_MARGIN_MS)
    return;
  held->same_incarnation = false;
  if (answered)
    held->clock_ms = 0;
  if (!held->poll_pending)
    rst_agent_poll_instance (held, held->agent->config.now ());
}

static void
on_order_done (struct rst_instance_answer *answer, void *userdata)
{
  struct order *order = userdata;
  struct held_instance *held
      = g_hash_table_lookup (order->agent->instances, order->id);

  if (held != NULL)
    check_incarnation (held, answer);

  report_order_result (order, answer->result, answer->clock_ms);
  rst_instance_answer_free (answer);
  g_free (order);
}

/* Fills in the call of an order whose instance, task and attempt are set.
   Returns the instance, or NULL when it is not held. */
static struct held_instance *
prepare_call (const struct order *order, struct rst_instance_call *call)
{
  struct held_instance *held
      = g_hash_table_lookup (order->agent->instances, order->id);

  if (held == NULL)
    return NULL;
  call->id = held->id;
  call->address = held->address;
  call->fencing_token = held->fencing_token;
  call->task = order->task;
  call->attempt = order->attempt;
  return held;
}

/* Reads the instance, task and attempt of an order and fills in the call.
   Returns the instance, or NULL when it is not held. */
static struct held_instance *
read_order (struct order *order, struct rst_reader *reader,
            struct rst_instance_call *call)
{
  rst_reader_copy_text (reader, order->id, sizeof order->id);
  rst_reader_copy_text (reader, order->task, sizeof order->task);
  order->attempt = (int)rst_reader_read_int (reader);
  return prepare_call (order, call);
}

static void
report_not_sent (struct order *order)
{
  report_order_result (order, RST_RESULT_NOT_SENT, 0);
  g_free (order);
}

/* Whether an order that has just arrived was sent a short time ago.  An agent
   that was suspended finds orders that the planner has given up since; the
   planner may have lost a run to a restart of the instance, which then knows
   no fencing token. */
static bool
is_current (const struct rst_agent *agent, rst_ms now)
{
  return now - agent->heartbeat_sent_at <= RST_START_TIMEOUT_MS;
}

/* Starts the task of one row of a start message. */
static void
start_run (struct rst_agent *agent, const char *step, const char *spec,
           struct rst_reader *row)
{
  const struct rst_backend *backend = agent->config.backend;
  struct order *order = g_new0 (struct order, 1);
  struct rst_instance_call call = { 0 };
  rst_ms now = agent->config.now ();
  struct held_instance *held;
  char *checkpoint;
  char *ticket;

  order->agent = agent;
  order->kind = RST_MSG_STARTED;
  rst_reader_copy_text (row, order->id, sizeof order->id);
  g_snprintf (order->task, sizeof order->task, "%s.%d", step,
              (int)rst_reader_read_int (row));
  order->attempt = (int)rst_reader_read_int (row);
  checkpoint = rst_reader_read_text (row);
  ticket = rst_reader_read_text (row);
  held = prepare_call (order, &call);
  if (!row->bad && held != NULL && is_current (agent, now))
    call.deadline_ms = rst_agent_extend_lease (held, now);
  /* A start carries a lease, which extends the lease of all runs of the
     instance. */
  if (call.deadline_ms == 0)
    report_not_sent (order);
  else
    {
      call.spec = spec;
      call.checkpoint = checkpoint;
      call.ticket = ticket;
      backend->start (backend->userdata, &call, on_order_done, order);
    }
  g_free (checkpoint);
  g_free (ticket);
}

void
rst_agent_start_runs (struct rst_agent *agent, struct rst_reader *reader)
{
  char *step = rst_reader_read_text (reader);
  char *spec = rst_reader_read_text (reader);
  struct rst_reader rows = rst_reader_read_array (reader);

  for (uint32_t i = 0; i < rows.count; i++)
    {
      struct rst_reader row = rst_reader_read_array (&rows);

      start_run (agent, step, spec, &row);
    }
  g_free (step);
  g_free (spec);
}

void
rst_agent_stop_run (struct rst_agent *agent, struct rst_reader *reader)
{
  const struct rst_backend *backend = agent->config.backend;
  struct order *order = g_new0 (struct order, 1);
  struct rst_instance_call call = { 0 };
  const struct held_instance *held;

  order->agent = agent;
  order->kind = RST_MSG_STOPPED;
  held = read_order (order, reader, &call);
  if (held == NULL || reader->bad)
    report_not_sent (order);
  else
    backend->stop (backend->userdata, &call, on_order_done, order);
}

/* The planner is not told of the result; it repeats the order if need be. */
static void
on_pace_done (struct rst_instance_answer *answer, void *userdata)
{
  struct order *order = userdata;

  if (answer->result != RST_RESULT_OK)
    rst_info (RST_AGENT_LOG, "Order to change the pace of a run failed.",
              "task", order->task, "instance", order->id, "result",
              rst_result_name (answer->result));
  rst_instance_answer_free (answer);
  g_free (order);
}

void
rst_agent_forward_pace (struct rst_agent *agent, struct rst_reader *reader)
{
  const struct rst_backend *backend = agent->config.backend;
  struct order *order = g_new0 (struct order, 1);
  struct rst_instance_call call = { 0 };
  const struct held_instance *held;

  order->agent = agent;
  order->kind = RST_MSG_PACE;
  held = read_order (order, reader, &call);
  call.has_pace = true;
  call.pace_percent = (int)rst_reader_read_int (reader);
  if (held == NULL || reader->bad)
    {
      g_free (order);
      return;
    }
  backend->pace (backend->userdata, &call, on_pace_done, order);
}

static void
on_advice_done (struct rst_advice_answer *answer, void *userdata)
{
  struct advice_request *request = userdata;
  struct rst_pack pack;

  rst_pack_init (&pack, 4);
  rst_pack_int (&pack, RST_MSG_ADVICE);
  rst_pack_int (&pack, request->handle);
  rst_pack_int (&pack, answer->result);
  rst_pack_array (&pack, answer->tickets->len);
  for (guint i = 0; i < answer->tickets->len; i++)
    {
      const struct rst_ticket *ticket
          = &g_array_index (answer->tickets, struct rst_ticket, i);

      rst_pack_array (&pack, 2);
      rst_pack_text (&pack, ticket->id);
      rst_pack_text (&pack, ticket->ticket);
    }
  rst_agent_send (request->agent, &pack);
  rst_advice_answer_free (answer);
  g_free (request);
}

void
rst_agent_request_advice (struct rst_agent *agent, struct rst_reader *reader)
{
  const struct rst_backend *backend = agent->config.backend;
  struct advice_request *request = g_new0 (struct advice_request, 1);
  GPtrArray *ids = g_ptr_array_new_with_free_func (g_free);
  struct rst_reader rows;
  char *step;

  request->agent = agent;
  request->handle = rst_reader_read_int (reader);
  step = rst_reader_read_text (reader);
  rows = rst_reader_read_array (reader);
  for (uint32_t i = 0; i < rows.count; i++)
    g_ptr_array_add (ids, rst_reader_read_text (&rows));
  backend->advise (backend->userdata, step, (const char *const *)ids->pdata,
                   (int)ids->len, on_advice_done, request);
  g_ptr_array_free (ids, TRUE);
  g_free (step);
}
