#include "exchange.h"

#include <string.h>

#include <core/dispatch.h>

#include "adapter.h"
#include "answer.h"
#include "config-sync.h"
#include "log.h"
#include "path-probe.h"
#include "peer-watch.h"

#define HTTP_SERVER_ERROR 500
/* A connection to a node that is there is made in a round trip; 400 ms cover a lost
   packet's first repetition (200 ms) with room to spare. */
#define OPEN_TIMEOUT_US (400 * MS_US)
/* So many targets are asked for a free slot before a request may wait for one. A question
   within the hall costs a fraction of a millisecond and no bytes that are paid for. */
#define OWN_HALL_TRIES 4u
#define OTHER_HALL_TRIES 2u
/* Nothing waits for the answer to a cancellation. */
#define CANCEL_TIMEOUT_US SECOND_US
#define TICKET_TIMEOUT_US (2 * SECOND_US)
#define HTTP_CREATED 201
#define HTTP_UNAVAILABLE 503

typedef struct Exchange Exchange;

/* One submission on its way: its answer may come when nobody waits for it any more. */
typedef struct
{
  Exchange *exchange; /* NULL once it has been given up */
} Pending;

struct Exchanges
{
  Node *node;
  GHashTable *set; /* of Exchange */
  guint64 counter; /* of attempts, those of tickets too */
};

struct Exchange
{
  Exchanges *owner;
  HttpRequest *request;
  char *id;           /* the caller's own, NULL for none */
  Snapshot *snapshot; /* holds the route alive */
  const Route *route;
  Snapshot *targets; /* holds the service alive: the newest at the last choice */
  const Service *service;
  Ticket *ticket; /* NULL for none */
  Dispatch *dispatch;
  RetryBudget *budget; /* borrowed */
  LoopTimer *timer;
  gint64 began_us;
  GPtrArray *tried; /* names of targets */
  GPtrArray *busy;  /* names of targets that had no free slot */
  guint busy_own;   /* how many of them are in this hall */
  guint busy_other;
  /* The last attempt. */
  AttemptId attempt; /* its node is borrowed */
  const Target *target;
  PeerStamp stamp;
  gint64 wait_us;
  gint64 remaining_us;
  gint64 hold_us;
  gboolean trial;     /* the target is sick, and this is to show whether it still is */
  gboolean local;     /* the target is in this hall */
  gboolean may_queue; /* free slots have been looked for in vain */
  gboolean even_sick; /* the target is known to be sick, and was chosen all the same */
  Pending *pending;   /* the submission that is waited for; NULL for none */
  PeerWatch *watch;   /* over the node that it went to */
  gboolean out;       /* an attempt is counted at the balancer */
  gboolean abandoned; /* the caller has hung up */
  gboolean submitted; /* a sidecar may hold the attempt */
  sw_answer answer;   /* owned once the outcome is "done" */
};

static const RpcProcedure submit = { SW_SUBMIT, (xdrproc_t)xdr_sw_submit_args,
                                     (xdrproc_t)xdr_sw_submit_res,
                                     sizeof (sw_submit_res) };
static const RpcProcedure fence = { SW_FENCE, (xdrproc_t)xdr_sw_fence_args,
                                    (xdrproc_t)xdr_sw_submit_res,
                                    sizeof (sw_submit_res) };

static const RpcProcedure cancel = { SW_CANCEL, (xdrproc_t)xdr_sw_cancel_args, wire_void,
                                     0 };

static void carry_out (Exchange *exchange, const DispatchStep *step);

/* What still comes of the submission is not waited for any more. */
static void
drop_pending (Exchange *exchange)
{
  if (exchange->pending)
    exchange->pending->exchange = NULL;
  exchange->pending = NULL;
  g_clear_pointer (&exchange->watch, peer_watch_destroy);
}

