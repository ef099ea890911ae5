/*
 * What the files of an exchange share: exchange.c its life, exchange-choice.c the choice
 * of a target, exchange-quarantine.c whether it may be sent at all, exchange-call.c the
 * steps that need a sidecar, exchange-hedge.c a second attempt beside one that takes too
 * long; attempt.c one attempt and its end, attempt-send.c its way to the sidecar.
 */
#ifndef DAEMON_EXCHANGE_PRIVATE_H
#define DAEMON_EXCHANGE_PRIVATE_H

#include <core/config.h>
#include <core/dispatch.h>
#include <core/latency.h>
#include <core/placement.h>
#include <io/http-server.h>

#include "adapter.h"
#include "peer-watch.h"
#include "quarantine-node.h"
#include "ticket.h"

typedef struct Exchange Exchange;
typedef struct Attempt Attempt;

/* One submission on its way: its answer may come when nobody waits for it any more. */
typedef struct
{
  Attempt *attempt; /* NULL once it has been given up */
} Pending;

struct Exchanges
{
  Node *node;
  GHashTable *set; /* of Exchange */
  guint64 counter; /* of attempts, those of tickets too */
  LatencyViews *latencies;
};

/* One attempt at one target. */
struct Attempt
{
  Exchange *exchange; /* NULL once it has been given up while a session was opened */
  Snapshot *targets;  /* holds the service alive */
  const Service *service;
  const Target *target;
  AttemptId id; /* its node is borrowed */
  PeerStamp stamp;
  RetryKind retry;
  gint64 wait_us;
  gint64 max_wait_us; /* in the sidecar's queue; 0 for up to the deadline */
  gint64 remaining_us;
  gint64 hold_us;
  gsize sent_bytes;
  gboolean trial;       /* the target is sick, and this is to show whether it still is */
  gboolean local;       /* the target is in this hall */
  gboolean may_queue;   /* free slots have been looked for in vain */
  gboolean proved_only; /* the target is to refuse unless it has kept a request lately */
  gboolean unanswered;  /* its node has not answered a question in time */
  gboolean even_sick;   /* the target is known to be sick, and was chosen all the same */
  gboolean opening;     /* a session is being opened for it */
  gboolean out;         /* it is counted at the balancer */
  gboolean submitted;   /* a sidecar may hold it */
  Pending *pending;     /* the submission that is waited for; NULL for none */
  PeerWatch *watch;     /* over the node that it went to */
  LoopTimer *patience;  /* while a session is being opened; NULL otherwise */
};

struct Exchange
{
  struct Exchanges *owner;
  HttpRequest *request;
  char *id;           /* the caller's own, NULL for none */
  Snapshot *snapshot; /* holds the route alive */
  const Route *route;
  char *service; /* the name of the route's service, or of its share */
  char *tenant;
  const Account *account; /* the snapshot's, which decides until the end; NULL for none */
  gboolean identified;    /* its key goes no further */
  guint priority;
  Ticket *ticket; /* NULL for none */
  Dispatch *dispatch;
  LoopTimer *timer;
  gint64 began_us;
  GPtrArray *tried; /* names of targets */
  GPtrArray *busy;  /* names of targets that had no free slot */
  Placement placement;
  RequestPrint print;
  guint unproved;   /* refusals of targets that have kept nothing lately */
  Attempt *attempt; /* the dispatch's last; NULL before the first */
  Attempt *hedge;   /* beside it; NULL for none */
  LoopTimer *hedge_timer;
  guint hedges;       /* that were asked for */
  gboolean abandoned; /* the caller has hung up */
  gboolean asking;    /* a question is on its way that calls back with the exchange */
  gboolean cut;       /* a stop has answered it; it ends when the question does */
  sw_answer answer;   /* owned once the outcome is "done" */
};

/* Does what the dispatch says next; the exchange may be over afterwards. */
void exchange_carry_out (Exchange *exchange, const DispatchStep *step);

/* Finds a target for the next attempt, and goes on. */
void exchange_choose (Exchange *exchange);

/* A target with a free slot for a second attempt; FALSE when there is none to ask. */
gboolean exchange_choose_hedge (Exchange *exchange, Attempt *attempt);

/* What may become of the request now, by what is known of its like. */
QuarantineVerdict exchange_quarantine (Exchange *exchange);

/* Answers instead of another attempt, where the request is held back; FALSE where not.
   The exchange is over afterwards. */
gboolean exchange_hold_back (Exchange *exchange, const QuarantineVerdict *verdict);

/* The target at which a request that is held back is tried, the same at every ingress
   that sees the same targets; NULL for none. */
const Target *exchange_trial_target (const Exchange *exchange, const Service *service);

/* An attempt of this exchange, at no target yet. */
Attempt *attempt_create (Exchange *exchange);

/* Gives it up; what still comes of it is dropped. */
void attempt_destroy (Attempt *attempt);

/* Nobody waits for it any more: its sidecar is told. */
void attempt_cancel (Attempt *attempt);

/* It is neither on its way nor waited for any more. */
void attempt_over (Attempt *attempt);

/* A session has been opened for it, or not. FALSE when nobody waits any more. */
gboolean attempt_opened (Attempt *attempt);

/* Its name on the wire, lent; and whether an answer is to it. */
void attempt_fill (const Attempt *attempt, sw_attempt *words);
gboolean attempt_is_own (const Attempt *attempt, const sw_attempt *words);

/* What a call to its sidecar says of the way there, and what an answer says of the
 * target. */
void attempt_note_path (const Attempt *attempt, RpcOutcome outcome);
void attempt_note_answer (const Attempt *attempt, const sw_submit_res *res);

/* The sidecar has answered, or nothing is to be expected of it: the exchange goes on.
   `res` is NULL without an answer. */
void attempt_ended (Attempt *attempt, RpcOutcome outcome, sw_submit_res *res);

/* Sends it to its target. */
void attempt_send (Attempt *attempt, gint64 wait_us, gint64 remaining_us);

/* Names it; FALSE for a ticket of another start of its sidecar. */
gboolean attempt_name (Attempt *attempt, const PeerStamp *stamp);

/* Sends the next attempt, or asks the fence about the last one. */
void exchange_send (Exchange *exchange, const DispatchStep *step);
void exchange_ask (Exchange *exchange, const DispatchStep *step);

/* How a sidecar's answer reads for the dispatch; one to another attempt is no answer. A
   whole answer is taken over by the exchange. */
DispatchReport attempt_report (Attempt *attempt, RpcOutcome outcome, sw_submit_res *res);

/* How long the request may wait and still be answered within its objective; under 0 when
   it will be late. */
gint64 exchange_slack_us (const Exchange *exchange);

/* What is known of how long answers on the exchange's route take. */
LatencyFit exchange_fit (const Exchange *exchange);

/* The attempt has been sent: a second one follows if it takes too long. */
void exchange_hedge_later (Exchange *exchange);
/* What the timer of the second attempt calls; `data` is the exchange. */
void exchange_on_hedge_timer (gpointer data);
/* No second one follows any more, and one that is on its way is given up. */
void exchange_drop_hedge (Exchange *exchange);
/* The second attempt has ended. */
void exchange_hedge_ended (Exchange *exchange, DispatchReport report, Reason reason);
/* The first has ended, and badly: the second, if there is one, takes its place. */
gboolean
exchange_promote_hedge (Exchange *exchange, DispatchReport report, Reason reason);

#endif
