#include <core/target-statements.h>

/* Each report of a target in use confirms the rate. An older one would only delay the
   first requests of a sidecar that starts again. */
#define RATE_KEPT_US (600 * SECOND_US)
/* A leaving target is used no more, so that nothing confirms it until it has ended. */
#define LEAVING_KEPT_US (3600 * SECOND_US)
/* Bounds the memory; the users have up to 12,000 targets. */
#define ENTRIES_MAX 16384u

typedef struct
{
  gboolean named;
  double per_s;
  gboolean leaving;
  gint64 noted_us;
} Entry;

struct TargetStatements
{
  Clock *clock;
  GHashTable *entries; /* target → Entry */
};

TargetStatements *
target_statements_create (Clock *clock)
{
  TargetStatements *statements = g_new0 (TargetStatements, 1);

  statements->clock = clock;
  statements->entries = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return statements;
}

void
target_statements_destroy (TargetStatements *statements)
{
  g_hash_table_unref (statements->entries);
  g_free (statements);
}

static gboolean
is_expired (const Entry *entry, gint64 now_us)
{
  gint64 kept = entry->leaving ? LEAVING_KEPT_US : RATE_KEPT_US;

  return now_us - entry->noted_us > kept;
}

/* Removes entries that have expired, and the oldest one if there is still no room. */
static void
make_room (TargetStatements *statements)
{
  gint64 now = clock_now (statements->clock);
  g_autofree char *oldest = NULL;
  gint64 oldest_us = G_MAXINT64;
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, statements->entries);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const Entry *entry = value;

      if (is_expired (entry, now))
        {
          g_hash_table_iter_remove (&iter);
          continue;
        }
      if (entry->noted_us >= oldest_us)
        continue;
      oldest_us = entry->noted_us;
      g_free (oldest);
      oldest = g_strdup (key);
    }
  if (oldest && g_hash_table_size (statements->entries) >= ENTRIES_MAX)
    g_hash_table_remove (statements->entries, oldest);
}

static Entry *
find_or_add (TargetStatements *statements, const char *target)
{
  Entry *entry = g_hash_table_lookup (statements->entries, target);

  if (!entry)
    {
      if (g_hash_table_size (statements->entries) >= ENTRIES_MAX)
        make_room (statements);
      entry = g_new0 (Entry, 1);
      g_hash_table_insert (statements->entries, g_strdup (target), entry);
    }
  entry->noted_us = clock_now (statements->clock);
  return entry;
}

/* Returns the entry of a target, or NULL if there is none or it has expired. */
static const Entry *
find (const TargetStatements *statements, const char *target)
{
  const Entry *entry;

  /* Called for each target of each choice, and mostly nothing is remembered. */
  if (g_hash_table_size (statements->entries) == 0)
    return NULL;
  entry = g_hash_table_lookup (statements->entries, target);
  return entry && !is_expired (entry, clock_now (statements->clock)) ? entry : NULL;
}

/* Takes an answer that names no rate. */
static void
clear_rate (TargetStatements *statements, const char *target)
{
  Entry *entry = g_hash_table_lookup (statements->entries, target);

  if (!entry)
    return;
  entry->named = FALSE;
  if (!entry->leaving)
    g_hash_table_remove (statements->entries, target);
}

void
target_statements_note_rate (TargetStatements *statements,
                             const char *target,
                             NamedRateState state,
                             double per_s)
{
  Entry *entry;

  if (state == NAMED_RATE_NONE)
    clear_rate (statements, target);
  if (state != NAMED_RATE_IN_FORCE)
    return;
  entry = find_or_add (statements, target);
  entry->named = TRUE;
  entry->per_s = per_s;
}

gboolean
target_statements_rate (const TargetStatements *statements,
                        const char *target,
                        double *per_s)
{
  const Entry *entry = find (statements, target);

  if (!entry || !entry->named)
    return FALSE;
  *per_s = entry->per_s;
  return TRUE;
}

void
target_statements_note_leaving (TargetStatements *statements, const char *target)
{
  find_or_add (statements, target)->leaving = TRUE;
}

gboolean
target_statements_is_leaving (const TargetStatements *statements, const char *target)
{
  const Entry *entry = find (statements, target);

  return entry && entry->leaving;
}
