#include <core/named-rate.h>

#include <string.h>

#define TEXT_MAX 32u
/* Higher rates have no effect on any target; the bound keeps sums finite. */
#define PER_S_MAX 1e6

struct NamedRate
{
  Clock *clock;
  NamedRateState state;
  gboolean answered; /* the target itself has said whether it names a rate */
  double per_s;
  gint64 begun_us;
  gint64
      confirmed_us; /* time of the last answer that named the present rate; 0 for none */
};

RateNotice
rate_notice_parse (const char *text)
{
  RateNotice malformed = { .kind = RATE_NOTICE_MALFORMED };
  RateNotice notice = { .kind = RATE_NOTICE_NAMED };
  gsize whole = strspn (text, "0123456789");
  gsize len = whole;

  if (whole > 0 && text[whole] == '.')
    {
      gsize fraction = strspn (text + whole + 1, "0123456789");

      len = fraction > 0 ? whole + 1 + fraction : 0;
    }
  if (len == 0 || len > TEXT_MAX || text[len] != '\0')
    return malformed;
  notice.per_s = MIN (g_ascii_strtod (text, NULL), PER_S_MAX);
  return notice;
}

NamedRate *
named_rate_create (Clock *clock)
{
  NamedRate *rate = g_new0 (NamedRate, 1);

  rate->clock = clock;
  return rate;
}

void
named_rate_destroy (NamedRate *rate)
{
  g_free (rate);
}

static NamedRateChange
set_rate (NamedRate *rate, double per_s)
{
  NamedRateChange change = per_s < rate->per_s ? NAMED_RATE_LOWERED : NAMED_RATE_RAISED;

  if (rate->state != NAMED_RATE_IN_FORCE)
    {
      change = NAMED_RATE_BEGUN;
      rate->begun_us = clock_now (rate->clock);
    }
  else if (per_s == rate->per_s)
    {
      change = NAMED_RATE_UNCHANGED;
    }
  rate->state = NAMED_RATE_IN_FORCE;
  rate->per_s = per_s;
  return change;
}

/* Takes an answer that names no rate. */
static NamedRateChange
note_absent (NamedRate *rate, gboolean later)
{
  gboolean ends = rate->state == NAMED_RATE_IN_FORCE;

  if (ends && !later)
    return NAMED_RATE_UNCHANGED;
  rate->answered = TRUE;
  rate->state = NAMED_RATE_NONE;
  return ends ? NAMED_RATE_ENDED : NAMED_RATE_UNCHANGED;
}

NamedRateChange
named_rate_note_answer (NamedRate *rate, const RateNotice *notice, gint64 started_us)
{
  gboolean later = started_us > rate->confirmed_us;
  gboolean tightens = rate->state != NAMED_RATE_IN_FORCE || notice->per_s <= rate->per_s;

  if (notice->kind == RATE_NOTICE_ABSENT)
    return note_absent (rate, later);
  if (notice->kind == RATE_NOTICE_MALFORMED || (!later && !tightens))
    return NAMED_RATE_UNCHANGED;
  rate->answered = TRUE;
  rate->confirmed_us = clock_now (rate->clock);
  return set_rate (rate, notice->per_s);
}

NamedRateChange
named_rate_note_remembered (NamedRate *rate, double per_s)
{
  if (rate->answered || (rate->state == NAMED_RATE_IN_FORCE && per_s >= rate->per_s))
    return NAMED_RATE_UNCHANGED;
  return set_rate (rate, per_s);
}

NamedRateState
named_rate_state (const NamedRate *rate)
{
  return rate->state;
}

gboolean
named_rate_is_in_force (const NamedRate *rate)
{
  return rate->state == NAMED_RATE_IN_FORCE;
}

double
named_rate_per_s (const NamedRate *rate)
{
  return rate->per_s;
}

gint64
named_rate_age_us (const NamedRate *rate)
{
  return clock_now (rate->clock) - rate->begun_us;
}
