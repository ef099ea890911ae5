/*
 * How fast a cold target is given work.
 *
 * Load pattern: a data hall is taken back, or a hall's targets return from a power cut,
 * all of them cold, while the others are full: everything falls on them at once, and a
 * cold target falls over well above the rate that it bears.
 *
 * Rule: the node beside the target lets so many start a second and a few at once, for all
 * ingresses together: it sees every request that comes, also from nodes that have heard
 * nothing. A target of which nothing has been heard since it started, or since its hall
 * was taken back, is taken for cold.
 */
#ifndef CORE_WARMUP_H
#define CORE_WARMUP_H

#include <core/clock.h>

typedef struct Warmup Warmup;

/* Cold until it is said not to be. */
Warmup *warmup_create (Clock *clock);
void warmup_destroy (Warmup *warmup);

/* Requests a second that the target is given while it is cold, 0 for no bound, and how
   many at once; at least one. */
void warmup_set_rate (Warmup *warmup, double per_s, double burst);

/* The target says that it stays cold for so long; 0 for warm. */
void warmup_note (Warmup *warmup, gint64 cold_us);
/* It may have turned cold without a word: it is taken for cold until its next word. */
void warmup_assume_cold (Warmup *warmup);
/* Whether starts are bounded now. */
gboolean warmup_is_on (const Warmup *warmup);

/* Whether one more may start now. */
gboolean warmup_allows (const Warmup *warmup);
/* One starts; also counted while the target is warm, for it may turn cold meanwhile. */
void warmup_count_start (Warmup *warmup);
/* How long until one may start that has `ahead` others before it. */
gint64 warmup_wait_us (const Warmup *warmup, guint ahead);

#endif
