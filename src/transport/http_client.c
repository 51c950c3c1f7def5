#include "transport/http_client.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#include <ck_queue.h>
#include <curl/curl.h>
#include <glib.h>

#include "transport/transport.h"
#include "util/mailbox.h"
#include "util/os.h"

/** Capacity of the queue of requests for the client's thread. */
#define CLIENT_QUEUE_SIZE 16384

/** Longest wait of the client's thread for events, in milliseconds. */
#define CLIENT_POLL_MS 1000

/** Maximum size of a response body; a larger one fails the request. */
#define CLIENT_RESPONSE_MAX_BYTES (8 * 1024 * 1024)

/** Connections idle for longer than this are not reused. */
#define CLIENT_IDLE_MAX_S 20

struct transfer
{
  CURL *easy;
  char *url;
  char *method;
  struct curl_slist *headers;
  char *body;
  size_t length;
  rst_ms timeout_ms;
  bool progress_extends_timeout;
  rst_ms not_after;
  bool new_connection;
  bool send_once;
  /* Number of connections on which it was about to be sent. */
  int attempts;
  GString *response_body;
  /* Whether the response exceeds its maximum size. */
  bool too_large;
  rst_http_done done;
  void *userdata;
  rst_ms sent_at;
  /* Number of bytes sent and received, and when it last grew. */
  curl_off_t bytes_moved;
  rst_ms moved_at;
  CK_LIST_ENTRY (transfer) list_entry;
  CK_LIST_ENTRY (transfer) extended_entry;
};

struct rst_http_client
{
  CURLM *multi;
  struct rst_mailbox *mailbox;
  pthread_t thread;
  atomic_bool stop_requested;
  /* Whether the thread was woken up since it last took the queued
     requests. */
  atomic_bool wakeup_pending;
  CK_LIST_HEAD (transfer_list, transfer) active;
  /* Those of them whose timeout progress extends. */
  CK_LIST_HEAD (extended_list, transfer) extended;
};

static void
transfer_free (struct transfer *transfer)
{
  if (transfer->easy != NULL)
    curl_easy_cleanup (transfer->easy);
  curl_slist_free_all (transfer->headers);
  g_string_free (transfer->response_body, TRUE);
  g_free (transfer->body);
  g_free (transfer->url);
  g_free (transfer->method);
  g_free (transfer);
}

static size_t
append_response_data (char *data, size_t size, size_t count, void *userdata)
{
  struct transfer *transfer = userdata;

  if (transfer->response_body->len + size * count > CLIENT_RESPONSE_MAX_BYTES)
    {
      transfer->too_large = true;
      return 0;
    }
  g_string_append_len (transfer->response_body, data, (gssize)(size * count));
  return size * count;
}

/* Called by libcurl when bytes may have been sent or received. */
static int
note_progress (void *userdata, curl_off_t to_receive, curl_off_t received,
               curl_off_t to_send, curl_off_t sent)
{
  struct transfer *transfer = userdata;

  (void)to_receive;
  (void)to_send;
  if (received + sent != transfer->bytes_moved)
    transfer->moved_at = rst_os_now ();
  transfer->bytes_moved = received + sent;
  return 0;
}

/* Called by libcurl when it has a connection and is about to send. */
static int
before_send (void *userdata, char *peer_address, char *own_address,
             int peer_port, int own_port)
{
  struct transfer *transfer = userdata;

  (void)peer_address;
  (void)own_address;
  (void)peer_port;
  (void)own_port;
  transfer->attempts++;
  return transfer->send_once && transfer->attempts > 1 ? CURL_PREREQFUNC_ABORT
                                                       : CURL_PREREQFUNC_OK;
}

static void
set_method (struct transfer *transfer)
{
  CURL *easy = transfer->easy;

  if (transfer->body != NULL)
    {
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS, transfer->body);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE, (long)transfer->length);
    }
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, transfer->method);
}

