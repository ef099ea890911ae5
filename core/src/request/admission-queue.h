/*
 * The queue for a target's slots.
 *
 * Load pattern: for some seconds more requests arrive than the slots can serve (a burst,
 * a loss of targets, all callers returning after a power cut). If requests were served in
 * order of arrival, the backlog would make all later ones late as well, until the queue
 * has drained.
 *
 * Rule: requests that can still be answered within their objective start first, by
 * priority and then by arrival. Requests that are already late get the remaining slots,
 * in the same order, so they do not delay requests that are still on time. While requests
 * of several priorities wait, the lower ones together get a share of the starts, by their
 * latest start, and of the places, so that a lasting load of a higher priority does not
 * starve them: half of their share of the offers, but at most one in
 * ADMISSION_LOWER_TURN.
 */
#ifndef CORE_REQUEST_ADMISSION_QUEUE_H
#define CORE_REQUEST_ADMISSION_QUEUE_H

#include <core/admission.h>

/* Of its expected service time a request must have this much left to be started. With the
   latency spread of the reference deployment, three in four requests take longer. */
#define ADMISSION_MIN_SERVICE_PERCENT 70

/* Starts of which lower priorities get one: the least and the most. The least also gives
   their share of the places. */
#define ADMISSION_LOWER_TURN 4u
#define ADMISSION_LOWER_TURN_MAX 32u

typedef struct AdmissionQueue AdmissionQueue;

AdmissionQueue *admission_queue_create (void);
void admission_queue_destroy (AdmissionQueue *queue);

guint admission_queue_length (const AdmissionQueue *queue);

/* Counts a request that is offered while the slots are in use, for the shares. */
void admission_queue_note_offer (AdmissionQueue *queue, guint priority);

/* Returns the number of queued items that would start before a request with `order`. */
guint admission_queue_ahead (const AdmissionQueue *queue,
                             const AdmissionParams *order,
                             gint64 now_us);

void
admission_queue_add (AdmissionQueue *queue, gpointer item, const AdmissionParams *order);

/* Removes the next item to start; NULL if the queue is empty. */
gpointer admission_queue_take (AdmissionQueue *queue, gint64 now_us);

/* Removes an item that would start after a request with `order`, to make room for it;
   NULL if there is none. */
gpointer admission_queue_displace (AdmissionQueue *queue,
                                   const AdmissionParams *order,
                                   gint64 now_us);

/* Removes an item whose latest start has passed or whose deadline is less than
   `min_service_us`, the minimum service time, away; NULL if there is none. */
gpointer admission_queue_take_expired (AdmissionQueue *queue,
                                       gint64 now_us,
                                       gint64 min_service_us);

/* Removes `item`; FALSE if it is not queued. */
gboolean admission_queue_withdraw (AdmissionQueue *queue, gpointer item);

/* Returns the earliest deadline in the queue, or -1 if it is empty. */
gint64 admission_queue_first_deadline_us (const AdmissionQueue *queue);

#endif
