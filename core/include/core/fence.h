/*
 * The fence: a sidecar's table of attempts that may run at most once.
 *
 * An attempt is started at most once, and an attempt that was reported as not run is
 * never started afterwards. This needs neither leases nor synchronised clocks: every
 * message about an attempt carries the sidecar's incarnation and a reading of the
 * sidecar's own clock that the sender obtained before it first sent the attempt. Messages
 * with too old a reading are refused without an entry, so an entry can be deleted once no
 * acceptable message can refer to it.
 *
 * model/fence.pml specifies this protocol; its transitions have the names used here.
 */
#ifndef CORE_FENCE_H
#define CORE_FENCE_H

#include <core/clock.h>

/* Identifies an attempt. Never reused, because a node never reuses an incarnation. */
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

typedef struct
{
  gint64 window_us; /* maximum age of a clock reading, and lifetime of an entry */
  guint entries_max;
  gsize answers_max; /* bytes of answers kept for later queries */
} FenceLimits;

typedef enum
{
  FENCE_QUEUED,   /* not started: may still be fenced */
  FENCE_STARTED,  /* recorded before the first byte goes to the target */
  FENCE_FINISHED, /* the exchange with the target ended, successfully or not */
  FENCE_TOMBSTONE /* never ran and never will */
} FenceState;

typedef enum
{
  FENCE_NEW,               /* recorded as queued */
  FENCE_KNOWN,             /* the attempt has an entry, whose state tells how far it is */
  FENCE_WRONG_INCARNATION, /* addressed to another incarnation, which alone knows its
                              state */
  FENCE_STALE, /* reading too old: a copy may have run and its entry be deleted */
  FENCE_FULL   /* table full: the attempt never ran and never will */
} FenceSubmit;

typedef enum
{
  FENCE_NOT_RUN, /* proof that the attempt did not run and never will */
  FENCE_RUNNING,
  FENCE_RAN,    /* the attempt ran; the entry may hold the answer */
  FENCE_UNKNOWN /* addressed to another incarnation, or the reading is too old */
} FenceVerdict;

/* `incarnation` is this sidecar's own. `clock` is borrowed and must outlive the fence. */
Fence *fence_create (const FenceLimits *limits, guint64 incarnation, Clock *clock);
void fence_destroy (Fence *fence);
guint64 fence_incarnation (const Fence *fence);
guint fence_size (const Fence *fence);

/* Adds an attempt. `entry`, which the fence owns, is set for FENCE_NEW and FENCE_KNOWN
   and NULL otherwise. An attempt whose reading lies in the future of this sidecar's clock
   is recorded as a tombstone and reported as FENCE_KNOWN. */
FenceSubmit fence_submit (Fence *fence,
                          const AttemptId *id,
                          guint64 incarnation,
                          gint64 reading_us,
                          FenceEntry **entry);

/* Records the start. Returns FALSE if the attempt must not start. */
gboolean fence_start (FenceEntry *entry);

/* Records the end of a started attempt. Keeps a reference to `answer`, which may be NULL,
   unless it alone exceeds `answers_max`; the oldest answers are dropped to make room. */
void fence_finish (Fence *fence, FenceEntry *entry, GBytes *answer);

/* Turns a queued attempt into a tombstone. */
void fence_refuse (FenceEntry *entry);

/*
 * Tells whether an attempt ran, and prevents an attempt reported as FENCE_NOT_RUN from
 * starting later. `reading_us` is the reading that the attempt was first sent with.
 * `entry` is set to the attempt's entry, or to NULL if it has none.
 */
FenceVerdict fence_ask (Fence *fence,
                        const AttemptId *id,
                        guint64 incarnation,
                        gint64 reading_us,
                        FenceEntry **entry);

/* Returns the entry of an attempt, or NULL. */
FenceEntry *fence_find (Fence *fence, const AttemptId *id);

FenceState fence_entry_state (const FenceEntry *entry);
const AttemptId *fence_entry_id (const FenceEntry *entry);
/* Returns the kept answer, which the entry owns, or NULL. */
GBytes *fence_entry_answer (const FenceEntry *entry);
/* A pointer for the fence's user; initially NULL. */
gpointer fence_entry_data (const FenceEntry *entry);
void fence_entry_set_data (FenceEntry *entry, gpointer data);

#endif
