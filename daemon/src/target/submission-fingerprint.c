#include "sidecar-private.h"

#include "adapter.h"
#include "credentials.h"

static const char *
header_of (const sw_submit_args *args, const char *name)
{
  for (u_int i = 0; i < args->headers.headers_len; i++)
    if (g_ascii_strcasecmp (args->headers.headers_val[i].name, name) == 0)
      return args->headers.headers_val[i].value;
  return NULL;
}

FingerprintInput
submission_fingerprint_input (const Submission *submission)
{
  const sw_submit_args *args = &submission->args;
  const Dialect *dialect = submission->sidecar->node->adapter->dialect;
  const char *account = header_of (args, dialect->account_header);
  FingerprintInput words = { .service = submission->target->service,
                             .account = account,
                             .method = args->method,
                             .host = header_of (args, "Host"),
                             .path = args->path,
                             .body = args->body.body_val,
                             .body_len = args->body.body_len };

  /* Without an account, the access key distinguishes callers, even if the fleet does not
     know the key. */
  if (!account)
    words.account = header_of (args, CREDENTIALS_HEADER);
  return words;
}
