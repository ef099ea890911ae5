#include "exchange-private.h"

#include "log.h"

/* Delay before the next hedge after one that failed, mostly for want of a free slot, and
   the most hedges per exchange. */
#define HEDGE_RETRY_US (20 * MS_US)
#define HEDGES_MAX 8u
/* While the latency of a route is unknown, a hedge is sent after this fraction (1/3) of
   the time to the deadline. That leaves a third for the hedge and a third to spare. */
#define UNKNOWN_FIT_DIVISOR 3

/* Returns the age at which an attempt that is sent now counts as late. */
static gint64
hedge_delay_us (const Exchange *exchange)
{
  LatencyFit fit = exchange_latency_fit (exchange);

  if (latency_fit_is_known (&fit))
    return latency_fit_late_us (&fit);
  return dispatch_remaining_us (exchange->dispatch) / UNKNOWN_FIT_DIVISOR;
}

void
exchange_schedule_hedge (Exchange *exchange)
{
  /* A request that may queue can be late because of the queue alone. */
  if (!exchange->attempt->may_queue && dispatch_may_hedge (exchange->dispatch))
    loop_timer_start (exchange->hedge_timer, hedge_delay_us (exchange));
}

void
exchange_cancel_hedge (Exchange *exchange)
{
  loop_timer_stop (exchange->hedge_timer);
  if (!exchange->hedge)
    return;
  attempt_cancel (exchange->hedge, "hedge-not-needed");
  attempt_destroy (exchange->hedge);
  exchange->hedge = NULL;
}

static void
send_hedge (Exchange *exchange, Attempt *attempt)
{
  gint64 remaining = dispatch_remaining_us (exchange->dispatch);

  exchange->hedges++;
  exchange->hedge = attempt;
  dispatch_hedge_sent (exchange->dispatch);
  attempt->retry = RETRY_FURTHER_ATTEMPT;
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
  /* A request suspected of crashing targets is not sent to two of them at once. */
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

/* Continues with the hedge's answer, and cancels the first attempt. */
static void
adopt_hedge (Exchange *exchange)
{
  DispatchStep step;

  dispatch_hedge_over (exchange->dispatch, DISPATCH_LOST, REASON_TIMEOUT);
  attempt_cancel (exchange->attempt, "hedge-answered");
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
      adopt_hedge (exchange);
      return;
    }
  attempt_destroy (exchange->hedge);
  exchange->hedge = NULL;
  dispatch_hedge_over (exchange->dispatch, report, reason);
  loop_timer_start (exchange->hedge_timer, HEDGE_RETRY_US);
}

gboolean
exchange_promote_hedge (Exchange *exchange, DispatchReport report, Reason reason)
{
  if (!exchange->hedge || report == DISPATCH_DONE)
    return FALSE;
  dispatch_hedge_over (exchange->dispatch, report, reason);
  attempt_destroy (exchange->attempt);
  exchange->attempt = exchange->hedge;
  exchange->hedge = NULL;
  return TRUE;
}
