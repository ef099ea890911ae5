#include "dialect.h"

#include <string.h>

void
caller_request_clear (CallerRequest *words)
{
  g_clear_pointer (&words->parent, g_free);
  g_clear_pointer (&words->host, g_free);
  g_clear_pointer (&words->path, g_free);
}

char *
dialect_host (const HttpRequest *request)
{
  const char *header = http_request_header (request, "Host");
  char *host = g_ascii_strdown (header ? header : "", -1);
  char *colon = strrchr (host, ':');

  if (colon)
    *colon = '\0';
  return host;
}

void
dialect_fill_answer (const HttpResult *result, sw_answer *answer)
{
  guint count = MIN (result->headers->len, SW_HEADERS_MAX);

  answer->status = result->status;
  answer->headers.headers_val = g_new0 (sw_header, count + 1);
  answer->body.body_val = (char *)result->body->data;
  answer->body.body_len = result->body->len;
  for (guint i = 0; i < count; i++)
    {
      const HttpHeader *header = &g_array_index (result->headers, HttpHeader, i);
      sw_header *out = &answer->headers.headers_val[answer->headers.headers_len];

      if (http_header_is_hop (header->name))
        continue;
      out->name = header->name;
      out->value = header->value;
      answer->headers.headers_len++;
    }
}

void
dialect_judge_transport (const HttpResult *result, sw_submit_res *res)
{
  static const sw_reason reasons[] = {
    [HTTP_CALL_OK] = SW_REASON_NONE,
    [HTTP_CALL_UNSENT] = SW_REASON_CONNECT,
    [HTTP_CALL_TIMEOUT] = SW_REASON_TIMEOUT,
    [HTTP_CALL_BROKEN] = SW_REASON_BROKEN,
    [HTTP_CALL_TOO_LARGE] = SW_REASON_TOO_LARGE,
  };

  res->reason = reasons[result->outcome];
  res->target_us = (u_int)result->took_us;
  res->result = SW_FAILED;
  if (result->outcome == HTTP_CALL_UNSENT)
    res->result = SW_REFUSED;
  if (result->outcome == HTTP_CALL_OK)
    res->result = SW_DONE;
}
