#include "util/os.h"

#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <sys/eventfd.h>
#include <sys/random.h>
#include <sys/resource.h>
#include <time.h>
#include <unistd.h>

#define US_PER_SECOND 1000000
#define NS_PER_SECOND 1000000000

int64_t
rst_os_now_ns (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_BOOTTIME, &ts);
  return (int64_t)ts.tv_sec * NS_PER_SECOND + ts.tv_nsec;
}

int64_t
rst_os_now_us (void)
{
  return rst_os_now_ns () / 1000;
}

rst_ms
rst_os_now (void)
{
  return rst_os_now_us () / 1000;
}

static rst_ms
os_clock_now (void *userdata)
{
  (void)userdata;
  return rst_os_now ();
}

struct rst_clock
rst_os_clock (void)
{
  struct rst_clock clock = { os_clock_now, NULL };

  return clock;
}

uint64_t
rst_os_random (void)
{
  uint64_t value = 0;

  if (getrandom (&value, sizeof value, 0) != sizeof value)
    value = (uint64_t)rst_os_now_us () * 0x9E3779B97F4A7C15ULL;
  return value;
}

static void
get_stop_signals (sigset_t *set)
{
  sigemptyset (set);
  sigaddset (set, SIGTERM);
  sigaddset (set, SIGINT);
}

void
rst_os_block_signals (void)
{
  sigset_t set;

  get_stop_signals (&set);
  pthread_sigmask (SIG_BLOCK, &set, NULL);
  signal (SIGPIPE, SIG_IGN);
  /* SIGHUP announces changed settings, but a running process keeps those it
     started with. */
  signal (SIGHUP, SIG_IGN);
}

int
rst_os_wait_stop_signal (void)
{
  sigset_t set;
  int number = 0;

  get_stop_signals (&set);
  while (sigwait (&set, &number) != 0)
    continue;
  return number;
}

int
rst_os_event_create (void)
{
  return eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
}

void
rst_os_event_signal (int fd)
{
  uint64_t one = 1;

  while (write (fd, &one, sizeof one) < 0 && errno == EINTR)
    continue;
}

void
rst_os_event_clear (int fd)
{
  uint64_t count;

  while (read (fd, &count, sizeof count) < 0 && errno == EINTR)
    continue;
}

int64_t
rst_os_cpu_time_us (void)
{
  struct rusage usage;

  getrusage (RUSAGE_SELF, &usage);
  return ((int64_t)usage.ru_utime.tv_sec + usage.ru_stime.tv_sec)
             * US_PER_SECOND
         + usage.ru_utime.tv_usec + usage.ru_stime.tv_usec;
}

int64_t
rst_os_resident_kib (void)
{
  long total = 0;
  long resident = 0;
  FILE *file = fopen ("/proc/self/statm", "r");

  if (file == NULL)
    return 0;
  if (fscanf (file, "%ld %ld", &total, &resident) != 2)
    resident = 0;
  fclose (file);
  return (int64_t)resident * (sysconf (_SC_PAGESIZE) / 1024);
}
