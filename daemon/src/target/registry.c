#include "registry.h"

#include <string.h>

#include <core/names.h>
#include <core/target-starts.h>
#include <io/http-server.h>
#include <core/http-status.h>

#include "adapter.h"
#include "config-sync.h"
#include "leave-acks.h"
#include "log.h"
#include "quarantine-node.h"
#include "registration-call.h"
#include "sidecar.h"
#include "target-departures.h"

/* A heartbeat has a few hundred bytes, and its answer must stay under 4 KB. */
#define BODY_MAX (16u * 1024)
#define CONNECTIONS_MAX 64u
/* How long calls wait after the node's start for others to tell it; targets take a call
   that is not answered within a second for lost. */
#define TOLD_WAIT_US (500 * MS_US)
struct Registry
{
  Node *node;
  HttpServer *server;
  TargetStarts *starts;
  char *service; /* of the current start; NULL before the first heartbeat */
  char *version; /* of the software, "" if not reported; likewise */
  guint slots;
  gboolean leaving;
  gboolean cold;    /* as last reported */
  gboolean changed; /* the registration has changed */
  LeaveAcks *acks;
  gboolean told[REGISTRY_SOURCES];
  LoopTimer *told_timer;
  GPtrArray *waiting; /* of HttpRequest, until all sources have told; else NULL */
};

/* Applies the registration on this node, and marks it for publication to the others. */
static void
publish (Registry *registry)
{
  Node *node = registry->node;
  const char *target = target_starts_current (registry->starts);
  Registration registration = { target, registry->service, node->settings->target_address,
                                registry->slots, registry->leaving };

  registry->changed = TRUE;
  config_sync_set_registration (node->config, node->settings->node, node->settings->hall,
                                &registration);
  events_add (node->events, registry->leaving ? "target-leaves" : "target-registered",
              target, registry->service);
}

static void
apply_cold (Registry *registry, const char *target, gint64 cold_us)
{
  gboolean cold = cold_us > 0;

  sidecar_note_cold (registry->node->sidecar, target, cold_us);
  if (cold != registry->cold)
    events_add (registry->node->events, cold ? "target-cold" : "target-warm", target,
                NULL);
  registry->cold = cold;
}

/* Returns whether a start on this VM has announced its end, to this node or before. */
static gboolean
has_departed (const Registry *registry, const char *start)
{
  const Node *node = registry->node;

  return departures_contains (node->departures, node->settings->node, start);
}

static void
apply_registration (Registry *registry,
                    TargetStartsResult answer,
                    const char *start,
                    const RegistrationCall *heartbeat)
{
  /* A target that has announced that it leaves does not return under the same name. */
  if (answer == TARGET_STARTS_CURRENT &&
      (registry->leaving || registry->leaving == heartbeat->leaving) &&
      strcmp (registry->service, heartbeat->service) == 0 &&
      registry->slots == heartbeat->slots)
    return;
  g_free (registry->service);
  registry->service = g_strdup (heartbeat->service);
  g_free (registry->version);
  registry->version = g_strdup (heartbeat->version);
  registry->slots = heartbeat->slots;
  registry->leaving = heartbeat->leaving || has_departed (registry, start);
  publish (registry);
  quarantine_node_note_version (registry->node->quarantine, registry->service,
                                registry->version);
}

/* Returns whether the current start has this identifier. */
static gboolean
is_current (const Registry *registry, const char *identifier)
{
  const char *current = target_starts_current (registry->starts);
  g_autofree char *held = current ? target_start_identifier (current) : NULL;

  return g_strcmp0 (held, identifier) == 0;
}

/* Returns the name of the start that sends a heartbeat. Without a start time it is the
   current one if that has the identifier. The caller frees the name. */
static char *
heartbeat_start (const Registry *registry, const char *identifier, gint64 born)
{
  if (born == 0 && is_current (registry, identifier))
    return g_strdup (target_starts_current (registry->starts));
  return target_start_name (identifier, born);
}

/*
 * Returns the name of the start that announces its end. A call without a start time ends
 * the current start if that has the identifier. A node that has not heard of one since
 * its own start ends all starts up to now: start times are of the same machine. Stores in
 * `*named_by` where the name comes from. The caller frees it.
 */
static char *
ending_start (const Registry *registry,
              const char *identifier,
              gint64 born,
              const char **named_by)
{
  char *name;

  *named_by = born > 0 ? "call" : "current";
  if (born > 0 || is_current (registry, identifier))
    return heartbeat_start (registry, identifier, born);
  *named_by = "time";
  name = target_start_name (identifier, clock_unix_ms (registry->node->clock));
  if (names_valid (name))
    return name;
  g_free (name);
  *named_by = "identifier";
  return g_strdup (identifier);
}

/* Records the announced end of a start, and acknowledges it once others hold it. */
static void
apply_end (Registry *registry,
           HttpRequest *request,
           const char *start,
           const char *named_by)
{
  if (!has_departed (registry, start))
    log_event (G_LOG_LEVEL_INFO, "leave-announced", "SUBJECT", start, "NAMED_BY",
               named_by, NULL);
  target_starts_note_end (registry->starts, start);
  target_departures_note (registry->node, registry->node->settings->node, start);
  sidecar_publish (registry->node->sidecar);
  leave_acks_add (registry->acks, request, start);
}

static void
apply_heartbeat (Registry *registry, const RegistrationCall *heartbeat)
{
  g_autofree char *name =
      heartbeat_start (registry, heartbeat->identifier, heartbeat->born);
  const char *current = target_starts_current (registry->starts);
  TargetStartsResult answer;

  /* A start that is over does not replace another one. */
  if (current && strcmp (current, name) != 0 && has_departed (registry, name))
    return;
  answer = target_starts_heartbeat (registry->starts, name, heartbeat->sequence);
  if (answer == TARGET_STARTS_STALE)
    return;
  apply_registration (registry, answer, name, heartbeat);
  apply_cold (registry, name, heartbeat->cold_us);
}

