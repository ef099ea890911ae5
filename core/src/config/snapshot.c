#include "model.h"

#include <string.h>

struct Snapshot
{
  gatomicrefcount refs;
  ConfigHead *head;
  GHashTable *by_key;    /* key → ConfigPart, owned */
  GHashTable *by_digest; /* digest → ConfigPart, borrowed */
  GPtrArray *services;   /* of Service, by name; borrowed from parts and `composed` */
  GHashTable *composed;  /* name → Service, owned: copies with their own target lists */
  ConfigPart *route_parts[CONFIG_ROUTE_SHARDS];
  ConfigPart *account_parts[CONFIG_ACCOUNT_SHARDS];
  ConfigPart *key_parts[CONFIG_ACCOUNT_SHARDS];
};

static gint
compare_services (gconstpointer a, gconstpointer b)
{
  return strcmp ((*(Service *const *)a)->name, (*(Service *const *)b)->name);
}

static ConfigHead *
copy_head (const ConfigHead *head)
{
  ConfigHead *copy = config_head_create (head->generation);
  GHashTableIter iter;
  gpointer key;
  gpointer digest;

  for (guint i = 0; i < head->plans->len; i++)
    g_ptr_array_add (copy->plans, g_strdup (g_ptr_array_index (head->plans, i)));
  g_hash_table_iter_init (&iter, head->parts);
  while (g_hash_table_iter_next (&iter, &key, &digest))
    g_hash_table_insert (copy->parts, g_strdup (key), g_strdup (digest));
  return copy;
}

static guint
shard_index_of_key (const char *key)
{
  return (guint)g_ascii_strtoull (strchr (key, '/') + 1, NULL, 16) %
         CONFIG_ACCOUNT_SHARDS;
}

static void
add_part (Snapshot *snapshot, ConfigPart *part)
{
  const char *key = config_part_key (part);

  g_hash_table_insert (snapshot->by_key, (char *)key, config_part_ref (part));
  g_hash_table_insert (snapshot->by_digest, (char *)config_part_digest (part), part);
  if (config_part_service (part))
    g_ptr_array_add (snapshot->services, (Service *)config_part_service (part));
  else if (config_part_routes (part))
    snapshot->route_parts[shard_index_of_key (key) % CONFIG_ROUTE_SHARDS] = part;
  else if (config_part_keys (part))
    snapshot->key_parts[shard_index_of_key (key)] = part;
  else
    snapshot->account_parts[shard_index_of_key (key)] = part;
}

Snapshot *
snapshot_create_empty (void)
{
  Snapshot *snapshot = g_new0 (Snapshot, 1);

  g_atomic_ref_count_init (&snapshot->refs);
  snapshot->head = config_head_create (0);
  snapshot->by_key = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                            (GDestroyNotify)config_part_unref);
  snapshot->by_digest = g_hash_table_new (g_str_hash, g_str_equal);
  snapshot->services = g_ptr_array_new ();
  snapshot->composed =
      g_hash_table_new_full (g_str_hash, g_str_equal, NULL, (GDestroyNotify)service_free);
  return snapshot;
}

static void
mark_evacuated (Service *service, const Evacuations *evacuations)
{
  for (guint i = 0; i < service->targets->len; i++)
    {
      Target *target = g_ptr_array_index (service->targets, i);

      if (target->state == TARGET_SERVING && evacuations_has (evacuations, target->hall))
        target->state = TARGET_EVACUATED;
    }
}

/*
 * Replaces a service by a copy: with its registered targets if it is dynamic, and with
 * the targets of evacuated data halls marked. If no hall is evacuated, a service that is
 * not dynamic needs no copy.
 */
static void
compose_service (Snapshot *snapshot,
                 guint place,
                 GHashTable *targets,
                 const Evacuations *evacuations)
{
  const Service *base = g_ptr_array_index (snapshot->services, place);
  const GPtrArray *from = base->targets;
  Service *service;

  if (!base->dynamic && evacuations_halls (evacuations)->len == 0)
    return;
  if (base->dynamic)
    from = g_hash_table_lookup (targets, base->name);
  service = service_with_targets (base, from);
  mark_evacuated (service, evacuations);
  g_hash_table_insert (snapshot->composed, service->name, service);
  g_ptr_array_index (snapshot->services, place) = service;
}

