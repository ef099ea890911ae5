/*
 * A histogram of time spans: buckets of equal width within each power of two, so that
 * a quantile is off by an eighth at most.
 */
#ifndef CORE_HISTOGRAM_H
#define CORE_HISTOGRAM_H

#include <glib.h>

typedef struct Histogram Histogram;

Histogram *histogram_create (void);
void histogram_destroy (Histogram *histogram);
void histogram_reset (Histogram *histogram);

/* Adds one span in microseconds. */
void histogram_add (Histogram *histogram, gint64 span_us);

guint64 histogram_count (const Histogram *histogram);
guint64 histogram_sum_us (const Histogram *histogram);
/* The upper bound of the bucket in which the quantile (0 to 1) lies; 0 when empty. */
gint64 histogram_quantile_us (const Histogram *histogram, double quantile);
/* How many spans were at most `bound_us`, as exactly as the buckets allow. */
guint64 histogram_count_below (const Histogram *histogram, gint64 bound_us);

#endif
