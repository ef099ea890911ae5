#include "intent-private.h"

#include <string.h>

#include <core/names.h>

static Service *
service_copy (const Service *service)
{
  JsonBuilder *builder = json_builder_new ();
  g_autoptr (JsonNode) node = NULL;
  JsonFaults *faults = json_faults_create ();
  JsonView *view;
  Service *copy;

  service_write (service, builder);
  node = json_builder_get_root (builder);
  view = json_view_create (node, "$", faults);
  copy = service_read (view);
  json_view_close (view);
  json_faults_destroy (faults);
  g_object_unref (builder);
  return copy;
}

static void
apply_services (Intent *intent)
{
  guint count = json_view_array_length (intent->view, "services");

  for (guint i = 0; i < count; i++)
    {
      JsonView *item = json_view_array_object (intent->view, "services", i);
      Service *service;

      if (!item)
        continue;
      service = service_read (item);
      if (g_hash_table_contains (intent->services, service->name))
        json_faults_add (intent->faults, json_view_path (item),
                         "service \"%s\" is listed more than once", service->name);
      g_hash_table_insert (intent->services, g_strdup (service->name), service);
      json_view_close (item);
    }
  count = json_view_array_length (intent->view, "remove_services");
  for (guint i = 0; i < count; i++)
    {
      const char *name =
          json_view_array_string (intent->view, "remove_services", i, NAME_MAX_LEN);

      if (name && !snapshot_service (intent->base, name))
        json_faults_add (intent->faults, "$.remove_services", "no service named \"%s\"",
                         name);
      else if (name)
        g_hash_table_insert (intent->services, g_strdup (name), NULL);
    }
}

/* Returns a modifiable copy of the service that has the target, owned by the intent; NULL
   if no service has it. */
static Service *
copy_service_of_target (Intent *intent, const char *target)
{
  const GPtrArray *services = snapshot_services (intent->base);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, intent->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (value && service_target (value, target))
      return value;
  for (guint i = 0; i < services->len; i++)
    {
      const Service *service = g_ptr_array_index (services, i);
      Service *copy;

      if (!service_target (service, target) ||
          g_hash_table_contains (intent->services, service->name))
        continue;
      copy = service_copy (service);
      g_hash_table_insert (intent->services, g_strdup (copy->name), copy);
      return copy;
    }
  return NULL;
}

static void
apply_target_states (Intent *intent, const char *key, TargetState state)
{
  guint count = json_view_array_length (intent->view, key);

  for (guint i = 0; i < count; i++)
    {
      const char *name = json_view_array_string (intent->view, key, i, NAME_MAX_LEN);
      Service *service = name ? copy_service_of_target (intent, name) : NULL;
      g_autofree char *path = g_strdup_printf ("$.%s[%u]", key, i);

      if (!service)
        {
          if (name)
            json_faults_add (intent->faults, path, "no target named \"%s\"", name);
          continue;
        }
      ((Target *)service_target (service, name))->state = state;
    }
}

/* Sets the state of all targets of a data hall in the base. Returns their number. */
static guint
set_hall_state (Intent *intent, const char *hall, TargetState state)
{
  const GPtrArray *services = snapshot_services (intent->base);
  guint count = 0;

  for (guint i = 0; i < services->len; i++)
    {
      const Service *service = g_ptr_array_index (services, i);

      for (guint j = 0; j < service->targets->len; j++)
        {
          const Target *target = g_ptr_array_index (service->targets, j);
          Service *copy = strcmp (target->hall, hall) == 0
                              ? copy_service_of_target (intent, target->name)
                              : NULL;

          if (!copy)
            continue;
          ((Target *)service_target (copy, target->name))->state = state;
          count++;
        }
    }
  return count;
}

static void
apply_hall_states (Intent *intent, const char *key, TargetState state)
{
  guint count = json_view_array_length (intent->view, key);

  for (guint i = 0; i < count; i++)
    {
      const char *hall = json_view_array_string (intent->view, key, i, NAME_MAX_LEN);
      g_autofree char *path = g_strdup_printf ("$.%s[%u]", key, i);

      if (hall && set_hall_state (intent, hall, state) == 0)
        json_faults_add (intent->faults, path, "no target is in data hall \"%s\"", hall);
    }
}

