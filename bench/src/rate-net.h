/*
 * A simulated service whose targets may name the rate that they take: many ingresses with
 * a balancer each, and the sidecars' admission, on a manual clock. A sidecar's verdicts
 * reach the ingresses after a delay, as gossip does. Used by tests and by
 * bench-named-rate.
 */
#ifndef BENCH_RATE_NET_H
#define BENCH_RATE_NET_H

#include <glib.h>

typedef struct
{
  guint ingresses;
  guint targets;
  guint limited; /* the first targets of the list name the rate */
  double rate_per_s;
  double load_per_s; /* requests from all ingresses together */
  guint seconds;     /* measured; the limit is named RATE_NET_LEAD_S before */
  guint seed;
} RateNetParams;

/* Seconds of load before the limit is named, and again before the measurement. */
#define RATE_NET_LEAD_S 5u

typedef struct
{
  guint requests;
  guint served;
  guint tries;           /* offers to sidecars, for all requests */
  double refused_per_s;  /* by a limited target's sidecar, mean of the limited ones */
  guint worst_window;    /* most starts at a limited target in any 4 s */
  double starts_per_s;   /* at a limited target */
  double verdicts_per_s; /* changes of verdicts that are spread, by all sidecars */
} RateNetFigures;

RateNetFigures rate_net_run (const RateNetParams *params);

#endif
