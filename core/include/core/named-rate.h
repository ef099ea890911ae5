/*
 * The request rate that a target names in its answers: which limit is in force at its
 * sidecar, and when it ends.
 *
 * Load pattern: a target in need states how many requests a second it takes from the
 * whole fleet, in each of its answers for as long as the limit holds. Answers cross: one
 * that was composed earlier may be received later.
 *
 * Rule: a limit is in force from the first answer that names it, and a lower rate from
 * the first answer with that rate. A higher rate, or an answer without one, counts only
 * if its request started after the last answer that confirmed the present limit. A
 * malformed rate changes nothing. A sidecar that has started while its target runs takes
 * the rate that ingresses remember, until the target's first answer.
 */
#ifndef CORE_NAMED_RATE_H
#define CORE_NAMED_RATE_H

#include <core/clock.h>

typedef struct NamedRate NamedRate;

/* What one answer says about the rate. */
typedef enum
{
  RATE_NOTICE_ABSENT,
  RATE_NOTICE_NAMED,
  RATE_NOTICE_MALFORMED
} RateNoticeKind;

typedef struct
{
  RateNoticeKind kind;
  double per_s; /* requests a second, for RATE_NOTICE_NAMED */
} RateNotice;

typedef enum
{
  NAMED_RATE_UNKNOWN, /* no answer of the target yet, and no ingress remembers a rate */
  NAMED_RATE_NONE,
  NAMED_RATE_IN_FORCE
} NamedRateState;

typedef enum
{
  NAMED_RATE_UNCHANGED,
  NAMED_RATE_BEGUN,
  NAMED_RATE_LOWERED,
  NAMED_RATE_RAISED,
  NAMED_RATE_ENDED
} NamedRateChange;

/* Parses a decimal number of requests a second: digits, and optionally a full stop and
   more digits. Anything else is malformed. */
RateNotice rate_notice_parse (const char *text);

/* NAMED_RATE_UNKNOWN at first. `clock` is borrowed. */
NamedRate *named_rate_create (Clock *clock);
void named_rate_destroy (NamedRate *rate);

/* Takes what an answer of the target says; its request started at `started_us`. */
NamedRateChange
named_rate_note_answer (NamedRate *rate, const RateNotice *notice, gint64 started_us);

/* Takes the rate that an ingress was told before this sidecar started. It has no effect
   once the target has answered, and the lowest counts until then. */
NamedRateChange named_rate_note_remembered (NamedRate *rate, double per_s);

NamedRateState named_rate_state (const NamedRate *rate);
gboolean named_rate_is_in_force (const NamedRate *rate);
/* The limit in force, in requests a second, and the time since it was first named. */
double named_rate_per_s (const NamedRate *rate);
gint64 named_rate_age_us (const NamedRate *rate);

#endif
