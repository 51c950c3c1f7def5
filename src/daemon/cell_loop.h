/**
 * DOC: cell_loop - one thread of decisions, fed by those of input and output
 *
 * Frames, answers of the backend and HTTP requests are posted into one
 * mailbox and handled in turn on the loop's thread.
 */
#ifndef RST_CELL_LOOP_H
#define RST_CELL_LOOP_H

#include "cell/backend.h"
#include "transport/http_server.h"
#include "transport/net.h"
#include "util/mailbox.h"

struct rst_cell_loop;

/**
 * struct rst_cell_event - Something to be done on the loop's thread.
 * @run: Does it and frees the event.
 */
struct rst_cell_event
{
  void (*run) (struct rst_cell_event *event);
};

/**
 * struct rst_cell_loop_config - What a loop calls.
 * @on_link_event: A link was opened or closed, or carried a frame.
 * @on_tick: Called after each batch of events; returns when to call it again.
 * @userdata: Passed to both.
 */
struct rst_cell_loop_config
{
  void (*on_link_event) (void *userdata, enum rst_net_event event,
                         uint64_t link, const void *data, size_t length);
  rst_ms (*on_tick) (void *userdata);
  void *userdata;
};

/** rst_cell_loop_create() - A loop without a net. */
struct rst_cell_loop *
rst_cell_loop_create (const struct rst_cell_loop_config *config);

/** rst_cell_loop_destroy() - Frees a loop that nothing posts to any more. */
void rst_cell_loop_destroy (struct rst_cell_loop *loop);

/**
 * rst_cell_loop_listen() - Starts the net.
 * @address: Where to listen, or NULL.
 *
 * Return: RST_TRANSPORT_OK or RST_TRANSPORT_BAD_ADDRESS.
 */
int rst_cell_loop_listen (struct rst_cell_loop *loop, const char *address);

/** rst_cell_loop_get_address() - The listening address with its real port. */
const char *rst_cell_loop_get_address (const struct rst_cell_loop *loop);

/** rst_cell_loop_open_link() - Opens a link; @loop is a struct rst_cell_loop,
    so that this and the next two serve as callbacks. */
uint64_t rst_cell_loop_open_link (void *loop, const char *address);

/** rst_cell_loop_close_link() - Closes a link. */
void rst_cell_loop_close_link (void *loop, uint64_t link);

/** rst_cell_loop_send_frame() - Sends a frame over a link. */
void rst_cell_loop_send_frame (void *loop, uint64_t link, const void *data,
                               size_t length);

/** rst_cell_loop_post() - Posts an event, from any thread. */
void rst_cell_loop_post (struct rst_cell_loop *loop,
                         struct rst_cell_event *event);

/**
 * rst_cell_loop_wrap_backend() - The same calls with callbacks on the loop.
 * @backend: The calls; their callbacks may come on any thread.
 */
const struct rst_backend *
rst_cell_loop_wrap_backend (struct rst_cell_loop *loop,
                            const struct rst_backend *backend);

/**
 * rst_cell_loop_start_http_server() - Starts an HTTP server whose handler runs
 * on the loop's thread.
 * @config: How the server is set up; copied.
 * @out: Receives the server.
 *
 * Return: RST_TRANSPORT_OK or RST_TRANSPORT_BAD_ADDRESS.
 */
int
rst_cell_loop_start_http_server (struct rst_cell_loop *loop,
                                 const struct rst_http_server_config *config,
                                 struct rst_http_server **out);

/**
 * rst_cell_loop_start_page_server() - Serves a page of text to a few readers.
 * @address: Where; with "" nothing is served.
 * @handler: Answers a request, on the loop's thread.
 *
 * Return: RST_TRANSPORT_OK or RST_TRANSPORT_BAD_ADDRESS.
 */
int rst_cell_loop_start_page_server (struct rst_cell_loop *loop,
                                     const char *address,
                                     rst_http_handler handler, void *userdata);

/**
 * rst_cell_loop_watch_stop_signals() - Calls @begin on the loop's thread once
 * the process is asked to stop.
 *
 * Signals must be blocked in all threads, see rst_os_block_signals().
 */
void rst_cell_loop_watch_stop_signals (struct rst_cell_loop *loop,
                                       void (*begin) (void *userdata),
                                       void *userdata);

/** rst_cell_loop_run() - Runs until rst_cell_loop_stop(). */
void rst_cell_loop_run (struct rst_cell_loop *loop);

/** rst_cell_loop_stop() - Ends the run, from any thread. */
void rst_cell_loop_stop (struct rst_cell_loop *loop);

#endif
