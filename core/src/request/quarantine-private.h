/*
 * What the files of the quarantine share: quarantine.c what becomes of a request,
 * quarantine-list.c the entries and what is kept of them, quarantine-blame.c which
 * request an end counts against, quarantine-news.c what nodes tell each other.
 */
#ifndef CORE_QUARANTINE_PRIVATE_H
#define CORE_QUARANTINE_PRIVATE_H

#include <core/quarantine.h>

struct Quarantine
{
  Clock *clock;
  GArray *entries;  /* of QuarantineEntry */
  GArray *tellings; /* of guint, one for each entry: how often it is still to be told */
  guint next_some;
  QuarantineChanged changed;
  gpointer data;
};

QuarantineEntry *quarantine_entry_at (const Quarantine *quarantine, guint i);
void quarantine_forget (Quarantine *quarantine, guint i);

/* The entry of a request, or NULL. Pointers hold until the next one is made or forgotten.
 */
QuarantineEntry *quarantine_find (const Quarantine *quarantine,
                                  const Fingerprint *request);
/* One for a request that has none; `rank` says what it is and what will be known of it.
   NULL where the list is full of what matters more. */
QuarantineEntry *quarantine_make (Quarantine *quarantine, const QuarantineEntry *rank);

/* Adds an end, unless it is known; TRUE when it was news. */
gboolean quarantine_add_end (QuarantineEntry *entry, const QuarantineEnd *end);
/* Takes all back that counted against it: a later epoch begins, which did so then. */
void quarantine_clear (Quarantine *quarantine,
                       QuarantineEntry *entry,
                       guint32 epoch,
                       gint64 at_us);
/* It is held back since then. */
void quarantine_hold (Quarantine *quarantine, QuarantineEntry *entry, gint64 at_us);

/* So often news is told to others: what is urgent, and what is not. What gets lost is
   mended by digests. */
#define QUARANTINE_TELLINGS_URGENT 12u
#define QUARANTINE_TELLINGS 4u

/* The entry has changed and is to be told. */
void
quarantine_tell (Quarantine *quarantine, const QuarantineEntry *entry, gboolean urgent);
/* Whether what is known of it by now is urgent. */
gboolean quarantine_is_urgent (const QuarantineEntry *entry);

/* The moments at which ends count against it; and the last of the first QUARANTINE_ENDS.
 */
guint quarantine_moments (const Quarantine *quarantine,
                          const QuarantineEntry *entry,
                          gint64 *decisive_us);

#endif
