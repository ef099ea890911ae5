#include <core/settings.h>

#include <string.h>

#include <core/config.h>
#include <core/names.h>

#define TOKEN_MAX 255
#define TOKEN_MIN 16
#define MB (1024 * 1024)

/*
 * A planned stop ends this long before the supervisor kills the process: the last answers
 * take 0.2 s to be sent, and more on slow VMs. The margin is at most 0.7 s, because a
 * supervisor may start counting the grace period up to 0.7 s after the signal arrived,
 * and requests that it sees cut before the last sixth of the period were cut needlessly.
 */
#define STOP_MARGIN_DIVISOR 20
#define STOP_MARGIN_MIN_US 300000
#define STOP_MARGIN_MAX_US 700000
/* Running requests may be cut in the last sixth of the grace period, but not earlier. */
#define STOP_ABORT_DIVISOR 6
#define GRACE_MAX_S 3600.0
/* Within which a change of the configuration has to be in force everywhere. */
#define APPLY_MIN_MS 100
#define APPLY_DEFAULT_MS 10000
#define APPLY_MAX_MS 600000
/* Default window over which retries are counted, as the requirements set it, and the
   longest allowed. */
#define RETRY_WINDOW_DEFAULT_S 10.0
#define RETRY_WINDOW_MAX_S 3600.0
/* The upper limits of cold_overage, a factor of the cold rate, and of retries per request
   are far above any useful value. */
#define COLD_OVERAGE_MAX 100
#define RETRY_RATIO_MAX 100.0

/* Default window over which an account's requests are counted, as the requirements set
   it, and the allowed range. */
#define ALLOWANCE_WINDOW_DEFAULT_S 5.0
#define ALLOWANCE_WINDOW_MIN_S 0.1
#define ALLOWANCE_WINDOW_MAX_S 3600.0
#define ALLOWANCE_OVERAGE_MAX 100.0

static const char *const platform_names[] = { "own", "objects", NULL };
static const char *const detection_names[] = { "off", "careful", "quick", "strict",
                                               NULL };
static const char *const log_names[] = { "error", "warning", "info", "debug", NULL };

static void
operator_free (gpointer data)
{
  OperatorAccount *account = data;

  g_free (account->name);
  g_free (account->token);
  g_free (account);
}

static char *
read_token (JsonView *view, const char *key)
{
  const char *token = json_view_required (view, key, TOKEN_MAX);

  if (*token && strlen (token) < TOKEN_MIN)
    json_faults_add (json_view_faults (view), json_view_path (view),
                     "\"%s\" must be at least %d bytes long", key, TOKEN_MIN);
  return g_strdup (token);
}

static char *
optional_address (JsonView *view, const char *key)
{
  return json_view_has (view, key) ? g_strdup (names_required_address (view, key)) : NULL;
}

static void
read_target (Settings *settings, JsonView *view)
{
  JsonView *target = json_view_object (view, "target");

  if (!target)
    return;
  settings->target_address = g_strdup (names_required_address (target, "address"));
  settings->target_service = g_strdup (names_required (target, "service"));
  json_view_close (target);
}

/* Returns an object member, or an empty object with the same path if it is missing. */
static JsonView *
object_or_empty (JsonView *view, const char *key)
{
  JsonView *object = json_view_object (view, key);
  g_autofree char *path = g_strconcat ("$.", key, NULL);
  g_autoptr (JsonNode) empty = NULL;

  if (object)
    return object;
  empty = json_node_new (JSON_NODE_OBJECT);
  json_node_take_object (empty, json_object_new ());
  return json_view_create (empty, path, json_view_faults (view));
}

static void
read_defaults (Settings *settings, JsonView *view)
{
  ServiceDefaults *defaults = &settings->defaults;
  JsonView *object = object_or_empty (view, "service_defaults");

  defaults->retry_ratio =
      json_view_double (object, "retry_ratio", 0, RETRY_RATIO_MAX, 0.2);
  defaults->retry_burst = json_view_double (object, "retry_burst", 0, G_MAXINT, 0);
  defaults->retry_window_us =
      (gint64)(1e6 * json_view_double (object, "retry_window_s", 0.1, RETRY_WINDOW_MAX_S,
                                       RETRY_WINDOW_DEFAULT_S));
  defaults->floor_share = json_view_double (object, "floor_share", 0, 1, 0.5);
  defaults->cold_overage =
      json_view_double (object, "cold_overage", 1, COLD_OVERAGE_MAX, 1);
  defaults->cold_slack = json_view_double (object, "cold_slack", 0, G_MAXINT, 0);
  defaults->detection =
      json_view_choice (object, "detection", detection_names, DETECTION_CAREFUL);
  defaults->keep_connections = json_view_bool (object, "keep_connections", FALSE);
  defaults->queue = (guint)json_view_int (object, "queue", 0, 100000, 0);
  json_view_close (object);
}

