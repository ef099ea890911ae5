/*
 * What the files of the quarantine share: quarantine.c the entries and what is known of
 * them, quarantine-blame.c which request an end counts against, quarantine-news.c what
 * nodes tell each other.
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

/* The entry of a request, or NULL; and one that is made where there is none. Pointers
   hold until the next entry is made or forgotten. */
QuarantineEntry *quarantine_find (const Quarantine *quarantine,
                                  const Fingerprint *request);
QuarantineEntry *
quarantine_obtain (Quarantine *quarantine, const Fingerprint *request, guint32 service);

/* Adds an end, unless it is known; TRUE when it was news. */
gboolean quarantine_add_end (QuarantineEntry *entry, const QuarantineEnd *end);
/* Takes all back that counted against it: a later epoch begins, which did so then. */
void quarantine_clear (Quarantine *quarantine,
                       QuarantineEntry *entry,
                       guint32 epoch,
                       gint64 at_us);
/* It is held back since then. */
void quarantine_hold (Quarantine *quarantine, QuarantineEntry *entry, gint64 at_us);

/* The entry has changed and is to be told. */
void quarantine_tell (Quarantine *quarantine, const QuarantineEntry *entry);

/* The moments at which ends count against it; and the last of the first QUARANTINE_ENDS.
 */
guint quarantine_moments (const Quarantine *quarantine,
                          const QuarantineEntry *entry,
                          gint64 *decisive_us);

#endif
