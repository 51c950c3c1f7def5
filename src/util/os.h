/**
 * DOC: os - clock, wake-up descriptors and stop signals
 *
 * The only file that asks the operating system for the time or for signals.
 */
#ifndef RST_OS_H
#define RST_OS_H

#include "rosemarystile.h"

/**
 * struct rst_clock - Source of time.
 * @now: Returns the present time.
 * @userdata: Passed to @now.
 */
struct rst_clock
{
  rst_ms (*now) (void *userdata);
  void *userdata;
};

/**
 * rst_clock_now() - Reads a clock.
 * @clock: The clock.
 */
static inline rst_ms
rst_clock_now (const struct rst_clock *clock)
{
  return clock->now (clock->userdata);
}

/** rst_os_clock() - The system's clock; advances during suspension. */
struct rst_clock rst_os_clock (void);

/** rst_os_now() - Time of the system's clock. */
rst_ms rst_os_now (void);

/** rst_os_now_us() - The same clock in microseconds, for measurements. */
int64_t rst_os_now_us (void);

/** rst_os_now_ns() - The same clock in nanoseconds, for measurements. */
int64_t rst_os_now_ns (void);

/** rst_os_random() - An unpredictable number. */
uint64_t rst_os_random (void);

/**
 * rst_os_block_signals() - Blocks stop signals and ignores SIGPIPE.
 *
 * Call it before any thread is started.
 */
void rst_os_block_signals (void);

/**
 * rst_os_wait_stop_signal() - Waits for SIGTERM or SIGINT.
 *
 * Return: The signal's number.
 */
int rst_os_wait_stop_signal (void);

/** rst_os_event_create() - Opens a wake-up descriptor, or returns -1. */
int rst_os_event_create (void);

/** rst_os_event_signal() - Makes a wake-up descriptor readable. */
void rst_os_event_signal (int fd);

/** rst_os_event_clear() - Makes a wake-up descriptor unreadable. */
void rst_os_event_clear (int fd);

/** rst_os_cpu_time_us() - Processor time of this process in microseconds. */
int64_t rst_os_cpu_time_us (void);

/** rst_os_resident_kib() - Resident memory of this process in KiB. */
int64_t rst_os_resident_kib (void);

#endif
