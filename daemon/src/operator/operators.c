#include "operators.h"

#include <string.h>

#include <core/names.h>
#include <io/http-server.h>
#include <core/json-write.h>
#include <core/http-status.h>

#include "config-sync.h"
#include "confirm.h"
#include "log.h"
#include "quarantine-node.h"
#include "status.h"

#define CONNECTIONS_MAX 64u
#define BODY_MAX (16u * 1024 * 1024)

struct Operators
{
  Node *node;
  HttpServer *server;
};

typedef struct
{
  Operators *operators;
  HttpRequest *request;
  char *operator_name;
  char *plan;
} Confirmation;

static void
answer_object (HttpRequest *request, guint status, JsonBuilder *builder)
{
  g_autoptr (JsonNode) root = json_builder_get_root (builder);
  g_autofree char *text = json_to_string (root, TRUE);
  g_autofree char *line = g_strconcat (text, "\n", NULL);

  http_request_answer_json (request, status, line);
}

static void
answer_faults (HttpRequest *request, const char *what, const JsonFaults *faults)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  g_autofree char *error = g_strdup_printf ("the %s is not valid", what);

  json_builder_begin_object (builder);
  json_write_string (builder, "error", error);
  json_builder_set_member_name (builder, "faults");
  json_builder_begin_array (builder);
  for (guint i = 0; i < json_faults_count (faults); i++)
    json_builder_add_string_value (builder, json_faults_get (faults, i));
  json_builder_end_array (builder);
  json_builder_end_object (builder);
  answer_object (request, HTTP_BAD_REQUEST, builder);
}

static void
answer_error (HttpRequest *request, guint status, const char *error, const char *advice)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();

  json_builder_begin_object (builder);
  json_write_string (builder, "error", error);
  json_write_string (builder, "advice", advice);
  json_builder_end_object (builder);
  answer_object (request, status, builder);
}

/* A target counts as healthy unless this node knows that it is sick or not alive. */
static gboolean
is_healthy (const char *service_name, const char *name, gpointer data)
{
  Node *node = data;
  const Service *service =
      snapshot_service (config_sync_snapshot (node->config), service_name);
  const Target *target = service ? service_target (service, name) : NULL;
  TargetStatus status;

  if (!target)
    return TRUE;
  status = balancer_status (node->balancer, service, target);
  return status.alive && status.report.severity == 0;
}

static Plan *
make_plan (Operators *operators, const char *intent, gssize len, HttpRequest *request)
{
  Node *node = operators->node;
  JsonFaults *faults = json_faults_create ();
  Plan *plan = plan_create (config_sync_snapshot (node->config), intent, len, is_healthy,
                            node, faults);

  if (!plan)
    answer_faults (request, "intent", faults);
  json_faults_destroy (faults);
  return plan;
}

static void
on_plan (Operators *operators, HttpRequest *request)
{
  const GByteArray *body = http_request_body (request);
  Plan *plan = make_plan (operators, (const char *)body->data, body->len, request);
  g_autofree char *text = NULL;

  if (!plan)
    return;
  text = plan_text (plan);
  http_request_answer_json (request, HTTP_OK, text);
  plan_destroy (plan);
}

static void
answer_accepted (HttpRequest *request, const char *plan, guint64 generation)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();

  json_builder_begin_object (builder);
  json_write_string (builder, "accepted", plan);
  json_write_int (builder, "generation", (gint64)generation);
  json_builder_end_object (builder);
  answer_object (request, HTTP_OK, builder);
}

static void
on_confirmed (ConfirmOutcome outcome, guint64 generation, gpointer data)
{
  Confirmation *confirmation = data;
  HttpRequest *request = confirmation->request;

  switch (outcome)
    {
    case CONFIRM_ACCEPTED:
      answer_accepted (request, confirmation->plan, generation);
      events_add (confirmation->operators->node->events, "plan-accepted",
                  confirmation->plan, confirmation->operator_name);
      break;
    case CONFIRM_STALE:
      answer_error (request, HTTP_CONFLICT,
                    "the configuration has changed since the plan was made",
                    "nothing was changed; make a new plan");
      break;
    default:
      answer_error (request, HTTP_UNAVAILABLE, "the platform does not answer",
                    "the plan may have been accepted; it is safe to confirm it again");
      break;
    }
  http_request_unref (request);
  g_free (confirmation->operator_name);
  g_free (confirmation->plan);
  g_free (confirmation);
}

/* The members of a confirmation's body. */
typedef struct
{
  char *intent;
  gint64 base_generation;
  char *id;
  gboolean force;
} ConfirmBody;

static gboolean
read_confirm_body (const GByteArray *body, ConfirmBody *words, JsonFaults *faults)
{
  JsonView *view = json_view_parse ((const char *)body->data, body->len, faults);

  if (!view)
    return FALSE;
  words->intent = g_strdup (json_view_text (view, "intent"));
  words->base_generation = json_view_int (view, "base_generation", 0, G_MAXINT64, -1);
  words->id = g_strdup (json_view_required (view, "id", NAME_MAX_LEN + 1));
  words->force = json_view_bool (view, "force", FALSE);
  if (words->base_generation < 0)
    json_faults_add (faults, "$.base_generation", "is missing");
  json_view_close (view);
  return json_faults_count (faults) == 0;
}

