/*
 * Admission at a sidecar, where the count is exact: slots, a limit that shrinks below
 * them while the target is slower than it was, and a short queue in which nothing waits
 * that could not start in time; what is on time still goes before what is late.
 */
#ifndef CORE_ADMISSION_H
#define CORE_ADMISSION_H

#include <core/warmup.h>

typedef struct Admission Admission;

typedef enum
{
  ADMISSION_START,  /* a slot has been taken */
  ADMISSION_QUEUED, /* `item` waits; it comes back from admission_next or _expired */
  ADMISSION_REFUSED
} AdmissionAnswer;

Admission *admission_create (guint slots, guint queue_max, Clock *clock);
void admission_destroy (Admission *admission);

/* New settings; what is in flight or waits is left alone. */
void admission_resize (Admission *admission, guint slots, guint queue_max);

/* Whether the limit follows the target's speed; it does at first. */
void admission_set_adaptive (Admission *admission, gboolean adaptive);

/* Bounds starts while the target is cold; borrowed, and NULL for no bound. */
void admission_set_warmup (Admission *admission, Warmup *warmup);

/* Whether a request offered now would start at once. */
gboolean admission_is_free (const Admission *admission);

/* What a request asks of the admission; times are on the sidecar's clock. */
typedef struct
{
  guint priority; /* 0 first */
  gint64 deadline_us;
  gint64 start_by_us; /* it had better be refused than start later; 0 for no such bound */
  gint64 on_time_by_us; /* started later, its answer is late; 0 for no objective */
} AdmissionOrder;

/* Takes a slot for a request that is still to come; FALSE when none is free. It is given
   back by admission_release, by the request or in its place. */
gboolean admission_hold (Admission *admission);

/*
 * Takes a slot whether one is free or not, for a trial: a target whose slots are all held
 * by work that hangs shows in no other way that it is well again. FALSE when the target
 * is cold and has been given as much as it bears.
 */
gboolean admission_force (Admission *admission);

/* Asks for a slot. */
AdmissionAnswer
admission_offer (Admission *admission, gpointer item, const AdmissionOrder *order);

/* An item that made room for one of a higher priority in a full queue, or NULL. */
gpointer admission_displaced (Admission *admission);

/* Gives a slot back; `took_us` is what the target needed, -1 when it says nothing. */
void admission_release (Admission *admission, gint64 took_us);

/* The next item whose turn it is, with its slot taken; NULL when none may start. */
gpointer admission_next (Admission *admission);

/* A waiting item whose time is over, taken out; NULL when there is none. */
gpointer admission_expired (Admission *admission);

/* Takes a waiting item out; FALSE when it does not wait. */
gboolean admission_withdraw (Admission *admission, gpointer item);

guint admission_in_use (const Admission *admission);
guint admission_queued (const Admission *admission);
/* Slots that may be in use; no more than are, while a cold target is given nothing. */
guint admission_limit (const Admission *admission);
/* When to come back: about the time that what is ahead will need. */
gint64 admission_retry_after_us (const Admission *admission);
/* When the first waiting item's time is over, or -1. */
gint64 admission_next_expiry_us (const Admission *admission);

#endif
