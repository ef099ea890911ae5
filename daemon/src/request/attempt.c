#include "exchange-private.h"

#include <string.h>

#include <core/http-status.h>

#include "request-log.h"

/* Bounds the cancellation call; its answer is not used. */
#define CANCEL_TIMEOUT_US SECOND_US

static const RpcProcedure cancel = { SW_CANCEL, (xdrproc_t)xdr_sw_cancel_args, wire_void,
                                     0 };

Attempt *
attempt_create (Exchange *exchange)
{
  Attempt *attempt = g_new0 (Attempt, 1);

  attempt->exchange = exchange;
  return attempt;
}

/* Detaches the attempt from its pending call, whose result is then ignored, and stops
   watching the node. */
static void
drop_pending (Attempt *attempt)
{
  if (attempt->pending)
    attempt->pending->attempt = NULL;
  attempt->pending = NULL;
  g_clear_pointer (&attempt->watch, peer_watch_destroy);
}

void
attempt_detach (Attempt *attempt)
{
  drop_pending (attempt);
  if (attempt->out)
    balancer_attempt_ended (attempt->exchange->owner->node->balancer,
                            attempt->target->name);
  attempt->out = FALSE;
}

static void
attempt_free (Attempt *attempt)
{
  loop_timer_destroy (attempt->session_timer);
  g_clear_pointer (&attempt->targets, snapshot_unref);
  g_free (attempt);
}

void
attempt_destroy (Attempt *attempt)
{
  if (!attempt)
    return;
  attempt_detach (attempt);
  attempt->exchange = NULL;
  g_clear_pointer (&attempt->session_timer, loop_timer_destroy);
  /* peers_open still calls back with the attempt; attempt_session_opened frees it then.
   */
  if (!attempt->opening)
    attempt_free (attempt);
}

gboolean
attempt_session_opened (Attempt *attempt)
{
  attempt->opening = FALSE;
  g_clear_pointer (&attempt->session_timer, loop_timer_destroy);
  if (attempt->exchange)
    return TRUE;
  attempt_free (attempt);
  return FALSE;
}

void
attempt_fill_id (const Attempt *attempt, sw_attempt *words)
{
  words->node = attempt->id.node;
  words->incarnation = attempt->id.incarnation;
  words->counter = attempt->id.counter;
}

static void
on_cancelled (RpcOutcome outcome, void *result, gpointer data)
{
  /* If a cancellation is lost, the request only runs on until its deadline. */
}

void
attempt_cancel (Attempt *attempt, const char *why)
{
  Exchange *exchange = attempt->exchange;
  Node *node = exchange->owner->node;
  sw_cancel_args args = { 0 };

  if (!attempt->submitted || exchange->ticket)
    return;
  attempt->submitted = FALSE;
  request_log_attempt_cancel (attempt, why);
  attempt_fill_id (attempt, &args.attempt);
  args.sidecar = attempt->stamp.incarnation;
  args.clock_us = (guint64)attempt->stamp.reading_us;
  args.target = attempt->target->name;
  args.repeatable = exchange->route->repeatable;
  metrics_add (node->metrics, METRIC_CANCELS, 1);
  peers_call (node->peers, attempt->target->vm, &cancel, &args, CANCEL_TIMEOUT_US,
              on_cancelled, NULL);
}

gboolean
attempt_id_matches (const Attempt *attempt, const sw_attempt *words)
{
  return words->counter == attempt->id.counter &&
         words->incarnation == attempt->id.incarnation &&
         strcmp (words->node, attempt->id.node) == 0;
}

DispatchReport
attempt_report (Attempt *attempt, RpcOutcome outcome, sw_submit_res *res)
{
  Exchange *exchange = attempt->exchange;

  /* A denied call is rejected before its procedure runs. */
  if (outcome == RPC_UNSENT || outcome == RPC_DENIED)
    return DISPATCH_UNSENT;
  if (outcome != RPC_OK || !attempt_id_matches (attempt, &res->attempt))
    return DISPATCH_LOST;
  switch (res->result)
    {
    case SW_DONE:
      xdr_free ((xdrproc_t)xdr_sw_answer, (char *)&exchange->answer);
      exchange->answer = res->answer;
      memset (&res->answer, 0, sizeof res->answer);
      return exchange->answer.status >= HTTP_SERVER_ERROR ? DISPATCH_FAULT
                                                          : DISPATCH_DONE;
    case SW_REFUSED:
      return DISPATCH_REFUSED;
    case SW_FAILED:
      return DISPATCH_FAILED;
    case SW_STARTED:
      return DISPATCH_STARTED;
    default:
      return DISPATCH_UNSURE;
    }
}

