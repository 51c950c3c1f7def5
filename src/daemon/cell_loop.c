#include "daemon/cell_loop.h"

#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <unistd.h>

#include "transport/transport.h"
#include "util/log.h"
#include "util/os.h"
#include "util/stall.h"

#define LOG_DOMAIN "loop"

/** Maximum number of events in the mailbox. */
#define MAILBOX_SIZE 32768

/** Maximum size of a frame, and of the unsent data of a link. */
#define LINK_BUFFER_MAX_BYTES (16 * 1024 * 1024)

/** Time between heartbeats on a link, and the time without any data after
    which it is closed. */
#define LINK_HEARTBEAT_MS 500
#define LINK_SILENCE_TIMEOUT_MS 1000

/** Limits of the server for a status or metrics page. */
#define PAGE_BODY_MAX_BYTES 1024
#define PAGE_CONNECTIONS_MAX 8
#define PAGE_IDLE_TIMEOUT_S 30

/** Maximum number of links that other processes open, if the number of
    descriptors is not known.  The largest cells have some 140. */
#define PEERS_DEFAULT 1024

/** Delay before an event is posted again to a full mailbox, in microseconds.
 */
#define MAILBOX_FULL_PAUSE_US 1000

struct rst_cell_loop
{
  struct rst_cell_loop_config config;
  struct rst_mailbox *mailbox;
  struct rst_net *net;
  struct rst_shared_budget *budget;
  struct rst_shared_budget *link_budget;
  unsigned max_peers;
  /* Bytes of the frames that wait in the mailbox, and their maximum. */
  atomic_size_t waiting_bytes;
  size_t max_waiting_bytes;
  const struct rst_backend *backend;
  struct rst_backend wrapped_backend;
  atomic_bool stop_requested;
  struct rst_stall_watch stall_watch;
};

/* A link was opened or closed, or a frame arrived. */
struct link_event
{
  struct rst_cell_event event;
  struct rst_cell_loop *loop;
  enum rst_net_event kind;
  uint64_t link;
  GByteArray *data;
};

/* The answer to a call of the backend, with the callback that receives it. */
struct answer_event
{
  struct rst_cell_event event;
  struct rst_cell_loop *loop;
  union
  {
    rst_store_done store;
    rst_instance_done instance;
    rst_advice_done advice;
    rst_machines_done machines;
  } done;
  void *userdata;
  void *answer;
};

/* The handler of an HTTP server, to be called on the loop's thread. */
struct http_service
{
  struct rst_cell_loop *loop;
  rst_http_handler handler;
  void *userdata;
};

struct request_event
{
  struct rst_cell_event event;
  const struct http_service *service;
  struct rst_http_request *request;
};

struct stop_event
{
  struct rst_cell_event event;
  struct rst_cell_loop *loop;
  void (*on_stop) (void *userdata);
  void *userdata;
};

struct rst_cell_loop *
rst_cell_loop_create (const struct rst_cell_loop_config *config)
{
  struct rst_cell_loop *loop = g_new0 (struct rst_cell_loop, 1);

  loop->config = *config;
  loop->budget
      = rst_shared_budget_create (rst_body_limits_get_bytes (config->limits));
  /* Links and requests are closed by different threads, so each has a budget.
     A process has many of only one kind. */
  loop->link_budget
      = rst_shared_budget_create (rst_body_limits_get_bytes (config->limits));
  loop->max_waiting_bytes = rst_body_limits_get_bytes (config->limits);
  loop->max_peers = rst_body_limits_get_peers (config->limits, PEERS_DEFAULT);
  loop->mailbox = rst_mailbox_create (MAILBOX_SIZE);
  if (loop->mailbox == NULL)
    {
      rst_shared_budget_destroy (loop->budget);
      rst_shared_budget_destroy (loop->link_budget);
      g_free (loop);
      return NULL;
    }
  return loop;
}

void
rst_cell_loop_read_limit_stats (struct rst_cell_loop *loop,
                                struct rst_body_stats *out)
{
  struct rst_body_stats links;

  rst_shared_budget_read_stats (loop->budget, out);
  rst_shared_budget_read_stats (loop->link_budget, &links);
  rst_body_stats_add (out, &links);
}

struct rst_shared_budget *
rst_cell_loop_get_budget (struct rst_cell_loop *loop)
{
  return loop->budget;
}

void
rst_cell_loop_post (struct rst_cell_loop *loop, struct rst_cell_event *event)
{
  while (!rst_mailbox_post (loop->mailbox, event))
    usleep (MAILBOX_FULL_PAUSE_US);
}

static void
run_link_event (struct rst_cell_event *base)
{
  struct link_event *event = (struct link_event *)base;
  struct rst_cell_loop *loop = event->loop;

  loop->config.on_link_event (loop->config.userdata, event->kind, event->link,
                              event->data->data, event->data->len);
  atomic_fetch_sub (&loop->waiting_bytes, event->data->len);
  g_byte_array_free (event->data, TRUE);
  g_free (event);
}

