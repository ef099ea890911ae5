#include <core/named-rate.h>

#include <string.h>

#define TEXT_MAX 32u
/* Higher rates have no effect on any target; the bound keeps sums finite. */
#define PER_S_MAX 1e6

struct NamedRate
{
  Clock *clock;
  gboolean in_force;
  double per_s;
  gint64 begun_us;
  gint64 confirmed_us; /* time of the last answer that named the present rate */
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
  gint64 now = clock_now (rate->clock);
  NamedRateChange change = NAMED_RATE_CHANGED;

  if (!rate->in_force)
    {
      change = NAMED_RATE_BEGUN;
      rate->begun_us = now;
    }
  else if (per_s == rate->per_s)
    {
      change = NAMED_RATE_UNCHANGED;
    }
  rate->in_force = TRUE;
  rate->per_s = per_s;
  rate->confirmed_us = now;
  return change;
}

NamedRateChange
named_rate_note_answer (NamedRate *rate, const RateNotice *notice, gint64 started_us)
{
  gboolean later = started_us > rate->confirmed_us;

  if (notice->kind == RATE_NOTICE_NAMED &&
      (!rate->in_force || later || notice->per_s <= rate->per_s))
    return set_rate (rate, notice->per_s);
  if (notice->kind != RATE_NOTICE_ABSENT || !rate->in_force || !later)
    return NAMED_RATE_UNCHANGED;
  rate->in_force = FALSE;
  return NAMED_RATE_ENDED;
}

gboolean
named_rate_is_in_force (const NamedRate *rate)
{
  return rate->in_force;
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
