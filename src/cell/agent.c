#include "cell/agent_private.h"

#include <inttypes.h>
#include <string.h>

/** Longest time that a poll waits for a run to end, in milliseconds. */
#define POLL_WAIT_MAX_MS 2000

/** Delay before a failed poll is repeated, in milliseconds. */
#define POLL_RETRY_MS 300

/** Longest time to wait for the planner's acknowledgement of listed ends
    before the next poll, in milliseconds. */
#define ACK_WAIT_MS 800

/** Most bytes of checkpoints in a report, so that it stays far below the
    largest frame of a link.  The checkpoints of the other runs are left to the
    following reports. */
#define REPORT_CHECKPOINT_BYTES_MAX (1024 * 1024)

/** Longest time between two calls of rst_agent_run(), in milliseconds. */
#define IDLE_MS 1000

struct rst_agent *
rst_agent_create (const struct rst_agent_config *config)
{
  struct rst_agent *agent = g_new0 (struct rst_agent, 1);

  agent->config = *config;
  agent->instances = g_hash_table_new (g_str_hash, g_str_equal);
  return agent;
}

void
rst_agent_destroy (struct rst_agent *agent)
{
  GHashTableIter iter;
  gpointer value;

  if (agent == NULL)
    return;
  g_hash_table_iter_init (&iter, agent->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_free (value);
  g_hash_table_destroy (agent->instances);
  g_free (agent);
}

void
rst_agent_send (struct rst_agent *agent, struct rst_pack *pack)
{
  agent->config.send (agent->config.userdata, pack->buffer.data,
                      pack->buffer.size);
  rst_pack_clear (pack);
}

/* Whether the planner that ordered the agent to hold the instance was
   confirmed so recently that the lease may be extended.  The planner of the
   present link is not asked about instances held over an earlier one, which it
   may have assigned to another agent. */
static bool
may_extend_lease (const struct held_instance *held, rst_ms now)
{
  const struct rst_agent *agent = held->agent;
  rst_ms confirmed_at = held->link_number == agent->link_number
                            ? agent->confirmed_at
                            : held->confirmed_at;

  return now - confirmed_at <= agent->config.unconfirmed_renewal_ms;
}

/* Returns the new expiry of the lease on the instance's clock, or 0 when the
   lease must not be extended or that clock is unknown.  The planner computes
   when the lease of an instance expires from the first report that it does not
   answer; a later call without an answer may reach it and must not extend the
   lease. */
int64_t
rst_agent_extend_lease (struct held_instance *held, rst_ms now)
{
  struct rst_agent *agent = held->agent;

  if (held->clock_ms == 0 || !held->answering || !may_extend_lease (held, now))
    return 0;
  held->lease_expires_at = now + agent->config.lease_ms;
  return held->clock_ms + (now - held->clock_read_at) + agent->config.lease_ms;
}

/* Returns how many runs, counted from @first on and then from the beginning,
   can report their checkpoints together. */
static guint
count_reported_checkpoints (const GArray *runs, guint first)
{
  size_t bytes = 0;

  for (guint i = 0; i < runs->len; i++)
    {
      const struct rst_run *run
          = &g_array_index (runs, struct rst_run, (first + i) % runs->len);

      if (run->checkpoint != NULL)
        bytes += strlen (run->checkpoint);
      if (bytes > REPORT_CHECKPOINT_BYTES_MAX)
        return i;
    }
  return runs->len;
}

/* An empty checkpoint tells the planner nothing. */
static void
pack_run (struct rst_pack *pack, const struct rst_run *run,
          bool reports_checkpoint)
{
  rst_pack_array (pack, 7);
  rst_pack_int (pack, run->end_number);
  rst_pack_text (pack, run->task);
  rst_pack_int (pack, run->attempt);
  rst_pack_int (pack, run->end_reason);
  rst_pack_text (pack, reports_checkpoint ? run->checkpoint : NULL);
  rst_pack_int (pack, run->progress_percent);
  rst_pack_int (pack, run->usage);
}

/* Packs the runs of an instance.  If their checkpoints don't fit into one
   report, reports take turns with them. */
static void
pack_runs (struct rst_pack *pack, struct held_instance *held,
           const GArray *runs)
{
  guint first = runs->len > 0 ? held->first_checkpoint % runs->len : 0;
  guint count = count_reported_checkpoints (runs, first);

  rst_pack_array (pack, runs->len);
  for (guint i = 0; i < runs->len; i++)
    pack_run (pack, &g_array_index (runs, struct rst_run, i),
              (i + runs->len - first) % runs->len < count);
  held->first_checkpoint = first + count;
}

/* Logs once for an instance, until all its checkpoints can be carried. */
static void
check_checkpoints (struct held_instance *held,
                   const struct rst_instance_answer *answer)
{
  char count[16];

  held->agent->checkpoints_left_out += answer->checkpoints_left_out;
  if (answer->checkpoints_left_out > 0 && !held->leaves_checkpoints_out)
    {
      g_snprintf (count, sizeof count, "%u", answer->checkpoints_left_out);
      rst_warning (RST_AGENT_LOG,
                   "Checkpoints can't be carried; tasks keep older ones.",
                   "instance", held->id, "checkpoints", count);
    }
  held->leaves_checkpoints_out = answer->checkpoints_left_out > 0;
}

static void
send_report (struct held_instance *held,
             const struct rst_instance_answer *answer, rst_ms now)
{
  struct rst_pack pack;

  check_checkpoints (held, answer);
  rst_pack_init (&pack, 9);
  rst_pack_int (&pack, RST_MSG_REPORT);
  rst_pack_text (&pack, held->id);
  rst_pack_int (&pack, answer->result);
  rst_pack_int (&pack, answer->clock_ms);
  rst_pack_int (&pack, answer->incarnation);
  rst_pack_int (&pack, MAX (held->lease_expires_at - now, 0));
  rst_pack_int (&pack, held->fencing_token);
  rst_pack_int (&pack, answer->has_more_ends ? 1 : 0);
  pack_runs (&pack, held, answer->runs);
  rst_agent_send (held->agent, &pack);
}

static void
update_clock (struct held_instance *held,
              const struct rst_instance_answer *answer, rst_ms now)
{
  if (answer->clock_ms == 0)
    return;
  held->clock_ms = answer->clock_ms;
  held->clock_read_at = now;
}

static void release_instance (struct rst_agent *agent, const char *id);

static void
update_from_poll (struct held_instance *held,
                  const struct rst_instance_answer *answer, rst_ms now)
{
  if (answer->incarnation != held->incarnation)
    {
      held->incarnation = answer->incarnation;
      held->last_acked_end = 0;
      held->last_listed_end = 0;
    }
  held->same_incarnation = true;
  update_clock (held, answer, now);
  for (guint i = 0; i < answer->runs->len; i++)
    held->last_listed_end
        = MAX (held->last_listed_end,
               g_array_index (answer->runs, struct rst_run, i).end_number);
}

/* Logs that an instance stops answering, or that it answers again. */
static void
log_answering (const struct held_instance *held, bool was_answering,
               rst_ms now)
{
  char lease_ms[16];

  /* The first answer of an instance is neither. */
  if (held->answering == was_answering || held->clock_ms == 0)
    return;
  g_snprintf (lease_ms, sizeof lease_ms, "%" PRId64,
              MAX (held->lease_expires_at - now, 0));
  rst_info (RST_AGENT_LOG,
            held->answering
                ? "Instance answers again; its lease is extended."
                : "Instance does not answer; its lease is not extended.",
            "instance", held->id, "lease_ms", lease_ms);
}

static void
on_poll_done (struct rst_instance_answer *answer, void *userdata)
{
  struct held_instance *held = userdata;
  rst_ms now = held->agent->config.now ();
  bool was_answering = held->answering;

  held->poll_pending = false;
  held->answering = answer->result == RST_RESULT_OK;
  if (held->released)
    {
      g_free (held);
      goto out;
    }
  log_answering (held, was_answering, now);
  if (held->answering)
    update_from_poll (held, answer, now);
  else
    held->same_incarnation = false;
  send_report (held, answer, now);
  if (answer->result == RST_RESULT_FENCED)
    {
      rst_info (RST_AGENT_LOG, "Another agent holds the instance.", "instance",
                held->id);
      release_instance (held->agent, held->id);
    }
  else if (!held->answering)
    held->next_poll_at = now + POLL_RETRY_MS;
  else if (held->last_listed_end > held->last_acked_end)
    held->next_poll_at = now + ACK_WAIT_MS;
  else
    rst_agent_poll_instance (held, now);

out:
  rst_instance_answer_free (answer);
}

void
rst_agent_poll_instance (struct held_instance *held, rst_ms now)
{
  struct rst_instance_call call = { 0 };
  const struct rst_backend *backend = held->agent->config.backend;

  call.id = held->id;
  call.address = held->address;
  call.fencing_token = held->fencing_token;
  call.last_acked_end = held->same_incarnation ? held->last_acked_end : 0;
  call.deadline_ms = rst_agent_extend_lease (held, now);
  /* A poll does not wait while there are ends that are not acknowledged. */
  if (held->same_incarnation && held->last_listed_end <= held->last_acked_end)
    call.wait_ms = held->poll_wait_ms;
  held->poll_pending = true;
  backend->hold (backend->userdata, &call, on_poll_done, held);
}

static void
release_instance (struct rst_agent *agent, const char *id)
{
  struct held_instance *held = g_hash_table_lookup (agent->instances, id);

  if (held == NULL)
    return;
  g_hash_table_remove (agent->instances, id);
  held->released = true;
  if (!held->poll_pending)
    g_free (held);
}

static void
hold_instance (struct rst_agent *agent, struct rst_reader *reader)
{
  char id[RST_ID_SIZE];
  char address[RST_ADDRESS_SIZE];
  struct held_instance *held;
  rst_ms lease_expires_at = 0;
  int64_t fencing_token;
  int64_t last_acked_end;
  int64_t incarnation;

  rst_reader_copy_text (reader, id, sizeof id);
  rst_reader_copy_text (reader, address, sizeof address);
  fencing_token = rst_reader_read_int (reader);
  last_acked_end = rst_reader_read_int (reader);
  incarnation = rst_reader_read_int (reader);
  if (reader->bad)
    return;
  held = g_hash_table_lookup (agent->instances, id);
  if (held != NULL
      && (held->fencing_token != fencing_token
          || strcmp (held->address, address) != 0))
    {
      /* The answer to a poll with the earlier token must not be taken for an
         answer with the new one. */
      lease_expires_at = held->lease_expires_at;
      release_instance (agent, id);
      held = NULL;
    }
  if (held == NULL)
    {
      held = g_new0 (struct held_instance, 1);
      held->agent = agent;
      held->poll_wait_ms = POLL_WAIT_MAX_MS;
      held->lease_expires_at = lease_expires_at;
      /* The first poll acknowledges nothing, as another incarnation may
         answer it. */
      held->incarnation = incarnation;
      g_strlcpy (held->id, id, sizeof held->id);
      g_strlcpy (held->address, address, sizeof held->address);
      g_hash_table_insert (agent->instances, held->id, held);
    }
  held->fencing_token = fencing_token;
  held->link_number = agent->link_number;
  /* Another incarnation numbers its ends from the beginning again. */
  if (incarnation == held->incarnation)
    held->last_acked_end = MAX (held->last_acked_end, last_acked_end);
  if (!held->poll_pending)
    rst_agent_poll_instance (held, agent->config.now ());
}

static void
handle_ack (struct rst_agent *agent, struct rst_reader *reader)
{
  char id[RST_ID_SIZE];
  struct held_instance *held;
  int64_t number;
  int64_t incarnation;

  rst_reader_copy_text (reader, id, sizeof id);
  number = rst_reader_read_int (reader);
  incarnation = rst_reader_read_int (reader);
  held = g_hash_table_lookup (agent->instances, id);
  /* Another incarnation numbers its ends from the beginning again. */
  if (reader->bad || held == NULL || incarnation != held->incarnation)
    return;
  held->last_acked_end = MAX (held->last_acked_end, number);
  if (!held->poll_pending)
    rst_agent_poll_instance (held, agent->config.now ());
}

static void
set_poll_wait (struct rst_agent *agent, struct rst_reader *reader)
{
  char id[RST_ID_SIZE];
  struct held_instance *held;
  int64_t wait_ms;

  rst_reader_copy_text (reader, id, sizeof id);
  wait_ms = rst_reader_read_int (reader);
  held = g_hash_table_lookup (agent->instances, id);
  if (held != NULL && !reader->bad)
    held->poll_wait_ms = CLAMP (wait_ms, 1, POLL_WAIT_MAX_MS);
}

void
rst_agent_handle_message (struct rst_agent *agent, int kind,
                          struct rst_reader *reader)
{
  char id[RST_ID_SIZE];

  switch (kind)
    {
    case RST_MSG_HOLD:
      hold_instance (agent, reader);
      break;
    case RST_MSG_RELEASE:
      rst_reader_copy_text (reader, id, sizeof id);
      release_instance (agent, id);
      break;
    case RST_MSG_START:
      rst_agent_start_runs (agent, reader);
      break;
    case RST_MSG_STOP:
      rst_agent_stop_run (agent, reader);
      break;
    case RST_MSG_ACK:
      handle_ack (agent, reader);
      break;
    case RST_MSG_PACE:
      rst_agent_forward_pace (agent, reader);
      break;
    case RST_MSG_SET_POLL_WAIT:
      set_poll_wait (agent, reader);
      break;
    case RST_MSG_ADVISE:
      rst_agent_request_advice (agent, reader);
      break;
    default:
      rst_warning (RST_AGENT_LOG, "Unknown kind of message; it is ignored.");
      break;
    }
}

void
rst_agent_handle_heartbeat (struct rst_agent *agent,
                            const struct rst_heartbeat *heartbeat)
{
  agent->heartbeat_sent_at
      = MAX (agent->heartbeat_sent_at, heartbeat->sent_at);
  agent->confirmed_at = MAX (agent->confirmed_at, heartbeat->confirmed_at);
}

void
rst_agent_handle_link_closed (struct rst_agent *agent)
{
  GHashTableIter iter;
  gpointer value;
  char count[16];
  char age_ms[24];

  g_hash_table_iter_init (&iter, agent->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct held_instance *held = value;

      if (held->link_number == agent->link_number)
        held->confirmed_at = agent->confirmed_at;
    }
  g_snprintf (count, sizeof count, "%u", g_hash_table_size (agent->instances));
  g_snprintf (age_ms, sizeof age_ms, "%" PRId64,
              agent->config.now () - agent->confirmed_at);
  rst_info (RST_AGENT_LOG,
            "Link to the planner closed; leases are extended for a while.",
            "instances", count, "confirmed_ms_ago", age_ms);
  agent->link_number++;
  agent->heartbeat_sent_at = 0;
  agent->confirmed_at = 0;
}

/* Drops the instances of earlier links whose leases this agent may extend no
   more. */
static void
drop_expired_instances (struct rst_agent *agent, rst_ms now)
{
  GList *instances = g_hash_table_get_values (agent->instances);

  for (GList *item = instances; item != NULL; item = item->next)
    {
      const struct held_instance *held = item->data;

      if (held->link_number != agent->link_number
          && !may_extend_lease (held, now))
        release_instance (agent, held->id);
    }
  g_list_free (instances);
}

uint64_t
rst_agent_count_checkpoints_left_out (const struct rst_agent *agent)
{
  return agent->checkpoints_left_out;
}

rst_ms
rst_agent_run (struct rst_agent *agent)
{
  rst_ms now = agent->config.now ();
  rst_ms wake = now + IDLE_MS;
  GHashTableIter iter;
  gpointer value;

  drop_expired_instances (agent, now);
  g_hash_table_iter_init (&iter, agent->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct held_instance *held = value;

      if (held->poll_pending)
        continue;
      if (now >= held->next_poll_at)
        rst_agent_poll_instance (held, now);
      else
        wake = MIN (wake, held->next_poll_at);
    }
  return wake;
}
