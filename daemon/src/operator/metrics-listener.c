#include "metrics-listener.h"

#include <string.h>

#include <io/http-server.h>
#include <core/http-status.h>

#include "status.h"

#define METRICS_PATH "/metrics"
#define CONNECTIONS_MAX 16u

struct MetricsListener
{
  Node *node;
  HttpServer *server;
};

static void
on_request (HttpRequest *request, gpointer data)
{
  const MetricsListener *listener = data;
  g_autoptr (GArray) headers = NULL;
  g_autofree char *text = NULL;

  if (strcmp (http_request_path (request), METRICS_PATH) != 0)
    {
      http_request_answer_json (request, HTTP_NOT_FOUND, "{\"error\":\"not found\"}");
      return;
    }
  headers = http_headers_new ();
  text = status_metrics_text (listener->node);
  http_headers_add (headers, "Content-Type", "text/plain; version=0.0.4");
  http_request_answer (request, HTTP_OK, headers, text, strlen (text));
}

MetricsListener *
metrics_listener_create (Node *node, GError **error)
{
  const Settings *settings = node->settings;
  HttpLimits limits = { CONNECTIONS_MAX, settings->header_max, 0, settings->read_us,
                        settings->idle_us };
  MetricsListener *listener = g_new0 (MetricsListener, 1);

  listener->node = node;
  listener->server = http_server_create (node->loop, settings->metrics_address, &limits,
                                         on_request, listener, error);
  if (listener->server)
    return listener;
  g_free (listener);
  return NULL;
}

void
metrics_listener_destroy (MetricsListener *listener)
{
  if (!listener)
    return;
  http_server_destroy (listener->server);
  g_free (listener);
}
