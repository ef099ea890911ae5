/*
 * When the watchers of a store renew their watches, each of which ends unanswered if its
 * connection has gone silent. Watchers that begin together, after a change that has
 * answered all of them, would find that out together, and the fleet would hear nothing
 * until then. So their renewals are spread evenly over the length of a watch.
 */
#ifndef CORE_WATCH_TIMES_H
#define CORE_WATCH_TIMES_H

#include <core/clock.h>

/* A watcher among those of the fleet. */
typedef struct
{
  guint watchers;  /* in the fleet, at least 1 */
  guint place;     /* of this one, from 0; taken modulo `watchers` */
  gint64 since_us; /* a moment that all watchers know, such as the last change */
} WatchPlace;

typedef struct
{
  gint64 bound_us; /* within which a change has to be in force */
  gint64 most_us;  /* the longest watch that the store takes */
} WatchBounds;

typedef struct
{
  gint64 wait_us;     /* the store answers after this time without a change */
  gint64 patience_us; /* beyond `wait_us`, after which the answer is overdue */
} WatchTimes;

/* Returns the times of a watch that begins now. */
WatchTimes
watch_times_next (const WatchPlace *place, const WatchBounds *bounds, gint64 now_us);

#endif
