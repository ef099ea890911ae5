#include "exchange-private.h"

#include <string.h>

#include <core/http-status.h>

#include "path-probe.h"
#include "request-log.h"

/* A connection to a node that is there is made in a round trip; 400 ms cover a lost
   packet's first repetition (200 ms) with room to spare. */
#define OPEN_TIMEOUT_US (400 * MS_US)
/* Nothing waits for the answer to a cancellation. */
#define CANCEL_TIMEOUT_US SECOND_US

static const RpcProcedure submit = { SW_SUBMIT, (xdrproc_t)xdr_sw_submit_args,
                                     (xdrproc_t)xdr_sw_submit_res,
                                     sizeof (sw_submit_res) };
static const RpcProcedure fence = { SW_FENCE, (xdrproc_t)xdr_sw_fence_args,
                                    (xdrproc_t)xdr_sw_submit_res,
                                    sizeof (sw_submit_res) };
static const RpcProcedure cancel = { SW_CANCEL, (xdrproc_t)xdr_sw_cancel_args, wire_void,
                                     0 };

/* What still comes of the submission is not waited for any more. */
void
exchange_drop_pending (Exchange *exchange)
{
  if (exchange->pending)
    exchange->pending->exchange = NULL;
  exchange->pending = NULL;
  g_clear_pointer (&exchange->watch, peer_watch_destroy);
}

static void
attempt_over (Exchange *exchange)
{
  exchange_drop_pending (exchange);
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
void
exchange_cancel_attempt (Exchange *exchange)
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

/* The bytes that the refused attempt has cost. */
static void
count_refused (Exchange *exchange)
{
  const Node *node = exchange->owner->node;

  traffic_recount (node->traffic, TRAFFIC_REQUESTS, TRAFFIC_REFUSED,
                   peers_in_own_hall (node, exchange->target->vm), exchange->sent_bytes);
  exchange->sent_bytes = 0;
}

static void
attempt_ended (Exchange *exchange, RpcOutcome outcome, sw_submit_res *res)
{
  DispatchReport report;
  DispatchStep step;

  request_log_attempt_end (exchange, outcome, res);
  attempt_over (exchange);
  note_path (exchange, outcome);
  exchange->submitted &= outcome == RPC_TIMEOUT || outcome == RPC_LOST;
  if (outcome == RPC_OK)
    note_answer (exchange, res);
  report = report_of (exchange, outcome, res);
  if (outcome == RPC_OK)
    note_refusal (exchange, (Reason)res->reason);
  if (report == DISPATCH_REFUSED)
    count_refused (exchange);
  step = dispatch_sent (exchange->dispatch, report,
                        outcome == RPC_OK ? (Reason)res->reason : REASON_LOST,
                        outcome == RPC_OK ? (gint64)res->retry_after_ms * MS_US : 0);
  exchange_carry_out (exchange, &step);
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
  exchange_carry_out (exchange, &step);
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
gboolean
exchange_name_attempt (Exchange *exchange, const PeerStamp *stamp)
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
  if (!exchange_name_attempt (exchange, stamp))
    {
      attempt_over (exchange);
      step = dispatch_sent (exchange->dispatch, DISPATCH_UNSURE, REASON_INCARNATION, 0);
      exchange_carry_out (exchange, &step);
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
  args.repeat = exchange->repeat || dispatch_arrivals (exchange->dispatch) > 0;
  args.even_sick = exchange->even_sick;
  args.trial = exchange->trial;
  args.may_queue = exchange->may_queue;
  args.may_break_off = dispatch_has_retry (exchange->dispatch);
  args.sibling_latency_us = siblings.latency_us;
  args.sibling_failures_ppm = siblings.failures_ppm;
  args.method = (char *)http_request_method (exchange->request);
  args.path = (char *)http_request_target (exchange->request);
  args.body.body_val = (char *)body->data;
  args.body.body_len = body->len;
  headers = forwarded_headers (exchange);
  fill_headers (headers, &args);
  exchange->submitted = TRUE;
  request_log_attempt (exchange);
  metrics_add (node->metrics, METRIC_ATTEMPTS, 1);
  exchange->pending = g_new0 (Pending, 1);
  exchange->pending->exchange = exchange;
  exchange->watch =
      peer_watch_create (node, exchange->target->vm, on_node_lost, exchange);
  exchange->sent_bytes = xdr_sizeof ((xdrproc_t)xdr_sw_submit_args, &args);
  peers_call (node->peers, exchange->target->vm, &submit, &args, exchange->wait_us,
              on_submitted, exchange->pending);
  g_free (args.headers.headers_val);
}

void
exchange_send (Exchange *exchange, const DispatchStep *step)
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
      exchange_carry_out (exchange, &step);
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

void
exchange_ask (Exchange *exchange, const DispatchStep *step)
{
  Node *node = exchange->owner->node;

  g_assert (exchange->target);
  exchange->wait_us = step->wait_us;
  exchange->hold_us = step->hold_us;
  metrics_add (node->metrics, METRIC_FENCE_QUESTIONS, 1);
  peers_open (node->peers, exchange->target->vm, step->wait_us, on_session_to_ask,
              exchange);
}
