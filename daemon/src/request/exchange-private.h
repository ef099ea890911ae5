/*
 * Declarations shared by the files of an exchange: exchange.c creates, answers and ends
 * it, exchange-choice.c chooses targets, exchange-quarantine.c checks the quarantine,
 * exchange-call.c sends attempts and queries the fence, exchange-hedge.c sends a second
 * attempt in parallel with a late one; attempt.c holds one attempt and handles its
 * result, attempt-send.c sends it to the sidecar.
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

/* One call in flight; its result may arrive after the attempt has been destroyed. */
typedef struct
{
  Attempt *attempt; /* NULL once the result is no longer wanted */
} PendingCall;

struct Exchanges
{
  Node *node;
  GHashTable *set; /* of Exchange */
  guint64 counter; /* of the last attempt or ticket that was numbered */
  LatencyViews *latencies;
};

/* One attempt at one target. */
struct Attempt
{
  Exchange *exchange; /* NULL if destroyed while a session is being opened */
  Snapshot *targets;  /* owns the service and the target */
  const Service *service;
  const Target *target;
  AttemptId id; /* the node name is borrowed */
  PeerStamp stamp;
  RetryKind retry;
  gint64 wait_us;
  gint64 max_wait_us; /* in the sidecar's queue; 0 for no bound but the deadline */
  gint64 remaining_us;
  gint64 hold_us;
  gsize sent_bytes;
  gboolean trial;       /* of an ejected target, or of a quarantined request */
  gboolean local;       /* the target is in this hall */
  gboolean may_queue;   /* the sidecar may queue it; else it needs a free slot */
  gboolean proved_only; /* the target must have kept a request lately (core/proof.h) */
  gboolean unanswered;  /* the node did not open a session, hold a slot or answer a ping
                           in time */
  gboolean even_sick;   /* the target was chosen although it is known to be sick */
  gboolean opening;     /* a session is being opened */
  gboolean out;         /* counted at the balancer as in flight */
  gboolean submitted;   /* a sidecar may have the request */
  PendingCall *pending; /* the call in flight, or NULL */
  PeerWatch *watch;     /* on the target's node while the request is there */
  LoopTimer *session_timer; /* bounds the opening of a session; NULL at other times */
};

struct Exchange
{
  struct Exchanges *owner;
  HttpRequest *request;
  char *id;           /* the caller's request identifier, or NULL */
  Snapshot *snapshot; /* owns the route and the account */
  const Route *route;
  char *service; /* the name; of the service picked, where the route is split */
  char *tenant;
  const Account *account; /* of `snapshot`, also after a new configuration; or NULL */
  gboolean call;          /* a target makes it for a request that it runs */
  gboolean key_checked;   /* the access key was checked and is not forwarded */
  guint priority;
  Ticket *ticket; /* or NULL */
  Dispatch *dispatch;
  LoopTimer *timer;
  gint64 began_us;
  GPtrArray *tried; /* names of targets that are not chosen again */
  GPtrArray *busy;  /* names of targets that had no free slot; chosen again only at
                       PLACEMENT_LAST_QUEUE */
  Placement placement;
  RequestFingerprints print;
  guint unproved;   /* refusals for REASON_UNPROVED */
  Attempt *attempt; /* the last attempt but for the hedge; NULL before the first */
  Attempt *hedge;   /* in flight in parallel with `attempt`, or NULL */
  LoopTimer *hedge_timer;
  guint hedges;       /* attempts sent as hedges so far */
  gboolean abandoned; /* the caller has hung up */
  gboolean asking;    /* a session or fence query that calls back with the exchange is
                         pending */
  gboolean cut;     /* answered by a forced stop; freed when the pending query returns */
  sw_answer answer; /* the last whole answer of a target, or zeroed */
};

/* Performs a step of the dispatch. May free the exchange. */
void exchange_carry_out (Exchange *exchange, const DispatchStep *step);

/* Chooses a target for the next attempt and continues with it. May free the exchange. */
void exchange_choose_target (Exchange *exchange);

/* Chooses a target for a hedge, from those that seem to have a free slot; returns FALSE
   if there is none. */
gboolean exchange_choose_hedge (Exchange *exchange, Attempt *attempt);

