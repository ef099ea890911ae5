#include "quarantine-private.h"

#include <string.h>

/* Ends that lie no further apart are ranked as if they were of one moment: nodes reckon
   it differently. */
#define SAME_TIME_US SECOND_US
/* Trials that are made at once, and after a short pause. */
#define TRIALS_EARLY 2u
#define PAUSE_DOUBLINGS_MAX 4u
/* A trial that was undecided is made again once: each is one more that reaches a target.
 */
#define UNDECIDED_TURNS_MAX 2u

Quarantine *
quarantine_create (Clock *clock)
{
  Quarantine *quarantine = g_new0 (Quarantine, 1);

  quarantine->clock = clock;
  quarantine->entries = g_array_new (FALSE, TRUE, sizeof (QuarantineEntry));
  quarantine->tellings = g_array_new (FALSE, TRUE, sizeof (guint));
  return quarantine;
}

void
quarantine_destroy (Quarantine *quarantine)
{
  if (!quarantine)
    return;
  g_array_unref (quarantine->entries);
  g_array_unref (quarantine->tellings);
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

static QuarantineEntry *
entry_at (const Quarantine *quarantine, guint i)
{
  return &g_array_index (quarantine->entries, QuarantineEntry, i);
}

const GArray *
quarantine_entries (const Quarantine *quarantine)
{
  return quarantine->entries;
}

gboolean
quarantine_watches (const Quarantine *quarantine, guint32 service)
{
  for (guint i = 0; i < quarantine->entries->len; i++)
    if (entry_at (quarantine, i)->service == service)
      return TRUE;
  return FALSE;
}

gboolean
quarantine_knows_head (const Quarantine *quarantine, guint64 head)
{
  for (guint i = 0; i < quarantine->entries->len; i++)
    if (entry_at (quarantine, i)->request.head == head)
      return TRUE;
  return FALSE;
}

QuarantineEntry *
quarantine_find (const Quarantine *quarantine, const Fingerprint *request)
{
  for (guint i = 0; i < quarantine->entries->len; i++)
    if (fingerprint_equal (&entry_at (quarantine, i)->request, request))
      return entry_at (quarantine, i);
  return NULL;
}

static void
forget (Quarantine *quarantine, guint i)
{
  g_array_remove_index_fast (quarantine->entries, i);
  g_array_remove_index_fast (quarantine->tellings, i);
}

/* What is kept of two entries when there is no room for both: each node decides alike. */
static gboolean
matters_less (const QuarantineEntry *entry, const QuarantineEntry *other)
{
  if (!entry->held_us != !other->held_us)
    return !entry->held_us;
  if (entry->end_count != other->end_count)
    return entry->end_count < other->end_count;
  if (ABS (entry->last_end_us - other->last_end_us) > SAME_TIME_US)
    return entry->last_end_us < other->last_end_us;
  return entry->request.head < other->request.head;
}

/* FALSE where the list is full of what matters more. */
static gboolean
make_room (Quarantine *quarantine, const QuarantineEntry *rank)
{
  guint least = 0;

  if (quarantine->entries->len < QUARANTINE_ENTRIES_MAX)
    return TRUE;
  for (guint i = 1; i < quarantine->entries->len; i++)
    if (matters_less (entry_at (quarantine, i), entry_at (quarantine, least)))
      least = i;
  if (matters_less (rank, entry_at (quarantine, least)))
    return FALSE;
  forget (quarantine, least);
  return TRUE;
}

QuarantineEntry *
quarantine_make (Quarantine *quarantine, const QuarantineEntry *rank)
{
  QuarantineEntry fresh = { .request = rank->request, .service = rank->service };
  guint tellings = 0;

  if (!make_room (quarantine, rank))
    return NULL;
  g_array_append_val (quarantine->entries, fresh);
  g_array_append_val (quarantine->tellings, tellings);
  return entry_at (quarantine, quarantine->entries->len - 1);
}

gboolean
quarantine_is_urgent (const QuarantineEntry *entry)
{
  return entry->end_count > 1 || entry->held_us;
}

void
quarantine_tell (Quarantine *quarantine, const QuarantineEntry *entry, gboolean urgent)
{
  guint i = (guint)(entry - entry_at (quarantine, 0));

  g_array_index (quarantine->tellings, guint, i) =
      urgent ? QUARANTINE_TELLINGS_URGENT : QUARANTINE_TELLINGS;
}

/* Where an end belongs in the order of time. */
static guint
place_of (const QuarantineEntry *entry, const QuarantineEnd *end)
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
  guint place = place_of (entry, end);

  memmove (&entry->ends[place + 1], &entry->ends[place],
           (entry->end_count - place) * sizeof *entry->ends);
  entry->ends[place] = *end;
  entry->end_count++;
}

/* Of more ends than are kept, those with the lowest numbers stay, on each node the same.
 */
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
quarantine_hold (Quarantine *quarantine, QuarantineEntry *entry, gint64 at_us)
{
  entry->held_us = at_us;
  entry->due_us = at_us;
  if (quarantine->changed)
    quarantine->changed (entry, quarantine->data);
}

