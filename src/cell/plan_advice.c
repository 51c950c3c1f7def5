/* Requests to the advice service: which instances may a step run on?

   An agent makes the request.  Its duration grows with the number of instances
   that it names, so each request names the instances that are most likely to
   be useful.  An approval carries a ticket that a start needs. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "cell/plan_locality.h"
#include "cell/planner_private.h"

/** Requests expected to take longer than this leave some agents free for
    shorter ones. */
#define LONG_REQUEST_MS 60

/** Number of requests at one agent that a short request may wait for. */
#define QUEUED_REQUESTS_MAX 2

/** Minimum and maximum number of instances that are named at once for single
    tasks. */
#define NAMED_MIN 3
#define NAMED_MAX 48

/** The same for a gang.  The users' objective allows for one request that
    names 30 instances for each step.  All tickets of a gang must be valid at
    the same time, so a wide gang names all that it needs at once. */
#define FIRST_GANG_NAMED_MIN 30
#define GANG_NAMED_MIN_LIMIT 100
#define GANG_NAMED_MAX_LIMIT 240

/** Up to this number, the instances are named in one request; more are split
    among as few requests of different agents as this allows. */
#define REQUEST_INSTANCES_MAX 60

/** Weight of the score of an instance's speed among instances that are named,
    in thousandths of a core: a failure counts 4,000 here and 0.5 in a score of
    placement. */
#define SPEED_SCORE_WEIGHT 8000.0

/** Requests expected to take up to this long reserve room on the instances
    that they name. */
#define RESERVING_REQUEST_MAX_MS 200

/** Percentage of the agents that may make long requests at once. */
#define LONG_REQUEST_AGENTS_PERCENT 70

/** Number of expected approvals aimed at, as a multiple of the tasks that wait
    to be placed. */
#define REQUESTED_SLOTS_FACTOR 1.3

/** Weight of a new answer in a queue's approval rate. */
#define APPROVAL_RATE_WEIGHT 0.1

/** How long before its end a ticket is no longer used. */
#define TICKET_MARGIN_MS 60

/** Pause between the answer to a step's request and its next request. */
#define REQUEST_PAUSE_MS 20

/** The same after a failed request. */
#define FAILED_REQUEST_PAUSE_MS 100

void
rst_plan_advice_request_free (gpointer data)
{
  struct advice_request *request = data;

  g_array_free (request->instance_numbers, TRUE);
  g_free (request);
}

struct approval *
rst_plan_find_approval (const struct step *step,
                        const struct instance *instance)
{
  return g_hash_table_lookup (step->approvals,
                              GUINT_TO_POINTER (instance->number));
}

const char *
rst_plan_find_ticket (const struct rst_planner *planner,
                      const struct step *step, const struct instance *instance)
{
  struct approval *approval;

  if (!step->occurrence->job->queue->settings.needs_approval)
    return "";
  approval = rst_plan_find_approval (step, instance);
  if (approval == NULL || approval->rejected
      || approval->incarnation != instance->incarnation
      || approval->expires_at <= planner->now)
    return NULL;
  return approval->ticket;
}

/** How much later than expected the answer to a request may come.  An agent
    gives up a call after 4 s and then answers; a later answer is lost. */
#define ANSWER_DELAY_MAX_MS 5000

#define DIV_ROUND_UP(a, b) (((a) + (b)-1) / (b))

/** struct candidate - An instance that a request may name. */
struct candidate
{
  struct instance *instance;
  /* Number of the step's tasks that fit it. */
  int slots;
  /* Probability that it is approved. */
  double chance;
  /* The lowest score is named first. */
  double score;
};

static gint
compare_scores (gconstpointer a, gconstpointer b)
{
  double left = ((const struct candidate *)a)->score;
  double right = ((const struct candidate *)b)->score;

  return left < right ? -1 : left > right;
}

/* Whether a trial has no use for another ticket of an approved instance.  The
   tickets of a gang have to be valid at the same time, so all are renewed. */
static bool
is_ticket_useless (const struct rst_planner *planner, const struct step *step,
                   const struct instance *instance)
{
  if (instance->held_for != step && g_hash_table_size (instance->runs) > 0)
    return true;
  return !step->spec->gang
         && rst_plan_find_ticket (planner, step, instance) != NULL;
}

/* The same for the trial of suspects: those that the service was not asked
   about, however full they are now, and those that only lack a ticket. */
