#include "daemon/cell_loop.h"

#include <stdatomic.h>
#include <string.h>
#include <unistd.h>

#include "transport/transport.h"
#include "util/os.h"

/** Bound on waiting events. */
#define LOOP_QUEUE_SIZE 32768

/** Bounds on frames and on unsent bytes of a link. */
#define LINK_FRAME_MAX (4 * 1024 * 1024)
#define LINK_BUFFER_MAX (16 * 1024 * 1024)

/** Heartbeats of a link, and silence after which it is closed. */
#define LINK_HEARTBEAT_MS 500
#define LINK_SILENT_MS 1000

/** Pause of a poster while the mailbox is full, in microseconds. */
#define LOOP_FULL_PAUSE_US 1000

struct rst_cell_loop
{
  struct rst_cell_loop_config config;
  struct rst_mailbox *mailbox;
  struct rst_net *net;
  const struct rst_backend *backend;
  struct rst_backend posted;
  atomic_bool stop;
};

struct link_event
{
  struct rst_cell_event event;
  struct rst_cell_loop *loop;
  enum rst_net_event kind;
  uint64_t link;
  GByteArray *data;
};

struct answer_event
{
  struct rst_cell_event event;
  struct rst_cell_loop *loop;
  union
  {
    rst_store_done store;
    rst_instance_done instance;
    rst_advice_done advice;
  } done;
  void *userdata;
  void *answer;
};

struct rst_cell_loop *
rst_cell_loop_create (const struct rst_cell_loop_config *config)
{
  struct rst_cell_loop *loop = g_new0 (struct rst_cell_loop, 1);

  loop->config = *config;
  loop->mailbox = rst_mailbox_create (LOOP_QUEUE_SIZE);
  if (loop->mailbox == NULL)
    {
      g_free (loop);
      return NULL;
    }
  return loop;
}

void
rst_cell_loop_destroy (struct rst_cell_loop *loop)
{
  if (loop == NULL)
    return;
  rst_net_destroy (loop->net);
  rst_mailbox_destroy (loop->mailbox);
  g_free (loop);
}

void
rst_cell_loop_post (struct rst_cell_loop *loop, struct rst_cell_event *event)
{
  while (!rst_mailbox_post (loop->mailbox, event))
    usleep (LOOP_FULL_PAUSE_US);
}

static void
run_link (struct rst_cell_event *base)
{
  struct link_event *event = (struct link_event *)base;
  struct rst_cell_loop *loop = event->loop;

  loop->config.link (loop->config.userdata, event->kind, event->link,
                     event->data->data, event->data->len);
  g_byte_array_free (event->data, TRUE);
  g_free (event);
}

static void
on_net (enum rst_net_event kind, uint64_t connection, const void *data,
        size_t length, void *userdata)
{
  struct link_event *event = g_new0 (struct link_event, 1);

  event->event.run = run_link;
  event->loop = userdata;
  event->kind = kind;
  event->link = connection;
  event->data = g_byte_array_new ();
  if (length > 0)
    g_byte_array_append (event->data, data, (guint)length);
  rst_cell_loop_post (event->loop, &event->event);
}

int
rst_cell_loop_listen (struct rst_cell_loop *loop, const char *address)
{
  struct rst_net_config config = { 0 };

  config.listen = address;
  config.max_frame = LINK_FRAME_MAX;
  config.max_buffered = LINK_BUFFER_MAX;
  config.heartbeat_ms = LINK_HEARTBEAT_MS;
  config.silent_ms = LINK_SILENT_MS;
  config.handler = on_net;
  config.userdata = loop;
  return rst_net_create (&config, &loop->net);
}

struct rst_net *
rst_cell_loop_net (struct rst_cell_loop *loop)
{
  return loop->net;
}

static struct answer_event *
answer_event (struct rst_cell_loop *loop,
              void (*run) (struct rst_cell_event *), void *userdata)
{
  struct answer_event *event = g_new0 (struct answer_event, 1);

  event->event.run = run;
  event->loop = loop;
  event->userdata = userdata;
  return event;
}

static void
run_store (struct rst_cell_event *base)
{
  struct answer_event *event = (struct answer_event *)base;

  event->done.store (event->answer, event->userdata);
  g_free (event);
}

static void
run_instance (struct rst_cell_event *base)
{
  struct answer_event *event = (struct answer_event *)base;

  event->done.instance (event->answer, event->userdata);
  g_free (event);
}

static void
run_advice (struct rst_cell_event *base)
{
  struct answer_event *event = (struct answer_event *)base;

  event->done.advice (event->answer, event->userdata);
  g_free (event);
}

