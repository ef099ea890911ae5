#include "model.h"

#include <string.h>

#include <core/pack.h>

struct ConfigPart
{
  gatomicrefcount refs;
  char *key;
  char *digest;
  GBytes *text;
  GBytes *packed; /* compressed text; NULL until config_part_packed is called */
  Service *service;
  GPtrArray *routes;
  GPtrArray *accounts;
  GPtrArray *keys;
};

char *
config_route_shard (const char *host, const char *prefix)
{
  g_autofree char *key = route_key (host, prefix);

  return g_strdup_printf ("routes/%02x", g_str_hash (key) % CONFIG_ROUTE_SHARDS);
}

char *
config_account_shard (const char *id)
{
  return g_strdup_printf ("accounts/%02x", g_str_hash (id) % CONFIG_ACCOUNT_SHARDS);
}

/* Shards are selected by the last byte, because access_keys_find interpolates by the
   first four. */
guint
config_key_shard_index (const guint8 *digest)
{
  return digest[CONFIG_KEY_DIGEST_LEN - 1] % CONFIG_ACCOUNT_SHARDS;
}

char *
config_key_shard (const guint8 *digest)
{
  return g_strdup_printf ("keys/%02x", config_key_shard_index (digest));
}

static void
check_routes (const GPtrArray *routes, JsonFaults *faults)
{
  for (guint i = 1; i < routes->len; i++)
    {
      const Route *before = g_ptr_array_index (routes, i - 1);
      const Route *route = g_ptr_array_index (routes, i);

      if (route_compare (before, route->host, route->prefix) == 0 &&
          (before->methods & route->methods))
        json_faults_add (faults, "$.routes",
                         "two routes at \"%s%s\" have a method in common", route->host,
                         route->prefix);
    }
}

static void
check_accounts (const GPtrArray *accounts, JsonFaults *faults)
{
  for (guint i = 1; i < accounts->len; i++)
    {
      const Account *before = g_ptr_array_index (accounts, i - 1);
      const Account *account = g_ptr_array_index (accounts, i);

      if (strcmp (before->id, account->id) == 0)
        json_faults_add (faults, "$.accounts", "two accounts have the id \"%s\"",
                         account->id);
    }
}

static void
check_keys (const GPtrArray *keys, JsonFaults *faults)
{
  for (guint i = 1; i < keys->len; i++)
    {
      const AccessKey *before = g_ptr_array_index (keys, i - 1);
      const AccessKey *key = g_ptr_array_index (keys, i);

      if (memcmp (before->digest, key->digest, CONFIG_KEY_DIGEST_LEN) == 0)
        json_faults_add (faults, "$.keys",
                         "accounts \"%s\" and \"%s\" have the same access key",
                         before->account, key->account);
    }
}

static void
read_keys (ConfigPart *part, JsonView *view)
{
  guint count = json_view_array_length (view, "keys");

  for (guint i = 0; i < count; i++)
    {
      const char *text = json_view_array_string (view, "keys", i, ACCESS_KEY_TEXT_MAX);
      AccessKey *key = NULL;

      if (text)
        key = access_key_read (text, "$.keys", json_view_faults (view));
      if (key)
        g_ptr_array_add (part->keys, key);
    }
  access_keys_sort (part->keys);
  check_keys (part->keys, json_view_faults (view));
}

static void
read_shard (ConfigPart *part, JsonView *view)
{
  gboolean routes = part->routes != NULL;
  const char *area = routes ? "routes" : "accounts";
  guint count = json_view_array_length (view, area);

  for (guint i = 0; i < count; i++)
    {
      JsonView *item = json_view_array_object (view, area, i);

      if (!item)
        continue;
      if (routes)
        g_ptr_array_add (part->routes, route_read (item));
      else
        g_ptr_array_add (part->accounts, account_read (item));
      json_view_close (item);
    }
}

static void
read_part (ConfigPart *part, JsonView *view, JsonFaults *faults)
{
  if (g_str_has_prefix (part->key, "service/"))
    {
      part->service = service_read (view);
      if (strcmp (part->key + strlen ("service/"), part->service->name) != 0)
        json_faults_add (faults, "$.name", "does not match the part's key %s", part->key);
      return;
    }
  if (g_str_has_prefix (part->key, "keys/"))
    {
      part->keys = g_ptr_array_new_with_free_func ((GDestroyNotify)access_key_free);
      read_keys (part, view);
      return;
    }
  if (g_str_has_prefix (part->key, "routes/"))
    part->routes = g_ptr_array_new_with_free_func ((GDestroyNotify)route_free);
  else if (g_str_has_prefix (part->key, "accounts/"))
    part->accounts = g_ptr_array_new_with_free_func ((GDestroyNotify)account_free);
  else
    {
      json_faults_add (faults, "$", "%s is not a valid part key", part->key);
      return;
    }
  read_shard (part, view);
  if (part->routes)
    {
      routes_sort (part->routes);
      check_routes (part->routes, faults);
      return;
    }
  accounts_sort (part->accounts);
  check_accounts (part->accounts, faults);
}