static const GPtrArray *
shard_contents (const ConfigPart *part)
{
  if (config_part_routes (part))
    return config_part_routes (part);
  return config_part_keys (part) ? config_part_keys (part) : config_part_accounts (part);
}

GPtrArray *
intent_shard (Intent *intent, GHashTable *shards, const char *key)
{
  GPtrArray *shard = g_hash_table_lookup (shards, key);
  ConfigPart *part;
  ConfigPart *copy;
  const GPtrArray *from;

  if (shard)
    return shard;
  shard = g_ptr_array_new_with_free_func (shard_free_func (key));
  g_hash_table_insert (shards, g_strdup (key), shard);
  part = snapshot_part (intent->base, key);
  if (!part)
    return shard;
  /* Parsing the text again makes a deep copy that cannot miss a member. */
  copy = config_part_parse (key, config_part_text (part), intent->faults);
  if (!copy)
    return shard;
  from = shard_contents (copy);
  for (guint i = 0; i < from->len; i++)
    g_ptr_array_add (shard, g_ptr_array_index (from, i));
  g_ptr_array_set_free_func ((GPtrArray *)from, NULL);
  config_part_unref (copy);
  return shard;
}

static gboolean
remove_routes_at (GPtrArray *shard, const char *host, const char *prefix, guint methods)
{
  gboolean found = FALSE;

  for (guint i = shard->len; i-- > 0;)
    {
      const Route *route = g_ptr_array_index (shard, i);

      if (route_compare (route, host, prefix) != 0 || !(route->methods & methods))
        continue;
      g_ptr_array_remove_index (shard, i);
      found = TRUE;
    }
  return found;
}

static void
check_route_service (Intent *intent, const Route *route, const char *path)
{
  gpointer changed;
  gboolean in_intent =
      g_hash_table_lookup_extended (intent->services, route->service, NULL, &changed);

  if (in_intent ? changed != NULL
                : snapshot_service (intent->base, route->service) != NULL)
    return;
  json_faults_add (intent->faults, path, "route \"%s%s\" names unknown service \"%s\"",
                   route->host, route->prefix, route->service);
}

static void
apply_routes (Intent *intent)
{
  guint count = json_view_array_length (intent->view, "routes");

  for (guint i = 0; i < count; i++)
    {
      JsonView *item = json_view_array_object (intent->view, "routes", i);
      g_autofree char *key = NULL;
      GPtrArray *shard;
      Route *route;

      if (!item)
        continue;
      route = route_read (item);
      check_route_service (intent, route, json_view_path (item));
      key = config_route_shard (route->host, route->prefix);
      shard = intent_shard (intent, intent->routes, key);
      remove_routes_at (shard, route->host, route->prefix, route->methods);
      g_ptr_array_add (shard, route);
      json_view_close (item);
    }
}

static void
apply_removed_routes (Intent *intent)
{
  guint count = json_view_array_length (intent->view, "remove_routes");

  for (guint i = 0; i < count; i++)
    {
      JsonView *item = json_view_array_object (intent->view, "remove_routes", i);
      g_autofree char *key = NULL;
      const char *host;
      const char *prefix;

      if (!item)
        continue;
      host = json_view_string (item, "host", G_MAXINT, "");
      prefix = json_view_required (item, "prefix", G_MAXINT);
      key = config_route_shard (host, prefix);
      if (!remove_routes_at (intent_shard (intent, intent->routes, key), host, prefix,
                             G_MAXUINT))
        json_faults_add (intent->faults, json_view_path (item), "no route at \"%s%s\"",
                         host, prefix);
      json_view_close (item);
    }
}