static void
post_answer (struct answer_event *event, void *answer)
{
  event->answer = answer;
  rst_cell_loop_post (event->loop, &event->event);
}

static void
on_store (struct rst_store_answer *answer, void *userdata)
{
  post_answer (userdata, answer);
}

static void
on_instance (struct rst_instance_answer *answer, void *userdata)
{
  post_answer (userdata, answer);
}

static void
on_advice (struct rst_advice_answer *answer, void *userdata)
{
  post_answer (userdata, answer);
}

static struct answer_event *
store_event (struct rst_cell_loop *loop, rst_store_done done, void *done_data)
{
  struct answer_event *event = answer_event (loop, run_store, done_data);

  event->done.store = done;
  return event;
}

static struct answer_event *
instance_event (struct rst_cell_loop *loop, rst_instance_done done,
                void *done_data)
{
  struct answer_event *event = answer_event (loop, run_instance, done_data);

  event->done.instance = done;
  return event;
}

static void
store_get (void *userdata, const char *key, rst_store_done done,
           void *done_data)
{
  struct rst_cell_loop *loop = userdata;

  loop->backend->store_get (loop->backend->userdata, key, on_store,
                            store_event (loop, done, done_data));
}

static void
store_range (void *userdata, const char *prefix, const char *after,
             rst_store_done done, void *done_data)
{
  struct rst_cell_loop *loop = userdata;

  loop->backend->store_range (loop->backend->userdata, prefix, after, on_store,
                              store_event (loop, done, done_data));
}

static void
store_watch (void *userdata, const char *prefix, int64_t after,
             int64_t wait_ms, rst_store_done done, void *done_data)
{
  struct rst_cell_loop *loop = userdata;

  loop->backend->store_watch (loop->backend->userdata, prefix, after, wait_ms,
                              on_store, store_event (loop, done, done_data));
}

static void
store_commit (void *userdata, const struct rst_store_write *writes, int count,
              rst_store_done done, void *done_data)
{
  struct rst_cell_loop *loop = userdata;

  loop->backend->store_commit (loop->backend->userdata, writes, count,
                               on_store, store_event (loop, done, done_data));
}

static void
hold (void *userdata, const struct rst_instance_call *call,
      rst_instance_done done, void *done_data)
{
  struct rst_cell_loop *loop = userdata;

  loop->backend->hold (loop->backend->userdata, call, on_instance,
                       instance_event (loop, done, done_data));
}

static void
start (void *userdata, const struct rst_instance_call *call,
       rst_instance_done done, void *done_data)
{
  struct rst_cell_loop *loop = userdata;

  loop->backend->start (loop->backend->userdata, call, on_instance,
                        instance_event (loop, done, done_data));
}

static void
stop (void *userdata, const struct rst_instance_call *call,
      rst_instance_done done, void *done_data)
{
  struct rst_cell_loop *loop = userdata;

  loop->backend->stop (loop->backend->userdata, call, on_instance,
                       instance_event (loop, done, done_data));
}

static void
advise (void *userdata, const char *step, const char *const *ids, int count,
        rst_advice_done done, void *done_data)
{
  struct rst_cell_loop *loop = userdata;
  struct answer_event *event = answer_event (loop, run_advice, done_data);

  event->done.advice = done;
  loop->backend->advise (loop->backend->userdata, step, ids, count, on_advice,
                         event);
}

const struct rst_backend *
rst_cell_loop_backend (struct rst_cell_loop *loop,
                       const struct rst_backend *backend)
{
  struct rst_backend table
      = { store_get, store_range, store_watch, store_commit, hold,
          start,     stop,        advise,      loop };

  loop->backend = backend;
  loop->posted = table;
  return &loop->posted;
}

void
rst_cell_loop_run (struct rst_cell_loop *loop)
{
  rst_ms wake = rst_os_now ();

  while (!atomic_load (&loop->stop))
    {
      struct rst_cell_event *event;
      rst_ms now = rst_os_now ();

      if (wake > now)
        rst_mailbox_wait (loop->mailbox, (int)(wake - now));
      while ((event = rst_mailbox_take (loop->mailbox)) != NULL)
        event->run (event);
      wake = loop->config.tick (loop->config.userdata);
    }
}

static void
run_nothing (struct rst_cell_event *event)
{
  g_free (event);
}

void
rst_cell_loop_stop (struct rst_cell_loop *loop)
{
  struct rst_cell_event *event = g_new0 (struct rst_cell_event, 1);

  event->run = run_nothing;
  atomic_store (&loop->stop, true);
  rst_cell_loop_post (loop, event);
}
