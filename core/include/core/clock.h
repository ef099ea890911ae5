/*
 * Monotonic clock in microseconds, which includes the time for which the machine is
 * suspended. Tests use a manual clock that they advance. Its readings are not wall-clock
 * time, except for clock_unix_ms, and readings of different nodes must not be compared.
 */
#ifndef CORE_CLOCK_H
#define CORE_CLOCK_H

#include <glib.h>

#define MS_US G_GINT64_CONSTANT (1000)
#define SECOND_US G_GINT64_CONSTANT (1000000)

typedef struct Clock Clock;

/* A clock that counts from the boot of the machine. */
Clock *clock_create_boottime (void);

/* A clock that stands at `now_us` until clock_advance. */
Clock *clock_create_manual (gint64 now_us);

void clock_destroy (Clock *clock);

/* Returns microseconds since an arbitrary origin; they never decrease. */
gint64 clock_now (Clock *clock);

/* Returns the time of day of this machine in Unix milliseconds, which may jump. Only for
   comparison with times that a process on the same machine has read. */
gint64 clock_unix_ms (Clock *clock);

/* Returns the processor time of the calling thread in microseconds. */
gint64 clock_thread_cpu (void);

/* Moves a manual clock forward; has no effect on a boot-time clock. */
void clock_advance (Clock *clock, gint64 by_us);

/* Makes each reading of a manual clock advance it, as time passes between two readings of
   a real one. */
void clock_set_step (Clock *clock, gint64 step_us);

#endif
