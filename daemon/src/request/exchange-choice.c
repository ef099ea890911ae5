#include "exchange-private.h"

#include <string.h>

#include <core/stop.h>

#include "config-sync.h"
#include "registry.h"

/* After this many refusals with REASON_UNPROVED, a target is asked to accept the request
   even if it has not kept one lately (core/proof.h). */
#define UNPROVED_MAX 5u

/* A node counts as newly started until the targets' heartbeats (one in 1.5 s each) have
   arrived and gossip has spread them. */
#define STARTUP_US (2 * SECOND_US)
#define RECHECK_INTERVAL_US (25 * MS_US)

/* Looks the service up in the newest configuration. */
static void
refresh_service (Attempt *attempt)
{
  const Exchange *exchange = attempt->exchange;
  Snapshot *newest = config_sync_snapshot (exchange->owner->node->config);
  const Service *service = snapshot_service (newest, exchange->service);

  /* A service removed since then still serves the requests that came before. */
  attempt->targets = snapshot_ref (service ? newest : exchange->snapshot);
  attempt->service = snapshot_service (attempt->targets, exchange->service);
}

/* Takes the target from the ticket; returns FALSE if the configuration no longer has it
   on the same VM. */
static gboolean
choose_ticket_target (Attempt *attempt)
{
  const Ticket *ticket = attempt->exchange->ticket;

  attempt->id = *ticket->attempt;
  attempt->stamp = ticket->stamp;
  attempt->target = service_target (attempt->service, ticket->target);
  return attempt->target && strcmp (attempt->target->vm, ticket->vm) == 0;
}

/* Returns the names, borrowed, of targets that are not chosen: those already tried, and
   except at PLACEMENT_LAST_QUEUE those without a free slot. */
static GPtrArray *
excluded_targets (const Exchange *exchange)
{
  GPtrArray *names = g_ptr_array_copy (exchange->tried, NULL, NULL);
  gboolean waits = exchange->placement.step == PLACEMENT_LAST_QUEUE;

  g_ptr_array_set_free_func (names, NULL);
  for (guint i = 0; !waits && i < exchange->busy->len; i++)
    g_ptr_array_add (names, g_ptr_array_index (exchange->busy, i));
  return names;
}

/* Returns the time that the node's stop leaves for work; only while it is stopping. */
static gint64
stop_left_us (const Exchange *exchange)
{
  const Node *node = exchange->owner->node;

  return node->work_until_us - clock_now (node->clock);
}

/*
 * Whether the node's stop forbids another attempt: it is too close, or the target beside
 * the node leaves. For that a supervisor orders the stop again once the target has ended.
 * It counts the grace period from the last order but kills the node by the first, so that
 * work that lasts until then is aborted too soon. Calls of the leaving target, which end
 * with its work, and what came before the stop go on.
 */
static gboolean
stop_forbids_attempt (const Exchange *exchange)
{
  const Node *node = exchange->owner->node;
  LatencyFit fit;

  if (!node->stopping || exchange->ticket)
    return FALSE;
  if (!exchange->call && exchange->began_us >= node->stop_began_us &&
      registry_is_leaving (node->registry))
    return TRUE;
  fit = exchange_latency_fit (exchange);
  return !stop_may_start (&fit, stop_left_us (exchange));
}

static BalancerChoice
choose_once (const Attempt *attempt,
             BalancerTrial trial,
             BalancerHalls halls,
             BalancerShedding shedding,
             gboolean needs_slot)
{
  const Exchange *exchange = attempt->exchange;
  g_autoptr (GPtrArray) names = excluded_targets (exchange);
  BalancerCriteria criteria = { trial, halls, shedding, names->len ? names : NULL,
                                needs_slot };

  return balancer_choose (exchange->owner->node->balancer, attempt->service, &criteria);
}

gint64
exchange_slack_us (const Exchange *exchange)
{
  LatencyFit fit = exchange_latency_fit (exchange);
  gint64 elapsed = clock_now (exchange->owner->node->clock) - exchange->began_us;
  /* Without an objective, the deadline takes its place. */
  gint64 left = exchange->route->objective_us > 0
                    ? exchange->route->objective_us - elapsed
                    : dispatch_remaining_us (exchange->dispatch);

  return left - latency_fit_mean_us (&fit);
}

