#include <core/latency.h>

#include <math.h>

#include "latency-routes.h"

/* A fit follows about this many latest samples, the answers that a target gives on one
   route in some ten seconds. */
#define SAMPLES_MAX 64u
/* With the spread of answer times in the reference deployment (0.8), the relative error
   of a mean of this many samples is a third. */
#define SAMPLES_MIN 5u
/* Lower limit of the deviation: a few samples may lie close together by chance. */
#define LOG_SD_MIN 0.35
/* One answer in a hundred takes several times as long as the others on its route. */
#define TAIL_SHARE 0.01
#define TAIL_FACTOR 4.0
/* A second attempt is sent when the first is later than 98 in 100 answers on its route.
   With healthy targets, this costs one extra attempt in fifty requests. */
#define LATE_PROBABILITY 0.02
/* Minimum age at which a request is late, because a slow node may be late to notice an
   answer that has arrived. */
#define LATE_MIN_US (50 * MS_US)
/* One answer in two hundred from a healthy target is later than this. */
#define OVERDUE_PROBABILITY 0.005
/* Minimum age at which a request is overdue on any route, because a slow node takes some
   20 ms to notice an answer. */
#define OVERDUE_MIN_US (100 * MS_US)

/* The layout of a packed fit. */
#define THOUSANDTHS 1000.0
#define PACKED_MEAN_MAX 0xffffu
#define PACKED_SD_SHIFT 16u
#define PACKED_SD_MAX 0xfffu
#define PACKED_SAMPLES_SHIFT 28u
#define PACKED_SAMPLES_MAX 0xfu

typedef struct
{
  LatencyFit fit; /* log_sd is unused */
  double variance;
} Route;

struct LatencyStats
{
  GHashTable *routes; /* id → Route */
};

LatencyStats *
latency_stats_create (void)
{
  LatencyStats *stats = g_new0 (LatencyStats, 1);

  stats->routes = latency_routes_create ();
  return stats;
}

void
latency_stats_destroy (LatencyStats *stats)
{
  if (!stats)
    return;
  g_hash_table_unref (stats->routes);
  g_free (stats);
}

void
latency_stats_add (LatencyStats *stats, guint32 route_id, gint64 took_us)
{
  Route *route = latency_routes_get (stats->routes, route_id, sizeof *route);
  double sample = log ((double)MAX (took_us, 1));
  double off = sample - route->fit.log_mean;
  double weight;

  route->fit.samples = MIN (route->fit.samples + 1, SAMPLES_MAX);
  weight = 1.0 / route->fit.samples;
  route->fit.log_mean += weight * off;
  route->variance = (1 - weight) * (route->variance + weight * off * off);
}

LatencyFit
latency_stats_fit (const LatencyStats *stats, guint32 id)
{
  const Route *route = g_hash_table_lookup (stats->routes, GUINT_TO_POINTER (id));
  LatencyFit fit = { 0 };

  if (!route)
    return fit;
  fit = route->fit;
  fit.log_sd = MAX (sqrt (route->variance), LOG_SD_MIN);
  return fit;
}

guint32
latency_route_id (const char *name)
{
  return g_str_hash (name);
}

gboolean
latency_fit_is_known (const LatencyFit *fit)
{
  return fit->samples >= SAMPLES_MIN;
}

gint64
latency_fit_mean_us (const LatencyFit *fit)
{
  if (fit->samples == 0)
    return 0;
  return (gint64)exp (fit->log_mean + fit->log_sd * fit->log_sd / 2);
}

/* Returns the survival function of the log-normal distribution, without the tail. */
static double
survival (const LatencyFit *fit, double age_us)
{
  return erfc ((log (age_us) - fit->log_mean) / fit->log_sd * M_SQRT1_2) / 2;
}

double
latency_fit_log_survival (const LatencyFit *fit, gint64 age_us)
{
  double age = (double)MAX (age_us, 1);

  if (!latency_fit_is_known (fit))
    return 0;
  return log ((1 - TAIL_SHARE) * survival (fit, age) +
              TAIL_SHARE * survival (fit, age / TAIL_FACTOR) + G_MINDOUBLE);
}

/* Returns the age at which the survival function has fallen to exp (log_probability). */
static gint64
age_us (const LatencyFit *fit, double log_probability)
{
  double low = fit->log_mean;
  double high = fit->log_mean + 12 * fit->log_sd + log (TAIL_FACTOR);

  /* The survival function is monotonic; 30 bisections find the position to a millionth.
   */
  for (guint i = 0; i < 30; i++)
    {
      double middle = (low + high) / 2;

      if (latency_fit_log_survival (fit, (gint64)exp (middle)) > log_probability)
        low = middle;
      else
        high = middle;
    }
  return (gint64)exp (high);
}

gboolean
latency_fit_is_late (const LatencyFit *fit, gint64 age)
{
  return age >= LATE_MIN_US &&
         latency_fit_log_survival (fit, age) <= log (LATE_PROBABILITY);
}

gint64
latency_fit_late_us (const LatencyFit *fit)
{
  return MAX (age_us (fit, log (LATE_PROBABILITY)), LATE_MIN_US);
}

gboolean
latency_fit_is_overdue (const LatencyFit *fit, gint64 age)
{
  return age >= OVERDUE_MIN_US &&
         latency_fit_log_survival (fit, age) < log (OVERDUE_PROBABILITY);
}

guint32
latency_fit_pack (const LatencyFit *fit)
{
  guint32 mean = (guint32)CLAMP (fit->log_mean * THOUSANDTHS, 0, PACKED_MEAN_MAX);
  guint32 sd = (guint32)CLAMP (fit->log_sd * THOUSANDTHS, 0, PACKED_SD_MAX);

  return mean | sd << PACKED_SD_SHIFT |
         MIN (fit->samples, PACKED_SAMPLES_MAX) << PACKED_SAMPLES_SHIFT;
}

LatencyFit
latency_fit_unpack (guint32 packed)
{
  LatencyFit fit = { (packed & PACKED_MEAN_MAX) / THOUSANDTHS,
                     (packed >> PACKED_SD_SHIFT & PACKED_SD_MAX) / THOUSANDTHS,
                     packed >> PACKED_SAMPLES_SHIFT };

  return fit;
}
