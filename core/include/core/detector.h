/*
 * Detection of a sick target from its real work, compared with the same service's other
 * targets. Each kind is a table of functions; the sidecar feeds every end of a request.
 */
#ifndef CORE_DETECTOR_H
#define CORE_DETECTOR_H

#include <core/clock.h>
#include <core/config.h>

typedef struct Detector Detector;

/* One request's end at the target. */
typedef struct
{
  gboolean failed; /* broken, timed out, refused the connection, or a 5xx answer */
  gboolean broken; /* of these, no answer that can be used: a 5xx is no break */
  gint64 took_us;
  guint sibling_us;  /* the median of the siblings' mean latencies; 0 when not known */
  guint sibling_ppm; /* the siblings' median failures in a million */
} DetectorSample;

typedef enum
{
  DETECTOR_NONE,  /* never finds anything */
  DETECTOR_EWMA,  /* failures in a row, and running means against the siblings' */
  DETECTOR_CUSUM, /* sequential tests: log-likelihood ratios that add up */
  DETECTOR_KINDS
} DetectorKind;

const char *detector_kind_name (DetectorKind kind);

/* The kind and strictness that a service's setting stands for. */
Detector *detector_create (Detection setting, Clock *clock);
/* Any kind at either setting, for comparisons. */
Detector *detector_create_kind (DetectorKind kind, Detection setting, Clock *clock);
void detector_destroy (Detector *detector);

/*
 * Takes one sample in. While the target is sick only failures of what was sent after it
 * fell sick count against it: older work says nothing of how it does now, and FALSE is
 * returned for it.
 */
gboolean detector_observe (Detector *detector, const DetectorSample *sample);

/*
 * 0 while the target is held healthy; else how bad it is, up to DETECTOR_SEVERITY_MAX.
 * Time alone may lower it: a sick target that gets no work is given another chance.
 */
guint detector_severity (Detector *detector);

#define DETECTOR_SEVERITY_MAX 1000u

/* The recent mean latency and failures in a million, and on how many they rest. */
void detector_summary (const Detector *detector,
                       guint *latency_us,
                       guint *failures_ppm,
                       guint *samples);

/* Trials that have failed since it fell sick. */
guint detector_failed_trials (const Detector *detector);

/* Whether it fell sick by breaking off at once what it was sent. */
gboolean detector_is_abrupt (const Detector *detector);

/* Whether it is held sick for slowness alone. */
gboolean detector_is_slow (const Detector *detector);

/* Why it is held sick, or "". */
const char *detector_why (const Detector *detector);

#endif
