#include "quarantine-private.h"

#include <string.h>

/* Trials that are made at once and after the short first pause. */
#define TRIALS_EARLY 2u
#define PAUSE_DOUBLINGS_MAX 4u
/* A trial that leaves `turn` at this or above is not repeated if it is undecided, because
   each repetition reaches another target. So only the first trial is repeated, at most
   once. */
#define UNDECIDED_TURNS_MAX 2u

/* An end of a quarantined request counts against no other. */
static gboolean
any_held (const Quarantine *quarantine, const GArray *requests)
{
  for (guint i = 0; i < requests->len; i++)
    {
      const QuarantineEntry *entry =
          quarantine_find (quarantine, &g_array_index (requests, Fingerprint, i));

      if (entry && entry->held_us)
        return TRUE;
    }
  return FALSE;
}

static void
record_end (Quarantine *quarantine,
            const Fingerprint *request,
            const QuarantineEnd *end,
            guint32 service,
            guint32 version)
{
  QuarantineEntry rank = { .request = *request, .service = service };
  QuarantineEntry *entry = quarantine_find (quarantine, request);

  rank.end_count = 1;
  rank.last_end_us = end->at_us;
  if (!entry)
    entry = quarantine_add_entry (quarantine, &rank);
  if (!entry)
    return;
  entry->version = version;
  if (quarantine_add_end (entry, end))
    quarantine_schedule_update (quarantine, entry, quarantine_is_urgent (entry));
}

void
quarantine_note_end (Quarantine *quarantine,
                     guint32 end,
                     guint32 service,
                     guint32 version,
                     const GArray *requests)
{
  QuarantineEnd new_end = { end, clock_now (quarantine->clock) };
  gboolean held = any_held (quarantine, requests);
  guint room = QUARANTINE_FINGERPRINTS_MAX;

  /* Listed requests are counted first: when more requests were running than one end
     counts against, a request that ends one target after another is then counted each
     time after the first. */
  for (guint known = 2; known-- > 0;)
    for (guint i = 0; i < requests->len && room > 0; i++)
      {
        const Fingerprint *request = &g_array_index (requests, Fingerprint, i);
        const QuarantineEntry *entry = quarantine_find (quarantine, request);

        if ((entry != NULL) != (known != 0) || (held && !(entry && entry->held_us)))
          continue;
        record_end (quarantine, request, &new_end, service, version);
        room--;
      }
  quarantine_tick (quarantine);
}

static void
clear_now (Quarantine *quarantine, QuarantineEntry *entry)
{
  gboolean urgent = quarantine_is_urgent (entry);

  quarantine_clear (quarantine, entry, entry->epoch + 1, clock_now (quarantine->clock));
  quarantine_schedule_update (quarantine, entry, urgent);
}

gboolean
quarantine_note_answer (Quarantine *quarantine, const Fingerprint *request)
{
  QuarantineEntry *entry = quarantine_find (quarantine, request);

  if (!entry || (entry->end_count == 0 && !entry->held_us))
    return FALSE;
  clear_now (quarantine, entry);
  return TRUE;
}

static void
hold_if_settled (Quarantine *quarantine, QuarantineEntry *entry, gint64 now)
{
  gint64 decisive_us = 0;

  /* Most entries have one end; this skips the comparison with other entries for them. */
  if (entry->held_us || entry->end_count < QUARANTINE_ENDS_LIMIT ||
      quarantine_count_moments (quarantine, entry, &decisive_us) <
          QUARANTINE_ENDS_LIMIT ||
      now < decisive_us + QUARANTINE_SETTLE_US)
    return;
  quarantine_set_held (quarantine, entry, now);
  quarantine_schedule_update (quarantine, entry, TRUE);
}

static gboolean
is_old (const QuarantineEntry *entry, gint64 now)
{
  if (entry->held_us)
    return now > MAX (entry->last_end_us, entry->due_us) + QUARANTINE_PAUSE_MAX_US;
  if (entry->end_count > 0)
    return now > entry->last_end_us + QUARANTINE_RETENTION_US;
  return now > entry->cleared_us + QUARANTINE_CLEARED_RETENTION_US;
}

