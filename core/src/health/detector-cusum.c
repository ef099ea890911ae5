/*
 * Page's cumulative sums of log-likelihood ratios: of an increased failure rate for a
 * Bernoulli variable, and of a doubled mean for an exponential variable. Answer times
 * that vary less than exponentially are told apart sooner. With a bound of h, the mean
 * number of samples to a false alarm is at least e^h (Lorden, 1971).
 */
#include "detector-kind.h"

#include <math.h>

/* Added to the siblings' failure rate, this is the failure rate of a sick target. */
#define SICK_FAILURES 0.10
#define HEALTHY_FAILURES 0.005
#define SICK_FAILURES_MAX 0.95
#define SICK_SLOWDOWN 2.0
/* A single answer, however late, is not sufficient evidence. */
#define RATIO_MAX 8.0

static double
failure_step (gboolean failed, double reference)
{
  double healthy = MAX (reference, HEALTHY_FAILURES);
  double sick = MIN (healthy + SICK_FAILURES, SICK_FAILURES_MAX);

  healthy = MIN (healthy, sick / 2);
  return failed ? log (sick / healthy) : log ((1 - sick) / (1 - healthy));
}

static double
latency_step (double ratio)
{
  return -log (SICK_SLOWDOWN) + MIN (ratio, RATIO_MAX) * (1 - 1 / SICK_SLOWDOWN);
}

static void
observe (DetectorEvidence *evidence, const DetectorInput *input)
{
  evidence->samples++;
  evidence->failures = MAX (
      0, evidence->failures + failure_step (input->failed, input->reference_failures));
  if (input->latency_ratio > 0 && !input->failed)
    evidence->latency = MAX (0, evidence->latency + latency_step (input->latency_ratio));
}

const DetectorOps detector_cusum = {
  .name = "cusum",
  .bounds = { { G_MAXDOUBLE, G_MAXDOUBLE },
              { 10.5, 12.0, 500 * MS_US },
              { 7.5, 11.0, 100 * MS_US },
              { 7.5, 11.0, 0 } },
  .observe = observe,
};
