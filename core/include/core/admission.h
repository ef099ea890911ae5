/*
 * Admission control of one target at its sidecar, where the number of running requests is
 * exactly known. It has slots, a concurrency limit that falls below their number while
 * the target is slower than normal, and a short queue. Requests that could not start in
 * time are not queued, and queued requests that can still be on time start before late
 * ones.
 */
#ifndef CORE_ADMISSION_H
#define CORE_ADMISSION_H

#include <core/start-limit.h>

typedef struct Admission Admission;

typedef enum
{
  ADMISSION_START,  /* the request has a slot */
  ADMISSION_QUEUED, /* the item is queued, until admission_next, _expired, _displaced or
                       _withdraw removes it */
  ADMISSION_REFUSED
} AdmissionAnswer;

/* `clock` is borrowed and must outlive the admission. */
Admission *admission_create (guint slots, guint queue_max, Clock *clock);
void admission_destroy (Admission *admission);

/* Applies new settings. Running and queued requests are not affected. */
void admission_resize (Admission *admission, guint slots, guint queue_max);

/* Sets whether the limit adapts to the target's latency; initially it does. */
void admission_set_adaptive (Admission *admission, gboolean adaptive);

/* Sets the rate limit on starts; NULL for none. `start_limit` is
   borrowed. */
void admission_set_start_limit (Admission *admission, StartLimit *start_limit);

/* Returns whether a request offered now would start immediately. */
gboolean admission_is_free (const Admission *admission);

/* Priority and time limits of a request; times are on the sidecar's clock. */
typedef struct
{
  guint priority; /* 0 is the highest */
  gint64 deadline_us;
  gint64 start_by_us;   /* latest start, after which it is refused; 0 for none */
  gint64 on_time_by_us; /* latest start for an answer within the objective; 0 for none */
  gint64 service_us;    /* expected service time; 0 for that of the target's requests */
} AdmissionParams;

/* Reserves a slot for a request that has not arrived yet; FALSE if none is free. The
   caller gives it back by admission_release, whether the request comes or not. */
gboolean admission_hold (Admission *admission);

/*
 * Takes a slot for a trial even if none is free, because a target whose slots are all
 * occupied by hanging requests could not prove its recovery otherwise. FALSE if the
 * limit on starts is used up.
 */
gboolean admission_force (Admission *admission);

/* Requests a slot, or a place in the queue. */
AdmissionAnswer
admission_offer (Admission *admission, gpointer item, const AdmissionParams *order);

/* After ADMISSION_QUEUED: returns the item that was removed from a full queue to make
   room, or NULL. The next call returns NULL. */
gpointer admission_displaced (Admission *admission);

/* Releases a slot. `took_us` is the target's latency, or -1 if it is not to count. */
void admission_release (Admission *admission, gint64 took_us);

/* Removes the next item from the queue and takes a slot for it; NULL if none may start
   now. */
gpointer admission_next (Admission *admission);

/* Removes an item that can no longer start in time; NULL if there is none. */
gpointer admission_expired (Admission *admission);

/* Removes an item from the queue; FALSE if it is not queued. */
gboolean admission_withdraw (Admission *admission, gpointer item);

guint admission_in_use (const Admission *admission);
guint admission_queued (const Admission *admission);
/* Returns the concurrency limit; while the limit on starts is used up, the number of
   slots in use, but at least 1. */
guint admission_limit (const Admission *admission);
/* Returns a retry delay for the caller: the estimated wait at the end of the queue, at
   least 100 ms. */
gint64 admission_retry_after_us (const Admission *admission);
/* Returns the earliest deadline in the queue, or -1 if it is empty. */
gint64 admission_next_expiry_us (const Admission *admission);

#endif