void
quarantine_tick (Quarantine *quarantine)
{
  gint64 now = clock_now (quarantine->clock);

  for (guint i = quarantine->entries->len; i-- > 0;)
    if (is_old (quarantine_entry_at (quarantine, i), now))
      quarantine_remove_at (quarantine, i);
  for (guint i = 0; i < quarantine->entries->len; i++)
    hold_if_settled (quarantine, quarantine_entry_at (quarantine, i), now);
}

QuarantineVerdict
quarantine_check (Quarantine *quarantine, const Fingerprint *request)
{
  QuarantineVerdict verdict = { QUARANTINE_FREE, 0 };
  gint64 now = clock_now (quarantine->clock);
  QuarantineEntry *entry = quarantine_find (quarantine, request);
  gint64 decisive_us;

  if (!entry || (entry->end_count == 0 && !entry->held_us))
    return verdict;
  hold_if_settled (quarantine, entry, now);
  if (entry->held_us)
    {
      verdict.state = now >= entry->due_us ? QUARANTINE_TRIAL : QUARANTINE_HELD;
      verdict.retry_after_us = MAX (entry->due_us - now, 0);
      return verdict;
    }
  verdict.state = quarantine_count_moments (quarantine, entry, &decisive_us) + 1 >=
                          QUARANTINE_ENDS_LIMIT
                      ? QUARANTINE_DOUBTED
                      : QUARANTINE_SUSPECT;
  return verdict;
}

static gint64
pause_after (guint trials)
{
  guint doublings = MIN (trials - MIN (trials, TRIALS_EARLY), PAUSE_DOUBLINGS_MAX);

  if (trials < TRIALS_EARLY)
    return QUARANTINE_PAUSE_FIRST_US;
  return MIN (QUARANTINE_PAUSE_SECOND_US << doublings, QUARANTINE_PAUSE_MAX_US);
}

static void
schedule_trial (Quarantine *quarantine,
                QuarantineEntry *entry,
                guint trials,
                gint64 due_us)
{
  entry->turn++;
  entry->trials = trials;
  entry->due_us = due_us;
  quarantine_schedule_update (quarantine, entry, TRUE);
}

gboolean
quarantine_begin_trial (Quarantine *quarantine, const Fingerprint *request)
{
  QuarantineEntry *entry = quarantine_find (quarantine, request);
  gint64 now = clock_now (quarantine->clock);

  if (!entry || !entry->held_us || now < entry->due_us)
    return FALSE;
  schedule_trial (quarantine, entry, entry->trials + 1,
                  now + pause_after (entry->trials + 1));
  return TRUE;
}

void
quarantine_trial_undecided (Quarantine *quarantine, const Fingerprint *request)
{
  QuarantineEntry *entry = quarantine_find (quarantine, request);

  if (!entry || !entry->held_us || entry->trials == 0 ||
      entry->turn >= UNDECIDED_TURNS_MAX)
    return;
  schedule_trial (quarantine, entry, entry->trials - 1,
                  clock_now (quarantine->clock) + QUARANTINE_PAUSE_UNDECIDED_US);
}

void
quarantine_note_version (Quarantine *quarantine, guint32 service, guint32 version)
{
  for (guint i = 0; i < quarantine->entries->len; i++)
    {
      QuarantineEntry *entry = quarantine_entry_at (quarantine, i);

      if (entry->service != service || !entry->held_us || entry->version == version ||
          entry->version == 0)
        continue;
      entry->version = version;
      if (entry->trials < TRIALS_EARLY)
        schedule_trial (quarantine, entry, entry->trials, clock_now (quarantine->clock));
    }
}

gboolean
quarantine_lift (Quarantine *quarantine, const char *digits)
{
  QuarantineEntry *found = NULL;

  for (guint i = 0; i < quarantine->entries->len; i++)
    {
      QuarantineEntry *entry = quarantine_entry_at (quarantine, i);
      g_autofree char *text = fingerprint_text (&entry->request);

      if (strcmp (text, digits) != 0 || (entry->end_count == 0 && !entry->held_us))
        continue;
      if (found)
        return FALSE;
      found = entry;
    }
  if (!found)
    return FALSE;
  clear_now (quarantine, found);
  return TRUE;
}
