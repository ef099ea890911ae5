#include "exchange.h"

#include <core/http-status.h>

#include "account-stats.h"
#include "answer.h"
#include "exchange-private.h"
#include "peers.h"
#include "request-log.h"

#define TICKET_TIMEOUT_US (2 * SECOND_US)

static void
exchange_free (Exchange *exchange)
{
  g_hash_table_remove (exchange->owner->set, exchange);
  http_request_watch_gone (exchange->request, NULL, NULL);
  attempt_destroy (exchange->hedge);
  attempt_destroy (exchange->attempt);
  loop_timer_destroy (exchange->hedge_timer);
  loop_timer_destroy (exchange->timer);
  dispatch_destroy (exchange->dispatch);
  g_ptr_array_unref (exchange->tried);
  g_ptr_array_unref (exchange->busy);
  ticket_free (exchange->ticket);
  xdr_free ((xdrproc_t)xdr_sw_answer, (char *)&exchange->answer);
  snapshot_unref (exchange->snapshot);
  http_request_unref (exchange->request);
  g_free (exchange->service);
  g_free (exchange->tenant);
  g_free (exchange->id);
  g_free (exchange);
}

static void
cancel_attempts (Exchange *exchange)
{
  exchange_cancel_hedge (exchange);
  if (exchange->attempt)
    attempt_cancel (exchange->attempt,
                    exchange->abandoned ? "caller-gone" : "request-over");
}

/* Counts, logs and sends the final answer to the caller. */
static void
answer (Exchange *exchange, const DispatchStep *step)
{
  Node *node = exchange->owner->node;
  const Dialect *dialect = node->adapter->dialect;
  Verdict verdict = { step->outcome, step->reason, step->retry_after_us };
  gint64 took = clock_now (node->clock) - exchange->began_us;

  metrics_note_request (node->metrics, exchange->tenant, exchange->route->class,
                        step->outcome, took);
  if (exchange->account)
    account_stats_note (node->account_stats, exchange->account->id,
                        account_event_from_outcome (step->outcome), took);
  request_log_end (exchange, step, took);
  if (step->outcome != OUTCOME_DONE)
    cancel_attempts (exchange);
  if (step->outcome == OUTCOME_DONE)
    answer_forward (dialect, exchange->request, &exchange->answer);
  else
    answer_failure (dialect, exchange->request, exchange->id, &verdict);
}

static void
finish (Exchange *exchange, const DispatchStep *step)
{
  answer (exchange, step);
  exchange_free (exchange);
}

/* Cancels the attempts when the caller hangs up. An unrepeatable request that has already
   started continues at its sidecar. */
static void
on_caller_gone (gpointer data)
{
  Exchange *exchange = data;

  exchange->abandoned = TRUE;
  request_log_caller_gone (exchange);
  cancel_attempts (exchange);
}

static void
on_retry_timer (gpointer data)
{
  Exchange *exchange = data;
  DispatchStep step = dispatch_resume (exchange->dispatch);

  exchange_carry_out (exchange, &step);
}

/* Ends the exchange without an answer, because the caller has hung up. */
static void
abandon (Exchange *exchange)
{
  cancel_attempts (exchange);
  metrics_add (exchange->owner->node->metrics, METRIC_ABANDONED, 1);
  http_request_drop (exchange->request);
  exchange_free (exchange);
}

void
exchange_carry_out (Exchange *exchange, const DispatchStep *step)
{
  if (exchange->cut)
    {
      exchange_free (exchange);
      return;
    }
  if (exchange->abandoned && step->kind != DISPATCH_ANSWER)
    {
      abandon (exchange);
      return;
    }
  switch (step->kind)
    {
    case DISPATCH_CHOOSE:
      exchange_choose_target (exchange);
      break;
    case DISPATCH_SEND:
      exchange_send (exchange, step);
      break;
    case DISPATCH_QUERY_FENCE:
      exchange_query_fence (exchange, step);
      break;
    case DISPATCH_PAUSE:
      loop_timer_start (exchange->timer, step->wait_us);
      break;
    default:
      finish (exchange, step);
      break;
    }
}

Exchanges *
exchanges_create (Node *node)
{
  Exchanges *exchanges = g_new0 (Exchanges, 1);

  exchanges->node = node;
  exchanges->set = g_hash_table_new (NULL, NULL);
  exchanges->latencies = latency_views_create ();
  return exchanges;
}

void
exchanges_destroy (Exchanges *exchanges)
{
  GHashTableIter iter;
  gpointer key;

  if (!exchanges)
    return;
  for (;;)
    {
      g_hash_table_iter_init (&iter, exchanges->set);
      if (!g_hash_table_iter_next (&iter, &key, NULL))
        break;
      exchange_free (key);
    }
  g_hash_table_unref (exchanges->set);
  latency_views_destroy (exchanges->latencies);
  g_free (exchanges);
}

