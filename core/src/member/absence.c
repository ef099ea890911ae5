#include <core/absence.h>

#include <string.h>

struct Absences
{
  gint64 absence_limit_us;
  Clock *clock;
  GHashTable *since; /* node → gint64 *, when it was first found missing */
};

Absences *
absences_create (gint64 absence_limit_us, Clock *clock)
{
  Absences *absences = g_new0 (Absences, 1);

  absences->absence_limit_us = absence_limit_us;
  absences->clock = clock;
  absences->since = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return absences;
}

void
absences_destroy (Absences *absences)
{
  if (!absences)
    return;
  g_hash_table_unref (absences->since);
  g_free (absences);
}

gboolean
absences_note (Absences *absences, const char *node, gboolean missing)
{
  gint64 now = clock_now (absences->clock);
  gint64 *since = g_hash_table_lookup (absences->since, node);

  if (!missing)
    {
      g_hash_table_remove (absences->since, node);
      return FALSE;
    }
  if (since)
    return now - *since >= absences->absence_limit_us;
  since = g_new (gint64, 1);
  *since = now;
  g_hash_table_insert (absences->since, g_strdup (node), since);
  return FALSE;
}

/* Returns the weight of a live node for a missing one, for rendezvous hashing. The node
   with the lowest weight is responsible. */
static guint
rendezvous_weight (const char *living, const char *missing)
{
  g_autofree char *both = g_strconcat (living, " ", missing, NULL);

  return g_str_hash (both);
}

gboolean
absences_is_responsible (Members *members, const char *node)
{
  const Member *self = members_self (members);
  guint own = rendezvous_weight (self->node, node);
  GPtrArray *all = members_all (members);

  for (guint i = 0; i < all->len; i++)
    {
      const Member *member = g_ptr_array_index (all, i);

      if (member == self || !members_is_alive (member))
        continue;
      if (rendezvous_weight (member->node, node) < own ||
          (rendezvous_weight (member->node, node) == own &&
           strcmp (member->node, self->node) < 0))
        return FALSE;
    }
  return TRUE;
}
