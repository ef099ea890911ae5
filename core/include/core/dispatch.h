/*
 * The state machine of one request at the ingress: when to send an attempt, when to query
 * the fence, and what to answer the caller. It does no I/O: the owner carries out each
 * step and reports the result.
 *
 * An unrepeatable request goes to another target only after proof that the previous
 * attempt did not run and never will (refused, fenced, or never sent).
 */
#ifndef CORE_DISPATCH_H
#define CORE_DISPATCH_H

#include <core/clock.h>
#include <core/outcome.h>
#include <core/retry.h>

typedef struct Dispatch Dispatch;

typedef struct
{
  gboolean repeatable;
  gboolean call;      /* the caller is itself a target serving a request */
  gboolean repeat;    /* and the request that it serves is a retry */
  gboolean pinned;    /* the request has a ticket: one attempt at one target */
  gint64 deadline_us; /* on the ingress's clock */
  gint64 slack_us;    /* longest delay of the answer after the deadline */
  guint attempts_max; /* maximum number of attempts that may reach a target */
} DispatchPolicy;

/* The next action of the owner. */
typedef enum
{
  DISPATCH_CHOOSE,      /* choose a target, then call dispatch_chosen */
  DISPATCH_SEND,        /* send a new attempt, and wait `wait_us` for its answer */
  DISPATCH_QUERY_FENCE, /* query the fence about the last attempt, and wait `wait_us` */
  DISPATCH_PAUSE,       /* wait `wait_us`, then call dispatch_resume */
  DISPATCH_ANSWER       /* answer the caller; the dispatch has ended */
} DispatchKind;

typedef struct
{
  DispatchKind kind;
  gint64 wait_us;
  gint64 hold_us;      /* for QUERY_FENCE: how long the sidecar may wait for the end of
                          the attempt */
  gint64 remaining_us; /* for SEND: time until the deadline */
  Outcome outcome;     /* for ANSWER, as the two below */
  Reason reason;
  gint64 retry_after_us;
} DispatchStep;

/* The result of an attempt, or of a query to the fence. */
typedef enum
{
  DISPATCH_DONE,    /* a complete answer, which the owner keeps */
  DISPATCH_FAULT,   /* a complete answer reporting a failure; the owner keeps it */
  DISPATCH_REFUSED, /* proof that the attempt did not run and never will */
  DISPATCH_FAILED,  /* the attempt started, but gave no complete answer */
  DISPATCH_STARTED, /* the attempt is still running */
  DISPATCH_UNSURE,  /* the sidecar cannot tell whether the attempt ran */
  DISPATCH_UNSENT,  /* the message never left this node */
  DISPATCH_LOST     /* no answer from the sidecar: the attempt may have run */
} DispatchReport;

/* `policy` is copied; `rand` and `clock` are borrowed and must outlive the dispatch. */
Dispatch *dispatch_create (const DispatchPolicy *policy, GRand *rand, Clock *clock);
void dispatch_destroy (Dispatch *dispatch);

DispatchStep dispatch_begin (Dispatch *dispatch);

/* Reports the result of CHOOSE. `found` is FALSE if no target can take the request;
   `retry_after_us`, if above 0, is then the caller's retry delay. */
DispatchStep dispatch_chosen (Dispatch *dispatch, gboolean found, gint64 retry_after_us);

/* Reports, instead of dispatch_chosen, that the request is quarantined
   (core/quarantine.h). No further attempt is made. */
DispatchStep dispatch_quarantined (Dispatch *dispatch, gint64 retry_after_us);

/* Reports the result of SEND. */
DispatchStep dispatch_sent (Dispatch *dispatch,
                            DispatchReport report,
                            Reason reason,
                            gint64 retry_after_us);

/* Reports the result of QUERY_FENCE. */
DispatchStep dispatch_queried (Dispatch *dispatch,
                               DispatchReport report,
                               Reason reason,
                               gint64 retry_after_us);

/* Continues after PAUSE. */
DispatchStep dispatch_resume (Dispatch *dispatch);

/*
 * Hedging: a second attempt while the first is in flight. dispatch_may_hedge tells
 * whether one is allowed, dispatch_hedge_sent records that it was sent, and
 * dispatch_hedge_over records the result of the attempt that ended first while the
 * other continues. The result of the remaining attempt goes to dispatch_sent.
 */
gboolean dispatch_may_hedge (const Dispatch *dispatch);
void dispatch_hedge_sent (Dispatch *dispatch);
void dispatch_hedge_over (Dispatch *dispatch, DispatchReport report, Reason reason);

/* Returns whether the next target to see the request is the last one allowed. */
gboolean dispatch_is_last_arrival (const Dispatch *dispatch);

/* How the next attempt counts in the service's retry budget, which the sidecars keep. */
RetryKind dispatch_retry_kind (const Dispatch *dispatch);

/* Brings the deadline forward to `end_us`, unless it is earlier already. An attempt in
   flight keeps its time. */
void dispatch_set_end (Dispatch *dispatch, gint64 end_us);

/* Time until the deadline; negative after it. */
gint64 dispatch_remaining_us (const Dispatch *dispatch);

/* Attempts that were sent, including refused ones. */
guint dispatch_attempts (const Dispatch *dispatch);

/* Attempts that no target saw; includes attempts in flight until they end. */
guint dispatch_refusals (const Dispatch *dispatch);

/* Attempts that a target may have seen. An attempt in flight is not counted until it
   ends. */
guint dispatch_arrivals (const Dispatch *dispatch);

#endif
