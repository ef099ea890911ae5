/*
 * Rate limit for the starts of requests at one target: a token bucket for each source of
 * a rate. A request may start when every source that is in force allows it.
 *
 * Load patterns: a data hall is taken back after an evacuation, or the targets of a hall
 * return from a power cut. All of them are cold while the other targets are full, so the
 * whole excess load reaches them at once, and a cold target fails well above the rate
 * that it can serve. Or a target in need names the rate that it takes from the whole
 * fleet (core/named-rate.h), while its slots are free and draw more.
 *
 * Rule: the target's sidecar limits starts to a rate and a burst, for all ingresses
 * together, because every request passes through it, including those from nodes that do
 * not know of the limit. A target that has not reported since it started, or since its
 * hall was taken back, is assumed to be cold.
 */
#ifndef CORE_START_LIMIT_H
#define CORE_START_LIMIT_H

#include <core/clock.h>

typedef struct StartLimit StartLimit;

/* The target is assumed to be cold until start_limit_note_cold. `clock` is borrowed. */
StartLimit *start_limit_create (Clock *clock);
void start_limit_destroy (StartLimit *limit);

/* Sets the limit while the target is cold: starts per second, 0 for no limit, and the
   burst, raised to 1 if it is smaller. */
void start_limit_set_cold_rate (StartLimit *limit, double per_s, double burst);

/* Records a report of the target that it stays cold for `cold_us`; 0 means warm. */
void start_limit_note_cold (StartLimit *limit, gint64 cold_us);
/* Assumes the target to be cold until the next start_limit_note_cold. */
void start_limit_assume_cold (StartLimit *limit);
/* Returns whether starts are limited because the target is cold. */
gboolean start_limit_is_cold (const StartLimit *limit);

/* Limits starts to the rate that the target names, from an empty bucket on if it has
   named none so far. The burst is small: what the target takes in 250 ms, at least
   one request. Rates under one in 10 s count as that, because only an answer of the
   target can end the limit. */
void start_limit_set_named_rate (StartLimit *limit, double per_s);
void start_limit_end_named_rate (StartLimit *limit);
/* Returns whether no more may start now because of the named rate. */
gboolean start_limit_named_is_used_up (const StartLimit *limit);

/* Returns whether one more may start now. */
gboolean start_limit_allows (const StartLimit *limit);
/* Records a start. Starts at a warm target count too, because it may become cold while
   they run. */
void start_limit_count (StartLimit *limit);
/* Returns the time until a request with `ahead` others before it may start. */
gint64 start_limit_wait_us (const StartLimit *limit, guint ahead);

#endif
