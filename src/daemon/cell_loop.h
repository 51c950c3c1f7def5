/**
 * DOC: cell_loop - the event loop of celld and jobd
 *
 * Link events, answers of the backend, HTTP requests and stop signals arrive
 * on other threads.  They are posted to one mailbox and handled one after
 * another on the loop's thread.
 */
#ifndef RST_CELL_LOOP_H
#define RST_CELL_LOOP_H

#include "cell/backend.h"
#include "transport/body_budget.h"
#include "transport/http_server.h"
#include "transport/net.h"
#include "util/mailbox.h"

/** Largest frame of a link, in bytes. */
#define RST_CELL_FRAME_MAX_BYTES (4 * 1024 * 1024)

struct rst_cell_loop;

/**
 * struct rst_cell_event - An event that waits in the mailbox.
 * @run: Handles the event and frees it; called on the loop's thread.
 */
struct rst_cell_event
{
  void (*run) (struct rst_cell_event *event);
};

/**
 * struct rst_cell_loop_config - Callbacks of a loop.
 * @on_link_event: A link was opened or closed, or a frame arrived on it.
 * @on_tick: Called after each batch of events; returns the time at which to
 *   call it again.
 * @userdata: Passed to both.
 * @watches_stalls: Whether the loop notes when the process stands still, see
 *   rst_cell_loop_date_request().
 * @limits: Limits of the process, read by rst_cell_loop_create() only.
 *
 * Both callbacks are called on the loop's thread.
 */
struct rst_cell_loop_config
{
  void (*on_link_event) (void *userdata, enum rst_net_event event,
                         uint64_t link, const void *data, size_t length);
  rst_ms (*on_tick) (void *userdata);
  void *userdata;
  bool watches_stalls;
  const struct rst_body_limits *limits;
};

/**
 * rst_cell_loop_create() - Creates a loop without a network.
 * @config: Callbacks; copied.
 *
 * Return: The loop, or NULL when memory or descriptors are short.
 */
struct rst_cell_loop *
rst_cell_loop_create (const struct rst_cell_loop_config *config);

/**
 * rst_cell_loop_destroy() - Frees a loop; NULL is ignored.
 *
 * No other thread may post to it any more.
 */
void rst_cell_loop_destroy (struct rst_cell_loop *loop);

/**
 * rst_cell_loop_read_limit_stats() - Reads the counters of what was rejected
 * and closed to stay within the limits; may be called from any thread.
 */
void rst_cell_loop_read_limit_stats (struct rst_cell_loop *loop,
                                     struct rst_body_stats *out);

/** rst_cell_loop_get_budget() - Returns the budget of requests, for servers
    that are started without the loop. */
struct rst_shared_budget *
rst_cell_loop_get_budget (struct rst_cell_loop *loop);

/**
 * rst_cell_loop_listen() - Starts the network thread, which carries links.
 * @address: Address to listen on, "IP:PORT", or NULL to only open links.
 *
 * Return: RST_TRANSPORT_OK or RST_TRANSPORT_BAD_ADDRESS.
 */
int rst_cell_loop_listen (struct rst_cell_loop *loop, const char *address);

/** rst_cell_loop_get_address() - Returns the listening address with the port
 * that the kernel chose. */
const char *rst_cell_loop_get_address (const struct rst_cell_loop *loop);

/**
 * rst_cell_loop_open_link() - Opens a link.
 * @loop: A struct rst_cell_loop.  This function and the next two take it as a
 *   void pointer so that they can be used as callbacks.
 *
 * Return: The link's number, or 0 on failure.
 */
uint64_t rst_cell_loop_open_link (void *loop, const char *address);

/** rst_cell_loop_close_link() - Closes a link. */
void rst_cell_loop_close_link (void *loop, uint64_t link);

/** rst_cell_loop_send_frame() - Sends a frame on a link. */
void rst_cell_loop_send_frame (void *loop, uint64_t link, const void *data,
                               size_t length);

/**
 * rst_cell_loop_post() - Posts an event, from any thread.
 *
 * Blocks while the mailbox is full.
 */
void rst_cell_loop_post (struct rst_cell_loop *loop,
                         struct rst_cell_event *event);

/**
 * rst_cell_loop_wrap_backend() - Makes callbacks of a backend run on the
 * loop's thread.
 * @backend: Calls whose callbacks may run on any thread; must outlive the
 *   loop.
 *
 * Return: The same calls, with callbacks on the loop's thread; owned by the
 * loop.
 */
const struct rst_backend *
rst_cell_loop_wrap_backend (struct rst_cell_loop *loop,
                            const struct rst_backend *backend);

/**
 * rst_cell_loop_start_http_server() - Starts an HTTP server whose handler runs
 * on the loop's thread.
 * @config: Configuration of the server; copied.
 * @out: Receives the server.
 *
 * Return: RST_TRANSPORT_OK or RST_TRANSPORT_BAD_ADDRESS.
 */
int
rst_cell_loop_start_http_server (struct rst_cell_loop *loop,
                                 const struct rst_http_server_config *config,
                                 struct rst_http_server **out);

/**
 * rst_cell_loop_start_page_server() - Starts an HTTP server for a status or
 * metrics page.
 * @address: Address to listen on; with "" no server is started.
 * @handler: Replies to a request, on the loop's thread.
 *
 * The server accepts few connections and small requests only.
 *
 * Return: RST_TRANSPORT_OK or RST_TRANSPORT_BAD_ADDRESS.
 */
int rst_cell_loop_start_page_server (struct rst_cell_loop *loop,
                                     const char *address,
                                     rst_http_handler handler, void *userdata);

/**
 * rst_cell_loop_watch_stop_signals() - Calls @on_stop on the loop's thread
 * after SIGTERM or SIGINT.
 *
 * The signals must be blocked in all threads, see rst_os_block_signals().
 */
void rst_cell_loop_watch_stop_signals (struct rst_cell_loop *loop,
                                       void (*on_stop) (void *userdata),
                                       void *userdata);

/**
 * rst_cell_loop_date_request() - Dates a request that an HTTP server's handler
 * has just received on the loop's thread.
 *
 * Return: A time at which it had certainly not been sent yet, as far as this
 * process can tell: the present, unless it stood still a short time ago.
 */
rst_ms rst_cell_loop_date_request (const struct rst_cell_loop *loop);

/** rst_cell_loop_run() - Handles events until rst_cell_loop_stop() is called.
 */
void rst_cell_loop_run (struct rst_cell_loop *loop);

/** rst_cell_loop_stop() - Makes rst_cell_loop_run() return; may be called from
 * any thread. */
void rst_cell_loop_stop (struct rst_cell_loop *loop);

#endif
