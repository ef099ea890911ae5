#include "fleet.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <curl/curl.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <json-glib/json-glib.h>
#include <signal.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#define LINGER_DEFAULT_MS 1500u
#define POLL_US 20000
/* A wait that never ends is a failure; how long it takes is not measured here. */
#define WAIT_TRIES 3000

typedef struct
{
  const char *kind;
  guint base;
} Ports;

static const Ports ports[] = { { "callers", 8000 }, { "operators", 8100 },
                               { "nodes", 8200 },   { "targets", 8300 },
                               { "relays", 8400 },  { "controls", 8500 },
                               { "ready", 8600 },   { "registrations", 8700 },
                               { "platform", 8900 } };

struct Fleet
{
  char *dir;
  guint nodes;
  gboolean objects; /* the users' platform */
  guint linger_ms;  /* of nodes there */
  gboolean keep_files;
  GPid platform;
  GPid targets[FLEET_NODES_MAX];
  GPid node_pids[FLEET_NODES_MAX];
  GPid relays[FLEET_NODES_MAX];
};

/* The fleet of the running test, for the teardown of one that failed half way. */
static Fleet *current;

/* Fleets beside each other need ports of their own. */
static guint
port_offset (void)
{
  const char *text = g_getenv ("FLEET_PORT_OFFSET");

  return text ? (guint)g_ascii_strtoull (text, NULL, 10) : 0;
}

char *
fleet_address (const char *kind, guint i)
{
  for (gsize k = 0; k < G_N_ELEMENTS (ports); k++)
    if (strcmp (ports[k].kind, kind) == 0)
      return g_strdup_printf ("127.0.0.1:%u", ports[k].base + port_offset () + i);
  return NULL;
}

static char *
program (const char *name)
{
  const char *build = g_getenv ("SWITCHMILL_BUILD");

  return g_build_filename (build ? build : "build", name, NULL);
}

char *
fleet_path (Fleet *fleet, const char *name)
{
  return g_build_filename (fleet->dir, name, NULL);
}

/* A test that ends in any way, by a signal too, takes its processes with it. */
static void
end_with_the_test (gpointer data)
{
  prctl (PR_SET_PDEATHSIG, SIGKILL);
}

static GPid
spawn (Fleet *fleet, const char *log_name, char **words)
{
  g_autofree char *log = fleet_path (fleet, log_name);
  g_autoptr (GError) error = NULL;
  int fd = g_open (log, O_WRONLY | O_CREAT | O_APPEND, 0600);
  GPid pid = 0;

  if (!g_spawn_async_with_fds (NULL, words, NULL, G_SPAWN_DO_NOT_REAP_CHILD,
                               end_with_the_test, NULL, &pid, -1, fd, fd, &error))
    fail_msg ("%s", error->message);
  close (fd);
  return pid;
}

Fleet *
fleet_create (guint nodes)
{
  Fleet *fleet = g_new0 (Fleet, 1);

  curl_global_init (CURL_GLOBAL_DEFAULT);
  fleet->dir = g_dir_make_tmp ("switchmill-test-XXXXXX", NULL);
  fleet->nodes = nodes;
  current = fleet;
  return fleet;
}

static void
end (GPid *pid)
{
  if (!*pid)
    return;
  kill (*pid, SIGKILL);
  waitpid (*pid, NULL, 0);
  *pid = 0;
}

void
fleet_destroy (Fleet *fleet)
{
  g_autoptr (GDir) dir = g_dir_open (fleet->dir, 0, NULL);
  const char *name;

  for (guint i = 0; i < FLEET_NODES_MAX; i++)
    {
      end (&fleet->node_pids[i]);
      end (&fleet->targets[i]);
      end (&fleet->relays[i]);
    }
  end (&fleet->platform);
  while (!fleet->keep_files && (name = g_dir_read_name (dir)))
    {
      g_autofree char *path = fleet_path (fleet, name);

      g_unlink (path);
    }
  current = NULL;
  if (!fleet->keep_files)
    g_rmdir (fleet->dir);
  g_free (fleet->dir);
  g_free (fleet);
}

int
fleet_teardown (void **state)
{
  if (current)
    fleet_destroy (current);
  return 0;
}

void
fleet_use_objects (Fleet *fleet)
{
  fleet->objects = TRUE;
  fleet->linger_ms = LINGER_DEFAULT_MS;
}

void
fleet_set_linger (Fleet *fleet, guint linger_ms)
{
  fleet->linger_ms = linger_ms;
}

static void
control (const char *address, const char *query)
{
  g_autofree char *path = g_strconcat ("/_control?", query, NULL);
  g_autoptr (Answer) answer = fleet_http (address, "GET", path, NULL, NULL);

  assert_int_equal (answer->status, 200);
}