static void
find_trial_candidates (const struct rst_planner *planner,
                       const struct step *step, GArray *found)
{
  for (guint i = 0; i < planner->trial_instances->len; i++)
    {
      struct instance *instance
          = g_ptr_array_index (planner->trial_instances, i);
      const struct approval *approval
          = rst_plan_find_approval (step, instance);
      struct candidate candidate = { instance, 0, 1.0, 0.0 };

      /* Without a further instance for trials, one is shared. */
      if (planner->trial_count >= planner->trial_count_max
          && planner->trial_count > 0 && instance->held_for == NULL)
        continue;
      candidate.slots
          = rst_plan_count_trial_slots (instance, step, planner->now);
      if (candidate.slots == 0 || (approval != NULL && approval->rejected)
          || (approval != NULL && is_ticket_useless (planner, step, instance)))
        continue;
      candidate.score = (double)g_hash_table_size (instance->runs);
      if (approval == NULL)
        candidate.chance = step->occurrence->job->queue->approval_rate;
      else
        candidate.score -= instance->held_for == step ? 2000.0 : 1000.0;
      if (!step->spec->gang)
        candidate.slots = 1;
      g_array_append_val (found, candidate);
    }
  g_array_sort (found, compare_scores);
}

/* Finds the instances that a request may name, best first.  They are eligible,
   not rejected before, and have room.  The first request of a gang may name
   instances without room too: approvals do not change, and the room may become
   free later. */
static GArray *
find_request_candidates (struct rst_planner *planner, const struct step *step)
{
  GArray *found = g_array_new (FALSE, FALSE, sizeof (struct candidate));
  double approval_rate = step->occurrence->job->queue->approval_rate;
  bool gang = step->spec->gang;

  if (rst_plan_awaits_trial (step))
    {
      find_trial_candidates (planner, step, found);
      return found;
    }
  for (guint i = 0; i < planner->schedulable_instances->len; i++)
    {
      struct instance *instance
          = g_ptr_array_index (planner->schedulable_instances, i);
      struct candidate candidate = { instance, 0, approval_rate, 0.0 };
      struct approval *approval;

      candidate.slots = rst_plan_count_slots (instance, step);
      if (candidate.slots == 0 && (!gang || step->advice_requested))
        continue;
      approval = rst_plan_find_approval (step, instance);
      if ((approval != NULL && approval->rejected)
          || !rst_plan_instance_is_eligible (instance, step)
          || !rst_plan_may_use_rack (step, instance))
        continue;
      if (approval != NULL)
        candidate.chance = 1.0;
      /* For a gang, the expected number of slots counts.  For single tasks, an
         instance approved before comes first, then the best fit. */
      candidate.score
          = gang ? -candidate.slots * candidate.chance
                       * rst_plan_get_gang_worth (instance)
                 : (double)(instance->entry.capacity.cpu - instance->used.cpu)
                       - 100000.0 * (candidate.chance >= 1.0)
                       + SPEED_SCORE_WEIGHT
                             * rst_plan_score_speed (planner, instance, step);
      /* Instances where runs failed lately come later.  For a single task, a
         failure counts as much as four free cores. */
      candidate.score += 4000.0 * MIN (instance->failures, 4);
      /* The step's rack comes first, before all that counts above. */
      if (rst_plan_is_outside_rack (step, instance))
        candidate.score += 1e6;
      g_array_append_val (found, candidate);
    }
  g_array_sort (found, compare_scores);
  return found;
}

/* Whether all candidates together probably have room for a gang.  One request
   may name too few for that; its approvals are kept, and further requests name
   others. */
static bool
may_hold_gang (const GArray *found, int tasks)
{
  double expected = 0.0;

  for (guint i = 0; i < found->len; i++)
    {
      struct candidate candidate = g_array_index (found, struct candidate, i);

      expected += candidate.slots * candidate.chance;
    }
  return expected >= tasks;
}

/* Returns the largest number of instances that a gang names at once: as many
   as are probably needed when half of each approved instance is free. */
static int
get_gang_named_max (const struct step *step, const struct instance *example)
{
  double rate = MAX (step->occurrence->job->queue->approval_rate, 0.05);
  int64_t half_cpu = example->entry.capacity.cpu / 2;
  int64_t slots = MAX (half_cpu / MAX (step->spec->need.cpu, 1), 1);
  double wanted
      = step->spec->count * REQUESTED_SLOTS_FACTOR / rate / (double)slots;

  return (int)CLAMP (wanted, GANG_NAMED_MIN_LIMIT, GANG_NAMED_MAX_LIMIT);
}

