#include "api.h"

#include <string.h>

#include <core/json-text.h>
#include <io/http-client.h>

#define CONNECT_TIMEOUT_US (5 * SECOND_US)
#define CALL_TIMEOUT_US (60 * SECOND_US)
/* Bounds the memory that a server which is no node can take. */
#define ANSWER_MAX (256u * 1024 * 1024)

typedef struct
{
  const Api *api;
  Loop *loop;
  ApiResult *result;
} Call;

static GArray *
make_headers (const Api *api)
{
  g_autofree char *authorization = g_strconcat ("Bearer ", api->token, NULL);
  GArray *headers = http_headers_new ();

  http_headers_add (headers, "Authorization", authorization);
  http_headers_add (headers, "Content-Type", "application/json");
  return headers;
}

static void
on_done (const HttpResult *answer, gpointer data)
{
  Call *call = data;
  ApiResult *result = call->result;

  if (answer->outcome == HTTP_CALL_OK)
    result->status = answer->status;
  else
    result->error = g_strdup_printf ("%s: %s", call->api->address, answer->detail);
  result->text = g_string_free (
      g_string_new_len ((const char *)answer->body->data, answer->body->len), FALSE);
  if (!result->error)
    result->root = json_text_parse (result->text, -1, NULL);
  loop_quit (call->loop);
}

ApiResult *
api_call (const Api *api, const char *method, const char *path, const char *body)
{
  g_autofree char *url = g_strdup_printf ("http://%s%s", api->address, path);
  g_autoptr (GArray) headers = make_headers (api);
  Clock *clock = clock_create_boottime ();
  Call call = { api, loop_create (clock), g_new0 (ApiResult, 1) };
  HttpClient *client = http_client_create (call.loop);
  const HttpCallParams order = { .method = method,
                                 .url = url,
                                 .headers = headers,
                                 .body = body,
                                 .body_len = body ? strlen (body) : 0,
                                 .has_body = body != NULL,
                                 .timeout_us = CALL_TIMEOUT_US,
                                 .connect_timeout_us = CONNECT_TIMEOUT_US,
                                 .answer_max = ANSWER_MAX };

  http_client_send (client, &order, on_done, &call);
  loop_run (call.loop);
  http_client_destroy (client);
  loop_destroy (call.loop);
  clock_destroy (clock);
  return call.result;
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
