#include "ingress.h"

#include <string.h>

#include <io/http-server.h>

#include "answer.h"
#include "config-sync.h"
#include "exchange.h"

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
  Exchanges *exchanges;
  gboolean draining;
};

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

/* Runs the request, or gives the ticket out that it asks for. */
static void
begin (Ingress *ingress, ExchangeOrder *order)
{
  const char *text = http_request_header (order->request, TICKET_HEADER);

  order->budget = budget_of (ingress, order->service);
  order->span_us = deadline_span (order->request, order->route);
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
  answer_error (order->request, HTTP_BAD_REQUEST, "this is no ticket for this service");
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
  ExchangeOrder order = { .request = request, .snapshot = snapshot };

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
  order.route = route;
  order.service = service;
  begin (ingress, &order);
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
  ingress->exchanges = exchanges_create (node);
  ingress->server = http_server_create (node->loop, settings->callers_address, &limits,
                                        on_request, ingress, error);
  if (ingress->server)
    return ingress;
  exchanges_destroy (ingress->exchanges);
  g_hash_table_unref (ingress->budgets);
  g_free (ingress);
  return NULL;
}

void
ingress_destroy (Ingress *ingress)
{
  if (!ingress)
    return;
  http_server_destroy (ingress->server);
  exchanges_destroy (ingress->exchanges);
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
  return exchanges_cut (ingress->exchanges);
}

guint
ingress_active (const Ingress *ingress)
{
  return http_server_active (ingress->server);
}
