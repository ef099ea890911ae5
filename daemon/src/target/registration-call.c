#include "registration-call.h"

#include <string.h>

#include <core/clock.h>
#include <core/names.h>
#include <core/target-starts.h>

#define PATH_PREFIX "/v1/targets/"
#define HEARTBEAT_SUFFIX "/heartbeat"
#define LEAVE_SUFFIX "/leave"
#define SLOTS_MAX 100000
#define VERSION_LEN_MAX 16384u
#define STATE_LEN_MAX 64u
/* A target that stays cold for longer than this reports again long before. */
#define COLD_MAX_MS (3600 * 1000)

static const char *const state_names[] = { "serving", "leaving", NULL };

/* Returns the name between PATH_PREFIX and `suffix`, or NULL if the path has no valid
   one. The caller frees it. */
static char *
target_name_in (const char *path, const char *suffix)
{
  g_autofree char *name = NULL;

  if (!g_str_has_prefix (path, PATH_PREFIX) || !g_str_has_suffix (path, suffix) ||
      strlen (path) <= strlen (PATH_PREFIX) + strlen (suffix))
    return NULL;
  path += strlen (PATH_PREFIX);
  name = g_strndup (path, strlen (path) - strlen (suffix));
  return names_valid (name) ? g_steal_pointer (&name) : NULL;
}

RegistrationCall *
registration_call_create (const HttpRequest *request)
{
  const char *path = http_request_path (request);
  g_autofree char *alive = target_name_in (path, HEARTBEAT_SUFFIX);
  g_autofree char *leaves = target_name_in (path, LEAVE_SUFFIX);
  RegistrationCall *call;

  if (strcmp (http_request_method (request), "POST") != 0 || (!alive && !leaves))
    return NULL;
  call = g_new0 (RegistrationCall, 1);
  call->leave = alive == NULL;
  call->identifier = alive ? g_steal_pointer (&alive) : g_steal_pointer (&leaves);
  return call;
}

void
registration_call_destroy (RegistrationCall *call)
{
  if (!call)
    return;
  g_free (call->identifier);
  g_free (call->service);
  g_free (call->version);
  g_free (call);
}

/* Another writer's heartbeat may lack any member: it names no target to use. */
static void
read_heartbeat (RegistrationCall *call, JsonView *view)
{
  call->service = g_strdup (names_required (view, "service"));
  names_required_address (view, "address");
  json_view_required (view, "state", STATE_LEN_MAX);
  call->leaving = json_view_choice (view, "state", state_names, 0) == 1;
  call->version = g_strdup (json_view_string (view, "version", VERSION_LEN_MAX, ""));
  call->slots = (guint)json_view_required_int (view, "slots", 1, SLOTS_MAX);
  call->sequence = json_view_required_int (view, "sequence", 0, G_MAXINT64);
  call->cold_us = MS_US * json_view_clamped_int (view, "cold_ms", 0, COLD_MAX_MS, 0);
}

gboolean
registration_call_read_body (RegistrationCall *call,
                             const GByteArray *body,
                             JsonFaults *faults)
{
  g_autofree char *start = NULL;
  JsonView *view;

  if (call->leave && body->len == 0)
    return TRUE;
  view = json_view_parse ((const char *)body->data, body->len, faults);
  if (!view)
    return FALSE;
  call->born = json_view_int (view, "born", 0, G_MAXINT64, 0);
  if (!call->leave)
    read_heartbeat (call, view);
  start = target_start_name (call->identifier, call->born);
  if (!names_valid (start))
    json_faults_add (faults, json_view_path (view), "the name of this start is too long");
  json_view_release (view);
  return json_faults_count (faults) == 0;
}
