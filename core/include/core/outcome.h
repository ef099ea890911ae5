/*
 * The outcome of a request as reported to its caller, and the reason for it.
 */
#ifndef CORE_OUTCOME_H
#define CORE_OUTCOME_H

typedef enum
{
  OUTCOME_DONE,    /* a complete answer of the target */
  OUTCOME_NOT_RUN, /* proof that the request did not run and never will */
  OUTCOME_UNKNOWN  /* the request may have run */
} Outcome;

#define OUTCOME_COUNT 3u

/* Returns "done", "not-run" or "unknown". */
const char *outcome_name (Outcome outcome);

/* Values up to REASON_RATE_LIMITED equal those of the wire protocol's sw_reason; the ones
   after it arise at the ingress. */
typedef enum
{
  REASON_NONE,
  REASON_OVERLOAD,
  REASON_DRAINING,
  REASON_INCARNATION,
  REASON_STALE,
  REASON_DEADLINE,
  REASON_NO_TARGET,
  REASON_DUPLICATE,
  REASON_FENCED,
  REASON_CONNECT,
  REASON_BROKEN,
  REASON_TIMEOUT,
  REASON_CROSSED,
  REASON_TOO_LARGE,
  REASON_TARGET_REFUSED, /* the target answered that it did not run the request */
  REASON_TARGET_FAILED,  /* the target answered that it failed */
  REASON_CANCELLED,      /* the caller disconnected */
  REASON_SICK,           /* the target is sick; others may be healthy */
  REASON_BUDGET,         /* the service's retry budget is exhausted */
  REASON_UNPROVED,       /* the target has not kept a request recently (core/proof.h) */
  REASON_QUARANTINED,    /* targets crashed while they ran this request */
  REASON_EVACUATED,      /* the target's data hall is evacuated */
  REASON_RATE_LIMITED,   /* the rate that the target has named is used up */
  REASON_LOST,           /* no answer from the sidecar */
  REASON_UNREACHABLE,    /* no connection to the sidecar: nothing was sent */
  REASON_COUNT
} Reason;

/* Returns the short name used in headers, logs and metrics. */
const char *reason_name (Reason reason);

#endif
