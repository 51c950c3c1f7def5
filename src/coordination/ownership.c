#include "rosemarystile.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <xxhash.h>

#include "state/json.h"

struct rst_zone *
rst_zone_create (const char *zone)
{
  struct rst_zone *record = calloc (1, sizeof *record);

  if (record != NULL)
    g_strlcpy (record->zone, zone, RST_NAME_SIZE);
  return record;
}

void
rst_zone_destroy (struct rst_zone *zone)
{
  if (zone == NULL)
    return;
  free (zone->owned);
  free (zone);
}

struct rst_zone *
rst_zone_copy (const struct rst_zone *zone)
{
  struct rst_zone *copy = malloc (sizeof *copy);
  size_t size = (size_t)zone->owned_capacity * sizeof *zone->owned;

  if (copy == NULL)
    return NULL;
  *copy = *zone;
  if (size == 0)
    return copy;
  copy->owned = malloc (size);
  if (copy->owned == NULL)
    {
      free (copy);
      return NULL;
    }
  memcpy (copy->owned, zone->owned, size);
  return copy;
}

/* Returns the index of the first instance whose name is not less than
   @instance. */
static int
find_lower_bound (const struct rst_zone *zone, const char *instance)
{
  int low = 0;
  int high = zone->owned_count;

  while (low < high)
    {
      int middle = low + (high - low) / 2;

      if (strcmp (zone->owned[middle].instance, instance) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static struct rst_ownership *
find_ownership (const struct rst_zone *zone, const char *instance)
{
  int index = find_lower_bound (zone, instance);

  if (index < zone->owned_count
      && strcmp (zone->owned[index].instance, instance) == 0)
    return &zone->owned[index];
  return NULL;
}

static struct rst_ownership *
add_ownership (struct rst_zone *zone, const char *instance)
{
  int index = find_lower_bound (zone, instance);
  struct rst_ownership *ownership;

  if (zone->owned_count == zone->owned_capacity)
    {
      int capacity = zone->owned_capacity > 0 ? 2 * zone->owned_capacity : 16;
      struct rst_ownership *grown
          = realloc (zone->owned, (size_t)capacity * sizeof *grown);

      if (grown == NULL)
        return NULL;
      zone->owned = grown;
      zone->owned_capacity = capacity;
    }
  ownership = &zone->owned[index];
  memmove (ownership + 1, ownership,
           (size_t)(zone->owned_count - index) * sizeof *ownership);
  zone->owned_count++;
  memset (ownership, 0, sizeof *ownership);
  g_strlcpy (ownership->instance, instance, RST_NAME_SIZE);
  ownership->settled = true;
  /* An instance that was removed and is listed again has received epochs
     before, none higher than the revision of the record that assigned it.
     Epochs that start at the current revision are higher than those. */
  ownership->epoch = zone->revision;
  return ownership;
}

const struct rst_member *
rst_zone_find_member (const struct rst_zone *zone, const char *incarnation)
{
  for (int i = 0; i < zone->member_count; i++)
    if (strcmp (zone->members[i].incarnation, incarnation) == 0)
      return &zone->members[i];
  return NULL;
}

const struct rst_ownership *
rst_zone_find_ownership (const struct rst_zone *zone, const char *instance)
{
  return find_ownership (zone, instance);
}

static void
set_owner (struct rst_ownership *ownership, const char *owner)
{
  g_strlcpy (ownership->owner, owner, RST_NAME_SIZE);
  if (owner[0] != '\0')
    ownership->epoch++;
  ownership->settled = false;
}

/* Appends a departed member; the oldest one is dropped if the list is full. */
static void
add_departed (struct rst_zone *zone, const char *incarnation)
{
  if (zone->departed_count == RST_DEPARTED_MAX)
    {
      memmove (zone->departed[0], zone->departed[1],
               sizeof zone->departed - RST_NAME_SIZE);
      zone->departed_count--;
    }
  g_strlcpy (zone->departed[zone->departed_count++], incarnation,
             RST_NAME_SIZE);
}

int
rst_zone_remove_member (struct rst_zone *zone, const char *incarnation)
{
  const struct rst_member *member = rst_zone_find_member (zone, incarnation);
  int index;

  if (member == NULL)
    return RST_ERROR_NOT_FOUND;
  for (int i = 0; i < zone->owned_count; i++)
    if (strcmp (zone->owned[i].owner, incarnation) == 0)
      set_owner (&zone->owned[i], "");
  add_departed (zone, incarnation);
  index = (int)(member - zone->members);
  memmove (&zone->members[index], &zone->members[index + 1],
           (size_t)(zone->member_count - index - 1) * sizeof *member);
  zone->member_count--;
  return RST_OK;
}

int
rst_zone_add_member (struct rst_zone *zone, const struct rst_member *member)
{
  int index = 0;

  if (rst_zone_find_member (zone, member->incarnation) != NULL)
    return RST_OK;
  if (zone->member_count == RST_MEMBERS_MAX)
    return RST_ERROR_FULL;
  while (index < zone->member_count
         && strcmp (zone->members[index].incarnation, member->incarnation) < 0)
    index++;
  memmove (&zone->members[index + 1], &zone->members[index],
           (size_t)(zone->member_count - index) * sizeof *member);
  zone->members[index] = *member;
  zone->member_count++;
  return RST_OK;
}

uint64_t
rst_rendezvous_score (const char *key, const char *name)
{
  return XXH3_64bits_withSeed (name, strlen (name),
                               XXH3_64bits (key, strlen (key)));
}

int
rst_rendezvous_pick (const char *key, const char *const *names, int count)
{
  int best = -1;
  uint64_t best_score = 0;

  for (int i = 0; i < count; i++)
    {
      uint64_t score = rst_rendezvous_score (key, names[i]);

      if (best < 0 || score > best_score
          || (score == best_score && strcmp (names[i], names[best]) < 0))
        {
          best = i;
          best_score = score;
        }
    }
  return best;
}

const struct rst_member *
rst_zone_get_preferred_owner (const struct rst_zone *zone,
                              const char *instance)
{
  const char *names[RST_MEMBERS_MAX];
  int pick;

  for (int i = 0; i < zone->member_count; i++)
    names[i] = zone->members[i].incarnation;
  pick = rst_rendezvous_pick (instance, names, zone->member_count);
  return pick >= 0 ? &zone->members[pick] : NULL;
}

static int
count_owned (const struct rst_zone *zone, const char *incarnation)
{
  int count = 0;

  for (int i = 0; i < zone->owned_count; i++)
    if (strcmp (zone->owned[i].owner, incarnation) == 0)
      count++;
  return count;
}

/* Returns the number of instances that each member may own.  Rendezvous
   hashing alone would give some members far more instances than others. */
static int
get_fair_share (const struct rst_zone *zone)
{
  if (zone->member_count == 0)
    return 0;
  return (zone->owned_count + zone->member_count - 1) / zone->member_count;
}

int
rst_zone_claim_instances (struct rst_zone *zone, const char *incarnation,
                          const char *const *instances, int count)
{
  int claimed = 0;
  int own_count;

  for (int i = 0; i < count; i++)
    if (find_ownership (zone, instances[i]) == NULL
        && add_ownership (zone, instances[i]) == NULL)
      return -1;
  own_count = count_owned (zone, incarnation);
  for (int i = 0; i < count; i++)
    {
      struct rst_ownership *ownership = find_ownership (zone, instances[i]);
      const struct rst_member *preferred;

      if (ownership->owner[0] != '\0')
        continue;
      preferred = rst_zone_get_preferred_owner (zone, instances[i]);
      if (preferred == NULL)
        continue;
      if (strcmp (preferred->incarnation, incarnation) != 0
          && (own_count >= get_fair_share (zone)
              || count_owned (zone, preferred->incarnation)
                     < get_fair_share (zone)))
        continue;
      set_owner (ownership, incarnation);
      own_count++;
      claimed++;
    }
  return claimed;
}

int
rst_zone_release_excess (struct rst_zone *zone, const char *incarnation,
                         int max_moves)
{
  int released = 0;
  int own_count = count_owned (zone, incarnation);
  int fair_share = get_fair_share (zone);

  for (int i = 0; i < zone->owned_count && released < max_moves; i++)
    {
      struct rst_ownership *ownership = &zone->owned[i];
      const struct rst_member *preferred;

      if (own_count <= fair_share
          || strcmp (ownership->owner, incarnation) != 0)
        continue;
      preferred = rst_zone_get_preferred_owner (zone, ownership->instance);
      if (preferred == NULL
          || (strcmp (preferred->incarnation, incarnation) == 0
              && own_count <= fair_share + 1))
        continue;
      set_owner (ownership, "");
      own_count--;
      released++;
    }
  return released;
}

int
rst_zone_hand_over (struct rst_zone *zone, const char *instance,
                    const char *owner)
{
  struct rst_ownership *ownership = find_ownership (zone, instance);

  if (ownership == NULL)
    return RST_ERROR_NOT_FOUND;
  set_owner (ownership, owner);
  return RST_OK;
}

int
rst_zone_mark_settled (struct rst_zone *zone, const char *instance,
                       const char *owner)
{
  struct rst_ownership *ownership = find_ownership (zone, instance);

  if (ownership == NULL)
    return RST_ERROR_NOT_FOUND;
  if (strcmp (ownership->owner, owner) != 0)
    return RST_ERROR_NOT_HELD;
  ownership->settled = true;
  return RST_OK;
}

int
rst_zone_remove_instance (struct rst_zone *zone, const char *instance)
{
  struct rst_ownership *ownership = find_ownership (zone, instance);
  int index;

  if (ownership == NULL)
    return RST_ERROR_NOT_FOUND;
  index = (int)(ownership - zone->owned);
  memmove (ownership, ownership + 1,
           (size_t)(zone->owned_count - index - 1) * sizeof *ownership);
  zone->owned_count--;
  return RST_OK;
}

/* ---- JSON ------------------------------------------------------------- */

static bool
parse_members (struct json_object *root, struct rst_zone *zone)
{
  struct json_object *list = rst_json_get_array (root, "members");
  size_t count = list != NULL ? json_object_array_length (list) : 0;

  if (list == NULL || count > RST_MEMBERS_MAX)
    return false;
  for (size_t i = 0; i < count; i++)
    {
      struct json_object *item = json_object_array_get_idx (list, i);
      struct rst_member member;

      if (!rst_json_copy_text (item, "name", member.name, RST_NAME_SIZE)
          || !rst_json_copy_text (item, "incarnation", member.incarnation,
                                  RST_NAME_SIZE)
          || !rst_json_copy_text (item, "address", member.address,
                                  RST_ADDRESS_SIZE)
          || !rst_json_copy_text (item, "status_address",
                                  member.status_address, RST_ADDRESS_SIZE))
        return false;
      rst_zone_add_member (zone, &member);
    }
  return true;
}

static bool
parse_departed (struct json_object *root, struct rst_zone *zone)
{
  struct json_object *list = rst_json_get_array (root, "departed");
  size_t count = list != NULL ? json_object_array_length (list) : 0;

  if (count > RST_DEPARTED_MAX)
    return false;
  for (size_t i = 0; i < count; i++)
    {
      const char *name
          = json_object_get_string (json_object_array_get_idx (list, i));

      if (name == NULL || strlen (name) >= RST_NAME_SIZE)
        return false;
      add_departed (zone, name);
    }
  return true;
}

static bool
parse_instances (struct json_object *root, struct rst_zone *zone)
{
  struct json_object *list = rst_json_get_array (root, "instances");
  size_t count = list != NULL ? json_object_array_length (list) : 0;

  if (list == NULL)
    return false;
  for (size_t i = 0; i < count; i++)
    {
      struct json_object *item = json_object_array_get_idx (list, i);
      const char *name = rst_json_get_text (item, "name");
      struct rst_ownership *ownership;

      if (name == NULL || strlen (name) >= RST_NAME_SIZE
          || find_ownership (zone, name) != NULL)
        return false;
      ownership = add_ownership (zone, name);
      if (ownership == NULL
          || !rst_json_copy_text (item, "owner", ownership->owner,
                                  RST_NAME_SIZE))
        return false;
      ownership->epoch = (uint64_t)rst_json_get_number (item, "epoch", 0);
      ownership->settled = rst_json_get_bool (item, "settled", false);
    }
  return true;
}

int
rst_zone_parse (const char *text, uint64_t revision, struct rst_zone **out)
{
  struct json_object *root = rst_json_parse (text);
  struct rst_zone *zone = rst_zone_create ("");
  int error = RST_ERROR_INVALID;

  if (zone == NULL)
    {
      error = RST_ERROR_NO_MEMORY;
      goto fail;
    }
  if (!rst_json_copy_text (root, "zone", zone->zone, RST_NAME_SIZE)
      || !rst_json_copy_text (root, "writer", zone->writer, RST_NAME_SIZE)
      || !parse_members (root, zone) || !parse_departed (root, zone)
      || !parse_instances (root, zone))
    goto fail;
  zone->write_number = (uint64_t)rst_json_get_number (root, "write", 0);
  zone->revision = revision;
  json_object_put (root);
  *out = zone;
  return RST_OK;

fail:
  json_object_put (root);
  rst_zone_destroy (zone);
  return error;
}

static struct json_object *
format_members (const struct rst_zone *zone)
{
  struct json_object *list = json_object_new_array ();

  for (int i = 0; i < zone->member_count; i++)
    {
      struct json_object *item = json_object_new_object ();

      rst_json_set_text (item, "name", zone->members[i].name);
      rst_json_set_text (item, "incarnation", zone->members[i].incarnation);
      rst_json_set_text (item, "address", zone->members[i].address);
      rst_json_set_text (item, "status_address",
                         zone->members[i].status_address);
      json_object_array_add (list, item);
    }
  return list;
}

static struct json_object *
format_departed (const struct rst_zone *zone)
{
  struct json_object *list = json_object_new_array ();

  for (int i = 0; i < zone->departed_count; i++)
    json_object_array_add (list, json_object_new_string (zone->departed[i]));
  return list;
}

static struct json_object *
format_instances (const struct rst_zone *zone)
{
  struct json_object *list = json_object_new_array ();

  for (int i = 0; i < zone->owned_count; i++)
    {
      struct json_object *item = json_object_new_object ();

      rst_json_set_text (item, "name", zone->owned[i].instance);
      rst_json_set_text (item, "owner", zone->owned[i].owner);
      rst_json_set_number (item, "epoch", (int64_t)zone->owned[i].epoch);
      rst_json_set_bool (item, "settled", zone->owned[i].settled);
      json_object_array_add (list, item);
    }
  return list;
}

char *
rst_zone_format (const struct rst_zone *zone)
{
  struct json_object *root = json_object_new_object ();

  rst_json_set_text (root, "zone", zone->zone);
  rst_json_set_text (root, "writer", zone->writer);
  rst_json_set_number (root, "write", (int64_t)zone->write_number);
  json_object_object_add (root, "members", format_members (zone));
  json_object_object_add (root, "departed", format_departed (zone));
  json_object_object_add (root, "instances", format_instances (zone));
  return rst_json_format_and_release (root);
}

int
rst_member_record_parse (const char *text, struct rst_member_record *out)
{
  struct json_object *root = rst_json_parse (text);
  int error = RST_ERROR_INVALID;

  memset (out, 0, sizeof *out);
  if (rst_json_copy_text (root, "incarnation", out->incarnation, RST_NAME_SIZE)
      && rst_json_copy_text (root, "fenced_by", out->fenced_by, RST_NAME_SIZE))
    error = RST_OK;
  out->view = (uint64_t)rst_json_get_number (root, "view", 0);
  out->touch = (uint64_t)rst_json_get_number (root, "touch", 0);
  json_object_put (root);
  return error;
}

char *
rst_member_record_format (const struct rst_member_record *record)
{
  struct json_object *root = json_object_new_object ();

  rst_json_set_text (root, "incarnation", record->incarnation);
  rst_json_set_number (root, "view", (int64_t)record->view);
  rst_json_set_number (root, "touch", (int64_t)record->touch);
  rst_json_set_text (root, "fenced_by", record->fenced_by);
  return rst_json_format_and_release (root);
}