static void
exchange_free (Exchange *exchange)
{
  g_hash_table_remove (exchange->owner->set, exchange);
  http_request_watch_gone (exchange->request, NULL, NULL);
  drop_pending (exchange);
  loop_timer_destroy (exchange->timer);
  dispatch_destroy (exchange->dispatch);
  g_ptr_array_unref (exchange->tried);
  g_ptr_array_unref (exchange->busy);
  ticket_free (exchange->ticket);
  xdr_free ((xdrproc_t)xdr_sw_answer, (char *)&exchange->answer);
  snapshot_unref (exchange->snapshot);
  snapshot_unref (exchange->targets);
  http_request_unref (exchange->request);
  g_free (exchange->id);
  g_free (exchange);
}

static void
attempt_over (Exchange *exchange)
{
  drop_pending (exchange);
  if (exchange->out)
    balancer_end (exchange->owner->node->balancer, exchange->target->name);
  exchange->out = FALSE;
}

static void
fill_attempt (const Exchange *exchange, sw_attempt *attempt)
{
  attempt->node = exchange->attempt.node;
  attempt->incarnation = exchange->attempt.incarnation;
  attempt->counter = exchange->attempt.counter;
}

static void
on_cancelled (RpcOutcome outcome, void *result, gpointer data)
{
  /* A cancellation that is lost only leaves work to run to its deadline. */
}

/* Tells the sidecar that nobody waits for the last attempt any more. */
static void
cancel_attempt (Exchange *exchange)
{
  Node *node = exchange->owner->node;
  sw_cancel_args args = { 0 };

  if (!exchange->submitted || exchange->ticket)
    return;
  exchange->submitted = FALSE;
  fill_attempt (exchange, &args.attempt);
  args.sidecar = exchange->stamp.incarnation;
  args.clock_us = (guint64)exchange->stamp.reading_us;
  args.target = exchange->target->name;
  args.repeatable = exchange->route->repeatable;
  metrics_add (node->metrics, METRIC_CANCELS, 1);
  peers_call (node->peers, exchange->target->vm, &cancel, &args, CANCEL_TIMEOUT_US,
              on_cancelled, NULL);
}

static void
log_outcome (const Exchange *exchange, const DispatchStep *step, gint64 took_us)
{
  g_autofree char *attempt = NULL;
  g_autofree char *took = NULL;

  attempt = g_strdup_printf ("%s-%" G_GINT64_MODIFIER "x-%" G_GINT64_MODIFIER "x",
                             exchange->attempt.node ? exchange->attempt.node : "",
                             exchange->attempt.incarnation, exchange->attempt.counter);
  took = g_strdup_printf ("%" G_GINT64_FORMAT, took_us);
  log_event (step->outcome == OUTCOME_DONE ? G_LOG_LEVEL_DEBUG : G_LOG_LEVEL_INFO,
             "request", "ID", exchange->id, "ATTEMPT", attempt, "SERVICE",
             exchange->service->name, "CLASS", exchange->route->class, "OUTCOME",
             outcome_name (step->outcome), "REASON", reason_name (step->reason), "TARGET",
             exchange->target ? exchange->target->name : NULL, "TOOK_US", took, NULL);
}

static void
finish (Exchange *exchange, const DispatchStep *step)
{
  Node *node = exchange->owner->node;
  const Dialect *dialect = node->adapter->dialect;
  Verdict verdict = { step->outcome, step->reason, step->retry_after_us };
  gint64 took = clock_now (node->clock) - exchange->began_us;

  metrics_request (node->metrics, exchange->service->tenant, exchange->route->class,
                   step->outcome, took);
  log_outcome (exchange, step, took);
  if (step->outcome != OUTCOME_DONE)
    cancel_attempt (exchange);
  if (step->outcome == OUTCOME_DONE)
    answer_pass (dialect, exchange->request, &exchange->answer);
  else
    answer_give_up (dialect, exchange->request, exchange->id, &verdict);
  exchange_free (exchange);
}

/* The caller has hung up. What may not be repeated is let run, for it may have begun. */
static void
on_caller_gone (gpointer data)
{
  Exchange *exchange = data;

  exchange->abandoned = TRUE;
  if (exchange->submitted)
    cancel_attempt (exchange);
}

static gboolean
is_own_attempt (const Exchange *exchange, const sw_attempt *attempt)
{
  return attempt->counter == exchange->attempt.counter &&
         attempt->incarnation == exchange->attempt.incarnation &&
         strcmp (attempt->node, exchange->attempt.node) == 0;
}