void
registry_note_departure (Registry *registry, const char *start)
{
  const char *current;

  if (!registry)
    return;
  current = target_starts_current (registry->starts);
  registry->changed = TRUE;
  if (!current || registry->leaving || !target_start_is_up_to (current, start))
    return;
  registry->leaving = TRUE;
  publish (registry);
}

static void
apply (Registry *registry, HttpRequest *request, const RegistrationCall *call)
{
  g_autofree char *ending = NULL;
  const char *named_by;

  /* A heartbeat may change which start is current. */
  if (call->leave || call->leaving)
    ending = ending_start (registry, call->identifier, call->born, &named_by);
  if (!call->leave)
    apply_heartbeat (registry, call);
  /* An announced end is final, and so also counts in a heartbeat that comes late. */
  if (ending)
    apply_end (registry, request, ending, named_by);
  else
    http_request_answer_json (request, HTTP_OK, "{}");
}

/* Returns whether anybody has told which targets have left. */
static gboolean
is_told (const Registry *registry)
{
  return registry->told[REGISTRY_PEERS] || registry->told[REGISTRY_STORE];
}

static void
handle (Registry *registry, HttpRequest *request)
{
  g_autoptr (RegistrationCall) call = registration_call_create (request);
  JsonFaults *faults = json_faults_create ();

  if (!call)
    {
      http_request_answer_json (request, HTTP_NOT_FOUND, "{\"error\":\"not found\"}");
    }
  else if (!call->leave && !is_told (registry))
    {
      http_request_answer_json (request, HTTP_UNAVAILABLE, "{\"error\":\"starting\"}");
    }
  else if (registration_call_read_body (call, http_request_body (request), faults))
    {
      apply (registry, request, call);
    }
  else
    {
      log_event (G_LOG_LEVEL_WARNING, call->leave ? "leave-bad" : "heartbeat-bad",
                 "SUBJECT", call->identifier, "DETAIL", json_faults_get (faults, 0),
                 NULL);
      http_request_answer_json (request, HTTP_BAD_REQUEST, "{\"error\":\"not valid\"}");
    }
  json_faults_destroy (faults);
}

static void
on_request (HttpRequest *request, gpointer data)
{
  Registry *registry = data;

  if (registry->waiting)
    g_ptr_array_add (registry->waiting, http_request_ref (request));
  else
    handle (registry, request);
}

static void
handle_waiting (gpointer data)
{
  Registry *registry = data;
  g_autoptr (GPtrArray) waiting = g_steal_pointer (&registry->waiting);

  loop_timer_stop (registry->told_timer);
  for (guint i = 0; i < waiting->len; i++)
    handle (registry, g_ptr_array_index (waiting, i));
}

gboolean
registry_is_told (const Registry *registry, RegistrySource source)
{
  return !registry || registry->told[source];
}

void
registry_note_told (Registry *registry, RegistrySource source)
{
  if (!registry)
    return;
  registry->told[source] = TRUE;
  for (guint i = 0; i < REGISTRY_SOURCES; i++)
    if (!registry->told[i])
      return;
  if (registry->waiting)
    handle_waiting (registry);
}

/* In a fleet that starts for the first time nobody knows anything. */
static void
wait_until_told (Registry *registry)
{
  gboolean first = registry->node->settings->first_start;

  registry->told[REGISTRY_PEERS] = first;
  registry->told[REGISTRY_STORE] = first || !registry->node->adapter->save_departures;
  if (first)
    return;
  registry->waiting = g_ptr_array_new_with_free_func ((GDestroyNotify)http_request_unref);
  loop_timer_start (registry->told_timer, TOLD_WAIT_US);
}

Registry *
registry_create (Node *node, GError **error)
{
  const Settings *settings = node->settings;
  HttpLimits limits = { CONNECTIONS_MAX, settings->header_max, BODY_MAX,
                        settings->read_us, settings->idle_us };
  Registry *registry = g_new0 (Registry, 1);

  registry->node = node;
  registry->starts = target_starts_create (node->clock);
  registry->server = http_server_create (node->loop, settings->registration_address,
                                         &limits, on_request, registry, error);
  if (registry->server)
    {
      registry->told_timer = loop_timer_create (node->loop, handle_waiting, registry);
      registry->acks = leave_acks_create (node);
      wait_until_told (registry);
      return registry;
    }
  target_starts_destroy (registry->starts);
  g_free (registry);
  return NULL;
}

void
registry_destroy (Registry *registry)
{
  if (!registry)
    return;
  loop_timer_destroy (registry->told_timer);
  g_clear_pointer (&registry->waiting, g_ptr_array_unref);
  leave_acks_destroy (registry->acks);
  http_server_destroy (registry->server);
  target_starts_destroy (registry->starts);
  g_free (registry->service);
  g_free (registry->version);
  g_free (registry);
}

gboolean
registry_take_changed (Registry *registry)
{
  gboolean changed = registry && registry->changed;

  if (registry)
    registry->changed = FALSE;
  return changed;
}

gboolean
registry_is_leaving (const Registry *registry)
{
  return registry && registry->leaving;
}

const char *
registry_version (const Registry *registry)
{
  return registry ? registry->version : NULL;
}

guint
registry_fill (const Registry *registry, sw_registration *registration)
{
  if (!registry || !registry->service)
    return 0;
  registration->target = (char *)target_starts_current (registry->starts);
  registration->service = registry->service;
  registration->slots = registry->slots;
  registration->leaving = registry->leaving;
  return 1;
}
