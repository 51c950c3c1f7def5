/**
 * DOC: journal_private - the records of the journal
 *
 * plan_record.c writes them, plan_restore.c reads them.
 */
#ifndef RST_JOURNAL_PRIVATE_H
#define RST_JOURNAL_PRIVATE_H

/** Flag of a task in the journal: the task is done. */
#define RST_TASK_DONE_FLAG 1

/** Flag of a task in the journal: a task of its job has started. */
#define RST_TASK_STARTED_FLAG 2

/** Flags of a task in the journal that tell where it may run, see
    plan_intent.h: nowhere, or only on the instance whose key follows.  Without
    either it may run anywhere, as in the records of earlier versions. */
#define RST_TASK_NOWHERE_FLAG 4
#define RST_TASK_ON_ONE_FLAG 8

/**
 * enum rst_record_kind - Kinds of journal records; the first member of each.
 * @RST_RECORD_JOB: A job with its description and progress.
 * @RST_RECORD_PROGRESS: The progress of a job recorded earlier.
 * @RST_RECORD_INSTANCE: An instance that takes starts.
 * @RST_RECORD_QUEUE: The settings of a queue.
 * @RST_RECORD_INSTANCE_UNREACHABLE: An unreachable instance, what it may still
 * run and until when.
 * @RST_RECORD_JOB_ENDED: An ended job without its steps.
 * @RST_RECORD_CANCELLED_ID: A note that an id was cancelled which no job had.
 */
enum rst_record_kind
{
  RST_RECORD_JOB = 1,
  RST_RECORD_PROGRESS,
  RST_RECORD_INSTANCE,
  RST_RECORD_QUEUE,
  RST_RECORD_INSTANCE_UNREACHABLE,
  RST_RECORD_JOB_ENDED,
  RST_RECORD_CANCELLED_ID,
};

#endif
