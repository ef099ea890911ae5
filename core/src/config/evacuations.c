#include <core/evacuations.h>

#include <string.h>

struct Evacuations
{
  GPtrArray *halls;
  guint64 era;
  guint64 revision;
};

Evacuations *
evacuations_create (void)
{
  Evacuations *evacuations = g_new0 (Evacuations, 1);

  evacuations->halls = g_ptr_array_new_with_free_func (g_free);
  return evacuations;
}

void
evacuations_destroy (Evacuations *evacuations)
{
  if (!evacuations)
    return;
  g_ptr_array_unref (evacuations->halls);
  g_free (evacuations);
}

static gint
compare_names (gconstpointer a, gconstpointer b)
{
  return strcmp (*(char *const *)a, *(char *const *)b);
}

/* Returns a sorted copy without duplicates, limited to EVACUATIONS_MAX names. */
static GPtrArray *
sorted_copy (const GPtrArray *halls)
{
  g_autoptr (GPtrArray) names = g_ptr_array_new ();
  GPtrArray *copy = g_ptr_array_new_with_free_func (g_free);

  for (guint i = 0; i < halls->len; i++)
    g_ptr_array_add (names, g_ptr_array_index (halls, i));
  g_ptr_array_sort (names, compare_names);
  for (guint i = 0; i < names->len && copy->len < EVACUATIONS_MAX; i++)
    {
      const char *name = g_ptr_array_index (names, i);

      if (copy->len == 0 || strcmp (g_ptr_array_index (copy, copy->len - 1), name) != 0)
        g_ptr_array_add (copy, g_strdup (name));
    }
  return copy;
}

static gboolean
is_same (const GPtrArray *a, const GPtrArray *b)
{
  if (a->len != b->len)
    return FALSE;
  for (guint i = 0; i < a->len; i++)
    if (strcmp (g_ptr_array_index (a, i), g_ptr_array_index (b, i)) != 0)
      return FALSE;
  return TRUE;
}

static gboolean
is_newer (const Evacuations *evacuations, guint64 era, guint64 revision)
{
  if (era != evacuations->era)
    return era > evacuations->era;
  return revision > evacuations->revision;
}

gboolean
evacuations_update (Evacuations *evacuations,
                    guint64 era,
                    guint64 revision,
                    const GPtrArray *halls)
{
  GPtrArray *taken;
  gboolean changed;

  if (!is_newer (evacuations, era, revision))
    return FALSE;
  evacuations->era = era;
  evacuations->revision = revision;
  taken = sorted_copy (halls);
  changed = !is_same (taken, evacuations->halls);
  g_ptr_array_unref (evacuations->halls);
  evacuations->halls = taken;
  return changed;
}

gboolean
evacuations_has (const Evacuations *evacuations, const char *hall)
{
  for (guint i = 0; i < evacuations->halls->len; i++)
    if (strcmp (g_ptr_array_index (evacuations->halls, i), hall) == 0)
      return TRUE;
  return FALSE;
}

const GPtrArray *
evacuations_halls (const Evacuations *evacuations)
{
  return evacuations->halls;
}

guint64
evacuations_era (const Evacuations *evacuations)
{
  return evacuations->era;
}

guint64
evacuations_revision (const Evacuations *evacuations)
{
  return evacuations->revision;
}
