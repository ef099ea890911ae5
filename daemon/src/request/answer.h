/*
 * The ingress's answers to callers, in the words of the node's dialect.
 */
#ifndef DAEMON_ANSWER_H
#define DAEMON_ANSWER_H

#include "dialect.h"

/* Passes a target's whole answer on. */
void answer_pass (const Dialect *dialect, HttpRequest *request, const sw_answer *answer);

/* Tells that a request did not run, or may have; `id` is the caller's, NULL for none. */
void answer_give_up (const Dialect *dialect,
                     HttpRequest *request,
                     const char *id,
                     const Verdict *verdict);

/* A request that cannot be routed or is not allowed: not run, with what to do. */
void answer_error (const Dialect *dialect,
                   HttpRequest *request,
                   const char *id,
                   guint status,
                   const char *what);

/* Likewise, and when to come again; 0 for nothing said. */
void answer_refusal (const Dialect *dialect,
                     HttpRequest *request,
                     const char *id,
                     guint status,
                     const char *what,
                     gint64 retry_after_us);

#endif
