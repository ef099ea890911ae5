#include "quarantine-private.h"

/* An update with a greater age is rejected as implausible. */
#define AGE_MAX_US (QUARANTINE_RETENTION_US + QUARANTINE_PAUSE_MAX_US)
/* Likewise for an entry that is quarantined, which lasts as long as its trials end
   targets: the greatest age that the protocol carries. */
#define HELD_AGE_MAX_US ((gint64)G_MAXUINT32 * MS_US)

static void
fill_update (const Quarantine *quarantine,
             const QuarantineEntry *entry,
             QuarantineUpdate *update)
{
  gint64 now = clock_now (quarantine->clock);

  *update =
      (QuarantineUpdate){ .request = entry->request,
                          .service = entry->service,
                          .version = entry->version,
                          .epoch = entry->epoch,
                          .end_count = entry->end_count,
                          .held_age_us = entry->held_us ? now - entry->held_us : -1,
                          .cleared_age_us = entry->epoch ? now - entry->cleared_us : -1,
                          .turn = entry->turn,
                          .trials = entry->trials,
                          /* Receivers ignore the time of the next trial while `turn`
                             is 0. `due_us` may be 0 then, which would look implausible
                             from a machine that has been up for over AGE_MAX_US. */
                          .due_in_us = entry->turn ? entry->due_us - now : 0 };
  for (guint i = 0; i < entry->end_count; i++)
    {
      update->end_ids[i] = entry->ends[i].id;
      update->end_ages_us[i] = now - entry->ends[i].at_us;
    }
}

QuarantineUrgency
quarantine_urgency (const Quarantine *quarantine)
{
  QuarantineUrgency urgency = QUARANTINE_UPDATES_NONE;

  for (guint i = 0; i < quarantine->remaining_sends->len; i++)
    {
      guint left = g_array_index (quarantine->remaining_sends, guint, i);

      if (left > QUARANTINE_SENDS_NORMAL)
        return QUARANTINE_UPDATES_URGENT;
      if (left > 0)
        urgency = QUARANTINE_UPDATES_NORMAL;
    }
  return urgency;
}

/* Returns the index of the entry that has most sends left, or -1 if no entry has any. */
static gint
most_sends_left (const Quarantine *quarantine, const gboolean *taken)
{
  gint best = -1;

  for (guint i = 0; i < quarantine->remaining_sends->len; i++)
    {
      guint left = g_array_index (quarantine->remaining_sends, guint, i);

      if (left == 0 || taken[i])
        continue;
      if (best < 0 ||
          left > g_array_index (quarantine->remaining_sends, guint, (guint)best))
        best = (gint)i;
    }
  return best;
}

guint
quarantine_next_updates (Quarantine *quarantine, QuarantineUpdate *updates, guint max)
{
  gboolean taken[QUARANTINE_ENTRIES_MAX] = { FALSE };
  guint count = 0;
  gint next;

  while (count < max && (next = most_sends_left (quarantine, taken)) >= 0)
    {
      taken[next] = TRUE;
      g_array_index (quarantine->remaining_sends, guint, (guint)next)--;
      fill_update (quarantine,
                   &g_array_index (quarantine->entries, QuarantineEntry, (guint)next),
                   &updates[count++]);
    }
  return count;
}

guint
quarantine_next_part (Quarantine *quarantine, QuarantineUpdate *updates, guint max)
{
  guint len = quarantine->entries->len;
  guint count = MIN (len, max);

  for (guint i = 0; i < count; i++)
    fill_update (quarantine,
                 &g_array_index (quarantine->entries, QuarantineEntry,
                                 (quarantine->next_part_start + i) % len),
                 &updates[i]);
  quarantine->next_part_start = len ? (quarantine->next_part_start + count) % len : 0;
  return count;
}

static gboolean
is_plausible (const QuarantineUpdate *update)
{
  gint64 age_max = update->held_age_us >= 0 ? HELD_AGE_MAX_US : AGE_MAX_US;

  if (update->end_count > QUARANTINE_ENDS_KEPT || update->held_age_us > age_max ||
      update->cleared_age_us > age_max || ABS (update->due_in_us) > AGE_MAX_US)
    return FALSE;
  for (guint i = 0; i < update->end_count; i++)
    if (update->end_ages_us[i] < 0 || update->end_ages_us[i] > age_max)
      return FALSE;
  return TRUE;
}

/* Returns whether an entry made from this update would be forgotten at once. */
static gboolean
is_stale (const QuarantineUpdate *update)
{
  if (update->held_age_us >= 0)
    return FALSE;
  for (guint i = 0; i < update->end_count; i++)
    if (update->end_ages_us[i] < QUARANTINE_RETENTION_US)
      return FALSE;
  return update->cleared_age_us < 0 ||
         update->cleared_age_us > QUARANTINE_CLEARED_RETENTION_US;
}

