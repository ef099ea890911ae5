#include "ingress.h"

#include <string.h>

#include <io/http-server.h>

#include <core/split.h>
#include <core/http-status.h>

#include "adapter.h"
#include "answer.h"
#include "config-sync.h"
#include "exchange.h"
#include "sidecar.h"
#include "start-queue.h"

struct Ingress
{
  Node *node;
  HttpServer *server;
  Exchanges *exchanges;
  StartQueue *start_queue;
  Splitter *splitter;
  guint64 split_generation; /* of the routes that the splitter's turns belong to */
  gboolean draining;
};

/* The route's deadline, which a caller may shorten. */
static gint64
deadline_span (const CallerWords *words, const Route *route)
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

/* Runs the request, or gives the ticket out that it asks for. */
static void
begin (Ingress *ingress, ExchangeOrder *order)
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
      exchanges_give_ticket (ingress->exchanges, order);
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

/* The service that a request on a route goes to; its turn, where the route is shared. */
static const Service *
service_of (Ingress *ingress, const Snapshot *snapshot, const Route *route)
{
  if (ingress->split_generation != snapshot_generation (snapshot))
    {
      splitter_prune (ingress->splitter);
      ingress->split_generation = snapshot_generation (snapshot);
    }
  return snapshot_service (snapshot, splitter_pick (ingress->splitter, route));
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

/* Finds route and service; answers and returns FALSE when the request has none. */
static gboolean
find_route (Ingress *ingress, const CallerWords *words, ExchangeOrder *order)
{
  const char *method = http_request_method (order->request);

  order->route = snapshot_route (order->snapshot, words->host, words->path, method);
  if (order->route)
    order->service = service_of (ingress, order->snapshot, order->route);
  if (!order->service)
    {
      answer_error (dialect_of (ingress), order->request, words->id, HTTP_NOT_FOUND,
                    "no route for this method and path");
      return FALSE;
    }
  if (!order->route->account ||
      is_allowed (order->request, order->snapshot, order->service->tenant))
    return TRUE;
  answer_error (dialect_of (ingress), order->request, words->id, HTTP_UNAUTHORIZED,
                "an account of this tenant is needed");
  return FALSE;
}

static void
route_request (Ingress *ingress, HttpRequest *request, const CallerWords *words)
{
  ExchangeOrder order = { .request = request,
                          .snapshot = config_sync_snapshot (ingress->node->config),
                          .id = words->id };

  if (!find_route (ingress, words, &order))
    return;
  order.call = words->parent != NULL;
  order.repeat =
      order.call && sidecar_runs_repeat (ingress->node->sidecar, words->parent);
  order.span_us = deadline_span (words, order.route);
  begin (ingress, &order);
}

/* Why this node takes no requests now, or NULL. */
static const char *
unavailable (const Ingress *ingress)
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
  CallerWords words = { 0 };
  const char *fault;
  const char *why = unavailable (ingress);

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
  caller_words_clear (&words);
}

Ingress *
ingress_create (Node *node, GError **error)
{
  const Settings *settings = node->settings;
  HttpLimits limits = { settings->connections_max, settings->header_max,
                        settings->body_max, settings->read_us, settings->idle_us };
  Ingress *ingress = g_new0 (Ingress, 1);

  ingress->node = node;
  ingress->exchanges = exchanges_create (node);
  ingress->start_queue = start_queue_create (node, on_request, ingress);
  ingress->splitter = splitter_create (node->rand);
  ingress->server = http_server_create (node->loop, settings->callers_address, &limits,
                                        on_request, ingress, error);
  if (ingress->server)
    return ingress;
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
ingress_close_connections (Ingress *ingress)
{
  http_server_set_closing (ingress->server);
}

void
ingress_drain (Ingress *ingress)
{
  ingress->draining = TRUE;
}

guint
ingress_cut (Ingress *ingress)
{
  return exchanges_cut (ingress->exchanges);
}

guint
ingress_active (const Ingress *ingress)
{
  return http_server_active (ingress->server);
}
