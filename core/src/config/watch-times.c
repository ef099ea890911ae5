#include <core/watch-times.h>

/* Renewals of all watchers together within the bound of a change. A third of the watchers
   may be gone, and an answer that is overdue costs one of these intervals more. */
#define RENEWALS_PER_BOUND 8
/* A node that knows no other watcher renews this often within the bound. It may be one of
   many that are cut off from each other. */
#define RENEWALS_ALONE 2
/* A watch is not worth a call if it would last less than this part of its length. */
#define SHORTEST_PART 8

/* Returns the time between two renewals of one watcher. */
static gint64
length_us (const WatchPlace *place, const WatchBounds *bounds)
{
  gint64 spread = place->watchers * bounds->bound_us / RENEWALS_PER_BOUND;

  return MIN (MAX (spread, bounds->bound_us / RENEWALS_ALONE), bounds->most_us);
}

WatchTimes
watch_times_next (const WatchPlace *place, const WatchBounds *bounds, gint64 now_us)
{
  gint64 length = MAX (length_us (place, bounds), MS_US);
  gint64 offset = length * (place->place % place->watchers + 1) / place->watchers;
  gint64 age = MAX (now_us - place->since_us, 0);
  gint64 into = (age + length - offset) % length;
  gint64 wait = length - into;

  if (wait < length / SHORTEST_PART)
    wait += length;
  return (WatchTimes){ MIN (wait, bounds->most_us),
                       bounds->bound_us / RENEWALS_PER_BOUND };
}
