#include "ingress.h"

#include <string.h>

#include <io/http-server.h>

#include <core/split.h>
#include <core/http-status.h>

#include "adapter.h"
#include "allowances.h"
#include "answer.h"
#include "config-sync.h"
#include "exchange.h"
#include "identity.h"
#include "log.h"
#include "sidecar.h"
#include "start-queue.h"

struct Ingress
{
  Node *node;
  HttpServer *server;
  Exchanges *exchanges;
  StartQueue *start_queue;
  Splitter *splitter;
  guint64 split_generation; /* of the configuration at the splitter's last reset */
  gboolean draining;
};

/* Returns the route's deadline, or the caller's if that is shorter. */
static gint64
deadline_span (const CallerRequest *words, const Route *route)
{
  if (words->wait_us <= 0)
    return route->deadline_us;
  return MIN (route->deadline_us, words->wait_us);
}

static const Dialect *
dialect_of (const Ingress *ingress)
{
  return ingress->node->adapter->dialect;
}

/* Runs the request, or issues the ticket that it asks for. */
static void
begin (Ingress *ingress, ExchangeParams *order)
{
  const char *text = dialect_of (ingress)->tickets
                         ? http_request_header (order->request, TICKET_HEADER)
                         : NULL;

  if (!text || order->route->repeatable)
    {
      exchanges_begin (ingress->exchanges, order);
      return;
    }
  if (strcmp (text, TICKET_NEW) == 0)
    {
      exchanges_issue_ticket (ingress->exchanges, order);
      return;
    }
  order->ticket = ticket_parse (text, ingress->node->settings->fleet_token);
  if (order->ticket && strcmp (order->ticket->service, order->service->name) == 0)
    {
      exchanges_begin (ingress->exchanges, order);
      return;
    }
  ticket_free (order->ticket);
  answer_error (dialect_of (ingress), order->request, order->id, HTTP_BAD_REQUEST,
                "this is no ticket for this service");
}

/* Returns the service for a request on a route; where the route is split, the one whose
   turn it is. */
static const Service *
service_of (Ingress *ingress, const Snapshot *snapshot, const Route *route)
{
  if (ingress->split_generation != snapshot_generation (snapshot))
    {
      splitter_reset (ingress->splitter);
      ingress->split_generation = snapshot_generation (snapshot);
    }
  return snapshot_service (snapshot, splitter_pick (ingress->splitter, route));
}

/* Finds route and service; if there are none, answers and returns FALSE. */
static gboolean
find_route (Ingress *ingress, const CallerRequest *words, ExchangeParams *order)
{
  const char *method = http_request_method (order->request);

  order->route = snapshot_route (order->snapshot, words->host, words->path, method);
  if (order->route)
    order->service = service_of (ingress, order->snapshot, order->route);
  if (order->service)
    return TRUE;
  answer_error (dialect_of (ingress), order->request, words->id, HTTP_NOT_FOUND,
                "no route for this method and path");
  return FALSE;
}

/* Finds the account; if the caller may not use the route, answers and returns FALSE. */
static gboolean
find_account (Ingress *ingress, const CallerRequest *words, ExchangeParams *order)
{
  const Dialect *dialect = dialect_of (ingress);
  Identity identity = identity_find (dialect, order->request, order->snapshot,
                                     order->route, order->service->tenant);

  order->account = identity.account;
  order->key_checked = identity.key_checked;
  if (!identity.status)
    return TRUE;
  identity_log (&identity, ingress->node, words->id);
  answer_error (dialect, order->request, words->id, identity.status,
                identity_refusal (&identity));
  return FALSE;
}

/* Marks the order as a target's call, and returns the account priority of the request for
   which the target makes it. */
static guint
inherit_call_context (Ingress *ingress, const CallerRequest *words, ExchangeParams *order)
{
  SidecarCallContext terms = sidecar_call_context (ingress->node->sidecar, words->parent);

  order->call = TRUE;
  order->repeat = terms.repeat;
  return terms.account_priority;
}

static void
route_request (Ingress *ingress, HttpRequest *request, const CallerRequest *words)
{
  /* Requests without an account rank with the lowest account priority. */
  guint priority = CONFIG_ACCOUNT_PRIORITIES - 1;
  ExchangeParams order = { .request = request,
                           .snapshot = config_sync_snapshot (ingress->node->config),
                           .id = words->id };

  if (!find_route (ingress, words, &order) || !find_account (ingress, words, &order))
    return;
  if (words->parent)
    priority = inherit_call_context (ingress, words, &order);
  if (order.account)
    priority = order.account->priority;
  order.priority = identity_priority (priority, order.route);
  order.span_us = deadline_span (words, order.route);
  allowances_check (ingress->node->allowances, &order);
}

/* Answers "not run", because the account has exceeded its allowance, or because no lender
   of it can be asked. */
static void
refuse (Ingress *ingress, const ExchangeParams *order, const AllowanceVerdict *verdict)
{
  gboolean exceeded = verdict->outcome == ALLOWANCE_EXCEEDED;

  allowances_log (ingress->node->allowances, order, verdict);
  answer_refusal (dialect_of (ingress), order->request, order->id,
                  exceeded ? HTTP_TOO_MANY : HTTP_UNAVAILABLE,
                  exceeded ? "this account has asked for more than it may"
                           : "the account's allowance is not known now",
                  verdict->retry_after_us);
}

