#include "cell/job_tables.h"

bool
rst_job_tables_has_room (int64_t bytes_max, int64_t held_tasks,
                         int64_t new_tasks, int64_t task_bytes)
{
  return bytes_max == 0 || new_tasks <= RST_JOB_TABLES_SMALL_TASKS
         || held_tasks + new_tasks <= bytes_max / task_bytes;
}
