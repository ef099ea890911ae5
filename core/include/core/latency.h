/*
 * Latency of good answers per route: a running fit of a log-normal distribution, small
 * enough to travel with each request, and what it implies for a request that has not been
 * answered yet.
 */
#ifndef CORE_LATENCY_H
#define CORE_LATENCY_H

#include <core/clock.h>

/* A fitted distribution; without samples it is unknown. */
typedef struct
{
  double log_mean; /* mean of the natural logarithm of microseconds */
  double log_sd;
  guint samples;
} LatencyFit;

/* Fits by route. */
typedef struct LatencyStats LatencyStats;

LatencyStats *latency_stats_create (void);
void latency_stats_destroy (LatencyStats *stats);

/* Adds a good answer on a route, as latency_route_id identifies it. */
void latency_stats_add (LatencyStats *stats, guint32 route, gint64 took_us);

/* Returns the fit of recent answers on a route; without samples for an unknown route. */
LatencyFit latency_stats_fit (const LatencyStats *stats, guint32 route);

/* Returns a route's id, a hash of its name. */
guint32 latency_route_id (const char *name);

/* Returns whether a fit has enough samples to be relied on. */
gboolean latency_fit_is_known (const LatencyFit *fit);

/* Returns the mean of the distribution; 0 if it has no samples. */
gint64 latency_fit_mean_us (const LatencyFit *fit);

/*
 * Returns the natural logarithm of the probability that a good answer takes longer than
 * `age_us`; 0 (a certain event) if the fit is not known.
 */
double latency_fit_log_survival (const LatencyFit *fit, gint64 age_us);

/* Returns whether a request is so late that it should be hedged with a second attempt. */
gboolean latency_fit_is_late (const LatencyFit *fit, gint64 age_us);
/* Returns the age from which latency_fit_is_late is TRUE; the fit must be known. */
gint64 latency_fit_late_us (const LatencyFit *fit);

/* Returns whether a request has taken so much longer than usual on its route that it
   counts as a failure of its target. */
gboolean latency_fit_is_overdue (const LatencyFit *fit, gint64 age_us);

/* Packs a fit into 32 bits and unpacks it: mean and deviation in thousandths, the number
   of samples up to 15. */
guint32 latency_fit_pack (const LatencyFit *fit);
LatencyFit latency_fit_unpack (guint32 packed);

/* The fits that an ingress receives from the targets of each route. */
typedef struct LatencyViews LatencyViews;

LatencyViews *latency_views_create (void);
void latency_views_destroy (LatencyViews *views);
void latency_views_note (LatencyViews *views,
                         guint32 route,
                         const char *target,
                         const LatencyFit *fit);

/* Returns the medians over the targets, because any of them may be a slow one. */
LatencyFit latency_views_fit (const LatencyViews *views, guint32 route);

#endif
