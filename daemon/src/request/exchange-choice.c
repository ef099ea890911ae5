#include "exchange-private.h"

#include <string.h>

#include "config-sync.h"

/* So many targets are asked for a free slot before a request may wait for one. A question
   within the hall costs a fraction of a millisecond and no bytes that are paid for. */
#define OWN_HALL_TRIES 4u
#define OTHER_HALL_TRIES 2u
/* So many queues of the own hall are tried while the request can still be in time, and
   none for a wait that is shorter than asking elsewhere takes. */
#define OWN_QUEUE_TRIES 1u
#define OWN_QUEUE_MIN_US (5 * MS_US)
/* Those that turn a part of their work away are mostly free: the first has a slot. */
#define SHEDDING_TRIES 2u

/* Takes up what has become of the service by now. */
static void
take_service (Attempt *attempt)
{
  const Exchange *exchange = attempt->exchange;
  Snapshot *newest = config_sync_snapshot (exchange->owner->node->config);
  const Service *service = snapshot_service (newest, exchange->service);

  /* A service that has been removed serves out what it was asked for before. */
  attempt->targets = snapshot_ref (service ? newest : exchange->snapshot);
  attempt->service = snapshot_service (attempt->targets, exchange->service);
}

/* A ticket's target; FALSE when the configuration no longer has it. */
static gboolean
choose_ticket_target (Attempt *attempt)
{
  const Ticket *ticket = attempt->exchange->ticket;

  attempt->id = *ticket->attempt;
  attempt->stamp = ticket->stamp;
  attempt->target = service_target (attempt->service, ticket->target);
  return attempt->target && strcmp (attempt->target->vm, ticket->vm) == 0;
}

/* Targets that are out of the question: those tried, and those without a free slot. */
static GPtrArray *
excluded (const Exchange *exchange)
{
  GPtrArray *names = g_ptr_array_copy (exchange->tried, NULL, NULL);

  g_ptr_array_set_free_func (names, NULL);
  for (guint i = 0; !exchange->may_queue && i < exchange->busy->len; i++)
    g_ptr_array_add (names, g_ptr_array_index (exchange->busy, i));
  return names;
}

static BalancerChoice
choose_once (const Attempt *attempt,
             BalancerTrial trial,
             BalancerHalls halls,
             BalancerShedding shedding)
{
  const Exchange *exchange = attempt->exchange;
  g_autoptr (GPtrArray) names = excluded (exchange);
  BalancerWish wish = { trial, halls, shedding, names->len ? names : NULL };

  return balancer_choose (exchange->owner->node->balancer, attempt->service, &wish);
}

/* What a target has turned away once had better wait for a slot that is sure. */
static gboolean
may_ask_shedding (const Exchange *exchange)
{
  return dispatch_arrivals (exchange->dispatch) == 0 &&
         exchange->asked_shedding < SHEDDING_TRIES;
}

gint64
exchange_slack_us (const Exchange *exchange)
{
  LatencyFit fit = exchange_fit (exchange);
  gint64 elapsed = clock_now (exchange->owner->node->clock) - exchange->began_us;
  /* Without an objective what comes within the deadline is on time. */
  gint64 left = exchange->route->objective_us > 0
                    ? exchange->route->objective_us - elapsed
                    : dispatch_remaining_us (exchange->dispatch);

  return left - latency_fit_mean_us (&fit);
}

/*
 * A place in a queue of the own hall, for as long as the objective allows, at a target
 * that has not said yet that it is full. Waiting at those as well moves a third fewer
 * bytes between halls, and serves callers less: 0.76 of their worth for 0.78, over nine
 * loaded runs of a simulated fleet of 30.
 */
static BalancerChoice
choose_own_queue (Attempt *attempt)
{
  Exchange *exchange = attempt->exchange;
  gint64 slack = exchange_slack_us (exchange);
  BalancerChoice choice = { 0 };

  if (exchange->own_queues >= OWN_QUEUE_TRIES || slack < OWN_QUEUE_MIN_US)
    return choice;
  exchange->own_queues++;
  attempt->may_queue = TRUE;
  choice = choose_once (attempt, BALANCER_NO_TRIAL, BALANCER_OWN_BEST,
                        BALANCER_SHEDDING_NEVER);
  attempt->max_wait_us = slack;
  return choice;
}