/* Frees the link events that were not handled. */
static void
discard_link_events (struct rst_cell_loop *loop)
{
  struct rst_cell_event *event;

  while ((event = rst_mailbox_take (loop->mailbox)) != NULL)
    if (event->run == run_link_event)
      {
        g_byte_array_free (((struct link_event *)event)->data, TRUE);
        g_free (event);
      }
}

void
rst_cell_loop_destroy (struct rst_cell_loop *loop)
{
  if (loop == NULL)
    return;
  rst_net_destroy (loop->net);
  discard_link_events (loop);
  rst_shared_budget_destroy (loop->link_budget);
  rst_shared_budget_destroy (loop->budget);
  rst_mailbox_destroy (loop->mailbox);
  g_free (loop);
}

/* Frames wait in the kernel, and then at their senders, while too many wait
   here.  A frame above the maximum waits until it is alone. */
static void
wait_for_room (struct rst_cell_loop *loop, size_t length)
{
  while (!atomic_load (&loop->stop_requested))
    {
      size_t waiting = atomic_load (&loop->waiting_bytes);

      if (waiting == 0 || waiting + length <= loop->max_waiting_bytes)
        return;
      usleep (MAILBOX_FULL_PAUSE_US);
    }
}

static void
post_link_event (enum rst_net_event kind, uint64_t connection,
                 const void *data, size_t length, void *userdata)
{
  struct link_event *event = g_new0 (struct link_event, 1);

  event->event.run = run_link_event;
  event->loop = userdata;
  event->kind = kind;
  event->link = connection;
  event->data = g_byte_array_new ();
  if (length > 0)
    {
      wait_for_room (event->loop, length);
      g_byte_array_append (event->data, data, (guint)length);
      atomic_fetch_add (&event->loop->waiting_bytes, length);
    }
  rst_cell_loop_post (event->loop, &event->event);
}

int
rst_cell_loop_listen (struct rst_cell_loop *loop, const char *address)
{
  struct rst_net_config config = { 0 };

  config.listen = address;
  config.max_frame_bytes = RST_CELL_FRAME_MAX_BYTES;
  config.max_unsent_bytes = LINK_BUFFER_MAX_BYTES;
  config.heartbeat_interval_ms = LINK_HEARTBEAT_MS;
  config.receive_timeout_ms = LINK_SILENCE_TIMEOUT_MS;
  config.max_accepted = loop->max_peers;
  config.budget = loop->link_budget;
  config.handler = post_link_event;
  config.userdata = loop;
  return rst_net_create (&config, &loop->net);
}

const char *
rst_cell_loop_get_address (const struct rst_cell_loop *loop)
{
  return rst_net_address (loop->net);
}

uint64_t
rst_cell_loop_open_link (void *loop, const char *address)
{
  return rst_net_connect (((struct rst_cell_loop *)loop)->net, address);
}

void
rst_cell_loop_close_link (void *loop, uint64_t link)
{
  rst_net_close (((struct rst_cell_loop *)loop)->net, link);
}

void
rst_cell_loop_send_frame (void *loop, uint64_t link, const void *data,
                          size_t length)
{
  rst_net_send (((struct rst_cell_loop *)loop)->net, link, data, length);
}

static struct answer_event *
new_answer_event (struct rst_cell_loop *loop,
                  void (*run) (struct rst_cell_event *), void *userdata)
{
  struct answer_event *event = g_new0 (struct answer_event, 1);

  event->event.run = run;
  event->loop = loop;
  event->userdata = userdata;
  return event;
}

static void
run_store_callback (struct rst_cell_event *base)
{
  struct answer_event *event = (struct answer_event *)base;

  event->done.store (event->answer, event->userdata);
  g_free (event);
}

static void
run_instance_callback (struct rst_cell_event *base)
{
  struct answer_event *event = (struct answer_event *)base;

  event->done.instance (event->answer, event->userdata);
  g_free (event);
}

static void
run_advice_callback (struct rst_cell_event *base)
{
  struct answer_event *event = (struct answer_event *)base;

  event->done.advice (event->answer, event->userdata);
  g_free (event);
}

static void
run_machines_callback (struct rst_cell_event *base)
{
  struct answer_event *event = (struct answer_event *)base;

  event->done.machines (event->answer, event->userdata);
  g_free (event);
}

static void
post_answer (struct answer_event *event, void *answer)
{
  event->answer = answer;
  rst_cell_loop_post (event->loop, &event->event);
}

static void
post_store_answer (struct rst_store_answer *answer, void *userdata)
{
  post_answer (userdata, answer);
}

