/*
 * The log lines of one request: each attempt with the facts behind the choice of its
 * target, the end of each, and the answer. `switchmill explain` combines them with the
 * sidecars' lines.
 */
#ifndef DAEMON_REQUEST_LOG_H
#define DAEMON_REQUEST_LOG_H

#include "exchange-private.h"

/* Logs that an attempt starts. */
void request_log_attempt (const Attempt *attempt);
/* Logs the end of an attempt, unless the target's whole answer came: request_log_end
   reports the answer. `res` is NULL without an answer of the sidecar. */
void request_log_attempt_end (const Attempt *attempt,
                              RpcOutcome outcome,
                              const sw_submit_res *res);
/* Logs that the attempt is cancelled, and why. */
void request_log_attempt_cancel (const Attempt *attempt, const char *why);
/* Logs that the caller has hung up. */
void request_log_caller_gone (const Exchange *exchange);
/* Logs the final answer, and where the node is stopping, when request and answer came
   relative to the stop order. */
void request_log_end (const Exchange *exchange, const DispatchStep *step, gint64 took_us);

#endif
