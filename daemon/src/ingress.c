#include "ingress.h"

#include <string.h>

#include <core/dispatch.h>
#include <io/http-server.h>

#include "answer.h"
#include "config-sync.h"
#include "log.h"
#include "peers.h"

#define ATTEMPTS_MAX 3u
#define CALLER_DEADLINE_HEADER "Switchmill-Deadline-Ms"
#define HTTP_BAD_REQUEST 400
#define HTTP_UNAUTHORIZED 401
#define HTTP_NOT_FOUND 404
#define HTTP_UNAVAILABLE 503

struct Ingress
{
  Node *node;
  HttpServer *server;
  GHashTable *budgets; /* service → RetryBudget */
  guint64 counter;
  GHashTable *exchanges; /* set of Exchange */
  gboolean draining;
};

/* One caller's request on its way. */
typedef struct
{
  Ingress *ingress;
  HttpRequest *request;
  Snapshot *snapshot; /* holds route and service alive */
  const Route *route;
  const Service *service;
  Dispatch *dispatch;
  LoopTimer *timer;
  gint64 began_us;
  GPtrArray *tried; /* names of targets, borrowed from the service */
  /* The last attempt. */
  const Target *target;
  PeerStamp stamp;
  guint64 counter;
  gint64 wait_us;
  gint64 remaining_us;
  gint64 hold_us;
  gboolean out;     /* an attempt is counted at the balancer */
  sw_answer answer; /* owned once the outcome is "done" */
} Exchange;

static const RpcProcedure submit = { SW_SUBMIT, (xdrproc_t)xdr_sw_submit_args,
                                     (xdrproc_t)xdr_sw_submit_res,
                                     sizeof (sw_submit_res) };
static const RpcProcedure fence = { SW_FENCE, (xdrproc_t)xdr_sw_fence_args,
                                    (xdrproc_t)xdr_sw_submit_res,
                                    sizeof (sw_submit_res) };

static void carry_out (Exchange *exchange, const DispatchStep *step);

static void
exchange_free (Exchange *exchange)
{
  g_hash_table_remove (exchange->ingress->exchanges, exchange);
  loop_timer_destroy (exchange->timer);
  dispatch_destroy (exchange->dispatch);
  g_ptr_array_unref (exchange->tried);
  xdr_free ((xdrproc_t)xdr_sw_answer, (char *)&exchange->answer);
  snapshot_unref (exchange->snapshot);
  http_request_unref (exchange->request);
  g_free (exchange);
}

static void
log_outcome (const Exchange *exchange, const DispatchStep *step, gint64 took_us)
{
  g_autofree char *attempt = NULL;
  g_autofree char *took = NULL;

  attempt = g_strdup_printf ("%s-%" G_GINT64_MODIFIER "x-%" G_GINT64_MODIFIER "x",
                             exchange->ingress->node->settings->node,
                             exchange->ingress->node->incarnation, exchange->counter);
  took = g_strdup_printf ("%" G_GINT64_FORMAT, took_us);
  log_event (step->outcome == OUTCOME_DONE ? G_LOG_LEVEL_DEBUG : G_LOG_LEVEL_INFO,
             "request", "ATTEMPT", attempt, "SERVICE", exchange->service->name, "CLASS",
             exchange->route->class, "OUTCOME", outcome_name (step->outcome), "REASON",
             reason_name (step->reason), "TARGET",
             exchange->target ? exchange->target->name : NULL, "TOOK_US", took, NULL);
}

static void
finish (Exchange *exchange, const DispatchStep *step)
{
  Node *node = exchange->ingress->node;
  gint64 took = clock_now (node->clock) - exchange->began_us;

  metrics_request (node->metrics, exchange->service->tenant, exchange->route->class,
                   step->outcome, took);
  log_outcome (exchange, step, took);
  if (step->outcome == OUTCOME_DONE)
    answer_pass (exchange->request, &exchange->answer);
  else
    answer_give_up (exchange->request, step->outcome, step->reason, step->retry_after_us);
  exchange_free (exchange);
}

static void
attempt_over (Exchange *exchange)
{
  if (exchange->out)
    balancer_end (exchange->ingress->node->balancer, exchange->target->name);
  exchange->out = FALSE;
}

