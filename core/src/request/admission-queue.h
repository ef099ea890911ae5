/*
 * The queue before a target's slots.
 *
 * Load pattern: for some seconds more comes than the slots can do (a burst, a part of the
 * targets lost, everyone back after a power cut). In the order of arrival, what has piled
 * up by the end of it makes all that follows late, for as long as the queue takes to run
 * dry.
 *
 * Rule: what can still be answered within its objective goes first, by priority and then
 * by arrival. What is late already gets the slots that are left over, in the same order:
 * it is served as soon as the load allows, and delays nothing that is not late yet.
 */
#ifndef CORE_REQUEST_ADMISSION_QUEUE_H
#define CORE_REQUEST_ADMISSION_QUEUE_H

#include <core/admission.h>

typedef struct AdmissionQueue AdmissionQueue;

AdmissionQueue *admission_queue_create (void);
void admission_queue_destroy (AdmissionQueue *queue);

guint admission_queue_length (const AdmissionQueue *queue);

/* How many of those that wait would start before one of this order. */
guint admission_queue_ahead (const AdmissionQueue *queue,
                             const AdmissionOrder *order,
                             gint64 now_us);

void
admission_queue_add (AdmissionQueue *queue, gpointer item, const AdmissionOrder *order);

/* The next to start, taken out; NULL when nothing waits. */
gpointer admission_queue_take (AdmissionQueue *queue, gint64 now_us);

/* One that matters less than `order`, taken out to make room for it; NULL for none. */
gpointer admission_queue_displace (AdmissionQueue *queue,
                                   const AdmissionOrder *order,
                                   gint64 now_us);

/* One that cannot be served any more, for work takes at least `least_us`, taken out. */
gpointer
admission_queue_take_expired (AdmissionQueue *queue, gint64 now_us, gint64 least_us);

/* FALSE when it does not wait. */
gboolean admission_queue_withdraw (AdmissionQueue *queue, gpointer item);

/* The first deadline of all that wait, or -1. */
gint64 admission_queue_first_deadline_us (const AdmissionQueue *queue);

#endif
