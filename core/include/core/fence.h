/*
 * The fence: what a sidecar remembers of attempts that may run at most once.
 *
 * An attempt is started at most once, and an attempt that has been answered "not run"
 * is never started afterwards, without leases and without clocks that agree: every
 * message about an attempt carries the sidecar's incarnation and a reading of the
 * sidecar's own clock that its sender had seen before it first sent the attempt. A
 * reading that is too old is refused without an entry, so that entries may be
 * forgotten once no message that is still accepted can name them.
 *
 * model/fence.pml specifies this protocol; its transitions bear the names used here.
 */
#ifndef CORE_FENCE_H
#define CORE_FENCE_H

#include <core/clock.h>

/* One attempt's identity: unique for ever, since incarnations are never reused. */
typedef struct
{
  char *node;
  guint64 incarnation;
  guint64 counter;
} AttemptId;

AttemptId *attempt_id_copy (const AttemptId *id);
void attempt_id_free (AttemptId *id);
guint attempt_id_hash (gconstpointer id);
gboolean attempt_id_equal (gconstpointer a, gconstpointer b);

typedef struct Fence Fence;
typedef struct FenceEntry FenceEntry;

/* Bounds of a table. */
typedef struct
{
  gint64 window_us; /* how old a clock reading may be, and how long entries are kept */
  guint entries_max;
  gsize answers_max; /* bytes of answers kept for a later question */
} FenceLimits;

typedef enum
{
  FENCE_QUEUED,   /* known, not started: may still be fenced */
  FENCE_STARTED,  /* recorded before the first byte goes to the target */
  FENCE_FINISHED, /* the target's part is over, well or badly */
  FENCE_TOMBSTONE /* never ran and never will */
} FenceState;

typedef enum
{
  FENCE_NEW,   /* recorded as queued */
  FENCE_KNOWN, /* this attempt is in the table already: `entry` says how far it is */
  FENCE_INCARNATION, /* addressed to another incarnation, which alone could tell more */
  FENCE_STALE,       /* too old a reading: a copy of it may have run and been forgotten */
  FENCE_FULL         /* no room: never started, and never will be */
} FenceSubmit;

typedef enum
{
  FENCE_NOT_RUN, /* proof: it did not run and never will */
  FENCE_RUNNING,
  FENCE_OVER,   /* it ran; the entry may hold the answer */
  FENCE_UNKNOWN /* another incarnation's, or too old to tell */
} FenceVerdict;

/* `incarnation` is this sidecar's own; the clock is borrowed. */
Fence *fence_create (const FenceLimits *limits, guint64 incarnation, Clock *clock);
void fence_destroy (Fence *fence);
guint64 fence_incarnation (const Fence *fence);
guint fence_size (const Fence *fence);

/* Takes an attempt in. `entry` is set for FENCE_NEW and FENCE_KNOWN. */
FenceSubmit fence_submit (Fence *fence,
                          const AttemptId *id,
                          guint64 incarnation,
                          gint64 reading_us,
                          FenceEntry **entry);

/* Records the start; FALSE when the attempt may not start (any more). */
gboolean fence_start (FenceEntry *entry);

/* Records the end of a started attempt, with its answer (may be NULL) for later. */
void fence_finish (Fence *fence, FenceEntry *entry, GBytes *answer);

/* Turns a queued attempt into a tombstone. */
void fence_refuse (FenceEntry *entry);

/*
 * Answers a question about an attempt, and makes sure that what is answered "not run"
 * stays so. `reading_us` is the one that the attempt was first sent with. `entry` is
 * set where there is one.
 */
FenceVerdict fence_ask (Fence *fence,
                        const AttemptId *id,
                        guint64 incarnation,
                        gint64 reading_us,
                        FenceEntry **entry);

/* The entry of an attempt, or NULL; changes nothing. */
FenceEntry *fence_find (Fence *fence, const AttemptId *id);

FenceState fence_entry_state (const FenceEntry *entry);
const AttemptId *fence_entry_id (const FenceEntry *entry);
/* The answer that was kept, or NULL. */
GBytes *fence_entry_answer (const FenceEntry *entry);
/* The owner's own pointer, NULL at first. */
gpointer fence_entry_data (const FenceEntry *entry);
void fence_entry_set_data (FenceEntry *entry, gpointer data);

#endif