/* Returns the quarantine's verdict on the request. */
QuarantineVerdict exchange_quarantine (Exchange *exchange);

/* Answers instead of making another attempt, if the verdict forbids one. Returns FALSE if
   it does not; if TRUE, the exchange has been freed. */
gboolean exchange_refuse_quarantined (Exchange *exchange,
                                      const QuarantineVerdict *verdict);

/* Returns the target for a trial of a quarantined request, or NULL. Ingresses that see
   the same healthy targets choose the same one. */
const Target *exchange_trial_target (const Exchange *exchange, const Service *service);

/* Creates an attempt without a target. */
Attempt *attempt_create (Exchange *exchange);

/* Frees the attempt, and ignores the result of a call in flight. NULL is allowed. */
void attempt_destroy (Attempt *attempt);

/* Tells the sidecar to cancel the attempt if it may have it, and logs `why`. An attempt
   with a ticket is not cancelled, because other requests may carry the same ticket. */
void attempt_cancel (Attempt *attempt, const char *why);

/* Ignores the result of a call in flight, and ends the attempt at the balancer. */
void attempt_detach (Attempt *attempt);

/* Marks the opening of a session as finished. Returns FALSE, and frees the attempt, if it
   was destroyed meanwhile. */
gboolean attempt_session_opened (Attempt *attempt);

/* Fills `words` with the attempt's identifier; the node name is borrowed. */
void attempt_fill_id (const Attempt *attempt, sw_attempt *words);
/* Whether `words` is the attempt's identifier. */
gboolean attempt_id_matches (const Attempt *attempt, const sw_attempt *words);

/* Records what the outcome of a call tells about the path to the target's node. */
void attempt_note_path (const Attempt *attempt, RpcOutcome outcome);
/* Records the latencies, the clock reading and the target state that an answer carries.
 */
void attempt_note_answer (const Attempt *attempt, const sw_submit_res *res);

/* Ends the attempt with the sidecar's answer, or without one (`res` NULL), and continues
   the exchange, which may be freed. */
void attempt_ended (Attempt *attempt, RpcOutcome outcome, sw_submit_res *res);

/* Sends the attempt to its target: waits `wait_us` for the answer; `remaining_us` is the
   time to the deadline, from now. */
void attempt_send (Attempt *attempt, gint64 wait_us, gint64 remaining_us);

/* Gives the attempt an identifier and the sidecar's stamp. A ticket already has both;
   returns FALSE if its sidecar has been restarted since. */
gboolean attempt_assign_id (Attempt *attempt, const PeerStamp *stamp);

/* Sends the attempt to the target that was chosen. */
void exchange_send (Exchange *exchange, const DispatchStep *step);
/* Queries the fence about the last attempt. */
void exchange_query_fence (Exchange *exchange, const DispatchStep *step);

/* Translates the result of a call for the dispatch; an answer to another attempt counts
   as lost. The exchange takes ownership of a target's whole answer. */
DispatchReport attempt_report (Attempt *attempt, RpcOutcome outcome, sw_submit_res *res);

/* Returns how long the request may wait and still be answered within its route's
   objective, or without one by the deadline; negative if it will be late. */
gint64 exchange_slack_us (const Exchange *exchange);

/* Returns the latency distribution of the exchange's route, as far as it is known. */
LatencyFit exchange_latency_fit (const Exchange *exchange);

/* Schedules a hedge in case the attempt that is sent now takes too long. */
void exchange_schedule_hedge (Exchange *exchange);
/* Callback of `hedge_timer`: sends a hedge if one is allowed; `data` is the exchange. */
void exchange_on_hedge_timer (gpointer data);
/* Stops the hedge timer, and cancels a hedge that is in flight. */
void exchange_cancel_hedge (Exchange *exchange);
/* Handles the end of the hedge. May free the exchange. */
void exchange_hedge_ended (Exchange *exchange, DispatchReport report, Reason reason);
/* Replaces an attempt that ended without success by the hedge that is in flight; returns
   FALSE if there is none, or if the attempt succeeded. */
gboolean
exchange_promote_hedge (Exchange *exchange, DispatchReport report, Reason reason);

#endif