/* Asks the balancer for a target that fits the step. After a refusal that does not
   concern load, no more trials are offered, because sidecars refuse most of them. */
static BalancerChoice
choose_for_step (const Attempt *attempt, PlacementStep step)
{
  const Exchange *exchange = attempt->exchange;
  gboolean may_try =
      exchange->route->repeatable && exchange->placement.other_refusals == 0;
  BalancerTrial trial = may_try ? BALANCER_TRIAL_DUE : BALANCER_NO_TRIAL;

  switch (step)
    {
    case PLACEMENT_OWN_FREE:
      return choose_once (attempt, trial, BALANCER_OWN_FIRST, BALANCER_SHEDDING_NEVER,
                          TRUE);
    case PLACEMENT_OWN_QUEUE:
      return choose_once (attempt, BALANCER_NO_TRIAL, BALANCER_OWN_BEST,
                          BALANCER_SHEDDING_NEVER, FALSE);
    case PLACEMENT_OTHER_FREE:
      return choose_once (attempt, trial, BALANCER_OTHERS_FIRST, BALANCER_SHEDDING_NEVER,
                          TRUE);
    case PLACEMENT_SHEDDING:
      return choose_once (attempt, BALANCER_NO_TRIAL, BALANCER_OWN_FIRST,
                          BALANCER_SHEDDING_ONLY, FALSE);
    default:
      return choose_once (attempt, BALANCER_NO_TRIAL, BALANCER_SHORTEST_WAIT,
                          BALANCER_SHEDDING_LAST, FALSE);
    }
}

/* Whether the choice fits the step: at PLACEMENT_OWN_FREE the balancer may also return a
   target of another hall. */
static gboolean
matches_step (const BalancerChoice *choice, PlacementStep step)
{
  if (!choice->target)
    return FALSE;
  return step != PLACEMENT_OWN_FREE || choice->local || choice->trial;
}

/* Bounds *wait_us, how long a request may wait in a queue (0 for no bound but its
   deadline), by the node's stop. Returns FALSE if it may not wait. */
static gboolean
bound_wait (const Exchange *exchange, gint64 *wait_us)
{
  LatencyFit fit;
  gint64 bound;

  if (!exchange->owner->node->stopping)
    return TRUE;
  fit = exchange_latency_fit (exchange);
  bound = stop_max_wait_us (&fit, stop_left_us (exchange));
  *wait_us = *wait_us > 0 ? MIN (*wait_us, bound) : bound;
  /* The wire counts milliseconds. */
  return bound >= MS_US;
}

static gboolean
is_queue (PlacementStep step)
{
  return step == PLACEMENT_OWN_QUEUE || step == PLACEMENT_LAST_QUEUE;
}

static BalancerChoice
choose_by_placement (Attempt *attempt)
{
  Exchange *exchange = attempt->exchange;
  gint64 slack = exchange_slack_us (exchange);
  guint arrivals = dispatch_arrivals (exchange->dispatch);
  BalancerChoice choice = { 0 };
  PlacementStep step;

  for (;;)
    {
      step = placement_next (&exchange->placement, slack, arrivals);
      if (step == PLACEMENT_EXHAUSTED)
        break;
      attempt->may_queue = is_queue (step);
      attempt->max_wait_us = step == PLACEMENT_OWN_QUEUE ? slack : 0;
      if (!attempt->may_queue || bound_wait (exchange, &attempt->max_wait_us))
        {
          choice = choose_for_step (attempt, step);
          if (matches_step (&choice, step))
            break;
        }
      placement_skip (&exchange->placement);
    }
  if (step == PLACEMENT_EXHAUSTED)
    choice.target = NULL;
  return choice;
}

/*
 * Whether to choose again later instead of giving up. A node that has just started learns
 * of its own targets by their heartbeats, one in 1.5 s each, and of others by gossip. A
 * request that finds no target then, or only full ones, waits while it can still be
 * answered on time. When such requests were refused at once, 547 were lost in the half
 * second after all processes of 353 nodes had been killed.
 */
