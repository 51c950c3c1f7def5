/**
 * DOC: os - clock, event descriptors and termination signals
 *
 * All other modules read the system's monotonic clock and handle signals
 * through these functions only.
 */
#ifndef RST_OS_H
#define RST_OS_H

#include "rosemarystile.h"

/**
 * struct rst_clock - Source of the time, replaceable by tests.
 * @now: Returns the current time in milliseconds.
 * @userdata: Passed to @now.
 */
struct rst_clock
{
  rst_ms (*now) (void *userdata);
  void *userdata;
};

/**
 * rst_clock_now() - Returns the current time of a clock.
 * @clock: The clock.
 */
static inline rst_ms
rst_clock_now (const struct rst_clock *clock)
{
  return clock->now (clock->userdata);
}

/**
 * rst_os_clock() - Returns the system's monotonic clock.
 *
 * It also advances while the machine is suspended (CLOCK_BOOTTIME).
 */
struct rst_clock rst_os_clock (void);

/** rst_os_now() - Returns the time of that clock in milliseconds. */
rst_ms rst_os_now (void);

/** rst_os_now_us() - Returns it in microseconds, for measurements. */
int64_t rst_os_now_us (void);

/** rst_os_now_ns() - Returns it in nanoseconds, for measurements. */
int64_t rst_os_now_ns (void);

/** rst_os_random() - Returns an unpredictable 64-bit number. */
uint64_t rst_os_random (void);

/**
 * rst_os_block_signals() - Blocks SIGTERM and SIGINT, ignores SIGPIPE and
 * SIGHUP.
 *
 * Must be called before any thread is started, so that all threads inherit the
 * signal mask.
 */
void rst_os_block_signals (void);

/**
 * rst_os_wait_stop_signal() - Waits for SIGTERM or SIGINT.
 *
 * rst_os_block_signals() must have been called.
 *
 * Return: The number of the signal.
 */
int rst_os_wait_stop_signal (void);

/** rst_os_event_create() - Opens an event descriptor; -1 on failure. */
int rst_os_event_create (void);

/** rst_os_event_signal() - Makes an event descriptor readable. */
void rst_os_event_signal (int fd);

/** rst_os_event_clear() - Resets an event descriptor. */
void rst_os_event_clear (int fd);

/** rst_os_cpu_time_us() - Returns the CPU time that this process has used. */
int64_t rst_os_cpu_time_us (void);

/** rst_os_resident_kib() - Returns this process's resident memory, or 0. */
int64_t rst_os_resident_kib (void);

#endif
