/*
 * The log lines of one request's way: each attempt with what decided it, how it ended at
 * the sidecar and at the ingress, and the answer. `switchmill explain` puts them
 * together.
 */
#ifndef DAEMON_REQUEST_LOG_H
#define DAEMON_REQUEST_LOG_H

#include "exchange-private.h"

/* An attempt goes out. */
void request_log_attempt (const Attempt *attempt);
/* It has ended, or nobody waits for it any more. `res` is NULL without an answer. */
void request_log_attempt_end (const Attempt *attempt,
                              RpcOutcome outcome,
                              const sw_submit_res *res);
/* The caller has left. */
void request_log_gone (const Exchange *exchange);
/* The caller gets the last word. */
void request_log_end (const Exchange *exchange, const DispatchStep *step, gint64 took_us);

#endif