/* Returns how many of the first candidates to name, or 0 if a request would be
   useless. */
static int
count_instances_to_name (const GArray *found, const struct step *step,
                         int tasks)
{
  double expected = 0.0;
  double wanted = tasks * REQUESTED_SLOTS_FACTOR;
  bool gang = step->spec->gang;
  int named = 0;
  int named_min
      = gang && !step->advice_requested ? FIRST_GANG_NAMED_MIN : NAMED_MIN;
  int named_max = NAMED_MAX;

  if (found->len == 0
      || (gang && step->advice_requested && !rst_plan_awaits_trial (step)
          && !may_hold_gang (found, tasks)))
    return 0;
  if (gang)
    named_max = get_gang_named_max (
        step, g_array_index (found, struct candidate, 0).instance);
  for (guint i = 0; i < found->len && named < named_max; i++)
    {
      struct candidate candidate = g_array_index (found, struct candidate, i);

      if (named >= named_min && expected >= wanted)
        break;
      expected += candidate.slots * candidate.chance;
      named++;
    }
  return named;
}

/* Returns the agent that is expected to be free first, or NULL if all are too
   busy for this request. */
static struct agent *
choose_advice_agent (struct rst_planner *planner, int64_t expected_ms)
{
  struct agent *best = NULL;
  guint long_requests = 0;

  for (guint i = 0; i < planner->agents->len; i++)
    {
      struct agent *agent = g_ptr_array_index (planner->agents, i);

      if (!rst_plan_agent_answers (planner, agent))
        continue;
      if (agent->open_requests > 0
          && agent->busy_until - planner->now > LONG_REQUEST_MS)
        long_requests++;
      if (expected_ms > LONG_REQUEST_MS
              ? agent->open_requests > 0
              : agent->open_requests > QUEUED_REQUESTS_MAX)
        continue;
      if (best == NULL
          || MAX (agent->busy_until, planner->now)
                 < MAX (best->busy_until, planner->now))
        best = agent;
    }
  if (expected_ms > LONG_REQUEST_MS
      && (long_requests + 1) * 100
             > MAX (planner->agents->len * LONG_REQUEST_AGENTS_PERCENT, 100))
    return NULL;
  return best;
}

/* Logs a request or its answer.  Before the answer, @took_ms is the expected
   time. */
static void
log_request (const struct advice_request *request, const char *sentence,
             int64_t took_ms, int approved)
{
  char named[16];
  char took_text[24];
  char approved_text[16];

  if (!rst_log_enabled (G_LOG_LEVEL_INFO))
    return;
  g_snprintf (named, sizeof named, "%u", request->instance_numbers->len);
  g_snprintf (took_text, sizeof took_text, "%" PRId64, took_ms);
  g_snprintf (approved_text, sizeof approved_text, "%d", approved);
  rst_info (RST_PLAN_LOG, sentence, "step", request->step_name, "named", named,
            "ms", took_text, "approved", approved_text);
}

static int64_t
get_expected_ms (const struct step *step, int named)
{
  const struct rst_queue *settings = &step->occurrence->job->queue->settings;

  return settings->advice_ms + named * settings->advice_per_instance_us / 1000;
}

/* Sends a request that names @count candidates from @first on. */
static struct advice_request *
send_request (struct rst_planner *planner, struct step *step,
              const struct agent *agent, const GArray *found, guint first,
              int count)
{
  const struct job *job = step->occurrence->job;
  struct advice_request *request = g_new0 (struct advice_request, 1);
  struct rst_pack pack;

  request->handle = planner->next_handle++;
  request->step = step;
  g_snprintf (request->step_name, sizeof request->step_name,
              "%s.%" PRId64 ".%d", job->id, step->occurrence->number,
              step->index);
  request->link = agent->link;
  request->expected_ms = get_expected_ms (step, count);
  request->sent_at = planner->now;
  request->instance_numbers
      = g_array_sized_new (FALSE, FALSE, sizeof (guint), (guint)count);
  CK_LIST_INSERT_HEAD (&step->advice_requests, request, entry);
  g_hash_table_insert (planner->advice_requests, &request->handle, request);
  rst_pack_init (&pack, 4);
  rst_pack_int (&pack, RST_MSG_ADVISE);
  rst_pack_int (&pack, (int64_t)request->handle);
  rst_pack_text (&pack, request->step_name);
  rst_pack_array (&pack, (size_t)count);
  for (int i = 0; i < count; i++)
    {
      const struct instance *instance
          = g_array_index (found, struct candidate, first + (guint)i).instance;

      g_array_append_val (request->instance_numbers, instance->number);
      rst_pack_text (&pack, instance->entry.id);
    }
  rst_plan_send (planner, request->link, &pack);
  return request;
}

