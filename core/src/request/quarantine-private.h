/*
 * Internals of the quarantine, shared by quarantine.c (verdicts and trials),
 * quarantine-list.c (the entries and their eviction), quarantine-blame.c (which request
 * an end counts against) and quarantine-updates.c (updates between nodes).
 */
#ifndef CORE_QUARANTINE_PRIVATE_H
#define CORE_QUARANTINE_PRIVATE_H

#include <core/quarantine.h>

struct Quarantine
{
  Clock *clock;
  GArray *entries;         /* of QuarantineEntry */
  GArray *remaining_sends; /* of guint, one per entry: how often its update is still to be
                              sent */
  guint next_part_start;
  QuarantineChanged changed;
  gpointer data;
};

QuarantineEntry *quarantine_entry_at (const Quarantine *quarantine, guint i);
void quarantine_remove_at (Quarantine *quarantine, guint i);

/* Returns the entry of a request, or NULL. The pointer is valid until an entry is added
   or removed. */
QuarantineEntry *quarantine_find (const Quarantine *quarantine,
                                  const Fingerprint *request);
/* Adds an entry for a request that has none. `rank` holds its identity and what will be
   known about it, for comparison with others. Returns NULL if the list is full of entries
   that matter more. */
QuarantineEntry *quarantine_add_entry (Quarantine *quarantine,
                                       const QuarantineEntry *rank);

/* Adds an end unless it is listed already. Returns TRUE if it was added. */
gboolean quarantine_add_end (QuarantineEntry *entry, const QuarantineEnd *end);
/* Clears the entry and begins `epoch`, at the time `at_us`. */
void quarantine_clear (Quarantine *quarantine,
                       QuarantineEntry *entry,
                       guint32 epoch,
                       gint64 at_us);
/* Quarantines the request as of `at_us`. */
void quarantine_set_held (Quarantine *quarantine, QuarantineEntry *entry, gint64 at_us);

/* How often an update is sent, if urgent and if not. Messages that get lost are repaired
   by the comparison of digests. */
#define QUARANTINE_SENDS_URGENT 12u
#define QUARANTINE_SENDS_NORMAL 4u

/* Schedules an entry's update to be sent after a change. */
void quarantine_schedule_update (Quarantine *quarantine,
                                 const QuarantineEntry *entry,
                                 gboolean urgent);
/* Returns whether what is known of the entry now is urgent. */
gboolean quarantine_is_urgent (const QuarantineEntry *entry);

/* Returns the number of distinct moments with an end that counts against the entry. Sets
   `decisive_us` to the QUARANTINE_ENDS_LIMIT-th of them, if there are that many. */
guint quarantine_count_moments (const Quarantine *quarantine,
                                const QuarantineEntry *entry,
                                gint64 *decisive_us);

#endif
