/*
 * Synthetic traces for failure detectors: a service of a few targets with one fault, on a
 * manual clock. Kind, shape and seed determine the trace, so detectors can be compared.
 * It is the same for all of them up to the first ejection, after which the ejected target
 * receives trial requests only.
 */
#ifndef BENCH_TRACES_H
#define BENCH_TRACES_H

#include <core/detector.h>

typedef enum
{
  TRACE_HEALTHY,
  TRACE_GRAY_5,
  TRACE_GRAY_20,
  TRACE_GRAY_100,
  TRACE_SLOW_2,
  TRACE_SLOW_10,
  TRACE_FLAPPING,
  TRACE_NOISE,        /* a burst of five failures on a healthy target */
  TRACE_ALL_SLOW,     /* the whole service five times slower for a while */
  TRACE_FALSE_PROBES, /* health checks fail although requests succeed */
  TRACE_COUNT
} TraceKind;

const char *trace_name (TraceKind kind);
/* Returns whether target 0 is faulty in the trace. */
gboolean trace_has_fault (TraceKind kind);

typedef struct
{
  guint targets;
  guint per_second; /* requests per second at each target */
  gint64 length_us;
  gint64 fault_us; /* when the fault begins */
} TraceShape;

typedef struct
{
  gint64 detected_us;    /* from the fault to its detection; -1 if never detected */
  guint false_ejections; /* number of times that a healthy target was ejected */
  gint64 fault_requests; /* requests sent to the faulty target during the fault */
} TraceResult;

/* DETECTOR_KINDS as `detector` selects the baseline, which uses health checks only. */
TraceResult trace_run (TraceKind kind,
                       const TraceShape *shape,
                       DetectorKind detector,
                       Detection setting,
                       guint seed);

#endif
