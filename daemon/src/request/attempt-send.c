#include "exchange-private.h"

#include <string.h>

#include "path-probe.h"
#include "rate-wire.h"
#include "request-log.h"

/* A connection to a node that is up takes one round trip. 400 ms also cover the first
   retransmission of a lost packet (200 ms). */
#define OPEN_TIMEOUT_US (400 * MS_US)
/* How long a request without a ticket waits for a session. A connection and its handshake
   take 1 ms within a hall and 8 ms between halls. With OPEN_TIMEOUT_US alone, trying four
   dead nodes in a row took 1.6 s; in a fleet of 353 nodes of which 11 were dead, that
   made 460 requests late in six seconds. */
#define SESSION_WAIT_MAX_US (100 * MS_US)
/* The reply to a slot request takes one round trip; a lost packet is retransmitted within
   200 ms. */
#define SLOT_TIMEOUT_US (300 * MS_US)

/* A node heard within this time is taken to be up: nodes and paths fail once in hours,
   and a request reaches its target within milliseconds. */
#define HEARD_RECENTLY_US (50 * MS_US)
/* An answer takes under 1 ms within a hall, 4 ms between halls, and about 20 ms from a
   slow node. After three times that, another node is tried. */
#define NODE_PING_TIMEOUT_US (60 * MS_US)

static const RpcProcedure submit = { SW_SUBMIT, (xdrproc_t)xdr_sw_submit_args,
                                     (xdrproc_t)xdr_sw_submit_res,
                                     sizeof (sw_submit_res) };

static void
on_submitted (RpcOutcome outcome, void *result, gpointer data)
{
  PendingCall *pending = data;
  Attempt *attempt = pending->attempt;

  if (attempt)
    attempt->pending = NULL;
  g_free (pending);
  if (attempt)
    attempt_ended (attempt, outcome, result);
}

/* Ends the attempt as lost, because the node does not even answer a ping. */
static void
on_node_lost (gpointer data)
{
  Attempt *attempt = data;

  path_probes_start (attempt->exchange->owner->node->paths, attempt->target->vm);
  attempt_ended (attempt, RPC_LOST, NULL);
}

/* Returns the headers for the target: those that the dialect adds, then those of the
   caller that are forwarded. */
static GArray *
forwarded_headers (const Exchange *exchange)
{
  const Node *node = exchange->owner->node;
  const Dialect *dialect = node->adapter->dialect;
  const GArray *headers = http_request_headers (exchange->request);
  GArray *forwarded = http_headers_new ();

  dialect->add_origin (node->settings, exchange->account ? exchange->account->id : NULL,
                       forwarded);
  for (guint i = 0; i < headers->len; i++)
    {
      const HttpHeader *header = &g_array_index (headers, HttpHeader, i);

      if (!http_header_is_hop (header->name) &&
          dialect->forwards (header->name, exchange->key_checked))
        http_headers_add (forwarded, header->name, header->value);
    }
  return forwarded;
}

/* Fills the header list of `args`; the strings stay owned by `headers`. */
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

gboolean
attempt_assign_id (Attempt *attempt, const PeerStamp *stamp)
{
  Exchange *exchange = attempt->exchange;
  Node *node = exchange->owner->node;

  if (exchange->ticket)
    return stamp->incarnation == attempt->stamp.incarnation;
  attempt->id.node = node->settings->node;
  attempt->id.incarnation = node->incarnation;
  attempt->id.counter = ++exchange->owner->counter;
  attempt->stamp = *stamp;
  return TRUE;
}

LatencyFit
exchange_latency_fit (const Exchange *exchange)
{
  return latency_views_fit (exchange->owner->latencies,
                            latency_route_id (exchange->route->class));
}

/* Returns the rate that the target has named, as this ingress remembers it. */
static u_int
remembered_rate (const Attempt *attempt)
{
  const Balancer *balancer = attempt->exchange->owner->node->balancer;
  double per_s = 0;
  gboolean named = balancer_named_rate (balancer, attempt->target->name, &per_s);

  return rate_wire_pack (named ? NAMED_RATE_IN_FORCE : NAMED_RATE_UNKNOWN, per_s);
}

