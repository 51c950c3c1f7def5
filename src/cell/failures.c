#include "cell/failures.h"

#include <glib.h>

/* Attempts from first to last. */
struct range
{
  int first;
  int last;
};

struct rst_failures
{
  int count;
  /* struct range, in ascending order; between two of them lies at least one
     attempt. */
  GArray *ranges;
};

static struct rst_failures *
failures_new (void)
{
  struct rst_failures *failures = g_new0 (struct rst_failures, 1);

  failures->ranges = g_array_new (FALSE, FALSE, sizeof (struct range));
  return failures;
}

void
rst_failures_destroy (struct rst_failures *failures)
{
  if (failures == NULL)
    return;
  g_array_free (failures->ranges, TRUE);
  g_free (failures);
}

int
rst_failures_count (const struct rst_failures *failures)
{
  return failures != NULL ? failures->count : 0;
}

static struct range *
get_range (const struct rst_failures *failures, guint index)
{
  return &g_array_index (failures->ranges, struct range, index);
}

/* Returns the index of the first range that ends at an attempt or after it.
   Searches from the end, where attempts are usually added. */
static guint
find_range (const struct rst_failures *failures, int attempt)
{
  guint index = failures->ranges->len;

  while (index > 0 && get_range (failures, index - 1)->last >= attempt)
    index--;
  return index;
}

/* Adds an attempt to the ranges.  Returns false if it is in one. */
static bool
add_attempt (struct rst_failures *failures, int attempt)
{
  guint index = find_range (failures, attempt);
  struct range *next
      = index < failures->ranges->len ? get_range (failures, index) : NULL;
  struct range *previous = index > 0 ? get_range (failures, index - 1) : NULL;
  bool follows = previous != NULL && previous->last == attempt - 1;
  bool precedes = next != NULL && next->first == attempt + 1;
  struct range range = { attempt, attempt };

  if (next != NULL && next->first <= attempt)
    return false;
  if (follows && precedes)
    {
      previous->last = next->last;
      g_array_remove_index (failures->ranges, index);
    }
  else if (follows)
    previous->last = attempt;
  else if (precedes)
    next->first = attempt;
  else
    g_array_insert_val (failures->ranges, index, range);
  return true;
}

bool
rst_failures_add (struct rst_failures **failures, int attempt)
{
  if (*failures == NULL)
    *failures = failures_new ();
  if (!add_attempt (*failures, attempt))
    return false;
  (*failures)->count++;
  return true;
}

void
rst_failures_settle (struct rst_failures *failures, int attempt)
{
  if (failures != NULL)
    add_attempt (failures, attempt);
}

void
rst_failures_cut (struct rst_failures *failures, int count_max)
{
  if (failures != NULL)
    failures->count = MIN (failures->count, count_max);
}

void
rst_failures_pack (const struct rst_failures *failures, struct rst_pack *pack)
{
  rst_pack_array (pack, 1 + 2 * (size_t)failures->ranges->len);
  rst_pack_int (pack, failures->count);
  for (guint i = 0; i < failures->ranges->len; i++)
    {
      rst_pack_int (pack, get_range (failures, i)->first);
      rst_pack_int (pack, get_range (failures, i)->last);
    }
}

struct rst_failures *
rst_failures_read (struct rst_reader *reader)
{
  struct rst_reader in = rst_reader_read_array (reader);
  struct rst_failures *failures = failures_new ();

  failures->count = (int)rst_reader_read_int (&in);
  while (!in.bad && in.position < in.count)
    {
      struct range range;

      range.first = (int)rst_reader_read_int (&in);
      range.last = (int)rst_reader_read_int (&in);
      g_array_append_val (failures->ranges, range);
    }
  reader->bad |= in.bad;
  if (!in.bad && failures->count > 0)
    return failures;
  rst_failures_destroy (failures);
  return NULL;
}
