/*
 * Exponentially weighted means and consecutive failures, the usual outlier detection. The
 * evidence is scaled such that the mean failure rate and the consecutive failures share
 * one bound.
 */
#include "detector-kind.h"

#define WEIGHT (1.0 / 16)
#define SAMPLES_MIN 16u
/* This many consecutive failures count as much as a mean failure rate of one. */
#define RUN_FULL 10.0
#define RATIO_MAX 20.0

static void
observe (DetectorEvidence *evidence, const DetectorInput *input)
{
  double ratio = MIN (input->latency_ratio, RATIO_MAX);
  double excess;

  evidence->samples++;
  evidence->failures_in_row = input->failed ? evidence->failures_in_row + 1 : 0;
  evidence->failure_mean +=
      WEIGHT * ((input->failed ? 1.0 : 0.0) - evidence->failure_mean);
  if (evidence->samples == 1)
    evidence->latency_mean = 1.0;
  if (ratio > 0 && !input->failed)
    evidence->latency_mean += WEIGHT * (ratio - evidence->latency_mean);
  evidence->failures = evidence->failures_in_row / RUN_FULL;
  if (evidence->samples < SAMPLES_MIN)
    return;
  excess = evidence->failure_mean - 2 * input->reference_failures;
  evidence->failures = MAX (evidence->failures, excess);
  evidence->latency = evidence->latency_mean;
}

const DetectorOps detector_ewma = {
  .name = "ewma",
  .bounds = { { G_MAXDOUBLE, G_MAXDOUBLE },
              { 0.5, 3.0, 0 },
              { 0.3, 1.8, 0 },
              { 0.3, 1.8, 0 } },
  .observe = observe,
};
