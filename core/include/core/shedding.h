/*
 * Whether a target turns work away though it has free slots. The sidecar counts its slots
 * exactly, so that one such refusal is telling. It costs no harm, for what was turned
 * away has not run, but a try; others are asked first for a while.
 */
#ifndef CORE_SHEDDING_H
#define CORE_SHEDDING_H

#include <core/clock.h>

typedef struct Shedding Shedding;

/* `clock` is borrowed. */
Shedding *shedding_create (Clock *clock);
void shedding_destroy (Shedding *shedding);

/* The target has turned a request away. */
void shedding_note (Shedding *shedding);

/* Whether others should be asked first. */
gboolean shedding_is_on (const Shedding *shedding);

#endif
