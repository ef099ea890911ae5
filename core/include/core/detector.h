/*
 * Detection of a sick target from its real traffic, in comparison with the other targets
 * of the same service ("siblings"). Each kind of detector is a table of functions; the
 * sidecar passes the result of every request to it.
 */
#ifndef CORE_DETECTOR_H
#define CORE_DETECTOR_H

#include <core/clock.h>
#include <core/config.h>

typedef struct Detector Detector;

/* The result of one request at the target. */
typedef struct
{
  gboolean failed; /* broken off, timed out, connection refused, or answered with a 5xx
                      status */
  gboolean broken; /* failed without a usable answer; FALSE for a 5xx */
  gint64 took_us;
  guint sibling_us;  /* median of the siblings' mean latencies; 0 if unknown */
  guint sibling_ppm; /* median of the siblings' failure rates, in parts per million */
} DetectorSample;

typedef enum
{
  DETECTOR_NONE, /* never reports a target as sick */
  DETECTOR_EWMA, /* consecutive failures, and running means compared with the siblings' */
  DETECTOR_CUSUM, /* sequential tests on cumulative log-likelihood ratios */
  DETECTOR_KINDS
} DetectorKind;

const char *detector_kind_name (DetectorKind kind);

/* Creates the detector for a service's setting; `clock` is borrowed. */
Detector *detector_create (Detection setting, Clock *clock);
/* Creates a detector of any kind at any setting, for comparisons. */
Detector *detector_create_kind (DetectorKind kind, Detection setting, Clock *clock);
void detector_destroy (Detector *detector);

/*
 * Adds one sample. While the target is sick, the function ignores a failure of a request
 * that was sent before the target became sick or before its last failed trial, because
 * that says nothing about the target's present state. It returns FALSE for such a sample.
 */
gboolean detector_observe (Detector *detector, const DetectorSample *sample);

/*
 * Returns 0 while the target is considered healthy, else how sick it is, up to
 * DETECTOR_SEVERITY_MAX. A sick target becomes healthy again by good trials, or when it
 * has had no failed trial for long enough, as while it gets no work.
 */
guint detector_severity (Detector *detector);

#define DETECTOR_SEVERITY_MAX 1000u

/* Returns, for the latest samples, the mean latency of the successful ones and the
   failures in parts per million, and the number of all samples so far. */
void detector_summary (const Detector *detector,
                       guint *latency_us,
                       guint *failures_ppm,
                       guint *samples);

/* Returns the number of failed trials since the target became sick; 0 while it is
   healthy. */
guint detector_failed_trials (const Detector *detector);

/* Returns whether the target is sick and became so by breaking off a request at once. */
gboolean detector_is_abrupt (const Detector *detector);

/* Returns whether the target is sick because of slow answers alone. */
gboolean detector_is_slow (const Detector *detector);

/* Returns why the target is considered sick, or "". */
const char *detector_why (const Detector *detector);

#endif