void
fleet_control_target (Fleet *fleet, guint i, const char *query)
{
  g_autofree char *address = fleet_address ("targets", i);

  control (address, query);
}

void
fleet_control_platform (Fleet *fleet, const char *query)
{
  g_autofree char *address = fleet_address ("platform", 0);

  control (address, query);
}

void
fleet_control_relay (Fleet *fleet, guint i, const char *query)
{
  g_autofree char *address = fleet_address ("controls", i);

  control (address, query);
}

guint
fleet_runs (Fleet *fleet, guint target, const char *id)
{
  g_autofree char *address = fleet_address ("targets", target);
  g_autofree char *path = g_strconcat ("/_runs?id=", id, NULL);
  g_autoptr (Answer) answer = fleet_http (address, "GET", path, NULL, NULL);

  return (guint)g_ascii_strtoull (answer->body, NULL, 10);
}

char *
fleet_ids (Fleet *fleet, guint target)
{
  g_autofree char *address = fleet_address ("targets", target);
  g_autoptr (Answer) answer = fleet_http (address, "GET", "/_ids", NULL, NULL);

  return g_steal_pointer (&answer->body);
}

static void
await_port (const char *address, const char *path)
{
  for (guint i = 0; i < WAIT_TRIES; i++)
    {
      g_autoptr (Answer) answer = fleet_http (address, "GET", path, NULL, NULL);

      if (answer->status)
        return;
      g_usleep (POLL_US);
    }
  fail_msg ("nothing listens on %s", address);
}

void
fleet_start_platform (Fleet *fleet)
{
  g_autofree char *path =
      program (fleet->objects ? "standins/standin-store" : "standins/standin-platform");
  g_autofree char *address = fleet_address ("platform", 0);
  char *words[] = { path, address, NULL };

  fleet->platform = spawn (fleet, "log", words);
  await_port (address, "/_stats");
}

void
fleet_start_target (Fleet *fleet, guint i, guint slots, guint latency_ms)
{
  g_autofree char *path = program ("standins/standin-target");
  g_autofree char *address = fleet_address ("targets", i);
  g_autofree char *slot_text = g_strdup_printf ("%u", slots);
  g_autofree char *latency = g_strdup_printf ("%u", latency_ms);
  g_autofree char *seed = g_strdup_printf ("%u", i + 1);
  g_autofree char *name = g_strdup_printf ("runs-%u", i);
  g_autofree char *runs = fleet_path (fleet, name);
  char *words[] = { path, address, slot_text, latency, seed, runs, NULL };

  fleet->targets[i] = spawn (fleet, "log", words);
  await_port (address, "/_runs");
}

void
fleet_start_relay (Fleet *fleet, guint i)
{
  g_autofree char *path = program ("standins/standin-relay");
  g_autofree char *listen = fleet_address ("relays", i);
  g_autofree char *to = fleet_address ("nodes", i);
  g_autofree char *controls = fleet_address ("controls", i);
  char *words[] = { path, listen, to, controls, NULL };

  fleet->relays[i] = spawn (fleet, "log", words);
  await_port (controls, "/_control");
}

static void
write_settings (Fleet *fleet, guint i, const char *path)
{
  g_autofree char *callers = fleet_address ("callers", i);
  g_autofree char *operators = fleet_address ("operators", i);
  g_autofree char *nodes = fleet_address ("nodes", i);
  g_autofree char *platform = fleet_address ("platform", 0);
  g_autofree char *seed0 = fleet_address (fleet->relays[0] ? "relays" : "nodes", 0);
  g_autofree char *seed1 = fleet_address (fleet->relays[1] ? "relays" : "nodes", 1);
  g_autofree char *advertise = fleet_address (fleet->relays[i] ? "relays" : "nodes", i);
  g_autofree char *text = g_strdup_printf (
      "{\"node\":\"vm-%u\",\"hall\":\"hall-%u\",\"listen\":{\"callers\":\"%s\","
      "\"operators\":\"%s\",\"nodes\":\"%s\"},\"advertise\":\"%s\",\"platform\":\"%s\","
      "\"fleet_token\":\"process-test-fleet\",\"peers\":[\"%s\",\"%s\"],\"log\":"
      "\"debug\","
      "\"limits\":{\"read_ms\":1500,\"body_bytes\":2000000},"
      "\"operators\":[{\"name\":\"tester\",\"token\":\"" FLEET_TOKEN "\"}]}",
      i, i % 3, callers, operators, nodes, advertise, platform, seed0, seed1);

  g_file_set_contents (path, text, -1, NULL);
}