static void
post_instance_answer (struct rst_instance_answer *answer, void *userdata)
{
  post_answer (userdata, answer);
}

static void
post_advice_answer (struct rst_advice_answer *answer, void *userdata)
{
  post_answer (userdata, answer);
}

static void
post_machines_answer (struct rst_machines_answer *answer, void *userdata)
{
  post_answer (userdata, answer);
}

static struct answer_event *
new_store_event (struct rst_cell_loop *loop, rst_store_done done,
                 void *done_data)
{
  struct answer_event *event
      = new_answer_event (loop, run_store_callback, done_data);

  event->done.store = done;
  return event;
}

static struct answer_event *
new_instance_event (struct rst_cell_loop *loop, rst_instance_done done,
                    void *done_data)
{
  struct answer_event *event
      = new_answer_event (loop, run_instance_callback, done_data);

  event->done.instance = done;
  return event;
}

static void
store_get (void *userdata, const char *key, rst_store_done done,
           void *done_data)
{
  struct rst_cell_loop *loop = userdata;

  loop->backend->store_get (loop->backend->userdata, key, post_store_answer,
                            new_store_event (loop, done, done_data));
}

static void
store_range (void *userdata, const char *prefix, const char *after,
             rst_store_done done, void *done_data)
{
  struct rst_cell_loop *loop = userdata;

  loop->backend->store_range (loop->backend->userdata, prefix, after,
                              post_store_answer,
                              new_store_event (loop, done, done_data));
}

static void
store_watch (void *userdata, const char *prefix, int64_t after,
             int64_t wait_ms, rst_store_done done, void *done_data)
{
  struct rst_cell_loop *loop = userdata;

  loop->backend->store_watch (loop->backend->userdata, prefix, after, wait_ms,
                              post_store_answer,
                              new_store_event (loop, done, done_data));
}

static void
store_commit (void *userdata, const struct rst_store_write *writes, int count,
              rst_store_done done, void *done_data)
{
  struct rst_cell_loop *loop = userdata;

  loop->backend->store_commit (loop->backend->userdata, writes, count,
                               post_store_answer,
                               new_store_event (loop, done, done_data));
}

static void
instance_hold (void *userdata, const struct rst_instance_call *call,
               rst_instance_done done, void *done_data)
{
  struct rst_cell_loop *loop = userdata;

  loop->backend->hold (loop->backend->userdata, call, post_instance_answer,
                       new_instance_event (loop, done, done_data));
}

static void
instance_start (void *userdata, const struct rst_instance_call *call,
                rst_instance_done done, void *done_data)
{
  struct rst_cell_loop *loop = userdata;

  loop->backend->start (loop->backend->userdata, call, post_instance_answer,
                        new_instance_event (loop, done, done_data));
}

static void
instance_stop (void *userdata, const struct rst_instance_call *call,
               rst_instance_done done, void *done_data)
{
  struct rst_cell_loop *loop = userdata;

  loop->backend->stop (loop->backend->userdata, call, post_instance_answer,
                       new_instance_event (loop, done, done_data));
}

static void
instance_pace (void *userdata, const struct rst_instance_call *call,
               rst_instance_done done, void *done_data)
{
  struct rst_cell_loop *loop = userdata;

  loop->backend->pace (loop->backend->userdata, call, post_instance_answer,
                       new_instance_event (loop, done, done_data));
}

static void
request_advice (void *userdata, const char *step, const char *const *ids,
                int count, rst_advice_done done, void *done_data)
{
  struct rst_cell_loop *loop = userdata;
  struct answer_event *event
      = new_answer_event (loop, run_advice_callback, done_data);

  event->done.advice = done;
  loop->backend->advise (loop->backend->userdata, step, ids, count,
                         post_advice_answer, event);
}

static void
list_machines (void *userdata, const char *page, rst_machines_done done,
               void *done_data)
{
  struct rst_cell_loop *loop = userdata;
  struct answer_event *event
      = new_answer_event (loop, run_machines_callback, done_data);

  event->done.machines = done;
  loop->backend->list_machines (loop->backend->userdata, page,
                                post_machines_answer, event);
}

const struct rst_backend *
rst_cell_loop_wrap_backend (struct rst_cell_loop *loop,
                            const struct rst_backend *backend)
{
  struct rst_backend wrapped
      = { store_get,      store_range,    store_watch,   store_commit,
          instance_hold,  instance_start, instance_stop, instance_pace,
          request_advice, list_machines,  loop };

  if (backend->list_machines == NULL)
    wrapped.list_machines = NULL;

  loop->backend = backend;
  loop->wrapped_backend = wrapped;
  return &loop->wrapped_backend;
}

static void
run_http_handler (struct rst_cell_event *base)
{
  struct request_event *event = (struct request_event *)base;

  event->service->handler (event->request, event->service->userdata);
  g_free (event);
}

