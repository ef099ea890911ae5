/*
 * The ingress's side of one request: which attempt to make, when to ask the fence, and
 * what the caller hears. No I/O: the owner carries out each step and reports back.
 *
 * An unrepeatable request goes to another target only after proof that the attempt
 * before did not run and never will (refused, fenced, or never sent).
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
  gboolean call;      /* made by a target */
  gboolean repeat;    /* and for a request that is not at its first attempt */
  gboolean pinned;    /* one attempt at one target: a ticket's */
  gint64 deadline_us; /* on the ingress's clock */
  gint64 slack_us;    /* past the deadline, until the caller is told at the latest */
  guint attempts_max; /* targets that the request may reach */
} DispatchPolicy;

/* What the owner does next. */
typedef enum
{
  DISPATCH_CHOOSE, /* find a target and call dispatch_chosen */
  DISPATCH_SEND,   /* send a new attempt, and wait `wait_us` for its answer */
  DISPATCH_ASK,    /* ask the fence about the last attempt, and wait `wait_us` */
  DISPATCH_PAUSE,  /* wait `wait_us`, then call dispatch_resume */
  DISPATCH_ANSWER  /* tell the caller; the dispatch is over */
} DispatchKind;

typedef struct
{
  DispatchKind kind;
  gint64 wait_us;
  gint64 hold_us;      /* for ASK: how long the sidecar may hold its answer */
  gint64 remaining_us; /* for SEND: until the deadline */
  Outcome outcome;     /* for ANSWER */
  Reason reason;
  gint64 retry_after_us;
} DispatchStep;

/* What came back of an attempt, or of a question about it. */
typedef enum
{
  DISPATCH_DONE,    /* a whole answer, which the owner holds */
  DISPATCH_FAULT,   /* a whole answer that says the target failed; the owner holds it */
  DISPATCH_REFUSED, /* proof that it did not run and never will */
  DISPATCH_FAILED,  /* it started, and no whole answer came */
  DISPATCH_STARTED, /* it runs still (to a question only) */
  DISPATCH_UNSURE,  /* the sidecar cannot tell */
  DISPATCH_UNSENT,  /* the message never left this node */
  DISPATCH_LOST     /* no answer: nothing is known */
} DispatchReport;

/* `rand` is borrowed. */
Dispatch *dispatch_create (const DispatchPolicy *policy, GRand *rand, Clock *clock);
void dispatch_destroy (Dispatch *dispatch);

DispatchStep dispatch_begin (Dispatch *dispatch);

/* After CHOOSE; `found` FALSE when no target can take it, with when to come back. */
DispatchStep dispatch_chosen (Dispatch *dispatch, gboolean found, gint64 retry_after_us);

/* Instead of it: the request is held back (core/quarantine.h), and not sent any more. */
DispatchStep dispatch_held_back (Dispatch *dispatch, gint64 retry_after_us);

/* After SEND. */
DispatchStep dispatch_sent (Dispatch *dispatch,
                            DispatchReport report,
                            Reason reason,
                            gint64 retry_after_us);

/* After ASK. */
DispatchStep dispatch_asked (Dispatch *dispatch,
                             DispatchReport report,
                             Reason reason,
                             gint64 retry_after_us);

/* After PAUSE. */
DispatchStep dispatch_resume (Dispatch *dispatch);

/*
 * A second attempt beside the one that is on its way: whether there may be one, that it
 * has been sent, and how one of the two ended while the other goes on. The end of the
 * last goes to dispatch_sent.
 */
gboolean dispatch_may_hedge (const Dispatch *dispatch);
void dispatch_beside_sent (Dispatch *dispatch);
void dispatch_beside_ended (Dispatch *dispatch, DispatchReport report, Reason reason);

/* Whether no other target may see the request after the next. */
gboolean dispatch_is_last_arrival (const Dispatch *dispatch);

/* What the next attempt is to the retry budget of its service, which the sidecars hold.
 */
RetryKind dispatch_retry_kind (const Dispatch *dispatch);

/* Time left until the deadline. */
gint64 dispatch_remaining_us (const Dispatch *dispatch);

/* Attempts that were sent, refused ones too. */
guint dispatch_attempts (const Dispatch *dispatch);

/* Attempts that were refused before any target saw them. */
guint dispatch_refusals (const Dispatch *dispatch);

/* Attempts that a target may have seen: the last one sent is not counted until it ends.
 */
guint dispatch_arrivals (const Dispatch *dispatch);

#endif
