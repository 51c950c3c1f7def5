#include "transport/http_sync.h"

#include <curl/curl.h>

#include "transport/transport.h"

static size_t
on_data (char *data, size_t size, size_t count, void *userdata)
{
  g_string_append_len (userdata, data, (gssize)(size * count));
  return size * count;
}

int
rst_http_sync (const char *method, const char *url, const char *body,
               rst_ms timeout_ms, int *status, GString *answer)
{
  CURL *easy = curl_easy_init ();
  long code = 0;
  long sent = 0;
  CURLcode result;

  *status = 0;
  g_string_truncate (answer, 0);
  if (easy == NULL)
    return RST_TRANSPORT_NOT_SENT;
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_data);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, answer);
  if (body != NULL)
    curl_easy_setopt (easy, CURLOPT_POSTFIELDS, body);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, method);
  result = curl_easy_perform (easy);
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &code);
  curl_easy_getinfo (easy, CURLINFO_REQUEST_SIZE, &sent);
  curl_easy_cleanup (easy);
  *status = (int)code;
  if (result == CURLE_OK)
    return RST_TRANSPORT_OK;
  if (sent == 0)
    return RST_TRANSPORT_NOT_SENT;
  return result == CURLE_OPERATION_TIMEDOUT ? RST_TRANSPORT_TIMEOUT
                                            : RST_TRANSPORT_BROKEN;
}
