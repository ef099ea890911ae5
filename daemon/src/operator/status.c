#include "status.h"
#include <core/json-write.h>
#include <core/http-status.h>

#include "account-stats.h"
#include "config-sync.h"
#include "ingress.h"
#include "quarantine-node.h"
#include "sidecar.h"

/* Returns this node's verdict on a target, in one word. */
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
  json_write_string (builder, "name", target->name);
  json_write_string (builder, "vm", target->vm);
  json_write_string (builder, "hall", target->hall);
  json_write_string (builder, "verdict", verdict_of (target, &status));
  json_write_int (builder, "severity", status.report.severity);
  json_write_int (builder, "slots", target->slots);
  json_write_int (builder, "in_use", status.report.in_use);
  json_write_int (builder, "limit", status.report.limit);
  json_write_int (builder, "queued", status.report.queued);
  json_write_int (builder, "mean_latency_us", status.report.latency_us);
  json_write_int (builder, "failures_ppm", status.report.failures_ppm);
  if (status.report.rate_state == NAMED_RATE_IN_FORCE)
    json_write_double (builder, "named_rate_per_s", status.report.rate_per_s);
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
      json_write_string (builder, "name", service->name);
      json_write_string (builder, "tenant", service->tenant);
      json_write_int (builder, "floor_slots", service->floor_slots);
      json_write_int (builder, "slots", service_slots (service));
      json_write_int (builder, "slots_in_service",
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
      json_write_string (builder, "node", member->node);
      json_write_string (builder, "hall", member->hall);
      json_write_string (builder, "address", member->address);
      json_write_string (builder, "status", names[member->status]);
      json_write_int (builder, "epoch", member->epoch);
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

/* Data halls that the platform reports as evacuated, which receive no work. */
static void
write_halls (const Node *node, JsonBuilder *builder)
{
  const GPtrArray *halls = evacuations_halls (config_sync_evacuations (node->config));

  json_builder_set_member_name (builder, "halls_evacuated");
  json_builder_begin_array (builder);
  for (guint i = 0; i < halls->len; i++)
    json_builder_add_string_value (builder, g_ptr_array_index (halls, i));
  json_builder_end_array (builder);
}

void
status_answer (Node *node, HttpRequest *request)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  const Snapshot *snapshot = config_sync_snapshot (node->config);

  json_builder_begin_object (builder);
  json_write_string (builder, "node", node->settings->node);
  json_write_string (builder, "hall", node->settings->hall);
  json_write_string (builder, "version", SWITCHMILL_VERSION);
  json_write_int (builder, "generation", (gint64)snapshot_generation (snapshot));
  write_halls (node, builder);
  json_write_bool (builder, "ready", config_sync_ready (node->config));
  json_write_bool (builder, "stopping", node->stopping);
  json_write_int (builder, "routes", snapshot_route_count (snapshot));
  json_write_int (builder, "accounts", snapshot_account_count (snapshot));
  json_write_int (builder, "requests_in_flight", ingress_active (node->ingress));
  json_write_int (builder, "quarantined", quarantine_node_held (node->quarantine));
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

void
status_answer_quarantine (Node *node, HttpRequest *request)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();

  json_builder_begin_object (builder);
  json_write_string (builder, "node", node->settings->node);
  json_builder_set_member_name (builder, "requests");
  quarantine_node_write (node->quarantine, builder);
  json_builder_end_object (builder);
  answer (request, builder);
}

static void
write_account (const Node *node,
               const Account *account,
               gboolean keys,
               JsonBuilder *builder)
{
  json_builder_begin_object (builder);
  json_write_string (builder, "id", account->id);
  json_write_string (builder, "tenant", account->tenant);
  json_write_double (builder, "per_s", account->per_s);
  json_write_double (builder, "burst", account->burst);
  json_write_int (builder, "priority", account->priority);
  /* Counting scans all keys, which takes a millisecond at full size. */
  if (keys)
    json_write_int (
        builder, "keys",
        snapshot_account_key_count (config_sync_snapshot (node->config), account->id));
  account_stats_write (node->account_stats, account->id, builder);
  json_builder_end_object (builder);
}

static void
write_accounts (const Node *node,
                const GPtrArray *ids,
                gboolean keys,
                JsonBuilder *builder)
{
  const Snapshot *snapshot = config_sync_snapshot (node->config);

  json_builder_begin_object (builder);
  json_write_string (builder, "node", node->settings->node);
  json_write_int (builder, "generation", (gint64)snapshot_generation (snapshot));
  json_builder_set_member_name (builder, "accounts");
  json_builder_begin_array (builder);
  for (guint i = 0; i < ids->len; i++)
    {
      const Account *account = snapshot_account (snapshot, g_ptr_array_index (ids, i));

      if (account)
        write_account (node, account, keys, builder);
    }
  json_builder_end_array (builder);
  json_builder_end_object (builder);
}

void
status_answer_accounts (Node *node, HttpRequest *request)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  g_autoptr (GPtrArray) ids = g_ptr_array_new ();
  const char *id = http_request_argument (request, "id");

  if (id)
    g_ptr_array_add (ids, (gpointer)id);
  else
    account_stats_names (node->account_stats, ids);
  write_accounts (node, ids, id != NULL, builder);
  answer (request, builder);
}

char *
status_metrics_text (const Node *node)
{
  GString *text = metrics_text (node->metrics);

  traffic_append (node->traffic, text);
  account_stats_append (node->account_stats, text);
  return g_string_free (text, FALSE);
}
