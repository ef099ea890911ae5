/*
 * The ingress's answers to callers, with the headers and statuses of the node's dialect.
 */
#ifndef DAEMON_ANSWER_H
#define DAEMON_ANSWER_H

#include "dialect.h"

/* Forwards a target's answer to the caller, with the headers that the dialect lets pass.
 */
void
answer_forward (const Dialect *dialect, HttpRequest *request, const sw_answer *answer);

/* Answers that a request did not run, or that it may have run; `id` is the caller's
   request identifier, or NULL. */
void answer_failure (const Dialect *dialect,
                     HttpRequest *request,
                     const char *id,
                     const Verdict *verdict);

/* Refuses a request that has not run, with `status` and the message `what`; on status 503
   the caller may retry after a second. */
void answer_error (const Dialect *dialect,
                   HttpRequest *request,
                   const char *id,
                   guint status,
                   const char *what);

/* Like answer_error, with an explicit Retry-After; 0 sends none. */
void answer_refusal (const Dialect *dialect,
                     HttpRequest *request,
                     const char *id,
                     guint status,
                     const char *what,
                     gint64 retry_after_us);

#endif