static void
read_allowance (Settings *settings, JsonView *view)
{
  AllowanceRule *rule = &settings->allowance;
  JsonView *object = object_or_empty (view, "allowances");

  rule->window_us =
      (gint64)(1e6 * json_view_double (object, "window_s", ALLOWANCE_WINDOW_MIN_S,
                                       ALLOWANCE_WINDOW_MAX_S,
                                       ALLOWANCE_WINDOW_DEFAULT_S));
  rule->overage = json_view_double (object, "overage", 0, ALLOWANCE_OVERAGE_MAX, 0);
  rule->slack = json_view_double (object, "slack", 0, G_MAXINT, 0);
  json_view_close (object);
}

static gint64
stop_margin_us (gint64 grace_us)
{
  return CLAMP (grace_us / STOP_MARGIN_DIVISOR, STOP_MARGIN_MIN_US, STOP_MARGIN_MAX_US);
}

/* Reads how long a planned stop may take: "stop_ms", or if "grace_s" is given, the
   supervisor's grace period less a margin. */
static void
read_stop (Settings *settings, JsonView *limits)
{
  gint64 stop_us = 1000 * json_view_int (limits, "stop_ms", 0, 3600000, 70000);
  gint64 grace_us =
      (gint64)(1e6 * json_view_double (limits, "grace_s", 1, GRACE_MAX_S, 0));

  settings->linger_us = 1000 * json_view_int (limits, "linger_ms", 0, 3600000, 0);
  settings->stop_us = grace_us > 0 ? grace_us - stop_margin_us (grace_us) : stop_us;
  settings->cut_after_us =
      grace_us > 0 ? MIN (settings->stop_us, grace_us - grace_us / STOP_ABORT_DIVISOR)
                   : stop_us;
  /* Requests accepted at the end of the linger period need time to be answered. */
  settings->linger_us = MIN (settings->linger_us, settings->stop_us / 2);
}

static void
read_listen (Settings *settings, JsonView *view)
{
  JsonView *listen = json_view_object (view, "listen");

  if (!listen)
    {
      json_faults_add (json_view_faults (view), "$.listen", "is missing");
      return;
    }
  settings->callers_address = g_strdup (names_required_address (listen, "callers"));
  settings->operators_address = g_strdup (names_required_address (listen, "operators"));
  settings->nodes_address = g_strdup (names_required_address (listen, "nodes"));
  settings->readiness_address = optional_address (listen, "readiness");
  settings->registration_address = optional_address (listen, "registration");
  settings->metrics_address = optional_address (listen, "metrics");
  json_view_close (listen);
  if (*settings->callers_address &&
      (strcmp (settings->callers_address, settings->operators_address) == 0 ||
       strcmp (settings->callers_address, settings->nodes_address) == 0 ||
       strcmp (settings->operators_address, settings->nodes_address) == 0))
    json_faults_add (json_view_faults (view), "$.listen", "the addresses must differ");
}

static void
read_operators (Settings *settings, JsonView *view)
{
  guint count = json_view_array_length (view, "operators");

  for (guint i = 0; i < count; i++)
    {
      JsonView *item = json_view_array_object (view, "operators", i);
      OperatorAccount *account;

      if (!item)
        continue;
      account = g_new0 (OperatorAccount, 1);
      account->name = g_strdup (names_required (item, "name"));
      account->token = read_token (item, "token");
      g_ptr_array_add (settings->operators, account);
      json_view_close (item);
    }
}

static void
read_peers (Settings *settings, JsonView *view)
{
  guint count = json_view_array_length (view, "peers");
  GPtrArray *peers = g_ptr_array_new ();

  for (guint i = 0; i < count; i++)
    {
      const char *peer = json_view_array_string (view, "peers", i, NAME_MAX_LEN);
      g_autofree char *path = g_strdup_printf ("$.peers[%u]", i);

      if (!peer)
        continue;
      if (!names_address_valid (peer))
        json_faults_add (json_view_faults (view), path,
                         "must be an IP number and a port");
      g_ptr_array_add (peers, g_strdup (peer));
    }
  g_ptr_array_add (peers, NULL);
  settings->peers = (char **)g_ptr_array_free (peers, FALSE);
}

static void
read_contracts (Settings *settings, JsonView *view)
{
  guint count = json_view_array_length (view, "platform_contracts");
  GPtrArray *names = g_ptr_array_new ();

  for (guint i = 0; i < count; i++)
    {
      const char *name =
          json_view_array_string (view, "platform_contracts", i, NAME_MAX_LEN);

      if (name)
        g_ptr_array_add (names, g_strdup (name));
    }
  g_ptr_array_add (names, NULL);
  settings->platform_contracts = (char **)g_ptr_array_free (names, FALSE);
}

