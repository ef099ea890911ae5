/*
 * A histogram of durations with eight buckets of equal width per power of two, so that
 * the relative error of a quantile is at most one eighth.
 */
#ifndef CORE_HISTOGRAM_H
#define CORE_HISTOGRAM_H

#include <glib.h>

typedef struct Histogram Histogram;

Histogram *histogram_create (void);
void histogram_destroy (Histogram *histogram);
void histogram_reset (Histogram *histogram);

/* Adds one duration in microseconds; negative ones count as 0. */
void histogram_add (Histogram *histogram, gint64 span_us);

guint64 histogram_count (const Histogram *histogram);
guint64 histogram_sum_us (const Histogram *histogram);
/* Returns the upper bound of the bucket with the quantile (0 to 1); 0 when empty. */
gint64 histogram_quantile_us (const Histogram *histogram, double quantile);
/* Counts the durations in buckets whose upper bound is at most `bound_us`. */
guint64 histogram_count_below (const Histogram *histogram, gint64 bound_us);

#endif
