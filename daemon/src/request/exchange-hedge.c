#include "exchange-private.h"

#include "log.h"

/* Nobody had a free slot for it: another is asked so much later, and so many at the most.
 */
#define HEDGE_AGAIN_US (20 * MS_US)
#define HEDGES_MAX 8u
/* Where nobody knows yet how long a route's answers take, a second attempt is sent after
   this share of the time: it leaves as much for it, and as much for the caller. */
#define UNKNOWN_SHARE 3

/* When an attempt that is sent now is late. */
static gint64
late_us (const Exchange *exchange)
{
  LatencyFit fit = exchange_fit (exchange);

  if (latency_fit_is_known (&fit))
    return latency_fit_late_us (&fit);
  return dispatch_remaining_us (exchange->dispatch) / UNKNOWN_SHARE;
}

void
exchange_hedge_later (Exchange *exchange)
{
  /* What waits in a queue may be late for that alone. */
  if (!exchange->attempt->may_queue && dispatch_may_hedge (exchange->dispatch))
    loop_timer_start (exchange->hedge_timer, late_us (exchange));
}

void
exchange_drop_hedge (Exchange *exchange)
{
  loop_timer_stop (exchange->hedge_timer);
  if (!exchange->hedge)
    return;
  attempt_cancel (exchange->hedge);
  attempt_destroy (exchange->hedge);
  exchange->hedge = NULL;
}

static void
send_hedge (Exchange *exchange, Attempt *attempt)
{
  gint64 remaining = dispatch_remaining_us (exchange->dispatch);

  exchange->hedges++;
  exchange->hedge = attempt;
  dispatch_beside_sent (exchange->dispatch);
  attempt->retry = RETRY_AGAIN;
  log_event (G_LOG_LEVEL_INFO, "hedge", "ID", exchange->id, "TARGET",
             attempt->target->name, "BESIDE", exchange->attempt->target->name, NULL);
  metrics_add (exchange->owner->node->metrics, METRIC_HEDGES, 1);
  attempt_send (attempt, remaining, remaining);
}

void
exchange_on_hedge_timer (gpointer data)
{
  Exchange *exchange = data;
  Attempt *attempt;

  if (exchange->abandoned || exchange->hedge || exchange->hedges >= HEDGES_MAX ||
      !dispatch_may_hedge (exchange->dispatch))
    return;
  /* A request that targets have ended under is not sent to two at once. */
  if (exchange_quarantine (exchange).state != QUARANTINE_FREE)
    return;
  attempt = attempt_create (exchange);
  if (!exchange_choose_hedge (exchange, attempt))
    {
      attempt_destroy (attempt);
      return;
    }
  send_hedge (exchange, attempt);
}

/* The hedge has answered: the first attempt is not waited for any more. */
static void
win (Exchange *exchange)
{
  DispatchStep step;

  dispatch_beside_ended (exchange->dispatch, DISPATCH_LOST, REASON_TIMEOUT);
  attempt_cancel (exchange->attempt);
  attempt_destroy (exchange->attempt);
  exchange->attempt = exchange->hedge;
  exchange->hedge = NULL;
  step = dispatch_sent (exchange->dispatch, DISPATCH_DONE, REASON_NONE, 0);
  exchange_carry_out (exchange, &step);
}

void
exchange_hedge_ended (Exchange *exchange, DispatchReport report, Reason reason)
{
  if (report == DISPATCH_DONE)
    {
      win (exchange);
      return;
    }
  attempt_destroy (exchange->hedge);
  exchange->hedge = NULL;
  dispatch_beside_ended (exchange->dispatch, report, reason);
  loop_timer_start (exchange->hedge_timer, HEDGE_AGAIN_US);
}

gboolean
exchange_promote_hedge (Exchange *exchange, DispatchReport report, Reason reason)
{
  if (!exchange->hedge || report == DISPATCH_DONE)
    return FALSE;
  dispatch_beside_ended (exchange->dispatch, report, reason);
  attempt_destroy (exchange->attempt);
  exchange->attempt = exchange->hedge;
  exchange->hedge = NULL;
  return TRUE;
}
