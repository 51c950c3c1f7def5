/*
 * paths - the paths from the system's processes to one runner
 *
 * Forwards TCP connections to a runner.  The path of one process to the
 * runner can be cut: its connections fall silent, without a reset, and new
 * ones get no answer.  What it sent meanwhile is lost.
 */
#ifndef REVIEW_PATHS_H
#define REVIEW_PATHS_H

#include <stdbool.h>
#include <sys/types.h>

struct paths;

/** paths_create() - Listens on a loopback address and forwards to @target. */
struct paths *paths_create (const char *target);

/** paths_address() - Returns the address that paths_create() listens on. */
const char *paths_address (const struct paths *paths);

/** paths_set_cut() - Cuts the path of a process, or heals it. */
void paths_set_cut (struct paths *paths, pid_t pid, bool cut);

/** paths_has_called() - Whether a process sent anything to the runner within
    the last @within_ms. */
bool paths_has_called (struct paths *paths, pid_t pid, long within_ms);

#endif
