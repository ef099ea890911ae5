/*
 * Rate limit for the starts of requests at a cold target: a token bucket.
 *
 * Load pattern: a data hall is taken back after an evacuation, or the targets of a hall
 * return from a power cut. All of them are cold while the other targets are full, so the
 * whole excess load reaches them at once, and a cold target fails well above the rate
 * that it can serve.
 *
 * Rule: the target's sidecar limits starts to a rate and a burst, for all ingresses
 * together, because every request passes through it, including those from nodes that do
 * not know that the target is cold. A target that has not reported since it started, or
 * since its hall was taken back, is assumed to be cold.
 */
#ifndef CORE_WARMUP_H
#define CORE_WARMUP_H

#include <core/clock.h>

typedef struct Warmup Warmup;

/* The target is assumed to be cold until warmup_note_report. `clock` is borrowed. */
Warmup *warmup_create (Clock *clock);
void warmup_destroy (Warmup *warmup);

/* Sets the limit while the target is cold: starts per second, 0 for no limit, and the
   burst, raised to 1 if it is smaller. */
void warmup_set_rate (Warmup *warmup, double per_s, double burst);

/* Records a report of the target that it stays cold for `cold_us`; 0 means warm. */
void warmup_note_report (Warmup *warmup, gint64 cold_us);
/* Assumes the target to be cold until the next warmup_note_report. */
void warmup_assume_cold (Warmup *warmup);
/* Returns whether starts are limited now. */
gboolean warmup_is_limiting (const Warmup *warmup);

/* Returns whether one more may start now. */
gboolean warmup_allows (const Warmup *warmup);
/* Records a start. Starts at a warm target count too, because it may become cold while
   they run. */
void warmup_count_start (Warmup *warmup);
/* Returns the time until a request with `ahead` others before it may start. */
gint64 warmup_wait_us (const Warmup *warmup, guint ahead);

#endif