void
attempt_note_path (const Attempt *attempt, RpcOutcome outcome)
{
  Node *node = attempt->exchange->owner->node;
  const char *vm = attempt->target->vm;

  /* A timeout may be due to a slow target or a slow node, so the node itself is called.
     If it does not answer, its path is probed until it does. */
  if (outcome == RPC_TIMEOUT || attempt->unanswered)
    peers_check (node->peers, vm);
  else
    balancer_note_path (node->balancer, vm, outcome == RPC_OK);
}

void
attempt_note_answer (const Attempt *attempt, const sw_submit_res *res)
{
  const Exchange *exchange = attempt->exchange;
  Node *node = exchange->owner->node;
  LatencyFit fit = latency_fit_unpack (res->route_fit);

  latency_views_note (exchange->owner->latencies,
                      latency_route_id (exchange->route->class), attempt->target->name,
                      &fit);
  peers_note_stamp (node->peers, &res->stamp);
  peers_note_state (node->peers, &res->stamp, &res->state);
}

static char *
remove_tried (Exchange *exchange, const char *name)
{
  for (guint i = exchange->tried->len; i-- > 0;)
    if (strcmp (g_ptr_array_index (exchange->tried, i), name) == 0)
      return g_ptr_array_steal_index (exchange->tried, i);
  return NULL;
}

/*
 * Lets a target that refused without running the request be chosen again. After
 * REASON_SICK or REASON_UNPROVED it may be chosen at once; after REASON_OVERLOAD,
 * REASON_RATE_LIMITED or REASON_BUDGET, if the attempt was not allowed to queue, only at
 * PLACEMENT_LAST_QUEUE.
 */
static void
note_refusal (const Attempt *attempt, Reason reason)
{
  Exchange *exchange = attempt->exchange;
  char *name;

  if (attempt != exchange->hedge)
    placement_refused (&exchange->placement, reason);
  exchange->unproved += reason == REASON_UNPROVED;
  if (reason != REASON_SICK && reason != REASON_OVERLOAD && reason != REASON_BUDGET &&
      reason != REASON_UNPROVED && reason != REASON_RATE_LIMITED)
    return;
  name = remove_tried (exchange, attempt->target->name);
  if (!name)
    return;
  if (reason == REASON_SICK || reason == REASON_UNPROVED)
    g_free (name);
  else if (!attempt->may_queue)
    g_ptr_array_add (exchange->busy, name);
  else
    g_ptr_array_add (exchange->tried, name);
}

/* Moves the bytes sent for a refused attempt to the count of refused traffic. */
static void
recount_refused_bytes (Attempt *attempt)
{
  const Node *node = attempt->exchange->owner->node;

  traffic_recount (node->traffic, TRAFFIC_REQUESTS, TRAFFIC_REFUSED,
                   peers_in_own_hall (node, attempt->target->vm), attempt->sent_bytes);
  attempt->sent_bytes = 0;
}

void
attempt_ended (Attempt *attempt, RpcOutcome outcome, sw_submit_res *res)
{
  Exchange *exchange = attempt->exchange;
  Reason reason = outcome == RPC_OK ? (Reason)res->reason : REASON_LOST;
  DispatchReport report;
  DispatchStep step;

  request_log_attempt_end (attempt, outcome, res);
  attempt_detach (attempt);
  attempt_note_path (attempt, outcome);
  attempt->submitted &= outcome == RPC_TIMEOUT || outcome == RPC_LOST;
  if (outcome == RPC_OK)
    attempt_note_answer (attempt, res);
  report = attempt_report (attempt, outcome, res);
  if (report == DISPATCH_REFUSED || report == DISPATCH_UNSENT)
    note_refusal (attempt, outcome == RPC_OK ? reason : REASON_UNREACHABLE);
  if (report == DISPATCH_REFUSED)
    recount_refused_bytes (attempt);
  if (attempt == exchange->hedge)
    {
      exchange_hedge_ended (exchange, report, reason);
      return;
    }
  if (exchange_promote_hedge (exchange, report, reason))
    return;
  exchange_cancel_hedge (exchange);
  step = dispatch_sent (exchange->dispatch, report, reason,
                        outcome == RPC_OK ? (gint64)res->retry_after_ms * MS_US : 0);
  exchange_carry_out (exchange, &step);
}