/*
 * What an ingress knows of the others' load is old by the time it chooses. A few targets
 * are therefore asked for a free slot, first those of its own hall, for bytes between
 * halls cost more than another question. Then it waits there while it can still be in
 * time; then others are asked; only then does the request wait at the best of all.
 */
static BalancerChoice
choose_free_or_queue (Attempt *attempt)
{
  Exchange *exchange = attempt->exchange;
  BalancerTrial trial =
      exchange->route->repeatable ? BALANCER_TRIAL_DUE : BALANCER_NO_TRIAL;
  guint refusals = dispatch_refusals (exchange->dispatch);
  BalancerChoice choice = { 0 };

  if (exchange->busy_own < OWN_HALL_TRIES && refusals < OWN_HALL_TRIES)
    choice = choose_once (attempt, trial, BALANCER_OWN_FIRST, BALANCER_SHEDDING_NEVER);
  if (choice.local || choice.trial)
    return choice;
  choice = choose_own_queue (attempt);
  if (choice.target)
    return choice;
  attempt->may_queue = FALSE;
  attempt->max_wait_us = 0;
  /* Other refusals use up tries too; some must be left for a place in a queue. */
  if (exchange->busy_other < OTHER_HALL_TRIES &&
      refusals < OWN_HALL_TRIES + OWN_QUEUE_TRIES + OTHER_HALL_TRIES)
    choice = choose_once (attempt, trial, BALANCER_OTHERS_FIRST, BALANCER_SHEDDING_NEVER);
  if (choice.target)
    return choice;
  if (may_ask_shedding (exchange))
    choice = choose_once (attempt, BALANCER_NO_TRIAL, BALANCER_OWN_FIRST,
                          BALANCER_SHEDDING_ONLY);
  exchange->asked_shedding++;
  if (choice.target)
    return choice;
  exchange->may_queue = TRUE;
  attempt->may_queue = TRUE;
  return choose_once (attempt, BALANCER_NO_TRIAL, BALANCER_SHORTEST_WAIT,
                      BALANCER_SHEDDING_LAST);
}

/* Makes the chosen target the attempt's; FALSE for none. */
static gboolean
take_choice (Attempt *attempt, const BalancerChoice *choice)
{
  Exchange *exchange = attempt->exchange;

  if (!choice->target)
    return FALSE;
  g_ptr_array_add (exchange->tried, g_strdup (choice->target->name));
  attempt->target = choice->target;
  attempt->even_sick = choice->sick;
  attempt->trial = choice->trial;
  attempt->local = choice->local;
  if (choice->trial)
    metrics_add (exchange->owner->node->metrics, METRIC_TRIALS, 1);
  return TRUE;
}

void
exchange_choose (Exchange *exchange)
{
  Attempt *attempt = attempt_create (exchange);
  BalancerChoice choice = { 0 };
  gboolean found;
  DispatchStep step;

  if (exchange->attempt)
    attempt_cancel (exchange->attempt);
  attempt_destroy (exchange->attempt);
  exchange->attempt = attempt;
  take_service (attempt);
  if (exchange->ticket)
    {
      found = choose_ticket_target (attempt);
    }
  else
    {
      choice = choose_free_or_queue (attempt);
      found = take_choice (attempt, &choice);
    }
  step = dispatch_chosen (exchange->dispatch, found, choice.retry_after_us);
  exchange_carry_out (exchange, &step);
}

gboolean
exchange_choose_hedge (Exchange *exchange, Attempt *attempt)
{
  BalancerChoice choice;

  take_service (attempt);
  choice = choose_once (attempt, BALANCER_NO_TRIAL, BALANCER_OWN_FIRST,
                        BALANCER_SHEDDING_NEVER);
  /* What hangs at one target had better not be sent to another that is known to. */
  if (choice.sick)
    return FALSE;
  return take_choice (attempt, &choice);
}
