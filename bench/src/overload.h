/*
 * A service under more work than it can do, on a paused clock: the fleet's admission,
 * dispatch, retry budget and detection against the same service without them.
 */
#ifndef BENCH_OVERLOAD_H
#define BENCH_OVERLOAD_H

#include <glib.h>

#define OVERLOAD_PRIORITIES 3u

typedef struct
{
  double load;      /* offered, as a multiple of the healthy capacity */
  gboolean sick;    /* half of the targets fail every request, after their usual time */
  gboolean guarded; /* with the fleet's mechanisms */
  gboolean blind;   /* but without detection */
} OverloadCase;

typedef struct
{
  double goodput; /* answered well and in time, as a share of the capacity */
  double by_priority[OVERLOAD_PRIORITIES]; /* share of each class that was */
  double attempts;                         /* sent to targets for each request */
  double refused_ms; /* mean time until a request that was given up on heard so */
} OverloadResult;

OverloadResult overload_run (const OverloadCase *what, guint seed);

#endif
