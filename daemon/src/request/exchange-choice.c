#include "exchange-private.h"

#include <string.h>

#include "config-sync.h"

/* So many targets are asked for a free slot before a request may wait for one. A question
   within the hall costs a fraction of a millisecond and no bytes that are paid for. */
#define OWN_HALL_TRIES 4u
#define OTHER_HALL_TRIES 2u
/* Those that turn a part of their work away are mostly free: the first has a slot. */
#define SHEDDING_TRIES 2u

/* A ticket's target; FALSE when the configuration no longer has it. */
static gboolean
choose_ticket_target (Exchange *exchange)
{
  exchange->target = service_target (exchange->service, exchange->ticket->target);
  return exchange->target && strcmp (exchange->target->vm, exchange->ticket->vm) == 0;
}

/* Takes up what has become of the service since the last choice. */
static void
refresh_targets (Exchange *exchange)
{
  Snapshot *newest = config_sync_snapshot (exchange->owner->node->config);
  const Service *service = snapshot_service (newest, exchange->service->name);

  if (newest == exchange->targets || !service)
    return;
  snapshot_unref (exchange->targets);
  exchange->targets = snapshot_ref (newest);
  exchange->service = service;
  exchange->target = NULL;
}

static BalancerTrial
trial_of (const Exchange *exchange)
{
  if (!exchange->route->repeatable)
    return BALANCER_NO_TRIAL;
  return retry_budget_has (exchange->budget) ? BALANCER_TRIAL_DUE : BALANCER_TRIAL_LATE;
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
choose_once (Exchange *exchange,
             BalancerTrial trial,
             BalancerHalls halls,
             BalancerShedding shedding)
{
  g_autoptr (GPtrArray) names = excluded (exchange);
  BalancerWish wish = { trial, halls, shedding, names->len ? names : NULL };

  return balancer_choose (exchange->owner->node->balancer, exchange->service, &wish);
}

/* What a target has turned away once had better wait for a slot that is sure. */
static gboolean
may_ask_shedding (const Exchange *exchange)
{
  return dispatch_arrivals (exchange->dispatch) == 0 &&
         exchange->asked_shedding < SHEDDING_TRIES;
}

/*
 * What an ingress knows of the others' load is old by the time it chooses. A few targets
 * are therefore asked for a free slot, first those of its own hall, for bytes between
 * halls cost more than another question; only then does the request wait, at the best.
 */
static BalancerChoice
choose_free_or_queue (Exchange *exchange)
{
  BalancerHalls halls =
      exchange->busy_own < OWN_HALL_TRIES ? BALANCER_OWN_FIRST : BALANCER_OTHERS_FIRST;
  BalancerChoice choice = { 0 };

  /* Other refusals use up tries too; some must be left for a place in a queue. */
  if (exchange->busy_other < OTHER_HALL_TRIES &&
      dispatch_refusals (exchange->dispatch) < OWN_HALL_TRIES + OTHER_HALL_TRIES)
    choice = choose_once (exchange, trial_of (exchange), halls, BALANCER_SHEDDING_NEVER);
  if (choice.target)
    return choice;
  if (may_ask_shedding (exchange))
    choice = choose_once (exchange, BALANCER_NO_TRIAL, BALANCER_OWN_FIRST,
                          BALANCER_SHEDDING_ONLY);
  exchange->asked_shedding++;
  if (choice.target)
    return choice;
  exchange->may_queue = TRUE;
  return choose_once (exchange, BALANCER_NO_TRIAL, BALANCER_BY_LOAD,
                      BALANCER_SHEDDING_LAST);
}

void
exchange_choose (Exchange *exchange)
{
  Node *node = exchange->owner->node;
  BalancerChoice choice = { 0 };
  DispatchStep step;

  exchange_cancel_attempt (exchange);
  refresh_targets (exchange);
  if (exchange->ticket)
    {
      step = dispatch_chosen (exchange->dispatch, choose_ticket_target (exchange), 0);
      exchange_carry_out (exchange, &step);
      return;
    }
  choice = choose_free_or_queue (exchange);
  if (choice.target)
    {
      exchange->target = choice.target;
      g_ptr_array_add (exchange->tried, g_strdup (choice.target->name));
    }
  exchange->even_sick = choice.sick;
  exchange->trial = choice.trial;
  exchange->local = choice.local;
  if (choice.trial)
    metrics_add (node->metrics, METRIC_TRIALS, 1);
  step =
      dispatch_chosen (exchange->dispatch, choice.target != NULL, choice.retry_after_us);
  exchange_carry_out (exchange, &step);
}
