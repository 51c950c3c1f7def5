/**
 * DOC: stall - dates what arrives in a process that may stand still
 *
 * A process that is suspended, or gets no processor time, finds requests that
 * were sent long before it reads them.  A watch notes at short intervals that
 * the process runs; a longer gap is a stall.
 */
#ifndef RST_STALL_H
#define RST_STALL_H

#include "rosemarystile.h"

/** Time between two notes, in milliseconds. */
#define RST_STALL_NOTE_INTERVAL_MS 100

/** Gap between two notes from which on it is a stall, in milliseconds. */
#define RST_STALL_MIN_MS 250

/** How long after a stall requests may still arrive that were sent before its
    end, in milliseconds: other threads have to read them first. */
#define RST_STALL_DRAIN_MS 1000

/**
 * struct rst_stall_watch - When a process has run; zero-initialized.
 * @noted_at: The last note; 0 before the first.
 * @began_at: The last note before the last stall.
 * @ended_at: The first note after it; 0 without one.
 */
struct rst_stall_watch
{
  rst_ms noted_at;
  rst_ms began_at;
  rst_ms ended_at;
};

/**
 * rst_stall_watch_note() - Notes that the process runs.
 *
 * Return: Whether a stall has just ended.
 */
bool rst_stall_watch_note (struct rst_stall_watch *watch, rst_ms now);

/**
 * rst_stall_watch_date() - Dates a request that has just arrived.
 *
 * Return: A time at which it had certainly not been sent yet, as far as this
 * process can tell: @now, unless the process stood still a short time ago.
 */
rst_ms rst_stall_watch_date (const struct rst_stall_watch *watch, rst_ms now);

#endif