Snapshot *
snapshot_with_targets (Snapshot *base,
                       GHashTable *targets,
                       const Evacuations *evacuations)
{
  Snapshot *snapshot = snapshot_create_empty ();
  GHashTableIter iter;
  gpointer part;

  config_head_destroy (snapshot->head);
  snapshot->head = copy_head (base->head);
  g_hash_table_iter_init (&iter, base->by_key);
  while (g_hash_table_iter_next (&iter, NULL, &part))
    add_part (snapshot, part);
  g_ptr_array_sort (snapshot->services, compare_services);
  for (guint i = 0; i < snapshot->services->len; i++)
    compose_service (snapshot, i, targets, evacuations);
  return snapshot;
}

Snapshot *
snapshot_create (const ConfigHead *head, GHashTable *parts)
{
  Snapshot *snapshot = snapshot_create_empty ();
  GHashTableIter iter;
  gpointer digest;

  config_head_destroy (snapshot->head);
  snapshot->head = copy_head (head);
  g_hash_table_iter_init (&iter, head->parts);
  while (g_hash_table_iter_next (&iter, NULL, &digest))
    {
      ConfigPart *part = g_hash_table_lookup (parts, digest);

      if (!part)
        {
          snapshot_unref (snapshot);
          return NULL;
        }
      add_part (snapshot, part);
    }
  g_ptr_array_sort (snapshot->services, compare_services);
  return snapshot;
}

Snapshot *
snapshot_ref (Snapshot *snapshot)
{
  g_atomic_ref_count_inc (&snapshot->refs);
  return snapshot;
}

void
snapshot_unref (Snapshot *snapshot)
{
  if (!snapshot || !g_atomic_ref_count_dec (&snapshot->refs))
    return;
  config_head_destroy (snapshot->head);
  g_hash_table_unref (snapshot->by_digest);
  g_hash_table_unref (snapshot->by_key);
  g_ptr_array_unref (snapshot->services);
  g_hash_table_unref (snapshot->composed);
  g_free (snapshot);
}

guint64
snapshot_generation (const Snapshot *snapshot)
{
  return snapshot->head->generation;
}

const ConfigHead *
snapshot_head (const Snapshot *snapshot)
{
  return snapshot->head;
}

ConfigPart *
snapshot_part (const Snapshot *snapshot, const char *key)
{
  return g_hash_table_lookup (snapshot->by_key, key);
}

ConfigPart *
snapshot_part_by_digest (const Snapshot *snapshot, const char *digest)
{
  return g_hash_table_lookup (snapshot->by_digest, digest);
}

GPtrArray *
snapshot_replaced_parts (const Snapshot *snapshot, const Snapshot *fresh)
{
  GPtrArray *replaced = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer digest;
  gpointer part;

  g_hash_table_iter_init (&iter, snapshot->by_digest);
  while (g_hash_table_iter_next (&iter, &digest, &part))
    if (!g_hash_table_contains (fresh->by_digest, digest))
      g_ptr_array_add (replaced, part);
  return replaced;
}

const Service *
snapshot_service (const Snapshot *snapshot, const char *name)
{
  g_autofree char *key = g_strconcat ("service/", name, NULL);
  ConfigPart *part = snapshot_part (snapshot, key);
  const Service *composed = g_hash_table_lookup (snapshot->composed, name);

  if (composed)
    return composed;

  return part ? config_part_service (part) : NULL;
}

const GPtrArray *
snapshot_services (const Snapshot *snapshot)
{
  return snapshot->services;
}

guint
snapshot_route_count (const Snapshot *snapshot)
{
  guint count = 0;

  for (guint i = 0; i < CONFIG_ROUTE_SHARDS; i++)
    if (snapshot->route_parts[i])
      count += config_part_routes (snapshot->route_parts[i])->len;
  return count;
}

