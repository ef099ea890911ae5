#include "fleet-list.h"

#include <string.h>

#include <core/members.h>

struct FleetList
{
  GHashTable *entries; /* node → FleetListEntry */
  gboolean is_read;
};

static void
entry_free (gpointer data)
{
  FleetListEntry *entry = data;

  g_free (entry->node);
  g_free (entry->hall);
  g_free (entry->address);
  g_free (entry);
}

FleetList *
fleet_list_create (void)
{
  FleetList *list = g_new0 (FleetList, 1);

  list->entries = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, entry_free);
  return list;
}

void
fleet_list_destroy (FleetList *list)
{
  if (!list)
    return;
  g_hash_table_unref (list->entries);
  g_free (list);
}

/* Keeps the name and hall of a listed node, because callers borrow them. */
void
fleet_list_add (FleetList *list, const char *node, const char *hall, const char *address)
{
  FleetListEntry *entry = g_hash_table_lookup (list->entries, node);

  if (!entry)
    {
      entry = g_new0 (FleetListEntry, 1);
      entry->node = g_strdup (node);
      entry->hall = g_strdup (hall);
      g_hash_table_insert (list->entries, entry->node, entry);
    }
  g_free (entry->address);
  entry->address = g_strdup (address);
}

void
fleet_list_note_read (FleetList *list)
{
  list->is_read = TRUE;
}

gboolean
fleet_list_is_read (const FleetList *list)
{
  return list->is_read;
}

const FleetListEntry *
fleet_list_find (const FleetList *list, const char *node)
{
  return g_hash_table_lookup (list->entries, node);
}

guint
fleet_list_rank_in_hall (const FleetList *list, const char *node, const char *hall)
{
  guint own = members_id (node);
  guint rank = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, list->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const FleetListEntry *entry = value;

      rank += strcmp (entry->hall, hall) == 0 && members_id (entry->node) < own;
    }
  return rank;
}

guint
fleet_list_count_halls (const FleetList *list)
{
  g_autoptr (GHashTable) halls = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, list->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const FleetListEntry *entry = value;

      if (*entry->hall)
        g_hash_table_add (halls, entry->hall);
    }
  return g_hash_table_size (halls);
}

void
fleet_list_all (const FleetList *list, GPtrArray *entries)
{
  GHashTableIter iter;
  gpointer entry;

  g_hash_table_iter_init (&iter, list->entries);
  while (g_hash_table_iter_next (&iter, NULL, &entry))
    g_ptr_array_add (entries, entry);
}
