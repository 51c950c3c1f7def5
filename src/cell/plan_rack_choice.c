/* Choice of one rack for the tasks of a step that run faster on a single rack.

   A rack with room for all tasks is chosen, the tightest first; without one,
   the rack that is expected to have room for all of them first. */
#include <string.h>

#include "cell/plan_locality.h"

/** Time between two choices for a step that waits.  Each looks at all
    instances; steps that run for less than 0.5 s gain little by a rack. */
#define CHOICE_INTERVAL_MS 50

/** Number of racks whose expected room is estimated, those with the most room
    now.  An estimate looks at all runs of a rack. */
#define ESTIMATED_RACKS_MAX 4

/** struct rack_room - Room in a rack for the tasks of a step. */
struct rack_room
{
  const char *rack;
  /* Tasks that can start there now, and that probably can once the advice
     service has answered. */
  int ready;
  double probable;
};

static struct rack_room *
get_room (GArray *rooms, GHashTable *indexes, const char *rack)
{
  struct rack_room added = { rack, 0, 0.0 };
  gpointer index;

  if (!g_hash_table_lookup_extended (indexes, rack, NULL, &index))
    {
      index = GUINT_TO_POINTER (rooms->len);
      g_hash_table_insert (indexes, (gpointer)rack, index);
      g_array_append_val (rooms, added);
    }
  return &g_array_index (rooms, struct rack_room, GPOINTER_TO_UINT (index));
}

/* Lists the racks of the instances that a step may use, in a fixed order. */
static GArray *
list_rooms (const struct rst_planner *planner, const struct step *step)
{
  GArray *rooms = g_array_new (FALSE, FALSE, sizeof (struct rack_room));
  GHashTable *indexes = g_hash_table_new (g_str_hash, g_str_equal);

  for (guint i = 0; i < planner->schedulable_instances->len; i++)
    {
      const struct instance *instance
          = g_ptr_array_index (planner->schedulable_instances, i);
      struct rack_room *room;
      int slots;

      if (instance->entry.rack[0] == '\0'
          || !rst_plan_may_be_approved (step, instance))
        continue;
      room = get_room (rooms, indexes, instance->entry.rack);
      slots = rst_plan_count_slots (instance, step);
      if (rst_plan_find_ticket (planner, step, instance) != NULL)
        room->ready += slots;
      room->probable
          += rst_plan_find_approval (step, instance) != NULL
                 ? slots
                 : slots * step->occurrence->job->queue->approval_rate;
    }
  g_hash_table_destroy (indexes);
  return rooms;
}

/* Finds a rack with room for all tasks, or returns NULL. */
static const char *
find_room (const GArray *rooms, int tasks)
{
  const struct rack_room *ready = NULL;
  const struct rack_room *probable = NULL;

  for (guint i = 0; i < rooms->len; i++)
    {
      const struct rack_room *room
          = &g_array_index (rooms, struct rack_room, i);

      if (room->ready >= tasks
          && (ready == NULL || room->ready < ready->ready))
        ready = room;
      if (room->probable >= tasks
          && (probable == NULL || room->probable > probable->probable))
        probable = room;
    }
  if (ready != NULL)
    return ready->rack;
  return probable != NULL ? probable->rack : NULL;
}

static gint
compare_rooms (gconstpointer a, gconstpointer b)
{
  double left = ((const struct rack_room *)a)->probable;
  double right = ((const struct rack_room *)b)->probable;

  return left > right ? -1 : left < right;
}

/* Finds the rack that has room for all tasks first, or returns "". */
static const char *
find_earliest (struct rst_planner *planner, const struct step *step,
               GArray *rooms)
{
  const char *earliest = "";
  double earliest_ms = RST_LOCALITY_NEVER_MS;

  g_array_sort (rooms, compare_rooms);
  for (guint i = 0; i < MIN (rooms->len, ESTIMATED_RACKS_MAX); i++)
    {
      const char *rack = g_array_index (rooms, struct rack_room, i).rack;
      double delay_ms = rst_plan_get_rack_delay_ms (planner, step, rack,
                                                    step->tasks_waiting);

      if (delay_ms >= earliest_ms)
        continue;
      earliest_ms = delay_ms;
      earliest = rack;
    }
  return earliest;
}

/* The rack of a step of which tasks run, for a planner that has not chosen it
   itself.  If they run on several racks, the tasks are spread already. */
static void
adopt_rack (struct step *step)
{
  struct step_locality *locality = &step->locality;

  for (int i = 0; i < step->spec->count; i++)
    {
      const struct run *run = step->tasks[i].run;

      if (run == NULL)
        continue;
      if (locality->home[0] == '\0')
        g_strlcpy (locality->home, run->instance->entry.rack,
                   sizeof locality->home);
      else if (strcmp (locality->home, run->instance->entry.rack) != 0)
        locality->is_spread = true;
    }
}

void
rst_plan_choose_rack (struct rst_planner *planner, struct step *step)
{
  struct step_locality *locality = &step->locality;

  locality->rack_is_chosen = true;
  if (step->tasks_waiting < step->spec->count)
    {
      if (locality->home[0] == '\0')
        adopt_rack (step);
    }
  else if (planner->now >= locality->next_choice_at)
    {
      GArray *rooms = list_rooms (planner, step);
      const char *rack = find_room (rooms, step->tasks_waiting);

      if (rack == NULL)
        rack = find_earliest (planner, step, rooms);
      g_strlcpy (locality->home, rack, sizeof locality->home);
      locality->next_choice_at = planner->now + CHOICE_INTERVAL_MS;
      locality->is_spread = locality->home[0] == '\0';
      g_array_free (rooms, TRUE);
    }
  if (!locality->is_spread)
    g_strlcpy (locality->rack, locality->home, sizeof locality->rack);
}