static void
on_allowance (ExchangeParams *order, const AllowanceVerdict *verdict, gpointer data)
{
  Ingress *ingress = data;

  if (verdict->outcome == ALLOWANCE_GRANTED)
    begin (ingress, order);
  else
    refuse (ingress, order, verdict);
}

/* Returns why this node accepts no requests at present, or NULL. */
static const char *
unavailable_reason (const Ingress *ingress)
{
  if (ingress->draining)
    return "this node is stopping; ask another";
  if (!config_sync_ready (ingress->node->config))
    return "this node has no configuration yet";
  return NULL;
}

static void
on_request (HttpRequest *request, gpointer data)
{
  Ingress *ingress = data;
  const Dialect *dialect = dialect_of (ingress);
  CallerRequest words = { 0 };
  const char *fault;
  const char *why = unavailable_reason (ingress);

  if (!ingress->draining && start_queue_is_open (ingress->start_queue))
    {
      start_queue_add (ingress->start_queue, request);
      return;
    }
  fault = dialect->decode (request, &words);
  if (why)
    answer_error (dialect, request, words.id, HTTP_UNAVAILABLE, why);
  else if (fault)
    answer_error (dialect, request, words.id, HTTP_BAD_REQUEST, fault);
  else
    route_request (ingress, request, &words);
  caller_request_clear (&words);
}

/* Counts a connection that was closed because the caller stopped reading its answer. */
static void
on_stall (gsize left, gpointer data)
{
  Node *node = data;
  g_autofree char *bytes = g_strdup_printf ("%" G_GSIZE_FORMAT, left);

  metrics_add (node->metrics, METRIC_CALLERS_LET_GO, 1);
  events_add (node->events, "caller-let-go", bytes, "bytes of the answer left unread");
}

/* Counts a request that was refused because the memory for requests is used up. */
static void
on_full (gsize held, gpointer data)
{
  Node *node = data;
  g_autofree char *bytes = g_strdup_printf ("%" G_GSIZE_FORMAT, held);
  g_autofree char *used =
      g_strdup_printf ("%" G_GSIZE_FORMAT, mem_account_used (node->memory));

  metrics_add (node->metrics, METRIC_CALLERS_NO_ROOM, 1);
  log_event (G_LOG_LEVEL_INFO, "caller-no-room", "HELD_BYTES", bytes, "USED_BYTES", used,
             NULL);
}

/* Counts a connection that was closed for another caller's. */
static void
on_displaced (gint64 waited_us, gpointer data)
{
  Node *node = data;
  g_autofree char *waited = g_strdup_printf ("%" G_GINT64_FORMAT, waited_us);

  metrics_add (node->metrics, METRIC_CALLERS_DISPLACED, 1);
  log_event (G_LOG_LEVEL_INFO, "caller-displaced", "WAITED_US", waited, NULL);
}

Ingress *
ingress_create (Node *node, GError **error)
{
  const Settings *settings = node->settings;
  HttpLimits limits = { settings->connections_max, settings->header_max,
                        settings->body_max,        settings->read_us,
                        settings->idle_us,         settings->stall_us,
                        settings->held_max,        node->memory };
  Ingress *ingress = g_new0 (Ingress, 1);

  ingress->node = node;
  ingress->exchanges = exchanges_create (node);
  ingress->start_queue = start_queue_create (node, on_request, ingress);
  ingress->splitter = splitter_create (node->rand);
  allowances_set_done (node->allowances, on_allowance, ingress);
  ingress->server = http_server_create (node->loop, settings->callers_address, &limits,
                                        on_request, ingress, error);
  if (ingress->server)
    {
      http_server_set_stall_func (ingress->server, on_stall, node);
      http_server_set_full_func (ingress->server, on_full, node);
      http_server_set_displaced_func (ingress->server, on_displaced, node);
      return ingress;
    }
  start_queue_destroy (ingress->start_queue);
  exchanges_destroy (ingress->exchanges);
  splitter_destroy (ingress->splitter);
  g_free (ingress);
  return NULL;
}

void
ingress_destroy (Ingress *ingress)
{
  if (!ingress)
    return;
  http_server_destroy (ingress->server);
  start_queue_destroy (ingress->start_queue);
  exchanges_destroy (ingress->exchanges);
  splitter_destroy (ingress->splitter);
  g_free (ingress);
}

void
ingress_begin_stop (Ingress *ingress)
{
  exchanges_begin_stop (ingress->exchanges);
  http_server_set_closing (ingress->server);
}

void
ingress_drain (Ingress *ingress)
{
  ingress->draining = TRUE;
}

void
ingress_stop_listening (Ingress *ingress)
{
  http_server_quiesce (ingress->server);
}

guint
ingress_abort (Ingress *ingress)
{
  return allowances_abort (ingress->node->allowances) +
         exchanges_abort (ingress->exchanges);
}

guint
ingress_active (const Ingress *ingress)
{
  return http_server_active (ingress->server);
}

gboolean
ingress_is_sending (const Ingress *ingress)
{
  return http_server_is_sending (ingress->server);
}
