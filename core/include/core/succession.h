/*
 * Which start of a target is the present one, by its heartbeats. Each start has a name of
 * its own, and heartbeats of a start that has crashed may come seconds late, also after
 * the next has registered and after the node itself has started anew.
 *
 * Rule: another name takes over at once, for a crash is not announced. The one that it
 * replaces comes back only if it goes on: twice more, while the other is silent. One that
 * has said that it ends never does.
 */
#ifndef CORE_SUCCESSION_H
#define CORE_SUCCESSION_H

#include <core/clock.h>

typedef struct Succession Succession;

typedef enum
{
  SUCCESSION_LATE, /* says nothing: older than what is known, or of a start that is over
                    */
  SUCCESSION_SAME, /* the present start goes on */
  SUCCESSION_NEXT  /* it is the present start from now on */
} SuccessionAnswer;

/* `clock` is borrowed. */
Succession *succession_create (Clock *clock);
void succession_destroy (Succession *succession);

/* A heartbeat; `sequence` rises with each of one start. */
SuccessionAnswer
succession_beat (Succession *succession, const char *name, gint64 sequence);

/* A start has said that it ends. */
void succession_end (Succession *succession, const char *name);

/* The present start's name; NULL before the first heartbeat. */
const char *succession_present (const Succession *succession);

#endif