/* What deploy/node.json is filled to on the users' platform, with shorter times. */
static void
write_objects_settings (Fleet *fleet, guint i, const char *path)
{
  g_autofree char *callers = fleet_address ("callers", i);
  g_autofree char *operators = fleet_address ("operators", i);
  g_autofree char *nodes = fleet_address ("nodes", i);
  g_autofree char *ready = fleet_address ("ready", i);
  g_autofree char *registrations = fleet_address ("registrations", i);
  g_autofree char *target = fleet_address ("targets", i);
  g_autofree char *platform = fleet_address ("platform", 0);
  g_autofree char *advertise = fleet_address (fleet->relays[i] ? "relays" : "nodes", i);
  g_autofree char *text = g_strdup_printf (
      "{\"node\":\"vm-%u\",\"hall\":\"hall-%u\",\"listen\":{\"callers\":\"%s\","
      "\"operators\":\"%s\",\"nodes\":\"%s\",\"readiness\":\"%s\","
      "\"registration\":\"%s\"},\"advertise\":\"%s\",\"platform\":\"%s\",\"platform_"
      "kind\":\"objects\","
      "\"target\":{\"address\":\"%s\",\"service\":\"pay\"},"
      "\"fleet_token\":\"process-test-fleet\",\"log\":\"debug\","
      "\"service_defaults\":{\"retry_ratio\":0.2,\"retry_burst\":200,\"floor_share\":0.7,"
      "\"detection\":\"strict\",\"queue\":16},"
      "\"limits\":{\"linger_ms\":%u,\"grace_s\":%u},"
      "\"operators\":[{\"name\":\"tester\",\"token\":\"" FLEET_TOKEN "\"}]}",
      i, i % 3, callers, operators, nodes, ready, registrations, advertise, platform,
      target, fleet->linger_ms, 4 * fleet->linger_ms / 1000);

  g_file_set_contents (path, text, -1, NULL);
}

void
fleet_start_node (Fleet *fleet, guint i)
{
  g_autofree char *path = program ("daemon/switchmilld");
  g_autofree char *name = g_strdup_printf ("vm-%u.json", i);
  g_autofree char *settings = fleet_path (fleet, name);
  g_autofree char *address = fleet_address ("callers", i);
  char *words[] = { path, settings, NULL };

  if (fleet->objects)
    write_objects_settings (fleet, i, settings);
  else
    write_settings (fleet, i, settings);
  fleet->node_pids[i] = spawn (fleet, "log", words);
  await_port (address, "/");
}

void
fleet_start (Fleet *fleet, guint slots, guint latency_ms)
{
  fleet_start_platform (fleet);
  for (guint i = 0; i < fleet->nodes; i++)
    {
      fleet_start_target (fleet, i, slots, latency_ms);
      fleet_start_node (fleet, i);
    }
  for (guint i = 0; i < fleet->nodes; i++)
    fleet_await (fleet, i, "$.ready", 1);
}

void
fleet_signal_node (Fleet *fleet, guint i, int signal)
{
  /* Process 0 would be this process's whole group. */
  if (!fleet->node_pids[i])
    return;
  kill (fleet->node_pids[i], signal);
  if (signal == SIGKILL)
    end (&fleet->node_pids[i]);
}

void
fleet_kill_target (Fleet *fleet, guint i)
{
  end (&fleet->targets[i]);
}

void
fleet_signal_target (Fleet *fleet, guint i, int signal)
{
  if (fleet->targets[i])
    kill (fleet->targets[i], signal);
}

gboolean
fleet_node_ended (Fleet *fleet, guint i, int *code)
{
  int status = 0;

  if (!fleet->node_pids[i] || waitpid (fleet->node_pids[i], &status, WNOHANG) <= 0)
    return FALSE;
  fleet->node_pids[i] = 0;
  *code = WIFEXITED (status) ? WEXITSTATUS (status) : -1;
  return TRUE;
}

void
fleet_keep_files (Fleet *fleet)
{
  fleet->keep_files = TRUE;
}

int
fleet_wait_node (Fleet *fleet, guint i)
{
  int status = 0;

  waitpid (fleet->node_pids[i], &status, 0);
  fleet->node_pids[i] = 0;
  return WIFEXITED (status) ? WEXITSTATUS (status) : -1;
}

