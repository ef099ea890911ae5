/*
 * What each kind of detector brings, behind the shared life of a verdict.
 */
#ifndef CORE_HEALTH_DETECTOR_KIND_H
#define CORE_HEALTH_DETECTOR_KIND_H

#include <core/detector.h>

/* How strict a kind is at one setting. */
typedef struct
{
  double failure_bound; /* evidence from failures at which a target is sick */
  double latency_bound;
  gint64 confirm_us; /* evidence from before and after this span must agree */
} DetectorBounds;

/* The evidence a kind gathers; each reads only what it needs. */
typedef struct
{
  double failures;
  double latency;
  guint failures_in_row;
  guint samples;
  double failure_mean;
  double latency_mean;
} DetectorEvidence;

/* One sample, with the references that it is weighed against already chosen. */
typedef struct
{
  gboolean failed;
  double latency_ratio;      /* to the reference mean; 0 when there is none */
  double reference_failures; /* share, 0 to 1 */
} DetectorInput;

typedef struct
{
  const char *name;
  DetectorBounds bounds[DETECTION_COUNT];
  void (*observe) (DetectorEvidence *evidence, const DetectorInput *input);
} DetectorOps;

extern const DetectorOps detector_none;
extern const DetectorOps detector_ewma;
extern const DetectorOps detector_cusum;

#endif
