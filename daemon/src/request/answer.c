#include "answer.h"

#include <string.h>

#include <core/http-status.h>

/* The Retry-After of a node that cannot serve requests at present. */
#define RETRY_AFTER_US SECOND_US

void
answer_forward (const Dialect *dialect, HttpRequest *request, const sw_answer *answer)
{
  g_autoptr (GArray) headers = http_headers_new ();
  Verdict verdict = { .outcome = OUTCOME_DONE };

  for (u_int i = 0; i < answer->headers.headers_len; i++)
    {
      const sw_header *header = &answer->headers.headers_val[i];

      if (dialect->returns (header->name))
        http_headers_add (headers, header->name, header->value);
    }
  dialect->add_verdict (&verdict, NULL, headers);
  http_request_answer (request, answer->status, headers, answer->body.body_val,
                       answer->body.body_len);
}

void
answer_failure (const Dialect *dialect,
                HttpRequest *request,
                const char *id,
                const Verdict *verdict)
{
  g_autoptr (GArray) headers = http_headers_new ();
  g_autofree char *text =
      g_strdup_printf ("{\"outcome\":\"%s\",\"reason\":\"%s\"}\n",
                       outcome_name (verdict->outcome), reason_name (verdict->reason));

  http_headers_add (headers, "Content-Type", "application/json");
  dialect->add_verdict (verdict, id, headers);
  http_request_answer (request, dialect->status (verdict), headers, text, strlen (text));
}

void
answer_error (const Dialect *dialect,
              HttpRequest *request,
              const char *id,
              guint status,
              const char *what)
{
  answer_refusal (dialect, request, id, status, what,
                  status == HTTP_UNAVAILABLE ? RETRY_AFTER_US : 0);
}

void
answer_refusal (const Dialect *dialect,
                HttpRequest *request,
                const char *id,
                guint status,
                const char *what,
                gint64 retry_after_us)
{
  g_autoptr (GArray) headers = http_headers_new ();
  Verdict verdict = { .outcome = OUTCOME_NOT_RUN };
  g_autofree char *text =
      g_strdup_printf ("{\"outcome\":\"not-run\",\"error\":\"%s\"}\n", what);

  verdict.retry_after_us = retry_after_us;
  http_headers_add (headers, "Content-Type", "application/json");
  dialect->add_verdict (&verdict, id, headers);
  http_request_answer (request, status, headers, text, strlen (text));
}
