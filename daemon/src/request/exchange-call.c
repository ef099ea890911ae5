#include "exchange-private.h"

static const RpcProcedure fence = { SW_FENCE, (xdrproc_t)xdr_sw_fence_args,
                                    (xdrproc_t)xdr_sw_submit_res,
                                    sizeof (sw_submit_res) };
static void
on_fence_answer (RpcOutcome outcome, void *result, gpointer data)
{
  Exchange *exchange = data;
  Attempt *attempt = exchange->attempt;
  sw_submit_res *res = result;
  DispatchReport report;
  DispatchStep step;

  exchange->asking = FALSE;
  attempt_note_path (attempt, outcome);
  if (outcome == RPC_OK)
    attempt_note_answer (attempt, res);
  report = attempt_report (attempt, outcome, res);
  attempt->submitted &= report != DISPATCH_REFUSED;
  step = dispatch_queried (exchange->dispatch, report,
                           outcome == RPC_OK ? (Reason)res->reason : REASON_LOST,
                           outcome == RPC_OK ? (gint64)res->retry_after_ms * MS_US : 0);
  exchange_carry_out (exchange, &step);
}

void
exchange_send (Exchange *exchange, const DispatchStep *step)
{
  Attempt *attempt = exchange->attempt;

  attempt->retry = dispatch_retry_kind (exchange->dispatch);
  if (dispatch_attempts (exchange->dispatch) > 1)
    metrics_add (exchange->owner->node->metrics, METRIC_RETRIES, 1);
  exchange_schedule_hedge (exchange);
  attempt_send (attempt, step->wait_us, step->remaining_us);
}

/* Queries the fence of the incarnation that the attempt was sent to; a later one has no
   record of the attempt. */
static void
on_fence_session (const PeerStamp *stamp, gpointer data)
{
  Exchange *exchange = data;
  const Attempt *attempt = exchange->attempt;
  sw_fence_args args = { 0 };
  DispatchStep step;

  if (!stamp)
    {
      on_fence_answer (RPC_UNSENT, NULL, exchange);
      return;
    }
  if (stamp->incarnation != attempt->stamp.incarnation)
    {
      exchange->asking = FALSE;
      step =
          dispatch_queried (exchange->dispatch, DISPATCH_UNSURE, REASON_INCARNATION, 0);
      exchange_carry_out (exchange, &step);
      return;
    }
  attempt_fill_id (attempt, &args.attempt);
  args.sidecar = attempt->stamp.incarnation;
  args.clock_us = (guint64)attempt->stamp.reading_us;
  args.target = attempt->target->name;
  args.wait_ms = (u_int)(attempt->hold_us / MS_US);
  peers_call (exchange->owner->node->peers, attempt->target->vm, &fence, &args,
              attempt->wait_us, on_fence_answer, exchange);
}

void
exchange_query_fence (Exchange *exchange, const DispatchStep *step)
{
  Node *node = exchange->owner->node;
  Attempt *attempt = exchange->attempt;

  attempt->wait_us = step->wait_us;
  attempt->hold_us = step->hold_us;
  exchange->asking = TRUE;
  metrics_add (node->metrics, METRIC_FENCE_QUESTIONS, 1);
  peers_open (node->peers, attempt->target->vm, step->wait_us, on_fence_session,
              exchange);
}
