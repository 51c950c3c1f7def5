/* Handles messages from schedulers. */
#include "coordination/entry_private.h"

#include <stdlib.h>
#include <string.h>
#include <glib.h>

#define LOG_DOMAIN "route"

static void
handle_hello (struct rst_entry *entry, struct scheduler_peer *peer,
              const struct rst_hello *hello)
{
  (void)entry;
  peer->is_scheduler = hello->role == RST_ROLE_SCHEDULER;
  g_strlcpy (peer->incarnation, hello->incarnation, RST_NAME_SIZE);
  g_strlcpy (peer->zone, hello->zone, RST_NAME_SIZE);
  g_strlcpy (peer->address, hello->address, RST_ADDRESS_SIZE);
}

static void
handle_branch (struct rst_entry *entry,
               const struct rst_settings_branch *branch)
{
  GString *problems = g_string_new ("");
  int error
      = rst_settings_apply (entry->settings, branch->key, branch->revision,
                            branch->value.data, problems);
  char revision[24];

  g_snprintf (revision, sizeof revision, "%" G_GUINT64_FORMAT,
              branch->revision);
  if (error == RST_STATE_OK)
    {
      /* A digest is sent at the next tick, since the status of schedulers
         shows the settings that each entry applies. */
      entry->digest_next_at = 0;
      rst_info ("settings", "Settings branch applied.", "key", branch->key,
                "revision", revision);
    }
  else if (error == RST_STATE_INVALID)
    rst_warning ("settings",
                 "Settings branch rejected; its old value is kept.", "key",
                 branch->key, "problem", g_strchomp (problems->str));
  g_string_free (problems, TRUE);
}

static void
handle_answer (struct rst_entry *entry, uint64_t link,
               const struct rst_message *message)
{
  struct pending_request *pending
      = g_hash_table_lookup (entry->pending, &message->id);
  const struct rst_answer *answer = &message->answer;
  struct rst_entry_reply reply = { 0 };

  /* Late answers, and answers of a scheduler to which the request was not
     sent last, are ignored. */
  if (pending == NULL || pending->link != link
      || pending->message.type != RST_QUERY)
    return;
  if (answer->outcome == RST_REQUEST_NOT_RUN && answer->status == 503
      && rst_entry_retry_pending (entry, pending))
    return;
  if (answer->outcome != RST_REQUEST_ANSWERED)
    {
      rst_entry_fail_pending (entry, pending, (unsigned)answer->status,
                              answer->outcome, answer->reason, answer->detail);
      return;
    }
  reply.status = (unsigned)answer->status;
  reply.body = answer->body.data;
  reply.length = RST_FAULT (RST_FAULT_TRUNCATE_ANSWER)
                     ? answer->body.length / 2
                     : answer->body.length;
  rst_entry_count_outcome (entry, RST_REQUEST_ANSWERED);
  entry->reply_callback (pending->handle, &reply);
  rst_entry_remove_pending (entry, pending);
}

static void
handle_job_reply (struct rst_entry *entry, uint64_t link,
                  const struct rst_message *message)
{
  struct pending_request *pending
      = g_hash_table_lookup (entry->pending, &message->id);
  struct rst_entry_reply reply = { 0 };

  if (pending == NULL || pending->link != link
      || pending->message.type != RST_JOB_CALL)
    return;
  reply.status = (unsigned)message->job_reply.status;
  reply.body = message->job_reply.body.data;
  reply.length = message->job_reply.body.length;
  reply.retry_after_s = reply.status == 503 ? 1 : 0;
  rst_entry_count_outcome (entry, reply.status < 300 ? RST_REQUEST_ANSWERED
                                  : reply.status < 504
                                      ? RST_REQUEST_NOT_RUN
                                      : RST_REQUEST_OUTCOME_UNKNOWN);
  entry->reply_callback (pending->handle, &reply);
  rst_entry_remove_pending (entry, pending);
}

void
rst_entry_handle_message (struct rst_entry *entry, uint64_t link,
                          const struct rst_message *message)
{
  struct scheduler_peer *peer = rst_entry_find_peer (entry, link);

  if (peer == NULL)
    return;
  peer->last_message_at = rst_entry_now (entry);
  switch (message->type)
    {
    case RST_HELLO:
      handle_hello (entry, peer, &message->hello);
      break;
    case RST_SETTINGS_BRANCH:
      handle_branch (entry, &message->branch);
      break;
    case RST_LOAD:
      peer->load = message->load;
      peer->load.incarnation = NULL;
      peer->load.zone = NULL;
      peer->has_load = true;
      peer->sent_since_load_report = 0;
      break;
    case RST_ANSWER:
      handle_answer (entry, link, message);
      break;
    case RST_JOB_REPLY:
      handle_job_reply (entry, link, message);
      break;
    default:
      break;
    }
}