static void
handle_confirm_body (Operators *operators,
                     HttpRequest *request,
                     const ConfirmBody *words,
                     const char *name)
{
  const ConfigHead *head = snapshot_head (config_sync_snapshot (operators->node->config));
  Confirmation *confirmation;
  Plan *plan;

  /* A confirmation repeated after it was accepted is answered as accepted again. */
  if (config_head_has_plan (head, words->id))
    {
      answer_accepted (request, words->id, head->generation);
      return;
    }
  plan = make_plan (operators, words->intent, -1, request);
  if (!plan)
    return;
  if (plan_base_generation (plan) != (guint64)words->base_generation ||
      strcmp (plan_id (plan), words->id) != 0)
    {
      plan_destroy (plan);
      answer_error (request, HTTP_CONFLICT,
                    "the plan does not match the current configuration",
                    "nothing was changed; make a new plan");
      return;
    }
  if (plan_is_refused (plan) && !words->force)
    {
      plan_destroy (plan);
      answer_error (request, HTTP_CONFLICT,
                    "the plan takes healthy capacity below a floor",
                    "nothing was changed; change the plan, or confirm it with force");
      return;
    }
  confirmation = g_new0 (Confirmation, 1);
  confirmation->operators = operators;
  confirmation->request = http_request_ref (request);
  confirmation->operator_name = g_strdup (name);
  confirmation->plan = g_strdup (words->id);
  confirm_start (operators->node, plan, on_confirmed, confirmation);
}

static void
on_confirm (Operators *operators, HttpRequest *request, const char *name)
{
  JsonFaults *faults = json_faults_create ();
  ConfirmBody words = { 0 };

  if (read_confirm_body (http_request_body (request), &words, faults))
    handle_confirm_body (operators, request, &words, name);
  else
    answer_faults (request, "intent", faults);
  json_faults_destroy (faults);
  g_free (words.intent);
  g_free (words.id);
}

static void
on_metrics (Operators *operators, HttpRequest *request)
{
  g_autofree char *text = status_metrics_text (operators->node);
  g_autoptr (GArray) headers = http_headers_new ();

  http_headers_add (headers, "Content-Type", "text/plain; version=0.0.4");
  http_request_answer (request, HTTP_OK, headers, text, strlen (text));
}

/* Releases a request from quarantine, named by its first digits: {"request": DIGITS}. */
static void
on_lift (Operators *operators, HttpRequest *request, const char *name)
{
  const GByteArray *body = http_request_body (request);
  JsonFaults *faults = json_faults_create ();
  JsonView *view = json_view_parse ((const char *)body->data, body->len, faults);
  g_autofree char *digits =
      view ? g_strdup (json_view_required (view, "request", FINGERPRINT_DIGITS)) : NULL;

  if (view)
    json_view_release (view);
  if (json_faults_count (faults) > 0)
    answer_faults (request, "body", faults);
  else if (!quarantine_node_lift (operators->node->quarantine, digits))
    answer_error (
        request, HTTP_NOT_FOUND, "no request, or more than one, matches these digits",
        "see 'switchmill quarantine'; entries of other nodes arrive within moments");
  else
    {
      events_add (operators->node->events, "quarantine-lifted", digits, name);
      http_request_answer_json (request, HTTP_OK, "{}\n");
    }
  json_faults_destroy (faults);
}

static const char *
authenticate (Operators *operators, HttpRequest *request)
{
  const char *header = http_request_header (request, "Authorization");

  if (!header || !g_str_has_prefix (header, "Bearer "))
    return NULL;
  return settings_operator (operators->node->settings, header + strlen ("Bearer "));
}

static void
on_request (HttpRequest *request, gpointer data)
{
  Operators *operators = data;
  const char *name = authenticate (operators, request);
  const char *path = http_request_path (request);
  gboolean get = strcmp (http_request_method (request), "GET") == 0;
  gboolean post = strcmp (http_request_method (request), "POST") == 0;

  if (!name)
    answer_error (request, HTTP_UNAUTHORIZED, "the operator token is missing or unknown",
                  "send the header 'Authorization: Bearer TOKEN'");
  else if (post && strcmp (path, "/v1/plan") == 0)
    on_plan (operators, request);
  else if (post && strcmp (path, "/v1/confirm") == 0)
    on_confirm (operators, request, name);
  else if (get && strcmp (path, "/v1/status") == 0)
    status_answer (operators->node, request);
  else if (get && strcmp (path, "/v1/events") == 0)
    status_answer_events (operators->node, request);
  else if (get && strcmp (path, "/v1/quarantine") == 0)
    status_answer_quarantine (operators->node, request);
  else if (post && strcmp (path, "/v1/quarantine/lift") == 0)
    on_lift (operators, request, name);
  else if (get && strcmp (path, "/v1/accounts") == 0)
    status_answer_accounts (operators->node, request);
  else if (get && strcmp (path, "/metrics") == 0)
    on_metrics (operators, request);
  else
    answer_error (request, HTTP_NOT_FOUND, "there is no such endpoint",
                  "see the documentation for operators");
}

Operators *
operators_create (Node *node, GError **error)
{
  const Settings *settings = node->settings;
  HttpLimits limits = { CONNECTIONS_MAX, settings->header_max, BODY_MAX,
                        settings->read_us, settings->idle_us };
  Operators *operators = g_new0 (Operators, 1);

  operators->node = node;
  operators->server = http_server_create (node->loop, settings->operators_address,
                                          &limits, on_request, operators, error);
  if (operators->server)
    return operators;
  g_free (operators);
  return NULL;
}

void
operators_destroy (Operators *operators)
{
  if (!operators)
    return;
  http_server_destroy (operators->server);
  g_free (operators);
}
