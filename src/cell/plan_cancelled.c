/* Cancels of jobs that do not exist.

   A caller that gave up waiting cancels its job at another entry instance and
   is told that there is no such job.  Its submission may still be on its way:
   in the socket of a suspended process, in an entry instance that waits for a
   planner, or on a link.  So the id is noted, in the store before the caller
   gets its answer, and a submission that may have been sent before the cancel
   is rejected.  One that was certainly sent later is the caller's new wish.

   A note is a cancelled job without steps. */
#include "cell/planner_private.h"

/** How old a submission may be, in milliseconds.  Older ones are rejected, so
    that notes can be forgotten.  Entry instances reject a call at its caller's
    deadline, usually long before. */
#define SUBMISSION_AGE_MAX_MS 12000

/** How long a note is kept at least, in milliseconds. */
#define NOTE_RETENTION_MS (SUBMISSION_AGE_MAX_MS + 3000)

/** Most notes at a time; further cancels of unknown ids are rejected.  A note
    takes under 1 KB of memory and about 100 bytes of the journal. */
#define NOTES_MAX 4096

/** Shortest time between two searches for outdated notes, in milliseconds. */
#define NOTE_SWEEP_INTERVAL_MS 1000

bool
rst_plan_note_is_outdated (const struct rst_planner *planner,
                           const struct job *note)
{
  return planner->now - note->ended_at >= NOTE_RETENTION_MS;
}

struct job *
rst_plan_note_new (struct rst_planner *planner, const char *id,
                   struct queue *queue, struct customer *customer)
{
  struct rst_jobdesc *desc = rst_jobdesc_create (0);
  struct job *note;

  desc->spec = g_strdup ("");
  note = rst_plan_job_new (planner, id, queue, customer, desc);
  queue->pending--;
  note->is_note = true;
  note->state = RST_JOB_CANCELLED;
  note->ended_at = planner->now;
  planner->note_count++;
  return note;
}

void
rst_plan_note_free (struct rst_planner *planner, struct job *note)
{
  planner->note_count--;
  g_hash_table_remove (planner->jobs, note->id);
}

/* Frees the notes that are no longer needed.  The journal may keep them for
   longer, which does no harm to a successor. */
static void
free_outdated_notes (struct rst_planner *planner)
{
  GHashTableIter iter;
  gpointer value;

  if (planner->now < planner->next_note_sweep_at)
    return;
  planner->next_note_sweep_at = planner->now + NOTE_SWEEP_INTERVAL_MS;
  g_hash_table_iter_init (&iter, planner->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct job *job = value;

      if (!job->is_note || !rst_plan_note_is_outdated (planner, job)
          || !rst_plan_job_is_recorded (planner, job))
        continue;
      planner->note_count--;
      g_hash_table_iter_remove (&iter);
    }
}

struct job *
rst_plan_note_cancel (struct rst_planner *planner, const char *id,
                      struct queue *queue, struct customer *customer)
{
  struct job *note;

  if (planner->note_count >= NOTES_MAX)
    free_outdated_notes (planner);
  if (planner->note_count >= NOTES_MAX)
    {
      planner->stats.notes_rejected++;
      return NULL;
    }
  note = rst_plan_note_new (planner, id, queue, customer);
  rst_plan_mark_dirty (planner, note);
  rst_info (RST_PLAN_LOG, "Cancel of an unknown job is noted.", "job", id);
  return note;
}

/* Why a submission must not be accepted, or NULL. */
static const char *
find_objection (const struct rst_planner *planner, const struct job *note,
                rst_ms sent_at)
{
  if (sent_at != 0 && planner->now - sent_at > SUBMISSION_AGE_MAX_MS)
    return "sent too long ago";
  if (note == NULL)
    return NULL;
  if (sent_at <= note->ended_at
      && !RST_CELL_FAULT (RST_CELL_FAULT_IGNORE_NOTES))
    return "cancelled since it was sent";
  /* Its removal has to wait for the commit under way. */
  if (!rst_plan_job_is_recorded (planner, note))
    return "its cancel is not stored yet";
  return NULL;
}

bool
rst_plan_submission_is_outdated (struct rst_planner *planner, const char *id,
                                 const struct job *note, rst_ms sent_at)
{
  const char *why = find_objection (planner, note, sent_at);
  char age_ms[24] = "unknown";

  if (why == NULL)
    return false;
  if (sent_at != 0)
    g_snprintf (age_ms, sizeof age_ms, "%lld",
                (long long)(planner->now - sent_at));
  planner->stats.outdated++;
  rst_info (RST_PLAN_LOG, "Submission rejected; it may be outdated.", "job",
            id, "why", why, "age_ms", age_ms);
  return true;
}