/* Target names must be unique in the whole fleet, not only within a service. */
static void
check_target_names (Intent *intent)
{
  g_autoptr (GHashTable) owners = g_hash_table_new (g_str_hash, g_str_equal);
  const GPtrArray *services = snapshot_services (intent->base);
  g_autoptr (GPtrArray) all = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  for (guint i = 0; i < services->len; i++)
    {
      Service *service = g_ptr_array_index (services, i);

      if (!g_hash_table_contains (intent->services, service->name))
        g_ptr_array_add (all, service);
    }
  g_hash_table_iter_init (&iter, intent->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (value)
      g_ptr_array_add (all, value);
  for (guint i = 0; i < all->len; i++)
    {
      const Service *service = g_ptr_array_index (all, i);

      for (guint j = 0; j < service->targets->len; j++)
        {
          const Target *target = g_ptr_array_index (service->targets, j);
          const char *owner = g_hash_table_lookup (owners, target->name);

          if (owner && strcmp (owner, service->name) != 0)
            json_faults_add (intent->faults, "$.services",
                             "target \"%s\" is listed in both \"%s\" and \"%s\"",
                             target->name, owner, service->name);
          g_hash_table_insert (owners, target->name, service->name);
        }
    }
}

/* Reports routes of the resulting configuration whose service was removed. */
static void
check_removed_services (Intent *intent)
{
  for (guint i = 0; i < CONFIG_ROUTE_SHARDS; i++)
    {
      g_autofree char *key = g_strdup_printf ("routes/%02x", i);
      ConfigPart *part = snapshot_part (intent->base, key);
      const GPtrArray *routes = g_hash_table_lookup (intent->routes, key);

      if (!routes && part)
        routes = config_part_routes (part);
      for (guint j = 0; routes && j < routes->len; j++)
        check_route_service (intent, g_ptr_array_index (routes, j), "$.remove_services");
    }
}

static void
write_shards (GHashTable *shards, GHashTable *texts)
{
  GHashTableIter iter;
  gpointer key;
  gpointer shard;

  g_hash_table_iter_init (&iter, shards);
  while (g_hash_table_iter_next (&iter, &key, &shard))
    g_hash_table_insert (texts, g_strdup (key), shard_text (key, shard));
}

static GHashTable *
write_texts (Intent *intent)
{
  GHashTable *texts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, intent->services);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      JsonBuilder *builder = value ? json_builder_new () : NULL;

      if (value)
        service_write (value, builder);
      g_hash_table_insert (texts, g_strconcat ("service/", key, NULL),
                           value ? json_text (builder) : g_strdup (""));
    }
  write_shards (intent->routes, texts);
  write_shards (intent->accounts, texts);
  write_shards (intent->keys, texts);
  return texts;
}

GHashTable *
intent_apply (const Snapshot *base, const char *text, gssize len, JsonFaults *faults)
{
  guint before = json_faults_count (faults);
  Intent intent = { .base = base, .faults = faults };
  GHashTable *texts = NULL;

  intent.view = json_view_parse (text, len, faults);
  if (!intent.view)
    return NULL;
  intent.services = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                           (GDestroyNotify)service_free);
  intent.routes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                         (GDestroyNotify)g_ptr_array_unref);
  intent.accounts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                           (GDestroyNotify)g_ptr_array_unref);
  intent.keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                       (GDestroyNotify)g_ptr_array_unref);
  apply_services (&intent);
  apply_hall_states (&intent, "evacuate", TARGET_LEAVING);
  apply_hall_states (&intent, "take_back", TARGET_SERVING);
  apply_target_states (&intent, "drain", TARGET_LEAVING);
  apply_target_states (&intent, "restore", TARGET_SERVING);
  apply_removed_routes (&intent);
  apply_routes (&intent);
  intent_apply_accounts (&intent);
  check_target_names (&intent);
  check_removed_services (&intent);
  json_view_close (intent.view);
  if (json_faults_count (faults) == before)
    texts = write_texts (&intent);
  g_hash_table_unref (intent.services);
  g_hash_table_unref (intent.routes);
  g_hash_table_unref (intent.accounts);
  g_hash_table_unref (intent.keys);
  g_clear_pointer (&intent.keys_by_account, g_hash_table_unref);
  return texts;
}
