/*
 * What a caller is told of a request.
 */
#ifndef CORE_OUTCOME_H
#define CORE_OUTCOME_H

typedef enum
{
  OUTCOME_DONE,    /* the target's whole answer */
  OUTCOME_NOT_RUN, /* proved: it did not run and will not */
  OUTCOME_UNKNOWN  /* it may have run */
} Outcome;

#define OUTCOME_COUNT 3u

/* "done", "not-run" or "unknown". */
const char *outcome_name (Outcome outcome);

/* Why it came out so; in the order of the wire's reasons, then the ingress's own. */
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
  REASON_TARGET_REFUSED, /* the target itself says that it did not run the request */
  REASON_TARGET_FAILED,  /* the target answered that it failed */
  REASON_CANCELLED,      /* the caller has gone */
  REASON_SICK,           /* the target has just been found sick; others may be well */
  REASON_BUDGET,         /* a retry that the service's budget has no room for */
  REASON_UNPROVED,       /* the target has kept nothing lately that it was sent */
  REASON_QUARANTINED,    /* targets have ended under this request */
  REASON_EVACUATED,      /* the target's data hall takes nothing for now */
  REASON_LOST,           /* no answer from the sidecar */
  REASON_UNREACHABLE,    /* no connection to the sidecar: nothing was sent */
  REASON_COUNT
} Reason;

/* A short word for a header, a log or a metric. */
const char *reason_name (Reason reason);

#endif
