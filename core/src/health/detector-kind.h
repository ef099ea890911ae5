/*
 * The interface of each kind of detector. detector.c keeps the verdict for all kinds.
 */
#ifndef CORE_HEALTH_DETECTOR_KIND_H
#define CORE_HEALTH_DETECTOR_KIND_H

#include <core/detector.h>

/* The bounds of one kind at one setting. */
typedef struct
{
  double failure_bound; /* evidence from failures at which a target is sick */
  double latency_bound;
  gint64 confirm_us; /* time after which the evidence has to reach its bound again; 0 for
                        no confirmation */
} DetectorBounds;

/* The evidence that a kind accumulates; each kind uses only some members. */
typedef struct
{
  double failures;
  double latency;
  guint failures_in_row;
  guint samples;
  double failure_mean;
  double latency_mean;
} DetectorEvidence;

/* One sample with its reference values. */
typedef struct
{
  gboolean failed;
  double latency_ratio;      /* to the reference mean; 0 if there is none */
  double reference_failures; /* the siblings' failure rate, 0 to 1 */
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