void
rst_plan_request_advice (struct rst_planner *planner, struct step *step,
                         int tasks)
{
  GArray *found;
  int named;
  int per_request;
  bool is_first = !step->advice_requested;

  if (planner->now < step->next_request_at
      || !rst_plan_is_below_limit (step, step->spec->gang ? tasks : 1))
    return;
  /* Searching for candidates is costly, so first checks that an agent is free
     for the shortest request. */
  if (choose_advice_agent (planner, get_expected_ms (step, 0)) == NULL)
    return;
  found = find_request_candidates (planner, step);
  named = count_instances_to_name (found, step, tasks);
  per_request = named;
  if (named > REQUEST_INSTANCES_MAX)
    per_request
        = DIV_ROUND_UP (named, DIV_ROUND_UP (named, REQUEST_INSTANCES_MAX));
  for (int first = 0; first < named; first += per_request)
    {
      int count = MIN (per_request, named - first);
      int64_t expected_ms = get_expected_ms (step, count);
      struct agent *agent = choose_advice_agent (planner, expected_ms);
      struct advice_request *request;

      if (agent == NULL)
        break;
      request
          = send_request (planner, step, agent, found, (guint)first, count);
      agent->open_requests++;
      agent->busy_until = MAX (agent->busy_until, planner->now) + expected_ms;
      request->reserves_room = expected_ms <= RESERVING_REQUEST_MAX_MS
                               || (step->spec->gang && !is_first);
      step->advice_requested = true;
      planner->stats.advice_calls++;
      log_request (request, "Advice requested.", expected_ms, 0);
    }
  g_array_free (found, TRUE);
}

/* Reserves room on the instances that a request names.  Returns the number of
   tasks that are probably still without room. */
static double
reserve_named (struct rst_planner *planner,
               const struct advice_request *request, double wanted)
{
  struct step *step = request->step;

  for (guint i = 0; wanted > 0.0 && i < request->instance_numbers->len; i++)
    {
      guint number = g_array_index (request->instance_numbers, guint, i);
      struct instance *instance = rst_plan_find_numbered (planner, number);
      double chance
          = g_hash_table_contains (step->approvals, GUINT_TO_POINTER (number))
                ? 1.0
                : step->occurrence->job->queue->approval_rate;
      int slots;

      if (instance == NULL)
        continue;
      slots = MIN (rst_plan_count_slots (instance, step), step->tasks_waiting);
      rst_plan_reserve_slots (instance, step, slots);
      wanted -= slots * chance;
    }
  return wanted;
}

void
rst_plan_reserve_requested (struct rst_planner *planner, struct step *step,
                            int tasks)
{
  const struct advice_request *request;
  double wanted = tasks;

  CK_LIST_FOREACH (request, &step->advice_requests, entry)
  {
    if (request->reserves_room)
      wanted = reserve_named (planner, request, wanted);
  }
}

void
rst_plan_forget_requests (struct step *step)
{
  struct advice_request *request;

  CK_LIST_FOREACH (request, &step->advice_requests, entry)
  request->step = NULL;
  CK_LIST_INIT (&step->advice_requests);
}

static void
end_request (struct rst_planner *planner, struct advice_request *request,
             rst_ms pause_ms)
{
  if (request->step != NULL)
    {
      CK_LIST_REMOVE (request, entry);
      request->step->next_request_at = planner->now + pause_ms;
    }
  for (guint i = 0; i < planner->agents->len; i++)
    {
      struct agent *agent = g_ptr_array_index (planner->agents, i);

      if (agent->link == request->link && --agent->open_requests <= 0)
        {
          agent->open_requests = 0;
          agent->busy_until = planner->now;
        }
    }
  g_hash_table_remove (planner->advice_requests, &request->handle);
  planner->pass_wanted = true;
}

void
rst_plan_end_link_requests (struct rst_planner *planner, uint64_t link)
{
  GList *requests = g_hash_table_get_values (planner->advice_requests);

  for (GList *item = requests; item != NULL; item = item->next)
    {
      struct advice_request *request = item->data;

      if (request->link == link)
        end_request (planner, request, 0);
    }
  g_list_free (requests);
}