/* An end of one that is held back is nobody else's. */
static gboolean
any_is_held (const Quarantine *quarantine, const GArray *requests)
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
blame (Quarantine *quarantine,
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
    entry = quarantine_make (quarantine, &rank);
  if (!entry)
    return;
  entry->version = version;
  if (quarantine_add_end (entry, end))
    quarantine_tell (quarantine, entry, quarantine_is_urgent (entry));
}

void
quarantine_note_end (Quarantine *quarantine,
                     guint32 end,
                     guint32 service,
                     guint32 version,
                     const GArray *requests)
{
  QuarantineEnd fact = { end, clock_now (quarantine->clock) };
  gboolean held = any_is_held (quarantine, requests);
  guint room = QUARANTINE_WORK_MAX;

  /* Those that are known already come first: with more at work than count, a request that
     ends one target after the other is counted each time once it has been counted. */
  for (guint known = 2; known-- > 0;)
    for (guint i = 0; i < requests->len && room > 0; i++)
      {
        const Fingerprint *request = &g_array_index (requests, Fingerprint, i);
        const QuarantineEntry *entry = quarantine_find (quarantine, request);

        if ((entry != NULL) != (known != 0) || (held && !(entry && entry->held_us)))
          continue;
        blame (quarantine, request, &fact, service, version);
        room--;
      }
  quarantine_tick (quarantine);
}

static void
clear_now (Quarantine *quarantine, QuarantineEntry *entry)
{
  gboolean urgent = quarantine_is_urgent (entry);

  quarantine_clear (quarantine, entry, entry->epoch + 1, clock_now (quarantine->clock));
  quarantine_tell (quarantine, entry, urgent);
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

  /* Most have one end: what they share with others need not be looked at. */
  if (entry->held_us || entry->end_count < QUARANTINE_ENDS ||
      quarantine_moments (quarantine, entry, &decisive_us) < QUARANTINE_ENDS ||
      now < decisive_us + QUARANTINE_SETTLE_US)
    return;
  quarantine_hold (quarantine, entry, now);
  quarantine_tell (quarantine, entry, TRUE);
}

static gboolean
is_old (const QuarantineEntry *entry, gint64 now)
{
  if (entry->held_us)
    return now > MAX (entry->last_end_us, entry->due_us) + QUARANTINE_PAUSE_MAX_US;
  if (entry->end_count > 0)
    return now > entry->last_end_us + QUARANTINE_MEMORY_US;
  return now > entry->cleared_us + QUARANTINE_CLEARED_US;
}

void
quarantine_tick (Quarantine *quarantine)
{
  gint64 now = clock_now (quarantine->clock);

  for (guint i = quarantine->entries->len; i-- > 0;)
    if (is_old (entry_at (quarantine, i), now))
      forget (quarantine, i);
  for (guint i = 0; i < quarantine->entries->len; i++)
    hold_if_settled (quarantine, entry_at (quarantine, i), now);
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
  verdict.state =
      quarantine_moments (quarantine, entry, &decisive_us) + 1 >= QUARANTINE_ENDS
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
set_due (Quarantine *quarantine, QuarantineEntry *entry, guint trials, gint64 due_us)
{
  entry->turn++;
  entry->trials = trials;
  entry->due_us = due_us;
  quarantine_tell (quarantine, entry, TRUE);
}

gboolean
quarantine_begin_trial (Quarantine *quarantine, const Fingerprint *request)
{
  QuarantineEntry *entry = quarantine_find (quarantine, request);
  gint64 now = clock_now (quarantine->clock);

  if (!entry || !entry->held_us || now < entry->due_us)
    return FALSE;
  set_due (quarantine, entry, entry->trials + 1, now + pause_after (entry->trials + 1));
  return TRUE;
}

void
quarantine_trial_undecided (Quarantine *quarantine, const Fingerprint *request)
{
  QuarantineEntry *entry = quarantine_find (quarantine, request);

  if (!entry || !entry->held_us || entry->trials == 0 ||
      entry->turn >= UNDECIDED_TURNS_MAX)
    return;
  set_due (quarantine, entry, entry->trials - 1,
           clock_now (quarantine->clock) + QUARANTINE_PAUSE_UNDECIDED_US);
}

void
quarantine_note_version (Quarantine *quarantine, guint32 service, guint32 version)
{
  for (guint i = 0; i < quarantine->entries->len; i++)
    {
      QuarantineEntry *entry = entry_at (quarantine, i);

      if (entry->service != service || !entry->held_us || entry->version == version ||
          entry->version == 0)
        continue;
      entry->version = version;
      if (entry->trials < TRIALS_EARLY)
        set_due (quarantine, entry, entry->trials, clock_now (quarantine->clock));
    }
}

gboolean
quarantine_lift (Quarantine *quarantine, const char *digits)
{
  QuarantineEntry *found = NULL;

  for (guint i = 0; i < quarantine->entries->len; i++)
    {
      QuarantineEntry *entry = entry_at (quarantine, i);
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