/* Runs on the server's thread. */
static void
post_http_request (struct rst_http_request *request, void *userdata)
{
  struct request_event *event = g_new0 (struct request_event, 1);

  event->event.run = run_http_handler;
  event->service = userdata;
  event->request = request;
  rst_cell_loop_post (event->service->loop, &event->event);
}

int
rst_cell_loop_start_http_server (struct rst_cell_loop *loop,
                                 const struct rst_http_server_config *config,
                                 struct rst_http_server **out)
{
  struct rst_http_server_config server_config = *config;
  /* Never freed: the server may use it until the process exits. */
  struct http_service *service = g_new0 (struct http_service, 1);

  service->loop = loop;
  service->handler = config->handler;
  service->userdata = config->userdata;
  server_config.budget = loop->budget;
  server_config.handler = post_http_request;
  server_config.userdata = service;
  return rst_http_server_create (&server_config, out);
}

int
rst_cell_loop_start_page_server (struct rst_cell_loop *loop,
                                 const char *address, rst_http_handler handler,
                                 void *userdata)
{
  struct rst_http_server_config config = { 0 };
  struct rst_http_server *server;

  if (address[0] == '\0')
    return RST_TRANSPORT_OK;
  config.address = address;
  config.max_body_bytes = PAGE_BODY_MAX_BYTES;
  config.max_connections = PAGE_CONNECTIONS_MAX;
  config.idle_timeout_s = PAGE_IDLE_TIMEOUT_S;
  config.connection_bytes = RST_BODY_PAGE_CONNECTION_BYTES;
  config.handler = handler;
  config.userdata = userdata;
  return rst_cell_loop_start_http_server (loop, &config, &server);
}

static void
run_on_stop (struct rst_cell_event *base)
{
  struct stop_event *event = (struct stop_event *)base;

  event->on_stop (event->userdata);
  g_free (event);
}

static void *
wait_for_stop_signal (void *userdata)
{
  struct stop_event *event = userdata;

  rst_os_wait_stop_signal ();
  rst_cell_loop_post (event->loop, &event->event);
  return NULL;
}

void
rst_cell_loop_watch_stop_signals (struct rst_cell_loop *loop,
                                  void (*on_stop) (void *userdata),
                                  void *userdata)
{
  struct stop_event *event = g_new0 (struct stop_event, 1);
  pthread_t thread;

  event->event.run = run_on_stop;
  event->loop = loop;
  event->on_stop = on_stop;
  event->userdata = userdata;
  pthread_create (&thread, NULL, wait_for_stop_signal, event);
  pthread_detach (thread);
}

rst_ms
rst_cell_loop_date_request (const struct rst_cell_loop *loop)
{
  return rst_stall_watch_date (&loop->stall_watch, rst_os_now ());
}

static void
note_running (struct rst_cell_loop *loop, rst_ms now)
{
  rst_ms last = loop->stall_watch.noted_at;
  char gap_ms[24];

  if (!loop->config.watches_stalls
      || !rst_stall_watch_note (&loop->stall_watch, now))
    return;
  g_snprintf (gap_ms, sizeof gap_ms, "%lld", (long long)(now - last));
  rst_info (LOG_DOMAIN, "This process stood still.", "gap_ms", gap_ms);
}

/* Waits for an event until @wake at the latest. */
static void
wait_for_event (struct rst_cell_loop *loop, rst_ms wake)
{
  rst_ms now = rst_os_now ();
  bool is_posted = false;

  note_running (loop, now);
  while (!is_posted && wake > now)
    {
      rst_ms longest = loop->config.watches_stalls ? RST_STALL_NOTE_INTERVAL_MS
                                                   : wake - now;

      is_posted
          = rst_mailbox_wait (loop->mailbox, (int)MIN (wake - now, longest));
      now = rst_os_now ();
      note_running (loop, now);
    }
}

void
rst_cell_loop_run (struct rst_cell_loop *loop)
{
  rst_ms wake = rst_os_now ();

  while (!atomic_load (&loop->stop_requested))
    {
      struct rst_cell_event *event;

      wait_for_event (loop, wake);
      while ((event = rst_mailbox_take (loop->mailbox)) != NULL)
        event->run (event);
      wake = loop->config.on_tick (loop->config.userdata);
    }
}

/* The event of rst_cell_loop_stop(), which only wakes the loop's thread. */
static void
free_wakeup_event (struct rst_cell_event *event)
{
  g_free (event);
}

void
rst_cell_loop_stop (struct rst_cell_loop *loop)
{
  struct rst_cell_event *event = g_new0 (struct rst_cell_event, 1);

  event->run = free_wakeup_event;
  atomic_store (&loop->stop_requested, true);
  rst_cell_loop_post (loop, event);
}