static gboolean
merge_ends (QuarantineEntry *entry, const QuarantineUpdate *update, gint64 now)
{
  gboolean any = FALSE;

  for (guint i = 0; i < update->end_count; i++)
    {
      QuarantineEnd end = { update->end_ids[i], now - update->end_ages_us[i] };

      any |= quarantine_add_end (entry, &end);
    }
  return any;
}

static gboolean
merge_hold (Quarantine *quarantine,
            QuarantineEntry *entry,
            const QuarantineUpdate *update,
            gint64 now)
{
  if (update->held_age_us < 0 || entry->held_us)
    return FALSE;
  quarantine_set_held (quarantine, entry, now - update->held_age_us);
  return TRUE;
}

static gboolean
merge_trial_schedule (QuarantineEntry *entry, const QuarantineUpdate *update, gint64 now)
{
  if (update->turn <= entry->turn)
    return FALSE;
  entry->turn = update->turn;
  entry->trials = update->trials;
  entry->due_us = now + update->due_in_us;
  return TRUE;
}

/* Merges an update of the entry's current epoch. */
static gboolean
merge_current_epoch (Quarantine *quarantine,
                     QuarantineEntry *entry,
                     const QuarantineUpdate *update,
                     gint64 now)
{
  gboolean any = merge_ends (entry, update, now);

  any |= merge_hold (quarantine, entry, update, now);
  any |= merge_trial_schedule (entry, update, now);
  if (!entry->version)
    entry->version = update->version;
  return any;
}

/* Creates an entry for an update about an unlisted request. Returns NULL if the update is
   stale or the list is full of entries that matter more. */
static QuarantineEntry *
add_entry_for_update (Quarantine *quarantine, const QuarantineUpdate *update, gint64 now)
{
  QuarantineEntry rank = { .request = update->request,
                           .service = update->service,
                           .end_count = update->end_count,
                           .held_us = update->held_age_us >= 0 };

  if (is_stale (update))
    return NULL;
  for (guint i = 0; i < update->end_count; i++)
    rank.last_end_us = MAX (rank.last_end_us, now - update->end_ages_us[i]);
  return quarantine_add_entry (quarantine, &rank);
}

/* Returns TRUE if the update changed the entry. */
static gboolean
merge_into (Quarantine *quarantine,
            QuarantineEntry *entry,
            const QuarantineUpdate *update,
            gint64 now)
{
  gboolean any = FALSE;

  if (update->epoch < entry->epoch)
    return FALSE;
  if (update->epoch > entry->epoch)
    {
      quarantine_clear (quarantine, entry, update->epoch,
                        now - MAX (update->cleared_age_us, 0));
      any = TRUE;
    }
  return merge_current_epoch (quarantine, entry, update, now) || any;
}

gboolean
quarantine_merge (Quarantine *quarantine, const QuarantineUpdate *update)
{
  gint64 now = clock_now (quarantine->clock);
  QuarantineEntry *entry = quarantine_find (quarantine, &update->request);
  gboolean known = entry != NULL;
  gboolean urgent;

  if (!is_plausible (update))
    return FALSE;
  if (!known)
    entry = add_entry_for_update (quarantine, update, now);
  if (!entry)
    return FALSE;
  urgent = quarantine_is_urgent (entry);
  /* A new entry is always forwarded. */
  if (!merge_into (quarantine, entry, update, now) && known)
    return FALSE;
  quarantine_schedule_update (quarantine, entry, urgent || quarantine_is_urgent (entry));
  return TRUE;
}

static guint32
mix (guint32 digest, guint32 value)
{
  return (digest ^ value) * 16777619u;
}

/* The digest covers only facts that are equal on all nodes. It leaves out times, and
   entries that only guard against late reports. */
static guint32
entry_digest (const QuarantineEntry *entry)
{
  guint32 digest = mix (2166136261u, (guint32)(entry->request.head >> 32));
  guint32 ends = 0;

  if (entry->end_count == 0 && !entry->held_us)
    return 0;
  digest = mix (digest, (guint32)(entry->request.body >> 32));
  digest = mix (digest, entry->epoch);
  digest = mix (digest, entry->turn);
  digest = mix (digest, entry->held_us != 0);
  if (entry->held_us)
    return digest;
  for (guint i = 0; i < entry->end_count; i++)
    ends ^= mix (entry->ends[i].id, 1);
  return mix (digest, ends);
}

guint32
quarantine_digest (const Quarantine *quarantine)
{
  guint32 digest = 0;

  for (guint i = 0; i < quarantine->entries->len; i++)
    digest ^= entry_digest (&g_array_index (quarantine->entries, QuarantineEntry, i));
  return digest;
}
