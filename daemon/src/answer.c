#include "answer.h"

#include <core/clock.h>
#include <string.h>

#define HTTP_BAD_GATEWAY 502
#define HTTP_UNAVAILABLE 503
#define HTTP_GATEWAY_TIMEOUT 504

void
answer_pass (HttpRequest *request, const sw_answer *answer)
{
  g_autoptr (GArray) headers = http_headers_new ();

  for (u_int i = 0; i < answer->headers.headers_len; i++)
    {
      const sw_header *header = &answer->headers.headers_val[i];

      /* The outcome is this fleet's word, never the target's. */
      if (!g_str_has_prefix (header->name, "Switchmill-"))
        http_headers_add (headers, header->name, header->value);
    }
  http_headers_add (headers, OUTCOME_HEADER, outcome_name (OUTCOME_DONE));
  http_request_answer (request, answer->status, headers, answer->body.body_val,
                       answer->body.body_len);
}

static guint
status_of (Outcome outcome, Reason reason)
{
  if (outcome == OUTCOME_NOT_RUN)
    return HTTP_UNAVAILABLE;
  return reason == REASON_TIMEOUT || reason == REASON_LOST ? HTTP_GATEWAY_TIMEOUT
                                                           : HTTP_BAD_GATEWAY;
}

void
answer_give_up (HttpRequest *request,
                Outcome outcome,
                Reason reason,
                gint64 retry_after_us)
{
  g_autoptr (GArray) headers = http_headers_new ();
  g_autofree char *text = g_strdup_printf ("{\"outcome\":\"%s\",\"reason\":\"%s\"}\n",
                                           outcome_name (outcome), reason_name (reason));

  http_headers_add (headers, "Content-Type", "application/json");
  http_headers_add (headers, OUTCOME_HEADER, outcome_name (outcome));
  http_headers_add (headers, REASON_HEADER, reason_name (reason));
  if (outcome == OUTCOME_NOT_RUN)
    {
      /* Whole seconds, rounded up (RFC 9110, section 10.2.3). */
      gint64 seconds = MAX (1, (retry_after_us + SECOND_US - 1) / SECOND_US);
      g_autofree char *value = g_strdup_printf ("%" G_GINT64_FORMAT, seconds);

      http_headers_add (headers, "Retry-After", value);
    }
  http_request_answer (request, status_of (outcome, reason), headers, text,
                       strlen (text));
}

void
answer_error (HttpRequest *request, guint status, const char *what)
{
  g_autoptr (GArray) headers = http_headers_new ();
  g_autofree char *text =
      g_strdup_printf ("{\"outcome\":\"not-run\",\"error\":\"%s\"}\n", what);

  http_headers_add (headers, "Content-Type", "application/json");
  http_headers_add (headers, OUTCOME_HEADER, outcome_name (OUTCOME_NOT_RUN));
  if (status == HTTP_UNAVAILABLE)
    http_headers_add (headers, "Retry-After", "1");
  http_request_answer (request, status, headers, text, strlen (text));
}
