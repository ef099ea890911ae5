/*
 * Whether a target that says nothing hangs: how likely it would be, were it well, that
 * none of what runs there has been answered since its last answer.
 */
#ifndef CORE_SILENCE_H
#define CORE_SILENCE_H

#include <core/latency.h>

typedef struct
{
  double log_probability; /* natural; 0 in the beginning */
} Silence;

/*
 * Takes in one request that runs: how long it has, and for how long it had when the
 * target last answered anything (0 if it began later). Routes that are not known say
 * nothing, nor does a request that was overdue then already, for the target has answered
 * others since.
 */
void
silence_add (Silence *silence, const LatencyFit *fit, gint64 age_us, gint64 age_then_us);

/* Whether that is too unlikely for a target that is well. */
gboolean silence_tells (const Silence *silence);

/* Whether a request is so late that another had better be sent beside it. */
gboolean silence_is_late (const LatencyFit *fit, gint64 age_us);
/* The age from which it is; for a fit that is known. */
gint64 silence_late_us (const LatencyFit *fit);

/* Whether one request alone has taken longer than its route's answers do. */
gboolean silence_is_overdue (const LatencyFit *fit, gint64 age_us);

#endif
