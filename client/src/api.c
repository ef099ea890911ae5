#include "api.h"

#include <curl/curl.h>
#include <string.h>

#include <core/json-text.h>

#define CONNECT_TIMEOUT_S 5L
#define CALL_TIMEOUT_S 60L

static size_t
on_body (char *bytes, size_t size, size_t count, void *data)
{
  g_string_append_len (data, bytes, (gssize)(size * count));
  return size * count;
}

static struct curl_slist *
make_headers (const Api *api)
{
  g_autofree char *authorization =
      g_strconcat ("Authorization: Bearer ", api->token, NULL);
  struct curl_slist *headers = curl_slist_append (NULL, authorization);

  headers = curl_slist_append (headers, "Content-Type: application/json");
  return curl_slist_append (headers, "Expect:");
}

ApiResult *
api_call (const Api *api, const char *method, const char *path, const char *body)
{
  g_autofree char *url = g_strdup_printf ("http://%s%s", api->address, path);
  struct curl_slist *headers = make_headers (api);
  ApiResult *result = g_new0 (ApiResult, 1);
  GString *text = g_string_new (NULL);
  CURL *easy = curl_easy_init ();
  CURLcode code;

  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT, CONNECT_TIMEOUT_S);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT, CALL_TIMEOUT_S);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, text);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
  if (body)
    {
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)strlen (body));
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS, body);
    }
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, method);
  code = curl_easy_perform (easy);
  if (code == CURLE_OK)
    curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &result->status);
  else
    result->error = g_strdup_printf ("%s: %s", api->address, curl_easy_strerror (code));
  result->text = g_string_free (text, FALSE);
  result->root = json_text_parse (result->text, -1, NULL);
  curl_slist_free_all (headers);
  curl_easy_cleanup (easy);
  return result;
}

void
api_result_free (ApiResult *result)
{
  g_free (result->text);
  g_free (result->error);
  if (result->root)
    json_node_unref (result->root);
  g_free (result);
}
