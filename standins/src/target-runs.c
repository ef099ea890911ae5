#include "target-runs.h"

struct TargetRuns
{
  GHashTable *counts; /* id → count */
  guint64 total;
  FILE *file;
};

TargetRuns *
target_runs_create (FILE *file)
{
  TargetRuns *runs = g_new0 (TargetRuns, 1);

  runs->counts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  runs->file = file;
  return runs;
}

void
target_runs_destroy (TargetRuns *runs)
{
  if (!runs)
    return;
  g_hash_table_unref (runs->counts);
  g_free (runs);
}

static void
record (const TargetRuns *runs, const char *id, const char *expected, gint64 now_us)
{
  if (!runs->file)
    return;
  fprintf (runs->file, "%s %s %" G_GINT64_FORMAT "\n", id ? id : "-",
           expected ? expected : "-", now_us);
  fflush (runs->file);
}

void
target_runs_note_refused (const TargetRuns *runs,
                          const char *id,
                          const char *expected,
                          gint64 now_us)
{
  g_autofree char *marked = g_strconcat (TARGET_RUNS_REFUSED, id ? id : "-", NULL);

  record (runs, marked, expected, now_us);
}

guint
target_runs_count (const TargetRuns *runs, const char *id)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (runs->counts, id));
}

void
target_runs_add (TargetRuns *runs, const char *id, const char *expected, gint64 now_us)
{
  guint count;

  runs->total++;
  record (runs, id, expected, now_us);
  if (!id)
    return;
  count = target_runs_count (runs, id) + 1;
  g_hash_table_insert (runs->counts, g_strdup (id), GUINT_TO_POINTER (count));
}

char *
target_runs_totals (const TargetRuns *runs, guint busy, guint peak)
{
  GHashTableIter iter;
  gpointer value;
  guint twice = 0;

  g_hash_table_iter_init (&iter, runs->counts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (GPOINTER_TO_UINT (value) > 1)
      twice++;
  return g_strdup_printf ("{\"total\":%" G_GUINT64_FORMAT
                          ",\"ids\":%u,\"twice\":%u,\"peak\":%u,\"busy\":%u}\n",
                          runs->total, g_hash_table_size (runs->counts), twice, peak,
                          busy);
}

char *
target_runs_ids (const TargetRuns *runs)
{
  GString *text = g_string_new (NULL);
  GHashTableIter iter;
  gpointer id;
  gpointer count;

  g_hash_table_iter_init (&iter, runs->counts);
  while (g_hash_table_iter_next (&iter, &id, &count))
    g_string_append_printf (text, "%s %u\n", (char *)id, GPOINTER_TO_UINT (count));
  return g_string_free (text, FALSE);
}
