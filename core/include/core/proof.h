/*
 * Whether a target has lately kept what it was sent.
 *
 * Load pattern: spells of seconds, begun without a warning, in which a target breaks off
 * at once what it is sent. The first request into each is lost, and where that may not be
 * repeated its caller is told that nobody knows whether it ran.
 *
 * Rule: unrepeatable work goes to targets that have kept a request a moment ago;
 * repeatable work, which can be tried elsewhere, goes to any, and so shows which do.
 *
 * Limits: a break comes within a round trip (1.3 ms at the users' targets), so that what
 * has been kept for 10 ms is kept. With six requests a second at a target six in ten have
 * had one in the last 150 ms, and five are asked at the most: in a simulation of 40
 * targets, three in ten of them in spells of 9 s, 90 of 250 first requests are lost then
 * (151 with three questions and 100 ms), for 0.7 more questions a request.
 */
#ifndef CORE_PROOF_H
#define CORE_PROOF_H

#include <core/clock.h>

/* A zeroed one knows of no request. */
typedef struct
{
  gint64 started_us; /* when the last request was sent; 0 for none */
  gint64 kept_us;    /* when the last one was sent that has been kept; 0 for none */
} Proof;

void proof_note_start (Proof *proof, gint64 now_us);

/* The target has failed: what it kept before says nothing any more. */
void proof_note_failure (Proof *proof);

gboolean proof_is_fresh (const Proof *proof, gint64 now_us);

#endif
