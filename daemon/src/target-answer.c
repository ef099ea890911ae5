#include "target-answer.h"

#include <string.h>

static void
fill_answer (const HttpResult *result, sw_answer *answer)
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

      if (http_header_is_hop (header->name) ||
          g_ascii_strcasecmp (header->name, ATTEMPT_HEADER) == 0)
        continue;
      out->name = header->name;
      out->value = header->value;
      answer->headers.headers_len++;
    }
}

char *
target_answer_attempt (const sw_attempt *attempt)
{
  return g_strdup_printf ("%s-%" G_GINT64_MODIFIER "x-%" G_GINT64_MODIFIER "x",
                          attempt->node, (guint64)attempt->incarnation,
                          (guint64)attempt->counter);
}

/* A target that echoes attempts must echo this one: else the answer is another's. */
static gboolean
is_crossed (const sw_attempt *attempt, const HttpResult *result)
{
  const char *echo = http_headers_get (result->headers, ATTEMPT_HEADER);
  g_autofree char *own = NULL;

  if (!echo)
    return FALSE;
  own = target_answer_attempt (attempt);
  return strcmp (echo, own) != 0;
}

void
target_answer_judge (const sw_attempt *attempt,
                     const HttpResult *result,
                     sw_submit_res *res)
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
  if (result->outcome != HTTP_CALL_OK)
    return;
  if (is_crossed (attempt, result))
    {
      res->reason = SW_REASON_CROSSED;
      return;
    }
  res->result = SW_DONE;
  fill_answer (result, &res->answer);
}