ConfigPart *
config_part_parse (const char *key, GBytes *text, JsonFaults *faults)
{
  guint before = json_faults_count (faults);
  gsize len;
  const char *data = g_bytes_get_data (text, &len);
  JsonView *view = json_view_parse (data, (gssize)len, faults);
  ConfigPart *part;

  if (!view)
    return NULL;
  part = g_new0 (ConfigPart, 1);
  g_atomic_ref_count_init (&part->refs);
  part->key = g_strdup (key);
  part->text = g_bytes_ref (text);
  part->digest = g_compute_checksum_for_bytes (G_CHECKSUM_SHA256, text);
  read_part (part, view, faults);
  json_view_close (view);
  if (json_faults_count (faults) == before)
    return part;
  config_part_unref (part);
  return NULL;
}

/* Creates a part without parsed contents. Takes ownership of `text`. */
static ConfigPart *
part_create_from_text (const char *key, char *text)
{
  ConfigPart *part = g_new0 (ConfigPart, 1);

  g_atomic_ref_count_init (&part->refs);
  part->key = g_strdup (key);
  part->text = g_bytes_new_take (text, strlen (text));
  part->digest = g_compute_checksum_for_bytes (G_CHECKSUM_SHA256, part->text);
  return part;
}

ConfigPart *
config_part_from_service (Service *service)
{
  g_autofree char *key = g_strconcat ("service/", service->name, NULL);
  JsonBuilder *builder = json_builder_new ();
  ConfigPart *part;

  service_write (service, builder);
  part = part_create_from_text (key, json_text (builder));
  part->service = service;
  return part;
}

ConfigPart *
config_part_from_shard (const char *key, GPtrArray *things)
{
  ConfigPart *part = part_create_from_text (key, shard_text (key, things));

  if (g_str_has_prefix (key, "routes/"))
    part->routes = things;
  else if (g_str_has_prefix (key, "accounts/"))
    part->accounts = things;
  else
    part->keys = things;
  return part;
}

ConfigPart *
config_part_ref (ConfigPart *part)
{
  g_atomic_ref_count_inc (&part->refs);
  return part;
}

void
config_part_unref (ConfigPart *part)
{
  if (!part || !g_atomic_ref_count_dec (&part->refs))
    return;
  g_free (part->key);
  g_free (part->digest);
  g_bytes_unref (part->text);
  g_clear_pointer (&part->packed, g_bytes_unref);
  service_free (part->service);
  g_clear_pointer (&part->routes, g_ptr_array_unref);
  g_clear_pointer (&part->accounts, g_ptr_array_unref);
  g_clear_pointer (&part->keys, g_ptr_array_unref);
  g_free (part);
}

const char *
config_part_key (const ConfigPart *part)
{
  return part->key;
}

const char *
config_part_digest (const ConfigPart *part)
{
  return part->digest;
}

GBytes *
config_part_text (const ConfigPart *part)
{
  return part->text;
}

GBytes *
config_part_packed (ConfigPart *part)
{
  if (!part->packed)
    part->packed = pack_compress (part->text);
  return part->packed;
}

ConfigPart *
config_part_parse_packed (const char *key, GBytes *packed, JsonFaults *faults)
{
  g_autoptr (GBytes) text = pack_decompress (packed, CONFIG_PART_MAX);
  ConfigPart *part;

  if (!text)
    {
      json_faults_add (faults, "$", "the compressed text is corrupt or too large");
      return NULL;
    }
  part = config_part_parse (key, text, faults);
  if (part)
    part->packed = g_bytes_ref (packed);
  return part;
}

const Service *
config_part_service (const ConfigPart *part)
{
  return part->service;
}

const GPtrArray *
config_part_routes (const ConfigPart *part)
{
  return part->routes;
}

const GPtrArray *
config_part_accounts (const ConfigPart *part)
{
  return part->accounts;
}

const GPtrArray *
config_part_keys (const ConfigPart *part)
{
  return part->keys;
}

char *
json_text (JsonBuilder *builder)
{
  g_autoptr (JsonNode) root = json_builder_get_root (builder);
  char *text = json_to_string (root, FALSE);

  g_object_unref (builder);
  return text;
}
