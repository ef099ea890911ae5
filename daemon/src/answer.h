/*
 * The ingress's answers to callers, with the outcome in a header and in the status.
 */
#ifndef DAEMON_ANSWER_H
#define DAEMON_ANSWER_H

#include <core/outcome.h>
#include <io/http-server.h>
#include <wire/message.h>

#define OUTCOME_HEADER "Switchmill-Outcome"
#define REASON_HEADER "Switchmill-Reason"

/* Passes a target's whole answer on. */
void answer_pass (HttpRequest *request, const sw_answer *answer);

/* Tells that a request did not run, or may have; with when to come back. */
void answer_give_up (HttpRequest *request,
                     Outcome outcome,
                     Reason reason,
                     gint64 retry_after_us);

/* A request that cannot be routed or is not allowed: not run, with what to do. */
void answer_error (HttpRequest *request, guint status, const char *what);

#endif
