#include <core/shedding.h>

/* Time for which other targets are preferred after a refusal: some ten requests at the 6
   a second per target of the reference deployment, so that a recovered target is noticed
   soon. */
#define HOLD_US (2 * SECOND_US)
/* Time for a target that keeps refusing: longer, because each change is gossiped to the
   whole fleet. */
#define HOLD_REPEATED_US (4 * SECOND_US)

struct Shedding
{
  Clock *clock;
  gint64 until_us;
};

Shedding *
shedding_create (Clock *clock)
{
  Shedding *shedding = g_new0 (Shedding, 1);

  shedding->clock = clock;
  shedding->until_us = clock_now (clock) - HOLD_REPEATED_US;
  return shedding;
}

void
shedding_destroy (Shedding *shedding)
{
  g_free (shedding);
}

void
shedding_note (Shedding *shedding)
{
  gint64 now = clock_now (shedding->clock);
  gboolean again = now - shedding->until_us < HOLD_US;

  shedding->until_us = now + (again ? HOLD_REPEATED_US : HOLD_US);
}

gboolean
shedding_is_on (const Shedding *shedding)
{
  return clock_now (shedding->clock) < shedding->until_us;
}