/* How a sidecar's answer reads for the dispatch; one to another attempt is no answer. */
static DispatchReport
report_of (Exchange *exchange, RpcOutcome outcome, sw_submit_res *res)
{
  Node *node = exchange->ingress->node;

  if (outcome == RPC_UNSENT)
    return DISPATCH_UNSENT;
  if (outcome != RPC_OK || res->attempt.counter != exchange->counter ||
      res->attempt.incarnation != node->incarnation ||
      strcmp (res->attempt.node, node->settings->node) != 0)
    return DISPATCH_LOST;
  switch (res->result)
    {
    case SW_DONE:
      exchange->answer = res->answer;
      memset (&res->answer, 0, sizeof res->answer);
      return DISPATCH_DONE;
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
  Node *node = exchange->ingress->node;
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
  Node *node = exchange->ingress->node;

  peers_note_stamp (node->peers, &res->stamp);
  peers_note_state (node->peers, &res->stamp, &res->state);
}

static void
on_submitted (RpcOutcome outcome, void *result, gpointer data)
{
  Exchange *exchange = data;
  sw_submit_res *res = result;
  DispatchReport report;
  DispatchStep step;

  attempt_over (exchange);
  note_path (exchange, outcome);
  if (outcome == RPC_OK)
    note_answer (exchange, res);
  report = report_of (exchange, outcome, res);
  step = dispatch_sent (exchange->dispatch, report,
                        outcome == RPC_OK ? (Reason)res->reason : REASON_LOST,
                        outcome == RPC_OK ? (gint64)res->retry_after_ms * MS_US : 0);
  carry_out (exchange, &step);
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
  step = dispatch_asked (exchange->dispatch, report,
                         outcome == RPC_OK ? (Reason)res->reason : REASON_LOST,
                         outcome == RPC_OK ? (gint64)res->retry_after_ms * MS_US : 0);
  carry_out (exchange, &step);
}

static void
fill_attempt (const Exchange *exchange, sw_attempt *attempt)
{
  attempt->node = exchange->ingress->node->settings->node;
  attempt->incarnation = exchange->ingress->node->incarnation;
  attempt->counter = exchange->counter;
}

static gboolean
is_forwarded (const char *name)
{
  return !http_header_is_hop (name) && g_ascii_strncasecmp (name, "Switchmill-", 11) != 0;
}

static void
fill_headers (const HttpRequest *request, sw_submit_args *args)
{
  const GArray *headers = http_request_headers (request);
  u_int count = 0;

  args->headers.headers_val = g_new0 (sw_header, headers->len + 1);
  for (guint i = 0; i < headers->len && count < SW_HEADERS_MAX; i++)
    {
      const HttpHeader *header = &g_array_index (headers, HttpHeader, i);

      if (!is_forwarded (header->name))
        continue;
      args->headers.headers_val[count].name = header->name;
      args->headers.headers_val[count].value = header->value;
      count++;
    }
  args->headers.headers_len = count;
}

static void
on_session (const PeerStamp *stamp, gpointer data)
{
  Exchange *exchange = data;
  Node *node = exchange->ingress->node;
  const GByteArray *body = http_request_body (exchange->request);
  SiblingMedians siblings;
  sw_submit_args args = { 0 };

  if (!stamp)
    {
      on_submitted (RPC_UNSENT, NULL, exchange);
      return;
    }
  exchange->stamp = *stamp;
  exchange->counter = ++exchange->ingress->counter;
  siblings = balancer_medians (node->balancer, exchange->service);
  fill_attempt (exchange, &args.attempt);
  args.sidecar = stamp->incarnation;
  args.clock_us = (guint64)stamp->reading_us;
  args.target = exchange->target->name;
  args.tenant = exchange->service->tenant;
  args.remaining_ms = (u_int)MAX (1, exchange->remaining_us / MS_US);
  args.priority = exchange->route->priority;
  args.repeatable = exchange->route->repeatable;
  args.sibling_latency_us = siblings.latency_us;
  args.sibling_failures_ppm = siblings.failures_ppm;
  args.method = (char *)http_request_method (exchange->request);
  args.path = (char *)http_request_target (exchange->request);
  args.body.body_val = (char *)body->data;
  args.body.body_len = body->len;
  fill_headers (exchange->request, &args);
  metrics_add (node->metrics, METRIC_ATTEMPTS, 1);
  peers_call (node->peers, exchange->target->vm, &submit, &args, exchange->wait_us,
              on_submitted, exchange);
  g_free (args.headers.headers_val);
}

static void
send_attempt (Exchange *exchange, const DispatchStep *step)
{
  Node *node = exchange->ingress->node;

  exchange->wait_us = step->wait_us;
  exchange->remaining_us = step->remaining_us;
  exchange->out = TRUE;
  balancer_begin (node->balancer, exchange->target->name);
  if (dispatch_attempts (exchange->dispatch) > 1)
    metrics_add (node->metrics, METRIC_RETRIES, 1);
  peers_open (node->peers, exchange->target->vm, step->wait_us, on_session, exchange);
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
  peers_call (exchange->ingress->node->peers, exchange->target->vm, &fence, &args,
              exchange->wait_us, on_asked, exchange);
}

static void
ask_fence (Exchange *exchange, const DispatchStep *step)
{
  Node *node = exchange->ingress->node;

  exchange->wait_us = step->wait_us;
  exchange->hold_us = step->hold_us;
  metrics_add (node->metrics, METRIC_FENCE_QUESTIONS, 1);
  peers_open (node->peers, exchange->target->vm, step->wait_us, on_session_to_ask,
              exchange);
}

static void
choose (Exchange *exchange)
{
  Node *node = exchange->ingress->node;
  BalancerChoice choice =
      balancer_choose (node->balancer, exchange->service, exchange->route->repeatable,
                       exchange->tried->len ? exchange->tried : NULL);
  DispatchStep step;

  if (choice.target)
    {
      exchange->target = choice.target;
      g_ptr_array_add (exchange->tried, choice.target->name);
    }
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

static void
carry_out (Exchange *exchange, const DispatchStep *step)
{
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

static RetryBudget *
budget_of (Ingress *ingress, const Service *service)
{
  RetryBudget *budget = g_hash_table_lookup (ingress->budgets, service->name);

  if (!budget)
    {
      budget = retry_budget_create (service->retry_percent);
      g_hash_table_insert (ingress->budgets, g_strdup (service->name), budget);
    }
  retry_budget_set_percent (budget, service->retry_percent);
  return budget;
}

/* The route's deadline, which a caller may shorten. */
static gint64
deadline_span (const HttpRequest *request, const Route *route)
{
  const char *text = http_request_header (request, CALLER_DEADLINE_HEADER);
  guint64 ms;

  if (!text ||
      !g_ascii_string_to_unsigned (text, 10, 1, CONFIG_DEADLINE_MAX_MS, &ms, NULL))
    return route->deadline_us;
  return MIN (route->deadline_us, (gint64)ms * MS_US);
}

static void
begin (Ingress *ingress,
       HttpRequest *request,
       Snapshot *snapshot,
       const Route *route,
       const Service *service)
{
  Node *node = ingress->node;
  Exchange *exchange = g_new0 (Exchange, 1);
  DispatchPolicy policy = { .repeatable = route->repeatable,
                            .attempts_max = ATTEMPTS_MAX };
  DispatchStep step;

  g_hash_table_add (ingress->exchanges, exchange);
  exchange->ingress = ingress;
  exchange->request = http_request_ref (request);
  exchange->snapshot = snapshot_ref (snapshot);
  exchange->route = route;
  exchange->service = service;
  exchange->began_us = clock_now (node->clock);
  exchange->tried = g_ptr_array_new ();
  exchange->timer = loop_timer_create (node->loop, on_pause_over, exchange);
  policy.deadline_us = exchange->began_us + deadline_span (request, route);
  exchange->dispatch =
      dispatch_create (&policy, budget_of (ingress, service), node->rand, node->clock);
  step = dispatch_begin (exchange->dispatch);
  carry_out (exchange, &step);
}

/* Segments that other parties may resolve differently are not routed at all. */
static gboolean
path_is_plain (const char *path)
{
  return *path == '/' && !strstr (path, "/../") && !strstr (path, "/./") &&
         !strstr (path, "//") && !g_str_has_suffix (path, "/..") &&
         !g_str_has_suffix (path, "/.") && !strchr (path, '\\');
}

static char *
host_of (const HttpRequest *request)
{
  const char *header = http_request_header (request, "Host");
  char *host = g_ascii_strdown (header ? header : "", -1);
  char *colon = strrchr (host, ':');

  if (colon)
    *colon = '\0';
  return host;
}

/* "Authorization: Bearer ID:KEY" of an account of the tenant. */
static gboolean
is_allowed (const HttpRequest *request, const Snapshot *snapshot, const char *tenant)
{
  const char *header = http_request_header (request, "Authorization");
  g_autofree char *id = NULL;
  g_autofree char *digest = NULL;
  const Account *account;
  const char *colon;

  if (!header || !g_str_has_prefix (header, "Bearer "))
    return FALSE;
  header += strlen ("Bearer ");
  colon = strchr (header, ':');
  if (!colon)
    return FALSE;
  id = g_strndup (header, (gsize)(colon - header));
  account = snapshot_account (snapshot, id);
  digest = g_compute_checksum_for_string (G_CHECKSUM_SHA256, colon + 1, -1);
  return account && strcmp (account->tenant, tenant) == 0 &&
         settings_secret_equal (account->key_sha256, digest);
}

static void
on_request (HttpRequest *request, gpointer data)
{
  Ingress *ingress = data;
  Snapshot *snapshot = config_sync_snapshot (ingress->node->config);
  g_autofree char *host = host_of (request);
  const char *path = http_request_path (request);
  const Service *service;
  const Route *route;

  if (ingress->draining)
    {
      answer_error (request, HTTP_UNAVAILABLE, "this node is stopping; ask another");
      return;
    }
  if (!config_sync_ready (ingress->node->config))
    {
      answer_error (request, HTTP_UNAVAILABLE, "this node has no configuration yet");
      return;
    }
  if (!path_is_plain (path))
    {
      answer_error (request, HTTP_BAD_REQUEST, "the path must be absolute and plain");
      return;
    }
  route = snapshot_route (snapshot, host, path, http_request_method (request));
  service = route ? snapshot_service (snapshot, route->service) : NULL;
  if (!service)
    {
      answer_error (request, HTTP_NOT_FOUND, "no route for this method and path");
      return;
    }
  if (route->account && !is_allowed (request, snapshot, service->tenant))
    {
      answer_error (request, HTTP_UNAUTHORIZED, "an account of this tenant is needed");
      return;
    }
  begin (ingress, request, snapshot, route, service);
}

Ingress *
ingress_create (Node *node, GError **error)
{
  const Settings *settings = node->settings;
  HttpLimits limits = { settings->connections_max, settings->header_max,
                        settings->body_max, settings->read_us };
  Ingress *ingress = g_new0 (Ingress, 1);

  ingress->node = node;
  ingress->budgets = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                            (GDestroyNotify)retry_budget_destroy);
  ingress->exchanges = g_hash_table_new (NULL, NULL);
  ingress->server = http_server_create (node->loop, settings->callers_address, &limits,
                                        on_request, ingress, error);
  if (ingress->server)
    return ingress;
  g_hash_table_unref (ingress->exchanges);
  g_hash_table_unref (ingress->budgets);
  g_free (ingress);
  return NULL;
}

void
ingress_destroy (Ingress *ingress)
{
  GHashTableIter iter;
  gpointer key;

  if (!ingress)
    return;
  http_server_destroy (ingress->server);
  for (;;)
    {
      g_hash_table_iter_init (&iter, ingress->exchanges);
      if (!g_hash_table_iter_next (&iter, &key, NULL))
        break;
      exchange_free (key);
    }
  g_hash_table_unref (ingress->exchanges);
  g_hash_table_unref (ingress->budgets);
  g_free (ingress);
}

void
ingress_drain (Ingress *ingress)
{
  ingress->draining = TRUE;
}

guint
ingress_cut (Ingress *ingress)
{
  guint count = g_hash_table_size (ingress->exchanges);
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, ingress->exchanges);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const Exchange *exchange = key;
      gboolean sent = dispatch_attempts (exchange->dispatch) > 0;

      answer_give_up (exchange->request, sent ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN,
                      REASON_DRAINING, SECOND_US);
    }
  return count;
}

guint
ingress_active (const Ingress *ingress)
{
  return http_server_active (ingress->server);
}
