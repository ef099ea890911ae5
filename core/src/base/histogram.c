#include <core/histogram.h>

#include <string.h>

#define SUB_BITS 3u
#define SUB_BUCKETS (1u << SUB_BITS)
/* Durations up to 2^32 microseconds, more than an hour. */
#define POWERS 30u
#define BUCKETS (SUB_BUCKETS * POWERS)

struct Histogram
{
  guint64 count;
  guint64 sum_us;
  guint32 buckets[BUCKETS];
};

/* Each value below SUB_BUCKETS has its own bucket; above, each power of two has
   SUB_BUCKETS buckets. */
static guint
bucket_of (gint64 span_us)
{
  guint64 value = (guint64)MAX (span_us, 0);
  guint power;

  if (value < SUB_BUCKETS)
    return (guint)value;
  power = 63u - (guint)__builtin_clzll (value) - SUB_BITS;
  return MIN ((power + 1) * SUB_BUCKETS + (guint)((value >> power) & (SUB_BUCKETS - 1)),
              BUCKETS - 1);
}

static gint64
upper_bound (guint bucket)
{
  guint power;

  if (bucket < SUB_BUCKETS)
    return bucket;
  power = bucket / SUB_BUCKETS - 1;
  return ((gint64)(SUB_BUCKETS + bucket % SUB_BUCKETS + 1) << power) - 1;
}

Histogram *
histogram_create (void)
{
  return g_new0 (Histogram, 1);
}

void
histogram_destroy (Histogram *histogram)
{
  g_free (histogram);
}

void
histogram_reset (Histogram *histogram)
{
  memset (histogram, 0, sizeof *histogram);
}

void
histogram_add (Histogram *histogram, gint64 span_us)
{
  histogram->count++;
  histogram->sum_us += (guint64)MAX (span_us, 0);
  histogram->buckets[bucket_of (span_us)]++;
}

guint64
histogram_count (const Histogram *histogram)
{
  return histogram->count;
}

guint64
histogram_sum_us (const Histogram *histogram)
{
  return histogram->sum_us;
}

gint64
histogram_quantile_us (const Histogram *histogram, double quantile)
{
  guint64 wanted = (guint64)(quantile * (double)histogram->count);
  guint64 seen = 0;

  if (histogram->count == 0)
    return 0;
  wanted = CLAMP (wanted, 1, histogram->count);
  for (guint i = 0; i < BUCKETS; i++)
    {
      seen += histogram->buckets[i];
      if (seen >= wanted)
        return upper_bound (i);
    }
  return upper_bound (BUCKETS - 1);
}

guint64
histogram_count_below (const Histogram *histogram, gint64 bound_us)
{
  guint64 seen = 0;

  for (guint i = 0; i < BUCKETS && upper_bound (i) <= bound_us; i++)
    seen += histogram->buckets[i];
  return seen;
}
