/*
 * The runtime's clock: microseconds that never go back, which tests pause and advance.
 * They count the time for which the machine is suspended. Never wall-clock time, and
 * never compared between nodes.
 */
#ifndef CORE_CLOCK_H
#define CORE_CLOCK_H

#include <glib.h>

#define MS_US G_GINT64_CONSTANT (1000)
#define SECOND_US G_GINT64_CONSTANT (1000000)

typedef struct Clock Clock;

/* The machine's time since it was started. */
Clock *clock_create_boottime (void);

/* A clock that stands at `now_us` until it is told to move. */
Clock *clock_create_manual (gint64 now_us);

void clock_destroy (Clock *clock);

/* Microseconds since an arbitrary origin; never goes back. */
gint64 clock_now (Clock *clock);

/* Processor time that the calling thread has used, in microseconds. */
gint64 clock_thread_cpu (void);

/* Moves a manual clock forward; the machine's ignores it. */
void clock_advance (Clock *clock, gint64 by_us);

/* Lets each reading of a manual clock move it on, as time passes between two looks. */
void clock_set_step (Clock *clock, gint64 step_us);

#endif
