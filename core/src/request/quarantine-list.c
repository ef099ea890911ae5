#include "quarantine-private.h"

#include <string.h>

/* Last ends that are at most this far apart rank equally, because nodes compute slightly
   different times for them. */
#define SAME_TIME_US SECOND_US

Quarantine *
quarantine_create (Clock *clock)
{
  Quarantine *quarantine = g_new0 (Quarantine, 1);

  quarantine->clock = clock;
  quarantine->entries = g_array_new (FALSE, TRUE, sizeof (QuarantineEntry));
  quarantine->remaining_sends = g_array_new (FALSE, TRUE, sizeof (guint));
  return quarantine;
}

void
quarantine_destroy (Quarantine *quarantine)
{
  if (!quarantine)
    return;
  g_array_unref (quarantine->entries);
  g_array_unref (quarantine->remaining_sends);
  g_free (quarantine);
}

void
quarantine_set_changed (Quarantine *quarantine, QuarantineChanged changed, gpointer data)
{
  quarantine->changed = changed;
  quarantine->data = data;
}

guint32
quarantine_service_hash (const char *service)
{
  return g_str_hash (service);
}

QuarantineEntry *
quarantine_entry_at (const Quarantine *quarantine, guint i)
{
  return &g_array_index (quarantine->entries, QuarantineEntry, i);
}

const GArray *
quarantine_entries (const Quarantine *quarantine)
{
  return quarantine->entries;
}

gboolean
quarantine_has_service (const Quarantine *quarantine, guint32 service)
{
  for (guint i = 0; i < quarantine->entries->len; i++)
    if (quarantine_entry_at (quarantine, i)->service == service)
      return TRUE;
  return FALSE;
}

gboolean
quarantine_has_head (const Quarantine *quarantine, guint64 head)
{
  for (guint i = 0; i < quarantine->entries->len; i++)
    if (quarantine_entry_at (quarantine, i)->request.head == head)
      return TRUE;
  return FALSE;
}

QuarantineEntry *
quarantine_find (const Quarantine *quarantine, const Fingerprint *request)
{
  for (guint i = 0; i < quarantine->entries->len; i++)
    if (fingerprint_equal (&quarantine_entry_at (quarantine, i)->request, request))
      return quarantine_entry_at (quarantine, i);
  return NULL;
}

void
quarantine_remove_at (Quarantine *quarantine, guint i)
{
  g_array_remove_index_fast (quarantine->entries, i);
  g_array_remove_index_fast (quarantine->remaining_sends, i);
}

/* Orders entries for eviction; all nodes decide alike. */
static gboolean
is_evicted_before (const QuarantineEntry *entry, const QuarantineEntry *other)
{
  if (!entry->held_us != !other->held_us)
    return !entry->held_us;
  if (entry->end_count != other->end_count)
    return entry->end_count < other->end_count;
  if (ABS (entry->last_end_us - other->last_end_us) > SAME_TIME_US)
    return entry->last_end_us < other->last_end_us;
  return entry->request.head < other->request.head;
}

/* Returns FALSE if the list is full of entries that matter more. */
static gboolean
make_room (Quarantine *quarantine, const QuarantineEntry *rank)
{
  guint least = 0;

  if (quarantine->entries->len < QUARANTINE_ENTRIES_MAX)
    return TRUE;
  for (guint i = 1; i < quarantine->entries->len; i++)
    if (is_evicted_before (quarantine_entry_at (quarantine, i),
                           quarantine_entry_at (quarantine, least)))
      least = i;
  if (is_evicted_before (rank, quarantine_entry_at (quarantine, least)))
    return FALSE;
  quarantine_remove_at (quarantine, least);
  return TRUE;
}

QuarantineEntry *
quarantine_add_entry (Quarantine *quarantine, const QuarantineEntry *rank)
{
  QuarantineEntry entry = { .request = rank->request, .service = rank->service };
  guint remaining_sends = 0;

  if (!make_room (quarantine, rank))
    return NULL;
  g_array_append_val (quarantine->entries, entry);
  g_array_append_val (quarantine->remaining_sends, remaining_sends);
  return quarantine_entry_at (quarantine, quarantine->entries->len - 1);
}

gboolean
quarantine_is_urgent (const QuarantineEntry *entry)
{
  return entry->end_count > 1 || entry->held_us;
}

void
quarantine_schedule_update (Quarantine *quarantine,
                            const QuarantineEntry *entry,
                            gboolean urgent)
{
  guint i = (guint)(entry - quarantine_entry_at (quarantine, 0));

  g_array_index (quarantine->remaining_sends, guint, i) =
      urgent ? QUARANTINE_SENDS_URGENT : QUARANTINE_SENDS_NORMAL;
}

/* Returns the index that keeps the ends sorted by time. */
static guint
end_index (const QuarantineEntry *entry, const QuarantineEnd *end)
{
  guint i = entry->end_count;

  while (i > 0 && entry->ends[i - 1].at_us > end->at_us)
    i--;
  return i;
}

static void
remove_end (QuarantineEntry *entry, guint i)
{
  entry->end_count--;
  memmove (&entry->ends[i], &entry->ends[i + 1],
           (entry->end_count - i) * sizeof *entry->ends);
}

static void
insert_end (QuarantineEntry *entry, const QuarantineEnd *end)
{
  guint place = end_index (entry, end);

  memmove (&entry->ends[place + 1], &entry->ends[place],
           (entry->end_count - place) * sizeof *entry->ends);
  entry->ends[place] = *end;
  entry->end_count++;
}

/* When an entry is full, the ends with the lowest ids are kept, so that each node keeps
   the same ones. */
gboolean
quarantine_add_end (QuarantineEntry *entry, const QuarantineEnd *end)
{
  guint highest = 0;

  for (guint i = 0; i < entry->end_count; i++)
    {
      if (entry->ends[i].id == end->id)
        return FALSE;
      if (entry->ends[i].id > entry->ends[highest].id)
        highest = i;
    }
  entry->last_end_us = MAX (entry->last_end_us, end->at_us);
  if (entry->end_count == QUARANTINE_ENDS_KEPT)
    {
      if (end->id > entry->ends[highest].id)
        return FALSE;
      remove_end (entry, highest);
    }
  insert_end (entry, end);
  return TRUE;
}

void
quarantine_clear (Quarantine *quarantine,
                  QuarantineEntry *entry,
                  guint32 epoch,
                  gint64 at_us)
{
  gboolean was_held = entry->held_us != 0;

  entry->epoch = epoch;
  entry->cleared_us = at_us;
  entry->end_count = 0;
  entry->held_us = 0;
  entry->turn = 0;
  entry->trials = 0;
  entry->due_us = 0;
  if (was_held && quarantine->changed)
    quarantine->changed (entry, quarantine->data);
}

void
quarantine_set_held (Quarantine *quarantine, QuarantineEntry *entry, gint64 at_us)
{
  entry->held_us = at_us;
  entry->due_us = at_us;
  if (quarantine->changed)
    quarantine->changed (entry, quarantine->data);
}
