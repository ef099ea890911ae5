#include "identity.h"

#include <string.h>

#include <core/http-status.h>

#include "config-sync.h"
#include "log.h"

/* Bytes of a key's digest in the log: enough to tell an operator's keys apart, too few to
   help in finding a key. */
#define DIGEST_LOG_BYTES 4u

/* Open routes need no key. Where the dialect checks keys on every route, a key that is
   sent must still be valid, so that a caller with a revoked key is refused there too. */
static gboolean
is_key_checked (const Dialect *dialect, const Snapshot *snapshot, const Route *route)
{
  return route->account || (dialect->keys_everywhere && snapshot_has_accounts (snapshot));
}

static guint
refusal_status (const Identity *identity, const Route *route, const char *tenant)
{
  if (identity->credentials == CREDENTIALS_NONE)
    return route->account ? HTTP_UNAUTHORIZED : 0;
  if (!identity->account)
    return HTTP_UNAUTHORIZED;
  return strcmp (identity->account->tenant, tenant) == 0 ? 0 : HTTP_FORBIDDEN;
}

Identity
identity_find (const Dialect *dialect,
               const HttpRequest *request,
               const Snapshot *snapshot,
               const Route *route,
               const char *tenant)
{
  Identity identity = { .key_checked = is_key_checked (dialect, snapshot, route) };

  if (!identity.key_checked)
    return identity;
  identity.credentials =
      credentials_read (http_request_headers (request), identity.digest);
  if (identity.credentials == CREDENTIALS_KEY)
    identity.account = snapshot_account_by_key (snapshot, identity.digest);
  identity.status = refusal_status (&identity, route, tenant);
  return identity;
}

const char *
identity_refusal (const Identity *identity)
{
  if (identity->status == HTTP_FORBIDDEN)
    return "this account may not use this service";
  if (identity->credentials == CREDENTIALS_NONE)
    return "an access key is needed";
  return identity->credentials == CREDENTIALS_BAD ? "one access key is needed"
                                                  : "this access key is not known";
}

void
identity_log (const Identity *identity, Node *node, const char *id)
{
  g_autofree char *status = g_strdup_printf ("%u", identity->status);
  g_autofree char *generation = g_strdup_printf (
      "%" G_GUINT64_FORMAT, snapshot_generation (config_sync_snapshot (node->config)));
  g_autofree char *age =
      g_strdup_printf ("%" G_GINT64_FORMAT, config_sync_age_us (node->config) / MS_US);
  g_autoptr (GString) digest = g_string_new (NULL);

  for (guint i = 0; identity->credentials == CREDENTIALS_KEY && i < DIGEST_LOG_BYTES; i++)
    g_string_append_printf (digest, "%02x", identity->digest[i]);
  metrics_add (node->metrics, METRIC_CALLERS_REFUSED, 1);
  log_event (G_LOG_LEVEL_INFO, "caller-refused", "ID", id, "STATUS", status, "KEY",
             digest->len > 0 ? digest->str : NULL, "ACCOUNT",
             identity->account ? identity->account->id : NULL, "GENERATION", generation,
             "CONFIG_AGE_MS", age, "DETAIL", identity_refusal (identity), NULL);
}

guint
identity_priority (guint account_priority, const Route *route)
{
  return account_priority * CONFIG_PRIORITIES + route->priority;
}