/* Completes a transfer that was never passed to libcurl. */
static void
finish_unsent (struct transfer *transfer)
{
  struct rst_http_result result = { 0 };

  result.error = RST_TRANSPORT_NOT_SENT;
  result.body = "";
  result.sent_at = rst_os_now ();
  transfer->done (&result, transfer->userdata);
  transfer_free (transfer);
}

/* libcurl's own timeout is that of the whole exchange. */
static void
set_timeout (struct rst_http_client *client, struct transfer *transfer)
{
  CURL *easy = transfer->easy;

  if (!transfer->progress_extends_timeout)
    {
      curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)transfer->timeout_ms);
      return;
    }
  transfer->moved_at = transfer->sent_at;
  curl_easy_setopt (easy, CURLOPT_NOPROGRESS, 0L);
  curl_easy_setopt (easy, CURLOPT_XFERINFOFUNCTION, note_progress);
  curl_easy_setopt (easy, CURLOPT_XFERINFODATA, transfer);
  CK_LIST_INSERT_HEAD (&client->extended, transfer, extended_entry);
}

static void
start_transfer (struct rst_http_client *client, struct transfer *transfer)
{
  CURL *easy;

  transfer->sent_at = rst_os_now ();
  if (transfer->not_after != 0 && transfer->sent_at >= transfer->not_after)
    {
      finish_unsent (transfer);
      return;
    }
  easy = curl_easy_init ();
  transfer->easy = easy;
  curl_easy_setopt (easy, CURLOPT_URL, transfer->url);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, transfer->headers);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  set_timeout (client, transfer);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, append_response_data);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, transfer);
  curl_easy_setopt (easy, CURLOPT_PRIVATE, transfer);
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, before_send);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, transfer);
  curl_easy_setopt (easy, CURLOPT_MAXAGE_CONN, (long)CLIENT_IDLE_MAX_S);
  if (transfer->new_connection)
    {
      curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt (easy, CURLOPT_FORBID_REUSE, 1L);
    }
  set_method (transfer);
  CK_LIST_INSERT_HEAD (&client->active, transfer, list_entry);
  curl_multi_add_handle (client->multi, easy);
}

static int
map_curl_error (struct transfer *transfer, CURLcode code)
{
  long sent = 0;

  if (code == CURLE_OK)
    return RST_TRANSPORT_OK;
  if (transfer->too_large)
    return RST_TRANSPORT_TOO_LARGE;
  curl_easy_getinfo (transfer->easy, CURLINFO_REQUEST_SIZE, &sent);
  if (sent == 0)
    return RST_TRANSPORT_NOT_SENT;
  if (code == CURLE_OPERATION_TIMEDOUT)
    return RST_TRANSPORT_TIMEOUT;
  return RST_TRANSPORT_BROKEN;
}

static void
finish_transfer (struct rst_http_client *client, struct transfer *transfer,
                 int error)
{
  struct rst_http_result result = { 0 };
  long status = 0;

  curl_easy_getinfo (transfer->easy, CURLINFO_RESPONSE_CODE, &status);
  result.error = error;
  result.status = error == RST_TRANSPORT_OK ? (int)status : 0;
  result.body = transfer->response_body->str;
  result.length = transfer->response_body->len;
  result.sent_at = transfer->sent_at;
  CK_LIST_REMOVE (transfer, list_entry);
  if (transfer->progress_extends_timeout)
    CK_LIST_REMOVE (transfer, extended_entry);
  curl_multi_remove_handle (client->multi, transfer->easy);
  transfer->done (&result, transfer->userdata);
  transfer_free (transfer);
}

static void
finish_completed (struct rst_http_client *client)
{
  CURLMsg *message;
  int remaining;

  while ((message = curl_multi_info_read (client->multi, &remaining)) != NULL)
    {
      struct transfer *transfer = NULL;
      CURLcode code = message->data.result;

      if (message->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, &transfer);
      finish_transfer (client, transfer, map_curl_error (transfer, code));
    }
}

/* Ends the transfers that have been silent for too long.  Returns how long the
   thread may wait for events until the next one may be. */
