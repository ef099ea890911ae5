/*
 * Simulates an overloaded service on a manual clock, with the fleet's admission control,
 * dispatch, retry budget and failure detection, or without them.
 */
#ifndef BENCH_OVERLOAD_H
#define BENCH_OVERLOAD_H

#include <glib.h>

#define OVERLOAD_PRIORITIES 3u

typedef struct
{
  double load;      /* offered, as a multiple of the healthy capacity */
  gboolean sick;    /* half of the targets fail every request, after their usual time */
  gboolean guarded; /* use the fleet's mechanisms */
  gboolean no_detection; /* with `guarded`: leave out failure detection */
} OverloadCase;

typedef struct
{
  double goodput; /* successful answers before the deadline, as a share of the capacity */
  double by_priority[OVERLOAD_PRIORITIES]; /* the same, as a share of the arrivals */
  double attempts;                         /* mean number of attempts per request */
  double refused_ms; /* mean time until a failed request was answered */
} OverloadResult;

OverloadResult overload_run (const OverloadCase *params, guint seed);

#endif