static void
read_limits (Settings *settings, JsonView *view)
{
  JsonView *limits = object_or_empty (view, "limits");

  settings->connections_max =
      (guint)json_view_int (limits, "connections", 1, 100000, 2000);
  settings->header_max = (gsize)json_view_int (limits, "header_bytes", 2048, MB, 32768);
  settings->body_max = (gsize)json_view_int (limits, "body_bytes", 0, 8 * MB, 4 * MB);
  settings->held_max =
      (gsize)json_view_int (limits, "held_bytes", MB, 2047 * MB, 48 * MB);
  /* Large bodies from callers may use half of it (io/mem-account.h). */
  if (settings->held_max < 2 * settings->body_max)
    json_faults_add (json_view_faults (limits), "$.limits.held_bytes",
                     "must be at least twice body_bytes");
  settings->stall_us = 1000 * json_view_int (limits, "stall_ms", 100, 600000, 8000);
  settings->read_us = 1000 * json_view_int (limits, "read_ms", 100, 600000, 10000);
  settings->idle_us = 1000 * json_view_int (limits, "idle_ms", 1000, 3600000, 80000);
  settings->apply_us = 1000 * json_view_int (limits, "apply_ms", APPLY_MIN_MS,
                                             APPLY_MAX_MS, APPLY_DEFAULT_MS);
  read_stop (settings, limits);
  settings->fence_window_us =
      1000 * json_view_int (limits, "fence_window_ms", 2 * CONFIG_DEADLINE_MAX_MS,
                            3600000, 600000);
  settings->fence_entries_max =
      (guint)json_view_int (limits, "fence_entries", 16, 1000000, 65536);
  settings->fence_answers_max =
      (gsize)json_view_int (limits, "fence_answer_bytes", 0, 64 * MB, 8 * MB);
  json_view_close (limits);
}

/* Returns the first 64 bits of the token's SHA-256 digest. They are as hard to find by
   trial as a random token of 8 bytes. */
static guint64
token_digest_prefix (const char *token)
{
  g_autofree char *digest = g_compute_checksum_for_string (G_CHECKSUM_SHA256, token, -1);

  digest[2 * sizeof (guint64)] = '\0';
  return g_ascii_strtoull (digest, NULL, 16);
}

Settings *
settings_parse (const char *text, gssize len, JsonFaults *faults)
{
  guint before = json_faults_count (faults);
  JsonView *view = json_view_parse (text, len, faults);
  Settings *settings;

  if (!view)
    return NULL;
  settings = g_new0 (Settings, 1);
  settings->operators = g_ptr_array_new_with_free_func (operator_free);
  settings->node = g_strdup (names_required (view, "node"));
  settings->hall = g_strdup (names_required (view, "hall"));
  read_listen (settings, view);
  settings->advertise_address =
      json_view_has (view, "advertise")
          ? g_strdup (names_required_address (view, "advertise"))
          : g_strdup (settings->nodes_address);
  settings->platform =
      json_view_choice (view, "platform_kind", platform_names, PLATFORM_OWN);
  settings->evacuations = json_view_bool (view, "evacuations", FALSE);
  settings->first_start = json_view_bool (view, "first_start", FALSE);
  read_target (settings, view);
  read_defaults (settings, view);
  read_allowance (settings, view);
  settings->platform_address = g_strdup (names_required_address (view, "platform"));
  settings->fleet_token = read_token (view, "fleet_token");
  settings->fleet_token_digest = token_digest_prefix (settings->fleet_token);
  settings->log = json_view_choice (view, "log", log_names, LOG_INFO);
  read_contracts (settings, view);
  read_peers (settings, view);
  read_operators (settings, view);
  read_limits (settings, view);
  json_view_close (view);
  if (json_faults_count (faults) == before)
    return settings;
  settings_destroy (settings);
  return NULL;
}

void
settings_destroy (Settings *settings)
{
  if (!settings)
    return;
  g_free (settings->node);
  g_free (settings->hall);
  g_free (settings->callers_address);
  g_free (settings->operators_address);
  g_free (settings->nodes_address);
  g_free (settings->advertise_address);
  g_free (settings->platform_address);
  g_free (settings->readiness_address);
  g_free (settings->registration_address);
  g_free (settings->metrics_address);
  g_free (settings->target_address);
  g_free (settings->target_service);
  g_free (settings->fleet_token);
  g_strfreev (settings->platform_contracts);
  g_strfreev (settings->peers);
  g_ptr_array_unref (settings->operators);
  g_free (settings);
}

gboolean
settings_secret_equal (const char *a, const char *b)
{
  gsize len = strlen (a);
  guint8 differs = len != strlen (b);

  /* For different lengths `a` is compared with itself, which takes the same time. */
  if (differs)
    b = a;
  for (gsize i = 0; i < len; i++)
    differs |= (guint8)(a[i] ^ b[i]);
  return !differs;
}

const char *
settings_operator (const Settings *settings, const char *token)
{
  const char *name = NULL;

  for (guint i = 0; i < settings->operators->len; i++)
    {
      const OperatorAccount *account = g_ptr_array_index (settings->operators, i);

      if (settings_secret_equal (account->token, token))
        name = account->name;
    }
  return name;
}
