#include "dialect.h"

#include <string.h>

#include <core/http-status.h>

#include "credentials.h"

#define PREFIX "Switchmill-"
#define OUTCOME_HEADER PREFIX "Outcome"
#define REASON_HEADER PREFIX "Reason"
#define ATTEMPT_HEADER PREFIX "Attempt"
#define DEADLINE_HEADER PREFIX "Deadline-Ms"
#define ACCOUNT_HEADER PREFIX "Account"
/* In a target's answer: the requests a second that it takes from the whole fleet. */
#define RATE_HEADER PREFIX "Rate-Limit"
/* How long after the deadline the fence is still queried before the caller is answered
   "unknown". */
#define SLACK_US (500 * MS_US)

/* Whether the path is absolute and without segments that a target may resolve
   differently; others are rejected. */
static gboolean
path_is_plain (const char *path)
{
  return *path == '/' && !strstr (path, "/../") && !strstr (path, "/./") &&
         !strstr (path, "//") && !g_str_has_suffix (path, "/..") &&
         !g_str_has_suffix (path, "/.") && !strchr (path, '\\');
}

static const char *
decode (const HttpRequest *request, CallerRequest *words)
{
  const char *text = http_request_header (request, DEADLINE_HEADER);
  guint64 ms;

  words->host = dialect_host (request);
  words->path = g_strdup (http_request_path (request));
  if (text && g_ascii_string_to_unsigned (text, 10, 1, CONFIG_DEADLINE_MAX_MS, &ms, NULL))
    words->wait_us = (gint64)ms * MS_US;
  return path_is_plain (words->path) ? NULL : "the path must be absolute and plain";
}

static gboolean
is_own (const char *name)
{
  return g_ascii_strncasecmp (name, PREFIX, strlen (PREFIX)) == 0;
}

static gboolean
forwards (const char *name, gboolean key_checked)
{
  return !is_own (name) &&
         !(key_checked && g_ascii_strcasecmp (name, CREDENTIALS_HEADER) == 0);
}

static void
add_origin (const Settings *settings, const char *account, GArray *headers)
{
  if (account)
    http_headers_add (headers, ACCOUNT_HEADER, account);
}

static char *
attempt_text (const sw_attempt *attempt)
{
  return g_strdup_printf ("%s-%" G_GINT64_MODIFIER "x-%" G_GINT64_MODIFIER "x",
                          attempt->node, (guint64)attempt->incarnation,
                          (guint64)attempt->counter);
}

static void
add_attempt (const sw_submit_args *args, gint64 left_us, GArray *headers)
{
  g_autofree char *attempt = attempt_text (&args->attempt);
  g_autofree char *left = g_strdup_printf ("%" G_GINT64_FORMAT, left_us / MS_US);

  http_headers_add (headers, ATTEMPT_HEADER, attempt);
  http_headers_add (headers, DEADLINE_HEADER, left);
}

/* Whether the answer belongs to another attempt, because the target has echoed that
   attempt's identifier. Targets need not echo any. */
static gboolean
is_foreign (const sw_submit_args *args, const GArray *headers)
{
  const char *echo = http_headers_get (headers, ATTEMPT_HEADER);
  g_autofree char *own = NULL;

  if (!echo)
    return FALSE;
  own = attempt_text (&args->attempt);
  return strcmp (echo, own) != 0;
}

/* Requests of this dialect have no identifier. */
static gboolean
carries (const sw_submit_args *args, const char *id)
{
  return FALSE;
}

static void
judge (const sw_submit_args *args, const HttpResult *result, sw_submit_res *res)
{
  dialect_judge_transport (result, res);
  if (res->result != SW_DONE)
    return;
  if (is_foreign (args, result->headers))
    {
      res->result = SW_FAILED;
      res->reason = SW_REASON_CROSSED;
      return;
    }
  dialect_fill_answer (result, &res->answer);
}

/* Drops `Switchmill-*` headers of targets, because only the fleet reports outcomes. */
static gboolean
returns (const char *name)
{
  return !is_own (name);
}

static guint
status (const Verdict *verdict)
{
  if (verdict->outcome == OUTCOME_NOT_RUN)
    return HTTP_UNAVAILABLE;
  return verdict->reason == REASON_TIMEOUT || verdict->reason == REASON_LOST
             ? HTTP_GATEWAY_TIMEOUT
             : HTTP_BAD_GATEWAY;
}

static void
add_verdict (const Verdict *verdict, const char *id, GArray *headers)
{
  http_headers_add (headers, OUTCOME_HEADER, outcome_name (verdict->outcome));
  if (verdict->outcome == OUTCOME_DONE)
    return;
  if (verdict->reason != REASON_NONE)
    http_headers_add (headers, REASON_HEADER, reason_name (verdict->reason));
  if (verdict->outcome == OUTCOME_NOT_RUN && verdict->retry_after_us > 0)
    {
      /* Whole seconds, rounded up (RFC 9110, section 10.2.3). */
      gint64 seconds = MAX (1, (verdict->retry_after_us + SECOND_US - 1) / SECOND_US);
      g_autofree char *value = g_strdup_printf ("%" G_GINT64_FORMAT, seconds);

      http_headers_add (headers, "Retry-After", value);
    }
}

const Dialect dialect_own = {
  .decode = decode,
  .forwards = forwards,
  .add_origin = add_origin,
  .add_attempt = add_attempt,
  .carries = carries,
  .is_foreign = is_foreign,
  .judge = judge,
  .returns = returns,
  .status = status,
  .add_verdict = add_verdict,
  .rate_header = RATE_HEADER,
  .account_header = ACCOUNT_HEADER,
  .slack_us = SLACK_US,
  .tickets = TRUE,
};
