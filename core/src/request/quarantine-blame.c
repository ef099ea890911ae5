#include "quarantine-private.h"

/* Decides which of an entry's ends count; NULL counts all. */
typedef gboolean (*EndFilter) (const Quarantine *quarantine,
                               const QuarantineEntry *entry,
                               guint32 end);

static guint
count_moments (const Quarantine *quarantine,
               const QuarantineEntry *entry,
               EndFilter filter,
               gint64 *decisive_us)
{
  gint64 moment = 0;
  guint count = 0;

  for (guint i = 0; i < entry->end_count; i++)
    {
      const QuarantineEnd *end = &entry->ends[i];

      if ((count > 0 && end->at_us - moment <= QUARANTINE_MOMENT_US) ||
          (filter && !filter (quarantine, entry, end->id)))
        continue;
      moment = end->at_us;
      if (++count == QUARANTINE_ENDS_LIMIT)
        *decisive_us = moment;
    }
  return count;
}

static guint
count_all_moments (const QuarantineEntry *entry)
{
  gint64 decisive_us;

  return count_moments (NULL, entry, NULL, &decisive_us);
}

static gboolean
has_end (const QuarantineEntry *entry, guint32 end)
{
  for (guint i = 0; i < entry->end_count; i++)
    if (entry->ends[i].id == end)
      return TRUE;
  return FALSE;
}

/* Returns whether an end counts against this entry: the request with the most ends is
   taken as the cause, because one that merely ran on the same target has been present at
   fewer. */
static gboolean
counts_against (const Quarantine *quarantine, const QuarantineEntry *entry, guint32 end)
{
  guint own_count = count_all_moments (entry);

  for (guint i = 0; i < quarantine->entries->len; i++)
    {
      const QuarantineEntry *other =
          &g_array_index (quarantine->entries, QuarantineEntry, i);

      if (other != entry && has_end (other, end) && count_all_moments (other) > own_count)
        return FALSE;
    }
  return TRUE;
}

guint
quarantine_count_moments (const Quarantine *quarantine,
                          const QuarantineEntry *entry,
                          gint64 *decisive_us)
{
  return count_moments (quarantine, entry, counts_against, decisive_us);
}