/* Fills all arguments except the request itself: method, path, headers and body. */
static void
fill_attempt_args (const Attempt *attempt, sw_submit_args *args)
{
  const Exchange *exchange = attempt->exchange;
  Node *node = exchange->owner->node;
  LatencyFit fit = exchange_latency_fit (exchange);
  /* Opening a session and asking for a slot took time, and a stop may have begun. */
  gint64 remaining =
      MIN (attempt->remaining_us, dispatch_remaining_us (exchange->dispatch));

  attempt_fill_id (attempt, &args->attempt);
  args->sidecar = attempt->stamp.incarnation;
  args->clock_us = (guint64)attempt->stamp.reading_us;
  args->target = attempt->target->name;
  args->tenant = attempt->service->tenant;
  args->remaining_ms = (u_int)MAX (1, remaining / MS_US);
  args->priority = exchange->priority;
  args->repeatable = exchange->route->repeatable;
  args->retry = attempt->retry;
  args->proved_only = attempt->proved_only;
  args->even_sick = attempt->even_sick;
  args->trial = attempt->trial;
  args->may_queue = attempt->may_queue;
  args->wait_ms = (u_int)(attempt->max_wait_us / MS_US);
  args->slack_ms = (u_int)(MAX (exchange_slack_us (exchange), 0) / MS_US);
  args->route = latency_route_id (exchange->route->class);
  args->sibling_fit = latency_fit_pack (&fit);
  args->rate_milli = remembered_rate (attempt);
  args->sibling_failures_ppm = balancer_failures_ppm (node->balancer, attempt->service);
}

static void
submit_now (Attempt *attempt, sw_phase phase)
{
  const Exchange *exchange = attempt->exchange;
  Node *node = exchange->owner->node;
  g_autoptr (GBytes) body = http_request_body_bytes (exchange->request);
  g_autoptr (GArray) headers = forwarded_headers (exchange);
  sw_submit_args args = { .phase = phase };

  fill_attempt_args (attempt, &args);
  args.method = (char *)http_request_method (exchange->request);
  args.path = (char *)http_request_target (exchange->request);
  fill_headers (headers, &args);
  attempt->submitted = TRUE;
  metrics_add (node->metrics, METRIC_ATTEMPTS, 1);
  attempt->pending = g_new0 (PendingCall, 1);
  attempt->pending->attempt = attempt;
  attempt->watch = peer_watch_create (node, attempt->target->vm, on_node_lost, attempt);
  attempt->sent_bytes = xdr_sizeof ((xdrproc_t)xdr_sw_submit_args, &args) +
                        g_bytes_get_size (body) +
                        wire_tail_padding (g_bytes_get_size (body));
  peers_call_tail (node->peers, attempt->target->vm, &submit, &args, body,
                   attempt->wait_us, on_submitted, attempt->pending);
  g_free (args.headers.headers_val);
}

/* Ends the attempt as unsent, because its node has not answered in time: nothing that
   could run has been sent. For a second, or until the node answers, the balancer avoids
   it. */
static void
fail_unanswered (Attempt *attempt)
{
  peers_doubt (attempt->exchange->owner->node->peers, attempt->target->vm);
  attempt->unanswered = TRUE;
  attempt_ended (attempt, RPC_UNSENT, NULL);
}

/* Submits the request if the sidecar holds a slot for it. */
static void
on_slot_answer (RpcOutcome outcome, void *result, gpointer data)
{
  PendingCall *pending = data;
  Attempt *attempt = pending->attempt;
  sw_submit_res *res = result;

  g_free (pending);
  if (!attempt)
    return;
  attempt->pending = NULL;
  if (outcome == RPC_OK && res->result == SW_HELD &&
      attempt_id_matches (attempt, &res->attempt))
    {
      attempt_note_answer (attempt, res);
      submit_now (attempt, SW_HELD_SUBMIT);
      return;
    }
  if (outcome == RPC_OK && res->result == SW_REFUSED)
    attempt_ended (attempt, outcome, res);
  else
    fail_unanswered (attempt);
}

static void
on_ping_answer (RpcOutcome outcome, void *result, gpointer data)
{
  PendingCall *pending = data;
  Attempt *attempt = pending->attempt;

  g_free (pending);
  if (!attempt)
    return;
  attempt->pending = NULL;
  if (outcome == RPC_OK)
    submit_now (attempt, SW_WHOLE);
  else
    fail_unanswered (attempt);
}

/* Pings the node first, before a request that may queue there is sent. */
static void
ping_before_submit (Attempt *attempt)
{
  Node *node = attempt->exchange->owner->node;

  attempt->pending = g_new0 (PendingCall, 1);
  attempt->pending->attempt = attempt;
  peers_ping (node->peers, attempt->target->vm,
              MIN (attempt->wait_us, NODE_PING_TIMEOUT_US), on_ping_answer,
              attempt->pending);
}