guint
snapshot_account_count (const Snapshot *snapshot)
{
  guint count = 0;

  for (guint i = 0; i < CONFIG_ACCOUNT_SHARDS; i++)
    if (snapshot->account_parts[i])
      count += config_part_accounts (snapshot->account_parts[i])->len;
  return count;
}

gboolean
snapshot_has_accounts (const Snapshot *snapshot)
{
  for (guint i = 0; i < CONFIG_ACCOUNT_SHARDS; i++)
    if (snapshot->account_parts[i])
      return TRUE;
  return FALSE;
}

/* Returns the index of the first route that does not sort before (host, prefix). */
static guint
lower_bound (const GPtrArray *routes, const char *host, const char *prefix)
{
  guint low = 0;
  guint high = routes->len;

  while (low < high)
    {
      guint middle = low + (high - low) / 2;

      if (route_compare (g_ptr_array_index (routes, middle), host, prefix) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static const Route *
find_exact (const Snapshot *snapshot, const char *host, const char *prefix, guint method)
{
  g_autofree char *key = config_route_shard (host, prefix);
  const ConfigPart *part =
      snapshot->route_parts[shard_index_of_key (key) % CONFIG_ROUTE_SHARDS];
  const GPtrArray *routes;

  if (!part)
    return NULL;
  routes = config_part_routes (part);
  for (guint i = lower_bound (routes, host, prefix); i < routes->len; i++)
    {
      const Route *route = g_ptr_array_index (routes, i);

      if (route_compare (route, host, prefix) != 0)
        return NULL;
      if (route->methods & method)
        return route;
    }
  return NULL;
}

static const Route *
find_longest (const Snapshot *snapshot, const char *host, const char *path, guint method)
{
  g_autofree char *prefix = g_strdup (path);
  const Route *route;
  char *slash;

  for (;;)
    {
      route = find_exact (snapshot, host, prefix, method);
      slash = strrchr (prefix, '/');
      if (route || !slash || strcmp (prefix, "/") == 0)
        return route;
      /* The loop shortens the path by one segment at a time; "/" is the last prefix. */
      slash[slash == prefix ? 1 : 0] = '\0';
    }
}

const Route *
snapshot_route (const Snapshot *snapshot,
                const char *host,
                const char *path,
                const char *method)
{
  guint bit = route_method_bit (method);
  const Route *route = NULL;

  if (*host)
    route = find_longest (snapshot, host, path, bit);
  return route ? route : find_longest (snapshot, "", path, bit);
}

const Account *
snapshot_account (const Snapshot *snapshot, const char *id)
{
  const ConfigPart *part =
      snapshot->account_parts[g_str_hash (id) % CONFIG_ACCOUNT_SHARDS];
  const GPtrArray *accounts;
  guint low = 0;
  guint high;

  if (!part)
    return NULL;
  accounts = config_part_accounts (part);
  high = accounts->len;
  while (low < high)
    {
      guint middle = low + (high - low) / 2;
      const Account *account = g_ptr_array_index (accounts, middle);
      int order = strcmp (account->id, id);

      if (order == 0)
        return account;
      if (order < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return NULL;
}

const Account *
snapshot_account_by_key (const Snapshot *snapshot, const guint8 *digest)
{
  const ConfigPart *part = snapshot->key_parts[config_key_shard_index (digest)];
  const GPtrArray *keys = part ? config_part_keys (part) : NULL;
  gint place = keys ? access_keys_find (keys, digest) : -1;

  if (place < 0)
    return NULL;
  return snapshot_account (
      snapshot, ((AccessKey *)g_ptr_array_index (keys, (guint)place))->account);
}

guint
snapshot_account_key_count (const Snapshot *snapshot, const char *id)
{
  guint count = 0;

  for (guint i = 0; i < CONFIG_ACCOUNT_SHARDS; i++)
    {
      const ConfigPart *part = snapshot->key_parts[i];
      const GPtrArray *keys = part ? config_part_keys (part) : NULL;

      for (guint j = 0; keys && j < keys->len; j++)
        count += strcmp (((AccessKey *)g_ptr_array_index (keys, j))->account, id) == 0;
    }
  return count;
}
