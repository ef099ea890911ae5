#include "status.h"

#include "config-sync.h"
#include "ingress.h"
#include "sidecar.h"

#define HTTP_OK 200

static void
add_string (JsonBuilder *builder, const char *name, const char *value)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_string_value (builder, value);
}

static void
add_int (JsonBuilder *builder, const char *name, gint64 value)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_int_value (builder, value);
}

static void
add_bool (JsonBuilder *builder, const char *name, gboolean value)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_boolean_value (builder, value);
}

/* One word for how a target stands, as this ingress sees it. */
static const char *
verdict_of (const Target *target, const TargetStatus *status)
{
  if (target->state == TARGET_LEAVING || status->report.draining)
    return "leaving";
  if (!status->alive)
    return "gone";
  if (!status->path_open)
    return "path-broken";
  if (status->ejected)
    return "ejected";
  if (status->report.severity > 0)
    return "sick-kept-for-floor";
  return "healthy";
}

static void
write_target (Node *node,
              JsonBuilder *builder,
              const Service *service,
              const Target *target)
{
  TargetStatus status = balancer_status (node->balancer, service, target);

  json_builder_begin_object (builder);
  add_string (builder, "name", target->name);
  add_string (builder, "vm", target->vm);
  add_string (builder, "hall", target->hall);
  add_string (builder, "verdict", verdict_of (target, &status));
  add_int (builder, "severity", status.report.severity);
  add_int (builder, "slots", target->slots);
  add_int (builder, "in_use", status.report.in_use);
  add_int (builder, "limit", status.report.limit);
  add_int (builder, "queued", status.report.queued);
  add_int (builder, "mean_latency_us", status.report.latency_us);
  add_int (builder, "failures_ppm", status.report.failures_ppm);
  json_builder_end_object (builder);
}

static void
write_services (Node *node, JsonBuilder *builder)
{
  const GPtrArray *services = snapshot_services (config_sync_snapshot (node->config));

  json_builder_begin_array (builder);
  for (guint i = 0; i < services->len; i++)
    {
      const Service *service = g_ptr_array_index (services, i);

      json_builder_begin_object (builder);
      add_string (builder, "name", service->name);
      add_string (builder, "tenant", service->tenant);
      add_int (builder, "floor_slots", service->floor_slots);
      add_int (builder, "slots", service_slots (service));
      add_int (builder, "slots_in_service",
               balancer_slots_in_service (node->balancer, service));
      json_builder_set_member_name (builder, "targets");
      json_builder_begin_array (builder);
      for (guint j = 0; j < service->targets->len; j++)
        write_target (node, builder, service, g_ptr_array_index (service->targets, j));
      json_builder_end_array (builder);
      json_builder_end_object (builder);
    }
  json_builder_end_array (builder);
}

static void
write_members (Node *node, JsonBuilder *builder)
{
  static const char *const names[] = { "alive", "suspect", "dead", "left" };
  GPtrArray *all = members_all (node->members);

  json_builder_begin_array (builder);
  for (guint i = 0; i < all->len; i++)
    {
      const Member *member = g_ptr_array_index (all, i);

      json_builder_begin_object (builder);
      add_string (builder, "node", member->node);
      add_string (builder, "hall", member->hall);
      add_string (builder, "address", member->address);
      add_string (builder, "status", names[member->status]);
      add_int (builder, "epoch", member->epoch);
      json_builder_end_object (builder);
    }
  json_builder_end_array (builder);
}

static void
answer (HttpRequest *request, JsonBuilder *builder)
{
  g_autoptr (JsonNode) root = json_builder_get_root (builder);
  g_autofree char *text = json_to_string (root, TRUE);

  http_request_answer_json (request, HTTP_OK, text);
}

void
status_answer (Node *node, HttpRequest *request)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  const Snapshot *snapshot = config_sync_snapshot (node->config);

  json_builder_begin_object (builder);
  add_string (builder, "node", node->settings->node);
  add_string (builder, "hall", node->settings->hall);
  add_string (builder, "version", SWITCHMILL_VERSION);
  add_int (builder, "generation", (gint64)snapshot_generation (snapshot));
  add_bool (builder, "ready", config_sync_ready (node->config));
  add_bool (builder, "stopping", node->stopping);
  add_int (builder, "routes", snapshot_route_count (snapshot));
  add_int (builder, "accounts", snapshot_account_count (snapshot));
  add_int (builder, "requests_in_flight", ingress_active (node->ingress));
  json_builder_set_member_name (builder, "services");
  write_services (node, builder);
  json_builder_set_member_name (builder, "own_targets");
  sidecar_write_status (node->sidecar, builder);
  json_builder_set_member_name (builder, "members");
  write_members (node, builder);
  json_builder_end_object (builder);
  answer (request, builder);
}

void
status_answer_events (Node *node, HttpRequest *request)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();

  events_write (node->events, builder);
  answer (request, builder);
}
