#include <core/placement.h>

#include <core/clock.h>

/* Minimum slack to queue in the own hall; a try in another hall takes only 4 ms. */
#define OWN_QUEUE_MIN_US (5 * MS_US)
/* Refusals for reasons other than load after which only the last queue is tried. */
#define OTHER_REFUSALS_MAX 8u

/* Refusals for load that end each step. Over twelve loaded runs of a simulated fleet of
   30 these values served 0.409 of the work, by its value to the callers; a second queue
   in the own hall served 0.403, and a single try in other halls 0.398. */
static const guint tries_max[PLACEMENT_EXHAUSTED] = {
  [PLACEMENT_OWN_FREE] = 4,
  [PLACEMENT_OWN_QUEUE] = 1,
  [PLACEMENT_OTHER_FREE] = 2,
  /* These targets mostly have a free slot. */
  [PLACEMENT_SHEDDING] = 2,
  [PLACEMENT_LAST_QUEUE] = 2,
};

static gboolean
step_is_allowed (const Placement *placement, gint64 slack_us, guint arrivals)
{
  PlacementStep step = placement->step;

  if (placement->tried[step] >= tries_max[step])
    return FALSE;
  if (placement->other_refusals >= OTHER_REFUSALS_MAX && step != PLACEMENT_LAST_QUEUE)
    return FALSE;
  switch (step)
    {
    case PLACEMENT_OWN_QUEUE:
      return slack_us >= OWN_QUEUE_MIN_US;
    case PLACEMENT_SHEDDING:
      /* A request that a target may have refused before goes on to a queue, which leads
         to a slot; a shedding target might refuse it again. */
      return arrivals == 0;
    default:
      return TRUE;
    }
}

PlacementStep
placement_next (Placement *placement, gint64 slack_us, guint arrivals)
{
  if (arrivals > placement->arrivals)
    {
      placement->arrivals = arrivals;
      placement->step = PLACEMENT_OWN_FREE;
    }
  while (placement->step < PLACEMENT_EXHAUSTED &&
         !step_is_allowed (placement, slack_us, arrivals))
    placement->step++;
  return placement->step;
}

void
placement_skip (Placement *placement)
{
  if (placement->step < PLACEMENT_EXHAUSTED)
    placement->step++;
}

/* Returns whether the target refused because of its load. */
static gboolean
is_load_refusal (Reason reason)
{
  return reason == REASON_OVERLOAD || reason == REASON_DEADLINE ||
         reason == REASON_BUDGET || reason == REASON_TARGET_REFUSED ||
         reason == REASON_RATE_LIMITED;
}

void
placement_refused (Placement *placement, Reason reason)
{
  /* The caller limits the refusals for a missing proof (core/proof.h) itself. */
  if (placement->step >= PLACEMENT_EXHAUSTED || reason == REASON_UNPROVED)
    return;
  if (is_load_refusal (reason))
    placement->tried[placement->step]++;
  else
    placement->other_refusals++;
}
