#include "http-server-private.h"

#include <string.h>

HttpRequest *
http_request_ref (HttpRequest *request)
{
  g_atomic_ref_count_inc (&request->refs);
  return request;
}

void
http_request_unref (HttpRequest *request)
{
  if (!g_atomic_ref_count_dec (&request->refs))
    return;
  if (request->response)
    MHD_destroy_response (request->response);
  g_free (request->method);
  g_free (request->target);
  g_free (request->path);
  g_array_unref (request->headers);
  http_body_drop (request);
  g_byte_array_unref (request->body);
  mem_account_unref (request->account);
  g_free (request);
}

const char *
http_request_method (const HttpRequest *request)
{
  return request->method;
}

gint64
http_request_received_us (const HttpRequest *request)
{
  return request->received_us;
}

const char *
http_request_target (const HttpRequest *request)
{
  return request->target;
}

const char *
http_request_path (const HttpRequest *request)
{
  return request->path;
}

const char *
http_request_argument (const HttpRequest *request, const char *name)
{
  if (!request->connection)
    return NULL;
  return MHD_lookup_connection_value (request->connection, MHD_GET_ARGUMENT_KIND, name);
}

const GArray *
http_request_headers (const HttpRequest *request)
{
  return request->headers;
}

const char *
http_request_header (const HttpRequest *request, const char *name)
{
  return http_headers_get (request->headers, name);
}

const GByteArray *
http_request_body (const HttpRequest *request)
{
  return request->body;
}

GBytes *
http_request_body_bytes (HttpRequest *request)
{
  return g_bytes_new_with_free_func (request->body->data, request->body->len,
                                     (GDestroyNotify)http_request_unref,
                                     http_request_ref (request));
}

static void
wake (HttpRequest *request)
{
  if (!request->suspended || !request->connection || !request->server)
    return;
  request->suspended = FALSE;
  request->server->run_pending = TRUE;
  MHD_resume_connection (request->connection);
}

void
http_request_answer (HttpRequest *request,
                     guint status,
                     const GArray *headers,
                     const void *body,
                     gsize len)
{
  g_autoptr (GBytes) bytes = g_bytes_new (body, len);

  g_return_if_fail (!request->response);
  request->status = status;
  request->response = http_answer_response (request, bytes);
  for (guint i = 0; headers && i < headers->len; i++)
    {
      const HttpHeader *header = &g_array_index (headers, HttpHeader, i);

      if (!http_header_is_hop (header->name))
        MHD_add_response_header (request->response, header->name, header->value);
    }
  if (request->server && request->server->closing)
    MHD_add_response_header (request->response, "Connection", "close");
  http_request_watch_gone (request, NULL, NULL);
  wake (request);
}

void
http_request_drop (HttpRequest *request)
{
  request->dropped = TRUE;
  wake (request);
}

void
http_request_answer_json (HttpRequest *request, guint status, const char *json)
{
  g_autoptr (GArray) headers = http_headers_new ();

  http_headers_add (headers, "Content-Type", "application/json");
  http_request_answer (request, status, headers, json, strlen (json));
}
