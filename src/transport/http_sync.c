#include "transport/http_sync.h"

#include <curl/curl.h>

#include "transport/transport.h"

static size_t
append_response_data (char *data, size_t size, size_t count, void *userdata)
{
  g_string_append_len (userdata, data, (gssize)(size * count));
  return size * count;
}

int
rst_http_sync_request (const char *method, const char *url, const char *body,
                       rst_ms timeout_ms, int *status, GString *response)
{
  CURL *easy = curl_easy_init ();
  long response_code = 0;
  long request_size = 0;
  CURLcode result;

  *status = 0;
  g_string_truncate (response, 0);
  if (easy == NULL)
    return RST_TRANSPORT_NOT_SENT;
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, append_response_data);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, response);
  if (body != NULL)
    curl_easy_setopt (easy, CURLOPT_POSTFIELDS, body);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, method);
  result = curl_easy_perform (easy);
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &response_code);
  curl_easy_getinfo (easy, CURLINFO_REQUEST_SIZE, &request_size);
  curl_easy_cleanup (easy);
  *status = (int)response_code;
  if (result == CURLE_OK)
    return RST_TRANSPORT_OK;
  if (request_size == 0)
    return RST_TRANSPORT_NOT_SENT;
  return result == CURLE_OPERATION_TIMEDOUT ? RST_TRANSPORT_TIMEOUT
                                            : RST_TRANSPORT_BROKEN;
}
