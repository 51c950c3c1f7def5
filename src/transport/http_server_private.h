/**
 * DOC: http_server_private - what the source files of the HTTP server share
 */
#ifndef RST_HTTP_SERVER_PRIVATE_H
#define RST_HTTP_SERVER_PRIVATE_H

#include <pthread.h>
#include <stdatomic.h>

#include <ck_queue.h>
#include <glib.h>
#include <microhttpd.h>

#include "transport/http_server.h"
#include "transport/transport.h"

enum request_state
{
  REQUEST_READING,
  REQUEST_TOO_LARGE,
  REQUEST_NO_ROOM,
  REQUEST_PENDING,
  REQUEST_REPLIED,
};

/* An open connection. */
struct connection
{
  struct rst_body_holder holder;
  int fd;
  /* The request whose body is read, which is freed when the connection has to
     make room; or NULL.  Protected by the budget's lock. */
  struct rst_http_request *reading;
};

struct rst_http_request
{
  struct rst_http_server *server;
  struct MHD_Connection *connection;
  struct connection *peer;
  /* The connection's socket; set once the request is pending. */
  int fd;
  /* A value of enum request_state.  Set by the thread that replies and read
     by the server's thread. */
  atomic_int state;
  char *method;
  char *path;
  /* NUL-terminated; NULL if the request has no body. */
  char *body;
  size_t body_length;
  size_t body_capacity;
  /* Bytes that were received and not kept. */
  size_t discarded;
  struct MHD_Response *response;
  unsigned status;
  bool aborted;
  /* The connection is closed after the reply. */
  bool closes_connection;
  /* Whether the handler was called for it. */
  bool is_dispatched;
  CK_LIST_ENTRY (rst_http_request) list_entry;
};

struct rst_http_server
{
  struct MHD_Daemon *daemon;
  struct rst_http_server_config config;
  char address[RST_ADDRESS_SIZE];
  atomic_bool keep_alive_disabled;
  /* The configured budget, or one without a bound. */
  struct rst_shared_budget *budget;
  struct rst_shared_budget *own_budget;
  struct rst_body_group group;
  pthread_mutex_t lock;
  /* Protected by the lock: the requests without a reply; the number of those
     that were dispatched and whose response is not written yet; and whether
     further requests are rejected. */
  CK_LIST_HEAD (request_list, rst_http_request) pending;
  unsigned unwritten;
  bool closing;
  /* Signalled when no response is left to be written. */
  pthread_cond_t written;
  /* The listening socket once it is shut down, or -1. */
  int quiesced_fd;
};

/** Body of the response to a request for which there is no room. */
extern const char rst_http_no_room_text[];

/**
 * rst_http_response_new() - Creates a response.
 * @content_type: Content type, or NULL for "application/json".
 * @body: Response body, copied.
 * @length: Length of @body in bytes.
 * @retry_after_s: As for rst_http_request_reply().
 */
struct MHD_Response *rst_http_response_new (const char *content_type,
                                            const void *body, size_t length,
                                            unsigned retry_after_s);

#endif