/* Asks the sidecar to hold a slot before the request is sent. */
static void
ask_for_slot (Attempt *attempt)
{
  Node *node = attempt->exchange->owner->node;
  sw_submit_args args = { .phase = SW_ASK, .method = "", .path = "" };

  fill_attempt_args (attempt, &args);
  attempt->pending = g_new0 (PendingCall, 1);
  attempt->pending->attempt = attempt;
  attempt->sent_bytes = xdr_sizeof ((xdrproc_t)xdr_sw_submit_args, &args);
  peers_call (
      node->peers, attempt->target->vm, &submit, &args,
      MIN (attempt->wait_us, attempt->local ? NODE_PING_TIMEOUT_US : SLOT_TIMEOUT_US),
      on_slot_answer, attempt->pending);
}

/* Whether the target is beside this node. */
static gboolean
is_own (const Attempt *attempt)
{
  const Node *node = attempt->exchange->owner->node;

  return strcmp (attempt->target->vm, node->settings->node) == 0;
}

static gboolean
is_heard_recently (const Attempt *attempt)
{
  Node *node = attempt->exchange->owner->node;

  return clock_now (node->clock) - peers_heard_us (node->peers, attempt->target->vm) <
         HEARD_RECENTLY_US;
}

typedef enum
{
  STEP_SUBMIT,
  STEP_ASK_FOR_SLOT,
  STEP_PING
} FirstStep;

/*
 * Returns the message that goes to the sidecar first.
 *
 * Another hall, when loaded, refuses three in four of the requests offered to it, and a
 * slot request has a fifth of the size of a request. Within the hall, a node that has not
 * been heard lately gets a slot request or a ping first: a request lost on the way to a
 * node that has just failed cannot be answered nor, if unrepeatable, retried, while a
 * lost slot request or ping costs 60 ms. This node itself is up, however long it takes to
 * answer itself under load.
 */
static FirstStep
first_step (const Attempt *attempt)
{
  const Exchange *exchange = attempt->exchange;

  if (exchange->ticket || is_own (attempt))
    return STEP_SUBMIT;
  if (!attempt->local && !attempt->may_queue)
    return STEP_ASK_FOR_SLOT;
  if (is_heard_recently (attempt))
    return STEP_SUBMIT;
  return attempt->may_queue ? STEP_PING : STEP_ASK_FOR_SLOT;
}

static void
on_session (const PeerStamp *stamp, gpointer data)
{
  Attempt *attempt = data;
  Exchange *exchange = attempt->exchange;
  DispatchStep step;

  if (!attempt_session_opened (attempt))
    return;
  if (!stamp)
    {
      attempt_ended (attempt, RPC_UNSENT, NULL);
      return;
    }
  if (!attempt_assign_id (attempt, stamp))
    {
      attempt_detach (attempt);
      step = dispatch_sent (exchange->dispatch, DISPATCH_UNSURE, REASON_INCARNATION, 0);
      exchange_carry_out (exchange, &step);
      return;
    }
  request_log_attempt (attempt);
  switch (first_step (attempt))
    {
    case STEP_ASK_FOR_SLOT:
      ask_for_slot (attempt);
      break;
    case STEP_PING:
      ping_before_submit (attempt);
      break;
    default:
      submit_now (attempt, SW_WHOLE);
      break;
    }
}

/* The session may still be opened later, but this attempt does not wait for it. */
static void
on_session_wait_over (gpointer data)
{
  fail_unanswered (data);
}

void
attempt_send (Attempt *attempt, gint64 wait_us, gint64 remaining_us)
{
  Node *node = attempt->exchange->owner->node;

  attempt->wait_us = wait_us;
  attempt->remaining_us = remaining_us;
  attempt->out = TRUE;
  attempt->opening = TRUE;
  balancer_attempt_started (node->balancer, attempt->target->name);
  if (!attempt->exchange->ticket && !is_own (attempt) &&
      !peers_has_session (node->peers, attempt->target->vm))
    {
      attempt->session_timer =
          loop_timer_create (node->loop, on_session_wait_over, attempt);
      loop_timer_start (attempt->session_timer, SESSION_WAIT_MAX_US);
    }
  peers_open (node->peers, attempt->target->vm, MIN (wait_us, OPEN_TIMEOUT_US),
              on_session, attempt);
}
