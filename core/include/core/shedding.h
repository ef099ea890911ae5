/*
 * Tracks whether a target refuses requests although it has free slots, or its sidecar
 * refuses them because the rate that the target has named is used up. The sidecar counts
 * a target's slots exactly, so that a single such refusal is significant. A refused
 * request has not run, so that a refusal costs no more than a retry; other targets are
 * preferred for a while.
 */
#ifndef CORE_SHEDDING_H
#define CORE_SHEDDING_H

#include <core/clock.h>

typedef struct Shedding Shedding;

/* `clock` is borrowed. */
Shedding *shedding_create (Clock *clock);
void shedding_destroy (Shedding *shedding);

/* Records that the target has refused a request, or its sidecar for the named rate. */
void shedding_note (Shedding *shedding);

/* Returns whether other targets should be preferred. */
gboolean shedding_is_on (const Shedding *shedding);

#endif
