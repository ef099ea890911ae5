#include "readiness.h"

#include <string.h>

#include <io/http-server.h>
#include <core/http-status.h>

#include "config-sync.h"
#include "registry.h"

#define READY_PATH "/ready"
#define CONNECTIONS_MAX 64u

struct Readiness
{
  Node *node;
  HttpServer *server;
};

/*
 * A node is stopped soon after its target has begun to leave. Callers that use another
 * node from then on have no requests here that hang until the stop aborts them.
 */
static gboolean
is_ready (const Node *node)
{
  return !node->stopping && !registry_is_leaving (node->registry) &&
         config_sync_ready (node->config);
}

static void
on_request (HttpRequest *request, gpointer data)
{
  const Readiness *readiness = data;

  if (strcmp (http_request_path (request), READY_PATH) != 0)
    http_request_answer_json (request, HTTP_NOT_FOUND, "{\"error\":\"not found\"}");
  else if (!is_ready (readiness->node))
    http_request_answer_json (request, HTTP_UNAVAILABLE, "{\"ready\":false}");
  else
    http_request_answer_json (request, HTTP_OK, "{\"ready\":true}");
}

Readiness *
readiness_create (Node *node, GError **error)
{
  const Settings *settings = node->settings;
  HttpLimits limits = { CONNECTIONS_MAX, settings->header_max, 0, settings->read_us,
                        settings->idle_us };
  Readiness *readiness = g_new0 (Readiness, 1);

  readiness->node = node;
  readiness->server = http_server_create (node->loop, settings->readiness_address,
                                          &limits, on_request, readiness, error);
  if (readiness->server)
    return readiness;
  g_free (readiness);
  return NULL;
}

void
readiness_destroy (Readiness *readiness)
{
  if (!readiness)
    return;
  http_server_destroy (readiness->server);
  g_free (readiness);
}
