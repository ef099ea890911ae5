#include "quarantine-private.h"

static gboolean
was_at (const QuarantineEntry *entry, guint32 end)
{
  for (guint i = 0; i < entry->end_count; i++)
    if (entry->ends[i].id == end)
      return TRUE;
  return FALSE;
}

/* Whether more speaks against `other` than against `entry`. */
static gboolean
is_worse (const QuarantineEntry *other, const QuarantineEntry *entry)
{
  if (other->held_us && !entry->held_us)
    return TRUE;
  return other->end_count > entry->end_count;
}

/* An end is laid to the request that has most of them: one that was only beside it there
   has been beside it at fewer. */
static gboolean
is_of_another (const Quarantine *quarantine, const QuarantineEntry *entry, guint32 end)
{
  for (guint i = 0; i < quarantine->entries->len; i++)
    {
      const QuarantineEntry *other =
          &g_array_index (quarantine->entries, QuarantineEntry, i);

      if (other != entry && was_at (other, end) && is_worse (other, entry))
        return TRUE;
    }
  return FALSE;
}

guint
quarantine_moments (const Quarantine *quarantine,
                    const QuarantineEntry *entry,
                    gint64 *decisive_us)
{
  gint64 moment = 0;
  guint count = 0;

  for (guint i = 0; i < entry->end_count; i++)
    {
      const QuarantineEnd *end = &entry->ends[i];

      if ((count > 0 && end->at_us - moment <= QUARANTINE_MOMENT_US) ||
          is_of_another (quarantine, entry, end->id))
        continue;
      moment = end->at_us;
      if (++count == QUARANTINE_ENDS)
        *decisive_us = moment;
    }
  return count;
}
