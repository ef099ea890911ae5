#include "traces.h"

#include <math.h>

#define BASE_US 5000.0
#define SPREAD 0.4 /* standard deviation of the logarithm of the answer time */
#define BASE_FAILURES 0.002
#define FLAP_US (3 * SECOND_US)
#define BURST 5u
#define SLOW_PHASE_US (20 * SECOND_US)
#define TRIAL_EVERY_US (SECOND_US / 2)
#define PROBE_EVERY_US SECOND_US
#define PROBES_TO_EJECT 3u
#define TARGETS_MAX 16u

typedef struct
{
  Detector *detector; /* NULL for the baseline */
  gint64 next_us;
  gint64 next_probe_us;
  guint bad_probes;
  gboolean sick;
  guint burst_left;
} SimTarget;

typedef struct
{
  TraceKind kind;
  const TraceShape *shape;
  Clock *clock;
  GRand *rand;
  SimTarget targets[TARGETS_MAX];
  TraceResult result;
} Sim;

const char *
trace_name (TraceKind kind)
{
  static const char *const names[TRACE_COUNT] = {
    "healthy",  "gray 5 %",     "gray 20 %",          "gray 100 %",         "slow 2x",
    "slow 10x", "flapping 3 s", "noise on a healthy", "whole service slow", "probes lie"
  };

  return names[kind];
}

gboolean
trace_has_fault (TraceKind kind)
{
  return kind >= TRACE_GRAY_5 && kind <= TRACE_FLAPPING;
}

static gboolean
in_fault (const Sim *sim)
{
  gint64 since = clock_now (sim->clock) - sim->shape->fault_us;

  if (since < 0)
    return FALSE;
  if (sim->kind == TRACE_FLAPPING)
    return (since / FLAP_US) % 2 == 0;
  if (sim->kind == TRACE_ALL_SLOW)
    return since < SLOW_PHASE_US;
  return TRUE;
}

static double
failure_probability (const Sim *sim, guint i)
{
  static const double shares[TRACE_COUNT] = { [TRACE_GRAY_5] = 0.05,
                                              [TRACE_GRAY_20] = 0.2,
                                              [TRACE_GRAY_100] = 1.0,
                                              [TRACE_FLAPPING] = 1.0 };

  return i == 0 && in_fault (sim) ? MAX (shares[sim->kind], BASE_FAILURES)
                                  : BASE_FAILURES;
}

static double
slow_factor (const Sim *sim, guint i)
{
  if (!in_fault (sim))
    return 1;
  if (sim->kind == TRACE_ALL_SLOW)
    return 5;
  if (i != 0)
    return 1;
  return sim->kind == TRACE_SLOW_2 ? 2 : sim->kind == TRACE_SLOW_10 ? 10 : 1;
}

/* Returns an approximately standard normal deviate, the sum of twelve uniform ones. */
static double
normal (GRand *rand)
{
  double sum = -6;

  for (guint i = 0; i < 12; i++)
    sum += g_rand_double (rand);
  return sum;
}

static gint
compare (gconstpointer a, gconstpointer b)
{
  guint x = *(const guint *)a;
  guint y = *(const guint *)b;

  return (x > y) - (x < y);
}

/* Sets the medians over all targets, which an ingress would send with a request. */
static void
fill_siblings (Sim *sim, DetectorSample *sample)
{
  guint latencies[TARGETS_MAX];
  guint failures[TARGETS_MAX];
  guint count = 0;

  for (guint i = 0; i < sim->shape->targets; i++)
    {
      guint samples;

      detector_summary (sim->targets[i].detector, &latencies[count], &failures[count],
                        &samples);
      if (samples >= 10)
        count++;
    }
  if (count < 2)
    return;
  qsort (latencies, count, sizeof *latencies, compare);
  qsort (failures, count, sizeof *failures, compare);
  sample->sibling_us = latencies[(count - 1) / 2];
  sample->sibling_ppm = failures[(count - 1) / 2];
}

static void
note (Sim *sim, guint i, gboolean sick)
{
  SimTarget *target = &sim->targets[i];
  gboolean fault_began = i == 0 && trace_has_fault (sim->kind) &&
                         clock_now (sim->clock) >= sim->shape->fault_us;

  if (sick && !target->sick)
    {
      if (!fault_began)
        sim->result.false_ejections++;
      else if (sim->result.detected_us < 0)
        sim->result.detected_us = clock_now (sim->clock) - sim->shape->fault_us;
    }
  target->sick = sick;
}

static void
serve (Sim *sim, guint i)
{
  SimTarget *target = &sim->targets[i];
  DetectorSample sample = { 0 };

  sample.failed = g_rand_double (sim->rand) < failure_probability (sim, i);
  if (target->burst_left > 0 && clock_now (sim->clock) >= sim->shape->fault_us)
    {
      target->burst_left--;
      sample.failed = TRUE;
    }
  sample.took_us =
      (gint64)(BASE_US * slow_factor (sim, i) * exp (SPREAD * normal (sim->rand)));
  if (i == 0 && trace_has_fault (sim->kind) && in_fault (sim))
    sim->result.fault_requests++;
  if (!target->detector)
    return;
  fill_siblings (sim, &sample);
  detector_observe (target->detector, &sample);
}

/* The baseline: three failed health checks in a row eject a target, and a good one brings
   it back. */
static void
probe (Sim *sim, guint i)
{
  SimTarget *target = &sim->targets[i];
  gboolean probe_fails = i == 0 && in_fault (sim) && sim->kind == TRACE_FALSE_PROBES;

  target->bad_probes = probe_fails ? target->bad_probes + 1 : 0;
  note (sim, i, target->bad_probes >= PROBES_TO_EJECT);
}

static void
step_target (Sim *sim, guint i)
{
  SimTarget *target = &sim->targets[i];
  gint64 now = clock_now (sim->clock);
  double gap = (double)SECOND_US / sim->shape->per_second;

  if (now >= target->next_us)
    {
      serve (sim, i);
      /* An ejected target receives trial requests only. */
      target->next_us =
          now + (target->sick
                     ? TRIAL_EVERY_US
                     : (gint64)(gap * g_rand_double_range (sim->rand, 0.5, 1.5)));
    }
  if (target->detector)
    note (sim, i, detector_severity (target->detector) > 0);
  else if (now >= target->next_probe_us)
    {
      probe (sim, i);
      target->next_probe_us = now + PROBE_EVERY_US;
    }
}

TraceResult
trace_run (TraceKind kind,
           const TraceShape *shape,
           DetectorKind detector,
           Detection setting,
           guint seed)
{
  Sim sim = { .kind = kind,
              .shape = shape,
              .clock = clock_create_manual (0),
              .rand = g_rand_new_with_seed (seed) };

  sim.result.detected_us = -1;
  for (guint i = 0; i < shape->targets; i++)
    if (detector < DETECTOR_KINDS)
      sim.targets[i].detector = detector_create_kind (detector, setting, sim.clock);
  if (kind == TRACE_NOISE)
    sim.targets[0].burst_left = BURST;
  while (clock_now (sim.clock) < shape->length_us)
    {
      for (guint i = 0; i < shape->targets; i++)
        step_target (&sim, i);
      clock_advance (sim.clock, MS_US);
    }
  for (guint i = 0; i < shape->targets; i++)
    detector_destroy (sim.targets[i].detector);
  g_rand_free (sim.rand);
  clock_destroy (sim.clock);
  return sim.result;
}
