#include "platform.h"

#include <string.h>

#include <core/http-status.h>

#define CALL_TIMEOUT_US (3 * SECOND_US)
#define ANSWER_MAX (2u * 1024 * 1024)

struct PlatformCall
{
  HttpCall *http;
  PlatformDone done;
  gpointer data;
};

static PlatformOutcome
outcome_of (const HttpResult *result)
{
  if (result->outcome != HTTP_CALL_OK)
    return PLATFORM_FAILED;
  switch (result->status)
    {
    case HTTP_OK:
    case HTTP_CREATED:
      return PLATFORM_OK;
    case HTTP_NOT_MODIFIED:
      return PLATFORM_UNCHANGED;
    case HTTP_NOT_FOUND:
      return PLATFORM_MISSING;
    case HTTP_CONFLICT:
    case HTTP_PRECONDITION_FAILED:
      return PLATFORM_CONFLICT;
    default:
      return PLATFORM_FAILED;
    }
}

static void
on_done (const HttpResult *http, gpointer data)
{
  PlatformCall *call = data;
  PlatformResult result = { outcome_of (http), NULL, http->body };

  result.version = http_headers_get (http->headers, "ETag");
  if (!result.version)
    result.version = "";
  call->done (&result, call->data);
  g_free (call);
}

static PlatformCall *
send_http_call (Node *node, HttpCallParams *order, PlatformDone done, gpointer data)
{
  PlatformCall *call = g_new0 (PlatformCall, 1);

  call->done = done;
  call->data = data;
  order->answer_max = ANSWER_MAX;
  order->abandon = g_free;
  if (!order->timeout_us)
    order->timeout_us = CALL_TIMEOUT_US;
  metrics_add (node->metrics, METRIC_PLATFORM_CALLS, 1);
  call->http = http_client_send (node->http, order, on_done, call);
  return call;
}

void
platform_call_cancel (PlatformCall *call)
{
  http_call_cancel (call->http);
  g_free (call);
}

static char *
object_url (const Node *node, const char *key)
{
  return g_strdup_printf ("http://%s/v1/objects/%s", node->settings->platform_address,
                          key);
}

void
platform_get (Node *node, const char *key, PlatformDone done, gpointer data)
{
  g_autofree char *url = object_url (node, key);
  HttpCallParams order = { .method = "GET", .url = url };

  send_http_call (node, &order, done, data);
}

PlatformCall *
platform_watch (Node *node,
                const char *key,
                const char *version,
                gint64 wait_us,
                PlatformDone done,
                gpointer data)
{
  g_autofree char *base = object_url (node, key);
  g_autofree char *escaped = g_uri_escape_string (version, NULL, FALSE);
  g_autofree char *url = g_strdup_printf ("%s?after=%s&wait_ms=%" G_GINT64_FORMAT, base,
                                          escaped, wait_us / MS_US);
  HttpCallParams order = { .method = "GET", .url = url };

  order.timeout_us = wait_us + CALL_TIMEOUT_US;
  return send_http_call (node, &order, done, data);
}

void
platform_put (Node *node,
              const char *key,
              const char *version,
              const void *body,
              gsize len,
              PlatformDone done,
              gpointer data)
{
  g_autofree char *url = object_url (node, key);
  g_autoptr (GArray) headers = http_headers_new ();
  HttpCallParams order = { .method = "PUT", .url = url, .headers = headers };

  if (*version)
    http_headers_add (headers, "If-Match", version);
  else
    http_headers_add (headers, "If-None-Match", "*");
  order.body = body;
  order.body_len = len;
  order.has_body = TRUE;
  send_http_call (node, &order, done, data);
}

void
platform_vms (Node *node, const char *version, PlatformDone done, gpointer data)
{
  g_autoptr (GArray) headers = http_headers_new ();
  g_autofree char *url =
      g_strdup_printf ("http://%s/v1/vms", node->settings->platform_address);
  HttpCallParams order = { .method = "GET", .url = url, .headers = headers };

  if (*version)
    http_headers_add (headers, "If-None-Match", version);
  send_http_call (node, &order, done, data);
}
