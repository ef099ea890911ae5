#include <core/part-history.h>

typedef struct
{
  char *digest;
  GBytes *packed;
  gint64 until_us;
} Entry;

struct PartHistory
{
  Clock *clock;
  gint64 keep_us;
  gsize bytes_max;
  gsize bytes;
  GQueue entries;        /* of Entry, oldest first */
  GHashTable *by_digest; /* digest → the newest Entry, borrowed */
};

static void
drop_oldest (PartHistory *history)
{
  Entry *entry = g_queue_pop_head (&history->entries);

  if (g_hash_table_lookup (history->by_digest, entry->digest) == entry)
    g_hash_table_remove (history->by_digest, entry->digest);
  history->bytes -= g_bytes_get_size (entry->packed);
  g_bytes_unref (entry->packed);
  g_free (entry->digest);
  g_free (entry);
}

static void
drop_expired (PartHistory *history)
{
  gint64 now = clock_now (history->clock);
  const Entry *oldest;

  while ((oldest = g_queue_peek_head (&history->entries)) &&
         (oldest->until_us < now || history->bytes > history->bytes_max))
    drop_oldest (history);
}

PartHistory *
part_history_create (Clock *clock, gint64 keep_us, gsize bytes_max)
{
  PartHistory *history = g_new0 (PartHistory, 1);

  history->clock = clock;
  history->keep_us = keep_us;
  history->bytes_max = bytes_max;
  g_queue_init (&history->entries);
  history->by_digest = g_hash_table_new (g_str_hash, g_str_equal);
  return history;
}

void
part_history_destroy (PartHistory *history)
{
  while (!g_queue_is_empty (&history->entries))
    drop_oldest (history);
  g_hash_table_unref (history->by_digest);
  g_free (history);
}

void
part_history_add (PartHistory *history, const char *digest, GBytes *packed)
{
  Entry *entry = g_new0 (Entry, 1);

  entry->digest = g_strdup (digest);
  entry->packed = g_bytes_ref (packed);
  entry->until_us = clock_now (history->clock) + history->keep_us;
  history->bytes += g_bytes_get_size (packed);
  g_queue_push_tail (&history->entries, entry);
  g_hash_table_replace (history->by_digest, entry->digest, entry);
  drop_expired (history);
}

GBytes *
part_history_find (PartHistory *history, const char *digest)
{
  const Entry *entry;

  drop_expired (history);
  entry = g_hash_table_lookup (history->by_digest, digest);
  return entry ? entry->packed : NULL;
}