void
rst_plan_end_lost_requests (struct rst_planner *planner)
{
  GList *requests = g_hash_table_get_values (planner->advice_requests);

  for (GList *item = requests; item != NULL; item = item->next)
    {
      struct advice_request *request = item->data;

      if (planner->now - request->sent_at
          <= request->expected_ms + ANSWER_DELAY_MAX_MS)
        continue;
      planner->stats.advice_failed++;
      rst_info (RST_PLAN_LOG, "Advice request was not answered.", "step",
                request->step_name);
      end_request (planner, request, 0);
    }
  g_list_free (requests);
}

/* Reads the rows of an answer: number of an instance to its ticket. */
static GHashTable *
read_tickets (struct rst_planner *planner, struct rst_reader *rows)
{
  GHashTable *tickets = g_hash_table_new_full (NULL, NULL, NULL, g_free);

  for (uint32_t i = 0; i < rows->count; i++)
    {
      struct rst_reader row = rst_reader_read_array (rows);
      char *id = rst_reader_read_text (&row);
      char *ticket = rst_reader_read_text (&row);
      const struct instance *instance
          = g_hash_table_lookup (planner->instances, id);

      if (instance != NULL)
        g_hash_table_insert (tickets, GUINT_TO_POINTER (instance->number),
                             ticket);
      else
        g_free (ticket);
      g_free (id);
    }
  return tickets;
}

/* Returns when a ticket that has just been received is no longer used.  The
   service may have issued it to the instance's earlier incarnation if this one
   was first seen while the request was under way. */
static rst_ms
get_ticket_expiry (const struct rst_planner *planner,
                   const struct advice_request *request,
                   const struct instance *instance)
{
  const struct rst_queue *settings
      = &request->step->occurrence->job->queue->settings;

  if (instance->incarnation_seen_at > request->sent_at)
    return planner->now;
  /* Tickets are valid from the service's answer on, a moment before now.  The
     margin allows for that. */
  return planner->now + settings->advice_valid_ms - TICKET_MARGIN_MS;
}

static void
record_approvals (struct rst_planner *planner,
                  const struct advice_request *request, struct step *step,
                  struct rst_reader *rows)
{
  struct queue *queue = step->occurrence->job->queue;
  GHashTable *tickets = read_tickets (planner, rows);

  for (guint i = 0; i < request->instance_numbers->len; i++)
    {
      guint number = g_array_index (request->instance_numbers, guint, i);
      const char *ticket
          = g_hash_table_lookup (tickets, GUINT_TO_POINTER (number));
      struct instance *instance = rst_plan_find_numbered (planner, number);
      struct approval *approval;

      if (instance == NULL)
        continue;
      approval = rst_plan_find_approval (step, instance);
      if (approval == NULL)
        {
          queue->approval_rate
              += APPROVAL_RATE_WEIGHT
                 * ((ticket != NULL ? 1.0 : 0.0) - queue->approval_rate);
          approval = g_new0 (struct approval, 1);
          g_hash_table_insert (step->approvals, GUINT_TO_POINTER (number),
                               approval);
        }
      approval->rejected = ticket == NULL;
      approval->incarnation = instance->incarnation;
      approval->expires_at = get_ticket_expiry (planner, request, instance);
      g_free (approval->ticket);
      approval->ticket = g_strdup (ticket);
    }
  g_hash_table_destroy (tickets);
}

void
rst_plan_receive_advice (struct rst_planner *planner,
                         struct rst_reader *reader)
{
  uint64_t handle = (uint64_t)rst_reader_read_int (reader);
  enum rst_result result = (enum rst_result)rst_reader_read_int (reader);
  struct rst_reader rows = rst_reader_read_array (reader);
  struct advice_request *request
      = g_hash_table_lookup (planner->advice_requests, &handle);

  if (reader->bad || request == NULL)
    return;
  rst_histogram_add (&planner->stats.advice_ms,
                     planner->now - request->sent_at);
  if (result != RST_RESULT_OK)
    {
      planner->stats.advice_failed++;
      rst_info (RST_PLAN_LOG, "Advice request failed.", "step",
                request->step_name, "result", rst_result_name (result));
      end_request (planner, request, FAILED_REQUEST_PAUSE_MS);
      return;
    }
  log_request (request, "Advice received.", planner->now - request->sent_at,
               (int)rows.count);
  if (request->step != NULL)
    record_approvals (planner, request, request->step, &rows);
  end_request (planner, request, REQUEST_PAUSE_MS);
}
