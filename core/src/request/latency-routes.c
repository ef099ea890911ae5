#include "latency-routes.h"

/* Maximum number of routes; when one more is added, the table is emptied first. */
#define ROUTES_MAX 1024u

GHashTable *
latency_routes_create (void)
{
  return g_hash_table_new_full (NULL, NULL, NULL, g_free);
}

gpointer
latency_routes_get (GHashTable *routes, guint32 id, gsize size)
{
  gpointer record = g_hash_table_lookup (routes, GUINT_TO_POINTER (id));

  if (record)
    return record;
  if (g_hash_table_size (routes) >= ROUTES_MAX)
    g_hash_table_remove_all (routes);
  record = g_malloc0 (size);
  g_hash_table_insert (routes, GUINT_TO_POINTER (id), record);
  return record;
}