static gboolean
may_choose_later (const Exchange *exchange)
{
  const Node *node = exchange->owner->node;

  return clock_now (node->clock) - node->started_us < STARTUP_US &&
         dispatch_arrivals (exchange->dispatch) == 0 &&
         exchange_slack_us (exchange) > RECHECK_INTERVAL_US;
}

static void
choose_later (Exchange *exchange)
{
  exchange->placement = (Placement){ 0 };
  g_ptr_array_set_size (exchange->tried, 0);
  g_ptr_array_set_size (exchange->busy, 0);
  loop_timer_start (exchange->timer, RECHECK_INTERVAL_US);
}

/* Stores the choice in the attempt; returns FALSE if there is no target. */
static gboolean
store_choice (Attempt *attempt, const BalancerChoice *choice)
{
  Exchange *exchange = attempt->exchange;

  if (!choice->target)
    return FALSE;
  g_ptr_array_add (exchange->tried, g_strdup (choice->target->name));
  attempt->target = choice->target;
  attempt->even_sick = choice->sick;
  attempt->trial = choice->trial;
  attempt->proved_only = choice->abrupt && !choice->trial &&
                         dispatch_is_last_arrival (exchange->dispatch) &&
                         !attempt->may_queue && exchange->unproved < UNPROVED_MAX;
  attempt->local = choice->local;
  if (choice->trial)
    metrics_add (exchange->owner->node->metrics, METRIC_TRIALS, 1);
  return TRUE;
}

/* Chooses the target for a trial of a quarantined request. All ingresses send the trial
   to the same target, whose sidecar admits only one. */
static gboolean
choose_quarantine_trial (Attempt *attempt)
{
  BalancerChoice choice = { .target = exchange_trial_target (attempt->exchange,
                                                             attempt->service) };

  attempt->max_wait_us = 0;
  if (!bound_wait (attempt->exchange, &attempt->max_wait_us))
    return FALSE;
  if (!store_choice (attempt, &choice))
    return FALSE;
  attempt->trial = TRUE;
  attempt->may_queue = TRUE;
  metrics_add (attempt->exchange->owner->node->metrics, METRIC_QUARANTINE_TRIALS, 1);
  return TRUE;
}

void
exchange_choose_target (Exchange *exchange)
{
  QuarantineVerdict verdict = exchange_quarantine (exchange);
  BalancerChoice choice = { 0 };
  gboolean forbidden = stop_forbids_attempt (exchange);
  Attempt *attempt;
  gboolean found;
  DispatchStep step;

  if (exchange_refuse_quarantined (exchange, &verdict))
    return;
  attempt = attempt_create (exchange);
  if (exchange->attempt)
    attempt_cancel (exchange->attempt, "next-attempt");
  attempt_destroy (exchange->attempt);
  exchange->attempt = attempt;
  refresh_service (attempt);
  if (forbidden)
    {
      found = FALSE;
    }
  else if (exchange->ticket)
    {
      found = choose_ticket_target (attempt);
    }
  else if (verdict.state == QUARANTINE_TRIAL)
    {
      found = choose_quarantine_trial (attempt);
    }
  else
    {
      choice = choose_by_placement (attempt);
      found = store_choice (attempt, &choice);
    }
  if (!found && !exchange->ticket && may_choose_later (exchange))
    {
      choose_later (exchange);
      return;
    }
  step = dispatch_chosen (exchange->dispatch, found, choice.retry_after_us);
  if (forbidden && step.reason == REASON_NO_TARGET)
    step.reason = REASON_DRAINING;
  exchange_carry_out (exchange, &step);
}

gboolean
exchange_choose_hedge (Exchange *exchange, Attempt *attempt)
{
  BalancerChoice choice;

  if (stop_forbids_attempt (exchange))
    return FALSE;
  refresh_service (attempt);
  choice = choose_once (attempt, BALANCER_NO_TRIAL, BALANCER_OWN_FIRST,
                        BALANCER_SHEDDING_NEVER, TRUE);
  /* A hedge is meant to avoid a slow target, so it is not sent to a sick one. */
  if (choice.sick)
    return FALSE;
  return store_choice (attempt, &choice);
}