static rst_ms
finish_silent (struct rst_http_client *client)
{
  rst_ms now = rst_os_now ();
  rst_ms wait_ms = CLIENT_POLL_MS;
  struct transfer *transfer;
  struct transfer *next;

  CK_LIST_FOREACH_SAFE (transfer, &client->extended, extended_entry, next)
  {
    rst_ms left = transfer->moved_at + transfer->timeout_ms - now;

    if (left > 0)
      wait_ms = MIN (wait_ms, left);
    else
      finish_transfer (client, transfer,
                       map_curl_error (transfer, CURLE_OPERATION_TIMEDOUT));
  }
  return wait_ms;
}

static void *
client_main (void *userdata)
{
  struct rst_http_client *client = userdata;
  struct transfer *transfer;
  int running;

  while (!atomic_load (&client->stop_requested))
    {
      atomic_store (&client->wakeup_pending, false);
      while ((transfer = rst_mailbox_take (client->mailbox)) != NULL)
        start_transfer (client, transfer);
      curl_multi_perform (client->multi, &running);
      finish_completed (client);
      curl_multi_poll (client->multi, NULL, 0, (int)finish_silent (client),
                       NULL);
    }
  while ((transfer = rst_mailbox_take (client->mailbox)) != NULL)
    finish_unsent (transfer);
  while ((transfer = CK_LIST_FIRST (&client->active)) != NULL)
    finish_transfer (client, transfer, RST_TRANSPORT_BROKEN);
  return NULL;
}

struct rst_http_client *
rst_http_client_create (long max_connections, long max_per_host)
{
  struct rst_http_client *client = g_new0 (struct rst_http_client, 1);

  curl_global_init (CURL_GLOBAL_NOTHING);
  CK_LIST_INIT (&client->active);
  CK_LIST_INIT (&client->extended);
  client->multi = curl_multi_init ();
  client->mailbox = rst_mailbox_create (CLIENT_QUEUE_SIZE);
  if (client->multi == NULL || client->mailbox == NULL)
    goto fail;
  curl_multi_setopt (client->multi, CURLMOPT_MAXCONNECTS, max_connections);
  curl_multi_setopt (client->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                     max_per_host);
  if (pthread_create (&client->thread, NULL, client_main, client) != 0)
    goto fail;
  return client;

fail:
  if (client->multi != NULL)
    curl_multi_cleanup (client->multi);
  rst_mailbox_destroy (client->mailbox);
  g_free (client);
  return NULL;
}

int
rst_http_client_send (struct rst_http_client *client,
                      const struct rst_http_call *call)
{
  struct transfer *transfer = g_new0 (struct transfer, 1);

  transfer->method = g_strdup (call->method);
  transfer->url = g_strdup (call->url);
  for (int i = 0; call->headers != NULL && call->headers[i] != NULL; i++)
    transfer->headers
        = curl_slist_append (transfer->headers, call->headers[i]);
  transfer->headers = curl_slist_append (transfer->headers, "Expect:");
  if (call->body != NULL)
    transfer->body = g_memdup2 (call->body, call->length);
  transfer->length = call->length;
  transfer->timeout_ms = call->timeout_ms > 0 ? call->timeout_ms : 1;
  transfer->progress_extends_timeout = call->progress_extends_timeout;
  transfer->not_after = call->not_after;
  transfer->new_connection = call->new_connection;
  transfer->send_once = call->send_once;
  transfer->done = call->done;
  transfer->userdata = call->userdata;
  transfer->response_body = g_string_new (NULL);
  if (!rst_mailbox_post (client->mailbox, transfer))
    {
      transfer_free (transfer);
      return RST_TRANSPORT_QUEUE_FULL;
    }
  if (!atomic_exchange (&client->wakeup_pending, true))
    curl_multi_wakeup (client->multi);
  return RST_TRANSPORT_OK;
}

void
rst_http_client_destroy (struct rst_http_client *client)
{
  if (client == NULL)
    return;
  atomic_store (&client->stop_requested, true);
  curl_multi_wakeup (client->multi);
  pthread_join (client->thread, NULL);
  curl_multi_cleanup (client->multi);
  rst_mailbox_destroy (client->mailbox);
  g_free (client);
}
