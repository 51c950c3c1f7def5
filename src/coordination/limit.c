#include "rosemarystile.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "state/json.h"

int
rst_limit_parse (const char *text, uint64_t revision, struct rst_limit *out)
{
  struct json_object *root;
  struct json_object *list;
  int error = RST_ERROR_INVALID;
  size_t count;

  memset (out, 0, sizeof *out);
  out->revision = revision;
  if (text == NULL)
    return RST_OK;
  root = rst_json_parse (text);
  list = rst_json_get_array (root, "parts");
  count = list != NULL ? json_object_array_length (list) : 0;
  if (list == NULL || count > RST_LIMIT_PARTS_MAX)
    goto done;
  for (size_t i = 0; i < count; i++)
    {
      struct json_object *item = json_object_array_get_idx (list, i);
      struct rst_limit_part *part = &out->parts[i];

      if (!rst_json_copy_text (item, "holder", part->holder, RST_NAME_SIZE))
        goto done;
      part->granted = (uint32_t)rst_json_get_number (item, "granted", 0);
      part->wanted = (uint32_t)rst_json_get_number (item, "wanted", 0);
      part->write_number = (uint64_t)rst_json_get_number (item, "write", 0);
    }
  out->part_count = (int)count;
  error = RST_OK;

done:
  json_object_put (root);
  return error;
}

char *
rst_limit_format (const struct rst_limit *limit)
{
  struct json_object *root = json_object_new_object ();
  struct json_object *list = json_object_new_array ();

  for (int i = 0; i < limit->part_count; i++)
    {
      struct json_object *item = json_object_new_object ();

      rst_json_set_text (item, "holder", limit->parts[i].holder);
      rst_json_set_number (item, "granted", limit->parts[i].granted);
      rst_json_set_number (item, "wanted", limit->parts[i].wanted);
      rst_json_set_number (item, "write",
                           (int64_t)limit->parts[i].write_number);
      json_object_array_add (list, item);
    }
  json_object_object_add (root, "parts", list);
  return rst_json_format_and_release (root);
}

uint32_t
rst_limit_sum_granted (const struct rst_limit *limit)
{
  uint32_t sum = 0;

  for (int i = 0; i < limit->part_count; i++)
    sum += limit->parts[i].granted;
  return sum;
}

struct rst_limit_part *
rst_limit_find_part (struct rst_limit *limit, const char *holder)
{
  for (int i = 0; i < limit->part_count; i++)
    if (strcmp (limit->parts[i].holder, holder) == 0)
      return &limit->parts[i];
  return NULL;
}

int
rst_limit_grow_part (struct rst_limit *limit, const char *holder,
                     uint32_t upper_limit, uint32_t more)
{
  struct rst_limit_part *part = rst_limit_find_part (limit, holder);
  uint32_t granted = rst_limit_sum_granted (limit);
  uint32_t remaining = upper_limit > granted ? upper_limit - granted : 0;
  uint32_t grant = MIN (remaining, more);

  if (part == NULL)
    {
      if (limit->part_count == RST_LIMIT_PARTS_MAX)
        return RST_ERROR_FULL;
      part = &limit->parts[limit->part_count++];
      memset (part, 0, sizeof *part);
      g_strlcpy (part->holder, holder, RST_NAME_SIZE);
    }
  part->granted += grant;
  part->wanted = more - grant;
  return part->wanted == 0 ? RST_OK : RST_ERROR_LIMIT;
}

int
rst_limit_shrink_part (struct rst_limit *limit, const char *holder,
                       uint32_t granted)
{
  struct rst_limit_part *part = rst_limit_find_part (limit, holder);

  if (part == NULL)
    return RST_ERROR_NOT_FOUND;
  part->granted = MIN (part->granted, granted);
  return RST_OK;
}

/* Scales a part down to its share of the limit.  Rounds down, so that the sum
   of all parts stays within the limit. */
static uint32_t
scale_part (uint32_t granted, uint32_t upper_limit, uint32_t sum)
{
  return (uint32_t)((uint64_t)granted * upper_limit / sum);
}

uint32_t
rst_limit_get_target_part (const struct rst_limit *limit, const char *holder,
                           uint32_t upper_limit, uint32_t used,
                           uint32_t wanted)
{
  struct rst_limit *record = (struct rst_limit *)limit;
  const struct rst_limit_part *part = rst_limit_find_part (record, holder);
  uint32_t sum = rst_limit_sum_granted (limit);
  uint32_t others_wanted = 0;
  uint32_t target;
  uint32_t unused;

  if (part == NULL)
    return 0;
  for (int i = 0; i < limit->part_count; i++)
    if (&limit->parts[i] != part)
      others_wanted += limit->parts[i].wanted;
  target = part->granted;
  if (sum > upper_limit)
    return scale_part (target, upper_limit, sum);
  if (others_wanted == 0 || sum < upper_limit)
    return target;
  unused = target > used + wanted ? target - used - wanted : 0;
  return target - MIN ((unused + 1) / 2, others_wanted);
}
