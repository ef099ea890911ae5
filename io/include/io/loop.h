/*
 * The event loop of a process: file descriptors (apr_pollset) and timers on one thread.
 */
#ifndef IO_LOOP_H
#define IO_LOOP_H

#include <core/clock.h>
#include <glib.h>

typedef struct Loop Loop;
typedef struct LoopFd LoopFd;
typedef struct LoopTimer LoopTimer;

typedef enum
{
  LOOP_READ = 1 << 0,
  LOOP_WRITE = 1 << 1
} LoopEvents;

typedef void (*LoopFdFunc) (int fd, LoopEvents ready, gpointer data);
typedef void (*LoopTimerFunc) (gpointer data);

/* Called before each wait. Returns the longest wait that it allows, in microseconds, or
   -1 for no bound. */
typedef gint64 (*LoopPrepareFunc) (gpointer data);

/* The cost of one turn of the loop, which is everything that ran between two waits. */
typedef struct
{
  gint64 cpu_us;  /* processor time of the loop's thread */
  gint64 took_us; /* elapsed time, by the loop's clock */
} LoopIteration;

typedef void (*LoopIterationFunc) (const LoopIteration *turn, gpointer data);

/* Turns that reach one of these bounds are reported as long. On a tenth of a core, 20 ms
   of processor time take 200 ms, in which no other request is answered. */
#define LOOP_ITERATION_LONG_CPU_US (20 * MS_US)
#define LOOP_ITERATION_LONG_US (100 * MS_US)

/* The clock is borrowed. Returns NULL if no pollset can be created. */
Loop *loop_create (Clock *clock);
void loop_destroy (Loop *loop);
Clock *loop_clock (Loop *loop);

/* Runs until loop_quit. All callbacks are called from within this function. */
void loop_run (Loop *loop);
void loop_quit (Loop *loop);

void loop_add_prepare (Loop *loop, LoopPrepareFunc func, gpointer data);
/* Removes the first function that was added with `data`. */
void loop_remove_prepare (Loop *loop, gpointer data);

/* Sets the function that is called at the end of each long turn; NULL for none. */
void loop_set_iteration_func (Loop *loop, LoopIterationFunc func, gpointer data);

/* Watches a descriptor. The caller keeps it and closes it after loop_fd_destroy. */
LoopFd *
loop_fd_create (Loop *loop, int fd, LoopEvents events, LoopFdFunc func, gpointer data);
void loop_fd_set (LoopFd *watch, LoopEvents events);
void loop_fd_destroy (LoopFd *watch);

/* Creates a one-shot timer that is stopped. Starting a started timer moves it. */
LoopTimer *loop_timer_create (Loop *loop, LoopTimerFunc func, gpointer data);
void loop_timer_start (LoopTimer *timer, gint64 delay_us);
void loop_timer_stop (LoopTimer *timer);
/* Returns whether the timer is started and has neither fired nor been stopped. */
gboolean loop_timer_is_started (const LoopTimer *timer);
void loop_timer_destroy (LoopTimer *timer);

#endif
