/*
 * Which start of a target is the present one, by its heartbeats. Each start has a name of
 * its own: the target's identifier, and the time of its start where it says one, for a
 * target may start again under the identifier that it had. Heartbeats of a start that has
 * crashed may come seconds late, also after the next has registered and after the node
 * itself has started anew.
 *
 * Rule: another name takes over at once, for a crash is not announced. The one that it
 * replaces comes back only if it goes on: twice more, while the other is silent. One that
 * has said that it ends never does, nor does one of the same identifier that began
 * earlier.
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

/*
 * The name of a start: the identifier alone where `born`, the Unix millisecond of its
 * start, is 0. The caller frees it.
 */
char *succession_name (const char *identifier, gint64 born);
/* The identifier in a start's name; the caller frees it. */
char *succession_identifier (const char *name);

/* A heartbeat of the start of that name; `sequence` rises with each of one start. */
SuccessionAnswer
succession_beat (Succession *succession, const char *name, gint64 sequence);

/* A start has said that it ends. */
void succession_end (Succession *succession, const char *name);

/* The present start's name; NULL before the first heartbeat. */
const char *succession_present (const Succession *succession);

#endif