char *
fleet_intent (Fleet *fleet, guint slots, guint floor, const char *extra)
{
  GString *text = g_string_new (NULL);

  g_string_append_printf (text,
                          "{\"services\":[{\"name\":\"pay\",\"tenant\":\"wales\","
                          "\"floor_slots\":%u,\"queue\":50,%s\"targets\":[",
                          floor, extra ? extra : "");
  for (guint i = 0; i < fleet->nodes; i++)
    {
      g_autofree char *address = fleet_address ("targets", i);

      g_string_append_printf (
          text,
          "%s{\"name\":\"pay-%u\",\"vm\":\"vm-%u\",\"hall\":\"hall-%u\","
          "\"address\":\"%s\",\"slots\":%u}",
          i ? "," : "", i, i, i % 3, address, slots);
    }
  g_string_append (text,
                   "]}],\"routes\":[{\"prefix\":\"/pay\",\"service\":\"pay\","
                   "\"class\":\"payment\",\"methods\":[\"POST\"],\"priority\":0,"
                   "\"deadline_ms\":3000},{\"prefix\":\"/read\",\"service\":\"pay\","
                   "\"class\":\"read\",\"deadline_ms\":3000}]}");
  return g_string_free (text, FALSE);
}

char *
fleet_plan (Fleet *fleet, guint node, const char *intent, gboolean force)
{
  g_autoptr (Answer) answer = fleet_operate (fleet, node, "POST", "/v1/plan", intent);
  g_autoptr (JsonNode) plan = NULL;
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  g_autoptr (JsonNode) root = NULL;
  JsonObject *object;

  if (answer->status != 200)
    fail_msg ("plan: %ld %s", answer->status, answer->body);
  plan = json_from_string (answer->body, NULL);
  object = json_node_get_object (plan);
  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "intent");
  json_builder_add_string_value (builder, intent);
  json_builder_set_member_name (builder, "base_generation");
  json_builder_add_int_value (builder,
                              json_object_get_int_member (object, "base_generation"));
  json_builder_set_member_name (builder, "id");
  json_builder_add_string_value (builder, json_object_get_string_member (object, "id"));
  json_builder_set_member_name (builder, "force");
  json_builder_add_boolean_value (builder, force);
  json_builder_end_object (builder);
  root = json_builder_get_root (builder);
  return json_to_string (root, FALSE);
}

long
fleet_apply (Fleet *fleet, guint node, const char *intent, gboolean force)
{
  g_autofree char *body = fleet_plan (fleet, node, intent, force);
  g_autoptr (Answer) answer = fleet_operate (fleet, node, "POST", "/v1/confirm", body);

  return answer->status;
}

gint64
fleet_status (Fleet *fleet, guint node, const char *path)
{
  g_autoptr (Answer) answer = fleet_operate (fleet, node, "GET", "/v1/status", NULL);
  g_autoptr (JsonNode) root =
      answer->status ? json_from_string (answer->body, NULL) : NULL;
  g_autoptr (JsonNode) found = root ? json_path_query (path, root, NULL) : NULL;
  JsonArray *matches;

  if (!found)
    return -1;
  matches = json_node_get_array (found);
  if (json_array_get_length (matches) == 0)
    return -1;
  if (json_node_get_value_type (json_array_get_element (matches, 0)) == G_TYPE_BOOLEAN)
    return json_array_get_boolean_element (matches, 0);
  return json_array_get_int_element (matches, 0);
}

void
fleet_await (Fleet *fleet, guint node, const char *path, gint64 at_least)
{
  for (guint i = 0; i < WAIT_TRIES; i++)
    {
      if (fleet_status (fleet, node, path) >= at_least)
        return;
      g_usleep (POLL_US);
    }
  fail_msg ("node %u: %s never reached %" G_GINT64_FORMAT, node, path, at_least);
}

GPid
fleet_load (Fleet *fleet, guint nodes, const char *extra)
{
  g_autofree char *path = program ("standins/standin-load");
  GPtrArray *words = g_ptr_array_new_with_free_func (g_free);
  g_auto (GStrv) more = g_strsplit (extra, " ", -1);
  GPid pid;

  g_ptr_array_add (words, g_strdup (path));
  for (guint i = 0; i < fleet->nodes; i++)
    {
      if (!(nodes & 1u << i))
        continue;
      g_ptr_array_add (words, g_strdup ("-u"));
      g_ptr_array_add (words, fleet_address ("callers", i));
    }
  for (guint i = 0; more[i]; i++)
    g_ptr_array_add (words, g_strdup (more[i]));
  g_ptr_array_add (words, NULL);
  pid = spawn (fleet, "load", (char **)words->pdata);
  g_ptr_array_unref (words);
  return pid;
}

int
fleet_join (Fleet *fleet, GPid pid)
{
  g_autofree char *path = fleet_path (fleet, "load");
  g_autofree char *text = NULL;
  int status = 0;

  waitpid (pid, &status, 0);
  if (g_file_get_contents (path, &text, NULL, NULL))
    print_message ("%s", text);
  return WIFEXITED (status) ? WEXITSTATUS (status) : -1;
}