/* How a sidecar's answer reads for the dispatch; one to another attempt is no answer. */
static DispatchReport
report_of (Exchange *exchange, RpcOutcome outcome, sw_submit_res *res)
{
  /* What is denied has been turned away before it was looked at. */
  if (outcome == RPC_UNSENT || outcome == RPC_DENIED)
    return DISPATCH_UNSENT;
  if (outcome != RPC_OK || !is_own_attempt (exchange, &res->attempt))
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

static void
note_path (Exchange *exchange, RpcOutcome outcome)
{
  Node *node = exchange->owner->node;
  const char *vm = exchange->target->vm;

  /* Silence may be a slow target's: whether the node itself answers has to be asked. */
  if (outcome == RPC_TIMEOUT)
    peers_check (node->peers, vm);
  else
    balancer_note_path (node->balancer, vm, outcome == RPC_OK);
}

static void
note_answer (Exchange *exchange, const sw_submit_res *res)
{
  Node *node = exchange->owner->node;

  peers_note_stamp (node->peers, &res->stamp);
  peers_note_state (node->peers, &res->stamp, &res->state);
}

static void
note_busy (Exchange *exchange, char *name)
{
  g_ptr_array_add (exchange->busy, name);
  if (exchange->local)
    exchange->busy_own++;
  else
    exchange->busy_other++;
}

/* A target that only refused may be chosen again, if in other circumstances. */
static void
note_refusal (Exchange *exchange, Reason reason)
{
  gpointer name;

  if (exchange->tried->len == 0 || (reason != REASON_SICK && reason != REASON_OVERLOAD))
    return;
  name = g_ptr_array_steal_index (exchange->tried, exchange->tried->len - 1);
  if (reason == REASON_OVERLOAD && !exchange->may_queue)
    note_busy (exchange, name);
  else if (reason == REASON_OVERLOAD)
    g_ptr_array_add (exchange->tried, name);
  else
    g_free (name);
}

static void
attempt_ended (Exchange *exchange, RpcOutcome outcome, sw_submit_res *res)
{
  DispatchReport report;
  DispatchStep step;

  attempt_over (exchange);
  note_path (exchange, outcome);
  exchange->submitted &= outcome == RPC_TIMEOUT || outcome == RPC_LOST;
  if (outcome == RPC_OK)
    note_answer (exchange, res);
  report = report_of (exchange, outcome, res);
  if (outcome == RPC_OK)
    note_refusal (exchange, (Reason)res->reason);
  step = dispatch_sent (exchange->dispatch, report,
                        outcome == RPC_OK ? (Reason)res->reason : REASON_LOST,
                        outcome == RPC_OK ? (gint64)res->retry_after_ms * MS_US : 0);
  carry_out (exchange, &step);
}

static void
on_submitted (RpcOutcome outcome, void *result, gpointer data)
{
  Pending *pending = data;
  Exchange *exchange = pending->exchange;

  if (exchange)
    exchange->pending = NULL;
  g_free (pending);
  if (exchange)
    attempt_ended (exchange, outcome, result);
}

/* The node does not even answer a ping: its answer is not to be expected. */
static void
on_node_lost (gpointer data)
{
  Exchange *exchange = data;

  path_probes_begin (exchange->owner->node->paths, exchange->target->vm);
  attempt_ended (exchange, RPC_LOST, NULL);
}

static void
on_asked (RpcOutcome outcome, void *result, gpointer data)
{
  Exchange *exchange = data;
  sw_submit_res *res = result;
  DispatchReport report;
  DispatchStep step;

  note_path (exchange, outcome);
  if (outcome == RPC_OK)
    note_answer (exchange, res);
  report = report_of (exchange, outcome, res);
  exchange->submitted &= report != DISPATCH_REFUSED;
  step = dispatch_asked (exchange->dispatch, report,
                         outcome == RPC_OK ? (Reason)res->reason : REASON_LOST,
                         outcome == RPC_OK ? (gint64)res->retry_after_ms * MS_US : 0);
  carry_out (exchange, &step);
}

/* The headers for the target: the caller's that go on, and what the dialect adds. */
static GArray *
forwarded_headers (const Exchange *exchange)
{
  const Node *node = exchange->owner->node;
  const Dialect *dialect = node->adapter->dialect;
  const GArray *headers = http_request_headers (exchange->request);
  GArray *forwarded = http_headers_new ();

  dialect->add_origin (node->settings, forwarded);
  for (guint i = 0; i < headers->len; i++)
    {
      const HttpHeader *header = &g_array_index (headers, HttpHeader, i);

      if (!http_header_is_hop (header->name) && dialect->forwards (header->name))
        http_headers_add (forwarded, header->name, header->value);
    }
  return forwarded;
}

/* `headers` lends its texts to the arguments. */
static void
fill_headers (const GArray *headers, sw_submit_args *args)
{
  guint count = MIN (headers->len, SW_HEADERS_MAX);

  args->headers.headers_val = g_new0 (sw_header, count + 1);
  args->headers.headers_len = count;
  for (guint i = 0; i < count; i++)
    {
      const HttpHeader *header = &g_array_index (headers, HttpHeader, i);

      args->headers.headers_val[i].name = header->name;
      args->headers.headers_val[i].value = header->value;
    }
}

/*
 * Gives the attempt its name and the stamp that it is sent with. A ticket has both
 * already, and is good for one incarnation of its sidecar only: FALSE when that has gone.
 */
static gboolean
name_attempt (Exchange *exchange, const PeerStamp *stamp)
{
  Node *node = exchange->owner->node;

  if (exchange->ticket)
    return stamp->incarnation == exchange->stamp.incarnation;
  exchange->attempt.node = node->settings->node;
  exchange->attempt.incarnation = node->incarnation;
  exchange->attempt.counter = ++exchange->owner->counter;
  exchange->stamp = *stamp;
  return TRUE;
}

static void
on_session (const PeerStamp *stamp, gpointer data)
{
  Exchange *exchange = data;
  Node *node = exchange->owner->node;
  const GByteArray *body = http_request_body (exchange->request);
  g_autoptr (GArray) headers = NULL;
  SiblingMedians siblings;
  sw_submit_args args = { 0 };
  DispatchStep step;

  if (!stamp)
    {
      attempt_ended (exchange, RPC_UNSENT, NULL);
      return;
    }
  if (!name_attempt (exchange, stamp))
    {
      attempt_over (exchange);
      step = dispatch_sent (exchange->dispatch, DISPATCH_UNSURE, REASON_INCARNATION, 0);
      carry_out (exchange, &step);
      return;
    }
  siblings = balancer_medians (node->balancer, exchange->service);
  fill_attempt (exchange, &args.attempt);
  args.sidecar = exchange->stamp.incarnation;
  args.clock_us = (guint64)exchange->stamp.reading_us;
  args.target = exchange->target->name;
  args.tenant = exchange->service->tenant;
  args.remaining_ms = (u_int)MAX (1, exchange->remaining_us / MS_US);
  args.priority = exchange->route->priority;
  args.repeatable = exchange->route->repeatable;
  args.even_sick = exchange->even_sick;
  args.trial = exchange->trial;
  args.may_queue = exchange->may_queue;
  args.sibling_latency_us = siblings.latency_us;
  args.sibling_failures_ppm = siblings.failures_ppm;
  args.method = (char *)http_request_method (exchange->request);
  args.path = (char *)http_request_target (exchange->request);
  args.body.body_val = (char *)body->data;
  args.body.body_len = body->len;
  headers = forwarded_headers (exchange);
  fill_headers (headers, &args);
  exchange->submitted = TRUE;
  metrics_add (node->metrics, METRIC_ATTEMPTS, 1);
  exchange->pending = g_new0 (Pending, 1);
  exchange->pending->exchange = exchange;
  exchange->watch =
      peer_watch_create (node, exchange->target->vm, on_node_lost, exchange);
  peers_call (node->peers, exchange->target->vm, &submit, &args, exchange->wait_us,
              on_submitted, exchange->pending);
  g_free (args.headers.headers_val);
}

static void
send_attempt (Exchange *exchange, const DispatchStep *step)
{
  Node *node = exchange->owner->node;

  g_assert (exchange->target);
  exchange->wait_us = step->wait_us;
  exchange->remaining_us = step->remaining_us;
  exchange->out = TRUE;
  balancer_begin (node->balancer, exchange->target->name);
  if (dispatch_attempts (exchange->dispatch) > 1)
    metrics_add (node->metrics, METRIC_RETRIES, 1);
  peers_open (node->peers, exchange->target->vm, MIN (step->wait_us, OPEN_TIMEOUT_US),
              on_session, exchange);
}

/* The question goes to the incarnation that the attempt was sent to, or is pointless. */
static void
on_session_to_ask (const PeerStamp *stamp, gpointer data)
{
  Exchange *exchange = data;
  sw_fence_args args = { 0 };
  DispatchStep step;

  if (!stamp)
    {
      on_asked (RPC_UNSENT, NULL, exchange);
      return;
    }
  if (stamp->incarnation != exchange->stamp.incarnation)
    {
      step = dispatch_asked (exchange->dispatch, DISPATCH_UNSURE, REASON_INCARNATION, 0);
      carry_out (exchange, &step);
      return;
    }
  fill_attempt (exchange, &args.attempt);
  args.sidecar = exchange->stamp.incarnation;
  args.clock_us = (guint64)exchange->stamp.reading_us;
  args.target = exchange->target->name;
  args.wait_ms = (u_int)(exchange->hold_us / MS_US);
  peers_call (exchange->owner->node->peers, exchange->target->vm, &fence, &args,
              exchange->wait_us, on_asked, exchange);
}

static void
ask_fence (Exchange *exchange, const DispatchStep *step)
{
  Node *node = exchange->owner->node;

  g_assert (exchange->target);
  exchange->wait_us = step->wait_us;
  exchange->hold_us = step->hold_us;
  metrics_add (node->metrics, METRIC_FENCE_QUESTIONS, 1);
  peers_open (node->peers, exchange->target->vm, step->wait_us, on_session_to_ask,
              exchange);
}

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
choose_once (Exchange *exchange, BalancerTrial trial, BalancerHalls halls)
{
  g_autoptr (GPtrArray) names = excluded (exchange);
  BalancerWish wish = { trial, halls, names->len ? names : NULL };

  return balancer_choose (exchange->owner->node->balancer, exchange->service, &wish);
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

  if (exchange->busy_other < OTHER_HALL_TRIES)
    choice = choose_once (exchange, trial_of (exchange), halls);
  if (choice.target)
    return choice;
  exchange->may_queue = TRUE;
  return choose_once (exchange, BALANCER_NO_TRIAL, BALANCER_BY_LOAD);
}

static void
choose (Exchange *exchange)
{
  Node *node = exchange->owner->node;
  BalancerChoice choice = { 0 };
  DispatchStep step;

  cancel_attempt (exchange);
  refresh_targets (exchange);
  if (exchange->ticket)
    {
      step = dispatch_chosen (exchange->dispatch, choose_ticket_target (exchange), 0);
      carry_out (exchange, &step);
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
  carry_out (exchange, &step);
}

static void
on_pause_over (gpointer data)
{
  Exchange *exchange = data;
  DispatchStep step = dispatch_resume (exchange->dispatch);

  carry_out (exchange, &step);
}

/* Nothing more is begun for a caller who has gone. */
static void
abandon (Exchange *exchange)
{
  cancel_attempt (exchange);
  metrics_add (exchange->owner->node->metrics, METRIC_ABANDONED, 1);
  http_request_drop (exchange->request);
  exchange_free (exchange);
}

static void
carry_out (Exchange *exchange, const DispatchStep *step)
{
  if (exchange->abandoned && step->kind != DISPATCH_ANSWER)
    {
      abandon (exchange);
      return;
    }
  switch (step->kind)
    {
    case DISPATCH_CHOOSE:
      choose (exchange);
      break;
    case DISPATCH_SEND:
      send_attempt (exchange, step);
      break;
    case DISPATCH_ASK:
      ask_fence (exchange, step);
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
  g_free (exchanges);
}

static Exchange *
exchange_create (Exchanges *exchanges, const ExchangeOrder *order)
{
  Node *node = exchanges->node;
  Exchange *exchange = g_new0 (Exchange, 1);
  DispatchPolicy policy = { .repeatable = order->route->repeatable,
                            .pinned = order->ticket != NULL,
                            .slack_us = node->adapter->dialect->slack_us,
                            .attempts_max = order->route->attempts };

  g_hash_table_add (exchanges->set, exchange);
  exchange->owner = exchanges;
  exchange->request = http_request_ref (order->request);
  exchange->id = g_strdup (order->id);
  exchange->snapshot = snapshot_ref (order->snapshot);
  exchange->targets = snapshot_ref (order->snapshot);
  exchange->route = order->route;
  exchange->service = order->service;
  exchange->ticket = order->ticket;
  exchange->budget = order->budget;
  if (order->ticket)
    {
      exchange->attempt = *order->ticket->attempt;
      exchange->stamp = order->ticket->stamp;
    }
  exchange->began_us = clock_now (node->clock);
  exchange->tried = g_ptr_array_new_with_free_func (g_free);
  exchange->busy = g_ptr_array_new_with_free_func (g_free);
  exchange->timer = loop_timer_create (node->loop, on_pause_over, exchange);
  policy.deadline_us = exchange->began_us + order->span_us;
  exchange->dispatch = dispatch_create (&policy, order->budget, node->rand, node->clock);
  return exchange;
}

void
exchanges_begin (Exchanges *exchanges, const ExchangeOrder *order)
{
  Exchange *exchange = exchange_create (exchanges, order);
  DispatchStep step = dispatch_begin (exchange->dispatch);

  http_request_watch_gone (exchange->request, on_caller_gone, exchange);
  carry_out (exchange, &step);
}

static void
on_ticket_session (const PeerStamp *stamp, gpointer data)
{
  Exchange *exchange = data;
  Node *node = exchange->owner->node;
  Ticket ticket = { .attempt = &exchange->attempt };
  Verdict verdict = { .outcome = OUTCOME_NOT_RUN };
  g_autoptr (GArray) headers = NULL;
  g_autofree char *text = NULL;

  if (!stamp)
    {
      answer_error (node->adapter->dialect, exchange->request, exchange->id,
                    HTTP_UNAVAILABLE, "no ticket can be had now");
      exchange_free (exchange);
      return;
    }
  name_attempt (exchange, stamp);
  ticket.service = exchange->service->name;
  ticket.vm = exchange->target->vm;
  ticket.target = exchange->target->name;
  ticket.stamp = *stamp;
  text = ticket_text (&ticket, node->settings->fleet_token);
  headers = http_headers_new ();
  http_headers_add (headers, TICKET_HEADER, text);
  node->adapter->dialect->add_verdict (&verdict, NULL, headers);
  http_request_answer (exchange->request, HTTP_CREATED, headers, "", 0);
  exchange_free (exchange);
}

void
exchanges_give_ticket (Exchanges *exchanges, const ExchangeOrder *order)
{
  Exchange *exchange = exchange_create (exchanges, order);
  BalancerWish wish = { BALANCER_NO_TRIAL, BALANCER_BY_LOAD, NULL };
  BalancerChoice choice =
      balancer_choose (exchanges->node->balancer, order->service, &wish);

  exchange->target = choice.target;
  if (choice.target)
    peers_open (exchanges->node->peers, choice.target->vm, TICKET_TIMEOUT_US,
                on_ticket_session, exchange);
  else
    on_ticket_session (NULL, exchange);
}

guint
exchanges_cut (Exchanges *exchanges)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, exchanges->set);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const Exchange *exchange = key;
      gboolean sent = exchange->ticket || dispatch_attempts (exchange->dispatch) > 0;
      Verdict verdict = { sent ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN, REASON_DRAINING,
                          SECOND_US };

      answer_give_up (exchanges->node->adapter->dialect, exchange->request, exchange->id,
                      &verdict);
    }
  return g_hash_table_size (exchanges->set);
}
