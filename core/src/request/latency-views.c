#include <core/latency.h>

#include "latency-routes.h"

/* Number of targets whose fits are kept per route; a new target replaces the oldest. It
   is enough for a median, and few enough that a change shows after as many answers. */
#define TARGETS_MAX 9u

typedef struct
{
  guint target; /* hash of its name */
  LatencyFit fit;
} TargetFit;

typedef struct
{
  TargetFit words[TARGETS_MAX];
  guint count;
  guint next; /* index for the next new target */
} RouteFits;

struct LatencyViews
{
  GHashTable *routes; /* id → RouteFits */
};

LatencyViews *
latency_views_create (void)
{
  LatencyViews *views = g_new0 (LatencyViews, 1);

  views->routes = latency_routes_create ();
  return views;
}

void
latency_views_destroy (LatencyViews *views)
{
  if (!views)
    return;
  g_hash_table_unref (views->routes);
  g_free (views);
}

static TargetFit *
target_fit_of (RouteFits *view, guint target)
{
  TargetFit *word;

  for (guint i = 0; i < view->count; i++)
    if (view->words[i].target == target)
      return &view->words[i];
  word = &view->words[view->next];
  view->next = (view->next + 1) % TARGETS_MAX;
  view->count = MIN (view->count + 1, TARGETS_MAX);
  word->target = target;
  return word;
}

void
latency_views_note (LatencyViews *views,
                    guint32 route,
                    const char *target,
                    const LatencyFit *fit)
{
  RouteFits *view;

  if (fit->samples == 0)
    return;
  view = latency_routes_get (views->routes, route, sizeof *view);
  target_fit_of (view, g_str_hash (target))->fit = *fit;
}

static gint
compare_doubles (gconstpointer a, gconstpointer b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

static double
median (double *values, guint count)
{
  qsort (values, count, sizeof *values, compare_doubles);
  return values[(count - 1) / 2];
}

LatencyFit
latency_views_fit (const LatencyViews *views, guint32 route)
{
  const RouteFits *view = g_hash_table_lookup (views->routes, GUINT_TO_POINTER (route));
  double means[TARGETS_MAX];
  double sds[TARGETS_MAX];
  LatencyFit fit = { 0 };

  if (!view)
    return fit;
  for (guint i = 0; i < view->count; i++)
    {
      means[i] = view->words[i].fit.log_mean;
      sds[i] = view->words[i].fit.log_sd;
      fit.samples += view->words[i].fit.samples;
    }
  fit.log_mean = median (means, view->count);
  fit.log_sd = median (sds, view->count);
  return fit;
}
