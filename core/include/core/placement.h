/*
 * Where a request looks for a slot, and where it waits: a plan as a value, without I/O.
 *
 * Load patterns: a part of a hall's targets is full while others are free, for what an
 * ingress knows of their load is seconds old; a burst or a loss of targets fills a hall
 * while others have room; everything is full.
 *
 * Rule: a few targets of the own hall are asked for a free slot; then the request waits
 * in the own hall's shortest queue, while it can still be on time; then targets of other
 * halls are asked; then one that turns a part of its work away; at last it waits where
 * the wait is shortest, and when that is full too it is refused at once.
 *
 * Limits: each question costs under a millisecond within a hall and 4 ms between halls;
 * they are few enough for a refusal to come within some 20 ms. A target that refuses for
 * another reason than a lack of slots (sick, leaving, out of reach) tells that the
 * ingress was wrong about it, not that the hall is full: such refusals are counted apart.
 * When they used up the same tries, a third of the refusals in an overload of a fleet of
 * 353 were for them.
 */
#ifndef CORE_PLACEMENT_H
#define CORE_PLACEMENT_H

#include <core/outcome.h>
#include <glib.h>

typedef enum
{
  PLACEMENT_OWN_FREE,   /* a free slot of the own hall */
  PLACEMENT_OWN_QUEUE,  /* the own hall's shortest queue, for the slack at the most */
  PLACEMENT_OTHER_FREE, /* a free slot of another hall */
  PLACEMENT_SHEDDING,   /* one that turns a part of its work away, and has free slots */
  PLACEMENT_LAST_QUEUE, /* the shortest queue, up to the deadline */
  PLACEMENT_NOWHERE     /* everything has been tried */
} PlacementStep;

/* How far the plan has come. A zeroed one begins. */
typedef struct
{
  PlacementStep step;
  guint tried[PLACEMENT_NOWHERE]; /* targets that were asked at each step */
  guint strays;                   /* refusals that say nothing of slots */
  guint arrivals;                 /* when it began to look */
} Placement;

/*
 * The step to look for a target at now; the same until it is passed or has been refused
 * often enough. `slack_us` is how long the request may wait and be on time; `arrivals`,
 * how many targets may have seen it: after each it looks anew, where tries are left.
 */
PlacementStep placement_next (Placement *placement, gint64 slack_us, guint arrivals);

/* No target is to be had at this step. */
void placement_pass (Placement *placement);

/* A target that was found at this step has refused. */
void placement_refused (Placement *placement, Reason reason);

#endif