static Exchange *
exchange_create (Exchanges *exchanges, const ExchangeParams *order)
{
  Node *node = exchanges->node;
  Exchange *exchange = g_new0 (Exchange, 1);
  DispatchPolicy policy = { .repeatable = order->route->repeatable,
                            .pinned = order->ticket != NULL,
                            .call = order->call,
                            .repeat = order->repeat,
                            .slack_us = node->adapter->dialect->slack_us,
                            .attempts_max = order->route->attempts };

  g_hash_table_add (exchanges->set, exchange);
  exchange->owner = exchanges;
  exchange->request = http_request_ref (order->request);
  exchange->id = g_strdup (order->id);
  exchange->snapshot = snapshot_ref (order->snapshot);
  exchange->route = order->route;
  exchange->service = g_strdup (order->service->name);
  exchange->tenant = g_strdup (order->service->tenant);
  exchange->account = order->account;
  exchange->call = order->call;
  exchange->key_checked = order->key_checked;
  exchange->priority = order->priority;
  exchange->ticket = order->ticket;
  exchange->began_us = http_request_received_us (order->request);
  exchange->tried = g_ptr_array_new_with_free_func (g_free);
  exchange->busy = g_ptr_array_new_with_free_func (g_free);
  exchange->timer = loop_timer_create (node->loop, on_retry_timer, exchange);
  exchange->hedge_timer =
      loop_timer_create (node->loop, exchange_on_hedge_timer, exchange);
  policy.deadline_us = exchange->began_us + order->span_us;
  exchange->dispatch = dispatch_create (&policy, node->rand, node->clock);
  if (node->stopping)
    dispatch_set_end (exchange->dispatch, node->work_until_us);
  return exchange;
}

void
exchanges_begin (Exchanges *exchanges, const ExchangeParams *order)
{
  Exchange *exchange = exchange_create (exchanges, order);
  DispatchStep step = dispatch_begin (exchange->dispatch);

  http_request_watch_gone (exchange->request, on_caller_gone, exchange);
  exchange_carry_out (exchange, &step);
}

static void
on_ticket_session (const PeerStamp *stamp, gpointer data)
{
  Exchange *exchange = data;
  Attempt *attempt = exchange->attempt;
  Node *node = exchange->owner->node;
  Ticket ticket = { .attempt = &attempt->id };
  Verdict verdict = { .outcome = OUTCOME_NOT_RUN };
  g_autoptr (GArray) headers = NULL;
  g_autofree char *text = NULL;

  if (exchange->cut)
    {
      exchange_free (exchange);
      return;
    }
  if (!stamp)
    {
      answer_error (node->adapter->dialect, exchange->request, exchange->id,
                    HTTP_UNAVAILABLE, "no ticket can be had now");
      exchange_free (exchange);
      return;
    }
  attempt_assign_id (attempt, stamp);
  ticket.service = exchange->service;
  ticket.vm = attempt->target->vm;
  ticket.target = attempt->target->name;
  ticket.stamp = *stamp;
  text = ticket_text (&ticket, node->settings->fleet_token);
  headers = http_headers_new ();
  http_headers_add (headers, TICKET_HEADER, text);
  node->adapter->dialect->add_verdict (&verdict, NULL, headers);
  http_request_answer (exchange->request, HTTP_CREATED, headers, "", 0);
  exchange_free (exchange);
}

void
exchanges_issue_ticket (Exchanges *exchanges, const ExchangeParams *order)
{
  Exchange *exchange = exchange_create (exchanges, order);
  Attempt *attempt = attempt_create (exchange);
  BalancerCriteria criteria = { BALANCER_NO_TRIAL, BALANCER_BY_LOAD,
                                BALANCER_SHEDDING_LAST, NULL };
  BalancerChoice choice =
      balancer_choose (exchanges->node->balancer, order->service, &criteria);

  exchange->attempt = attempt;
  attempt->targets = snapshot_ref (order->snapshot);
  attempt->service = order->service;
  attempt->target = choice.target;
  exchange->asking = choice.target != NULL;
  if (choice.target)
    peers_open (exchanges->node->peers, choice.target->vm, TICKET_TIMEOUT_US,
                on_ticket_session, exchange);
  else
    on_ticket_session (NULL, exchange);
}

void
exchanges_begin_stop (Exchanges *exchanges)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, exchanges->set);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    dispatch_set_end (((Exchange *)key)->dispatch, exchanges->node->work_until_us);
}

/*
 * Answers the caller and starts nothing more, because the answer may say that nothing
 * ran. A pending session or fence query still calls back with the exchange; the callback
 * frees it.
 */
static void
cut (Exchange *exchange)
{
  gboolean sent = exchange->ticket || dispatch_attempts (exchange->dispatch) > 0;
  DispatchStep step = { .kind = DISPATCH_ANSWER,
                        .outcome = sent ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN,
                        .reason = REASON_DRAINING,
                        .retry_after_us = SECOND_US };

  answer (exchange, &step);
  loop_timer_stop (exchange->timer);
  exchange->cut = TRUE;
  if (!exchange->asking)
    exchange_free (exchange);
}

guint
exchanges_abort (Exchanges *exchanges)
{
  g_autoptr (GList) all = g_hash_table_get_keys (exchanges->set);
  guint count = 0;

  for (GList *item = all; item; item = item->next)
    {
      Exchange *exchange = item->data;

      /* A cancellation may find the path to a node closed, which ends other exchanges. */
      if (!g_hash_table_contains (exchanges->set, exchange) || exchange->cut)
        continue;
      count++;
      cut (exchange);
    }
  return count;
}
