/*
 * The event loop of a process: descriptors (apr_pollset) and timers, one thread.
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

/* Runs before each wait; returns the longest wait it allows in microseconds, or -1. */
typedef gint64 (*LoopPrepareFunc) (gpointer data);

/* What a turn of the loop cost: all that ran between two waits. */
typedef struct
{
  gint64 cpu_us;  /* of the loop's thread */
  gint64 took_us; /* by the clock */
} LoopTurn;

typedef void (*LoopTurnFunc) (const LoopTurn *turn, gpointer data);

/* A turn is long from here on: at a tenth of a core 20 ms of processor time are 200 ms in
   which nobody else gets an answer. */
#define LOOP_TURN_LONG_CPU_US (20 * MS_US)
#define LOOP_TURN_LONG_US (100 * MS_US)

/* The clock is borrowed. NULL when the machine gives no pollset. */
Loop *loop_create (Clock *clock);
void loop_destroy (Loop *loop);
Clock *loop_clock (Loop *loop);

/* Runs until loop_quit; every callback runs inside. */
void loop_run (Loop *loop);
void loop_quit (Loop *loop);

void loop_add_prepare (Loop *loop, LoopPrepareFunc func, gpointer data);
void loop_remove_prepare (Loop *loop, gpointer data);

/* Is told of each long turn at its end; NULL for nobody. */
void loop_set_turn_func (Loop *loop, LoopTurnFunc func, gpointer data);

/* Watches a descriptor, which stays the caller's to close, after loop_fd_destroy. */
LoopFd *
loop_fd_create (Loop *loop, int fd, LoopEvents events, LoopFdFunc func, gpointer data);
void loop_fd_set (LoopFd *watch, LoopEvents events);
void loop_fd_destroy (LoopFd *watch);

/* A one-shot timer; starting it again moves it. */
LoopTimer *loop_timer_create (Loop *loop, LoopTimerFunc func, gpointer data);
void loop_timer_start (LoopTimer *timer, gint64 delay_us);
void loop_timer_stop (LoopTimer *timer);
/* Whether it has been started and has not fired since. */
gboolean loop_timer_is_started (const LoopTimer *timer);
void loop_timer_destroy (LoopTimer *timer);

#endif
