/*
 * Recorded-like traces for detectors: a service of a few targets under one fault, on a
 * paused clock and a seed. The same trace is played to any detector.
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
  TRACE_NOISE,      /* a burst of five failures on a healthy target */
  TRACE_ALL_SLOW,   /* the whole service five times slower for a while */
  TRACE_PROBES_LIE, /* the health answer is bad, the work is good */
  TRACE_COUNT
} TraceKind;

const char *trace_name (TraceKind kind);
/* Whether target 0 is truly sick in it. */
gboolean trace_has_fault (TraceKind kind);

typedef struct
{
  guint targets;
  guint per_second; /* requests at each target */
  gint64 length_us;
  gint64 fault_us; /* when the fault begins */
} TraceShape;

typedef struct
{
  gint64 detected_us;    /* from the fault to the first verdict; -1 for never */
  guint false_ejections; /* healthy targets held sick, counted by the time it began */
  gint64 sick_work;      /* requests that a truly sick target still got */
} TraceResult;

/* A detector of DETECTOR_KINDS stands for the baseline that believes health answers. */
TraceResult trace_play (TraceKind kind,
                        const TraceShape *shape,
                        DetectorKind detector,
                        Detection setting,
                        guint seed);

#endif
